//! Inboxes of hosts' actors, by host, emptied in the order in which notes were put in.

use std::collections::VecDeque;

use arrowyard_types::HostId;

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
