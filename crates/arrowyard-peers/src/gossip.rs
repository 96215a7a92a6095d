//! Words: what a datagram's sender says of itself, and what others say of members. Whose word counts is decided here.

use std::net::SocketAddr;
use std::rc::Rc;

use arrowyard_types::{TimeDelta, Timestamp};

use crate::member::{Member, Slot, Standing, supersedes};
use crate::membership::{Event, Membership};
use crate::message::{Claim, Datagram, Kind, Rumor};
use crate::probe::Candidate;

/// So often a name is fought for within this many periods before one gives way.
const MAX_NAME_CONFLICTS: u32 = 3;
const NAME_CONFLICT_WINDOW_PERIODS: f64 = 20.0;
/// How often it is passed on that a member joined, or started anew.
const JOIN_TRANSMISSIONS: u8 = 10;
/// So many periods the one that gave way is still.
const NAME_WITHDRAWAL_PERIODS: f64 = 60.0;

impl Membership {
    /// The sender of a datagram. `answers`: it repeats a question of this router's that is open, which proves that it lives.
    pub(crate) fn handle_sender(
        &mut self,
        now: Timestamp,
        told: &Datagram,
        at: SocketAddr,
        from: SocketAddr,
        answers: bool,
    ) {
        let Some(slot) = self.table.slot(&told.from) else {
            if answers {
                self.add_member(now, told, at);
            } else if told.kind() != Kind::Gossip || told.leaving {
                // Whoever speaks first is asked back, which nobody does in another's name.
                if !told.leaving {
                    self.add_candidate(now, &told.from, at, told.incarnation);
                    self.probe_address(now, from);
                }
            }
            return;
        };
        self.last_heard_any = now;
        let Some(one) = self.table.get(slot) else { return };
        if told.incarnation < one.incarnation {
            // Danger: a datagram of a former life, held up on the way, speaks for the one that has the name now.
            self.counts.stale += 1;
            return;
        }
        if told.incarnation > one.incarnation {
            self.accept_incarnation(now, slot, told.incarnation, told.nonce, at, &told.from);
        } else if told.nonce != one.nonce {
            self.counts.stale += 1;
            return;
        }
        let since = now - self.table.get(slot).map_or(now, |one| one.last_heard.max(one.standing_since));
        let Some(one) = self.table.get_mut(slot) else { return };
        let Some(late) = one.accept_datagram(told.sent_us, now, since) else {
            self.counts.stale += u64::from(!answers);
            return;
        };
        one.address = at;
        one.last_heard = one.last_heard.max(now - late);
        one.idle = told.idle;
        if told.leaving {
            let by = one.name.clone();
            if one.standing != Standing::Left {
                self.set_standing(now, slot, Standing::Left, &by);
            }
        } else if late < self.config.freshness_window {
            let standing = one.standing;
            if standing == Standing::Silent || !one.accusers.is_empty() && standing == Standing::Alive {
                self.confirm_alive(now, slot);
            }
        }
    }

    /// A member has a new life: it started anew, or spoke against what was said of it.
    fn accept_incarnation(
        &mut self,
        now: Timestamp,
        slot: Slot,
        life: u64,
        nonce: u64,
        at: SocketAddr,
        by: &str,
    ) {
        let by: Rc<str> = self.table.by_name(by).map_or_else(|| by.into(), |one| one.name.clone());
        self.probes.retain(|ask| ask.slot != Some(slot));
        let changed = self.table.update(slot, |one| {
            let again = one.nonce != nonce;
            let was = one.standing;
            (one.incarnation, one.nonce, one.address) = (life, nonce, at);
            (one.last_sent_us, one.min_clock_offset) =
                if again { (0, None) } else { (one.last_sent_us, one.min_clock_offset) };
            one.accusers.clear();
            one.refused_by.clear();
            (one.standing, one.reported_by) = (Standing::Alive, by.clone());
            if was != Standing::Alive || again {
                one.standing_since = now;
            }
            (was != Standing::Alive || again).then(|| (one.name.clone(), again))
        });
        let again = matches!(changed, Some(Some((_, true))));
        let times = if again { JOIN_TRANSMISSIONS } else { self.retransmit_limit() };
        self.table.queue_rumor(slot, times);
        // What it says against an accusation cannot wait; that it started anew can.
        let urgent = !again;
        if let Some(Some((name, _))) = changed {
            self.events.push(Event::StandingChanged {
                name,
                incarnation: life,
                standing: Standing::Alive,
                reported_by: by,
            });
        }
        if urgent {
            self.push_rumor(now, Some(slot));
        }
    }

    fn add_member(&mut self, now: Timestamp, told: &Datagram, at: SocketAddr) {
        self.last_heard_any = now;
        let name: Rc<str> = (&*told.from).into();
        let mut member = Member::new(name.clone(), at, told.incarnation, told.nonce, now);
        (member.last_heard, member.last_ack, member.idle) = (now, now, told.idle);
        let _ = member.accept_datagram(told.sent_us, now, TimeDelta::ZERO);
        if told.leaving {
            return;
        }
        let Some(slot) = self.table.add(member, self.config.max_members) else { return };
        self.table.version += 1;
        self.candidates.retain(|one| one.name != name);
        let first = self.table.live().len() == 1;
        self.events.push(Event::StandingChanged {
            name: name.clone(),
            incarnation: told.incarnation,
            standing: Standing::Alive,
            reported_by: name,
        });
        // It is no urgent news: where many join, what is pushed at once would be taken from what has to be; and told to
        // the end by each, the start of a thousand fills all datagrams for minutes. The exchange brings the rest.
        self.table.queue_rumor(slot, JOIN_TRANSMISSIONS);
        if first {
            self.send_digest(now, slot, true);
        }
    }

    /// Somebody was heard of.
    pub(crate) fn add_candidate(&mut self, now: Timestamp, name: &str, at: SocketAddr, life: u64) {
        let known = self.candidates.iter_mut().find(|one| *one.name == *name);
        if let Some(one) = known {
            if life > one.incarnation {
                (one.incarnation, one.address) = (life, at);
            }
            return;
        }
        // Danger: ten thousand invented names. There is room for some, and one drawn gives way.
        if self.candidates.len() >= self.config.max_candidates {
            let at = self.rng.usize(..self.candidates.len());
            self.candidates.swap_remove(at);
        }
        self.candidates.push(Candidate {
            name: name.into(),
            address: at,
            incarnation: life,
            attempts: 0,
            next_probe_at: now,
        });
    }

    /// A word about a member.
    pub(crate) fn handle_rumor(&mut self, now: Timestamp, rumor: &Rumor, by: &Rc<str>) {
        if *rumor.name == *self.local.name {
            return self.handle_rumor_about_self(now, rumor);
        }
        let Some(at) = rumor.address.parse().ok().filter(|&at| self.config.allows_address(at)) else {
            self.counts.disallowed_address += 1;
            return;
        };
        let claim = rumor.claim();
        let Some(slot) = self.table.slot(&rumor.name) else {
            // The dead are not worth a place, and who lives is asked.
            if matches!(claim, Claim::Alive | Claim::Suspect) {
                self.add_candidate(now, &rumor.name, at, rumor.incarnation);
            }
            return;
        };
        let Some(one) = self.table.get(slot) else { return };
        if claim == Claim::Alive && rumor.incarnation == one.incarnation {
            return self.accept_vouching(now, slot, rumor, by);
        }
        let again = claim == Claim::Suspect && rumor.incarnation == one.incarnation;
        if !again && !supersedes(rumor.incarnation, claim, one.incarnation, one.standing) {
            return;
        }
        if rumor.incarnation > one.incarnation {
            if matches!(claim, Claim::Alive | Claim::Suspect) {
                self.accept_incarnation(now, slot, rumor.incarnation, rumor.nonce, at, by);
                if let Some(one) = self.table.get_mut(slot) {
                    one.idle = rumor.idle;
                }
            }
            if claim == Claim::Alive {
                return;
            }
        }
        let Some(one) = self.table.get(slot) else { return };
        if now - one.last_direct_evidence() <= self.config.freshness_window && claim != Claim::Left {
            // This router just heard from it. Danger: a liar, or one in a cut, empties the fleet. The member is told, so
            // that it speaks for itself; and since it may hear nobody, this router speaks for it, too.
            if self.push_bucket.take(now) {
                self.send_message(now, slot, Kind::Gossip, 0, "", Some(rumor.clone()));
            }
            self.vouch_for(now, slot, by);
            return;
        }
        match claim {
            Claim::Suspect => self.handle_suspicion(now, slot, rumor, by),
            Claim::Lost | Claim::Dead | Claim::Left => {
                if rumor.refused {
                    self.record_refusals(slot, rumor);
                }
                self.verify(now, slot, claim, by, Some(rumor));
            }
            _ => {}
        }
    }

    /// This router heard from a member that others find silent: those that were told so are told that, too.
    fn vouch_for(&mut self, now: Timestamp, slot: Slot, to: &Rc<str>) {
        let Some(one) = self.table.get(slot) else { return };
        let age_ms = ((now - one.last_direct_evidence()).micros() / 1000) as u32;
        let by = vec![self.local.name.to_string()];
        let rumor = Rumor { claim: Claim::Alive as i32, reporters: by, age_ms, ..one.rumor() };
        if let Some(to) = self.table.slot(to)
            && self.push_bucket.take(now)
        {
            self.send_message(now, to, Kind::Gossip, 0, "", Some(rumor.clone()));
        }
        self.forward_rumor(now, slot, &rumor);
    }

    /// A word about a member goes to some others at once.
    pub(crate) fn forward_rumor(&mut self, now: Timestamp, of: Slot, rumor: &Rumor) {
        let fit = |one: &Member| one.standing == Standing::Alive;
        for to in self.table.sample(&mut self.rng, self.config.urgent_fanout, &[of], fit) {
            if self.push_bucket.take(now) {
                self.send_message(now, to, Kind::Gossip, 0, "", Some(rumor.clone()));
            }
        }
    }

    /// Others say that they hear a member that this router does not. Danger: a liar keeps the dead alive. So the word
    /// lifts silence only, no refusal and no loss, and counts for as long as that of a helper who reached it.
    fn accept_vouching(&mut self, now: Timestamp, slot: Slot, rumor: &Rumor, by: &Rc<str>) {
        let lives =
            |name: &String| self.table.by_name(name).is_some_and(|one| one.standing == Standing::Alive);
        let voucher = rumor.reporters.iter().find(|name| **name != rumor.name && lives(name)).cloned();
        // Each that passes the word on adds the way's time to its age, so that it fades and does not go round for ever.
        let heard = now - TimeDelta::from_millis(i64::from(rumor.age_ms)) - self.config.retry_interval * 0.1;
        let Some(one) = self.table.get_mut(slot) else { return };
        let old = now - heard > self.config.freshness_window
            || heard <= one.last_indirect_ack + self.config.freshness_window;
        if voucher.is_none() || old || !one.refused_by.is_empty() || one.standing.is_inactive() {
            return;
        }
        one.last_indirect_ack = heard;
        let news = one.standing == Standing::Silent || !one.accusers.is_empty();
        one.accusers.clear();
        if one.standing == Standing::Silent {
            self.set_standing(now, slot, Standing::Alive, by);
        }
        if news {
            // Who hears of it for the first time passes it on, as is done with the accusation.
            let age_ms = ((now - heard).micros() / 1000) as u32;
            let rumor = Rumor { age_ms, ..rumor.clone() };
            self.forward_rumor(now, slot, &rumor);
        }
    }

    fn record_refusals(&mut self, slot: Slot, rumor: &Rumor) {
        let names: Vec<Rc<str>> = rumor
            .reporters
            .iter()
            .filter_map(|by| self.table.by_name(by).map(|one| one.name.clone()))
            .collect();
        if let Some(one) = self.table.get_mut(slot) {
            for name in names {
                if one.refused_by.len() < 3 && !one.refused_by.contains(&name) {
                    one.refused_by.push(name);
                }
            }
        }
    }

    /// Somebody finds a member silent: one word is kept, two are checked here.
    fn handle_suspicion(&mut self, now: Timestamp, slot: Slot, rumor: &Rumor, by: &Rc<str>) {
        // Only members accuse, and only such as live.
        let accusers: Vec<Rc<str>> = rumor
            .reporters
            .iter()
            .filter_map(|name| {
                self.table.by_name(name).filter(|one| !one.standing.is_inactive()).map(|one| one.name.clone())
            })
            .collect();
        let Some(one) = self.table.get_mut(slot).filter(|one| !one.standing.is_inactive()) else { return };
        let mut new = false;
        for name in &accusers {
            new |= *name != one.name && one.add_accuser(name);
        }
        if !new {
            return;
        }
        let (agreed, refused) = (one.accusers.len() >= 2, rumor.refused);
        let standing = one.standing;
        if refused {
            self.record_refusals(slot, rumor);
        }
        let times = self.retransmit_limit();
        self.table.queue_rumor(slot, times);
        if standing == Standing::Alive && (agreed || refused || self.table.live().len() <= 3) {
            self.verify(now, slot, Claim::Suspect, by, Some(rumor));
        }
    }

    /// Others speak of this router itself.
    fn handle_rumor_about_self(&mut self, now: Timestamp, rumor: &Rumor) {
        if rumor.nonce != self.local.nonce {
            // A former life of this name, or another process that has it.
            if rumor.claim() == Claim::Alive {
                self.handle_duplicate_name(now, rumor.incarnation, rumor.nonce);
            } else if rumor.incarnation >= self.local.incarnation {
                self.local.incarnation = rumor.incarnation;
                self.raise_incarnation();
                self.push_rumor(now, None);
            }
            return;
        }
        if rumor.claim() != Claim::Alive && rumor.incarnation >= self.local.incarnation && !self.leaving {
            self.local.incarnation = rumor.incarnation;
            self.raise_incarnation();
            self.push_rumor(now, None);
        }
    }

    /// Another process claims this name with a life that is not before this one's: a former self that is remembered, or
    /// one that runs. The first is outbid once; the second bids again, and the later one of the two gives way.
    pub(crate) fn handle_duplicate_name(&mut self, now: Timestamp, life: u64, nonce: u64) {
        if life < self.local.incarnation {
            return;
        }
        let lately = now - self.name_conflicts.1 <= self.config.probe_interval * NAME_CONFLICT_WINDOW_PERIODS;
        self.name_conflicts = (if lately { self.name_conflicts.0 + 1 } else { 1 }, now);
        if self.name_conflicts.0 >= MAX_NAME_CONFLICTS {
            self.duplicate_name = true;
            let gives_way = nonce < self.local.nonce;
            if self.withdrawn_until < now {
                self.events.push(Event::DuplicateName { yields: gives_way });
            }
            if gives_way {
                // Danger: two of one name, each taking the other's answers for its own, and one counted for two.
                self.withdrawn_until = now + self.config.probe_interval * NAME_WITHDRAWAL_PERIODS;
                return;
            }
        }
        self.local.incarnation = life;
        self.raise_incarnation();
        self.push_rumor(now, None);
    }
}
