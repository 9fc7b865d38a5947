//! `node`: CPU time of one node's decisions, by number of requests and of endpoints.
//!
//! A complete node receives requests, progress and outcomes as from its threads; its actions are
//! discarded. Sockets, HTTP and JSON are not part of the measurement.

use std::time::Duration;

use argh::FromArgs;
use proofs::fake_engine::Engine;
use proofs::{fake_node, node_setup};
use rhubarbrock::{action, event, node};
use rhubarbrock_schema::peer;

use crate::{fit, process};

/// Concurrent requests in the steady state.
const CONCURRENT_REQUESTS: u32 = 60;

/// Tokens of an answer.
const ANSWER_TOKENS: u32 = 450;

/// Progress events of an answer: one each 200 ms at 32 ms a token.
const PROGRESS_EVENTS: u32 = 72;

/// Bytes of text in one progress event.
const PROGRESS_BYTES: usize = 25;

/// Length of the measurement of an idle node, in virtual seconds.
const IDLE_S: u32 = 60;

/// measure one node's decisions
#[derive(FromArgs)]
#[argh(subcommand, name = "node")]
pub(crate) struct NodeCost {}

impl NodeCost {
    /// Measures and prints the tables.
    pub(crate) fn run(&self) -> anyhow::Result<()> {
        let requests = [500, 1_000, 2_000, 4_000];
        let mut cpu_ms = Vec::new();
        for count in requests {
            cpu_ms.push(measure_requests(75, count)?.as_secs_f64() * 1e3);
        }
        let column = fit::Column { name: "CPU of requests, ms", values: cpu_ms };
        fit::print("requests, at 75 endpoints", "requests", &requests, &[column]);

        let endpoints = [75, 150, 300, 600];
        let mut request_us = Vec::new();
        let mut idle_us = Vec::new();
        for count in endpoints {
            request_us.push(measure_requests(count, 1_000)?.as_secs_f64() * 1e6 / 1_000.0);
            idle_us.push(measure_idle(count)?.as_secs_f64() * 1e6 / f64::from(IDLE_S));
        }
        let columns = [
            fit::Column { name: "CPU a request, us", values: request_us },
            fit::Column { name: "CPU a second without requests, us", values: idle_us },
        ];
        fit::print("endpoints, 1,000 requests", "endpoints", &endpoints, &columns);
        Ok(())
    }
}

/// A node with a release in force and an instance list.
struct NodeHarness {
    node: node::Node,
    now: Duration,
    running_attempts: Vec<action::ModelAttempt>,
}

impl NodeHarness {
    fn new(endpoints: u32) -> NodeHarness {
        let config = node_setup::node_config(0, 1, 7, Duration::ZERO);
        let mut harness = NodeHarness {
            node: node::Node::new(config),
            now: Duration::ZERO,
            running_attempts: vec![],
        };
        let unix_time = harness.unix_time();
        harness.node.start(harness.now, unix_time);
        let record = event::Record { offset: 1, time: unix_time, data: node_setup::release_note() };
        harness.handle(event::Event::Platform(event::PlatformEvent::Records(event::RecordPage {
            topic: event::Topic::Release,
            records: vec![record],
            next_offset: 2,
            oldest_offset: 1,
            end_offset: 2,
        })));
        harness.set_endpoints(endpoints);
        harness
    }

    fn unix_time(&self) -> Duration {
        Duration::from_secs(1_700_000_000) + self.now
    }

    fn set_endpoints(&mut self, endpoints: u32) {
        let instances = (0..endpoints)
            .map(|index| {
                let engine = Engine::new(100 + u64::from(index), index as usize % 3);
                let address = fake_node::address(10_000 + index as u16);
                node_setup::engine_instance(&engine, event::InstanceState::Live, address)
            })
            .collect();
        let list = event::InstanceList { taken_at: self.unix_time(), instances };
        self.handle(event::Event::Platform(event::PlatformEvent::Instances(list)));
    }

    fn handle(&mut self, event: event::Event) {
        let actions = self.node.handle(self.now, self.unix_time(), event);
        self.collect_attempts(actions);
    }

    fn tick(&mut self) {
        let actions = self.node.tick(self.now, self.unix_time());
        self.collect_attempts(actions);
    }

    fn collect_attempts(&mut self, actions: Vec<action::Action>) {
        for action in actions {
            if let action::Action::StartModel(attempt) = action {
                self.running_attempts.push(*attempt);
            }
        }
    }

    fn submit_request(&mut self, number: u32) {
        let body = node_setup::request_body(number as usize);
        let call =
            node_setup::model_call(u64::from(number), body, ANSWER_TOKENS, u128::from(number));
        self.handle(event::Event::Caller(call));
    }

    /// Runs the latest started attempt to its end.
    fn finish_request(&mut self) {
        let Some(attempt) = self.running_attempts.pop() else { return };
        let attempt = attempt.attempt;
        self.handle(event::Event::Endpoint(event::EndpointEvent::FirstToken { attempt }));
        for progress in 0..PROGRESS_EVENTS {
            self.handle(event::Event::Endpoint(event::EndpointEvent::Progress {
                attempt,
                offset: u64::from(progress) * PROGRESS_BYTES as u64,
                text: "x".repeat(PROGRESS_BYTES),
                chunk_bytes: vec![4; PROGRESS_BYTES / 4],
                tokens: (progress + 1) * ANSWER_TOKENS / PROGRESS_EVENTS,
            }));
        }
        let finish = peer::Finish {
            reason: "stop".to_owned(),
            completion_tokens: ANSWER_TOKENS,
            ..Default::default()
        };
        let outcome = event::ModelOutcome::Finished(finish);
        self.handle(event::Event::Endpoint(event::EndpointEvent::ModelEnded { attempt, outcome }));
    }
}

/// CPU time that `requests` take from arrival to outcome. The virtual clock advances 1 ms a request;
/// the node does not tick.
fn measure_requests(endpoints: u32, requests: u32) -> anyhow::Result<Duration> {
    let mut harness = NodeHarness::new(endpoints);
    harness.now += Duration::from_secs(5);
    harness.tick();
    let started = process::cpu_time()?;
    for number in 1..=requests {
        harness.submit_request(number);
        harness.now += Duration::from_millis(1);
        if number > CONCURRENT_REQUESTS {
            harness.finish_request();
        }
    }
    while !harness.running_attempts.is_empty() {
        harness.finish_request();
    }
    let used = process::cpu_time()? - started;
    let answered = harness.node.counters().model_answered;
    anyhow::ensure!(
        answered == u64::from(requests),
        "expected {requests} answered requests, got {answered}"
    );
    Ok(used)
}

/// CPU time of a node without requests that ticks each 10 ms and gets an instance list each second.
fn measure_idle(endpoints: u32) -> anyhow::Result<Duration> {
    let mut harness = NodeHarness::new(endpoints);
    let started = process::cpu_time()?;
    for tick in 0..IDLE_S * 100 {
        harness.now += Duration::from_millis(10);
        harness.tick();
        if tick.is_multiple_of(100) {
            harness.set_endpoints(endpoints);
        }
    }
    Ok(process::cpu_time()? - started)
}
