//! What is kept of one member, and which of two words about it counts.

use std::net::SocketAddr;
use std::rc::Rc;

use arrowyard_types::{TimeDelta, Timestamp};
use smallvec::SmallVec;

use crate::message::{Claim, Rumor, hash_name, mix_bits};

/// A place in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot(pub u32);

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    Alive,
    /// It answers nobody just now: halted, starved, cut off or dead, which silence alone does not tell.
    Silent,
    /// Silent for so long that nobody waits for it; dead, or in a part of the fleet that is cut off.
    Lost,
    /// Its machine says that the process is no more.
    Dead,
    /// It ended as planned.
    Left,
}

impl Standing {
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

    /// Whether it may act: it lives, or nobody can tell.
    #[must_use]
    pub fn may_act(self) -> bool {
        matches!(self, Standing::Alive | Standing::Silent | Standing::Lost)
    }

    /// Whether nobody asks it any more in the ordinary rounds.
    #[must_use]
    pub fn is_inactive(self) -> bool {
        matches!(self, Standing::Lost | Standing::Dead | Standing::Left)
    }
}

/// Whether a word of this life and claim replaces what is held. Danger: a late datagram about a former life, or about the
/// same life before its end, brings the dead back. So only a later life does, and within one life words only get worse.
#[must_use]
pub fn supersedes(life: u64, claim: Claim, held: u64, standing: Standing) -> bool {
    (life, claim as i32) > (held, standing.claim() as i32)
}

/// How far two clocks may drift apart, as a share of the time.
const MAX_CLOCK_DRIFT: f64 = 0.001;

/// How many accusers are remembered.
pub const MAX_ACCUSERS: usize = 3;

#[derive(Clone, Debug)]
pub struct Member {
    pub name: Rc<str>,
    /// Where it says that it is.
    pub address: SocketAddr,
    pub incarnation: u64,
    pub nonce: u64,
    pub standing: Standing,
    /// Since when it stands so.
    pub standing_since: Timestamp,
    /// When this router last got a datagram of this life from it, one of its answers, and one by way of a helper.
    pub last_heard: Timestamp,
    pub last_ack: Timestamp,
    pub last_indirect_ack: Timestamp,
    /// When this router's own questions to it were last given up.
    pub last_probe_failure: Timestamp,
    /// Who says that it is silent: marks of their names, and the names.
    pub accusers: SmallVec<[Rc<str>; MAX_ACCUSERS]>,
    /// Who got word that nobody listens there, and when this router did.
    pub refused_by: SmallVec<[Rc<str>; MAX_ACCUSERS]>,
    pub idle: bool,
    /// Whose word it stands by.
    pub reported_by: Rc<str>,
    /// How often its standing went from alive to silent.
    pub suspicion_count: u32,
    /// Places on the rings by which members observe each other.
    pub ring_positions: [u64; 2],
    /// How often the news of it is still passed on.
    pub remaining_transmissions: u8,
    /// The latest datagram of this life, by its sender's clock, and the least that one ever took, by both clocks.
    pub last_sent_us: u64,
    pub min_clock_offset: Option<TimeDelta>,
}

impl Member {
    #[must_use]
    pub fn new(name: Rc<str>, at: SocketAddr, life: u64, nonce: u64, now: Timestamp) -> Member {
        let of = hash_name(&name);
        Member {
            reported_by: name.clone(),
            name,
            address: at,
            incarnation: life,
            nonce,
            standing: Standing::Alive,
            standing_since: now,
            last_heard: Timestamp::DISTANT_PAST,
            last_ack: Timestamp::DISTANT_PAST,
            last_indirect_ack: Timestamp::DISTANT_PAST,
            last_probe_failure: Timestamp::DISTANT_PAST,
            accusers: SmallVec::new(),
            refused_by: SmallVec::new(),
            idle: false,
            suspicion_count: 0,
            ring_positions: [mix_bits(of ^ 1), mix_bits(of ^ 2)],
            remaining_transmissions: 0,
            last_sent_us: 0,
            min_clock_offset: None,
        }
    }

    /// A datagram of this life came; how late it is, or nothing if one like it came before. Danger: one that was replayed,
    /// doubled or held up looks like a sign of life. Both clocks run at their own rate, so what was least is let rise.
    pub fn accept_datagram(&mut self, sent: u64, now: Timestamp, since: TimeDelta) -> Option<TimeDelta> {
        if sent <= self.last_sent_us {
            return None;
        }
        let took = now - Timestamp::from_micros(sent as i64);
        let least = self.min_clock_offset.map_or(took, |least| took.min(least + since * MAX_CLOCK_DRIFT));
        (self.last_sent_us, self.min_clock_offset) = (sent, Some(least));
        Some(took - least)
    }

    /// The latest proof of this life that this router has of its own.
    #[must_use]
    pub fn last_evidence(&self) -> Timestamp {
        self.last_heard.max(self.last_ack).max(self.last_indirect_ack)
    }

    /// The latest that it said to this router itself.
    #[must_use]
    pub fn last_direct_evidence(&self) -> Timestamp {
        self.last_heard.max(self.last_ack)
    }

    #[must_use]
    pub fn silent_for(&self, now: Timestamp) -> TimeDelta {
        now - self.standing_since.max(self.last_evidence())
    }

    #[must_use]
    pub fn rumor(&self) -> Rumor {
        let by = if self.standing == Standing::Silent || self.standing == Standing::Lost {
            self.accusers.iter().map(ToString::to_string).collect()
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
            reporters: by,
            refused: !self.refused_by.is_empty(),
            idle: self.idle,
            age_ms: 0,
        }
    }

    pub fn add_accuser(&mut self, by: &Rc<str>) -> bool {
        let new = !self.accusers.contains(by) && self.accusers.len() < MAX_ACCUSERS;
        if new {
            self.accusers.push(by.clone());
        }
        new
    }
}
