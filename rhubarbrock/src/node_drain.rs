//! How a node leaves.

use std::time::Duration;

use crate::action;
use crate::node::Node;

impl Node {
    pub(crate) fn on_terminate(&mut self) {
        self.begin_drain("asked to end");
    }

    /// This node's instance was given notice.
    pub(crate) fn on_reclaim(&mut self, rest: Duration) {
        self.begin_drain(&format!("reclaimed in {} ms", rest.as_millis()));
    }

    fn begin_drain(&mut self, why: &str) {
        if self.is_draining {
            return;
        }
        self.is_draining = true;
        self.report(action::LogLevel::Info, "node.leaving", why.to_owned());
        self.membership.leave(self.now);
        self.settle_readiness();
        self.act(action::Action::CloseIdle);
    }

    pub(crate) fn tick_drain(&mut self) {
        if self.is_draining && self.unfinished_models() == 0 && self.plains.is_empty() {
            self.act(action::Action::Stop);
        }
    }
}
