//! All that cells decide, put together: an op is asked about once as it comes, and again while it is held; its sends
//! and its end are told. What comes back says where it may go.

use std::collections::BTreeMap;
use std::net::IpAddr;

use arrowyard_types::{CellId, Consistency, GroupId, HostId, TimeDelta, Timestamp};
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::assign::{Assign, Homeless, Homes};
use crate::budget::Budget;
use crate::index::Index;
use crate::layout::{Layout, Pace as PaceTerms};
use crate::moving::{Moving, Ran, Refused, Stage, Step, Stuck, Terms, Wanted, Where};
use crate::pace::Pace;
use crate::room::Room;
use crate::widen::{HeldBack, Judged, LITTLE_TRUST, Verdict as Release, Widen};

/// How much of each divided thing the router has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Totals {
    /// Ops in hand, and the bytes of their statements.
    pub ops: u64,
    pub bytes: u64,
    /// Probes under way.
    pub probes: u64,
}

/// What an op's client says, as far as cells care.
#[derive(Clone, Copy, Debug)]
pub struct Facts<'a> {
    pub tenant: Option<&'a str>,
    pub address: Option<IpAddr>,
    pub group: GroupId,
    pub bytes: u64,
    pub need: Consistency,
    /// What names the session: its ops keep to one of several cells.
    pub session: Option<u64>,
    /// The token, in op types whose repeats have one effect.
    pub token: Option<u64>,
    pub again: bool,
    pub due: Timestamp,
}

/// A place that an op has: told back when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pass {
    pub cell: CellId,
    bytes: u64,
    /// The move whose source it writes to, or that holds it.
    moving: Option<MoveId>,
    held: bool,
    token: Option<u64>,
}

/// A tenant that moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct MoveId(u32);

/// What is decided of an op as it comes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It goes on in this cell, to this group as the lists name it; a session's read has to see this much at least.
    Go { pass: Pass, group: GroupId, floor: Option<Timestamp> },
    /// It waits, at most until this point; then, and whenever something changed, its place is given back (`ended`)
    /// and it is asked about anew.
    Hold { pass: Pass, until: Timestamp },
    /// Nothing of it was sent. Come back after this span, if one is known.
    Busy { cell: Option<CellId>, after: Option<TimeDelta>, why: Why },
    /// It cannot be an op here, or may have run where it cannot be asked for any more.
    Error { why: Why },
}

/// Why an op does not go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    Homeless(Homeless),
    /// The tenant's cell does not serve the group.
    NoGroup,
    Ops,
    Bytes,
    Pace,
    Repeats,
    /// A write, and the file's word on who writes where is too old.
    Lease,
    Fence,
    Unsure,
}

impl Why {
    /// For logs and clients.
    pub fn text(self) -> &'static str {
        match self {
            Why::Homeless(Homeless::Tenant) => "the tenant has no cell",
            Why::Homeless(Homeless::Nobody) => "no tenant is named, and neither address nor group has a cell",
            Why::NoGroup => "the tenant's cell does not serve the group",
            Why::Ops => "the cell has no room for ops",
            Why::Bytes => "the cell has no room for bytes",
            Why::Pace => "the cell's hosts are slow",
            Why::Repeats => "the cell's budget of repeated attempts is spent",
            Why::Lease => "the operator's file is too old for writes and bounded reads",
            Why::Fence => "the tenant moves",
            Why::Unsure => "it may have run; the tenant moved since",
        }
    }
}

/// How a send ended, as far as cells care.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Acked,
    /// An answer that is no ack and no refusal, or none at all.
    Bad,
    /// It provably never ran: turned away, a miss, no connection.
    Never,
}

/// Something that operators want to know.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    Release(Release),
    /// Hosts of the cell that started anew are trusted little.
    HeldBack(CellId, HeldBack),
    Moved(Box<str>, Stage),
    Stuck(Box<str>, Stuck),
}

/// A file that is refused whole; the old layout stays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stale {
    /// It is older than the one that is held, or another of the same epoch.
    Epoch { held: u64, told: u64 },
    /// It contradicts a move.
    Move(Box<str>, Refused),
    /// A move is missing that is not over.
    Missing(Box<str>),
    /// A move begins to fence while other routers may act on the old lease still.
    Early(Box<str>),
    /// A move has a fence, and nothing bounds how long other routers act on the file before, which has no lease.
    Unleased(Box<str>),
}

/// The state of one cell.
#[derive(Debug)]
struct Cell {
    pace: Option<Pace>,
    budget: Option<Budget>,
    tally: Tally,
}

/// What a cell did since the last tally.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub taken: u32,
    pub busy: u32,
    pub errors: u32,
    pub first: u32,
    pub further: u32,
}

/// The cells of one router.
#[derive(Debug)]
pub struct Cells {
    layout: Layout,
    index: Index,
    assign: Assign,
    ops: Room,
    bytes: Room,
    probes: Room,
    cells: Vec<Cell>,
    moves: BTreeMap<MoveId, Moving>,
    next_move: u32,
    moving: FxHashMap<Box<str>, MoveId>,
    widen: Option<Widen>,
    terms: Terms,
    news: Vec<News>,
    told: FxHashMap<Box<str>, (Stage, Option<Stuck>)>,
}

fn parts(layout: &Layout) -> impl Iterator<Item = (f64, f64)> + '_ {
    layout.cells.iter().map(|cell| (cell.weight, cell.guaranteed))
}

/// When a client had better come back whose cell had no room: a few ops have ended by then.
const COME_BACK: TimeDelta = TimeDelta::from_millis(20);

impl Cells {
    pub fn new(now: Timestamp, layout: Layout, totals: Totals, terms: Terms) -> Self {
        let room = |total| Room::new(total, parts(&layout), layout.call_back);
        let mut cells = Cells {
            index: Index::new(&layout),
            assign: Assign::new(&layout),
            ops: room(totals.ops),
            bytes: room(totals.bytes),
            probes: room(totals.probes),
            cells: Vec::new(),
            moves: BTreeMap::new(),
            next_move: 0,
            moving: FxHashMap::default(),
            widen: layout.release.clone().map(Widen::new),
            layout,
            terms,
            news: Vec::new(),
            told: FxHashMap::default(),
        };
        cells.renew(now, None);
        cells
    }

    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    pub fn index(&self) -> &Index {
        &self.index
    }

    /// Whether this layout may follow the one that is held.
    ///
    /// # Errors
    /// Why not. Nothing has changed then, nor does it if it may.
    pub fn check(&self, layout: &Layout) -> Result<(), Stale> {
        if layout.epoch <= self.layout.epoch {
            return Err(Stale::Epoch { held: self.layout.epoch, told: layout.epoch });
        }
        let layout = layout.clone().aligned(&self.layout, |_| false);
        for moving in self.moves.values() {
            let tenant = &moving.row.tenant;
            match layout.moves.iter().find(|row| row.tenant == *tenant) {
                Some(row) => moving.accept(row).map_err(|why| Stale::Move(tenant.clone(), why))?,
                None if moving.stage() == Stage::Open || moving.row.step == Step::Cancelled => {}
                // Where the group stays, the tenant's row says all.
                None if moving.stage() == Stage::Done && moving.row.groups.is_none() => {}
                None => return Err(Stale::Missing(tenant.clone())),
            }
        }
        for row in layout.moves.iter().filter(|row| row.groups.is_some()) {
            let known = self.layout.moves.iter().find(|old| old.tenant == row.tenant);
            let announced = known.is_some_and(|old| old.fence_at == row.fence_at);
            let Some(lease) = self.layout.lease else {
                // Danger: one that only has the old file, without an end, goes on for ever.
                let new = row.fence_at.is_some() && !announced;
                return if new { Err(Stale::Unleased(row.tenant.clone())) } else { Ok(()) };
            };
            // Danger: a router that only has the old file goes on writing to the source until its lease ends.
            if !announced && row.fence_at.is_some_and(|at| at < lease.until + lease.skew) {
                return Err(Stale::Early(row.tenant.clone()));
            }
        }
        Ok(())
    }

    /// Takes a layout that follows, or refuses it whole; the same one again is taken for nothing new.
    ///
    /// # Errors
    /// Why it is refused; nothing has changed then.
    pub fn relayout(&mut self, now: Timestamp, layout: Layout) -> Result<(), Stale> {
        let aligned =
            layout.clone().aligned(&self.layout, |id| self.ops.used(id) == 0 && self.probes.used(id) == 0);
        if aligned == self.layout {
            return Ok(());
        }
        self.check(&layout)?;
        let old = std::mem::replace(&mut self.layout, aligned);
        self.ops.divide(parts(&self.layout), self.layout.call_back);
        self.bytes.divide(parts(&self.layout), self.layout.call_back);
        self.probes.divide(parts(&self.layout), self.layout.call_back);
        (self.index, self.assign) = (Index::new(&self.layout), Assign::new(&self.layout));
        if old.release != self.layout.release {
            self.widen = self.layout.release.clone().map(Widen::new);
        }
        self.renew(now, Some(&old));
        Ok(())
    }

    /// Brings cells and moves in line with the layout.
    fn renew(&mut self, now: Timestamp, old: Option<&Layout>) {
        let repeats = self.layout.repeats;
        let mut cells = std::mem::take(&mut self.cells).into_iter();
        let renewed = self.layout.cells.iter().enumerate().map(|(id, row)| {
            // An id that names another cell by now starts anew.
            let same = old.is_some_and(|old| old.cells.get(id).is_some_and(|was| was.name == row.name));
            let known = cells.next().filter(|_| same);
            let (pace, budget, tally) =
                known.map_or_else(Default::default, |cell| (cell.pace, cell.budget, cell.tally));
            let paced = |terms: PaceTerms| {
                let mut pace = pace.unwrap_or_else(|| Pace::new(terms));
                pace.renew(terms);
                pace
            };
            let budgeted = |terms| {
                let mut budget = budget.unwrap_or_else(|| Budget::new(terms));
                budget.renew(terms);
                budget
            };
            Cell { pace: row.pace.map(paced), budget: repeats.map(budgeted), tally }
        });
        self.cells = renewed.collect();
        let mut moves = BTreeMap::new();
        for row in &self.layout.moves {
            let known = self.moves.iter().find(|(_, moving)| moving.is(row)).map(|(id, _)| *id);
            let known = known.and_then(|id| Some((id, self.moves.remove(&id)?)));
            let (id, moving) = match known {
                Some((id, mut moving)) => {
                    moving.take(now, row.clone());
                    (id, moving)
                }
                None => {
                    self.next_move += 1;
                    (MoveId(self.next_move), Moving::new(now, row.clone(), self.terms))
                }
            };
            moves.insert(id, moving);
        }
        self.moves = moves;
        self.moving = self.moves.iter().map(|(id, moving)| (moving.row.tenant.clone(), *id)).collect();
        self.told.retain(|tenant, _| self.moving.contains_key(tenant));
    }

    /// Where an op goes that came just now, or is held.
    pub fn admit(&mut self, now: Timestamp, facts: &Facts) -> Verdict {
        let homes = match self.assign.of(facts.tenant, facts.address, facts.group) {
            Ok(homes) => homes,
            Err(why) => return Verdict::Error { why: Why::Homeless(why) },
        };
        // Danger: who writes where may have changed since this file was written. What is written here is lost then,
        // and what is read with a bound is older than that.
        if facts.need != Consistency::Any
            && self.layout.lease.is_some_and(|lease| now >= lease.until - lease.skew)
        {
            return self.busy(homes[0], None, Why::Lease);
        }
        let moving = facts.tenant.and_then(|tenant| self.moving.get(tenant).copied());
        if let Some(id) = moving
            && self.moves[&id].row.named.is_none_or(|named| named == facts.group)
        {
            return self.admit_moving(now, id, facts);
        }
        self.admit_in(now, &homes, facts, facts.group, None, None)
    }

    fn admit_moving(&mut self, now: Timestamp, id: MoveId, facts: &Facts) -> Verdict {
        let Some(moving) = self.moves.get_mut(&id) else { return Verdict::Error { why: Why::Unsure } };
        let (need, token, again, due) = (facts.need, facts.token, facts.again, facts.due);
        let (from, to) = (moving.row.from, moving.row.to);
        let groups = moving.row.groups.unwrap_or((facts.group, facts.group));
        match moving.place(now, Wanted { need, token, again, due }) {
            Where::Source => {
                let counted = (need == Consistency::Write).then_some(id);
                let verdict = self.admit_in(now, &[from], facts, groups.0, None, counted);
                let moving = self.moves.get_mut(&id).filter(|_| counted.is_some());
                if let (Verdict::Go { .. }, Some(moving)) = (verdict, moving) {
                    moving.sent(now, token);
                }
                verdict
            }
            Where::Target(floor) => self.admit_in(now, &[to], facts, groups.1, floor, None),
            Where::Hold(until) => {
                // Danger: what a fence holds is bounded, in count here and in bytes by the cell's room.
                let full = u64::from(moving.held()) >= (self.ops.share(from).0 / 4).max(1);
                let after = moving.row.switch_at.map(|at| at - now);
                if full {
                    return self.busy(from, after, Why::Fence);
                }
                match self.admit_in(now, &[from], facts, groups.0, None, Some(id)) {
                    Verdict::Go { pass, .. } => {
                        self.moves.entry(id).and_modify(Moving::hold);
                        Verdict::Hold { pass: Pass { held: true, ..pass }, until }
                    }
                    refused => refused,
                }
            }
            Where::Busy(after) => self.busy(from, Some(after), Why::Fence),
            Where::Unsure => {
                self.cells[from.0 as usize].tally.errors += 1;
                Verdict::Error { why: Why::Unsure }
            }
        }
    }

    fn admit_in(
        &mut self,
        now: Timestamp,
        homes: &[CellId],
        facts: &Facts,
        group: GroupId,
        floor: Option<Timestamp>,
        moving: Option<MoveId>,
    ) -> Verdict {
        let serving = |id: &CellId| self.index.serves(*id, group);
        let mut turn: Homes = homes.iter().copied().filter(serving).collect();
        if turn.is_empty() {
            return Verdict::Error { why: Why::NoGroup };
        }
        // A session keeps to one of its tenant's cells while that has room.
        let start = facts.session.map_or(0, |session| session as usize % turn.len());
        turn.rotate_left(start);
        let mut last = None;
        for cell in turn {
            match self.take(now, cell, facts) {
                Ok(()) => {
                    self.cells[cell.0 as usize].tally.taken += 1;
                    let pass = Pass { cell, bytes: facts.bytes, moving, held: false, token: facts.token };
                    return Verdict::Go { pass, group, floor };
                }
                Err(refusal) => last = last.or(Some((cell, refusal))),
            }
        }
        let (cell, (why, after)) = last.expect("it was refused by one cell at least");
        self.busy(cell, after, why)
    }

    fn busy(&mut self, cell: CellId, after: Option<TimeDelta>, why: Why) -> Verdict {
        self.cells[cell.0 as usize].tally.busy += 1;
        Verdict::Busy { cell: Some(cell), after, why }
    }

    fn take(&mut self, now: Timestamp, id: CellId, facts: &Facts) -> Result<(), (Why, Option<TimeDelta>)> {
        let cell = &mut self.cells[id.0 as usize];
        if cell.pace.is_some_and(|pace| self.ops.used(id) >= pace.limit()) {
            return Err((Why::Pace, Some(COME_BACK)));
        }
        if facts.again && cell.budget.as_ref().is_some_and(|budget| budget.left(now) == 0) {
            let after = cell.budget.as_ref().map(Budget::back_after);
            return Err((Why::Repeats, after));
        }
        self.ops.take(now, id, 1).map_err(|_| (Why::Ops, Some(COME_BACK)))?;
        if self.bytes.take(now, id, facts.bytes).is_err() {
            self.ops.give(id, 1);
            return Err((Why::Bytes, Some(COME_BACK)));
        }
        if let Some(budget) = cell.budget.as_mut().filter(|_| facts.again) {
            budget.repeated(now);
        }
        Ok(())
    }

    /// A send of the op goes out: its first, or a further one.
    pub fn sent(&mut self, now: Timestamp, pass: &Pass, first: bool) {
        let cell = &mut self.cells[pass.cell.0 as usize];
        if let Some(budget) = &mut cell.budget {
            if first { budget.first(now) } else { budget.repeated(now) }
        }
        cell.tally.first += u32::from(first);
        cell.tally.further += u32::from(!first);
    }

    /// How many further sends the cell may make now; none: as many as it likes.
    pub fn spare(&self, now: Timestamp, cell: CellId) -> Option<u32> {
        self.cells[cell.0 as usize].budget.as_ref().map(|budget| budget.left(now))
    }

    /// A send ended, after so many latency targets; `new` if its host started anew since the cell's trial began.
    pub fn send_ended(&mut self, pass: &Pass, fate: Fate, used: f64, new: bool) {
        let (cell, in_hand) = (&mut self.cells[pass.cell.0 as usize], self.ops.used(pass.cell));
        match (&mut cell.pace, fate) {
            (Some(pace), Fate::Acked) => pace.answered(used, in_hand),
            (Some(pace), Fate::Bad) => pace.lost(),
            _ => {}
        }
        if let Some(widen) = self.widen.as_mut().filter(|_| fate != Fate::Never) {
            let told = widen.outcome(new.then_some(pass.cell), fate == Fate::Bad);
            self.news.extend(told.map(News::Release));
        }
    }

    /// The op is over and none of its sends is out: its place is free. `ran` is what became of it, `position` where
    /// its write was acked.
    pub fn ended(&mut self, now: Timestamp, pass: Pass, ran: Ran, position: Option<Timestamp>) {
        self.ops.give(pass.cell, 1);
        self.bytes.give(pass.cell, pass.bytes);
        match pass.moving.and_then(|id| self.moves.get_mut(&id)) {
            Some(moving) if pass.held => moving.unhold(),
            Some(moving) => moving.ended(now, pass.token, ran, position),
            None => {}
        }
    }

    /// Whether a host of the cell may be probed now. Danger: a cell whose hosts all hang has a probe at each of them
    /// for as long as a probe may last, and they take the connections of all others.
    pub fn probe(&mut self, now: Timestamp, cell: CellId) -> bool {
        self.probes.take(now, cell, 1).is_ok()
    }

    /// Such a probe ended.
    pub fn probed(&mut self, cell: CellId) {
        self.probes.give(cell, 1);
    }

    /// A host of a cell started anew.
    pub fn renewed(&mut self, cell: CellId, at: Timestamp, within: TimeDelta) {
        if let Some(widen) = &mut self.widen {
            widen.renewed(cell, at, within);
        }
    }

    /// The part of its size with which a host of the cell that started anew is trusted.
    pub fn trust(&mut self, cell: CellId) -> f64 {
        match self.widen.as_ref().map(|widen| widen.may_widen(cell)) {
            Some(Err(held)) => {
                self.news.push(News::HeldBack(cell, held));
                LITTLE_TRUST
            }
            _ => 1.0,
        }
    }

    /// The groups whose hosts' positions are waited for.
    pub fn watched(&self) -> SmallVec<[GroupId; 4]> {
        let waits = |moving: &&Moving| matches!(moving.stage(), Stage::Fenced | Stage::Drained);
        let waiting = self.moves.values().filter(waits);
        waiting.filter_map(|moving| moving.row.groups.map(|(_, to)| to)).collect()
    }

    /// The hosts of a group, with their names in the lists.
    pub fn members(&mut self, group: GroupId, hosts: &[(HostId, &str)]) {
        for moving in self.moves.values_mut() {
            if moving.row.groups.is_some_and(|(_, to)| to == group) {
                moving.target(hosts);
            }
        }
    }

    /// A host said where it is.
    pub fn learnt(&mut self, host: HostId, position: Timestamp, primary: bool) {
        self.moves.values_mut().for_each(|moving| moving.learnt(host, position, primary));
    }

    /// Time has passed. Whether held ops should be asked about again.
    pub fn tick(&mut self, now: Timestamp) -> bool {
        let mut changed = false;
        for moving in self.moves.values_mut() {
            let stuck = moving.tick(now);
            let state = (moving.stage(), stuck);
            let tenant = &moving.row.tenant;
            let before = self.told.insert(tenant.clone(), state);
            changed |= before.is_none_or(|(stage, _)| stage != state.0);
            if before.is_none_or(|(stage, _)| stage != state.0) {
                self.news.push(News::Moved(tenant.clone(), state.0));
            }
            // How many are out changes all the time; that some are is told once.
            let kind = |stuck: Option<Stuck>| stuck.map(|stuck| std::mem::discriminant(&stuck));
            if let Some(stuck) = stuck.filter(|_| kind(stuck) != before.and_then(|(_, s)| kind(s))) {
                self.news.push(News::Stuck(tenant.clone(), stuck));
            }
        }
        changed
    }

    pub fn news(&mut self) -> Vec<News> {
        std::mem::take(&mut self.news)
    }

    /// What each cell holds and did.
    pub fn report(&mut self) -> Vec<State> {
        let state = |(id, cell): (CellId, &mut Cell)| State {
            name: self.layout.cell(id).name.clone(),
            ops: self.ops.used(id),
            share: self.ops.share(id).0,
            guaranteed: self.ops.share(id).1,
            borrowed: self.ops.borrowed(id),
            bytes: self.bytes.used(id),
            probes: self.probes.used(id),
            limit: cell.pace.map(|pace| pace.limit()),
            judged: self.widen.as_ref().map(|widen| widen.judged(id)),
            tally: std::mem::take(&mut cell.tally),
        };
        (0..).map(CellId).zip(&mut self.cells).map(state).collect()
    }

    /// Each move: the tenant, this router's stage, writes that are out, tokens that are noted.
    pub fn moves(&self) -> impl Iterator<Item = (&str, Stage, u32, usize)> {
        self.moves.values().map(|moving| (&*moving.row.tenant, moving.stage(), moving.out(), moving.tokens()))
    }
}

/// What operators are shown of a cell.
#[derive(Clone, Debug, PartialEq)]
pub struct State {
    pub name: Box<str>,
    pub ops: u64,
    pub share: u64,
    pub guaranteed: u64,
    pub borrowed: u64,
    pub bytes: u64,
    pub probes: u64,
    pub limit: Option<u64>,
    pub judged: Option<Judged>,
    pub tally: Tally,
}
