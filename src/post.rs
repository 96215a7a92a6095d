//! What the parts tell each other: the notes to hosts, and their inboxes, by host, emptied in the order in which
//! notes were put in; and the news that routers send each other.

use std::collections::VecDeque;

use arrowyard_types::*;

use crate::state::Face;

pub struct Inboxes<T> {
    boxes: Vec<VecDeque<T>>,
    order: VecDeque<HostId>,
}

impl<T> Default for Inboxes<T> {
    fn default() -> Self {
        Inboxes { boxes: Vec::new(), order: VecDeque::new() }
    }
}

impl<T> Inboxes<T> {
    pub fn put(&mut self, host: HostId, note: T) {
        let place = host.0 as usize;
        if self.boxes.len() <= place {
            self.boxes.resize_with(place + 1, VecDeque::new);
        }
        self.boxes[place].push_back(note);
        self.order.push_back(host);
    }

    pub fn take(&mut self) -> Option<(HostId, T)> {
        let host = self.order.pop_front()?;
        self.boxes[host.0 as usize].pop_front().map(|note| (host, note))
    }
}

pub enum HostNote {
    /// With the debt that it starts with if it is cold.
    Listed(HostEntry, f64),
    Dropped,
    /// A send, by its weight.
    Took(f64),
    /// With its weight, and the share of its latency target that it took.
    Ended(SendResult, f64, f64),
    /// Whether the other routers are told what it brings.
    Probe(bool),
    Probed(Option<HostStatus>),
    /// Whoever knows the group's primary says what this one is.
    Named(Role),
    /// What another router's probe brought.
    Told(HostStatus),
    /// So much time has passed, a warm host gets so much weight a second, and could surely take so many times that.
    Pulse(TimeDelta, f64, f64),
}

#[derive(Default)]
pub struct Post {
    pub hosts: Inboxes<HostNote>,
    pub faces: VecDeque<(HostId, Face)>,
    pub ops: VecDeque<usize>,
    pub actions: Vec<Action>,
}

/// What one router tells another of a host: its tag, its position in milliseconds, its role.
pub fn news_of(tag: u32, word: &HostStatus) -> Vec<u8> {
    let millis = word.position.unwrap_or_default().micros().div_euclid(1000) as u32;
    let role = word.role.map_or(0, |role| if role == Role::Primary { 1 } else { 2 });
    [&tag.to_le_bytes()[..], &millis.to_le_bytes(), &[role]].concat()
}

/// Takes from another router's news what could allow a send: that a host is primary. Its position is a bound that was
/// proven once, and that it is a replica only takes something away.
pub fn clear_primary_claim(bytes: &mut [u8]) {
    if let [.., role @ 1] = bytes {
        *role = 0;
    }
}

/// Positions are not in the future, so that the lower bits are enough. Nothing of a message of another form.
pub fn news_from(bytes: &[u8], now: Timestamp) -> Option<(u32, HostStatus)> {
    let [t0, t1, t2, t3, p0, p1, p2, p3, role] = *<&[u8; 9]>::try_from(bytes).ok()?;
    let millis = now.micros().div_euclid(1000);
    let age = (millis as u32).wrapping_sub(u32::from_le_bytes([p0, p1, p2, p3]));
    let position = Some(Timestamp::from_micros(millis * 1000) - TimeDelta::from_millis(age.into()));
    let role = [None, Some(Role::Primary), Some(Role::Replica)].get(usize::from(role)).copied()?;
    Some((u32::from_le_bytes([t0, t1, t2, t3]), HostStatus { role, position, ..HostStatus::default() }))
}
