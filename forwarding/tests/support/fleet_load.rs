//! Simulated load on gateways that share a service with model engines.
//!
//! Requests have a first part out of four, a second one out of several hundred,
//! and one of their own. A deadly request has a further part, and crashes its
//! endpoint when it would get its first event, or some time after it. With even
//! seeds, the second part of all deadly requests is the same. While the service is
//! in a crash loop, every request crashes its endpoint. Requests to another service
//! always finish.

use std::collections::HashMap;
use std::time::Duration;

use forwarding::prompt_suspects::{PartHash, PartHistory, PromptSuspects, SharedParts};

use super::{MODEL_SERVICE, ms, shared_parts};

const STEP: Duration = Duration::from_millis(10);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const APPLY_INTERVAL: Duration = Duration::from_millis(180);
const RESTART_TIME: Duration = Duration::from_secs(3);
const DEADLY_PART: u64 = 99_999;
/// Second part of all deadly requests in some simulations, and of a few sound ones.
const COMPANION_PART: u64 = 100;
const DEADLY_PERCENT: u64 = 5;
const LOST_REPORTS_PERCENT: u64 = 10;
const ATTEMPTS: u32 = 2;

#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub(crate) sound: u32,
    pub(crate) sound_refused: u32,
    pub(crate) deadly_refused: u32,
    /// Sound requests with the companion of the deadly part, refused long after the crashes.
    pub(crate) companion_refused: u32,
}

#[derive(Debug, Clone)]
struct Running {
    gateway: usize,
    endpoint: usize,
    parts: SharedParts,
    is_deadly: bool,
    fingerprint: u64,
    attempt: u32,
    /// Time at which a deadly request crashes its endpoint.
    crash_at: Duration,
    finished_at: Duration,
}

#[derive(Debug, Clone, Default)]
struct Endpoint {
    starts: u64,
    up_at: Duration,
}

type Report = Vec<(PartHash, PartHistory)>;

/// Fleet with its load.
pub(crate) struct Load {
    pub(crate) counts: Counts,
    /// Time from the first event of a deadly request to the crash.
    pub(crate) crash_delay: Duration,
    gateways: Vec<PromptSuspects>,
    reports: Vec<Report>,
    endpoints: Vec<Endpoint>,
    running: Vec<Running>,
    crashes: Vec<Duration>,
    deadly_sent: Vec<Duration>,
    requests_per_s: u64,
    has_companion: bool,
    is_crash_looping: bool,
    now: Duration,
    random: u64,
}

impl Load {
    pub(crate) fn new(seed: u64, gateways: usize, endpoints: usize, requests_per_s: u64) -> Load {
        Load {
            counts: Counts::default(),
            crash_delay: Duration::ZERO,
            gateways: (0..gateways).map(|_| PromptSuspects::default()).collect(),
            reports: vec![Vec::new(); gateways],
            endpoints: vec![Endpoint::default(); endpoints],
            running: Vec::new(),
            crashes: Vec::new(),
            deadly_sent: Vec::new(),
            requests_per_s,
            has_companion: seed.is_multiple_of(2),
            is_crash_looping: false,
            now: Duration::ZERO,
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        }
    }

    /// Number of deadly requests and retries sent later than `delay` after crash number `crash`.
    pub(crate) fn deadly_sent_after_crash(&self, crash: usize, delay: Duration) -> u32 {
        let Some(&crash_at) = self.crashes.get(crash - 1) else { return 0 };
        self.deadly_sent.iter().filter(|&&at| at > crash_at + delay).count() as u32
    }

    pub(crate) fn run(&mut self, duration: Duration, has_deadly: bool) {
        let until = self.now + duration;
        while self.now < until {
            self.now += STEP;
            for _ in 0..self.requests_per_s / 10 {
                if self.below(10) == 0 {
                    self.arrive(has_deadly);
                }
            }
            self.progress();
            self.exchange_reports();
        }
    }

    /// Lets every request crash its endpoint for some time.
    pub(crate) fn run_crash_loop(&mut self, duration: Duration) {
        self.is_crash_looping = true;
        self.run(duration, false);
        self.is_crash_looping = false;
        for each in &mut self.running {
            each.is_deadly = false;
        }
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % limit
    }

    fn arrive(&mut self, has_deadly: bool) {
        let mut parts = vec![self.below(4), COMPANION_PART + self.below(372)];
        let is_deadly = has_deadly && self.below(100) < DEADLY_PERCENT;
        if is_deadly {
            if self.has_companion {
                parts[1] = COMPANION_PART;
            }
            parts.push(DEADLY_PART);
        }
        let is_beside_deadly = !is_deadly && parts.contains(&COMPANION_PART);
        let parts = shared_parts(MODEL_SERVICE, &parts);
        let gateway = self.below(self.gateways.len() as u64) as usize;
        let fingerprint = self.below(u64::MAX);
        let may_crash = self.crashes.get(4).is_none_or(|&at| self.now < at + ms(4_000));
        if self.gateways[gateway].must_refuse(self.now, &parts) {
            match is_deadly {
                true => self.counts.deadly_refused += 1,
                false => self.counts.sound_refused += 1,
            }
            self.counts.companion_refused += u32::from(is_beside_deadly && !may_crash);
        } else {
            self.send(gateway, parts, is_deadly || self.is_crash_looping, fingerprint, 1);
        }
        self.counts.sound += u32::from(!is_deadly);
    }

    fn send(
        &mut self,
        gateway: usize,
        parts: SharedParts,
        is_deadly: bool,
        fingerprint: u64,
        attempt: u32,
    ) {
        let up = (0..self.endpoints.len()).filter(|&index| self.endpoints[index].up_at <= self.now);
        let up: Vec<usize> = up.collect();
        if up.is_empty() {
            return;
        }
        let endpoint = up[self.below(up.len() as u64) as usize];
        let first_event_at = self.now + ms(60 + self.below(150));
        let finished_at = first_event_at + self.crash_delay + ms(100 + self.below(1_500));
        if is_deadly {
            self.deadly_sent.push(self.now);
        }
        self.running.push(Running {
            gateway,
            endpoint,
            parts,
            is_deadly,
            fingerprint,
            attempt,
            crash_at: first_event_at + self.crash_delay,
            finished_at,
        });
    }

    fn progress(&mut self) {
        let now = self.now;
        let is_deadly = |each: &&Running| each.is_deadly && each.crash_at <= now;
        while let Some(endpoint) = self.running.iter().find(is_deadly).map(|each| each.endpoint) {
            self.crashes.push(now);
            self.crash(endpoint);
        }
        let gateways = &mut self.gateways;
        for gateway in gateways.iter_mut() {
            gateway.on_finished(now, &shared_parts("another", &[1]));
        }
        self.running.retain(|each| {
            if each.finished_at <= now {
                gateways[each.gateway].on_finished(now, &each.parts);
            }
            each.finished_at > now
        });
    }

    fn crash(&mut self, endpoint: usize) {
        let hash = endpoint as u64 * 1_000 + self.endpoints[endpoint].starts;
        self.endpoints[endpoint].starts += 1;
        self.endpoints[endpoint].up_at = self.now + RESTART_TIME;
        let (broken, running): (Vec<Running>, Vec<Running>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|each| each.endpoint == endpoint);
        self.running = running;
        for each in broken {
            let gateway = &mut self.gateways[each.gateway];
            gateway.on_connection_break(&each.parts, hash, each.fingerprint, self.now);
            let may_retry = each.attempt < ATTEMPTS;
            let gateway = &self.gateways[each.gateway];
            let is_refused = gateway.must_refuse(self.now, &each.parts);
            if may_retry && !is_refused && gateway.may_retry(self.now, &each.parts) {
                let (gateway, parts) = (each.gateway, each.parts);
                self.send(gateway, parts, each.is_deadly, each.fingerprint, each.attempt + 1);
            }
        }
    }

    /// Sends the reports that are due, each gateway at its own times, and applies those received.
    fn exchange_reports(&mut self) {
        for index in 0..self.gateways.len() {
            let phase = self.now + STEP * (index as u32 * 7);
            let is_due = |interval: Duration| (phase.as_millis() % interval.as_millis()) < 10;
            if is_due(REPORT_INTERVAL) && self.below(100) >= LOST_REPORTS_PERCENT {
                let rows = self.gateways[index].to_report().into_iter();
                self.reports[index] = rows.map(|(part, seen)| (part, seen.clone())).collect();
            }
            if is_due(APPLY_INTERVAL) {
                let mut histories: HashMap<PartHash, Vec<PartHistory>> = HashMap::new();
                let others = self.reports.iter().enumerate().filter(|&(other, _)| other != index);
                for (part, seen) in others.flat_map(|(_, report)| report) {
                    histories.entry(*part).or_default().push(seen.clone());
                }
                self.gateways[index].set_peer_histories(self.now, histories);
            }
        }
    }
}
