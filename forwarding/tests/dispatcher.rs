//! Requests from admission to their last attempt.

mod support;

use std::time::Duration;

use forwarding::dispatcher::{AdmittedRequest, Dispatcher, Outcome, Refusal};
use forwarding::endpoints::Entry;
use support::{DESK, SERVICE, entry, ms, prompt, release, request, settings};

fn dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(settings("g1"));
    dispatcher.on_release(release(3));
    for (id, service) in
        [("w1", SERVICE), ("w2", SERVICE), ("w3", SERVICE), ("d1", DESK), ("d2", DESK)]
    {
        dispatcher.endpoints.on_entry(ms(0), entry(id, service, 1, 1));
    }
    dispatcher
}

fn admit(dispatcher: &mut Dispatcher, path: &str) -> AdmittedRequest {
    dispatcher.admit(ms(10), &request("a1", path), b"body").unwrap()
}

#[test]
fn a_gateway_without_a_release_refuses_everything_as_not_run() {
    let mut dispatcher = Dispatcher::new(settings("g1"));
    let refused = dispatcher.admit(ms(0), &request("a1", "/order/1"), b"");
    assert_eq!(refused.unwrap_err(), Refusal::NoRelease);
    assert!(!dispatcher.is_ready());
}

#[test]
fn an_older_release_never_replaces_a_newer_one() {
    let mut dispatcher = dispatcher();
    assert!(!dispatcher.on_release(release(2)));
    assert!(!dispatcher.on_release(release(3)));
    assert!(dispatcher.on_release(release(9)));
    assert_eq!(dispatcher.release().unwrap().version, 9);
}

#[test]
fn routes_go_by_host_and_longest_prefix() {
    let mut longer = release(4);
    longer.routes.push(support::route(
        "/order/special/",
        forwarding::release::RouteKind::Idempotent,
        DESK,
    ));
    assert_eq!(
        longer.route("host.example", "/order/special/1").unwrap().path_prefix,
        "/order/special/"
    );
    assert_eq!(longer.route("HOST.example:80", "/order/x").unwrap().path_prefix, "/order/");
    assert!(longer.route("host.example", "/order").is_none());
    assert!(longer.route("other.example", "/order/x").is_none());
}

#[test]
fn unknown_keys_and_routes_are_refused() {
    let mut dispatcher = dispatcher();
    let mut stranger = request("a1", "/order/1");
    stranger.key = Some("wrong".to_owned());
    assert_eq!(dispatcher.admit(ms(0), &stranger, b"").unwrap_err(), Refusal::UnknownKey);
    stranger.key = None;
    assert_eq!(dispatcher.admit(ms(0), &stranger, b"").unwrap_err(), Refusal::UnknownKey);
    let lost = request("a1", "/nowhere/1");
    assert_eq!(dispatcher.admit(ms(0), &lost, b"").unwrap_err(), Refusal::NoRoute);
}

#[test]
fn a_call_that_runs_once_at_most_is_not_sent_again_after_it_may_have_run() {
    let mut dispatcher = dispatcher();
    for outcome in [Outcome::Broken, Outcome::TimedOut, Outcome::Failed] {
        let mut admitted = admit(&mut dispatcher, "/order/1");
        let target = dispatcher.next_target(ms(20), &mut admitted).unwrap();
        dispatcher.on_failed(ms(30), &mut admitted, &target, outcome, false);
        assert!(!admitted.may_repeat(), "{outcome}");
    }
    for outcome in [Outcome::Unreachable, Outcome::Refused, Outcome::Misdirected] {
        let mut admitted = admit(&mut dispatcher, "/order/1");
        let target = dispatcher.next_target(ms(20), &mut admitted).unwrap();
        dispatcher.on_failed(ms(30), &mut admitted, &target, outcome, false);
        assert!(admitted.may_repeat(), "{outcome}");
    }
}

#[test]
fn a_repeatable_call_runs_on_as_many_endpoints_as_its_route_allows() {
    let mut dispatcher = dispatcher();
    let mut admitted = admit(&mut dispatcher, "/look/1");
    let first = dispatcher.next_target(ms(20), &mut admitted).unwrap();
    dispatcher.on_failed(ms(30), &mut admitted, &first, Outcome::Broken, false);
    assert!(admitted.may_repeat());
    let second = dispatcher.next_target(ms(40), &mut admitted).unwrap();
    assert_ne!(first.id, second.id);
    dispatcher.on_failed(ms(50), &mut admitted, &second, Outcome::Broken, false);
    assert!(!admitted.may_repeat());
}

#[test]
fn retries_stop_when_the_budget_is_spent() {
    let mut dispatcher = dispatcher();
    let mut retried = 0;
    for _ in 0..100 {
        let mut admitted = admit(&mut dispatcher, "/look/1");
        let target = dispatcher.next_target(ms(20), &mut admitted).unwrap();
        dispatcher.on_failed(ms(30), &mut admitted, &target, Outcome::Refused, false);
        retried += u32::from(dispatcher.next_target(ms(40), &mut admitted).is_ok());
    }
    let bounds = support::settings("g1").bounds;
    let allowed = 100.0 * bounds.retry_ratio + bounds.retry_slack;
    assert!(retried > 20 && f64::from(retried) <= allowed, "{retried} retries");
}

#[test]
fn a_request_that_crashed_three_endpoints_is_refused() {
    let mut dispatcher = dispatcher();
    let mut breaks = 0;
    for attempt in 0..4 {
        let request = request(&format!("a{attempt}"), "/order/1");
        let Ok(mut admitted) = dispatcher.admit(ms(10), &request, b"poison") else { break };
        let target = dispatcher.next_target(ms(20), &mut admitted).unwrap();
        dispatcher.on_failed(ms(30), &mut admitted, &target, Outcome::Broken, false);
        breaks += 1;
        // The endpoint crashed, and starts again.
        let again = entry(&target.id, support::DESK, target.process_start_ms + 1, 1);
        dispatcher.endpoints.on_entry(ms(35), again);
    }
    assert_eq!(breaks, 3);
    assert!(dispatcher.admit(ms(40), &request("b", "/order/1"), b"other").is_ok());
    let later = Duration::from_secs(90);
    assert!(dispatcher.admit(later, &request("c", "/order/1"), b"poison").is_ok());
}

#[test]
fn prompts_with_the_same_shared_parts_go_to_one_endpoint_until_it_is_loaded() {
    let mut dispatcher = dispatcher();
    let mut homes = Vec::new();
    for attempt in 0..60 {
        let mut request = request(&format!("a{attempt}"), "/write/1");
        request.prompt = Some(prompt(77, 100));
        let Ok(mut admitted) = dispatcher.admit(ms(10), &request, b"") else { break };
        homes.push(dispatcher.next_target(ms(20), &mut admitted).unwrap().id);
    }
    assert_eq!(homes[0], homes[1]);
    assert!(homes.iter().any(|home| *home != homes[0]), "load never moves a prompt");
}

#[test]
fn an_endpoint_that_joins_is_used_and_one_that_leaves_is_not() {
    let mut dispatcher = dispatcher();
    let mut leaving: Entry = entry("d1", DESK, 1, 2);
    leaving.is_leaving = true;
    dispatcher.endpoints.on_entry(ms(15), leaving);
    for _ in 0..10 {
        let mut admitted = admit(&mut dispatcher, "/order/1");
        assert_eq!(dispatcher.next_target(ms(20), &mut admitted).unwrap().id, "d2");
    }
}

#[test]
fn an_expired_request_is_not_sent() {
    let mut dispatcher = dispatcher();
    let mut admitted = admit(&mut dispatcher, "/order/1");
    assert_eq!(dispatcher.next_target(ms(1_010), &mut admitted).unwrap_err(), Refusal::Expired);
    assert!(admitted.tried.is_empty());
}
