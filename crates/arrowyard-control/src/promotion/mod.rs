//! Who is to be primary of a service when its primary is gone, or is about to go. Nothing here is done twice at a time:
//! a service is in one [`Stage`], and `Promotion::handle_reply` makes every change of it.
//!
//! No acknowledged commit may be missing at the host that takes over. A commit is acknowledged once one replica has
//! it, so every replica that could have acknowledged is made to stop receiving (`PAUSE`) and the one that has most is
//! named; positions compare by term first. While the old primary still serves, the candidate alone goes on receiving: what
//! is acknowledged until the change, it has.

mod leader_watch;
mod request;
mod stage;
mod survey;

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

use arrowyard_messages::{DbRole, Host, Phase, Replacement};
use arrowyard_protocol::{Observed, Position};
use arrowyard_types::{TimeDelta, Timestamp};

pub use leader_watch::LeaderWatch;
pub use request::{PromotionRequest, Reply, RowKind, is_redundant};
pub use stage::Stage;

use crate::HostRegistry;

/// A primary that does not answer is asked again after the first of these, and nobody hears of it for the second.
const AGAIN: TimeDelta = TimeDelta::from_millis(80);
const COOL: TimeDelta = TimeDelta::from_millis(400);
/// Hosts that did not answer are asked again after so long; a candidate that still receives, and the platform, likewise; one
/// that was to stop receiving and is to go on.
const RETRY: TimeDelta = TimeDelta::from_millis(150);
const HELD: TimeDelta = TimeDelta::from_millis(1000);
/// A question to stop receiving that a router relays may arrive so long after it was asked.
const LATE_PAUSE: TimeDelta = TimeDelta::from_millis(1000);
const CATCH_UP: TimeDelta = TimeDelta::from_millis(15);
/// An old primary that lives has so long to yield; once it has, hosts that joined it before have so long to be heard of.
const YIELDS: TimeDelta = TimeDelta::from_millis(40);
const NEWCOMERS: TimeDelta = TimeDelta::from_millis(500);
/// A candidate has so long to receive what the others have; the platform so long to make it primary.
const PATIENCE: TimeDelta = TimeDelta::from_millis(1500);
const SETTLE: TimeDelta = TimeDelta::from_millis(4000);
/// So many questions in a row must stay without an answer.
const SURE: u32 = 2;

/// One service's change of primary.
#[derive(Clone, Debug)]
pub struct Promotion {
    service: String,
    pub stage: Stage,
    wake_at: Option<Timestamp>,
    quiet_until: Timestamp,
    /// Hosts that were asked to stop receiving, and have not said since that they go on.
    held: BTreeSet<String>,
    paused_at: Timestamp,
    /// What the primary had after a replica fell silent: whoever has as much has all that this replica acknowledged.
    floors: BTreeMap<String, Position>,
    /// Replicas that were silent when the primary was asked for that.
    floor_of: BTreeSet<String>,
    floor_at: Timestamp,
    /// Rises each time that hosts are asked to stop.
    attempt: u64,
    /// The service's hosts as they were when the last survey was complete, and a term above all of theirs.
    surveyed_hosts: BTreeSet<String>,
    next_term: u64,
    /// Whether the old primary has yielded in this change: nothing can be acknowledged for it any more.
    has_yielded: bool,
    leader: LeaderWatch,
}

/// Times and turns are left out: a model checker takes two for the same that differ in nothing else.
impl Hash for Promotion {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (&self.service, &self.stage, self.wake_at.is_some()).hash(state);
        (&self.held, &self.floors, &self.floor_of, self.has_yielded).hash(state);
        self.leader.is_open().hash(state);
    }
}

/// What is known of the hosts when something is decided.
pub struct HostsSnapshot<'a> {
    pub registry: &'a HostRegistry,
    /// Hosts that do not call any more, and since when.
    pub silent: &'a BTreeMap<String, Timestamp>,
    /// Hosts that left, with the time and their address.
    pub departed: &'a [(Timestamp, Host)],
}

impl Promotion {
    pub fn new(service: &str) -> Self {
        Promotion {
            service: service.to_string(),
            stage: Stage::Idle,
            wake_at: None,
            quiet_until: Timestamp::DISTANT_PAST,
            held: BTreeSet::new(),
            paused_at: Timestamp::DISTANT_PAST,
            floors: BTreeMap::new(),
            floor_of: BTreeSet::new(),
            floor_at: Timestamp::DISTANT_PAST,
            attempt: 0,
            surveyed_hosts: BTreeSet::new(),
            next_term: 0,
            has_yielded: false,
            leader: LeaderWatch::default(),
        }
    }

    pub fn due(&self) -> Option<Timestamp> {
        self.wake_at
    }

    /// How often hosts were asked to stop.
    pub fn attempt(&self) -> u64 {
        self.attempt
    }

    /// The candidate, while a primary that does not answer is replaced. Safety: the replicas that were surveyed receive
    /// nothing from it any more, but one that joins it now does, and it would acknowledge what the candidate lacks.
    pub fn replacement(&self) -> Option<Replacement> {
        let (Stage::Yielding { candidate, .. }
        | Stage::Promoting { candidate, planned: false, .. }
        | Stage::Confirming { candidate, planned: false, .. }) = &self.stage
        else {
            return None;
        };
        Some(Replacement {
            service: self.service.clone(),
            candidate: candidate.clone(),
            term: self.next_term,
        })
    }

    /// Begins the survey again if a host has joined the service since it was complete. Whether it did: then the decision
    /// that came of it must not be carried out.
    pub fn survey_newcomers(
        &mut self,
        now: Timestamp,
        sight: &HostsSnapshot<'_>,
        asks: &mut Vec<PromotionRequest>,
    ) -> bool {
        let (old, planned, retries) = match self.stage.clone() {
            Stage::Yielding { old, .. } => (old, false, 0),
            Stage::Promoting { old, planned, retries, .. } => (old, planned, retries),
            _ => return false,
        };
        let joined = self.members(sight).iter().any(|host| !self.surveyed_hosts.contains(&host.id));
        if joined {
            // After a call to the platform whose answer was lost, the old primary may follow a new one by now: then its
            // word is needed as that of all others is.
            let old = old.filter(|_| retries == 0);
            let planned = planned && old.is_some();
            self.survey(now, old, planned, sight, asks);
        }
        joined
    }

    /// As an owner of the duty begins: what was seen of the leader before.
    pub fn set_leader_watch(&mut self, leader: &LeaderWatch) {
        self.leader.clone_from(leader);
    }

    /// Takes a silent replica for one that acknowledged nothing, without asking the primary. For a model checker, which has
    /// to find what that loses.
    pub fn assume_no_floor(&mut self, host: &str) {
        self.floors.insert(host.to_string(), Position::default());
    }

    /// Whether a host is still to be asked to go on receiving.
    pub fn is_paused(&self, host: &str) -> bool {
        self.held.contains(host)
    }

    fn go(&mut self, stage: Stage, wake_at: Option<Timestamp>) {
        if std::mem::discriminant(&self.stage) != std::mem::discriminant(&stage) {
            log::info!("promotion: {}: {}.", self.service, stage);
        }
        if stage == Stage::Idle {
            self.has_yielded = false;
        }
        (self.stage, self.wake_at) = (stage, wake_at);
    }

    fn members<'a>(&self, sight: &HostsSnapshot<'a>) -> Vec<&'a Host> {
        sight.registry.members(&self.service).collect()
    }

    /// Somebody says that a host, as primary, does not answer.
    pub fn suspect_primary(
        &mut self,
        now: Timestamp,
        host: &str,
        sight: &HostsSnapshot<'_>,
        asks: &mut Vec<PromotionRequest>,
    ) {
        let primary = sight.registry.primary(&self.service).is_some_and(|primary| primary.id == host);
        if self.stage == Stage::Idle && primary && now >= self.quiet_until {
            asks.push(PromotionRequest::Observe { host: host.to_string() });
            self.go(Stage::Checking { host: host.to_string(), silent: 0 }, None);
        }
    }

    /// Time has passed, or the hosts changed.
    pub fn poll(&mut self, now: Timestamp, sight: &HostsSnapshot<'_>, asks: &mut Vec<PromotionRequest>) {
        // Danger: a floor holds for one silence. A host that is back, and silent again, has acknowledged more meanwhile;
        // so it is forgotten at whatever stage, well before a new silence can be noticed.
        self.floors.retain(|host, _| sight.silent.contains_key(host));
        self.floor_of.retain(|host| sight.silent.contains_key(host));
        self.leader.update(now, &self.service, sight.registry);
        let woke = self.wake_at.is_some_and(|at| at <= now);
        if woke {
            self.wake_at = None;
        }
        match self.stage.clone() {
            Stage::Idle => {
                self.ask_for_floors(now, sight, asks);
                let known =
                    |host: &String| sight.registry.get(host).is_some_and(|host| host.phase() != Phase::Gone);
                self.held.retain(known);
                if self.wake_at.is_none() && !self.held.is_empty() {
                    // Danger: a question that was lost would leave a replica without its log for good.
                    asks.extend(
                        self.held.iter().map(|host| PromotionRequest::Continue { host: host.clone() }),
                    );
                    self.wake_at = Some(now + HELD);
                }
                let primary = sight.registry.primary(&self.service);
                let candidates = || {
                    self.members(sight)
                        .into_iter()
                        .any(|host| host.role() == DbRole::Replica && host.phase() == Phase::InService)
                };
                if let Some(old) = primary.filter(|old| old.phase() == Phase::Draining)
                    && now >= self.quiet_until
                    && candidates()
                {
                    self.survey(now, Some(old.id.clone()), true, sight, asks);
                } else if self.leader.is_leaderless(now, sight.registry) {
                    self.survey(now, None, false, sight, asks);
                }
            }
            Stage::Checking { host, .. } if woke => asks.push(PromotionRequest::Observe { host }),
            Stage::Surveying { old, planned, rows, unanswered } if woke => {
                self.ask_again(now, old, planned, (rows, unanswered), sight, asks);
            }
            Stage::Fencing { old, candidate, asked, term, rows } if woke => {
                // Whoever did not answer is asked again; whoever left meanwhile is not waited for but by its log.
                let missing = asked.iter().filter(|host| !rows.contains_key(*host));
                let known = missing
                    .filter(|host| sight.registry.get(host).is_some_and(|host| host.phase() != Phase::Gone));
                let known: Vec<String> = known.cloned().collect();
                self.pause(now, known.iter(), term, asks);
                let asked = rows.keys().cloned().chain(known).collect();
                self.go(Stage::Fencing { old, candidate, asked, term, rows }, Some(now + RETRY));
                self.paused(now, sight, asks);
            }
            Stage::CatchingUp { old, candidate, includes_old, until, .. } if woke => {
                if now >= until {
                    return self.abort(now, asks);
                }
                asks.extend(old.filter(|_| !includes_old).map(|host| PromotionRequest::Observe { host }));
                asks.push(PromotionRequest::Observe { host: candidate });
            }
            Stage::Yielding { .. } if woke => self.end_yielding(now, sight, asks),
            Stage::Promoting { candidate, .. } if woke => {
                asks.push(PromotionRequest::Promote { service: self.service.clone(), host: candidate });
            }
            Stage::Confirming { candidate, until, .. } => {
                if sight.registry.primary(&self.service).is_some_and(|primary| primary.id == candidate) {
                    // A change of primary lets all go on.
                    self.held.clear();
                    self.quiet_until = now + COOL;
                    self.go(Stage::Idle, None);
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
    fn ask_for_floors(
        &mut self,
        now: Timestamp,
        sight: &HostsSnapshot<'_>,
        asks: &mut Vec<PromotionRequest>,
    ) {
        let Some(primary) = sight.registry.primary(&self.service).map(|host| host.id.clone()) else { return };
        let lacks = |host: &&Host| {
            host.id != primary && sight.silent.contains_key(&host.id) && !self.floors.contains_key(&host.id)
        };
        let of: BTreeSet<String> =
            self.members(sight).into_iter().filter(lacks).map(|host| host.id.clone()).collect();
        if !of.is_empty() && now - self.floor_at >= RETRY && !sight.silent.contains_key(&primary) {
            (self.floor_of, self.floor_at) = (of, now);
            asks.push(PromotionRequest::Observe { host: primary });
        }
    }

    /// Takes what came back.
    pub fn handle_reply(
        &mut self,
        now: Timestamp,
        reply: Reply,
        sight: &HostsSnapshot<'_>,
        asks: &mut Vec<PromotionRequest>,
    ) {
        match &reply {
            // Safety: it may be asked to stop again by now, or the last question to stop may arrive only now.
            Reply::Row { host, kind: RowKind::Continue, .. }
                if self.stage == Stage::Idle && now - self.paused_at >= LATE_PAUSE =>
            {
                self.held.remove(host);
            }
            Reply::Row { kind: RowKind::Observe, row, .. } if row.primary => {
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
                self.go(Stage::Idle, None);
            }
            // Somebody else leads than who was thought to, or whoever was thought to be gone. Danger: its own word that it
            // leads may be late, as after a change that another holder made; what it acknowledges, no candidate needs to have.
            (stage, Reply::Row { host, row, .. }) if row.primary && stage.ends_with(&host) => {
                self.abort(now, asks);
            }
            (Stage::Surveying { old, planned, mut rows, mut unanswered }, Reply::Row { host, row, .. }) => {
                unanswered.remove(&host);
                rows.insert(host, row);
                let wake_at = self.wake_at;
                self.go(Stage::Surveying { old, planned, rows, unanswered }, wake_at);
                self.surveyed(now, sight, asks);
            }
            (Stage::Surveying { old, planned, rows, mut unanswered }, Reply::Silent { host }) => {
                unanswered.insert(host);
                let wake_at = self.wake_at;
                self.go(Stage::Surveying { old, planned, rows, unanswered }, wake_at);
                self.surveyed(now, sight, asks);
            }
            (
                Stage::Fencing { old, candidate, asked, term, mut rows },
                Reply::Row { host, kind: RowKind::Pause(attempt), row },
            ) if attempt == self.attempt && asked.contains(&host) => {
                rows.insert(host, row);
                let wake_at = self.wake_at;
                self.go(Stage::Fencing { old, candidate, asked, term, rows }, wake_at);
                self.paused(now, sight, asks);
            }
            (
                Stage::CatchingUp { old, candidate, required, includes_old, until },
                Reply::Row { host, row, .. },
            ) if host == candidate => {
                if includes_old && row.received >= required {
                    return self.promote(old, candidate, true, asks);
                }
                let stage = Stage::CatchingUp { old, candidate, required, includes_old, until };
                self.go(stage, Some(now + CATCH_UP));
            }
            // Safety: a candidate that receives nothing has all that the others have, and lacks what the old primary holds
            // back; a host that joins it would let it acknowledge that.
            (Stage::CatchingUp { old, candidate, required, until, .. }, Reply::Row { host, row, .. })
                if old.as_ref() == Some(&host) =>
            {
                let required = required.max(row.received);
                asks.push(PromotionRequest::Observe { host: candidate.clone() });
                let stage = Stage::CatchingUp { old, candidate, required, includes_old: true, until };
                self.go(stage, Some(now + RETRY));
            }
            (Stage::CatchingUp { old, candidate, .. }, Reply::Silent { host })
                if host == candidate || old.as_ref() == Some(&host) =>
            {
                self.abort(now, asks);
            }
            (Stage::Yielding { old, candidate }, Reply::Yielded) if !self.has_yielded => {
                self.has_yielded = true;
                self.go(Stage::Yielding { old, candidate }, Some(now + NEWCOMERS));
            }
            (Stage::Promoting { old, candidate, planned, retries }, Reply::Platform { status }) => {
                match status {
                    200..=299 => {
                        let until = now + SETTLE;
                        self.go(Stage::Confirming { candidate, planned, until }, Some(now + RETRY));
                    }
                    409 => self.survey(now, None, false, sight, asks),
                    // Danger: a call without an answer may have been carried out. The same host is named again: another
                    // one would lead a term later, without what this one took meanwhile.
                    _ if retries < 6 => {
                        let pause = RETRY * f64::from(1 << retries.min(3));
                        let retries = retries + 1;
                        self.go(Stage::Promoting { old, candidate, planned, retries }, Some(now + pause));
                    }
                    _ => self.survey(now, None, false, sight, asks),
                }
            }
            _ => {}
        }
    }

    /// Once all that were asked to have stopped receiving.
    fn paused(&mut self, now: Timestamp, sight: &HostsSnapshot<'_>, asks: &mut Vec<PromotionRequest>) {
        let Stage::Fencing { old, candidate, asked, rows, .. } = self.stage.clone() else { return };
        if !asked.iter().all(|host| rows.contains_key(host)) {
            return;
        }
        match candidate {
            Some(candidate) => {
                let others = rows.iter().filter(|(host, _)| **host != candidate).map(|(_, row)| row.received);
                let required = others.max().unwrap_or_default();
                asks.extend(old.iter().map(|host| PromotionRequest::Observe { host: host.clone() }));
                let until = now + PATIENCE;
                let includes_old = old.is_none();
                let stage = Stage::CatchingUp { old, candidate, required, includes_old, until };
                self.go(stage, Some(now + RETRY));
            }
            None => match best(&rows, sight) {
                Some(candidate) if self.has_yielded => self.promote(old, candidate, false, asks),
                Some(candidate) => {
                    let stage = Stage::Yielding { old, candidate };
                    self.go(stage, Some(now + YIELDS));
                }
                None => self.survey(now, None, false, sight, asks),
            },
        }
    }

    /// The old primary has yielded or does not answer routers either.
    fn end_yielding(&mut self, now: Timestamp, sight: &HostsSnapshot<'_>, asks: &mut Vec<PromotionRequest>) {
        let Stage::Yielding { old, candidate } = self.stage.clone() else { return };
        if !self.survey_newcomers(now, sight, asks) {
            self.promote(old, candidate, false, asks);
        }
    }

    fn promote(
        &mut self,
        old: Option<String>,
        candidate: String,
        planned: bool,
        asks: &mut Vec<PromotionRequest>,
    ) {
        asks.push(PromotionRequest::Promote { service: self.service.clone(), host: candidate.clone() });
        self.go(Stage::Promoting { old, candidate, planned, retries: 0 }, None);
    }

    fn pause<'a>(
        &mut self,
        now: Timestamp,
        hosts: impl Iterator<Item = &'a String>,
        term: u64,
        asks: &mut Vec<PromotionRequest>,
    ) {
        self.paused_at = now;
        for host in hosts {
            self.held.insert(host.clone());
            asks.push(PromotionRequest::Pause { host: host.clone(), term, attempt: self.attempt });
        }
    }

    /// Nothing is replaced. Whoever was held goes on: see `poll`, which asks for it till it is done.
    fn abort(&mut self, now: Timestamp, asks: &mut Vec<PromotionRequest>) {
        asks.extend(self.held.iter().map(|host| PromotionRequest::Continue { host: host.clone() }));
        self.quiet_until = now + COOL;
        self.go(Stage::Idle, None);
    }
}

/// The host that has most; of equals one that stays. Danger: a host that is about to end leads for a moment only, but
/// one that has less would lose what was acknowledged.
fn best(rows: &BTreeMap<String, Observed>, sight: &HostsSnapshot<'_>) -> Option<String> {
    let stays = |host: &str| sight.registry.get(host).is_some_and(|host| host.phase() == Phase::InService);
    let most = rows.iter().max_by_key(|(host, row)| (row.received, stays(host)));
    most.map(|(host, _)| host.clone())
}

/// The changes of all services.
#[derive(Debug, Default)]
pub struct Promotions {
    pub by_service: BTreeMap<String, Promotion>,
}

impl Promotions {
    pub fn get_or_create(&mut self, service: &str) -> &mut Promotion {
        self.by_service.entry(service.to_string()).or_insert_with(|| Promotion::new(service))
    }

    pub fn due(&self) -> Option<Timestamp> {
        self.by_service.values().filter_map(Promotion::due).min()
    }
}
