//! Quotas that all gateways keep together.
//!
//! Each gateway owns a share of an organisation's rate and burst, in proportion
//! to the demand that it sees of it. The shares of all gateways sum to the
//! quota, so it holds without a word between them. What the others leave unused
//! is lent: a gateway that hears from all others may spend its part of the
//! balance that all of them report, until the next report.

use std::collections::HashMap;
use std::time::Duration;

use crate::release::{Organisation, Quota, Unit};
use crate::request::Prompt;

/// Time over which demand is smoothed.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// Part of the quota that is shared evenly, so that a gateway without demand can serve the
/// first requests that reach it.
const EVEN_SHARE: f64 = 0.3;

/// Part of the reported balance that gateways may lend each other between two reports.
const LENT_SHARE: f64 = 0.5;

/// Shortest wait told to a refused caller.
const MIN_WAIT: Duration = Duration::from_millis(100);

/// What the other gateways report of one organisation.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeerDemand {
    /// Sum of their demands, in units a second.
    pub units_per_s: f64,
    /// Sum of what they spent since their starts.
    pub spent_units: f64,
    /// Number of gateways, this one included.
    pub gateways: u32,
    /// Whether all of them reported lately.
    pub is_fresh: bool,
}

#[derive(Debug, Clone)]
struct Account {
    /// Own share that is left.
    own_units: f64,
    /// Balance of all gateways as last reported.
    common_units: f64,
    /// What may still be borrowed until the next report.
    lent_units: f64,
    share: f64,
    demand_units_per_s: f64,
    spent_units: f64,
    peers_spent_units: f64,
    refilled_at: Duration,
    quota: Quota,
}

/// Accounts of all organisations at this gateway.
#[derive(Debug, Default)]
pub struct Accounts {
    accounts: HashMap<String, Account>,
}

/// Units that a request counts.
pub fn units(quota: &Quota, prompt: Option<&Prompt>) -> f64 {
    match quota.unit {
        Unit::Requests => 1.0,
        Unit::Tokens { unnamed_tokens } => prompt
            .map_or(unnamed_tokens, |prompt| (prompt.input_tokens + prompt.output_tokens) as f64),
    }
}

impl Accounts {
    /// Spends a request's units, or says how long the caller should wait.
    pub fn spend(
        &mut self,
        now: Duration,
        organisation: &Organisation,
        gateways: u32,
        units: f64,
    ) -> Result<(), Duration> {
        let Some(quota) = organisation.quota else { return Ok(()) };
        let account = self
            .accounts
            .entry(organisation.name.clone())
            .or_insert_with(|| Account::new(now, quota, gateways));
        account.set_quota(quota);
        account.refill(now);
        account.demand_units_per_s += units / DEMAND_WINDOW.as_secs_f64();
        if account.own_units >= units {
            account.own_units -= units;
        } else if account.lent_units >= units {
            account.lent_units -= units;
        } else {
            return Err(account.wait(units));
        }
        account.common_units -= units;
        account.spent_units += units;
        Ok(())
    }

    /// Gives back what a request that did not run had spent.
    pub fn refund(&mut self, organisation: &str, units: f64) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.own_units = (account.own_units + units).min(account.own_burst());
            account.common_units += units;
            account.spent_units -= units;
        }
    }

    /// Takes what the other gateways report.
    pub fn on_reports(&mut self, now: Duration, organisation: &str, peers: &PeerDemand) {
        let Some(account) = self.accounts.get_mut(organisation) else { return };
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
    fn new(now: Duration, quota: Quota, gateways: u32) -> Account {
        let share = 1.0 / f64::from(gateways.max(1));
        Account {
            own_units: quota.burst_units * share,
            common_units: quota.burst_units,
            lent_units: 0.0,
            share,
            demand_units_per_s: 0.0,
            spent_units: 0.0,
            peers_spent_units: 0.0,
            refilled_at: now,
            quota,
        }
    }

    fn own_burst(&self) -> f64 {
        self.quota.burst_units * self.share
    }

    fn set_quota(&mut self, quota: Quota) {
        if self.quota == quota {
            return;
        }
        self.quota = quota;
        self.common_units = self.common_units.min(quota.burst_units);
        self.own_units = self.own_units.min(self.own_burst());
        self.lent_units = 0.0;
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let refill = self.quota.units_per_s * elapsed;
        self.own_units = (self.own_units + refill * self.share).min(self.own_burst());
        self.common_units = (self.common_units + refill).min(self.quota.burst_units);
        self.demand_units_per_s *= (-elapsed / DEMAND_WINDOW.as_secs_f64()).exp();
    }

    fn on_reports(&mut self, peers: &PeerDemand) {
        let gateways = f64::from(peers.gateways.max(1));
        let spent = (peers.spent_units - self.peers_spent_units).max(0.0);
        self.peers_spent_units = peers.spent_units;
        self.common_units -= spent;
        if !peers.is_fresh {
            self.lent_units = 0.0;
            return;
        }
        let total = peers.units_per_s + self.demand_units_per_s;
        let by_demand = if total > 0.0 { self.demand_units_per_s / total } else { 1.0 / gateways };
        self.share = EVEN_SHARE / gateways + (1.0 - EVEN_SHARE) * by_demand;
        self.own_units = self.own_units.min(self.own_burst());
        self.lent_units = (self.common_units * LENT_SHARE / gateways).max(0.0);
    }

    fn wait(&self, units: f64) -> Duration {
        let rate = self.quota.units_per_s * self.share;
        let missing = (units - self.own_units).max(0.0);
        if rate <= 0.0 {
            return Duration::from_secs(1);
        }
        Duration::from_secs_f64((missing / rate).min(10.0)).max(MIN_WAIT)
    }
}
