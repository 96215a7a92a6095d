//! The validated cell configuration, with names resolved to ids.

use arrowyard_types::{CellId, GroupId, TimeDelta, Timestamp};
use ipnet::IpNet;
use rustc_hash::FxHashMap;

use crate::tenant_move::MoveConfig;

/// The complete cell configuration. It is always replaced as a whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Layout {
    /// Increases with every edit of the configuration.
    pub epoch: u64,
    /// The cells; a `CellId` is an index into them.
    pub cells: Vec<Cell>,
    /// Tenants that are assigned explicitly.
    pub tenants: FxHashMap<Box<str>, CellId>,
    /// Cells of clients that name no tenant, by address.
    pub networks: Vec<NetworkRule>,
    /// Number of cells that a tenant without an explicit assignment is hashed to. `None`: its ops are
    /// rejected.
    pub cells_per_hashed_tenant: Option<usize>,
    /// How long borrowing is suspended after a cell asked for its own capacity while it was lent out.
    pub reclaim_period: TimeDelta,
    /// Retry budget of each cell. `None`: unlimited.
    pub retry_budget: Option<RetryBudgetConfig>,
    /// Order in which cells receive rollouts of host software. `None`: rollouts are not tested.
    pub rollout: Option<RolloutConfig>,
    /// Validity of the layout. `None`: unlimited.
    pub lease: Option<Lease>,
    /// Configured tenant moves.
    pub moves: Vec<MoveConfig>,
}

/// Configuration of one cell.
#[derive(Clone, Debug, PartialEq)]
pub struct Cell {
    /// Unique name.
    pub name: Box<str>,
    /// Weight of the cell's share of the router's capacity, and of its hashed tenants.
    pub weight: f64,
    /// Groups that the cell serves. A group that no cell lists is served by all cells that list none.
    pub groups: Vec<GroupId>,
    /// Host names of the cell; a trailing `*` matches a prefix.
    pub hosts: Vec<Box<str>>,
    /// Fraction of the cell's share that is never lent to other cells.
    pub guaranteed_fraction: f64,
    /// Whether tenants without an explicit assignment may be hashed to this cell.
    pub accepts_hashed_tenants: bool,
    /// Adaptive limit on in-flight ops. `None`: only the share limits them.
    pub concurrency_limit: Option<ConcurrencyLimitConfig>,
    /// The cell was part of an earlier layout only. Its id stays reserved while ops still use it.
    pub removed: bool,
}

/// Bounds of the adaptive limit on in-flight ops.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyLimitConfig {
    /// Limit at the start.
    pub initial: f64,
    /// Lower bound.
    pub min: f64,
    /// Upper bound.
    pub max: f64,
}

/// Assigns clients that name no tenant by their address.
#[derive(Clone, Debug, PartialEq)]
pub struct NetworkRule {
    /// Networks that the rule applies to.
    pub included: Vec<IpNet>,
    /// Networks within `included` that it does not apply to.
    pub excluded: Vec<IpNet>,
    /// The cell of these clients.
    pub cell: CellId,
}

/// Limits on retries, per cell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries allowed per first send within the window.
    pub retry_ratio: f64,
    /// Retries that are always allowed within the window, however few first sends there were.
    pub min_retries: u32,
    /// Length of the sliding window.
    pub window: TimeDelta,
}

/// Order of a rollout of host software over the cells, and the parameters of its test.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutConfig {
    /// Cells in rollout order; the first one is the canary.
    pub order: Vec<CellId>,
    /// Ratio of a bad rollout's error rate to the baseline.
    pub error_rate_ratio: f64,
    /// Probability of a wrong verdict, in either direction.
    pub error_probability: f64,
}

/// How long the layout may be used for writes and bounded reads, and the largest difference between two
/// routers' clocks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    /// When the lease ends.
    pub expires_at: Timestamp,
    /// Largest difference between two routers' clocks.
    pub max_clock_skew: TimeDelta,
}

impl Layout {
    /// The cell of an id.
    pub fn cell(&self, id: CellId) -> &Cell {
        &self.cells[id.0 as usize]
    }

    /// Ids of all cells, including removed ones.
    pub fn ids(&self) -> impl Iterator<Item = CellId> + use<> {
        (0..self.cells.len() as u32).map(CellId)
    }

    /// Id of the configured cell with this name.
    pub fn cell_named(&self, name: &str) -> Option<CellId> {
        self.ids().find(|&id| &*self.cell(id).name == name && !self.cell(id).removed)
    }
}

impl Layout {
    /// Renumbers the cells so that a cell that is also in `old` keeps its id, and state held by id stays
    /// valid. A cell that is no longer configured keeps its place without weight, groups or hosts; its id is
    /// given to a new cell once `free` returns true for it.
    pub fn aligned(mut self, old: &Layout, free: impl Fn(CellId) -> bool) -> Layout {
        let mut cells = std::mem::take(&mut self.cells);
        let mut cells_by_id: Vec<Option<Cell>> = vec![None; old.cells.len()];
        let mut ids = vec![CellId(0); cells.len()];
        let mut unplaced = Vec::new();
        for (index, cell) in cells.drain(..).enumerate() {
            match old.ids().find(|&id| old.cell(id).name == cell.name) {
                Some(id) => (ids[index], cells_by_id[id.0 as usize]) = (id, Some(cell)),
                None => unplaced.push((index, cell)),
            }
        }
        for (index, cell) in unplaced {
            let free_index = old
                .ids()
                .find(|&id| cells_by_id[id.0 as usize].is_none() && old.cell(id).removed && free(id));
            let free_index = free_index.map_or(cells_by_id.len(), |id| id.0 as usize);
            if free_index == cells_by_id.len() {
                cells_by_id.push(None);
            }
            (ids[index], cells_by_id[free_index]) = (CellId(free_index as u32), Some(cell));
        }
        let removed = |id: usize| Cell {
            removed: true,
            weight: 0.0,
            accepts_hashed_tenants: false,
            groups: Vec::new(),
            hosts: Vec::new(),
            ..old.cells[id].clone()
        };
        let filled = cells_by_id.into_iter().enumerate();
        self.cells = filled.map(|(id, cell)| cell.unwrap_or_else(|| removed(id))).collect();
        let renumber = |id: &mut CellId| *id = ids[id.0 as usize];
        self.tenants.values_mut().for_each(renumber);
        self.networks.iter_mut().for_each(|net| renumber(&mut net.cell));
        self.rollout.iter_mut().for_each(|rollout| rollout.order.iter_mut().for_each(renumber));
        for config in &mut self.moves {
            renumber(&mut config.from);
            renumber(&mut config.to);
        }
        self
    }
}
