//! Text of statements.

use crate::split_word;

/// Whether a prepared statement reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AccessMode {
    Read,
    Write,
}

impl AccessMode {
    /// The keyword on the wire.
    pub fn as_str(self) -> &'static str {
        if self == AccessMode::Read { "READ" } else { "WRITE" }
    }
}

/// A parsed statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Statement<'a> {
    /// Begins a transaction, read-only if `read` is set.
    Begin {
        read: bool,
    },
    Commit,
    Abort,
    Read,
    Write,
    /// Sets a session variable.
    Assign {
        name: &'a str,
        value: &'a str,
    },
    /// Prepares a statement of the given shape.
    Define {
        name: &'a str,
        mode: AccessMode,
        shape: &'a str,
    },
    /// Executes a prepared statement.
    Run {
        name: &'a str,
        rest: &'a str,
    },
    /// Drops a prepared statement.
    Undefine {
        name: &'a str,
    },
}

impl<'a> Statement<'a> {
    /// Parses the text of a statement; `None` if it is not a valid statement.
    pub fn parse(text: &'a str) -> Option<Self> {
        let (keyword, rest) = split_word(text);
        let non_empty = |name: &str| !name.is_empty();
        match keyword {
            "BEGIN" if rest.is_empty() => Some(Statement::Begin { read: false }),
            "BEGIN" if rest == "READ" => Some(Statement::Begin { read: true }),
            "COMMIT" if rest.is_empty() => Some(Statement::Commit),
            "ABORT" if rest.is_empty() => Some(Statement::Abort),
            "READ" if non_empty(rest) => Some(Statement::Read),
            "WRITE" if non_empty(rest) => Some(Statement::Write),
            "ASSIGN" => {
                let (name, value) = split_word(rest);
                non_empty(name).then_some(Statement::Assign { name, value })
            }
            "DEFINE" => {
                let (name, rest) = split_word(rest);
                let (mode, shape) = split_word(rest);
                let mode = match mode {
                    "READ" => AccessMode::Read,
                    "WRITE" => AccessMode::Write,
                    _ => return None,
                };
                (non_empty(name) && non_empty(shape)).then_some(Statement::Define { name, mode, shape })
            }
            "RUN" => {
                let (name, rest) = split_word(rest);
                non_empty(name).then_some(Statement::Run { name, rest })
            }
            "UNDEFINE" => non_empty(rest).then_some(Statement::Undefine { name: rest }),
            _ => None,
        }
    }
}
