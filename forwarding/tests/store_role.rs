//! Who follows the entries in the store.

mod support;

use forwarding::dispatcher::Dispatcher;
use forwarding::peers::Peers;
use forwarding::store_role::{StoreAnswerTimes, StoreRole};
use rhubarbrock_schema::gossip;
use support::{DESK, entry, ms, settings};

/// Takes a report of a gateway that follows the store, `store_age_ms` after it was answered.
fn hear(peers: &mut Peers, now_ms: u64, name: &str, sequence: u64, store_age_ms: u32) {
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
fn the_first_gateways_read_and_the_others_listen() {
    let reading = StoreRole::default();
    assert!(reading.is_reader());
    for rank in 0..3 {
        assert!(reading.next(ms(0), rank, 5, true).is_reader());
    }
    assert!(!reading.next(ms(0), 3, 3, true).is_reader());
}

#[test]
fn a_gateway_that_hears_fewer_than_two_readers_reads_itself() {
    let listener = StoreRole::default().next(ms(0), 7, 3, true);
    assert!(!listener.next(ms(100), 7, 2, true).is_reader());
    assert!(listener.next(ms(100), 7, 1, true).is_reader());
}

#[test]
fn a_lasting_difference_from_all_readers_makes_a_listener_list_once() {
    let mut reading = StoreRole::default().next(ms(0), 7, 3, false);
    reading = reading.next(ms(1_000), 7, 3, false);
    assert!(!reading.must_list_all(ms(1_000)));
    assert!(reading.must_list_all(ms(1_800)));
    reading = reading.next(ms(1_900), 7, 3, false);
    assert!(!reading.must_list_all(ms(1_900)), "it lists again at once");
    reading = reading.next(ms(2_500), 7, 3, true);
    assert!(!reading.must_list_all(ms(9_000)));
}

#[test]
fn readers_that_the_store_no_longer_answers_do_not_count() {
    let mut peers = Peers::default();
    hear(&mut peers, 0, "a", 1, 200);
    hear(&mut peers, 0, "b", 1, 200);
    assert_eq!(peers.fresh_readers(ms(700), ms(1_000)), 2);
    assert_eq!(peers.reader_rank(ms(700), ms(1_000), "c"), 2);
    hear(&mut peers, 700, "a", 2, 900);
    assert_eq!(peers.fresh_readers(ms(900), ms(1_000)), 0);
    assert_eq!(peers.reader_rank(ms(900), ms(1_000), "c"), 0);
    hear(&mut peers, 900, "b", 2, u32::MAX);
    assert_eq!(peers.fresh_readers(ms(900), ms(1_000)), 0);
}

#[test]
fn a_gateway_that_waits_for_renewed_entries_reads_itself() {
    let mut dispatcher = Dispatcher::new(settings("z"));
    for name in ["a", "b", "c"] {
        hear(&mut dispatcher.peers, 0, name, 1, 0);
    }
    dispatcher.endpoints.on_entry(ms(0), entry("d1", DESK, 1, 1));
    assert!(!dispatcher.update_store_role(ms(10)).is_reader());
    // The store comes back, and the entry has lapsed meanwhile.
    dispatcher.endpoints.on_store_unavailable();
    dispatcher.endpoints.on_store_available(ms(20));
    dispatcher.endpoints.on_snapshot(ms(20), Vec::new());
    assert!(dispatcher.update_store_role(ms(30)).is_reader());
    dispatcher.endpoints.on_entry(ms(40), entry("d1", DESK, 1, 2));
    assert!(!dispatcher.update_store_role(ms(50)).is_reader());
}

#[test]
fn the_age_of_news_is_that_of_the_older_topic() {
    let mut answers = StoreAnswerTimes { releases_at: None, entries_at: Some(ms(900)) };
    assert_eq!(answers.age(ms(1_000)), None);
    answers.releases_at = Some(ms(300));
    assert_eq!(answers.age(ms(1_000)), Some(ms(700)));
}
