//! Agreement on the entries of a ledger, slot by slot. In each slot whoever has something to enter holds a round of
//! ballots among the voters (Paxos: Lamport, "The Part-Time Parliament"); there is no leader, since entries are few.
//! A slot's round begins only when the slot before it is known, so that a voter has at most one slot open.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};

use arrowyard_conduit::{
    Accept, Accepted, Ballot, Chosen, Entry, Fetch, Ledger as Entries, Matter, Prepare, Probe, Probed,
    Promise, Rejoin, Voters, Word,
};
use arrowyard_types::{Point, Span};
use fastrand::Rng;
use prost::Message;

use crate::applied::Applied;
use crate::record::{Kept, Memory, Promised, Record, Whole};

/// A round without a majority is given up after so long, and begun again.
const ROUND: Span = Span::from_millis(400);
/// The first pause after a round that lost to another one; it doubles.
const PAUSE: Span = Span::from_millis(15);
/// Entries that are kept for machines that are behind, and bytes of them; who is further behind takes a snapshot.
const KEPT: usize = 512;
const KEPT_BYTES: usize = 4 << 20;
/// Wishes that wait at a time.
const MOST: usize = 256;

/// What a wish is known by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What came of a wish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Entered, in this slot.
    Entered(u64),
    /// For a read: everything that was acknowledged before it was asked is known here.
    Current,
    /// It had not been entered by its time. It may still be.
    Unclear,
    /// It was not entered and never will be.
    Full,
    /// It does not hold any more at the slot in which it would be entered. Danger: this machine may have learned the
    /// slots before by a snapshot, and it may be in one of them: see [`Applied::taken`] before anybody is told so.
    Moot,
}

/// What the ledger wants done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    Send {
        to: u32,
        word: Word,
    },
    /// To be on disk before anything that stands behind it for this ticket goes out.
    Store {
        ticket: u64,
        record: Vec<u8>,
    },
    /// This slot's entry is known from now on.
    Chosen {
        slot: u64,
    },
    Answered {
        wish: Ticket,
        answer: Answer,
    },
}

/// What is wished for.
#[derive(Clone, Debug, Hash)]
enum Wish {
    Enter(Entry),
    Read { heard: BTreeSet<u32>, slot: u64 },
}

#[derive(Clone, Debug)]
struct Waiting {
    ticket: Ticket,
    wish: Wish,
    until: Point,
}

#[derive(Clone, Debug, Hash)]
enum Phase {
    Preparing { promised: BTreeSet<u32>, best: Option<Accept> },
    Accepting { entry: Entry, accepted: BTreeSet<u32> },
}

#[derive(Clone, Debug)]
struct Round {
    slot: u64,
    ballot: Ballot,
    phase: Phase,
    until: Point,
}

/// One machine's part in the ledger: voter, if it is one; learner; and whoever enters something.
#[derive(Clone, Debug)]
pub struct Ledger {
    me: u32,
    life: u64,
    rng: Rng,
    applied: Applied,
    kept: VecDeque<Chosen>,
    kept_bytes: usize,
    /// Whether its word counts: a voter that lost its disk does not know what it promised.
    votes: bool,
    /// The record by which a new vote becomes durable, until it is.
    vote_record: Option<u64>,
    promised: Ballot,
    accepted: Option<Accept>,
    seen: u64,
    round: Option<Round>,
    pause_until: Point,
    losses: u32,
    waiting: VecDeque<Waiting>,
    last: u64,
    /// What goes out once a record is on disk.
    after: BTreeMap<u64, (u32, Word)>,
    last_record: u64,
    /// Since when it asks for what it lacks, so that it does not ask each time.
    fetched_at: Point,
}

/// What is agreed on does not hang on times and chance, so they are left out: a model checker takes two ledgers for the
/// same that differ in nothing else.
impl Hash for Ledger {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (self.me, self.life, self.votes, self.vote_record, self.seen, self.last, self.last_record)
            .hash(state);
        (self.applied.snapshot(), &self.kept, self.promised, &self.accepted, &self.after).hash(state);
        self.round.iter().for_each(|round| (round.slot, round.ballot, &round.phase).hash(state));
        self.waiting.iter().for_each(|waiting| (waiting.ticket, &waiting.wish).hash(state));
    }
}

impl Ledger {
    /// A ledger as its disk tells of it. Nothing on disk, and `founders` of a first start: it is founded.
    ///
    /// # Errors
    /// When a record cannot be read; nothing is to be answered then.
    pub fn open(
        me: u32,
        life: u64,
        records: &[Vec<u8>],
        founders: Option<&[u32]>,
        out: &mut Vec<Out>,
    ) -> Result<Self, String> {
        let mut this = Ledger {
            me,
            life,
            rng: Rng::with_seed(life),
            applied: Applied::default(),
            kept: VecDeque::new(),
            kept_bytes: 0,
            votes: false,
            vote_record: None,
            promised: Ballot::default(),
            accepted: None,
            seen: 0,
            round: None,
            pause_until: Point::DAWN,
            losses: 0,
            waiting: VecDeque::new(),
            last: 0,
            after: BTreeMap::new(),
            last_record: 0,
            fetched_at: Point::DAWN,
        };
        this.read(records)?;
        if let Some(founders) = founders.filter(|_| this.applied.voters.is_empty()) {
            let mut voters = founders.to_vec();
            voters.sort_unstable();
            voters.dedup();
            this.votes = voters.contains(&me);
            this.applied.voters = voters.clone();
            // Danger: a machine that does not vote has to know who does, after each start of its own.
            this.store(Kept::Founded(Voters { voters, before: Vec::new() }), None, out);
        }
        Ok(this)
    }

    /// Reads what is on disk. Danger: a snapshot is written beside records that are newer than it, before or after
    /// them; so nothing is judged by its place, only by slot and ballot.
    fn read(&mut self, records: &[Vec<u8>]) -> Result<(), String> {
        let mut whole: Option<Whole> = None;
        let mut chosen = BTreeMap::new();
        let mut promised: BTreeMap<u64, Ballot> = BTreeMap::new();
        let mut accepted: BTreeMap<u64, Accept> = BTreeMap::new();
        let mut accept = |one: Accept| match accepted.get(&one.slot) {
            Some(known) if known.ballot >= one.ballot => {}
            _ => drop(accepted.insert(one.slot, one)),
        };
        for record in records {
            let record = Record::decode(record.as_slice()).map_err(|fault| fault.to_string())?;
            match record.kept.ok_or("a record of an unknown kind")? {
                Kept::Founded(founded) => {
                    self.votes |= founded.voters.contains(&self.me);
                    self.applied.voters = founded.voters;
                }
                Kept::Promised(one) => {
                    let known = promised.entry(one.slot).or_default();
                    *known = one.ballot.max(*known);
                }
                Kept::Accepted(one) => accept(one),
                Kept::Chosen(one) => drop(chosen.insert(one.slot, one)),
                Kept::Memory(_) | Kept::Departing(_) => {}
                Kept::Whole(one) => {
                    self.votes |= one.votes;
                    let known = promised.entry(one.snapshot.slot + 1).or_default();
                    *known = one.promised.max(*known);
                    one.accepted.clone().into_iter().for_each(&mut accept);
                    if whole.as_ref().is_none_or(|whole| whole.snapshot.slot <= one.snapshot.slot) {
                        whole = Some(one);
                    }
                }
            }
        }
        if let Some(whole) = whole {
            self.applied = Applied::restore(&whole.snapshot)?;
        }
        while let Some(next) = chosen.remove(&(self.applied.slot + 1)) {
            self.take_entry(next);
        }
        let open = self.applied.slot + 1;
        // Safety: a vote for a slot whose predecessors are not known here is one that this machine cannot answer for.
        // Records are kept in order and without a gap, so such a disk is not the one that was written.
        let beyond = |slot: &u64| *slot > open;
        if promised.keys().any(beyond) || accepted.keys().any(beyond) || chosen.keys().any(beyond) {
            log::error!(
                "ledger: Records are missing before slot {open}; its word counts for nothing at first."
            );
            self.votes = false;
        }
        self.accepted = accepted.remove(&open);
        let vote = self.accepted.as_ref().map(|accepted| accepted.ballot).unwrap_or_default();
        self.promised = promised.remove(&open).unwrap_or_default().max(vote);
        let rounds = promised.values().chain(accepted.values().map(|accepted| &accepted.ballot));
        self.seen = rounds.map(|ballot| ballot.round).max().unwrap_or_default().max(self.promised.round);
        Ok(())
    }

    pub fn applied(&self) -> &Applied {
        &self.applied
    }

    pub fn votes(&self) -> bool {
        self.votes
    }

    /// Whether its vote would survive a loss of power. Safety: only then may another voter give up its seat; before
    /// that, one more loss could leave too few that vote.
    pub fn is_vote_durable(&self) -> bool {
        self.votes && self.vote_record.is_none()
    }

    pub fn voters(&self) -> &[u32] {
        &self.applied.voters
    }

    /// How many entries are known here.
    pub fn chosen(&self) -> u64 {
        self.applied.slot
    }

    /// A chosen entry, if it is still kept.
    pub fn entry(&self, slot: u64) -> Option<&Entry> {
        self.kept.iter().rev().find(|kept| kept.slot == slot).map(|kept| &kept.entry)
    }

    /// Whether answers to this ballot still count here.
    pub fn is_counting(&self, slot: u64, ballot: Ballot) -> bool {
        self.round.as_ref().is_some_and(|round| (round.slot, round.ballot) == (slot, ballot))
    }

    /// One record in place of all.
    pub fn snapshot(&self, memory: Option<Memory>) -> Vec<u8> {
        Record::bytes(Kept::Whole(Whole {
            snapshot: self.applied.snapshot(),
            promised: self.promised,
            accepted: self.accepted.clone(),
            votes: self.votes,
            memory,
        }))
    }

    fn majority(&self) -> usize {
        self.applied.voters.len() / 2 + 1
    }

    /// Danger: voters change between a question and its answers; only those who vote now count.
    fn is_majority(&self, heard: &BTreeSet<u32>) -> bool {
        self.applied.voters.iter().filter(|voter| heard.contains(voter)).count() >= self.majority()
    }

    /// So many other voters, of whatever kind, have one in common with every majority that this machine was part of.
    fn others(&self) -> usize {
        self.applied.voters.len() - self.majority() + 1
    }

    fn store(&mut self, kept: Kept, then: Option<(u32, Word)>, out: &mut Vec<Out>) -> u64 {
        self.last_record += 1;
        let ticket = self.last_record;
        then.map(|then| self.after.insert(ticket, then));
        out.push(Out::Store { ticket, record: Record::bytes(kept) });
        ticket
    }

    /// Keeps something that is not the ledger's; the number of its record.
    pub fn keep(&mut self, kept: Kept, out: &mut Vec<Out>) -> u64 {
        self.store(kept, None, out)
    }

    /// A record is on disk, or could not be put there; then nothing is answered for it.
    pub fn stored(&mut self, now: Point, ticket: u64, kept: bool, out: &mut Vec<Out>) {
        if kept && self.vote_record == Some(ticket) {
            self.vote_record = None;
        }
        if let Some((to, word)) = self.after.remove(&ticket).filter(|_| kept) {
            self.say(now, to, word, out);
        }
    }

    /// A snapshot of all that this machine knows is on disk, after records were refused.
    pub fn recovered(&mut self) {
        self.vote_record = None;
    }

    fn say(&mut self, now: Point, to: u32, word: Word, out: &mut Vec<Out>) {
        if to == self.me { self.hear(now, to, &word, out) } else { out.push(Out::Send { to, word }) }
    }

    fn say_to_voters(&mut self, now: Point, word: &Word, out: &mut Vec<Out>) {
        for to in self.applied.voters.clone() {
            self.say(now, to, word.clone(), out);
        }
    }

    /// The number that the next wish will have. Its answer may come before the call that makes it is over.
    pub fn next_ticket(&self) -> Ticket {
        Ticket(self.last + 1)
    }

    /// Wishes an entry; what came of it is told by `until`.
    pub fn enter(&mut self, now: Point, entry: Entry, until: Point, out: &mut Vec<Out>) -> Ticket {
        self.wish(now, Wish::Enter(entry), until, out)
    }

    /// Wishes to know all that was acknowledged so far.
    pub fn read_all(&mut self, now: Point, until: Point, out: &mut Vec<Out>) -> Ticket {
        let ticket = self.wish(now, Wish::Read { heard: BTreeSet::new(), slot: 0 }, until, out);
        self.say_to_voters(now, &Word::Probe(Probe { ticket: ticket.0 }), out);
        ticket
    }

    fn wish(&mut self, now: Point, wish: Wish, until: Point, out: &mut Vec<Out>) -> Ticket {
        self.last += 1;
        let ticket = Ticket(self.last);
        if self.waiting.len() >= MOST {
            out.push(Out::Answered { wish: ticket, answer: Answer::Full });
            return ticket;
        }
        self.waiting.push_back(Waiting { ticket, wish, until });
        self.begin(now, out);
        ticket
    }

    /// Begins a round where there is something to enter and none is under way.
    fn begin(&mut self, now: Point, out: &mut Vec<Out>) {
        if !self.wants_round()
            || self.round.is_some()
            || now < self.pause_until
            || self.applied.voters.is_empty()
        {
            return;
        }
        self.seen += 1;
        let (slot, ballot) = (self.applied.slot + 1, Ballot { round: self.seen, by: self.me });
        let phase = Phase::Preparing { promised: BTreeSet::new(), best: None };
        self.round = Some(Round { slot, ballot, phase, until: now + ROUND });
        self.say_to_voters(now, &Word::Prepare(Prepare { slot, ballot }), out);
    }

    /// Whether there is something to enter, or to find out. Danger: what one voter accepted may be chosen.
    fn wants_round(&self) -> bool {
        let wants = |waiting: &Waiting| match &waiting.wish {
            Wish::Enter(_) => true,
            Wish::Read { heard, slot } => self.is_majority(heard) && *slot > self.applied.slot,
        };
        self.rejoins() || self.waiting.iter().any(wants)
    }

    /// Whether this machine is a voter that has to be let in again.
    fn rejoins(&self) -> bool {
        !self.votes && self.applied.voters.contains(&self.me)
    }

    fn lose_round(&mut self, now: Point) {
        self.round = None;
        self.losses = (self.losses + 1).min(6);
        let most = PAUSE * f64::from(1 << self.losses);
        self.pause_until = now + PAUSE + most * self.rng.f64();
    }

    pub fn due(&self) -> Option<Point> {
        let wishes = self.waiting.iter().map(|waiting| waiting.until);
        let round = self.round.iter().map(|round| round.until);
        // Danger: without voters no round can begin, and a time that is over would be due for ever.
        let begins = self.round.is_none() && !self.applied.voters.is_empty() && self.wants_round();
        let pause = begins.then_some(self.pause_until);
        wishes.chain(round).chain(pause).min()
    }

    pub fn woke(&mut self, now: Point, out: &mut Vec<Out>) {
        if self.round.as_ref().is_some_and(|round| round.until <= now) {
            self.lose_round(now);
        }
        self.waiting.retain(|waiting| {
            let late = waiting.until <= now;
            if late {
                out.push(Out::Answered { wish: waiting.ticket, answer: Answer::Unclear });
            }
            !late
        });
        self.begin(now, out);
    }

    /// Takes what another machine, or this one, says to it.
    pub fn hear(&mut self, now: Point, from: u32, word: &Word, out: &mut Vec<Out>) {
        match word {
            Word::Prepare(prepare) => self.prepare(now, from, *prepare, out),
            Word::Promise(promise) => self.promise(now, from, promise, out),
            Word::Accept(accept) => self.accept(now, from, accept, out),
            Word::Accepted(accepted) => self.accepted(now, from, *accepted, out),
            Word::Chosen(chosen) => self.learn(now, from, chosen.clone(), out),
            Word::Fetch(fetch) => self.fetch(now, from, *fetch, out),
            Word::Ledger(entries) => self.entries(now, from, entries, out),
            Word::Probe(probe) => {
                let accepted = self.accepted.as_ref().map_or(0, |accepted| accepted.slot);
                let (ticket, chosen) = (probe.ticket, self.applied.slot);
                let word = Probed { ticket, chosen, accepted, votes: self.votes, promised: self.promised };
                self.say(now, from, Word::Probed(word), out);
            }
            Word::Probed(probed) => self.probed(now, from, *probed, out),
            _ => {}
        }
    }

    /// Whether a voter answers for this slot; if not, it tells what it knows, or asks for what it lacks.
    fn is_open(&mut self, now: Point, from: u32, slot: u64, out: &mut Vec<Out>) -> bool {
        let next = self.applied.slot + 1;
        if slot < next {
            self.fetch(now, from, Fetch { from: slot }, out);
        } else if slot > next {
            self.ask_for_more(now, from, out);
        }
        slot == next
    }

    fn ask_for_more(&mut self, now: Point, from: u32, out: &mut Vec<Out>) {
        if from != self.me && now - self.fetched_at >= PAUSE {
            self.fetched_at = now;
            let from_slot = if self.applied.voters.is_empty() { 1 } else { self.applied.slot + 1 };
            out.push(Out::Send { to: from, word: Word::Fetch(Fetch { from: from_slot }) });
        }
    }

    /// Somebody is known to have more entries.
    pub fn is_ahead(&mut self, now: Point, other: u32, chosen: u64, out: &mut Vec<Out>) {
        if chosen > self.applied.slot || self.applied.voters.is_empty() {
            self.ask_for_more(now, other, out);
        }
    }

    fn prepare(&mut self, now: Point, from: u32, prepare: Prepare, out: &mut Vec<Out>) {
        self.seen = self.seen.max(prepare.ballot.round);
        if !self.is_open(now, from, prepare.slot, out) || !self.votes {
            return;
        }
        let (slot, ballot) = (prepare.slot, prepare.ballot);
        if ballot > self.promised {
            self.promised = ballot;
            let accepted = self.accepted.clone();
            let word = Word::Promise(Promise { slot, ballot, promised: ballot, accepted });
            self.store(Kept::Promised(Promised { slot, ballot }), Some((from, word)), out);
        } else {
            let word = Word::Promise(Promise { slot, ballot, promised: self.promised, accepted: None });
            self.say(now, from, word, out);
        }
    }

    fn promise(&mut self, now: Point, from: u32, promise: &Promise, out: &mut Vec<Out>) {
        self.seen = self.seen.max(promise.promised.round);
        let (majority, others, rejoins) = (self.majority(), self.others(), self.rejoins());
        let me = self.me;
        if !self.is_counting(promise.slot, promise.ballot) {
            return;
        }
        let Some(round) = self.round.as_mut() else { return };
        if promise.promised > round.ballot {
            return self.lose_round(now);
        }
        let Phase::Preparing { promised, best } = &mut round.phase else { return };
        promised.insert(from);
        if let Some(accepted) = &promise.accepted
            && best.as_ref().is_none_or(|best| best.ballot < accepted.ballot)
        {
            *best = Some(accepted.clone());
        }
        let enough = if rejoins {
            promised.iter().filter(|&&other| other != me).count() >= others
        } else {
            promised.len() >= majority
        };
        if !enough {
            return;
        }
        // Danger: what a voter accepted may be chosen already; only where none of a majority did is the slot free.
        let best = best.take();
        let (slot, ballot) = (round.slot, round.ballot);
        let entry = match best {
            Some(best) => best.entry,
            None => match self.next_entry() {
                Some(entry) => entry,
                // A read only had to know that the slot is free.
                None => {
                    self.round = None;
                    return self.settle_reads(Some(slot), out);
                }
            },
        };
        let until = now + ROUND;
        let phase = Phase::Accepting { entry: entry.clone(), accepted: BTreeSet::new() };
        self.round = Some(Round { slot, ballot, phase, until });
        let accept = Accept { slot, ballot, entry };
        if rejoins {
            // Its own vote counts from this ballot on: others() voters promised it after whatever it knew before.
            self.take_vote(now, me, &accept, out);
            for to in self.applied.voters.clone().into_iter().filter(|&to| to != me) {
                self.say(now, to, Word::Accept(accept.clone()), out);
            }
        } else {
            self.say_to_voters(now, &Word::Accept(accept), out);
        }
    }

    /// What this machine would enter next.
    fn next_entry(&self) -> Option<Entry> {
        if self.rejoins() {
            return Some(Entry { matter: Some(Matter::Rejoin(Rejoin { voter: self.me, life: self.life })) });
        }
        self.waiting.iter().find_map(|waiting| match &waiting.wish {
            Wish::Enter(entry) => Some(entry.clone()),
            Wish::Read { .. } => None,
        })
    }

    fn accept(&mut self, now: Point, from: u32, accept: &Accept, out: &mut Vec<Out>) {
        self.seen = self.seen.max(accept.ballot.round);
        if !self.is_open(now, from, accept.slot, out) || !self.votes {
            return;
        }
        if accept.ballot >= self.promised {
            self.take_vote(now, from, accept, out);
        } else {
            let word = Accepted { slot: accept.slot, ballot: accept.ballot, promised: self.promised };
            self.say(now, from, Word::Accepted(word), out);
        }
    }

    fn take_vote(&mut self, _now: Point, from: u32, accept: &Accept, out: &mut Vec<Out>) {
        self.promised = accept.ballot;
        self.accepted = Some(accept.clone());
        let word = Accepted { slot: accept.slot, ballot: accept.ballot, promised: accept.ballot };
        self.store(Kept::Accepted(accept.clone()), Some((from, Word::Accepted(word))), out);
    }

    fn accepted(&mut self, now: Point, from: u32, word: Accepted, out: &mut Vec<Out>) {
        self.seen = self.seen.max(word.promised.round);
        let (majority, others, rejoins, me) = (self.majority(), self.others(), self.rejoins(), self.me);
        if !self.is_counting(word.slot, word.ballot) {
            return;
        }
        let Some(round) = self.round.as_mut() else { return };
        if word.promised > round.ballot {
            return self.lose_round(now);
        }
        let Phase::Accepting { entry, accepted } = &mut round.phase else { return };
        accepted.insert(from);
        let not_mine = accepted.iter().filter(|&&other| other != me).count();
        if accepted.len() >= majority && (!rejoins || not_mine >= others) {
            let chosen = Chosen { slot: round.slot, entry: entry.clone() };
            self.losses = 0;
            self.learn(now, me, chosen, out);
        }
    }

    /// A slot's entry is known. Slots are taken in order; what lies further ahead is asked for.
    fn learn(&mut self, now: Point, from: u32, chosen: Chosen, out: &mut Vec<Out>) {
        // Danger: whoever does not know who votes lacks what stands before the first entry.
        if chosen.slot > self.applied.slot + 1 || self.applied.voters.is_empty() {
            return self.ask_for_more(now, from, out);
        }
        if chosen.slot <= self.applied.slot {
            return;
        }
        let mine = from == self.me;
        self.store(Kept::Chosen(chosen.clone()), None, out);
        if mine {
            // Whoever voted, and the others through them.
            out.push(Out::Send { to: 0, word: Word::Chosen(chosen.clone()) });
        }
        let (slot, entry) = (chosen.slot, chosen.entry.clone());
        self.take_entry(chosen);
        out.push(Out::Chosen { slot });
        if let Some(Matter::Voters(voters)) = &entry.matter
            && voters.voters == self.applied.voters
        {
            log::info!("ledger: {} voters from slot {} on.", voters.voters.len(), slot + 1);
        }
        if let Some(Matter::Rejoin(rejoin)) = &entry.matter
            && (rejoin.voter, rejoin.life) == (self.me, self.life)
        {
            self.votes = true;
            log::info!("ledger: Votes again.");
            let record = self.snapshot(None);
            self.last_record += 1;
            self.vote_record = Some(self.last_record);
            out.push(Out::Store { ticket: self.last_record, record });
        }
        let entered = |waiting: &Waiting| matches!(&waiting.wish, Wish::Enter(wished) if *wished == entry);
        if let Some(place) = self.waiting.iter().position(entered) {
            let waiting = self.waiting.remove(place).expect("its place was just found");
            out.push(Out::Answered { wish: waiting.ticket, answer: Answer::Entered(slot) });
        }
        if self.round.as_ref().is_some_and(|round| round.slot <= slot) {
            self.round = None;
        }
        self.settle_reads(None, out);
        self.drop_moot(out);
        self.begin(now, out);
    }

    fn take_entry(&mut self, chosen: Chosen) {
        self.applied.apply(&chosen.entry);
        (self.promised, self.accepted) = (Ballot::default(), None);
        self.kept_bytes += chosen.encoded_len();
        self.kept.push_back(chosen);
        while self.kept.len() > KEPT || self.kept_bytes > KEPT_BYTES {
            let Some(old) = self.kept.pop_front() else { break };
            self.kept_bytes -= old.encoded_len();
        }
    }

    /// What builds on a version, or on a holder, that is no more is told so: it will not be entered from here on.
    fn drop_moot(&mut self, out: &mut Vec<Out>) {
        let applied = &self.applied;
        self.waiting.retain(|waiting| {
            let moot = matches!(&waiting.wish, Wish::Enter(entry) if !applied.holds(entry));
            if moot {
                out.push(Out::Answered { wish: waiting.ticket, answer: Answer::Moot });
            }
            !moot
        });
    }

    fn fetch(&mut self, now: Point, from: u32, fetch: Fetch, out: &mut Vec<Out>) {
        if from == self.me {
            return;
        }
        let entries: Vec<Chosen> = self.kept.iter().filter(|kept| kept.slot >= fetch.from).cloned().collect();
        // Danger: whoever has nothing does not know who votes either; entries alone would never tell it.
        let whole = fetch.from == 1 || entries.first().is_none_or(|first| first.slot > fetch.from);
        let known = self.applied.slot > 0 && fetch.from <= self.applied.slot;
        let snapshot = (known && whole || self.applied.slot == 0).then(|| self.applied.snapshot());
        let entries = if snapshot.is_some() { Vec::new() } else { entries };
        if snapshot.is_some() || !entries.is_empty() {
            self.say(now, from, Word::Ledger(Entries { snapshot, entries }), out);
        }
    }

    fn entries(&mut self, now: Point, from: u32, entries: &Entries, out: &mut Vec<Out>) {
        if let Some(snapshot) = &entries.snapshot {
            let newer = snapshot.slot > self.applied.slot;
            let known = snapshot.slot == self.applied.slot && !snapshot.voters.is_empty();
            let first = self.applied.voters.is_empty() && known;
            if newer || first {
                match Applied::restore(snapshot) {
                    Ok(applied) => {
                        self.applied = applied;
                        (self.promised, self.accepted) = (Ballot::default(), None);
                        (self.kept, self.kept_bytes) = (VecDeque::new(), 0);
                        self.round = None;
                        self.last_record += 1;
                        out.push(Out::Store { ticket: self.last_record, record: self.snapshot(None) });
                        out.push(Out::Chosen { slot: snapshot.slot });
                        self.settle_reads(None, out);
                        self.drop_moot(out);
                    }
                    Err(fault) => log::error!("ledger: A snapshot cannot be read: {fault}."),
                }
            }
        }
        for chosen in &entries.entries {
            self.learn(now, from, chosen.clone(), out);
        }
        self.begin(now, out);
    }

    fn probed(&mut self, now: Point, from: u32, probed: Probed, out: &mut Vec<Out>) {
        if probed.chosen > self.applied.slot {
            self.ask_for_more(now, from, out);
        }
        let ahead = probed.chosen.max(probed.accepted);
        for waiting in &mut self.waiting {
            if let Wish::Read { heard, slot } = &mut waiting.wish
                && waiting.ticket.0 == probed.ticket
                && probed.votes
            {
                heard.insert(from);
                *slot = ahead.max(*slot);
            }
        }
        self.settle_reads(None, out);
        self.begin(now, out);
    }

    /// Answers the reads that a majority spoke to, once every slot is known that one of it knew of. A slot that a
    /// round of ballots found free holds nothing that was acknowledged before.
    fn settle_reads(&mut self, free: Option<u64>, out: &mut Vec<Out>) {
        let known = self.applied.slot;
        let waiting = std::mem::take(&mut self.waiting);
        for waiting in waiting {
            match &waiting.wish {
                Wish::Read { heard, slot }
                    if self.is_majority(heard) && (*slot <= known || Some(*slot) == free) =>
                {
                    out.push(Out::Answered { wish: waiting.ticket, answer: Answer::Current });
                }
                _ => self.waiting.push_back(waiting),
            }
        }
    }
}
