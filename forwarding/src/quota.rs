//! Quotas that all gateways keep together.
//!
//! Every gateway keeps the balance of all of them: it refills at the quota's
//! rate, falls by what the gateway spends itself, and by what the others report
//! to have spent. Between two reports the gateways don't see each other spend,
//! so each keeps to its share of the balance and of what the deployment lets a
//! quota be exceeded by; what is overspent so is made up for before the next
//! request. With many gateways a share is less than one request, so what is left
//! of it is kept for the next time, up to one request. While
//! gateways are silent, the balance refills only at the rate of those that are
//! heard, and up to their part of the burst, as the others may go on spending.

use std::collections::HashMap;
use std::time::Duration;

use crate::release::{Organisation, Quota, Unit};
use crate::request::Prompt;

/// Time over which demand is smoothed.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// Part of the balance that is shared evenly, so that a gateway without demand can serve the
/// first requests that reach it.
const EVEN_SHARE: f64 = 0.3;

/// Part of the overshoot that the deployment allows by which quotas are taken as larger, so that
/// late reports don't refuse what is due.
const TOLERATED_OVERSHOOT: f64 = 0.4;

/// Part of the overshoot, reckoned over the window, that all gateways together may spend beyond
/// their shares between two reports; the rest covers reports that are lost.
const UNREPORTED_OVERSHOOT: f64 = 0.15;

/// The same of the slack; the rest covers single large requests.
const UNREPORTED_SLACK_SHARE: f64 = 0.4;

/// Part of the slack by which plain requests may overdraw the balance. They count little, and
/// would wait behind prompts that count a hundred times as much.
const PLAIN_OVERDRAFT_SHARE: f64 = 0.25;

/// Shortest wait told to a refused caller.
const MIN_WAIT: Duration = Duration::from_millis(100);

/// Why a request's units cannot be spent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shortage {
    /// When the balance should suffice.
    pub wait: Duration,
    /// Units that the request counts.
    pub units: u64,
    /// Balance of all gateways, as known here.
    pub balance_units: i64,
    /// Part of the balance that this gateway may spend between two reports, in percent.
    pub share_percent: u8,
}

/// What the other gateways report of one organisation.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeerDemand {
    /// Sum of their demands, in units a second.
    pub units_per_s: f64,
    /// Sum of what they were seen to spend; only grows.
    pub spent_units: f64,
    /// Number of gateways, this one included.
    pub gateways: u32,
    /// Gateways that reported lately, this one included.
    pub live_gateways: u32,
}

#[derive(Debug, Clone)]
struct Account {
    quota: Quota,
    bounds: QuotaBounds,
    balance_units: f64,
    spent_since_reports_units: f64,
    /// Own part of the demand of all gateways.
    share: f64,
    /// Part of the gateways that are heard.
    live_share: f64,
    demand_units_per_s: f64,
    spent_units: f64,
    peers_spent_units: f64,
    /// What may be spent until the next reports, and what of it was kept from the time before.
    allowance_units: f64,
    /// Largest request so far.
    largest_units: f64,
    refilled_at: Duration,
}

impl QuotaBounds {
    /// Factor by which quotas are taken as larger.
    fn tolerance(&self) -> f64 {
        1.0 + TOLERATED_OVERSHOOT * self.overshoot
    }

    /// Units that all gateways may spend beyond their shares between two reports.
    fn unreported_units(&self, quota: &Quota) -> f64 {
        let window_units = quota.units_per_s * self.window.as_secs_f64() + quota.burst_units;
        UNREPORTED_SLACK_SHARE * self.slack_units
            + UNREPORTED_OVERSHOOT * self.overshoot * window_units
    }
}

/// Accounts of all organisations at this gateway.
#[derive(Debug)]
pub struct Accounts {
    accounts: HashMap<String, Account>,
    bounds: QuotaBounds,
}

/// By how much all gateways together may exceed a quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Time over which what is spent is added up.
    pub window: Duration,
    /// Part of the quota, its rate over the window and its burst.
    pub overshoot: f64,
    /// Units beside that.
    pub slack_units: f64,
}

/// What a request counts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cost {
    /// Units of the quota.
    pub units: f64,
    /// Whether it is a request without a prompt.
    pub is_plain: bool,
}

/// Units that a request counts.
pub fn request_units(quota: &Quota, prompt: Option<&Prompt>) -> f64 {
    match quota.unit {
        Unit::Requests => 1.0,
        Unit::Tokens { unnamed_tokens } => prompt.map_or(unnamed_tokens, |prompt| {
            (prompt.input_tokens + prompt.max_output_tokens) as f64
        }),
    }
}

impl Accounts {
    /// No accounts yet.
    pub fn new(bounds: QuotaBounds) -> Accounts {
        Accounts { accounts: HashMap::new(), bounds }
    }

    /// Spends a request's units, or says what is missing. `gateways` counts all, this one included.
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
        account.demand_units_per_s += units / DEMAND_WINDOW.as_secs_f64();
        account.on_request_size(units);
        if !account.may_spend(cost) {
            return Err(account.shortage(units));
        }
        account.balance_units -= units;
        account.spent_since_reports_units += units;
        account.spent_units += units;
        Ok(())
    }

    /// The account of an organisation with a quota.
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

    /// Gives back what a request that did not run had spent.
    pub fn refund(&mut self, organisation: &str, units: f64) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.balance_units += units;
            account.spent_since_reports_units -= units;
            account.spent_units -= units;
        }
    }

    /// Takes what the other gateways report, also of an organisation that asked nothing here.
    pub fn on_reports(&mut self, now: Duration, organisation: &Organisation, peers: &PeerDemand) {
        let Some(account) = self.account(now, organisation, peers.gateways) else { return };
        account.refill(now);
        account.on_reports(peers);
    }

    /// Demand and spending of each organisation, for the other gateways.
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

    /// A gateway that has kept one request may send a larger one as well.
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
        let refill = self.quota.units_per_s * self.bounds.tolerance() * elapsed * self.live_share;
        let burst_units = self.burst_units() * self.live_share;
        self.balance_units = (self.balance_units + refill).min(burst_units);
        self.demand_units_per_s *= (-elapsed / DEMAND_WINDOW.as_secs_f64()).exp();
    }

    fn on_reports(&mut self, peers: &PeerDemand) {
        let gateways = f64::from(peers.gateways.max(1));
        let spent = (peers.spent_units - self.peers_spent_units).max(0.0);
        self.peers_spent_units = peers.spent_units;
        self.balance_units -= spent;
        let left_units = (self.allowance_units - self.spent_since_reports_units).max(0.0);
        self.spent_since_reports_units = 0.0;
        self.live_share = f64::from(peers.live_gateways) / gateways;
        let total = peers.units_per_s + self.demand_units_per_s;
        let demand_share =
            if total > 0.0 { self.demand_units_per_s / total } else { 1.0 / gateways };
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
        let missing = units.min(max_units) - self.balance_units;
        let rate = self.quota.units_per_s * self.live_share;
        if missing <= 0.0 || rate <= 0.0 {
            return MIN_WAIT;
        }
        Duration::from_secs_f64((missing / rate).min(10.0)).max(MIN_WAIT)
    }
}
