//! Startup and recovery of a router: the stages of a start, how far restored state is trusted, when service
//! is complete, and how retries of rejected clients are spread. No I/O and no clock.

mod list_version;
mod pacing;
mod stage;
mod trust;

pub use list_version::{ListDecision, ListVersionTracker};
pub use pacing::{CallPacer, PacingConfig};
pub use stage::{Stage, StartupConfig, StartupReport, StartupTracker, jittered_retry_after};
pub use trust::{DiscountedHost, StartupSettings, Trust, confidence, discount_hosts};
