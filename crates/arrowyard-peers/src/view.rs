//! What a router holds true of its fleet, for the rest of the program and for operators.

use std::rc::Rc;

use arrowyard_types::{TimeDelta, Timestamp};

use crate::fleet::{Event, Fleet};
use crate::member::{Member, Standing};
use crate::reckon::Sight;

/// How a member is reached from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// It answers this router.
    Answers,
    /// This router hears it, and gets no answers: it does not hear this router.
    Heard,
    /// Helpers reach it, this router does not.
    ByOthers,
    /// Known by others' word, not asked yet or not lately.
    Told,
    None,
}

#[derive(Clone, Debug)]
pub struct Row {
    pub name: Rc<str>,
    pub standing: Standing,
    pub reach: Reach,
    pub life: u64,
    /// How long it stands so, and by whose word.
    pub for_span: TimeDelta,
    pub by: Rc<str>,
    /// How many say that it is silent.
    pub accusers: usize,
    /// Whether this router knows it of its own.
    pub sure: bool,
    pub idle: bool,
    /// How often it fell silent.
    pub fell: u32,
}

#[derive(Clone, Debug)]
pub struct View {
    pub name: Rc<str>,
    pub life: u64,
    pub rows: Vec<Row>,
    /// This router and those that are alive.
    pub reach: usize,
    /// And those that may act though nobody hears them.
    pub whole: usize,
    /// It doubts itself: it was away, or hears nobody.
    pub doubts: bool,
    pub health: u32,
    /// Another process has its name.
    pub doubled: bool,
    /// Routers that shares are reckoned by.
    pub routers: f64,
}

impl Fleet {
    fn reach(&self, now: Timestamp, one: &Member) -> Reach {
        // Each member is asked in turn, so that a router with many of them asks one seldom.
        let lately = self.terms.period * (self.table.live().len() as f64 + 6.0);
        if one.standing != Standing::Alive {
            return Reach::None;
        }
        let last = one.acked.max(one.heard).max(one.by_others);
        if now - last > lately {
            return Reach::Told;
        }
        if one.by_others > one.acked && now - one.by_others <= lately {
            return if now - one.heard <= self.terms.period * 6.0 { Reach::Heard } else { Reach::ByOthers };
        }
        Reach::Answers
    }

    fn row(&self, now: Timestamp, one: &Member) -> Row {
        let standing = one.standing;
        let own = match standing {
            Standing::Alive => now - one.proof() <= self.terms.period * 6.0,
            Standing::Left => one.by == one.name,
            Standing::Dead => one.refused_by.contains(&self.me.name),
            Standing::Silent | Standing::Lost => {
                one.failed >= one.proof() && one.failed > Timestamp::DISTANT_PAST
            }
        };
        Row {
            name: one.name.clone(),
            standing,
            reach: self.reach(now, one),
            life: one.life,
            for_span: now - one.since,
            by: one.by.clone(),
            accusers: one.accusers.len(),
            sure: own,
            idle: one.idle,
            fell: one.fell,
        }
    }

    #[must_use]
    pub fn view(&self, now: Timestamp) -> View {
        let mut rows: Vec<Row> = self.table.iter().map(|(_, one)| self.row(now, one)).collect();
        rows.sort_by(|a, b| a.name.cmp(&b.name));
        let sight = self.sight(now);
        View {
            name: self.me.name.clone(),
            life: self.me.life,
            reach: sight.reach,
            whole: sight.reach + sight.missing + sight.forgiven,
            doubts: self.health.doubts(now),
            health: self.health.score(),
            doubled: self.doubled,
            routers: self.reckoner.routers(),
            rows,
        }
    }

    /// How a member stands here.
    #[must_use]
    pub fn standing(&self, name: &str) -> Option<Standing> {
        self.table.of(name).map(|one| one.standing)
    }

    /// Members that are held alive, without this router.
    #[must_use]
    pub fn alive(&self) -> usize {
        self.table.live().len() - self.table.count(Standing::Silent)
    }

    /// All that is remembered: members, those that are over, candidates, questions.
    #[must_use]
    pub fn held(&self) -> usize {
        self.table.len() + self.candidates.len() + self.asks.len() + self.relays.len()
    }

    /// Routers that shares are reckoned by.
    #[must_use]
    pub fn routers(&self) -> f64 {
        self.reckoner.routers()
    }

    fn sight(&self, now: Timestamp) -> Sight {
        let (mut missing, mut forgiven) = (0, 0);
        let any = self.table.count(Standing::Silent) + self.table.count(Standing::Lost) > 0;
        for (_, one) in self.table.iter().filter(|_| any) {
            if matches!(one.standing, Standing::Silent | Standing::Lost) {
                let long = now - one.since > self.terms.forgive;
                *(if long { &mut forgiven } else { &mut missing }) += 1;
            }
        }
        let reach = 1 + self.alive() + usize::from(self.doubled);
        let joined = self.terms.seeds.is_empty() || self.table.len() > 0;
        Sight {
            reach,
            missing,
            forgiven,
            sure: joined && !self.health.doubts(now) && self.candidates.is_empty(),
        }
    }

    pub(crate) fn reckon(&mut self, now: Timestamp) {
        let sight = self.sight(now);
        self.reckoner.count(now, sight);
        let lost = self.table.count(Standing::Lost);
        let whole = sight.reach + sight.missing + sight.forgiven;
        let part = (lost > 0).then_some((sight.reach, whole));
        if part != self.part {
            self.part = part;
            self.events.push(Event::Part { reach: sight.reach, whole });
        }
    }
}
