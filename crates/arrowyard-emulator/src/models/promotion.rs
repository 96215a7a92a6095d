//! The shipped change of primary, not a copy of it, under a model checker, before hosts that replicate: commits at any
//! moment, replicas that fall behind or receive nothing, hosts that crash and come back, suspicions without a reason,
//! questions whose answers are lost, a platform that acts late or twice. Whoever leads must have every commit that was
//! acknowledged. Variants that are wrong on purpose have to be caught.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{BuildHasher, Hash, Hasher};

use arrowyard_control::{
    HostRegistry, HostsSnapshot, Promotion, PromotionRequest, Reply, RequestKind, Stage, is_redundant,
};
use arrowyard_messages::{DbRole, Host, Phase};
use arrowyard_protocol::{Observed, Position};
use arrowyard_types::{TimeDelta, Timestamp};
use rustc_hash::FxBuildHasher;
use stateright::{Model, Property};

use super::{Checked, LIVES, explored};

/// What is wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// Hosts say that they stopped receiving, and go on.
    PausesNothing,
    /// A host that does not answer is taken for one that has nothing.
    SilentHasNothing,
    /// Any row counts as word that a host stopped.
    AnyRowIsAPause,
    /// A replica that falls silent is counted out without asking what the primary has.
    NoFloors,
    /// Each question is asked once.
    AskedOnce,
    /// A host that control does not reach is not asked by way of routers.
    NoRelays,
}

#[derive(Clone, Debug)]
struct Scene {
    flaw: Option<Flaw>,
    commits: u8,
    crashes: u8,
    starts: u8,
    /// Replicas that receive nothing from some moment on; the last of the hosts only.
    deaf: u8,
    /// Replicas that control does not reach from some moment on, and routers do; the last of the hosts only.
    hidden: u8,
    suspicions: u8,
    planned: bool,
    /// Questions whose answers are lost, carried out or not.
    lost: u8,
    /// Calls to the platform that are carried out after they were given up.
    late: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Server {
    up: bool,
    leads: bool,
    paused: bool,
    deaf: bool,
    hidden: bool,
    draining: bool,
    /// Commits: their terms and numbers.
    log: Vec<(u64, u8)>,
    /// As it told control last.
    told: (bool, bool),
    queue: VecDeque<PromotionRequest>,
}

#[derive(Clone, Debug)]
struct World {
    servers: Vec<Server>,
    term: u64,
    promotion: Promotion,
    silent: BTreeMap<String, Timestamp>,
    crashed_at: BTreeMap<String, Timestamp>,
    acknowledged: BTreeSet<(u64, u8)>,
    calls: Vec<String>,
    late_calls: Vec<String>,
    replies: Vec<u16>,
    left: Scene,
    changes: u8,
    lost_commit: bool,
    /// Steps so far, each 10 s.
    clock: i64,
}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let left = &self.left;
        // Of an attempt it counts only whether it is the last one.
        let mut servers = self.servers.clone();
        for ask in servers.iter_mut().flat_map(|server| &mut server.queue) {
            if let PromotionRequest::Pause { attempt, .. } = ask {
                *attempt = u64::from(*attempt == self.promotion.attempt());
            }
        }
        (&servers, self.term, &self.promotion, &self.acknowledged).hash(state);
        (self.silent.keys().collect::<Vec<_>>(), self.changes, self.lost_commit).hash(state);
        (&self.calls, &self.late_calls, &self.replies).hash(state);
        (left.commits, left.crashes, left.starts, left.deaf, left.hidden).hash(state);
        (left.suspicions, left.lost, left.late).hash(state);
    }
}

impl PartialEq for World {
    fn eq(&self, other: &World) -> bool {
        let hash = |world: &World| FxBuildHasher.hash_one(world);
        hash(self) == hash(other)
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Commit,
    Replicate(usize),
    Crash(usize),
    Start(usize),
    Deafen(usize),
    Hide(usize),
    Drain,
    /// A host's call tells how it sees itself.
    Call(usize),
    /// It is missed.
    Miss(usize),
    Suspect,
    Look,
    /// A host takes the next question; the answer comes, is lost, or the question was.
    Answer(usize),
    AnswerLost(usize),
    QuestionLost(usize),
    Platform,
    PlatformLost,
    PlatformLate,
    LateCall,
    Status,
}

const NAMES: [&str; 3] = ["a", "b", "c"];

fn place(name: &str) -> usize {
    NAMES.iter().position(|other| *other == name).expect("one of three")
}

impl Server {
    fn received(&self) -> Position {
        let term = self.log.last().map_or(1, |(term, _)| *term);
        Position { term, number: self.log.len() as u64 }
    }
}

impl World {
    fn now(&mut self) -> Timestamp {
        self.clock += 1;
        Timestamp::from_micros(0) + TimeDelta::from_millis(10_000 * self.clock)
    }

    fn leader(&self) -> Option<usize> {
        self.servers.iter().position(|server| server.up && server.leads)
    }

    /// Whether questions reach a host that is up: by way of routers, once control does not hear of it any more.
    fn is_reached(&self, number: usize) -> bool {
        let relays = self.left.flaw != Some(Flaw::NoRelays) && self.silent.contains_key(NAMES[number]);
        !self.servers[number].hidden || relays
    }

    /// Lets the promotion decide, with hosts as they told control of themselves.
    fn decide(
        &mut self,
        act: impl FnOnce(&mut Promotion, Timestamp, &HostsSnapshot<'_>, &mut Vec<PromotionRequest>),
    ) {
        let (now, mut cell, mut asks) = (self.now(), HostRegistry::default(), Vec::new());
        for (number, server) in self.servers.iter().enumerate() {
            let (leads, draining) = server.told;
            cell.merge_report(
                now,
                Host {
                    id: NAMES[number].into(),
                    service: "s".into(),
                    ip: number as u32,
                    role: if leads { DbRole::Primary } else { DbRole::Replica } as i32,
                    phase: if draining { Phase::Draining } else { Phase::InService } as i32,
                    call_seq: 1,
                    ..Host::default()
                },
            );
        }
        let sight = HostsSnapshot { registry: &cell, silent: &self.silent, departed: &[] };
        act(&mut self.promotion, now, &sight, &mut asks);
        for ask in asks {
            match &ask {
                PromotionRequest::Promote { host, .. } => self.calls.push(host.clone()),
                PromotionRequest::Observe { host }
                | PromotionRequest::Pause { host, .. }
                | PromotionRequest::Continue { host } => {
                    let queue = &mut self.servers[place(host)].queue;
                    if !is_redundant(queue.iter(), &ask) {
                        queue.push_back(ask);
                    }
                }
            }
        }
        if self.left.flaw == Some(Flaw::AskedOnce) && self.promotion.stage == Stage::Idle {
            self.promotion = Promotion::new("s");
        }
    }

    fn hear(&mut self, reply: Reply) {
        let reply = match reply {
            Reply::NoResponse { host }
                if self.left.flaw == Some(Flaw::SilentHasNothing)
                    && !matches!(self.promotion.stage, Stage::Checking { .. }) =>
            {
                let row = Observed { primary: false, term: 1, received: Position::default() };
                let kind = if matches!(self.promotion.stage, Stage::Fencing { .. }) {
                    RequestKind::Pause(self.promotion.attempt())
                } else {
                    RequestKind::Observe
                };
                Reply::Row { host, kind, row }
            }
            Reply::Row { host, kind: RequestKind::Observe, row }
                if self.left.flaw == Some(Flaw::AnyRowIsAPause)
                    && matches!(self.promotion.stage, Stage::Fencing { .. }) =>
            {
                Reply::Row { host, kind: RequestKind::Pause(self.promotion.attempt()), row }
            }
            reply => reply,
        };
        self.decide(|promotion, now, sight, asks| promotion.handle_reply(now, reply, sight, asks));
    }

    /// A host does what the next question asks of it.
    fn obey(&mut self, number: usize) -> Option<Reply> {
        let ask = self.servers[number].queue.pop_front()?;
        let flaw = self.left.flaw;
        let server = &mut self.servers[number];
        match &ask {
            // Nobody stops for a term that is no newer than the newest.
            PromotionRequest::Pause { term, .. } if !server.leads && *term > self.term => {
                server.paused = flaw != Some(Flaw::PausesNothing)
            }
            PromotionRequest::Continue { .. } => server.paused = false,
            _ => {}
        }
        let row = Observed { primary: server.leads, term: self.term, received: server.received() };
        Some(Reply::Row { host: NAMES[number].into(), kind: ask.request_kind()?, row })
    }

    /// The platform makes a host lead with what it has; what others have beyond that is cut back.
    fn promote(&mut self, host: &str) -> u16 {
        let candidate = place(host);
        if !self.servers[candidate].up {
            return 409;
        }
        if self.servers[candidate].leads {
            return 200;
        }
        self.term += 1;
        self.changes += 1;
        let log = self.servers[candidate].log.clone();
        if !self.acknowledged.iter().all(|commit| log.contains(commit)) {
            self.lost_commit = true;
        }
        for (number, server) in self.servers.iter_mut().enumerate() {
            server.leads = number == candidate;
            if server.up {
                server.paused = false;
                let common = server.log.iter().zip(&log).take_while(|(mine, its)| mine == its).count();
                server.log.truncate(common);
            }
        }
        200
    }
}

impl Model for Scene {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let server = |leads| Server {
            up: true,
            leads,
            paused: false,
            deaf: false,
            hidden: false,
            draining: false,
            log: Vec::new(),
            told: (leads, false),
            queue: VecDeque::new(),
        };
        vec![World {
            servers: vec![server(true), server(false), server(false)],
            term: 1,
            promotion: Promotion::new("s"),
            silent: BTreeMap::new(),
            crashed_at: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            calls: Vec::new(),
            late_calls: Vec::new(),
            replies: Vec::new(),
            left: self.clone(),
            changes: 0,
            lost_commit: false,
            clock: 0,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.lost_commit {
            return;
        }
        let (left, leader) = (&world.left, world.leader());
        // Questions wait 400 ms at most: before more are asked, the first has its answer.
        if let Some(number) = world.servers.iter().position(|server| server.queue.len() > 3) {
            steps.push(if world.servers[number].up && world.is_reached(number) {
                Step::Answer(number)
            } else {
                Step::QuestionLost(number)
            });
            return;
        }
        if leader.is_some() && left.commits > 0 {
            steps.push(Step::Commit);
        }
        for (number, server) in world.servers.iter().enumerate() {
            if server.up {
                let behind = leader.is_some_and(|leader| world.servers[leader].log != server.log);
                if behind && !server.paused && !server.deaf && !server.leads {
                    steps.push(Step::Replicate(number));
                }
                if left.crashes > 0 {
                    steps.push(Step::Crash(number));
                }
                if left.deaf > 0 && !server.leads && !server.deaf && number == 2 {
                    steps.push(Step::Deafen(number));
                }
                if left.hidden > 0 && !server.leads && !server.hidden && number == 2 {
                    steps.push(Step::Hide(number));
                }
                let is_silent = world.silent.contains_key(NAMES[number]);
                if !server.hidden && (server.told != (server.leads, server.draining) || is_silent) {
                    steps.push(Step::Call(number));
                }
                if server.hidden && !is_silent {
                    steps.push(Step::Miss(number));
                }
            } else {
                // Not borne, and said in the design note: a replica that is counted out, or has stopped, comes back within
                // the change, and receives from a primary that answers control no more and is alive.
                let changing = !matches!(world.promotion.stage, Stage::Idle | Stage::Checking { .. });
                if left.starts > 0 && !changing {
                    steps.push(Step::Start(number));
                }
                if !world.silent.contains_key(NAMES[number]) {
                    steps.push(Step::Miss(number));
                }
            }
            if !server.queue.is_empty() {
                let is_reached = server.up && world.is_reached(number);
                if is_reached {
                    steps.push(Step::Answer(number));
                }
                if left.lost > 0 && server.up {
                    steps.push(Step::AnswerLost(number));
                }
                if !is_reached || left.lost > 0 {
                    steps.push(Step::QuestionLost(number));
                }
            }
        }
        if left.planned && leader.is_some_and(|leader| !world.servers[leader].draining) && world.changes == 0
        {
            steps.push(Step::Drain);
        }
        if left.suspicions > 0 {
            steps.push(Step::Suspect);
        }
        steps.push(Step::Look);
        if !world.calls.is_empty() {
            steps.push(Step::Platform);
            if left.late > 0 {
                steps.extend([Step::PlatformLost, Step::PlatformLate]);
            }
        }
        if !world.late_calls.is_empty() {
            steps.push(Step::LateCall);
        }
        if !world.replies.is_empty() {
            steps.push(Step::Status);
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Commit => {
                let leader = world.leader()?;
                let (term, number) = (world.term, world.left.commits);
                world.left.commits -= 1;
                world.servers[leader].log.push((term, number));
            }
            Step::Replicate(number) => {
                let log = world.servers[world.leader()?].log.clone();
                let server = &mut world.servers[number];
                let common = server.log.iter().zip(&log).take_while(|(mine, its)| mine == its).count();
                server.log.truncate(common);
                server.log.extend(log.get(common));
                // Its primary lives, and answers its client.
                world.acknowledged.extend(log.get(common));
            }
            Step::Crash(number) => {
                world.left.crashes -= 1;
                world.servers[number].up = false;
                let now = world.now();
                world.crashed_at.insert(NAMES[number].into(), now);
            }
            Step::Start(number) => {
                world.left.starts -= 1;
                let other = world.servers.iter().any(|server| server.leads && server.up);
                let server = &mut world.servers[number];
                (server.up, server.paused) = (true, false);
                server.leads &= !other;
            }
            Step::Deafen(number) => {
                world.left.deaf -= 1;
                world.servers[number].deaf = true;
            }
            Step::Hide(number) => {
                world.left.hidden -= 1;
                world.servers[number].hidden = true;
                let now = world.now();
                world.crashed_at.insert(NAMES[number].into(), now);
            }
            Step::Drain => {
                let leader = world.leader()?;
                world.servers[leader].draining = true;
            }
            Step::Call(number) => {
                let server = &mut world.servers[number];
                server.told = (server.leads, server.draining);
                world.silent.remove(NAMES[number]);
            }
            Step::Miss(number) => {
                let name = NAMES[number].to_string();
                let since = world.crashed_at.get(&name).copied()?;
                world.silent.insert(name, since);
            }
            Step::Suspect => {
                world.left.suspicions -= 1;
                let primary = world.servers.iter().position(|server| server.told.0)?;
                world.decide(|promotion, now, sight, asks| {
                    promotion.suspect_primary(now, NAMES[primary], sight, asks);
                });
            }
            Step::Look => {
                world.decide(|promotion, now, sight, asks| promotion.poll(now, sight, asks));
                if world.left.flaw == Some(Flaw::NoFloors) {
                    world.silent.keys().for_each(|host| world.promotion.assume_no_floor(host));
                }
            }
            Step::Answer(number) => {
                let reply = world.obey(number)?;
                world.hear(reply);
            }
            Step::AnswerLost(number) => {
                world.left.lost -= 1;
                world.obey(number)?;
                world.servers[number].queue.clear();
                world.hear(Reply::NoResponse { host: NAMES[number].into() });
            }
            Step::QuestionLost(number) => {
                let is_reached = world.servers[number].up && world.is_reached(number);
                world.left.lost -= u8::from(is_reached);
                world.servers[number].queue.clear();
                world.hear(Reply::NoResponse { host: NAMES[number].into() });
            }
            Step::Platform => {
                let host = world.calls.remove(0);
                let status = world.promote(&host);
                world.replies.push(status);
            }
            Step::PlatformLost => {
                world.left.late -= 1;
                let host = world.calls.remove(0);
                world.promote(&host);
                world.replies.push(0);
            }
            Step::PlatformLate => {
                world.left.late -= 1;
                let host = world.calls.remove(0);
                world.late_calls.push(host);
                world.replies.push(0);
            }
            Step::LateCall => {
                let host = world.late_calls.remove(0);
                world.promote(&host);
            }
            Step::Status => {
                let status = world.replies.remove(0);
                world.hear(Reply::Platform { status });
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nothing lost", |_: &Scene, world: &World| !world.lost_commit),
            // One that is held goes on in the end: somebody will ask for it.
            Property::always("nobody is left behind", |_: &Scene, world: &World| {
                let held = |server: &Server| server.up && server.paused && server.queue.is_empty();
                let names = world.servers.iter().zip(NAMES).filter(|(server, _)| held(server));
                world.promotion.stage != Stage::Idle
                    || names.into_iter().all(|(_, name)| world.promotion.is_paused(name))
            }),
            Property::sometimes(LIVES, |_: &Scene, world: &World| {
                world.changes > 0 && world.promotion.stage == Stage::Idle
            }),
        ]
    }
}

fn scene(name: &str, flaw: Option<Flaw>) -> Option<Scene> {
    let base = Scene {
        flaw,
        commits: 2,
        crashes: 0,
        starts: 0,
        deaf: 0,
        hidden: 0,
        suspicions: 1,
        planned: false,
        lost: 0,
        late: 0,
    };
    Some(match name {
        "a crash" => Scene { crashes: 1, starts: 1, suspicions: 2, ..base },
        "a replica before the primary" => Scene { crashes: 2, deaf: 1, starts: 1, ..base },
        "a plan" => Scene { planned: true, suspicions: 1, lost: 2, ..base },
        "a plan and a crash" => Scene { planned: true, crashes: 1, ..base },
        "a late platform" => Scene { crashes: 1, late: 1, commits: 1, planned: true, ..base },
        "a hidden replica" => Scene { crashes: 1, hidden: 1, ..base },
        "lost answers" => Scene { crashes: 1, lost: 2, starts: 1, ..base },
        _ => return None,
    })
}

pub const SCENES: [&str; 7] = [
    "a crash",
    "a replica before the primary",
    "a plan",
    "a plan and a crash",
    "a late platform",
    "a hidden replica",
    "lost answers",
];

/// Explores a scene, with something wrong on purpose or with nothing; nothing where there is no such scene.
pub fn check(name: &str, flaw: Option<Flaw>) -> Option<Checked> {
    Some(explored(scene(name, flaw)?, flaw.is_some()))
}
