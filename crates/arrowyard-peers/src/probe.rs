//! Questions: whom to ask whether it lives, by way of whom else, and what an unanswered one means.

use std::net::SocketAddr;
use std::rc::Rc;

use arrowyard_types::Timestamp;

use crate::member::{Member, Slot, Standing};
use crate::membership::{Action, Membership};
use crate::message::{Claim, Datagram, Kind, Rumor, encode};

/// Why somebody is asked.
#[derive(Clone, Debug, PartialEq)]
pub enum ProbeReason {
    /// It is this router's to observe, or its turn.
    Scheduled,
    /// Others say that it is silent or over; the word counts only if it does not answer here either.
    Verify(Claim, Rc<str>),
    /// It is over, and may be back: a cut has healed.
    CheckRecovery,
    /// Somebody lives there who was not met yet.
    Introduce,
}

/// A question that is open.
pub struct Probe {
    /// A member; nothing where only an address is known.
    pub slot: Option<Slot>,
    pub incarnation: u64,
    pub to: SocketAddr,
    pub seq: u64,
    pub started_at: Timestamp,
    pub attempts: u8,
    pub next_step_at: Timestamp,
    pub reason: ProbeReason,
    /// A helper said that it could not reach it either.
    pub nacked: bool,
    pub refused: bool,
}

/// A question on behalf of another.
pub struct RelayedProbe {
    pub seq: u64,
    pub requester: SocketAddr,
    pub requester_seq: u64,
    pub subject: String,
    pub deadline: Timestamp,
}

/// Somebody who was heard of and not met.
pub struct Candidate {
    pub name: Rc<str>,
    pub address: SocketAddr,
    pub incarnation: u64,
    pub attempts: u8,
    pub next_probe_at: Timestamp,
}

/// Questions open at once at most, those on behalf of others, and those that check others' words.
const MAX_PROBES: usize = 256;
const MAX_RELAYED_PROBES: usize = 128;
const MAX_VERIFICATIONS: usize = 64;
/// Silent members that are asked again in a period.
const SILENT_PROBES_PER_PERIOD: usize = 4;
/// How often a candidate is asked.
const MAX_CANDIDATE_ATTEMPTS: u8 = 3;

impl Membership {
    fn start_probe(&mut self, now: Timestamp, slot: Slot, why: ProbeReason, after: f64) {
        let open = |ask: &Probe| ask.slot == Some(slot) && ask.reason == why;
        if self.probes.len() >= MAX_PROBES || self.probes.iter().any(open) {
            return;
        }
        let Some((to, life)) = self.member_address(slot).zip(self.table.get(slot).map(|one| one.incarnation))
        else {
            return;
        };
        let (seq, next) = (self.rng.u64(1..), now + self.config.retry_interval * after);
        let ask = Probe {
            slot: Some(slot),
            incarnation: life,
            to,
            seq,
            started_at: next,
            attempts: 0,
            next_step_at: next,
            reason: why,
            nacked: false,
            refused: false,
        };
        self.probes.push(ask);
        if after == 0.0 {
            let at = self.probes.len() - 1;
            self.advance_probe(now, at);
        }
    }

    pub(crate) fn probe_address(&mut self, now: Timestamp, to: SocketAddr) {
        if self.probes.len() >= MAX_PROBES || self.probes.iter().any(|ask| ask.slot.is_none() && ask.to == to)
        {
            return;
        }
        let (seq, next, why) = (self.rng.u64(1..), now, ProbeReason::Introduce);
        let ask = Probe {
            slot: None,
            incarnation: 0,
            to,
            seq,
            started_at: now,
            attempts: 0,
            next_step_at: next,
            reason: why,
            nacked: false,
            refused: false,
        };
        self.probes.push(ask);
        let at = self.probes.len() - 1;
        self.advance_probe(now, at);
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
        let checks = self.probes.iter().filter(|ask| matches!(ask.reason, ProbeReason::Verify(..)));
        if checks.clone().any(|ask| ask.slot == Some(slot)) || checks.count() >= MAX_VERIFICATIONS {
            return;
        }
        // Passed on as it is heard, not once it was checked: else each step of its way would take as long as a check.
        if let Some(rumor) = rumor {
            self.forward_rumor(now, slot, rumor);
        }
        let after = self.rng.f64();
        self.start_probe(now, slot, ProbeReason::Verify(claim, by.clone()), after);
    }

    /// What open questions do next.
    pub(crate) fn advance_probes(&mut self, now: Timestamp) {
        let mut at = 0;
        while at < self.probes.len() {
            if self.probes[at].next_step_at > now || self.advance_probe(now, at) {
                at += 1;
            }
        }
    }

    /// One step of an open question; whether it stays open.
    fn advance_probe(&mut self, now: Timestamp, at: usize) -> bool {
        let (retry, verdict) = (
            self.health.scale_timeout(self.config.retry_interval),
            self.health.scale_timeout(self.config.probe_timeout),
        );
        let ask = &mut self.probes[at];
        let (step, seq, slot, to, checks) =
            (ask.attempts, ask.seq, ask.slot, ask.to, matches!(ask.reason, ProbeReason::Verify(..)));
        // A check has others' word behind it, and asks twice; a recall and a first meeting once.
        let steps = match ask.reason {
            ProbeReason::Scheduled => 3,
            ProbeReason::Verify(..) => 2,
            ProbeReason::CheckRecovery | ProbeReason::Introduce => 1,
        };
        if step >= steps {
            let ask = self.probes.swap_remove(at);
            self.probe_timed_out(now, &ask);
            return false;
        }
        ask.attempts += 1;
        ask.next_step_at = if step + 1 < steps {
            now + retry
        } else if checks {
            (ask.started_at + retry * 2.0).max(now + retry)
        } else {
            (ask.started_at + verdict).max(now + retry)
        };
        match slot {
            Some(slot) => {
                self.send_message(now, slot, Kind::Ping, seq, "", None);
                let name = self.table.get(slot).map(|one| (one.name.clone(), one.incarnation));
                let Some((name, life)) = name else { return true };
                if step >= 1 && !checks {
                    self.send_indirect_pings(now, slot, &name, seq);
                }
                if checks && step == 0 || step == 2 {
                    let bytes = encode(&self.new_datagram(now, Kind::Gossip));
                    self.actions.push(Action::CheckPort { to, name, incarnation: life, bytes });
                }
            }
            None => {
                let mut datagram = Datagram { seq, ..self.new_datagram(now, Kind::Ping) };
                self.piggyback_rumors(&mut datagram, None);
                self.send(to, &datagram);
            }
        }
        true
    }

    /// Asks by way of helpers: what is cut between two may be open between others.
    fn send_indirect_pings(&mut self, now: Timestamp, slot: Slot, name: &str, seq: u64) {
        let fit = |one: &Member| {
            one.standing == Standing::Alive && one.last_evidence() > now - self.config.probe_interval * 20.0
        };
        for helper in self.table.sample(&mut self.rng, self.config.indirect_probe_helpers, &[slot], fit) {
            self.send_message(now, helper, Kind::IndirectPing, seq, name, None);
        }
    }

    /// A question was given up.
    fn probe_timed_out(&mut self, now: Timestamp, ask: &Probe) {
        let Some(slot) = ask.slot else { return };
        let Some(one) = self.table.get(slot).filter(|one| one.incarnation == ask.incarnation) else { return };
        // It was heard meanwhile by itself: a cut of one side, and no silence.
        if one.last_evidence() >= ask.started_at {
            return;
        }
        let live = self.table.live().len();
        match &ask.reason {
            ProbeReason::CheckRecovery | ProbeReason::Introduce => {}
            ProbeReason::Scheduled => {
                // Danger: the fault may be here. With helpers about, one of them has to have tried, too.
                let alone = live <= 1;
                if !ask.nacked && !ask.refused && !alone {
                    self.health.record_failure();
                    return;
                }
                if self.health.is_suspect(now) && !ask.refused {
                    return;
                }
                self.report_silence(now, slot, ask.refused);
            }
            ProbeReason::Verify(claim, by) => {
                if self.health.is_suspect(now) && !ask.refused {
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
                if let Some(one) = self.table.get_mut(slot) {
                    one.last_probe_failure = now;
                }
                let held = self.table.get(slot).map(|one| one.standing);
                if held.is_some_and(|held| standing > held) {
                    self.set_standing(now, slot, standing, &by);
                }
                if ask.refused {
                    self.report_silence(now, slot, true);
                }
            }
        }
    }

    /// This router itself finds a member silent.
    fn report_silence(&mut self, now: Timestamp, slot: Slot, refused: bool) {
        let me = self.local.name.clone();
        let (live, doubts) = (self.table.live().len(), self.health.is_suspect(now));
        let lost_after = self.health.scale_timeout(self.config.lost_after);
        // A single word of a refusal may be a wall that refuses this router alone, so that a second one has to say so,
        // where there is anybody. (The last of a fleet hears nobody; that it is refused it still knows.)
        let alone = refused && !self.hears_other_members(now, slot);
        let Some(one) = self.table.get_mut(slot) else { return };
        one.last_probe_failure = now;
        if refused && !one.refused_by.contains(&me) {
            one.refused_by.push(me.clone());
        }
        // Nor may nobody else know it: all others started since. Then this router's own questions have to do, for long.
        let long = one.silent_for(now) >= lost_after;
        let dead = one.refused_by.len() >= 2 || refused && (alone || long);
        if doubts && !dead {
            return;
        }
        one.add_accuser(&me);
        let (standing, agreed) = (one.standing, one.accusers.len() >= 2 || live <= 2 || long);
        if dead && standing < Standing::Dead {
            self.set_standing(now, slot, Standing::Dead, &me);
        } else if standing == Standing::Alive && agreed {
            self.set_standing(now, slot, Standing::Silent, &me);
        } else if standing == Standing::Alive {
            // Said again with each question that fails. Danger: who heard it too early, when it had just heard from the
            // member, passed the word over, and nobody would ever say it again.
            let times = self.retransmit_limit();
            self.table.queue_rumor(slot, times);
            let mut rumor = self.table.get(slot).map(Member::rumor).unwrap_or_default();
            rumor.claim = Claim::Suspect as i32;
            rumor.reporters = vec![me.to_string()];
            self.forward_rumor(now, slot, &rumor);
        }
    }

    /// Whether anybody else was heard in these periods.
    fn hears_other_members(&self, now: Timestamp, slot: Slot) -> bool {
        let since = now - self.config.probe_interval * 6.0;
        let heard = |one: &Member| one.last_direct_evidence() >= since;
        self.table.live().iter().any(|&other| other != slot && self.table.get(other).is_some_and(heard))
    }

    /// The machine there says that nobody listens.
    pub fn port_refused(&mut self, name: &str, life: u64) {
        let Some(slot) = self.table.slot(name) else { return };
        let of = |ask: &&mut Probe| ask.slot == Some(slot) && ask.incarnation == life;
        self.probes.iter_mut().filter(of).for_each(|ask| ask.refused = true);
    }

    /// An answer to a question.
    pub(crate) fn handle_ack(&mut self, now: Timestamp, at: usize, datagram: &Datagram) {
        let ask = &self.probes[at];
        let (slot, why, seq) = (ask.slot, ask.reason.clone(), ask.seq);
        if !datagram.subject.is_empty() {
            // By way of a helper, who speaks of the member that was asked about.
            let Some(slot) =
                slot.filter(|&slot| self.table.get(slot).is_some_and(|one| *one.name == *datagram.subject))
            else {
                return;
            };
            if let Some(one) = self.table.get_mut(slot) {
                one.last_indirect_ack = now;
            }
            self.probes.retain(|ask| ask.seq != seq);
            self.confirm_alive(now, slot);
            return;
        }
        self.probes.swap_remove(at);
        self.health.record_success();
        let Some(slot) = self.table.slot(&datagram.from) else { return };
        if let Some(one) = self.table.get_mut(slot).filter(|one| one.incarnation == datagram.incarnation) {
            one.last_ack = now;
            if matches!(why, ProbeReason::Verify(Claim::Left, _)) && datagram.leaving {
                let by = one.name.clone();
                self.set_standing(now, slot, Standing::Left, &by);
                return;
            }
            self.confirm_alive(now, slot);
        }
    }

    /// This router has proof of its own that a member lives. What was said against it is told to it, so that it raises its
    /// life and all others hear of it.
    pub(crate) fn confirm_alive(&mut self, now: Timestamp, slot: Slot) {
        let Some(one) = self.table.get(slot) else { return };
        if one.standing == Standing::Left || one.standing == Standing::Alive && one.accusers.is_empty() {
            return;
        }
        let (was, me) = (one.standing, self.local.name.clone());
        if self.push_bucket.take(now) {
            self.send_message(now, slot, Kind::Gossip, 0, "", None);
        }
        if was == Standing::Alive {
            if let Some(one) = self.table.get_mut(slot) {
                one.accusers.clear();
                one.refused_by.clear();
            }
            return;
        }
        self.set_standing(now, slot, Standing::Alive, &me);
        if was.is_inactive() {
            // A cut has healed, perhaps: the whole view is compared at once.
            self.send_digest(now, slot, true);
        }
    }

    pub(crate) fn send_ack(&mut self, now: Timestamp, from: SocketAddr, ping: &Datagram) {
        let mut ack = Datagram { seq: ping.seq, ..self.new_datagram(now, Kind::Ack) };
        // What is held against the one that asks, so that it can speak for itself.
        let against = self
            .table
            .by_name(&ping.from)
            .filter(|one| one.standing != Standing::Alive || one.incarnation > ping.incarnation);
        let against = against.map(Member::rumor);
        self.piggyback_rumors(&mut ack, against);
        self.send(from, &ack);
    }

    pub(crate) fn relay_ping(&mut self, now: Timestamp, of: SocketAddr, asked: &Datagram) {
        let Some(slot) = self.table.slot(&asked.subject) else { return };
        if self.relays.len() >= MAX_RELAYED_PROBES {
            return;
        }
        if self.table.get(slot).is_some_and(|one| now - one.last_heard <= self.config.retry_interval) {
            // It was heard here just now, though it may hear nobody.
            let ack = Datagram {
                seq: asked.seq,
                subject: asked.subject.clone(),
                ..self.new_datagram(now, Kind::Ack)
            };
            return self.send(of, &ack);
        }
        let seq = self.rng.u64(1..);
        let until = now + self.config.retry_interval * 1.5;
        self.relays.push(RelayedProbe {
            seq,
            requester: of,
            requester_seq: asked.seq,
            subject: asked.subject.clone(),
            deadline: until,
        });
        self.send_message(now, slot, Kind::Ping, seq, "", None);
    }

    pub(crate) fn forward_ack(&mut self, now: Timestamp, datagram: &Datagram) {
        let Some(at) = self.relays.iter().position(|relay| relay.seq == datagram.seq) else {
            self.counts.stale += 1;
            return;
        };
        let relay = self.relays.swap_remove(at);
        let ack = Datagram {
            seq: relay.requester_seq,
            subject: relay.subject,
            ..self.new_datagram(now, Kind::Ack)
        };
        self.send(relay.requester, &ack);
    }

    /// Members that did not answer this router on behalf of another: that it tried and failed is worth a word.
    pub(crate) fn expire_relays(&mut self, now: Timestamp) {
        while let Some(at) = self.relays.iter().position(|relay| relay.deadline <= now) {
            let relay = self.relays.swap_remove(at);
            let nack = Datagram {
                seq: relay.requester_seq,
                subject: relay.subject,
                ..self.new_datagram(now, Kind::Nack)
            };
            self.send(relay.requester, &nack);
        }
    }

    /// What each period begins with.
    pub(crate) fn run_period(&mut self, now: Timestamp) {
        self.table.expire_inactive(now - self.config.forget_after);
        if !self.table.live().is_empty() && now - self.last_heard_any > self.config.probe_interval * 2.5 {
            // Danger: whoever hears nobody is cut off itself, and would find all others dead.
            self.health.suspend_suspicion(now, self.config.probe_interval * 1.5);
        }
        self.update_router_count(now);
        if self.leaving {
            return;
        }
        for slot in self.observed_members() {
            self.start_probe(now, slot, ProbeReason::Scheduled, 0.0);
        }
        if let Some(slot) = self.next_in_rotation() {
            self.start_probe(now, slot, ProbeReason::Scheduled, 0.0);
        }
        self.probe_silent_members(now);
        let over = self.table.inactive();
        if !over.is_empty() {
            let slot = over[self.rng.usize(..over.len())];
            if self.table.get(slot).is_some_and(|one| one.standing != Standing::Left) {
                self.start_probe(now, slot, ProbeReason::CheckRecovery, 0.0);
            }
        }
        self.probe_candidates(now);
        if now >= self.next_exchange {
            self.next_exchange = now + self.config.anti_entropy_interval;
            let fit = |one: &Member| one.standing == Standing::Alive;
            for slot in self.table.sample(&mut self.rng, 1, &[], fit) {
                self.send_digest(now, slot, true);
            }
        }
    }

    /// Those whose places on the rings follow this router's: each member has as many observers as there are rings.
    fn observed_members(&mut self) -> Vec<Slot> {
        if self.observed.0 != self.table.version {
            let mine =
                Member::new(self.local.name.clone(), self.local.address, 1, 0, Timestamp::DISTANT_PAST)
                    .ring_positions;
            let mut slots: Vec<Slot> = Vec::new();
            for (ring, place) in mine.iter().enumerate().take(self.config.observed_members) {
                let new = |one: &Member| {
                    !slots
                        .iter()
                        .any(|&slot| self.table.get(slot).is_some_and(|other| other.name == one.name))
                };
                slots.extend(self.table.ring_successor(ring, *place, new));
            }
            self.observed = (self.table.version, slots);
        }
        self.observed.1.clone()
    }

    fn next_in_rotation(&mut self) -> Option<Slot> {
        if self.rotation.is_empty() {
            self.rotation = self.table.live().to_vec();
            self.rng.shuffle(&mut self.rotation);
        }
        self.rotation
            .pop()
            .filter(|&slot| self.table.get(slot).is_some_and(|one| !one.standing.is_inactive()))
    }

    /// Silent members are asked again, and those that this router itself accuses are lost in the end.
    fn probe_silent_members(&mut self, now: Timestamp) {
        let me = self.local.name.clone();
        if self.table.count_by_standing(Standing::Silent) == 0 {
            return;
        }
        let silent = |slot: &Slot| self.table.get(*slot).is_some_and(|one| one.standing == Standing::Silent);
        let mut silent: Vec<Slot> = self.table.live().iter().copied().filter(silent).collect();
        self.rng.shuffle(&mut silent);
        // Danger: one that is silent here by others' word, and answered them since, is asked by nobody here for as many
        // periods as there are members.
        for slot in silent.iter().copied().take(SILENT_PROBES_PER_PERIOD) {
            let own = self.table.get(slot).is_some_and(|one| one.accusers.contains(&me));
            self.start_probe(
                now,
                slot,
                if own { ProbeReason::Scheduled } else { ProbeReason::CheckRecovery },
                0.0,
            );
        }
        if self.health.is_suspect(now) {
            return;
        }
        let live = self.table.live().len();
        for slot in silent {
            let accuses = |one: &&Member| one.accusers.contains(&me);
            let Some(one) = self.table.get(slot).filter(accuses) else { continue };
            let agreed = one.accusers.len() >= 2 || live <= 2;
            let wait = self.health.scale_timeout(self.config.lost_after) * if agreed { 1.0 } else { 2.0 };
            let lately = now - one.last_probe_failure <= self.config.probe_interval * 4.0;
            if one.silent_for(now) >= wait && lately {
                self.set_standing(now, slot, Standing::Lost, &me);
            }
        }
    }

    /// Candidates are asked whether they live; seeds where nobody is known, and one from time to time, since both sides of
    /// a cut may have forgotten each other.
    fn probe_candidates(&mut self, now: Timestamp) {
        let mut asked = 0;
        let mut at = 0;
        while at < self.candidates.len() && asked < self.config.max_candidate_probes {
            let one = &mut self.candidates[at];
            if one.next_probe_at > now {
                at += 1;
                continue;
            }
            if one.attempts >= MAX_CANDIDATE_ATTEMPTS || self.table.slot(&one.name).is_some() {
                self.counts.unanswered_candidates += u64::from(one.attempts >= MAX_CANDIDATE_ATTEMPTS);
                self.candidates.swap_remove(at);
                continue;
            }
            one.attempts += 1;
            one.next_probe_at = now + self.config.probe_interval * 1.5;
            let to = self.config.reachable_address(&one.name, one.address);
            asked += 1;
            at += 1;
            self.probe_address(now, to);
        }
        let seeds = self.config.seeds.clone();
        if seeds.is_empty() {
            return;
        }
        let count = match self.table.live().len() {
            0 => 3,
            _ => usize::from(self.periods.is_multiple_of(8)),
        };
        for _ in 0..count.min(seeds.len()) {
            let to = seeds[self.rng.usize(..seeds.len())];
            self.probe_address(now, to);
        }
    }
}
