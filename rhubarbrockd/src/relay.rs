//! Answers held by other nodes.

use std::time::Duration;

use rhubarbrock::{action, id};
use rhubarbrock_schema::peer;

use crate::{answer, openai, peer_client};

/// Longest time one question waits for new text.
const WAIT: Duration = Duration::from_millis(1_000);

/// Time in which some node must show that it holds a request, once one was known to.
const HOLDER_LIMIT: Duration = Duration::from_secs(30);

/// Rounds of asking all nodes for a request that none was known to hold.
const FIRST_ROUNDS: u32 = 3;

/// Pause between rounds, while an adopter may still be taking over.
const ROUND_PAUSE: Duration = Duration::from_millis(300);

/// Reads a request's answer from the nodes that may hold it.
pub struct Remote {
    peers: peer_client::PeerClient,
    request: id::RequestId,
    organisation: String,
    nodes: Vec<action::PeerAddress>,
    offset: u64,
    is_found: bool,
}

/// What other nodes know of a request.
pub enum Found {
    /// A model's answer.
    Model(Option<answer::Head>, answer::Part),
    /// A plain service's answer.
    Plain(peer::PlainReply),
}

impl Remote {
    /// Reads for `organisation` from byte `offset` on; `nodes` are asked in order.
    pub fn new(
        peers: peer_client::PeerClient,
        request: id::RequestId,
        organisation: String,
        nodes: Vec<action::PeerAddress>,
        offset: u64,
    ) -> Remote {
        Remote { peers, request, organisation, nodes, offset, is_found: false }
    }

    /// Nodes known to have held the request are waited for longer.
    pub fn assume_found(mut self) -> Remote {
        self.is_found = true;
        self
    }

    /// Text past the offset, or the end; `None` where no node knows the request.
    pub async fn read(&mut self) -> Option<Found> {
        let started = tokio::time::Instant::now();
        let mut rounds = 0;
        loop {
            for index in 0..self.nodes.len() {
                let Some(reply) = self.ask(self.nodes[index]).await else { continue };
                // A copy says that the request exists and will be adopted.
                self.is_found |= reply.state() == peer::FindState::Kept;
                if let Some(found) = self.take(reply) {
                    self.nodes.swap(0, index);
                    self.is_found = true;
                    return Some(found);
                }
            }
            rounds += 1;
            let is_over = if self.is_found {
                started.elapsed() > HOLDER_LIMIT
            } else {
                rounds >= FIRST_ROUNDS
            };
            if is_over {
                return None;
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }

    async fn ask(&self, node: action::PeerAddress) -> Option<peer::FindReply> {
        let call = peer::FindCall {
            request: self.request.to_string(),
            organisation: self.organisation.clone(),
            offset: self.offset,
            wait_ms: WAIT.as_millis() as u32,
        };
        self.peers.find(node.address, call).await.ok()
    }

    fn take(&mut self, reply: peer::FindReply) -> Option<Found> {
        if let Some(plain) = reply.plain {
            return Some(Found::Plain(plain));
        }
        let is_whole = reply.state() == peer::FindState::Kept && reply.finish.is_some();
        if reply.state() != peer::FindState::Held && !is_whole {
            return None;
        }
        let head = reply.record.as_ref().and_then(head);
        let chunks = answer::split_chunks(&reply.text, &reply.chunk_bytes);
        self.offset += reply.text.len() as u64;
        let part = answer::Part {
            chunks,
            finish: reply.finish,
            next_offset: self.offset,
            moved_to: Vec::new(),
        };
        Some(Found::Model(head, part))
    }
}

/// What never changes of the request's answer.
pub fn head(record: &peer::RequestRecord) -> Option<answer::Head> {
    Some(answer::Head {
        request: record.request.parse().ok()?,
        organisation: record.organisation.clone(),
        service: record.service.clone(),
        is_chat: record.path == openai::CHAT_PATH,
        streamed: record.streamed,
        stream_usage: record.stream_usage,
        created_s: record.created_s,
    })
}
