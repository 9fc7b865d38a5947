//! Loads on quotas that fleets of several sizes share.

mod support;

use forwarding::quota::QuotaBounds;
use support::quota_fleet::QuotaFleet;
use support::{QUOTA_BOUNDS, ms};

const LARGE_FLEET_BOUNDS: QuotaBounds = QuotaBounds { slack_units: 110_000.0, ..QUOTA_BOUNDS };

/// Number of gateways, quota in units per second, bounds.
const FLEETS: [(usize, f64, QuotaBounds); 4] = [
    (8, 575_000.0, QUOTA_BOUNDS),
    (74, 100_000.0, LARGE_FLEET_BOUNDS),
    (74, 1_200_000.0, LARGE_FLEET_BOUNDS),
    (300, 1_200_000.0, LARGE_FLEET_BOUNDS),
];

/// Usual demand, as a fraction of the quota.
const USUAL: f64 = 0.55;

/// Demand of a hot organisation, six times its usual one.
const HOT: f64 = 6.0 * USUAL;

const REQUEST_UNITS: f64 = 9_200.0;

fn assert_within_bound(fleet: &QuotaFleet, load: &str) {
    let (max_units, allowed_units) = (fleet.max_units_in_window(), fleet.allowed_units());
    assert!(max_units <= allowed_units, "{load}: {max_units} units in a window of {allowed_units}");
}

/// Pattern: a hot organisation while a quarter of the gateways is cut off from all others.
#[test]
fn hot_organisation_stays_within_bound_while_quarter_is_cut_off() {
    for (gateways, rate, bounds) in FLEETS {
        let mut fleet = QuotaFleet::new(gateways, rate, bounds);
        fleet.run(2_000, USUAL * rate, REQUEST_UNITS);
        fleet.run(5_000, HOT * rate, REQUEST_UNITS);
        fleet.set_cut(gateways / 4, true);
        fleet.run(10_000, HOT * rate, REQUEST_UNITS);
        fleet.set_cut(gateways / 4, false);
        fleet.run(16_000, HOT * rate, REQUEST_UNITS);
        assert_within_bound(&fleet, &format!("{gateways} gateways, {rate} units/s"));
        let served = fleet.units_between(2_000, 16_000);
        assert!(served >= 0.7 * 14.0 * rate, "{served} units served at {gateways} gateways");
    }
}

/// Pattern: a quarter of the gateways is cut off at the moment at which an organisation turns hot.
#[test]
fn organisation_that_turns_hot_in_cut_stays_within_bound() {
    for &(gateways, rate, bounds) in &FLEETS[..3] {
        let mut fleet = QuotaFleet::new(gateways, rate, bounds);
        fleet.run(4_000, USUAL * rate, REQUEST_UNITS);
        fleet.set_cut(gateways / 4, true);
        fleet.run(13_000, HOT * rate, REQUEST_UNITS);
        assert_within_bound(&fleet, &format!("{gateways} gateways, {rate} units/s"));
    }
}

/// Pattern: an organisation turns hot, a third of the gateways is cut off just after, and some
/// processes are killed during the cut.
#[test]
fn organisation_that_turned_hot_stays_within_bound_while_third_is_cut_off() {
    for &(gateways, rate, bounds) in &FLEETS[..3] {
        let mut fleet = QuotaFleet::new(gateways, rate, bounds);
        fleet.run(3_500, USUAL * rate, REQUEST_UNITS);
        fleet.run(4_000, HOT * rate, REQUEST_UNITS);
        fleet.set_cut(gateways * 35 / 100, true);
        fleet.run(6_500, HOT * rate, REQUEST_UNITS);
        fleet.kill(gateways * 16 / 100, ms(500));
        fleet.run(14_000, HOT * rate, REQUEST_UNITS);
        assert_within_bound(&fleet, &format!("{gateways} gateways, {rate} units/s"));
    }
}

/// Pattern: a hot organisation while most processes are killed again and again.
#[test]
fn hot_organisation_stays_within_bound_while_processes_are_killed() {
    for (gateways, rate, bounds) in FLEETS {
        let mut fleet = QuotaFleet::new(gateways, rate, bounds);
        fleet.run(2_000, USUAL * rate, REQUEST_UNITS);
        for until_ms in [5_000, 7_500, 10_000, 12_500] {
            fleet.run(until_ms, HOT * rate, REQUEST_UNITS);
            fleet.kill(gateways * 55 / 100, ms(500));
        }
        fleet.run(15_000, HOT * rate, REQUEST_UNITS);
        assert_within_bound(&fleet, &format!("{gateways} gateways, {rate} units/s"));
    }
}

/// Pattern: an organisation within its quota whose requests come in clumps, each at one gateway.
#[test]
fn clumps_within_quota_are_admitted() {
    for (gateways, rate, bounds) in FLEETS {
        let mut fleet = QuotaFleet::new(gateways, rate, bounds);
        fleet.run(4_000, USUAL * rate, REQUEST_UNITS);
        fleet.refused = 0;
        fleet.run(14_000, USUAL * rate, REQUEST_UNITS);
        assert_eq!(fleet.refused, 0, "{gateways} gateways, {rate} units/s");
    }
}

/// Pattern: clumps within the quota after most processes were replaced at once.
#[test]
fn clumps_are_admitted_after_restarts() {
    for &(gateways, rate, bounds) in &FLEETS[..3] {
        let mut fleet = QuotaFleet::new(gateways, rate, bounds);
        fleet.run(4_000, USUAL * rate, REQUEST_UNITS);
        fleet.kill(gateways * 55 / 100, ms(500));
        fleet.run(9_000, USUAL * rate, REQUEST_UNITS);
        fleet.refused = 0;
        fleet.run(13_000, USUAL * rate, REQUEST_UNITS);
        assert_eq!(fleet.refused, 0, "{gateways} gateways, {rate} units/s");
    }
}

/// Pattern: a request for far more than the burst that an endpoint refuses later.
#[test]
fn refunded_request_does_not_lock_organisation_out() {
    for (gateways, rate, bounds) in FLEETS {
        let huge_units = 8.0 * rate;
        let mut fleet = QuotaFleet::new(gateways, rate, bounds);
        fleet.run(1_000, 0.0, REQUEST_UNITS);
        for index in 0..gateways {
            fleet.send(index, 1.0);
        }
        fleet.run(8_000, 0.0, REQUEST_UNITS);
        assert!(fleet.send(0, huge_units), "{gateways} gateways, {rate} units/s");
        fleet.run(11_000, 0.0, REQUEST_UNITS);
        fleet.refund(0, huge_units);
        fleet.run(16_000, 0.0, REQUEST_UNITS);
        for index in 1..4 {
            assert!(fleet.send(index, REQUEST_UNITS), "{gateways} gateways, {rate} units/s");
        }
    }
}
