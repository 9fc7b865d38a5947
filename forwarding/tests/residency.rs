//! Requests whose long beginnings some endpoints still hold: where they are sent, as what an
//! endpoint holds, its queue and its memory differ.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use forwarding::dispatcher::Dispatcher;
use forwarding::endpoints::{Entry, Load};
use forwarding::peers::Peers;
use forwarding::release::PromptMemory;
use forwarding::request::Prompt;
use forwarding::residency::{Held, Residency};
use rhubarbrock_schema::gossip;
use support::ms;

const NOW: Duration = Duration::from_secs(100);

/// Tokens of the first and of the second shared part of a prompt in `support`.
const FIRST: Held = Held { part: 1, tokens: 2_500 };
const SECOND_TOKENS: u32 = 3_700;

fn second(part: u64) -> Held {
    Held { part, tokens: SECOND_TOKENS }
}

/// Gateway with ten endpoints, whose parts are all listed as empty.
fn dispatcher(capacity_tokens: u64) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(support::settings("g1"));
    let mut release = support::release(1);
    for service in release.services.values_mut() {
        service.prompt_memory = Some(PromptMemory { capacity_tokens });
    }
    release.organisations[0].quota = None;
    dispatcher.on_release(release);
    for number in 0..10 {
        let id = format!("e{number}");
        let entry = support::entry(&id, support::MODEL_SERVICE, 1, 1);
        dispatcher.endpoints.on_entry(NOW, Entry { capacity: 64, ..entry });
        dispatcher.residency.on_listing(NOW, &id, 1, Vec::new());
    }
    dispatcher
}

/// Sends a request with the shared part `shared`; returns the id of its endpoint.
fn send(dispatcher: &mut Dispatcher, shared: u64) -> String {
    let mut request = support::request("a1", "/write/");
    request.prompt = Some(support::prompt(shared, 900));
    let mut admitted = dispatcher.admit(NOW, &request, b"").unwrap();
    dispatcher.next_target(NOW, &mut admitted).unwrap().id
}

/// Sets the prompt tokens that wait at an endpoint.
fn set_waiting(dispatcher: &mut Dispatcher, id: &str, waiting_tokens: u64) {
    let load = Load { requests: 1, waiting_tokens };
    dispatcher.endpoints.set_peer_loads(&[(id.to_owned(), load)].into());
}

fn held_prompt() -> Prompt {
    support::prompt(7, 900)
}

#[test]
fn returning_beginning_goes_where_it_is_held_unless_the_wait_costs_more() {
    for shared in 100..120 {
        for holder in ["e0", "e5", "e9"] {
            let mut dispatcher = dispatcher(350_000);
            dispatcher.residency.on_listing(NOW, holder, 1, vec![FIRST, second(shared)]);
            set_waiting(&mut dispatcher, holder, 2_000);
            assert_eq!(send(&mut dispatcher, shared), holder);
            set_waiting(&mut dispatcher, holder, 9_000);
            assert_ne!(send(&mut dispatcher, shared), holder);
        }
    }
}

#[test]
fn new_beginning_goes_to_the_same_endpoint_from_all_gateways_unless_it_is_loaded() {
    for shared in 100..120 {
        let first = send(&mut dispatcher(350_000), shared);
        let mut other = dispatcher(350_000);
        set_waiting(&mut other, &first, 2_000);
        assert_eq!(send(&mut other, shared), first);
        set_waiting(&mut other, &first, 4_000);
        assert_ne!(send(&mut other, shared), first);
    }
}

#[test]
fn beginning_moves_away_from_endpoint_without_memory() {
    for shared in 100..120 {
        let first = send(&mut dispatcher(350_000), shared);
        let mut dispatcher = dispatcher(20_000);
        let others = (0..6).map(|part| second(1_000 + part)).collect();
        dispatcher.residency.on_listing(NOW, &first, 1, others);
        // The rest of the cost of this endpoint is below that of the others by half of the tokens.
        set_waiting(&mut dispatcher, &first, 2_500);
        assert_ne!(send(&mut dispatcher, shared), first);
        let mut with_memory = self::dispatcher(350_000);
        set_waiting(&mut with_memory, &first, 2_500);
        assert_eq!(send(&mut with_memory, shared), first);
    }
}

#[test]
fn part_after_a_missing_one_saves_nothing() {
    let mut residency = Residency::default();
    residency.on_listing(NOW, "a", 1, vec![second(7)]);
    assert_eq!(residency.held_tokens("a", &held_prompt()), 0);
    residency.on_changes(NOW, "a", 1, &[FIRST]);
    assert_eq!(residency.held_tokens("a", &held_prompt()), 6_200);
    residency.on_changes(NOW, "a", 1, &[Held { part: 1, tokens: 1_000 }]);
    assert_eq!(residency.held_tokens("a", &held_prompt()), 1_000);
}

#[test]
fn restarted_endpoint_holds_nothing() {
    let mut residency = Residency::default();
    residency.on_listing(NOW, "a", 1, vec![FIRST, second(7)]);
    residency.on_changes(NOW + ms(1_000), "a", 2, &[]);
    let estimate = residency.estimate(NOW + ms(1_000), "a", &held_prompt(), None).unwrap();
    assert_eq!((estimate.held_tokens, estimate.is_complete), (0, true));
}

#[test]
fn reports_do_not_change_what_the_endpoint_itself_told() {
    let mut residency = Residency::default();
    residency.on_listing(NOW, "a", 2, vec![FIRST, second(7)]);
    residency.on_reported(NOW + ms(2_900), "a", 2, &[Held { part: 1, tokens: 0 }]);
    residency.on_reported(NOW + ms(2_900), "a", 1, &[]);
    assert_eq!(residency.held_tokens("a", &held_prompt()), 6_200);
    assert_eq!(residency.listened(NOW + ms(2_900)).count(), 1);
    assert_eq!(residency.listened(NOW + ms(3_000)).count(), 0);
    residency.on_reported(NOW + ms(3_000), "a", 3, &[]);
    let estimate = residency.estimate(NOW + ms(3_000), "a", &held_prompt(), None).unwrap();
    assert_eq!((estimate.held_tokens, estimate.is_complete), (0, false));
}

#[test]
fn consecutive_reports_tell_all_parts() {
    let mut residency = Residency::default();
    residency.on_listing(NOW, "a", 1, (0..100).map(second).collect());
    for first in [0, 3] {
        let slices = (first..first + 5).flat_map(|sequence| residency.slice("a", sequence, 24));
        let parts: BTreeSet<u64> = slices.map(|held| held.part).collect();
        assert_eq!(parts.len(), 100);
    }
}

#[test]
fn gateway_that_only_hears_reports_learns_before_it_relies_on_them() {
    let mut residency = Residency::default();
    for second in 0..12 {
        residency.on_reported(NOW + ms(1_000) * second, "a", 1, &[]);
    }
    let is_complete = |seconds: u32| {
        let estimate = residency.estimate(NOW + ms(1_000) * seconds, "a", &held_prompt(), None);
        estimate.map(|estimate| estimate.is_complete)
    };
    assert_eq!((is_complete(9), is_complete(11)), (Some(false), Some(true)));
}

#[test]
fn endpoint_whose_listener_is_silent_is_guessed_again() {
    let mut residency = Residency::default();
    residency.on_listing(NOW, "a", 1, vec![FIRST]);
    assert!(residency.estimate(NOW + ms(7_900), "a", &held_prompt(), None).is_some());
    assert!(residency.estimate(NOW + ms(8_000), "a", &held_prompt(), None).is_none());
    residency.on_reported(NOW + ms(9_000), "a", 1, &[]);
    let estimate = residency.estimate(NOW + ms(9_000), "a", &held_prompt(), None).unwrap();
    assert_eq!((estimate.held_tokens, estimate.is_complete), (0, false));
}

#[test]
fn changes_are_reported_for_a_time_and_a_second_listing_reports_what_was_dropped() {
    let mut residency = Residency::default();
    residency.on_listing(NOW, "a", 1, vec![FIRST, second(7)]);
    residency.on_listing(NOW + ms(500), "a", 1, vec![FIRST, second(8)]);
    residency.on_changes(NOW + ms(550), "a", 1, &[second(9)]);
    residency.on_changes(NOW + ms(600), "a", 1, &[Held { part: 9, tokens: 0 }]);
    let changes: Vec<Held> =
        residency.recent_changes(NOW + ms(900), ms(600)).iter().map(|each| each.held).collect();
    let dropped = |part| Held { part, tokens: 0 };
    assert_eq!(changes, [dropped(7), second(8), dropped(9)]);
    assert!(residency.recent_changes(NOW + ms(1_200), ms(600)).is_empty());
}

#[test]
fn each_endpoint_has_one_listener_at_any_fleet_size() {
    for gateways in [8, 74, 300] {
        let fleet: Vec<(String, Peers)> = fleet(gateways, None);
        for endpoint in (0..20).map(|number| format!("e{number}")) {
            assert_eq!(listeners(&fleet, &endpoint).len(), 1, "{gateways} gateways, {endpoint}");
        }
    }
}

#[test]
fn another_gateway_listens_once_the_listener_is_silent() {
    let fleet_before = fleet(8, None);
    for endpoint in (0..20).map(|number| format!("e{number}")) {
        let first = listeners(&fleet_before, &endpoint)[0].clone();
        let fleet_after = fleet(8, Some(&first));
        let successors = listeners(&fleet_after, &endpoint);
        assert_eq!(successors.len(), 1);
        assert_ne!(successors[0], first);
    }
}

/// Names of the gateways that listen to `endpoint`.
fn listeners(fleet: &[(String, Peers)], endpoint: &str) -> Vec<String> {
    let listeners =
        fleet.iter().filter(|(name, peers)| peers.is_listener(NOW, name, "north", endpoint));
    listeners.map(|(name, _)| name.clone()).collect()
}

/// Gateways except `silent`, each with what it knows of the others.
fn fleet(gateways: u32, silent: Option<&str>) -> Vec<(String, Peers)> {
    let names = (0..gateways).map(|number| format!("g{number}"));
    let names: Vec<String> = names.filter(|name| Some(name.as_str()) != silent).collect();
    let with_peers = |own: &String| {
        let others = names.iter().filter(|&name| name != own);
        (own.clone(), peers(others.map(String::as_str)))
    };
    names.iter().map(with_peers).collect()
}

fn peers<'n>(names: impl Iterator<Item = &'n str>) -> Peers {
    let mut peers = Peers::default();
    for (number, name) in names.enumerate() {
        let report = gossip::Report {
            name: name.to_owned(),
            data_centre: "north".to_owned(),
            interval_ms: 150,
            ..gossip::Report::default()
        };
        let address = ([127, 0, 0, 1], 10_000 + number as u16).into();
        peers.on_report(NOW, Duration::ZERO, address, report);
    }
    peers
}
