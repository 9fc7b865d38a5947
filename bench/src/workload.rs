//! Generates traces of both deployments from a seed.

use std::str::FromStr;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::trace::{Kind, Request, Segment};

/// Number of organisations of a deployment.
pub(crate) const ORGANISATIONS: usize = 5;

/// Share of the ordinary load that each organisation offers: two large, three small.
const SHARES: [f64; ORGANISATIONS] = [0.35, 0.30, 0.15, 0.12, 0.08];

/// Dialogues about guides that start per second at the ordinary load.
const GUIDES_PER_S: f64 = 6.2;

/// Commentary requests per second during a heat at the ordinary load.
const COMMENTARY_PER_S: f64 = 34.0;

/// Time from the start of one heat to the next, in seconds.
const HEAT_S: f64 = 40.0;

/// Judges of all organisations who request a summary at the end of a heat.
const JUDGES: usize = 40;

/// Deadline for the first token of commentary, in milliseconds.
const COMMENTARY_DEADLINE_MS: u32 = 570;

/// Deadline for the first token of a summary, in milliseconds.
const SUMMARY_DEADLINE_MS: u32 = 5_000;

const US_PER_S: f64 = 1e6;

/// One of the two deployments.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Deployment {
    /// Guides, cost first, no deadlines.
    Gourd,
    /// Commentary and judges' summaries, latency first.
    Shucking,
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(name: &str) -> Result<Deployment, String> {
        match name {
            "gourd" => Ok(Deployment::Gourd),
            "shucking" => Ok(Deployment::Shucking),
            _ => Err(format!("expected gourd or shucking, got {name}")),
        }
    }
}

impl Deployment {
    /// Name on the command line and in reports.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Deployment::Gourd => "gourd",
            Deployment::Shucking => "shucking",
        }
    }

    /// Number of model replicas.
    pub(crate) fn replicas(self) -> u64 {
        match self {
            Deployment::Gourd => 10,
            Deployment::Shucking => 12,
        }
    }

    /// Name of the model service.
    pub(crate) fn service(self) -> &'static str {
        match self {
            Deployment::Gourd => "guide-writers",
            Deployment::Shucking => "rhubarb-judges",
        }
    }

    /// Names of the data centres.
    pub(crate) fn data_centres(self) -> [&'static str; 3] {
        match self {
            Deployment::Gourd => ["berkshire", "merrimack", "narragansett"],
            Deployment::Shucking => ["can-gio", "vung-tau", "ben-tre"],
        }
    }

    /// One-way delay between two data centres, in microseconds.
    pub(crate) fn delay_us(self) -> u64 {
        match self {
            Deployment::Gourd => 3_000,
            Deployment::Shucking => 4_500,
        }
    }
}

/// Parameters of a trace.
#[derive(Debug, Clone)]
pub(crate) struct TraceConfig {
    deployment: Deployment,
    seconds: u64,
    /// Offered load of each organisation, as a multiple of the whole ordinary load.
    offered: [f64; ORGANISATIONS],
    has_deadlines: bool,
}

impl TraceConfig {
    pub(crate) fn new(deployment: Deployment, seconds: u64) -> TraceConfig {
        TraceConfig { deployment, seconds, offered: SHARES, has_deadlines: true }
    }

    /// Multiplies the load of all organisations.
    pub(crate) fn load(mut self, factor: f64) -> TraceConfig {
        self.offered = self.offered.map(|share| share * factor);
        self
    }

    /// Sets the load that each organisation offers.
    pub(crate) fn offered(mut self, offered: [f64; ORGANISATIONS]) -> TraceConfig {
        self.offered = offered;
        self
    }

    /// Generates requests without deadlines.
    pub(crate) fn without_deadlines(mut self) -> TraceConfig {
        self.has_deadlines = false;
        self
    }

    /// Generates the trace of a seed, in order of arrival.
    pub(crate) fn generate(&self, seed: u64) -> Vec<Request> {
        let mut generator = TraceGenerator::new(self, seed);
        match self.deployment {
            Deployment::Gourd => generator.guides(),
            Deployment::Shucking => generator.heats(),
        }
        let mut requests = generator.requests;
        requests.retain(|request| request.at_us < self.seconds * 1_000_000);
        if !self.has_deadlines {
            requests.iter_mut().for_each(|request| request.deadline_ms = None);
        }
        requests.sort_by_key(|request| request.at_us);
        requests
    }
}

struct TraceGenerator<'a> {
    config: &'a TraceConfig,
    rng: ChaCha8Rng,
    next_text: u64,
    requests: Vec<Request>,
}

impl TraceGenerator<'_> {
    fn new(config: &TraceConfig, seed: u64) -> TraceGenerator<'_> {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        // Lower numbers are for the organisations' instructions.
        TraceGenerator { config, rng, next_text: 1000, requests: Vec::new() }
    }

    fn text(&mut self, blocks: u32) -> Segment {
        self.next_text += 1;
        Segment { text: self.next_text, blocks }
    }

    /// Draws the time to the next event of a Poisson process, in seconds.
    fn draw_gap_s(&mut self, per_s: f64) -> f64 {
        -f64::ln(1.0 - self.rng.random::<f64>()) / per_s
    }

    /// Draws arrival times between `from_s` and `to_s`, in seconds.
    fn arrivals(&mut self, from_s: f64, to_s: f64, per_s: f64) -> Vec<f64> {
        let mut arrivals = Vec::new();
        if per_s <= 0.0 {
            return arrivals;
        }
        let mut at_s = from_s + self.draw_gap_s(per_s);
        while at_s < to_s {
            arrivals.push(at_s);
            at_s += self.draw_gap_s(per_s);
        }
        arrivals
    }

    fn instructions(organisation: usize) -> Segment {
        Segment { text: organisation as u64 + 1, blocks: 24 + 6 * organisation as u32 }
    }

    fn push(&mut self, at_s: f64, mut request: Request) {
        request.at_us = (at_s * US_PER_S) as u64;
        request.balancer = self.rng.random();
        self.requests.push(request);
    }

    fn guides(&mut self) {
        let seconds = self.config.seconds as f64;
        for organisation in 0..ORGANISATIONS {
            let per_s = GUIDES_PER_S * self.config.offered[organisation];
            for at_s in self.arrivals(0.0, seconds, per_s) {
                let notes = self.rng.random_range(10..100);
                let segments = vec![Self::instructions(organisation), self.text(notes)];
                let turns = self.rng.random_range(1..=6);
                let dialogue = self.rng.random();
                let first = Request {
                    at_us: 0,
                    organisation,
                    kind: Kind::Guide,
                    dialogue,
                    segments,
                    settled_tokens: 0,
                    answer_tokens: 0,
                    deadline_ms: None,
                    balancer: 0,
                };
                self.turns(at_s, turns, first);
            }
        }
    }

    /// Adds the turns of one dialogue; each prompt repeats all earlier turns.
    fn turns(&mut self, mut at_s: f64, turns: u32, mut request: Request) {
        for _ in 0..turns {
            request.answer_tokens = self.rng.random_range(100..500);
            self.push(at_s, request.clone());
            request.settled_tokens = request.prompt_tokens();
            let answer = self.text(request.answer_tokens.div_ceil(16));
            let question_blocks = self.rng.random_range(2..12);
            let question = self.text(question_blocks);
            request.segments.extend([answer, question]);
            let writing_s = f64::from(request.answer_tokens) * 0.025;
            at_s += writing_s + 3.0 + self.draw_gap_s(1.0 / 12.0);
        }
    }

    fn heats(&mut self) {
        let mut start_s = 0.0;
        while start_s < self.config.seconds as f64 {
            let heat = self.text(0).text;
            for organisation in 0..ORGANISATIONS {
                self.commentary(start_s, heat, organisation);
                self.summaries(start_s + HEAT_S, heat, organisation);
            }
            start_s += HEAT_S;
        }
    }

    /// Record of a heat `after_s` seconds from its start.
    fn record(heat: u64, after_s: f64) -> Segment {
        Segment { text: heat, blocks: 20 + (after_s * 3.0) as u32 }
    }

    fn commentary(&mut self, start_s: f64, heat: u64, organisation: usize) {
        let per_s = COMMENTARY_PER_S * self.config.offered[organisation];
        for at_s in self.arrivals(start_s, start_s + HEAT_S, per_s) {
            let question_blocks = self.rng.random_range(2..6);
            let segments = vec![
                Self::instructions(organisation),
                Self::record(heat, at_s - start_s),
                self.text(question_blocks),
            ];
            let request = Request {
                at_us: 0,
                organisation,
                kind: Kind::Commentary,
                dialogue: self.rng.random(),
                segments,
                settled_tokens: 0,
                answer_tokens: self.rng.random_range(50..160),
                deadline_ms: Some(COMMENTARY_DEADLINE_MS),
                balancer: 0,
            };
            self.push(at_s, request);
        }
    }

    /// Adds the burst of summary requests at the end of a heat.
    fn summaries(&mut self, end_s: f64, heat: u64, organisation: usize) {
        let judges = (JUDGES as f64 * self.config.offered[organisation]).round() as usize;
        for _ in 0..judges {
            let notes_blocks = self.rng.random_range(20..60);
            let segments = vec![
                Self::instructions(organisation),
                Self::record(heat, HEAT_S),
                self.text(notes_blocks),
            ];
            let request = Request {
                at_us: 0,
                organisation,
                kind: Kind::Summary,
                dialogue: self.rng.random(),
                segments,
                settled_tokens: 0,
                answer_tokens: self.rng.random_range(150..400),
                deadline_ms: Some(SUMMARY_DEADLINE_MS),
                balancer: 0,
            };
            let at_s = end_s + self.rng.random_range(0.0..3.0);
            self.push(at_s, request);
        }
    }
}
