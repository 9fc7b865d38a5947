//! `rhubarbrock timeline`: prints the events of all nodes, merged in time order.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use argh::FromArgs;
use rhubarbrock_schema::observe;

use crate::exit::{self, Exit};
use crate::http::{BaseUrl, CallError, Client};
use crate::{settings, trace};

/// Largest number of pages read from one node, so that the command ends even where a node records
/// events faster than they are read.
const MAX_PAGES: u32 = 10_000;

/// show the events of all nodes, merged in time order. Exit codes: 0 all nodes answered, 2 wrong
/// command line, 4 a node was not reached
#[derive(FromArgs)]
#[argh(subcommand, name = "timeline")]
pub(crate) struct Timeline {
    /// base URL of a node, such as http://127.0.0.1:7101 (RHUBARBROCK_NODES, separated by commas);
    /// may be repeated
    #[argh(option)]
    node: Vec<String>,
    /// show at most this many events, the latest ones
    #[argh(option)]
    last: Option<usize>,
    /// show only events of this request id
    #[argh(option)]
    request: Option<String>,
    /// show only events of the given last period, such as 30s, 10m or 2h
    #[argh(option, from_str_fn(parse_age))]
    since: Option<Duration>,
    /// text (default), or trace for Trace Event JSON
    #[argh(option, from_str_fn(parse_format), default = "Format::Text")]
    format: Format,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Format {
    Text,
    Trace,
}

impl Timeline {
    pub(crate) async fn run(self) -> Exit {
        let nodes = match settings::nodes(&self.node) {
            Ok(nodes) => nodes,
            Err(message) => return exit::usage(message),
        };
        let client = Client::new();
        let mut exit = Exit::Done;
        let mut events = Vec::new();
        for node in &nodes {
            match read(&client, node, &mut events).await {
                Ok(0) => {}
                Ok(dropped) => eprintln!(
                    "{node}: {dropped} older events dropped; the node keeps a limited number"
                ),
                Err(error) => exit = exit::unreachable(error),
            }
        }
        self.print(events);
        exit
    }

    fn print(&self, mut events: Vec<observe::TimelineEvent>) {
        if let Some(request) = &self.request {
            events.retain(|event| event.request == *request);
        }
        if let Some(age) = self.since {
            let unix_now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let from_us = unix_now.saturating_sub(age).as_micros() as u64;
            events.retain(|event| event.wall_us >= from_us);
        }
        sort(&mut events);
        if let Some(last) = self.last {
            events.drain(..events.len().saturating_sub(last));
        }
        match self.format {
            Format::Text => events.iter().for_each(|event| println!("{}", trace::line(event))),
            Format::Trace => println!("{}", trace::trace_events(&events)),
        }
    }
}

/// Sorts by hybrid logical clock; ties are ordered by node name.
fn sort(events: &mut [observe::TimelineEvent]) {
    events.sort_by(|a, b| (a.wall_us, a.logical, &a.node).cmp(&(b.wall_us, b.logical, &b.node)));
}

/// Appends all events of a node to `events`; returns how many older ones the node has dropped.
async fn read(
    client: &Client,
    node: &BaseUrl,
    events: &mut Vec<observe::TimelineEvent>,
) -> Result<u64, CallError> {
    let mut after = 0;
    let mut dropped = 0;
    for _ in 0..MAX_PAGES {
        let url = format!("{node}/v1/timeline?after={after}");
        let page: observe::TimelinePage = client.get_json(&url).await?;
        dropped = page.dropped.max(dropped);
        let is_end = page.events.is_empty() || page.next <= after;
        after = page.next;
        events.extend(page.events);
        if is_end {
            break;
        }
    }
    Ok(dropped)
}

fn parse_format(text: &str) -> Result<Format, String> {
    match text {
        "text" => Ok(Format::Text),
        "trace" => Ok(Format::Trace),
        _ => Err("must be text or trace".to_owned()),
    }
}

fn parse_age(text: &str) -> Result<Duration, String> {
    let wrong = || format!("\"{text}\" must be a number followed by s, m or h");
    let unit_s = match text.chars().last() {
        Some('s') => 1,
        Some('m') => 60,
        Some('h') => 3_600,
        _ => return Err(wrong()),
    };
    let number: u64 = text[..text.len() - 1].parse().map_err(|_| wrong())?;
    Ok(Duration::from_secs(number.saturating_mul(unit_s)))
}
