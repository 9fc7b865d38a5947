//! Leaving on a signal or a reclaim notice.

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
fn a_signal_refuses_new_work_at_once_and_waits_for_what_runs() {
    let mut drain = Drain::new(Config::default());
    assert!(drain.accepts_work());
    assert_eq!(drain.on_signal(at(1)), [Action::StopAccepting]);
    assert!(!drain.accepts_work());
    assert!(drain.tick(at(2), STREAM).is_empty());
    assert_eq!(drain.tick(at(3), RemainingWork::default()), [Action::Stop]);
}

#[test]
fn a_stream_longer_than_the_limit_is_handed_over_and_not_cut() {
    let mut drain = Drain::new(Config::default());
    drain.on_signal(at(1));
    assert!(drain.tick(at(30), STREAM).is_empty());
    assert_eq!(drain.tick(at(31), STREAM), [Action::HandOver]);
    assert!(drain.tick(at(31), STREAM).is_empty());
    assert_eq!(drain.tick(at(32), STREAM), [Action::HandOver], "tried again");
    assert!(drain.tick(at(9_999), CALL).is_empty(), "a call is waited for");
    assert_eq!(drain.tick(at(9_999), RemainingWork::default()), [Action::Stop]);
}

#[test]
fn a_second_signal_hurries_and_cuts_nothing() {
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
fn a_short_notice_hands_over_before_the_instance_goes() {
    let mut drain = Drain::new(Config::default());
    drain.on_reclaim(at(10), at(4));
    assert!(drain.tick(at(11), STREAM).is_empty());
    assert_eq!(drain.tick(at(12), STREAM), [Action::HandOver]);
    assert_eq!(drain.tick(at(13), CALL), [Action::ConcludeCalls]);
    assert_eq!(drain.tick(at(14), RemainingWork::default()), [Action::Stop]);
}

#[test]
fn a_notice_during_a_drain_brings_the_hand_over_forward() {
    let mut drain = Drain::new(Config::default());
    drain.on_signal(at(1));
    drain.on_reclaim(at(2), at(12));
    assert_eq!(drain.phase(), Phase::Draining { until: at(9) });
    drain.on_reclaim(at(3), at(60));
    assert_eq!(drain.leave_at(), Some(at(14)), "the earliest notice counts");
}

/// Whatever happens in whatever order: the node never accepts again, stops only when nothing is
/// left, hands over only once it is due, and tells its callers once, only before its instance goes.
#[test]
fn any_order_of_events_keeps_the_promises() {
    for seed in 0..2_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let config = Config::default();
        let mut drain = Drain::new(config);
        let mut now = Duration::ZERO;
        let mut has_left = false;
        let mut is_hurried = false;
        let mut earliest_due = Duration::MAX;
        let mut concluded = 0;
        for _ in 0..60 {
            now += Duration::from_millis(rng.random_range(0..3_000));
            let left = RemainingWork {
                model_requests: rng.random_range(0..2),
                calls: rng.random_range(0..2),
                outcomes: rng.random_range(0..2),
                responses: 0,
            };
            let actions = match rng.random_range(0..20) {
                0 => {
                    is_hurried = has_left;
                    earliest_due = earliest_due.min(now + config.limit);
                    has_left = true;
                    drain.on_signal(now)
                }
                1 => {
                    let notice = Duration::from_millis(rng.random_range(0..60_000));
                    let margin = config.hand_over_margin.min(notice / 2);
                    earliest_due = earliest_due.min(now + config.limit).min(now + notice - margin);
                    has_left = true;
                    drain.on_reclaim(now, notice)
                }
                _ => drain.tick(now, left),
            };
            assert_eq!(drain.accepts_work(), !has_left, "seed {seed}");
            for action in actions {
                match action {
                    Action::Stop => assert_eq!(left, RemainingWork::default(), "seed {seed}"),
                    Action::HandOver => {
                        assert!(left.model_requests > 0, "seed {seed}");
                        assert!(is_hurried || now >= earliest_due, "seed {seed}");
                    }
                    Action::ConcludeCalls => {
                        concluded += 1;
                        let leave_at = drain.leave_at().expect("only where the instance goes");
                        assert!(now + config.conclude_margin >= leave_at, "seed {seed}");
                    }
                    Action::StopAccepting => {}
                }
            }
            assert!(concluded <= 1, "seed {seed}");
            if drain.phase() == Phase::Stopped {
                break;
            }
        }
    }
}
