//! Changes of the operator configuration.

use crate::{ConfigError, Configuration};

/// Whether a change replaces the configuration or adjusts named items of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    Replace,
    Adjust,
}

/// A change of the configuration, as the operator sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub kind: ChangeKind,
    /// The revision that the change is based on.
    pub base: u64,
    /// JSON.
    pub body: Vec<u8>,
}

impl Change {
    /// The configuration after the change.
    ///
    /// # Errors
    /// Why the change is rejected.
    pub fn apply(&self, current: &Configuration) -> Result<Configuration, ConfigError> {
        match self.kind {
            ChangeKind::Replace => current.replace(&self.body),
            ChangeKind::Adjust => current.adjust(&self.body),
        }
    }
}
