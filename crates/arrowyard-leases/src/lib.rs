//! Leases for singleton tasks. A fixed set of routers are voters. A candidate requests a lease from all
//! voters and holds it while a majority has granted it, counted from before the request was sent. Each new
//! holder gets a higher epoch, which accompanies every effect as its fencing token. Two properties hold
//! independently:
//!
//! 1. While clock drift stays within the configured bound, no two candidates hold one lease at the
//!    same time.
//! 2. Regardless of clocks and pauses, no effect under an older epoch is accepted after an effect under a
//!    newer one, provided that the receiver of effects checks epochs, as [`FencingGuard`] does.
//!
//! The package does no I/O and reads no clock: the caller passes in messages and the time, stores what must
//! be durable before the messages that depend on it are sent, and transports messages. The safety argument
//! is in `docs/notes/leases.md`.

mod candidate;
mod config;
mod drift;
mod fencing;
pub mod message;
pub mod storage;
mod voter;

pub use candidate::{Candidate, Event, LeaseStatus};
#[cfg(any(test, feature = "flaws"))]
pub use config::Flaw;
pub use config::{CandidateId, Duty, Epoch, LeaseConfig, LeaseId, LeaseSettings, VoterId, lease_id};
pub use drift::{ClockMonitor, DriftEstimator};
pub use fencing::{FencingGuard, Permit, StaleEpoch};
pub use voter::{Stage, Vote, Voter, VoterSnapshot};

use arrowyard_types::{TimeDelta, Timestamp};

/// A lease at an epoch, as a candidate requests or releases it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseEpoch {
    pub lease: LeaseId,
    pub epoch: Epoch,
}

/// A voter's decision on one requested lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    Granted(Epoch),
    /// Another candidate holds it for at most `remaining`.
    Held {
        epoch: Epoch,
        remaining: TimeDelta,
    },
    /// The requested epoch was granted before; carries the newest epoch that the voter knows.
    StaleEpoch(Epoch),
    /// The voter is in its startup wait, or recovers lost votes.
    Abstained,
    /// The voter already tracks its maximum of leases.
    AtCapacity,
}

/// A message of the lease protocol.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// A candidate requests or renews these leases in one round.
    Request { from: CandidateId, round: u64, leases: Vec<LeaseEpoch> },
    /// A candidate releases these leases and performs nothing under them any more. `held`: it held them,
    /// rather than failed to get a majority; only then does the voter notify a waiting candidate.
    Release { from: CandidateId, round: u64, held: bool, leases: Vec<LeaseEpoch> },
    /// A voter's decisions on a request, and its clock at that moment.
    Response { from: VoterId, round: u64, clock: Timestamp, verdicts: Vec<(LeaseId, Verdict)> },
    /// A lease was released: a hint for a candidate that was refused it.
    Available { from: VoterId, lease: LeaseId, epoch: Epoch },
    /// A voter that starts asks the others what they know. `nonce` is drawn at random at each start and
    /// distinguishes two starts with the same incarnation.
    RecoveryRequest { from: VoterId, incarnation: u64, nonce: u64 },
    /// Answers a recovery request. `requested_by`: the incarnation that asked. `highest`: the newest epoch
    /// of any lease that this voter has granted. `last_known`: the latest incarnation of the asking voter
    /// known before this request. `is_complete`: this voter has lost none of its own votes.
    RecoveryResponse { from: VoterId, requested_by: u64, highest: Epoch, last_known: u64, is_complete: bool },
}

/// The recipient of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Destination {
    Voter(VoterId),
    Candidate(CandidateId),
}
