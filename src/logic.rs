//! The decisions of arrowyard. A caller makes a `Router` with `Router::start`, hands it each note with the time when it
//! came (`Router::take`), and carries out the actions that come back, in order. The interface is the crate
//! `arrowyard-types`; `docs/design.md` says what of the design is kept or changed.
//! Every host is an actor with an inbox; the desk is the actor that holds the ops. Hosts show it their face,
//! it tells them what was sent to them. The one loop in `Router::take` empties all inboxes, the hosts' first.
//! What they remember is laid out in `state.rs`. The decisions lie by concern: here what comes in, in `health.rs` what
//! a host is good for, in `choice.rs` which host, in `probing.rs` who is asked where it is, in `sending.rs` whether,
//! when and how often an op goes out, in `pressure.rs` what is held and given back while hosts have too much.

use std::cell::RefCell;

use arrowyard_types::*;
use fastrand::Rng;
use smallvec::SmallVec;

use crate::post::{HostNote, Post, news_from};
use crate::state::{Desk, Face, Op};

/// An ill host rests this many connect time-outs before a trial; entries of unanswered sends fade as long.
pub const REST: f64 = 8.0;
/// An answer within this share of its latency target lets the limit grow.
pub const EASY: f64 = 0.4;
/// A limit is cut once in this share of the connect time-out; a missing primary is looked for half as often.
pub const STEP: f64 = 0.4;

/// What alarms are for: none names a place that could be reused.
pub const PULSE: TimerId = TimerId(0);
pub const ASK_LIST: TimerId = TimerId(1);
pub const TRY_HELD: TimerId = TimerId(2);

pub type Hosts = SmallVec<[HostId; 16]>;

impl Desk {
    pub fn new(now: Timestamp, seed: u64, charter: RouterSettings, actions: &mut Vec<Action>) -> Self {
        let op_types = OpType::rows(&charter);
        let share = |row: usize| charter.number_or(&format!("tenant.{row}.share"), 0.0);
        let rng = RefCell::new(Rng::with_seed(seed));
        if charter.text("list") == "ask" {
            actions.push(Action::SubscribeHostList { on: true });
        }
        let first = charter.time_delta("connect_timeout") * (STEP * rng.borrow_mut().f64());
        actions.push(Action::SetTimer { after: first, timer: PULSE });
        let mut desk = Desk {
            tenants: (0..).map(|row| (share(row), 0.0)).take_while(|(share, _)| *share > 0.0).collect(),
            now,
            pulsed_at: now,
            rng,
            charter,
            ..Desk::default()
        };
        desk.learn_op_types(op_types);
        desk
    }

    pub fn learn_op_types(&mut self, rows: Vec<OpType>) {
        let bounds = rows.iter().filter_map(|kind| kind.consistency.staleness_bound());
        self.bound = bounds.min().unwrap_or(self.charter.time_delta("connect_timeout"));
        self.least_target = rows.iter().map(|kind| kind.latency_target).min().unwrap_or_default();
        self.op_types = rows;
    }

    pub fn hosts(&self) -> impl Iterator<Item = HostId> + use<> {
        (0..self.faces.len() as u32).map(HostId)
    }

    pub fn face(&self, host: HostId) -> &Face {
        &self.faces[host.0 as usize]
    }

    pub fn bears(&self, host: HostId, share: f64) -> bool {
        self.face(host).bears(share, self.now, self.least_target)
    }

    /// Whether a connection to it stands idle, as far as one can tell.
    pub fn connected(&self, host: HostId) -> bool {
        let face = self.face(host);
        face.unfinished == 0 && self.now - face.heard_at < self.charter.time_delta("idle_close")
    }

    pub fn op_type(&self, op: &Op) -> &OpType {
        &self.op_types[op.ask.op_type.0 as usize]
    }

    /// What one send of the op type adds to a host's load.
    pub fn weight(&self, kind: &OpType) -> f64 {
        kind.latency_target / self.least_target
    }

    pub fn mean_weight(&self) -> f64 {
        self.op_types.iter().map(|kind| self.weight(kind)).sum::<f64>() / self.op_types.len().max(1) as f64
    }

    pub fn take(&mut self, note: RouterEvent, post: &mut Post) {
        match note {
            RouterEvent::HostList { kind: form, entries } => self.listed(form, entries, post),
            RouterEvent::RetryBudget { cell, retries: Some(sends) } => drop(self.spares.insert(cell, sends)),
            RouterEvent::RetryBudget { cell, retries: None } => drop(self.spares.remove(&cell)),
            RouterEvent::ListFailed => {
                let wait = self.charter.time_delta("ask_within") * (0.1 + 0.2 * self.rng.borrow_mut().f64());
                post.actions.push(Action::SetTimer { after: wait, timer: ASK_LIST });
            }
            RouterEvent::OpRequested(ask) => self.asked(ask, post),
            RouterEvent::SendEnded(end) => self.ended(end, post),
            RouterEvent::ClientCancelled { op } => {
                if let Some(&place) = self.places.get(&op) {
                    self.finish(place, post);
                }
            }
            RouterEvent::TimerFired { timer: ASK_LIST } => {
                post.actions.push(Action::SubscribeHostList { on: true })
            }
            RouterEvent::TimerFired { timer: TRY_HELD } => {
                self.trying = false;
                self.try_held(post);
            }
            RouterEvent::TimerFired { .. } => self.pulse(post),
            RouterEvent::ProbeEnded { host, outcome, status: word } => {
                let word = (outcome == Outcome::Acked).then_some(word);
                word.into_iter().for_each(|word| self.tell(host, &word, post));
                post.hosts.put(host, HostNote::Probed(word));
                self.try_held(post);
            }
            RouterEvent::OpTypes(rows) => self.learn_op_types(rows),
            RouterEvent::RoleAssigned { host, role } => {
                post.hosts.put(host, HostNote::Named(role));
                self.try_held(post);
            }
            RouterEvent::TenantLimit { host, tenant, max_in_flight: most } => {
                self.hold(host, tenant, most);
                self.try_held(post);
            }
            RouterEvent::RouterCount { routers } => {
                drop(self.charter.insert("routers".to_string(), SettingValue::Number(routers)))
            }
            RouterEvent::PeerMessage { bytes, .. } => {
                if let Some((tag, word)) = news_from(&bytes, self.now) {
                    let meant = self.hosts().filter(|&host| self.face(host).tag == tag);
                    meant.for_each(|host| post.hosts.put(host, HostNote::Told(word)));
                }
                self.try_held(post);
            }
        }
    }

    pub fn listed(&mut self, form: ListKind, entries: Vec<HostEntry>, post: &mut Post) {
        // One look at each entry, not one for each host: lists of thousands come while ops wait.
        let mut named = vec![form == ListKind::Incremental; self.faces.len()];
        for entry in &entries {
            named.get_mut(entry.host.0 as usize).into_iter().for_each(|named| *named = true);
        }
        let missing = self.hosts().filter(|host| !named[host.0 as usize]);
        missing.for_each(|host| post.hosts.put(host, HostNote::Dropped));
        for entry in entries {
            let place = entry.host.0 as usize;
            self.parts.resize_with(self.parts.len().max(place + 1), GroupMemberships::new);
            for part in std::mem::replace(&mut self.parts[place], entry.memberships.clone()) {
                let group = self.groups.entry(part.group).or_default();
                group.members.retain(|&host| host != entry.host);
                group.guests.retain(|&host| host != entry.host);
            }
            for part in &entry.memberships {
                let group = self.groups.entry(part.group).or_default();
                group.members.push(entry.host);
                group.members.sort_unstable();
                group.guests.extend(part.primary_only.then_some(entry.host));
            }
            let debt = self.mean_weight() * self.rng.borrow_mut().f64();
            post.hosts.put(entry.host, HostNote::Listed(entry, debt));
        }
    }
}
