//! Stand-in for a replica of a plain service, which answers at once.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::net::{TcpListener, TcpStream};

use crate::http::{self, Reader};

/// Replica; clones share its count.
#[derive(Clone)]
pub struct Desk {
    pub id: String,
    pub address: SocketAddr,
    answered: Arc<AtomicU64>,
}

impl Desk {
    pub async fn start(id: &str, ip: IpAddr) -> Desk {
        let listener = TcpListener::bind((ip, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let desk = Desk { id: id.to_owned(), address, answered: Arc::default() };
        let served = desk.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(served.clone().serve(stream));
            }
        });
        desk
    }

    pub fn answered(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }

    async fn serve(self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (read, mut write) = stream.split();
        let mut reader = Reader::new(read);
        while let Ok(Some(head)) = reader.head().await {
            if reader.body(&head).await.is_err() {
                return;
            }
            let id = head.get("attempt-id").unwrap_or_default();
            let is_meant = head.get("expect-replica") == Some(&self.id);
            let sent = if is_meant {
                self.answered.fetch_add(1, Ordering::Relaxed);
                let headers =
                    format!("Attempt-Id: {id}\r\nReplica-Signature: {}-{id}\r\n", self.id);
                http::answer(&mut write, "200 OK", &headers, b"in stock").await
            } else {
                let headers = format!("Attempt-Id: {id}\r\nNot-Executed: 1\r\n");
                http::answer(&mut write, "421 Misdirected Request", &headers, b"").await
            };
            if sent.is_err() {
                return;
            }
        }
    }
}
