//! A router's view of its fleet, for the rest of the program and for operators.

use std::rc::Rc;

use arrowyard_types::{TimeDelta, Timestamp};

use crate::member::{Member, Standing};
use crate::membership::{Event, Membership};
use crate::router_count::MembershipSample;

/// How this router reaches a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// It answers this router's probes.
    Direct,
    /// This router receives its datagrams, but no acks: the member does not receive those of this router.
    InboundOnly,
    /// Only helpers get acks from it.
    ViaHelpers,
    /// Known from rumors, and not probed recently.
    Reported,
    None,
}

/// One member in a view.
#[derive(Clone, Debug)]
pub struct MemberRow {
    pub name: Rc<str>,
    pub standing: Standing,
    pub reach: Reach,
    pub incarnation: u64,
    /// How long it has had its standing, and whose rumor led to it.
    pub standing_for: TimeDelta,
    pub reported_by: Rc<str>,
    /// Number of members that suspect it.
    pub suspected_by_count: usize,
    /// Whether this router has first-hand evidence of the standing.
    pub confirmed_locally: bool,
    pub idle: bool,
    /// How often it became silent.
    pub suspicion_count: u32,
}

/// A router's view at one moment.
#[derive(Clone, Debug)]
pub struct View {
    pub name: Rc<str>,
    pub incarnation: u64,
    pub rows: Vec<MemberRow>,
    /// This router and the members that are alive.
    pub reachable: usize,
    /// The reachable ones, and those that may still be running but are unreachable.
    pub total: usize,
    /// This router stalled, or hears no member.
    pub suspects_itself: bool,
    pub health_score: u32,
    /// Another process has the name of this router.
    pub duplicate_name: bool,
    /// Number of routers that capacity is divided by.
    pub router_count: f64,
}

impl Membership {
    fn reachability(&self, now: Timestamp, member: &Member) -> Reach {
        // The rotation probes each member once per round, and a round takes as many periods as there are
        // members.
        let rotation_time = self.config.probe_interval * (self.table.live().len() as f64 + 6.0);
        if member.standing != Standing::Alive {
            return Reach::None;
        }
        let last_evidence = member.last_ack.max(member.last_heard).max(member.last_indirect_ack);
        if now - last_evidence > rotation_time {
            return Reach::Reported;
        }
        if member.last_indirect_ack > member.last_ack && now - member.last_indirect_ack <= rotation_time {
            return if now - member.last_heard <= self.config.probe_interval * 6.0 {
                Reach::InboundOnly
            } else {
                Reach::ViaHelpers
            };
        }
        Reach::Direct
    }

    fn member_row(&self, now: Timestamp, member: &Member) -> MemberRow {
        let standing = member.standing;
        let confirmed_locally = match standing {
            Standing::Alive => now - member.last_evidence() <= self.config.probe_interval * 6.0,
            Standing::Left => member.reported_by == member.name,
            Standing::Dead => member.refused_by.contains(&self.local.name),
            Standing::Silent | Standing::Lost => {
                member.last_probe_failure >= member.last_evidence()
                    && member.last_probe_failure > Timestamp::DISTANT_PAST
            }
        };
        MemberRow {
            name: member.name.clone(),
            standing,
            reach: self.reachability(now, member),
            incarnation: member.incarnation,
            standing_for: now - member.standing_since,
            reported_by: member.reported_by.clone(),
            suspected_by_count: member.suspected_by.len(),
            confirmed_locally,
            idle: member.idle,
            suspicion_count: member.suspicion_count,
        }
    }

    /// The current view, sorted by name.
    #[must_use]
    pub fn view(&self, now: Timestamp) -> View {
        let mut rows: Vec<MemberRow> =
            self.table.iter().map(|(_, member)| self.member_row(now, member)).collect();
        rows.sort_by(|a, b| a.name.cmp(&b.name));
        let counts = self.sample(now);
        View {
            name: self.local.name.clone(),
            incarnation: self.local.incarnation,
            reachable: counts.reachable,
            total: counts.reachable + counts.missing + counts.long_missing,
            suspects_itself: self.health.is_suspect(now),
            health_score: self.health.score(),
            duplicate_name: self.duplicate_name,
            router_count: self.router_count_estimator.routers(),
            rows,
        }
    }

    /// Standing of a member, if it is known.
    #[must_use]
    pub fn standing(&self, name: &str) -> Option<Standing> {
        self.table.by_name(name).map(|member| member.standing)
    }

    /// Number of members that are alive, without this router.
    #[must_use]
    pub fn alive_count(&self) -> usize {
        self.table.live().len() - self.table.count_by_standing(Standing::Silent)
    }

    /// Number of tracked entries: members including inactive ones, candidates, and open probes.
    #[must_use]
    pub fn tracked_entries(&self) -> usize {
        self.table.len() + self.candidates.len() + self.probes.len() + self.relays.len()
    }

    /// Number of routers that capacity is divided by.
    #[must_use]
    pub fn router_count(&self) -> f64 {
        self.router_count_estimator.routers()
    }

    fn sample(&self, now: Timestamp) -> MembershipSample {
        let (mut missing, mut long_missing) = (0, 0);
        let any_missing =
            self.table.count_by_standing(Standing::Silent) + self.table.count_by_standing(Standing::Lost) > 0;
        for (_, member) in self.table.iter().filter(|_| any_missing) {
            if matches!(member.standing, Standing::Silent | Standing::Lost) {
                let past_grace = now - member.standing_since > self.config.missing_grace_period;
                *(if past_grace { &mut long_missing } else { &mut missing }) += 1;
            }
        }
        let reachable = 1 + self.alive_count() + usize::from(self.duplicate_name);
        let joined = self.config.seeds.is_empty() || self.table.len() > 0;
        MembershipSample {
            reachable,
            missing,
            long_missing,
            reliable: joined && !self.health.is_suspect(now) && self.candidates.is_empty(),
        }
    }

    pub(crate) fn update_router_count(&mut self, now: Timestamp) {
        let counts = self.sample(now);
        self.router_count_estimator.update(now, counts);
        let lost = self.table.count_by_standing(Standing::Lost);
        let total = counts.reachable + counts.missing + counts.long_missing;
        let partition = (lost > 0).then_some((counts.reachable, total));
        if partition != self.partition {
            self.partition = partition;
            self.events.push(Event::Partition { reachable: counts.reachable, total });
        }
    }
}
