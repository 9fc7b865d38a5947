//! Waits that endpoints request when they refuse.

mod support;

use forwarding::dispatcher::{AdmittedRequest, Dispatcher, Outcome, Target};
use forwarding::endpoints::EndpointTable;
use forwarding::refusal::RefusalReason;
use support::{PLAIN_SERVICE, entry, ms, release, request, settings};

fn table() -> EndpointTable {
    let mut table = EndpointTable::default();
    table.on_entry(ms(0), entry("a", PLAIN_SERVICE, 5, 1));
    table
}

fn wait_end(table: &EndpointTable, now_ms: u64) -> Option<std::time::Duration> {
    table.wait_end(ms(now_ms), table.get("a").unwrap())
}

#[test]
fn wait_is_neither_shortened_nor_ended_by_success() {
    let mut table = table();
    assert!(table.on_wait_requested(ms(10), "a", 5, ms(2_000)));
    assert!(!table.on_wait_requested(ms(20), "a", 5, ms(1_000)));
    table.on_sent(ms(25), "a", 0);
    table.on_success("a");
    table.tick(ms(30));
    table.on_entry(ms(30), entry("a", PLAIN_SERVICE, 5, 2));
    assert_eq!(wait_end(&table, 1_999), Some(ms(2_000)));
    assert_eq!(wait_end(&table, 2_000), None);
}

#[test]
fn wait_is_extended_by_a_later_answer() {
    let mut table = table();
    table.on_wait_requested(ms(10), "a", 5, ms(2_000));
    assert!(!table.on_wait_requested(ms(20), "a", 5, ms(3_000)));
    assert_eq!(wait_end(&table, 2_500), Some(ms(3_000)));
    assert!(table.on_wait_requested(ms(4_000), "a", 5, ms(5_000)));
    assert_eq!(wait_end(&table, 4_500), Some(ms(5_000)));
}

#[test]
fn wait_of_no_time_is_ignored() {
    let mut table = table();
    assert!(!table.on_wait_requested(ms(10), "a", 5, ms(10)));
    assert_eq!(wait_end(&table, 10), None);
}

#[test]
fn wait_holds_for_its_process_only() {
    let mut table = table();
    table.on_wait_requested(ms(10), "a", 5, ms(9_000));
    table.on_entry(ms(20), entry("a", PLAIN_SERVICE, 6, 1));
    assert_eq!(wait_end(&table, 20), None);
    table.on_wait_requested(ms(30), "a", 6, ms(2_000));
    table.on_wait_requested(ms(40), "a", 5, ms(9_000));
    assert_eq!(wait_end(&table, 40), Some(ms(2_000)));
}

fn dispatcher(endpoints: &[&str]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(settings("g1"));
    dispatcher.on_release(release(3));
    for id in endpoints {
        dispatcher.endpoints.on_entry(ms(0), entry(id, PLAIN_SERVICE, 1, 1));
    }
    dispatcher
}

fn next(
    dispatcher: &mut Dispatcher,
    now_ms: u64,
) -> (AdmittedRequest, Result<Target, RefusalReason>) {
    let request = request("a1", "/look/1");
    let mut admitted = dispatcher.admit(ms(now_ms), &request, b"body").unwrap();
    let target = dispatcher.next_target(ms(now_ms), &mut admitted);
    (admitted, target)
}

/// Guards against requests to an endpoint that asked for none, because the others fail.
#[test]
fn waiting_endpoint_is_not_selected_even_if_the_others_are_ejected() {
    let mut dispatcher = dispatcher(&["d1", "d2"]);
    dispatcher.endpoints.on_wait_requested(ms(5), "d1", 1, ms(2_000));
    for _ in 0..2 {
        dispatcher.endpoints.on_failure(ms(10), "d2");
    }
    for _ in 0..20 {
        assert_eq!(next(&mut dispatcher, 20).1.unwrap().id, "d2");
    }
    let (mut admitted, target) = next(&mut dispatcher, 20);
    dispatcher.on_failed(ms(25), &mut admitted, &target.unwrap(), Outcome::Refused, false);
    let refused = dispatcher.next_target(ms(30), &mut admitted);
    assert_eq!(refused.unwrap_err(), RefusalReason::NoEndpoint);
    let selected: Vec<String> =
        (0..20).map(|_| next(&mut dispatcher, 2_000).1.unwrap().id).collect();
    assert!(selected.iter().any(|id| id == "d1"));
}

#[test]
fn request_refused_with_a_wait_is_sent_to_another_endpoint() {
    let mut dispatcher = dispatcher(&["d1", "d2"]);
    let (mut admitted, target) = next(&mut dispatcher, 10);
    let first = target.unwrap();
    dispatcher.endpoints.on_wait_requested(ms(15), &first.id, 1, ms(2_000));
    dispatcher.on_failed(ms(15), &mut admitted, &first, Outcome::Refused, false);
    assert_ne!(dispatcher.next_target(ms(16), &mut admitted).unwrap().id, first.id);
}

/// Guards against a request that waits for its deadline, or a caller that comes back too early,
/// while all endpoints refuse.
#[test]
fn request_is_refused_until_the_earliest_end_if_all_endpoints_wait() {
    let mut dispatcher = dispatcher(&["d1", "d2"]);
    dispatcher.endpoints.on_wait_requested(ms(5), "d1", 1, ms(3_000));
    dispatcher.endpoints.on_wait_requested(ms(5), "d2", 1, ms(1_700));
    let refusal = next(&mut dispatcher, 200).1.unwrap_err();
    assert_eq!(refusal, RefusalReason::Full { wait: ms(1_500) });
    assert_eq!(refusal.retry_after(), Some(ms(1_500)));
    assert_eq!(next(&mut dispatcher, 1_700).1.unwrap().id, "d2");
}

#[test]
fn last_endpoint_that_requests_a_wait_sets_the_callers_wait() {
    let mut dispatcher = dispatcher(&["d1"]);
    let (mut admitted, target) = next(&mut dispatcher, 10);
    dispatcher.endpoints.on_wait_requested(ms(15), "d1", 1, ms(2_015));
    dispatcher.on_failed(ms(15), &mut admitted, &target.unwrap(), Outcome::Refused, false);
    let refused = dispatcher.next_target(ms(15), &mut admitted);
    assert_eq!(refused.unwrap_err(), RefusalReason::Full { wait: ms(2_000) });
}
