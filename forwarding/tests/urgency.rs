//! Urgency of requests, and what it changes for callers while a service is short of endpoints.

mod support;

use std::time::Duration;

use forwarding::release::{Organisation, Priority, Release, Route, RouteKind};
use forwarding::urgency::{MAX_URGENCY, Urgencies, Urgency};
use support::{MODEL_SERVICE, PLAIN_SERVICE, ms, organisation, release, route};

const STREAM: RouteKind = RouteKind::Stream { is_resumable: false };

fn ranked_release(routes: &[Priority], organisations: &[Option<Priority>]) -> Release {
    let routes = routes.iter().map(|&priority| {
        let mut route = route(&format!("/{priority}/"), STREAM, MODEL_SERVICE);
        route.priority = Some(priority);
        route
    });
    let organisations = organisations.iter().enumerate().map(|(index, &priority)| Organisation {
        priority,
        ..organisation(&format!("organisation-{index}"), 1e9)
    });
    let (routes, organisations) = (routes.collect(), organisations.collect());
    Release { routes, organisations, ..release(4) }
}

/// Urgencies by organisation and route, in the order of the release. The prompts of each route have
/// `tokens`.
fn urgencies(release: &Release, tokens: impl Fn(&Route) -> u64) -> Vec<Option<Urgency>> {
    let mut urgencies = Urgencies::default();
    urgencies.on_release(release);
    for route in release.routes.iter().flat_map(|route| [route; 10]) {
        urgencies.on_prompt(MODEL_SERVICE, route, tokens(route));
    }
    let organisations = release.organisations.iter();
    let pairs = organisations
        .flat_map(|organisation| release.routes.iter().map(move |route| (organisation, route)));
    let urgencies = pairs.map(|(organisation, route)| {
        urgencies.of_request(MODEL_SERVICE, route, Some(organisation))
    });
    urgencies.collect()
}

fn longer_by_priority(route: &Route) -> u64 {
    1_000 * (1 + u64::from(route.priority.unwrap_or_default()))
}

#[test]
fn requests_are_ranked_only_where_routes_of_the_service_differ() {
    assert_eq!(
        urgencies(&ranked_release(&[1, 1], &[Some(0), Some(1)]), longer_by_priority),
        [None; 4]
    );
    let mut with_orders = ranked_release(&[1], &[Some(1)]);
    let mut orders = route("/order/", RouteKind::AtMostOnce, PLAIN_SERVICE);
    orders.priority = Some(2);
    with_orders.routes.push(orders);
    assert_eq!(urgencies(&with_orders, longer_by_priority), [None; 2]);
}

/// Ranks by which long prompts overtake short ones delay most callers.
#[test]
fn long_prompts_do_not_overtake_short_ones() {
    let release = ranked_release(&[0, 1, 2], &[Some(0), Some(1)]);
    let shorter_by_priority = |route: &Route| 9_000 / (1 + longer_by_priority(route) / 1_000);
    assert_eq!(urgencies(&release, shorter_by_priority), [None; 6]);
    assert_eq!(urgencies(&release, longer_by_priority), [0, 1, 2, 3, 4, 5].map(Some));
}

#[test]
fn requests_are_not_ranked_before_the_sizes_of_prompts_are_known() {
    let release = ranked_release(&[0, 1], &[Some(1)]);
    let mut urgencies = Urgencies::default();
    urgencies.on_release(&release);
    let [first, second] = [&release.routes[0], &release.routes[1]];
    for _ in 0..10 {
        urgencies.on_prompt(MODEL_SERVICE, first, 500);
    }
    assert_eq!(urgencies.of_request(MODEL_SERVICE, first, None), None);
    for _ in 0..10 {
        urgencies.on_prompt(MODEL_SERVICE, second, 9_000);
    }
    assert_eq!(urgencies.of_request(MODEL_SERVICE, first, None), Some(2));
    urgencies.on_release(&release);
    assert_eq!(urgencies.of_request(MODEL_SERVICE, second, None), Some(3), "under a later release");
}

#[test]
fn routes_are_ranked_within_organisations_of_equal_priority() {
    let equal = ranked_release(&[2, 0, 1], &[Some(1), Some(1)]);
    assert_eq!(urgencies(&equal, longer_by_priority), [2, 0, 1, 2, 0, 1].map(Some));
}

#[test]
fn priority_of_an_organisation_takes_precedence() {
    let release = ranked_release(&[2, 0, 1], &[Some(1), Some(0), None]);
    assert_eq!(urgencies(&release, longer_by_priority), [5, 3, 4, 2, 0, 1, 8, 6, 7].map(Some));
}

#[test]
fn any_number_of_priorities_fits_the_scale_in_order() {
    let routes: Vec<Priority> = (0..30).collect();
    let urgencies = urgencies(&ranked_release(&routes, &[Some(0), Some(7)]), longer_by_priority);
    assert!(urgencies.is_sorted());
    assert_eq!((urgencies[0], urgencies[59]), (Some(0), Some(MAX_URGENCY)));
}

/// Long prompts and short ones that wait at one endpoint.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    arrived_at: Duration,
    urgency: Urgency,
    tokens: u32,
}

const TOKENS_PER_MS: u32 = 36;

/// Times from arrival to the first event at an endpoint that processes one prompt at a time, the
/// most urgent one first.
fn first_events(mut waiting: Vec<Waiting>) -> Vec<(Waiting, Duration)> {
    let mut now = Duration::ZERO;
    let mut first_events = Vec::new();
    while !waiting.is_empty() {
        let arrived = (0..waiting.len()).filter(|&index| waiting[index].arrived_at <= now);
        let next = arrived.min_by_key(|&index| (waiting[index].urgency, waiting[index].arrived_at));
        let Some(next) = next else {
            now += ms(1);
            continue;
        };
        let request = waiting.remove(next);
        now += ms(u64::from(request.tokens / TOKENS_PER_MS));
        first_events.push((request, now - request.arrived_at));
    }
    first_events
}

/// Burst of one kind beside a reclaim: an endpoint that is left gets 2.5 times the long prompts that
/// it can process in time, and short ones with a target of 500 ms among them.
#[test]
fn short_urgent_requests_are_answered_in_time_in_a_burst_of_long_ones_beside_a_reclaim() {
    const SHORT_TARGET: Duration = Duration::from_millis(500);
    let late_shares = [true, false].map(|is_ranked| {
        let release = ranked_release(&[0, if is_ranked { 2 } else { 0 }], &[Some(1)]);
        let urgencies = urgencies(&release, longer_by_priority);
        let requests = (0..100).flat_map(|index| {
            let at = ms(100 * index);
            let short = Waiting { arrived_at: at, urgency: urgencies[0].unwrap_or(5), tokens: 540 };
            let long =
                Waiting { arrived_at: at, urgency: urgencies[1].unwrap_or(5), tokens: 9_000 };
            [short, long]
        });
        let first_events = first_events(requests.collect());
        let short = first_events.iter().filter(|(request, _)| request.tokens == 540);
        let late = short.filter(|(_, latency)| *latency > SHORT_TARGET);
        late.count() as f64 / 100.0
    });
    assert_eq!(late_shares[0], 0.0);
    assert!(
        late_shares[1] > 0.9,
        "unranked requests wait in the order of arrival: {late_shares:?}"
    );
}
