//! A control machine: combines the parts of the control plane behind the event interface of
//! `arrowyard-runtime`. Each kind of connection is handled in a module of its own.

mod api;
mod departures;
mod disk_health;
mod duty;
mod fair_shares;
mod feed;
mod floors;
mod heartbeat;
mod host_requests;
mod peer_messages;
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

use crate::announcements::{Announcements, ForwardedList};
use crate::applied_state::PROMOTION_DUTY;
use crate::promotion::{PrimaryWatch, Promotions};
use crate::{
    DutyElection, HostRegistry, Output, PeerView, ProposalId, PublishedFloors, ReplicatedLog, Silences,
};

use api::ApiConnection;
pub use departures::Departures;
pub use disk_health::DiskHealth;
use fair_shares::Shares;
use feed::Router;
pub use heartbeat::parse_heartbeat;
use host_requests::HostConnection;
use peers::Peer;
use platform::{Decisions, PlatformCall};
pub use relays::{RelayOutcome, Relays};
use suspicions::Suspicions;

/// Listeners of a control machine: calls of hosts and operators, and connections of other machines of
/// the system.
pub const LISTENERS: [ListenerId; 2] = [ListenerId(0), ListenerId(1)];

/// Interval of periodic work.
const TICK_INTERVAL: TimeDelta = TimeDelta::from_millis(250);
/// Ticks between removals of expired hosts.
const EXPIRY_TICKS: u64 = 40;
/// Interval at which the settings file is read again, since it may change without a signal.
const SETTINGS_RELOAD_INTERVAL: TimeDelta = TimeDelta::from_millis(2000);
/// On shutdown: time to answer calls in progress, and time to wait for another machine to take over the
/// vote.
const REQUEST_DRAIN_TIMEOUT: TimeDelta = TimeDelta::from_millis(800);
const VOTE_HANDOVER_TIMEOUT: TimeDelta = TimeDelta::from_millis(2500);

/// Reads the settings file again; `None` if that fails.
pub type ReloadSettings = Box<dyn FnMut() -> Option<Settings>>;

/// State of one connection, by kind of peer.
enum Connection {
    Api(ApiConnection),
    /// A machine of the system that has not sent its hello.
    Unidentified(arrowyard_messages::FrameDecoder),
    Peer(u32, arrowyard_messages::FrameDecoder),
    Router(Router),
    /// A router that connected before this machine reached the voters.
    PendingRouter(arrowyard_messages::Hello, arrowyard_messages::FrameDecoder, Timestamp),
    Host(String),
    Platform(PlatformCall),
}

/// State of one control machine.
pub struct Control {
    settings: Settings,
    reload: ReloadSettings,
    local_ip: u32,
    incarnation: u64,
    rng: Rng,
    replicated_log: ReplicatedLog,
    /// Without a disk, records are kept in memory only.
    has_disk: bool,
    disk: DiskHealth,
    /// Since when this machine's vote does not count.
    unable_to_vote_since: Option<Timestamp>,
    /// Whether peers have been told that this machine's vote is durable.
    vote_announced: bool,
    registry: HostRegistry,
    /// Digest of the hosts and router count last stored.
    stored_digest: u64,
    silences: Silences,
    published_floors: PublishedFloors,
    view: PeerView,
    duty: DutyElection,
    promotions: Promotions,
    /// By service of the configuration.
    primary_watches: BTreeMap<String, PrimaryWatch>,
    /// Replacements of primaries last published to routers.
    published_replacements: arrowyard_messages::Replacements,
    announcements: Announcements,
    forwarded_replacements: ForwardedList,
    /// Fencing token under which this machine carries out the duty.
    fence: Option<u64>,
    /// Fencing token that a majority has confirmed since this machine last lost the quorum, and the read
    /// that is to confirm it.
    confirmed: Option<u64>,
    confirming: Option<ProposalId>,
    connections: FxHashMap<Conn, Connection>,
    peers: BTreeMap<u32, Peer>,
    host_connections: BTreeMap<String, HostConnection>,
    relays: Relays,
    /// Calls that wait for the outcome of a proposal.
    pending: FxHashMap<ProposalId, api::PendingCall>,
    local_silent_hosts: Vec<arrowyard_messages::SilentHost>,
    platform_calls: Vec<(Conn, Timestamp)>,
    decisions: Decisions,
    departures: Departures,
    suspicions: Suspicions,
    routers: u32,
    /// Configuration last published to routers.
    published_configuration: Configuration,
    router_decrease_since: Option<Timestamp>,
    /// Earliest time of the next change of the voter set.
    voter_change_at: Timestamp,
    published_controls: Vec<KnownControl>,
    tick_at: Timestamp,
    reload_at: Timestamp,
    ticks: u64,
    quorum_reachable: bool,
    shares: Shares,
    /// Since when it is shutting down.
    stopping_since: Option<Timestamp>,
    initial_outputs: Vec<Output>,
}

impl Control {
    /// Restores a control machine from the records on its disk.
    ///
    /// # Errors
    /// When the records cannot be decoded.
    pub fn open(
        settings: Settings,
        incarnation: u64,
        records: &[Vec<u8>],
        disk: bool,
        reload: ReloadSettings,
    ) -> Result<Self, String> {
        let local_ip = ip_to_u32(settings.ip);
        let seeds: Vec<u32> = settings.seeds.iter().map(|seed| ip_to_u32(*seed.ip())).collect();
        let founders = (settings.bootstrap && !seeds.is_empty()).then_some(seeds.as_slice());
        let mut initial_outputs = Vec::new();
        let replicated_log =
            ReplicatedLog::open(local_ip, incarnation, records, founders, &mut initial_outputs)?;
        log::info!(
            "replicated log: {} entries, {} voters, {}",
            replicated_log.chosen(),
            replicated_log.voters().len(),
            if replicated_log.votes() { "votes" } else { "does not vote" }
        );
        let mut view = PeerView::default();
        seeds.iter().filter(|&&seed| seed != local_ip).for_each(|&seed| view.add_seed(seed));
        let duty = DutyElection::new(
            PROMOTION_DUTY,
            local_ip,
            incarnation,
            &settings.node,
            Timestamp::from_micros(0),
        );
        let published_configuration = replicated_log.applied().configuration.clone();
        let (registry, routers) = registry_snapshot::restore(records, &settings.zone);
        Ok(Control {
            local_ip,
            incarnation,
            rng: Rng::with_seed(incarnation),
            replicated_log,
            has_disk: disk,
            disk: DiskHealth::default(),
            unable_to_vote_since: None,
            vote_announced: false,
            stored_digest: registry.digest(),
            registry,
            silences: Silences::default(),
            published_floors: PublishedFloors::default(),
            view,
            duty,
            promotions: Promotions::default(),
            primary_watches: BTreeMap::new(),
            published_replacements: arrowyard_messages::Replacements::default(),
            announcements: Announcements::default(),
            forwarded_replacements: ForwardedList::default(),
            fence: None,
            confirmed: None,
            confirming: None,
            connections: FxHashMap::default(),
            peers: BTreeMap::new(),
            host_connections: BTreeMap::new(),
            relays: Relays::new(incarnation),
            pending: FxHashMap::default(),
            local_silent_hosts: Vec::new(),
            platform_calls: Vec::new(),
            decisions: Decisions::default(),
            departures: Departures::new(incarnation),
            suspicions: Suspicions::default(),
            routers,
            published_configuration,
            router_decrease_since: None,
            voter_change_at: Timestamp::DISTANT_PAST,
            published_controls: Vec::new(),
            tick_at: Timestamp::DISTANT_PAST,
            reload_at: Timestamp::DISTANT_PAST,
            ticks: 0,
            quorum_reachable: false,
            shares: Shares::default(),
            stopping_since: None,
            initial_outputs,
            settings,
            reload,
        })
    }

    /// The replicated log of this machine.
    pub fn replicated_log(&self) -> &ReplicatedLog {
        &self.replicated_log
    }

    /// Carries out the outputs of the replicated log.
    fn execute(&mut self, now: Timestamp, out: Vec<Output>, commands: &mut Commands) {
        let mut queue = std::collections::VecDeque::from(out);
        while let Some(one) = queue.pop_front() {
            match one {
                Output::Send { to: 0, payload: message } => self.broadcast_to_peers(&message, commands),
                Output::Send { to, payload: message } => self.send_to_peer(to, &message, commands),
                Output::Store { ticket, record } if self.has_disk => {
                    self.disk.write_started(now, ticket);
                    commands.store(ticket, record);
                }
                Output::Store { ticket, .. } => {
                    let mut more = Vec::new();
                    self.replicated_log.record_stored(now, ticket, true, &mut more);
                    queue.extend(more);
                }
                Output::Chosen { slot } => self.entry_chosen(now, slot, commands),
                Output::Resolved { proposal, outcome } => {
                    self.proposal_resolved(now, proposal, outcome, commands)
                }
            }
        }
    }

    /// Calls the replicated log and carries out its outputs.
    fn with_log<T>(
        &mut self,
        now: Timestamp,
        commands: &mut Commands,
        act: impl FnOnce(&mut ReplicatedLog, &mut Vec<Output>) -> T,
    ) -> T {
        let mut out = Vec::new();
        let result = act(&mut self.replicated_log, &mut out);
        self.execute(now, out, commands);
        result
    }

    fn tick(&mut self, now: Timestamp, commands: &mut Commands) {
        self.tick_at = now + TICK_INTERVAL;
        self.ticks += 1;
        if now >= self.reload_at {
            self.reload_settings(now);
        }
        self.connect_peers(now, commands);
        self.update_quorum_status(now, commands);
        if self.ticks.is_multiple_of(EXPIRY_TICKS) {
            self.registry.remove_expired(now);
            let registry = &self.registry;
            self.departures.retain(|host| registry.get(host).is_some());
        }
        self.expire_host_requests(now, commands);
        self.count_routers(now, commands);
        self.store_registry(now, commands);
        self.publish_controls(commands);
        let mut rng = self.rng.clone();
        if let Some(entry) = self.duty.poll_candidacy(now, self.replicated_log.applied(), &mut rng) {
            self.with_log(now, commands, |log, out| {
                log.propose_entry(now, entry, now + TICK_INTERVAL * 4.0, out)
            });
        }
        self.rng = rng;
        self.unable_to_vote_since =
            if self.is_able_to_vote(now) { None } else { self.unable_to_vote_since.or(Some(now)) };
        self.update_duty(now, commands);
        self.adjust_voter_set(now, commands);
        self.publish_replacements(now, true, commands);
        self.publish_floors(commands);
        self.allocate_shares(now, commands);
    }

    /// Publishes a changed host to peers and routers.
    fn publish_host_change(&mut self, now: Timestamp, host: Host, commands: &mut Commands) {
        self.publish_hosts(vec![host], commands);
        self.poll_promotions(now, commands);
    }

    fn reload_settings(&mut self, now: Timestamp) {
        self.reload_at = now + SETTINGS_RELOAD_INTERVAL;
        if let Some(settings) = (self.reload)() {
            settings
                .seeds
                .iter()
                .map(|seed| ip_to_u32(*seed.ip()))
                .filter(|&seed| seed != self.local_ip)
                .for_each(|seed| {
                    self.view.add_seed(seed);
                });
            self.settings = settings;
        }
    }

    fn disk_changed(&mut self, working: bool) {
        self.disk.set_working(working);
        if working {
            self.replicated_log.disk_recovered();
            log::info!("disk: stored a complete snapshot; this machine votes again");
        } else {
            log::error!("disk: writes fail; this machine does not vote until they succeed");
        }
    }

    /// Announces a newly durable vote at once, since the removal of another voter may wait for it.
    fn announce_vote(&mut self, now: Timestamp, commands: &mut Commands) {
        let votes = self.replicated_log.is_vote_durable();
        if votes && !self.vote_announced {
            self.send_heartbeats(now, commands);
        }
        self.vote_announced = votes;
    }

    /// Whether this machine's vote counts: it is durable and the disk is healthy.
    fn is_able_to_vote(&self, now: Timestamp) -> bool {
        self.replicated_log.is_vote_durable() && self.disk.is_healthy(now)
    }

    /// Address at which another control machine serves calls; all machines use the same port.
    fn api_address(&self, ip: u32) -> Option<SocketAddrV4> {
        let port = self.settings.bind_addrs.get("control")?.port();
        Some(SocketAddrV4::new(Ipv4Addr::from(ip), port))
    }

    fn shut_down(&mut self, now: Timestamp, commands: &mut Commands) {
        if self.stopping_since.is_none() {
            self.stopping_since = Some(now);
            self.send_heartbeats(now, commands);
        }
        let waited = self.stopping_since.map_or(TimeDelta::ZERO, |since| now - since);
        let is_answered = self.pending.is_empty() || waited >= REQUEST_DRAIN_TIMEOUT;
        if is_answered && (waited >= VOTE_HANDOVER_TIMEOUT || !self.can_hand_over_vote(now)) {
            commands.stop();
        }
    }
}

impl Plane for Control {
    fn handle(&mut self, now: Timestamp, event: Event<'_>, commands: &mut Commands) {
        match event {
            Event::Start => {
                let initial_outputs = std::mem::take(&mut self.initial_outputs);
                self.execute(now, initial_outputs, commands);
            }
            Event::Accepted { conn, listener } if listener == LISTENERS[0] => {
                drop(self.connections.insert(conn, Connection::Api(ApiConnection::default())));
            }
            Event::Accepted { conn, .. } => {
                drop(
                    self.connections
                        .insert(conn, Connection::Unidentified(arrowyard_messages::FrameDecoder::default())),
                );
            }
            Event::Connected { conn } => self.on_connected(now, conn, commands),
            Event::Received { conn, bytes } => self.on_received(now, conn, bytes, commands),
            Event::Closed { conn, .. } => self.on_closed(now, conn, commands),
            Event::Stored { ticket, durable } => {
                self.disk.write_completed(ticket);
                self.with_log(now, commands, |log, out| log.record_stored(now, ticket, durable, out));
                self.handle_departure_record_result(now, ticket, durable, commands);
                self.announce_vote(now, commands);
            }
            Event::DiskStatus { writable } => self.disk_changed(writable),
            Event::Signal(Signal::Terminate) => self.shut_down(now, commands),
            Event::Signal(Signal::Reload) => self.reload_settings(now),
            Event::TimerExpired => {}
        }
        if self.replicated_log.due().is_some_and(|at| at <= now) {
            self.with_log(now, commands, |log, out| log.on_timer(now, out));
        }
        if self.tick_at <= now {
            self.tick(now, commands);
            self.poll_promotions(now, commands);
        }
        if self.departures.due().is_some_and(|at| at <= now) {
            self.reject_expired_departures(now, commands);
        }
        if self.host_requests_due().is_some_and(|at| at <= now) {
            self.expire_host_requests(now, commands);
        }
        if self.promotions.due().is_some_and(|at| at <= now) {
            self.poll_promotions(now, commands);
        }
        if self.stopping_since.is_some() {
            self.shut_down(now, commands);
        }
    }

    fn due(&self) -> Option<Timestamp> {
        let parts = [
            Some(self.tick_at),
            self.replicated_log.due(),
            self.promotions.due(),
            self.host_requests_due(),
            self.departures.due(),
        ];
        parts.into_iter().flatten().min()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.replicated_log.snapshot(Some(self.registry_snapshot()))
    }
}

impl Control {
    fn on_connected(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        match self.connections.get(&conn) {
            Some(Connection::Peer(ip, _)) => self.on_peer_connected(now, conn, *ip, commands),
            Some(Connection::Host(host)) => self.on_host_connected(host.clone(), commands),
            Some(Connection::Platform(_)) => self.on_platform_connected(now, conn, commands),
            _ => {}
        }
    }

    fn on_received(&mut self, now: Timestamp, conn: Conn, bytes: &[u8], commands: &mut Commands) {
        match self.connections.get_mut(&conn) {
            Some(Connection::Api(connection)) => {
                connection.messages.put(bytes);
                self.process_calls(now, conn, commands);
            }
            Some(Connection::Unidentified(frames)) => {
                frames.put(bytes);
                self.identify(now, conn, commands);
            }
            Some(Connection::Peer(ip, _)) => {
                let ip = *ip;
                self.on_peer_data(now, conn, ip, bytes, commands);
            }
            Some(Connection::PendingRouter(_, frames, _)) => frames.put(bytes),
            Some(Connection::Router(router)) => {
                router.frames.put(bytes);
                self.on_router_data(now, conn, commands);
            }
            Some(Connection::Host(host)) => {
                let host = host.clone();
                self.on_host_data(now, host, bytes, commands);
            }
            Some(Connection::Platform(platform)) => {
                platform.messages.put(bytes);
                self.on_platform_data(now, conn, commands);
            }
            None => {}
        }
    }

    fn on_closed(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        match self.connections.remove(&conn) {
            Some(Connection::Peer(ip, _)) => self.on_peer_closed(conn, ip),
            Some(Connection::Host(host)) => self.on_host_closed(now, host, conn, commands),
            Some(Connection::Platform(platform)) => self.on_platform_closed(now, &platform, commands),
            _ => {}
        }
    }

    fn send(&self, conn: Conn, message: Payload, commands: &mut Commands) {
        commands.write(conn, &[&encode_payload(message)]);
    }
}
