//! How much work each service with model engines is asked for.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time over which rates are smoothed: shorter than a replica's start, longer than the
/// clumps in which callers send.
const WINDOW: Duration = Duration::from_secs(3);

/// Rates of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Arrivals {
    /// Prompt tokens a second that no other request shares.
    pub tokens_per_s: f64,
    /// First events a second.
    pub first_events_per_s: f64,
    /// First events a second that came after the latency target.
    pub late_per_s: f64,
}

impl Arrivals {
    /// Sum of two gateways' rates.
    pub fn plus(self, other: Arrivals) -> Arrivals {
        Arrivals {
            tokens_per_s: self.tokens_per_s + other.tokens_per_s,
            first_events_per_s: self.first_events_per_s + other.first_events_per_s,
            late_per_s: self.late_per_s + other.late_per_s,
        }
    }

    /// Part of the first events that came late.
    pub fn late_share(&self) -> f64 {
        if self.first_events_per_s <= 0.0 { 0.0 } else { self.late_per_s / self.first_events_per_s }
    }

    fn decay(&mut self, elapsed: Duration) {
        let factor = (-elapsed.as_secs_f64() / WINDOW.as_secs_f64()).exp();
        self.tokens_per_s *= factor;
        self.first_events_per_s *= factor;
        self.late_per_s *= factor;
    }
}

/// Rates of all services at this gateway.
#[derive(Debug, Default)]
pub struct Meter {
    services: BTreeMap<String, (Duration, Arrivals)>,
}

impl Meter {
    /// A request with a prompt was admitted.
    pub fn on_prompt(&mut self, now: Duration, service: &str, tokens: u64) {
        self.rates(now, service).tokens_per_s += tokens as f64 / WINDOW.as_secs_f64();
    }

    /// A stream's first event came.
    pub fn on_first_event(&mut self, now: Duration, service: &str, is_late: bool) {
        let rates = self.rates(now, service);
        rates.first_events_per_s += 1.0 / WINDOW.as_secs_f64();
        if is_late {
            rates.late_per_s += 1.0 / WINDOW.as_secs_f64();
        }
    }

    /// Rates of one service now.
    pub fn of(&self, now: Duration, service: &str) -> Arrivals {
        let Some(&(at, mut rates)) = self.services.get(service) else {
            return Arrivals::default();
        };
        rates.decay(now.saturating_sub(at));
        rates
    }

    /// Services that were asked for anything.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }

    fn rates(&mut self, now: Duration, service: &str) -> &mut Arrivals {
        let (at, rates) = self.services.entry(service.to_owned()).or_default();
        rates.decay(now.saturating_sub(*at));
        *at = now;
        rates
    }
}
