//! Counts of what the router has in hand.

use std::cell::Cell;
use std::rc::Rc;

/// So many more of something (connections, bytes) for as long as it is kept.
#[derive(Debug, PartialEq)]
pub struct Count(Rc<Cell<usize>>, usize);

impl Count {
    pub fn one(of: &Rc<Cell<usize>>) -> Self {
        Count::many(of, 1)
    }

    pub fn many(of: &Rc<Cell<usize>>, more: usize) -> Self {
        of.set(of.get() + more);
        Count(of.clone(), more)
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        self.0.set(self.0.get() - self.1);
    }
}
