//! After the final fault, the store is busy for some seconds, and entries of live replicas expire
//! meanwhile. They are written again right after its return. Checks that requests are served again.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, Fleet, HOST, KEY};
use crate::http::{self, Reply};
use crate::replica::{self, Call};

const TRAFFIC: Duration = Duration::from_secs(50);
const FINAL_FAULT_AT: Duration = Duration::from_secs(12);
const DOWN_FOR: Duration = Duration::from_secs(1);
/// Time from the return of the gateways to the start of the outage.
const OUTAGE_AFTER: Duration = Duration::from_secs(3);
const OUTAGE: Duration = Duration::from_millis(2_750);
/// Time from the replicas' check-ins to the start of the outage: the next ones are due in it.
const AFTER_CHECK_IN: Duration = Duration::from_millis(1_000);
const RECOVER: Duration = Duration::from_secs(12);
const GATEWAYS: u8 = 8;

struct Sent {
    at: Duration,
    reply: Reply,
}

pub fn run(record: &str, is_troubled: bool) -> io::Result<bool> {
    let mut fleet = Fleet::new(record)?;
    fleet.store.write("keyed.op", "config", &fleet::config(7));
    for index in 1..=3 {
        let stream = |call: &Call<'_>, writer: &mut TcpStream| {
            replica::answer_stream(call, writer, 13, Duration::from_millis(20))
        };
        fleet.add_replica(&format!("i-guide{index}"), "guide-writers", 128, Arc::new(stream));
        let plain = |call: &Call<'_>, writer: &mut TcpStream| {
            replica::answer_plain(call, writer, Duration::from_millis(15))
        };
        fleet.add_replica(&format!("i-order{index}"), "order-desk", 6, Arc::new(plain));
    }
    fleet.remove_silent_replicas();
    fleet.start_gateways(GATEWAYS)?;
    thread::sleep(Duration::from_secs(3));
    let started = Instant::now();
    let (store, recorder) = (fleet.store.clone(), fleet.recorder());
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut clients = Vec::new();
    let mut back_at = None;
    let mut has_outage = false;
    for number in 0.. {
        let now = started.elapsed();
        if now >= TRAFFIC {
            break;
        }
        if back_at.is_none() && now >= FINAL_FAULT_AT {
            fleet.store.write("keyed.op", "config", &fleet::config(9));
            fleet.record("a config is acknowledged; all gateways are killed");
            fleet.gateways.iter_mut().for_each(fleet::Gateway::kill);
            thread::sleep(DOWN_FOR);
            for gateway in &mut fleet.gateways {
                gateway.start()?;
            }
            fleet.record("all gateways are back");
            back_at = Some(started.elapsed());
        }
        let outage_due = back_at.is_some_and(|at| started.elapsed() >= at + OUTAGE_AFTER);
        if is_troubled && !has_outage && outage_due {
            has_outage = true;
            let (store, record) = (store.clone(), recorder.clone());
            thread::spawn(move || {
                store.wait_for_check_ins();
                thread::sleep(AFTER_CHECK_IN);
                store.set_busy(true);
                record("the store is busy");
                thread::sleep(OUTAGE);
                store.set_busy(false);
                record("the store answers again");
            });
        }
        let gateway = &fleet.gateways[number % fleet.gateways.len()];
        let kind = ["order", "guide", "stock", "answer"][number / fleet.gateways.len() % 4];
        let (address, name) = (gateway.frontend, gateway.name.clone());
        let (sent, record) = (Arc::clone(&sent), fleet.recorder());
        clients.push(thread::spawn(move || {
            let at = started.elapsed();
            let id = format!("{kind}-{number}");
            let reply = send(address, kind, &id, number);
            record(&format!(
                "{name} {id}: status {} whole {} after {} ms {}",
                reply.status(),
                reply.is_whole,
                reply.ended_after.as_millis(),
                reply.error
            ));
            sent.lock().unwrap().push(Sent { at, reply });
        }));
        thread::sleep(Duration::from_millis(40));
    }
    for client in clients {
        let _ = client.join();
    }
    fleet.record_runs();
    let sent = sent.lock().unwrap();
    let back_at = back_at.unwrap_or_default();
    let share = |from: Duration, until: Duration| {
        let asked: Vec<&Sent> =
            sent.iter().filter(|each| each.at >= from && each.at < until).collect();
        let served =
            asked.iter().filter(|each| each.reply.status() == 200 && each.reply.is_whole).count();
        (asked.len(), served)
    };
    let before = share(Duration::ZERO, FINAL_FAULT_AT);
    let after = share(back_at + RECOVER, TRAFFIC);
    let summary = format!(
        "before the final fault {} of {} requests were served; later than 12 s after the gateways were back {} of {}",
        before.1, before.0, after.1, after.0
    );
    println!("{summary}");
    fleet.record(&summary);
    let is_broken = 4 * before.1 >= before.0 && 4 * after.1 < after.0;
    Ok(fleet.conclude(is_broken))
}

fn send(address: SocketAddr, kind: &str, id: &str, number: usize) -> Reply {
    let (deadline_ms, prompt) = match kind {
        "order" | "stock" => (1_000, String::new()),
        _ => (
            3_000,
            format!(
                "Model: m\r\nToken-Usage: 1460,80\r\nPrefix-Hash: 5c1e07a2:800,{:x}:410,{number:x}7d:250\r\n",
                0x5000 + number % 7
            ),
        ),
    };
    let (method, body) = if kind == "stock" { ("GET", "") } else { ("POST", "order!") };
    let text = format!(
        "{method} /{kind}/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nX-Api-Key: {KEY}\r\n\
         Deadline-Ms: {deadline_ms}\r\n{prompt}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    http::request(address, text.as_bytes(), Duration::from_millis(deadline_ms + 500))
}
