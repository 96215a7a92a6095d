//! A fleet of real processes of the program before one town, with relays between them and a fault plan that is played.
//! What each process held of each other one, and when, is read from its log, stamped by the machine's monotonic clock.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::runtime::{Builder, Runtime};

use crate::client::{Client, Reply};
use crate::plan::{Fault, Plan};
use crate::relay::Relays;
use crate::router::{OP_TYPES, Process, waybill};
use crate::town::{Spec, Town};
use crate::wire::Wires;

/// One line of a process's history: at that time it held the other one to be so.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    pub mono_us: i64,
    pub by: usize,
    pub of: usize,
    pub life: u64,
    pub standing: String,
}

impl Held {
    /// Lost or dead.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.standing == "Lost" || self.standing == "Dead"
    }
}

/// What the operator's files of a fleet say beside the relays' addresses.
#[derive(Clone, Debug)]
pub struct Setting {
    pub processes: usize,
    pub seed: u64,
    /// Further fields of `peers`, and of `returns`.
    pub more: String,
    pub returns: String,
    /// Without membership, for comparisons.
    pub off: bool,
    /// What the platform's settings say of the number of routers.
    pub told_routers: usize,
    /// Whether the platform tells a list at the start.
    pub known: bool,
    /// Whether each process keeps a store, which outlasts it.
    pub store: bool,
    /// The first so many processes vote on leases; none if 0.
    pub voters: usize,
    /// Further fields of `leases`: its duties, its term.
    pub leases: String,
    /// Each process reaches hosts and discovery by ways of its own, which can be cut.
    pub wires: bool,
    /// By process: how wrong the clock is that it counts leases by, in millionths.
    pub clocks: Vec<i64>,
}

impl Setting {
    #[must_use]
    pub fn of(processes: usize) -> Setting {
        let (more, returns, off, known, store) = (String::new(), String::new(), false, true, false);
        let (leases, clocks) = (String::new(), Vec::new());
        let (told_routers, voters) = (processes, 0);
        let wires = false;
        Setting {
            processes,
            seed: 1,
            more,
            returns,
            off,
            told_routers,
            known,
            store,
            voters,
            leases,
            wires,
            clocks,
        }
    }
}

pub struct Rig {
    pub town: Town,
    pub relays: Relays,
    /// Those of the leases' datagrams.
    pub lease_relays: Relays,
    /// The ways to hosts, and where each process finds discovery, if they are its own.
    pub wires: Wires,
    pub asks: Vec<SocketAddr>,
    program: PathBuf,
    setting: Setting,
    stores: PathBuf,
    processes: Vec<Option<Process>>,
    /// When each process started last, and the logs of those that ended.
    started: Vec<i64>,
    logs: Vec<Vec<(usize, String)>>,
    /// The votes that each process had when the plan began.
    older: Vec<Option<Vec<u8>>>,
    runtime: Option<Runtime>,
}

/// Microseconds of the machine's monotonic clock.
#[must_use]
pub fn mono_us() -> i64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec * 1_000_000 + now.tv_nsec / 1000
}

/// The number in a process's name.
fn number(name: &str) -> Option<usize> {
    name.strip_prefix('n')?.parse().ok()
}

/// Tells the rigs of one process apart. Danger: two that start in one moment share a folder, each one's routers read the
/// other's lists, and the first that ends takes it away.
static NUMBER: AtomicU32 = AtomicU32::new(0);

/// A folder that is kept in memory, where the machine has one that takes files; else the usual one for what is temporary.
/// Danger: voters answer once their votes are on disk. On a disk that others write to, that takes seconds now and then, and
/// bounds that are meant for processes and words fail for it. What a rig kills are processes: memory outlives those.
#[must_use]
pub fn memory() -> PathBuf {
    let mounts = std::fs::read_to_string("/proc/mounts").unwrap_or_default();
    let mut folders = mounts.lines().filter_map(|line| {
        let mut words = line.split(' ').skip(1);
        let (folder, kind, how) = (words.next()?, words.next()?, words.next()?);
        let fits = kind == "tmpfs" && how.split(',').any(|word| word == "rw") && !folder.starts_with("/sys");
        fits.then(|| PathBuf::from(folder))
    });
    let takes_files = |folder: &PathBuf| {
        let probe = folder.join(format!("arrowyard-probe-{}", std::process::id()));
        let works = std::fs::write(&probe, [0; 4096]).is_ok();
        drop(std::fs::remove_file(&probe));
        works
    };
    folders.find(takes_files).unwrap_or_else(std::env::temp_dir)
}

impl Rig {
    /// Starts the processes; they know some seeds, one of which nobody listens at.
    ///
    /// # Errors
    /// What a process said that did not start.
    pub fn start(program: &Path, setting: Setting) -> Result<Rig, String> {
        let host = |name: &str| Spec { slots: 64, ..Spec::new(name, 7, name == "p-0") };
        let town = Town::start(&["p-0", "r-0", "r-1"].map(host));
        let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let runtime = runtime.map_err(|error| error.to_string())?;
        let relays = runtime.block_on(Relays::start(setting.processes, setting.seed));
        let lease_relays = runtime.block_on(Relays::start(setting.processes, setting.seed + 1));
        let count = setting.processes;
        let wires = Wires::new(runtime.handle().clone());
        let asks = (0..count).map(|who| {
            if !setting.wires {
                return town.discovery;
            }
            let at = town.discover();
            town.faces(at, |real| wires.face(who, real));
            at
        });
        let asks = asks.collect();
        let mut rig = Rig {
            town,
            relays,
            lease_relays,
            wires,
            asks,
            program: program.to_path_buf(),
            stores: memory().join(format!(
                "arrowyard-stores-{}-{}",
                std::process::id(),
                NUMBER.fetch_add(1, Ordering::Relaxed)
            )),
            processes: (0..count).map(|_| None).collect(),
            started: vec![0; count],
            logs: vec![Vec::new(); count],
            older: vec![None; count],
            runtime: Some(runtime),
            setting,
        };
        (0..rig.setting.voters).try_for_each(|who| rig.init(who))?;
        (0..count).try_for_each(|who| rig.begin(who))?;
        Ok(rig)
    }

    /// Whether it plays without membership.
    #[must_use]
    pub fn is_off(&self) -> bool {
        self.setting.off
    }

    /// The operator's file of a process.
    #[must_use]
    pub fn book(&self, who: usize) -> String {
        let mut head = "epoch: 1\nlog { form: JSON lines_a_second: 100000 }\n".to_string();
        if self.setting.store {
            let (store, more) = (self.store(who), &self.setting.returns);
            head += &format!("returns {{ store: \"{}\" save_ms: 200 {more} }}\n", store.display());
        }
        if self.setting.voters > 0 {
            let voters = (0..self.setting.voters).map(|voter| {
                // A voter says to itself what it has to say to itself.
                let at = if voter == who {
                    "127.0.0.1:1".to_string()
                } else {
                    self.lease_relays.face(who, voter).to_string()
                };
                format!("  voter {{ name: \"n{voter}\" at: \"{at}\" }}\n")
            });
            head += &format!(
                "leases {{\n  fleet: \"rig\"\n  listen: \"127.0.0.1:0\"\n  store: \"{}\"\n{}  {}\n}}\n",
                self.votes(who).display(),
                voters.collect::<String>(),
                self.setting.leases
            );
        }
        if self.setting.off {
            return head;
        }
        let others = (0..self.setting.processes).filter(|&other| other != who);
        let via = others
            .clone()
            .map(|to| format!("  via {{ name: \"n{to}\" at: \"{}\" }}\n", self.relays.face(who, to)));
        let seeds = others.take(2).map(|to| format!("  seed: \"{}\"\n", self.relays.face(who, to)));
        // A port that nobody has.
        let gone = "  seed: \"127.0.0.1:1\"\n";
        format!(
            "{head}peers {{\n  fleet: \"rig\"\n  listen: \"127.0.0.1:0\"\n  allow: \"127.0.0.0/8\"\n{gone}{}{}  {}\n}}\n",
            seeds.collect::<String>(),
            via.collect::<String>(),
            self.setting.more
        )
    }

    /// Where a process keeps its store.
    #[must_use]
    pub fn store(&self, who: usize) -> PathBuf {
        self.stores.join(format!("n{who}"))
    }

    /// Makes the place for a voter's votes, as an operator would.
    fn init(&self, who: usize) -> Result<(), String> {
        let text = |error: std::io::Error| error.to_string();
        std::fs::create_dir_all(&self.stores).map_err(text)?;
        let book = self.stores.join(format!("book{who}.txtpb"));
        std::fs::write(&book, self.book(who)).map_err(text)?;
        let done = Command::new(&self.program)
            .args(["leases", "init", "--name", &format!("n{who}"), "--book"])
            .arg(book)
            .output()
            .map_err(text)?;
        if done.status.success() { Ok(()) } else { Err(String::from_utf8_lossy(&done.stderr).into_owned()) }
    }

    /// Where a process keeps its votes.
    #[must_use]
    pub fn votes(&self, who: usize) -> PathBuf {
        self.stores.join(format!("v{who}"))
    }

    /// Starts a process, anew if it ran before.
    ///
    /// # Errors
    /// What it said when it did not start.
    pub fn begin(&mut self, who: usize) -> Result<(), String> {
        self.keep_log(who);
        let mut waybill = waybill(&self.town, &OP_TYPES, 512);
        waybill["name"] = json!(format!("n{who}"));
        waybill["seed"] = json!(format!("{:016x}", self.setting.seed * 1000 + who as u64));
        waybill["discovery"] = json!(self.asks[who].to_string());
        if !self.setting.known || self.setting.wires {
            waybill.as_object_mut().expect("it is an object").remove("known");
        }
        waybill["settings"]["balancers"] = json!(self.setting.told_routers);
        self.started[who] = mono_us();
        let ppm = self.setting.clocks.get(who).copied().unwrap_or_default();
        let envs = [("ARROWYARD_TEST_CLOCK_PPM", ppm.to_string())];
        let process = Process::start_with(&self.program, &waybill, Some(&self.book(who)), &envs)?;
        let log = process.log.lock().expect("nobody panics with the log").clone();
        let told = |what: &str| {
            log.iter().find_map(|line| {
                let (_, rest) = line.split_once(what)?;
                rest.split(['"', ' ']).next()?.parse().ok()
            })
        };
        self.relays.place(who, told("datagrams at "));
        self.lease_relays.place(who, told("leases at "));
        self.processes[who] = Some(process);
        Ok(())
    }

    fn keep_log(&mut self, who: usize) {
        if let Some(process) = self.processes[who].take() {
            let lines = process.log.lock().expect("nobody panics with the log").clone();
            self.logs[who].extend(lines.into_iter().map(|line| (who, line)));
        }
    }

    /// Kills a process at once.
    pub fn kill(&mut self, who: usize) {
        if let Some(process) = &self.processes[who] {
            process.signal("KILL");
        }
        self.relays.place(who, None);
        self.lease_relays.place(who, None);
        self.keep_log(who);
    }

    /// Ends a process as planned; its exit code.
    pub fn end(&mut self, who: usize) -> Option<i32> {
        let code = self.processes[who].as_mut().and_then(Process::terminate);
        self.relays.place(who, None);
        self.lease_relays.place(who, None);
        self.keep_log(who);
        code
    }

    #[must_use]
    pub fn process(&self, who: usize) -> Option<&Process> {
        self.processes[who].as_ref()
    }

    #[must_use]
    pub fn running(&self) -> Vec<usize> {
        (0..self.processes.len()).filter(|&who| self.processes[who].is_some()).collect()
    }

    /// What a process shows of its view; nothing while it does not answer.
    #[must_use]
    pub fn view(&self, who: usize) -> Option<Value> {
        self.show(who, "peers")
    }

    /// What a process shows of this; nothing while it does not answer.
    #[must_use]
    pub fn show(&self, who: usize, what: &str) -> Option<Value> {
        let address = self.processes[who].as_ref()?.address;
        let asked = async {
            let mut client = Client::connect(address).await.ok()?;
            let Ok(Reply::Value(text)) = client.ask(&format!("SHOW {what}")).await else { return None };
            serde_json::from_str(&text).ok()
        };
        let within = Duration::from_millis(1000);
        self.runtime().block_on(async { tokio::time::timeout(within, asked).await.ok().flatten() })
    }

    fn runtime(&self) -> &Runtime {
        self.runtime.as_ref().expect("it is there till the rig is dropped")
    }

    /// Whether each process that runs holds the others that run alive, and no others.
    #[must_use]
    pub fn agreed(&self) -> bool {
        let running = self.running();
        running.iter().all(|&who| {
            let Some(view) = self.view(who) else { return false };
            let alive = |row: &&Value| row["standing"] == "alive";
            let rows = view["peers"].as_array().map(Vec::as_slice).unwrap_or_default();
            let mut held: Vec<usize> =
                rows.iter().filter(alive).filter_map(|row| number(row["name"].as_str()?)).collect();
            held.push(who);
            held.sort_unstable();
            held == running
        })
    }

    /// Waits till all agree; how long it took, or nothing if that was too long.
    #[must_use]
    pub fn agree(&self, within: Duration) -> Option<Duration> {
        let began = Instant::now();
        while began.elapsed() < within {
            if self.agreed() {
                return Some(began.elapsed());
            }
            std::thread::sleep(Duration::from_millis(25));
        }
        None
    }

    /// Plays the plan's acts from now on, the first one at once, and on till so long after its last end. The time at which
    /// the first began, and the time of each kill or end with its act.
    pub fn play(&mut self, plan: &Plan, after: Duration) -> i64 {
        let first = plan.acts.iter().map(|act| act.at_ms).min().unwrap_or_default();
        let began = Instant::now();
        let zero = mono_us();
        self.older =
            (0..self.processes.len()).map(|who| std::fs::read(self.votes(who).join("votes")).ok()).collect();
        let mut last = 0;
        for (at_ms, act, begins) in plan.steps() {
            let at = Duration::from_millis(at_ms - first);
            last = at_ms - first;
            std::thread::sleep(at.saturating_sub(began.elapsed()));
            self.step(act, &plan.acts[act].fault, begins);
        }
        let end = Duration::from_millis(last) + after;
        std::thread::sleep(end.saturating_sub(began.elapsed()));
        zero
    }

    fn signal(&self, who: &[usize], name: &str) {
        who.iter().filter_map(|&who| self.processes[who].as_ref()).for_each(|process| process.signal(name));
    }

    fn step(&mut self, act: usize, fault: &Fault, begins: bool) {
        let pairs = |from: &[usize], to: &[usize]| -> Vec<(usize, usize)> {
            from.iter().flat_map(|&one| to.iter().map(move |&two| (one, two))).collect()
        };
        match (fault, begins) {
            (Fault::Halt(who), true) => self.signal(who, "STOP"),
            (Fault::Halt(who), false) => self.signal(who, "CONT"),
            (Fault::Kill(who) | Fault::LoseVotes(who) | Fault::OlderVotes(who), true) => {
                who.iter().for_each(|&who| self.kill(who));
            }
            (Fault::LoseVotes(who), false) => who.iter().for_each(|&who| {
                let _ = std::fs::remove_file(self.votes(who).join("votes"));
                self.begin(who).expect("it starts again");
            }),
            (Fault::OlderVotes(who), false) => who.iter().for_each(|&who| {
                if let Some(votes) = &self.older[who] {
                    let _ = std::fs::write(self.votes(who).join("votes"), votes);
                }
                self.begin(who).expect("it starts again");
            }),
            (Fault::End(who), true) => {
                who.iter().for_each(|&who| {
                    self.end(who);
                });
            }
            (Fault::EndUnheard(who), true) => {
                let others: Vec<usize> =
                    (0..self.processes.len()).filter(|other| !who.contains(other)).collect();
                self.relays.cut(act, pairs(who, &others).into_iter().collect());
                who.iter().for_each(|&who| {
                    self.end(who);
                });
                self.relays.heal(act);
            }
            (Fault::Kill(who) | Fault::End(who) | Fault::EndUnheard(who), false) => {
                who.iter().for_each(|&who| self.begin(who).expect("it starts again"));
            }
            (fault, begins) => {
                let on = |share: f64| if begins { share } else { 0.0 };
                for relays in [&self.relays, &self.lease_relays] {
                    match fault {
                        Fault::Cut(from, to) if begins => {
                            relays.cut(act, pairs(from, to).into_iter().collect());
                        }
                        Fault::Part(one, two) if begins => {
                            let both = pairs(one, two).into_iter().chain(pairs(two, one)).collect();
                            relays.cut(act, both);
                        }
                        Fault::Cut(..) | Fault::Part(..) => relays.heal(act),
                        Fault::Lose(share) => relays.lose(on(*share)),
                        Fault::Double(share) => relays.double(on(*share)),
                        Fault::Garble(share) => relays.garble(on(*share)),
                        Fault::Delay { ms } => relays.delay(if begins { *ms } else { 0 }),
                        _ => {}
                    }
                }
            }
        }
    }

    /// All that every process held of every other one, in the order of time.
    #[must_use]
    pub fn history(&self) -> Vec<Held> {
        let mut held = Vec::new();
        let mut read = |by: usize, line: &str| {
            let Ok(told) = serde_json::from_str::<Value>(line) else { return };
            let standing = told["message"].as_str().and_then(|text| text.strip_prefix("peer is "));
            let Some(standing) = standing else { return };
            let Some(of) = told["peer"].as_str().and_then(number) else { return };
            let (mono_us, life) = (told["mono_us"].as_i64(), told["life"].as_u64());
            let (mono_us, life) = (mono_us.unwrap_or_default(), life.unwrap_or_default());
            held.push(Held { mono_us, by, of, life, standing: standing.to_string() });
        };
        for (by, lines) in self.logs.iter().enumerate() {
            lines.iter().for_each(|(_, line)| read(by, line));
        }
        for (by, process) in self.processes.iter().enumerate() {
            if let Some(process) = process {
                process
                    .log
                    .lock()
                    .expect("nobody panics with the log")
                    .iter()
                    .for_each(|line| read(by, line));
            }
        }
        held.sort_by_key(|held| held.mono_us);
        held
    }

    /// All lines that hold this, of each process, with the number of the process: those of former lives, too.
    #[must_use]
    pub fn lines(&self, what: &str) -> Vec<(usize, Value)> {
        let mut found: Vec<(usize, String)> = Vec::new();
        for (who, lines) in self.logs.iter().enumerate() {
            found.extend(lines.iter().map(|(_, line)| (who, line.clone())));
        }
        for (who, process) in self.processes.iter().enumerate() {
            let lines = process
                .iter()
                .flat_map(|process| process.log.lock().expect("nobody panics with the log").clone());
            found.extend(lines.map(|line| (who, line)));
        }
        let held = found.into_iter().filter(|(_, line)| line.contains(what));
        held.filter_map(|(who, line)| Some((who, serde_json::from_str(&line).ok()?))).collect()
    }

    /// Deaths and losses that were held of a process which ran then, since that time.
    #[must_use]
    pub fn wrong(&self, since: i64, ran: impl Fn(usize, i64) -> bool) -> Vec<Held> {
        let over = |held: &Held| held.mono_us >= since && held.is_over() && ran(held.of, held.mono_us);
        self.history().into_iter().filter(over).collect()
    }

    /// How long each process that runs says that its last start took till service was full, in milliseconds.
    #[must_use]
    pub fn full(&self) -> Vec<Option<u64>> {
        let told = |process: &Process| {
            let log = process.log.lock().expect("nobody panics with the log");
            let line = log.iter().find(|line| line.contains("service is full"))?;
            serde_json::from_str::<Value>(line).ok()?["ms"].as_u64()
        };
        self.processes.iter().flatten().map(told).collect()
    }

    /// Core time in ticks and memory in KB of all that run.
    #[must_use]
    pub fn cost(&self) -> (u64, u64) {
        let costs = self.processes.iter().flatten().map(Process::cost);
        costs.fold((0, 0), |sum, cost| (sum.0 + cost.0, sum.1.max(cost.1)))
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        // A halted process does not end before it runs again, but for a kill, which the processes' own drop is.
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.stores);
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
