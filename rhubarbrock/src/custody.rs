//! The second copy of accepted requests.
//!
//! The node that accepted a request runs it and is its holder. It gives a copy
//! to a node of another data centre, the custodian, and tells it the answer's
//! progress. A custodian whose holder dies adopts the request: it runs it from
//! the text so far, under a higher term, with a custodian of its own. A holder
//! that leaves hands its requests over. Of two that run a request, the one of the
//! higher term goes on and the other stops.
//!
//! A copy is one node's memory of an unfinished request. It is not agreed on,
//! not recovered, and goes with the request.
//!
//! The holder's side is in `custody_holder`, the custodian's in
//! `custody_custodian`, hand-over in `hand_over`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rhubarbrock_schema::peer;

use crate::answer;
use crate::id;
use crate::placement;

/// Number of a call, by which its answer is matched.
pub type CallNumber = u64;

/// Settings of custody.
#[derive(Debug, Clone)]
pub struct Config {
    pub(crate) progress_interval: Duration,
    pub(crate) store_timeout: Duration,
    pub(crate) progress_timeout: Duration,
    pub(crate) retry_interval: Duration,
    pub(crate) tries_before_single: usize,
    pub(crate) kept_life: Duration,
    pub(crate) passed_life: Duration,
    pub(crate) answer_life: Duration,
    pub(crate) unknown_holder_grace: Duration,
    pub(crate) max_backup_bytes: usize,
    pub(crate) max_finished_bytes: usize,
    pub(crate) max_items: usize,
    pub(crate) max_call_bytes: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            progress_interval: Duration::from_millis(250),
            store_timeout: Duration::from_millis(500),
            progress_timeout: Duration::from_secs(1),
            retry_interval: Duration::from_secs(1),
            tries_before_single: 3,
            kept_life: Duration::from_secs(900),
            passed_life: Duration::from_secs(60),
            answer_life: Duration::from_secs(300),
            unknown_holder_grace: Duration::from_secs(15),
            max_backup_bytes: 16 << 20,
            max_finished_bytes: 16 << 20,
            max_items: 256,
            max_call_bytes: 256 << 10,
        }
    }
}

impl Config {
    /// Shortest time between two progress calls to one custodian.
    pub fn progress_interval(mut self, interval: Duration) -> Config {
        self.progress_interval = interval;
        self
    }

    /// Time in which a node must have answered a store call before the next is asked.
    pub fn store_timeout(mut self, timeout: Duration) -> Config {
        self.store_timeout = timeout;
        self
    }

    /// Time in which a custodian must have answered a progress call.
    pub fn progress_timeout(mut self, timeout: Duration) -> Config {
        self.progress_timeout = timeout;
        self
    }

    /// How long a complete answer can be read again.
    pub fn answer_life(mut self, life: Duration) -> Config {
        self.answer_life = life;
        self
    }

    /// Bytes of copies kept for other nodes, beyond which new ones are refused.
    pub fn max_backup_bytes(mut self, bytes: usize) -> Config {
        self.max_backup_bytes = bytes;
        self
    }

    /// Bytes of own complete answers, beyond which the oldest are forgotten before their life ends.
    pub fn max_finished_bytes(mut self, bytes: usize) -> Config {
        self.max_finished_bytes = bytes;
        self
    }
}

/// What the caller of this module has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Call `custody_store` of a node and report with [`Custody::on_store_reply`].
    Store {
        /// Node to call.
        to: id::NodeId,
        /// Number to report with.
        number: CallNumber,
        /// The call.
        call: peer::StoreCall,
    },
    /// Call `custody_progress` of a node and report with [`Custody::on_progress_reply`].
    Progress {
        /// Node to call.
        to: id::NodeId,
        /// Number to report with.
        number: CallNumber,
        /// The call.
        call: peer::ProgressCall,
    },
    /// The request may be told to its caller as accepted.
    Accepted {
        /// The request.
        request: id::RequestId,
        /// Nodes that hold its record: 2, or 1 where no other could be had yet.
        copies: u32,
    },
    /// Run this request from its text on; this node is its holder now.
    Adopt {
        /// The request, with the text so far.
        record: Box<peer::RequestRecord>,
    },
    /// Stop the own attempt: another node runs the request.
    Superseded {
        /// The request.
        request: id::RequestId,
        /// Node to read on from.
        by: id::NodeId,
    },
    /// The request is no longer known here.
    Forget {
        /// The request.
        request: id::RequestId,
    },
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests accepted without a second copy, so far.
    pub single_copies: u64,
    /// Store calls that gave no answer in time or failed.
    pub failed_stores: u64,
    /// Progress calls that gave no answer in time or failed.
    pub failed_progress: u64,
    /// Copies refused for want of room.
    pub refused_copies: u64,
    /// Requests adopted.
    pub adoptions: u64,
    /// Requests handed over.
    pub handed_over: u64,
    /// Own attempts that were superseded.
    pub superseded: u64,
    /// Pieces of text dropped because they did not continue an answer.
    pub mismatches: u64,
    /// Complete answers forgotten early for want of room.
    pub evicted_early: u64,
}

/// Who keeps the second copy of a held request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Copy2 {
    /// Nobody, as far as known.
    Nobody,
    /// A node keeps it, with the answer up to an offset.
    Kept { by: id::NodeId, up_to: u64, finished: bool },
}

/// A request that this node runs, or ran to its end.
#[derive(Debug, Clone)]
pub(crate) struct Held {
    /// As accepted; text, chunks and tokens are in `answer`.
    pub(crate) record: peer::RequestRecord,
    pub(crate) accepted_at: Duration,
    pub(crate) answer: answer::Answer,
    pub(crate) copy: Copy2,
    /// Nodes that did not take it, not asked again in this round.
    pub(crate) tried: BTreeSet<id::NodeId>,
    /// Nodes that may keep an outdated copy.
    pub(crate) outdated: BTreeSet<id::NodeId>,
    pub(crate) announced_copies: u32,
    /// Whether a store call for it has no answer yet.
    pub(crate) is_asking: bool,
    pub(crate) taken: bool,
}

/// Rank of an attempt, its term and holder: of two that run a request the higher goes on.
pub(crate) type Rank = (u32, id::NodeId);

/// A copy that this node keeps for a holder.
#[derive(Debug, Clone)]
pub(crate) struct Kept {
    pub(crate) record: peer::RequestRecord,
    /// Highest rank known for certain. The attempt of the record's holder has at least this one.
    pub(crate) rank: Rank,
    pub(crate) accepted_at: Duration,
    pub(crate) answer: answer::Answer,
    pub(crate) expires_at: Duration,
    pub(crate) holder_missing_since: Option<Duration>,
    /// Nodes that this node, which leaves, asked to keep the copy instead.
    pub(crate) passed_to: BTreeSet<id::NodeId>,
}

/// What a store call is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// The second copy of a request that this node runs.
    Copy,
    /// The receiver shall run the request.
    HandOver,
    /// This node leaves and passes on a copy that it keeps.
    PassOn,
}

/// A store call without an answer yet.
#[derive(Debug, Clone)]
pub(crate) struct StoreCall {
    pub(crate) to: id::NodeId,
    pub(crate) sent_at: Duration,
    pub(crate) purpose: Purpose,
    /// Requests, each with the answer's length and whether it was complete.
    pub(crate) requests: Vec<(id::RequestId, Mark)>,
}

/// How far an answer was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Mark {
    pub(crate) up_to: u64,
    pub(crate) finished: bool,
}

/// A progress call without an answer yet.
#[derive(Debug, Clone)]
pub(crate) struct ProgressCall {
    pub(crate) number: CallNumber,
    pub(crate) sent_at: Duration,
    pub(crate) requests: Vec<(id::RequestId, Mark)>,
    pub(crate) taken: Vec<id::RequestId>,
}

/// Progress calls to one custodian.
#[derive(Debug, Clone, Default)]
pub(crate) struct Line {
    pub(crate) next_at: Duration,
    pub(crate) call: Option<ProgressCall>,
    pub(crate) changed: BTreeSet<id::RequestId>,
    pub(crate) released: BTreeSet<id::RequestId>,
    pub(crate) failures: u32,
}

/// The requests that one node runs or keeps for others.
#[derive(Debug, Clone)]
pub struct Custody {
    pub(crate) config: Config,
    pub(crate) me: placement::Place,
    pub(crate) places: placement::Places,
    pub(crate) held: BTreeMap<id::RequestId, Held>,
    pub(crate) kept: BTreeMap<id::RequestId, Kept>,
    /// Own complete answers by the end of their life.
    pub(crate) ended: BTreeSet<(Duration, id::RequestId)>,
    pub(crate) finished_bytes: usize,
    pub(crate) backup_bytes: usize,
    /// Held requests to find a custodian or adopter for, by time.
    pub(crate) retries: BTreeMap<id::RequestId, Duration>,
    pub(crate) stores: BTreeMap<CallNumber, StoreCall>,
    pub(crate) lines: BTreeMap<id::NodeId, Line>,
    pub(crate) handing_over: bool,
    pub(crate) last_number: CallNumber,
    pub(crate) next_sweep_at: Duration,
    pub(crate) counters: Counters,
}

const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

impl Custody {
    /// A node that holds and keeps nothing and knows of no other.
    pub fn new(config: Config, me: placement::Place) -> Custody {
        Custody {
            config,
            places: placement::Places::from([(me.node, me.clone())]),
            me,
            held: BTreeMap::new(),
            kept: BTreeMap::new(),
            ended: BTreeSet::new(),
            finished_bytes: 0,
            backup_bytes: 0,
            retries: BTreeMap::new(),
            stores: BTreeMap::new(),
            lines: BTreeMap::new(),
            handing_over: false,
            last_number: 0,
            next_sweep_at: Duration::ZERO,
            counters: Counters::default(),
        }
    }

    /// Counts since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Requests that this node runs and has not finished.
    pub fn unfinished_requests(&self) -> impl Iterator<Item = id::RequestId> {
        let unfinished = self.held.iter().filter(|(_, held)| held.answer.finish().is_none());
        unfinished.map(|(&request, _)| request)
    }

    /// Unfinished requests without a second copy.
    pub fn single_copies(&self) -> usize {
        let is_single = |held: &&Held| {
            held.answer.finish().is_none() && !matches!(held.copy, Copy2::Kept { .. })
        };
        self.held.values().filter(is_single).count()
    }

    /// Ended answers that neither the caller nor a custodian is known to have whole.
    pub fn unsecured_len(&self) -> usize {
        let is_unsettled = |held: &&Held| {
            let has_copy = matches!(held.copy, Copy2::Kept { finished: true, .. });
            held.answer.finish().is_some() && !held.taken && !has_copy
        };
        self.held.values().filter(is_unsettled).count()
    }

    /// Number of copies kept for other nodes.
    pub fn backups_len(&self) -> usize {
        self.kept.len()
    }

    /// Bytes of copies kept for other nodes.
    pub fn backup_bytes(&self) -> usize {
        self.backup_bytes
    }

    /// Bytes of own complete answers.
    pub fn finished_bytes(&self) -> usize {
        self.finished_bytes
    }

    /// Sets how long complete answers can be read again, from the policy in force.
    pub fn set_answer_life(&mut self, life: Duration) {
        self.config.answer_life = life;
    }

    /// The running nodes to ask for a request that is not known here, the likeliest first.
    pub fn lookup_order(&self, request: id::RequestId) -> Vec<id::NodeId> {
        placement::lookup_order(request, self.me.node, &self.places)
    }

    /// What this node knows of a request, for a caller of `organisation` who has read up to `offset`.
    ///
    /// A copy's text is given only once it is complete; before, the holder is
    /// named. An offset past the end or within a character finds nothing.
    pub fn find(
        &self,
        _now: Duration,
        request: id::RequestId,
        organisation: &str,
        offset: u64,
    ) -> peer::FindReply {
        let (record, answer, is_held) = match (self.held.get(&request), self.kept.get(&request)) {
            (Some(held), _) => (&held.record, &held.answer, true),
            (None, Some(kept)) => (&kept.record, &kept.answer, false),
            (None, None) => return state_only(peer::FindState::Unknown),
        };
        if record.organisation != organisation {
            return state_only(peer::FindState::Forbidden);
        }
        let state = if is_held { peer::FindState::Held } else { peer::FindState::Kept };
        let mut reply = state_only(state);
        reply.holder = record.holder;
        if !is_held && answer.finish().is_none() {
            return reply;
        }
        let Some(piece) = answer.piece_from(offset) else {
            return state_only(peer::FindState::Unknown);
        };
        reply.record = Some(peer::RequestRecord { body: String::new(), ..record.clone() });
        reply.text = piece.text;
        reply.chunk_bytes = piece.chunk_bytes;
        reply.finish = answer.finish().cloned();
        reply
    }

    /// Takes in where nodes run, at each change of membership; dead holders' requests are adopted.
    pub fn set_places(&mut self, now: Duration, places: placement::Places) -> Vec<Action> {
        self.me.leaving |= places.get(&self.me.node).is_some_and(|place| place.leaving);
        self.places = places;
        self.places.insert(self.me.node, self.me.clone());
        let mut actions = self.leave_custodians(now);
        actions.extend(self.adopt_orphans(now));
        actions
    }

    /// Does what is due. To be called several times in a progress interval.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = self.end_late_calls(now);
        actions.extend(self.retry(now));
        actions.extend(self.send_progress(now));
        if now >= self.next_sweep_at {
            self.next_sweep_at = now + SWEEP_INTERVAL;
            actions.extend(self.forget_ended(now));
            actions.extend(self.expire_kept(now));
            actions.extend(self.adopt_orphans(now));
        }
        actions
    }

    pub(crate) fn number(&mut self) -> CallNumber {
        self.last_number += 1;
        self.last_number
    }

    /// Whether a node runs, as far as known.
    pub(crate) fn is_running(&self, node: id::NodeId) -> bool {
        self.places.get(&node).is_some_and(|place| place.running)
    }

    pub(crate) fn takes_work(&self, node: id::NodeId) -> bool {
        self.places.get(&node).is_some_and(placement::Place::takes_work)
    }
}

fn state_only(state: peer::FindState) -> peer::FindReply {
    peer::FindReply { state: state.into(), ..Default::default() }
}

/// Reads the answer out of a record; nothing where its chunks do not fit.
pub(crate) fn answer_of(
    record: &mut peer::RequestRecord,
) -> Result<answer::Answer, answer::Mismatch> {
    let text = std::mem::take(&mut record.text);
    let chunk_bytes = std::mem::take(&mut record.chunk_bytes);
    let mut answer = answer::Answer::new(text, chunk_bytes, record.tokens)?;
    if let Some(finish) = record.finish.take() {
        answer.finish_with(finish)?;
    }
    Ok(answer)
}

/// A record as it is sent: with the answer so far and its age.
pub(crate) fn whole_record(
    record: &peer::RequestRecord,
    answer: &answer::Answer,
    age: Duration,
) -> peer::RequestRecord {
    peer::RequestRecord {
        age_ms: age.as_millis() as u64,
        text: answer.text().to_owned(),
        chunk_bytes: answer.chunk_bytes().to_vec(),
        tokens: answer.tokens(),
        finish: answer.finish().cloned(),
        ..record.clone()
    }
}

/// Bytes that a request holds; its memory is at most twice that.
pub(crate) fn state_bytes(record: &peer::RequestRecord, answer: &answer::Answer) -> usize {
    const FIXED_BYTES: usize = 512;
    FIXED_BYTES + record.body.len() + answer.size_bytes()
}
