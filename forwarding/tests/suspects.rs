//! Requests that may crash endpoints.

mod support;

use std::collections::HashMap;

use forwarding::suspects::{RequestHistory, Suspects};
use support::ms;

const REQUEST: u64 = 7;

#[test]
fn a_request_that_broke_three_endpoints_is_refused() {
    let mut suspects = Suspects::default();
    suspects.on_connection_break(ms(0), REQUEST, 1);
    suspects.on_connection_break(ms(10), REQUEST, 2);
    assert!(!suspects.must_refuse(ms(20), REQUEST));
    suspects.on_connection_break(ms(20), REQUEST, 3);
    assert!(suspects.must_refuse(ms(20), REQUEST));
    assert!(!suspects.must_refuse(ms(70_000), REQUEST), "old breaks count no more");
}

#[test]
fn an_endpoint_that_breaks_all_connections_makes_no_request_a_suspect() {
    let mut suspects = Suspects::default();
    for turn in 0..20 {
        suspects.on_connection_break(ms(turn), REQUEST, 1);
    }
    let seen = RequestHistory { breaks: vec![(1, ms(5))], finished_at: None };
    suspects.set_peer_histories(ms(30), HashMap::from([(REQUEST, vec![seen; 5])]));
    assert!(!suspects.must_refuse(ms(30), REQUEST));
}

#[test]
fn breaks_at_several_gateways_add_up() {
    let mut suspects = Suspects::default();
    suspects.on_connection_break(ms(0), REQUEST, 1);
    let seen = |endpoint| RequestHistory { breaks: vec![(endpoint, ms(5))], finished_at: None };
    suspects.set_peer_histories(ms(30), HashMap::from([(REQUEST, vec![seen(2), seen(3)])]));
    assert!(suspects.must_refuse(ms(30), REQUEST));
}

#[test]
fn a_request_that_ended_anywhere_is_cleared_of_what_was_before() {
    let mut suspects = Suspects::default();
    for endpoint in 1..4 {
        suspects.on_connection_break(ms(endpoint), REQUEST, endpoint);
    }
    let ended = RequestHistory { breaks: Vec::new(), finished_at: Some(ms(50)) };
    suspects.set_peer_histories(ms(60), HashMap::from([(REQUEST, vec![ended])]));
    assert!(!suspects.must_refuse(ms(60), REQUEST));
    for endpoint in 4..7 {
        suspects.on_connection_break(ms(60 + endpoint), REQUEST, endpoint);
    }
    assert!(suspects.must_refuse(ms(80), REQUEST), "later breaks count");
}

#[test]
fn an_end_is_told_where_others_have_a_suspicion() {
    let mut suspects = Suspects::default();
    suspects.on_finished(ms(0), REQUEST);
    assert!(suspects.to_report().is_empty(), "nobody suspects it");
    let seen = RequestHistory { breaks: vec![(1, ms(0))], finished_at: None };
    suspects.set_peer_histories(ms(5), HashMap::from([(REQUEST, vec![seen])]));
    suspects.on_finished(ms(10), REQUEST);
    let ended = RequestHistory { breaks: Vec::new(), finished_at: Some(ms(10)) };
    assert_eq!(suspects.to_report(), [(REQUEST, &ended)]);
}
