//! A world of whole nodes: its fake platform, engines, desk and network.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rhubarbrock::{action, event, id};

use crate::fake_callers::RequestSpec;
use crate::fake_engine;
use crate::fake_node::{Slot, address};
use crate::node_simulation::{Asker, Due, MAX_DISPATCH_AFTER_NOTICE, Simulation, WALL};
use crate::{Violation, node_setup};

/// Time between a node's readings of the log.
const LOG_INTERVAL: Duration = Duration::from_millis(40);

/// Time between a node's readings of the endpoints' load.
const LOAD_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time between a node's readings of the list.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);

/// Lag of the list.
const LIST_LAG: Duration = Duration::from_secs(4);

/// Time after which a call between nodes counts as failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

impl Simulation {
    pub(crate) fn read_log(&mut self, slot: usize, process: u64) -> Result<(), Violation> {
        if !self.slots[slot].runs_process(process) {
            return Ok(());
        }
        self.after(LOG_INTERVAL, Due::ReadLog { slot, process });
        if self.slots[slot].is_paused() {
            return Ok(());
        }
        let is_up = self.topics.is_available(self.now);
        for topic in [event::Topic::Release, event::Topic::Claims] {
            let Some(from) = self.slots[slot].position(topic) else { continue };
            let told = if is_up {
                let page = self.topics.read(topic, from);
                let is_first = !self.slots[slot].has_read(topic);
                if page.records.is_empty() && !is_first && !self.slots[slot].was_unavailable(topic)
                {
                    continue;
                }
                self.slots[slot].set_position(topic, page.next_offset);
                event::PlatformEvent::Records(page)
            } else {
                if self.slots[slot].was_unavailable(topic) {
                    continue;
                }
                self.slots[slot].set_unavailable(topic);
                event::PlatformEvent::ReadFailed { topic }
            };
            self.deliver(slot, process, event::Event::Platform(told))?;
        }
        Ok(())
    }

    pub(crate) fn read_load(&mut self, slot: usize, process: u64) -> Result<(), Violation> {
        if !self.slots[slot].runs_process(process) {
            return Ok(());
        }
        self.after(LOAD_INTERVAL, Due::ReadLoad { slot, process });
        if self.slots[slot].is_paused() {
            return Ok(());
        }
        for endpoint in self.slots[slot].watched.clone() {
            let running = self.attempts_at(endpoint);
            let now = self.now;
            let told = match self.engines.get_mut(&endpoint) {
                Some(engine) if engine.is_up(now) => {
                    event::EndpointEvent::Load(engine.load_report(now, running))
                }
                _ => event::EndpointEvent::LoadFailed { endpoint },
            };
            self.deliver(slot, process, event::Event::Endpoint(told))?;
        }
        Ok(())
    }

    pub(crate) fn attempts_at(&self, endpoint: id::EndpointId) -> u32 {
        self.slots.iter().map(|slot| slot.attempts_at(endpoint)).sum()
    }

    pub(crate) fn read_list(&mut self, slot: usize, process: u64) -> Result<(), Violation> {
        if !self.slots[slot].runs_process(process) {
            return Ok(());
        }
        self.after(LIST_INTERVAL, Due::ReadList { slot, process });
        if self.slots[slot].is_paused() {
            return Ok(());
        }
        let told = if self.now < self.list_down_until {
            event::PlatformEvent::InstancesFailed
        } else {
            event::PlatformEvent::Instances(self.list())
        };
        self.deliver(slot, process, event::Event::Platform(told))
    }

    pub(crate) fn list(&self) -> event::InstanceList {
        let at = self.now.saturating_sub(LIST_LAG);
        let mut instances = Vec::new();
        for engine in self.engines.values() {
            let address = address(10_000 + engine.endpoint as u16);
            instances.push(node_setup::engine_instance(engine, engine.list_state(at), address));
        }
        instances.push(node_setup::order_service_instance(self.desk()));
        for slot in self.slots.iter().filter(|slot| slot.is_running()) {
            instances.push(node_setup::entry_instance(slot.instance, slot.index));
        }
        event::InstanceList { taken_at: WALL + at, instances }
    }

    pub(crate) fn perform(
        &mut self,
        slot: usize,
        process: u64,
        actions: Vec<action::Action>,
    ) -> Result<(), Violation> {
        for action in actions {
            self.perform_one(slot, process, action)?;
        }
        Ok(())
    }

    pub(crate) fn perform_one(
        &mut self,
        slot: usize,
        process: u64,
        action: action::Action,
    ) -> Result<(), Violation> {
        match action {
            action::Action::Refuse { call, refusal } => {
                self.refused(slot, process, call, refusal)?;
            }
            action::Action::Attach { call, request, .. } => {
                self.attached(slot, process, call, request);
            }
            action::Action::Relay { call, request, nodes, .. } => {
                self.relayed(slot, process, call, request, nodes);
            }
            action::Action::AnswerPlain { call, .. } => self.order_answered(slot, process, call),
            action::Action::OpenAnswer(open) => self.slots[slot].open_answer(&open.record),
            action::Action::FinishAnswer { request, finish } => {
                self.slots[slot].finish_answer(request, finish);
            }
            action::Action::MoveAnswer { request, .. } | action::Action::DropAnswer { request } => {
                self.slots[slot].answers.remove(&request);
            }
            action::Action::StartModel(attempt) => self.start_model(slot, process, *attempt)?,
            action::Action::StartPlain(attempt) => self.start_plain(slot, process, &attempt),
            action::Action::Cancel { attempt } => self.cancel(slot, process, attempt),
            action::Action::Watch { endpoints } => {
                self.slots[slot].watched =
                    endpoints.into_iter().map(|watched| watched.endpoint).collect();
            }
            action::Action::Append { append, topic, record } => {
                self.append(slot, process, append, topic, record);
            }
            action::Action::ReadFrom { topic, offset } => {
                self.slots[slot].set_position(topic, offset);
            }
            action::Action::SendDatagram { to, datagram } => {
                let from = address(Slot::port(slot));
                self.send(to, event::PeerEvent::Datagram { from, datagram });
            }
            action::Action::SendStore { to, number, call } => {
                let asker = Asker::Store { slot, process, number };
                self.call(asker, to.address, |rpc| event::PeerEvent::Store { rpc, call });
            }
            action::Action::SendProgress { to, number, call } => {
                let asker = Asker::Progress { slot, process, to: to.node, number };
                self.call(asker, to.address, |rpc| event::PeerEvent::Progress { rpc, call });
            }
            action::Action::FetchRelease { to } => {
                let asker = Asker::Release { slot, process };
                self.call(asker, to.address, |rpc| event::PeerEvent::ReleaseFetch { rpc });
            }
            action::Action::Reply { rpc, reply } => self.replied(rpc, reply)?,
            action::Action::SetReady(ready) => self.slots[slot].is_ready = ready,
            action::Action::Stop => self.stop(slot, process)?,
            action::Action::Log { message, .. } => {
                if self.options.prints_log {
                    eprintln!("{:>8} ms node {slot}: {message}", self.now.as_millis());
                }
            }
            action::Action::AnswerServices { .. } | action::Action::CloseIdle => {}
        }
        Ok(())
    }

    pub(crate) fn stop(&mut self, slot: usize, process: u64) -> Result<(), Violation> {
        let unfinished_requests = self.slots[slot].unfinished_requests();
        if unfinished_requests > 0 {
            let description =
                format!("node {slot} stops while it runs {unfinished_requests} requests");
            return Err(self.violation(description));
        }
        self.kill(slot, process);
        let wait = Duration::from_millis(self.rng.random_range(500..5_000));
        self.after(wait, Due::Start { slot });
        Ok(())
    }

    pub(crate) fn latency(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(300..12_000))
    }

    pub(crate) fn is_lost(&mut self) -> bool {
        self.rng.random_range(0..100) < self.options.loss_percent
    }

    /// A message to whoever runs at an address; it may be lost.
    pub(crate) fn send(&mut self, to: SocketAddr, message: event::PeerEvent) {
        if self.is_lost() {
            return;
        }
        if let Some(slot) = Slot::at_port(&self.slots, to.port()) {
            let process = self.slots[slot].process;
            let wait = self.latency();
            let event = Box::new(event::Event::Peer(message));
            self.after(wait, Due::Deliver { slot, process, event });
        }
    }

    pub(crate) fn call(
        &mut self,
        asker: Asker,
        to: SocketAddr,
        question: impl FnOnce(event::RpcId) -> event::PeerEvent,
    ) {
        let rpc = self.next_rpc;
        self.next_rpc += 1;
        self.rpcs.insert(rpc, asker);
        let is_there = Slot::at_port(&self.slots, to.port()).is_some();
        self.send(to, question(rpc));
        let timeout = if is_there { CALL_TIMEOUT } else { Duration::from_millis(5) };
        self.after(timeout, Due::CallTimeout { rpc });
    }

    pub(crate) fn replied(
        &mut self,
        rpc: event::RpcId,
        reply: event::Reply,
    ) -> Result<(), Violation> {
        if self.is_lost() {
            return Ok(());
        }
        let Some(asker) = self.rpcs.remove(&rpc) else { return Ok(()) };
        self.told(asker, Some(reply))
    }

    pub(crate) fn call_failed(&mut self, rpc: event::RpcId) -> Result<(), Violation> {
        let Some(asker) = self.rpcs.remove(&rpc) else { return Ok(()) };
        self.told(asker, None)
    }

    pub(crate) fn told(
        &mut self,
        asker: Asker,
        reply: Option<event::Reply>,
    ) -> Result<(), Violation> {
        let (slot, process, told) = match (asker, reply) {
            (Asker::Reader { caller, offset, rest }, reply) => {
                return self.found(caller, offset, rest, reply);
            }
            (Asker::Store { slot, process, number }, Some(event::Reply::Store(reply))) => {
                let reply = Some(reply);
                (slot, process, event::PeerEvent::StoreReplied { number, reply })
            }
            (Asker::Store { slot, process, number }, _) => {
                (slot, process, event::PeerEvent::StoreReplied { number, reply: None })
            }
            (Asker::Progress { slot, process, to, number }, reply) => {
                let reply = match reply {
                    Some(event::Reply::Progress(reply)) => Some(reply),
                    _ => None,
                };
                (slot, process, event::PeerEvent::ProgressReplied { to, number, reply })
            }
            (Asker::Release { slot, process }, reply) => {
                let reply = match reply {
                    Some(event::Reply::Release(reply)) => Some(reply),
                    _ => None,
                };
                (slot, process, event::PeerEvent::ReleaseFetched { reply })
            }
        };
        let wait = self.latency();
        let event = Box::new(event::Event::Peer(told));
        self.after(wait, Due::Deliver { slot, process, event });
        Ok(())
    }

    pub(crate) fn append(
        &mut self,
        slot: usize,
        process: u64,
        append: event::AppendId,
        topic: event::Topic,
        record: Vec<u8>,
    ) {
        let is_answer_lost = self.rng.random_range(0..100) < 2 * self.options.loss_percent;
        let outcome = if !self.topics.is_available(self.now) {
            event::AppendOutcome::Failed
        } else {
            let offset = self.topics.append(WALL + self.now, topic, record);
            if is_answer_lost {
                event::AppendOutcome::Unknown
            } else {
                event::AppendOutcome::At(offset)
            }
        };
        let wait = self.latency();
        let told = event::PlatformEvent::Appended { append, outcome };
        let event = Box::new(event::Event::Platform(told));
        self.after(wait, Due::Deliver { slot, process, event });
    }

    pub(crate) fn check_leaving(
        &self,
        slot: usize,
        endpoint: id::EndpointId,
    ) -> Result<(), Violation> {
        let Some(engine) = self.engines.get(&endpoint) else { return Ok(()) };
        let late = engine.notice_at.filter(|notice| self.now > *notice + MAX_DISPATCH_AFTER_NOTICE);
        match late {
            Some(notice)
                if self.slots[slot].unpaused_duration(self.now) > MAX_DISPATCH_AFTER_NOTICE =>
            {
                let age = self.now - notice;
                let description = format!(
                    "node {slot} sends new work to endpoint {endpoint} {} ms after its notice",
                    age.as_millis()
                );
                Err(self.violation(description))
            }
            _ => Ok(()),
        }
    }

    pub(crate) fn start_model(
        &mut self,
        slot: usize,
        process: u64,
        attempt: action::ModelAttempt,
    ) -> Result<(), Violation> {
        self.check_leaving(slot, attempt.endpoint)?;
        let engine = self.engines.get(&attempt.endpoint);
        let refusal = match engine {
            Some(engine) if !engine.is_up(self.now) => {
                Some(event::ModelOutcome::NotSent { message: "connection refused".to_owned() })
            }
            Some(engine) if engine.is_leaving(self.now) => {
                Some(event::ModelOutcome::Refused { retry_after: None })
            }
            Some(_) => None,
            None => Some(event::ModelOutcome::NotSent { message: "no such endpoint".to_owned() }),
        };
        let number = attempt.attempt;
        if let Some(outcome) = refusal {
            let told = event::EndpointEvent::ModelEnded { attempt: number, outcome };
            let wait = self.latency();
            let event = Box::new(event::Event::Endpoint(told));
            self.after(wait, Due::Deliver { slot, process, event });
            return Ok(());
        }
        self.slots[slot].start_attempt(attempt);
        let wait = self.latency() + fake_engine::TOKEN_INTERVAL;
        self.after(wait, Due::Token { slot, process, attempt: number });
        Ok(())
    }

    pub(crate) fn cancel(&mut self, slot: usize, process: u64, attempt: id::AttemptId) {
        if self.slots[slot].attempts.remove(&attempt).is_some() {
            let told = event::EndpointEvent::ModelEnded {
                attempt,
                outcome: event::ModelOutcome::Cancelled,
            };
            let event = Box::new(event::Event::Endpoint(told));
            self.after(Duration::from_millis(1), Due::Deliver { slot, process, event });
        }
    }

    /// An attempt's next token.
    pub(crate) fn generate(
        &mut self,
        slot: usize,
        process: u64,
        attempt: id::AttemptId,
    ) -> Result<(), Violation> {
        if !self.slots[slot].runs_process(process) {
            return Ok(());
        }
        if self.slots[slot].is_paused() {
            self.after(fake_engine::TOKEN_INTERVAL, Due::Token { slot, process, attempt });
            return Ok(());
        }
        let Some(endpoint) = self.slots[slot].attempts.get(&attempt).map(|a| a.endpoint) else {
            return Ok(());
        };
        let is_up = self.engines.get(&endpoint).is_some_and(|engine| engine.is_up(self.now));
        if !is_up {
            if let Some(broken) = self.slots[slot].attempts.remove(&attempt) {
                *self.broken.entry(broken.request).or_default() += 1;
            }
            let outcome = event::ModelOutcome::Broken { message: "connection reset".to_owned() };
            let told = event::EndpointEvent::ModelEnded { attempt, outcome };
            return self.deliver(slot, process, event::Event::Endpoint(told));
        }
        let generated = self.slots[slot].generate_token(attempt);
        self.report.generated_tokens += 1;
        for told in generated.events {
            self.deliver(slot, process, event::Event::Endpoint(told))?;
        }
        if !generated.is_finished {
            self.after(fake_engine::TOKEN_INTERVAL, Due::Token { slot, process, attempt });
        }
        Ok(())
    }

    pub(crate) fn start_plain(
        &mut self,
        slot: usize,
        process: u64,
        attempt: &action::PlainAttempt,
    ) {
        let key = attempt.idempotency_key.clone().unwrap_or_default();
        let wait = Duration::from_millis(self.rng.random_range(1..400));
        let is_lost = self.rng.random_range(0..100) < 2 * self.options.loss_percent;
        let attempt = attempt.attempt;
        self.after(wait, Due::DeskAnswer { slot, process, attempt, key, is_lost });
    }

    /// The desk runs a call, whatever became of the node that sent it.
    pub(crate) fn desk_answer(
        &mut self,
        slot: usize,
        process: u64,
        attempt: id::AttemptId,
        key: &str,
        is_lost: bool,
    ) -> Result<(), Violation> {
        let runs = self.runs.entry(key.to_owned()).or_default();
        *runs += 1;
        let runs = *runs;
        if runs > 1 {
            return Err(self.violation(format!("order {key} ran {runs} times")));
        }
        for caller in self.callers.by_id.values() {
            let is_this = caller.spec == RequestSpec::Order { key: key.to_owned() };
            let refusal = caller.refusal.as_ref().filter(|_| is_this);
            if refusal.is_some_and(|refusal| refusal.outcome == action::Outcome::NotRun) {
                return Err(self.violation(format!("order {key} ran after it was told not run")));
            }
        }
        let outcome = if is_lost {
            event::PlainOutcome::Unknown { message: "connection reset".to_owned() }
        } else {
            let body = format!("confirmed {key}").into_bytes();
            event::PlainOutcome::Answered(event::PlainAnswer {
                status: 200,
                content_type: "text/plain".to_owned(),
                body,
            })
        };
        let told = event::EndpointEvent::PlainEnded { attempt, outcome };
        self.deliver(slot, process, event::Event::Endpoint(told))
    }

    /// Gives nodes notice of instances, each after its own delay, once the platform is up.
    pub(crate) fn announce(&mut self, notices: Vec<event::Notice>) {
        for slot in 0..self.slots.len() {
            if !self.slots[slot].is_running() {
                continue;
            }
            let process = self.slots[slot].process;
            let wait = Duration::from_millis(self.rng.random_range(1..600));
            let told = event::PlatformEvent::Notices(notices.clone());
            let event = Box::new(event::Event::Platform(told));
            // While the platform is down, notices are not heard either.
            let when = self.list_down_until.max(self.now) + wait;
            self.at(when, Due::Deliver { slot, process, event });
        }
    }
}
