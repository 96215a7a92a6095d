//! The loop that empties all queues.

use arrowyard_types::*;

use crate::queues::Queues;
use crate::state::{Dispatcher, Host, HostView};

/// One router: the dispatcher, the hosts, and the queues between them.
pub struct Router {
    dispatcher: Dispatcher,
    hosts: Vec<Host>,
    queues: Queues,
}

impl Router {
    /// Makes a router and appends its first actions. `seed` is that of its random number generator.
    pub fn start(now: Timestamp, seed: u64, settings: RouterSettings, actions: &mut Vec<Action>) -> Self {
        let dispatcher = Dispatcher::new(now, seed, settings, actions);
        Router { dispatcher, hosts: Vec::new(), queues: Queues::default() }
    }

    /// Handles one event and appends the resulting actions, to be carried out in order.
    pub fn handle(&mut self, now: Timestamp, event: RouterEvent, actions: &mut Vec<Action>) {
        let Router { dispatcher, hosts, queues } = self;
        dispatcher.now = now;
        dispatcher.handle(event, queues);
        loop {
            while let Some((id, event)) = queues.hosts.pop() {
                let index = id.0 as usize;
                if hosts.len() <= index {
                    hosts.resize_with(index + 1, || Host::new(&dispatcher.settings));
                    dispatcher.host_views.resize(index + 1, HostView::default());
                }
                hosts[index].handle(id, now, event, &dispatcher.settings, queues);
            }
            queues.host_views.drain(..).for_each(|(id, view)| dispatcher.host_views[id.0 as usize] = view);
            let Some(op_index) = queues.ops.pop_front() else { break };
            dispatcher.dispatch(op_index, queues);
        }
        actions.append(&mut queues.actions);
    }
}
