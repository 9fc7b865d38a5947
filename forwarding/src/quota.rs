//! Quotas that all gateways share.
//!
//! Every gateway tracks the balance of all gateways together: it refills at the
//! quota's rate and falls by what this gateway spends and by what the others
//! report to have spent. The part of the refill that belongs to another gateway
//! is added with that gateway's report, which also tells what it spent. Silence
//! therefore adds nothing, and the balance is capped at the live gateways'
//! fraction of the burst.
//!
//! Between two reports a gateway does not see what the others spend, so each one
//! may spend only its share of the balance and of the overshoot that the
//! deployment allows. Overspending lowers the balance and thus delays later
//! requests. With many gateways a share is smaller than one request, so the
//! unused rest of a share is carried over, up to the size of the largest request.
//!
//! A clump of requests at one gateway may use more than its share: the balance of
//! all gateways and an overdraft, as long as the quota window has room for it
//! beside what the others may have spent unseen.
//!
//! A gateway that has just started takes over the balance that the others report.

mod bounds;
mod window;

use std::collections::HashMap;
use std::time::Duration;

use crate::release::{Organisation, Quota, Unit};
use crate::request::Prompt;

pub use bounds::QuotaBounds;
use window::SpendingWindow;

/// Time constant of the smoothed demand.
const DEMAND_SMOOTHING: Duration = Duration::from_secs(2);

/// Fraction of the balance that is divided evenly, so that a gateway without demand can serve the
/// first requests that reach it.
const EVEN_SHARE: f64 = 0.3;

/// Fraction of the slack by which plain requests may overdraw the balance. They cost little and
/// would otherwise wait behind prompts that cost a hundred times as much.
const PLAIN_OVERDRAFT_SHARE: f64 = 0.25;

/// Overdraft for clumps of requests, as a fraction of the burst.
const CLUMP_OVERDRAFT: f64 = 1.0;

/// Fraction of the slack by which clumps may overdraw the balance in addition.
const CLUMP_SLACK_SHARE: f64 = 0.25;

/// Fraction of the overdraft that is lost for each fraction of the gateways that is silent: what
/// these spend is not seen.
const SILENCE_WEIGHT: f64 = 10.0;

/// Factor by which the demand at the other gateways may grow before it is seen.
const UNSEEN_GROWTH: f64 = 4.0;

/// Least demand that is expected of the gateways together, as a fraction of the quota's rate.
const MIN_EXPECTED_DEMAND: f64 = 0.5;

/// Time after the first reports of the others from which a gateway relies on its own balances
/// although no other gateway reported one.
const SYNCHRONISATION_TIME: Duration = Duration::from_secs(2);

/// Tolerance for rounding errors in comparisons with balances and allowances.
const ROUNDING_UNITS: f64 = 0.01;

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
    /// Units that all gateways may still spend in the current window, as known to this one.
    pub room_units: i64,
}

/// Balance and spending of all gateways together, as known to one of them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Standing {
    /// Balance; negative if overdrawn.
    pub balance_units: f64,
    /// Units spent within the quota window.
    pub window_units: f64,
}

/// Sum of what the other gateways report for one organisation.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeerDemand {
    /// Demand of the other gateways, in units per second.
    pub units_per_s: f64,
    /// Units that the other gateways were seen to spend, less refunds.
    pub spent_units: f64,
    /// Total of the times, over all other gateways, for which their spending is known; never
    /// decreases.
    pub contact: Duration,
    /// Mean time since the last complete report of the live gateways.
    pub unseen: Duration,
    /// Time since the last report of the gateway that fell silent last.
    pub silence: Duration,
    /// Mean of the standings that the others report to gateways that have just started.
    pub standing: Option<Standing>,
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
    /// Number of gateways that share the quota, including this one.
    gateways: u32,
    /// Contact with the other gateways that was added to the balance so far; `None` before the first
    /// reports.
    contact: Option<Duration>,
    /// Whether the balance contains what was spent before this gateway started.
    is_synchronised: bool,
    window: SpendingWindow,
    /// Demand of the other gateways, in units per second.
    peers_units_per_s: f64,
    /// Mean time since the live gateways' last complete report, when reports were last applied.
    unseen: Duration,
    applied_at: Duration,
}

/// Quota accounts of all organisations at this gateway.
#[derive(Debug)]
pub struct Accounts {
    accounts: HashMap<String, Account>,
    bounds: QuotaBounds,
    /// Time of the first reports of other gateways.
    heard_since: Option<Duration>,
    clump_requests: u64,
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
        Accounts { accounts: HashMap::new(), bounds, heard_since: None, clump_requests: 0 }
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
        let is_within_share = account.may_spend(now, cost);
        if !is_within_share && !account.may_spend_clump(now, units) {
            return Err(account.shortage(now, units));
        }
        account.balance_units -= units;
        account.spent_since_reports_units += units;
        account.spent_units += units;
        account.window.add(now, units);
        self.clump_requests += u64::from(!is_within_share);
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
        let is_synchronised =
            self.heard_since.is_some_and(|since| now >= since + SYNCHRONISATION_TIME);
        let account = self
            .accounts
            .entry(organisation.name.clone())
            .or_insert_with(|| Account::new(now, quota, self.bounds, gateways, is_synchronised));
        account.set_quota(quota);
        account.on_gateways(gateways);
        Some(account)
    }

    /// Number of requests that were admitted beyond this gateway's shares.
    pub fn clump_requests(&self) -> u64 {
        self.clump_requests
    }

    /// Standings of the organisations, for gateways that have just started. Empty while this one
    /// has itself just started.
    pub fn standings(&self, now: Duration) -> impl Iterator<Item = (&str, Standing)> {
        let accounts = self.accounts.iter().filter(|(_, account)| account.is_synchronised);
        accounts.map(move |(name, account)| (name.as_str(), account.standing(now)))
    }

    /// Returns the units of a request that did not run.
    pub fn refund(&mut self, organisation: &str, units: f64) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.balance_units += units;
            account.spent_since_reports_units -= units;
            account.spent_units -= units;
            account.window.add(account.refilled_at, -units);
        }
    }

    /// Applies the reports of the other gateways; opens an account if the organisation has none
    /// here.
    pub fn on_reports(&mut self, now: Duration, organisation: &Organisation, peers: &PeerDemand) {
        if peers.live_gateways > 1 {
            self.heard_since.get_or_insert(now);
        }
        let is_settled = self.heard_since.is_some_and(|since| now >= since + SYNCHRONISATION_TIME);
        let Some(account) = self.account(now, organisation, peers.gateways) else { return };
        account.refill(now);
        account.on_reports(now, peers);
        account.is_synchronised |= is_settled;
    }

    /// Name, demand in units per second and spent units of each organisation, for reports.
    pub fn demands(&self) -> impl Iterator<Item = (&str, f64, f64)> {
        self.accounts.iter().map(|(name, account)| {
            (name.as_str(), account.demand_units_per_s, account.spent_units.max(0.0))
        })
    }
}

impl Account {
    fn new(
        now: Duration,
        quota: Quota,
        bounds: QuotaBounds,
        gateways: u32,
        is_synchronised: bool,
    ) -> Account {
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
            gateways: gateways.max(1),
            contact: None,
            is_synchronised,
            window: SpendingWindow::new(bounds.window),
            peers_units_per_s: 0.0,
            unseen: Duration::ZERO,
            applied_at: now,
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

    /// Lowers the share of a gateway that learns of others before their first reports.
    fn on_gateways(&mut self, gateways: u32) {
        if self.contact.is_some() || gateways <= self.gateways {
            return;
        }
        self.allowance_units *= f64::from(self.gateways) / f64::from(gateways);
        self.share = 1.0 / f64::from(gateways);
        self.gateways = gateways;
    }

    fn standing(&self, now: Duration) -> Standing {
        let window_units = self.window.total_units(now);
        Standing { balance_units: self.balance_units, window_units }
    }

    /// Units that all gateways may still spend in the window that ends at `now`.
    fn room_units(&self, now: Duration) -> f64 {
        self.bounds.window_units(&self.quota) - self.window.total_units(now)
    }

    /// Units that the other gateways may have spent since their last reports.
    fn unseen_units(&self, now: Duration) -> f64 {
        let unseen = self.unseen + now.saturating_sub(self.applied_at);
        let expected_units_per_s =
            self.peers_units_per_s.max(MIN_EXPECTED_DEMAND * self.quota.units_per_s);
        UNSEEN_GROWTH * expected_units_per_s * unseen.as_secs_f64()
    }

    /// Units by which clumps may overdraw the balance.
    fn overdraft_units(&self) -> f64 {
        if !self.is_synchronised {
            return 0.0;
        }
        let silent_share = 1.0 - self.live_share;
        let contact_factor = (1.0 - SILENCE_WEIGHT * silent_share).max(0.0);
        let overdraft_units =
            CLUMP_OVERDRAFT * self.burst_units() + CLUMP_SLACK_SHARE * self.bounds.slack_units;
        overdraft_units * contact_factor
    }

    /// Whether a request of a clump may be admitted although this gateway's share is spent.
    fn may_spend_clump(&self, now: Duration, units: f64) -> bool {
        self.is_synchronised
            && self.balance_units + self.overdraft_units() >= units
            && self.room_units(now) * self.live_share >= units + self.unseen_units(now)
    }

    fn may_spend(&self, now: Duration, cost: &Cost) -> bool {
        let units = cost.units;
        if self.room_units(now) < units {
            return false;
        }
        let plain_overdraft_units =
            self.overdraft_units() + PLAIN_OVERDRAFT_SHARE * self.bounds.slack_units;
        if cost.is_plain && self.balance_units > -plain_overdraft_units {
            return true;
        }
        let max_units = self.burst_units() * self.live_share;
        self.balance_units + ROUNDING_UNITS >= units.min(max_units)
            && self.spent_since_reports_units + units <= self.allowance_units + ROUNDING_UNITS
    }

    fn set_quota(&mut self, quota: Quota) {
        if self.quota == quota {
            return;
        }
        let window_units = self.bounds.window_units(&self.quota);
        if window_units > 0.0 {
            self.window.scale(self.bounds.window_units(&quota) / window_units);
        }
        self.quota = quota;
        self.balance_units = self.balance_units.min(self.burst_units());
        self.allowance_units = self.allowance_units.min(self.burst_units());
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.add_refill(elapsed / f64::from(self.gateways));
        self.demand_units_per_s *= (-elapsed / DEMAND_SMOOTHING.as_secs_f64()).exp();
    }

    /// Refills the balance by `seconds` of the quota's rate.
    fn add_refill(&mut self, seconds: f64) {
        let refill_units = self.quota.units_per_s * self.bounds.tolerance() * seconds;
        let burst_units = self.burst_units() * self.live_share;
        self.balance_units = (self.balance_units + refill_units).min(burst_units);
    }

    fn on_reports(&mut self, now: Duration, peers: &PeerDemand) {
        self.gateways = peers.gateways.max(1);
        let gateways = f64::from(self.gateways);
        let spent_by_peers_units = peers.spent_units - self.peers_spent_units;
        self.peers_spent_units = peers.spent_units;
        self.balance_units -= spent_by_peers_units;
        self.window.add(now, spent_by_peers_units);
        let contact = peers.contact.saturating_sub(self.contact.unwrap_or(peers.contact));
        self.contact = Some(peers.contact);
        self.add_refill(contact.as_secs_f64() / gateways);
        if let Some(standing) = peers.standing.filter(|_| !self.is_synchronised) {
            self.synchronise(now, &standing);
        }
        self.peers_units_per_s = peers.units_per_s;
        self.unseen = peers.unseen;
        self.applied_at = now;
        let left_units = (self.allowance_units - self.spent_since_reports_units).max(0.0);
        self.spent_since_reports_units = 0.0;
        self.set_live_share(now, f64::from(peers.live_gateways) / gateways, peers.silence);
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

    /// Leaves the silent gateways their part of the balance of the time when they fell silent.
    fn set_live_share(&mut self, now: Duration, live_share: f64, silence: Duration) {
        if live_share < self.live_share {
            let (spent_units, elapsed) = self.window.units_since(now, silence);
            let refill_units =
                self.quota.units_per_s * self.bounds.tolerance() * elapsed.as_secs_f64();
            let max_units = self.burst_units() * self.live_share;
            let earlier_units = self.balance_units + spent_units - refill_units * live_share;
            let earlier_units = earlier_units.clamp(0.0, max_units);
            self.balance_units -= earlier_units * (1.0 - live_share / self.live_share);
        }
        self.live_share = live_share;
    }

    fn synchronise(&mut self, now: Duration, standing: &Standing) {
        self.balance_units = self.balance_units.min(standing.balance_units);
        if standing.window_units > self.window.total_units(now) {
            self.window.fill(now, standing.window_units);
        }
        self.is_synchronised = true;
    }

    fn shortage(&self, now: Duration, units: f64) -> Shortage {
        Shortage {
            wait: self.wait(units),
            units: units as u64,
            balance_units: self.balance_units as i64,
            share_percent: (self.share * 100.0) as u8,
            room_units: self.room_units(now) as i64,
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
