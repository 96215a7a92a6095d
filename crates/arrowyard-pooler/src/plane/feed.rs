//! The feed from control: the hosts and the configuration. While control is unreachable the router
//! continues with what it has. It never goes back to an older configuration within one incarnation.

use std::net::Ipv4Addr;
use std::rc::Rc;

use arrowyard_config::{Change, ChangeKind, Configuration};
use arrowyard_messages::{
    ChosenRevision, DbRole, FeedAck, FeedSnapshot, FeedUpdate, FrameDecoder, Hello, Host, KnownControl,
    Payload, Phase, Replacements, ReplacementsSeen, Suspect, encode_payload, ip_to_u32,
};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{RouterEvent, TimeDelta, Timestamp};

use super::{Endpoint, RouterPlane, Timer};
use crate::decision::KnownHost;
use crate::routes::Routes;

/// Time in which a control machine must accept the connection before the next one is dialed.
const DIAL_TIMEOUT: TimeDelta = TimeDelta::from_millis(700);
/// Interval of acknowledgements, by which either end notices when the other is unreachable.
const ACK_INTERVAL: TimeDelta = TimeDelta::from_millis(1000);
/// Silence after which control counts as unreachable; it sends something twice a second.
const CONTROL_TIMEOUT: TimeDelta = TimeDelta::from_millis(1600);
/// Interval at which an open feed is checked.
const CHECK_INTERVAL: TimeDelta = TimeDelta::from_millis(500);
/// Minimum time between two reports of primaries that do not answer.
const SUSPECT_INTERVAL: TimeDelta = TimeDelta::from_millis(300);

/// The feed connection and its state.
#[derive(Default)]
pub struct Feed {
    conn: Option<Conn>,
    is_open: bool,
    decoder: FrameDecoder,
    /// Number of the last update; 0 before the first snapshot.
    number: u64,
    /// Dial attempts since the last snapshot.
    attempts: usize,
    /// When the connection was dialed or opened.
    since: Timestamp,
    suspect_sent_at: Timestamp,
    received_at: Timestamp,
    acked_at: Timestamp,
    /// The control machine dialed, and the one whose feed failed last, which is dialed last.
    ip: u32,
    failed_ip: Option<u32>,
}

impl Feed {
    /// The connection, if it is open.
    pub(super) fn open_conn(&self) -> Option<Conn> {
        self.conn.filter(|_| self.is_open)
    }
}

impl RouterPlane {
    pub(super) fn check_feed(&mut self, now: Timestamp, commands: &mut Commands) {
        match self.feed.conn {
            Some(conn) if self.feed.is_open && now - self.feed.received_at >= CONTROL_TIMEOUT => {
                commands.reset(conn);
                self.feed_closed(now, conn);
                return;
            }
            Some(conn) if self.feed.is_open => {
                if now - self.feed.acked_at >= ACK_INTERVAL {
                    self.acknowledge_feed(now, conn, false, commands);
                }
                self.timers.set(now + CHECK_INTERVAL, Timer::Feed);
                return;
            }
            Some(_) if now - self.feed.since < DIAL_TIMEOUT => {}
            Some(conn) => {
                commands.reset(conn);
                self.endpoints.remove(&conn);
                self.reset_feed();
                self.dial_control(now, commands);
            }
            None => self.dial_control(now, commands),
        }
        self.timers.set(now + DIAL_TIMEOUT * 0.5, Timer::Feed);
    }

    /// Dials the next control machine: those in the router's own zone first, then the others.
    fn dial_control(&mut self, now: Timestamp, commands: &mut Commands) {
        let seeds = self.settings.seeds.iter().map(|seed| (ip_to_u32(*seed.ip()), String::new()));
        let mut all: Vec<(u32, String)> =
            self.controls.iter().map(|known| (known.ip, known.zone.clone())).collect();
        for seed in seeds {
            if !all.iter().any(|(ip, _)| *ip == seed.0) {
                all.push(seed);
            }
        }
        if all.is_empty() {
            return;
        }
        let own_zone = self.settings.zone.clone();
        // The incarnation salts the order, which spreads routers over the control machines of the same zone.
        let salt = self.incarnation;
        let failed_ip = self.feed.failed_ip;
        all.sort_by_key(|(ip, zone)| {
            (Some(*ip) == failed_ip, *zone != own_zone, u64::from(*ip).wrapping_mul(salt | 1) >> 7)
        });
        let (ip, _) = all[self.feed.attempts % all.len()];
        self.feed.attempts += 1;
        let conn = commands.dial(self.settings.internal(Ipv4Addr::from(ip)));
        self.endpoints.insert(conn, Endpoint::Control);
        let Feed { attempts, suspect_sent_at, failed_ip, .. } = self.feed;
        self.feed = Feed {
            conn: Some(conn),
            since: now,
            attempts,
            suspect_sent_at,
            failed_ip,
            ip,
            ..Feed::default()
        };
    }

    pub(super) fn feed_connected(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        (self.feed.is_open, self.feed.since, self.feed.received_at) = (true, now, now);
        let hello = Hello {
            node: self.settings.node.clone(),
            ip: ip_to_u32(self.settings.ip),
            zone: self.settings.zone.clone(),
            incarnation: self.incarnation,
            control: false,
            view: Vec::new(),
        };
        commands.write(conn, &[&encode_payload(Payload::Hello(hello))]);
    }

    pub(super) fn feed_closed(&mut self, now: Timestamp, conn: Conn) {
        self.endpoints.remove(&conn);
        if self.feed.conn == Some(conn) {
            log::info!("feed: lost the connection to control; reconnecting.");
            self.reset_feed();
            let delay = TimeDelta::from_millis(20) + TimeDelta::from_millis(150) * self.rng.f64();
            self.timers.set(now + delay, Timer::Feed);
        }
    }

    /// Forgets the connection. Only a control machine that had sent a snapshot becomes the last in the dial
    /// order, which then stays the same until the next snapshot. Changing the order after each failed dial
    /// would alternate between the two nearest machines.
    fn reset_feed(&mut self) {
        self.feed.conn = None;
        if self.feed.number > 0 {
            (self.feed.failed_ip, self.feed.attempts) = (Some(self.feed.ip), 0);
        }
    }

    /// Acknowledges the last update. With `needs_snapshot`, control sends a new snapshot.
    fn acknowledge_feed(
        &mut self,
        now: Timestamp,
        conn: Conn,
        needs_snapshot: bool,
        commands: &mut Commands,
    ) {
        self.feed.acked_at = now;
        let ack = FeedAck {
            number: self.feed.number,
            needs_snapshot,
            revision: self.configured.configuration.revision,
        };
        commands.write(conn, &[&encode_payload(Payload::FeedAck(ack))]);
    }

    pub(super) fn feed_received(
        &mut self,
        now: Timestamp,
        conn: Conn,
        bytes: &[u8],
        commands: &mut Commands,
    ) {
        self.feed.received_at = now;
        self.feed.decoder.put(bytes);
        loop {
            match self.feed.decoder.take() {
                Ok(None) => return,
                Ok(Some(frame)) => match frame.payload {
                    Some(Payload::FeedSnapshot(snapshot)) => {
                        self.apply_snapshot(now, conn, &snapshot, commands)
                    }
                    Some(Payload::FeedUpdate(update)) => self.apply_update(now, conn, &update, commands),
                    Some(Payload::HostAllocations(allocations)) => {
                        self.apply_allocations(now, allocations, commands)
                    }
                    Some(Payload::Replacements(replacements)) => {
                        self.apply_replacements(now, replacements, commands)
                    }
                    Some(Payload::RelayedRequest(request)) => self.relay_request(now, request, commands),
                    Some(Payload::OverloadedHosts(overloaded)) => {
                        self.poll_demand(now, &overloaded.hosts, commands)
                    }
                    _ => {}
                },
                Err(error) => {
                    log::warn!("feed: {error}.");
                    commands.reset(conn);
                    return self.feed_closed(now, conn);
                }
            }
        }
    }

    fn apply_snapshot(
        &mut self,
        now: Timestamp,
        conn: Conn,
        snapshot: &FeedSnapshot,
        commands: &mut Commands,
    ) {
        self.feed.number = snapshot.number;
        // The feed works, so the next dial starts with the nearest control machine again.
        self.feed.attempts = 0;
        if snapshot.slot > self.configured.slot && !snapshot.configuration.is_empty() {
            match Configuration::default().replace(&snapshot.configuration) {
                Ok(configuration) => self.apply_configuration(now, configuration, snapshot.slot, commands),
                Err(error) => log::error!("feed: invalid configuration in a snapshot: {error}."),
            }
        }
        self.update_hosts(now, &snapshot.hosts);
        self.update_router_count(now, snapshot.routers, commands);
        self.update_controls(&snapshot.view);
        self.drop_expired_allocations(now);
        self.acknowledge_feed(now, conn, false, commands);
    }

    fn apply_update(&mut self, now: Timestamp, conn: Conn, update: &FeedUpdate, commands: &mut Commands) {
        if update.number != self.feed.number + 1 {
            return self.acknowledge_feed(now, conn, true, commands);
        }
        self.feed.number = update.number;
        for ChosenRevision { slot, revised } in &update.revised {
            if *slot <= self.configured.slot {
                continue;
            }
            let kind = if revised.whole { ChangeKind::Replace } else { ChangeKind::Adjust };
            let change = Change { kind, base: revised.base, body: revised.body.clone() };
            // A revision with another base was either rejected everywhere, or one before it is missing here.
            if revised.base != self.configured.configuration.revision {
                return self.acknowledge_feed(now, conn, true, commands);
            }
            if let Ok(configuration) = change.apply(&self.configured.configuration) {
                self.apply_configuration(now, configuration, *slot, commands);
            }
        }
        self.update_hosts(now, &update.hosts);
        if update.routers > 0 {
            self.update_router_count(now, update.routers, commands);
        }
        if !update.view.is_empty() {
            self.update_controls(&update.view);
        }
        self.acknowledge_feed(now, conn, false, commands);
    }

    fn apply_configuration(
        &mut self,
        now: Timestamp,
        configuration: Configuration,
        slot: u64,
        commands: &mut Commands,
    ) {
        log::info!("configuration: Revision {} is in force.", configuration.revision);
        self.configured.routes = Rc::new(Routes::new(&configuration));
        self.shares.config.apply_configuration(&configuration);
        (self.configured.configuration, self.configured.slot) = (configuration, slot);
        self.resume_waiting_sessions(now, commands);
    }

    fn update_hosts(&mut self, now: Timestamp, hosts: &[Host]) {
        self.decision.update_hosts(now, hosts, &mut self.actions);
        let count = self.decision.hosts().count();
        self.pools.resize_with(count.max(self.pools.len()), super::pool::ConnectionPool::default);
    }

    fn update_router_count(&mut self, now: Timestamp, routers: u32, commands: &mut Commands) {
        let routers = routers.max(1);
        if routers != self.routers {
            self.routers = routers;
            self.notify(now, RouterEvent::RouterCount { routers: f64::from(routers) });
            self.trim_pools(now, commands);
        }
    }

    fn apply_replacements(&mut self, now: Timestamp, replacements: Replacements, commands: &mut Commands) {
        if !replacements.planned.is_empty() {
            let Replacements { fence, number, .. } = replacements;
            let seen = ReplacementsSeen { fence, number, router: self.incarnation };
            self.send_to_control(Payload::ReplacementsSeen(seen), commands);
        }
        for change in self.replacements.update(now, replacements) {
            let is_replaced = |known: &&KnownHost| {
                known.host.service == change.service
                    && known.host.id != change.candidate
                    && known.host.role() == DbRole::Primary
                    && known.host.phase() != Phase::Gone
            };
            let replaced: Vec<String> =
                self.decision.hosts().filter(is_replaced).map(|known| known.host.id.clone()).collect();
            let replaced = replaced.iter().filter_map(|id| self.decision.host_id(id)).collect::<Vec<_>>();
            replaced.into_iter().for_each(|host| self.request_yield(now, host, change.term, commands));
        }
    }

    fn update_controls(&mut self, view: &[KnownControl]) {
        if !view.is_empty() {
            self.controls = view.to_vec();
        }
    }

    /// Reports to control that a primary does not answer.
    pub(super) fn report_suspect(&mut self, now: Timestamp, host: &Host, commands: &mut Commands) {
        if now - self.feed.suspect_sent_at < SUSPECT_INTERVAL {
            return;
        }
        if let Some(conn) = self.feed.conn.filter(|_| self.feed.is_open) {
            self.feed.suspect_sent_at = now;
            log::info!("hosts: primary {} does not answer; reporting it to control.", host.id);
            let suspect = Suspect { service: host.service.clone(), host: host.id.clone(), by: 0 };
            commands.write(conn, &[&encode_payload(Payload::Suspect(suspect))]);
        }
    }
}
