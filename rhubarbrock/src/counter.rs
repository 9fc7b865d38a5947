//! Counters of a node, exported as metrics.

/// Event counts since the node's start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counters {
    /// Model requests accepted.
    pub model_accepted: u64,
    /// Model requests with a complete answer.
    pub model_answered: u64,
    /// Model requests that failed after acceptance.
    pub model_failed: u64,
    /// Attempts sent to model engines.
    pub model_attempts: u64,
    /// Attempts that continued the text of an earlier attempt.
    pub model_resumed: u64,
    /// Prompt tokens that engines read from their KV cache.
    pub cached_tokens: u64,
    /// Prompt tokens that engines computed.
    pub computed_tokens: u64,
    /// Tokens generated.
    pub generated_tokens: u64,
    /// Calls refused without running.
    pub refused: u64,
    /// Plain calls answered.
    pub plain_answered: u64,
    /// Plain calls reported to the caller as not run.
    pub plain_not_run: u64,
    /// Plain calls reported to the caller as in doubt.
    pub plain_in_doubt: u64,
    /// Attempts sent to plain services.
    pub plain_attempts: u64,
    /// Requests accepted without a backup copy, because no other node was available.
    pub single_copy: u64,
    /// Requests adopted from other nodes.
    pub adopted: u64,
    /// Requests handed over to other nodes.
    pub handed_over: u64,
    /// Requests that another node took over under a higher term.
    pub superseded: u64,
    /// Release notes that came in force.
    pub notes_in_force: u64,
    /// Release notes rejected.
    pub notes_rejected: u64,
    /// Log records that could not be decoded.
    pub records_malformed: u64,
    /// Failed reads of the log.
    pub log_read_failures: u64,
    /// Appends to the log.
    pub appends: u64,
    /// Appends that failed or whose outcome is unknown.
    pub append_failures: u64,
    /// Endpoints ejected.
    pub endpoints_ejected: u64,
    /// Quarantines of requests that crashed endpoints.
    pub quarantined: u64,
}

impl Counters {
    /// Calls `visit` with the metric name and value of each counter.
    pub fn for_each(&self, mut visit: impl FnMut(&'static str, u64)) {
        visit("rhubarbrock_model_accepted_total", self.model_accepted);
        visit("rhubarbrock_model_answered_total", self.model_answered);
        visit("rhubarbrock_model_failed_total", self.model_failed);
        visit("rhubarbrock_model_attempts_total", self.model_attempts);
        visit("rhubarbrock_model_resumed_total", self.model_resumed);
        visit("rhubarbrock_cached_tokens_total", self.cached_tokens);
        visit("rhubarbrock_computed_tokens_total", self.computed_tokens);
        visit("rhubarbrock_generated_tokens_total", self.generated_tokens);
        visit("rhubarbrock_refused_total", self.refused);
        visit("rhubarbrock_plain_answered_total", self.plain_answered);
        visit("rhubarbrock_plain_not_run_total", self.plain_not_run);
        visit("rhubarbrock_plain_in_doubt_total", self.plain_in_doubt);
        visit("rhubarbrock_plain_attempts_total", self.plain_attempts);
        visit("rhubarbrock_single_copy_total", self.single_copy);
        visit("rhubarbrock_adopted_total", self.adopted);
        visit("rhubarbrock_handed_over_total", self.handed_over);
        visit("rhubarbrock_superseded_total", self.superseded);
        visit("rhubarbrock_notes_in_force_total", self.notes_in_force);
        visit("rhubarbrock_notes_rejected_total", self.notes_rejected);
        visit("rhubarbrock_records_malformed_total", self.records_malformed);
        visit("rhubarbrock_log_read_failures_total", self.log_read_failures);
        visit("rhubarbrock_appends_total", self.appends);
        visit("rhubarbrock_append_failures_total", self.append_failures);
        visit("rhubarbrock_endpoints_ejected_total", self.endpoints_ejected);
        visit("rhubarbrock_quarantined_total", self.quarantined);
    }
}
