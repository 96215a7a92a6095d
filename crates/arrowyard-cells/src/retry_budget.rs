//! Retry budget of a cell: limits the retries of the router, which are sends of an op after the first one,
//! and retries that clients mark, relative to first sends. Over any window the retries stay within a ratio of
//! the first sends, or within a fixed minimum if that is larger.

use arrowyard_types::{TimeDelta, Timestamp};

use crate::layout::RetryBudgetConfig;

/// Number of slices that a window is divided into.
const SLICES_PER_WINDOW: i64 = 16;

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: i64,
    first_sends: u32,
    retries: u32,
}

/// Retry budget of one cell.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    /// The slices of a window, plus one, since a window that is not aligned touches one more.
    slices: [Slice; SLICES_PER_WINDOW as usize + 1],
}

impl RetryBudget {
    /// Creates a budget without any recorded sends.
    pub fn new(config: RetryBudgetConfig) -> Self {
        RetryBudget { config, slices: Default::default() }
    }

    /// Applies a new configuration. Counts are kept unless the window length changes.
    pub fn set_config(&mut self, config: RetryBudgetConfig) {
        // Counts of slices of a different length cannot be converted.
        *self = if config.window == self.config.window {
            RetryBudget { config, ..self.clone() }
        } else {
            RetryBudget::new(config)
        };
    }

    fn slice_number(&self, now: Timestamp) -> i64 {
        now.micros().div_euclid((self.config.window.micros() / SLICES_PER_WINDOW).max(1))
    }

    fn current_slice(&mut self, now: Timestamp) -> &mut Slice {
        let number = self.slice_number(now);
        let slice = &mut self.slices[number.rem_euclid(SLICES_PER_WINDOW + 1) as usize];
        if slice.number != number {
            *slice = Slice { number, ..Slice::default() };
        }
        slice
    }

    /// Records a first send.
    pub fn record_first_send(&mut self, now: Timestamp) {
        let slice = self.current_slice(now);
        slice.first_sends = slice.first_sends.saturating_add(1);
    }

    /// How many more retries are allowed now. Retries count in every slice that the window touches, first
    /// sends only in slices that lie entirely within it, so that a window across slice boundaries never
    /// exceeds the ratio.
    pub fn remaining(&self, now: Timestamp) -> u32 {
        let number = self.slice_number(now);
        let last_slices = |count: i64| {
            self.slices.iter().filter(move |s| (number - s.number) >= 0 && s.number > number - count)
        };
        let retries: u32 = last_slices(SLICES_PER_WINDOW + 1).map(|slice| slice.retries).sum();
        let first_sends: u32 = last_slices(SLICES_PER_WINDOW).map(|slice| slice.first_sends).sum();
        let allowed = (f64::from(first_sends) * self.config.retry_ratio) as u32;
        allowed.max(self.config.min_retries).saturating_sub(retries)
    }

    /// Records a retry, whether the budget allows it or not.
    pub fn record_retry(&mut self, now: Timestamp) {
        let slice = self.current_slice(now);
        slice.retries = slice.retries.saturating_add(1);
    }

    /// Records a retry if the budget allows one, and returns whether it does.
    pub fn try_spend(&mut self, now: Timestamp) -> bool {
        let allowed = self.remaining(now) > 0;
        if allowed {
            self.record_retry(now);
        }
        allowed
    }

    /// Length of one slice: after it the oldest slice leaves the window, which may free budget.
    pub fn retry_after(&self) -> TimeDelta {
        TimeDelta::from_micros(self.config.window.micros() / SLICES_PER_WINDOW)
    }
}
