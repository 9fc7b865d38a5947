//! HTTP/1.1 messages over TCP, for the stand-ins and for clients.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Head of a request or an answer, with lower-case header names.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// First line.
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value.to_owned()).next()
    }
}

/// Reads messages from one direction of a connection.
pub struct Reader<R> {
    stream: R,
    buffer: Vec<u8>,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    pub fn new(stream: R) -> Reader<R> {
        Reader { stream, buffer: Vec::new() }
    }

    async fn fill(&mut self) -> io::Result<()> {
        match self.stream.read_buf(&mut self.buffer).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Reads the next head; `None` if the connection ends before it.
    pub async fn head(&mut self) -> io::Result<Option<Head>> {
        let mut scanned = 0;
        let end = loop {
            let from = usize::saturating_sub(scanned, 3);
            let found = self.buffer[from..].windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(end) = found {
                break from + end;
            }
            scanned = self.buffer.len();
            if let Err(error) = self.fill().await {
                return if self.buffer.is_empty() { Ok(None) } else { Err(error) };
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()));
        Ok(Some(Head { start, headers: headers.collect() }))
    }

    async fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill().await?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    async fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.fill().await?;
        }
    }

    /// Reads the body that follows a head, with a length or in chunks.
    pub async fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
            let mut body = Vec::new();
            loop {
                let size = usize::from_str_radix(self.line().await?.trim(), 16);
                let size = size.map_err(io::Error::other)?;
                body.extend(self.exactly(size).await?);
                self.line().await?;
                if size == 0 {
                    return Ok(body);
                }
            }
        }
        let length = head.get("content-length").and_then(|length| length.parse().ok());
        self.exactly(length.unwrap_or(0)).await
    }
}

/// Writes an answer with a length.
pub async fn answer(
    stream: &mut (impl AsyncWriteExt + Unpin),
    status: &str,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message).await
}

/// Has a connection reset when it is dropped.
pub fn reset_on_drop(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(std::time::Duration::ZERO));
}
