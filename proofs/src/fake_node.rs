//! The process around a whole node: its answers, attempts and positions in the log.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use rhubarbrock::{action, event, id, node};
use rhubarbrock_schema::peer;

use crate::fake_engine;

/// Tokens between two marks.
const MARK_TOKENS: u32 = 5;

/// First port of nodes.
const FIRST_PORT: u16 = 100;

/// A loopback address.
pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// An answer as the process keeps it.
#[derive(Debug, Clone, Default)]
pub struct HeldAnswer {
    text: String,
    chunk_bytes: Vec<u32>,
    tokens: u32,
    marked_bytes: usize,
    marked_chunks: usize,
    writer: id::AttemptId,
    finish: Option<peer::Finish>,
}

/// What a caller reads.
#[derive(Debug, Clone, PartialEq)]
pub struct Part {
    /// Text.
    pub text: String,
    /// The end.
    pub finish: Option<peer::Finish>,
}

/// What one token led to.
#[derive(Debug, Clone)]
pub struct Generated {
    /// Events for the node.
    pub events: Vec<event::EndpointEvent>,
    /// Whether the attempt is over.
    pub is_over: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct Position {
    next: Option<id::Offset>,
    has_read: bool,
    was_down: bool,
}

/// A place where a node's process runs, or ran.
#[derive(Debug)]
pub struct Slot {
    /// Number of the place.
    pub index: usize,
    /// Id of the process that runs here, or ran last.
    pub process: id::NodeId,
    /// Its instance.
    pub instance: id::InstanceId,
    /// Whether it says that it is ready.
    pub is_ready: bool,
    /// Endpoints whose load it reads.
    pub watched: Vec<id::EndpointId>,
    /// Answers it keeps.
    pub answers: BTreeMap<id::RequestId, HeldAnswer>,
    /// Attempts it runs.
    pub attempts: BTreeMap<id::AttemptId, action::ModelAttempt>,
    node: Option<node::Node>,
    started_at: Duration,
    paused: Option<Vec<event::Event>>,
    awake_since: Duration,
    positions: BTreeMap<event::Topic, Position>,
    version: id::Version,
    adopted_before: u64,
}

impl Slot {
    /// A place where nothing runs yet.
    pub fn new(index: usize) -> Slot {
        Slot {
            index,
            process: 0,
            instance: 0,
            is_ready: false,
            watched: Vec::new(),
            answers: BTreeMap::new(),
            attempts: BTreeMap::new(),
            node: None,
            started_at: Duration::ZERO,
            paused: None,
            awake_since: Duration::ZERO,
            positions: BTreeMap::new(),
            version: 0,
            adopted_before: 0,
        }
    }

    /// Port on which a place is reached.
    pub fn port(index: usize) -> u16 {
        FIRST_PORT + index as u16
    }

    /// The place that a port belongs to, if something runs there.
    pub fn at_port(slots: &[Slot], port: u16) -> Option<usize> {
        let index = usize::from(port.checked_sub(FIRST_PORT)?);
        slots.get(index).filter(|slot| slot.is_running()).map(|slot| slot.index)
    }

    /// A process starts here.
    pub fn begin(&mut self, process: id::NodeId, instance: id::InstanceId, node: node::Node) {
        let adopted_before = self.adopted();
        *self = Slot { process, instance, adopted_before, ..Slot::new(self.index) };
        self.node = Some(node);
    }

    /// The process ends; false where it had ended before.
    pub fn end(&mut self, process: id::NodeId) -> bool {
        if !self.is_process(process) {
            return false;
        }
        self.adopted_before = self.adopted();
        self.node = None;
        self.is_ready = false;
        self.paused = None;
        self.answers.clear();
        self.attempts.clear();
        true
    }

    /// Whether this process runs here.
    pub fn is_process(&self, process: id::NodeId) -> bool {
        self.process == process && self.node.is_some()
    }

    /// Whether a process runs here.
    pub fn is_running(&self) -> bool {
        self.node.is_some()
    }

    /// Whether the process is stopped for a while.
    pub fn is_paused(&self) -> bool {
        self.paused.is_some()
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.is_running() && self.is_ready && !self.is_paused()
    }

    /// Stops the process for a while.
    pub fn pause(&mut self) {
        self.paused = Some(Vec::new());
    }

    /// Lets the process go on; gives what came meanwhile.
    pub fn unpause(&mut self, process: id::NodeId) -> Vec<event::Event> {
        if !self.is_process(process) {
            return Vec::new();
        }
        self.awake_since = Duration::MAX;
        self.paused.take().unwrap_or_default()
    }

    /// For how long the process has run without a pause.
    pub fn awake_since(&self, now: Duration) -> Duration {
        now.saturating_sub(self.awake_since.max(self.started_at))
    }

    /// Gives the node an event; `None` where it does not run now.
    pub fn handle(
        &mut self,
        process: id::NodeId,
        now: Duration,
        wall: Duration,
        event: event::Event,
    ) -> Option<Vec<action::Action>> {
        if !self.is_process(process) {
            return None;
        }
        if let Some(waiting) = &mut self.paused {
            waiting.push(event);
            return None;
        }
        self.wake(now);
        self.node.as_mut().map(|node| node.handle(now, wall, event))
    }

    /// Lets time pass for the node; `None` where it does not run now.
    pub fn tick(
        &mut self,
        process: id::NodeId,
        now: Duration,
        wall: Duration,
    ) -> Option<Vec<action::Action>> {
        if !self.is_process(process) || self.is_paused() {
            return None;
        }
        self.wake(now);
        self.node.as_mut().map(|node| node.tick(now, wall))
    }

    fn wake(&mut self, now: Duration) {
        if self.started_at.is_zero() {
            self.started_at = now;
        }
        self.awake_since = self.awake_since.min(now);
        if self.awake_since.is_zero() {
            self.awake_since = now;
        }
    }

    /// Looks at the release in force, which must not go back.
    pub fn see_release(&mut self) -> Result<(), String> {
        let Some(node) = &self.node else { return Ok(()) };
        let version = node.release_version();
        if version < self.version {
            return Err(format!("node {} goes back from version {}", self.index, self.version));
        }
        self.version = version;
        Ok(())
    }

    /// Requests that the node runs.
    pub fn unfinished(&self) -> usize {
        self.node.as_ref().map_or(0, |node| node.status().held as usize)
    }

    /// Requests adopted here, by all processes.
    pub fn adopted(&self) -> u64 {
        self.adopted_before + self.node.as_ref().map_or(0, |node| node.counters().adopted)
    }

    /// Attempts that run at an endpoint.
    pub fn running_at(&self, endpoint: id::EndpointId) -> u32 {
        self.attempts.values().filter(|attempt| attempt.endpoint == endpoint).count() as u32
    }

    /// Where a topic is read next.
    pub fn position(&self, topic: event::Topic) -> Option<id::Offset> {
        self.positions.get(&topic)?.next
    }

    /// Whether a topic was read since the start or the last outage.
    pub fn has_read(&self, topic: event::Topic) -> bool {
        self.positions.get(&topic).is_some_and(|position| position.has_read)
    }

    /// Whether a topic could not be read the last time.
    pub fn was_down(&self, topic: event::Topic) -> bool {
        self.positions.get(&topic).is_some_and(|position| position.was_down)
    }

    /// Sets where a topic is read next.
    pub fn set_position(&mut self, topic: event::Topic, next: id::Offset) {
        let position = self.positions.entry(topic).or_default();
        position.has_read = position.next.is_some();
        position.next = Some(next);
        position.was_down = false;
    }

    /// A topic could not be read.
    pub fn set_down(&mut self, topic: event::Topic) {
        self.positions.entry(topic).or_default().was_down = true;
    }

    /// Makes an answer with the text of its record.
    pub fn open_answer(&mut self, record: &peer::RequestRecord) {
        let Ok(request) = record.request.parse() else { return };
        let answer = HeldAnswer {
            text: record.text.clone(),
            tokens: record.tokens,
            marked_bytes: record.text.len(),
            ..HeldAnswer::default()
        };
        self.answers.entry(request).or_insert(answer);
    }

    /// Ends an answer.
    pub fn finish_answer(&mut self, request: id::RequestId, finish: peer::Finish) {
        if let Some(answer) = self.answers.get_mut(&request) {
            answer.finish.get_or_insert(finish);
        }
    }

    /// Text from an offset on; `None` where the answer is not here.
    pub fn read(&self, process: id::NodeId, request: id::RequestId, offset: usize) -> Option<Part> {
        let answer = self.answers.get(&request).filter(|_| self.is_process(process))?;
        let text = answer.text.get(offset..).unwrap_or_default().to_owned();
        Some(Part { text, finish: answer.finish.clone() })
    }

    /// An attempt starts and takes over the answer.
    pub fn begin_attempt(&mut self, attempt: action::ModelAttempt) {
        if let Some(answer) = self.answers.get_mut(&attempt.request) {
            answer.writer = attempt.attempt;
        }
        self.attempts.insert(attempt.attempt, attempt);
    }

    /// The next token of an attempt.
    pub fn generate(&mut self, attempt: id::AttemptId) -> Generated {
        let Some(running) = self.attempts.get(&attempt) else {
            return Generated { events: Vec::new(), is_over: true };
        };
        let answer = self.answers.get_mut(&running.request);
        let Some(answer) = answer.filter(|answer| answer.writer == attempt) else {
            self.attempts.remove(&attempt);
            let outcome = event::ModelOutcome::Cancelled;
            let events = vec![event::EndpointEvent::ModelEnded { attempt, outcome }];
            return Generated { events, is_over: true };
        };
        let mut events = Vec::new();
        if answer.tokens < running.max_tokens {
            let token = fake_engine::token(&running.body, answer.tokens);
            answer.text.push_str(&token);
            answer.chunk_bytes.push(token.len() as u32);
            answer.tokens += 1;
            if answer.tokens == 1 {
                events.push(event::EndpointEvent::FirstToken { attempt });
            }
        }
        let is_over = answer.tokens >= running.max_tokens;
        if is_over || answer.tokens.is_multiple_of(MARK_TOKENS) {
            events.extend(mark(attempt, answer));
        }
        if is_over {
            let finish = peer::Finish {
                reason: "length".to_owned(),
                completion_tokens: answer.tokens,
                ..Default::default()
            };
            let outcome = event::ModelOutcome::Finished(finish);
            events.push(event::EndpointEvent::ModelEnded { attempt, outcome });
            self.attempts.remove(&attempt);
        }
        Generated { events, is_over }
    }
}

fn mark(attempt: id::AttemptId, answer: &mut HeldAnswer) -> Option<event::EndpointEvent> {
    if answer.marked_bytes == answer.text.len() {
        return None;
    }
    let offset = answer.marked_bytes;
    let chunk_bytes = answer.chunk_bytes[answer.marked_chunks..].to_vec();
    answer.marked_bytes = answer.text.len();
    answer.marked_chunks = answer.chunk_bytes.len();
    Some(event::EndpointEvent::Progress {
        attempt,
        offset: offset as u64,
        text: answer.text[offset..].to_owned(),
        chunk_bytes,
        tokens: answer.tokens,
    })
}
