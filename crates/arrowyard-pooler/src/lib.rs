//! The data plane: clients' sessions before, hosts' connections behind, and the module between them, which picks the
//! host of every statement that may choose. It decides without I/O; `arrowyard-runtime` carries out what it orders.

mod freshness;
mod latency;
mod link;
mod module;
mod plane;
mod replacements;
mod routes;
mod session;

pub use freshness::PositionTimeline;
pub use latency::LatencyEstimates;
pub use link::{ExpectedReply, HostConnection, SessionVariables};
pub use plane::{LISTENERS, RouterPlane};
pub use routes::{Routes, Statement as StatementKind};
pub use session::{Session, Stage};
