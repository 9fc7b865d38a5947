//! `rhubarbrock explain`: the history of one request, from the logs of gateways.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use argh::FromArgs;
use serde_json::{Map, Value};
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use crate::exit::{self, Exit};

/// Time before and after the request's own lines within which context lines are shown, in
/// microseconds: lines about its endpoints, and lines of its gateways about no endpoint (such as
/// the store and the release).
const CONTEXT_US: i64 = 3_000_000;

/// Smallest clock offset that is corrected, in microseconds. A release takes some seconds to come
/// into force on all gateways, so a smaller difference may be real.
const MIN_CLOCK_OFFSET_US: i64 = 4_000_000;

/// Fields that are left out of the `name=value` list, as the line's prefix shows them or they add
/// nothing to it.
const HEADER_FIELDS: [&str; 5] = ["msg", "ts", "gateway", "level", "request"];

/// show what happened to one request, from the logs of any number of gateways, in time order.
/// Clocks that differ by several seconds are corrected, using the times at which each gateway logs
/// the same releases. Exit codes: 0 shown, 2 wrong command line or unreadable file, 4 no log line
/// has the request's id
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// id of the attempt, as the caller sent it
    #[argh(positional)]
    request: String,
    /// log files of gateways; each line holds one JSON object, optionally after other text
    #[argh(positional)]
    log: Vec<PathBuf>,
}

/// A parsed log line; `fields` has neither the gateway nor the message.
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
    malformed: u64,
}

impl Explain {
    pub(crate) fn run(self) -> Exit {
        if self.log.is_empty() {
            return exit::usage("expected at least one log file");
        }
        let mut logs = Logs::default();
        for path in &self.log {
            if let Err(error) = logs.read(path) {
                return exit::usage(format!("{}: {error}", path.display()));
            }
        }
        if logs.malformed > 0 {
            eprintln!("{} lines skipped: not in the gateways' log format", logs.malformed);
        }
        for (gateway, offset_us) in logs.correct_clocks() {
            eprintln!("{gateway}: clock is {:.3} s ahead; corrected", offset_us as f64 / 1e6);
        }
        let selected = logs.select(&self.request);
        let Some(first) = selected.iter().find(|line| line.is_of_request(&self.request)) else {
            return exit::unreachable(format!("no log line has the request id {}", self.request));
        };
        let first_us = first.at_us;
        for line in selected {
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
                None => self.malformed += 1,
            }
        }
        Ok(())
    }

    /// Corrects the times of gateways whose clocks differ from the median of at least three
    /// gateways; returns the offset of each corrected gateway, in microseconds.
    fn correct_clocks(&mut self) -> BTreeMap<String, i64> {
        let mut times_by_version: BTreeMap<u64, BTreeMap<&str, i64>> = BTreeMap::new();
        for line in self.lines.iter().filter(|line| line.message == "release in force") {
            let Some(version) = line.fields.get("version").and_then(Value::as_u64) else {
                continue;
            };
            times_by_version.entry(version).or_default().entry(&line.gateway).or_insert(line.at_us);
        }
        let mut offsets: BTreeMap<&str, Vec<i64>> = BTreeMap::new();
        for times in times_by_version.values().filter(|times| times.len() > 2) {
            let median_us = median(times.values().copied().collect());
            for (&gateway, &at_us) in times {
                offsets.entry(gateway).or_default().push(at_us - median_us);
            }
        }
        let offsets_us: BTreeMap<String, i64> = offsets
            .into_iter()
            .map(|(gateway, offsets)| (gateway.to_owned(), median(offsets)))
            .filter(|(_, offset_us)| offset_us.abs() >= MIN_CLOCK_OFFSET_US)
            .collect();
        for line in &mut self.lines {
            line.at_us -= offsets_us.get(&line.gateway).copied().unwrap_or_default();
        }
        offsets_us
    }

    /// Lines of the request and its context lines, in time order.
    fn select(&self, request: &str) -> Vec<&Line> {
        let request_lines: Vec<&Line> =
            self.lines.iter().filter(|line| line.is_of_request(request)).collect();
        let (Some(from_us), Some(until_us)) = (
            request_lines.iter().map(|line| line.at_us).min(),
            request_lines.iter().map(|line| line.at_us).max(),
        ) else {
            return Vec::new();
        };
        let gateways: BTreeSet<&str> =
            request_lines.iter().map(|line| line.gateway.as_str()).collect();
        let endpoints: BTreeSet<&str> =
            request_lines.iter().filter_map(|line| line.endpoint()).collect();
        let window_us = from_us - CONTEXT_US..=until_us + CONTEXT_US;
        let is_context = |line: &Line| {
            let is_nearby = !line.fields.contains_key("request") && window_us.contains(&line.at_us);
            let is_of_endpoint = line.endpoint().is_some_and(|id| endpoints.contains(id));
            let is_of_gateway =
                line.endpoint().is_none() && gateways.contains(line.gateway.as_str());
            is_nearby && (is_of_endpoint || is_of_gateway)
        };
        let mut selected: Vec<&Line> = self
            .lines
            .iter()
            .filter(|line| line.is_of_request(request) || is_context(line))
            .collect();
        selected.sort_by_key(|line| line.at_us);
        selected
    }
}

impl Line {
    fn parse(text: &str) -> Option<Line> {
        let mut fields: Map<String, Value> = serde_json::from_str(&text[text.find('{')?..]).ok()?;
        let at_us = parse_unix_us(fields.get("ts")?.as_str()?)?;
        let mut take = |name: &str| match fields.remove(name) {
            Some(Value::String(text)) => Some(text),
            _ => None,
        };
        let (gateway, message) = (take("gateway")?, take("msg")?);
        Some(Line { at_us, gateway, message, fields })
    }

    fn is_of_request(&self, request: &str) -> bool {
        self.fields.get("request").and_then(Value::as_str) == Some(request)
    }

    fn endpoint(&self) -> Option<&str> {
        self.fields.get("endpoint").and_then(Value::as_str)
    }

    fn text(&self, first_us: i64, request: &str) -> String {
        let mark = if self.is_of_request(request) { "*" } else { " " };
        let at_s = (self.at_us - first_us) as f64 / 1e6;
        let mut text = format!("{mark} {at_s:+.3} s {} {}", self.gateway, self.message);
        for (name, value) in &self.fields {
            if !HEADER_FIELDS.contains(&name.as_str()) && !value.is_null() {
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

/// Parses an RFC 3339 time into microseconds since the Unix epoch.
fn parse_unix_us(text: &str) -> Option<i64> {
    let time = OffsetDateTime::parse(text, &Rfc3339).ok()?;
    i64::try_from(time.unix_timestamp_nanos() / 1_000).ok()
}
