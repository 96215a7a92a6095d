//! A deterministic simulation of a fleet: many instances of the decision module, which do not know of each
//! other, send to simulated hosts with a queue, a warm-up, roles and replica positions. It uses no sockets
//! and no clock, and one seed gives the same run each time. It counts what a single router cannot observe:
//! the requests, probes, connects and sends of all routers together.
//!
//! It does not model the costs of the network and the protocol, exhausted connections, hosts whose cores
//! share work (each core runs one op at a time), replicas that lag more under load (the lag is constant), or
//! slow discovery. Its latencies and success rates are therefore no forecast of those of a real deployment.
//! Use it to compare counts and how they grow with the number of routers.

mod host;
pub mod membership;
mod simulation;

pub use host::Host;
pub use simulation::{Event, FleetConfig, FleetCounts, FleetSimulation};
