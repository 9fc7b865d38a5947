//! Simulation of peer calls between the custody states of a few nodes. Messages are delayed, lost
//! or duplicated at random; a fake engine generates text that depends on the request alone.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarbrock::custody::{Action, Config, Custody};
use rhubarbrock::{id, placement};
use rhubarbrock_schema::peer;

/// Simulated time between two ticks of the nodes.
pub(crate) const STEP: Duration = Duration::from_millis(50);
const CHUNKS_PER_STEP: usize = 2;

#[derive(Clone)]
pub(crate) struct Faults {
    pub(crate) delay_ms: Range<u64>,
    pub(crate) lost_percent: u32,
    pub(crate) duplicated_percent: u32,
    /// Time until the other nodes know that a node died.
    pub(crate) death_known_ms: Range<u64>,
    /// Time until the other nodes know that a node is leaving.
    pub(crate) leaving_known_ms: Range<u64>,
}

impl Faults {
    pub(crate) fn none() -> Faults {
        Faults {
            delay_ms: 1..10,
            lost_percent: 0,
            duplicated_percent: 0,
            death_known_ms: 2_000..8_000,
            leaving_known_ms: 100..2_000,
        }
    }
}

#[derive(Clone)]
enum Body {
    Store(u64, peer::StoreCall),
    StoreReply(u64, peer::StoreReply),
    Progress(u64, peer::ProgressCall),
    ProgressReply(u64, peer::ProgressReply),
    MemberState { of: usize, running: bool, leaving: bool },
}

/// Running attempt, with the number of chunks and bytes that it has generated.
#[derive(Default)]
struct Attempt {
    chunks: usize,
    offset: u64,
}

pub(crate) struct Node {
    pub(crate) custody: Custody,
    pub(crate) alive: bool,
    pub(crate) leaving: bool,
    paused_until: Duration,
    places: placement::Places,
    attempts: BTreeMap<id::RequestId, Attempt>,
}

pub(crate) struct Fleet {
    pub(crate) faults: Faults,
    pub(crate) nodes: Vec<Node>,
    /// Accepted requests with the largest number of copies reported for each.
    pub(crate) accepted: BTreeMap<id::RequestId, u32>,
    pub(crate) generated_chunks: u64,
    pub(crate) store_calls: u64,
    pub(crate) progress_calls: u64,
    texts: BTreeMap<id::RequestId, String>,
    /// Messages by time of delivery and serial number: sender, receiver and body.
    in_flight: BTreeMap<(Duration, u64), (usize, usize, Body)>,
    serial: u64,
    pub(crate) now: Duration,
    pub(crate) rng: ChaCha8Rng,
    seed: u64,
}

/// Returns chunk `index` of the answer to a request, which has `chunks_of` chunks.
fn chunk(request: id::RequestId, index: usize) -> String {
    let words = ["gourd ", "sò ", "cure", "—", "mate\n", "é"];
    words[(request.secret as usize).wrapping_mul(31).wrapping_add(index * index) % 6].to_owned()
}

fn chunks_of(request: id::RequestId) -> usize {
    40 + (request.secret % 400) as usize
}

/// Returns the complete answer to a request, as a single attempt generates it.
pub(crate) fn full_text(request: id::RequestId) -> String {
    (0..chunks_of(request)).map(|index| chunk(request, index)).collect()
}

fn finish(request: id::RequestId) -> peer::Finish {
    let completion_tokens = chunks_of(request) as u32;
    peer::Finish { reason: "stop".into(), completion_tokens, ..Default::default() }
}

pub(crate) fn data_centre(node: usize) -> String {
    format!("dc{}", node % 3)
}

impl Fleet {
    pub(crate) fn new(nodes: usize, seed: u64, config: &Config) -> Fleet {
        let place = |node: usize| placement::Place {
            node: node as u64 + 1,
            data_centre: data_centre(node),
            region: "nam-bo".into(),
            running: true,
            leaving: false,
        };
        let places: placement::Places =
            (0..nodes).map(|node| (node as u64 + 1, place(node))).collect();
        let nodes = (0..nodes)
            .map(|node| {
                let mut custody = Custody::new(config.clone(), place(node));
                custody.set_places(Duration::ZERO, places.clone());
                Node {
                    custody,
                    alive: true,
                    leaving: false,
                    paused_until: Duration::ZERO,
                    places: places.clone(),
                    attempts: BTreeMap::new(),
                }
            })
            .collect();
        Fleet {
            faults: Faults::none(),
            nodes,
            accepted: BTreeMap::new(),
            generated_chunks: 0,
            store_calls: 0,
            progress_calls: 0,
            texts: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            serial: 0,
            now: Duration::from_secs(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            seed,
        }
    }

    pub(crate) fn accept(&mut self, node: usize) -> id::RequestId {
        let request = id::RequestId { holder: node as u64 + 1, secret: self.rng.random() };
        self.texts.insert(request, full_text(request));
        let record = peer::RequestRecord {
            request: request.to_string(),
            organisation: "gourd".into(),
            service: "guide-writers".into(),
            body: "{\"prompt\":\"how to cure\"}".into(),
            holder: request.holder,
            max_tokens: chunks_of(request) as u32,
            ..Default::default()
        };
        self.nodes[node].attempts.insert(request, Attempt::default());
        let actions = self.nodes[node].custody.hold(self.now, record);
        self.perform(node, actions);
        request
    }

    pub(crate) fn kill(&mut self, node: usize) {
        self.nodes[node].alive = false;
        let range = self.faults.death_known_ms.clone();
        self.announce_state(node, range, false, true);
    }

    /// Pauses a node; if the pause is long, the other nodes see it as dead until it resumes.
    pub(crate) fn pause(&mut self, node: usize, time: Duration) {
        self.nodes[node].paused_until = self.now + time;
        let detected_ms = self.faults.death_known_ms.start;
        if time.as_millis() as u64 > detected_ms {
            self.announce_state(node, detected_ms..detected_ms + 500, false, false);
            let end_ms = time.as_millis() as u64;
            self.announce_state(node, end_ms..end_ms + 1_000, true, false);
        }
    }

    pub(crate) fn give_notice(&mut self, node: usize) {
        if !self.is_running(node) || self.nodes[node].leaving {
            return;
        }
        self.nodes[node].leaving = true;
        let range = self.faults.leaving_known_ms.clone();
        self.announce_state(node, range, true, true);
        let actions = self.nodes[node].custody.hand_over(self.now);
        self.perform(node, actions);
    }

    fn announce_state(&mut self, of: usize, range: Range<u64>, running: bool, leaving: bool) {
        let leaving = leaving && self.nodes[of].leaving;
        for to in (0..self.nodes.len()).filter(|&to| to != of) {
            let delay = Duration::from_millis(self.rng.random_range(range.clone()));
            self.serial += 1;
            let body = Body::MemberState { of, running, leaving };
            self.in_flight.insert((self.now + delay, self.serial), (of, to, body));
        }
    }

    pub(crate) fn is_running(&self, node: usize) -> bool {
        self.nodes[node].alive && self.nodes[node].paused_until <= self.now
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver_due();
            for node in 0..self.nodes.len() {
                if self.is_running(node) {
                    self.generate(node);
                    let actions = self.nodes[node].custody.tick(self.now);
                    self.perform(node, actions);
                }
            }
        }
    }

    fn generate(&mut self, node: usize) {
        let mut attempts = std::mem::take(&mut self.nodes[node].attempts);
        attempts.retain(|&request, attempt| {
            for _ in 0..CHUNKS_PER_STEP {
                if !self.generate_chunk(node, request, attempt) {
                    return false;
                }
            }
            true
        });
        self.nodes[node].attempts = attempts;
    }

    fn generate_chunk(
        &mut self,
        node: usize,
        request: id::RequestId,
        attempt: &mut Attempt,
    ) -> bool {
        let custody = &mut self.nodes[node].custody;
        if attempt.chunks == chunks_of(request) {
            custody.finish(self.now, request, finish(request));
            return false;
        }
        let text = chunk(request, attempt.chunks);
        let offset = attempt.offset;
        attempt.chunks += 1;
        attempt.offset += text.len() as u64;
        self.generated_chunks += 1;
        let chunk_bytes = vec![text.len() as u32];
        let tokens = attempt.chunks as u32;
        let part = peer::Progress { offset, text, tokens, chunk_bytes, ..Default::default() };
        custody.append_progress(request, &part)
    }

    fn perform(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Store { to, number, call } => {
                    self.store_calls += 1;
                    self.send(node, to as usize - 1, Body::Store(number, call));
                }
                Action::Progress { to, number, call } => {
                    self.progress_calls += 1;
                    self.send(node, to as usize - 1, Body::Progress(number, call));
                }
                Action::Accepted { request, copies } => {
                    let known = self.accepted.entry(request).or_insert(copies);
                    *known = copies.max(*known);
                }
                Action::Adopt { record } => {
                    let request = record.request.parse().expect("a record names its request");
                    let chunks = self.chunks_in(request, &record);
                    let attempt = Attempt { chunks, offset: record.text.len() as u64 };
                    self.nodes[node].attempts.insert(request, attempt);
                }
                Action::Superseded { request, .. } | Action::Forget { request } => {
                    self.nodes[node].attempts.remove(&request);
                }
            }
        }
    }

    /// Returns the number of chunks in a record's text, which must be a prefix of the answer.
    fn chunks_in(&self, request: id::RequestId, record: &peer::RequestRecord) -> usize {
        let answer_text = &self.texts[&request];
        assert!(
            answer_text.starts_with(&record.text),
            "seed {}: {request} has text of another answer",
            self.seed
        );
        assert_eq!(record.tokens as usize, record.chunk_bytes.len(), "seed {}", self.seed);
        record.chunk_bytes.len()
    }

    fn deliver_due(&mut self) {
        let not_due = self.in_flight.split_off(&(self.now + Duration::from_nanos(1), 0));
        let due = std::mem::replace(&mut self.in_flight, not_due);
        for ((_, serial), (from, to, body)) in due {
            if self.nodes[to].paused_until > self.now {
                let at = self.nodes[to].paused_until;
                self.in_flight.insert((at, serial), (from, to, body));
            } else if self.nodes[to].alive {
                self.deliver(from, to, body);
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, body: Body) {
        let now = self.now;
        let custody = &mut self.nodes[to].custody;
        match body {
            Body::Store(number, call) => {
                let (reply, actions) = custody.serve_store(now, call);
                self.perform(to, actions);
                self.send(to, from, Body::StoreReply(number, reply));
            }
            Body::StoreReply(number, reply) => {
                let actions = custody.on_store_reply(now, number, Some(&reply));
                self.perform(to, actions);
            }
            Body::Progress(number, call) => {
                let reply = custody.serve_progress(now, call);
                self.send(to, from, Body::ProgressReply(number, reply));
            }
            Body::ProgressReply(number, reply) => {
                let actions = custody.on_progress_reply(now, from as u64 + 1, number, Some(&reply));
                self.perform(to, actions);
            }
            Body::MemberState { of, running, leaving } => {
                let place = self.nodes[to]
                    .places
                    .get_mut(&(of as u64 + 1))
                    .expect("every node knows all others");
                place.running = running;
                place.leaving |= leaving;
                let places = self.nodes[to].places.clone();
                let actions = self.nodes[to].custody.set_places(now, places);
                self.perform(to, actions);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, body: Body) {
        if self.rng.random_range(0..100) < self.faults.lost_percent {
            return;
        }
        let copies =
            if self.rng.random_range(0..100) < self.faults.duplicated_percent { 2 } else { 1 };
        for _ in 0..copies {
            let delay = Duration::from_millis(self.rng.random_range(self.faults.delay_ms.clone()));
            self.serial += 1;
            self.in_flight.insert((self.now + delay, self.serial), (from, to, body.clone()));
        }
    }

    /// Queries all running nodes for a request from `offset` on; their texts must be of its answer.
    pub(crate) fn find_everywhere(
        &self,
        request: id::RequestId,
        offset: u64,
    ) -> Vec<peer::FindReply> {
        let answer_text = &self.texts[&request];
        let mut replies = Vec::new();
        for node in (0..self.nodes.len()).filter(|&node| self.is_running(node)) {
            let reply = self.nodes[node].custody.find(self.now, request, "gourd", offset);
            let expected = answer_text.get(offset as usize..).unwrap_or_default();
            assert!(expected.starts_with(&reply.text), "seed {}: {request}", self.seed);
            let chunk_bytes: u32 = reply.chunk_bytes.iter().sum();
            assert_eq!(chunk_bytes as usize, reply.text.len(), "seed {}", self.seed);
            if reply.finish.is_some() {
                assert_eq!(expected, reply.text, "seed {}: {request}", self.seed);
            }
            replies.push(reply);
        }
        replies
    }

    /// Whether a running node runs the request or has its complete answer.
    pub(crate) fn is_served(&self, request: id::RequestId) -> bool {
        self.find_everywhere(request, 0)
            .iter()
            .any(|reply| reply.state() == peer::FindState::Held || reply.finish.is_some())
    }

    /// Number of attempts that run for a request.
    pub(crate) fn runners(&self, request: id::RequestId) -> usize {
        let has_attempt = |node: &usize| self.nodes[*node].attempts.contains_key(&request);
        (0..self.nodes.len()).filter(|node| self.is_running(*node)).filter(has_attempt).count()
    }
}
