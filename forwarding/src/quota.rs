//! Quotas that all gateways share.
//!
//! Every gateway tracks the balance of all gateways together: it refills at the
//! quota's rate and falls by what this gateway spends and by what the others
//! report to have spent. Between two reports a gateway does not see what the
//! others spend, so each one may spend only its share of the balance and of the
//! overshoot that the deployment allows. Overspending lowers the balance and
//! thus delays later requests.
//!
//! With many gateways a share is smaller than one request, so the unused rest
//! of a share is carried over, up to the size of the largest request.
//!
//! While some gateways are silent, the balance refills only in proportion to
//! the live gateways, and only up to their fraction of the burst, because the
//! silent ones may still be spending.

use std::collections::HashMap;
use std::time::Duration;

use crate::release::{Organisation, Quota, Unit};
use crate::request::Prompt;

/// Time constant of the smoothed demand.
const DEMAND_SMOOTHING: Duration = Duration::from_secs(2);

/// Fraction of the balance that is divided evenly, so that a gateway without demand can serve the
/// first requests that reach it.
const EVEN_SHARE: f64 = 0.3;

/// Fraction of the allowed overshoot by which quotas are enlarged, so that late reports do not
/// cause refusals within the quota.
const TOLERATED_OVERSHOOT: f64 = 0.4;

/// Fraction of the allowed overshoot, counted over the quota window, that all gateways together may
/// spend beyond their shares between two reports. The rest covers lost reports.
const UNREPORTED_OVERSHOOT: f64 = 0.15;

/// Fraction of the slack for the same purpose. The rest covers single large requests.
const UNREPORTED_SLACK_SHARE: f64 = 0.4;

/// Fraction of the slack by which plain requests may overdraw the balance. They cost little and
/// would otherwise wait behind prompts that cost a hundred times as much.
const PLAIN_OVERDRAFT_SHARE: f64 = 0.25;

/// Minimum retry delay sent to a refused caller.
const MIN_WAIT: Duration = Duration::from_millis(100);

/// Why the units of a request cannot be spent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shortage {
    /// Time until the balance is expected to suffice.
    pub wait: Duration,
    /// Units that the request costs.
    pub units: u64,
    /// Balance of all gateways, as known to this one.
    pub balance_units: i64,
    /// This gateway's share of the balance between two reports, in percent.
    pub share_percent: u8,
}

/// Sum of what the other gateways report for one organisation.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeerDemand {
    /// Demand of the other gateways, in units per second.
    pub units_per_s: f64,
    /// Units that the other gateways were seen to spend; never decreases.
    pub spent_units: f64,
    /// Number of gateways that share the quota, including this one.
    pub gateways: u32,
    /// Number of gateways that reported recently, including this one.
    pub live_gateways: u32,
}

#[derive(Debug, Clone)]
struct Account {
    quota: Quota,
    bounds: QuotaBounds,
    balance_units: f64,
    spent_since_reports_units: f64,
    /// This gateway's share of the balance, as a fraction.
    share: f64,
    /// Fraction of the gateways that reported recently.
    live_share: f64,
    demand_units_per_s: f64,
    spent_units: f64,
    peers_spent_units: f64,
    /// Units that may be spent until the next reports, including what was carried over.
    allowance_units: f64,
    /// Size of the largest request so far.
    largest_units: f64,
    refilled_at: Duration,
}

impl QuotaBounds {
    /// Factor by which quotas are enlarged.
    fn tolerance(&self) -> f64 {
        1.0 + TOLERATED_OVERSHOOT * self.overshoot
    }

    /// Units that all gateways together may spend beyond their shares between two reports.
    fn unreported_units(&self, quota: &Quota) -> f64 {
        let window_units = quota.units_per_s * self.window.as_secs_f64() + quota.burst_units;
        UNREPORTED_SLACK_SHARE * self.slack_units
            + UNREPORTED_OVERSHOOT * self.overshoot * window_units
    }
}

/// Quota accounts of all organisations at this gateway.
#[derive(Debug)]
pub struct Accounts {
    accounts: HashMap<String, Account>,
    bounds: QuotaBounds,
}

/// How far all gateways together may exceed a quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Window over which spending is counted.
    pub window: Duration,
    /// Allowed excess, as a fraction of the quota's rate over the window plus its burst.
    pub overshoot: f64,
    /// Units allowed in addition.
    pub slack_units: f64,
}

/// What a request costs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cost {
    /// Cost in units of the organisation's quota.
    pub units: f64,
    /// Whether the request has no prompt.
    pub is_plain: bool,
}

/// Units that a request costs under a quota.
pub fn request_units(quota: &Quota, prompt: Option<&Prompt>) -> f64 {
    match quota.unit {
        Unit::Requests => 1.0,
        Unit::Tokens { unnamed_tokens } => prompt.map_or(unnamed_tokens, |prompt| {
            prompt.input_tokens as f64 + prompt.max_output_tokens as f64
        }),
    }
}

impl Accounts {
    /// Creates an empty set of accounts; an account is opened at its first use.
    pub fn new(bounds: QuotaBounds) -> Accounts {
        Accounts { accounts: HashMap::new(), bounds }
    }

    /// Spends the units of a request, or returns why they cannot be spent. `gateways` includes this
    /// one. An organisation without a quota is never refused.
    pub fn spend(
        &mut self,
        now: Duration,
        organisation: &Organisation,
        gateways: u32,
        cost: &Cost,
    ) -> Result<(), Shortage> {
        let Some(account) = self.account(now, organisation, gateways) else { return Ok(()) };
        account.refill(now);
        let units = cost.units;
        account.demand_units_per_s += units / DEMAND_SMOOTHING.as_secs_f64();
        account.on_request_size(units);
        if !account.may_spend(cost) {
            return Err(account.shortage(units));
        }
        account.balance_units -= units;
        account.spent_since_reports_units += units;
        account.spent_units += units;
        Ok(())
    }

    /// Account of an organisation; `None` if it has no quota.
    fn account(
        &mut self,
        now: Duration,
        organisation: &Organisation,
        gateways: u32,
    ) -> Option<&mut Account> {
        let quota = organisation.quota?;
        let account = self
            .accounts
            .entry(organisation.name.clone())
            .or_insert_with(|| Account::new(now, quota, self.bounds, gateways));
        account.set_quota(quota);
        Some(account)
    }

    /// Returns the units of a request that did not run.
    pub fn refund(&mut self, organisation: &str, units: f64) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.balance_units += units;
            account.spent_since_reports_units -= units;
            account.spent_units -= units;
        }
    }

    /// Applies the reports of the other gateways; opens an account if the organisation has none
    /// here.
    pub fn on_reports(&mut self, now: Duration, organisation: &Organisation, peers: &PeerDemand) {
        let Some(account) = self.account(now, organisation, peers.gateways) else { return };
        account.refill(now);
        account.on_reports(peers);
    }

    /// Name, demand in units per second and spent units of each organisation, for reports.
    pub fn demands(&self) -> impl Iterator<Item = (&str, f64, f64)> {
        self.accounts.iter().map(|(name, account)| {
            (name.as_str(), account.demand_units_per_s, account.spent_units.max(0.0))
        })
    }
}

impl Account {
    fn new(now: Duration, quota: Quota, bounds: QuotaBounds, gateways: u32) -> Account {
        let share = 1.0 / f64::from(gateways.max(1));
        let burst_units = quota.burst_units * bounds.tolerance();
        Account {
            quota,
            bounds,
            balance_units: burst_units,
            spent_since_reports_units: 0.0,
            share,
            live_share: 1.0,
            demand_units_per_s: 0.0,
            spent_units: 0.0,
            peers_spent_units: 0.0,
            largest_units: 0.0,
            allowance_units: share * burst_units + bounds.unreported_units(&quota) * share,
            refilled_at: now,
        }
    }

    fn burst_units(&self) -> f64 {
        self.quota.burst_units * self.bounds.tolerance()
    }

    /// Raises the allowance for a request larger than any before, if the allowance covered one of
    /// the previous maximum size.
    fn on_request_size(&mut self, units: f64) {
        if units <= self.largest_units {
            return;
        }
        let left_units = self.allowance_units - self.spent_since_reports_units;
        if left_units >= self.largest_units && left_units < units {
            self.allowance_units += units - left_units;
        }
        self.largest_units = units;
    }

    fn may_spend(&self, cost: &Cost) -> bool {
        let units = cost.units;
        let max_units = self.burst_units() * self.live_share;
        if cost.is_plain && self.balance_units > -PLAIN_OVERDRAFT_SHARE * self.bounds.slack_units {
            return true;
        }
        if self.balance_units < units.min(max_units) {
            return false;
        }
        self.spent_since_reports_units + units <= self.allowance_units
    }

    fn set_quota(&mut self, quota: Quota) {
        if self.quota == quota {
            return;
        }
        self.quota = quota;
        self.balance_units = self.balance_units.min(self.burst_units());
        self.allowance_units = self.allowance_units.min(self.burst_units());
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let refill_units =
            self.quota.units_per_s * self.bounds.tolerance() * elapsed * self.live_share;
        let burst_units = self.burst_units() * self.live_share;
        self.balance_units = (self.balance_units + refill_units).min(burst_units);
        self.demand_units_per_s *= (-elapsed / DEMAND_SMOOTHING.as_secs_f64()).exp();
    }

    fn on_reports(&mut self, peers: &PeerDemand) {
        let gateways = f64::from(peers.gateways.max(1));
        let spent_by_peers_units = (peers.spent_units - self.peers_spent_units).max(0.0);
        self.peers_spent_units = peers.spent_units;
        self.balance_units -= spent_by_peers_units;
        let left_units = (self.allowance_units - self.spent_since_reports_units).max(0.0);
        self.spent_since_reports_units = 0.0;
        self.live_share = f64::from(peers.live_gateways) / gateways;
        let total_units_per_s = peers.units_per_s + self.demand_units_per_s;
        let demand_share = if total_units_per_s > 0.0 {
            self.demand_units_per_s / total_units_per_s
        } else {
            1.0 / gateways
        };
        self.share = EVEN_SHARE / gateways + (1.0 - EVEN_SHARE) * demand_share;
        let unreported_units = self.bounds.unreported_units(&self.quota) / gateways;
        let share_units = self.share * self.balance_units.max(0.0) + unreported_units;
        self.allowance_units = share_units + left_units.min(self.largest_units);
    }

    fn shortage(&self, units: f64) -> Shortage {
        Shortage {
            wait: self.wait(units),
            units: units as u64,
            balance_units: self.balance_units as i64,
            share_percent: (self.share * 100.0) as u8,
        }
    }

    fn wait(&self, units: f64) -> Duration {
        let max_units = self.burst_units() * self.live_share;
        let missing_units = units.min(max_units) - self.balance_units;
        let refill_units_per_s = self.quota.units_per_s * self.live_share;
        if missing_units <= 0.0 || refill_units_per_s <= 0.0 {
            return MIN_WAIT;
        }
        Duration::from_secs_f64((missing_units / refill_units_per_s).min(10.0)).max(MIN_WAIT)
    }
}
