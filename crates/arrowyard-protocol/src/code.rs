/// The code of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    Saturated,
    Reverted,
    Lagging,
    ReadOnly,
    Misrouted,
    Overload,
    Undefined,
    Failed,
    Expired,
    Unknown,
    Malformed,
    NoDatabase,
    Oversize,
    /// A code that this page does not know.
    Other,
}

/// What an answer, or its absence, says of whether a request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing of it ran or is kept.
    NotRun,
    /// It ran, and failed.
    Ran,
    /// It may have run.
    MayHaveRun,
}

impl Code {
    const ALL: [(Code, &'static str); 13] = [
        (Code::Saturated, "SATURATED"),
        (Code::Reverted, "REVERTED"),
        (Code::Lagging, "LAGGING"),
        (Code::ReadOnly, "READONLY"),
        (Code::Misrouted, "MISROUTED"),
        (Code::Overload, "OVERLOAD"),
        (Code::Undefined, "UNDEFINED"),
        (Code::Failed, "FAILED"),
        (Code::Expired, "EXPIRED"),
        (Code::Unknown, "UNKNOWN"),
        (Code::Malformed, "MALFORMED"),
        (Code::NoDatabase, "NODB"),
        (Code::Oversize, "OVERSIZE"),
    ];

    pub fn read(word: &str) -> Code {
        Code::ALL.iter().find(|(_, name)| *name == word).map_or(Code::Other, |(code, _)| *code)
    }

    pub fn word(self) -> &'static str {
        Code::ALL.iter().find(|(code, _)| *code == self).map_or("UNKNOWN", |(_, name)| name)
    }

    /// What a host's fault says. Danger: only what the page on the protocol promises counts as not run.
    pub fn verdict(self) -> Verdict {
        match self {
            Code::Saturated
            | Code::Reverted
            | Code::Lagging
            | Code::ReadOnly
            | Code::Misrouted
            | Code::Overload
            | Code::Undefined => Verdict::NotRun,
            Code::Failed => Verdict::Ran,
            _ => Verdict::MayHaveRun,
        }
    }
}
