//! Requests that crash the endpoints that run them.

use std::time::Duration;

use proofs::poison_world;
use rhubarbrock::quarantine::{Config, Quarantine, Status};
use rhubarbrock_schema::peer;

const POISON: u64 = 7;
const MATE: u64 = 8;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn endpoints_lost_are_bounded_and_batch_mates_are_answered() {
    for seed in 0..40 {
        if let Err(violation) = poison_world::run(seed, 3_000) {
            panic!("{violation}");
        }
    }
}

#[test]
fn a_batch_mate_clears_itself_and_the_poisonous_request_is_quarantined() {
    let mut quarantine = Quarantine::new(Config::default());
    assert!(quarantine.on_crash(at(1), 1, &[POISON, MATE]).is_empty());
    assert!(!quarantine.may_place(at(2), MATE, &[POISON]), "suspects run apart");
    assert!(quarantine.may_place(at(2), MATE, &[99]));
    quarantine.on_finished(at(3), MATE);
    assert_eq!(quarantine.status(at(3), MATE), Status::Unrestricted);
    assert_eq!(quarantine.on_crash(at(4), 2, &[POISON]), [POISON]);
    assert!(!quarantine.may_place(at(5), POISON, &[]));
}

#[test]
fn crashes_that_two_suspects_share_quarantine_neither() {
    let mut quarantine = Quarantine::new(Config::default());
    quarantine.on_crash(at(1), 1, &[POISON, MATE]);
    assert!(quarantine.on_crash(at(9), 2, &[POISON, MATE]).is_empty());
    assert_eq!(quarantine.status(at(9), MATE), Status::Suspect);
}

#[test]
fn the_same_crash_told_twice_counts_once() {
    let mut quarantine = Quarantine::new(Config::default());
    quarantine.on_crash(at(1), 1, &[POISON]);
    assert!(quarantine.on_crash(at(2), 1, &[POISON]).is_empty());
}

#[test]
fn a_quarantine_ends_and_grows_with_each_further_crash() {
    let config = Config::default();
    let time = config.first_quarantine;
    let mut quarantine = Quarantine::new(config);
    quarantine.on_crash(at(1), 1, &[POISON]);
    quarantine.on_crash(at(10), 2, &[POISON]);
    let until = at(10) + time;
    assert_eq!(quarantine.status(at(10), POISON), Status::Quarantined { until });
    assert_eq!(quarantine.status(until, POISON), Status::Suspect);
    assert_eq!(quarantine.on_crash(until, 3, &[POISON]), [POISON]);
    let later = until + time * 2;
    assert_eq!(quarantine.status(until, POISON), Status::Quarantined { until: later });
    quarantine.on_finished(later, POISON);
    assert_eq!(quarantine.status(later, POISON), Status::Unrestricted);
}

#[test]
fn endpoints_that_crash_together_make_no_suspects() {
    let mut quarantine = Quarantine::new(Config::default());
    for endpoint in 1..=5 {
        quarantine.on_crash(at(1), endpoint, &[endpoint * 10, endpoint * 10 + 1]);
    }
    assert_eq!(quarantine.suspects(), 0);
}

#[test]
fn peers_learn_of_crashes_and_forget_what_was_cleared() {
    let mut here = Quarantine::new(Config::default());
    let mut there = Quarantine::new(Config::default());
    here.on_crash(at(1), 1, &[POISON, MATE]);
    there.on_peer_suspects(at(2), &here.digest(at(2), 16));
    assert_eq!(there.status(at(2), POISON), Status::Suspect);
    assert_eq!(there.on_crash(at(3), 2, &[POISON]), [POISON]);
    there.on_finished(at(4), MATE);
    there.on_peer_suspects(at(5), &here.digest(at(5), 16));
    assert_eq!(there.status(at(5), MATE), Status::Unrestricted);
    here.on_peer_suspects(at(6), &there.digest(at(6), 1));
    assert!(matches!(here.status(at(6), POISON), Status::Quarantined { .. }));
}

#[test]
fn any_news_keeps_the_table_bounded() {
    type News = (u8, [u8; 3], bool, u16);
    let config = Config { max_suspects: 4, ..Config::default() };
    bolero::check!().with_type::<[News; 32]>().with_iterations(1_000).for_each(|news| {
        let mut quarantine = Quarantine::new(config.clone());
        for (now, &(fingerprint, endpoints, quarantined, age_ms)) in (1..).zip(news) {
            let suspect = peer::Suspect {
                fingerprint: u64::from(fingerprint),
                crashed_endpoints: endpoints.map(u64::from).to_vec(),
                quarantined,
                age_ms: u32::from(age_ms),
            };
            quarantine.on_peer_suspects(at(now), &[suspect]);
            assert!(quarantine.suspects() <= 4);
        }
    });
}

/// A suspect that is held until the others' news must have come.
fn held(crashes: &[u64]) -> Quarantine {
    let hold_time = Duration::from_secs(2);
    let mut quarantine = Quarantine::new(Config { hold_time, ..Config::default() });
    for (second, &endpoint) in crashes.iter().enumerate() {
        assert!(quarantine.on_crash(at(second as u64), endpoint, &[MATE]).is_empty());
    }
    quarantine
}

#[test]
fn a_suspect_is_held_and_then_quarantined() {
    let mut quarantine = held(&[1, 2]);
    assert_eq!(quarantine.status(at(1), MATE), Status::OnHold { until: at(3) });
    assert!(!quarantine.may_place(at(1), MATE, &[]));
    assert!(quarantine.tick(at(2)).is_empty());
    assert_eq!(quarantine.tick(at(3)), [MATE]);
    assert!(matches!(quarantine.status(at(3), MATE), Status::Quarantined { .. }));
}

#[test]
fn a_mate_of_another_node_s_suspect_is_let_go_when_the_news_comes() {
    let mut quarantine = held(&[1, 2]);
    let poison = peer::Suspect {
        fingerprint: POISON,
        crashed_endpoints: vec![1, 2, 3],
        quarantined: true,
        age_ms: 0,
    };
    quarantine.on_peer_suspects(at(2), &[poison]);
    assert!(quarantine.tick(at(3)).is_empty());
    assert_eq!(quarantine.status(at(3), MATE), Status::Suspect);
    assert!(quarantine.may_place(at(3), MATE, &[]));
}
