use std::collections::BTreeMap;

use arrowyard_types::Timestamp;

/// What is to be done when. Equal times keep their order.
#[derive(Debug)]
pub struct Timers<T> {
    by_time: BTreeMap<(Timestamp, u64), T>,
    last: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers { by_time: BTreeMap::new(), last: 0 }
    }
}

/// What a timer is taken back by.
pub type Key = (Timestamp, u64);

impl<T> Timers<T> {
    pub fn set(&mut self, at: Timestamp, what: T) -> Key {
        self.last += 1;
        let key = (at, self.last);
        self.by_time.insert(key, what);
        key
    }

    pub fn cancel(&mut self, key: Key) {
        self.by_time.remove(&key);
    }

    pub fn due(&self) -> Option<Timestamp> {
        self.by_time.keys().next().map(|(at, _)| *at)
    }

    /// The next one whose time has come.
    pub fn take(&mut self, now: Timestamp) -> Option<T> {
        let first = self.by_time.first_entry()?;
        (first.key().0 <= now).then(|| first.remove())
    }
}
