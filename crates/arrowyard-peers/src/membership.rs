//! The membership state machine of one router: its state, received datagrams, and timers.

use std::net::SocketAddr;
use std::rc::Rc;

use arrowyard_types::{PeerId, TimeDelta, Timestamp};
use fastrand::Rng;
use prost::Message;

use crate::config::MembershipConfig;
use crate::health::LocalHealth;
use crate::member::{Member, MemberIndex, Standing};
use crate::message::{
    CHECKSUM_BYTES, Claim, Datagram, DropReason, FORMAT_VERSION, Kind, Rumor, decode, encode, hash_name,
};
use crate::probe::{Candidate, Probe, RelayedProbe};
use crate::router_count::RouterCountEstimator;
use crate::table::MemberTable;

/// Identity of this router.
#[derive(Clone, Debug)]
pub struct LocalMember {
    /// Unique name in the fleet.
    pub name: Rc<str>,
    /// Address at which other members reach it.
    pub address: SocketAddr,
    /// Incarnation: Unix time of the start in milliseconds. It is raised above any higher value that the
    /// fleet remembers.
    pub incarnation: u64,
    /// Identifies the process, to tell two processes of one name apart. The one with the lower nonce keeps
    /// the name.
    pub nonce: u64,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// Send the datagram over a connected socket and call `Membership::port_refused` if the port is
    /// unreachable, which means that no process listens there.
    CheckPort {
        to: SocketAddr,
        name: Rc<str>,
        incarnation: u64,
        bytes: Vec<u8>,
    },
}

/// Events for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    StandingChanged {
        name: Rc<str>,
        incarnation: u64,
        standing: Standing,
        reported_by: Rc<str>,
    },
    /// This router stalled for this time, so that its view is unreliable.
    Stalled(TimeDelta),
    /// This router raised its incarnation, to refute a rumor or after a stall.
    IncarnationRaised(u64),
    /// Another process has the same name. `yields` says whether this one withdraws.
    DuplicateName {
        yields: bool,
    },
    /// Part of the fleet is unreachable, or all of it is reachable again.
    Partition {
        reachable: usize,
        total: usize,
    },
}

/// Numbers of datagrams by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramCounts {
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    pub received_bytes: u64,
    pub rate_limited: u64,
    pub too_large: u64,
    pub malformed: u64,
    pub unsupported_version: u64,
    pub other_fleet: u64,
    pub disallowed_address: u64,
    /// From this process itself or an earlier incarnation, replayed, or duplicated.
    pub stale: u64,
    /// Candidates that never answered.
    pub unanswered_candidates: u64,
}

/// Token bucket that refills over time.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    rate: f64,
    capacity: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    pub fn new(rate: f64, capacity: f64, now: Timestamp) -> TokenBucket {
        TokenBucket { tokens: capacity, rate, capacity, refilled_at: now }
    }

    pub fn take(&mut self, now: Timestamp) -> bool {
        self.tokens =
            (self.tokens + (now - self.refilled_at).as_secs_f64().max(0.0) * self.rate).min(self.capacity);
        self.refilled_at = now;
        let available = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(available));
        available
    }
}

/// Membership of one router.
pub struct Membership {
    pub(crate) config: MembershipConfig,
    pub(crate) local: LocalMember,
    pub(crate) fleet_hash: u64,
    pub(crate) table: MemberTable,
    pub(crate) health: LocalHealth,
    pub(crate) rng: Rng,
    pub(crate) probes: Vec<Probe>,
    pub(crate) relays: Vec<RelayedProbe>,
    pub(crate) candidates: Vec<Candidate>,
    /// Members still to be probed in the current round of the rotation.
    pub(crate) rotation: Vec<MemberIndex>,
    /// Members that this router observes, and the table version that they were computed from.
    pub(crate) observed: (u64, Vec<MemberIndex>),
    pub(crate) next_period: Timestamp,
    pub(crate) periods: u64,
    pub(crate) next_anti_entropy: Timestamp,
    pub(crate) receive_bucket: TokenBucket,
    pub(crate) push_bucket: TokenBucket,
    /// Limits digests and pages. Separate from `push_bucket`: when many members join, urgent rumors would
    /// use up all tokens, and members that missed rumors depend on anti-entropy.
    pub(crate) anti_entropy_bucket: TokenBucket,
    pub(crate) last_heard_any: Timestamp,
    pub(crate) idle: bool,
    pub(crate) leaving: bool,
    /// Conflicts with another process of the same name within the window, and the time of the last one.
    pub(crate) name_conflicts: (u32, Timestamp),
    pub(crate) withdrawn_until: Timestamp,
    pub(crate) duplicate_name: bool,
    pub(crate) router_count_estimator: RouterCountEstimator,
    pub(crate) partition: Option<(usize, usize)>,
    last_sent_us: u64,
    pub counts: DatagramCounts,
    /// Output for the caller to take: actions, events, and messages of other members' decision modules.
    pub actions: Vec<Action>,
    pub events: Vec<Event>,
    pub app_messages: Vec<(PeerId, Vec<u8>)>,
}

impl Membership {
    /// Creates the state of a router that joins. `configured_routers` is the configured number of routers.
    #[must_use]
    pub fn new(
        now: Timestamp,
        config: MembershipConfig,
        local: LocalMember,
        configured_routers: f64,
        seed: u64,
    ) -> Membership {
        let mut rng = Rng::with_seed(seed);
        let first_period = now + config.probe_interval * (0.2 * rng.f64());
        let router_count_estimator =
            RouterCountEstimator::new(now, configured_routers, config.count_settle_time);
        Membership {
            fleet_hash: hash_name(&config.fleet),
            table: MemberTable::default(),
            health: LocalHealth::default(),
            probes: Vec::new(),
            relays: Vec::new(),
            candidates: Vec::new(),
            rotation: Vec::new(),
            observed: (u64::MAX, Vec::new()),
            next_period: first_period,
            periods: 0,
            next_anti_entropy: first_period,
            receive_bucket: TokenBucket::new(config.receive_rate, config.receive_burst, now),
            push_bucket: TokenBucket::new(config.push_rate, config.push_rate, now),
            anti_entropy_bucket: TokenBucket::new(config.anti_entropy_rate, config.anti_entropy_rate, now),
            last_heard_any: now,
            idle: false,
            leaving: false,
            name_conflicts: (0, now),
            withdrawn_until: Timestamp::DISTANT_PAST,
            duplicate_name: false,
            router_count_estimator,
            partition: None,
            last_sent_us: 0,
            counts: DatagramCounts::default(),
            actions: Vec::new(),
            events: Vec::new(),
            app_messages: Vec::new(),
            rng,
            config,
            local,
        }
    }

    /// Identity of this router.
    #[must_use]
    pub fn local(&self) -> &LocalMember {
        &self.local
    }

    /// When `tick` is due.
    #[must_use]
    pub fn next_deadline(&self) -> Timestamp {
        let probes = self.probes.iter().map(|probe| probe.next_step_at);
        let relays = self.relays.iter().map(|relay| relay.deadline);
        probes.chain(relays).fold(self.next_period, Timestamp::min)
    }

    /// Advances timers and probes.
    pub fn tick(&mut self, now: Timestamp) {
        let delay = now - self.next_deadline();
        let (stall_threshold, period) = (self.config.stall_threshold, self.config.probe_interval);
        if self.health.record_delay(now, delay, stall_threshold, period) {
            self.resume_after_stall(now, delay);
        }
        self.advance_probes(now);
        self.expire_relays(now);
        if now >= self.next_period {
            self.next_period = now + period * (0.9 + 0.2 * self.rng.f64());
            self.periods += 1;
            self.run_period(now);
        }
    }

    /// Recovers from a stall. Probes failed because of this router itself, and its view is old. Open probes
    /// are dropped, no member is suspected for a while, and a higher incarnation is announced at once to
    /// refute rumors that arose meanwhile.
    fn resume_after_stall(&mut self, now: Timestamp, delay: TimeDelta) {
        self.probes.clear();
        self.relays.clear();
        self.last_heard_any = now;
        self.router_count_estimator.restart_window(now);
        self.events.push(Event::Stalled(delay));
        self.next_period = now;
        self.next_anti_entropy = now;
        self.raise_incarnation();
        self.push_rumor(now, None);
    }

    pub(crate) fn raise_incarnation(&mut self) {
        self.local.incarnation += 1;
        self.events.push(Event::IncarnationRaised(self.local.incarnation));
    }

    /// Announces whether this router serves ops.
    pub fn set_idle(&mut self, now: Timestamp, idle: bool) {
        if self.idle != idle {
            self.idle = idle;
            self.raise_incarnation();
            self.push_rumor(now, None);
        }
    }

    /// Announces a planned shutdown to several members, since a datagram may be lost.
    pub fn leave(&mut self, now: Timestamp) {
        self.leaving = true;
        for member_index in
            self.table.sample(&mut self.rng, 8, &[], |member| member.standing == Standing::Alive)
        {
            self.send_message(now, member_index, Kind::Gossip, 0, "", None);
        }
    }

    /// Sends a message of the decision module to some members, who do not forward it.
    pub fn broadcast(&mut self, now: Timestamp, bytes: &[u8]) {
        if bytes.len() > crate::message::MAX_APP_MESSAGE_BYTES {
            return;
        }
        for member_index in self.table.sample(&mut self.rng, self.config.urgent_fanout, &[], |member| {
            member.standing == Standing::Alive
        }) {
            if self.push_bucket.take(now) {
                let datagram =
                    Datagram { app_message: bytes.to_vec(), ..self.new_datagram(now, Kind::AppMessage) };
                self.send_to_member(member_index, datagram);
            }
        }
    }

    /// Processes a datagram received from this address.
    pub fn receive(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]) {
        // Datagrams beyond the rate are dropped unread, so that a flood does not take the thread from ops.
        if !self.receive_bucket.take(now) {
            self.counts.rate_limited += 1;
            return;
        }
        let datagram = match decode(bytes, self.config.max_datagram_bytes, self.fleet_hash) {
            Ok(datagram) => datagram,
            Err(reason) => return self.count_drop(reason),
        };
        let address = datagram.address.parse().ok().filter(|&address| self.config.allows_address(address));
        let Some(address) = address.filter(|_| self.config.allows_address(from)) else {
            return self.count_drop(DropReason::DisallowedAddress);
        };
        if *datagram.from == *self.local.name {
            if datagram.nonce == self.local.nonce {
                self.counts.stale += 1;
            } else {
                self.handle_duplicate_name(now, datagram.incarnation, datagram.nonce);
                // The other process has to learn of this one, too.
                if self.push_bucket.take(now) {
                    let datagram = self.new_datagram(now, Kind::Gossip);
                    self.send(from, &datagram);
                }
            }
            return;
        }
        self.counts.received += 1;
        self.counts.received_bytes += bytes.len() as u64;
        let open_probe =
            |membership: &Membership| membership.probes.iter().position(|probe| probe.seq == datagram.seq);
        let acks_open_probe = datagram.kind() == Kind::Ack && open_probe(self).is_some();
        self.handle_sender(now, &datagram, address, from, acks_open_probe);
        let reporter: Rc<str> = self
            .table
            .by_name(&datagram.from)
            .map_or_else(|| (&*datagram.from).into(), |member| member.name.clone());
        for rumor in &datagram.rumors {
            self.handle_rumor(now, rumor, &reporter);
        }
        match datagram.kind() {
            Kind::Ping => self.send_ack(now, from, &datagram),
            Kind::Ack => {
                // A new incarnation of the sender may have removed the probe.
                match open_probe(self) {
                    Some(probe) => self.handle_ack(now, probe, &datagram),
                    None if acks_open_probe => {}
                    None => self.forward_ack(now, &datagram),
                }
            }
            Kind::Nack => {
                self.probes
                    .iter_mut()
                    .filter(|probe| probe.seq == datagram.seq)
                    .for_each(|probe| probe.nacked = true);
            }
            Kind::IndirectPing => self.relay_ping(now, from, &datagram),
            Kind::Digest => self.compare_digest(now, from, &datagram),
            Kind::Page => self.handle_page(now, from, &datagram),
            Kind::AppMessage => {
                if let Some(member_index) = self.table.index_of(&datagram.from) {
                    self.app_messages.push((PeerId(member_index.0), datagram.app_message));
                }
            }
            Kind::Gossip | Kind::None => {}
        }
    }

    fn count_drop(&mut self, reason: DropReason) {
        let counts = &mut self.counts;
        *match reason {
            DropReason::TooLarge => &mut counts.too_large,
            DropReason::Malformed => &mut counts.malformed,
            DropReason::UnsupportedVersion => &mut counts.unsupported_version,
            DropReason::OtherFleet => &mut counts.other_fleet,
            DropReason::DisallowedAddress => &mut counts.disallowed_address,
        } += 1;
    }

    /// A datagram with its header filled in.
    pub(crate) fn new_datagram(&mut self, now: Timestamp, kind: Kind) -> Datagram {
        self.last_sent_us = (now.micros().max(1) as u64).max(self.last_sent_us + 1);
        Datagram {
            version: FORMAT_VERSION,
            min_version: 1,
            fleet_hash: self.fleet_hash,
            from: self.local.name.to_string(),
            incarnation: self.local.incarnation,
            nonce: self.local.nonce,
            address: self.local.address.to_string(),
            kind: kind as i32,
            idle: self.idle,
            leaving: self.leaving,
            sent_us: self.last_sent_us,
            ..Datagram::default()
        }
    }

    /// Fills the remaining space with `about` and pending rumors.
    pub(crate) fn piggyback_rumors(&mut self, datagram: &mut Datagram, about: Option<Rumor>) {
        let mut remaining_bytes =
            self.config.max_datagram_bytes.saturating_sub(datagram.encoded_len() + CHECKSUM_BYTES);
        let mut try_push = |datagram: &mut Datagram, rumor: Rumor| {
            let length = rumor.encoded_len() + 3;
            let fits = length <= remaining_bytes;
            if fits {
                remaining_bytes -= length;
                datagram.rumors.push(rumor);
            }
            fits
        };
        if let Some(about) = about {
            try_push(datagram, about);
        }
        for _ in 0..self.table.pending_rumors().min(8) {
            let Some(member_index) = self.table.next_rumor() else { break };
            let Some(rumor) = self.table.get(member_index).map(Member::rumor) else { continue };
            if !try_push(datagram, rumor) {
                break;
            }
        }
    }

    pub(crate) fn send(&mut self, to: SocketAddr, datagram: &Datagram) {
        if self.withdrawn_until > Timestamp::from_micros(datagram.sent_us as i64) {
            return;
        }
        let bytes = encode(datagram);
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.actions.push(Action::Send { to, bytes });
    }

    pub(crate) fn member_address(&self, member_index: MemberIndex) -> Option<SocketAddr> {
        self.table.get(member_index).map(|member| self.config.reachable_address(&member.name, member.address))
    }

    pub(crate) fn send_to_member(&mut self, member_index: MemberIndex, datagram: Datagram) {
        if let Some(to) = self.member_address(member_index) {
            self.send(to, &datagram);
        }
    }

    /// Sends a datagram with piggybacked rumors to a member. A rumor against the recipient goes first, so
    /// that it can refute it.
    pub(crate) fn send_message(
        &mut self,
        now: Timestamp,
        member_index: MemberIndex,
        kind: Kind,
        seq: u64,
        subject: &str,
        rumor: Option<Rumor>,
    ) {
        let rumor_about_recipient = self
            .table
            .get(member_index)
            .filter(|member| member.standing != Standing::Alive || !member.suspected_by.is_empty());
        let rumor_about_recipient = rumor_about_recipient.map(|member| {
            let mut rumor = member.rumor();
            if rumor.claim() == Claim::Alive {
                rumor.claim = Claim::Suspect as i32;
            }
            rumor
        });
        let mut datagram = Datagram { seq, subject: subject.to_string(), ..self.new_datagram(now, kind) };
        self.piggyback_rumors(&mut datagram, rumor.or(rumor_about_recipient));
        self.send_to_member(member_index, datagram);
    }

    /// Pushes an urgent rumor to some members. Each forwards it on first receipt, so that it reaches all in
    /// a logarithmic number of steps; a token bucket bounds the cost.
    pub(crate) fn push_rumor(&mut self, now: Timestamp, subject: Option<MemberIndex>) {
        let excluded: Vec<MemberIndex> = subject.into_iter().collect();
        for member_index in self.table.sample(&mut self.rng, self.config.urgent_fanout, &excluded, |member| {
            member.standing == Standing::Alive
        }) {
            if !self.push_bucket.take(now) {
                return;
            }
            let rumor = subject.and_then(|member_index| self.table.get(member_index)).map(Member::rumor);
            self.send_message(now, member_index, Kind::Gossip, 0, "", rumor);
        }
    }

    /// How often a rumor is sent: proportional to the logarithm of the number of members.
    pub(crate) fn retransmit_limit(&self) -> u8 {
        (3.0 * ((self.table.live().len() + 2) as f64).log2()).ceil().clamp(4.0, 60.0) as u8
    }

    /// Changes the standing of a member.
    pub(crate) fn set_standing(
        &mut self,
        now: Timestamp,
        member_index: MemberIndex,
        standing: Standing,
        reporter: &Rc<str>,
    ) {
        let changed = self.table.update(member_index, |member| {
            let previous = member.standing;
            member.suspicion_count += u32::from(previous == Standing::Alive && standing != Standing::Left);
            if previous != standing {
                member.standing_since = now;
            }
            (member.standing, member.reported_by) = (standing, reporter.clone());
            if standing == Standing::Alive {
                member.suspected_by.clear();
                member.refused_by.clear();
            }
            (previous != standing).then(|| (member.name.clone(), member.incarnation))
        });
        let Some(Some((name, incarnation))) = changed else { return };
        self.events.push(Event::StandingChanged {
            name,
            incarnation,
            standing,
            reported_by: reporter.clone(),
        });
        let transmissions = self.retransmit_limit();
        self.table.queue_rumor(member_index, transmissions);
        self.push_rumor(now, Some(member_index));
    }
}
