//! Which cells serve a group and hold a host, looked up: with many cells a look at each of them for every host of a
//! list, or for every op, is too slow.

use arrowyard_types::{CellId, GroupId};
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::layout::Layout;

type Ids = SmallVec<[CellId; 4]>;

/// Made once of a layout.
#[derive(Clone, Debug, Default)]
pub struct Index {
    groups: FxHashMap<GroupId, Ids>,
    /// Cells that list no groups, and serve those that nobody lists.
    free: Vec<CellId>,
    names: FxHashMap<Box<str>, Ids>,
    /// What names begin with, and the lengths that occur.
    starts: FxHashMap<Box<str>, Ids>,
    lengths: Vec<usize>,
    /// By cell: whether it names no hosts, and has those that nobody names.
    hostless: Vec<bool>,
}

impl Index {
    pub fn new(layout: &Layout) -> Self {
        let mut index = Index::default();
        for id in layout.ids() {
            let cell = layout.cell(id);
            index.hostless.push(!cell.gone && cell.hosts.is_empty());
            if cell.gone {
                continue;
            }
            cell.groups.iter().for_each(|&group| index.groups.entry(group).or_default().push(id));
            if cell.groups.is_empty() {
                index.free.push(id);
            }
            for pattern in &cell.hosts {
                match pattern.strip_suffix('*') {
                    Some(start) => {
                        index.starts.entry(start.into()).or_default().push(id);
                        index.lengths.push(start.len());
                    }
                    None => index.names.entry(pattern.clone()).or_default().push(id),
                }
            }
        }
        index.lengths.sort_unstable();
        index.lengths.dedup();
        index
    }

    /// The cells in which ops of the group may be: those that list it, else those that list none.
    pub fn serving(&self, group: GroupId) -> &[CellId] {
        self.groups.get(&group).map_or(&self.free, |ids| ids)
    }

    pub fn serves(&self, id: CellId, group: GroupId) -> bool {
        match self.groups.get(&group) {
            Some(ids) => ids.contains(&id),
            None => self.free.binary_search(&id).is_ok(),
        }
    }

    /// The cells that name the host.
    fn owners(&self, host: &str) -> Ids {
        let mut owners = self.names.get(host).cloned().unwrap_or_default();
        for &length in &self.lengths {
            let start = host.get(..length).and_then(|start| self.starts.get(start));
            owners.extend(start.into_iter().flatten().copied());
        }
        owners
    }

    /// The cells that a group's host takes part in, and whether only as the group's primary. `host` is its name.
    pub fn parts(&self, group: GroupId, host: &str) -> impl Iterator<Item = (CellId, bool)> {
        let owners = self.owners(host);
        self.serving(group).iter().map(move |&id| {
            let own = owners.contains(&id) || owners.is_empty() && self.hostless[id.0 as usize];
            (id, !own)
        })
    }
}
