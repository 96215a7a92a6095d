//! What the parts remember: a host's actor and the face it shows, the desk with its ops and groups. No decisions.

use std::cell::{Cell, RefCell};

use arrowyard_types::*;
use fastrand::Rng;
use rustc_hash::FxHashMap;
use slab::Slab;

use crate::sends::{Commits, Sends};

/// What the desk sees of a host.
#[derive(Clone, Copy, Default)]
pub struct Face {
    pub zone: ZoneId,
    pub size: f64,
    /// What all routers call it.
    pub tag: u32,
    pub open: bool,
    pub listed_primary: bool,
    pub role: Option<Role>,
    pub role_at: Timestamp,
    pub position: Timestamp,
    pub behind: TimeDelta,
    /// Weight of this router's unfinished sends, and of those that ended unanswered a while ago.
    pub load: f64,
    pub unfinished: u32,
    pub limit: f64,
    pub rate: f64,
    /// The share of its capacity that it surely has; 1 when warm.
    pub warmth: f64,
    pub credit: f64,
    pub ill: bool,
    pub trial: bool,
    pub quiet: bool,
    pub probing: bool,
    pub probed_at: Timestamp,
    /// The other routers are told what the probe under way brings.
    pub spread: bool,
    pub sent_at: Timestamp,
    /// The share of its latency target that its last acked send took; 1 for a time-out.
    pub pace: Option<f64>,
    pub heard_at: Timestamp,
    /// Probes without answer since the last one with.
    pub lost: u32,
}

#[derive(Default)]
pub struct Host {
    pub face: Face,
    pub known: bool,
    pub started: Option<Timestamp>,
    pub draining: bool,
    pub live: f64,
    pub kept: f64,
    pub done: f64,
    pub evidence: f64,
    pub rest_until: Timestamp,
    pub mute: u32,
    pub cut_at: Timestamp,
}

#[derive(Default)]
pub struct Op {
    pub ask: OpRequest,
    pub arrived: Timestamp,
    /// What a read must see at least: of its session, or of a tenant that moved.
    pub floor: Option<Timestamp>,
    pub sends: Sends,
    pub over: bool,
}

/// How many ops of a tenant may be unfinished at a host, on average; and what it has saved up of that, in ops times
/// seconds, as of then.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    pub most: f64,
    pub credit: f64,
    pub as_of: Timestamp,
}

#[derive(Default)]
pub struct Group {
    pub members: Vec<HostId>,
    /// Those of them that belong to it as its primary only.
    pub guests: Vec<HostId>,
    /// When the first op came, and all members were asked who they are if the list named no primary.
    pub asked_at: Option<Timestamp>,
    /// Some op waits for a primary; and when one was known last.
    pub wanted: Cell<bool>,
    pub led_at: Cell<Timestamp>,
    /// The share of its writes that are sent back so that its replicas catch up.
    pub held_back: f64,
    /// The share of its reads that is given back while most hosts are slow.
    pub back: f64,
}

#[derive(Default)]
pub struct Desk {
    pub charter: RouterSettings,
    pub op_types: Vec<OpType>,
    pub bound: TimeDelta,
    pub least_target: TimeDelta,
    pub now: Timestamp,
    pub rng: RefCell<Rng>,
    /// By tenant: its share, and its part of the latest sends.
    pub tenants: Vec<(f64, f64)>,
    pub faces: Vec<Face>,
    pub groups: FxHashMap<GroupId, Group>,
    /// By host: the groups that it takes part in.
    pub parts: Vec<GroupMemberships>,
    /// By cell: how many further sends it may make.
    pub spares: FxHashMap<CellId, u32>,
    pub ops: Slab<Op>,
    pub places: FxHashMap<OpId, usize>,
    pub held: Vec<usize>,
    /// By host and tenant: ops that are unfinished, where that is counted, and how many may be, where that is told.
    pub running: FxHashMap<(HostId, TenantId), u32>,
    pub rooms: FxHashMap<(HostId, TenantId), Room>,
    /// By tenant that is counted: how long its ops are out, about, in seconds.
    pub outs: FxHashMap<TenantId, f64>,
    /// An alarm is set to try the held ops again.
    pub trying: bool,
    pub told_at: Timestamp,
    pub commits: Commits,
    pub pulsed_at: Timestamp,
    /// Weight that a warm host gets a second, by its size.
    pub peers: f64,
}
