//! Election of the holder of a singleton duty of the control plane.

use arrowyard_messages::{Duty, Entry, EntryPayload};
use arrowyard_types::{TimeDelta, Timestamp};
use fastrand::Rng;

use crate::AppliedState;

/// A holder that no machine has heard from for this long is replaced. Safety: a partitioned holder must
/// have given up the duty by then. It does so within 1.75 s: peers count as unreachable after 1.5 s of
/// silence, checked every 0.25 s, or after they report (1.25 s without a heartbeat, heartbeats every
/// 0.5 s) that they do not hear it.
const VACANCY_TIMEOUT: TimeDelta = TimeDelta::from_millis(2000);
/// Random delay before a machine proposes itself for a vacant duty, so that usually only one does.
const MAX_CANDIDACY_DELAY: TimeDelta = TimeDelta::from_millis(250);

/// A singleton duty held by one control machine at a time. The holder and its fencing token are entries
/// of the replicated log.
#[derive(Debug)]
pub struct DutyElection {
    pub duty: &'static str,
    local_ip: u32,
    incarnation: u64,
    node: String,
    /// When the holder was last heard from, and the fencing token of that holder.
    holder_seen_at: Timestamp,
    fence: u64,
    candidacy_at: Option<Timestamp>,
}

impl DutyElection {
    /// Creates the election state of this machine for `duty`.
    pub fn new(duty: &'static str, local_ip: u32, incarnation: u64, node: &str, now: Timestamp) -> Self {
        DutyElection {
            duty,
            local_ip,
            incarnation,
            node: node.to_string(),
            holder_seen_at: now,
            fence: 0,
            candidacy_at: None,
        }
    }

    /// Fencing token of the duty if this machine holds it.
    pub fn held_fence(&self, applied: &AppliedState) -> Option<u64> {
        let duty = applied.duties.get(self.duty)?;
        ((duty.holder, duty.incarnation) == (self.local_ip, self.incarnation)).then_some(duty.fence)
    }

    /// Records that a peer has heard from these machines since the given time. Safety: a broken link
    /// between two machines does not make the duty vacant. `incarnation` returns the known incarnation of a
    /// machine: a restarted holder no longer holds the duty.
    pub fn record_indirect_contact(
        &mut self,
        since: Timestamp,
        reachable: &[u32],
        incarnation: impl FnOnce(u32) -> Option<u64>,
        applied: &AppliedState,
    ) {
        if let Some(duty) = applied.duties.get(self.duty).filter(|duty| reachable.contains(&duty.holder))
            && incarnation(duty.holder).is_none_or(|incarnation| incarnation == duty.incarnation)
        {
            self.holder_seen_at = self.holder_seen_at.max(since);
        }
    }

    /// Records a message from a control machine in this incarnation.
    pub fn record_contact(&mut self, now: Timestamp, ip: u32, incarnation: u64, applied: &AppliedState) {
        if applied
            .duties
            .get(self.duty)
            .is_some_and(|duty| (duty.holder, duty.incarnation) == (ip, incarnation))
        {
            self.holder_seen_at = now;
        }
    }

    /// Returns the entry to propose if the duty is vacant and this machine's random delay has passed.
    pub fn poll_candidacy(&mut self, now: Timestamp, applied: &AppliedState, rng: &mut Rng) -> Option<Entry> {
        let fence = applied.duty_fence(self.duty);
        if fence != self.fence {
            (self.fence, self.holder_seen_at, self.candidacy_at) = (fence, now, None);
        }
        if self.held_fence(applied).is_some() {
            self.holder_seen_at = now;
        }
        let vacant = fence == 0 || now - self.holder_seen_at >= VACANCY_TIMEOUT;
        if !vacant {
            self.candidacy_at = None;
            return None;
        }
        let at = *self.candidacy_at.get_or_insert_with(|| now + MAX_CANDIDACY_DELAY * rng.f64());
        if now < at {
            return None;
        }
        // Time of the next attempt if this one fails.
        self.candidacy_at = Some(now + VACANCY_TIMEOUT);
        let (duty, node) = (self.duty.to_string(), self.node.clone());
        Some(Entry {
            payload: Some(EntryPayload::Duty(Duty {
                duty,
                holder: self.local_ip,
                incarnation: self.incarnation,
                node,
                fence,
            })),
        })
    }

    /// When this machine's next candidacy is due.
    pub fn due(&self) -> Option<Timestamp> {
        self.candidacy_at
    }
}
