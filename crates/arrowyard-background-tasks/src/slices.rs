//! Long lists worked off in slices, so that no op waits for a whole one. What closes hosts goes first and in one piece, then
//! what ops wait for, what leads, the rest; a whole list ends with the hosts that it does not name. Each slice stands for itself: it says of the hosts in it
//! what the list says, and nothing of others, so that between two slices each host is as one of two lists has it.

use std::collections::{HashSet, VecDeque};
use std::hash::Hash;

/// Part of a list.
#[derive(Debug, PartialEq)]
pub enum ListSlice<L> {
    /// These lines, as changes.
    Entries(Vec<L>),
    /// The whole list of this turn is through but for the hosts that it did not name: they are gone by it.
    RemoveUnlisted(u64),
    /// The list of this number is through.
    Complete(i64),
}

struct Long<L> {
    number: i64,
    whole: bool,
    /// Which whole list it is, to tell its hosts by.
    turn: u64,
    lines: VecDeque<L>,
    missing: bool,
}

/// Lists that wait for their slices, the oldest first, behind what closes hosts.
pub struct ListSlicer<L> {
    /// Lines that go before all lists.
    urgent: VecDeque<L>,
    waits: VecDeque<Long<L>>,
    size: usize,
    turns: u64,
}

impl<L> ListSlicer<L> {
    #[must_use]
    pub fn new(size: usize) -> ListSlicer<L> {
        ListSlicer { urgent: VecDeque::new(), waits: VecDeque::new(), size: size.max(1), turns: 0 }
    }

    /// Whether a list of so many lines has to be sliced: it is long, or others wait that came before it.
    #[must_use]
    pub fn needs_slicing(&self, lines: usize) -> bool {
        lines > self.size || !self.is_empty()
    }

    /// One more list. `rank` tells of a line what matters most: 0 that a host is left, 1 that ops wait for its group, 2 that
    /// it leads, 3 all else; `host` whom it is about.
    ///
    /// A whole list makes all that wait before it void. Danger: older lines that are put on newer ones open a host again
    /// that the newer list closed; so lists are worked off in the order in which they came. And a host that drains is sent to
    /// past its grace, since its word waits behind thousands of others; so a line that closes goes before all lists, with what
    /// they say of its host right before it.
    pub fn push<K: Eq + Hash + Clone>(
        &mut self,
        number: i64,
        whole: bool,
        lines: Vec<L>,
        rank: impl Fn(&L) -> u8,
        host: impl Fn(&L) -> K,
    ) {
        if whole {
            self.waits.clear();
            self.urgent.clear();
            self.turns += 1;
        }
        let mut parts: [Vec<L>; 4] = Default::default();
        for line in lines {
            parts[usize::from(rank(&line).min(3))].push(line);
        }
        let [closing, wanted, leading, rest] = parts;
        if !self.waits.is_empty() && !closing.is_empty() {
            let closed: HashSet<K> = closing.iter().map(&host).collect();
            for long in &mut self.waits {
                let (of, others) = std::mem::take(&mut long.lines)
                    .into_iter()
                    .partition::<VecDeque<L>, _>(|line| closed.contains(&host(line)));
                long.lines = others;
                self.urgent.extend(of);
            }
        }
        self.urgent.extend(closing);
        let lines = wanted.into_iter().chain(leading).chain(rest).collect();
        self.waits.push_back(Long { number, whole, turn: self.turns, lines, missing: whole });
    }

    /// The number that marks the hosts of the whole list in hand.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.turns
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waits.is_empty() && self.urgent.is_empty()
    }

    /// The next slice.
    pub fn next_slice(&mut self) -> Option<ListSlice<L>> {
        if !self.urgent.is_empty() {
            // What is said of one host stays together, whatever the size: between its lines it would be open.
            return Some(ListSlice::Entries(self.urgent.drain(..).collect()));
        }
        let long = self.waits.front_mut()?;
        if !long.lines.is_empty() {
            let size = self.size.min(long.lines.len());
            return Some(ListSlice::Entries(long.lines.drain(..size).collect()));
        }
        if long.whole && std::mem::take(&mut long.missing) {
            return Some(ListSlice::RemoveUnlisted(long.turn));
        }
        let number = long.number;
        self.waits.pop_front();
        Some(ListSlice::Complete(number))
    }
}
