//! What the parts tell each other: the notes to hosts, the face that a host shows the desk, and the inboxes of
//! hosts, by host, emptied in the order in which notes were put in.

use std::collections::VecDeque;

use arrowyard_types::*;

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

/// What the desk sees of a host.
#[derive(Clone, Copy, Default)]
pub struct Face {
    pub zone: ZoneId,
    pub size: f64,
    pub open: bool,
    pub listed_primary: bool,
    pub role: Option<Role>,
    pub role_at: Point,
    pub position: Point,
    pub behind: Span,
    /// Weight of this router's unfinished sends, and of those that ended unanswered a while ago.
    pub load: f64,
    pub unfinished: u32,
    /// Connections that this router should have to it.
    pub connections: u32,
    pub limit: f64,
    pub rate: f64,
    /// The share of its capacity that it surely has; 1 when warm.
    pub warmth: f64,
    pub credit: f64,
    pub ill: bool,
    pub trial: bool,
    pub quiet: bool,
    pub probing: bool,
    pub probed_at: Point,
    pub sent_at: Point,
    /// Probes without answer since the last one with.
    pub lost: u32,
}

pub enum HostNote {
    /// With the debt that it starts with if it is cold.
    Listed(Entry, f64),
    Dropped,
    /// A send, by its weight.
    Took(f64),
    /// With its weight, and the share of its latency target that it took.
    Ended(Ended, f64, f64),
    Probe,
    Probed(Option<Word>),
    /// So much time has passed, and a warm host gets so much weight a second.
    Pulse(Span, f64),
}

#[derive(Default)]
pub struct Post {
    pub hosts: Inboxes<HostNote>,
    pub faces: VecDeque<(HostId, Face)>,
    pub ops: VecDeque<usize>,
    pub actions: Vec<Action>,
}
