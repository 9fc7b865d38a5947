//! `rhubarbrock explain`: what happened to one request, from gateways' logs.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use argh::FromArgs;
use serde_json::{Map, Value};
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use crate::exit::{self, Exit};

/// Time around the request in which lines on its endpoints, the store and the release are shown,
/// in microseconds.
const AROUND_US: i64 = 3_000_000;

/// Difference between clocks from which lines are moved, in microseconds. A release comes into
/// force everywhere within some seconds, so that less may be a true difference.
const CLOCK_STEP_US: i64 = 4_000_000;

/// Fields that are shown before the others, or say nothing beside them.
const PLACED: [&str; 5] = ["msg", "ts", "gateway", "level", "request"];

/// show what happened to one request, from the logs of any number of gateways, in the order of
/// time. Clocks that differ by more than some seconds are set right by the releases that each
/// gateway logs. Exit codes: 0 shown, 2 wrong command line or unreadable file, 4 no line names the
/// request
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// id of the attempt, as the caller sent it
    #[argh(positional)]
    request: String,
    /// log files of gateways; each line holds one JSON object, before which other text may stand
    #[argh(positional)]
    log: Vec<PathBuf>,
}

/// One line of a log.
#[derive(Debug, Clone)]
struct Line {
    at_us: i64,
    gateway: String,
    message: String,
    fields: Map<String, Value>,
}

#[derive(Debug, Default)]
struct Logs {
    lines: Vec<Line>,
    unreadable: u64,
}

impl Explain {
    pub(crate) fn run(self) -> Exit {
        if self.log.is_empty() {
            return exit::usage("name one log file at least");
        }
        let mut logs = Logs::default();
        for path in &self.log {
            if let Err(error) = logs.read(path) {
                return exit::usage(format!("{}: {error}", path.display()));
            }
        }
        if logs.unreadable > 0 {
            eprintln!("{} lines are no log lines and were passed over", logs.unreadable);
        }
        for (gateway, ahead_us) in logs.set_clocks() {
            eprintln!("{gateway}: its clock is {:.3} s ahead; set right", ahead_us as f64 / 1e6);
        }
        let shown = logs.about(&self.request);
        let Some(first) = shown.iter().find(|line| line.names(&self.request)) else {
            return exit::unreachable(format!("no line names the request {}", self.request));
        };
        let first_us = first.at_us;
        for line in shown {
            println!("{}", line.text(first_us, &self.request));
        }
        Exit::Done
    }
}

impl Logs {
    fn read(&mut self, path: &Path) -> std::io::Result<()> {
        let bytes = std::fs::read(path)?;
        for text in String::from_utf8_lossy(&bytes).lines() {
            if text.trim().is_empty() {
                continue;
            }
            match Line::parse(text) {
                Some(line) => self.lines.push(line),
                None => self.unreadable += 1,
            }
        }
        Ok(())
    }

    /// Moves the lines of gateways whose clocks differ from the median; returns by how much.
    fn set_clocks(&mut self) -> BTreeMap<String, i64> {
        let mut seen: BTreeMap<u64, BTreeMap<&str, i64>> = BTreeMap::new();
        for line in self.lines.iter().filter(|line| line.message == "release in force") {
            let Some(version) = line.fields.get("version").and_then(Value::as_u64) else {
                continue;
            };
            seen.entry(version).or_default().entry(&line.gateway).or_insert(line.at_us);
        }
        let mut differences: BTreeMap<&str, Vec<i64>> = BTreeMap::new();
        for times in seen.values().filter(|times| times.len() > 2) {
            let median_us = median(times.values().copied().collect());
            for (&gateway, &at_us) in times {
                differences.entry(gateway).or_default().push(at_us - median_us);
            }
        }
        let ahead: BTreeMap<String, i64> = differences
            .into_iter()
            .map(|(gateway, differences)| (gateway.to_owned(), median(differences)))
            .filter(|(_, ahead_us)| ahead_us.abs() >= CLOCK_STEP_US)
            .collect();
        for line in &mut self.lines {
            line.at_us -= ahead.get(&line.gateway).copied().unwrap_or_default();
        }
        ahead
    }

    /// Lines of the request, and those around it on what it met.
    fn about(&self, request: &str) -> Vec<&Line> {
        let own: Vec<&Line> = self.lines.iter().filter(|line| line.names(request)).collect();
        let (Some(from), Some(until)) =
            (own.iter().map(|line| line.at_us).min(), own.iter().map(|line| line.at_us).max())
        else {
            return Vec::new();
        };
        let gateways: BTreeSet<&str> = own.iter().map(|line| line.gateway.as_str()).collect();
        let endpoints: BTreeSet<&str> = own.iter().filter_map(|line| line.endpoint()).collect();
        let around = from - AROUND_US..=until + AROUND_US;
        let is_context = |line: &Line| {
            let is_belief = !line.fields.contains_key("request") && around.contains(&line.at_us);
            let is_of_endpoint = line.endpoint().is_some_and(|id| endpoints.contains(id));
            let is_of_gateway =
                line.endpoint().is_none() && gateways.contains(line.gateway.as_str());
            is_belief && (is_of_endpoint || is_of_gateway)
        };
        let mut shown: Vec<&Line> =
            self.lines.iter().filter(|line| line.names(request) || is_context(line)).collect();
        shown.sort_by_key(|line| line.at_us);
        shown
    }
}

impl Line {
    fn parse(text: &str) -> Option<Line> {
        let mut fields: Map<String, Value> = serde_json::from_str(&text[text.find('{')?..]).ok()?;
        let at_us = microseconds(fields.get("ts")?.as_str()?)?;
        let mut take = |name: &str| match fields.remove(name) {
            Some(Value::String(text)) => Some(text),
            _ => None,
        };
        let (gateway, message) = (take("gateway")?, take("msg")?);
        Some(Line { at_us, gateway, message, fields })
    }

    fn names(&self, request: &str) -> bool {
        self.fields.get("request").and_then(Value::as_str) == Some(request)
    }

    fn endpoint(&self) -> Option<&str> {
        self.fields.get("endpoint").and_then(Value::as_str)
    }

    fn text(&self, first_us: i64, request: &str) -> String {
        let mark = if self.names(request) { "*" } else { " " };
        let at_s = (self.at_us - first_us) as f64 / 1e6;
        let mut text = format!("{mark} {at_s:+.3} s {} {}", self.gateway, self.message);
        for (name, value) in &self.fields {
            if !PLACED.contains(&name.as_str()) && !value.is_null() {
                let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
                text.push_str(&format!(" {name}={value}"));
            }
        }
        text
    }
}

fn median(mut values: Vec<i64>) -> i64 {
    values.sort_unstable();
    values[values.len() / 2]
}

/// Microseconds since the Unix epoch of a time in RFC 3339.
fn microseconds(text: &str) -> Option<i64> {
    let time = OffsetDateTime::parse(text, &Rfc3339).ok()?;
    i64::try_from(time.unix_timestamp_nanos() / 1_000).ok()
}
