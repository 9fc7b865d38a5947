//! Usage counts merged from several gateways.

use std::collections::BTreeSet;
use std::time::Duration;

use forwarding::usage::{Usage, window_at};

#[test]
fn keeps_totals_despite_lost_and_repeated_reports() {
    let mut usage = Usage::default();
    usage.on_run(7, "acme");
    let source = ("g2".to_owned(), 1);
    usage.on_report(&source, 7, "acme", 4);
    usage.on_report(&source, 7, "acme", 9);
    usage.on_report(&source, 7, "acme", 4);
    assert_eq!(usage.total(7)["acme"], 10);
}

#[test]
fn keeps_and_reports_counts_of_earlier_incarnation() {
    let mut usage = Usage::default();
    let (old, new) = (("g2".to_owned(), 1), ("g2".to_owned(), 2));
    usage.on_report(&old, 7, "acme", 5);
    usage.on_report(&new, 7, "acme", 2);
    assert_eq!(usage.total(7)["acme"], 7);
    let live = BTreeSet::from([new]);
    let departed: Vec<_> = usage.departed_counts(&live, 6).collect();
    assert_eq!(departed.len(), 1);
    assert_eq!(departed[0].0, &old);
    assert_eq!(departed[0].2["acme"], 5);
}

#[test]
fn drops_old_windows() {
    let mut usage = Usage::default();
    for window in 0..100 {
        usage.on_run(window, "acme");
        usage.on_report(&(format!("g{window}"), 1), window, "acme", 1);
    }
    assert!(usage.own().len() <= 8);
    assert!(usage.departed_counts(&BTreeSet::new(), 0).count() <= 10);
}

#[test]
fn aligns_windows_to_multiples_of_their_length() {
    let length = Duration::from_secs(5);
    assert_eq!(window_at(Duration::from_millis(14_999), length), 2);
    assert_eq!(window_at(Duration::from_millis(15_000), length), 3);
}
