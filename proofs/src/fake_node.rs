//! The process around a whole node: its answers, attempts and positions in the log.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use rhubarbrock::{action, event, id, node};
use rhubarbrock_schema::peer;

use crate::fake_engine;

/// Tokens between two marks.
const PROGRESS_INTERVAL_TOKENS: u32 = 5;

/// First port of nodes.
const FIRST_PORT: u16 = 100;

/// A loopback address.
pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// An answer as the process keeps it.
#[derive(Debug, Clone, Default)]
pub struct StoredAnswer {
    text: String,
    chunk_bytes: Vec<u32>,
    tokens: u32,
    reported_bytes: usize,
    reported_chunks: usize,
    writing_attempt: id::AttemptId,
    finish: Option<peer::Finish>,
}

/// What a caller reads.
#[derive(Debug, Clone, PartialEq)]
pub struct AnswerPart {
    /// Text.
    pub text: String,
    /// The end.
    pub finish: Option<peer::Finish>,
}

/// What one token led to.
#[derive(Debug, Clone)]
pub struct GeneratedToken {
    /// Events for the node.
    pub events: Vec<event::EndpointEvent>,
    /// Whether the attempt is over.
    pub is_finished: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct LogPosition {
    next_offset: Option<id::Offset>,
    has_read: bool,
    was_unavailable: bool,
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
    pub answers: BTreeMap<id::RequestId, StoredAnswer>,
    /// Attempts it runs.
    pub attempts: BTreeMap<id::AttemptId, action::ModelAttempt>,
    node: Option<node::Node>,
    started_at: Duration,
    events_while_paused: Option<Vec<event::Event>>,
    unpaused_since: Duration,
    log_positions: BTreeMap<event::Topic, LogPosition>,
    release_version: id::Version,
    adopted_by_earlier_processes: u64,
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
            events_while_paused: None,
            unpaused_since: Duration::ZERO,
            log_positions: BTreeMap::new(),
            release_version: 0,
            adopted_by_earlier_processes: 0,
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
    pub fn start_process(
        &mut self,
        process: id::NodeId,
        instance: id::InstanceId,
        node: node::Node,
    ) {
        let adopted_by_earlier_processes = self.adopted();
        *self = Slot { process, instance, adopted_by_earlier_processes, ..Slot::new(self.index) };
        self.node = Some(node);
    }

    /// The process ends; false where it had ended before.
    pub fn end_process(&mut self, process: id::NodeId) -> bool {
        if !self.runs_process(process) {
            return false;
        }
        self.adopted_by_earlier_processes = self.adopted();
        self.node = None;
        self.is_ready = false;
        self.events_while_paused = None;
        self.answers.clear();
        self.attempts.clear();
        true
    }

    /// Whether this process runs here.
    pub fn runs_process(&self, process: id::NodeId) -> bool {
        self.process == process && self.node.is_some()
    }

    /// Whether a process runs here.
    pub fn is_running(&self) -> bool {
        self.node.is_some()
    }

    /// Whether the process is stopped for a while.
    pub fn is_paused(&self) -> bool {
        self.events_while_paused.is_some()
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.is_running() && self.is_ready && !self.is_paused()
    }

    /// Stops the process for a while.
    pub fn pause(&mut self) {
        self.events_while_paused = Some(Vec::new());
    }

    /// Lets the process go on; gives what came meanwhile.
    pub fn resume_process(&mut self, process: id::NodeId) -> Vec<event::Event> {
        if !self.runs_process(process) {
            return Vec::new();
        }
        self.unpaused_since = Duration::MAX;
        self.events_while_paused.take().unwrap_or_default()
    }

    /// For how long the process has run without a pause.
    pub fn unpaused_duration(&self, now: Duration) -> Duration {
        now.saturating_sub(self.unpaused_since.max(self.started_at))
    }

    /// Gives the node an event; `None` where it does not run now.
    pub fn handle(
        &mut self,
        process: id::NodeId,
        now: Duration,
        wall: Duration,
        event: event::Event,
    ) -> Option<Vec<action::Action>> {
        if !self.runs_process(process) {
            return None;
        }
        if let Some(waiting) = &mut self.events_while_paused {
            waiting.push(event);
            return None;
        }
        self.update_start_times(now);
        self.node.as_mut().map(|node| node.handle(now, wall, event))
    }

    /// Lets time pass for the node; `None` where it does not run now.
    pub fn tick(
        &mut self,
        process: id::NodeId,
        now: Duration,
        wall: Duration,
    ) -> Option<Vec<action::Action>> {
        if !self.runs_process(process) || self.is_paused() {
            return None;
        }
        self.update_start_times(now);
        self.node.as_mut().map(|node| node.tick(now, wall))
    }

    fn update_start_times(&mut self, now: Duration) {
        if self.started_at.is_zero() {
            self.started_at = now;
        }
        self.unpaused_since = self.unpaused_since.min(now);
        if self.unpaused_since.is_zero() {
            self.unpaused_since = now;
        }
    }

    /// Looks at the release in force, which must not go back.
    pub fn check_release_version(&mut self) -> Result<(), String> {
        let Some(node) = &self.node else { return Ok(()) };
        let version = node.release_version();
        if version < self.release_version {
            return Err(format!(
                "node {} goes back from version {}",
                self.index, self.release_version
            ));
        }
        self.release_version = version;
        Ok(())
    }

    /// Requests that the node runs.
    pub fn unfinished_requests(&self) -> usize {
        self.node.as_ref().map_or(0, |node| node.status().held as usize)
    }

    /// Requests adopted here, by all processes.
    pub fn adopted(&self) -> u64 {
        self.adopted_by_earlier_processes
            + self.node.as_ref().map_or(0, |node| node.counters().adopted)
    }

    /// Attempts that run at an endpoint.
    pub fn attempts_at(&self, endpoint: id::EndpointId) -> u32 {
        self.attempts.values().filter(|attempt| attempt.endpoint == endpoint).count() as u32
    }

    /// Where a topic is read next.
    pub fn position(&self, topic: event::Topic) -> Option<id::Offset> {
        self.log_positions.get(&topic)?.next_offset
    }

    /// Whether a topic was read since the start or the last outage.
    pub fn has_read(&self, topic: event::Topic) -> bool {
        self.log_positions.get(&topic).is_some_and(|position| position.has_read)
    }

    /// Whether a topic could not be read the last time.
    pub fn was_unavailable(&self, topic: event::Topic) -> bool {
        self.log_positions.get(&topic).is_some_and(|position| position.was_unavailable)
    }

    /// Sets where a topic is read next.
    pub fn set_position(&mut self, topic: event::Topic, next_offset: id::Offset) {
        let position = self.log_positions.entry(topic).or_default();
        position.has_read = position.next_offset.is_some();
        position.next_offset = Some(next_offset);
        position.was_unavailable = false;
    }

    /// A topic could not be read.
    pub fn set_unavailable(&mut self, topic: event::Topic) {
        self.log_positions.entry(topic).or_default().was_unavailable = true;
    }

    /// Makes an answer with the text of its record.
    pub fn open_answer(&mut self, record: &peer::RequestRecord) {
        let Ok(request) = record.request.parse() else { return };
        let answer = StoredAnswer {
            text: record.text.clone(),
            tokens: record.tokens,
            reported_bytes: record.text.len(),
            ..StoredAnswer::default()
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
    pub fn read(
        &self,
        process: id::NodeId,
        request: id::RequestId,
        offset: usize,
    ) -> Option<AnswerPart> {
        let answer = self.answers.get(&request).filter(|_| self.runs_process(process))?;
        let text = answer.text.get(offset..).unwrap_or_default().to_owned();
        Some(AnswerPart { text, finish: answer.finish.clone() })
    }

    /// An attempt starts and takes over the answer.
    pub fn start_attempt(&mut self, attempt: action::ModelAttempt) {
        if let Some(answer) = self.answers.get_mut(&attempt.request) {
            answer.writing_attempt = attempt.attempt;
        }
        self.attempts.insert(attempt.attempt, attempt);
    }

    /// The next token of an attempt.
    pub fn generate_token(&mut self, attempt: id::AttemptId) -> GeneratedToken {
        let Some(running) = self.attempts.get(&attempt) else {
            return GeneratedToken { events: Vec::new(), is_finished: true };
        };
        let answer = self.answers.get_mut(&running.request);
        let Some(answer) = answer.filter(|answer| answer.writing_attempt == attempt) else {
            self.attempts.remove(&attempt);
            let outcome = event::ModelOutcome::Cancelled;
            let events = vec![event::EndpointEvent::ModelEnded { attempt, outcome }];
            return GeneratedToken { events, is_finished: true };
        };
        let mut events = Vec::new();
        if answer.tokens < running.max_tokens {
            let token = fake_engine::token_text(&running.body, answer.tokens);
            answer.text.push_str(&token);
            answer.chunk_bytes.push(token.len() as u32);
            answer.tokens += 1;
            if answer.tokens == 1 {
                events.push(event::EndpointEvent::FirstToken { attempt });
            }
        }
        let is_finished = answer.tokens >= running.max_tokens;
        if is_finished || answer.tokens.is_multiple_of(PROGRESS_INTERVAL_TOKENS) {
            events.extend(take_progress(attempt, answer));
        }
        if is_finished {
            let finish = peer::Finish {
                reason: "length".to_owned(),
                completion_tokens: answer.tokens,
                ..Default::default()
            };
            let outcome = event::ModelOutcome::Finished(finish);
            events.push(event::EndpointEvent::ModelEnded { attempt, outcome });
            self.attempts.remove(&attempt);
        }
        GeneratedToken { events, is_finished }
    }
}

fn take_progress(
    attempt: id::AttemptId,
    answer: &mut StoredAnswer,
) -> Option<event::EndpointEvent> {
    if answer.reported_bytes == answer.text.len() {
        return None;
    }
    let offset = answer.reported_bytes;
    let chunk_bytes = answer.chunk_bytes[answer.reported_chunks..].to_vec();
    answer.reported_bytes = answer.text.len();
    answer.reported_chunks = answer.chunk_bytes.len();
    Some(event::EndpointEvent::Progress {
        attempt,
        offset: offset as u64,
        text: answer.text[offset..].to_owned(),
        chunk_bytes,
        tokens: answer.tokens,
    })
}
