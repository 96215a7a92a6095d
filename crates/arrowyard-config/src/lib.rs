//! What a process of the system is told: its settings file, and the operator's configuration. Both are read whole and
//! checked whole. No I/O.

mod change;
mod configuration;
mod settings;

pub use change::{Change, ChangeKind};
pub use configuration::{
    Channel, ConfigError, Configuration, Limits, RouteKind, SHARES_FIELD, Service, Share,
};
pub use settings::{Envelope, Settings, SettingsError, Tolerance};
