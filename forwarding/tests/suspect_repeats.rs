//! Repetitions of a request, or requests with a part of a prompt, that crash endpoints and go on for
//! longer than breaks are remembered.

mod support;

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use forwarding::dispatcher::{Dispatcher, Outcome};
use forwarding::prompt_suspects::{PartHistory, PromptSuspects};
use forwarding::refusal::RefusalReason;
use forwarding::suspects::{RequestHistory, Suspects};
use support::{MODEL_SERVICE, PLAIN_SERVICE, ms};

const REQUEST: u64 = 7;

const PART: u64 = 9;

/// Longer than a break is remembered after the last refusal.
const LONG: Duration = Duration::from_secs(700);

fn crashed_request() -> Suspects {
    let mut suspects = Suspects::default();
    for endpoint in 1..4 {
        suspects.on_connection_break(ms(0), REQUEST, endpoint);
    }
    suspects
}

fn crashed_part() -> PromptSuspects {
    let mut suspects = PromptSuspects::default();
    let other = support::shared_parts(MODEL_SERVICE, &[1]);
    suspects.on_finished(ms(0), &other);
    for endpoint in 1..4 {
        let shared = support::shared_parts(MODEL_SERVICE, &[PART]);
        suspects.on_connection_break(&shared, endpoint, 10 + endpoint, ms(0));
        suspects.on_finished(ms(0), &other);
    }
    suspects.set_peer_histories(ms(100), HashMap::new());
    suspects
}

/// Guards against a request that crashes further endpoints each minute for as long as it is sent.
#[test]
fn refused_repetitions_renew_the_suspicion_against_a_request() {
    let mut suspects = crashed_request();
    let mut now = ms(100);
    while now < LONG {
        assert!(suspects.must_refuse(now, REQUEST), "sent again after {now:?}");
        suspects.on_refused(now, REQUEST);
        suspects.set_peer_histories(now, HashMap::new());
        now += Duration::from_secs(20);
    }
    suspects.set_peer_histories(now + LONG, HashMap::new());
    assert!(!suspects.must_refuse(now + LONG, REQUEST), "its repetitions have ended");
    assert!(suspects.to_report().is_empty());
    assert_eq!(suspects.refused_at(REQUEST), None);
}

#[test]
fn refusals_at_other_gateways_renew_the_suspicion_against_a_request() {
    let mut suspects = crashed_request();
    let mut now = ms(100);
    while now < LONG {
        now += Duration::from_secs(20);
        suspects.set_peer_refusals(HashMap::from([(REQUEST, now)]));
        suspects.set_peer_histories(now, HashMap::new());
        assert!(suspects.must_refuse(now, REQUEST), "admitted after {now:?}");
    }
    assert_eq!(suspects.refused_at(REQUEST), None, "refusals elsewhere must not be passed on");
    suspects.set_peer_refusals(HashMap::new());
    suspects.set_peer_histories(now + LONG, HashMap::new());
    assert!(!suspects.must_refuse(now + LONG, REQUEST));
}

/// Guards against forgetting a request when the gateways that saw its crashes restart.
#[test]
fn verdict_on_a_request_outlasts_the_gateways_that_observed_the_crashes() {
    let mut suspects = Suspects::default();
    let seen = |endpoint| RequestHistory { breaks: vec![(endpoint, ms(0))], finished_at: None };
    let histories = HashMap::from([(REQUEST, (1..9).map(seen).collect::<Vec<_>>())]);
    suspects.set_peer_histories(ms(10), histories);
    suspects.on_refused(ms(20), REQUEST);
    suspects.set_peer_histories(ms(30_000), HashMap::new());
    assert!(suspects.must_refuse(ms(30_000), REQUEST));
    assert_eq!(suspects.to_report()[0].1.breaks.len(), 3);
}

#[test]
fn completion_clears_a_request_whose_repetitions_were_refused() {
    let mut suspects = crashed_request();
    suspects.on_refused(ms(100), REQUEST);
    let finished = RequestHistory { breaks: Vec::new(), finished_at: Some(ms(150)) };
    suspects.set_peer_histories(ms(200), HashMap::from([(REQUEST, vec![finished])]));
    assert!(!suspects.must_refuse(ms(200), REQUEST));
}

#[test]
fn refused_requests_are_remembered_up_to_a_limit() {
    let mut suspects = Suspects::default();
    for request in 0..5_000 {
        for endpoint in 1..4 {
            suspects.on_connection_break(ms(request), request, endpoint);
        }
        suspects.on_refused(ms(request), request);
    }
    let remembered = (0..5_000).filter(|&request| suspects.refused_at(request).is_some()).count();
    assert!(remembered <= 1_024, "{remembered} refusals");
    let refused = (0..5_000).filter(|&request| suspects.must_refuse(ms(5_000), request)).count();
    assert!(refused <= 512, "{refused} requests");
}

/// Guards against a part of prompts that crashes further endpoints each time it is forgotten.
#[test]
fn refused_requests_renew_the_suspicion_against_a_part() {
    for is_refused_here in [true, false] {
        let mut suspects = crashed_part();
        let shared = support::shared_parts(MODEL_SERVICE, &[2, PART]);
        let part = support::shared_parts(MODEL_SERVICE, &[PART]).hashes()[0];
        let mut now = ms(100);
        while now < 3 * LONG {
            assert!(suspects.must_refuse(now, &shared), "admitted after {now:?}");
            match is_refused_here {
                true => suspects.on_refused(now, &shared),
                false => suspects.set_peer_refusals(HashMap::from([(part, now)])),
            }
            suspects.set_peer_histories(now, HashMap::new());
            now += Duration::from_secs(100);
        }
        assert_eq!(suspects.refused_at(part).is_some(), is_refused_here);
        let sound = support::shared_parts(MODEL_SERVICE, &[2]);
        assert_eq!(suspects.refused_at(sound.hashes()[0]), None);
        suspects.set_peer_refusals(HashMap::new());
        suspects.set_peer_histories(now + LONG, HashMap::new());
        assert!(!suspects.must_refuse(now + LONG, &shared), "its requests have ended");
        assert!(suspects.to_report().is_empty());
    }
}

#[test]
fn completion_clears_a_part_whose_requests_were_refused() {
    let mut suspects = crashed_part();
    let shared = support::shared_parts(MODEL_SERVICE, &[PART]);
    suspects.on_refused(ms(100), &shared);
    let finished = PartHistory { finished_at: Some(ms(150)), ..PartHistory::default() };
    let histories = HashMap::from([(shared.hashes()[0], vec![finished])]);
    suspects.set_peer_histories(ms(200), histories);
    assert!(!suspects.must_refuse(ms(200), &shared));
}

/// Guards against a request that crashes further endpoints each minute for as long as it is sent.
#[test]
fn gateway_refuses_a_deadly_request_for_as_long_as_it_is_repeated() {
    let mut dispatcher = Dispatcher::new(support::settings("g1"));
    dispatcher.on_release(support::release(3));
    for id in ["d1", "d2", "d3"] {
        dispatcher.endpoints.on_entry(ms(0), support::entry(id, PLAIN_SERVICE, 1, 1));
    }
    let deadly = support::request("a1", "/look/1");
    let mut broken = BTreeSet::new();
    while broken.len() < 3 {
        let mut admitted = dispatcher.admit(ms(10), &deadly, b"body").unwrap();
        let target = dispatcher.next_target(ms(20), &mut admitted).unwrap();
        dispatcher.on_failed(ms(30), &mut admitted, &target, Outcome::Broken, false);
        broken.insert(target.id);
    }
    for second in 1..150 {
        let now = Duration::from_secs(second);
        dispatcher.on_peer_reports(now);
        let refused = dispatcher.admit(now, &deadly, b"body").unwrap_err();
        assert_eq!(refused, RefusalReason::Suspect, "after {second} s");
    }
    dispatcher.on_peer_reports(LONG);
    assert!(dispatcher.admit(LONG, &deadly, b"body").is_ok(), "its repetitions have ended");
}
