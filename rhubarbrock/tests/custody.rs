//! Accepted requests survive reclaims, deaths and pauses of nodes, with one answer each.

mod calls;

use std::time::Duration;

use calls::{Faults, Fleet, data_centre, full_text};
use rand::Rng;
use rhubarbrock::custody::{Action, Config, Custody};
use rhubarbrock::{answer, id, placement};
use rhubarbrock_schema::peer;

/// Upper bound on the time from a death until its requests are adopted: detection within 8 s
/// (`Faults::death_known_ms`), two store call timeouts of 500 ms, and 1 s.
const ADOPTION_BOUND: Duration = Duration::from_millis(8_000 + 2 * 500 + 1_000);

/// Upper bound on the time to generate the longest answer without a pause.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(12);

/// Faults that lose, delay and duplicate calls.
fn faults() -> Faults {
    Faults { delay_ms: 1..300, lost_percent: 5, duplicated_percent: 5, ..Faults::none() }
}

fn accept_some(fleet: &mut Fleet, count: usize) {
    for _ in 0..count {
        let node = fleet.rng.random_range(0..fleet.nodes.len());
        if fleet.is_running(node) && !fleet.nodes[node].leaving {
            fleet.accept(node);
        }
        fleet.run(Duration::from_millis(100));
    }
}

fn nodes_in(fleet: &Fleet, centre: &str) -> Vec<usize> {
    (0..fleet.nodes.len()).filter(|&node| data_centre(node) == centre).collect()
}

/// Checks that every request that had two copies is running or answered.
fn assert_all_served(fleet: &Fleet, seed: u64) {
    for (&request, &copies) in &fleet.accepted {
        assert!(copies < 2 || fleet.is_served(request), "seed {seed}: {request} is lost");
    }
}

/// Waits until all answers are finished, then checks that no request still runs and that each with
/// two copies has its whole answer.
fn assert_all_answered(fleet: &mut Fleet, seed: u64) {
    fleet.faults = Faults::none();
    fleet.run(MAX_ANSWER_TIME + ADOPTION_BOUND);
    let accepted = fleet.accepted.clone();
    for (request, copies) in accepted {
        assert_eq!(fleet.runners(request), 0, "seed {seed}: {request} still runs");
        let answer_text = full_text(request);
        let answered = fleet
            .find_everywhere(request, 0)
            .iter()
            .any(|reply| reply.finish.is_some() && reply.text == answer_text);
        assert!(copies < 2 || answered, "seed {seed}: {request} has no whole answer");
    }
}

#[test]
fn requests_without_faults_have_two_copies_and_one_runner() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(6, seed, &Config::default());
        accept_some(&mut fleet, 40);
        fleet.run(Duration::from_secs(1));
        assert!(fleet.accepted.len() >= 40, "seed {seed}: {}", fleet.accepted.len());
        assert!(fleet.accepted.values().all(|&copies| copies == 2), "seed {seed}");
        assert!(fleet.accepted.keys().all(|&request| fleet.runners(request) <= 1), "seed {seed}");
        assert_all_answered(&mut fleet, seed);
        let adoptions: u64 = fleet.nodes.iter().map(|node| node.custody.counters().adoptions).sum();
        assert_eq!(adoptions, 0, "seed {seed}");
    }
}

#[test]
fn batches_progress_calls() {
    let mut fleet = Fleet::new(6, 1, &Config::default());
    for _ in 0..100 {
        fleet.accept(0);
    }
    fleet.run(Duration::from_millis(500));
    let before = fleet.progress_calls;
    fleet.run(Duration::from_secs(2));
    let calls = fleet.progress_calls - before;
    assert!(calls <= 4 * 8, "{calls} calls in 2 s to 4 custodians");
}

#[test]
fn reclaimed_data_centre_loses_no_request() {
    for seed in 0..100 {
        let mut fleet = Fleet::new(3 + (seed % 6) as usize, seed, &Config::default());
        fleet.faults = faults();
        accept_some(&mut fleet, 20);
        reclaim(&mut fleet, "dc0", true);
        fleet.run(ADOPTION_BOUND);
        assert_all_served(&fleet, seed);
        assert_all_answered(&mut fleet, seed);
    }
}

#[test]
fn reclaim_of_adopters_loses_no_request() {
    for seed in 0..100 {
        let mut fleet = Fleet::new(6 + (seed % 3) as usize, seed, &Config::default());
        fleet.faults = faults();
        accept_some(&mut fleet, 20);
        reclaim(&mut fleet, "dc0", true);
        let gap = Duration::from_millis(fleet.rng.random_range(0..6_000));
        fleet.run(gap);
        reclaim(&mut fleet, "dc1", false);
        fleet.run(ADOPTION_BOUND);
        assert_all_served(&fleet, seed);
        assert_all_answered(&mut fleet, seed);
    }
}

/// Reclaims a data centre with 4 s notice; with `early`, some of its nodes may die before that.
fn reclaim(fleet: &mut Fleet, centre: &str, early: bool) {
    let nodes = nodes_in(fleet, centre);
    for &node in &nodes {
        fleet.give_notice(node);
    }
    for _ in 0..4 {
        fleet.run(Duration::from_secs(1));
        let dies_early = early && fleet.rng.random_bool(0.3);
        let victim = nodes[fleet.rng.random_range(0..nodes.len())];
        if dies_early && fleet.nodes[victim].alive {
            fleet.kill(victim);
        }
    }
    for node in nodes {
        if fleet.nodes[node].alive {
            fleet.kill(node);
        }
    }
}

#[test]
fn adopts_requests_of_node_that_died_without_notice() {
    for seed in 0..60 {
        let mut fleet = Fleet::new(5, seed, &Config::default());
        fleet.faults = faults();
        let request = fleet.accept(0);
        fleet.run(Duration::from_secs(2));
        assert_eq!(fleet.accepted.get(&request), Some(&2), "seed {seed}");
        fleet.kill(0);
        fleet.run(ADOPTION_BOUND);
        assert!(fleet.is_served(request), "seed {seed}");
        let chunks_before = fleet.generated_chunks;
        assert_all_answered(&mut fleet, seed);
        assert!(fleet.generated_chunks >= chunks_before);
    }
}

#[test]
fn requests_survive_successive_deaths_of_adopters() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(8, seed, &Config::default());
        let requests: Vec<id::RequestId> = (0..10).map(|_| fleet.accept(0)).collect();
        fleet.run(Duration::from_millis(500));
        for victim in [0, 1, 2, 3] {
            fleet.kill(victim);
            fleet.run(ADOPTION_BOUND);
            let lost = requests.iter().find(|request| !fleet.is_served(**request));
            assert_eq!(lost, None, "seed {seed}, after node {victim}");
        }
        assert_all_answered(&mut fleet, seed);
    }
}

#[test]
fn holder_stops_after_pause_if_request_was_adopted() {
    for seed in 0..60 {
        let mut fleet = Fleet::new(5, seed, &Config::default());
        let requests: Vec<id::RequestId> = (0..20).map(|_| fleet.accept(0)).collect();
        fleet.run(Duration::from_millis(700));
        fleet.pause(0, Duration::from_millis(3_000));
        fleet.run(Duration::from_millis(5_500));
        let run_twice = requests.iter().filter(|request| fleet.runners(**request) > 1).count();
        assert_eq!(run_twice, 0, "seed {seed}: run by two nodes after the pause");
        assert_all_answered(&mut fleet, seed);
    }
}

#[test]
fn random_faults_give_no_request_two_texts() {
    let mut events = 0;
    for seed in 0..100 {
        let mut fleet = Fleet::new(4 + (seed % 5) as usize, seed, &Config::default());
        fleet.faults = faults();
        fleet.faults.lost_percent = 20;
        for _ in 0..60 {
            events += 1;
            let node = fleet.rng.random_range(0..fleet.nodes.len());
            match fleet.rng.random_range(0..12) {
                0 if node > 1 => fleet.kill(node),
                1 => fleet.give_notice(node),
                2 | 3 => {
                    let time = Duration::from_millis(fleet.rng.random_range(100..9_000));
                    fleet.pause(node, time);
                }
                _ if fleet.is_running(node) && !fleet.nodes[node].leaving => {
                    fleet.accept(node);
                }
                _ => {}
            }
            fleet.run(Duration::from_millis(250));
            let requests: Vec<id::RequestId> = fleet.accepted.keys().copied().collect();
            for request in requests {
                fleet.find_everywhere(request, 0);
            }
        }
    }
    println!("{events} events over 100 seeds");
}

#[test]
fn bounds_backup_bytes_and_still_accepts_all_requests() {
    let config = Config::default().max_backup_bytes(20_000).max_finished_bytes(20_000);
    for seed in 0..20 {
        let mut fleet = Fleet::new(6, seed, &config);
        for _ in 0..300 {
            let node = fleet.rng.random_range(0..6);
            fleet.accept(node);
            fleet.run(Duration::from_millis(50));
            for node in &fleet.nodes {
                assert!(node.custody.backup_bytes() <= 20_000, "seed {seed}");
            }
        }
        fleet.run(Duration::from_secs(2));
        assert_eq!(fleet.accepted.len(), 300, "seed {seed}: not all requests accepted after 2 s");
        assert_all_unfinished_run(&fleet, seed);
        fleet.run(Duration::from_secs(700));
        for node in &fleet.nodes {
            assert_eq!(node.custody.backups_len(), 0, "seed {seed}");
            assert_eq!(node.custody.finished_bytes(), 0, "seed {seed}");
        }
    }
}

fn assert_all_unfinished_run(fleet: &Fleet, seed: u64) {
    for node in &fleet.nodes {
        for request in node.custody.unfinished_requests() {
            assert_eq!(fleet.runners(request), 1, "seed {seed}");
        }
    }
}

#[test]
fn find_reveals_nothing_to_another_organisation() {
    let mut fleet = Fleet::new(4, 1, &Config::default());
    let request = fleet.accept(0);
    fleet.run(Duration::from_secs(1));
    for node in &fleet.nodes {
        let reply = node.custody.find(fleet.now, request, "other", 0);
        assert!(matches!(reply.state(), peer::FindState::Forbidden | peer::FindState::Unknown));
        assert_eq!((reply.text.as_str(), reply.record), ("", None));
    }
}

#[test]
fn finds_request_at_one_of_first_two_nodes_asked() {
    let mut fleet = Fleet::new(8, 1, &Config::default());
    let request = fleet.accept(0);
    fleet.run(Duration::from_secs(1));
    fleet.kill(0);
    fleet.run(ADOPTION_BOUND);
    for node in 1..8 {
        let order = fleet.nodes[node].custody.lookup_order(request);
        assert!(!order.contains(&1) && !order.contains(&(node as u64 + 1)));
        let own = fleet.nodes[node].custody.find(fleet.now, request, "gourd", 0);
        let is_here = own.state() == peer::FindState::Held;
        let is_near = order.iter().take(2).any(|&other| {
            let other = &fleet.nodes[other as usize - 1];
            let reply = other.custody.find(fleet.now, request, "gourd", 0);
            reply.state() == peer::FindState::Held
        });
        assert!(is_here || is_near, "node {node}");
    }
}

#[test]
fn custodian_drops_backup_of_delivered_answer() {
    let mut fleet = Fleet::new(3, 1, &Config::default());
    let request = fleet.accept(0);
    fleet.run(MAX_ANSWER_TIME);
    fleet.nodes[0].custody.mark_delivered(request);
    fleet.run(Duration::from_secs(1));
    let backups: usize = fleet.nodes.iter().map(|node| node.custody.backups_len()).sum();
    assert_eq!(backups, 0);
    assert!(fleet.is_served(request));
}

#[test]
fn data_centre_lost_without_notice_loses_no_backed_up_request() {
    for seed in 0..30 {
        let mut fleet = Fleet::new(6, seed, &Config::default());
        accept_some(&mut fleet, 20);
        fleet.run(Duration::from_secs(1));
        for node in nodes_in(&fleet, "dc0") {
            fleet.kill(node);
        }
        fleet.run(ADOPTION_BOUND);
        assert_all_served(&fleet, seed);
    }
}

fn place(node: u64) -> placement::Place {
    placement::Place {
        node,
        data_centre: format!("dc{node}"),
        region: String::new(),
        running: true,
        leaving: false,
    }
}

fn custody_of(me: u64, config: Config) -> Custody {
    let mut custody = Custody::new(config, place(me));
    custody.set_places(Duration::ZERO, [place(1), place(2), place(3)].map(|p| (p.node, p)).into());
    custody
}

fn record(request: id::RequestId, holder: u64, term: u32, text: &str) -> peer::RequestRecord {
    peer::RequestRecord {
        request: request.to_string(),
        organisation: "gourd".into(),
        holder,
        term,
        text: text.into(),
        ..Default::default()
    }
}

fn store_call(sender: u64, record: peer::RequestRecord, adopt: bool) -> peer::StoreCall {
    peer::StoreCall { sender, records: vec![record], adopt }
}

fn first_store(actions: &[Action]) -> (u64, u64) {
    let store = actions.iter().find_map(|action| match action {
        Action::Store { to, number, .. } => Some((*to, *number)),
        _ => None,
    });
    store.expect("a store call")
}

#[test]
fn superseded_or_handed_over_holder_supersedes_no_other() {
    let request = id::RequestId { holder: 2, secret: 7 };
    let mut custody = custody_of(2, Config::default());
    let now = Duration::from_secs(1);
    let actions = custody.hold(now, record(request, 2, 1, ""));
    let (_, number) = first_store(&actions);
    let superseded = vec![request.to_string()];
    let reply = peer::StoreReply { kept: vec![], superseded };
    custody.on_store_reply(now, number, Some(&reply));
    let (reply, _) = custody.serve_store(now, store_call(3, record(request, 3, 1, ""), false));
    assert_eq!((reply.kept.len(), reply.superseded.len()), (1, 0));
    let mut handed_over = custody_of(1, Config::default());
    handed_over.hold(now, record(request, 1, 1, ""));
    let (_, number) = first_store(&handed_over.hand_over(now));
    let reply = peer::StoreReply { kept: vec![request.to_string()], superseded: vec![] };
    handed_over.on_store_reply(now, number, Some(&reply));
    let (reply, _) = handed_over.serve_store(now, store_call(2, record(request, 2, 1, ""), false));
    assert_eq!((reply.kept.len(), reply.superseded.len()), (1, 0));
}

#[test]
fn leaving_node_refuses_records() {
    let request = id::RequestId { holder: 1, secret: 7 };
    let mut custody = custody_of(2, Config::default());
    let now = Duration::from_secs(1);
    custody.hand_over(now);
    for adopt in [false, true] {
        let (reply, actions) =
            custody.serve_store(now, store_call(1, record(request, 1, 1, ""), adopt));
        assert_eq!((reply, actions), (peer::StoreReply::default(), Vec::new()));
    }
}

#[test]
fn releases_backup_stored_after_request_was_dropped() {
    let request = id::RequestId { holder: 1, secret: 7 };
    let mut custody = custody_of(1, Config::default().max_finished_bytes(0));
    let now = Duration::from_secs(1);
    let (to, number) = first_store(&custody.hold(now, record(request, 1, 1, "")));
    custody.finish(now, request, peer::Finish::default());
    assert!(custody.tick(now).contains(&Action::Forget { request }));
    let reply = peer::StoreReply { kept: vec![request.to_string()], superseded: vec![] };
    custody.on_store_reply(now, number, Some(&reply));
    let released = custody.tick(now).into_iter().find_map(|action| match action {
        Action::Progress { to, call, .. } => Some((to, call.taken)),
        _ => None,
    });
    assert_eq!(released, Some((to, vec![request.to_string()])));
}

#[test]
fn lower_term_or_diverging_text_changes_nothing() {
    let mut custody = Custody::new(Config::default(), place(2));
    let request = id::RequestId { holder: 1, secret: 7 };
    let now = Duration::from_secs(1);
    let (reply, _) = custody.serve_store(now, store_call(3, record(request, 3, 2, "abc"), false));
    assert_eq!(reply.kept.len(), 1);
    let (reply, _) = custody.serve_store(now, store_call(1, record(request, 1, 1, "xyz"), false));
    assert_eq!((reply.kept.len(), reply.superseded.len()), (0, 1));
    let item = |term, offset, text: &str| peer::Progress {
        request: request.to_string(),
        term,
        offset,
        text: text.into(),
        ..Default::default()
    };
    let call = |sender, item| peer::ProgressCall { sender, items: vec![item], taken: vec![] };
    assert_eq!(custody.serve_progress(now, call(1, item(1, 3, "d"))).superseded.len(), 1);
    assert_eq!(custody.serve_progress(now, call(3, item(2, 1, "X"))).missing.len(), 1);
    assert_eq!(custody.serve_progress(now, call(3, item(2, 9, "d"))).missing.len(), 1);
    assert_eq!(
        custody.serve_progress(now, call(3, item(2, 2, "cd"))),
        peer::ProgressReply::default()
    );
    let actions = custody.set_places(now, [place(1), place(2)].map(|p| (p.node, p)).into());
    assert!(
        actions.is_empty(),
        "an unknown holder is not adopted from before the grace period ends"
    );
    let mut dead = place(3);
    dead.running = false;
    let actions = custody.set_places(now, [dead, place(2)].map(|p| (p.node, p)).into());
    let adopted = actions.iter().find_map(|action| match action {
        Action::Adopt { record } => Some((record.term, record.text.as_str())),
        _ => None,
    });
    assert_eq!(adopted, Some((3, "abcd")));
}

#[test]
fn answer_grows_only_by_continuing_text() {
    bolero::check!().with_type::<Vec<(u8, Vec<u8>)>>().with_iterations(2_000).for_each(|pieces| {
        let mut answer = answer::Answer::default();
        for (offset, letters) in pieces {
            let text: String =
                letters.iter().map(|letter| ["a", "é", "—"][*letter as usize % 3]).collect();
            let before = answer.clone();
            match answer.append((*offset).into(), &text, &[], 0) {
                Ok(added) => {
                    assert!(answer.text().starts_with(before.text()));
                    assert_eq!(answer.text().len(), before.text().len() + added);
                    let start = *offset as usize;
                    assert_eq!(
                        &answer.text().as_bytes()[start..start + text.len()],
                        text.as_bytes()
                    );
                }
                Err(_) => assert_eq!(answer, before),
            }
            let sum: usize = answer.chunk_bytes().iter().map(|&bytes| bytes as usize).sum();
            assert_eq!(sum, answer.text().len());
        }
    });
}
