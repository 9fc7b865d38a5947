//! Retry budget that all gateways share.
//!
//! Each gateway limits its own retries: the ratio applies to the requests that
//! it received, and the slack is divided evenly. The total therefore stays
//! within the limit without communication between gateways.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::settings::Bounds;

/// Fraction of the allowance that is used; requests at the edges of a window may fall into either
/// of two windows.
const USABLE_SHARE: f64 = 0.8;

/// Slots per window.
const SLOTS_PER_WINDOW: u32 = 20;

#[derive(Debug, Default)]
struct Slot {
    index: u64,
    requests: u32,
    retries: u32,
}

/// Requests and retries of each service in the last window.
#[derive(Debug, Default)]
pub struct RetryBudget {
    services: HashMap<String, VecDeque<Slot>>,
}

impl RetryBudget {
    /// Counts an admitted request.
    pub fn on_request(&mut self, now: Duration, bounds: &Bounds, service: &str) {
        self.current_slot(now, bounds, service).requests += 1;
    }

    /// Takes one retry from the budget; returns whether there was one. `gateways` includes this
    /// one.
    pub fn try_take(
        &mut self,
        now: Duration,
        bounds: &Bounds,
        service: &str,
        gateways: u32,
    ) -> bool {
        self.current_slot(now, bounds, service);
        let Some(slots) = self.services.get_mut(service) else { return false };
        let requests: u32 = slots.iter().map(|slot| slot.requests).sum();
        let retries: u32 = slots.iter().map(|slot| slot.retries).sum();
        let slack = bounds.retry_slack / f64::from(gateways.max(1));
        let allowed = (bounds.retry_ratio * f64::from(requests) + slack) * USABLE_SHARE;
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        if let Some(slot) = slots.back_mut() {
            slot.retries += 1;
        }
        true
    }

    fn current_slot(&mut self, now: Duration, bounds: &Bounds, service: &str) -> &mut Slot {
        let length = (bounds.retry_window / SLOTS_PER_WINDOW).max(Duration::from_millis(1));
        let index = (now.as_nanos() / length.as_nanos()) as u64;
        let slots = self.services.entry(service.to_owned()).or_default();
        while slots.front().is_some_and(|slot| slot.index + u64::from(SLOTS_PER_WINDOW) <= index) {
            slots.pop_front();
        }
        if slots.back().is_none_or(|slot| slot.index != index) {
            slots.push_back(Slot { index, ..Slot::default() });
        }
        let last = slots.len() - 1;
        &mut slots[last]
    }
}
