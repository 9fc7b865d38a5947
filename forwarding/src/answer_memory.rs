//! Limits the memory of answers, and of events of streams, that are not complete yet.
//!
//! A faulty endpoint may send bytes without end. Each answer may hold a little
//! memory in any case, so that the short answers of sound endpoints do not
//! depend on the long ones of others. Beyond that, all share a part of the
//! instance's memory.
//!
//! ```
//! use forwarding::answer_memory::AnswerMemory;
//!
//! let mut memory = AnswerMemory::new(80_000_000);
//! assert!(memory.resize(0, 9_000_000));
//! assert!(!memory.resize(0, 9_000_000));
//! assert!(memory.resize(0, 1_000));
//! assert!(memory.resize(9_000_000, 0));
//! assert!(memory.resize(0, 9_000_000));
//! ```

/// Memory that every answer may hold, in bytes.
const GRANTED_BYTES: usize = 16 * 1024;

/// Part of the instance's memory that all answers share, as a divisor.
const MEMORY_DIVISOR: u64 = 8;

/// Memory that incomplete answers hold in excess of what each is granted.
#[derive(Debug)]
pub struct AnswerMemory {
    limit_bytes: usize,
    used_bytes: usize,
}

impl AnswerMemory {
    /// Memory on an instance with `memory_bytes` in all.
    pub fn new(memory_bytes: u64) -> AnswerMemory {
        let limit_bytes = usize::try_from(memory_bytes / MEMORY_DIVISOR).unwrap_or(usize::MAX);
        AnswerMemory { limit_bytes, used_bytes: 0 }
    }

    /// Resizes an answer; returns whether there is enough memory, and changes nothing if not.
    pub fn resize(&mut self, from_bytes: usize, to_bytes: usize) -> bool {
        let used_by_others = self.used_bytes.saturating_sub(excess(from_bytes));
        let used_bytes = used_by_others.saturating_add(excess(to_bytes));
        let is_enough = to_bytes <= from_bytes || used_bytes <= self.limit_bytes;
        if is_enough {
            self.used_bytes = used_bytes;
        }
        is_enough
    }
}

fn excess(bytes: usize) -> usize {
    bytes.saturating_sub(GRANTED_BYTES)
}
