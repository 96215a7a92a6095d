//! Lookup tables from groups and host names to cells, so that neither an op nor a host listing scans every
//! cell.

use arrowyard_types::{CellId, GroupId};
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::layout::Layout;

type CellIds = SmallVec<[CellId; 4]>;

/// Built once per layout.
#[derive(Clone, Debug, Default)]
pub struct CellIndex {
    groups: FxHashMap<GroupId, CellIds>,
    /// Cells that list no groups. They serve every group that no cell lists.
    unrestricted: Vec<CellId>,
    exact_names: FxHashMap<Box<str>, CellIds>,
    /// Host name prefixes (patterns that end in `*`), and the prefix lengths that occur.
    prefixes: FxHashMap<Box<str>, CellIds>,
    prefix_lengths: Vec<usize>,
    /// By cell id: whether the cell lists no hosts and therefore owns every host that no cell lists.
    hostless: Vec<bool>,
}

impl CellIndex {
    /// Builds the lookup tables of a layout.
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
                    Some(prefix) => {
                        index.prefixes.entry(prefix.into()).or_default().push(id);
                        index.prefix_lengths.push(prefix.len());
                    }
                    None => index.exact_names.entry(pattern.clone()).or_default().push(id),
                }
            }
        }
        index.prefix_lengths.sort_unstable();
        index.prefix_lengths.dedup();
        index
    }

    /// Cells that serve the group: those that list it, or else those that list no groups.
    pub fn cells_serving(&self, group: GroupId) -> &[CellId] {
        self.groups.get(&group).map_or(&self.unrestricted, |ids| ids)
    }

    /// Whether the cell serves the group.
    pub fn serves(&self, id: CellId, group: GroupId) -> bool {
        match self.groups.get(&group) {
            Some(ids) => ids.contains(&id),
            None => self.unrestricted.binary_search(&id).is_ok(),
        }
    }

    /// Cells whose patterns match the host name.
    fn owners(&self, host: &str) -> CellIds {
        let mut owners = self.exact_names.get(host).cloned().unwrap_or_default();
        for &length in &self.prefix_lengths {
            let prefix = host.get(..length).and_then(|prefix| self.prefixes.get(prefix));
            owners.extend(prefix.into_iter().flatten().copied());
        }
        owners
    }

    /// Cells that use a host of the group, each with whether the host serves that cell only as the group's
    /// primary.
    pub fn cells_for_host(&self, group: GroupId, host: &str) -> impl Iterator<Item = (CellId, bool)> {
        let owners = self.owners(host);
        self.cells_serving(group).iter().map(move |&id| {
            let owned = owners.contains(&id) || owners.is_empty() && self.hostless[id.0 as usize];
            (id, !owned)
        })
    }
}
