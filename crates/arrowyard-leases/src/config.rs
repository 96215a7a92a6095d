//! Ids, and every time and count of leases; filled once at start.

use std::net::SocketAddr;
use std::path::PathBuf;

use arrowyard_types::TimeDelta;

/// A task that one does for all, by the mark of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub u64);

/// A voter, by its place among the voters' names in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VoterId(pub u8);

/// One life of a process that wants leases, drawn at its start. Danger: under its name a process that started anew would
/// take the lease of its former life for its own, while that one is only halted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CandidateId(pub u64);

/// Rises with each holder of a lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

impl Epoch {
    #[must_use]
    pub fn next(self) -> Epoch {
        Epoch(self.0.saturating_add(1))
    }
}

/// The lease of this name: FNV-1a of its bytes.
#[must_use]
pub fn lease_id(name: &str) -> LeaseId {
    let step = |mark: u64, byte: u8| (mark ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    LeaseId(name.bytes().fold(0xcbf2_9ce4_8422_2325, step))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// How many vote.
    pub voter_count: u8,
    /// How long a grant holds, by the voter's clock; the same at all voters and candidates of a fleet.
    pub term: TimeDelta,
    /// How much a clock may run too fast or too slow, in millionths.
    pub drift_ppm: u32,
    /// A holder asks for more once this much of the term has passed, in hundredths.
    pub renew_percent: u8,
    /// A round that brought no majority is followed by another after this.
    pub retry_interval: TimeDelta,
    /// So many rounds without a majority, and what was granted is given back.
    pub max_attempts: u8,
    /// Those that want the same lease spread over this, each by its preference and a draw; doubled with each conflict.
    pub contention_window: TimeDelta,
    pub max_contention_window: TimeDelta,
    /// Leases that a voter knows at most.
    pub max_leases: usize,
    /// Leases in one round at most, so that it fits into a datagram.
    pub max_batch_leases: usize,
    #[cfg(any(test, feature = "flaws"))]
    pub flaw: Option<Flaw>,
}

impl Default for LeaseConfig {
    fn default() -> Self {
        let ms = TimeDelta::from_millis;
        LeaseConfig {
            voter_count: 3,
            term: ms(3000),
            drift_ppm: 1000,
            renew_percent: 33,
            retry_interval: ms(150),
            max_attempts: 3,
            contention_window: ms(60),
            max_contention_window: ms(2000),
            max_leases: 16_384,
            max_batch_leases: 32,
            #[cfg(any(test, feature = "flaws"))]
            flaw: None,
        }
    }
}

impl LeaseConfig {
    /// A majority of all voters. Danger: a majority of those in reach is none; two parts of a cut would each have one.
    #[must_use]
    pub fn majority(&self) -> usize {
        usize::from(self.voter_count) / 2 + 1
    }

    /// How long a holder may act from before it asked, by its own clock. A voter's clock that runs too fast ends the
    /// grant after term / (1 + drift) of true time; the holder's own, if it runs too slow, shows (1 - drift) of that.
    #[must_use]
    pub fn usable_term(&self) -> TimeDelta {
        #[cfg(any(test, feature = "flaws"))]
        if self.flaw == Some(Flaw::IgnoreDrift) {
            return self.term;
        }
        let drift = i64::from(self.drift_ppm);
        let micros = self.term.micros();
        TimeDelta::from_micros(micros * (1_000_000 - drift) / (1_000_000 + drift))
    }
}

/// A task that whoever holds its lease does: a call to whoever takes the effect.
#[derive(Clone, Debug)]
pub struct Duty {
    pub name: String,
    pub address: SocketAddr,
    pub path: String,
    pub interval: TimeDelta,
    /// How long a call may take: it is begun only where the lease lasts longer.
    pub max_duration: TimeDelta,
    /// Those with a smaller number try for it sooner.
    pub rank: u32,
}

/// How a router takes part in leases, from the operator's file.
#[derive(Clone, Debug)]
pub struct LeaseSettings {
    pub fleet: String,
    pub listen: SocketAddr,
    /// The voters' names in order, and where they are reached from here.
    pub voters: Vec<(String, SocketAddr)>,
    /// Where votes are kept, if this router is a voter.
    pub store: Option<PathBuf>,
    pub config: LeaseConfig,
    pub duties: Vec<Duty>,
}

/// What is left out on purpose.
#[cfg(any(test, feature = "flaws"))]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Flaw {
    /// A holder counts from when a grant reached it, not from before it asked.
    CountFromReceipt,
    /// A voter votes as soon as it has started.
    NoStartupWait,
    /// A grant that comes twice counts for two.
    CountDuplicateGrants,
    /// Whoever takes an effect does not look at its epoch.
    SkipFencingCheck,
    /// A majority of those that answered does.
    MajorityOfResponses,
    /// Clock drift is ignored.
    IgnoreDrift,
    /// A voter that lost its store votes without asking the others what was granted.
    NoRecovery,
    /// The holder does not look at its clock before it acts.
    SkipExpiryCheck,
}
