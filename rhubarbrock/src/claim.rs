//! Calls that may not be repeated: at most one run per idempotency key.
//!
//! A call is claimed in the platform's log under its organisation and key. The
//! first claim in log order owns the key; its holder dispatches the call once,
//! after reading the claim back and within a bound of its own monotonic clock,
//! and appends the outcome. Nobody else ever dispatches on that claim.
//!
//! What a caller is told holds for the key, not only for this attempt:
//!
//! - *answered*: the endpoint's answer, the same for everybody who asks.
//! - *not run*: no call with the key that arrived before this one ran, and none
//!   of them will. A call that is a repetition is told so only once a refusal is
//!   in the log, which voids each claim made by an earlier call.
//! - *in doubt*: the call, or an earlier one with the key, may have run.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarbrock_schema::log;

use crate::claim_batch::{BatchId, Batcher, Ticket};
use crate::claim_call::{Call, Stage, Step};
use crate::claim_table::{self, Nonce, State, Table};
use crate::id::{CallId, NodeId, Offset};
use crate::{claim_call, claim_record};

pub use crate::claim_config::Config;
pub use crate::claim_table::{Answer, Counters};

/// A call as it arrives.
#[derive(Debug, Clone)]
pub struct NewCall {
    /// Number of the call.
    pub call: CallId,
    /// Organisation of the caller.
    pub organisation: String,
    /// The caller's idempotency key. Without one a key is drawn; the call still runs at most
    /// once, but nobody can ask for its outcome again.
    pub key: Option<String>,
    /// Whether the caller says that it may have sent the key before.
    pub is_repetition: bool,
    /// Time since the Unix epoch at which the caller says that it made the key.
    pub key_created: Option<Duration>,
    /// SHA-256 of method, path and body.
    pub request_sha256: [u8; 32],
    /// Service called.
    pub service: String,
    /// Place in a sequence of calls, if the caller names one.
    pub sequence_position: Option<SequencePosition>,
}

/// Place of a call in a sequence named by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SequencePosition {
    /// Name of the sequence, within organisation and service.
    pub sequence: String,
    /// Position, from 1.
    pub position: u64,
}

/// What to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Append one record to topic "claims" and report by [`Claims::on_append_result`].
    Append {
        /// Number of the append.
        batch: BatchId,
        /// The record.
        record: Vec<u8>,
    },
    /// Send the call to one endpoint, once, after [`Claims::confirm_dispatch`] allowed it; report by
    /// [`Claims::on_dispatch_result`].
    Dispatch {
        /// The call.
        call: CallId,
        /// Idempotency key to send along.
        key: String,
        /// Fencing number: the offset of the claim.
        fencing_token: Offset,
    },
    /// Tell the caller.
    Finish {
        /// The call.
        call: CallId,
        /// What to tell.
        conclusion: Conclusion,
    },
}

/// What a caller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Conclusion {
    /// The endpoint's answer.
    Answered {
        /// The answer.
        answer: Answer,
        /// Whether it comes from the log and not from this call's own dispatch.
        is_replay: bool,
    },
    /// The call did not run, nor did any earlier one with the key, and none of them will.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When to try again; `None` where trying again is of no use.
        retry_after: Option<Duration>,
    },
    /// The call may have run.
    InDoubt {
        /// Why nothing better is known.
        reason: InDoubtReason,
    },
    /// The key belongs to another request; this one was not and will not be sent.
    Mismatch,
    /// The key is past its life; this call was not sent, and earlier ones are not known any more.
    KeyExpired,
}

/// Why a call did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub enum NotRunReason {
    /// The log cannot be reached.
    #[display("the log is not available")]
    LogUnavailable,
    /// The claim was not in the log, or not read back, in time.
    #[display("the log is too slow")]
    LogSlow,
    /// This node has not yet read the log to its end.
    #[display("the node is starting")]
    Starting,
    /// No endpoint could be reached before anything was sent.
    #[display("no endpoint could be reached")]
    NoEndpoint,
    /// The predecessor in the sequence has no recorded answer.
    #[display("the predecessor in the sequence has no answer")]
    PredecessorUnanswered,
    /// The sequence has gone past this position.
    #[display("the sequence is past this position")]
    PositionPassed,
    /// Another key has this position of the sequence.
    #[display("another call has this position of the sequence")]
    PositionTaken,
    /// An earlier call with the key was refused while this one was under way.
    #[display("a call with the same key was refused meanwhile")]
    Withdrawn,
    /// The node holds too many calls.
    #[display("too many calls")]
    TooManyCalls,
    /// The node is leaving.
    #[display("the node is leaving")]
    Leaving,
}

/// Why a call is in doubt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub enum InDoubtReason {
    /// The endpoint's answer was lost.
    #[display("the endpoint's answer was lost")]
    AnswerLost,
    /// The endpoint has not answered in time.
    #[display("the endpoint has not answered in time")]
    AnswerLate,
    /// The endpoint refused the call's fencing number: it has accepted a newer one for the key.
    #[display("the endpoint has accepted a newer call with the key")]
    FenceRefused,
    /// The log says so.
    #[display("the outcome of the first call is in doubt")]
    Recorded,
    /// Another node holds the claim and its outcome is not in the log.
    #[display("the node that holds the call has not recorded an outcome")]
    HolderSilent,
    /// The log cannot be read, so earlier calls with the key are not known.
    #[display("the log is not available in time and the key may have been used")]
    LogUnavailable,
    /// The log no longer reaches back over a key's life.
    #[display("the log does not reach back over the key's life")]
    LogTooShort,
    /// The node holds too many calls to look the key up.
    #[display("too many calls")]
    TooManyCalls,
    /// The node is leaving and the call is under way.
    #[display("the node is leaving while the call is under way")]
    Leaving,
}

/// Result of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendResult {
    /// The record has this offset.
    At(Offset),
    /// The log refused the record; it will not appear.
    Failed,
    /// The answer was lost; the record may appear at any time.
    Unknown,
}

/// How a dispatched call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchResult {
    /// The endpoint answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
        /// Body.
        body: Vec<u8>,
    },
    /// No byte of the call has left and none will, such as where the connection was refused.
    NotSent,
    /// The call may have reached the endpoint.
    Unknown,
    /// The endpoint refused the fencing number.
    FenceRefused,
}

/// A record as read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Offset.
    pub offset: Offset,
    /// Time at which the log took it, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Bytes as appended.
    pub bytes: Vec<u8>,
}

/// One answer to a read of topic "claims".
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Records in the order of their offsets.
    pub records: Vec<Record>,
    /// Offset to read from next.
    pub next: Offset,
    /// Oldest offset that the log keeps.
    pub oldest: Offset,
    /// Offset that the next record will get.
    pub end: Offset,
}

/// Claims of one node.
#[derive(Debug)]
pub struct Claims {
    config: Config,
    node: NodeId,
    rng: ChaCha8Rng,
    table: Table,
    batcher: Batcher,
    calls: BTreeMap<CallId, Call>,
    attempts: BTreeMap<Nonce, CallId>,
    ends: BTreeMap<Nonce, PendingEnd>,
    available: bool,
    /// Offset to read next; 0 before the first page.
    next: Offset,
    /// Offset of the first record that the table may hold.
    table_start: Offset,
    /// End of the log at the first page read since the start or a gap.
    start_end: Offset,
    /// Log time from which on the table is whole; 0 where it is from the first record on. `None`
    /// while no record was read.
    whole_from_ms: Option<u64>,
    wall: Duration,
    actions: Vec<Action>,
}

#[derive(Debug)]
struct PendingEnd {
    entry: log::ClaimEntry,
    key: claim_table::KeyHash,
    queued: bool,
    sent_at: Duration,
}

impl Claims {
    /// Claims of a node that has read nothing yet. The seed must differ between processes.
    pub fn new(config: Config, node: NodeId, seed: u64) -> Claims {
        Claims {
            node,
            rng: ChaCha8Rng::seed_from_u64(seed ^ node),
            table: Table::new(config.key_lifetime),
            batcher: Batcher::new(config.append_interval, config.append_timeout),
            calls: BTreeMap::new(),
            attempts: BTreeMap::new(),
            ends: BTreeMap::new(),
            available: true,
            next: 0,
            table_start: 0,
            start_end: 0,
            whole_from_ms: None,
            wall: Duration::ZERO,
            actions: Vec::new(),
            config,
        }
    }

    /// Takes the release note's life of a key.
    pub fn set_key_lifetime(&mut self, life: Duration) {
        self.config.key_lifetime = life;
        self.table.set_key_lifetime(life);
    }

    /// Offset to read topic "claims" from; 1 before the first page.
    pub fn next_offset(&self) -> Offset {
        self.next.max(1)
    }

    /// Whether the topic was read up to the end seen at the start.
    pub fn is_caught_up(&self) -> bool {
        self.next != 0 && self.next >= self.start_end
    }

    /// Whether no call is held and every outcome is in the log.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty() && self.ends.is_empty() && self.batcher.is_idle()
    }

    /// Calls whose callers wait.
    pub fn waiting_calls(&self) -> usize {
        self.calls.values().filter(|call| !call.told).count()
    }

    /// Outcomes that are not yet read back from the log.
    pub fn pending_outcomes(&self) -> usize {
        self.ends.len()
    }

    /// Sizes of the table and what it skipped.
    pub fn counters(&self) -> Counters {
        self.table.counters()
    }

    /// A call arrives. `wall` is the time since the Unix epoch.
    pub fn begin(&mut self, now: Duration, wall: Duration, new: NewCall) -> Vec<Action> {
        self.wall = wall;
        let id = new.call;
        assert!(!self.calls.contains_key(&id), "a call begins once");
        let life = self.config.key_lifetime;
        let nonce = self.rng.random();
        let drawn_key = format!("~{:032x}", self.rng.random::<u128>());
        let call = Call::new(new, now, nonce, self.next.saturating_sub(1), drawn_key);
        if call.new.key_created.is_some_and(|created| created + life < wall) {
            self.finish(id, Conclusion::KeyExpired);
            return self.take_actions();
        }
        if self.waiting_calls() >= self.config.max_calls {
            let conclusion = if call.new.is_repetition {
                in_doubt(InDoubtReason::TooManyCalls)
            } else {
                self.config.not_run(NotRunReason::TooManyCalls)
            };
            self.finish(id, conclusion);
            return self.take_actions();
        }
        self.attempts.insert(nonce, id);
        self.calls.insert(id, call);
        self.settle(now, id);
        self.flush(now);
        self.take_actions()
    }

    /// The answer to an append, or that there is none.
    pub fn on_append_result(
        &mut self,
        now: Duration,
        batch: BatchId,
        result: AppendResult,
    ) -> Vec<Action> {
        let has_failed = result == AppendResult::Failed;
        for ticket in self.batcher.end(now, batch, has_failed) {
            self.requeue(ticket);
        }
        self.flush(now);
        self.take_actions()
    }

    /// Records were read. Unreadable ones are counted and skipped.
    pub fn on_records(&mut self, now: Duration, page: Page) -> Vec<Action> {
        self.note_start(&page);
        let mut touched = Vec::new();
        for record in &page.records {
            if record.offset < self.next {
                continue;
            }
            self.whole_from_ms.get_or_insert(record.time_ms);
            self.next = record.offset.saturating_add(1);
            let changes = self.table.fold(now, record.offset, record.time_ms, &record.bytes);
            for change in changes {
                self.note_read_back(record.offset, change);
                touched.push(change.key);
            }
        }
        self.next = self.next.max(page.next);
        self.drop_recorded_ends();
        touched.sort_unstable();
        touched.dedup();
        self.settle_all(now, Some(&touched));
        self.flush(now);
        self.take_actions()
    }

    /// Asked right before the first byte of a call can leave. Where this gives false, nothing may
    /// be sent; the caller has been told.
    pub fn confirm_dispatch(&mut self, now: Duration, id: CallId) -> bool {
        let bound = self.config.dispatch_window;
        let Some(call) = self.calls.get_mut(&id) else { return false };
        let Stage::Dispatching { sent_at } = call.stage else { return false };
        if call.told || now > sent_at + bound {
            return false;
        }
        call.stage = Stage::Dispatched { at: now };
        true
    }

    /// A dispatched call ended.
    pub fn on_dispatch_result(
        &mut self,
        now: Duration,
        id: CallId,
        result: DispatchResult,
    ) -> Vec<Action> {
        let Some(call) = self.calls.get(&id) else { return Vec::new() };
        match (call.stage, result) {
            (Stage::Dispatching { .. } | Stage::Dispatched { .. }, DispatchResult::NotSent) => {
                self.end_not_run(now, id, NotRunReason::NoEndpoint);
            }
            (Stage::Dispatched { .. }, result) => self.end_dispatched(now, id, result),
            (stage, result) => panic!("call {id} ended as {result:?} in {stage:?}"),
        }
        self.flush(now);
        self.take_actions()
    }

    /// Whether the log answers; told at each change.
    pub fn on_log_availability(&mut self, now: Duration, available: bool) -> Vec<Action> {
        self.available = available;
        self.settle_all(now, None);
        self.flush(now);
        self.take_actions()
    }

    /// Time passes; to be called every few milliseconds.
    pub fn tick(&mut self, now: Duration, wall: Duration) -> Vec<Action> {
        self.wall = wall;
        if let Some(batch) = self.batcher.overdue(now) {
            self.batcher.end(now, batch, false);
        }
        self.resend_ends(now);
        self.settle_all(now, None);
        self.flush(now);
        self.take_actions()
    }

    /// The node leaves: every caller that still waits is told what is true now. Outcomes go on
    /// being appended; [`Claims::is_idle`] says when all are in the log.
    pub fn conclude_all(&mut self, now: Duration) -> Vec<Action> {
        let waiting: Vec<CallId> =
            self.calls.values().filter(|call| !call.told).map(|call| call.new.call).collect();
        for id in waiting {
            self.conclude_leaving(now, id);
        }
        self.flush(now);
        self.take_actions()
    }

    fn conclude_leaving(&mut self, now: Duration, id: CallId) {
        let call = &self.calls[&id];
        let holds_key = self.table.get(call.key).is_some();
        match call.stage {
            Stage::Dispatching { .. } => self.end_not_run(now, id, NotRunReason::Leaving),
            Stage::Dispatched { .. } => self.tell(id, in_doubt(InDoubtReason::Leaving)),
            _ if call.new.is_repetition || holds_key => {
                self.tell(id, in_doubt(InDoubtReason::Leaving))
            }
            _ => self.tell(id, self.config.not_run(NotRunReason::Leaving)),
        }
    }

    fn note_start(&mut self, page: &Page) {
        let is_first = self.next == 0;
        let has_gap = !is_first && page.oldest > self.next;
        if !is_first && !has_gap {
            return;
        }
        self.table.reset();
        self.next = page.oldest;
        self.table_start = page.oldest;
        self.start_end = page.end;
        self.whole_from_ms = (page.oldest <= 1).then_some(0);
    }

    fn note_read_back(&mut self, offset: Offset, change: claim_table::Change) {
        if !change.is_attempt {
            return;
        }
        if let Some(id) = self.attempts.get(&change.nonce)
            && let Some(call) = self.calls.get_mut(id)
        {
            call.read_back = Some(offset);
        }
    }

    /// Whether a key that is not in the table was not used within its life.
    fn covers_key_life(&self) -> bool {
        let life_ms = self.config.key_lifetime.as_millis() as u64;
        self.whole_from_ms.is_some_and(|from_ms| {
            from_ms == 0 || from_ms.saturating_add(life_ms) <= self.table.latest_ms()
        })
    }

    fn settle_all(&mut self, now: Duration, touched: Option<&[claim_table::KeyHash]>) {
        let ids: Vec<CallId> = self
            .calls
            .values()
            .filter(|call| match touched {
                None => true,
                Some(keys) => call.place.is_some() || keys.binary_search(&call.key).is_ok(),
            })
            .map(|call| call.new.call)
            .collect();
        for id in ids {
            self.settle(now, id);
        }
    }

    fn settle(&mut self, now: Duration, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        let view = claim_call::View {
            now,
            config: &self.config,
            table: &self.table,
            is_caught_up: self.is_caught_up(),
            is_available: self.available,
            table_start: self.table_start,
            covers_key_life: self.covers_key_life(),
        };
        match claim_call::judge(&view, call) {
            Step::Keep => {}
            Step::Drop => self.remove(id),
            Step::Claim => self.queue_claim(now, id),
            Step::Dispatch { fencing_token, sent_at } => self.dispatch(id, fencing_token, sent_at),
            Step::Refuse(reason) => self.refuse(now, id, reason),
            Step::EndNotRun(reason) => self.end_not_run(now, id, reason),
            Step::EndInDoubt(reason) => self.end_in_doubt(now, id, reason),
            Step::Tell(conclusion) => self.tell(id, conclusion),
        }
    }

    fn queue_claim(&mut self, now: Duration, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.stage = Stage::Queued { at: now };
            call.first_queued = now;
            self.batcher.push(Ticket::Claim(id));
        }
    }

    fn dispatch(&mut self, id: CallId, fencing_token: Offset, sent_at: Duration) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.stage = Stage::Dispatching { sent_at };
            let key = call.key_text.clone();
            self.actions.push(Action::Dispatch { call: id, key, fencing_token });
        }
    }

    /// Refuses a call that does not hold its key. One that may be a repetition is told only after
    /// a refusal was read back from the log.
    fn refuse(&mut self, now: Duration, id: CallId, reason: NotRunReason) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let is_known = self.table.get(call.key).is_some();
        if !call.new.is_repetition && !is_known {
            let conclusion = self.config.not_run(reason);
            self.tell(id, conclusion);
        } else if self.available {
            call.stage = Stage::Refusing { at: now, reason };
            self.batcher.push(Ticket::Refusal(id));
        } else {
            self.tell(id, in_doubt(InDoubtReason::LogUnavailable));
        }
    }

    /// Ends a claim of this node that was not dispatched and will not be.
    fn end_not_run(&mut self, now: Duration, id: CallId, reason: NotRunReason) {
        let Some(call) = self.calls.get(&id) else { return };
        let entry = claim_record::not_run(call);
        self.push_end(now, id, entry);
        let conclusion = self.config.not_run(reason);
        self.tell(id, conclusion);
        self.remove(id);
    }

    /// Ends a claim of this node that was not dispatched, where an earlier call may have been.
    fn end_in_doubt(&mut self, now: Duration, id: CallId, reason: InDoubtReason) {
        let Some(call) = self.calls.get(&id) else { return };
        let entry = claim_record::in_doubt(call);
        self.push_end(now, id, entry);
        self.tell(id, in_doubt(reason));
        self.remove(id);
    }

    fn end_dispatched(&mut self, now: Duration, id: CallId, result: DispatchResult) {
        let call = &self.calls[&id];
        let (entry, conclusion) = match result {
            DispatchResult::Answered { status, content_type, body } => {
                let answer = Answer { status, content_type, body, body_omitted: false };
                let entry = claim_record::answered(call, &answer, self.config.max_answer_bytes);
                (entry, Conclusion::Answered { answer, is_replay: false })
            }
            DispatchResult::FenceRefused => {
                (claim_record::in_doubt(call), in_doubt(InDoubtReason::FenceRefused))
            }
            DispatchResult::Unknown | DispatchResult::NotSent => {
                (claim_record::in_doubt(call), in_doubt(InDoubtReason::AnswerLost))
            }
        };
        self.push_end(now, id, entry);
        self.tell(id, conclusion);
        self.remove(id);
    }

    fn push_end(&mut self, now: Duration, id: CallId, entry: log::ClaimEntry) {
        let call = &self.calls[&id];
        let end = PendingEnd { entry, key: call.key, queued: true, sent_at: now };
        self.ends.insert(call.nonce, end);
        self.batcher.push(Ticket::End(call.nonce));
    }

    /// An end is recorded once the key is not open under its nonce any more.
    fn drop_recorded_ends(&mut self) {
        let table = &self.table;
        let is_caught_up = self.next >= self.start_end;
        self.ends.retain(|nonce, end| match table.get(end.key) {
            Some(entry) => entry.nonce == *nonce && entry.state == State::Open,
            None => !is_caught_up,
        });
    }

    fn resend_ends(&mut self, now: Duration) {
        let after = self.config.end_resend_interval;
        for (nonce, end) in &mut self.ends {
            if !end.queued && now >= end.sent_at + after {
                end.queued = true;
                self.batcher.push(Ticket::End(*nonce));
            }
        }
    }

    fn requeue(&mut self, ticket: Ticket) {
        match ticket {
            Ticket::Claim(id) => {
                if let Some(call) = self.calls.get_mut(&id)
                    && matches!(call.stage, Stage::Sent { .. })
                {
                    if call.told {
                        self.remove(id);
                        return;
                    }
                    call.stage = Stage::Queued { at: call.first_queued };
                    call.claim_sent = false;
                    self.batcher.push(ticket);
                }
            }
            Ticket::Refusal(_) => self.batcher.push(ticket),
            Ticket::End(nonce) => {
                if let Some(end) = self.ends.get_mut(&nonce) {
                    end.queued = true;
                    self.batcher.push(ticket);
                }
            }
        }
    }

    /// Sends what waits in one record, if an append may be sent now.
    fn flush(&mut self, now: Duration) {
        if !self.available || !self.is_caught_up() || !self.batcher.is_open(now) {
            return;
        }
        let mut builder = claim_record::Builder::new(self.config.max_batch_bytes);
        let mut tickets = Vec::new();
        while builder.has_room()
            && let Some(ticket) = self.batcher.pop()
        {
            if let Some(entry) = self.entry_of(now, ticket) {
                builder.push(entry);
                tickets.push(ticket);
            }
        }
        if tickets.is_empty() {
            return;
        }
        let batch = self.batcher.send(now, tickets);
        self.actions.push(Action::Append { batch, record: builder.record() });
    }

    /// The entry for a ticket, or `None` where it is not wanted any more.
    fn entry_of(&mut self, now: Duration, ticket: Ticket) -> Option<log::ClaimEntry> {
        match ticket {
            Ticket::Claim(id) => {
                let call = self.calls.get_mut(&id)?;
                let Stage::Queued { .. } = call.stage else { return None };
                call.stage = Stage::Sent { at: now };
                call.claim_sent = true;
                Some(claim_record::claim(call, self.node, self.wall))
            }
            Ticket::Refusal(id) => {
                let call = self.calls.get(&id)?;
                let Stage::Refusing { .. } = call.stage else { return None };
                Some(claim_record::refusal(call))
            }
            Ticket::End(nonce) => {
                let end = self.ends.get_mut(&nonce)?;
                end.queued = false;
                end.sent_at = now;
                Some(end.entry.clone())
            }
        }
    }

    /// Tells the caller; keeps the call while its claim may still appear or its dispatch may end.
    fn tell(&mut self, id: CallId, conclusion: Conclusion) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if !call.told {
            call.told = true;
            self.actions.push(Action::Finish { call: id, conclusion });
        }
        let Some(call) = self.calls.get_mut(&id) else { return };
        match call.stage {
            Stage::Dispatching { .. } | Stage::Dispatched { .. } => {}
            _ if call.claim_sent && call.read_back.is_none() => {
                call.stage = Stage::Sent { at: call.begun }
            }
            _ => self.remove(id),
        }
    }

    fn remove(&mut self, id: CallId) {
        if let Some(call) = self.calls.remove(&id) {
            self.attempts.remove(&call.nonce);
        }
    }

    fn finish(&mut self, call: CallId, conclusion: Conclusion) {
        self.actions.push(Action::Finish { call, conclusion });
    }

    fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}

fn in_doubt(reason: InDoubtReason) -> Conclusion {
    Conclusion::InDoubt { reason }
}
