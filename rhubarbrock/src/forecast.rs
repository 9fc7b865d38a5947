//! The work to come, from the work of the last minutes.

use std::collections::VecDeque;
use std::time::Duration;

/// How far back the peak is looked for, so that a short lull gives nothing back.
const WINDOW: Duration = Duration::from_secs(300);

/// Time over which the growth is measured.
const GROWTH_TIME: Duration = Duration::from_secs(120);

/// Share of a new sample in the smoothed value.
const SMOOTHING: f64 = 0.4;

#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Duration,
    value: f64,
}

/// Smoothed samples of the last minutes.
#[derive(Debug, Clone, Default)]
pub struct Forecast {
    samples: VecDeque<Sample>,
}

impl Forecast {
    /// Takes a sample; samples come in order of time.
    pub fn add(&mut self, at: Duration, value: f64) {
        let last = self.samples.back().map_or(value, |sample| sample.value);
        let value = last + SMOOTHING * (value - last);
        self.samples.push_back(Sample { at, value });
        while self.samples.front().is_some_and(|sample| sample.at + WINDOW < at) {
            self.samples.pop_front();
        }
    }

    /// Highest value expected up to `lead` from now, if the growth goes on.
    pub fn peak(&self, now: Duration, lead: Duration) -> f64 {
        let peak = self.samples.iter().map(|sample| sample.value).fold(0.0, f64::max);
        let Some(last) = self.samples.back() else { return 0.0 };
        let earlier = self.samples.iter().find(|sample| sample.at + GROWTH_TIME >= now);
        let Some(earlier) = earlier.filter(|earlier| earlier.at < last.at) else { return peak };
        let time = (last.at - earlier.at).as_secs_f64();
        let growth = ((last.value - earlier.value) / time).max(0.0);
        peak.max(last.value + growth * lead.as_secs_f64())
    }
}
