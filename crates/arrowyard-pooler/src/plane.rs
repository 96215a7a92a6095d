//! The plane of a router. Each kind of connection, and each concern of the data path, has a module of its
//! own.

mod clients;
mod commit_checks;
mod control_requests;
mod feed;
mod hosts;
mod ops;
mod pool;
mod probes;
mod replies;
mod shares;

use std::collections::VecDeque;
use std::rc::Rc;

use arrowyard_config::Settings;
use arrowyard_messages::{KnownControl, ip_to_u32};
use arrowyard_runtime::http::{HttpDecoder, format_response};
use arrowyard_runtime::{Commands, Conn, Event, ListenerId, Plane, Signal, Timers};
use arrowyard_types::{Action, HostId, OpId, RouterEvent, TimeDelta, TimerId, Timestamp};
use rustc_hash::FxHashMap;

use crate::decision::DecisionModule;
use crate::freshness::PositionTimeline;
use crate::host_connection::HostConnection;
use crate::latency::LatencyEstimates;
use crate::replacements::Replacements;
use crate::routes::{Configured, OpTypes};
use crate::session::Session;

use commit_checks::CommitChecks;
use feed::Feed;
use pool::ConnectionPool;
use shares::Shares;

/// The listeners of a router: clients, and readiness checks.
pub const LISTENERS: [ListenerId; 2] = [ListenerId(0), ListenerId(1)];

/// Interval at which the settings file is read again, since it may change without a signal.
const SETTINGS_RELOAD_INTERVAL: TimeDelta = TimeDelta::from_millis(2000);
/// Interval at which idle connections to hosts are checked.
const IDLE_CHECK_INTERVAL: TimeDelta = TimeDelta::from_millis(1000);
/// Time after which the platform has noticed that a router is no longer ready.
const READINESS_PROPAGATION: TimeDelta = TimeDelta::from_millis(2200);
/// A draining process exits this long before the end of its grace period.
const EXIT_MARGIN: TimeDelta = TimeDelta::from_millis(700);
/// Time in which a client must open a database where the configuration does not set one.
const DEFAULT_OPEN_TIMEOUT: TimeDelta = TimeDelta::from_millis(2000);

/// Number of routers assumed to share the hosts' connections until control reports it. Routers that start
/// at the same time, each assuming that it is alone, would together exceed the hosts' connection limits.
const DEFAULT_ROUTERS: u32 = 12;

/// Reads the settings file again; `None` if it cannot be read.
pub type ReloadSettings = Box<dyn FnMut() -> Option<Settings>>;

/// What a timer was set for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Timer {
    DecisionModule(TimerId),
    /// The deadline of a session's statement.
    Statement(Conn),
    /// A client has sent nothing for too long, before it opened a database or inside a transaction.
    SessionIdle(Conn),
    /// A statement waits for a connection.
    ConnectionWait(Conn, OpId),
    /// The reply on a connection may be lost.
    LostReply(Conn),
    /// A connection to a host has not opened, or an orphaned one has not been answered.
    HostConnection(Conn),
    Feed,
    /// Commits may wait for the position of this candidate.
    CommitCheck(HostId),
    /// Check of the demand for hosts.
    Demand,
    ReloadSettings,
    /// Idle connections to one host may have expired.
    IdleConnections(HostId),
    /// Idle connections to any host may have expired.
    AllIdleConnections,
    Drain,
}

/// The other end of a connection.
enum Endpoint {
    Client(Box<Session>),
    Readiness(HttpDecoder),
    Host(Box<HostConnection>),
    Control,
}

/// A router as a plane of the event loop.
pub struct RouterPlane {
    settings: Settings,
    reload_settings: ReloadSettings,
    incarnation: u64,
    rng: fastrand::Rng,
    decision: DecisionModule,
    actions: Vec<Action>,
    configured: Configured,
    op_types: OpTypes,
    endpoints: FxHashMap<Conn, Endpoint>,
    pools: Vec<ConnectionPool>,
    timelines: FxHashMap<String, PositionTimeline>,
    ops: FxHashMap<OpId, Conn>,
    latencies: LatencyEstimates,
    probes: FxHashMap<HostId, Timestamp>,
    last_op: u64,
    prepared_numbers: FxHashMap<(arrowyard_protocol::AccessMode, Rc<str>), u32>,
    timers: Timers<Timer>,
    feed: Feed,
    replacements: Replacements,
    commit_checks: CommitChecks,
    shares: Shares,
    /// Number of routers that share the hosts' connections.
    routers: u32,
    controls: Vec<KnownControl>,
    draining_since: Option<Timestamp>,
    /// Whether idle sessions are closed, as the later part of a drain.
    closes_idle: bool,
    pending_actions: VecDeque<Action>,
    sessions: usize,
}

impl RouterPlane {
    /// Creates the plane of a router. `incarnation` identifies this run of the process and seeds its random
    /// numbers.
    pub fn new(settings: Settings, incarnation: u64, reload_settings: ReloadSettings) -> Self {
        let now = Timestamp::from_micros(0);
        let mut actions = Vec::new();
        let drain_bound = TimeDelta::from_millis((settings.envelope.drain_bound_ms - 2000.0).max(0.0) as i64);
        let decision = DecisionModule::start(now, incarnation, drain_bound, &mut actions);
        let controls = settings
            .seeds
            .iter()
            .map(|seed| KnownControl { ip: ip_to_u32(*seed.ip()), zone: String::new(), age: 0 })
            .collect();
        RouterPlane {
            settings,
            reload_settings,
            incarnation,
            rng: fastrand::Rng::with_seed(incarnation),
            decision,
            actions,
            configured: Configured::default(),
            op_types: OpTypes::default(),
            endpoints: FxHashMap::default(),
            pools: Vec::new(),
            timelines: FxHashMap::default(),
            ops: FxHashMap::default(),
            latencies: LatencyEstimates::default(),
            probes: FxHashMap::default(),
            last_op: 0,
            prepared_numbers: FxHashMap::default(),
            timers: Timers::default(),
            feed: Feed::default(),
            replacements: Replacements::default(),
            commit_checks: CommitChecks::default(),
            shares: Shares::default(),
            routers: DEFAULT_ROUTERS,
            controls,
            draining_since: None,
            closes_idle: false,
            pending_actions: VecDeque::new(),
            sessions: 0,
        }
    }

    fn session(&mut self, conn: Conn) -> Option<&mut Session> {
        match self.endpoints.get_mut(&conn) {
            Some(Endpoint::Client(session)) => Some(session),
            _ => None,
        }
    }

    fn host_connection(&mut self, conn: Conn) -> Option<&mut HostConnection> {
        match self.endpoints.get_mut(&conn) {
            Some(Endpoint::Host(connection)) => Some(connection),
            _ => None,
        }
    }

    /// Passes an event to the decision module. Its actions are executed before the plane returns to the
    /// event loop.
    fn notify(&mut self, now: Timestamp, event: RouterEvent) {
        self.decision.handle(now, event, &mut self.actions);
    }

    /// Executes the decision module's actions in order, including those that follow from them.
    fn execute_actions(&mut self, now: Timestamp, commands: &mut Commands) {
        loop {
            self.pending_actions.extend(self.actions.drain(..));
            let Some(action) = self.pending_actions.pop_front() else { return };
            match action {
                Action::Send { op, host, deadline } => self.send(now, op, host, deadline, commands),
                Action::BusyReply { op, retry_after } => self.reply_busy(now, op, retry_after, commands),
                Action::ErrorReply { op } => self.reply_error(now, op, commands),
                Action::Probe { host } => self.probe(now, host, commands),
                Action::SetTimer { after, timer } => {
                    self.timers.set(now + after, Timer::DecisionModule(timer));
                }
                Action::Log { text } => log::info!("decision module: {text}."),
                // Not used with the settings that the decision module is given here.
                Action::Cancel { .. }
                | Action::SubscribeHostList { .. }
                | Action::FetchHostList
                | Action::CloseIdleConnections { .. }
                | Action::SendPeerMessage { .. } => {}
            }
        }
    }

    fn timer_fired(&mut self, now: Timestamp, timer: Timer, commands: &mut Commands) {
        match timer {
            Timer::DecisionModule(timer) => self.notify(now, RouterEvent::TimerFired { timer }),
            Timer::Statement(conn) => self.statement_timed_out(now, conn, commands),
            Timer::SessionIdle(conn) => self.session_timed_out(now, conn, commands),
            Timer::ConnectionWait(conn, op) => self.connection_wait_expired(now, conn, op, commands),
            Timer::LostReply(conn) => self.check_lost_reply(now, conn, commands),
            Timer::HostConnection(conn) => self.connection_timed_out(now, conn, commands),
            Timer::Feed => self.check_feed(now, commands),
            Timer::CommitCheck(candidate) => self.observe_candidate(now, candidate, commands),
            Timer::Demand => self.demand_check_due(now, commands),
            Timer::ReloadSettings => {
                self.timers.set(now + SETTINGS_RELOAD_INTERVAL, Timer::ReloadSettings);
                self.reload_settings();
            }
            Timer::IdleConnections(host) => self.close_idle_connections(now, host, commands),
            Timer::AllIdleConnections => {
                self.timers.set(now + IDLE_CHECK_INTERVAL, Timer::AllIdleConnections);
                self.close_all_idle_connections(now, commands);
            }
            Timer::Drain => self.continue_drain(now, commands),
        }
    }

    fn reload_settings(&mut self) {
        if let Some(settings) = (self.reload_settings)() {
            self.settings = settings;
        }
    }

    /// Whether the router accepts new sessions.
    fn is_ready(&self) -> bool {
        self.draining_since.is_none() && self.configured.slot > 0 && self.decision.hosts().next().is_some()
    }

    fn readiness_received(&mut self, conn: Conn, bytes: &[u8], commands: &mut Commands) {
        let is_ready = self.is_ready();
        let Some(Endpoint::Readiness(decoder)) = self.endpoints.get_mut(&conn) else { return };
        decoder.put(bytes);
        loop {
            match decoder.next_request() {
                Ok(None) => return,
                Ok(Some(request)) => {
                    let status = match request.path.as_str() {
                        "/readiness" if is_ready => 200,
                        "/readiness" => 503,
                        _ => 404,
                    };
                    commands.write(conn, &[format_response(status, "").as_bytes()]);
                    if request.close_connection {
                        break;
                    }
                }
                Err(error) => {
                    commands.write(conn, &[format_response(error.0, "").as_bytes()]);
                    break;
                }
            }
        }
        commands.close(conn);
        self.endpoints.remove(&conn);
    }

    /// Starts a drain. The router stops being ready at once, closes idle sessions when the platform has
    /// noticed, aborts idle transactions halfway through the grace period, and exits before its end.
    fn start_drain(&mut self, now: Timestamp) {
        if self.draining_since.is_none() {
            log::info!("drain: started with {} open sessions.", self.sessions);
            self.draining_since = Some(now);
            self.timers.set(now, Timer::Drain);
        }
    }

    fn continue_drain(&mut self, now: Timestamp, commands: &mut Commands) {
        let Some(since) = self.draining_since else { return };
        let grace = TimeDelta::from_micros((self.settings.envelope.grace_s * 1e6) as i64);
        let conns: Vec<Conn> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| matches!(endpoint, Endpoint::Client(_)))
            .map(|(conn, _)| *conn)
            .collect();
        if now - since >= READINESS_PROPAGATION.min(grace * 0.4) {
            self.closes_idle = true;
            for conn in &conns {
                if self.session(*conn).is_some_and(|session| session.is_idle()) {
                    self.close_session(now, *conn, commands);
                }
            }
        }
        if now - since >= grace * 0.5 {
            for conn in &conns {
                self.abort_idle_transaction(now, *conn, commands);
            }
        }
        if self.sessions == 0 && self.closes_idle || now - since >= grace - EXIT_MARGIN {
            log::info!("drain: finished with {} open sessions.", self.sessions);
            return commands.stop();
        }
        self.timers.set(now + TimeDelta::from_millis(50), Timer::Drain);
    }
}

impl Plane for RouterPlane {
    fn handle(&mut self, now: Timestamp, event: Event<'_>, commands: &mut Commands) {
        match event {
            Event::Start => {
                self.timers.set(now, Timer::Feed);
                self.timers.set(now + SETTINGS_RELOAD_INTERVAL, Timer::ReloadSettings);
                self.timers.set(now + IDLE_CHECK_INTERVAL, Timer::AllIdleConnections);
            }
            Event::Accepted { conn, listener } if listener == LISTENERS[0] => self.accept_client(now, conn),
            Event::Accepted { conn, .. } => {
                drop(self.endpoints.insert(conn, Endpoint::Readiness(HttpDecoder::default())))
            }
            Event::Connected { conn } => self.connected(now, conn, commands),
            Event::Received { conn, bytes } => match self.endpoints.get(&conn) {
                Some(Endpoint::Client(_)) => self.client_received(now, conn, bytes, commands),
                Some(Endpoint::Readiness(_)) => self.readiness_received(conn, bytes, commands),
                Some(Endpoint::Host(_)) => self.host_received(now, conn, bytes, commands),
                Some(Endpoint::Control) => self.feed_received(now, conn, bytes, commands),
                None => {}
            },
            Event::Closed { conn, reason } => match self.endpoints.get(&conn) {
                Some(Endpoint::Client(_)) => self.client_disconnected(now, conn, commands),
                Some(Endpoint::Readiness(_)) => drop(self.endpoints.remove(&conn)),
                Some(Endpoint::Host(_)) => self.connection_closed(now, conn, reason, commands),
                Some(Endpoint::Control) => self.feed_closed(now, conn),
                None => {}
            },
            Event::Signal(Signal::Terminate) => self.start_drain(now),
            Event::Signal(Signal::Reload) => self.reload_settings(),
            Event::TimerExpired | Event::Stored { .. } | Event::DiskStatus { .. } => {}
        }
        while let Some(timer) = self.timers.take(now) {
            self.timer_fired(now, timer, commands);
            self.execute_actions(now, commands);
        }
        if self.decision.due().is_some_and(|at| at <= now) {
            self.decision.expire_draining(now, &mut self.actions);
        }
        self.execute_actions(now, commands);
    }

    fn due(&self) -> Option<Timestamp> {
        self.timers.due().into_iter().chain(self.decision.due()).min()
    }
}
