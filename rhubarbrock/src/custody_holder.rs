//! Custody at the holder, the node that runs a request: chooses custodians.

use std::time::Duration;

use rhubarbrock_schema::peer;

use crate::answer;
use crate::custody::{self, Action, AnswerExtent, BackupState, Custody, HeldRequest};
use crate::id;
use crate::placement;

impl Custody {
    /// Adds a request that this node accepts, and asks a node to store a backup.
    ///
    /// [`Action::Accepted`] follows with 2 copies once a backup is stored, or with
    /// 1 copy once no candidate is left or several did not store it.
    ///
    /// # Panics
    ///
    /// If the record is malformed or names another node as its holder.
    pub fn hold(&mut self, now: Duration, mut record: peer::RequestRecord) -> Vec<Action> {
        let request: id::RequestId = record.request.parse().expect("this node created the id");
        assert_eq!(
            record.holder, self.own_place.node,
            "the holder of an accepted request must be this node"
        );
        let answer = custody::take_answer(&mut record).expect("this node created the record");
        let accepted_at = now.saturating_sub(Duration::from_millis(record.age_ms));
        self.insert_held(request, record, accepted_at, answer);
        self.find_custodian(now, request)
    }

    pub(crate) fn insert_held(
        &mut self,
        request: id::RequestId,
        record: peer::RequestRecord,
        accepted_at: Duration,
        answer: answer::Answer,
    ) {
        assert!(
            !self.backups.contains_key(&request),
            "a request cannot be held and backed up on one node"
        );
        let held = HeldRequest {
            record,
            accepted_at,
            answer,
            backup: BackupState::Missing,
            tried: Default::default(),
            stale_backups: Default::default(),
            reported_copies: 0,
            is_store_pending: false,
            is_delivered: false,
        };
        self.held.insert(request, held);
    }

    /// Appends generated text to a request's answer. Returns false if the request no longer runs
    /// here or the text does not continue its answer; the attempt must then stop.
    pub fn append_progress(&mut self, request: id::RequestId, part: &peer::Progress) -> bool {
        let Some(held) = self.held.get_mut(&request) else { return false };
        let added = held.answer.append(part.offset, &part.text, &part.chunk_bytes, part.tokens);
        if added.is_err() {
            self.counters.mismatches += 1;
            return false;
        }
        self.queue_progress(request);
        true
    }

    /// Finishes a request's answer. Returns false if the request does not run here or is finished.
    pub fn finish(&mut self, now: Duration, request: id::RequestId, finish: peer::Finish) -> bool {
        let Some(held) = self.held.get_mut(&request) else { return false };
        if held.answer.finish().is_some() || held.answer.finish_with(finish).is_err() {
            return false;
        }
        self.finished_bytes += custody::state_bytes(&held.record, &held.answer);
        self.finished_by_expiry.insert((now + self.config.answer_lifetime, request));
        self.queue_progress(request);
        true
    }

    /// Records that the caller has received the whole answer. The backup is released; this node
    /// keeps the answer until it expires.
    pub fn mark_delivered(&mut self, request: id::RequestId) {
        let Some(held) = self.held.get_mut(&request) else { return };
        held.is_delivered = true;
        if let BackupState::Stored { by, .. } = held.backup {
            held.stale_backups.insert(by);
        }
        self.release_stale_backups(request);
    }

    fn queue_progress(&mut self, request: id::RequestId) {
        if let BackupState::Stored { by, .. } = self.held[&request].backup {
            self.progress_queues.entry(by).or_default().changed.insert(request);
        }
    }

    /// Queues a release to each running node that may have a stale backup.
    pub(crate) fn release_stale_backups(&mut self, request: id::RequestId) {
        let Some(held) = self.held.get_mut(&request) else { return };
        for node in std::mem::take(&mut held.stale_backups) {
            if self.places.get(&node).is_some_and(|place| place.running) {
                let queue = self.progress_queues.entry(node).or_default();
                queue.changed.remove(&request);
                queue.released.insert(request);
            }
        }
    }

    /// Releases the backup of a request that is dropped here, if the custodian has not acknowledged
    /// the finish; it would never receive it.
    fn release_unfinished(&mut self, request: id::RequestId) {
        let Some(held) = self.held.get_mut(&request) else { return };
        if let BackupState::Stored { by, finished: false, .. } = held.backup {
            held.stale_backups.insert(by);
        }
        self.release_stale_backups(request);
    }

    /// Asks the next candidate to store a backup of a held request, or to run the request if this
    /// node is handing over.
    pub(crate) fn find_custodian(&mut self, now: Duration, request: id::RequestId) -> Vec<Action> {
        let Some(held) = self.held.get_mut(&request) else { return Vec::new() };
        let unfinished = held.answer.finish().is_none();
        if held.is_delivered {
            return Vec::new();
        }
        let candidates = placement::custodian_candidates(request, &self.own_place, &self.places);
        let next = candidates.into_iter().find(|node| !held.tried.contains(node));
        let attempts_exhausted = held.tried.len() >= self.config.attempts_before_single_copy;
        let mut actions = Vec::new();
        if (next.is_none() || attempts_exhausted) && held.reported_copies == 0 {
            held.reported_copies = 1;
            self.counters.single_copies += 1;
            actions.push(Action::Accepted { request, copies: 1 });
        }
        let Some(node) = next else {
            held.tried.clear();
            self.retries.insert(request, now + self.config.retry_interval);
            return actions;
        };
        let purpose = match self.handing_over && unfinished {
            true => custody::StorePurpose::HandOver,
            false => custody::StorePurpose::StoreBackup,
        };
        actions.push(self.store_held(now, node, &[request], purpose));
        actions
    }

    /// Starts a store call with the records of held requests.
    pub(crate) fn store_held(
        &mut self,
        now: Duration,
        to: id::NodeId,
        requests: &[id::RequestId],
        purpose: custody::StorePurpose,
    ) -> Action {
        let mut records = Vec::new();
        let mut extents = Vec::new();
        for request in requests {
            let held = self.held.get_mut(request).expect("the request is held");
            let age = now.saturating_sub(held.accepted_at);
            records.push(custody::record_with_answer(&held.record, &held.answer, age));
            let extent = AnswerExtent {
                end_offset: held.answer.len_bytes(),
                finished: held.answer.finish().is_some(),
            };
            extents.push((*request, extent));
            held.is_store_pending = true;
            self.retries.remove(request);
            if let Some(queue) = self.progress_queues.get_mut(&to) {
                queue.released.remove(request);
            }
        }
        self.start_store(now, to, purpose, extents, records)
    }

    pub(crate) fn start_store(
        &mut self,
        now: Duration,
        to: id::NodeId,
        purpose: custody::StorePurpose,
        requests: Vec<(id::RequestId, AnswerExtent)>,
        records: Vec<peer::RequestRecord>,
    ) -> Action {
        let number = self.next_call_number();
        let call = custody::PendingStore { to, sent_at: now, purpose, requests };
        self.pending_stores.insert(number, call);
        let adopt = purpose == custody::StorePurpose::HandOver;
        let call = peer::StoreCall { sender: self.own_place.node, records, adopt };
        Action::Store { to, number, call }
    }

    /// Handles the reply to a store call; `None` if the call failed.
    pub fn on_store_reply(
        &mut self,
        now: Duration,
        number: custody::CallNumber,
        reply: Option<&peer::StoreReply>,
    ) -> Vec<Action> {
        let Some(call) = self.pending_stores.remove(&number) else { return Vec::new() };
        if reply.is_none() {
            self.counters.failed_stores += 1;
        }
        let mut actions = Vec::new();
        if call.purpose == custody::StorePurpose::MoveBackup {
            return self.on_backups_moved(now, &call, reply);
        }
        for (request, extent) in call.requests {
            if let Some(held) = self.held.get_mut(&request) {
                held.is_store_pending = false;
            }
            let text = request.to_string();
            let lists = |ids: &[String]| ids.contains(&text);
            if reply.is_some_and(|reply| lists(&reply.superseded)) {
                actions.extend(self.supersede(now, request, call.to));
            } else if !reply.is_some_and(|reply| lists(&reply.kept)) {
                actions.extend(self.on_not_stored(now, request, call.to, reply.is_none()));
            } else if call.purpose == custody::StorePurpose::HandOver {
                actions.extend(self.on_handed_over(now, request, call.to));
            } else if self.held.contains_key(&request) {
                actions.extend(self.on_stored(request, call.to, extent));
            } else {
                self.progress_queues.entry(call.to).or_default().released.insert(request);
            }
        }
        actions
    }

    fn on_stored(
        &mut self,
        request: id::RequestId,
        by: id::NodeId,
        extent: AnswerExtent,
    ) -> Option<Action> {
        let held = self.held.get_mut(&request)?;
        if let BackupState::Stored { by: old, .. } = held.backup {
            held.stale_backups.insert(old);
        }
        held.stale_backups.remove(&by);
        held.backup =
            BackupState::Stored { by, end_offset: extent.end_offset, finished: extent.finished };
        held.tried.clear();
        let is_first = held.reported_copies < 2;
        held.reported_copies = 2;
        if held.is_delivered {
            held.stale_backups.insert(by);
        }
        self.release_stale_backups(request);
        self.queue_progress(request);
        is_first.then_some(Action::Accepted { request, copies: 2 })
    }

    fn on_not_stored(
        &mut self,
        now: Duration,
        request: id::RequestId,
        node: id::NodeId,
        is_unresponsive: bool,
    ) -> Vec<Action> {
        let Some(held) = self.held.get_mut(&request) else { return Vec::new() };
        held.tried.insert(node);
        if is_unresponsive {
            held.stale_backups.insert(node);
        }
        if is_unresponsive && matches!(held.backup, BackupState::Stored { by, .. } if by == node) {
            held.backup = BackupState::Missing;
        }
        self.find_custodian(now, request)
    }

    /// Ends the local attempt and keeps the request as a backup for its new holder.
    pub(crate) fn supersede(
        &mut self,
        now: Duration,
        request: id::RequestId,
        by: id::NodeId,
    ) -> Vec<Action> {
        if !self.held.contains_key(&request) {
            return Vec::new();
        }
        self.counters.superseded += 1;
        self.convert_to_backup(now, request, by);
        vec![Action::Superseded { request, by }]
    }

    pub(crate) fn convert_to_backup(
        &mut self,
        now: Duration,
        request: id::RequestId,
        holder: id::NodeId,
    ) {
        self.release_stale_backups(request);
        let held = self.held.remove(&request).expect("the request is held");
        self.retries.remove(&request);
        if held.answer.finish().is_some() {
            self.finished_bytes -= custody::state_bytes(&held.record, &held.answer);
            self.finished_by_expiry.retain(|(_, other)| *other != request);
        }
        let mut record = held.record;
        let rank = (record.term, record.holder);
        record.holder = holder;
        self.insert_backup(now, request, record, rank, held.accepted_at, held.answer);
    }

    /// Searches for other custodians for all requests backed up on `node`.
    pub(crate) fn replace_custodian(
        &mut self,
        now: Duration,
        node: id::NodeId,
        is_unresponsive: bool,
    ) -> Vec<Action> {
        let uses = |held: &HeldRequest| matches!(held.backup, BackupState::Stored { by, .. } if by == node);
        let requests: Vec<id::RequestId> =
            self.held.iter().filter(|(_, held)| uses(held)).map(|(&request, _)| request).collect();
        let mut actions = Vec::new();
        for request in requests {
            let held = self.held.get_mut(&request).expect("listed above");
            held.tried.insert(node);
            if is_unresponsive {
                held.stale_backups.insert(node);
                held.backup = BackupState::Missing;
            }
            if !held.is_store_pending {
                actions.extend(self.find_custodian(now, request));
            }
        }
        actions
    }

    /// Searches for other custodians for requests backed up on dead or leaving nodes, and fails
    /// store calls to nodes that are dead or unknown.
    pub(crate) fn replace_unavailable_custodians(&mut self, now: Duration) -> Vec<Action> {
        let failed: Vec<custody::CallNumber> = self
            .pending_stores
            .iter()
            .filter(|(_, call)| !self.is_running(call.to))
            .map(|(&number, _)| number)
            .collect();
        let mut actions = Vec::new();
        for number in failed {
            actions.extend(self.on_store_reply(now, number, None));
        }
        let unavailable: Vec<id::NodeId> =
            self.progress_queues.keys().copied().filter(|&node| !self.takes_work(node)).collect();
        for node in unavailable {
            let is_dead = !self.is_running(node);
            actions.extend(self.replace_custodian(now, node, is_dead));
            if is_dead {
                self.progress_queues.remove(&node);
            }
        }
        actions
    }

    /// Fails calls whose timeout has passed.
    pub(crate) fn expire_calls(&mut self, now: Duration) -> Vec<Action> {
        let store_timeout = self.config.store_timeout;
        let late_stores: Vec<custody::CallNumber> = self
            .pending_stores
            .iter()
            .filter(|(_, call)| now >= call.sent_at + store_timeout)
            .map(|(&number, _)| number)
            .collect();
        let progress_timeout = self.config.progress_timeout;
        let late_progress: Vec<(id::NodeId, custody::CallNumber)> = self
            .progress_queues
            .iter()
            .filter_map(|(&node, queue)| queue.in_flight.as_ref().map(|call| (node, call)))
            .filter(|(_, call)| now >= call.sent_at + progress_timeout)
            .map(|(node, call)| (node, call.number))
            .collect();
        let mut actions = Vec::new();
        for number in late_stores {
            actions.extend(self.on_store_reply(now, number, None));
        }
        for (node, number) in late_progress {
            actions.extend(self.on_progress_reply(now, node, number, None));
        }
        actions
    }

    /// Repeats searches that found no node and are due.
    pub(crate) fn retry(&mut self, now: Duration) -> Vec<Action> {
        let due: Vec<id::RequestId> = self
            .retries
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(&request, _)| request)
            .collect();
        let mut actions = Vec::new();
        for request in due {
            self.retries.remove(&request);
            actions.extend(self.find_custodian(now, request));
        }
        actions
    }

    /// Drops own finished answers that expired and, above `max_finished_bytes`, those that expire
    /// first.
    pub(crate) fn evict_finished(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(&(at, request)) = self.finished_by_expiry.first() {
            let is_over_limit = self.finished_bytes > self.config.max_finished_bytes;
            if at > now && !is_over_limit {
                break;
            }
            if at > now {
                self.counters.evicted_early += 1;
            }
            self.finished_by_expiry.remove(&(at, request));
            self.release_unfinished(request);
            let held = self.held.remove(&request).expect("a finished request is held");
            self.finished_bytes -= custody::state_bytes(&held.record, &held.answer);
            self.retries.remove(&request);
            actions.push(Action::Forget { request });
        }
        actions
    }
}
