//! Simulation of complete nodes under reclaims, crashes, pauses and outages.
//!
//! Every node is a real [`node::Node`]. The simulation performs its actions on
//! fake engines, a fake order service and a fake log, and delays or drops
//! messages. At every step it checks that:
//!
//! - a caller reads only the text of its own request, without a gap or repetition;
//! - an order runs at most once, and never if its caller got the outcome "not run";
//! - an endpoint gets no new work later than 3 s after its reclaim notice;
//! - a terminating node stops only when it has no unfinished requests;
//! - the version of the release in force at a node never decreases.
//!
//! At the end, after a time without faults, every accepted request must be
//! answered in full. Only a request that was running in two endpoint crashes, as
//! a poison request would be, may fail.

mod report;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarbrock::{action, event, id, node};

use crate::fake_callers::{CallerId, Callers, Stage};
use crate::fake_engine::Engine;
use crate::fake_node::Slot;
use crate::fake_topics::Topics;
use crate::{Violation, node_faults, node_setup};

pub use report::Report;

/// Time after the reclaim notice of an endpoint in which nodes may still send it new work.
pub const MAX_DISPATCH_AFTER_NOTICE: Duration = Duration::from_secs(3);

/// Time between ticks of a node.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Time between two reads of an answer by its caller.
pub(crate) const READ_INTERVAL: Duration = Duration::from_millis(100);

/// Unix time at the start of a simulation.
pub(crate) const WALL_CLOCK_START: Duration = Duration::from_secs(1_700_000_000);

/// Settings of a simulation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Number of nodes, spread over three data centres.
    pub nodes: usize,
    /// Number of model engines, spread over three data centres.
    pub engines: usize,
    /// Time in which faults are injected and new callers arrive.
    pub fault_duration: Duration,
    /// Approximate mean time between faults; zero for none.
    pub mean_fault_interval: Duration,
    /// Share of datagrams, calls and replies between nodes that are lost, in percent.
    /// Answers to appends and orders are lost at twice this rate.
    pub loss_percent: u32,
    /// Whether log lines of nodes are printed, to debug a violation.
    pub prints_log: bool,
}

impl Options {
    /// Three to five nodes with every kind of fault.
    pub fn with_faults(seed: u64) -> Options {
        Options {
            nodes: 3 + (seed % 3) as usize,
            engines: 9,
            fault_duration: Duration::from_secs(90),
            mean_fault_interval: Duration::from_secs(6),
            loss_percent: (seed % 4) as u32,
            prints_log: false,
        }
    }

    /// Three nodes without faults.
    pub fn without_faults() -> Options {
        Options {
            nodes: 3,
            engines: 9,
            fault_duration: Duration::from_secs(20),
            mean_fault_interval: Duration::ZERO,
            loss_percent: 0,
            prints_log: false,
        }
    }
}

/// Event scheduled for a simulated time.
#[derive(Debug, Clone)]
pub(crate) enum ScheduledEvent {
    Tick {
        slot: usize,
        process: u64,
    },
    ReadLog {
        slot: usize,
        process: u64,
    },
    ReadLoad {
        slot: usize,
        process: u64,
    },
    ReadList {
        slot: usize,
        process: u64,
    },
    Deliver {
        slot: usize,
        process: u64,
        event: Box<event::Event>,
    },
    GenerateToken {
        slot: usize,
        process: u64,
        attempt: id::AttemptId,
    },
    RunOrder {
        slot: usize,
        process: u64,
        attempt: id::AttemptId,
        key: String,
        is_answer_lost: bool,
    },
    CallTimeout {
        rpc: event::RpcId,
    },
    NewCaller,
    ReadAnswer {
        caller: CallerId,
    },
    InjectFault,
    StartProcess {
        slot: usize,
    },
    KillProcess {
        slot: usize,
        process: u64,
    },
    Terminate {
        slot: usize,
        process: u64,
    },
    ResumeProcess {
        slot: usize,
        process: u64,
    },
    ReplaceEndpoints {
        data_centre: usize,
    },
}

/// Sender of a call between nodes, which receives the reply.
#[derive(Debug, Clone)]
pub(crate) enum RpcOrigin {
    Store { slot: usize, process: u64, number: u64 },
    Progress { slot: usize, process: u64, to: id::NodeId, number: u64 },
    Release { slot: usize, process: u64 },
    Find { caller: CallerId, offset: usize, remaining_nodes: Vec<action::PeerAddress> },
}

/// State of a simulation.
pub struct Simulation {
    pub(crate) seed: u64,
    pub(crate) options: Options,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) now: Duration,
    queue: BTreeMap<(Duration, u64), ScheduledEvent>,
    last_serial: u64,
    pub(crate) slots: Vec<Slot>,
    pub(crate) engines: BTreeMap<id::EndpointId, Engine>,
    pub(crate) topics: Topics,
    pub(crate) list_down_until: Duration,
    pub(crate) callers: Callers,
    pub(crate) order_runs: BTreeMap<String, u32>,
    pub(crate) pending_rpcs: BTreeMap<event::RpcId, RpcOrigin>,
    pub(crate) next_rpc: event::RpcId,
    pub(crate) pending_calls: BTreeMap<(usize, u64, event::CallId), CallerId>,
    pub(crate) next_call: event::CallId,
    pub(crate) last_instance: id::InstanceId,
    pub(crate) faults_over: bool,
    pub(crate) next_loss_allowed_at: Duration,
    pub(crate) report: Report,
    /// Number of attempts lost in endpoint crashes, by request.
    pub(crate) broken_attempts: BTreeMap<id::RequestId, u32>,
}

/// Runs one simulation to its end.
///
/// # Errors
///
/// The first violation of an invariant.
pub fn run(seed: u64, options: Options) -> Result<Report, Violation> {
    let mut simulation = Simulation::new(seed, options);
    simulation.run()?;
    Ok(simulation.report)
}

impl Simulation {
    pub(crate) fn new(seed: u64, options: Options) -> Simulation {
        let mut simulation = Simulation {
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            last_serial: 0,
            slots: Vec::new(),
            engines: BTreeMap::new(),
            topics: Topics::default(),
            list_down_until: Duration::ZERO,
            callers: Callers::default(),
            order_runs: BTreeMap::new(),
            pending_rpcs: BTreeMap::new(),
            next_rpc: 1,
            pending_calls: BTreeMap::new(),
            next_call: 1,
            last_instance: 1,
            faults_over: false,
            next_loss_allowed_at: Duration::ZERO,
            report: Report::default(),
            broken_attempts: BTreeMap::new(),
            options,
        };
        simulation.set_up();
        simulation
    }

    pub(crate) fn set_up(&mut self) {
        for index in 0..self.options.engines {
            let endpoint = self.new_instance();
            self.engines.insert(endpoint, Engine::new(endpoint, index % 3));
        }
        let order_service = self.new_instance();
        assert_eq!(
            order_service,
            self.order_service(),
            "the order service must have the instance id that follows the engines"
        );
        let note = node_setup::release_note();
        self.topics.append(self.now, event::Topic::Release, note);
        for index in 0..self.options.nodes {
            self.slots.push(Slot::new(index));
            self.schedule_at(Duration::ZERO, ScheduledEvent::StartProcess { slot: index });
        }
        self.schedule_at(Duration::from_secs(4), ScheduledEvent::NewCaller);
        if !self.options.mean_fault_interval.is_zero() {
            self.schedule_at(Duration::from_secs(8), ScheduledEvent::InjectFault);
        }
    }

    pub(crate) fn new_instance(&mut self) -> id::InstanceId {
        self.last_instance += 1;
        self.last_instance
    }

    /// Instance of the order service, which never fails.
    pub(crate) fn order_service(&self) -> id::EndpointId {
        self.options.engines as id::EndpointId + 2
    }

    pub(crate) fn schedule_at(&mut self, when: Duration, scheduled: ScheduledEvent) {
        self.last_serial += 1;
        self.queue.insert((when, self.last_serial), scheduled);
    }

    pub(crate) fn schedule_after(&mut self, wait: Duration, scheduled: ScheduledEvent) {
        self.schedule_at(self.now + wait, scheduled);
    }

    pub(crate) fn run(&mut self) -> Result<(), Violation> {
        let fault_free = Duration::from_secs(90);
        let end = self.options.fault_duration + fault_free;
        while let Some(((when, _), scheduled)) = self.queue.pop_first() {
            if when > end {
                break;
            }
            self.now = when;
            self.faults_over = when >= self.options.fault_duration;
            self.process_event(scheduled)?;
        }
        self.check_final_state()
    }

    pub(crate) fn process_event(&mut self, scheduled: ScheduledEvent) -> Result<(), Violation> {
        match scheduled {
            ScheduledEvent::Tick { slot, process } => self.tick(slot, process),
            ScheduledEvent::ReadLog { slot, process } => self.read_log(slot, process),
            ScheduledEvent::ReadLoad { slot, process } => self.read_load(slot, process),
            ScheduledEvent::ReadList { slot, process } => self.read_list(slot, process),
            ScheduledEvent::Deliver { slot, process, event } => self.deliver(slot, process, *event),
            ScheduledEvent::GenerateToken { slot, process, attempt } => {
                self.generate_token(slot, process, attempt)
            }
            ScheduledEvent::RunOrder { slot, process, attempt, key, is_answer_lost } => {
                self.run_order(slot, process, attempt, &key, is_answer_lost)
            }
            ScheduledEvent::CallTimeout { rpc } => self.on_rpc_timeout(rpc),
            ScheduledEvent::NewCaller => self.new_caller(),
            ScheduledEvent::ReadAnswer { caller } => self.read_answer(caller),
            ScheduledEvent::InjectFault => self.inject_fault(),
            ScheduledEvent::StartProcess { slot } => self.start_process(slot),
            ScheduledEvent::KillProcess { slot, process } => {
                self.kill_process(slot, process);
                Ok(())
            }
            ScheduledEvent::Terminate { slot, process } => {
                self.deliver(slot, process, event::Event::Terminate)
            }
            ScheduledEvent::ResumeProcess { slot, process } => self.resume_process(slot, process),
            ScheduledEvent::ReplaceEndpoints { data_centre } => {
                self.replace_endpoints(data_centre);
                Ok(())
            }
        }
    }

    pub(crate) fn violation(&self, description: String) -> Violation {
        Violation { seed: self.seed, event: self.report.events, description }
    }

    pub(crate) fn count_fault(&mut self) {
        self.report.faults += 1;
    }

    pub(crate) fn start_process(&mut self, slot: usize) -> Result<(), Violation> {
        if self.slots[slot].is_running() {
            return Ok(());
        }
        let instance = self.new_instance();
        let config =
            node_setup::node_config(slot, instance, self.rng.random(), WALL_CLOCK_START + self.now);
        let process = config.node;
        let mut started = node::Node::new(config);
        let actions = started.start(self.now, WALL_CLOCK_START + self.now);
        self.slots[slot].start_process(process, instance, started);
        for scheduled in [
            ScheduledEvent::Tick { slot, process },
            ScheduledEvent::ReadLog { slot, process },
            ScheduledEvent::ReadLoad { slot, process },
            ScheduledEvent::ReadList { slot, process },
        ] {
            self.schedule_after(Duration::from_millis(1), scheduled);
        }
        self.perform(slot, process, actions)
    }

    pub(crate) fn kill_process(&mut self, slot: usize, process: u64) {
        if self.slots[slot].end_process(process) {
            self.callers.on_process_lost(self.now, slot, process);
            let lost = self
                .callers
                .by_id
                .iter()
                .filter(|(_, caller)| matches!(caller.stage, Stage::Searching { .. }));
            let lost: Vec<CallerId> = lost.map(|(id, _)| *id).collect();
            for caller in lost {
                self.schedule_after(READ_INTERVAL, ScheduledEvent::ReadAnswer { caller });
            }
        }
    }

    /// Delivers an event to a node; while the node is paused, the event is queued.
    pub(crate) fn deliver(
        &mut self,
        slot: usize,
        process: u64,
        event: event::Event,
    ) -> Result<(), Violation> {
        let now = self.now;
        let Some(actions) = self.slots[slot].handle(process, now, WALL_CLOCK_START + now, event)
        else {
            return Ok(());
        };
        self.report.events += 1;
        self.perform(slot, process, actions)
    }

    pub(crate) fn tick(&mut self, slot: usize, process: u64) -> Result<(), Violation> {
        let now = self.now;
        if !self.slots[slot].runs_process(process) {
            return Ok(());
        }
        self.schedule_after(TICK_INTERVAL, ScheduledEvent::Tick { slot, process });
        let Some(actions) = self.slots[slot].tick(process, now, WALL_CLOCK_START + now) else {
            return Ok(());
        };
        self.check_release(slot)?;
        self.perform(slot, process, actions)
    }

    pub(crate) fn check_release(&mut self, slot: usize) -> Result<(), Violation> {
        match self.slots[slot].check_release_version() {
            Ok(()) => Ok(()),
            Err(description) => Err(self.violation(description)),
        }
    }

    pub(crate) fn resume_process(&mut self, slot: usize, process: u64) -> Result<(), Violation> {
        for event in self.slots[slot].resume_process(process) {
            self.deliver(slot, process, event)?;
        }
        Ok(())
    }

    pub(crate) fn check_final_state(&mut self) -> Result<(), Violation> {
        for (id, caller) in &self.callers.by_id {
            if caller.request.is_some() && caller.finished_at.is_none() {
                let request = caller.request.map(|request| request.to_string());
                let description = format!(
                    "caller {id} has no complete answer to {} ({:?}, {} bytes read, sent at {} ms)",
                    request.unwrap_or_default(),
                    caller.stage,
                    caller.text.len(),
                    caller.requested_at.as_millis()
                );
                return Err(self.violation(description));
            }
        }
        self.report.adopted = self.slots.iter().map(Slot::adopted).sum();
        Ok(())
    }

    pub(crate) fn inject_fault(&mut self) -> Result<(), Violation> {
        if self.faults_over {
            return Ok(());
        }
        let mean_ms = self.options.mean_fault_interval.as_millis() as u64;
        let wait = Duration::from_millis(self.rng.random_range(mean_ms / 4..mean_ms * 2));
        self.schedule_after(wait, ScheduledEvent::InjectFault);
        node_faults::inject(self)
    }

    /// Replaces the engines of a data centre that are or will be reclaimed.
    pub(crate) fn replace_endpoints(&mut self, data_centre: usize) {
        let gone: Vec<id::EndpointId> = self
            .engines
            .values()
            .filter(|engine| engine.data_centre == data_centre && engine.reclaimed_at.is_some())
            .map(|engine| engine.endpoint)
            .collect();
        for endpoint in gone {
            self.engines.remove(&endpoint);
            let new = self.new_instance();
            self.engines.insert(new, Engine::new(new, data_centre));
        }
    }

    /// Unix time at a simulated time.
    pub(crate) fn wall_time(at: Duration) -> Duration {
        WALL_CLOCK_START + at
    }
}
