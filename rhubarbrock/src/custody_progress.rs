//! Progress calls, by which the holder of requests keeps their backups up to date.

use std::time::Duration;

use rhubarbrock_schema::peer;

use crate::custody::{self, Action, AnswerExtent, BackupState, Custody, HeldRequest};
use crate::id;

/// Consecutive failed progress calls after which another custodian is chosen.
const MAX_FAILED_CALLS: u32 = 3;

impl Custody {
    /// Returns the progress calls that are due, at most one per custodian.
    pub(crate) fn send_progress(&mut self, now: Duration) -> Vec<Action> {
        let is_due = |queue: &custody::ProgressQueue| {
            let has_updates = !queue.changed.is_empty() || !queue.released.is_empty();
            queue.in_flight.is_none() && queue.next_call_at <= now && has_updates
        };
        let due: Vec<id::NodeId> = self
            .progress_queues
            .iter()
            .filter(|(_, queue)| is_due(queue))
            .map(|(&node, _)| node)
            .collect();
        due.into_iter().filter_map(|node| self.progress_call(now, node)).collect()
    }

    fn progress_call(&mut self, now: Duration, to: id::NodeId) -> Option<Action> {
        let queue = self.progress_queues.get_mut(&to)?;
        let mut items = Vec::new();
        let mut requests = Vec::new();
        let mut bytes = 0;
        while items.len() < self.config.max_call_items && bytes < self.config.max_call_bytes {
            let Some(request) = queue.changed.pop_first() else { break };
            let Some(held) = self.held.get(&request) else { continue };
            let Some((item, extent)) = progress_item(held, to) else { continue };
            bytes += item.text.len();
            items.push(item);
            requests.push((request, extent));
        }
        let mut releases = Vec::new();
        while releases.len() < self.config.max_call_items {
            let Some(request) = queue.released.pop_first() else { break };
            releases.push(request);
        }
        if items.is_empty() && releases.is_empty() {
            return None;
        }
        self.last_call_number += 1;
        let number = self.last_call_number;
        queue.next_call_at = now + self.config.progress_interval;
        let names = releases.iter().map(id::RequestId::to_string).collect();
        queue.in_flight = Some(custody::PendingProgress {
            number,
            sent_at: now,
            requests,
            sent_releases: releases,
        });
        let call = peer::ProgressCall { sender: self.own_place.node, items, taken: names };
        Some(Action::Progress { to, number, call })
    }

    /// Handles the reply to a progress call to node `from`; `None` if the call failed.
    pub fn on_progress_reply(
        &mut self,
        now: Duration,
        from: id::NodeId,
        number: custody::CallNumber,
        reply: Option<&peer::ProgressReply>,
    ) -> Vec<Action> {
        let Some(queue) = self.progress_queues.get_mut(&from) else { return Vec::new() };
        let Some(call) = queue.in_flight.take_if(|call| call.number == number) else {
            return Vec::new();
        };
        let Some(reply) = reply else { return self.on_progress_failed(now, from, call) };
        queue.failed_calls = 0;
        let mut actions = Vec::new();
        for (request, extent) in call.requests {
            let text = request.to_string();
            if reply.superseded.contains(&text) {
                actions.extend(self.supersede(now, request, from));
            } else if reply.missing.contains(&text) {
                actions.extend(self.on_backup_missing(now, request, from));
            } else {
                self.acknowledge(request, from, extent);
            }
        }
        actions
    }

    fn acknowledge(&mut self, request: id::RequestId, from: id::NodeId, extent: AnswerExtent) {
        let Some(held) = self.held.get_mut(&request) else { return };
        if let BackupState::Stored { by, end_offset, finished } = &mut held.backup
            && *by == from
        {
            *end_offset = (*end_offset).max(extent.end_offset);
            *finished |= extent.finished;
        }
    }

    fn on_backup_missing(
        &mut self,
        now: Duration,
        request: id::RequestId,
        from: id::NodeId,
    ) -> Vec<Action> {
        let Some(held) = self.held.get_mut(&request) else { return Vec::new() };
        if !matches!(held.backup, BackupState::Stored { by, .. } if by == from) || held.is_delivered
        {
            return Vec::new();
        }
        held.backup = BackupState::Missing;
        if held.is_store_pending {
            return Vec::new();
        }
        self.find_custodian(now, request)
    }

    fn on_progress_failed(
        &mut self,
        now: Duration,
        from: id::NodeId,
        call: custody::PendingProgress,
    ) -> Vec<Action> {
        self.counters.failed_progress += 1;
        let queue = self.progress_queues.get_mut(&from).expect("the caller found the queue");
        queue.changed.extend(call.requests.iter().map(|(request, _)| *request));
        queue.released.extend(call.sent_releases);
        queue.failed_calls += 1;
        if queue.failed_calls < MAX_FAILED_CALLS {
            return Vec::new();
        }
        queue.failed_calls = 0;
        self.replace_custodian(now, from, true)
    }
}

fn progress_item(held: &HeldRequest, to: id::NodeId) -> Option<(peer::Progress, AnswerExtent)> {
    let BackupState::Stored { by, end_offset, finished } = held.backup else { return None };
    let extent = AnswerExtent {
        end_offset: held.answer.len_bytes(),
        finished: held.answer.finish().is_some(),
    };
    let is_known = extent == AnswerExtent { end_offset, finished };
    if by != to || is_known || held.is_delivered {
        return None;
    }
    let piece = held
        .answer
        .piece_from(end_offset)
        .expect("an acknowledged offset ends at a character boundary");
    let item = peer::Progress {
        request: held.record.request.clone(),
        term: held.record.term,
        offset: end_offset,
        text: piece.text,
        chunk_bytes: piece.chunk_bytes,
        tokens: held.answer.tokens(),
        finish: held.answer.finish().cloned(),
    };
    Some((item, extent))
}
