//! Refusal of requests that crash endpoints.

use std::time::Duration;

use super::Dispatcher;
use crate::prompt_suspects::SharedParts;
use crate::refusal::RefusalReason;
use crate::suspects::Fingerprint;

impl Dispatcher {
    /// Fails if a request is known to crash endpoints, by itself or by a part of its prompt.
    pub(super) fn check_suspects(
        &self,
        now: Duration,
        request: Fingerprint,
        parts: &SharedParts,
    ) -> Result<(), RefusalReason> {
        if self.suspects.must_refuse(now, request) {
            return Err(RefusalReason::Suspect);
        }
        if self.prompt_suspects.must_refuse(now, parts) {
            return Err(RefusalReason::SuspectPart);
        }
        Ok(())
    }

    /// Renews the suspicion against a request, and against parts of its prompt.
    pub(super) fn on_suspect_refused(
        &mut self,
        now: Duration,
        request: Fingerprint,
        parts: &SharedParts,
    ) {
        if self.suspects.must_refuse(now, request) {
            self.suspects.on_refused(now, request);
        }
        self.prompt_suspects.on_refused(now, parts);
    }
}
