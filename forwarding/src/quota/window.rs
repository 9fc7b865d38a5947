//! Units spent within the last quota window.

use std::collections::VecDeque;
use std::time::Duration;

/// Slots per window. A slot counts until all of it is older than the window.
const SLOTS: u32 = 16;

#[derive(Debug, Clone, Copy)]
struct Slot {
    index: u64,
    units: f64,
}

/// Spending of all gateways within a sliding window, as known to one of them.
#[derive(Debug, Clone)]
pub(super) struct SpendingWindow {
    slot_length: Duration,
    slots: VecDeque<Slot>,
}

impl SpendingWindow {
    pub(super) fn new(window: Duration) -> SpendingWindow {
        let slot_length = (window / SLOTS).max(Duration::from_millis(1));
        SpendingWindow { slot_length, slots: VecDeque::new() }
    }

    /// Adds units that were spent, or takes back the latest ones if `units` is negative.
    pub(super) fn add(&mut self, now: Duration, units: f64) {
        let index = self.index_at(now);
        self.remove_expired(index);
        if units < 0.0 {
            self.take_back(-units);
            return;
        }
        match self.slots.back_mut() {
            Some(slot) if slot.index >= index => slot.units += units,
            _ => self.slots.push_back(Slot { index, units }),
        }
    }

    /// Units spent in the window that ends at `now`.
    pub(super) fn total_units(&self, now: Duration) -> f64 {
        let index = self.index_at(now);
        let counted = self.slots.iter().filter(|slot| !is_expired(slot, index));
        counted.map(|slot| slot.units).sum()
    }

    /// Units spent since the start of the slot that contains `now` less `age`, and the time since
    /// that start.
    pub(super) fn units_since(&self, now: Duration, age: Duration) -> (f64, Duration) {
        let first = self.index_at(now.saturating_sub(age));
        let counted = self.slots.iter().filter(|slot| slot.index >= first);
        let into_slot_ns = now.saturating_sub(age).as_nanos() % self.slot_length.as_nanos();
        let elapsed = age.min(now) + Duration::from_nanos(into_slot_ns as u64);
        (counted.map(|slot| slot.units).sum(), elapsed)
    }

    /// Replaces the spending by `units`, spread evenly over the window that ends at `now`.
    pub(super) fn fill(&mut self, now: Duration, units: f64) {
        let index = self.index_at(now);
        let first = index.saturating_sub(u64::from(SLOTS) - 1);
        let count = (index - first + 1) as f64;
        self.slots = (first..=index).map(|index| Slot { index, units: units / count }).collect();
    }

    /// Multiplies all spending, as the quota was multiplied by `factor`.
    pub(super) fn scale(&mut self, factor: f64) {
        self.slots.iter_mut().for_each(|slot| slot.units *= factor);
    }

    fn take_back(&mut self, mut units: f64) {
        for slot in self.slots.iter_mut().rev() {
            let taken_units = slot.units.min(units);
            slot.units -= taken_units;
            units -= taken_units;
        }
    }

    fn remove_expired(&mut self, index: u64) {
        while self.slots.front().is_some_and(|slot| is_expired(slot, index)) {
            self.slots.pop_front();
        }
    }

    fn index_at(&self, now: Duration) -> u64 {
        (now.as_nanos() / self.slot_length.as_nanos()) as u64
    }
}

fn is_expired(slot: &Slot, index: u64) -> bool {
    slot.index + u64::from(SLOTS) < index
}
