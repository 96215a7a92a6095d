//! The data plane of a router: client sessions, pooled connections to database hosts, and the decision
//! module, which picks the host of each statement. It does no I/O; `arrowyard-runtime` executes the
//! commands that it returns.

mod decision;
mod freshness;
mod host_connection;
mod latency;
mod plane;
mod replacements;
mod routes;
mod session;

pub use freshness::PositionTimeline;
pub use host_connection::{ExpectedReply, HostConnection, SessionVariables};
pub use latency::LatencyEstimates;
pub use plane::{LISTENERS, RouterPlane};
pub use routes::{Routes, StatementKind};
pub use session::{Session, SessionStage};
