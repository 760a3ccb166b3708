//! The exit status of the program.

use std::process::ExitCode;

/// Exit status of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Success: answered, or the change was accepted (with `--wait`: is in force).
    Done = 0,
    /// Nothing was changed: no answer to a query, or no leader for a change.
    Failed = 1,
    /// A setting is missing or wrong; nothing was sent.
    Usage = 2,
    /// The change was refused; it was not made and never will be.
    Refused = 3,
    /// Another change of the same object was made first.
    Conflict = 4,
    /// The change may or may not take effect.
    Unknown = 5,
    /// The change was accepted, but is not complete or not in force everywhere
    /// by the deadline.
    Pending = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}

/// Text of `--help` on the exit codes.
pub const EXIT_CODES: &str = "\
Exit codes:
  0  answered; for changes: accepted (with --wait: in force on every live node)
  1  failed: nothing was changed; it is safe to try again
  2  usage: a setting is missing or wrong; nothing was sent
  3  refused, with the reason: the change was not made
  4  conflict: another change came first; its revision and author are named
  5  outcome unknown: resend by the printed command, which keeps the change id
  6  accepted, but not complete or not everywhere in force by the deadline

Exit codes of `call`:
  0  answered with a status of 2xx or 3xx
  1  answered with an error status, or the answer broke off
  2  usage: a setting is missing or wrong; nothing was sent
  3  the request was not run
  5  the request may have been run

Exit codes of `check`:
  0  nothing was found that is an error or a warning
  1  warnings
  2  errors, or the control host of --against was not reached";
