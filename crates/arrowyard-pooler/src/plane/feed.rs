//! The connection to control: what hosts there are and what the configuration is. A router serves on with what it has
//! when control is away, and never goes back to an older configuration in one life.

use std::net::Ipv4Addr;
use std::rc::Rc;

use arrowyard_config::{Change as Revision, ChangeKind, Configuration};
use arrowyard_messages::{
    ChosenRevision, DbRole, FeedAck, FeedSnapshot, FeedUpdate, FrameDecoder, Hello, Host,
    KnownControl as Machine, Payload, Phase, Replacements, Suspect, encode_payload, ip_to_u32,
};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{RouterEvent, TimeDelta, Timestamp};

use super::{Alarm, Line, RouterPlane};
use crate::module::Known;
use crate::routes::Routes;

/// A control machine that does not answer a dial in so long is passed over; then the next one is tried.
const DIAL: TimeDelta = TimeDelta::from_millis(700);
/// So often a router says what it has, so that either end notices when the other is gone.
const SEEN: TimeDelta = TimeDelta::from_millis(1000);
/// Control that says nothing for so long is away; it says that it is here twice a second.
const QUIET: TimeDelta = TimeDelta::from_millis(1600);
/// So often that is looked at.
const LOOK: TimeDelta = TimeDelta::from_millis(500);
/// A host whose primary was told of is not told of again for so long.
const TOLD: TimeDelta = TimeDelta::from_millis(300);

/// The connection, and what came over it.
#[derive(Default)]
pub struct Feed {
    conn: Option<Conn>,
    open: bool,
    frames: FrameDecoder,
    number: u64,
    tried: usize,
    since: Timestamp,
    told_at: Timestamp,
    heard_at: Timestamp,
    said_at: Timestamp,
    /// Whom the connection is to; and who went silent last, who is tried last.
    ip: u32,
    failed: Option<u32>,
}

impl Feed {
    pub(super) fn open_conn(&self) -> Option<Conn> {
        self.conn.filter(|_| self.open)
    }
}

impl RouterPlane {
    pub(super) fn feed_due(&mut self, now: Timestamp, commands: &mut Commands) {
        match self.feed.conn {
            Some(conn) if self.feed.open && now - self.feed.heard_at >= QUIET => {
                commands.reset(conn);
                self.feed_broke(now, conn);
                return;
            }
            Some(conn) if self.feed.open => {
                if now - self.feed.said_at >= SEEN {
                    self.say_seen(now, conn, false, commands);
                }
                self.timers.set(now + LOOK, Alarm::Feed);
                return;
            }
            Some(_) if now - self.feed.since < DIAL => {}
            Some(conn) => {
                commands.reset(conn);
                self.lines.remove(&conn);
                self.lose_feed();
                self.dial_control(now, commands);
            }
            None => self.dial_control(now, commands),
        }
        self.timers.set(now + DIAL * 0.5, Alarm::Feed);
    }

    /// Dials the next control machine: those of the own zone come first, then the others by turns.
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
        let mine = self.settings.zone.clone();
        // Routers spread over those that are equally near.
        let turn = self.incarnation;
        let failed = self.feed.failed;
        all.sort_by_key(|(ip, zone)| {
            (Some(*ip) == failed, *zone != mine, u64::from(*ip).wrapping_mul(turn | 1) >> 7)
        });
        let (ip, _) = all[self.feed.tried % all.len()];
        self.feed.tried += 1;
        let conn = commands.dial(self.settings.internal(Ipv4Addr::from(ip)));
        self.lines.insert(conn, Line::Feed);
        let Feed { tried, told_at, failed, .. } = self.feed;
        self.feed = Feed { conn: Some(conn), since: now, tried, told_at, failed, ip, ..Feed::default() };
    }

    pub(super) fn feed_opened(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        (self.feed.open, self.feed.since, self.feed.heard_at) = (true, now, now);
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

    pub(super) fn feed_broke(&mut self, now: Timestamp, conn: Conn) {
        self.lines.remove(&conn);
        if self.feed.conn == Some(conn) {
            log::info!("feed: Control is away.");
            self.lose_feed();
            let wait = TimeDelta::from_millis(20) + TimeDelta::from_millis(150) * self.rng.f64();
            self.timers.set(now + wait, Alarm::Feed);
        }
    }

    /// The connection is no more. Danger: whoever reckons the order anew after each dial that failed goes to and fro
    /// between the two that are nearest; only one that had fed it goes to the end, and the order stays till the next does.
    fn lose_feed(&mut self) {
        self.feed.conn = None;
        if self.feed.number > 0 {
            (self.feed.failed, self.feed.tried) = (Some(self.feed.ip), 0);
        }
    }

    fn say_seen(&mut self, now: Timestamp, conn: Conn, lost: bool, commands: &mut Commands) {
        self.feed.said_at = now;
        let seen =
            FeedAck { number: self.feed.number, lost, revision: self.configured.configuration.revision };
        commands.write(conn, &[&encode_payload(Payload::FeedAck(seen))]);
    }

    pub(super) fn feed_came(&mut self, now: Timestamp, conn: Conn, bytes: &[u8], commands: &mut Commands) {
        self.feed.heard_at = now;
        self.feed.frames.put(bytes);
        loop {
            match self.feed.frames.take() {
                Ok(None) => return,
                Ok(Some(frame)) => match frame.payload {
                    Some(Payload::FeedSnapshot(whole)) => self.take_whole(now, conn, &whole, commands),
                    Some(Payload::FeedUpdate(change)) => self.take_change(now, conn, &change, commands),
                    Some(Payload::HostAllocations(allots)) => self.take_allots(now, allots, commands),
                    Some(Payload::Replacements(told)) => self.take_replacements(now, told, commands),
                    Some(Payload::RelayedRequest(question)) => self.relay_question(now, question, commands),
                    Some(Payload::OverloadedHosts(pressed)) => {
                        self.hosts_pressed(now, &pressed.hosts, commands)
                    }
                    _ => {}
                },
                Err(broken) => {
                    log::warn!("feed: {broken}.");
                    commands.reset(conn);
                    return self.feed_broke(now, conn);
                }
            }
        }
    }

    fn take_whole(&mut self, now: Timestamp, conn: Conn, whole: &FeedSnapshot, commands: &mut Commands) {
        self.feed.number = whole.number;
        // It came through: the next time the nearest are tried first again.
        self.feed.tried = 0;
        if whole.slot > self.configured.slot && !whole.configuration.is_empty() {
            match Configuration::default().replace(&whole.configuration) {
                Ok(configuration) => self.put_in_force(now, configuration, whole.slot, commands),
                Err(refusal) => log::error!("feed: A configuration cannot be read: {refusal}."),
            }
        }
        self.take_hosts(now, &whole.hosts);
        self.take_routers(now, whole.routers, commands);
        self.take_view(&whole.view);
        self.renew_shares(now);
        self.say_seen(now, conn, false, commands);
    }

    fn take_change(&mut self, now: Timestamp, conn: Conn, change: &FeedUpdate, commands: &mut Commands) {
        if change.number != self.feed.number + 1 {
            return self.say_seen(now, conn, true, commands);
        }
        self.feed.number = change.number;
        for ChosenRevision { slot, revised } in &change.revised {
            if *slot <= self.configured.slot {
                continue;
            }
            let kind = if revised.whole { ChangeKind::Replace } else { ChangeKind::Adjust };
            let revision = Revision { kind, base: revised.base, body: revised.body.clone() };
            // What does not fit on what is in force here was not taken by anyone, or something is missing between.
            if revised.base != self.configured.configuration.revision {
                return self.say_seen(now, conn, true, commands);
            }
            if let Ok(configuration) = revision.apply(&self.configured.configuration) {
                self.put_in_force(now, configuration, *slot, commands);
            }
        }
        self.take_hosts(now, &change.hosts);
        if change.routers > 0 {
            self.take_routers(now, change.routers, commands);
        }
        if !change.view.is_empty() {
            self.take_view(&change.view);
        }
        self.say_seen(now, conn, false, commands);
    }

    fn put_in_force(
        &mut self,
        now: Timestamp,
        configuration: Configuration,
        slot: u64,
        commands: &mut Commands,
    ) {
        log::info!("configuration: Revision {} is in force.", configuration.revision);
        self.configured.routes = Rc::new(Routes::new(&configuration));
        self.shares.terms.apply_configuration(&configuration);
        (self.configured.configuration, self.configured.slot) = (configuration, slot);
        self.greet_waiting(now, commands);
    }

    fn take_hosts(&mut self, now: Timestamp, hosts: &[Host]) {
        self.module.learn(now, hosts, &mut self.actions);
        let count = self.module.hosts().count();
        self.pools.resize_with(count.max(self.pools.len()), super::hosts::Pool::default);
    }

    fn take_routers(&mut self, now: Timestamp, routers: u32, commands: &mut Commands) {
        let routers = routers.max(1);
        if routers != self.routers {
            self.routers = routers;
            self.note(now, RouterEvent::RouterCount { routers: f64::from(routers) });
            self.trim_pools(now, commands);
        }
    }

    fn take_replacements(&mut self, now: Timestamp, told: Replacements, commands: &mut Commands) {
        for change in self.replacements.take(now, told) {
            let is_replaced = |known: &&Known| {
                known.host.service == change.service
                    && known.host.id != change.candidate
                    && known.host.role() == DbRole::Primary
                    && known.host.phase() != Phase::Gone
            };
            let replaced: Vec<String> =
                self.module.hosts().filter(is_replaced).map(|known| known.host.id.clone()).collect();
            let replaced = replaced.iter().filter_map(|id| self.module.id_of(id)).collect::<Vec<_>>();
            replaced.into_iter().for_each(|host| self.tell_to_yield(now, host, change.term, commands));
        }
    }

    fn take_view(&mut self, view: &[Machine]) {
        if !view.is_empty() {
            self.controls = view.to_vec();
        }
    }

    /// A primary does not answer: control hears of it.
    pub(super) fn suspect(&mut self, now: Timestamp, host: &Host, commands: &mut Commands) {
        if now - self.feed.told_at < TOLD {
            return;
        }
        if let Some(conn) = self.feed.conn.filter(|_| self.feed.open) {
            self.feed.told_at = now;
            log::info!("hosts: {} does not answer as primary.", host.id);
            let suspect = Suspect { service: host.service.clone(), host: host.id.clone(), by: 0 };
            commands.write(conn, &[&encode_payload(Payload::Suspect(suspect))]);
        }
    }
}
