//! Calls between nodes, over JSON-RPC.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use rhubarbrock_schema::peer;

/// Header with the token derived from the shared key.
pub const TOKEN_HEADER: &str = "x-peer-token";

/// What a node answers to other nodes.
#[rpc(client, server)]
pub trait Peer {
    /// Keep request records, or adopt them.
    #[method(name = "custody_store")]
    async fn custody_store(&self, call: peer::StoreCall) -> RpcResult<peer::StoreReply>;

    /// Progress of records kept.
    #[method(name = "custody_progress")]
    async fn custody_progress(&self, call: peer::ProgressCall) -> RpcResult<peer::ProgressReply>;

    /// State of a request.
    #[method(name = "request_find")]
    async fn request_find(&self, call: peer::FindCall) -> RpcResult<peer::FindReply>;

    /// The release in force.
    #[method(name = "release_fetch")]
    async fn release_fetch(&self) -> RpcResult<peer::ReleaseReply>;
}
