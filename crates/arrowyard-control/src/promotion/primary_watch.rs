//! Tracks whether a service has a primary. Every control machine does so, so that a new duty holder
//! knows since when a primary is missing.

use arrowyard_messages::Phase;
use arrowyard_types::{TimeDelta, Timestamp};

use crate::HostRegistry;

/// A service without a primary for this long gets a new one. Hosts send heartbeats every 1.2 s, in any
/// order after a start.
const MISSING_PRIMARY_TIMEOUT: TimeDelta = TimeDelta::from_millis(3000);
/// The same if the previous primary itself reports that it no longer is one: only a promotion begun by
/// an earlier duty holder can still be in progress, which takes 1.5 s at most.
const DEPOSED_PRIMARY_TIMEOUT: TimeDelta = TimeDelta::from_millis(2000);

/// Primary status of one service.
#[derive(Clone, Debug, Default)]
pub struct PrimaryWatch {
    /// Last known primary.
    last_primary: Option<String>,
    /// Since when no host reports to be primary.
    missing_since: Option<Timestamp>,
}

impl PrimaryWatch {
    /// Updates the status from the host registry.
    pub fn update(&mut self, now: Timestamp, service: &str, registry: &HostRegistry) {
        let primary = registry.primary(service);
        if primary.is_some() || registry.members(service).next().is_none() {
            self.last_primary = primary.map(|host| host.id.clone()).or(self.last_primary.take());
            self.missing_since = None;
        } else {
            self.missing_since.get_or_insert(now);
        }
    }

    /// Whether the service currently has no primary.
    pub fn is_primary_missing(&self) -> bool {
        self.missing_since.is_some()
    }

    /// Whether the service needs a new primary, for example because the old one yielded and the duty holder
    /// that was to promote its successor failed.
    pub fn needs_primary(&self, now: Timestamp, registry: &HostRegistry) -> bool {
        let last_primary = self.last_primary.as_ref().and_then(|id| registry.get(id));
        let is_deposed = last_primary.is_some_and(|host| host.phase() != Phase::Gone);
        let wait = if is_deposed { DEPOSED_PRIMARY_TIMEOUT } else { MISSING_PRIMARY_TIMEOUT };
        self.missing_since.is_some_and(|since| now - since >= wait)
    }
}
