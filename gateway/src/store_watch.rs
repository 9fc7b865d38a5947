//! Reads the release and the endpoint entries from the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use forwarding::endpoints::{Change, Entry};
use forwarding::store_role::StoreRole;
use platform::channel::Progress;
use platform::store::{self, Listing, ReadResult, Record, StoreClient, StoreError};
use platform::{config, replicas};
use slog::{info, warn};
use tokio::time;

use crate::context::Context;
use crate::rollouts;

/// Maximum silence of the store during a read; it usually answers within a few milliseconds.
const READ_SILENCE_TIMEOUT: Duration = Duration::from_millis(450);

/// Maximum silence of the store during a listing.
const LISTING_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The read interval is the freshness that other gateways expect, divided by this. A reader that the
/// store answers therefore always counts as fresh, and one that it does not answer is detected in
/// time.
const READ_INTERVAL_DIVISOR: u32 = 2;

/// Interval at which the role of this gateway and the releases of the others are checked. Without
/// faults, a release reaches all gateways within a few milliseconds.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Heartbeat intervals without an answer of the store after which entries may have lapsed.
const LAPSE_HEARTBEATS: u32 = 2;

/// Maximum length of an invalid entry in a log line, in bytes.
const MAX_LOGGED_BYTES: usize = 80;

/// Lists a topic, and repeats this until the store answers.
async fn list_until_answered(
    context: &Context,
    store: &mut StoreClient,
    topic: &str,
    health: &mut StoreHealth,
) -> Listing {
    loop {
        match store.list_newest(topic, LISTING_SILENCE_TIMEOUT).await {
            Ok(listing) => {
                health.on_answer(context, store);
                info!(context.logger, "topic listed"; "topic" => topic, "era" => store.era(),
                    "records" => listing.records.len(), "end_offset" => listing.end_offset);
                return listing;
            }
            Err(error) => {
                health.on_error(context, &error);
                time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Address of the store, and interval between two reads of a topic.
fn address_and_interval(context: &Context) -> (SocketAddr, Duration) {
    let settings = &context.dispatcher().settings;
    (settings.store_address, settings.bounds.freshness() / READ_INTERVAL_DIVISOR)
}

/// Applies releases from the operator's topic as they are written.
pub(crate) async fn follow_release(context: Context) {
    let (address, read_interval) = address_and_interval(&context);
    let mut store = StoreClient::new(address);
    let mut health = StoreHealth::new(Topic::Releases, &context);
    loop {
        let listing = tokio::select! {
            listing = list_until_answered(&context, &mut store, store::OPERATOR_TOPIC, &mut health) => {
                listing
            }
            () = wait_until_release_is_known(&context) => {
                info!(context.logger, "listing of releases is not needed any more");
                store = StoreClient::new(address);
                wait_until_release_is_needed(&context).await;
                continue;
            }
        };
        apply_release_records(&context, &listing.records);
        let listed_era = store.era();
        let mut next_offset = listing.end_offset;
        let position = |offset| rollouts::position(listed_era, offset);
        rollouts::apply_listing(&context, &listing.records, position(next_offset));
        loop {
            if !context.dispatcher().store_role.is_reader() {
                // A newer release is known from the reports of readers. If the readers stop
                // reporting, this gateway becomes a reader.
                tokio::select! {
                    () = wait_for_newer_release(&context) => break,
                    () = wait_for_reader_role(&context) => {}
                }
            }
            let progress = store.progress();
            let topic = store::OPERATOR_TOPIC;
            let read = store.read(topic, next_offset, read_interval, READ_SILENCE_TIMEOUT);
            let read = tokio::select! {
                read = read => read,
                () = wait_for_newer_release_elsewhere(&context, &progress) => {
                    info!(context.logger, "another gateway reports a newer release");
                    store = StoreClient::new(address);
                    break;
                }
            };
            match read {
                // Offsets were given out again, so records may have been skipped.
                Ok(_) if store.era() != listed_era => break,
                Ok(ReadResult::Records { records, next_offset: new_offset }) => {
                    health.on_answer(&context, &store);
                    apply_release_records(&context, &records);
                    next_offset = new_offset;
                    rollouts::apply_records(&context, &records, position(next_offset));
                }
                Ok(ReadResult::Deleted) => break,
                Err(error) => {
                    health.on_error(&context, &error);
                    time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Waits until this gateway is a reader.
async fn wait_for_reader_role(context: &Context) {
    while !context.dispatcher().store_role.is_reader() {
        time::sleep(PEER_POLL_INTERVAL).await;
    }
}

/// Whether another gateway reports a newer release than the one in force here.
fn is_release_behind(context: &Context) -> bool {
    let dispatcher = context.dispatcher();
    dispatcher.peers.newest_release_version() > dispatcher.release_version()
}

/// Waits until another gateway reports a newer release.
async fn wait_for_newer_release(context: &Context) {
    loop {
        time::sleep(PEER_POLL_INTERVAL).await;
        if is_release_behind(context) {
            return;
        }
    }
}

/// Waits until another gateway reports a newer release while the answer to a read makes no progress.
/// An answer that arrives probably holds that release, and would have to be read from the start.
async fn wait_for_newer_release_elsewhere(context: &Context, progress: &Progress) {
    loop {
        let known_bytes = progress.bytes();
        wait_for_newer_release(context).await;
        if progress.bytes() == known_bytes {
            return;
        }
    }
}

/// Waits until this gateway needs no listing: it is no reader, the store answers it, and it has the
/// newest release that any gateway reports.
async fn wait_until_release_is_known(context: &Context) {
    let has_release = || {
        let dispatcher = context.dispatcher();
        let is_listing_needed =
            dispatcher.store_role.is_reader() || dispatcher.store_answer_times.is_failing;
        dispatcher.release_version() > 0 && !is_listing_needed
    };
    while is_release_behind(context) || !has_release() {
        time::sleep(PEER_POLL_INTERVAL).await;
    }
}

/// Waits until this gateway is a reader, or another one reports a newer release.
async fn wait_until_release_is_needed(context: &Context) {
    tokio::select! {
        () = wait_for_newer_release(context) => {}
        () = wait_for_reader_role(context) => {}
    }
}

fn apply_release_records(context: &Context, records: &[Record]) {
    let values = records.iter().filter(|record| record.key == config::KEY);
    for value in values.filter_map(|record| record.value.as_ref()) {
        apply_release_record(context, value);
    }
}

/// Applies a release as encoded in the store, if it is newer than the one in force.
pub(crate) fn apply_release_record(context: &Context, record: &[u8]) {
    let release = match config::decode(record) {
        Ok(release) => release,
        Err(error) => {
            warn!(context.logger, "invalid release"; "error" => %error);
            return;
        }
    };
    let (version, routes) = (release.version, release.routes.len());
    if context.dispatcher().on_release(release) {
        context.set_release_record(Bytes::copy_from_slice(record));
        info!(context.logger, "release in force"; "version" => version, "routes" => routes);
    }
}

/// Applies endpoint entries from the replicas' topic while this gateway is a reader.
pub(crate) async fn follow_endpoints(context: Context) {
    let (address, read_interval) = address_and_interval(&context);
    let mut store = StoreClient::new(address);
    let mut health = StoreHealth::new(Topic::Entries, &context);
    loop {
        let listing =
            list_until_answered(&context, &mut store, store::REPLICAS_TOPIC, &mut health).await;
        apply_listing(&context, &listing);
        let listed_era = store.era();
        let mut next_offset = listing.end_offset;
        loop {
            if !update_store_role(&context).is_reader() {
                wait_until_read_is_due(&context).await;
                health = StoreHealth::new(Topic::Entries, &context);
                break;
            }
            match store
                .read(store::REPLICAS_TOPIC, next_offset, Duration::ZERO, READ_SILENCE_TIMEOUT)
                .await
            {
                // Offsets were given out again, so records may have been skipped.
                Ok(_) if store.era() != listed_era => break,
                Ok(ReadResult::Records { records, next_offset: new_offset }) => {
                    health.on_answer(&context, &store);
                    apply_entries(&context, &records);
                    next_offset = new_offset;
                    time::sleep(read_interval).await;
                }
                Ok(ReadResult::Deleted) => break,
                Err(error) => {
                    health.on_error(&context, &error);
                    time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}

fn update_store_role(context: &Context) -> StoreRole {
    let now = context.now();
    let mut dispatcher = context.dispatcher();
    let was_reader = dispatcher.store_role.is_reader();
    let role = dispatcher.update_store_role(now);
    let freshness = dispatcher.settings.bounds.freshness();
    let readers = dispatcher.peers.fresh_readers(now, freshness);
    drop(dispatcher);
    if role.is_reader() != was_reader {
        info!(context.logger, "store role changed";
            "is_reader" => role.is_reader(), "other_fresh_readers" => readers);
    }
    role
}

/// Waits until this gateway is a reader, or has to list the entries once. Meanwhile, removes
/// endpoints whose entries lapsed.
async fn wait_until_read_is_due(context: &Context) {
    loop {
        time::sleep(PEER_POLL_INTERVAL).await;
        let must_list = context.dispatcher().store_role.must_list_all(context.now());
        if update_store_role(context).is_reader() || must_list {
            return;
        }
        let lapsed = context.dispatcher().endpoints.tick(context.now());
        for id in lapsed {
            log_change(context, &id, Change::Gone);
        }
    }
}

fn apply_listing(context: &Context, listing: &Listing) {
    let now = context.now();
    let mut entries: Vec<Entry> = Vec::new();
    for record in &listing.records {
        match decode_entry(context, record) {
            Some(entry) => entries.push(entry),
            None => apply_unreadable(context, now, &record.key),
        }
    }
    let changes = context.dispatcher().endpoints.on_snapshot(now, entries);
    for (id, change) in changes {
        log_change(context, &id, change);
    }
}

fn apply_unreadable(context: &Context, now: Duration, id: &str) {
    let change = context.dispatcher().endpoints.on_unreadable_entry(now, id);
    log_change(context, id, change);
}

fn apply_entries(context: &Context, records: &[Record]) {
    let now = context.now();
    for record in records {
        let change = match &record.value {
            None => context.dispatcher().endpoints.on_removed(now, &record.key),
            Some(_) => match decode_entry(context, record) {
                Some(entry) => context.dispatcher().endpoints.on_entry(now, entry),
                None => context.dispatcher().endpoints.on_unreadable_entry(now, &record.key),
            },
        };
        log_change(context, &record.key, change);
    }
    let lapsed = context.dispatcher().endpoints.tick(now);
    for id in lapsed {
        log_change(context, &id, Change::Gone);
    }
}

fn decode_entry(context: &Context, record: &Record) -> Option<Entry> {
    let value = record.value.as_ref()?;
    match replicas::decode(&record.key, value) {
        Ok(entry) => Some(entry),
        Err(error) => {
            let logged_text = String::from_utf8_lossy(&value[..value.len().min(MAX_LOGGED_BYTES)]);
            warn!(context.logger, "invalid endpoint entry";
                "endpoint" => &record.key, "error" => %error, "entry" => %logged_text);
            None
        }
    }
}

fn log_change(context: &Context, id: &str, change: Change) {
    if change == Change::None {
        return;
    }
    let description = context.dispatcher().endpoints.get(id).map(|endpoint| {
        let entry = &endpoint.entry;
        format!("{} {} {}", entry.service, entry.data_centre, entry.address)
    });
    info!(context.logger, "endpoint changed"; "endpoint" => id, "change" => ?change,
        "entry" => description);
}

/// Kind of records that a task reads; logged by name.
#[derive(Debug, Clone, Copy)]
enum Topic {
    Releases,
    Entries,
}

/// Whether the store answers the reads of one task.
struct StoreHealth {
    topic: Topic,
    unavailable_since: Option<Duration>,
    lapse_after: Duration,
}

impl StoreHealth {
    fn new(topic: Topic, context: &Context) -> StoreHealth {
        let lapse_after = context.dispatcher().settings.heartbeat_interval * LAPSE_HEARTBEATS;
        StoreHealth { topic, unavailable_since: None, lapse_after }
    }

    fn on_answer(&mut self, context: &Context, store: &StoreClient) {
        context.on_store_era(store.era());
        let now = context.now();
        {
            let answer_times = &mut context.dispatcher().store_answer_times;
            match self.topic {
                Topic::Releases => answer_times.releases_at = Some(now),
                Topic::Entries => answer_times.entries_at = Some(now),
            }
            answer_times.is_failing = false;
        }
        let Some(unavailable_since) = self.unavailable_since.take() else { return };
        let unavailable_for = now.saturating_sub(unavailable_since);
        let may_have_lapsed = unavailable_for > self.lapse_after;
        if may_have_lapsed {
            let endpoints = &mut context.dispatcher().endpoints;
            endpoints.on_store_unavailable();
            endpoints.on_store_available(now);
        }
        info!(context.logger, "store answers again"; "topic" => ?self.topic,
            "lost_ms" => unavailable_for.as_millis() as u64, "entries_may_have_lapsed" => may_have_lapsed);
    }

    fn on_error(&mut self, context: &Context, error: &StoreError) {
        metrics::counter!("gateway_store_failures_total").increment(1);
        context.dispatcher().store_answer_times.is_failing = true;
        if self.unavailable_since.is_none() {
            warn!(context.logger, "store lost"; "topic" => ?self.topic, "error" => %error);
            self.unavailable_since = Some(context.now());
        }
    }
}
