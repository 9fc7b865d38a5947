//! Custody: the backup copy of each accepted model request on a second node.
//!
//! The node that accepted a request runs it and is its holder. It sends a backup
//! copy to another node, the custodian, preferably in another data centre, and
//! then the progress of the answer. When the holder dies, the custodian adopts
//! the request: it continues from the text received so far under a higher term,
//! and chooses a custodian of its own. A leaving holder hands its requests over.
//! If two nodes run the same request, the one with the higher term continues and
//! the other stops; node ids decide between equal terms.
//!
//! Backup copies are kept in memory only, without consensus or recovery, and are
//! dropped together with their request.
//!
//! The holder's side is in `custody_holder`, the custodian's in
//! `custody_custodian`, and the hand-over in `hand_over`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rhubarbrock_schema::peer;

use crate::answer;
use crate::id;
use crate::placement;

/// Sequence number that matches a peer call with its reply, unique within a node.
pub type CallNumber = u64;

/// Custody settings.
#[derive(Debug, Clone)]
pub struct Config {
    pub(crate) progress_interval: Duration,
    pub(crate) store_timeout: Duration,
    pub(crate) progress_timeout: Duration,
    pub(crate) retry_interval: Duration,
    pub(crate) attempts_before_single_copy: usize,
    pub(crate) backup_lifetime: Duration,
    pub(crate) moved_backup_lifetime: Duration,
    pub(crate) answer_lifetime: Duration,
    pub(crate) unknown_holder_grace: Duration,
    pub(crate) max_backup_bytes: usize,
    pub(crate) max_finished_bytes: usize,
    pub(crate) max_call_items: usize,
    pub(crate) max_call_bytes: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            progress_interval: Duration::from_millis(250),
            store_timeout: Duration::from_millis(500),
            progress_timeout: Duration::from_secs(1),
            retry_interval: Duration::from_secs(1),
            attempts_before_single_copy: 3,
            backup_lifetime: Duration::from_secs(900),
            moved_backup_lifetime: Duration::from_secs(60),
            answer_lifetime: Duration::from_secs(300),
            unknown_holder_grace: Duration::from_secs(15),
            max_backup_bytes: 16 << 20,
            max_finished_bytes: 16 << 20,
            max_call_items: 256,
            max_call_bytes: 256 << 10,
        }
    }
}

impl Config {
    /// Minimum time between two progress calls to the same custodian.
    pub fn progress_interval(mut self, interval: Duration) -> Config {
        self.progress_interval = interval;
        self
    }

    /// Timeout of a store call, after which the next candidate is asked.
    pub fn store_timeout(mut self, timeout: Duration) -> Config {
        self.store_timeout = timeout;
        self
    }

    /// Timeout of a progress call.
    pub fn progress_timeout(mut self, timeout: Duration) -> Config {
        self.progress_timeout = timeout;
        self
    }

    /// Time for which a finished answer stays readable.
    pub fn answer_lifetime(mut self, lifetime: Duration) -> Config {
        self.answer_lifetime = lifetime;
        self
    }

    /// Limit on the bytes of backups stored for other nodes. Once evicting finished answers no
    /// longer makes room, further backups are refused.
    pub fn max_backup_bytes(mut self, bytes: usize) -> Config {
        self.max_backup_bytes = bytes;
        self
    }

    /// Limit on the bytes of own finished answers; beyond it those that expire first are evicted.
    pub fn max_finished_bytes(mut self, bytes: usize) -> Config {
        self.max_finished_bytes = bytes;
        self
    }
}

/// Action that the user of this module has to perform.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Call `custody_store` of a node and pass the reply to [`Custody::on_store_reply`].
    Store {
        /// Node to call.
        to: id::NodeId,
        /// Number to pass on with the reply.
        number: CallNumber,
        /// Message to send.
        call: peer::StoreCall,
    },
    /// Call `custody_progress` of a node and pass the reply to [`Custody::on_progress_reply`].
    Progress {
        /// Node to call.
        to: id::NodeId,
        /// Number to pass on with the reply.
        number: CallNumber,
        /// Message to send.
        call: peer::ProgressCall,
    },
    /// Report the request to its caller as accepted, if not done yet.
    Accepted {
        /// The request.
        request: id::RequestId,
        /// Nodes that have its record: 2, or 1 if no custodian stored it yet.
        copies: u32,
    },
    /// Continue this request after its text; this node is its holder now.
    Adopt {
        /// The request, with the text generated so far.
        record: Box<peer::RequestRecord>,
    },
    /// Stop the local attempt: another node runs the request.
    Superseded {
        /// The request.
        request: id::RequestId,
        /// Node from which the rest of the answer can be read.
        by: id::NodeId,
    },
    /// Drop all local state of the request.
    Forget {
        /// The request.
        request: id::RequestId,
    },
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests reported as accepted before a backup was stored.
    pub single_copies: u64,
    /// Store calls that failed or timed out.
    pub failed_stores: u64,
    /// Progress calls that failed or timed out.
    pub failed_progress: u64,
    /// Backups refused or dropped because of `max_backup_bytes`.
    pub refused_backups: u64,
    /// Requests adopted from other nodes.
    pub adoptions: u64,
    /// Requests handed over to other nodes.
    pub handed_over: u64,
    /// Held requests that another node took over with a higher rank.
    pub superseded: u64,
    /// Pieces of text rejected because they did not continue the known answer.
    pub mismatches: u64,
    /// Finished answers evicted before their expiry to stay within the memory limits.
    pub evicted_early: u64,
}

/// Backup of a held request, as its holder knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BackupState {
    /// No node is known to have one.
    Missing,
    /// A node has acknowledged the answer up to this offset.
    Stored { by: id::NodeId, end_offset: u64, finished: bool },
}

/// A request that this node runs or has finished.
#[derive(Debug, Clone)]
pub(crate) struct HeldRequest {
    /// Record as accepted; text, chunks, tokens and finish are kept in `answer`.
    pub(crate) record: peer::RequestRecord,
    pub(crate) accepted_at: Duration,
    pub(crate) answer: answer::Answer,
    pub(crate) backup: BackupState,
    /// Nodes that did not store it; not asked again until all candidates were tried or one
    /// stored it.
    pub(crate) tried: BTreeSet<id::NodeId>,
    /// Nodes that may have a stale backup and have not been asked to drop it yet.
    pub(crate) stale_backups: BTreeSet<id::NodeId>,
    /// Copies last reported with [`Action::Accepted`], 0 before the first report.
    pub(crate) reported_copies: u32,
    pub(crate) is_store_pending: bool,
    /// Whether the caller has received the whole answer.
    pub(crate) is_delivered: bool,
}

/// Term and holder of an attempt. Of two attempts at a request, the one with the higher rank wins.
pub(crate) type Rank = (u32, id::NodeId);

/// A backup that this node stores for a holder.
#[derive(Debug, Clone)]
pub(crate) struct Backup {
    pub(crate) record: peer::RequestRecord,
    /// Highest rank known for certain; the holder's attempt has this rank or a higher one.
    pub(crate) rank: Rank,
    pub(crate) accepted_at: Duration,
    pub(crate) answer: answer::Answer,
    pub(crate) expires_at: Duration,
    pub(crate) holder_missing_since: Option<Duration>,
    /// Nodes that were asked to store the backup while this node leaves.
    pub(crate) offered_to: BTreeSet<id::NodeId>,
}

/// Purpose of a store call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StorePurpose {
    /// Store a backup of a request that this node runs.
    StoreBackup,
    /// Make the receiver the holder of the request.
    HandOver,
    /// Move a backup away because this node leaves.
    MoveBackup,
}

/// A store call that awaits its reply.
#[derive(Debug, Clone)]
pub(crate) struct PendingStore {
    pub(crate) to: id::NodeId,
    pub(crate) sent_at: Duration,
    pub(crate) purpose: StorePurpose,
    /// Requests in the call, each with the extent of the answer that was sent.
    pub(crate) requests: Vec<(id::RequestId, AnswerExtent)>,
}

/// How much of an answer a call contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AnswerExtent {
    pub(crate) end_offset: u64,
    pub(crate) finished: bool,
}

/// A progress call that awaits its reply.
#[derive(Debug, Clone)]
pub(crate) struct PendingProgress {
    pub(crate) number: CallNumber,
    pub(crate) sent_at: Duration,
    pub(crate) requests: Vec<(id::RequestId, AnswerExtent)>,
    /// Requests whose backup the receiver may drop.
    pub(crate) sent_releases: Vec<id::RequestId>,
}

/// Progress that is queued for one custodian, with at most one call in flight.
#[derive(Debug, Clone, Default)]
pub(crate) struct ProgressQueue {
    pub(crate) next_call_at: Duration,
    pub(crate) in_flight: Option<PendingProgress>,
    /// Requests with text or a finish that was not sent yet.
    pub(crate) changed: BTreeSet<id::RequestId>,
    /// Requests whose backup the node may drop.
    pub(crate) released: BTreeSet<id::RequestId>,
    /// Failed calls since the last reply.
    pub(crate) failed_calls: u32,
}

/// Requests that one node runs, and the backups that it stores for others.
#[derive(Debug, Clone)]
pub struct Custody {
    pub(crate) config: Config,
    pub(crate) own_place: placement::Place,
    pub(crate) places: placement::Places,
    pub(crate) held: BTreeMap<id::RequestId, HeldRequest>,
    pub(crate) backups: BTreeMap<id::RequestId, Backup>,
    /// Own finished answers, ordered by expiry.
    pub(crate) finished_by_expiry: BTreeSet<(Duration, id::RequestId)>,
    pub(crate) finished_bytes: usize,
    pub(crate) backup_bytes: usize,
    /// Held requests for which no node was found, with the time of the next search.
    pub(crate) retries: BTreeMap<id::RequestId, Duration>,
    pub(crate) pending_stores: BTreeMap<CallNumber, PendingStore>,
    pub(crate) progress_queues: BTreeMap<id::NodeId, ProgressQueue>,
    /// Set for good once [`Custody::hand_over`] was called.
    pub(crate) handing_over: bool,
    pub(crate) last_call_number: CallNumber,
    pub(crate) next_sweep_at: Duration,
    pub(crate) counters: Counters,
}

const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

impl Custody {
    /// A node without requests or backups that knows no other node.
    pub fn new(config: Config, own_place: placement::Place) -> Custody {
        Custody {
            config,
            places: placement::Places::from([(own_place.node, own_place.clone())]),
            own_place,
            held: BTreeMap::new(),
            backups: BTreeMap::new(),
            finished_by_expiry: BTreeSet::new(),
            finished_bytes: 0,
            backup_bytes: 0,
            retries: BTreeMap::new(),
            pending_stores: BTreeMap::new(),
            progress_queues: BTreeMap::new(),
            handing_over: false,
            last_call_number: 0,
            next_sweep_at: Duration::ZERO,
            counters: Counters::default(),
        }
    }

    /// Returns the counts since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Held requests without a finished answer.
    pub fn unfinished_requests(&self) -> impl Iterator<Item = id::RequestId> {
        let unfinished = self.held.iter().filter(|(_, held)| held.answer.finish().is_none());
        unfinished.map(|(&request, _)| request)
    }

    /// Number of unfinished held requests without a backup.
    pub fn single_copies(&self) -> usize {
        let is_single = |held: &&HeldRequest| {
            held.answer.finish().is_none() && !matches!(held.backup, BackupState::Stored { .. })
        };
        self.held.values().filter(is_single).count()
    }

    /// Number of finished answers that neither the caller nor a custodian is known to have in full.
    pub fn unsecured_len(&self) -> usize {
        let is_unsecured = |held: &&HeldRequest| {
            let has_backup = matches!(held.backup, BackupState::Stored { finished: true, .. });
            held.answer.finish().is_some() && !held.is_delivered && !has_backup
        };
        self.held.values().filter(is_unsecured).count()
    }

    /// Number of backups stored for other nodes.
    pub fn backups_len(&self) -> usize {
        self.backups.len()
    }

    /// Size of the backups stored for other nodes, in bytes.
    pub fn backup_bytes(&self) -> usize {
        self.backup_bytes
    }

    /// Size of the own finished answers, in bytes.
    pub fn finished_bytes(&self) -> usize {
        self.finished_bytes
    }

    /// Sets the time for which finished answers stay readable, from the policy in force.
    pub fn set_answer_lifetime(&mut self, lifetime: Duration) {
        self.config.answer_lifetime = lifetime;
    }

    /// Running nodes to ask for a request that is not known here, most likely first.
    pub fn lookup_order(&self, request: id::RequestId) -> Vec<id::NodeId> {
        placement::lookup_order(request, self.own_place.node, &self.places)
    }

    /// Looks up a request for a caller of `organisation` that has read the answer up to `offset`.
    ///
    /// For a backup of an unfinished request, the reply names the holder and has
    /// no text. An offset past the end or within a character gives state
    /// `Unknown`; a request of another organisation gives `Forbidden`.
    pub fn find(
        &self,
        _now: Duration,
        request: id::RequestId,
        organisation: &str,
        offset: u64,
    ) -> peer::FindReply {
        let (record, answer, is_held) = match (self.held.get(&request), self.backups.get(&request))
        {
            (Some(held), _) => (&held.record, &held.answer, true),
            (None, Some(backup)) => (&backup.record, &backup.answer, false),
            (None, None) => return reply_with_state(peer::FindState::Unknown),
        };
        if record.organisation != organisation {
            return reply_with_state(peer::FindState::Forbidden);
        }
        let state = if is_held { peer::FindState::Held } else { peer::FindState::Kept };
        let mut reply = reply_with_state(state);
        reply.holder = record.holder;
        if !is_held && answer.finish().is_none() {
            return reply;
        }
        let Some(piece) = answer.piece_from(offset) else {
            return reply_with_state(peer::FindState::Unknown);
        };
        reply.record = Some(peer::RequestRecord { body: String::new(), ..record.clone() });
        reply.text = piece.text;
        reply.chunk_bytes = piece.chunk_bytes;
        reply.finish = answer.finish().cloned();
        reply
    }

    /// Updates the places of all nodes after a change of membership, adopts requests of dead
    /// holders and replaces custodians that are dead or leaving.
    pub fn set_places(&mut self, now: Duration, places: placement::Places) -> Vec<Action> {
        self.own_place.leaving |=
            places.get(&self.own_place.node).is_some_and(|place| place.leaving);
        self.places = places;
        self.places.insert(self.own_place.node, self.own_place.clone());
        let mut actions = self.replace_unavailable_custodians(now);
        actions.extend(self.adopt_orphans(now));
        actions
    }

    /// Performs timed work; must be called several times per progress interval.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = self.expire_calls(now);
        actions.extend(self.retry(now));
        actions.extend(self.send_progress(now));
        if now >= self.next_sweep_at {
            self.next_sweep_at = now + SWEEP_INTERVAL;
            actions.extend(self.evict_finished(now));
            actions.extend(self.expire_backups(now));
            actions.extend(self.adopt_orphans(now));
        }
        actions
    }

    pub(crate) fn next_call_number(&mut self) -> CallNumber {
        self.last_call_number += 1;
        self.last_call_number
    }

    /// Whether a node is known and not dead.
    pub(crate) fn is_running(&self, node: id::NodeId) -> bool {
        self.places.get(&node).is_some_and(|place| place.running)
    }

    pub(crate) fn takes_work(&self, node: id::NodeId) -> bool {
        self.places.get(&node).is_some_and(placement::Place::takes_work)
    }
}

fn reply_with_state(state: peer::FindState) -> peer::FindReply {
    peer::FindReply { state: state.into(), ..Default::default() }
}

/// Moves the answer out of a record. Fails if the chunk lengths do not fit the text.
pub(crate) fn take_answer(
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

/// Record to send to a peer: with the answer so far and its age.
pub(crate) fn record_with_answer(
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

/// Accounted size of a request, in bytes; the allocated memory is at most twice that.
pub(crate) fn state_bytes(record: &peer::RequestRecord, answer: &answer::Answer) -> usize {
    const FIXED_BYTES: usize = 512;
    FIXED_BYTES + record.body.len() + answer.size_bytes()
}
