//! Runs of orders at the order service.

use std::time::Duration;

use rand::Rng;
use rhubarbrock::{action, event, id};

use crate::Violation;
use crate::fake_callers::RequestSpec;
use crate::node_simulation::{ScheduledEvent, Simulation};

impl Simulation {
    pub(crate) fn start_plain_attempt(
        &mut self,
        slot: usize,
        process: u64,
        attempt: &action::PlainAttempt,
    ) {
        let key = attempt.idempotency_key.clone().unwrap_or_default();
        let wait = Duration::from_millis(self.rng.random_range(1..400));
        let is_answer_lost = self.rng.random_range(0..100) < 2 * self.options.loss_percent;
        let attempt = attempt.attempt;
        self.schedule_after(
            wait,
            ScheduledEvent::RunOrder { slot, process, attempt, key, is_answer_lost },
        );
    }

    /// Runs an order, also if the node that sent it has ended.
    pub(crate) fn run_order(
        &mut self,
        slot: usize,
        process: u64,
        attempt: id::AttemptId,
        key: &str,
        is_answer_lost: bool,
    ) -> Result<(), Violation> {
        let order_runs = self.order_runs.entry(key.to_owned()).or_default();
        *order_runs += 1;
        let order_runs = *order_runs;
        if order_runs > 1 {
            return Err(self
                .violation(format!("order {key} ran {order_runs} times, expected at most once")));
        }
        for caller in self.callers.by_id.values() {
            let is_this = caller.spec == RequestSpec::Order { key: key.to_owned() };
            let refusal = caller.refusal.as_ref().filter(|_| is_this);
            if refusal.is_some_and(|refusal| refusal.outcome == action::Outcome::NotRun) {
                return Err(
                    self.violation(format!("order {key} ran after it was refused as not run"))
                );
            }
        }
        let outcome = if is_answer_lost {
            event::PlainOutcome::Unknown { message: "connection reset".to_owned() }
        } else {
            let body = format!("confirmed {key}").into_bytes();
            event::PlainOutcome::Answered(event::PlainAnswer {
                status: 200,
                content_type: "text/plain".to_owned(),
                body,
            })
        };
        let endpoint_event = event::EndpointEvent::PlainEnded { attempt, outcome };
        self.deliver(slot, process, event::Event::Endpoint(endpoint_event))
    }
}
