use crate::{FaultCode, Position, split_word};

/// The state of a session after each statement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TransactionState {
    #[default]
    Idle,
    InTransaction,
    Failed,
}

impl TransactionState {
    const LETTERS: [(TransactionState, &'static str); 3] = [
        (TransactionState::Idle, "I"),
        (TransactionState::InTransaction, "T"),
        (TransactionState::Failed, "E"),
    ];

    pub fn letter(self) -> &'static str {
        Self::LETTERS.iter().find(|(state, _)| *state == self).map_or("I", |(_, letter)| letter)
    }

    fn parse(letter: &str) -> Option<TransactionState> {
        Self::LETTERS.iter().find(|(_, known)| *known == letter).map(|(state, _)| *state)
    }
}

/// What a host answers, a line at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response<'a> {
    Row(&'a str),
    Settled(&'a str),
    Fault { code: FaultCode, text: &'a str },
    Idle { state: TransactionState, position: Option<Position> },
}

impl<'a> Response<'a> {
    /// Reads one line, without its end. Nothing for what is none of these.
    pub fn parse(line: &'a str) -> Option<Self> {
        let (word, rest) = split_word(line);
        match word {
            "ROW" => Some(Response::Row(rest)),
            "SETTLED" => Some(Response::Settled(rest)),
            "FAULT" => {
                let (code, text) = split_word(rest);
                Some(Response::Fault { code: FaultCode::parse(code), text })
            }
            "IDLE" => {
                let (state, position) = split_word(rest);
                Some(Response::Idle {
                    state: TransactionState::parse(state)?,
                    position: Position::parse(position),
                })
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
    pub fn parse(row: &str) -> Option<Self> {
        let mut fields = row.split_ascii_whitespace();
        let primary = match fields.next()? {
            "primary" => true,
            "replica" => false,
            _ => return None,
        };
        let term = fields.next()?.parse().ok()?;
        let received = match fields.next()? {
            "-" => Position::default(),
            position => Position::parse(position)?,
        };
        Some(Observed { primary, term, received })
    }
}
