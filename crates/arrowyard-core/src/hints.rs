//! What another router's word about a host leads to: an own look, and nothing more. A router whose watch of the list is
//! stale or hangs goes on sending to a host that drains; others who heard of it say so, and it asks for the list itself.
//! Decided without I/O.

use std::collections::BTreeMap;

use arrowyard_types::{Point, Span};

/// The form of a hint, by its first byte and its length; the module's news has another length.
const FORM: u8 = 2;
const LENGTH: usize = 5;
/// Hints that wait at most.
const MOST: usize = 64;

/// A host is leaving, by what all routers call it.
#[must_use]
pub fn hint(tag: u32) -> Vec<u8> {
    [&[FORM][..], &tag.to_le_bytes()].concat()
}

/// The host that a hint names; nothing if it is none.
#[must_use]
pub fn hinted(bytes: &[u8]) -> Option<u32> {
    match bytes {
        [FORM, a, b, c, d] if bytes.len() == LENGTH => Some(u32::from_le_bytes([*a, *b, *c, *d])),
        _ => None,
    }
}

/// Hints that wait till the own watch had its time.
#[derive(Debug)]
pub struct Hints {
    /// By host: when it is looked at.
    due: BTreeMap<u32, Point>,
    wait: Span,
    /// How often the list is asked for because of hints, at most.
    gap: Span,
    asked: Point,
}

impl Hints {
    /// `wait` is how long the own watch is given, `gap` the least time between two looks.
    #[must_use]
    pub fn new(wait: Span, gap: Span) -> Hints {
        Hints { due: BTreeMap::new(), wait, gap, asked: Point::DAWN }
    }

    /// Another router says that the host is leaving.
    pub fn heard(&mut self, now: Point, tag: u32) {
        // Danger: one that names thousands of hosts. What finds no room is named again by those that mean it, or is not.
        if self.due.len() < MOST {
            self.due.entry(tag).or_insert(now + self.wait);
        }
    }

    /// Whether the list is to be asked for now: some host was said to be leaving, the own watch had its time, and still holds
    /// it as ready. Danger: all routers ask at the moment in which the first one hears of a drain; so those whose own
    /// watch tells them in time ask nothing, and one asks once in a while, whatever it is told.
    pub fn look(&mut self, now: Point, holds_ready: impl Fn(u32) -> bool) -> bool {
        let due: Vec<u32> = self.due.iter().filter(|(_, at)| **at <= now).map(|(tag, _)| *tag).collect();
        let mut stale = false;
        for tag in due {
            self.due.remove(&tag);
            stale |= holds_ready(tag);
        }
        let may = stale && now - self.asked >= self.gap;
        if may {
            self.asked = now;
        }
        may
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: i64) -> Point {
        Point::from_micros(ms * 1000)
    }

    #[test]
    fn only_what_the_own_watch_did_not_tell_in_time_is_looked_at_and_seldom() {
        let mut hints = Hints::new(Span::from_millis(400), Span::from_millis(1000));
        hints.heard(at(0), 7);
        assert!(!hints.look(at(399), |_| true), "the watch has its time");
        assert!(!hints.look(at(400), |_| false), "it told");
        assert!(!hints.look(at(900), |_| true), "it was looked at");
        for tag in 0..1000 {
            hints.heard(at(1000), tag);
        }
        assert_eq!(hints.due.len(), MOST);
        assert!(hints.look(at(1400), |tag| tag == 9));
        hints.heard(at(1500), 9);
        assert!(!hints.look(at(2000), |_| true), "too soon");
        hints.heard(at(2500), 9);
        assert!(hints.look(at(2900), |_| true));
    }

    #[test]
    fn a_hint_is_none_of_the_modules_news() {
        assert_eq!(hinted(&hint(0x1234_5678)), Some(0x1234_5678));
        for other in [&[][..], &[2, 1, 2, 3], &[1, 1, 2, 3, 4], &[2, 1, 2, 3, 4, 5], &[2; 9]] {
            assert_eq!(hinted(other), None);
        }
    }
}
