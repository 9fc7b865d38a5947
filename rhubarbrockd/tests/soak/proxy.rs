//! A loopback TCP proxy whose connections can be delayed, stalled or reset.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

/// Interval between checks whether a stalled connection may continue.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

const BUFFER_BYTES: usize = 16 * 1024;

/// State of the proxy, which applies to all its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Link {
    Healthy,
    Delayed(Duration),
    /// No data passes until the state changes.
    Stalled,
    /// Data from the server is held back; data to the server passes.
    RepliesStalled,
    Reset,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Forward,
    Backward,
}

/// Handle of a proxy; clones share the state.
#[derive(Debug, Clone)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    link: Arc<Mutex<Link>>,
}

impl Proxy {
    pub(crate) async fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let proxy = Proxy { address, link: Arc::new(Mutex::new(Link::Healthy)) };
        let handle = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(handle.clone().relay(stream, target));
            }
        });
        proxy
    }

    pub(crate) fn set(&self, link: Link) {
        *self.link.lock().unwrap() = link;
    }

    fn link(&self) -> Link {
        *self.link.lock().unwrap()
    }

    async fn relay(self, client: TcpStream, target: SocketAddr) {
        let Ok(server) = TcpStream::connect(target).await else { return };
        for stream in [&client, &server] {
            // Dropping a connection then sends a reset, as a broken link does.
            if stream.set_nodelay(true).is_err() || stream.set_zero_linger().is_err() {
                return;
            }
        }
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        tokio::select! {
            () = self.copy(client_read, server_write, Direction::Forward) => {}
            () = self.copy(server_read, client_write, Direction::Backward) => {}
            () = self.wait_for_reset() => {}
        }
    }

    async fn copy(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, direction: Direction) {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(bytes @ 1..) = from.read(&mut buffer).await {
            self.delay_or_hold(direction).await;
            if to.write_all(&buffer[..bytes]).await.is_err() {
                return;
            }
        }
        self.delay_or_hold(direction).await;
    }

    async fn delay_or_hold(&self, direction: Direction) {
        if let Link::Delayed(delay) = self.link() {
            time::sleep(delay).await;
        }
        let is_held = || match self.link() {
            Link::Stalled => true,
            Link::RepliesStalled => direction == Direction::Backward,
            Link::Healthy | Link::Delayed(_) | Link::Reset => false,
        };
        while is_held() {
            time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn wait_for_reset(&self) {
        while self.link() != Link::Reset {
            time::sleep(POLL_INTERVAL).await;
        }
    }
}
