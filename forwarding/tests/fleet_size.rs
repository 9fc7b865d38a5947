//! Reports between gateways at fleet sizes from a few to several hundred.

mod support;

use std::time::Duration;

use forwarding::peers::Peers;
use forwarding::report_schedule::{self, Schedule};
use rhubarbrock_schema::gossip;
use support::{ms, settings};

const FLEET_SIZES: [u32; 5] = [7, 80, 188, 295, 390];

/// Limit on the datagrams that an instance with 0.12 cores receives per second.
const MAX_DATAGRAMS_PER_S: f64 = 350.0;

/// Data centres of the gateways, in turn.
const DATA_CENTRES: [&str; 5] = ["north", "east", "west", "south", "centre"];

/// Delivers the reports of `gateways - 1` others to a gateway in the first data centre, except one
/// report in ten. The first `readers` of them read the store and the first one holds the lease.
fn simulate(gateways: u32, readers: u32, duration: Duration) -> (Peers, Duration) {
    let schedule = Schedule::new(gateways - 1, gateways / 5);
    let mut peers = Peers::default();
    let mut now = Duration::ZERO;
    let mut due: Vec<Duration> = (0..gateways - 1).map(|index| ms(u64::from(index % 97))).collect();
    let mut sequence = 0;
    while now < duration {
        for (index, due) in due.iter_mut().enumerate() {
            if now < *due {
                continue;
            }
            let is_reader = (index as u32) < readers;
            let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
            let is_near = data_centre == DATA_CENTRES[0];
            let interval = if is_near { schedule.near } else { schedule.far };
            let is_brief =
                report_schedule::sends_brief_reports(is_reader, index == 0, index as u32);
            let interval = if is_brief { interval.min(schedule.brief) } else { interval };
            *due = now + interval;
            sequence += 1;
            if sequence % 10 == 0 {
                continue;
            }
            let report = gossip::Report {
                name: format!("edge-{index:03}"),
                sequence,
                reads_entries: is_reader,
                holds_lease: index == 0,
                interval_ms: interval.as_millis() as u32,
                data_centre: data_centre.to_owned(),
                is_brief,
                ..gossip::Report::default()
            };
            let address = format!("127.0.0.1:{}", 1_000 + index).parse().unwrap();
            peers.on_report(now, now, address, report);
        }
        now += ms(10);
    }
    (peers, now)
}

/// A gateway that reports counts as live at every fleet size; otherwise every gateway reads the
/// store itself, and nobody knows who holds the lease.
#[test]
fn reporting_gateways_count_as_live() {
    for gateways in FLEET_SIZES {
        let (peers, now) = simulate(gateways, 3, Duration::from_secs(8));
        assert_eq!(peers.live_gateway_count(now), gateways, "of {gateways}");
        assert_eq!(peers.fresh_readers(now, settings("z").bounds.freshness()), 3);
        assert!(peers.has_lease_holder(now));
        assert_eq!(peers.name_rank(now, "edge-999"), gateways - 1);
    }
}

#[test]
fn silent_lease_holder_is_noticed_within_two_seconds() {
    for gateways in FLEET_SIZES {
        let (peers, now) = simulate(gateways, 3, Duration::from_secs(4));
        assert!(!peers.has_lease_holder(now + Duration::from_secs(2)), "{gateways} gateways");
        assert_eq!(peers.fresh_readers(now + Duration::from_secs(2), ms(9_000)), 0);
    }
}

#[test]
fn datagrams_per_gateway_stay_within_limit() {
    for gateways in FLEET_SIZES {
        let peers = gateways - 1;
        let schedule = Schedule::new(peers, gateways / 5);
        let per_s = |interval: Duration| 1.0 / interval.as_secs_f64();
        // In an outage of the store all gateways are readers.
        let brief_senders = (0..peers)
            .filter(|&rank| report_schedule::sends_brief_reports(true, rank == 0, rank))
            .count();
        let near = f64::from(gateways / 5);
        let datagrams_per_s = near * per_s(schedule.near)
            + (f64::from(peers) - near) * per_s(schedule.far)
            + brief_senders as f64 * per_s(schedule.brief);
        assert!(datagrams_per_s <= MAX_DATAGRAMS_PER_S, "{gateways}: {datagrams_per_s}");
    }
}

/// The lease holder's link carries the usage of the whole fleet.
#[test]
fn usage_reaches_lease_holder_before_its_window_is_settled() {
    for gateways in FLEET_SIZES {
        let schedule = Schedule::new(gateways - 1, gateways / 5);
        assert!(f64::from(gateways) / schedule.duties.as_secs_f64() <= MAX_DATAGRAMS_PER_S);
        assert!(schedule.settling_delay() >= 3 * schedule.duties);
        assert!(schedule.settling_delay() < settings("z").bounds.usage_window);
    }
}

#[test]
fn brief_report_keeps_loads_and_demands() {
    let address = "127.0.0.1:7".parse().unwrap();
    let full = gossip::Report {
        name: "a".to_owned(),
        sequence: 1,
        loads: vec![gossip::EndpointLoad {
            endpoint: "e".to_owned(),
            requests: 3,
            waiting_tokens: 50,
        }],
        demands: vec![gossip::Demand {
            organisation: "acme".to_owned(),
            units_per_s: 7,
            spent_units: 100,
        }],
        suspects: vec![gossip::Suspect {
            fingerprint: 9,
            breaks: vec![gossip::Break { endpoint: 4, age_ms: 200 }],
            finished_age_ms: None,
            refused_age_ms: Some(100),
        }],
        ..gossip::Report::default()
    };
    let mut peers = Peers::default();
    peers.on_report(ms(1_000), ms(1_000), address, full.clone());
    let brief = gossip::Report {
        name: "a".to_owned(),
        sequence: 2,
        is_brief: true,
        release_version: 5,
        ..gossip::Report::default()
    };
    peers.on_report(ms(1_300), ms(1_300), address, brief);
    assert_eq!(peers.newest_release_version(), 5);
    assert_eq!(peers.loads(ms(1_300))["e"].requests, 3);
    assert_eq!(peers.suspects()[&9][0].breaks, [(4, ms(800))]);
    let spent = gossip::Demand { spent_units: 130, ..full.demands[0].clone() };
    assert_eq!(peers.request_refusals()[&9], ms(900), "a brief report must not make it later");
    let third = gossip::Report { sequence: 3, demands: vec![spent], ..full };
    peers.on_report(ms(1_600), ms(1_600), address, third);
    let demand = peers.demands(ms(1_600))["acme"];
    assert_eq!((demand.units_per_s, demand.spent_units), (7.0, 30.0));
}

/// A gateway that has just started may hear a brief report first. What the sender spent before is
/// not recent spending.
#[test]
fn brief_report_first_adds_no_earlier_spending() {
    let address = "127.0.0.1:7".parse().unwrap();
    let report = |sequence, is_brief, spent_units| gossip::Report {
        name: "a".to_owned(),
        sequence,
        is_brief,
        demands: if is_brief {
            Vec::new()
        } else {
            vec![gossip::Demand { organisation: "acme".to_owned(), units_per_s: 7, spent_units }]
        },
        ..gossip::Report::default()
    };
    let mut peers = Peers::default();
    peers.on_report(ms(0), ms(0), address, report(1, true, 0));
    peers.on_report(ms(300), ms(300), address, report(2, true, 0));
    peers.on_report(ms(600), ms(600), address, report(3, false, 900_000));
    assert_eq!(peers.demands(ms(600))["acme"].spent_units, 0.0);
    peers.on_report(ms(900), ms(900), address, report(4, true, 0));
    peers.on_report(ms(1_200), ms(1_200), address, report(5, false, 900_040));
    assert_eq!(peers.demands(ms(1_200))["acme"].spent_units, 40.0);
}
