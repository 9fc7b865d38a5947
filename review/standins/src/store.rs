//! Stand-in for the platform's store, which also accepts all calls under a duty.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};

type Row = (String, Vec<u8>);

#[derive(Default)]
struct State {
    topics: HashMap<String, Vec<Row>>,
    /// Whether all calls get status 503 and have no effect.
    is_busy: bool,
    /// Time of the last check-in of each replica that has an entry.
    check_ins: HashMap<String, Instant>,
}

/// Topic of the replicas' entries.
const SERVERS: &str = "keyed.servers";

/// Store; clones share its state.
#[derive(Clone, Default)]
pub struct Store(Arc<Mutex<State>>);

impl Store {
    /// Serves the store at a free loopback address.
    pub fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        address
    }

    /// Writes a record; an empty value removes the key.
    pub fn write(&self, topic: &str, key: &str, value: &str) {
        let row = (key.to_owned(), value.as_bytes().to_vec());
        self.0.lock().unwrap().topics.entry(topic.to_owned()).or_default().push(row);
    }

    /// Sets whether all calls, also those of the replicas, get status 503 and have no effect.
    pub fn set_busy(&self, is_busy: bool) {
        self.0.lock().unwrap().is_busy = is_busy;
    }

    /// Waits until all replicas that have an entry have checked in within the last 100 ms.
    pub fn wait_for_check_ins(&self) {
        let recent = Duration::from_millis(100);
        let until = Instant::now() + Duration::from_secs(5);
        while Instant::now() < until {
            let is_recent = |at: &Instant| at.elapsed() < recent;
            if self.0.lock().unwrap().check_ins.values().all(is_recent) {
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Writes the entry of a replica that checks in; returns whether the store accepted it.
    pub fn check_in(&self, id: &str, entry: &str) -> bool {
        let mut state = self.0.lock().unwrap();
        if state.is_busy {
            return false;
        }
        state.check_ins.insert(id.to_owned(), Instant::now());
        let row = (id.to_owned(), entry.as_bytes().to_vec());
        state.topics.entry(SERVERS.to_owned()).or_default().push(row);
        true
    }

    /// Removes the entries of replicas that have been silent for `limit`, also while the store is
    /// busy. Returns their ids.
    pub fn remove_silent(&self, limit: Duration) -> Vec<String> {
        let mut state = self.0.lock().unwrap();
        let now = Instant::now();
        let is_silent = |at: &Instant| now.saturating_duration_since(*at) >= limit;
        let silent: Vec<String> = state
            .check_ins
            .iter()
            .filter(|(_, at)| is_silent(at))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &silent {
            state.check_ins.remove(id);
            state.topics.entry(SERVERS.to_owned()).or_default().push((id.clone(), Vec::new()));
        }
        silent
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut call)) = http::read_head(&mut reader) {
            if http::read_request_body(&mut reader, &mut call).is_err() {
                return;
            }
            let is_busy = self.0.lock().unwrap().is_busy;
            let (status, body) = if is_busy { (503, Vec::new()) } else { self.answer(&call) };
            let head = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n\r\n", body.len());
            if writer.write_all(&[head.as_bytes(), &body].concat()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, Vec<u8>) {
        let (path, query) = call.second_word().split_once('?').unwrap_or((call.second_word(), ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let topic = query.get("topic").copied().unwrap_or_default();
        match path {
            "/log-newest" => (200, self.newest(topic)),
            "/log-read" => self.read(topic, &query),
            "/log-append" => self.append(topic, query.get("at").copied(), &call.body),
            "/usage" | "/scale" => (200, Vec::new()),
            _ => (404, Vec::new()),
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let state = self.0.lock().unwrap();
        let rows = state.topics.get(topic).cloned().unwrap_or_default();
        let mut newest: HashMap<String, (usize, Vec<u8>)> = HashMap::new();
        for (offset, (key, value)) in rows.iter().enumerate() {
            newest.insert(key.clone(), (offset, value.clone()));
        }
        let entries: Vec<String> = newest
            .iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
            })
            .collect();
        let (entries, end) = (entries.join(","), rows.len());
        format!(r#"{{"entries":[{entries}],"has_more":false,"end_offset":{end}}}"#).into_bytes()
    }

    fn read(&self, topic: &str, query: &HashMap<&str, &str>) -> (u16, Vec<u8>) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or_default() as usize;
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or_default());
        loop {
            {
                let state = self.0.lock().unwrap();
                let rows: &[Row] = state.topics.get(topic).map_or(&[], Vec::as_slice);
                if rows.len() < from {
                    return (410, br#"{"first":0}"#.to_vec());
                }
                if rows.len() > from || Instant::now() >= until {
                    let mut body = (rows.len() as u64).to_be_bytes().to_vec();
                    body.extend_from_slice(&0_u64.to_be_bytes());
                    for (key, value) in &rows[from..] {
                        let length = (1 + key.len() + value.len()) as u32;
                        body.extend_from_slice(&length.to_be_bytes());
                        body.push(key.len() as u8);
                        body.extend_from_slice(key.as_bytes());
                        body.extend_from_slice(value);
                    }
                    return (200, body);
                }
            }
            thread::sleep(Duration::from_millis(4));
        }
    }

    fn append(&self, topic: &str, at: Option<&str>, mut body: &[u8]) -> (u16, Vec<u8>) {
        let mut state = self.0.lock().unwrap();
        let rows = state.topics.entry(topic.to_owned()).or_default();
        let first = rows.len();
        if at.is_some_and(|at| at != first.to_string()) {
            return (412, format!(r#"{{"end_offset":{first}}}"#).into_bytes());
        }
        while body.len() >= 5 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            let content = &body[4..4 + length];
            let (key, value) = content[1..].split_at(usize::from(content[0]));
            rows.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            body = &body[4 + length..];
        }
        let end = rows.len();
        (200, format!(r#"{{"offset":{first},"end_offset":{end}}}"#).into_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut value = 0_u32;
        for index in 0..3 {
            value = value << 8 | u32::from(group.get(index).copied().unwrap_or_default());
        }
        for index in 0..4 {
            let digit = ALPHABET[(value >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
