//! What a file of the operator's says of cells, checked, under our names.

use arrowyard_types::{CellId, GroupId, TimeDelta, Timestamp};
use ipnet::IpNet;
use rustc_hash::FxHashMap;

use crate::moving::Row as MoveRow;

/// Everything that is set about cells; whole, and replaced as a whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Layout {
    /// Grows with each edit.
    pub epoch: u64,
    pub cells: Vec<Cell>,
    /// Tenants that a row names.
    pub tenants: FxHashMap<Box<str>, CellId>,
    pub nets: Vec<Net>,
    /// To how many cells a tenant goes that no row names; none: its ops are errors.
    pub rest: Option<usize>,
    /// After a cell asked for its own room, nobody borrows for so long.
    pub call_back: TimeDelta,
    pub repeats: Option<Repeats>,
    pub release: Option<Release>,
    pub lease: Option<Lease>,
    pub moves: Vec<MoveRow>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Cell {
    pub name: Box<str>,
    pub weight: f64,
    /// Groups of its own; a group that no cell lists is served by all cells that list none.
    pub groups: Vec<GroupId>,
    /// Names of its hosts, or what they begin with, then with a `*`.
    pub hosts: Vec<Box<str>>,
    /// The part of its share that is never lent.
    pub guaranteed: f64,
    /// Whether tenants without a row may be placed here.
    pub placed: bool,
    pub pace: Option<Pace>,
    /// It was in an earlier layout only. Its id stays taken as long as ops have it.
    pub gone: bool,
}

/// A limit on ops in hand that follows latency: at the start, at least, at most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    pub first: f64,
    pub least: f64,
    pub most: f64,
}

/// Clients without a tenant, by address.
#[derive(Clone, Debug, PartialEq)]
pub struct Net {
    pub within: Vec<IpNet>,
    pub without: Vec<IpNet>,
    pub cell: CellId,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Repeats {
    /// Of the first sends of a window.
    pub share: f64,
    /// In a window, however few first sends there were.
    pub least: u32,
    pub window: TimeDelta,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Release {
    pub order: Vec<CellId>,
    pub worse: f64,
    pub wrong: f64,
}

/// Until when the file's word on who writes where holds, and how far apart two clocks may be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    pub until: Timestamp,
    pub skew: TimeDelta,
}

impl Layout {
    pub fn cell(&self, id: CellId) -> &Cell {
        &self.cells[id.0 as usize]
    }

    pub fn ids(&self) -> impl Iterator<Item = CellId> + use<> {
        (0..self.cells.len() as u32).map(CellId)
    }

    pub fn named(&self, name: &str) -> Option<CellId> {
        self.ids().find(|&id| &*self.cell(id).name == name && !self.cell(id).gone)
    }
}

impl Layout {
    /// The same layout with cells by the ids that they have in an older one, so that what is held by an id stays
    /// that cell's. A cell that is not in it any more keeps its place, without share or hosts; its id is given to
    /// a new cell once it is `free`.
    pub fn aligned(mut self, old: &Layout, free: impl Fn(CellId) -> bool) -> Layout {
        let mut cells = std::mem::take(&mut self.cells);
        let mut places: Vec<Option<Cell>> = vec![None; old.cells.len()];
        let mut ids = vec![CellId(0); cells.len()];
        let mut new = Vec::new();
        for (row, cell) in cells.drain(..).enumerate() {
            match old.ids().find(|&id| old.cell(id).name == cell.name) {
                Some(id) => (ids[row], places[id.0 as usize]) = (id, Some(cell)),
                None => new.push((row, cell)),
            }
        }
        for (row, cell) in new {
            let place =
                old.ids().find(|&id| places[id.0 as usize].is_none() && old.cell(id).gone && free(id));
            let place = place.map_or(places.len(), |id| id.0 as usize);
            if place == places.len() {
                places.push(None);
            }
            (ids[row], places[place]) = (CellId(place as u32), Some(cell));
        }
        let gone = |id: usize| Cell {
            gone: true,
            weight: 0.0,
            placed: false,
            groups: Vec::new(),
            hosts: Vec::new(),
            ..old.cells[id].clone()
        };
        let filled = places.into_iter().enumerate();
        self.cells = filled.map(|(id, cell)| cell.unwrap_or_else(|| gone(id))).collect();
        let renumber = |id: &mut CellId| *id = ids[id.0 as usize];
        self.tenants.values_mut().for_each(renumber);
        self.nets.iter_mut().for_each(|net| renumber(&mut net.cell));
        self.release.iter_mut().for_each(|release| release.order.iter_mut().for_each(renumber));
        for row in &mut self.moves {
            renumber(&mut row.from);
            renumber(&mut row.to);
        }
        self
    }
}
