//! Capacity slots of a lease's scope: each permits starting one instance.
//!
//! The client token of every attempt to start a slot's instance is derived from
//! the slot's number, so the cloud starts at most one instance per slot, even if
//! a lease holder that was paused sends a start request much later. The holder
//! writes the complete list of slots with its lease records. A record replaces the
//! list only if it names the record of the current list as its base, so a delayed
//! record of the holder removes no slot.

use rhubarbrock_schema::log;

use crate::id::Offset;

/// Most slots of a scope; further slots in a record are ignored.
pub const MAX_SLOTS: usize = 1 << 10;

/// Base of a record whose holder could not determine the current slots.
///
/// The current slots are discarded. A start request in flight for one of them may
/// start an instance that is not counted until the instance list has it.
pub const UNKNOWN_BASE: Offset = Offset::MAX;

/// Most record offsets that a reader keeps while it does not know the current slots.
const MAX_CANDIDATE_OFFSETS: usize = 16;

/// Slots of a scope and the record that wrote them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SlotRecord {
    /// Offset of the record; 0 before the first.
    pub offset: Offset,
    /// The slots; a slot's number is 0 until its record has been read from the log.
    pub slots: Vec<log::CapacitySlot>,
}

/// Slots of one scope, computed from its granted lease records.
#[derive(Debug, Clone)]
pub(crate) struct SlotState {
    current: Option<SlotRecord>,
    /// Offsets of records read while the current slots are unknown.
    candidate_offsets: Vec<Offset>,
}

impl SlotState {
    /// Creates the state of a scope; `is_complete` tells whether all its records will be read.
    pub(crate) fn new(is_complete: bool) -> SlotState {
        SlotState { current: is_complete.then(SlotRecord::default), candidate_offsets: Vec::new() }
    }

    /// Current slots, if they are known.
    pub(crate) fn current(&self) -> Option<&SlotRecord> {
        self.current.as_ref()
    }

    /// Applies the slots of a granted record that replaces those written at `base`.
    pub(crate) fn apply(&mut self, offset: Offset, base: Offset, slots: Vec<log::CapacitySlot>) {
        let record = SlotRecord { offset, slots: assign_numbers(offset, slots) };
        if base == UNKNOWN_BASE {
            self.current = Some(record);
            return;
        }
        match &self.current {
            Some(last) if last.offset == base => self.current = Some(record),
            Some(_) => {}
            None => self.try_adopt(base, record),
        }
    }

    /// Adopts a record whose base was read before, because its holder knew that base to be current;
    /// keeps the offset of any other record as a possible base.
    fn try_adopt(&mut self, base: Offset, record: SlotRecord) {
        if self.candidate_offsets.contains(&base) {
            self.candidate_offsets.clear();
            self.current = Some(record);
            return;
        }
        if self.candidate_offsets.len() == MAX_CANDIDATE_OFFSETS {
            self.candidate_offsets.remove(0);
        }
        self.candidate_offsets.push(record.offset);
    }
}

/// Assigns numbers to new slots, unique because they are derived from the record's offset.
fn assign_numbers(offset: Offset, mut slots: Vec<log::CapacitySlot>) -> Vec<log::CapacitySlot> {
    slots.truncate(MAX_SLOTS);
    for (index, slot) in slots.iter_mut().enumerate() {
        if slot.number == 0 {
            slot.number = offset.saturating_mul(MAX_SLOTS as u64) + index as u64;
        }
    }
    slots
}

/// Client token of a slot; the cloud starts at most one instance for all requests with it.
pub fn client_token(scope: &str, slot: u64) -> String {
    format!("{scope}-{slot}")
}
