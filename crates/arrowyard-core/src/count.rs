//! Counts of what the router has in hand.

use std::cell::Cell;
use std::rc::Rc;

/// So many more of something (connections, bytes) for as long as it is kept.
#[derive(Debug, PartialEq)]
pub struct UsageGuard(Rc<Cell<usize>>, usize);

impl UsageGuard {
    pub fn one(of: &Rc<Cell<usize>>) -> Self {
        UsageGuard::add(of, 1)
    }

    pub fn add(of: &Rc<Cell<usize>>, more: usize) -> Self {
        of.set(of.get() + more);
        UsageGuard(of.clone(), more)
    }
}

impl Drop for UsageGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - self.1);
    }
}
