//! Entries that a node appends to the log, and the ends of claims until they are read back.

use std::time::Duration;

use rhubarbrock_schema::log;

use super::{
    Action, Answer, Claims, Conclusion, DispatchResult, InDoubtReason, PendingEnd, in_doubt,
};
use crate::claim_batch::EntryId;
use crate::claim_call::Stage;
use crate::claim_record;
use crate::claim_table::State;
use crate::id::CallId;

impl Claims {
    pub(super) fn end_dispatched(&mut self, now: Duration, id: CallId, result: DispatchResult) {
        let call = &self.calls[&id];
        let (entry, conclusion) = match result {
            DispatchResult::Answered { status, content_type, body } => {
                let answer = Answer { status, content_type, body, body_omitted: false };
                let entry = claim_record::answered(call, &answer, self.config.max_answer_bytes);
                (entry, Conclusion::Answered { answer, is_replay: false })
            }
            DispatchResult::FencingTokenRejected => {
                (claim_record::in_doubt(call), in_doubt(InDoubtReason::FenceRefused))
            }
            DispatchResult::Unknown | DispatchResult::NotSent => {
                (claim_record::in_doubt(call), in_doubt(InDoubtReason::AnswerLost))
            }
        };
        self.queue_end(now, id, entry);
        self.conclude(id, conclusion);
        self.remove(id);
    }

    pub(super) fn queue_end(&mut self, now: Duration, id: CallId, entry: log::ClaimEntry) {
        let call = &self.calls[&id];
        let end = PendingEnd { entry, key: call.key, is_queued: true, sent_at: now };
        self.pending_ends.insert(call.nonce, end);
        self.batcher.push(EntryId::End(call.nonce));
    }

    /// Drops ends that are in the log: the claim with the same nonce is no longer open.
    pub(super) fn drop_recorded_ends(&mut self) {
        let table = &self.table;
        let is_caught_up = self.next_offset >= self.catch_up_end;
        self.pending_ends.retain(|nonce, end| match table.get(end.key) {
            Some(entry) => entry.nonce == *nonce && entry.state == State::Open,
            None => !is_caught_up,
        });
    }

    pub(super) fn resend_ends(&mut self, now: Duration) {
        let after = self.config.end_resend_interval;
        for (nonce, end) in &mut self.pending_ends {
            if !end.is_queued && now >= end.sent_at + after {
                end.is_queued = true;
                self.batcher.push(EntryId::End(*nonce));
            }
        }
    }

    pub(super) fn requeue(&mut self, entry_id: EntryId) {
        match entry_id {
            EntryId::Claim(id) => {
                if let Some(call) = self.calls.get_mut(&id)
                    && matches!(call.stage, Stage::Sent { .. })
                {
                    if call.concluded {
                        self.remove(id);
                        return;
                    }
                    call.stage = Stage::Queued { at: call.first_queued_at };
                    call.claim_sent = false;
                    self.batcher.push(entry_id);
                }
            }
            EntryId::Refusal(_) => self.batcher.push(entry_id),
            EntryId::End(nonce) => {
                if let Some(end) = self.pending_ends.get_mut(&nonce) {
                    end.is_queued = true;
                    self.batcher.push(entry_id);
                }
            }
        }
    }

    /// Appends queued entries as one record, if an append may be sent now.
    pub(super) fn flush(&mut self, now: Duration) {
        if !self.is_log_available || !self.is_caught_up() || !self.batcher.can_send(now) {
            return;
        }
        let mut builder = claim_record::BatchBuilder::new(self.config.max_batch_bytes);
        let mut entry_ids = Vec::new();
        while builder.has_room()
            && let Some(entry_id) = self.batcher.pop()
        {
            if let Some(entry) = self.build_entry(now, entry_id) {
                builder.push(entry);
                entry_ids.push(entry_id);
            }
        }
        if entry_ids.is_empty() {
            return;
        }
        let batch = self.batcher.send(now, entry_ids);
        self.actions.push(Action::Append { batch, record: builder.record() });
    }

    /// Builds the entry to append, or `None` if it has become obsolete in the queue.
    pub(super) fn build_entry(
        &mut self,
        now: Duration,
        entry_id: EntryId,
    ) -> Option<log::ClaimEntry> {
        match entry_id {
            EntryId::Claim(id) => {
                let call = self.calls.get_mut(&id)?;
                let Stage::Queued { .. } = call.stage else { return None };
                call.stage = Stage::Sent { at: now };
                call.claim_sent = true;
                Some(claim_record::claim(call, self.node, self.unix_time))
            }
            EntryId::Refusal(id) => {
                let call = self.calls.get(&id)?;
                let Stage::Refusing { .. } = call.stage else { return None };
                Some(claim_record::refusal(call))
            }
            EntryId::End(nonce) => {
                let end = self.pending_ends.get_mut(&nonce)?;
                end.is_queued = false;
                end.sent_at = now;
                Some(end.entry.clone())
            }
        }
    }
}
