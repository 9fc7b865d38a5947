//! Plain service over HTTP: it confirms orders and payouts, counts how often each of these calls
//! ran, and looks up stock. The replicas of a process share the counts.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use xxhash_rust::xxh3;

use crate::fleet::{Instance, Notice};
use crate::http::{self, Body, ConnectionCut, HandlerResult};

/// Key under which calls without an idempotency key are counted.
const NO_KEY: &str = "-";
/// Upper bound of the stock of an item, exclusive.
const MAX_STOCK: u64 = 500;

/// Faults of one desk replica, which can change while it runs.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Duration of a call, in milliseconds; a confirmation runs after half of it.
    pub delay_ms: u64,
    /// Number of further calls that run and whose response is then lost.
    pub lose_answers: u32,
    /// Answers calls with status 503.
    pub refuse: bool,
    /// Accepts connections but answers no call except those to `/runs` and `/faults`.
    pub frozen: bool,
}

#[derive(Debug, Default)]
struct RunTable {
    runs_by_key: BTreeMap<String, u64>,
    highest_fencing_tokens: HashMap<String, u64>,
    confirmations: u64,
}

struct Replica {
    instance: Instance,
    faults: Mutex<Faults>,
    is_gone: AtomicBool,
}

/// The desk replicas of one process.
pub struct Desk {
    table: Mutex<RunTable>,
    replicas: Vec<Replica>,
    checks_fencing: bool,
    seed: u64,
}

/// Call that confirms an order or payout.
struct ConfirmationCall {
    kind: String,
    key: String,
    fencing_token: u64,
}

impl Desk {
    /// A desk with a replica for each instance. With `checks_fencing`, calls with a lower fencing
    /// token than an earlier one with the same key are refused; `seed` decides the stock.
    pub fn new(instances: Vec<Instance>, checks_fencing: bool, seed: u64) -> Arc<Desk> {
        let replica = |instance| Replica {
            instance,
            faults: Mutex::new(Faults::default()),
            is_gone: AtomicBool::new(false),
        };
        Arc::new(Desk {
            table: Mutex::new(RunTable::default()),
            replicas: instances.into_iter().map(replica).collect(),
            checks_fencing,
            seed,
        })
    }

    /// Serves each replica on the listener at the same index, until `stop` changes.
    pub async fn serve(self: Arc<Desk>, listeners: Vec<TcpListener>, stop: watch::Receiver<u64>) {
        let mut tasks = tokio::task::JoinSet::new();
        for (index, listener) in listeners.into_iter().enumerate() {
            let desk = self.clone();
            let handler: http::Handler = Arc::new(move |request| {
                let desk = desk.clone();
                Box::pin(async move { desk.handle_request(index, request).await })
            });
            tasks.spawn(http::serve(listener, handler, stop.clone()));
        }
        while tasks.join_next().await.is_some() {}
    }

    /// Ends replicas at the end of their notice: they then close the connection of every call
    /// except those to `/runs` and `/faults`.
    pub async fn apply_notices(self: Arc<Desk>, mut notices: mpsc::UnboundedReceiver<Notice>) {
        while let Some(notice) = notices.recv().await {
            let is_target = |r: &Replica| r.instance.id == notice.instance;
            let Some(index) = self.replicas.iter().position(is_target) else { continue };
            let remaining_ms = notice.leave_at_ms.saturating_sub(http::unix_ms());
            let desk = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(remaining_ms)).await;
                desk.replicas[index].is_gone.store(true, Ordering::Relaxed);
            });
        }
    }

    async fn handle_request(
        self: Arc<Desk>,
        index: usize,
        request: Request<Incoming>,
    ) -> HandlerResult {
        let path = request.uri().path().to_owned();
        let segments = http::segments(&path);
        match (request.method(), &segments[..]) {
            (&Method::GET, ["runs"]) => {
                return Ok(http::json(StatusCode::OK, &self.table().runs_by_key));
            }
            (_, ["faults"]) => return Ok(self.handle_faults(index, request).await),
            _ => {}
        }
        let replica = &self.replicas[index];
        http::wait_while(|| replica.faults().frozen).await;
        if replica.is_gone.load(Ordering::Relaxed) {
            return Err(ConnectionCut);
        }
        if replica.faults().refuse {
            let response = http::error_response(StatusCode::SERVICE_UNAVAILABLE, "refusing");
            return Ok(http::with_header(response, "retry-after", "1"));
        }
        match (request.method(), &segments[..]) {
            (&Method::POST, [kind @ ("orders" | "payouts")]) => {
                let kind = kind.trim_end_matches('s').to_owned();
                self.clone().handle_confirmation(index, kind, request).await
            }
            (&Method::GET, ["stock", item]) => self.handle_stock(index, item).await,
            _ => Ok(http::error_response(StatusCode::NOT_FOUND, "no such call")),
        }
    }

    async fn handle_confirmation(
        self: Arc<Desk>,
        index: usize,
        kind: String,
        request: Request<Incoming>,
    ) -> HandlerResult {
        let key = http::header(&request, "idempotency-key");
        let key = if key.is_empty() { NO_KEY.to_owned() } else { key };
        let fencing_token = http::header(&request, "x-fencing-number").parse().unwrap_or(0);
        if let Err(response) = http::read_json::<Map<String, Value>>(request.into_body()).await {
            return Ok(response);
        }
        let call = ConfirmationCall { kind, key, fencing_token };
        // In a task, so that the call also runs if its caller disconnects.
        let running = tokio::spawn(async move { self.run_confirmation(index, call).await });
        running.await.unwrap_or(Err(ConnectionCut))
    }

    async fn run_confirmation(&self, index: usize, call: ConfirmationCall) -> HandlerResult {
        let half_delay = Duration::from_millis(self.replicas[index].faults().delay_ms) / 2;
        tokio::time::sleep(half_delay).await;
        let confirmation = {
            let mut table = self.table();
            let highest = table.highest_fencing_tokens.get(&call.key).copied().unwrap_or(0);
            if self.checks_fencing && call.fencing_token < highest {
                let response = http::error_response(StatusCode::CONFLICT, "old fencing number");
                return Ok(http::with_header(response, "x-fencing", "refused"));
            }
            table.highest_fencing_tokens.insert(call.key.clone(), highest.max(call.fencing_token));
            *table.runs_by_key.entry(call.key.clone()).or_default() += 1;
            table.confirmations += 1;
            table.confirmations
        };
        tokio::time::sleep(half_delay).await;
        if self.replicas[index].lose_answer() {
            return Err(ConnectionCut);
        }
        let answer = json!({
            "confirmation": format!("{}-{confirmation:06}", call.kind),
            "key": call.key,
        });
        Ok(http::json(StatusCode::OK, &answer))
    }

    async fn handle_stock(&self, index: usize, item: &str) -> HandlerResult {
        let replica = &self.replicas[index];
        tokio::time::sleep(Duration::from_millis(replica.faults().delay_ms)).await;
        if replica.lose_answer() {
            return Err(ConnectionCut);
        }
        let count = xxh3::xxh3_64_with_seed(item.as_bytes(), self.seed) % MAX_STOCK;
        Ok(http::json(StatusCode::OK, &json!({ "item": item, "in_stock": count })))
    }

    async fn handle_faults(&self, index: usize, request: Request<Incoming>) -> Response<Body> {
        if request.method() == Method::POST {
            let mut change: Value = match http::read_json(request.into_body()).await {
                Ok(change) => change,
                Err(response) => return response,
            };
            let all = change.as_object_mut().and_then(|fields| fields.remove("all"));
            let is_for_all = all == Some(Value::Bool(true));
            let one = &self.replicas[index..=index];
            let targets = if is_for_all { &self.replicas[..] } else { one };
            for replica in targets {
                match http::merge_fields(&replica.faults(), change.clone()) {
                    Ok(faults) => *replica.lock() = faults,
                    Err(problem) => return http::invalid_body_response(&problem),
                }
            }
        }
        http::json(StatusCode::OK, &self.replicas[index].faults())
    }

    fn table(&self) -> MutexGuard<'_, RunTable> {
        self.table.lock().expect("no thread panics while it holds the lock")
    }
}

impl Replica {
    fn lock(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().expect("no thread panics while it holds the lock")
    }

    fn faults(&self) -> Faults {
        self.lock().clone()
    }

    /// Whether this call's response is to be lost; counts down `lose_answers`.
    fn lose_answer(&self) -> bool {
        let mut faults = self.lock();
        let is_lost = faults.lose_answers > 0;
        faults.lose_answers -= u32::from(is_lost);
        is_lost
    }
}
