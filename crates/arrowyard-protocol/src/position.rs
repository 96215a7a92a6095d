//! Positions in the replication log of a host.

use std::fmt;

/// A position in the replication log of a host. Positions are ordered by term first: a commit with a higher
/// number in an older term may have been truncated by a promotion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// Incremented by each promotion.
    pub term: u64,
    /// Number of the commit.
    pub number: u64,
}

impl Position {
    /// Parses `TERM.NUMBER`; `None` for `-` and anything else.
    pub fn parse(text: &str) -> Option<Self> {
        let (term, number) = text.split_once('.')?;
        let digits = |part: &str| part.bytes().all(|byte| byte.is_ascii_digit());
        if !digits(term) || !digits(number) {
            return None;
        }
        Some(Position { term: term.parse().ok()?, number: number.parse().ok()? })
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.number)
    }
}
