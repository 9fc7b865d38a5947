//! Decisions of the holder of the duties on one service's roll-out.

use std::collections::BTreeSet;
use std::time::Duration;

use super::evidence::{Evidence, RouteEvidence};
use super::{Order, Phase, Record, RolloutBounds, Version};

/// Minimum time from the switch to the time limit: reports have to reach all gateways, theirs have
/// to come back, and two records are written.
const MIN_SWITCH_TIME: Duration = Duration::from_millis(2_500);

/// Time before the time limit at which a switch is completed though requests still run at old
/// endpoints, or some gateway has not confirmed it.
const COMPLETION_RESERVE: Duration = Duration::from_millis(900);

/// Time for which all requests go to the new version before the old one is given up.
const MIN_FULL_LOAD_TIME: Duration = Duration::from_millis(600);

/// Time after which a missing order counts as withdrawn. Orders that a restored store has lost are
/// written again sooner.
const WITHDRAWAL_DELAY: Duration = Duration::from_secs(3);

/// Answers of the new version that suffice for a switch.
const MIN_ANSWERS: u64 = 20;

/// Answers of the new version that suffice on one route.
const MIN_ROUTE_ANSWERS: u64 = 5;

/// Part of the answers expected from the new version in a trial that suffices for a switch.
const MIN_EXPECTED_PART: f64 = 0.25;

/// Part of the old version's capacity that the new one needs for a switch.
const MIN_CAPACITY_PART: f64 = 0.5;

/// What a decision is based on.
#[derive(Debug, Clone)]
pub struct View<'v> {
    /// Time of day, since the Unix epoch.
    pub unix_time: Duration,
    /// Limits.
    pub bounds: RolloutBounds,
    /// Order in force.
    pub order: Option<&'v Order>,
    /// Time since the order was seen to be withdrawn.
    pub withdrawn_for: Option<Duration>,
    /// Record in the store.
    pub record: Option<&'v Record>,
    /// Evidence of all gateways since the order was taken up.
    pub evidence: &'v Evidence,
    /// Evidence of the last seconds.
    pub recent: &'v Evidence,
    /// Capacity of the endpoints of the order's version, in concurrent requests.
    pub new_capacity: u32,
    /// Capacity of the other endpoints in use.
    pub old_capacity: u32,
    /// Versions of these.
    pub old_versions: BTreeSet<Version>,
    /// Unfinished requests at these.
    pub old_requests: u32,
    /// Live gateways that have not reported the record yet.
    pub gateways_behind: u32,
    /// How long the phase of the record has lasted; `None` if this gateway did not begin it.
    pub phase_age: Option<Duration>,
}

/// Next record of the service, or `None` if the present one stays. It takes effect when the store has
/// accepted it.
pub fn next(view: &View<'_>) -> Option<Record> {
    let Some(order) = view.order else { return withdrawn(view) };
    match view.record.filter(|record| record.order == *order) {
        None => Some(take_up(view, order)),
        Some(record) if record.phase.is_final() => None,
        Some(record) => advance(view, record),
    }
}

fn withdrawn(view: &View<'_>) -> Option<Record> {
    let record = view.record.filter(|record| !record.phase.is_final())?;
    let is_due = view.withdrawn_for.is_some_and(|age| age >= WITHDRAWAL_DELAY);
    is_due.then(|| roll_back(record, "order withdrawn".to_owned()))
}

fn take_up(view: &View<'_>, order: &Order) -> Record {
    let mut barred = view.record.map(|record| record.barred.clone()).unwrap_or_default();
    if let Some(left) = view.record.filter(|record| record.phase != Phase::Completed) {
        barred.insert(left.order.to.clone());
    }
    barred.remove(&order.to);
    Record {
        order: order.clone(),
        revision: view.record.map_or(0, |record| record.revision) + 1,
        phase: Phase::Trial,
        ordered_at: view.unix_time,
        barred,
        reason: String::new(),
    }
}

fn roll_back(record: &Record, reason: String) -> Record {
    let mut next = Record { phase: Phase::RolledBack, reason, ..record.clone() };
    next.revision += 1;
    next.barred.insert(record.order.to.clone());
    next
}

fn advance(view: &View<'_>, record: &Record) -> Option<Record> {
    if let Some(fault) = fault(view.evidence).or_else(|| fault(view.recent)) {
        return Some(roll_back(record, fault));
    }
    let elapsed = view.unix_time.saturating_sub(record.ordered_at);
    let duration = record.order.duration;
    match record.phase {
        Phase::Trial => {
            // Between the switch and the time limit, all requests count as exposed.
            let spare_share = view.bounds.exposure_share - view.bounds.trial_share();
            let switch_time = duration.mul_f64(spare_share.clamp(0.0, 0.5)).max(MIN_SWITCH_TIME);
            let switch_at = duration.saturating_sub(switch_time).max(duration / 2);
            let obstacle = obstacle(view);
            let is_due = elapsed >= switch_at && elapsed < duration;
            if obstacle.is_none() && (is_due || view.old_capacity == 0) {
                let revision = record.revision + 1;
                return Some(Record { phase: Phase::Switch, revision, ..record.clone() });
            }
            (elapsed >= duration)
                .then(|| roll_back(record, obstacle.unwrap_or("no decision in time").to_owned()))
        }
        Phase::Switch => {
            let is_tried = view.phase_age.is_none_or(|age| age >= MIN_FULL_LOAD_TIME);
            let is_done = is_tried && view.gateways_behind == 0 && view.old_requests == 0;
            let is_due = elapsed + COMPLETION_RESERVE >= duration;
            if view.new_capacity == 0 {
                let is_over = elapsed >= duration;
                return is_over.then(|| roll_back(record, "no endpoint left".to_owned()));
            }
            (is_done || is_due).then(|| {
                let mut next = Record { phase: Phase::Completed, ..record.clone() };
                next.revision += 1;
                next.barred.extend(view.old_versions.iter().cloned());
                next.reason = "no fault found".to_owned();
                next
            })
        }
        Phase::Completed | Phase::RolledBack => None,
    }
}

/// Describes in what the new version is worse, on some route or on all together.
fn fault(evidence: &Evidence) -> Option<String> {
    let total = total(evidence);
    let all = ("all routes", &total);
    let routes = evidence.iter().map(|(route, evidence)| (route.as_str(), evidence));
    routes.chain([all]).find_map(|(route, evidence)| {
        let fault = evidence.fault()?;
        let RouteEvidence { old, new } = evidence;
        Some(format!(
            "{fault} on {route}: new {} failed of {}, {} slow of {}; old {} of {}, {} of {}",
            new.failures,
            new.answers,
            new.slow,
            new.timed,
            old.failures,
            old.answers,
            old.slow,
            old.timed
        ))
    })
}

fn total(evidence: &Evidence) -> RouteEvidence {
    evidence.values().fold(RouteEvidence::default(), |sum, each| sum.plus(each))
}

/// What a switch waits for.
fn obstacle(view: &View<'_>) -> Option<&'static str> {
    let old_capacity = f64::from(view.old_capacity) * MIN_CAPACITY_PART;
    if view.new_capacity == 0 || f64::from(view.new_capacity) < old_capacity {
        return Some("too few endpoints of the new version");
    }
    let expected = |evidence: &RouteEvidence| {
        (evidence.old.answers as f64 * view.bounds.trial_share() * MIN_EXPECTED_PART) as u64
    };
    let total = total(view.evidence);
    let lacks_route = view
        .evidence
        .values()
        .any(|evidence| evidence.new.answers < expected(evidence).min(MIN_ROUTE_ANSWERS));
    let lacks_answers = total.new.answers < expected(&total).min(MIN_ANSWERS);
    (lacks_answers || lacks_route).then_some("too few answers of the new version")
}
