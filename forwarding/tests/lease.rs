//! The lease must never let two gateways act alternately or report different
//! counts for a window, even if calls are lost or gateways freeze.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use forwarding::lease::{AppendOutcome, Lease, LeaseRecord, Step};
use forwarding::usage::{RequestCounts, WindowIndex};
use support::ms;

const LEASE: Duration = Duration::from_millis(3_000);

/// Log partition of the lease.
#[derive(Default)]
struct Log {
    records: Vec<LeaseRecord>,
}

impl Log {
    fn append(&mut self, at: u64, record: LeaseRecord) -> Option<u64> {
        if at != self.records.len() as u64 {
            return None;
        }
        self.records.push(record);
        Some(self.records.len() as u64)
    }
}

/// Deterministic pseudo-random numbers.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }
}

fn counts(window: WindowIndex, gateway: usize) -> RequestCounts {
    BTreeMap::from([("acme".to_owned(), window * 10 + gateway as u64)])
}

#[derive(Default)]
struct Observed {
    actions: Vec<(u64, usize, u64)>,
    reported: BTreeMap<WindowIndex, RequestCounts>,
}

impl Observed {
    fn record_action(&mut self, at_ms: u64, gateway: usize, lease: &Lease) {
        self.actions.push((at_ms, gateway, lease.epoch().unwrap()));
        for (&window, counts) in lease.settled_windows().unwrap() {
            let known = self.reported.entry(window).or_insert_with(|| counts.clone());
            assert_eq!(known, counts, "two reports of window {window} differ");
        }
    }

    fn check(&self) {
        let mut highest = 0;
        for &(at_ms, gateway, epoch) in &self.actions {
            assert!(
                epoch >= highest,
                "gateway {gateway} acts at {at_ms} ms with a lower epoch than before"
            );
            highest = epoch;
        }
        for (index, &(at_ms, gateway, _)) in self.actions.iter().enumerate() {
            let within = self.actions[index..]
                .iter()
                .take_while(|(later_ms, _, _)| ms(later_ms - at_ms) < LEASE);
            let order: Vec<usize> = within.map(|&(_, each, _)| each).collect();
            let other = order.iter().position(|&each| each != gateway);
            let is_back = other.is_some_and(|other| order[other..].contains(&gateway));
            assert!(!is_back, "gateways alternate from {at_ms} ms on");
        }
    }
}

/// Simulates three gateways for a minute. Calls may be lost before or after they take effect, and
/// gateways may freeze.
fn run(seed: u64) -> Observed {
    let mut random = Random(seed);
    let mut log = Log::default();
    let mut leases: Vec<Lease> =
        (0..3).map(|each| Lease::new(format!("g{each}"), each, LEASE)).collect();
    let mut frozen_until_ms = [0; 3];
    let mut observed = Observed::default();
    for at_ms in (0..60_000).step_by(100) {
        for gateway in 0..3 {
            if random.below(400) == 0 {
                frozen_until_ms[gateway] = at_ms + 500 + random.below(8_000);
            }
            if at_ms < frozen_until_ms[gateway] {
                continue;
            }
            let now = ms(at_ms);
            let has_live_holder = (0..3).any(|other| {
                other != gateway && at_ms >= frozen_until_ms[other] && leases[other].is_held(now)
            });
            let window = at_ms / 5_000;
            let due = Some((window, counts(window, gateway)));
            match leases[gateway].step(now, has_live_holder, gateway as u32, due) {
                Step::Wait => {}
                Step::Read if random.below(5) == 0 => {}
                Step::Read => {
                    let end = log.records.len() as u64;
                    leases[gateway].on_read(now, end, log.records.last().cloned());
                }
                Step::Append { at, record } => {
                    let is_done = random.below(6) != 0;
                    let is_answered = random.below(6) != 0;
                    let end = if is_done { log.append(at, record) } else { None };
                    let outcome = match end {
                        Some(end) if is_answered => AppendOutcome::Done(end),
                        None if is_done && is_answered => AppendOutcome::Conflict,
                        _ => AppendOutcome::Unknown,
                    };
                    leases[gateway].on_append_outcome(now, outcome);
                }
            }
            if leases[gateway].may_act(now) {
                observed.record_action(at_ms, gateway, &leases[gateway]);
            }
        }
    }
    observed
}

#[test]
fn holders_neither_alternate_nor_report_different_counts() {
    let mut runs_with_holder = 0;
    for seed in 0..300 {
        let observed = run(seed);
        observed.check();
        runs_with_holder += usize::from(!observed.actions.is_empty());
    }
    assert!(runs_with_holder >= 295, "only {runs_with_holder} of 300 runs had a holder");
}

#[test]
fn restarted_holder_retakes_lease_with_higher_epoch() {
    let mut old = Lease::new("g".to_owned(), 1, LEASE);
    old.on_read(ms(0), 0, None);
    let Step::Append { record, .. } = old.step(ms(0), false, 0, None) else { panic!() };
    let mut new = Lease::new("g".to_owned(), 2, LEASE);
    new.on_read(ms(50), 1, Some(record.clone()));
    let Step::Append { at, record: new_record } = new.step(ms(50), false, 0, None) else {
        panic!()
    };
    assert_eq!(at, 1);
    assert!(new_record.epoch > record.epoch);
}

#[test]
fn waits_until_lease_of_other_holder_expires() {
    let record = LeaseRecord { holder: "other".to_owned(), epoch: 1, ..LeaseRecord::default() };
    let mut lease = Lease::new("g".to_owned(), 2, LEASE);
    lease.on_read(ms(0), 1, Some(record));
    assert_eq!(lease.step(ms(2_900), false, 0, None), Step::Wait);
    assert!(matches!(lease.step(ms(6_000), false, 0, None), Step::Append { .. }));
}
