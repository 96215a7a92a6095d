//! One router's part in the fleet: what it holds, what it is told, and what it does as time passes.

use std::net::SocketAddr;
use std::rc::Rc;

use arrowyard_types::{PeerId, TimeDelta, Timestamp};
use fastrand::Rng;
use prost::Message;

use crate::health::Health;
use crate::member::{Member, Slot, Standing};
use crate::message::{CHECK, Claim, Datagram, Dropped, FORM, Kind, Rumor, mark, read, write};
use crate::probe::{Ask, Candidate, Relay};
use crate::reckon::Reckoner;
use crate::table::Table;
use crate::terms::Terms;

/// Who this router is.
#[derive(Clone, Debug)]
pub struct Me {
    pub name: Rc<str>,
    /// Where the others reach it.
    pub at: SocketAddr,
    /// Of its start: Unix time in milliseconds. It is raised where the fleet remembers a later one.
    pub life: u64,
    /// Drawn at the start: two processes of one name are told apart by it. The one with the lesser keeps the name.
    pub nonce: u64,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Deed {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// Whether the machine there refuses datagrams, which says that nobody listens: a send over a connected socket, and
    /// `Fleet::refused` if so.
    Look {
        to: SocketAddr,
        name: Rc<str>,
        life: u64,
        bytes: Vec<u8>,
    },
}

/// What operators want to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    Stands {
        name: Rc<str>,
        life: u64,
        standing: Standing,
        by: Rc<str>,
    },
    /// This router was away for so long: all that it held true is in doubt.
    Away(TimeDelta),
    /// Its life was raised: somebody doubted it, or it was away.
    Renewed(u64),
    /// Another process has the same name, and this one gives way.
    Doubled {
        gives_way: bool,
    },
    /// It is in a part of the fleet: so many in reach of so many.
    Part {
        reach: usize,
        whole: usize,
    },
}

/// Datagrams by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub sent: u64,
    pub sent_bytes: u64,
    pub taken: u64,
    pub taken_bytes: u64,
    pub flood: u64,
    pub too_large: u64,
    pub garbled: u64,
    pub newer: u64,
    pub foreign: u64,
    pub outside: u64,
    /// Of this process itself or of a former life; doubled or replayed.
    pub stale: u64,
    /// Candidates that never answered.
    pub unmet: u64,
}

/// A bucket that fills with time.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    level: f64,
    rate: f64,
    most: f64,
    at: Timestamp,
}

impl Bucket {
    pub fn new(rate: f64, most: f64, at: Timestamp) -> Bucket {
        Bucket { level: most, rate, most, at }
    }

    pub fn take(&mut self, now: Timestamp) -> bool {
        self.level = (self.level + (now - self.at).as_secs_f64().max(0.0) * self.rate).min(self.most);
        self.at = now;
        let there = self.level >= 1.0;
        self.level -= f64::from(u8::from(there));
        there
    }
}

pub struct Fleet {
    pub(crate) terms: Terms,
    pub(crate) me: Me,
    pub(crate) fleet: u64,
    pub(crate) table: Table,
    pub(crate) health: Health,
    pub(crate) rng: Rng,
    pub(crate) asks: Vec<Ask>,
    pub(crate) relays: Vec<Relay>,
    pub(crate) candidates: Vec<Candidate>,
    /// Members that are asked in turn.
    pub(crate) turn: Vec<Slot>,
    /// Those that this router observes, and when the table was looked at for that.
    pub(crate) observed: (u64, Vec<Slot>),
    pub(crate) next_period: Timestamp,
    pub(crate) periods: u64,
    pub(crate) next_exchange: Timestamp,
    pub(crate) reads: Bucket,
    pub(crate) pushes: Bucket,
    /// Of digests and pages. Danger: with urgent news they share nothing, since a start of many is full of news, and
    /// whoever missed some has only the exchange to learn it by.
    pub(crate) exchanges: Bucket,
    pub(crate) heard_any: Timestamp,
    pub(crate) idle: bool,
    pub(crate) leaves: bool,
    /// Raised against another process of its name: how often lately, and when last.
    pub(crate) raised: (u32, Timestamp),
    pub(crate) withdrawn_till: Timestamp,
    pub(crate) doubled: bool,
    pub(crate) reckoner: Reckoner,
    pub(crate) part: Option<(usize, usize)>,
    last_sent: u64,
    pub counts: Counts,
    /// What is to be done, what happened, and what the others' modules told; taken by the caller.
    pub deeds: Vec<Deed>,
    pub events: Vec<Event>,
    pub told: Vec<(PeerId, Vec<u8>)>,
}

impl Fleet {
    /// `settings` is the number of routers that the platform names.
    #[must_use]
    pub fn start(now: Timestamp, terms: Terms, me: Me, settings: f64, seed: u64) -> Fleet {
        let mut rng = Rng::with_seed(seed);
        let first = now + terms.period * (0.2 * rng.f64());
        let reckoner = Reckoner::new(now, settings, terms.settle);
        Fleet {
            fleet: mark(&terms.fleet),
            table: Table::default(),
            health: Health::default(),
            asks: Vec::new(),
            relays: Vec::new(),
            candidates: Vec::new(),
            turn: Vec::new(),
            observed: (u64::MAX, Vec::new()),
            next_period: first,
            periods: 0,
            next_exchange: first,
            reads: Bucket::new(terms.reads, terms.burst, now),
            pushes: Bucket::new(terms.pushes, terms.pushes, now),
            exchanges: Bucket::new(terms.exchanges, terms.exchanges, now),
            heard_any: now,
            idle: false,
            leaves: false,
            raised: (0, now),
            withdrawn_till: Timestamp::DISTANT_PAST,
            doubled: false,
            reckoner,
            part: None,
            last_sent: 0,
            counts: Counts::default(),
            deeds: Vec::new(),
            events: Vec::new(),
            told: Vec::new(),
            rng,
            terms,
            me,
        }
    }

    #[must_use]
    pub fn me(&self) -> &Me {
        &self.me
    }

    /// When time has something to do next.
    #[must_use]
    pub fn next_at(&self) -> Timestamp {
        let asks = self.asks.iter().map(|ask| ask.next);
        let relays = self.relays.iter().map(|relay| relay.until);
        asks.chain(relays).fold(self.next_period, Timestamp::min)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Timestamp) {
        let late = now - self.next_at();
        let (away, period) = (self.terms.away, self.terms.period);
        if self.health.late(now, late, away, period) {
            self.woke(now, late);
        }
        self.asked(now);
        self.relayed(now);
        if now >= self.next_period {
            self.next_period = now + period * (0.9 + 0.2 * self.rng.f64());
            self.periods += 1;
            self.period(now);
        }
    }

    /// The thread was away. Danger: what it asked before went unanswered because of itself, and what it held of the
    /// others is old. So all open questions are void, it declares nobody silent for a while, and it tells at once that it
    /// lives, by a later life than any that somebody gave up meanwhile.
    fn woke(&mut self, now: Timestamp, late: TimeDelta) {
        self.asks.clear();
        self.relays.clear();
        self.heard_any = now;
        self.reckoner.unsettle(now);
        self.events.push(Event::Away(late));
        self.next_period = now;
        self.next_exchange = now;
        self.renew();
        self.push_to_some(now, None);
    }

    pub(crate) fn renew(&mut self) {
        self.me.life += 1;
        self.events.push(Event::Renewed(self.me.life));
    }

    /// This router lives, and serves nobody; or serves again.
    pub fn set_idle(&mut self, now: Timestamp, idle: bool) {
        if self.idle != idle {
            self.idle = idle;
            self.renew();
            self.push_to_some(now, None);
        }
    }

    /// It ends as planned. Said to several, since each datagram may be lost.
    pub fn leave(&mut self, now: Timestamp) {
        self.leaves = true;
        for slot in self.table.draw(&mut self.rng, 8, &[], |one| one.standing == Standing::Alive) {
            self.send_to(now, slot, Kind::Gossip, 0, "", None);
        }
    }

    /// What the decision module wants all to know: passed to some members, who do not pass it on.
    pub fn tell(&mut self, now: Timestamp, bytes: &[u8]) {
        if bytes.len() > crate::message::TELL {
            return;
        }
        for slot in
            self.table.draw(&mut self.rng, self.terms.urgent, &[], |one| one.standing == Standing::Alive)
        {
            if self.pushes.take(now) {
                let datagram = Datagram { tell: bytes.to_vec(), ..self.head(now, Kind::Tell) };
                self.post(slot, datagram);
            }
        }
    }

    /// A datagram came from there.
    pub fn heard(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]) {
        // Danger: a flood takes the thread from the ops. What is beyond the rate is not even read.
        if !self.reads.take(now) {
            self.counts.flood += 1;
            return;
        }
        let datagram = match read(bytes, self.terms.datagram, self.fleet) {
            Ok(datagram) => datagram,
            Err(why) => return self.dropped(why),
        };
        let at = datagram.at.parse().ok().filter(|&at| self.terms.allows(at));
        let Some(at) = at.filter(|_| self.terms.allows(from)) else {
            return self.dropped(Dropped::Outside);
        };
        if *datagram.from == *self.me.name {
            if datagram.nonce == self.me.nonce {
                self.counts.stale += 1;
            } else {
                self.claimed(now, datagram.life, datagram.nonce);
                // The other one has to hear of this one, too.
                if self.pushes.take(now) {
                    let bytes = self.head(now, Kind::Gossip);
                    self.emit(from, &bytes);
                }
            }
            return;
        }
        self.counts.taken += 1;
        self.counts.taken_bytes += bytes.len() as u64;
        let open = |fleet: &Fleet| fleet.asks.iter().position(|ask| ask.seq == datagram.seq);
        let answers = datagram.kind() == Kind::Ack && open(self).is_some();
        self.sender(now, &datagram, at, from, answers);
        let by: Rc<str> =
            self.table.of(&datagram.from).map_or_else(|| (&*datagram.from).into(), |one| one.name.clone());
        for rumor in &datagram.rumors {
            self.rumor(now, rumor, &by);
        }
        match datagram.kind() {
            Kind::Ping => self.answer(now, from, &datagram),
            Kind::Ack => {
                // A later life of the sender may have voided the question meanwhile.
                match open(self) {
                    Some(ask) => self.acked(now, ask, &datagram),
                    None if answers => {}
                    None => self.relay_acked(now, &datagram),
                }
            }
            Kind::Nack => {
                self.asks.iter_mut().filter(|ask| ask.seq == datagram.seq).for_each(|ask| ask.nacked = true);
            }
            Kind::PingFor => self.help(now, from, &datagram),
            Kind::Digest => self.compare(now, from, &datagram),
            Kind::Page => self.paged(now, from, &datagram),
            Kind::Tell => {
                if let Some(slot) = self.table.slot(&datagram.from) {
                    self.told.push((PeerId(slot.0), datagram.tell));
                }
            }
            Kind::Gossip | Kind::None => {}
        }
    }

    fn dropped(&mut self, why: Dropped) {
        let counts = &mut self.counts;
        *match why {
            Dropped::TooLarge => &mut counts.too_large,
            Dropped::Garbled => &mut counts.garbled,
            Dropped::Newer => &mut counts.newer,
            Dropped::Foreign => &mut counts.foreign,
            Dropped::Outside => &mut counts.outside,
        } += 1;
    }

    /// The head of a datagram.
    pub(crate) fn head(&mut self, now: Timestamp, kind: Kind) -> Datagram {
        self.last_sent = (now.micros().max(1) as u64).max(self.last_sent + 1);
        Datagram {
            form: FORM,
            least: 1,
            fleet: self.fleet,
            from: self.me.name.to_string(),
            life: self.me.life,
            nonce: self.me.nonce,
            at: self.me.at.to_string(),
            kind: kind as i32,
            idle: self.idle,
            leaves: self.leaves,
            sent: self.last_sent,
            ..Datagram::default()
        }
    }

    /// Fills the rest of a datagram with news.
    pub(crate) fn fill(&mut self, datagram: &mut Datagram, about: Option<Rumor>) {
        let mut room = self.terms.datagram.saturating_sub(datagram.encoded_len() + CHECK);
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
        for _ in 0..self.table.news().min(8) {
            let Some(slot) = self.table.next_news() else { break };
            let Some(rumor) = self.table.get(slot).map(Member::rumor) else { continue };
            if !put(datagram, rumor) {
                break;
            }
        }
    }

    pub(crate) fn emit(&mut self, to: SocketAddr, datagram: &Datagram) {
        if self.withdrawn_till > Timestamp::from_micros(datagram.sent as i64) {
            return;
        }
        let bytes = write(datagram);
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.deeds.push(Deed::Send { to, bytes });
    }

    pub(crate) fn reached(&self, slot: Slot) -> Option<SocketAddr> {
        self.table.get(slot).map(|one| self.terms.reached(&one.name, one.at))
    }

    pub(crate) fn post(&mut self, slot: Slot, datagram: Datagram) {
        if let Some(to) = self.reached(slot) {
            self.emit(to, &datagram);
        }
    }

    /// A datagram to a member, filled with news; what is held against it goes first, so that it can speak for itself.
    pub(crate) fn send_to(
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
        let mut datagram = Datagram { seq, about: about.to_string(), ..self.head(now, kind) };
        self.fill(&mut datagram, of.or(against));
        self.post(slot, datagram);
    }

    /// News that others should hear at once. Each member passes it on when it first hears of it, so that it is everywhere
    /// after a few steps; a bucket bounds what that costs.
    pub(crate) fn push_to_some(&mut self, now: Timestamp, of: Option<Slot>) {
        let but: Vec<Slot> = of.into_iter().collect();
        for slot in
            self.table.draw(&mut self.rng, self.terms.urgent, &but, |one| one.standing == Standing::Alive)
        {
            if !self.pushes.take(now) {
                return;
            }
            let rumor = of.and_then(|of| self.table.get(of)).map(Member::rumor);
            self.send_to(now, slot, Kind::Gossip, 0, "", rumor);
        }
    }

    /// How often news is passed on: with the logarithm of the members.
    pub(crate) fn times(&self) -> u8 {
        (3.0 * ((self.table.live().len() + 2) as f64).log2()).ceil().clamp(4.0, 60.0) as u8
    }

    /// A member stands differently from now on.
    pub(crate) fn stands(&mut self, now: Timestamp, slot: Slot, standing: Standing, by: &Rc<str>) {
        let changed = self.table.change(slot, |one| {
            let was = one.standing;
            one.fell += u32::from(was == Standing::Alive && standing != Standing::Left);
            if was != standing {
                one.since = now;
            }
            (one.standing, one.by) = (standing, by.clone());
            if standing == Standing::Alive {
                one.accusers.clear();
                one.refused_by.clear();
            }
            (was != standing).then(|| (one.name.clone(), one.life))
        });
        let Some(Some((name, life))) = changed else { return };
        self.events.push(Event::Stands { name, life, standing, by: by.clone() });
        let times = self.times();
        self.table.spread(slot, times);
        self.push_to_some(now, Some(slot));
    }
}
