//! A fleet of router processes in front of one cluster, with relays between them and fault plans. Each
//! process's view of the other members over time is read from its log, whose lines carry the machine's
//! monotonic clock.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::runtime::{Builder, Runtime};

use crate::client::{Client, Reply};
use crate::cluster::{Cluster, HostSpec};
use crate::plan::{Fault, Plan};
use crate::router::{OP_TYPES, Process, platform_config};
use crate::tcp_relay::TcpRelays;
use crate::udp_relay::UdpRelays;

/// A logged change of a member's standing in another process's view.
#[derive(Clone, Debug, PartialEq)]
pub struct StandingChange {
    /// Time by the machine's monotonic clock, in microseconds.
    pub mono_us: i64,
    /// Index of the process whose view changed.
    pub observer: usize,
    /// Index of the process whose standing changed.
    pub member: usize,
    pub incarnation: u64,
    /// The member's new standing as it is logged, such as `Alive` or `Dead`.
    pub standing: String,
}

impl StandingChange {
    /// Whether the member is considered lost or dead.
    #[must_use]
    pub fn is_lost_or_dead(&self) -> bool {
        self.standing == "Lost" || self.standing == "Dead"
    }
}

/// Configuration of a fleet.
#[derive(Clone, Debug)]
pub struct RigConfig {
    /// Number of processes.
    pub processes: usize,
    pub seed: u64,
    /// Additional fields of `peers` in the operator configuration.
    pub peers_fields: String,
    /// Additional fields of `returns` in the operator configuration.
    pub returns_fields: String,
    /// Whether the processes run without membership.
    pub without_membership: bool,
    /// Number of routers in the platform's configuration.
    pub configured_routers: usize,
    /// Whether the platform's configuration contains a host list.
    pub initial_host_list: bool,
    /// Whether each process stores its host list, which is kept across restarts.
    pub with_stores: bool,
    /// Number of processes that vote on leases, starting with the first.
    pub voters: usize,
    /// Additional fields of `leases` in the operator configuration: duties and the term.
    pub leases_fields: String,
    /// Whether processes reach hosts and discovery over relays, which can be cut.
    pub use_tcp_relays: bool,
    /// By process: drift of the clock for leases in parts per million.
    pub clock_drifts_ppm: Vec<i64>,
}

impl RigConfig {
    /// A fleet of `processes` processes with membership, without stores and leases.
    #[must_use]
    pub fn new(processes: usize) -> RigConfig {
        let (peers_fields, returns_fields, without_membership, initial_host_list, with_stores) =
            (String::new(), String::new(), false, true, false);
        let (leases_fields, clock_drifts_ppm) = (String::new(), Vec::new());
        let (configured_routers, voters) = (processes, 0);
        let use_tcp_relays = false;
        RigConfig {
            processes,
            seed: 1,
            peers_fields,
            returns_fields,
            without_membership,
            configured_routers,
            initial_host_list,
            with_stores,
            voters,
            leases_fields,
            use_tcp_relays,
            clock_drifts_ppm,
        }
    }
}

/// A running fleet. Its processes and files are removed on drop.
pub struct Rig {
    /// The hosts and discovery.
    pub cluster: Cluster,
    /// Relays of membership datagrams.
    pub peer_relays: UdpRelays,
    /// Relays of lease datagrams.
    pub lease_relays: UdpRelays,
    /// Relays to hosts, if the configuration enables them.
    pub tcp_relays: TcpRelays,
    /// By process: the address of its discovery.
    pub discovery_addresses: Vec<SocketAddr>,
    program: PathBuf,
    config: RigConfig,
    directory: PathBuf,
    processes: Vec<Option<Process>>,
    /// By process: time of the last start.
    started_us: Vec<i64>,
    /// By process: log lines of earlier runs, each with the process's index.
    logs: Vec<Vec<(usize, String)>>,
    /// By process: the vote file at the start of the plan.
    old_votes: Vec<Option<Vec<u8>>>,
    runtime: Option<Runtime>,
}

/// The machine's monotonic clock in microseconds.
#[must_use]
pub fn monotonic_us() -> i64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec * 1_000_000 + now.tv_nsec / 1000
}

/// The index in a process's name.
fn process_index(name: &str) -> Option<usize> {
    name.strip_prefix('n')?.parse().ok()
}

/// Number of the next rig. Without it, rigs that run at the same time in one process would share a directory.
static NEXT_RIG: AtomicU32 = AtomicU32::new(0);

/// A writable directory in memory if the machine has one, otherwise the directory for temporary files.
/// Voters reply only once their votes are on disk; on a busy disk, that would exceed the time limits of
/// tests. Files in memory survive the kill of a process.
#[must_use]
pub fn memory_directory() -> PathBuf {
    let mounts = std::fs::read_to_string("/proc/mounts").unwrap_or_default();
    let mut directories = mounts.lines().filter_map(|line| {
        let mut fields = line.split(' ').skip(1);
        let (directory, file_system, options) = (fields.next()?, fields.next()?, fields.next()?);
        let is_suitable = file_system == "tmpfs"
            && options.split(',').any(|option| option == "rw")
            && !directory.starts_with("/sys");
        is_suitable.then(|| PathBuf::from(directory))
    });
    let is_writable = |directory: &PathBuf| {
        let probe_path = directory.join(format!("arrowyard-probe-{}", std::process::id()));
        let is_written = std::fs::write(&probe_path, [0; 4096]).is_ok();
        drop(std::fs::remove_file(&probe_path));
        is_written
    };
    directories.find(is_writable).unwrap_or_else(std::env::temp_dir)
}

impl Rig {
    /// Starts the cluster, the relays and the processes. The seeds of each process include an address
    /// without a listener.
    ///
    /// # Errors
    /// A process did not start; the error contains its log.
    pub fn start(program: &Path, config: RigConfig) -> Result<Rig, String> {
        let host_spec = |name: &str| HostSpec { slots: 64, ..HostSpec::new(name, 7, name == "p-0") };
        let cluster = Cluster::start(&["p-0", "r-0", "r-1"].map(host_spec));
        let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let runtime = runtime.map_err(|error| error.to_string())?;
        let peer_relays = runtime.block_on(UdpRelays::start(config.processes, config.seed));
        let lease_relays = runtime.block_on(UdpRelays::start(config.processes, config.seed + 1));
        let process_count = config.processes;
        let tcp_relays = TcpRelays::new(runtime.handle().clone());
        let discovery_addresses = (0..process_count).map(|process| {
            if !config.use_tcp_relays {
                return cluster.discovery_address;
            }
            let discovery = cluster.start_discovery();
            cluster.set_advertised_addresses(discovery, |host| tcp_relays.address(process, host));
            discovery
        });
        let discovery_addresses = discovery_addresses.collect();
        let mut rig = Rig {
            cluster,
            peer_relays,
            lease_relays,
            tcp_relays,
            discovery_addresses,
            program: program.to_path_buf(),
            directory: memory_directory().join(format!(
                "arrowyard-stores-{}-{}",
                std::process::id(),
                NEXT_RIG.fetch_add(1, Ordering::Relaxed)
            )),
            processes: (0..process_count).map(|_| None).collect(),
            started_us: vec![0; process_count],
            logs: vec![Vec::new(); process_count],
            old_votes: vec![None; process_count],
            runtime: Some(runtime),
            config,
        };
        (0..rig.config.voters).try_for_each(|process| rig.init_voter(process))?;
        (0..process_count).try_for_each(|process| rig.start_process(process))?;
        Ok(rig)
    }

    /// Whether the fleet runs without membership.
    #[must_use]
    pub fn is_without_membership(&self) -> bool {
        self.config.without_membership
    }

    /// The operator configuration of a process.
    #[must_use]
    pub fn operator_config(&self, process: usize) -> String {
        let mut text = "epoch: 1\nlog { form: JSON lines_a_second: 100000 }\n".to_string();
        if self.config.with_stores {
            let (store, returns_fields) = (self.store_path(process), &self.config.returns_fields);
            text += &format!("returns {{ store: \"{}\" save_ms: 200 {returns_fields} }}\n", store.display());
        }
        if self.config.voters > 0 {
            let voters = (0..self.config.voters).map(|voter| {
                // A voter does not send datagrams to itself.
                let address = if voter == process {
                    "127.0.0.1:1".to_string()
                } else {
                    self.lease_relays.address(process, voter).to_string()
                };
                format!("  voter {{ name: \"n{voter}\" at: \"{address}\" }}\n")
            });
            text += &format!(
                "leases {{\n  fleet: \"rig\"\n  listen: \"127.0.0.1:0\"\n  store: \"{}\"\n{}  {}\n}}\n",
                self.vote_store_path(process).display(),
                voters.collect::<String>(),
                self.config.leases_fields
            );
        }
        if self.config.without_membership {
            return text;
        }
        let others = (0..self.config.processes).filter(|&other| other != process);
        let via = others.clone().map(|other| {
            format!("  via {{ name: \"n{other}\" at: \"{}\" }}\n", self.peer_relays.address(process, other))
        });
        let seeds =
            others.take(2).map(|other| format!("  seed: \"{}\"\n", self.peer_relays.address(process, other)));
        // An address without a listener.
        let unreachable_seed = "  seed: \"127.0.0.1:1\"\n";
        format!(
            "{text}peers {{\n  fleet: \"rig\"\n  listen: \"127.0.0.1:0\"\n  allow: \"127.0.0.0/8\"\n{unreachable_seed}{}{}  {}\n}}\n",
            seeds.collect::<String>(),
            via.collect::<String>(),
            self.config.peers_fields
        )
    }

    /// Directory of a process's stored host lists.
    #[must_use]
    pub fn store_path(&self, process: usize) -> PathBuf {
        self.directory.join(format!("n{process}"))
    }

    /// Creates a voter's vote store with the command for operators.
    fn init_voter(&self, process: usize) -> Result<(), String> {
        let error_text = |error: std::io::Error| error.to_string();
        std::fs::create_dir_all(&self.directory).map_err(error_text)?;
        let config_path = self.directory.join(format!("book{process}.txtpb"));
        std::fs::write(&config_path, self.operator_config(process)).map_err(error_text)?;
        let output = Command::new(&self.program)
            .args(["leases", "init", "--name", &format!("n{process}"), "--book"])
            .arg(config_path)
            .output()
            .map_err(error_text)?;
        if output.status.success() {
            Ok(())
        } else {
            Err(String::from_utf8_lossy(&output.stderr).into_owned())
        }
    }

    /// Directory of a process's vote store.
    #[must_use]
    pub fn vote_store_path(&self, process: usize) -> PathBuf {
        self.directory.join(format!("v{process}"))
    }

    /// Starts or restarts a process.
    ///
    /// # Errors
    /// It did not start; the error contains its log.
    pub fn start_process(&mut self, process: usize) -> Result<(), String> {
        self.save_log(process);
        let mut platform_config = platform_config(&self.cluster, &OP_TYPES, 512);
        platform_config["name"] = json!(format!("n{process}"));
        platform_config["seed"] = json!(format!("{:016x}", self.config.seed * 1000 + process as u64));
        platform_config["discovery"] = json!(self.discovery_addresses[process].to_string());
        if !self.config.initial_host_list || self.config.use_tcp_relays {
            platform_config.as_object_mut().expect("the configuration is an object").remove("known");
        }
        platform_config["settings"]["balancers"] = json!(self.config.configured_routers);
        self.started_us[process] = monotonic_us();
        let drift_ppm = self.config.clock_drifts_ppm.get(process).copied().unwrap_or_default();
        let environment = [("ARROWYARD_TEST_CLOCK_PPM", drift_ppm.to_string())];
        let router = Process::start_with_env(
            &self.program,
            &platform_config,
            Some(&self.operator_config(process)),
            &environment,
        )?;
        let log = router.log.lock().expect("the lock is not poisoned").clone();
        let logged_address = |prefix: &str| {
            log.iter().find_map(|line| {
                let (_, rest) = line.split_once(prefix)?;
                rest.split(['"', ' ']).next()?.parse().ok()
            })
        };
        self.peer_relays.set_process_address(process, logged_address("datagrams at "));
        self.lease_relays.set_process_address(process, logged_address("leases at "));
        self.processes[process] = Some(router);
        Ok(())
    }

    /// Keeps the log of a process and drops the process, which kills it if it still runs.
    fn save_log(&mut self, process: usize) {
        if let Some(router) = self.processes[process].take() {
            let lines = router.log.lock().expect("the lock is not poisoned").clone();
            self.logs[process].extend(lines.into_iter().map(|line| (process, line)));
        }
    }

    /// Kills a process.
    pub fn kill(&mut self, process: usize) {
        if let Some(router) = &self.processes[process] {
            router.signal("KILL");
        }
        self.peer_relays.set_process_address(process, None);
        self.lease_relays.set_process_address(process, None);
        self.save_log(process);
    }

    /// Shuts a process down and returns its exit code.
    pub fn shut_down(&mut self, process: usize) -> Option<i32> {
        let code = self.processes[process].as_mut().and_then(Process::terminate);
        self.peer_relays.set_process_address(process, None);
        self.lease_relays.set_process_address(process, None);
        self.save_log(process);
        code
    }

    /// The process of this index, if it runs.
    #[must_use]
    pub fn process(&self, process: usize) -> Option<&Process> {
        self.processes[process].as_ref()
    }

    /// Indices of the processes that run.
    #[must_use]
    pub fn running(&self) -> Vec<usize> {
        (0..self.processes.len()).filter(|&process| self.processes[process].is_some()).collect()
    }

    /// A process's view of the other members, `None` if it does not reply.
    #[must_use]
    pub fn view(&self, process: usize) -> Option<Value> {
        self.show(process, "peers")
    }

    /// The process's reply to `SHOW <name>`, `None` if it does not reply.
    #[must_use]
    pub fn show(&self, process: usize, name: &str) -> Option<Value> {
        let address = self.processes[process].as_ref()?.address;
        let reply = async {
            let mut client = Client::connect(address).await.ok()?;
            let Ok(Reply::Value(text)) = client.execute(&format!("SHOW {name}")).await else { return None };
            serde_json::from_str(&text).ok()
        };
        let timeout = Duration::from_millis(1000);
        self.runtime().block_on(async { tokio::time::timeout(timeout, reply).await.ok().flatten() })
    }

    fn runtime(&self) -> &Runtime {
        self.runtime.as_ref().expect("the runtime exists until the drop")
    }

    /// Whether each running process considers exactly the other running ones alive.
    #[must_use]
    pub fn is_agreed(&self) -> bool {
        let running = self.running();
        running.iter().all(|&process| {
            let Some(view) = self.view(process) else { return false };
            let is_alive = |row: &&Value| row["standing"] == "alive";
            let rows = view["peers"].as_array().map(Vec::as_slice).unwrap_or_default();
            let mut alive: Vec<usize> =
                rows.iter().filter(is_alive).filter_map(|row| process_index(row["name"].as_str()?)).collect();
            alive.push(process);
            alive.sort_unstable();
            alive == running
        })
    }

    /// Waits until all processes agree on the fleet. Returns how long it took, `None` on timeout.
    #[must_use]
    pub fn wait_for_agreement(&self, timeout: Duration) -> Option<Duration> {
        let started_at = Instant::now();
        while started_at.elapsed() < timeout {
            if self.is_agreed() {
                return Some(started_at.elapsed());
            }
            std::thread::sleep(Duration::from_millis(25));
        }
        None
    }

    /// Runs the plan, with the first fault at once, and waits for `settle_time` once the last one has ended.
    /// Returns the time at which the first fault began.
    pub fn run_plan(&mut self, plan: &Plan, settle_time: Duration) -> i64 {
        let first_ms = plan.faults.iter().map(|planned| planned.at_ms).min().unwrap_or_default();
        let started_at = Instant::now();
        let start_us = monotonic_us();
        self.old_votes = (0..self.processes.len())
            .map(|process| std::fs::read(self.vote_store_path(process).join("votes")).ok())
            .collect();
        let mut last_ms = 0;
        for (at_ms, index, starts) in plan.steps() {
            let step_offset = Duration::from_millis(at_ms - first_ms);
            last_ms = at_ms - first_ms;
            std::thread::sleep(step_offset.saturating_sub(started_at.elapsed()));
            self.apply_step(index, &plan.faults[index].fault, starts);
        }
        let end = Duration::from_millis(last_ms) + settle_time;
        std::thread::sleep(end.saturating_sub(started_at.elapsed()));
        start_us
    }

    fn signal(&self, processes: &[usize], signal_name: &str) {
        processes
            .iter()
            .filter_map(|&process| self.processes[process].as_ref())
            .for_each(|router| router.signal(signal_name));
    }

    /// Starts the fault of this index in the plan, or ends it.
    fn apply_step(&mut self, index: usize, fault: &Fault, starts: bool) {
        let pairs = |from: &[usize], to: &[usize]| -> Vec<(usize, usize)> {
            from.iter().flat_map(|&sender| to.iter().map(move |&receiver| (sender, receiver))).collect()
        };
        match (fault, starts) {
            (Fault::Pause(processes), true) => self.signal(processes, "STOP"),
            (Fault::Pause(processes), false) => self.signal(processes, "CONT"),
            (
                Fault::Kill(processes) | Fault::LoseVotes(processes) | Fault::RestoreOldVotes(processes),
                true,
            ) => {
                processes.iter().for_each(|&process| self.kill(process));
            }
            (Fault::LoseVotes(processes), false) => processes.iter().for_each(|&process| {
                let _ = std::fs::remove_file(self.vote_store_path(process).join("votes"));
                self.start_process(process).expect("the process restarts");
            }),
            (Fault::RestoreOldVotes(processes), false) => processes.iter().for_each(|&process| {
                if let Some(votes) = &self.old_votes[process] {
                    let _ = std::fs::write(self.vote_store_path(process).join("votes"), votes);
                }
                self.start_process(process).expect("the process restarts");
            }),
            (Fault::Shutdown(processes), true) => {
                processes.iter().for_each(|&process| {
                    self.shut_down(process);
                });
            }
            (Fault::SilentShutdown(processes), true) => {
                let others: Vec<usize> =
                    (0..self.processes.len()).filter(|other| !processes.contains(other)).collect();
                self.peer_relays.cut(index, pairs(processes, &others).into_iter().collect());
                processes.iter().for_each(|&process| {
                    self.shut_down(process);
                });
                self.peer_relays.heal(index);
            }
            (
                Fault::Kill(processes) | Fault::Shutdown(processes) | Fault::SilentShutdown(processes),
                false,
            ) => {
                processes
                    .iter()
                    .for_each(|&process| self.start_process(process).expect("the process restarts"));
            }
            (fault, starts) => {
                let share_if_active = |share: f64| if starts { share } else { 0.0 };
                for relays in [&self.peer_relays, &self.lease_relays] {
                    match fault {
                        Fault::OneWayPartition(from, to) if starts => {
                            relays.cut(index, pairs(from, to).into_iter().collect());
                        }
                        Fault::Partition(first, second) if starts => {
                            let both_ways =
                                pairs(first, second).into_iter().chain(pairs(second, first)).collect();
                            relays.cut(index, both_ways);
                        }
                        Fault::OneWayPartition(..) | Fault::Partition(..) => relays.heal(index),
                        Fault::PacketLoss(share) => relays.set_loss(share_if_active(*share)),
                        Fault::Duplication(share) => relays.set_duplication(share_if_active(*share)),
                        Fault::Corruption(share) => relays.set_corruption(share_if_active(*share)),
                        Fault::Delay { ms } => relays.set_delay(if starts { *ms } else { 0 }),
                        _ => {}
                    }
                }
            }
        }
    }

    /// All logged changes of standing in the order of time.
    #[must_use]
    pub fn standing_changes(&self) -> Vec<StandingChange> {
        let mut changes = Vec::new();
        let mut parse_line = |observer: usize, line: &str| {
            let Ok(entry) = serde_json::from_str::<Value>(line) else { return };
            let standing = entry["message"].as_str().and_then(|text| text.strip_prefix("peer is "));
            let Some(standing) = standing else { return };
            let Some(member) = entry["peer"].as_str().and_then(process_index) else { return };
            let (mono_us, incarnation) = (entry["mono_us"].as_i64(), entry["life"].as_u64());
            let (mono_us, incarnation) = (mono_us.unwrap_or_default(), incarnation.unwrap_or_default());
            changes.push(StandingChange {
                mono_us,
                observer,
                member,
                incarnation,
                standing: standing.to_string(),
            });
        };
        for (observer, lines) in self.logs.iter().enumerate() {
            lines.iter().for_each(|(_, line)| parse_line(observer, line));
        }
        for (observer, process) in self.processes.iter().enumerate() {
            if let Some(process) = process {
                process
                    .log
                    .lock()
                    .expect("the lock is not poisoned")
                    .iter()
                    .for_each(|line| parse_line(observer, line));
            }
        }
        changes.sort_by_key(|change| change.mono_us);
        changes
    }

    /// All log entries that contain `text`, each with the index of the process, also from before restarts.
    #[must_use]
    pub fn log_entries(&self, text: &str) -> Vec<(usize, Value)> {
        let mut lines: Vec<(usize, String)> = Vec::new();
        for (index, old_lines) in self.logs.iter().enumerate() {
            lines.extend(old_lines.iter().map(|(_, line)| (index, line.clone())));
        }
        for (index, process) in self.processes.iter().enumerate() {
            let current_lines = process
                .iter()
                .flat_map(|process| process.log.lock().expect("the lock is not poisoned").clone());
            lines.extend(current_lines.map(|line| (index, line)));
        }
        let matching = lines.into_iter().filter(|(_, line)| line.contains(text));
        matching.filter_map(|(index, line)| Some((index, serde_json::from_str(&line).ok()?))).collect()
    }

    /// Changes after `since_us` in which a process was considered lost or dead although it ran, according to
    /// `was_running`.
    #[must_use]
    pub fn false_deaths(
        &self,
        since_us: i64,
        was_running: impl Fn(usize, i64) -> bool,
    ) -> Vec<StandingChange> {
        let is_false_death = |change: &StandingChange| {
            change.mono_us >= since_us
                && change.is_lost_or_dead()
                && was_running(change.member, change.mono_us)
        };
        self.standing_changes().into_iter().filter(is_false_death).collect()
    }

    /// By running process: the logged time from its last start to full service in milliseconds.
    #[must_use]
    pub fn startup_times_ms(&self) -> Vec<Option<u64>> {
        let startup_time = |process: &Process| {
            let log = process.log.lock().expect("the lock is not poisoned");
            let line = log.iter().find(|line| line.contains("service is full"))?;
            serde_json::from_str::<Value>(line).ok()?["ms"].as_u64()
        };
        self.processes.iter().flatten().map(startup_time).collect()
    }

    /// Sum of the CPU times in clock ticks and maximum of the memory in KB of all running processes.
    #[must_use]
    pub fn resource_usage(&self) -> (u64, u64) {
        let usages = self.processes.iter().flatten().map(Process::resource_usage);
        usages.fold((0, 0), |total, usage| (total.0 + usage.0, total.1.max(usage.1)))
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        // Dropping the processes kills them, which ends paused ones as well.
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.directory);
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
