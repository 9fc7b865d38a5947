//! Roll-outs over many gateways: bad versions stay within the allowed exposure and are rolled back in
//! time, good ones are completed in time.

mod support;

use std::time::Duration;

use forwarding::endpoints::Entry;
use forwarding::rollout::{Order, Phase, Rollouts};
use support::rollout_fleet::{Answer, BOUNDS, Fleet, ROUTES, Sent};
use support::{PLAIN_SERVICE, entry, ms};

const DURATION: Duration = ms(30_000);
const PER_S: f64 = 400.0;

fn sound(_: Sent<'_>) -> Answer {
    (false, 1.0)
}

fn play(fleet: &mut Fleet, per_s: f64, answer: impl FnMut(Sent<'_>) -> Answer) {
    play_order(fleet, DURATION, per_s, answer);
}

/// Plays three seconds before the order, and the order to its end.
fn play_order(
    fleet: &mut Fleet,
    duration: Duration,
    per_s: f64,
    mut answer: impl FnMut(Sent<'_>) -> Answer,
) {
    fleet.run(ms(3_000), per_s, sound);
    fleet.order(duration);
    let start = fleet.now;
    let mut answer = |sent: Sent<'_>| answer(Sent { at: sent.at - start, ..sent });
    fleet.run(start + duration, per_s, &mut answer);
    let (requests, exposed) = (fleet.requests, fleet.exposed);
    fleet.run(start + duration + ms(3_000), per_s, &mut answer);
    // The exposure is counted up to the time limit.
    (fleet.requests, fleet.exposed) = (requests, exposed);
}

fn assert_rolled_back(fleet: &Fleet, name: &str) {
    assert_eq!(fleet.phase(), Some(Phase::RolledBack), "{name}");
    let allowed = fleet.requests as f64 * BOUNDS.exposure_share + BOUNDS.exposure_slack;
    let exposed = fleet.exposed;
    assert!(exposed as f64 <= allowed, "{name}: {exposed} of {} requests", fleet.requests);
    if let Some(&fiftieth) = fleet.bad_at.get(49) {
        let late = fleet.last_exposed_at.saturating_sub(fiftieth);
        assert!(late <= BOUNDS.rollback_delay, "{name}: {late:?} after the 50th bad answer");
    }
}

fn assert_completed(fleet: &Fleet, name: &str) {
    assert_eq!(fleet.phase(), Some(Phase::Completed), "{name}: {}", fleet.reason());
    let elapsed = fleet.ended_at.unwrap() - ms(3_000);
    assert!(elapsed <= DURATION, "{name}: completed after {elapsed:?}");
}

/// Each pattern of a bad version, from 8 to 300 gateways.
#[test]
fn bad_versions_are_rolled_back_within_the_exposure() {
    type Pattern = (&'static str, fn(Sent<'_>) -> Answer);
    let patterns: [Pattern; 8] = [
        ("bad at once", |sent| (sent.is_new && sent.random < 0.3, 1.0)),
        ("all answers bad", |sent| (sent.is_new, 1.0)),
        ("bad later", |sent| (sent.is_new && sent.at > ms(18_000) && sent.random < 0.3, 1.0)),
        ("bad under load", |sent| (sent.is_new && sent.load > 5 && sent.random < 0.5, 1.0)),
        ("bad on one route", |sent| {
            (sent.is_new && sent.route == ROUTES[1] && sent.random < 0.3, 1.0)
        }),
        ("slow by 2", |sent| (false, if sent.is_new { 2.0 } else { 1.0 })),
        ("slow by 5, a part", |sent| {
            (false, if sent.is_new && sent.random < 0.3 { 5.0 } else { 1.0 })
        }),
        ("worse than a noisy old version", |sent| {
            (sent.random < if sent.is_new { 0.4 } else { 0.1 }, 1.0)
        }),
    ];
    for gateways in [8, 300] {
        for (name, answer) in patterns {
            let mut fleet = Fleet::new(gateways as u64, gateways, 60, 60);
            play(&mut fleet, PER_S, answer);
            assert_rolled_back(&fleet, &format!("{name}, {gateways} gateways"));
        }
    }
}

/// The many sound answers before do not hide the fault.
#[test]
fn version_that_turns_slightly_bad_late_is_rolled_back() {
    let mut fleet = Fleet::new(5, 8, 60, 60);
    play_order(&mut fleet, ms(180_000), PER_S, |sent| {
        (sent.is_new && sent.at > ms(90_000) && sent.random < 0.05, 1.0)
    });
    assert_rolled_back(&fleet, "slightly bad late");
}

#[test]
fn good_versions_are_completed_in_time() {
    for gateways in [8, 74, 300] {
        for seed in 0..2 {
            for (name, noise) in [("sound", 0.0), ("as noisy as the old version", 0.1)] {
                let mut fleet = Fleet::new(seed, gateways, 60, 60);
                play(&mut fleet, PER_S, |sent| (sent.random < noise, 1.0));
                assert_completed(&fleet, &format!("{name}, {gateways} gateways, seed {seed}"));
            }
        }
    }
}

/// Few requests, and few endpoints of the new version.
#[test]
fn good_versions_with_little_traffic_are_completed() {
    for (per_s, new) in [(2.0, 7), (20.0, 7), (20.0, 4)] {
        let mut fleet = Fleet::new(1, 74, 7, new);
        play(&mut fleet, per_s, sound);
        assert_completed(&fleet, &format!("{per_s} requests/s, {new} new endpoints"));
    }
}

#[test]
fn bad_version_with_little_traffic_stays_within_the_exposure() {
    let mut fleet = Fleet::new(1, 74, 7, 7);
    play(&mut fleet, 20.0, |sent| (sent.is_new && sent.random < 0.5, 1.0));
    assert_rolled_back(&fleet, "20 requests/s");
}

#[test]
fn lost_reports_change_no_decision() {
    let mut good = Fleet::new(1, 74, 60, 60);
    good.lost = 0.3;
    play(&mut good, PER_S, sound);
    assert_completed(&good, "a third of the reports lost");
    let mut bad = Fleet::new(2, 74, 60, 60);
    bad.lost = 0.3;
    play(&mut bad, PER_S, |sent| (sent.is_new && sent.random < 0.3, 1.0));
    assert_rolled_back(&bad, "a third of the reports lost");
}

/// A bad version while no holder can decide: each gateway stops by itself.
#[test]
fn gateways_that_do_not_hear_the_holder_stop() {
    let mut fleet = Fleet::new(1, 74, 60, 60);
    fleet.run(ms(3_000), PER_S, sound);
    fleet.order(DURATION);
    fleet.run(ms(10_000), PER_S, sound);
    assert!(fleet.exposed > 50);
    fleet.lost = 1.0;
    let exposed_from = fleet.now;
    fleet.run(ms(20_000), PER_S, |sent| (sent.is_new, 1.0));
    let stopped_after = fleet.last_exposed_at - exposed_from;
    // The holder hears itself; its share is one gateway's.
    let expected = (BOUNDS.grant_duration().as_secs_f64() * PER_S * 0.05) as usize;
    assert!(fleet.bad_at.len() < expected + 25, "{} bad, {stopped_after:?}", fleet.bad_at.len());
}

#[test]
fn next_holder_goes_on_halfway() {
    for answer in
        [sound as fn(Sent<'_>) -> Answer, |sent| (sent.is_new && sent.at > ms(19_000), 1.0)]
    {
        let mut fleet = Fleet::new(3, 74, 60, 60);
        fleet.run(ms(3_000), PER_S, sound);
        fleet.order(DURATION);
        fleet.run(ms(15_000), PER_S, answer);
        assert_eq!(fleet.phase(), Some(Phase::Trial));
        fleet.is_store_down = true;
        fleet.run(ms(18_000), PER_S, answer);
        fleet.is_store_down = false;
        fleet.holder = 7;
        fleet.run(ms(36_000), PER_S, answer);
        match fleet.bad_at.is_empty() {
            true => assert_completed(&fleet, "other holder"),
            false => assert_rolled_back(&fleet, "other holder"),
        }
    }
}

/// An order whose time passes without a holder of the duties is not carried out late.
#[test]
fn order_without_a_decision_in_time_is_rolled_back() {
    let mut fleet = Fleet::new(3, 8, 60, 60);
    fleet.run(ms(3_000), PER_S, sound);
    fleet.order(DURATION);
    fleet.run(ms(15_000), PER_S, sound);
    fleet.is_store_down = true;
    fleet.run(ms(34_000), PER_S, sound);
    fleet.is_store_down = false;
    fleet.run(ms(36_000), PER_S, sound);
    assert_eq!((fleet.phase(), fleet.reason()), (Some(Phase::RolledBack), "no decision in time"));
}

fn table(versions: &[&str]) -> forwarding::endpoints::EndpointTable {
    let mut table = forwarding::endpoints::EndpointTable::default();
    for version in versions {
        let version = version.to_string();
        table.on_entry(
            ms(0),
            Entry { version: version.clone(), ..entry(&version, PLAIN_SERVICE, 1, 1) },
        );
    }
    table
}

fn order(to: &str) -> Option<Order> {
    Some(Order { service: PLAIN_SERVICE.to_owned(), to: to.to_owned(), duration: DURATION })
}

fn allowed(rollouts: &mut Rollouts, now: Duration, versions: &[&str]) -> Vec<String> {
    let choice = rollouts.choose(now, PLAIN_SERVICE, true);
    let allowed = rollouts.allowed(now, &table(versions), PLAIN_SERVICE, choice);
    allowed.map_or(versions.iter().map(|&each| each.to_owned()).collect(), |ids| {
        ids.into_iter().collect()
    })
}

#[test]
fn without_bounds_or_orders_all_versions_are_used() {
    let mut without_bounds = Rollouts::new("g", None, ms(1_000));
    without_bounds.on_order(ms(0), PLAIN_SERVICE, order("v2"), 1);
    assert_eq!(allowed(&mut without_bounds, ms(0), &["v1", "v2"]), ["v1", "v2"]);
    let mut without_order = Rollouts::new("g", Some(BOUNDS), ms(1_000));
    without_order.observe_versions(ms(0), &table(&["v1", "v2"]));
    assert_eq!(allowed(&mut without_order, ms(0), &["v1", "v2"]), ["v1", "v2"]);
}

/// A version that joins without an order is used once an order for it would be known, and at once if
/// nothing else is left, as in releases that replace the endpoints.
#[test]
fn new_version_waits_until_an_order_would_be_known() {
    let mut rollouts = Rollouts::new("g", Some(BOUNDS), ms(1_000));
    rollouts.observe_versions(ms(0), &table(&["v1"]));
    assert_eq!(allowed(&mut rollouts, ms(5_000), &["v1", "v2"]), ["v1"]);
    rollouts.observe_versions(ms(5_000), &table(&["v1", "v2"]));
    assert_eq!(allowed(&mut rollouts, ms(5_900), &["v1", "v2"]), ["v1"]);
    assert_eq!(allowed(&mut rollouts, ms(5_900), &["v2"]), ["v2"]);
    assert_eq!(allowed(&mut rollouts, ms(6_000), &["v1", "v2"]), ["v1", "v2"]);
}

#[test]
fn version_of_an_order_gets_nothing_before_and_after_its_trial() {
    let mut fleet = Fleet::new(1, 1, 1, 1);
    let rollouts = &mut fleet.gateways[0];
    rollouts.on_order(ms(0), PLAIN_SERVICE, order("v2"), 1);
    assert_eq!(allowed(rollouts, ms(0), &["v1", "v2", "v3"]), ["v1", "v3"]);
    rollouts.on_order(ms(10), PLAIN_SERVICE, None, 2);
    assert_eq!(allowed(rollouts, ms(10), &["v1", "v2", "v3"]), ["v1", "v3"]);
    let mut bad = Fleet::new(1, 8, 7, 7);
    play(&mut bad, PER_S, |sent| (sent.is_new, 1.0));
    for gateway in &mut bad.gateways {
        assert_eq!(allowed(gateway, ms(60_000), &["v1", "v2"]), ["v1"]);
        gateway.on_order(ms(60_000), PLAIN_SERVICE, order("v3"), 9);
        assert_eq!(allowed(gateway, ms(60_000), &["v1", "v2", "v3"]), ["v1"]);
    }
    let mut good = Fleet::new(1, 8, 7, 7);
    play(&mut good, PER_S, sound);
    for gateway in &mut good.gateways {
        assert_eq!(allowed(gateway, ms(60_000), &["v1", "v2", "v3"]), ["v2", "v3"]);
    }
}
