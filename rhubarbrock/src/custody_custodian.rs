//! Custody at the custodian, the node that keeps the backup copy of a request: stores backups,
//! applies progress and adopts requests.

use std::time::Duration;

use rhubarbrock_schema::peer;

use crate::answer;
use crate::custody::{self, Action, Backup, Custody, Rank};
use crate::id;

/// Divisor of `max_backup_bytes` that gives the bytes freed at once when the limit is reached.
const EVICTION_MARGIN_DIVISOR: usize = 8;

/// Outcome for one record of a store call.
enum StoreOutcome {
    Stored(Vec<Action>),
    Refused,
    Superseded,
}

/// Outcome for one item of a progress call.
enum ProgressOutcome {
    Applied,
    Missing,
    Superseded,
}

impl Custody {
    /// Serves the call `custody_store`.
    ///
    /// The reply lists refused records neither as kept nor as superseded: malformed
    /// ones, those for which `max_backup_bytes` leaves no room, and new ones while
    /// this node leaves.
    pub fn serve_store(
        &mut self,
        now: Duration,
        call: peer::StoreCall,
    ) -> (peer::StoreReply, Vec<Action>) {
        let mut reply = peer::StoreReply::default();
        let mut actions = Vec::new();
        for record in call.records {
            let name = record.request.clone();
            match self.store_record(now, call.sender, record, call.adopt) {
                StoreOutcome::Stored(further) => {
                    reply.kept.push(name);
                    actions.extend(further);
                }
                StoreOutcome::Refused => {}
                StoreOutcome::Superseded => reply.superseded.push(name),
            }
        }
        (reply, actions)
    }

    fn store_record(
        &mut self,
        now: Duration,
        sender: id::NodeId,
        mut record: peer::RequestRecord,
        adopt: bool,
    ) -> StoreOutcome {
        let Ok(request) = record.request.parse::<id::RequestId>() else {
            return StoreOutcome::Refused;
        };
        let Ok(answer) = custody::take_answer(&mut record) else {
            return StoreOutcome::Refused;
        };
        let is_moved = record.holder != sender;
        if is_moved && (adopt || record.holder == self.own_place.node) {
            return StoreOutcome::Refused;
        }
        let incoming: Rank = (record.term, record.holder);
        if let Some(held) = self.held.get(&request) {
            let own: Rank = (held.record.term, self.own_place.node);
            if own > incoming {
                let will_finish_here = held.answer.finish().is_some() || !self.handing_over;
                return if adopt && will_finish_here {
                    StoreOutcome::Stored(Vec::new())
                } else {
                    StoreOutcome::Superseded
                };
            }
        }
        if self.backups.get(&request).is_some_and(|backup| backup.rank > incoming) {
            return StoreOutcome::Superseded;
        }
        if self.own_place.leaving && (adopt || !self.backups.contains_key(&request)) {
            return StoreOutcome::Refused;
        }
        let bytes = custody::state_bytes(&record, &answer);
        let old_bytes = self.backups.get(&request).map_or(0, backup_state_bytes);
        if !self.evict_for(now, request, bytes.saturating_sub(old_bytes)) {
            self.counters.refused_backups += 1;
            return StoreOutcome::Refused;
        }
        let mut actions = Vec::new();
        if self.held.contains_key(&request) {
            actions.extend(self.supersede(now, request, record.holder));
        }
        let answer = self.select_answer(request, answer);
        let old_expiry = self.remove_backup(request).map_or(now, |old| old.expires_at);
        let accepted_at = now.saturating_sub(Duration::from_millis(record.age_ms));
        self.insert_backup(now, request, record, incoming, accepted_at, answer);
        if is_moved && let Some(backup) = self.backups.get_mut(&request) {
            backup.expires_at = old_expiry.max(now + self.config.moved_backup_lifetime);
        }
        if adopt {
            actions.extend(self.adopt(now, request));
        }
        StoreOutcome::Stored(actions)
    }

    /// Returns the known answer if it continues an unfinished received one, else the received
    /// answer. Counts a mismatch if neither continues the other.
    fn select_answer(
        &mut self,
        request: id::RequestId,
        incoming: answer::Answer,
    ) -> answer::Answer {
        let Some(backup) = self.backups.get(&request) else { return incoming };
        let known = &backup.answer;
        if known.text().starts_with(incoming.text()) && incoming.finish().is_none() {
            return known.clone();
        }
        if !incoming.text().starts_with(known.text()) {
            self.counters.mismatches += 1;
        }
        incoming
    }

    pub(crate) fn insert_backup(
        &mut self,
        now: Duration,
        request: id::RequestId,
        record: peer::RequestRecord,
        rank: Rank,
        accepted_at: Duration,
        answer: answer::Answer,
    ) {
        assert!(
            !self.held.contains_key(&request),
            "a request cannot be held and backed up on one node"
        );
        let lifetime = match answer.finish() {
            Some(_) => self.config.answer_lifetime,
            None => self.config.backup_lifetime,
        };
        let backup = Backup {
            record,
            rank,
            accepted_at,
            answer,
            expires_at: now + lifetime,
            holder_missing_since: None,
            offered_to: Default::default(),
        };
        self.backup_bytes += backup_state_bytes(&backup);
        let old = self.backups.insert(request, backup);
        assert!(old.is_none(), "the previous backup must have been removed");
    }

    pub(crate) fn remove_backup(&mut self, request: id::RequestId) -> Option<Backup> {
        let backup = self.backups.remove(&request)?;
        self.backup_bytes -= backup_state_bytes(&backup);
        Some(backup)
    }

    /// Makes room for `bytes` more for `request`, if necessary by evicting other backups with
    /// finished answers. Returns whether they fit.
    fn evict_for(&mut self, now: Duration, request: id::RequestId, bytes: usize) -> bool {
        let limit = self.config.max_backup_bytes;
        if self.backup_bytes + bytes <= limit {
            return true;
        }
        let mut finished: Vec<(Duration, id::RequestId)> = self
            .backups
            .iter()
            .filter(|(other, backup)| **other != request && backup.answer.finish().is_some())
            .map(|(&other, backup)| (backup.expires_at, other))
            .collect();
        finished.sort_unstable();
        let target = limit - limit / EVICTION_MARGIN_DIVISOR;
        for (expires_at, other) in finished {
            if self.backup_bytes + bytes <= target {
                break;
            }
            self.remove_backup(other);
            self.counters.evicted_early += u64::from(expires_at > now);
        }
        self.backup_bytes + bytes <= limit
    }

    /// Serves the call `custody_progress`.
    pub fn serve_progress(
        &mut self,
        now: Duration,
        call: peer::ProgressCall,
    ) -> peer::ProgressReply {
        let mut reply = peer::ProgressReply::default();
        for item in &call.items {
            match self.apply_progress(now, call.sender, item) {
                ProgressOutcome::Applied => {}
                ProgressOutcome::Missing => reply.missing.push(item.request.clone()),
                ProgressOutcome::Superseded => reply.superseded.push(item.request.clone()),
            }
        }
        for name in &call.taken {
            let Ok(request) = name.parse::<id::RequestId>() else { continue };
            if self.backups.get(&request).is_some_and(|backup| backup.record.holder == call.sender)
            {
                self.remove_backup(request);
            }
        }
        reply
    }

    fn apply_progress(
        &mut self,
        now: Duration,
        sender: id::NodeId,
        item: &peer::Progress,
    ) -> ProgressOutcome {
        let Ok(request) = item.request.parse::<id::RequestId>() else {
            return ProgressOutcome::Missing;
        };
        let incoming: Rank = (item.term, sender);
        let own = match (self.held.get(&request), self.backups.get(&request)) {
            (Some(held), _) => (held.record.term, self.own_place.node),
            (None, Some(backup)) => backup.rank,
            (None, None) => return ProgressOutcome::Missing,
        };
        if own > incoming {
            return ProgressOutcome::Superseded;
        }
        if own < incoming {
            return ProgressOutcome::Missing;
        }
        let added_bytes = item.text.len() + item.chunk_bytes.len() * size_of::<u32>();
        if !self.evict_for(now, request, added_bytes) {
            self.counters.refused_backups += 1;
            self.remove_backup(request);
            return ProgressOutcome::Missing;
        }
        let Some(mut backup) = self.remove_backup(request) else { return ProgressOutcome::Missing };
        let outcome = self.extend_backup(now, &mut backup, item);
        self.backup_bytes += backup_state_bytes(&backup);
        self.backups.insert(request, backup);
        outcome
    }

    fn extend_backup(
        &mut self,
        now: Duration,
        backup: &mut Backup,
        item: &peer::Progress,
    ) -> ProgressOutcome {
        backup.expires_at = now + self.config.backup_lifetime;
        let added = backup.answer.append(item.offset, &item.text, &item.chunk_bytes, item.tokens);
        if added.is_err() {
            self.counters.mismatches += 1;
            return ProgressOutcome::Missing;
        }
        let Some(finish) = item.finish.clone() else { return ProgressOutcome::Applied };
        if backup.answer.finish_with(finish).is_err() {
            self.counters.mismatches += 1;
            return ProgressOutcome::Missing;
        }
        backup.expires_at = now + self.config.answer_lifetime;
        ProgressOutcome::Applied
    }

    /// Adopts the requests of holders that are dead, or that have been unknown to membership for
    /// `unknown_holder_grace`.
    pub(crate) fn adopt_orphans(&mut self, now: Duration) -> Vec<Action> {
        let mut orphans = Vec::new();
        for (&request, backup) in &mut self.backups {
            match self.places.get(&backup.record.holder) {
                Some(place) if place.running => backup.holder_missing_since = None,
                Some(_) => orphans.push(request),
                None => {
                    let since = *backup.holder_missing_since.get_or_insert(now);
                    if now >= since + self.config.unknown_holder_grace {
                        orphans.push(request);
                    }
                }
            }
        }
        orphans.into_iter().flat_map(|request| self.adopt(now, request)).collect()
    }

    /// Makes this node the holder of a backed-up request, and runs the request if unfinished.
    fn adopt(&mut self, now: Duration, request: id::RequestId) -> Vec<Action> {
        let backup = self.remove_backup(request).expect("the request has a backup here");
        let mut record = backup.record;
        let old_term = record.term;
        record.term += 1;
        record.holder = self.own_place.node;
        record.endpoint = 0;
        assert!(record.term > old_term, "an adoption raises the term");
        self.counters.adoptions += 1;
        self.insert_held(request, record, backup.accepted_at, backup.answer);
        let held = &self.held[&request];
        let mut actions = Vec::new();
        if held.answer.finish().is_some() {
            self.finished_bytes += custody::state_bytes(&held.record, &held.answer);
            self.finished_by_expiry.insert((backup.expires_at, request));
        } else {
            let age = now.saturating_sub(held.accepted_at);
            let record = custody::record_with_answer(&held.record, &held.answer, age);
            actions.push(Action::Adopt { record: Box::new(record) });
        }
        actions.extend(self.find_custodian(now, request));
        actions
    }

    /// Drops expired backups.
    pub(crate) fn expire_backups(&mut self, now: Duration) -> Vec<Action> {
        let expired: Vec<id::RequestId> = self
            .backups
            .iter()
            .filter(|(_, backup)| backup.expires_at <= now)
            .map(|(&request, _)| request)
            .collect();
        for &request in &expired {
            self.remove_backup(request);
        }
        expired.into_iter().map(|request| Action::Forget { request }).collect()
    }
}

fn backup_state_bytes(backup: &Backup) -> usize {
    custody::state_bytes(&backup.record, &backup.answer)
}
