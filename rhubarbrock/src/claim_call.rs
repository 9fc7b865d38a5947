//! State machine of one call: derives the next step from its stage, the table of keys and time.
//!
//! The functions here decide only; `claim` carries out the steps.

use std::time::Duration;

use crate::claim::{Conclusion, Config, InDoubtReason, NewCall, NotRunReason};
use crate::claim_table::{
    self, Answer, Entry, KeyHash, Nonce, PositionState, RequestHash, State, Table,
};
use crate::id::Offset;

/// Progress of a call. Times are monotonic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// No claim was queued, because the log or the predecessor is not ready.
    Waiting,
    /// The claim waits for an append, since `at`.
    Queued { at: Duration },
    /// The claim was sent to the log at `at` and may appear there.
    Sent { at: Duration },
    /// The refusal, queued at `at`, has not been read back.
    Refusing { at: Duration, reason: NotRunReason },
    /// The call holds its key and no byte was sent; the claim was sent to the log at `sent_at`.
    Dispatching { sent_at: Duration },
    /// Sending was permitted at `at`; the call may have reached an endpoint.
    Dispatched { at: Duration },
}

/// An unfinished call.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) details: NewCall,
    pub(crate) key: KeyHash,
    /// The caller's key, or the generated one.
    pub(crate) key_text: String,
    pub(crate) request: RequestHash,
    pub(crate) position_key: Option<claim_table::PositionKey>,
    pub(crate) nonce: Nonce,
    /// Offset of the last record that this node had read when the call arrived.
    pub(crate) base_offset: Offset,
    pub(crate) arrived_at: Duration,
    /// When the claim was first queued; kept if the claim is queued again.
    pub(crate) first_queued_at: Duration,
    pub(crate) stage: Stage,
    /// Whether the conclusion was reported to the caller.
    pub(crate) concluded: bool,
    /// Whether a claim was sent to the log and the append did not fail.
    pub(crate) claim_sent: bool,
    /// Offset of the last claim or refusal of this call that was read back.
    pub(crate) read_back: Option<Offset>,
}

impl Call {
    pub(crate) fn new(
        new: NewCall,
        now: Duration,
        nonce: Nonce,
        base_offset: Offset,
        generated_key: String,
    ) -> Call {
        let key_text = new.key.clone().unwrap_or(generated_key);
        let position_key = new.sequence_position.as_ref().and_then(|named| {
            claim_table::position_key(
                &new.organisation,
                &new.service,
                &named.sequence,
                named.position,
            )
        });
        Call {
            key: claim_table::key_hash(&new.organisation, &key_text),
            request: claim_table::truncated_hash(&new.request_sha256),
            key_text,
            position_key,
            nonce,
            base_offset,
            arrived_at: now,
            first_queued_at: now,
            stage: Stage::Waiting,
            concluded: false,
            claim_sent: false,
            read_back: None,
            details: new,
        }
    }
}

/// State of the node from which the next step of a call follows.
pub(crate) struct Context<'a> {
    pub(crate) now: Duration,
    pub(crate) config: &'a Config,
    pub(crate) table: &'a Table,
    pub(crate) is_caught_up: bool,
    pub(crate) is_log_available: bool,
    /// Oldest retained offset when the table was last reset; older records are not in it.
    pub(crate) table_start_offset: Offset,
    /// Whether a key that is not in the table was certainly not used within its lifetime.
    pub(crate) covers_key_lifetime: bool,
}

/// The next step of a call.
#[derive(Debug)]
pub(crate) enum Step {
    /// Nothing to do until records are read or time passes.
    Wait,
    /// Remove the call, which is concluded.
    Forget,
    /// Queue a claim of the key.
    Claim,
    /// Dispatch the call with this fencing token.
    Dispatch { fencing_token: Offset, sent_at: Duration },
    /// Refuse a call that does not hold its key.
    Refuse(NotRunReason),
    /// Append that the claim ended without a run.
    EndNotRun(NotRunReason),
    /// Append that the claim ended in doubt.
    EndInDoubt(InDoubtReason),
    /// Report the conclusion to the caller.
    Conclude(Conclusion),
}

/// Returns the next step of a call.
pub(crate) fn next_step(context: &Context<'_>, call: &Call) -> Step {
    let step = step_within_timeout(context, call);
    let holds_key = matches!(call.stage, Stage::Dispatching { .. } | Stage::Dispatched { .. });
    if holds_key { step } else { apply_gap_rules(context, call, step) }
}

/// Replaces a step that could run a key twice, or conclude as not run a key that may have run, if
/// this node may have missed records about the key.
///
/// A repetition may have run in records missed since the call arrived, and, if the caller may
/// have used the key before, an earlier call in records older than the table.
fn apply_gap_rules(context: &Context<'_>, call: &Call, step: Step) -> Step {
    let has_gap = call.base_offset + 1 < context.table_start_offset;
    match step {
        Step::Claim if has_gap && !call.details.is_repetition => {
            Step::Refuse(NotRunReason::LogSlow)
        }
        Step::Dispatch { .. } if has_gap && !call.details.is_repetition => {
            Step::EndNotRun(NotRunReason::LogSlow)
        }
        step if !call.details.is_repetition || (context.covers_key_lifetime && !has_gap) => step,
        Step::Claim | Step::Conclude(Conclusion::NotRun { .. }) => {
            in_doubt(InDoubtReason::LogTooShort)
        }
        Step::Dispatch { .. } | Step::EndNotRun(_) => Step::EndInDoubt(InDoubtReason::LogTooShort),
        step => step,
    }
}

fn step_within_timeout(context: &Context<'_>, call: &Call) -> Step {
    let step = step_of_stage(context, call);
    if call.concluded || context.now <= call.arrived_at + context.config.conclusion_timeout() {
        return step;
    }
    match step {
        Step::Dispatch { .. } => Step::EndNotRun(NotRunReason::LogSlow),
        Step::Wait | Step::Claim | Step::Refuse(_) => step_overdue(context, call),
        step => step,
    }
}

/// Concludes a call that has reached the conclusion time-out, whatever is still in progress.
fn step_overdue(context: &Context<'_>, call: &Call) -> Step {
    let is_key_known = context.table.get(call.key).is_some();
    match call.stage {
        Stage::Dispatching { .. } => Step::EndNotRun(NotRunReason::LogSlow),
        Stage::Dispatched { .. } => in_doubt(InDoubtReason::AnswerLate),
        _ if call.details.is_repetition || is_key_known => in_doubt(InDoubtReason::LogUnavailable),
        _ => Step::Refuse(NotRunReason::LogSlow),
    }
}

fn step_of_stage(context: &Context<'_>, call: &Call) -> Step {
    match call.stage {
        Stage::Dispatching { sent_at } => {
            if context.now > sent_at + context.config.dispatch_window {
                return Step::EndNotRun(NotRunReason::LogSlow);
            }
            return Step::Wait;
        }
        Stage::Dispatched { at } => {
            if !call.concluded && context.now > at + context.config.answer_timeout {
                return in_doubt(InDoubtReason::AnswerLate);
            }
            return Step::Wait;
        }
        _ => {}
    }
    if !context.is_caught_up {
        return step_catching_up(context, call);
    }
    match context.table.get(call.key) {
        None => step_unclaimed(context, call),
        Some(entry) if entry.nonce == call.nonce => step_as_holder(context, call, entry),
        Some(_) if call.concluded && call.read_back.is_some() => Step::Forget,
        Some(_) if call.concluded => step_concluded(context, call),
        Some(entry) => step_as_non_holder(context, call, entry),
    }
}

fn step_catching_up(context: &Context<'_>, call: &Call) -> Step {
    if call.concluded {
        return Step::Wait;
    }
    if !context.is_log_available {
        return Step::Refuse(NotRunReason::LogUnavailable);
    }
    if context.now > call.arrived_at + context.config.queue_timeout {
        return refusal_catching_up(call);
    }
    Step::Wait
}

/// Nothing is appended before the node has caught up, so a repetition, whose refusal must be in
/// the log, is in doubt.
fn refusal_catching_up(call: &Call) -> Step {
    if call.details.is_repetition {
        return in_doubt(InDoubtReason::LogUnavailable);
    }
    Step::Refuse(NotRunReason::Starting)
}

/// A concluded call whose claim has not appeared is kept for the lifetime of the key, so that a
/// late claim is ended.
fn step_concluded(context: &Context<'_>, call: &Call) -> Step {
    if context.now > call.arrived_at + context.config.key_lifetime {
        return Step::Forget;
    }
    Step::Wait
}

/// The key was not claimed, or is free again.
fn step_unclaimed(context: &Context<'_>, call: &Call) -> Step {
    if call.concluded {
        return step_concluded(context, call);
    }
    let now = context.now;
    let config = context.config;
    match call.stage {
        Stage::Waiting | Stage::Queued { .. } if !context.is_log_available => {
            Step::Refuse(NotRunReason::LogUnavailable)
        }
        Stage::Waiting => step_before_claim(context, call),
        Stage::Queued { at } if now > at + config.queue_timeout => {
            Step::Refuse(NotRunReason::LogSlow)
        }
        Stage::Sent { at } if now > at + config.dispatch_window => {
            Step::Refuse(NotRunReason::LogSlow)
        }
        Stage::Refusing { at, .. } if now > at + config.refusal_timeout => {
            in_doubt(InDoubtReason::LogUnavailable)
        }
        _ => Step::Wait,
    }
}

/// Claims the key once the predecessor in the sequence is answered.
fn step_before_claim(context: &Context<'_>, call: &Call) -> Step {
    let Some(position_key) = call.position_key else { return Step::Claim };
    match context.table.position_state(position_key, call.nonce) {
        PositionState::Ready => Step::Claim,
        PositionState::Passed => Step::Refuse(NotRunReason::PositionPassed),
        PositionState::Taken => Step::Refuse(NotRunReason::PositionTaken),
        PositionState::PredecessorPending
            if context.now > call.arrived_at + context.config.predecessor_timeout =>
        {
            Step::Refuse(NotRunReason::PredecessorUnanswered)
        }
        PositionState::PredecessorPending => Step::Wait,
    }
}

/// The effective claim or refusal of the key belongs to this call.
fn step_as_holder(context: &Context<'_>, call: &Call, entry: &Entry) -> Step {
    match (&entry.state, call.stage) {
        (State::Open, _) if call.concluded => Step::EndNotRun(NotRunReason::LogSlow),
        (State::Open, Stage::Sent { at }) => {
            step_before_dispatch(context, call, entry.fencing_token, at)
        }
        (State::Open, Stage::Refusing { reason, .. }) => Step::EndNotRun(reason),
        (State::Open, _) => Step::EndNotRun(NotRunReason::LogSlow),
        (_, _) if call.concluded => Step::Forget,
        (State::Expired, _) => Step::Conclude(Conclusion::KeyExpired),
        (State::NotRun { .. }, Stage::Refusing { reason, .. }) => {
            Step::Conclude(context.config.not_run(reason))
        }
        // Reached only if a record that this node did not write ended the claim.
        (State::NotRun { .. }, _) => {
            Step::Conclude(context.config.not_run(NotRunReason::Withdrawn))
        }
        (State::Answered(answer), _) => answered(answer),
        (State::InDoubt, _) => in_doubt(InDoubtReason::Recorded),
    }
}

/// The claim was read back: dispatches the call if the dispatch window is open and the
/// predecessor in the sequence is answered.
fn step_before_dispatch(
    context: &Context<'_>,
    call: &Call,
    fencing_token: Offset,
    sent_at: Duration,
) -> Step {
    if context.now > sent_at + context.config.dispatch_window {
        return Step::EndNotRun(NotRunReason::LogSlow);
    }
    let position_state = call.position_key.map_or(PositionState::Ready, |position_key| {
        context.table.position_state(position_key, call.nonce)
    });
    match position_state {
        PositionState::Ready => Step::Dispatch { fencing_token, sent_at },
        PositionState::PredecessorPending => Step::EndNotRun(NotRunReason::PredecessorUnanswered),
        PositionState::Passed => Step::EndNotRun(NotRunReason::PositionPassed),
        PositionState::Taken => Step::EndNotRun(NotRunReason::PositionTaken),
    }
}

/// The effective claim or refusal of the key belongs to another call.
fn step_as_non_holder(context: &Context<'_>, call: &Call, entry: &Entry) -> Step {
    if entry.state == State::Expired {
        return Step::Conclude(Conclusion::KeyExpired);
    }
    if entry.request != call.request {
        return Step::Conclude(Conclusion::Mismatch);
    }
    match &entry.state {
        State::Answered(answer) => answered(answer),
        State::InDoubt => in_doubt(InDoubtReason::Recorded),
        State::Open => {
            let has_holder_timed_out =
                context.now > entry.read_at + context.config.holder_timeout();
            let has_wait_timed_out = context.now > call.arrived_at + context.config.outcome_timeout;
            if has_holder_timed_out || has_wait_timed_out {
                in_doubt(InDoubtReason::HolderSilent)
            } else {
                Step::Wait
            }
        }
        State::NotRun { at } => step_released(context, call, *at),
        State::Expired => Step::Wait,
    }
}

/// The key was released at offset `at`, for calls that arrived after this node read that record.
///
/// If `at` is not before the last entry of this call, it voids the claims of all earlier calls,
/// so that none of them runs.
fn step_released(context: &Context<'_>, call: &Call, at: Offset) -> Step {
    if call.read_back.is_some_and(|offset| offset <= at) {
        let reason = match call.stage {
            Stage::Refusing { reason, .. } => reason,
            _ => NotRunReason::Withdrawn,
        };
        return Step::Conclude(context.config.not_run(reason));
    }
    match call.stage {
        Stage::Waiting | Stage::Queued { .. } if call.base_offset < at => {
            Step::Refuse(NotRunReason::Withdrawn)
        }
        Stage::Sent { .. } if call.read_back.is_some() => Step::Refuse(NotRunReason::Withdrawn),
        _ => step_unclaimed(context, call),
    }
}

fn answered(answer: &Answer) -> Step {
    Step::Conclude(Conclusion::Answered { answer: answer.clone(), is_replay: true })
}

fn in_doubt(reason: InDoubtReason) -> Step {
    Step::Conclude(Conclusion::InDoubt { reason })
}
