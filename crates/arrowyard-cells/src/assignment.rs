//! Who belongs where: a row of the file, else weighted rendezvous hashing, or shuffle sharding. The same name goes
//! to the same cells at every router and after every restart, and a new cell, or one more weight, draws tenants to
//! that cell only.

use arrowyard_types::{CellId, GroupId};
use fastrand::Rng;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::layout::Layout;
use crate::networks::NetworkTable;

/// The cells of one tenant, the first choice first.
pub type AssignedCells = SmallVec<[CellId; 4]>;

/// Tenants without a row whose cells are kept, so that they are worked out once.
const MAX_CACHED_TENANTS: usize = 65_536;

/// A name as a number that is evenly spread and everywhere the same (FNV-1a, then the finish of splitmix).
pub fn stable_hash(name: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    mix(name.bytes().fold(0xcbf2_9ce4_8422_2325, step))
}

fn mix(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// A tenant's score in a cell: the cell with the highest gets it. With u even in (0, 1), -w / ln u is the highest
/// for a share of tenants that follows w, and depends on no other cell.
fn score(tenant: u64, cell: u64, weight: f64) -> f64 {
    let even = ((mix(tenant ^ cell.rotate_left(32)) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -weight / even.ln()
}

/// Finds cells. Rows are looked up, all else is hashed once and kept.
#[derive(Clone, Debug)]
pub struct CellAssignment {
    rows: FxHashMap<Box<str>, CellId>,
    /// Cells that take hashed tenants: id, spread name, weight.
    hashed_cells: Vec<(CellId, u64, f64)>,
    cells_per_tenant: Option<usize>,
    cache: FxHashMap<u64, AssignedCells>,
    networks: NetworkTable,
    /// Groups that one cell alone lists.
    sole_cells: FxHashMap<GroupId, CellId>,
}

/// Why an op has no cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoCellReason {
    /// No row names the tenant, and tenants are not placed.
    TenantNotAssigned,
    /// No tenant is named, and neither the address nor the group tells.
    NoTenantOrMatch,
}

impl CellAssignment {
    pub fn new(layout: &Layout) -> Self {
        let hashed_cells = layout.ids().filter(|&id| layout.cell(id).accepts_hashed_tenants);
        let mut sole_cells = FxHashMap::default();
        for id in layout.ids() {
            for &group in &layout.cell(id).groups {
                // Several cells of one group: the group does not tell.
                sole_cells.entry(group).and_modify(|of| *of = None).or_insert(Some(id));
            }
        }
        CellAssignment {
            rows: layout.tenants.clone(),
            hashed_cells: hashed_cells
                .map(|id| (id, stable_hash(&layout.cell(id).name), layout.cell(id).weight))
                .collect(),
            cells_per_tenant: layout.cells_per_hashed_tenant,
            cache: FxHashMap::default(),
            networks: NetworkTable::new(&layout.networks),
            sole_cells: sole_cells.into_iter().filter_map(|(group, of)| Some((group, of?))).collect(),
        }
    }

    /// The cells of a tenant that no row names, by hashing.
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

    /// The cells of an op, the first choice first.
    ///
    /// # Errors
    /// The op has none: it is an error, and never another cell's.
    pub fn cells_for(
        &mut self,
        tenant: Option<&str>,
        address: Option<std::net::IpAddr>,
        group: GroupId,
    ) -> Result<AssignedCells, NoCellReason> {
        let one = |id: CellId| AssignedCells::from_slice(&[id]);
        if let Some(name) = tenant {
            if let Some(&id) = self.rows.get(name) {
                return Ok(one(id));
            }
            let cells_per_tenant = self.cells_per_tenant.ok_or(NoCellReason::TenantNotAssigned)?;
            let key = stable_hash(name);
            if let Some(homes) = self.cache.get(&key) {
                return Ok(homes.clone());
            }
            let homes = self.cells_by_hash(key, cells_per_tenant);
            // Danger: names without end, each kept. What is dropped is worked out again.
            if self.cache.len() >= MAX_CACHED_TENANTS {
                self.cache.clear();
            }
            self.cache.insert(key, homes.clone());
            return Ok(homes);
        }
        let by_address = address.and_then(|address| self.networks.lookup(address));
        by_address
            .or_else(|| self.sole_cells.get(&group).copied())
            .map(one)
            .ok_or(NoCellReason::NoTenantOrMatch)
    }
}

/// How likely it is that two tenants share all, and any, of their cells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Odds {
    pub share_all: f64,
    pub share_any: f64,
}

/// Of `each` cells out of `cells`, drawn evenly: 1 / C(n, k) and 1 - C(n - k, k) / C(n, k).
pub fn sharing_odds(cells: usize, cells_per_tenant: usize) -> Odds {
    let (n, k) = (cells as f64, cells_per_tenant.min(cells) as f64);
    let steps = || (0..cells_per_tenant.min(cells)).map(|i| i as f64);
    let all = steps().map(|i| (i + 1.0) / (n - i)).product();
    let none: f64 = steps().map(|i| ((n - k - i) / (n - i)).max(0.0)).product();
    Odds { share_all: all, share_any: 1.0 - none }
}

/// The same by drawing pairs of tenants and placing them; what uneven weights make of the odds shows here only.
pub fn sampled_sharing_odds(layout: &Layout, pairs: usize, seed: u64) -> Odds {
    let (assign, mut rng) = (CellAssignment::new(layout), Rng::with_seed(seed));
    let cells_per_tenant = layout.cells_per_hashed_tenant.unwrap_or(1);
    let (mut all, mut any) = (0_usize, 0_usize);
    for _ in 0..pairs {
        let [one, two] =
            [rng.u64(..), rng.u64(..)].map(|tenant| assign.cells_by_hash(tenant, cells_per_tenant));
        let shared = one.iter().filter(|id| two.contains(id)).count();
        all += usize::from(shared == cells_per_tenant);
        any += usize::from(shared > 0);
    }
    let part = |count: usize| count as f64 / pairs.max(1) as f64;
    Odds { share_all: part(all), share_any: part(any) }
}

/// A tenant whose cells one layout and another name differently.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReassignedTenant {
    pub tenant: Box<str>,
    /// Names of cells; none: the tenant has no cell.
    pub from: Vec<Box<str>>,
    pub to: Vec<Box<str>>,
}

/// Which of these tenants, and of those that either layout names, go elsewhere; by name.
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
    let cells = |assign: &mut CellAssignment, layout: &Layout, name: &str| -> Vec<Box<str>> {
        let homes = assign.cells_for(Some(name), None, GroupId(0)).unwrap_or_default();
        let mut homes: Vec<Box<str>> = homes.iter().map(|&id| layout.cell(id).name.clone()).collect();
        homes.sort_unstable();
        homes
    };
    let moved = names.into_iter().map(|name| ReassignedTenant {
        tenant: name.into(),
        from: cells(&mut before, old, name),
        to: cells(&mut after, new, name),
    });
    moved.filter(|moved| moved.from != moved.to).collect()
}
