//! Fair queueing between organisations.
//!
//! Each organisation has a counter per service of the weighted tokens that it
//! was served; of the organisations with queued requests, the one with the
//! lowest counter is served next. When an idle organisation queues a request, its
//! counter is raised to the lowest counter of those with queued requests, so that
//! idle time gives no credit. Tokens served by other nodes count as well.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::id;

/// Number that identifies a request in the queue; chosen by the user of the queue.
pub type Ticket = u64;

/// Settings of [`FairQueue`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Weight of a prompt token.
    pub prompt_weight: f64,
    /// Weight of an answer token.
    pub answer_weight: f64,
    /// Most weighted tokens that a counter can be ahead of the lowest counter with queued requests.
    pub max_lead_tokens: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { prompt_weight: 1.0, answer_weight: 2.0, max_lead_tokens: 200_000.0 }
    }
}

/// A queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting {
    /// Identifies the request.
    pub ticket: Ticket,
    /// Size of its prompt, in tokens.
    pub prompt_tokens: u32,
    /// Expected size of its answer, in tokens; the charge is corrected by the actual size.
    pub answer_tokens: u32,
}

#[derive(Debug, Clone, Default)]
struct Account {
    counter: f64,
    /// Weighted tokens served by this node since its start; sent to peers in the digest.
    served_tokens: f64,
    waiting: VecDeque<(u64, Waiting)>,
    running: usize,
    /// Weighted tokens served by all nodes since the last [`FairQueue::update_rates`].
    recent_tokens: f64,
    /// Sum of `recent_tokens` with exponential decay of time constant [`RATE_WINDOW_S`].
    window_tokens: f64,
}

impl Account {
    fn add_tokens(&mut self, tokens: f64) {
        self.counter += tokens;
        self.served_tokens += tokens;
        self.recent_tokens += tokens;
    }
}

/// Time constant of the decay of an organisation's recent tokens, in seconds.
const RATE_WINDOW_S: f64 = 10.0;

/// Share of all recent tokens up to which an organisation does not count as active.
const MIN_ACTIVE_SHARE: f64 = 0.01;

/// Multiple of an equal share above which an organisation is heavy.
const HEAVY_SHARE_FACTOR: f64 = 1.25;

#[derive(Debug, Clone, Default)]
struct Service {
    accounts: BTreeMap<String, Account>,
    /// Highest counter of an organisation when a request of it was dequeued.
    virtual_time: f64,
}

impl Service {
    /// Lowest counter of the organisations with queued requests; `virtual_time` if there are none.
    fn min_waiting_counter(&self) -> f64 {
        let waiting = self.accounts.values().filter(|account| !account.waiting.is_empty());
        waiting.map(|account| account.counter).min_by(f64::total_cmp).unwrap_or(self.virtual_time)
    }

    /// The first queued request of each organisation, in the order in which they are served.
    fn heads(&self) -> Vec<(&str, Waiting)> {
        let mut heads = Vec::new();
        for (name, account) in &self.accounts {
            if let Some((arrival, waiting)) = account.waiting.front() {
                heads.push((account.counter, *arrival, name.as_str(), *waiting));
            }
        }
        heads.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        heads.into_iter().map(|(_, _, name, waiting)| (name, waiting)).collect()
    }

    /// Recent tokens above which an organisation is heavy.
    fn heavy_threshold_tokens(&self) -> f64 {
        let total: f64 = self.accounts.values().map(|account| account.window_tokens).sum();
        let is_active = |account: &&Account| account.window_tokens > total * MIN_ACTIVE_SHARE;
        let active = self.accounts.values().filter(is_active).count();
        total / active.max(1) as f64 * HEAVY_SHARE_FACTOR
    }
}

/// A request that was dequeued and has not ended.
#[derive(Debug, Clone)]
struct Running {
    service: String,
    organisation: String,
    charged_answer_tokens: u32,
    answer_tokens: u32,
}

/// Tokens that one node served to an organisation; sent to peers in the digest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Usage {
    /// Name of the service.
    pub service: String,
    /// Name of the organisation.
    pub organisation: String,
    /// Weighted tokens since the node's start.
    pub served_tokens: u64,
}

/// Queued requests by service and organisation.
#[derive(Debug, Clone, Default)]
pub struct FairQueue {
    settings: Settings,
    services: BTreeMap<String, Service>,
    running: BTreeMap<Ticket, Running>,
    remote_served_tokens: BTreeMap<id::NodeId, BTreeMap<(String, String), u64>>,
    arrivals: u64,
    rates_updated_at: Duration,
}

impl FairQueue {
    /// Creates empty queues.
    pub fn new(settings: Settings) -> FairQueue {
        FairQueue { settings, ..FairQueue::default() }
    }

    /// Queues a request.
    pub fn push(&mut self, service: &str, organisation: &str, waiting: Waiting) {
        self.arrivals += 1;
        let max_lead = self.settings.max_lead_tokens;
        let service = entry_or_default(&mut self.services, service);
        let min_waiting_counter = service.min_waiting_counter();
        let account = entry_or_default(&mut service.accounts, organisation);
        if account.waiting.is_empty() {
            account.counter =
                account.counter.clamp(min_waiting_counter, min_waiting_counter + max_lead);
        }
        account.waiting.push_back((self.arrivals, waiting));
    }

    /// Updates the recent tokens; does nothing if the last update is less than a second ago.
    pub fn update_rates(&mut self, now: Duration) {
        let passed_s = now.saturating_sub(self.rates_updated_at).as_secs_f64();
        if passed_s < 1.0 {
            return;
        }
        self.rates_updated_at = now;
        let decay = f64::exp(-passed_s / RATE_WINDOW_S);
        let accounts = self.services.values_mut().flat_map(|service| service.accounts.values_mut());
        for account in accounts {
            account.window_tokens = account.window_tokens * decay + account.recent_tokens;
            account.recent_tokens = 0.0;
        }
    }

    /// Whether all nodes together recently served an organisation clearly more than an equal share.
    pub fn is_heavy(&self, service: &str, organisation: &str) -> bool {
        let Some(service) = self.services.get(service) else {
            return false;
        };
        let account = service.accounts.get(organisation);
        account.is_some_and(|account| account.window_tokens > service.heavy_threshold_tokens())
    }

    /// The first queued request of each organisation, in the order in which they are served.
    pub fn heads(&self, service: &str) -> Vec<(&str, Waiting)> {
        self.services.get(service).map_or(Vec::new(), Service::heads)
    }

    /// Dequeues the next request and charges its organisation the expected tokens.
    pub fn pop(&mut self, service: &str) -> Option<Waiting> {
        let organisation = self.heads(service).first()?.0.to_owned();
        self.pop_organisation(service, &organisation)
    }

    /// Dequeues the first request of an organisation and charges it the expected tokens.
    ///
    /// # Panics
    ///
    /// If a request with the same ticket was dequeued and has not ended.
    pub fn pop_organisation(&mut self, service: &str, organisation: &str) -> Option<Waiting> {
        let queues = self.services.get_mut(service)?;
        let account = queues.accounts.get_mut(organisation)?;
        let (_, waiting) = account.waiting.pop_front()?;
        account.running += 1;
        queues.virtual_time = queues.virtual_time.max(account.counter);
        let tokens = f64::from(waiting.prompt_tokens) * self.settings.prompt_weight
            + f64::from(waiting.answer_tokens) * self.settings.answer_weight;
        account.add_tokens(tokens);
        let running = Running {
            service: service.to_owned(),
            organisation: organisation.to_owned(),
            charged_answer_tokens: waiting.answer_tokens,
            answer_tokens: 0,
        };
        let previous = self.running.insert(waiting.ticket, running);
        assert!(previous.is_none(), "ticket {} was dequeued twice", waiting.ticket);
        Some(waiting)
    }

    /// Charges a running request for answer tokens beyond those expected; `answer_tokens` is the
    /// total so far.
    pub fn charge(&mut self, ticket: Ticket, answer_tokens: u32) {
        let Some(running) = self.running.get_mut(&ticket) else {
            return;
        };
        running.answer_tokens = running.answer_tokens.max(answer_tokens);
        let more = running.answer_tokens.saturating_sub(running.charged_answer_tokens);
        running.charged_answer_tokens += more;
        let (service, organisation) = (running.service.clone(), running.organisation.clone());
        self.add_tokens(&service, &organisation, f64::from(more) * self.settings.answer_weight);
    }

    /// Ends a running request and refunds the charged answer tokens that it did not use.
    pub fn end_request(&mut self, ticket: Ticket) {
        let Some(running) = self.running.remove(&ticket) else {
            return;
        };
        let unused = running.charged_answer_tokens - running.answer_tokens;
        let tokens = f64::from(unused) * self.settings.answer_weight;
        self.add_tokens(&running.service, &running.organisation, -tokens);
        let service = entry_or_default(&mut self.services, &running.service);
        entry_or_default(&mut service.accounts, &running.organisation).running -= 1;
    }

    fn add_tokens(&mut self, service: &str, organisation: &str, tokens: f64) {
        let service = entry_or_default(&mut self.services, service);
        entry_or_default(&mut service.accounts, organisation).add_tokens(tokens);
    }

    /// Removes a queued request; returns whether it was queued.
    pub fn remove(&mut self, service: &str, organisation: &str, ticket: Ticket) -> bool {
        let account = self.services.get_mut(service);
        let account = account.and_then(|service| service.accounts.get_mut(organisation));
        let Some(account) = account else {
            return false;
        };
        let before = account.waiting.len();
        account.waiting.retain(|(_, waiting)| waiting.ticket != ticket);
        account.waiting.len() < before
    }

    /// Applies the tokens that another node has served since its start.
    ///
    /// The first call for a node only sets its baseline; later calls charge the increase.
    pub fn on_remote_usage(&mut self, node: id::NodeId, usages: &[Usage]) {
        let is_new_node = !self.remote_served_tokens.contains_key(&node);
        let known = self.remote_served_tokens.entry(node).or_default();
        for usage in usages {
            let key = (usage.service.clone(), usage.organisation.clone());
            let last =
                known.entry(key).or_insert(if is_new_node { usage.served_tokens } else { 0 });
            let added = usage.served_tokens.saturating_sub(*last);
            *last += added;
            let service = entry_or_default(&mut self.services, &usage.service);
            let highest = service.min_waiting_counter() + self.settings.max_lead_tokens;
            let account = entry_or_default(&mut service.accounts, &usage.organisation);
            account.recent_tokens += added as f64;
            let raised = (account.counter + added as f64).min(highest);
            account.counter = account.counter.max(raised);
        }
    }

    /// Forgets the baseline of a node that has left. A restarted process has a new node id.
    pub fn on_node_gone(&mut self, node: id::NodeId) {
        self.remote_served_tokens.remove(&node);
    }

    /// Tokens that this node served, by service and organisation; sent to peers in the digest.
    pub fn usages(&self) -> Vec<Usage> {
        let mut usages = Vec::new();
        for (service, queues) in &self.services {
            for (organisation, account) in &queues.accounts {
                if account.served_tokens < 1.0 {
                    continue;
                }
                usages.push(Usage {
                    service: service.clone(),
                    organisation: organisation.clone(),
                    served_tokens: account.served_tokens as u64,
                });
            }
        }
        usages
    }

    /// Number of queued requests of an organisation.
    pub fn waiting_of(&self, service: &str, organisation: &str) -> usize {
        self.account(service, organisation).map_or(0, |account| account.waiting.len())
    }

    /// Number of running requests of an organisation.
    pub fn running_of(&self, service: &str, organisation: &str) -> usize {
        self.account(service, organisation).map_or(0, |account| account.running)
    }

    /// Number of queued requests of a service.
    pub fn waiting(&self, service: &str) -> usize {
        let accounts = self.services.get(service).map(|service| service.accounts.values());
        accounts.map_or(0, |accounts| accounts.map(|account| account.waiting.len()).sum())
    }

    /// Number of queued requests likely to be served before a new one of an organisation.
    pub fn ahead_of(&self, service: &str, organisation: &str) -> usize {
        let own = self.waiting_of(service, organisation);
        let Some(service) = self.services.get(service) else {
            return 0;
        };
        let others = service.accounts.iter().filter(|(name, _)| *name != organisation);
        own + others.map(|(_, account)| account.waiting.len().min(own + 1)).sum::<usize>()
    }

    /// Counter of an organisation, in weighted tokens.
    pub fn counter(&self, service: &str, organisation: &str) -> f64 {
        self.account(service, organisation).map_or(0.0, |account| account.counter)
    }

    fn account(&self, service: &str, organisation: &str) -> Option<&Account> {
        self.services.get(service)?.accounts.get(organisation)
    }
}

/// Returns the entry for a name, and inserts a default one if there is none.
fn entry_or_default<'a, T: Default>(map: &'a mut BTreeMap<String, T>, name: &str) -> &'a mut T {
    if !map.contains_key(name) {
        map.insert(name.to_owned(), T::default());
    }
    map.get_mut(name).expect("the entry was inserted above")
}
