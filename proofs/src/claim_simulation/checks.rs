//! Invariants of calls, checked at each run and conclusion and at the end.

use prost::Message;
use rhubarbrock::claim::{self, Conclusion};
use rhubarbrock_schema::log::{ClaimBatch, claim_entry};

use super::{KEY_LIFETIME, Simulation};

impl Simulation {
    pub(super) fn record_run(&mut self, call: u64, key: &str) {
        self.report.runs += 1;
        if self.service.run_count(key) > 1 {
            self.record_violation(format!(
                "{key} ran {} times, expected at most once",
                self.service.run_count(key)
            ));
        }
        let key_state = &self.keys[key];
        if let Some(not_run_call) = key_state.last_not_run_call
            && (call == not_run_call || (call < not_run_call && !key_state.has_unmarked_repetition))
        {
            self.record_violation(format!(
                "{key} runs by call {call}, but call {not_run_call} was concluded as not run"
            ));
        }
        if let Some(key_state) = self.keys.get_mut(key) {
            key_state.executed_by = Some(call);
        }
        let Some((sequence, position)) = self.keys[key].sequence_position.clone() else { return };
        let previous = self.last_run_positions.insert(sequence.clone(), position).unwrap_or(0);
        if position != previous + 1 {
            self.record_violation(format!(
                "{sequence}: position {position} ran after position {previous}"
            ));
        }
    }

    pub(super) fn record_claims(&mut self, node: u64, record: &[u8]) {
        let Ok(batch) = ClaimBatch::decode(record) else {
            self.record_violation("appended record is not a valid claim batch".to_owned());
            return;
        };
        for entry in batch.entries {
            if let Some(claim_entry::Body::Claim(claim)) = entry.body {
                self.claim_sent_at.insert((node, claim.key), self.now);
            }
        }
    }

    /// Records the conclusion of a call and checks it.
    pub(super) fn conclude(&mut self, call: u64, conclusion: Conclusion) {
        let Some(call_state) = self.call_states.get_mut(&call) else {
            self.record_violation(format!("conclusion of unknown call {call}"));
            return;
        };
        if call_state.conclusion.replace(conclusion.clone()).is_some() {
            self.record_violation(format!("call {call} has two conclusions"));
            return;
        }
        let key = call_state.key.clone();
        let body = call_state.body;
        self.unconcluded.remove(&call);
        match conclusion {
            Conclusion::Answered { answer, is_replay } => {
                self.on_answered(call, &key, answer, is_replay)
            }
            Conclusion::NotRun { reason, .. } => self.on_not_run(call, &key, reason),
            Conclusion::InDoubt { reason } => {
                *self.report.in_doubt.entry(reason).or_default() += 1;
            }
            Conclusion::Mismatch => {
                self.report.mismatches += 1;
                if self.keys[&key].bodies.iter().all(|other| *other == body) {
                    self.record_violation(format!(
                        "{key} refused as used by another request, but all its requests are equal"
                    ));
                }
            }
            Conclusion::KeyExpired => {
                self.report.expired_keys += 1;
                if self.now < self.keys[&key].first_used_at + KEY_LIFETIME {
                    self.record_violation(format!("{key} refused as expired within its lifetime"));
                }
            }
        }
    }

    pub(super) fn on_answered(
        &mut self,
        call: u64,
        key: &str,
        answer: claim::Answer,
        is_replay: bool,
    ) {
        let counter = if is_replay { &mut self.report.replayed } else { &mut self.report.answered };
        *counter += 1;
        match self.keys[key].executed_by {
            None => self.record_violation(format!("{key} answered, but it never ran")),
            Some(executed_by)
                if self.call_states[&executed_by].body != self.call_states[&call].body =>
            {
                self.record_violation(format!("call {call} got the answer to another request"));
            }
            Some(_) => {}
        }
        if let Some(key_state) = self.keys.get_mut(key) {
            let first = key_state.answer.get_or_insert_with(|| answer.clone());
            if *first != answer {
                self.record_violation(format!("{key} has two different answers"));
            }
        }
    }

    /// Checks that neither this call nor an earlier one with the key has run. Later runs of them
    /// are checked in `record_run`.
    pub(super) fn on_not_run(&mut self, call: u64, key: &str, reason: claim::NotRunReason) {
        *self.report.not_run.entry(reason).or_default() += 1;
        let Some(key_state) = self.keys.get_mut(key) else { return };
        key_state.last_not_run_call = key_state.last_not_run_call.max(Some(call));
        if let Some(executed_by) = key_state.executed_by
            && (executed_by == call || (executed_by < call && !key_state.has_unmarked_repetition))
        {
            self.record_violation(format!(
                "{key}: call {call} concluded as not run, but call {executed_by} ran"
            ));
        }
    }

    pub(super) fn check_quiescent(&mut self) {
        for node in 0..self.nodes.len() {
            let claims = &self.nodes[node].claims;
            if claims.waiting_calls() > 0 || claims.pending_outcomes() > 0 {
                let description = format!(
                    "node {node} still has calls or outcomes pending: {:?}",
                    claims.counters()
                );
                self.record_violation(description);
            }
        }
        if let Some(call) = self.unconcluded.first() {
            let description = format!("call {call} has no conclusion at the end of the run");
            self.record_violation(description);
        }
    }

    pub(super) fn count_in_doubt_without_run(&mut self) {
        let count = self
            .call_states
            .values()
            .filter(|call_state| matches!(call_state.conclusion, Some(Conclusion::InDoubt { .. })))
            .filter(|call_state| self.service.run_count(&call_state.key) == 0)
            .count();
        self.report.in_doubt_without_run = count as u64;
    }
}
