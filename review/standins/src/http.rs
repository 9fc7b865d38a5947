//! Minimal HTTP/1.1 over blocking sockets, for stand-ins and clients.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Head and body of a message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// Body as far as it was received.
    pub body: Vec<u8>,
}

impl Message {
    /// First value of a header; the name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Second word of the start line: target of a request, or status of an answer.
    pub fn second_word(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of an answer; 0 if it cannot be read.
    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or_default()
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body of a request, which has a length, chunks or nothing.
pub fn read_request_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if message.header("transfer-encoding").is_some() {
        while read_chunk(reader, &mut message.body)? {}
        return Ok(());
    }
    let length: usize =
        message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)
}

/// Reads one chunk; returns false for the last one.
fn read_chunk(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<bool> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
    let start = body.len();
    body.resize(start + length, 0);
    reader.read_exact(&mut body[start..])?;
    line.clear();
    reader.read_line(&mut line)?;
    Ok(length > 0)
}

/// Outcome of a client's request.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Answer as far as it was received; `None` without a head.
    pub answer: Option<Message>,
    /// Whether the answer was complete.
    pub is_whole: bool,
    /// Why it was not.
    pub error: String,
    /// Time from the request to the head.
    pub head_after: Option<Duration>,
    /// Time from the request to the end.
    pub ended_after: Duration,
}

impl Reply {
    /// Status; 0 without an answer.
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, Message::status)
    }
}

/// Sends a request on a new connection and reads the answer until it ends or `limit` has passed.
/// Bodies longer than 64 KiB are read but not kept.
pub fn request(address: SocketAddr, text: &[u8], limit: Duration) -> Reply {
    let started = Instant::now();
    let mut reply = Reply {
        answer: None,
        is_whole: false,
        error: String::new(),
        head_after: None,
        ended_after: Duration::ZERO,
    };
    if let Err(error) = exchange(address, text, started + limit, started, &mut reply) {
        reply.error = error.to_string();
    } else {
        reply.is_whole = true;
    }
    reply.ended_after = started.elapsed();
    reply
}

/// Socket whose reads fail at a deadline.
struct Timed {
    stream: TcpStream,
    until: Instant,
}

impl Read for Timed {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let left = self.until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        match self.stream.read(buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                Err(io::ErrorKind::TimedOut.into())
            }
            result => result,
        }
    }
}

fn exchange(
    address: SocketAddr,
    text: &[u8],
    until: Instant,
    started: Instant,
    reply: &mut Reply,
) -> io::Result<()> {
    let left = until.saturating_duration_since(Instant::now()).min(Duration::from_secs(1));
    let mut stream = TcpStream::connect_timeout(&address, left)?;
    stream.set_nodelay(true)?;
    stream.write_all(text)?;
    let mut reader = BufReader::new(Timed { stream, until });
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    reply.head_after = Some(started.elapsed());
    reply.answer = Some(head);
    let Some(answer) = reply.answer.as_mut() else { return Ok(()) };
    if answer.header("transfer-encoding").is_some() {
        while read_chunk(&mut reader, &mut answer.body)? {
            if answer.body.len() > 64 * 1024 {
                answer.body.clear();
            }
        }
        return Ok(());
    }
    let length = answer.header("content-length").and_then(|text| text.parse::<usize>().ok());
    match length {
        Some(length) => {
            answer.body = vec![0; length];
            reader.read_exact(&mut answer.body)
        }
        None => reader.read_to_end(&mut answer.body).map(|_| ()),
    }
}
