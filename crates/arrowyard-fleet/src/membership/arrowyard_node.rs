//! The membership state machine of `arrowyard-peers` as a node.

use std::net::SocketAddr;

use arrowyard_peers::{Action, Event, LocalMember, Membership, MembershipConfig, Standing};
use arrowyard_types::Timestamp;

use super::{MemberState, Node, NodeOutput, node_address};

/// A node that runs the membership of `arrowyard-peers`.
pub struct ArrowyardNode(pub Membership);

impl ArrowyardNode {
    /// A node at the process with this index. `seeds` are the indices of the processes that it joins through.
    #[must_use]
    pub fn new(
        now: Timestamp,
        index: usize,
        seeds: &[usize],
        configured_routers: f64,
        seed: u64,
    ) -> ArrowyardNode {
        let seeds = seeds.iter().filter(|&&other| other != index).map(|&other| node_address(other)).collect();
        let config = MembershipConfig { fleet: "model".to_string(), seeds, ..MembershipConfig::default() };
        let incarnation = (now.micros() / 1000) as u64;
        let local = LocalMember {
            name: format!("n{index}").into(),
            address: node_address(index),
            incarnation,
            nonce: seed | 1,
        };
        ArrowyardNode(Membership::new(now, config, local, configured_routers, seed))
    }
}

impl Node for ArrowyardNode {
    fn next_deadline(&self) -> Timestamp {
        self.0.next_deadline()
    }

    fn tick(&mut self, now: Timestamp) {
        self.0.tick(now);
    }

    fn receive(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]) {
        self.0.receive(now, from, bytes);
    }

    fn port_refused(&mut self, now: Timestamp, address: SocketAddr) {
        let name = format!("n{}", super::node_index(address));
        let view = self.0.view(now);
        if let Some(row) = view.rows.iter().find(|row| *row.name == *name) {
            self.0.port_refused(&name, row.incarnation);
        }
    }

    fn leave(&mut self, now: Timestamp) {
        self.0.leave(now);
    }

    fn take_output(&mut self) -> NodeOutput {
        let mut output = NodeOutput::default();
        for action in self.0.actions.drain(..) {
            match action {
                Action::Send { to, bytes } => output.sends.push((to, bytes)),
                Action::CheckPort { to, .. } => output.port_checks.push(to),
            }
        }
        for event in self.0.events.drain(..) {
            if let Event::StandingChanged { name, incarnation, standing, .. } = event {
                let Some(index) = name.strip_prefix('n').and_then(|index| index.parse().ok()) else {
                    continue;
                };
                let state = match standing {
                    Standing::Alive => MemberState::Alive,
                    Standing::Silent => MemberState::Silent,
                    Standing::Lost | Standing::Dead => MemberState::Dead,
                    Standing::Left => MemberState::Left,
                };
                output.state_changes.push((index, Some(incarnation), state));
            }
        }
        output
    }

    fn alive_count(&self) -> usize {
        self.0.alive_count()
    }

    fn describe_not_alive(&self, now: Timestamp) -> Vec<String> {
        let rows = self.0.view(now).rows.into_iter().filter(|row| row.standing != Standing::Alive);
        rows.map(|row| {
            format!(
                "{} {:?}, incarnation {}, reported by {}",
                row.name, row.standing, row.incarnation, row.reported_by
            )
        })
        .collect()
    }
}
