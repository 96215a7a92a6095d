//! Adjusts the voter set while this machine holds the duty.

use arrowyard_messages::{Entry, EntryPayload, Voters, ip_to_u32};
use arrowyard_runtime::Commands;
use arrowyard_types::{TimeDelta, Timestamp};

use super::{Control, TICK_INTERVAL};
use crate::voter_set::{MachineStatus, has_substitute, next_voter_set, target_size};

/// Minimum interval between two changes.
const CHANGE_INTERVAL: TimeDelta = TimeDelta::from_millis(250);
/// How long a first start waits for a complete voter set before it accepts a configuration.
const BOOTSTRAP_TIMEOUT: TimeDelta = TimeDelta::from_millis(4000);

impl Control {
    fn machine_statuses(&self, now: Timestamp) -> Vec<MachineStatus> {
        let region = |zone: &str| self.settings.zones.get(zone).cloned().unwrap_or_default();
        let zone = self.settings.zone.clone();
        let local = MachineStatus {
            ip: self.local_ip,
            region: region(&zone),
            zone,
            contact: Ok(now - Timestamp::from_micros(0)),
            votes: self.is_able_to_vote(now),
            unable_to_vote: self.unable_to_vote_since.map_or(TimeDelta::ZERO, |since| now - since),
            disk_works: self.disk.is_healthy(now),
            stopping: self.stopping_since.is_some(),
        };
        let others = self.peers.iter().map(|(ip, peer)| {
            let zone = self.view.zone(*ip).unwrap_or_default().to_string();
            MachineStatus {
                ip: *ip,
                region: region(&zone),
                zone,
                contact: peer.contact(now),
                votes: peer.votes,
                unable_to_vote: peer.unable_to_vote_for(now),
                disk_works: !peer.disk_fails,
                stopping: peer.stopping,
            }
        });
        [local].into_iter().chain(others).collect()
    }

    /// Whether another machine can take over this machine's vote. Safety: this machine may not restart
    /// after shutdown, and the next failure may follow at once.
    pub(super) fn can_hand_over_vote(&self, now: Timestamp) -> bool {
        has_substitute(
            self.local_ip,
            self.replicated_log.voters(),
            &self.machine_statuses(now),
            self.settings.tolerance,
        )
    }

    /// Proposes the next change of the voter set. A failed duty holder is replaced before it counts as a
    /// failed voter.
    pub(super) fn adjust_voter_set(&mut self, now: Timestamp, commands: &mut Commands) {
        if self.fence.is_none() || now < self.voter_change_at || !self.can_reach_quorum(now) {
            return;
        }
        let before = self.replicated_log.voters().to_vec();
        let Some(voters) = next_voter_set(&before, &self.machine_statuses(now), self.settings.tolerance)
        else {
            return;
        };
        self.voter_change_at = now + CHANGE_INTERVAL;
        log::info!("voter set: proposing {} voters instead of {}", voters.len(), before.len());
        let entry = Entry { payload: Some(EntryPayload::Voters(Voters { voters, before })) };
        self.with_log(now, commands, |log, out| {
            log.propose_entry(now, entry, now + TICK_INTERVAL * 4.0, out)
        });
    }

    /// Whether this is a first start with an incomplete voter set. Safety: what fewer machines acknowledged
    /// is lost when the tolerated number of them fails.
    pub(super) fn is_bootstrapping(&self, now: Timestamp) -> bool {
        if !self.settings.bootstrap || now - Timestamp::from_micros(0) >= BOOTSTRAP_TIMEOUT {
            return false;
        }
        let seeds: Vec<u32> = self.settings.seeds.iter().map(|seed| ip_to_u32(*seed.ip())).collect();
        let votes = |voter: &&u32| {
            seeds.contains(voter)
                || **voter == self.local_ip && self.replicated_log.votes()
                || self.peers.get(*voter).is_some_and(|peer| peer.votes)
        };
        self.replicated_log.voters().iter().filter(votes).count() < target_size(self.settings.tolerance)
    }
}
