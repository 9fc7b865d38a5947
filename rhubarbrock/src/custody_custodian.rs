//! Custody at the node that keeps a copy: taking it in, following it, adopting it.

use std::time::Duration;

use rhubarbrock_schema::peer;

use crate::answer;
use crate::custody::{self, Action, Custody, Kept, Rank};
use crate::id;

/// Share of the room for copies that is made free at once when it is full.
const MADE_ROOM_SHARE: usize = 8;

/// What became of a record in a store call.
enum Taken {
    Kept(Vec<Action>),
    Refused,
    Superseded,
}

/// What became of an item in a progress call.
enum Followed {
    Yes,
    Missing,
    Superseded,
}

impl Custody {
    /// Serves the call `custody_store`.
    pub fn serve_store(
        &mut self,
        now: Duration,
        call: peer::StoreCall,
    ) -> (peer::StoreReply, Vec<Action>) {
        let mut reply = peer::StoreReply::default();
        let mut actions = Vec::new();
        for record in call.records {
            let name = record.request.clone();
            match self.store_one(now, call.sender, record, call.adopt) {
                Taken::Kept(further) => {
                    reply.kept.push(name);
                    actions.extend(further);
                }
                Taken::Refused => {}
                Taken::Superseded => reply.superseded.push(name),
            }
        }
        (reply, actions)
    }

    fn store_one(
        &mut self,
        now: Duration,
        sender: id::NodeId,
        mut record: peer::RequestRecord,
        adopt: bool,
    ) -> Taken {
        let Ok(request) = record.request.parse::<id::RequestId>() else { return Taken::Refused };
        let Ok(answer) = custody::answer_of(&mut record) else { return Taken::Refused };
        let is_passed_on = record.holder != sender;
        if is_passed_on && (adopt || record.holder == self.me.node) {
            return Taken::Refused;
        }
        let told: Rank = (record.term, record.holder);
        if let Some(held) = self.held.get(&request) {
            let own: Rank = (held.record.term, self.me.node);
            if own > told {
                let runs = held.answer.finish().is_some() || !self.handing_over;
                return if adopt && runs { Taken::Kept(Vec::new()) } else { Taken::Superseded };
            }
        }
        if self.kept.get(&request).is_some_and(|kept| kept.rank > told) {
            return Taken::Superseded;
        }
        if self.me.leaving && (adopt || !self.kept.contains_key(&request)) {
            return Taken::Refused;
        }
        let bytes = custody::state_bytes(&record, &answer);
        let old_bytes = self.kept.get(&request).map_or(0, kept_state_bytes);
        if !self.make_room(now, request, bytes.saturating_sub(old_bytes)) {
            self.counters.refused_copies += 1;
            return Taken::Refused;
        }
        let mut actions = Vec::new();
        if self.held.contains_key(&request) {
            actions.extend(self.supersede(now, request, record.holder));
        }
        let answer = self.longer_answer(request, answer);
        let old_expiry = self.remove_kept(request).map_or(now, |old| old.expires_at);
        let accepted_at = now.saturating_sub(Duration::from_millis(record.age_ms));
        self.insert_kept(now, request, record, told, accepted_at, answer);
        if is_passed_on && let Some(kept) = self.kept.get_mut(&request) {
            kept.expires_at = old_expiry.max(now + self.config.passed_life);
        }
        if adopt {
            actions.extend(self.adopt(now, request));
        }
        Taken::Kept(actions)
    }

    /// The longer of the told answer and the one known, if one continues the other.
    fn longer_answer(&mut self, request: id::RequestId, told: answer::Answer) -> answer::Answer {
        let Some(kept) = self.kept.get(&request) else { return told };
        let known = &kept.answer;
        if known.text().starts_with(told.text()) && told.finish().is_none() {
            return known.clone();
        }
        if !told.text().starts_with(known.text()) {
            self.counters.mismatches += 1;
        }
        told
    }

    pub(crate) fn insert_kept(
        &mut self,
        now: Duration,
        request: id::RequestId,
        record: peer::RequestRecord,
        rank: Rank,
        accepted_at: Duration,
        answer: answer::Answer,
    ) {
        assert!(!self.held.contains_key(&request), "a request is held or kept, not both");
        let life = match answer.finish() {
            Some(_) => self.config.answer_life,
            None => self.config.kept_life,
        };
        let kept = Kept {
            record,
            rank,
            accepted_at,
            answer,
            expires_at: now + life,
            holder_missing_since: None,
            passed_to: Default::default(),
        };
        self.backup_bytes += kept_state_bytes(&kept);
        let old = self.kept.insert(request, kept);
        assert!(old.is_none(), "an old copy is removed before a new one is put in");
    }

    pub(crate) fn remove_kept(&mut self, request: id::RequestId) -> Option<Kept> {
        let kept = self.kept.remove(&request)?;
        self.backup_bytes -= kept_state_bytes(&kept);
        Some(kept)
    }

    /// Makes room for `bytes` more, if need be by dropping copies of complete answers.
    fn make_room(&mut self, now: Duration, request: id::RequestId, bytes: usize) -> bool {
        let limit = self.config.max_backup_bytes;
        if self.backup_bytes + bytes <= limit {
            return true;
        }
        let mut ended: Vec<(Duration, id::RequestId)> = self
            .kept
            .iter()
            .filter(|(other, kept)| **other != request && kept.answer.finish().is_some())
            .map(|(&other, kept)| (kept.expires_at, other))
            .collect();
        ended.sort_unstable();
        let wanted = limit - limit / MADE_ROOM_SHARE;
        for (expires_at, other) in ended {
            if self.backup_bytes + bytes <= wanted {
                break;
            }
            self.remove_kept(other);
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
            match self.follow_one(now, call.sender, item) {
                Followed::Yes => {}
                Followed::Missing => reply.missing.push(item.request.clone()),
                Followed::Superseded => reply.superseded.push(item.request.clone()),
            }
        }
        for name in &call.taken {
            let Ok(request) = name.parse::<id::RequestId>() else { continue };
            if self.kept.get(&request).is_some_and(|kept| kept.record.holder == call.sender) {
                self.remove_kept(request);
            }
        }
        reply
    }

    fn follow_one(&mut self, now: Duration, sender: id::NodeId, item: &peer::Progress) -> Followed {
        let Ok(request) = item.request.parse::<id::RequestId>() else { return Followed::Missing };
        let told: Rank = (item.term, sender);
        let own = match (self.held.get(&request), self.kept.get(&request)) {
            (Some(held), _) => (held.record.term, self.me.node),
            (None, Some(kept)) => kept.rank,
            (None, None) => return Followed::Missing,
        };
        if own > told {
            return Followed::Superseded;
        }
        if own < told {
            return Followed::Missing;
        }
        let room = item.text.len() + item.chunk_bytes.len() * size_of::<u32>();
        if !self.make_room(now, request, room) {
            self.counters.refused_copies += 1;
            self.remove_kept(request);
            return Followed::Missing;
        }
        let Some(mut kept) = self.remove_kept(request) else { return Followed::Missing };
        let followed = self.extend_kept(now, &mut kept, item);
        self.backup_bytes += kept_state_bytes(&kept);
        self.kept.insert(request, kept);
        followed
    }

    fn extend_kept(&mut self, now: Duration, kept: &mut Kept, item: &peer::Progress) -> Followed {
        kept.expires_at = now + self.config.kept_life;
        let added = kept.answer.append(item.offset, &item.text, &item.chunk_bytes, item.tokens);
        if added.is_err() {
            self.counters.mismatches += 1;
            return Followed::Missing;
        }
        let Some(finish) = item.finish.clone() else { return Followed::Yes };
        if kept.answer.finish_with(finish).is_err() {
            self.counters.mismatches += 1;
            return Followed::Missing;
        }
        kept.expires_at = now + self.config.answer_life;
        Followed::Yes
    }

    /// Adopts the requests of holders that are dead, or unknown for too long.
    pub(crate) fn adopt_orphans(&mut self, now: Duration) -> Vec<Action> {
        let mut orphans = Vec::new();
        for (&request, kept) in &mut self.kept {
            match self.places.get(&kept.record.holder) {
                Some(place) if place.running => kept.holder_missing_since = None,
                Some(_) => orphans.push(request),
                None => {
                    let since = *kept.holder_missing_since.get_or_insert(now);
                    if now >= since + self.config.unknown_holder_grace {
                        orphans.push(request);
                    }
                }
            }
        }
        orphans.into_iter().flat_map(|request| self.adopt(now, request)).collect()
    }

    /// Makes this node the holder of a request that it keeps, to run it if it is unfinished.
    fn adopt(&mut self, now: Duration, request: id::RequestId) -> Vec<Action> {
        let kept = self.remove_kept(request).expect("the caller looked it up");
        let mut record = kept.record;
        let old_term = record.term;
        record.term += 1;
        record.holder = self.me.node;
        record.endpoint = 0;
        assert!(record.term > old_term, "an adoption raises the term");
        self.counters.adoptions += 1;
        self.insert_held(request, record, kept.accepted_at, kept.answer);
        let held = &self.held[&request];
        let mut actions = Vec::new();
        if held.answer.finish().is_some() {
            self.finished_bytes += custody::state_bytes(&held.record, &held.answer);
            self.ended.insert((kept.expires_at, request));
        } else {
            let age = now.saturating_sub(held.accepted_at);
            let record = custody::whole_record(&held.record, &held.answer, age);
            actions.push(Action::Adopt { record: Box::new(record) });
        }
        actions.extend(self.find_custodian(now, request));
        actions
    }

    /// Forgets copies past their life.
    pub(crate) fn expire_kept(&mut self, now: Duration) -> Vec<Action> {
        let old: Vec<id::RequestId> = self
            .kept
            .iter()
            .filter(|(_, kept)| kept.expires_at <= now)
            .map(|(&request, _)| request)
            .collect();
        for &request in &old {
            self.remove_kept(request);
        }
        old.into_iter().map(|request| Action::Forget { request }).collect()
    }
}

fn kept_state_bytes(kept: &Kept) -> usize {
    custody::state_bytes(&kept.record, &kept.answer)
}
