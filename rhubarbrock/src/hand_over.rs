//! Hand-over of requests and backups to other nodes when this node leaves.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use rhubarbrock_schema::peer;

use crate::custody::{self, Action, BackupState, Custody, HeldRequest};
use crate::id;
use crate::placement;

/// Maximum number of requests in one store call of a hand-over.
const MAX_BATCH_REQUESTS: usize = 32;

#[derive(Default)]
struct Batch {
    requests: Vec<id::RequestId>,
    bytes: usize,
}

impl Custody {
    /// Hands over all unfinished requests, most remaining tokens first, and moves backups to other
    /// nodes. From now on this node adopts no request handed over by another.
    ///
    /// Each request goes to its custodian, which already has most of its answer, or to another
    /// node if the custodian takes no work. Local attempts continue until
    /// [`Action::Superseded`].
    pub fn hand_over(&mut self, now: Duration) -> Vec<Action> {
        self.handing_over = true;
        self.own_place.leaving = true;
        self.places.insert(self.own_place.node, self.own_place.clone());
        let mut unfinished: Vec<(Reverse<u32>, id::RequestId)> = self
            .held
            .iter()
            .filter(|(_, held)| held.answer.finish().is_none())
            .map(|(&request, held)| (Reverse(remaining_tokens(held)), request))
            .collect();
        unfinished.sort_unstable();
        let mut batches: BTreeMap<id::NodeId, Batch> = BTreeMap::new();
        let mut actions = Vec::new();
        for (_, request) in unfinished {
            let Some(node) = self.hand_over_target(request) else {
                self.retries.insert(request, now + self.config.retry_interval);
                continue;
            };
            let held = &self.held[&request];
            let batch = batches.entry(node).or_default();
            batch.bytes += custody::state_bytes(&held.record, &held.answer);
            batch.requests.push(request);
            if batch.requests.len() >= MAX_BATCH_REQUESTS
                || batch.bytes >= self.config.max_call_bytes
            {
                let full = std::mem::take(batch);
                actions.push(self.store_held(
                    now,
                    node,
                    &full.requests,
                    custody::StorePurpose::HandOver,
                ));
            }
        }
        for (node, batch) in batches {
            if !batch.requests.is_empty() {
                actions.push(self.store_held(
                    now,
                    node,
                    &batch.requests,
                    custody::StorePurpose::HandOver,
                ));
            }
        }
        actions.extend(self.move_last_backups(now));
        actions
    }

    /// Moves backups that may be the only remaining copy: those of unfinished requests, because the
    /// death of the holder may not have been detected yet, and those of finished answers whose
    /// holder is dead, unknown or leaving.
    fn move_last_backups(&mut self, now: Duration) -> Vec<Action> {
        let may_be_last = |backup: &custody::Backup| {
            backup.answer.finish().is_none() || !self.takes_work(backup.record.holder)
        };
        let last: Vec<id::RequestId> = self
            .backups
            .iter()
            .filter(|(_, backup)| may_be_last(backup))
            .map(|(&request, _)| request)
            .collect();
        self.move_backups(now, last)
    }

    /// Starts store calls that move backups, in batches per receiver.
    fn move_backups(&mut self, now: Duration, requests: Vec<id::RequestId>) -> Vec<Action> {
        let mut batches: BTreeMap<id::NodeId, Batch> = BTreeMap::new();
        let mut actions = Vec::new();
        for request in requests {
            let Some(node) = self.next_move_target(request) else { continue };
            let backup = &self.backups[&request];
            let batch = batches.entry(node).or_default();
            batch.bytes += custody::state_bytes(&backup.record, &backup.answer);
            batch.requests.push(request);
            if batch.requests.len() >= MAX_BATCH_REQUESTS
                || batch.bytes >= self.config.max_call_bytes
            {
                let full = std::mem::take(batch);
                actions.push(self.move_call(now, node, full));
            }
        }
        for (node, batch) in batches {
            if !batch.requests.is_empty() {
                actions.push(self.move_call(now, node, batch));
            }
        }
        actions
    }

    fn move_call(&mut self, now: Duration, to: id::NodeId, batch: Batch) -> Action {
        let mut extents = Vec::new();
        let mut records = Vec::new();
        for request in batch.requests {
            let backup = &self.backups[&request];
            let age = now.saturating_sub(backup.accepted_at);
            records.push(custody::record_with_answer(&backup.record, &backup.answer, age));
            let finished = backup.answer.finish().is_some();
            extents.push((
                request,
                custody::AnswerExtent { end_offset: backup.answer.len_bytes(), finished },
            ));
        }
        self.start_store(now, to, custody::StorePurpose::MoveBackup, extents, records)
    }

    /// Returns the next node to ask to store a backup in place of this node.
    fn next_move_target(&mut self, request: id::RequestId) -> Option<id::NodeId> {
        let backup = self.backups.get_mut(&request)?;
        let holder = backup.record.holder;
        let to = placement::custodian_candidates(request, &self.own_place, &self.places)
            .into_iter()
            .find(|node| *node != holder && !backup.offered_to.contains(node))?;
        backup.offered_to.insert(to);
        Some(to)
    }

    /// Handles the reply to a store call that moves backups; asks the next node for each backup
    /// that was not stored.
    pub(crate) fn on_backups_moved(
        &mut self,
        now: Duration,
        call: &custody::PendingStore,
        reply: Option<&peer::StoreReply>,
    ) -> Vec<Action> {
        let is_settled = |request: &id::RequestId| {
            let name = request.to_string();
            reply
                .is_some_and(|reply| reply.kept.contains(&name) || reply.superseded.contains(&name))
        };
        let unsettled: Vec<id::RequestId> = call
            .requests
            .iter()
            .map(|(request, _)| *request)
            .filter(|request| !is_settled(request))
            .collect();
        self.move_backups(now, unsettled)
    }

    fn hand_over_target(&self, request: id::RequestId) -> Option<id::NodeId> {
        if let BackupState::Stored { by, .. } = self.held[&request].backup
            && self.takes_work(by)
        {
            return Some(by);
        }
        placement::custodian_candidates(request, &self.own_place, &self.places).into_iter().next()
    }

    /// Converts a request that another node now runs into a backup on this node.
    pub(crate) fn on_handed_over(
        &mut self,
        now: Duration,
        request: id::RequestId,
        to: id::NodeId,
    ) -> Option<Action> {
        let held = self.held.get_mut(&request)?;
        if let BackupState::Stored { by, .. } = held.backup
            && by != to
        {
            held.stale_backups.insert(by);
        }
        held.stale_backups.remove(&to);
        self.counters.handed_over += 1;
        self.convert_to_backup(now, request, to);
        Some(Action::Superseded { request, by: to })
    }
}

fn remaining_tokens(held: &HeldRequest) -> u32 {
    held.record.max_tokens.saturating_sub(held.answer.tokens())
}
