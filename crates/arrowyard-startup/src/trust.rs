//! How far a stored host list is trusted. If hosts are replaced at a constant rate and stay for
//! `host_lifetime` on average, the probability that a host still exists after `age` is exp(-age /
//! host_lifetime). This is the confidence, and the share of its size with which the host is used.

use std::path::PathBuf;

use arrowyard_store::{Host, Snapshot};
use arrowyard_types::TimeDelta;

use crate::pacing::PacingConfig;

/// How a stored list is trusted.
#[derive(Clone, Copy, Debug)]
pub struct Trust {
    /// The mean lifetime of a host.
    pub host_lifetime: TimeDelta,
    /// Below this confidence the stored list is not used.
    pub min_confidence: f64,
}

impl Default for Trust {
    fn default() -> Self {
        Trust { host_lifetime: TimeDelta::from_millis(6 * 3_600_000), min_confidence: 0.05 }
    }
}

/// Settings of startup and recovery, from the operator's configuration file.
#[derive(Clone, Debug)]
pub struct StartupSettings {
    /// The directory of the stored list; `None` stores nothing.
    pub store: Option<PathBuf>,
    /// How the stored list is trusted.
    pub trust: Trust,
    /// The minimum time between two writes of the list.
    pub save_interval: TimeDelta,
    /// Limits on calls to discovery.
    pub pacing: PacingConfig,
    /// Lists older than the accepted one are accepted after only such lists have been received for this
    /// long.
    pub rollback_delay: TimeDelta,
}

/// The probability that a host that existed `age` ago still exists.
#[must_use]
pub fn confidence(age: TimeDelta, host_lifetime: TimeDelta) -> f64 {
    (-(age.as_secs_f64().max(0.0) / host_lifetime.as_secs_f64().max(1e-3))).exp()
}

/// A stored host with its size reduced by the confidence in it.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscountedHost {
    pub host: Host,
    /// The share of the stored size that remains.
    pub confidence: f64,
}

/// The usable hosts of a list that was written `age` ago. Roles are not restored, since the primary may have
/// changed. Hosts that were draining, and hosts in `platform_hosts`, the platform's own list, are left
/// out.
#[must_use]
pub fn discount_hosts(
    stored: &Snapshot,
    age: TimeDelta,
    trust: Trust,
    platform_hosts: &[String],
) -> Vec<DiscountedHost> {
    let confidence = confidence(age, trust.host_lifetime);
    if confidence < trust.min_confidence {
        return Vec::new();
    }
    let is_usable =
        |host: &&Host| !host.draining && !host.dial.is_empty() && !platform_hosts.contains(&host.name);
    let discounted = |host: &Host| DiscountedHost {
        // Unlike its role, the start time of a host does not change, so it is kept.
        host: Host { was_primary: false, size: host.size * confidence, ..host.clone() },
        confidence,
    };
    stored.hosts.iter().filter(is_usable).map(discounted).collect()
}
