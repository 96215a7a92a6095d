//! What stands before every effect: the holder looks at its permit at the last moment, and whoever takes the effect looks at
//! the epoch. Danger: a holder that is halted between its look and its act comes back when another one has acted since; no
//! look of its own can tell it that.

use std::collections::BTreeMap;

use arrowyard_types::{TimeDelta, Timestamp};

use crate::config::{CandidateId, Epoch, LeaseId};

/// The right to act, till its end by the holder's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Permit {
    pub lease: LeaseId,
    pub epoch: Epoch,
    pub holder: CandidateId,
    pub end: Timestamp,
}

impl Permit {
    /// Whether an act that takes so long may begin now.
    #[must_use]
    pub fn allows(&self, now: Timestamp, takes: TimeDelta) -> bool {
        now + takes < self.end
    }

    /// How long an act may still take.
    #[must_use]
    pub fn remaining(&self, now: Timestamp) -> TimeDelta {
        (self.end - now).max(TimeDelta::ZERO)
    }
}

/// An effect came too late: something was done under this newer epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StaleEpoch(pub Epoch);

/// Whoever takes effects: the newest epoch of each lease under which something was done.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FencingGuard {
    newest: BTreeMap<LeaseId, (Epoch, CandidateId)>,
}

impl FencingGuard {
    /// Whether this effect may be had. Two of one epoch are possible only where voters lost more than they may; then the one
    /// that came first has it.
    ///
    /// # Errors
    /// Something was done under a newer epoch, or under this one by another.
    pub fn admit(&mut self, lease: LeaseId, epoch: Epoch, holder: CandidateId) -> Result<(), StaleEpoch> {
        let newest = self.newest.entry(lease).or_insert((epoch, holder));
        if epoch < newest.0 || epoch == newest.0 && holder != newest.1 {
            return Err(StaleEpoch(newest.0));
        }
        *newest = (epoch, holder);
        Ok(())
    }

    #[must_use]
    pub fn newest_epoch(&self, lease: LeaseId) -> Option<Epoch> {
        self.newest.get(&lease).map(|(epoch, _)| *epoch)
    }
}
