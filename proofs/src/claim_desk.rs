//! A plain service that counts how often each key ran.

use std::collections::BTreeMap;

/// What the service does with a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// It ran.
    Ran(Vec<u8>),
    /// It was refused for its old fencing number.
    Refused,
}

/// The service.
#[derive(Debug)]
pub struct Desk {
    checks_fencing: bool,
    accepted: BTreeMap<String, u64>,
    runs: BTreeMap<String, u32>,
}

impl Desk {
    /// A service that has run nothing.
    pub fn new(checks_fencing: bool) -> Desk {
        Desk { checks_fencing, accepted: BTreeMap::new(), runs: BTreeMap::new() }
    }

    /// A call arrives. Its answer differs at each run, so that a second run shows.
    pub fn call(&mut self, key: &str, fence: u64) -> Reply {
        let accepted = self.accepted.entry(key.to_owned()).or_default();
        if self.checks_fencing && fence < *accepted {
            return Reply::Refused;
        }
        *accepted = fence.max(*accepted);
        let runs = self.runs.entry(key.to_owned()).or_default();
        *runs += 1;
        Reply::Ran(format!("{key} run {runs} under {fence}").into_bytes())
    }

    /// How often the key ran.
    pub fn runs(&self, key: &str) -> u32 {
        self.runs.get(key).copied().unwrap_or(0)
    }
}
