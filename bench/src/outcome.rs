//! Outcomes of the requests of a replay.

use std::time::Duration;

use hdrhistogram::Histogram;
use rhubarbrock::admission;

use crate::trace::Kind;

/// Outcome of one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Outcome {
    pub(crate) organisation: usize,
    pub(crate) kind: Kind,
    pub(crate) arrived_at: Duration,
    pub(crate) deadline: Option<Duration>,
    pub(crate) prompt_tokens: u32,
    pub(crate) answer_tokens: u32,
    pub(crate) refused: Option<admission::RefusalReason>,
    /// Time from arrival to first token.
    pub(crate) first_token: Option<Duration>,
    pub(crate) done_at: Option<Duration>,
    /// Prompt tokens computed at the endpoint although some endpoint had computed them before.
    pub(crate) recomputed_tokens: u32,
    pub(crate) attempts: u32,
}

/// Outcomes of all requests of a trace.
#[derive(Debug, Clone)]
pub(crate) struct Outcomes {
    pub(crate) requests: Vec<Outcome>,
    /// Intervals between tokens, in microseconds.
    pub(crate) intervals: Histogram<u64>,
}

/// Quantile of durations, in milliseconds; 0 if there are none.
pub(crate) fn quantile_ms(values: impl Iterator<Item = Duration>, quantile: f64) -> f64 {
    let mut histogram = new_histogram();
    for value in values {
        histogram.saturating_record(value.as_micros() as u64);
    }
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

/// An empty histogram of microseconds up to ten minutes.
pub(crate) fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("histogram bounds are valid")
}

impl Outcomes {
    /// Recomputed prompt tokens of all requests.
    pub(crate) fn recomputed_tokens(&self) -> u64 {
        self.requests.iter().map(|request| u64::from(request.recomputed_tokens)).sum()
    }

    /// Prompt tokens of all requests.
    pub(crate) fn prompt_tokens(&self) -> u64 {
        self.requests.iter().map(|request| u64::from(request.prompt_tokens)).sum()
    }

    /// Times to first token of the requests that `filter` selects.
    pub(crate) fn first_tokens<'a>(
        &'a self,
        filter: impl Fn(&Outcome) -> bool + 'a,
    ) -> impl Iterator<Item = Duration> + 'a {
        let requests = self.requests.iter().filter(move |request| filter(request));
        requests.filter_map(|request| request.first_token)
    }

    /// Median of the time to first token, in milliseconds.
    pub(crate) fn first_token_p50_ms(&self) -> f64 {
        quantile_ms(self.first_tokens(|_| true), 0.5)
    }

    /// 95th percentile of the time to first token, in milliseconds.
    pub(crate) fn first_token_p95_ms(&self) -> f64 {
        quantile_ms(self.first_tokens(|_| true), 0.95)
    }

    /// Number of requests whose first token came within their deadline.
    pub(crate) fn in_time(&self) -> usize {
        let is_in_time = |request: &&Outcome| {
            let deadline = request.deadline.unwrap_or(Duration::MAX);
            request.first_token.is_some_and(|time| time <= deadline)
        };
        self.requests.iter().filter(is_in_time).count()
    }

    /// Number of requests whose first token came after their deadline.
    pub(crate) fn served_late(&self) -> usize {
        let served = self.requests.iter().filter(|request| request.first_token.is_some()).count();
        served - self.in_time()
    }

    /// Number of requests neither answered nor refused.
    pub(crate) fn unanswered(&self) -> usize {
        let is_unresolved =
            |request: &&Outcome| request.done_at.is_none() && request.refused.is_none();
        self.requests.iter().filter(is_unresolved).count()
    }

    /// Number of refused requests.
    pub(crate) fn refused(&self) -> usize {
        self.requests.iter().filter(|request| request.refused.is_some()).count()
    }

    /// 95th percentile of the time between tokens, in milliseconds.
    pub(crate) fn interval_p95_ms(&self) -> f64 {
        self.intervals.value_at_quantile(0.95) as f64 / 1000.0
    }
}
