//! Simulates routers, hosts, clients and the events between them in the order of their times.

use std::collections::{BTreeMap, HashMap};

use arrowyard::Router;
use arrowyard_types::*;
use fastrand::Rng;

use crate::host::Host;

/// Configuration of a simulation. Times are in simulated time.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    pub seed: u64,
    pub routers: usize,
    pub groups: usize,
    /// Hosts per group; the first one is the initial primary.
    pub hosts_per_group: usize,
    pub cores_per_host: usize,
    /// Ops per second of all routers together.
    pub ops_per_second: f64,
    /// Whether the host list names the primaries.
    pub list_names_primaries: bool,
    /// The share of its capacity that a host has at a cold start.
    pub cold_capacity: f64,
    /// The time from a cold start to the full capacity.
    pub warmup_time: TimeDelta,
    pub replica_lag: TimeDelta,
    /// Time without a primary after a group's primary has failed.
    pub failover_time: TimeDelta,
    /// How often a client retries an op that was rejected, failed, or lost with its router.
    pub client_retries: u32,
    /// The mean delay of a retry.
    pub client_retry_delay: TimeDelta,
}

impl Default for FleetConfig {
    fn default() -> Self {
        FleetConfig {
            seed: 7,
            routers: 30,
            groups: 8,
            hosts_per_group: 3,
            cores_per_host: 3,
            ops_per_second: 400.0,
            list_names_primaries: true,
            cold_capacity: 0.2,
            warmup_time: TimeDelta::from_millis(12_000),
            replica_lag: TimeDelta::from_millis(10),
            failover_time: TimeDelta::from_millis(4_000),
            client_retries: 0,
            client_retry_delay: TimeDelta::from_millis(200),
        }
    }
}

/// Counts over all routers since the last [`FleetSimulation::take_counts`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetCounts {
    pub requests: u64,
    /// Ops acked within the latency target, and later.
    pub acked_in_time: u64,
    pub acked_late: u64,
    /// Ops with a busy reply, and ops with an error reply or lost with their router.
    pub busy: u64,
    pub errored: u64,
    /// Ops that were never sent and got a busy or error reply after more than half of their timeout.
    pub late_rejections: u64,
    pub sends: u64,
    pub probes: u64,
    pub connects: u64,
    /// Retries by clients, which `requests` includes.
    pub client_retries: u64,
    pub writes: u64,
    pub writes_acked: u64,
}

/// A disturbance, scheduled with [`FleetSimulation::schedule_event`].
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// The primary of a group fails silently; another host is promoted after the failover time.
    PrimaryFailure(usize),
    /// All hosts of a group are replaced by cold ones, the last of which becomes primary.
    ReplaceHosts(usize),
    /// All hosts are slower than usual by this factor.
    Slowdown(f64),
    /// The hosts of a group are removed from the host list without replacement.
    RemoveGroup(usize),
    /// The first routers, as many as given, are killed at once and restarted with the initial host list.
    RestartRouters(usize),
}

/// An item of the simulation's schedule.
enum Scheduled {
    NewRequest,
    /// A client retries an op of this type and group; the last field counts the op's retries.
    ClientRetry(usize, GroupId, u32),
    Event(Event),
    /// In this group, this host becomes the primary.
    Promotion(usize, usize),
    /// The first field of these is the index of the router.
    TimerFired(usize, TimerId),
    ProbeEnded(usize, HostId, Outcome, HostStatus),
    SendEnded(usize, SendResult),
    HostListUpdate(usize, Vec<HostEntry>),
}

/// An op that a router has received and not finished.
struct InFlightOp {
    arrived_at: Timestamp,
    deadline: Timestamp,
    latency_target: TimeDelta,
    is_write: bool,
    /// Microseconds of a warm core.
    work: f64,
    send_count: u32,
    op_type: usize,
    group: GroupId,
    retries: u32,
}

/// A simulated fleet of routers with its hosts and clients.
pub struct FleetSimulation {
    config: FleetConfig,
    /// The simulated time.
    pub now: Timestamp,
    rng: Rng,
    routers: Vec<Router>,
    pub hosts: Vec<Host>,
    /// Primary of each group, and when the previous one failed.
    primaries: Vec<(Option<usize>, Timestamp)>,
    schedule: BTreeMap<(Timestamp, u64), Scheduled>,
    /// Orders scheduled items of the same time.
    sequence: u64,
    in_flight: HashMap<(usize, OpId), InFlightOp>,
    /// By router and host: the time at which each connection becomes or became idle.
    connections: HashMap<(usize, HostId), Vec<Timestamp>>,
    /// Definition, share of the requests, and mean work in microseconds of a warm core.
    op_types: Vec<(OpType, f64, f64)>,
    pub counts: FleetCounts,
    next_op_id: u64,
    settings: RouterSettings,
    initial_hosts: Vec<HostEntry>,
}

const HOST_IDLE_TIMEOUT: TimeDelta = TimeDelta::from_millis(12_000);
const CONNECT_TIMEOUT: TimeDelta = TimeDelta::from_millis(250);
/// A host rejects an op that would wait there for longer than this.
const MAX_QUEUE_TIME: TimeDelta = TimeDelta::from_millis(1_500);

/// Read consistency, effect, share of requests, mean milliseconds of a core, latency target, op timeout,
/// value, late value.
type OpTypeParameters = (&'static str, &'static str, f64, f64, i64, i64, f64, f64);
const OP_TYPES: [OpTypeParameters; 4] = [
    ("bounded", "retryable", 0.32, 100.0, 500, 2000, 2.0, 0.0),
    ("session", "retryable", 0.27, 40.0, 200, 500, 1.0, 0.2),
    ("any", "retryable", 0.24, 100.0, 600, 2000, 3.0, 0.2),
    ("write", "tokened", 0.17, 100.0, 1000, 2000, 6.0, 0.7),
];

impl FleetSimulation {
    /// Starts all hosts, routers and clients.
    pub fn new(config: FleetConfig) -> Self {
        let now = Timestamp::from_micros(1_000_000_000_000);
        let settings = router_settings(&config);
        let op_types = OpType::rows(&settings)
            .into_iter()
            .zip(OP_TYPES)
            .map(|(op_type, (_, _, share, mean_work_ms, ..))| (op_type, share, mean_work_ms * 1000.0));
        let host_count = config.groups * config.hosts_per_group;
        let hosts = (0..host_count).map(|index| {
            Host::new(index / config.hosts_per_group, config.cores_per_host, None, config.warmup_time, 1.0)
        });
        let mut simulation = FleetSimulation {
            now,
            rng: Rng::with_seed(config.seed),
            routers: Vec::new(),
            hosts: hosts.collect(),
            primaries: (0..config.groups).map(|group| (Some(group * config.hosts_per_group), now)).collect(),
            schedule: BTreeMap::new(),
            sequence: 0,
            in_flight: HashMap::new(),
            connections: HashMap::new(),
            op_types: op_types.collect(),
            counts: FleetCounts::default(),
            next_op_id: 0,
            settings: settings.clone(),
            initial_hosts: Vec::new(),
            config,
        };
        let initial_hosts: Vec<HostEntry> =
            (0..host_count).map(|index| simulation.host_entry(index, Availability::Ready)).collect();
        simulation.initial_hosts = initial_hosts;
        for router in 0..simulation.config.routers {
            simulation.start_router(router);
        }
        simulation.schedule(TimeDelta::ZERO, Scheduled::NewRequest);
        simulation
    }

    /// Starts a router, or replaces it by a new one.
    fn start_router(&mut self, router: usize) {
        let mut actions = Vec::new();
        let seed = self.rng.u64(..);
        let new_router = Router::start(self.now, seed, self.settings.clone(), &mut actions);
        match self.routers.get_mut(router) {
            Some(previous) => *previous = new_router,
            None => self.routers.push(new_router),
        }
        self.apply_actions(router, actions);
        let entries = self.initial_hosts.clone();
        self.handle_event(router, RouterEvent::HostList { kind: ListKind::Saved, entries });
    }

    /// Kills a router and restarts it. Its ops are lost and its connections closed; hosts continue with the
    /// ops that they have received.
    fn restart_router(&mut self, router: usize) {
        self.schedule.retain(|_, scheduled| match scheduled {
            Scheduled::TimerFired(owner, _)
            | Scheduled::ProbeEnded(owner, ..)
            | Scheduled::SendEnded(owner, _)
            | Scheduled::HostListUpdate(owner, _) => *owner != router,
            _ => true,
        });
        self.connections.retain(|(owner, _), _| *owner != router);
        let mut lost_ops: Vec<OpId> =
            self.in_flight.keys().filter(|(owner, _)| *owner == router).map(|(_, op)| *op).collect();
        lost_ops.sort_unstable();
        for op in lost_ops {
            self.fail_op(router, op, false);
        }
        self.start_router(router);
    }

    /// Schedules an event.
    pub fn schedule_event(&mut self, after: TimeDelta, event: Event) {
        self.schedule(after, Scheduled::Event(event));
    }

    /// Returns the counts and resets them.
    pub fn take_counts(&mut self) -> FleetCounts {
        std::mem::take(&mut self.counts)
    }

    /// Runs the simulation for this time and returns the counts so far.
    pub fn run_for(&mut self, duration: TimeDelta) -> &FleetCounts {
        let end = self.now + duration;
        while let Some(entry) = self.schedule.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), scheduled) = entry.remove_entry();
            self.now = at;
            self.dispatch(scheduled);
        }
        self.now = end;
        &self.counts
    }

    /// Highest peak load of any host during its warm-up, as `Host::peak_warmup_load` defines it.
    pub fn peak_warmup_load(&self, window: TimeDelta) -> f64 {
        self.hosts.iter().map(|host| host.peak_warmup_load(window)).fold(0.0, f64::max)
    }

    fn schedule(&mut self, after: TimeDelta, scheduled: Scheduled) {
        self.sequence += 1;
        self.schedule.insert((self.now + after, self.sequence), scheduled);
    }

    fn host_entry(&self, index: usize, availability: Availability) -> HostEntry {
        let group = self.hosts[index].group;
        HostEntry {
            host: HostId(index as u32),
            name_hash: index as u32,
            availability,
            memberships: [GroupMembership { group: GroupId(group as i64), primary_only: false }].into(),
            zone: ZoneId(0),
            size: 1.0,
            is_primary: self.config.list_names_primaries && index == group * self.config.hosts_per_group,
            started_at: None,
        }
    }

    fn dispatch(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::NewRequest => {
                let interval_s = -self.rng.f64().max(1e-9).ln() / self.config.ops_per_second;
                self.schedule(TimeDelta::from_micros((interval_s * 1e6) as i64), Scheduled::NewRequest);
                self.generate_request();
            }
            Scheduled::ClientRetry(op_type, group, retries) => {
                self.counts.client_retries += 1;
                self.retry_request(op_type, group, retries);
            }
            Scheduled::Event(event) => self.apply_event(event),
            Scheduled::Promotion(group, host) => self.primaries[group].0 = Some(host),
            Scheduled::TimerFired(router, timer) => {
                self.handle_event(router, RouterEvent::TimerFired { timer })
            }
            Scheduled::ProbeEnded(router, host, outcome, status) => {
                self.handle_event(router, RouterEvent::ProbeEnded { host, outcome, status })
            }
            Scheduled::HostListUpdate(router, entries) => {
                self.handle_event(router, RouterEvent::HostList { kind: ListKind::Incremental, entries })
            }
            Scheduled::SendEnded(router, mut result) => {
                if let Some(in_flight) =
                    self.in_flight.get(&(router, result.op)).filter(|_| result.outcome == Outcome::Acked)
                {
                    let in_time = self.now - in_flight.arrived_at <= in_flight.latency_target;
                    self.counts.acked_in_time += u64::from(in_time);
                    self.counts.acked_late += u64::from(!in_time);
                    self.counts.writes_acked += u64::from(in_flight.is_write);
                    self.in_flight.remove(&(router, result.op));
                }
                result.op_finished = !self.in_flight.contains_key(&(router, result.op));
                self.handle_event(router, RouterEvent::SendEnded(result));
            }
        }
    }

    fn generate_request(&mut self) {
        let router = self.rng.usize(..self.config.routers);
        let mut remaining = self.rng.f64();
        let op_type = (0..self.op_types.len()).find(|&op_type| {
            remaining -= self.op_types[op_type].1;
            remaining < 0.0
        });
        let op_type = op_type.unwrap_or(self.op_types.len() - 1);
        self.submit_request(router, op_type, None, 0);
    }

    /// Retries an op at a random router.
    fn retry_request(&mut self, op_type: usize, group: GroupId, retries: u32) {
        let router = self.rng.usize(..self.config.routers);
        self.submit_request(router, op_type, Some(group), retries);
    }

    fn submit_request(&mut self, router: usize, op_type: usize, group: Option<GroupId>, retries: u32) {
        let definition = &self.op_types[op_type].0;
        let (op, deadline) = (OpId(self.next_op_id), self.now + definition.op_timeout);
        let is_write = definition.consistency == Consistency::Write;
        // Exponentially distributed around the mean.
        let work = -self.rng.f64().max(1e-9).ln() * self.op_types[op_type].2;
        self.next_op_id += 1;
        self.counts.requests += 1;
        self.counts.writes += u64::from(is_write);
        let groups = self.config.groups as i64;
        let group = group.unwrap_or_else(|| GroupId(self.rng.i64(0..groups)));
        let in_flight = InFlightOp {
            arrived_at: self.now,
            deadline,
            latency_target: definition.latency_target,
            is_write,
            work,
            send_count: 0,
            op_type,
            group,
            retries,
        };
        self.in_flight.insert((router, op), in_flight);
        let session = Some(SessionId(self.rng.u64(..20) * 1000 + group.0 as u64));
        let request = OpRequest {
            op,
            op_type: OpTypeId(op_type as u32),
            group,
            session,
            deadline,
            ..OpRequest::default()
        };
        self.handle_event(router, RouterEvent::OpRequested(request));
    }

    fn apply_event(&mut self, event: Event) {
        let running_hosts = |simulation: &FleetSimulation, group: usize| -> Vec<usize> {
            (0..simulation.hosts.len())
                .filter(|&index| simulation.hosts[index].group == group && simulation.hosts[index].is_up)
                .collect()
        };
        match event {
            Event::PrimaryFailure(group) => {
                if let (Some(primary), _) = self.primaries[group] {
                    self.hosts[primary].is_up = false;
                }
                self.primaries[group] = (None, self.now);
                if let Some(&promoted) = running_hosts(self, group).first() {
                    self.schedule(self.config.failover_time, Scheduled::Promotion(group, promoted));
                }
            }
            Event::ReplaceHosts(group) => {
                let replaced = running_hosts(self, group);
                let mut entries: Vec<HostEntry> = Vec::new();
                for index in replaced {
                    entries.push(self.host_entry(index, Availability::Gone));
                    let (cores, warmup_time, cold_capacity) =
                        (self.config.cores_per_host, self.config.warmup_time, self.config.cold_capacity);
                    self.hosts.push(Host::new(group, cores, Some(self.now), warmup_time, cold_capacity));
                    let new_index = self.hosts.len() - 1;
                    entries.push(HostEntry {
                        started_at: Some(self.now),
                        ..self.host_entry(new_index, Availability::Ready)
                    });
                    self.primaries[group].0 = Some(new_index);
                }
                self.publish_host_list(entries);
            }
            Event::RestartRouters(count) => (0..count).for_each(|router| self.restart_router(router)),
            Event::Slowdown(factor) => self.hosts.iter_mut().for_each(|host| host.slowdown = factor),
            Event::RemoveGroup(group) => {
                let entries = running_hosts(self, group)
                    .into_iter()
                    .map(|index| self.host_entry(index, Availability::Gone))
                    .collect();
                self.publish_host_list(entries);
            }
        }
    }

    /// Sends a change of the host list to all routers, with a random delay of up to a second each.
    fn publish_host_list(&mut self, entries: Vec<HostEntry>) {
        for router in 0..self.routers.len() {
            let delay = TimeDelta::from_micros(self.rng.i64(0..1_000_000));
            self.schedule(delay, Scheduled::HostListUpdate(router, entries.clone()));
        }
    }

    fn handle_event(&mut self, router: usize, event: RouterEvent) {
        let mut actions = Vec::new();
        self.routers[router].handle(self.now, event, &mut actions);
        self.apply_actions(router, actions);
    }

    fn apply_actions(&mut self, router: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SetTimer { after, timer } => {
                    self.schedule(after, Scheduled::TimerFired(router, timer))
                }
                Action::Send { op, host, deadline } => self.send(router, op, host, deadline),
                Action::Probe { host } => self.probe(router, host),
                Action::BusyReply { op, .. } => self.fail_op(router, op, true),
                Action::ErrorReply { op } => self.fail_op(router, op, false),
                // Cancellation is not modelled: a cancelled send continues, and its result arrives.
                _ => {}
            }
        }
    }

    /// Removes an op that got a busy or error reply or was lost, and schedules the client's retry.
    fn fail_op(&mut self, router: usize, op: OpId, busy: bool) {
        let Some(in_flight) = self.in_flight.remove(&(router, op)) else { return };
        *(if busy { &mut self.counts.busy } else { &mut self.counts.errored }) += 1;
        let is_late = self.now - in_flight.arrived_at > (in_flight.deadline - in_flight.arrived_at) * 0.5;
        self.counts.late_rejections += u64::from(in_flight.send_count == 0 && is_late);
        if in_flight.retries < self.config.client_retries {
            let delay = self.config.client_retry_delay * (0.5 + self.rng.f64());
            self.schedule(
                delay,
                Scheduled::ClientRetry(in_flight.op_type, in_flight.group, in_flight.retries + 1),
            );
        }
    }

    /// Takes an idle connection or opens one, and returns when a command can start on it. The caller adds the
    /// time at which the connection is free again.
    fn acquire_connection(&mut self, router: usize, host: HostId) -> Timestamp {
        let connections = self.connections.entry((router, host)).or_default();
        connections.retain(|free_at| self.now - *free_at < HOST_IDLE_TIMEOUT);
        let idle_index = connections.iter().position(|free_at| *free_at <= self.now);
        if let Some(index) = idle_index {
            connections.swap_remove(index);
            return self.now;
        }
        self.counts.connects += 1;
        self.hosts[host.0 as usize].accept_connection(self.now);
        self.now + TimeDelta::from_millis(2)
    }

    fn host_status(&self, host: HostId, as_of: Timestamp) -> HostStatus {
        let (primary, failed_at) = self.primaries[self.hosts[host.0 as usize].group];
        let is_primary = primary == Some(host.0 as usize);
        // Positions do not advance while the group has no primary.
        let newest_position = if primary.is_none() { as_of.min(failed_at) } else { as_of };
        let position = if is_primary { as_of } else { newest_position - self.config.replica_lag };
        let role = if is_primary { Role::Primary } else { Role::Replica };
        HostStatus { role: Some(role), position: Some(position), ..HostStatus::default() }
    }

    fn send(&mut self, router: usize, op: OpId, host: HostId, deadline: Timestamp) {
        self.counts.sends += 1;
        let Some(in_flight) = self.in_flight.get_mut(&(router, op)) else { return };
        let (send, work, is_write) = (SendIndex(in_flight.send_count), in_flight.work, in_flight.is_write);
        in_flight.send_count += 1;
        let start = self.acquire_connection(router, host);
        let target_host = &mut self.hosts[host.0 as usize];
        let is_primary = self.primaries[target_host.group].0 == Some(host.0 as usize);
        let (outcome, ended_at) = match target_host.is_up {
            false => (Outcome::TimedOut, deadline),
            true if is_write && !is_primary => (Outcome::Misrouted, start + TimeDelta::from_millis(1)),
            true => match target_host.serve(start, work, MAX_QUEUE_TIME) {
                Some(done_at) if done_at <= deadline => (Outcome::Acked, done_at),
                Some(_) => (Outcome::TimedOut, deadline),
                None => (Outcome::Overloaded, start + TimeDelta::from_millis(1)),
            },
        };
        let ended_at = ended_at.max(self.now);
        if outcome.is_answer() {
            self.connections.entry((router, host)).or_default().push(ended_at);
        }
        let status =
            if outcome.is_answer() { self.host_status(host, ended_at) } else { HostStatus::default() };
        let result =
            SendResult { op, send, host, outcome, elapsed: ended_at - self.now, op_finished: false, status };
        self.schedule(ended_at - self.now, Scheduled::SendEnded(router, result));
    }

    fn probe(&mut self, router: usize, host: HostId) {
        self.counts.probes += 1;
        if !self.hosts[host.0 as usize].is_up {
            self.hosts[host.0 as usize].probes += 1;
            return self.schedule(
                CONNECT_TIMEOUT,
                Scheduled::ProbeEnded(router, host, Outcome::ConnectFailed, HostStatus::default()),
            );
        }
        let ended_at = self.acquire_connection(router, host) + TimeDelta::from_millis(1);
        let as_of = self.hosts[host.0 as usize].answer_probe(self.now);
        self.connections.entry((router, host)).or_default().push(ended_at);
        let status = self.host_status(host, as_of);
        self.schedule(ended_at - self.now, Scheduled::ProbeEnded(router, host, Outcome::Acked, status));
    }
}

/// Settings of the simulated routers.
fn router_settings(config: &FleetConfig) -> RouterSettings {
    let mut settings = RouterSettings::new();
    let mut put = |name: &str, value: SettingValue| settings.insert(name.to_string(), value);
    let ms = |millis: i64| SettingValue::TimeDelta(TimeDelta::from_millis(millis));
    for (index, (consistency, effect, _, _, latency_target, op_timeout, value, late_value)) in
        OP_TYPES.into_iter().enumerate()
    {
        let mut put_field =
            |field: &str, value: SettingValue| put(&format!("op_type.{index}.{field}"), value);
        put_field("latency_target", ms(latency_target));
        put_field("op_timeout", ms(op_timeout));
        put_field("read", SettingValue::Text(consistency.to_string()));
        put_field("effect", SettingValue::Text(effect.to_string()));
        put_field("scope", SettingValue::Text("group".to_string()));
        put_field("value", SettingValue::Number(value));
        put_field("late_value", SettingValue::Number(late_value));
        put_field("memory", ms(1200));
        put_field("bound", ms(300));
    }
    ["cancel", "probes", "retry_after"]
        .into_iter()
        .for_each(|flag| drop(put(flag, SettingValue::Flag(true))));
    let durations = [("tick", 5), ("connect_timeout", 250), ("max_retry_after", 2000), ("fall", 1500)];
    durations.into_iter().for_each(|(name, millis)| drop(put(name, ms(millis))));
    put("idle_close", SettingValue::TimeDelta(HOST_IDLE_TIMEOUT * 1.25));
    put("cold", SettingValue::TimeDelta(config.warmup_time));
    let numbers = [("max_sends", 8.0), ("cold_from", config.cold_capacity), ("fall_multiple", 2.0)];
    numbers.into_iter().for_each(|(name, number)| drop(put(name, SettingValue::Number(number))));
    put("routers", SettingValue::Number(config.routers as f64));
    let texts = [("reports", "probe"), ("tokens", "remembered"), ("host_checks", "none")];
    texts.into_iter().for_each(|(name, text)| drop(put(name, SettingValue::Text(text.to_string()))));
    settings
}
