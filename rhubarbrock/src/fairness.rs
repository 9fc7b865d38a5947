//! Whose request is next.
//!
//! Each organisation has a counter of the tokens that it was served, per
//! service; the waiting organisation with the lowest counter is next. One that
//! was idle is lifted to the lowest counter of those that wait, so that it can't
//! save up idle time. Tokens served by other nodes count as well.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::id;

/// Number by which the caller of a queue knows a request.
pub type Ticket = u64;

/// Settings of [`FairQueue`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Weight of a prompt token.
    pub prompt_weight: f64,
    /// Weight of an answer token.
    pub answer_weight: f64,
    /// Most that a counter can be ahead of the lowest that waits, in weighted tokens.
    pub max_lead_tokens: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { prompt_weight: 1.0, answer_weight: 2.0, max_lead_tokens: 200_000.0 }
    }
}

/// A request that waits for its turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting {
    /// Its number.
    pub ticket: Ticket,
    /// Size of its prompt.
    pub prompt_tokens: u32,
    /// Expected size of its answer; corrected when it is known.
    pub answer_tokens: u32,
}

#[derive(Debug, Clone, Default)]
struct Account {
    counter: f64,
    /// Weighted tokens served by this node, for the digest.
    served_tokens: f64,
    waiting: VecDeque<(u64, Waiting)>,
    running: usize,
    /// Weighted tokens of all nodes since the last turn of [`FairQueue::update_rates`].
    recent: f64,
    /// The same over the last [`RATE_SPAN_S`] seconds or so.
    rate: f64,
}

impl Account {
    fn add(&mut self, tokens: f64) {
        self.counter += tokens;
        self.served_tokens += tokens;
        self.recent += tokens;
    }
}

/// Time over which an organisation's rate is taken, in seconds.
const RATE_SPAN_S: f64 = 10.0;

/// Share of all tokens below which an organisation doesn't count as active.
const MIN_ACTIVE_SHARE: f64 = 0.01;

/// Multiple of an equal share from which an organisation is heavy.
const HEAVY: f64 = 1.25;

#[derive(Debug, Clone, Default)]
struct Service {
    accounts: BTreeMap<String, Account>,
    /// Highest counter at which a request was taken.
    level: f64,
}

impl Service {
    /// Counter to which an organisation is lifted when it starts to wait.
    fn floor(&self) -> f64 {
        let waiting = self.accounts.values().filter(|account| !account.waiting.is_empty());
        waiting.map(|account| account.counter).min_by(f64::total_cmp).unwrap_or(self.level)
    }

    /// The first request of each organisation that waits, in order of their turns.
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

    /// Rate above which an organisation is heavy.
    fn heavy_rate(&self) -> f64 {
        let total: f64 = self.accounts.values().map(|account| account.rate).sum();
        let is_active = |account: &&Account| account.rate > total * MIN_ACTIVE_SHARE;
        let active = self.accounts.values().filter(is_active).count();
        total / active.max(1) as f64 * HEAVY
    }
}

/// A request that was taken out of the queue and not ended yet.
#[derive(Debug, Clone)]
struct Running {
    service: String,
    organisation: String,
    charged_answer_tokens: u32,
    answer_tokens: u32,
}

/// Tokens that this node served an organisation, for the digest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Usage {
    /// Service.
    pub service: String,
    /// Organisation.
    pub organisation: String,
    /// Weighted tokens since the node's start.
    pub served_tokens: u64,
}

/// Requests that wait, by service and organisation.
#[derive(Debug, Clone, Default)]
pub struct FairQueue {
    settings: Settings,
    services: BTreeMap<String, Service>,
    running: BTreeMap<Ticket, Running>,
    remote: BTreeMap<id::NodeId, BTreeMap<(String, String), u64>>,
    arrivals: u64,
    turned_at: Duration,
}

impl FairQueue {
    /// Empty queues.
    pub fn new(settings: Settings) -> FairQueue {
        FairQueue { settings, ..FairQueue::default() }
    }

    /// A request starts to wait.
    pub fn push(&mut self, service: &str, organisation: &str, waiting: Waiting) {
        self.arrivals += 1;
        let max_debt = self.settings.max_lead_tokens;
        let service = entry(&mut self.services, service);
        let floor = service.floor();
        let account = entry(&mut service.accounts, organisation);
        if account.waiting.is_empty() {
            account.counter = account.counter.clamp(floor, floor + max_debt);
        }
        account.waiting.push_back((self.arrivals, waiting));
    }

    /// Lets a second or so pass; rates are taken over whole turns of it.
    pub fn update_rates(&mut self, now: Duration) {
        let passed_s = now.saturating_sub(self.turned_at).as_secs_f64();
        if passed_s < 1.0 {
            return;
        }
        self.turned_at = now;
        let kept = f64::exp(-passed_s / RATE_SPAN_S);
        let accounts = self.services.values_mut().flat_map(|service| service.accounts.values_mut());
        for account in accounts {
            account.rate = account.rate * kept + account.recent;
            account.recent = 0.0;
        }
    }

    /// Whether an organisation was served more than its share lately, over all nodes.
    pub fn is_heavy(&self, service: &str, organisation: &str) -> bool {
        let Some(service) = self.services.get(service) else {
            return false;
        };
        let account = service.accounts.get(organisation);
        account.is_some_and(|account| account.rate > service.heavy_rate())
    }

    /// The first request of each organisation that waits, in order of their turns.
    pub fn heads(&self, service: &str) -> Vec<(&str, Waiting)> {
        self.services.get(service).map_or(Vec::new(), Service::heads)
    }

    /// Takes the request that is next and charges its organisation what it is expected to use.
    pub fn pop(&mut self, service: &str) -> Option<Waiting> {
        let organisation = self.heads(service).first()?.0.to_owned();
        self.pop_organisation(service, &organisation)
    }

    /// Takes the first request of an organisation and charges it what it is expected to use.
    pub fn pop_organisation(&mut self, service: &str, organisation: &str) -> Option<Waiting> {
        let queues = self.services.get_mut(service)?;
        let account = queues.accounts.get_mut(organisation)?;
        let (_, waiting) = account.waiting.pop_front()?;
        account.running += 1;
        queues.level = queues.level.max(account.counter);
        let tokens = f64::from(waiting.prompt_tokens) * self.settings.prompt_weight
            + f64::from(waiting.answer_tokens) * self.settings.answer_weight;
        account.add(tokens);
        let running = Running {
            service: service.to_owned(),
            organisation: organisation.to_owned(),
            charged_answer_tokens: waiting.answer_tokens,
            answer_tokens: 0,
        };
        let before = self.running.insert(waiting.ticket, running);
        assert!(before.is_none(), "ticket {} is taken once", waiting.ticket);
        Some(waiting)
    }

    /// The answer to a running request has come as far as `answer_tokens`.
    pub fn charge(&mut self, ticket: Ticket, answer_tokens: u32) {
        let Some(running) = self.running.get_mut(&ticket) else {
            return;
        };
        running.answer_tokens = running.answer_tokens.max(answer_tokens);
        let more = running.answer_tokens.saturating_sub(running.charged_answer_tokens);
        running.charged_answer_tokens += more;
        let (service, organisation) = (running.service.clone(), running.organisation.clone());
        self.add(&service, &organisation, f64::from(more) * self.settings.answer_weight);
    }

    /// A running request ended; what it was charged and didn't use is given back.
    pub fn end(&mut self, ticket: Ticket) {
        let Some(running) = self.running.remove(&ticket) else {
            return;
        };
        let unused = running.charged_answer_tokens - running.answer_tokens;
        let tokens = f64::from(unused) * self.settings.answer_weight;
        self.add(&running.service, &running.organisation, -tokens);
        let service = entry(&mut self.services, &running.service);
        entry(&mut service.accounts, &running.organisation).running -= 1;
    }

    fn add(&mut self, service: &str, organisation: &str, tokens: f64) {
        let service = entry(&mut self.services, service);
        entry(&mut service.accounts, organisation).add(tokens);
    }

    /// Takes a waiting request out, such as when its caller left; returns whether it waited.
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

    /// Another node has served an organisation so many weighted tokens since its start.
    ///
    /// The first news of a node only sets where its counting starts.
    pub fn on_remote_usage(&mut self, node: id::NodeId, usages: &[Usage]) {
        let is_new_node = !self.remote.contains_key(&node);
        let known = self.remote.entry(node).or_default();
        for usage in usages {
            let key = (usage.service.clone(), usage.organisation.clone());
            let last =
                known.entry(key).or_insert(if is_new_node { usage.served_tokens } else { 0 });
            let more = usage.served_tokens.saturating_sub(*last);
            *last += more;
            let service = entry(&mut self.services, &usage.service);
            let highest = service.floor() + self.settings.max_lead_tokens;
            let account = entry(&mut service.accounts, &usage.organisation);
            account.recent += more as f64;
            let raised = (account.counter + more as f64).min(highest);
            account.counter = account.counter.max(raised);
        }
    }

    /// A node is gone; its counts can't come again.
    pub fn on_node_gone(&mut self, node: id::NodeId) {
        self.remote.remove(&node);
    }

    /// What this node served, for the digest.
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

    /// Requests of an organisation that wait.
    pub fn waiting_of(&self, service: &str, organisation: &str) -> usize {
        self.account(service, organisation).map_or(0, |account| account.waiting.len())
    }

    /// Requests of an organisation that run.
    pub fn running_of(&self, service: &str, organisation: &str) -> usize {
        self.account(service, organisation).map_or(0, |account| account.running)
    }

    /// Requests of a service that wait.
    pub fn waiting(&self, service: &str) -> usize {
        let accounts = self.services.get(service).map(|service| service.accounts.values());
        accounts.map_or(0, |accounts| accounts.map(|account| account.waiting.len()).sum())
    }

    /// Requests that are likely to go before a new one of an organisation.
    pub fn ahead_of(&self, service: &str, organisation: &str) -> usize {
        let own = self.waiting_of(service, organisation);
        let Some(service) = self.services.get(service) else {
            return 0;
        };
        let others = service.accounts.iter().filter(|(name, _)| *name != organisation);
        own + others.map(|(_, account)| account.waiting.len().min(own + 1)).sum::<usize>()
    }

    /// An organisation's counter, in weighted tokens.
    pub fn counter(&self, service: &str, organisation: &str) -> f64 {
        self.account(service, organisation).map_or(0.0, |account| account.counter)
    }

    fn account(&self, service: &str, organisation: &str) -> Option<&Account> {
        self.services.get(service)?.accounts.get(organisation)
    }
}

/// The entry of a name, made where there is none.
fn entry<'a, T: Default>(map: &'a mut BTreeMap<String, T>, name: &str) -> &'a mut T {
    if !map.contains_key(name) {
        map.insert(name.to_owned(), T::default());
    }
    map.get_mut(name).expect("the entry was just made")
}
