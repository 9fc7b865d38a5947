//! Status and gauges of a node.

use std::collections::BTreeMap;
use std::time::Duration;

use rhubarbrock_schema::observe;

use crate::node::Node;
use crate::{endpoint, event, id};

impl Node {
    /// Returns the status that `/v1/status` shows.
    pub fn status(&self) -> observe::NodeStatus {
        let release = self.log.release();
        observe::NodeStatus {
            node: self.config.node,
            name: self.config.name.clone(),
            data_centre: self.config.data_centre.clone(),
            release_version: self.log.version(),
            release_title: release.map(|release| release.title.clone()).unwrap_or_default(),
            held: self.unfinished_models() as u32,
            kept: self.backup_count() as u32,
            waiting: self.waiting_requests() as u32,
            leaving: self.is_leaving(),
            peers_alive: self.peers_alive() as u32,
            endpoints: self.endpoint_statuses(),
            troubles: self.troubles(),
        }
    }

    /// Version of the release in force here.
    pub fn release_version(&self) -> id::Version {
        self.log.version()
    }

    /// Calls `visit` with the metric name and value of each gauge.
    pub fn gauges(&self, mut visit: impl FnMut(&'static str, f64)) {
        visit("rhubarbrock_release_version", self.log.version() as f64);
        visit("rhubarbrock_requests_held", self.unfinished_models() as f64);
        visit("rhubarbrock_copies_kept", self.backup_count() as f64);
        visit("rhubarbrock_requests_waiting", self.waiting_requests() as f64);
        visit("rhubarbrock_peers_alive", self.peers_alive() as f64);
        visit("rhubarbrock_ready", f64::from(u8::from(self.is_ready)));
        visit("rhubarbrock_troubles", self.troubles().len() as f64);
    }

    pub(crate) fn unfinished_models(&self) -> usize {
        self.model_requests.values().filter(|held| held.finished_at.is_none()).count()
    }

    fn waiting_requests(&self) -> usize {
        let services = self.services.keys();
        services.map(|service| self.dispatcher.fairness.waiting(service)).sum()
    }

    fn endpoint_statuses(&self) -> Vec<observe::EndpointStatus> {
        let mut in_flight: BTreeMap<u64, u32> = BTreeMap::new();
        for held in self.model_requests.values().filter(|held| held.attempt.is_some()) {
            *in_flight.entry(held.record.endpoint).or_default() += 1;
        }
        let router = &self.dispatcher.router;
        let status = |known: &endpoint::Endpoint| {
            let id = known.listing.endpoint;
            observe::EndpointStatus {
                endpoint: id,
                service: known.listing.service.clone(),
                data_centre: known.listing.data_centre.clone(),
                address: known.listing.address.clone(),
                state: known.state(self.now).to_string(),
                in_flight: in_flight.get(&id).copied().unwrap_or(0),
                load: router.load(self.now, id).requests.round() as u32,
            }
        };
        router.endpoints().map(status).collect()
    }

    fn troubles(&self) -> Vec<observe::Trouble> {
        let mut troubles = Vec::new();
        let claims = self.platform.unreadable_since(event::Topic::Claims);
        if let Some(since) = claims {
            let action = "calls that are not repeatable are refused as not run";
            troubles.push(self.trouble("claims-unavailable", action, since));
        }
        if let Some(since) = self.platform.unreadable_since(event::Topic::Release) {
            let action = "serving by the release known; asking other nodes for newer ones";
            troubles.push(self.trouble("release-log-unavailable", action, since));
        }
        if let Some(since) = self.platform.instances_failing_since {
            let action = "serving by the last list, load reports and own experience";
            troubles.push(self.trouble("instance-list-unavailable", action, since));
        }
        if let Some(since) = self.platform.release_behind_since {
            let action = "fetching the newer release; refusing requests after 4 s";
            troubles.push(self.trouble("release-behind", action, since));
        }
        if self.log.release().is_none() {
            let action = "refusing requests until a release is read";
            troubles.push(self.trouble("no-release", action, Duration::ZERO));
        }
        if self.peers_alive() == 0 {
            let action = "accepting requests with one copy only";
            troubles.push(self.trouble("no-peers", action, Duration::ZERO));
        }
        troubles
    }

    fn trouble(&self, name: &str, action: &str, since: Duration) -> observe::Trouble {
        let elapsed = self.now.saturating_sub(since);
        let since_ms = self.unix_time.saturating_sub(elapsed).as_millis() as u64;
        observe::Trouble { name: name.to_owned(), action: action.to_owned(), since_ms }
    }
}
