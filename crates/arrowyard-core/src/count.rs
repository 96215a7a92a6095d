//! Guards that count resources while they are in use.

use std::cell::Cell;
use std::rc::Rc;

/// Adds to a counter of connections or bytes, and subtracts the same amount when it is dropped.
#[derive(Debug, PartialEq)]
pub struct UsageGuard(Rc<Cell<usize>>, usize);

impl UsageGuard {
    /// Counts one unit.
    pub fn one(counter: &Rc<Cell<usize>>) -> Self {
        UsageGuard::add(counter, 1)
    }

    /// Counts `amount` units.
    pub fn add(counter: &Rc<Cell<usize>>, amount: usize) -> Self {
        counter.set(counter.get() + amount);
        UsageGuard(counter.clone(), amount)
    }
}

impl Drop for UsageGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - self.1);
    }
}
