//! Smoothed rates of the work that arrives at each service with model engines.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::prompt_speed::PromptSamples;

/// Smoothing window: shorter than a replica's start, longer than the bursts in which callers send.
const SMOOTHING_WINDOW: Duration = Duration::from_secs(3);

/// Time constant with which samples of the prompt speed lose weight. It is long enough for samples
/// of all sizes at a gateway with few requests, and short enough to follow a new release.
const PROMPT_SAMPLE_DECAY: Duration = Duration::from_secs(20);

/// Work rates of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ArrivalRates {
    /// Prompt tokens per second that are not in a shared part.
    pub tokens_per_s: f64,
    /// First events of streams per second.
    pub first_events_per_s: f64,
    /// First events per second that missed the latency target.
    pub late_first_events_per_s: f64,
    /// Requests per second times the seconds for which each generates its answer: the mean number
    /// of requests that generate at once.
    pub generating_requests: f64,
    /// Times to the first event at endpoints without queued prompts.
    pub prompt_samples: PromptSamples,
}

impl ArrivalRates {
    /// Adds the rates of another gateway.
    pub fn plus(self, other: ArrivalRates) -> ArrivalRates {
        ArrivalRates {
            tokens_per_s: self.tokens_per_s + other.tokens_per_s,
            first_events_per_s: self.first_events_per_s + other.first_events_per_s,
            late_first_events_per_s: self.late_first_events_per_s + other.late_first_events_per_s,
            generating_requests: self.generating_requests + other.generating_requests,
            prompt_samples: self.prompt_samples.plus(other.prompt_samples),
        }
    }

    /// Fraction of the first events that were late; 0 without first events.
    pub fn late_share(&self) -> f64 {
        if self.first_events_per_s <= 0.0 {
            0.0
        } else {
            self.late_first_events_per_s / self.first_events_per_s
        }
    }

    /// Mean number of requests that take a slot of an endpoint: until the first event, without the
    /// time in a queue, and while they generate.
    pub fn requests_in_progress(&self) -> f64 {
        let until_first_event_s = self.prompt_samples.mean_latency_s().unwrap_or_default();
        self.generating_requests + self.first_events_per_s * until_first_event_s
    }

    fn decay(&mut self, elapsed: Duration) {
        let factor = (-elapsed.as_secs_f64() / SMOOTHING_WINDOW.as_secs_f64()).exp();
        self.tokens_per_s *= factor;
        self.first_events_per_s *= factor;
        self.late_first_events_per_s *= factor;
        self.generating_requests *= factor;
        let elapsed_shares = elapsed.as_secs_f64() / PROMPT_SAMPLE_DECAY.as_secs_f64();
        self.prompt_samples.scale((-elapsed_shares).exp());
    }
}

/// Work rates of all services at this gateway.
#[derive(Debug, Default)]
pub struct ArrivalMeter {
    services: BTreeMap<String, (Duration, ArrivalRates)>,
}

impl ArrivalMeter {
    /// Counts an admitted request with a prompt of `tokens` unshared tokens.
    pub fn on_prompt(&mut self, now: Duration, service: &str, tokens: u64) {
        self.rates_mut(now, service).tokens_per_s += tokens as f64 / SMOOTHING_WINDOW.as_secs_f64();
    }

    /// Counts a stream's first event.
    pub fn on_first_event(&mut self, now: Duration, service: &str, is_late: bool) {
        let rates = self.rates_mut(now, service);
        rates.first_events_per_s += 1.0 / SMOOTHING_WINDOW.as_secs_f64();
        if is_late {
            rates.late_first_events_per_s += 1.0 / SMOOTHING_WINDOW.as_secs_f64();
        }
    }

    /// Counts the time to the first event of a request to an endpoint without queued prompts.
    pub fn on_prompt_processed(
        &mut self,
        now: Duration,
        service: &str,
        tokens: u64,
        latency: Duration,
    ) {
        self.rates_mut(now, service).prompt_samples.add(tokens, latency);
    }

    /// Counts the time from a stream's first event to its end.
    pub fn on_generated(&mut self, now: Duration, service: &str, elapsed: Duration) {
        self.rates_mut(now, service).generating_requests +=
            elapsed.as_secs_f64() / SMOOTHING_WINDOW.as_secs_f64();
    }

    /// Rates of one service, decayed to `now`.
    pub fn rates(&self, now: Duration, service: &str) -> ArrivalRates {
        let Some(&(at, mut rates)) = self.services.get(service) else {
            return ArrivalRates::default();
        };
        rates.decay(now.saturating_sub(at));
        rates
    }

    /// Services that have received requests with prompts.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }

    fn rates_mut(&mut self, now: Duration, service: &str) -> &mut ArrivalRates {
        let (at, rates) = self.services.entry(service.to_owned()).or_default();
        rates.decay(now.saturating_sub(*at));
        *at = now;
        rates
    }
}
