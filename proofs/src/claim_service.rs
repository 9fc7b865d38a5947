//! Fake plain service that counts how often each key runs.

use std::collections::BTreeMap;

/// Result of a call to the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// The call ran; body of the answer.
    Executed(Vec<u8>),
    /// The call carried a lower fencing token than an earlier call with its key.
    StaleFencingToken,
}

/// Service that optionally rejects stale fencing tokens.
#[derive(Debug)]
pub struct PlainService {
    checks_fencing: bool,
    highest_tokens: BTreeMap<String, u64>,
    run_counts: BTreeMap<String, u32>,
}

impl PlainService {
    /// Creates a service that has run no call.
    pub fn new(checks_fencing: bool) -> PlainService {
        PlainService {
            checks_fencing,
            highest_tokens: BTreeMap::new(),
            run_counts: BTreeMap::new(),
        }
    }

    /// Runs or rejects a call. The body differs at each run, which reveals a second run.
    pub fn handle_call(&mut self, key: &str, fencing_token: u64) -> CallResult {
        let highest_token = self.highest_tokens.entry(key.to_owned()).or_default();
        if self.checks_fencing && fencing_token < *highest_token {
            return CallResult::StaleFencingToken;
        }
        *highest_token = fencing_token.max(*highest_token);
        let runs = self.run_counts.entry(key.to_owned()).or_default();
        *runs += 1;
        CallResult::Executed(format!("{key} run {runs} under {fencing_token}").into_bytes())
    }

    /// Number of times that the key ran.
    pub fn run_count(&self, key: &str) -> u32 {
        self.run_counts.get(key).copied().unwrap_or(0)
    }
}
