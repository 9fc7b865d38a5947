//! Default values of the fields that a release note omits.
//!
//! They are filled in when the note is read, before it is appended to the log.
//! The release in force is therefore complete, and a later version of the
//! software with other defaults does not change it.

use rhubarbrock_schema::release as schema;

/// Target for the time to first token, or to the answer of a plain service, in milliseconds.
pub const FIRST_TOKEN_TARGET_MS: u32 = 570;

/// Target for the time between tokens, in milliseconds.
pub const TOKEN_INTERVAL_TARGET_MS: u32 = 32;

/// Limit on the time for a model's complete answer, in milliseconds.
pub const MODEL_TIMEOUT_MS: u32 = 120_000;

/// Limit on the time for a plain service's answer, in milliseconds.
pub const PLAIN_TIMEOUT_MS: u32 = 10_000;

/// Largest request body, in bytes.
pub const MAX_BODY_BYTES: u32 = 1 << 20;

/// Largest number of tokens generated for one request.
pub const MAX_TOKENS: u32 = 4_096;

/// Defaults of a service of the given kind; fields without a default are empty.
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

/// Policy of a deployment whose release notes set none.
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

/// Adds the default policy to `note` if neither it nor the release `base` has a policy.
pub fn with_defaults(mut note: schema::ReleaseNote, base: &schema::Release) -> schema::ReleaseNote {
    if note.policy.is_none() && base.policy.is_none() {
        note.policy = Some(policy());
    }
    note
}
