//! Draining and stopping of a node.

use std::time::Duration;

use crate::node::Node;
use crate::{action, drain};

impl Node {
    pub(crate) fn on_terminate(&mut self) {
        let actions = self.drain.on_signal(self.now);
        self.perform_drain(actions, "termination requested");
    }

    /// Handles a notice that this node's instance is reclaimed in `time_left`.
    pub(crate) fn on_reclaim(&mut self, time_left: Duration) {
        let actions = self.drain.on_reclaim(self.now, time_left);
        let reason = format!("reclaimed in {} ms", time_left.as_millis());
        self.perform_drain(actions, &reason);
    }

    /// Whether the node refuses new requests because it is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        !self.drain.accepts_work()
    }

    pub(crate) fn tick_drain(&mut self) {
        let remaining = drain::RemainingWork {
            model_requests: self.unfinished_models() + self.unsecured_answers(),
            calls: self.plain_requests.len(),
            outcomes: self.claims.pending_outcomes(),
            responses: 0,
        };
        let actions = self.drain.tick(self.now, remaining);
        self.perform_drain(actions, "");
    }

    fn perform_drain(&mut self, actions: Vec<drain::Action>, reason: &str) {
        for action in actions {
            match action {
                drain::Action::StopAccepting => self.stop_accepting(reason),
                drain::Action::HandOver => self.hand_over(),
                drain::Action::ConcludeCalls => {
                    let actions = self.claims.conclude_all(self.now);
                    self.perform_claim_actions(actions);
                }
                drain::Action::Stop => self.stop(),
            }
        }
    }

    fn stop_accepting(&mut self, reason: &str) {
        self.log_event(action::LogLevel::Info, "node.leaving", reason.to_owned());
        self.membership.leave(self.now);
        self.update_readiness();
        self.push_action(action::Action::CloseIdle);
    }

    fn hand_over(&mut self) {
        let count = self.unfinished_models();
        self.record_event("node.hand_over", None, format!("{count} requests"));
        let actions = self.custody.hand_over(self.now);
        self.perform_custody(actions);
    }

    fn stop(&mut self) {
        self.log_event(action::LogLevel::Info, "node.stopping", "no work left".to_owned());
        let outgoing = self.membership.stop(self.now);
        self.send_datagrams(outgoing);
        self.push_action(action::Action::Stop);
    }
}
