//! What another router's word about a host leads to: an own look, and nothing more. A router whose watch of the list is
//! stale or hangs goes on sending to a host that drains; others who heard of it say so, and it asks for the list itself.
//! Decided without I/O.

use std::collections::BTreeMap;

use arrowyard_types::{PeerId, TimeDelta, Timestamp};
use smallvec::SmallVec;

/// The form of a hint, by its first byte and its length; the module's news has another length.
const FORM: u8 = 2;
const LENGTH: usize = 5;
/// Hints that wait at most.
const MOST: usize = 64;

/// A host is leaving, by what all routers call it.
#[must_use]
pub fn encode_hint(tag: u32) -> Vec<u8> {
    [&[FORM][..], &tag.to_le_bytes()].concat()
}

/// The host that a hint names; nothing if it is none.
#[must_use]
pub fn decode_hint(bytes: &[u8]) -> Option<u32> {
    match bytes {
        [FORM, a, b, c, d] if bytes.len() == LENGTH => Some(u32::from_le_bytes([*a, *b, *c, *d])),
        _ => None,
    }
}

/// Members whose word on one host is remembered.
const TELLERS: usize = 4;
/// So many members have to say so till their word counts where the own list cannot be had.
const AGREED: usize = 2;
/// Hosts that are closed by others' word at most, as a share of those that are ready.
const BY_WORD: usize = 4;

/// So often is a host told of that left the own list: each time to others that are drawn. Danger: told once, a router
/// that is cut off from discovery hears it of fewer than two in one case of twelve (three of five are drawn).
const TOLD: u8 = 4;

/// What is known of one host that others say is leaving.
#[derive(Debug)]
struct Hint {
    due: Timestamp,
    by: SmallVec<[PeerId; TELLERS]>,
    /// When the list was asked for because of it.
    asked: Option<Timestamp>,
}

/// What others say of hosts that leave, till the own list speaks.
#[derive(Debug)]
pub struct Hints {
    hosts: BTreeMap<u32, Hint>,
    wait: TimeDelta,
    /// How often the list is asked for because of hints, at most.
    gap: TimeDelta,
    asked: Timestamp,
    /// Hosts that were closed by others' word since the own list spoke.
    closed: usize,
    /// Hosts that the own list left out: when they are told of again, and how often.
    own: BTreeMap<u32, (Timestamp, u8)>,
}

impl Hints {
    /// `wait` is how long the own watch is given, `gap` the least time between two looks.
    #[must_use]
    pub fn new(wait: TimeDelta, gap: TimeDelta) -> Hints {
        Hints {
            hosts: BTreeMap::new(),
            wait,
            gap,
            asked: Timestamp::DISTANT_PAST,
            closed: 0,
            own: BTreeMap::new(),
        }
    }

    /// The own list has left out a host: others are to hear of it, now and again.
    pub fn host_not_ready(&mut self, now: Timestamp, tag: u32) {
        if self.own.len() < MOST || self.own.contains_key(&tag) {
            self.own.insert(tag, (now, TOLD));
        }
    }

    /// Hosts that are told of now.
    pub fn take_announcements(&mut self, now: Timestamp) -> SmallVec<[u32; 4]> {
        let due = self.own.iter_mut().filter(|(_, (at, _))| *at <= now);
        let told: SmallVec<[u32; 4]> = due
            .map(|(&tag, (at, left))| {
                (*at, *left) = (now + self.wait, *left - 1);
                tag
            })
            .collect();
        self.own.retain(|_, (_, left)| *left > 0);
        told
    }

    /// Another router says that the host is leaving.
    pub fn record_hint(&mut self, now: Timestamp, tag: u32, by: PeerId) {
        // Danger: one that names thousands of hosts. What finds no room is named again by those that mean it, or is not.
        if self.hosts.len() >= MOST && !self.hosts.contains_key(&tag) {
            return;
        }
        let new = Hint { due: now + self.wait, by: SmallVec::new(), asked: None };
        let hint = self.hosts.entry(tag).or_insert(new);
        if hint.by.len() < TELLERS && !hint.by.contains(&by) {
            hint.by.push(by);
        }
    }

    /// The own list has spoken, whatever it said: it goes before others' word.
    pub fn list_received(&mut self) {
        self.hosts.retain(|_, hint| hint.asked.is_none());
        self.closed = 0;
    }

    /// Whether the list is to be asked for now: some host was said to be leaving, the own watch had its time, and still holds
    /// it as ready. Danger: all routers ask at the moment in which the first one hears of a drain; so those whose own
    /// watch tells them in time ask nothing, and one asks once in a while, whatever it is told.
    pub fn should_fetch(&mut self, now: Timestamp, holds_ready: impl Fn(u32) -> bool) -> bool {
        let mut stale = false;
        self.hosts.retain(|tag, hint| {
            let due = hint.due <= now && hint.asked.is_none();
            let ready = !due || holds_ready(*tag);
            stale |= due && ready;
            ready
        });
        let may = stale && now - self.asked >= self.gap;
        if may {
            self.asked = now;
            let due = self.hosts.values_mut().filter(|hint| hint.due <= now && hint.asked.is_none());
            due.for_each(|hint| hint.asked = Some(now));
        }
        may
    }

    /// Hosts that are to be closed by others' word: the list was asked for because of them and has not spoken since, and two
    /// members at least say so. Danger: a router that is cut off from discovery sends to a host that is gone for all others; and
    /// one bad router, or a few, empty another's hosts. So the word of one counts for nothing, and never more than a quarter of
    /// the hosts that are ready are closed so, till the own list speaks.
    pub fn hosts_to_close(
        &mut self,
        now: Timestamp,
        ready: usize,
        holds_ready: impl Fn(u32) -> bool,
    ) -> SmallVec<[u32; 4]> {
        let mut closed = SmallVec::new();
        let Hints { hosts, closed: so_far, gap, .. } = self;
        hosts.retain(|tag, hint| {
            let Some(asked) = hint.asked.filter(|asked| now - *asked >= *gap * 0.5) else { return true };
            if !holds_ready(*tag) || now - asked >= *gap * 20.0 {
                return false;
            }
            if hint.by.len() < AGREED || (*so_far + 1) * BY_WORD > ready.max(BY_WORD) {
                return true;
            }
            *so_far += 1;
            closed.push(*tag);
            false
        });
        closed
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: i64) -> Timestamp {
        Timestamp::from_micros(ms * 1000)
    }

    #[test]
    fn only_what_the_own_watch_did_not_tell_in_time_is_looked_at_and_seldom() {
        let mut hints = Hints::new(TimeDelta::from_millis(400), TimeDelta::from_millis(1000));
        let by = PeerId(1);
        hints.record_hint(at(0), 7, by);
        assert!(!hints.should_fetch(at(399), |_| true), "the watch has its time");
        assert!(!hints.should_fetch(at(400), |_| false), "it told");
        assert!(!hints.should_fetch(at(900), |_| true), "it was looked at");
        for tag in 0..1000 {
            hints.record_hint(at(1000), tag, by);
        }
        assert_eq!(hints.hosts.len(), MOST);
        assert!(hints.should_fetch(at(1400), |tag| tag == 9));
        hints.list_received();
        hints.record_hint(at(1500), 9, by);
        assert!(!hints.should_fetch(at(2000), |_| true), "too soon");
        hints.record_hint(at(2500), 9, by);
        assert!(hints.should_fetch(at(2900), |_| true));
    }

    #[test]
    fn where_the_own_list_cannot_be_had_the_word_of_two_closes_a_quarter_of_the_hosts_at_most() {
        let mut hints = Hints::new(TimeDelta::from_millis(400), TimeDelta::from_millis(1000));
        for tag in 0..8 {
            hints.record_hint(at(0), tag, PeerId(1));
            hints.record_hint(at(0), tag, PeerId(1));
        }
        assert!(hints.should_fetch(at(500), |_| true));
        assert!(hints.hosts_to_close(at(1100), 8, |_| true).is_empty(), "one member's word, twice");
        (0..8).for_each(|tag| hints.record_hint(at(1100), tag, PeerId(2)));
        assert!(hints.hosts_to_close(at(900), 8, |_| true).is_empty(), "the list may still come");
        assert_eq!(
            hints.hosts_to_close(at(1200), 8, |tag| tag != 0).to_vec(),
            [1, 2],
            "and the own list has closed one"
        );
        assert!(
            hints.hosts_to_close(at(1300), 6, |_| true).is_empty(),
            "a quarter, till the own list speaks"
        );
        hints.list_received();
        assert!(hints.hosts_to_close(at(9000), 8, |_| true).is_empty(), "it has spoken");
        assert!(Hints::new(TimeDelta::ZERO, TimeDelta::ZERO).hosts_to_close(at(0), 0, |_| true).is_empty());
    }

    #[test]
    fn a_hint_is_none_of_the_modules_news() {
        assert_eq!(decode_hint(&encode_hint(0x1234_5678)), Some(0x1234_5678));
        for other in [&[][..], &[2, 1, 2, 3], &[1, 1, 2, 3, 4], &[2, 1, 2, 3, 4, 5], &[2; 9]] {
            assert_eq!(decode_hint(other), None);
        }
    }
}
