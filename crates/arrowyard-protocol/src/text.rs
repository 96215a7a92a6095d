use crate::split;

/// Whether a prepared statement reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mode {
    Read,
    Write,
}

impl Mode {
    pub fn word(self) -> &'static str {
        if self == Mode::Read { "READ" } else { "WRITE" }
    }
}

/// The text of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Text<'a> {
    Begin { read: bool },
    Commit,
    Abort,
    Read,
    Write,
    Assign { name: &'a str, value: &'a str },
    Define { name: &'a str, mode: Mode, shape: &'a str },
    Run { name: &'a str, rest: &'a str },
    Undefine { name: &'a str },
}

impl<'a> Text<'a> {
    /// Reads the text of a statement. Nothing for what is none of these.
    pub fn read(text: &'a str) -> Option<Self> {
        let (word, rest) = split(text);
        let named = |name: &str| !name.is_empty();
        match word {
            "BEGIN" if rest.is_empty() => Some(Text::Begin { read: false }),
            "BEGIN" if rest == "READ" => Some(Text::Begin { read: true }),
            "COMMIT" if rest.is_empty() => Some(Text::Commit),
            "ABORT" if rest.is_empty() => Some(Text::Abort),
            "READ" if named(rest) => Some(Text::Read),
            "WRITE" if named(rest) => Some(Text::Write),
            "ASSIGN" => {
                let (name, value) = split(rest);
                named(name).then_some(Text::Assign { name, value })
            }
            "DEFINE" => {
                let (name, rest) = split(rest);
                let (mode, shape) = split(rest);
                let mode = match mode {
                    "READ" => Mode::Read,
                    "WRITE" => Mode::Write,
                    _ => return None,
                };
                (named(name) && named(shape)).then_some(Text::Define { name, mode, shape })
            }
            "RUN" => {
                let (name, rest) = split(rest);
                named(name).then_some(Text::Run { name, rest })
            }
            "UNDEFINE" => named(rest).then_some(Text::Undefine { name: rest }),
            _ => None,
        }
    }
}
