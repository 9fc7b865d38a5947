//! A request that crashes each replica that begins to run it comes again and again for more than a
//! minute.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, Fleet, HOST, KEY};
use crate::http::{self, Reply};
use crate::replica::{self, Call};

const TRAFFIC: Duration = Duration::from_secs(95);
const POISON_START: Duration = Duration::from_secs(10);
const DOWN_FOR: Duration = Duration::from_secs(3);
const CONTACT: Duration = Duration::from_millis(3_000);
const REPLICAS: usize = 6;
/// One request in this many crashes replicas.
const POISON_EVERY: usize = 2;
/// Time until a request begins to run.
const FIRST_TOKEN_AFTER: Duration = Duration::from_millis(150);
/// Pause between two requests, at any gateway.
const PAUSE: Duration = Duration::from_millis(50);

pub fn run(record: &str, is_troubled: bool) -> io::Result<bool> {
    let mut fleet = Fleet::new(record)?;
    fleet.store.write("keyed.op", "config", &fleet::config(7));
    let crashes: Arc<Mutex<Vec<Instant>>> = Arc::default();
    for index in 1..=REPLICAS {
        let (crashes, record) = (Arc::clone(&crashes), fleet.recorder());
        let answer = move |call: &Call<'_>, writer: &mut TcpStream| {
            if !call.id.starts_with("poison") {
                return replica::answer_stream(call, writer, 6, Duration::from_millis(30));
            }
            thread::sleep(FIRST_TOKEN_AFTER);
            let head = replica::head(call, "200 OK");
            write!(
                writer,
                "{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            )?;
            if call.replica.is_up() {
                crashes.lock().unwrap().push(Instant::now());
                record(&format!("{} crashes on {}", call.replica.id, call.id));
            }
            call.replica.crash(DOWN_FOR);
            Ok(false)
        };
        fleet.add_replica(&format!("i-guide{index}"), "guide-writers", 128, Arc::new(answer));
    }
    fleet.start_gateways(3)?;
    thread::sleep(Duration::from_secs(2));
    let started = Instant::now();
    let mut clients = Vec::new();
    let replies: Arc<Mutex<Vec<(bool, Reply)>>> = Arc::default();
    for number in 0.. {
        if started.elapsed() >= TRAFFIC {
            break;
        }
        let poison = is_troubled && started.elapsed() > POISON_START && number % POISON_EVERY == 0;
        let gateway = &fleet.gateways[number % fleet.gateways.len()];
        let (address, name) = (gateway.frontend, gateway.name.clone());
        let (record, replies) = (fleet.recorder(), Arc::clone(&replies));
        clients.push(thread::spawn(move || {
            let id = format!("{}-{number}", if poison { "poison" } else { "sound" });
            let reply = send(address, &id, if poison { 0 } else { number });
            record(&format!(
                "{name} {id}: status {} whole {} after {} ms {}",
                reply.status(),
                reply.is_whole,
                reply.ended_after.as_millis(),
                reply.error
            ));
            replies.lock().unwrap().push((poison, reply));
        }));
        thread::sleep(PAUSE);
    }
    for client in clients {
        let _ = client.join();
    }
    fleet.record_runs();
    let crashes = crashes.lock().unwrap();
    let runs = fleet.runs.lock().unwrap();
    let reached = crashes.get(2).map_or(0, |&third| {
        let late =
            |run: &&crate::replica::Run| run.id.starts_with("poison") && run.at > third + CONTACT;
        runs.iter().filter(late).count()
    });
    let replies = replies.lock().unwrap();
    let sound = replies.iter().filter(|(poison, ..)| !poison);
    let lost = sound.clone().filter(|(.., reply)| reply.status() != 503 && !reply.is_whole).count();
    let refused = sound.clone().filter(|(.., reply)| reply.status() == 503).count();
    let summary = format!(
        "{} crashes; the request reached replicas {reached} times later than 3 s after the third; {} sound requests, {lost} broken off, {refused} refused",
        crashes.len(),
        sound.count()
    );
    println!("{summary}");
    fleet.record(&summary);
    let is_broken = reached > 3;
    Ok(fleet.conclude(is_broken))
}

fn send(address: SocketAddr, id: &str, number: usize) -> Reply {
    let text = format!(
        "POST /answer/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nX-Api-Key: {KEY}\r\n\
         Deadline-Ms: 3000\r\nModel: m\r\nToken-Usage: 1460,80\r\n\
         Prefix-Hash: 5c1e07a2:800,{:x}:410,{number:x}7d:250\r\nContent-Length: 9\r\n\r\nq{number:08}",
        0x5000 + number % 7
    );
    http::request(address, text.as_bytes(), Duration::from_millis(3_500))
}
