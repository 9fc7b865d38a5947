//! Queries of the node's status and timeline.

use std::sync::Arc;

use rhubarbrock::event;
use rhubarbrock_schema::observe;

use crate::{peers, ring};

/// Queries the decision thread for the node's status and timeline.
#[derive(Clone)]
pub struct NodeMonitor {
    /// Event ring of the decision thread.
    pub events: ring::Sender<event::Event>,
    /// Queries that wait for a reply of the decision thread.
    pub replies: Arc<peers::PendingReplies>,
}

impl NodeMonitor {
    /// Status of the node; `None` if the ring is full or the decision thread has ended.
    pub async fn status(&self) -> Option<observe::NodeStatus> {
        match self.query(|rpc| event::PeerEvent::Status { rpc }).await? {
            event::Reply::Status(status) => Some(*status),
            _ => None,
        }
    }

    /// Up to `limit` timeline events after number `after`; `None` as for [`NodeMonitor::status`].
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
