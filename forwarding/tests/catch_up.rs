//! Tests of the decision to ask other gateways.

use std::time::Duration;

use forwarding::catch_up::CatchUp;

const RELEASE_DELAY: Duration = Duration::from_secs(3);

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Guards against a gateway that waits for a call to the store which hangs.
#[test]
fn asks_others_in_time_although_the_store_has_not_failed_yet() {
    let mut catch_up = CatchUp::new(RELEASE_DELAY);
    for now_ms in (0..RELEASE_DELAY.as_millis() as u64 / 2).step_by(300) {
        catch_up.update(ms(now_ms), true);
        assert!(catch_up.must_ask_others(ms(now_ms), true), "the store fails at {now_ms} ms");
    }
    assert!(catch_up.must_ask_others(RELEASE_DELAY / 2, false));
}

#[test]
fn asks_nobody_while_the_store_is_read_in_time() {
    let mut catch_up = CatchUp::new(RELEASE_DELAY);
    for round in 0..10 {
        let reported_at = ms(round * 1_000);
        catch_up.update(reported_at, true);
        assert!(!catch_up.must_ask_others(reported_at, false), "round {round}");
        catch_up.update(reported_at + ms(300), false);
        assert!(!catch_up.must_ask_others(reported_at + ms(600), true), "round {round}");
    }
}
