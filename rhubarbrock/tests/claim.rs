//! Calls that may not be repeated, over a log and a desk that fail.

use std::time::Duration;

use proofs::claim_world::{self, Options};
use rhubarbrock::claim::{self, Action, AppendResult, Claims, Conclusion};

/// Seeds run in CI; `bench soak` runs more.
const SEEDS: u64 = 60;

const EVENTS: u64 = 4_000;

#[test]
fn a_key_runs_at_most_once_and_callers_are_told_the_truth() {
    for seed in 0..SEEDS {
        if let Err(violation) = claim_world::run(seed, EVENTS, Options::stormy(seed)) {
            panic!("{violation}");
        }
    }
}

/// Seeds that once broke an invariant: a call refused, and one run, after a gap in the log.
#[test]
fn seeds_that_failed_once_pass() {
    for seed in [319, 668, 738] {
        if let Err(violation) = claim_world::run(seed, 10_000, Options::stormy(seed)) {
            panic!("{violation}");
        }
    }
}

#[test]
fn without_faults_every_key_is_answered() {
    for seed in 0..5 {
        let report = claim_world::run(seed, EVENTS, Options::calm())
            .unwrap_or_else(|violation| panic!("{violation}"));
        assert_eq!(report.in_doubt.len(), 0, "seed {seed}: {report:?}");
        assert!(report.runs > 0, "seed {seed}: {report:?}");
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn first_call(call: u64) -> claim::NewCall {
    claim::NewCall {
        call,
        organisation: "trust".to_owned(),
        key: Some(format!("key-{call}")),
        is_repetition: false,
        key_created: None,
        request_sha256: [1; 32],
        service: "order-desk".to_owned(),
        sequence_position: None,
    }
}

fn page(oldest: u64, records: Vec<claim::Record>) -> claim::Page {
    let next = records.last().map_or(oldest, |record| record.offset + 1);
    claim::Page { records, next_offset: next, oldest_offset: oldest, end_offset: next }
}

fn only_append(actions: Vec<Action>) -> (u64, Vec<u8>) {
    match actions.as_slice() {
        [Action::Append { batch, record }] => (*batch, record.clone()),
        other => panic!("one append expected, not {other:?}"),
    }
}

/// The call waits for an append while the log forgets records that the node has not read. Its
/// caller's repetition may have run in them.
#[test]
fn a_call_that_waited_over_a_gap_in_the_log_does_not_run() {
    let mut claims = Claims::new(claim::Config::new(), 1, 1);
    claims.on_records(at(0), page(1, Vec::new()));
    let (batch, _) = only_append(claims.begin(at(1), at(1), first_call(1)));
    assert!(claims.begin(at(2), at(2), first_call(2)).is_empty(), "one append at a time");
    claims.on_records(at(3), page(50, Vec::new()));
    let mut actions = claims.on_append_result(at(50), batch, AppendResult::Unknown);
    for offset in 50..60 {
        let mut records = Vec::new();
        for action in std::mem::take(&mut actions) {
            match action {
                Action::Append { batch, record: bytes } => {
                    records.push(claim::Record { offset, time_ms: 100 * offset, bytes });
                    claims.on_append_result(at(offset), batch, AppendResult::At(offset));
                }
                Action::Finish { call, conclusion } => {
                    assert!(matches!(conclusion, Conclusion::NotRun { .. }), "call {call}");
                }
                Action::Dispatch { call, .. } => panic!("call {call} is dispatched"),
            }
        }
        actions.extend(claims.on_records(at(offset), page(offset, records)));
        actions.extend(claims.tick(at(offset * 10), at(offset * 10)));
    }
    assert_eq!(claims.waiting_calls(), 1, "the first call's claim may still appear in time");
}

/// A holder sleeps over its key's life and then reads its own claim.
#[test]
fn a_claim_read_back_past_its_keys_life_does_not_run() {
    let config = claim::Config::new();
    let life_ms = 24 * 60 * 60 * 1000;
    let mut claims = Claims::new(config, 1, 1);
    claims.on_records(at(0), page(1, Vec::new()));
    let (_, bytes) = only_append(claims.begin(at(1), at(1), first_call(1)));
    let claimed = claim::Record { offset: 1, time_ms: 1, bytes };
    let later = claim::Record { offset: 2, time_ms: life_ms + 2, bytes: Vec::new() };
    let actions = claims.on_records(at(life_ms), page(1, vec![claimed, later]));
    assert_eq!(actions, [Action::Finish { call: 1, conclusion: Conclusion::KeyExpired }]);
}
