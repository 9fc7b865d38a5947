//! Release notes and log records mutated at random from the case files.

use std::fs;
use std::path::PathBuf;

use bolero::TypeGenerator;
use prost::Message;
use rhubarbrock::release::{Applied, ReleaseLog};
use rhubarbrock::{defaults, note, snapshot};
use rhubarbrock_schema::{log, release as schema};
use std::time::Duration;

mod seeds;

const NOTE_SEEDS: u64 = 4_000;
const RECORD_SEEDS: u64 = 1_500;
const RECORDS: usize = 12;

#[derive(Debug, Clone, TypeGenerator)]
enum Edit {
    Flip { at: u16, bits: u8 },
    Remove { at: u16, length: u8 },
    Insert { at: u16, bytes: [u8; 3] },
    Copy { from: u16, to: u16, length: u8 },
    Truncate { at: u16 },
}

fn edit(data: &mut Vec<u8>, edit: &Edit) {
    let position = |at: u16| at as usize % (data.len() + 1);
    match *edit {
        Edit::Flip { at, bits } => {
            let at = position(at);
            if let Some(byte) = data.get_mut(at) {
                *byte ^= bits;
            }
        }
        Edit::Remove { at, length } => {
            let at = position(at);
            let end = data.len().min(at + length as usize);
            data.drain(at..end);
        }
        Edit::Insert { at, bytes } => {
            let at = position(at);
            data.splice(at..at, bytes);
        }
        Edit::Copy { from, to, length } => {
            let (from, to) = (position(from), position(to));
            let end = data.len().min(from + length as usize);
            let copy = data[from..end].to_vec();
            data.splice(to..to, copy);
        }
        Edit::Truncate { at } => {
            let at = position(at);
            data.truncate(at);
        }
    }
}

fn edited(source: &mut seeds::Source, seed_text: &[u8]) -> Vec<u8> {
    let mut data = seed_text.to_vec();
    for _ in 0..u8::generate(source).unwrap() % 6 {
        edit(&mut data, &Edit::generate(source).unwrap());
    }
    data
}

fn corpus() -> Vec<Vec<u8>> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/cases/notes");
    let paths = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let mut notes: Vec<PathBuf> =
        paths.filter(|path| path.extension().is_some_and(|end| end == "toml")).collect();
    notes.sort();
    notes.iter().map(|path| fs::read(path).unwrap()).collect()
}

fn pick<'c>(source: &mut seeds::Source, corpus: &'c [Vec<u8>]) -> &'c [u8] {
    &corpus[u16::generate(source).unwrap() as usize % corpus.len()]
}

#[test]
fn parses_any_text_to_note_or_faults() {
    let corpus = corpus();
    let (mut accepted, mut rejected) = (0, 0);
    seeds::for_each_seed(NOTE_SEEDS, |source| {
        let note = pick(source, &corpus);
        let data = edited(source, note);
        let text = String::from_utf8_lossy(&data);
        let lines = text.lines().count().max(1) as u32 + 1;
        match note::parse(&text) {
            Ok(parsed) => {
                // An accepted note is the same after encoding and decoding.
                let bytes = parsed.encode_to_vec();
                assert_eq!(schema::ReleaseNote::decode(bytes.as_slice()).unwrap(), parsed);
                accepted += 1;
            }
            Err(faults) => {
                assert!(!faults.is_empty());
                for fault in faults {
                    let line = fault.line.unwrap();
                    assert!((1..=lines).contains(&line), "{fault}");
                    assert!(!fault.field.is_empty() && !fault.message.is_empty());
                }
                rejected += 1;
            }
        }
    });
    assert!(std::env::var_os("RHUBARBROCK_SEED").is_some() || accepted.min(rejected) > 100);
}

fn published(note: schema::ReleaseNote, base_version: u64) -> Vec<u8> {
    let published =
        log::PublishedNote { base_version, nonce: 1, author: String::new(), note: Some(note) };
    let body = log::release_record::Body::Published(published);
    log::ReleaseRecord { body: Some(body) }.encode_to_vec()
}

/// No record makes a reader panic, decreases its version, or makes two readers of the whole log
/// differ.
#[test]
fn readers_tolerate_any_record() {
    let notes: Vec<schema::ReleaseNote> = corpus()
        .iter()
        .filter_map(|text| note::parse(std::str::from_utf8(text).unwrap()).ok())
        .collect();
    let (mut in_force, mut ignored) = (0, 0);
    seeds::for_each_seed(RECORD_SEEDS, |source| {
        let mut readers = [ReleaseLog::new(), ReleaseLog::new()];
        let mut from_start = true;
        let mut offset = 0;
        for _ in 0..RECORDS {
            offset += 1;
            if u8::generate(source).unwrap() < 8 {
                offset = u64::generate(source).unwrap().max(offset);
                from_start = false;
            }
            let note = &notes[u8::generate(source).unwrap() as usize % notes.len()];
            let snapshot = snapshot::record(&readers[0], Duration::ZERO);
            let record = match (snapshot, bool::generate(source).unwrap()) {
                (Some(snapshot), true) => snapshot,
                _ => {
                    let base = readers[0].release().cloned().unwrap_or_default();
                    published(defaults::with_defaults(note.clone(), &base), base.version)
                }
            };
            let data = edited(source, &record);
            for reader in &mut readers {
                let version = reader.version();
                match reader.apply(offset, &data) {
                    Applied::InForce { .. } => in_force += 1,
                    Applied::Ignored(_) => ignored += 1,
                    _ => {}
                }
                assert!(reader.version() >= version, "a version decreased");
            }
            if from_start {
                assert_eq!(readers[0].complete_release(), readers[1].complete_release());
                assert_eq!(readers[0].covered_offset(), offset);
            }
            // At times the second reader restarts from the first one's copy.
            if u8::generate(source).unwrap() < 32 {
                let covered = readers[0].covered_offset();
                if let Some(release) = readers[0].release().cloned() {
                    readers[1] = ReleaseLog::new();
                    assert!(readers[1].adopt(release, covered));
                }
            }
        }
    });
    assert!(std::env::var_os("RHUBARBROCK_SEED").is_some() || in_force.min(ignored) > 100);
}
