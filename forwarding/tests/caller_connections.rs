//! Connections of callers, and the memory that is held for them.

mod support;

use std::time::Duration;

use forwarding::caller_connections::{CallerConnections, ConnectionId, Stage};
use support::ms;

const MEMORY_BYTES: u64 = 120 * 1024 * 1024;
const LONGEST_BODY_BYTES: usize = 4 * 1024 * 1024;

fn connections() -> CallerConnections {
    CallerConnections::new(MEMORY_BYTES, 3_075)
}

/// Opens a connection whose request's body is read up to `bytes`; returns whether there was memory.
fn read(all: &mut CallerConnections, now: Duration, id: ConnectionId, bytes: usize) -> bool {
    all.open(now, id);
    all.set_stage(now, id, Stage::ReadingBody);
    all.hold(now, id, bytes).is_enough
}

/// Answers the pattern of many long bodies that stop short of their end.
#[test]
fn stopped_bodies_yield_to_those_that_move() {
    let mut all = connections();
    for id in 0..200 {
        assert!(read(&mut all, ms(id), id, LONGEST_BODY_BYTES));
        assert!(all.held_bytes() as u64 <= MEMORY_BYTES / 4);
    }
    assert!(read(&mut all, ms(5_000), 1_000, 30_000));
    let held = all.hold(ms(5_000), 1_000, 55_000);
    assert!(held.is_enough && held.yielding.is_empty());
    // Those that came last still hold theirs; the first ones have yielded.
    assert!(all.hold(ms(5_000), 199, LONGEST_BODY_BYTES).is_enough);
    assert!(!all.hold(ms(5_000), 0, LONGEST_BODY_BYTES).is_enough);
}

#[test]
fn requests_that_may_run_never_yield() {
    let mut all = connections();
    for id in 0..7 {
        assert!(read(&mut all, ms(0), id, LONGEST_BODY_BYTES));
        all.set_stage(ms(0), id, Stage::Running);
    }
    assert!(!read(&mut all, ms(9_000), 100, LONGEST_BODY_BYTES));
    assert!(read(&mut all, ms(9_000), 101, 55_000));
    all.set_stage(ms(9_000), 0, Stage::Waiting);
    assert!(all.hold(ms(9_000), 100, LONGEST_BODY_BYTES).is_enough);
}

#[test]
fn organisation_that_holds_most_yields_first() {
    let mut all = connections();
    assert!(read(&mut all, ms(0), 1, LONGEST_BODY_BYTES));
    all.set_organisation(1, "modest");
    for id in 2..50 {
        all.open(ms(1_000), id);
        all.set_organisation(id, "greedy");
        all.set_stage(ms(1_000), id, Stage::ReadingBody);
        all.hold(ms(1_000), id, LONGEST_BODY_BYTES / 2);
    }
    assert!(all.hold(ms(2_000), 1, LONGEST_BODY_BYTES).is_enough);
}

/// Answers the pattern of pipelined requests whose answers are not read.
#[test]
fn answers_that_are_not_read_yield() {
    let mut all = connections();
    for id in 0..100 {
        assert!(read(&mut all, ms(id), id, 5));
        all.set_stage(ms(id), id, Stage::Running);
        all.hold_answer(ms(id), id, LONGEST_BODY_BYTES);
        assert!(all.held_bytes() as u64 <= MEMORY_BYTES / 4);
    }
    assert!(read(&mut all, ms(5_000), 1_000, LONGEST_BODY_BYTES));
}

/// Answers the pattern of connections that are opened and left.
#[test]
fn connections_unused_for_longest_yield_to_new_ones() {
    let mut all = connections();
    let max = all.max_connections() as u64;
    assert!((900..=1_400).contains(&max), "{max}");
    for id in 0..max {
        assert_eq!(all.open(ms(id), id), None);
    }
    all.set_stage(ms(max), 0, Stage::Running);
    let yielding = all.open(ms(max), max).unwrap();
    assert_eq!((yielding.id, yielding.stage), (1, Stage::Waiting));
    for id in 0..=max {
        all.set_stage(ms(max), id, Stage::Running);
    }
    assert_eq!(all.open(ms(max), max + 1).unwrap().id, max + 1);
}
