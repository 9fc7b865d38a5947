//! Exit codes, the same for all commands.

use std::fmt::Display;
use std::process::ExitCode;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// Done; for `publish`, the note is in force.
    Done = 0,
    /// The note has faults; nothing was changed.
    Faults = 1,
    /// The command line or a setting is wrong; nothing was tried.
    Usage = 2,
    /// Another note came in force first; this one never will.
    AnotherWon = 3,
    /// Platform or node not reached, or the fate of the note not known; the message says which.
    Unreachable = 4,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}

/// Prints what is wrong with the command line.
pub(crate) fn usage(message: impl Display) -> Exit {
    eprintln!("{message}");
    Exit::Usage
}

/// Prints what could not be reached.
pub(crate) fn unreachable(message: impl Display) -> Exit {
    eprintln!("{message}");
    Exit::Unreachable
}
