//! At-most-once execution of calls that are not repeatable, by idempotency key.
//!
//! A call claims its key, within its organisation, by a record in topic
//! "claims" of the platform's log. The first claim in log order owns the key.
//! Its holder dispatches the call once, after it has read the claim back and
//! within a time limit on its own monotonic clock, and then appends the
//! outcome. No other node dispatches on that claim.
//!
//! A conclusion applies to the key and not only to this call:
//!
//! - *answered*: the endpoint's answer, the same for every call with the key.
//! - *not run*: neither this call nor an earlier one with the key ran or will
//!   run. A call that may repeat a key gets this conclusion only once a refusal
//!   is in the log, because the refusal voids the claims of all earlier calls.
//! - *in doubt*: this call, or an earlier one with the key, may have run.

mod appends;
mod conclusion;
mod input;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarbrock_schema::log;

use crate::claim_batch::{BatchId, Batcher, EntryId};
use crate::claim_call::{Call, Stage, Step};
use crate::claim_table::{self, Nonce, Table};
use crate::id::{CallId, NodeId, Offset};
use crate::{claim_call, claim_record};

pub use crate::claim_config::Config;
pub use crate::claim_table::{Answer, Counters};
pub use conclusion::{Conclusion, InDoubtReason, NotRunReason};
pub use input::{AppendResult, DispatchResult, NewCall, Page, Record, SequencePosition};

/// An action that the caller of [`Claims`] must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Append one record to topic "claims" and pass the result to [`Claims::on_append_result`].
    Append {
        /// Number of the append, for matching its result.
        batch: BatchId,
        /// Encoded `ClaimBatch`.
        record: Vec<u8>,
    },
    /// Send the call once, to one endpoint, if [`Claims::confirm_dispatch`] permits it, and pass
    /// the result to [`Claims::on_dispatch_result`].
    Dispatch {
        /// The call.
        call: CallId,
        /// Idempotency key to send with the call.
        key: String,
        /// Fencing token to send with the call: the offset of the claim.
        fencing_token: Offset,
    },
    /// Report the conclusion to the caller.
    Finish {
        /// The call.
        call: CallId,
        /// The conclusion.
        conclusion: Conclusion,
    },
}

/// Claims and unfinished calls of one node.
#[derive(Debug)]
pub struct Claims {
    config: Config,
    node: NodeId,
    rng: ChaCha8Rng,
    table: Table,
    batcher: Batcher,
    calls: BTreeMap<CallId, Call>,
    calls_by_nonce: BTreeMap<Nonce, CallId>,
    pending_ends: BTreeMap<Nonce, PendingEnd>,
    is_log_available: bool,
    /// Offset to read next; 0 before the first page.
    next_offset: Offset,
    /// Oldest retained offset when the table was last reset; older records are not in it.
    table_start_offset: Offset,
    /// End of the log at the first page since the start or the last gap.
    catch_up_end: Offset,
    /// Log time from which on the table holds every record, in milliseconds since the Unix epoch;
    /// 0 if it does from the first record of the topic on. `None` before the first record.
    complete_from_ms: Option<u64>,
    unix_time: Duration,
    actions: Vec<Action>,
}

/// The end of a claim that has not been read back from the log.
#[derive(Debug)]
struct PendingEnd {
    entry: log::ClaimEntry,
    key: claim_table::KeyHash,
    is_queued: bool,
    sent_at: Duration,
}

impl Claims {
    /// Claims of a node that has read no records. `seed` generates nonces and keys and must differ
    /// between processes.
    pub fn new(config: Config, node: NodeId, seed: u64) -> Claims {
        Claims {
            node,
            rng: ChaCha8Rng::seed_from_u64(seed ^ node),
            table: Table::new(config.key_lifetime),
            batcher: Batcher::new(config.append_interval, config.append_timeout),
            calls: BTreeMap::new(),
            calls_by_nonce: BTreeMap::new(),
            pending_ends: BTreeMap::new(),
            is_log_available: true,
            next_offset: 0,
            table_start_offset: 0,
            catch_up_end: 0,
            complete_from_ms: None,
            unix_time: Duration::ZERO,
            actions: Vec::new(),
            config,
        }
    }

    /// Sets the lifetime of keys from the release in force.
    pub fn set_key_lifetime(&mut self, lifetime: Duration) {
        self.config.key_lifetime = lifetime;
        self.table.set_key_lifetime(lifetime);
    }

    /// Offset from which to read topic "claims"; 1 before the first page.
    pub fn next_offset(&self) -> Offset {
        self.next_offset.max(1)
    }

    /// Whether the topic has been read up to the end seen at the start or after the last gap.
    pub fn is_caught_up(&self) -> bool {
        self.next_offset != 0 && self.next_offset >= self.catch_up_end
    }

    /// Whether no call is unfinished, every outcome was read back and no append is pending.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty() && self.pending_ends.is_empty() && self.batcher.is_idle()
    }

    /// Number of calls without a conclusion.
    pub fn waiting_calls(&self) -> usize {
        self.calls.values().filter(|call| !call.concluded).count()
    }

    /// Number of outcomes not yet read back from the log.
    pub fn pending_outcomes(&self) -> usize {
        self.pending_ends.len()
    }

    /// Sizes of the table of keys, and the number of malformed records.
    pub fn counters(&self) -> Counters {
        self.table.counters()
    }

    /// Handles a new call. `now` is monotonic time, `unix_time` the time since the Unix epoch.
    ///
    /// # Panics
    ///
    /// Panics if a call with the same number is unfinished.
    pub fn begin(&mut self, now: Duration, unix_time: Duration, new: NewCall) -> Vec<Action> {
        self.unix_time = unix_time;
        let id = new.call;
        assert!(!self.calls.contains_key(&id), "call {id} has already begun");
        let lifetime = self.config.key_lifetime;
        let nonce = self.rng.random();
        let generated_key = format!("~{:032x}", self.rng.random::<u128>());
        let call = Call::new(new, now, nonce, self.next_offset.saturating_sub(1), generated_key);
        if call.details.key_created_at.is_some_and(|created| created + lifetime < unix_time) {
            self.finish(id, Conclusion::KeyExpired);
            return self.take_actions();
        }
        if self.waiting_calls() >= self.config.max_calls {
            let conclusion = if call.details.is_repetition {
                in_doubt(InDoubtReason::TooManyCalls)
            } else {
                self.config.not_run(NotRunReason::TooManyCalls)
            };
            self.finish(id, conclusion);
            return self.take_actions();
        }
        self.calls_by_nonce.insert(nonce, id);
        self.calls.insert(id, call);
        self.advance(now, id);
        self.flush(now);
        self.take_actions()
    }

    /// Handles the result of an append; entries of a failed one are queued again.
    pub fn on_append_result(
        &mut self,
        now: Duration,
        batch: BatchId,
        result: AppendResult,
    ) -> Vec<Action> {
        let has_failed = result == AppendResult::Failed;
        for entry_id in self.batcher.finish(now, batch, has_failed) {
            self.requeue(entry_id);
        }
        self.flush(now);
        self.take_actions()
    }

    /// Applies records read from the log. Malformed ones are counted and skipped.
    pub fn on_records(&mut self, now: Duration, page: Page) -> Vec<Action> {
        self.start_or_reset(&page);
        let mut changed_keys = Vec::new();
        for record in &page.records {
            if record.offset < self.next_offset {
                continue;
            }
            self.complete_from_ms.get_or_insert(record.time_ms);
            self.next_offset = record.offset.saturating_add(1);
            let changes = self.table.apply(now, record.offset, record.time_ms, &record.bytes);
            for change in changes {
                self.record_read_back(record.offset, change);
                changed_keys.push(change.key);
            }
        }
        self.next_offset = self.next_offset.max(page.next_offset);
        self.drop_recorded_ends();
        changed_keys.sort_unstable();
        changed_keys.dedup();
        self.advance_all(now, Some(&changed_keys));
        self.flush(now);
        self.take_actions()
    }

    /// Returns whether a call may be sent; must be called right before its first byte is sent.
    ///
    /// Returns `false` if the call is concluded or the dispatch window is over; nothing may be
    /// sent then.
    pub fn confirm_dispatch(&mut self, now: Duration, id: CallId) -> bool {
        let window = self.config.dispatch_window;
        let Some(call) = self.calls.get_mut(&id) else { return false };
        let Stage::Dispatching { sent_at } = call.stage else { return false };
        if call.concluded || now > sent_at + window {
            return false;
        }
        call.stage = Stage::Dispatched { at: now };
        true
    }

    /// Handles the result of a dispatch; ignored if the call is no longer known.
    ///
    /// # Panics
    ///
    /// Panics if the call was not given out for dispatch, or if the result is not
    /// [`DispatchResult::NotSent`] and [`Claims::confirm_dispatch`] did not permit it.
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
            (stage, result) => {
                panic!("call {id}: unexpected dispatch result {result:?} in stage {stage:?}")
            }
        }
        self.flush(now);
        self.take_actions()
    }

    /// Sets whether the log can be reached.
    pub fn on_log_availability(&mut self, now: Duration, is_log_available: bool) -> Vec<Action> {
        self.is_log_available = is_log_available;
        self.advance_all(now, None);
        self.flush(now);
        self.take_actions()
    }

    /// Handles time-outs and sends queued entries; must be called every few milliseconds.
    pub fn tick(&mut self, now: Duration, unix_time: Duration) -> Vec<Action> {
        self.unix_time = unix_time;
        if let Some(batch) = self.batcher.overdue_batch(now) {
            self.batcher.finish(now, batch, false);
        }
        self.resend_ends(now);
        self.advance_all(now, None);
        self.flush(now);
        self.take_actions()
    }

    /// Concludes all calls, as the node is leaving, by what is known now. Outcomes are still
    /// appended afterwards, until [`Claims::is_idle`] returns `true`.
    pub fn conclude_all(&mut self, now: Duration) -> Vec<Action> {
        let waiting: Vec<CallId> = self
            .calls
            .values()
            .filter(|call| !call.concluded)
            .map(|call| call.details.call)
            .collect();
        for id in waiting {
            self.conclude_leaving(now, id);
        }
        self.flush(now);
        self.take_actions()
    }

    fn conclude_leaving(&mut self, now: Duration, id: CallId) {
        let call = &self.calls[&id];
        let is_key_known = self.table.get(call.key).is_some();
        match call.stage {
            Stage::Dispatching { .. } => self.end_not_run(now, id, NotRunReason::Leaving),
            Stage::Dispatched { .. } => self.conclude(id, in_doubt(InDoubtReason::Leaving)),
            _ if call.details.is_repetition || is_key_known => {
                self.conclude(id, in_doubt(InDoubtReason::Leaving))
            }
            _ => self.conclude(id, self.config.not_run(NotRunReason::Leaving)),
        }
    }

    /// Resets the table on the first page and after a gap in the records read.
    fn start_or_reset(&mut self, page: &Page) {
        let is_first = self.next_offset == 0;
        let has_gap = !is_first && page.oldest_offset > self.next_offset;
        if !is_first && !has_gap {
            return;
        }
        self.table.reset();
        self.next_offset = page.oldest_offset;
        self.table_start_offset = page.oldest_offset;
        self.catch_up_end = page.end_offset;
        self.complete_from_ms = (page.oldest_offset <= 1).then_some(0);
    }

    fn record_read_back(&mut self, offset: Offset, change: claim_table::Change) {
        if !change.is_attempt {
            return;
        }
        if let Some(id) = self.calls_by_nonce.get(&change.nonce)
            && let Some(call) = self.calls.get_mut(id)
        {
            call.read_back = Some(offset);
        }
    }

    /// Whether a key that is not in the table was certainly not used within its lifetime.
    fn covers_key_lifetime(&self) -> bool {
        let lifetime_ms = self.config.key_lifetime.as_millis() as u64;
        self.complete_from_ms.is_some_and(|from_ms| {
            from_ms == 0 || from_ms.saturating_add(lifetime_ms) <= self.table.latest_time_ms()
        })
    }

    /// Advances all calls, or only those that name a sequence or whose key is in `changed_keys`,
    /// which must be sorted.
    fn advance_all(&mut self, now: Duration, changed_keys: Option<&[claim_table::KeyHash]>) {
        let ids: Vec<CallId> = self
            .calls
            .values()
            .filter(|call| match changed_keys {
                None => true,
                Some(keys) => call.position_key.is_some() || keys.binary_search(&call.key).is_ok(),
            })
            .map(|call| call.details.call)
            .collect();
        for id in ids {
            self.advance(now, id);
        }
    }

    fn advance(&mut self, now: Duration, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        let context = claim_call::Context {
            now,
            config: &self.config,
            table: &self.table,
            is_caught_up: self.is_caught_up(),
            is_log_available: self.is_log_available,
            table_start_offset: self.table_start_offset,
            covers_key_lifetime: self.covers_key_lifetime(),
        };
        match claim_call::next_step(&context, call) {
            Step::Wait => {}
            Step::Forget => self.remove(id),
            Step::Claim => self.queue_claim(now, id),
            Step::Dispatch { fencing_token, sent_at } => self.dispatch(id, fencing_token, sent_at),
            Step::Refuse(reason) => self.refuse(now, id, reason),
            Step::EndNotRun(reason) => self.end_not_run(now, id, reason),
            Step::EndInDoubt(reason) => self.end_in_doubt(now, id, reason),
            Step::Conclude(conclusion) => self.conclude(id, conclusion),
        }
    }

    fn queue_claim(&mut self, now: Duration, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.stage = Stage::Queued { at: now };
            call.first_queued_at = now;
            self.batcher.push(EntryId::Claim(id));
        }
    }

    fn dispatch(&mut self, id: CallId, fencing_token: Offset, sent_at: Duration) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.stage = Stage::Dispatching { sent_at };
            let key = call.key_text.clone();
            self.actions.push(Action::Dispatch { call: id, key, fencing_token });
        }
    }

    /// Refuses a call that does not hold its key. If the key may have been used before, the call
    /// is concluded only after its refusal was read back from the log.
    fn refuse(&mut self, now: Duration, id: CallId, reason: NotRunReason) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let is_key_known = self.table.get(call.key).is_some();
        if !call.details.is_repetition && !is_key_known {
            let conclusion = self.config.not_run(reason);
            self.conclude(id, conclusion);
        } else if self.is_log_available {
            call.stage = Stage::Refusing { at: now, reason };
            self.batcher.push(EntryId::Refusal(id));
        } else {
            self.conclude(id, in_doubt(InDoubtReason::LogUnavailable));
        }
    }

    /// Ends a claim of this node whose call was not and will not be sent.
    fn end_not_run(&mut self, now: Duration, id: CallId, reason: NotRunReason) {
        let Some(call) = self.calls.get(&id) else { return };
        let entry = claim_record::not_run(call);
        self.queue_end(now, id, entry);
        let conclusion = self.config.not_run(reason);
        self.conclude(id, conclusion);
        self.remove(id);
    }

    /// Ends a claim of this node whose call was not sent, but an earlier call may have run.
    fn end_in_doubt(&mut self, now: Duration, id: CallId, reason: InDoubtReason) {
        let Some(call) = self.calls.get(&id) else { return };
        let entry = claim_record::in_doubt(call);
        self.queue_end(now, id, entry);
        self.conclude(id, in_doubt(reason));
        self.remove(id);
    }

    /// Reports a conclusion; keeps the call while its claim may still appear in the log or its
    /// dispatch is unfinished.
    fn conclude(&mut self, id: CallId, conclusion: Conclusion) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if !call.concluded {
            call.concluded = true;
            self.actions.push(Action::Finish { call: id, conclusion });
        }
        let Some(call) = self.calls.get_mut(&id) else { return };
        match call.stage {
            Stage::Dispatching { .. } | Stage::Dispatched { .. } => {}
            _ if call.claim_sent && call.read_back.is_none() => {
                call.stage = Stage::Sent { at: call.arrived_at }
            }
            _ => self.remove(id),
        }
    }

    fn remove(&mut self, id: CallId) {
        if let Some(call) = self.calls.remove(&id) {
            self.calls_by_nonce.remove(&call.nonce);
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
