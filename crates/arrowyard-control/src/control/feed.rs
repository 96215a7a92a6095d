//! Feed of changes to subscribed routers: a snapshot followed by numbered updates. Routers report the
//! last number received.

use arrowyard_messages::{
    ChosenRevision, ConfigRevision, EntryPayload, FeedAck, FeedSnapshot, FeedUpdate, FrameDecoder, Hello,
    Host, KnownControl, Payload,
};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{TimeDelta, Timestamp};

use super::{Connection, Control};

/// A decrease in the number of routers takes effect after this long: a restarting router keeps its
/// share of the connections.
const ROUTER_DECREASE_DELAY: TimeDelta = TimeDelta::from_millis(5000);

/// A router that sends nothing for this long is disconnected; routers report every 2 s.
const ROUTER_TIMEOUT: TimeDelta = TimeDelta::from_millis(6500);
/// Number of routers assumed at a first start.
const INITIAL_ROUTER_ESTIMATE: u32 = 12;

/// Connection of a subscribed router.
pub struct Router {
    pub frames: FrameDecoder,
    pub node: String,
    /// Incarnation of its process.
    pub incarnation: u64,
    last_number: u64,
    pub seen: FeedAck,
    last_heard_at: Timestamp,
}

impl Control {
    pub(super) fn admit_router(
        &mut self,
        now: Timestamp,
        conn: Conn,
        hello: &Hello,
        frames: FrameDecoder,
        commands: &mut Commands,
    ) {
        log::info!("feed: router {} subscribed", hello.node);
        let router = Router {
            frames,
            node: hello.node.clone(),
            incarnation: hello.incarnation,
            last_number: 0,
            seen: FeedAck::default(),
            last_heard_at: now,
        };
        self.connections.insert(conn, Connection::Router(router));
        self.send_snapshot(conn, commands);
        if let Some(replacements) = self.forwarded_replacements.for_subscriber(now).cloned() {
            self.send(conn, replacements, commands);
        }
    }

    fn send_snapshot(&mut self, conn: Conn, commands: &mut Commands) {
        let applied = self.replicated_log.applied();
        let configuration =
            if applied.has_configuration { applied.configuration.body().into_bytes() } else { Vec::new() };
        let mut snapshot = FeedSnapshot {
            number: 0,
            slot: applied.slot,
            configuration,
            hosts: self.registry.hosts_by_change(),
            routers: self.routers,
            view: self.controls(),
        };
        if let Some(Connection::Router(router)) = self.connections.get_mut(&conn) {
            router.last_number += 1;
            snapshot.number = router.last_number;
            self.send(conn, Payload::FeedSnapshot(snapshot), commands);
        }
    }

    pub(super) fn on_router_data(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        loop {
            let Some(Connection::Router(router)) = self.connections.get_mut(&conn) else { return };
            match router.frames.take() {
                Ok(None) => return,
                Err(broken) => {
                    log::warn!("feed: invalid frame from router {}: {broken}", router.node);
                    commands.reset(conn);
                    drop(self.connections.remove(&conn));
                    return;
                }
                Ok(Some(frame)) => match frame.payload {
                    Some(Payload::FeedAck(seen)) => {
                        router.last_heard_at = now;
                        router.seen = seen;
                        if seen.needs_snapshot {
                            self.send_snapshot(conn, commands);
                        }
                    }
                    Some(Payload::Suspect(suspect)) => self.handle_suspicion(now, suspect, commands),
                    Some(Payload::DemandReport(needs)) => self.handle_demand(now, None, needs, commands),
                    Some(Payload::Demotion(yielded)) => self.handle_yielded(now, true, yielded, commands),
                    Some(Payload::ReplacementsSeen(seen)) => {
                        self.handle_replacements_seen(true, &seen, commands)
                    }
                    Some(Payload::RelayedResponse(response)) => {
                        self.handle_relay_response(now, response, commands)
                    }
                    _ => {}
                },
            }
        }
    }

    /// The number of subscribed routers that were heard within this time.
    pub(super) fn routers_heard_within(&self, now: Timestamp, time: TimeDelta) -> usize {
        self.subscribed_routers().filter(|(_, router)| now - router.last_heard_at < time).count()
    }

    /// Whether a router has been silent for longer than its timeout.
    pub(super) fn is_router_silent(&self, now: Timestamp, conn: Conn) -> bool {
        matches!(
            self.connections.get(&conn),
            Some(Connection::Router(router)) if now - router.last_heard_at >= ROUTER_TIMEOUT
        )
    }

    /// Sends an update to every subscribed router, with the next number of each.
    fn publish_to_routers(&mut self, change: &FeedUpdate, commands: &mut Commands) {
        let mut subscribed = Vec::new();
        for (conn, connection) in &mut self.connections {
            if let Connection::Router(router) = connection {
                router.last_number += 1;
                subscribed.push((*conn, router.last_number));
            }
        }
        subscribed.sort_unstable();
        for (conn, number) in subscribed {
            self.send(conn, Payload::FeedUpdate(FeedUpdate { number, ..change.clone() }), commands);
        }
    }

    /// Publishes the effects of a chosen entry.
    pub(super) fn entry_chosen(&mut self, now: Timestamp, slot: u64, commands: &mut Commands) {
        let entry = self.replicated_log.entry(slot);
        match entry.map(|entry| entry.payload.clone()) {
            Some(Some(EntryPayload::Duty(_))) => self.forward_suspicions(now, commands),
            Some(Some(EntryPayload::Decision(decision))) => {
                self.decision_chosen(now, slot, &decision, commands)
            }
            Some(Some(EntryPayload::Configuration(_))) => self.publish_configuration(commands),
            Some(_) => {}
            None => {
                // The entry arrived in a snapshot: routers need a snapshot as well.
                self.published_configuration = self.replicated_log.applied().configuration.clone();
                let subscribed: Vec<Conn> = self.subscribed_routers().map(|(conn, _)| conn).collect();
                subscribed.into_iter().for_each(|conn| self.send_snapshot(conn, commands));
            }
        }
        self.update_duty(now, commands);
    }

    /// Publishes the difference to the configuration last published. An operator's replacement usually
    /// changes little; sending it whole to every router would saturate the links of small machines.
    fn publish_configuration(&mut self, commands: &mut Commands) {
        let applied = self.replicated_log.applied();
        if applied.configuration.revision == self.published_configuration.revision {
            return;
        }
        let base = self.published_configuration.revision;
        let revised = match self.published_configuration.difference(&applied.configuration) {
            Some(body) => ConfigRevision { whole: false, base, body: body.into_bytes() },
            None => ConfigRevision { whole: true, base, body: applied.configuration.body().into_bytes() },
        };
        let step = ChosenRevision { slot: applied.slot, revised };
        self.published_configuration = applied.configuration.clone();
        self.publish_to_routers(&FeedUpdate { revised: vec![step], ..FeedUpdate::default() }, commands);
    }

    pub(super) fn subscribed_routers(&self) -> impl Iterator<Item = (Conn, &Router)> {
        self.connections.iter().filter_map(|(conn, connection)| match connection {
            Connection::Router(router) => Some((*conn, router)),
            _ => None,
        })
    }

    /// Publishes changed hosts to peers and routers.
    pub(super) fn publish_hosts(&mut self, hosts: Vec<Host>, commands: &mut Commands) {
        let update = arrowyard_messages::HostUpdate { hosts: hosts.clone(), whole: false };
        self.broadcast_to_peers(&Payload::HostUpdate(update), commands);
        self.publish_to_routers(&FeedUpdate { hosts, ..FeedUpdate::default() }, commands);
    }

    /// Publishes hosts reported by a peer to the subscribed routers.
    pub(super) fn publish_hosts_to_routers(&mut self, hosts: Vec<Host>, commands: &mut Commands) {
        self.publish_to_routers(&FeedUpdate { hosts, ..FeedUpdate::default() }, commands);
    }

    pub(super) fn count_routers(&mut self, now: Timestamp, commands: &mut Commands) {
        let here = self.subscribed_routers().count() as u32;
        let elsewhere: u32 = self.reachable_peers(now).map(|(_, peer)| peer.routers).sum();
        let routers = here + elsewhere;
        // After a start routers connect one by one: use the stored count, or an estimate, until they have.
        if self.routers == 0 && routers > 0 {
            self.publish_router_count(INITIAL_ROUTER_ESTIMATE.max(routers), commands);
        }
        if routers < self.routers {
            let since = *self.router_decrease_since.get_or_insert(now);
            if now - since < ROUTER_DECREASE_DELAY {
                return;
            }
        }
        self.router_decrease_since = None;
        if routers != self.routers {
            self.publish_router_count(routers, commands);
        }
    }

    /// Publishes the number of routers that share the hosts' connections.
    fn publish_router_count(&mut self, routers: u32, commands: &mut Commands) {
        self.routers = routers;
        self.publish_to_routers(&FeedUpdate { routers, ..FeedUpdate::default() }, commands);
    }

    /// Connected control machines, for routers to connect to.
    fn controls(&self) -> Vec<KnownControl> {
        let local = KnownControl { ip: self.local_ip, zone: self.settings.zone.clone(), age: 0 };
        let up = self.peers.iter().filter(|(_, peer)| peer.is_open());
        let others = up.map(|(ip, _)| KnownControl {
            ip: *ip,
            zone: self.view.zone(*ip).unwrap_or_default().into(),
            age: 0,
        });
        std::iter::once(local).chain(others).collect()
    }

    pub(super) fn publish_controls(&mut self, commands: &mut Commands) {
        let view = self.controls();
        if view != self.published_controls {
            self.published_controls.clone_from(&view);
            self.publish_to_routers(&FeedUpdate { view, ..FeedUpdate::default() }, commands);
        }
    }
}
