//! Departures that endpoints state in their answers.

mod support;

use std::time::Duration;

use forwarding::endpoints::{Change, EndpointTable};
use support::{MODEL_SERVICE, entry, ms};

/// Longer than a departure is remembered after the store no longer lists the endpoint.
const LONG: Duration = Duration::from_secs(300);

fn table() -> EndpointTable {
    let mut table = EndpointTable::default();
    table.on_entry(ms(0), entry("a", MODEL_SERVICE, 5, 1));
    table
}

#[test]
fn endpoint_that_says_it_leaves_is_gone_and_reported_once() {
    let mut table = table();
    assert_eq!(table.on_leaving_answer(ms(10), "a", 5), Change::Leaving);
    assert_eq!(table.on_leaving_answer(ms(20), "a", 5), Change::None);
    assert!(table.get("a").is_none());
    assert_eq!(table.recent_departures(ms(30), ms(25)), [("a".to_owned(), 5)]);
    assert!(table.recent_departures(ms(40), ms(25)).is_empty());
}

/// Guards against requests to a leaving endpoint whose entry stays in the store for minutes.
#[test]
fn entries_of_a_leaving_endpoint_are_refused_as_long_as_it_is_listed() {
    let mut table = table();
    table.on_leaving_answer(ms(10), "a", 5);
    table.tick(LONG);
    assert_eq!(table.on_entry(LONG, entry("a", MODEL_SERVICE, 5, 90)), Change::None);
    let listed = vec![entry("a", MODEL_SERVICE, 5, 91)];
    assert!(table.on_snapshot(LONG * 2, listed).is_empty());
    table.tick(LONG * 2);
    assert_eq!(table.on_reported_entry(LONG * 2, entry("a", MODEL_SERVICE, 5, 92)), Change::None);
    assert_eq!(table.on_handover_entry(LONG * 2, entry("a", MODEL_SERVICE, 5, 93)), Change::None);
    assert!(table.get("a").is_none());
}

#[test]
fn departure_known_before_the_answer_is_kept_as_well() {
    let mut table = table();
    table.on_peer_departure(ms(10), "a", 5);
    assert_eq!(table.on_leaving_answer(ms(20), "a", 5), Change::None);
    table.tick(LONG);
    assert_eq!(table.on_entry(LONG, entry("a", MODEL_SERVICE, 5, 90)), Change::None);
}

#[test]
fn departure_expires_some_time_after_the_entry_is_removed() {
    for is_listing in [false, true] {
        let mut table = table();
        table.on_leaving_answer(ms(10), "a", 5);
        match is_listing {
            true => drop(table.on_snapshot(LONG, Vec::new())),
            false => assert_eq!(table.on_removed(LONG, "a"), Change::None),
        }
        table.tick(LONG + ms(1_000));
        assert_eq!(table.on_peer_departure(LONG + ms(1_000), "a", 5), Change::None);
        assert!(table.recent_departures(LONG + ms(1_000), ms(2_000)).is_empty());
        table.tick(LONG * 2);
        assert_eq!(table.on_entry(LONG * 2, entry("a", MODEL_SERVICE, 5, 2)), Change::Joined);
    }
}

/// A leaving endpoint that lost its entry in an outage of the store may renew it.
#[test]
fn departure_is_kept_if_the_entry_returns() {
    let mut table = table();
    table.on_leaving_answer(ms(10), "a", 5);
    table.on_removed(ms(20), "a");
    table.on_entry(ms(30), entry("a", MODEL_SERVICE, 5, 9));
    table.tick(LONG);
    assert_eq!(table.on_entry(LONG, entry("a", MODEL_SERVICE, 5, 10)), Change::None);
}

#[test]
fn new_process_of_a_leaving_endpoint_is_used() {
    let mut table = table();
    table.on_leaving_answer(ms(10), "a", 5);
    assert_eq!(table.on_entry(ms(20), entry("a", MODEL_SERVICE, 6, 1)), Change::Joined);
    assert_eq!(table.on_leaving_answer(ms(30), "a", 5), Change::None);
    assert_eq!(table.get("a").unwrap().entry.process_start_ms, 6);
}

/// Processes without a known start look alike, so the next one must not be refused for good.
#[test]
fn process_with_unknown_start_is_used_again_after_some_time() {
    let mut table = EndpointTable::default();
    table.on_entry(ms(0), entry("a", MODEL_SERVICE, 0, 9));
    assert_eq!(table.on_leaving_answer(ms(10), "a", 0), Change::Leaving);
    assert_eq!(table.on_entry(ms(20), entry("a", MODEL_SERVICE, 0, 10)), Change::None);
    table.tick(LONG);
    assert_eq!(table.on_entry(LONG, entry("a", MODEL_SERVICE, 0, 1)), Change::Joined);
}

#[test]
fn answer_of_an_endpoint_without_entry_is_remembered() {
    let mut table = EndpointTable::default();
    assert_eq!(table.on_leaving_answer(ms(10), "a", 5), Change::None);
    assert_eq!(table.on_entry(ms(20), entry("a", MODEL_SERVICE, 5, 1)), Change::None);
    assert_eq!(table.recent_departures(ms(20), LONG), [("a".to_owned(), 5)]);
}
