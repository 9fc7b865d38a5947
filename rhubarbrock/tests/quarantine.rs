//! Tests of the quarantine of requests that crash endpoints.

use std::time::Duration;

use proofs::poison_simulation;
use rhubarbrock::quarantine::{Config, Quarantine, Status};
use rhubarbrock_schema::peer;

const POISON: u64 = 7;
const CO_BATCHED: u64 = 8;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn bounds_lost_endpoints_and_answers_co_batched_requests() {
    for seed in 0..40 {
        if let Err(violation) = poison_simulation::run(seed, 3_000) {
            panic!("{violation}");
        }
    }
}

#[test]
fn clears_co_batched_request_and_quarantines_poison_request() {
    let mut quarantine = Quarantine::new(Config::default());
    assert!(quarantine.on_crash(at(1), 1, &[POISON, CO_BATCHED]).is_empty());
    assert!(
        !quarantine.may_place(at(2), CO_BATCHED, &[POISON]),
        "a suspect may run beside another"
    );
    assert!(quarantine.may_place(at(2), CO_BATCHED, &[99]));
    quarantine.on_finished(at(3), CO_BATCHED);
    assert_eq!(quarantine.status(at(3), CO_BATCHED), Status::Unrestricted);
    assert_eq!(quarantine.on_crash(at(4), 2, &[POISON]), [POISON]);
    assert!(!quarantine.may_place(at(5), POISON, &[]));
}

#[test]
fn quarantines_neither_of_two_suspects_with_the_same_crashes() {
    let mut quarantine = Quarantine::new(Config::default());
    quarantine.on_crash(at(1), 1, &[POISON, CO_BATCHED]);
    assert!(quarantine.on_crash(at(9), 2, &[POISON, CO_BATCHED]).is_empty());
    assert_eq!(quarantine.status(at(9), CO_BATCHED), Status::Suspect);
}

#[test]
fn counts_crash_of_one_endpoint_once() {
    let mut quarantine = Quarantine::new(Config::default());
    quarantine.on_crash(at(1), 1, &[POISON]);
    assert!(quarantine.on_crash(at(2), 1, &[POISON]).is_empty());
}

#[test]
fn doubles_quarantine_after_crash_that_follows_it() {
    let config = Config::default();
    let initial_quarantine = config.initial_quarantine;
    let mut quarantine = Quarantine::new(config);
    quarantine.on_crash(at(1), 1, &[POISON]);
    quarantine.on_crash(at(10), 2, &[POISON]);
    let until = at(10) + initial_quarantine;
    assert_eq!(quarantine.status(at(10), POISON), Status::Quarantined { until });
    assert_eq!(quarantine.status(until, POISON), Status::Suspect);
    assert_eq!(quarantine.on_crash(until, 3, &[POISON]), [POISON]);
    let later = until + initial_quarantine * 2;
    assert_eq!(quarantine.status(until, POISON), Status::Quarantined { until: later });
    quarantine.on_finished(later, POISON);
    assert_eq!(quarantine.status(later, POISON), Status::Unrestricted);
}

#[test]
fn makes_no_suspects_of_correlated_crashes() {
    let mut quarantine = Quarantine::new(Config::default());
    for endpoint in 1..=5 {
        quarantine.on_crash(at(1), endpoint, &[endpoint * 10, endpoint * 10 + 1]);
    }
    assert_eq!(quarantine.suspects(), 0);
}

#[test]
fn peers_learn_of_crashes_but_not_of_cleared_suspects() {
    let mut first = Quarantine::new(Config::default());
    let mut second = Quarantine::new(Config::default());
    first.on_crash(at(1), 1, &[POISON, CO_BATCHED]);
    second.on_peer_suspects(at(2), &first.digest(at(2), 16));
    assert_eq!(second.status(at(2), POISON), Status::Suspect);
    assert_eq!(second.on_crash(at(3), 2, &[POISON]), [POISON]);
    second.on_finished(at(4), CO_BATCHED);
    second.on_peer_suspects(at(5), &first.digest(at(5), 16));
    assert_eq!(second.status(at(5), CO_BATCHED), Status::Unrestricted);
    first.on_peer_suspects(at(6), &second.digest(at(6), 1));
    assert!(matches!(first.status(at(6), POISON), Status::Quarantined { .. }));
}

#[test]
fn bounds_suspects_for_any_reports() {
    type Report = (u8, [u8; 3], bool, u16);
    let config = Config { max_suspects: 4, ..Config::default() };
    bolero::check!().with_type::<[Report; 32]>().with_iterations(1_000).for_each(|reports| {
        let mut quarantine = Quarantine::new(config.clone());
        for (now, &(fingerprint, endpoints, quarantined, age_ms)) in (1..).zip(reports) {
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

/// Returns a state in which `CO_BATCHED` crashed these endpoints, with a hold of 2 s.
fn with_hold(crashes: &[u64]) -> Quarantine {
    let hold_time = Duration::from_secs(2);
    let mut quarantine = Quarantine::new(Config { hold_time, ..Config::default() });
    for (second, &endpoint) in crashes.iter().enumerate() {
        assert!(quarantine.on_crash(at(second as u64), endpoint, &[CO_BATCHED]).is_empty());
    }
    quarantine
}

#[test]
fn holds_suspect_before_quarantine() {
    let mut quarantine = with_hold(&[1, 2]);
    assert_eq!(quarantine.status(at(1), CO_BATCHED), Status::OnHold { until: at(3) });
    assert!(!quarantine.may_place(at(1), CO_BATCHED, &[]));
    assert!(quarantine.tick(at(2)).is_empty());
    assert_eq!(quarantine.tick(at(3)), [CO_BATCHED]);
    assert!(matches!(quarantine.status(at(3), CO_BATCHED), Status::Quarantined { .. }));
}

#[test]
fn releases_held_suspect_when_peer_reports_poison_request() {
    let mut quarantine = with_hold(&[1, 2]);
    let poison = peer::Suspect {
        fingerprint: POISON,
        crashed_endpoints: vec![1, 2, 3],
        quarantined: true,
        age_ms: 0,
    };
    quarantine.on_peer_suspects(at(2), &[poison]);
    assert!(quarantine.tick(at(3)).is_empty());
    assert_eq!(quarantine.status(at(3), CO_BATCHED), Status::Suspect);
    assert!(quarantine.may_place(at(3), CO_BATCHED, &[]));
}
