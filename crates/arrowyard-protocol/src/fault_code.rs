/// The code of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultCode {
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
pub enum ExecutionStatus {
    /// Nothing of it ran or is kept.
    NotRun,
    /// It ran, and failed.
    Ran,
    /// It may have run.
    MayHaveRun,
}

impl FaultCode {
    const ALL: [(FaultCode, &'static str); 13] = [
        (FaultCode::Saturated, "SATURATED"),
        (FaultCode::Reverted, "REVERTED"),
        (FaultCode::Lagging, "LAGGING"),
        (FaultCode::ReadOnly, "READONLY"),
        (FaultCode::Misrouted, "MISROUTED"),
        (FaultCode::Overload, "OVERLOAD"),
        (FaultCode::Undefined, "UNDEFINED"),
        (FaultCode::Failed, "FAILED"),
        (FaultCode::Expired, "EXPIRED"),
        (FaultCode::Unknown, "UNKNOWN"),
        (FaultCode::Malformed, "MALFORMED"),
        (FaultCode::NoDatabase, "NODB"),
        (FaultCode::Oversize, "OVERSIZE"),
    ];

    pub fn parse(word: &str) -> FaultCode {
        FaultCode::ALL.iter().find(|(_, name)| *name == word).map_or(FaultCode::Other, |(code, _)| *code)
    }

    pub fn as_str(self) -> &'static str {
        FaultCode::ALL.iter().find(|(code, _)| *code == self).map_or("UNKNOWN", |(_, name)| name)
    }

    /// What a host's fault says. Danger: only what the page on the protocol promises counts as not run.
    pub fn execution_status(self) -> ExecutionStatus {
        match self {
            FaultCode::Saturated
            | FaultCode::Reverted
            | FaultCode::Lagging
            | FaultCode::ReadOnly
            | FaultCode::Misrouted
            | FaultCode::Overload
            | FaultCode::Undefined => ExecutionStatus::NotRun,
            FaultCode::Failed => ExecutionStatus::Ran,
            _ => ExecutionStatus::MayHaveRun,
        }
    }
}
