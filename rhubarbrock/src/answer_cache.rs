//! Answers of plain services, kept for callers who ask again by request id.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{event, id};

/// Answers kept for callers who ask again by request id.
const MAX_ANSWERED: usize = 4_096;

/// Largest answer kept, in bytes.
const MAX_KEPT_BYTES: usize = 64 * 1024;

/// Answers kept for callers who ask again.
#[derive(Debug, Clone, Default)]
pub(crate) struct AnswerCache {
    by_request: BTreeMap<id::RequestId, AnsweredCall>,
    by_time: BTreeSet<(Duration, id::RequestId)>,
}

#[derive(Debug, Clone)]
struct AnsweredCall {
    organisation: String,
    answer: event::PlainAnswer,
    at: Duration,
}

impl AnswerCache {
    /// Keeps an answer; one that is too large is passed over.
    pub(crate) fn insert(
        &mut self,
        at: Duration,
        request: id::RequestId,
        organisation: String,
        answer: event::PlainAnswer,
    ) {
        if answer.body.len() > MAX_KEPT_BYTES {
            return;
        }
        if self.by_request.len() >= MAX_ANSWERED
            && let Some((_, oldest)) = self.by_time.pop_first()
        {
            self.by_request.remove(&oldest);
        }
        self.by_time.insert((at, request));
        self.by_request.insert(request, AnsweredCall { organisation, answer, at });
    }

    /// The answer of a request, for its organisation only.
    pub(crate) fn get(
        &self,
        request: id::RequestId,
        organisation: &str,
    ) -> Option<event::PlainAnswer> {
        let found = self.by_request.get(&request)?;
        (found.organisation == organisation).then(|| found.answer.clone())
    }

    /// Forgets answers given before a time.
    pub(crate) fn expire(&mut self, before: Duration) {
        while let Some(&(at, request)) = self.by_time.first() {
            if at >= before {
                return;
            }
            self.by_time.remove(&(at, request));
            if self.by_request.get(&request).is_some_and(|found| found.at == at) {
                self.by_request.remove(&request);
            }
        }
    }
}
