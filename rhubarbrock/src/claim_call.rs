//! One claimed call: its stage, and what the log and the time make of it.

use std::time::Duration;

use crate::claim::{Conclusion, Config, InDoubtReason, NewCall, NotRunReason};
use crate::claim_table::{self, Answer, Entry, KeyHash, Nonce, RequestHash, State, Table, Turn};
use crate::id::Offset;

/// How far a call has come. Times are monotonic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Nothing of it is in the log.
    Waiting,
    /// Its claim waits for an append.
    Queued { at: Duration },
    /// Its claim was sent and may be in the log.
    Sent { at: Duration },
    /// Its refusal waits for an append, or was sent and is not read back.
    Refusing { at: Duration, reason: NotRunReason },
    /// It holds its key and is to be dispatched; nothing has left.
    Dispatching { sent_at: Duration },
    /// It may have reached an endpoint.
    Dispatched { at: Duration },
}

/// A call under way.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) new: NewCall,
    pub(crate) key: KeyHash,
    /// The caller's key, or the one drawn for it.
    pub(crate) key_text: String,
    pub(crate) request: RequestHash,
    pub(crate) place: Option<claim_table::Place>,
    pub(crate) nonce: Nonce,
    /// Offset up to which the log was read when the call arrived.
    pub(crate) base: Offset,
    pub(crate) begun: Duration,
    /// When its claim was first queued.
    pub(crate) first_queued: Duration,
    pub(crate) stage: Stage,
    /// Whether the caller was told.
    pub(crate) told: bool,
    /// Whether a claim was sent that the log did not refuse.
    pub(crate) claim_sent: bool,
    /// Offset at which its claim or refusal was last read back.
    pub(crate) read_back: Option<Offset>,
}

impl Call {
    pub(crate) fn new(
        new: NewCall,
        now: Duration,
        nonce: Nonce,
        base: Offset,
        drawn_key: String,
    ) -> Call {
        let key_text = new.key.clone().unwrap_or(drawn_key);
        let place = new.sequence_position.as_ref().and_then(|place| {
            claim_table::place(&new.organisation, &new.service, &place.sequence, place.position)
        });
        Call {
            key: claim_table::key_hash(&new.organisation, &key_text),
            request: claim_table::half_hash(&new.request_sha256),
            key_text,
            place,
            nonce,
            base,
            begun: now,
            first_queued: now,
            stage: Stage::Waiting,
            told: false,
            claim_sent: false,
            read_back: None,
            new,
        }
    }
}

/// What a call is judged by.
pub(crate) struct View<'a> {
    pub(crate) now: Duration,
    pub(crate) config: &'a Config,
    pub(crate) table: &'a Table,
    pub(crate) is_caught_up: bool,
    pub(crate) is_available: bool,
    /// Offset of the first record that the table may hold.
    pub(crate) table_start: Offset,
    pub(crate) covers_key_life: bool,
}

/// The next step of a call.
#[derive(Debug)]
pub(crate) enum Step {
    /// Wait.
    Keep,
    /// Forget the call; its caller was told.
    Drop,
    /// Claim the key.
    Claim,
    /// Dispatch under this fencing number.
    Dispatch { fencing_token: Offset, sent_at: Duration },
    /// Refuse a call that does not hold its key.
    Refuse(NotRunReason),
    /// End the claim of this call as not run.
    EndNotRun(NotRunReason),
    /// End the claim of this call as in doubt.
    EndInDoubt(InDoubtReason),
    /// Tell the caller.
    Tell(Conclusion),
}

/// What to do next with a call.
pub(crate) fn judge(view: &View<'_>, call: &Call) -> Step {
    let step = judge_in_time(view, call);
    let held_its_key = matches!(call.stage, Stage::Dispatching { .. } | Stage::Dispatched { .. });
    if held_its_key { step } else { distrust(view, call, step) }
}

/// Keeps a call from running, or from being told that none ran, where records about its key may
/// have been lost before this node read them: records since the call arrived, in which a
/// repetition may have overtaken it, or older ones, in which an earlier call may have run.
fn distrust(view: &View<'_>, call: &Call, step: Step) -> Step {
    let has_gap = call.base + 1 < view.table_start;
    match step {
        Step::Claim if has_gap && !call.new.is_repetition => Step::Refuse(NotRunReason::LogSlow),
        Step::Dispatch { .. } if has_gap && !call.new.is_repetition => {
            Step::EndNotRun(NotRunReason::LogSlow)
        }
        step if !call.new.is_repetition || (view.covers_key_life && !has_gap) => step,
        Step::Claim | Step::Tell(Conclusion::NotRun { .. }) => in_doubt(InDoubtReason::LogTooShort),
        Step::Dispatch { .. } | Step::EndNotRun(_) => Step::EndInDoubt(InDoubtReason::LogTooShort),
        step => step,
    }
}

fn judge_in_time(view: &View<'_>, call: &Call) -> Step {
    let step = judge_stage(view, call);
    if call.told || view.now <= call.begun + view.config.conclusion_timeout() {
        return step;
    }
    match step {
        Step::Dispatch { .. } => Step::EndNotRun(NotRunReason::LogSlow),
        Step::Keep | Step::Claim | Step::Refuse(_) => judge_overdue(view, call),
        step => step,
    }
}

/// The caller must be told now, whatever is still under way.
fn judge_overdue(view: &View<'_>, call: &Call) -> Step {
    let is_known = view.table.get(call.key).is_some();
    match call.stage {
        Stage::Dispatching { .. } => Step::EndNotRun(NotRunReason::LogSlow),
        Stage::Dispatched { .. } => in_doubt(InDoubtReason::AnswerLate),
        _ if call.new.is_repetition || is_known => in_doubt(InDoubtReason::LogUnavailable),
        _ => Step::Refuse(NotRunReason::LogSlow),
    }
}

fn judge_stage(view: &View<'_>, call: &Call) -> Step {
    match call.stage {
        Stage::Dispatching { sent_at } => {
            if view.now > sent_at + view.config.dispatch_window {
                return Step::EndNotRun(NotRunReason::LogSlow);
            }
            return Step::Keep;
        }
        Stage::Dispatched { at } => {
            if !call.told && view.now > at + view.config.answer_timeout {
                return in_doubt(InDoubtReason::AnswerLate);
            }
            return Step::Keep;
        }
        _ => {}
    }
    if !view.is_caught_up {
        return judge_starting(view, call);
    }
    match view.table.get(call.key) {
        None => judge_unheld(view, call),
        Some(entry) if entry.nonce == call.nonce => judge_own(view, call, entry),
        Some(_) if call.told && call.read_back.is_some() => Step::Drop,
        Some(_) if call.told => judge_told(view, call),
        Some(entry) => judge_other(view, call, entry),
    }
}

fn judge_starting(view: &View<'_>, call: &Call) -> Step {
    if call.told {
        return Step::Keep;
    }
    if !view.is_available {
        return Step::Refuse(NotRunReason::LogUnavailable);
    }
    if view.now > call.begun + view.config.queue_timeout {
        return starting_refusal(call);
    }
    Step::Keep
}

/// Nothing can be appended before the log is read, so a repetition cannot be refused by the log.
fn starting_refusal(call: &Call) -> Step {
    if call.new.is_repetition {
        return in_doubt(InDoubtReason::LogUnavailable);
    }
    Step::Refuse(NotRunReason::Starting)
}

/// A told call whose claim has not appeared is forgotten when the key's life is over.
fn judge_told(view: &View<'_>, call: &Call) -> Step {
    if view.now > call.begun + view.config.key_lifetime {
        return Step::Drop;
    }
    Step::Keep
}

/// The key is in nobody's hands, or free again.
fn judge_unheld(view: &View<'_>, call: &Call) -> Step {
    if call.told {
        return judge_told(view, call);
    }
    let now = view.now;
    let config = view.config;
    match call.stage {
        Stage::Waiting | Stage::Queued { .. } if !view.is_available => {
            Step::Refuse(NotRunReason::LogUnavailable)
        }
        Stage::Waiting => judge_turn(view, call),
        Stage::Queued { at } if now > at + config.queue_timeout => {
            Step::Refuse(NotRunReason::LogSlow)
        }
        Stage::Sent { at } if now > at + config.dispatch_window => {
            Step::Refuse(NotRunReason::LogSlow)
        }
        Stage::Refusing { at, .. } if now > at + config.refusal_timeout => {
            in_doubt(InDoubtReason::LogUnavailable)
        }
        _ => Step::Keep,
    }
}

/// Before the claim: whether the predecessor in the sequence is answered.
fn judge_turn(view: &View<'_>, call: &Call) -> Step {
    let Some(place) = call.place else { return Step::Claim };
    match view.table.turn(place, call.nonce) {
        Turn::Now => Step::Claim,
        Turn::Passed => Step::Refuse(NotRunReason::PositionPassed),
        Turn::Taken => Step::Refuse(NotRunReason::PositionTaken),
        Turn::Later if view.now > call.begun + view.config.predecessor_timeout => {
            Step::Refuse(NotRunReason::PredecessorUnanswered)
        }
        Turn::Later => Step::Keep,
    }
}

/// The last claim or refusal of the key is this call's.
fn judge_own(view: &View<'_>, call: &Call, entry: &Entry) -> Step {
    match (&entry.state, call.stage) {
        (State::Open, _) if call.told => Step::EndNotRun(NotRunReason::LogSlow),
        (State::Open, Stage::Sent { at }) => judge_dispatch(view, call, entry.fencing_token, at),
        (State::Open, Stage::Refusing { reason, .. }) => Step::EndNotRun(reason),
        (State::Open, _) => Step::EndNotRun(NotRunReason::LogSlow),
        (_, _) if call.told => Step::Drop,
        (State::Expired, _) => Step::Tell(Conclusion::KeyExpired),
        (State::NotRun { .. }, Stage::Refusing { reason, .. }) => {
            Step::Tell(view.config.not_run(reason))
        }
        // Only a record that this node did not write can end its claim otherwise.
        (State::NotRun { .. }, _) => Step::Tell(view.config.not_run(NotRunReason::Withdrawn)),
        (State::Answered(answer), _) => answered(answer),
        (State::InDoubt, _) => in_doubt(InDoubtReason::Recorded),
    }
}

/// The claim was read back: dispatch, if that is still in time and the call's turn.
fn judge_dispatch(view: &View<'_>, call: &Call, fencing_token: Offset, sent_at: Duration) -> Step {
    if view.now > sent_at + view.config.dispatch_window {
        return Step::EndNotRun(NotRunReason::LogSlow);
    }
    let turn = call.place.map_or(Turn::Now, |place| view.table.turn(place, call.nonce));
    match turn {
        Turn::Now => Step::Dispatch { fencing_token, sent_at },
        Turn::Later => Step::EndNotRun(NotRunReason::PredecessorUnanswered),
        Turn::Passed => Step::EndNotRun(NotRunReason::PositionPassed),
        Turn::Taken => Step::EndNotRun(NotRunReason::PositionTaken),
    }
}

/// The last claim or refusal of the key is another call's.
fn judge_other(view: &View<'_>, call: &Call, entry: &Entry) -> Step {
    if entry.state == State::Expired {
        return Step::Tell(Conclusion::KeyExpired);
    }
    if entry.request != call.request {
        return Step::Tell(Conclusion::Mismatch);
    }
    match &entry.state {
        State::Answered(answer) => answered(answer),
        State::InDoubt => in_doubt(InDoubtReason::Recorded),
        State::Open => {
            let is_silent = view.now > entry.read_at + view.config.holder_timeout();
            let is_over = view.now > call.begun + view.config.outcome_timeout;
            if is_silent || is_over { in_doubt(InDoubtReason::HolderSilent) } else { Step::Keep }
        }
        State::NotRun { at } => judge_released(view, call, *at),
        State::Expired => Step::Keep,
    }
}

/// The key is free for calls that arrived after `at` was read.
///
/// Where `at` came after an entry of this call, it voids every claim of an
/// earlier call and so tells that none of them runs.
fn judge_released(view: &View<'_>, call: &Call, at: Offset) -> Step {
    if call.read_back.is_some_and(|offset| offset <= at) {
        let reason = match call.stage {
            Stage::Refusing { reason, .. } => reason,
            _ => NotRunReason::Withdrawn,
        };
        return Step::Tell(view.config.not_run(reason));
    }
    match call.stage {
        Stage::Waiting | Stage::Queued { .. } if call.base < at => {
            Step::Refuse(NotRunReason::Withdrawn)
        }
        Stage::Sent { .. } if call.read_back.is_some() => Step::Refuse(NotRunReason::Withdrawn),
        _ => judge_unheld(view, call),
    }
}

fn answered(answer: &Answer) -> Step {
    Step::Tell(Conclusion::Answered { answer: answer.clone(), is_replay: true })
}

fn in_doubt(reason: InDoubtReason) -> Step {
    Step::Tell(Conclusion::InDoubt { reason })
}
