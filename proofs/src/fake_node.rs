//! Fake process around a real [`node::Node`]: stored answers, running attempts, log positions.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use rhubarbrock::{action, event, id, node};
use rhubarbrock_schema::peer;

use crate::fake_engine;

/// Tokens between two progress events.
const PROGRESS_INTERVAL_TOKENS: u32 = 5;

/// Peer port of the node in slot 0.
const FIRST_PORT: u16 = 100;

/// Loopback address with this port.
pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Answer stored in a node's process.
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

/// Part of an answer, as read by a caller.
#[derive(Debug, Clone, PartialEq)]
pub struct AnswerPart {
    /// Text from the requested offset on.
    pub text: String,
    /// How the answer ended; absent while it is being generated.
    pub finish: Option<peer::Finish>,
}

/// Result of generating one token.
#[derive(Debug, Clone)]
pub struct GeneratedToken {
    /// Events for the node.
    pub events: Vec<event::EndpointEvent>,
    /// Whether the attempt has ended.
    pub is_finished: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct LogPosition {
    next_offset: Option<id::Offset>,
    has_read: bool,
    was_unavailable: bool,
}

/// Slot in which node processes run, one at a time.
#[derive(Debug)]
pub struct Slot {
    /// Index of the slot.
    pub index: usize,
    /// Id of the current or last process; 0 before the first.
    pub process: id::NodeId,
    /// Instance of the current or last process.
    pub instance: id::InstanceId,
    /// Readiness that the node last reported.
    pub is_ready: bool,
    /// Endpoints whose load the node reads.
    pub watched: Vec<id::EndpointId>,
    /// Answers stored by the process.
    pub answers: BTreeMap<id::RequestId, StoredAnswer>,
    /// Running model attempts.
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
    /// Creates an empty slot.
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

    /// Peer port of the slot's node.
    pub fn port(index: usize) -> u16 {
        FIRST_PORT + index as u16
    }

    /// Index of the slot with this peer port, if a process runs in it.
    pub fn at_port(slots: &[Slot], port: u16) -> Option<usize> {
        let index = usize::from(port.checked_sub(FIRST_PORT)?);
        slots.get(index).filter(|slot| slot.is_running()).map(|slot| slot.index)
    }

    /// Starts a process and clears the state of the previous one.
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

    /// Ends the process. Returns false if it had already ended.
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

    /// Whether this process is the one running in the slot.
    pub fn runs_process(&self, process: id::NodeId) -> bool {
        self.process == process && self.node.is_some()
    }

    /// Whether any process runs in the slot, paused or not.
    pub fn is_running(&self) -> bool {
        self.node.is_some()
    }

    /// Whether the process is paused.
    pub fn is_paused(&self) -> bool {
        self.events_while_paused.is_some()
    }

    /// Whether callers may connect: the process is running, ready and not paused.
    pub fn is_ready(&self) -> bool {
        self.is_running() && self.is_ready && !self.is_paused()
    }

    /// Pauses the process; events are queued until it resumes.
    pub fn pause(&mut self) {
        self.events_while_paused = Some(Vec::new());
    }

    /// Resumes the process and returns the events queued during the pause.
    pub fn resume_process(&mut self, process: id::NodeId) -> Vec<event::Event> {
        if !self.runs_process(process) {
            return Vec::new();
        }
        self.unpaused_since = Duration::MAX;
        self.events_while_paused.take().unwrap_or_default()
    }

    /// Time for which the process has run without a pause.
    pub fn unpaused_duration(&self, now: Duration) -> Duration {
        now.saturating_sub(self.unpaused_since.max(self.started_at))
    }

    /// Passes an event to the node and returns its actions. Returns `None` if the process has ended
    /// or is paused; a paused process gets the event when it resumes.
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

    /// Ticks the node and returns its actions, or `None` if the process has ended or is paused.
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

    /// Checks that the version of the release in force has not decreased.
    ///
    /// # Errors
    ///
    /// Describes the decrease.
    pub fn check_release_version(&mut self) -> Result<(), String> {
        let Some(node) = &self.node else { return Ok(()) };
        let version = node.release_version();
        if version < self.release_version {
            return Err(format!(
                "node {}: release version went from {} back to {version}",
                self.index, self.release_version
            ));
        }
        self.release_version = version;
        Ok(())
    }

    /// Number of unfinished requests that the node holds.
    pub fn unfinished_requests(&self) -> usize {
        self.node.as_ref().map_or(0, |node| node.status().held as usize)
    }

    /// Number of requests adopted by all processes of the slot.
    pub fn adopted(&self) -> u64 {
        self.adopted_by_earlier_processes
            + self.node.as_ref().map_or(0, |node| node.counters().adopted)
    }

    /// Number of attempts that this process runs at an endpoint.
    pub fn attempts_at(&self, endpoint: id::EndpointId) -> u32 {
        self.attempts.values().filter(|attempt| attempt.endpoint == endpoint).count() as u32
    }

    /// Next offset to read of a topic; `None` until the node has asked to read it.
    pub fn position(&self, topic: event::Topic) -> Option<id::Offset> {
        self.log_positions.get(&topic)?.next_offset
    }

    /// Whether a topic has been read since its position was first set.
    pub fn has_read(&self, topic: event::Topic) -> bool {
        self.log_positions.get(&topic).is_some_and(|position| position.has_read)
    }

    /// Whether the last read of a topic failed.
    pub fn was_unavailable(&self, topic: event::Topic) -> bool {
        self.log_positions.get(&topic).is_some_and(|position| position.was_unavailable)
    }

    /// Sets the next offset of a topic and clears the failed state.
    pub fn set_position(&mut self, topic: event::Topic, next_offset: id::Offset) {
        let position = self.log_positions.entry(topic).or_default();
        position.has_read = position.next_offset.is_some();
        position.next_offset = Some(next_offset);
        position.was_unavailable = false;
    }

    /// Records that a read of a topic failed.
    pub fn set_unavailable(&mut self, topic: event::Topic) {
        self.log_positions.entry(topic).or_default().was_unavailable = true;
    }

    /// Creates an answer that starts with the text of its record.
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

    /// Marks an answer as finished, unless it already is.
    pub fn finish_answer(&mut self, request: id::RequestId, finish: peer::Finish) {
        if let Some(answer) = self.answers.get_mut(&request) {
            answer.finish.get_or_insert(finish);
        }
    }

    /// Reads the text of an answer from a byte offset on. Returns `None` if the process has ended
    /// or does not store the answer.
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

    /// Starts an attempt, which becomes the only writer of its request's answer.
    pub fn start_attempt(&mut self, attempt: action::ModelAttempt) {
        if let Some(answer) = self.answers.get_mut(&attempt.request) {
            answer.writing_attempt = attempt.attempt;
        }
        self.attempts.insert(attempt.attempt, attempt);
    }

    /// Generates the next token of an attempt. An attempt that is no longer the writer of its
    /// answer is cancelled.
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
