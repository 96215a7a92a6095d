//! Messages from hosts to routers and from routers to clients.

use crate::{FaultCode, Position, split_word};

/// The transaction state of a session after a statement.
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

    /// The letter of this state on the wire.
    pub fn letter(self) -> &'static str {
        Self::LETTERS.iter().find(|(state, _)| *state == self).map_or("I", |(_, letter)| letter)
    }

    fn parse(letter: &str) -> Option<TransactionState> {
        Self::LETTERS.iter().find(|(_, known)| *known == letter).map(|(state, _)| *state)
    }
}

/// One line of the response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response<'a> {
    /// A row of the result.
    Row(&'a str),
    /// The statement succeeded; the field is its stamp, or `-`.
    Settled(&'a str),
    /// The statement failed.
    Fault { code: FaultCode, text: &'a str },
    /// The end of a response, with the host's applied log position if it is known.
    Idle { state: TransactionState, position: Option<Position> },
}

impl<'a> Response<'a> {
    /// Parses one line without its terminator; `None` if it is not a valid response.
    pub fn parse(line: &'a str) -> Option<Self> {
        let (keyword, rest) = split_word(line);
        match keyword {
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

/// The replication state that a host reports for `OBSERVE`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Observed {
    /// Whether the host is a primary.
    pub primary: bool,
    pub term: u64,
    /// Log position received, which may be ahead of the position applied.
    pub received: Position,
}

impl Observed {
    /// Parses the row: role, term, position received, term held, lag in ms, busy, connections. The last four
    /// are ignored.
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
