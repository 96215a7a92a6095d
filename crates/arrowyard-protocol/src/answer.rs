use crate::{Code, Position, split};

/// The state of a session after each statement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    #[default]
    Idle,
    InTransaction,
    Failed,
}

impl State {
    const LETTERS: [(State, &'static str); 3] =
        [(State::Idle, "I"), (State::InTransaction, "T"), (State::Failed, "E")];

    pub fn letter(self) -> &'static str {
        Self::LETTERS.iter().find(|(state, _)| *state == self).map_or("I", |(_, letter)| letter)
    }

    fn read(letter: &str) -> Option<State> {
        Self::LETTERS.iter().find(|(_, known)| *known == letter).map(|(state, _)| *state)
    }
}

/// What a host answers, a line at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer<'a> {
    Row(&'a str),
    Settled(&'a str),
    Fault { code: Code, text: &'a str },
    Idle { state: State, position: Option<Position> },
}

impl<'a> Answer<'a> {
    /// Reads one line, without its end. Nothing for what is none of these.
    pub fn read(line: &'a str) -> Option<Self> {
        let (word, rest) = split(line);
        match word {
            "ROW" => Some(Answer::Row(rest)),
            "SETTLED" => Some(Answer::Settled(rest)),
            "FAULT" => {
                let (code, text) = split(rest);
                Some(Answer::Fault { code: Code::read(code), text })
            }
            "IDLE" => {
                let (state, position) = split(rest);
                Some(Answer::Idle { state: State::read(state)?, position: Position::read(position) })
            }
            _ => None,
        }
    }
}

/// What a host tells of itself when asked with `OBSERVE`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Observed {
    pub primary: bool,
    pub term: u64,
    /// What it has received, which may be more than it has applied.
    pub received: Position,
}

impl Observed {
    /// Reads the row: role, term, position received, term held, lag in ms, busy, connections.
    pub fn read(row: &str) -> Option<Self> {
        let mut fields = row.split_ascii_whitespace();
        let primary = match fields.next()? {
            "primary" => true,
            "replica" => false,
            _ => return None,
        };
        let term = fields.next()?.parse().ok()?;
        let received = match fields.next()? {
            "-" => Position::default(),
            position => Position::read(position)?,
        };
        Some(Observed { primary, term, received })
    }
}
