//! Numbers of any size in entries, reports, releases and requests.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use bolero::check;
use forwarding::arrivals::ArrivalRates;
use forwarding::dispatcher::Dispatcher;
use forwarding::endpoints::Entry;
use forwarding::release::ScalingPolicy;
use forwarding::scaling::{PlanInput, Planner};
use rhubarbrock_schema::gossip;
use support::{MODEL_SERVICE, entry, ms, prompt, release, request, settings};

/// Numbers of one simulated entry, with those of reports and requests.
type Numbers = (u64, u32, u64, u64, u64, u32);

const LARGEST: Numbers = (u64::MAX, u32::MAX, u64::MAX, u64::MAX, u64::MAX, u32::MAX);

fn odd_entry(id: &str, numbers: Numbers) -> Entry {
    let (warm_up_s, capacity, process_start_ms, sequence, _, _) = numbers;
    let warm_up = Duration::from_secs(warm_up_s);
    Entry { capacity, warm_up, ..entry(id, MODEL_SERVICE, process_start_ms, sequence) }
}

fn report(name: &str, numbers: Numbers) -> gossip::Report {
    let (_, _, wall_ms, sequence, waiting_tokens, requests) = numbers;
    let load = gossip::EndpointLoad { endpoint: "a".to_owned(), requests, waiting_tokens };
    let demand = gossip::Demand {
        organisation: "acme".to_owned(),
        units_per_s: waiting_tokens,
        spent_units: waiting_tokens,
    };
    gossip::Report {
        name: name.to_owned(),
        sequence,
        wall_ms,
        loads: vec![load.clone(), load],
        demands: vec![demand.clone(), demand],
        interval_ms: requests,
        store_age_ms: requests,
        ..gossip::Report::default()
    }
}

fn serve(numbers: Numbers) {
    let mut dispatcher = Dispatcher::new(settings("g"));
    let mut release = release(1);
    for route in &mut release.routes {
        route.timeout = Duration::from_secs(numbers.0);
        route.latency_target = Duration::from_secs(numbers.0);
    }
    dispatcher.on_release(release);
    let entries = vec![odd_entry("a", numbers), odd_entry("b", numbers)];
    dispatcher.endpoints.on_snapshot(ms(1), entries);
    for (index, name) in ["g1", "g2", "g3"].into_iter().enumerate() {
        let from = format!("127.0.0.1:{}", index + 1).parse().unwrap();
        for sequence in [1, 2] {
            let report = gossip::Report { sequence, ..report(name, numbers) };
            dispatcher.peers.on_report(ms(2), ms(1_700_000_000_000), from, report);
        }
        dispatcher.usage.on_report(&(name.to_owned(), 1), 5, "acme", numbers.4);
    }
    dispatcher.on_peer_reports(ms(3));
    dispatcher.usage.total(5);
    for (id, input_tokens) in [("r1", numbers.4), ("r2", numbers.4), ("r3", 1)] {
        let mut request = request(id, "/write/1");
        let mut prompt = prompt(7, numbers.5);
        (prompt.input_tokens, prompt.max_output_tokens) = (input_tokens, numbers.4);
        (request.prompt, request.time_left) = (Some(prompt), None);
        let Ok(mut admitted) = dispatcher.admit(ms(4), &request, b"") else { continue };
        if let Ok(target) = dispatcher.next_target(ms(5), &mut admitted) {
            dispatcher.on_first_event(ms(6), ms(1_700_000_000_000), &mut admitted, &target);
            dispatcher.on_answered(ms(7), &admitted, &target);
        }
    }
    dispatcher.endpoints.tick(ms(8));
    dispatcher.update_store_role(ms(8));
    plan(&dispatcher, numbers);
}

fn plan(dispatcher: &Dispatcher, numbers: Numbers) {
    let scaling = ScalingPolicy {
        min_replicas: 0,
        max_replicas: numbers.5,
        boot_time: Duration::from_secs(numbers.0),
        reclaimable_price: Some(0.2),
        prices: BTreeMap::from([("east".to_owned(), 1.0), ("north".to_owned(), 1.2)]),
    };
    let mut planner = Planner::default();
    for now in [9, 30_000] {
        let arrivals =
            ArrivalRates { tokens_per_s: numbers.4 as f64, ..dispatcher.arrivals(ms(9), "") };
        let input = PlanInput {
            service: MODEL_SERVICE,
            scaling: &scaling,
            endpoints: dispatcher.endpoints.iter().collect(),
            arrivals,
            report_interval: ms(150),
        };
        for order in planner.plan(ms(now), &input) {
            let outcome = forwarding::scaling::OrderOutcome::Accepted;
            planner.on_order_outcome(ms(now), &order, outcome);
        }
    }
}

/// Guards against a gateway that stops following the entries, or fails every request, because of one
/// entry with a number too large.
#[test]
fn largest_numbers_do_not_panic() {
    serve(LARGEST);
    for index in 0..6 {
        let mut numbers = (5, 5, 5, 5, 5, 5);
        match index {
            0 => numbers.0 = u64::MAX,
            1 => numbers.1 = u32::MAX,
            2 => numbers.2 = u64::MAX,
            3 => numbers.3 = u64::MAX,
            4 => numbers.4 = u64::MAX,
            _ => numbers.5 = u32::MAX,
        }
        serve(numbers);
    }
    // A difference of clocks that does not fit.
    serve((1, 1, 1 << 63, 1, 1, 0));
}

#[test]
fn numbers_of_any_size_do_not_panic() {
    check!().with_type::<Numbers>().for_each(|&numbers| serve(numbers));
}
