//! Exit codes, the same for all commands.

use std::fmt::Display;
use std::process::ExitCode;

/// Result of a command; the discriminant is the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// Done; for `publish`, the note is in force.
    Done = 0,
    /// The note has faults; nothing was changed.
    Faults = 1,
    /// The command line or a setting is invalid; nothing was attempted.
    Usage = 2,
    /// Another note came into force first; this one never will.
    Conflict = 3,
    /// Platform or node not reached, nothing to show, or the outcome of a publish not known; the
    /// message says which.
    Unreachable = 4,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}

/// Prints `message` to stderr and returns [`Exit::Usage`].
pub(crate) fn usage(message: impl Display) -> Exit {
    eprintln!("{message}");
    Exit::Usage
}

/// Prints `message` to stderr and returns [`Exit::Unreachable`].
pub(crate) fn unreachable(message: impl Display) -> Exit {
    eprintln!("{message}");
    Exit::Unreachable
}
