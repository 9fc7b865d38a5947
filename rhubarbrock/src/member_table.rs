//! Table of the other known nodes, and the rules by which membership updates change it.
//!
//! Updates on a node are ordered by its incarnation, and within one incarnation
//! by state: alive, leaving, suspect, dead. Only the node itself raises its
//! incarnation. Dead nodes are retained for a time, so that a delayed update does
//! not bring one back.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rhubarbrock_schema::peer;

use crate::broadcast;
use crate::id;
use crate::suspicion;

/// Maximum length of each name and address in a record.
const MAX_TEXT_BYTES: usize = 128;

/// State of a node, as known to this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It answers probes.
    Alive,
    /// It missed a probe and can still refute the suspicion.
    Suspect,
    /// It has stopped, was replaced or did not refute a suspicion in time.
    Dead,
}

/// What this node knows of another.
#[derive(Debug, Clone)]
pub struct KnownMember {
    /// Record of the node. Its state field may be outdated; use `state`.
    pub record: peer::Member,
    /// Address that it receives datagrams at.
    pub address: SocketAddr,
    /// Its current state.
    pub state: State,
    /// Whether it has announced that it is leaving; stays true until the node is forgotten.
    pub leaving: bool,
    /// Time of the last change of state or incarnation, on the monotonic clock.
    pub changed_at: Duration,
    pub(crate) suspicion: Option<suspicion::Suspicion>,
    pub(crate) is_permanently_dead: bool,
}

/// Kind of a membership change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeKind {
    /// The node is new here, or alive again after it was declared dead.
    Joined,
    /// The node missed a probe.
    Suspected,
    /// The node refuted a suspicion.
    Refuted,
    /// The node announced that it is leaving.
    Leaving,
    /// The node was declared dead.
    Dead,
}

/// Reason for a membership change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum ChangeReason {
    /// The update came from the node itself.
    #[display("reported by the node itself")]
    SelfReported,
    /// The update came from another node.
    #[display("reported by node {sender:016x}")]
    ReceivedFrom {
        /// Sender of the datagram with the update.
        sender: id::NodeId,
    },
    /// The node answered neither the direct nor the indirect probes of this one.
    #[display("no answer to probes")]
    ProbeFailed,
    /// The node did not refute the suspicion before its timeout.
    #[display("suspicion not refuted in time")]
    SuspicionExpired,
    /// A newer process uses the node's address.
    #[display("replaced by node {by:016x} at its address")]
    Replaced {
        /// Id of the newer process.
        by: id::NodeId,
    },
}

/// A change of what this node knows of another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Id of the node that changed.
    pub node: id::NodeId,
    /// Name of the node in its record.
    pub name: String,
    /// Data centre of the node.
    pub data_centre: String,
    /// What changed.
    pub kind: ChangeKind,
    /// What the change is based on.
    pub reason: ChangeReason,
}

/// All known nodes except this one.
#[derive(Debug, Clone)]
pub(crate) struct MemberTable {
    suspicion_unit: Duration,
    max_members: usize,
    members: BTreeMap<id::NodeId, KnownMember>,
    /// Nodes that were reported dead before this node knew them.
    tombstones: BTreeMap<id::NodeId, Tombstone>,
    pub(crate) changes: Vec<Change>,
    pub(crate) broadcasts: broadcast::Broadcasts,
}

#[derive(Debug, Clone, Copy)]
struct Tombstone {
    incarnation: u32,
    created_at: Duration,
}

impl MemberTable {
    pub(crate) fn new(suspicion_unit: Duration, max_members: usize) -> MemberTable {
        MemberTable {
            suspicion_unit,
            max_members,
            members: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            changes: Vec::new(),
            broadcasts: broadcast::Broadcasts::default(),
        }
    }

    pub(crate) fn get(&self, node: id::NodeId) -> Option<&KnownMember> {
        self.members.get(&node)
    }

    /// All known nodes in order of id, including dead ones.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &KnownMember> {
        self.members.values()
    }

    /// Nodes that are not dead, in order of id.
    pub(crate) fn running(&self) -> impl Iterator<Item = &KnownMember> {
        self.members.values().filter(|known| known.state != State::Dead)
    }

    /// Node at an address that is not dead.
    pub(crate) fn running_at(&self, address: SocketAddr) -> Option<&KnownMember> {
        self.running().find(|known| known.address == address)
    }

    /// Applies an update on a node other than this one, received from `sender`. Returns whether it
    /// changed anything.
    pub(crate) fn apply(
        &mut self,
        now: Duration,
        update: &peer::Member,
        sender: id::NodeId,
    ) -> bool {
        let reason = if sender == update.node {
            ChangeReason::SelfReported
        } else {
            ChangeReason::ReceivedFrom { sender }
        };
        match update.state() {
            peer::MemberState::Unspecified => false,
            peer::MemberState::Alive | peer::MemberState::Leaving => {
                self.apply_alive(now, update, reason)
            }
            peer::MemberState::Suspect => {
                self.suspect(now, update.node, update.incarnation, update.reporter, reason)
            }
            peer::MemberState::Dead => self.apply_dead(now, update, reason),
        }
    }

    fn apply_alive(&mut self, now: Duration, update: &peer::Member, reason: ChangeReason) -> bool {
        match self.members.get(&update.node) {
            None => self.add_member(now, update, reason),
            Some(known) if known.state == State::Dead => self.revive(now, update, reason),
            Some(_) => self.update_member(now, update, reason),
        }
    }

    fn add_member(&mut self, now: Duration, update: &peer::Member, reason: ChangeReason) -> bool {
        let Some(address) = checked_address(update) else { return false };
        if self
            .tombstones
            .get(&update.node)
            .is_some_and(|tombstone| update.incarnation <= tombstone.incarnation)
        {
            return false;
        }
        if self.members.len() >= self.max_members || !self.replace_at_address(now, address, update)
        {
            return false;
        }
        self.tombstones.remove(&update.node);
        let leaving = update.state() == peer::MemberState::Leaving;
        let known = KnownMember {
            record: update.clone(),
            address,
            state: State::Alive,
            leaving,
            changed_at: now,
            suspicion: None,
            is_permanently_dead: false,
        };
        self.members.insert(update.node, known);
        self.record_change(update.node, ChangeKind::Joined, reason);
        if leaving {
            self.record_change(update.node, ChangeKind::Leaving, reason);
        }
        true
    }

    /// Brings back a node that was wrongly declared dead, if its incarnation is higher.
    fn revive(&mut self, now: Duration, update: &peer::Member, reason: ChangeReason) -> bool {
        let known = &self.members[&update.node];
        let was_leaving = known.leaving;
        if known.is_permanently_dead || update.incarnation <= known.record.incarnation {
            return false;
        }
        let dead = self.members.remove(&update.node).expect("looked up above");
        if !self.add_member(now, update, reason) {
            self.members.insert(update.node, dead);
            return false;
        }
        let known = self.members.get_mut(&update.node).expect("just added");
        known.leaving |= was_leaving;
        true
    }

    fn update_member(
        &mut self,
        now: Duration,
        update: &peer::Member,
        reason: ChangeReason,
    ) -> bool {
        let Some(address) = checked_address(update) else { return false };
        let known = self.members.get_mut(&update.node).expect("the caller looked it up");
        if update.incarnation <= known.record.incarnation {
            return false;
        }
        let starts_leaving = update.state() == peer::MemberState::Leaving && !known.leaving;
        let was_suspect = known.state == State::Suspect;
        known.record = update.clone();
        known.address = address;
        known.leaving |= starts_leaving;
        known.state = State::Alive;
        known.suspicion = None;
        known.changed_at = now;
        if was_suspect {
            self.record_change(update.node, ChangeKind::Refuted, reason);
        }
        if starts_leaving {
            self.record_change(update.node, ChangeKind::Leaving, reason);
        }
        self.broadcasts.add(update.node);
        true
    }

    /// Suspects a node, or adds a reporter to its current suspicion. Returns whether that changed
    /// anything.
    pub(crate) fn suspect(
        &mut self,
        now: Duration,
        node: id::NodeId,
        incarnation: u32,
        reporter: id::NodeId,
        reason: ChangeReason,
    ) -> bool {
        let running = self.running().count();
        let Some(known) = self.members.get_mut(&node) else { return false };
        if known.state == State::Dead || incarnation < known.record.incarnation {
            return false;
        }
        if let Some(suspicion) = &mut known.suspicion
            && known.record.incarnation == incarnation
        {
            let is_new = suspicion.confirm(reporter);
            if is_new {
                self.broadcasts.add(node);
            }
            return is_new;
        }
        known.record.incarnation = incarnation;
        known.state = State::Suspect;
        known.changed_at = now;
        known.suspicion =
            Some(suspicion::Suspicion::new(now, self.suspicion_unit, running + 1, reporter));
        self.record_change(node, ChangeKind::Suspected, reason);
        true
    }

    fn apply_dead(&mut self, now: Duration, update: &peer::Member, reason: ChangeReason) -> bool {
        let Some(known) = self.members.get_mut(&update.node) else {
            self.add_tombstone(now, update);
            return false;
        };
        if known.state == State::Dead || update.incarnation < known.record.incarnation {
            return false;
        }
        known.record.incarnation = update.incarnation;
        self.declare_dead(now, update.node, reason);
        true
    }

    fn add_tombstone(&mut self, now: Duration, update: &peer::Member) {
        if self.tombstones.len() < self.max_members {
            let tombstone = Tombstone { incarnation: update.incarnation, created_at: now };
            self.tombstones.entry(update.node).or_insert(tombstone);
        }
    }

    /// Declares a known node dead. It cannot come back if it stopped itself or was replaced.
    pub(crate) fn declare_dead(&mut self, now: Duration, node: id::NodeId, reason: ChangeReason) {
        let Some(known) = self.members.get_mut(&node) else { return };
        known.state = State::Dead;
        known.suspicion = None;
        known.changed_at = now;
        known.is_permanently_dead =
            matches!(reason, ChangeReason::SelfReported | ChangeReason::Replaced { .. });
        self.record_change(node, ChangeKind::Dead, reason);
    }

    /// Declares the node at `address` dead to make way for the process of `update`. Returns false if
    /// the process of `update` is the older of the two.
    fn replace_at_address(
        &mut self,
        now: Duration,
        address: SocketAddr,
        update: &peer::Member,
    ) -> bool {
        let Some(other) = self.running_at(address) else { return true };
        let start = |member: &peer::Member| (member.started_at_ms, member.node);
        if start(&other.record) > start(update) {
            return false;
        }
        let old = other.record.node;
        self.declare_dead(now, old, ChangeReason::Replaced { by: update.node });
        true
    }

    /// Declares nodes dead whose suspicion has timed out.
    pub(crate) fn expire_suspicions(&mut self, now: Duration) {
        let is_due = |known: &&KnownMember| {
            known.suspicion.as_ref().is_some_and(|suspicion| suspicion.deadline() <= now)
        };
        let due: Vec<id::NodeId> =
            self.running().filter(is_due).map(|known| known.record.node).collect();
        for node in due {
            self.declare_dead(now, node, ChangeReason::SuspicionExpired);
        }
    }

    /// Postpones the deadlines of all suspicions after a pause of this process, as refutations could
    /// not be received.
    pub(crate) fn extend_suspicions(&mut self, by: Duration) {
        let suspicions = self.members.values_mut().filter_map(|known| known.suspicion.as_mut());
        suspicions.for_each(|suspicion| suspicion.extend(by));
    }

    /// Removes nodes that have been dead for `retention`.
    pub(crate) fn forget_dead(&mut self, now: Duration, retention: Duration) {
        let is_kept = |known: &KnownMember| {
            known.state != State::Dead || now.saturating_sub(known.changed_at) < retention
        };
        self.members.retain(|_, known| is_kept(known));
        self.tombstones.retain(|_, tombstone| now.saturating_sub(tombstone.created_at) < retention);
    }

    /// Update on a node to send to others: the whole record of an alive node, else only its id,
    /// incarnation, state and reporter.
    pub(crate) fn gossip_update(&self, node: id::NodeId) -> Option<peer::Member> {
        let known = self.members.get(&node)?;
        let short = |state: peer::MemberState, reporter: id::NodeId| peer::Member {
            node,
            incarnation: known.record.incarnation,
            state: state.into(),
            reporter,
            ..Default::default()
        };
        Some(match known.state {
            State::Alive => {
                let mut update = known.record.clone();
                let state = match known.leaving {
                    true => peer::MemberState::Leaving,
                    false => peer::MemberState::Alive,
                };
                update.set_state(state);
                update
            }
            State::Suspect => {
                let suspicion = known.suspicion.as_ref().expect("a suspect has a suspicion");
                short(peer::MemberState::Suspect, suspicion.last_reporter())
            }
            State::Dead => short(peer::MemberState::Dead, 0),
        })
    }

    fn record_change(&mut self, node: id::NodeId, kind: ChangeKind, reason: ChangeReason) {
        let record = &self.members[&node].record;
        let (name, data_centre) = (record.name.clone(), record.data_centre.clone());
        self.changes.push(Change { node, name, data_centre, kind, reason });
        self.broadcasts.add(node);
    }
}

/// Address for datagrams, or `None` if the record is invalid.
fn checked_address(update: &peer::Member) -> Option<SocketAddr> {
    let names = [&update.name, &update.data_centre, &update.region];
    let fits = names.iter().all(|name| name.len() <= MAX_TEXT_BYTES);
    let addresses = [&update.datagram_address, &update.peer_address, &update.caller_address];
    let address_fits = addresses.iter().all(|address| address.len() <= MAX_TEXT_BYTES);
    if update.node == 0 || update.data_centre.is_empty() || !fits || !address_fits {
        return None;
    }
    update.datagram_address.parse().ok()
}
