//! Stand-ins for the systems that a router stands between, on loopback, for tests and measurements: groups of
//! database hosts that really replicate and do as scripted, discovery with its faults, clients that check what they
//! are answered, and a ledger of what was applied where. They speak the public protocols on their own and share no
//! code with the router.

pub mod client;
pub mod discovery;
#[cfg(feature = "flight")]
pub mod flight;
mod host;
pub mod load;
pub mod plan;
pub mod relay;
pub mod rig;
pub mod router;
pub mod speaks;
pub mod taker;
pub mod town;
pub mod trial;
pub mod wire;

pub use client::{Client, Reply};
pub use discovery::Mood;
pub use router::Process;
pub use speaks::Speaks;
pub use town::{Act, Spec, Town};
