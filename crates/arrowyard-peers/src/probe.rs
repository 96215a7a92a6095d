//! Questions: whom to ask whether it lives, by way of whom else, and what an unanswered one means.

use std::net::SocketAddr;
use std::rc::Rc;

use arrowyard_types::Timestamp;

use crate::fleet::{Deed, Fleet};
use crate::member::{Member, Slot, Standing};
use crate::message::{Claim, Datagram, Kind, Rumor, write};

/// Why somebody is asked.
#[derive(Clone, Debug, PartialEq)]
pub enum Why {
    /// It is this router's to observe, or its turn.
    Observe,
    /// Others say that it is silent or over; the word counts only if it does not answer here either.
    Verify(Claim, Rc<str>),
    /// It is over, and may be back: a cut has healed.
    Recall,
    /// Somebody lives there who was not met yet.
    Meet,
}

/// A question that is open.
pub struct Ask {
    /// A member; nothing where only an address is known.
    pub slot: Option<Slot>,
    pub life: u64,
    pub to: SocketAddr,
    pub seq: u64,
    pub began: Timestamp,
    pub step: u8,
    pub next: Timestamp,
    pub why: Why,
    /// A helper said that it could not reach it either.
    pub nacked: bool,
    pub refused: bool,
}

/// A question on behalf of another.
pub struct Relay {
    pub seq: u64,
    pub of: SocketAddr,
    pub their: u64,
    pub about: String,
    pub until: Timestamp,
}

/// Somebody who was heard of and not met.
pub struct Candidate {
    pub name: Rc<str>,
    pub at: SocketAddr,
    pub life: u64,
    pub tries: u8,
    pub next: Timestamp,
}

/// Questions open at once at most, those on behalf of others, and those that check others' words.
const ASKS: usize = 256;
const RELAYS: usize = 128;
const CHECKS: usize = 64;
/// Silent members that are asked again in a period.
const ACCUSED: usize = 4;
/// How often a candidate is asked.
const TRIES: u8 = 3;

impl Fleet {
    fn ask(&mut self, now: Timestamp, slot: Slot, why: Why, after: f64) {
        let open = |ask: &Ask| ask.slot == Some(slot) && ask.why == why;
        if self.asks.len() >= ASKS || self.asks.iter().any(open) {
            return;
        }
        let Some((to, life)) = self.reached(slot).zip(self.table.get(slot).map(|one| one.life)) else {
            return;
        };
        let (seq, next) = (self.rng.u64(1..), now + self.terms.retry * after);
        let ask = Ask {
            slot: Some(slot),
            life,
            to,
            seq,
            began: next,
            step: 0,
            next,
            why,
            nacked: false,
            refused: false,
        };
        self.asks.push(ask);
        if after == 0.0 {
            let at = self.asks.len() - 1;
            self.step(now, at);
        }
    }

    pub(crate) fn ask_address(&mut self, now: Timestamp, to: SocketAddr) {
        if self.asks.len() >= ASKS || self.asks.iter().any(|ask| ask.slot.is_none() && ask.to == to) {
            return;
        }
        let (seq, next, why) = (self.rng.u64(1..), now, Why::Meet);
        let ask = Ask {
            slot: None,
            life: 0,
            to,
            seq,
            began: now,
            step: 0,
            next,
            why,
            nacked: false,
            refused: false,
        };
        self.asks.push(ask);
        let at = self.asks.len() - 1;
        self.step(now, at);
    }

    /// Others' word about a member is checked. Danger: all check at the same moment, and one that is only slow gets
    /// as many questions as there are routers; so each waits a drawn part of a retry.
    pub(crate) fn verify(
        &mut self,
        now: Timestamp,
        slot: Slot,
        claim: Claim,
        by: &Rc<str>,
        rumor: Option<&Rumor>,
    ) {
        let checks = self.asks.iter().filter(|ask| matches!(ask.why, Why::Verify(..)));
        if checks.clone().any(|ask| ask.slot == Some(slot)) || checks.count() >= CHECKS {
            return;
        }
        // Passed on as it is heard, not once it was checked: else each step of its way would take as long as a check.
        if let Some(rumor) = rumor {
            self.pass_on(now, slot, rumor);
        }
        let after = self.rng.f64();
        self.ask(now, slot, Why::Verify(claim, by.clone()), after);
    }

    /// What open questions do next.
    pub(crate) fn asked(&mut self, now: Timestamp) {
        let mut at = 0;
        while at < self.asks.len() {
            if self.asks[at].next > now || self.step(now, at) {
                at += 1;
            }
        }
    }

    /// One step of an open question; whether it stays open.
    fn step(&mut self, now: Timestamp, at: usize) -> bool {
        let (retry, verdict) =
            (self.health.stretch(self.terms.retry), self.health.stretch(self.terms.verdict));
        let ask = &mut self.asks[at];
        let (step, seq, slot, to, checks) =
            (ask.step, ask.seq, ask.slot, ask.to, matches!(ask.why, Why::Verify(..)));
        // A check has others' word behind it, and asks twice; a recall and a first meeting once.
        let steps = match ask.why {
            Why::Observe => 3,
            Why::Verify(..) => 2,
            Why::Recall | Why::Meet => 1,
        };
        if step >= steps {
            let ask = self.asks.swap_remove(at);
            self.unanswered(now, &ask);
            return false;
        }
        ask.step += 1;
        ask.next = if step + 1 < steps {
            now + retry
        } else if checks {
            (ask.began + retry * 2.0).max(now + retry)
        } else {
            (ask.began + verdict).max(now + retry)
        };
        match slot {
            Some(slot) => {
                self.send_to(now, slot, Kind::Ping, seq, "", None);
                let name = self.table.get(slot).map(|one| (one.name.clone(), one.life));
                let Some((name, life)) = name else { return true };
                if step >= 1 && !checks {
                    self.by_others(now, slot, &name, seq);
                }
                if checks && step == 0 || step == 2 {
                    let bytes = write(&self.head(now, Kind::Gossip));
                    self.deeds.push(Deed::Look { to, name, life, bytes });
                }
            }
            None => {
                let mut datagram = Datagram { seq, ..self.head(now, Kind::Ping) };
                self.fill(&mut datagram, None);
                self.emit(to, &datagram);
            }
        }
        true
    }

    /// Asks by way of helpers: what is cut between two may be open between others.
    fn by_others(&mut self, now: Timestamp, slot: Slot, name: &str, seq: u64) {
        let fit =
            |one: &Member| one.standing == Standing::Alive && one.proof() > now - self.terms.period * 20.0;
        for helper in self.table.draw(&mut self.rng, self.terms.helpers, &[slot], fit) {
            self.send_to(now, helper, Kind::PingFor, seq, name, None);
        }
    }

    /// A question was given up.
    fn unanswered(&mut self, now: Timestamp, ask: &Ask) {
        let Some(slot) = ask.slot else { return };
        let Some(one) = self.table.get(slot).filter(|one| one.life == ask.life) else { return };
        // It was heard meanwhile by itself: a cut of one side, and no silence.
        if one.proof() >= ask.began {
            return;
        }
        let live = self.table.live().len();
        match &ask.why {
            Why::Recall | Why::Meet => {}
            Why::Observe => {
                // Danger: the fault may be here. With helpers about, one of them has to have tried, too.
                let alone = live <= 1;
                if !ask.nacked && !ask.refused && !alone {
                    self.health.bad();
                    return;
                }
                if self.health.doubts(now) && !ask.refused {
                    return;
                }
                self.accuse(now, slot, ask.refused);
            }
            Why::Verify(claim, by) => {
                if self.health.doubts(now) && !ask.refused {
                    return;
                }
                let standing = match claim {
                    Claim::Suspect => Standing::Silent,
                    Claim::Lost => Standing::Lost,
                    Claim::Dead if ask.refused => Standing::Dead,
                    // Here nobody says that the process is no more; it may be a cut.
                    Claim::Dead => Standing::Silent,
                    Claim::Left => Standing::Left,
                    _ => return,
                };
                let by = by.clone();
                if let Some(one) = self.table.touch(slot) {
                    one.failed = now;
                }
                let held = self.table.get(slot).map(|one| one.standing);
                if held.is_some_and(|held| standing > held) {
                    self.stands(now, slot, standing, &by);
                }
                if ask.refused {
                    self.accuse(now, slot, true);
                }
            }
        }
    }

    /// This router itself finds a member silent.
    fn accuse(&mut self, now: Timestamp, slot: Slot, refused: bool) {
        let me = self.me.name.clone();
        let (live, doubts) = (self.table.live().len(), self.health.doubts(now));
        let lost_after = self.health.stretch(self.terms.lost_after);
        // A single word of a refusal may be a wall that refuses this router alone, so that a second one has to say so,
        // where there is anybody. (The last of a fleet hears nobody; that it is refused it still knows.)
        let alone = refused && !self.hears_others(now, slot);
        let Some(one) = self.table.touch(slot) else { return };
        one.failed = now;
        if refused && !one.refused_by.contains(&me) {
            one.refused_by.push(me.clone());
        }
        // Nor may nobody else know it: all others started since. Then this router's own questions have to do, for long.
        let long = one.silent_for(now) >= lost_after;
        let dead = one.refused_by.len() >= 2 || refused && (alone || long);
        if doubts && !dead {
            return;
        }
        one.accuse(&me);
        let (standing, agreed) = (one.standing, one.accusers.len() >= 2 || live <= 2 || long);
        if dead && standing < Standing::Dead {
            self.stands(now, slot, Standing::Dead, &me);
        } else if standing == Standing::Alive && agreed {
            self.stands(now, slot, Standing::Silent, &me);
        } else if standing == Standing::Alive {
            // Said again with each question that fails. Danger: who heard it too early, when it had just heard from the
            // member, passed the word over, and nobody would ever say it again.
            let times = self.times();
            self.table.spread(slot, times);
            let mut rumor = self.table.get(slot).map(Member::rumor).unwrap_or_default();
            rumor.claim = Claim::Suspect as i32;
            rumor.by = vec![me.to_string()];
            self.pass_on(now, slot, &rumor);
        }
    }

    /// Whether anybody else was heard in these periods.
    fn hears_others(&self, now: Timestamp, slot: Slot) -> bool {
        let since = now - self.terms.period * 6.0;
        let heard = |one: &Member| one.own_proof() >= since;
        self.table.live().iter().any(|&other| other != slot && self.table.get(other).is_some_and(heard))
    }

    /// The machine there says that nobody listens.
    pub fn refused(&mut self, name: &str, life: u64) {
        let Some(slot) = self.table.slot(name) else { return };
        let of = |ask: &&mut Ask| ask.slot == Some(slot) && ask.life == life;
        self.asks.iter_mut().filter(of).for_each(|ask| ask.refused = true);
    }

    /// An answer to a question.
    pub(crate) fn acked(&mut self, now: Timestamp, at: usize, datagram: &Datagram) {
        let ask = &self.asks[at];
        let (slot, why, seq) = (ask.slot, ask.why.clone(), ask.seq);
        if !datagram.about.is_empty() {
            // By way of a helper, who speaks of the member that was asked about.
            let Some(slot) =
                slot.filter(|&slot| self.table.get(slot).is_some_and(|one| *one.name == *datagram.about))
            else {
                return;
            };
            if let Some(one) = self.table.touch(slot) {
                one.by_others = now;
            }
            self.asks.retain(|ask| ask.seq != seq);
            self.lives(now, slot);
            return;
        }
        self.asks.swap_remove(at);
        self.health.good();
        let Some(slot) = self.table.slot(&datagram.from) else { return };
        if let Some(one) = self.table.touch(slot).filter(|one| one.life == datagram.life) {
            one.acked = now;
            if matches!(why, Why::Verify(Claim::Left, _)) && datagram.leaves {
                let by = one.name.clone();
                self.stands(now, slot, Standing::Left, &by);
                return;
            }
            self.lives(now, slot);
        }
    }

    /// This router has proof of its own that a member lives. What was said against it is told to it, so that it raises its
    /// life and all others hear of it.
    pub(crate) fn lives(&mut self, now: Timestamp, slot: Slot) {
        let Some(one) = self.table.get(slot) else { return };
        if one.standing == Standing::Left || one.standing == Standing::Alive && one.accusers.is_empty() {
            return;
        }
        let (was, me) = (one.standing, self.me.name.clone());
        if self.pushes.take(now) {
            self.send_to(now, slot, Kind::Gossip, 0, "", None);
        }
        if was == Standing::Alive {
            if let Some(one) = self.table.touch(slot) {
                one.accusers.clear();
                one.refused_by.clear();
            }
            return;
        }
        self.stands(now, slot, Standing::Alive, &me);
        if was.is_over() {
            // A cut has healed, perhaps: the whole view is compared at once.
            self.send_digest(now, slot, true);
        }
    }

    pub(crate) fn answer(&mut self, now: Timestamp, from: SocketAddr, ping: &Datagram) {
        let mut ack = Datagram { seq: ping.seq, ..self.head(now, Kind::Ack) };
        // What is held against the one that asks, so that it can speak for itself.
        let against =
            self.table.of(&ping.from).filter(|one| one.standing != Standing::Alive || one.life > ping.life);
        let against = against.map(Member::rumor);
        self.fill(&mut ack, against);
        self.emit(from, &ack);
    }

    pub(crate) fn help(&mut self, now: Timestamp, of: SocketAddr, asked: &Datagram) {
        let Some(slot) = self.table.slot(&asked.about) else { return };
        if self.relays.len() >= RELAYS {
            return;
        }
        if self.table.get(slot).is_some_and(|one| now - one.heard <= self.terms.retry) {
            // It was heard here just now, though it may hear nobody.
            let ack = Datagram { seq: asked.seq, about: asked.about.clone(), ..self.head(now, Kind::Ack) };
            return self.emit(of, &ack);
        }
        let seq = self.rng.u64(1..);
        let until = now + self.terms.retry * 1.5;
        self.relays.push(Relay { seq, of, their: asked.seq, about: asked.about.clone(), until });
        self.send_to(now, slot, Kind::Ping, seq, "", None);
    }

    pub(crate) fn relay_acked(&mut self, now: Timestamp, datagram: &Datagram) {
        let Some(at) = self.relays.iter().position(|relay| relay.seq == datagram.seq) else {
            self.counts.stale += 1;
            return;
        };
        let relay = self.relays.swap_remove(at);
        let ack = Datagram { seq: relay.their, about: relay.about, ..self.head(now, Kind::Ack) };
        self.emit(relay.of, &ack);
    }

    /// Members that did not answer this router on behalf of another: that it tried and failed is worth a word.
    pub(crate) fn relayed(&mut self, now: Timestamp) {
        while let Some(at) = self.relays.iter().position(|relay| relay.until <= now) {
            let relay = self.relays.swap_remove(at);
            let nack = Datagram { seq: relay.their, about: relay.about, ..self.head(now, Kind::Nack) };
            self.emit(relay.of, &nack);
        }
    }

    /// What each period begins with.
    pub(crate) fn period(&mut self, now: Timestamp) {
        self.table.expire(now - self.terms.remember);
        if !self.table.live().is_empty() && now - self.heard_any > self.terms.period * 2.5 {
            // Danger: whoever hears nobody is cut off itself, and would find all others dead.
            self.health.cut_off(now, self.terms.period * 1.5);
        }
        self.reckon(now);
        if self.leaves {
            return;
        }
        for slot in self.observed() {
            self.ask(now, slot, Why::Observe, 0.0);
        }
        if let Some(slot) = self.in_turn() {
            self.ask(now, slot, Why::Observe, 0.0);
        }
        self.go_on(now);
        let over = self.table.over();
        if !over.is_empty() {
            let slot = over[self.rng.usize(..over.len())];
            if self.table.get(slot).is_some_and(|one| one.standing != Standing::Left) {
                self.ask(now, slot, Why::Recall, 0.0);
            }
        }
        self.meet(now);
        if now >= self.next_exchange {
            self.next_exchange = now + self.terms.exchange;
            let fit = |one: &Member| one.standing == Standing::Alive;
            for slot in self.table.draw(&mut self.rng, 1, &[], fit) {
                self.send_digest(now, slot, true);
            }
        }
    }

    /// Those whose places on the rings follow this router's: each member has as many observers as there are rings.
    fn observed(&mut self) -> Vec<Slot> {
        if self.observed.0 != self.table.changes {
            let mine = Member::new(self.me.name.clone(), self.me.at, 1, 0, Timestamp::DISTANT_PAST).rings;
            let mut slots: Vec<Slot> = Vec::new();
            for (ring, place) in mine.iter().enumerate().take(self.terms.observed) {
                let new = |one: &Member| {
                    !slots
                        .iter()
                        .any(|&slot| self.table.get(slot).is_some_and(|other| other.name == one.name))
                };
                slots.extend(self.table.successor(ring, *place, new));
            }
            self.observed = (self.table.changes, slots);
        }
        self.observed.1.clone()
    }

    fn in_turn(&mut self) -> Option<Slot> {
        if self.turn.is_empty() {
            self.turn = self.table.live().to_vec();
            self.rng.shuffle(&mut self.turn);
        }
        self.turn.pop().filter(|&slot| self.table.get(slot).is_some_and(|one| !one.standing.is_over()))
    }

    /// Silent members are asked again, and those that this router itself accuses are lost in the end.
    fn go_on(&mut self, now: Timestamp) {
        let me = self.me.name.clone();
        if self.table.count(Standing::Silent) == 0 {
            return;
        }
        let silent = |slot: &Slot| self.table.get(*slot).is_some_and(|one| one.standing == Standing::Silent);
        let mut silent: Vec<Slot> = self.table.live().iter().copied().filter(silent).collect();
        self.rng.shuffle(&mut silent);
        // Danger: one that is silent here by others' word, and answered them since, is asked by nobody here for as many
        // periods as there are members.
        for slot in silent.iter().copied().take(ACCUSED) {
            let own = self.table.get(slot).is_some_and(|one| one.accusers.contains(&me));
            self.ask(now, slot, if own { Why::Observe } else { Why::Recall }, 0.0);
        }
        if self.health.doubts(now) {
            return;
        }
        let live = self.table.live().len();
        for slot in silent {
            let accuses = |one: &&Member| one.accusers.contains(&me);
            let Some(one) = self.table.get(slot).filter(accuses) else { continue };
            let agreed = one.accusers.len() >= 2 || live <= 2;
            let wait = self.health.stretch(self.terms.lost_after) * if agreed { 1.0 } else { 2.0 };
            let lately = now - one.failed <= self.terms.period * 4.0;
            if one.silent_for(now) >= wait && lately {
                self.stands(now, slot, Standing::Lost, &me);
            }
        }
    }

    /// Candidates are asked whether they live; seeds where nobody is known, and one from time to time, since both sides of
    /// a cut may have forgotten each other.
    fn meet(&mut self, now: Timestamp) {
        let mut asked = 0;
        let mut at = 0;
        while at < self.candidates.len() && asked < self.terms.meetings {
            let one = &mut self.candidates[at];
            if one.next > now {
                at += 1;
                continue;
            }
            if one.tries >= TRIES || self.table.slot(&one.name).is_some() {
                self.counts.unmet += u64::from(one.tries >= TRIES);
                self.candidates.swap_remove(at);
                continue;
            }
            one.tries += 1;
            one.next = now + self.terms.period * 1.5;
            let to = self.terms.reached(&one.name, one.at);
            asked += 1;
            at += 1;
            self.ask_address(now, to);
        }
        let seeds = self.terms.seeds.clone();
        if seeds.is_empty() {
            return;
        }
        let count = match self.table.live().len() {
            0 => 3,
            _ => usize::from(self.periods.is_multiple_of(8)),
        };
        for _ in 0..count.min(seeds.len()) {
            let to = seeds[self.rng.usize(..seeds.len())];
            self.ask_address(now, to);
        }
    }
}
