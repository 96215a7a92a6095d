//! State of one member, and the precedence of claims about it.

use std::net::SocketAddr;
use std::rc::Rc;

use arrowyard_types::{TimeDelta, Timestamp};
use smallvec::SmallVec;

use crate::message::{Claim, Rumor, hash_name, mix_bits};

/// Index of a member in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberIndex(pub u32);

/// Standing of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    Alive,
    /// It does not answer: stalled, starved, partitioned or dead.
    Silent,
    /// Silent beyond the suspicion timeout: dead, or on the other side of a partition.
    Lost,
    /// Its machine refuses datagrams: the process no longer exists.
    Dead,
    /// It shut down as planned.
    Left,
}

impl Standing {
    /// The claim of this standing in rumors.
    #[must_use]
    pub fn claim(self) -> Claim {
        match self {
            Standing::Alive => Claim::Alive,
            Standing::Silent => Claim::Suspect,
            Standing::Lost => Claim::Lost,
            Standing::Dead => Claim::Dead,
            Standing::Left => Claim::Left,
        }
    }

    /// Whether the process may still be running.
    #[must_use]
    pub fn may_act(self) -> bool {
        matches!(self, Standing::Alive | Standing::Silent | Standing::Lost)
    }

    /// Whether regular probes skip the member.
    #[must_use]
    pub fn is_inactive(self) -> bool {
        matches!(self, Standing::Lost | Standing::Dead | Standing::Left)
    }
}

/// Whether a rumor with this incarnation and claim replaces the current standing. A higher incarnation
/// always does. Within one incarnation a claim only replaces a weaker one, so that a late datagram cannot
/// bring a dead member back.
#[must_use]
pub fn supersedes(incarnation: u64, claim: Claim, current_incarnation: u64, standing: Standing) -> bool {
    (incarnation, claim as i32) > (current_incarnation, standing.claim() as i32)
}

/// Largest drift between two clocks, as a fraction of elapsed time.
const MAX_CLOCK_DRIFT: f64 = 0.001;

/// Maximum number of members that are recorded as suspecting or refusing a member.
pub const MAX_REPORTERS: usize = 3;

/// What this router knows of another member.
#[derive(Clone, Debug)]
pub struct Member {
    /// Unique name.
    pub name: Rc<str>,
    /// The address that it advertises.
    pub address: SocketAddr,
    /// Highest known incarnation.
    pub incarnation: u64,
    /// Identifies the process that holds the name.
    pub nonce: u64,
    /// Current standing.
    pub standing: Standing,
    /// When the standing last changed.
    pub standing_since: Timestamp,
    /// When this router last received a datagram of this incarnation, an ack, and an ack through a helper.
    pub last_heard: Timestamp,
    pub last_ack: Timestamp,
    pub last_indirect_ack: Timestamp,
    /// When a probe of this router last failed.
    pub last_probe_failure: Timestamp,
    /// Names of the members that suspect it.
    pub suspected_by: SmallVec<[Rc<str>; MAX_REPORTERS]>,
    /// Names of the members whose datagrams its port refused.
    pub refused_by: SmallVec<[Rc<str>; MAX_REPORTERS]>,
    /// Whether the member serves no ops.
    pub idle: bool,
    /// Name of the member whose rumor led to the standing.
    pub reported_by: Rc<str>,
    /// How often the standing changed from alive to silent.
    pub suspicion_count: u32,
    /// Positions on the rings by which members observe each other.
    pub ring_positions: [u64; 2],
    /// How often the rumor about it will still be sent.
    pub remaining_transmissions: u8,
    /// Sender's timestamp of the latest datagram of this incarnation, in microseconds, and the smallest
    /// difference seen between receive and send time.
    pub last_sent_us: u64,
    pub min_clock_offset: Option<TimeDelta>,
}

impl Member {
    /// A member that is alive from now on, without evidence of its own.
    #[must_use]
    pub fn new(name: Rc<str>, address: SocketAddr, incarnation: u64, nonce: u64, now: Timestamp) -> Member {
        let name_hash = hash_name(&name);
        Member {
            reported_by: name.clone(),
            name,
            address,
            incarnation,
            nonce,
            standing: Standing::Alive,
            standing_since: now,
            last_heard: Timestamp::DISTANT_PAST,
            last_ack: Timestamp::DISTANT_PAST,
            last_indirect_ack: Timestamp::DISTANT_PAST,
            last_probe_failure: Timestamp::DISTANT_PAST,
            suspected_by: SmallVec::new(),
            refused_by: SmallVec::new(),
            idle: false,
            suspicion_count: 0,
            ring_positions: [mix_bits(name_hash ^ 1), mix_bits(name_hash ^ 2)],
            remaining_transmissions: 0,
            last_sent_us: 0,
            min_clock_offset: None,
        }
    }

    /// Accepts a datagram of this incarnation. Returns how much later it arrived than the fastest one, or
    /// `None` if it is not newer than an earlier one, so that replayed, duplicated and delayed datagrams are
    /// no sign of life. The smallest difference may rise over `since`, because the two clocks drift.
    pub fn accept_datagram(&mut self, sent_us: u64, now: Timestamp, since: TimeDelta) -> Option<TimeDelta> {
        if sent_us <= self.last_sent_us {
            return None;
        }
        let delay = now - Timestamp::from_micros(sent_us as i64);
        let min_delay =
            self.min_clock_offset.map_or(delay, |min_delay| delay.min(min_delay + since * MAX_CLOCK_DRIFT));
        (self.last_sent_us, self.min_clock_offset) = (sent_us, Some(min_delay));
        Some(delay - min_delay)
    }

    /// Latest evidence of this incarnation, direct or through a helper.
    #[must_use]
    pub fn last_evidence(&self) -> Timestamp {
        self.last_heard.max(self.last_ack).max(self.last_indirect_ack)
    }

    /// Latest evidence received directly from the member.
    #[must_use]
    pub fn last_direct_evidence(&self) -> Timestamp {
        self.last_heard.max(self.last_ack)
    }

    /// Time since the last evidence, or since the standing changed if that is later.
    #[must_use]
    pub fn silent_for(&self, now: Timestamp) -> TimeDelta {
        now - self.standing_since.max(self.last_evidence())
    }

    /// The rumor that states the current standing.
    #[must_use]
    pub fn rumor(&self) -> Rumor {
        let reporters = if self.standing == Standing::Silent || self.standing == Standing::Lost {
            self.suspected_by.iter().map(ToString::to_string).collect()
        } else if self.standing == Standing::Dead {
            self.refused_by.iter().map(ToString::to_string).collect()
        } else {
            Vec::new()
        };
        Rumor {
            name: self.name.to_string(),
            incarnation: self.incarnation,
            claim: self.standing.claim() as i32,
            address: self.address.to_string(),
            nonce: self.nonce,
            reporters,
            refused: !self.refused_by.is_empty(),
            idle: self.idle,
            age_ms: 0,
        }
    }

    /// Adds a member that suspects this one. Returns whether it is new and there was room.
    pub fn add_suspecting_member(&mut self, reporter: &Rc<str>) -> bool {
        let new = !self.suspected_by.contains(reporter) && self.suspected_by.len() < MAX_REPORTERS;
        if new {
            self.suspected_by.push(reporter.clone());
        }
        new
    }
}
