//! Routers are told which primaries are being replaced: they acknowledge no commit of the host that is replaced, and tell
//! it to yield.
//!
//! Safety: a host that control cannot ask may still lead and serve routers. Its replicas have been asked to stop, so it
//! acknowledges nothing; but a replica that joins it afterwards, and that nobody asked, lets it acknowledge what the
//! candidate lacks. What is told here reaches the routers before the platform hears of the decision. A router that no
//! control machine reaches is not told; so whoever is told makes the old primary yield, for all others as well.

use arrowyard_messages::{Demotion, Payload, Replacement, Replacements};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::Timestamp;

use super::Control;
use crate::applied_state::PROMOTION_DUTY;
use crate::promotion::Reply;

impl Control {
    /// Tells routers what is being replaced, if that has changed, or while it lasts.
    pub(super) fn tell_replacements(&mut self, again: bool, commands: &mut Commands) {
        let services = self.replacements();
        let changed = services != self.told_replacements;
        if !changed && (!again || services.is_empty()) {
            return;
        }
        self.told_replacements.clone_from(&services);
        let word = Payload::Replacements(Replacements { fence: self.fence.unwrap_or_default(), services });
        self.say_to_peers(&word, commands);
        self.pass_replacements(&word, commands);
    }

    fn replacements(&self) -> Vec<Replacement> {
        self.promotions.by_service.values().filter_map(crate::Promotion::replacement).collect()
    }

    /// A router made an old primary yield. It is passed on once, to the holder of the duty alone.
    pub(super) fn yielded(
        &mut self,
        now: Timestamp,
        from_router: bool,
        yielded: Demotion,
        commands: &mut Commands,
    ) {
        if self.fence.is_some() {
            return self.replied(now, &yielded.service, Reply::Yielded, commands);
        }
        let holder = self.ledger.applied().duties.get(PROMOTION_DUTY).map(|duty| duty.holder);
        if let Some(holder) = holder.filter(|holder| from_router && *holder != self.me) {
            self.say_to_peer(holder, &Payload::Demotion(yielded), commands);
        }
    }

    /// Tells the routers that are fed here.
    pub(super) fn pass_replacements(&mut self, word: &Payload, commands: &mut Commands) {
        let mut fed: Vec<Conn> = self.routers_fed().map(|(conn, _)| conn).collect();
        fed.sort_unstable();
        fed.into_iter().for_each(|conn| self.say(conn, word.clone(), commands));
    }
}
