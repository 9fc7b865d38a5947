//! Roll-outs of versions: orders from the store, and the records and decisions of the holder of the
//! duties.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering;
use std::time::Duration;

use forwarding::release::ServiceName;
use forwarding::rollout::evidence::{Evidence, History};
use forwarding::rollout::plan::{self, View};
use forwarding::rollout::{Order, OrderPosition, Phase, Record, Revision, RolloutBounds};
use forwarding::store_role::StoreEra;
use platform::rollout;
use platform::store::{self, AppendResult, StoreClient};
use slog::{info, warn};
use tokio::time;

use crate::context::Context;

/// Interval at which the roll-outs are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which a gateway that does not hear the holder of the duties reads the records.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a call to the store. A holder whose calls are answered later stops in time.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Bits of an order's position that hold its offset; the higher ones hold the era.
const POSITION_OFFSET_BITS: u32 = 32;

/// Position of a record at `offset` of the operator's topic.
pub(crate) fn position(era: StoreEra, offset: u64) -> OrderPosition {
    (era << POSITION_OFFSET_BITS).saturating_add(offset)
}

/// Applies the orders in a listing of the operator's topic. Orders that are missing were withdrawn.
pub(crate) fn apply_listing(context: &Context, listed: &[store::Record], at: OrderPosition) {
    let orders = listed.iter().filter_map(|record| {
        let service = rollout::ordered_service(&record.key)?;
        decode_order(context, service, record.value.as_ref()?)
    });
    let orders: Vec<Order> = orders.collect();
    let now = context.now();
    context.dispatcher().rollouts.on_orders(now, orders, at);
}

/// Applies the orders among further records of the operator's topic.
pub(crate) fn apply_records(context: &Context, records: &[store::Record], at: OrderPosition) {
    for record in records {
        let Some(service) = rollout::ordered_service(&record.key) else { continue };
        let order = match &record.value {
            None => None,
            Some(value) => match decode_order(context, service, value) {
                Some(order) => Some(order),
                None => continue,
            },
        };
        let now = context.now();
        info!(context.logger, "roll-out ordered"; "service" => service,
            "to" => order.as_ref().map_or("none", |order| order.to.as_str()),
            "duration_ms" => order.as_ref().map(|order| order.duration.as_millis() as u64));
        context.dispatcher().rollouts.on_order(now, service, order, at);
    }
}

fn decode_order(context: &Context, service: &str, value: &[u8]) -> Option<Order> {
    match rollout::decode_order(service, value) {
        Ok(order) => Some(order),
        Err(error) => {
            warn!(context.logger, "invalid order of a roll-out"; "service" => service,
                "error" => %error);
            None
        }
    }
}

/// Status that was written for a service, and the era of the store that has it.
type WrittenStatus = (Vec<u8>, StoreEra);

/// State of the task that reads the records, and writes them while the duties are held.
struct Runner {
    context: Context,
    bounds: RolloutBounds,
    store: StoreClient,
    /// End of the records' partition and its era, as the holder knows them.
    end: Option<(StoreEra, u64)>,
    read_at: Option<Duration>,
    histories: BTreeMap<ServiceName, History>,
    phases: BTreeMap<ServiceName, (Revision, Duration)>,
    statuses: BTreeMap<ServiceName, WrittenStatus>,
}

/// Decides on the roll-outs while the duties are held, and otherwise reads what was decided if the
/// reports do not tell. Returns at once if the deployment has no roll-outs.
pub(crate) async fn run(context: Context) {
    let (bounds, address) = {
        let settings = &context.dispatcher().settings;
        (settings.bounds.rollout, settings.store_address)
    };
    let Some(bounds) = bounds else { return };
    let mut runner = Runner {
        context,
        bounds,
        store: StoreClient::new(address),
        end: None,
        read_at: None,
        histories: BTreeMap::new(),
        phases: BTreeMap::new(),
        statuses: BTreeMap::new(),
    };
    loop {
        runner.tick().await;
        time::sleep(TICK_INTERVAL).await;
    }
}

impl Runner {
    async fn tick(&mut self) {
        let services: Vec<ServiceName> =
            self.context.dispatcher().rollouts.services().cloned().collect();
        if !self.holds_duties() {
            self.end = None;
            self.histories.clear();
            self.phases.clear();
            self.statuses.clear();
            self.read_if_due().await;
            return;
        }
        if services.is_empty() {
            return;
        }
        let era = *self.context.store_era().borrow();
        if self.end.is_none_or(|(known, _)| era.is_some_and(|era| era != known)) {
            self.end = None;
            if let Some(stored) = self.read_records().await {
                self.restore_records(&services, &stored).await;
            }
        }
        for service in &services {
            self.advance(service).await;
            self.write_status(service).await;
        }
    }

    fn holds_duties(&self) -> bool {
        self.context.holds_lease.load(Ordering::Relaxed)
    }

    async fn read_if_due(&mut self) {
        let now = self.context.now();
        let is_due = self.read_at.is_none_or(|at| now >= at + READ_INTERVAL);
        if is_due && self.context.dispatcher().rollouts.must_read_records(now) {
            self.read_at = Some(now);
            self.read_records().await;
        }
    }

    /// Reads the records; returns their revisions, or `None` if the store does not answer.
    async fn read_records(&mut self) -> Option<BTreeMap<ServiceName, Revision>> {
        let listing = match self.store.list_newest(store::ROLLOUTS_TOPIC, CALL_TIMEOUT).await {
            Ok(listing) => listing,
            Err(error) => {
                warn!(self.context.logger, "cannot read roll-outs"; "error" => %error);
                return None;
            }
        };
        self.context.on_store_era(self.store.era());
        self.end = Some((self.store.era(), listing.end_offset));
        let mut revisions = BTreeMap::new();
        for value in listing.records.iter().filter_map(|record| record.value.as_ref()) {
            match rollout::decode_record(value) {
                Ok(record) => {
                    revisions.insert(record.order.service.clone(), record.revision);
                    self.apply(record);
                }
                Err(error) => {
                    warn!(self.context.logger, "invalid record of a roll-out"; "error" => %error);
                }
            }
        }
        Some(revisions)
    }

    /// Writes records again that a restored store has lost.
    async fn restore_records(
        &mut self,
        services: &[ServiceName],
        stored: &BTreeMap<ServiceName, Revision>,
    ) {
        for service in services {
            let known = self.context.dispatcher().rollouts.record(service).cloned();
            let Some(record) = known else { continue };
            if stored.get(service).is_none_or(|&revision| revision < record.revision) {
                self.append(&record).await;
            }
        }
    }

    fn apply(&self, record: Record) {
        let (service, phase) = (record.order.service.clone(), record.phase);
        let (to, reason) = (record.order.to.clone(), record.reason.clone());
        let revision = record.revision;
        if self.context.dispatcher().rollouts.on_record(record) {
            info!(self.context.logger, "roll-out"; "service" => service, "to" => to,
                "phase" => %phase, "revision" => revision, "reason" => reason);
        }
    }

    /// Takes the next decision on a service, or permits that the phase goes on.
    async fn advance(&mut self, service: &str) {
        let now = self.context.now();
        let Some(next) = self.next_record(now, service) else {
            // Nothing is permitted before the store is known to have the record.
            if self.end.is_some() && self.holds_duties() {
                self.context.dispatcher().rollouts.grant(now, service);
            }
            return;
        };
        if next.phase == Phase::RolledBack {
            self.context.dispatcher().rollouts.revoke(service);
        }
        if self.append(&next).await {
            self.phases.insert(service.to_owned(), (next.revision, self.context.now()));
            metrics::counter!("gateway_rollout_decisions_total", "phase" => next.phase.to_string())
                .increment(1);
            let is_final = next.phase.is_final();
            self.apply(next);
            if !is_final {
                self.context.dispatcher().rollouts.grant(self.context.now(), service);
            }
        }
    }

    fn next_record(&mut self, now: Duration, service: &str) -> Option<Record> {
        let unix_time = self.context.unix_time();
        let dispatcher = self.context.dispatcher();
        let (rollouts, peers) = (&dispatcher.rollouts, &dispatcher.peers);
        let record = rollouts.record(service);
        let order = rollouts.order(service);
        let evidence: Evidence = rollouts.evidence(service, peers.rollouts());
        let history = self.histories.entry(service.to_owned()).or_default();
        let recent = history.recent(now, self.bounds.rollback_delay, &evidence);
        let to = order.map(|order| &order.to);
        let is_barred = |version| record.is_some_and(|record| record.barred.contains(version));
        let endpoints = dispatcher.endpoints.of_service(service);
        let endpoints = endpoints.filter(|endpoint| !endpoint.entry.is_leaving);
        let (new, old): (Vec<_>, Vec<_>) =
            endpoints.partition(|endpoint| to == Some(&endpoint.entry.version));
        let old: Vec<_> =
            old.into_iter().filter(|endpoint| !is_barred(&endpoint.entry.version)).collect();
        let revision = record.map_or(0, |record| record.revision);
        let phase = self.phases.get(service).filter(|(known, _)| *known == revision);
        plan::next(&View {
            unix_time: peers.median_unix_time(now, unix_time),
            bounds: self.bounds,
            order,
            withdrawn_for: rollouts.withdrawn_at(service).map(|at| now.saturating_sub(at)),
            record,
            evidence: &evidence,
            recent: &recent,
            new_capacity: new.iter().map(|endpoint| endpoint.entry.capacity).sum(),
            old_capacity: old.iter().map(|endpoint| endpoint.entry.capacity).sum(),
            old_versions: old
                .iter()
                .map(|endpoint| endpoint.entry.version.clone())
                .collect::<BTreeSet<_>>(),
            old_requests: old.iter().map(|endpoint| endpoint.requests()).sum(),
            gateways_behind: peers.gateways_behind(now, service, revision),
            phase_age: phase.map(|(_, since)| now.saturating_sub(*since)),
        })
    }

    /// Writes a record on the condition that no other one was written; returns whether it was.
    async fn append(&mut self, record: &Record) -> bool {
        let Some((era, end)) = self.end else { return false };
        let value = match rollout::encode_record(record) {
            Ok(value) => value,
            Err(error) => {
                warn!(self.context.logger, "cannot encode a roll-out"; "error" => %error);
                return false;
            }
        };
        let (topic, key) = (store::ROLLOUTS_TOPIC, &record.order.service);
        let result = self.store.append(topic, key, &value, Some(end), CALL_TIMEOUT).await;
        // After an unknown outcome, or in another era, the end has to be read again.
        self.end = None;
        match result {
            Ok(AppendResult::Done(end)) if self.store.era() == era => {
                self.end = Some((era, end));
                true
            }
            Ok(_) => false,
            Err(error) => {
                warn!(self.context.logger, "roll-out not written"; "error" => %error,
                    "in_doubt" => error.is_in_doubt());
                false
            }
        }
    }

    /// Writes the status for the operator if the store does not have it yet.
    async fn write_status(&mut self, service: &str) {
        let record = self.context.dispatcher().rollouts.record(service).cloned();
        let Some(record) = record else { return };
        let Some((era, _)) = self.end else { return };
        let Ok(value) = rollout::encode_status(&record) else { return };
        let known = self.statuses.get(service);
        if !self.holds_duties() || known.is_some_and(|known| *known == (value.clone(), era)) {
            return;
        }
        let key = rollout::status_key(service);
        match self.store.append(store::STATUS_TOPIC, &key, &value, None, CALL_TIMEOUT).await {
            Ok(_) => {
                info!(self.context.logger, "roll-out status written"; "service" => service,
                    "to" => &record.order.to, "phase" => %record.phase);
                self.statuses.insert(service.to_owned(), (value, era));
            }
            Err(error) => {
                warn!(self.context.logger, "roll-out status not written"; "error" => %error);
            }
        }
    }
}
