//! Formats timeline events as text and as Trace Event JSON.

use std::collections::BTreeMap;

use rhubarbrock_schema::observe;
use serde::Serialize;

/// Formats an event as one line: time of day in UTC, node, kind, duration, request, detail.
pub(crate) fn line(event: &observe::TimelineEvent) -> String {
    let mut line = format!("{} {:<12} {}", time_of_day(event.wall_us), event.node, event.kind);
    if event.duration_us > 0 {
        line.push_str(&format!(" after {:.3} ms", event.duration_us as f64 / 1e3));
    }
    if !event.request.is_empty() {
        line.push_str(&format!(" {}", event.request));
    }
    if !event.detail.is_empty() {
        line.push_str(&format!(": {}", event.detail));
    }
    line
}

fn time_of_day(wall_us: u64) -> String {
    let seconds = wall_us / 1_000_000;
    let (hours, minutes) = (seconds / 3_600 % 24, seconds / 60 % 60);
    format!("{hours:02}:{minutes:02}:{:02}.{:06}", seconds % 60, wall_us % 1_000_000)
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Trace<'e> {
    display_time_unit: &'static str,
    trace_events: Vec<TraceEvent<'e>>,
}

/// An entry of the Trace Event format, which defines the field names.
#[derive(Serialize)]
struct TraceEvent<'e> {
    name: &'e str,
    cat: &'e str,
    ph: &'static str,
    ts: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    dur: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    s: Option<&'static str>,
    pid: usize,
    tid: usize,
    args: TraceArguments<'e>,
}

#[derive(Serialize, Default)]
struct TraceArguments<'e> {
    #[serde(skip_serializing_if = "str::is_empty")]
    name: &'e str,
    #[serde(skip_serializing_if = "str::is_empty")]
    request: &'e str,
    #[serde(skip_serializing_if = "str::is_empty")]
    detail: &'e str,
}

/// Formats all events as a JSON object of the Trace Event format, with a process for each node and
/// a thread for each request.
pub(crate) fn trace_events(events: &[observe::TimelineEvent]) -> String {
    let mut nodes = BTreeMap::new();
    let mut requests = BTreeMap::new();
    let mut trace_events = Vec::new();
    for event in events {
        let count = nodes.len();
        let pid = *nodes.entry(event.node.as_str()).or_insert(count + 1);
        if pid == count + 1 {
            trace_events.push(metadata("process_name", &event.node, pid, 0));
        }
        let count = requests.len();
        let tid = match event.request.as_str() {
            "" => 0,
            request => *requests.entry(request).or_insert(count + 1),
        };
        trace_events.push(trace_event(event, pid, tid));
    }
    let trace = Trace { display_time_unit: "ms", trace_events };
    serde_json::to_string(&trace).expect("traces always serialize to JSON")
}

fn metadata<'e>(kind: &'e str, name: &'e str, pid: usize, tid: usize) -> TraceEvent<'e> {
    let args = TraceArguments { name, ..Default::default() };
    TraceEvent { name: kind, cat: "__metadata", ph: "M", ts: 0, dur: None, s: None, pid, tid, args }
}

fn trace_event(event: &observe::TimelineEvent, pid: usize, tid: usize) -> TraceEvent<'_> {
    let is_span = event.duration_us > 0;
    TraceEvent {
        name: &event.kind,
        cat: event.kind.split('.').next().unwrap_or_default(),
        ph: if is_span { "X" } else { "i" },
        ts: event.wall_us.saturating_sub(event.duration_us),
        dur: is_span.then_some(event.duration_us),
        s: (!is_span).then_some("p"),
        pid,
        tid,
        args: TraceArguments { name: "", request: &event.request, detail: &event.detail },
    }
}
