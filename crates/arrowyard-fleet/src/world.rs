//! Routers, hosts, clients and the events between them, in the order of their times.

use std::collections::{BTreeMap, HashMap};

use arrowyard::Router;
use arrowyard_types::*;
use fastrand::Rng;

use crate::host::Host;

/// What a run is drawn from. Times are spans of the model's own clock.
#[derive(Clone, Debug)]
pub struct Town {
    pub seed: u64,
    pub routers: usize,
    pub groups: usize,
    /// Hosts of a group; the first is its primary.
    pub members: usize,
    pub cores: usize,
    /// Ops a second of all routers together.
    pub rate: f64,
    /// Whether the list names the primaries.
    pub named: bool,
    pub cold_from: f64,
    pub cold: TimeDelta,
    /// How far replicas are behind.
    pub behind: TimeDelta,
    /// How long a group is without a primary when one is lost.
    pub switch: TimeDelta,
    /// How often a client comes again with an op that was given back, errored, or lost with its router; and how soon.
    pub again: u32,
    pub comes: TimeDelta,
}

impl Default for Town {
    fn default() -> Self {
        Town {
            seed: 7,
            routers: 30,
            groups: 8,
            members: 3,
            cores: 3,
            rate: 400.0,
            named: true,
            cold_from: 0.2,
            cold: TimeDelta::from_millis(12_000),
            behind: TimeDelta::from_millis(10),
            switch: TimeDelta::from_millis(4_000),
            again: 0,
            comes: TimeDelta::from_millis(200),
        }
    }
}

/// What all routers together did since the last `World::reset`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sums {
    pub asked: u64,
    /// Answered within the latency target, and later.
    pub acked: u64,
    pub late: u64,
    pub busy: u64,
    pub errored: u64,
    /// Of the busy and errored ones: nothing was sent for them, and more than half of their time was over.
    pub kept_back: u64,
    pub sends: u64,
    pub probes: u64,
    pub dials: u64,
    /// Ops that clients came again with; they are among those that were asked.
    pub again: u64,
    /// Of writes.
    pub writes: u64,
    pub writes_acked: u64,
}

/// What happens to the town.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A group's primary falls silent, and another takes over after the switch.
    LosePrimary(usize),
    /// All hosts of a group are replaced by cold ones; the last of them become primary.
    Replace(usize),
    /// All hosts work so many times slower.
    Slower(f64),
    /// The hosts of a group are gone from all lists, and nothing takes their place.
    Close(usize),
    /// The first so many routers are killed and started anew at once, with the list that they began with.
    Restart(usize),
}

enum Due {
    Ask,
    /// A client comes again with an op of this kind and group, for the how manieth time.
    Again(usize, GroupId, u32),
    Happens(Event),
    /// The group has this host as its primary from now on.
    Leads(usize, usize),
    Ring(usize, TimerId),
    Probed(usize, HostId, Outcome, HostStatus),
    Ended(usize, SendResult),
    Listed(usize, Vec<HostEntry>),
}

struct Open {
    asked: Timestamp,
    due: Timestamp,
    target: TimeDelta,
    write: bool,
    /// Microseconds of a core.
    work: f64,
    sent: u32,
    kind: usize,
    group: GroupId,
    tries: u32,
}

pub struct World {
    town: Town,
    pub now: Timestamp,
    rng: Rng,
    routers: Vec<Router>,
    pub hosts: Vec<Host>,
    /// By group: its primary, and when it was lost.
    leads: Vec<(Option<usize>, Timestamp)>,
    events: BTreeMap<(Timestamp, u64), Due>,
    number: u64,
    open: HashMap<(usize, OpId), Open>,
    /// By router and host: when its connections were last used.
    links: HashMap<(usize, HostId), Vec<Timestamp>>,
    rows: Vec<(OpType, f64, f64)>,
    pub sums: Sums,
    next: u64,
    manifest: RouterSettings,
    entries: Vec<HostEntry>,
}

const IDLE: TimeDelta = TimeDelta::from_millis(12_000);
const CONNECT: TimeDelta = TimeDelta::from_millis(250);
/// What waits longer than this at a host is turned away.
const LONGEST: TimeDelta = TimeDelta::from_millis(1_500);

/// Read, what it needs, share of ops, milliseconds of a core, latency target, op timeout, value, late value.
type Kind = (&'static str, &'static str, f64, f64, i64, i64, f64, f64);
const KINDS: [Kind; 4] = [
    ("bounded", "retryable", 0.32, 100.0, 500, 2000, 2.0, 0.0),
    ("session", "retryable", 0.27, 40.0, 200, 500, 1.0, 0.2),
    ("any", "retryable", 0.24, 100.0, 600, 2000, 3.0, 0.2),
    ("write", "tokened", 0.17, 100.0, 1000, 2000, 6.0, 0.7),
];

impl World {
    pub fn new(town: Town) -> Self {
        let now = Timestamp::from_micros(1_000_000_000_000);
        let manifest = manifest(&town);
        let rows = OpType::rows(&manifest).into_iter().zip(KINDS).map(|(row, k)| (row, k.2, k.3 * 1000.0));
        let total = town.groups * town.members;
        let hosts = (0..total).map(|at| Host::new(at / town.members, town.cores, None, town.cold, 1.0));
        let mut world = World {
            now,
            rng: Rng::with_seed(town.seed),
            routers: Vec::new(),
            hosts: hosts.collect(),
            leads: (0..town.groups).map(|group| (Some(group * town.members), now)).collect(),
            events: BTreeMap::new(),
            number: 0,
            open: HashMap::new(),
            links: HashMap::new(),
            rows: rows.collect(),
            sums: Sums::default(),
            next: 0,
            manifest: manifest.clone(),
            entries: Vec::new(),
            town,
        };
        let entries: Vec<HostEntry> = (0..total).map(|at| world.entry(at, Availability::Ready)).collect();
        world.entries = entries;
        for router in 0..world.town.routers {
            world.begin(router);
        }
        world.at(TimeDelta::ZERO, Due::Ask);
        world
    }

    /// Starts a router, anew if it ran.
    fn begin(&mut self, router: usize) {
        let mut actions = Vec::new();
        let seed = self.rng.u64(..);
        let one = Router::start(self.now, seed, self.manifest.clone(), &mut actions);
        match self.routers.get_mut(router) {
            Some(old) => *old = one,
            None => self.routers.push(one),
        }
        self.carry_out(router, actions);
        let entries = self.entries.clone();
        self.feed(router, RouterEvent::HostList { kind: ListKind::Saved, entries });
    }

    /// Kills a router and starts it anew: what it had under way is nobody's, its clients come again, its connections are gone,
    /// and hosts go on with what they have.
    fn restart(&mut self, router: usize) {
        self.events.retain(|_, due| match due {
            Due::Ring(of, _) | Due::Probed(of, ..) | Due::Ended(of, _) | Due::Listed(of, _) => *of != router,
            _ => true,
        });
        self.links.retain(|(of, _), _| *of != router);
        let mut lost: Vec<OpId> =
            self.open.keys().filter(|(of, _)| *of == router).map(|(_, op)| *op).collect();
        lost.sort_unstable();
        for op in lost {
            self.given_up(router, op, false);
        }
        self.begin(router);
    }

    pub fn happens(&mut self, after: TimeDelta, event: Event) {
        self.at(after, Due::Happens(event));
    }

    /// Begins to count anew.
    pub fn reset(&mut self) -> Sums {
        std::mem::take(&mut self.sums)
    }

    /// Plays on for so long.
    pub fn play(&mut self, span: TimeDelta) -> &Sums {
        let end = self.now + span;
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), due) = entry.remove_entry();
            self.now = at;
            self.due(due);
        }
        self.now = end;
        &self.sums
    }

    /// The most that any host was pushed while it warmed up, over its present capacity in such a window.
    pub fn pushed(&self, window: TimeDelta) -> f64 {
        self.hosts.iter().map(|host| host.pushed(window)).fold(0.0, f64::max)
    }

    fn at(&mut self, after: TimeDelta, due: Due) {
        self.number += 1;
        self.events.insert((self.now + after, self.number), due);
    }

    fn entry(&self, at: usize, availability: Availability) -> HostEntry {
        let group = self.hosts[at].group;
        HostEntry {
            host: HostId(at as u32),
            name_hash: at as u32,
            availability,
            memberships: [GroupMembership { group: GroupId(group as i64), primary_only: false }].into(),
            zone: ZoneId(0),
            size: 1.0,
            is_primary: self.town.named && at == group * self.town.members,
            started_at: None,
        }
    }

    fn due(&mut self, due: Due) {
        match due {
            Due::Ask => {
                let gap = -self.rng.f64().max(1e-9).ln() / self.town.rate;
                self.at(TimeDelta::from_micros((gap * 1e6) as i64), Due::Ask);
                self.ask();
            }
            Due::Again(kind, group, tries) => {
                self.sums.again += 1;
                self.ask_of(kind, group, tries);
            }
            Due::Happens(event) => self.happen(event),
            Due::Leads(group, host) => self.leads[group].0 = Some(host),
            Due::Ring(router, cookie) => self.feed(router, RouterEvent::TimerFired { timer: cookie }),
            Due::Probed(router, host, outcome, word) => {
                self.feed(router, RouterEvent::ProbeEnded { host, outcome, status: word })
            }
            Due::Listed(router, entries) => {
                self.feed(router, RouterEvent::HostList { kind: ListKind::Incremental, entries })
            }
            Due::Ended(router, mut end) => {
                if let Some(open) = self.open.get(&(router, end.op)).filter(|_| end.outcome == Outcome::Acked)
                {
                    let in_time = self.now - open.asked <= open.target;
                    self.sums.acked += u64::from(in_time);
                    self.sums.late += u64::from(!in_time);
                    self.sums.writes_acked += u64::from(open.write);
                    self.open.remove(&(router, end.op));
                }
                end.op_finished = !self.open.contains_key(&(router, end.op));
                self.feed(router, RouterEvent::SendEnded(end));
            }
        }
    }

    fn ask(&mut self) {
        let router = self.rng.usize(..self.town.routers);
        let mut left = self.rng.f64();
        let kind = (0..self.rows.len()).find(|&kind| {
            left -= self.rows[kind].1;
            left < 0.0
        });
        let kind = kind.unwrap_or(self.rows.len() - 1);
        self.ask_at(router, kind, None, 0);
    }

    /// An op at any router.
    fn ask_of(&mut self, kind: usize, group: GroupId, tries: u32) {
        let router = self.rng.usize(..self.town.routers);
        self.ask_at(router, kind, Some(group), tries);
    }

    fn ask_at(&mut self, router: usize, kind: usize, group: Option<GroupId>, tries: u32) {
        let row = &self.rows[kind].0;
        let (op, due) = (OpId(self.next), self.now + row.op_timeout);
        let write = row.consistency == Consistency::Write;
        // An exponential draw around the mean.
        let work = -self.rng.f64().max(1e-9).ln() * self.rows[kind].2;
        self.next += 1;
        self.sums.asked += 1;
        self.sums.writes += u64::from(write);
        let groups = self.town.groups as i64;
        let group = group.unwrap_or_else(|| GroupId(self.rng.i64(0..groups)));
        let open = Open {
            asked: self.now,
            due,
            target: row.latency_target,
            write,
            work,
            sent: 0,
            kind,
            group,
            tries,
        };
        self.open.insert((router, op), open);
        let session = Some(SessionId(self.rng.u64(..20) * 1000 + group.0 as u64));
        let ask = OpRequest {
            op,
            op_type: OpTypeId(kind as u32),
            group,
            session,
            deadline: due,
            ..OpRequest::default()
        };
        self.feed(router, RouterEvent::OpRequested(ask));
    }

    fn happen(&mut self, event: Event) {
        let members = |world: &World, group: usize| -> Vec<usize> {
            (0..world.hosts.len())
                .filter(|&at| world.hosts[at].group == group && world.hosts[at].up)
                .collect()
        };
        match event {
            Event::LosePrimary(group) => {
                if let (Some(lead), _) = self.leads[group] {
                    self.hosts[lead].up = false;
                }
                self.leads[group] = (None, self.now);
                if let Some(&heir) = members(self, group).first() {
                    self.at(self.town.switch, Due::Leads(group, heir));
                }
            }
            Event::Replace(group) => {
                let old = members(self, group);
                let mut told: Vec<HostEntry> = Vec::new();
                for at in old {
                    told.push(self.entry(at, Availability::Gone));
                    let (cores, cold, from) = (self.town.cores, self.town.cold, self.town.cold_from);
                    self.hosts.push(Host::new(group, cores, Some(self.now), cold, from));
                    let new = self.hosts.len() - 1;
                    told.push(HostEntry {
                        started_at: Some(self.now),
                        ..self.entry(new, Availability::Ready)
                    });
                    self.leads[group].0 = Some(new);
                }
                self.tell(told);
            }
            Event::Restart(count) => (0..count).for_each(|router| self.restart(router)),
            Event::Slower(times) => self.hosts.iter_mut().for_each(|host| host.slower = times),
            Event::Close(group) => {
                let told =
                    members(self, group).into_iter().map(|at| self.entry(at, Availability::Gone)).collect();
                self.tell(told);
            }
        }
    }

    /// Lists reach each router within a second.
    fn tell(&mut self, told: Vec<HostEntry>) {
        for router in 0..self.routers.len() {
            let after = TimeDelta::from_micros(self.rng.i64(0..1_000_000));
            self.at(after, Due::Listed(router, told.clone()));
        }
    }

    fn feed(&mut self, router: usize, note: RouterEvent) {
        let mut actions = Vec::new();
        self.routers[router].handle(self.now, note, &mut actions);
        self.carry_out(router, actions);
    }

    fn carry_out(&mut self, router: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SetTimer { after, timer: cookie } => self.at(after, Due::Ring(router, cookie)),
                Action::Send { op, host, deadline: until } => self.send(router, op, host, until),
                Action::Probe { host } => self.probe(router, host),
                Action::BusyReply { op, .. } => self.given_up(router, op, true),
                Action::ErrorReply { op } => self.given_up(router, op, false),
                // What is called off goes on at its host, and ends for the router at its own time.
                _ => {}
            }
        }
    }

    fn given_up(&mut self, router: usize, op: OpId, busy: bool) {
        let Some(open) = self.open.remove(&(router, op)) else { return };
        *(if busy { &mut self.sums.busy } else { &mut self.sums.errored }) += 1;
        let late = self.now - open.asked > (open.due - open.asked) * 0.5;
        self.sums.kept_back += u64::from(open.sent == 0 && late);
        if open.tries < self.town.again {
            let after = self.town.comes * (0.5 + self.rng.f64());
            self.at(after, Due::Again(open.kind, open.group, open.tries + 1));
        }
    }

    /// A connection for a command till it ends at that point; when the command begins.
    fn connect(&mut self, router: usize, host: HostId) -> Timestamp {
        let links = self.links.entry((router, host)).or_default();
        links.retain(|free| self.now - *free < IDLE);
        let idle = links.iter().position(|free| *free <= self.now);
        if let Some(at) = idle {
            links.swap_remove(at);
            return self.now;
        }
        self.sums.dials += 1;
        self.hosts[host.0 as usize].dialed(self.now);
        self.now + TimeDelta::from_millis(2)
    }

    fn word(&self, host: HostId, as_of: Timestamp) -> HostStatus {
        let (lead, lost) = self.leads[self.hosts[host.0 as usize].group];
        let primary = lead == Some(host.0 as usize);
        // Without a primary positions stand still.
        let stands = if lead.is_none() { as_of.min(lost) } else { as_of };
        let position = if primary { as_of } else { stands - self.town.behind };
        let role = if primary { Role::Primary } else { Role::Replica };
        HostStatus { role: Some(role), position: Some(position), ..HostStatus::default() }
    }

    fn send(&mut self, router: usize, op: OpId, host: HostId, until: Timestamp) {
        self.sums.sends += 1;
        let Some(open) = self.open.get_mut(&(router, op)) else { return };
        let (send, work, write) = (SendIndex(open.sent), open.work, open.write);
        open.sent += 1;
        let begins = self.connect(router, host);
        let one = &mut self.hosts[host.0 as usize];
        let leads = self.leads[one.group].0 == Some(host.0 as usize);
        let (outcome, at) = match one.up {
            false => (Outcome::TimedOut, until),
            true if write && !leads => (Outcome::Misrouted, begins + TimeDelta::from_millis(1)),
            true => match one.serve(begins, work, LONGEST) {
                Some(done) if done <= until => (Outcome::Acked, done),
                Some(_) => (Outcome::TimedOut, until),
                None => (Outcome::Overloaded, begins + TimeDelta::from_millis(1)),
            },
        };
        let at = at.max(self.now);
        if outcome.is_answer() {
            self.links.entry((router, host)).or_default().push(at);
        }
        let word = if outcome.is_answer() { self.word(host, at) } else { HostStatus::default() };
        let end =
            SendResult { op, send, host, outcome, elapsed: at - self.now, op_finished: false, status: word };
        self.at(at - self.now, Due::Ended(router, end));
    }

    fn probe(&mut self, router: usize, host: HostId) {
        self.sums.probes += 1;
        if !self.hosts[host.0 as usize].up {
            self.hosts[host.0 as usize].probes += 1;
            return self
                .at(CONNECT, Due::Probed(router, host, Outcome::ConnectFailed, HostStatus::default()));
        }
        let done = self.connect(router, host) + TimeDelta::from_millis(1);
        let as_of = self.hosts[host.0 as usize].probed(self.now);
        self.links.entry((router, host)).or_default().push(done);
        let word = self.word(host, as_of);
        self.at(done - self.now, Due::Probed(router, host, Outcome::Acked, word));
    }
}

fn manifest(town: &Town) -> RouterSettings {
    let mut told = RouterSettings::new();
    let mut put = |name: &str, fact: SettingValue| told.insert(name.to_string(), fact);
    let ms = |millis: i64| SettingValue::TimeDelta(TimeDelta::from_millis(millis));
    for (row, (read, effect, _, _, target, timeout, value, late)) in KINDS.into_iter().enumerate() {
        let mut row = |field: &str, fact: SettingValue| put(&format!("op_type.{row}.{field}"), fact);
        row("latency_target", ms(target));
        row("op_timeout", ms(timeout));
        row("read", SettingValue::Text(read.to_string()));
        row("effect", SettingValue::Text(effect.to_string()));
        row("scope", SettingValue::Text("group".to_string()));
        row("value", SettingValue::Number(value));
        row("late_value", SettingValue::Number(late));
        row("memory", ms(1200));
        row("bound", ms(300));
    }
    ["cancel", "probes", "retry_after"]
        .into_iter()
        .for_each(|flag| drop(put(flag, SettingValue::Flag(true))));
    let spans = [("tick", 5), ("connect_timeout", 250), ("max_retry_after", 2000), ("fall", 1500)];
    spans.into_iter().for_each(|(name, millis)| drop(put(name, ms(millis))));
    put("idle_close", SettingValue::TimeDelta(IDLE * 1.25));
    put("cold", SettingValue::TimeDelta(town.cold));
    let numbers = [("max_sends", 8.0), ("cold_from", town.cold_from), ("fall_multiple", 2.0)];
    numbers.into_iter().for_each(|(name, number)| drop(put(name, SettingValue::Number(number))));
    put("routers", SettingValue::Number(town.routers as f64));
    let texts = [("reports", "probe"), ("tokens", "remembered"), ("host_checks", "none")];
    texts.into_iter().for_each(|(name, text)| drop(put(name, SettingValue::Text(text.to_string()))));
    told
}
