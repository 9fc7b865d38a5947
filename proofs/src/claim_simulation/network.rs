//! Messages between nodes, log and service, with their delays and losses.

use std::time::Duration;

use rand::Rng;
use rhubarbrock::claim::{Action, AppendResult, DispatchResult};

use super::{DISPATCH_WINDOW, Simulation};
use crate::claim_log::AppendScenario;
use crate::claim_service::CallResult;

/// Maximum delay of an append whose answer is lost.
const MAX_APPEND_DELAY_MS: u64 = 5_000;

/// Message in flight between nodes, log and service.
pub(super) enum NodeMessage {
    Append {
        node: usize,
        id: u64,
        batch: u64,
        record: Vec<u8>,
        scenario: AppendScenario,
        is_applied: bool,
    },
    AppendResponse {
        node: usize,
        id: u64,
        batch: u64,
        result: AppendResult,
    },
    Connect {
        node: usize,
        id: u64,
        call: u64,
        key: String,
        fencing_token: u64,
    },
    Request {
        node: usize,
        id: u64,
        call: u64,
        key: String,
        fencing_token: u64,
    },
    Response {
        node: usize,
        id: u64,
        call: u64,
        result: DispatchResult,
    },
}

impl Simulation {
    /// Delivers a random message in flight, if it is due.
    pub(super) fn deliver_one(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.in_flight.len());
        let (at, message) = &self.in_flight[index];
        if *at > self.now || self.awaits_paused_node(message) {
            return;
        }
        let (_, message) = self.in_flight.swap_remove(index);
        self.deliver(message);
    }

    /// Whether a message cannot be delivered because its node is paused.
    pub(super) fn awaits_paused_node(&self, message: &NodeMessage) -> bool {
        let node = match message {
            NodeMessage::Append { .. } | NodeMessage::Request { .. } => return false,
            NodeMessage::AppendResponse { node, .. }
            | NodeMessage::Connect { node, .. }
            | NodeMessage::Response { node, .. } => *node,
        };
        self.nodes[node].is_paused
    }

    pub(super) fn is_current_process(&self, node: usize, id: u64) -> bool {
        self.nodes[node].id == id
    }

    pub(super) fn deliver(&mut self, message: NodeMessage) {
        match message {
            NodeMessage::Append { node, id, batch, record, scenario, is_applied } => {
                self.deliver_append(node, id, batch, record, scenario, is_applied);
            }
            NodeMessage::AppendResponse { node, id, batch, result } => {
                if self.is_current_process(node, id) {
                    let actions = self.nodes[node].claims.on_append_result(self.now, batch, result);
                    self.perform(node, actions);
                }
            }
            NodeMessage::Connect { node, id, call, key, fencing_token } => {
                self.connect(node, id, call, key, fencing_token);
            }
            NodeMessage::Request { node, id, call, key, fencing_token } => {
                self.run_on_service(node, id, call, &key, fencing_token);
            }
            NodeMessage::Response { node, id, call, result } => {
                if self.is_current_process(node, id) {
                    let actions =
                        self.nodes[node].claims.on_dispatch_result(self.now, call, result);
                    self.perform(node, actions);
                }
            }
        }
    }

    pub(super) fn deliver_append(
        &mut self,
        node: usize,
        id: u64,
        batch: u64,
        record: Vec<u8>,
        scenario: AppendScenario,
        is_applied: bool,
    ) {
        let result = if is_applied {
            self.log.append(self.now, record);
            return;
        } else if self.log.is_down {
            AppendResult::Failed
        } else {
            match scenario {
                AppendScenario::Confirmed => AppendResult::At(self.log.append(self.now, record)),
                AppendScenario::RequestLost => AppendResult::Unknown,
                AppendScenario::ResponseLost => {
                    let delay_ms = if self.rng.random_bool(0.5) {
                        0
                    } else {
                        self.rng.random_range(0..MAX_APPEND_DELAY_MS)
                    };
                    let at = self.now + Duration::from_millis(delay_ms);
                    let message =
                        NodeMessage::Append { node, id, batch, record, scenario, is_applied: true };
                    self.in_flight.push((at, message));
                    AppendResult::Unknown
                }
            }
        };
        let delay = self.draw_delay(30);
        self.in_flight
            .push((self.now + delay, NodeMessage::AppendResponse { node, id, batch, result }));
    }

    /// Connects a node to the service. The node may then still refuse to send the call.
    pub(super) fn connect(
        &mut self,
        node: usize,
        id: u64,
        call: u64,
        key: String,
        fencing_token: u64,
    ) {
        if !self.is_current_process(node, id) {
            return;
        }
        if self.draw_fault(1, 20) {
            let message = NodeMessage::Response { node, id, call, result: DispatchResult::NotSent };
            self.in_flight.push((self.now, message));
            return;
        }
        if !self.nodes[node].claims.confirm_dispatch(self.now, call) {
            return;
        }
        let sent_at = self.claim_sent_at.get(&(id, key.clone())).copied().unwrap_or_default();
        if self.now > sent_at + DISPATCH_WINDOW {
            self.record_violation(format!(
                "call {call} sent later than {DISPATCH_WINDOW:?} after its claim"
            ));
        }
        if self.call_states.get(&call).is_some_and(|call_state| call_state.conclusion.is_some()) {
            self.record_violation(format!("call {call} sent after its conclusion"));
        }
        if self.draw_fault(1, 10) {
            let was_refused = self.rng.random_bool(0.5);
            let result =
                if was_refused { DispatchResult::NotSent } else { DispatchResult::Unknown };
            let message = NodeMessage::Response { node, id, call, result };
            self.in_flight.push((self.now, message));
            return;
        }
        let delay = self.draw_delay(20);
        self.in_flight
            .push((self.now + delay, NodeMessage::Request { node, id, call, key, fencing_token }));
    }

    /// Runs a call at the service.
    pub(super) fn run_on_service(
        &mut self,
        node: usize,
        id: u64,
        call: u64,
        key: &str,
        fencing_token: u64,
    ) {
        let result = match self.service.handle_call(key, fencing_token) {
            CallResult::StaleFencingToken => DispatchResult::FencingTokenRejected,
            CallResult::Executed(body) => {
                self.record_run(call, key);
                let is_response_lost = self.draw_fault(1, 20);
                if is_response_lost {
                    DispatchResult::Unknown
                } else {
                    let content_type = "text/plain".to_owned();
                    DispatchResult::Answered { status: 200, content_type, body }
                }
            }
        };
        let is_slow = self.draw_fault(1, 50);
        let delay = if is_slow { Duration::from_secs(4) } else { self.draw_delay(40) };
        self.in_flight.push((self.now + delay, NodeMessage::Response { node, id, call, result }));
    }

    pub(super) fn draw_delay(&mut self, max_ms: u64) -> Duration {
        if self.draw_fault(1, 30) {
            return Duration::from_millis(self.rng.random_range(0..max_ms * 30));
        }
        Duration::from_millis(self.rng.random_range(0..max_ms))
    }

    pub(super) fn perform(&mut self, node: usize, actions: Vec<Action>) {
        let id = self.nodes[node].id;
        for action in actions {
            match action {
                Action::Append { batch, record } => {
                    self.record_claims(id, &record);
                    let scenario = self.draw_append_scenario();
                    let delay = self.draw_delay(20);
                    let message = NodeMessage::Append {
                        node,
                        id,
                        batch,
                        record,
                        scenario,
                        is_applied: false,
                    };
                    self.in_flight.push((self.now + delay, message));
                }
                Action::Dispatch { call, key, fencing_token } => {
                    let delay = self.draw_delay(10);
                    let message = NodeMessage::Connect { node, id, call, key, fencing_token };
                    self.in_flight.push((self.now + delay, message));
                }
                Action::Finish { call, conclusion } => self.conclude(call, conclusion),
            }
        }
    }

    pub(super) fn draw_append_scenario(&mut self) -> AppendScenario {
        if !self.draw_fault(1, 10) {
            return AppendScenario::Confirmed;
        }
        if self.rng.random_bool(0.5) {
            AppendScenario::ResponseLost
        } else {
            AppendScenario::RequestLost
        }
    }

    pub(super) fn deliver_due(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|(at, _)| *at <= now);
        self.in_flight = later;
        for (_, message) in due {
            self.deliver(message);
        }
    }
}
