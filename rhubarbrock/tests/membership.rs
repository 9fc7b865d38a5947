//! Failure detector under loss, delay, duplication and reordering of datagrams, and under pauses and
//! crashes of nodes.

mod network;

use std::collections::BTreeSet;
use std::time::Duration;

use network::{Faults, Fleet};
use rhubarbrock::membership::{ChangeKind, ChangeReason, State};
use rhubarbrock::{digest, rendezvous, suspicion, watch};
use rhubarbrock_schema::peer;

const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const SUSPICION_UNIT: Duration = Duration::from_millis(600);

/// Maximum time until all of `nodes` nodes have declared a killed one dead: two rounds of probes, the
/// probe itself, the maximum suspicion timeout, and one probe interval of gossip for each doubling of
/// the number of nodes.
fn detection_bound(nodes: usize) -> Duration {
    let gossip = PROBE_INTERVAL * (usize::BITS - nodes.leading_zeros());
    PROBE_INTERVAL * (2 * nodes as u32 + 1) + suspicion::max_timeout(SUSPICION_UNIT, nodes) + gossip
}

#[test]
fn nodes_join_by_one_live_and_one_stale_address() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(8, seed, Faults::none());
        fleet.join_all_by_first();
        fleet.run(Duration::from_secs(20));
        for node in 0..8 {
            assert_eq!(fleet.alive_at(node).len(), 7, "seed {seed}, node {node}");
        }
    }
}

#[test]
fn does_not_suspect_nodes_that_answer_in_time() {
    for seed in 0..20 {
        let mut fleet = Fleet::joined(8, seed);
        fleet.faults = Faults { delay_ms: 1..150, duplicated_percent: 10, ..Faults::none() };
        fleet.run(Duration::from_secs(300));
        assert_eq!(fleet.count(ChangeKind::Suspected), 0, "seed {seed}");
        assert_eq!(fleet.count(ChangeKind::Dead), 0, "seed {seed}");
    }
}

#[test]
fn all_nodes_declare_killed_node_dead_within_bound() {
    for seed in 0..40 {
        let nodes = 3 + (seed % 6) as usize;
        let mut fleet = Fleet::joined(nodes, seed);
        fleet.faults = Faults { delay_ms: 1..150, lost_percent: 10, duplicated_percent: 10 };
        fleet.kill(0);
        fleet.run(detection_bound(nodes));
        for node in 1..nodes {
            let state = fleet.state_at(node, 0);
            assert_eq!(state, Some(State::Dead), "seed {seed}, node {node} of {nodes}");
        }
    }
}

#[test]
fn all_nodes_alive_after_short_pauses_and_loss() {
    let mut suspected = 0;
    let mut dead = 0;
    for seed in 0..20 {
        let mut fleet = Fleet::joined(8, seed);
        fleet.faults = Faults { delay_ms: 1..150, lost_percent: 10, ..Faults::none() };
        for round in 0..6 {
            fleet.pause(round % 8, Duration::from_millis(1_900));
            fleet.run(Duration::from_secs(10));
        }
        suspected += fleet.count(ChangeKind::Suspected);
        dead += fleet.count(ChangeKind::Dead);
        fleet.faults = Faults::none();
        fleet.run(Duration::from_secs(60));
        for node in 0..8 {
            assert_eq!(fleet.alive_at(node).len(), 7, "seed {seed}, node {node}");
        }
    }
    println!("20 seeds x 8 nodes x 60 s, 10% lost: {suspected} suspicions, {dead} false deaths");
}

#[test]
fn resumed_node_accuses_no_other_and_rejoins() {
    for seed in 0..20 {
        let mut fleet = Fleet::joined(6, seed);
        fleet.run(Duration::from_millis(50) * (seed as u32 + 1));
        fleet.pause(2, Duration::from_secs(60));
        fleet.run(Duration::from_secs(59));
        assert_eq!(fleet.state_at(0, 2), Some(State::Dead), "seed {seed}");
        let before = fleet.count(ChangeKind::Dead);
        fleet.run(Duration::from_secs(61));
        assert_eq!(fleet.count(ChangeKind::Dead), before, "seed {seed}");
        let accuses =
            fleet.changes[2].iter().any(|change| change.reason == ChangeReason::ProbeFailed);
        assert!(!accuses, "seed {seed}");
        for node in 0..6 {
            assert_eq!(fleet.alive_at(node).len(), 5, "seed {seed}, node {node}");
        }
    }
}

#[test]
fn regions_rejoin_after_partition() {
    for seed in 0..10 {
        let mut fleet = Fleet::joined(8, seed);
        fleet.clear_join_addresses();
        fleet.partition(&[0, 1, 2]);
        fleet.run(Duration::from_secs(240));
        assert_eq!(fleet.alive_at(0).len(), 2, "seed {seed}");
        assert_eq!(fleet.alive_at(7).len(), 4, "seed {seed}");
        fleet.partition(&[]);
        fleet.run(Duration::from_secs(120));
        for node in 0..8 {
            assert_eq!(fleet.alive_at(node).len(), 7, "seed {seed}, node {node}");
        }
    }
}

#[test]
fn restarted_process_replaces_old_one_immediately() {
    for seed in 0..20 {
        let mut fleet = Fleet::joined(5, seed);
        let old = fleet.id(3);
        fleet.restart(3);
        fleet.run(PROBE_INTERVAL * 3);
        let new = fleet.id(3);
        for node in [0, 1, 2, 4] {
            let reason = fleet.changes[node]
                .iter()
                .find(|change| change.node == old && change.kind == ChangeKind::Dead)
                .map(|change| change.reason);
            let is_reported = matches!(reason, Some(ChangeReason::ReceivedFrom { .. }));
            assert!(
                is_reported || reason == Some(ChangeReason::Replaced { by: new }),
                "seed {seed}: {reason:?}"
            );
        }
    }
}

#[test]
fn replayed_datagrams_do_not_revive_dead_node() {
    for seed in 0..20 {
        let mut fleet = Fleet::joined(6, seed);
        let old_datagrams = fleet.sent_packets();
        fleet.kill(1);
        fleet.run(detection_bound(6));
        let joins = fleet.count(ChangeKind::Joined);
        fleet.replay(&old_datagrams);
        fleet.run(Duration::from_secs(30));
        assert_eq!(fleet.count(ChangeKind::Joined), joins, "seed {seed}");
        for node in [0, 2, 3, 4, 5] {
            assert_eq!(fleet.state_at(node, 1), Some(State::Dead), "seed {seed}");
        }
    }
}

#[test]
fn leave_reaches_all_nodes_and_stop_needs_no_suspicion() {
    for seed in 0..20 {
        let mut fleet = Fleet::joined(8, seed);
        fleet.leave(4);
        fleet.run(PROBE_INTERVAL * 6);
        for node in (0..8).filter(|&node| node != 4) {
            assert!(fleet.known(node, 4).is_some_and(|known| known.leaving), "seed {seed}");
        }
        fleet.stop(4);
        fleet.run(PROBE_INTERVAL * 6);
        for node in (0..8).filter(|&node| node != 4) {
            assert_eq!(fleet.state_at(node, 4), Some(State::Dead), "seed {seed}");
        }
        let timed_out = fleet
            .changes
            .iter()
            .flatten()
            .any(|change| change.reason == ChangeReason::SuspicionExpired);
        assert!(!timed_out, "seed {seed}");
    }
}

#[test]
fn keeps_datagrams_within_size_and_rate_limits() {
    let mut fleet = Fleet::joined(8, 1);
    for endpoint in 1..=600 {
        fleet.observe_load(0, endpoint, 1);
    }
    fleet.sent_bytes = 0;
    fleet.largest_bytes = 0;
    fleet.run(Duration::from_secs(60));
    assert!(fleet.largest_bytes <= 1_200 - 32, "{} bytes", fleet.largest_bytes);
    let per_node = fleet.sent_bytes / 60 / 8;
    assert!(per_node <= 3_000 / 2, "{per_node} bytes/s sent by a node");
}

#[test]
fn drops_stale_misaddressed_and_malformed_datagrams() {
    let mut fleet = Fleet::joined(3, 1);
    let mut ping = fleet.ping_from(1, 0);
    ping.sent_at_ms -= 60_000;
    assert!(fleet.deliver(0, fleet.address(1), &ping).is_empty());
    assert_eq!(fleet.node(0).counters().stale, 1);
    ping.sent_at_ms += 60_000;
    assert!(fleet.deliver(0, fleet.address(2), &ping).is_empty());
    assert_eq!(fleet.node(0).counters().wrong_address, 1);
    ping.sender = 0;
    assert!(fleet.deliver(0, fleet.address(1), &ping).is_empty());
    assert_eq!(fleet.node(0).counters().malformed, 1);
}

#[test]
fn digest_items_reach_all_nodes_and_older_ones_are_ignored() {
    let mut fleet = Fleet::joined(8, 3);
    fleet.observe_load(0, 70, 5);
    fleet.run(PROBE_INTERVAL * 10);
    let now = fleet.now();
    for node in 0..8 {
        let load =
            fleet.node(node).digest_store().load(now, 70).expect("the load reaches all nodes");
        assert_eq!(load.sequence, 5);
        assert!(load.age_ms <= 10_100);
        let older = peer::EndpointLoad { endpoint: 70, sequence: 4, ..Default::default() };
        assert!(!fleet.node(node).digest_store().put(now, digest::Item::Load(older)));
    }
}

#[test]
fn digest_store_is_bounded_and_expires_items() {
    let mut store = digest::DigestStore::new(100);
    for endpoint in 1..=1_000 {
        let load = peer::EndpointLoad { endpoint, sequence: 1, ..Default::default() };
        assert!(store.put(Duration::ZERO, digest::Item::Load(load)));
        assert!(store.len() <= 100);
    }
    store.expire(Duration::from_secs(3_600));
    assert!(store.is_empty());
}

#[test]
fn endpoint_has_watcher_inside_and_outside_its_data_centre() {
    let mut fleet = Fleet::joined(8, 5);
    for endpoint in 1..50 {
        let chosen = watch::watchers(fleet.node(0), endpoint, "dc1");
        let all: Vec<_> =
            (0..8).map(|node| watch::watchers(fleet.node(node), endpoint, "dc1")).collect();
        assert!(all.iter().all(|other| *other == chosen), "endpoint {endpoint}");
        let near: BTreeSet<_> = [1, 4, 7].map(|node| fleet.id(node)).into();
        assert_eq!(chosen.len(), 2);
        assert!(near.contains(&chosen[0]));
        assert!(!near.contains(&chosen[1]));
    }
    assert_eq!(watch::watchers(fleet.node(0), 1, "elsewhere").len(), 2);
}

#[test]
fn rendezvous_moves_only_keys_of_removed_node() {
    let nodes: Vec<u64> = (1..=9).collect();
    for key in 0..200 {
        let before = rendezvous::top(key, nodes.iter().copied(), 1)[0];
        let after = rendezvous::top(key, nodes.iter().copied().filter(|&node| node != 9), 1)[0];
        assert!(before == 9 || before == after);
    }
}

#[test]
fn sends_digest_items_while_many_nodes_join() {
    let mut fleet = Fleet::new(2, 1, Faults::none());
    let mut digest = peer::Digest::default();
    for index in 0..60 {
        digest.members.push(network::record(10 + index, 1_000 + index as u64, 1));
    }
    let mut ping = fleet.ping_from(1, 0);
    ping.digest = Some(digest);
    fleet.deliver(0, fleet.address(1), &ping);
    fleet.observe_load(0, 70, 1);
    let now = fleet.now();
    let sent = fleet.node(0).tick(now);
    let digests: Vec<_> = sent.iter().filter_map(|out| out.datagram.digest.as_ref()).collect();
    assert!(digests.iter().any(|digest| digest.members.len() > 4), "{digests:?}");
    assert!(digests.iter().any(|digest| digest.loads.len() == 1), "{digests:?}");
}

#[test]
fn limits_resending_of_frequently_changing_load() {
    let mut store = digest::DigestStore::new(100);
    let mut put_and_fill = |sequence, now| {
        let load = peer::EndpointLoad { endpoint: 1, sequence, ..Default::default() };
        assert!(store.put(now, digest::Item::Load(load)));
        let mut digest = peer::Digest::default();
        store.fill(now, &mut digest, 1_000, 1);
        digest.loads.first().map(|load| load.sequence)
    };
    assert_eq!(put_and_fill(1, Duration::ZERO), Some(1));
    assert_eq!(put_and_fill(2, digest::RESEND_INTERVAL_PER_LOAD / 2), None);
    assert_eq!(put_and_fill(3, digest::RESEND_INTERVAL_PER_LOAD), Some(3));
}
