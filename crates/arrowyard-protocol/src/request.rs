//! Messages from clients to routers and from routers to hosts.

use crate::split_word;

/// A message from a client to a router, or from a router to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request<'a> {
    Open { database: &'a str, user: &'a str },
    Query { id: &'a str, text: &'a str },
    Close,
}

impl<'a> Request<'a> {
    /// Parses one line without its terminator; `None` if it is not a valid request.
    pub fn parse(line: &'a str) -> Option<Self> {
        let (keyword, rest) = split_word(line);
        match keyword {
            "OPEN" => {
                let (database, user) = split_word(rest);
                (!database.is_empty()).then_some(Request::Open { database, user })
            }
            "QUERY" => {
                let (id, text) = split_word(rest);
                (!id.is_empty() && !text.is_empty()).then_some(Request::Query { id, text })
            }
            "CLOSE" => Some(Request::Close),
            _ => None,
        }
    }
}
