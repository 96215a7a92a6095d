//! A router that is driven by hand: the test plays control, hosts and clients, word by word.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

use arrowyard_config::Settings;
use arrowyard_messages::{DbRole, FeedSnapshot, FrameDecoder, Host, Payload, Phase, encode_payload};
use arrowyard_pooler::{LISTENERS, RouterPlane};
use arrowyard_runtime::{Command, Commands, Conn, Event, Plane};
use arrowyard_types::{TimeDelta, Timestamp};

const SETTINGS: &str = "node: \"edge\"\nip: \"10.0.0.9\"\nzone: \"z\"\nbind-addrs: {}\ninternal-ports:\n  - 7440\n  - 7455\n\
                        seeds:\n  - \"10.0.0.1:8782\"\n";
const CONFIGURATION: &str = "{\"revision\":3,\"channels\":[{\"name\":\"r\",\"plant\":\"p0\",\"path-prefix\":\"/\",\"kind\":\"primary\",\
     \"deadline-ms\":900,\"setpoint-ms\":150,\"priority\":1,\"service\":\"s0\",\"tries\":2},{\"name\":\"b\",\"plant\":\"b0\",\"path-prefix\":\"/\",\
     \"kind\":\"bounded_staleness\",\"deadline-ms\":900,\"setpoint-ms\":150,\"priority\":1,\"service\":\"s0\",\"tries\":2,\
     \"staleness-bound-ms\":1500}],\"services\":[{\"name\":\"s0\",\
     \"conn-limit\":50,\"sync-replicas\":1}],\"limits\":{\"tx-idle-ms\":3000,\"header-wait-ms\":3000}}";

/// The router, and what it wrote to whom.
pub struct Hand {
    sluice: RouterPlane,
    commands: Commands,
    pub now: Timestamp,
    /// Lines that were written and not yet looked at, by connection.
    said: BTreeMap<Conn, VecDeque<String>>,
    /// Dials in their order, and connections that the router gave up.
    pub dialled: Vec<(Conn, SocketAddrV4)>,
    pub dropped: Vec<Conn>,
    /// The connection to control.
    feed: Conn,
    to_control: FrameDecoder,
}

/// A configuration in which neither database is left.
pub const WITHOUT_ROUTES: &str = "{\"revision\":4,\"channels\":[],\"services\":[{\"name\":\"s0\",\"conn-limit\":50,\
     \"sync-replicas\":1}],\"limits\":{\"tx-idle-ms\":3000,\"header-wait-ms\":3000}}";

/// The host, as it sees itself.
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

impl Hand {
    /// A router that knows a service with one host, its primary, and so many routers that share it.
    pub fn among(routers: u32) -> Hand {
        let settings = Settings::parse(SETTINGS).expect("sound settings");
        let mut hand = Hand {
            sluice: RouterPlane::new(settings, 1, Box::new(|| None)),
            commands: Commands::default(),
            now: Timestamp::from_micros(0),
            said: BTreeMap::new(),
            dialled: Vec::new(),
            dropped: Vec::new(),
            feed: Conn(0),
            to_control: FrameDecoder::default(),
        };
        hand.event(Event::Start);
        (hand.feed, _) = hand.dialled[0];
        hand.event(Event::Connected { conn: hand.feed });
        hand.configures(1, CONFIGURATION, vec![host(Phase::InService, DbRole::Primary, 1)], routers);
        hand
    }

    /// Control tells how the host sees itself, again and again for so long, as it feeds routers.
    pub fn hosts_say(&mut self, host: &Host, ms: i64) {
        let end = self.now + TimeDelta::from_millis(ms);
        while self.now < end {
            self.configures(1, CONFIGURATION, vec![host.clone()], 1);
            self.pass(250);
        }
    }

    /// Control tells a configuration, the hosts that are new, and how many routers share them.
    pub fn configures(&mut self, slot: u64, configuration: &str, hosts: Vec<Host>, routers: u32) {
        let whole = FeedSnapshot {
            number: slot,
            slot,
            configuration: configuration.into(),
            hosts,
            routers,
            view: Vec::new(),
        };
        self.control_says(Payload::FeedSnapshot(whole));
    }

    pub fn control_says(&mut self, word: Payload) {
        self.event(Event::Received { conn: self.feed, bytes: &encode_payload(word) });
    }

    /// What the router answered control since the last look.
    pub fn control_hears(&mut self) -> Vec<Payload> {
        let mut words = Vec::new();
        while let Ok(Some(frame)) = self.to_control.take() {
            words.extend(frame.payload.filter(|word| matches!(word, Payload::RelayedResponse(_))));
        }
        words
    }

    pub fn event(&mut self, event: Event<'_>) {
        self.sluice.handle(self.now, event, &mut self.commands);
        let (list, bytes) =
            (std::mem::take(&mut self.commands.list), std::mem::take(&mut self.commands.bytes));
        let mut at = 0;
        for order in list {
            match order {
                Command::Dial { conn, to } => self.dialled.push((conn, to)),
                Command::Write { conn, len } => {
                    let written = &bytes[at..at + len];
                    at += len;
                    if conn == self.feed {
                        self.to_control.put(written);
                        continue;
                    }
                    let text = String::from_utf8_lossy(written).into_owned();
                    self.said.entry(conn).or_default().extend(text.lines().map(str::to_string));
                }
                Command::Close { conn } | Command::Reset { conn } => self.dropped.push(conn),
                Command::Store { .. } | Command::Stop => {}
            }
        }
    }

    /// Lets time pass, and the router do what is due in it.
    pub fn pass(&mut self, ms: i64) {
        let end = self.now + TimeDelta::from_millis(ms);
        while let Some(due) = self.sluice.due().filter(|due| *due <= end) {
            self.now = due.max(self.now);
            self.event(Event::TimerExpired);
        }
        self.now = end;
    }

    /// A client comes and opens a session.
    pub fn client(&mut self) -> Conn {
        self.client_of("p0")
    }

    /// The same for a database: `p0` reads at the primary, `b0` what is 1.5 s old at most.
    pub fn client_of(&mut self, database: &str) -> Conn {
        let conn = self.commands.new_conn();
        self.event(Event::Accepted { conn, listener: LISTENERS[0] });
        self.says(conn, &format!("OPEN {database} u1"));
        assert_eq!(self.hears(conn), ["IDLE I -"]);
        conn
    }

    /// Somebody says lines to the router.
    pub fn says(&mut self, conn: Conn, lines: &str) {
        let bytes = lines.lines().map(|line| format!("{line}\r\n")).collect::<String>();
        self.event(Event::Received { conn, bytes: bytes.as_bytes() });
    }

    /// What the router wrote to somebody since the last look.
    pub fn hears(&mut self, conn: Conn) -> Vec<String> {
        self.said.remove(&conn).unwrap_or_default().into()
    }

    /// The router's newest connection to the host is opened.
    pub fn host_opens(&mut self) -> Conn {
        let (conn, _) = *self.dialled.last().expect("it dialled");
        self.event(Event::Connected { conn });
        assert_eq!(self.hears(conn), ["OPEN s0 sluice i-1"]);
        self.says(conn, "IDLE I 1.1");
        conn
    }
}
