//! Announces to routers which primaries are being replaced. If a primary has failed, routers acknowledge
//! none of its commits and tell it to yield. If the replacement is planned, the old primary serves on, and
//! routers acknowledge its commits once the candidate has received them.
//!
//! Safety: a primary that control cannot reach may still serve routers. Its replicas were paused, so it
//! acknowledges nothing; but a replica that joins it later, and was not paused, would let it
//! acknowledge commits that the candidate lacks. The announcement reaches routers before the platform
//! hears of the decision. A router that no control machine reaches does not receive it, so any router
//! that does makes the old primary yield for all of them.

use arrowyard_messages::{Demotion, Payload, Replacements};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::Timestamp;

use super::Control;
use crate::Promotion;
use crate::applied_state::PROMOTION_DUTY;
use crate::promotion::Reply;

impl Control {
    /// Publishes the replacements in progress when they change, and periodically while there are any.
    pub(super) fn publish_replacements(&mut self, again: bool, commands: &mut Commands) {
        let replacements = self.replacements();
        let is_empty = replacements.services.is_empty() && replacements.planned.is_empty();
        let published = &self.published_replacements;
        let changed =
            (&replacements.services, &replacements.planned) != (&published.services, &published.planned);
        if !changed && (!again || is_empty) {
            return;
        }
        self.published_replacements.clone_from(&replacements);
        let message = Payload::Replacements(replacements);
        self.broadcast_to_peers(&message, commands);
        self.forward_replacements(&message, commands);
    }

    fn replacements(&self) -> Replacements {
        let promotions = self.promotions.by_service.values();
        Replacements {
            fence: self.fence.unwrap_or_default(),
            services: promotions.clone().filter_map(Promotion::replacement).collect(),
            planned: promotions.filter_map(Promotion::planned_replacement).collect(),
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

    /// Forwards replacements to the subscribed routers.
    pub(super) fn forward_replacements(&mut self, message: &Payload, commands: &mut Commands) {
        let mut subscribed: Vec<Conn> = self.subscribed_routers().map(|(conn, _)| conn).collect();
        subscribed.sort_unstable();
        subscribed.into_iter().for_each(|conn| self.send(conn, message.clone(), commands));
    }
}
