//! The sends of one op: where and when, and what is proven of each; and the commits of sessions' writes.

use arrowyard_types::{HostId, Outcome, SendIndex, SessionId, Timestamp};
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

#[derive(Clone, Copy, PartialEq)]
pub enum Fate {
    Out,
    /// It provably never ran.
    Never,
    /// It ran, or may have run, or may run still.
    Maybe,
}

#[derive(Clone, Copy)]
pub struct Sent {
    pub host: HostId,
    pub at: Timestamp,
    pub fate: Fate,
}

#[derive(Default)]
pub struct Sends(SmallVec<[Sent; 4]>);

impl Sends {
    pub fn begin(&mut self, host: HostId, at: Timestamp) {
        self.0.push(Sent { host, at, fate: Fate::Out });
    }

    pub fn end(&mut self, number: SendIndex, outcome: Outcome) -> Option<Sent> {
        let one = self.0.get_mut(number.0 as usize)?;
        one.fate = if outcome.never_ran() { Fate::Never } else { Fate::Maybe };
        Some(*one)
    }

    pub fn last(&self) -> Option<&Sent> {
        self.0.last()
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn out(&self) -> impl Iterator<Item = (SendIndex, &Sent)> {
        let all = self.0.iter().enumerate().map(|(number, one)| (SendIndex(number as u32), one));
        all.filter(|(_, one)| one.fate == Fate::Out)
    }

    pub fn is_out(&self) -> bool {
        self.out().next().is_some()
    }

    /// The first one that may have run, or may run still.
    pub fn may_have_run(&self) -> Option<&Sent> {
        self.0.iter().find(|one| one.fate != Fate::Never)
    }

    pub fn tried(&self, host: HostId) -> bool {
        self.0.iter().any(|one| one.host == host)
    }
}

/// The last commit of each session; those that were dropped are no newer than the floor.
#[derive(Default)]
pub struct Commits {
    of: FxHashMap<SessionId, Timestamp>,
    floor: Option<Timestamp>,
}

impl Commits {
    pub fn keep(&mut self, session: SessionId, commit: Timestamp, most: usize) {
        if self.of.len() >= most {
            self.floor = self.of.drain().map(|(_, commit)| commit).max().max(self.floor);
        }
        let known = self.of.entry(session).or_default();
        *known = commit.max(*known);
    }

    pub fn last(&self, session: Option<SessionId>) -> Option<Timestamp> {
        session.and_then(|session| self.of.get(&session).copied()).max(self.floor)
    }
}
