//! Long lists worked off in slices, so that no op waits for a whole one. What closes hosts goes first, then what leads, then
//! the rest; a whole list ends with the hosts that it does not name. Each slice stands for itself: it says of the hosts in it
//! what the list says, and nothing of others, so that between two slices each host is as one of two lists has it.

use std::collections::VecDeque;

/// Part of a list.
#[derive(Debug, PartialEq)]
pub enum Slice<L> {
    /// These lines, as changes.
    Lines(Vec<L>),
    /// The whole list of this turn is through but for the hosts that it did not name: they are gone by it.
    Missing(u64),
    /// The list of this number is through.
    Through(i64),
}

struct Long<L> {
    number: i64,
    whole: bool,
    /// Which whole list it is, to tell its hosts by.
    turn: u64,
    lines: VecDeque<L>,
    missing: bool,
}

/// Lists that wait for their slices, the oldest first.
pub struct Slices<L> {
    waits: VecDeque<Long<L>>,
    size: usize,
    turns: u64,
}

impl<L> Slices<L> {
    #[must_use]
    pub fn new(size: usize) -> Slices<L> {
        Slices { waits: VecDeque::new(), size: size.max(1), turns: 0 }
    }

    /// Whether a list of so many lines has to be sliced: it is long, or others wait that came before it.
    #[must_use]
    pub fn has_to(&self, lines: usize) -> bool {
        lines > self.size || !self.waits.is_empty()
    }

    /// One more list. `rank` tells of a line what matters most: 0 that a host is left, 1 that it leads, 2 all else.
    ///
    /// A whole list makes all that wait before it void. Danger: older lines that are put on newer ones open a host again
    /// that the newer list closed; so lists are worked off in the order in which they came.
    pub fn push(&mut self, number: i64, whole: bool, lines: Vec<L>, rank: impl Fn(&L) -> u8) {
        if whole {
            self.waits.clear();
            self.turns += 1;
        }
        let mut parts: [Vec<L>; 3] = [Vec::new(), Vec::new(), Vec::new()];
        for line in lines {
            parts[usize::from(rank(&line).min(2))].push(line);
        }
        let lines = parts.into_iter().flatten().collect();
        self.waits.push_back(Long { number, whole, turn: self.turns, lines, missing: whole });
    }

    /// The number that marks the hosts of the whole list in hand.
    #[must_use]
    pub fn turn(&self) -> u64 {
        self.turns
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waits.is_empty()
    }

    /// The next slice.
    pub fn next(&mut self) -> Option<Slice<L>> {
        let long = self.waits.front_mut()?;
        if !long.lines.is_empty() {
            let size = self.size.min(long.lines.len());
            return Some(Slice::Lines(long.lines.drain(..size).collect()));
        }
        if long.whole && std::mem::take(&mut long.missing) {
            return Some(Slice::Missing(long.turn));
        }
        let number = long.number;
        self.waits.pop_front();
        Some(Slice::Through(number))
    }
}
