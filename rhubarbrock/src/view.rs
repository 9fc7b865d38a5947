//! The endpoints a node knows, from sources that lag and contradict each other.
//!
//! The platform's list is replaced as a whole and only by a younger one. A
//! notice, or the list itself, withdraws an endpoint for good: instance ids are
//! not used twice, so nothing later can bring it back.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{endpoint, id, limit, rendezvous};

/// How long a notice for an endpoint that no list shows is remembered.
const NOTICE_LIFE: Duration = Duration::from_secs(900);

/// The endpoints of one service that may get work.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServiceEndpoints {
    /// All, in order of their ids.
    pub(crate) all: Vec<id::EndpointId>,
    /// The bounded subset whose load this node follows, in order of their ids.
    pub(crate) subset: Vec<id::EndpointId>,
}

/// All endpoints known.
#[derive(Debug, Clone)]
pub(crate) struct View {
    node: id::NodeId,
    subset_size: usize,
    pub(crate) endpoints: BTreeMap<id::EndpointId, endpoint::Endpoint>,
    pub(crate) services: BTreeMap<String, ServiceEndpoints>,
    notices: BTreeMap<id::EndpointId, Duration>,
    /// Endpoints not listed yet that said they leave: sequence and time of hearing.
    unlisted_leaving: BTreeMap<id::EndpointId, (u64, Duration)>,
    list_taken_at: Duration,
    list_seen_at: Option<Duration>,
}

impl View {
    pub(crate) fn new(node: id::NodeId, subset_size: usize) -> View {
        View {
            node,
            subset_size,
            endpoints: BTreeMap::new(),
            services: BTreeMap::new(),
            notices: BTreeMap::new(),
            unlisted_leaving: BTreeMap::new(),
            list_taken_at: Duration::ZERO,
            list_seen_at: None,
        }
    }

    /// Age of the list, by when it was last seen.
    pub(crate) fn list_age(&self, now: Duration) -> Option<Duration> {
        self.list_seen_at.map(|seen_at| now.saturating_sub(seen_at))
    }

    /// Takes a list unless a younger one was seen; `taken_at` is the platform's time.
    pub(crate) fn on_list(
        &mut self,
        now: Duration,
        taken_at: Duration,
        listings: Vec<endpoint::Listing>,
        first_limit: &limit::Settings,
    ) -> bool {
        if taken_at < self.list_taken_at {
            return false;
        }
        self.list_taken_at = taken_at;
        self.list_seen_at = Some(now);
        for endpoint in self.endpoints.values_mut() {
            endpoint.listing.state = endpoint::ListedState::Gone;
        }
        for listing in listings {
            self.take_listing(now, listing, first_limit);
        }
        self.forget_gone(now);
        self.rebuild();
        true
    }

    fn take_listing(
        &mut self,
        now: Duration,
        listing: endpoint::Listing,
        first_limit: &limit::Settings,
    ) {
        let id = listing.endpoint;
        let is_leaving = listing.state == endpoint::ListedState::Leaving;
        let has_ended = listing.state == endpoint::ListedState::Gone;
        if is_leaving || has_ended {
            self.notices.insert(id, now);
        }
        let known = self.endpoints.entry(id).or_insert_with(|| {
            endpoint::Endpoint::new(listing.clone(), limit::Limit::new(first_limit))
        });
        known.listing = listing;
        known.is_withdrawn |= self.notices.contains_key(&id);
        if let Some((sequence, _)) = self.unlisted_leaving.remove(&id) {
            known.leaving_sequence = known.leaving_sequence.max(Some(sequence));
        }
    }

    fn forget_gone(&mut self, now: Duration) {
        let View { endpoints, notices, unlisted_leaving, .. } = self;
        notices.retain(|id, told_at| endpoints.contains_key(id) || now < *told_at + NOTICE_LIFE);
        unlisted_leaving.retain(|_, (_, told_at)| now < *told_at + NOTICE_LIFE);
        endpoints.retain(|id, endpoint| {
            let is_gone = endpoint.listing.state == endpoint::ListedState::Gone;
            let is_told = notices.get(id).is_some_and(|told_at| now < *told_at + NOTICE_LIFE);
            let is_kept = !is_gone || is_told || !endpoint.sent.is_empty();
            if let Some(sequence) = endpoint.leaving_sequence.filter(|_| !is_kept) {
                unlisted_leaving.insert(*id, (sequence, now));
            }
            is_kept
        });
    }

    /// An endpoint leaves, whether or not a list has shown it yet.
    pub(crate) fn on_notice(&mut self, now: Duration, id: id::EndpointId) -> bool {
        let is_news = self.notices.insert(id, now).is_none();
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            endpoint.is_withdrawn = true;
        }
        if is_news {
            self.rebuild();
        }
        is_news
    }

    /// Takes an endpoint's report; returns whether it was newer than the one before.
    pub(crate) fn on_load(
        &mut self,
        now: Duration,
        id: id::EndpointId,
        report: &endpoint::LoadReport,
        restart_gap: Duration,
    ) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            if report.leaving {
                let word = self.unlisted_leaving.entry(id).or_default();
                *word = (report.sequence.max(word.0), now);
            }
            return false;
        };
        let was_leaving = endpoint.is_leaving();
        let is_newer = endpoint.on_load(now, report, restart_gap);
        if endpoint.is_leaving() != was_leaving {
            self.rebuild();
        }
        is_newer
    }

    /// An endpoint said that it leaves when it refused a request.
    pub(crate) fn on_refused_leaving(&mut self, id: id::EndpointId) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        let reported = endpoint.load.as_ref().map_or(0, |(report, _)| report.sequence);
        endpoint.leaving_sequence.get_or_insert(reported);
        self.rebuild();
    }

    /// Groups the endpoints that may get work by service.
    fn rebuild(&mut self) {
        for members in self.services.values_mut() {
            members.all.clear();
        }
        for (id, endpoint) in &self.endpoints {
            let is_listed = endpoint.listing.state == endpoint::ListedState::Live;
            if !is_listed || endpoint.is_leaving() {
                continue;
            }
            let service = endpoint.listing.service.as_str();
            match self.services.get_mut(service) {
                Some(members) => members.all.push(*id),
                None => {
                    let members = ServiceEndpoints { all: vec![*id], subset: Vec::new() };
                    self.services.insert(service.to_owned(), members);
                }
            }
        }
        for members in self.services.values_mut() {
            members.subset = subset(self.node, self.subset_size, &members.all);
        }
    }
}

/// The `size` endpoints that rank highest for a node, in order of their ids.
fn subset(node: id::NodeId, size: usize, all: &[id::EndpointId]) -> Vec<id::EndpointId> {
    if all.len() <= size {
        return all.to_vec();
    }
    let mut subset = rendezvous::top(node, all.iter().copied(), size);
    subset.sort_unstable();
    subset
}
