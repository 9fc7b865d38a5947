//! Quotas that all gateways keep together.
//!
//! Every gateway keeps the balance of all of them: it refills at the quota's
//! rate, falls by what the gateway spends itself, and by what the others report
//! to have spent. Between two reports the gateways don't see each other spend,
//! so each keeps to its share of the balance, or to one request if that is
//! more; what is overspent so is made up for before the next request. While
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

/// Factor on quotas, within the tenth by which the deployment lets them be exceeded, so that
/// late reports don't refuse what is due.
const TOLERANCE: f64 = 1.04;

/// Part of the slack that gateways may spend beyond their shares between two reports; the rest
/// covers their single large requests.
const UNSEEN_SLACK_SHARE: f64 = 0.4;

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
    balance_units: f64,
    /// Balance when the others' spending was last taken in.
    synced_units: f64,
    spent_since_sync_units: f64,
    /// Own part of the demand of all gateways.
    share: f64,
    /// Part of the gateways that are heard.
    live_share: f64,
    demand_units_per_s: f64,
    spent_units: f64,
    peers_spent_units: f64,
    refilled_at: Duration,
}

/// Accounts of all organisations at this gateway.
#[derive(Debug, Default)]
pub struct Accounts {
    accounts: HashMap<String, Account>,
}

/// The gateways that keep a quota together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Group {
    /// How many they are.
    pub gateways: u32,
    /// Units by which all of them may exceed a quota in its window.
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
pub fn units(quota: &Quota, prompt: Option<&Prompt>) -> f64 {
    match quota.unit {
        Unit::Requests => 1.0,
        Unit::Tokens { unnamed_tokens } => prompt
            .map_or(unnamed_tokens, |prompt| (prompt.input_tokens + prompt.output_tokens) as f64),
    }
}

impl Accounts {
    /// Spends a request's units, or says what is missing.
    pub fn spend(
        &mut self,
        now: Duration,
        organisation: &Organisation,
        group: &Group,
        cost: &Cost,
    ) -> Result<(), Shortage> {
        let Some(quota) = organisation.quota else { return Ok(()) };
        let account = self
            .accounts
            .entry(organisation.name.clone())
            .or_insert_with(|| Account::new(now, quota, group.gateways));
        account.set_quota(quota);
        account.refill(now);
        let units = cost.units;
        account.demand_units_per_s += units / DEMAND_WINDOW.as_secs_f64();
        if !account.may_spend(group, cost) {
            return Err(account.shortage(units));
        }
        account.balance_units -= units;
        account.spent_since_sync_units += units;
        account.spent_units += units;
        Ok(())
    }

    /// Gives back what a request that did not run had spent.
    pub fn refund(&mut self, organisation: &str, units: f64) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.balance_units += units;
            account.spent_since_sync_units -= units;
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
        let burst_units = quota.burst_units * TOLERANCE;
        Account {
            quota,
            balance_units: burst_units,
            synced_units: burst_units,
            spent_since_sync_units: 0.0,
            share,
            live_share: 1.0,
            demand_units_per_s: 0.0,
            spent_units: 0.0,
            peers_spent_units: 0.0,
            refilled_at: now,
        }
    }

    fn burst_units(&self) -> f64 {
        self.quota.burst_units * TOLERANCE
    }

    fn may_spend(&self, group: &Group, cost: &Cost) -> bool {
        let units = cost.units;
        let most_units = self.burst_units() * self.live_share;
        if cost.is_plain && self.balance_units > -PLAIN_OVERDRAFT_SHARE * group.slack_units {
            return true;
        }
        if self.balance_units < units.min(most_units) {
            return false;
        }
        let gateways = f64::from(group.gateways.max(1));
        let unseen = UNSEEN_SLACK_SHARE * group.slack_units / gateways;
        let is_first = self.spent_since_sync_units <= 0.0;
        let limit = self.share * self.synced_units + unseen;
        is_first || self.spent_since_sync_units + units <= limit
    }

    fn set_quota(&mut self, quota: Quota) {
        if self.quota == quota {
            return;
        }
        self.quota = quota;
        self.balance_units = self.balance_units.min(self.burst_units());
        self.synced_units = self.synced_units.min(self.burst_units());
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let refill = self.quota.units_per_s * TOLERANCE * elapsed * self.live_share;
        let burst_units = self.burst_units() * self.live_share;
        self.balance_units = (self.balance_units + refill).min(burst_units);
        self.demand_units_per_s *= (-elapsed / DEMAND_WINDOW.as_secs_f64()).exp();
    }

    fn on_reports(&mut self, peers: &PeerDemand) {
        let gateways = f64::from(peers.gateways.max(1));
        let spent = (peers.spent_units - self.peers_spent_units).max(0.0);
        self.peers_spent_units = peers.spent_units;
        self.balance_units -= spent;
        self.synced_units = self.balance_units.max(0.0);
        self.spent_since_sync_units = 0.0;
        self.live_share = f64::from(peers.live_gateways) / gateways;
        let total = peers.units_per_s + self.demand_units_per_s;
        let by_demand = if total > 0.0 { self.demand_units_per_s / total } else { 1.0 / gateways };
        self.share = EVEN_SHARE / gateways + (1.0 - EVEN_SHARE) * by_demand;
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
        let most_units = self.burst_units() * self.live_share;
        let missing = units.min(most_units) - self.balance_units;
        let rate = self.quota.units_per_s * self.live_share;
        if missing <= 0.0 || rate <= 0.0 {
            return MIN_WAIT;
        }
        Duration::from_secs_f64((missing / rate).min(10.0)).max(MIN_WAIT)
    }
}
