//! The router program under test as a child process: its configuration files, its log and its exit.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::cluster::Cluster;

/// An op type of the platform's configuration.
#[derive(Clone, Copy, Debug)]
pub struct OpType {
    /// Name, as the op's statement contains it.
    pub name: &'static str,
    /// Latency target.
    pub target_ms: u32,
    /// Timeout of each op.
    pub timeout_ms: u32,
    /// `read_like`, `idempotency_key` or `non_idempotent`.
    pub effect: &'static str,
    /// `loose`, `recent`, `own_writes`, `latest` or `update`.
    pub read_level: &'static str,
}

/// The op types used by most tests and tools.
pub const OP_TYPES: [OpType; 4] = [
    OpType { name: "board-view", target_ms: 60, timeout_ms: 400, effect: "read_like", read_level: "recent" },
    OpType {
        name: "own-turn",
        target_ms: 60,
        timeout_ms: 400,
        effect: "read_like",
        read_level: "own_writes",
    },
    OpType {
        name: "turn-submit",
        target_ms: 100,
        timeout_ms: 500,
        effect: "idempotency_key",
        read_level: "update",
    },
    OpType { name: "standings", target_ms: 120, timeout_ms: 600, effect: "read_like", read_level: "loose" },
];

/// The platform's configuration file for a router in front of the cluster, with at most `sockets` file
/// descriptors.
pub fn platform_config(cluster: &Cluster, op_types: &[OpType], sockets: u32) -> Value {
    let grades: Vec<Value> = op_types
        .iter()
        .map(|op_type| {
            json!({"name": op_type.name, "credit": 1.0, "objective": op_type.target_ms, "deadline": op_type.timeout_ms,
                "late_worth": 0.5, "effect": op_type.effect, "group": "cell", "memory_span": 2000.0})
        })
        .collect();
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": cluster.discovery_address.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "known": cluster.initial_host_list(),
        "settings": {
            "balancers": 1, "granularity": 5.0, "discovery": "on_request", "dcs": ["a"],
            "caps": {"cancel": true, "dial_timeout": 250.0, "idle_close": 15000.0, "max_retry_after": 2000.0,
                "open_cap": 100000, "parallel_tries": false, "probing": true, "retry_after": true, "send_cap": 6},
            "clients": {"marks_retry": true},
            "domain": {"list_role": "delayed", "progress_told": true, "server_checks": "silent",
                "token_mode": "router", "read_level": op_types.iter().map(|op_type| op_type.read_level).collect::<Vec<_>>(),
                "oldest_data": op_types.iter().map(|_| 300.0).collect::<Vec<_>>()},
            "invariants": {"answer_slack": 20.0, "ask_within": 10000.0, "cold": 13000.0, "cold_from": 0.2,
                "drain_grace": 500.0, "fall": 1500.0, "fall_multiple": 2.0},
            "reporting": {"fields": ["x0", "x1"], "source": "pull"}, "grades": grades,
        }
    })
}

/// A router process, killed on drop.
pub struct Process {
    child: Child,
    /// Address of its listener for clients.
    pub address: SocketAddr,
    /// Address of its separate Flight SQL listener, if it has one.
    pub flight_address: Option<SocketAddr>,
    directory: PathBuf,
    /// The log lines so far.
    pub log: Arc<Mutex<Vec<String>>>,
}

/// Path of a program in the directory of the current executable.
pub fn sibling_program(name: &str) -> PathBuf {
    let current = std::env::current_exe().unwrap_or_default();
    current.parent().map(|directory| directory.join(name)).unwrap_or_default()
}

impl Process {
    /// Starts the program with the platform's configuration and, optionally, an operator configuration, and
    /// waits until it serves.
    ///
    /// # Errors
    /// The program did not start; the error contains its log.
    pub fn start(
        program: &Path,
        platform_config: &Value,
        operator_config: Option<&str>,
    ) -> Result<Process, String> {
        Process::start_with_env(program, platform_config, operator_config, &[])
    }

    /// Like `start`, with additional environment variables.
    ///
    /// # Errors
    /// The program did not start; the error contains its log.
    pub fn start_with_env(
        program: &Path,
        platform_config: &Value,
        operator_config: Option<&str>,
        environment: &[(&str, String)],
    ) -> Result<Process, String> {
        static NEXT_DIRECTORY: AtomicU32 = AtomicU32::new(0);
        let number = NEXT_DIRECTORY.fetch_add(1, Ordering::Relaxed);
        let directory = std::env::temp_dir().join(format!("arrowyard-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&directory).map_err(|error| error.to_string())?;
        let (platform_path, operator_path) = (directory.join("config.json"), directory.join("book.txtpb"));
        std::fs::write(&platform_path, platform_config.to_string()).map_err(|error| error.to_string())?;
        let mut command = Command::new(program);
        command.arg("run").env("RELAY_CONFIG", &platform_path).stderr(Stdio::piped());
        command.envs(environment.iter().map(|(name, value)| (name, value)));
        if let Some(operator_config) = operator_config {
            std::fs::write(&operator_path, operator_config).map_err(|error| error.to_string())?;
            command.arg("--book").arg(&operator_path);
        }
        let mut child =
            command.spawn().map_err(|error| format!("cannot start {}: {error}", program.display()))?;
        let mut lines = BufReader::new(child.stderr.take().expect("stderr is piped")).lines();
        let (mut log, mut flight_address) = (Vec::new(), None);
        let address = lines.by_ref().map_while(Result::ok).find_map(|line| {
            if let Some((_, address)) = line.split_once("Flight SQL at ") {
                flight_address = address.trim().parse().ok();
            }
            let address = line
                .split_once("serving at ")
                .and_then(|(_, address)| address.split(',').next()?.parse().ok());
            log.push(line);
            address
        });
        let Some(address) = address else {
            let _ = child.wait();
            return Err(log.join("\n"));
        };
        let log = Arc::new(Mutex::new(log));
        let shared_log = log.clone();
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                shared_log.lock().expect("the lock is not poisoned").push(line);
            }
        });
        Ok(Process { child, address, flight_address, directory, log })
    }

    /// Replaces the operator configuration and sends SIGHUP.
    pub fn reload_operator_config(&self, text: &str) {
        let path = self.directory.join("book.txtpb");
        let temporary_path = self.directory.join("book.next");
        std::fs::write(&temporary_path, text).expect("the directory is writable");
        std::fs::rename(temporary_path, path).expect("both paths are in one directory");
        self.signal("HUP");
    }

    /// Replaces the platform's configuration, which may be invalid, and sends SIGHUP.
    pub fn reload_platform_config(&self, text: &str) {
        std::fs::write(self.directory.join("config.json"), text).expect("the directory is writable");
        self.signal("HUP");
    }

    /// Sends SIGTERM, waits for the exit and returns the exit code.
    pub fn terminate(&mut self) -> Option<i32> {
        self.signal("TERM");
        self.child.wait().ok().and_then(|status| status.code())
    }

    /// Sends the signal of this name.
    pub fn signal(&self, name: &str) {
        let kill_command = format!("kill -{name} {}", self.child.id());
        let status = Command::new("sh").args(["-c", &kill_command]).status();
        assert!(status.is_ok_and(|status| status.success()));
    }

    /// Waits for a log line that contains `text`; whether there was one within the timeout.
    pub fn wait_for_log(&self, text: &str, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        loop {
            if self.log.lock().expect("the lock is not poisoned").iter().any(|line| line.contains(text)) {
                return true;
            }
            if Instant::now() >= deadline {
                return false;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// User and system time in clock ticks, and anonymous memory in KB.
    pub fn resource_usage(&self) -> (u64, u64) {
        let read_proc_file =
            |name: &str| std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id()));
        let stat = read_proc_file("stat").unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = [11, 12].iter().filter_map(|&index| fields.get(index)?.parse::<u64>().ok()).sum();
        let status = read_proc_file("status").unwrap_or_default();
        let anonymous_kb = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:")?.split_whitespace().next()?.parse().ok());
        (ticks, anonymous_kb.unwrap_or_default())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}
