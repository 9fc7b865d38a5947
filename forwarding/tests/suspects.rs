//! Detection of requests that crash endpoints.

mod support;

use std::collections::HashMap;

use forwarding::suspects::{RequestHistory, Suspects};
use support::ms;

const REQUEST: u64 = 7;

#[test]
fn refuses_request_that_broke_three_endpoints() {
    let mut suspects = Suspects::default();
    suspects.on_connection_break(ms(0), REQUEST, 1);
    suspects.on_connection_break(ms(10), REQUEST, 2);
    assert!(!suspects.must_refuse(ms(20), REQUEST));
    suspects.on_connection_break(ms(20), REQUEST, 3);
    assert!(suspects.must_refuse(ms(20), REQUEST));
    assert!(!suspects.must_refuse(ms(70_000), REQUEST), "expired breaks must not count");
}

#[test]
fn ignores_repeated_breaks_at_one_endpoint() {
    let mut suspects = Suspects::default();
    for turn in 0..20 {
        suspects.on_connection_break(ms(turn), REQUEST, 1);
    }
    let history = RequestHistory { breaks: vec![(1, ms(5))], finished_at: None };
    suspects.set_peer_histories(ms(30), HashMap::from([(REQUEST, vec![history; 5])]));
    assert!(!suspects.must_refuse(ms(30), REQUEST));
}

#[test]
fn adds_up_breaks_at_several_gateways() {
    let mut suspects = Suspects::default();
    suspects.on_connection_break(ms(0), REQUEST, 1);
    let history = |endpoint| RequestHistory { breaks: vec![(endpoint, ms(5))], finished_at: None };
    suspects.set_peer_histories(ms(30), HashMap::from([(REQUEST, vec![history(2), history(3)])]));
    assert!(suspects.must_refuse(ms(30), REQUEST));
}

#[test]
fn clears_earlier_breaks_when_request_finishes() {
    let mut suspects = Suspects::default();
    for endpoint in 1..4 {
        suspects.on_connection_break(ms(endpoint), REQUEST, endpoint);
    }
    let finished = RequestHistory { breaks: Vec::new(), finished_at: Some(ms(50)) };
    suspects.set_peer_histories(ms(60), HashMap::from([(REQUEST, vec![finished])]));
    assert!(!suspects.must_refuse(ms(60), REQUEST));
    for endpoint in 4..7 {
        suspects.on_connection_break(ms(60 + endpoint), REQUEST, endpoint);
    }
    assert!(suspects.must_refuse(ms(80), REQUEST), "later breaks must count");
}

#[test]
fn reports_completion_only_of_suspected_request() {
    let mut suspects = Suspects::default();
    suspects.on_finished(ms(0), REQUEST);
    assert!(suspects.to_report().is_empty(), "no gateway suspects the request");
    let history = RequestHistory { breaks: vec![(1, ms(0))], finished_at: None };
    suspects.set_peer_histories(ms(5), HashMap::from([(REQUEST, vec![history])]));
    suspects.on_finished(ms(10), REQUEST);
    let finished = RequestHistory { breaks: Vec::new(), finished_at: Some(ms(10)) };
    assert_eq!(suspects.to_report(), [(REQUEST, &finished)]);
}
