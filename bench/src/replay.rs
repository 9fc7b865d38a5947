//! Discrete-event simulation that replays a trace on the decision code, with simulated engines and
//! a virtual clock.

use std::collections::HashSet;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarbrock::{dispatch, endpoint, id, routing};
use standins::engine;

use crate::baseline::ActualState;
use crate::outcome::{self, Outcome, Outcomes};
use crate::simulation::{Engine, Event, EventQueue, Node, RunningAttempt, Setup, Signal};
use crate::trace::Request;

/// Interval at which every node polls its queue, beside the polls that other events cause.
const TICK: Duration = Duration::from_millis(50);

/// Interval between two instance lists.
const LIST_INTERVAL: Duration = Duration::from_secs(5);

/// Interval between two digests, and the delay until all other nodes have received one.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum number of answer tokens between two progress reports.
const PROGRESS_TOKENS: u32 = 32;

/// Maximum number of attempts at one request.
const MAX_ATTEMPTS: u32 = 10;

/// State of a running replay.
struct Replay<'a> {
    setup: &'a Setup,
    trace: &'a [Request],
    blocks: Vec<Vec<id::BlockHash>>,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    actual_states: Vec<ActualState>,
    event_queue: EventQueue,
    outcomes: Outcomes,
    computed_blocks: HashSet<id::BlockHash>,
    rng: ChaCha8Rng,
    unfinished: usize,
    last_arrival: Duration,
}

/// Replays a trace and returns the outcome of each request.
pub(crate) fn replay(setup: &Setup, trace: &[Request]) -> Outcomes {
    let mut replay = Replay::new(setup, trace);
    replay.schedule_initial_events();
    while let Some((now, event)) = replay.event_queue.next() {
        replay.handle(now, event);
        if replay.unfinished == 0 || now > replay.last_arrival + setup.max_drain {
            break;
        }
    }
    replay.outcomes
}

impl<'a> Replay<'a> {
    fn new(setup: &'a Setup, trace: &'a [Request]) -> Replay<'a> {
        let engines = setup.deployment.replicas() as usize;
        let outcomes = Outcomes {
            requests: trace.iter().map(new_outcome).collect(),
            intervals: outcome::new_histogram(),
        };
        Replay {
            setup,
            trace,
            blocks: trace.iter().map(Request::blocks).collect(),
            nodes: (0..setup.nodes).map(|index| Node::new(setup, index)).collect(),
            engines: (0..engines).map(|_| Engine::new()).collect(),
            actual_states: vec![ActualState::default(); engines],
            event_queue: EventQueue::default(),
            outcomes,
            computed_blocks: HashSet::new(),
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            unfinished: trace.len(),
            last_arrival: trace.last().map_or(Duration::ZERO, arrival_time),
        }
    }

    fn schedule_initial_events(&mut self) {
        for (index, request) in self.trace.iter().enumerate() {
            self.event_queue.schedule(arrival_time(request), Event::Arrive { request: index });
        }
        self.refresh_list(Duration::ZERO);
        for event in [Event::Sample, Event::Tick, Event::Digest] {
            self.event_queue.schedule(Duration::ZERO, event);
        }
        self.event_queue.schedule(LIST_INTERVAL, Event::List);
        if let Some(outage) = self.setup.staleness.outage {
            self.event_queue.schedule(outage.crash_at, Event::Crash { engines: outage.crashes });
        }
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Arrive { request } => self.on_arrival(now, request),
            Event::Submit { node, engine, attempt, request } => {
                self.submit_to_engine(now, node, engine, attempt, request);
            }
            Event::Wake { engine, wake } if self.engines[engine].wake == wake => {
                self.advance(now, engine);
            }
            Event::Wake { .. } => {}
            Event::Signal { node, attempt, request, signal } => {
                self.on_signal(now, node, attempt, request, signal);
                if matches!(signal, Signal::Done { .. } | Signal::Failed { .. }) {
                    self.poll(now, node);
                }
            }
            Event::Sample => self.sample_loads(now),
            Event::Load { engine, report } => self.on_load_report(now, engine, report),
            Event::Cache { engine, change } => {
                for node in &mut self.nodes {
                    let router = &mut node.dispatcher.router;
                    router.on_cache_event(now, engine as u64 + 1, &change.stored, &change.removed);
                }
            }
            Event::Tick => {
                self.event_queue.schedule(now + TICK, Event::Tick);
                (0..self.nodes.len()).for_each(|node| self.poll(now, node));
            }
            Event::List => {
                self.event_queue.schedule(now + LIST_INTERVAL, Event::List);
                let outage = self.setup.staleness.outage;
                if outage.is_none_or(|outage| now < outage.from || now >= outage.to) {
                    self.refresh_list(now);
                }
            }
            Event::Digest => self.send_digests(now),
            Event::Usage { node, usages } => {
                for (index, other) in self.nodes.iter_mut().enumerate() {
                    if index != node {
                        other.dispatcher.fairness.on_remote_usage(node as u64 + 1, &usages);
                    }
                }
            }
            Event::Crash { engines } => (0..engines).for_each(|engine| self.crash(now, engine)),
        }
    }

    fn on_arrival(&mut self, now: Duration, index: usize) {
        let request = &self.trace[index];
        let node = self.setup.entry_node(request);
        let job = dispatch::Job {
            ticket: index as u64,
            service: self.setup.deployment.service().to_owned(),
            organisation: self.setup.organisation(request.organisation),
            blocks: self.blocks[index].clone(),
            prompt_tokens: request.prompt_tokens(),
            dialogue: request.dialogue,
            settled_tokens: request.settled_tokens,
            max_tokens: None,
            deadline: request.deadline_ms.map(|ms| Duration::from_millis(ms.into())),
            may_probe: true,
        };
        if let Err(refusal) = self.nodes[node].dispatcher.submit(now, job) {
            self.outcomes.requests[index].refused = Some(refusal.reason);
            self.unfinished -= 1;
            return;
        }
        self.poll(now, node);
    }

    fn poll(&mut self, now: Duration, index: usize) {
        let Node { dispatcher, baseline } = &mut self.nodes[index];
        let actual_states = &self.actual_states;
        let steps = dispatcher.poll_with(now, &mut |router, now, query| {
            baseline.choose(actual_states, router, now, query)
        });
        for step in steps {
            match step {
                dispatch::Step::Refuse { ticket, refusal } => {
                    self.outcomes.requests[ticket as usize].refused = Some(refusal.reason);
                    self.unfinished -= 1;
                }
                dispatch::Step::Send { ticket, attempt, choice, .. } => {
                    let engine = choice.endpoint as usize - 1;
                    self.actual_states[engine].requests += 1;
                    let delay = self.setup.one_way_delay(index, engine);
                    let request = ticket as usize;
                    self.outcomes.requests[request].attempts += 1;
                    let event = Event::Submit { node: index, engine, attempt, request };
                    self.event_queue.schedule(now + delay, event);
                }
            }
        }
    }

    fn submit_to_engine(
        &mut self,
        now: Duration,
        node: usize,
        engine: usize,
        attempt: id::AttemptId,
        request: usize,
    ) {
        let delay = self.setup.one_way_delay(node, engine);
        let failed =
            |failure| Event::Signal { node, attempt, request, signal: Signal::Failed { failure } };
        if self.engines[engine].has_crashed {
            self.event_queue.schedule(now + delay, failed(routing::Failure::ConnectFailed));
            return;
        }
        let sent = engine::Request {
            id: attempt * 64 + node as u64,
            blocks: self.blocks[request].clone(),
            prompt_tokens: self.trace[request].prompt_tokens(),
            answer_tokens: self.trace[request].answer_tokens,
            ..engine::Request::default()
        };
        let id = sent.id;
        let running =
            RunningAttempt { node, attempt, request, last_token_at: None, reported_tokens: 0 };
        self.engines[engine].attempts.insert(id, running);
        if self.engines[engine].engine.submit(now, sent).is_err() {
            self.engines[engine].attempts.remove(&id);
            self.actual_states[engine].requests -= 1;
            let retry_after = Duration::from_secs(1);
            self.event_queue.schedule(now + delay, failed(routing::Failure::Busy { retry_after }));
        }
        self.advance(now, engine);
    }

    /// Advances an engine to `now`, handles its events and schedules its next wake.
    fn advance(&mut self, now: Duration, index: usize) {
        if self.engines[index].has_crashed {
            return;
        }
        for event in self.engines[index].engine.advance(now) {
            self.on_engine_event(index, event);
        }
        self.on_cache_changes(now, index);
        let engine = &mut self.engines[index];
        engine.wake += 1;
        if let Some(at) = engine.engine.next_event_at() {
            let wake = Event::Wake { engine: index, wake: engine.wake };
            self.event_queue.schedule(at.max(now), wake);
        }
    }

    fn on_engine_event(&mut self, index: usize, event: engine::Event) {
        let engine = &mut self.engines[index];
        let (id, at, signal) = match event {
            engine::Event::FirstToken { id, at, cached_tokens } => {
                let request = engine.attempts[&id].request;
                self.count_recomputed_tokens(request, cached_tokens);
                (id, at, Signal::FirstToken)
            }
            engine::Event::Tokens { id, at, from, to } => {
                let running =
                    engine.attempts.get_mut(&id).expect("tokens belong to a running attempt");
                if let Some(last) = running.last_token_at {
                    let interval = (at - last) / (to - from).max(1);
                    let count = u64::from(to - from);
                    let interval_us = interval.as_micros() as u64;
                    self.outcomes.intervals.saturating_record_n(interval_us, count);
                }
                running.last_token_at = Some(at);
                if to < running.reported_tokens + PROGRESS_TOKENS {
                    return;
                }
                running.reported_tokens = to;
                (id, at, Signal::Progress { tokens: to })
            }
            engine::Event::Finished { id, at, usage } => {
                self.actual_states[index].requests -= 1;
                (id, at, Signal::Done { answer_tokens: usage.completion_tokens })
            }
            engine::Event::Crashed { .. } => unreachable!("a trace has no poison requests"),
        };
        let engine = &mut self.engines[index];
        let running = engine.attempts[&id];
        if matches!(signal, Signal::Done { .. }) {
            engine.attempts.remove(&id);
        }
        let RunningAttempt { node, attempt, request, .. } = running;
        let delay = self.setup.one_way_delay(node, index);
        self.event_queue.schedule(at + delay, Event::Signal { node, attempt, request, signal });
    }

    fn count_recomputed_tokens(&mut self, request: usize, cached_tokens: u32) {
        let block_tokens = crate::trace::BLOCK_TOKENS;
        let cached_blocks = (cached_tokens / block_tokens) as usize;
        let outcome = &mut self.outcomes.requests[request];
        for block in self.blocks[request].iter().skip(cached_blocks) {
            if !self.computed_blocks.insert(*block) {
                outcome.recomputed_tokens += block_tokens;
            }
        }
    }

    fn on_cache_changes(&mut self, now: Duration, index: usize) {
        for change in self.engines[index].engine.take_cache_changes() {
            let cached = &mut self.actual_states[index].cached;
            change.removed.iter().for_each(|block| {
                cached.remove(block);
            });
            cached.extend(change.stored.iter().copied());
            let is_dropped = self.rng.random_range(0..100) < self.setup.staleness.cache_gap_percent;
            if let Some(lag) = self.setup.staleness.cache_lag
                && !is_dropped
            {
                self.event_queue.schedule(now + lag, Event::Cache { engine: index, change });
            }
        }
    }

    fn on_signal(
        &mut self,
        now: Duration,
        node: usize,
        attempt: id::AttemptId,
        request: usize,
        signal: Signal,
    ) {
        let dispatcher = &mut self.nodes[node].dispatcher;
        let outcome = &mut self.outcomes.requests[request];
        match signal {
            Signal::FirstToken => {
                dispatcher.on_first_token(now, attempt);
                outcome.first_token.get_or_insert(now - outcome.arrived_at);
            }
            Signal::Progress { tokens } => dispatcher.on_progress(now, attempt, tokens),
            Signal::Done { answer_tokens } => {
                let answered = routing::Answered { answer_tokens };
                dispatcher.on_done(now, attempt, &answered);
                outcome.done_at = Some(now);
                self.unfinished -= 1;
            }
            Signal::Failed { failure } => {
                dispatcher.on_failure(now, attempt, failure);
                assert!(
                    outcome.attempts < MAX_ATTEMPTS,
                    "request {request} failed after {MAX_ATTEMPTS} attempts"
                );
                dispatcher.retry(request as u64, &[]);
            }
        }
    }

    fn sample_loads(&mut self, now: Duration) {
        let staleness = &self.setup.staleness;
        self.event_queue.schedule(now + staleness.load_interval, Event::Sample);
        for index in 0..self.engines.len() {
            self.advance(now, index);
            let engine = &mut self.engines[index];
            if engine.has_crashed {
                continue;
            }
            engine.sequence += 1;
            let load = engine.engine.load();
            let report = endpoint::LoadReport {
                sequence: engine.sequence,
                running: load.running,
                waiting: load.waiting,
                kv_used_percent: load.kv_used_percent,
                queued_tokens: load.queued_tokens.min(u32::MAX.into()) as u32,
                leaving: false,
                age: staleness.load_lag,
            };
            self.event_queue
                .schedule(now + staleness.load_lag, Event::Load { engine: index, report });
        }
    }

    fn on_load_report(&mut self, now: Duration, engine: usize, report: endpoint::LoadReport) {
        if self.engines[engine].has_crashed {
            return;
        }
        for node in &mut self.nodes {
            node.dispatcher.router.on_load(now, engine as u64 + 1, &report);
        }
    }

    fn refresh_list(&mut self, now: Duration) {
        let live = self.engines.iter().enumerate().filter(|(_, engine)| !engine.has_crashed);
        let listings: Vec<_> = live.map(|(index, _)| self.setup.listing(index)).collect();
        for node in &mut self.nodes {
            node.dispatcher.router.on_list(now, now, listings.clone());
        }
    }

    fn send_digests(&mut self, now: Duration) {
        self.event_queue.schedule(now + DIGEST_INTERVAL, Event::Digest);
        for (node, state) in self.nodes.iter().enumerate() {
            let usages = state.dispatcher.fairness.usages();
            self.event_queue.schedule(now + DIGEST_INTERVAL, Event::Usage { node, usages });
        }
    }

    /// Stops an endpoint without notice; all its connections break.
    fn crash(&mut self, now: Duration, index: usize) {
        self.advance(now, index);
        self.engines[index].has_crashed = true;
        self.actual_states[index] = ActualState::default();
        let mut interrupted: Vec<RunningAttempt> =
            self.engines[index].attempts.drain().map(|(_, r)| r).collect();
        interrupted.sort_by_key(|running| (running.node, running.attempt));
        for RunningAttempt { node, attempt, request, .. } in interrupted {
            let signal = Signal::Failed { failure: routing::Failure::ConnectionLost };
            let delay = self.setup.one_way_delay(node, index);
            self.event_queue
                .schedule(now + delay, Event::Signal { node, attempt, request, signal });
        }
    }
}

fn arrival_time(request: &Request) -> Duration {
    Duration::from_micros(request.at_us)
}

fn new_outcome(request: &Request) -> Outcome {
    Outcome {
        organisation: request.organisation,
        kind: request.kind,
        arrived_at: arrival_time(request),
        deadline: request.deadline_ms.map(|ms| Duration::from_millis(ms.into())),
        prompt_tokens: request.prompt_tokens(),
        answer_tokens: request.answer_tokens,
        refused: None,
        first_token: None,
        done_at: None,
        recomputed_tokens: 0,
        attempts: 0,
    }
}
