//! Randomised soak test: runs gateway processes, injects external faults, and checks the guarantees
//! against what callers and replicas observe.
//!
//! `SOAK_FIRST` (first seed) and `SOAK_SEEDS` (number of seeds) select other seeds, `SOAK_JOBS`
//! sets how many run concurrently. The logs of the gateways stay in `tmp/soak` of the target folder.

mod callers;
mod checks;
#[path = "../child/mod.rs"]
mod child;
mod faults;
mod gateway;
mod proxy;
mod testbed;

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// Seeds that once failed, one a line, each followed by the cause.
const REGRESSION_SEEDS: &str = include_str!("seeds.txt");

/// Number of seeds that run without `SOAK_SEEDS`, besides the regression seeds.
const DEFAULT_SEED_COUNT: u64 = 2;

/// Number of seeds that run concurrently without `SOAK_JOBS`.
const DEFAULT_JOBS: u64 = 2;

fn env_number(name: &str) -> Option<u64> {
    let text = std::env::var(name).ok()?;
    Some(text.parse().unwrap_or_else(|_| panic!("{name} is not a number: {text}")))
}

/// The regression seeds (unless `SOAK_FIRST` is set) and the selected range.
fn seeds() -> Vec<u64> {
    let first = env_number("SOAK_FIRST");
    let selected = first.unwrap_or(1)
        ..first.unwrap_or(1) + env_number("SOAK_SEEDS").unwrap_or(DEFAULT_SEED_COUNT);
    let regression = REGRESSION_SEEDS.lines().filter(|_| first.is_none());
    let regression = regression.filter_map(|line| line.split_whitespace().next()?.parse().ok());
    regression.chain(selected).collect()
}

#[test]
fn guarantees_hold_under_external_faults() {
    let seeds = seeds();
    let next = AtomicU64::new(0);
    let failed = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..env_number("SOAK_JOBS").unwrap_or(DEFAULT_JOBS) {
            scope.spawn(|| {
                while let Some(&seed) = seeds.get(next.fetch_add(1, Ordering::Relaxed) as usize) {
                    let violations = testbed::run(seed);
                    for line in &violations {
                        println!("seed {seed}: {line}");
                    }
                    if !violations.is_empty() {
                        failed.lock().unwrap().push(seed);
                    }
                }
            });
        }
    });
    let failed = failed.into_inner().unwrap();
    assert!(failed.is_empty(), "guarantees violated with seeds {failed:?}");
}
