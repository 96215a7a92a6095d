//! A control machine: the parts of the plane put together. One function takes every event; each kind of connection
//! has a file of its own.

mod api;
mod departures;
mod disk_health;
mod duty;
mod fair_shares;
mod feed;
mod host_requests;
mod peers;
mod platform;
mod registry_snapshot;
mod relays;
mod replacements;
mod status;
mod suspicions;
mod voter_set;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use arrowyard_config::{Configuration, Settings};
use arrowyard_messages::{Host, KnownControl, Payload, encode_payload, ip_to_u32};
use arrowyard_runtime::{Commands, Conn, Event, ListenerId, Plane, Signal};
use arrowyard_types::{TimeDelta, Timestamp};
use fastrand::Rng;
use rustc_hash::FxHashMap;

use crate::applied_state::PROMOTION_DUTY;
use crate::promotion::{LeaderWatch, Promotions};
use crate::{DutyElection, HostRegistry, Output, PeerView, ProposalId, ReplicatedLog};

use api::Caller;
pub use departures::Departures;
pub use disk_health::DiskHealth;
use fair_shares::Shares;
use feed::Router;
use host_requests::Link;
use peers::Peer;
use platform::{Decisions, Platform};
pub use relays::{RelayOutcome, Relays};
use suspicions::Suspicions;

/// The doors of a control machine: the calls of hosts and operators, and the system's own processes.
pub const LISTENERS: [ListenerId; 2] = [ListenerId(0), ListenerId(1)];

/// What is done at regular times is done this often.
const TICK: TimeDelta = TimeDelta::from_millis(250);
/// Hosts that are gone are looked through every so many ticks.
const SWEEP: u64 = 40;
/// The settings file is read again so often, since it may change without a signal.
const REREAD: TimeDelta = TimeDelta::from_millis(2000);
/// How long a process that is told to end goes on with what it has begun, and waits for another one to take its vote over.
const LAST: TimeDelta = TimeDelta::from_millis(800);
const HAND_OVER: TimeDelta = TimeDelta::from_millis(2500);

/// Reads the settings file anew.
pub type Reread = Box<dyn FnMut() -> Option<Settings>>;

/// What stands at the other end of a connection.
enum Line {
    Caller(Caller),
    /// One of the system's own that has not said who it is.
    Stranger(arrowyard_messages::FrameDecoder),
    Peer(u32, arrowyard_messages::FrameDecoder),
    Router(Router),
    /// A router that came before this machine heard of the voters.
    Early(arrowyard_messages::Hello, arrowyard_messages::FrameDecoder, Timestamp),
    Link(String),
    Platform(Platform),
}

/// One control machine.
pub struct Control {
    settings: Settings,
    reread: Reread,
    me: u32,
    incarnation: u64,
    rng: Rng,
    ledger: ReplicatedLog,
    /// Records are kept in memory only where there is no disk.
    has_disk: bool,
    disk: DiskHealth,
    /// Since when this machine's vote cannot be counted on.
    unable_since: Option<Timestamp>,
    /// Whether the others were told that this machine's vote is durable.
    announced: bool,
    cell: HostRegistry,
    /// Of the hosts as they were last put on disk.
    kept_digest: u64,
    silent: BTreeMap<String, Timestamp>,
    left: Vec<(Timestamp, Host)>,
    view: PeerView,
    duty: DutyElection,
    promotions: Promotions,
    /// By service of the configuration.
    leaders: BTreeMap<String, LeaderWatch>,
    /// The replacements of primaries that routers were told of last.
    told_replacements: Vec<arrowyard_messages::Replacement>,
    /// Under which fence the duty is carried out, since this machine took it up.
    fence: Option<u64>,
    /// The duty's fence that a majority has confirmed since this machine was cut off last, and the question for it.
    confirmed: Option<u64>,
    confirming: Option<ProposalId>,
    lines: FxHashMap<Conn, Line>,
    peers: BTreeMap<u32, Peer>,
    links: BTreeMap<String, Link>,
    relays: Relays,
    /// Calls of the operator that wait for the ledger.
    pending: FxHashMap<ProposalId, api::Pending>,
    silent_here: Vec<arrowyard_messages::SilentHost>,
    platform_calls: Vec<(Conn, Timestamp)>,
    decisions: Decisions,
    departures: Departures,
    suspicions: Suspicions,
    routers: u32,
    /// The configuration that routers were told last.
    fed: Configuration,
    fewer_since: Option<Timestamp>,
    /// When who votes may be changed next.
    seat_at: Timestamp,
    told: Vec<KnownControl>,
    tick_at: Timestamp,
    reread_at: Timestamp,
    ticks: u64,
    in_touch: bool,
    shares: Shares,
    /// Since when it is told to end.
    ending_since: Option<Timestamp>,
    ready: Vec<Output>,
}

impl Control {
    /// A control machine with what its disk holds.
    ///
    /// # Errors
    /// When the disk's records cannot be read.
    pub fn open(
        settings: Settings,
        incarnation: u64,
        records: &[Vec<u8>],
        disk: bool,
        reread: Reread,
    ) -> Result<Self, String> {
        let me = ip_to_u32(settings.ip);
        let seeds: Vec<u32> = settings.seeds.iter().map(|seed| ip_to_u32(*seed.ip())).collect();
        let founders = (settings.bootstrap && !seeds.is_empty()).then_some(seeds.as_slice());
        let mut ready = Vec::new();
        let ledger = ReplicatedLog::open(me, incarnation, records, founders, &mut ready)?;
        log::info!(
            "ledger: {} entries, {} voters, {}.",
            ledger.chosen(),
            ledger.voters().len(),
            if ledger.votes() { "votes" } else { "does not vote" }
        );
        let mut view = PeerView::default();
        seeds.iter().filter(|&&seed| seed != me).for_each(|&seed| view.add_seed(seed));
        let duty =
            DutyElection::new(PROMOTION_DUTY, me, incarnation, &settings.node, Timestamp::from_micros(0));
        let fed = ledger.applied().configuration.clone();
        let (cell, routers) = registry_snapshot::restore(records, &settings.zone);
        Ok(Control {
            me,
            incarnation,
            rng: Rng::with_seed(incarnation),
            ledger,
            has_disk: disk,
            disk: DiskHealth::default(),
            unable_since: None,
            announced: false,
            kept_digest: cell.digest(),
            cell,
            silent: BTreeMap::new(),
            left: Vec::new(),
            view,
            duty,
            promotions: Promotions::default(),
            leaders: BTreeMap::new(),
            told_replacements: Vec::new(),
            fence: None,
            confirmed: None,
            confirming: None,
            lines: FxHashMap::default(),
            peers: BTreeMap::new(),
            links: BTreeMap::new(),
            relays: Relays::new(incarnation),
            pending: FxHashMap::default(),
            silent_here: Vec::new(),
            platform_calls: Vec::new(),
            decisions: Decisions::default(),
            departures: Departures::new(incarnation),
            suspicions: Suspicions::default(),
            routers,
            fed,
            fewer_since: None,
            seat_at: Timestamp::DISTANT_PAST,
            told: Vec::new(),
            tick_at: Timestamp::DISTANT_PAST,
            reread_at: Timestamp::DISTANT_PAST,
            ticks: 0,
            in_touch: false,
            shares: Shares::default(),
            ending_since: None,
            ready,
            settings,
            reread,
        })
    }

    pub fn ledger(&self) -> &ReplicatedLog {
        &self.ledger
    }

    /// Carries out what the ledger wants.
    fn carry(&mut self, now: Timestamp, out: Vec<Output>, commands: &mut Commands) {
        let mut queue = std::collections::VecDeque::from(out);
        while let Some(one) = queue.pop_front() {
            match one {
                Output::Send { to: 0, payload: word } => self.say_to_peers(&word, commands),
                Output::Send { to, payload: word } => self.say_to_peer(to, &word, commands),
                Output::Store { ticket, record } if self.has_disk => {
                    self.disk.write_started(now, ticket);
                    commands.store(ticket, record);
                }
                Output::Store { ticket, .. } => {
                    let mut more = Vec::new();
                    self.ledger.record_stored(now, ticket, true, &mut more);
                    queue.extend(more);
                }
                Output::Chosen { slot } => self.tell_chosen(now, slot, commands),
                Output::Resolved { proposal, outcome } => self.answered(now, proposal, outcome, commands),
            }
        }
    }

    /// Hands something to the ledger and carries out what it wants.
    fn with_ledger<T>(
        &mut self,
        now: Timestamp,
        commands: &mut Commands,
        act: impl FnOnce(&mut ReplicatedLog, &mut Vec<Output>) -> T,
    ) -> T {
        let mut out = Vec::new();
        let result = act(&mut self.ledger, &mut out);
        self.carry(now, out, commands);
        result
    }

    fn tick(&mut self, now: Timestamp, commands: &mut Commands) {
        self.tick_at = now + TICK;
        self.ticks += 1;
        if now >= self.reread_at {
            self.reread(now);
        }
        self.meet(now, commands);
        self.keep_touch(now, commands);
        if self.ticks.is_multiple_of(SWEEP) {
            self.cell.remove_expired(now);
            let cell = &self.cell;
            self.departures.retain(|host| cell.get(host).is_some());
        }
        self.left.retain(|(at, _)| now - *at < TimeDelta::from_millis(30_000));
        self.drop_idle(now, commands);
        self.count_routers(now, commands);
        self.remember(now, commands);
        self.tell_view(commands);
        let mut rng = self.rng.clone();
        if let Some(entry) = self.duty.poll_candidacy(now, self.ledger.applied(), &mut rng) {
            self.with_ledger(now, commands, |ledger, out| {
                ledger.propose_entry(now, entry, now + TICK * 4.0, out)
            });
        }
        self.rng = rng;
        self.unable_since = if self.is_able_to_vote(now) { None } else { self.unable_since.or(Some(now)) };
        self.take_up(now, commands);
        self.fill_seats(now, commands);
        self.tell_replacements(true, commands);
        self.divide(now, commands);
    }

    /// A host's word changed: the others hear of it, and the routers.
    fn news_of(&mut self, now: Timestamp, host: Host, commands: &mut Commands) {
        if host.phase() == arrowyard_messages::Phase::Gone {
            self.left.push((now, host.clone()));
        }
        self.tell_hosts(vec![host], commands);
        self.look(now, commands);
    }

    fn reread(&mut self, now: Timestamp) {
        self.reread_at = now + REREAD;
        if let Some(settings) = (self.reread)() {
            settings.seeds.iter().map(|seed| ip_to_u32(*seed.ip())).filter(|&seed| seed != self.me).for_each(
                |seed| {
                    self.view.add_seed(seed);
                },
            );
            self.settings = settings;
        }
    }

    fn disk_changed(&mut self, works: bool) {
        self.disk.set_working(works);
        if works {
            self.ledger.disk_recovered();
            log::info!("disk: All that this machine knows is on it; its vote counts again.");
        } else {
            log::error!("disk: It refuses records; this machine does not vote until it is well.");
        }
    }

    /// A vote that has just become durable is announced at once: another machine may be waiting to give up its seat.
    fn announce_vote(&mut self, now: Timestamp, commands: &mut Commands) {
        let votes = self.ledger.is_vote_durable();
        if votes && !self.announced {
            self.beat_peers(now, commands);
        }
        self.announced = votes;
    }

    /// Whether this machine's vote can be counted on: it has one, and a disk that keeps its word.
    fn is_able_to_vote(&self, now: Timestamp) -> bool {
        self.ledger.is_vote_durable() && self.disk.is_healthy(now)
    }

    /// Where another control machine takes the calls of hosts and operators: ports are alike on all machines.
    fn control_of(&self, ip: u32) -> Option<SocketAddrV4> {
        let port = self.settings.bind_addrs.get("control")?.port();
        Some(SocketAddrV4::new(Ipv4Addr::from(ip), port))
    }

    fn end(&mut self, now: Timestamp, commands: &mut Commands) {
        if self.ending_since.is_none() {
            self.ending_since = Some(now);
            self.beat_peers(now, commands);
        }
        let waited = self.ending_since.map_or(TimeDelta::ZERO, |since| now - since);
        let is_answered = self.pending.is_empty() || waited >= LAST;
        if is_answered && (waited >= HAND_OVER || !self.can_hand_over(now)) {
            commands.stop();
        }
    }
}

impl Plane for Control {
    fn handle(&mut self, now: Timestamp, event: Event<'_>, commands: &mut Commands) {
        match event {
            Event::Start => {
                let ready = std::mem::take(&mut self.ready);
                self.carry(now, ready, commands);
            }
            Event::Accepted { conn, listener } if listener == LISTENERS[0] => {
                drop(self.lines.insert(conn, Line::Caller(Caller::default())));
            }
            Event::Accepted { conn, .. } => {
                drop(self.lines.insert(conn, Line::Stranger(arrowyard_messages::FrameDecoder::default())));
            }
            Event::Connected { conn } => self.opened(now, conn, commands),
            Event::Received { conn, bytes } => self.came(now, conn, bytes, commands),
            Event::Closed { conn, .. } => self.closed(now, conn, commands),
            Event::Stored { ticket, durable } => {
                self.disk.write_completed(ticket);
                self.with_ledger(now, commands, |ledger, out| {
                    ledger.record_stored(now, ticket, durable, out)
                });
                self.departure_stored(now, ticket, durable, commands);
                self.announce_vote(now, commands);
            }
            Event::DiskStatus { writable } => self.disk_changed(writable),
            Event::Signal(Signal::Terminate) => self.end(now, commands),
            Event::Signal(Signal::Reload) => self.reread(now),
            Event::TimerExpired => {}
        }
        if self.ledger.due().is_some_and(|at| at <= now) {
            self.with_ledger(now, commands, |ledger, out| ledger.on_timer(now, out));
        }
        if self.tick_at <= now {
            self.tick(now, commands);
            self.look(now, commands);
        }
        if self.departures.due().is_some_and(|at| at <= now) {
            self.refuse_late_departures(now, commands);
        }
        if self.links_due().is_some_and(|at| at <= now) {
            self.drop_idle(now, commands);
        }
        if self.promotions.due().is_some_and(|at| at <= now) {
            self.look(now, commands);
        }
        if self.ending_since.is_some() {
            self.end(now, commands);
        }
    }

    fn due(&self) -> Option<Timestamp> {
        let parts = [
            Some(self.tick_at),
            self.ledger.due(),
            self.promotions.due(),
            self.links_due(),
            self.departures.due(),
        ];
        parts.into_iter().flatten().min()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.ledger.snapshot(Some(self.memory()))
    }
}

impl Control {
    fn opened(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        match self.lines.get(&conn) {
            Some(Line::Peer(ip, _)) => self.greet(now, conn, *ip, commands),
            Some(Line::Link(host)) => self.link_opened(host.clone(), commands),
            Some(Line::Platform(_)) => self.platform_opened(now, conn, commands),
            _ => {}
        }
    }

    fn came(&mut self, now: Timestamp, conn: Conn, bytes: &[u8], commands: &mut Commands) {
        match self.lines.get_mut(&conn) {
            Some(Line::Caller(caller)) => {
                caller.messages.put(bytes);
                self.calls(now, conn, commands);
            }
            Some(Line::Stranger(frames)) => {
                frames.put(bytes);
                self.strange(now, conn, commands);
            }
            Some(Line::Peer(ip, _)) => {
                let ip = *ip;
                self.peer_came(now, conn, ip, bytes, commands);
            }
            Some(Line::Early(_, frames, _)) => frames.put(bytes),
            Some(Line::Router(router)) => {
                router.frames.put(bytes);
                self.router_came(now, conn, commands);
            }
            Some(Line::Link(host)) => {
                let host = host.clone();
                self.link_came(now, host, bytes, commands);
            }
            Some(Line::Platform(platform)) => {
                platform.messages.put(bytes);
                self.platform_came(now, conn, commands);
            }
            None => {}
        }
    }

    fn closed(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        match self.lines.remove(&conn) {
            Some(Line::Peer(ip, _)) => self.peer_closed(conn, ip),
            Some(Line::Link(host)) => self.link_closed(now, host, conn, commands),
            Some(Line::Platform(platform)) => self.platform_closed(now, &platform, commands),
            _ => {}
        }
    }

    fn say(&self, conn: Conn, word: Payload, commands: &mut Commands) {
        commands.write(conn, &[&encode_payload(word)]);
    }
}
