//! Handing requests over when this node leaves.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use rhubarbrock_schema::peer;

use crate::custody::{self, Action, Copy2, Custody, Held};
use crate::id;
use crate::placement;

/// Requests handed over in one call.
const BATCH_LEN: usize = 32;

#[derive(Default)]
struct Batch {
    requests: Vec<id::RequestId>,
    bytes: usize,
}

impl Custody {
    /// Hands all unfinished requests over, the one with most work left first, and from now on
    /// adopts none.
    ///
    /// Each goes to its custodian, which has most of it already, or, where that does not take
    /// work, to another node. The own attempts go on until [`Action::Superseded`].
    pub fn hand_over(&mut self, now: Duration) -> Vec<Action> {
        self.handing_over = true;
        self.me.leaving = true;
        self.places.insert(self.me.node, self.me.clone());
        let mut unfinished: Vec<(Reverse<u32>, id::RequestId)> = self
            .held
            .iter()
            .filter(|(_, held)| held.answer.finish().is_none())
            .map(|(&request, held)| (Reverse(tokens_left(held)), request))
            .collect();
        unfinished.sort_unstable();
        let mut batches: BTreeMap<id::NodeId, Batch> = BTreeMap::new();
        let mut actions = Vec::new();
        for (_, request) in unfinished {
            let Some(node) = self.adopter(request) else {
                self.retries.insert(request, now + self.config.retry_interval);
                continue;
            };
            let held = &self.held[&request];
            let batch = batches.entry(node).or_default();
            batch.bytes += custody::state_bytes(&held.record, &held.answer);
            batch.requests.push(request);
            if batch.requests.len() >= BATCH_LEN || batch.bytes >= self.config.max_call_bytes {
                let full = std::mem::take(batch);
                actions.push(self.store_at(now, node, &full.requests, custody::Purpose::HandOver));
            }
        }
        for (node, batch) in batches {
            if !batch.requests.is_empty() {
                actions.push(self.store_at(now, node, &batch.requests, custody::Purpose::HandOver));
            }
        }
        actions.extend(self.pass_on_copies(now));
        actions
    }

    /// Passes copies on that may be the last: of unfinished requests, since their holders may be
    /// gone unnoticed, and of answers whose holders are known to go.
    fn pass_on_copies(&mut self, now: Duration) -> Vec<Action> {
        let may_be_last = |kept: &custody::Kept| {
            kept.answer.finish().is_none() || !self.takes_work(kept.record.holder)
        };
        let last: Vec<id::RequestId> = self
            .kept
            .iter()
            .filter(|(_, kept)| may_be_last(kept))
            .map(|(&request, _)| request)
            .collect();
        self.pass_on(now, last)
    }

    /// Store calls for copies, in batches for each receiver.
    fn pass_on(&mut self, now: Duration, requests: Vec<id::RequestId>) -> Vec<Action> {
        let mut batches: BTreeMap<id::NodeId, Batch> = BTreeMap::new();
        let mut actions = Vec::new();
        for request in requests {
            let Some(node) = self.next_keeper(request) else { continue };
            let kept = &self.kept[&request];
            let batch = batches.entry(node).or_default();
            batch.bytes += custody::state_bytes(&kept.record, &kept.answer);
            batch.requests.push(request);
            if batch.requests.len() >= BATCH_LEN || batch.bytes >= self.config.max_call_bytes {
                let full = std::mem::take(batch);
                actions.push(self.pass_on_call(now, node, full));
            }
        }
        for (node, batch) in batches {
            if !batch.requests.is_empty() {
                actions.push(self.pass_on_call(now, node, batch));
            }
        }
        actions
    }

    fn pass_on_call(&mut self, now: Duration, to: id::NodeId, batch: Batch) -> Action {
        let mut marks = Vec::new();
        let mut records = Vec::new();
        for request in batch.requests {
            let kept = &self.kept[&request];
            let age = now.saturating_sub(kept.accepted_at);
            records.push(custody::whole_record(&kept.record, &kept.answer, age));
            let finished = kept.answer.finish().is_some();
            marks.push((request, custody::Mark { up_to: kept.answer.len_bytes(), finished }));
        }
        self.store_call(now, to, custody::Purpose::PassOn, marks, records)
    }

    /// The next node to keep a copy instead of this one.
    fn next_keeper(&mut self, request: id::RequestId) -> Option<id::NodeId> {
        let kept = self.kept.get_mut(&request)?;
        let holder = kept.record.holder;
        let to = placement::custodian_candidates(request, &self.me, &self.places)
            .into_iter()
            .find(|node| *node != holder && !kept.passed_to.contains(node))?;
        kept.passed_to.insert(to);
        Some(to)
    }

    /// Takes in the answer to passing copies on; asks the next node where one did not keep it.
    pub(crate) fn passed_on(
        &mut self,
        now: Duration,
        call: &custody::StoreCall,
        reply: Option<&peer::StoreReply>,
    ) -> Vec<Action> {
        let is_settled = |request: &id::RequestId| {
            let name = request.to_string();
            reply
                .is_some_and(|reply| reply.kept.contains(&name) || reply.superseded.contains(&name))
        };
        let open: Vec<id::RequestId> = call
            .requests
            .iter()
            .map(|(request, _)| *request)
            .filter(|request| !is_settled(request))
            .collect();
        self.pass_on(now, open)
    }

    fn adopter(&self, request: id::RequestId) -> Option<id::NodeId> {
        if let Copy2::Kept { by, .. } = self.held[&request].copy
            && self.takes_work(by)
        {
            return Some(by);
        }
        placement::custodian_candidates(request, &self.me, &self.places).into_iter().next()
    }

    /// Takes in that another node runs a request now; this node keeps a copy while it lasts.
    pub(crate) fn handed_over(
        &mut self,
        now: Duration,
        request: id::RequestId,
        to: id::NodeId,
    ) -> Option<Action> {
        let held = self.held.get_mut(&request)?;
        if let Copy2::Kept { by, .. } = held.copy
            && by != to
        {
            held.outdated.insert(by);
        }
        held.outdated.remove(&to);
        self.counters.handed_over += 1;
        self.turn_into_copy(now, request, to);
        Some(Action::Superseded { request, by: to })
    }
}

fn tokens_left(held: &Held) -> u32 {
    held.record.max_tokens.saturating_sub(held.answer.tokens())
}
