//! A router plane whose peers (control, hosts and clients) are played by the test, line by line.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

use arrowyard_config::Settings;
use arrowyard_messages::{DbRole, FeedSnapshot, FrameDecoder, Host, Payload, Phase, encode_payload};
use arrowyard_pooler::{LISTENERS, RouterPlane};
use arrowyard_runtime::{Command, Commands, Conn, Event, Plane};
use arrowyard_types::{TimeDelta, Timestamp};

const SETTINGS: &str = "node: \"edge\"\nip: \"10.0.0.9\"\nzone: \"z\"\nbind-addrs: {}\ninternal-ports:\n  - 7440\n  - 7455\n\
                        seeds:\n  - \"10.0.0.1:8782\"\n";
pub const CONFIGURATION: &str = "{\"revision\":3,\"channels\":[{\"name\":\"r\",\"plant\":\"p0\",\"path-prefix\":\"/\",\"kind\":\"primary\",\
     \"deadline-ms\":900,\"setpoint-ms\":150,\"priority\":1,\"service\":\"s0\",\"tries\":2},{\"name\":\"b\",\"plant\":\"b0\",\"path-prefix\":\"/\",\
     \"kind\":\"bounded_staleness\",\"deadline-ms\":900,\"setpoint-ms\":150,\"priority\":1,\"service\":\"s0\",\"tries\":2,\
     \"staleness-bound-ms\":1500}],\"services\":[{\"name\":\"s0\",\
     \"conn-limit\":50,\"sync-replicas\":1}],\"limits\":{\"tx-idle-ms\":3000,\"header-wait-ms\":3000}}";

/// The router plane, and what it has written.
pub struct TestRouter {
    plane: RouterPlane,
    commands: Commands,
    pub now: Timestamp,
    /// Lines written since the last call of `received`, by connection.
    lines: BTreeMap<Conn, VecDeque<String>>,
    /// Dialed connections in order, and connections that the router closed or reset.
    pub dialed: Vec<(Conn, SocketAddrV4)>,
    pub closed: Vec<Conn>,
    /// The connection to control.
    control_conn: Conn,
    to_control: FrameDecoder,
}

/// A configuration without routes.
pub const WITHOUT_ROUTES: &str = "{\"revision\":4,\"channels\":[],\"services\":[{\"name\":\"s0\",\"conn-limit\":50,\
     \"sync-replicas\":1}],\"limits\":{\"tx-idle-ms\":3000,\"header-wait-ms\":3000}}";

/// The host as it reports itself.
pub fn host(phase: Phase, role: DbRole, call_seq: u64) -> Host {
    Host {
        id: "i-1".into(),
        service: "s0".into(),
        ip: u32::from_be_bytes([10, 0, 1, 1]),
        port: 8000,
        zone: "z".into(),
        capacity: 4,
        phase: phase.into(),
        role: role.into(),
        call_seq,
    }
}

impl TestRouter {
    /// A router with one service, whose only host is its primary, and with this many routers that share it.
    pub fn shared_by(routers: u32) -> TestRouter {
        let settings = Settings::parse(SETTINGS).expect("valid settings");
        let mut router = TestRouter {
            plane: RouterPlane::new(settings, 1, Box::new(|| None)),
            commands: Commands::default(),
            now: Timestamp::from_micros(0),
            lines: BTreeMap::new(),
            dialed: Vec::new(),
            closed: Vec::new(),
            control_conn: Conn(0),
            to_control: FrameDecoder::default(),
        };
        router.handle(Event::Start);
        (router.control_conn, _) = router.dialed[0];
        router.handle(Event::Connected { conn: router.control_conn });
        router.send_snapshot(1, CONFIGURATION, vec![host(Phase::InService, DbRole::Primary, 1)], routers);
        router
    }

    /// Control sends the host's report every 250 ms for this long.
    pub fn report_host(&mut self, host: &Host, ms: i64) {
        let end = self.now + TimeDelta::from_millis(ms);
        while self.now < end {
            self.send_snapshot(1, CONFIGURATION, vec![host.clone()], 1);
            self.advance(250);
        }
    }

    /// Control sends a snapshot with a configuration, hosts, and the number of routers.
    pub fn send_snapshot(&mut self, slot: u64, configuration: &str, hosts: Vec<Host>, routers: u32) {
        let snapshot = FeedSnapshot {
            number: slot,
            slot,
            configuration: configuration.into(),
            hosts,
            routers,
            view: Vec::new(),
        };
        self.control_sends(Payload::FeedSnapshot(snapshot));
    }

    pub fn control_sends(&mut self, payload: Payload) {
        self.handle(Event::Received { conn: self.control_conn, bytes: &encode_payload(payload) });
    }

    /// The relayed responses that control received since the last call.
    pub fn control_received(&mut self) -> Vec<Payload> {
        let mut payloads = Vec::new();
        while let Ok(Some(frame)) = self.to_control.take() {
            payloads.extend(frame.payload.filter(|payload| matches!(payload, Payload::RelayedResponse(_))));
        }
        payloads
    }

    pub fn handle(&mut self, event: Event<'_>) {
        self.plane.handle(self.now, event, &mut self.commands);
        let (list, bytes) =
            (std::mem::take(&mut self.commands.list), std::mem::take(&mut self.commands.bytes));
        let mut at = 0;
        for command in list {
            match command {
                Command::Dial { conn, to } => self.dialed.push((conn, to)),
                Command::Write { conn, len } => {
                    let written = &bytes[at..at + len];
                    at += len;
                    if conn == self.control_conn {
                        self.to_control.put(written);
                        continue;
                    }
                    let text = String::from_utf8_lossy(written).into_owned();
                    let lines = text.split_terminator("\r\n").map(str::to_string);
                    self.lines.entry(conn).or_default().extend(lines);
                }
                Command::Close { conn } | Command::Reset { conn } => self.closed.push(conn),
                Command::Store { .. } | Command::Stop => {}
            }
        }
    }

    /// Advances the clock, and fires the timers that are due.
    pub fn advance(&mut self, ms: i64) {
        let end = self.now + TimeDelta::from_millis(ms);
        while let Some(due) = self.plane.due().filter(|due| *due <= end) {
            self.now = due.max(self.now);
            self.handle(Event::TimerExpired);
        }
        self.now = end;
    }

    /// Opens a client session of database `p0`.
    pub fn client(&mut self) -> Conn {
        self.client_of("p0")
    }

    /// Opens a client session. Reads of `p0` go to the primary; reads of `b0` may be 1.5 s stale.
    pub fn client_of(&mut self, database: &str) -> Conn {
        let conn = self.commands.new_conn();
        self.handle(Event::Accepted { conn, listener: LISTENERS[0] });
        self.send(conn, &format!("OPEN {database} u1"));
        assert_eq!(self.received(conn), ["IDLE I -"]);
        conn
    }

    /// Sends lines from a peer to the router.
    pub fn send(&mut self, conn: Conn, lines: &str) {
        let bytes = lines.lines().map(|line| format!("{line}\r\n")).collect::<String>();
        self.handle(Event::Received { conn, bytes: bytes.as_bytes() });
    }

    /// Sends one message, which may contain line feeds, from a peer to the router.
    pub fn send_message(&mut self, conn: Conn, message: &str) {
        self.handle(Event::Received { conn, bytes: format!("{message}\r\n").as_bytes() });
    }

    /// The lines that a peer received since the last call.
    pub fn received(&mut self, conn: Conn) -> Vec<String> {
        self.lines.remove(&conn).unwrap_or_default().into()
    }

    /// Accepts the router's newest connection to the host.
    pub fn accept_host_connection(&mut self) -> Conn {
        self.accept_connection_to("i-1")
    }

    /// Accepts the router's newest connection, which is to this host.
    pub fn accept_connection_to(&mut self, host: &str) -> Conn {
        let (conn, _) = *self.dialed.last().expect("the router dialed a host");
        self.handle(Event::Connected { conn });
        assert_eq!(self.received(conn), [format!("OPEN s0 sluice {host}")]);
        self.send(conn, "IDLE I 1.1");
        conn
    }
}
