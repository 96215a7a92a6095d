//! The shipped decisions as a node.

use std::net::SocketAddr;

use arrowyard_peers::{Deed, Event, Fleet, Me, Standing, Terms};
use arrowyard_types::Timestamp;

use super::{Node, Said, Taken, address};

pub struct Ours(pub Fleet);

impl Ours {
    /// The process of this number; `start` counts its starts.
    #[must_use]
    pub fn new(now: Timestamp, who: usize, seeds: &[usize], settings: f64, seed: u64) -> Ours {
        let seeds = seeds.iter().filter(|&&one| one != who).map(|&one| address(one)).collect();
        let terms = Terms { fleet: "model".to_string(), seeds, ..Terms::default() };
        let life = (now.micros() / 1000) as u64;
        let me = Me { name: format!("n{who}").into(), at: address(who), life, nonce: seed | 1 };
        Ours(Fleet::start(now, terms, me, settings, seed))
    }
}

impl Node for Ours {
    fn next_at(&self) -> Timestamp {
        self.0.next_at()
    }

    fn tick(&mut self, now: Timestamp) {
        self.0.tick(now);
    }

    fn heard(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]) {
        self.0.heard(now, from, bytes);
    }

    fn refused(&mut self, now: Timestamp, at: SocketAddr) {
        let name = format!("n{}", super::number(at));
        let view = self.0.view(now);
        if let Some(row) = view.rows.iter().find(|row| *row.name == *name) {
            self.0.refused(&name, row.life);
        }
    }

    fn leave(&mut self, now: Timestamp) {
        self.0.leave(now);
    }

    fn take(&mut self) -> Taken {
        let mut taken = Taken::default();
        for deed in self.0.deeds.drain(..) {
            match deed {
                Deed::Send { to, bytes } => taken.sends.push((to, bytes)),
                Deed::Look { to, .. } => taken.looks.push(to),
            }
        }
        for event in self.0.events.drain(..) {
            if let Event::Stands { name, life, standing, .. } = event {
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
        self.0.alive()
    }

    fn others(&self, now: Timestamp) -> Vec<String> {
        let rows = self.0.view(now).rows.into_iter().filter(|row| row.standing != Standing::Alive);
        rows.map(|row| format!("{} {:?} life {} by {}", row.name, row.standing, row.life, row.by)).collect()
    }
}
