//! Randomised soak: gateways as processes, faults from outside, and promises checked from what
//! callers and replicas see.
//!
//! `SOAK_FIRST` and `SOAK_SEEDS` choose other seeds, `SOAK_JOBS` how many run at once. Logs of
//! the gateways stay in the target folder's `tmp/soak`.

mod callers;
mod checks;
#[path = "../child/mod.rs"]
mod child;
mod faults;
mod gateway;
mod proxy;
mod world;

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// Seeds that failed once, each with a line on the cause.
const KEPT_SEEDS: &str = include_str!("seeds.txt");

/// Further seeds of a run without settings.
const SEEDS: u64 = 2;

/// Seeds at once of a run without settings.
const JOBS: u64 = 2;

fn setting(name: &str) -> Option<u64> {
    let text = std::env::var(name).ok()?;
    Some(text.parse().unwrap_or_else(|_| panic!("{name} is no number: {text}")))
}

fn seeds() -> Vec<u64> {
    let first = setting("SOAK_FIRST");
    let fresh = first.unwrap_or(1)..first.unwrap_or(1) + setting("SOAK_SEEDS").unwrap_or(SEEDS);
    let kept = KEPT_SEEDS.lines().filter(|_| first.is_none());
    let kept = kept.filter_map(|line| line.split_whitespace().next()?.parse().ok());
    kept.chain(fresh).collect()
}

#[test]
fn promises_hold_under_faults_from_outside() {
    let seeds = seeds();
    let next = AtomicU64::new(0);
    let failed = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..setting("SOAK_JOBS").unwrap_or(JOBS) {
            scope.spawn(|| {
                while let Some(&seed) = seeds.get(next.fetch_add(1, Ordering::Relaxed) as usize) {
                    let broken = world::run(seed);
                    for line in &broken {
                        println!("seed {seed}: {line}");
                    }
                    if !broken.is_empty() {
                        failed.lock().unwrap().push(seed);
                    }
                }
            });
        }
    });
    let failed = failed.into_inner().unwrap();
    assert!(failed.is_empty(), "promises broken with seeds {failed:?}");
}
