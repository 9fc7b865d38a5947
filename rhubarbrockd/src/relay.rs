//! Reads the answers to requests that other nodes hold.

use std::time::Duration;

use rhubarbrock::{action, id};
use rhubarbrock_schema::peer;

use crate::{answer, openai, peer_client};

/// Time for which a node holds a query that has no new text.
const POLL_WAIT: Duration = Duration::from_millis(1_000);

/// Time after which a read fails if no node has the answer to a request that is known to exist.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of rounds of queries for a request that is not known to exist.
const MAX_UNKNOWN_ROUNDS: u32 = 3;

/// Delay between rounds; in the meantime a node with a backup copy may continue the request.
const ROUND_DELAY: Duration = Duration::from_millis(300);

/// Reads the answer to a request from the nodes that may hold it.
pub struct RemoteAnswer {
    peers: peer_client::PeerClient,
    request: id::RequestId,
    organisation: String,
    nodes: Vec<action::PeerAddress>,
    offset: u64,
    is_found: bool,
}

/// Reply of a node that has an answer to the request.
pub enum FoundAnswer {
    /// Part of a model's answer; without metadata if the reply has no valid record.
    Model(Option<answer::Metadata>, answer::Part),
    /// Answer of a plain service.
    Plain(peer::PlainReply),
}

impl RemoteAnswer {
    /// Reads for `organisation`, starting at byte `offset`; `nodes` are queried in this order.
    pub fn new(
        peers: peer_client::PeerClient,
        request: id::RequestId,
        organisation: String,
        nodes: Vec<action::PeerAddress>,
        offset: u64,
    ) -> RemoteAnswer {
        RemoteAnswer { peers, request, organisation, nodes, offset, is_found: false }
    }

    /// Treats the request as known to exist, so that reads wait longer for its holder.
    pub fn assume_found(mut self) -> RemoteAnswer {
        self.is_found = true;
        self
    }

    /// Waits for text after the offset or for the finish; `None` if no node has the answer in time.
    pub async fn read(&mut self) -> Option<FoundAnswer> {
        let started = tokio::time::Instant::now();
        let mut rounds = 0;
        loop {
            for index in 0..self.nodes.len() {
                let Some(reply) = self.find_at(self.nodes[index]).await else { continue };
                // A backup copy shows that the request exists; its custodian will continue it.
                self.is_found |= reply.state() == peer::FindState::Kept;
                if let Some(found) = self.accept_reply(reply) {
                    self.nodes.swap(0, index);
                    self.is_found = true;
                    return Some(found);
                }
            }
            rounds += 1;
            let gives_up = if self.is_found {
                started.elapsed() > HOLDER_TIMEOUT
            } else {
                rounds >= MAX_UNKNOWN_ROUNDS
            };
            if gives_up {
                return None;
            }
            tokio::time::sleep(ROUND_DELAY).await;
        }
    }

    async fn find_at(&self, node: action::PeerAddress) -> Option<peer::FindReply> {
        let call = peer::FindCall {
            request: self.request.to_string(),
            organisation: self.organisation.clone(),
            offset: self.offset,
            wait_ms: POLL_WAIT.as_millis() as u32,
        };
        self.peers.find(node.address, call).await.ok()
    }

    fn accept_reply(&mut self, reply: peer::FindReply) -> Option<FoundAnswer> {
        if let Some(plain) = reply.plain {
            return Some(FoundAnswer::Plain(plain));
        }
        let is_complete_backup = reply.state() == peer::FindState::Kept && reply.finish.is_some();
        if reply.state() != peer::FindState::Held && !is_complete_backup {
            return None;
        }
        let metadata = reply.record.as_ref().and_then(metadata);
        let chunks = answer::split_chunks(&reply.text, &reply.chunk_bytes);
        self.offset += reply.text.len() as u64;
        let part = answer::Part {
            chunks,
            finish: reply.finish,
            next_offset: self.offset,
            moved_to: Vec::new(),
        };
        Some(FoundAnswer::Model(metadata, part))
    }
}

/// Metadata of the answer to a recorded request; `None` if the request's id is invalid.
pub fn metadata(record: &peer::RequestRecord) -> Option<answer::Metadata> {
    Some(answer::Metadata {
        request: record.request.parse().ok()?,
        organisation: record.organisation.clone(),
        service: record.service.clone(),
        is_chat: record.path == openai::CHAT_PATH,
        streamed: record.streamed,
        stream_usage: record.stream_usage,
        created_s: record.created_s,
    })
}
