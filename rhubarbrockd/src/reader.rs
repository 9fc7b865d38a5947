//! Reads an answer to its end, on whichever node it is generated.

use std::sync::Arc;

use rhubarbrock::id;

use crate::{answer, decision_client, peer_client, relay};

/// Reads an answer part by part, and continues at another node if the answer is moved there.
pub struct Reader {
    decision_client: Arc<decision_client::DecisionClient>,
    peers: peer_client::PeerClient,
    source: Source,
    /// Byte offset of the next part.
    offset: u64,
    /// Part that was read before the reader was created.
    read_ahead: Option<answer::Part>,
}

enum Source {
    Local(Arc<answer::Answer>),
    Remote(relay::RemoteAnswer),
}

/// Error if no node that holds the request can be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("no node that holds the request can be reached")]
pub struct HolderUnreachable;

impl Reader {
    /// Creates a reader of an answer on this node, starting at byte `offset`.
    pub fn local(
        decision_client: Arc<decision_client::DecisionClient>,
        peers: peer_client::PeerClient,
        answer: Arc<answer::Answer>,
        offset: u64,
    ) -> Reader {
        Reader { decision_client, peers, source: Source::Local(answer), offset, read_ahead: None }
    }

    /// Creates a reader of an answer on another node; `first` is the part at byte `offset`, which
    /// was read already.
    pub fn remote(
        decision_client: Arc<decision_client::DecisionClient>,
        peers: peer_client::PeerClient,
        remote: relay::RemoteAnswer,
        offset: u64,
        first: answer::Part,
    ) -> Reader {
        Reader {
            decision_client,
            peers,
            source: Source::Remote(remote),
            offset,
            read_ahead: Some(first),
        }
    }

    /// Byte offset of the next part.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Waits for the next part, which has text, the finish or both.
    pub async fn read(&mut self) -> Result<answer::Part, HolderUnreachable> {
        loop {
            let part = match self.read_ahead.take() {
                Some(part) => part,
                None => self.read_source().await?,
            };
            self.offset = part.next_offset;
            if part.finish.is_none()
                && !part.moved_to.is_empty()
                && let Source::Local(answer) = &self.source
            {
                let metadata = &answer.metadata;
                let remote = relay::RemoteAnswer::new(
                    self.peers.clone(),
                    metadata.request,
                    metadata.organisation.clone(),
                    part.moved_to.clone(),
                    self.offset,
                );
                self.source = Source::Remote(remote.assume_found());
            }
            if part.finish.is_some() || !part.chunks.is_empty() {
                return Ok(part);
            }
        }
    }

    async fn read_source(&mut self) -> Result<answer::Part, HolderUnreachable> {
        match &mut self.source {
            Source::Local(answer) => Ok(answer.read(self.offset).await),
            Source::Remote(remote) => match remote.read().await {
                Some(relay::FoundAnswer::Model(_, part)) => Ok(part),
                Some(relay::FoundAnswer::Plain(_)) | None => Err(HolderUnreachable),
            },
        }
    }

    /// Reports to the decision thread that the caller has received the whole answer. Does nothing
    /// if the answer was last read from another node.
    pub fn report_delivered(&self, request: id::RequestId) {
        if matches!(self.source, Source::Local(_)) {
            self.decision_client.report_delivered(request);
        }
    }
}
