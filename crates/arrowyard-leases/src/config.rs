//! Identifiers and configuration of leases.

use std::net::SocketAddr;
use std::path::PathBuf;

use arrowyard_types::TimeDelta;

/// Identifies a lease by the hash of its name; see [`lease_id`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub u64);

/// The index of a voter among the voters' names in sorted order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VoterId(pub u8);

/// Identifies one incarnation of a candidate process, drawn at random at its start. A name would not do: a
/// restarted process would take over the lease of its previous incarnation, which may only be paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CandidateId(pub u64);

/// The fencing token of a lease; increases with each new holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The following epoch.
    #[must_use]
    pub fn next(self) -> Epoch {
        Epoch(self.0.saturating_add(1))
    }
}

/// The identifier of the lease of this name: the FNV-1a hash of its bytes.
#[must_use]
pub fn lease_id(name: &str) -> LeaseId {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    LeaseId(name.bytes().fold(0xcbf2_9ce4_8422_2325, step))
}

/// Timing and limits; `voter_count`, `term` and `drift_ppm` must be the same at all voters and candidates of
/// a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// The number of voters, reachable or not.
    pub voter_count: u8,
    /// The duration of a grant by the voter's clock.
    pub term: TimeDelta,
    /// The bound on the drift of each clock, in parts per million.
    pub drift_ppm: u32,
    /// A holder requests a renewal after this percentage of the term.
    pub renew_percent: u8,
    /// The delay between a round without a majority and the next one.
    pub retry_interval: TimeDelta,
    /// After this many rounds without a majority, a candidate releases the grants that it got.
    pub max_attempts: u8,
    /// A candidate delays its request by its rank times this window, plus a random part of the window.
    pub contention_window: TimeDelta,
    /// The random part doubles with each conflict, up to this.
    pub max_contention_window: TimeDelta,
    /// The maximum number of leases that a voter tracks.
    pub max_leases: usize,
    /// The maximum number of leases in one message, so that it fits into a datagram.
    pub max_batch_leases: usize,
    /// The protocol violation that a test injects.
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
    /// The quorum: a majority of all voters, reachable or not, so that two sides of a network partition
    /// cannot both have one.
    #[must_use]
    pub fn majority(&self) -> usize {
        usize::from(self.voter_count) / 2 + 1
    }

    /// How long a holder may act by its own clock, counted from before it sent its request. The grant of a
    /// voter with a fast clock lasts for term / (1 + drift) of real time, and a slow holder's clock advances
    /// by that times (1 - drift).
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

/// A singleton task: an HTTP call that the holder of the lease makes periodically.
#[derive(Clone, Debug)]
pub struct Duty {
    /// Also the name of the lease.
    pub name: String,
    /// The address and path of the HTTP call.
    pub address: SocketAddr,
    pub path: String,
    pub interval: TimeDelta,
    /// The maximum duration of a call; a call is started only if the lease lasts longer.
    pub max_duration: TimeDelta,
    /// Routers with a lower rank request the lease earlier.
    pub rank: u32,
}

/// How a router takes part in the lease protocol, from the operator's configuration file.
#[derive(Clone, Debug)]
pub struct LeaseSettings {
    /// The name of the fleet.
    pub fleet: String,
    /// The address on which this router receives lease messages.
    pub listen: SocketAddr,
    /// The voters' names in sorted order, and their addresses as seen from this router.
    pub voters: Vec<(String, SocketAddr)>,
    /// The directory of a voter's file; required if this router is a voter.
    pub store: Option<PathBuf>,
    pub config: LeaseConfig,
    pub duties: Vec<Duty>,
}

/// A deliberate protocol violation, used to prove that the tests detect it.
#[cfg(any(test, feature = "flaws"))]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Flaw {
    /// A holder counts its term from the receipt of a grant instead of from before its request.
    CountFromReceipt,
    /// A voter votes immediately after its start.
    NoStartupWait,
    /// A duplicated grant is counted twice.
    CountDuplicateGrants,
    /// The receiver of effects does not check epochs.
    SkipFencingCheck,
    /// A majority of the responses received is taken for a quorum.
    MajorityOfResponses,
    /// Clock drift is ignored.
    IgnoreDrift,
    /// A voter that lost its votes skips recovery from the others.
    NoRecovery,
    /// The holder does not check whether its lease has expired.
    SkipExpiryCheck,
}
