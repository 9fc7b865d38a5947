//! Endpoints whose entries are missing though nobody saw them leave: a newer entry brings them back,
//! one from before does not. Answers the pattern of an outage of the store that is too short to be
//! taken for one, and of an endpoint that is cut off from the store.

mod support;

use std::time::Duration;

use forwarding::endpoints::{Change, EndpointTable, Entry};
use support::{MODEL_SERVICE, entry, ms};

/// Longer than a departure is remembered.
const LONG: Duration = Duration::from_secs(300);

fn own(sequence: u64) -> Entry {
    entry("a", MODEL_SERVICE, 5, sequence)
}

/// Table in which the entry with sequence number 7 was removed at 10 ms.
fn table_after_removal() -> EndpointTable {
    let mut table = EndpointTable::default();
    table.on_snapshot(ms(0), vec![own(7)]);
    assert_eq!(table.on_removed(ms(10), "a"), Change::Gone);
    table
}

#[test]
fn endpoint_is_unused_until_a_newer_entry_on_every_path() {
    type Path = fn(&mut EndpointTable, Entry) -> Change;
    let paths: [Path; 4] = [
        |table, entry| table.on_entry(ms(20), entry),
        |table, entry| table.on_reported_entry(ms(20), entry),
        |table, entry| table.on_handover_entry(ms(20), entry),
        |table, entry| {
            let changes = table.on_snapshot(ms(20), vec![entry]);
            changes.first().map_or(Change::None, |&(_, change)| change)
        },
    ];
    for path in paths {
        let mut table = table_after_removal();
        for stale in 6..=7 {
            assert_eq!(path(&mut table, own(stale)), Change::None);
            assert!(table.get("a").is_none(), "entry {stale} is from before the removal");
        }
        assert_eq!(path(&mut table, own(8)), Change::Joined);
        assert!(table.get("a").is_some());
        assert!(table.recently_missing(ms(20), LONG).is_empty());
    }
}

#[test]
fn missing_entry_is_not_reported_as_a_departure() {
    let table = table_after_removal();
    assert!(table.recent_departures(ms(20), LONG).is_empty());
    assert_eq!(table.recently_missing(ms(20), LONG), [("a".to_owned(), 5, 7)]);
    assert!(table.recently_missing(ms(20), ms(5)).is_empty());
}

#[test]
fn entry_that_was_not_renewed_in_time_is_taken_back_later() {
    let mut table = EndpointTable::default();
    table.on_snapshot(ms(0), vec![own(7)]);
    table.on_store_unavailable();
    table.on_store_available(ms(5_000));
    assert_eq!(table.on_removed(ms(5_010), "a"), Change::Lapsed);
    assert_eq!(table.tick(ms(7_400)), ["a"]);
    assert_eq!(table.on_entry(ms(9_000), own(8)), Change::Joined);
}

/// Guards against forgetting live endpoints because another gateway took an outage for too short.
#[test]
fn reported_missing_entry_stops_use_only_of_endpoints_without_a_newer_one() {
    let mut table = EndpointTable::default();
    table.on_snapshot(ms(0), vec![own(7)]);
    assert_eq!(table.on_peer_missing(ms(10), "a", 5, 6), Change::None);
    assert_eq!(table.on_peer_missing(ms(10), "a", 4, 90), Change::None);
    assert!(table.get("a").is_some());
    assert_eq!(table.on_peer_missing(ms(20), "a", 5, 9), Change::Gone);
    assert_eq!(table.recently_missing(ms(20), LONG), [("a".to_owned(), 5, 9)]);
    // Entries that are newer here, but not than those that the other gateway knew.
    assert_eq!(table.on_reported_entry(ms(30), own(9)), Change::None);
    assert_eq!(table.on_peer_missing(ms(40), "a", 5, 12), Change::None);
    assert_eq!(table.on_reported_entry(ms(50), own(12)), Change::None);
    assert_eq!(table.on_entry(ms(60), own(13)), Change::Joined);
    assert_eq!(table.on_peer_missing(ms(70), "a", 5, 12), Change::None);
    assert!(table.get("a").is_some());
}

#[test]
fn reported_missing_entry_may_be_renewed_after_an_outage() {
    let mut table = EndpointTable::default();
    table.on_snapshot(ms(0), vec![own(7), entry("b", MODEL_SERVICE, 5, 7)]);
    table.on_store_unavailable();
    table.on_store_available(ms(5_000));
    assert_eq!(table.on_peer_missing(ms(5_010), "a", 5, 7), Change::Lapsed);
    assert_eq!(table.on_peer_missing(ms(5_020), "a", 5, 7), Change::None);
    assert_eq!(table.on_peer_missing(ms(5_020), "b", 5, 7), Change::Lapsed);
    table.on_entry(ms(6_000), own(8));
    assert_eq!(table.tick(ms(7_400)), ["b"]);
}

/// Guards against requests to an endpoint that another gateway has seen leave (DRAIN).
#[test]
fn endpoint_that_was_seen_to_leave_stays_gone_if_its_entry_is_missing_too() {
    let mut leaving = own(8);
    leaving.is_leaving = true;
    let seen: [fn(&mut EndpointTable, Entry) -> Change; 3] = [
        |table, leaving| table.on_entry(ms(20), leaving),
        |table, _| table.on_peer_departure(ms(20), "a", 5),
        |table, _| table.on_leaving_answer(ms(20), "a", 5),
    ];
    for see in seen {
        for is_missing_first in [true, false] {
            let mut table = EndpointTable::default();
            table.on_snapshot(ms(0), vec![own(7)]);
            if is_missing_first {
                table.on_removed(ms(10), "a");
                table.on_peer_missing(ms(10), "a", 5, 7);
            }
            see(&mut table, leaving.clone());
            table.on_removed(ms(30), "a");
            assert_eq!(table.on_peer_missing(ms(30), "a", 5, 8), Change::None);
            assert_eq!(table.recent_departures(ms(30), LONG), [("a".to_owned(), 5)]);
            assert!(table.recently_missing(ms(30), LONG).is_empty());
            for sequence in 7..20 {
                assert_eq!(table.on_entry(ms(40), own(sequence)), Change::None);
                assert_eq!(table.on_reported_entry(ms(40), own(sequence)), Change::None);
                assert_eq!(table.on_handover_entry(ms(40), own(sequence)), Change::None);
            }
            assert!(table.get("a").is_none());
        }
    }
}

#[test]
fn missing_entry_of_an_earlier_process_does_not_affect_the_next_one() {
    let mut table = table_after_removal();
    assert_eq!(table.on_entry(ms(20), entry("a", MODEL_SERVICE, 6, 1)), Change::Joined);
    assert_eq!(table.on_peer_missing(ms(30), "a", 5, 90), Change::None);
    assert_eq!(table.on_entry(ms(40), own(91)), Change::None);
    assert_eq!(table.get("a").unwrap().entry.process_start_ms, 6);
}
