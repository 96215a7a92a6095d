use arrowyard_messages::{Accept, Ballot, Chosen, Host, Snapshot, Voters};
use prost::{Message, Oneof};

/// What the ledger keeps on disk, in the order in which it was decided. Reading it twice changes nothing.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Record {
    #[prost(oneof = "RecordKind", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub kind: Option<RecordKind>,
}

#[derive(Clone, PartialEq, Eq, Hash, Oneof)]
pub enum RecordKind {
    /// Who votes, as the first start was told.
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
    /// What it knew besides, so that a start from nothing is a quick one. Of this only departures were acknowledged.
    #[prost(message, tag = "6")]
    Registry(RegistrySnapshot),
    /// A host that leaves or has left, as it was acknowledged.
    #[prost(message, tag = "7")]
    Departing(Host),
}

#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct RegistrySnapshot {
    #[prost(message, repeated, tag = "1")]
    pub hosts: Vec<Host>,
    #[prost(uint32, tag = "2")]
    pub routers: u32,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct Promised {
    #[prost(uint64, tag = "1")]
    pub slot: u64,
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
}

/// Everything, in place of all records before it.
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
    pub fn encode_kind(kind: RecordKind) -> Vec<u8> {
        Record { kind: Some(kind) }.encode_to_vec()
    }
}
