//! Probes of other nodes, in rounds and outside of them.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rhubarbrock_schema::peer;

use super::{Membership, Outgoing};
use crate::id;
use crate::member_table::{ChangeReason, State};
use crate::probe;

impl Membership {
    /// Detects a pause of this process. Drops the probes in flight and extends all suspicions, as
    /// answers and refutations may have been missed.
    pub(super) fn detect_pause(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_tick.unwrap_or(now));
        self.last_tick = Some(now);
        if gap > self.config.pause_threshold {
            self.counters.pauses += 1;
            self.probes.clear_outstanding();
            self.table.extend_suspicions(gap);
        }
    }

    pub(super) fn probe_next(&mut self, now: Duration) -> Option<Outgoing> {
        self.probes_sent += 1;
        let data_centre = &self.own_record.data_centre;
        let table = &self.table;
        let is_running = |node| table.get(node).is_some_and(|known| known.state != State::Dead);
        let all = || table.running().map(|known| known.record.node).collect::<Vec<_>>();
        let local = || {
            let running = table.running();
            let near = running.filter(|known| known.record.data_centre == *data_centre);
            near.map(|known| known.record.node).collect::<Vec<_>>()
        };
        let local_target = match self.probes_sent % 2 {
            0 => self.local_round.next(local, is_running, &mut self.rng),
            _ => None,
        };
        let target = match local_target {
            Some(node) => node,
            None => self.round.next(all, is_running, &mut self.rng)?,
        };
        let known = self.table.get(target).expect("a round gives nodes that run");
        let (to, incarnation) = (known.address, known.record.incarnation);
        let number = self.probes.start(probe::Outstanding {
            target,
            incarnation,
            indirect_at: now + self.config.probe_timeout,
            times_out_at: now + self.config.probe_interval,
            indirect_sent: false,
        });
        Some(self.ping(now, to, number, target, false))
    }

    pub(super) fn probe_indirectly(
        &mut self,
        now: Duration,
        number: probe::ProbeNumber,
        target: id::NodeId,
    ) -> Vec<Outgoing> {
        let others: Vec<(id::NodeId, SocketAddr)> = self
            .table
            .running()
            .filter(|known| known.state == State::Alive && known.record.node != target)
            .map(|known| (known.record.node, known.address))
            .collect();
        let count = self.config.indirect_probes;
        let chosen: Vec<(id::NodeId, SocketAddr)> =
            others.choose_multiple(&mut self.rng, count).copied().collect();
        let mut outgoing = Vec::new();
        for (node, to) in chosen {
            let mut request = self.datagram(peer::DatagramKind::PingRequest, number, target);
            self.fill(now, &mut request, node, false);
            outgoing.push(Outgoing { to, datagram: request });
        }
        outgoing
    }

    pub(super) fn on_probe_failed(
        &mut self,
        now: Duration,
        failed: &probe::Outstanding,
    ) -> Option<Outgoing> {
        self.counters.failed_probes += 1;
        let own_id = self.own_record.node;
        let known = self.table.get(failed.target)?;
        if known.record.incarnation != failed.incarnation {
            return None;
        }
        self.table.suspect(
            now,
            failed.target,
            failed.incarnation,
            own_id,
            ChangeReason::ProbeFailed,
        );
        self.ping_node(now, failed.target)
    }

    /// Pings a node outside of the rounds; if it is suspect or dead here, the ping says so.
    pub(super) fn ping_node(&mut self, now: Duration, node: id::NodeId) -> Option<Outgoing> {
        let to = self.table.get(node)?.address;
        let number = self.probes.next_number();
        Some(self.ping(now, to, number, node, false))
    }

    /// Pings a few nodes at once, for digest items that cannot wait for the next probe.
    pub fn gossip_now(&mut self, now: Duration) -> Vec<Outgoing> {
        let alive = self.table.running().filter(|known| known.state == State::Alive);
        let nodes: Vec<id::NodeId> = alive.map(|known| known.record.node).collect();
        let count = self.config.indirect_probes.max(1);
        let chosen: Vec<id::NodeId> =
            nodes.choose_multiple(&mut self.rng, count).copied().collect();
        chosen.into_iter().filter_map(|node| self.ping_node(now, node)).collect()
    }

    pub(super) fn ping_with_record(&mut self, now: Duration, node: id::NodeId) -> Option<Outgoing> {
        let to = self.table.get(node)?.address;
        let number = self.probes.next_number();
        Some(self.ping(now, to, number, node, true))
    }
}
