//! The decision thread: passes events from the rings to the node and performs its actions.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use rhubarbrock::{action, clock, event, node};
use slog::{error, info, warn};
use tokio::sync::watch;

use crate::{answer, decision_client, endpoints, peers, platform, relay, ring};

/// Maximum number of events taken from one ring before the next ring is served.
const MAX_BURST_EVENTS: usize = 64;

/// Time between calls of [`node::Node::tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Time between updates of the exported metrics.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// Inputs of the decision thread.
pub struct Inputs {
    /// Event rings, one for each producing thread; served in this order.
    pub rings: Vec<ring::Receiver<event::Event>>,
}

/// Receivers of the node's actions.
pub struct Outputs {
    /// Callers that wait for a decision.
    pub decision_client: Arc<decision_client::DecisionClient>,
    /// Answers of this node.
    pub answers: Arc<answer::Answers>,
    /// Commands to the endpoints' thread.
    pub endpoints: ring::Sender<endpoints::Command>,
    /// Commands to the platform's thread.
    pub platform: ring::Sender<platform::Command>,
    /// Commands to the peers' thread.
    pub peers: ring::Sender<peers::Command>,
    /// Queries of other nodes, and for status and timeline, that wait for a reply.
    pub replies: Arc<peers::PendingReplies>,
    /// Set when callers' connections are to close.
    pub closing: watch::Sender<bool>,
    /// Set when the drain is complete; ends [`run`].
    pub stopped: Arc<AtomicBool>,
    /// Receives the node's log lines.
    pub logger: slog::Logger,
}

/// Runs the node on this thread until it stops.
pub fn run(mut node: node::Node, clock: &dyn clock::Clock, mut inputs: Inputs, outputs: &Outputs) {
    let mut next_tick = clock.now();
    let mut next_publish = clock.now();
    perform_all(outputs, node.start(clock.now(), clock.unix_time()));
    while !outputs.stopped.load(Ordering::Acquire) {
        let mut is_busy = false;
        for ring in &mut inputs.rings {
            for _ in 0..MAX_BURST_EVENTS {
                let Some(event) = ring.pop() else { break };
                is_busy = true;
                perform_all(outputs, node.handle(clock.now(), clock.unix_time(), event));
            }
        }
        let now = clock.now();
        if now >= next_tick {
            next_tick = now + TICK_INTERVAL;
            perform_all(outputs, node.tick(now, clock.unix_time()));
        }
        if now >= next_publish {
            next_publish = now + PUBLISH_INTERVAL;
            publish_metrics(&node);
        }
        if !is_busy {
            thread::park_timeout(next_tick.saturating_sub(clock.now()));
        }
    }
}

fn publish_metrics(node: &node::Node) {
    node.counters().for_each(|name, value| metrics::counter!(name).absolute(value));
    node.gauges(|name, value| metrics::gauge!(name).set(value));
}

fn perform_all(outputs: &Outputs, actions: Vec<action::Action>) {
    for action in actions {
        perform(outputs, action);
    }
}

fn perform(outputs: &Outputs, action: action::Action) {
    match action {
        action::Action::Refuse { call, refusal } => {
            outputs.decision_client.resolve(call, decision_client::Decision::Refuse(refusal));
        }
        action::Action::Attach { call, request, offset } => {
            if let Some(answer) = outputs.answers.get(request) {
                outputs
                    .decision_client
                    .resolve(call, decision_client::Decision::Attach(answer, offset));
            }
        }
        action::Action::Relay { call, request, organisation, offset, nodes } => {
            let relay = decision_client::RelayTarget { request, organisation, offset, nodes };
            outputs.decision_client.resolve(call, decision_client::Decision::Relay(relay));
        }
        action::Action::AnswerPlain { call, request, answer, is_replay } => {
            let decision = decision_client::AnsweredCall { request, answer, is_replay };
            outputs.decision_client.resolve(call, decision_client::Decision::Plain(decision));
        }
        action::Action::AnswerServices { call, services } => {
            outputs.decision_client.resolve(call, decision_client::Decision::Services(services));
        }
        action::Action::OpenAnswer(open) => open_answer(outputs, &open),
        action::Action::FinishAnswer { request, finish } => {
            if let Some(answer) = outputs.answers.get(request) {
                answer.finish(finish);
            }
        }
        action::Action::MoveAnswer { request, nodes } => {
            if let Some(answer) = outputs.answers.get(request) {
                answer.move_to(nodes);
            }
            outputs.answers.remove(request);
        }
        action::Action::DropAnswer { request } => outputs.answers.remove(request),
        action::Action::StartModel(attempt) => start_model(outputs, attempt),
        action::Action::StartPlain(attempt) => {
            outputs.endpoints.send_blocking(endpoints::Command::Plain(attempt));
        }
        action::Action::Cancel { attempt } => {
            outputs.endpoints.send_blocking(endpoints::Command::Cancel(attempt));
        }
        action::Action::Watch { endpoints } => {
            outputs.endpoints.send_blocking(endpoints::Command::Watch(endpoints));
        }
        action::Action::Append { append, topic, record } => {
            outputs.platform.send_blocking(platform::Command::Append { append, topic, record });
        }
        action::Action::ReadFrom { topic, offset } => {
            outputs.platform.send_blocking(platform::Command::ReadFrom { topic, offset });
        }
        action::Action::SendDatagram { to, datagram } => {
            // Datagrams may be lost, so they are dropped if the ring is full.
            let _ = outputs.peers.push(peers::Command::Datagram { to, datagram });
        }
        action::Action::SendStore { to, number, call } => {
            outputs.peers.send_blocking(peers::Command::Store { to, number, call });
        }
        action::Action::SendProgress { to, number, call } => {
            outputs.peers.send_blocking(peers::Command::Progress { to, number, call });
        }
        action::Action::FetchRelease { to } => {
            outputs.peers.send_blocking(peers::Command::Release { to });
        }
        action::Action::Reply { rpc, reply } => {
            outputs.replies.resolve(rpc, reply);
        }
        action::Action::Log { level, message } => log(&outputs.logger, level, &message),
        action::Action::SetReady(ready) => outputs.decision_client.set_ready(ready),
        action::Action::CloseIdle => {
            outputs.decision_client.close_connections();
            let _ = outputs.closing.send(true);
        }
        action::Action::Stop => outputs.stopped.store(true, Ordering::Release),
    }
}

fn open_answer(outputs: &Outputs, open: &action::OpenAnswer) {
    if let Some(metadata) = relay::metadata(&open.record) {
        let record = &open.record;
        let answer =
            answer::Answer::new(metadata, &record.text, &record.chunk_bytes, record.tokens);
        outputs.answers.insert(answer);
    }
}

fn start_model(outputs: &Outputs, attempt: Box<action::ModelAttempt>) {
    if let Some(answer) = outputs.answers.get(attempt.request) {
        outputs.endpoints.send_blocking(endpoints::Command::Model(attempt, answer));
    }
}

fn log(logger: &slog::Logger, level: action::LogLevel, message: &str) {
    match level {
        action::LogLevel::Info => info!(logger, "{}", message),
        action::LogLevel::Warning => warn!(logger, "{}", message),
        action::LogLevel::Error => error!(logger, "{}", message),
    }
}
