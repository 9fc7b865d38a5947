//! Cost of custody (backup copies of requests) at one node, by its requests per second.

use std::time::Duration;

use rhubarbrock::custody::{Action, Config, Custody};
use rhubarbrock::{id, placement};
use rhubarbrock_schema::peer;

use crate::fit::{self, Column};
use crate::fleet;
use crate::process;

const NODES: usize = 10;
const STEP: Duration = Duration::from_millis(50);
const BODY_BYTES: usize = 2_000;
const ANSWER_TOKENS: u32 = 442;
/// Text of each token.
const TOKEN_TEXT: &str = "abcd";
const TOKENS_PER_S: u32 = 31;
const WARM_UP: Duration = Duration::from_secs(30);
const MEASURED: Duration = Duration::from_secs(60);
const ANSWER_LIFETIME: Duration = Duration::from_secs(60);

/// Bytes of HTTP headers of a peer call and its answer together.
const CALL_HEADER_BYTES: usize = 400;

#[derive(Default)]
struct Traffic {
    store_calls: u64,
    store_bytes: u64,
    progress_calls: u64,
    progress_bytes: u64,
}

struct Attempt {
    node: usize,
    request: id::RequestId,
    tokens: u32,
}

struct Nodes {
    nodes: Vec<Custody>,
    attempts: Vec<Attempt>,
    traffic: Traffic,
    now: Duration,
    accepted: u128,
}

pub(crate) fn run() -> anyhow::Result<()> {
    println!("\nCustody: {BODY_BYTES} bytes of body, {ANSWER_TOKENS} tokens of 4 bytes at");
    println!(
        "{TOKENS_PER_S} tokens a second, answers kept {} s; calls as JSON with",
        ANSWER_LIFETIME.as_secs()
    );
    println!(
        "{CALL_HEADER_BYTES} bytes of headers each. CPU includes encoding and decoding at both ends."
    );
    let rates = [3, 6, 11, 22, 44];
    let mut columns = [
        "CPU, µs/s",
        "sent, bytes/s",
        "store calls/s",
        "progress calls/s",
        "unfinished",
        "bytes kept for others, KiB",
        "own ended answers, KiB",
        "hand-over, KiB",
        "hand-over calls",
    ]
    .map(|name| Column { name, values: Vec::new() });
    for rate in rates {
        let figures = measure(rate)?;
        for (column, figure) in columns.iter_mut().zip(figures) {
            column.values.push(figure);
        }
    }
    fit::print("Requests a second and node (custody)", "request/s", &rates, &columns);
    Ok(())
}

fn measure(rate: u32) -> anyhow::Result<[f64; 9]> {
    let mut nodes = Nodes::new();
    nodes.run(rate, WARM_UP);
    nodes.traffic = Traffic::default();
    let cpu_before = process::cpu_time()?;
    nodes.run(rate, MEASURED);
    let cpu = process::cpu_time()? - cpu_before;
    let node_seconds = NODES as f64 * MEASURED.as_secs_f64();
    let traffic = std::mem::take(&mut nodes.traffic);
    let sent_bytes = traffic.store_bytes + traffic.progress_bytes;
    let mean = |value: &dyn Fn(&Custody) -> usize| {
        nodes.nodes.iter().map(|node| value(node) as f64).sum::<f64>() / NODES as f64
    };
    let unfinished = mean(&|node| node.unfinished_requests().count());
    let backup_kib = mean(&|node| node.backup_bytes()) / 1024.0;
    let finished_kib = mean(&|node| node.finished_bytes()) / 1024.0;
    let now = nodes.now;
    let actions = nodes.nodes[0].hand_over(now);
    nodes.perform(0, actions);
    Ok([
        cpu.as_secs_f64() * 1e6 / node_seconds,
        sent_bytes as f64 / node_seconds,
        traffic.store_calls as f64 / node_seconds,
        traffic.progress_calls as f64 / node_seconds,
        unfinished,
        backup_kib,
        finished_kib,
        nodes.traffic.store_bytes as f64 / 1024.0,
        nodes.traffic.store_calls as f64,
    ])
}

impl Nodes {
    fn new() -> Nodes {
        let place = |node: usize| placement::Place {
            node: node as u64 + 1,
            data_centre: fleet::data_centre(node),
            region: "region".into(),
            running: true,
            leaving: false,
        };
        let places: placement::Places =
            (0..NODES).map(|node| (node as u64 + 1, place(node))).collect();
        let config = Config::default().answer_lifetime(ANSWER_LIFETIME);
        let mut nodes: Vec<Custody> =
            (0..NODES).map(|node| Custody::new(config.clone(), place(node))).collect();
        for node in &mut nodes {
            node.set_places(Duration::ZERO, places.clone());
        }
        let traffic = Traffic::default();
        let now = Duration::from_secs(1);
        Nodes { nodes, attempts: Vec::new(), traffic, now, accepted: 0 }
    }

    fn run(&mut self, rate: u32, time: Duration) {
        let steps = time.as_millis() / STEP.as_millis();
        let steps_per_s = (1_000 / STEP.as_millis()) as u32;
        let mut due = 0;
        let mut tokens_due = 0;
        for _ in 0..steps {
            self.now += STEP;
            due += rate;
            while due >= steps_per_s {
                due -= steps_per_s;
                (0..NODES).for_each(|node| self.accept(node));
            }
            tokens_due += TOKENS_PER_S;
            let tokens = tokens_due / steps_per_s;
            tokens_due %= steps_per_s;
            self.generate(tokens);
            for node in 0..NODES {
                let actions = self.nodes[node].tick(self.now);
                self.perform(node, actions);
            }
        }
    }

    fn accept(&mut self, node: usize) {
        self.accepted += 1;
        let secret = self.accepted.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835);
        let request = id::RequestId { holder: node as u64 + 1, secret };
        let record = peer::RequestRecord {
            request: request.to_string(),
            organisation: "organisation-1".into(),
            service: "guide-writers".into(),
            path: "/v1/chat/completions".into(),
            body: "b".repeat(BODY_BYTES),
            holder: request.holder,
            max_tokens: ANSWER_TOKENS,
            streamed: true,
            ..Default::default()
        };
        let actions = self.nodes[node].hold(self.now, record);
        self.attempts.push(Attempt { node, request, tokens: 0 });
        self.perform(node, actions);
    }

    fn generate(&mut self, tokens: u32) {
        let now = self.now;
        let nodes = &mut self.nodes;
        self.attempts.retain_mut(|attempt| {
            let node = &mut nodes[attempt.node];
            let count = tokens.min(ANSWER_TOKENS - attempt.tokens);
            let part = peer::Progress {
                offset: u64::from(attempt.tokens) * TOKEN_TEXT.len() as u64,
                text: TOKEN_TEXT.repeat(count as usize),
                tokens: attempt.tokens + count,
                chunk_bytes: vec![TOKEN_TEXT.len() as u32; count as usize],
                ..Default::default()
            };
            attempt.tokens += count;
            let is_known = node.append_progress(attempt.request, &part);
            let is_done = attempt.tokens == ANSWER_TOKENS;
            if is_done {
                node.finish(now, attempt.request, peer::Finish::default());
            }
            is_known && !is_done
        });
    }

    /// Performs the calls at once; each call is encoded as JSON and decoded again.
    fn perform(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Store { to, number, call } => {
                    let text =
                        serde_json::to_string(&call).expect("a peer call serialises as JSON");
                    self.traffic.store_calls += 1;
                    self.traffic.store_bytes += (text.len() + CALL_HEADER_BYTES) as u64;
                    let call = serde_json::from_str(&text).expect("decodes what was just encoded");
                    let (reply, further) = self.nodes[to as usize - 1].serve_store(self.now, call);
                    self.perform(to as usize - 1, further);
                    let further = self.nodes[node].on_store_reply(self.now, number, Some(&reply));
                    self.perform(node, further);
                }
                Action::Progress { to, number, call } => {
                    let text =
                        serde_json::to_string(&call).expect("a peer call serialises as JSON");
                    self.traffic.progress_calls += 1;
                    self.traffic.progress_bytes += (text.len() + CALL_HEADER_BYTES) as u64;
                    let call = serde_json::from_str(&text).expect("decodes what was just encoded");
                    let reply = self.nodes[to as usize - 1].serve_progress(self.now, call);
                    let further =
                        self.nodes[node].on_progress_reply(self.now, to, number, Some(&reply));
                    self.perform(node, further);
                }
                Action::Accepted { .. }
                | Action::Adopt { .. }
                | Action::Superseded { .. }
                | Action::Forget { .. } => {}
            }
        }
    }
}
