//! What routers are told: all of it once, then numbered changes. A router says which number it has.

use arrowyard_messages::{
    ChosenRevision, ConfigRevision, EntryPayload, FeedAck, FeedSnapshot, FeedUpdate, FrameDecoder, Hello,
    Host, KnownControl, Payload,
};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{TimeDelta, Timestamp};

use super::{Control, Line};

/// Fewer routers are believed after so long: one that only starts again still holds its share of the connections.
const FEWER: TimeDelta = TimeDelta::from_millis(5000);

/// A router that says nothing for so long is gone; it says what it has every two seconds.
const SILENT: TimeDelta = TimeDelta::from_millis(6500);
/// So many routers are taken to be there at a first start.
const GUESS: u32 = 12;

/// A router's connection.
pub struct Router {
    pub frames: FrameDecoder,
    pub node: String,
    /// Of its process.
    pub incarnation: u64,
    number: u64,
    pub seen: FeedAck,
    heard_at: Timestamp,
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
        log::info!("feed: {} is fed.", hello.node);
        let router = Router {
            frames,
            node: hello.node.clone(),
            incarnation: hello.incarnation,
            number: 0,
            seen: FeedAck::default(),
            heard_at: now,
        };
        self.lines.insert(conn, Line::Router(router));
        self.tell_whole(conn, commands);
    }

    fn tell_whole(&mut self, conn: Conn, commands: &mut Commands) {
        let applied = self.ledger.applied();
        let configuration =
            if applied.has_configuration { applied.configuration.body().into_bytes() } else { Vec::new() };
        let mut whole = FeedSnapshot {
            number: 0,
            slot: applied.slot,
            configuration,
            hosts: self.cell.hosts().cloned().collect(),
            routers: self.routers,
            view: self.controls(),
        };
        if let Some(Line::Router(router)) = self.lines.get_mut(&conn) {
            router.number += 1;
            whole.number = router.number;
            self.say(conn, Payload::FeedSnapshot(whole), commands);
        }
    }

    pub(super) fn router_came(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        loop {
            let Some(Line::Router(router)) = self.lines.get_mut(&conn) else { return };
            match router.frames.take() {
                Ok(None) => return,
                Err(broken) => {
                    log::warn!("feed: {}: {broken}.", router.node);
                    commands.reset(conn);
                    drop(self.lines.remove(&conn));
                    return;
                }
                Ok(Some(frame)) => match frame.payload {
                    Some(Payload::FeedAck(seen)) => {
                        router.heard_at = now;
                        router.seen = seen;
                        if seen.lost {
                            self.tell_whole(conn, commands);
                        }
                    }
                    Some(Payload::Suspect(suspect)) => self.suspected(now, suspect, commands),
                    Some(Payload::DemandReport(needs)) => self.needs(now, None, needs, commands),
                    Some(Payload::Demotion(yielded)) => self.yielded(now, true, yielded, commands),
                    Some(Payload::RelayedResponse(answer)) => self.relayed(now, answer, commands),
                    _ => {}
                },
            }
        }
    }

    /// Whether a router has said nothing for so long that it is gone.
    pub(super) fn router_silent(&self, now: Timestamp, conn: Conn) -> bool {
        matches ! ( self . lines . get ( & conn ) , Some ( Line :: Router ( router ) ) if now - router . heard_at >= SILENT )
    }

    /// Every router gets the change under its own next number.
    fn tell_routers(&mut self, change: &FeedUpdate, commands: &mut Commands) {
        let mut fed = Vec::new();
        for (conn, line) in &mut self.lines {
            if let Line::Router(router) = line {
                router.number += 1;
                fed.push((*conn, router.number));
            }
        }
        fed.sort_unstable();
        for (conn, number) in fed {
            self.say(conn, Payload::FeedUpdate(FeedUpdate { number, ..change.clone() }), commands);
        }
    }

    /// A slot is known: what it changes goes out.
    pub(super) fn tell_chosen(&mut self, now: Timestamp, slot: u64, commands: &mut Commands) {
        let entry = self.ledger.entry(slot);
        match entry.map(|entry| entry.payload.clone()) {
            Some(Some(EntryPayload::Duty(_))) => self.pass_suspicions(now, commands),
            Some(Some(EntryPayload::Decision(decision))) => self.decided(now, slot, &decision, commands),
            Some(Some(EntryPayload::Configuration(_))) => self.tell_configuration(commands),
            Some(_) => {}
            None => {
                // It came as a snapshot: routers need all of it.
                self.fed = self.ledger.applied().configuration.clone();
                let fed: Vec<Conn> = self.routers_fed().map(|(conn, _)| conn).collect();
                fed.into_iter().for_each(|conn| self.tell_whole(conn, commands));
            }
        }
        self.take_up(now, commands);
    }

    /// Routers are told what differs from what they were told last. A whole configuration that an operator sends mostly
    /// differs in little from the one before; sent whole to every router, a few in a second fill the links of small machines.
    fn tell_configuration(&mut self, commands: &mut Commands) {
        let applied = self.ledger.applied();
        if applied.configuration.revision == self.fed.revision {
            return;
        }
        let base = self.fed.revision;
        let revised = match self.fed.difference(&applied.configuration) {
            Some(body) => ConfigRevision { whole: false, base, body: body.into_bytes() },
            None => ConfigRevision { whole: true, base, body: applied.configuration.body().into_bytes() },
        };
        let step = ChosenRevision { slot: applied.slot, revised };
        self.fed = applied.configuration.clone();
        self.tell_routers(&FeedUpdate { revised: vec![step], ..FeedUpdate::default() }, commands);
    }

    pub(super) fn routers_fed(&self) -> impl Iterator<Item = (Conn, &Router)> {
        self.lines.iter().filter_map(|(conn, line)| match line {
            Line::Router(router) => Some((*conn, router)),
            _ => None,
        })
    }

    /// News of hosts, to the other control machines and to the routers.
    pub(super) fn tell_hosts(&mut self, hosts: Vec<Host>, commands: &mut Commands) {
        let cell = arrowyard_messages::HostUpdate { hosts: hosts.clone(), whole: false };
        self.say_to_peers(&Payload::HostUpdate(cell), commands);
        self.tell_routers(&FeedUpdate { hosts, ..FeedUpdate::default() }, commands);
    }

    /// News of hosts that came from another control machine.
    pub(super) fn pass_on(&mut self, hosts: Vec<Host>, commands: &mut Commands) {
        self.tell_routers(&FeedUpdate { hosts, ..FeedUpdate::default() }, commands);
    }

    pub(super) fn count_routers(&mut self, now: Timestamp, commands: &mut Commands) {
        let here = self.routers_fed().count() as u32;
        let elsewhere: u32 = self.live_peers(now).map(|(_, peer)| peer.routers).sum();
        let routers = here + elsewhere;
        // A start counts its routers one by one: until it has them, it goes by what it knew, or by a careful guess.
        if self.routers == 0 && routers > 0 {
            self.tell_count(GUESS.max(routers), commands);
        }
        if routers < self.routers {
            let since = *self.fewer_since.get_or_insert(now);
            if now - since < FEWER {
                return;
            }
        }
        self.fewer_since = None;
        if routers != self.routers {
            self.tell_count(routers, commands);
        }
    }

    /// How many routers share the hosts' connections from now on.
    fn tell_count(&mut self, routers: u32, commands: &mut Commands) {
        self.routers = routers;
        self.tell_routers(&FeedUpdate { routers, ..FeedUpdate::default() }, commands);
    }

    /// Control machines that are up, for routers to attempt to.
    fn controls(&self) -> Vec<KnownControl> {
        let me = KnownControl { ip: self.me, zone: self.settings.zone.clone(), age: 0 };
        let up = self.peers.iter().filter(|(_, peer)| peer.is_open());
        let others = up.map(|(ip, _)| KnownControl {
            ip: *ip,
            zone: self.view.zone(*ip).unwrap_or_default().into(),
            age: 0,
        });
        std::iter::once(me).chain(others).collect()
    }

    pub(super) fn tell_view(&mut self, commands: &mut Commands) {
        let view = self.controls();
        if view != self.told {
            self.told.clone_from(&view);
            self.tell_routers(&FeedUpdate { view, ..FeedUpdate::default() }, commands);
        }
    }
}
