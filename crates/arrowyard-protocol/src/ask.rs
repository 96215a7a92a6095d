use crate::split;

/// What a client says, and a router to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask<'a> {
    Open { database: &'a str, who: &'a str },
    Query { id: &'a str, text: &'a str },
    Close,
}

impl<'a> Ask<'a> {
    /// Reads one line, without its end. Nothing for what is none of these.
    pub fn read(line: &'a str) -> Option<Self> {
        let (word, rest) = split(line);
        match word {
            "OPEN" => {
                let (database, who) = split(rest);
                (!database.is_empty()).then_some(Ask::Open { database, who })
            }
            "QUERY" => {
                let (id, text) = split(rest);
                (!id.is_empty() && !text.is_empty()).then_some(Ask::Query { id, text })
            }
            "CLOSE" => Some(Ask::Close),
            _ => None,
        }
    }
}
