//! Encoding of records of topic "claims".

use std::time::Duration;

use prost::Message;
use rhubarbrock_schema::log::{self, ClaimEntry, ClaimOutcome, claim_entry};

use crate::claim_call::Call;
use crate::claim_table::Answer;
use crate::id::NodeId;

/// Builds one record from entries.
pub(crate) struct BatchBuilder {
    batch: log::ClaimBatch,
    bytes: usize,
    max_bytes: usize,
}

impl BatchBuilder {
    pub(crate) fn new(max_bytes: usize) -> BatchBuilder {
        BatchBuilder { batch: log::ClaimBatch::default(), bytes: 0, max_bytes }
    }

    pub(crate) fn has_room(&self) -> bool {
        self.bytes < self.max_bytes
    }

    pub(crate) fn push(&mut self, entry: ClaimEntry) {
        self.bytes += entry.encoded_len();
        self.batch.entries.push(entry);
    }

    pub(crate) fn record(&self) -> Vec<u8> {
        self.batch.encode_to_vec()
    }
}

pub(crate) fn claim(call: &Call, holder: NodeId, unix_time: Duration) -> ClaimEntry {
    let sequence_position = call.details.sequence_position.as_ref();
    let claim = log::Claim {
        organisation: call.details.organisation.clone(),
        key: call.key_text.clone(),
        request_sha256: call.details.request_sha256.to_vec(),
        nonce: call.nonce,
        holder,
        claimed_at_ms: unix_time.as_millis() as u64,
        service: call.details.service.clone(),
        sequence: sequence_position.map(|named| named.sequence.clone()).unwrap_or_default(),
        position: sequence_position.map_or(0, |named| named.position),
        base: call.base_offset,
    };
    ClaimEntry { body: Some(claim_entry::Body::Claim(claim)) }
}

pub(crate) fn refusal(call: &Call) -> ClaimEntry {
    let refusal = log::Refusal {
        organisation: call.details.organisation.clone(),
        key: call.key_text.clone(),
        request_sha256: call.details.request_sha256.to_vec(),
        nonce: call.nonce,
    };
    ClaimEntry { body: Some(claim_entry::Body::Refusal(refusal)) }
}

pub(crate) fn not_run(call: &Call) -> ClaimEntry {
    end_entry(call, ClaimOutcome::NotRun, None)
}

pub(crate) fn in_doubt(call: &Call) -> ClaimEntry {
    end_entry(call, ClaimOutcome::InDoubt, None)
}

pub(crate) fn answered(call: &Call, answer: &Answer, max_answer_bytes: usize) -> ClaimEntry {
    let mut recorded = answer.clone();
    if recorded.body.len() > max_answer_bytes {
        recorded.body = Vec::new();
        recorded.body_omitted = true;
    }
    end_entry(call, ClaimOutcome::Answered, Some(recorded))
}

fn end_entry(call: &Call, outcome: ClaimOutcome, answer: Option<Answer>) -> ClaimEntry {
    let mut end = log::ClaimEnd {
        organisation: call.details.organisation.clone(),
        key: call.key_text.clone(),
        nonce: call.nonce,
        outcome: outcome as i32,
        ..Default::default()
    };
    if let Some(answer) = answer {
        end.status = u32::from(answer.status);
        end.content_type = answer.content_type;
        end.body = answer.body;
        end.body_omitted = answer.body_omitted;
    }
    ClaimEntry { body: Some(claim_entry::Body::End(end)) }
}
