use crate::{ConfigError, Configuration};

/// Whether a change brings a whole configuration or named items of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    Replace,
    Adjust,
}

/// A change of the configuration, as the operator sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub kind: ChangeKind,
    /// The version that it builds on.
    pub base: u64,
    pub body: Vec<u8>,
}

impl Change {
    /// What the configuration is after it.
    ///
    /// # Errors
    /// Why it is not taken.
    pub fn apply(&self, to: &Configuration) -> Result<Configuration, ConfigError> {
        match self.kind {
            ChangeKind::Replace => to.replace(&self.body),
            ChangeKind::Adjust => to.adjust(&self.body),
        }
    }
}
