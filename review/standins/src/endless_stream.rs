//! One replica of a streaming service sends line feeds without end in the body of its answers.
//! Checks that callers get a final answer within half a second after the timeout of their route.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, Fleet, HOST, KEY};
use crate::http::{self, Reply};
use crate::replica::{self, Call};

const TRAFFIC: Duration = Duration::from_secs(40);
/// Start of the trouble.
const TROUBLE_AT: Duration = Duration::from_secs(15);
/// Timeout of the route, and how much later the final answer is owed at the latest.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(3_000);
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Time for which the callers wait.
const DEADLINE: Duration = Duration::from_millis(5_000);
const PAUSE: Duration = Duration::from_millis(150);
const GATEWAYS: u8 = 2;

pub fn run(record: &str, is_troubled: bool) -> io::Result<bool> {
    let mut fleet = Fleet::new(record)?;
    let timeout_ms = ROUTE_TIMEOUT.as_millis() as u32;
    fleet.store.write("keyed.op", "config", &fleet::config_with_timeout(7, timeout_ms));
    for index in 1..=3 {
        fleet.add_replica(&format!("i-guide{index}"), "guide-writers", 128, Arc::new(write_stream));
    }
    fleet.start_gateways(GATEWAYS)?;
    thread::sleep(Duration::from_secs(2));
    let started = Instant::now();
    let replies: Arc<Mutex<Vec<Reply>>> = Arc::default();
    let mut clients = Vec::new();
    let mut is_on = false;
    for number in 0.. {
        if started.elapsed() >= TRAFFIC {
            break;
        }
        if is_troubled && !is_on && started.elapsed() >= TROUBLE_AT {
            is_on = true;
            fleet.replica("i-guide1").is_troubled.store(true, Ordering::Relaxed);
            fleet.record("i-guide1 sends line feeds without end from now on");
        }
        if number % 20 == 0 {
            for gateway in &fleet.gateways {
                let (name, cpu_s) = (&gateway.name, gateway.processor_s());
                fleet.record(&format!("{name}: {cpu_s:.1} s of processor time so far"));
            }
        }
        let gateway = &fleet.gateways[number % fleet.gateways.len()];
        let (address, name) = (gateway.frontend, gateway.name.clone());
        let (record, replies) = (fleet.recorder(), Arc::clone(&replies));
        clients.push(thread::spawn(move || {
            let id = format!("guide-{number}");
            record(&format!("{name} {id}: sent"));
            let reply = send(address, &id, number);
            record(&format!(
                "{name} {id}: status {}, {} after {} ms {}",
                reply.status(),
                if reply.is_whole { "whole" } else { "not ended" },
                reply.ended_after.as_millis(),
                reply.error
            ));
            replies.lock().unwrap().push(reply);
        }));
        thread::sleep(PAUSE);
    }
    for client in clients {
        let _ = client.join();
    }
    fleet.record_runs();
    let replies = replies.lock().unwrap();
    let long = replies.iter().filter(|reply| reply.ended_after >= ROUTE_TIMEOUT).count();
    let owed = ROUTE_TIMEOUT + ANSWER_SLACK;
    let unanswered = replies.iter().filter(|reply| reply.ended_after >= owed).count();
    let summary = format!(
        "{} requests; {long} lasted longer than 3.0 s; {unanswered} of these had no final answer after 3.5 s",
        replies.len()
    );
    println!("{summary}");
    fleet.record(&summary);
    Ok(fleet.conclude(unanswered >= 8 && 4 * unanswered > long))
}

fn send(address: SocketAddr, id: &str, number: usize) -> Reply {
    let text = format!(
        "POST /guide/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nX-Api-Key: {KEY}\r\n\
         Deadline-Ms: {}\r\nModel: m\r\nToken-Usage: 1460,80\r\n\
         Prefix-Hash: 5c1e07a2:800,{:x}:410,{number:x}7d:250\r\nContent-Length: 6\r\n\r\nguide!",
        DEADLINE.as_millis(),
        0x5000 + number % 7
    );
    http::request(address, text.as_bytes(), DEADLINE)
}

fn write_stream(call: &Call<'_>, writer: &mut TcpStream) -> io::Result<bool> {
    if !call.replica.is_troubled() {
        return replica::answer_stream(call, writer, 13, Duration::from_millis(30));
    }
    let head = replica::head(call, "200 OK");
    write!(writer, "{head}Content-Type: text/event-stream\r\n\r\n")?;
    let line_feeds = vec![b'\n'; 64 * 1024];
    loop {
        writer.write_all(&line_feeds)?;
    }
}
