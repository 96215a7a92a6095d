//! The one loop that empties all inboxes, the hosts' first. No decisions.

use arrowyard_types::*;

use crate::post::Post;
use crate::state::{Desk, Face, Host};

/// One router: the desk, the hosts, and the post between them.
pub struct Router {
    desk: Desk,
    hosts: Vec<Host>,
    post: Post,
}

impl Router {
    pub fn start(now: Timestamp, seed: u64, charter: RouterSettings, actions: &mut Vec<Action>) -> Self {
        let desk = Desk::new(now, seed, charter, actions);
        Router { desk, hosts: Vec::new(), post: Post::default() }
    }

    pub fn handle(&mut self, now: Timestamp, note: RouterEvent, actions: &mut Vec<Action>) {
        let Router { desk, hosts, post } = self;
        desk.now = now;
        desk.take(note, post);
        loop {
            while let Some((id, note)) = post.hosts.take() {
                let place = id.0 as usize;
                if hosts.len() <= place {
                    hosts.resize_with(place + 1, || Host::new(&desk.charter));
                    desk.faces.resize(place + 1, Face::default());
                }
                hosts[place].take(id, now, note, &desk.charter, post);
            }
            post.faces.drain(..).for_each(|(id, face)| desk.faces[id.0 as usize] = face);
            let Some(place) = post.ops.pop_front() else { break };
            desk.route(place, post);
        }
        actions.append(&mut post.actions);
    }
}
