//! JSON-RPC client for other nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jsonrpsee::core::client::Error;
use jsonrpsee::http_client::{HeaderMap, HeaderValue, HttpClient, HttpClientBuilder};
use rhubarbrock_schema::peer;

use crate::peer_api::{self, PeerClient as _};
use crate::peer_key;

/// Time limit of a call; longer than the wait that a `request_find` call asks for.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a message between nodes, in bytes.
pub const MAX_MESSAGE_BYTES: u32 = 16 * 1024 * 1024;

/// Number of cached clients at which the cache is cleared.
const MAX_CLIENTS: usize = 1_024;

/// Clients of other nodes by address; clones share the cache.
#[derive(Clone)]
pub struct PeerClient {
    token: String,
    by_address: Arc<Mutex<HashMap<SocketAddr, HttpClient>>>,
}

impl PeerClient {
    /// Creates a client that authenticates with `key`.
    pub fn new(key: &peer_key::PeerKey) -> PeerClient {
        PeerClient { token: key.token(), by_address: Arc::new(Mutex::new(HashMap::new())) }
    }

    /// Calls `custody_store`.
    pub async fn store(
        &self,
        to: SocketAddr,
        call: peer::StoreCall,
    ) -> Result<peer::StoreReply, Error> {
        self.client(to)?.custody_store(call).await
    }

    /// Calls `custody_progress`.
    pub async fn progress(
        &self,
        to: SocketAddr,
        call: peer::ProgressCall,
    ) -> Result<peer::ProgressReply, Error> {
        self.client(to)?.custody_progress(call).await
    }

    /// Calls `request_find`.
    pub async fn find(
        &self,
        to: SocketAddr,
        call: peer::FindCall,
    ) -> Result<peer::FindReply, Error> {
        self.client(to)?.request_find(call).await
    }

    /// Calls `release_fetch`.
    pub async fn release(&self, to: SocketAddr) -> Result<peer::ReleaseReply, Error> {
        self.client(to)?.release_fetch().await
    }

    fn client(&self, to: SocketAddr) -> Result<HttpClient, Error> {
        let mut by_address = self.by_address.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = by_address.get(&to) {
            return Ok(client.clone());
        }
        if by_address.len() >= MAX_CLIENTS {
            by_address.clear();
        }
        let mut headers = HeaderMap::new();
        let token =
            HeaderValue::from_str(&self.token).expect("a hex token is a valid header value");
        headers.insert(peer_api::TOKEN_HEADER, token);
        let client = HttpClientBuilder::default()
            .set_headers(headers)
            .request_timeout(CALL_TIMEOUT)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .build(format!("http://{to}"))?;
        by_address.insert(to, client.clone());
        Ok(client)
    }
}
