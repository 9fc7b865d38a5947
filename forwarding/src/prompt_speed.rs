//! Speed at which the endpoints of a service process prompts.
//!
//! The first event of a request at an endpoint without queued prompts comes
//! after a fixed delay plus the time for its unshared prompt tokens. The slope of
//! a linear regression over such requests is therefore the processing time per
//! token. Delays that do not depend on the size of the unshared part, such as
//! cache misses on shared parts, change the intercept only.
//!
//! ```
//! use std::time::Duration;
//!
//! use forwarding::prompt_speed::PromptSamples;
//!
//! let mut samples = PromptSamples::default();
//! for tokens in (0..40).map(|index| 500 * index) {
//!     samples.add(tokens, Duration::from_millis(30 + tokens / 50));
//! }
//! let tokens_per_s = samples.tokens_per_s().unwrap();
//! assert!((tokens_per_s - 50_000.0).abs() < 500.0);
//! ```

use std::time::Duration;

/// Minimum weight of the samples for an estimate.
const MIN_SAMPLES: f64 = 20.0;

/// Maximum standard error of the slope, as a fraction of it.
const MAX_RELATIVE_ERROR: f64 = 0.2;

/// Weighted sums over requests, from which the speed is estimated. The sums of several gateways
/// can be added.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PromptSamples {
    /// Total weight; a new sample has weight 1.
    pub count: f64,
    /// Sum of the unshared prompt tokens.
    pub tokens: f64,
    /// Sum of the times to the first event, in seconds.
    pub latency_s: f64,
    /// Sum of the squared tokens.
    pub squared_tokens: f64,
    /// Sum of the squared times, in square seconds.
    pub squared_latency_s2: f64,
    /// Sum of the products of tokens and times, in seconds.
    pub tokens_latency_s: f64,
}

impl PromptSamples {
    /// Adds a request with `tokens` unshared tokens and the time to its first event.
    pub fn add(&mut self, tokens: u64, latency: Duration) {
        let (tokens, latency_s) = (tokens as f64, latency.as_secs_f64());
        self.count += 1.0;
        self.tokens += tokens;
        self.latency_s += latency_s;
        self.squared_tokens += tokens * tokens;
        self.squared_latency_s2 += latency_s * latency_s;
        self.tokens_latency_s += tokens * latency_s;
    }

    /// Adds the samples of another gateway.
    pub fn plus(self, other: PromptSamples) -> PromptSamples {
        PromptSamples {
            count: self.count + other.count,
            tokens: self.tokens + other.tokens,
            latency_s: self.latency_s + other.latency_s,
            squared_tokens: self.squared_tokens + other.squared_tokens,
            squared_latency_s2: self.squared_latency_s2 + other.squared_latency_s2,
            tokens_latency_s: self.tokens_latency_s + other.tokens_latency_s,
        }
    }

    /// Multiplies all weights by `factor`.
    pub fn scale(&mut self, factor: f64) {
        self.count *= factor;
        self.tokens *= factor;
        self.latency_s *= factor;
        self.squared_tokens *= factor;
        self.squared_latency_s2 *= factor;
        self.tokens_latency_s *= factor;
    }

    /// Mean time to the first event, in seconds; `None` if the samples are too few.
    pub fn mean_latency_s(&self) -> Option<f64> {
        (self.count >= MIN_SAMPLES).then(|| self.latency_s / self.count)
    }

    /// Prompt tokens that one endpoint processes per second; `None` if the samples are too few or
    /// scatter too much for an estimate.
    pub fn tokens_per_s(&self) -> Option<f64> {
        if self.count < MIN_SAMPLES {
            return None;
        }
        let (mean_tokens, mean_latency_s) = (self.tokens / self.count, self.latency_s / self.count);
        let token_variance = self.squared_tokens / self.count - mean_tokens * mean_tokens;
        let covariance = self.tokens_latency_s / self.count - mean_tokens * mean_latency_s;
        if token_variance <= 0.0 || covariance <= 0.0 {
            return None;
        }
        let slope_s = covariance / token_variance;
        let latency_variance =
            self.squared_latency_s2 / self.count - mean_latency_s * mean_latency_s;
        let residual_variance = (latency_variance - slope_s * covariance).max(0.0);
        let standard_error_s = (residual_variance / token_variance / (self.count - 2.0)).sqrt();
        (standard_error_s <= MAX_RELATIVE_ERROR * slope_s).then_some(1.0 / slope_s)
    }
}
