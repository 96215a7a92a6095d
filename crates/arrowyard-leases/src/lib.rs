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
    /// The candidate got the lease under this epoch.
    Granted(Epoch),
    /// Another candidate holds the lease for at most `remaining`.
    Held { epoch: Epoch, remaining: TimeDelta },
    /// The requested epoch was granted before; carries the newest epoch that the voter knows.
    StaleEpoch(Epoch),
    /// The voter is in its startup wait or recovers lost votes, and grants nothing.
    Abstained,
    /// The voter already tracks the maximum number of leases.
    AtCapacity,
}

impl Verdict {
    /// The epoch under which the lease was granted, if it was.
    #[must_use]
    pub fn granted_epoch(self) -> Option<Epoch> {
        match self {
            Verdict::Granted(epoch) => Some(epoch),
            _ => None,
        }
    }
}

/// A message of the lease protocol.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// A candidate requests or renews these leases in one round.
    Request { from: CandidateId, round: u64, leases: Vec<LeaseEpoch> },
    /// A candidate releases these leases and performs no further effects under them.
    Release {
        from: CandidateId,
        round: u64,
        /// Whether the candidate held the leases, rather than failed to get a majority. Only then does the
        /// voter notify a waiting candidate.
        held: bool,
        leases: Vec<LeaseEpoch>,
    },
    /// A voter's decisions on a request, and its clock at that moment.
    Response { from: VoterId, round: u64, clock: Timestamp, verdicts: Vec<(LeaseId, Verdict)> },
    /// Notifies a candidate that was refused the lease that it was released.
    Available { from: VoterId, lease: LeaseId, epoch: Epoch },
    /// A voter that starts requests the highest epochs and its last incarnation from the other voters.
    RecoveryRequest {
        from: VoterId,
        incarnation: u64,
        /// Drawn at random at each start; distinguishes two starts with the same incarnation.
        nonce: u64,
    },
    /// The response to a recovery request.
    RecoveryResponse {
        from: VoterId,
        /// The incarnation in the request.
        requested_by: u64,
        /// The highest epoch of any lease that the responding voter has granted.
        highest: Epoch,
        /// The latest incarnation of the requesting voter that was known before the request.
        last_known: u64,
        /// Whether the responding voter has lost none of its own votes.
        is_complete: bool,
    },
}

/// The recipient of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Destination {
    Voter(VoterId),
    Candidate(CandidateId),
}
