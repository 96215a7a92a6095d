//! Codes of `FAULT` responses.

/// The code of a `FAULT` response.
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
    /// A code that this version does not know.
    Other,
}

/// Whether a statement may have been executed, as far as a response or its absence tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// Nothing was executed or persisted.
    NotRun,
    /// It was executed and failed.
    Ran,
    /// It may have been executed.
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

    /// Parses a code; unknown codes become [`FaultCode::Other`].
    pub fn parse(code: &str) -> FaultCode {
        FaultCode::ALL.iter().find(|(_, name)| *name == code).map_or(FaultCode::Other, |(known, _)| *known)
    }

    /// The code on the wire.
    pub fn as_str(self) -> &'static str {
        FaultCode::ALL.iter().find(|(code, _)| *code == self).map_or("UNKNOWN", |(_, name)| name)
    }

    /// Whether the statement may have been executed. Only codes for which the protocol guarantees it count
    /// as not run; a retry after any other code could execute the statement twice.
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
