//! An emulator of the whole system in simulated time, in one process: the planes as they ship, database hosts, clients,
//! the operator and the platform as stand-ins, and faults. What clients, hosts, operator and platform saw is written
//! down in a [`History`], and its auditors look for broken rules; they do not look into the planes.

pub mod acknowledgements;
mod calls;
pub mod capacity;
pub mod catch_up;
pub mod chart;
mod clients;
mod day;
pub mod departures;
pub mod experiment;
pub mod failover;
mod history;
mod host;
pub mod models;
mod operator;
mod platform;
mod shard;
pub mod shares;
mod system;
mod world;

pub use calls::CallAnswer;
pub use clients::Clients;
pub use day::{Day, Fault, Played, Trouble, drawn, play};
pub use history::{Asked, Breach, Fate, Fresh, History, Kept, Shared, Tally};
pub use host::{DatabaseHost, HostFaults, HostPlan};
pub use operator::Operator;
pub use platform::Platform;
pub use shard::Shard;
pub use system::{Callable, Plan, Surge, System};
pub use world::{Disk, DiskFault, MachineId, World};
