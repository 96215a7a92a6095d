//! A budget of repeated attempts: further sends and clients' marked retries, against first sends. Over any window
//! they are at most a share of the first sends, or a small number that is always allowed, whichever is more.

use arrowyard_types::{TimeDelta, Timestamp};

use crate::layout::RetryBudgetConfig;

/// A window is kept as so many slices.
const SLICES: i64 = 16;

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: i64,
    first_sends: u32,
    retries: u32,
}

/// The budget of one cell.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    /// The window, and one more that it may touch.
    slices: [Slice; SLICES as usize + 1],
}

impl RetryBudget {
    pub fn new(config: RetryBudgetConfig) -> Self {
        RetryBudget { config, slices: Default::default() }
    }

    pub fn set_config(&mut self, config: RetryBudgetConfig) {
        // Slices of another length say nothing.
        *self = if config.window == self.config.window {
            RetryBudget { config, ..self.clone() }
        } else {
            RetryBudget::new(config)
        };
    }

    fn number(&self, now: Timestamp) -> i64 {
        now.micros().div_euclid((self.config.window.micros() / SLICES).max(1))
    }

    fn slice(&mut self, now: Timestamp) -> &mut Slice {
        let number = self.number(now);
        let slice = &mut self.slices[number.rem_euclid(SLICES + 1) as usize];
        if slice.number != number {
            *slice = Slice { number, ..Slice::default() };
        }
        slice
    }

    pub fn record_first_send(&mut self, now: Timestamp) {
        let slice = self.slice(now);
        slice.first_sends = slice.first_sends.saturating_add(1);
    }

    /// How many more attempts may be repeated now. Danger: a window that straddles slices. Repeats count in every
    /// slice that the window touches, first sends only in those that lie wholly within it.
    pub fn remaining(&self, now: Timestamp) -> u32 {
        let number = self.number(now);
        let within = |from: i64| {
            self.slices.iter().filter(move |s| (number - s.number) >= 0 && s.number > number - from)
        };
        let retries: u32 = within(SLICES + 1).map(|slice| slice.retries).sum();
        let first_sends: u32 = within(SLICES).map(|slice| slice.first_sends).sum();
        let allowed = (f64::from(first_sends) * self.config.retry_ratio) as u32;
        allowed.max(self.config.min_retries).saturating_sub(retries)
    }

    /// Counts one that was repeated.
    pub fn record_retry(&mut self, now: Timestamp) {
        let slice = self.slice(now);
        slice.retries = slice.retries.saturating_add(1);
    }

    /// Whether one more may be repeated; if so, it counts.
    pub fn try_spend(&mut self, now: Timestamp) -> bool {
        let may = self.remaining(now) > 0;
        if may {
            self.record_retry(now);
        }
        may
    }

    /// After this span the oldest slice falls out of the window, and there may be room again.
    pub fn retry_after(&self) -> TimeDelta {
        TimeDelta::from_micros(self.config.window.micros() / SLICES)
    }
}
