//! Requests that began to run, by window of the time of day and organisation.
//!
//! Counts of other gateways arrive as totals of one start of a gateway, so a
//! report that is lost or comes twice changes nothing, and those of a gateway
//! that is gone stay.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Number of a window since the Unix epoch.
pub type WindowIndex = u64;

/// Requests by organisation.
pub type RequestCounts = BTreeMap<String, u64>;

/// Windows kept.
const WINDOWS_KEPT: usize = 8;

/// A gateway's name and start.
pub type Source = (String, u64);

/// Counts of this gateway and of the others.
#[derive(Debug, Default)]
pub struct Usage {
    own: BTreeMap<WindowIndex, RequestCounts>,
    peers: HashMap<Source, BTreeMap<WindowIndex, RequestCounts>>,
}

/// The window that a time of day falls into.
pub fn window_at(wall: Duration, length: Duration) -> WindowIndex {
    (wall.as_millis() / length.as_millis().max(1)) as WindowIndex
}

impl Usage {
    /// Counts a request that began to run.
    pub fn on_run(&mut self, window: WindowIndex, organisation: &str) {
        if !self.own.contains_key(&window) {
            self.remove_sources_before(window.saturating_sub(WINDOWS_KEPT as WindowIndex));
        }
        let counts = self.own.entry(window).or_default();
        *counts.entry(organisation.to_owned()).or_default() += 1;
        drop_oldest_windows(&mut self.own);
    }

    /// Own counts, for the other gateways.
    pub fn own(&self) -> &BTreeMap<WindowIndex, RequestCounts> {
        &self.own
    }

    /// Takes the total that another gateway counted.
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

    /// Counts of gateways that are not among `live`, in windows from `from` on; nobody else
    /// tells them.
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

    /// Forgets gateways that counted nothing in windows from `from` on.
    fn remove_sources_before(&mut self, from: WindowIndex) {
        self.peers.retain(|_, windows| windows.range(from..).next().is_some());
    }

    /// Counts of all gateways in one window.
    pub fn total(&self, window: WindowIndex) -> RequestCounts {
        let mut total = self.own.get(&window).cloned().unwrap_or_default();
        for counts in self.peers.values().filter_map(|windows| windows.get(&window)) {
            for (organisation, count) in counts {
                *total.entry(organisation.clone()).or_default() += count;
            }
        }
        total
    }
}

fn drop_oldest_windows(windows: &mut BTreeMap<WindowIndex, RequestCounts>) {
    while windows.len() > WINDOWS_KEPT {
        windows.pop_first();
    }
}
