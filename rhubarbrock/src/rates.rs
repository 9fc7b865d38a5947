//! Speeds of a service's endpoints, measured on this node's requests.

use std::time::Duration;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Fewest prefill tokens for a sample of the prefill speed; with fewer, the wait is overhead.
const MIN_SAMPLE_TOKENS: f64 = 32.0;

/// Exponential moving averages; the defaults are estimates that samples replace gradually.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rates {
    /// Time to compute one prompt token, in microseconds.
    pub prefill_us_per_token: f64,
    /// Time from sending to the first token without prefill, in microseconds.
    pub overhead_us: f64,
    /// Time between two tokens of one answer, in microseconds.
    pub token_interval_us: f64,
    /// Size of an answer, in tokens.
    pub answer_tokens: f64,
    /// Time from sending a request to the end of its answer, in microseconds.
    pub service_us: f64,
}

impl Default for Rates {
    fn default() -> Rates {
        Rates {
            prefill_us_per_token: 100.0,
            overhead_us: 20_000.0,
            token_interval_us: 25_000.0,
            answer_tokens: 200.0,
            service_us: 5_000_000.0,
        }
    }
}

impl Rates {
    /// Records a first token after `wait`, which includes the prefill of `prefill_tokens`.
    pub fn on_first_token(&mut self, wait: Duration, prefill_tokens: f64) {
        let wait_us = wait.as_micros() as f64;
        if prefill_tokens < MIN_SAMPLE_TOKENS {
            update_average(&mut self.overhead_us, wait_us);
            return;
        }
        let prefill_us = (wait_us - self.overhead_us).max(1.0);
        update_average(&mut self.prefill_us_per_token, prefill_us / prefill_tokens);
    }

    /// Records a mean interval between tokens.
    pub fn on_interval(&mut self, interval: Duration) {
        update_average(&mut self.token_interval_us, interval.as_micros() as f64);
    }

    /// Records a complete answer.
    pub fn on_answered(&mut self, elapsed: Duration, answer_tokens: u32) {
        update_average(&mut self.service_us, elapsed.as_micros() as f64);
        update_average(&mut self.answer_tokens, f64::from(answer_tokens));
    }
}

fn update_average(value: &mut f64, sample: f64) {
    *value += (sample - *value) * SAMPLE_WEIGHT;
}
