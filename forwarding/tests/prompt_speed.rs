//! Estimates of the prompt speed.

use std::time::Duration;

use forwarding::prompt_speed::PromptSamples;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Adds `count` requests to endpoints of the given speed, with cache misses and network delays.
fn add_requests(samples: &mut PromptSamples, seed: u64, count: u32, tokens_per_s: f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for _ in 0..count {
        let tokens = (300.0 / (1.0 - rng.random::<f64>() * 0.97)) as u64;
        let uncached = if rng.random_bool(0.2) { 400.0 } else { 0.0 };
        let delay_s = 0.01 + 0.01 * rng.random::<f64>();
        let latency_s = delay_s + (tokens as f64 + uncached) / tokens_per_s;
        samples.add(tokens, Duration::from_secs_f64(latency_s));
    }
}

#[test]
fn estimates_speed_despite_cache_misses() {
    for tokens_per_ms in [5.0, 57.0, 92.0, 110.0, 300.0] {
        for seed in 0..20 {
            let mut samples = PromptSamples::default();
            add_requests(&mut samples, seed, 300, tokens_per_ms * 1_000.0);
            let tokens_per_s = samples.tokens_per_s().expect("300 samples suffice");
            let ratio = tokens_per_s / (tokens_per_ms * 1_000.0);
            assert!((0.75..1.25).contains(&ratio), "{tokens_per_ms}, seed {seed}: {ratio}");
        }
    }
}

#[test]
fn adds_samples_of_several_gateways() {
    let mut total = PromptSamples::default();
    let mut whole = PromptSamples::default();
    for gateway in 0..30 {
        let mut samples = PromptSamples::default();
        add_requests(&mut samples, gateway, 10, 60_000.0);
        add_requests(&mut whole, gateway, 10, 60_000.0);
        assert_eq!(samples.tokens_per_s(), None);
        total = total.plus(samples);
    }
    let (total, whole) = (total.tokens_per_s().unwrap(), whole.tokens_per_s().unwrap());
    assert!((total / whole - 1.0).abs() < 1e-6, "{total} {whole}");
}

#[test]
fn gives_no_estimate_without_evidence() {
    let mut equal = PromptSamples::default();
    let mut unrelated = PromptSamples::default();
    for index in 0..100 {
        equal.add(1_000, Duration::from_millis(20 + index % 7));
        unrelated.add(1_000 + index * 10, Duration::from_millis(20 + index * 13 % 50));
    }
    assert_eq!(equal.tokens_per_s(), None);
    assert_eq!(unrelated.tokens_per_s(), None);
    let broken = PromptSamples { tokens: f64::NAN, ..equal };
    assert_eq!(broken.tokens_per_s(), None);
}

#[test]
fn follows_change_of_speed() {
    let mut samples = PromptSamples::default();
    add_requests(&mut samples, 1, 400, 100_000.0);
    samples.scale(0.02);
    add_requests(&mut samples, 2, 400, 25_000.0);
    let tokens_per_s = samples.tokens_per_s().unwrap();
    assert!((20_000.0..32_000.0).contains(&tokens_per_s), "{tokens_per_s}");
}
