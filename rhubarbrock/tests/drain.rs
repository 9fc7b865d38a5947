//! Draining on a signal or a reclaim notice.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarbrock::drain::{Action, Config, Drain, Phase, RemainingWork};

const STREAM: RemainingWork =
    RemainingWork { model_requests: 1, calls: 0, outcomes: 0, responses: 1 };
const CALL: RemainingWork =
    RemainingWork { model_requests: 0, calls: 1, outcomes: 0, responses: 1 };

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn signal_refuses_new_work_and_waits_for_running_work() {
    let mut drain = Drain::new(Config::default());
    assert!(drain.accepts_work());
    assert_eq!(drain.on_signal(at(1)), [Action::StopAccepting]);
    assert!(!drain.accepts_work());
    assert!(drain.tick(at(2), STREAM).is_empty());
    assert_eq!(drain.tick(at(3), RemainingWork::default()), [Action::Stop]);
}

#[test]
fn hands_over_stream_longer_than_drain_limit() {
    let mut drain = Drain::new(Config::default());
    drain.on_signal(at(1));
    assert!(drain.tick(at(30), STREAM).is_empty());
    assert_eq!(drain.tick(at(31), STREAM), [Action::HandOver]);
    assert!(drain.tick(at(31), STREAM).is_empty());
    assert_eq!(drain.tick(at(32), STREAM), [Action::HandOver], "hand-over is repeated");
    assert!(drain.tick(at(9_999), CALL).is_empty(), "a plain call is waited for, not handed over");
    assert_eq!(drain.tick(at(9_999), RemainingWork::default()), [Action::Stop]);
}

#[test]
fn second_signal_starts_hand_over_without_stopping() {
    let mut drain = Drain::new(Config::default());
    drain.on_signal(at(1));
    drain.on_signal(at(2));
    assert_eq!(drain.tick(at(2), STREAM), [Action::HandOver]);
    for second in 3..100 {
        drain.on_signal(at(second));
        assert!(!drain.tick(at(second), STREAM).contains(&Action::Stop));
    }
}

#[test]
fn short_notice_hands_over_before_instance_ends() {
    let mut drain = Drain::new(Config::default());
    drain.on_reclaim(at(10), at(4));
    assert!(drain.tick(at(11), STREAM).is_empty());
    assert_eq!(drain.tick(at(12), STREAM), [Action::HandOver]);
    assert_eq!(drain.tick(at(13), CALL), [Action::ConcludeCalls]);
    assert_eq!(drain.tick(at(14), RemainingWork::default()), [Action::Stop]);
}

#[test]
fn notice_during_drain_starts_hand_over_earlier() {
    let mut drain = Drain::new(Config::default());
    drain.on_signal(at(1));
    drain.on_reclaim(at(2), at(12));
    assert_eq!(drain.phase(), Phase::Draining { until: at(9) });
    drain.on_reclaim(at(3), at(60));
    assert_eq!(drain.leave_at(), Some(at(14)), "the earliest announced end counts");
}

/// With signals, notices and ticks in random order, the node never accepts work again, stops only
/// without remaining work, hands over only when due, and concludes its calls at most once, shortly
/// before its instance ends.
#[test]
fn random_events_keep_drain_invariants() {
    for seed in 0..2_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let config = Config::default();
        let mut drain = Drain::new(config);
        let mut now = Duration::ZERO;
        let mut is_leaving = false;
        let mut has_signal_in_drain = false;
        let mut earliest_due = Duration::MAX;
        let mut conclusions = 0;
        for _ in 0..60 {
            now += Duration::from_millis(rng.random_range(0..3_000));
            let remaining = RemainingWork {
                model_requests: rng.random_range(0..2),
                calls: rng.random_range(0..2),
                outcomes: rng.random_range(0..2),
                responses: 0,
            };
            let actions = match rng.random_range(0..20) {
                0 => {
                    has_signal_in_drain = is_leaving;
                    earliest_due = earliest_due.min(now + config.limit);
                    is_leaving = true;
                    drain.on_signal(now)
                }
                1 => {
                    let notice = Duration::from_millis(rng.random_range(0..60_000));
                    let margin = config.hand_over_margin.min(notice / 2);
                    earliest_due = earliest_due.min(now + config.limit).min(now + notice - margin);
                    is_leaving = true;
                    drain.on_reclaim(now, notice)
                }
                _ => drain.tick(now, remaining),
            };
            assert_eq!(drain.accepts_work(), !is_leaving, "seed {seed}");
            for action in actions {
                match action {
                    Action::Stop => assert_eq!(remaining, RemainingWork::default(), "seed {seed}"),
                    Action::HandOver => {
                        assert!(remaining.model_requests > 0, "seed {seed}");
                        assert!(has_signal_in_drain || now >= earliest_due, "seed {seed}");
                    }
                    Action::ConcludeCalls => {
                        conclusions += 1;
                        let leave_at =
                            drain.leave_at().expect("a conclusion without an instance end");
                        assert!(now + config.conclude_margin >= leave_at, "seed {seed}");
                    }
                    Action::StopAccepting => {}
                }
            }
            assert!(conclusions <= 1, "seed {seed}");
            if drain.phase() == Phase::Stopped {
                break;
            }
        }
    }
}
