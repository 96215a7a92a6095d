//! The shipped decisions as a node.

use std::net::SocketAddr;

use arrowyard_peers::{Action, Event, LocalMember, Membership, MembershipConfig, Standing};
use arrowyard_types::Timestamp;

use super::{Node, Said, Taken, address};

pub struct Ours(pub Membership);

impl Ours {
    /// The process of this number; `start` counts its starts.
    #[must_use]
    pub fn new(now: Timestamp, who: usize, seeds: &[usize], settings: f64, seed: u64) -> Ours {
        let seeds = seeds.iter().filter(|&&one| one != who).map(|&one| address(one)).collect();
        let terms = MembershipConfig { fleet: "model".to_string(), seeds, ..MembershipConfig::default() };
        let life = (now.micros() / 1000) as u64;
        let me = LocalMember {
            name: format!("n{who}").into(),
            address: address(who),
            incarnation: life,
            nonce: seed | 1,
        };
        Ours(Membership::new(now, terms, me, settings, seed))
    }
}

impl Node for Ours {
    fn next_at(&self) -> Timestamp {
        self.0.next_deadline()
    }

    fn tick(&mut self, now: Timestamp) {
        self.0.tick(now);
    }

    fn heard(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]) {
        self.0.receive(now, from, bytes);
    }

    fn refused(&mut self, now: Timestamp, at: SocketAddr) {
        let name = format!("n{}", super::number(at));
        let view = self.0.view(now);
        if let Some(row) = view.rows.iter().find(|row| *row.name == *name) {
            self.0.port_refused(&name, row.incarnation);
        }
    }

    fn leave(&mut self, now: Timestamp) {
        self.0.leave(now);
    }

    fn take(&mut self) -> Taken {
        let mut taken = Taken::default();
        for deed in self.0.actions.drain(..) {
            match deed {
                Action::Send { to, bytes } => taken.sends.push((to, bytes)),
                Action::CheckPort { to, .. } => taken.looks.push(to),
            }
        }
        for event in self.0.events.drain(..) {
            if let Event::StandingChanged { name, incarnation: life, standing, .. } = event {
                let Some(who) = name.strip_prefix('n').and_then(|number| number.parse().ok()) else {
                    continue;
                };
                let said = match standing {
                    Standing::Alive => Said::Alive,
                    Standing::Silent => Said::Silent,
                    Standing::Lost | Standing::Dead => Said::Dead,
                    Standing::Left => Said::Left,
                };
                taken.said.push((who, Some(life), said));
            }
        }
        taken
    }

    fn alive(&self) -> usize {
        self.0.alive_count()
    }

    fn others(&self, now: Timestamp) -> Vec<String> {
        let rows = self.0.view(now).rows.into_iter().filter(|row| row.standing != Standing::Alive);
        rows.map(|row| {
            format!("{} {:?} life {} by {}", row.name, row.standing, row.incarnation, row.reported_by)
        })
        .collect()
    }
}
