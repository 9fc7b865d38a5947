//! `node`: CPU time of one node's decisions against requests and endpoints.
//!
//! One whole node is fed calls, marks and ends as its threads would feed it;
//! actions are thrown away. Sockets, HTTP and JSON are not in it.

use std::time::Duration;

use argh::FromArgs;
use proofs::fake_engine::Engine;
use proofs::{fake_node, node_setup};
use rhubarbrock::{action, event, node};
use rhubarbrock_schema::peer;

use crate::{fit, process};

/// Requests at a time in the measured state.
const CONCURRENT: u32 = 60;

/// Tokens of an answer.
const ANSWER_TOKENS: u32 = 450;

/// Marks of an answer: one each 200 ms at 32 ms a token.
const MARKS: u32 = 72;

/// Bytes of text in one mark.
const MARK_BYTES: usize = 25;

/// Seconds of ticks for one measurement of the idle node.
const IDLE_S: u32 = 60;

/// measure one node's decisions
#[derive(FromArgs)]
#[argh(subcommand, name = "node")]
pub(crate) struct NodeCost {}

impl NodeCost {
    /// Prints the tables.
    pub(crate) fn run(&self) -> anyhow::Result<()> {
        let requests = [500, 1_000, 2_000, 4_000];
        let mut cpu_ms = Vec::new();
        for count in requests {
            cpu_ms.push(serve(75, count)?.as_secs_f64() * 1e3);
        }
        let column = fit::Column { name: "CPU of requests, ms", values: cpu_ms };
        fit::print("requests, at 75 endpoints", "requests", &requests, &[column]);

        let endpoints = [75, 150, 300, 600];
        let mut request_us = Vec::new();
        let mut idle_us = Vec::new();
        for count in endpoints {
            request_us.push(serve(count, 1_000)?.as_secs_f64() * 1e6 / 1_000.0);
            idle_us.push(idle(count)?.as_secs_f64() * 1e6 / f64::from(IDLE_S));
        }
        let columns = [
            fit::Column { name: "CPU a request, us", values: request_us },
            fit::Column { name: "CPU a second without requests, us", values: idle_us },
        ];
        fit::print("endpoints, 1,000 requests", "endpoints", &endpoints, &columns);
        Ok(())
    }
}

/// A node with one release and a list of endpoints.
struct Bed {
    node: node::Node,
    now: Duration,
    running: Vec<action::ModelAttempt>,
}

impl Bed {
    fn new(endpoints: u32) -> Bed {
        let config = node_setup::node_config(0, 1, 7, Duration::ZERO);
        let mut bed = Bed { node: node::Node::new(config), now: Duration::ZERO, running: vec![] };
        let wall = bed.wall();
        bed.node.start(bed.now, wall);
        let record = event::Record { offset: 1, time: wall, data: node_setup::release_note() };
        bed.handle(event::Event::Platform(event::PlatformEvent::Records(event::RecordPage {
            topic: event::Topic::Release,
            records: vec![record],
            next_offset: 2,
            oldest_offset: 1,
            end_offset: 2,
        })));
        bed.list(endpoints);
        bed
    }

    fn wall(&self) -> Duration {
        Duration::from_secs(1_700_000_000) + self.now
    }

    fn list(&mut self, endpoints: u32) {
        let instances = (0..endpoints)
            .map(|index| {
                let engine = Engine::new(100 + u64::from(index), index as usize % 3);
                let address = fake_node::address(10_000 + index as u16);
                node_setup::engine_instance(&engine, event::InstanceState::Live, address)
            })
            .collect();
        let list = event::InstanceList { taken_at: self.wall(), instances };
        self.handle(event::Event::Platform(event::PlatformEvent::Instances(list)));
    }

    fn handle(&mut self, event: event::Event) {
        let actions = self.node.handle(self.now, self.wall(), event);
        self.take(actions);
    }

    fn tick(&mut self) {
        let actions = self.node.tick(self.now, self.wall());
        self.take(actions);
    }

    fn take(&mut self, actions: Vec<action::Action>) {
        for action in actions {
            if let action::Action::StartModel(attempt) = action {
                self.running.push(*attempt);
            }
        }
    }

    fn ask(&mut self, number: u32) {
        let body = node_setup::request_body(number as usize);
        let call =
            node_setup::model_call(u64::from(number), body, ANSWER_TOKENS, u128::from(number));
        self.handle(event::Event::Caller(call));
    }

    /// Brings one running request to its end.
    fn answer(&mut self) {
        let Some(attempt) = self.running.pop() else { return };
        let attempt = attempt.attempt;
        self.handle(event::Event::Endpoint(event::EndpointEvent::FirstToken { attempt }));
        for mark in 0..MARKS {
            self.handle(event::Event::Endpoint(event::EndpointEvent::Progress {
                attempt,
                offset: u64::from(mark) * MARK_BYTES as u64,
                text: "x".repeat(MARK_BYTES),
                chunk_bytes: vec![4; MARK_BYTES / 4],
                tokens: (mark + 1) * ANSWER_TOKENS / MARKS,
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

/// CPU time for requests with their marks and ends; virtual time stands still but for ticks.
fn serve(endpoints: u32, requests: u32) -> anyhow::Result<Duration> {
    let mut bed = Bed::new(endpoints);
    bed.now += Duration::from_secs(5);
    bed.tick();
    let started = process::cpu_time()?;
    for number in 1..=requests {
        bed.ask(number);
        bed.now += Duration::from_millis(1);
        if number > CONCURRENT {
            bed.answer();
        }
    }
    while !bed.running.is_empty() {
        bed.answer();
    }
    let used = process::cpu_time()? - started;
    let answered = bed.node.counters().model_answered;
    anyhow::ensure!(answered == u64::from(requests), "{answered} of {requests} were answered");
    Ok(used)
}

/// CPU time of a node that only ticks, each 10 ms.
fn idle(endpoints: u32) -> anyhow::Result<Duration> {
    let mut bed = Bed::new(endpoints);
    let started = process::cpu_time()?;
    for tick in 0..IDLE_S * 100 {
        bed.now += Duration::from_millis(10);
        bed.tick();
        if tick.is_multiple_of(100) {
            bed.list(endpoints);
        }
    }
    Ok(process::cpu_time()? - started)
}
