//! A singleton task of the control plane: who owns it, and when it falls vacant.

use arrowyard_messages::{Duty, Entry, EntryPayload};
use arrowyard_types::{TimeDelta, Timestamp};
use fastrand::Rng;

use crate::AppliedState;

/// A holder that nobody heard of for so long has left its duty vacant. Safety: a holder that is cut off must have noticed
/// by then and have laid the duty down. It does so after 1.75 s: by the others' silence (a peer is away after 1.5 s, and
/// that is looked at each 0.25 s) or by their word that they do not hear it (after 1.25 s, and their beats are 0.5 s
/// apart).
const VACANT: TimeDelta = TimeDelta::from_millis(2000);
/// Whoever sees a vacancy waits up to so long before it asks for a ballot: mostly one is enough.
const SPREAD: TimeDelta = TimeDelta::from_millis(250);

/// One duty that one control machine does for all. Whoever holds it, and with which fence, is an entry of the ledger.
#[derive(Debug)]
pub struct DutyElection {
    pub duty: &'static str,
    me: u32,
    incarnation: u64,
    node: String,
    /// When its holder was last heard of, and of which ballot it is the winner.
    holder_at: Timestamp,
    fence: u64,
    try_at: Option<Timestamp>,
}

impl DutyElection {
    pub fn new(duty: &'static str, me: u32, incarnation: u64, node: &str, now: Timestamp) -> Self {
        DutyElection { duty, me, incarnation, node: node.to_string(), holder_at: now, fence: 0, try_at: None }
    }

    /// The fence under which this machine holds it.
    pub fn held_fence(&self, applied: &AppliedState) -> Option<u64> {
        let duty = applied.duties.get(self.duty)?;
        ((duty.holder, duty.incarnation) == (self.me, self.incarnation)).then_some(duty.fence)
    }

    /// Somebody else has heard of these machines since then. Safety: a way between two machines that is cut is no vacancy.
    /// `life` is what is known here of a machine's present life: a holder that has started again holds nothing any more.
    pub fn record_indirect_contact(
        &mut self,
        since: Timestamp,
        hears: &[u32],
        incarnation: impl FnOnce(u32) -> Option<u64>,
        applied: &AppliedState,
    ) {
        if let Some(duty) = applied.duties.get(self.duty).filter(|duty| hears.contains(&duty.holder))
            && incarnation(duty.holder).is_none_or(|incarnation| incarnation == duty.incarnation)
        {
            self.holder_at = self.holder_at.max(since);
        }
    }

    /// A control machine was heard of, in this life.
    pub fn record_contact(&mut self, now: Timestamp, ip: u32, incarnation: u64, applied: &AppliedState) {
        if applied
            .duties
            .get(self.duty)
            .is_some_and(|duty| (duty.holder, duty.incarnation) == (ip, incarnation))
        {
            self.holder_at = now;
        }
    }

    /// What is to be entered now, if the duty is vacant and it is this machine's turn to ask.
    pub fn poll_candidacy(&mut self, now: Timestamp, applied: &AppliedState, rng: &mut Rng) -> Option<Entry> {
        let fence = applied.duty_fence(self.duty);
        if fence != self.fence {
            (self.fence, self.holder_at, self.try_at) = (fence, now, None);
        }
        if self.held_fence(applied).is_some() {
            self.holder_at = now;
        }
        let vacant = fence == 0 || now - self.holder_at >= VACANT;
        if !vacant {
            self.try_at = None;
            return None;
        }
        let at = *self.try_at.get_or_insert_with(|| now + SPREAD * rng.f64());
        if now < at {
            return None;
        }
        // The next try, should this one come to nothing.
        self.try_at = Some(now + VACANT);
        let (duty, node) = (self.duty.to_string(), self.node.clone());
        Some(Entry {
            payload: Some(EntryPayload::Duty(Duty {
                duty,
                holder: self.me,
                incarnation: self.incarnation,
                node,
                fence,
            })),
        })
    }

    pub fn due(&self) -> Option<Timestamp> {
        self.try_at
    }
}
