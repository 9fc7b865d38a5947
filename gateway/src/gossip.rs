//! Contents of the reports that gateways exchange as datagrams, and their application.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use forwarding::dispatcher::Dispatcher;
use forwarding::endpoints::{Change, Endpoint, EndpointId, EndpointTable, Entry};
use forwarding::prompt_speed::PromptSamples;
use forwarding::prompt_suspects::PartHash;
use forwarding::residency::Held;
use platform::store::{self, StoreClient};
use prost::Message;
use rhubarbrock_schema::gossip;
use slog::{info, warn};
use tokio::net::UdpSocket;
use tokio::time;

use crate::context::Context;
use crate::reporter::{self, Reporter};

/// Interval at which the reports of the other gateways are applied, as a fraction of the interval
/// of reports to the lease holder, which grows with the fleet like the cost of applying them.
const APPLY_INTERVAL_SHARE: f64 = 0.34;

/// Minimum interval at which the reports of the other gateways are applied.
const MIN_APPLY_INTERVAL: Duration = Duration::from_millis(150);

/// Time for which an endpoint is reported after it joined.
const JOINED_REPORT_TIME: Duration = Duration::from_secs(3);

/// Maximum number of joined endpoints in a report, about seventy bytes each.
const MAX_JOINED_ENDPOINTS: usize = 12;

/// Size of the receive buffer, in bytes; longer datagrams are truncated.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Number of usage windows in a report before the latest one.
const REPORTED_PAST_WINDOWS: u64 = 3;

/// Maximum number of usage rows in a report, which limits it to a few kilobytes.
const MAX_USAGE_ROWS: usize = 200;

/// Time for which a departure is reported. It spans several reports, as datagrams may be lost.
const DEPARTURE_REPORT_TIME: Duration = Duration::from_millis(2_500);

/// Maximum number of departures in a report, about twenty bytes each.
const MAX_DEPARTURES: usize = 32;

/// Intervals between reports to other data centres for which a change of held parts is reported, as
/// datagrams may be lost.
const HELD_REPORT_INTERVALS: u32 = 3;

/// Number of held parts of each endpoint that a report tells beside the changes, ten bytes each.
const HELD_SLICE_PARTS: usize = 24;

/// Maximum number of changes of held parts in a report, ten bytes each.
const MAX_HELD_CHANGES: usize = 160;

/// Timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Minimum interval at which the gateways are listed again, to find those that a network partition
/// hid.
const MIN_MEMBERS_INTERVAL: Duration = Duration::from_secs(20);

/// Interval of listings per known gateway, as both their number and their length grow with it.
const MEMBERS_INTERVAL_PER_PEER: Duration = Duration::from_millis(400);

/// Delay per rank before a gateway registers again, so that a large fleet does not do so at once.
const REGISTRATION_DELAY: Duration = Duration::from_millis(5);

/// Delay after a failed call to the store.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Sends reports to all known gateways and applies those received.
pub(crate) async fn run(context: Context, socket: UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut reporter = Reporter::default();
    let mut send_at = time::Instant::now();
    let mut apply_at = send_at;
    let mut refused_parts = BTreeSet::new();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((bytes, from)) => on_datagram(&context, from, &buffer[..bytes]),
                Err(error) => warn!(context.logger, "cannot receive reports"; "error" => %error),
            },
            () = time::sleep_until(send_at) => {
                let wait = reporter.send_due(&context, &socket).await;
                send_at = time::Instant::now() + wait;
            }
            () = time::sleep_until(apply_at) => {
                context.dispatcher().on_peer_reports(context.now());
                let clump_requests = context.dispatcher().accounts.clump_requests();
                metrics::counter!("gateway_quota_clump_requests").absolute(clump_requests);
                log_refused_parts(&context, &mut refused_parts);
                remove_expired_connections(&context);
                let interval = reporter::schedule(&context.dispatcher()).duties.mul_f64(APPLY_INTERVAL_SHARE);
                apply_at = time::Instant::now() + interval.max(MIN_APPLY_INTERVAL);
            }
        }
    }
}

/// Logs which parts of prompts are refused from now on, and which no longer.
fn log_refused_parts(context: &Context, known: &mut BTreeSet<PartHash>) {
    let refused = context.dispatcher().prompt_suspects.refused_parts(context.now());
    metrics::gauge!("gateway_refused_prompt_parts").set(refused.len() as f64);
    for part in refused.difference(known) {
        warn!(context.logger, "prompt part refused"; "part" => format!("{part:016x}"));
    }
    for part in known.difference(&refused) {
        info!(context.logger, "prompt part admitted again"; "part" => format!("{part:016x}"));
    }
    *known = refused;
}

fn remove_expired_connections(context: &Context) {
    for id in context.pool.remove_expired() {
        let is_known = {
            let mut dispatcher = context.dispatcher();
            dispatcher.on_stray_bytes(context.now(), &id);
            dispatcher.endpoints.get(&id).is_some()
        };
        if is_known {
            warn!(context.logger, "endpoint sent bytes outside an answer"; "endpoint" => id);
        }
    }
}

fn on_datagram(context: &Context, from: SocketAddr, datagram: &[u8]) {
    let mut report = match gossip::Report::decode(datagram) {
        Ok(report) => report,
        Err(error) => {
            warn!(context.logger, "invalid report"; "from" => %from, "error" => %error);
            return;
        }
    };
    let (now, unix_time) = (context.now(), context.unix_time());
    let mut dispatcher = context.dispatcher();
    let sender = (report.name.clone(), report.incarnation);
    let own = (dispatcher.settings.name.clone(), context.incarnation);
    for usage in &report.usage {
        let departed = (usage.source.clone(), usage.source_incarnation);
        let source = if usage.source.is_empty() { &sender } else { &departed };
        if *source != own {
            dispatcher.usage.on_report(source, usage.window, &usage.organisation, usage.requests);
        }
    }
    let mut departed = Vec::new();
    for departure in &report.departures {
        let endpoints = &mut dispatcher.endpoints;
        let (id, born_ms) = (&departure.endpoint, departure.born_ms);
        let change = match departure.missing_after {
            Some(sequence) => endpoints.on_peer_missing(now, id, born_ms, sequence),
            None => endpoints.on_peer_departure(now, id, born_ms),
        };
        if change != Change::None {
            departed.push((id.clone(), change));
        }
    }
    dispatcher.rollouts.on_report(now, &report.rollouts);
    let (name, joined) = (report.name.clone(), report.joined.clone());
    let held_parts = std::mem::take(&mut report.held_parts);
    if dispatcher.peers.on_report(now, unix_time, from, report) {
        apply_held_parts(&mut dispatcher, now, &held_parts);
    }
    drop(dispatcher);
    for row in &joined {
        apply_joined(context, row, &name, EndpointTable::on_reported_entry);
    }
    for (id, change) in departed {
        info!(context.logger, "endpoint leaving according to another gateway";
            "endpoint" => id, "change" => ?change, "source" => &name);
    }
}

/// Adds an endpoint that another gateway reported; `apply` adds the entry to the table. `source` is
/// the name or address of that gateway.
pub(crate) fn apply_joined(
    context: &Context,
    row: &gossip::Joined,
    source: &str,
    apply: impl FnOnce(&mut EndpointTable, Duration, Entry) -> Change,
) {
    let Some(entry) = decode_joined(row) else {
        warn!(context.logger, "invalid endpoint address in report"; "endpoint" => &row.endpoint,
            "source" => source, "address" => &row.address);
        return;
    };
    if apply(&mut context.dispatcher().endpoints, context.now(), entry) == Change::Joined {
        info!(context.logger, "endpoint joined according to another gateway";
            "endpoint" => &row.endpoint, "source" => source);
    }
}

pub(crate) fn report(context: &Context, sequence: u64) -> gossip::Report {
    let now = context.now();
    let unix_time = context.unix_time();
    let dispatcher = context.dispatcher();
    let loads = dispatcher.endpoints.iter().filter(|endpoint| endpoint.own_load.requests > 0);
    let loads = loads.map(|endpoint| gossip::EndpointLoad {
        endpoint: endpoint.entry.id.clone(),
        requests: endpoint.own_load.requests,
        waiting_tokens: endpoint.own_load.waiting_tokens,
    });
    let demands =
        dispatcher.accounts.demands().map(|(organisation, units_per_s, spent)| gossip::Demand {
            organisation: organisation.to_owned(),
            units_per_s: units_per_s as u64,
            spent_units: spent as u64,
        });
    let departures = departures(&dispatcher, now);
    let standings =
        dispatcher.accounts.standings(now).filter(|_| dispatcher.peers.has_newcomer(now));
    let standings = standings.map(|(organisation, standing)| gossip::QuotaStanding {
        organisation: organisation.to_owned(),
        balance_units: standing.balance_units as i64,
        window_units: standing.window_units as u64,
    });
    let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u32;
    let suspects = dispatcher.suspects.to_report().into_iter().map(|(fingerprint, seen)| {
        let breaks = seen.breaks.iter();
        let breaks = breaks.map(|&(endpoint, at)| gossip::Break { endpoint, age_ms: age_ms(at) });
        let finished_age_ms = seen.finished_at.map(age_ms);
        let refused_age_ms = dispatcher.suspects.refused_at(fingerprint).map(age_ms);
        gossip::Suspect { fingerprint, breaks: breaks.collect(), finished_age_ms, refused_age_ms }
    });
    let suspects = suspects.collect();
    let prompt_suspects = dispatcher.prompt_suspects.to_report().into_iter().map(|(part, seen)| {
        let breaks = seen.breaks.iter().map(|each| gossip::PartBreak {
            endpoint: each.endpoint,
            request: each.request,
            age_ms: age_ms(each.at),
        });
        let finished_age_ms = seen.finished_at.map(age_ms);
        let is_refused = seen.is_refused;
        let refused_age_ms = dispatcher.prompt_suspects.refused_at(part).map(age_ms);
        gossip::PromptSuspect {
            part,
            breaks: breaks.collect(),
            finished_age_ms,
            is_refused,
            refused_age_ms,
        }
    });
    let prompt_suspects = prompt_suspects.collect();
    let held_parts = held_parts(&dispatcher, now, sequence);
    let is_reader = dispatcher.store_role.is_reader();
    let store_age = dispatcher.store_answer_times.age(now);
    gossip::Report {
        name: dispatcher.settings.name.clone(),
        incarnation: context.incarnation,
        sequence,
        wall_ms: unix_time.as_millis() as u64,
        release_version: dispatcher.release_version(),
        holds_lease: context.holds_lease.load(Ordering::Relaxed),
        loads: loads.collect(),
        demands: demands.collect(),
        usage: Vec::new(),
        departures: rotate(departures, MAX_DEPARTURES, sequence),
        arrivals: arrivals(&dispatcher, now),
        reads_entries: is_reader,
        joined: if is_reader { joined(&dispatcher, now, sequence) } else { Vec::new() },
        endpoints_hash: dispatcher.endpoints.hash(),
        store_age_ms: store_age.map_or(u32::MAX, |age| age.as_millis() as u32),
        suspects,
        prompt_suspects,
        held_parts,
        standings: standings.collect(),
        interval_ms: 0,
        data_centre: dispatcher.settings.data_centre.clone(),
        is_brief: false,
        first_store_era: context.first_store_era(),
        rollouts: dispatcher.rollouts.to_report(now),
    }
}

/// Parts held by the endpoints that this gateway listens to: the latest changes, and some of the
/// others in turn.
fn held_parts(dispatcher: &Dispatcher, now: Duration, sequence: u64) -> Vec<gossip::HeldParts> {
    let residency = &dispatcher.residency;
    let window = reporter::schedule(dispatcher).far * HELD_REPORT_INTERVALS;
    let mut rows: BTreeMap<&EndpointId, gossip::HeldParts> = BTreeMap::new();
    for (endpoint, epoch) in residency.listened(now) {
        let slice = residency.slice(endpoint, sequence, HELD_SLICE_PARTS);
        let row = gossip::HeldParts {
            endpoint: endpoint.clone(),
            epoch,
            parts: slice.iter().map(|held| held.part).collect(),
            tokens: slice.iter().map(|held| held.tokens).collect(),
        };
        rows.insert(endpoint, row);
    }
    let changes = residency.recent_changes(now, window);
    for change in rotate(changes, MAX_HELD_CHANGES, sequence) {
        if let Some(row) = rows.get_mut(&change.endpoint)
            && row.epoch == change.epoch
        {
            row.parts.push(change.held.part);
            row.tokens.push(change.held.tokens);
        }
    }
    rows.into_values().collect()
}

fn apply_held_parts(dispatcher: &mut Dispatcher, now: Duration, rows: &[gossip::HeldParts]) {
    for row in rows {
        let changes = row.parts.iter().zip(&row.tokens);
        let changes = changes.map(|(&part, &tokens)| Held { part, tokens });
        let changes: Vec<Held> = changes.collect();
        dispatcher.residency.on_reported(now, &row.endpoint, row.epoch, &changes);
    }
}

/// Usage rows of this gateway, and of gateways that are no longer live.
pub(crate) fn usage(dispatcher: &Dispatcher, now: Duration) -> Vec<gossip::Usage> {
    let own = dispatcher.usage.own();
    let latest = own.keys().next_back().copied().unwrap_or_default();
    let oldest = latest.saturating_sub(REPORTED_PAST_WINDOWS);
    let live = dispatcher.peers.live_sources(now);
    let sender_source = (String::new(), 0);
    let own_counts = own.range(oldest..).map(|(&window, counts)| (&sender_source, window, counts));
    let all_counts = own_counts.chain(dispatcher.usage.departed_counts(&live, oldest));
    let rows = all_counts.flat_map(|(source, window, counts)| {
        counts.iter().map(move |(organisation, &requests)| gossip::Usage {
            window,
            organisation: organisation.clone(),
            requests,
            source: source.0.clone(),
            source_incarnation: source.1,
        })
    });
    rows.take(MAX_USAGE_ROWS).collect()
}

/// Selects at most `count` of `rows`. Consecutive reports select consecutive rows, so that all rows
/// are reported in turn.
fn rotate<T>(mut rows: Vec<T>, count: usize, sequence: u64) -> Vec<T> {
    if rows.len() > count {
        let first = (sequence as usize).wrapping_mul(count) % rows.len();
        rows.rotate_left(first);
        rows.truncate(count);
    }
    rows
}

/// Endpoints that recently left, and those whose entries were recently found missing.
fn departures(dispatcher: &Dispatcher, now: Duration) -> Vec<gossip::Departure> {
    let endpoints = &dispatcher.endpoints;
    let left = endpoints.recent_departures(now, DEPARTURE_REPORT_TIME).into_iter();
    let left = left.map(|(endpoint, born_ms)| gossip::Departure {
        endpoint,
        born_ms,
        missing_after: None,
    });
    let missing = endpoints.recently_missing(now, DEPARTURE_REPORT_TIME).into_iter();
    let missing = missing.map(|(endpoint, born_ms, sequence)| gossip::Departure {
        endpoint,
        born_ms,
        missing_after: Some(sequence),
    });
    left.chain(missing).collect()
}

/// Endpoints that joined recently.
fn joined(dispatcher: &Dispatcher, now: Duration, sequence: u64) -> Vec<gossip::Joined> {
    let endpoints = dispatcher.endpoints.recently_joined(now, JOINED_REPORT_TIME);
    let rows = rotate(endpoints, MAX_JOINED_ENDPOINTS, sequence).into_iter();
    rows.map(encode_joined).collect()
}

/// Encodes an endpoint for reports and handovers.
pub(crate) fn encode_joined(endpoint: &Endpoint) -> gossip::Joined {
    let entry = &endpoint.entry;
    gossip::Joined {
        endpoint: entry.id.clone(),
        service: entry.service.clone(),
        address: entry.address.to_string(),
        data_centre: entry.data_centre.clone(),
        version: entry.version.clone(),
        capacity: entry.capacity,
        is_reclaimable: entry.is_reclaimable,
        warm_up_ms: u64::try_from(entry.warm_up.as_millis()).unwrap_or(u64::MAX),
        born_ms: entry.process_start_ms,
        sequence: entry.sequence,
    }
}

fn decode_joined(row: &gossip::Joined) -> Option<Entry> {
    Some(Entry {
        id: row.endpoint.clone(),
        service: row.service.clone(),
        address: row.address.parse().ok()?,
        data_centre: row.data_centre.clone(),
        version: row.version.clone(),
        capacity: row.capacity,
        is_leaving: false,
        is_reclaimable: row.is_reclaimable,
        warm_up: Duration::from_millis(row.warm_up_ms),
        process_start_ms: row.born_ms,
        sequence: row.sequence,
    })
}

fn arrivals(dispatcher: &Dispatcher, now: Duration) -> Vec<gossip::Arrivals> {
    let services = dispatcher.arrival_meter.services().map(|service| {
        let rates = dispatcher.arrival_meter.rates(now, service);
        gossip::Arrivals {
            service: service.to_owned(),
            tokens_per_s: rates.tokens_per_s as u64,
            first_events_milli_per_s: (rates.first_events_per_s * 1_000.0) as u64,
            late_milli_per_s: (rates.late_first_events_per_s * 1_000.0) as u64,
            generating_milli: (rates.generating_requests * 1_000.0) as u64,
            prompt_samples: Some(encode_samples(rates.prompt_samples)),
        }
    });
    services.collect()
}

fn encode_samples(samples: PromptSamples) -> gossip::PromptSamples {
    gossip::PromptSamples {
        count: samples.count,
        tokens: samples.tokens,
        latency_s: samples.latency_s,
        squared_tokens: samples.squared_tokens,
        squared_latency_s2: samples.squared_latency_s2,
        tokens_latency_s: samples.tokens_latency_s,
    }
}

/// Registers this gateway in the store and lists the others from there: now, at an interval, and
/// after the store was restored, which may have lost the registration.
pub(crate) async fn join(context: Context, own: SocketAddr) {
    let (address, name) = {
        let settings = &context.dispatcher().settings;
        (settings.store_address, settings.name.clone())
    };
    let mut store = StoreClient::new(address);
    let mut registered_era = None;
    let mut store_era = context.store_era();
    loop {
        if registered_era.is_none() || registered_era < *store_era.borrow_and_update() {
            let value = own.to_string();
            let written =
                store.append(store::MEMBERS_TOPIC, &name, value.as_bytes(), None, CALL_TIMEOUT);
            match written.await {
                Ok(_) => {
                    registered_era = Some(store.era());
                    context.on_store_era(store.era());
                }
                Err(error) => {
                    warn!(context.logger, "cannot register with the other gateways"; "error" => %error);
                    time::sleep(STORE_RETRY_DELAY).await;
                    continue;
                }
            }
        }
        let interval = match store.list_newest(store::MEMBERS_TOPIC, CALL_TIMEOUT).await {
            Ok(listing) => {
                context.on_store_era(store.era());
                let now = context.now();
                let members = listing.records.iter().filter_map(|record| {
                    std::str::from_utf8(record.value.as_ref()?).ok()?.parse().ok()
                });
                let others: Vec<SocketAddr> = members.filter(|&member| member != own).collect();
                info!(context.logger, "gateways listed"; "others" => others.len());
                let interval = MEMBERS_INTERVAL_PER_PEER * others.len() as u32;
                for member in others {
                    context.dispatcher().peers.add_address(now, member);
                }
                interval.max(MIN_MEMBERS_INTERVAL)
            }
            Err(error) => {
                warn!(context.logger, "cannot list the other gateways"; "error" => %error);
                STORE_RETRY_DELAY
            }
        };
        if registered_era < *store_era.borrow_and_update() {
            continue;
        }
        tokio::select! {
            () = time::sleep(interval) => {}
            _ = store_era.changed() => {
                let rank = context.dispatcher().peers.name_rank(context.now(), &name);
                time::sleep(REGISTRATION_DELAY * rank).await;
            }
        }
    }
}
