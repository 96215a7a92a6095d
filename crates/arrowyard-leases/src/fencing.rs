//! Checks before each effect: the holder checks its permit at the last moment, and the receiver of the
//! effect checks the epoch. A holder that is paused between its check and its effect may resume after
//! another holder has acted, which only the receiver's check can detect.

use std::collections::BTreeMap;

use arrowyard_types::{TimeDelta, Timestamp};

use crate::config::{CandidateId, Epoch, LeaseId};

/// The right to act under a lease until `end` by the holder's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Permit {
    pub lease: LeaseId,
    pub epoch: Epoch,
    pub holder: CandidateId,
    pub end: Timestamp,
}

impl Permit {
    /// Whether an action that takes up to `duration` may start now.
    #[must_use]
    pub fn allows(&self, now: Timestamp, duration: TimeDelta) -> bool {
        now + duration < self.end
    }

    /// The time until the permit ends.
    #[must_use]
    pub fn remaining(&self, now: Timestamp) -> TimeDelta {
        (self.end - now).max(TimeDelta::ZERO)
    }
}

/// An effect was rejected; carries the newest epoch under which an effect of its lease was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StaleEpoch(pub Epoch);

/// The receiver's check of fencing tokens: rejects effects under older epochs than those accepted before.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FencingGuard {
    /// The epoch and the holder of the newest accepted effect of each lease.
    newest_effects: BTreeMap<LeaseId, (Epoch, CandidateId)>,
}

impl FencingGuard {
    /// Accepts or rejects an effect. Two holders under one epoch are possible only if more voters lost their
    /// votes than the protocol tolerates; then only effects of the first one are accepted.
    ///
    /// # Errors
    /// An effect was accepted under a newer epoch, or under this one from another holder.
    pub fn admit(&mut self, lease: LeaseId, epoch: Epoch, holder: CandidateId) -> Result<(), StaleEpoch> {
        let newest = self.newest_effects.entry(lease).or_insert((epoch, holder));
        let (newest_epoch, newest_holder) = *newest;
        if epoch < newest_epoch || epoch == newest_epoch && holder != newest_holder {
            return Err(StaleEpoch(newest_epoch));
        }
        *newest = (epoch, holder);
        Ok(())
    }

    /// The newest epoch of this lease under which an effect was accepted.
    #[must_use]
    pub fn newest_epoch(&self, lease: LeaseId) -> Option<Epoch> {
        self.newest_effects.get(&lease).map(|(epoch, _)| *epoch)
    }
}
