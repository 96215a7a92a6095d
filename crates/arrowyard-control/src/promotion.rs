//! Who is to be primary of a service when its primary is gone, or is about to go. Nothing here is done twice at a time:
//! a service is in one [`Stage`], and `Promotion::take` makes every change of it.
//!
//! No acknowledged commit may be missing at the host that takes over. A commit is acknowledged once one replica has
//! it, so every replica that could have acknowledged is made to stop receiving (`PAUSE`) and the one that has most is
//! named; positions compare by term first. While the old primary still serves, the heir alone goes on receiving: what
//! is acknowledged until the change, it has.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::hash::{Hash, Hasher};

use arrowyard_conduit::{DbRole, Host, Phase};
use arrowyard_flume::{Observed, Position};
use arrowyard_types::{Point, Span};

use crate::Cell;

/// A primary that does not answer is asked again after the first of these, and nobody hears of it for the second.
const AGAIN: Span = Span::from_millis(80);
const COOL: Span = Span::from_millis(400);
/// Hosts that did not answer are asked again after so long; an heir that still receives, and the platform, likewise; one
/// that was to stop receiving and is to go on.
const RETRY: Span = Span::from_millis(150);
const HELD: Span = Span::from_millis(1000);
const CATCH_UP: Span = Span::from_millis(15);
/// An heir has so long to receive what the others have; the platform so long to make it primary.
const PATIENCE: Span = Span::from_millis(1500);
const SETTLE: Span = Span::from_millis(4000);
/// So many questions in a row must stay without an answer.
const SURE: u32 = 2;
/// A host that left may hold what nobody else has until another one has its log.
const HANDED_ON: Span = Span::from_millis(8000);
/// A replica that was silent so long before the primary was is no witness of its last commits. Danger: a host is known to be
/// silent 3 s after its last call; what the primary has by then must have been asked for before it may be told from this.
pub const LONG_SILENT: Span = Span::from_millis(4200);

/// What is asked of hosts and of the platform.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Ask {
    Observe {
        host: String,
    },
    /// The turn tells the answer from the one to an earlier question of this kind.
    Pause {
        host: String,
        term: u64,
        turn: u64,
    },
    Continue {
        host: String,
    },
    /// Is to be asked with the duty's fence.
    Promote {
        service: String,
        host: String,
    },
}

/// What a row answers. Danger: a late answer to a question of before is no word that a host has stopped receiving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum To {
    Observe,
    Pause(u64),
    Continue,
}

impl Ask {
    /// Which of a host's rows answers it; none if it is asked of the platform.
    pub fn to(&self) -> Option<To> {
        match self {
            Ask::Observe { .. } => Some(To::Observe),
            Ask::Pause { turn, .. } => Some(To::Pause(*turn)),
            Ask::Continue { .. } => Some(To::Continue),
            Ask::Promote { .. } => None,
        }
    }
}

/// Whether a question needs no answer of its own, after those that wait at the same host. Danger: a host that is to go on
/// receiving and then to stop must be told again to go on; of these two only the last one counts.
pub fn is_repeated<'a>(waiting: impl Iterator<Item = &'a Ask> + Clone, ask: &Ask) -> bool {
    match ask {
        Ask::Observe { .. } => waiting.clone().any(|other| other == ask),
        _ => waiting.filter(|other| !matches!(other, Ask::Observe { .. })).last() == Some(ask),
    }
}

/// What came back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    Row {
        host: String,
        to: To,
        row: Observed,
    },
    /// No answer, or none that helps.
    Silent {
        host: String,
    },
    /// It lives and has no room for the question.
    Busy {
        host: String,
    },
    Platform {
        status: u16,
    },
}

#[derive(Clone, Debug, PartialEq, Hash)]
pub enum Stage {
    Steady,
    /// Somebody said that the primary does not answer.
    Checking {
        host: String,
        silent: u32,
    },
    /// Which hosts there are and what they have.
    Surveying {
        old: Option<String>,
        planned: bool,
        rows: BTreeMap<String, Observed>,
        /// Hosts that did not answer.
        mute: BTreeSet<String>,
    },
    /// The others receive no more.
    Pausing {
        old: Option<String>,
        heir: Option<String>,
        asked: BTreeSet<String>,
        /// Above every one that was told.
        term: u64,
        rows: BTreeMap<String, Observed>,
    },
    /// The heir still lacks something that another one has.
    CatchingUp {
        old: Option<String>,
        heir: String,
        least: Position,
        until: Point,
    },
    Promoting {
        heir: String,
        tries: u32,
    },
    /// The platform took it; the heir has not said yet that it leads.
    Settling {
        heir: String,
        until: Point,
    },
}

impl Stage {
    /// Whether a change under way is over if this host leads: all but the one that is replaced in order.
    fn ends_with(&self, leads: &str) -> bool {
        let other = |old: &Option<String>| old.as_deref() != Some(leads);
        match self {
            Stage::Surveying { old, planned, .. } => !planned || other(old),
            Stage::Pausing { old, heir, .. } => heir.is_none() || other(old),
            Stage::CatchingUp { old, .. } => other(old),
            _ => false,
        }
    }
}

/// One service's change of primary.
#[derive(Clone, Debug)]
pub struct Promotion {
    service: String,
    pub stage: Stage,
    wake_at: Option<Point>,
    quiet_until: Point,
    /// Hosts that were asked to stop receiving, and have not said since that they go on.
    held: BTreeSet<String>,
    /// What the primary had after a replica fell silent: whoever has as much has all that this replica acknowledged.
    floors: BTreeMap<String, Position>,
    /// Replicas that were silent when the primary was asked for that.
    floor_of: BTreeSet<String>,
    floor_at: Point,
    /// Rises each time that hosts are asked to stop.
    turn: u64,
}

/// Times and turns are left out: a model checker takes two for the same that differ in nothing else.
impl Hash for Promotion {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (&self.service, &self.stage, self.wake_at.is_some()).hash(state);
        (&self.held, &self.floors, &self.floor_of).hash(state);
    }
}

/// What is known of the hosts when something is decided.
pub struct Sight<'a> {
    pub cell: &'a Cell,
    /// Hosts that do not call any more, and since when.
    pub silent: &'a BTreeMap<String, Point>,
    /// Hosts that left, with the time and their address.
    pub left: &'a [(Point, Host)],
}

impl Promotion {
    pub fn new(service: &str) -> Self {
        Promotion {
            service: service.to_string(),
            stage: Stage::Steady,
            wake_at: None,
            quiet_until: Point::DAWN,
            held: BTreeSet::new(),
            floors: BTreeMap::new(),
            floor_of: BTreeSet::new(),
            floor_at: Point::DAWN,
            turn: 0,
        }
    }

    pub fn due(&self) -> Option<Point> {
        self.wake_at
    }

    /// Whether it was asked what the primary had after each of these fell silent.
    pub fn has_floors<'a>(&self, mut silent: impl Iterator<Item = &'a String>) -> bool {
        silent.all(|host| self.floors.contains_key(host))
    }

    /// How often hosts were asked to stop.
    pub fn turn(&self) -> u64 {
        self.turn
    }

    /// As a new holder begins: what was asked is not known here.
    pub fn forget_floors(&mut self) {
        self.floors.clear();
    }

    /// Whether a host is still to be asked to go on receiving.
    pub fn holds(&self, host: &str) -> bool {
        self.held.contains(host)
    }

    fn go(&mut self, stage: Stage, wake_at: Option<Point>) {
        if std::mem::discriminant(&self.stage) != std::mem::discriminant(&stage) {
            log::info!("promotion: {}: {}.", self.service, stage);
        }
        (self.stage, self.wake_at) = (stage, wake_at);
    }

    fn members<'a>(&self, sight: &Sight<'a>) -> Vec<&'a Host> {
        sight.cell.members(&self.service).collect()
    }

    /// Somebody says that a host, as primary, does not answer.
    pub fn suspect(&mut self, now: Point, host: &str, sight: &Sight<'_>, asks: &mut Vec<Ask>) {
        let primary = sight.cell.primary(&self.service).is_some_and(|primary| primary.id == host);
        if self.stage == Stage::Steady && primary && now >= self.quiet_until {
            asks.push(Ask::Observe { host: host.to_string() });
            self.go(Stage::Checking { host: host.to_string(), silent: 0 }, None);
        }
    }

    /// Time has passed, or the hosts changed.
    pub fn look(&mut self, now: Point, sight: &Sight<'_>, asks: &mut Vec<Ask>) {
        // Danger: a floor holds for one silence. A host that is back, and silent again, has acknowledged more meanwhile;
        // so it is forgotten at whatever stage, well before a new silence can be noticed.
        self.floors.retain(|host, _| sight.silent.contains_key(host));
        self.floor_of.retain(|host| sight.silent.contains_key(host));
        let woke = self.wake_at.is_some_and(|at| at <= now);
        if woke {
            self.wake_at = None;
        }
        match self.stage.clone() {
            Stage::Steady => {
                self.ask_for_floors(now, sight, asks);
                let known =
                    |host: &String| sight.cell.get(host).is_some_and(|host| host.phase() != Phase::Gone);
                self.held.retain(known);
                if self.wake_at.is_none() && !self.held.is_empty() {
                    // Danger: a question that was lost would leave a replica without its log for good.
                    asks.extend(self.held.iter().map(|host| Ask::Continue { host: host.clone() }));
                    self.wake_at = Some(now + HELD);
                }
                let primary = sight.cell.primary(&self.service);
                let heirs = || {
                    self.members(sight)
                        .into_iter()
                        .any(|host| host.role() == DbRole::Replica && host.phase() == Phase::InService)
                };
                if let Some(old) = primary.filter(|old| old.phase() == Phase::Draining)
                    && now >= self.quiet_until
                    && heirs()
                {
                    self.survey(now, Some(old.id.clone()), true, sight, asks);
                }
            }
            Stage::Checking { host, .. } if woke => asks.push(Ask::Observe { host }),
            Stage::Surveying { old, planned, rows, mute } if woke => {
                self.ask_again(now, old, planned, (rows, mute), sight, asks);
            }
            Stage::Pausing { old, heir, asked, term, rows } if woke => {
                // Whoever did not answer is asked again; whoever left meanwhile is not waited for but by its log.
                let missing = asked.iter().filter(|host| !rows.contains_key(*host));
                let known = missing
                    .filter(|host| sight.cell.get(host).is_some_and(|host| host.phase() != Phase::Gone));
                let known: Vec<String> = known.cloned().collect();
                self.pause(known.iter(), term, asks);
                let asked = rows.keys().cloned().chain(known).collect();
                self.go(Stage::Pausing { old, heir, asked, term, rows }, Some(now + RETRY));
                self.paused(now, sight, asks);
            }
            Stage::CatchingUp { heir, until, .. } if woke => {
                if now >= until {
                    return self.abort(now, asks);
                }
                asks.push(Ask::Observe { host: heir });
            }
            Stage::Promoting { heir, .. } if woke => {
                asks.push(Ask::Promote { service: self.service.clone(), host: heir });
            }
            Stage::Settling { heir, until } => {
                if sight.cell.primary(&self.service).is_some_and(|primary| primary.id == heir) {
                    // A change of primary lets all go on.
                    self.held.clear();
                    self.quiet_until = now + COOL;
                    self.go(Stage::Steady, None);
                } else if now >= until {
                    self.survey(now, None, false, sight, asks);
                } else {
                    self.wake_at = Some(until);
                }
            }
            _ => {}
        }
    }

    /// A replica is silent: what has the primary? Once for each silence, since every such question takes a slot there.
    fn ask_for_floors(&mut self, now: Point, sight: &Sight<'_>, asks: &mut Vec<Ask>) {
        let Some(primary) = sight.cell.primary(&self.service).map(|host| host.id.clone()) else { return };
        let lacks = |host: &&Host| {
            host.id != primary && sight.silent.contains_key(&host.id) && !self.floors.contains_key(&host.id)
        };
        let of: BTreeSet<String> =
            self.members(sight).into_iter().filter(lacks).map(|host| host.id.clone()).collect();
        if !of.is_empty() && now - self.floor_at >= RETRY && !sight.silent.contains_key(&primary) {
            (self.floor_of, self.floor_at) = (of, now);
            asks.push(Ask::Observe { host: primary });
        }
    }

    /// Takes what came back.
    pub fn take(&mut self, now: Point, reply: Reply, sight: &Sight<'_>, asks: &mut Vec<Ask>) {
        match &reply {
            // Danger: it may be asked to stop again by now.
            Reply::Row { host, to: To::Continue, .. } if self.stage == Stage::Steady => {
                self.held.remove(host);
            }
            Reply::Row { to: To::Observe, row, .. } if row.primary => {
                let floors = std::mem::take(&mut self.floor_of).into_iter();
                self.floors.extend(floors.map(|host| (host, row.received)));
            }
            _ => {}
        }
        match (self.stage.clone(), reply) {
            (Stage::Checking { host, silent }, Reply::Silent { host: of }) if host == of => {
                if silent + 1 < SURE {
                    return self.go(Stage::Checking { host, silent: silent + 1 }, Some(now + AGAIN));
                }
                self.survey(now, Some(host), false, sight, asks);
            }
            (Stage::Checking { host, .. }, Reply::Row { host: of, .. } | Reply::Busy { host: of })
                if host == of =>
            {
                self.quiet_until = now + COOL;
                self.go(Stage::Steady, None);
            }
            // Somebody else leads than who was thought to, or whoever was thought to be gone. Danger: its own word that it
            // leads may be late, as after a change that another holder made; what it acknowledges, no heir needs to have.
            (stage, Reply::Row { host, row, .. }) if row.primary && stage.ends_with(&host) => {
                self.abort(now, asks);
            }
            (Stage::Surveying { old, planned, mut rows, mut mute }, Reply::Row { host, row, .. }) => {
                mute.remove(&host);
                rows.insert(host, row);
                let wake_at = self.wake_at;
                self.go(Stage::Surveying { old, planned, rows, mute }, wake_at);
                self.surveyed(now, sight, asks);
            }
            (Stage::Surveying { old, planned, rows, mut mute }, Reply::Silent { host }) => {
                mute.insert(host);
                let wake_at = self.wake_at;
                self.go(Stage::Surveying { old, planned, rows, mute }, wake_at);
                self.surveyed(now, sight, asks);
            }
            (
                Stage::Pausing { old, heir, asked, term, mut rows },
                Reply::Row { host, to: To::Pause(turn), row },
            ) if turn == self.turn && asked.contains(&host) => {
                rows.insert(host, row);
                let wake_at = self.wake_at;
                self.go(Stage::Pausing { old, heir, asked, term, rows }, wake_at);
                self.paused(now, sight, asks);
            }
            (Stage::CatchingUp { old, heir, least, until }, Reply::Row { host, row, .. }) if host == heir => {
                if row.received >= least {
                    return self.promote(heir, asks);
                }
                self.go(Stage::CatchingUp { old, heir, least, until }, Some(now + CATCH_UP));
            }
            (Stage::CatchingUp { heir, .. }, Reply::Silent { host }) if host == heir => {
                self.abort(now, asks);
            }
            (Stage::Promoting { heir, tries }, Reply::Platform { status }) => match status {
                200..=299 => self.go(Stage::Settling { heir, until: now + SETTLE }, Some(now + RETRY)),
                409 => self.survey(now, None, false, sight, asks),
                // Danger: a call without an answer may have been carried out. The same host is named again: another
                // one would lead a term later, without what this one took meanwhile.
                _ if tries < 6 => {
                    let pause = RETRY * f64::from(1 << tries.min(3));
                    self.go(Stage::Promoting { heir, tries: tries + 1 }, Some(now + pause));
                }
                _ => self.survey(now, None, false, sight, asks),
            },
            _ => {}
        }
    }

    fn survey(
        &mut self,
        now: Point,
        old: Option<String>,
        planned: bool,
        sight: &Sight<'_>,
        asks: &mut Vec<Ask>,
    ) {
        self.ask_again(now, old, planned, Default::default(), sight, asks);
    }

    fn ask_again(
        &mut self,
        now: Point,
        old: Option<String>,
        planned: bool,
        (rows, mute): (BTreeMap<String, Observed>, BTreeSet<String>),
        sight: &Sight<'_>,
        asks: &mut Vec<Ask>,
    ) {
        // Of a primary that is to be replaced in order nothing has to be known.
        let skip = |host: &Host| planned && old.as_ref() == Some(&host.id) || rows.contains_key(&host.id);
        let open = self.members(sight).into_iter().filter(|host| !skip(host));
        asks.extend(open.map(|host| Ask::Observe { host: host.id.clone() }));
        self.go(Stage::Surveying { old, planned, rows, mute }, Some(now + RETRY));
        self.surveyed(now, sight, asks);
    }

    /// Whether a host's word is not waited for. It is silent, and another one has all that the primary had since then; or,
    /// where the primary could not be asked, it was silent long before the primary was.
    fn is_no_witness(
        &self,
        host: &str,
        old: Option<&String>,
        rows: &BTreeMap<String, Observed>,
        sight: &Sight<'_>,
    ) -> bool {
        let Some(since) = sight.silent.get(host) else { return false };
        if let Some(floor) = self.floors.get(host) {
            // Danger: one that receives nothing for long answers as well, and lacks what only the silent one acknowledged.
            return rows.values().any(|row| row.received >= *floor);
        }
        match old.and_then(|old| sight.silent.get(old)) {
            Some(primary) => *primary - *since >= LONG_SILENT,
            None => false,
        }
    }

    /// Hosts that left a while ago and whose log nobody took over yet.
    fn is_handed_on(&self, now: Point, sight: &Sight<'_>) -> bool {
        let open = |(at, host): &&(Point, Host)| {
            host.service == self.service && host.role() == DbRole::Replica && now - *at < HANDED_ON
        };
        sight.left.iter().filter(open).all(|(_, gone)| {
            self.members(sight).iter().any(|host| (host.ip, host.port) == (gone.ip, gone.port))
        })
    }

    /// Once all witnesses have answered: who is to lead, and who is to receive no more.
    fn surveyed(&mut self, now: Point, sight: &Sight<'_>, asks: &mut Vec<Ask>) {
        let Stage::Surveying { old, planned, rows, mute } = self.stage.clone() else { return };
        let replicas: Vec<&Host> =
            self.members(sight).into_iter().filter(|host| Some(&host.id) != old.as_ref()).collect();
        // Danger: one that was silent may be back, and not have called yet; so it was asked, and did not answer.
        let needed = |host: &&&Host| {
            !(mute.contains(&host.id) && self.is_no_witness(&host.id, old.as_ref(), &rows, sight))
        };
        let all = replicas.iter().filter(needed).all(|host| rows.contains_key(&host.id));
        if rows.is_empty() || !all || !self.is_handed_on(now, sight) {
            return;
        }
        let term = next_term(rows.values());
        // In order, the heir is one that stays: what it lacks it receives before it leads.
        let stays = |host: &str| sight.cell.get(host).is_some_and(|host| host.phase() == Phase::InService);
        let staying = rows.iter().filter(|(host, _)| planned && stays(host));
        let heir = staying.max_by_key(|(_, row)| row.received).map(|(host, _)| host.clone());
        if planned && heir.is_none() {
            return self.abort(now, asks);
        }
        let asked: BTreeSet<String> =
            rows.keys().filter(|host| Some(*host) != heir.as_ref()).cloned().collect();
        self.turn += 1;
        self.pause(asked.iter(), term, asks);
        let rows = rows.into_iter().filter(|(host, _)| Some(host) == heir.as_ref()).collect();
        self.go(Stage::Pausing { old, heir, asked, term, rows }, Some(now + RETRY));
        self.paused(now, sight, asks);
    }

    /// Once all that were asked to have stopped receiving.
    fn paused(&mut self, now: Point, sight: &Sight<'_>, asks: &mut Vec<Ask>) {
        let Stage::Pausing { old, heir, asked, rows, .. } = self.stage.clone() else { return };
        if !asked.iter().all(|host| rows.contains_key(host)) {
            return;
        }
        match heir {
            Some(heir) => {
                let others = rows.iter().filter(|(host, _)| **host != heir).map(|(_, row)| row.received);
                let least = others.max().unwrap_or_default();
                asks.push(Ask::Observe { host: heir.clone() });
                let until = now + PATIENCE;
                self.go(Stage::CatchingUp { old, heir, least, until }, Some(now + RETRY));
            }
            None => match best(&rows, sight) {
                Some(heir) => self.promote(heir, asks),
                None => self.survey(now, None, false, sight, asks),
            },
        }
    }

    fn promote(&mut self, heir: String, asks: &mut Vec<Ask>) {
        asks.push(Ask::Promote { service: self.service.clone(), host: heir.clone() });
        self.go(Stage::Promoting { heir, tries: 0 }, None);
    }

    fn pause<'a>(&mut self, hosts: impl Iterator<Item = &'a String>, term: u64, asks: &mut Vec<Ask>) {
        for host in hosts {
            self.held.insert(host.clone());
            asks.push(Ask::Pause { host: host.clone(), term, turn: self.turn });
        }
    }

    /// Nothing is replaced. Whoever was held goes on: see `look`, which asks for it till it is done.
    fn abort(&mut self, now: Point, asks: &mut Vec<Ask>) {
        asks.extend(self.held.iter().map(|host| Ask::Continue { host: host.clone() }));
        self.quiet_until = now + COOL;
        self.go(Stage::Steady, None);
    }
}

/// Above every term that was told.
fn next_term<'a>(rows: impl Iterator<Item = &'a Observed>) -> u64 {
    rows.map(|row| row.term.max(row.received.term)).max().unwrap_or_default() + 1
}

/// The host that has most; of equals one that stays. Danger: a host that is about to end leads for a moment only, but
/// one that has less would lose what was acknowledged.
fn best(rows: &BTreeMap<String, Observed>, sight: &Sight<'_>) -> Option<String> {
    let stays = |host: &str| sight.cell.get(host).is_some_and(|host| host.phase() == Phase::InService);
    let most = rows.iter().max_by_key(|(host, row)| (row.received, stays(host)));
    most.map(|(host, _)| host.clone())
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Stage::Steady => write!(f, "it is steady"),
            Stage::Checking { host, .. } => write!(f, "{host} is said not to answer"),
            Stage::Surveying { planned: true, .. } => write!(f, "its primary leaves, heirs are asked"),
            Stage::Surveying { .. } => write!(f, "it has no primary, heirs are asked"),
            Stage::Pausing { .. } => write!(f, "replicas are to stop receiving"),
            Stage::CatchingUp { heir, .. } => write!(f, "{heir} receives the rest"),
            Stage::Promoting { heir, .. } => write!(f, "{heir} is to lead"),
            Stage::Settling { heir, .. } => write!(f, "the platform makes {heir} lead"),
        }
    }
}

/// The changes of all services.
#[derive(Debug, Default)]
pub struct Promotions {
    pub by_service: BTreeMap<String, Promotion>,
}

impl Promotions {
    pub fn of(&mut self, service: &str) -> &mut Promotion {
        self.by_service.entry(service.to_string()).or_insert_with(|| Promotion::new(service))
    }

    pub fn due(&self) -> Option<Point> {
        self.by_service.values().filter_map(Promotion::due).min()
    }
}
