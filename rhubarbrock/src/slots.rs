//! Slots of a lease's scope: the right to buy one instance each.
//!
//! A slot's number makes the client token of every try to start its instance,
//! so the cloud gives one instance for it at most, also if a holder of the lease
//! that was paused sends a start long after. The slots are written in whole with
//! the holder's lease records. A record replaces them only if it was written
//! against the last ones, so a late record of the holder takes no slot away.

use rhubarbrock_schema::log;

use crate::id::Offset;

/// Slots that a scope can have; what a record holds beyond is ignored.
pub const MAX_SLOTS: usize = 1 << 10;

/// Base of a record whose holder could not find out the last slots.
///
/// The slots before are forgotten; a start that is still on its way for one of
/// them may buy an instance that nobody counts until the instance list has it.
pub const UNKNOWN_BASE: Offset = Offset::MAX;

/// Records kept by a reader that does not know the slots yet.
const MAX_CANDIDATES: usize = 16;

/// Slots, and the record that wrote them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SlotRecord {
    /// Offset of the record; 0 before the first.
    pub offset: Offset,
    /// The slots; each has a number once it was read from the log.
    pub slots: Vec<log::CapacitySlot>,
}

/// Fold of the slots of one scope over its granted records.
#[derive(Debug, Clone)]
pub(crate) struct SlotState {
    current: Option<SlotRecord>,
    /// Offsets of records met while the slots are not known.
    candidates: Vec<Offset>,
}

impl SlotState {
    /// Slots of a scope of which every record or only later ones are read.
    pub(crate) fn new(is_complete: bool) -> SlotState {
        SlotState { current: is_complete.then(SlotRecord::default), candidates: Vec::new() }
    }

    /// The slots, if they are known.
    pub(crate) fn current(&self) -> Option<&SlotRecord> {
        self.current.as_ref()
    }

    /// Takes the slots of a granted record.
    pub(crate) fn apply(&mut self, offset: Offset, base: Offset, slots: Vec<log::CapacitySlot>) {
        let record = SlotRecord { offset, slots: numbered(offset, slots) };
        if base == UNKNOWN_BASE {
            self.current = Some(record);
            return;
        }
        match &self.current {
            Some(last) if last.offset == base => self.current = Some(record),
            Some(_) => {}
            None => self.learn(base, record),
        }
    }

    /// A holder that names an earlier record as the last one vouches for it, and replaces it.
    fn learn(&mut self, base: Offset, record: SlotRecord) {
        if self.candidates.contains(&base) {
            self.candidates.clear();
            self.current = Some(record);
            return;
        }
        if self.candidates.len() == MAX_CANDIDATES {
            self.candidates.remove(0);
        }
        self.candidates.push(record.offset);
    }
}

/// Gives new slots numbers that no other record can give.
fn numbered(offset: Offset, mut slots: Vec<log::CapacitySlot>) -> Vec<log::CapacitySlot> {
    slots.truncate(MAX_SLOTS);
    for (index, slot) in slots.iter_mut().enumerate() {
        if slot.number == 0 {
            slot.number = offset.saturating_mul(MAX_SLOTS as u64) + index as u64;
        }
    }
    slots
}

/// Token by which the cloud knows a slot: tries with it give one instance at most.
pub fn client_token(scope: &str, slot: u64) -> String {
    format!("{scope}-{slot}")
}
