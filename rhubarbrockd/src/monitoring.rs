//! Status and time line, asked from the decision thread.

use std::sync::Arc;

use rhubarbrock::event;
use rhubarbrock_schema::observe;

use crate::{peers, ring};

/// Asks the decision thread what it shows of itself.
#[derive(Clone)]
pub struct NodeMonitor {
    /// Way to the decisions.
    pub events: ring::Sender<event::Event>,
    /// Questions that wait for the decisions.
    pub replies: Arc<peers::PendingReplies>,
}

impl NodeMonitor {
    /// The node's status; `None` where the decisions don't answer.
    pub async fn status(&self) -> Option<observe::NodeStatus> {
        match self.query(|rpc| event::PeerEvent::Status { rpc }).await? {
            event::Reply::Status(status) => Some(*status),
            _ => None,
        }
    }

    /// A page of the time line.
    pub async fn timeline(&self, after: u64, limit: usize) -> Option<observe::TimelinePage> {
        match self.query(|rpc| event::PeerEvent::Timeline { rpc, after, limit }).await? {
            event::Reply::Timeline(page) => Some(page),
            _ => None,
        }
    }

    async fn query(
        &self,
        make_event: impl FnOnce(event::RpcId) -> event::PeerEvent,
    ) -> Option<event::Reply> {
        let (rpc, reply) = self.replies.register();
        if self.events.push(event::Event::Peer(make_event(rpc))).is_err() {
            self.replies.cancel(rpc);
            return None;
        }
        reply.await.ok()
    }
}
