//! Requests to hosts that control machines cannot reach, relayed by routers.

use prost::{Enumeration, Message};

/// A request to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Enumeration)]
#[repr(i32)]
pub enum HostRequest {
    /// Report the replication state.
    Observe = 0,
    /// Stop receiving the replication log.
    Pause = 1,
    /// Resume receiving the replication log.
    Continue = 2,
}

/// From the holder of the duty through several control machines to one router of each.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct RelayedRequest {
    /// Address of the control machine that waits for the response.
    #[prost(fixed32, tag = "1")]
    pub asked_by: u32,
    #[prost(uint64, tag = "2")]
    /// The number that this control machine gave to the request.
    pub number: u64,
    #[prost(string, tag = "3")]
    pub host: String,
    #[prost(enumeration = "HostRequest", tag = "4")]
    pub request: i32,
    /// For [`HostRequest::Pause`]: a term above the current one.
    #[prost(uint64, tag = "5")]
    pub term: u64,
}

/// The response to a [`RelayedRequest`], sent to each control machine that relayed it.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct RelayedResponse {
    #[prost(fixed32, tag = "1")]
    pub asked_by: u32,
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// `None` if the host did not respond or no router was available.
    #[prost(message, optional, tag = "3")]
    pub row: Option<HostStatus>,
}

/// The replication state of a host.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct HostStatus {
    #[prost(bool, tag = "1")]
    pub primary: bool,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Log position received.
    #[prost(uint64, tag = "3")]
    pub received_term: u64,
    #[prost(uint64, tag = "4")]
    pub received_number: u64,
}
