//! Answers held by other nodes.

use std::time::Duration;

use rhubarbrock::{action, id};
use rhubarbrock_schema::peer;

use crate::{answer, openai, peer_client};

/// Longest time one question waits for new text.
const POLL_WAIT: Duration = Duration::from_millis(1_000);

/// Time in which some node must show that it holds a request, once one was known to.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(30);

/// Rounds of asking all nodes for a request that none was known to hold.
const MAX_UNKNOWN_ROUNDS: u32 = 3;

/// Pause between rounds, while an adopter may still be taking over.
const ROUND_DELAY: Duration = Duration::from_millis(300);

/// Reads a request's answer from the nodes that may hold it.
pub struct RemoteAnswer {
    peers: peer_client::PeerClient,
    request: id::RequestId,
    organisation: String,
    nodes: Vec<action::PeerAddress>,
    offset: u64,
    is_found: bool,
}

/// What other nodes know of a request.
pub enum FoundAnswer {
    /// A model's answer.
    Model(Option<answer::Metadata>, answer::Part),
    /// A plain service's answer.
    Plain(peer::PlainReply),
}

impl RemoteAnswer {
    /// Reads for `organisation` from byte `offset` on; `nodes` are asked in order.
    pub fn new(
        peers: peer_client::PeerClient,
        request: id::RequestId,
        organisation: String,
        nodes: Vec<action::PeerAddress>,
        offset: u64,
    ) -> RemoteAnswer {
        RemoteAnswer { peers, request, organisation, nodes, offset, is_found: false }
    }

    /// Nodes known to have held the request are waited for longer.
    pub fn assume_found(mut self) -> RemoteAnswer {
        self.is_found = true;
        self
    }

    /// Text past the offset, or the end; `None` where no node knows the request.
    pub async fn read(&mut self) -> Option<FoundAnswer> {
        let started = tokio::time::Instant::now();
        let mut rounds = 0;
        loop {
            for index in 0..self.nodes.len() {
                let Some(reply) = self.find_at(self.nodes[index]).await else { continue };
                // A copy says that the request exists and will be adopted.
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

/// What never changes of the request's answer.
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
