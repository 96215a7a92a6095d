//! Records on the disk of a control machine.

use arrowyard_messages::{Accept, Ballot, Chosen, Host, Snapshot, Voters};
use prost::{Message, Oneof};

/// One record on the disk of a control machine. Records are written in the order of the decisions they
/// contain; replaying a record twice has no effect.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Record {
    #[prost(oneof = "RecordKind", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub kind: Option<RecordKind>,
}

/// Contents of a record.
#[derive(Clone, PartialEq, Eq, Hash, Oneof)]
pub enum RecordKind {
    /// Initial voters of a first start.
    #[prost(message, tag = "1")]
    InitialVoters(Voters),
    #[prost(message, tag = "2")]
    Promised(Promised),
    #[prost(message, tag = "3")]
    Accepted(Accept),
    #[prost(message, tag = "4")]
    Chosen(Chosen),
    #[prost(message, tag = "5")]
    Snapshot(LogSnapshot),
    /// Known hosts and router count, which speed up recovery. Only the departures among them were
    /// acknowledged.
    #[prost(message, tag = "6")]
    Registry(RegistrySnapshot),
    /// A draining or departed host, written before it is acknowledged.
    #[prost(message, tag = "7")]
    Departing(Host),
}

/// Host registry and router count.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct RegistrySnapshot {
    #[prost(message, repeated, tag = "1")]
    pub hosts: Vec<Host>,
    #[prost(uint32, tag = "2")]
    pub routers: u32,
}

/// A promise of a voter not to accept lower ballots for a slot.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct Promised {
    #[prost(uint64, tag = "1")]
    pub slot: u64,
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
}

/// Complete state that replaces all earlier records.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct LogSnapshot {
    #[prost(message, required, tag = "1")]
    pub snapshot: Snapshot,
    #[prost(message, required, tag = "2")]
    pub promised: Ballot,
    #[prost(message, optional, tag = "3")]
    pub accepted: Option<Accept>,
    #[prost(bool, tag = "4")]
    pub votes: bool,
    #[prost(message, optional, tag = "5")]
    pub registry: Option<RegistrySnapshot>,
}

impl Record {
    /// Encodes a record with these contents.
    pub fn encode_kind(kind: RecordKind) -> Vec<u8> {
        Record { kind: Some(kind) }.encode_to_vec()
    }
}
