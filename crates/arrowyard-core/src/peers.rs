//! The task that belongs to a fleet: a socket for datagrams, the membership's decisions, and what the rest of the router
//! hears of it. It decides nothing. Without an operator's file that names a fleet none of this is started.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arrowyard_peers::{Action, Event, LocalMember, Membership, PeerSettings, Reach, Standing, View};
use arrowyard_types::PeerId;
use rustix::time::{ClockId, clock_gettime};
use serde_json::{Value, json};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep_until, timeout};

use crate::clock::Clock;
use crate::leases;
use crate::messages::RouteMessage;
use crate::transport::HostTransport;

/// What others ask of the task.
pub enum PeersCommand {
    /// The module has a word for all.
    Broadcast(Vec<u8>),
    Show(oneshot::Sender<String>),
    /// The router ends; answered once that was said.
    Leave(oneshot::Sender<()>),
    /// The machine there refused a datagram for this life of a member.
    PortRefused(Rc<str>, u64),
    /// How the route stage does: ops taken and acked since the start; nothing where it did not answer in time.
    ServiceReport(Option<(u64, u64)>),
}

/// Errands that wait at most, datagrams that are read before others get a turn, and looks under way.
const ERRANDS: usize = 256;
const TURN: usize = 16;
const LOOKS: usize = 32;
/// How long a refusal may take to come, and the route stage to say how it does.
const LOOK: Duration = Duration::from_millis(150);
const STAGE: Duration = Duration::from_secs(2);
/// A router that took so many ops since it last acked one, for so long, serves nobody.
const UNSERVED: u64 = 8;
const UNSERVED_FOR: Duration = Duration::from_secs(2);

/// Microseconds of the machine's monotonic clock, the same for all its processes: what several of them wrote down can be
/// laid over each other.
#[must_use]
pub fn mono_us() -> i64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec * 1_000_000 + now.tv_nsec / 1000
}

/// Whether ops are served, as seen over time.
struct Serving {
    acked: u64,
    taken: u64,
    since: Instant,
}

impl Serving {
    /// Nobody is served: many were taken since the last ack, or the stage does not answer.
    fn idle(&mut self, told: Option<(u64, u64)>) -> bool {
        let Some((taken, acked)) = told else { return true };
        if acked > self.acked || taken < self.taken + UNSERVED {
            if acked > self.acked {
                (self.acked, self.taken) = (acked, taken);
            }
            self.since = Instant::now();
            return false;
        }
        self.since.elapsed() >= UNSERVED_FOR
    }
}

pub struct PeersTask<B: HostTransport> {
    fleet: Membership,
    socket: UdpSocket,
    clock: Clock,
    errands: mpsc::Receiver<PeersCommand>,
    own: mpsc::Sender<PeersCommand>,
    mail: mpsc::Sender<RouteMessage<B>>,
    shares: bool,
    news: bool,
    routers: f64,
    looks: Rc<std::cell::Cell<usize>>,
    asked_stage: Instant,
    serving: Serving,
    /// The task that wants leases, and what it was told last.
    leases: Option<mpsc::Sender<leases::LeasesCommand>>,
    idle: bool,
    errors: u64,
}

impl<B: HostTransport> PeersTask<B> {
    /// Opens the socket; the task and where its errands go.
    ///
    /// # Errors
    /// The address cannot be listened at.
    pub async fn open(
        belongs: PeerSettings,
        name: &str,
        settings: f64,
        seed: u64,
        clock: Clock,
        mail: mpsc::Sender<RouteMessage<B>>,
        leases: Option<mpsc::Sender<leases::LeasesCommand>>,
    ) -> Result<(Self, mpsc::Sender<PeersCommand>), String> {
        let socket = UdpSocket::bind(belongs.listen).await.map_err(|e| format!("{}: {e}", belongs.listen))?;
        let local = socket.local_addr().map_err(|e| e.to_string())?;
        let at = belongs.advertise.unwrap_or(local);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let life = unix.as_millis() as u64;
        // The earlier start has the lesser mark; what is drawn tells two of one millisecond apart.
        let nonce = life << 20 | fastrand::u64(..1 << 20);
        let me = LocalMember { name: name.into(), address: at, incarnation: life, nonce };
        let fleet = belongs.config.fleet.clone();
        let (own, errands) = mpsc::channel(ERRANDS);
        let decisions = Membership::new(clock.now(), belongs.config, me, settings, seed ^ nonce);
        tracing::info!(fleet, at = %at, life, "member of a fleet, datagrams at {local}");
        let moment = Instant::now();
        let peers = PeersTask {
            fleet: decisions,
            socket,
            clock,
            errands,
            own: own.clone(),
            mail,
            shares: belongs.count_members,
            news: belongs.relay_app_messages,
            routers: settings,
            looks: Rc::default(),
            asked_stage: moment,
            serving: Serving { acked: 0, taken: 0, since: moment },
            leases,
            idle: false,
            errors: 0,
        };
        Ok((peers, own))
    }

    pub async fn run(mut self) {
        let mut buffer = vec![0; 2048];
        loop {
            let next = self.clock.instant_at(self.fleet.next_deadline());
            tokio::select! {
                biased;
                // Time goes first. Danger: after a halt a socket full of old datagrams is taken for news of now.
                () = sleep_until(next) => self.fleet.tick(self.clock.now()),
                errand = self.errands.recv() => match errand {
                    Some(errand) => self.errand(errand),
                    None => return,
                },
                got = self.socket.recv_from(&mut buffer) => {
                    self.got(got, &buffer);
                    for _ in 1..TURN {
                        let Ok(got) = self.socket.try_recv_from(&mut buffer) else { break };
                        self.got(Ok(got), &buffer);
                    }
                    self.carry_out().await;
                    // Danger: a flood of datagrams keeps the thread from the ops.
                    yield_now().await;
                }
            }
            self.carry_out().await;
            self.ask_stage();
        }
    }

    fn got(&mut self, got: io::Result<(usize, SocketAddr)>, buffer: &[u8]) {
        match got {
            Ok((length, from)) => self.fleet.receive(self.clock.now(), from, &buffer[..length]),
            // A refusal for some datagram before; which one is not said.
            Err(_) => self.errors += 1,
        }
    }

    fn errand(&mut self, errand: PeersCommand) {
        let now = self.clock.now();
        match errand {
            PeersCommand::Broadcast(bytes) if self.news => self.fleet.broadcast(now, &bytes),
            PeersCommand::Broadcast(_) => {}
            PeersCommand::Show(client) => drop(client.send(self.report().to_string())),
            PeersCommand::Leave(done) => {
                self.fleet.leave(now);
                // Whoever asked may be gone.
                let _ = done.send(());
            }
            PeersCommand::PortRefused(name, life) => self.fleet.port_refused(&name, life),
            PeersCommand::ServiceReport(told) => {
                let idle = self.serving.idle(told);
                self.fleet.set_idle(now, idle);
                // Full of errands, it hears of it the next time.
                if let Some(leases) = self.leases.as_ref().filter(|_| self.idle != idle)
                    && leases.try_send(leases::LeasesCommand::SetEligible(!idle)).is_ok()
                {
                    self.idle = idle;
                }
            }
        }
    }

    /// Asks the route stage how it does, once a period and no more.
    fn ask_stage(&mut self) {
        if self.asked_stage.elapsed() < STAGE / 2 {
            return;
        }
        self.asked_stage = Instant::now();
        let (mail, own) = (self.mail.clone(), self.own.clone());
        drop(spawn_local(async move {
            let (client, answer) = oneshot::channel();
            let told = timeout(STAGE, async {
                mail.send(RouteMessage::CheckLiveness(client)).await.ok()?;
                answer.await.ok()
            });
            let told = told.await.ok().flatten();
            // A full channel has other errands that say that it lives.
            let _ = own.try_send(PeersCommand::ServiceReport(told));
        }));
    }

    async fn carry_out(&mut self) {
        for deed in std::mem::take(&mut self.fleet.actions) {
            match deed {
                // What cannot be sent now is lost, as the network may lose it; the decisions bear that.
                Action::Send { to, bytes } => {
                    self.errors += u64::from(self.socket.try_send_to(&bytes, to).is_err());
                }
                Action::CheckPort { to, name, incarnation: life, bytes } => self.look(to, name, life, bytes),
            }
        }
        for event in std::mem::take(&mut self.fleet.events) {
            let mono_us = mono_us();
            match event {
                Event::StandingChanged { name, incarnation: life, standing, reported_by: by } => {
                    tracing::info!(mono_us, peer = &*name, life, by = &*by, "peer is {standing:?}");
                }
                Event::Stalled(span) => {
                    tracing::warn!(mono_us, ms = span.micros() / 1000, "was away: the view is in doubt");
                }
                Event::IncarnationRaised(life) => tracing::info!(mono_us, life, "own life is raised"),
                Event::DuplicateName { yields: gives_way } => {
                    tracing::error!(mono_us, gives_way, "another process has this router's name");
                }
                Event::Partition { reachable: reach, total: whole } => {
                    tracing::warn!(mono_us, reach, whole, "a part of the fleet is out of reach");
                }
            }
        }
        for (from, bytes) in std::mem::take(&mut self.fleet.app_messages) {
            if self.news {
                self.hear(from, bytes).await;
            }
        }
        if self.shares && self.routers != self.fleet.router_count() {
            self.routers = self.fleet.router_count();
            tracing::info!(
                mono_us = mono_us(),
                routers = self.routers,
                "shares are reckoned by another number of routers"
            );
            let _ = self.mail.send(RouteMessage::RouterCountChanged(self.routers)).await;
        }
    }

    /// Danger: a full inbox of the route stage, and others' news before the ops of this router. It is dropped then.
    async fn hear(&self, from: PeerId, bytes: Vec<u8>) {
        let _ = self.mail.try_send(RouteMessage::PeerMessage(from, bytes));
    }

    /// Whether the machine there refuses datagrams.
    fn look(&self, to: SocketAddr, name: Rc<str>, life: u64, bytes: Vec<u8>) {
        if self.looks.get() >= LOOKS {
            return;
        }
        self.looks.set(self.looks.get() + 1);
        let (looks, own) = (self.looks.clone(), self.own.clone());
        let any: SocketAddr = if to.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0_u16; 8], 0).into() };
        drop(spawn_local(async move {
            let refused = async {
                let socket = UdpSocket::bind(any).await.ok()?;
                socket.connect(to).await.ok()?;
                socket.send(&bytes).await.ok()?;
                match timeout(LOOK, socket.recv(&mut [0; 64])).await.ok()? {
                    Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => Some(()),
                    _ => None,
                }
            };
            if refused.await.is_some() {
                let _ = own.try_send(PeersCommand::PortRefused(name, life));
            }
            looks.set(looks.get() - 1);
        }));
    }

    /// For `SHOW peers`.
    fn report(&self) -> Value {
        let View {
            name,
            incarnation: life,
            rows,
            reachable: reach,
            total: whole,
            suspects_itself: doubts,
            health_score: health,
            duplicate_name: doubled,
            router_count: routers,
        } = self.fleet.view(self.clock.now());
        let rows = rows.iter().map(|row| {
            let standing = match row.standing {
                Standing::Alive => "alive",
                Standing::Silent => "silent",
                Standing::Lost => "lost",
                Standing::Dead => "dead",
                Standing::Left => "left",
            };
            let reach = match row.reach {
                Reach::Direct => "answers",
                Reach::InboundOnly => "heard, does not hear this router",
                Reach::ViaHelpers => "by others only",
                Reach::Reported => "by others' word",
                Reach::None => "-",
            };
            json!({"name": &*row.name, "standing": standing, "reach": reach, "life": row.incarnation,
                "for_ms": row.standing_for.micros() / 1000, "by": &*row.reported_by, "accusers": row.accuser_count,
                "sure": row.confirmed_locally, "serves": !row.idle, "fell": row.suspicion_count})
        });
        let counts = self.fleet.counts;
        let counts: HashMap<&str, u64> = HashMap::from([
            ("sent", counts.sent),
            ("sent_bytes", counts.sent_bytes),
            ("taken", counts.received),
            ("taken_bytes", counts.received_bytes),
            ("flood", counts.rate_limited),
            ("too_large", counts.too_large),
            ("garbled", counts.malformed),
            ("newer", counts.unsupported_version),
            ("foreign", counts.other_fleet),
            ("outside", counts.disallowed_address),
            ("stale", counts.stale),
            ("unmet", counts.unanswered_candidates),
            ("errors", self.errors),
        ]);
        json!({"name": &*name, "life": life, "mono_us": mono_us(), "reach": reach, "whole": whole,
            "doubts": doubts, "health": health, "doubled": doubled, "routers": routers,
            "held": self.fleet.tracked_entries(), "peers": rows.collect::<Vec<_>>(), "datagrams": counts})
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(start_paused = true)]
    async fn a_router_that_acks_nothing_of_many_ops_serves_nobody() {
        let mut serving = Serving { acked: 0, taken: 0, since: Instant::now() };
        assert!(!serving.idle(Some((5, 0))), "few ops say nothing");
        tokio::time::advance(UNSERVED_FOR).await;
        assert!(!serving.idle(Some((UNSERVED - 1, 0))));
        assert!(!serving.idle(Some((50, 0))), "it has to last");
        tokio::time::advance(UNSERVED_FOR).await;
        assert!(serving.idle(Some((60, 0))));
        assert!(!serving.idle(Some((60, 1))), "one was served");
        assert!(serving.idle(None), "the route stage hangs");
    }
}
