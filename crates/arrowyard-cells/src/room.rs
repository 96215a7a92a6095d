//! Bulkheads: a thing that the router has so much of (ops, bytes, connections), divided over cells. A cell has a
//! share by its weight. A part of the share is guaranteed: it stands free for the cell whatever others do. The rest
//! may be lent while it is idle, and is called back when its owner asks.

use arrowyard_types::{CellId, TimeDelta, Timestamp};

/// One divided thing.
#[derive(Clone, Debug)]
pub struct Room {
    total: u64,
    cells: Vec<Part>,
    /// Of each cell what it holds, or what is guaranteed to it if that is more; summed.
    taken: u64,
    call_back: TimeDelta,
    /// Nobody borrows before: some cell asked for room of its own that was lent.
    called_till: Timestamp,
}

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    guaranteed: u64,
    share: u64,
    used: u64,
}

impl Part {
    fn taken(&self) -> u64 {
        self.used.max(self.guaranteed)
    }
}

/// Why there is no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Full {
    /// The cell's own room is lent; it is on its way back.
    Lent,
    /// The cell has all of its share, and there is nothing to borrow.
    Share,
}

impl Room {
    /// `parts`: each cell's weight, and the part of its share that is guaranteed.
    pub fn new(total: u64, parts: impl Iterator<Item = (f64, f64)>, call_back: TimeDelta) -> Self {
        let parts: Vec<(f64, f64)> = parts.collect();
        let weights: f64 = parts.iter().map(|(weight, _)| weight).sum();
        let part = |(weight, guaranteed): (f64, f64)| {
            // Rounded down, so that all shares together are never more than there is.
            let share = (total as f64 * weight / weights) as u64;
            Part { share, guaranteed: (share as f64 * guaranteed) as u64, used: 0 }
        };
        let cells: Vec<Part> = parts.into_iter().map(part).collect();
        let taken = cells.iter().map(Part::taken).sum();
        Room { total, cells, taken, call_back, called_till: Timestamp::DISTANT_PAST }
    }

    /// Divides anew; what is held stays held. Cells keep their ids, and there may be more of them.
    pub fn divide(&mut self, parts: impl Iterator<Item = (f64, f64)>, call_back: TimeDelta) {
        let mut next = Room::new(self.total, parts, call_back);
        for (part, old) in next.cells.iter_mut().zip(&self.cells) {
            part.used = old.used;
        }
        next.taken = next.cells.iter().map(Part::taken).sum();
        next.called_till = self.called_till;
        *self = next;
    }

    pub fn used(&self, cell: CellId) -> u64 {
        self.cells[cell.0 as usize].used
    }

    /// The cell's share of it, and the part that is guaranteed.
    pub fn share(&self, cell: CellId) -> (u64, u64) {
        let part = self.cells[cell.0 as usize];
        (part.share, part.guaranteed)
    }

    /// What the cell holds beyond its share.
    pub fn borrowed(&self, cell: CellId) -> u64 {
        let part = self.cells[cell.0 as usize];
        part.used.saturating_sub(part.share)
    }

    /// Whether a cell waits for room of its own.
    pub fn is_called(&self, now: Timestamp) -> bool {
        now < self.called_till
    }

    /// Takes so much for the cell, or nothing of it.
    ///
    /// # Errors
    /// Why there is no room.
    pub fn take(&mut self, now: Timestamp, cell: CellId, more: u64) -> Result<(), Full> {
        let part = self.cells[cell.0 as usize];
        let then = Part { used: part.used.saturating_add(more), ..part };
        let taken = self.taken - part.taken() + then.taken().min(u64::MAX / 2);
        if then.used > part.guaranteed {
            let own = then.used <= part.share;
            if taken > self.total {
                // Danger: borrowers renew what they borrowed for ever. From now on nobody borrows for a while, and
                // what ends goes to its owner.
                self.called_till = if own { now + self.call_back } else { self.called_till };
                return Err(if own { Full::Lent } else { Full::Share });
            }
            if !own && self.is_called(now) {
                return Err(Full::Share);
            }
        }
        (self.taken, self.cells[cell.0 as usize]) = (taken, then);
        Ok(())
    }

    /// Gives back what was taken.
    pub fn give(&mut self, cell: CellId, less: u64) {
        let part = &mut self.cells[cell.0 as usize];
        self.taken -= part.taken();
        part.used = part.used.saturating_sub(less);
        self.taken += part.taken();
    }
}
