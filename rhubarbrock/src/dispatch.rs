//! Dispatch of requests: admission, fair queueing and endpoint choice combined.
//!
//! A request is submitted and either refused at once or queued. [`Dispatcher::poll`]
//! then returns one step for each queued request: it is sent, or it is refused
//! because its deadline can no longer be met. A request whose attempt failed may
//! be retried; it then precedes the queued requests.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rhubarbrock_schema::release;

use crate::{admission, choice, fairness, id, routing};

/// Request to be served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Number that the user of the dispatcher assigned; unique among unfinished requests.
    pub ticket: fairness::Ticket,
    /// Name of the service called.
    pub service: String,
    /// Organisation of the caller.
    pub organisation: String,
    /// Chained hashes of the prompt's complete blocks; empty for plain services.
    pub blocks: Vec<id::BlockHash>,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// [`Prompt::dialogue`](crate::prompt::Prompt::dialogue); 0 for none.
    pub dialogue: u64,
    /// [`Prompt::settled_tokens`](crate::prompt::Prompt::settled_tokens).
    pub settled_tokens: u32,
    /// Limit on the answer's tokens; `None` if the caller set none.
    pub max_tokens: Option<u32>,
    /// Time allowed from arrival to first token; `None` uses the service's.
    pub deadline: Option<Duration>,
    /// Whether the request may be used to probe an endpoint that was ejected.
    pub may_probe: bool,
}

/// Step to take with a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Step {
    /// Send the request.
    Send {
        /// Ticket of the request.
        ticket: fairness::Ticket,
        /// Number of the attempt.
        attempt: id::AttemptId,
        /// Endpoint to send to, and the reason for it.
        choice: routing::Choice,
        /// Time since the request arrived.
        waited: Duration,
    },
    /// Report to the caller that the request was not run.
    Refuse {
        /// Ticket of the request.
        ticket: fairness::Ticket,
        /// Reason, and when to try again.
        refusal: admission::Refusal,
    },
}

/// Function that chooses an endpoint for a request.
pub type Choose<'a> = dyn FnMut(
        &routing::Router,
        Duration,
        &routing::Query<'_>,
    ) -> Result<routing::Choice, routing::NoEndpoint>
    + 'a;

/// Settings of a [`Dispatcher`].
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Settings {
    /// Settings of the endpoint choice.
    pub routing: routing::Settings,
    /// Settings of the queues.
    pub fairness: fairness::Settings,
}

#[derive(Debug, Clone)]
struct Entry {
    job: Job,
    arrived_at: Duration,
    deadline: Option<Duration>,
    expected_wait: Duration,
    exclude: Vec<id::EndpointId>,
    attempt: Option<id::AttemptId>,
}

/// Queues requests and decides when and where each is sent.
#[derive(Debug, Clone)]
pub struct Dispatcher {
    /// Endpoint choice; takes instance lists, notices, load reports and cache events.
    pub router: routing::Router,
    /// Queued requests; takes the usage that other nodes report.
    pub fairness: fairness::FairQueue,
    /// Admission of new requests.
    pub admission: admission::Admission,
    entries: BTreeMap<fairness::Ticket, Entry>,
    /// Queued requests in order of deadline.
    deadlines: BTreeSet<(Duration, fairness::Ticket)>,
    attempts: BTreeMap<id::AttemptId, fairness::Ticket>,
    /// Requests to retry, by service; they precede the queued ones.
    retries: BTreeMap<String, VecDeque<fairness::Ticket>>,
    organisation_max_requests: BTreeMap<String, u32>,
    last_attempt: id::AttemptId,
}

impl Dispatcher {
    /// Creates a dispatcher without services and endpoints.
    pub fn new(node: id::NodeId, data_centre: &str, settings: Settings) -> Dispatcher {
        Dispatcher {
            router: routing::Router::new(node, data_centre, settings.routing),
            fairness: fairness::FairQueue::new(settings.fairness),
            admission: admission::Admission::new(),
            entries: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            attempts: BTreeMap::new(),
            retries: BTreeMap::new(),
            organisation_max_requests: BTreeMap::new(),
            last_attempt: 0,
        }
    }

    /// Applies a release that came into force.
    pub fn on_release(&mut self, release: &release::Release) {
        self.admission.on_release(release);
        self.router.on_release(release);
        let organisations = release.organisations.iter();
        self.organisation_max_requests =
            organisations.map(|o| (o.name.clone(), o.max_requests_per_node)).collect();
    }

    /// Queues a request that arrived, for [`Dispatcher::poll`].
    ///
    /// # Errors
    ///
    /// The refusal, if the request cannot be admitted now.
    ///
    /// # Panics
    ///
    /// If an unfinished request has the same ticket.
    pub fn submit(&mut self, now: Duration, job: Job) -> Result<(), admission::Refusal> {
        let service = job.service.as_str();
        let limits = self.admission.limits(service);
        let allowed = job.deadline.or(limits.and_then(|limits| limits.deadline));
        let deadline = allowed.map(|allowed| now + allowed);
        let capacity = self.router.capacity(now, service);
        let rates = self.router.rates(service);
        let ahead = self.fairness.ahead_of(service, &job.organisation);
        let waiting = self.fairness.waiting_of(service, &job.organisation);
        let running = self.fairness.running_of(service, &job.organisation);
        let max_requests = self.organisation_max_requests.get(&job.organisation);
        let request = admission::AdmissionRequest {
            deadline,
            uncached_tokens: self.uncached_tokens(&job),
            requests_ahead: ahead,
            waiting: self.fairness.waiting(service),
            organisation_waiting: waiting,
            organisation_requests: waiting + running,
            organisation_max_requests: max_requests.copied().unwrap_or(0),
        };
        let nodes = self.router.node_count;
        self.admission.admit(now, service, &request, &capacity, &rates, nodes)?;
        let expected_wait = self.admission.expected_wait(service, ahead, &capacity, &rates, nodes);
        let expected_answer = rates.answer_tokens as u32;
        let waiting = fairness::Waiting {
            ticket: job.ticket,
            prompt_tokens: job.prompt_tokens,
            answer_tokens: job.max_tokens.map_or(expected_answer, |max| max.min(expected_answer)),
        };
        self.fairness.push(service, &job.organisation, waiting);
        let entry = Entry {
            arrived_at: now,
            deadline,
            expected_wait,
            exclude: Vec::new(),
            attempt: None,
            job,
        };
        if let Some(deadline) = deadline {
            self.deadlines.insert((deadline, entry.job.ticket));
        }
        let previous = self.entries.insert(entry.job.ticket, entry);
        assert!(previous.is_none(), "ticket submitted twice");
        Ok(())
    }

    fn uncached_tokens(&self, job: &Job) -> u32 {
        let matches = self.router.prefix_index.matches(&job.blocks);
        let longest_match =
            matches.iter().map(|(id, _)| choice::matched_tokens(&matches, *id)).max();
        job.prompt_tokens.saturating_sub(longest_match.unwrap_or(0))
    }

    /// Returns the steps due at `now`; to be called after each event and at least every 100 ms.
    pub fn poll(&mut self, now: Duration) -> Vec<Step> {
        self.poll_with(now, &mut |router, now, query| router.choose(now, query))
    }

    /// Like [`Dispatcher::poll`], with another choice of endpoints, for comparisons.
    pub fn poll_with(&mut self, now: Duration, choose: &mut Choose<'_>) -> Vec<Step> {
        let mut steps = Vec::new();
        self.fairness.update_rates(now);
        self.refuse_late(now, &mut steps);
        let services: Vec<String> = self.router.services().map(str::to_owned).collect();
        for service in services {
            self.poll_retries(now, &service, choose, &mut steps);
            while let Some(step) = self.next_step(now, &service, choose) {
                steps.push(step);
            }
        }
        steps
    }

    /// Refuses queued requests whose deadline has passed.
    fn refuse_late(&mut self, now: Duration, steps: &mut Vec<Step>) {
        if self.admission.ignores_deadlines() {
            return;
        }
        while let Some((deadline, ticket)) = self.deadlines.first().copied() {
            if now <= deadline {
                return;
            }
            let refusal = admission::Refusal::deadline_unreachable(now.saturating_sub(deadline));
            steps.push(self.refuse(ticket, refusal));
        }
    }

    fn refuse(&mut self, ticket: fairness::Ticket, refusal: admission::Refusal) -> Step {
        let entry = self.entries.remove(&ticket).expect("a refused request has an entry");
        self.remove_deadline(&entry);
        let was_queued = self.fairness.remove(&entry.job.service, &entry.job.organisation, ticket);
        assert!(was_queued, "request {ticket} is refused but not queued");
        Step::Refuse { ticket, refusal }
    }

    fn remove_deadline(&mut self, entry: &Entry) {
        if let Some(deadline) = entry.deadline {
            self.deadlines.remove(&(deadline, entry.job.ticket));
        }
    }

    fn poll_retries(
        &mut self,
        now: Duration,
        service: &str,
        choose: &mut Choose<'_>,
        steps: &mut Vec<Step>,
    ) {
        let waiting = self.retries.get(service).map_or(0, VecDeque::len);
        for _ in 0..waiting {
            let retries =
                self.retries.get_mut(service).expect("the length of this queue was read above");
            let Some(ticket) = retries.pop_front() else {
                return;
            };
            let choice = choose(&self.router, now, &query(&self.entries[&ticket], false));
            match choice {
                Ok(choice) => steps.push(self.send(now, ticket, choice)),
                Err(_) => self.retries.entry(service.to_owned()).or_default().push_back(ticket),
            }
        }
    }

    fn next_step(&mut self, now: Duration, service: &str, choose: &mut Choose<'_>) -> Option<Step> {
        let heads = self.fairness.heads(service);
        let heads: Vec<_> = heads.iter().map(|(name, w)| (name.to_string(), w.ticket)).collect();
        for (organisation, ticket) in heads {
            if let Err(refusal) = self.recheck(now, service, ticket) {
                return Some(self.refuse(ticket, refusal));
            }
            let is_heavy = self.fairness.is_heavy(service, &organisation);
            let query = query(&self.entries[&ticket], is_heavy);
            match choose(&self.router, now, &query) {
                Ok(choice) => return Some(self.send_head(now, &organisation, ticket, choice)),
                // Headroom that a heavy organisation must leave may suffice for the others.
                Err(_) if is_heavy => {}
                Err(_) => return None,
            }
        }
        None
    }

    fn recheck(
        &self,
        now: Duration,
        service: &str,
        ticket: fairness::Ticket,
    ) -> Result<(), admission::Refusal> {
        let entry = &self.entries[&ticket];
        let uncached_tokens = self.uncached_tokens(&entry.job);
        let rates = self.router.rates(service);
        self.admission.recheck(now, entry.deadline, uncached_tokens, &rates)
    }

    fn send_head(
        &mut self,
        now: Duration,
        organisation: &str,
        ticket: fairness::Ticket,
        choice: routing::Choice,
    ) -> Step {
        let entry = self.entries[&ticket].clone();
        let service = entry.job.service.as_str();
        let dequeued = self.fairness.pop_organisation(service, organisation);
        assert!(dequeued.is_some_and(|head| head.ticket == ticket), "dequeued another request");
        self.remove_deadline(&entry);
        let waited = now.saturating_sub(entry.arrived_at);
        self.admission.on_dequeued(service, entry.expected_wait, waited);
        self.send(now, ticket, choice)
    }

    fn send(&mut self, now: Duration, ticket: fairness::Ticket, choice: routing::Choice) -> Step {
        self.last_attempt += 1;
        let attempt = self.last_attempt;
        let entry = self.entries.get_mut(&ticket).expect("a request to send has an entry");
        assert!(entry.attempt.is_none(), "request {ticket} is sent while it has an attempt");
        entry.attempt = Some(attempt);
        let waited = now.saturating_sub(entry.arrived_at);
        self.attempts.insert(attempt, ticket);
        self.router.on_sent(now, attempt, choice.endpoint, &query(&self.entries[&ticket], false));
        Step::Send { ticket, attempt, choice, waited }
    }

    /// Records that the first token of an attempt arrived.
    pub fn on_first_token(&mut self, now: Duration, attempt: id::AttemptId) {
        self.router.on_first_token(now, attempt);
    }

    /// Records that `tokens` tokens of an attempt's answer have arrived.
    pub fn on_progress(&mut self, now: Duration, attempt: id::AttemptId, tokens: u32) {
        self.router.on_progress(now, attempt, tokens);
        if let Some(ticket) = self.attempts.get(&attempt) {
            self.fairness.charge(*ticket, tokens);
        }
    }

    /// Ends an attempt that gave a complete answer, and its request with it. Returns the change of
    /// the endpoint's health, if any.
    pub fn on_done(
        &mut self,
        now: Duration,
        attempt: id::AttemptId,
        answered: &routing::Answered,
    ) -> Option<routing::Change> {
        let change = self.router.on_done(now, attempt, answered);
        if let Some(ticket) = self.attempts.remove(&attempt) {
            self.fairness.charge(ticket, answered.answer_tokens);
            self.fairness.end_request(ticket);
            self.entries.remove(&ticket);
        }
        change
    }

    /// Ends an attempt that failed; its request waits for [`Dispatcher::retry`] or
    /// [`Dispatcher::give_up`]. Returns the change of the endpoint's health, if any.
    pub fn on_failure(
        &mut self,
        now: Duration,
        attempt: id::AttemptId,
        failure: routing::Failure,
    ) -> Option<routing::Change> {
        if let Some(ticket) = self.attempts.remove(&attempt)
            && let Some(entry) = self.entries.get_mut(&ticket)
        {
            entry.attempt = None;
        }
        self.router.on_failure(now, attempt, failure)
    }

    /// Sends a request whose attempt failed again, but not to the excluded endpoints.
    ///
    /// # Panics
    ///
    /// If the request's attempt has not ended.
    pub fn retry(&mut self, ticket: fairness::Ticket, exclude: &[id::EndpointId]) {
        let Some(entry) = self.entries.get_mut(&ticket) else {
            return;
        };
        assert!(entry.attempt.is_none(), "request {ticket} is retried while it has an attempt");
        entry.exclude = exclude.to_vec();
        let service = entry.job.service.clone();
        self.retries.entry(service).or_default().push_back(ticket);
    }

    /// Continues a request that was accepted before, here or at another node. It precedes the
    /// queued requests and is not subject to admission.
    ///
    /// # Panics
    ///
    /// If an unfinished request has the same ticket.
    pub fn resume(&mut self, now: Duration, job: Job) {
        let (ticket, service) = (job.ticket, job.service.clone());
        let entry = Entry {
            arrived_at: now,
            deadline: None,
            expected_wait: Duration::ZERO,
            exclude: Vec::new(),
            attempt: None,
            job,
        };
        let previous = self.entries.insert(ticket, entry);
        assert!(previous.is_none(), "ticket submitted twice");
        self.retries.entry(service).or_default().push_back(ticket);
    }

    /// Sets the endpoints that an unsent request must not be sent to.
    pub fn exclude(&mut self, ticket: fairness::Ticket, endpoints: &[id::EndpointId]) {
        if let Some(entry) = self.entries.get_mut(&ticket) {
            entry.exclude = endpoints.to_vec();
        }
    }

    /// Ends a request without an answer; returns its attempt, if it has one, to be cancelled.
    pub fn give_up(&mut self, now: Duration, ticket: fairness::Ticket) -> Option<id::AttemptId> {
        let entry = self.entries.remove(&ticket)?;
        self.remove_deadline(&entry);
        let (service, organisation) = (&entry.job.service, &entry.job.organisation);
        if let Some(retries) = self.retries.get_mut(service) {
            retries.retain(|waiting| *waiting != ticket);
        }
        if !self.fairness.remove(service, organisation, ticket) {
            self.fairness.end_request(ticket);
        }
        let attempt = entry.attempt?;
        self.attempts.remove(&attempt);
        self.router.on_cancelled(now, attempt);
        Some(attempt)
    }

    /// Number of unfinished requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no unfinished requests.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

fn query(entry: &Entry, leaves_headroom: bool) -> routing::Query<'_> {
    routing::Query {
        service: &entry.job.service,
        blocks: &entry.job.blocks,
        prompt_tokens: entry.job.prompt_tokens,
        dialogue: entry.job.dialogue,
        settled_tokens: entry.job.settled_tokens,
        may_probe: entry.job.may_probe,
        leaves_headroom,
        exclude: &entry.exclude,
    }
}
