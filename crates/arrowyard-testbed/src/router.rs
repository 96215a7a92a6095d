//! The program under test as a process: its file, its log, its end.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::town::Town;

/// An op type, as the platform's file tells it.
#[derive(Clone, Copy, Debug)]
pub struct OpType {
    pub name: &'static str,
    pub target_ms: u32,
    pub timeout_ms: u32,
    /// `read_like`, `idempotency_key` or `non_idempotent`.
    pub effect: &'static str,
    /// `loose`, `recent`, `own_writes`, `latest` or `update`.
    pub read: &'static str,
}

/// What most runs ask for.
pub const OP_TYPES: [OpType; 4] = [
    OpType { name: "board-view", target_ms: 60, timeout_ms: 400, effect: "read_like", read: "recent" },
    OpType { name: "own-turn", target_ms: 60, timeout_ms: 400, effect: "read_like", read: "own_writes" },
    OpType {
        name: "turn-submit",
        target_ms: 100,
        timeout_ms: 500,
        effect: "idempotency_key",
        read: "update",
    },
    OpType { name: "standings", target_ms: 120, timeout_ms: 600, effect: "read_like", read: "loose" },
];

/// The platform's file for a router before this town.
pub fn waybill(town: &Town, op_types: &[OpType], sockets: u32) -> Value {
    let grades: Vec<Value> = op_types
        .iter()
        .map(|row| {
            json!({"name": row.name, "credit": 1.0, "objective": row.target_ms, "deadline": row.timeout_ms,
                "late_worth": 0.5, "effect": row.effect, "group": "cell", "memory_span": 2000.0})
        })
        .collect();
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": town.discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "known": town.known(),
        "settings": {
            "balancers": 1, "granularity": 5.0, "discovery": "on_request", "dcs": ["a"],
            "caps": {"cancel": true, "dial_timeout": 250.0, "idle_close": 15000.0, "max_retry_after": 2000.0,
                "open_cap": 100000, "parallel_tries": false, "probing": true, "retry_after": true, "send_cap": 6},
            "clients": {"marks_retry": true},
            "domain": {"list_role": "delayed", "progress_told": true, "server_checks": "silent",
                "token_mode": "router", "read_level": op_types.iter().map(|row| row.read).collect::<Vec<_>>(),
                "oldest_data": op_types.iter().map(|_| 300.0).collect::<Vec<_>>()},
            "invariants": {"answer_slack": 20.0, "ask_within": 10000.0, "cold": 13000.0, "cold_from": 0.2,
                "drain_grace": 500.0, "fall": 1500.0, "fall_multiple": 2.0},
            "reporting": {"fields": ["x0", "x1"], "source": "pull"}, "grades": grades,
        }
    })
}

/// A router that runs till this is dropped.
pub struct Process {
    child: Child,
    pub address: SocketAddr,
    /// Where it serves Flight SQL, if it does.
    pub flight: Option<SocketAddr>,
    folder: PathBuf,
    pub log: Arc<Mutex<Vec<String>>>,
}

/// The program that stands beside the running one; tests name it themselves.
pub fn beside(name: &str) -> PathBuf {
    let here = std::env::current_exe().unwrap_or_default();
    here.parent().map(|folder| folder.join(name)).unwrap_or_default()
}

impl Process {
    /// Starts the program with the platform's file and, if there is one, the operator's.
    ///
    /// # Errors
    /// What it said when it did not start.
    pub fn start(program: &Path, waybill: &Value, book: Option<&str>) -> Result<Process, String> {
        Process::start_with(program, waybill, book, &[])
    }

    /// The same, with more in its environment.
    ///
    /// # Errors
    /// What it said when it did not start.
    pub fn start_with(
        program: &Path,
        waybill: &Value,
        book: Option<&str>,
        envs: &[(&str, String)],
    ) -> Result<Process, String> {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("arrowyard-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let (config, own) = (folder.join("config.json"), folder.join("book.txtpb"));
        std::fs::write(&config, waybill.to_string()).map_err(|error| error.to_string())?;
        let mut command = Command::new(program);
        command.arg("run").env("RELAY_CONFIG", &config).stderr(Stdio::piped());
        command.envs(envs.iter().map(|(name, value)| (name, value)));
        if let Some(book) = book {
            std::fs::write(&own, book).map_err(|error| error.to_string())?;
            command.arg("--book").arg(&own);
        }
        let mut child =
            command.spawn().map_err(|error| format!("{} cannot be started: {error}", program.display()))?;
        let mut lines = BufReader::new(child.stderr.take().expect("it is piped")).lines();
        let (mut said, mut flight) = (Vec::new(), None);
        let address = lines.by_ref().map_while(Result::ok).find_map(|line| {
            if let Some((_, at)) = line.split_once("Flight SQL at ") {
                flight = at.trim().parse().ok();
            }
            let at = line.split_once("serving at ").and_then(|(_, at)| at.split(',').next()?.parse().ok());
            said.push(line);
            at
        });
        let Some(address) = address else {
            let _ = child.wait();
            return Err(said.join("\n"));
        };
        let log = Arc::new(Mutex::new(said));
        let kept = log.clone();
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                kept.lock().expect("nobody panics with the log").push(line);
            }
        });
        Ok(Process { child, address, flight, folder, log })
    }

    /// Writes the operator's file anew and sends SIGHUP.
    pub fn rebook(&self, book: &str) {
        let path = self.folder.join("book.txtpb");
        let next = self.folder.join("book.next");
        std::fs::write(&next, book).expect("its folder can be written");
        std::fs::rename(next, path).expect("both are in one folder");
        self.signal("HUP");
    }

    /// Writes the platform's file anew, whatever it says, and sends SIGHUP.
    pub fn retell(&self, text: &str) {
        std::fs::write(self.folder.join("config.json"), text).expect("its folder can be written");
        self.signal("HUP");
    }

    /// Tells it to end, and waits till it has; its exit code.
    pub fn terminate(&mut self) -> Option<i32> {
        self.signal("TERM");
        self.child.wait().ok().and_then(|status| status.code())
    }

    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        let status = Command::new("sh").args(["-c", &kill]).status();
        assert!(status.is_ok_and(|status| status.success()));
    }

    /// Waits for a line of the log that holds this; whether it came in time.
    pub fn said(&self, what: &str, within: Duration) -> bool {
        let until = Instant::now() + within;
        loop {
            if self.log.lock().expect("nobody panics with the log").iter().any(|line| line.contains(what)) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// User and system time, in clock ticks, and the own memory in KB, as the system counts them.
    pub fn cost(&self) -> (u64, u64) {
        let read = |name: &str| std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id()));
        let stat = read("stat").unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = [11, 12].iter().filter_map(|&at| fields.get(at)?.parse::<u64>().ok()).sum();
        let status = read("status").unwrap_or_default();
        let anon = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:")?.split_whitespace().next()?.parse().ok());
        (ticks, anon.unwrap_or_default())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
