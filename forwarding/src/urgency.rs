//! Urgency of model requests at their endpoints.
//!
//! An endpoint begins waiting requests in the order of their urgency. Requests
//! to one service are ranked where its routes differ in priority and the prompts
//! of the higher ones are shorter: then few callers wait a little longer for many
//! that are served much sooner. Elsewhere long prompts would overtake short ones,
//! and endpoints keep the order of arrival. Organisations are ranked first, as
//! their priority takes precedence, and the routes within equal organisations.

use std::collections::{BTreeMap, BTreeSet};

use crate::release::{Organisation, Priority, Release, Route, ServiceName};

/// Urgency of a request at an endpoint, from 0 (first) to [`MAX_URGENCY`].
pub type Urgency = u8;

/// Urgency of the requests that can wait longest.
pub const MAX_URGENCY: Urgency = 9;

/// Priority of an organisation or a route that states none.
const LOWEST_PRIORITY: Priority = Priority::MAX;

/// Number of prompts from which their mean size is known.
const MIN_PROMPTS: u32 = 4;

/// Ranks of the requests to each service.
#[derive(Debug, Default)]
pub struct Urgencies {
    /// Distinct priorities of the organisations, in order.
    organisations: Vec<Priority>,
    /// Distinct priorities of the routes to each service for which they differ, in order.
    routes: BTreeMap<ServiceName, Vec<Priority>>,
    /// Prompts by service and priority of the route.
    prompts: BTreeMap<ServiceName, BTreeMap<Priority, PromptSizes>>,
}

#[derive(Debug, Clone, Copy, Default)]
struct PromptSizes {
    prompts: u32,
    mean_tokens: f64,
}

impl PromptSizes {
    fn add(&mut self, tokens: u64) {
        self.prompts = self.prompts.saturating_add(1);
        self.mean_tokens += (tokens as f64 - self.mean_tokens) / f64::from(self.prompts);
    }
}

impl Urgencies {
    /// Applies a release. The sizes of prompts seen under an earlier one still hold.
    pub fn on_release(&mut self, release: &Release) {
        let mut routes: BTreeMap<ServiceName, BTreeSet<Priority>> = BTreeMap::new();
        for route in release.routes.iter().filter(|route| route.kind.is_stream()) {
            for destination in &route.destinations {
                let priorities = routes.entry(destination.service.clone()).or_default();
                priorities.insert(route_priority(route));
            }
        }
        routes.retain(|_, priorities| priorities.len() > 1);
        let routes = routes.into_iter();
        self.routes = routes
            .map(|(service, priorities)| (service, priorities.into_iter().collect()))
            .collect();
        let organisations =
            release.organisations.iter().map(|each| organisation_priority(Some(each)));
        let organisations: BTreeSet<Priority> = organisations.collect();
        self.organisations = organisations.into_iter().collect();
        self.prompts.retain(|service, _| release.services.contains_key(service));
    }

    /// Counts an admitted request with a prompt of `tokens`, shared parts included.
    pub fn on_prompt(&mut self, service: &str, route: &Route, tokens: u64) {
        if self.routes.contains_key(service) {
            let prompts = self.prompts.entry(service.to_owned()).or_default();
            prompts.entry(route_priority(route)).or_default().add(tokens);
        }
    }

    /// Urgency of a request; `None` if the service ranks none.
    pub fn of_request(
        &self,
        service: &str,
        route: &Route,
        organisation: Option<&Organisation>,
    ) -> Option<Urgency> {
        let routes = self.routes.get(service).filter(|_| self.are_urgent_prompts_short(service))?;
        let organisation = organisation_priority(organisation);
        let organisation_rank = self.organisations.partition_point(|&each| each < organisation);
        let route = route_priority(route);
        let route_rank = routes.partition_point(|&each| each < route);
        let ranks = self.organisations.len().max(1) * routes.len();
        let rank = organisation_rank * routes.len() + route_rank;
        let max_urgency = usize::from(MAX_URGENCY);
        let urgency = if ranks <= max_urgency { rank } else { rank * max_urgency / (ranks - 1) };
        Some(urgency.min(max_urgency) as Urgency)
    }

    /// Whether the prompts of routes with a higher priority are shorter, as far as is known.
    fn are_urgent_prompts_short(&self, service: &str) -> bool {
        let Some(prompts) = self.prompts.get(service) else { return false };
        let known = prompts.values().filter(|sizes| sizes.prompts >= MIN_PROMPTS);
        let mean_tokens: Vec<f64> = known.map(|sizes| sizes.mean_tokens).collect();
        mean_tokens.len() > 1 && mean_tokens.is_sorted()
    }
}

fn route_priority(route: &Route) -> Priority {
    route.priority.unwrap_or(LOWEST_PRIORITY)
}

fn organisation_priority(organisation: Option<&Organisation>) -> Priority {
    organisation.and_then(|each| each.priority).unwrap_or(LOWEST_PRIORITY)
}
