//! Hints from other routers that a host is draining. A router whose host list does not confirm a hint fetches
//! the list and, while the list is unavailable, closes some of the hinted hosts. No I/O.

use std::collections::BTreeMap;

use arrowyard_types::{PeerId, TimeDelta, Timestamp};
use smallvec::SmallVec;

/// The first byte of a hint.
const MESSAGE_TYPE: u8 = 2;
/// The length of a hint; messages of the decision module have another length.
const HINT_BYTES: usize = 5;
/// Upper limit for hinted hosts, and for hosts that are announced.
const MAX_HOSTS: usize = 64;

/// Encodes a hint that the host with this name hash is draining.
#[must_use]
pub fn encode_hint(name_hash: u32) -> Vec<u8> {
    [&[MESSAGE_TYPE][..], &name_hash.to_le_bytes()].concat()
}

/// The name hash in a hint; `None` if the message is not a hint.
#[must_use]
pub fn decode_hint(bytes: &[u8]) -> Option<u32> {
    match bytes {
        [MESSAGE_TYPE, a, b, c, d] if bytes.len() == HINT_BYTES => Some(u32::from_le_bytes([*a, *b, *c, *d])),
        _ => None,
    }
}

/// How many reporting routers are remembered for each host.
const MAX_REPORTERS: usize = 4;
/// How many routers must report a host before it is closed without the list.
const MIN_REPORTERS: usize = 2;
/// At most one ready host in this many is closed because of hints.
const CLOSED_HOSTS_DIVISOR: usize = 4;

/// How often a host that is no longer ready is announced. Each announcement goes to randomly chosen routers;
/// several are needed so that a router without discovery receives `MIN_REPORTERS` reports.
const ANNOUNCEMENTS: u8 = 4;

/// Reports of other routers on one host.
#[derive(Debug)]
struct Hint {
    /// Until when this router's host list may confirm the hint.
    due_at: Timestamp,
    reporters: SmallVec<[PeerId; MAX_REPORTERS]>,
    /// When the list was fetched because of this hint.
    fetched_at: Option<Timestamp>,
}

/// Hints on draining hosts that this router's host list has not confirmed.
#[derive(Debug)]
pub struct Hints {
    hosts: BTreeMap<u32, Hint>,
    confirmation_timeout: TimeDelta,
    /// The minimum interval between two fetches because of hints.
    fetch_interval: TimeDelta,
    last_fetch_at: Timestamp,
    /// The number of hosts closed because of hints since the last list.
    closed_count: usize,
    /// Hosts that are no longer ready in this router's list: the time of the next announcement, and how many
    /// announcements remain.
    announcements: BTreeMap<u32, (Timestamp, u8)>,
}

impl Hints {
    /// `confirmation_timeout` is how long the watch of the host list may take to confirm a hint,
    /// `fetch_interval` the minimum interval between two fetches.
    #[must_use]
    pub fn new(confirmation_timeout: TimeDelta, fetch_interval: TimeDelta) -> Hints {
        Hints {
            hosts: BTreeMap::new(),
            confirmation_timeout,
            fetch_interval,
            last_fetch_at: Timestamp::DISTANT_PAST,
            closed_count: 0,
            announcements: BTreeMap::new(),
        }
    }

    /// Schedules the announcements of a host that is no longer ready in this router's list.
    pub fn host_not_ready(&mut self, now: Timestamp, name_hash: u32) {
        if self.announcements.len() < MAX_HOSTS || self.announcements.contains_key(&name_hash) {
            self.announcements.insert(name_hash, (now, ANNOUNCEMENTS));
        }
    }

    /// Returns the hosts to announce now, and schedules their next announcements.
    pub fn take_announcements(&mut self, now: Timestamp) -> SmallVec<[u32; 4]> {
        let due_announcements = self.announcements.iter_mut().filter(|(_, (next_at, _))| *next_at <= now);
        let announced: SmallVec<[u32; 4]> = due_announcements
            .map(|(&name_hash, (next_at, remaining))| {
                (*next_at, *remaining) = (now + self.confirmation_timeout, *remaining - 1);
                name_hash
            })
            .collect();
        self.announcements.retain(|_, (_, remaining)| *remaining > 0);
        announced
    }

    /// Records that another router reports the host as draining.
    pub fn record_hint(&mut self, now: Timestamp, name_hash: u32, reporter: PeerId) {
        // Bounds memory against a router that reports thousands of hosts.
        if self.hosts.len() >= MAX_HOSTS && !self.hosts.contains_key(&name_hash) {
            return;
        }
        let new_hint =
            Hint { due_at: now + self.confirmation_timeout, reporters: SmallVec::new(), fetched_at: None };
        let hint = self.hosts.entry(name_hash).or_insert(new_hint);
        if hint.reporters.len() < MAX_REPORTERS && !hint.reporters.contains(&reporter) {
            hint.reporters.push(reporter);
        }
    }

    /// A list arrived: removes the hints for which it was fetched.
    pub fn list_received(&mut self) {
        self.hosts.retain(|_, hint| hint.fetched_at.is_none());
        self.closed_count = 0;
    }

    /// Whether to fetch the list now: a hinted host is still ready in this router's list after the
    /// confirmation timeout. The timeout and the minimum interval prevent that all routers fetch when a host
    /// drains.
    pub fn should_fetch(&mut self, now: Timestamp, is_ready: impl Fn(u32) -> bool) -> bool {
        let mut has_unconfirmed = false;
        self.hosts.retain(|name_hash, hint| {
            let is_due = hint.due_at <= now && hint.fetched_at.is_none();
            let keep = !is_due || is_ready(*name_hash);
            has_unconfirmed |= is_due && keep;
            keep
        });
        let should_fetch = has_unconfirmed && now - self.last_fetch_at >= self.fetch_interval;
        if should_fetch {
            self.last_fetch_at = now;
            let due_hints =
                self.hosts.values_mut().filter(|hint| hint.due_at <= now && hint.fetched_at.is_none());
            due_hints.for_each(|hint| hint.fetched_at = Some(now));
        }
        should_fetch
    }

    /// Hosts to close because of hints: the list was fetched because of them and did not arrive, and at least
    /// `MIN_REPORTERS` routers reported them. At most one in `CLOSED_HOSTS_DIVISOR` ready hosts is closed
    /// until a list arrives, so that faulty routers cannot close all hosts of another one.
    pub fn hosts_to_close(
        &mut self,
        now: Timestamp,
        ready_count: usize,
        is_ready: impl Fn(u32) -> bool,
    ) -> SmallVec<[u32; 4]> {
        let mut closed = SmallVec::new();
        let Hints { hosts, closed_count, fetch_interval, .. } = self;
        hosts.retain(|name_hash, hint| {
            let Some(fetched_at) =
                hint.fetched_at.filter(|fetched_at| now - *fetched_at >= *fetch_interval * 0.5)
            else {
                return true;
            };
            if !is_ready(*name_hash) || now - fetched_at >= *fetch_interval * 20.0 {
                return false;
            }
            if hint.reporters.len() < MIN_REPORTERS
                || (*closed_count + 1) * CLOSED_HOSTS_DIVISOR > ready_count.max(CLOSED_HOSTS_DIVISOR)
            {
                return true;
            }
            *closed_count += 1;
            closed.push(*name_hash);
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
    fn fetches_only_for_unconfirmed_hints_and_at_a_limited_rate() {
        let mut hints = Hints::new(TimeDelta::from_millis(400), TimeDelta::from_millis(1000));
        let reporter = PeerId(1);
        hints.record_hint(at(0), 7, reporter);
        assert!(!hints.should_fetch(at(399), |_| true), "the watch may still confirm it");
        assert!(!hints.should_fetch(at(400), |_| false), "the watch confirmed it");
        assert!(!hints.should_fetch(at(900), |_| true), "it was fetched already");
        for name_hash in 0..1000 {
            hints.record_hint(at(1000), name_hash, reporter);
        }
        assert_eq!(hints.hosts.len(), MAX_HOSTS);
        assert!(hints.should_fetch(at(1400), |name_hash| name_hash == 9));
        hints.list_received();
        hints.record_hint(at(1500), 9, reporter);
        assert!(!hints.should_fetch(at(2000), |_| true), "the minimum interval has not passed");
        hints.record_hint(at(2500), 9, reporter);
        assert!(hints.should_fetch(at(2900), |_| true));
    }

    #[test]
    fn two_reports_close_at_most_a_quarter_of_the_hosts_while_the_list_is_unavailable() {
        let mut hints = Hints::new(TimeDelta::from_millis(400), TimeDelta::from_millis(1000));
        for name_hash in 0..8 {
            hints.record_hint(at(0), name_hash, PeerId(1));
            hints.record_hint(at(0), name_hash, PeerId(1));
        }
        assert!(hints.should_fetch(at(500), |_| true));
        assert!(hints.hosts_to_close(at(1100), 8, |_| true).is_empty(), "one router reported twice");
        (0..8).for_each(|name_hash| hints.record_hint(at(1100), name_hash, PeerId(2)));
        assert!(hints.hosts_to_close(at(900), 8, |_| true).is_empty(), "the list may still arrive");
        assert_eq!(
            hints.hosts_to_close(at(1200), 8, |name_hash| name_hash != 0).to_vec(),
            [1, 2],
            "host 0 is not ready in this router's list"
        );
        assert!(
            hints.hosts_to_close(at(1300), 6, |_| true).is_empty(),
            "a quarter of the hosts is closed already"
        );
        hints.list_received();
        assert!(hints.hosts_to_close(at(9000), 8, |_| true).is_empty(), "a list arrived");
        assert!(Hints::new(TimeDelta::ZERO, TimeDelta::ZERO).hosts_to_close(at(0), 0, |_| true).is_empty());
    }

    #[test]
    fn only_hints_are_decoded_as_hints() {
        assert_eq!(decode_hint(&encode_hint(0x1234_5678)), Some(0x1234_5678));
        for other in [&[][..], &[2, 1, 2, 3], &[1, 1, 2, 3, 4], &[2, 1, 2, 3, 4, 5], &[2; 9]] {
            assert_eq!(decode_hint(other), None);
        }
    }
}
