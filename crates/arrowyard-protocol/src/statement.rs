use crate::split_word;

/// Whether a prepared statement reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AccessMode {
    Read,
    Write,
}

impl AccessMode {
    pub fn as_str(self) -> &'static str {
        if self == AccessMode::Read { "READ" } else { "WRITE" }
    }
}

/// The text of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Statement<'a> {
    Begin { read: bool },
    Commit,
    Abort,
    Read,
    Write,
    Assign { name: &'a str, value: &'a str },
    Define { name: &'a str, mode: AccessMode, shape: &'a str },
    Run { name: &'a str, rest: &'a str },
    Undefine { name: &'a str },
}

impl<'a> Statement<'a> {
    /// Reads the text of a statement. Nothing for what is none of these.
    pub fn parse(text: &'a str) -> Option<Self> {
        let (word, rest) = split_word(text);
        let named = |name: &str| !name.is_empty();
        match word {
            "BEGIN" if rest.is_empty() => Some(Statement::Begin { read: false }),
            "BEGIN" if rest == "READ" => Some(Statement::Begin { read: true }),
            "COMMIT" if rest.is_empty() => Some(Statement::Commit),
            "ABORT" if rest.is_empty() => Some(Statement::Abort),
            "READ" if named(rest) => Some(Statement::Read),
            "WRITE" if named(rest) => Some(Statement::Write),
            "ASSIGN" => {
                let (name, value) = split_word(rest);
                named(name).then_some(Statement::Assign { name, value })
            }
            "DEFINE" => {
                let (name, rest) = split_word(rest);
                let (mode, shape) = split_word(rest);
                let mode = match mode {
                    "READ" => AccessMode::Read,
                    "WRITE" => AccessMode::Write,
                    _ => return None,
                };
                (named(name) && named(shape)).then_some(Statement::Define { name, mode, shape })
            }
            "RUN" => {
                let (name, rest) = split_word(rest);
                named(name).then_some(Statement::Run { name, rest })
            }
            "UNDEFINE" => named(rest).then_some(Statement::Undefine { name: rest }),
            _ => None,
        }
    }
}
