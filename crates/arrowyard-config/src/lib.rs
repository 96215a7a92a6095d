//! The settings file of a process and the operator configuration: parsing and validation. No I/O.

mod change;
mod configuration;
mod settings;

pub use change::{Change, ChangeKind};
pub use configuration::{
    Channel, ConfigError, Configuration, Limits, RouteKind, SHARES_FIELD, Service, Share,
};
pub use settings::{Envelope, Settings, SettingsError, Tolerance};
