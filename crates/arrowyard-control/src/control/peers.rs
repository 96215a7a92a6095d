//! Connections, heartbeats and reachability among control machines.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use arrowyard_messages::{FrameDecoder, Heartbeat, Hello, Payload, encode_payload};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{TimeDelta, Timestamp};

use super::{Connection, Control};

/// A control machine that sends nothing for this long counts as unreachable.
const PEER_TIMEOUT: TimeDelta = TimeDelta::from_millis(1500);
/// A machine not heard from for this long is left out of the reachability report. Shorter than
/// `PEER_TIMEOUT`, so that both ends of a link that fails in one direction notice at about the same
/// time.
pub(super) const SILENCE_REPORT_TIMEOUT: TimeDelta = TimeDelta::from_millis(1250);
/// Timeout of a dial; half of it is the minimum interval between dials.
const DIAL_TIMEOUT: TimeDelta = TimeDelta::from_millis(1000);
/// Ticks between heartbeats, and between those that carry a sample of the view.
const HEARTBEAT_TICKS: u64 = 2;
const VIEW_EXCHANGE_TICKS: u64 = 8;
/// A router is disconnected if no quorum is reached within this time after it connected.
const PENDING_ROUTER_TIMEOUT: TimeDelta = TimeDelta::from_millis(600);
/// Ticks between heartbeats to routers.
const ROUTER_HEARTBEAT_TICKS: u64 = 2;

/// State of another control machine.
#[derive(Default)]
pub struct Peer {
    /// Open connections, the newest last. Two machines that dial each other at once have two connections;
    /// each receives on both and sends on its newest.
    pub(super) conns: Vec<Conn>,
    /// Outgoing connection attempt.
    dialing: Option<(Conn, Timestamp)>,
    pub(super) incarnation: u64,
    pub routers: u32,
    /// Whether its vote last counted, and since when it has not.
    pub votes: bool,
    unable_to_vote_since: Option<Timestamp>,
    pub disk_fails: bool,
    /// Whether it is shutting down.
    pub stopping: bool,
    /// The machines that it hears, as it last reported; only voters report them.
    pub(super) hears: Vec<u32>,
    /// Whether it last reported that it hears this machine.
    pub(super) hears_this_machine: bool,
    /// Start of the current period of contact, and the last message.
    reachable_since: Timestamp,
    last_heard_at: Timestamp,
    dialed_at: Timestamp,
    pub(super) digest_mismatches: u32,
}

impl Peer {
    /// Records that a message was received.
    pub(super) fn record_message(&mut self, now: Timestamp) {
        if now - self.last_heard_at >= PEER_TIMEOUT || self.reachable_since == Timestamp::default() {
            self.reachable_since = now;
        }
        self.last_heard_at = now;
    }

    /// Its current incarnation, if known.
    pub fn known_incarnation(&self) -> Option<u64> {
        (self.incarnation != 0).then_some(self.incarnation)
    }

    pub(super) fn set_votes(&mut self, now: Timestamp, votes: bool) {
        self.votes = votes;
        if votes {
            self.unable_to_vote_since = None;
        } else {
            self.unable_to_vote_since.get_or_insert(now);
        }
    }

    /// How long it has reported that its vote does not count.
    pub fn unable_to_vote_for(&self, now: Timestamp) -> TimeDelta {
        self.unable_to_vote_since.map_or(TimeDelta::ZERO, |since| now - since)
    }

    /// How long it has been reachable (`Ok`) or silent (`Err`).
    pub fn contact(&self, now: Timestamp) -> Result<TimeDelta, TimeDelta> {
        let silence = now - self.last_heard_at;
        if self.is_open() && silence < PEER_TIMEOUT { Ok(now - self.reachable_since) } else { Err(silence) }
    }

    pub fn is_open(&self) -> bool {
        !self.conns.is_empty()
    }
}

impl Control {
    pub(super) fn hello(&mut self) -> Payload {
        Payload::Hello(Hello {
            node: self.settings.node.clone(),
            ip: self.local_ip,
            zone: self.settings.zone.clone(),
            incarnation: self.incarnation,
            control: true,
            view: self.view.sample(&mut self.rng),
        })
    }

    /// Keeps a connection to every known control machine and sends heartbeats.
    pub(super) fn connect_peers(&mut self, now: Timestamp, commands: &mut Commands) {
        let known: Vec<u32> =
            self.view.machines().map(|known| known.ip).chain(self.replicated_log.voters().to_vec()).collect();
        // A failed machine is dialed until it has been removed from the view.
        self.peers.retain(|ip, peer| peer.is_open() || peer.dialing.is_some() || known.contains(ip));
        for ip in known.into_iter().filter(|ip| *ip != self.local_ip) {
            self.peers.entry(ip).or_default();
        }
        let mut dial = Vec::new();
        for (ip, peer) in &mut self.peers {
            if let Some((conn, at)) = peer.dialing
                && now - at >= DIAL_TIMEOUT
            {
                commands.reset(conn);
                self.connections.remove(&conn);
                peer.dialing = None;
            }
            if now - peer.last_heard_at >= PEER_TIMEOUT * 2.0 {
                for conn in peer.conns.drain(..) {
                    commands.reset(conn);
                    self.connections.remove(&conn);
                }
            }
            if !peer.is_open() && peer.dialing.is_none() && now - peer.dialed_at >= DIAL_TIMEOUT * 0.5 {
                peer.dialed_at = now;
                dial.push(*ip);
            }
        }
        for ip in dial {
            let conn = commands.dial(self.settings.internal(Ipv4Addr::from(ip)));
            self.connections.insert(conn, Connection::Peer(ip, FrameDecoder::default()));
            self.peers.entry(ip).or_default().dialing = Some((conn, now));
        }
        if self.ticks.is_multiple_of(HEARTBEAT_TICKS) {
            self.send_heartbeats(now, commands);
        }
        if self.ticks.is_multiple_of(HEARTBEAT_TICKS) {
            self.detect_silent_hosts(now);
        }
    }

    pub(super) fn send_heartbeats(&mut self, now: Timestamp, commands: &mut Commands) {
        self.view.increment_ages();
        let view = if self.ticks.is_multiple_of(VIEW_EXCHANGE_TICKS) {
            self.view.sample(&mut self.rng)
        } else {
            Vec::new()
        };
        let heartbeat = Heartbeat {
            chosen: self.replicated_log.chosen(),
            view,
            routers: self.subscribed_routers().count() as u32,
            digest: self.registry.digest(),
            votes: self.is_able_to_vote(now),
            silent: self.local_silent_hosts.clone(),
            disk_failing: !self.disk.is_healthy(now),
            reachable: self.recently_heard_peers(now),
            shutting_down: self.stopping_since.is_some(),
        };
        self.broadcast_to_peers(&Payload::Heartbeat(heartbeat), commands);
    }

    /// The peers heard from recently. Only voters report them, since only their reports count; reports of
    /// all machines about all others would grow with the cube of their number.
    fn recently_heard_peers(&self, now: Timestamp) -> Vec<u32> {
        if !self.replicated_log.voters().contains(&self.local_ip) {
            return Vec::new();
        }
        let recent =
            self.reachable_peers(now).filter(|(_, peer)| now - peer.last_heard_at < SILENCE_REPORT_TIMEOUT);
        recent.map(|(ip, _)| *ip).collect()
    }

    /// Detects hosts that stopped sending heartbeats to this machine.
    fn detect_silent_hosts(&mut self, now: Timestamp) {
        let hears = |(ip, peer): (&u32, &Peer)| std::iter::once(*ip).chain(peer.hears.clone());
        let heard: BTreeSet<u32> = self.reachable_peers(now).flat_map(hears).collect();
        // Safety: a machine that others hear still receives heartbeats, and its hosts are not silent.
        self.registry.expect_heartbeats_of(now, |machine| !heard.contains(&machine));
        let silence_limit = TimeDelta::from_millis((self.settings.heartbeat_interval_ms as f64 * 2.5) as i64);
        let is_silent = |id: &str| self.registry.silent_since(id).is_some_and(|at| now - at >= silence_limit);
        let live = self.registry.hosts().filter(|host| host.phase() != arrowyard_messages::Phase::Gone);
        let ids: Vec<String> = live.filter(|host| is_silent(&host.id)).map(|host| host.id.clone()).collect();
        for id in &ids {
            let since = self.registry.silent_since(id).unwrap_or(now);
            let last_call = self.registry.get(id).map_or(0, |host| host.call_seq);
            self.silences.report(id, since, last_call);
        }
        self.local_silent_hosts = ids
            .into_iter()
            .map(|id| {
                let since = self.registry.silent_since(&id).unwrap_or(now);
                let last_call = self.registry.get(&id).map_or(0, |host| host.call_seq);
                arrowyard_messages::SilentHost {
                    id,
                    silent_ms: ((now - since).micros() / 1000) as u64,
                    last_call,
                }
            })
            .collect();
    }

    /// The number of routers that are subscribed to the control machines heard within this time, as they last
    /// reported.
    pub(super) fn routers_of_peers(&self, now: Timestamp, time: TimeDelta) -> usize {
        let peers = self.peers.values().filter(|peer| now - peer.last_heard_at < time);
        peers.map(|peer| peer.routers as usize).sum()
    }

    pub(super) fn reachable_peers(&self, now: Timestamp) -> impl Iterator<Item = (&u32, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| peer.is_open() && now - peer.last_heard_at < PEER_TIMEOUT)
    }

    /// Whether this machine and a majority of the voters, counting itself if it is one, hear each other.
    /// Safety: a machine partitioned in either direction would otherwise keep accepting calls and serving
    /// routers without effect on the others.
    pub(super) fn can_reach_quorum(&self, now: Timestamp) -> bool {
        let voters = self.replicated_log.voters();
        let quorum_reachable =
            |voter: &u32| self.reachable_peers(now).any(|(ip, peer)| ip == voter && peer.hears_this_machine);
        let live = voters.iter().filter(|voter| **voter == self.local_ip || quorum_reachable(voter));
        live.count() * 2 > voters.len()
    }

    /// Detects loss or recovery of the quorum. Without a quorum, routers are disconnected so that they turn
    /// to another control machine.
    pub(super) fn update_quorum_status(&mut self, now: Timestamp, commands: &mut Commands) {
        let quorum_reachable = self.can_reach_quorum(now);
        if quorum_reachable != self.quorum_reachable {
            self.quorum_reachable = quorum_reachable;
            self.quorum_status_changed(now, commands);
            log::info!(
                "peers: {}",
                if quorum_reachable {
                    "reached a majority of the voters"
                } else {
                    "lost contact with a majority of the voters"
                }
            );
        }
        self.admit_pending_routers(now, quorum_reachable, commands);
        let subscribed: Vec<Conn> = self.subscribed_routers().map(|(conn, _)| conn).collect();
        for conn in subscribed {
            let silent = self.is_router_silent(now, conn);
            if !quorum_reachable || silent {
                commands.reset(conn);
                self.connections.remove(&conn);
            } else if self.ticks.is_multiple_of(ROUTER_HEARTBEAT_TICKS) {
                self.send(conn, Payload::Heartbeat(Heartbeat::default()), commands);
            }
        }
    }

    /// Subscribes or disconnects routers that connected before the voters were reached.
    fn admit_pending_routers(&mut self, now: Timestamp, quorum_reachable: bool, commands: &mut Commands) {
        let pending = |(conn, line): (&Conn, &Connection)| match line {
            Connection::PendingRouter(_, _, since)
                if quorum_reachable || now - *since >= PENDING_ROUTER_TIMEOUT =>
            {
                Some(*conn)
            }
            _ => None,
        };
        let mut waiting: Vec<Conn> = self.connections.iter().filter_map(pending).collect();
        waiting.sort_unstable();
        for conn in waiting {
            match self.connections.remove(&conn) {
                Some(Connection::PendingRouter(hello, frames, _)) if quorum_reachable => {
                    self.admit_router(now, conn, &hello, frames, commands);
                    self.on_router_data(now, conn, commands);
                }
                _ => commands.close(conn),
            }
        }
    }

    /// A reachable control machine in a zone.
    pub(super) fn peer_in_zone(&self, now: Timestamp, zone: &str) -> Option<u32> {
        self.reachable_peers(now).map(|(ip, _)| *ip).find(|ip| self.view.zone(*ip) == Some(zone))
    }

    pub(super) fn broadcast_to_peers(&mut self, message: &Payload, commands: &mut Commands) {
        let bytes = encode_payload(message.clone());
        for conn in self.peers.values().filter_map(|peer| peer.conns.last().copied()) {
            commands.write(conn, &[&bytes]);
        }
    }

    /// Random sample of the connected peers.
    pub(super) fn random_peers(&mut self, most: usize) -> Vec<u32> {
        let connected = self.peers.iter().filter(|(_, peer)| !peer.conns.is_empty());
        let connected = connected.map(|(ip, _)| *ip);
        self.rng.choose_multiple(connected, most)
    }

    pub(super) fn send_to_peer(&mut self, ip: u32, message: &Payload, commands: &mut Commands) {
        if let Some(conn) = self.peers.get(&ip).and_then(|peer| peer.conns.last().copied()) {
            commands.write(conn, &[&encode_payload(message.clone())]);
        }
    }

    /// An outgoing connection was established.
    pub(super) fn on_peer_connected(&mut self, now: Timestamp, conn: Conn, ip: u32, commands: &mut Commands) {
        let hello = self.hello();
        self.send(conn, hello, commands);
        let peer = self.peers.entry(ip).or_default();
        if peer.dialing.is_some_and(|(dialing, _)| dialing == conn) {
            peer.dialing = None;
        }
        peer.record_message(now);
        peer.conns.push(conn);
        self.with_log(now, commands, |log, out| log.observe_peer_progress(now, ip, 0, out));
    }

    pub(super) fn on_peer_closed(&mut self, conn: Conn, ip: u32) {
        if let Some(peer) = self.peers.get_mut(&ip) {
            peer.conns.retain(|open| *open != conn);
            if peer.dialing.is_some_and(|(dialing, _)| dialing == conn) {
                peer.dialing = None;
            }
        }
    }
}
