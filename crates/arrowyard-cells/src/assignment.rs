//! Assigns tenants to cells: by explicit assignment, otherwise by weighted rendezvous hashing to one cell,
//! or to several (shuffle sharding). A name maps to the same cells on every router and after every restart,
//! and adding a cell or raising its weight moves tenants only to that cell.

use arrowyard_types::{CellId, GroupId};
use fastrand::Rng;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::layout::Layout;
use crate::networks::NetworkTable;

/// Cells of one tenant, in order of preference.
pub type AssignedCells = SmallVec<[CellId; 4]>;

/// Maximum number of cached results for hashed tenants.
const MAX_CACHED_TENANTS: usize = 65_536;

/// Stable, evenly distributed hash of a name: FNV-1a followed by the SplitMix64 finalizer. Assignments
/// depend on it, so that it must not change between versions.
pub fn stable_hash(name: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    mix(name.bytes().fold(0xcbf2_9ce4_8422_2325, step))
}

fn mix(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Rendezvous score of a tenant in a cell; the cell with the highest score wins. For u uniform in (0, 1), -w
/// / ln u is the maximum with a probability proportional to the weight w, independently of all other cells.
fn score(tenant: u64, cell: u64, weight: f64) -> f64 {
    let uniform = ((mix(tenant ^ cell.rotate_left(32)) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -weight / uniform.ln()
}

/// Finds the cells of ops. Explicit assignments are looked up; hashed ones are cached.
#[derive(Clone, Debug)]
pub struct CellAssignment {
    explicit: FxHashMap<Box<str>, CellId>,
    /// Cells that accept hashed tenants: id, hash of the name, weight.
    hashed_cells: Vec<(CellId, u64, f64)>,
    cells_per_tenant: Option<usize>,
    cache: FxHashMap<u64, AssignedCells>,
    networks: NetworkTable,
    /// Groups that exactly one cell lists.
    sole_cells: FxHashMap<GroupId, CellId>,
}

/// Why an op belongs to no cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoCellReason {
    /// The tenant has no explicit assignment, and tenants are not hashed to cells.
    TenantNotAssigned,
    /// No tenant is named, and neither the client's address nor the group identifies a cell.
    NoTenantOrMatch,
}

impl CellAssignment {
    /// Prepares the assignment of a layout.
    pub fn new(layout: &Layout) -> Self {
        let hashed_cells = layout.ids().filter(|&id| layout.cell(id).accepts_hashed_tenants);
        let mut sole_cells = FxHashMap::default();
        for id in layout.ids() {
            for &group in &layout.cell(id).groups {
                // A group that several cells list does not identify one.
                sole_cells.entry(group).and_modify(|of| *of = None).or_insert(Some(id));
            }
        }
        CellAssignment {
            explicit: layout.tenants.clone(),
            hashed_cells: hashed_cells
                .map(|id| (id, stable_hash(&layout.cell(id).name), layout.cell(id).weight))
                .collect(),
            cells_per_tenant: layout.cells_per_hashed_tenant,
            cache: FxHashMap::default(),
            networks: NetworkTable::new(&layout.networks),
            sole_cells: sole_cells.into_iter().filter_map(|(group, of)| Some((group, of?))).collect(),
        }
    }

    /// Cells of a tenant without an explicit assignment.
    pub fn cells_by_hash(&self, tenant: u64, cells_per_tenant: usize) -> AssignedCells {
        let mut best: SmallVec<[(f64, CellId); 4]> = SmallVec::new();
        for &(id, cell, weight) in &self.hashed_cells {
            let score = score(tenant, cell, weight);
            let place = best.iter().position(|(other, _)| score > *other).unwrap_or(best.len());
            if place < cells_per_tenant {
                best.insert(place, (score, id));
                best.truncate(cells_per_tenant);
            }
        }
        best.into_iter().map(|(_, id)| id).collect()
    }

    /// Cells of an op, in order of preference.
    ///
    /// # Errors
    /// The op belongs to no cell. It must not run in any other.
    pub fn cells_for(
        &mut self,
        tenant: Option<&str>,
        address: Option<std::net::IpAddr>,
        group: GroupId,
    ) -> Result<AssignedCells, NoCellReason> {
        let single = |id: CellId| AssignedCells::from_slice(&[id]);
        if let Some(name) = tenant {
            if let Some(&id) = self.explicit.get(name) {
                return Ok(single(id));
            }
            let cells_per_tenant = self.cells_per_tenant.ok_or(NoCellReason::TenantNotAssigned)?;
            let key = stable_hash(name);
            if let Some(cells) = self.cache.get(&key) {
                return Ok(cells.clone());
            }
            let cells = self.cells_by_hash(key, cells_per_tenant);
            // Bounds memory when clients use unlimited tenant names; evicted results are computed again.
            if self.cache.len() >= MAX_CACHED_TENANTS {
                self.cache.clear();
            }
            self.cache.insert(key, cells.clone());
            return Ok(cells);
        }
        let by_address = address.and_then(|address| self.networks.lookup(address));
        by_address
            .or_else(|| self.sole_cells.get(&group).copied())
            .map(single)
            .ok_or(NoCellReason::NoTenantOrMatch)
    }
}

/// Probabilities that two tenants share all of their cells, and at least one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Odds {
    /// Probability that the tenants share all cells.
    pub share_all: f64,
    /// Probability that the tenants share at least one cell.
    pub share_any: f64,
}

/// Sharing probabilities when each tenant uses k of n equally weighted cells: 1 / C(n, k) for all, and 1 -
/// C(n - k, k) / C(n, k) for any.
pub fn sharing_odds(cells: usize, cells_per_tenant: usize) -> Odds {
    let (n, k) = (cells as f64, cells_per_tenant.min(cells) as f64);
    let steps = || (0..cells_per_tenant.min(cells)).map(|i| i as f64);
    let all = steps().map(|i| (i + 1.0) / (n - i)).product();
    let none: f64 = steps().map(|i| ((n - k - i) / (n - i)).max(0.0)).product();
    Odds { share_all: all, share_any: 1.0 - none }
}

/// Estimates the sharing probabilities by assigning random pairs of tenants. Unlike `sharing_odds` it takes
/// weights into account.
pub fn sampled_sharing_odds(layout: &Layout, pairs: usize, seed: u64) -> Odds {
    let (assignment, mut rng) = (CellAssignment::new(layout), Rng::with_seed(seed));
    let cells_per_tenant = layout.cells_per_hashed_tenant.unwrap_or(1);
    let (mut all, mut any) = (0_usize, 0_usize);
    for _ in 0..pairs {
        let [first, second] =
            [rng.u64(..), rng.u64(..)].map(|tenant| assignment.cells_by_hash(tenant, cells_per_tenant));
        let shared = first.iter().filter(|id| second.contains(id)).count();
        all += usize::from(shared == cells_per_tenant);
        any += usize::from(shared > 0);
    }
    let fraction = |count: usize| count as f64 / pairs.max(1) as f64;
    Odds { share_all: fraction(all), share_any: fraction(any) }
}

/// A tenant that two layouts assign to different cells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReassignedTenant {
    /// Name of the tenant.
    pub tenant: Box<str>,
    /// Cell names; empty if the tenant has no cell.
    pub from: Vec<Box<str>>,
    /// Cell names; empty if the tenant has no cell.
    pub to: Vec<Box<str>>,
}

/// Tenants of either layout and of `others` whose assignment differs, sorted by name.
pub fn reassigned_tenants<'a>(
    old: &'a Layout,
    new: &'a Layout,
    others: impl Iterator<Item = &'a str>,
) -> Vec<ReassignedTenant> {
    let (mut before, mut after) = (CellAssignment::new(old), CellAssignment::new(new));
    let mut names: Vec<&str> = old.tenants.keys().chain(new.tenants.keys()).map(|name| &**name).collect();
    names.extend(others);
    names.sort_unstable();
    names.dedup();
    let cells = |assignment: &mut CellAssignment, layout: &Layout, name: &str| -> Vec<Box<str>> {
        let cells = assignment.cells_for(Some(name), None, GroupId(0)).unwrap_or_default();
        let mut cells: Vec<Box<str>> = cells.iter().map(|&id| layout.cell(id).name.clone()).collect();
        cells.sort_unstable();
        cells
    };
    let moved = names.into_iter().map(|name| ReassignedTenant {
        tenant: name.into(),
        from: cells(&mut before, old, name),
        to: cells(&mut after, new, name),
    });
    moved.filter(|moved| moved.from != moved.to).collect()
}
