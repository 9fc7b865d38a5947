//! The platform's thread: accesses the log and polls the instance list and reclaim notices.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::Full;
use rhubarbrock::{event, id};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::{http_client, ring};

/// Time limit for connecting to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time limit of a call, in addition to the wait of a long poll.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time for which the platform holds a read of the log or of notices that has no new entry.
const LONG_POLL_WAIT: Duration = Duration::from_millis(5_000);

/// Time between reads of the instance list.
const INSTANCE_LIST_INTERVAL: Duration = Duration::from_millis(1_000);

/// Delay before a failed read is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Maximum number of records in one read.
const MAX_PAGE_RECORDS: u32 = 500;

/// Maximum size of an answer of the platform, in bytes.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// Command of the decision thread to the platform's thread.
#[derive(Debug)]
pub enum Command {
    /// Append a record to a topic of the log.
    Append {
        /// Id that the result event repeats.
        append: event::AppendId,
        /// Topic to append to.
        topic: event::Topic,
        /// Content of the record.
        record: Vec<u8>,
    },
    /// Read a topic, starting at an offset; replaces the current read position.
    ReadFrom {
        /// Topic to read.
        topic: event::Topic,
        /// Offset of the first record to read.
        offset: id::Offset,
    },
}

/// Client of the platform.
#[derive(Clone)]
pub struct Platform {
    /// Base URL of the platform, without a trailing slash.
    pub url: String,
    /// Event ring of the decision thread.
    pub events: ring::Sender<event::Event>,
    client: http_client::HttpClient,
}

#[derive(Serialize)]
struct AppendBody {
    records: Vec<String>,
}

#[derive(Deserialize)]
struct AppendAnswer {
    first_offset: id::Offset,
}

#[derive(Deserialize)]
struct ReadAnswer {
    records: Vec<ReadRecord>,
    next: id::Offset,
    oldest: id::Offset,
    end: id::Offset,
}

#[derive(Deserialize)]
struct ReadRecord {
    offset: id::Offset,
    #[serde(default)]
    time_ms: u64,
    data: String,
}

#[derive(Deserialize)]
struct ListAnswer {
    taken_at_ms: u64,
    instances: Vec<ListInstance>,
}

#[derive(Deserialize)]
struct ListInstance {
    id: id::InstanceId,
    kind: String,
    data_centre: String,
    #[serde(default)]
    class: String,
    #[serde(default)]
    market: String,
    state: String,
    #[serde(default)]
    service: String,
    address: String,
    #[serde(default)]
    peer_address: String,
}

#[derive(Deserialize)]
struct NoticesAnswer {
    notices: Vec<NoticeEntry>,
    next: u64,
}

#[derive(Deserialize)]
struct NoticeEntry {
    instance: id::InstanceId,
    leave_at_ms: u64,
}

/// Start offset of each topic; a change makes its reader start again there.
struct ReadPositions {
    by_topic: [(event::Topic, watch::Sender<Option<id::Offset>>); 3],
}

impl Platform {
    /// A platform at this base URL.
    pub fn new(url: &str, events: ring::Sender<event::Event>) -> Platform {
        Platform { url: url.to_owned(), events, client: http_client::new(CONNECT_TIMEOUT) }
    }

    /// Polls the platform and executes commands until the decision thread ends.
    pub async fn run(self, mut commands: ring::TaskReceiver<Command>) {
        let topics = [event::Topic::Release, event::Topic::Claims, event::Topic::Leases];
        let positions =
            ReadPositions { by_topic: topics.map(|topic| (topic, watch::Sender::new(None))) };
        for (topic, position) in &positions.by_topic {
            tokio::spawn(self.clone().read_topic(*topic, position.subscribe()));
        }
        tokio::spawn(self.clone().poll_instances());
        tokio::spawn(self.clone().poll_notices());
        while let Some(command) = commands.recv().await {
            match command {
                Command::Append { append, topic, record } => {
                    tokio::spawn(self.clone().append(append, topic, record));
                }
                Command::ReadFrom { topic, offset } => positions.set(topic, offset),
            }
        }
    }

    async fn append(self, append: event::AppendId, topic: event::Topic, record: Vec<u8>) {
        let body = AppendBody { records: vec![STANDARD.encode(record)] };
        let bytes = serde_json::to_vec(&body).unwrap_or_default();
        let request = http::Request::post(format!("{}/log/{topic}/records", self.url))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(bytes)));
        let outcome = match request {
            Ok(request) => self.send_append(request).await,
            Err(_) => event::AppendOutcome::Failed,
        };
        self.send_event(event::PlatformEvent::Appended { append, outcome }).await;
    }

    async fn send_append(&self, request: http::Request<Full<Bytes>>) -> event::AppendOutcome {
        let called = http_client::call(&self.client, request, CALL_TIMEOUT, MAX_ANSWER_BYTES).await;
        match called {
            Ok(answer) if answer.status.is_success() => {
                match serde_json::from_slice::<AppendAnswer>(&answer.body) {
                    Ok(answer) => event::AppendOutcome::At(answer.first_offset),
                    Err(_) => event::AppendOutcome::Unknown,
                }
            }
            // A 4xx status (rate limit or invalid request) means that nothing was appended.
            Ok(answer) if answer.status.is_client_error() => event::AppendOutcome::Failed,
            Ok(_) => event::AppendOutcome::Unknown,
            Err(http_client::CallError::NotSent { .. }) => event::AppendOutcome::Failed,
            Err(http_client::CallError::Unknown { .. }) => event::AppendOutcome::Unknown,
        }
    }

    async fn read_topic(
        self,
        topic: event::Topic,
        mut position: watch::Receiver<Option<id::Offset>>,
    ) {
        let mut next: Option<id::Offset> = None;
        // The first read does not wait for a record, as its answer has the end offset of the topic.
        let mut wait = Duration::ZERO;
        loop {
            if position.has_changed().unwrap_or(false) || next.is_none() {
                if next.is_none() && position.wait_for(Option::is_some).await.is_err() {
                    return;
                }
                next = *position.borrow_and_update();
            }
            let Some(from) = next else { continue };
            let url = format!(
                "{}/log/{topic}/records?from={from}&max={MAX_PAGE_RECORDS}&wait_ms={}",
                self.url,
                wait.as_millis()
            );
            let read = tokio::select! {
                read = self.get_json::<ReadAnswer>(&url) => read,
                _ = position.changed() => {
                    position.mark_changed();
                    continue;
                }
            };
            match read {
                Some(answer) => {
                    wait = LONG_POLL_WAIT;
                    next = Some(answer.next.max(answer.oldest));
                    let page = to_record_page(topic, answer);
                    self.send_event(event::PlatformEvent::Records(page)).await;
                }
                None => {
                    self.send_event(event::PlatformEvent::ReadFailed { topic }).await;
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn poll_instances(self) {
        let url = format!("{}/instances", self.url);
        loop {
            let event = match self.get_json::<ListAnswer>(&url).await {
                Some(answer) => event::PlatformEvent::Instances(to_instance_list(answer)),
                None => event::PlatformEvent::InstancesFailed,
            };
            self.send_event(event).await;
            tokio::time::sleep(INSTANCE_LIST_INTERVAL).await;
        }
    }

    async fn poll_notices(self) {
        let mut after = 0;
        loop {
            let url = format!(
                "{}/cloud/notices?after={after}&wait_ms={}",
                self.url,
                LONG_POLL_WAIT.as_millis()
            );
            match self.get_json::<NoticesAnswer>(&url).await {
                Some(answer) => {
                    after = answer.next;
                    if !answer.notices.is_empty() {
                        let notices = answer.notices.iter().map(to_notice).collect();
                        self.send_event(event::PlatformEvent::Notices(notices)).await;
                    }
                }
                None => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Returns the JSON of a successful answer or of a 410, which has the oldest offset kept.
    async fn get_json<T: DeserializeOwned>(&self, url: &str) -> Option<T> {
        let request = http::Request::get(url).body(Full::new(Bytes::new())).ok()?;
        let timeout = LONG_POLL_WAIT + CALL_TIMEOUT;
        let answer =
            http_client::call(&self.client, request, timeout, MAX_ANSWER_BYTES).await.ok()?;
        if !answer.status.is_success() && answer.status != http::StatusCode::GONE {
            return None;
        }
        serde_json::from_slice(&answer.body).ok()
    }

    async fn send_event(&self, event: event::PlatformEvent) {
        self.events.send(event::Event::Platform(event)).await;
    }
}

impl ReadPositions {
    fn set(&self, topic: event::Topic, offset: id::Offset) {
        for (known, position) in &self.by_topic {
            if *known == topic {
                position.send_replace(Some(offset));
            }
        }
    }
}

fn to_record_page(topic: event::Topic, answer: ReadAnswer) -> event::RecordPage {
    let records = answer
        .records
        .into_iter()
        .map(|record| event::Record {
            offset: record.offset,
            time: Duration::from_millis(record.time_ms),
            // Invalid base64 becomes an empty record, which is handled like any malformed record.
            data: STANDARD.decode(record.data).unwrap_or_default(),
        })
        .collect();
    event::RecordPage {
        topic,
        records,
        next_offset: answer.next.max(answer.oldest),
        oldest_offset: answer.oldest,
        end_offset: answer.end,
    }
}

fn to_instance_list(answer: ListAnswer) -> event::InstanceList {
    let taken_at = Duration::from_millis(answer.taken_at_ms);
    let instances = answer.instances.iter().filter_map(parse_or_count).collect();
    event::InstanceList { taken_at, instances }
}

/// Parses an entry of the instance list; counts the entry if it is invalid.
fn parse_or_count(entry: &ListInstance) -> Option<event::Instance> {
    let parsed = parse_instance(entry);
    if parsed.is_none() {
        metrics::counter!("rhubarbrock_list_entries_refused_total").increment(1);
    }
    parsed
}

fn parse_instance(entry: &ListInstance) -> Option<event::Instance> {
    let kind = match entry.kind.as_str() {
        "entry" => event::InstanceKind::Entry,
        "endpoint" | "desk" => event::InstanceKind::Endpoint,
        _ => return None,
    };
    let state = match entry.state.as_str() {
        "starting" => event::InstanceState::Starting,
        "live" => event::InstanceState::Live,
        "leaving" => event::InstanceState::Leaving,
        "gone" => event::InstanceState::Gone,
        _ => return None,
    };
    let market = match entry.market.as_str() {
        "reclaimable" => event::Market::Reclaimable,
        _ => event::Market::OnDemand,
    };
    let address: SocketAddr = entry.address.parse().ok()?;
    Some(event::Instance {
        id: entry.id,
        kind,
        data_centre: entry.data_centre.clone(),
        class: entry.class.clone(),
        market,
        state,
        service: entry.service.clone(),
        address,
        peer_address: entry.peer_address.parse().ok(),
    })
}

fn to_notice(entry: &NoticeEntry) -> event::Notice {
    event::Notice { instance: entry.instance, leave_at: Duration::from_millis(entry.leave_at_ms) }
}
