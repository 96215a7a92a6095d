//! What a file of the operator's says of cells, checked, under our names.

use arrowyard_types::{CellId, GroupId, TimeDelta, Timestamp};
use ipnet::IpNet;
use rustc_hash::FxHashMap;

use crate::tenant_move::MoveConfig;

/// Everything that is set about cells; whole, and replaced as a whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Layout {
    /// Grows with each edit.
    pub epoch: u64,
    pub cells: Vec<Cell>,
    /// Tenants that a row names.
    pub tenants: FxHashMap<Box<str>, CellId>,
    pub networks: Vec<NetworkRule>,
    /// To how many cells a tenant goes that no row names; none: its ops are errors.
    pub cells_per_hashed_tenant: Option<usize>,
    /// After a cell asked for its own room, nobody borrows for so long.
    pub reclaim_period: TimeDelta,
    pub retry_budget: Option<RetryBudgetConfig>,
    pub rollout: Option<RolloutConfig>,
    pub lease: Option<Lease>,
    pub moves: Vec<MoveConfig>,
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
    pub guaranteed_fraction: f64,
    /// Whether tenants without a row may be placed here.
    pub accepts_hashed_tenants: bool,
    pub concurrency_limit: Option<ConcurrencyLimitConfig>,
    /// It was in an earlier layout only. Its id stays taken as long as ops have it.
    pub removed: bool,
}

/// A limit on ops in hand that follows latency: at the start, at least, at most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyLimitConfig {
    pub initial: f64,
    pub min: f64,
    pub max: f64,
}

/// Clients without a tenant, by address.
#[derive(Clone, Debug, PartialEq)]
pub struct NetworkRule {
    pub included: Vec<IpNet>,
    pub excluded: Vec<IpNet>,
    pub cell: CellId,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Of the first sends of a window.
    pub retry_ratio: f64,
    /// In a window, however few first sends there were.
    pub min_retries: u32,
    pub window: TimeDelta,
}

#[derive(Clone, Debug, PartialEq)]
pub struct RolloutConfig {
    pub order: Vec<CellId>,
    pub error_rate_ratio: f64,
    pub error_probability: f64,
}

/// Until when the file's word on who writes where holds, and how far apart two clocks may be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    pub expires_at: Timestamp,
    pub max_clock_skew: TimeDelta,
}

impl Layout {
    pub fn cell(&self, id: CellId) -> &Cell {
        &self.cells[id.0 as usize]
    }

    pub fn ids(&self) -> impl Iterator<Item = CellId> + use<> {
        (0..self.cells.len() as u32).map(CellId)
    }

    pub fn cell_named(&self, name: &str) -> Option<CellId> {
        self.ids().find(|&id| &*self.cell(id).name == name && !self.cell(id).removed)
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
                old.ids().find(|&id| places[id.0 as usize].is_none() && old.cell(id).removed && free(id));
            let place = place.map_or(places.len(), |id| id.0 as usize);
            if place == places.len() {
                places.push(None);
            }
            (ids[row], places[place]) = (CellId(place as u32), Some(cell));
        }
        let removed = |id: usize| Cell {
            removed: true,
            weight: 0.0,
            accepts_hashed_tenants: false,
            groups: Vec::new(),
            hosts: Vec::new(),
            ..old.cells[id].clone()
        };
        let filled = places.into_iter().enumerate();
        self.cells = filled.map(|(id, cell)| cell.unwrap_or_else(|| removed(id))).collect();
        let renumber = |id: &mut CellId| *id = ids[id.0 as usize];
        self.tenants.values_mut().for_each(renumber);
        self.networks.iter_mut().for_each(|net| renumber(&mut net.cell));
        self.rollout.iter_mut().for_each(|rollout| rollout.order.iter_mut().for_each(renumber));
        for row in &mut self.moves {
            renumber(&mut row.from);
            renumber(&mut row.to);
        }
        self
    }
}
