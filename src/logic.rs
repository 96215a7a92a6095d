//! The decisions of arrowyard, all of them.
//!
//! A caller makes one [`Router`] with [`Router::start`], hands it each note with the time at which it came
//! ([`Router::take`]), and carries out the actions that come back, in order. The interface (notes in, actions
//! out, ids, points and spans) is the crate `arrowyard-types`; `docs/design.md` says which rules of the design
//! page are kept, changed, and when each departure acts.
//!
//! Inside, every host is an actor with an inbox, and the desk is the one actor that holds the ops. Hosts show
//! their face to the desk, the desk tells hosts what was sent to them; `Post` carries all of it, and the one
//! loop in `Router::take` empties it. The desk works on only when every host has dealt with its inbox, so each
//! choice sees the choice before it.

use std::collections::VecDeque;

use arrowyard_types::*;
use fastrand::Rng;
use rustc_hash::FxHashMap;
use slab::Slab;
use smallvec::SmallVec;

/// The load window's f: a replica is in the window when its load times this is at most the least load.
const WINDOW: f64 = 0.1;
/// Hosts whose load comes within this share of the lightest one's tie with it.
const TIE: f64 = 0.05;
/// A send that crosses sites weighs this much more.
const CROSSING: f64 = 1.2;
/// Wald's bounds: the chance of judging a host wrongly, either way.
const WRONG: f64 = 0.002;
/// The share of bad outcomes that every host is allowed, whatever the fleet shows.
const TOLERATED: f64 = 0.02;
/// An ill host rests this many connect time-outs before its first trial, and at most 16 times that.
const REST: f64 = 2.0;
/// Sends that a router lets be unfinished at a host it knows nothing of, and at any host.
const FIRST_LIMIT: f64 = 16.0;
const LEAST_LIMIT: f64 = 2.0;
/// An answer within the first share of its latency target lets the limit grow, one beyond the second cuts it.
const EASY: f64 = 0.5;
const STRAINED: f64 = 0.9;
/// Reads may fill the primary up to the first share of its limit, and spill over to it up to the second.
const READS_AT_PRIMARY: f64 = 0.75;
const SPILL: f64 = 0.5;
/// Further sends that ops may draw on, per op that comes in, and the most that is saved up.
const FURTHER: f64 = 0.1;
const FURTHER_SAVED: f64 = 10.0;
/// Probes that are not needed at once may cost this much, in points of the price list.
const PROBE_SPEND: f64 = 0.005;
/// A read whose latency target is this many times the least one is long.
const LONG: f64 = 6.0;
/// A read waits this share of its latency target for a probe that may open a replica to it.
const PROBE_WAIT: f64 = 0.1;
/// A send is looked at again at this share of its latency target, and an op held this long tells overload.
const LOOK_AGAIN: f64 = 0.5;

fn flag(from: &Manifest, name: &str) -> bool {
    matches!(from.get(name), Some(Fact::Flag(true)))
}

fn number(from: &Manifest, name: &str, otherwise: f64) -> f64 {
    if let Some(Fact::Number(number)) = from.get(name) { *number } else { otherwise }
}

fn span(from: &Manifest, name: &str) -> Span {
    if let Some(Fact::Span(span)) = from.get(name) { *span } else { Span::ZERO }
}

fn text<'a>(from: &'a Manifest, name: &str) -> &'a str {
    if let Some(Fact::Text(text)) = from.get(name) { text } else { "" }
}

#[derive(Clone, Copy, PartialEq)]
enum Effect {
    Retryable,
    /// Repeats are dropped by hosts of the scope for as long as they remember.
    Tokened {
        memory: Span,
    },
    NonRetryable,
}

/// How fresh the data must be that an op sees.
#[derive(Clone, Copy, PartialEq)]
enum Need {
    Any,
    Bounded(Span),
    Session,
    Fresh,
    Write,
}

struct OpType {
    target: Span,
    value: f64,
    late_value: f64,
    effect: Effect,
    /// Whether a tokened op that may have run may go to any host (all), to its zone, or to its group.
    scope: Scope,
    need: Need,
    weight: f64,
}

#[derive(Clone, Copy, PartialEq)]
enum Scope {
    All,
    Zone,
    Group,
}

/// What an actor of a host needs to know of the rules and the clock.
#[derive(Clone, Copy)]
struct Berth {
    cold: Span,
    cold_from: f64,
    fall: Span,
    connect_timeout: Span,
    /// The least bound of any op type; positions are asked for in step with it.
    bound: Span,
    longest_target: Span,
    removal_binds: bool,
}

/// What the desk sees of a host.
#[derive(Clone, Copy)]
struct Face {
    group: GroupId,
    zone: ZoneId,
    size: f64,
    open: bool,
    listed_primary: bool,
    role: Option<Role>,
    role_at: Point,
    position: Point,
    /// How far its position was back when it was last told.
    behind: Span,
    /// Weight of this router's unfinished sends, and of those that ended unanswered a while ago.
    load: f64,
    unfinished: u32,
    limit: f64,
    /// Smoothed share of the latency target that answers take.
    pace: f64,
    /// Weight sent a second, smoothed over the span of the cold rule.
    rate: f64,
    /// The share of its capacity that it surely has; 1 when warm.
    warmth: f64,
    credit: f64,
    ill: bool,
    /// Ill, but rested: it may have one send to show itself.
    trial: bool,
    /// Sends to it end without any answer.
    quiet: bool,
    probing: bool,
    probed_at: Point,
    probe_after: Point,
}

impl Face {
    /// Whether one more send fits in, whatever its health.
    fn bears(&self, share: f64) -> bool {
        let fits = f64::from(self.unfinished) < self.limit * share;
        self.open && fits && (self.warmth >= 1.0 || self.credit >= 0.0)
    }

    fn sound(&self) -> bool {
        self.open && if self.ill { self.trial && self.unfinished == 0 } else { !self.quiet }
    }
}

/// What reaches a host's inbox.
enum HostNote {
    Listed(Entry),
    Dropped,
    Took { weight: f64 },
    Overdue { sent: Point, base: f64 },
    Ended { outcome: Outcome, weight: f64, sent: Point, used: f64, judged: bool, base: f64, word: Word },
    Probe,
    Probed { outcome: Outcome, word: Word },
    Pulse { passed: Span, peer_rate: f64, pace: f64 },
}

/// What reaches the desk.
enum DeskNote {
    Outside(Note),
    Route(usize),
    /// A send of the op takes long: see whether another one helps.
    Again(usize),
}

#[derive(Default)]
struct Post {
    inboxes: Vec<VecDeque<HostNote>>,
    ready: VecDeque<HostId>,
    faces: VecDeque<(HostId, Face)>,
    desk: VecDeque<DeskNote>,
    actions: Vec<Action>,
}

impl Post {
    fn tell(&mut self, host: HostId, note: HostNote) {
        let place = host.0 as usize;
        if self.inboxes.len() <= place {
            self.inboxes.resize_with(place + 1, VecDeque::new);
        }
        self.inboxes[place].push_back(note);
        self.ready.push_back(host);
    }
}

struct Host {
    id: HostId,
    berth: Berth,
    face: Face,
    started: Option<Point>,
    draining: bool,
    known: bool,
    live: f64,
    kept: f64,
    sent: f64,
    evidence: f64,
    rest: f64,
    rest_until: Point,
    mute: u32,
    heard_at: Point,
    cut_at: Point,
}

impl Host {
    fn new(id: HostId, berth: Berth) -> Self {
        let face = Face {
            group: GroupId(0),
            zone: ZoneId(0),
            size: 1.0,
            open: false,
            listed_primary: false,
            role: None,
            role_at: Point::DAWN,
            position: Point::DAWN,
            behind: Span::ZERO,
            load: 0.0,
            unfinished: 0,
            limit: FIRST_LIMIT,
            pace: 0.2,
            rate: 0.0,
            warmth: 1.0,
            credit: 0.0,
            ill: false,
            trial: false,
            quiet: false,
            probing: false,
            probed_at: Point::DAWN,
            probe_after: Point::DAWN,
        };
        Host {
            id,
            berth,
            face,
            started: None,
            draining: false,
            known: false,
            live: 0.0,
            kept: 0.0,
            sent: 0.0,
            evidence: 0.0,
            rest: REST,
            rest_until: Point::DAWN,
            mute: 0,
            heard_at: Point::DAWN,
            cut_at: Point::DAWN,
        }
    }

    fn take(&mut self, now: Point, note: HostNote, post: &mut Post) {
        match note {
            HostNote::Listed(entry) => self.listed(now, entry),
            HostNote::Dropped => self.face.open = !self.berth.removal_binds && !self.draining,
            HostNote::Took { weight } => {
                self.face.unfinished += 1;
                self.live += weight;
                self.sent += weight;
                self.face.credit -= weight;
            }
            HostNote::Overdue { sent, base } => self.unanswered(now, sent, base),
            HostNote::Ended { outcome, weight, sent, used, judged, base, word } => {
                self.face.unfinished -= 1;
                self.live -= weight;
                if outcome.is_answer() {
                    self.kept *= 0.5;
                    self.answered(now, sent, outcome, used, base, judged, word);
                } else if outcome != Outcome::Moot {
                    // Danger: a host that hangs or fails looks light when its time-outs clear its entries. They
                    // go on weighing for a while. It may cost a host that only lost a few sends some reads.
                    self.kept += weight;
                    if outcome != Outcome::Cancelled && !judged {
                        self.unanswered(now, sent, base);
                    }
                }
            }
            HostNote::Probe => {
                self.face.probing = true;
                self.face.probed_at = now;
                self.face.credit -= f64::EPSILON;
                post.actions.push(Action::Probe { host: self.id });
            }
            HostNote::Probed { outcome, word } => {
                self.face.probing = false;
                self.face.probe_after = now + self.berth.connect_timeout;
                if outcome == Outcome::Acked {
                    self.hush(false);
                    self.learn(now, word, word.position.unwrap_or(self.face.role_at));
                    // A copy far behind cannot be back within the bound before it has applied what it lacks.
                    let behind = now - self.face.position - self.berth.bound;
                    let gap =
                        (behind * 0.5).clamp(self.berth.bound * 0.125, self.berth.connect_timeout * 4.0);
                    self.face.probe_after = now + gap;
                }
            }
            HostNote::Pulse { passed, peer_rate, pace } => self.pulse(now, passed, peer_rate, pace),
        }
        self.face.load = (self.live + self.kept).max(0.0);
        post.faces.push_back((self.id, self.face));
    }

    fn listed(&mut self, now: Point, entry: Entry) {
        let face = &mut self.face;
        (face.group, face.zone, face.size) = (entry.group, entry.zone, entry.size.max(0.01));
        face.listed_primary = entry.primary;
        face.open = entry.availability == Availability::Ready;
        match entry.availability {
            Availability::Draining => self.draining = true,
            Availability::Gone => face.open = !self.berth.removal_binds && !self.draining,
            Availability::Ready => self.draining = false,
        }
        if self.known && entry.started != self.started {
            // It started again: its past says nothing of its health or of what it bears, and whatever the list
            // still calls it, it comes back as a replica.
            face.role = Some(Role::Replica);
            (face.ill, face.trial, face.limit, face.credit) = (false, false, FIRST_LIMIT, 0.0);
            (self.evidence, self.rest, self.kept) = (0.0, REST, 0.0);
            self.hush(false);
        }
        self.known = true;
        self.started = entry.started;
        self.warm(now);
    }

    fn warm(&mut self, now: Point) {
        let age = self.started.map_or(self.berth.cold, |started| now - started);
        let part = (age / self.berth.cold).clamp(0.0, 1.0);
        let from = self.berth.cold_from;
        self.face.warmth = if age >= self.berth.cold { 1.0 } else { from + (1.0 - from) * part };
    }

    fn pulse(&mut self, now: Point, passed: Span, peer_rate: f64, pace: f64) {
        let face = &mut self.face;
        let part = (passed / self.berth.fall).min(1.0);
        face.rate += (self.sent / passed.as_secs_f64().max(1e-6) - face.rate) * part;
        self.sent = 0.0;
        // Danger: all routers together push a cold host over. Each sends it at most the present share of what
        // it sends to a warm host of that size, which together is at most what the cold host can do.
        let allowed = face.warmth * peer_rate * face.size;
        let saved = allowed * self.berth.fall.as_secs_f64() * 0.1;
        face.credit = (face.credit + allowed * passed.as_secs_f64()).min(saved);
        self.kept *= 1.0 - (passed / self.berth.longest_target).min(1.0);
        // Without answers of its own a host drifts back to what the others show.
        face.pace += (pace - face.pace) * (passed / (self.berth.longest_target * 4.0)).min(1.0);
        face.trial = face.ill && now >= self.rest_until;
        self.warm(now);
    }

    /// Wald's test of "as bad as the fleet" against "half way to always bad".
    fn judge(&mut self, now: Point, bad: bool, base: f64) {
        let usual = base.clamp(TOLERATED, 0.8);
        let sick = (1.0 + usual) / 2.0;
        let odds = if bad { sick / usual } else { (1.0 - sick) / (1.0 - usual) };
        let bound = ((1.0 - WRONG) / WRONG).ln();
        self.evidence = (self.evidence + odds.ln()).clamp(0.0, bound);
        if bad && self.evidence >= bound {
            self.face.ill = true;
            self.rest_until = now + self.berth.connect_timeout * self.rest;
            self.rest = (self.rest * 2.0).min(REST * 16.0);
            self.face.trial = false;
        } else if self.face.ill && self.evidence <= bound * 0.5 {
            (self.face.ill, self.face.trial, self.rest) = (false, false, REST);
        }
    }

    fn hush(&mut self, unanswered: bool) {
        self.mute = if unanswered { self.mute + 1 } else { 0 };
        self.face.quiet = self.mute >= 2;
    }

    fn cut(&mut self, now: Point, factor: f64) {
        if now >= self.cut_at {
            self.face.limit = (self.face.limit * factor).max(LEAST_LIMIT);
            self.cut_at = now + self.berth.bound * 0.25;
        }
    }

    fn unanswered(&mut self, now: Point, sent: Point, base: f64) {
        self.judge(now, true, base);
        self.cut(now, 0.8);
        if self.heard_at <= sent {
            self.hush(true);
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn answered(
        &mut self,
        now: Point,
        sent: Point,
        outcome: Outcome,
        used: f64,
        base: f64,
        judged: bool,
        word: Word,
    ) {
        self.heard_at = now;
        self.hush(false);
        self.learn(now, word, now);
        if word.role == Some(Role::Primary) {
            self.face.position = self.face.position.max(sent);
        }
        match outcome {
            Outcome::Acked => {
                self.face.pace += (used - self.face.pace) * 0.1;
                if !judged {
                    self.judge(now, used > 1.0, base);
                }
                if used > STRAINED {
                    self.cut(now, 0.9);
                } else if used < EASY && f64::from(self.face.unfinished) >= self.face.limit * 0.5 {
                    self.face.limit += 1.0 / self.face.limit.max(1.0);
                }
            }
            Outcome::Errored => self.judge(now, true, base),
            Outcome::Full => self.cut(now, 0.7),
            _ => {}
        }
    }

    /// Newer word of the role overturns older, never the other way; a position never goes back.
    fn learn(&mut self, now: Point, word: Word, as_of: Point) {
        if let Some(position) = word.position {
            self.face.position = self.face.position.max(position);
            self.face.behind = now - self.face.position;
        }
        if word.role.is_some() && as_of > self.face.role_at {
            (self.face.role, self.face.role_at) = (word.role, as_of);
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Fate {
    Out,
    Never,
    Maybe,
}

#[derive(Clone, Copy)]
struct Try {
    host: HostId,
    sent: Point,
    fate: Fate,
    overdue: bool,
}

struct Op {
    ask: Ask,
    arrived: Point,
    /// What a session read must see.
    floor: Option<Point>,
    tries: SmallVec<[Try; 4]>,
    held: bool,
    looked: bool,
    missed: bool,
    over: bool,
}

impl Op {
    fn is_out(&self) -> bool {
        self.tries.iter().any(|t| t.fate == Fate::Out)
    }

    /// The first send that may have run.
    fn may_have_run(&self) -> Option<&Try> {
        self.tries.iter().find(|t| t.fate != Fate::Never)
    }
}

#[derive(Default)]
struct Group {
    members: Vec<HostId>,
    /// When the first op came and all members were asked who they are.
    asked_at: Option<Point>,
    /// Some op waits for a primary.
    wanted: bool,
}

type Hosts = SmallVec<[HostId; 16]>;

/// Where an op may go now (nowhere: it waits), and what finding out has cost.
#[derive(Default)]
struct Choice {
    among: Hosts,
    probes: f64,
    wants_primary: bool,
}

struct Desk {
    now: Point,
    rng: Rng,
    op_types: Vec<OpType>,
    tenants: Vec<(f64, f64)>,
    over_share_value: f64,
    tick: Span,
    zone: ZoneId,
    max_sends: usize,
    parallel: bool,
    cancel: bool,
    probes: bool,
    host_checks: bool,
    carried: bool,
    retry_after: Option<Span>,
    asks_list: bool,
    ask_within: Span,
    connect_timeout: Span,
    bound: Span,
    probe_share: f64,
    faces: Vec<Face>,
    groups: FxHashMap<GroupId, Group>,
    ops: Slab<Op>,
    places: FxHashMap<OpId, usize>,
    held: Vec<usize>,
    /// Commits of sessions' writes: of late, and before; older ones are below the floor.
    commits: [FxHashMap<SessionId, Point>; 2],
    commits_floor: Option<Point>,
    commits_turn: Point,
    ask_list_at: Option<Point>,
    pulsed_at: Point,
    further: f64,
    probe_credit: f64,
    fleet_pace: f64,
    fleet_bad: f64,
    peer_rate: f64,
    report_age: Span,
}

impl Desk {
    fn new(now: Point, seed: u64, from: &Manifest) -> Self {
        let mut op_types = Vec::new();
        while from.contains_key(&format!("op_type.{}.latency_target", op_types.len())) {
            let key = |field: &str| format!("op_type.{}.{field}", op_types.len());
            let word = |field: &str| text(from, &key(field));
            op_types.push(OpType {
                target: span(from, &key("latency_target")).max(Span::from_millis(1)),
                value: number(from, &key("value"), 1.0),
                late_value: number(from, &key("late_value"), 0.0),
                effect: match word("effect") {
                    "retryable" => Effect::Retryable,
                    "tokened" => Effect::Tokened { memory: span(from, &key("memory")) },
                    _ => Effect::NonRetryable,
                },
                scope: match word("scope") {
                    "all" => Scope::All,
                    "zone" => Scope::Zone,
                    _ => Scope::Group,
                },
                need: match word("read") {
                    "any" => Need::Any,
                    "bounded" => Need::Bounded(span(from, &key("bound"))),
                    "session" => Need::Session,
                    "fresh" => Need::Fresh,
                    _ => Need::Write,
                },
                weight: 1.0,
            });
        }
        let least = op_types.iter().map(|t| t.target).min().unwrap_or(Span::from_millis(1));
        op_types.iter_mut().for_each(|t| t.weight = (t.target / least).max(1.0));
        let mut tenants = Vec::new();
        while let Some(Fact::Number(share)) = from.get(&format!("tenant.{}.share", tenants.len())) {
            tenants.push((*share, 0.0));
        }
        let max_retry_after = span(from, "max_retry_after");
        let bounds = op_types.iter().filter_map(|t| match t.need {
            Need::Bounded(bound) => Some(bound),
            _ => None,
        });
        let bound = bounds.min().unwrap_or(span(from, "connect_timeout"));
        Desk {
            now,
            rng: Rng::with_seed(seed),
            op_types,
            tenants,
            over_share_value: number(from, "over_share_value", 1.0),
            tick: span(from, "tick").max(Span::from_millis(1)),
            zone: ZoneId(number(from, "zone", 0.0) as u32),
            max_sends: number(from, "max_sends", 1.0) as usize,
            parallel: flag(from, "parallel_sends"),
            cancel: flag(from, "cancel"),
            probes: flag(from, "probes") && text(from, "reports") != "none",
            host_checks: text(from, "host_checks") != "none",
            carried: text(from, "tokens") == "carried",
            retry_after: flag(from, "retry_after").then_some(max_retry_after),
            asks_list: text(from, "list") == "ask",
            ask_within: span(from, "ask_within"),
            connect_timeout: span(from, "connect_timeout"),
            bound,
            probe_share: PROBE_SPEND / number(from, "price.probe", 0.0).max(PROBE_SPEND),
            faces: Vec::new(),
            groups: FxHashMap::default(),
            ops: Slab::new(),
            places: FxHashMap::default(),
            held: Vec::new(),
            commits: Default::default(),
            commits_floor: None,
            commits_turn: now,
            ask_list_at: None,
            pulsed_at: now,
            further: FURTHER_SAVED,
            probe_credit: 0.0,
            fleet_pace: 0.2,
            fleet_bad: 0.0,
            peer_rate: 0.0,
            report_age: Span::ZERO,
        }
    }

    fn face(&self, host: HostId) -> &Face {
        &self.faces[host.0 as usize]
    }

    fn op_type(&self, op: &Op) -> &OpType {
        &self.op_types[op.ask.op_type.0 as usize]
    }

    fn take(&mut self, note: DeskNote, post: &mut Post) {
        match note {
            DeskNote::Route(place) => self.route(place, post),
            DeskNote::Again(place) => self.again(place, post),
            DeskNote::Outside(Note::Listed { form, entries }) => self.listed(form, entries, post),
            DeskNote::Outside(Note::ListFailed) => {
                let wait = self.ask_within * (0.1 + 0.2 * self.rng.f64());
                self.ask_list_at = Some(self.now + wait);
            }
            DeskNote::Outside(Note::Asked(ask)) => self.asked(ask, post),
            DeskNote::Outside(Note::SendEnded { op, send, outcome, took, finished, word, .. }) => {
                self.send_ended(op, send, outcome, took, finished, word, post);
            }
            DeskNote::Outside(Note::HungUp { op }) => {
                if let Some(&place) = self.places.get(&op) {
                    self.finish(place, post);
                }
            }
            DeskNote::Outside(Note::Rang { .. }) => self.pulse(post),
            DeskNote::Outside(Note::Probed { host, outcome, word, .. }) => {
                if let (Outcome::Acked, Some(position)) = (outcome, word.position) {
                    let age = self.now - position;
                    self.report_age =
                        if self.report_age == Span::ZERO { age } else { age.min(self.report_age * 1.02) };
                }
                post.tell(host, HostNote::Probed { outcome, word });
            }
            DeskNote::Outside(Note::Told { .. }) => {}
        }
    }

    fn listed(&mut self, form: ListForm, entries: Vec<Entry>, post: &mut Post) {
        self.ask_list_at = None;
        if form != ListForm::Changes {
            for host in (0..self.faces.len() as u32).map(HostId) {
                if !entries.iter().any(|entry| entry.host == host) {
                    post.tell(host, HostNote::Dropped);
                }
            }
        }
        for entry in entries {
            self.groups.values_mut().for_each(|group| group.members.retain(|&host| host != entry.host));
            let members = &mut self.groups.entry(entry.group).or_default().members;
            members.push(entry.host);
            members.sort_unstable();
            post.tell(entry.host, HostNote::Listed(entry));
        }
    }

    fn asked(&mut self, ask: Ask, post: &mut Post) {
        self.further = (self.further + FURTHER).min(FURTHER_SAVED);
        self.probe_credit = (self.probe_credit + self.probe_share).min(FURTHER_SAVED);
        if let Some(tenant) = ask.tenant {
            for (row, (_, used)) in self.tenants.iter_mut().enumerate() {
                *used = *used * 0.99 + f64::from(row == tenant.0 as usize);
            }
        }
        let floor = match (self.op_types[ask.op_type.0 as usize].need, ask.token_age) {
            (Need::Session, Some(age)) if self.carried => (age > Span::ZERO).then(|| self.now - age),
            (Need::Session, None) if self.carried => Some(self.now),
            (Need::Session, _) => ask.session.and_then(|session| {
                let [late, before] = &self.commits;
                late.get(&session).or_else(|| before.get(&session)).copied().max(self.commits_floor)
            }),
            _ => None,
        };
        let op = Op {
            ask,
            arrived: self.now,
            floor,
            tries: SmallVec::new(),
            held: false,
            looked: false,
            missed: false,
            over: false,
        };
        let place = self.ops.insert(op);
        self.places.insert(ask.op, place);
        post.desk.push_back(DeskNote::Route(place));
    }

    /// Until when an answer is worth anything, and is sure to come before the client's time is up.
    fn pays_until(&self, op: &Op) -> Point {
        let kind = self.op_type(op);
        let due = op.ask.due - self.tick;
        if kind.late_value > 0.0 { due } else { due.min(op.arrived + kind.target - self.tick * 2.0) }
    }

    /// Rule 2: whether the op may go out again, to this host if one is named.
    fn may_send(&self, op: &Op, host: Option<HostId>) -> bool {
        if op.tries.len() >= self.max_sends || (!self.parallel && op.is_out()) {
            return false;
        }
        let kind = self.op_type(op);
        match (kind.effect, op.may_have_run()) {
            (Effect::Retryable, _) | (_, None) => true,
            (Effect::Tokened { memory }, Some(first)) => {
                let zone_of = |host: HostId| self.face(host).zone;
                let there =
                    kind.scope != Scope::Zone || host.is_none_or(|h| zone_of(h) == zone_of(first.host));
                there && self.now + self.tick < first.sent + memory
            }
            (Effect::NonRetryable, Some(_)) => false,
        }
    }

    fn route(&mut self, place: usize, post: &mut Post) {
        let Some(op) = self.ops.get(place) else { return };
        if op.over || op.is_out() {
            return;
        }
        // Nothing is held once waiting cannot pay any more: the answer goes out at once.
        let ends = self.pays_until(op);
        let expected = if op.held { self.op_type(op).target * self.fleet_pace } else { Span::ZERO };
        if self.now + expected >= ends || !self.may_send(op, None) {
            return self.give_up(place, post);
        }
        match self.choose(place, post) {
            Some(host) => self.send(place, host, post),
            None => self.hold(place, post),
        }
    }

    fn send(&mut self, place: usize, host: HostId, post: &mut Post) {
        let op = &self.ops[place];
        if op.over || !self.may_send(op, Some(host)) || !self.face(host).open {
            return;
        }
        let (weight, until) = (self.op_type(op).weight, self.pays_until(op));
        let op = &mut self.ops[place];
        op.tries.push(Try { host, sent: self.now, fate: Fate::Out, overdue: false });
        let id = op.ask.op;
        if std::mem::take(&mut op.held) {
            self.held.retain(|&held| held != place);
        }
        post.actions.push(Action::Send { op: id, host, until });
        post.tell(host, HostNote::Took { weight });
    }

    fn hold(&mut self, place: usize, post: &mut Post) {
        if self.ops[place].held {
            return;
        }
        self.ops[place].held = true;
        self.held.push(place);
    }

    /// What an op is worth for the work it asks.
    fn rank(&self, op: &Op) -> f64 {
        let kind = self.op_type(op);
        let all: f64 = self.tenants.iter().map(|(_, used)| used).sum();
        let over = op
            .ask
            .tenant
            .and_then(|t| self.tenants.get(t.0 as usize))
            .is_some_and(|(s, u)| *u > all * s * 1.2);
        let late = if self.now > op.arrived + kind.target { kind.late_value } else { 1.0 };
        kind.value / kind.weight * late * if over { self.over_share_value } else { 1.0 }
    }

    fn give_up(&mut self, place: usize, post: &mut Post) {
        let op = &self.ops[place];
        let kind = self.op_type(op);
        let harmless = kind.effect == Effect::Retryable
            || op.may_have_run().is_none()
            || (kind.effect != Effect::NonRetryable && kind.scope == Scope::All);
        let id = op.ask.op;
        post.actions.push(if harmless {
            Action::BusyReply { op: id, retry_after: self.retry_after }
        } else {
            Action::ErrorReply { op: id }
        });
        self.finish(place, post);
    }

    /// The op has its final answer; its place is free once all its sends have ended.
    fn finish(&mut self, place: usize, post: &mut Post) {
        let op = &mut self.ops[place];
        let first = !std::mem::replace(&mut op.over, true);
        if std::mem::take(&mut op.held) {
            self.held.retain(|&held| held != place);
        }
        if !op.is_out() {
            let id = op.ask.op;
            self.ops.remove(place);
            self.places.remove(&id);
        } else if self.cancel && first {
            for (send, _) in op.tries.iter().enumerate().filter(|(_, one)| one.fate == Fate::Out) {
                post.actions.push(Action::Cancel { op: op.ask.op, send: SendNo(send as u32) });
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn send_ended(
        &mut self,
        id: OpId,
        send: SendNo,
        outcome: Outcome,
        took: Span,
        finished: bool,
        word: Word,
        post: &mut Post,
    ) {
        let Some(&place) = self.places.get(&id) else { return };
        let now = self.now;
        let Some(one) = self.ops[place].tries.get_mut(send.0 as usize) else { return };
        one.fate = if outcome.never_ran() { Fate::Never } else { Fate::Maybe };
        let one = *one;
        let op = &self.ops[place];
        let kind = self.op_type(op);
        let (used, weight, write) =
            ((took / kind.target).clamp(0.0, 10.0), kind.weight, kind.need == Need::Write);
        let session = op.ask.session.filter(|_| write);
        let bad = match outcome {
            Outcome::Acked => used > 1.0,
            Outcome::Errored | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => true,
            _ => false,
        };
        let base = self.fleet_bad;
        if !one.overdue {
            self.fleet_bad += (f64::from(bad) - self.fleet_bad) * 0.02;
        }
        if outcome == Outcome::Acked {
            self.fleet_pace += (used - self.fleet_pace) * 0.02;
            if let Some(session) = session {
                let commit = word.position.unwrap_or(now);
                let known = self.commits[0].entry(session).or_insert(commit);
                *known = commit.max(*known);
            }
        }
        let judged = one.overdue;
        post.tell(one.host, HostNote::Ended { outcome, weight, sent: one.sent, used, judged, base, word });
        let op = &mut self.ops[place];
        op.missed |= outcome == Outcome::Miss;
        if op.over || finished {
            self.finish(place, post);
        } else if !op.is_out() {
            post.desk.push_back(DeskNote::Route(place));
        }
    }

    /// The member that is known first-hand to be primary, by the newest word; else the one the list names.
    fn primary(&self, group: &Group) -> Option<HostId> {
        let standing = || group.members.iter().copied().filter(|&h| self.face(h).open && !self.face(h).quiet);
        let told = standing().filter(|&h| self.face(h).role == Some(Role::Primary));
        told.max_by_key(|&h| self.face(h).role_at)
            .or_else(|| standing().find(|&h| self.face(h).role.is_none() && self.face(h).listed_primary))
    }

    fn probe(&self, host: HostId, post: &mut Post) {
        if self.probes && !self.face(host).probing {
            post.tell(host, HostNote::Probe);
        }
    }

    /// The host for the next send of this op; none while it should wait.
    fn choose(&mut self, place: usize, post: &mut Post) -> Option<HostId> {
        let id = self.ops[place].ask.group;
        let group = self.groups.get_mut(&id)?;
        if group.asked_at.is_none() {
            // A fresh router knows only an old list: the members say who is primary and how far they are.
            group.asked_at = Some(self.now);
            let open = self.groups[&id].members.iter().filter(|&&host| self.face(host).open);
            open.for_each(|&host| self.probe(host, post));
            if self.probes {
                return None;
            }
        }
        let choice = self.candidates(place, post);
        self.probe_credit -= choice.probes;
        if let Some(group) = self.groups.get_mut(&id) {
            group.wanted |= choice.wants_primary;
        }
        if choice.among.is_empty() { None } else { Some(self.lightest(&choice.among, place)) }
    }

    fn candidates(&self, place: usize, post: &mut Post) -> Choice {
        let op = &self.ops[place];
        let (kind, group) = (self.op_type(op), &self.groups[&op.ask.group]);
        let primary = self.primary(group);
        let mut choice = Choice { wants_primary: primary.is_none(), ..Choice::default() };
        let named = primary.is_some_and(|host| self.face(host).role.is_some());
        let asking = |hosts: &[HostId]| {
            hosts.iter().any(|&h| self.face(h).probing || self.face(h).probed_at == self.now)
        };
        if !named
            && group.asked_at.is_some_and(|at| self.now - at < self.connect_timeout)
            && asking(&group.members)
        {
            return choice;
        }
        let tried = |host: HostId| op.tries.iter().any(|one| one.host == host);
        if matches!(kind.need, Need::Write | Need::Fresh) {
            if let Some(host) = primary {
                choice.among.extend(Some(host).filter(|&host| self.face(host).bears(1.0)));
            } else if op.tries.len() * 2 < self.max_sends {
                // None known: members in turn, the most advanced first; one known as replica counts as a miss.
                let turn = group.members.iter().copied().filter(|&h| {
                    let face = self.face(h);
                    face.role.is_none() && !tried(h) && face.sound() && face.bears(1.0) && !face.probing
                });
                choice.among.extend(turn.max_by_key(|&h| self.face(h).position));
            }
            return choice;
        }
        let open = |host: &HostId| Some(*host) != primary && self.face(*host).open;
        let replicas: Hosts = group.members.iter().copied().filter(open).collect();
        // Danger: trouble that all share has every host judged ill. With most of them out, none is left out; harms
        // when most replicas really are lost, until the list says so.
        let most = replicas.iter().filter(|&&host| self.face(host).sound()).count() * 2 < replicas.len();
        let sound = |host: HostId| most || self.face(host).sound();
        let fit: Hosts =
            replicas.iter().copied().filter(|&host| self.qualifies(op, host) && sound(host)).collect();
        choice.probes = self.freshen(op, &replicas, fit.is_empty(), post);
        choice.among = fit.iter().copied().filter(|&host| self.face(host).bears(1.0)).collect();
        if choice.among.iter().any(|&host| !tried(host)) {
            choice.among.retain(|&mut host| !tried(host));
        }
        if !choice.among.is_empty() {
            if kind.weight >= LONG {
                self.keep_together(&mut choice.among);
            }
            return choice;
        }
        let at_primary = |share: f64| primary.filter(|&host| self.face(host).bears(share));
        if !fit.is_empty() {
            // Danger: replicas at their limit while the primary idles.
            choice.among.extend(at_primary(SPILL));
            return choice;
        }
        if self.host_checks && !op.missed {
            let able = replicas.iter().copied().filter(|&h| sound(h) && self.face(h).bears(1.0));
            choice.among.extend(able.max_by_key(|&host| self.face(host).position));
        } else if !self.host_checks {
            let may_open = op.floor.is_none_or(|floor| floor <= self.now - self.report_age);
            if may_open && asking(&replicas) && self.now - op.arrived < kind.target * PROBE_WAIT {
                return choice;
            }
        }
        if choice.among.is_empty() {
            choice.among.extend(at_primary(READS_AT_PRIMARY));
        }
        choice
    }

    /// Danger: a long read holds up the log where it runs, so long reads spread over all replicas leave none fresh.
    /// They conflict with bounded reads as a whole: they go where the copy is behind anyway, or else to the one
    /// furthest behind, which every router sees alike. Harms when long reads alone need most of the replicas.
    fn keep_together(&self, hosts: &mut Hosts) {
        let far =
            hosts.iter().map(|&host| self.face(host).behind).max().unwrap_or(Span::ZERO).min(self.bound);
        hosts.retain(|&mut host| self.face(host).behind >= far);
    }

    /// Rule 5: a position is a lower bound learnt some time ago; it need not have moved since.
    fn qualifies(&self, op: &Op, host: HostId) -> bool {
        let position = self.face(host).position;
        match self.op_type(op).need {
            Need::Any => true,
            Need::Bounded(bound) => position >= self.now - bound,
            Need::Session => op.floor.is_none_or(|floor| position >= floor),
            Need::Fresh | Need::Write => false,
        }
    }

    /// Asks replicas for their position: two at once when none qualifies, else one that will soon lapse.
    fn freshen(&self, op: &Op, replicas: &[HostId], none: bool, post: &mut Post) -> f64 {
        let lapses = match self.op_type(op).need {
            Need::Bounded(bound) => self.now - bound * 0.5,
            Need::Session if none => self.now,
            _ => return 0.0,
        };
        if !self.probes || !none && self.probe_credit < 1.0 {
            return 0.0;
        }
        let mut due: Hosts = replicas.iter().copied().collect();
        due.retain(|&mut host| {
            let face = self.face(host);
            face.sound() && !face.probing && face.position < lapses && self.now >= face.probe_after
        });
        due.sort_by_key(|&host| self.face(host).position);
        if none {
            due.reverse();
        }
        due.truncate(if none { 2 } else { 1 });
        due.iter().for_each(|&host| self.probe(host, post));
        due.len() as f64
    }

    /// Dynamic MPF: the load window, then the session's host, then the lightest, ties at random.
    fn lightest(&mut self, hosts: &[HostId], place: usize) -> HostId {
        let load = |host: HostId| self.face(host).load / self.face(host).size;
        let least = hosts.iter().map(|&host| load(host)).fold(f64::INFINITY, f64::min);
        let window: Hosts = hosts.iter().copied().filter(|&host| load(host) * WINDOW <= least).collect();
        let op = &self.ops[place];
        if window.len() > 1 && op.ask.session.is_some() {
            let holds = |&host: &HostId| {
                let same = |(_, other): &(usize, &Op)| other.ask.session == op.ask.session && !other.over;
                let there = |one: &Try| one.host == host && one.fate == Fate::Out;
                self.ops.iter().filter(same).any(|(_, other)| other.tries.iter().any(there))
            };
            let holders = window.iter().copied().filter(holds);
            if let Some(host) = holders.max_by(|&a, &b| load(a).total_cmp(&load(b))) {
                return host;
            }
        }
        let weight = self.op_type(op).weight;
        let cost = |host: HostId| {
            let face = self.face(host);
            let crossing = if face.zone == self.zone { 1.0 } else { CROSSING };
            (face.load + weight) / (face.size * face.warmth) * face.pace.max(0.02) * crossing
        };
        let lowest = window.iter().map(|&host| cost(host)).fold(f64::INFINITY, f64::min);
        let ties: Hosts = window.iter().copied().filter(|&host| cost(host) <= lowest * (1.0 + TIE)).collect();
        ties[self.rng.usize(..ties.len())]
    }

    /// Danger: a send sits at a host that hangs or is slow. Where two sends may be out, another goes out beside
    /// it; else it is called off. Draws on what is saved for further sends, so slowness of all brings no storm.
    fn again(&mut self, place: usize, post: &mut Post) {
        let Some(op) = self.ops.get(place) else { return };
        let Some((number, one)) = op.tries.iter().enumerate().rfind(|(_, one)| one.fate == Fate::Out) else {
            return;
        };
        let (lost, host) = (!self.face(one.host).sound(), one.host);
        let kind = self.op_type(op);
        if self.further < 1.0
            || !lost && kind.effect != Effect::Retryable
            || kind.effect == Effect::NonRetryable
        {
            return;
        }
        if !self.parallel {
            if lost && self.cancel {
                self.further -= 1.0;
                self.ops[place].looked = true;
                let op = self.ops[place].ask.op;
                post.actions.push(Action::Cancel { op, send: SendNo(number as u32) });
            }
            return;
        }
        if let Some(other) = self.choose(place, post)
            && other != host
            && self.may_send(&self.ops[place], Some(other))
        {
            self.further -= 1.0;
            self.ops[place].looked = true;
            self.send(place, other, post);
        }
    }

    fn pulse(&mut self, post: &mut Post) {
        let now = self.now;
        let passed = now - self.pulsed_at;
        self.pulsed_at = now;
        post.actions.push(Action::Ring { after: self.tick, cookie: Cookie(0) });
        let warm = self.faces.iter().filter(|face| face.open && face.warmth >= 1.0 && face.sound());
        let (sum, count) =
            warm.fold((0.0, 0.0), |(sum, count), face| (sum + face.rate / face.size, count + 1.0));
        self.peer_rate = if count > 0.0 { sum / count } else { self.peer_rate };
        for host in (0..self.faces.len() as u32).map(HostId) {
            let (peer_rate, pace) = (self.peer_rate, self.fleet_pace);
            post.tell(host, HostNote::Pulse { passed, peer_rate, pace });
        }
        for (place, op) in &mut self.ops {
            let target = self.op_types[op.ask.op_type.0 as usize].target;
            for one in op.tries.iter_mut().filter(|one| one.fate == Fate::Out && !one.overdue) {
                if now - one.sent > target {
                    one.overdue = true;
                    post.tell(one.host, HostNote::Overdue { sent: one.sent, base: self.fleet_bad });
                    self.fleet_bad += (1.0 - self.fleet_bad) * 0.02;
                }
            }
            let lost =
                |one: &Try| !self.faces[one.host.0 as usize].sound() || now - one.sent > target * LOOK_AGAIN;
            if !op.over && !op.looked && op.tries.iter().any(|one| one.fate == Fate::Out && lost(one)) {
                post.desk.push_back(DeskNote::Again(place));
            }
        }
        let poll = self.connect_timeout * 0.4;
        for group in self.groups.values_mut() {
            if !std::mem::take(&mut group.wanted) {
                continue;
            }
            for &host in &group.members {
                let face = &self.faces[host.0 as usize];
                if self.probes && face.open && !face.probing && now - face.probed_at >= poll {
                    post.tell(host, HostNote::Probe);
                }
            }
        }
        let mut held = std::mem::take(&mut self.held);
        held.sort_by(|&a, &b| {
            let (a, b) = (&self.ops[a], &self.ops[b]);
            self.rank(b).total_cmp(&self.rank(a)).then(b.arrived.cmp(&a.arrived))
        });
        post.desk.extend(held.iter().map(|&place| DeskNote::Route(place)));
        self.held = held;
        if self.ask_list_at.is_some_and(|at| now >= at) {
            self.ask_list_at = Some(now + self.ask_within);
            post.actions.push(Action::Subscribe { on: true });
        }
        if now - self.commits_turn > self.ask_within.max(Span::from_millis(10_000)) {
            self.commits_turn = now;
            self.commits.swap(0, 1);
            self.commits_floor = self.commits[0].values().copied().max().max(self.commits_floor);
            self.commits[0].clear();
        }
    }
}

/// One router: the desk, the hosts, and the post between them.
pub struct Router {
    desk: Desk,
    hosts: Vec<Host>,
    berth: Berth,
    post: Post,
}

impl Router {
    pub fn start(now: Point, seed: u64, from: &Manifest, actions: &mut Vec<Action>) -> Self {
        let desk = Desk::new(now, seed, from);
        let berth = Berth {
            cold: span(from, "cold").max(Span::from_millis(1)),
            cold_from: number(from, "cold_from", 1.0),
            fall: span(from, "fall").max(Span::from_millis(1)),
            connect_timeout: span(from, "connect_timeout"),
            bound: desk.bound,
            longest_target: desk.op_types.iter().map(|t| t.target).max().unwrap_or(Span::from_millis(1)),
            removal_binds: !flag(from, "removal_not_binding"),
        };
        if desk.asks_list {
            actions.push(Action::Subscribe { on: true });
        }
        actions.push(Action::Ring { after: desk.tick, cookie: Cookie(0) });
        Router { desk, hosts: Vec::new(), berth, post: Post::default() }
    }

    pub fn take(&mut self, now: Point, note: Note, actions: &mut Vec<Action>) {
        let Router { desk, hosts, berth, post } = self;
        desk.now = now;
        let mut next = Some(DeskNote::Outside(note));
        while let Some(note) = next {
            desk.take(note, post);
            while let Some(id) = post.ready.pop_front() {
                while hosts.len() <= id.0 as usize {
                    let host = Host::new(HostId(hosts.len() as u32), *berth);
                    desk.faces.push(host.face);
                    hosts.push(host);
                }
                if let Some(note) = post.inboxes[id.0 as usize].pop_front() {
                    hosts[id.0 as usize].take(now, note, post);
                }
            }
            for (id, face) in post.faces.drain(..) {
                desk.faces[id.0 as usize] = face;
            }
            next = post.desk.pop_front();
        }
        actions.append(&mut post.actions);
    }
}
