//! Applies long host lists in slices, so that no operation waits for a whole list. Entries that close
//! hosts come first and in one piece, followed by groups with waiting operations, primaries and the rest; a
//! whole list ends with the removal of the hosts that it does not name. Each slice is consistent in itself:
//! between slices, every host is in the state of one of the lists.

use std::collections::{HashSet, VecDeque};
use std::hash::Hash;

/// A part of a list.
#[derive(Debug, PartialEq)]
pub enum ListSlice<L> {
    /// Entries to apply as changes.
    Entries(Vec<L>),
    /// All entries of the whole list of this generation are applied; hosts that it did not name are to be
    /// removed.
    RemoveUnlisted(u64),
    /// The list of this version is fully applied.
    Complete(i64),
}

struct PendingList<L> {
    version: i64,
    whole: bool,
    /// The number of the whole list, which marks its hosts.
    generation: u64,
    entries: VecDeque<L>,
    needs_removal: bool,
}

/// Pending lists, oldest first, and the entries that close hosts, which precede them.
pub struct ListSlicer<L> {
    /// Entries that precede all lists.
    urgent: VecDeque<L>,
    pending: VecDeque<PendingList<L>>,
    slice_size: usize,
    generation: u64,
}

impl<L> ListSlicer<L> {
    /// Creates an empty queue; `size` is the maximum number of entries in a slice of a list.
    #[must_use]
    pub fn new(size: usize) -> ListSlicer<L> {
        ListSlicer {
            urgent: VecDeque::new(),
            pending: VecDeque::new(),
            slice_size: size.max(1),
            generation: 0,
        }
    }

    /// Whether a list of this many entries has to be sliced, because it is long or earlier lists are
    /// pending.
    #[must_use]
    pub fn needs_slicing(&self, entries: usize) -> bool {
        entries > self.slice_size || !self.is_empty()
    }

    /// Adds a list. `rank` classifies an entry: 0 closes a host, 1 operations wait for its group, 2 primary,
    /// 3 any other; `host` returns the host of an entry.
    ///
    /// A whole list replaces all pending ones. Lists are applied in order, since an older entry could reopen
    /// a host that a newer one closed. Entries that close a host precede all lists, directly after the
    /// pending entries of that host; otherwise a draining host would receive operations until thousands of
    /// other entries are applied.
    pub fn push<K: Eq + Hash + Clone>(
        &mut self,
        version: i64,
        whole: bool,
        entries: Vec<L>,
        rank: impl Fn(&L) -> u8,
        host: impl Fn(&L) -> K,
    ) {
        if whole {
            self.pending.clear();
            self.urgent.clear();
            self.generation += 1;
        }
        let mut parts: [Vec<L>; 4] = Default::default();
        for entry in entries {
            parts[usize::from(rank(&entry).min(3))].push(entry);
        }
        let [closing, awaited, primaries, rest] = parts;
        if !self.pending.is_empty() && !closing.is_empty() {
            let closed: HashSet<K> = closing.iter().map(&host).collect();
            for list in &mut self.pending {
                let (closed_entries, others) = std::mem::take(&mut list.entries)
                    .into_iter()
                    .partition::<VecDeque<L>, _>(|entry| closed.contains(&host(entry)));
                list.entries = others;
                self.urgent.extend(closed_entries);
            }
        }
        self.urgent.extend(closing);
        let entries = awaited.into_iter().chain(primaries).chain(rest).collect();
        self.pending.push_back(PendingList {
            version,
            whole,
            generation: self.generation,
            entries,
            needs_removal: whole,
        });
    }

    /// The number that marks the hosts of the current whole list.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Whether no entries or lists are pending.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty() && self.urgent.is_empty()
    }

    /// The next slice.
    pub fn next_slice(&mut self) -> Option<ListSlice<L>> {
        if !self.urgent.is_empty() {
            // Not split, whatever its size: a host would be open between its entries.
            return Some(ListSlice::Entries(self.urgent.drain(..).collect()));
        }
        let list = self.pending.front_mut()?;
        if !list.entries.is_empty() {
            let size = self.slice_size.min(list.entries.len());
            return Some(ListSlice::Entries(list.entries.drain(..size).collect()));
        }
        if list.whole && std::mem::take(&mut list.needs_removal) {
            return Some(ListSlice::RemoveUnlisted(list.generation));
        }
        let version = list.version;
        self.pending.pop_front();
        Some(ListSlice::Complete(version))
    }
}
