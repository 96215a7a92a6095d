//! The messages. Machines are named by their address, a number of 32 bits.

use std::net::Ipv4Addr;

use prost::{Enumeration, Message, Oneof};

use crate::relay::{RelayedRequest, RelayedResponse};

/// One thing that is said.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Frame {
    #[prost(
        oneof = "Payload",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25"
    )]
    pub payload: Option<Payload>,
}

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
}

/// The first frame on a connection, from both ends.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Hello {
    #[prost(string, tag = "1")]
    pub node: String,
    #[prost(fixed32, tag = "2")]
    pub ip: u32,
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Drawn anew at each start of the process.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    #[prost(bool, tag = "5")]
    pub control: bool,
    #[prost(message, repeated, tag = "6")]
    pub view: Vec<KnownControl>,
}

/// A control machine that somebody knows of.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct KnownControl {
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Rounds of exchange since it was last heard of itself.
    #[prost(uint32, tag = "3")]
    pub age: u32,
}

/// Between control machines: still here, and whom it knows.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Heartbeat {
    /// Entries that it has in its ledger.
    #[prost(uint64, tag = "1")]
    pub chosen: u64,
    #[prost(message, repeated, tag = "2")]
    pub view: Vec<KnownControl>,
    /// Routers that are connected to it.
    #[prost(uint32, tag = "3")]
    pub routers: u32,
    /// A sum over its cell's hosts, by which two cells see that they differ.
    #[prost(fixed64, tag = "4")]
    pub digest: u64,
    #[prost(bool, tag = "5")]
    pub votes: bool,
    #[prost(message, repeated, tag = "6")]
    pub silent: Vec<SilentHost>,
    /// Whether its disk refuses or hangs.
    #[prost(bool, tag = "7")]
    pub disk_failing: bool,
    /// From a voter: control machines that it has heard of lately.
    #[prost(fixed32, repeated, tag = "8")]
    pub reachable: Vec<u32>,
    /// Whether it was told to end.
    #[prost(bool, tag = "9")]
    pub shutting_down: bool,
}

/// A host that does not call any more, for so many milliseconds.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct SilentHost {
    #[prost(string, tag = "1")]
    pub id: String,
    #[prost(uint64, tag = "2")]
    pub silent_ms: u64,
}

/// Rounds are told apart by their number, then by who began them, then by its life. Safety: a machine may forget with its
/// disk which rounds it began; of two lives no two rounds are the same, or one ballot could stand for two entries.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Message)]
pub struct Ballot {
    #[prost(uint64, tag = "1")]
    pub round: u64,
    #[prost(fixed32, tag = "2")]
    pub by: u32,
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct Prepare {
    #[prost(uint64, tag = "1")]
    pub slot: u64,
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
}

#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Promise {
    #[prost(uint64, tag = "1")]
    pub slot: u64,
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    /// The highest that it promised; above `ballot` it is a refusal.
    #[prost(message, required, tag = "3")]
    pub promised: Ballot,
    #[prost(message, optional, tag = "4")]
    pub accepted: Option<Accept>,
}

#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Accept {
    #[prost(uint64, tag = "1")]
    pub slot: u64,
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    #[prost(message, required, tag = "3")]
    pub entry: Entry,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct Accepted {
    #[prost(uint64, tag = "1")]
    pub slot: u64,
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    #[prost(message, required, tag = "3")]
    pub promised: Ballot,
}

/// A slot's entry is known to be chosen.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Chosen {
    #[prost(uint64, tag = "1")]
    pub slot: u64,
    #[prost(message, required, tag = "2")]
    pub entry: Entry,
}

/// Asks for what is chosen from a slot on.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct Fetch {
    #[prost(uint64, tag = "1")]
    pub from: u64,
}

/// Entries from a slot on, or a snapshot that stands for all before them.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct LogEntries {
    #[prost(message, optional, tag = "1")]
    pub snapshot: Option<Snapshot>,
    #[prost(message, repeated, tag = "2")]
    pub entries: Vec<Chosen>,
}

/// What all entries up to a slot lead to.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Snapshot {
    /// The last slot that is in it.
    #[prost(uint64, tag = "1")]
    pub slot: u64,
    #[prost(bytes = "vec", tag = "2")]
    pub configuration: Vec<u8>,
    #[prost(message, repeated, tag = "3")]
    pub duties: Vec<Duty>,
    #[prost(fixed32, repeated, tag = "4")]
    pub voters: Vec<u32>,
    /// Of the last changes.
    #[prost(message, repeated, tag = "5")]
    pub applied_changes: Vec<AppliedChange>,
    /// The newest revision of which it is not remembered which change brought it; 0 for none.
    #[prost(uint64, tag = "6")]
    pub forgotten: u64,
    /// The deployment whose entries these are: a digest of its first entry.
    #[prost(fixed64, tag = "7")]
    pub deployment: u64,
}

/// A change that was taken, and the digest by which it is known again.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct AppliedChange {
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
}

/// What is agreed on in one slot.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Entry {
    #[prost(oneof = "EntryPayload", tags = "1, 2, 3, 4, 5")]
    pub payload: Option<EntryPayload>,
}

#[derive(Clone, PartialEq, Eq, Hash, Oneof)]
pub enum EntryPayload {
    #[prost(message, tag = "1")]
    Configuration(ConfigRevision),
    #[prost(message, tag = "2")]
    Duty(Duty),
    /// A voter whose disk was lost votes again from here on.
    #[prost(message, tag = "3")]
    Rejoin(Rejoin),
    /// Who votes in the slots behind it: one more, or one less.
    #[prost(message, tag = "4")]
    Voters(Voters),
    /// Which host is to be made primary. Its slot is the fence of the calls to the platform for it.
    #[prost(message, tag = "5")]
    Decision(Decision),
}

/// A change of the configuration as the operator sent it.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ConfigRevision {
    #[prost(bool, tag = "1")]
    pub whole: bool,
    #[prost(uint64, tag = "2")]
    pub base: u64,
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
}

/// Who holds a duty; its fence is the slot in which that was agreed. In an entry `fence` is that of the holder before.
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

/// A decision of the holder of the duty, in the life and under the fence in which it holds it.
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
    /// Of the duty, as the holder took it up.
    #[prost(uint64, tag = "5")]
    pub duty_fence: u64,
    /// Tells two decisions of one holder apart.
    #[prost(uint64, tag = "6")]
    pub number: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct Rejoin {
    #[prost(fixed32, tag = "1")]
    pub voter: u32,
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
}

#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Voters {
    #[prost(fixed32, repeated, tag = "1")]
    pub voters: Vec<u32>,
    /// In an entry: who voted before it. It holds only on top of these.
    #[prost(fixed32, repeated, tag = "2")]
    pub before: Vec<u32>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
pub enum Phase {
    InService = 0,
    Draining = 1,
    Gone = 2,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
pub enum DbRole {
    Replica = 0,
    Primary = 1,
}

/// A database host, as its newest call told of it.
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
    #[prost(uint64, tag = "9")]
    pub call_seq: u64,
}

/// Between control machines: hosts that changed, or all that it has.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct HostUpdate {
    #[prost(message, repeated, tag = "1")]
    pub hosts: Vec<Host>,
    #[prost(bool, tag = "2")]
    pub whole: bool,
}

/// Between control machines: a host says that it leaves, or that it has left. Whoever has that on its disk says so.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct DepartureNotice {
    /// Of the machine that asks.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(message, required, tag = "2")]
    pub host: Host,
}

/// The departure of this number is on the sender's disk.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct DepartureStored {
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// To a router: all that it must know, as of a number.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct FeedSnapshot {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(uint64, tag = "2")]
    pub slot: u64,
    #[prost(bytes = "vec", tag = "3")]
    pub configuration: Vec<u8>,
    #[prost(message, repeated, tag = "4")]
    pub hosts: Vec<Host>,
    #[prost(uint32, tag = "5")]
    pub routers: u32,
    #[prost(message, repeated, tag = "6")]
    pub view: Vec<KnownControl>,
}

/// To a router: what changed, under the next number.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct FeedUpdate {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(message, repeated, tag = "2")]
    pub revised: Vec<ChosenRevision>,
    #[prost(message, repeated, tag = "3")]
    pub hosts: Vec<Host>,
    /// 0: as before.
    #[prost(uint32, tag = "4")]
    pub routers: u32,
    #[prost(message, repeated, tag = "5")]
    pub view: Vec<KnownControl>,
}

/// A change of the configuration in the order of slots.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ChosenRevision {
    #[prost(uint64, tag = "1")]
    pub slot: u64,
    #[prost(message, required, tag = "2")]
    pub revised: ConfigRevision,
}

/// From a router: it has all up to this number; or, if `lost`, it needs the whole again.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct FeedAck {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(bool, tag = "2")]
    pub lost: bool,
    /// The revision of the configuration that it serves by.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}

/// From a router, and between control machines: this primary does not answer.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Suspect {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(string, tag = "2")]
    pub host: String,
    /// Who saw it first.
    #[prost(fixed32, tag = "3")]
    pub by: u32,
}

/// From a router, by way of its control machine, to whoever divides: what its services need of hosts.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct DemandReport {
    /// The life of the router's process.
    #[prost(fixed64, tag = "1")]
    pub router: u64,
    /// Rises with each word of this life.
    #[prost(uint64, tag = "2")]
    pub echo: u64,
    #[prost(message, repeated, tag = "3")]
    pub hosts: Vec<HostDemand>,
}

/// What one router needs of one host.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct HostDemand {
    #[prost(string, tag = "1")]
    pub host: String,
    /// Statements that the host runs at a time.
    #[prost(uint32, tag = "2")]
    pub slots: u32,
    /// The last part that the router took up, by whom.
    #[prost(uint64, tag = "3")]
    pub fence: u64,
    #[prost(uint64, tag = "4")]
    pub answers: u64,
    #[prost(message, repeated, tag = "5")]
    pub services: Vec<ServiceDemand>,
    /// The databases that the host holds a copy of.
    #[prost(string, tag = "6")]
    pub group: String,
}

/// Of one service, in thousandths of a place.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ServiceDemand {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(uint32, tag = "2")]
    pub running_milli: u32,
    #[prost(uint32, tag = "3")]
    pub waiting_milli: u32,
}

/// From whoever divides to one router, by way of its control machine.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct HostAllocations {
    #[prost(fixed64, tag = "1")]
    pub router: u64,
    #[prost(uint64, tag = "2")]
    pub fence: u64,
    #[prost(message, repeated, tag = "3")]
    pub allocations: Vec<HostAllocation>,
}

/// A router's part of one host. Services that are not named go free.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct HostAllocation {
    #[prost(string, tag = "1")]
    pub host: String,
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The router's word that this answers.
    #[prost(uint64, tag = "3")]
    pub echo: u64,
    #[prost(bool, tag = "4")]
    pub overloaded: bool,
    #[prost(message, repeated, tag = "5")]
    pub caps: Vec<ServiceCap>,
    /// The host's places in thousandths, and how many routers share them.
    #[prost(uint32, tag = "6")]
    pub capacity_milli: u32,
    #[prost(uint32, tag = "7")]
    pub routers: u32,
}

/// How many of a service's statements may be under way, in thousandths.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ServiceCap {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(uint32, tag = "2")]
    pub cap_milli: u32,
}

/// From whoever divides to all control machines and all routers: tell what you need of these hosts.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct OverloadedHosts {
    #[prost(string, repeated, tag = "1")]
    pub hosts: Vec<String>,
}

/// From whoever holds the duty, by way of all control machines, to all routers: the services whose primary is being
/// replaced because it does not answer. It is said again and again while that lasts, and stands for all said before.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Replacements {
    /// Of the duty, as its holder took it up.
    #[prost(uint64, tag = "1")]
    pub fence: u64,
    #[prost(message, repeated, tag = "2")]
    pub services: Vec<Replacement>,
}

/// Of this service's hosts only the candidate may have commits acknowledged.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Replacement {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(string, tag = "2")]
    pub candidate: String,
    /// Above the term of whoever is replaced.
    #[prost(uint64, tag = "3")]
    pub term: u64,
}

/// From a router, and between control machines: a primary that is replaced answered that it leads no more.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Demotion {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(string, tag = "2")]
    pub host: String,
}

/// Asks a voter what it has accepted behind its last chosen slot; it promises nothing.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct Probe {
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct Probed {
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// The last slot that it knows to be chosen, and the highest in which it accepted anything.
    #[prost(uint64, tag = "2")]
    pub chosen: u64,
    #[prost(uint64, tag = "3")]
    pub accepted: u64,
    #[prost(bool, tag = "4")]
    pub votes: bool,
    /// Entries of voters that are still undecided here are below this ballot.
    #[prost(message, required, tag = "5")]
    pub promised: Ballot,
}

impl Phase {
    pub fn as_str(self) -> &'static str {
        match self {
            Phase::InService => "in_service",
            Phase::Draining => "draining",
            Phase::Gone => "gone",
        }
    }
}

impl DbRole {
    pub fn as_str(self) -> &'static str {
        if self == DbRole::Primary { "primary" } else { "replica" }
    }
}

/// A machine's number.
pub fn ip_to_u32(ip: Ipv4Addr) -> u32 {
    u32::from(ip)
}

/// A frame of a word.
pub fn encode_payload(payload: Payload) -> Vec<u8> {
    crate::encode_frame(&Frame { payload: Some(payload) })
}
