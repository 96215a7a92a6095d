use std::fmt;

/// A position in a host's log. Danger: positions compare by their term first; a higher number of an older term is a
/// commit that a promote may have cut back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    pub term: u64,
    pub number: u64,
}

impl Position {
    /// Reads `TERM.NUMBER`; nothing for `-` and all else.
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
