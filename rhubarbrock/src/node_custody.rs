//! Custody in a node: backup copies of its requests on other nodes, and theirs here.

use std::time::Duration;

use rhubarbrock_schema::peer;

use crate::node::{Node, Work};
use crate::{action, custody, dispatch, event, id, prompt};

/// Timeout of an adopted request whose service is not known here.
const ADOPTED_TIMEOUT: Duration = Duration::from_secs(120);

/// Maximum number of find calls of other nodes that wait for text; beyond it they get no reply.
const MAX_PENDING_FINDS: usize = 4_096;

/// A find call of another node that waits for text.
#[derive(Debug, Clone)]
pub(crate) struct PendingFind {
    rpc: event::RpcId,
    request: id::RequestId,
    organisation: String,
    offset: u64,
    until: Duration,
}

/// Text of an answer since the previous part.
#[derive(Debug, Clone)]
pub(crate) struct TextPart {
    pub(crate) offset: u64,
    pub(crate) text: String,
    pub(crate) chunk_bytes: Vec<u32>,
    pub(crate) tokens: u32,
}

impl Node {
    /// Starts to back up a request's record on another node.
    pub(crate) fn back_up_request(&mut self, record: peer::RequestRecord) {
        let actions = self.custody.hold(self.now, record);
        self.perform_custody(actions);
    }

    /// Queues new text for the custodian. Returns false if the request no longer runs here or the
    /// text does not continue its answer.
    pub(crate) fn back_up_progress(&mut self, request: id::RequestId, part: TextPart) -> bool {
        let progress = peer::Progress {
            request: request.to_string(),
            offset: part.offset,
            text: part.text,
            chunk_bytes: part.chunk_bytes,
            tokens: part.tokens,
            ..Default::default()
        };
        let is_running = self.custody.append_progress(request, &progress);
        self.answer_pending_finds(request);
        is_running
    }

    /// Queues the finish of an answer for the custodian.
    pub(crate) fn back_up_finish(&mut self, request: id::RequestId, finish: peer::Finish) {
        self.custody.finish(self.now, request, finish);
        self.answer_pending_finds(request);
    }

    pub(crate) fn on_answer_delivered(&mut self, request: id::RequestId) {
        self.custody.mark_delivered(request);
    }

    /// Number of finished answers that neither the caller nor another node has in full; 0 while no
    /// peer is alive.
    pub(crate) fn unsecured_answers(&self) -> usize {
        if self.peers_alive() == 0 {
            return 0;
        }
        self.custody.unsecured_len()
    }

    pub(crate) fn backup_count(&self) -> usize {
        self.custody.backups_len()
    }

    pub(crate) fn perform_custody(&mut self, actions: Vec<custody::Action>) {
        for action in actions {
            match action {
                custody::Action::Store { to, number, call } => self.send_store(to, number, call),
                custody::Action::Progress { to, number, call } => {
                    self.send_progress(to, number, call);
                }
                custody::Action::Accepted { request, copies } => {
                    self.on_accepted(request, copies);
                }
                custody::Action::Adopt { record } => self.adopt(*record),
                custody::Action::Superseded { request, by } => self.on_superseded(request, by),
                custody::Action::Forget { request } => self.forget_model(request),
            }
        }
    }

    fn send_store(&mut self, to: id::NodeId, number: custody::CallNumber, call: peer::StoreCall) {
        match self.peer_address(to) {
            Some(to) => self.push_action(action::Action::SendStore { to, number, call }),
            None => {
                let actions = self.custody.on_store_reply(self.now, number, None);
                self.perform_custody(actions);
            }
        }
    }

    fn send_progress(
        &mut self,
        to: id::NodeId,
        number: custody::CallNumber,
        call: peer::ProgressCall,
    ) {
        match self.peer_address(to) {
            Some(to) => self.push_action(action::Action::SendProgress { to, number, call }),
            None => {
                let actions = self.custody.on_progress_reply(self.now, to, number, None);
                self.perform_custody(actions);
            }
        }
    }

    fn on_accepted(&mut self, request: id::RequestId, copies: u32) {
        if copies < 2 {
            self.counters.single_copy += 1;
            self.record_event("request.single_copy", Some(request), String::new());
        }
        if let Some(held) = self.model_requests.get_mut(&request) {
            held.is_custody_settled = true;
        }
        self.accept_if_due(request);
    }

    /// Runs a request whose previous holder died or left.
    fn adopt(&mut self, record: peer::RequestRecord) {
        let Ok(request) = record.request.parse::<id::RequestId>() else { return };
        self.counters.adopted += 1;
        let detail = format!("term {}, continues after {} tokens", record.term, record.tokens);
        self.record_event("request.adopted", Some(request), detail);
        let timeout = match self.services.get(&record.service) {
            Some(service) => Duration::from_millis(u64::from(service.timeout_ms)),
            None => ADOPTED_TIMEOUT,
        };
        let ticket = self.new_ticket(Work::Model(request));
        self.dispatcher.resume(self.now, adopted_job(ticket, &record));
        self.open_model(request, record, ticket, timeout, None);
    }

    /// Ends the local attempt because another node runs the request.
    fn on_superseded(&mut self, request: id::RequestId, by: id::NodeId) {
        let Some(held) = self.model_requests.remove(&request) else { return };
        self.counters.superseded += 1;
        if self.is_leaving() {
            self.counters.handed_over += 1;
        }
        self.end_work(held.ticket);
        let detail = format!("continued by node {by:016x}");
        self.record_event("request.moved", Some(request), detail);
        let mut nodes: Vec<action::PeerAddress> = self.peer_address(by).into_iter().collect();
        nodes.extend(self.nodes_to_ask(request).into_iter().filter(|other| other.node != by));
        if let Some(call) = held.waiting_call {
            self.push_action(action::Action::Attach { call, request, offset: 0 });
        }
        self.push_action(action::Action::MoveAnswer { request, nodes });
    }

    fn forget_model(&mut self, request: id::RequestId) {
        if let Some(held) = self.model_requests.remove(&request) {
            self.end_work(held.ticket);
        }
        self.push_action(action::Action::DropAnswer { request });
    }

    pub(crate) fn on_store(&mut self, rpc: event::RpcId, call: peer::StoreCall) {
        let (reply, actions) = self.custody.serve_store(self.now, call);
        self.push_action(action::Action::Reply { rpc, reply: event::Reply::Store(reply) });
        self.perform_custody(actions);
    }

    pub(crate) fn on_progress_call(&mut self, rpc: event::RpcId, call: peer::ProgressCall) {
        let reply = self.custody.serve_progress(self.now, call);
        self.push_action(action::Action::Reply { rpc, reply: event::Reply::Progress(reply) });
    }

    pub(crate) fn on_find(&mut self, rpc: event::RpcId, call: &peer::FindCall) {
        let Ok(request) = call.request.parse::<id::RequestId>() else {
            self.reply_find(rpc, peer::FindReply::default());
            return;
        };
        if let Some(answer) = self.answer_cache.get(request, &call.organisation) {
            let plain = peer::PlainReply {
                status: u32::from(answer.status),
                content_type: answer.content_type,
                body: answer.body,
            };
            self.reply_find(rpc, peer::FindReply { plain: Some(plain), ..Default::default() });
            return;
        }
        let pending = PendingFind {
            rpc,
            request,
            organisation: call.organisation.clone(),
            offset: call.offset,
            until: self.now + Duration::from_millis(u64::from(call.wait_ms)),
        };
        if !self.answer_find(&pending) && self.pending_finds.len() < MAX_PENDING_FINDS {
            self.pending_finds.push(pending);
        }
    }

    /// Replies to a find call and returns true, or returns false while the request runs here, has
    /// no new text or finish, and the wait time is not over.
    fn answer_find(&mut self, pending: &PendingFind) -> bool {
        let reply =
            self.custody.find(self.now, pending.request, &pending.organisation, pending.offset);
        let has_update = !reply.text.is_empty() || reply.finish.is_some();
        let is_waiting = reply.state() == peer::FindState::Held && !has_update;
        if is_waiting && self.now < pending.until {
            return false;
        }
        self.reply_find(pending.rpc, reply);
        true
    }

    fn reply_find(&mut self, rpc: event::RpcId, reply: peer::FindReply) {
        let reply = event::Reply::Find(Box::new(reply));
        self.push_action(action::Action::Reply { rpc, reply });
    }

    fn answer_pending_finds(&mut self, request: id::RequestId) {
        if self.pending_finds.is_empty() {
            return;
        }
        let pending = std::mem::take(&mut self.pending_finds);
        for find in pending {
            if find.request != request || !self.answer_find(&find) {
                self.pending_finds.push(find);
            }
        }
    }

    pub(crate) fn tick_custody(&mut self) {
        let actions = self.custody.tick(self.now);
        self.perform_custody(actions);
        let pending = std::mem::take(&mut self.pending_finds);
        for find in pending {
            if self.now < find.until || !self.answer_find(&find) {
                self.pending_finds.push(find);
            }
        }
    }
}

/// Job of an adopted request, whose body was validated by the node that accepted it.
fn adopted_job(ticket: u64, record: &peer::RequestRecord) -> dispatch::Job {
    let body = serde_json::from_str(&record.body).unwrap_or_default();
    let prompt =
        prompt::Prompt::from_chat(&body).or_else(|_| prompt::Prompt::from_completion(&body));
    let prompt = prompt.unwrap_or_else(|_| prompt::Prompt::from_text(""));
    dispatch::Job {
        ticket,
        service: record.service.clone(),
        organisation: record.organisation.clone(),
        blocks: prompt.blocks,
        prompt_tokens: prompt.tokens.saturating_add(record.tokens),
        dialogue: prompt.dialogue,
        settled_tokens: prompt.settled_tokens,
        max_tokens: Some(record.max_tokens.saturating_sub(record.tokens)),
        deadline: None,
        may_probe: true,
    }
}
