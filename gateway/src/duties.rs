//! Duties of the lease holder: usage reports and replica orders.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::Duration;

use forwarding::lease::{
    AppendOutcome, CALL_TIMEOUT, CLOCK_MARGIN, FirstEra, Lease, LeaseRecord, PartitionContent, Step,
};
use forwarding::scaling::{Order, OrderOutcome, PlanInput, Planner};
use forwarding::usage::{self, RequestCounts, WindowIndex};
use http::StatusCode;
use platform::duties::{DutyClient, LeaseHolder};
use platform::lease_record;
use platform::store::{self, AppendResult, StoreClient};
use slog::{info, warn};
use tokio::time;

use crate::context::Context;

/// Interval at which the lease and the duties are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of past windows that are still reported after a time without a lease holder.
const MAX_LATE_WINDOWS: WindowIndex = 3;

/// Delay of the first check, so that gateways that start together know each other.
const START_DELAY: Duration = Duration::from_millis(1_500);

/// State of the task that keeps the lease and performs the duties.
struct DutyRunner {
    context: Context,
    store: StoreClient,
    duty_client: DutyClient,
    name: String,
    lease: Lease,
    reported: BTreeSet<WindowIndex>,
    window_length: Duration,
    was_held: bool,
    planner: Planner,
    reports_usage: bool,
    orders_replicas: bool,
    /// First era of the store in this process.
    first_era: Option<FirstEra>,
}

/// Takes the lease when it is free, and performs the duties while it is held. Returns at once if the
/// settings give no address for the duties.
pub(crate) async fn run(context: Context) {
    let settings = context.dispatcher().settings.clone();
    let Some(duty_address) = settings.duty_address else { return };
    let lease =
        Lease::new(settings.name.clone(), context.incarnation, settings.bounds.lease_duration);
    let mut runner = DutyRunner {
        store: StoreClient::new(settings.store_address),
        duty_client: DutyClient::new(duty_address),
        name: settings.name,
        lease,
        reported: BTreeSet::new(),
        window_length: settings.bounds.usage_window,
        was_held: false,
        planner: Planner::default(),
        reports_usage: settings.reports_usage,
        orders_replicas: settings.orders_replicas,
        first_era: None,
        context,
    };
    runner.wait_for_store().await;
    time::sleep(START_DELAY).await;
    loop {
        runner.tick().await;
        time::sleep(TICK_INTERVAL).await;
    }
}

impl DutyRunner {
    async fn tick(&mut self) {
        let now = self.context.now();
        let (has_live_holder, rank) = {
            let peers = &self.context.dispatcher().peers;
            (peers.has_lease_holder(now), peers.name_rank(now, &self.name))
        };
        let first_era = self
            .first_era
            .filter(|first| self.context.dispatcher().peers.agree_on_first_era(now, first.era));
        self.lease.set_first_era(first_era);
        let due = self.due_window(now);
        match self.lease.step(now, has_live_holder, rank, due) {
            Step::Wait => {}
            Step::Read => self.read_lease().await,
            Step::Append { at, record } => self.append_lease(at, &record).await,
        }
        self.update_lease_state();
        if self.reports_usage {
            self.report_usage().await;
        }
        if self.orders_replicas {
            self.order_replicas().await;
        }
    }

    /// Waits until the store answers, and remembers its era and which windows are open then.
    async fn wait_for_store(&mut self) {
        let mut store_era = self.context.store_era();
        // The sender lives as long as the context.
        let _ = store_era.wait_for(Option::is_some).await;
        let open_window = self.open_window(self.context.now(), CLOCK_MARGIN);
        let era = self.context.first_store_era();
        self.first_era = era.map(|era| FirstEra { era, open_window });
    }

    /// First window whose counts are not complete yet, according to a clock that is `ahead`.
    fn open_window(&self, now: Duration, ahead: Duration) -> WindowIndex {
        let dispatcher = self.context.dispatcher();
        let schedule = dispatcher.peers.report_schedule(&dispatcher.settings.data_centre);
        let unix_time = dispatcher.peers.median_unix_time(now, self.context.unix_time()) + ahead;
        let settled_at = unix_time.saturating_sub(schedule.settling_delay());
        usage::window_at(settled_at, self.window_length)
    }

    /// Next window whose counts have to be recorded in the lease; `None` until they are complete.
    fn due_window(&self, now: Duration) -> Option<(WindowIndex, RequestCounts)> {
        let current = self.open_window(now, Duration::ZERO);
        let settled = self.lease.settled_windows()?;
        let oldest = current.saturating_sub(MAX_LATE_WINDOWS);
        let next = settled.keys().next_back().map_or(oldest, |last| (last + 1).max(oldest));
        (next < current).then(|| (next, self.context.dispatcher().usage.total(next)))
    }

    async fn read_lease(&mut self) {
        let read_at = self.context.now();
        match self.store.list_newest(store::LEASE_TOPIC, CALL_TIMEOUT).await {
            Ok(listing) => {
                let record = listing.records.iter().find(|record| record.key == lease_record::KEY);
                let value = record.and_then(|record| record.value.as_ref());
                match value.map(|value| lease_record::decode(value)).transpose() {
                    Ok(record) => {
                        let era = self.store.era();
                        self.context.on_store_era(era);
                        let read = PartitionContent { era, end: listing.end_offset, record };
                        let open_window = self.open_window(self.context.now(), CLOCK_MARGIN);
                        self.lease.on_read(read_at, read, open_window);
                    }
                    Err(error) => {
                        warn!(self.context.logger, "invalid lease record"; "error" => %error)
                    }
                }
            }
            Err(error) => {
                warn!(self.context.logger, "cannot read the lease"; "error" => %error);
            }
        }
    }

    async fn append_lease(&mut self, at: u64, record: &LeaseRecord) {
        let sent_at = self.context.now();
        let outcome = match lease_record::encode(record) {
            Err(error) => {
                warn!(self.context.logger, "cannot encode the lease"; "error" => %error);
                AppendOutcome::Unknown
            }
            Ok(value) => {
                let topic = store::LEASE_TOPIC;
                let key = lease_record::KEY;
                match self.store.append(topic, key, &value, Some(at), CALL_TIMEOUT).await {
                    Ok(AppendResult::Done(end)) => AppendOutcome::Done(end),
                    Ok(AppendResult::Conflict) => AppendOutcome::Conflict,
                    Err(error) => {
                        warn!(self.context.logger, "lease not written"; "error" => %error,
                            "in_doubt" => error.is_in_doubt());
                        AppendOutcome::Unknown
                    }
                }
            }
        };
        self.lease.on_append_outcome(sent_at, self.store.era(), outcome);
    }

    fn update_lease_state(&mut self) {
        let is_held = self.lease.is_held(self.context.now());
        self.context.holds_lease.store(is_held, Ordering::Relaxed);
        if is_held == self.was_held {
            return;
        }
        self.was_held = is_held;
        self.planner.clear_orders();
        let message = if is_held { "duties taken" } else { "duties lost" };
        info!(self.context.logger, "{}", message; "epoch" => self.lease.epoch());
    }

    async fn order_replicas(&mut self) {
        let Some(epoch) = self.lease.epoch() else { return };
        for order in self.plan() {
            if !self.lease.may_act(self.context.now()) {
                return;
            }
            let holder = LeaseHolder { name: &self.name, epoch };
            let result = self.duty_client.order_replicas(holder, &order, CALL_TIMEOUT).await;
            let outcome = match &result {
                Ok(status) if status.is_success() => OrderOutcome::Accepted,
                Ok(StatusCode::CONFLICT) => OrderOutcome::Refused,
                Ok(_) | Err(_) => OrderOutcome::Unknown,
            };
            let tokens_per_s = self.planner.tokens_per_s_per_replica(&order.group.service);
            info!(self.context.logger, "replicas ordered";
                "service" => &order.group.service,
                "tokens_per_s_per_replica" => tokens_per_s.unwrap_or_default() as u64, "data_centre" => &order.group.data_centre,
                "is_reclaimable" => order.group.is_reclaimable, "replicas" => order.replicas,
                "epoch" => epoch, "answer" => ?result);
            self.planner.on_order_outcome(self.context.now(), &order, outcome);
        }
    }

    fn plan(&mut self) -> Vec<Order> {
        let now = self.context.now();
        let dispatcher = self.context.dispatcher();
        let Some(release) = dispatcher.release().cloned() else { return Vec::new() };
        let schedule = dispatcher.peers.report_schedule(&dispatcher.settings.data_centre);
        let mut orders = Vec::new();
        for (service, scaling) in release
            .services
            .iter()
            .filter_map(|(name, service)| service.scaling.as_ref().map(|scaling| (name, scaling)))
        {
            let input = PlanInput {
                service,
                scaling,
                endpoints: dispatcher.endpoints.of_service(service).collect(),
                arrivals: dispatcher.arrivals(now, service),
                report_interval: schedule.far,
            };
            orders.extend(self.planner.plan(now, &input));
        }
        orders
    }

    async fn report_usage(&mut self) {
        let Some(settled) = self.lease.settled_windows().cloned() else { return };
        let Some(epoch) = self.lease.epoch() else { return };
        for (window, counts) in settled {
            if self.reported.contains(&window) || !self.lease.may_act(self.context.now()) {
                continue;
            }
            if counts.is_empty() || self.report_window(epoch, window, &counts).await {
                self.reported.insert(window);
            }
        }
        while self.reported.len() > 2 * MAX_LATE_WINDOWS as usize {
            self.reported.pop_first();
        }
    }

    async fn report_window(
        &mut self,
        epoch: u64,
        window: WindowIndex,
        counts: &RequestCounts,
    ) -> bool {
        let holder = LeaseHolder { name: &self.name, epoch };
        let result = self.duty_client.report_usage(holder, window, counts, CALL_TIMEOUT).await;
        let logger = &self.context.logger;
        let total: u64 = counts.values().sum();
        match result {
            Ok(StatusCode::OK) => {
                info!(logger, "usage reported"; "window" => window, "requests" => total,
                    "epoch" => epoch);
                true
            }
            Ok(status) => {
                warn!(logger, "usage refused"; "window" => window, "status" => status.as_u16());
                false
            }
            Err(error) => {
                warn!(logger, "usage not reported"; "window" => window, "error" => %error);
                false
            }
        }
    }
}
