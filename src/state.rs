//! State of the hosts and of the dispatcher with its ops and groups.

use std::cell::{Cell, RefCell};

use arrowyard_types::*;
use fastrand::Rng;
use rustc_hash::FxHashMap;
use slab::Slab;

use crate::sends::{Sends, SessionCommits};

/// What the dispatcher sees of a host.
#[derive(Clone, Copy, Default)]
pub struct HostView {
    pub zone: ZoneId,
    /// Capacity relative to other hosts.
    pub size: f64,
    /// A hash of the host's name, which identifies the host in messages between routers.
    pub name_hash: u32,
    /// Listed and not draining.
    pub available: bool,
    pub listed_primary: bool,
    pub role: Option<Role>,
    /// The time for which `role` was reported.
    pub role_at: Timestamp,
    /// The host has applied every commit up to here.
    pub position: Timestamp,
    pub lag: TimeDelta,
    /// Weight of this router's sends in flight and of those that ended unanswered recently.
    pub load: f64,
    pub in_flight: u32,
    /// Sends that may be in flight; below 1, sends are spaced out in time.
    pub limit: f64,
    /// Acknowledged weight per second.
    pub ack_rate: f64,
    /// Share of its capacity that a host has after a start; 1 when warm.
    pub warmth: f64,
    /// Weight that a cold host may be sent; none while it is negative.
    pub warmup_credit: f64,
    /// Failed the health test; gets no sends until it is half-open.
    pub ejected: bool,
    /// An ejected host that may get one send at a time.
    pub half_open: bool,
    /// Left at least two sends in a row unanswered.
    pub unresponsive: bool,
    pub probing: bool,
    pub probed_at: Timestamp,
    /// Whether the result of the probe in flight is sent to other routers.
    pub broadcast_probe: bool,
    pub last_sent_at: Timestamp,
    /// Latency of the last acknowledged send, as a share of its latency target; 1 for a timeout.
    pub latency_ratio: Option<f64>,
    pub last_answer_at: Timestamp,
    /// Unanswered probes since the last answered one.
    pub failed_probes: u32,
}

/// A host's actor; the dispatcher sees only `view`.
#[derive(Default)]
pub struct Host {
    pub view: HostView,
    pub listed: bool,
    pub started_at: Option<Timestamp>,
    pub draining: bool,
    pub in_flight_weight: f64,
    /// Weight of unanswered sends, which decays.
    pub unanswered_weight: f64,
    /// Acknowledged weight since the last maintenance.
    pub acked_weight: f64,
    /// Log-likelihood ratio of the health test.
    pub evidence: f64,
    pub ejected_until: Timestamp,
    pub unanswered_sends: u32,
    pub next_reduction_at: Timestamp,
}

#[derive(Default)]
pub struct Op {
    pub request: OpRequest,
    pub arrived_at: Timestamp,
    /// The oldest position that may serve the read.
    pub min_position: Option<Timestamp>,
    pub sends: Sends,
    pub finished: bool,
}

/// The mean number of ops that a tenant may have in flight at a host, and its unused part in op seconds.
#[derive(Clone, Copy, Debug)]
pub struct TenantQuota {
    pub max_in_flight: f64,
    pub credit: f64,
    pub as_of: Timestamp,
}

#[derive(Default)]
pub struct Group {
    pub members: Vec<HostId>,
    /// Members that take the group's ops only while they are its primary.
    pub primary_only: Vec<HostId>,
    /// When the first op arrived; all members are probed then if the list names no primary.
    pub roles_probed_at: Option<Timestamp>,
    /// Whether some op waits for a primary.
    pub primary_wanted: Cell<bool>,
    /// When a primary was known last.
    pub primary_seen_at: Cell<Timestamp>,
    /// Share of the writes that is rejected so that the replicas catch up.
    pub write_shed: f64,
    /// Share of the reads that is rejected while most hosts are slow.
    pub read_shed: f64,
}

/// Holds the ops, groups and tenants, and decides on sends.
#[derive(Default)]
pub struct Dispatcher {
    pub settings: RouterSettings,
    pub op_types: Vec<OpType>,
    pub min_bound: TimeDelta,
    pub min_target: TimeDelta,
    pub now: Timestamp,
    pub rng: RefCell<Rng>,
    /// By tenant: its configured share, and its decaying count of recent sends.
    pub tenants: Vec<(f64, f64)>,
    pub host_views: Vec<HostView>,
    pub groups: FxHashMap<GroupId, Group>,
    /// By host.
    pub memberships: Vec<GroupMemberships>,
    /// By cell: retries left; a cell without an entry has no limit.
    pub retry_budgets: FxHashMap<CellId, u32>,
    pub ops: Slab<Op>,
    pub op_indices: FxHashMap<OpId, usize>,
    /// Indices of the ops that wait for a host.
    pub waiting: Vec<usize>,
    /// Ops in flight, if tenants are limited.
    pub tenant_in_flight: FxHashMap<(HostId, TenantId), u32>,
    pub quotas: FxHashMap<(HostId, TenantId), TenantQuota>,
    /// Moving average of a tenant's op latency in seconds.
    pub tenant_latencies: FxHashMap<TenantId, f64>,
    pub waiting_timer_set: bool,
    pub last_broadcast_at: Timestamp,
    pub session_commits: SessionCommits,
    pub maintained_at: Timestamp,
    /// Mean acknowledged weight per second of a warm host of size 1.
    pub warm_rate: f64,
}
