//! Reports by routers of unresponsive primaries. The duty holder checks them at once. Routers report
//! only about once a second, as clients send requests, so recent reports are kept for the next duty
//! holder.

use std::collections::BTreeMap;

use arrowyard_messages::{Payload, Suspect};
use arrowyard_runtime::Commands;
use arrowyard_types::{TimeDelta, Timestamp};

use super::Control;
use crate::applied_state::PROMOTION_DUTY;
use crate::promotion::HostsSnapshot;

/// How long a report is kept for the next duty holder.
const RETENTION: TimeDelta = TimeDelta::from_millis(3000);

/// Recent reports by host.
pub type Suspicions = BTreeMap<String, (Timestamp, Suspect)>;

impl Control {
    /// Handles a report from a router, or from a control machine on its behalf.
    pub(super) fn handle_suspicion(&mut self, now: Timestamp, suspect: Suspect, commands: &mut Commands) {
        self.suspicions.retain(|_, (at, _)| now - *at < RETENTION);
        self.suspicions.insert(suspect.host.clone(), (now, suspect.clone()));
        if self.fence.is_some() {
            self.check_primary(now, &suspect, commands);
        } else if suspect.by == 0 {
            // Forwarded once, to the duty holder only.
            self.forward_suspicion(&suspect, commands);
        }
    }

    fn check_primary(&mut self, now: Timestamp, suspect: &Suspect, commands: &mut Commands) {
        let mut requests = Vec::new();
        let hosts = HostsSnapshot { registry: &self.registry, silent: self.silences.since() };
        self.promotions.get_or_create(&suspect.service).suspect_primary(
            now,
            &suspect.host,
            &hosts,
            &mut requests,
        );
        self.send_host_requests(now, requests, commands);
    }

    fn forward_suspicion(&mut self, suspect: &Suspect, commands: &mut Commands) {
        let holder = self.replicated_log.applied().duties.get(PROMOTION_DUTY).map(|duty| duty.holder);
        if let Some(holder) = holder.filter(|holder| *holder != self.local_ip) {
            let message = Payload::Suspect(Suspect { by: self.local_ip, ..suspect.clone() });
            self.send_to_peer(holder, &message, commands);
        }
    }

    /// Forwards recent reports to a new duty holder.
    pub(super) fn forward_suspicions(&mut self, now: Timestamp, commands: &mut Commands) {
        self.suspicions.retain(|_, (at, _)| now - *at < RETENTION);
        let mine = self.suspicions.values().filter(|(_, suspect)| suspect.by == 0);
        let mine: Vec<Suspect> = mine.map(|(_, suspect)| suspect.clone()).collect();
        mine.iter().for_each(|suspect| self.forward_suspicion(suspect, commands));
    }

    /// Checks the recent reports after this machine has taken up the duty.
    pub(super) fn check_suspicions(&mut self, now: Timestamp, commands: &mut Commands) {
        self.suspicions.retain(|_, (at, _)| now - *at < RETENTION);
        let all: Vec<Suspect> = self.suspicions.values().map(|(_, suspect)| suspect.clone()).collect();
        all.iter().for_each(|suspect| self.check_primary(now, suspect, commands));
    }
}
