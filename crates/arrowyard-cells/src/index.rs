//! Which cells serve a group and hold a host, looked up: with many cells a look at each of them for every host of a
//! list, or for every op, is too slow.

use arrowyard_types::{CellId, GroupId};
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::layout::Layout;

type Ids = SmallVec<[CellId; 4]>;

/// Made once of a layout.
#[derive(Clone, Debug, Default)]
pub struct CellIndex {
    groups: FxHashMap<GroupId, Ids>,
    /// Cells that list no groups, and serve those that nobody lists.
    unrestricted: Vec<CellId>,
    exact_names: FxHashMap<Box<str>, Ids>,
    /// What names begin with, and the lengths that occur.
    prefixes: FxHashMap<Box<str>, Ids>,
    prefix_lengths: Vec<usize>,
    /// By cell: whether it names no hosts, and has those that nobody names.
    hostless: Vec<bool>,
}

impl CellIndex {
    pub fn new(layout: &Layout) -> Self {
        let mut index = CellIndex::default();
        for id in layout.ids() {
            let cell = layout.cell(id);
            index.hostless.push(!cell.removed && cell.hosts.is_empty());
            if cell.removed {
                continue;
            }
            cell.groups.iter().for_each(|&group| index.groups.entry(group).or_default().push(id));
            if cell.groups.is_empty() {
                index.unrestricted.push(id);
            }
            for pattern in &cell.hosts {
                match pattern.strip_suffix('*') {
                    Some(start) => {
                        index.prefixes.entry(start.into()).or_default().push(id);
                        index.prefix_lengths.push(start.len());
                    }
                    None => index.exact_names.entry(pattern.clone()).or_default().push(id),
                }
            }
        }
        index.prefix_lengths.sort_unstable();
        index.prefix_lengths.dedup();
        index
    }

    /// The cells in which ops of the group may be: those that list it, else those that list none.
    pub fn cells_serving(&self, group: GroupId) -> &[CellId] {
        self.groups.get(&group).map_or(&self.unrestricted, |ids| ids)
    }

    pub fn serves(&self, id: CellId, group: GroupId) -> bool {
        match self.groups.get(&group) {
            Some(ids) => ids.contains(&id),
            None => self.unrestricted.binary_search(&id).is_ok(),
        }
    }

    /// The cells that name the host.
    fn owners(&self, host: &str) -> Ids {
        let mut owners = self.exact_names.get(host).cloned().unwrap_or_default();
        for &length in &self.prefix_lengths {
            let start = host.get(..length).and_then(|start| self.prefixes.get(start));
            owners.extend(start.into_iter().flatten().copied());
        }
        owners
    }

    /// The cells that a group's host takes part in, and whether only as the group's primary. `host` is its name.
    pub fn cells_for_host(&self, group: GroupId, host: &str) -> impl Iterator<Item = (CellId, bool)> {
        let owners = self.owners(host);
        self.cells_serving(group).iter().map(move |&id| {
            let own = owners.contains(&id) || owners.is_empty() && self.hostless[id.0 as usize];
            (id, !own)
        })
    }
}
