//! Primaries that routers say do not answer. The holder of the duty looks at once. Routers say so only as their clients
//! ask, about once a second, so what was said lately is kept for whoever takes the duty up next.

use std::collections::BTreeMap;

use arrowyard_messages::{Payload, Suspect};
use arrowyard_runtime::Commands;
use arrowyard_types::{TimeDelta, Timestamp};

use super::Control;
use crate::applied_state::PROMOTION_DUTY;
use crate::promotion::HostsSnapshot;

/// For so long a suspicion is kept for the next holder of the duty.
const KEPT: TimeDelta = TimeDelta::from_millis(3000);

/// What was said lately, by host.
pub type Suspicions = BTreeMap<String, (Timestamp, Suspect)>;

impl Control {
    /// A router, or a control machine for it, says that a primary does not answer.
    pub(super) fn suspected(&mut self, now: Timestamp, suspect: Suspect, commands: &mut Commands) {
        self.suspicions.retain(|_, (at, _)| now - *at < KEPT);
        self.suspicions.insert(suspect.host.clone(), (now, suspect.clone()));
        if self.fence.is_some() {
            self.check_primary(now, &suspect, commands);
        } else if suspect.by == 0 {
            // It is passed on once, to the holder alone.
            self.pass_suspicion(&suspect, commands);
        }
    }

    fn check_primary(&mut self, now: Timestamp, suspect: &Suspect, commands: &mut Commands) {
        let mut asks = Vec::new();
        let sight = HostsSnapshot { registry: &self.cell, silent: &self.silent, departed: &self.left };
        self.promotions.get_or_create(&suspect.service).suspect_primary(
            now,
            &suspect.host,
            &sight,
            &mut asks,
        );
        self.ask_hosts(now, asks, commands);
    }

    fn pass_suspicion(&mut self, suspect: &Suspect, commands: &mut Commands) {
        let holder = self.ledger.applied().duties.get(PROMOTION_DUTY).map(|duty| duty.holder);
        if let Some(holder) = holder.filter(|holder| *holder != self.me) {
            let word = Payload::Suspect(Suspect { by: self.me, ..suspect.clone() });
            self.say_to_peer(holder, &word, commands);
        }
    }

    /// Another machine holds the duty from now on: it hears what routers said here lately.
    pub(super) fn pass_suspicions(&mut self, now: Timestamp, commands: &mut Commands) {
        self.suspicions.retain(|_, (at, _)| now - *at < KEPT);
        let mine = self.suspicions.values().filter(|(_, suspect)| suspect.by == 0);
        let mine: Vec<Suspect> = mine.map(|(_, suspect)| suspect.clone()).collect();
        mine.iter().for_each(|suspect| self.pass_suspicion(suspect, commands));
    }

    /// This machine has taken the duty up.
    pub(super) fn check_suspicions(&mut self, now: Timestamp, commands: &mut Commands) {
        self.suspicions.retain(|_, (at, _)| now - *at < KEPT);
        let all: Vec<Suspect> = self.suspicions.values().map(|(_, suspect)| suspect.clone()).collect();
        all.iter().for_each(|suspect| self.check_primary(now, suspect, commands));
    }
}
