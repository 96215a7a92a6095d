//! The settings file of a process and the operator configuration: parsing and validation. No I/O.

mod change;
mod configuration;
mod settings;

pub use change::{Change, ChangeKind};
pub use configuration::{ConfigError, Configuration, Limits, Route, RouteKind, SHARES_FIELD, Service, Share};
pub use settings::{Envelope, Settings, SettingsError, Tolerance};
