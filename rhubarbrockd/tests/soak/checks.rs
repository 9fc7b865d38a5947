//! Promises, from what callers and replicas saw.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use http::StatusCode;
use platform_standins::replica::Arrival;

use crate::callers::{Attempt, EVENTS, Outcome, TIME_LIMIT};
use crate::world::{BOUND, CONTACT, Place, World};

/// Broken promises shown of each kind.
const SHOWN: usize = 3;

/// Time beyond its limit in which a request must have an answer, on a busy machine.
const LATE: Duration = Duration::from_millis(1_500);

/// Time after the last fault from which everything must be served.
const HEALED_AFTER: Duration = Duration::from_millis(4_500);

/// What is broken about an attempt, if anything is.
type Check<'w> = fn(&View<'w>, &Attempt) -> Option<String>;

struct View<'w> {
    world: &'w World,
    healed: Instant,
    attempts: Vec<Attempt>,
    runs: HashMap<String, Vec<(usize, Arrival)>>,
}

/// Promises that were broken.
pub(crate) fn broken(world: &World, healed: Instant) -> Vec<String> {
    let view = View::new(world, healed);
    let mut broken = Vec::new();
    let checks: [(&str, Check<'_>); 7] = [
        ("answer", View::wrong_answer),
        ("runs", View::too_many_runs),
        ("not run", View::false_refusal),
        ("waiting", View::late_answer),
        ("lost", View::lost_answer),
        ("keys", View::wrong_key),
        ("recovery", View::unserved),
    ];
    for (name, check) in checks {
        let found: Vec<String> = view
            .attempts
            .iter()
            .filter_map(|attempt| {
                Some(format!("{name}: {} ({})", check(&view, attempt)?, view.shown(attempt)))
            })
            .collect();
        if found.len() > SHOWN {
            broken.push(format!("{name}: {} in all", found.len()));
        }
        broken.extend(found.into_iter().take(SHOWN));
    }
    broken.extend(view.work_for_leaving().into_iter().take(SHOWN));
    broken.extend(view.unlike_reports());
    broken
}

/// How many attempts ended how.
pub(crate) fn summary(world: &World) -> String {
    let attempts = world.attempts.lock().unwrap();
    let mut counts: std::collections::BTreeMap<String, u32> = std::collections::BTreeMap::new();
    for attempt in attempts.iter() {
        let outcome = match &attempt.outcome {
            Outcome::Answered { status, is_whole: true, .. } => status.as_u16().to_string(),
            Outcome::Answered { status, .. } => format!("{} cut", status.as_u16()),
            Outcome::Cut => "cut".to_owned(),
            Outcome::Silent => "silent".to_owned(),
        };
        *counts.entry(outcome).or_default() += 1;
    }
    format!("{} attempts {counts:?}", attempts.len())
}

impl View<'_> {
    fn new(world: &World, healed: Instant) -> View<'_> {
        let mut runs: HashMap<String, Vec<(usize, Arrival)>> = HashMap::new();
        for (index, served) in world.replicas.iter().enumerate() {
            for arrival in served.replica.arrivals() {
                let id = arrival.headers["attempt-id"].to_str().unwrap().to_owned();
                runs.entry(id).or_default().push((index, arrival));
            }
        }
        View { world, healed, attempts: world.attempts.lock().unwrap().clone(), runs }
    }

    fn shown(&self, attempt: &Attempt) -> String {
        let at =
            |instant: Instant| instant.saturating_duration_since(self.world.started).as_millis();
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

    /// Whether any of the places was disturbed at some time from `from` to `until`.
    fn is_disturbed(&self, from: Instant, until: Instant, place: impl Fn(Place) -> bool) -> bool {
        let disturbances = self.world.disturbances.lock().unwrap();
        disturbances.iter().any(|each| {
            place(each.place) && each.from <= until && each.until.is_none_or(|end| end >= from)
        })
    }

    /// Whether the bounds hold for the attempt's gateway: it was in touch with the store.
    fn is_in_touch(&self, attempt: &Attempt) -> bool {
        let from = attempt.sent_at.checked_sub(CONTACT).unwrap_or(self.world.started);
        !self.is_disturbed(from, attempt.ended_at, |place| match place {
            Place::Gateway(gateway) | Place::Leaving(gateway) => gateway == attempt.gateway,
            Place::Store => true,
            Place::Replica(_) => false,
        })
    }

    /// An answer that is another request's, out of order, or whole without being so.
    fn wrong_answer(&self, attempt: &Attempt) -> Option<String> {
        let Outcome::Answered { status: StatusCode::OK, body, is_whole, is_replicas } =
            &attempt.outcome
        else {
            return None;
        };
        if !is_replicas {
            return Some("no replica's answer".to_owned());
        }
        if !attempt.kind.is_stream() {
            let expected = format!("confirmed n={}", attempt.id);
            return (*is_whole && *body != expected).then(|| "another answer".to_owned());
        }
        let expected: String = (attempt.after_event + 1..=EVENTS)
            .map(|event| format!("id: {event}\ndata: event {event} n={}\n\n", attempt.id))
            .collect();
        let is_right = if *is_whole { *body == expected } else { expected.starts_with(body) };
        (!is_right).then(|| "other events".to_owned())
    }

    fn too_many_runs(&self, attempt: &Attempt) -> Option<String> {
        let runs = self.arrivals(attempt).iter().filter(|(_, arrival)| arrival.ran).count();
        (runs > attempt.kind.max_runs()).then(|| format!("{runs} runs"))
    }

    /// A refusal of the gateway's own that says "not run", of a request that ran.
    fn false_refusal(&self, attempt: &Attempt) -> Option<String> {
        let Outcome::Answered { status, is_replicas: false, .. } = &attempt.outcome else {
            return None;
        };
        let is_unknown = matches!(*status, StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT);
        let has_run = self.arrivals(attempt).iter().any(|(_, arrival)| arrival.ran);
        (!is_unknown && has_run).then(|| "it ran".to_owned())
    }

    fn late_answer(&self, attempt: &Attempt) -> Option<String> {
        let took = attempt.ended_at - attempt.sent_at;
        let is_disturbed = self.is_disturbed(attempt.sent_at, attempt.ended_at, |place| {
            place == Place::Gateway(attempt.gateway)
        });
        (took > TIME_LIMIT + LATE && !is_disturbed).then(|| format!("{} ms", took.as_millis()))
    }

    /// A request that ran, and whose connection was cut though only its gateway was told to end.
    fn lost_answer(&self, attempt: &Attempt) -> Option<String> {
        let is_cut = match attempt.outcome {
            Outcome::Cut | Outcome::Silent => true,
            Outcome::Answered { is_whole, .. } => !is_whole,
        };
        let has_run = self.arrivals(attempt).iter().any(|(_, arrival)| arrival.ran);
        // A replica that was in trouble a moment before may still hold its answers.
        let from = attempt.sent_at.checked_sub(TIME_LIMIT).unwrap_or(self.world.started);
        let is_disturbed = self.is_disturbed(from, attempt.ended_at, |place| match place {
            Place::Gateway(gateway) => gateway == attempt.gateway,
            Place::Replica(_) => true,
            Place::Leaving(_) | Place::Store => false,
        });
        (is_cut && has_run && !is_disturbed).then(|| "its answer is lost".to_owned())
    }

    /// A revoked key that is served after the bound, or one in force that is refused.
    fn wrong_key(&self, attempt: &Attempt) -> Option<String> {
        let Outcome::Answered { status, is_replicas, .. } = &attempt.outcome else { return None };
        let keys = self.world.keys();
        let key = keys.iter().find(|key| key.name == attempt.key)?;
        if !self.is_in_touch(attempt) {
            return None;
        }
        match key.revoked_at {
            Some(at) if attempt.sent_at > at + BOUND => {
                is_replicas.then(|| "a revoked key is served".to_owned())
            }
            Some(_) => None,
            None => {
                let is_refused = *status == StatusCode::UNAUTHORIZED;
                is_refused.then(|| "a key in force is refused".to_owned())
            }
        }
    }

    /// A request that is not served although all faults are long over.
    fn unserved(&self, attempt: &Attempt) -> Option<String> {
        let revoked = self
            .world
            .keys()
            .into_iter()
            .any(|key| key.name == attempt.key && key.revoked_at.is_some());
        if attempt.sent_at < self.healed + HEALED_AFTER || revoked {
            return None;
        }
        let is_served = matches!(
            attempt.outcome,
            Outcome::Answered { status: StatusCode::OK, is_whole: true, .. }
        );
        // The end of the run cuts what is still open; such attempts are not noted at all.
        (!is_served).then(|| "not served".to_owned())
    }

    /// Requests sent to replicas that had said long before that they leave.
    fn work_for_leaving(&self) -> Vec<String> {
        let drained = self.world.drained.lock().unwrap();
        let mut found = Vec::new();
        for attempt in self.attempts.iter().filter(|attempt| self.is_in_touch(attempt)) {
            for (replica, arrival) in self.arrivals(attempt) {
                let is_left_alone = drained.iter().any(|each| {
                    each.replica == *replica
                        && (each.from + BOUND..each.until).contains(&arrival.at)
                });
                if is_left_alone {
                    found.push(format!(
                        "drain: work for a leaving replica ({})",
                        self.shown(attempt)
                    ));
                }
            }
        }
        found
    }

    /// Windows of usage that were reported twice, unlike.
    fn unlike_reports(&self) -> Vec<String> {
        let mut known: HashMap<String, String> = HashMap::new();
        let mut found = Vec::new();
        for report in self.world.store.usage_reports() {
            let (window, counts) = (report["window_id"].to_string(), report["counts"].to_string());
            let before = known.entry(window.clone()).or_insert_with(|| counts.clone());
            if *before != counts {
                found.push(format!("usage: window {window} has {before} and {counts}"));
            }
        }
        found
    }
}
