//! Fair turns: start-time fair queueing over cells. However much one cell has waiting, another's next item waits
//! for at most one item of each other cell, by weight.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use arrowyard_types::CellId;

/// What one item of the weight 1 takes of virtual time.
const UNIT_WEIGHT_COST: f64 = 1_048_576.0;

/// Items that wait, by cell.
#[derive(Debug)]
pub struct FairQueue<T> {
    queues: Vec<CellQueue<T>>,
    /// The cells that have items, by the start tag of their first one; of equal tags, the cell that came first.
    heads: BinaryHeap<Reverse<(u64, u64, CellId)>>,
    /// The start tag of the item taken last.
    virtual_time: u64,
    arrivals: u64,
    len: usize,
}

#[derive(Debug)]
struct CellQueue<T> {
    /// What one item takes of virtual time.
    cost: u64,
    items: VecDeque<T>,
    /// The start tag of its first item, and where its last one ends.
    first_start: u64,
    last_finish: u64,
}

fn cost(weight: f64) -> u64 {
    // A cell that is gone has no weight; what waits of it comes out all the same.
    ((UNIT_WEIGHT_COST / weight.max(1e-6)) as u64).max(1)
}

impl<T> FairQueue<T> {
    pub fn new(weights: impl Iterator<Item = f64>) -> Self {
        let queue =
            |weight| CellQueue { cost: cost(weight), items: VecDeque::new(), first_start: 0, last_finish: 0 };
        FairQueue {
            queues: weights.map(queue).collect(),
            heads: BinaryHeap::new(),
            virtual_time: 0,
            arrivals: 0,
            len: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub fn push(&mut self, cell: CellId, item: T) {
        let queue = &mut self.queues[cell.0 as usize];
        // A cell that was idle begins now: it saves up nothing.
        let start = queue.last_finish.max(self.virtual_time);
        queue.last_finish = start + queue.cost;
        if queue.items.is_empty() {
            queue.first_start = start;
            self.arrivals += 1;
            self.heads.push(Reverse((start, self.arrivals, cell)));
        }
        queue.items.push_back(item);
        self.len += 1;
    }

    /// The item whose start tag is the least.
    pub fn pop(&mut self) -> Option<T> {
        let Reverse((start, _, cell)) = self.heads.pop()?;
        let queue = &mut self.queues[cell.0 as usize];
        let item = queue.items.pop_front()?;
        self.len -= 1;
        self.virtual_time = start;
        queue.first_start += queue.cost;
        if !queue.items.is_empty() {
            self.arrivals += 1;
            self.heads.push(Reverse((queue.first_start, self.arrivals, cell)));
        }
        Some(item)
    }

    /// Other weights. Cells keep their ids, and there may be more of them.
    pub fn set_weights(&mut self, weights: impl Iterator<Item = f64>) {
        let mut next = FairQueue::new(weights);
        for (id, queue) in (0..).map(CellId).zip(self.queues.drain(..)) {
            queue.items.into_iter().for_each(|item| next.push(id, item));
        }
        *self = next;
    }
}
