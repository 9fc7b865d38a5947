//! Cache of answers of plain services, for callers that look up a request by its id.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{event, id};

/// Largest number of cached answers; the oldest is evicted beyond that.
const MAX_ANSWERS: usize = 4_096;

/// Largest body of a cached answer, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Answers by request id, evicted by age and by number.
#[derive(Debug, Clone, Default)]
pub(crate) struct AnswerCache {
    by_request: BTreeMap<id::RequestId, CachedAnswer>,
    by_time: BTreeSet<(Duration, id::RequestId)>,
}

#[derive(Debug, Clone)]
struct CachedAnswer {
    organisation: String,
    answer: event::PlainAnswer,
    at: Duration,
}

impl AnswerCache {
    /// Caches an answer received at monotonic time `at`, unless its body is too large.
    pub(crate) fn insert(
        &mut self,
        at: Duration,
        request: id::RequestId,
        organisation: String,
        answer: event::PlainAnswer,
    ) {
        if answer.body.len() > MAX_BODY_BYTES {
            return;
        }
        if self.by_request.len() >= MAX_ANSWERS
            && let Some((_, oldest)) = self.by_time.pop_first()
        {
            self.by_request.remove(&oldest);
        }
        self.by_time.insert((at, request));
        self.by_request.insert(request, CachedAnswer { organisation, answer, at });
    }

    /// Returns the answer to a request, if the request belongs to `organisation`.
    pub(crate) fn get(
        &self,
        request: id::RequestId,
        organisation: &str,
    ) -> Option<event::PlainAnswer> {
        let cached = self.by_request.get(&request)?;
        (cached.organisation == organisation).then(|| cached.answer.clone())
    }

    /// Evicts answers received before monotonic time `before`.
    pub(crate) fn expire(&mut self, before: Duration) {
        while let Some(&(at, request)) = self.by_time.first() {
            if at >= before {
                return;
            }
            self.by_time.remove(&(at, request));
            if self.by_request.get(&request).is_some_and(|cached| cached.at == at) {
                self.by_request.remove(&request);
            }
        }
    }
}
