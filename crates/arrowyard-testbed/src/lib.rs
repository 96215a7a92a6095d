//! Simulated systems around a router, on loopback, for tests and measurements: replicating database hosts
//! with configurable faults, a discovery service, clients that check their replies, and a ledger of applied
//! writes. They implement the public protocols independently and share no code with the router.

mod accept;
pub mod client;
pub mod cluster;
pub mod discovery;
pub mod effect_recorder;
#[cfg(feature = "flight")]
pub mod flight;
mod host;
pub mod lease_scenario;
pub mod load;
pub mod plan;
pub mod protocol_client;
pub mod rig;
pub mod router;
pub mod tcp_relay;
pub mod udp_relay;

pub use client::{Client, Reply};
pub use cluster::{Cluster, HostBehavior, HostSpec};
pub use discovery::DiscoveryBehavior;
pub use protocol_client::ProtocolClient;
pub use router::Process;
