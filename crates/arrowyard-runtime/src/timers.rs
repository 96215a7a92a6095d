//! Timer queue.

use std::collections::BTreeMap;

use arrowyard_types::Timestamp;

/// Values ordered by due time; values with equal times keep their insertion order.
#[derive(Debug)]
pub struct Timers<T> {
    by_time: BTreeMap<(Timestamp, u64), T>,
    last_number: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers { by_time: BTreeMap::new(), last_number: 0 }
    }
}

/// Identifies a timer for [`Timers::cancel`]: its due time and insertion number.
pub type TimerKey = (Timestamp, u64);

impl<T> Timers<T> {
    /// Schedules a value.
    pub fn set(&mut self, at: Timestamp, value: T) -> TimerKey {
        self.last_number += 1;
        let key = (at, self.last_number);
        self.by_time.insert(key, value);
        key
    }

    /// Removes a value before it is due.
    pub fn cancel(&mut self, key: TimerKey) {
        self.by_time.remove(&key);
    }

    /// The earliest due time.
    pub fn due(&self) -> Option<Timestamp> {
        self.by_time.keys().next().map(|(at, _)| *at)
    }

    /// Removes the earliest value that is due at `now`.
    pub fn take(&mut self, now: Timestamp) -> Option<T> {
        let first = self.by_time.first_entry()?;
        (first.key().0 <= now).then(|| first.remove())
    }
}
