//! Who votes in the ledger: the holder of the duty sees to it that enough do.

use arrowyard_messages::{Entry, EntryPayload, Voters, ip_to_u32};
use arrowyard_runtime::Commands;
use arrowyard_types::{TimeDelta, Timestamp};

use super::{Control, TICK};
use crate::voter_set::{MachineStatus, has_substitute, next_voter_set, target_size};

/// Between two changes.
const PAUSE: TimeDelta = TimeDelta::from_millis(250);
/// A first start waits so long at most for all seats to be filled before it takes a configuration.
const FOUNDING: TimeDelta = TimeDelta::from_millis(4000);

impl Control {
    fn machines(&self, now: Timestamp) -> Vec<MachineStatus> {
        let region = |zone: &str| self.settings.zones.get(zone).cloned().unwrap_or_default();
        let zone = self.settings.zone.clone();
        let me = MachineStatus {
            ip: self.me,
            region: region(&zone),
            zone,
            contact: Ok(now - Timestamp::from_micros(0)),
            votes: self.is_able_to_vote(now),
            unable_to_vote: self.unable_since.map_or(TimeDelta::ZERO, |since| now - since),
            disk_works: self.disk.is_healthy(now),
            stopping: self.ending_since.is_some(),
        };
        let others = self.peers.iter().map(|(ip, peer)| {
            let zone = self.view.zone(*ip).unwrap_or_default().to_string();
            MachineStatus {
                ip: *ip,
                region: region(&zone),
                zone,
                contact: peer.heard_for(now),
                votes: peer.votes,
                unable_to_vote: peer.unable_for(now),
                disk_works: !peer.disk_fails,
                stopping: peer.leaving,
            }
        });
        [me].into_iter().chain(others).collect()
    }

    /// Whether this machine has a vote that another one can take over. Safety: it may be gone for good once it has ended, and
    /// the next loss may follow at once.
    pub(super) fn can_hand_over(&self, now: Timestamp) -> bool {
        has_substitute(self.me, self.ledger.voters(), &self.machines(now), self.settings.tolerance)
    }

    /// Whoever holds the duty sees to it that enough machines vote. A holder that is lost is replaced before it counts as
    /// gone for its seat.
    pub(super) fn fill_seats(&mut self, now: Timestamp, commands: &mut Commands) {
        if self.fence.is_none() || now < self.seat_at || !self.is_in_touch(now) {
            return;
        }
        let before = self.ledger.voters().to_vec();
        let Some(voters) = next_voter_set(&before, &self.machines(now), self.settings.tolerance) else {
            return;
        };
        self.seat_at = now + PAUSE;
        log::info!("seats: {} voters instead of {} are asked for.", voters.len(), before.len());
        let entry = Entry { payload: Some(EntryPayload::Voters(Voters { voters, before })) };
        self.with_ledger(now, commands, |ledger, out| {
            ledger.propose_entry(now, entry, now + TICK * 4.0, out)
        });
    }

    /// Whether this is a first start whose seats are not all filled. Danger: what fewer machines acknowledged is lost
    /// with what may be lost.
    pub(super) fn is_founding(&self, now: Timestamp) -> bool {
        if !self.settings.bootstrap || now - Timestamp::from_micros(0) >= FOUNDING {
            return false;
        }
        let seeds: Vec<u32> = self.settings.seeds.iter().map(|seed| ip_to_u32(*seed.ip())).collect();
        let votes = |voter: &&u32| {
            seeds.contains(voter)
                || **voter == self.me && self.ledger.votes()
                || self.peers.get(*voter).is_some_and(|peer| peer.votes)
        };
        self.ledger.voters().iter().filter(votes).count() < target_size(self.settings.tolerance)
    }
}
