//! Leases: who of many routers does a task for all, for a bounded time. A few named routers are voters; whoever wants a lease
//! asks all of them, and holds it while a majority has granted it, counted from before it asked. Epochs only rise, and go
//! with every effect to whoever takes it. Two things are promised, each by itself:
//!
//! 1. While clocks keep within the stated bound of drift, no two believe at one time to hold one lease.
//! 2. Whatever clocks and halts do, nothing that is done under an older epoch has an effect after something was done under
//!    a newer one, where the taker of the effect checks epochs (as [`Taker`] does).
//!
//! No I/O and no clock: the caller hands in words and the time, keeps what is to be kept before it sends what waits for
//! that, and carries words. `docs/notes/leases.md` has the ways that were weighed and the argument for safety.

mod candidate;
mod drift;
mod guard;
pub mod keep;
pub mod message;
mod terms;
mod voter;

pub use candidate::{Candidate, Event, Seen};
pub use drift::{Clocks, Drift};
pub use guard::{Behind, Permit, Taker};
#[cfg(any(test, feature = "flaws"))]
pub use terms::Flaw;
pub use terms::{CandidateId, Duty, Epoch, Joins, LeaseId, Terms, VoterId, lease};
pub use voter::{Image, Stage, Vote, Voter};

use arrowyard_types::{TimeDelta, Timestamp};

/// One lease that is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Want {
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
        left: TimeDelta,
    },
    /// The epoch has been given away already; the newest that is known.
    Old(Epoch),
    /// It started lately, or has lost what it knew.
    Abstains,
    /// It knows as many leases as it may.
    Full,
}

/// What voters and candidates tell each other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Word {
    /// A candidate wants these, or wants them for longer, all in one round.
    Ask { from: CandidateId, round: u64, wants: Vec<Want> },
    /// A candidate gives these back; it acts under none of them any more. `held`: it held them, and was not just refused a
    /// majority: then others are told of the vacancy.
    Free { from: CandidateId, round: u64, held: bool, wants: Vec<Want> },
    /// A voter's answer, and its clock as it answered.
    Answer { from: VoterId, round: u64, clock: Timestamp, verdicts: Vec<(LeaseId, Verdict)> },
    /// A lease was given back: a hint for those that were refused it.
    Vacant { from: VoterId, lease: LeaseId, epoch: Epoch },
    /// A voter has started, in this life of its store; `start` is drawn at each start.
    Learn { from: VoterId, life: u64, start: u64 },
    /// The newest epoch that a voter has granted of any lease, and the latest life that it knew of the one that asked before
    /// this start.
    /// `whole`: it has its store, and has lost nothing.
    /// `asked` is the life in which it was asked.
    Learnt { from: VoterId, asked: u64, highest: Epoch, life: u64, whole: bool },
}

/// To whom a word goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum To {
    Voter(VoterId),
    Candidate(CandidateId),
}
