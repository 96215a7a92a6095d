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
    /// Requests the report for `SHOW peers`.
    Show(oneshot::Sender<String>),
    /// Announces that the router leaves; the channel resolves once that was sent.
    Leave(oneshot::Sender<()>),
    /// The machine of the member with this name and incarnation refused a datagram to its port.
    PortRefused(Rc<str>, u64),
    /// Ops received and acknowledged since the start; `None` if the route task did not respond in time.
    ServiceReport(Option<(u64, u64)>),
}

/// Capacity of the command channel.
const COMMAND_QUEUE: usize = 256;
/// Datagrams read before yielding.
const MAX_DATAGRAMS_PER_TURN: usize = 16;
/// Concurrent port checks.
const MAX_PORT_CHECKS: usize = 32;
/// Timeout of a port check.
const PORT_CHECK_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of a liveness check of the route task.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(2);
/// A router is idle only if it received at least this many ops since it last acknowledged one.
const MIN_UNSERVED_OPS: u64 = 8;
/// How long a router must acknowledge none of these ops to be idle.
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
    /// Ops acknowledged and received since the start, as of the last report with a new acknowledgement.
    acked: u64,
    received: u64,
    /// When a report last showed no lack of acknowledgements.
    last_served_at: Instant,
}

impl ServiceMonitor {
    /// Whether no ops are served: many were received since the last acknowledgement, or the route task does
    /// not respond (`None`).
    fn update(&mut self, report: Option<(u64, u64)>) -> bool {
        let Some((received, acked)) = report else { return true };
        if acked > self.acked || received < self.received + MIN_UNSERVED_OPS {
            if acked > self.acked {
                (self.acked, self.received) = (acked, received);
            }
            self.last_served_at = Instant::now();
            return false;
        }
        self.last_served_at.elapsed() >= UNSERVED_TIMEOUT
    }
}

/// The fleet membership task.
pub struct PeersTask<T: HostTransport> {
    membership: Membership,
    socket: UdpSocket,
    clock: Clock,
    commands: mpsc::Receiver<PeersCommand>,
    /// Sends results of spawned tasks back to this task.
    own_commands: mpsc::Sender<PeersCommand>,
    messages: mpsc::Sender<RouteMessage<T>>,
    /// Whether the number of members replaces the configured number of routers.
    counts_members: bool,
    /// Whether messages of the decision module are exchanged with other members.
    relays_app_messages: bool,
    /// The number of routers last reported to the route task.
    router_count: f64,
    /// Port checks in progress.
    port_checks: Rc<std::cell::Cell<usize>>,
    last_liveness_check: Instant,
    service_monitor: ServiceMonitor,
    /// Commands to the lease task, if leases are configured.
    leases: Option<mpsc::Sender<leases::LeasesCommand>>,
    /// The idle state last reported to the lease task.
    idle: bool,
    /// Failed sends and receives on the socket.
    socket_errors: u64,
}

impl<T: HostTransport> PeersTask<T> {
    /// Opens the socket; returns the task and its command channel.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn open(
        settings: PeerSettings,
        name: &str,
        configured_routers: f64,
        seed: u64,
        clock: Clock,
        messages: mpsc::Sender<RouteMessage<T>>,
        leases: Option<mpsc::Sender<leases::LeasesCommand>>,
    ) -> Result<(Self, mpsc::Sender<PeersCommand>), String> {
        let socket =
            UdpSocket::bind(settings.listen).await.map_err(|e| format!("{}: {e}", settings.listen))?;
        let local_address = socket.local_addr().map_err(|e| e.to_string())?;
        let address = settings.advertise.unwrap_or(local_address);
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let incarnation = since_epoch.as_millis() as u64;
        // Nonces are ordered by start time; random bits distinguish two starts in one millisecond.
        let nonce = incarnation << 20 | fastrand::u64(..1 << 20);
        let local_member = LocalMember { name: name.into(), address, incarnation, nonce };
        let fleet = settings.config.fleet.clone();
        let (own_commands, commands) = mpsc::channel(COMMAND_QUEUE);
        let membership =
            Membership::new(clock.now(), settings.config, local_member, configured_routers, seed ^ nonce);
        tracing::info!(fleet, at = %address, life = incarnation, "member of a fleet, datagrams at {local_address}");
        let started_at = Instant::now();
        let task = PeersTask {
            membership,
            socket,
            clock,
            commands,
            own_commands: own_commands.clone(),
            messages,
            counts_members: settings.count_members,
            relays_app_messages: settings.relay_app_messages,
            router_count: configured_routers,
            port_checks: Rc::default(),
            last_liveness_check: started_at,
            service_monitor: ServiceMonitor { acked: 0, received: 0, last_served_at: started_at },
            leases,
            idle: false,
            socket_errors: 0,
        };
        Ok((task, own_commands))
    }

    /// Handles commands, datagrams and timers until the command channel is closed.
    pub async fn run(mut self) {
        let mut buffer = vec![0; 2048];
        loop {
            let wake_at = self.clock.instant_at(self.membership.next_deadline());
            tokio::select! {
                biased;
                // Timers go first, so that datagrams queued while the process was stopped are not treated as
                // current.
                () = sleep_until(wake_at) => self.membership.tick(self.clock.now()),
                command = self.commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                received = self.socket.recv_from(&mut buffer) => {
                    self.handle_datagram(received, &buffer);
                    for _ in 1..MAX_DATAGRAMS_PER_TURN {
                        let Ok(received) = self.socket.try_recv_from(&mut buffer) else { break };
                        self.handle_datagram(Ok(received), &buffer);
                    }
                    self.execute_actions().await;
                    // Lets ops run during a flood of datagrams.
                    yield_now().await;
                }
            }
            self.execute_actions().await;
            self.check_route_task();
        }
    }

    fn handle_datagram(&mut self, received: io::Result<(usize, SocketAddr)>, buffer: &[u8]) {
        match received {
            Ok((length, from)) => self.membership.receive(self.clock.now(), from, &buffer[..length]),
            // The error concerns an earlier datagram; the system does not report which one.
            Err(_) => self.socket_errors += 1,
        }
    }

    fn handle_command(&mut self, command: PeersCommand) {
        let now = self.clock.now();
        match command {
            PeersCommand::Broadcast(bytes) if self.relays_app_messages => {
                self.membership.broadcast(now, &bytes)
            }
            PeersCommand::Broadcast(_) => {}
            PeersCommand::Show(client) => drop(client.send(self.report().to_string())),
            PeersCommand::Leave(leave_waiter) => {
                self.membership.leave(now);
                // The receiver may have been dropped.
                let _ = leave_waiter.send(());
            }
            PeersCommand::PortRefused(name, incarnation) => self.membership.port_refused(&name, incarnation),
            PeersCommand::ServiceReport(report) => {
                let idle = self.service_monitor.update(report);
                self.membership.set_idle(now, idle);
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
        let (messages, own_commands) = (self.messages.clone(), self.own_commands.clone());
        drop(spawn_local(async move {
            let (client, response) = oneshot::channel();
            let report = timeout(LIVENESS_TIMEOUT, async {
                messages.send(RouteMessage::CheckLiveness(client)).await.ok()?;
                response.await.ok()
            });
            let report = report.await.ok().flatten();
            // If the channel is full, the result is dropped.
            let _ = own_commands.try_send(PeersCommand::ServiceReport(report));
        }));
    }

    /// Executes the actions and handles the events of the membership protocol.
    async fn execute_actions(&mut self) {
        for action in std::mem::take(&mut self.membership.actions) {
            match action {
                // A datagram that cannot be sent is lost, which the membership protocol tolerates.
                Action::Send { to, bytes } => {
                    self.socket_errors += u64::from(self.socket.try_send_to(&bytes, to).is_err());
                }
                Action::CheckPort { to, name, incarnation, bytes } => {
                    self.check_port(to, name, incarnation, bytes)
                }
            }
        }
        for event in std::mem::take(&mut self.membership.events) {
            let mono_us = mono_us();
            match event {
                Event::StandingChanged { name, incarnation, standing, reported_by } => {
                    tracing::info!(
                        mono_us,
                        peer = &*name,
                        life = incarnation,
                        by = &*reported_by,
                        "peer is {standing:?}"
                    );
                }
                Event::Stalled(stall) => {
                    tracing::warn!(
                        mono_us,
                        ms = stall.micros() / 1000,
                        "the process was stalled; the membership view may be outdated"
                    );
                }
                Event::IncarnationRaised(incarnation) => {
                    tracing::info!(mono_us, life = incarnation, "raised the incarnation of this router")
                }
                Event::DuplicateName { yields } => {
                    tracing::error!(mono_us, gives_way = yields, "another process uses this router's name");
                }
                Event::Partition { reachable, total } => {
                    tracing::warn!(
                        mono_us,
                        reach = reachable,
                        whole = total,
                        "a part of the fleet is unreachable"
                    );
                }
            }
        }
        for (from, bytes) in std::mem::take(&mut self.membership.app_messages) {
            if self.relays_app_messages {
                self.forward_message(from, bytes).await;
            }
        }
        if self.counts_members && self.router_count != self.membership.router_count() {
            self.router_count = self.membership.router_count();
            tracing::info!(
                mono_us = mono_us(),
                routers = self.router_count,
                "the number of routers that share the load changed"
            );
            let _ = self.messages.send(RouteMessage::RouterCountChanged(self.router_count)).await;
        }
    }

    /// Passes a message to the route task. It is dropped if the channel is full, since ops have priority.
    async fn forward_message(&self, from: PeerId, bytes: Vec<u8>) {
        let _ = self.messages.try_send(RouteMessage::PeerMessage(from, bytes));
    }

    /// Sends a datagram to a member and reports if its machine refuses it.
    fn check_port(&self, to: SocketAddr, name: Rc<str>, incarnation: u64, bytes: Vec<u8>) {
        if self.port_checks.get() >= MAX_PORT_CHECKS {
            return;
        }
        self.port_checks.set(self.port_checks.get() + 1);
        let (port_checks, own_commands) = (self.port_checks.clone(), self.own_commands.clone());
        let unspecified_address: SocketAddr =
            if to.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0_u16; 8], 0).into() };
        drop(spawn_local(async move {
            let port_check = async {
                let socket = UdpSocket::bind(unspecified_address).await.ok()?;
                socket.connect(to).await.ok()?;
                socket.send(&bytes).await.ok()?;
                match timeout(PORT_CHECK_TIMEOUT, socket.recv(&mut [0; 64])).await.ok()? {
                    Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => Some(()),
                    _ => None,
                }
            };
            if port_check.await.is_some() {
                let _ = own_commands.try_send(PeersCommand::PortRefused(name, incarnation));
            }
            port_checks.set(port_checks.get() - 1);
        }));
    }

    /// The report for `SHOW peers`.
    fn report(&self) -> Value {
        let View {
            name,
            incarnation,
            rows,
            reachable,
            total,
            suspects_itself,
            health_score,
            duplicate_name,
            router_count,
        } = self.membership.view(self.clock.now());
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
        let counts = self.membership.counts;
        let datagrams: HashMap<&str, u64> = HashMap::from([
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
            ("errors", self.socket_errors),
        ]);
        json!({"name": &*name, "life": incarnation, "mono_us": mono_us(), "reach": reachable, "whole": total,
            "doubts": suspects_itself, "health": health_score, "doubled": duplicate_name, "routers": router_count,
            "held": self.membership.tracked_entries(), "peers": rows.collect::<Vec<_>>(),
            "datagrams": datagrams})
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(start_paused = true)]
    async fn a_router_that_acknowledges_none_of_many_ops_is_idle() {
        let mut service_monitor = ServiceMonitor { acked: 0, received: 0, last_served_at: Instant::now() };
        assert!(!service_monitor.update(Some((5, 0))), "too few ops to decide");
        tokio::time::advance(UNSERVED_TIMEOUT).await;
        assert!(!service_monitor.update(Some((MIN_UNSERVED_OPS - 1, 0))));
        assert!(!service_monitor.update(Some((50, 0))), "not for long enough");
        tokio::time::advance(UNSERVED_TIMEOUT).await;
        assert!(service_monitor.update(Some((60, 0))));
        assert!(!service_monitor.update(Some((60, 1))), "one op was served");
        assert!(service_monitor.update(None), "the route task hangs");
    }
}
