//! Counters of a node, for metrics.

/// Counts since the node's start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counters {
    /// Model requests accepted.
    pub model_accepted: u64,
    /// Model requests whose answer is complete.
    pub model_answered: u64,
    /// Model requests that failed after acceptance.
    pub model_failed: u64,
    /// Attempts at model engines.
    pub model_attempts: u64,
    /// Attempts that went on after text of an earlier attempt.
    pub model_resumed: u64,
    /// Prompt tokens that engines had in a cache.
    pub cached_tokens: u64,
    /// Prompt tokens that engines computed.
    pub computed_tokens: u64,
    /// Tokens generated.
    pub generated_tokens: u64,
    /// Calls refused before they ran.
    pub refused: u64,
    /// Plain calls answered.
    pub plain_answered: u64,
    /// Plain calls told as not run.
    pub plain_not_run: u64,
    /// Plain calls told as in doubt.
    pub plain_in_doubt: u64,
    /// Attempts at plain services.
    pub plain_attempts: u64,
    /// Requests accepted with one copy for want of another node.
    pub single_copy: u64,
    /// Requests adopted from other nodes.
    pub adopted: u64,
    /// Requests handed over to other nodes.
    pub handed_over: u64,
    /// Requests that another node runs under a higher term.
    pub superseded: u64,
    /// Release notes that came in force.
    pub notes_in_force: u64,
    /// Release notes rejected.
    pub notes_rejected: u64,
    /// Records of the log that could not be understood.
    pub records_malformed: u64,
    /// Failed readings of the log.
    pub log_read_failures: u64,
    /// Appends to the log.
    pub appends: u64,
    /// Appends that failed or whose fate is unknown.
    pub append_failures: u64,
    /// Endpoints ejected.
    pub endpoints_ejected: u64,
    /// Requests quarantined.
    pub quarantined: u64,
}

impl Counters {
    /// Calls `tell` with each counter's metric name and value.
    pub fn for_each(&self, mut tell: impl FnMut(&'static str, u64)) {
        tell("rhubarbrock_model_accepted_total", self.model_accepted);
        tell("rhubarbrock_model_answered_total", self.model_answered);
        tell("rhubarbrock_model_failed_total", self.model_failed);
        tell("rhubarbrock_model_attempts_total", self.model_attempts);
        tell("rhubarbrock_model_resumed_total", self.model_resumed);
        tell("rhubarbrock_cached_tokens_total", self.cached_tokens);
        tell("rhubarbrock_computed_tokens_total", self.computed_tokens);
        tell("rhubarbrock_generated_tokens_total", self.generated_tokens);
        tell("rhubarbrock_refused_total", self.refused);
        tell("rhubarbrock_plain_answered_total", self.plain_answered);
        tell("rhubarbrock_plain_not_run_total", self.plain_not_run);
        tell("rhubarbrock_plain_in_doubt_total", self.plain_in_doubt);
        tell("rhubarbrock_plain_attempts_total", self.plain_attempts);
        tell("rhubarbrock_single_copy_total", self.single_copy);
        tell("rhubarbrock_adopted_total", self.adopted);
        tell("rhubarbrock_handed_over_total", self.handed_over);
        tell("rhubarbrock_superseded_total", self.superseded);
        tell("rhubarbrock_notes_in_force_total", self.notes_in_force);
        tell("rhubarbrock_notes_rejected_total", self.notes_rejected);
        tell("rhubarbrock_records_malformed_total", self.records_malformed);
        tell("rhubarbrock_log_read_failures_total", self.log_read_failures);
        tell("rhubarbrock_appends_total", self.appends);
        tell("rhubarbrock_append_failures_total", self.append_failures);
        tell("rhubarbrock_endpoints_ejected_total", self.endpoints_ejected);
        tell("rhubarbrock_quarantined_total", self.quarantined);
    }
}
