use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::{
    CellId, Cookie, GroupId, HostId, OpId, OpType, OpTypeId, PeerId, Point, SendNo, SessionId, Span,
    TenantId, ZoneId,
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

/// Reading a manifest by name; what was not told is false, zero, empty or the given value.
pub trait Facts {
    fn flag(&self, name: &str) -> bool;
    fn number_or(&self, name: &str, otherwise: f64) -> f64;
    fn span(&self, name: &str) -> Span;
    fn text(&self, name: &str) -> &str;
}

impl Facts for Manifest {
    fn flag(&self, name: &str) -> bool {
        self.get(name) == Some(&Fact::Flag(true))
    }

    fn number_or(&self, name: &str, otherwise: f64) -> f64 {
        if let Some(Fact::Number(number)) = self.get(name) { *number } else { otherwise }
    }

    fn span(&self, name: &str) -> Span {
        if let Some(Fact::Span(span)) = self.get(name) { *span } else { Span::ZERO }
    }

    fn text(&self, name: &str) -> &str {
        if let Some(Fact::Text(text)) = self.get(name) { text } else { "" }
    }
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

/// A group that a host takes part in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    pub group: GroupId,
    /// It takes part as the group's primary only, and never as one of the replicas that take its reads.
    pub guest: bool,
}

/// One group, but where cells divide hosts.
pub type Parts = SmallVec<[Part; 1]>;

/// One line of the list of database hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub host: HostId,
    /// What all routers call it; a `HostId` is this router's own number.
    pub tag: u32,
    pub availability: Availability,
    pub parts: Parts,
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
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ask {
    pub op: OpId,
    pub op_type: OpTypeId,
    pub tenant: Option<TenantId>,
    /// Whose budget of further sends it spends; 0 where there are no cells.
    pub cell: CellId,
    pub group: GroupId,
    pub session: Option<SessionId>,
    /// How long ago the session's last write was committed; zero for none, absent where it is not told.
    pub token_age: Option<Span>,
    /// What a read must see at least, whatever its session; nothing but for a tenant that moved.
    pub floor: Option<Point>,
    /// Whether the client said that it asks again.
    pub again: bool,
    /// When the client gives up.
    pub due: Point,
    /// The only host that it may go to: the one that holds the transaction which it is part of.
    pub pinned: Option<HostId>,
}

/// The end of a send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ended {
    pub op: OpId,
    pub send: SendNo,
    pub host: HostId,
    pub outcome: Outcome,
    /// How long ago it was sent.
    pub took: Span,
    /// Whether the op is over, by this outcome or before it.
    pub finished: bool,
    pub word: Word,
}

/// What reaches a router.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    Listed {
        form: ListForm,
        entries: Vec<Entry>,
    },
    ListFailed,
    /// How many further sends a cell may make from now on; none: as many as it likes.
    Spare {
        cell: CellId,
        sends: Option<u32>,
    },
    Asked(Ask),
    SendEnded(Ended),
    HungUp {
        op: OpId,
    },
    Rang {
        cookie: Cookie,
    },
    Probed {
        host: HostId,
        outcome: Outcome,
        word: Word,
    },
    Told {
        from: PeerId,
        bytes: Vec<u8>,
    },
    /// From now on these are the op types. A row that was told before still says the same.
    OpTypes(Vec<OpType>),
    /// Whoever knows which host is primary says so, as of now.
    Named {
        host: HostId,
        role: Role,
    },
    /// So many ops of a tenant may be unfinished at a host from now on; with nothing, as many as the host bears. With a
    /// broken number one more is out for that part of the time.
    Held {
        host: HostId,
        tenant: TenantId,
        most: Option<f64>,
    },
    /// Shares are reckoned by this number of routers from now on.
    Fleet {
        routers: f64,
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
