//! Custody at the node that runs a request: choosing its custodian and telling it the progress.

use std::time::Duration;

use rhubarbrock_schema::peer;

use crate::answer;
use crate::custody::{self, Action, Copy2, Custody, Held, Mark};
use crate::id;
use crate::placement;

/// Progress calls in a row without an answer after which another custodian is chosen.
const FAILURES_BEFORE_CHANGE: u32 = 3;

impl Custody {
    /// Takes in a request that this node accepts, and looks for a custodian.
    ///
    /// The record's holder must be this node. [`Action::Accepted`] follows once a
    /// copy is kept, or with one copy once that is not to be had.
    pub fn hold(&mut self, now: Duration, mut record: peer::RequestRecord) -> Vec<Action> {
        let request: id::RequestId = record.request.parse().expect("the node made the id itself");
        assert_eq!(record.holder, self.me.node, "a node accepts requests for itself");
        let answer = custody::answer_of(&mut record).expect("the node made the record itself");
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
        assert!(!self.kept.contains_key(&request), "a request is held or kept, not both");
        let held = Held {
            record,
            accepted_at,
            answer,
            copy: Copy2::Nobody,
            tried: Default::default(),
            outdated: Default::default(),
            announced_copies: 0,
            is_asking: false,
            taken: false,
        };
        self.held.insert(request, held);
    }

    /// Takes in generated text at its offset. False where the request does not run here any more
    /// or the text does not continue its answer; the attempt must then stop.
    pub fn append_progress(&mut self, request: id::RequestId, part: &peer::Progress) -> bool {
        let Some(held) = self.held.get_mut(&request) else { return false };
        let added = held.answer.append(part.offset, &part.text, &part.chunk_bytes, part.tokens);
        if added.is_err() {
            self.counters.mismatches += 1;
            return false;
        }
        self.mark_changed(request);
        true
    }

    /// Ends a request's answer. False where it does not run here any more.
    pub fn finish(&mut self, now: Duration, request: id::RequestId, finish: peer::Finish) -> bool {
        let Some(held) = self.held.get_mut(&request) else { return false };
        if held.answer.finish().is_some() || held.answer.finish_with(finish).is_err() {
            return false;
        }
        self.finished_bytes += custody::state_bytes(&held.record, &held.answer);
        self.ended.insert((now + self.config.answer_life, request));
        self.mark_changed(request);
        true
    }

    /// Says that the caller has the whole answer: its copy may go; the holder keeps it for its life.
    pub fn mark_delivered(&mut self, request: id::RequestId) {
        let Some(held) = self.held.get_mut(&request) else { return };
        held.taken = true;
        if let Copy2::Kept { by, .. } = held.copy {
            held.outdated.insert(by);
        }
        self.release_outdated(request);
    }

    fn mark_changed(&mut self, request: id::RequestId) {
        if let Copy2::Kept { by, .. } = self.held[&request].copy {
            self.lines.entry(by).or_default().changed.insert(request);
        }
    }

    /// Tells the nodes that may keep an outdated copy to drop it.
    pub(crate) fn release_outdated(&mut self, request: id::RequestId) {
        let Some(held) = self.held.get_mut(&request) else { return };
        for node in std::mem::take(&mut held.outdated) {
            if self.places.get(&node).is_some_and(|place| place.running) {
                let line = self.lines.entry(node).or_default();
                line.changed.remove(&request);
                line.released.insert(request);
            }
        }
    }

    /// Lets copies go that will never hear the end of a request that is forgotten here.
    fn release_unfinished(&mut self, request: id::RequestId) {
        let Some(held) = self.held.get_mut(&request) else { return };
        if let Copy2::Kept { by, finished: false, .. } = held.copy {
            held.outdated.insert(by);
        }
        self.release_outdated(request);
    }

    /// Asks the next node to keep a copy of a held request, or to run it if this node hands over.
    pub(crate) fn find_custodian(&mut self, now: Duration, request: id::RequestId) -> Vec<Action> {
        let Some(held) = self.held.get_mut(&request) else { return Vec::new() };
        let unfinished = held.answer.finish().is_none();
        if held.taken {
            return Vec::new();
        }
        let candidates = placement::custodian_candidates(request, &self.me, &self.places);
        let next = candidates.into_iter().find(|node| !held.tried.contains(node));
        let tries_are_over = held.tried.len() >= self.config.tries_before_single;
        let mut actions = Vec::new();
        if (next.is_none() || tries_are_over) && held.announced_copies == 0 {
            held.announced_copies = 1;
            self.counters.single_copies += 1;
            actions.push(Action::Accepted { request, copies: 1 });
        }
        let Some(node) = next else {
            held.tried.clear();
            self.retries.insert(request, now + self.config.retry_interval);
            return actions;
        };
        let purpose = match self.handing_over && unfinished {
            true => custody::Purpose::HandOver,
            false => custody::Purpose::Copy,
        };
        actions.push(self.store_at(now, node, &[request], purpose));
        actions
    }

    /// A store call for held requests.
    pub(crate) fn store_at(
        &mut self,
        now: Duration,
        to: id::NodeId,
        requests: &[id::RequestId],
        purpose: custody::Purpose,
    ) -> Action {
        let mut records = Vec::new();
        let mut marks = Vec::new();
        for request in requests {
            let held = self.held.get_mut(request).expect("the caller holds it");
            let age = now.saturating_sub(held.accepted_at);
            records.push(custody::whole_record(&held.record, &held.answer, age));
            let mark =
                Mark { up_to: held.answer.len_bytes(), finished: held.answer.finish().is_some() };
            marks.push((*request, mark));
            held.is_asking = true;
            self.retries.remove(request);
            if let Some(line) = self.lines.get_mut(&to) {
                line.released.remove(request);
            }
        }
        self.store_call(now, to, purpose, marks, records)
    }

    pub(crate) fn store_call(
        &mut self,
        now: Duration,
        to: id::NodeId,
        purpose: custody::Purpose,
        requests: Vec<(id::RequestId, Mark)>,
        records: Vec<peer::RequestRecord>,
    ) -> Action {
        let number = self.number();
        let call = custody::StoreCall { to, sent_at: now, purpose, requests };
        self.stores.insert(number, call);
        let adopt = purpose == custody::Purpose::HandOver;
        let call = peer::StoreCall { sender: self.me.node, records, adopt };
        Action::Store { to, number, call }
    }

    /// Takes in the answer to a store call; nothing where the call failed.
    pub fn on_store_reply(
        &mut self,
        now: Duration,
        number: custody::CallNumber,
        reply: Option<&peer::StoreReply>,
    ) -> Vec<Action> {
        let Some(call) = self.stores.remove(&number) else { return Vec::new() };
        if reply.is_none() {
            self.counters.failed_stores += 1;
        }
        let mut actions = Vec::new();
        if call.purpose == custody::Purpose::PassOn {
            return self.passed_on(now, &call, reply);
        }
        for (request, mark) in call.requests {
            if let Some(held) = self.held.get_mut(&request) {
                held.is_asking = false;
            }
            let text = request.to_string();
            let names = |ids: &[String]| ids.contains(&text);
            if reply.is_some_and(|reply| names(&reply.superseded)) {
                actions.extend(self.supersede(now, request, call.to));
            } else if !reply.is_some_and(|reply| names(&reply.kept)) {
                actions.extend(self.not_stored(now, request, call.to, reply.is_none()));
            } else if call.purpose == custody::Purpose::HandOver {
                actions.extend(self.handed_over(now, request, call.to));
            } else if self.held.contains_key(&request) {
                actions.extend(self.is_kept(request, call.to, mark));
            } else {
                self.lines.entry(call.to).or_default().released.insert(request);
            }
        }
        actions
    }

    fn is_kept(&mut self, request: id::RequestId, by: id::NodeId, mark: Mark) -> Option<Action> {
        let held = self.held.get_mut(&request)?;
        if let Copy2::Kept { by: old, .. } = held.copy {
            held.outdated.insert(old);
        }
        held.outdated.remove(&by);
        held.copy = Copy2::Kept { by, up_to: mark.up_to, finished: mark.finished };
        held.tried.clear();
        let is_first = held.announced_copies < 2;
        held.announced_copies = 2;
        if held.taken {
            held.outdated.insert(by);
        }
        self.release_outdated(request);
        self.mark_changed(request);
        is_first.then_some(Action::Accepted { request, copies: 2 })
    }

    fn not_stored(
        &mut self,
        now: Duration,
        request: id::RequestId,
        node: id::NodeId,
        is_silent: bool,
    ) -> Vec<Action> {
        let Some(held) = self.held.get_mut(&request) else { return Vec::new() };
        held.tried.insert(node);
        if is_silent {
            held.outdated.insert(node);
        }
        if is_silent && matches!(held.copy, Copy2::Kept { by, .. } if by == node) {
            held.copy = Copy2::Nobody;
        }
        self.find_custodian(now, request)
    }

    /// Ends the own attempt and keeps what is known as a copy for the node that runs it now.
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
        self.turn_into_copy(now, request, by);
        vec![Action::Superseded { request, by }]
    }

    pub(crate) fn turn_into_copy(
        &mut self,
        now: Duration,
        request: id::RequestId,
        holder: id::NodeId,
    ) {
        self.release_outdated(request);
        let held = self.held.remove(&request).expect("the caller holds it");
        self.retries.remove(&request);
        if held.answer.finish().is_some() {
            self.finished_bytes -= custody::state_bytes(&held.record, &held.answer);
            self.ended.retain(|(_, ended)| *ended != request);
        }
        let mut record = held.record;
        let rank = (record.term, record.holder);
        record.holder = holder;
        self.insert_kept(now, request, record, rank, held.accepted_at, held.answer);
    }

    /// Progress calls that are due, one to a custodian.
    pub(crate) fn send_progress(&mut self, now: Duration) -> Vec<Action> {
        let is_due = |line: &custody::Line| {
            let has_news = !line.changed.is_empty() || !line.released.is_empty();
            line.call.is_none() && line.next_at <= now && has_news
        };
        let due: Vec<id::NodeId> =
            self.lines.iter().filter(|(_, line)| is_due(line)).map(|(&node, _)| node).collect();
        due.into_iter().filter_map(|node| self.progress_call(now, node)).collect()
    }

    fn progress_call(&mut self, now: Duration, to: id::NodeId) -> Option<Action> {
        let line = self.lines.get_mut(&to)?;
        let mut items = Vec::new();
        let mut requests = Vec::new();
        let mut bytes = 0;
        while items.len() < self.config.max_items && bytes < self.config.max_call_bytes {
            let Some(request) = line.changed.pop_first() else { break };
            let Some(held) = self.held.get(&request) else { continue };
            let Some((item, mark)) = progress_item(held, to) else { continue };
            bytes += item.text.len();
            items.push(item);
            requests.push((request, mark));
        }
        let mut taken = Vec::new();
        while taken.len() < self.config.max_items {
            let Some(request) = line.released.pop_first() else { break };
            taken.push(request);
        }
        if items.is_empty() && taken.is_empty() {
            return None;
        }
        self.last_number += 1;
        let number = self.last_number;
        line.next_at = now + self.config.progress_interval;
        let names = taken.iter().map(id::RequestId::to_string).collect();
        line.call = Some(custody::ProgressCall { number, sent_at: now, requests, taken });
        let call = peer::ProgressCall { sender: self.me.node, items, taken: names };
        Some(Action::Progress { to, number, call })
    }

    /// Takes in the answer to a progress call; nothing where the call failed.
    pub fn on_progress_reply(
        &mut self,
        now: Duration,
        from: id::NodeId,
        number: custody::CallNumber,
        reply: Option<&peer::ProgressReply>,
    ) -> Vec<Action> {
        let Some(line) = self.lines.get_mut(&from) else { return Vec::new() };
        let Some(call) = line.call.take_if(|call| call.number == number) else {
            return Vec::new();
        };
        let Some(reply) = reply else { return self.progress_failed(now, from, call) };
        line.failures = 0;
        let mut actions = Vec::new();
        for (request, mark) in call.requests {
            let text = request.to_string();
            if reply.superseded.contains(&text) {
                actions.extend(self.supersede(now, request, from));
            } else if reply.missing.contains(&text) {
                actions.extend(self.copy_is_missing(now, request, from));
            } else {
                self.acknowledge(request, from, mark);
            }
        }
        actions
    }

    fn acknowledge(&mut self, request: id::RequestId, from: id::NodeId, mark: Mark) {
        let Some(held) = self.held.get_mut(&request) else { return };
        if let Copy2::Kept { by, up_to, finished } = &mut held.copy
            && *by == from
        {
            *up_to = (*up_to).max(mark.up_to);
            *finished |= mark.finished;
        }
    }

    fn copy_is_missing(
        &mut self,
        now: Duration,
        request: id::RequestId,
        from: id::NodeId,
    ) -> Vec<Action> {
        let Some(held) = self.held.get_mut(&request) else { return Vec::new() };
        if !matches!(held.copy, Copy2::Kept { by, .. } if by == from) || held.taken {
            return Vec::new();
        }
        held.copy = Copy2::Nobody;
        if held.is_asking {
            return Vec::new();
        }
        self.find_custodian(now, request)
    }

    fn progress_failed(
        &mut self,
        now: Duration,
        from: id::NodeId,
        call: custody::ProgressCall,
    ) -> Vec<Action> {
        self.counters.failed_progress += 1;
        let line = self.lines.get_mut(&from).expect("its call was taken out of it");
        line.changed.extend(call.requests.iter().map(|(request, _)| *request));
        line.released.extend(call.taken);
        line.failures += 1;
        if line.failures < FAILURES_BEFORE_CHANGE {
            return Vec::new();
        }
        line.failures = 0;
        self.change_custodian(now, from, true)
    }

    /// Looks for other custodians for what `node` keeps.
    pub(crate) fn change_custodian(
        &mut self,
        now: Duration,
        node: id::NodeId,
        is_silent: bool,
    ) -> Vec<Action> {
        let keeps = |held: &Held| matches!(held.copy, Copy2::Kept { by, .. } if by == node);
        let requests: Vec<id::RequestId> =
            self.held.iter().filter(|(_, held)| keeps(held)).map(|(&request, _)| request).collect();
        let mut actions = Vec::new();
        for request in requests {
            let held = self.held.get_mut(&request).expect("listed above");
            held.tried.insert(node);
            if is_silent {
                held.outdated.insert(node);
                held.copy = Copy2::Nobody;
            }
            if !held.is_asking {
                actions.extend(self.find_custodian(now, request));
            }
        }
        actions
    }

    /// Looks for other custodians for what dead and leaving nodes keep.
    pub(crate) fn leave_custodians(&mut self, now: Duration) -> Vec<Action> {
        let late: Vec<custody::CallNumber> = self
            .stores
            .iter()
            .filter(|(_, call)| !self.is_running(call.to))
            .map(|(&number, _)| number)
            .collect();
        let mut actions = Vec::new();
        for number in late {
            actions.extend(self.on_store_reply(now, number, None));
        }
        let gone: Vec<id::NodeId> =
            self.lines.keys().copied().filter(|&node| !self.takes_work(node)).collect();
        for node in gone {
            let is_dead = !self.is_running(node);
            actions.extend(self.change_custodian(now, node, is_dead));
            if is_dead {
                self.lines.remove(&node);
            }
        }
        actions
    }

    /// Ends the calls that were not answered in time.
    pub(crate) fn end_late_calls(&mut self, now: Duration) -> Vec<Action> {
        let store_timeout = self.config.store_timeout;
        let late_stores: Vec<custody::CallNumber> = self
            .stores
            .iter()
            .filter(|(_, call)| now >= call.sent_at + store_timeout)
            .map(|(&number, _)| number)
            .collect();
        let progress_timeout = self.config.progress_timeout;
        let late_progress: Vec<(id::NodeId, custody::CallNumber)> = self
            .lines
            .iter()
            .filter_map(|(&node, line)| line.call.as_ref().map(|call| (node, call)))
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

    /// Tries again to place what found nobody before.
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

    /// Forgets own answers past their life, and the oldest where they take too much memory.
    pub(crate) fn forget_ended(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(&(at, request)) = self.ended.first() {
            let is_over = self.finished_bytes > self.config.max_finished_bytes;
            if at > now && !is_over {
                break;
            }
            if at > now {
                self.counters.evicted_early += 1;
            }
            self.ended.remove(&(at, request));
            self.release_unfinished(request);
            let held = self.held.remove(&request).expect("an ended request is held");
            self.finished_bytes -= custody::state_bytes(&held.record, &held.answer);
            self.retries.remove(&request);
            actions.push(Action::Forget { request });
        }
        actions
    }
}

fn progress_item(held: &Held, to: id::NodeId) -> Option<(peer::Progress, Mark)> {
    let Copy2::Kept { by, up_to, finished } = held.copy else { return None };
    let mark = Mark { up_to: held.answer.len_bytes(), finished: held.answer.finish().is_some() };
    let is_told = mark == Mark { up_to, finished };
    if by != to || is_told || held.taken {
        return None;
    }
    let piece = held.answer.piece_from(up_to).expect("what was told ends at a character");
    let item = peer::Progress {
        request: held.record.request.clone(),
        term: held.record.term,
        offset: up_to,
        text: piece.text,
        chunk_bytes: piece.chunk_bytes,
        tokens: held.answer.tokens(),
        finish: held.answer.finish().cloned(),
    };
    Some((item, mark))
}
