//! The lease must never let two gateways act alternately or report different
//! counts for a window, even if calls are lost, gateways freeze or the log is
//! restored from a copy.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use forwarding::lease::{AppendOutcome, FirstEra, Lease, LeaseRecord, PartitionContent, Step};
use forwarding::store_role::StoreEra;
use forwarding::usage::{RequestCounts, WindowIndex};
use support::ms;

const LEASE: Duration = Duration::from_millis(3_000);

/// Log partition of the lease.
#[derive(Default)]
struct Log {
    era: StoreEra,
    records: Vec<LeaseRecord>,
    /// Appends that take effect at a time, in milliseconds, if their condition holds then.
    late: Vec<(u64, u64, LeaseRecord)>,
}

impl Log {
    /// Drops the latest records, up to `max_lost`.
    fn restore(&mut self, max_lost: u64) {
        let kept = (self.records.len() as u64).saturating_sub(max_lost);
        self.records.truncate(kept as usize);
        self.era += 1;
    }

    fn apply_late(&mut self, at_ms: u64) {
        let (due, late) = self.late.drain(..).partition(|(due_ms, ..)| *due_ms <= at_ms);
        self.late = late;
        for (_, at, record) in due {
            self.append(at, record);
        }
    }

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

fn read(era: StoreEra, end: u64, record: Option<LeaseRecord>) -> PartitionContent {
    PartitionContent { era, end, record }
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
        let windows = lease.settled_windows().unwrap().iter();
        // A window without requests is not reported.
        for (&window, counts) in windows.filter(|(_, counts)| !counts.is_empty()) {
            let known = self.reported.entry(window).or_insert_with(|| counts.clone());
            assert_eq!(known, counts, "two reports of window {window} differ");
        }
    }

    fn check(&self) {
        let mut highest = 0;
        let mut holders = BTreeMap::new();
        for &(at_ms, gateway, epoch) in &self.actions {
            let holder = *holders.entry(epoch).or_insert(gateway);
            assert_eq!(holder, gateway, "two gateways act with epoch {epoch}, at {at_ms} ms");
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
/// gateways may freeze. With `is_restored`, the log is restored from a copy at random times, and
/// appends may take effect seconds after they were sent. `first_era` is what the gateways agree on.
fn run(seed: u64, is_restored: bool, first_era: Option<FirstEra>) -> Observed {
    let mut random = Random(seed);
    let mut log = Log { era: 1, ..Log::default() };
    let mut leases: Vec<Lease> =
        (0..3).map(|each| Lease::new(format!("g{each}"), each, LEASE)).collect();
    leases.iter_mut().for_each(|lease| lease.set_first_era(first_era));
    let mut frozen_until_ms = [0; 3];
    let mut observed = Observed::default();
    for at_ms in (0..60_000).step_by(100) {
        if is_restored && random.below(100) == 0 {
            let max_lost = random.below(8);
            log.restore(max_lost);
        }
        log.apply_late(at_ms);
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
                    let record = log.records.last().cloned();
                    let read = PartitionContent { era: log.era, end, record };
                    leases[gateway].on_read(now, read, window + 1);
                }
                Step::Append { at, record } => {
                    let is_done = random.below(6) != 0;
                    let is_answered = random.below(6) != 0;
                    if is_restored && !is_done && random.below(2) == 0 {
                        let due_ms = at_ms + 1_000 + random.below(5_000);
                        log.late.push((due_ms, at, record.clone()));
                    }
                    let end = if is_done { log.append(at, record) } else { None };
                    let outcome = match end {
                        Some(end) if is_answered => AppendOutcome::Done(end),
                        None if is_done && is_answered => AppendOutcome::Conflict,
                        _ => AppendOutcome::Unknown,
                    };
                    leases[gateway].on_append_outcome(now, log.era, outcome);
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
        let observed = run(seed, false, None);
        observed.check();
        runs_with_holder += usize::from(!observed.actions.is_empty());
    }
    assert!(runs_with_holder >= 295, "only {runs_with_holder} of 300 runs had a holder");
}

/// Guards against two holders with the same epoch, and different counts of a window, after the log
/// was restored from a copy.
#[test]
fn holders_of_a_restored_log_differ_in_epochs_and_not_in_counts() {
    let mut runs_with_holder = 0;
    for seed in 0..300 {
        let observed = run(seed, true, None);
        observed.check();
        runs_with_holder += usize::from(!observed.actions.is_empty());
    }
    assert!(runs_with_holder >= 295, "only {runs_with_holder} of 300 runs had a holder");
}

/// Guards against the same where the first lease is taken at once, and is lost in a restoration.
#[test]
fn holders_of_a_restored_log_differ_in_epochs_if_they_know_its_first_era() {
    for seed in 0..300 {
        run(seed, true, Some(FirstEra { era: 1, open_window: 0 })).check();
    }
}

/// Guards against a holder that loses the lease, or its windows, with the records of the log.
#[test]
fn holder_writes_lost_record_again_while_its_lease_lasts() {
    let mut lease = Lease::new("g".to_owned(), 1, LEASE);
    lease.on_read(ms(0), read(0, 0, None), 6);
    let Step::Append { .. } = lease.step(ms(0), false, 0, None) else { panic!() };
    lease.on_append_outcome(ms(0), 0, AppendOutcome::Done(1));
    let due = Some((7, counts(7, 0)));
    let Step::Append { record, .. } = lease.step(ms(100), false, 0, due) else { panic!() };
    lease.on_append_outcome(ms(100), 0, AppendOutcome::Done(2));
    lease.on_read(ms(1_000), read(1, 0, None), 9);
    assert!(lease.may_act(ms(1_000)));
    let Step::Append { at, record: again } = lease.step(ms(1_000), false, 0, None) else {
        panic!()
    };
    assert_eq!((at, &again.windows), (0, &record.windows));
    assert!(again.epoch > record.epoch);
}

/// Guards against a gateway that takes the lease at once because the restored log has no record or
/// names it as holder, while another gateway still acts.
#[test]
fn waits_for_the_lease_time_after_a_restoration() {
    let own = LeaseRecord { holder: "g".to_owned(), epoch: 1, ..LeaseRecord::default() };
    for record in [None, Some(own)] {
        let mut lease = Lease::new("g".to_owned(), 2, LEASE);
        lease.on_read(ms(0), read(1, 1, record), 6);
        assert_eq!(lease.step(ms(3_800), false, 0, None), Step::Wait);
        let Step::Append { record, .. } = lease.step(ms(6_000), false, 0, None) else { panic!() };
        assert_eq!(record.windows, BTreeMap::from([(5, RequestCounts::new())]));
    }
}

#[test]
fn restarted_holder_retakes_lease_with_higher_epoch() {
    let mut old = Lease::new("g".to_owned(), 1, LEASE);
    old.on_read(ms(0), read(0, 0, None), 6);
    let Step::Append { record, .. } = old.step(ms(0), false, 0, None) else { panic!() };
    let mut new = Lease::new("g".to_owned(), 2, LEASE);
    new.on_read(ms(50), read(0, 1, Some(record.clone())), 6);
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
    lease.on_read(ms(0), read(0, 1, Some(record)), 6);
    assert_eq!(lease.step(ms(2_900), false, 0, None), Step::Wait);
    assert!(matches!(lease.step(ms(6_000), false, 0, None), Step::Append { .. }));
}

/// Guards against a first takeover that waits though no gateway ever held the lease.
#[test]
fn takes_a_lease_that_never_existed_at_once() {
    let mut lease = Lease::new("g".to_owned(), 1, LEASE);
    lease.set_first_era(Some(FirstEra { era: 1, open_window: 6 }));
    lease.on_read(ms(0), read(1, 0, None), 8);
    let Step::Append { at, record } = lease.step(ms(0), false, 0, None) else { panic!() };
    assert_eq!(at, 0);
    assert_eq!(record.windows, BTreeMap::from([(5, RequestCounts::new())]));
}

/// Guards against holders that act alternately after records of the lease were lost (ONE).
#[test]
fn waits_if_a_record_of_the_lease_may_have_been_lost() {
    let first = |era| Some(FirstEra { era, open_window: 6 });
    let other = LeaseRecord { holder: "other".to_owned(), epoch: 1, ..LeaseRecord::default() };
    let contents = [
        (None, read(1, 0, None)),
        (first(1), read(2, 0, None)),
        (first(1), read(1, 3, None)),
        (first(1), read(1, 1, Some(other))),
    ];
    for (first_era, content) in contents {
        let mut lease = Lease::new("g".to_owned(), 1, LEASE);
        lease.set_first_era(first_era);
        lease.on_read(ms(0), content, 8);
        assert_eq!(lease.step(ms(3_800), false, 0, None), Step::Wait);
        let Step::Append { record, .. } = lease.step(ms(6_000), false, 0, None) else { panic!() };
        assert_eq!(record.windows, BTreeMap::from([(7, RequestCounts::new())]));
    }
}
