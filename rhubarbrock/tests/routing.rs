//! Random events against what must hold of endpoint choice.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bolero::TypeGenerator;
use rhubarbrock::{endpoint, id, routing};

const SERVICE: &str = "guide-writers";
const ENDPOINTS: u64 = 24;

#[derive(Debug, Clone, Copy)]
enum Listed {
    Absent,
    Starting,
    Live,
    Leaving,
    Gone,
}

impl Listed {
    /// Mostly live, so that endpoints are left to choose from.
    fn from_byte(byte: u8) -> Listed {
        match byte {
            0..=5 => Listed::Absent,
            6..=9 => Listed::Starting,
            10..=12 => Listed::Leaving,
            13 => Listed::Gone,
            _ => Listed::Live,
        }
    }
}

/// Whether a byte stands for something that happens one time in 16.
fn is_rare(byte: u8) -> bool {
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

/// What the test knows by itself.
#[derive(Default)]
struct Model {
    now: Duration,
    list_taken_s: u8,
    listed: BTreeMap<id::EndpointId, Listed>,
    withdrawn: BTreeSet<id::EndpointId>,
    /// Sequence at which an endpoint last said that it leaves, and its highest sequence since.
    words: BTreeMap<id::EndpointId, u64>,
    in_flight: BTreeMap<id::AttemptId, id::EndpointId>,
    last_attempt: id::AttemptId,
}

fn endpoint_id(byte: u8) -> id::EndpointId {
    u64::from(byte) % ENDPOINTS + 1
}

fn listing(endpoint: id::EndpointId, listed: Listed) -> Option<endpoint::Listing> {
    let state = match listed {
        Listed::Absent => return None,
        Listed::Starting => endpoint::ListedState::Starting,
        Listed::Live => endpoint::ListedState::Live,
        Listed::Leaving => endpoint::ListedState::Leaving,
        Listed::Gone => endpoint::ListedState::Gone,
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
        leaving: is_rare(leaving),
        age: Duration::from_millis(age_ms.into()),
    }
}

impl Model {
    fn told_word(&mut self, endpoint: id::EndpointId, sequence: u8, leaving: u8) {
        let sequence = u64::from(sequence);
        if is_rare(leaving) {
            let word = self.words.entry(endpoint).or_insert(sequence);
            *word = sequence.max(*word);
        } else if self.words.get(&endpoint).is_some_and(|word| sequence > *word) {
            // A younger report may take the endpoint's own word back; it need not.
            self.words.remove(&endpoint);
        }
    }

    fn may_get_work(&self, endpoint: id::EndpointId) -> bool {
        let listed = self.listed.get(&endpoint).copied().unwrap_or(Listed::Absent);
        let is_live = matches!(listed, Listed::Live);
        is_live && !self.withdrawn.contains(&endpoint) && !self.words.contains_key(&endpoint)
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
            if !is_rare(*chance) {
                return;
            }
            let endpoint = endpoint_id(*endpoint);
            router.on_notice(now, endpoint);
            model.withdrawn.insert(endpoint);
        }
        Event::Load { endpoint, sequence, running, age_ms, leaving } => {
            let endpoint = endpoint_id(*endpoint);
            router.on_load(now, endpoint, &report(*sequence, *running, *age_ms, *leaving));
            model.told_word(endpoint, *sequence, *leaving);
        }
        Event::PeerLoad { endpoint, sequence, running, age_ms, leaving, lost } => {
            let endpoint = endpoint_id(*endpoint);
            let report = report(*sequence, *running, *age_ms, *leaving);
            router.on_peer_load(now, endpoint, &report, is_rare(*lost));
            model.told_word(endpoint, *sequence, *leaving);
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
    let states = states.iter().map(|byte| Listed::from_byte(*byte));
    let states: Vec<_> = (1..=ENDPOINTS).zip(states).collect();
    let listings = states.iter().filter_map(|(id, state)| listing(*id, *state));
    let taken_at = Duration::from_secs(taken_s.into());
    let is_taken = router.on_list(model.now, taken_at, listings.collect());
    assert_eq!(is_taken, taken_s >= model.list_taken_s, "only an older list is left out");
    if !is_taken {
        return;
    }
    model.list_taken_s = taken_s;
    for (id, state) in states {
        model.listed.insert(id, state);
        if matches!(state, Listed::Leaving | Listed::Gone) {
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
        model.words.entry(endpoint).or_insert(reported);
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
    assert!(model.may_get_work(endpoint), "endpoint {endpoint} was told to be leaving or not live");
    assert_ne!(endpoint, exclude[0], "an excluded endpoint is not chosen");
    check_bound(model, router, &choice);
    model.last_attempt += 1;
    router.on_sent(model.now, model.last_attempt, endpoint, &query);
    model.in_flight.insert(model.last_attempt, endpoint);
}

/// The chosen endpoint is below its limit and below the bounded multiple of the mean load.
fn check_bound(model: &Model, router: &routing::Router, choice: &routing::Choice) {
    if choice.reason.rule == routing::Rule::Probe {
        return;
    }
    let settings = routing::Settings::default();
    let mut loads = Vec::new();
    for known in router.endpoints().filter(|known| model.may_get_work(known.listing.endpoint)) {
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
fn random_events_keep_the_invariants() {
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
    assert!(sent.into_inner() > 2000, "the events left endpoints to choose from");
}

#[test]
fn a_word_heard_before_the_list_counts() {
    let mut router = routing::Router::new(1, "berkshire", routing::Settings::default());
    let now = Duration::from_secs(1);
    let leaving = |sequence| report(sequence, 0, 0, 0);
    router.on_peer_load(now, 1, &leaving(9), false);
    router.on_peer_load(now, 1, &leaving(3), false);
    router.on_list(now, now, listing(1, Listed::Live).into_iter().collect());
    router.on_load(now, 1, &report(5, 0, 0, 255));
    assert!(
        router.endpoint(1).unwrap().is_leaving(),
        "report 5 is older than the word of report 9"
    );
    router.on_load(now, 1, &report(10, 0, 0, 255));
    assert!(
        !router.endpoint(1).unwrap().is_leaving(),
        "its own younger report takes the word back"
    );
}
