//! A node's exchange with the platform: log, instance list, notices and load of endpoints.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use rhubarbrock_schema::{peer, release as schema};

use crate::node::{MAX_RELEASE_LAG, Node};
use crate::{action, claim, defaults, digest, endpoint, event, id, release, snapshot, watch};

/// How long a new node waits for a node of another data centre before it takes requests anyway.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Purpose of an append to the log.
#[derive(Debug, Clone, Copy)]
enum AppendPurpose {
    Claims(u64),
    Snapshot,
}

/// State of the exchange with the platform.
#[derive(Debug, Default)]
pub(crate) struct PlatformState {
    appends: BTreeMap<event::AppendId, AppendPurpose>,
    last_append: event::AppendId,
    addresses: BTreeMap<id::EndpointId, SocketAddr>,
    watched: Vec<action::WatchedEndpoint>,
    /// Topics that cannot be read, with the times of the first failures.
    unreadable: BTreeMap<event::Topic, Duration>,
    pub(crate) instances_failing_since: Option<Duration>,
    pub(crate) release_oldest_offset: id::Offset,
    pub(crate) release_end_offset: id::Offset,
    pub(crate) release_behind_since: Option<Duration>,
    pub(crate) started_at: Duration,
    pub(crate) is_fetching: bool,
    pub(crate) next_fetch_at: Duration,
    pub(crate) fetch_count: u64,
    /// Monotonic time at which this node's instance is reclaimed.
    pub(crate) leave_at: Option<Duration>,
}

impl PlatformState {
    /// Time since which a topic cannot be read; `None` if it can.
    pub(crate) fn unreadable_since(&self, topic: event::Topic) -> Option<Duration> {
        self.unreadable.get(&topic).copied()
    }
}

impl Node {
    pub(crate) fn on_platform(&mut self, event: event::PlatformEvent) {
        match event {
            event::PlatformEvent::Records(page) => self.on_records(page),
            event::PlatformEvent::ReadFailed { topic } => self.on_read_failed(topic),
            event::PlatformEvent::Appended { append, outcome } => {
                self.on_appended(append, outcome);
            }
            event::PlatformEvent::Instances(list) => self.on_instances(&list),
            event::PlatformEvent::InstancesFailed => {
                self.platform.instances_failing_since.get_or_insert(self.now);
            }
            event::PlatformEvent::Notices(notices) => self.on_notices(&notices),
        }
    }

    fn on_records(&mut self, page: event::RecordPage) {
        if self.platform.unreadable.remove(&page.topic).is_some() {
            let message = format!("topic {} is readable again", page.topic);
            self.log_event(action::LogLevel::Info, "log.available", message);
        }
        match page.topic {
            event::Topic::Release => self.on_release_records(&page),
            event::Topic::Claims => self.on_claim_records(page),
            event::Topic::Leases => {}
        }
    }

    fn on_read_failed(&mut self, topic: event::Topic) {
        self.counters.log_read_failures += 1;
        if self.platform.unreadable.contains_key(&topic) {
            return;
        }
        self.platform.unreadable.insert(topic, self.now);
        let message = format!("topic {topic} cannot be read");
        self.log_event(action::LogLevel::Warning, "log.unavailable", message);
        if topic == event::Topic::Claims {
            let actions = self.claims.on_log_availability(self.now, false);
            self.perform_claim_actions(actions);
        }
    }

    fn on_claim_records(&mut self, page: event::RecordPage) {
        let records = page
            .records
            .into_iter()
            .map(|record| claim::Record {
                offset: record.offset,
                time_ms: record.time.as_millis() as u64,
                bytes: record.data,
            })
            .collect();
        let page = claim::Page {
            records,
            next_offset: page.next_offset,
            oldest_offset: page.oldest_offset,
            end_offset: page.end_offset,
        };
        let mut actions = self.claims.on_log_availability(self.now, true);
        actions.extend(self.claims.on_records(self.now, page));
        self.perform_claim_actions(actions);
    }

    fn on_release_records(&mut self, page: &event::RecordPage) {
        self.platform.release_oldest_offset = page.oldest_offset;
        self.platform.release_end_offset = page.end_offset;
        if page.oldest_offset > self.log.next_offset() {
            self.log.skip_to(page.oldest_offset);
        }
        let before = self.log.version();
        for record in &page.records {
            self.apply_release(record);
        }
        if self.log.version() != before {
            self.on_new_release();
        }
    }

    fn apply_release(&mut self, record: &event::Record) {
        match self.log.apply(record.offset, &record.data) {
            release::Applied::InForce { version } => {
                self.counters.notes_in_force += 1;
                let message = format!("version {version} is in force");
                self.log_event(action::LogLevel::Info, "release.in_force", message);
            }
            release::Applied::Rejected { reason, .. } => {
                self.counters.notes_rejected += 1;
                let message = format!("the note at offset {} is rejected: {reason}", record.offset);
                self.log_event(action::LogLevel::Warning, "release.rejected", message);
            }
            release::Applied::Ignored(release::IgnoredReason::Malformed) => {
                self.counters.records_malformed += 1;
            }
            release::Applied::Snapshot(release::SnapshotUse::BecameBase { .. }) => {
                let message =
                    format!("version {} is in force, read from a snapshot", self.log.version());
                self.log_event(action::LogLevel::Info, "release.in_force", message);
            }
            release::Applied::Deferred { .. }
            | release::Applied::Snapshot(_)
            | release::Applied::Ignored(_) => {}
        }
    }

    /// Applies the release that came into force.
    pub(crate) fn on_new_release(&mut self) {
        let Some(release) = self.log.release().cloned() else { return };
        self.in_force_since = self.unix_time;
        self.policy = release.policy.unwrap_or_else(defaults::policy);
        self.organisations = organisations(&release);
        self.services = release.services.iter().map(|s| (s.name.clone(), s.clone())).collect();
        self.dispatcher.on_release(&release);
        let key_lifetime = Duration::from_secs(u64::from(self.policy.idempotency_key_life_s));
        self.claims.set_key_lifetime(key_lifetime);
        self.retries.set_retry_percent(self.policy.retry_percent);
        self.quarantine.set_policy(
            self.policy.quarantine_after_crashes as usize,
            Duration::from_secs(u64::from(self.policy.quarantine_s)),
        );
        let answer_lifetime = Duration::from_secs(u64::from(self.policy.answer_life_s));
        self.custody.set_answer_lifetime(answer_lifetime);
        self.announce_release_version(release.version);
        self.update_readiness();
    }

    /// Whether a higher version has been known for longer than this node may serve without it.
    pub(crate) fn is_release_behind(&self) -> bool {
        let since = self.platform.release_behind_since;
        since.is_some_and(|since| self.now > since + MAX_RELEASE_LAG)
    }

    pub(crate) fn update_readiness(&mut self) {
        let is_join_timed_out = self.now > self.platform.started_at + JOIN_TIMEOUT;
        let has_joined = self.knows_other_data_centre() || is_join_timed_out;
        let is_ready = self.log.release().is_some()
            && has_joined
            && !self.is_release_behind()
            && !self.is_leaving();
        if is_ready != self.is_ready {
            self.is_ready = is_ready;
            self.push_action(action::Action::SetReady(is_ready));
            let message = if is_ready { "takes requests" } else { "takes no new requests" };
            self.log_event(action::LogLevel::Info, "node.readiness", message.to_owned());
        }
    }

    pub(crate) fn append_claims(&mut self, batch: u64, record: Vec<u8>) {
        self.append(event::Topic::Claims, record, AppendPurpose::Claims(batch));
    }

    fn append(&mut self, topic: event::Topic, record: Vec<u8>, purpose: AppendPurpose) {
        self.platform.last_append += 1;
        let append = self.platform.last_append;
        self.platform.appends.insert(append, purpose);
        self.counters.appends += 1;
        self.push_action(action::Action::Append { append, topic, record });
    }

    fn on_appended(&mut self, append: event::AppendId, outcome: event::AppendOutcome) {
        let Some(purpose) = self.platform.appends.remove(&append) else { return };
        if !matches!(outcome, event::AppendOutcome::At(_)) {
            self.counters.append_failures += 1;
        }
        if let AppendPurpose::Claims(batch) = purpose {
            let result = match outcome {
                event::AppendOutcome::At(offset) => claim::AppendResult::At(offset),
                event::AppendOutcome::Failed => claim::AppendResult::Failed,
                event::AppendOutcome::Unknown => claim::AppendResult::Unknown,
            };
            let actions = self.claims.on_append_result(self.now, batch, result);
            self.perform_claim_actions(actions);
        }
    }

    fn on_instances(&mut self, list: &event::InstanceList) {
        self.platform.instances_failing_since = None;
        let endpoints =
            list.instances.iter().filter(|instance| instance.kind == event::InstanceKind::Endpoint);
        let listings: Vec<endpoint::Listing> = endpoints.map(listing).collect();
        for instance in &list.instances {
            self.platform.addresses.insert(instance.id, instance.address);
        }
        let known: Vec<id::EndpointId> =
            list.instances.iter().map(|instance| instance.id).collect();
        if self.dispatcher.router.on_list(self.now, list.taken_at, listings) {
            self.prune_addresses(&known);
            self.join_known_nodes(list);
        }
        self.watch_endpoints();
    }

    /// Drops the addresses of instances that are gone, unless an attempt may still use them.
    fn prune_addresses(&mut self, known: &[id::EndpointId]) {
        let router = &self.dispatcher.router;
        self.platform
            .addresses
            .retain(|id, _| known.contains(id) || router.endpoint(*id).is_some());
    }

    fn on_notices(&mut self, notices: &[event::Notice]) {
        for notice in notices {
            if notice.instance == self.config.instance && notice.instance != 0 {
                let remaining = notice.leave_at.saturating_sub(self.unix_time);
                self.platform.leave_at = Some(self.now + remaining);
                self.on_reclaim(remaining);
            } else if self.dispatcher.router.on_notice(self.now, notice.instance) {
                let message = format!("endpoint {} was given notice", notice.instance);
                self.log_event(action::LogLevel::Info, "endpoint.leaving", message);
            }
        }
    }

    /// Address of an endpoint that the router chose; port 0, which refuses connections, if it is
    /// unknown.
    pub(crate) fn endpoint_address(&self, endpoint: id::EndpointId) -> SocketAddr {
        let unknown = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        self.platform.addresses.get(&endpoint).copied().unwrap_or(unknown)
    }

    /// Polls the load of the model endpoints that this node watches on behalf of all nodes.
    pub(crate) fn watch_endpoints(&mut self) {
        let router = &self.dispatcher.router;
        let own_node = self.config.node;
        let is_model = |name: &&str| {
            self.services
                .get(*name)
                .is_some_and(|service| service.kind() == schema::ServiceKind::Model)
        };
        let is_watched_here = |known: &&endpoint::Endpoint| {
            let listing = &known.listing;
            let state = known.state(self.now);
            is_model(&listing.service.as_str())
                && state != endpoint::State::Gone
                && watch::watchers(&self.membership, listing.endpoint, &listing.data_centre)
                    .contains(&own_node)
        };
        let watched: Vec<action::WatchedEndpoint> = router
            .endpoints()
            .filter(is_watched_here)
            .map(|known| action::WatchedEndpoint {
                endpoint: known.listing.endpoint,
                address: self.endpoint_address(known.listing.endpoint),
            })
            .collect();
        if watched != self.platform.watched {
            self.platform.watched.clone_from(&watched);
            self.push_action(action::Action::Watch { endpoints: watched });
        }
    }

    pub(crate) fn on_load(&mut self, report: &event::LoadReport) {
        let own_report = endpoint::LoadReport {
            sequence: report.sequence,
            running: report.running,
            waiting: report.waiting,
            kv_used_percent: report.kv_used_percent,
            queued_tokens: report.queued_tokens,
            leaving: report.leaving,
            age: Duration::ZERO,
        };
        let was_leaving = self.is_endpoint_leaving(report.endpoint);
        self.dispatcher.router.on_load(self.now, report.endpoint, &own_report);
        let peer_report = peer::EndpointLoad {
            endpoint: report.endpoint,
            sequence: report.sequence,
            running: report.running,
            waiting: report.waiting,
            kv_used_percent: report.kv_used_percent,
            queued_tokens: report.queued_tokens,
            leaving: report.leaving,
            ..Default::default()
        };
        self.membership.digest_store().put(self.now, digest::Item::Load(peer_report));
        self.announce_leaving_endpoint(report.endpoint, was_leaving);
    }

    /// Publishes that a watched endpoint did not answer, with its last known load.
    pub(crate) fn on_load_failed(&mut self, endpoint: id::EndpointId) {
        let Some(mut last) = self.membership.digest_store().load(self.now, endpoint) else {
            return;
        };
        last.sequence += 1;
        last.unreachable = true;
        last.age_ms = 0;
        let report = endpoint::LoadReport {
            sequence: last.sequence,
            running: last.running,
            waiting: last.waiting,
            kv_used_percent: last.kv_used_percent,
            queued_tokens: last.queued_tokens,
            leaving: last.leaving,
            age: Duration::ZERO,
        };
        self.dispatcher.router.on_peer_load(self.now, endpoint, &report, true);
        self.membership.digest_store().put(self.now, digest::Item::Load(last));
    }

    pub(crate) fn tick_platform(&mut self) {
        self.update_readiness();
        self.write_snapshot();
    }

    /// Appends a snapshot of the release to the log if it is this node's turn.
    fn write_snapshot(&mut self) {
        let live: Vec<id::NodeId> = self
            .membership
            .running()
            .map(|known| known.record.node)
            .chain([self.config.node])
            .collect();
        let input = snapshot::SnapshotInput {
            node: self.config.node,
            live_nodes: &live,
            oldest_offset: self.platform.release_oldest_offset,
            end_offset: self.platform.release_end_offset,
            unix_time: self.unix_time,
        };
        if let Some(record) = self.snapshots.due(&self.log, &input, self.now) {
            self.append(event::Topic::Release, record, AppendPurpose::Snapshot);
        }
    }
}

fn organisations(release: &schema::Release) -> BTreeMap<event::Sha256, String> {
    let mut by_key = BTreeMap::new();
    for organisation in &release.organisations {
        for key in &organisation.key_sha256s {
            let mut digest: event::Sha256 = [0; 32];
            if hex::decode_to_slice(key, &mut digest).is_ok() {
                by_key.insert(digest, organisation.name.clone());
            }
        }
    }
    by_key
}

fn listing(instance: &event::Instance) -> endpoint::Listing {
    endpoint::Listing {
        endpoint: instance.id,
        service: instance.service.clone(),
        data_centre: instance.data_centre.clone(),
        class: instance.class.clone(),
        address: instance.address.to_string(),
        market: match instance.market {
            event::Market::Reclaimable => endpoint::Market::Reclaimable,
            event::Market::OnDemand => endpoint::Market::OnDemand,
        },
        price_per_hour: 0.0,
        state: match instance.state {
            event::InstanceState::Starting => endpoint::ListedState::Starting,
            event::InstanceState::Live => endpoint::ListedState::Live,
            event::InstanceState::Leaving => endpoint::ListedState::Leaving,
            event::InstanceState::Gone => endpoint::ListedState::Gone,
        },
    }
}
