//! The interface of the decision module: its settings, the events it handles and the actions it returns.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::{
    CellId, GroupId, HostId, OpId, OpType, OpTypeId, PeerId, SendIndex, SessionId, TenantId, TimeDelta,
    TimerId, Timestamp, ZoneId,
};

/// Settings of a router by name. Names of rows contain the index, as in `op_type.0.latency_target`; unset
/// names are absent.
pub type RouterSettings = BTreeMap<String, SettingValue>;

/// The value of a setting.
#[derive(Clone, Debug, PartialEq)]
pub enum SettingValue {
    Flag(bool),
    Number(f64),
    TimeDelta(TimeDelta),
    Text(String),
}

/// Typed access to settings by name; unset ones, and ones of another type, are false, zero, empty or the
/// default.
pub trait RouterSettingsExt {
    fn flag(&self, name: &str) -> bool;
    fn number_or(&self, name: &str, default: f64) -> f64;
    fn time_delta(&self, name: &str) -> TimeDelta;
    fn text(&self, name: &str) -> &str;
}

impl RouterSettingsExt for RouterSettings {
    fn flag(&self, name: &str) -> bool {
        self.get(name) == Some(&SettingValue::Flag(true))
    }

    fn number_or(&self, name: &str, default: f64) -> f64 {
        if let Some(SettingValue::Number(number)) = self.get(name) { *number } else { default }
    }

    fn time_delta(&self, name: &str) -> TimeDelta {
        if let Some(SettingValue::TimeDelta(delta)) = self.get(name) { *delta } else { TimeDelta::ZERO }
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

/// Whether a host may get sends. What `Gone` means depends on the setting `removal_not_binding`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    Ready,
    Draining,
    Gone,
}

/// A host's membership in a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupMembership {
    pub group: GroupId,
    /// The host serves the group only while it is its primary, never as a replica.
    pub primary_only: bool,
}

/// The groups of a host: one, unless cells divide hosts.
pub type GroupMemberships = SmallVec<[GroupMembership; 1]>;

/// An entry of the list of database hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct HostEntry {
    pub host: HostId,
    /// A hash of the host's name, which identifies the host in messages between routers; a `HostId` is local
    /// to one router.
    pub name_hash: u32,
    pub availability: Availability,
    pub memberships: GroupMemberships,
    pub zone: ZoneId,
    /// Capacity relative to other hosts.
    pub size: f64,
    /// What the list says; it may be out of date.
    pub is_primary: bool,
    pub started_at: Option<Timestamp>,
}

/// What a list of hosts contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Incremental,
    /// The whole list.
    Full,
    /// The whole list as this router last saved it; may be outdated.
    Saved,
}

/// How a send or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Acked,
    /// The host answered with an error.
    Errored,
    /// The host refused for lack of capacity.
    Overloaded,
    TimedOut,
    ConnectFailed,
    /// The connection broke after the op was sent.
    Reset,
    /// The router stopped waiting for the answer.
    Cancelled,
    /// Ended before anything was written to the host.
    NotSent,
    /// The host refused since it is not primary, or not fresh enough.
    Misrouted,
}

impl Outcome {
    /// Whether the host answered.
    pub const fn is_answer(self) -> bool {
        matches!(self, Outcome::Acked | Outcome::Errored | Outcome::Overloaded | Outcome::Misrouted)
    }

    /// Whether the outcome proves that the send never ran.
    pub const fn never_ran(self) -> bool {
        matches!(self, Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Misrouted)
    }
}

/// A host's report of itself: current if it came with an answer, else possibly some time old.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HostStatus {
    pub role: Option<Role>,
    /// The host has applied every commit up to here.
    pub position: Option<Timestamp>,
    /// Share of the host's cores that are busy.
    pub cpu_utilization: Option<f64>,
    /// Ops that wait at the host.
    pub queued_ops: Option<f64>,
}

/// A client's request for an op.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OpRequest {
    pub op: OpId,
    pub op_type: OpTypeId,
    pub tenant: Option<TenantId>,
    /// The cell whose retry budget the op uses; 0 without cells.
    pub cell: CellId,
    pub group: GroupId,
    pub session: Option<SessionId>,
    /// Age of the session's last commit; zero if there is none, absent if unknown.
    pub token_age: Option<TimeDelta>,
    /// The oldest position that may serve the op, besides its session; set for tenants that moved between
    /// groups.
    pub min_position: Option<Timestamp>,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// The time at which the client gives up.
    pub deadline: Timestamp,
    /// The host that holds the op's transaction, the only one it may go to.
    pub pinned_host: Option<HostId>,
}

/// The end of a send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendResult {
    pub op: OpId,
    pub send: SendIndex,
    pub host: HostId,
    pub outcome: Outcome,
    /// Time since the send.
    pub elapsed: TimeDelta,
    /// Whether the op has its final answer, by this outcome or earlier.
    pub op_finished: bool,
    pub status: HostStatus,
}

/// An event that the module handles.
#[derive(Clone, Debug, PartialEq)]
pub enum RouterEvent {
    /// A list of database hosts from discovery.
    HostList {
        kind: ListKind,
        entries: Vec<HostEntry>,
    },
    ListFailed,
    /// A cell's remaining retries; `None` means no limit.
    RetryBudget {
        cell: CellId,
        retries: Option<u32>,
    },
    OpRequested(OpRequest),
    SendEnded(SendResult),
    /// The client no longer waits for the op.
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
    /// A message of another router.
    PeerMessage {
        from: PeerId,
        bytes: Vec<u8>,
    },
    /// The new op types. Rows may be added, but existing rows do not change.
    OpTypes(Vec<OpType>),
    /// A host's role, from the authority over roles and as of now.
    RoleAssigned {
        host: HostId,
        role: Role,
    },
    /// The ops of a tenant that may be in flight at a host; `None` means no limit. A fraction is a mean over
    /// time.
    TenantLimit {
        host: HostId,
        tenant: TenantId,
        max_in_flight: Option<f64>,
    },
    /// The number of routers that share the hosts.
    RouterCount {
        routers: f64,
    },
}

/// An action that the caller carries out, in the order of the actions.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends the op; the send times out at the deadline.
    Send {
        op: OpId,
        host: HostId,
        deadline: Timestamp,
    },
    Cancel {
        op: OpId,
        send: SendIndex,
    },
    /// Tells the client that the op did not run or is safe to retry.
    BusyReply {
        op: OpId,
        retry_after: Option<TimeDelta>,
    },
    /// Tells the client that the op failed and may have run.
    ErrorReply {
        op: OpId,
    },
    Probe {
        host: HostId,
    },
    /// Returns `timer` in a [`RouterEvent::TimerFired`] after this time.
    SetTimer {
        after: TimeDelta,
        timer: TimerId,
    },
    SubscribeHostList {
        on: bool,
    },
    FetchHostList,
    CloseIdleConnections {
        host: HostId,
    },
    /// Sends a message to one router, or to all others.
    SendPeerMessage {
        to: Option<PeerId>,
        bytes: Vec<u8>,
    },
    Log {
        text: String,
    },
}
