//! Memory of answers that are not complete yet.

use forwarding::answer_memory::AnswerMemory;

const INSTANCE_BYTES: u64 = 160_000_000;
const LONG_ANSWER_BYTES: usize = 4_000_000;

/// Grows an answer by steps for as long as there is memory; returns what it holds then.
fn grow(memory: &mut AnswerMemory, until_bytes: usize) -> usize {
    let mut held_bytes = 0;
    while held_bytes < until_bytes && memory.resize(held_bytes, held_bytes + 8_000) {
        held_bytes += 8_000;
    }
    held_bytes
}

/// Guards against long answers that take the memory of short ones.
#[test]
fn short_answers_have_memory_beside_any_number_of_long_ones() {
    let mut memory = AnswerMemory::new(INSTANCE_BYTES);
    let held: Vec<usize> = (0..500).map(|_| grow(&mut memory, LONG_ANSWER_BYTES)).collect();
    let total: usize = held.iter().sum();
    assert!(total as u64 <= INSTANCE_BYTES / 4, "{total} bytes");
    assert!(held.iter().all(|&bytes| bytes >= 8_000), "{held:?}");
    assert_eq!(grow(&mut memory, 8_000), 8_000);
}

#[test]
fn memory_of_ended_answers_is_given_back() {
    let mut memory = AnswerMemory::new(INSTANCE_BYTES);
    for _ in 0..1_000 {
        let held_bytes = grow(&mut memory, LONG_ANSWER_BYTES);
        assert!(held_bytes >= LONG_ANSWER_BYTES, "{held_bytes} bytes");
        assert!(memory.resize(held_bytes, 0));
    }
}
