//! Short-term load forecast: recent peak and linear growth of smoothed samples.

use std::collections::VecDeque;
use std::time::Duration;

/// Window in which the peak is taken, so that a short lull does not lower the forecast.
const PEAK_WINDOW: Duration = Duration::from_secs(300);

/// Window over which growth is measured.
const GROWTH_WINDOW: Duration = Duration::from_secs(120);

/// Weight of a new sample in the exponentially smoothed value.
const SAMPLE_WEIGHT: f64 = 0.4;

#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Duration,
    value: f64,
}

/// Smoothed samples of the peak window.
#[derive(Debug, Clone, Default)]
pub struct Forecast {
    samples: VecDeque<Sample>,
}

impl Forecast {
    /// Adds a sample taken at monotonic time `at`; samples must be added in order of time.
    pub fn add(&mut self, at: Duration, value: f64) {
        let last = self.samples.back().map_or(value, |sample| sample.value);
        let value = last + SAMPLE_WEIGHT * (value - last);
        self.samples.push_back(Sample { at, value });
        while self.samples.front().is_some_and(|sample| sample.at + PEAK_WINDOW < at) {
            self.samples.pop_front();
        }
    }

    /// Returns the highest value expected until `lead_time` from now: the peak of the window, or the
    /// last value extrapolated by its recent growth. 0 without samples.
    pub fn peak(&self, now: Duration, lead_time: Duration) -> f64 {
        let peak = self.samples.iter().map(|sample| sample.value).fold(0.0, f64::max);
        let Some(last) = self.samples.back() else { return 0.0 };
        let earlier = self.samples.iter().find(|sample| sample.at + GROWTH_WINDOW >= now);
        let Some(earlier) = earlier.filter(|earlier| earlier.at < last.at) else { return peak };
        let time = (last.at - earlier.at).as_secs_f64();
        let growth = ((last.value - earlier.value) / time).max(0.0);
        peak.max(last.value + growth * lead_time.as_secs_f64())
    }
}
