//! Control machines among themselves: connections, heartbeats, who is in touch with whom.

use std::net::Ipv4Addr;

use arrowyard_messages::{FrameDecoder, Heartbeat, Hello, HostUpdate, Payload, encode_payload};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{TimeDelta, Timestamp};

use super::{Control, Line};

/// A control machine that says nothing for so long is away.
const AWAY: TimeDelta = TimeDelta::from_millis(1500);
/// A machine that was not heard for so long is told that it is not. It is shorter, so that both ends of a way that is cut
/// in one direction notice at about the same time.
const NOT_HEARD: TimeDelta = TimeDelta::from_millis(1250);
/// A dial without an answer is given up after so long, and tried again at the earliest after so long.
const DIAL: TimeDelta = TimeDelta::from_millis(1000);
/// Beats are so many ticks apart, and every so many of them tell of other machines.
const BEAT: u64 = 2;
const SHUFFLE: u64 = 8;
/// A router that came too early is sent away after so long.
const EARLY: TimeDelta = TimeDelta::from_millis(600);
/// Routers hear that it is here every so many ticks.
const HEARTBEAT: u64 = 2;

/// Another control machine.
#[derive(Default)]
pub struct Peer {
    /// Open connections, the newest last. Danger: two machines that dial each other at once have two; each hears the
    /// other on both, and speaks on the newest that it has.
    conns: Vec<Conn>,
    /// A dial of ours that has not come through.
    dialled: Option<(Conn, Timestamp)>,
    incarnation: u64,
    pub routers: u32,
    /// Whether it said that its vote counts, and since when it does not.
    pub votes: bool,
    unable_since: Option<Timestamp>,
    pub disk_fails: bool,
    /// Whether it was told to end.
    pub leaving: bool,
    /// Whether it said last that it hears of this machine.
    hears_me: bool,
    /// Since when it is heard of without a break, and when it was last.
    since: Timestamp,
    heard_at: Timestamp,
    tried_at: Timestamp,
    differs: u32,
}

impl Peer {
    /// It said something.
    fn hear(&mut self, now: Timestamp) {
        if now - self.heard_at >= AWAY || self.since == Timestamp::default() {
            self.since = now;
        }
        self.heard_at = now;
    }

    /// Its present life, if it has ever told.
    pub fn known_life(&self) -> Option<u64> {
        (self.incarnation != 0).then_some(self.incarnation)
    }

    fn says_that_it_votes(&mut self, now: Timestamp, votes: bool) {
        self.votes = votes;
        if votes {
            self.unable_since = None;
        } else {
            self.unable_since.get_or_insert(now);
        }
    }

    /// For how long it has said that its vote does not count.
    pub fn unable_for(&self, now: Timestamp) -> TimeDelta {
        self.unable_since.map_or(TimeDelta::ZERO, |since| now - since)
    }

    /// For how long it has been heard of, or not.
    pub fn heard_for(&self, now: Timestamp) -> Result<TimeDelta, TimeDelta> {
        let silence = now - self.heard_at;
        if self.is_open() && silence < AWAY { Ok(now - self.since) } else { Err(silence) }
    }

    pub fn is_open(&self) -> bool {
        !self.conns.is_empty()
    }
}

impl Control {
    fn hello(&mut self) -> Payload {
        Payload::Hello(Hello {
            node: self.settings.node.clone(),
            ip: self.me,
            zone: self.settings.zone.clone(),
            incarnation: self.incarnation,
            control: true,
            view: self.view.sample(&mut self.rng),
        })
    }

    /// Keeps a connection to every control machine that is known, and tells them that it is here.
    pub(super) fn meet(&mut self, now: Timestamp, commands: &mut Commands) {
        let known: Vec<u32> =
            self.view.machines().map(|known| known.ip).chain(self.ledger.voters().to_vec()).collect();
        // A machine that is gone for good is dialled till it has fallen out of the view.
        self.peers.retain(|ip, peer| peer.is_open() || peer.dialled.is_some() || known.contains(ip));
        for ip in known.into_iter().filter(|ip| *ip != self.me) {
            self.peers.entry(ip).or_default();
        }
        let mut dial = Vec::new();
        for (ip, peer) in &mut self.peers {
            if let Some((conn, at)) = peer.dialled
                && now - at >= DIAL
            {
                commands.reset(conn);
                self.lines.remove(&conn);
                peer.dialled = None;
            }
            if now - peer.heard_at >= AWAY * 2.0 {
                for conn in peer.conns.drain(..) {
                    commands.reset(conn);
                    self.lines.remove(&conn);
                }
            }
            if !peer.is_open() && peer.dialled.is_none() && now - peer.tried_at >= DIAL * 0.5 {
                peer.tried_at = now;
                dial.push(*ip);
            }
        }
        for ip in dial {
            let conn = commands.dial(self.settings.internal(Ipv4Addr::from(ip)));
            self.lines.insert(conn, Line::Peer(ip, FrameDecoder::default()));
            self.peers.entry(ip).or_default().dialled = Some((conn, now));
        }
        if self.ticks.is_multiple_of(BEAT) {
            self.beat_peers(now, commands);
        }
        if self.ticks.is_multiple_of(BEAT) {
            self.hush(now);
        }
    }

    pub(super) fn beat_peers(&mut self, now: Timestamp, commands: &mut Commands) {
        self.view.increment_ages();
        let view =
            if self.ticks.is_multiple_of(SHUFFLE) { self.view.sample(&mut self.rng) } else { Vec::new() };
        let beat = Heartbeat {
            chosen: self.ledger.chosen(),
            view,
            routers: self.routers_fed().count() as u32,
            digest: self.cell.digest(),
            votes: self.is_able_to_vote(now),
            silent: self.silent_here.clone(),
            disk_failing: !self.disk.is_healthy(now),
            reachable: self.heard_lately(now),
            shutting_down: self.ending_since.is_some(),
        };
        self.say_to_peers(&Payload::Heartbeat(beat), commands);
    }

    /// The machines that are told that they are heard. Only voters tell: theirs is the word that others count, and lists of
    /// all machines from all machines would grow with the cube of their number.
    fn heard_lately(&self, now: Timestamp) -> Vec<u32> {
        if !self.ledger.voters().contains(&self.me) {
            return Vec::new();
        }
        let lately = self.live_peers(now).filter(|(_, peer)| now - peer.heard_at < NOT_HEARD);
        lately.map(|(ip, _)| *ip).collect()
    }

    /// Hosts that called here and do so no more.
    fn hush(&mut self, now: Timestamp) {
        let late = TimeDelta::from_millis((self.settings.heartbeat_interval_ms as f64 * 2.5) as i64);
        let quiet = |id: &str| self.cell.last_heartbeat_at(id).is_some_and(|at| now - at >= late);
        let live = self.cell.hosts().filter(|host| host.phase() != arrowyard_messages::Phase::Gone);
        let ids: Vec<String> = live.filter(|host| quiet(&host.id)).map(|host| host.id.clone()).collect();
        for id in &ids {
            let since = self.cell.last_heartbeat_at(id).unwrap_or(now);
            self.silent.entry(id.clone()).or_insert(since);
        }
        self.silent_here = ids
            .into_iter()
            .map(|id| {
                let since = self.cell.last_heartbeat_at(&id).unwrap_or(now);
                arrowyard_messages::SilentHost { id, silent_ms: ((now - since).micros() / 1000) as u64 }
            })
            .collect();
    }

    pub(super) fn live_peers(&self, now: Timestamp) -> impl Iterator<Item = (&u32, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| peer.is_open() && now - peer.heard_at < AWAY)
    }

    /// Whether it hears of more than half of the voters and they hear of it, itself among them if it is one. Safety: a
    /// machine that is cut off, in one direction or both, takes calls and feeds routers as before, and nothing that it
    /// says is news to anyone.
    pub(super) fn is_in_touch(&self, now: Timestamp) -> bool {
        let voters = self.ledger.voters();
        let in_touch = |voter: &u32| self.live_peers(now).any(|(ip, peer)| ip == voter && peer.hears_me);
        let live = voters.iter().filter(|voter| **voter == self.me || in_touch(voter));
        live.count() * 2 > voters.len()
    }

    /// Lets routers go to another control machine while this one is cut off.
    pub(super) fn keep_touch(&mut self, now: Timestamp, commands: &mut Commands) {
        let in_touch = self.is_in_touch(now);
        if in_touch != self.in_touch {
            self.in_touch = in_touch;
            self.touch_changed(now, commands);
            log::info!(
                "mesh: {}.",
                if in_touch { "In touch with the voters" } else { "Cut off from the voters" }
            );
        }
        self.admit_early(now, in_touch, commands);
        let fed: Vec<Conn> = self.routers_fed().map(|(conn, _)| conn).collect();
        for conn in fed {
            let silent = self.router_silent(now, conn);
            if !in_touch || silent {
                commands.reset(conn);
                self.lines.remove(&conn);
            } else if self.ticks.is_multiple_of(HEARTBEAT) {
                self.say(conn, Payload::Heartbeat(Heartbeat::default()), commands);
            }
        }
    }

    /// Routers that came while the voters were not heard of yet are fed, or sent away.
    fn admit_early(&mut self, now: Timestamp, in_touch: bool, commands: &mut Commands) {
        let early = |(conn, line): (&Conn, &Line)| match line {
            Line::Early(_, _, since) if in_touch || now - *since >= EARLY => Some(*conn),
            _ => None,
        };
        let mut waiting: Vec<Conn> = self.lines.iter().filter_map(early).collect();
        waiting.sort_unstable();
        for conn in waiting {
            match self.lines.remove(&conn) {
                Some(Line::Early(hello, frames, _)) if in_touch => {
                    self.admit_router(now, conn, &hello, frames, commands);
                    self.router_came(now, conn, commands);
                }
                _ => commands.close(conn),
            }
        }
    }

    /// A control machine that is up in a zone.
    pub(super) fn peer_in(&self, now: Timestamp, zone: &str) -> Option<u32> {
        self.live_peers(now).map(|(ip, _)| *ip).find(|ip| self.view.zone(*ip) == Some(zone))
    }

    pub(super) fn say_to_peers(&mut self, word: &Payload, commands: &mut Commands) {
        let bytes = encode_payload(word.clone());
        for conn in self.peers.values().filter_map(|peer| peer.conns.last().copied()) {
            commands.write(conn, &[&bytes]);
        }
    }

    /// So many of the machines that are connected, drawn anew each time.
    pub(super) fn some_peers(&mut self, most: usize) -> Vec<u32> {
        let connected = self.peers.iter().filter(|(_, peer)| !peer.conns.is_empty());
        let connected = connected.map(|(ip, _)| *ip);
        self.rng.choose_multiple(connected, most)
    }

    pub(super) fn say_to_peer(&mut self, ip: u32, word: &Payload, commands: &mut Commands) {
        if let Some(conn) = self.peers.get(&ip).and_then(|peer| peer.conns.last().copied()) {
            commands.write(conn, &[&encode_payload(word.clone())]);
        }
    }

    /// A dial of ours came through.
    pub(super) fn greet(&mut self, now: Timestamp, conn: Conn, ip: u32, commands: &mut Commands) {
        let hello = self.hello();
        self.say(conn, hello, commands);
        let peer = self.peers.entry(ip).or_default();
        if peer.dialled.is_some_and(|(dialled, _)| dialled == conn) {
            peer.dialled = None;
        }
        peer.hear(now);
        peer.conns.push(conn);
        self.with_ledger(now, commands, |ledger, out| ledger.observe_peer_progress(now, ip, 0, out));
    }

    /// Somebody of the system's own that has not said who it is.
    pub(super) fn strange(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        let Some(Line::Stranger(frames)) = self.lines.get_mut(&conn) else { return };
        match frames.take() {
            Ok(None) => {}
            Ok(Some(frame)) if matches!(&frame.payload, Some(Payload::Hello(_))) => {
                let frames = std::mem::take(frames);
                let Some(Payload::Hello(hello)) = frame.payload else { return };
                if !hello.control {
                    if !self.is_in_touch(now) {
                        // At a start the others are heard of in a moment.
                        self.lines.insert(conn, Line::Early(hello, frames, now));
                        return;
                    }
                    self.admit_router(now, conn, &hello, frames, commands);
                    return self.router_came(now, conn, commands);
                }
                let ip = hello.ip;
                self.lines.insert(conn, Line::Peer(ip, frames));
                let mine = self.hello();
                self.say(conn, mine, commands);
                let peer = self.peers.entry(ip).or_default();
                peer.hear(now);
                peer.conns.push(conn);
                self.know(now, &hello, commands);
                self.peer_came(now, conn, ip, &[], commands);
            }
            _ => {
                commands.reset(conn);
                drop(self.lines.remove(&conn));
            }
        }
    }

    fn know(&mut self, now: Timestamp, hello: &Hello, commands: &mut Commands) {
        self.view.record_contact(hello.ip, &hello.zone);
        self.view.merge(&hello.view, self.me);
        if let Some(peer) = self.peers.get_mut(&hello.ip) {
            // A connection was opened, so both ways are there.
            (peer.incarnation, peer.hears_me) = (hello.incarnation, true);
        }
        let cell = HostUpdate { hosts: self.cell.hosts().cloned().collect(), whole: true };
        self.say_to_peer(hello.ip, &Payload::HostUpdate(cell), commands);
        self.with_ledger(now, commands, |ledger, out| ledger.observe_peer_progress(now, hello.ip, 0, out));
        if !self.in_touch && self.is_in_touch(now) {
            self.keep_touch(now, commands);
        }
    }

    pub(super) fn peer_came(
        &mut self,
        now: Timestamp,
        conn: Conn,
        ip: u32,
        bytes: &[u8],
        commands: &mut Commands,
    ) {
        if let Some(Line::Peer(_, frames)) = self.lines.get_mut(&conn) {
            frames.put(bytes);
        }
        while let Some(Line::Peer(_, frames)) = self.lines.get_mut(&conn) {
            match frames.take() {
                Ok(None) => return,
                Err(broken) => {
                    log::warn!("mesh: {}: {broken}.", Ipv4Addr::from(ip));
                    self.peer_closed(conn, ip);
                    commands.reset(conn);
                    drop(self.lines.remove(&conn));
                    return;
                }
                Ok(Some(frame)) => {
                    let peer = self.peers.entry(ip).or_default();
                    peer.hear(now);
                    let incarnation = peer.incarnation;
                    self.duty.record_contact(now, ip, incarnation, self.ledger.applied());
                    if let Some(word) = frame.payload {
                        self.peer_says(now, ip, word, commands);
                    }
                }
            }
        }
    }

    fn peer_says(&mut self, now: Timestamp, ip: u32, word: Payload, commands: &mut Commands) {
        match word {
            Payload::Hello(hello) => self.know(now, &hello, commands),
            Payload::Heartbeat(beat) => self.peer_beat(now, ip, &beat, commands),
            Payload::HostUpdate(cell) => {
                let mut news = Vec::new();
                for host in cell.hosts {
                    self.silent.remove(&host.id);
                    if !cell.whole {
                        self.cell.clear_heartbeat(&host.id);
                    }
                    if self.cell.merge_report(now, host.clone()) {
                        if host.phase() == arrowyard_messages::Phase::Gone {
                            self.left.push((now, host.clone()));
                        }
                        news.push(host);
                    }
                }
                if !news.is_empty() {
                    self.pass_on(news, commands);
                    self.look(now, commands);
                }
            }
            Payload::DepartureNotice(departing) => self.departure_told(now, ip, departing, commands),
            Payload::DepartureStored(kept) => self.departure_kept(now, ip, kept.number, commands),
            Payload::Suspect(suspect) => self.suspected(now, suspect, commands),
            Payload::Demotion(yielded) => self.yielded(now, false, yielded, commands),
            word @ Payload::Replacements(_) => self.pass_replacements(&word, commands),
            Payload::RelayedRequest(question) => self.relay_to_router(now, question, commands),
            Payload::RelayedResponse(answer) => self.relayed(now, answer, commands),
            Payload::DemandReport(needs) => self.needs(now, Some(ip), needs, commands),
            Payload::HostAllocations(allots) => self.allots(allots, commands),
            word @ Payload::OverloadedHosts(_) => self.pressed(&word, commands),
            word => self.with_ledger(now, commands, |ledger, out| ledger.on_message(now, ip, &word, out)),
        }
    }

    fn peer_beat(&mut self, now: Timestamp, ip: u32, beat: &Heartbeat, commands: &mut Commands) {
        let zone = self.view.zone(ip).unwrap_or_default().to_string();
        self.view.record_contact(ip, &zone);
        self.view.merge(&beat.view, self.me);
        let mine = self.cell.digest();
        let incarnation =
            |ip: u32| if ip == self.me { Some(self.incarnation) } else { self.peers.get(&ip)?.known_life() };
        self.duty.record_indirect_contact(
            now - NOT_HEARD,
            &beat.reachable,
            incarnation,
            self.ledger.applied(),
        );
        let Some(peer) = self.peers.get_mut(&ip) else { return };
        peer.routers = beat.routers;
        peer.says_that_it_votes(now, beat.votes);
        peer.disk_fails = beat.disk_failing;
        peer.leaving = beat.shutting_down;
        peer.hears_me = beat.reachable.contains(&self.me);
        // What is under way makes them differ for a moment; what stays is swept up.
        peer.differs = if beat.digest == mine { 0 } else { peer.differs + 1 };
        if peer.differs >= 2 {
            peer.differs = 0;
            let cell = HostUpdate { hosts: self.cell.hosts().cloned().collect(), whole: true };
            self.say_to_peer(ip, &Payload::HostUpdate(cell), commands);
        }
        if self.in_touch && !self.is_in_touch(now) {
            self.keep_touch(now, commands);
        }
        for silent in &beat.silent {
            // Danger: it may call here by now; then whoever misses it is told so.
            let here = self
                .cell
                .last_heartbeat_at(&silent.id)
                .is_some_and(|at| (now - at).micros() / 1000 < silent.silent_ms as i64);
            if here {
                let hosts = self.cell.get(&silent.id).cloned().into_iter().collect();
                self.say_to_peers(&Payload::HostUpdate(HostUpdate { hosts, whole: false }), commands);
            } else {
                let since = now - TimeDelta::from_millis(silent.silent_ms as i64);
                self.silent.entry(silent.id.clone()).or_insert(since);
            }
        }
        let (chosen, from) = (beat.chosen, ip);
        self.with_ledger(now, commands, |ledger, out| ledger.observe_peer_progress(now, from, chosen, out));
    }

    pub(super) fn peer_closed(&mut self, conn: Conn, ip: u32) {
        if let Some(peer) = self.peers.get_mut(&ip) {
            peer.conns.retain(|open| *open != conn);
            if peer.dialled.is_some_and(|(dialled, _)| dialled == conn) {
                peer.dialled = None;
            }
        }
    }
}
