//! Bulkheads: a thing that the router has so much of (ops, bytes, connections), divided over cells. A cell has a
//! share by its weight. A part of the share is guaranteed: it stands free for the cell whatever others do. The rest
//! may be lent while it is idle, and is called back when its owner asks.

use arrowyard_types::{CellId, TimeDelta, Timestamp};

/// One divided thing.
#[derive(Clone, Debug)]
pub struct Bulkhead {
    total: u64,
    cells: Vec<CellShare>,
    /// Of each cell what it holds, or what is guaranteed to it if that is more; summed.
    reserved: u64,
    reclaim_period: TimeDelta,
    /// Nobody borrows before: some cell asked for room of its own that was lent.
    reclaiming_until: Timestamp,
}

#[derive(Clone, Copy, Debug, Default)]
struct CellShare {
    guaranteed: u64,
    share: u64,
    used: u64,
}

impl CellShare {
    fn reserved(&self) -> u64 {
        self.used.max(self.guaranteed)
    }
}

/// Why there is no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireError {
    /// The cell's own room is lent; it is on its way back.
    Lent,
    /// The cell has all of its share, and there is nothing to borrow.
    Exhausted,
}

impl Bulkhead {
    /// `parts`: each cell's weight, and the part of its share that is guaranteed.
    pub fn new(total: u64, parts: impl Iterator<Item = (f64, f64)>, reclaim_period: TimeDelta) -> Self {
        let parts: Vec<(f64, f64)> = parts.collect();
        let weights: f64 = parts.iter().map(|(weight, _)| weight).sum();
        let part = |(weight, guaranteed): (f64, f64)| {
            // Rounded down, so that all shares together are never more than there is.
            let share = (total as f64 * weight / weights) as u64;
            CellShare { share, guaranteed: (share as f64 * guaranteed) as u64, used: 0 }
        };
        let cells: Vec<CellShare> = parts.into_iter().map(part).collect();
        let reserved = cells.iter().map(CellShare::reserved).sum();
        Bulkhead { total, cells, reserved, reclaim_period, reclaiming_until: Timestamp::DISTANT_PAST }
    }

    /// Divides anew; what is held stays held. Cells keep their ids, and there may be more of them.
    pub fn resize(&mut self, parts: impl Iterator<Item = (f64, f64)>, reclaim_period: TimeDelta) {
        let mut next = Bulkhead::new(self.total, parts, reclaim_period);
        for (part, old) in next.cells.iter_mut().zip(&self.cells) {
            part.used = old.used;
        }
        next.reserved = next.cells.iter().map(CellShare::reserved).sum();
        next.reclaiming_until = self.reclaiming_until;
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
    pub fn is_reclaiming(&self, now: Timestamp) -> bool {
        now < self.reclaiming_until
    }

    /// Takes so much for the cell, or nothing of it.
    ///
    /// # Errors
    /// Why there is no room.
    pub fn try_acquire(&mut self, now: Timestamp, cell: CellId, more: u64) -> Result<(), AcquireError> {
        let part = self.cells[cell.0 as usize];
        let then = CellShare { used: part.used.saturating_add(more), ..part };
        let reserved = self.reserved - part.reserved() + then.reserved().min(u64::MAX / 2);
        if then.used > part.guaranteed {
            let own = then.used <= part.share;
            if reserved > self.total {
                // Danger: borrowers renew what they borrowed for ever. From now on nobody borrows for a while, and
                // what ends goes to its owner.
                self.reclaiming_until = if own { now + self.reclaim_period } else { self.reclaiming_until };
                return Err(if own { AcquireError::Lent } else { AcquireError::Exhausted });
            }
            if !own && self.is_reclaiming(now) {
                return Err(AcquireError::Exhausted);
            }
        }
        (self.reserved, self.cells[cell.0 as usize]) = (reserved, then);
        Ok(())
    }

    /// Gives back what was taken.
    pub fn release(&mut self, cell: CellId, less: u64) {
        let part = &mut self.cells[cell.0 as usize];
        self.reserved -= part.reserved();
        part.used = part.used.saturating_sub(less);
        self.reserved += part.reserved();
    }
}
