//! How this machine carries out the duty of replacing primaries: it takes it up, lays it down, and looks at services.

use std::collections::BTreeSet;

use arrowyard_runtime::Commands;
use arrowyard_types::{TimeDelta, Timestamp};

use super::Control;
use crate::applied_state::PROMOTION_DUTY;
use crate::promotion::{HostsSnapshot, PromotionRequest, Promotions};
use crate::{ProposalId, ProposalOutcome};

/// A majority has so long to confirm that this machine holds the duty.
const CONFIRMED: TimeDelta = TimeDelta::from_millis(1000);

impl Control {
    /// Takes the duty up, or lays it down. Safety: a machine that was cut off may hold it by what it knows while another
    /// one holds it by now; the two would undo each other's questions to replicas. So it carries out nothing while it is
    /// cut off, and afterwards only once a majority has confirmed that it still holds the duty.
    pub(super) fn take_up(&mut self, now: Timestamp, commands: &mut Commands) {
        let held = self.duty.held_fence(self.ledger.applied());
        let fence = held.filter(|_| self.in_touch && self.confirmed == held);
        if held.is_some() && fence.is_none() {
            self.confirm(now, commands);
        }
        if fence == self.fence {
            return;
        }
        let after_another =
            fence.is_some() && self.ledger.applied().duty_fence(PROMOTION_DUTY) > 0 && self.ticks > 8;
        self.fence = fence;
        self.divide_from(now, after_another);
        self.decide_from(now, after_another);
        self.promotions = Promotions::default();
        self.drop_platform_calls(commands);
        match fence {
            Some(fence) => log::info!("duty: Holds promote, fence {fence}."),
            None => log::info!("duty: Holds promote no more."),
        }
        if after_another {
            // Whoever held it before may have left replicas paused.
            let replicas: Vec<String> = self.cell.hosts().map(|host| host.id.clone()).collect();
            self.ask_hosts(
                now,
                replicas.into_iter().map(|host| PromotionRequest::Continue { host }).collect(),
                commands,
            );
        }
        if fence.is_some() {
            self.check_suspicions(now, commands);
        }
    }

    /// Asks a majority whether all that was agreed on is known here, this machine's hold of the duty among it.
    pub(super) fn confirm(&mut self, now: Timestamp, commands: &mut Commands) {
        if self.in_touch && self.confirming.is_none() {
            self.confirming = Some(self.ledger.next_proposal());
            self.with_ledger(now, commands, |ledger, out| ledger.propose_read(now, now + CONFIRMED, out));
        }
    }

    /// The ledger answers a question. Whether it was the one for the duty.
    pub(super) fn confirmation_answered(
        &mut self,
        now: Timestamp,
        ticket: ProposalId,
        answer: ProposalOutcome,
        commands: &mut Commands,
    ) -> bool {
        if self.confirming != Some(ticket) {
            return false;
        }
        self.confirming = None;
        if answer == ProposalOutcome::Current && self.in_touch {
            self.confirmed = self.duty.held_fence(self.ledger.applied());
            self.take_up(now, commands);
        }
        true
    }

    /// This machine was cut off, or is in touch again.
    pub(super) fn touch_changed(&mut self, now: Timestamp, commands: &mut Commands) {
        if !self.in_touch {
            self.confirmed = None;
        }
        self.take_up(now, commands);
    }

    /// Looks at every service whose primary may have to change.
    pub(super) fn look(&mut self, now: Timestamp, commands: &mut Commands) {
        let services: Vec<String> =
            self.ledger.applied().configuration.services().map(|service| service.name.clone()).collect();
        if self.leaders.len() > services.len() {
            let known: BTreeSet<&String> = services.iter().collect();
            self.leaders.retain(|service, _| known.contains(service));
        }
        for service in &services {
            let leader = self.leaders.entry(service.clone()).or_default();
            leader.update(now, service, &self.cell);
        }
        if self.fence.is_none() {
            return;
        }
        let mut asks = Vec::new();
        let sight = HostsSnapshot { registry: &self.cell, silent: &self.silent, departed: &self.left };
        for service in &services {
            let promotion = self.promotions.get_or_create(service);
            promotion.set_leader_watch(&self.leaders[service]);
            if let Some(primary) = sight.registry.primary(service)
                && sight.silent.contains_key(&primary.id)
            {
                promotion.suspect_primary(now, &primary.id, &sight, &mut asks);
            }
            promotion.poll(now, &sight, &mut asks);
        }
        self.tell_replacements(false, commands);
        self.ask_hosts(now, asks, commands);
    }
}
