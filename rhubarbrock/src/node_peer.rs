//! A node among the others: membership, the release of others, copies of requests.

use std::net::SocketAddr;
use std::time::Duration;

use rhubarbrock_schema::peer;

use crate::node::Node;
use crate::{action, event, id, membership, node_model};

/// Shortest time between fetches of a release from other nodes.
const FETCH_INTERVAL: Duration = Duration::from_millis(300);

/// Nodes asked for a request that this one does not know.
const MAX_ASKED: usize = 16;

impl Node {
    pub(crate) fn on_peer(&mut self, event: event::PeerEvent) {
        match event {
            event::PeerEvent::Datagram { from, datagram } => self.on_datagram(from, &datagram),
            event::PeerEvent::Store { rpc, call } => self.on_store(rpc, call),
            event::PeerEvent::Progress { rpc, call } => self.on_progress_call(rpc, call),
            event::PeerEvent::Find { rpc, call } => self.on_find(rpc, &call),
            event::PeerEvent::ReleaseFetch { rpc } => self.on_release_fetch(rpc),
            event::PeerEvent::Status { rpc } => {
                let reply = event::Reply::Status(Box::new(self.status()));
                self.act(action::Action::Reply { rpc, reply });
            }
            event::PeerEvent::Timeline { rpc, after, limit } => {
                let reply = event::Reply::Timeline(self.timeline.page(after, limit));
                self.act(action::Action::Reply { rpc, reply });
            }
            event::PeerEvent::StoreReplied { to, requests, reply } => {
                self.on_store_replied(to, &requests, reply);
            }
            event::PeerEvent::ProgressReplied { to, reply } => {
                self.on_progress_replied(to, reply);
            }
            event::PeerEvent::ReleaseFetched { reply } => self.on_release_fetched(reply),
        }
    }

    fn on_datagram(&mut self, from: SocketAddr, datagram: &peer::Datagram) {
        self.timeline.observe(datagram.sent_at_ms);
        let wall_ms = self.wall.as_millis() as u64;
        let outgoing = self.membership.receive(self.now, wall_ms, from, datagram);
        self.send_datagrams(outgoing);
    }

    fn send_datagrams(&mut self, outgoing: Vec<membership::Outgoing>) {
        let sent_at_ms = self.wall.as_millis() as u64;
        for membership::Outgoing { to, mut datagram } in outgoing {
            datagram.sent_at_ms = sent_at_ms;
            self.act(action::Action::SendDatagram { to, datagram: Box::new(datagram) });
        }
    }

    /// Tries the entry instances of the platform's list and the seeds of the settings.
    pub(crate) fn join_listed(&mut self, list: &event::InstanceList) {
        let is_running = |instance: &&event::Instance| {
            matches!(instance.state, event::InstanceState::Live | event::InstanceState::Leaving)
        };
        let mut addresses: Vec<SocketAddr> = list
            .instances
            .iter()
            .filter(is_running)
            .filter_map(|instance| instance.peer_address)
            .chain(self.config.seeds.iter().copied())
            .filter(|address| *address != self.config.peer_address)
            .collect();
        addresses.sort();
        addresses.dedup();
        self.membership.join(self.now, &addresses);
    }

    pub(crate) fn tell_release_version(&mut self, version: id::Version) {
        self.membership.set_release_version(version);
    }

    pub(crate) fn tick_peers(&mut self) {
        let outgoing = self.membership.tick(self.now);
        self.send_datagrams(outgoing);
        for change in self.membership.changes() {
            let message = format!(
                "{} in {} is {:?}: {}",
                change.name, change.data_centre, change.kind, change.why
            );
            self.report(action::LogLevel::Info, "peer.changed", message);
        }
        self.membership.fresh();
        self.follow_release();
    }

    pub(crate) fn peers_alive(&self) -> usize {
        self.membership.running().count()
    }

    pub(crate) fn kept_copies(&self) -> usize {
        0
    }

    fn on_release_fetch(&mut self, rpc: event::RpcId) {
        let release = self.log.release().cloned();
        let covered_offset = self.log.covered();
        let reply = peer::ReleaseReply { release, covered_offset };
        let reply = event::Reply::Release(Box::new(reply));
        self.act(action::Action::Reply { rpc, reply });
    }

    fn on_release_fetched(&mut self, reply: Option<Box<peer::ReleaseReply>>) {
        self.platform.is_fetching = false;
        let Some(reply) = reply else { return };
        let Some(release) = reply.release else { return };
        let before = self.log.version();
        self.log.adopt(release, reply.covered_offset);
        let version = self.log.version();
        if version != before {
            let message = format!("version {version} is in force, by another node's copy");
            self.report(action::LogLevel::Info, "release.in_force", message);
            self.on_new_release();
        }
    }

    /// Fetches the release from another node where it knows a higher version, or this one none.
    pub(crate) fn follow_release(&mut self) {
        if self.membership.heard_version() <= self.log.version() {
            self.platform.behind_since = None;
            return;
        }
        self.platform.behind_since.get_or_insert(self.now);
        if self.platform.is_fetching || self.now < self.platform.next_fetch {
            return;
        }
        let nodes = self.running_nodes();
        if nodes.is_empty() {
            return;
        }
        self.platform.fetches += 1;
        let to = nodes[self.platform.fetches as usize % nodes.len()];
        self.platform.is_fetching = true;
        self.platform.next_fetch = self.now + FETCH_INTERVAL;
        self.act(action::Action::FetchRelease { to });
    }

    fn running_nodes(&self) -> Vec<action::PeerAddress> {
        let running = self.membership.running();
        let addresses = running.filter_map(|known| {
            let address = known.record.peer_address.parse().ok()?;
            Some(action::PeerAddress { node: known.record.node, address })
        });
        addresses.collect()
    }

    fn on_store(&mut self, _rpc: event::RpcId, _call: peer::StoreCall) {}

    fn on_progress_call(&mut self, _rpc: event::RpcId, _call: peer::ProgressCall) {}

    fn on_find(&mut self, rpc: event::RpcId, call: &peer::FindCall) {
        let mut reply = peer::FindReply::default();
        let held =
            call.request.parse().ok().and_then(|request: id::RequestId| self.models.get(&request));
        if let Some(held) = held {
            reply.set_state(peer::FindState::Held);
            reply.record = Some(held.record.clone());
        }
        let reply = event::Reply::Find(Box::new(reply));
        self.act(action::Action::Reply { rpc, reply });
    }

    fn on_store_replied(
        &mut self,
        _to: id::NodeId,
        _requests: &[id::RequestId],
        _reply: Option<peer::StoreReply>,
    ) {
    }

    fn on_progress_replied(&mut self, _to: id::NodeId, _reply: Option<peer::ProgressReply>) {}

    /// Gives a request's record to another node.
    pub(crate) fn keep_copy(&mut self, request: id::RequestId) {
        if let Some(held) = self.models.get_mut(&request) {
            held.is_kept = true;
            self.counters.single_copy += 1;
        }
    }

    pub(crate) fn keep_progress(&mut self, _request: id::RequestId, _mark: &node_model::Mark) {}

    pub(crate) fn keep_finish(&mut self, _request: id::RequestId, _finish: peer::Finish) {}

    pub(crate) fn forget_copy(&mut self, _request: id::RequestId) {}

    pub(crate) fn on_taken(&mut self, _request: id::RequestId) {}

    pub(crate) fn nodes_to_ask(&self, _request: id::RequestId) -> Vec<action::PeerAddress> {
        self.running_nodes().into_iter().take(MAX_ASKED).collect()
    }
}
