//! The peers' thread: calls and datagrams from and to other nodes.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::{self, HttpBody};
use jsonrpsee::types::ErrorObjectOwned;
use prost::Message;
use rhubarbrock::{action, custody, event};
use rhubarbrock_schema::peer;
use tokio::net::{TcpListener, UdpSocket};
use tower::Service;

use crate::peer_api::{self, PeerServer};
use crate::{peer_client, peer_key, pending, ring};

/// Maximum number of open connections from other nodes.
const MAX_CONNECTIONS: u32 = 1_024;

/// Maximum size of a received datagram, in bytes; a longer one is truncated and therefore rejected.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// JSON-RPC error code if the decision thread cannot reply.
const UNAVAILABLE_CODE: i32 = -32_000;

/// Command of the decision thread to the peers' thread.
#[derive(Debug)]
pub enum Command {
    /// Send a datagram.
    Datagram {
        /// Destination.
        to: SocketAddr,
        /// Content, to be authenticated.
        datagram: Box<peer::Datagram>,
    },
    /// Call `custody_store`.
    Store {
        /// Destination.
        to: action::PeerAddress,
        /// Number that the reply event repeats.
        number: custody::CallNumber,
        /// Argument of the call.
        call: peer::StoreCall,
    },
    /// Call `custody_progress`.
    Progress {
        /// Destination.
        to: action::PeerAddress,
        /// Number that the reply event repeats.
        number: custody::CallNumber,
        /// Argument of the call.
        call: peer::ProgressCall,
    },
    /// Call `release_fetch`.
    Release {
        /// Destination.
        to: action::PeerAddress,
    },
}

/// Calls of other nodes that wait for a reply of the decision thread.
pub type PendingReplies = pending::Pending<event::Reply>;

/// Bound TCP and UDP sockets of the peers' address.
pub struct Sockets {
    listener: std::net::TcpListener,
    socket: std::net::UdpSocket,
}

/// Binds the peers' address for TCP and UDP.
///
/// The error names the address and its flag.
pub fn bind(address: SocketAddr) -> anyhow::Result<Sockets> {
    let context = || format!("cannot listen on {address} (--peer-address)");
    let listener = std::net::TcpListener::bind(address).with_context(context)?;
    listener.set_nonblocking(true)?;
    let socket = std::net::UdpSocket::bind(address).with_context(context)?;
    socket.set_nonblocking(true)?;
    Ok(Sockets { listener, socket })
}

/// Server for and client of other nodes.
#[derive(Clone)]
pub struct Peers {
    /// Event ring of the decision thread.
    pub events: ring::Sender<event::Event>,
    /// Calls that wait for a reply of the decision thread.
    pub replies: Arc<PendingReplies>,
    /// Key that authenticates datagrams and calls.
    pub key: peer_key::PeerKey,
    /// Client for calls to other nodes.
    pub client: peer_client::PeerClient,
}

impl Peers {
    /// Serves calls and datagrams and executes commands until the decision thread ends.
    ///
    /// Fails if the sockets cannot be registered with the runtime.
    pub async fn run(
        self,
        sockets: Sockets,
        commands: ring::TaskReceiver<Command>,
    ) -> anyhow::Result<()> {
        let listener = TcpListener::from_std(sockets.listener)?;
        let socket = Arc::new(UdpSocket::from_std(sockets.socket)?);
        tokio::spawn(self.clone().receive_datagrams(Arc::clone(&socket)));
        tokio::spawn(self.clone().serve_calls(listener));
        self.run_commands(commands, socket).await;
        Ok(())
    }

    async fn receive_datagrams(self, socket: Arc<UdpSocket>) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
            let verified = self.key.verify_datagram(&buffer[..length]);
            let Some(datagram) = verified.and_then(|bytes| peer::Datagram::decode(bytes).ok())
            else {
                metrics::counter!("rhubarbrock_datagrams_refused_total").increment(1);
                continue;
            };
            metrics::counter!("rhubarbrock_datagram_received_bytes_total").increment(length as u64);
            let datagram = Box::new(datagram);
            // Datagrams may be lost, so they are dropped if the ring is full.
            let _ =
                self.events.push(event::Event::Peer(event::PeerEvent::Datagram { from, datagram }));
        }
    }

    async fn serve_calls(self, listener: TcpListener) {
        let (stop, _server) = server::stop_channel();
        let config = server::ServerConfig::builder()
            .max_request_body_size(peer_client::MAX_MESSAGE_BYTES)
            .max_response_body_size(peer_client::MAX_MESSAGE_BYTES)
            .max_connections(MAX_CONNECTIONS)
            .http_only()
            .build();
        let builder = server::Server::builder().set_config(config).to_service_builder();
        let key = self.key.clone();
        let methods = server::Methods::from(self.into_rpc());
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let service = builder.clone().build(methods.clone(), stop.clone());
            let key = key.clone();
            let checked_service = tower::service_fn(move |request: Request<Incoming>| {
                let mut service = service.clone();
                let is_known = has_token(&key, &request);
                async move { if is_known { service.call(request).await } else { Ok(unauthorized()) } }
            });
            tokio::spawn(server::serve_with_graceful_shutdown(
                stream,
                checked_service,
                stop.clone().shutdown(),
            ));
        }
    }

    async fn run_commands(self, mut commands: ring::TaskReceiver<Command>, socket: Arc<UdpSocket>) {
        while let Some(command) = commands.recv().await {
            match command {
                Command::Datagram { to, datagram } => {
                    let tagged = self.key.tag_datagram(&datagram.encode_to_vec());
                    metrics::counter!("rhubarbrock_datagram_sent_bytes_total")
                        .increment(tagged.len() as u64);
                    let _ = socket.send_to(&tagged, to).await;
                }
                Command::Store { to, number, call } => {
                    tokio::spawn(self.clone().store(to, number, call));
                }
                Command::Progress { to, number, call } => {
                    tokio::spawn(self.clone().progress(to, number, call));
                }
                Command::Release { to } => {
                    tokio::spawn(self.clone().release(to));
                }
            }
        }
    }

    async fn store(
        self,
        to: action::PeerAddress,
        number: custody::CallNumber,
        call: peer::StoreCall,
    ) {
        let reply = self.client.store(to.address, call).await.ok();
        self.send_event(event::PeerEvent::StoreReplied { number, reply }).await;
    }

    async fn progress(
        self,
        to: action::PeerAddress,
        number: custody::CallNumber,
        call: peer::ProgressCall,
    ) {
        let reply = self.client.progress(to.address, call).await.ok();
        self.send_event(event::PeerEvent::ProgressReplied { to: to.node, number, reply }).await;
    }

    async fn release(self, to: action::PeerAddress) {
        let reply = self.client.release(to.address).await.ok().map(Box::new);
        self.send_event(event::PeerEvent::ReleaseFetched { reply }).await;
    }

    async fn send_event(&self, event: event::PeerEvent) {
        self.events.send(event::Event::Peer(event)).await;
    }

    async fn query(
        &self,
        make_event: impl FnOnce(event::RpcId) -> event::PeerEvent,
    ) -> RpcResult<event::Reply> {
        let (rpc, reply) = self.replies.register();
        if self.events.push(event::Event::Peer(make_event(rpc))).is_err() {
            self.replies.cancel(rpc);
            return Err(unavailable());
        }
        reply.await.map_err(|_| unavailable())
    }
}

fn has_token(key: &peer_key::PeerKey, request: &Request<Incoming>) -> bool {
    request
        .headers()
        .get(peer_api::TOKEN_HEADER)
        .is_some_and(|token| key.verify_token(token.as_bytes()))
}

fn unauthorized() -> Response<HttpBody> {
    metrics::counter!("rhubarbrock_peer_calls_refused_total").increment(1);
    let mut response = Response::new(HttpBody::empty());
    *response.status_mut() = StatusCode::UNAUTHORIZED;
    response
}

fn unavailable() -> ErrorObjectOwned {
    ErrorObjectOwned::owned(UNAVAILABLE_CODE, "the node cannot answer now", None::<()>)
}

#[async_trait]
impl PeerServer for Peers {
    async fn custody_store(&self, call: peer::StoreCall) -> RpcResult<peer::StoreReply> {
        match self.query(|rpc| event::PeerEvent::Store { rpc, call }).await? {
            event::Reply::Store(reply) => Ok(reply),
            _ => Err(unavailable()),
        }
    }

    async fn custody_progress(&self, call: peer::ProgressCall) -> RpcResult<peer::ProgressReply> {
        match self.query(|rpc| event::PeerEvent::Progress { rpc, call }).await? {
            event::Reply::Progress(reply) => Ok(reply),
            _ => Err(unavailable()),
        }
    }

    async fn request_find(&self, call: peer::FindCall) -> RpcResult<peer::FindReply> {
        match self.query(|rpc| event::PeerEvent::Find { rpc, call }).await? {
            event::Reply::Find(reply) => Ok(*reply),
            _ => Err(unavailable()),
        }
    }

    async fn release_fetch(&self) -> RpcResult<peer::ReleaseReply> {
        match self.query(|rpc| event::PeerEvent::ReleaseFetch { rpc }).await? {
            event::Reply::Release(reply) => Ok(*reply),
            _ => Err(unavailable()),
        }
    }
}
