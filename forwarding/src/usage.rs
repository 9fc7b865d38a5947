//! Counts the requests that began to run, by usage window and organisation.
//!
//! Other gateways report running totals per process start. A lost or repeated
//! report therefore changes nothing, and the counts of a gateway that has gone
//! are kept.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Number of a usage window since the Unix epoch.
pub type WindowIndex = u64;

/// Number of requests by organisation name.
pub type RequestCounts = BTreeMap<String, u64>;

const MAX_WINDOWS: usize = 8;

/// A gateway's name and incarnation.
pub type Source = (String, u64);

/// Request counts of this gateway and of the others.
#[derive(Debug, Default)]
pub struct Usage {
    own: BTreeMap<WindowIndex, RequestCounts>,
    peers: HashMap<Source, BTreeMap<WindowIndex, RequestCounts>>,
}

/// Window that contains `unix_time`, the time since the Unix epoch.
pub fn window_at(unix_time: Duration, window_length: Duration) -> WindowIndex {
    (unix_time.as_millis() / window_length.as_millis().max(1)) as WindowIndex
}

impl Usage {
    /// Counts a request that began to run.
    pub fn on_run(&mut self, window: WindowIndex, organisation: &str) {
        if !self.own.contains_key(&window) {
            self.remove_idle_sources(window.saturating_sub(MAX_WINDOWS as WindowIndex));
        }
        let counts = self.own.entry(window).or_default();
        *counts.entry(organisation.to_owned()).or_default() += 1;
        drop_oldest_windows(&mut self.own);
    }

    /// Counts of this gateway, for its reports.
    pub fn own(&self) -> &BTreeMap<WindowIndex, RequestCounts> {
        &self.own
    }

    /// Records the total that another gateway reported for a window and an organisation.
    pub fn on_report(
        &mut self,
        source: &Source,
        window: WindowIndex,
        organisation: &str,
        count: u64,
    ) {
        let windows = match self.peers.get_mut(source) {
            Some(windows) => windows,
            None => self.peers.entry(source.clone()).or_default(),
        };
        let known = windows.entry(window).or_default().entry(organisation.to_owned()).or_default();
        *known = count.max(*known);
        drop_oldest_windows(windows);
    }

    /// Counts of gateways that are not in `live`, in windows from `from` on. The remaining gateways
    /// report them, as the departed ones no longer send reports.
    pub fn departed_counts<'u>(
        &'u self,
        live: &'u BTreeSet<Source>,
        from: WindowIndex,
    ) -> impl Iterator<Item = (&'u Source, WindowIndex, &'u RequestCounts)> {
        let departed = self.peers.iter().filter(|(source, _)| !live.contains(source));
        departed.flat_map(move |(source, windows)| {
            windows.range(from..).map(move |(&window, counts)| (source, window, counts))
        })
    }

    /// Drops the gateways without counts in windows from `from` on.
    fn remove_idle_sources(&mut self, from: WindowIndex) {
        self.peers.retain(|_, windows| windows.range(from..).next().is_some());
    }

    /// Counts of all gateways in one window.
    pub fn total(&self, window: WindowIndex) -> RequestCounts {
        let mut total = self.own.get(&window).cloned().unwrap_or_default();
        for counts in self.peers.values().filter_map(|windows| windows.get(&window)) {
            for (organisation, count) in counts {
                let sum: &mut u64 = total.entry(organisation.clone()).or_default();
                *sum = sum.saturating_add(*count);
            }
        }
        total
    }
}

fn drop_oldest_windows(windows: &mut BTreeMap<WindowIndex, RequestCounts>) {
    while windows.len() > MAX_WINDOWS {
        windows.pop_first();
    }
}
