//! Who belongs where: a row of the file, else weighted rendezvous hashing, or shuffle sharding. The same name goes
//! to the same cells at every router and after every restart, and a new cell, or one more weight, draws tenants to
//! that cell only.

use arrowyard_types::{CellId, GroupId};
use fastrand::Rng;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::layout::Layout;
use crate::nets::Nets;

/// The cells of one tenant, the first choice first.
pub type Homes = SmallVec<[CellId; 4]>;

/// Tenants without a row whose cells are kept, so that they are worked out once.
const KEPT: usize = 65_536;

/// A name as a number that is evenly spread and everywhere the same (FNV-1a, then the finish of splitmix).
pub fn spread(name: &str) -> u64 {
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
pub struct Assign {
    rows: FxHashMap<Box<str>, CellId>,
    /// Cells that take hashed tenants: id, spread name, weight.
    placed: Vec<(CellId, u64, f64)>,
    each: Option<usize>,
    kept: FxHashMap<u64, Homes>,
    nets: Nets,
    /// Groups that one cell alone lists.
    lone: FxHashMap<GroupId, CellId>,
}

/// Why an op has no cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Homeless {
    /// No row names the tenant, and tenants are not placed.
    Tenant,
    /// No tenant is named, and neither the address nor the group tells.
    Nobody,
}

impl Assign {
    pub fn new(layout: &Layout) -> Self {
        let placed = layout.ids().filter(|&id| layout.cell(id).placed);
        let mut lone = FxHashMap::default();
        for id in layout.ids() {
            for &group in &layout.cell(id).groups {
                // Several cells of one group: the group does not tell.
                lone.entry(group).and_modify(|of| *of = None).or_insert(Some(id));
            }
        }
        Assign {
            rows: layout.tenants.clone(),
            placed: placed.map(|id| (id, spread(&layout.cell(id).name), layout.cell(id).weight)).collect(),
            each: layout.rest,
            kept: FxHashMap::default(),
            nets: Nets::new(&layout.nets),
            lone: lone.into_iter().filter_map(|(group, of)| Some((group, of?))).collect(),
        }
    }

    /// The cells of a tenant that no row names, by hashing.
    pub fn hashed(&self, tenant: u64, each: usize) -> Homes {
        let mut best: SmallVec<[(f64, CellId); 4]> = SmallVec::new();
        for &(id, cell, weight) in &self.placed {
            let score = score(tenant, cell, weight);
            let place = best.iter().position(|(other, _)| score > *other).unwrap_or(best.len());
            if place < each {
                best.insert(place, (score, id));
                best.truncate(each);
            }
        }
        best.into_iter().map(|(_, id)| id).collect()
    }

    /// The cells of an op, the first choice first.
    ///
    /// # Errors
    /// The op has none: it is an error, and never another cell's.
    pub fn of(
        &mut self,
        tenant: Option<&str>,
        address: Option<std::net::IpAddr>,
        group: GroupId,
    ) -> Result<Homes, Homeless> {
        let one = |id: CellId| Homes::from_slice(&[id]);
        if let Some(name) = tenant {
            if let Some(&id) = self.rows.get(name) {
                return Ok(one(id));
            }
            let each = self.each.ok_or(Homeless::Tenant)?;
            let key = spread(name);
            if let Some(homes) = self.kept.get(&key) {
                return Ok(homes.clone());
            }
            let homes = self.hashed(key, each);
            // Danger: names without end, each kept. What is dropped is worked out again.
            if self.kept.len() >= KEPT {
                self.kept.clear();
            }
            self.kept.insert(key, homes.clone());
            return Ok(homes);
        }
        let by_address = address.and_then(|address| self.nets.of(address));
        by_address.or_else(|| self.lone.get(&group).copied()).map(one).ok_or(Homeless::Nobody)
    }
}

/// How likely it is that two tenants share all, and any, of their cells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Odds {
    pub all: f64,
    pub any: f64,
}

/// Of `each` cells out of `cells`, drawn evenly: 1 / C(n, k) and 1 - C(n - k, k) / C(n, k).
pub fn odds(cells: usize, each: usize) -> Odds {
    let (n, k) = (cells as f64, each.min(cells) as f64);
    let steps = || (0..each.min(cells)).map(|i| i as f64);
    let all = steps().map(|i| (i + 1.0) / (n - i)).product();
    let none: f64 = steps().map(|i| ((n - k - i) / (n - i)).max(0.0)).product();
    Odds { all, any: 1.0 - none }
}

/// The same by drawing pairs of tenants and placing them; what uneven weights make of the odds shows here only.
pub fn drawn(layout: &Layout, pairs: usize, seed: u64) -> Odds {
    let (assign, mut rng) = (Assign::new(layout), Rng::with_seed(seed));
    let each = layout.rest.unwrap_or(1);
    let (mut all, mut any) = (0_usize, 0_usize);
    for _ in 0..pairs {
        let [one, two] = [rng.u64(..), rng.u64(..)].map(|tenant| assign.hashed(tenant, each));
        let shared = one.iter().filter(|id| two.contains(id)).count();
        all += usize::from(shared == each);
        any += usize::from(shared > 0);
    }
    let part = |count: usize| count as f64 / pairs.max(1) as f64;
    Odds { all: part(all), any: part(any) }
}

/// A tenant whose cells one layout and another name differently.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Moved {
    pub tenant: Box<str>,
    /// Names of cells; none: the tenant has no cell.
    pub from: Vec<Box<str>>,
    pub to: Vec<Box<str>>,
}

/// Which of these tenants, and of those that either layout names, go elsewhere; by name.
pub fn diff<'a>(old: &'a Layout, new: &'a Layout, others: impl Iterator<Item = &'a str>) -> Vec<Moved> {
    let (mut before, mut after) = (Assign::new(old), Assign::new(new));
    let mut names: Vec<&str> = old.tenants.keys().chain(new.tenants.keys()).map(|name| &**name).collect();
    names.extend(others);
    names.sort_unstable();
    names.dedup();
    let cells = |assign: &mut Assign, layout: &Layout, name: &str| -> Vec<Box<str>> {
        let homes = assign.of(Some(name), None, GroupId(0)).unwrap_or_default();
        let mut homes: Vec<Box<str>> = homes.iter().map(|&id| layout.cell(id).name.clone()).collect();
        homes.sort_unstable();
        homes
    };
    let moved = names.into_iter().map(|name| Moved {
        tenant: name.into(),
        from: cells(&mut before, old, name),
        to: cells(&mut after, new, name),
    });
    moved.filter(|moved| moved.from != moved.to).collect()
}
