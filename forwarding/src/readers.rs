//! Which gateways follow the endpoints' entries in the store.
//!
//! Each call to the store has a price, so a few gateways read for all and
//! report who joined and who left. The others read once more where what they
//! know differs from every reader's view for some time, and follow the store
//! themselves while they hear of too few readers.

use std::time::Duration;

/// Gateways that read: one may be cut off and one restarted at the same time.
const READERS: u32 = 3;

/// Fewest other readers that must be heard for a gateway not to read.
const MIN_HEARD: u32 = 2;

/// Time for which a gateway may know other endpoints than all readers: several reports.
const DIFFERENCE_LIMIT: Duration = Duration::from_millis(1_800);

/// What a gateway does about the entries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Reading {
    /// It follows them in the store.
    #[default]
    Reader,
    /// It takes them from the readers' reports.
    Listener {
        /// Since when it knows other endpoints than all readers.
        differs_since: Option<Duration>,
    },
}

impl Reading {
    /// Whether the gateway follows the entries in the store.
    pub fn is_reader(self) -> bool {
        self == Reading::Reader
    }

    /// Whether a listener has to read all entries once.
    pub fn must_list(self, now: Duration) -> bool {
        let Reading::Listener { differs_since: Some(since) } = self else { return false };
        now >= since + DIFFERENCE_LIMIT
    }

    /// What to do from `now` on. `rank` counts live gateways whose names come first, `readers`
    /// the other live readers, and `is_alike` says that one of them knows the same endpoints.
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
