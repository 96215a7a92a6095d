//! The fleet membership task: connects the decisions of `arrowyard-peers` to a UDP socket and to the other
//! tasks. It is started only if the operator's file configures a fleet.

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

/// Commands to the membership task.
pub enum PeersCommand {
    /// Sends a message of the decision module to all members.
    Broadcast(Vec<u8>),
    Show(oneshot::Sender<String>),
    /// Announces that the router leaves; answered once that was sent.
    Leave(oneshot::Sender<()>),
    /// The machine refused a datagram to this incarnation of a member.
    PortRefused(Rc<str>, u64),
    /// Ops taken and acknowledged since the start; `None` if the route task did not answer in time.
    ServiceReport(Option<(u64, u64)>),
}

/// Capacity of the command channel, datagrams read before yielding, and concurrent port checks.
const COMMAND_QUEUE: usize = 256;
const MAX_DATAGRAMS_PER_TURN: usize = 16;
const MAX_PORT_CHECKS: usize = 32;
/// Time-outs of a port check and of a liveness check of the route task.
const PORT_CHECK_TIMEOUT: Duration = Duration::from_millis(150);
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(2);
/// A router is idle if it took this many ops since it last acknowledged one, for this long.
const MIN_UNSERVED_OPS: u64 = 8;
const UNSERVED_TIMEOUT: Duration = Duration::from_secs(2);

/// Microseconds of the machine's monotonic clock, which is the same for all processes, so that their logs
/// can be merged.
#[must_use]
pub fn mono_us() -> i64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec * 1_000_000 + now.tv_nsec / 1000
}

/// Detects a router that acknowledges no ops.
struct ServiceMonitor {
    acked: u64,
    taken: u64,
    since: Instant,
}

impl ServiceMonitor {
    /// Whether no op is served: many were taken since the last acknowledgement, or the route task does not
    /// answer.
    fn idle(&mut self, told: Option<(u64, u64)>) -> bool {
        let Some((taken, acked)) = told else { return true };
        if acked > self.acked || taken < self.taken + MIN_UNSERVED_OPS {
            if acked > self.acked {
                (self.acked, self.taken) = (acked, taken);
            }
            self.since = Instant::now();
            return false;
        }
        self.since.elapsed() >= UNSERVED_TIMEOUT
    }
}

pub struct PeersTask<B: HostTransport> {
    fleet: Membership,
    socket: UdpSocket,
    clock: Clock,
    commands: mpsc::Receiver<PeersCommand>,
    own: mpsc::Sender<PeersCommand>,
    mail: mpsc::Sender<RouteMessage<B>>,
    shares: bool,
    news: bool,
    routers: f64,
    port_checks: Rc<std::cell::Cell<usize>>,
    last_liveness_check: Instant,
    serving: ServiceMonitor,
    /// Commands to the lease task, and the idle state last reported to it.
    leases: Option<mpsc::Sender<leases::LeasesCommand>>,
    idle: bool,
    errors: u64,
}

impl<B: HostTransport> PeersTask<B> {
    /// Opens the socket; returns the task and its command channel.
    ///
    /// # Errors
    /// The address cannot be bound.
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
        // Ordered by start time; random bits distinguish two starts in one millisecond.
        let nonce = life << 20 | fastrand::u64(..1 << 20);
        let me = LocalMember { name: name.into(), address: at, incarnation: life, nonce };
        let fleet = belongs.config.fleet.clone();
        let (own, commands) = mpsc::channel(COMMAND_QUEUE);
        let membership = Membership::new(clock.now(), belongs.config, me, settings, seed ^ nonce);
        tracing::info!(fleet, at = %at, life, "member of a fleet, datagrams at {local}");
        let moment = Instant::now();
        let peers = PeersTask {
            fleet: membership,
            socket,
            clock,
            commands,
            own: own.clone(),
            mail,
            shares: belongs.count_members,
            news: belongs.relay_app_messages,
            routers: settings,
            port_checks: Rc::default(),
            last_liveness_check: moment,
            serving: ServiceMonitor { acked: 0, taken: 0, since: moment },
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
                // Timers go first, so that datagrams queued during a halt of the process are not taken as
                // current.
                () = sleep_until(next) => self.fleet.tick(self.clock.now()),
                command = self.commands.recv() => match command {
                    Some(command) => self.command(command),
                    None => return,
                },
                got = self.socket.recv_from(&mut buffer) => {
                    self.got(got, &buffer);
                    for _ in 1..MAX_DATAGRAMS_PER_TURN {
                        let Ok(got) = self.socket.try_recv_from(&mut buffer) else { break };
                        self.got(Ok(got), &buffer);
                    }
                    self.carry_out().await;
                    // Lets ops run during a flood of datagrams.
                    yield_now().await;
                }
            }
            self.carry_out().await;
            self.check_route_task();
        }
    }

    fn got(&mut self, got: io::Result<(usize, SocketAddr)>, buffer: &[u8]) {
        match got {
            Ok((length, from)) => self.fleet.receive(self.clock.now(), from, &buffer[..length]),
            // An error for an earlier datagram; the system does not say which one.
            Err(_) => self.errors += 1,
        }
    }

    fn command(&mut self, command: PeersCommand) {
        let now = self.clock.now();
        match command {
            PeersCommand::Broadcast(bytes) if self.news => self.fleet.broadcast(now, &bytes),
            PeersCommand::Broadcast(_) => {}
            PeersCommand::Show(client) => drop(client.send(self.report().to_string())),
            PeersCommand::Leave(done) => {
                self.fleet.leave(now);
                // The requester may be gone.
                let _ = done.send(());
            }
            PeersCommand::PortRefused(name, life) => self.fleet.port_refused(&name, life),
            PeersCommand::ServiceReport(told) => {
                let idle = self.serving.idle(told);
                self.fleet.set_idle(now, idle);
                // If the lease task's channel is full, the state is sent with the next report.
                if let Some(leases) = self.leases.as_ref().filter(|_| self.idle != idle)
                    && leases.try_send(leases::LeasesCommand::SetEligible(!idle)).is_ok()
                {
                    self.idle = idle;
                }
            }
        }
    }

    /// Checks the liveness of the route task, once per interval.
    fn check_route_task(&mut self) {
        if self.last_liveness_check.elapsed() < LIVENESS_TIMEOUT / 2 {
            return;
        }
        self.last_liveness_check = Instant::now();
        let (mail, own) = (self.mail.clone(), self.own.clone());
        drop(spawn_local(async move {
            let (client, answer) = oneshot::channel();
            let told = timeout(LIVENESS_TIMEOUT, async {
                mail.send(RouteMessage::CheckLiveness(client)).await.ok()?;
                answer.await.ok()
            });
            let told = told.await.ok().flatten();
            // If the channel is full, the result is dropped.
            let _ = own.try_send(PeersCommand::ServiceReport(told));
        }));
    }

    async fn carry_out(&mut self) {
        for action in std::mem::take(&mut self.fleet.actions) {
            match action {
                // A datagram that cannot be sent is lost, which the membership protocol tolerates.
                Action::Send { to, bytes } => {
                    self.errors += u64::from(self.socket.try_send_to(&bytes, to).is_err());
                }
                Action::CheckPort { to, name, incarnation: life, bytes } => {
                    self.check_port(to, name, life, bytes)
                }
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
                self.forward_message(from, bytes).await;
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

    /// Passes a message to the route task. It is dropped if the channel is full, since ops have priority.
    async fn forward_message(&self, from: PeerId, bytes: Vec<u8>) {
        let _ = self.mail.try_send(RouteMessage::PeerMessage(from, bytes));
    }

    /// Checks whether the machine refuses datagrams to the port.
    fn check_port(&self, to: SocketAddr, name: Rc<str>, life: u64, bytes: Vec<u8>) {
        if self.port_checks.get() >= MAX_PORT_CHECKS {
            return;
        }
        self.port_checks.set(self.port_checks.get() + 1);
        let (port_checks, own) = (self.port_checks.clone(), self.own.clone());
        let any: SocketAddr = if to.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0_u16; 8], 0).into() };
        drop(spawn_local(async move {
            let refused = async {
                let socket = UdpSocket::bind(any).await.ok()?;
                socket.connect(to).await.ok()?;
                socket.send(&bytes).await.ok()?;
                match timeout(PORT_CHECK_TIMEOUT, socket.recv(&mut [0; 64])).await.ok()? {
                    Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => Some(()),
                    _ => None,
                }
            };
            if refused.await.is_some() {
                let _ = own.try_send(PeersCommand::PortRefused(name, life));
            }
            port_checks.set(port_checks.get() - 1);
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
                "for_ms": row.standing_for.micros() / 1000, "by": &*row.reported_by, "accusers": row.suspected_by_count,
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
    async fn a_router_that_acknowledges_none_of_many_ops_is_idle() {
        let mut serving = ServiceMonitor { acked: 0, taken: 0, since: Instant::now() };
        assert!(!serving.idle(Some((5, 0))), "too few ops to decide");
        tokio::time::advance(UNSERVED_TIMEOUT).await;
        assert!(!serving.idle(Some((MIN_UNSERVED_OPS - 1, 0))));
        assert!(!serving.idle(Some((50, 0))), "not for long enough");
        tokio::time::advance(UNSERVED_TIMEOUT).await;
        assert!(serving.idle(Some((60, 0))));
        assert!(!serving.idle(Some((60, 1))), "one was served");
        assert!(serving.idle(None), "the route task hangs");
    }
}
