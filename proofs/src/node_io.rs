//! Node simulation: platform, engines, order service and network.

mod orders;

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rhubarbrock::{action, event, id};

use crate::fake_engine;
use crate::fake_node::{Slot, address};
use crate::node_simulation::{
    MAX_DISPATCH_AFTER_NOTICE, RpcOrigin, ScheduledEvent, Simulation, WALL_CLOCK_START,
};
use crate::{Violation, node_setup};

/// Time between a node's reads of the log.
const LOG_INTERVAL: Duration = Duration::from_millis(40);

/// Time between a node's reads of the endpoints' load reports.
const LOAD_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time between a node's reads of the instance list.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);

/// Age of the instance list.
const LIST_LAG: Duration = Duration::from_secs(4);

/// Timeout of a call between nodes.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

impl Simulation {
    pub(crate) fn read_log(&mut self, slot: usize, process: u64) -> Result<(), Violation> {
        if !self.slots[slot].runs_process(process) {
            return Ok(());
        }
        self.schedule_after(LOG_INTERVAL, ScheduledEvent::ReadLog { slot, process });
        if self.slots[slot].is_paused() {
            return Ok(());
        }
        let is_up = self.topics.is_available(self.now);
        for topic in [event::Topic::Release, event::Topic::Claims] {
            let Some(from) = self.slots[slot].position(topic) else { continue };
            let platform_event = if is_up {
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
            self.deliver(slot, process, event::Event::Platform(platform_event))?;
        }
        Ok(())
    }

    pub(crate) fn read_load(&mut self, slot: usize, process: u64) -> Result<(), Violation> {
        if !self.slots[slot].runs_process(process) {
            return Ok(());
        }
        self.schedule_after(LOAD_INTERVAL, ScheduledEvent::ReadLoad { slot, process });
        if self.slots[slot].is_paused() {
            return Ok(());
        }
        for endpoint in self.slots[slot].watched.clone() {
            let running = self.attempts_at(endpoint);
            let now = self.now;
            let endpoint_event = match self.engines.get_mut(&endpoint) {
                Some(engine) if engine.is_up(now) => {
                    event::EndpointEvent::Load(engine.load_report(now, running))
                }
                _ => event::EndpointEvent::LoadFailed { endpoint },
            };
            self.deliver(slot, process, event::Event::Endpoint(endpoint_event))?;
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
        self.schedule_after(LIST_INTERVAL, ScheduledEvent::ReadList { slot, process });
        if self.slots[slot].is_paused() {
            return Ok(());
        }
        let platform_event = if self.now < self.list_down_until {
            event::PlatformEvent::InstancesFailed
        } else {
            event::PlatformEvent::Instances(self.instance_list())
        };
        self.deliver(slot, process, event::Event::Platform(platform_event))
    }

    pub(crate) fn instance_list(&self) -> event::InstanceList {
        let at = self.now.saturating_sub(LIST_LAG);
        let mut instances = Vec::new();
        for engine in self.engines.values() {
            let address = address(10_000 + engine.endpoint as u16);
            instances.push(node_setup::engine_instance(engine, engine.list_state(at), address));
        }
        instances.push(node_setup::order_service_instance(self.order_service()));
        for slot in self.slots.iter().filter(|slot| slot.is_running()) {
            instances.push(node_setup::entry_instance(slot.instance, slot.index));
        }
        event::InstanceList { taken_at: WALL_CLOCK_START + at, instances }
    }

    pub(crate) fn perform(
        &mut self,
        slot: usize,
        process: u64,
        actions: Vec<action::Action>,
    ) -> Result<(), Violation> {
        for action in actions {
            self.perform_action(slot, process, action)?;
        }
        Ok(())
    }

    pub(crate) fn perform_action(
        &mut self,
        slot: usize,
        process: u64,
        action: action::Action,
    ) -> Result<(), Violation> {
        match action {
            action::Action::Refuse { call, refusal } => {
                self.on_refused(slot, process, call, refusal)?;
            }
            action::Action::Attach { call, request, .. } => {
                self.on_attached(slot, process, call, request);
            }
            action::Action::Relay { call, request, nodes, .. } => {
                self.on_relayed(slot, process, call, request, nodes);
            }
            action::Action::AnswerPlain { call, .. } => self.on_order_answered(slot, process, call),
            action::Action::OpenAnswer(open) => self.slots[slot].open_answer(&open.record),
            action::Action::FinishAnswer { request, finish } => {
                self.slots[slot].finish_answer(request, finish);
            }
            action::Action::MoveAnswer { request, .. } | action::Action::DropAnswer { request } => {
                self.slots[slot].answers.remove(&request);
            }
            action::Action::StartModel(attempt) => {
                self.start_model_attempt(slot, process, *attempt)?
            }
            action::Action::StartPlain(attempt) => {
                self.start_plain_attempt(slot, process, &attempt)
            }
            action::Action::Cancel { attempt } => self.cancel_attempt(slot, process, attempt),
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
                self.send_message(to, event::PeerEvent::Datagram { from, datagram });
            }
            action::Action::SendStore { to, number, call } => {
                let origin = RpcOrigin::Store { slot, process, number };
                self.send_rpc(origin, to.address, |rpc| event::PeerEvent::Store { rpc, call });
            }
            action::Action::SendProgress { to, number, call } => {
                let origin = RpcOrigin::Progress { slot, process, to: to.node, number };
                self.send_rpc(origin, to.address, |rpc| event::PeerEvent::Progress { rpc, call });
            }
            action::Action::FetchRelease { to } => {
                let origin = RpcOrigin::Release { slot, process };
                self.send_rpc(origin, to.address, |rpc| event::PeerEvent::ReleaseFetch { rpc });
            }
            action::Action::Reply { rpc, reply } => self.on_rpc_reply(rpc, reply)?,
            action::Action::SetReady(ready) => self.slots[slot].is_ready = ready,
            action::Action::Stop => self.stop_process(slot, process)?,
            action::Action::Log { message, .. } => {
                if self.options.prints_log {
                    eprintln!("{:>8} ms node {slot}: {message}", self.now.as_millis());
                }
            }
            action::Action::AnswerServices { .. } | action::Action::CloseIdle => {}
        }
        Ok(())
    }

    pub(crate) fn stop_process(&mut self, slot: usize, process: u64) -> Result<(), Violation> {
        let unfinished_requests = self.slots[slot].unfinished_requests();
        if unfinished_requests > 0 {
            let description =
                format!("node {slot} stopped with {unfinished_requests} unfinished requests");
            return Err(self.violation(description));
        }
        self.kill_process(slot, process);
        let wait = Duration::from_millis(self.rng.random_range(500..5_000));
        self.schedule_after(wait, ScheduledEvent::StartProcess { slot });
        Ok(())
    }

    pub(crate) fn draw_latency(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(300..12_000))
    }

    pub(crate) fn draw_loss(&mut self) -> bool {
        self.rng.random_range(0..100) < self.options.loss_percent
    }

    /// Sends a message to the node at an address; the message may be lost.
    pub(crate) fn send_message(&mut self, to: SocketAddr, message: event::PeerEvent) {
        if self.draw_loss() {
            return;
        }
        if let Some(slot) = Slot::at_port(&self.slots, to.port()) {
            let process = self.slots[slot].process;
            let wait = self.draw_latency();
            let event = Box::new(event::Event::Peer(message));
            self.schedule_after(wait, ScheduledEvent::Deliver { slot, process, event });
        }
    }

    pub(crate) fn send_rpc(
        &mut self,
        origin: RpcOrigin,
        to: SocketAddr,
        build_event: impl FnOnce(event::RpcId) -> event::PeerEvent,
    ) {
        let rpc = self.next_rpc;
        self.next_rpc += 1;
        self.pending_rpcs.insert(rpc, origin);
        let is_reachable = Slot::at_port(&self.slots, to.port()).is_some();
        self.send_message(to, build_event(rpc));
        let timeout = if is_reachable { CALL_TIMEOUT } else { Duration::from_millis(5) };
        self.schedule_after(timeout, ScheduledEvent::CallTimeout { rpc });
    }

    pub(crate) fn on_rpc_reply(
        &mut self,
        rpc: event::RpcId,
        reply: event::Reply,
    ) -> Result<(), Violation> {
        if self.draw_loss() {
            return Ok(());
        }
        let Some(origin) = self.pending_rpcs.remove(&rpc) else { return Ok(()) };
        self.complete_rpc(origin, Some(reply))
    }

    pub(crate) fn on_rpc_timeout(&mut self, rpc: event::RpcId) -> Result<(), Violation> {
        let Some(origin) = self.pending_rpcs.remove(&rpc) else { return Ok(()) };
        self.complete_rpc(origin, None)
    }

    pub(crate) fn complete_rpc(
        &mut self,
        origin: RpcOrigin,
        reply: Option<event::Reply>,
    ) -> Result<(), Violation> {
        let (slot, process, peer_event) = match (origin, reply) {
            (RpcOrigin::Find { caller, offset, remaining_nodes }, reply) => {
                return self.on_find_reply(caller, offset, remaining_nodes, reply);
            }
            (RpcOrigin::Store { slot, process, number }, Some(event::Reply::Store(reply))) => {
                let reply = Some(reply);
                (slot, process, event::PeerEvent::StoreReplied { number, reply })
            }
            (RpcOrigin::Store { slot, process, number }, _) => {
                (slot, process, event::PeerEvent::StoreReplied { number, reply: None })
            }
            (RpcOrigin::Progress { slot, process, to, number }, reply) => {
                let reply = match reply {
                    Some(event::Reply::Progress(reply)) => Some(reply),
                    _ => None,
                };
                (slot, process, event::PeerEvent::ProgressReplied { to, number, reply })
            }
            (RpcOrigin::Release { slot, process }, reply) => {
                let reply = match reply {
                    Some(event::Reply::Release(reply)) => Some(reply),
                    _ => None,
                };
                (slot, process, event::PeerEvent::ReleaseFetched { reply })
            }
        };
        let wait = self.draw_latency();
        let event = Box::new(event::Event::Peer(peer_event));
        self.schedule_after(wait, ScheduledEvent::Deliver { slot, process, event });
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
            let offset = self.topics.append(WALL_CLOCK_START + self.now, topic, record);
            if is_answer_lost {
                event::AppendOutcome::Unknown
            } else {
                event::AppendOutcome::At(offset)
            }
        };
        let wait = self.draw_latency();
        let platform_event = event::PlatformEvent::Appended { append, outcome };
        let event = Box::new(event::Event::Platform(platform_event));
        self.schedule_after(wait, ScheduledEvent::Deliver { slot, process, event });
    }

    pub(crate) fn check_no_work_after_notice(
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
                    "node {slot} sent new work to endpoint {endpoint} {} ms after its notice",
                    age.as_millis()
                );
                Err(self.violation(description))
            }
            _ => Ok(()),
        }
    }

    pub(crate) fn start_model_attempt(
        &mut self,
        slot: usize,
        process: u64,
        attempt: action::ModelAttempt,
    ) -> Result<(), Violation> {
        self.check_no_work_after_notice(slot, attempt.endpoint)?;
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
            let endpoint_event = event::EndpointEvent::ModelEnded { attempt: number, outcome };
            let wait = self.draw_latency();
            let event = Box::new(event::Event::Endpoint(endpoint_event));
            self.schedule_after(wait, ScheduledEvent::Deliver { slot, process, event });
            return Ok(());
        }
        self.slots[slot].start_attempt(attempt);
        let wait = self.draw_latency() + fake_engine::TOKEN_INTERVAL;
        self.schedule_after(wait, ScheduledEvent::GenerateToken { slot, process, attempt: number });
        Ok(())
    }

    pub(crate) fn cancel_attempt(&mut self, slot: usize, process: u64, attempt: id::AttemptId) {
        if self.slots[slot].attempts.remove(&attempt).is_some() {
            let endpoint_event = event::EndpointEvent::ModelEnded {
                attempt,
                outcome: event::ModelOutcome::Cancelled,
            };
            let event = Box::new(event::Event::Endpoint(endpoint_event));
            self.schedule_after(
                Duration::from_millis(1),
                ScheduledEvent::Deliver { slot, process, event },
            );
        }
    }

    /// Generates the next token of an attempt.
    pub(crate) fn generate_token(
        &mut self,
        slot: usize,
        process: u64,
        attempt: id::AttemptId,
    ) -> Result<(), Violation> {
        if !self.slots[slot].runs_process(process) {
            return Ok(());
        }
        if self.slots[slot].is_paused() {
            self.schedule_after(
                fake_engine::TOKEN_INTERVAL,
                ScheduledEvent::GenerateToken { slot, process, attempt },
            );
            return Ok(());
        }
        let Some(endpoint) = self.slots[slot].attempts.get(&attempt).map(|a| a.endpoint) else {
            return Ok(());
        };
        let is_up = self.engines.get(&endpoint).is_some_and(|engine| engine.is_up(self.now));
        if !is_up {
            if let Some(broken_attempts) = self.slots[slot].attempts.remove(&attempt) {
                *self.broken_attempts.entry(broken_attempts.request).or_default() += 1;
            }
            let outcome = event::ModelOutcome::Broken { message: "connection reset".to_owned() };
            let endpoint_event = event::EndpointEvent::ModelEnded { attempt, outcome };
            return self.deliver(slot, process, event::Event::Endpoint(endpoint_event));
        }
        let generated = self.slots[slot].generate_token(attempt);
        self.report.generated_tokens += 1;
        for endpoint_event in generated.events {
            self.deliver(slot, process, event::Event::Endpoint(endpoint_event))?;
        }
        if !generated.is_finished {
            self.schedule_after(
                fake_engine::TOKEN_INTERVAL,
                ScheduledEvent::GenerateToken { slot, process, attempt },
            );
        }
        Ok(())
    }

    /// Sends reclaim notices to every node with its own delay, after any current outage of the
    /// instance list.
    pub(crate) fn send_notices(&mut self, notices: Vec<event::Notice>) {
        for slot in 0..self.slots.len() {
            if !self.slots[slot].is_running() {
                continue;
            }
            let process = self.slots[slot].process;
            let wait = Duration::from_millis(self.rng.random_range(1..600));
            let platform_event = event::PlatformEvent::Notices(notices.clone());
            let event = Box::new(event::Event::Platform(platform_event));
            // The platform sends no notices while it is down.
            let when = self.list_down_until.max(self.now) + wait;
            self.schedule_at(when, ScheduledEvent::Deliver { slot, process, event });
        }
    }
}
