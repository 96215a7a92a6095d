//! The hosts of one service and how they replicate: a primary's log, and what of it the replicas have received and
//! applied.

use std::collections::BTreeMap;

use arrowyard_protocol::Position;
use arrowyard_types::{TimeDelta, Timestamp};

/// A committed transaction: its term, and the tokens of the writes in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Commit {
    pub term: u64,
    pub writes: Vec<String>,
}

/// One host's log.
#[derive(Clone, Debug)]
pub struct Copy {
    pub log: Vec<Commit>,
    pub applied: usize,
    /// The term that it has heard of.
    pub term: u64,
    pub paused: bool,
    pub deaf: bool,
    pub up: bool,
    /// How late it applies.
    pub lag: TimeDelta,
}

/// What is under way from the primary to a replica.
#[derive(Clone, Debug)]
struct Passing {
    to: String,
    upto: usize,
    term: u64,
}

/// The hosts of one service.
#[derive(Debug)]
pub struct Shard {
    pub service: String,
    pub term: u64,
    pub primary: Option<String>,
    pub copies: BTreeMap<String, Copy>,
    passing: BTreeMap<(Timestamp, u64), Passing>,
    applying: BTreeMap<(Timestamp, u64), (String, usize)>,
    last: u64,
    /// Between hosts.
    pub way: TimeDelta,
    pub promotions: u32,
}

impl Shard {
    pub fn new(service: &str, ids: &[String], lag: TimeDelta) -> Self {
        let copy = Copy { log: Vec::new(), applied: 0, term: 1, paused: false, deaf: false, up: true, lag };
        Shard {
            service: service.to_string(),
            term: 1,
            primary: ids.first().cloned(),
            copies: ids.iter().map(|id| (id.clone(), copy.clone())).collect(),
            passing: BTreeMap::new(),
            applying: BTreeMap::new(),
            last: 0,
            way: TimeDelta::from_micros(500),
            promotions: 0,
        }
    }

    /// One more replica, with an empty log.
    pub fn join(&mut self, id: &str) {
        let lag = self.copies.values().next().map_or(TimeDelta::ZERO, |copy| copy.lag);
        let copy =
            Copy { log: Vec::new(), applied: 0, term: self.term, paused: false, deaf: false, up: true, lag };
        self.copies.insert(id.to_string(), copy);
    }

    /// When something of it arrives next.
    pub fn due(&self) -> Option<Timestamp> {
        let next = |keys: Option<&(Timestamp, u64)>| keys.map(|(at, _)| *at);
        next(self.passing.keys().next()).into_iter().chain(next(self.applying.keys().next())).min()
    }

    /// Lets arrive what has arrived by now.
    pub fn advance(&mut self, now: Timestamp) {
        while let Some(entry) = self.passing.first_entry().filter(|entry| entry.key().0 <= now) {
            let (at, _) = *entry.key();
            let Passing { to, upto, term } = entry.remove();
            if term != self.term {
                continue;
            }
            // Every log begins as the primary's does: a promote cuts back what is not there.
            let has = self.copies.get(&to).map_or(0, |copy| copy.log.len());
            let more = self.log().get(has..upto).unwrap_or_default().to_vec();
            let Some(copy) = self.copies.get_mut(&to).filter(|copy| copy.up && !copy.paused && !copy.deaf)
            else {
                continue;
            };
            if !more.is_empty() {
                copy.log.extend(more);
                copy.term = term;
                self.last += 1;
                let when = at + copy.lag;
                self.applying.insert((when, self.last), (to, upto));
            }
        }
        while let Some(entry) = self.applying.first_entry().filter(|entry| entry.key().0 <= now) {
            let (id, upto) = entry.remove();
            if let Some(copy) = self.copies.get_mut(&id) {
                copy.applied = copy.applied.max(upto.min(copy.log.len()));
            }
        }
    }

    /// Sends a replica all that the primary has.
    pub fn pass_on(&mut self, now: Timestamp, to: &str) {
        let Some(primary) = self.primary.clone().filter(|id| self.copies[id].up && id != to) else { return };
        let upto = self.copies[&primary].log.len();
        self.last += 1;
        let passing = Passing { to: to.to_string(), upto, term: self.term };
        self.passing.insert((now + self.way, self.last), passing);
    }

    pub fn leads(&self, id: &str) -> bool {
        self.primary.as_deref() == Some(id)
    }

    /// A primary of a lower term leads no more.
    pub fn yield_to(&mut self, id: &str, term: u64) {
        if self.leads(id) && self.term < term {
            self.primary = None;
            self.passing.clear();
        }
    }

    /// The primary commits; its number. The replicas hear of it.
    pub fn commit(&mut self, now: Timestamp, id: &str, writes: Vec<String>) -> usize {
        let term = self.term;
        let copy = self.copies.get_mut(id).expect("it leads, so it is there");
        copy.log.push(Commit { term, writes });
        copy.applied = copy.log.len();
        let number = copy.log.len();
        let others: Vec<String> = self.copies.keys().filter(|other| *other != id).cloned().collect();
        others.iter().for_each(|other| self.pass_on(now, other));
        number
    }

    /// Whether a replica has received so much.
    pub fn is_safe(&self, id: &str, number: usize) -> bool {
        self.copies
            .iter()
            .any(|(other, copy)| other != id && copy.log.len() >= number && copy.term == self.term)
    }

    pub fn promote(&mut self, now: Timestamp, id: &str) {
        if self.leads(id) || !self.copies.get(id).is_some_and(|copy| copy.up) {
            return;
        }
        self.promotions += 1;
        self.term += 1;
        self.primary = Some(id.to_string());
        self.passing.clear();
        self.applying.clear();
        let log = self.copies[id].log.clone();
        for (other, copy) in &mut self.copies {
            copy.paused = false;
            if other == id {
                (copy.term, copy.applied) = (self.term, log.len());
                continue;
            }
            let common = copy.log.iter().zip(&log).take_while(|(mine, its)| mine == its).count();
            copy.log.truncate(common);
            copy.applied = copy.applied.min(common);
        }
        let others: Vec<String> = self.copies.keys().filter(|other| *other != id).cloned().collect();
        others.iter().for_each(|other| self.pass_on(now, other));
    }

    pub fn position(&self, number: usize, log: &[Commit]) -> Position {
        let term = log.get(number.wrapping_sub(1)).map_or(1, |commit| commit.term);
        Position { term, number: number as u64 }
    }

    /// What a host says of how far it has applied, and how far received.
    pub fn positions(&self, id: &str) -> (Position, Position) {
        let copy = &self.copies[id];
        (self.position(copy.applied, &copy.log), self.position(copy.log.len(), &copy.log))
    }

    /// The log that counts: the primary's.
    pub fn log(&self) -> &[Commit] {
        self.primary.as_ref().map_or(&[], |id| &self.copies[id].log)
    }
}
