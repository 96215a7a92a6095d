//! How far a stored list is trusted. Hosts are replaced at some rate, and each that is gone, or is another by now, costs
//! whoever dials it. If a host stays for `life` on average, and goes at no time more likely than at another, the chance that
//! it is still there after `age` is exp(-age / life): that is the confidence, and the share of its size that it is used with.

use std::path::PathBuf;

use arrowyard_store::{Host, Snapshot};
use arrowyard_types::TimeDelta;

use crate::pacing::PacingConfig;

/// What of a list is used.
#[derive(Clone, Copy, Debug)]
pub struct Trust {
    /// How long a host stays, on average.
    pub host_lifetime: TimeDelta,
    /// Below this confidence an entry is left out.
    pub min_confidence: f64,
}

impl Default for Trust {
    fn default() -> Self {
        Trust { host_lifetime: TimeDelta::from_millis(6 * 3_600_000), min_confidence: 0.05 }
    }
}

/// How a router comes back, from the operator's file.
#[derive(Clone, Debug)]
pub struct StartupSettings {
    /// The folder in which it keeps its list; nothing is kept where there is none.
    pub store: Option<PathBuf>,
    pub trust: Trust,
    /// The list is written at most so often.
    pub save_interval: TimeDelta,
    /// How discovery is asked, by all routers together.
    pub pacing: PacingConfig,
    /// For so long older lists than the one held have to come, and no newer one, till they are believed.
    pub rollback_delay: TimeDelta,
}

/// The chance that a host which was there so long ago is there now.
#[must_use]
pub fn confidence(age: TimeDelta, life: TimeDelta) -> f64 {
    (-(age.as_secs_f64().max(0.0) / life.as_secs_f64().max(1e-3))).exp()
}

/// An entry of a stored list, as it may be used.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscountedHost {
    pub host: Host,
    /// The share of its size that it is used with.
    pub confidence: f64,
}

/// The entries that may be used, at a time so long after the list was written. Danger: what was decided before and has
/// changed since. A primary is taken for none: the group is asked. A host that had begun to drain stays closed till
/// discovery says otherwise. One that is new to the platform's own list and not in it is left to that list, where there is one.
#[must_use]
pub fn discount_hosts(
    stored: &Snapshot,
    age: TimeDelta,
    trust: Trust,
    known: &[String],
) -> Vec<DiscountedHost> {
    let confidence = confidence(age, trust.host_lifetime);
    if confidence < trust.min_confidence {
        return Vec::new();
    }
    let fit = |host: &&Host| !host.draining && !host.dial.is_empty() && !known.contains(&host.name);
    let used = |host: &Host| DiscountedHost {
        // Its warmth goes by its start, which does not change; its role and its readiness do.
        host: Host { was_primary: false, size: host.size * confidence, ..host.clone() },
        confidence,
    };
    stored.hosts.iter().filter(fit).map(used).collect()
}
