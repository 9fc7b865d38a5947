//! Stand-in for a model replica that streams events, and that crashes when it begins to write an
//! answer on a certain part of a prompt.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time;

use crate::fleet::{self, Record};
use crate::http::{self, Head, Reader};
use crate::store::Store;

/// Interval at which a replica writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time after a crash by which the replica is back under a new id.
const DOWN_TIME: Duration = Duration::from_secs(3);

/// Intervals of silence after which an entry is removed.
const LAPSE_HEARTBEATS: u32 = 3;

/// Pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(60);

/// Requests that a replica runs at once.
const SLOTS: u32 = 128;

/// Request that reached a replica.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub is_deadly: bool,
}

#[derive(Default)]
struct Seen {
    arrivals: Vec<Arrival>,
    /// Times of the crashes, with the requests that ran beside the deadly one.
    crashes: Vec<(Instant, Vec<String>)>,
}

/// Replicas of one service; clones share what they saw.
#[derive(Clone)]
pub struct Writers {
    store: Store,
    record: Record,
    deadly_part: String,
    /// Events of a stream.
    events: u64,
    /// Time until a replica begins to write an answer.
    first_event_delay: Duration,
    /// Text of an event.
    event_text: String,
    seen: Arc<Mutex<Seen>>,
}

/// One process of a replica.
struct Process {
    id: String,
    crashed: watch::Sender<bool>,
    running: Mutex<HashMap<String, u32>>,
}

impl Writers {
    pub fn new(
        store: Store,
        record: Record,
        deadly_part: &str,
        events: u64,
        first_event_delay: Duration,
    ) -> Writers {
        let deadly_part = deadly_part.to_owned();
        let (event_text, seen) = ("piece".to_owned(), Arc::default());
        Writers { store, record, deadly_part, events, first_event_delay, event_text, seen }
    }

    /// Sets the text of an event, before the number of the event.
    pub fn with_event_text(mut self, event_text: String) -> Writers {
        self.event_text = event_text;
        self
    }

    /// Starts one replica, which is started again after each crash.
    pub fn start(&self, name: &str, ip: IpAddr) {
        let (writers, name) = (self.clone(), name.to_owned());
        tokio::spawn(async move {
            for boot in 0.. {
                writers.live(format!("i-{name}-{boot}"), ip).await;
                time::sleep(DOWN_TIME).await;
            }
        });
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.seen.lock().unwrap().arrivals.clone()
    }

    pub fn crashes(&self) -> Vec<(Instant, Vec<String>)> {
        self.seen.lock().unwrap().crashes.clone()
    }

    /// Runs one process until it crashes.
    async fn live(&self, id: String, ip: IpAddr) {
        let listener = TcpListener::bind((ip, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (crashed, mut crash) = watch::channel(false);
        let process = Arc::new(Process { id: id.clone(), crashed, running: Mutex::default() });
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let mut sequence = 0;
        let mut heartbeat = time::interval(HEARTBEAT);
        loop {
            tokio::select! {
                _ = crash.changed() => break,
                _ = heartbeat.tick() => {
                    sequence += 1;
                    let entry = entry(address, sequence, born);
                    self.store.write("keyed.servers", &id, &entry);
                }
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    http::reset_on_drop(&stream);
                    let (writers, process) = (self.clone(), Arc::clone(&process));
                    let mut crash = process.crashed.subscribe();
                    tokio::spawn(async move {
                        tokio::select! {
                            _ = crash.changed() => {}
                            () = writers.serve(&process, stream) => {}
                        }
                    });
                }
            }
        }
        // The platform removes the entry after some intervals of silence.
        let (store, id) = (self.store.clone(), id.clone());
        tokio::spawn(async move {
            time::sleep(HEARTBEAT * LAPSE_HEARTBEATS).await;
            store.write("keyed.servers", &id, "");
        });
    }

    async fn serve(&self, process: &Process, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (read, mut write) = stream.split();
        let mut reader = Reader::new(read);
        while let Ok(Some(head)) = reader.head().await {
            if reader.body(&head).await.is_err() {
                return;
            }
            let id = head.get("attempt-id").unwrap_or_default().to_owned();
            let headers = format!("Attempt-Id: {id}\r\n");
            if head.get("expect-replica") != Some(&process.id) {
                let headers = format!("{headers}Not-Executed: 1\r\n");
                let status = "421 Misdirected Request";
                if http::answer(&mut write, status, &headers, b"").await.is_err() {
                    return;
                }
                continue;
            }
            let is_deadly = self.has_deadly_part(&head);
            let arrival = Arrival { at: Instant::now(), id: id.clone(), is_deadly };
            self.seen.lock().unwrap().arrivals.push(arrival);
            *process.running.lock().unwrap().entry(id.clone()).or_default() += 1;
            if is_deadly {
                self.record.line(format!("{} runs {id}, which has the deadly part", process.id));
            }
            time::sleep(self.first_event_delay).await;
            if is_deadly {
                self.crash(process, &id);
                return;
            }
            let written = self.write_events(&mut write, &head, &headers, process).await;
            process.running.lock().unwrap().remove(&id);
            if written.is_err() {
                return;
            }
        }
    }

    fn has_deadly_part(&self, head: &Head) -> bool {
        let parts = head.get("prefix-hash").unwrap_or_default().split(',');
        parts.filter_map(|part| part.split(':').next()).any(|part| part == self.deadly_part)
    }

    fn crash(&self, process: &Process, id: &str) {
        if process.crashed.send_replace(true) {
            return;
        }
        let running = process.running.lock().unwrap();
        let beside: Vec<String> = running.keys().filter(|other| *other != id).cloned().collect();
        let text = format!("{} crashes on {id}; {} others ran there", process.id, beside.len());
        self.record.line(text);
        self.seen.lock().unwrap().crashes.push((Instant::now(), beside));
    }

    async fn write_events(
        &self,
        write: &mut (impl AsyncWriteExt + Unpin),
        head: &Head,
        headers: &str,
        process: &Process,
    ) -> std::io::Result<()> {
        let last = head.get("last-event-id").and_then(|last| last.parse::<u64>().ok());
        let head = format!(
            "HTTP/1.1 200 OK\r\n{headers}Replica-Signature: {}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            process.id
        );
        write.write_all(head.as_bytes()).await?;
        for id in last.unwrap_or(0) + 1..=self.events {
            let event = format!("id: {id}\ndata: {} {id}\n\n", self.event_text);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            write.write_all(chunk.as_bytes()).await?;
            time::sleep(EVENT_PAUSE).await;
        }
        write.write_all(b"0\r\n\r\n").await
    }
}

fn entry(address: SocketAddr, sequence: u64, born: u64) -> String {
    fleet::entry("writers", address, "ready", SLOTS, sequence, born)
}
