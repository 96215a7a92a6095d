//! What a router holds true of its fleet, for the rest of the program and for operators.

use std::rc::Rc;

use arrowyard_types::{TimeDelta, Timestamp};

use crate::member::{Member, Standing};
use crate::membership::{Event, Membership};
use crate::router_count::MembershipSample;

/// How a member is reached from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// It answers this router.
    Direct,
    /// This router hears it, and gets no answers: it does not hear this router.
    InboundOnly,
    /// Helpers reach it, this router does not.
    ViaHelpers,
    /// Known by others' word, not asked yet or not lately.
    Reported,
    None,
}

#[derive(Clone, Debug)]
pub struct MemberRow {
    pub name: Rc<str>,
    pub standing: Standing,
    pub reach: Reach,
    pub incarnation: u64,
    /// How long it stands so, and by whose word.
    pub standing_for: TimeDelta,
    pub reported_by: Rc<str>,
    /// How many say that it is silent.
    pub accuser_count: usize,
    /// Whether this router knows it of its own.
    pub confirmed_locally: bool,
    pub idle: bool,
    /// How often it fell silent.
    pub suspicion_count: u32,
}

#[derive(Clone, Debug)]
pub struct View {
    pub name: Rc<str>,
    pub incarnation: u64,
    pub rows: Vec<MemberRow>,
    /// This router and those that are alive.
    pub reachable: usize,
    /// And those that may act though nobody hears them.
    pub total: usize,
    /// It doubts itself: it was away, or hears nobody.
    pub suspects_itself: bool,
    pub health_score: u32,
    /// Another process has its name.
    pub duplicate_name: bool,
    /// Routers that shares are reckoned by.
    pub router_count: f64,
}

impl Membership {
    fn reachability(&self, now: Timestamp, one: &Member) -> Reach {
        // Each member is asked in turn, so that a router with many of them asks one seldom.
        let lately = self.config.probe_interval * (self.table.live().len() as f64 + 6.0);
        if one.standing != Standing::Alive {
            return Reach::None;
        }
        let last = one.last_ack.max(one.last_heard).max(one.last_indirect_ack);
        if now - last > lately {
            return Reach::Reported;
        }
        if one.last_indirect_ack > one.last_ack && now - one.last_indirect_ack <= lately {
            return if now - one.last_heard <= self.config.probe_interval * 6.0 {
                Reach::InboundOnly
            } else {
                Reach::ViaHelpers
            };
        }
        Reach::Direct
    }

    fn member_row(&self, now: Timestamp, one: &Member) -> MemberRow {
        let standing = one.standing;
        let own = match standing {
            Standing::Alive => now - one.last_evidence() <= self.config.probe_interval * 6.0,
            Standing::Left => one.reported_by == one.name,
            Standing::Dead => one.refused_by.contains(&self.local.name),
            Standing::Silent | Standing::Lost => {
                one.last_probe_failure >= one.last_evidence()
                    && one.last_probe_failure > Timestamp::DISTANT_PAST
            }
        };
        MemberRow {
            name: one.name.clone(),
            standing,
            reach: self.reachability(now, one),
            incarnation: one.incarnation,
            standing_for: now - one.standing_since,
            reported_by: one.reported_by.clone(),
            accuser_count: one.accusers.len(),
            confirmed_locally: own,
            idle: one.idle,
            suspicion_count: one.suspicion_count,
        }
    }

    #[must_use]
    pub fn view(&self, now: Timestamp) -> View {
        let mut rows: Vec<MemberRow> = self.table.iter().map(|(_, one)| self.member_row(now, one)).collect();
        rows.sort_by(|a, b| a.name.cmp(&b.name));
        let sight = self.sample(now);
        View {
            name: self.local.name.clone(),
            incarnation: self.local.incarnation,
            reachable: sight.reachable,
            total: sight.reachable + sight.missing + sight.long_missing,
            suspects_itself: self.health.is_suspect(now),
            health_score: self.health.score(),
            duplicate_name: self.duplicate_name,
            router_count: self.router_count_estimator.routers(),
            rows,
        }
    }

    /// How a member stands here.
    #[must_use]
    pub fn standing(&self, name: &str) -> Option<Standing> {
        self.table.by_name(name).map(|one| one.standing)
    }

    /// Members that are held alive, without this router.
    #[must_use]
    pub fn alive_count(&self) -> usize {
        self.table.live().len() - self.table.count_by_standing(Standing::Silent)
    }

    /// All that is remembered: members, those that are over, candidates, questions.
    #[must_use]
    pub fn tracked_entries(&self) -> usize {
        self.table.len() + self.candidates.len() + self.probes.len() + self.relays.len()
    }

    /// Routers that shares are reckoned by.
    #[must_use]
    pub fn router_count(&self) -> f64 {
        self.router_count_estimator.routers()
    }

    fn sample(&self, now: Timestamp) -> MembershipSample {
        let (mut missing, mut forgiven) = (0, 0);
        let any =
            self.table.count_by_standing(Standing::Silent) + self.table.count_by_standing(Standing::Lost) > 0;
        for (_, one) in self.table.iter().filter(|_| any) {
            if matches!(one.standing, Standing::Silent | Standing::Lost) {
                let long = now - one.standing_since > self.config.missing_grace_period;
                *(if long { &mut forgiven } else { &mut missing }) += 1;
            }
        }
        let reach = 1 + self.alive_count() + usize::from(self.duplicate_name);
        let joined = self.config.seeds.is_empty() || self.table.len() > 0;
        MembershipSample {
            reachable: reach,
            missing,
            long_missing: forgiven,
            reliable: joined && !self.health.is_suspect(now) && self.candidates.is_empty(),
        }
    }

    pub(crate) fn update_router_count(&mut self, now: Timestamp) {
        let sight = self.sample(now);
        self.router_count_estimator.update(now, sight);
        let lost = self.table.count_by_standing(Standing::Lost);
        let whole = sight.reachable + sight.missing + sight.long_missing;
        let part = (lost > 0).then_some((sight.reachable, whole));
        if part != self.partition {
            self.partition = part;
            self.events.push(Event::Partition { reachable: sight.reachable, total: whole });
        }
    }
}
