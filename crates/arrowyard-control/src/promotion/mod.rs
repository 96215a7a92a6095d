//! Promotion of a new primary when the current one has failed or is draining. A service is in exactly
//! one [`Stage`]; `Promotion::handle_reply` and `Promotion::poll` change it.
//!
//! Safety: the new primary must have every acknowledged commit. A commit is acknowledged once one
//! replica has received it, so every replica that could have acknowledged one is made to stop receiving
//! (`PAUSE`), and the one that has received most is promoted; positions compare by term first. In a
//! planned change the old primary still serves. The surveyed replicas but the candidate are paused, but a
//! host that joins the service before the change takes effect is not, so routers acknowledge a commit only
//! once the candidate has received it.

mod departed;
mod fencing;
mod primary_watch;
mod replies;
mod request;
mod stage;
mod survey;

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

use arrowyard_messages::{DbRole, Host, Phase, Replacement};
use arrowyard_protocol::Position;
use arrowyard_types::{TimeDelta, Timestamp};

use departed::is_departed;
pub use primary_watch::PrimaryWatch;
pub use request::{PromotionRequest, Reply, RequestKind, is_redundant};
pub use stage::Stage;

use crate::HostRegistry;

/// Delay before an unresponsive primary is asked again, and the interval after a completed check or
/// change during which suspicions are ignored.
const RECHECK_DELAY: TimeDelta = TimeDelta::from_millis(80);
const COOLDOWN: TimeDelta = TimeDelta::from_millis(400);
/// Interval at which unanswered requests are repeated, and at which replicas that stay paused without a
/// change in progress are told to continue.
const RETRY_INTERVAL: TimeDelta = TimeDelta::from_millis(150);
const CONTINUE_INTERVAL: TimeDelta = TimeDelta::from_millis(1000);
/// A pause request relayed by a router may arrive this long after it was sent.
const MAX_PAUSE_DELAY: TimeDelta = TimeDelta::from_millis(1000);
/// Interval at which a candidate that catches up is asked for its position.
const CATCH_UP_INTERVAL: TimeDelta = TimeDelta::from_millis(15);
/// Time for a live old primary to yield (to stop acknowledging commits), and time after that for replicas that joined it earlier to
/// send a heartbeat.
const YIELD_TIMEOUT: TimeDelta = TimeDelta::from_millis(40);
const NEW_REPLICA_WAIT: TimeDelta = TimeDelta::from_millis(500);
/// Time for the candidate to catch up, and for the platform to make it primary.
const CATCH_UP_TIMEOUT: TimeDelta = TimeDelta::from_millis(1500);
const CONFIRM_TIMEOUT: TimeDelta = TimeDelta::from_millis(4000);
/// Number of consecutive requests that must stay unanswered before a primary counts as failed.
const FAILURE_THRESHOLD: u32 = 2;

/// State of a service's change of primary.
#[derive(Clone, Debug)]
pub struct Promotion {
    service: String,
    pub stage: Stage,
    wake_at: Option<Timestamp>,
    cooldown_until: Timestamp,
    /// Hosts that were paused and have not confirmed since that they continue, with the attempt of the last
    /// pause request.
    paused_hosts: BTreeMap<String, u64>,
    paused_at: Timestamp,
    /// By silent replica: a position of the primary observed since the replica fell silent. A host that has
    /// received as much has everything that the replica acknowledged.
    floors: BTreeMap<String, Position>,
    /// Replicas that were silent when the primary's position was requested; its response gives their floors.
    floor_pending: BTreeSet<String>,
    floor_requested_at: Timestamp,
    /// When departed replicas last responded.
    departed_seen_at: BTreeMap<String, Timestamp>,
    /// Number of pause rounds so far.
    attempt: u64,
    /// Hosts of the service when the last survey was complete, and a term above all of theirs.
    surveyed_hosts: BTreeSet<String>,
    next_term: u64,
    /// Whether the old primary has yielded in this change and can acknowledge nothing more.
    has_yielded: bool,
    /// The candidate of a planned change, from the time at which it catches up until the change ends.
    planned_candidate: Option<String>,
    /// Whether all routers check commits at the candidate, and whether the position of the old primary was
    /// requested since.
    routers_informed: bool,
    is_position_requested: bool,
    primary_watch: PrimaryWatch,
}

/// Excludes timestamps and the attempt number, so that a model checker treats promotions that differ
/// only in these as the same state.
impl Hash for Promotion {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (&self.service, &self.stage, self.wake_at.is_some()).hash(state);
        self.paused_hosts.keys().for_each(|host| host.hash(state));
        (&self.floors, &self.floor_pending, self.has_yielded).hash(state);
        (&self.planned_candidate, self.routers_informed, self.is_position_requested).hash(state);
        self.primary_watch.is_primary_missing().hash(state);
    }
}

/// What is known of the hosts at the time of a decision.
pub struct HostsSnapshot<'a> {
    /// All known hosts.
    pub registry: &'a HostRegistry,
    /// Hosts that stopped sending heartbeats, and since when.
    pub silent: &'a BTreeMap<String, Timestamp>,
}

impl Promotion {
    /// Creates an idle promotion for a service.
    pub fn new(service: &str) -> Self {
        Promotion {
            service: service.to_string(),
            stage: Stage::Idle,
            wake_at: None,
            cooldown_until: Timestamp::DISTANT_PAST,
            paused_hosts: BTreeMap::new(),
            paused_at: Timestamp::DISTANT_PAST,
            floors: BTreeMap::new(),
            floor_pending: BTreeSet::new(),
            floor_requested_at: Timestamp::DISTANT_PAST,
            departed_seen_at: BTreeMap::new(),
            attempt: 0,
            surveyed_hosts: BTreeSet::new(),
            next_term: 0,
            has_yielded: false,
            planned_candidate: None,
            routers_informed: true,
            is_position_requested: true,
            primary_watch: PrimaryWatch::default(),
        }
    }

    /// When [`Promotion::poll`] is to be called next.
    pub fn due(&self) -> Option<Timestamp> {
        self.wake_at
    }

    /// Number of pause rounds so far.
    pub fn attempt(&self) -> u64 {
        self.attempt
    }

    /// The replacement to announce while a failed primary is replaced. Safety: the surveyed replicas no
    /// longer receive from the old primary, but a replica that joins it now would, and would let it
    /// acknowledge commits that the candidate lacks.
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

    /// The planned replacement to announce: from the time at which the position that the candidate must
    /// reach is requested until the change has taken effect. Safety: once the platform has been called, its
    /// promotion of this candidate may take effect whatever is decided later.
    pub fn planned_replacement(&self) -> Option<Replacement> {
        self.planned_candidate.as_ref().filter(|_| self.replacement().is_none()).map(|candidate| {
            Replacement { service: self.service.clone(), candidate: candidate.clone(), term: self.next_term }
        })
    }

    /// Restarts the survey if a host has joined the service since it was complete. Returns whether it did;
    /// the decision based on the old survey must not be carried out then.
    pub fn survey_newcomers(
        &mut self,
        now: Timestamp,
        hosts: &HostsSnapshot<'_>,
        requests: &mut Vec<PromotionRequest>,
    ) -> bool {
        let (old, planned, retries) = match self.stage.clone() {
            Stage::Yielding { old, .. } => (old, false, 0),
            Stage::Promoting { old, planned, retries, .. } => (old, planned, retries),
            _ => return false,
        };
        let joined = self.members(hosts).iter().any(|host| !self.surveyed_hosts.contains(&host.id));
        if joined {
            // After a platform call without a response, the old primary may already follow a new one; its
            // response is then needed like that of any other host.
            let old = old.filter(|_| retries == 0);
            let planned = planned && old.is_some();
            self.survey(now, old, planned, hosts, requests);
        }
        joined
    }

    /// Sets whether all routers act by the announced planned replacement. Safety: until then a router may
    /// acknowledge commits that the candidate lacks, so a position of the old primary that was requested
    /// earlier is not compared with that of the candidate.
    pub fn set_routers_informed(&mut self, informed: bool) {
        self.routers_informed = informed;
        self.is_position_requested &= informed;
    }

    /// Takes over the primary status observed before this machine held the duty.
    pub fn set_primary_watch(&mut self, primary_watch: &PrimaryWatch) {
        self.primary_watch.clone_from(primary_watch);
    }

    /// The floors of silent replicas.
    pub fn floors(&self) -> impl Iterator<Item = (&String, &Position)> {
        self.floors.iter()
    }

    /// Takes over a floor that the previous duty holder has observed.
    pub fn restore_floor(&mut self, host: &str, floor: Position) {
        self.floors.insert(host.to_string(), floor);
    }

    /// Forgets the floor of a host that was heard.
    pub fn forget_floor(&mut self, host: &str) {
        self.floors.remove(host);
        self.floor_pending.remove(host);
    }

    /// Treats a silent replica as one that acknowledged nothing, without asking the primary. Only for a
    /// model checker, which has to detect the resulting data loss.
    pub fn assume_no_floor(&mut self, host: &str) {
        self.floors.insert(host.to_string(), Position::default());
    }

    /// Whether a host is still to be told to continue receiving.
    pub fn is_paused(&self, host: &str) -> bool {
        self.paused_hosts.contains_key(host)
    }

    /// The attempt of the last pause request to a host that is still to be told to continue.
    pub fn pause_attempt(&self, host: &str) -> Option<u64> {
        self.paused_hosts.get(host).copied()
    }

    fn set_stage(&mut self, stage: Stage, wake_at: Option<Timestamp>) {
        if std::mem::discriminant(&self.stage) != std::mem::discriminant(&stage) {
            log::info!("promotion: {}: {}.", self.service, stage);
        }
        if stage == Stage::Idle {
            (self.has_yielded, self.planned_candidate) = (false, None);
        }
        (self.stage, self.wake_at) = (stage, wake_at);
    }

    fn members<'a>(&self, hosts: &HostsSnapshot<'a>) -> Vec<&'a Host> {
        hosts.registry.members(&self.service).collect()
    }

    /// Handles a report that a host does not respond as primary.
    pub fn suspect_primary(
        &mut self,
        now: Timestamp,
        host: &str,
        hosts: &HostsSnapshot<'_>,
        requests: &mut Vec<PromotionRequest>,
    ) {
        let is_primary = hosts.registry.primary(&self.service).is_some_and(|primary| primary.id == host);
        if self.stage == Stage::Idle && is_primary && now >= self.cooldown_until {
            requests.push(PromotionRequest::Observe { host: host.to_string() });
            self.set_stage(Stage::Checking { host: host.to_string(), timeouts: 0 }, None);
        }
    }

    /// Advances the promotion after time has passed or the hosts have changed.
    pub fn poll(&mut self, now: Timestamp, hosts: &HostsSnapshot<'_>, requests: &mut Vec<PromotionRequest>) {
        // Safety: a floor is valid for one silence only. A host that was back in between has acknowledged
        // more, so its floor is removed in every stage, well before a new silence can be detected.
        self.floors.retain(|host, _| hosts.silent.contains_key(host));
        self.floor_pending.retain(|host| hosts.silent.contains_key(host));
        self.primary_watch.update(now, &self.service, hosts.registry);
        let timer_fired = self.wake_at.is_some_and(|at| at <= now);
        if timer_fired {
            self.wake_at = None;
        }
        match self.stage.clone() {
            Stage::Idle => {
                self.request_floors(now, hosts, requests);
                self.forget_ended_hosts(now, hosts);
                if self.wake_at.is_none() && !self.paused_hosts.is_empty() {
                    // Repeat the request: a replica whose request was lost would stay paused for good.
                    self.request_continue(requests);
                    self.wake_at = Some(now + CONTINUE_INTERVAL);
                }
                let primary = hosts.registry.primary(&self.service);
                let has_candidate = || {
                    self.members(hosts)
                        .into_iter()
                        .any(|host| host.role() == DbRole::Replica && host.phase() == Phase::InService)
                };
                if let Some(old) = primary.filter(|old| old.phase() == Phase::Draining)
                    && now >= self.cooldown_until
                    && has_candidate()
                {
                    self.survey(now, Some(old.id.clone()), true, hosts, requests);
                } else if self.primary_watch.needs_primary(now, hosts.registry) {
                    self.survey(now, None, false, hosts, requests);
                }
            }
            Stage::Checking { host, .. } if timer_fired => requests.push(PromotionRequest::Observe { host }),
            Stage::Surveying { old, planned, rows, unanswered } if timer_fired => {
                self.continue_survey(now, old, planned, (rows, unanswered), hosts, requests);
            }
            Stage::Fencing { old, candidate, pending_hosts, term, rows } if timer_fired => {
                // Repeat the request to hosts that did not respond. A planned change does not wait for hosts
                // that have departed.
                let missing = pending_hosts.iter().filter(|host| !rows.contains_key(*host));
                let is_asked = |host: &&String| {
                    !is_departed(host, hosts) || candidate.is_none() && self.is_awaited(now, host, hosts)
                };
                let known: Vec<String> = missing.filter(is_asked).cloned().collect();
                self.pause(now, known.iter(), term, requests);
                let pending_hosts = rows.keys().cloned().chain(known).collect();
                self.set_stage(
                    Stage::Fencing { old, candidate, pending_hosts, term, rows },
                    Some(now + RETRY_INTERVAL),
                );
                self.finish_fencing(now, hosts, requests);
            }
            Stage::CatchingUp { old, candidate, includes_old, until, .. } if timer_fired => {
                if now >= until {
                    return self.abort(now, requests);
                }
                requests.extend(old.filter(|_| !includes_old).map(|host| PromotionRequest::Observe { host }));
                requests.push(PromotionRequest::Observe { host: candidate });
            }
            Stage::Yielding { .. } if timer_fired => self.end_yielding(now, hosts, requests),
            Stage::Promoting { candidate, .. } if timer_fired => {
                requests.push(PromotionRequest::Promote { service: self.service.clone(), host: candidate });
            }
            Stage::Confirming { candidate, until, .. } => {
                if hosts.registry.primary(&self.service).is_some_and(|primary| primary.id == candidate) {
                    // A change of primary ends the pause of all replicas.
                    self.paused_hosts.clear();
                    self.cooldown_until = now + COOLDOWN;
                    self.set_stage(Stage::Idle, None);
                } else if now >= until {
                    self.survey(now, None, false, hosts, requests);
                } else {
                    self.wake_at = Some(until);
                }
            }
            _ => {}
        }
    }

    /// Forgets hosts that have ended: they need not be told to continue.
    fn forget_ended_hosts(&mut self, now: Timestamp, hosts: &HostsSnapshot<'_>) {
        let ended = |host: &String| is_departed(host, hosts) && !self.is_awaited(now, host, hosts);
        let ended: BTreeSet<String> = self.paused_hosts.keys().filter(|host| ended(host)).cloned().collect();
        self.paused_hosts.retain(|host, _| !ended.contains(host));
        self.departed_seen_at.retain(|host, _| hosts.registry.get(host).is_some());
    }

    /// Asks the primary for its position when a replica falls silent; once per silence, since each request
    /// occupies a slot at the primary.
    fn request_floors(
        &mut self,
        now: Timestamp,
        hosts: &HostsSnapshot<'_>,
        requests: &mut Vec<PromotionRequest>,
    ) {
        let Some(primary) = hosts.registry.primary(&self.service).map(|host| host.id.clone()) else { return };
        let lacks_floor = |host: &&Host| {
            host.id != primary && hosts.silent.contains_key(&host.id) && !self.floors.contains_key(&host.id)
        };
        let replicas: BTreeSet<String> =
            self.members(hosts).into_iter().filter(lacks_floor).map(|host| host.id.clone()).collect();
        if !replicas.is_empty()
            && now - self.floor_requested_at >= RETRY_INTERVAL
            && !hosts.silent.contains_key(&primary)
        {
            (self.floor_pending, self.floor_requested_at) = (replicas, now);
            requests.push(PromotionRequest::Observe { host: primary });
        }
    }

    /// Promotes the candidate: the old primary has yielded, or does not respond to routers either.
    fn end_yielding(
        &mut self,
        now: Timestamp,
        hosts: &HostsSnapshot<'_>,
        requests: &mut Vec<PromotionRequest>,
    ) {
        let Stage::Yielding { old, candidate } = self.stage.clone() else { return };
        if !self.survey_newcomers(now, hosts, requests) {
            self.promote(old, candidate, false, requests);
        }
    }

    fn promote(
        &mut self,
        old: Option<String>,
        candidate: String,
        planned: bool,
        requests: &mut Vec<PromotionRequest>,
    ) {
        requests.push(PromotionRequest::Promote { service: self.service.clone(), host: candidate.clone() });
        self.set_stage(Stage::Promoting { old, candidate, planned, retries: 0 }, None);
    }

    /// Gives the change up. Paused hosts are told to continue; `poll` repeats this until they confirm.
    fn abort(&mut self, now: Timestamp, requests: &mut Vec<PromotionRequest>) {
        self.request_continue(requests);
        self.cooldown_until = now + COOLDOWN;
        self.set_stage(Stage::Idle, None);
    }
}

/// The promotions of all services.
#[derive(Debug, Default)]
pub struct Promotions {
    pub by_service: BTreeMap<String, Promotion>,
}

impl Promotions {
    /// The promotion of a service.
    pub fn get_or_create(&mut self, service: &str) -> &mut Promotion {
        self.by_service.entry(service.to_string()).or_insert_with(|| Promotion::new(service))
    }

    pub fn due(&self) -> Option<Timestamp> {
        self.by_service.values().filter_map(Promotion::due).min()
    }
}
