//! Which gateways follow releases and endpoints' entries in the store.
//!
//! Each call to the store has a price, so a few gateways read for all and
//! report the release in force, who joined and who left. The others read once
//! more where what they know differs from every reader's view for some time,
//! and follow the store themselves while they hear of too few readers that the
//! store answered lately.

use std::time::Duration;

/// Gateways that read: one may be cut off and one restarted at the same time.
const READER_COUNT: u32 = 3;

/// Fewest other readers with fresh news for a gateway not to read.
const MIN_OTHER_READERS: u32 = 2;

/// Time for which a gateway may know other endpoints than all readers: several reports.
const DIFFERENCE_LIMIT: Duration = Duration::from_millis(1_800);

/// What a gateway does about the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StoreRole {
    /// It follows releases and entries in the store.
    #[default]
    Reader,
    /// It takes them from the readers' reports.
    Listener {
        /// Since when it knows other endpoints than all readers.
        differs_since: Option<Duration>,
    },
}

impl StoreRole {
    /// Whether the gateway follows the store.
    pub fn is_reader(self) -> bool {
        self == StoreRole::Reader
    }

    /// Whether a listener has to read all entries once.
    pub fn must_list_all(self, now: Duration) -> bool {
        let StoreRole::Listener { differs_since: Some(since) } = self else { return false };
        now >= since + DIFFERENCE_LIMIT
    }

    /// What to do from `now` on. `rank` counts able gateways whose names come first,
    /// `fresh_readers` the others with fresh news, and `agrees_with_reader` says that one of
    /// them knows the same endpoints.
    pub fn next(
        self,
        now: Duration,
        rank: u32,
        fresh_readers: u32,
        agrees_with_reader: bool,
    ) -> StoreRole {
        if rank < READER_COUNT || fresh_readers < MIN_OTHER_READERS {
            return StoreRole::Reader;
        }
        let differs_since = match self {
            _ if agrees_with_reader => None,
            StoreRole::Listener { differs_since: Some(since) } if !self.must_list_all(now) => {
                Some(since)
            }
            StoreRole::Listener { .. } | StoreRole::Reader => Some(now),
        };
        StoreRole::Listener { differs_since }
    }
}

/// When the store last answered a gateway's reads.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreAnswerTimes {
    /// Reads of releases.
    pub releases_at: Option<Duration>,
    /// Reads of endpoints' entries.
    pub entries_at: Option<Duration>,
}

impl StoreAnswerTimes {
    /// Time since the older of the two, if there were both.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.releases_at?.min(self.entries_at?)))
    }
}
