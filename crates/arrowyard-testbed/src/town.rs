//! The state behind all stand-ins: groups with their logs, hosts with their roles and scripts, and the ledger.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;
use tokio::task::AbortHandle;

use crate::discovery::{Mood, Side};
use crate::{discovery, host};

pub fn unix_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as i64)
}

/// What a host does with a command.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    Serve,
    /// Serves after so long, each command.
    Slow(Duration),
    /// Reads, and never answers; nothing runs.
    Hang,
    /// 53300: queue full.
    TurnAway,
    /// XX000, and nothing ran.
    Fail,
    /// Closes the connection in place of an answer, and nothing ran.
    Break,
    /// Closes the connection in place of an answer, after it ran.
    LoseAnswer,
    /// Answers with noise, after it ran.
    Spoil,
    /// 25006, whatever its role, and nothing ran.
    Miss,
    /// A whole answer, and the connection ends before the word that the host is ready.
    ServeAndBreak,
    /// An answer with its row twice.
    ServeTwice,
    /// A value of so many bytes.
    ServeLarge(usize),
    /// A whole answer and, right after it, word that it never ran.
    ServeAndDeny,
    /// Ready without an answer, which comes a little later.
    ReadyEarly,
    /// Of a result in batches: the connection ends after so many of them, after it ran.
    CutAfter(usize),
    /// Answers each call with what the one before asked for.
    Mixed,
}

/// One host, as it is started.
#[derive(Clone, Debug)]
pub struct Spec {
    pub name: String,
    pub group: i64,
    pub primary: bool,
    /// How far behind the primary it applies.
    pub lag: Duration,
    /// How long a command takes, and how many it works on at once; more wait in a queue, and beyond its length they are
    /// turned away.
    pub service: Duration,
    pub slots: usize,
    pub queue: usize,
    /// Whether it speaks Arrow Flight SQL, and then of how many batches of how many bytes a result is.
    pub flight: bool,
    pub batches: usize,
    pub batch_bytes: usize,
}

impl Spec {
    pub fn new(name: &str, group: i64, primary: bool) -> Self {
        let (lag, service) = (Duration::from_millis(10), Duration::ZERO);
        let (name, flight, batches, batch_bytes) = (name.to_string(), false, 1, 0);
        Spec { name, group, primary, lag, service, slots: 1024, queue: 1024, flight, batches, batch_bytes }
    }
}

/// A write that a group holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    pub position: i64,
    pub turn: String,
    pub session: String,
}

#[derive(Default)]
pub(crate) struct Group {
    pub log: Vec<Record>,
    /// By token: when it was first seen, and the record's position.
    pub tokens: HashMap<String, (i64, i64)>,
}

pub(crate) struct HostState {
    pub spec: Spec,
    pub address: SocketAddr,
    pub act: Act,
    pub born_ms: i64,
    pub health: &'static str,
    /// Positions stand still from here on.
    pub stalled_at: Option<i64>,
    pub busy: usize,
    pub waiting: usize,
    /// When it was told that it drains, and commands that were sent to it since.
    pub commands: u64,
    pub tasks: Vec<AbortHandle>,
    pub changed: u64,
    /// How many milliseconds ahead of the clock its positions are.
    pub ahead: i64,
    pub accepted: usize,
    /// The first statements that it read, each with the number of its connection.
    pub heard: Vec<(usize, String)>,
    /// The numbers of the connections that ended.
    pub ended: Vec<usize>,
    /// When it was told to drain, and commands that came later than the grace after that.
    pub drained_at: Option<i64>,
    pub late: u64,
    #[cfg(feature = "flight")]
    pub cuts: Vec<std::sync::Arc<crate::flight::host::Cut>>,
}

/// How long after a drain was told a command may still come, in milliseconds: the grace that routers are given, and
/// some for the way of the word.
pub(crate) const GRACE_MS: i64 = 500 + 100;

/// Statements, and ends of connections, that are kept of a host.
pub(crate) const KEPT: usize = 4096;

/// What was applied, and what was answered.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// By turn: where it was applied, each time.
    pub applied: HashMap<String, Vec<(String, i64)>>,
    /// Commands by host.
    pub commands: BTreeMap<String, u64>,
}

pub(crate) struct State {
    pub groups: BTreeMap<i64, Group>,
    pub hosts: BTreeMap<String, HostState>,
    pub ledger: Ledger,
    pub memory: Duration,
    pub version: u64,
    /// Discovery neither accepts nor answers.
    pub undiscovered: bool,
    /// Watches are opened, and say nothing.
    pub mute: bool,
    /// The first lines of calls to discovery, and where they came.
    pub calls: Vec<(SocketAddr, String)>,
    /// When each call came, and how calls are answered.
    pub called: Vec<i64>,
    pub mood: Mood,
    /// Hosts that are listed and not there: when each last changed, and its health.
    pub extras: Vec<(u64, &'static str)>,
    /// Of listeners that are one process's own.
    pub sides: HashMap<SocketAddr, Side>,
}

impl State {
    /// What a host of the group has applied at this time: up to here.
    pub fn position(&self, name: &str, now: i64) -> i64 {
        let host = &self.hosts[name];
        if host.spec.primary && host.stalled_at.is_none() {
            // Of many writes in one millisecond the last ones have positions ahead of the clock; it holds them.
            let last = self.groups.get(&host.spec.group).and_then(|group| group.log.last());
            return last.map_or(now, |last| now.max(last.position)) + host.ahead;
        }
        let lag = if host.spec.primary { 0 } else { host.spec.lag.as_millis() as i64 };
        host.stalled_at.unwrap_or(now).min(now) - lag + host.ahead
    }
}

/// Hosts, discovery and the ledger, on threads of their own till it is dropped.
pub struct Town {
    state: Arc<Mutex<State>>,
    news: watch::Sender<u64>,
    pub discovery: SocketAddr,
    runtime: Option<Runtime>,
}

pub(crate) type Shared = Arc<Mutex<State>>;

pub(crate) fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().expect("no stand-in panics while it holds the state")
}

impl Town {
    pub fn start(specs: &[Spec]) -> Town {
        let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let runtime = runtime.expect("threads can be had");
        let state = State {
            groups: BTreeMap::new(),
            hosts: BTreeMap::new(),
            ledger: Ledger::default(),
            memory: Duration::from_millis(2000),
            version: 1,
            undiscovered: false,
            mute: false,
            calls: Vec::new(),
            called: Vec::new(),
            mood: Mood::Plain,
            extras: Vec::new(),
            sides: HashMap::new(),
        };
        let state = Arc::new(Mutex::new(state));
        let (news, heard) = watch::channel(1);
        let discovery = runtime.block_on(discovery::start(state.clone(), heard));
        let town = Town { state, news, discovery, runtime: Some(runtime) };
        specs.iter().for_each(|spec| town.add(spec.clone(), 0));
        town
    }

    fn runtime(&self) -> &Runtime {
        self.runtime.as_ref().expect("it is there till the town is dropped")
    }

    /// Starts a host; `born_ms` 0 is long ago.
    pub fn add(&self, spec: Spec, born_ms: i64) {
        let name = spec.name.clone();
        let listener = self.runtime().block_on(host::bind(None));
        let address = listener.local_addr().expect("it is bound");
        {
            let mut state = lock(&self.state);
            state.version += 1;
            state.groups.entry(spec.group).or_default();
            let (act, health, stalled_at, tasks) = (Act::Serve, "SERVING", None, Vec::new());
            let (busy, waiting, commands, changed) = (0, 0, 0, state.version);
            let (ahead, accepted, heard, ended) = Default::default();
            let (drained_at, late) = (None, 0);
            let one = HostState {
                spec,
                address,
                act,
                born_ms,
                health,
                stalled_at,
                busy,
                waiting,
                commands,
                tasks,
                changed,
                ahead,
                accepted,
                heard,
                ended,
                drained_at,
                late,
                #[cfg(feature = "flight")]
                cuts: Vec::new(),
            };
            state.hosts.insert(name.clone(), one);
        }
        self.serve(name, listener);
        self.tell();
    }

    /// Discovery's list has changed.
    fn tell(&self) {
        let version = lock(&self.state).version;
        self.news.send_replace(version);
    }

    fn change(&self, name: &str, change: impl FnOnce(&mut HostState)) {
        {
            let mut state = lock(&self.state);
            state.version += 1;
            let version = state.version;
            let host = state.hosts.get_mut(name).expect("a host of this town");
            change(host);
            host.changed = version;
        }
        self.tell();
    }

    pub fn act(&self, name: &str, act: Act) {
        lock(&self.state).hosts.get_mut(name).expect("a host of this town").act = act;
    }

    pub fn drain(&self, name: &str) {
        self.change(name, |host| (host.health, host.drained_at) = ("DRAINING", Some(unix_ms())));
    }

    pub fn stall(&self, name: &str) {
        lock(&self.state).hosts.get_mut(name).expect("a host of this town").stalled_at = Some(unix_ms());
    }

    /// The process dies: connections end, new ones are refused.
    pub fn kill(&self, name: &str) {
        let tasks = {
            let mut state = lock(&self.state);
            let host = state.hosts.get_mut(name).expect("a host of this town");
            (host.busy, host.waiting) = (0, 0);
            #[cfg(feature = "flight")]
            std::mem::take(&mut host.cuts).iter().for_each(|cut| cut.now());
            std::mem::take(&mut host.tasks)
        };
        tasks.iter().for_each(AbortHandle::abort);
    }

    /// It starts anew at its address, as a replica.
    pub fn revive(&self, name: &str) {
        let address = self.address(name);
        let listener = self.runtime().block_on(host::bind(Some(address)));
        self.change(name, |host| {
            (host.spec.primary, host.born_ms, host.act) = (false, unix_ms(), Act::Serve);
            (host.health, host.drained_at) = ("SERVING", None);
        });
        self.serve(name.to_string(), listener);
    }

    fn serve(&self, name: String, listener: tokio::net::TcpListener) {
        let _guard = self.runtime().enter();
        #[cfg(feature = "flight")]
        if lock(&self.state).hosts[&name].spec.flight {
            return crate::flight::host::serve(self.state.clone(), name, listener);
        }
        host::serve(self.state.clone(), name, listener);
    }

    /// A replica takes over, and nothing is lost: it had applied all.
    pub fn hand_over(&self, name: &str) {
        self.lead(name);
    }

    /// A replica takes over; what it had not applied is lost.
    pub fn promote(&self, name: &str) {
        let now = unix_ms();
        {
            let mut state = lock(&self.state);
            let position = state.position(name, now);
            let group = state.hosts[name].spec.group;
            let of = state.groups.entry(group).or_default();
            of.log.retain(|record| record.position <= position);
            of.tokens.retain(|_, (_, at)| *at <= position);
        }
        self.lead(name);
    }

    fn lead(&self, name: &str) {
        let group = lock(&self.state).hosts[name].spec.group;
        let others: Vec<String> = {
            let state = lock(&self.state);
            let members = state.hosts.values().filter(|host| host.spec.group == group && host.spec.primary);
            members.map(|host| host.spec.name.clone()).collect()
        };
        others.iter().for_each(|other| self.change(other, |host| host.spec.primary = false));
        self.change(name, |host| host.spec.primary = true);
    }

    /// The records of one group are put into another, those that are not there yet, as a copy of the operator's would.
    /// The target's position from which on it holds them.
    pub fn copy(&self, from: i64, to: i64, through: i64) -> i64 {
        let mut state = lock(&self.state);
        let source = state.groups.get(&from).map(|group| group.log.clone()).unwrap_or_default();
        let now = unix_ms();
        let target = state.groups.entry(to).or_default();
        let held: std::collections::HashSet<String> =
            target.log.iter().map(|record| record.turn.clone()).collect();
        let copied =
            source.into_iter().filter(|record| record.position <= through && !held.contains(&record.turn));
        target.log.extend(copied.map(|record| Record { position: now, ..record }));
        now
    }

    pub fn undiscovered(&self, down: bool) {
        lock(&self.state).undiscovered = down;
    }

    /// Watches are opened from now on, and say nothing.
    pub fn mute(&self) {
        lock(&self.state).mute = true;
    }

    /// How discovery answers calls from now on. Watches that stand go on as they are.
    pub fn mood(&self, mood: Mood) {
        lock(&self.state).mood = mood;
    }

    /// So many hosts are listed beside those of the town, which nobody asks for; of those that were before, these are told
    /// to have changed: every so many, from this one on.
    pub fn extras(&self, count: usize, from: usize, every: usize) {
        {
            let mut state = lock(&self.state);
            state.version += 1;
            let version = state.version;
            for (_, extra) in state.extras.iter_mut().enumerate().filter(|(at, _)| at % every == from % every)
            {
                *extra = (version, if extra.1 == "SERVING" { "DRAINING" } else { "SERVING" });
            }
            state.extras.resize(count, (version, "SERVING"));
        }
        self.tell();
    }

    /// The whole list as it is now.
    pub fn list(&self) -> serde_json::Value {
        discovery::draft(&lock(&self.state), None, None).list()
    }

    /// Discovery has lost its state: it counts its lists from the beginning. Watches go on with what they are told next.
    pub fn forget_versions(&self) {
        let mut state = lock(&self.state);
        state.version = 1;
        state.hosts.values_mut().for_each(|host| host.changed = 1);
    }

    /// The host is gone from the list.
    pub fn remove(&self, name: &str) {
        self.change(name, |host| (host.health, host.drained_at) = ("DELETED", Some(unix_ms())));
    }

    /// When discovery was called, in Unix milliseconds.
    pub fn called(&self) -> Vec<i64> {
        lock(&self.state).called.clone()
    }

    /// The first lines of the calls that discovery had at the address.
    pub fn calls(&self, at: SocketAddr) -> Vec<String> {
        let state = lock(&self.state);
        state.calls.iter().filter(|(to, _)| *to == at).map(|(_, call)| call.clone()).collect()
    }

    /// Starts discovery at one more address.
    pub fn discover(&self) -> SocketAddr {
        let (state, news) = (self.state.clone(), self.news.subscribe());
        self.runtime().block_on(discovery::start(state, news))
    }

    /// Discovery at this address names hosts by other addresses: by the real one, the one that it names.
    pub fn faces(&self, at: SocketAddr, face: impl Fn(SocketAddr) -> SocketAddr) {
        let mut state = lock(&self.state);
        let dials =
            state.hosts.values().map(|host| (host.address.to_string(), face(host.address).to_string()));
        let dials = dials.collect();
        state.sides.entry(at).or_default().dials = dials;
    }

    /// Discovery at this address is cut off, or there again: watches end, calls get no answer.
    pub fn cut_discovery(&self, at: SocketAddr, cut: bool) {
        lock(&self.state).sides.entry(at).or_default().cut = cut;
        // So that watches look.
        self.tell();
    }

    /// The host's positions are so many milliseconds ahead of the clock.
    pub fn ahead(&self, name: &str, millis: i64) {
        lock(&self.state).hosts.get_mut(name).expect("a host of this town").ahead = millis;
    }

    /// The statements that the host read, each with the number of its connection.
    pub fn heard(&self, name: &str) -> Vec<(usize, String)> {
        lock(&self.state).hosts[name].heard.clone()
    }

    /// The numbers of the host's connections that ended.
    pub fn ended(&self, name: &str) -> Vec<usize> {
        lock(&self.state).hosts[name].ended.clone()
    }

    pub fn is_primary(&self, name: &str) -> bool {
        lock(&self.state).hosts[name].spec.primary
    }

    /// Commands that came to the host later than the grace after it was told to drain.
    pub fn late(&self, name: &str) -> u64 {
        lock(&self.state).hosts[name].late
    }

    /// The version of discovery's list.
    pub fn version(&self) -> u64 {
        lock(&self.state).version
    }

    /// Discovery names another address for the host from now on: of a peer that a test plays itself.
    pub fn stand_in(&self, name: &str, address: SocketAddr) {
        self.change(name, |host| host.address = address);
    }

    pub fn address(&self, name: &str) -> SocketAddr {
        lock(&self.state).hosts[name].address
    }

    pub fn ledger(&self) -> Ledger {
        lock(&self.state).ledger.clone()
    }

    pub fn log(&self, group: i64) -> Vec<Record> {
        lock(&self.state).groups.get(&group).map(|group| group.log.clone()).unwrap_or_default()
    }

    /// The list as a router is handed it at its start.
    pub fn known(&self) -> serde_json::Value {
        discovery::draft(&lock(&self.state), None, None).list()
    }
}

impl Drop for Town {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
