//! The lease task: connects the decisions of `arrowyard-leases` to a UDP socket, stores votes before they
//! are sent, and performs the duties under a lease.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use arrowyard_leases::message::{self, MAX_DATAGRAM_BYTES};
use arrowyard_leases::{
    Candidate, CandidateId, ClockMonitor, Destination, Duty, Event, LeaseId, LeaseSettings, Message, Permit,
    Stage, Voter, VoterId, VoterSnapshot, lease_id, storage,
};
use arrowyard_store::{Disk, SystemDisk};
use arrowyard_types::{TimeDelta, Timestamp};
use fastrand::Rng;
use rustix::time::{ClockId, clock_gettime};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{spawn_blocking, spawn_local, yield_now};
use tokio::time::{Instant, sleep_until, timeout};

use crate::clock::duration;
use crate::peers::mono_us;

/// Commands to the lease task.
pub enum LeasesCommand {
    Show(oneshot::Sender<String>),
    /// Whether this router is eligible to hold leases, that is, serves ops.
    SetEligible(bool),
    /// Releases all leases before the router ends; answered once that is done.
    Leave(oneshot::Sender<()>),
    /// The snapshot with this number was written, or the write failed.
    VotesStored(u64, bool),
    /// A call of the duty ended: the status, or the error.
    ActEnded(usize, Result<u16, String>),
}

const COMMAND_QUEUE: usize = 256;
/// Datagrams read before yielding, and candidates whose addresses a voter remembers.
const MAX_DATAGRAMS_PER_TURN: usize = 32;
const MAX_CANDIDATES: usize = 4096;
/// How long the start waits for the disk.
const DISK_TIMEOUT: Duration = Duration::from_millis(500);
/// The status by which a receiver rejects an act with an outdated epoch.
const STALE_EPOCH_STATUS: u16 = 409;

/// The clock for leases. It continues while the machine is suspended; otherwise a holder could believe that
/// it holds a lease that the voters have granted to another one.
#[derive(Clone, Copy, Debug)]
struct LeaseClock {
    /// An artificial drift for tests, in parts per million.
    drift_ppm: i64,
}

impl LeaseClock {
    fn start() -> LeaseClock {
        // For tests of clocks that drift too far; not in release builds.
        #[cfg(debug_assertions)]
        let off = std::env::var("ARROWYARD_TEST_CLOCK_PPM").ok().and_then(|told| told.parse().ok());
        #[cfg(not(debug_assertions))]
        let off = None;
        LeaseClock { drift_ppm: off.unwrap_or(0) }
    }

    fn now(self) -> Timestamp {
        let now = clock_gettime(ClockId::Boottime);
        let us = now.tv_sec * 1_000_000 + now.tv_nsec / 1000;
        Timestamp::from_micros(
            us + us / 1_000_000 * self.drift_ppm + us % 1_000_000 * self.drift_ppm / 1_000_000,
        )
    }
}

/// The state of a duty.
struct DutyState {
    duty: Duty,
    lease: LeaseId,
    /// When the next act starts, and whether one is in progress.
    next: Timestamp,
    acting: bool,
    acts: u64,
    failed: u64,
}

pub struct LeasesTask {
    candidate: Candidate,
    voter: Option<Voter>,
    clocks: ClockMonitor,
    clock: LeaseClock,
    name: String,
    group: u64,
    voters: Vec<(String, SocketAddr)>,
    me: Option<VoterId>,
    store: Option<PathBuf>,
    socket: UdpSocket,
    /// Addresses of candidates, and the last contact with each.
    candidates: HashMap<CandidateId, (SocketAddr, Timestamp)>,
    doing: Vec<DutyState>,
    rng: Rng,
    commands: mpsc::Receiver<LeasesCommand>,
    own: mpsc::Sender<LeasesCommand>,
    dropped: u64,
    writes: Rc<Cell<u64>>,
    stage: &'static str,
    drifts: HashMap<VoterId, i64>,
    /// Whether no further act starts, whether the router is eligible, and who waits for the release of all
    /// leases.
    is_stopped: bool,
    fit: bool,
    release_waiter: Option<oneshot::Sender<()>>,
}

fn path(folder: &Path) -> PathBuf {
    folder.join("votes")
}

/// The voter's stored snapshot; `None` if there is none or it is unusable, in which case its grants are
/// unknown.
async fn load(folder: PathBuf, group: u64, name: String) -> Option<VoterSnapshot> {
    let reading = spawn_blocking(move || {
        let _ = std::fs::create_dir_all(&folder);
        SystemDisk.read(&path(&folder), storage::MAX_FILE_BYTES)
    });
    let read = match timeout(DISK_TIMEOUT, reading).await {
        Ok(Ok(Ok((bytes, _)))) => storage::decode(&bytes, group, &name).map_err(|why| format!("{why:?}")),
        Ok(Ok(Err(error))) => Err(error.to_string()),
        _ => Err("the disk did not answer in time".to_string()),
    };
    read.map_err(|why| tracing::warn!("votes are lost ({why}): the other voters are asked for them")).ok()
}

impl LeasesTask {
    /// Opens the socket; returns the task and its command channel.
    ///
    /// # Errors
    /// The address cannot be bound, or a voter has no folder for its votes.
    pub async fn open(
        joins: LeaseSettings,
        name: &str,
        seed: u64,
    ) -> Result<(Self, mpsc::Sender<LeasesCommand>), String> {
        let LeaseSettings { fleet, listen, voters, store, config: terms, duties } = joins;
        let socket = UdpSocket::bind(listen).await.map_err(|e| format!("{listen}: {e}"))?;
        let local = socket.local_addr().map_err(|e| e.to_string())?;
        let names: Vec<String> = voters.iter().map(|(name, _)| name.clone()).collect();
        let group = message::group_id(&fleet, &names, terms.term, terms.drift_ppm);
        let clock = LeaseClock::start();
        let me = names.iter().position(|one| one == name).map(|at| VoterId(at as u8));
        let mut voter = None;
        if let Some(me) = me {
            let folder =
                store.clone().ok_or("leases.store: this router is a voter and has no place for votes")?;
            let image = load(folder, group, name.to_string()).await;
            voter = Some(Voter::start(clock.now(), terms, me, image, fastrand::u64(..)));
        }
        // Random for each process, so that two processes with one name are two candidates.
        let id = CandidateId(fastrand::u64(1..) ^ mono_us().unsigned_abs().rotate_left(20));
        let mut rng = Rng::with_seed(seed ^ id.0);
        let mut candidate = Candidate::new(terms, id);
        let now = clock.now();
        // One draw for all duties, so that leases requested together stay together.
        let draw = rng.f64();
        let doing = |duty: Duty| {
            let lease = lease_id(&duty.name);
            candidate.request(now, lease, duty.rank, draw);
            DutyState { lease, duty, next: now, acting: false, acts: 0, failed: 0 }
        };
        let doing = duties.into_iter().map(doing).collect();
        let (own, commands) = mpsc::channel(COMMAND_QUEUE);
        let votes = me.is_some();
        tracing::info!(fleet, votes, candidate = format!("{:016x}", id.0), "leases at {local}");
        let leases = LeasesTask {
            clocks: ClockMonitor::new(terms.voter_count, terms.drift_ppm),
            candidate,
            voter,
            clock,
            name: name.to_string(),
            group,
            voters,
            me,
            store,
            socket,
            candidates: HashMap::new(),
            doing,
            rng,
            commands,
            own: own.clone(),
            dropped: 0,
            writes: Rc::default(),
            stage: "",
            drifts: HashMap::new(),
            is_stopped: false,
            fit: true,
            release_waiter: None,
        };
        Ok((leases, own))
    }

    pub async fn run(mut self) {
        let mut buffer = vec![0; 2 * MAX_DATAGRAM_BYTES];
        loop {
            let next = self.next();
            tokio::select! {
                biased;
                // Timers go first, so that datagrams queued during a halt of the process are not taken as
                // current.
                () = sleep_until(next) => self.tick(),
                command = self.commands.recv() => match command {
                    Some(command) => self.command(command),
                    None => return,
                },
                got = self.socket.recv_from(&mut buffer) => {
                    self.tick();
                    self.got(got, &buffer);
                    for _ in 1..MAX_DATAGRAMS_PER_TURN {
                        let Ok(got) = self.socket.try_recv_from(&mut buffer) else { break };
                        self.got(Ok(got), &buffer);
                    }
                    // Lets ops run during a flood of datagrams.
                    yield_now().await;
                }
            }
            self.carry_out();
        }
    }

    fn next(&self) -> Instant {
        let acts = self.doing.iter().filter(|one| !one.acting && !self.is_stopped).filter_map(|one| {
            let now = self.clock.now();
            let permit = self.candidate.permit(now, one.lease)?;
            // A lease that is too short for an act has to be renewed first.
            permit.allows(now, one.duty.max_duration).then_some(one.next)
        });
        let voter = self.voter.as_ref().and_then(Voter::next_at);
        let next = acts.chain(voter).chain(self.candidate.next_at()).min();
        let wait = next.map_or(TimeDelta::from_millis(1000), |at| at - self.clock.now());
        Instant::now() + duration(wait)
    }

    fn tick(&mut self) {
        let (now, rng) = (self.clock.now(), &mut self.rng);
        self.candidate.tick(now, || rng.f64());
        self.voter.iter_mut().for_each(|voter| voter.tick(now));
        self.act(now);
    }

    fn got(&mut self, got: std::io::Result<(usize, SocketAddr)>, buffer: &[u8]) {
        let Ok((length, from)) = got else { return };
        let Ok(word) = message::decode(&buffer[..length], self.group) else {
            self.dropped += 1;
            return;
        };
        if let Message::Request { from: id, .. } | Message::Release { from: id, .. } = &word {
            if self.candidates.len() >= MAX_CANDIDATES && !self.candidates.contains_key(id) {
                // Bounds memory against forged candidates: the one silent for longest is removed.
                let oldest = self.candidates.iter().min_by_key(|(_, (_, at))| *at).map(|(id, _)| *id);
                if let Some(id) = oldest {
                    self.candidates.remove(&id);
                }
            }
            self.candidates.insert(*id, (from, self.clock.now()));
        }
        self.take(&word);
    }

    /// Handles a message from the network or from this router itself.
    fn take(&mut self, word: &Message) {
        let now = self.clock.now();
        match word {
            Message::Response { .. } | Message::Available { .. } => {
                if let Some((voter, ppm)) = self.clocks.observe(now, word) {
                    // Beyond the bound two routers may hold one lease. Logged once for each voter.
                    if self.drifts.insert(voter, ppm).is_none() {
                        let voter = &self.voters[usize::from(voter.0)].0;
                        tracing::error!(
                            voter,
                            ppm,
                            "a voter's clock and this one run apart beyond the bound"
                        );
                    }
                }
                let rng = &mut self.rng;
                self.candidate.handle_message(now, word, || rng.f64());
            }
            word => self.voter.iter_mut().for_each(|voter| voter.handle_message(now, word)),
        }
    }

    /// Sends messages, stores votes and logs events.
    fn carry_out(&mut self) {
        // Each round delivers messages of this router to itself: a candidate's request, the voter's response
        // and so on.
        for _ in 0..4 {
            let mut words = std::mem::take(&mut self.candidate.outbox);
            if let Some(voter) = &mut self.voter {
                if let Some((number, image)) = voter.start_write() {
                    let bytes = storage::encode(&image, self.group, &self.name);
                    self.keep(number, bytes);
                }
                words.extend(self.voter.iter_mut().flat_map(Voter::take_outgoing).collect::<Vec<_>>());
            }
            if words.is_empty() {
                break;
            }
            for (to, word) in words {
                let now = self.clock.now();
                if let Message::Request { .. } = &word {
                    self.clocks.observe(now, &word);
                }
                match to {
                    Destination::Voter(voter) if Some(voter) == self.me => self.take(&word),
                    Destination::Candidate(id) if id == self.candidate.id() => self.take(&word),
                    Destination::Voter(voter) => {
                        if let Some((_, at)) = self.voters.get(usize::from(voter.0)) {
                            self.send(*at, &word);
                        }
                    }
                    Destination::Candidate(id) => {
                        if let Some((at, _)) = self.candidates.get(&id) {
                            self.send(*at, &word);
                        }
                    }
                }
            }
        }
        self.tell();
        self.act(self.clock.now());
    }

    /// A datagram that cannot be sent is lost, which the protocol tolerates.
    fn send(&self, to: SocketAddr, word: &Message) {
        let _ = self.socket.try_send_to(&message::encode(word, self.group), to);
    }

    /// Stores votes before they are sent, on a separate thread, so that no op waits for the disk.
    fn keep(&self, number: u64, bytes: Vec<u8>) {
        let (Some(folder), own, writes) = (self.store.clone(), self.own.clone(), self.writes.clone()) else {
            return;
        };
        drop(spawn_local(async move {
            let written = spawn_blocking(move || {
                let beside = folder.join("votes.next");
                SystemDisk.write(&beside, &bytes)?;
                SystemDisk.replace(&beside, &path(&folder))
            });
            let written = written.await.map_err(std::io::Error::other).and_then(|done| done);
            if let Err(why) = &written {
                tracing::warn!("votes could not be kept, and are not told: {why}");
                // Limits the rate of failing writes.
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
            writes.set(writes.get() + 1);
            let _ = own.send(LeasesCommand::VotesStored(number, written.is_ok())).await;
        }));
    }

    fn tell(&mut self) {
        let mono_us = mono_us();
        for event in std::mem::take(&mut self.candidate.events) {
            let name = |lease: LeaseId| {
                let duty = self.doing.iter().find(|one| one.lease == lease);
                duty.map(|one| one.duty.name.clone()).unwrap_or_default()
            };
            match event {
                Event::Acquired { lease, epoch } => {
                    tracing::info!(mono_us, lease = name(lease), epoch = epoch.0, "lease is held");
                }
                Event::Expired { lease, epoch } => {
                    tracing::warn!(mono_us, lease = name(lease), epoch = epoch.0, "lease is lost");
                }
                Event::Released { lease, epoch } => {
                    tracing::info!(mono_us, lease = name(lease), epoch = epoch.0, "lease is given back");
                }
            }
        }
        if let Some(voter) = &self.voter {
            let stage = match voter.stage() {
                Stage::Waiting(_) => "waits out the longest lease",
                Stage::Recovering(_) => "asks the other voters what it has lost",
                Stage::Voting => "votes",
            };
            if self.stage != stage {
                self.stage = stage;
                tracing::info!(mono_us, life = voter.incarnation(), "voter {stage}");
            }
        }
    }

    /// Starts the acts that are due and fit into their leases.
    fn act(&mut self, now: Timestamp) {
        if self.is_stopped {
            return;
        }
        for (at, one) in self.doing.iter_mut().enumerate() {
            let permit = self.candidate.permit(now, one.lease);
            let Some(permit) = permit.filter(|permit| permit.allows(now, one.duty.max_duration)) else {
                continue;
            };
            if one.acting || now < one.next {
                continue;
            }
            one.next = now + one.duty.interval;
            let (duty, clock, own) = (one.duty.clone(), self.clock, self.own.clone());
            drop(spawn_local(async move {
                let epoch = permit.epoch.0;
                tracing::debug!(mono_us = mono_us(), lease = duty.name, epoch, "act begins");
                let within = duration(duty.max_duration);
                let result = timeout(within, perform_act(&duty, permit, clock)).await;
                let result = result.unwrap_or_else(|_| Err("no answer in time".to_string()));
                tracing::debug!(mono_us = mono_us(), lease = duty.name, epoch, "act ends: {result:?}");
                let _ = own.send(LeasesCommand::ActEnded(at, result)).await;
            }));
            one.acting = true;
        }
    }

    fn command(&mut self, command: LeasesCommand) {
        match command {
            LeasesCommand::Show(client) => drop(client.send(self.report())),
            LeasesCommand::SetEligible(fit) => {
                tracing::info!(mono_us = mono_us(), fit, "fit to hold leases");
                if self.release_waiter.is_none() {
                    self.is_stopped = !fit;
                }
                self.fit = fit;
                self.release_if_idle();
            }
            LeasesCommand::Leave(done) => {
                (self.is_stopped, self.release_waiter) = (true, Some(done));
                self.release_if_idle();
            }
            LeasesCommand::VotesStored(number, done) => {
                self.voter.iter_mut().for_each(|voter| voter.write_finished(number, done));
            }
            LeasesCommand::ActEnded(at, result) => {
                let Some(one) = self.doing.get_mut(at) else { return };
                (one.acting, one.acts) = (false, one.acts + 1);
                match result {
                    Ok(200..=299) => {}
                    Ok(STALE_EPOCH_STATUS) => {
                        one.failed += 1;
                        tracing::warn!(
                            lease = one.duty.name,
                            "an act came too late: another has acted since"
                        );
                    }
                    failed => {
                        one.failed += 1;
                        tracing::warn!(lease = one.duty.name, "an act failed: {failed:?}");
                    }
                }
                self.release_if_idle();
            }
        }
    }

    /// Releases leases once no act is in progress. A started act may continue at its receiver after its call
    /// is cancelled here and would overlap with the next holder's act. An act's time limit is less than half
    /// of a term.
    fn release_if_idle(&mut self) {
        if self.doing.iter().any(|one| one.acting) {
            return;
        }
        let (now, rng) = (self.clock.now(), &mut self.rng);
        self.candidate.set_eligible(now, self.fit, || rng.f64());
        if let Some(done) = self.release_waiter.take() {
            self.candidate.release_all();
            self.carry_out();
            // The requester may be gone.
            let _ = done.send(());
        }
    }

    /// For `SHOW leases`.
    fn report(&self) -> String {
        let now = self.clock.now();
        let ms = |span: TimeDelta| span.micros() / 1000;
        let rows = self.candidate.statuses(now).map(|seen| {
            let one = self.doing.iter().find(|one| one.lease == seen.lease);
            let (acts, failed) = one.map_or((0, 0), |one| (one.acts, one.failed));
            json!({"name": one.map(|one| &one.duty.name), "held": seen.remaining.is_some(),
                "left_ms": seen.remaining.map(ms), "epoch": seen.epoch.0, "acts": acts, "failed": failed})
        });
        let votes = self.voter.iter().flat_map(Voter::votes).map(|(lease, vote)| {
            let one = self.doing.iter().find(|one| one.lease == lease);
            let name = one.map_or_else(|| format!("{:016x}", lease.0), |one| one.duty.name.clone());
            json!({"name": name, "epoch": vote.epoch.0, "holder": format!("{:016x}", vote.holder.0),
                "left_ms": ms((vote.until - now).max(TimeDelta::ZERO))})
        });
        let drifts =
            self.drifts.iter().map(|(voter, ppm)| (self.voters[usize::from(voter.0)].0.clone(), *ppm));
        json!({"name": self.name, "candidate": format!("{:016x}", self.candidate.id().0), "mono_us": mono_us(),
            "voter": self.voter.as_ref().map(|_| self.stage), "life": self.voter.as_ref().map(Voter::incarnation),
            "voters": self.voters.iter().map(|(name, _)| name).collect::<Vec<_>>(),
            "leases": rows.collect::<Vec<_>>(), "votes": votes.collect::<Vec<_>>(),
            "writes": self.writes.get(), "dropped": self.dropped,
            "drifts_ppm": drifts.collect::<HashMap<_, _>>()})
        .to_string()
    }
}

/// One act: an HTTP call with the lease, its epoch and its remaining time. Returns the status of the
/// response.
async fn perform_act(duty: &Duty, permit: Permit, clock: LeaseClock) -> Result<u16, String> {
    let failed = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect(duty.address).await.map_err(failed)?;
    // Checked after connecting, which may take long. From here on only the receiver's check of the epoch
    // detects that the lease has ended.
    let now = clock.now();
    if !permit.allows(now, TimeDelta::ZERO) {
        return Err("the lease ended before the act began".to_string());
    }
    let left_ms = permit.remaining(now).micros() / 1000;
    let (path, at, name) = (&duty.path, duty.address, &duty.name);
    let (epoch, holder) = (permit.epoch.0, permit.holder.0);
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {at}\r\nContent-Length: 0\r\nConnection: close\r\nLease: {name}\r\n\
         Epoch: {epoch}\r\nHolder: {holder:016x}\r\nLeft-Ms: {left_ms}\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.map_err(failed)?;
    let mut received = Vec::new();
    while received.len() < 1024 && !received.windows(2).any(|two| two == b"\r\n") {
        if stream.read_buf(&mut received).await.map_err(failed)? == 0 {
            return Err("the answer broke off".to_string());
        }
    }
    let text = String::from_utf8_lossy(&received);
    let status = text.strip_prefix("HTTP/1.").and_then(|rest| rest.split(' ').nth(1)?.get(..3)?.parse().ok());
    status.ok_or_else(|| "no status".to_string())
}
