//! Speeds of a service's endpoints, learnt from this node's own requests.

use std::time::Duration;

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Fewest tokens from which a prefill speed is learnt.
const MIN_SAMPLE_TOKENS: f64 = 32.0;

/// Learnt speeds; the fields start at guesses that the first samples replace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rates {
    /// Time to compute one prompt token.
    pub prefill_us_per_token: f64,
    /// Time from sending to the first token besides prefill.
    pub overhead_us: f64,
    /// Time between two tokens of one answer.
    pub token_interval_us: f64,
    /// Tokens of an answer.
    pub answer_tokens: f64,
    /// Whole time of a request at its endpoint.
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
    /// A first token came after `wait`, behind `tokens` of prefill work.
    pub fn on_first_token(&mut self, wait: Duration, tokens: f64) {
        let wait_us = wait.as_micros() as f64;
        if tokens < MIN_SAMPLE_TOKENS {
            learn(&mut self.overhead_us, wait_us);
            return;
        }
        let prefill_us = (wait_us - self.overhead_us).max(1.0);
        learn(&mut self.prefill_us_per_token, prefill_us / tokens);
    }

    /// Tokens came with this mean interval.
    pub fn on_interval(&mut self, interval: Duration) {
        learn(&mut self.token_interval_us, interval.as_micros() as f64);
    }

    /// A request ended with a whole answer.
    pub fn on_answered(&mut self, took: Duration, answer_tokens: u32) {
        learn(&mut self.service_us, took.as_micros() as f64);
        learn(&mut self.answer_tokens, f64::from(answer_tokens));
    }
}

fn learn(value: &mut f64, sample: f64) {
    *value += (sample - *value) * SAMPLE_WEIGHT;
}
