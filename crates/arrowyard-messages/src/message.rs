//! The messages between control machines, and between control machines and routers. A machine is identified
//! by its IPv4 address as a 32-bit integer.

use std::net::Ipv4Addr;

use prost::{Enumeration, Message, Oneof};

use crate::relay::{RelayedRequest, RelayedResponse};

/// A message with exactly one payload.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Frame {
    #[prost(
        oneof = "Payload",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27"
    )]
    pub payload: Option<Payload>,
}

/// The payload of a [`Frame`].
#[derive(Clone, PartialEq, Eq, Hash, Oneof)]
pub enum Payload {
    #[prost(message, tag = "1")]
    Hello(Hello),
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    #[prost(message, tag = "3")]
    Prepare(Prepare),
    #[prost(message, tag = "4")]
    Promise(Promise),
    #[prost(message, tag = "5")]
    Accept(Accept),
    #[prost(message, tag = "6")]
    Accepted(Accepted),
    #[prost(message, tag = "7")]
    Chosen(Chosen),
    #[prost(message, tag = "8")]
    Fetch(Fetch),
    #[prost(message, tag = "9")]
    LogEntries(LogEntries),
    #[prost(message, tag = "10")]
    FeedSnapshot(FeedSnapshot),
    #[prost(message, tag = "11")]
    FeedUpdate(FeedUpdate),
    #[prost(message, tag = "12")]
    FeedAck(FeedAck),
    #[prost(message, tag = "13")]
    Suspect(Suspect),
    #[prost(message, tag = "14")]
    HostUpdate(HostUpdate),
    #[prost(message, tag = "15")]
    Probe(Probe),
    #[prost(message, tag = "16")]
    Probed(Probed),
    #[prost(message, tag = "17")]
    DemandReport(DemandReport),
    #[prost(message, tag = "18")]
    HostAllocations(HostAllocations),
    #[prost(message, tag = "19")]
    OverloadedHosts(OverloadedHosts),
    #[prost(message, tag = "20")]
    DepartureNotice(DepartureNotice),
    #[prost(message, tag = "21")]
    DepartureStored(DepartureStored),
    #[prost(message, tag = "22")]
    Replacements(Replacements),
    #[prost(message, tag = "23")]
    Demotion(Demotion),
    #[prost(message, tag = "24")]
    RelayedRequest(RelayedRequest),
    #[prost(message, tag = "25")]
    RelayedResponse(RelayedResponse),
    #[prost(message, tag = "26")]
    ReplacementsSeen(ReplacementsSeen),
    #[prost(message, tag = "27")]
    ReplicaFloors(ReplicaFloors),
}

/// The first frame on a connection, sent by both ends.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Hello {
    #[prost(string, tag = "1")]
    pub node: String,
    #[prost(fixed32, tag = "2")]
    pub ip: u32,
    #[prost(string, tag = "3")]
    pub zone: String,
    /// A random number drawn at each start of the process.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// Whether the sender is a control machine; otherwise it is a router.
    #[prost(bool, tag = "5")]
    pub control: bool,
    /// Control machines that the sender knows.
    #[prost(message, repeated, tag = "6")]
    pub view: Vec<KnownControl>,
}

/// A control machine in the membership view of the sender.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct KnownControl {
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Rounds of view exchange since its own last message.
    #[prost(uint32, tag = "3")]
    pub age: u32,
}

/// Heartbeat between control machines.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Heartbeat {
    /// Highest slot known to be chosen.
    #[prost(uint64, tag = "1")]
    pub chosen: u64,
    #[prost(message, repeated, tag = "2")]
    pub view: Vec<KnownControl>,
    /// Number of routers connected to the sender.
    #[prost(uint32, tag = "3")]
    pub routers: u32,
    /// Digest of the host registry, by which two machines detect that their registries differ.
    #[prost(fixed64, tag = "4")]
    pub digest: u64,
    /// Whether the sender votes.
    #[prost(bool, tag = "5")]
    pub votes: bool,
    /// Hosts from which the sender receives no heartbeats.
    #[prost(message, repeated, tag = "6")]
    pub silent: Vec<SilentHost>,
    /// Whether its disk returns errors or hangs.
    #[prost(bool, tag = "7")]
    pub disk_failing: bool,
    /// From a voter: control machines from which it has recently received messages.
    #[prost(fixed32, repeated, tag = "8")]
    pub reachable: Vec<u32>,
    /// Whether the sender is shutting down.
    #[prost(bool, tag = "9")]
    pub shutting_down: bool,
}

/// A host that sends no heartbeats.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct SilentHost {
    #[prost(string, tag = "1")]
    pub id: String,
    /// Time since its last heartbeat.
    #[prost(uint64, tag = "2")]
    pub silent_ms: u64,
    /// Number of its last call to the sender, which identifies the silence.
    #[prost(uint64, tag = "3")]
    pub last_call: u64,
}

/// A ballot, ordered by round, then by proposer, then by the incarnation of the proposer. A machine that
/// loses its disk may start the same round again; the incarnation keeps the two ballots distinct, so that
/// one ballot never proposes two entries.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Message)]
pub struct Ballot {
    #[prost(uint64, tag = "1")]
    pub round: u64,
    #[prost(fixed32, tag = "2")]
    pub proposer: u32,
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
}

/// Asks a voter to promise a ballot for a slot.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct Prepare {
    #[prost(uint64, tag = "1")]
    pub slot: u64,
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
}

/// The response to [`Prepare`].
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Promise {
    #[prost(uint64, tag = "1")]
    pub slot: u64,
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    /// The highest ballot that the voter promised. If it is above `ballot`, this is a rejection.
    #[prost(message, required, tag = "3")]
    pub promised: Ballot,
    /// The proposal that the voter accepted for this slot.
    #[prost(message, optional, tag = "4")]
    pub accepted: Option<Accept>,
}

/// Asks a voter to accept an entry for a slot.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Accept {
    #[prost(uint64, tag = "1")]
    pub slot: u64,
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    #[prost(message, required, tag = "3")]
    pub entry: Entry,
}

/// The response to [`Accept`].
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct Accepted {
    #[prost(uint64, tag = "1")]
    pub slot: u64,
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    #[prost(message, required, tag = "3")]
    pub promised: Ballot,
}

/// Announces that an entry is chosen for a slot.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Chosen {
    #[prost(uint64, tag = "1")]
    pub slot: u64,
    #[prost(message, required, tag = "2")]
    pub entry: Entry,
}

/// Requests the chosen entries from a slot on.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct Fetch {
    #[prost(uint64, tag = "1")]
    pub from: u64,
}

/// Chosen entries of the replicated log, with a snapshot that replaces the entries before them.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct LogEntries {
    #[prost(message, optional, tag = "1")]
    pub snapshot: Option<Snapshot>,
    #[prost(message, repeated, tag = "2")]
    pub entries: Vec<Chosen>,
}

/// The state that results from all entries up to a slot.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Snapshot {
    /// The last slot included.
    #[prost(uint64, tag = "1")]
    pub slot: u64,
    /// The operator configuration as JSON; empty if there is none.
    #[prost(bytes = "vec", tag = "2")]
    pub configuration: Vec<u8>,
    #[prost(message, repeated, tag = "3")]
    pub duties: Vec<Duty>,
    #[prost(fixed32, repeated, tag = "4")]
    pub voters: Vec<u32>,
    /// The most recent configuration changes.
    #[prost(message, repeated, tag = "5")]
    pub applied_changes: Vec<AppliedChange>,
    /// The newest revision whose change was dropped from `applied_changes`; 0 for none.
    #[prost(uint64, tag = "6")]
    pub forgotten: u64,
    /// Identifies the deployment: a digest of the first entry of its log.
    #[prost(fixed64, tag = "7")]
    pub deployment: u64,
}

/// A configuration change that was applied, with the digest that identifies a repeated request.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct AppliedChange {
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
}

/// An entry of the replicated log.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Entry {
    #[prost(oneof = "EntryPayload", tags = "1, 2, 3, 4, 5")]
    pub payload: Option<EntryPayload>,
}

/// The payload of an [`Entry`].
#[derive(Clone, PartialEq, Eq, Hash, Oneof)]
pub enum EntryPayload {
    #[prost(message, tag = "1")]
    Configuration(ConfigRevision),
    #[prost(message, tag = "2")]
    Duty(Duty),
    /// A voter that lost its disk votes again in later slots.
    #[prost(message, tag = "3")]
    Rejoin(Rejoin),
    /// The voter set for later slots. It differs from the previous one by one voter.
    #[prost(message, tag = "4")]
    Voters(Voters),
    /// The host to promote to primary. The slot of the entry is the fencing token of the calls to the
    /// platform.
    #[prost(message, tag = "5")]
    Decision(Decision),
}

/// A configuration change as the operator sent it.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ConfigRevision {
    /// Whether `body` is a full configuration instead of named items to change.
    #[prost(bool, tag = "1")]
    pub whole: bool,
    /// The revision that the change is based on.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
}

/// The holder of a duty. `fence` is the slot in which it was chosen; in an entry it is the fence of the
/// previous holder.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Duty {
    #[prost(string, tag = "1")]
    pub duty: String,
    #[prost(fixed32, tag = "2")]
    pub holder: u32,
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    #[prost(string, tag = "4")]
    pub node: String,
    #[prost(uint64, tag = "5")]
    pub fence: u64,
}

/// A promotion decided by the holder of the duty, valid for the incarnation and fence under which it holds
/// the duty.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Decision {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(string, tag = "2")]
    pub host: String,
    #[prost(fixed32, tag = "3")]
    pub holder: u32,
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// Fence of the duty when the holder acquired it.
    #[prost(uint64, tag = "5")]
    pub duty_fence: u64,
    /// Distinguishes the decisions of one holder.
    #[prost(uint64, tag = "6")]
    pub number: u64,
}

/// A voter that lost its disk and votes again.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct Rejoin {
    #[prost(fixed32, tag = "1")]
    pub voter: u32,
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
}

/// A voter set.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Voters {
    #[prost(fixed32, repeated, tag = "1")]
    pub voters: Vec<u32>,
    /// In an entry: the previous voter set. The entry takes effect only if this is the current one.
    #[prost(fixed32, repeated, tag = "2")]
    pub before: Vec<u32>,
}

/// Life cycle phase of a database host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
pub enum Phase {
    InService = 0,
    Draining = 1,
    Gone = 2,
}

/// Replication role of a database host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
pub enum DbRole {
    Replica = 0,
    Primary = 1,
}

/// A database host as its latest heartbeat describes it.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Host {
    #[prost(string, tag = "1")]
    pub id: String,
    #[prost(string, tag = "2")]
    pub service: String,
    #[prost(fixed32, tag = "3")]
    pub ip: u32,
    #[prost(uint32, tag = "4")]
    pub port: u32,
    #[prost(string, tag = "5")]
    pub zone: String,
    #[prost(uint32, tag = "6")]
    pub capacity: u32,
    #[prost(enumeration = "Phase", tag = "7")]
    pub phase: i32,
    #[prost(enumeration = "DbRole", tag = "8")]
    pub role: i32,
    /// Sequence number of that heartbeat.
    #[prost(uint64, tag = "9")]
    pub call_seq: u64,
}

/// Between control machines: changed hosts, or the whole host registry if `whole` is set.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct HostUpdate {
    #[prost(message, repeated, tag = "1")]
    pub hosts: Vec<Host>,
    #[prost(bool, tag = "2")]
    pub whole: bool,
}

/// Between control machines: a host is draining or gone. The receiver confirms with [`DepartureStored`] once
/// this is on its disk.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct DepartureNotice {
    /// Number that the sender gave to the notice.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(message, required, tag = "2")]
    pub host: Host,
}

/// The [`DepartureNotice`] of this number is on the disk of the sender.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct DepartureStored {
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// To a router: the complete state of its feed.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct FeedSnapshot {
    /// Sequence number in the feed.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The last slot included in the configuration.
    #[prost(uint64, tag = "2")]
    pub slot: u64,
    #[prost(bytes = "vec", tag = "3")]
    pub configuration: Vec<u8>,
    #[prost(message, repeated, tag = "4")]
    pub hosts: Vec<Host>,
    /// Number of routers in the deployment.
    #[prost(uint32, tag = "5")]
    pub routers: u32,
    #[prost(message, repeated, tag = "6")]
    pub view: Vec<KnownControl>,
}

/// To a router: an incremental update with the next sequence number of the feed.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct FeedUpdate {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(message, repeated, tag = "2")]
    pub revised: Vec<ChosenRevision>,
    #[prost(message, repeated, tag = "3")]
    pub hosts: Vec<Host>,
    /// Number of routers in the deployment; 0 if unchanged.
    #[prost(uint32, tag = "4")]
    pub routers: u32,
    #[prost(message, repeated, tag = "5")]
    pub view: Vec<KnownControl>,
}

/// A configuration change with the slot in which it was chosen.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ChosenRevision {
    #[prost(uint64, tag = "1")]
    pub slot: u64,
    #[prost(message, required, tag = "2")]
    pub revised: ConfigRevision,
}

/// From a router: the updates up to this number are applied. If `needs_snapshot` is set, it needs a [`FeedSnapshot`].
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct FeedAck {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(bool, tag = "2")]
    pub needs_snapshot: bool,
    /// The configuration revision that the router has in force.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}

/// From a router, and between control machines: this primary does not respond.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Suspect {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(string, tag = "2")]
    pub host: String,
    /// Address of the machine that first suspected it.
    #[prost(fixed32, tag = "3")]
    pub by: u32,
}

/// From a router through its control machine to the allocator: the demand at each host by class of requests,
/// which the messages on allocations call a service.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct DemandReport {
    /// Incarnation of the router.
    #[prost(fixed64, tag = "1")]
    pub router: u64,
    /// Sequence number of the report within this incarnation.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    #[prost(message, repeated, tag = "3")]
    pub hosts: Vec<HostDemand>,
}

/// The demand of one router at one host.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct HostDemand {
    #[prost(string, tag = "1")]
    pub host: String,
    /// Number of statements that the host executes concurrently.
    #[prost(uint32, tag = "2")]
    pub slots: u32,
    /// Fence of the allocator whose allocation the router applied last.
    #[prost(uint64, tag = "3")]
    pub fence: u64,
    /// `number` of that allocation.
    #[prost(uint64, tag = "4")]
    pub allocation_number: u64,
    #[prost(message, repeated, tag = "5")]
    pub services: Vec<ServiceDemand>,
    /// The configured service that the host belongs to, as its primary or a replica.
    #[prost(string, tag = "6")]
    pub group: String,
}

/// The demand of one class of requests, in thousandths of a concurrent statement.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ServiceDemand {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(uint32, tag = "2")]
    pub running_milli: u32,
    #[prost(uint32, tag = "3")]
    pub waiting_milli: u32,
}

/// From the allocator through a control machine to one router, given by its incarnation.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct HostAllocations {
    #[prost(fixed64, tag = "1")]
    pub router: u64,
    #[prost(uint64, tag = "2")]
    pub fence: u64,
    #[prost(message, repeated, tag = "3")]
    pub allocations: Vec<HostAllocation>,
}

/// The share of one host that a router may use. Classes of requests without a cap are not limited.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct HostAllocation {
    #[prost(string, tag = "1")]
    pub host: String,
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Sequence number of the [`DemandReport`] that this is based on.
    #[prost(uint64, tag = "3")]
    pub report_number: u64,
    #[prost(bool, tag = "4")]
    pub overloaded: bool,
    #[prost(message, repeated, tag = "5")]
    pub caps: Vec<ServiceCap>,
    /// Capacity of the host in thousandths of a concurrent statement.
    #[prost(uint32, tag = "6")]
    pub capacity_milli: u32,
    /// Number of routers that share the host.
    #[prost(uint32, tag = "7")]
    pub routers: u32,
}

/// Limit on the in-flight statements of one class of requests, in thousandths.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ServiceCap {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(uint32, tag = "2")]
    pub cap_milli: u32,
}

/// From the allocator to all control machines and routers: requests demand reports for these overloaded
/// hosts.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct OverloadedHosts {
    #[prost(string, repeated, tag = "1")]
    pub hosts: Vec<String>,
}

/// From the holder of the duty through all control machines to all routers: the services whose primary is
/// being replaced. It is repeated during the replacement, and each message supersedes all earlier ones.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Replacements {
    /// Fence of the duty when the holder acquired it.
    #[prost(uint64, tag = "1")]
    pub fence: u64,
    /// Replacements of unresponsive primaries: routers acknowledge commits only from the candidate.
    #[prost(message, repeated, tag = "2")]
    pub services: Vec<Replacement>,
    /// Planned replacements: the old primary serves until the change, and routers acknowledge its commits
    /// only once the candidate has received them.
    #[prost(message, repeated, tag = "3")]
    pub planned: Vec<Replacement>,
    /// Rises with each change of the lists under one fence.
    #[prost(uint64, tag = "4")]
    pub number: u64,
}

/// From a router through its control machine to the holder of the duty: the router acts by this list.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ReplacementsSeen {
    #[prost(uint64, tag = "1")]
    pub fence: u64,
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Incarnation of the router's process.
    #[prost(uint64, tag = "3")]
    pub router: u64,
}

/// From the holder of the duty to all control machines: positions that primaries had after replicas of theirs
/// fell silent. The next holder needs them if this one fails together with a primary.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ReplicaFloors {
    /// Fence of the duty when the holder acquired it.
    #[prost(uint64, tag = "1")]
    pub fence: u64,
    #[prost(message, repeated, tag = "2")]
    pub floors: Vec<ReplicaFloor>,
    /// Whether these are all floors; otherwise they are added.
    #[prost(bool, tag = "3")]
    pub whole: bool,
}

/// A position that a primary had after a replica fell silent.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ReplicaFloor {
    /// The silent replica.
    #[prost(string, tag = "1")]
    pub host: String,
    #[prost(uint64, tag = "2")]
    pub received_term: u64,
    #[prost(uint64, tag = "3")]
    pub received_number: u64,
    /// Number of the replica's last call, which identifies the silence.
    #[prost(uint64, tag = "4")]
    pub last_call: u64,
}

/// A primary that is being replaced.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Replacement {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(string, tag = "2")]
    pub candidate: String,
    /// A term above that of the replaced primary.
    #[prost(uint64, tag = "3")]
    pub term: u64,
}

/// From a router, and between control machines: a replaced primary confirmed that it is demoted.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Demotion {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(string, tag = "2")]
    pub host: String,
}

/// Asks a voter for the highest slots that it knows, without a promise.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct Probe {
    /// Identifies the read at the sender; returned in the response.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
}

/// The response to [`Probe`], with the same ticket.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct Probed {
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// The last slot known to be chosen.
    #[prost(uint64, tag = "2")]
    pub chosen: u64,
    /// The highest slot in which it accepted an entry.
    #[prost(uint64, tag = "3")]
    pub accepted: u64,
    #[prost(bool, tag = "4")]
    pub votes: bool,
    /// The highest ballot that the voter promised.
    #[prost(message, required, tag = "5")]
    pub promised: Ballot,
}

impl Phase {
    /// The name in status reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Phase::InService => "in_service",
            Phase::Draining => "draining",
            Phase::Gone => "gone",
        }
    }
}

impl DbRole {
    /// The name in status reports.
    pub fn as_str(self) -> &'static str {
        if self == DbRole::Primary { "primary" } else { "replica" }
    }
}

/// The identifier of a machine.
pub fn ip_to_u32(ip: Ipv4Addr) -> u32 {
    u32::from(ip)
}

/// Encodes a payload as a frame with its length prefix.
pub fn encode_payload(payload: Payload) -> Vec<u8> {
    crate::encode_frame(&Frame { payload: Some(payload) })
}
