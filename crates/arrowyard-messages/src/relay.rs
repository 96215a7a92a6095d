//! Questions to hosts that control machines cannot reach, relayed by routers.

use prost::{Enumeration, Message};

/// What a host is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Enumeration)]
#[repr(i32)]
pub enum HostRequest {
    /// How far it has received.
    Observe = 0,
    /// To stop receiving.
    Pause = 1,
    /// To go on receiving.
    Continue = 2,
}

/// From the owner of the duty, by way of some control machines, to one router of each.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct RelayedRequest {
    /// The control machine that waits for the answer, and its number for the question.
    #[prost(fixed32, tag = "1")]
    pub asked_by: u32,
    #[prost(uint64, tag = "2")]
    pub number: u64,
    #[prost(string, tag = "3")]
    pub host: String,
    #[prost(enumeration = "HostRequest", tag = "4")]
    pub request: i32,
    /// For [`HostRequest::Pause`]: a term above the newest.
    #[prost(uint64, tag = "5")]
    pub term: u64,
}

/// The answer to a [`RelayedQuestion`], one for each control machine that was told of it.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct RelayedResponse {
    #[prost(fixed32, tag = "1")]
    pub asked_by: u32,
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// None if the host did not answer, or no router could be asked.
    #[prost(message, optional, tag = "3")]
    pub row: Option<HostStatus>,
}

/// What a host says of itself.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct HostStatus {
    #[prost(bool, tag = "1")]
    pub primary: bool,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The position up to which it has received.
    #[prost(uint64, tag = "3")]
    pub received_term: u64,
    #[prost(uint64, tag = "4")]
    pub received_number: u64,
}
