use std::collections::BTreeMap;

use crate::{
    Cookie, GroupId, HostId, OpId, OpTypeId, PeerId, Point, SendNo, SessionId, Span, TenantId, ZoneId,
};

/// What a router is told when it starts: names to values. Rows carry their number in the name, as in
/// `op_type.0.latency_target`; a name that was not told is absent.
pub type Manifest = BTreeMap<String, Fact>;

#[derive(Clone, Debug, PartialEq)]
pub enum Fact {
    Flag(bool),
    Number(f64),
    Span(Span),
    Text(String),
}

/// The role of a database host within its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Primary,
    Replica,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    Ready,
    Draining,
    Gone,
}

/// One line of the list of database hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub host: HostId,
    pub availability: Availability,
    pub group: GroupId,
    pub zone: ZoneId,
    pub size: f64,
    pub primary: bool,
    pub started: Option<Point>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListForm {
    /// Changed entries only.
    Changes,
    /// The whole list.
    Whole,
    /// The whole list as this router last had it, perhaps old.
    Saved,
}

/// How a send or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Acked,
    Errored,
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    Moot,
    Miss,
}

impl Outcome {
    /// Whether the host answered at all.
    pub const fn is_answer(self) -> bool {
        matches!(self, Outcome::Acked | Outcome::Errored | Outcome::Full | Outcome::Miss)
    }

    /// Whether the outcome proves that the send never ran.
    pub const fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot | Outcome::Miss)
    }
}

/// What a host said of itself: with an answer as of that answer, in a report as of some time before.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Word {
    pub role: Option<Role>,
    /// It has applied every commit up to here.
    pub position: Option<Point>,
    /// Share of its cores that are busy.
    pub util: Option<f64>,
    /// Ops that wait in it.
    pub queue: Option<f64>,
}

/// A new op, as a client asked for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ask {
    pub op: OpId,
    pub op_type: OpTypeId,
    pub tenant: Option<TenantId>,
    pub group: GroupId,
    pub session: Option<SessionId>,
    /// How long ago the session's last write was committed; zero for none, absent where it is not told.
    pub token_age: Option<Span>,
    /// Whether the client said that it asks again.
    pub again: bool,
    /// When the client gives up.
    pub due: Point,
}

/// What reaches a router.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    Listed {
        form: ListForm,
        entries: Vec<Entry>,
    },
    ListFailed,
    Asked(Ask),
    SendEnded {
        op: OpId,
        send: SendNo,
        host: HostId,
        outcome: Outcome,
        took: Span,
        finished: bool,
        word: Word,
    },
    HungUp {
        op: OpId,
    },
    Rang {
        cookie: Cookie,
    },
    Probed {
        host: HostId,
        outcome: Outcome,
        took: Span,
        word: Word,
    },
    Told {
        from: PeerId,
        bytes: Vec<u8>,
    },
}

/// What a router wants done; in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send { op: OpId, host: HostId, until: Point },
    Cancel { op: OpId, send: SendNo },
    BusyReply { op: OpId, retry_after: Option<Span> },
    ErrorReply { op: OpId },
    Probe { host: HostId },
    Ring { after: Span, cookie: Cookie },
    Subscribe { on: bool },
    FetchList,
    CloseIdle { host: HostId },
    Tell { to: Option<PeerId>, bytes: Vec<u8> },
    Log { text: String },
}
