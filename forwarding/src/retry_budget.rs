//! Retries that all gateways may make together.
//!
//! Each gateway keeps to its own part: the ratio applies to the requests that
//! it saw, and the slack is split evenly. So the sum holds without a word
//! between gateways.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::settings::Bounds;

/// Part of the allowance that is used, as arrivals at the edges of a window may be counted
/// in either.
const USED_SHARE: f64 = 0.8;

/// Steps into which a window is cut.
const STEPS: u32 = 20;

#[derive(Debug, Default)]
struct Step {
    index: u64,
    requests: u32,
    retries: u32,
}

/// Requests and retries of each service within the last window.
#[derive(Debug, Default)]
pub struct RetryBudget {
    services: HashMap<String, VecDeque<Step>>,
}

impl RetryBudget {
    /// Counts a request of a caller.
    pub fn on_request(&mut self, now: Duration, bounds: &Bounds, service: &str) {
        self.step(now, bounds, service).requests += 1;
    }

    /// Takes one retry out of the budget, if there is one.
    pub fn take(&mut self, now: Duration, bounds: &Bounds, service: &str, gateways: u32) -> bool {
        self.step(now, bounds, service);
        let Some(steps) = self.services.get_mut(service) else { return false };
        let requests: u32 = steps.iter().map(|step| step.requests).sum();
        let retries: u32 = steps.iter().map(|step| step.retries).sum();
        let slack = bounds.retry_slack / f64::from(gateways.max(1));
        let allowed = (bounds.retry_ratio * f64::from(requests) + slack) * USED_SHARE;
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        if let Some(step) = steps.back_mut() {
            step.retries += 1;
        }
        true
    }

    fn step(&mut self, now: Duration, bounds: &Bounds, service: &str) -> &mut Step {
        let length = (bounds.retry_window / STEPS).max(Duration::from_millis(1));
        let index = (now.as_nanos() / length.as_nanos()) as u64;
        let steps = self.services.entry(service.to_owned()).or_default();
        while steps.front().is_some_and(|step| step.index + u64::from(STEPS) <= index) {
            steps.pop_front();
        }
        if steps.back().is_none_or(|step| step.index != index) {
            steps.push_back(Step { index, ..Step::default() });
        }
        let last = steps.len() - 1;
        &mut steps[last]
    }
}
