//! Events to hosts and their inboxes, and the encoding of messages between routers.

use std::collections::VecDeque;

use arrowyard_types::*;

use crate::state::HostView;

/// One inbox per host; events are taken in the order in which they were pushed.
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
    pub fn push(&mut self, host: HostId, event: T) {
        let index = host.0 as usize;
        if self.boxes.len() <= index {
            self.boxes.resize_with(index + 1, VecDeque::new);
        }
        self.boxes[index].push_back(event);
        self.order.push_back(host);
    }

    pub fn pop(&mut self) -> Option<(HostId, T)> {
        let host = self.order.pop_front()?;
        self.boxes[host.0 as usize].pop_front().map(|event| (host, event))
    }
}

pub enum HostEvent {
    /// With the debt of its warm-up credit if it is cold.
    Listed(HostEntry, f64),
    Unlisted,
    /// The weight of a send.
    SendStarted(f64),
    /// With its weight, and its latency as a share of the latency target.
    SendEnded(SendResult, f64, f64),
    /// Whether the result is sent to other routers.
    ProbeRequested(bool),
    ProbeEnded(Option<HostStatus>),
    RoleAssigned(Role),
    /// The result of another router's probe.
    Reported(HostStatus),
    /// Elapsed time, weight per second of a warm host, and the factor on it that a cold host may get.
    Maintain(TimeDelta, f64, f64),
}

/// Pending events, view updates, indices of ops and actions of one call of the router.
#[derive(Default)]
pub struct Queues {
    pub hosts: Inboxes<HostEvent>,
    pub host_views: VecDeque<(HostId, HostView)>,
    pub ops: VecDeque<usize>,
    pub actions: Vec<Action>,
}

/// Encodes name hash, position in milliseconds (low 32 bits) and role, little-endian, for other routers.
pub fn encode_host_status(name_hash: u32, status: &HostStatus) -> Vec<u8> {
    let millis = status.position.unwrap_or_default().micros().div_euclid(1000) as u32;
    let role = status.role.map_or(0, |role| if role == Role::Primary { 1 } else { 2 });
    [&name_hash.to_le_bytes()[..], &millis.to_le_bytes(), &[role]].concat()
}

/// Clears the role in another router's message if it is primary. The rest is safe to use unverified: the
/// position is a lower bound, and the replica role only forbids sends.
pub fn clear_primary_claim(bytes: &mut [u8]) {
    if let [.., role @ 1] = bytes {
        *role = 0;
    }
}

/// Decodes name hash and status; none if the message is malformed. Positions are not in the future, so
/// that their low 32 bits suffice.
pub fn decode_host_status(bytes: &[u8], now: Timestamp) -> Option<(u32, HostStatus)> {
    let [t0, t1, t2, t3, p0, p1, p2, p3, role] = *<&[u8; 9]>::try_from(bytes).ok()?;
    let millis = now.micros().div_euclid(1000);
    let age = (millis as u32).wrapping_sub(u32::from_le_bytes([p0, p1, p2, p3]));
    let position = Some(Timestamp::from_micros(millis * 1000) - TimeDelta::from_millis(age.into()));
    let role = [None, Some(Role::Primary), Some(Role::Replica)].get(usize::from(role)).copied()?;
    Some((u32::from_le_bytes([t0, t1, t2, t3]), HostStatus { role, position, ..HostStatus::default() }))
}
