//! One router's part in the fleet: what it holds, what it is told, and what it does as time passes.

use std::net::SocketAddr;
use std::rc::Rc;

use arrowyard_types::{PeerId, TimeDelta, Timestamp};
use fastrand::Rng;
use prost::Message;

use crate::config::MembershipConfig;
use crate::health::LocalHealth;
use crate::member::{Member, Slot, Standing};
use crate::message::{
    CHECKSUM_BYTES, Claim, Datagram, DropReason, FORMAT_VERSION, Kind, Rumor, decode, encode, hash_name,
};
use crate::probe::{Candidate, Probe, RelayedProbe};
use crate::router_count::RouterCountEstimator;
use crate::table::MemberTable;

/// Who this router is.
#[derive(Clone, Debug)]
pub struct LocalMember {
    pub name: Rc<str>,
    /// Where the others reach it.
    pub address: SocketAddr,
    /// Of its start: Unix time in milliseconds. It is raised where the fleet remembers a later one.
    pub incarnation: u64,
    /// Drawn at the start: two processes of one name are told apart by it. The one with the lesser keeps the name.
    pub nonce: u64,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// Whether the machine there refuses datagrams, which says that nobody listens: a send over a connected socket, and
    /// `Fleet::refused` if so.
    CheckPort {
        to: SocketAddr,
        name: Rc<str>,
        incarnation: u64,
        bytes: Vec<u8>,
    },
}

/// What operators want to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    StandingChanged {
        name: Rc<str>,
        incarnation: u64,
        standing: Standing,
        reported_by: Rc<str>,
    },
    /// This router was away for so long: all that it held true is in doubt.
    Stalled(TimeDelta),
    /// Its life was raised: somebody doubted it, or it was away.
    IncarnationRaised(u64),
    /// Another process has the same name, and this one gives way.
    DuplicateName {
        yields: bool,
    },
    /// It is in a part of the fleet: so many in reach of so many.
    Partition {
        reachable: usize,
        total: usize,
    },
}

/// Datagrams by what became of them.
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
    /// Of this process itself or of a former life; doubled or replayed.
    pub stale: u64,
    /// Candidates that never answered.
    pub unanswered_candidates: u64,
}

/// A bucket that fills with time.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    rate: f64,
    capacity: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    pub fn new(rate: f64, most: f64, at: Timestamp) -> TokenBucket {
        TokenBucket { tokens: most, rate, capacity: most, refilled_at: at }
    }

    pub fn take(&mut self, now: Timestamp) -> bool {
        self.tokens =
            (self.tokens + (now - self.refilled_at).as_secs_f64().max(0.0) * self.rate).min(self.capacity);
        self.refilled_at = now;
        let there = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(there));
        there
    }
}

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
    /// Members that are asked in turn.
    pub(crate) rotation: Vec<Slot>,
    /// Those that this router observes, and when the table was looked at for that.
    pub(crate) observed: (u64, Vec<Slot>),
    pub(crate) next_period: Timestamp,
    pub(crate) periods: u64,
    pub(crate) next_exchange: Timestamp,
    pub(crate) receive_bucket: TokenBucket,
    pub(crate) push_bucket: TokenBucket,
    /// Of digests and pages. Danger: with urgent news they share nothing, since a start of many is full of news, and
    /// whoever missed some has only the exchange to learn it by.
    pub(crate) exchange_bucket: TokenBucket,
    pub(crate) last_heard_any: Timestamp,
    pub(crate) idle: bool,
    pub(crate) leaving: bool,
    /// Raised against another process of its name: how often lately, and when last.
    pub(crate) name_conflicts: (u32, Timestamp),
    pub(crate) withdrawn_until: Timestamp,
    pub(crate) duplicate_name: bool,
    pub(crate) router_count_estimator: RouterCountEstimator,
    pub(crate) partition: Option<(usize, usize)>,
    last_sent_us: u64,
    pub counts: DatagramCounts,
    /// What is to be done, what happened, and what the others' modules told; taken by the caller.
    pub actions: Vec<Action>,
    pub events: Vec<Event>,
    pub app_messages: Vec<(PeerId, Vec<u8>)>,
}

impl Membership {
    /// `settings` is the number of routers that the platform names.
    #[must_use]
    pub fn new(
        now: Timestamp,
        terms: MembershipConfig,
        me: LocalMember,
        settings: f64,
        seed: u64,
    ) -> Membership {
        let mut rng = Rng::with_seed(seed);
        let first = now + terms.probe_interval * (0.2 * rng.f64());
        let reckoner = RouterCountEstimator::new(now, settings, terms.count_settle_time);
        Membership {
            fleet_hash: hash_name(&terms.fleet),
            table: MemberTable::default(),
            health: LocalHealth::default(),
            probes: Vec::new(),
            relays: Vec::new(),
            candidates: Vec::new(),
            rotation: Vec::new(),
            observed: (u64::MAX, Vec::new()),
            next_period: first,
            periods: 0,
            next_exchange: first,
            receive_bucket: TokenBucket::new(terms.receive_rate, terms.receive_burst, now),
            push_bucket: TokenBucket::new(terms.push_rate, terms.push_rate, now),
            exchange_bucket: TokenBucket::new(terms.exchange_rate, terms.exchange_rate, now),
            last_heard_any: now,
            idle: false,
            leaving: false,
            name_conflicts: (0, now),
            withdrawn_until: Timestamp::DISTANT_PAST,
            duplicate_name: false,
            router_count_estimator: reckoner,
            partition: None,
            last_sent_us: 0,
            counts: DatagramCounts::default(),
            actions: Vec::new(),
            events: Vec::new(),
            app_messages: Vec::new(),
            rng,
            config: terms,
            local: me,
        }
    }

    #[must_use]
    pub fn local(&self) -> &LocalMember {
        &self.local
    }

    /// When time has something to do next.
    #[must_use]
    pub fn next_deadline(&self) -> Timestamp {
        let asks = self.probes.iter().map(|ask| ask.next_step_at);
        let relays = self.relays.iter().map(|relay| relay.deadline);
        asks.chain(relays).fold(self.next_period, Timestamp::min)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Timestamp) {
        let late = now - self.next_deadline();
        let (away, period) = (self.config.stall_threshold, self.config.probe_interval);
        if self.health.record_delay(now, late, away, period) {
            self.resume_after_stall(now, late);
        }
        self.advance_probes(now);
        self.expire_relays(now);
        if now >= self.next_period {
            self.next_period = now + period * (0.9 + 0.2 * self.rng.f64());
            self.periods += 1;
            self.run_period(now);
        }
    }

    /// The thread was away. Danger: what it asked before went unanswered because of itself, and what it held of the
    /// others is old. So all open questions are void, it declares nobody silent for a while, and it tells at once that it
    /// lives, by a later life than any that somebody gave up meanwhile.
    fn resume_after_stall(&mut self, now: Timestamp, late: TimeDelta) {
        self.probes.clear();
        self.relays.clear();
        self.last_heard_any = now;
        self.router_count_estimator.restart_window(now);
        self.events.push(Event::Stalled(late));
        self.next_period = now;
        self.next_exchange = now;
        self.raise_incarnation();
        self.push_rumor(now, None);
    }

    pub(crate) fn raise_incarnation(&mut self) {
        self.local.incarnation += 1;
        self.events.push(Event::IncarnationRaised(self.local.incarnation));
    }

    /// This router lives, and serves nobody; or serves again.
    pub fn set_idle(&mut self, now: Timestamp, idle: bool) {
        if self.idle != idle {
            self.idle = idle;
            self.raise_incarnation();
            self.push_rumor(now, None);
        }
    }

    /// It ends as planned. Said to several, since each datagram may be lost.
    pub fn leave(&mut self, now: Timestamp) {
        self.leaving = true;
        for slot in self.table.sample(&mut self.rng, 8, &[], |one| one.standing == Standing::Alive) {
            self.send_message(now, slot, Kind::Gossip, 0, "", None);
        }
    }

    /// What the decision module wants all to know: passed to some members, who do not pass it on.
    pub fn broadcast(&mut self, now: Timestamp, bytes: &[u8]) {
        if bytes.len() > crate::message::MAX_APP_MESSAGE_BYTES {
            return;
        }
        for slot in self
            .table
            .sample(&mut self.rng, self.config.urgent_fanout, &[], |one| one.standing == Standing::Alive)
        {
            if self.push_bucket.take(now) {
                let datagram =
                    Datagram { app_message: bytes.to_vec(), ..self.new_datagram(now, Kind::AppMessage) };
                self.send_to_member(slot, datagram);
            }
        }
    }

    /// A datagram came from there.
    pub fn receive(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]) {
        // Danger: a flood takes the thread from the ops. What is beyond the rate is not even read.
        if !self.receive_bucket.take(now) {
            self.counts.rate_limited += 1;
            return;
        }
        let datagram = match decode(bytes, self.config.max_datagram_bytes, self.fleet_hash) {
            Ok(datagram) => datagram,
            Err(why) => return self.count_drop(why),
        };
        let at = datagram.address.parse().ok().filter(|&at| self.config.allows_address(at));
        let Some(at) = at.filter(|_| self.config.allows_address(from)) else {
            return self.count_drop(DropReason::DisallowedAddress);
        };
        if *datagram.from == *self.local.name {
            if datagram.nonce == self.local.nonce {
                self.counts.stale += 1;
            } else {
                self.handle_duplicate_name(now, datagram.incarnation, datagram.nonce);
                // The other one has to hear of this one, too.
                if self.push_bucket.take(now) {
                    let bytes = self.new_datagram(now, Kind::Gossip);
                    self.send(from, &bytes);
                }
            }
            return;
        }
        self.counts.received += 1;
        self.counts.received_bytes += bytes.len() as u64;
        let open = |fleet: &Membership| fleet.probes.iter().position(|ask| ask.seq == datagram.seq);
        let answers = datagram.kind() == Kind::Ack && open(self).is_some();
        self.handle_sender(now, &datagram, at, from, answers);
        let by: Rc<str> = self
            .table
            .by_name(&datagram.from)
            .map_or_else(|| (&*datagram.from).into(), |one| one.name.clone());
        for rumor in &datagram.rumors {
            self.handle_rumor(now, rumor, &by);
        }
        match datagram.kind() {
            Kind::Ping => self.send_ack(now, from, &datagram),
            Kind::Ack => {
                // A later life of the sender may have voided the question meanwhile.
                match open(self) {
                    Some(ask) => self.handle_ack(now, ask, &datagram),
                    None if answers => {}
                    None => self.forward_ack(now, &datagram),
                }
            }
            Kind::Nack => {
                self.probes
                    .iter_mut()
                    .filter(|ask| ask.seq == datagram.seq)
                    .for_each(|ask| ask.nacked = true);
            }
            Kind::IndirectPing => self.relay_ping(now, from, &datagram),
            Kind::Digest => self.compare_digest(now, from, &datagram),
            Kind::Page => self.handle_page(now, from, &datagram),
            Kind::AppMessage => {
                if let Some(slot) = self.table.slot(&datagram.from) {
                    self.app_messages.push((PeerId(slot.0), datagram.app_message));
                }
            }
            Kind::Gossip | Kind::None => {}
        }
    }

    fn count_drop(&mut self, why: DropReason) {
        let counts = &mut self.counts;
        *match why {
            DropReason::TooLarge => &mut counts.too_large,
            DropReason::Malformed => &mut counts.malformed,
            DropReason::UnsupportedVersion => &mut counts.unsupported_version,
            DropReason::OtherFleet => &mut counts.other_fleet,
            DropReason::DisallowedAddress => &mut counts.disallowed_address,
        } += 1;
    }

    /// The head of a datagram.
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

    /// Fills the rest of a datagram with news.
    pub(crate) fn piggyback_rumors(&mut self, datagram: &mut Datagram, about: Option<Rumor>) {
        let mut room = self.config.max_datagram_bytes.saturating_sub(datagram.encoded_len() + CHECKSUM_BYTES);
        let mut put = |datagram: &mut Datagram, rumor: Rumor| {
            let length = rumor.encoded_len() + 3;
            let fits = length <= room;
            if fits {
                room -= length;
                datagram.rumors.push(rumor);
            }
            fits
        };
        if let Some(about) = about {
            put(datagram, about);
        }
        for _ in 0..self.table.pending_rumors().min(8) {
            let Some(slot) = self.table.next_rumor() else { break };
            let Some(rumor) = self.table.get(slot).map(Member::rumor) else { continue };
            if !put(datagram, rumor) {
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

    pub(crate) fn member_address(&self, slot: Slot) -> Option<SocketAddr> {
        self.table.get(slot).map(|one| self.config.reachable_address(&one.name, one.address))
    }

    pub(crate) fn send_to_member(&mut self, slot: Slot, datagram: Datagram) {
        if let Some(to) = self.member_address(slot) {
            self.send(to, &datagram);
        }
    }

    /// A datagram to a member, filled with news; what is held against it goes first, so that it can speak for itself.
    pub(crate) fn send_message(
        &mut self,
        now: Timestamp,
        slot: Slot,
        kind: Kind,
        seq: u64,
        about: &str,
        of: Option<Rumor>,
    ) {
        let against =
            self.table.get(slot).filter(|one| one.standing != Standing::Alive || !one.accusers.is_empty());
        let against = against.map(|one| {
            let mut rumor = one.rumor();
            if rumor.claim() == Claim::Alive {
                rumor.claim = Claim::Suspect as i32;
            }
            rumor
        });
        let mut datagram = Datagram { seq, subject: about.to_string(), ..self.new_datagram(now, kind) };
        self.piggyback_rumors(&mut datagram, of.or(against));
        self.send_to_member(slot, datagram);
    }

    /// News that others should hear at once. Each member passes it on when it first hears of it, so that it is everywhere
    /// after a few steps; a bucket bounds what that costs.
    pub(crate) fn push_rumor(&mut self, now: Timestamp, of: Option<Slot>) {
        let but: Vec<Slot> = of.into_iter().collect();
        for slot in self
            .table
            .sample(&mut self.rng, self.config.urgent_fanout, &but, |one| one.standing == Standing::Alive)
        {
            if !self.push_bucket.take(now) {
                return;
            }
            let rumor = of.and_then(|of| self.table.get(of)).map(Member::rumor);
            self.send_message(now, slot, Kind::Gossip, 0, "", rumor);
        }
    }

    /// How often news is passed on: with the logarithm of the members.
    pub(crate) fn retransmit_limit(&self) -> u8 {
        (3.0 * ((self.table.live().len() + 2) as f64).log2()).ceil().clamp(4.0, 60.0) as u8
    }

    /// A member stands differently from now on.
    pub(crate) fn set_standing(&mut self, now: Timestamp, slot: Slot, standing: Standing, by: &Rc<str>) {
        let changed = self.table.update(slot, |one| {
            let was = one.standing;
            one.suspicion_count += u32::from(was == Standing::Alive && standing != Standing::Left);
            if was != standing {
                one.standing_since = now;
            }
            (one.standing, one.reported_by) = (standing, by.clone());
            if standing == Standing::Alive {
                one.accusers.clear();
                one.refused_by.clear();
            }
            (was != standing).then(|| (one.name.clone(), one.incarnation))
        });
        let Some(Some((name, life))) = changed else { return };
        self.events.push(Event::StandingChanged {
            name,
            incarnation: life,
            standing,
            reported_by: by.clone(),
        });
        let times = self.retransmit_limit();
        self.table.queue_rumor(slot, times);
        self.push_rumor(now, Some(slot));
    }
}
