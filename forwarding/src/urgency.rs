//! Urgency of model requests at their endpoints.
//!
//! An endpoint begins waiting requests in the order of their urgency. Requests
//! are ranked where the routes to one service differ in priority; elsewhere an
//! endpoint keeps its own order. Organisations are ranked first, as their
//! priority takes precedence, and the routes within equal organisations.

use std::collections::{BTreeMap, BTreeSet};

use crate::release::{Organisation, Priority, Release, Route, ServiceName};

/// Urgency of a request at an endpoint, from 0 (first) to [`MAX_URGENCY`].
pub type Urgency = u8;

/// Urgency of the requests that can wait longest.
pub const MAX_URGENCY: Urgency = 9;

/// Priority of an organisation or a route that states none.
const LOWEST_PRIORITY: Priority = Priority::MAX;

/// Ranks of the requests to each service.
#[derive(Debug, Default)]
pub struct Urgencies {
    /// Distinct priorities of the organisations, in order.
    organisations: Vec<Priority>,
    /// Distinct priorities of the routes to each service that ranks its requests, in order.
    routes: BTreeMap<ServiceName, Vec<Priority>>,
}

impl Urgencies {
    /// Determines the ranks under a release.
    pub fn new(release: &Release) -> Urgencies {
        let mut routes: BTreeMap<ServiceName, BTreeSet<Priority>> = BTreeMap::new();
        for route in release.routes.iter().filter(|route| route.kind.is_stream()) {
            for destination in &route.destinations {
                let priorities = routes.entry(destination.service.clone()).or_default();
                priorities.insert(route_priority(route));
            }
        }
        let differing = routes.into_iter().filter(|(_, priorities)| priorities.len() > 1);
        let routes =
            differing.map(|(service, priorities)| (service, priorities.into_iter().collect()));
        let organisations =
            release.organisations.iter().map(|each| organisation_priority(Some(each)));
        let organisations: BTreeSet<Priority> = organisations.collect();
        Urgencies { organisations: organisations.into_iter().collect(), routes: routes.collect() }
    }

    /// Urgency of a request; `None` if the service ranks none.
    pub fn of_request(
        &self,
        service: &str,
        route: &Route,
        organisation: Option<&Organisation>,
    ) -> Option<Urgency> {
        let routes = self.routes.get(service)?;
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
}

fn route_priority(route: &Route) -> Priority {
    route.priority.unwrap_or(LOWEST_PRIORITY)
}

fn organisation_priority(organisation: Option<&Organisation>) -> Priority {
    organisation.and_then(|each| each.priority).unwrap_or(LOWEST_PRIORITY)
}
