//! Divides long host lists into slices, so that no operation waits until a long list is applied. Entries
//! that close hosts (draining or removed ones) come first, in one slice; then groups with requested
//! operations, primaries and other hosts. After a full list, the hosts that it does not contain are removed.
//! Between slices, every host is in the state of one of the lists.

use std::collections::{HashSet, VecDeque};
use std::hash::Hash;

/// A part of a list.
#[derive(Debug, PartialEq)]
pub enum ListSlice<E> {
    /// Entries to apply as changes.
    Entries(Vec<E>),
    /// All entries of the full list with this generation are applied; hosts that it does not contain are to
    /// be removed.
    RemoveUnlisted(u64),
    /// The list of this version is fully applied.
    Complete(i64),
}

struct PendingList<E> {
    version: i64,
    is_full: bool,
    /// The number of the latest full list, which marks the hosts that it contains.
    generation: u64,
    entries: VecDeque<E>,
    needs_removal: bool,
}

/// A queue of lists that are applied in slices.
pub struct ListSlicer<E> {
    /// Entries that close hosts; they precede all lists.
    urgent: VecDeque<E>,
    /// Lists in the order of their arrival.
    pending: VecDeque<PendingList<E>>,
    slice_size: usize,
    generation: u64,
}

impl<E> ListSlicer<E> {
    /// Creates an empty queue; `slice_size` is the maximum number of entries in a slice of a list.
    #[must_use]
    pub fn new(slice_size: usize) -> ListSlicer<E> {
        ListSlicer {
            urgent: VecDeque::new(),
            pending: VecDeque::new(),
            slice_size: slice_size.max(1),
            generation: 0,
        }
    }

    /// Whether a list of this many entries has to be sliced, because it is long or earlier lists are
    /// pending.
    #[must_use]
    pub fn needs_slicing(&self, entry_count: usize) -> bool {
        entry_count > self.slice_size || !self.is_empty()
    }

    /// Adds a list. `rank` classifies an entry: 0 closes a host, 1 is of a group with requested operations,
    /// 2 is a primary, 3 is any other; `host` returns the host of an entry.
    ///
    /// A full list replaces all pending ones. Entries that close a host precede all lists, so that a draining
    /// host receives no operations until long lists are applied; pending entries of the same host move with
    /// them, since an older entry that is applied later would reopen the host.
    pub fn push<K: Eq + Hash + Clone>(
        &mut self,
        version: i64,
        is_full: bool,
        entries: Vec<E>,
        rank: impl Fn(&E) -> u8,
        host: impl Fn(&E) -> K,
    ) {
        if is_full {
            self.pending.clear();
            self.urgent.clear();
            self.generation += 1;
        }
        let mut entries_by_rank: [Vec<E>; 4] = Default::default();
        for entry in entries {
            entries_by_rank[usize::from(rank(&entry).min(3))].push(entry);
        }
        let [closing, requested, primaries, others] = entries_by_rank;
        if !self.pending.is_empty() && !closing.is_empty() {
            let closing_hosts: HashSet<K> = closing.iter().map(&host).collect();
            for list in &mut self.pending {
                let (closing_host_entries, other_entries) =
                    std::mem::take(&mut list.entries)
                        .into_iter()
                        .partition::<VecDeque<E>, _>(|entry| closing_hosts.contains(&host(entry)));
                list.entries = other_entries;
                self.urgent.extend(closing_host_entries);
            }
        }
        self.urgent.extend(closing);
        let entries = requested.into_iter().chain(primaries).chain(others).collect();
        self.pending.push_back(PendingList {
            version,
            is_full,
            generation: self.generation,
            entries,
            needs_removal: is_full,
        });
    }

    /// The number of the latest full list, which marks the hosts that it contains.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Whether no entries or lists are pending.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty() && self.urgent.is_empty()
    }

    /// The next slice; `None` if nothing is pending.
    pub fn next_slice(&mut self) -> Option<ListSlice<E>> {
        if !self.urgent.is_empty() {
            // Not split, since a host could be open between its older entry and the one that closes it.
            return Some(ListSlice::Entries(self.urgent.drain(..).collect()));
        }
        let list = self.pending.front_mut()?;
        if !list.entries.is_empty() {
            let slice_len = self.slice_size.min(list.entries.len());
            return Some(ListSlice::Entries(list.entries.drain(..slice_len).collect()));
        }
        if list.is_full && std::mem::take(&mut list.needs_removal) {
            return Some(ListSlice::RemoveUnlisted(list.generation));
        }
        let version = list.version;
        self.pending.pop_front();
        Some(ListSlice::Complete(version))
    }
}
