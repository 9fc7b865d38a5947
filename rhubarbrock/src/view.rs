//! Endpoints known to a node, merged from sources that lag and contradict each other.
//!
//! The platform's instance list is replaced as a whole, and only by a newer one. A
//! reclaim notice, or a list entry that says the same, withdraws an endpoint
//! permanently: instance ids are not reused, so no later entry can reverse it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{endpoint, id, limit, rendezvous};

/// How long notices and reports for endpoints that are not listed are kept.
const NOTICE_RETENTION: Duration = Duration::from_secs(900);

/// Endpoints of one service that may receive requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServiceEndpoints {
    /// All such endpoints, in order of their ids.
    pub(crate) all: Vec<id::EndpointId>,
    /// The subset of limited size whose load this node tracks, in order of their ids.
    pub(crate) subset: Vec<id::EndpointId>,
}

/// All endpoints known to a node.
#[derive(Debug, Clone)]
pub(crate) struct View {
    node: id::NodeId,
    subset_size: usize,
    pub(crate) endpoints: BTreeMap<id::EndpointId, endpoint::Endpoint>,
    pub(crate) services: BTreeMap<String, ServiceEndpoints>,
    /// Endpoints withdrawn by a notice or by the list: time of the last notice or entry.
    notices: BTreeMap<id::EndpointId, Duration>,
    /// Reports of leaving endpoints that are not listed: sequence and time of receipt.
    unlisted_leaving: BTreeMap<id::EndpointId, (u64, Duration)>,
    list_taken_at: Duration,
    list_applied_at: Option<Duration>,
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
            list_applied_at: None,
        }
    }

    /// Time since a list was last applied; none before the first.
    pub(crate) fn list_age(&self, now: Duration) -> Option<Duration> {
        self.list_applied_at.map(|applied_at| now.saturating_sub(applied_at))
    }

    /// Applies a list unless a newer one was applied; `taken_at` is by the platform's clock.
    pub(crate) fn on_list(
        &mut self,
        now: Duration,
        taken_at: Duration,
        listings: Vec<endpoint::Listing>,
        limit_settings: &limit::Settings,
    ) -> bool {
        if taken_at < self.list_taken_at {
            return false;
        }
        self.list_taken_at = taken_at;
        self.list_applied_at = Some(now);
        for endpoint in self.endpoints.values_mut() {
            endpoint.listing.state = endpoint::ListedState::Gone;
        }
        for listing in listings {
            self.apply_listing(now, listing, limit_settings);
        }
        self.remove_gone(now);
        self.rebuild();
        true
    }

    fn apply_listing(
        &mut self,
        now: Duration,
        listing: endpoint::Listing,
        limit_settings: &limit::Settings,
    ) {
        let id = listing.endpoint;
        let is_leaving = listing.state == endpoint::ListedState::Leaving;
        let is_gone = listing.state == endpoint::ListedState::Gone;
        if is_leaving || is_gone {
            self.notices.insert(id, now);
        }
        let known = self.endpoints.entry(id).or_insert_with(|| {
            endpoint::Endpoint::new(listing.clone(), limit::Limit::new(limit_settings))
        });
        known.listing = listing;
        known.is_withdrawn |= self.notices.contains_key(&id);
        if let Some((sequence, _)) = self.unlisted_leaving.remove(&id) {
            known.leaving_sequence = known.leaving_sequence.max(Some(sequence));
        }
    }

    fn remove_gone(&mut self, now: Duration) {
        let View { endpoints, notices, unlisted_leaving, .. } = self;
        notices.retain(|id, at| endpoints.contains_key(id) || now < *at + NOTICE_RETENTION);
        unlisted_leaving.retain(|_, (_, at)| now < *at + NOTICE_RETENTION);
        endpoints.retain(|id, endpoint| {
            let is_gone = endpoint.listing.state == endpoint::ListedState::Gone;
            let is_noticed = notices.get(id).is_some_and(|at| now < *at + NOTICE_RETENTION);
            let is_kept = !is_gone || is_noticed || !endpoint.in_flight.is_empty();
            if let Some(sequence) = endpoint.leaving_sequence.filter(|_| !is_kept) {
                unlisted_leaving.insert(*id, (sequence, now));
            }
            is_kept
        });
    }

    /// Applies a reclaim notice, also for an endpoint that is not listed; returns whether it is the
    /// first for the endpoint.
    pub(crate) fn on_notice(&mut self, now: Duration, id: id::EndpointId) -> bool {
        let is_first = self.notices.insert(id, now).is_none();
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            endpoint.is_withdrawn = true;
        }
        if is_first {
            self.rebuild();
        }
        is_first
    }

    /// Applies a load report; returns whether it was newer than the last.
    pub(crate) fn on_load(
        &mut self,
        now: Duration,
        id: id::EndpointId,
        report: &endpoint::LoadReport,
        restart_gap: Duration,
    ) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            if report.leaving {
                let leaving = self.unlisted_leaving.entry(id).or_default();
                *leaving = (report.sequence.max(leaving.0), now);
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

    /// Records that an endpoint refused a request because it is leaving.
    pub(crate) fn on_refused_leaving(&mut self, id: id::EndpointId) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        let reported = endpoint.load.as_ref().map_or(0, |(report, _)| report.sequence);
        endpoint.leaving_sequence.get_or_insert(reported);
        self.rebuild();
    }

    /// Groups the endpoints that may receive requests by service.
    fn rebuild(&mut self) {
        for endpoints in self.services.values_mut() {
            endpoints.all.clear();
        }
        for (id, endpoint) in &self.endpoints {
            let is_listed = endpoint.listing.state == endpoint::ListedState::Live;
            if !is_listed || endpoint.is_leaving() {
                continue;
            }
            let service = endpoint.listing.service.as_str();
            match self.services.get_mut(service) {
                Some(endpoints) => endpoints.all.push(*id),
                None => {
                    let endpoints = ServiceEndpoints { all: vec![*id], subset: Vec::new() };
                    self.services.insert(service.to_owned(), endpoints);
                }
            }
        }
        for endpoints in self.services.values_mut() {
            endpoints.subset = subset(self.node, self.subset_size, &endpoints.all);
        }
    }
}

/// The `size` highest ranked endpoints for a node, in order of their ids.
fn subset(node: id::NodeId, size: usize, all: &[id::EndpointId]) -> Vec<id::EndpointId> {
    if all.len() <= size {
        return all.to_vec();
    }
    let mut subset = rendezvous::top(node, all.iter().copied(), size);
    subset.sort_unstable();
    subset
}
