//! The duty of replacing primaries: taking it up, giving it up, and advancing the promotions.

use std::collections::BTreeSet;

use arrowyard_runtime::Commands;
use arrowyard_types::{TimeDelta, Timestamp};

use super::Control;
use crate::announcements::Announcements;
use crate::applied_state::PROMOTION_DUTY;
use crate::promotion::{HostsSnapshot, PromotionRequest, Promotions};
use crate::{ProposalId, ProposalOutcome};

/// Time for a majority to confirm that this machine holds the duty.
const CONFIRMATION_TIMEOUT: TimeDelta = TimeDelta::from_millis(1000);

impl Control {
    /// Takes the duty up or gives it up. Safety: a partitioned machine may still believe that it holds the
    /// duty while another one does, and the two would undo each other's requests to replicas. So it does
    /// nothing while partitioned, and afterwards only once a majority has confirmed that it still holds the
    /// duty.
    pub(super) fn update_duty(&mut self, now: Timestamp, commands: &mut Commands) {
        let held_fence = self.duty.held_fence(self.replicated_log.applied());
        let fence = held_fence.filter(|_| self.quorum_reachable && self.confirmed == held_fence);
        if held_fence.is_some() && fence.is_none() {
            self.confirm_duty(now, commands);
        }
        if fence == self.fence {
            return;
        }
        let after_another =
            fence.is_some() && self.replicated_log.applied().duty_fence(PROMOTION_DUTY) > 0 && self.ticks > 8;
        self.fence = fence;
        self.start_allocator(now, after_another);
        self.set_decision_start(now, after_another);
        self.promotions = Promotions::default();
        self.announcements = Announcements::default();
        if fence.is_some() {
            self.take_over_floors();
        }
        self.drop_platform_calls(commands);
        match fence {
            Some(fence) => log::info!("duty: holds `promote` under fencing token {fence}"),
            None => log::info!("duty: no longer holds `promote`"),
        }
        if after_another {
            // The previous holder may have left replicas paused.
            let replicas: Vec<String> = self.registry.hosts().map(|host| host.id.clone()).collect();
            self.send_host_requests(
                now,
                replicas.into_iter().map(|host| PromotionRequest::Continue { host, attempt: 0 }).collect(),
                commands,
            );
        }
        if fence.is_some() {
            self.check_suspicions(now, commands);
        }
    }

    /// Starts a linearizable read to confirm that this machine still holds the duty.
    pub(super) fn confirm_duty(&mut self, now: Timestamp, commands: &mut Commands) {
        if self.quorum_reachable && self.confirming.is_none() {
            self.confirming = Some(self.replicated_log.next_proposal());
            self.with_log(now, commands, |log, out| log.propose_read(now, now + CONFIRMATION_TIMEOUT, out));
        }
    }

    /// Handles the outcome of a proposal; returns whether it was the confirmation of the duty.
    pub(super) fn confirmation_resolved(
        &mut self,
        now: Timestamp,
        ticket: ProposalId,
        outcome: ProposalOutcome,
        commands: &mut Commands,
    ) -> bool {
        if self.confirming != Some(ticket) {
            return false;
        }
        self.confirming = None;
        if outcome == ProposalOutcome::Current && self.quorum_reachable {
            self.confirmed = self.duty.held_fence(self.replicated_log.applied());
            self.update_duty(now, commands);
        }
        true
    }

    /// Reacts to losing or regaining contact with a majority.
    pub(super) fn quorum_status_changed(&mut self, now: Timestamp, commands: &mut Commands) {
        if !self.quorum_reachable {
            self.confirmed = None;
        }
        self.update_duty(now, commands);
    }

    /// Advances the promotions of all services.
    pub(super) fn poll_promotions(&mut self, now: Timestamp, commands: &mut Commands) {
        let services: Vec<String> = self
            .replicated_log
            .applied()
            .configuration
            .services()
            .map(|service| service.name.clone())
            .collect();
        if self.primary_watches.len() > services.len() {
            let known: BTreeSet<&String> = services.iter().collect();
            self.primary_watches.retain(|service, _| known.contains(service));
        }
        for service in &services {
            let primary_watch = self.primary_watches.entry(service.clone()).or_default();
            primary_watch.update(now, service, &self.registry);
        }
        if self.fence.is_none() {
            return;
        }
        let mut requests = Vec::new();
        let informed: BTreeSet<&String> =
            services.iter().filter(|service| self.are_routers_informed(now, service)).collect();
        let hosts = HostsSnapshot { registry: &self.registry, silent: self.silences.since() };
        for service in &services {
            let promotion = self.promotions.get_or_create(service);
            promotion.set_primary_watch(&self.primary_watches[service]);
            promotion.set_routers_informed(informed.contains(service));
            if let Some(primary) = hosts.registry.primary(service)
                && hosts.silent.contains_key(&primary.id)
            {
                promotion.suspect_primary(now, &primary.id, &hosts, &mut requests);
            }
            promotion.poll(now, &hosts, &mut requests);
        }
        self.publish_replacements(now, false, commands);
        self.send_host_requests(now, requests, commands);
    }
}
