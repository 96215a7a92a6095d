//! Bulkheads: divides a limited resource of the router (ops, bytes, connections) among cells by weight. A
//! fraction of each share is guaranteed and always available to its cell. The rest may be lent while it is
//! idle and is reclaimed when its owner needs it.

use arrowyard_types::{CellId, TimeDelta, Timestamp};

/// One divided resource.
#[derive(Clone, Debug)]
pub struct Bulkhead {
    total: u64,
    shares: Vec<CellShare>,
    /// Sum over all cells of the usage or the guaranteed amount, whichever is larger.
    reserved: u64,
    reclaim_period: TimeDelta,
    /// Until then no cell may borrow, because a cell asked for its own share while it was lent out.
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

/// Why an acquisition was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireError {
    /// The cell's own share is lent out and is being reclaimed.
    Lent,
    /// The cell uses all of its share, and there is nothing to borrow.
    Exhausted,
}

impl Bulkhead {
    /// `parts` yields each cell's weight and the guaranteed fraction of its share.
    pub fn new(
        total: u64,
        cell_weights: impl Iterator<Item = (f64, f64)>,
        reclaim_period: TimeDelta,
    ) -> Self {
        let cell_weights: Vec<(f64, f64)> = cell_weights.collect();
        let weights: f64 = cell_weights.iter().map(|(weight, _)| weight).sum();
        let cell_share = |(weight, guaranteed): (f64, f64)| {
            // Rounded down, so that the sum of the shares never exceeds the total.
            let share = (total as f64 * weight / weights) as u64;
            CellShare { share, guaranteed: (share as f64 * guaranteed) as u64, used: 0 }
        };
        let shares: Vec<CellShare> = cell_weights.into_iter().map(cell_share).collect();
        let reserved = shares.iter().map(CellShare::reserved).sum();
        Bulkhead { total, shares, reserved, reclaim_period, reclaiming_until: Timestamp::DISTANT_PAST }
    }

    /// Divides the resource anew; amounts in use are kept. Cells keep their ids, and there may be more of
    /// them than before.
    pub fn resize(&mut self, cell_weights: impl Iterator<Item = (f64, f64)>, reclaim_period: TimeDelta) {
        let mut next = Bulkhead::new(self.total, cell_weights, reclaim_period);
        for (cell_share, old) in next.shares.iter_mut().zip(&self.shares) {
            cell_share.used = old.used;
        }
        next.reserved = next.shares.iter().map(CellShare::reserved).sum();
        next.reclaiming_until = self.reclaiming_until;
        *self = next;
    }

    /// Amount that the cell uses.
    pub fn used(&self, cell: CellId) -> u64 {
        self.shares[cell.0 as usize].used
    }

    /// The cell's share and the guaranteed part of it.
    pub fn share(&self, cell: CellId) -> (u64, u64) {
        let cell_share = self.shares[cell.0 as usize];
        (cell_share.share, cell_share.guaranteed)
    }

    /// Amount in use beyond the cell's share.
    pub fn borrowed(&self, cell: CellId) -> u64 {
        let cell_share = self.shares[cell.0 as usize];
        cell_share.used.saturating_sub(cell_share.share)
    }

    /// Whether borrowing is suspended because a cell waits for its own share.
    pub fn is_reclaiming(&self, now: Timestamp) -> bool {
        now < self.reclaiming_until
    }

    /// Acquires `more` units for the cell, or none.
    ///
    /// # Errors
    /// Why the units are not available.
    pub fn try_acquire(&mut self, now: Timestamp, cell: CellId, amount: u64) -> Result<(), AcquireError> {
        let cell_share = self.shares[cell.0 as usize];
        let updated = CellShare { used: cell_share.used.saturating_add(amount), ..cell_share };
        let reserved = self.reserved - cell_share.reserved() + updated.reserved().min(u64::MAX / 2);
        if updated.used > cell_share.guaranteed {
            let within_share = updated.used <= cell_share.share;
            if reserved > self.total {
                // Without this, borrowers that release and reacquire would hold the share forever.
                // Suspending all borrowing gives released units back to their owner.
                self.reclaiming_until =
                    if within_share { now + self.reclaim_period } else { self.reclaiming_until };
                return Err(if within_share { AcquireError::Lent } else { AcquireError::Exhausted });
            }
            if !within_share && self.is_reclaiming(now) {
                return Err(AcquireError::Exhausted);
            }
        }
        (self.reserved, self.shares[cell.0 as usize]) = (reserved, updated);
        Ok(())
    }

    /// Returns `less` units.
    pub fn release(&mut self, cell: CellId, amount: u64) {
        let cell_share = &mut self.shares[cell.0 as usize];
        self.reserved -= cell_share.reserved();
        cell_share.used = cell_share.used.saturating_sub(amount);
        self.reserved += cell_share.reserved();
    }
}
