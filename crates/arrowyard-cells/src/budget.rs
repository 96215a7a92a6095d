//! A budget of repeated attempts: further sends and clients' marked retries, against first sends. Over any window
//! they are at most a share of the first sends, or a small number that is always allowed, whichever is more.

use arrowyard_types::{TimeDelta, Timestamp};

use crate::layout::Repeats;

/// A window is kept as so many slices.
const SLICES: i64 = 16;

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: i64,
    first: u32,
    repeated: u32,
}

/// The budget of one cell.
#[derive(Clone, Debug)]
pub struct Budget {
    terms: Repeats,
    /// The window, and one more that it may touch.
    slices: [Slice; SLICES as usize + 1],
}

impl Budget {
    pub fn new(terms: Repeats) -> Self {
        Budget { terms, slices: Default::default() }
    }

    pub fn renew(&mut self, terms: Repeats) {
        // Slices of another length say nothing.
        *self = if terms.window == self.terms.window {
            Budget { terms, ..self.clone() }
        } else {
            Budget::new(terms)
        };
    }

    fn number(&self, now: Timestamp) -> i64 {
        now.micros().div_euclid((self.terms.window.micros() / SLICES).max(1))
    }

    fn slice(&mut self, now: Timestamp) -> &mut Slice {
        let number = self.number(now);
        let slice = &mut self.slices[number.rem_euclid(SLICES + 1) as usize];
        if slice.number != number {
            *slice = Slice { number, ..Slice::default() };
        }
        slice
    }

    pub fn first(&mut self, now: Timestamp) {
        let slice = self.slice(now);
        slice.first = slice.first.saturating_add(1);
    }

    /// How many more attempts may be repeated now. Danger: a window that straddles slices. Repeats count in every
    /// slice that the window touches, first sends only in those that lie wholly within it.
    pub fn left(&self, now: Timestamp) -> u32 {
        let number = self.number(now);
        let within = |from: i64| {
            self.slices.iter().filter(move |s| (number - s.number) >= 0 && s.number > number - from)
        };
        let repeated: u32 = within(SLICES + 1).map(|slice| slice.repeated).sum();
        let first: u32 = within(SLICES).map(|slice| slice.first).sum();
        let allowed = (f64::from(first) * self.terms.share) as u32;
        allowed.max(self.terms.least).saturating_sub(repeated)
    }

    /// Counts one that was repeated.
    pub fn repeated(&mut self, now: Timestamp) {
        let slice = self.slice(now);
        slice.repeated = slice.repeated.saturating_add(1);
    }

    /// Whether one more may be repeated; if so, it counts.
    pub fn spend(&mut self, now: Timestamp) -> bool {
        let may = self.left(now) > 0;
        if may {
            self.repeated(now);
        }
        may
    }

    /// After this span the oldest slice falls out of the window, and there may be room again.
    pub fn back_after(&self) -> TimeDelta {
        TimeDelta::from_micros(self.terms.window.micros() / SLICES)
    }
}
