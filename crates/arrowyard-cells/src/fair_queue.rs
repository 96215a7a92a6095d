//! Start-time fair queueing over cells. However long one cell's queue is, the next item of another waits for
//! at most one item of each other cell, scaled by weight.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use arrowyard_types::CellId;

/// Virtual time that an item of a cell with weight 1 takes.
const UNIT_WEIGHT_COST: f64 = 1_048_576.0;

/// Queued items by cell.
#[derive(Debug)]
pub struct FairQueue<T> {
    queues: Vec<CellQueue<T>>,
    /// Non-empty cells by the start tag of their first item; on equal tags the cell that became ready first.
    heads: BinaryHeap<Reverse<(u64, u64, CellId)>>,
    /// Start tag of the item that was dequeued last.
    virtual_time: u64,
    arrivals: u64,
    len: usize,
}

#[derive(Debug)]
struct CellQueue<T> {
    /// Virtual time that one item takes.
    cost: u64,
    items: VecDeque<T>,
    /// Start tag of the first item, and finish tag of the last one.
    first_start: u64,
    last_finish: u64,
}

fn cost(weight: f64) -> u64 {
    // A removed cell has weight zero; its remaining items are still dequeued.
    ((UNIT_WEIGHT_COST / weight.max(1e-6)) as u64).max(1)
}

impl<T> FairQueue<T> {
    /// Creates an empty queue for cells with these weights, in order of their ids.
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

    /// Number of queued items of all cells.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no item is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Queues an item of a cell.
    pub fn push(&mut self, cell: CellId, item: T) {
        let queue = &mut self.queues[cell.0 as usize];
        // An idle cell starts at the current virtual time, so that it accumulates no credit.
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

    /// Dequeues the item with the lowest start tag.
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

    /// Changes the weights. Cells keep their ids and queued items; there may be more cells than before.
    pub fn set_weights(&mut self, weights: impl Iterator<Item = f64>) {
        let mut next = FairQueue::new(weights);
        for (id, queue) in (0..).map(CellId).zip(self.queues.drain(..)) {
            queue.items.into_iter().for_each(|item| next.push(id, item));
        }
        *self = next;
    }
}
