//! Runs the programs on loopback in front of emulated hosts. Shared by tests and the example.

use std::cell::RefCell;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::mpsc::{Receiver, sync_channel};
use std::thread;
use std::time::Duration;

use arrowyard_emulator::{DatabaseHost, HostFaults, HostPlan, Platform, ReplicationGroup};
use arrowyard_runtime::{LoopConfig, run};
use arrowyard_testbed::rig::memory_directory;
use arrowyard_types::TimeDelta;

/// Timeout of every wait.
pub const TIMEOUT: Duration = Duration::from_secs(30);
/// Unread log lines after which a process blocks. The bound keeps a process that logs without end from
/// exhausting memory.
const MAX_UNREAD_LINES: usize = 100_000;
/// Number of last log lines shown when a wait times out.
const SHOWN_LINES: usize = 50;
/// Maximum length of a response in bytes.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// First port of the range, which is below the ephemeral ports.
const FIRST_PORT: u32 = 10_000;
/// Number of port groups in the range.
const PORT_GROUPS: u32 = 5000;

/// Ports of this test process; its fleets differ in their addresses. The ports are not allocated by opening
/// listeners: a child process started by another test inherits them until it executes its program, and the
/// ports stay in use.
fn ports() -> [u16; 4] {
    let first = FIRST_PORT + std::process::id() % PORT_GROUPS * 4;
    [0, 1, 2, 3].map(|next| u16::try_from(first + next).expect("below 30,000"))
}

/// Path of a program of this build, next to this executable or in the parent directory.
pub fn program(name: &str) -> PathBuf {
    let me = std::env::current_exe().expect("path of this executable");
    let found = me.ancestors().skip(1).map(|folder| folder.join(name)).find(|path| path.is_file());
    found.unwrap_or_else(|| panic!("{name} is not built: cargo build -p arrowyard-system"))
}

/// A running program with its log.
pub struct Process {
    pub child: Child,
    lines: Receiver<String>,
}

impl Process {
    pub fn start(program: &PathBuf, settings: &PathBuf) -> Process {
        let mut child = Command::new(program)
            .args(["run", "--settings"])
            .arg(settings)
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program is built");
        let (send, lines) = sync_channel(MAX_UNREAD_LINES);
        let stderr = child.stderr.take().expect("it is piped");
        thread::spawn(move || {
            BufReader::new(stderr).lines().map_while(Result::ok).all(|line| send.send(line).is_ok());
        });
        Process { child, lines }
    }

    /// Waits for a log line that contains `text` and returns it.
    pub fn wait_for_log(&self, text: &str) -> String {
        let mut passed = Vec::new();
        loop {
            let line = self.lines.recv_timeout(TIMEOUT);
            let line = line.unwrap_or_else(|error| {
                let last = &passed[passed.len().saturating_sub(SHOWN_LINES)..];
                panic!("no log line contains {text:?} ({error}); last lines:\n{}", last.join("\n"))
            });
            if line.contains(text) {
                return line;
            }
            passed.push(line);
        }
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("runs kill").success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Emulated hosts and the platform, with settings for the programs that connect to them.
pub struct Fleet {
    pub folder: PathBuf,
    pub ports: [u16; 4],
    pub net: u8,
    platform: SocketAddrV4,
}

/// Address of a control machine.
pub fn control_ip(net: u8, number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 9, net, number + 1)
}

impl Fleet {
    /// `net` selects the addresses, so that tests can run in parallel.
    pub fn new(net: u8) -> Fleet {
        Fleet::with_hosts(net, false)
    }

    /// With `instant` the hosts respond without a processing delay.
    pub fn with_hosts(net: u8, instant: bool) -> Fleet {
        let folder = memory_directory().join(format!("arrowyard-works-{}-{net}", std::process::id()));
        fs::create_dir_all(&folder).expect("creates the directory");
        let ports = ports();
        let platform = SocketAddrV4::new(Ipv4Addr::new(127, 9, net, 90), ports[3]);
        let fleet = Fleet { folder, ports, net, platform };
        fleet.start_hosts(instant);
        fleet
    }

    /// Starts three replicating hosts and the platform on a thread of their own.
    fn start_hosts(&self, instant: bool) {
        let (net, port, control, platform) = (self.net, self.ports[2], self.ports[0], self.platform);
        let ids: Vec<String> = (0..3).map(|copy| format!("i-{copy}")).collect();
        // Hosts of one service share their state, so one composite plane runs all of them on one thread.
        thread::spawn(move || {
            let history = Rc::default();
            let group = Rc::new(RefCell::new(ReplicationGroup::new("s0", &ids, TimeDelta::from_millis(5))));
            let mut planes: Vec<Box<dyn arrowyard_runtime::Plane>> = Vec::new();
            let mut listen_addresses = Vec::new();
            for (copy, id) in ids.iter().enumerate() {
                let address = SocketAddrV4::new(Ipv4Addr::new(127, 9, net, 60 + copy as u8), port);
                listen_addresses.push(address);
                let controls: Vec<SocketAddrV4> =
                    (0..3).map(|number| SocketAddrV4::new(control_ip(net, number), control)).collect();
                let controls = Rc::new(RefCell::new(controls));
                let plan = HostPlan {
                    id: id.clone(),
                    address,
                    zone: format!("zone{copy}"),
                    controls,
                    heartbeat_period: TimeDelta::from_millis(300),
                    connection_limit: 50,
                    seed: copy as u64 + 1,
                };
                let faults = Rc::new(RefCell::new(HostFaults { instant, ..HostFaults::default() }));
                let host = DatabaseHost::new(plan, group.clone(), Rc::clone(&history), faults, Rc::default());
                planes.push(Box::new(host));
            }
            listen_addresses.push(platform);
            let promotion_duration = TimeDelta::from_millis(300);
            planes.push(Box::new(Platform::new(&[group], history, promotion_duration, Rc::default())));
            let mut composite = CompositePlane { planes, owners: Default::default() };
            drop(run(LoopConfig { listen_addresses, store: None, max_connections: 1000 }, &mut composite));
        });
    }

    fn settings(&self, node: &str, ip: Ipv4Addr, listen_addresses: &str, first: bool, disk: bool) -> PathBuf {
        let seeds: Vec<String> =
            (0..3).map(|seed| format!("  - \"{}:{}\"", control_ip(self.net, seed), self.ports[0])).collect();
        let data =
            if disk { format!("\"{}\"", self.folder.join(node).display()) } else { "null".to_string() };
        let text = format!(
            "node: \"{node}\"\nip: \"{ip}\"\nzone: \"zone0\"\nbind-addrs:\n{listen_addresses}\ninternal-ports:\n  - {0}\n  - {0}\nseeds:\n{1}\n\
             bootstrap: {first}\ndata-dir: {data}\nlimits:\n  fd-limit: 4300\nenvelope:\n  grace-s: 4\nplatform-api:\n  address: \"{2}\"\n",
            self.ports[1],
            seeds.join("\n"),
            self.platform,
        );
        let path = self.folder.join(format!("{node}.yaml"));
        fs::write(&path, text).expect("writes the file");
        path
    }

    /// Starts a control machine; `first` sets `bootstrap`.
    pub fn control(&self, number: u8, first: bool) -> Process {
        let ip = control_ip(self.net, number);
        let listen_addresses = format!("  control: \"{ip}:{}\"", self.ports[0]);
        let settings = self.settings(&format!("core-{number}"), ip, &listen_addresses, first, true);
        Process::start(&program("arrowyard-control"), &settings)
    }

    /// Address of the router for clients.
    pub fn front(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, 9, self.net, 40), self.ports[2])
    }

    /// Starts the router.
    pub fn router(&self) -> Process {
        let front = self.front();
        let listen_addresses =
            format!("  front: \"{front}\"\n  readiness: \"{}:{}\"", front.ip(), self.ports[3]);
        let settings = self.settings("edge-0", *front.ip(), &listen_addresses, false, false);
        Process::start(&program("arrowyard-sluice"), &settings)
    }

    /// Sends an HTTP request to a control machine; returns the status and the body.
    pub fn call(&self, number: u8, text: &str) -> (u16, String) {
        let mut stream = TcpStream::connect((control_ip(self.net, number), self.ports[0])).expect("connects");
        stream.set_read_timeout(Some(TIMEOUT)).expect("sets the timeout");
        stream.write_all(text.as_bytes()).expect("writes");
        let mut response = String::new();
        stream.take(MAX_RESPONSE_BYTES).read_to_string(&mut response).expect("reads the response");
        let status = response.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        (status, response.split("\r\n\r\n").nth(1).unwrap_or_default().to_string())
    }

    /// Sends a configuration change.
    pub fn change(&self, number: u8, path: &str, base: u64, body: &str) -> (u16, String) {
        let text = format!(
            "POST {path} HTTP/1.1\r\nConnection: close\r\nArrowyard-Base-Revision: {base}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.call(number, &text)
    }

    /// Reads the configuration.
    pub fn read(&self, number: u8) -> (u16, String) {
        self.call(number, "GET /Config.Read HTTP/1.1\r\nConnection: close\r\n\r\n")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.folder));
    }
}

/// Runs several planes on one event loop. Each has one listener, and each connection belongs to one plane.
struct CompositePlane {
    planes: Vec<Box<dyn arrowyard_runtime::Plane>>,
    owners: std::collections::BTreeMap<arrowyard_runtime::Conn, usize>,
}

impl arrowyard_runtime::Plane for CompositePlane {
    fn handle(
        &mut self,
        now: arrowyard_types::Timestamp,
        event: arrowyard_runtime::Event<'_>,
        commands: &mut arrowyard_runtime::Commands,
    ) {
        use arrowyard_runtime::{Command, Event, ListenerId};
        let (place, event) = match event {
            Event::Accepted { conn, listener } => {
                self.owners.insert(conn, usize::from(listener.0));
                (Some(usize::from(listener.0)), Event::Accepted { conn, listener: ListenerId(0) })
            }
            Event::Connected { conn } | Event::Received { conn, .. } | Event::Closed { conn, .. } => {
                (self.owners.get(&conn).copied(), event)
            }
            event => (None, event),
        };
        for (number, plane) in self.planes.iter_mut().enumerate() {
            if place.is_some_and(|place| place != number) {
                // Planes share state: the others check their timers after each event.
                plane.handle(now, Event::TimerExpired, commands);
            } else {
                plane.handle(now, event, commands);
            }
            for order in &commands.list {
                if let Command::Dial { conn, .. } = order {
                    self.owners.entry(*conn).or_insert(number);
                }
            }
        }
    }

    fn due(&self) -> Option<arrowyard_types::Timestamp> {
        self.planes.iter().filter_map(|plane| plane.due()).min()
    }
}

/// A client session.
pub struct Client {
    pub stream: BufReader<TcpStream>,
    last_id: u64,
}

impl Client {
    pub fn open(front: SocketAddrV4, database: &str) -> Client {
        let (client, response) = Client::dial(front, database);
        assert_eq!(response.last().map(String::as_str), Some("IDLE I -"));
        client
    }

    /// Opens a session at a router or a host and returns it with the response.
    pub fn dial(address: SocketAddrV4, name: &str) -> (Client, Vec<String>) {
        let stream = TcpStream::connect(address).expect("connects");
        stream.set_read_timeout(Some(TIMEOUT)).expect("sets the timeout");
        let mut client = Client { stream: BufReader::new(stream), last_id: 0 };
        client.send(&format!("OPEN {name} u1"));
        let response = client.read_response();
        (client, response)
    }

    fn send(&mut self, line: &str) {
        self.stream.get_mut().write_all(format!("{line}\r\n").as_bytes()).expect("writes");
    }

    /// Reads the lines of one response.
    fn read_response(&mut self) -> Vec<String> {
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            assert!(
                self.stream
                    .by_ref()
                    .take(MAX_RESPONSE_BYTES)
                    .read_line(&mut line)
                    .expect("response before the timeout")
                    > 0,
                "connection closed after {lines:?}"
            );
            lines.push(line.trim_end().to_string());
            if line.starts_with("IDLE") {
                return lines;
            }
        }
    }

    /// Runs a statement and returns the lines of the response.
    pub fn ask(&mut self, text: &str) -> Vec<String> {
        self.last_id += 1;
        let line = format!("QUERY id{} {text}", self.last_id);
        self.send(&line);
        self.read_response()
    }

    /// Retries a statement until it succeeds, since the hosts may not be discovered yet.
    pub fn ask_until_served(&mut self, text: &str) -> Vec<String> {
        for _ in 0..2000 {
            let response = self.ask(text);
            if response.iter().any(|line| line.starts_with("SETTLED")) {
                return response;
            }
        }
        panic!("{text} was never served");
    }
}

/// The first configuration.
pub const FIRST: &str = r#"{"revision":3,"channels":[
 {"name":"p","plant":"p0","path-prefix":"/","kind":"primary","deadline-ms":2000,"setpoint-ms":400,"priority":1,"service":"s0","tries":2},
 {"name":"b","plant":"b0","path-prefix":"/","kind":"bounded_staleness","deadline-ms":2000,"setpoint-ms":400,"priority":1,"service":"s0","tries":2,"staleness-bound-ms":1500}],
 "services":[{"name":"s0","conn-limit":40,"sync-replicas":1}],"limits":{"tx-idle-ms":9000}}"#;

/// Starts three control machines and installs the first configuration.
pub fn start_controls(fleet: &Fleet) -> Vec<Process> {
    let controls: Vec<Process> = (0..3).map(|number| fleet.control(number, true)).collect();
    for control in &controls {
        control.wait_for_log("reached a majority of the voters");
    }
    let (status, body) = fleet.change(1, "/Config.Replace", 0, FIRST);
    assert_eq!(status, 200, "{body}");
    controls
}
