//! Deterministic emulator of the whole system in simulated time, in one process: the shipped planes,
//! simulated database hosts, clients, operator and platform, and injected faults. The simulated
//! participants record what they observe in a [`History`], whose auditors check the invariants without
//! access to the internal state of the planes.

pub mod acknowledgements;
mod calls;
pub mod capacity;
pub mod catch_up;
pub mod chart;
mod clients;
pub mod departures;
mod deployment;
pub mod experiment;
pub mod failover;
mod history;
mod host;
pub mod models;
mod operator;
mod platform;
mod replication;
mod scenario;
pub mod shares;
mod simulation;

pub use calls::CallReply;
pub use clients::Clients;
pub use deployment::{ControlAddresses, Deployment, DeploymentPlan, Surge};
pub use history::{
    Freshness, History, KindStats, OperationCounts, SharedHistory, StatementRecord, Violation, WriteOutcome,
};
pub use host::{DatabaseHost, HostFaults, HostPlan};
pub use operator::Operator;
pub use platform::Platform;
pub use replication::ReplicationGroup;
pub use scenario::{Fault, FaultKind, RunResult, Scenario, random_scenario, run_scenario};
pub use simulation::{Disk, DiskFault, MachineId, Simulation};
