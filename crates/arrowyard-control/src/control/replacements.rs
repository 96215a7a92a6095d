//! Announces to routers which primaries are being replaced. If a primary has failed, routers acknowledge
//! none of its commits and tell it to yield. If the replacement is planned, the old primary serves on, and
//! routers acknowledge its commits once the candidate has received them.
//!
//! Safety: a primary that control cannot reach may still serve routers. Its replicas were paused, so it
//! acknowledges nothing; but a replica that joins it later, and was not paused, would let it
//! acknowledge commits that the candidate lacks. The announcement reaches routers before the platform
//! hears of the decision. A router that no control machine reaches does not receive it, so any router
//! that does makes the old primary yield for all of them.

use arrowyard_messages::{Demotion, Payload, Replacements, ReplacementsSeen};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{TimeDelta, Timestamp};

use super::Control;
use crate::Promotion;
use crate::applied_state::PROMOTION_DUTY;
use crate::promotion::Reply;

/// Time in which the routers of a control machine that is lost subscribe to another one: they notice its silence
/// after 1.6 s, and look for another one each half second.
const ROUTER_MOVE_TIME: TimeDelta = TimeDelta::from_millis(3500);

impl Control {
    /// Publishes the replacements in progress when they change, and periodically while there are any.
    pub(super) fn publish_replacements(&mut self, now: Timestamp, again: bool, commands: &mut Commands) {
        let replacements = self.replacements();
        let is_empty = replacements.services.is_empty() && replacements.planned.is_empty();
        let published = &self.published_replacements;
        let changed =
            (&replacements.services, &replacements.planned) != (&published.services, &published.planned);
        if !changed && (!again || is_empty) {
            return;
        }
        if changed {
            self.announcements.lists_changed(&replacements.planned);
        }
        let replacements = Replacements { number: self.announcements.number(), ..replacements };
        self.published_replacements.clone_from(&replacements);
        let message = Payload::Replacements(replacements);
        self.broadcast_to_peers(&message, commands);
        self.forward_replacements(now, message, commands);
    }

    fn replacements(&self) -> Replacements {
        let promotions = self.promotions.by_service.values();
        Replacements {
            fence: self.fence.unwrap_or_default(),
            services: promotions.clone().filter_map(Promotion::replacement).collect(),
            planned: promotions.filter_map(Promotion::planned_replacement).collect(),
            number: 0,
        }
    }

    /// Handles the report that a router made an old primary yield; forwarded once, to the duty holder only.
    pub(super) fn handle_yielded(
        &mut self,
        now: Timestamp,
        from_router: bool,
        yielded: Demotion,
        commands: &mut Commands,
    ) {
        if self.fence.is_some() {
            return self.promotion_replied(now, &yielded.service, Reply::Yielded, commands);
        }
        let holder = self.replicated_log.applied().duties.get(PROMOTION_DUTY).map(|duty| duty.holder);
        if let Some(holder) = holder.filter(|holder| from_router && *holder != self.local_ip) {
            self.send_to_peer(holder, &Payload::Demotion(yielded), commands);
        }
    }

    /// Handles the confirmation of a router that it acts by a list; forwarded once, to the duty holder only.
    pub(super) fn handle_replacements_seen(
        &mut self,
        from_router: bool,
        seen: &ReplacementsSeen,
        commands: &mut Commands,
    ) {
        if self.fence.is_some() {
            if self.fence == Some(seen.fence) {
                self.announcements.router_confirmed(seen.router, seen.number);
            }
            return;
        }
        let holder = self.replicated_log.applied().duties.get(PROMOTION_DUTY).map(|duty| duty.holder);
        if let Some(holder) = holder.filter(|holder| from_router && *holder != self.local_ip) {
            self.send_to_peer(holder, &Payload::ReplacementsSeen(seen.clone()), commands);
        }
    }

    /// Whether every router that may serve acts by the planned replacement of a service. Safety: a router that
    /// does not would acknowledge a commit that the candidate lacks.
    pub(super) fn are_routers_informed(&self, now: Timestamp, service: &str) -> bool {
        let routers =
            self.routers_heard_within(now, ROUTER_MOVE_TIME) + self.routers_of_peers(now, ROUTER_MOVE_TIME);
        self.announcements.confirmations(service).is_some_and(|confirmed| confirmed >= routers)
    }

    /// Forwards replacements to the subscribed routers, and to those that subscribe later.
    pub(super) fn forward_replacements(&mut self, now: Timestamp, message: Payload, commands: &mut Commands) {
        self.forwarded_replacements.record(now, message.clone());
        let mut subscribed: Vec<Conn> = self.subscribed_routers().map(|(conn, _)| conn).collect();
        subscribed.sort_unstable();
        subscribed.into_iter().for_each(|conn| self.send(conn, message.clone(), commands));
    }
}
