//! Which gateways read the store.

mod support;

use forwarding::dispatcher::Dispatcher;
use forwarding::peers::Peers;
use forwarding::store_role::{StoreAnswerTimes, StoreRole};
use rhubarbrock_schema::gossip;
use support::{PLAIN_SERVICE, entry, ms, settings};

/// Delivers a report from a reader that the store answered `store_age_ms` before the report.
fn receive_report(peers: &mut Peers, now_ms: u64, name: &str, sequence: u64, store_age_ms: u32) {
    let report = gossip::Report {
        name: name.to_owned(),
        sequence,
        reads_entries: true,
        store_age_ms,
        ..gossip::Report::default()
    };
    peers.on_report(ms(now_ms), ms(now_ms), "127.0.0.1:7".parse().unwrap(), report);
}

#[test]
fn makes_first_three_gateways_readers() {
    let role = StoreRole::default();
    assert!(role.is_reader());
    for rank in 0..3 {
        assert!(role.next(ms(0), rank, 5, true).is_reader());
    }
    assert!(!role.next(ms(0), 3, 3, true).is_reader());
}

#[test]
fn becomes_reader_with_fewer_than_two_other_readers() {
    let listener = StoreRole::default().next(ms(0), 7, 3, true);
    assert!(!listener.next(ms(100), 7, 2, true).is_reader());
    assert!(listener.next(ms(100), 7, 1, true).is_reader());
}

#[test]
fn lists_entries_once_after_lasting_difference() {
    let mut role = StoreRole::default().next(ms(0), 7, 3, false);
    role = role.next(ms(1_000), 7, 3, false);
    assert!(!role.must_list_all(ms(1_000)));
    assert!(role.must_list_all(ms(1_800)));
    role = role.next(ms(1_900), 7, 3, false);
    assert!(!role.must_list_all(ms(1_900)), "lists again immediately");
    role = role.next(ms(2_500), 7, 3, true);
    assert!(!role.must_list_all(ms(9_000)));
}

#[test]
fn excludes_readers_that_store_does_not_answer() {
    let mut peers = Peers::default();
    receive_report(&mut peers, 0, "a", 1, 200);
    receive_report(&mut peers, 0, "b", 1, 200);
    assert_eq!(peers.fresh_readers(ms(700), ms(1_000)), 2);
    assert_eq!(peers.reader_rank(ms(700), ms(1_000), "c"), 2);
    receive_report(&mut peers, 700, "a", 2, 900);
    assert_eq!(peers.fresh_readers(ms(900), ms(1_000)), 0);
    assert_eq!(peers.reader_rank(ms(900), ms(1_000), "c"), 0);
    receive_report(&mut peers, 900, "b", 2, u32::MAX);
    assert_eq!(peers.fresh_readers(ms(900), ms(1_000)), 0);
}

#[test]
fn reads_store_while_waiting_for_renewals() {
    let mut dispatcher = Dispatcher::new(settings("z"));
    for name in ["a", "b", "c"] {
        receive_report(&mut dispatcher.peers, 0, name, 1, 0);
    }
    dispatcher.endpoints.on_entry(ms(0), entry("d1", PLAIN_SERVICE, 1, 1));
    assert!(!dispatcher.update_store_role(ms(10)).is_reader());
    // The entry lapses during a store outage.
    dispatcher.endpoints.on_store_unavailable();
    dispatcher.endpoints.on_store_available(ms(20));
    dispatcher.endpoints.on_snapshot(ms(20), Vec::new());
    assert!(dispatcher.update_store_role(ms(30)).is_reader());
    dispatcher.endpoints.on_entry(ms(40), entry("d1", PLAIN_SERVICE, 1, 2));
    assert!(!dispatcher.update_store_role(ms(50)).is_reader());
}

#[test]
fn returns_age_of_older_answer() {
    let mut answers = StoreAnswerTimes { entries_at: Some(ms(900)), ..StoreAnswerTimes::default() };
    assert_eq!(answers.age(ms(1_000)), None);
    answers.releases_at = Some(ms(300));
    assert_eq!(answers.age(ms(1_000)), Some(ms(700)));
}
