//! The lease task: connects the decisions of `arrowyard-leases` to a UDP socket, stores votes before they
//! are sent, and makes the calls of the duties under a lease.

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
    /// Requests the report for `SHOW leases`.
    Show(oneshot::Sender<String>),
    /// Whether this router is eligible to hold leases, that is, serves ops.
    SetEligible(bool),
    /// Releases all leases before the router ends; the channel resolves once that is done.
    ReleaseAll(oneshot::Sender<()>),
    /// Writing the snapshot with this number ended; true if it succeeded.
    VotesStored(u64, bool),
    /// A call of the duty with this index ended: the response status, or the error.
    CallEnded(usize, Result<u16, String>),
}

/// Capacity of the command channel.
const COMMAND_QUEUE: usize = 256;
/// Datagrams read before yielding.
const MAX_DATAGRAMS_PER_TURN: usize = 32;
/// Candidates whose addresses a voter remembers.
const MAX_CANDIDATES: usize = 4096;
/// How long the startup waits for the disk.
const DISK_TIMEOUT: Duration = Duration::from_millis(500);
/// The status by which a receiver rejects a call with an outdated epoch.
const STALE_EPOCH_STATUS: u16 = 409;

/// The clock for leases. It also advances while the machine is suspended; otherwise a suspended holder could
/// continue to use a lease that the voters have granted to another router.
#[derive(Clone, Copy, Debug)]
struct LeaseClock {
    /// An artificial drift for tests, in parts per million.
    drift_ppm: i64,
}

impl LeaseClock {
    fn start() -> LeaseClock {
        // For tests of clocks that drift too far; not in release builds.
        #[cfg(debug_assertions)]
        let drift_ppm = std::env::var("ARROWYARD_TEST_CLOCK_PPM").ok().and_then(|ppm| ppm.parse().ok());
        #[cfg(not(debug_assertions))]
        let drift_ppm = None;
        LeaseClock { drift_ppm: drift_ppm.unwrap_or(0) }
    }

    fn now(self) -> Timestamp {
        let now = clock_gettime(ClockId::Boottime);
        let micros = now.tv_sec * 1_000_000 + now.tv_nsec / 1000;
        Timestamp::from_micros(
            micros + micros / 1_000_000 * self.drift_ppm + micros % 1_000_000 * self.drift_ppm / 1_000_000,
        )
    }
}

/// The state of a duty.
struct DutyState {
    duty: Duty,
    lease: LeaseId,
    /// When the next call is due.
    next_call_at: Timestamp,
    call_in_progress: bool,
    calls: u64,
    failed_calls: u64,
}

/// The lease task.
pub struct LeasesTask {
    candidate: Candidate,
    voter: Option<Voter>,
    clock_monitor: ClockMonitor,
    clock: LeaseClock,
    name: String,
    /// Identifies the fleet, its voters and the lease parameters in messages.
    group: u64,
    voters: Vec<(String, SocketAddr)>,
    /// This router's id if it is a voter.
    own_voter_id: Option<VoterId>,
    /// The directory of the stored votes.
    store: Option<PathBuf>,
    socket: UdpSocket,
    /// Addresses of candidates, and the last contact with each.
    candidates: HashMap<CandidateId, (SocketAddr, Timestamp)>,
    duties: Vec<DutyState>,
    rng: Rng,
    commands: mpsc::Receiver<LeasesCommand>,
    /// Sends results of spawned tasks back to this task.
    own_commands: mpsc::Sender<LeasesCommand>,
    /// The number of datagrams that could not be decoded.
    malformed_datagrams: u64,
    /// The number of writes of votes that ended.
    finished_writes: Rc<Cell<u64>>,
    /// The voter's stage that was logged last.
    logged_stage: &'static str,
    /// Voters whose clocks drift beyond the bound, in parts per million.
    drifts: HashMap<VoterId, i64>,
    /// Whether no further call starts.
    calls_stopped: bool,
    /// Whether this router may hold leases.
    is_eligible: bool,
    /// Receives a notice once all leases are released.
    release_waiter: Option<oneshot::Sender<()>>,
}

fn votes_path(folder: &Path) -> PathBuf {
    folder.join("votes")
}

/// The voter's stored snapshot; `None` if there is none or it is unusable, so that the voter does not know
/// its earlier votes.
async fn load_votes(folder: PathBuf, group: u64, name: String) -> Option<VoterSnapshot> {
    let read_task = spawn_blocking(move || {
        let _ = std::fs::create_dir_all(&folder);
        SystemDisk.read(&votes_path(&folder), storage::MAX_FILE_BYTES)
    });
    let loaded = match timeout(DISK_TIMEOUT, read_task).await {
        Ok(Ok(Ok((bytes, _)))) => storage::decode(&bytes, group, &name).map_err(|error| format!("{error:?}")),
        Ok(Ok(Err(error))) => Err(error.to_string()),
        _ => Err("the disk did not respond in time".to_string()),
    };
    loaded
        .map_err(|error| {
            tracing::warn!("stored votes are unavailable ({error}); recovering them from the other voters")
        })
        .ok()
}

impl LeasesTask {
    /// Opens the socket and loads the stored votes; returns the task and its command channel.
    ///
    /// # Errors
    /// The address cannot be bound, or a voter has no folder for its votes.
    pub async fn open(
        settings: LeaseSettings,
        name: &str,
        seed: u64,
    ) -> Result<(Self, mpsc::Sender<LeasesCommand>), String> {
        let LeaseSettings { fleet, listen, voters, store, config, duties } = settings;
        let socket = UdpSocket::bind(listen).await.map_err(|e| format!("{listen}: {e}"))?;
        let local_address = socket.local_addr().map_err(|e| e.to_string())?;
        let names: Vec<String> = voters.iter().map(|(name, _)| name.clone()).collect();
        let group = message::group_id(&fleet, &names, config.term, config.drift_ppm);
        let clock = LeaseClock::start();
        let own_voter_id =
            names.iter().position(|voter_name| voter_name == name).map(|index| VoterId(index as u8));
        let mut voter = None;
        if let Some(own_voter_id) = own_voter_id {
            let folder = store.clone().ok_or("leases.store: it is required, since this router is a voter")?;
            let snapshot = load_votes(folder, group, name.to_string()).await;
            voter = Some(Voter::start(clock.now(), config, own_voter_id, snapshot, fastrand::u64(..)));
        }
        // Random for each process, so that two processes with one name are two candidates.
        let id = CandidateId(fastrand::u64(1..) ^ mono_us().unsigned_abs().rotate_left(20));
        let mut rng = Rng::with_seed(seed ^ id.0);
        let mut candidate = Candidate::new(config, id);
        let now = clock.now();
        // The same jitter for all duties, so that leases requested together stay together.
        let jitter = rng.f64();
        let start_duty = |duty: Duty| {
            let lease = lease_id(&duty.name);
            candidate.request(now, lease, duty.rank, jitter);
            DutyState { lease, duty, next_call_at: now, call_in_progress: false, calls: 0, failed_calls: 0 }
        };
        let duties = duties.into_iter().map(start_duty).collect();
        let (own_commands, commands) = mpsc::channel(COMMAND_QUEUE);
        let is_voter = own_voter_id.is_some();
        tracing::info!(
            fleet,
            votes = is_voter,
            candidate = format!("{:016x}", id.0),
            "leases at {local_address}"
        );
        let task = LeasesTask {
            clock_monitor: ClockMonitor::new(config.voter_count, config.drift_ppm),
            candidate,
            voter,
            clock,
            name: name.to_string(),
            group,
            voters,
            own_voter_id,
            store,
            socket,
            candidates: HashMap::new(),
            duties,
            rng,
            commands,
            own_commands: own_commands.clone(),
            malformed_datagrams: 0,
            finished_writes: Rc::default(),
            logged_stage: "",
            drifts: HashMap::new(),
            calls_stopped: false,
            is_eligible: true,
            release_waiter: None,
        };
        Ok((task, own_commands))
    }

    /// Handles commands, datagrams and timers until the command channel is closed.
    pub async fn run(mut self) {
        let mut buffer = vec![0; 2 * MAX_DATAGRAM_BYTES];
        loop {
            let wake_at = self.next_wake();
            tokio::select! {
                biased;
                // Timers go first, so that datagrams queued while the process was stopped are not treated as
                // current.
                () = sleep_until(wake_at) => self.tick(),
                command = self.commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                received = self.socket.recv_from(&mut buffer) => {
                    self.tick();
                    self.handle_datagram(received, &buffer);
                    for _ in 1..MAX_DATAGRAMS_PER_TURN {
                        let Ok(received) = self.socket.try_recv_from(&mut buffer) else { break };
                        self.handle_datagram(Ok(received), &buffer);
                    }
                    // Lets ops run during a flood of datagrams.
                    yield_now().await;
                }
            }
            self.flush();
        }
    }

    /// When the next call, or a timer of the candidate or the voter, is due.
    fn next_wake(&self) -> Instant {
        let calls_due =
            self.duties.iter().filter(|state| !state.call_in_progress && !self.calls_stopped).filter_map(
                |state| {
                    let now = self.clock.now();
                    let permit = self.candidate.permit(now, state.lease)?;
                    // A lease that is too short for a call has to be renewed first.
                    permit.allows(now, state.duty.max_duration).then_some(state.next_call_at)
                },
            );
        let voter_due = self.voter.as_ref().and_then(Voter::next_at);
        let next_at = calls_due.chain(voter_due).chain(self.candidate.next_at()).min();
        let wait = next_at.map_or(TimeDelta::from_millis(1000), |at| at - self.clock.now());
        Instant::now() + duration(wait)
    }

    /// Runs due timers of the candidate and the voter, and due calls.
    fn tick(&mut self) {
        let (now, rng) = (self.clock.now(), &mut self.rng);
        self.candidate.tick(now, || rng.f64());
        self.voter.iter_mut().for_each(|voter| voter.tick(now));
        self.start_due_calls(now);
    }

    fn handle_datagram(&mut self, received: std::io::Result<(usize, SocketAddr)>, buffer: &[u8]) {
        let Ok((length, from)) = received else { return };
        let Ok(message) = message::decode(&buffer[..length], self.group) else {
            self.malformed_datagrams += 1;
            return;
        };
        if let Message::Request { from: id, .. } | Message::Release { from: id, .. } = &message {
            if self.candidates.len() >= MAX_CANDIDATES && !self.candidates.contains_key(id) {
                // Bounds memory against forged candidates by removing the one that was silent for longest.
                let longest_silent =
                    self.candidates.iter().min_by_key(|(_, (_, contact_at))| *contact_at).map(|(id, _)| *id);
                if let Some(id) = longest_silent {
                    self.candidates.remove(&id);
                }
            }
            self.candidates.insert(*id, (from, self.clock.now()));
        }
        self.handle_message(&message);
    }

    /// Handles a message from the network or from this router itself.
    fn handle_message(&mut self, message: &Message) {
        let now = self.clock.now();
        match message {
            Message::Response { .. } | Message::Available { .. } => {
                if let Some((voter, ppm)) = self.clock_monitor.observe(now, message) {
                    // Beyond the bound two routers may hold one lease. Logged once for each voter.
                    if self.drifts.insert(voter, ppm).is_none() {
                        let voter = &self.voters[usize::from(voter.0)].0;
                        tracing::error!(voter, ppm, "the clock of a voter drifts beyond the bound");
                    }
                }
                let rng = &mut self.rng;
                self.candidate.handle_message(now, message, || rng.f64());
            }
            message => self.voter.iter_mut().for_each(|voter| voter.handle_message(now, message)),
        }
    }

    /// Sends messages, stores votes and logs events.
    fn flush(&mut self) {
        // This router may be candidate and voter. Each round delivers messages between the two, which may
        // result in further messages.
        for _ in 0..4 {
            let mut outgoing = std::mem::take(&mut self.candidate.outbox);
            if let Some(voter) = &mut self.voter {
                if let Some((number, snapshot)) = voter.start_write() {
                    let bytes = storage::encode(&snapshot, self.group, &self.name);
                    self.store_votes(number, bytes);
                }
                outgoing.extend(self.voter.iter_mut().flat_map(Voter::take_outgoing).collect::<Vec<_>>());
            }
            if outgoing.is_empty() {
                break;
            }
            for (destination, message) in outgoing {
                let now = self.clock.now();
                if let Message::Request { .. } = &message {
                    self.clock_monitor.observe(now, &message);
                }
                match destination {
                    Destination::Voter(voter) if Some(voter) == self.own_voter_id => {
                        self.handle_message(&message)
                    }
                    Destination::Candidate(id) if id == self.candidate.id() => self.handle_message(&message),
                    Destination::Voter(voter) => {
                        if let Some((_, address)) = self.voters.get(usize::from(voter.0)) {
                            self.send(*address, &message);
                        }
                    }
                    Destination::Candidate(id) => {
                        if let Some((address, _)) = self.candidates.get(&id) {
                            self.send(*address, &message);
                        }
                    }
                }
            }
        }
        self.log_events();
        self.start_due_calls(self.clock.now());
    }

    /// Sends a message; a datagram that cannot be sent is lost, which the protocol tolerates.
    fn send(&self, address: SocketAddr, message: &Message) {
        let _ = self.socket.try_send_to(&message::encode(message, self.group), address);
    }

    /// Stores votes before they are sent, on a separate thread, so that no op waits for the disk.
    fn store_votes(&self, number: u64, bytes: Vec<u8>) {
        let (Some(folder), own_commands, finished_writes) =
            (self.store.clone(), self.own_commands.clone(), self.finished_writes.clone())
        else {
            return;
        };
        drop(spawn_local(async move {
            let write_task = spawn_blocking(move || {
                let temporary_path = folder.join("votes.next");
                SystemDisk.write(&temporary_path, &bytes)?;
                SystemDisk.replace(&temporary_path, &votes_path(&folder))
            });
            let result = write_task.await.map_err(std::io::Error::other).and_then(|result| result);
            if let Err(error) = &result {
                tracing::warn!("votes could not be stored and are not sent: {error}");
                // Limits the rate of failing writes.
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
            finished_writes.set(finished_writes.get() + 1);
            let _ = own_commands.send(LeasesCommand::VotesStored(number, result.is_ok())).await;
        }));
    }

    fn log_events(&mut self) {
        let mono_us = mono_us();
        for event in std::mem::take(&mut self.candidate.events) {
            let name = |lease: LeaseId| {
                let state = self.duties.iter().find(|state| state.lease == lease);
                state.map(|state| state.duty.name.clone()).unwrap_or_default()
            };
            match event {
                Event::Acquired { lease, epoch } => {
                    tracing::info!(mono_us, lease = name(lease), epoch = epoch.0, "lease is held");
                }
                Event::Expired { lease, epoch } => {
                    tracing::warn!(mono_us, lease = name(lease), epoch = epoch.0, "lease expired");
                }
                Event::Released { lease, epoch } => {
                    tracing::info!(mono_us, lease = name(lease), epoch = epoch.0, "lease is released");
                }
            }
        }
        if let Some(voter) = &self.voter {
            let stage = match voter.stage() {
                Stage::Waiting(_) => "waits out the longest lease",
                Stage::Recovering(_) => "asks the other voters what it has lost",
                Stage::Voting => "votes",
            };
            if self.logged_stage != stage {
                self.logged_stage = stage;
                tracing::info!(mono_us, life = voter.incarnation(), "voter {stage}");
            }
        }
    }

    /// Starts the calls that are due and whose maximum duration fits into the remaining time of their leases.
    fn start_due_calls(&mut self, now: Timestamp) {
        if self.calls_stopped {
            return;
        }
        for (index, state) in self.duties.iter_mut().enumerate() {
            let permit = self.candidate.permit(now, state.lease);
            let Some(permit) = permit.filter(|permit| permit.allows(now, state.duty.max_duration)) else {
                continue;
            };
            if state.call_in_progress || now < state.next_call_at {
                continue;
            }
            state.next_call_at = now + state.duty.interval;
            let (duty, clock, own_commands) = (state.duty.clone(), self.clock, self.own_commands.clone());
            drop(spawn_local(async move {
                let epoch = permit.epoch.0;
                tracing::debug!(mono_us = mono_us(), lease = duty.name, epoch, "duty call starts");
                let call_timeout = duration(duty.max_duration);
                let result = timeout(call_timeout, call_duty(&duty, permit, clock)).await;
                let result = result.unwrap_or_else(|_| Err("no response in time".to_string()));
                tracing::debug!(mono_us = mono_us(), lease = duty.name, epoch, "duty call ended: {result:?}");
                let _ = own_commands.send(LeasesCommand::CallEnded(index, result)).await;
            }));
            state.call_in_progress = true;
        }
    }

    fn handle_command(&mut self, command: LeasesCommand) {
        match command {
            LeasesCommand::Show(client) => drop(client.send(self.report())),
            LeasesCommand::SetEligible(eligible) => {
                tracing::info!(mono_us = mono_us(), fit = eligible, "eligibility for leases changed");
                if self.release_waiter.is_none() {
                    self.calls_stopped = !eligible;
                }
                self.is_eligible = eligible;
                self.release_if_no_call();
            }
            LeasesCommand::ReleaseAll(release_waiter) => {
                (self.calls_stopped, self.release_waiter) = (true, Some(release_waiter));
                self.release_if_no_call();
            }
            LeasesCommand::VotesStored(number, succeeded) => {
                self.voter.iter_mut().for_each(|voter| voter.write_finished(number, succeeded));
            }
            LeasesCommand::CallEnded(index, result) => {
                let Some(state) = self.duties.get_mut(index) else { return };
                (state.call_in_progress, state.calls) = (false, state.calls + 1);
                match result {
                    Ok(200..=299) => {}
                    Ok(STALE_EPOCH_STATUS) => {
                        state.failed_calls += 1;
                        tracing::warn!(
                            lease = state.duty.name,
                            "a duty call was rejected: a newer epoch has been used"
                        );
                    }
                    failure => {
                        state.failed_calls += 1;
                        tracing::warn!(lease = state.duty.name, "a duty call failed: {failure:?}");
                    }
                }
                self.release_if_no_call();
            }
        }
    }

    /// Applies a change of eligibility or a release once no call is in progress. A call that is cancelled
    /// here may continue at its receiver and would overlap with a call of the next holder.
    fn release_if_no_call(&mut self) {
        if self.duties.iter().any(|state| state.call_in_progress) {
            return;
        }
        let (now, rng) = (self.clock.now(), &mut self.rng);
        self.candidate.set_eligible(now, self.is_eligible, || rng.f64());
        if let Some(release_waiter) = self.release_waiter.take() {
            self.candidate.release_all();
            self.flush();
            // The receiver may have been dropped.
            let _ = release_waiter.send(());
        }
    }

    /// The report for `SHOW leases`.
    fn report(&self) -> String {
        let now = self.clock.now();
        let ms = |span: TimeDelta| span.micros() / 1000;
        let rows = self.candidate.statuses(now).map(|status| {
            let state = self.duties.iter().find(|state| state.lease == status.lease);
            let (calls, failed_calls) = state.map_or((0, 0), |state| (state.calls, state.failed_calls));
            json!({"name": state.map(|state| &state.duty.name), "held": status.remaining.is_some(),
                "left_ms": status.remaining.map(ms), "epoch": status.epoch.0, "acts": calls, "failed": failed_calls})
        });
        let votes = self.voter.iter().flat_map(Voter::votes).map(|(lease, vote)| {
            let state = self.duties.iter().find(|state| state.lease == lease);
            let name = state.map_or_else(|| format!("{:016x}", lease.0), |state| state.duty.name.clone());
            json!({"name": name, "epoch": vote.epoch.0, "holder": format!("{:016x}", vote.holder.0),
                "left_ms": ms((vote.until - now).max(TimeDelta::ZERO))})
        });
        let drifts =
            self.drifts.iter().map(|(voter, ppm)| (self.voters[usize::from(voter.0)].0.clone(), *ppm));
        json!({"name": self.name, "candidate": format!("{:016x}", self.candidate.id().0), "mono_us": mono_us(),
            "voter": self.voter.as_ref().map(|_| self.logged_stage), "life": self.voter.as_ref().map(Voter::incarnation),
            "voters": self.voters.iter().map(|(name, _)| name).collect::<Vec<_>>(),
            "leases": rows.collect::<Vec<_>>(), "votes": votes.collect::<Vec<_>>(),
            "writes": self.finished_writes.get(), "dropped": self.malformed_datagrams,
            "drifts_ppm": drifts.collect::<HashMap<_, _>>()})
        .to_string()
    }
}

/// One call of a duty: an HTTP request with the lease, its epoch and its remaining time. Returns the status
/// of the response.
async fn call_duty(duty: &Duty, permit: Permit, clock: LeaseClock) -> Result<u16, String> {
    let to_text = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect(duty.address).await.map_err(to_text)?;
    // Checked after connecting, which may take long. From here on only the receiver's check of the epoch
    // detects that the lease has ended.
    let now = clock.now();
    if !permit.allows(now, TimeDelta::ZERO) {
        return Err("the lease ended before the call began".to_string());
    }
    let left_ms = permit.remaining(now).micros() / 1000;
    let (path, address, name) = (&duty.path, duty.address, &duty.name);
    let (epoch, holder) = (permit.epoch.0, permit.holder.0);
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: 0\r\nConnection: close\r\nLease: {name}\r\n\
         Epoch: {epoch}\r\nHolder: {holder:016x}\r\nLeft-Ms: {left_ms}\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.map_err(to_text)?;
    let mut received = Vec::new();
    while received.len() < 1024 && !received.windows(2).any(|pair| pair == b"\r\n") {
        if stream.read_buf(&mut received).await.map_err(to_text)? == 0 {
            return Err("the connection closed before the response was complete".to_string());
        }
    }
    let text = String::from_utf8_lossy(&received);
    let status = text.strip_prefix("HTTP/1.").and_then(|rest| rest.split(' ').nth(1)?.get(..3)?.parse().ok());
    status.ok_or_else(|| "the response has no status".to_string())
}
