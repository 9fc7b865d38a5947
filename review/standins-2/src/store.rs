//! Stand-in for the platform's store and its duty API: a log with keyed topics.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

use crate::http::{self, Reader};

type Row = (String, Vec<u8>);

#[derive(Default)]
struct State {
    topics: HashMap<String, Vec<Row>>,
}

/// Store; clones share the state.
#[derive(Clone, Default)]
pub struct Store(Arc<Mutex<State>>);

impl Store {
    /// Serves the store at one more address, which only one machine uses.
    pub async fn listen(&self, ip: IpAddr) -> SocketAddr {
        let listener = TcpListener::bind((ip, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let store = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(store.clone().serve(stream));
            }
        });
        address
    }

    /// Writes a record and returns when that was acknowledged. An empty value removes the key.
    pub fn write(&self, topic: &str, key: &str, value: &str) -> Instant {
        let row = (key.to_owned(), value.as_bytes().to_vec());
        self.0.lock().unwrap().topics.entry(topic.to_owned()).or_default().push(row);
        Instant::now()
    }

    async fn serve(self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (read, mut write) = stream.split();
        let mut reader = Reader::new(read);
        while let Ok(Some(head)) = reader.head().await {
            let Ok(body) = reader.body(&head).await else { return };
            let path = head.target().split('?').next().unwrap_or_default();
            let topic = head.query("topic").unwrap_or_default();
            let (status, answer) = match path {
                "/log-newest" => ("200 OK", self.newest(&topic)),
                "/log-read" => {
                    let from = head.query("from").and_then(|from| from.parse().ok()).unwrap_or(0);
                    let wait = head.query("wait_ms").and_then(|wait| wait.parse().ok());
                    self.read(&topic, from, Duration::from_millis(wait.unwrap_or(0))).await
                }
                "/log-append" => self.append(&topic, head.query("at"), &body),
                "/usage" | "/scale" => ("200 OK", Vec::new()),
                _ => ("404 Not Found", Vec::new()),
            };
            if http::answer(&mut write, status, "", &answer).await.is_err() {
                return;
            }
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let state = self.0.lock().unwrap();
        let rows = state.topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut newest: HashMap<&str, (usize, &[u8])> = HashMap::new();
        for (offset, (key, value)) in rows.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        newest.retain(|_, (_, value)| !value.is_empty());
        let entries = newest.iter().map(|(key, (offset, value))| {
            json!({"key": key, "value": BASE64_STANDARD.encode(value), "offset": offset})
        });
        let entries: Vec<Value> = entries.collect();
        let page = json!({"entries": entries, "has_more": false, "end_offset": rows.len()});
        page.to_string().into_bytes()
    }

    async fn read(&self, topic: &str, from: usize, wait: Duration) -> (&'static str, Vec<u8>) {
        let until = Instant::now() + wait;
        loop {
            {
                let state = self.0.lock().unwrap();
                let rows = state.topics.get(topic).map(Vec::as_slice).unwrap_or_default();
                if rows.len() < from {
                    return ("410 Gone", json!({"first": 0}).to_string().into_bytes());
                }
                if rows.len() > from || Instant::now() >= until {
                    let mut body = (rows.len() as u64).to_be_bytes().to_vec();
                    body.extend(0_u64.to_be_bytes());
                    for (key, value) in &rows[from..] {
                        body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                        body.push(key.len() as u8);
                        body.extend(key.as_bytes());
                        body.extend(value);
                    }
                    return ("200 OK", body);
                }
            }
            time::sleep(Duration::from_millis(4)).await;
        }
    }

    fn append(&self, topic: &str, at: Option<String>, body: &[u8]) -> (&'static str, Vec<u8>) {
        let mut state = self.0.lock().unwrap();
        let rows = state.topics.entry(topic.to_owned()).or_default();
        let end = rows.len();
        if at.is_some_and(|at| at != end.to_string()) {
            let end = json!({"end_offset": end}).to_string();
            return ("412 Precondition Failed", end.into_bytes());
        }
        let mut rest = body;
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let (record, next) = rest[4..].split_at(length);
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            rows.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            rest = next;
        }
        let answer = json!({"offset": end, "end_offset": rows.len()}).to_string();
        ("200 OK", answer.into_bytes())
    }
}
