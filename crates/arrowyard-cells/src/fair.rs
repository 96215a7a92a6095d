//! Fair turns: start-time fair queueing over cells. However much one cell has waiting, another's next item waits
//! for at most one item of each other cell, by weight.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use arrowyard_types::CellId;

/// What one item of the weight 1 takes of virtual time.
const UNIT: f64 = 1_048_576.0;

/// Items that wait, by cell.
#[derive(Debug)]
pub struct Fair<T> {
    cells: Vec<Line<T>>,
    /// The cells that have items, by the start tag of their first one; of equal tags, the cell that came first.
    heads: BinaryHeap<Reverse<(u64, u64, CellId)>>,
    /// The start tag of the item taken last.
    now: u64,
    came: u64,
    waiting: usize,
}

#[derive(Debug)]
struct Line<T> {
    /// What one item takes of virtual time.
    cost: u64,
    items: VecDeque<T>,
    /// The start tag of its first item, and where its last one ends.
    head: u64,
    end: u64,
}

fn cost(weight: f64) -> u64 {
    // A cell that is gone has no weight; what waits of it comes out all the same.
    ((UNIT / weight.max(1e-6)) as u64).max(1)
}

impl<T> Fair<T> {
    pub fn new(weights: impl Iterator<Item = f64>) -> Self {
        let line = |weight| Line { cost: cost(weight), items: VecDeque::new(), head: 0, end: 0 };
        Fair { cells: weights.map(line).collect(), heads: BinaryHeap::new(), now: 0, came: 0, waiting: 0 }
    }

    pub fn len(&self) -> usize {
        self.waiting
    }

    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    pub fn put(&mut self, cell: CellId, item: T) {
        let line = &mut self.cells[cell.0 as usize];
        // A cell that was idle begins now: it saves up nothing.
        let start = line.end.max(self.now);
        line.end = start + line.cost;
        if line.items.is_empty() {
            line.head = start;
            self.came += 1;
            self.heads.push(Reverse((start, self.came, cell)));
        }
        line.items.push_back(item);
        self.waiting += 1;
    }

    /// The item whose start tag is the least.
    pub fn take(&mut self) -> Option<T> {
        let Reverse((start, _, cell)) = self.heads.pop()?;
        let line = &mut self.cells[cell.0 as usize];
        let item = line.items.pop_front()?;
        self.waiting -= 1;
        self.now = start;
        line.head += line.cost;
        if !line.items.is_empty() {
            self.came += 1;
            self.heads.push(Reverse((line.head, self.came, cell)));
        }
        Some(item)
    }

    /// Other weights. Cells keep their ids, and there may be more of them.
    pub fn divide(&mut self, weights: impl Iterator<Item = f64>) {
        let mut next = Fair::new(weights);
        for (id, line) in (0..).map(CellId).zip(self.cells.drain(..)) {
            line.items.into_iter().for_each(|item| next.put(id, item));
        }
        *self = next;
    }
}
