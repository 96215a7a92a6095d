//! What a host is good for: its limit, its health, its warmth, its role and position. A host is an actor that takes
//! notes and shows the desk its face.

use arrowyard_types::*;

use crate::logic::{EASY, REST, STEP};
use crate::post::{HostNote, Post};
use crate::state::{Face, Host};

/// Wald's test: the chance of judging wrongly, and the share of bad outcomes that any host is allowed.
const WRONG: f64 = 0.002;
const TOLERATED: f64 = 0.1;
/// Sends of all routers together that may be unfinished at a host that is not known yet, and at any host.
const FIRST_LIMIT: f64 = 64.0;
const LEAST_LIMIT: f64 = 8.0;
/// An answer beyond this share of its latency target cuts the limit.
const STRAINED: f64 = 0.9;
/// A cold host gets at most this part of the multiple of its capacity that would push it over.
const OF_MULTIPLE: f64 = 0.7;

impl Face {
    /// Whether it has room for one more send. Danger: of many routers even one send each is too many; a limit
    /// under one spaces sends out, so that one is out for that share of the time.
    pub fn bears(&self, share: f64, now: Timestamp, pace: TimeDelta) -> bool {
        let room = self.limit * share;
        let spaced = self.unfinished == 0 && now - self.sent_at >= pace * (1.0 / room);
        let fits = if room < 1.0 { spaced } else { f64::from(self.unfinished) < room };
        self.open && fits && (self.warmth >= 1.0 || self.credit >= 0.0)
    }

    pub fn sound(&self) -> bool {
        self.open && if self.ill { self.trial && self.unfinished == 0 } else { !self.quiet }
    }
}

impl Host {
    pub fn new(charter: &RouterSettings) -> Self {
        let limit = (FIRST_LIMIT / charter.number_or("routers", 1.0)).clamp(1.0, 16.0);
        let face = Face { limit, warmth: 1.0, size: 1.0, ..Face::default() };
        Host { face, ..Host::default() }
    }

    pub fn take(
        &mut self,
        id: HostId,
        now: Timestamp,
        note: HostNote,
        charter: &RouterSettings,
        post: &mut Post,
    ) {
        match note {
            HostNote::Listed(entry, debt) => self.listed(now, entry, debt, charter),
            HostNote::Dropped => self.face.open &= charter.flag("removal_not_binding"),
            HostNote::Took(weight) => {
                self.face.unfinished += 1;
                self.live += weight;
                self.face.sent_at = now;
                self.face.credit -= weight;
            }
            HostNote::Ended(end, weight, used) => {
                self.face.unfinished -= 1;
                self.live -= weight;
                if matches!(end.outcome, Outcome::Acked | Outcome::TimedOut) {
                    self.face.pace = Some(if end.outcome == Outcome::Acked { used } else { 1.0 });
                }
                if end.outcome.is_answer() {
                    self.kept *= 0.5;
                    self.answered(now, end, weight, used, charter);
                } else if end.outcome != Outcome::NotSent {
                    // Danger: a host that hangs looks light when its time-outs clear its entries, and draws
                    // more. They weigh on for a while; a host that only lost a few sends loses some reads.
                    self.kept += weight;
                    if end.outcome != Outcome::Cancelled {
                        self.judge(now, true, charter);
                        self.cut(now, 0.8, charter);
                        self.hush(self.face.heard_at <= now - end.elapsed);
                    }
                }
            }
            HostNote::Probe(spread) => {
                (self.face.probing, self.face.probed_at, self.face.spread) = (true, now, spread);
                post.actions.push(Action::Probe { host: id });
            }
            HostNote::Probed(word) => {
                self.face.probing = false;
                self.face.lost = if word.is_some() { 0 } else { self.face.lost + 1 };
                if let Some(word) = word {
                    self.hush(false);
                    self.learn(now, word, word.position.unwrap_or_default() - TimeDelta::from_micros(1));
                }
            }
            HostNote::Named(role) => {
                // A host that was made primary just now was heard of.
                if role == Role::Primary {
                    self.hush(false);
                }
                self.learn(now, HostStatus { role: Some(role), ..HostStatus::default() }, now);
            }
            HostNote::Told(word) => self.learn(now, word, word.position.unwrap_or_default()),
            HostNote::Pulse(passed, peers, room) => self.pulse(now, passed, peers, room, charter),
        }
        self.face.load = (self.live + self.kept).max(0.0);
        post.faces.push_back((id, self.face));
    }

    pub fn listed(&mut self, now: Timestamp, entry: HostEntry, debt: f64, charter: &RouterSettings) {
        // Danger: an id that names another host by now, with the old one's position, role and health.
        let another = self.known && self.face.tag != entry.address_hash;
        *self = if another { Host::new(charter) } else { std::mem::take(self) };
        // Danger: an entry without a start, or with an older one, would make a cold host look warm.
        let started = entry.started_at.max(self.started);
        if self.known && started != self.started {
            // It started again: its past says nothing of its health, and whatever the list still calls it, it
            // comes back as a replica.
            let Face { zone, size, tag, position, role_at, unfinished, rate, .. } = self.face;
            let fresh = Face { role: Some(Role::Replica), ..Host::new(charter).face };
            self.face = Face { zone, size, tag, position, role_at, unfinished, rate, ..fresh };
            (self.evidence, self.kept, self.mute) = (0.0, 0.0, 0);
        }
        (self.known, self.started) = (true, started);
        let face = &mut self.face;
        (face.zone, face.size, face.tag, face.listed_primary) =
            (entry.zone, entry.size.max(0.01), entry.address_hash, entry.is_primary);
        let gone = entry.availability == Availability::Gone;
        let binds = self.draining || !charter.flag("removal_not_binding");
        self.draining = entry.availability == Availability::Draining || gone && binds;
        face.open = !self.draining;
        if started.is_some_and(|at| now - at < charter.time_delta("cold")) && face.warmth >= 1.0 {
            // Till the next pulse tells how warm it is. The first send has to be earned, too: from a debt up
            // to a mean send, drawn, so that many small routers together start at their share, not at none.
            (face.warmth, face.credit) = (charter.number_or("cold_from", 1.0), -debt);
        }
    }

    pub fn pulse(
        &mut self,
        now: Timestamp,
        passed: TimeDelta,
        peers: f64,
        room: f64,
        charter: &RouterSettings,
    ) {
        let (face, fall, cold) = (&mut self.face, charter.time_delta("fall"), charter.time_delta("cold"));
        face.rate += (self.done / passed.as_secs_f64().max(1e-6) - face.rate) * (passed / fall).min(1.0);
        self.done = 0.0;
        let age = self.started.map_or(cold, |started| now - started);
        let from = charter.number_or("cold_from", 1.0);
        face.warmth = if age < cold { from + (1.0 - from) * (age / cold).max(0.0) } else { 1.0 };
        // Danger: all routers together push a cold host over. What warm hosts acked they can surely do, and a
        // cold one its share of that; each router sends it a safe part of the multiple that it bears.
        let safe = (charter.number_or("fall_multiple", 1.0) * OF_MULTIPLE).max(1.0);
        let room = if face.pace.is_none_or(|pace| pace < EASY) { room } else { 1.0 };
        let allowed = safe * room * face.warmth * peers * face.size;
        face.credit = (face.credit + allowed * passed.as_secs_f64()).min(allowed * fall.as_secs_f64() * 0.1);
        self.kept *= 1.0 - (passed / (charter.time_delta("connect_timeout") * REST)).min(1.0);
        face.trial = face.ill && now >= self.rest_until;
    }

    /// Wald's sequential test of "as bad as tolerated" against "half way from there to always bad".
    pub fn judge(&mut self, now: Timestamp, bad: bool, charter: &RouterSettings) {
        let sick = (1.0 + TOLERATED) / 2.0;
        let odds = if bad { sick / TOLERATED } else { (1.0 - sick) / (1.0 - TOLERATED) };
        let bound = ((1.0 - WRONG) / WRONG).ln();
        self.evidence = (self.evidence + odds.ln()).clamp(0.0, bound);
        if bad && self.evidence >= bound {
            (self.face.ill, self.face.trial) = (true, false);
            self.rest_until = now + charter.time_delta("connect_timeout") * REST;
        } else if self.face.ill && self.evidence <= bound * 0.5 {
            (self.face.ill, self.face.trial) = (false, false);
        }
    }

    pub fn hush(&mut self, unanswered: bool) {
        self.mute = if unanswered { self.mute + 1 } else { 0 };
        self.face.quiet = self.mute >= 2;
    }

    pub fn cut(&mut self, now: Timestamp, factor: f64, charter: &RouterSettings) {
        if now >= self.cut_at {
            // A router with less than one send out hears of few outcomes, and each counts for more.
            let factor = if self.face.limit > 1.0 { factor } else { factor * factor * factor };
            let least = (LEAST_LIMIT / charter.number_or("routers", 1.0)).min(1.0);
            self.face.limit = (self.face.limit * factor).max(least);
            self.cut_at = now + charter.time_delta("connect_timeout") * STEP;
        }
    }

    pub fn answered(
        &mut self,
        now: Timestamp,
        end: SendResult,
        weight: f64,
        used: f64,
        charter: &RouterSettings,
    ) {
        self.face.heard_at = now;
        self.hush(false);
        self.learn(now, end.status, now);
        if end.status.role == Some(Role::Primary) {
            self.face.position = self.face.position.max(now - end.elapsed);
        }
        match end.outcome {
            Outcome::Acked => {
                self.done += weight;
                self.judge(now, used > 1.0, charter);
                if used > STRAINED {
                    self.cut(now, 0.9, charter);
                } else if used < EASY && f64::from(self.face.unfinished + 1) >= self.face.limit * 0.5 {
                    self.face.limit += self.face.limit.min(1.0 / self.face.limit);
                }
            }
            Outcome::Errored => self.judge(now, true, charter),
            Outcome::Overloaded => self.cut(now, 0.7, charter),
            _ => {}
        }
    }

    /// Newer word of the role overturns older, never the other way. Danger: of two answers of one instant the
    /// later counts, else a host that just ceased to be primary gets fresh reads.
    pub fn learn(&mut self, now: Timestamp, word: HostStatus, as_of: Timestamp) {
        if let Some(position) = word.position {
            self.face.position = self.face.position.max(position);
            self.face.behind = now - self.face.position;
        }
        if word.role.is_some() && as_of >= self.face.role_at {
            (self.face.role, self.face.role_at) = (word.role, as_of);
        }
    }
}
