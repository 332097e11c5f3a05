//! Exit codes of the program.

use std::process::ExitCode;

/// The result of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The command failed.
    Failed,
    /// The command line is invalid.
    Usage,
    /// The patch names a base version that is no longer in force.
    Stale,
    /// The settings or the patch are invalid.
    Invalid,
    /// The operator interface or the platform could not be reached.
    Unreachable,
    /// A graceful stop exceeded its grace period, and the process was ended.
    Overdue,
}

impl Exit {
    /// Returns the exit code, which is part of the documented interface.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Stale => 3,
            Self::Invalid => 4,
            Self::Unreachable => 5,
            Self::Overdue => 6,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
