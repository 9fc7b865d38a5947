//! Agreement of the gateways on the first era of the store, without which a lease that has no record
//! may have been lost in a restoration.

use std::time::Duration;

use forwarding::peers::Peers;
use rhubarbrock_schema::gossip;

fn hear(peers: &mut Peers, name: &str, port: u16, first_store_era: Option<u64>) {
    let report = gossip::Report {
        name: name.to_owned(),
        sequence: 1,
        interval_ms: 100,
        first_store_era,
        ..gossip::Report::default()
    };
    peers.on_report(Duration::ZERO, Duration::ZERO, ([127, 0, 0, 1], port).into(), report);
}

#[test]
fn gateways_agree_if_all_are_heard_and_know_no_earlier_era() {
    assert!(Peers::default().agree_on_first_era(Duration::ZERO, 2));
    let cases = [(Some(2), true), (Some(1), false), (Some(3), false), (None, false)];
    for (other, agrees) in cases {
        let mut peers = Peers::default();
        hear(&mut peers, "g1", 1, Some(2));
        hear(&mut peers, "g2", 2, other);
        assert_eq!(peers.agree_on_first_era(Duration::ZERO, 2), agrees, "{other:?}");
        assert!(!peers.agree_on_first_era(Duration::from_secs(60), 2), "no report for a minute");
    }
}

#[test]
fn gateways_do_not_agree_while_a_registered_one_is_silent() {
    let mut peers = Peers::default();
    hear(&mut peers, "g1", 1, Some(2));
    peers.add_address(Duration::ZERO, ([127, 0, 0, 1], 9).into());
    assert!(!peers.agree_on_first_era(Duration::ZERO, 2));
}
