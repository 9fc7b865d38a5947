//! JSON-RPC interface between nodes.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use rhubarbrock_schema::peer;

/// Header with the token that is derived from the shared key.
pub const TOKEN_HEADER: &str = "x-peer-token";

/// Methods that a node offers to other nodes.
#[rpc(client, server)]
pub trait Peer {
    /// Stores backup copies of requests, or hands requests over to be continued.
    #[method(name = "custody_store")]
    async fn custody_store(&self, call: peer::StoreCall) -> RpcResult<peer::StoreReply>;

    /// Updates the backup copies of requests.
    #[method(name = "custody_progress")]
    async fn custody_progress(&self, call: peer::ProgressCall) -> RpcResult<peer::ProgressReply>;

    /// Looks up a request and returns its state and answer.
    #[method(name = "request_find")]
    async fn request_find(&self, call: peer::FindCall) -> RpcResult<peer::FindReply>;

    /// Returns the release in force.
    #[method(name = "release_fetch")]
    async fn release_fetch(&self) -> RpcResult<peer::ReleaseReply>;
}
