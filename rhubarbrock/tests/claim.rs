//! At-most-once calls under simulated failures of nodes, the log and the service.

use std::time::Duration;

use proofs::claim_simulation::{self, Options};
use rhubarbrock::claim::{self, Action, AppendResult, Claims, Conclusion};

/// Seeds per test run; `bench soak` runs more.
const SEEDS: u64 = 60;

const EVENTS_PER_SEED: u64 = 4_000;

#[test]
fn runs_each_key_at_most_once_and_concludes_truthfully() {
    for seed in 0..SEEDS {
        if let Err(violation) =
            claim_simulation::run(seed, EVENTS_PER_SEED, Options::with_faults(seed))
        {
            panic!("{violation}");
        }
    }
}

/// With these seeds a call was once refused, and another with its key run, after a gap in the log.
#[test]
fn passes_seeds_that_once_failed() {
    for seed in [319, 668, 738] {
        if let Err(violation) = claim_simulation::run(seed, 10_000, Options::with_faults(seed)) {
            panic!("{violation}");
        }
    }
}

#[test]
fn answers_every_key_without_faults() {
    for seed in 0..5 {
        let report = claim_simulation::run(seed, EVENTS_PER_SEED, Options::without_faults())
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
        key_created_at: None,
        request_sha256: [1; 32],
        service: "order-desk".to_owned(),
        sequence_position: None,
    }
}

fn page(oldest: u64, records: Vec<claim::Record>) -> claim::Page {
    let next = records.last().map_or(oldest, |record| record.offset + 1);
    claim::Page { records, next_offset: next, oldest_offset: oldest, end_offset: next }
}

fn expect_single_append(actions: Vec<Action>) -> (u64, Vec<u8>) {
    match actions.as_slice() {
        [Action::Append { batch, record }] => (*batch, record.clone()),
        other => panic!("expected one append, got {other:?}"),
    }
}

/// The call waits for an append while the log drops records that the node has not read. A
/// repetition of the call may have run in them.
#[test]
fn does_not_run_call_queued_across_log_gap() {
    let mut claims = Claims::new(claim::Config::new(), 1, 1);
    claims.on_records(at(0), page(1, Vec::new()));
    let (batch, _) = expect_single_append(claims.begin(at(1), at(1), first_call(1)));
    assert!(
        claims.begin(at(2), at(2), first_call(2)).is_empty(),
        "a second append was sent while one is in flight"
    );
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
                Action::Dispatch { call, .. } => panic!("call {call} was dispatched"),
            }
        }
        actions.extend(claims.on_records(at(offset), page(offset, records)));
        actions.extend(claims.tick(at(offset * 10), at(offset * 10)));
    }
    assert_eq!(
        claims.waiting_calls(),
        1,
        "only the first call may wait, as its claim may still appear in time"
    );
}

/// A holder that is paused for longer than the lifetime of its key then reads its own claim.
#[test]
fn does_not_run_claim_read_back_after_key_lifetime() {
    let config = claim::Config::new();
    let key_lifetime_ms = 24 * 60 * 60 * 1000;
    let mut claims = Claims::new(config, 1, 1);
    claims.on_records(at(0), page(1, Vec::new()));
    let (_, bytes) = expect_single_append(claims.begin(at(1), at(1), first_call(1)));
    let claimed = claim::Record { offset: 1, time_ms: 1, bytes };
    let later = claim::Record { offset: 2, time_ms: key_lifetime_ms + 2, bytes: Vec::new() };
    let actions = claims.on_records(at(key_lifetime_ms), page(1, vec![claimed, later]));
    assert_eq!(actions, [Action::Finish { call: 1, conclusion: Conclusion::KeyExpired }]);
}
