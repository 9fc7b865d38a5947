//! What a node knows of the others, and the rules by which news changes it.
//!
//! News of a node is ordered by its incarnation, and within one incarnation by
//! state: alive, leaving, suspect, dead. Only the node itself raises its
//! incarnation. A dead node is remembered for a time, so that old news does not
//! bring it back.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rhubarbrock_schema::peer;

use crate::broadcast;
use crate::id;
use crate::suspicion;

const MAX_NAME_BYTES: usize = 128;

/// Whether a node is taken to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Answers probes.
    Alive,
    /// Missed probes and may still refute.
    Suspect,
    /// Gone.
    Dead,
}

/// One node as it is known here.
#[derive(Debug, Clone)]
pub struct KnownMember {
    /// Its record; the state field is not kept up to date.
    pub record: peer::Member,
    /// Address for datagrams.
    pub address: SocketAddr,
    /// Whether it is taken to run.
    pub state: State,
    /// Whether it said that it leaves; never taken back.
    pub leaving: bool,
    /// When the state last changed.
    pub changed_at: Duration,
    pub(crate) suspicion: Option<suspicion::Suspicion>,
    pub(crate) is_permanently_dead: bool,
}

/// What happened to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeKind {
    /// It is known and alive.
    Joined,
    /// It missed probes.
    Suspected,
    /// It refuted a suspicion.
    Refuted,
    /// It said that it leaves.
    Leaving,
    /// It is gone.
    Dead,
}

/// Why a change was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum ChangeReason {
    /// The node said so itself.
    #[display("said so itself")]
    SelfReported,
    /// Another node told it.
    #[display("told by node {sender:016x}")]
    ReceivedFrom {
        /// Node that told it.
        sender: id::NodeId,
    },
    /// It answered neither directly nor through others.
    #[display("no answer")]
    ProbeFailed,
    /// It refuted no suspicion in time.
    #[display("suspicion not refuted in time")]
    SuspicionExpired,
    /// Another process took its address.
    #[display("node {by:016x} runs at its address")]
    Replaced {
        /// The process that runs there now.
        by: id::NodeId,
    },
}

/// A change of what is known of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The node.
    pub node: id::NodeId,
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// What happened.
    pub kind: ChangeKind,
    /// Why.
    pub reason: ChangeReason,
}

/// All nodes known besides this one.
#[derive(Debug, Clone)]
pub(crate) struct MemberTable {
    suspicion_unit: Duration,
    max_members: usize,
    known: BTreeMap<id::NodeId, KnownMember>,
    /// Dead nodes that were never known alive here, with the time of the news.
    buried: BTreeMap<id::NodeId, Buried>,
    pub(crate) changes: Vec<Change>,
    pub(crate) broadcasts: broadcast::Broadcasts,
}

#[derive(Debug, Clone, Copy)]
struct Buried {
    incarnation: u32,
    since: Duration,
}

impl MemberTable {
    pub(crate) fn new(suspicion_unit: Duration, max_members: usize) -> MemberTable {
        MemberTable {
            suspicion_unit,
            max_members,
            known: BTreeMap::new(),
            buried: BTreeMap::new(),
            changes: Vec::new(),
            broadcasts: broadcast::Broadcasts::default(),
        }
    }

    pub(crate) fn get(&self, node: id::NodeId) -> Option<&KnownMember> {
        self.known.get(&node)
    }

    /// All nodes remembered, dead ones too, by id.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &KnownMember> {
        self.known.values()
    }

    /// Nodes that are not dead, by id.
    pub(crate) fn running(&self) -> impl Iterator<Item = &KnownMember> {
        self.known.values().filter(|known| known.state != State::Dead)
    }

    /// The running node at an address.
    pub(crate) fn at(&self, address: SocketAddr) -> Option<&KnownMember> {
        self.running().find(|known| known.address == address)
    }

    /// Takes in news of a node other than this one, told by `by`; true if it changed something.
    pub(crate) fn apply(&mut self, now: Duration, news: &peer::Member, by: id::NodeId) -> bool {
        let reason = if by == news.node {
            ChangeReason::SelfReported
        } else {
            ChangeReason::ReceivedFrom { sender: by }
        };
        match news.state() {
            peer::MemberState::Unspecified => false,
            peer::MemberState::Alive | peer::MemberState::Leaving => {
                self.apply_alive(now, news, reason)
            }
            peer::MemberState::Suspect => {
                self.suspect(now, news.node, news.incarnation, news.reporter, reason)
            }
            peer::MemberState::Dead => self.apply_dead(now, news, reason),
        }
    }

    fn apply_alive(&mut self, now: Duration, news: &peer::Member, reason: ChangeReason) -> bool {
        match self.known.get(&news.node) {
            None => self.add(now, news, reason),
            Some(known) if known.state == State::Dead => self.revive(now, news, reason),
            Some(_) => self.update(now, news, reason),
        }
    }

    fn add(&mut self, now: Duration, news: &peer::Member, reason: ChangeReason) -> bool {
        let Some(address) = valid_address(news) else { return false };
        if self.buried.get(&news.node).is_some_and(|buried| news.incarnation <= buried.incarnation)
        {
            return false;
        }
        if self.known.len() >= self.max_members || !self.clear_address(now, address, news) {
            return false;
        }
        self.buried.remove(&news.node);
        let leaving = news.state() == peer::MemberState::Leaving;
        let known = KnownMember {
            record: news.clone(),
            address,
            state: State::Alive,
            leaving,
            changed_at: now,
            suspicion: None,
            is_permanently_dead: false,
        };
        self.known.insert(news.node, known);
        self.note(news.node, ChangeKind::Joined, reason);
        if leaving {
            self.note(news.node, ChangeKind::Leaving, reason);
        }
        true
    }

    /// Brings back a node that was wrongly taken for dead.
    fn revive(&mut self, now: Duration, news: &peer::Member, reason: ChangeReason) -> bool {
        let known = &self.known[&news.node];
        let was_leaving = known.leaving;
        if known.is_permanently_dead || news.incarnation <= known.record.incarnation {
            return false;
        }
        let kept = self.known.remove(&news.node).expect("looked up above");
        if !self.add(now, news, reason) {
            self.known.insert(news.node, kept);
            return false;
        }
        let known = self.known.get_mut(&news.node).expect("just added");
        known.leaving |= was_leaving;
        true
    }

    fn update(&mut self, now: Duration, news: &peer::Member, reason: ChangeReason) -> bool {
        let Some(address) = valid_address(news) else { return false };
        let known = self.known.get_mut(&news.node).expect("the caller looked it up");
        if news.incarnation <= known.record.incarnation {
            return false;
        }
        let starts_leaving = news.state() == peer::MemberState::Leaving && !known.leaving;
        let was_suspect = known.state == State::Suspect;
        known.record = news.clone();
        known.address = address;
        known.leaving |= starts_leaving;
        known.state = State::Alive;
        known.suspicion = None;
        known.changed_at = now;
        if was_suspect {
            self.note(news.node, ChangeKind::Refuted, reason);
        }
        if starts_leaving {
            self.note(news.node, ChangeKind::Leaving, reason);
        }
        self.broadcasts.add(news.node);
        true
    }

    /// Suspects a node, or counts one more reporter of a suspicion that stands.
    pub(crate) fn suspect(
        &mut self,
        now: Duration,
        node: id::NodeId,
        incarnation: u32,
        reporter: id::NodeId,
        reason: ChangeReason,
    ) -> bool {
        let running = self.running().count();
        let Some(known) = self.known.get_mut(&node) else { return false };
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
        self.note(node, ChangeKind::Suspected, reason);
        true
    }

    fn apply_dead(&mut self, now: Duration, news: &peer::Member, reason: ChangeReason) -> bool {
        let Some(known) = self.known.get_mut(&news.node) else {
            self.bury(now, news);
            return false;
        };
        if known.state == State::Dead || news.incarnation < known.record.incarnation {
            return false;
        }
        known.record.incarnation = news.incarnation;
        self.declare_dead(now, news.node, reason);
        true
    }

    fn bury(&mut self, now: Duration, news: &peer::Member) {
        if self.buried.len() < self.max_members {
            let buried = Buried { incarnation: news.incarnation, since: now };
            self.buried.entry(news.node).or_insert(buried);
        }
    }

    /// Marks a known node as dead.
    pub(crate) fn declare_dead(&mut self, now: Duration, node: id::NodeId, reason: ChangeReason) {
        let Some(known) = self.known.get_mut(&node) else { return };
        known.state = State::Dead;
        known.suspicion = None;
        known.changed_at = now;
        known.is_permanently_dead =
            matches!(reason, ChangeReason::SelfReported | ChangeReason::Replaced { .. });
        self.note(node, ChangeKind::Dead, reason);
    }

    /// Declares dead what ran at `address` before the process of `news`; false if that one is newer.
    fn clear_address(&mut self, now: Duration, address: SocketAddr, news: &peer::Member) -> bool {
        let Some(other) = self.at(address) else { return true };
        let start = |member: &peer::Member| (member.started_at_ms, member.node);
        if start(&other.record) > start(news) {
            return false;
        }
        let old = other.record.node;
        self.declare_dead(now, old, ChangeReason::Replaced { by: news.node });
        true
    }

    /// Declares dead whoever refuted no suspicion in time.
    pub(crate) fn settle_suspicions(&mut self, now: Duration) {
        let is_due = |known: &&KnownMember| {
            known.suspicion.as_ref().is_some_and(|suspicion| suspicion.deadline() <= now)
        };
        let due: Vec<id::NodeId> =
            self.running().filter(is_due).map(|known| known.record.node).collect();
        for node in due {
            self.declare_dead(now, node, ChangeReason::SuspicionExpired);
        }
    }

    /// Moves all suspicions' deadlines, after this process was paused.
    pub(crate) fn extend_suspicions(&mut self, by: Duration) {
        let suspicions = self.known.values_mut().filter_map(|known| known.suspicion.as_mut());
        suspicions.for_each(|suspicion| suspicion.extend(by));
    }

    /// Forgets nodes that have been dead for `life`.
    pub(crate) fn forget(&mut self, now: Duration, life: Duration) {
        let is_kept = |known: &KnownMember| {
            known.state != State::Dead || now.saturating_sub(known.changed_at) < life
        };
        self.known.retain(|_, known| is_kept(known));
        self.buried.retain(|_, buried| now.saturating_sub(buried.since) < life);
    }

    /// News of a node as it is told on: whole where it runs, short where the id says enough.
    pub(crate) fn news_of(&self, node: id::NodeId) -> Option<peer::Member> {
        let known = self.known.get(&node)?;
        let short = |state: peer::MemberState, reporter: id::NodeId| peer::Member {
            node,
            incarnation: known.record.incarnation,
            state: state.into(),
            reporter,
            ..Default::default()
        };
        Some(match known.state {
            State::Alive => {
                let mut news = known.record.clone();
                let state = match known.leaving {
                    true => peer::MemberState::Leaving,
                    false => peer::MemberState::Alive,
                };
                news.set_state(state);
                news
            }
            State::Suspect => {
                let suspicion = known.suspicion.as_ref().expect("a suspect has a suspicion");
                short(peer::MemberState::Suspect, suspicion.last_reporter())
            }
            State::Dead => short(peer::MemberState::Dead, 0),
        })
    }

    fn note(&mut self, node: id::NodeId, kind: ChangeKind, reason: ChangeReason) {
        let record = &self.known[&node].record;
        let (name, data_centre) = (record.name.clone(), record.data_centre.clone());
        self.changes.push(Change { node, name, data_centre, kind, reason });
        self.broadcasts.add(node);
    }
}

fn valid_address(news: &peer::Member) -> Option<SocketAddr> {
    let names = [&news.name, &news.data_centre, &news.region];
    let fits = names.iter().all(|name| name.len() <= MAX_NAME_BYTES);
    let addresses = [&news.datagram_address, &news.peer_address, &news.caller_address];
    let address_fits = addresses.iter().all(|address| address.len() <= MAX_NAME_BYTES);
    if news.node == 0 || news.data_centre.is_empty() || !fits || !address_fits {
        return None;
    }
    news.datagram_address.parse().ok()
}
