//! Decides which gateways read releases and endpoint entries from the store.
//!
//! Each call to the store has a cost, so a few gateways (readers) read it and
//! report the release in force and which endpoints joined or left. The others
//! (listeners) list the entries once when their endpoints have differed from
//! those of all readers for some time. They become readers when they hear of
//! too few readers that the store answered recently.

use std::time::Duration;

/// Number of readers: one may be partitioned and another restarting at the same time.
const READER_COUNT: u32 = 3;

/// Minimum number of other fresh readers for a gateway to be a listener.
const MIN_OTHER_READERS: u32 = 2;

/// Time for which the endpoints of a listener may differ from those of all readers; covers several
/// reports.
const DIFFERENCE_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Number that rises each time the store is restored from a copy; 0 if the store states none. What
/// the store acknowledged before may then be missing, and offsets are given out again.
pub type StoreEra = u64;

/// How a gateway learns the store's contents.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StoreRole {
    /// Reads releases and entries from the store.
    #[default]
    Reader,
    /// Takes them from the readers' reports.
    Listener {
        /// Start of the period in which its endpoints differ from those of all readers.
        differs_since: Option<Duration>,
    },
}

impl StoreRole {
    /// Whether the gateway reads the store.
    pub fn is_reader(self) -> bool {
        self == StoreRole::Reader
    }

    /// Whether a listener has to list all entries once.
    pub fn must_list_all(self, now: Duration) -> bool {
        let StoreRole::Listener { differs_since: Some(since) } = self else { return false };
        now >= since + DIFFERENCE_TIMEOUT
    }

    /// Returns the role from `now` on. `rank` counts the eligible gateways whose names sort first,
    /// `fresh_readers` the other readers that the store answered recently; `agrees_with_reader` is
    /// whether any reader knows the same endpoints.
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

/// Times of the store's last answers to this gateway's reads.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreAnswerTimes {
    /// Last answer to a read of releases.
    pub releases_at: Option<Duration>,
    /// Last answer to a read of endpoint entries.
    pub entries_at: Option<Duration>,
    /// Whether the latest read of either kind failed.
    pub is_failing: bool,
}

impl StoreAnswerTimes {
    /// Time since the older of the two answers; `None` if one is missing.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.releases_at?.min(self.entries_at?)))
    }
}
