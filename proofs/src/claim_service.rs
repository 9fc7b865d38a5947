//! A plain service that counts how often each key ran.

use std::collections::BTreeMap;

/// What the service does with a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// It ran.
    Executed(Vec<u8>),
    /// It was refused for its old fencing number.
    StaleFencingToken,
}

/// The service.
#[derive(Debug)]
pub struct PlainService {
    checks_fencing: bool,
    highest_tokens: BTreeMap<String, u64>,
    run_counts: BTreeMap<String, u32>,
}

impl PlainService {
    /// A service that has run nothing.
    pub fn new(checks_fencing: bool) -> PlainService {
        PlainService {
            checks_fencing,
            highest_tokens: BTreeMap::new(),
            run_counts: BTreeMap::new(),
        }
    }

    /// A call arrives. Its answer differs at each run, so that a second run shows.
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

    /// How often the key ran.
    pub fn run_count(&self, key: &str) -> u32 {
        self.run_counts.get(key).copied().unwrap_or(0)
    }
}
