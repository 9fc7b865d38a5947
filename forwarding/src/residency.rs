//! Parts of prompts that endpoints hold in memory.
//!
//! Endpoints tell one gateway which parts they take up and drop, and that
//! gateway reports the changes to the others. A part saves time only if the
//! endpoint holds all parts before it as well.
//!
//! ```
//! use std::time::Duration;
//!
//! use forwarding::request::{Prompt, PromptPart};
//! use forwarding::residency::{Held, Residency};
//!
//! let mut residency = Residency::default();
//! residency.on_listing(Duration::ZERO, "a", 1, vec![Held { part: 7, tokens: 500 }]);
//! let parts = vec![PromptPart { id: 7, tokens: 500 }, PromptPart { id: 8, tokens: 100 }];
//! let prompt = Prompt { input_tokens: 600, parts, ..Prompt::default() };
//! assert_eq!(residency.held_tokens("a", &prompt), 500);
//! ```

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use crate::endpoints::EndpointId;
use crate::request::{Prompt, PromptPart};

/// Id of a part of prompts.
pub type PartId = u64;

/// Number of an endpoint's start, as it states it with its parts.
pub type Epoch = u64;

/// Time without news after which nothing is known of an endpoint. It covers two lost reports between
/// data centres of a fleet of hundreds.
const KNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(8);

/// Time after which the reports on an endpoint have told all parts that it holds.
const LEARNING_TIME: Duration = Duration::from_secs(10);

/// Time after an answer of an endpoint for which this gateway reports what it holds.
const LISTENED_TIME: Duration = Duration::from_secs(3);

/// Maximum number of parts that are remembered of one endpoint.
const MAX_PARTS: usize = 4_096;

/// Fraction of the displaced tokens that counts as read again: the endpoint drops the parts first
/// that were not used for longest.
const DISPLACED_SHARE: f64 = 0.25;

/// Part that an endpoint holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// Id of the part.
    pub part: PartId,
    /// Tokens of it that the endpoint holds; 0 if it dropped the part.
    pub tokens: u32,
}

/// What selection needs to know of a prompt at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Shared tokens that the endpoint is known to hold.
    pub held_tokens: u64,
    /// Whether it is known to hold no more of them.
    pub is_complete: bool,
    /// Cost in tokens of what it would have to drop for the rest.
    pub displaced_tokens: f64,
}

#[derive(Debug, Clone)]
struct EndpointParts {
    epoch: Epoch,
    tokens: BTreeMap<PartId, u32>,
    total_tokens: u64,
    /// Time of the first report since which there was no silence.
    known_from: Duration,
    heard_at: Duration,
    /// Time of the last answer of the endpoint itself, which told all that it holds.
    listened_at: Option<Duration>,
}

/// Change of what an endpoint holds, for reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldChange {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Start of the endpoint.
    pub epoch: Epoch,
    /// Part with its new tokens.
    pub held: Held,
}

/// Parts that the endpoints hold.
#[derive(Debug, Default)]
pub struct Residency {
    endpoints: HashMap<EndpointId, EndpointParts>,
    /// Changes heard from endpoints themselves, with their times.
    changes: VecDeque<(Duration, HeldChange)>,
}

impl EndpointParts {
    fn new(epoch: Epoch, known_from: Duration) -> EndpointParts {
        EndpointParts {
            epoch,
            tokens: BTreeMap::new(),
            total_tokens: 0,
            known_from,
            heard_at: known_from,
            listened_at: None,
        }
    }

    fn set(&mut self, held: Held) {
        if self.tokens.len() >= MAX_PARTS && !self.tokens.contains_key(&held.part) {
            return;
        }
        let previous = match held.tokens {
            0 => self.tokens.remove(&held.part),
            tokens => self.tokens.insert(held.part, tokens),
        };
        let tokens = self.total_tokens + u64::from(held.tokens);
        self.total_tokens = tokens.saturating_sub(previous.unwrap_or_default().into());
    }

    fn is_listened(&self, now: Duration) -> bool {
        self.listened_at.is_some_and(|at| now < at + LISTENED_TIME)
    }

    fn is_complete(&self, now: Duration) -> bool {
        self.listened_at.is_some() || now >= self.known_from + LEARNING_TIME
    }

    fn held_tokens(&self, parts: &[PromptPart]) -> u64 {
        let mut sum = 0;
        for part in parts {
            let held = self.tokens.get(&part.id).copied().unwrap_or_default().min(part.tokens);
            sum += u64::from(held);
            if held < part.tokens {
                break;
            }
        }
        sum
    }
}

impl Residency {
    /// Takes a complete list of the parts that an endpoint holds.
    pub fn on_listing(&mut self, now: Duration, endpoint: &str, epoch: Epoch, held: Vec<Held>) {
        let mut parts = EndpointParts::new(epoch, now);
        parts.listened_at = Some(now);
        let known = self.endpoints.remove(endpoint).filter(|known| known.epoch == epoch);
        let known = known.map(|known| known.tokens).unwrap_or_default();
        held.iter().for_each(|&each| parts.set(each));
        let dropped = known.keys().filter(|part| !parts.tokens.contains_key(part));
        let dropped = dropped.map(|&part| Held { part, tokens: 0 });
        let changed = held.iter().filter(|each| known.get(&each.part) != Some(&each.tokens));
        for held in dropped.chain(changed.copied()) {
            let endpoint = endpoint.to_owned();
            self.changes.push_back((now, HeldChange { endpoint, epoch, held }));
        }
        self.endpoints.insert(endpoint.to_owned(), parts);
    }

    /// Takes the changes since the last call from an endpoint itself, in order, after a complete
    /// list. They are also reported to the other gateways.
    pub fn on_changes(&mut self, now: Duration, endpoint: &str, epoch: Epoch, changes: &[Held]) {
        for &held in changes {
            let endpoint = endpoint.to_owned();
            self.changes.push_back((now, HeldChange { endpoint, epoch, held }));
        }
        let parts = self.parts(now, endpoint, epoch);
        parts.heard_at = now;
        parts.listened_at = Some(now);
        changes.iter().for_each(|&each| parts.set(each));
    }

    /// Takes parts that another gateway reports; an endpoint without any is reported to show that it
    /// is listened to. Reports on an endpoint that this gateway listens to itself are ignored.
    pub fn on_reported(&mut self, now: Duration, endpoint: &str, epoch: Epoch, held: &[Held]) {
        self.forget_silent(now, endpoint);
        if self.endpoints.get(endpoint).is_some_and(|parts| parts.is_listened(now)) {
            return;
        }
        let parts = self.parts(now, endpoint, epoch);
        parts.heard_at = now;
        held.iter().for_each(|&each| parts.set(each));
    }

    fn parts(&mut self, now: Duration, endpoint: &str, epoch: Epoch) -> &mut EndpointParts {
        let parts = self.endpoints.entry(endpoint.to_owned());
        let parts = parts.or_insert_with(|| EndpointParts::new(epoch, now));
        if parts.epoch != epoch {
            *parts = EndpointParts::new(epoch, now);
        }
        parts
    }

    /// After a silence, changes may have been missed.
    fn forget_silent(&mut self, now: Duration, endpoint: &str) {
        let is_silent = |parts: &EndpointParts| now >= parts.heard_at + KNOWLEDGE_TIMEOUT;
        if self.endpoints.get(endpoint).is_some_and(is_silent) {
            self.endpoints.remove(endpoint);
        }
    }

    /// Endpoints that answered this gateway recently, with their epochs, for reports.
    pub fn listened(&self, now: Duration) -> impl Iterator<Item = (&EndpointId, Epoch)> {
        let listened = self.endpoints.iter().filter(move |(_, parts)| parts.is_listened(now));
        listened.map(|(endpoint, parts)| (endpoint, parts.epoch))
    }

    /// Last change of each part within the last `window`, oldest first, for reports.
    pub fn recent_changes(&self, now: Duration, window: Duration) -> Vec<&HeldChange> {
        let recent = self.changes.iter().rev().take_while(|(at, _)| now < *at + window);
        let mut seen = HashSet::new();
        let last = recent.map(|(_, change)| change);
        let last = last.filter(|change| seen.insert((&change.endpoint, change.held.part)));
        let mut last: Vec<&HeldChange> = last.collect();
        last.reverse();
        last
    }

    /// `count` of the parts that an endpoint holds, the next ones for each `sequence`, so that
    /// consecutive reports tell all of them.
    pub fn slice(&self, endpoint: &str, sequence: u64, count: usize) -> Vec<Held> {
        let Some(parts) = self.endpoints.get(endpoint) else { return Vec::new() };
        let held = parts.tokens.iter().map(|(&part, &tokens)| Held { part, tokens });
        let slices = (parts.tokens.len().div_ceil(count.max(1)) as u64).max(1);
        held.skip((sequence % slices) as usize * count).take(count).collect()
    }

    /// Removes endpoints that are not `known`, and changes older than `window`.
    pub fn tick(&mut self, now: Duration, window: Duration, known: impl Fn(&str) -> bool) {
        self.endpoints.retain(|endpoint, _| known(endpoint));
        while self.changes.front().is_some_and(|(at, _)| now >= *at + window) {
            self.changes.pop_front();
        }
    }

    /// Shared tokens of a prompt that an endpoint is known to hold.
    pub fn held_tokens(&self, endpoint: &str, prompt: &Prompt) -> u64 {
        let parts = self.endpoints.get(endpoint);
        parts.map_or(0, |parts| parts.held_tokens(prompt.shared_parts()))
    }

    /// What is known of a prompt at an endpoint whose memory holds `capacity_tokens`; `None` if
    /// nothing is known of the endpoint.
    pub fn estimate(
        &self,
        now: Duration,
        endpoint: &str,
        prompt: &Prompt,
        capacity_tokens: Option<u64>,
    ) -> Option<Estimate> {
        let parts = self.endpoints.get(endpoint)?;
        if now >= parts.heard_at + KNOWLEDGE_TIMEOUT {
            return None;
        }
        let held_tokens = parts.held_tokens(prompt.shared_parts());
        let missing_tokens = prompt.input_tokens.saturating_sub(held_tokens);
        let needed_tokens = parts.total_tokens.saturating_add(missing_tokens);
        let displaced =
            capacity_tokens.map_or(0, |capacity| needed_tokens.saturating_sub(capacity));
        Some(Estimate {
            held_tokens,
            is_complete: parts.is_complete(now),
            displaced_tokens: displaced.min(missing_tokens) as f64 * DISPLACED_SHARE,
        })
    }
}
