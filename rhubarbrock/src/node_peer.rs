//! A node's exchange with other nodes: membership, digests, releases and custody calls.

use std::net::SocketAddr;
use std::time::Duration;

use rhubarbrock_schema::peer;

use crate::node::Node;
use crate::{action, digest, endpoint, event, fairness, id, membership, placement};

/// Shortest time between two fetches of a release from other nodes.
const RELEASE_FETCH_INTERVAL: Duration = Duration::from_millis(300);

/// Largest number of suspects published at once.
const MAX_PUBLISHED_SUSPECTS: usize = 8;

/// Largest number of nodes asked for a request that this node does not know.
const MAX_QUERIED_NODES: usize = 16;

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
                self.push_action(action::Action::Reply { rpc, reply });
            }
            event::PeerEvent::Timeline { rpc, after, limit } => {
                let reply = event::Reply::Timeline(self.timeline.page(after, limit));
                self.push_action(action::Action::Reply { rpc, reply });
            }
            event::PeerEvent::StoreReplied { number, reply } => {
                let actions = self.custody.on_store_reply(self.now, number, reply.as_ref());
                self.perform_custody(actions);
            }
            event::PeerEvent::ProgressReplied { to, number, reply } => {
                let actions = self.custody.on_progress_reply(self.now, to, number, reply.as_ref());
                self.perform_custody(actions);
            }
            event::PeerEvent::ReleaseFetched { reply } => self.on_release_fetched(reply),
        }
    }

    fn on_datagram(&mut self, from: SocketAddr, datagram: &peer::Datagram) {
        self.timeline.observe(datagram.sent_at_ms);
        let wall_ms = self.unix_time.as_millis() as u64;
        let outgoing = self.membership.receive(self.now, wall_ms, from, datagram);
        self.send_datagrams(outgoing);
    }

    pub(crate) fn send_datagrams(&mut self, outgoing: Vec<membership::Outgoing>) {
        let sent_at_ms = self.unix_time.as_millis() as u64;
        for membership::Outgoing { to, mut datagram } in outgoing {
            datagram.sent_at_ms = sent_at_ms;
            self.push_action(action::Action::SendDatagram { to, datagram: Box::new(datagram) });
        }
    }

    /// Tries to join through the entry instances of the platform's list and the configured seeds.
    pub(crate) fn join_known_nodes(&mut self, list: &event::InstanceList) {
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
        self.membership.set_join_addresses(self.now, &addresses);
    }

    pub(crate) fn announce_release_version(&mut self, version: id::Version) {
        self.membership.set_release_version(version);
    }

    pub(crate) fn tick_peers(&mut self) {
        let outgoing = self.membership.tick(self.now);
        self.send_datagrams(outgoing);
        self.apply_membership_changes();
        self.apply_digest();
        self.fetch_newer_release();
    }

    fn apply_membership_changes(&mut self) {
        let changes = self.membership.take_changes();
        if changes.is_empty() {
            return;
        }
        for change in changes {
            if change.kind == membership::ChangeKind::Dead {
                self.dispatcher.fairness.on_node_gone(change.node);
            }
            let message = format!(
                "{} in {} is {:?}: {}",
                change.name, change.data_centre, change.kind, change.reason
            );
            self.log_event(action::LogLevel::Info, "peer.changed", message);
        }
        let places = placement::from_membership(&self.membership);
        let actions = self.custody.set_places(self.now, places);
        self.perform_custody(actions);
        self.watch_endpoints();
    }

    /// Applies what other nodes observed.
    fn apply_digest(&mut self) {
        for item in self.membership.take_new_items() {
            match item {
                digest::Item::Load(load) => self.on_peer_load(&load),
                digest::Item::Usage(usage) => self.on_peer_usage(&usage),
                digest::Item::Suspect(suspect) => self.on_peer_suspect(suspect),
            }
        }
    }

    fn on_peer_load(&mut self, load: &peer::EndpointLoad) {
        let was_leaving = self.is_endpoint_leaving(load.endpoint);
        let report = endpoint::LoadReport {
            sequence: load.sequence,
            running: load.running,
            waiting: load.waiting,
            kv_used_percent: load.kv_used_percent,
            queued_tokens: load.queued_tokens,
            leaving: load.leaving,
            age: Duration::from_millis(u64::from(load.age_ms)),
        };
        let router = &mut self.dispatcher.router;
        router.on_peer_load(self.now, load.endpoint, &report, load.unreachable);
        self.announce_leaving_endpoint(load.endpoint, was_leaving);
    }

    pub(crate) fn is_endpoint_leaving(&self, endpoint: id::EndpointId) -> bool {
        let known = self.dispatcher.router.endpoint(endpoint);
        known.is_some_and(|known| known.state(self.now) == endpoint::State::Leaving)
    }

    /// Sends at once that an endpoint is leaving, when this node first learns of it.
    pub(crate) fn announce_leaving_endpoint(
        &mut self,
        endpoint: id::EndpointId,
        was_leaving: bool,
    ) {
        if was_leaving || !self.is_endpoint_leaving(endpoint) {
            return;
        }
        let message = format!("endpoint {endpoint} reports that it is leaving");
        self.log_event(action::LogLevel::Info, "endpoint.leaving", message);
        let outgoing = self.membership.gossip_now(self.now);
        self.send_datagrams(outgoing);
    }

    fn on_peer_usage(&mut self, usage: &peer::OrganisationUsage) {
        let usages = [fairness::Usage {
            service: usage.service.clone(),
            organisation: usage.organisation.clone(),
            served_tokens: usage.served_tokens,
        }];
        self.dispatcher.fairness.on_remote_usage(usage.node, &usages);
    }

    /// Publishes what this node served and which requests are suspects.
    pub(crate) fn publish_digest(&mut self) {
        for usage in self.dispatcher.fairness.usages() {
            let item = peer::OrganisationUsage {
                node: self.config.node,
                service: usage.service,
                organisation: usage.organisation,
                served_tokens: usage.served_tokens,
                age_ms: 0,
            };
            self.membership.digest_store().put(self.now, digest::Item::Usage(item));
        }
        for suspect in self.quarantine.digest(self.now, MAX_PUBLISHED_SUSPECTS) {
            self.membership.digest_store().put(self.now, digest::Item::Suspect(suspect));
        }
    }

    /// Whether a node of another data centre, which can keep backup copies, is known to run.
    pub(crate) fn knows_other_data_centre(&self) -> bool {
        let mut running = self.membership.running();
        running.any(|known| known.record.data_centre != self.config.data_centre)
    }

    pub(crate) fn peers_alive(&self) -> usize {
        self.membership.running().count()
    }

    fn on_release_fetch(&mut self, rpc: event::RpcId) {
        let release = self.log.release().cloned();
        let covered_offset = self.log.covered_offset();
        let reply = peer::ReleaseReply { release, covered_offset };
        let reply = event::Reply::Release(Box::new(reply));
        self.push_action(action::Action::Reply { rpc, reply });
    }

    fn on_release_fetched(&mut self, reply: Option<Box<peer::ReleaseReply>>) {
        self.platform.is_fetching = false;
        let Some(reply) = reply else { return };
        let Some(release) = reply.release else { return };
        let before = self.log.version();
        self.log.adopt(release, reply.covered_offset);
        let version = self.log.version();
        if version != before {
            let message = format!("version {version} is in force, fetched from another node");
            self.log_event(action::LogLevel::Info, "release.in_force", message);
            self.on_new_release();
        }
    }

    /// Fetches the release from another node if a version above this node's is known.
    pub(crate) fn fetch_newer_release(&mut self) {
        if self.membership.newest_release_version() <= self.log.version() {
            self.platform.release_behind_since = None;
            return;
        }
        self.platform.release_behind_since.get_or_insert(self.now);
        if self.platform.is_fetching || self.now < self.platform.next_fetch_at {
            return;
        }
        let nodes = self.running_nodes();
        if nodes.is_empty() {
            return;
        }
        self.platform.fetch_count += 1;
        let to = nodes[self.platform.fetch_count as usize % nodes.len()];
        self.platform.is_fetching = true;
        self.platform.next_fetch_at = self.now + RELEASE_FETCH_INTERVAL;
        self.push_action(action::Action::FetchRelease { to });
    }

    fn running_nodes(&self) -> Vec<action::PeerAddress> {
        let running = self.membership.running();
        let addresses = running.filter_map(|known| {
            let address = known.record.peer_address.parse().ok()?;
            Some(action::PeerAddress { node: known.record.node, address })
        });
        addresses.collect()
    }

    /// Nodes to ask for a request that is not known here, in order of preference.
    pub(crate) fn nodes_to_ask(&self, request: id::RequestId) -> Vec<action::PeerAddress> {
        let nodes = self.custody.lookup_order(request).into_iter().take(MAX_QUERIED_NODES);
        nodes.filter_map(|node| self.peer_address(node)).collect()
    }

    /// Address at which a node takes calls; `None` if the node is no known member.
    pub(crate) fn peer_address(&self, node: id::NodeId) -> Option<action::PeerAddress> {
        let known = self.membership.member(node)?;
        let address = known.record.peer_address.parse().ok()?;
        Some(action::PeerAddress { node, address })
    }
}
