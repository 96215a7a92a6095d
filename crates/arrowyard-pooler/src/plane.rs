//! A router: the parts of the data plane put together. Each kind of connection has a file of its own.

mod clients;
mod feed;
mod hosts;
mod ops;
mod questions;
mod shares;

use std::collections::VecDeque;
use std::rc::Rc;

use arrowyard_config::Settings;
use arrowyard_messages::{KnownControl, ip_to_u32};
use arrowyard_runtime::http::{HttpDecoder, format_response};
use arrowyard_runtime::{Commands, Conn, Event, ListenerId, Plane, Signal, Timers};
use arrowyard_types::{Action, HostId, OpId, RouterEvent, TimeDelta, TimerId, Timestamp};
use rustc_hash::FxHashMap;

use crate::freshness::PositionTimeline;
use crate::latency::LatencyEstimates;
use crate::link::HostConnection;
use crate::module::Module;
use crate::replacements::Replacements;
use crate::routes::{Configured, OpTypes};
use crate::session::Session;

use feed::Feed;
use hosts::Pool;
use shares::Shares;

/// The doors of a router: clients, and whoever asks whether it is ready.
pub const LISTENERS: [ListenerId; 2] = [ListenerId(0), ListenerId(1)];

/// The settings file is read again so often, since it may change without a signal.
const REREAD: TimeDelta = TimeDelta::from_millis(2000);
/// Idle connections to hosts are looked at so often.
const RESTED: TimeDelta = TimeDelta::from_millis(1000);
/// The platform has noticed by then that a router is no more ready.
const NOTICED: TimeDelta = TimeDelta::from_millis(2200);
/// A process ends so long before it would be ended.
const BEFORE_END: TimeDelta = TimeDelta::from_millis(700);
/// A session that says nothing at first is closed after so long where the configuration does not say.
const IDLE: TimeDelta = TimeDelta::from_millis(2000);

/// So many routers share the hosts' connections as long as nobody told. Danger: routers that all start at once, each as
/// if it were alone, together go over every host's limit.
const UNCOUNTED: u32 = 12;

/// Reads the settings file anew.
pub type Reread = Box<dyn FnMut() -> Option<Settings>>;

/// What is to be done at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Alarm {
    Module(TimerId),
    /// A statement's time is up.
    Statement(Conn),
    /// A session says nothing: at first, or inside a transaction.
    Silence(Conn),
    /// A statement waits for a connection.
    Waits(Conn, OpId),
    /// The answer on a connection may be lost.
    Lost(Conn),
    /// A connection to a host was not opened, or an orphan was not answered.
    HostConnection(Conn),
    Feed,
    /// Needs of hosts are looked at.
    Shares,
    Reread,
    /// Connections to hosts that are of no use any more.
    Rested(HostId),
    Round,
    Sweep,
}

/// What stands at the other end of a connection.
enum Line {
    Client(Box<Session>),
    Ready(HttpDecoder),
    HostConnection(Box<HostConnection>),
    Feed,
}

/// One router.
pub struct RouterPlane {
    settings: Settings,
    reread: Reread,
    incarnation: u64,
    rng: fastrand::Rng,
    module: Module,
    actions: Vec<Action>,
    configured: Configured,
    op_types: OpTypes,
    lines: FxHashMap<Conn, Line>,
    pools: Vec<Pool>,
    timelines: FxHashMap<String, PositionTimeline>,
    ops: FxHashMap<OpId, Conn>,
    latencies: LatencyEstimates,
    probing: FxHashMap<HostId, Timestamp>,
    last_op: u64,
    shapes: FxHashMap<(arrowyard_protocol::AccessMode, Rc<str>), u32>,
    timers: Timers<Alarm>,
    feed: Feed,
    replacements: Replacements,
    shares: Shares,
    /// How many routers share the hosts' connections.
    routers: u32,
    controls: Vec<KnownControl>,
    draining: Option<Timestamp>,
    closed_idle: bool,
    pending: VecDeque<Action>,
    sessions: usize,
}

impl RouterPlane {
    pub fn new(settings: Settings, incarnation: u64, reread: Reread) -> Self {
        let now = Timestamp::from_micros(0);
        let mut actions = Vec::new();
        let drain = TimeDelta::from_millis((settings.envelope.drain_bound_ms - 2000.0).max(0.0) as i64);
        let module = Module::start(now, incarnation, drain, &mut actions);
        let controls = settings
            .seeds
            .iter()
            .map(|seed| KnownControl { ip: ip_to_u32(*seed.ip()), zone: String::new(), age: 0 })
            .collect();
        RouterPlane {
            settings,
            reread,
            incarnation,
            rng: fastrand::Rng::with_seed(incarnation),
            module,
            actions,
            configured: Configured::default(),
            op_types: OpTypes::default(),
            lines: FxHashMap::default(),
            pools: Vec::new(),
            timelines: FxHashMap::default(),
            ops: FxHashMap::default(),
            latencies: LatencyEstimates::default(),
            probing: FxHashMap::default(),
            last_op: 0,
            shapes: FxHashMap::default(),
            timers: Timers::default(),
            feed: Feed::default(),
            replacements: Replacements::default(),
            shares: Shares::default(),
            routers: UNCOUNTED,
            controls,
            draining: None,
            closed_idle: false,
            pending: VecDeque::new(),
            sessions: 0,
        }
    }

    fn session(&mut self, conn: Conn) -> Option<&mut Session> {
        match self.lines.get_mut(&conn) {
            Some(Line::Client(session)) => Some(session),
            _ => None,
        }
    }

    fn link(&mut self, conn: Conn) -> Option<&mut HostConnection> {
        match self.lines.get_mut(&conn) {
            Some(Line::HostConnection(link)) => Some(link),
            _ => None,
        }
    }

    /// Hands a note to the module. What it wants is carried out before the event is over.
    fn note(&mut self, now: Timestamp, note: RouterEvent) {
        self.module.take(now, note, &mut self.actions);
    }

    /// Carries out what the module wants, in order, until it wants no more.
    fn carry(&mut self, now: Timestamp, commands: &mut Commands) {
        loop {
            self.pending.extend(self.actions.drain(..));
            let Some(action) = self.pending.pop_front() else { return };
            match action {
                Action::Send { op, host, deadline: until } => self.send(now, op, host, until, commands),
                Action::BusyReply { op, retry_after } => self.give_up(now, op, retry_after, commands),
                Action::ErrorReply { op } => self.fail(now, op, commands),
                Action::Probe { host } => self.probe(now, host, commands),
                Action::SetTimer { after, timer } => drop(self.timers.set(now + after, Alarm::Module(timer))),
                Action::Log { text } => log::info!("module: {text}."),
                // Nothing of the kind is told to this module.
                Action::Cancel { .. }
                | Action::SubscribeHostList { .. }
                | Action::FetchHostList
                | Action::CloseIdleConnections { .. }
                | Action::SendPeerMessage { .. } => {}
            }
        }
    }

    fn rang(&mut self, now: Timestamp, alarm: Alarm, commands: &mut Commands) {
        match alarm {
            Alarm::Module(cookie) => self.note(now, RouterEvent::TimerFired { timer: cookie }),
            Alarm::Statement(conn) => self.statement_late(now, conn, commands),
            Alarm::Silence(conn) => self.silent(now, conn, commands),
            Alarm::Waits(conn, op) => self.waits_too_long(now, conn, op, commands),
            Alarm::Lost(conn) => self.look_for_lost(now, conn, commands),
            Alarm::HostConnection(conn) => self.link_late(now, conn, commands),
            Alarm::Feed => self.feed_due(now, commands),
            Alarm::Shares => self.shares_due(now, commands),
            Alarm::Reread => {
                self.timers.set(now + REREAD, Alarm::Reread);
                self.reread();
            }
            Alarm::Rested(host) => self.close_rested_of(now, host, commands),
            Alarm::Round => {
                self.timers.set(now + RESTED, Alarm::Round);
                self.close_rested(now, commands);
            }
            Alarm::Sweep => self.sweep(now, commands),
        }
    }

    fn reread(&mut self) {
        if let Some(settings) = (self.reread)() {
            self.settings = settings;
        }
    }

    /// Whether new connections are welcome.
    fn is_ready(&self) -> bool {
        self.draining.is_none() && self.configured.slot > 0 && self.module.hosts().next().is_some()
    }

    fn readiness(&mut self, conn: Conn, bytes: &[u8], commands: &mut Commands) {
        let ready = self.is_ready();
        let Some(Line::Ready(messages)) = self.lines.get_mut(&conn) else { return };
        messages.put(bytes);
        loop {
            match messages.next_request() {
                Ok(None) => return,
                Ok(Some(request)) => {
                    let status = match request.path.as_str() {
                        "/readiness" if ready => 200,
                        "/readiness" => 503,
                        _ => 404,
                    };
                    commands.write(conn, &[format_response(status, "").as_bytes()]);
                    if request.close_connection {
                        break;
                    }
                }
                Err(unreadable) => {
                    commands.write(conn, &[format_response(unreadable.0, "").as_bytes()]);
                    break;
                }
            }
        }
        commands.close(conn);
        self.lines.remove(&conn);
    }

    /// Told to end: no longer ready at once, at rest when the platform has noticed, gone before it would be ended.
    fn drain(&mut self, now: Timestamp) {
        if self.draining.is_none() {
            log::info!("drain: {} sessions are to end.", self.sessions);
            self.draining = Some(now);
            self.timers.set(now, Alarm::Sweep);
        }
    }

    fn sweep(&mut self, now: Timestamp, commands: &mut Commands) {
        let Some(since) = self.draining else { return };
        let grace = TimeDelta::from_micros((self.settings.envelope.grace_s * 1e6) as i64);
        let conns: Vec<Conn> = self
            .lines
            .iter()
            .filter(|(_, line)| matches!(line, Line::Client(_)))
            .map(|(conn, _)| *conn)
            .collect();
        if now - since >= NOTICED.min(grace * 0.4) {
            self.closed_idle = true;
            for conn in &conns {
                if self.session(*conn).is_some_and(|session| session.is_at_rest()) {
                    self.end_session(now, *conn, commands);
                }
            }
        }
        if now - since >= grace * 0.5 {
            for conn in &conns {
                self.break_transaction(now, *conn, commands);
            }
        }
        if self.sessions == 0 && self.closed_idle || now - since >= grace - BEFORE_END {
            log::info!("drain: {} sessions are left.", self.sessions);
            return commands.stop();
        }
        self.timers.set(now + TimeDelta::from_millis(50), Alarm::Sweep);
    }
}

impl Plane for RouterPlane {
    fn handle(&mut self, now: Timestamp, event: Event<'_>, commands: &mut Commands) {
        match event {
            Event::Start => {
                self.timers.set(now, Alarm::Feed);
                self.timers.set(now + REREAD, Alarm::Reread);
                self.timers.set(now + RESTED, Alarm::Round);
            }
            Event::Accepted { conn, listener } if listener == LISTENERS[0] => self.welcome(now, conn),
            Event::Accepted { conn, .. } => {
                drop(self.lines.insert(conn, Line::Ready(HttpDecoder::default())))
            }
            Event::Connected { conn } => self.opened(now, conn, commands),
            Event::Received { conn, bytes } => match self.lines.get(&conn) {
                Some(Line::Client(_)) => self.client_came(now, conn, bytes, commands),
                Some(Line::Ready(_)) => self.readiness(conn, bytes, commands),
                Some(Line::HostConnection(_)) => self.link_came(now, conn, bytes, commands),
                Some(Line::Feed) => self.feed_came(now, conn, bytes, commands),
                None => {}
            },
            Event::Closed { conn, reason } => match self.lines.get(&conn) {
                Some(Line::Client(_)) => self.client_left(now, conn, commands),
                Some(Line::Ready(_)) => drop(self.lines.remove(&conn)),
                Some(Line::HostConnection(_)) => self.link_broke(now, conn, reason, commands),
                Some(Line::Feed) => self.feed_broke(now, conn),
                None => {}
            },
            Event::Signal(Signal::Terminate) => self.drain(now),
            Event::Signal(Signal::Reload) => self.reread(),
            Event::TimerExpired | Event::Stored { .. } | Event::DiskStatus { .. } => {}
        }
        while let Some(alarm) = self.timers.take(now) {
            self.rang(now, alarm, commands);
            self.carry(now, commands);
        }
        if self.module.due().is_some_and(|at| at <= now) {
            self.module.woke(now, &mut self.actions);
        }
        self.carry(now, commands);
    }

    fn due(&self) -> Option<Timestamp> {
        self.timers.due().into_iter().chain(self.module.due()).min()
    }
}
