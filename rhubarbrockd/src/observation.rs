//! Status and time line, asked from the decision thread.

use std::sync::Arc;

use rhubarbrock::event;
use rhubarbrock_schema::observe;

use crate::{peers, ring};

/// Asks the decision thread what it shows of itself.
#[derive(Clone)]
pub struct Observer {
    /// Way to the decisions.
    pub events: ring::Sender<event::Event>,
    /// Questions that wait for the decisions.
    pub replies: Arc<peers::Replies>,
}

impl Observer {
    /// The node's status; `None` where the decisions don't answer.
    pub async fn status(&self) -> Option<observe::NodeStatus> {
        match self.ask(|rpc| event::PeerEvent::Status { rpc }).await? {
            event::Reply::Status(status) => Some(*status),
            _ => None,
        }
    }

    /// A page of the time line.
    pub async fn timeline(&self, after: u64, limit: usize) -> Option<observe::TimelinePage> {
        match self.ask(|rpc| event::PeerEvent::Timeline { rpc, after, limit }).await? {
            event::Reply::Timeline(page) => Some(page),
            _ => None,
        }
    }

    async fn ask(
        &self,
        question: impl FnOnce(event::RpcId) -> event::PeerEvent,
    ) -> Option<event::Reply> {
        let (rpc, reply) = self.replies.open();
        if self.events.push(event::Event::Peer(question(rpc))).is_err() {
            self.replies.close(rpc);
            return None;
        }
        reply.await.ok()
    }
}
