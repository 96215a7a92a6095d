//! Coming back: what a router that starts knows at each stage, how far it trusts that, when its service is full, and how
//! clients that it gives back are spread. Decided without I/O and clock.

mod list_version;
mod pacing;
mod stage;
mod trust;

pub use list_version::{ListDecision, ListVersionTracker};
pub use pacing::{CallPacer, PacingConfig};
pub use stage::{Stage, StartupConfig, StartupReport, StartupTracker, jittered_retry_after};
pub use trust::{DiscountedHost, StartupSettings, Trust, confidence, discount_hosts};
