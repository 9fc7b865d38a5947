//! Checks the guarantees against what callers and replicas observed.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use http::StatusCode;
use platform_standins::replica::Arrival;

use crate::callers::{Attempt, DEADLINE, EVENTS_PER_STREAM, Outcome};
use crate::testbed::{MAX_DELAY, STORE_CONTACT_TIME, Target, Testbed};

/// Largest number of violations shown per check.
const MAX_SHOWN: usize = 3;

/// Time after its deadline within which a request must be answered; allows for a busy machine.
const LATE_ANSWER_MARGIN: Duration = Duration::from_millis(1_500);

/// Time after the last fault from which every request must be served.
const MAX_RECOVERY_TIME: Duration = Duration::from_millis(4_500);

/// Returns how an attempt violates a guarantee; none if it does not.
type Check<'w> = fn(&Observations<'w>, &Attempt) -> Option<String>;

/// What callers and replicas observed in one run.
struct Observations<'w> {
    testbed: &'w Testbed,
    faults_ended_at: Instant,
    attempts: Vec<Attempt>,
    /// Replica index and arrival of each attempt, by attempt id.
    runs: HashMap<String, Vec<(usize, Arrival)>>,
}

/// Violations of all guarantees: at most [`MAX_SHOWN`] per check, but all conflicting usage reports.
pub(crate) fn violations(testbed: &Testbed, faults_ended_at: Instant) -> Vec<String> {
    let observations = Observations::new(testbed, faults_ended_at);
    let mut violations = Vec::new();
    let checks: [(&str, Check<'_>); 7] = [
        ("answer", Observations::wrong_answer),
        ("runs", Observations::too_many_runs),
        ("not run", Observations::false_refusal),
        ("waiting", Observations::late_answer),
        ("lost", Observations::lost_answer),
        ("keys", Observations::wrong_key),
        ("recovery", Observations::not_recovered),
    ];
    for (name, check) in checks {
        let found: Vec<String> = observations
            .attempts
            .iter()
            .filter_map(|attempt| {
                Some(format!(
                    "{name}: {} ({})",
                    check(&observations, attempt)?,
                    observations.describe(attempt)
                ))
            })
            .collect();
        if found.len() > MAX_SHOWN {
            violations.push(format!("{name}: {} in all", found.len()));
        }
        violations.extend(found.into_iter().take(MAX_SHOWN));
    }
    violations.extend(observations.requests_to_draining_replicas().into_iter().take(MAX_SHOWN));
    violations.extend(observations.conflicting_usage_reports());
    violations
}

/// Number of attempts for each outcome.
pub(crate) fn summary(testbed: &Testbed) -> String {
    let attempts = testbed.attempts.lock().unwrap();
    let mut counts: std::collections::BTreeMap<String, u32> = std::collections::BTreeMap::new();
    for attempt in attempts.iter() {
        let outcome = match &attempt.outcome {
            Outcome::Answered { status, is_complete: true, .. } => status.as_u16().to_string(),
            Outcome::Answered { status, .. } => format!("{} incomplete", status.as_u16()),
            Outcome::ConnectionLost => "connection lost".to_owned(),
            Outcome::TimedOut => "timed out".to_owned(),
        };
        *counts.entry(outcome).or_default() += 1;
    }
    format!("{} attempts {counts:?}", attempts.len())
}

impl Observations<'_> {
    fn new(testbed: &Testbed, faults_ended_at: Instant) -> Observations<'_> {
        let mut runs: HashMap<String, Vec<(usize, Arrival)>> = HashMap::new();
        for (index, proxied) in testbed.replicas.iter().enumerate() {
            for arrival in proxied.replica.arrivals() {
                let id = arrival.request_id();
                runs.entry(id).or_default().push((index, arrival));
            }
        }
        Observations {
            testbed,
            faults_ended_at,
            attempts: testbed.attempts.lock().unwrap().clone(),
            runs,
        }
    }

    fn describe(&self, attempt: &Attempt) -> String {
        let at =
            |instant: Instant| instant.saturating_duration_since(self.testbed.started).as_millis();
        let runs: Vec<String> = self
            .arrivals(attempt)
            .iter()
            .map(|(replica, arrival)| {
                format!("r{replica} at {} ran {}", at(arrival.at), arrival.ran)
            })
            .collect();
        format!(
            "{} {:?} at gateway {}, {} to {} ms: {:?}; arrivals {runs:?}",
            attempt.id,
            attempt.kind,
            attempt.gateway,
            at(attempt.sent_at),
            at(attempt.ended_at),
            attempt.outcome
        )
    }

    fn arrivals(&self, attempt: &Attempt) -> &[(usize, Arrival)] {
        self.runs.get(&attempt.id).map_or(&[], Vec::as_slice)
    }

    /// Whether a target that `is_relevant` accepts was disturbed at some time from `from` to
    /// `until`.
    fn is_disturbed(
        &self,
        from: Instant,
        until: Instant,
        is_relevant: impl Fn(Target) -> bool,
    ) -> bool {
        let disturbances = self.testbed.disturbances.lock().unwrap();
        disturbances.iter().any(|each| {
            is_relevant(each.target)
                && each.from <= until
                && each.until.is_none_or(|end| end >= from)
        })
    }

    /// Whether the bounds apply to the attempt: its gateway and the store were undisturbed during
    /// it and for [`STORE_CONTACT_TIME`] before.
    fn had_store_contact(&self, attempt: &Attempt) -> bool {
        let from = attempt.sent_at.checked_sub(STORE_CONTACT_TIME).unwrap_or(self.testbed.started);
        !self.is_disturbed(from, attempt.ended_at, |target| match target {
            Target::Gateway(gateway) | Target::Leaving(gateway) => gateway == attempt.gateway,
            Target::Store => true,
            Target::Replica(_) => false,
        })
    }

    /// An answer that is not from a replica, belongs to another request, has events out of order, or
    /// ends early without an error.
    fn wrong_answer(&self, attempt: &Attempt) -> Option<String> {
        let Outcome::Answered { status: StatusCode::OK, body, is_complete, is_from_replica } =
            &attempt.outcome
        else {
            return None;
        };
        if !is_from_replica {
            return Some("not answered by a replica".to_owned());
        }
        if !attempt.kind.is_stream() {
            let expected = format!("confirmed n={}", attempt.id);
            return (*is_complete && *body != expected)
                .then(|| "answer of another request".to_owned());
        }
        let expected: String = (attempt.after_event + 1..=EVENTS_PER_STREAM)
            .map(|event| format!("id: {event}\ndata: event {event} n={}\n\n", attempt.id))
            .collect();
        let is_right = if *is_complete { *body == expected } else { expected.starts_with(body) };
        (!is_right).then(|| "unexpected events".to_owned())
    }

    /// A request that ran more often than its route allows.
    fn too_many_runs(&self, attempt: &Attempt) -> Option<String> {
        let runs = self.arrivals(attempt).iter().filter(|(_, arrival)| arrival.ran).count();
        (runs > attempt.kind.max_runs()).then(|| format!("{runs} runs"))
    }

    /// A refusal by the gateway itself whose status means that the request did not run, although it
    /// did.
    fn false_refusal(&self, attempt: &Attempt) -> Option<String> {
        let Outcome::Answered { status, is_from_replica: false, .. } = &attempt.outcome else {
            return None;
        };
        let is_unknown = matches!(*status, StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT);
        let has_run = self.arrivals(attempt).iter().any(|(_, arrival)| arrival.ran);
        (!is_unknown && has_run).then(|| "it ran".to_owned())
    }

    /// An attempt that ended later than [`LATE_ANSWER_MARGIN`] after its deadline.
    fn late_answer(&self, attempt: &Attempt) -> Option<String> {
        let elapsed = attempt.ended_at - attempt.sent_at;
        let is_disturbed = self.is_disturbed(attempt.sent_at, attempt.ended_at, |target| {
            target == Target::Gateway(attempt.gateway)
        });
        (elapsed > DEADLINE + LATE_ANSWER_MARGIN && !is_disturbed)
            .then(|| format!("{} ms", elapsed.as_millis()))
    }

    /// A request that ran and whose answer was lost, although its gateway and the replicas had no
    /// fault other than a graceful shutdown of the gateway.
    fn lost_answer(&self, attempt: &Attempt) -> Option<String> {
        let is_incomplete = match attempt.outcome {
            Outcome::ConnectionLost | Outcome::TimedOut => true,
            Outcome::Answered { is_complete, .. } => !is_complete,
        };
        let has_run = self.arrivals(attempt).iter().any(|(_, arrival)| arrival.ran);
        // A replica that was disturbed shortly before may still hold back its answers.
        let from = attempt.sent_at.checked_sub(DEADLINE).unwrap_or(self.testbed.started);
        let is_disturbed = self.is_disturbed(from, attempt.ended_at, |target| match target {
            Target::Gateway(gateway) => gateway == attempt.gateway,
            Target::Replica(_) => true,
            Target::Leaving(_) | Target::Store => false,
        });
        (is_incomplete && has_run && !is_disturbed).then(|| "its answer was lost".to_owned())
    }

    /// A revoked key that is accepted after the bound, or a valid key that is refused.
    fn wrong_key(&self, attempt: &Attempt) -> Option<String> {
        let Outcome::Answered { status, is_from_replica, .. } = &attempt.outcome else {
            return None;
        };
        let keys = self.testbed.keys();
        let key = keys.iter().find(|key| key.name == attempt.key)?;
        if !self.had_store_contact(attempt) {
            return None;
        }
        match key.revoked_at {
            Some(at) if attempt.sent_at > at + MAX_DELAY => {
                is_from_replica.then(|| "a revoked key was accepted".to_owned())
            }
            Some(_) => None,
            None => {
                let is_refused = *status == StatusCode::UNAUTHORIZED;
                is_refused.then(|| "a valid key was refused".to_owned())
            }
        }
    }

    /// A request that is not served although all faults ended more than [`MAX_RECOVERY_TIME`] ago.
    fn not_recovered(&self, attempt: &Attempt) -> Option<String> {
        let revoked = self
            .testbed
            .keys()
            .into_iter()
            .any(|key| key.name == attempt.key && key.revoked_at.is_some());
        if attempt.sent_at < self.faults_ended_at + MAX_RECOVERY_TIME || revoked {
            return None;
        }
        let is_served = matches!(
            attempt.outcome,
            Outcome::Answered { status: StatusCode::OK, is_complete: true, .. }
        );
        // Attempts that are still open at the end of the run are aborted and not recorded.
        (!is_served).then(|| "not served".to_owned())
    }

    /// Requests sent to replicas later than [`MAX_DELAY`] after these announced that they drain.
    fn requests_to_draining_replicas(&self) -> Vec<String> {
        let drain_periods = self.testbed.drain_periods.lock().unwrap();
        let mut found = Vec::new();
        for attempt in self.attempts.iter().filter(|attempt| self.had_store_contact(attempt)) {
            for (replica, arrival) in self.arrivals(attempt) {
                let must_be_avoided = drain_periods.iter().any(|each| {
                    each.replica == *replica
                        && (each.from + MAX_DELAY..each.until).contains(&arrival.at)
                });
                if must_be_avoided {
                    found.push(format!(
                        "drain: request sent to a draining replica ({})",
                        self.describe(attempt)
                    ));
                }
            }
        }
        found
    }

    /// Usage windows that were reported more than once with different counts.
    fn conflicting_usage_reports(&self) -> Vec<String> {
        let mut counts_by_window: HashMap<String, String> = HashMap::new();
        let mut found = Vec::new();
        for report in self.testbed.store.usage_reports() {
            let (window, counts) = (report["window_id"].to_string(), report["counts"].to_string());
            let first_counts =
                counts_by_window.entry(window.clone()).or_insert_with(|| counts.clone());
            if *first_counts != counts {
                found.push(format!("usage: window {window} has {first_counts} and {counts}"));
            }
        }
        found
    }
}
