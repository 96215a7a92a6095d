//! Exchange of the floors of silent replicas between the duty holder and the other control machines.

use arrowyard_messages::{Payload, ReplicaFloor, ReplicaFloors};
use arrowyard_runtime::Commands;

use super::Control;

/// Ticks between repetitions of all floors, for machines that have lost a message.
const FLOOR_REPEAT_TICKS: u64 = 40;

impl Control {
    /// Publishes the floors of this duty holder: new ones at once, and all of them periodically.
    pub(super) fn publish_floors(&mut self, commands: &mut Commands) {
        let Some(fence) = self.fence else { return };
        let unpublished = self.published_floors.take_unpublished(fence, self.floors());
        let whole = self.ticks.is_multiple_of(FLOOR_REPEAT_TICKS);
        let floors = if whole { self.published_floors.all() } else { unpublished };
        if !floors.is_empty() {
            self.broadcast_to_peers(
                &Payload::ReplicaFloors(ReplicaFloors { fence, floors, whole }),
                commands,
            );
        }
    }

    fn floors(&self) -> Vec<ReplicaFloor> {
        let floors = self.promotions.by_service.values().flat_map(|promotion| promotion.floors());
        let known = floors.filter_map(|(host, position)| {
            Some(ReplicaFloor {
                host: host.clone(),
                received_term: position.term,
                received_number: position.number,
                last_call: self.silences.last_call(host)?,
            })
        });
        known.collect()
    }

    /// Sends all floors to a control machine that has connected.
    pub(super) fn send_floors(&mut self, ip: u32, commands: &mut Commands) {
        let Some(fence) = self.fence else { return };
        let floors = self.published_floors.all();
        if !floors.is_empty() {
            self.send_to_peer(
                ip,
                &Payload::ReplicaFloors(ReplicaFloors { fence, floors, whole: true }),
                commands,
            );
        }
    }

    /// Handles the floors of the duty holder.
    pub(super) fn handle_floors(&mut self, message: ReplicaFloors) {
        if self.fence.is_none() {
            self.published_floors.update(message);
        }
    }

    /// Takes over the floors of the previous duty holder that are still valid.
    pub(super) fn take_over_floors(&mut self) {
        for (host, position) in self.published_floors.valid(&self.silences) {
            let Some(service) = self.registry.get(host).map(|host| host.service.clone()) else { continue };
            self.promotions.get_or_create(&service).restore_floor(host, position);
        }
    }

    /// Records that a host was heard, which ends its silence. Returns whether it was silent.
    pub(super) fn end_silence(&mut self, id: &str) -> bool {
        if let Some(host) = self.registry.get(id)
            && let Some(promotion) = self.promotions.by_service.get_mut(&host.service)
        {
            promotion.forget_floor(id);
        }
        self.silences.end(id)
    }
}
