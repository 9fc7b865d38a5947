//! Node simulation: callers, their requests, and checks of what they receive.

use std::time::Duration;

use rand::Rng;
use rhubarbrock::{action, event, id};

use crate::fake_callers::{CallerId, RequestSpec, Stage};
use crate::fake_engine;
use crate::node_simulation::{READ_INTERVAL, RpcOrigin, ScheduledEvent, Simulation};
use crate::{Violation, node_setup};

/// Number of crashes after which the policy in force quarantines a request.
const POISON_CRASHES: u32 = 2;

/// Delay before the next search if no node knew the request.
const SEARCH_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// Time after which a caller repeats a search that got no answer.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(6);

impl Simulation {
    /// Adds a caller that sends a request to a random ready node.
    pub(crate) fn new_caller(&mut self) -> Result<(), Violation> {
        if !self.faults_over {
            let wait = Duration::from_millis(self.rng.random_range(50..600));
            self.schedule_after(wait, ScheduledEvent::NewCaller);
        }
        let Some(slot) = self.draw_ready_slot() else { return Ok(()) };
        let process = self.slots[slot].process;
        let is_order = self.rng.random_range(0..4) == 0;
        let number = self.callers.by_id.len();
        let spec = if is_order {
            RequestSpec::Order { key: format!("key-{number}") }
        } else {
            let body = node_setup::request_body(number);
            RequestSpec::Model { body, tokens: self.rng.random_range(1..250) }
        };
        let caller = self.callers.add(self.now, spec.clone(), slot, process);
        let secret = self.rng.random();
        let call = self.new_call(slot, process, caller);
        let event = match spec {
            RequestSpec::Model { body, tokens } => {
                self.report.requested += 1;
                node_setup::model_call(call, body, tokens, secret)
            }
            RequestSpec::Order { key } => {
                self.report.orders += 1;
                node_setup::order_call(call, key, secret)
            }
        };
        self.deliver(slot, process, event::Event::Caller(event))
    }

    pub(crate) fn draw_ready_slot(&mut self) -> Option<usize> {
        let ready: Vec<usize> =
            (0..self.slots.len()).filter(|slot| self.slots[*slot].is_ready()).collect();
        if ready.is_empty() {
            return None;
        }
        Some(ready[self.rng.random_range(0..ready.len())])
    }

    pub(crate) fn new_call(
        &mut self,
        slot: usize,
        process: u64,
        caller: CallerId,
    ) -> event::CallId {
        let call = self.next_call;
        self.next_call += 1;
        self.pending_calls.insert((slot, process, call), caller);
        call
    }

    pub(crate) fn take_caller(
        &mut self,
        slot: usize,
        process: u64,
        call: event::CallId,
    ) -> Option<CallerId> {
        self.pending_calls.remove(&(slot, process, call))
    }

    pub(crate) fn on_refused(
        &mut self,
        slot: usize,
        process: u64,
        call: event::CallId,
        refusal: action::Refusal,
    ) -> Result<(), Violation> {
        let Some(id) = self.take_caller(slot, process, call) else { return Ok(()) };
        let now = self.now;
        let caller = self.callers.by_id.get_mut(&id).expect("calls belong to known callers");
        if caller.request.is_some() {
            // The search for an accepted request was refused; it is repeated.
            caller.stage = Stage::Searching { retry_at: now };
            self.schedule_search(id, SEARCH_RETRY_INTERVAL);
            return Ok(());
        }
        caller.stage = Stage::Done;
        let outcome = refusal.outcome;
        caller.refusal = Some(refusal);
        if let RequestSpec::Order { key } = caller.spec.clone() {
            match outcome {
                action::Outcome::NotRun => self.report.orders_not_run += 1,
                _ => self.report.orders_in_doubt += 1,
            }
            let order_runs = self.order_runs.get(&key).copied().unwrap_or(0);
            if outcome == action::Outcome::NotRun && order_runs > 0 {
                return Err(self.violation(format!("order {key} ran, but was refused as not run")));
            }
        }
        Ok(())
    }

    pub(crate) fn on_order_answered(&mut self, slot: usize, process: u64, call: event::CallId) {
        let Some(id) = self.take_caller(slot, process, call) else { return };
        let caller = self.callers.by_id.get_mut(&id).expect("calls belong to known callers");
        caller.is_order_answered = true;
        caller.stage = Stage::Done;
        self.report.orders_answered += 1;
    }

    pub(crate) fn on_attached(
        &mut self,
        slot: usize,
        process: u64,
        call: event::CallId,
        request: id::RequestId,
    ) {
        let Some(id) = self.take_caller(slot, process, call) else { return };
        let caller = self.callers.by_id.get_mut(&id).expect("calls belong to known callers");
        if caller.request.is_none() {
            self.report.accepted += 1;
        }
        caller.request = Some(request);
        caller.stage = Stage::Reading { slot, process };
        self.schedule_after(READ_INTERVAL, ScheduledEvent::ReadAnswer { caller: id });
    }

    pub(crate) fn on_relayed(
        &mut self,
        slot: usize,
        process: u64,
        call: event::CallId,
        request: id::RequestId,
        nodes: Vec<action::PeerAddress>,
    ) {
        let Some(id) = self.take_caller(slot, process, call) else { return };
        self.find_at_next_node(id, request, nodes);
    }

    /// Sends a find call to the next node that may hold a request.
    pub(crate) fn find_at_next_node(
        &mut self,
        caller: CallerId,
        request: id::RequestId,
        mut nodes: Vec<action::PeerAddress>,
    ) {
        if nodes.is_empty() {
            self.schedule_search(caller, SEARCH_RETRY_INTERVAL);
            return;
        }
        let to = nodes.remove(0);
        let offset = self.callers.by_id[&caller].text.len();
        let call = rhubarbrock_schema::peer::FindCall {
            request: request.to_string(),
            organisation: node_setup::ORGANISATION.to_owned(),
            offset: offset as u64,
            wait_ms: 0,
        };
        let origin = RpcOrigin::Find { caller, offset, remaining_nodes: nodes };
        self.send_rpc(origin, to.address, |rpc| event::PeerEvent::Find { rpc, call });
    }

    pub(crate) fn on_find_reply(
        &mut self,
        caller: CallerId,
        offset: usize,
        remaining_nodes: Vec<action::PeerAddress>,
        reply: Option<event::Reply>,
    ) -> Result<(), Violation> {
        let Some(request) = self.callers.by_id[&caller].request else { return Ok(()) };
        let found = match reply {
            Some(event::Reply::Find(found)) => found,
            _ => {
                self.find_at_next_node(caller, request, remaining_nodes);
                return Ok(());
            }
        };
        let has_new_content = !found.text.is_empty() || found.finish.is_some();
        if !has_new_content {
            self.find_at_next_node(caller, request, remaining_nodes);
            return Ok(());
        }
        let finish = found.finish.clone();
        self.append_text(caller, offset, &found.text, finish.as_ref())?;
        if finish.is_none() {
            self.schedule_search(caller, READ_INTERVAL);
        }
        Ok(())
    }

    /// Schedules the next search of a searching caller.
    fn schedule_search(&mut self, caller: CallerId, wait: Duration) {
        let retry_at = self.now + wait;
        let found = self.callers.by_id.get_mut(&caller).expect("caller is known");
        if let Stage::Searching { .. } = found.stage {
            found.stage = Stage::Searching { retry_at };
            self.schedule_at(retry_at, ScheduledEvent::ReadAnswer { caller });
        }
    }

    /// Lets a caller read more of its answer, or search for it.
    pub(crate) fn read_answer(&mut self, id: CallerId) -> Result<(), Violation> {
        let caller = &self.callers.by_id[&id];
        let Some(request) = caller.request else { return Ok(()) };
        match caller.stage {
            Stage::Done | Stage::AwaitingDecision { .. } => Ok(()),
            Stage::Reading { slot, process } => {
                let offset = caller.text.len();
                match self.slots[slot].read(process, request, offset) {
                    Some(part) => {
                        self.append_text(id, offset, &part.text, part.finish.as_ref())?;
                        if part.finish.is_none() {
                            self.schedule_after(
                                READ_INTERVAL,
                                ScheduledEvent::ReadAnswer { caller: id },
                            );
                        }
                    }
                    None => {
                        let now = self.now;
                        let caller = self.callers.by_id.get_mut(&id).expect("caller is known");
                        caller.stage = Stage::Searching { retry_at: now };
                        self.schedule_after(
                            READ_INTERVAL,
                            ScheduledEvent::ReadAnswer { caller: id },
                        );
                    }
                }
                Ok(())
            }
            // Several reads may be scheduled; those before `retry_at` are ignored.
            Stage::Searching { retry_at } if self.now < retry_at => Ok(()),
            Stage::Searching { .. } => self.search_answer(id, request),
        }
    }

    pub(crate) fn search_answer(
        &mut self,
        caller: CallerId,
        request: id::RequestId,
    ) -> Result<(), Violation> {
        let Some(slot) = self.draw_ready_slot() else {
            self.schedule_search(caller, SEARCH_RETRY_INTERVAL);
            return Ok(());
        };
        let process = self.slots[slot].process;
        let offset = self.callers.by_id[&caller].text.len() as u64;
        self.schedule_search(caller, SEARCH_TIMEOUT);
        let call = self.new_call(slot, process, caller);
        let find = event::FindCall { call, key_sha256: node_setup::key_sha256(), request, offset };
        let event = event::Event::Caller(event::CallerEvent::Find(find));
        self.deliver(slot, process, event)
    }

    pub(crate) fn append_text(
        &mut self,
        id: CallerId,
        offset: usize,
        text: &str,
        finish: Option<&rhubarbrock_schema::peer::Finish>,
    ) -> Result<(), Violation> {
        let now = self.now;
        let caller = self.callers.by_id.get_mut(&id).expect("caller is known");
        if caller.stage == Stage::Done {
            return Ok(());
        }
        let RequestSpec::Model { body, tokens } = &caller.spec else { return Ok(()) };
        let expected = fake_engine::answer_text(body, *tokens);
        let tokens = *tokens;
        let is_expected_text = expected.get(offset..).is_some_and(|rest| rest.starts_with(text));
        // Two searches can return the same text, each from its own offset.
        if let Some(new) = text.get(caller.text.len() - offset..) {
            caller.text.push_str(new);
        }
        if !is_expected_text || !expected.starts_with(&caller.text) {
            let description = format!(
                "caller {id} read text at offset {offset} that differs from the expected answer"
            );
            return Err(self.violation(description));
        }
        let Some(finish) = finish else { return Ok(()) };
        let broken_attempts = caller.request.and_then(|request| self.broken_attempts.get(&request));
        if !finish.error.is_empty()
            && broken_attempts.is_some_and(|broken_attempts| *broken_attempts >= POISON_CRASHES)
        {
            // It was running in as many crashes as a poison request; the node cannot tell them
            // apart.
            caller.stage = Stage::Done;
            caller.finished_at = Some(now);
            self.report.given_up += 1;
            return Ok(());
        }
        if !finish.error.is_empty() {
            let description = format!("accepted request of caller {id} failed: {}", finish.error);
            return Err(self.violation(description));
        }
        if caller.text != expected {
            return Err(
                self.violation(format!("answer of caller {id} ended before its last token"))
            );
        }
        caller.stage = Stage::Done;
        caller.finished_at = Some(now);
        let answer_time = now - caller.requested_at;
        self.report.answered += 1;
        self.report.answer_tokens += u64::from(tokens);
        self.report.max_answer_time = self.report.max_answer_time.max(answer_time);
        Ok(())
    }
}
