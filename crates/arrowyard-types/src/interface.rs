use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::{
    CellId, GroupId, HostId, OpId, OpType, OpTypeId, PeerId, SendIndex, SessionId, TenantId, TimeDelta,
    TimerId, Timestamp, ZoneId,
};

/// What a router is told when it starts: names to values. Rows carry their number in the name, as in
/// `op_type.0.latency_target`; a name that was not told is absent.
pub type RouterSettings = BTreeMap<String, SettingValue>;

#[derive(Clone, Debug, PartialEq)]
pub enum SettingValue {
    Flag(bool),
    Number(f64),
    TimeDelta(TimeDelta),
    Text(String),
}

/// Reading a manifest by name; what was not told is false, zero, empty or the given value.
pub trait RouterSettingsExt {
    fn flag(&self, name: &str) -> bool;
    fn number_or(&self, name: &str, otherwise: f64) -> f64;
    fn time_delta(&self, name: &str) -> TimeDelta;
    fn text(&self, name: &str) -> &str;
}

impl RouterSettingsExt for RouterSettings {
    fn flag(&self, name: &str) -> bool {
        self.get(name) == Some(&SettingValue::Flag(true))
    }

    fn number_or(&self, name: &str, otherwise: f64) -> f64 {
        if let Some(SettingValue::Number(number)) = self.get(name) { *number } else { otherwise }
    }

    fn time_delta(&self, name: &str) -> TimeDelta {
        if let Some(SettingValue::TimeDelta(span)) = self.get(name) { *span } else { TimeDelta::ZERO }
    }

    fn text(&self, name: &str) -> &str {
        if let Some(SettingValue::Text(text)) = self.get(name) { text } else { "" }
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
pub struct GroupMembership {
    pub group: GroupId,
    /// It takes part as the group's primary only, and never as one of the replicas that take its reads.
    pub primary_only: bool,
}

/// One group, but where cells divide hosts.
pub type GroupMemberships = SmallVec<[GroupMembership; 1]>;

/// One line of the list of database hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct HostEntry {
    pub host: HostId,
    /// What all routers call it; a `HostId` is this router's own number.
    pub address_hash: u32,
    pub availability: Availability,
    pub memberships: GroupMemberships,
    pub zone: ZoneId,
    pub size: f64,
    pub is_primary: bool,
    pub started_at: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Incremental,
    /// The whole list.
    Full,
    /// The whole list as this router last had it, perhaps old.
    Saved,
}

/// How a send or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Acked,
    Errored,
    Overloaded,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    NotSent,
    Misrouted,
}

impl Outcome {
    /// Whether the host answered at all.
    pub const fn is_answer(self) -> bool {
        matches!(self, Outcome::Acked | Outcome::Errored | Outcome::Overloaded | Outcome::Misrouted)
    }

    /// Whether the outcome proves that the send never ran.
    pub const fn never_ran(self) -> bool {
        matches!(self, Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Misrouted)
    }
}

/// What a host said of itself: with an answer as of that answer, in a report as of some time before.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HostStatus {
    pub role: Option<Role>,
    /// It has applied every commit up to here.
    pub position: Option<Timestamp>,
    /// Share of its cores that are busy.
    pub cpu_utilization: Option<f64>,
    /// Ops that wait in it.
    pub queued_ops: Option<f64>,
}

/// A new op, as a client asked for it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OpRequest {
    pub op: OpId,
    pub op_type: OpTypeId,
    pub tenant: Option<TenantId>,
    /// Whose budget of further sends it spends; 0 where there are no cells.
    pub cell: CellId,
    pub group: GroupId,
    pub session: Option<SessionId>,
    /// How long ago the session's last write was committed; zero for none, absent where it is not told.
    pub token_age: Option<TimeDelta>,
    /// What a read must see at least, whatever its session; nothing but for a tenant that moved.
    pub min_position: Option<Timestamp>,
    /// Whether the client said that it asks again.
    pub is_retry: bool,
    /// When the client gives up.
    pub deadline: Timestamp,
    /// The only host that it may go to: the one that holds the transaction which it is part of.
    pub pinned_host: Option<HostId>,
}

/// The end of a send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendResult {
    pub op: OpId,
    pub send: SendIndex,
    pub host: HostId,
    pub outcome: Outcome,
    /// How long ago it was sent.
    pub elapsed: TimeDelta,
    /// Whether the op is over, by this outcome or before it.
    pub op_finished: bool,
    pub status: HostStatus,
}

/// What reaches a router.
#[derive(Clone, Debug, PartialEq)]
pub enum RouterEvent {
    HostList {
        kind: ListKind,
        entries: Vec<HostEntry>,
    },
    ListFailed,
    /// How many further sends a cell may make from now on; none: as many as it likes.
    RetryBudget {
        cell: CellId,
        retries: Option<u32>,
    },
    OpRequested(OpRequest),
    SendEnded(SendResult),
    ClientCancelled {
        op: OpId,
    },
    TimerFired {
        timer: TimerId,
    },
    ProbeEnded {
        host: HostId,
        outcome: Outcome,
        status: HostStatus,
    },
    PeerMessage {
        from: PeerId,
        bytes: Vec<u8>,
    },
    /// From now on these are the op types. A row that was told before still says the same.
    OpTypes(Vec<OpType>),
    /// Whoever knows which host is primary says so, as of now.
    RoleAssigned {
        host: HostId,
        role: Role,
    },
    /// So many ops of a tenant may be unfinished at a host from now on; with nothing, as many as the host bears. With a
    /// broken number one more is out for that part of the time.
    TenantLimit {
        host: HostId,
        tenant: TenantId,
        max_in_flight: Option<f64>,
    },
    /// Shares are reckoned by this number of routers from now on.
    RouterCount {
        routers: f64,
    },
}

/// What a router wants done; in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send { op: OpId, host: HostId, deadline: Timestamp },
    Cancel { op: OpId, send: SendIndex },
    BusyReply { op: OpId, retry_after: Option<TimeDelta> },
    ErrorReply { op: OpId },
    Probe { host: HostId },
    SetTimer { after: TimeDelta, timer: TimerId },
    SubscribeHostList { on: bool },
    FetchHostList,
    CloseIdleConnections { host: HostId },
    SendPeerMessage { to: Option<PeerId>, bytes: Vec<u8> },
    Log { text: String },
}
