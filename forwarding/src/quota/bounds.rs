//! How far all gateways together may exceed a quota.

use std::time::Duration;

use crate::release::Quota;

/// Fraction of the allowed overshoot by which quotas are enlarged, so that late reports do not
/// cause refusals within the quota.
const TOLERATED_OVERSHOOT: f64 = 0.4;

/// Fraction of the allowed overshoot, counted over the quota window, that all gateways together may
/// spend beyond their shares between two reports. The rest covers lost reports.
const UNREPORTED_OVERSHOOT: f64 = 0.15;

/// Fraction of the slack for the same purpose. The rest covers single large requests.
const UNREPORTED_SLACK_SHARE: f64 = 0.4;

/// Fraction of what the deployment allows within a window that is used. The rest covers the time
/// between admission and the start of the run.
const USABLE_WINDOW: f64 = 0.96;

/// Limits on what all gateways together spend beyond a quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Window over which spending is counted.
    pub window: Duration,
    /// Allowed excess, as a fraction of the quota's rate over the window plus its burst.
    pub overshoot: f64,
    /// Units allowed in addition.
    pub slack_units: f64,
}

impl QuotaBounds {
    /// Factor by which quotas are enlarged.
    pub(super) fn tolerance(&self) -> f64 {
        1.0 + TOLERATED_OVERSHOOT * self.overshoot
    }

    /// Units that all gateways together may spend within a window.
    pub(super) fn window_units(&self, quota: &Quota) -> f64 {
        let window_units = quota.units_per_s * self.window.as_secs_f64() + quota.burst_units;
        USABLE_WINDOW * (window_units * (1.0 + self.overshoot) + self.slack_units)
    }

    /// Units that all gateways together may spend beyond their shares between two reports.
    pub(super) fn unreported_units(&self, quota: &Quota) -> f64 {
        let window_units = quota.units_per_s * self.window.as_secs_f64() + quota.burst_units;
        UNREPORTED_SLACK_SHARE * self.slack_units
            + UNREPORTED_OVERSHOOT * self.overshoot * window_units
    }
}
