//! Tests of the choice of the gateway that hands over a release.

mod support;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use forwarding::peers::Peers;
use rhubarbrock_schema::gossip;
use support::ms;

const DATA_CENTRES: [&str; 3] = ["north", "east", "west"];

/// Transfers that one gateway can complete in 1.5 s, half of the time in which a release must be in
/// force: one of a release with 1,400 routes takes 0.24 s on a link of 10 Mbit/s.
const MAX_REQUESTERS_PER_SOURCE: usize = 6;

fn name(index: usize) -> String {
    format!("edge-{index:03}")
}

fn address(index: usize) -> SocketAddr {
    format!("127.0.0.1:{}", 1_000 + index).parse().unwrap()
}

fn data_centre(index: usize) -> &'static str {
    DATA_CENTRES[index % DATA_CENTRES.len()]
}

/// Reports of gateways with the given release versions.
fn peers(versions: &[u64]) -> Peers {
    let mut peers = Peers::default();
    for (index, &release_version) in versions.iter().enumerate() {
        let report = gossip::Report {
            name: name(index),
            release_version,
            data_centre: data_centre(index).to_owned(),
            ..gossip::Report::default()
        };
        peers.on_report(Duration::ZERO, Duration::ZERO, address(index), report);
    }
    peers
}

/// Guards against all gateways that lack a release asking the same few, whose links are then too
/// slow for any transfer to complete.
#[test]
fn gateways_that_lack_a_release_spread_over_those_that_have_it() {
    for (holders, lacking) in [(44, 24), (6, 2), (200, 95)] {
        let versions: Vec<u64> =
            (0..holders + lacking).map(|index| (index < holders).into()).collect();
        let peers = peers(&versions);
        for round in 0..20 {
            let mut chosen: HashMap<SocketAddr, usize> = HashMap::new();
            for index in holders..holders + lacking {
                let sources =
                    peers.handover_sources(ms(100), &name(index), data_centre(index), round);
                *chosen.entry(sources[0]).or_default() += 1;
            }
            let most = chosen.values().copied().max().unwrap();
            assert!(most <= MAX_REQUESTERS_PER_SOURCE, "{most} of {lacking} in round {round}");
        }
    }
}

#[test]
fn newest_release_goes_before_the_own_data_centre() {
    let peers = peers(&[7, 7, 8, 8, 7, 0]);
    let sources = peers.handover_sources(ms(100), "edge-900", data_centre(0), 1);
    assert_eq!(sources.len(), 5, "a gateway without a release is no source");
    assert_eq!(sources[0], address(3), "the newest release in the own data centre");
    assert_eq!(sources[1], address(2));
    assert_eq!(sources[2], address(0));
}

#[test]
fn next_round_tries_another_source() {
    let peers = peers(&[1; 30]);
    let first = |round| peers.handover_sources(ms(100), "edge-900", "north", round)[0];
    let distinct: std::collections::BTreeSet<SocketAddr> = (0..8).map(first).collect();
    assert!(distinct.len() >= 4, "{distinct:?}");
}
