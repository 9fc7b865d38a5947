//! Invariants of endpoint selection under random events.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bolero::TypeGenerator;
use rhubarbrock::{endpoint, id, routing};

const SERVICE: &str = "guide-writers";
const ENDPOINTS: u64 = 24;

#[derive(Debug, Clone, Copy)]
enum ListState {
    Absent,
    Starting,
    Live,
    Leaving,
    Gone,
}

impl ListState {
    /// Maps most bytes to `Live`, so that some endpoints can be selected.
    fn from_byte(byte: u8) -> ListState {
        match byte {
            0..=5 => ListState::Absent,
            6..=9 => ListState::Starting,
            10..=12 => ListState::Leaving,
            13 => ListState::Gone,
            _ => ListState::Live,
        }
    }
}

/// True for one byte value in 16; used for rare events.
fn is_one_in_16(byte: u8) -> bool {
    byte < 16
}

#[derive(Debug, Clone, TypeGenerator)]
enum Event {
    Pass { ms: u16 },
    List { taken_s: u8, states: [u8; ENDPOINTS as usize] },
    Notice { endpoint: u8, chance: u8 },
    Load { endpoint: u8, sequence: u8, running: u8, age_ms: u16, leaving: u8 },
    PeerLoad { endpoint: u8, sequence: u8, running: u8, age_ms: u16, leaving: u8, lost: u8 },
    Send { dialogue: u8, exclude: u8 },
    FirstToken { attempt: u8 },
    Done { attempt: u8 },
    Fail { attempt: u8, kind: u8 },
    Cancel { attempt: u8 },
}

/// Expected state, tracked independently of the router.
#[derive(Default)]
struct Model {
    now: Duration,
    list_taken_s: u8,
    list_states: BTreeMap<id::EndpointId, ListState>,
    withdrawn: BTreeSet<id::EndpointId>,
    /// Highest sequence of a report in which an endpoint said that it is leaving, unless a newer
    /// report without it followed.
    leaving_sequences: BTreeMap<id::EndpointId, u64>,
    in_flight: BTreeMap<id::AttemptId, id::EndpointId>,
    last_attempt: id::AttemptId,
}

fn endpoint_id(byte: u8) -> id::EndpointId {
    u64::from(byte) % ENDPOINTS + 1
}

fn listing(endpoint: id::EndpointId, list_state: ListState) -> Option<endpoint::Listing> {
    let state = match list_state {
        ListState::Absent => return None,
        ListState::Starting => endpoint::ListedState::Starting,
        ListState::Live => endpoint::ListedState::Live,
        ListState::Leaving => endpoint::ListedState::Leaving,
        ListState::Gone => endpoint::ListedState::Gone,
    };
    Some(endpoint::Listing {
        endpoint,
        service: SERVICE.to_owned(),
        data_centre: "berkshire".to_owned(),
        class: "small".to_owned(),
        address: format!("127.0.0.1:{endpoint}"),
        market: endpoint::Market::Reclaimable,
        price_per_hour: 1.0,
        state,
    })
}

fn report(sequence: u8, running: u8, age_ms: u16, leaving: u8) -> endpoint::LoadReport {
    endpoint::LoadReport {
        sequence: sequence.into(),
        running: u32::from(running % 24),
        waiting: 0,
        kv_used_percent: 0,
        queued_tokens: 0,
        leaving: is_one_in_16(leaving),
        age: Duration::from_millis(age_ms.into()),
    }
}

impl Model {
    fn on_report(&mut self, endpoint: id::EndpointId, sequence: u8, leaving: u8) {
        let sequence = u64::from(sequence);
        if is_one_in_16(leaving) {
            let leaving_sequence = self.leaving_sequences.entry(endpoint).or_insert(sequence);
            *leaving_sequence = sequence.max(*leaving_sequence);
        } else if self
            .leaving_sequences
            .get(&endpoint)
            .is_some_and(|leaving_sequence| sequence > *leaving_sequence)
        {
            // The router may clear the flag after a newer report, but does not have to.
            self.leaving_sequences.remove(&endpoint);
        }
    }

    fn may_receive_requests(&self, endpoint: id::EndpointId) -> bool {
        let list_state = self.list_states.get(&endpoint).copied().unwrap_or(ListState::Absent);
        let is_live = matches!(list_state, ListState::Live);
        is_live
            && !self.withdrawn.contains(&endpoint)
            && !self.leaving_sequences.contains_key(&endpoint)
    }

    fn attempt(&self, byte: u8) -> Option<id::AttemptId> {
        let open = self.in_flight.len();
        (open > 0).then(|| *self.in_flight.keys().nth(usize::from(byte) % open).unwrap())
    }
}

fn apply(model: &mut Model, router: &mut routing::Router, event: &Event) {
    let now = model.now;
    match event {
        Event::Pass { ms } => model.now += Duration::from_millis((*ms).into()),
        Event::List { taken_s, states } => list(model, router, *taken_s, states),
        Event::Notice { endpoint, chance } => {
            if !is_one_in_16(*chance) {
                return;
            }
            let endpoint = endpoint_id(*endpoint);
            router.on_notice(now, endpoint);
            model.withdrawn.insert(endpoint);
        }
        Event::Load { endpoint, sequence, running, age_ms, leaving } => {
            let endpoint = endpoint_id(*endpoint);
            router.on_load(now, endpoint, &report(*sequence, *running, *age_ms, *leaving));
            model.on_report(endpoint, *sequence, *leaving);
        }
        Event::PeerLoad { endpoint, sequence, running, age_ms, leaving, lost } => {
            let endpoint = endpoint_id(*endpoint);
            let report = report(*sequence, *running, *age_ms, *leaving);
            router.on_peer_load(now, endpoint, &report, is_one_in_16(*lost));
            model.on_report(endpoint, *sequence, *leaving);
        }
        Event::Send { dialogue, exclude } => send(model, router, *dialogue, *exclude),
        Event::FirstToken { attempt } => {
            let attempt = model.attempt(*attempt);
            attempt.into_iter().for_each(|attempt| router.on_first_token(now, attempt));
        }
        Event::Done { attempt } => {
            let Some(attempt) = model.attempt(*attempt) else { return };
            let answered = routing::Answered { answer_tokens: 10 };
            router.on_done(now, attempt, &answered);
            router.on_done(now, attempt, &answered);
            model.in_flight.remove(&attempt);
        }
        Event::Fail { attempt, kind } => {
            let Some(attempt) = model.attempt(*attempt) else { return };
            fail(model, router, attempt, *kind);
        }
        Event::Cancel { attempt } => {
            let Some(attempt) = model.attempt(*attempt) else { return };
            router.on_cancelled(now, attempt);
            model.in_flight.remove(&attempt);
        }
    }
}

fn list(model: &mut Model, router: &mut routing::Router, taken_s: u8, states: &[u8]) {
    let states = states.iter().map(|byte| ListState::from_byte(*byte));
    let states: Vec<_> = (1..=ENDPOINTS).zip(states).collect();
    let listings = states.iter().filter_map(|(id, state)| listing(*id, *state));
    let taken_at = Duration::from_secs(taken_s.into());
    let is_applied = router.on_list(model.now, taken_at, listings.collect());
    assert_eq!(
        is_applied,
        taken_s >= model.list_taken_s,
        "only a list older than the last one is ignored"
    );
    if !is_applied {
        return;
    }
    model.list_taken_s = taken_s;
    for (id, state) in states {
        model.list_states.insert(id, state);
        if matches!(state, ListState::Leaving | ListState::Gone) {
            model.withdrawn.insert(id);
        }
    }
}

fn fail(model: &mut Model, router: &mut routing::Router, attempt: id::AttemptId, kind: u8) {
    let failure = match kind % 5 {
        0 => routing::Failure::ConnectFailed,
        1 => routing::Failure::Timeout,
        2 => routing::Failure::ConnectionLost,
        3 => routing::Failure::Busy { retry_after: Duration::from_secs(1) },
        _ => routing::Failure::Leaving,
    };
    let endpoint = model.in_flight.remove(&attempt).unwrap();
    let reported = router.endpoint(endpoint).and_then(|e| e.reported_sequence()).unwrap_or(0);
    router.on_failure(model.now, attempt, failure);
    if failure == routing::Failure::Leaving {
        model.leaving_sequences.entry(endpoint).or_insert(reported);
    }
}

fn send(model: &mut Model, router: &mut routing::Router, dialogue: u8, exclude: u8) {
    let blocks = [u64::from(dialogue) + 1, u64::from(dialogue) + 1001];
    let exclude = [endpoint_id(exclude)];
    let query = routing::Query {
        service: SERVICE,
        blocks: &blocks,
        prompt_tokens: 40,
        dialogue: u64::from(dialogue) + 1,
        settled_tokens: 0,
        may_probe: true,
        leaves_headroom: false,
        exclude: &exclude,
    };
    let Ok(choice) = router.choose(model.now, &query) else {
        return;
    };
    let endpoint = choice.endpoint;
    assert!(
        model.may_receive_requests(endpoint),
        "endpoint {endpoint} was chosen but is leaving or not live"
    );
    assert_ne!(endpoint, exclude[0], "an excluded endpoint was chosen");
    check_bound(model, router, &choice);
    model.last_attempt += 1;
    router.on_sent(model.now, model.last_attempt, endpoint, &query);
    model.in_flight.insert(model.last_attempt, endpoint);
}

/// Checks that the load of the chosen endpoint is below its limit and below the load bound. The
/// bound is checked against the highest load, which is at least the mean.
fn check_bound(model: &Model, router: &routing::Router, choice: &routing::Choice) {
    if choice.reason.rule == routing::Rule::Probe {
        return;
    }
    let settings = routing::Settings::default();
    let mut loads = Vec::new();
    for known in
        router.endpoints().filter(|known| model.may_receive_requests(known.listing.endpoint))
    {
        loads.push(router.load(model.now, known.listing.endpoint).requests);
    }
    let highest = loads.iter().copied().fold(0.0, f64::max);
    let load = router.load(model.now, choice.endpoint).requests;
    let limit = router.endpoint(choice.endpoint).unwrap().limit_requests();
    assert!(load < limit, "load {load} at an endpoint of limit {limit}");
    let bound = highest * settings.load_bound + settings.load_slack;
    assert!(choice.reason.bound <= bound, "bound {} of loads {loads:?}", choice.reason.bound);
    assert!(load < choice.reason.bound, "load {load} over bound {}", choice.reason.bound);
}

fn check_counters(model: &Model, router: &routing::Router) {
    for known in router.endpoints() {
        let id = known.listing.endpoint;
        let expected = model.in_flight.values().filter(|endpoint| **endpoint == id).count();
        assert_eq!(known.in_flight(), expected, "requests in flight at endpoint {id}");
    }
    let known: usize = router.endpoints().map(endpoint::Endpoint::in_flight).sum();
    assert_eq!(known, model.in_flight.len(), "requests in flight in all");
}

#[test]
fn keeps_invariants_under_random_events() {
    let events = bolero::generator::produce::<Vec<Event>>().with().len(0usize..400);
    let sent = AtomicU64::new(0);
    bolero::check!().with_generator(events).with_iterations(2000).for_each(|events| {
        let mut model = Model::default();
        let mut router = routing::Router::new(1, "berkshire", routing::Settings::default());
        for event in events {
            apply(&mut model, &mut router, event);
            check_counters(&model, &router);
        }
        sent.fetch_add(model.last_attempt, Ordering::Relaxed);
    });
    assert!(sent.into_inner() > 2000, "the events left too few endpoints to choose from");
}

#[test]
fn applies_leaving_report_received_before_list() {
    let mut router = routing::Router::new(1, "berkshire", routing::Settings::default());
    let now = Duration::from_secs(1);
    let leaving = |sequence| report(sequence, 0, 0, 0);
    router.on_peer_load(now, 1, &leaving(9), false);
    router.on_peer_load(now, 1, &leaving(3), false);
    router.on_list(now, now, listing(1, ListState::Live).into_iter().collect());
    router.on_load(now, 1, &report(5, 0, 0, 255));
    assert!(
        router.endpoint(1).unwrap().is_leaving(),
        "report 5 is older than report 9, which said that it is leaving"
    );
    router.on_load(now, 1, &report(10, 0, 0, 255));
    assert!(
        !router.endpoint(1).unwrap().is_leaving(),
        "report 10 is newer and does not say that it is leaving"
    );
}
