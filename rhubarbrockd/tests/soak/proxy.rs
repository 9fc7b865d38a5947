//! A loopback proxy whose connections can be delayed, silenced, or reset.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

/// Interval at which a held connection looks whether it may go on.
const POLL: Duration = Duration::from_millis(10);

const BUFFER_BYTES: usize = 16 * 1024;

/// What the proxy does with connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Link {
    Sound,
    Delayed(Duration),
    /// Nothing passes until it is sound again.
    Silent,
    /// Only what comes back is held.
    OneWay,
    Reset,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    There,
    Back,
}

/// One proxy; clones share their state.
#[derive(Debug, Clone)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    link: Arc<Mutex<Link>>,
}

impl Proxy {
    pub(crate) async fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let proxy = Proxy { address, link: Arc::new(Mutex::new(Link::Sound)) };
        let served = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(served.clone().pass(stream, target));
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

    async fn pass(self, near: TcpStream, target: SocketAddr) {
        let Ok(far) = TcpStream::connect(target).await else { return };
        for stream in [&near, &far] {
            // Dropped connections end by a reset, as cut ones do.
            if stream.set_nodelay(true).is_err() || stream.set_zero_linger().is_err() {
                return;
            }
        }
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::select! {
            () = self.copy(near_read, far_write, Direction::There) => {}
            () = self.copy(far_read, near_write, Direction::Back) => {}
            () = self.until_reset() => {}
        }
    }

    async fn copy(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, direction: Direction) {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(bytes @ 1..) = from.read(&mut buffer).await {
            self.wait(direction).await;
            if to.write_all(&buffer[..bytes]).await.is_err() {
                return;
            }
        }
        self.wait(direction).await;
    }

    async fn wait(&self, direction: Direction) {
        if let Link::Delayed(delay) = self.link() {
            time::sleep(delay).await;
        }
        let is_held = || match self.link() {
            Link::Silent => true,
            Link::OneWay => direction == Direction::Back,
            Link::Sound | Link::Delayed(_) | Link::Reset => false,
        };
        while is_held() {
            time::sleep(POLL).await;
        }
    }

    async fn until_reset(&self) {
        while self.link() != Link::Reset {
            time::sleep(POLL).await;
        }
    }
}
