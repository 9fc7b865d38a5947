//! Parsing and validation of release notes: the examples, and case files with their expected faults.
//!
//! Each `cases/notes/NAME.toml` is checked against the release of
//! `cases/notes/base.toml`. `NAME.faults` holds the expected faults, one per line;
//! it is empty for a valid note.

use std::fs;
use std::path::PathBuf;

use rhubarbrock::{defaults, note, release};
use rhubarbrock_schema::{log, release as schema};

use prost::Message;

fn folder(path: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(path)
}

fn record(note: schema::ReleaseNote, base_version: u64) -> Vec<u8> {
    let published =
        log::PublishedNote { base_version, nonce: 1, author: "ana".into(), note: Some(note) };
    let body = log::release_record::Body::Published(published);
    log::ReleaseRecord { body: Some(body) }.encode_to_vec()
}

/// Release whose only note is this file.
fn release_with_note(file: &PathBuf) -> schema::Release {
    let text = fs::read_to_string(file).unwrap();
    let note = note::parse(&text).unwrap_or_else(|faults| panic!("{}: {faults:?}", file.display()));
    let note = defaults::with_defaults(note, &schema::Release::default());
    let mut log = release::ReleaseLog::new();
    assert_eq!(log.apply(1, &record(note, 0)), release::Applied::InForce { version: 1 });
    log.release().unwrap().clone()
}

fn faults(text: &str, base: &schema::Release) -> String {
    let faults = note::parse_lenient(text).faults(base);
    faults.iter().map(|fault| format!("{fault}\n")).collect()
}

#[test]
fn reports_faults_of_case_files() {
    let base = release_with_note(&folder("tests/cases/notes/base.toml"));
    let mut checked = 0;
    for entry in fs::read_dir(folder("tests/cases/notes")).unwrap() {
        let path = entry.unwrap().path();
        let expected_path = path.with_extension("faults");
        if path.extension().is_none_or(|end| end != "toml") || path.ends_with("base.toml") {
            continue;
        }
        let expected = fs::read_to_string(&expected_path).unwrap();
        let found = faults(&fs::read_to_string(&path).unwrap(), &base);
        assert_eq!(found, expected, "{}", path.display());
        checked += 1;
    }
    assert!(checked >= 8, "only {checked} case files");
}

#[test]
fn parses_examples() {
    for (name, services) in
        [("gourd", ["guide-writers", "order-desk"]), ("shucking", ["rhubarb-judges", "tent-desk"])]
    {
        let release = release_with_note(&folder(&format!("../examples/{name}.release.toml")));
        let names: Vec<&str> =
            release.services.iter().map(|service| service.name.as_str()).collect();
        assert_eq!(names, services);
        assert_eq!(release.organisations.len(), 5);
        let demo_key_sha256 = "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c";
        let other_key_sha256 = "580843d03d2216ff1a275d0991bad66e4d1af871171d929e9de604b7959f9bca";
        let owner = |hash: &str| {
            let has = |organisation: &&schema::Organisation| {
                organisation.key_sha256s.iter().any(|known| known == hash)
            };
            release.organisations.iter().find(has).unwrap().name.clone()
        };
        assert_ne!(owner(demo_key_sha256), owner(other_key_sha256));
        let repeatable: Vec<(&str, bool)> =
            release.services[1].routes.iter().map(|r| (r.path.as_str(), r.repeatable)).collect();
        assert_eq!(repeatable, [("orders", false), ("payouts", false), ("stock/{item}", true)]);
    }
}

/// The case file has every field of the schema, and the parser reads all that serde reads.
#[test]
fn reads_every_field_of_schema() {
    let text = fs::read_to_string(folder("tests/cases/notes/every-field.toml")).unwrap();
    let direct: schema::ReleaseNote = toml::from_str(&text).unwrap();
    assert_eq!(note::parse(&text).unwrap(), direct);
    let messages = [
        serde_json::to_value(schema::Organisation::default()).unwrap(),
        serde_json::to_value(schema::Service::default()).unwrap(),
        serde_json::to_value(schema::Policy::default()).unwrap(),
    ];
    for field in messages.iter().flat_map(|message| message.as_object().unwrap().keys()) {
        assert!(text.contains(&format!("\n{field} = ")), "{field} is not in the case file");
    }
}
