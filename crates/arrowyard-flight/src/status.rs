//! What a client is told, as gRPC's statuses, and what a host's status means for a send. One table each; the pages for
//! operators show the same.

use arrowyard_types::{Outcome, TimeDelta};

/// The codes of gRPC that are used here.
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
    /// Its number on the wire.
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
pub enum Fault {
    /// Nothing of it ran; come back after this span, if one is named.
    Busy(Option<TimeDelta>),
    /// It may have run.
    Errored,
    /// The client's time is up; it may have run.
    OutOfTime,
    /// What was asked cannot be an op.
    NoOp(String),
    /// More bytes than are taken.
    TooLarge(&'static str),
    /// More handles, streams or tickets than are kept at once; those of others make room with time.
    TooMany(&'static str),
    /// Not one of this router's tickets.
    Ticket(&'static str),
    /// A ticket that was one: plan again.
    Spent(&'static str),
    /// No such prepared statement (any more).
    Handle,
    /// The result broke off: what came before is no whole result.
    Cut,
    /// The host's result makes no sense; it may have run.
    Spoilt,
    /// Not offered.
    NotHere(&'static str),
}

impl Fault {
    /// Danger: libraries send anew by themselves on `UNAVAILABLE`, and on nothing else that stands here. So it is said
    /// only of what provably never ran.
    pub const fn code(&self) -> Code {
        match self {
            Fault::Busy(_) => Code::Unavailable,
            Fault::Errored => Code::Internal,
            Fault::OutOfTime => Code::DeadlineExceeded,
            Fault::NoOp(_) | Fault::Ticket(_) => Code::InvalidArgument,
            Fault::TooLarge(_) | Fault::TooMany(_) => Code::ResourceExhausted,
            Fault::Spent(_) => Code::FailedPrecondition,
            Fault::Handle => Code::NotFound,
            Fault::Cut => Code::Aborted,
            Fault::Spoilt => Code::DataLoss,
            Fault::NotHere(_) => Code::Unimplemented,
        }
    }

    pub fn text(&self) -> String {
        match self {
            Fault::Busy(_) => "busy; nothing of it ran".to_string(),
            Fault::Errored => "not answered; it may have run".to_string(),
            Fault::OutOfTime => "its time is up; it may have run".to_string(),
            Fault::NoOp(why) => why.clone(),
            Fault::TooLarge(what) => format!("{what}: more bytes than are taken"),
            Fault::TooMany(what) => format!("{what}: more than are kept at once"),
            Fault::Ticket(why) | Fault::Spent(why) | Fault::NotHere(why) => (*why).to_string(),
            Fault::Handle => "no such prepared statement, or it was closed".to_string(),
            Fault::Cut => "the result broke off; what came is not whole".to_string(),
            Fault::Spoilt => "the host's result makes no sense; it may have run".to_string(),
        }
    }

    /// When to come back, if that is told.
    pub const fn after(&self) -> Option<TimeDelta> {
        if let Fault::Busy(after) = self { *after } else { None }
    }
}

/// The metadata by which a host of ours says that it never began on what was sent: `full` where it has no room,
/// `miss` where it is not primary or its copy is too old. Without it a status is that of something that may have run.
pub const NEVER: &str = "arrowyard-never";

/// What a host's status means for a send that was wholly written. Danger: a status alone proves nothing: servers say
/// `UNAVAILABLE` of what they began on, too.
pub fn outcome(code: i32, never: Option<&str>) -> Outcome {
    match (code, never) {
        (0, _) => Outcome::Acked,
        (_, Some("full")) => Outcome::Overloaded,
        (_, Some("miss")) => Outcome::Misrouted,
        _ => Outcome::Errored,
    }
}
