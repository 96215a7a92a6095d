//! gRPC statuses: those sent to clients, and the outcome of a send by the host's status.

use arrowyard_types::{Outcome, TimeDelta};

/// The gRPC status codes that the router sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    InvalidArgument,
    DeadlineExceeded,
    NotFound,
    ResourceExhausted,
    FailedPrecondition,
    Aborted,
    Unimplemented,
    Internal,
    Unavailable,
    DataLoss,
}

impl Code {
    /// The code's number on the wire.
    pub const fn number(self) -> i32 {
        match self {
            Code::InvalidArgument => 3,
            Code::DeadlineExceeded => 4,
            Code::NotFound => 5,
            Code::ResourceExhausted => 8,
            Code::FailedPrecondition => 9,
            Code::Aborted => 10,
            Code::Unimplemented => 12,
            Code::Internal => 13,
            Code::Unavailable => 14,
            Code::DataLoss => 15,
        }
    }
}

/// Why a client gets no result, or no more of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The op did not run; the client may retry after this delay, if there is one.
    Busy(Option<TimeDelta>),
    /// The op may have run.
    Errored,
    /// The op's deadline passed; it may have run.
    DeadlineExceeded,
    /// The call does not describe a valid op.
    InvalidOp(String),
    /// The named object exceeds its size limit.
    TooLarge(&'static str),
    /// The limit on the named objects is reached.
    TooMany(&'static str),
    /// The ticket was not issued by this router or was changed.
    InvalidTicket(&'static str),
    /// The ticket is expired or was redeemed; the client must get a new one.
    SpentTicket(&'static str),
    /// The prepared statement does not exist or was closed.
    UnknownHandle,
    /// The result was interrupted; the client has only a part of it.
    Interrupted,
    /// The host's result is malformed; the op may have run.
    InvalidResult,
    /// The call is not supported.
    Unimplemented(&'static str),
}

impl CallError {
    /// The status code. Client libraries retry by themselves on `UNAVAILABLE`, so that this code is only
    /// used for ops that certainly did not run.
    pub const fn code(&self) -> Code {
        match self {
            CallError::Busy(_) => Code::Unavailable,
            CallError::Errored => Code::Internal,
            CallError::DeadlineExceeded => Code::DeadlineExceeded,
            CallError::InvalidOp(_) | CallError::InvalidTicket(_) => Code::InvalidArgument,
            CallError::TooLarge(_) | CallError::TooMany(_) => Code::ResourceExhausted,
            CallError::SpentTicket(_) => Code::FailedPrecondition,
            CallError::UnknownHandle => Code::NotFound,
            CallError::Interrupted => Code::Aborted,
            CallError::InvalidResult => Code::DataLoss,
            CallError::Unimplemented(_) => Code::Unimplemented,
        }
    }

    /// The message of the status.
    pub fn message(&self) -> String {
        match self {
            CallError::Busy(_) => "busy; the op did not run".to_string(),
            CallError::Errored => "the op failed; it may have run".to_string(),
            CallError::DeadlineExceeded => "the op's deadline passed; it may have run".to_string(),
            CallError::InvalidOp(reason) => reason.clone(),
            CallError::TooLarge(object) => format!("{object}: the size limit is exceeded"),
            CallError::TooMany(objects) => format!("too many {objects}"),
            CallError::InvalidTicket(reason)
            | CallError::SpentTicket(reason)
            | CallError::Unimplemented(reason) => (*reason).to_string(),
            CallError::UnknownHandle => "the prepared statement does not exist or was closed".to_string(),
            CallError::Interrupted => {
                "the result was interrupted; the rows received are incomplete".to_string()
            }
            CallError::InvalidResult => "the host's result is malformed; the op may have run".to_string(),
        }
    }

    /// The retry delay to send to the client, if there is one.
    pub const fn retry_after(&self) -> Option<TimeDelta> {
        if let CallError::Busy(retry_after) = self { *retry_after } else { None }
    }
}

/// The metadata key by which a host declares that it did not start the op: `full` if it is overloaded, `miss`
/// if it is not the primary or its copy is too old. Without this key the op may have run.
pub const NEVER_RAN_KEY: &str = "arrowyard-never";

/// The outcome of a completely written send, from the host's status code and its `NEVER_RAN_KEY` value. The
/// status code is not sufficient: servers also send `UNAVAILABLE` for ops that they started.
pub fn send_outcome(code: i32, never_ran: Option<&str>) -> Outcome {
    match (code, never_ran) {
        (0, _) => Outcome::Acked,
        (_, Some("full")) => Outcome::Overloaded,
        (_, Some("miss")) => Outcome::Misrouted,
        _ => Outcome::Errored,
    }
}
