//! The decisions of arrowyard, all of them. A caller makes a `Router` with `Router::start`, hands it each
//! note with the time when it came (`Router::take`), and carries out the actions that come back, in order.
//! The interface is the crate `arrowyard-types`; `docs/design.md` says what of the design is kept or changed.
//! Every host is an actor with an inbox; the desk is the actor that holds the ops. Hosts show it their face,
//! it tells them what was sent to them. The one loop in `Router::take` empties all inboxes, the hosts' first.
//! What they remember is laid out in `state.rs`.

use std::cell::RefCell;

use arrowyard_types::*;
use fastrand::Rng;
use smallvec::SmallVec;

use crate::post::{HostNote, Post, news_from, news_of};
use crate::state::{Desk, Face, Group, Host, Op};

/// The window's f: a replica is in the load window when its load times this is at most the least load.
const WINDOW: f64 = 0.1;
/// An op type whose latency target is this many times the least one reads long.
const LONG: f64 = 6.0;
/// Wald's test: the chance of judging wrongly, and the share of bad outcomes that any host is allowed.
const WRONG: f64 = 0.002;
const TOLERATED: f64 = 0.1;
/// An ill host rests this many connect time-outs before a trial; entries of unanswered sends fade as long.
const REST: f64 = 8.0;
/// Sends of all routers together that may be unfinished at a host that is not known yet, and at any host.
const FIRST_LIMIT: f64 = 64.0;
const LEAST_LIMIT: f64 = 8.0;
/// An answer within the first share of its latency target lets the limit grow, one beyond the second cuts it.
const EASY: f64 = 0.4;
const STRAINED: f64 = 0.9;
/// A primary whose last answer came within this share of its latency target takes reads that no replica is known to
/// be fit for without a question: one that works at what it can do answers about half of its sends so.
const QUICK: f64 = EASY / 2.0;
/// Reads may fill the primary to this share of its limit.
const FOR_READS: f64 = 0.75;
/// How long a read waits for one replica's position, as a share of the least latency target.
const PATIENCE: f64 = 0.1;
/// How far a slow and a quick answer move the share of reads given back.
const BACK_UP: f64 = 0.2;
const BACK_DOWN: f64 = 0.05;
/// A tenant is over its share from this multiple of it on.
const OVER: f64 = 1.1;
/// A router tells news at most once in so many connect time-outs for each router.
const TELL_GAP: f64 = 0.04;
/// What a tenant asks beyond its share is given back so many times as readily.
const OVER_FIRST: f64 = 3.0;
/// What opening a connection weighs, beside a send of the least latency target.
const OPENING: f64 = 0.2;
/// A position is asked for again after this share of the least bound.
const PROBE_GAP: f64 = 0.125;
/// A cold host gets at most this part of the multiple of its capacity that would push it over.
const OF_MULTIPLE: f64 = 0.7;
/// By so much more than hosts acked they can do while three in four answer quickly.
const MOST_ROOM: f64 = 0.5;
/// A limit is cut once in this share of the connect time-out; a missing primary is looked for half as often.
const STEP: f64 = 0.4;
/// Members that will hardly be the next primary are asked once in so many of these steps.
const OTHERS_GAP: f64 = 10.0;
/// While most replicas are behind, the share of writes sent back grows by this in a connect time-out.
const CATCH_UP: f64 = 0.25;
const MOST_BACK: f64 = 0.9;
/// Sessions whose last commit is kept.
const SESSIONS: usize = 65_536;

/// What alarms are for: none names a place that could be reused.
const PULSE: Cookie = Cookie(0);
const ASK_LIST: Cookie = Cookie(1);
const TRY_HELD: Cookie = Cookie(2);

impl Face {
    /// Whether it has room for one more send. Danger: of many routers even one send each is too many; a limit
    /// under one spaces sends out, so that one is out for that share of the time.
    fn bears(&self, share: f64, now: Point, pace: Span) -> bool {
        let room = self.limit * share;
        let spaced = self.unfinished == 0 && now - self.sent_at >= pace * (1.0 / room);
        let fits = if room < 1.0 { spaced } else { f64::from(self.unfinished) < room };
        self.open && fits && (self.warmth >= 1.0 || self.credit >= 0.0)
    }

    fn sound(&self) -> bool {
        self.open && if self.ill { self.trial && self.unfinished == 0 } else { !self.quiet }
    }
}

impl Host {
    pub fn new(charter: &Manifest) -> Self {
        let limit = (FIRST_LIMIT / charter.number_or("routers", 1.0)).clamp(1.0, 16.0);
        let face = Face { limit, warmth: 1.0, size: 1.0, ..Face::default() };
        Host { face, ..Host::default() }
    }

    pub fn take(&mut self, id: HostId, now: Point, note: HostNote, charter: &Manifest, post: &mut Post) {
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
                } else if end.outcome != Outcome::Moot {
                    // Danger: a host that hangs looks light when its time-outs clear its entries, and draws
                    // more. They weigh on for a while; a host that only lost a few sends loses some reads.
                    self.kept += weight;
                    if end.outcome != Outcome::Cancelled {
                        self.judge(now, true, charter);
                        self.cut(now, 0.8, charter);
                        self.hush(self.face.heard_at <= now - end.took);
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
                    self.learn(now, word, word.position.unwrap_or_default() - Span::from_micros(1));
                }
            }
            HostNote::Told(word) => self.learn(now, word, word.position.unwrap_or_default()),
            HostNote::Pulse(passed, peers, room) => self.pulse(now, passed, peers, room, charter),
        }
        self.face.load = (self.live + self.kept).max(0.0);
        post.faces.push_back((id, self.face));
    }

    fn listed(&mut self, now: Point, entry: Entry, debt: f64, charter: &Manifest) {
        // Danger: an id that names another host by now, with the old one's position, role and health.
        let another = self.known && self.face.tag != entry.tag;
        *self = if another { Host::new(charter) } else { std::mem::take(self) };
        // Danger: an entry without a start, or with an older one, would make a cold host look warm.
        let started = entry.started.max(self.started);
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
            (entry.zone, entry.size.max(0.01), entry.tag, entry.primary);
        let gone = entry.availability == Availability::Gone;
        let binds = self.draining || !charter.flag("removal_not_binding");
        self.draining = entry.availability == Availability::Draining || gone && binds;
        face.open = !self.draining;
        if started.is_some_and(|at| now - at < charter.span("cold")) && face.warmth >= 1.0 {
            // Till the next pulse tells how warm it is. The first send has to be earned, too: from a debt up
            // to a mean send, drawn, so that many small routers together start at their share, not at none.
            (face.warmth, face.credit) = (charter.number_or("cold_from", 1.0), -debt);
        }
    }

    fn pulse(&mut self, now: Point, passed: Span, peers: f64, room: f64, charter: &Manifest) {
        let (face, fall, cold) = (&mut self.face, charter.span("fall"), charter.span("cold"));
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
        self.kept *= 1.0 - (passed / (charter.span("connect_timeout") * REST)).min(1.0);
        face.trial = face.ill && now >= self.rest_until;
    }

    /// Wald's sequential test of "as bad as tolerated" against "half way from there to always bad".
    fn judge(&mut self, now: Point, bad: bool, charter: &Manifest) {
        let sick = (1.0 + TOLERATED) / 2.0;
        let odds = if bad { sick / TOLERATED } else { (1.0 - sick) / (1.0 - TOLERATED) };
        let bound = ((1.0 - WRONG) / WRONG).ln();
        self.evidence = (self.evidence + odds.ln()).clamp(0.0, bound);
        if bad && self.evidence >= bound {
            (self.face.ill, self.face.trial) = (true, false);
            self.rest_until = now + charter.span("connect_timeout") * REST;
        } else if self.face.ill && self.evidence <= bound * 0.5 {
            (self.face.ill, self.face.trial) = (false, false);
        }
    }

    fn hush(&mut self, unanswered: bool) {
        self.mute = if unanswered { self.mute + 1 } else { 0 };
        self.face.quiet = self.mute >= 2;
    }

    fn cut(&mut self, now: Point, factor: f64, charter: &Manifest) {
        if now >= self.cut_at {
            // A router with less than one send out hears of few outcomes, and each counts for more.
            let factor = if self.face.limit > 1.0 { factor } else { factor * factor * factor };
            let least = (LEAST_LIMIT / charter.number_or("routers", 1.0)).min(1.0);
            self.face.limit = (self.face.limit * factor).max(least);
            self.cut_at = now + charter.span("connect_timeout") * STEP;
        }
    }

    fn answered(&mut self, now: Point, end: Ended, weight: f64, used: f64, charter: &Manifest) {
        self.face.heard_at = now;
        self.hush(false);
        self.learn(now, end.word, now);
        if end.word.role == Some(Role::Primary) {
            self.face.position = self.face.position.max(now - end.took);
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
            Outcome::Full => self.cut(now, 0.7, charter),
            _ => {}
        }
    }

    /// Newer word of the role overturns older, never the other way. Danger: of two answers of one instant the
    /// later counts, else a host that just ceased to be primary gets fresh reads.
    fn learn(&mut self, now: Point, word: Word, as_of: Point) {
        if let Some(position) = word.position {
            self.face.position = self.face.position.max(position);
            self.face.behind = now - self.face.position;
        }
        if word.role.is_some() && as_of >= self.face.role_at {
            (self.face.role, self.face.role_at) = (word.role, as_of);
        }
    }
}

type Hosts = SmallVec<[HostId; 16]>;

impl Desk {
    pub fn new(now: Point, seed: u64, charter: Manifest, actions: &mut Vec<Action>) -> Self {
        let op_types = OpType::rows(&charter);
        let bounds = op_types.iter().filter_map(|t| t.need.bound());
        let share = |row: usize| charter.number_or(&format!("tenant.{row}.share"), 0.0);
        let rng = RefCell::new(Rng::with_seed(seed));
        if charter.text("list") == "ask" {
            actions.push(Action::Subscribe { on: true });
        }
        let first = charter.span("connect_timeout") * (STEP * rng.borrow_mut().f64());
        actions.push(Action::Ring { after: first, cookie: PULSE });
        Desk {
            bound: bounds.min().unwrap_or(charter.span("connect_timeout")),
            least_target: op_types.iter().map(|t| t.latency_target).min().unwrap_or_default(),
            tenants: (0..).map(|row| (share(row), 0.0)).take_while(|(share, _)| *share > 0.0).collect(),
            now,
            pulsed_at: now,
            rng,
            op_types,
            charter,
            ..Desk::default()
        }
    }

    fn hosts(&self) -> impl Iterator<Item = HostId> + use<> {
        (0..self.faces.len() as u32).map(HostId)
    }

    fn face(&self, host: HostId) -> &Face {
        &self.faces[host.0 as usize]
    }

    fn bears(&self, host: HostId, share: f64) -> bool {
        self.face(host).bears(share, self.now, self.least_target)
    }

    /// Whether a connection to it stands idle, as far as one can tell.
    fn connected(&self, host: HostId) -> bool {
        let face = self.face(host);
        face.unfinished == 0 && self.now - face.heard_at < self.charter.span("idle_close")
    }

    fn op_type(&self, op: &Op) -> &OpType {
        &self.op_types[op.ask.op_type.0 as usize]
    }

    /// What one send of the op type adds to a host's load.
    fn weight(&self, kind: &OpType) -> f64 {
        kind.latency_target / self.least_target
    }

    fn mean_weight(&self) -> f64 {
        self.op_types.iter().map(|kind| self.weight(kind)).sum::<f64>() / self.op_types.len().max(1) as f64
    }

    pub fn take(&mut self, note: Note, post: &mut Post) {
        match note {
            Note::Listed { form, entries } => self.listed(form, entries, post),
            Note::Spare { cell, sends: Some(sends) } => drop(self.spares.insert(cell, sends)),
            Note::Spare { cell, sends: None } => drop(self.spares.remove(&cell)),
            Note::ListFailed => {
                let wait = self.charter.span("ask_within") * (0.1 + 0.2 * self.rng.borrow_mut().f64());
                post.actions.push(Action::Ring { after: wait, cookie: ASK_LIST });
            }
            Note::Asked(ask) => self.asked(ask, post),
            Note::SendEnded(end) => self.ended(end, post),
            Note::HungUp { op } => {
                if let Some(&place) = self.places.get(&op) {
                    self.finish(place, post);
                }
            }
            Note::Rang { cookie: ASK_LIST } => post.actions.push(Action::Subscribe { on: true }),
            Note::Rang { cookie: TRY_HELD } => {
                self.trying = false;
                self.try_held(post);
            }
            Note::Rang { .. } => self.pulse(post),
            Note::Probed { host, outcome, word } => {
                let word = (outcome == Outcome::Acked).then_some(word);
                word.into_iter().for_each(|word| self.tell(host, &word, post));
                post.hosts.put(host, HostNote::Probed(word));
                self.try_held(post);
            }
            Note::Fleet { routers } => {
                drop(self.charter.insert("routers".to_string(), Fact::Number(routers)))
            }
            Note::Told { bytes, .. } => {
                if let Some((tag, word)) = news_from(&bytes, self.now) {
                    let meant = self.hosts().filter(|&host| self.face(host).tag == tag);
                    meant.for_each(|host| post.hosts.put(host, HostNote::Told(word)));
                }
                self.try_held(post);
            }
        }
    }

    /// Danger: probes fail, or cost too much where routers are many. What a read had to ask for, the others
    /// need not ask again. A router tells so seldom that all together never flood each other.
    fn tell(&mut self, host: HostId, word: &Word, post: &mut Post) {
        let gap = self.charter.span("connect_timeout") * (TELL_GAP * self.charter.number_or("routers", 1.0));
        let face = *self.face(host);
        if face.spread && word.position > Some(face.position) && self.now - self.told_at >= gap {
            self.told_at = self.now;
            post.actions.push(Action::Tell { to: None, bytes: news_of(face.tag, word) });
        }
    }

    fn listed(&mut self, form: ListForm, entries: Vec<Entry>, post: &mut Post) {
        // One look at each entry, not one for each host: lists of thousands come while ops wait.
        let mut named = vec![form == ListForm::Changes; self.faces.len()];
        for entry in &entries {
            named.get_mut(entry.host.0 as usize).into_iter().for_each(|named| *named = true);
        }
        let missing = self.hosts().filter(|host| !named[host.0 as usize]);
        missing.for_each(|host| post.hosts.put(host, HostNote::Dropped));
        for entry in entries {
            let place = entry.host.0 as usize;
            self.parts.resize_with(self.parts.len().max(place + 1), Parts::new);
            for part in std::mem::replace(&mut self.parts[place], entry.parts.clone()) {
                let group = self.groups.entry(part.group).or_default();
                group.members.retain(|&host| host != entry.host);
                group.guests.retain(|&host| host != entry.host);
            }
            for part in &entry.parts {
                let group = self.groups.entry(part.group).or_default();
                group.members.push(entry.host);
                group.members.sort_unstable();
                group.guests.extend(part.guest.then_some(entry.host));
            }
            let debt = self.mean_weight() * self.rng.borrow_mut().f64();
            post.hosts.put(entry.host, HostNote::Listed(entry, debt));
        }
    }

    fn asked(&mut self, ask: Ask, post: &mut Post) {
        let need = self.op_types[ask.op_type.0 as usize].need;
        let floor = if need != Need::Session {
            None
        } else if self.charter.text("tokens") == "carried" {
            let age = ask.token_age.unwrap_or_default();
            (age > Span::ZERO || ask.token_age.is_none()).then(|| self.now - age)
        } else {
            self.commits.last(ask.session)
        };
        let floor = floor.max(ask.floor);
        let back = self.groups.get(&ask.group).map_or(0.0, |group| match need {
            Need::Write => group.held_back,
            _ => (group.back * if self.over_share(&ask) { OVER_FIRST } else { 1.0 }).min(MOST_BACK),
        });
        let place = self.ops.insert(Op { ask, arrived: self.now, floor, ..Op::default() });
        self.places.insert(ask.op, place);
        if self.rng.borrow_mut().f64() < back {
            return self.give_up(place, post);
        }
        post.ops.push_back(place);
    }

    /// Until when an answer is worth anything, and is sure to come before the client's time is up.
    fn pays_until(&self, op: &Op) -> Point {
        let (kind, tick) = (self.op_type(op), self.charter.span("tick"));
        let target = op.arrived + kind.latency_target - tick * 2.0;
        if kind.late_value > 0.0 { op.ask.due - tick } else { target.min(op.ask.due - tick) }
    }

    /// Rule 2: whether the op may go out again, to this host if one is named.
    fn may_send(&self, op: &Op, host: Option<HostId>) -> bool {
        let most = self.charter.number_or("max_sends", 1.0) as usize;
        // Danger: further sends of a cell in trouble, spent by all. What its budget leaves is told.
        let spent = op.sends.len() > 0 && self.spares.get(&op.ask.cell) == Some(&0);
        if op.sends.len() >= most || spent {
            return false;
        }
        match (self.op_type(op).effect, op.sends.may_have_run()) {
            (Effect::Retryable, _) | (_, None) => true,
            (Effect::Tokened { memory, scope }, Some(first)) => {
                let far = host.is_some_and(|h| self.face(h).zone != self.face(first.host).zone);
                !(far && scope == Scope::Zone) && self.now + self.charter.span("tick") < first.at + memory
            }
            (Effect::NonRetryable, Some(_)) => false,
        }
    }

    /// Sends the op on, holds it, or answers at once when waiting cannot pay. Never two sends at once.
    pub fn route(&mut self, place: usize, post: &mut Post) {
        let Some(op) = self.ops.get(place).filter(|op| !op.over && !op.sends.is_out()) else { return };
        // Danger: what is held for most of its time and then given back keeps its client from coming back in time.
        let half = op.arrived + (op.ask.due - op.arrived) * 0.5 - self.charter.span("tick") * 2.0;
        let held = op.sends.len() == 0 && self.now >= half;
        if held || self.now >= self.pays_until(op) || !self.may_send(op, None) {
            self.give_up(place, post);
        } else if self.rested(op)
            && let Some(host) = self.choose(place, post)
            && self.may_send(&self.ops[place], Some(host))
        {
            self.send(place, host, post);
        } else if !self.held.contains(&place) {
            self.held.push(place);
            self.try_soon(post);
        }
    }

    /// Danger: hosts that fail at once draw a storm of further sends. Each pause is twice the last.
    fn rested(&self, op: &Op) -> bool {
        let pause = self.least_target * PATIENCE * ((1 << op.sends.len().min(16)) as f64 * 0.5 - 1.0);
        op.sends.last().is_none_or(|last| self.now >= last.at + pause)
    }

    fn send(&mut self, place: usize, host: HostId, post: &mut Post) {
        let op = &self.ops[place];
        let (weight, until) = (self.weight(self.op_type(op)), self.pays_until(op));
        self.held.retain(|&held| held != place);
        let op = &mut self.ops[place];
        if let Some(spare) = self.spares.get_mut(&op.ask.cell).filter(|_| op.sends.len() > 0) {
            *spare = spare.saturating_sub(1);
        }
        op.sends.begin(host, self.now);
        for (row, (_, used)) in self.tenants.iter_mut().enumerate() {
            *used = *used * 0.99 + f64::from(op.ask.tenant.is_some_and(|tenant| tenant.0 as usize == row));
        }
        post.actions.push(Action::Send { op: op.ask.op, host, until });
        post.hosts.put(host, HostNote::Took(weight));
    }

    fn over_share(&self, ask: &Ask) -> bool {
        let row = ask.tenant.and_then(|tenant| self.tenants.get(tenant.0 as usize));
        let all: f64 = self.tenants.iter().map(|(_, used)| used).sum();
        row.is_some_and(|(share, used)| *used > all * share * OVER)
    }

    /// What an op is worth for the work it asks. A tenant that had more than its share of sends waits.
    fn rank(&self, op: &Op) -> f64 {
        let kind = self.op_type(op);
        let over = self.over_share(&op.ask);
        let late = if self.now > op.arrived + kind.latency_target { kind.late_value } else { 1.0 };
        let part = if over { self.charter.number_or("over_share_value", 1.0) } else { 1.0 };
        kind.value / self.weight(kind) * late * part
    }

    fn give_up(&mut self, place: usize, post: &mut Post) {
        let op = &self.ops[place];
        let harmless = match self.op_type(op).effect {
            Effect::Retryable | Effect::Tokened { scope: Scope::All, .. } => true,
            _ => op.sends.may_have_run().is_none(),
        };
        let op = op.ask.op;
        let retry_after = self.charter.flag("retry_after").then(|| self.charter.span("max_retry_after"));
        post.actions.push(match harmless {
            true => Action::BusyReply { op, retry_after },
            false => Action::ErrorReply { op },
        });
        self.finish(place, post);
    }

    /// The op has its final answer; its place is free once all its sends have ended.
    fn finish(&mut self, place: usize, post: &mut Post) {
        self.held.retain(|&held| held != place);
        let op = &mut self.ops[place];
        let first = !std::mem::replace(&mut op.over, true);
        if !op.sends.is_out() {
            let op = self.ops.remove(place);
            self.places.remove(&op.ask.op);
        } else if first && self.charter.flag("cancel") {
            post.actions.extend(op.sends.out().map(|(send, _)| Action::Cancel { op: op.ask.op, send }));
        }
    }

    fn ended(&mut self, end: Ended, post: &mut Post) {
        let Some(&place) = self.places.get(&end.op) else { return };
        let kind = self.op_type(&self.ops[place]);
        let (used, weight, writes) =
            (end.took / kind.latency_target, self.weight(kind), kind.need == Need::Write);
        let op = &mut self.ops[place];
        let Some(one) = op.sends.end(end.send, end.outcome) else { return };
        if let Some(session) = op.ask.session.filter(|_| writes && end.outcome == Outcome::Acked) {
            self.commits.keep(session, end.word.position.unwrap_or(self.now), SESSIONS);
        }
        let group = op.ask.group;
        if op.over || end.finished {
            self.finish(place, post);
        } else if !op.sends.is_out() {
            post.ops.push_back(place);
        }
        if !writes {
            self.throttle(group, end.outcome, used);
        }
        post.hosts.put(one.host, HostNote::Ended(end, weight, used));
    }

    /// Danger: a jam that feeds itself, as hosts work on sends that nobody waits for any more. The share of
    /// reads given back moves till few are slow, however much that takes; slowness of a few hosts is left to
    /// their limits. Harms where most hosts are slow for other reasons.
    fn throttle(&mut self, group: GroupId, outcome: Outcome, used: f64) {
        let acked = outcome == Outcome::Acked;
        let tells = acked || matches!(outcome, Outcome::TimedOut | Outcome::Full);
        let Some(group) = self.groups.get_mut(&group).filter(|_| tells) else { return };
        let slow = (EASY + 1.0) * 0.5;
        let own = group.members.iter().filter(|host| !group.guests.contains(host));
        let faces = own.map(|host| &self.faces[host.0 as usize]);
        let paces = faces.filter(|face| face.open).filter_map(|face| face.pace);
        let (all, far) = (paces.clone().count(), paces.filter(|&pace| pace > slow).count());
        if (used > slow || !acked) && far * 2 > all {
            group.back += (1.0 - group.back) * BACK_UP;
        } else if acked && used < EASY {
            group.back = (group.back - BACK_DOWN).max(0.0);
        }
    }

    /// The member that is known first-hand to be primary, by the newest word; else the one the list names.
    fn primary(&self, group: &Group) -> Option<HostId> {
        let standing = |host: &HostId| self.face(*host).open && !self.face(*host).quiet;
        let members = || group.members.iter().copied().filter(standing);
        let told = members().filter(|&host| self.face(host).role == Some(Role::Primary));
        let named = |host: &HostId| self.face(*host).role.is_none() && self.face(*host).listed_primary;
        told.max_by_key(|&host| self.face(host).role_at).or_else(|| members().find(named))
    }

    /// Whether any of them was asked.
    fn probe(&self, hosts: &[HostId], spread: bool, post: &mut Post) -> bool {
        let allowed = self.charter.flag("probes") && self.charter.text("reports") != "none";
        let able = |host: &HostId| allowed && self.face(*host).open && !self.face(*host).probing;
        let asked: Hosts = hosts.iter().copied().filter(able).collect();
        asked.iter().for_each(|&host| post.hosts.put(host, HostNote::Probe(spread)));
        !asked.is_empty()
    }

    /// The host for the next send of this op; none while it should wait.
    fn choose(&mut self, place: usize, post: &mut Post) -> Option<HostId> {
        let id = self.ops[place].ask.group;
        let group = self.groups.get_mut(&id)?;
        if group.asked_at.is_none() {
            group.asked_at = Some(self.now);
            // Danger: routers that start at once ask each host who it is. A primary that the list names tells with
            // its first send: a write that misses leads on, and a read asks a replica of its own.
            let group = &self.groups[&id];
            if self.primary(group).is_none() && self.probe(&group.members, false, post) {
                return None;
            }
        }
        let among = self.candidates(place, post);
        (!among.is_empty()).then(|| self.lightest(&among, place))
    }

    /// Where an op may go now; nowhere: it waits.
    fn candidates(&self, place: usize, post: &mut Post) -> Hosts {
        let op = &self.ops[place];
        let (kind, group) = (self.op_type(op), &self.groups[&op.ask.group]);
        let primary = self.primary(group);
        let checks = self.charter.text("host_checks") != "none";
        let half = self.charter.number_or("max_sends", 1.0) * 0.5;
        let mut among = Hosts::new();
        let writes = matches!(kind.need, Need::Write | Need::Fresh);
        match primary {
            Some(_) => group.led_at.set(self.now),
            None => group.wanted.set(group.wanted.get() || writes),
        }
        let named = primary.is_some_and(|host| self.face(host).role.is_some());
        let fresh = group.asked_at.is_some_and(|at| self.now - at < self.charter.span("connect_timeout"));
        if !named && fresh && group.members.iter().any(|&host| self.face(host).probing) {
            return among;
        }
        if writes {
            if primary.is_some() {
                among.extend(primary.filter(|&host| self.bears(host, 1.0)));
            } else if (kind.need == Need::Write || checks) && (op.sends.len() as f64) < half {
                // None known: members in turn, the most advanced first; of known replicas that one alone,
                // which takes over if any does. Danger: a fresh read answered by one that checks no reads.
                let blank = |f: &Face| (f.role.is_none() || op.sends.len() == 0) && !f.probing && f.sound();
                let next = |h: &HostId| blank(self.face(*h)) && self.bears(*h, 1.0) && !op.sends.tried(*h);
                let turn = group.members.iter().copied().filter(next);
                among.extend(turn.max_by_key(|&host| self.face(host).position));
            }
            return among;
        }
        // A guest is there for its writes alone: reads of the group are not its to take.
        let own = |host: &HostId| Some(*host) != primary && !group.guests.contains(host);
        let open = |host: &HostId| own(host) && self.face(*host).open;
        let replicas: Hosts = group.members.iter().copied().filter(open).collect();
        // Danger: trouble that all share has every host judged ill. Harms when most replicas really are lost.
        let most = replicas.iter().filter(|&&host| self.face(host).sound()).count() * 2 < replicas.len();
        let sound = |host: &HostId| self.face(*host).sound() || most && !self.face(*host).quiet;
        let fit: Hosts = replicas.iter().copied().filter(|h| self.qualifies(op, *h) && sound(h)).collect();
        among = fit.iter().copied().filter(|&host| self.bears(host, 1.0)).collect();
        if among.iter().any(|&host| !op.sends.tried(host)) {
            among.retain(|&mut host| !op.sends.tried(host));
        }
        if among.is_empty() {
            // Danger: a group whose hosts all fell silent is asked by nobody again, where only reads come.
            group.wanted.set(group.wanted.get() || primary.is_none() && !replicas.iter().any(sound));
            // Replicas are at their limit while the primary idles, or none qualifies: then, where hosts check
            // reads, the most advanced one has the first word.
            let able = replicas.iter().copied().filter(|h| sound(h) && self.bears(*h, 1.0));
            let ahead = able.max_by_key(|&host| self.face(host).position);
            let ahead = ahead.filter(|_| checks && fit.is_empty() && op.sends.len() == 0);
            among.extend(ahead.or(primary.filter(|&host| self.bears(host, FOR_READS))));
            // Danger: a router with few ops knows no position that is still within the bound, and sends all
            // to the primary. So the replicas are asked in turn, and the read waits a moment for their word.
            // With a primary that answers quickly they are asked at most once, or not at all: the question costs as
            // much as the read spares it, and 300 routers' questions more. Its pace tells each router of all others.
            let pace = |most| primary.is_some_and(|host| self.takes_reads(host, most));
            let asked = |&host: &HostId| self.face(host).probed_at >= op.arrived && !self.face(host).probing;
            let spared = pace(QUICK) || pace(EASY) && replicas.iter().any(asked);
            if fit.is_empty() && !spared && self.ask(op, &replicas, post) {
                return Hosts::new();
            }
        } else if self.weight(kind) >= LONG {
            // Danger: long reads hold up the log where they run; spread out, they leave no replica fresh. So
            // they go where the copy is furthest behind. Harms when they alone need most of the replicas.
            let furthest = among.iter().map(|&host| self.face(host).behind).max().unwrap_or_default();
            among.retain(|&mut host| self.face(host).behind >= furthest);
        } else if fit.len() < replicas.len() && among.iter().all(|&host| self.face(host).unfinished > 0) {
            self.ask(op, &replicas, post);
        }
        among
    }

    /// Whether the primary's last answer took less than this share of its latency target, and it has room for reads.
    fn takes_reads(&self, primary: HostId, share: f64) -> bool {
        self.bears(primary, FOR_READS) && self.face(primary).pace.is_some_and(|pace| pace < share)
    }

    /// Rule 5: a position is a lower bound learnt some time ago; it need not have moved since.
    fn qualifies(&self, op: &Op, host: HostId) -> bool {
        let position = self.face(host).position;
        if op.floor.is_some_and(|floor| position < floor) {
            return false;
        }
        match self.op_type(op).need {
            Need::Any => true,
            Need::Bounded(bound) => position >= self.now - bound,
            Need::Session => true,
            Need::Fresh | Need::Write => false,
        }
    }

    /// Asks one more replica for its position; whether the read should wait for what comes back.
    fn ask(&self, op: &Op, replicas: &[HostId], post: &mut Post) -> bool {
        if !matches!(self.op_type(op).need, Need::Bounded(_) | Need::Session) {
            return false;
        }
        let patience = self.least_target * PATIENCE;
        let awaited =
            |host: &HostId| self.face(*host).probing && self.now - self.face(*host).probed_at < patience;
        if replicas.iter().any(awaited) {
            return true;
        }
        let due = |host: &HostId| {
            let face = self.face(*host);
            // A copy far behind cannot be back within the bound before it has applied what it lacks.
            let gap = ((face.behind - self.bound) * 0.5).min(self.charter.span("connect_timeout") * REST);
            let rested = self.now - face.probed_at >= gap.max(self.bound * PROBE_GAP);
            face.sound() && self.bears(*host, 1.0) && !face.probing && face.probed_at < op.arrived && rested
        };
        // Danger: routers that all ask the same one first send it all their reads. So ties fall at random.
        let due: Hosts = replicas.iter().copied().filter(due).collect();
        let key = |host: HostId| (self.face(host).lost, !self.connected(host), self.face(host).unfinished);
        let least = due.iter().map(|&host| key(host)).min();
        let ties: Hosts = due.into_iter().filter(|&host| Some(key(host)) == least).collect();
        let next = (!ties.is_empty()).then(|| self.draw(&ties));
        self.probe(next.as_slice(), self.charter.flag("peers"), post)
    }

    /// Dynamic MPF: the load window, then the session's host, then the lightest, ties at random.
    fn lightest(&mut self, hosts: &[HostId], place: usize) -> HostId {
        let load = |host: HostId| {
            let face = self.face(host);
            let opening = if self.connected(host) { 0.0 } else { OPENING };
            face.load / (face.size * face.warmth) + opening
        };
        let least = hosts.iter().map(|&host| load(host)).fold(f64::INFINITY, f64::min);
        let window: Hosts = hosts.iter().copied().filter(|&host| load(host) * WINDOW <= least).collect();
        let op = &self.ops[place];
        if window.len() > 1 && op.ask.session.is_some() {
            let others = || self.ops.iter().filter(|(_, o)| o.ask.session == op.ask.session && !o.over);
            let holds = |host: &HostId| {
                others().any(|(_, other)| other.sends.out().any(|(_, one)| one.host == *host))
            };
            let holders = window.iter().copied().filter(holds);
            if let Some(host) = holders.max_by(|&a, &b| load(a).total_cmp(&load(b))) {
                return host;
            }
        }
        let ties: Hosts = window.iter().copied().filter(|&host| load(host) <= least).collect();
        self.draw(&ties)
    }

    /// One at random. Danger: routers with few ops see all hosts idle; equal odds overload the small ones.
    fn draw(&self, hosts: &[HostId]) -> HostId {
        let share = |host: HostId| self.face(host).size * self.face(host).warmth;
        let mut left = self.rng.borrow_mut().f64() * hosts.iter().map(|&host| share(host)).sum::<f64>();
        let hit = hosts.iter().copied().find(|&host| {
            left -= share(host);
            left < 0.0
        });
        hit.unwrap_or(hosts[0])
    }

    fn pulse(&mut self, post: &mut Post) {
        let (now, passed, pace) = (self.now, self.now - self.pulsed_at, self.least_target);
        self.pulsed_at = now;
        let poll = self.charter.span("connect_timeout") * STEP;
        post.actions.push(Action::Ring { after: poll, cookie: PULSE });
        let warm = self.faces.iter().filter(|face| face.warmth >= 1.0 && face.sound());
        let acks: SmallVec<[f64; 16]> = warm.map(|face| face.rate / face.size).collect();
        self.peers = if acks.is_empty() { self.peers } else { acks.iter().sum::<f64>() / acks.len() as f64 };
        // Danger: a router that has less than a send for a host in the rule's window loses most of its budgets between
        // its ops. It takes more, while most hosts answer quickly, so that what they acked is less than they can do.
        let few = 1.0 - self.peers * self.charter.span("fall").as_secs_f64() / self.mean_weight();
        let paces = self.faces.iter().filter(|face| face.open).filter_map(|face| face.pace);
        let (all, easy) = (paces.clone().count(), paces.filter(|&pace| pace < EASY).count());
        let spare = (2.0 * easy as f64 / all.max(1) as f64 - 1.0).clamp(0.0, MOST_ROOM);
        let room = 1.0 + spare * few.clamp(0.0, 1.0);
        self.hosts().for_each(|host| post.hosts.put(host, HostNote::Pulse(passed, self.peers, room)));
        // Danger: writes come faster than replicas apply them; bounded reads lose all. Some go back while
        // the primary has no room for reads, but where long reads hold up the log. Harms if reports lag.
        let long = self.op_types.iter().any(|kind| self.weight(kind) >= LONG);
        let step = if long { 0.0 } else { passed / self.charter.span("connect_timeout") * CATCH_UP };
        for group in self.groups.values_mut() {
            let faces = group.members.iter().map(|host| &self.faces[host.0 as usize]);
            let mut standing = faces.clone().filter(|f| f.role == Some(Role::Primary) && f.open && !f.quiet);
            let full = standing.any(|primary| !primary.bears(FOR_READS, now, pace));
            let replicas = faces.filter(|f| f.open && f.role == Some(Role::Replica)).map(|f| f.behind);
            let (all, far) = (replicas.clone().count(), replicas.filter(|&b| b > self.bound).count());
            group.held_back += if far * 2 > all && full { step } else { -step };
            group.held_back = group.held_back.clamp(0.0, MOST_BACK);
            // Danger: the share given back falls by quick answers alone; a router that gives nine in ten back, and has
            // an op in two seconds, hears of none, and goes on long after the jam.
            group.back *= 1.0 - (passed / (self.charter.span("connect_timeout") * REST)).min(1.0);
        }
        for group in self.groups.values().filter(|group| group.wanted.replace(false)) {
            // Danger: all routers ask all members for as long as a switch takes. After a first round the most
            // advanced one is asked, which takes over if any does, and the others seldom, in case that it does not.
            let heirs = group.members.iter().copied().filter(|&host| self.face(host).sound());
            let heir = heirs.max_by_key(|&host| self.face(host).position);
            let gap = |host: HostId| if Some(host) == heir { 2.0 } else { OTHERS_GAP };
            let due = |host: &HostId| {
                let (at, rested) = (self.face(*host).probed_at, now - self.face(*host).probed_at);
                rested >= poll * gap(*host) || rested >= poll * 2.0 && at <= group.led_at.get()
            };
            self.probe(&group.members.iter().copied().filter(due).collect::<Hosts>(), false, post);
        }
    }

    fn try_held(&mut self, post: &mut Post) {
        // Overload: within a rank the newest go first, since the oldest have the least time left.
        let mut held = std::mem::take(&mut self.held);
        let key = |place: &usize| (self.rank(&self.ops[*place]), self.ops[*place].arrived);
        held.sort_by(|a, b| key(b).partial_cmp(&key(a)).expect("ranks are numbers"));
        post.ops.extend(&held);
        self.held = held;
        self.try_soon(post);
    }

    fn try_soon(&mut self, post: &mut Post) {
        if !self.held.is_empty() && !std::mem::replace(&mut self.trying, true) {
            post.actions.push(Action::Ring { after: self.charter.span("tick"), cookie: TRY_HELD });
        }
    }
}
