//! A fleet of the programs as they ship, on loopback, before stand-in hosts. Shared by tests and measurements.

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

use arrowyard_emulator::{DatabaseHost, HostFaults, HostPlan, Platform, Shard};
use arrowyard_runtime::{LoopConfig, run};
use arrowyard_testbed::rig::memory;
use arrowyard_types::TimeDelta;

pub const LONG: Duration = Duration::from_secs(30);
/// Lines of a log that nobody has waited for yet; a process that says more waits, and the test fails in time. These tests
/// once took all of the machine's memory; by what is not known, and this had no bound.
const WAITING_LINES: usize = 100_000;
/// So many of the last lines are shown where a test waits in vain.
const SHOWN_LINES: usize = 50;
/// A longer answer is no answer of ours.
const LONGEST_ANSWER: u64 = 16 << 20;

/// The first port of all, below those that the system gives to connections and to listeners without a port of their own.
const FIRST_PORT: u32 = 10_000;
const FLEETS: u32 = 5000;

/// Ports of this process of tests; its fleets differ in their addresses. They are not asked of the system by opening
/// listeners: a child that another test starts at that moment holds copies of these until it runs its own program, and
/// the port counts as taken meanwhile.
fn ports() -> [u16; 4] {
    let first = FIRST_PORT + std::process::id() % FLEETS * 4;
    [0, 1, 2, 3].map(|next| u16::try_from(first + next).expect("below 30,000"))
}

/// A program of this build: it lies beside whoever asks, or one folder up.
pub fn program(name: &str) -> PathBuf {
    let me = std::env::current_exe().expect("its own path");
    let found = me.ancestors().skip(1).map(|folder| folder.join(name)).find(|path| path.is_file());
    found.unwrap_or_else(|| panic!("{name} is not built: cargo build -p arrowyard-system"))
}

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
        let (send, lines) = sync_channel(WAITING_LINES);
        let stderr = child.stderr.take().expect("it is piped");
        thread::spawn(move || {
            BufReader::new(stderr).lines().map_while(Result::ok).all(|line| send.send(line).is_ok());
        });
        Process { child, lines }
    }

    /// Waits for a line that holds these words.
    pub fn says(&self, words: &str) -> String {
        let mut passed = Vec::new();
        loop {
            let line = self.lines.recv_timeout(LONG);
            let line = line.unwrap_or_else(|fault| {
                let last = &passed[passed.len().saturating_sub(SHOWN_LINES)..];
                panic!("nothing was said of: {words} ({fault}), but:\n{}", last.join("\n"))
            });
            if line.contains(words) {
                return line;
            }
            passed.push(line);
        }
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("there is kill").success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

pub struct Fleet {
    pub folder: PathBuf,
    pub ports: [u16; 4],
    pub net: u8,
    platform: SocketAddrV4,
}

pub fn control_ip(net: u8, number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 9, net, number + 1)
}

impl Fleet {
    /// `net` keeps the addresses of tests that run side by side apart.
    pub fn new(net: u8) -> Fleet {
        Fleet::before(net, false)
    }

    /// `quick`: hosts work no time at all.
    pub fn before(net: u8, quick: bool) -> Fleet {
        let folder = memory().join(format!("arrowyard-works-{}-{net}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder of our own");
        let ports = ports();
        let platform = SocketAddrV4::new(Ipv4Addr::new(127, 9, net, 90), ports[3]);
        let fleet = Fleet { folder, ports, net, platform };
        fleet.stand_ins(quick);
        fleet
    }

    /// Three hosts that replicate and the platform, on a thread of their own with loops of their own.
    fn stand_ins(&self, quick: bool) {
        let (net, port, control, platform) = (self.net, self.ports[2], self.ports[0], self.platform);
        let ids: Vec<String> = (0..3).map(|copy| format!("i-{copy}")).collect();
        // Hosts of one service share their logs, so they share a thread: one plane that holds all of them.
        thread::spawn(move || {
            let history = Rc::default();
            let shard = Rc::new(RefCell::new(Shard::new("s0", &ids, TimeDelta::from_millis(5))));
            let mut planes: Vec<Box<dyn arrowyard_runtime::Plane>> = Vec::new();
            let mut doors = Vec::new();
            for (copy, id) in ids.iter().enumerate() {
                let address = SocketAddrV4::new(Ipv4Addr::new(127, 9, net, 60 + copy as u8), port);
                doors.push(address);
                let controls: Vec<SocketAddrV4> =
                    (0..3).map(|number| SocketAddrV4::new(control_ip(net, number), control)).collect();
                let controls = Rc::new(RefCell::new(controls));
                let plan = HostPlan {
                    id: id.clone(),
                    address,
                    zone: format!("zone{copy}"),
                    controls,
                    period: TimeDelta::from_millis(300),
                    limit: 50,
                    seed: copy as u64 + 1,
                };
                let faults = Rc::new(RefCell::new(HostFaults { quick, ..HostFaults::default() }));
                let host = DatabaseHost::new(plan, shard.clone(), Rc::clone(&history), faults, Rc::default());
                planes.push(Box::new(host));
            }
            doors.push(platform);
            let takes = TimeDelta::from_millis(300);
            planes.push(Box::new(Platform::new(&[shard], history, takes, Rc::default())));
            let mut together = Together { planes, of: Default::default() };
            drop(run(
                LoopConfig { listen_addresses: doors, store: None, max_connections: 1000 },
                &mut together,
            ));
        });
    }

    fn settings(&self, node: &str, ip: Ipv4Addr, doors: &str, first: bool, disk: bool) -> PathBuf {
        let seeds: Vec<String> =
            (0..3).map(|seed| format!("  - \"{}:{}\"", control_ip(self.net, seed), self.ports[0])).collect();
        let data =
            if disk { format!("\"{}\"", self.folder.join(node).display()) } else { "null".to_string() };
        let text = format!(
            "node: \"{node}\"\nip: \"{ip}\"\nzone: \"zone0\"\nbind-addrs:\n{doors}\ninternal-ports:\n  - {0}\n  - {0}\nseeds:\n{1}\n\
             bootstrap: {first}\ndata-dir: {data}\nlimits:\n  fd-limit: 4300\nenvelope:\n  grace-s: 4\nplatform-api:\n  address: \"{2}\"\n",
            self.ports[1],
            seeds.join("\n"),
            self.platform,
        );
        let path = self.folder.join(format!("{node}.yaml"));
        fs::write(&path, text).expect("a file of our own");
        path
    }

    pub fn control(&self, number: u8, first: bool) -> Process {
        let ip = control_ip(self.net, number);
        let doors = format!("  control: \"{ip}:{}\"", self.ports[0]);
        let settings = self.settings(&format!("core-{number}"), ip, &doors, first, true);
        Process::start(&program("arrowyard-control"), &settings)
    }

    pub fn front(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, 9, self.net, 40), self.ports[2])
    }

    pub fn router(&self) -> Process {
        let front = self.front();
        let doors = format!("  front: \"{front}\"\n  readiness: \"{}:{}\"", front.ip(), self.ports[3]);
        let settings = self.settings("edge-0", *front.ip(), &doors, false, false);
        Process::start(&program("arrowyard-sluice"), &settings)
    }

    pub fn call(&self, number: u8, text: &str) -> (u16, String) {
        let mut stream =
            TcpStream::connect((control_ip(self.net, number), self.ports[0])).expect("it listens");
        stream.set_read_timeout(Some(LONG)).expect("a time");
        stream.write_all(text.as_bytes()).expect("it reads");
        let mut answer = String::new();
        stream.take(LONGEST_ANSWER).read_to_string(&mut answer).expect("it answers and ends");
        let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        (status, answer.split("\r\n\r\n").nth(1).unwrap_or_default().to_string())
    }

    pub fn change(&self, number: u8, path: &str, base: u64, body: &str) -> (u16, String) {
        let text = format!(
            "POST {path} HTTP/1.1\r\nConnection: close\r\nArrowyard-Base-Revision: {base}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.call(number, &text)
    }

    pub fn read(&self, number: u8) -> (u16, String) {
        self.call(number, "GET /Config.Read HTTP/1.1\r\nConnection: close\r\n\r\n")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.folder));
    }
}

/// Several planes on one loop: each has its door, and every connection is one plane's.
struct Together {
    planes: Vec<Box<dyn arrowyard_runtime::Plane>>,
    of: std::collections::BTreeMap<arrowyard_runtime::Conn, usize>,
}

impl arrowyard_runtime::Plane for Together {
    fn handle(
        &mut self,
        now: arrowyard_types::Timestamp,
        event: arrowyard_runtime::Event<'_>,
        commands: &mut arrowyard_runtime::Commands,
    ) {
        use arrowyard_runtime::{Command, Event, ListenerId};
        let (place, event) = match event {
            Event::Accepted { conn, listener } => {
                self.of.insert(conn, usize::from(listener.0));
                (Some(usize::from(listener.0)), Event::Accepted { conn, listener: ListenerId(0) })
            }
            Event::Connected { conn } | Event::Received { conn, .. } | Event::Closed { conn, .. } => {
                (self.of.get(&conn).copied(), event)
            }
            event => (None, event),
        };
        for (number, plane) in self.planes.iter_mut().enumerate() {
            if place.is_some_and(|place| place != number) {
                // What one did may concern the others: they look at the time.
                plane.handle(now, Event::TimerExpired, commands);
            } else {
                plane.handle(now, event, commands);
            }
            for order in &commands.list {
                if let Command::Dial { conn, .. } = order {
                    self.of.entry(*conn).or_insert(number);
                }
            }
        }
    }

    fn due(&self) -> Option<arrowyard_types::Timestamp> {
        self.planes.iter().filter_map(|plane| plane.due()).min()
    }
}

/// A client's session.
pub struct Client {
    pub stream: BufReader<TcpStream>,
    last: u64,
}

impl Client {
    pub fn open(front: SocketAddrV4, database: &str) -> Client {
        let (client, answer) = Client::dial(front, database);
        assert_eq!(answer.last().map(String::as_str), Some("IDLE I -"));
        client
    }

    /// A session at a router or a host, and what it was answered.
    pub fn dial(address: SocketAddrV4, name: &str) -> (Client, Vec<String>) {
        let stream = TcpStream::connect(address).expect("it listens");
        stream.set_read_timeout(Some(LONG)).expect("a time");
        let mut client = Client { stream: BufReader::new(stream), last: 0 };
        client.say(&format!("OPEN {name} u1"));
        let answer = client.answer();
        (client, answer)
    }

    fn say(&mut self, line: &str) {
        self.stream.get_mut().write_all(format!("{line}\r\n").as_bytes()).expect("it reads");
    }

    /// The lines up to the end of an answer.
    fn answer(&mut self) -> Vec<String> {
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            assert!(
                self.stream.by_ref().take(LONGEST_ANSWER).read_line(&mut line).expect("an answer in time")
                    > 0,
                "it closed after {lines:?}"
            );
            lines.push(line.trim_end().to_string());
            if line.starts_with("IDLE") {
                return lines;
            }
        }
    }

    pub fn ask(&mut self, text: &str) -> Vec<String> {
        self.last += 1;
        let line = format!("QUERY id{} {text}", self.last);
        self.say(&line);
        self.answer()
    }

    /// Asks until it is served: hosts may not be known yet, and a client may come back.
    pub fn ask_till_served(&mut self, text: &str) -> Vec<String> {
        for _ in 0..2000 {
            let answer = self.ask(text);
            if answer.iter().any(|line| line.starts_with("SETTLED")) {
                return answer;
            }
        }
        panic!("{text} was never served");
    }
}

pub const FIRST: &str = r#"{"revision":3,"channels":[
 {"name":"p","plant":"p0","path-prefix":"/","kind":"primary","deadline-ms":2000,"setpoint-ms":400,"priority":1,"service":"s0","tries":2},
 {"name":"b","plant":"b0","path-prefix":"/","kind":"bounded_staleness","deadline-ms":2000,"setpoint-ms":400,"priority":1,"service":"s0","tries":2,"staleness-bound-ms":1500}],
 "services":[{"name":"s0","conn-limit":40,"sync-replicas":1}],"limits":{"tx-idle-ms":9000}}"#;

pub fn started(fleet: &Fleet) -> Vec<Process> {
    let controls: Vec<Process> = (0..3).map(|number| fleet.control(number, true)).collect();
    for control in &controls {
        control.says("In touch with the voters");
    }
    let (status, body) = fleet.change(1, "/Config.Replace", 0, FIRST);
    assert_eq!(status, 200, "{body}");
    controls
}
