//! What a process of the system is told: its settings file, and the operator's configuration. Both are read whole and
//! checked whole. No I/O.

mod change;
mod configuration;
mod settings;

pub use change::{Change, Kind as ChangeKind};
pub use configuration::{Channel, Configuration, Kind, Limits, Refusal, SHARES, Service, Share};
pub use settings::{Envelope, Fault, Settings, Tolerance};
