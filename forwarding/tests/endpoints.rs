//! Acceptance of endpoint entries, departures and ejections.

mod support;

use std::time::Duration;

use forwarding::endpoints::{Change, EndpointTable, Entry};
use support::{MODEL_SERVICE, entry, ms};

fn leaving(mut entry: Entry) -> Entry {
    entry.is_leaving = true;
    entry
}

#[test]
fn ignores_late_entry_of_leaving_endpoint() {
    let mut table = EndpointTable::default();
    assert_eq!(table.on_entry(ms(0), entry("a", MODEL_SERVICE, 5, 1)), Change::Joined);
    assert_eq!(table.on_entry(ms(10), leaving(entry("a", MODEL_SERVICE, 5, 3))), Change::Leaving);
    assert_eq!(table.on_entry(ms(20), entry("a", MODEL_SERVICE, 5, 2)), Change::None);
    assert_eq!(table.on_entry(ms(30), entry("a", MODEL_SERVICE, 5, 4)), Change::None);
    assert!(table.get("a").is_none());
}

#[test]
fn treats_new_process_as_new_endpoint() {
    let mut table = EndpointTable::default();
    table.on_entry(ms(0), entry("a", MODEL_SERVICE, 5, 40));
    table.on_sent(ms(1), "a", 900);
    assert_eq!(table.on_entry(ms(10), entry("a", MODEL_SERVICE, 6, 1)), Change::Joined);
    assert_eq!(table.get("a").unwrap().waiting_tokens(), 0);
    assert_eq!(table.on_entry(ms(20), entry("a", MODEL_SERVICE, 5, 41)), Change::None);
    assert_eq!(table.get("a").unwrap().entry.process_start_ms, 6);
}

#[test]
fn removes_endpoint_with_its_entry_while_store_answers() {
    let mut table = EndpointTable::default();
    table.on_entry(ms(0), entry("a", MODEL_SERVICE, 5, 1));
    assert_eq!(table.on_removed(ms(10), "a"), Change::Gone);
    assert!(table.get("a").is_none());
    // Only an entry from after the removal shows that the endpoint lives.
    assert_eq!(table.on_entry(ms(20), entry("a", MODEL_SERVICE, 5, 1)), Change::None);
    assert!(table.get("a").is_none());
    assert_eq!(table.on_entry(ms(30), entry("a", MODEL_SERVICE, 5, 2)), Change::Joined);
}

#[test]
fn keeps_lapsed_endpoint_until_renewal_time_ends() {
    let mut table = EndpointTable::default();
    table.on_entry(ms(0), entry("a", MODEL_SERVICE, 5, 1));
    table.on_entry(ms(0), entry("b", MODEL_SERVICE, 5, 1));
    table.on_store_unavailable();
    table.on_store_available(ms(5_000));
    assert_eq!(table.on_removed(ms(5_010), "a"), Change::Lapsed);
    assert_eq!(table.on_removed(ms(5_010), "b"), Change::Lapsed);
    table.on_entry(ms(6_000), entry("b", MODEL_SERVICE, 5, 9));
    assert!(table.tick(ms(7_000)).is_empty());
    assert_eq!(table.tick(ms(7_400)), ["a"]);
    assert!(table.get("b").is_some());
}

/// Guards against endpoints that count as gone, or lapse, although the entry that a restored store
/// had lost was written again as it was.
#[test]
fn keeps_endpoint_whose_lost_entry_is_written_again() {
    let mut table = EndpointTable::default();
    table.on_snapshot(ms(0), vec![entry("a", MODEL_SERVICE, 5, 1)]);
    table.on_entry(ms(1_000), entry("b", MODEL_SERVICE, 5, 1));
    table.on_entry(ms(1_000), entry("c", MODEL_SERVICE, 5, 1));
    table.on_store_restored(ms(2_000));
    let changes = table.on_snapshot(ms(2_010), vec![entry("a", MODEL_SERVICE, 5, 1)]);
    assert_eq!(changes, ["b", "c"].map(|id| (id.to_owned(), Change::Lapsed)));
    // Only the store can confirm an endpoint.
    table.on_reported_entry(ms(2_500), entry("c", MODEL_SERVICE, 5, 1));
    table.on_entry(ms(3_000), entry("b", MODEL_SERVICE, 5, 1));
    assert_eq!(table.tick(ms(4_400)), ["c"]);
    assert!(table.get("b").is_some());
}

/// Guards against removing a live endpoint whose entry two restorations in a row have lost.
#[test]
fn keeps_endpoint_while_a_second_restoration_may_have_lost_its_entry() {
    let mut table = EndpointTable::default();
    table
        .on_snapshot(ms(0), vec![entry("a", MODEL_SERVICE, 5, 1), entry("b", MODEL_SERVICE, 5, 1)]);
    table.on_store_restored(ms(2_000));
    table.on_snapshot(ms(2_010), vec![entry("a", MODEL_SERVICE, 5, 1)]);
    table.on_store_restored(ms(4_000));
    table.on_snapshot(ms(4_010), vec![entry("a", MODEL_SERVICE, 5, 1)]);
    assert!(table.tick(ms(4_500)).is_empty());
    table.on_entry(ms(5_900), entry("b", MODEL_SERVICE, 5, 1));
    assert!(table.tick(ms(9_000)).is_empty());
}

#[test]
fn removes_endpoints_missing_from_snapshot() {
    let mut table = EndpointTable::default();
    table.on_entry(ms(0), entry("a", MODEL_SERVICE, 5, 1));
    let changes = table.on_snapshot(ms(10), vec![entry("b", MODEL_SERVICE, 5, 1)]);
    assert_eq!(changes, [("b".to_owned(), Change::Joined), ("a".to_owned(), Change::Gone)]);
}

/// An instance starts during an outage of the store, takes the endpoints from another gateway, and
/// reads a first listing from which entries lapsed. Their endpoints live and renew them soon.
#[test]
fn keeps_endpoints_from_handover_that_lapsed_before_first_snapshot() {
    let mut table = EndpointTable::default();
    let handover = ["a", "b", "c"].map(|id| entry(id, MODEL_SERVICE, 5, 1));
    for entry in handover {
        assert_eq!(table.on_handover_entry(ms(0), entry), Change::Joined);
    }
    let changes = table.on_snapshot(ms(1_800), vec![entry("a", MODEL_SERVICE, 5, 2)]);
    let lapsed = ["b", "c"].map(|id| (id.to_owned(), Change::Lapsed));
    assert_eq!(changes, lapsed);
    assert!(table.recent_departures(ms(1_800), Duration::from_secs(1)).is_empty());
    assert!(table.is_waiting_for_renewals());
    table.on_entry(ms(3_000), entry("b", MODEL_SERVICE, 5, 2));
    assert!(table.tick(ms(4_000)).is_empty());
    assert_eq!(table.tick(ms(4_200)), ["c"]);
    assert_eq!(table.iter().map(|each| each.entry.id.as_str()).collect::<Vec<_>>(), ["a", "b"]);
}

#[test]
fn keeps_reported_endpoint_that_lapsed_before_first_snapshot() {
    let mut table = EndpointTable::default();
    assert_eq!(table.on_reported_entry(ms(0), entry("a", MODEL_SERVICE, 5, 1)), Change::Joined);
    let changes = table.on_snapshot(ms(500), Vec::new());
    assert_eq!(changes, [("a".to_owned(), Change::Lapsed)]);
    table.on_reported_entry(ms(5_000), entry("b", MODEL_SERVICE, 5, 1));
    assert_eq!(table.on_removed(ms(5_100), "b"), Change::Gone);
}

#[test]
fn removes_endpoints_missing_from_second_snapshot_after_handover() {
    let mut table = EndpointTable::default();
    table.on_handover_entry(ms(0), entry("a", MODEL_SERVICE, 5, 1));
    table.on_snapshot(ms(100), vec![entry("a", MODEL_SERVICE, 5, 2)]);
    assert_eq!(table.on_snapshot(ms(3_000), Vec::new()), [("a".to_owned(), Change::Gone)]);
}

/// A gateway that hands over may be behind the store: after this gateway's own listing, only the
/// store can confirm an endpoint that was missing there.
#[test]
fn drops_handed_over_endpoint_that_store_does_not_confirm() {
    let mut table = EndpointTable::default();
    table.on_snapshot(ms(0), vec![entry("a", MODEL_SERVICE, 5, 1)]);
    table.on_handover_entry(ms(100), entry("a", MODEL_SERVICE, 5, 1));
    table.on_handover_entry(ms(100), entry("left", MODEL_SERVICE, 5, 1));
    table.on_handover_entry(ms(100), entry("renewed", MODEL_SERVICE, 5, 1));
    assert!(table.is_waiting_for_renewals());
    table.on_entry(ms(1_500), entry("renewed", MODEL_SERVICE, 5, 2));
    assert_eq!(table.tick(ms(2_500)), ["left"]);
    assert!(table.get("a").is_some() && table.get("renewed").is_some());
}

#[test]
fn applies_reported_departure_to_that_process_only() {
    let mut table = EndpointTable::default();
    table.on_entry(ms(0), entry("a", MODEL_SERVICE, 6, 1));
    assert_eq!(table.on_peer_departure(ms(10), "a", 5), Change::None);
    assert!(table.get("a").is_some());
    assert_eq!(table.on_peer_departure(ms(10), "a", 6), Change::Leaving);
    assert!(table.get("a").is_none());
    let recent = table.recent_departures(ms(20), Duration::from_secs(1));
    assert_eq!(recent, [("a".to_owned(), 6)]);
}

#[test]
fn ejects_after_two_failures_until_success() {
    let mut table = EndpointTable::default();
    table.on_entry(ms(0), entry("a", MODEL_SERVICE, 5, 1));
    assert!(!table.on_failure(ms(10), "a"));
    assert!(table.on_failure(ms(20), "a"));
    assert!(!table.get("a").unwrap().is_healthy(ms(30)));
    assert!(table.get("a").unwrap().is_healthy(ms(2_000)));
    table.on_sent(ms(2_000), "a", 0);
    assert!(table.on_success("a"));
    assert!(table.get("a").unwrap().is_healthy(ms(2_010)));
}

#[test]
fn raises_failure_rate_without_ejection_on_error_answers() {
    let mut table = EndpointTable::default();
    table.on_entry(ms(0), entry("a", MODEL_SERVICE, 5, 1));
    for _ in 0..20 {
        table.on_error_answer("a");
    }
    let endpoint = table.get("a").unwrap();
    assert!(endpoint.is_healthy(ms(10)));
    assert!(endpoint.failure_rate > 0.8, "{}", endpoint.failure_rate);
}

/// Guards against a replica that is lost for good because another writer replaced its entry.
#[test]
fn endpoint_is_unused_while_its_entry_is_unreadable_and_returns_with_the_next_entry() {
    for is_listed in [false, true] {
        let mut table = EndpointTable::default();
        table.on_entry(ms(0), entry("a", MODEL_SERVICE, 5, 3));
        table.on_entry(ms(0), entry("b", MODEL_SERVICE, 5, 1));
        assert_eq!(table.on_unreadable_entry(ms(10), "a"), Change::Gone);
        assert!(table.get("a").is_none());
        if is_listed {
            let changes = table.on_snapshot(ms(20), vec![entry("b", MODEL_SERVICE, 5, 1)]);
            assert!(changes.is_empty());
        }
        table.tick(ms(30));
        assert!(table.recent_departures(ms(30), ms(1_000)).is_empty());
        // Other gateways may still report the entry from before.
        let reported = table.on_reported_entry(ms(40), entry("a", MODEL_SERVICE, 5, 3));
        assert_eq!(reported, Change::None);
        let renewed = table.on_entry(ms(50), entry("a", MODEL_SERVICE, 5, 4));
        assert_eq!(renewed, Change::Joined);
        assert!(table.get("b").is_some());
    }
}

#[test]
fn unreadable_entry_of_an_unknown_endpoint_changes_nothing() {
    let mut table = EndpointTable::default();
    assert_eq!(table.on_unreadable_entry(ms(0), "a"), Change::None);
    assert_eq!(table.on_entry(ms(10), entry("a", MODEL_SERVICE, 5, 1)), Change::Joined);
}
