//! Calls to other nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jsonrpsee::core::client::Error;
use jsonrpsee::http_client::{HeaderMap, HeaderValue, HttpClient, HttpClientBuilder};
use rhubarbrock_schema::peer;

use crate::peer_api::{self, PeerClient as _};
use crate::peer_key;

/// Longest time for a call that does not wait on purpose.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest message between nodes, in bytes.
pub const MAX_MESSAGE_BYTES: u32 = 16 * 1024 * 1024;

/// Clients kept, by address, before all are made anew.
const MAX_CLIENTS: usize = 1_024;

/// Clients of other nodes; clones share them.
#[derive(Clone)]
pub struct PeerClient {
    token: String,
    by_address: Arc<Mutex<HashMap<SocketAddr, HttpClient>>>,
}

impl PeerClient {
    /// Clients that prove `key`.
    pub fn new(key: &peer_key::PeerKey) -> PeerClient {
        PeerClient { token: key.token(), by_address: Arc::new(Mutex::new(HashMap::new())) }
    }

    /// Asks the node to keep records.
    pub async fn store(
        &self,
        to: SocketAddr,
        call: peer::StoreCall,
    ) -> Result<peer::StoreReply, Error> {
        self.client(to)?.custody_store(call).await
    }

    /// Tells the node of progress.
    pub async fn progress(
        &self,
        to: SocketAddr,
        call: peer::ProgressCall,
    ) -> Result<peer::ProgressReply, Error> {
        self.client(to)?.custody_progress(call).await
    }

    /// Asks the node for a request.
    pub async fn find(
        &self,
        to: SocketAddr,
        call: peer::FindCall,
    ) -> Result<peer::FindReply, Error> {
        self.client(to)?.request_find(call).await
    }

    /// Asks the node for its release.
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
        let token = HeaderValue::from_str(&self.token).expect("a hex token is a header value");
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
