//! Tests of the engine model under a virtual clock.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use standins::engine::{Engine, Event, Request, Settings, SubmitError, Usage};
use standins::text::{self, Answer};

const POISON: &str = "<<poison>>";

/// Prompt of `bytes` bytes: `name`, repeated and cut off at the end.
fn prompt(name: &str, bytes: usize) -> String {
    name.chars().cycle().take(bytes).collect()
}

fn request(id: u64, prompt: &str, answer_tokens: u32) -> Request {
    Request {
        id,
        blocks: text::block_hashes(prompt.as_bytes()),
        prompt_tokens: text::token_count(prompt),
        answer_tokens,
        is_poison: prompt.contains(POISON),
        ..Request::default()
    }
}

/// Advances `engine` until it is idle or crashes; returns all events.
fn run_until_idle(engine: &mut Engine) -> Vec<Event> {
    let mut events = Vec::new();
    while let Some(at) = engine.next_event_at() {
        events.extend(engine.advance(at));
    }
    events
}

fn run_alone(engine: &mut Engine, now: Duration, request: Request) -> (Usage, Duration) {
    engine.submit(now, request).unwrap();
    match run_until_idle(engine).pop() {
        Some(Event::Finished { usage, at, .. }) => (usage, at),
        other => panic!("expected a finished attempt as the last event, got {other:?}"),
    }
}

fn first_token_at(events: &[Event], wanted: u64) -> Option<Duration> {
    events.iter().find_map(|event| match event {
        Event::FirstToken { id, at, .. } if *id == wanted => Some(*at),
        _ => None,
    })
}

fn finished(events: &[Event]) -> Vec<(u64, Duration)> {
    let found = |event: &Event| match event {
        Event::Finished { id, at, .. } => Some((*id, *at)),
        _ => None,
    };
    events.iter().filter_map(found).collect()
}

#[test]
fn answer_depends_on_prompt_length_and_seed_only() {
    let answer = Answer::new("How do I cure a gourd?", Some(40), 7);
    let again = Answer::new("How do I cure a gourd?", Some(40), 7);
    assert_eq!(answer.text(0, 40), again.text(0, 40));
    assert_eq!(answer.text(0, 40).len(), 40 * text::TOKEN_BYTES);
    assert_ne!(answer.text(0, 40), Answer::new("Else", Some(40), 7).text(0, 40));
    assert_ne!(answer.text(0, 40), Answer::new("How do I cure a gourd?", Some(40), 8).text(0, 40));
    let default = Answer::new("How do I cure a gourd?", None, 7).tokens;
    assert!((64..192).contains(&default));
}

#[test]
fn answer_parts_concatenate_to_whole_answer() {
    let answer = Answer::new("prompt", Some(100), 0);
    for cut in 0..=100 {
        let parts = [answer.text(0, cut), answer.text(cut, 100)].concat();
        assert_eq!(parts, answer.text(0, 100));
    }
}

#[test]
fn tokens_have_at_most_four_bytes() {
    assert_eq!(text::token_count(""), 0);
    assert_eq!(text::token_count("abcd"), 1);
    assert_eq!(text::token_count("abcde"), 2);
    // `ầ` has three bytes, so no two fit into one token.
    assert_eq!(text::token_count("ầầ"), 2);
    assert_eq!(text::token_count("aầa"), 2);
}

#[test]
fn block_hash_depends_on_previous_blocks() {
    let one = text::block_hashes(prompt("ab", 200).as_bytes());
    let other = text::block_hashes(["x", &prompt("ab", 200)[1..]].concat().as_bytes());
    assert_eq!(one.len(), 3);
    assert!(one.iter().zip(&other).all(|(a, b)| a != b));
}

#[test]
fn attempt_tokens_are_contiguous_and_complete() {
    let mut engine = Engine::new(Settings::default());
    let mut random = ChaCha8Rng::seed_from_u64(11);
    let mut next = [0; 40];
    let mut finished_count = 0;
    let mut now = Duration::ZERO;
    for id in 0..40 {
        now += Duration::from_micros(random.random_range(0..30_000));
        let text = prompt(&format!("{id} "), random.random_range(10..5_000));
        engine.submit(now, request(id, &text, 20 + id as u32)).unwrap();
    }
    // Advances at arbitrary times, not only at those of events.
    while engine.next_event_at().is_some() {
        now += Duration::from_micros(random.random_range(1..9_000));
        for event in engine.advance(now) {
            match event {
                Event::Tokens { id, from, to, .. } => {
                    assert_eq!(from, next[id as usize]);
                    assert!(to > from);
                    next[id as usize] = to;
                }
                Event::Finished { id, usage, .. } => {
                    assert_eq!(usage.completion_tokens, 20 + id as u32);
                    assert_eq!(next[id as usize], 20 + id as u32);
                    finished_count += 1;
                }
                Event::FirstToken { .. } | Event::Crashed { .. } => {}
            }
        }
    }
    assert_eq!(finished_count, 40);
    let generated: u64 = next.iter().map(|&n| u64::from(n)).sum();
    assert_eq!(engine.counters().generated_tokens, generated);
}

#[test]
fn advance_times_do_not_change_results() {
    let work = |engine: &mut Engine| {
        for id in 0..12 {
            let text = prompt(&format!("{id} "), 900);
            let now = Duration::from_millis(7 * id);
            engine.submit(now, request(id, &text, 30)).unwrap();
        }
    };
    let mut coarse = Engine::new(Settings::default());
    work(&mut coarse);
    let expected = finished(&run_until_idle(&mut coarse));
    let mut fine = Engine::new(Settings::default());
    work(&mut fine);
    let mut events = Vec::new();
    while let Some(at) = fine.next_token_at() {
        events.extend(fine.advance(at - Duration::from_nanos(1)));
        events.extend(fine.advance(at));
    }
    assert_eq!(finished(&events), expected);
}

#[test]
fn second_request_with_same_prompt_uses_cached_blocks() {
    let mut engine = Engine::new(Settings::default());
    let text = prompt("How do I cure a gourd? ", 64 * 20 + 10);
    let (first, at) = run_alone(&mut engine, Duration::ZERO, request(1, &text, 5));
    let (second, _) = run_alone(&mut engine, at, request(2, &text, 5));
    assert_eq!(first.cached_tokens, 0);
    assert_eq!(second.cached_tokens, 20 * 16);
    assert_eq!(second.computed_tokens, first.computed_tokens - 20 * 16);
    let counters = engine.counters();
    assert_eq!(counters.cached_tokens, 20 * 16);
    assert_eq!(counters.recomputed_tokens, 0);
}

#[test]
fn evicts_least_recently_used_prefix() {
    let settings = Settings { kv_blocks: 50, ..Settings::default() };
    let mut engine = Engine::new(settings);
    let mut now = Duration::ZERO;
    let mut run = |id: u64, name: &str| {
        let text = prompt(name, 64 * 20);
        let (usage, at) = run_alone(&mut engine, now, request(id, &text, 4));
        now = at;
        assert!(engine.cached_blocks() <= 50);
        (usage.cached_tokens, engine.take_cache_changes())
    };
    assert_eq!(run(1, "first ").0, 0);
    assert_eq!(run(2, "second ").0, 0);
    // This makes the first prompt more recently used than the second.
    assert!(run(3, "first ").0 > 0);
    let (cached, changes) = run(4, "third ");
    assert_eq!(cached, 0);
    assert!(changes.iter().any(|change| !change.removed.is_empty()));
    assert!(run(5, "first ").0 > run(6, "second ").0);
}

#[test]
fn larger_batch_lengthens_steps() {
    let time_for = |batch: u64| {
        let mut engine = Engine::new(Settings::default());
        for id in 0..batch {
            engine.submit(Duration::ZERO, request(id, "short", 100)).unwrap();
        }
        finished(&run_until_idle(&mut engine)).last().unwrap().1
    };
    let settings = Settings::default();
    let per_sequence = Duration::from_micros(settings.step_per_sequence_us);
    assert!(time_for(16) >= time_for(1) + per_sequence * 15 * 99);
    // Batching is still much faster than running the requests one after the other.
    assert!(time_for(16) < time_for(1) * 4);
}

#[test]
fn chunked_prefill_does_not_block_decoding() {
    let mut engine = Engine::new(Settings::default());
    engine.submit(Duration::ZERO, request(1, "short", 500)).unwrap();
    let start = Duration::from_secs(1);
    engine.advance(start);
    let long = prompt("long ", 4 * 8 * 512);
    engine.submit(start, request(2, &long, 1)).unwrap();
    let mut tokens_during_prefill = 0;
    while first_token_at(&engine.advance(start), 2).is_none() {
        let at = engine.next_token_at().unwrap();
        let events = engine.advance(at);
        tokens_during_prefill +=
            events.iter().filter(|e| matches!(e, Event::Tokens { id: 1, .. })).count();
        if first_token_at(&events, 2).is_some() {
            break;
        }
    }
    assert!(
        tokens_during_prefill >= 8,
        "{tokens_during_prefill} tokens of the other attempt during 8 prefill chunks"
    );
}

#[test]
fn runs_lower_priority_value_first() {
    let settings = Settings { max_batch: 1, ..Settings::default() };
    let mut engine = Engine::new(settings);
    for (id, priority) in [(1, 0), (2, 5), (3, 5), (4, -1)] {
        let request = Request { priority, ..request(id, "short", 10) };
        engine.submit(Duration::ZERO, request).unwrap();
    }
    let order: Vec<u64> =
        finished(&run_until_idle(&mut engine)).iter().map(|(id, _)| *id).collect();
    assert_eq!(order, [1, 4, 2, 3]);
}

#[test]
fn refuses_full_queue_and_duplicate_id() {
    let settings = Settings { max_batch: 1, max_waiting: 2, ..Settings::default() };
    let mut engine = Engine::new(settings);
    for id in 0..3 {
        engine.submit(Duration::ZERO, request(id, "short", 10)).unwrap();
    }
    let refused = engine.submit(Duration::ZERO, request(9, "short", 10));
    assert_eq!(refused, Err(SubmitError::Full));
    let duplicate = engine.submit(Duration::ZERO, request(2, "short", 10));
    assert_eq!(duplicate, Err(SubmitError::Duplicate));
}

#[test]
fn cancel_frees_batch_slot_and_memory() {
    let settings = Settings { max_batch: 1, ..Settings::default() };
    let mut engine = Engine::new(settings);
    engine.submit(Duration::ZERO, request(1, "short", 10_000)).unwrap();
    engine.submit(Duration::ZERO, request(2, "short", 10)).unwrap();
    let now = Duration::from_millis(100);
    assert!(engine.cancel(now, 1));
    assert!(!engine.cancel(now, 1));
    let events = run_until_idle(&mut engine);
    assert_eq!(finished(&events).iter().map(|(id, _)| *id).collect::<Vec<_>>(), [2]);
    assert_eq!(engine.counters().cancelled, 1);
    assert_eq!(engine.load().kv_used_percent, 0);
}

#[test]
fn resumed_attempt_continues_after_resumed_text() {
    let text = prompt("How do I cure a gourd? ", 1_000);
    let answer = Answer::new(&text, Some(80), 3);
    let resumed = answer.text(0, 30);
    let context = [text.as_str(), &resumed].concat();
    let resume = Request {
        blocks: text::block_hashes(context.as_bytes()),
        resume_tokens: 30,
        computed_before: true,
        ..request(1, &text, 80)
    };
    let mut engine = Engine::new(Settings::default());
    engine.submit(Duration::ZERO, resume.clone()).unwrap();
    let mut pieces = resumed.clone();
    for event in run_until_idle(&mut engine) {
        if let Event::Tokens { from, to, .. } = event {
            pieces.push_str(&answer.text(from, to));
        }
    }
    assert_eq!(pieces, answer.text(0, 80));
    let counters = engine.counters();
    assert_eq!(counters.recomputed_tokens, 250 + 30);
    assert_eq!(counters.generated_tokens, 50);

    let imported = Request { id: 2, imported_tokens: 272, ..resume };
    let mut other = Engine::new(Settings::default());
    let (usage, _) = run_alone(&mut other, Duration::ZERO, imported);
    assert_eq!(usage.cached_tokens, 272);
    assert_eq!(usage.completion_tokens, 80);
    assert_eq!(other.counters().recomputed_tokens, 8);
}

#[test]
fn export_covers_context_and_new_tokens() {
    let mut engine = Engine::new(Settings::default());
    engine.submit(Duration::ZERO, request(1, &prompt("a", 400), 50)).unwrap();
    let at = engine.next_event_at().unwrap();
    engine.advance(at);
    let export = engine.export(at, 1).unwrap();
    assert_eq!((export.tokens, export.answer_tokens), (101, 1));
    assert_eq!(engine.export(at, 2), None);
}

#[test]
fn poison_request_crashes_engine_and_empties_cache() {
    let mut engine = Engine::new(Settings::default());
    let (_, now) = run_alone(&mut engine, Duration::ZERO, request(1, &prompt("a", 900), 5));
    assert!(engine.cached_blocks() > 0);
    engine.submit(now, request(2, &prompt("b", 900), 50)).unwrap();
    engine.submit(now, request(3, &format!("say {POISON}"), 5)).unwrap();
    let events = run_until_idle(&mut engine);
    let Some(Event::Crashed { id: 3, lost, .. }) = events.last() else {
        panic!("expected a crash as the last event, got {events:?}");
    };
    assert_eq!(lost, &[2]);
    assert!(engine.is_down());
    assert_eq!(engine.cached_blocks(), 0);
    assert_eq!(engine.submit(now, request(4, "short", 5)), Err(SubmitError::Down));
    engine.restart();
    let (usage, _) = run_alone(&mut engine, now, request(5, &prompt("a", 900), 5));
    assert_eq!(usage.cached_tokens, 0);
    assert_eq!(engine.counters().crashes, 1);
}

#[test]
fn request_larger_than_memory_runs_alone() {
    let settings = Settings { kv_blocks: 4, ..Settings::default() };
    let mut engine = Engine::new(settings);
    engine.submit(Duration::ZERO, request(1, &prompt("a", 2_000), 10)).unwrap();
    engine.submit(Duration::ZERO, request(2, "short", 10)).unwrap();
    let order: Vec<u64> =
        finished(&run_until_idle(&mut engine)).iter().map(|(id, _)| *id).collect();
    assert_eq!(order, [1, 2]);
}
