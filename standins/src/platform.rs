//! Stand-in for the platform: log, instance list, cloud API and weight store over HTTP.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};

use crate::fleet::{self, Fleet};
use crate::http::{self, Body, ConnectionCut, HandlerResult};
use crate::log::{Log, Page, RateLimiter};

/// Time between checks for instances whose end or start is due.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum duration of a long poll, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;
/// Maximum number of records in a response if the call gives none.
const DEFAULT_MAX_RECORDS: u64 = 1_000;
/// Size of a chunk of model weights, in bytes.
const WEIGHT_CHUNK_BYTES: u64 = 64 << 10;
/// Notice given to an instance that is deleted through the cloud API, in milliseconds.
const DELETE_NOTICE_MS: u64 = 2_000;

/// Faults and limits, which can change while the platform runs.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Answers log calls with status 503.
    pub log_down: bool,
    /// Answers all calls with status 503, except those to `/faults`.
    pub platform_down: bool,
    /// Answers reads of the instance list with status 503.
    pub list_down: bool,
    /// Answers calls to the cloud API with status 503.
    pub cloud_down: bool,
    /// Number of further appends that take effect and whose response is then lost.
    pub lose_append_answers: u32,
    /// Duration of an append, in milliseconds; it takes effect after half of it.
    pub append_delay_ms: u64,
    /// Age of the instance list, in milliseconds.
    pub list_lag_ms: u64,
    /// Appends admitted per second.
    pub appends_per_s: u32,
    /// Records retained in each topic; 0 retains all.
    pub retention_records: usize,
    /// Share of starts refused by chance, in percent.
    pub refuse_starts_percent: u32,
    /// Time from the order of a start until the instance is live, in milliseconds.
    pub start_delay_ms: u64,
    /// Orders to start an instance admitted per second.
    pub starts_per_s: u32,
    /// Size of each model, in bytes.
    pub weight_bytes: u64,
    /// Rate of the weight store over all readers, in bytes per second.
    pub weight_bytes_per_s: u64,
    /// Maximum number of concurrent readers of the weight store; further ones are refused.
    pub max_weight_readers: u32,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            log_down: false,
            platform_down: false,
            list_down: false,
            cloud_down: false,
            lose_append_answers: 0,
            append_delay_ms: 2,
            list_lag_ms: 1_000,
            appends_per_s: 400,
            retention_records: 100_000,
            refuse_starts_percent: 0,
            start_delay_ms: 1_000,
            starts_per_s: 20,
            weight_bytes: 4 << 20,
            weight_bytes_per_s: 64 << 20,
            max_weight_readers: 4,
        }
    }
}

struct PlatformState {
    faults: Faults,
    log: Log,
    fleet: Fleet,
    start_rate: RateLimiter,
    weight_readers: u32,
    weight_store_free_at: Duration,
}

/// The platform's state, shared by its connections.
pub struct Platform {
    state: Mutex<PlatformState>,
    appended: Notify,
    noticed: Notify,
    started_at: Instant,
}

#[derive(Deserialize)]
struct Append {
    records: Vec<String>,
}

impl Platform {
    /// A platform with the given instances and faults; `seed` decides which starts are refused by
    /// chance.
    pub fn new(seed: u64, faults: Faults, instances: Vec<fleet::Instance>) -> Arc<Platform> {
        let mut fleet = Fleet::new(seed);
        for instance in instances {
            fleet.register(instance, http::unix_ms());
        }
        let state = PlatformState {
            log: Log::new(faults.appends_per_s, faults.retention_records),
            start_rate: RateLimiter::new(faults.starts_per_s),
            fleet,
            faults,
            weight_readers: 0,
            weight_store_free_at: Duration::ZERO,
        };
        Arc::new(Platform {
            state: Mutex::new(state),
            appended: Notify::new(),
            noticed: Notify::new(),
            started_at: Instant::now(),
        })
    }

    /// Serves calls until `stop` changes.
    pub async fn serve(self: Arc<Platform>, listener: TcpListener, stop: watch::Receiver<u64>) {
        let ticking = self.clone();
        let ticker = tokio::spawn(async move {
            loop {
                tokio::time::sleep(ADVANCE_INTERVAL).await;
                ticking.lock().fleet.advance(http::unix_ms());
            }
        });
        let handler: http::Handler = Arc::new(move |request| {
            let platform = self.clone();
            Box::pin(async move { platform.handle_request(request).await })
        });
        http::serve(listener, handler, stop).await;
        ticker.abort();
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().expect("no thread panics while it holds the lock")
    }

    async fn handle_request(self: Arc<Platform>, request: Request<Incoming>) -> HandlerResult {
        let (parts, body) = request.into_parts();
        let query = parts.uri.query();
        let segments = http::segments(parts.uri.path());
        if let ["faults"] = segments[..] {
            return Ok(self.handle_faults(&parts.method, body).await);
        }
        let faults = self.lock().faults.clone();
        if faults.platform_down {
            return Ok(http::error_response(StatusCode::SERVICE_UNAVAILABLE, "platform is down"));
        }
        match (&parts.method, &segments[..]) {
            (_, ["log", ..]) if faults.log_down => Ok(unavailable("log is down")),
            (_, ["instances"]) if faults.list_down => Ok(unavailable("list is down")),
            (_, ["cloud", ..]) if faults.cloud_down => Ok(unavailable("cloud API is down")),
            (&Method::POST, ["log", topic, "records"]) => self.handle_append(topic, body).await,
            (&Method::GET, ["log", topic, "records"]) => Ok(self.handle_read(topic, query).await),
            (&Method::GET, ["instances"]) => {
                let list = self.lock().fleet.list(http::unix_ms(), faults.list_lag_ms);
                Ok(http::json(StatusCode::OK, &*list))
            }
            (&Method::PUT, ["instances", id]) => Ok(self.handle_register(id, body).await),
            (&Method::POST, ["reclaim"]) => Ok(self.handle_reclaim(body).await),
            (&Method::GET, ["cloud", "notices"]) => Ok(self.handle_notices(query).await),
            (&Method::GET, ["cloud", "prices"]) => {
                let prices = self.lock().fleet.prices();
                Ok(http::json(StatusCode::OK, &serde_json::json!({ "prices": prices })))
            }
            (&Method::POST, ["cloud", "instances"]) => Ok(self.handle_start(body).await),
            (&Method::DELETE, ["cloud", "instances", id]) => Ok(self.handle_delete(id)),
            (&Method::GET, ["weights", _]) => Ok(self.handle_weights()),
            _ => Ok(http::error_response(StatusCode::NOT_FOUND, "no such call")),
        }
    }

    async fn handle_faults(&self, method: &Method, body: Incoming) -> Response<Body> {
        if method == Method::POST {
            let change: serde_json::Value = match http::read_json(body).await {
                Ok(change) => change,
                Err(response) => return response,
            };
            let mut state = self.lock();
            let faults = match http::merge_fields(&state.faults, change) {
                Ok(faults) => faults,
                Err(problem) => return http::invalid_body_response(&problem),
            };
            state.log.set_appends_per_s(faults.appends_per_s);
            state.log.retention_records = faults.retention_records;
            state.start_rate.set_per_s(faults.starts_per_s);
            state.faults = faults;
            drop(state);
            self.appended.notify_waiters();
            self.noticed.notify_waiters();
        }
        http::json(StatusCode::OK, &self.lock().faults)
    }

    async fn handle_append(self: Arc<Platform>, topic: &str, body: Incoming) -> HandlerResult {
        let append: Append = match http::read_json(body).await {
            Ok(append) => append,
            Err(response) => return Ok(response),
        };
        let decode = |record: &String| STANDARD.decode(record).map(Bytes::from);
        let Ok(records) = append.records.iter().map(decode).collect::<Result<Vec<_>, _>>() else {
            return Ok(http::error_response(StatusCode::BAD_REQUEST, "a record is not base64"));
        };
        if records.is_empty() {
            return Ok(http::error_response(StatusCode::BAD_REQUEST, "no records"));
        }
        let half_delay = {
            let mut state = self.lock();
            if state.log.admit(self.started_at.elapsed()).is_err() {
                let response =
                    http::error_response(StatusCode::TOO_MANY_REQUESTS, "over the append rate");
                return Ok(http::with_header(response, "retry-after", "1"));
            }
            Duration::from_millis(state.faults.append_delay_ms) / 2
        };
        let topic = topic.to_owned();
        // In a task, so that the append also takes effect if its caller disconnects.
        let append =
            tokio::spawn(async move { self.append_with_delay(&topic, records, half_delay).await });
        append.await.unwrap_or(Err(ConnectionCut))
    }

    async fn append_with_delay(
        &self,
        topic: &str,
        records: Vec<Bytes>,
        half_delay: Duration,
    ) -> HandlerResult {
        tokio::time::sleep(half_delay).await;
        let (first_offset, is_lost) = {
            let mut state = self.lock();
            if state.faults.log_down || state.faults.platform_down {
                return Ok(unavailable("log is down"));
            }
            let first_offset = state.log.append(topic, records, http::unix_ms());
            let is_lost = state.faults.lose_append_answers > 0;
            state.faults.lose_append_answers -= u32::from(is_lost);
            (first_offset, is_lost)
        };
        self.appended.notify_waiters();
        tokio::time::sleep(half_delay).await;
        if is_lost {
            return Err(ConnectionCut);
        }
        Ok(http::json(StatusCode::OK, &serde_json::json!({ "first_offset": first_offset })))
    }

    async fn handle_read(&self, topic: &str, query: Option<&str>) -> Response<Body> {
        let from = http::query_number(query, "from", 1).max(1);
        let max = http::query_number(query, "max", DEFAULT_MAX_RECORDS) as usize;
        let deadline = deadline(query);
        loop {
            let appended = self.appended.notified();
            let page = {
                let state = self.lock();
                if state.faults.log_down || state.faults.platform_down {
                    return unavailable("log is down");
                }
                state.log.read(topic, from, max)
            };
            let is_answer = page.is_expired || !page.records.is_empty() || max == 0;
            if is_answer || Instant::now() >= deadline {
                return page_response(&page);
            }
            let _ = tokio::time::timeout_at(deadline.into(), appended).await;
        }
    }

    async fn handle_register(&self, id: &str, body: Incoming) -> Response<Body> {
        let mut instance: fleet::Instance = match http::read_json(body).await {
            Ok(instance) => instance,
            Err(response) => return response,
        };
        let Ok(id) = id.parse() else {
            return http::error_response(StatusCode::BAD_REQUEST, "instance is no number");
        };
        instance.id = id;
        self.lock().fleet.register(instance, http::unix_ms());
        http::empty(StatusCode::NO_CONTENT)
    }

    async fn handle_reclaim(&self, body: Incoming) -> Response<Body> {
        let reclaim: fleet::Reclaim = match http::read_json(body).await {
            Ok(reclaim) => reclaim,
            Err(response) => return response,
        };
        let instances = self.lock().fleet.reclaim(&reclaim, http::unix_ms());
        self.noticed.notify_waiters();
        http::json(StatusCode::OK, &serde_json::json!({ "instances": instances }))
    }

    async fn handle_notices(&self, query: Option<&str>) -> Response<Body> {
        let after = http::query_number(query, "after", 0);
        let deadline = deadline(query);
        loop {
            let noticed = self.noticed.notified();
            let notices = {
                let state = self.lock();
                if state.faults.cloud_down || state.faults.platform_down {
                    return unavailable("cloud API is down");
                }
                state.fleet.notices(after).to_vec()
            };
            if !notices.is_empty() || Instant::now() >= deadline {
                let next = notices.last().map_or(after, |notice| notice.sequence);
                let answer = serde_json::json!({ "notices": notices, "next": next });
                return http::json(StatusCode::OK, &answer);
            }
            let _ = tokio::time::timeout_at(deadline.into(), noticed).await;
        }
    }

    async fn handle_start(&self, body: Incoming) -> Response<Body> {
        let start: fleet::Start = match http::read_json(body).await {
            Ok(start) => start,
            Err(response) => return response,
        };
        let mut state = self.lock();
        if !state.start_rate.try_acquire(self.started_at.elapsed()) {
            let response =
                http::error_response(StatusCode::TOO_MANY_REQUESTS, "over the rate of starts");
            return http::with_header(response, "retry-after", "1");
        }
        let refuse_percent = state.faults.refuse_starts_percent;
        let delay_ms = state.faults.start_delay_ms;
        match state.fleet.start(&start, refuse_percent, delay_ms, http::unix_ms()) {
            Ok(id) => http::json(StatusCode::OK, &serde_json::json!({ "id": id })),
            Err(refusal) => {
                let reason = serde_json::json!({ "reason": refusal.to_string() });
                http::json(StatusCode::CONFLICT, &reason)
            }
        }
    }

    fn handle_delete(&self, id: &str) -> Response<Body> {
        let Ok(id) = id.parse() else {
            return http::error_response(StatusCode::BAD_REQUEST, "instance is no number");
        };
        let reclaim = fleet::Reclaim {
            instance: Some(id),
            notice_ms: DELETE_NOTICE_MS,
            ..fleet::Reclaim::default()
        };
        self.lock().fleet.reclaim(&reclaim, http::unix_ms());
        self.noticed.notify_waiters();
        http::empty(StatusCode::NO_CONTENT)
    }

    /// Responds with a model's weights, paced so that all readers together do not exceed the
    /// store's rate.
    fn handle_weights(self: Arc<Platform>) -> Response<Body> {
        let bytes = {
            let mut state = self.lock();
            if state.weight_readers >= state.faults.max_weight_readers {
                let response =
                    http::error_response(StatusCode::TOO_MANY_REQUESTS, "too many readers");
                return http::with_header(response, "retry-after", "1");
            }
            state.weight_readers += 1;
            state.faults.weight_bytes
        };
        let reader = WeightReader(self);
        let chunks = futures_util::stream::unfold((reader, bytes), |(reader, left)| async move {
            let size = left.min(WEIGHT_CHUNK_BYTES);
            if size == 0 {
                return None;
            }
            reader.wait_for_rate(size).await;
            let chunk = Bytes::from(vec![0x5a; size as usize]);
            Some((chunk, (reader, left - size)))
        });
        Response::new(BodyExt::boxed_unsync(StreamBody::new(Box::pin(
            chunks.map(|chunk| Ok(Frame::data(chunk))),
        ))))
    }
}

/// Reader of the weight store, which counts against `max_weight_readers` until dropped.
struct WeightReader(Arc<Platform>);

impl WeightReader {
    /// Waits until `bytes` more may be sent.
    async fn wait_for_rate(&self, bytes: u64) {
        let free_at = {
            let mut state = self.0.lock();
            let rate = state.faults.weight_bytes_per_s.max(1) as f64;
            let cost = Duration::from_secs_f64(bytes as f64 / rate);
            state.weight_store_free_at =
                state.weight_store_free_at.max(self.0.started_at.elapsed()) + cost;
            state.weight_store_free_at
        };
        tokio::time::sleep_until((self.0.started_at + free_at).into()).await;
    }
}

impl Drop for WeightReader {
    fn drop(&mut self) {
        self.0.lock().weight_readers -= 1;
    }
}

fn unavailable(message: &str) -> Response<Body> {
    http::error_response(StatusCode::SERVICE_UNAVAILABLE, message)
}

fn deadline(query: Option<&str>) -> Instant {
    let wait_ms = http::query_number(query, "wait_ms", 0).min(MAX_WAIT_MS);
    Instant::now() + Duration::from_millis(wait_ms)
}

fn page_response(page: &Page) -> Response<Body> {
    let record = |record: &crate::log::Record| {
        serde_json::json!({
            "offset": record.offset,
            "time_ms": record.time_ms,
            "data": STANDARD.encode(&record.data),
        })
    };
    let records: Vec<serde_json::Value> = page.records.iter().map(record).collect();
    let answer = serde_json::json!({
        "records": records,
        "next": page.next_offset,
        "oldest": page.oldest_offset,
        "end": page.end_offset,
    });
    let status = if page.is_expired { StatusCode::GONE } else { StatusCode::OK };
    http::json(status, &answer)
}
