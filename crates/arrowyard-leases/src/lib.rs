//! Leases: who of many routers does a task for all, for a bounded time. A few named routers are voters; whoever wants a lease
//! asks all of them, and holds it while a majority has granted it, counted from before it asked. Epochs only rise, and go
//! with every effect to whoever takes it. Two things are promised, each by itself:
//!
//! 1. While clocks keep within the stated bound of drift, no two believe at one time to hold one lease.
//! 2. Whatever clocks and halts do, nothing that is done under an older epoch has an effect after something was done under
//!    a newer one, where the taker of the effect checks epochs (as [`FencingGuard`] does).
//!
//! No I/O and no clock: the caller hands in words and the time, keeps what is to be kept before it sends what waits for
//! that, and carries words. `docs/notes/leases.md` has the ways that were weighed and the argument for safety.

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

/// One lease that is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseEpoch {
    pub lease: LeaseId,
    pub epoch: Epoch,
}

/// What a voter says of one lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    Granted(Epoch),
    /// Another has it for so long at most.
    Held {
        epoch: Epoch,
        remaining: TimeDelta,
    },
    /// The epoch has been given away already; the newest that is known.
    StaleEpoch(Epoch),
    /// It started lately, or has lost what it knew.
    Abstained,
    /// It knows as many leases as it may.
    AtCapacity,
}

/// What voters and candidates tell each other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// A candidate wants these, or wants them for longer, all in one round.
    Request { from: CandidateId, round: u64, leases: Vec<LeaseEpoch> },
    /// A candidate gives these back; it acts under none of them any more. `held`: it held them, and was not just refused a
    /// majority: then others are told of the vacancy.
    Release { from: CandidateId, round: u64, held: bool, leases: Vec<LeaseEpoch> },
    /// A voter's answer, and its clock as it answered.
    Response { from: VoterId, round: u64, clock: Timestamp, verdicts: Vec<(LeaseId, Verdict)> },
    /// A lease was given back: a hint for those that were refused it.
    Available { from: VoterId, lease: LeaseId, epoch: Epoch },
    /// A voter has started, in this life of its store; `start` is drawn at each start.
    RecoveryRequest { from: VoterId, incarnation: u64, nonce: u64 },
    /// The newest epoch that a voter has granted of any lease, and the latest life that it knew of the one that asked before
    /// this start.
    /// `whole`: it has its store, and has lost nothing.
    /// `asked` is the life in which it was asked.
    RecoveryResponse { from: VoterId, requested_by: u64, highest: Epoch, last_known: u64, is_complete: bool },
}

/// The recipient of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Destination {
    Voter(VoterId),
    Candidate(CandidateId),
}
