//! Values of the fields that a release note leaves out.
//!
//! They are filled in when the note is read, before it is appended to the log,
//! so that what is in force says itself whole and a later version of the
//! software changes nothing by other defaults.

use rhubarbrock_schema::release as schema;

/// Time to first token (or answer) aimed at, in milliseconds.
pub const FIRST_TOKEN_TARGET_MS: u32 = 570;

/// Time between tokens aimed at, in milliseconds.
pub const TOKEN_INTERVAL_TARGET_MS: u32 = 32;

/// Longest time for a whole answer of a model, in milliseconds.
pub const MODEL_TIMEOUT_MS: u32 = 120_000;

/// Longest time for an answer of a plain service, in milliseconds.
pub const PLAIN_TIMEOUT_MS: u32 = 10_000;

/// Largest request body, in bytes.
pub const MAX_BODY_BYTES: u32 = 1 << 20;

/// Largest number of tokens generated for one request.
pub const MAX_TOKENS: u32 = 4_096;

/// A service of the given kind of which only that is known.
pub fn service(kind: schema::ServiceKind) -> schema::Service {
    let service = schema::Service {
        kind: kind as i32,
        min_replicas: 1,
        max_replicas: 1,
        first_token_target_ms: FIRST_TOKEN_TARGET_MS,
        max_body_bytes: MAX_BODY_BYTES,
        ..Default::default()
    };
    match kind {
        schema::ServiceKind::Model => schema::Service {
            token_interval_target_ms: TOKEN_INTERVAL_TARGET_MS,
            timeout_ms: MODEL_TIMEOUT_MS,
            max_tokens: MAX_TOKENS,
            ..service
        },
        _ => schema::Service { timeout_ms: PLAIN_TIMEOUT_MS, ..service },
    }
}

/// The policy of a deployment whose notes named none.
pub fn policy() -> schema::Policy {
    schema::Policy {
        objective: schema::Objective::Cost as i32,
        retry_percent: 10,
        idempotency_key_life_s: 3_600,
        quarantine_after_crashes: 2,
        quarantine_s: 600,
        drain_limit_ms: 30_000,
        answer_life_s: 300,
        max_reclaimable_percent: 80,
        max_queue: 256,
    }
}

/// The note with the default policy where neither it nor the release has one.
pub fn with_defaults(mut note: schema::ReleaseNote, base: &schema::Release) -> schema::ReleaseNote {
    if note.policy.is_none() && base.policy.is_none() {
        note.policy = Some(policy());
    }
    note
}
