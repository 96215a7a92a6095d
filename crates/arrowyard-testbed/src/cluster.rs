//! The simulated systems and their shared state: groups with their records, hosts with their roles and
//! configured behavior, discovery, and the ledger of applied writes.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;
use tokio::task::AbortHandle;

use crate::discovery::{DiscoveryBehavior, ListenerState};
use crate::{discovery, host};

/// The current time in Unix milliseconds.
pub fn unix_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as i64)
}

/// How a host handles commands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HostBehavior {
    /// Executes commands and replies.
    Serve,
    /// Executes each command after this delay.
    Slow(Duration),
    /// Reads commands, executes none and does not reply.
    Hang,
    /// Rejects with SQLSTATE 53300, as with a full queue.
    RejectOverloaded,
    /// Fails with SQLSTATE XX000 without executing the command.
    FailBeforeRun,
    /// Closes the connection without executing the command.
    DisconnectBeforeRun,
    /// Executes the command and closes the connection without a reply.
    DisconnectAfterRun,
    /// Executes the command and replies with invalid bytes.
    ReplyGarbage,
    /// Rejects with SQLSTATE 25006 in any role, without executing the command.
    RejectReadOnly,
    /// Sends the complete result and closes the connection before ReadyForQuery.
    ReplyAndDisconnect,
    /// Sends the rows of the result twice.
    ReplyTwice,
    /// Replies with a value of this many bytes.
    ReplyLarge(usize),
    /// Sends the complete result followed by an overload error.
    ReplyAndReject,
    /// Sends ReadyForQuery first and the result a little later.
    ReadyBeforeReply,
    /// Executes the command and closes the connection after this many batches of the result.
    DisconnectAfterBatches(usize),
    /// Marks each reply with the id of another op.
    MislabelReply,
}

/// Configuration of a host.
#[derive(Clone, Debug)]
pub struct HostSpec {
    pub name: String,
    /// Number of its replication group.
    pub group: i64,
    /// Whether it starts as the group's primary.
    pub primary: bool,
    /// Delay with which a replica applies writes.
    pub lag: Duration,
    /// Execution time of a command.
    pub service_time: Duration,
    /// Number of commands executed at once.
    pub slots: usize,
    /// Number of commands that may wait for a slot; further ones are rejected.
    pub queue_capacity: usize,
    /// Whether it serves Arrow Flight SQL instead of PostgreSQL's protocol.
    pub flight: bool,
    /// Number and size in bytes of the batches of a Flight SQL result.
    pub batches: usize,
    pub batch_bytes: usize,
}

impl HostSpec {
    /// A PostgreSQL host without queueing or execution time.
    pub fn new(name: &str, group: i64, primary: bool) -> Self {
        let (lag, service_time) = (Duration::from_millis(10), Duration::ZERO);
        let (name, flight, batches, batch_bytes) = (name.to_string(), false, 1, 0);
        HostSpec {
            name,
            group,
            primary,
            lag,
            service_time,
            slots: 1024,
            queue_capacity: 1024,
            flight,
            batches,
            batch_bytes,
        }
    }
}

/// A write stored by a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Time of the commit in Unix milliseconds. Writes of one millisecond share a position.
    pub position: i64,
    /// The write's idempotency token, or its op id if it has none.
    pub write_id: String,
    pub session: String,
}

/// State of a group of hosts.
#[derive(Default)]
pub(crate) struct Group {
    pub records: Vec<Record>,
    /// By idempotency token: the time of the first write with it and the record's position.
    pub tokens: HashMap<String, (i64, i64)>,
}

/// State of a host.
pub(crate) struct HostState {
    pub spec: HostSpec,
    pub address: SocketAddr,
    pub behavior: HostBehavior,
    /// Its listed start time in Unix milliseconds.
    pub started_ms: i64,
    /// Its listed health.
    pub health: &'static str,
    /// Position at which replication has stopped.
    pub stalled_at: Option<i64>,
    /// Number of commands that hold an execution slot.
    pub running_commands: usize,
    /// Number of commands that wait for an execution slot.
    pub queued_commands: usize,
    /// Number of commands received.
    pub received_commands: u64,
    /// Its accept loop and its connections.
    pub tasks: Vec<AbortHandle>,
    /// Version of discovery's list in which the host last changed.
    pub changed_version: u64,
    /// Milliseconds by which its reported positions are ahead of the clock.
    pub position_offset_ms: i64,
    /// Number of accepted connections, which are numbered from 0.
    pub accepted_connections: usize,
    /// The first statements received, each with its connection's number.
    pub received_statements: Vec<(usize, String)>,
    /// Numbers of closed connections.
    pub closed_connections: Vec<usize>,
    /// When its drain began.
    pub drain_started_ms: Option<i64>,
    /// Number of commands received after the drain's grace period.
    pub late_commands: u64,
    #[cfg(feature = "flight")]
    pub connection_aborts: Vec<std::sync::Arc<crate::flight::host::ConnectionAbort>>,
}

/// Time after the start of a drain in which commands may still arrive, in milliseconds: the grace period
/// that routers are configured with, and an allowance for the delivery of the host list.
pub(crate) const DRAIN_GRACE_MS: i64 = 500 + 100;

/// Maximum number of statements, and of closed connections, recorded per host.
pub(crate) const MAX_RECORDED: usize = 4096;

/// Writes applied and commands received.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// By write id: the host and position of each time it was applied.
    pub applied: HashMap<String, Vec<(String, i64)>>,
    /// Number of commands by host.
    pub commands: BTreeMap<String, u64>,
}

/// State shared by hosts and discovery.
pub(crate) struct State {
    pub groups: BTreeMap<i64, Group>,
    pub hosts: BTreeMap<String, HostState>,
    pub ledger: Ledger,
    /// How long hosts remember idempotency tokens.
    pub token_retention: Duration,
    /// Version of discovery's list.
    pub list_version: u64,
    /// Discovery closes new connections without a response.
    pub discovery_down: bool,
    /// New watches are accepted but send nothing.
    pub new_watches_silent: bool,
    /// Request lines received by discovery, with the listener's address.
    pub discovery_requests: Vec<(SocketAddr, String)>,
    /// Time of each request to discovery, in Unix milliseconds.
    pub discovery_call_times: Vec<i64>,
    pub discovery_behavior: DiscoveryBehavior,
    /// Hosts that are listed but do not exist: the list version of the last change, and the health.
    pub extra_hosts: Vec<(u64, &'static str)>,
    /// State of discovery's listeners by address.
    pub listeners: HashMap<SocketAddr, ListenerState>,
}

impl State {
    /// The position up to which the host has applied its group's writes at `now`.
    pub fn position(&self, name: &str, now: i64) -> i64 {
        let host = &self.hosts[name];
        if host.spec.primary && host.stalled_at.is_none() {
            // A primary has applied all its records, also one whose position is ahead of the clock.
            let last = self.groups.get(&host.spec.group).and_then(|group| group.records.last());
            return last.map_or(now, |last| now.max(last.position)) + host.position_offset_ms;
        }
        let lag = if host.spec.primary { 0 } else { host.spec.lag.as_millis() as i64 };
        host.stalled_at.unwrap_or(now).min(now) - lag + host.position_offset_ms
    }
}

/// Simulated hosts, discovery and the ledger. They run on threads of their own until this is dropped.
pub struct Cluster {
    state: Arc<Mutex<State>>,
    list_versions: watch::Sender<u64>,
    /// Address of discovery's first listener.
    pub discovery_address: SocketAddr,
    runtime: Option<Runtime>,
}

/// The state shared with the hosts' and discovery's tasks.
pub(crate) type Shared = Arc<Mutex<State>>;

pub(crate) fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().expect("the lock is not poisoned")
}

impl Cluster {
    /// Starts discovery and the hosts.
    pub fn start(specs: &[HostSpec]) -> Cluster {
        let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let runtime = runtime.expect("the runtime starts");
        let state = State {
            groups: BTreeMap::new(),
            hosts: BTreeMap::new(),
            ledger: Ledger::default(),
            token_retention: Duration::from_millis(2000),
            list_version: 1,
            discovery_down: false,
            new_watches_silent: false,
            discovery_requests: Vec::new(),
            discovery_call_times: Vec::new(),
            discovery_behavior: DiscoveryBehavior::Normal,
            extra_hosts: Vec::new(),
            listeners: HashMap::new(),
        };
        let state = Arc::new(Mutex::new(state));
        let (list_versions, receiver) = watch::channel(1);
        let discovery_address = runtime.block_on(discovery::start(state.clone(), receiver));
        let cluster = Cluster { state, list_versions, discovery_address, runtime: Some(runtime) };
        specs.iter().for_each(|spec| cluster.add_host(spec.clone(), 0));
        cluster
    }

    fn runtime(&self) -> &Runtime {
        self.runtime.as_ref().expect("the runtime exists until the drop")
    }

    /// Starts a host; `started_ms` is its listed start time in Unix milliseconds.
    pub fn add_host(&self, spec: HostSpec, started_ms: i64) {
        let name = spec.name.clone();
        let listener = self.runtime().block_on(host::bind(None));
        let address = listener.local_addr().expect("the socket is bound");
        {
            let mut state = lock(&self.state);
            state.list_version += 1;
            state.groups.entry(spec.group).or_default();
            let (behavior, health, stalled_at, tasks) = (HostBehavior::Serve, "SERVING", None, Vec::new());
            let (running_commands, queued_commands, received_commands, changed_version) =
                (0, 0, 0, state.list_version);
            let (position_offset_ms, accepted_connections, received_statements, closed_connections) =
                Default::default();
            let (drain_started_ms, late_commands) = (None, 0);
            let host = HostState {
                spec,
                address,
                behavior,
                started_ms,
                health,
                stalled_at,
                running_commands,
                queued_commands,
                received_commands,
                tasks,
                changed_version,
                position_offset_ms,
                accepted_connections,
                received_statements,
                closed_connections,
                drain_started_ms,
                late_commands,
                #[cfg(feature = "flight")]
                connection_aborts: Vec::new(),
            };
            state.hosts.insert(name.clone(), host);
        }
        self.serve(name, listener);
        self.notify_watches();
    }

    fn notify_watches(&self) {
        let version = lock(&self.state).list_version;
        self.list_versions.send_replace(version);
    }

    fn change_host(&self, name: &str, change: impl FnOnce(&mut HostState)) {
        {
            let mut state = lock(&self.state);
            state.list_version += 1;
            let version = state.list_version;
            let host = state.hosts.get_mut(name).expect("the host exists");
            change(host);
            host.changed_version = version;
        }
        self.notify_watches();
    }

    /// Sets how the host handles commands from now on.
    pub fn set_behavior(&self, name: &str, behavior: HostBehavior) {
        lock(&self.state).hosts.get_mut(name).expect("the host exists").behavior = behavior;
    }

    /// Lists the host as draining.
    pub fn drain(&self, name: &str) {
        self.change_host(name, |host| (host.health, host.drain_started_ms) = ("DRAINING", Some(unix_ms())));
    }

    /// Stops replication at the host's current position.
    pub fn stall_replication(&self, name: &str) {
        lock(&self.state).hosts.get_mut(name).expect("the host exists").stalled_at = Some(unix_ms());
    }

    /// Kills the host: its connections are closed and new ones refused.
    pub fn kill(&self, name: &str) {
        let tasks = {
            let mut state = lock(&self.state);
            let host = state.hosts.get_mut(name).expect("the host exists");
            (host.running_commands, host.queued_commands) = (0, 0);
            #[cfg(feature = "flight")]
            std::mem::take(&mut host.connection_aborts).iter().for_each(|connection| connection.abort());
            std::mem::take(&mut host.tasks)
        };
        tasks.iter().for_each(AbortHandle::abort);
    }

    /// Restarts a killed host at its address, as a replica.
    pub fn restart_as_replica(&self, name: &str) {
        let address = self.address(name);
        let listener = self.runtime().block_on(host::bind(Some(address)));
        self.change_host(name, |host| {
            (host.spec.primary, host.started_ms, host.behavior) = (false, unix_ms(), HostBehavior::Serve);
            (host.health, host.drain_started_ms) = ("SERVING", None);
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

    /// Makes a replica that has applied all writes the primary.
    pub fn switchover(&self, name: &str) {
        self.set_primary(name);
    }

    /// Makes a replica the primary; writes that it has not applied are lost.
    pub fn failover(&self, name: &str) {
        let now = unix_ms();
        {
            let mut state = lock(&self.state);
            let position = state.position(name, now);
            let group = state.hosts[name].spec.group;
            let group = state.groups.entry(group).or_default();
            group.records.retain(|record| record.position <= position);
            group.tokens.retain(|_, (_, record_position)| *record_position <= position);
        }
        self.set_primary(name);
    }

    fn set_primary(&self, name: &str) {
        let group = lock(&self.state).hosts[name].spec.group;
        let former_primaries: Vec<String> = {
            let state = lock(&self.state);
            let primaries = state.hosts.values().filter(|host| host.spec.group == group && host.spec.primary);
            primaries.map(|host| host.spec.name.clone()).collect()
        };
        former_primaries.iter().for_each(|former| self.change_host(former, |host| host.spec.primary = false));
        self.change_host(name, |host| host.spec.primary = true);
    }

    /// Copies the records of one group with positions up to `through_position` to another group, except those
    /// already there. Returns the target's position from which on it holds them.
    pub fn copy_records(&self, source_group: i64, target_group: i64, through_position: i64) -> i64 {
        let mut state = lock(&self.state);
        let source_records =
            state.groups.get(&source_group).map(|group| group.records.clone()).unwrap_or_default();
        let now = unix_ms();
        let target = state.groups.entry(target_group).or_default();
        let stored_ids: std::collections::HashSet<String> =
            target.records.iter().map(|record| record.write_id.clone()).collect();
        let copied_records = source_records
            .into_iter()
            .filter(|record| record.position <= through_position && !stored_ids.contains(&record.write_id));
        target.records.extend(copied_records.map(|record| Record { position: now, ..record }));
        now
    }

    /// Makes discovery unavailable, or available again.
    pub fn set_discovery_down(&self, down: bool) {
        lock(&self.state).discovery_down = down;
    }

    /// New watches are accepted from now on but send nothing; open ones continue.
    pub fn silence_new_watches(&self) {
        lock(&self.state).new_watches_silent = true;
    }

    /// Sets how discovery responds to requests from now on. Open watches are not affected.
    pub fn set_discovery_behavior(&self, behavior: DiscoveryBehavior) {
        lock(&self.state).discovery_behavior = behavior;
    }

    /// Lists `count` further hosts that do not exist. Of those listed before, every `every`th, starting at
    /// `from`, changes its health.
    pub fn list_extra_hosts(&self, count: usize, from: usize, every: usize) {
        {
            let mut state = lock(&self.state);
            state.list_version += 1;
            let version = state.list_version;
            for (_, extra_host) in
                state.extra_hosts.iter_mut().enumerate().filter(|(index, _)| index % every == from % every)
            {
                *extra_host = (version, if extra_host.1 == "SERVING" { "DRAINING" } else { "SERVING" });
            }
            state.extra_hosts.resize(count, (version, "SERVING"));
        }
        self.notify_watches();
    }

    /// The complete host list.
    pub fn host_list(&self) -> serde_json::Value {
        discovery::list_snapshot(&lock(&self.state), None, None).into_json()
    }

    /// Restarts discovery's version counter, as after the loss of its state. Open watches continue.
    pub fn reset_list_version(&self) {
        let mut state = lock(&self.state);
        state.list_version = 1;
        state.hosts.values_mut().for_each(|host| host.changed_version = 1);
    }

    /// Lists the host as deleted.
    pub fn remove_host(&self, name: &str) {
        self.change_host(name, |host| (host.health, host.drain_started_ms) = ("DELETED", Some(unix_ms())));
    }

    /// Times of all requests to discovery, in Unix milliseconds.
    pub fn discovery_call_times(&self) -> Vec<i64> {
        lock(&self.state).discovery_call_times.clone()
    }

    /// Request lines received by discovery's listener at `address`.
    pub fn discovery_requests(&self, address: SocketAddr) -> Vec<String> {
        let state = lock(&self.state);
        state
            .discovery_requests
            .iter()
            .filter(|(listener, _)| *listener == address)
            .map(|(_, request)| request.clone())
            .collect()
    }

    /// Starts another listener of discovery and returns its address.
    pub fn start_discovery(&self) -> SocketAddr {
        let (state, list_versions) = (self.state.clone(), self.list_versions.subscribe());
        self.runtime().block_on(discovery::start(state, list_versions))
    }

    /// Makes discovery's listener at `listener` list `advertised(address)` in place of each host's address.
    pub fn set_advertised_addresses(
        &self,
        listener: SocketAddr,
        advertised: impl Fn(SocketAddr) -> SocketAddr,
    ) {
        let mut state = lock(&self.state);
        let addresses =
            state.hosts.values().map(|host| (host.address.to_string(), advertised(host.address).to_string()));
        let addresses = addresses.collect();
        state.listeners.entry(listener).or_default().advertised_addresses = addresses;
    }

    /// Cuts off discovery's listener at `listener`, or restores it. A cut closes its watches.
    pub fn set_discovery_cut(&self, listener: SocketAddr, cut: bool) {
        lock(&self.state).listeners.entry(listener).or_default().cut = cut;
        // Wakes the watches, which check for the cut.
        self.notify_watches();
    }

    /// Shifts the positions reported by the host by this many milliseconds.
    pub fn set_position_offset(&self, name: &str, offset_ms: i64) {
        lock(&self.state).hosts.get_mut(name).expect("the host exists").position_offset_ms = offset_ms;
    }

    /// Statements received by the host, each with the number of its connection.
    pub fn received_statements(&self, name: &str) -> Vec<(usize, String)> {
        lock(&self.state).hosts[name].received_statements.clone()
    }

    /// Numbers of the host's closed connections.
    pub fn closed_connections(&self, name: &str) -> Vec<usize> {
        lock(&self.state).hosts[name].closed_connections.clone()
    }

    /// Whether the host is the primary of its group.
    pub fn is_primary(&self, name: &str) -> bool {
        lock(&self.state).hosts[name].spec.primary
    }

    /// Number of commands that the host received after its drain's grace period.
    pub fn late_commands(&self, name: &str) -> u64 {
        lock(&self.state).hosts[name].late_commands
    }

    /// Version of discovery's list.
    pub fn list_version(&self) -> u64 {
        lock(&self.state).list_version
    }

    /// Lists another address for the host, at which a test simulates it.
    pub fn replace_address(&self, name: &str, address: SocketAddr) {
        self.change_host(name, |host| host.address = address);
    }

    /// The listed address of the host.
    pub fn address(&self, name: &str) -> SocketAddr {
        lock(&self.state).hosts[name].address
    }

    /// A copy of the ledger.
    pub fn ledger(&self) -> Ledger {
        lock(&self.state).ledger.clone()
    }

    /// The records stored by a group.
    pub fn records(&self, group: i64) -> Vec<Record> {
        lock(&self.state).groups.get(&group).map(|group| group.records.clone()).unwrap_or_default()
    }

    /// The host list in the configuration of a starting router.
    pub fn initial_host_list(&self) -> serde_json::Value {
        discovery::list_snapshot(&lock(&self.state), None, None).into_json()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
