//! Arbitrary records in topic "claims" do not stop a node, and no call is dispatched twice.

use std::collections::BTreeSet;
use std::time::Duration;

use bolero::TypeGenerator;
use prost::Message;
use rhubarbrock::claim::{self, Action, AppendResult, Claims, DispatchResult};
use rhubarbrock_schema::log::{self, claim_entry};

#[derive(Debug, Clone, TypeGenerator)]
enum Step {
    Begin { key: u8, position: u8, is_repetition: bool },
    ReadOwn,
    ReadOwnDamaged { at: u16, xor_mask: u8 },
    ReadForged { entry: Forged, is_late: bool },
    ReadBytes([u8; 12]),
    Gap(u8),
    Tick(u16),
}

#[derive(Debug, Clone, TypeGenerator)]
enum Forged {
    Claim { key: u8, is_own_nonce: bool, base: u64, position: u64 },
    End { key: u8, is_own_nonce: bool, outcome: u8, status: u32 },
    Refusal { key: u8, is_own_nonce: bool },
}

/// One node whose log also holds forged records.
struct Node {
    claims: Claims,
    now: Duration,
    next_offset: u64,
    last_call: u64,
    /// Own records that were appended and not read back.
    unread_records: Vec<Vec<u8>>,
    own_nonce: u64,
    dispatched: BTreeSet<u64>,
    finished: BTreeSet<u64>,
}

impl Node {
    fn new() -> Node {
        let mut claims = Claims::new(claim::Config::new(), 1, 1);
        let page =
            claim::Page { records: Vec::new(), next_offset: 1, oldest_offset: 1, end_offset: 1 };
        claims.on_records(Duration::ZERO, page);
        Node {
            claims,
            now: Duration::ZERO,
            next_offset: 1,
            last_call: 0,
            unread_records: Vec::new(),
            own_nonce: 0,
            dispatched: BTreeSet::new(),
            finished: BTreeSet::new(),
        }
    }

    fn apply_step(&mut self, step: &Step) {
        match step {
            Step::Begin { key, position, is_repetition } => {
                self.begin(*key, *position, *is_repetition)
            }
            Step::ReadOwn => {
                if let Some(bytes) = self.unread_records.pop() {
                    self.read(bytes, 1);
                }
            }
            Step::ReadOwnDamaged { at, xor_mask } => {
                let mut bytes = self.unread_records.last().cloned().unwrap_or_default();
                let index = usize::from(*at) % bytes.len().max(1);
                if let Some(byte) = bytes.get_mut(index) {
                    *byte ^= xor_mask;
                }
                self.read(bytes, 1);
            }
            Step::ReadForged { entry, is_late } => {
                let entries = vec![self.make_entry(entry)];
                let bytes = log::ClaimBatch { entries }.encode_to_vec();
                self.read(bytes, if *is_late { u64::MAX } else { 1 });
            }
            Step::ReadBytes(bytes) => self.read(bytes.to_vec(), 1),
            Step::Gap(records) => {
                self.next_offset += u64::from(*records);
                let next_offset = self.next_offset;
                let page = claim::Page {
                    records: Vec::new(),
                    next_offset,
                    oldest_offset: next_offset,
                    end_offset: next_offset,
                };
                let actions = self.claims.on_records(self.now, page);
                self.perform(actions);
            }
            Step::Tick(ms) => {
                self.now += Duration::from_millis(u64::from(*ms));
                let actions = self.claims.tick(self.now, self.now);
                self.perform(actions);
            }
        }
    }

    fn begin(&mut self, key: u8, position: u8, is_repetition: bool) {
        self.last_call += 1;
        let position = u64::from(position % 4);
        let new = claim::NewCall {
            call: self.last_call,
            organisation: "trust".to_owned(),
            key: Some(key_name(key)),
            is_repetition,
            key_created_at: None,
            request_sha256: [1; 32],
            service: "order-desk".to_owned(),
            sequence_position: (position > 0)
                .then(|| claim::SequencePosition { sequence: "round".to_owned(), position }),
        };
        let actions = self.claims.begin(self.now, self.now, new);
        self.perform(actions);
    }

    fn read(&mut self, bytes: Vec<u8>, time_ms: u64) {
        let record = claim::Record { offset: self.next_offset, time_ms, bytes };
        self.next_offset += 1;
        let next_offset = self.next_offset;
        let page = claim::Page {
            records: vec![record],
            next_offset,
            oldest_offset: 1,
            end_offset: next_offset,
        };
        let actions = self.claims.on_records(self.now, page);
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append { batch, record } => {
                    self.update_own_nonce(&record);
                    self.unread_records.push(record);
                    let result = AppendResult::Unknown;
                    let more = self.claims.on_append_result(self.now, batch, result);
                    self.perform(more);
                }
                Action::Dispatch { call, .. } => {
                    assert!(self.dispatched.insert(call), "call {call} was dispatched twice");
                    if self.claims.confirm_dispatch(self.now, call) {
                        let content_type = "text/plain".to_owned();
                        let body = Vec::new();
                        let result = DispatchResult::Answered { status: 200, content_type, body };
                        let more = self.claims.on_dispatch_result(self.now, call, result);
                        self.perform(more);
                    }
                }
                Action::Finish { call, .. } => {
                    assert!(self.finished.insert(call), "call {call} was concluded twice");
                }
            }
        }
    }

    fn update_own_nonce(&mut self, record: &[u8]) {
        let batch = log::ClaimBatch::decode(record).expect("a node appends valid records");
        for entry in batch.entries {
            if let Some(claim_entry::Body::Claim(claim)) = entry.body {
                self.own_nonce = claim.nonce;
            }
        }
    }

    fn make_entry(&self, forged: &Forged) -> log::ClaimEntry {
        let organisation = "trust".to_owned();
        let nonce_of = |is_own: bool| if is_own { self.own_nonce } else { 7 };
        let body = match *forged {
            Forged::Claim { key, is_own_nonce, base, position } => {
                claim_entry::Body::Claim(log::Claim {
                    organisation,
                    key: key_name(key),
                    request_sha256: vec![1; 32],
                    nonce: nonce_of(is_own_nonce),
                    service: "order-desk".to_owned(),
                    sequence: "round".to_owned(),
                    position,
                    base,
                    ..log::Claim::default()
                })
            }
            Forged::End { key, is_own_nonce, outcome, status } => {
                claim_entry::Body::End(log::ClaimEnd {
                    organisation,
                    key: key_name(key),
                    nonce: nonce_of(is_own_nonce),
                    outcome: i32::from(outcome % 5),
                    status,
                    ..log::ClaimEnd::default()
                })
            }
            Forged::Refusal { key, is_own_nonce } => claim_entry::Body::Refusal(log::Refusal {
                organisation,
                key: key_name(key),
                request_sha256: vec![1; 32],
                nonce: nonce_of(is_own_nonce),
            }),
        };
        log::ClaimEntry { body: Some(body) }
    }
}

fn key_name(key: u8) -> String {
    format!("key-{}", key % 2)
}

#[test]
fn survives_arbitrary_records() {
    bolero::check!().with_type::<[Step; 32]>().with_iterations(8_000).for_each(|steps| {
        let mut node = Node::new();
        for step in steps {
            node.apply_step(step);
        }
        node.now += claim::Config::new().conclusion_timeout() + Duration::from_secs(1);
        node.apply_step(&Step::Tick(0));
        assert_eq!(node.claims.waiting_calls(), 0);
    });
}
