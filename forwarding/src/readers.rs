//! Which gateways follow releases and endpoints' entries in the store.
//!
//! Each call to the store has a price, so a few gateways read for all and
//! report the release in force, who joined and who left. The others read once
//! more where what they know differs from every reader's view for some time,
//! and follow the store themselves while they hear of too few readers that the
//! store answered lately.

use std::time::Duration;

/// Gateways that read: one may be cut off and one restarted at the same time.
const READERS: u32 = 3;

/// Fewest other readers with fresh news for a gateway not to read.
const MIN_HEARD: u32 = 2;

/// Time for which a gateway may know other endpoints than all readers: several reports.
const DIFFERENCE_LIMIT: Duration = Duration::from_millis(1_800);

/// What a gateway does about the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Reading {
    /// It follows releases and entries in the store.
    #[default]
    Reader,
    /// It takes them from the readers' reports.
    Listener {
        /// Since when it knows other endpoints than all readers.
        differs_since: Option<Duration>,
    },
}

impl Reading {
    /// Whether the gateway follows the store.
    pub fn is_reader(self) -> bool {
        self == Reading::Reader
    }

    /// Whether a listener has to read all entries once.
    pub fn must_list(self, now: Duration) -> bool {
        let Reading::Listener { differs_since: Some(since) } = self else { return false };
        now >= since + DIFFERENCE_LIMIT
    }

    /// What to do from `now` on. `rank` counts able gateways whose names come first, `readers`
    /// the others with fresh news, and `is_alike` says that one of them knows the same endpoints.
    pub fn next(self, now: Duration, rank: u32, readers: u32, is_alike: bool) -> Reading {
        if rank < READERS || readers < MIN_HEARD {
            return Reading::Reader;
        }
        let differs_since = match self {
            _ if is_alike => None,
            Reading::Listener { differs_since: Some(since) } if !self.must_list(now) => Some(since),
            Reading::Listener { .. } | Reading::Reader => Some(now),
        };
        Reading::Listener { differs_since }
    }
}

/// When the store last answered a gateway's reads.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreAnswers {
    /// Reads of releases.
    pub releases: Option<Duration>,
    /// Reads of endpoints' entries.
    pub entries: Option<Duration>,
}

impl StoreAnswers {
    /// Time since the older of the two, if there were both.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.releases?.min(self.entries?)))
    }
}
