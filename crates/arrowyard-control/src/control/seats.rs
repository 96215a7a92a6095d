//! Who votes in the ledger: one machine at a time sees to it that enough do.

use arrowyard_conduit::{Entry, Matter, Voters, number};
use arrowyard_runtime::Orders;
use arrowyard_types::{Point, Span};

use super::{Control, TICK};
use crate::applied::DUTY;
use crate::seats::{Machine, next, wanted};

/// Between two changes.
const PAUSE: Span = Span::from_millis(250);
/// A first start waits so long at most for all seats to be filled before it takes a configuration.
const FOUNDING: Span = Span::from_millis(4000);

impl Control {
    fn machines(&self, now: Point) -> Vec<Machine> {
        let region = |zone: &str| self.settings.zones.get(zone).cloned().unwrap_or_default();
        let zone = self.settings.zone.clone();
        let me = Machine {
            ip: self.me,
            region: region(&zone),
            zone,
            heard: Ok(now - Point::from_micros(0)),
            votes: self.is_able_to_vote(now),
            unable: self.unable_since.map_or(Span::ZERO, |since| now - since),
            disk_works: self.disk.is_well(now),
        };
        let others = self.peers.iter().map(|(ip, peer)| {
            let zone = self.view.zone(*ip).unwrap_or_default().to_string();
            Machine {
                ip: *ip,
                region: region(&zone),
                zone,
                heard: peer.heard_for(now),
                votes: peer.votes,
                unable: peer.unable_for(now),
                disk_works: !peer.disk_fails,
            }
        });
        [me].into_iter().chain(others).collect()
    }

    /// Whether it is this machine that sees to the seats: the holder of the duty, or while that one is not heard of the
    /// machine with the lowest address. Two that do so at once do no harm: a change names the voters that it follows.
    fn fills_seats(&self, now: Point) -> bool {
        let duty = self.ledger.applied().duties.get(DUTY);
        let is_live = |holder: u32, life: u64| {
            self.live_peers(now).any(|(ip, peer)| *ip == holder && peer.known_life() == Some(life))
        };
        match duty {
            Some(duty) if duty.holder == self.me && duty.life == self.life => self.fence.is_some(),
            Some(duty) if is_live(duty.holder, duty.life) => false,
            _ => self.live_peers(now).all(|(ip, _)| self.me < *ip),
        }
    }

    /// Sees to it that enough machines vote.
    pub(super) fn fill_seats(&mut self, now: Point, orders: &mut Orders) {
        if now < self.seat_at || !self.is_in_touch(now) || !self.fills_seats(now) {
            return;
        }
        let before = self.ledger.voters().to_vec();
        let Some(voters) = next(&before, &self.machines(now), self.settings.tolerance) else { return };
        self.seat_at = now + PAUSE;
        log::info!("seats: {} voters instead of {} are asked for.", voters.len(), before.len());
        let entry = Entry { matter: Some(Matter::Voters(Voters { voters, before })) };
        self.with_ledger(now, orders, |ledger, out| ledger.enter(now, entry, now + TICK * 4.0, out));
    }

    /// Whether this is a first start whose seats are not all filled. Danger: what fewer machines acknowledged is lost
    /// with what may be lost.
    pub(super) fn is_founding(&self, now: Point) -> bool {
        if !self.settings.bootstrap || now - Point::from_micros(0) >= FOUNDING {
            return false;
        }
        let seeds: Vec<u32> = self.settings.seeds.iter().map(|seed| number(*seed.ip())).collect();
        let votes = |voter: &&u32| {
            seeds.contains(voter)
                || **voter == self.me && self.ledger.votes()
                || self.peers.get(*voter).is_some_and(|peer| peer.votes)
        };
        self.ledger.voters().iter().filter(votes).count() < wanted(self.settings.tolerance)
    }
}
