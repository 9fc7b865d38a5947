//! Replacement of attempts whose endpoints are silent.

mod support;

use forwarding::dispatcher::{AdmittedRequest, Dispatcher, Outcome, Target};
use forwarding::endpoints::Entry;
use forwarding::refusal::RefusalReason;
use support::{MODEL_SERVICE, PLAIN_SERVICE, entry, ms, release, request, settings};

/// Capacity of each endpoint, more than the requests that a test sends.
const CAPACITY: u32 = 200;

fn dispatcher(endpoints: &[&str]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(settings("g1"));
    dispatcher.on_release(release(3));
    for id in endpoints {
        for service in [MODEL_SERVICE, PLAIN_SERVICE] {
            let entry = entry(&format!("{service}-{id}"), service, 1, 1);
            dispatcher.endpoints.on_entry(ms(0), Entry { capacity: CAPACITY, ..entry });
        }
    }
    dispatcher
}

fn send(dispatcher: &mut Dispatcher, id: &str, path: &str) -> (AdmittedRequest, Target) {
    let mut admitted = dispatcher.admit(ms(10), &request(id, path), b"body").unwrap();
    let target = dispatcher.next_target(ms(10), &mut admitted).unwrap();
    (admitted, target)
}

fn assert_goes_on(dispatcher: &mut Dispatcher, mut admitted: AdmittedRequest, target: &Target) {
    let before = format!("{admitted:?} {:?}", dispatcher.endpoints);
    assert_eq!(dispatcher.replace_silent(ms(400), &mut admitted, target, true), None);
    assert_eq!(format!("{admitted:?} {:?}", dispatcher.endpoints), before);
}

#[test]
fn silent_attempt_is_replaced_at_another_endpoint() {
    for path in ["/look/1", "/write/1"] {
        let mut dispatcher = dispatcher(&["1", "2", "3"]);
        let (mut admitted, silent) = send(&mut dispatcher, "a1", path);
        let replacement =
            dispatcher.replace_silent(ms(400), &mut admitted, &silent, false).unwrap();
        assert_ne!(replacement.target.id, silent.id);
        assert_eq!(admitted.tried, [silent.id, replacement.target.id.clone()]);
        assert_eq!(admitted.possible_runs, 1);
        // The second attempt is the last one allowed.
        assert_goes_on(&mut dispatcher, admitted, &replacement.target);
    }
}

/// Guards against a request that no endpoint is left for, as one that was silent counts as failed.
#[test]
fn silent_endpoint_is_selected_again_if_the_others_refuse() {
    for path in ["/look/1", "/write/1"] {
        let mut dispatcher = dispatcher(&["1", "2", "3"]);
        let (mut admitted, silent) = send(&mut dispatcher, "a1", path);
        let replacement = dispatcher.replace_silent(ms(400), &mut admitted, &silent, false);
        let mut target = replacement.unwrap().target;
        for _ in 0..2 {
            assert_ne!(target.id, silent.id);
            dispatcher.on_failed(ms(410), &mut admitted, &target, Outcome::Refused, false);
            target = dispatcher.next_target(ms(410), &mut admitted).unwrap();
        }
        assert_eq!(target.id, silent.id);
        dispatcher.on_failed(ms(500), &mut admitted, &target, Outcome::Refused, false);
        let refused = dispatcher.next_target(ms(500), &mut admitted);
        assert_eq!(refused.unwrap_err(), RefusalReason::NoEndpoint, "not a third time");
    }
}

/// Guards against ending an attempt for a silence that must not be repeated.
#[test]
fn silent_attempt_that_may_run_only_once_goes_on() {
    for path in ["/order/1", "/answer/1"] {
        let mut dispatcher = dispatcher(&["1", "2"]);
        let (admitted, silent) = send(&mut dispatcher, "a1", path);
        assert_goes_on(&mut dispatcher, admitted, &silent);
    }
}

/// Guards against ending an attempt for a silence when no other endpoint is left.
#[test]
fn silent_attempt_without_another_endpoint_goes_on() {
    let mut dispatcher = dispatcher(&["1"]);
    let (admitted, silent) = send(&mut dispatcher, "a1", "/write/1");
    assert_goes_on(&mut dispatcher, admitted, &silent);
}

/// Guards against ending an attempt for a silence when the retry budget is spent.
#[test]
fn silent_attempt_goes_on_while_the_retry_budget_is_spent() {
    let mut dispatcher = dispatcher(&["1", "2"]);
    let mut silent = Vec::new();
    for index in 0..100 {
        silent.push(send(&mut dispatcher, &format!("a{index}"), "/look/1"));
    }
    let mut replaced = 0;
    for (mut admitted, target) in silent {
        let before = admitted.clone();
        if dispatcher.replace_silent(ms(400), &mut admitted, &target, false).is_some() {
            replaced += 1;
            // Only the budget is to prevent a replacement, not the ejection of a silent endpoint.
            dispatcher.endpoints.on_success(&target.id);
            continue;
        }
        assert_eq!(format!("{admitted:?}"), format!("{before:?}"));
        // The budget is refilled when the window has passed.
        let mut later = dispatcher.admit(ms(12_000), &request("later", "/look/1"), b"").unwrap();
        dispatcher.next_target(ms(12_000), &mut later).unwrap();
        admitted.deadline = ms(20_000);
        assert!(
            dispatcher.replace_silent(ms(12_000), &mut admitted, &target, false).is_some(),
            "not replaced later"
        );
        break;
    }
    assert!((1..100).contains(&replaced), "{replaced} of 100 replaced");
}

/// Guards against ending an attempt for a silence at its deadline as if another one could follow.
#[test]
fn silent_attempt_is_not_replaced_after_its_deadline() {
    let mut dispatcher = dispatcher(&["1", "2"]);
    let (mut admitted, silent) = send(&mut dispatcher, "a1", "/look/1");
    admitted.deadline = ms(300);
    assert_goes_on(&mut dispatcher, admitted, &silent);
}

/// Guards against ending a working attempt for one that its endpoint refuses.
#[test]
fn silent_attempt_goes_on_if_the_other_endpoint_refuses_requests() {
    let mut dispatcher = dispatcher(&["1", "2"]);
    let (admitted, silent) = send(&mut dispatcher, "a1", "/look/1");
    let other = if silent.id.ends_with('1') { "2" } else { "1" };
    dispatcher.endpoints.on_refused(&format!("{PLAIN_SERVICE}-{other}"), ms(500));
    assert_goes_on(&mut dispatcher, admitted, &silent);
}

/// Guards against ending a working attempt for one that its endpoint has no room for.
#[test]
fn silent_attempt_goes_on_if_the_other_endpoint_is_full() {
    let mut dispatcher = dispatcher(&["1", "2"]);
    let (admitted, silent) = send(&mut dispatcher, "a1", "/look/1");
    let other = if silent.id.ends_with('1') { "2" } else { "1" };
    for _ in 0..CAPACITY {
        dispatcher.endpoints.on_sent(ms(20), &format!("{PLAIN_SERVICE}-{other}"), 0);
    }
    assert_goes_on(&mut dispatcher, admitted, &silent);
}

/// Guards against ending a working attempt for one that cannot be answered before the deadline.
#[test]
fn silent_attempt_goes_on_if_too_little_time_is_left_for_another() {
    let mut dispatcher = dispatcher(&["1", "2"]);
    let (mut admitted, silent) = send(&mut dispatcher, "a1", "/look/1");
    admitted.deadline = ms(400) + admitted.latency_target / 2;
    assert_goes_on(&mut dispatcher, admitted, &silent);
}
