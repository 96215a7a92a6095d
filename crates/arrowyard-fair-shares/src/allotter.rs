//! Whoever divides: the control machine that holds the duty. Routers tell what they need of a host; while all of them
//! together need more than the host's places, the services that want more than they are owed are held to it, each
//! router to its part. The others go free, up to what they are owed: their need is below it.
//!
//! What routers were told never sums up to more than what is owed: a part is raised only by what other routers are
//! known to have given up, by their answer or by their lease's end.

use std::collections::{BTreeMap, VecDeque};

use arrowyard_types::{TimeDelta, Timestamp};

use crate::holder::LEASE;
use crate::owed::owed;
use crate::{Milli, Need, ServiceId, Terms};

/// One life of a router's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Router(pub u64);

/// A host is pressed while more than this part of its places is asked for by those that tell, and calm again below that
/// part for so long. Routers tell by themselves only from their even part of the places on; while a host is pressed all are
/// asked so often.
const PRESSED: f64 = 0.6;
const CALM: f64 = 0.4;
const CALMS: TimeDelta = TimeDelta::from_millis(300);
const ASKS: TimeDelta = TimeDelta::from_millis(500);
/// A lease runs out here so much later than at its router. Danger: clocks of the two run at different speeds.
const LONGER: f64 = 1.1;
/// A host is divided anew so often at most; a part that moves by less than this, in thousandths of a place and as a
/// part of itself, is not told, but so often a lease is renewed.
const APART: TimeDelta = TimeDelta::from_millis(10);
const MOVES: Milli = 20;
const MOVES_PART: u32 = 16;
const RENEWS: TimeDelta = TimeDelta::from_millis(200);
/// Hosts that are divided at a time, and unanswered parts of one router at one host.
const MOST_HOSTS: usize = 4096;
const MOST_UNANSWERED: usize = 64;

/// What a router may have under way at a host, by service; services that are not named go free.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Allot {
    pub host: String,
    /// Under which holder of the duty, and its number there: the newest counts.
    pub fence: u64,
    pub number: u64,
    /// The router's own word that this answers: its lease runs from when it said that.
    pub echo: u64,
    /// Whether the host is pressed. If not, all is free again.
    pub pressed: bool,
    pub caps: Vec<(ServiceId, Milli)>,
    /// The host's places and how many routers share them: what a router goes by once its lease has run out.
    pub places: Milli,
    pub routers: u32,
}

/// A host, as a router tells of it.
#[derive(Clone, Copy, Debug)]
pub struct At<'a> {
    pub id: &'a str,
    /// The databases that it holds a copy of.
    pub group: &'a str,
    /// Statements that it runs at a time.
    pub slots: u32,
}

/// What is known of one router at one host.
#[derive(Clone, Debug, Default)]
struct Seat {
    needs: Vec<Need>,
    /// The router's last word, and when it came.
    echo: u64,
    heard_at: Timestamp,
    /// What it answered last, and all that went out since: any of it may be what it goes by.
    told: VecDeque<(u64, Vec<(ServiceId, Milli)>)>,
    answered: bool,
    told_at: Timestamp,
}

impl Seat {
    fn need(&self, service: ServiceId) -> Need {
        self.needs.iter().copied().find(|need| need.service == service).unwrap_or_default()
    }

    /// The most that it may go by, as far as can be known here.
    fn believes(&self, service: ServiceId) -> Milli {
        self.told_most(service).unwrap_or(0).max(self.need(service).runs)
    }

    /// The most that it was told and may go by; none where it was never held to anything of this service.
    fn told_most(&self, service: ServiceId) -> Option<Milli> {
        let told = self.told.iter().flat_map(|(_, caps)| caps).filter(|(of, _)| *of == service);
        told.map(|(_, cap)| *cap).max()
    }

    fn last(&self, service: ServiceId) -> Option<Milli> {
        let caps = self.told.back().map(|(_, caps)| caps)?;
        caps.iter().find(|(of, _)| *of == service).map(|(_, cap)| *cap)
    }
}

/// One host that somebody needs much of.
#[derive(Clone, Debug, Default)]
struct Pool {
    /// The databases that it holds a copy of: hosts of one group take the same reads.
    group: String,
    places: Milli,
    seats: BTreeMap<Router, Seat>,
    pressed: Option<Timestamp>,
    calm_since: Option<Timestamp>,
    divided_at: Timestamp,
    asked_at: Timestamp,
    /// By service: places owed, and places asked for.
    owed: Vec<(ServiceId, f64, f64)>,
}

/// What whoever is on call may want to know of one service at one host, in places.
#[derive(Clone, Debug, PartialEq)]
pub struct Shown {
    pub host: String,
    pub service: ServiceId,
    pub owed: f64,
    pub runs: f64,
    pub waits: f64,
    /// Held to what it is owed, and since when the host is pressed.
    pub held: bool,
    pub since: Timestamp,
}

/// What is to be said.
#[derive(Clone, Debug, Default)]
pub struct Division {
    pub allots: Vec<(Router, Allot)>,
    pub ask: Vec<String>,
}

/// Divides the hosts that are pressed.
#[derive(Clone, Debug, Default)]
pub struct Allotter {
    fence: u64,
    /// Nothing is divided before: leases of the holder before may still run.
    from: Timestamp,
    number: u64,
    pools: BTreeMap<String, Pool>,
}

/// A host's places under all routers, from how many statements it runs at a time: twice as many, so that none of them
/// stands idle while answers travel, and none waits for much longer than one statement takes.
#[must_use]
pub fn places(slots: u32) -> Milli {
    slots.clamp(1, 100_000) * 2000
}

impl Allotter {
    /// The duty is taken up under this fence. `waits` is how long the holder before may have gone on after it had
    /// lost the duty.
    #[must_use]
    pub fn begin(now: Timestamp, fence: u64, waits: TimeDelta) -> Self {
        let from = if waits == TimeDelta::ZERO { now } else { now + waits + LEASE * LONGER };
        Allotter { fence, from, ..Allotter::default() }
    }

    /// A router tells its whole need of a host: its word's number, and that of the last part that it took up under this
    /// fence, 0 for none. Whom anything is told by it: see [`Allotter::divide`].
    pub fn heard(
        &mut self,
        now: Timestamp,
        host: &At<'_>,
        router: Router,
        (echo, answers): (u64, u64),
        needs: Vec<Need>,
    ) {
        if !self.pools.contains_key(host.id) && self.pools.len() >= MOST_HOSTS {
            return;
        }
        let pool = self.pools.entry(host.id.to_string()).or_default();
        if pool.group != host.group {
            pool.group = host.group.to_string();
        }
        pool.places = places(host.slots);
        let seat = pool.seats.entry(router).or_default();
        // Danger: words that crossed; an older one would undo what the newer one told.
        if echo <= seat.echo {
            return;
        }
        (seat.echo, seat.heard_at, seat.needs) = (echo, now, needs);
        if seat.told.iter().any(|(number, _)| *number == answers) {
            seat.answered = true;
            seat.told.retain(|(number, _)| *number >= answers);
        }
    }

    /// Divides the hosts that are due: what each router is told, and the hosts of which every router is to tell its need
    /// since they are pressed. Danger: routers with little need each are not counted otherwise, and are many.
    /// `routers` is how many there are.
    pub fn divide(&mut self, now: Timestamp, terms: &Terms, routers: u32) -> Division {
        let mut division = Division::default();
        if now < self.from {
            return division;
        }
        let (fence, number) = (self.fence, &mut self.number);
        // What each service has of each group: at hosts that are divided what it was owed, as far as it asks for it.
        let mut elsewhere: BTreeMap<(String, ServiceId), f64> = BTreeMap::new();
        for pool in self.pools.values() {
            for (service, owed, demand) in &pool.owed {
                *elsewhere.entry((pool.group.clone(), *service)).or_default() += owed.min(*demand);
            }
        }
        for (host, pool) in &mut self.pools {
            if now - pool.divided_at < APART {
                continue;
            }
            pool.divided_at = now;
            pool.seats.retain(|_, seat| now - seat.heard_at < LEASE * LONGER);
            // Danger: hosts that are all divided by what was owed before go to and fro between two wrong divisions; each one
            // is divided by what the ones before it have just come to.
            let of = |pool: &Pool, service: ServiceId| (pool.group.clone(), service);
            for (service, owed, demand) in &pool.owed {
                *elsewhere.entry(of(pool, *service)).or_default() -= owed.min(*demand);
            }
            pool.divide(now, terms, &elsewhere);
            for (service, owed, demand) in &pool.owed {
                *elsewhere.entry(of(pool, *service)).or_default() += owed.min(*demand);
            }
            let is_pressed = pool.pressed.is_some();
            if is_pressed && now - pool.asked_at >= ASKS {
                pool.asked_at = now;
                division.ask.push(host.clone());
            }
            let routers = routers.max(pool.seats.len() as u32);
            for (router, caps) in pool.parts(now) {
                let Some(seat) = pool.seats.get_mut(&router) else { continue };
                *number += 1;
                let allot = Allot {
                    host: host.clone(),
                    fence,
                    number: *number,
                    echo: seat.echo,
                    pressed: is_pressed,
                    caps: caps.clone(),
                    places: pool.places,
                    routers,
                };
                if is_pressed {
                    seat.told.push_back((*number, caps));
                    seat.told_at = now;
                } else {
                    seat.told.clear();
                }
                division.allots.push((router, allot));
            }
        }
        self.pools.retain(|_, pool| !pool.seats.is_empty());
        division
    }

    /// Every service at every host that is told of, pressed ones first.
    #[must_use]
    pub fn shown(&self) -> Vec<Shown> {
        let mut rows = Vec::new();
        for (host, pool) in &self.pools {
            for (service, owed, demand) in &pool.owed {
                let needs = || pool.seats.values().map(|seat| seat.need(*service));
                let places = |milli: Milli| f64::from(milli) / 1000.0;
                rows.push(Shown {
                    host: host.clone(),
                    service: *service,
                    owed: *owed,
                    runs: places(needs().map(|need| need.runs).sum()),
                    waits: places(needs().map(|need| need.waits).sum()),
                    held: pool.pressed.is_some() && demand > owed,
                    since: pool.pressed.unwrap_or_default(),
                });
            }
        }
        rows.sort_by_key(|row| (!row.held, row.host.clone()));
        rows
    }
}

impl Pool {
    /// What each service is owed now, and whether the host is pressed.
    fn divide(&mut self, now: Timestamp, terms: &Terms, elsewhere: &BTreeMap<(String, ServiceId), f64>) {
        let mut asks: BTreeMap<ServiceId, u64> = BTreeMap::new();
        for need in self.seats.values().flat_map(|seat| &seat.needs) {
            *asks.entry(need.service).or_default() += u64::from(need.runs) + u64::from(need.waits);
        }
        let asks: Vec<(ServiceId, f64)> =
            asks.into_iter().map(|(of, need)| (of, need as f64 / 1000.0)).collect();
        let places = f64::from(self.places) / 1000.0;
        let all: f64 = asks.iter().map(|(_, need)| need).sum();
        let kept_back = terms.kept_back(places, &asks);
        let free = places - kept_back;
        if all > free * PRESSED {
            self.calm_since = None;
            self.pressed.get_or_insert(now);
        } else if self.pressed.is_some() && all < free * CALM {
            let since = *self.calm_since.get_or_insert(now);
            if now - since >= CALMS {
                (self.pressed, self.calm_since) = (None, None);
            }
        } else {
            self.calm_since = None;
        }
        let mut claims = terms.claims(places, &asks);
        for ((service, _), claim) in asks.iter().zip(&mut claims) {
            let has = elsewhere.get(&(self.group.clone(), *service)).copied().unwrap_or(0.0);
            claim.has = has.max(0.0);
        }
        let parts = owed(free, &claims);
        self.owed = asks.iter().zip(parts).map(|((of, need), part)| (*of, part, *need)).collect();
    }

    /// What each router is to be told: nothing where it goes by that already.
    fn parts(&self, now: Timestamp) -> Vec<(Router, Vec<(ServiceId, Milli)>)> {
        let held: Vec<(ServiceId, f64, f64)> = match self.pressed {
            Some(_) => self.owed.iter().copied().filter(|(_, owed, need)| need > owed).collect(),
            _ => Vec::new(),
        };
        // What nobody is known to hold of what each service is owed, in thousandths.
        let mut free: BTreeMap<ServiceId, i64> = BTreeMap::new();
        for (service, owed, _) in &held {
            let believed: i64 = self.seats.values().map(|seat| i64::from(seat.believes(*service))).sum();
            free.insert(*service, (*owed * 1000.0) as i64 - believed);
        }
        // Danger: what one service gives up may be another's only once it is known to be given up; and what a service had
        // that is held no more is still gone by where that was not heard.
        let mut services: std::collections::BTreeSet<ServiceId> =
            self.owed.iter().map(|(of, ..)| *of).collect();
        let told = self.seats.values().flat_map(|seat| &seat.told).flat_map(|(_, caps)| caps);
        services.extend(told.map(|(of, _)| *of));
        let mut all_free = i64::from(self.places);
        for service in services {
            let believed: i64 = self.seats.values().map(|seat| i64::from(seat.believes(service))).sum();
            all_free -= believed;
        }
        let mut out = Vec::new();
        for (router, seat) in &self.seats {
            let mut caps = Vec::new();
            for (service, owed, demand) in &held {
                let need = seat.need(*service);
                let wants = f64::from(need.runs) + f64::from(need.waits);
                let part = (owed * wants / demand) as i64;
                // Danger: what it runs may date from before it was held. A raise starts from what it was told, or a part
                // that it was never given would pass for one that it only keeps.
                let told = seat.told_most(*service);
                let is_new = told.is_none();
                let has = i64::from(told.unwrap_or(need.runs));
                let free = free.get_mut(service).expect("all that are held are there");
                let room = (*free).min(all_free);
                let cap = if is_new {
                    // Danger: one that was never held to anything runs what it runs; it gets only what the others left.
                    (has + room).clamp(0, part)
                } else if part <= has {
                    part
                } else {
                    has + (part - has).min(room.max(0))
                };
                let more = if is_new { cap - has } else { (cap - has).max(0) };
                (*free, all_free) = (*free - more, all_free - more);
                caps.push((*service, cap.max(0) as Milli));
            }
            if self.pressed.is_none() {
                // Who was told anything hears that it is over.
                out.extend((!seat.told.is_empty()).then(|| (*router, Vec::new())));
                continue;
            }
            let same = |(service, cap): &(ServiceId, Milli)| {
                seat.last(*service).is_some_and(|last| last.abs_diff(*cap) <= MOVES.max(last / MOVES_PART))
            };
            let old = seat.told.back().map_or(0, |(_, caps)| caps.len());
            let news = !caps.iter().all(same) || old != caps.len();
            let first = seat.told.is_empty();
            let full = seat.told.len() >= MOST_UNANSWERED;
            let renews = now - seat.told_at >= RENEWS;
            if !full && (first || news || renews) || full && renews && seat.told.len() < MOST_UNANSWERED * 2 {
                out.push((*router, caps));
            }
        }
        out
    }
}
