//! Faults of a replica.

use serde::{Deserialize, Serialize};

use crate::engine;

/// Faults and speed of one replica, which can change while it runs.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Age of the load report that is shown, in milliseconds.
    pub load_lag_ms: u64,
    /// Age from which cache events are shown, in milliseconds.
    pub cache_event_lag_ms: u64,
    /// Share of cache events that are never shown, in percent.
    pub cache_event_gap_percent: u32,
    /// Fixed part of the duration of a step, in microseconds.
    pub token_interval_us: u64,
    /// Duration that each prefilled token adds to a step, in microseconds.
    pub prefill_us_per_token: u64,
    /// Accepts connections but answers no call except those to `/faults`; answers in progress get
    /// no further tokens.
    pub frozen: bool,
    /// Behaves as after a notice of the platform: refuses new attempts and reports that it leaves.
    pub leaving: bool,
    /// Refuses new attempts with status 503.
    pub refuse: bool,
}

impl Default for Faults {
    fn default() -> Faults {
        let settings = engine::Settings::default();
        Faults {
            load_lag_ms: 300,
            cache_event_lag_ms: 500,
            cache_event_gap_percent: 2,
            token_interval_us: settings.step_base_us,
            prefill_us_per_token: settings.prefill_us_per_token,
            frozen: false,
            leaving: false,
            refuse: false,
        }
    }
}
