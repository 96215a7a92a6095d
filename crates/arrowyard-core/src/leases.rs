//! The task that wants leases and, where the operator's file says so, votes on them: a socket for datagrams, the decisions of
//! `arrowyard-leases`, votes on disk before they are told, and the duties that are done under a lease. It decides nothing.

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

/// What others ask of the task.
pub enum LeasesCommand {
    Show(oneshot::Sender<String>),
    /// Whether this router is fit to do tasks for all: it serves.
    SetEligible(bool),
    /// The router ends; answered once all was given back.
    Leave(oneshot::Sender<()>),
    /// The image of this number was written, or that failed.
    VotesStored(u64, bool),
    /// An act of the duty has ended: the status, or why there is none.
    ActEnded(usize, Result<u16, String>),
}

const ERRANDS: usize = 256;
/// Datagrams that are read before others get a turn, and candidates whose addresses a voter remembers.
const TURN: usize = 32;
const CANDIDATES: usize = 4096;
/// How long a start waits for its disk.
const DISK: Duration = Duration::from_millis(500);
/// What the taker answers to an act that came too late.
const BEHIND: u16 = 409;

/// The clock that leases are counted by: it runs on while the machine is suspended. Danger: a holder whose clock stood still
/// with its machine believes to hold what the voters have long given to another.
#[derive(Clone, Copy, Debug)]
struct LeaseClock {
    /// By how many millionths it is wrong on purpose.
    off_ppm: i64,
}

impl LeaseClock {
    fn start() -> LeaseClock {
        // For tests of clocks beyond the bound; a release build has no such switch.
        #[cfg(debug_assertions)]
        let off = std::env::var("ARROWYARD_TEST_CLOCK_PPM").ok().and_then(|told| told.parse().ok());
        #[cfg(not(debug_assertions))]
        let off = None;
        LeaseClock { off_ppm: off.unwrap_or(0) }
    }

    fn now(self) -> Timestamp {
        let now = clock_gettime(ClockId::Boottime);
        let us = now.tv_sec * 1_000_000 + now.tv_nsec / 1000;
        Timestamp::from_micros(us + us / 1_000_000 * self.off_ppm + us % 1_000_000 * self.off_ppm / 1_000_000)
    }
}

/// A duty, and how far it is.
struct Doing {
    duty: Duty,
    lease: LeaseId,
    /// When it is done next, and whether an act is under way.
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
    /// Where candidates are, and when each was heard last.
    candidates: HashMap<CandidateId, (SocketAddr, Timestamp)>,
    doing: Vec<Doing>,
    rng: Rng,
    errands: mpsc::Receiver<LeasesCommand>,
    own: mpsc::Sender<LeasesCommand>,
    dropped: u64,
    writes: Rc<Cell<u64>>,
    stage: &'static str,
    drifts: HashMap<VoterId, i64>,
    /// No act is begun any more; whether it is fit to hold leases; and who waits for their being given back.
    stops: bool,
    fit: bool,
    leaving: Option<oneshot::Sender<()>>,
}

fn path(folder: &Path) -> PathBuf {
    folder.join("votes")
}

/// What the voter kept. Nothing where there is nothing, or what there is cannot be used: then what it granted is lost.
async fn load(folder: PathBuf, group: u64, name: String) -> Option<VoterSnapshot> {
    let reading = spawn_blocking(move || {
        let _ = std::fs::create_dir_all(&folder);
        SystemDisk.read(&path(&folder), storage::MAX_FILE_BYTES)
    });
    let read = match timeout(DISK, reading).await {
        Ok(Ok(Ok((bytes, _)))) => storage::decode(&bytes, group, &name).map_err(|why| format!("{why:?}")),
        Ok(Ok(Err(error))) => Err(error.to_string()),
        _ => Err("the disk did not answer in time".to_string()),
    };
    read.map_err(|why| tracing::warn!("votes are lost ({why}): the other voters are asked for them")).ok()
}

impl LeasesTask {
    /// Opens the socket; the task and where its errands go.
    ///
    /// # Errors
    /// The address cannot be listened at, or a voter has no place for its votes.
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
        // Drawn anew by each process, whatever its seed: two of one name are two candidates.
        let id = CandidateId(fastrand::u64(1..) ^ mono_us().unsigned_abs().rotate_left(20));
        let mut rng = Rng::with_seed(seed ^ id.0);
        let mut candidate = Candidate::new(terms, id);
        let now = clock.now();
        // One draw for all its duties: what is asked for together stays together.
        let draw = rng.f64();
        let doing = |duty: Duty| {
            let lease = lease_id(&duty.name);
            candidate.request(now, lease, duty.rank, draw);
            Doing { lease, duty, next: now, acting: false, acts: 0, failed: 0 }
        };
        let doing = duties.into_iter().map(doing).collect();
        let (own, errands) = mpsc::channel(ERRANDS);
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
            errands,
            own: own.clone(),
            dropped: 0,
            writes: Rc::default(),
            stage: "",
            drifts: HashMap::new(),
            stops: false,
            fit: true,
            leaving: None,
        };
        Ok((leases, own))
    }

    pub async fn run(mut self) {
        let mut buffer = vec![0; 2 * MAX_DATAGRAM_BYTES];
        loop {
            let next = self.next();
            tokio::select! {
                biased;
                // Time goes first. Danger: after a halt what waits in the socket is of before.
                () = sleep_until(next) => self.tick(),
                errand = self.errands.recv() => match errand {
                    Some(errand) => self.errand(errand),
                    None => return,
                },
                got = self.socket.recv_from(&mut buffer) => {
                    self.tick();
                    self.got(got, &buffer);
                    for _ in 1..TURN {
                        let Ok(got) = self.socket.try_recv_from(&mut buffer) else { break };
                        self.got(Ok(got), &buffer);
                    }
                    // Danger: a flood of datagrams keeps the thread from the ops.
                    yield_now().await;
                }
            }
            self.carry_out();
        }
    }

    fn next(&self) -> Instant {
        let acts = self.doing.iter().filter(|one| !one.acting && !self.stops).filter_map(|one| {
            let now = self.clock.now();
            let permit = self.candidate.permit(now, one.lease)?;
            // One that does not last long enough for an act is waited for till it is granted again.
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
            if self.candidates.len() >= CANDIDATES && !self.candidates.contains_key(id) {
                // Danger: invented candidates. The one that was silent for longest gives way.
                let oldest = self.candidates.iter().min_by_key(|(_, (_, at))| *at).map(|(id, _)| *id);
                if let Some(id) = oldest {
                    self.candidates.remove(&id);
                }
            }
            self.candidates.insert(*id, (from, self.clock.now()));
        }
        self.take(&word);
    }

    /// A word that came, or that this router says to itself.
    fn take(&mut self, word: &Message) {
        let now = self.clock.now();
        match word {
            Message::Response { .. } | Message::Available { .. } => {
                if let Some((voter, ppm)) = self.clocks.observe(now, word) {
                    // Danger: beyond the bound two may hold one lease at a time. It is said, once a voter.
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

    /// Sends what is to be sent, keeps what is to be kept, and tells what happened.
    fn carry_out(&mut self) {
        // Each turn hands on what this router says to itself; a candidate's word, a voter's answer, what follows from it.
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

    /// What cannot be sent now is lost, as the network may lose it; the decisions bear that.
    fn send(&self, to: SocketAddr, word: &Message) {
        let _ = self.socket.try_send_to(&message::encode(word, self.group), to);
    }

    /// Votes are on disk before they are told; on a thread of its own, so that no op waits for the disk.
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
                // Danger: a disk that is full is written to as fast as it fails.
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

    /// Duties that are due are done, where the lease lasts.
    fn act(&mut self, now: Timestamp) {
        if self.stops {
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
                let acted = timeout(within, call(&duty, permit, clock)).await;
                let acted = acted.unwrap_or_else(|_| Err("no answer in time".to_string()));
                tracing::debug!(mono_us = mono_us(), lease = duty.name, epoch, "act ends: {acted:?}");
                let _ = own.send(LeasesCommand::ActEnded(at, acted)).await;
            }));
            one.acting = true;
        }
    }

    fn errand(&mut self, errand: LeasesCommand) {
        match errand {
            LeasesCommand::Show(client) => drop(client.send(self.report())),
            LeasesCommand::SetEligible(fit) => {
                tracing::info!(mono_us = mono_us(), fit, "fit to hold leases");
                if self.leaving.is_none() {
                    self.stops = !fit;
                }
                self.fit = fit;
                self.stop();
            }
            LeasesCommand::Leave(done) => {
                (self.stops, self.leaving) = (true, Some(done));
                self.stop();
            }
            LeasesCommand::VotesStored(number, done) => {
                self.voter.iter_mut().for_each(|voter| voter.write_finished(number, done));
            }
            LeasesCommand::ActEnded(at, acted) => {
                let Some(one) = self.doing.get_mut(at) else { return };
                (one.acting, one.acts) = (false, one.acts + 1);
                match acted {
                    Ok(200..=299) => {}
                    Ok(BEHIND) => {
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
                self.stop();
            }
        }
    }

    /// Gives back what is to be given back, once no act is under way. Danger: an act that was begun goes on at whoever takes it,
    /// though its call is given up here, and the next holder's act meets it (a test with processes found it). An act lasts no
    /// longer than it may take, which is less than half of a term.
    fn stop(&mut self) {
        if self.doing.iter().any(|one| one.acting) {
            return;
        }
        let (now, rng) = (self.clock.now(), &mut self.rng);
        self.candidate.set_eligible(now, self.fit, || rng.f64());
        if let Some(done) = self.leaving.take() {
            self.candidate.release_all();
            self.carry_out();
            // Whoever asked may be gone.
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

/// One act: a call that carries the lease, its epoch and how long it lasts. The status that came back.
async fn call(duty: &Duty, permit: Permit, clock: LeaseClock) -> Result<u16, String> {
    let failed = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect(duty.address).await.map_err(failed)?;
    // The last moment. Danger: connecting took long, or the process was halted since it looked; from here on only the
    // epoch, which the taker looks at, tells that the lease has ended.
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
    let mut came = Vec::new();
    while came.len() < 1024 && !came.windows(2).any(|two| two == b"\r\n") {
        if stream.read_buf(&mut came).await.map_err(failed)? == 0 {
            return Err("the answer broke off".to_string());
        }
    }
    let text = String::from_utf8_lossy(&came);
    let status = text.strip_prefix("HTTP/1.").and_then(|rest| rest.split(' ').nth(1)?.get(..3)?.parse().ok());
    status.ok_or_else(|| "no status".to_string())
}
