//! Admission, endpoint selection and retries of requests.

mod support;

use std::time::Duration;

use forwarding::dispatcher::{AdmittedRequest, Dispatcher, Outcome, Target};
use forwarding::endpoints::Entry;
use forwarding::refusal::RefusalReason;
use support::{MODEL_SERVICE, PLAIN_SERVICE, entry, ms, prompt, release, request, settings};

fn dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(settings("g1"));
    dispatcher.on_release(release(3));
    for (id, service) in [
        ("w1", MODEL_SERVICE),
        ("w2", MODEL_SERVICE),
        ("w3", MODEL_SERVICE),
        ("d1", PLAIN_SERVICE),
        ("d2", PLAIN_SERVICE),
    ] {
        dispatcher.endpoints.on_entry(ms(0), entry(id, service, 1, 1));
    }
    dispatcher
}

fn admit(dispatcher: &mut Dispatcher, path: &str) -> AdmittedRequest {
    dispatcher.admit(ms(10), &request("a1", path), b"body").unwrap()
}

#[test]
fn refuses_requests_without_release() {
    let mut dispatcher = Dispatcher::new(settings("g1"));
    let refused = dispatcher.admit(ms(0), &request("a1", "/order/1"), b"");
    assert_eq!(refused.unwrap_err(), RefusalReason::NoRelease);
    assert!(!dispatcher.is_ready());
}

#[test]
fn keeps_newer_release() {
    let mut dispatcher = dispatcher();
    assert!(!dispatcher.on_release(release(2)));
    assert!(!dispatcher.on_release(release(3)));
    assert!(dispatcher.on_release(release(9)));
    assert_eq!(dispatcher.release().unwrap().version, 9);
}

#[test]
fn matches_host_and_longest_path_prefix() {
    let mut with_longer_prefix = release(4);
    with_longer_prefix.routes.push(support::route(
        "/order/special/",
        forwarding::release::RouteKind::Idempotent,
        PLAIN_SERVICE,
    ));
    assert_eq!(
        with_longer_prefix.route("host.example", "/order/special/1").unwrap().path_prefix,
        "/order/special/"
    );
    assert_eq!(
        with_longer_prefix.route("HOST.example:80", "/order/x").unwrap().path_prefix,
        "/order/"
    );
    assert!(with_longer_prefix.route("host.example", "/order").is_none());
    assert!(with_longer_prefix.route("other.example", "/order/x").is_none());
}

#[test]
fn refuses_unknown_keys_and_routes() {
    let mut dispatcher = dispatcher();
    let mut unauthorised = request("a1", "/order/1");
    unauthorised.key = Some("wrong".to_owned());
    assert_eq!(dispatcher.admit(ms(0), &unauthorised, b"").unwrap_err(), RefusalReason::UnknownKey);
    unauthorised.key = None;
    assert_eq!(dispatcher.admit(ms(0), &unauthorised, b"").unwrap_err(), RefusalReason::UnknownKey);
    let unrouted = request("a1", "/nowhere/1");
    assert_eq!(dispatcher.admit(ms(0), &unrouted, b"").unwrap_err(), RefusalReason::NoRoute);
}

#[test]
fn repeats_at_most_once_request_only_if_it_has_not_run() {
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
fn repeats_idempotent_request_up_to_max_attempts() {
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
fn stops_retries_when_budget_is_spent() {
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
fn refuses_request_that_crashed_three_endpoints() {
    let mut dispatcher = dispatcher();
    let mut breaks = 0;
    for attempt in 0..4 {
        let request = request(&format!("a{attempt}"), "/order/1");
        let Ok(mut admitted) = dispatcher.admit(ms(10), &request, b"poison") else { break };
        let target = dispatcher.next_target(ms(20), &mut admitted).unwrap();
        dispatcher.on_failed(ms(30), &mut admitted, &target, Outcome::Broken, false);
        breaks += 1;
        // The endpoint crashed and restarts under the same id.
        let restarted = entry(&target.id, support::PLAIN_SERVICE, target.process_start_ms + 1, 1);
        dispatcher.endpoints.on_entry(ms(35), restarted);
    }
    assert_eq!(breaks, 3);
    assert!(dispatcher.admit(ms(40), &request("b", "/order/1"), b"other").is_ok());
    let later = Duration::from_secs(90);
    assert!(dispatcher.admit(later, &request("c", "/order/1"), b"poison").is_ok());
}

#[test]
fn keeps_prompts_with_shared_parts_at_one_endpoint_until_loaded() {
    let mut dispatcher = dispatcher();
    let mut selected = Vec::new();
    for attempt in 0..60 {
        let mut request = request(&format!("a{attempt}"), "/write/1");
        request.prompt = Some(prompt(77, 100));
        let Ok(mut admitted) = dispatcher.admit(ms(10), &request, b"") else { break };
        selected.push(dispatcher.next_target(ms(20), &mut admitted).unwrap().id);
    }
    assert_eq!(selected[0], selected[1]);
    assert!(
        selected.iter().any(|endpoint| *endpoint != selected[0]),
        "load moves no prompt to another endpoint"
    );
}

#[test]
fn sends_nothing_to_leaving_endpoint() {
    let mut dispatcher = dispatcher();
    let mut leaving: Entry = entry("d1", PLAIN_SERVICE, 1, 2);
    leaving.is_leaving = true;
    dispatcher.endpoints.on_entry(ms(15), leaving);
    for _ in 0..10 {
        let mut admitted = admit(&mut dispatcher, "/order/1");
        assert_eq!(dispatcher.next_target(ms(20), &mut admitted).unwrap().id, "d2");
    }
}

#[test]
fn does_not_send_expired_request() {
    let mut dispatcher = dispatcher();
    let mut admitted = admit(&mut dispatcher, "/order/1");
    assert_eq!(
        dispatcher.next_target(ms(1_010), &mut admitted).unwrap_err(),
        RefusalReason::Expired
    );
    assert!(admitted.tried.is_empty());
}

/// Sends three requests with one part, which breaks their endpoints before or after the first event,
/// and checks that the part is refused.
fn check_deadly_part(had_first_event: bool) {
    const DEADLY_PART: u64 = 77;
    let with_part = |id: u64, part: u64| {
        let mut request = request(&format!("a{id}"), "/write/1");
        let mut prompt = prompt(part, 100);
        prompt.parts.last_mut().unwrap().id += id;
        request.prompt = Some(prompt);
        request
    };
    let mut dispatcher = dispatcher();
    for id in 0..3 {
        let body = format!("body {id}");
        let deadly = with_part(id, DEADLY_PART);
        let mut admitted = dispatcher.admit(ms(id), &deadly, body.as_bytes()).unwrap();
        let target = dispatcher.next_target(ms(id), &mut admitted).unwrap();
        let restarted = Target { process_start_ms: id, ..target };
        if had_first_event {
            dispatcher.on_first_event(ms(id + 4), ms(id + 4), &mut admitted, &restarted);
        }
        let outcome = Outcome::Broken;
        dispatcher.on_failed(ms(id + 5), &mut admitted, &restarted, outcome, had_first_event);
        let mut admitted = dispatcher.admit(ms(id), &with_part(id, id), b"sound").unwrap();
        let target = dispatcher.next_target(ms(id + 5), &mut admitted).unwrap();
        dispatcher.on_answered(ms(id + 6), &admitted, &target);
    }
    let refused = dispatcher.admit(ms(20), &with_part(9, DEADLY_PART), b"unlike the others");
    assert_eq!(refused.unwrap_err(), RefusalReason::SuspectPart);
    let sound = dispatcher.admit(ms(20), &with_part(9, 5), b"unlike the others");
    assert!(sound.is_ok(), "same key and first part: {sound:?}");
}

/// Guards against requests of one kind that crash back ends one after the other.
#[test]
fn part_of_prompts_that_crashes_endpoints_is_refused_and_sound_prompts_are_not() {
    check_deadly_part(false);
}

/// Guards against crashes that count only until the first event of an answer.
#[test]
fn part_of_prompts_that_crashes_endpoints_after_the_first_event_is_refused() {
    check_deadly_part(true);
}
