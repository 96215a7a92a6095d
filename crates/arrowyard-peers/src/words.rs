//! Words: what a datagram's sender says of itself, and what others say of members. Whose word counts is decided here.

use std::net::SocketAddr;
use std::rc::Rc;

use arrowyard_types::{TimeDelta, Timestamp};

use crate::fleet::{Event, Fleet};
use crate::member::{Member, Slot, Standing, supersedes};
use crate::message::{Claim, Datagram, Kind, Rumor};
use crate::probe::Candidate;

/// So often a name is fought for within this many periods before one gives way.
const FIGHTS: u32 = 3;
const FIGHT_PERIODS: f64 = 20.0;
/// How often it is passed on that a member joined, or started anew.
const JOINED: u8 = 10;
/// So many periods the one that gave way is still.
const WITHDRAWN_PERIODS: f64 = 60.0;

impl Fleet {
    /// The sender of a datagram. `answers`: it repeats a question of this router's that is open, which proves that it lives.
    pub(crate) fn sender(
        &mut self,
        now: Timestamp,
        told: &Datagram,
        at: SocketAddr,
        from: SocketAddr,
        answers: bool,
    ) {
        let Some(slot) = self.table.slot(&told.from) else {
            if answers {
                self.met(now, told, at);
            } else if told.kind() != Kind::Gossip || told.leaves {
                // Whoever speaks first is asked back, which nobody does in another's name.
                if !told.leaves {
                    self.candidate(now, &told.from, at, told.life);
                    self.ask_address(now, from);
                }
            }
            return;
        };
        self.heard_any = now;
        let Some(one) = self.table.get(slot) else { return };
        if told.life < one.life {
            // Danger: a datagram of a former life, held up on the way, speaks for the one that has the name now.
            self.counts.stale += 1;
            return;
        }
        if told.life > one.life {
            self.renewed(now, slot, told.life, told.nonce, at, &told.from);
        } else if told.nonce != one.nonce {
            self.counts.stale += 1;
            return;
        }
        let since = now - self.table.get(slot).map_or(now, |one| one.heard.max(one.since));
        let Some(one) = self.table.touch(slot) else { return };
        let Some(late) = one.fresh(told.sent, now, since) else {
            self.counts.stale += u64::from(!answers);
            return;
        };
        one.at = at;
        one.heard = one.heard.max(now - late);
        one.idle = told.idle;
        if told.leaves {
            let by = one.name.clone();
            if one.standing != Standing::Left {
                self.stands(now, slot, Standing::Left, &by);
            }
        } else if late < self.terms.fresh {
            let standing = one.standing;
            if standing == Standing::Silent || !one.accusers.is_empty() && standing == Standing::Alive {
                self.lives(now, slot);
            }
        }
    }

    /// A member has a new life: it started anew, or spoke against what was said of it.
    fn renewed(&mut self, now: Timestamp, slot: Slot, life: u64, nonce: u64, at: SocketAddr, by: &str) {
        let by: Rc<str> = self.table.of(by).map_or_else(|| by.into(), |one| one.name.clone());
        self.asks.retain(|ask| ask.slot != Some(slot));
        let changed = self.table.change(slot, |one| {
            let again = one.nonce != nonce;
            let was = one.standing;
            (one.life, one.nonce, one.at) = (life, nonce, at);
            (one.sent, one.offset) = if again { (0, None) } else { (one.sent, one.offset) };
            one.accusers.clear();
            one.refused_by.clear();
            (one.standing, one.by) = (Standing::Alive, by.clone());
            if was != Standing::Alive || again {
                one.since = now;
            }
            (was != Standing::Alive || again).then(|| (one.name.clone(), again))
        });
        let again = matches!(changed, Some(Some((_, true))));
        let times = if again { JOINED } else { self.times() };
        self.table.spread(slot, times);
        // What it says against an accusation cannot wait; that it started anew can.
        let urgent = !again;
        if let Some(Some((name, _))) = changed {
            self.events.push(Event::Stands { name, life, standing: Standing::Alive, by });
        }
        if urgent {
            self.push_to_some(now, Some(slot));
        }
    }

    fn met(&mut self, now: Timestamp, told: &Datagram, at: SocketAddr) {
        self.heard_any = now;
        let name: Rc<str> = (&*told.from).into();
        let mut member = Member::new(name.clone(), at, told.life, told.nonce, now);
        (member.heard, member.acked, member.idle) = (now, now, told.idle);
        let _ = member.fresh(told.sent, now, TimeDelta::ZERO);
        if told.leaves {
            return;
        }
        let Some(slot) = self.table.add(member, self.terms.members) else { return };
        self.table.changes += 1;
        self.candidates.retain(|one| one.name != name);
        let first = self.table.live().len() == 1;
        self.events.push(Event::Stands {
            name: name.clone(),
            life: told.life,
            standing: Standing::Alive,
            by: name,
        });
        // It is no urgent news: where many join, what is pushed at once would be taken from what has to be; and told to
        // the end by each, the start of a thousand fills all datagrams for minutes. The exchange brings the rest.
        self.table.spread(slot, JOINED);
        if first {
            self.send_digest(now, slot, true);
        }
    }

    /// Somebody was heard of.
    pub(crate) fn candidate(&mut self, now: Timestamp, name: &str, at: SocketAddr, life: u64) {
        let known = self.candidates.iter_mut().find(|one| *one.name == *name);
        if let Some(one) = known {
            if life > one.life {
                (one.life, one.at) = (life, at);
            }
            return;
        }
        // Danger: ten thousand invented names. There is room for some, and one drawn gives way.
        if self.candidates.len() >= self.terms.candidates {
            let at = self.rng.usize(..self.candidates.len());
            self.candidates.swap_remove(at);
        }
        self.candidates.push(Candidate { name: name.into(), at, life, tries: 0, next: now });
    }

    /// A word about a member.
    pub(crate) fn rumor(&mut self, now: Timestamp, rumor: &Rumor, by: &Rc<str>) {
        if *rumor.name == *self.me.name {
            return self.of_me(now, rumor);
        }
        let Some(at) = rumor.at.parse().ok().filter(|&at| self.terms.allows(at)) else {
            self.counts.outside += 1;
            return;
        };
        let claim = rumor.claim();
        let Some(slot) = self.table.slot(&rumor.name) else {
            // The dead are not worth a place, and who lives is asked.
            if matches!(claim, Claim::Alive | Claim::Suspect) {
                self.candidate(now, &rumor.name, at, rumor.life);
            }
            return;
        };
        let Some(one) = self.table.get(slot) else { return };
        if claim == Claim::Alive && rumor.life == one.life {
            return self.vouched(now, slot, rumor, by);
        }
        let again = claim == Claim::Suspect && rumor.life == one.life;
        if !again && !supersedes(rumor.life, claim, one.life, one.standing) {
            return;
        }
        if rumor.life > one.life {
            if matches!(claim, Claim::Alive | Claim::Suspect) {
                self.renewed(now, slot, rumor.life, rumor.nonce, at, by);
                if let Some(one) = self.table.touch(slot) {
                    one.idle = rumor.idle;
                }
            }
            if claim == Claim::Alive {
                return;
            }
        }
        let Some(one) = self.table.get(slot) else { return };
        if now - one.own_proof() <= self.terms.fresh && claim != Claim::Left {
            // This router just heard from it. Danger: a liar, or one in a cut, empties the fleet. The member is told, so
            // that it speaks for itself; and since it may hear nobody, this router speaks for it, too.
            if self.pushes.take(now) {
                self.send_to(now, slot, Kind::Gossip, 0, "", Some(rumor.clone()));
            }
            self.vouch(now, slot, by);
            return;
        }
        match claim {
            Claim::Suspect => self.suspected(now, slot, rumor, by),
            Claim::Lost | Claim::Dead | Claim::Left => {
                if rumor.refused {
                    self.note_refusals(slot, rumor);
                }
                self.verify(now, slot, claim, by, Some(rumor));
            }
            _ => {}
        }
    }

    /// This router heard from a member that others find silent: those that were told so are told that, too.
    fn vouch(&mut self, now: Timestamp, slot: Slot, to: &Rc<str>) {
        let Some(one) = self.table.get(slot) else { return };
        let age_ms = ((now - one.own_proof()).micros() / 1000) as u32;
        let by = vec![self.me.name.to_string()];
        let rumor = Rumor { claim: Claim::Alive as i32, by, age_ms, ..one.rumor() };
        if let Some(to) = self.table.slot(to)
            && self.pushes.take(now)
        {
            self.send_to(now, to, Kind::Gossip, 0, "", Some(rumor.clone()));
        }
        self.pass_on(now, slot, &rumor);
    }

    /// A word about a member goes to some others at once.
    pub(crate) fn pass_on(&mut self, now: Timestamp, of: Slot, rumor: &Rumor) {
        let fit = |one: &Member| one.standing == Standing::Alive;
        for to in self.table.draw(&mut self.rng, self.terms.urgent, &[of], fit) {
            if self.pushes.take(now) {
                self.send_to(now, to, Kind::Gossip, 0, "", Some(rumor.clone()));
            }
        }
    }

    /// Others say that they hear a member that this router does not. Danger: a liar keeps the dead alive. So the word
    /// lifts silence only, no refusal and no loss, and counts for as long as that of a helper who reached it.
    fn vouched(&mut self, now: Timestamp, slot: Slot, rumor: &Rumor, by: &Rc<str>) {
        let lives = |name: &String| self.table.of(name).is_some_and(|one| one.standing == Standing::Alive);
        let voucher = rumor.by.iter().find(|name| **name != rumor.name && lives(name)).cloned();
        // Each that passes the word on adds the way's time to its age, so that it fades and does not go round for ever.
        let heard = now - TimeDelta::from_millis(i64::from(rumor.age_ms)) - self.terms.retry * 0.1;
        let Some(one) = self.table.touch(slot) else { return };
        let old = now - heard > self.terms.fresh || heard <= one.by_others + self.terms.fresh;
        if voucher.is_none() || old || !one.refused_by.is_empty() || one.standing.is_over() {
            return;
        }
        one.by_others = heard;
        let news = one.standing == Standing::Silent || !one.accusers.is_empty();
        one.accusers.clear();
        if one.standing == Standing::Silent {
            self.stands(now, slot, Standing::Alive, by);
        }
        if news {
            // Who hears of it for the first time passes it on, as is done with the accusation.
            let age_ms = ((now - heard).micros() / 1000) as u32;
            let rumor = Rumor { age_ms, ..rumor.clone() };
            self.pass_on(now, slot, &rumor);
        }
    }

    fn note_refusals(&mut self, slot: Slot, rumor: &Rumor) {
        let names: Vec<Rc<str>> =
            rumor.by.iter().filter_map(|by| self.table.of(by).map(|one| one.name.clone())).collect();
        if let Some(one) = self.table.touch(slot) {
            for name in names {
                if one.refused_by.len() < 3 && !one.refused_by.contains(&name) {
                    one.refused_by.push(name);
                }
            }
        }
    }

    /// Somebody finds a member silent: one word is kept, two are checked here.
    fn suspected(&mut self, now: Timestamp, slot: Slot, rumor: &Rumor, by: &Rc<str>) {
        // Only members accuse, and only such as live.
        let accusers: Vec<Rc<str>> = rumor
            .by
            .iter()
            .filter_map(|name| {
                self.table.of(name).filter(|one| !one.standing.is_over()).map(|one| one.name.clone())
            })
            .collect();
        let Some(one) = self.table.touch(slot).filter(|one| !one.standing.is_over()) else { return };
        let mut new = false;
        for name in &accusers {
            new |= *name != one.name && one.accuse(name);
        }
        if !new {
            return;
        }
        let (agreed, refused) = (one.accusers.len() >= 2, rumor.refused);
        let standing = one.standing;
        if refused {
            self.note_refusals(slot, rumor);
        }
        let times = self.times();
        self.table.spread(slot, times);
        if standing == Standing::Alive && (agreed || refused || self.table.live().len() <= 3) {
            self.verify(now, slot, Claim::Suspect, by, Some(rumor));
        }
    }

    /// Others speak of this router itself.
    fn of_me(&mut self, now: Timestamp, rumor: &Rumor) {
        if rumor.nonce != self.me.nonce {
            // A former life of this name, or another process that has it.
            if rumor.claim() == Claim::Alive {
                self.claimed(now, rumor.life, rumor.nonce);
            } else if rumor.life >= self.me.life {
                self.me.life = rumor.life;
                self.renew();
                self.push_to_some(now, None);
            }
            return;
        }
        if rumor.claim() != Claim::Alive && rumor.life >= self.me.life && !self.leaves {
            self.me.life = rumor.life;
            self.renew();
            self.push_to_some(now, None);
        }
    }

    /// Another process claims this name with a life that is not before this one's: a former self that is remembered, or
    /// one that runs. The first is outbid once; the second bids again, and the later one of the two gives way.
    pub(crate) fn claimed(&mut self, now: Timestamp, life: u64, nonce: u64) {
        if life < self.me.life {
            return;
        }
        let lately = now - self.raised.1 <= self.terms.period * FIGHT_PERIODS;
        self.raised = (if lately { self.raised.0 + 1 } else { 1 }, now);
        if self.raised.0 >= FIGHTS {
            self.doubled = true;
            let gives_way = nonce < self.me.nonce;
            if self.withdrawn_till < now {
                self.events.push(Event::Doubled { gives_way });
            }
            if gives_way {
                // Danger: two of one name, each taking the other's answers for its own, and one counted for two.
                self.withdrawn_till = now + self.terms.period * WITHDRAWN_PERIODS;
                return;
            }
        }
        self.me.life = life;
        self.renew();
        self.push_to_some(now, None);
    }
}
