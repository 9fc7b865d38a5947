//! A part of prompts that crashes replicas, and the loss of all gateway processes at one moment.

use std::collections::HashMap;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::time;

use crate::fleet::{self, Gateway, Machine, Record};
use crate::store::Store;
use crate::writer::Writers;

const MACHINE: Machine = Machine { memory_mb: 260, max_fds: 4_100 };

/// Machines with gateways.
const GATEWAYS: usize = 4;

/// Replicas of the service.
const REPLICAS: usize = 9;

/// Part that crashes each replica that begins to write an answer on it.
const DEADLY_PART: &str = "dead00";

/// Part that all requests share.
const COMMON_PART: &str = "c0ffee";

/// Events of an answer.
const EVENTS: u64 = 13;

/// Time until a replica begins to write an answer.
const FIRST_EVENT_DELAY: Duration = Duration::from_millis(80);

/// Time between two sound requests.
const SOUND_PAUSE: Duration = Duration::from_millis(40);

/// Requests with the deadly part that come at once in the beginning.
const FIRST_DEADLY: u64 = 6;

/// Time between two later ones.
const DEADLY_PAUSE: Duration = Duration::from_secs(5);

/// Time from the start of traffic until the first requests with the deadly part.
const DEADLY_AT: Duration = Duration::from_secs(6);

/// Times from the start of traffic at which all gateway processes are killed.
const KILLS_AT: [Duration; 2] = [Duration::from_millis(31_300), Duration::from_millis(61_300)];

/// Time until killed processes are started again.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Length of the traffic.
const LENGTH: Duration = Duration::from_secs(90);

/// `contact_ms` of the sheet.
const CONTACT: Duration = Duration::from_secs(3);

/// Requests that may reach replicas after the fifth crash.
const ALLOWED: usize = 3;

/// The crash from which the rule counts.
const COUNTED_CRASH: usize = 5;

/// Returns whether the rule held; `None` if that is not known.
pub async fn run(folder: &Path, scratch: &Path, has_trouble: bool) -> Option<bool> {
    let record = Record::create(&folder.join("record.txt"));
    let store = Store::default();
    let route = fleet::route("/guide/", "stream", "writers", 5_000, 2);
    let config = fleet::config(1, &[route], &["writers"]);
    store.write("keyed.op", "config", &config.to_string());
    let addresses: Vec<_> = (0..GATEWAYS).map(fleet::address).collect();
    let writers =
        Writers::new(store.clone(), record.clone(), DEADLY_PART, EVENTS, FIRST_EVENT_DELAY);
    for replica in 0..REPLICAS {
        writers.start(&format!("writer{replica}"), addresses[0]);
    }
    let port = fleet::free_ports(&addresses);
    let mut gateways = Vec::new();
    for (index, &ip) in addresses.iter().enumerate() {
        let name = format!("edge-berkshire-{}", index + 1);
        let mut gateway = Gateway::new(&name, ip, port, store.listen(ip).await, MACHINE, scratch);
        gateway.start();
        gateways.push(gateway);
    }
    for gateway in &gateways {
        if !gateway.wait_until_ready(Duration::from_secs(20)).await {
            record.say("a gateway did not get ready");
            return None;
        }
    }
    // Requests that reach a machine in its first seconds do not count.
    time::sleep(CONTACT + Duration::from_secs(1)).await;
    let started = Instant::now();
    record.line("traffic begins");
    let sent: Sent = Arc::default();
    let callers: Vec<_> = gateways.iter().map(|gateway| gateway.callers).collect();
    // Times in which no machine is in touch.
    let mut restarts: Vec<(Instant, Instant)> = Vec::new();
    let (mut sound, mut deadly) = (0_u64, 0_u64);
    let mut next_deadly = DEADLY_AT;
    let kills: &[Duration] = if has_trouble { &KILLS_AT } else { &[] };
    let mut kills = kills.iter().peekable();
    let mut next_sound = time::interval(SOUND_PAUSE);
    while started.elapsed() < LENGTH {
        next_sound.tick().await;
        sound += 1;
        let at = callers[sound as usize % callers.len()];
        tokio::spawn(send(
            record.clone(),
            at,
            format!("5000{sound:08x}"),
            false,
            Arc::clone(&sent),
        ));
        if started.elapsed() >= next_deadly {
            let count = if deadly == 0 { FIRST_DEADLY } else { 1 };
            next_deadly += DEADLY_PAUSE;
            for _ in 0..count {
                deadly += 1;
                let at = callers[deadly as usize % callers.len()];
                let id = format!("dead{deadly:08x}");
                tokio::spawn(send(record.clone(), at, id, true, Arc::clone(&sent)));
            }
        }
        if kills.next_if(|at| started.elapsed() >= **at).is_some() {
            record.line("all gateway processes are killed");
            let killed_at = Instant::now();
            gateways.iter_mut().for_each(Gateway::kill);
            time::sleep(RESTART_DELAY).await;
            gateways.iter_mut().for_each(Gateway::start);
            for gateway in &gateways {
                gateway.wait_until_ready(Duration::from_secs(20)).await;
            }
            restarts.push((killed_at, Instant::now() + CONTACT));
            record.line("all gateway processes run again and are ready");
        }
    }
    time::sleep(Duration::from_secs(2)).await;
    judge(&record, &writers, &sent, &restarts, started)
}

fn judge(
    record: &Record,
    writers: &Writers,
    sent: &Sent,
    restarts: &[(Instant, Instant)],
    started: Instant,
) -> Option<bool> {
    let crashes = writers.crashes();
    record.say(format!("{} replicas crashed", crashes.len()));
    let Some((fifth, _)) = crashes.get(COUNTED_CRASH - 1) else {
        record.say("fewer than five crashes: the rule does not apply");
        return Some(true);
    };
    let counted_from = *fifth + CONTACT;
    let is_counted =
        |at: Instant| at > counted_from && restarts.iter().all(|&(from, to)| at < from || at > to);
    let late: Vec<_> = writers
        .arrivals()
        .into_iter()
        .filter(|each| each.is_deadly && is_counted(each.at))
        .collect();
    let lost = crashes.iter().filter(|(at, _)| *at > counted_from).flat_map(|(_, beside)| beside);
    let sent = sent.lock().unwrap();
    let lost: Vec<&String> =
        lost.filter(|id| sent.get(*id).is_none_or(|is_whole| !is_whole)).collect();
    for each in &late {
        let at = each.at.duration_since(started).as_secs_f64();
        record.say(format!(
            "counted: {} reached a replica {at:.2} s after the traffic began",
            each.id
        ));
    }
    let whole = sent.values().filter(|is_whole| **is_whole).count();
    record.say(format!(
        "requests with the deadly part that reached replicas later than {} s after the fifth crash, \
         sent by machines in touch: {} ({ALLOWED} are allowed); sound requests answered whole: {whole}; \
         broken off beside such crashes: {}",
        CONTACT.as_secs(),
        late.len(),
        lost.len(),
    ));
    Some(late.len() <= ALLOWED)
}

/// Whether the answer to each request was whole.
type Sent = Arc<Mutex<HashMap<String, bool>>>;

async fn send(
    record: Record,
    callers: std::net::SocketAddr,
    id: String,
    is_deadly: bool,
    sent: Sent,
) {
    let parts = if is_deadly {
        format!("{COMMON_PART}:800,{DEADLY_PART}:400,{id}:100")
    } else {
        format!(
            "{COMMON_PART}:800,beef{:x}:400,{id}:100",
            id.len() + id.as_bytes()[11] as usize % 5
        )
    };
    let body = format!("draft {id}");
    let request = format!(
        "POST /guide/{id} HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {id}\r\nX-Api-Key: key\r\nModel: m\r\n\
         Token-Usage: 1300,52\r\nPrefix-Hash: {parts}\r\nDeadline-Ms: 5000\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{body}",
        fleet::HOST,
        body.len()
    );
    let answer = fleet::call(callers, &request, Duration::from_secs(6)).await;
    let last = format!("data: piece {EVENTS}\n\n");
    let is_whole = answer.as_ref().is_ok_and(|answer| {
        answer.status == 200 && answer.is_signed && answer.body.ends_with(last.as_bytes())
    });
    if is_deadly || !is_whole {
        let text = match &answer {
            Ok(answer) => format!("status {}", answer.status),
            Err(error) => error.to_string(),
        };
        record.line(format!("{id}: {text}"));
    }
    sent.lock().unwrap().insert(id, is_whole);
}
