//! A host's in-flight limit, health, warm-up, role and position, updated from `HostEvent`s.

use arrowyard_types::*;

use crate::logic::{FAST_RATIO, PERIOD_TIMEOUTS, RECOVERY_TIMEOUTS};
use crate::queues::{HostEvent, Queues};
use crate::state::{Host, HostView};

/// Health test: the probability of a wrong verdict, and the share of failed sends that counts as healthy.
const ERROR_PROBABILITY: f64 = 0.002;
const TOLERATED_FAILURES: f64 = 0.1;
/// Initial and minimum in-flight limit of a host, summed over all routers.
const INITIAL_LIMIT: f64 = 64.0;
const MIN_LIMIT: f64 = 8.0;
/// An acknowledgement that took more than this share of its latency target reduces the limit.
const SLOW_RATIO: f64 = 0.9;
/// Share of the overload multiple (`fall_multiple`) that a cold host may be sent.
const SAFE_SHARE_OF_MULTIPLE: f64 = 0.7;

impl HostView {
    /// Whether one more send fits into this share of the limit. A limit below 1 spaces sends out in time.
    pub fn has_room(&self, share: f64, now: Timestamp, spacing: TimeDelta) -> bool {
        let limit = self.limit * share;
        let spaced = self.in_flight == 0 && now - self.last_sent_at >= spacing * (1.0 / limit);
        let fits = if limit < 1.0 { spaced } else { f64::from(self.in_flight) < limit };
        self.available && fits && (self.warmth >= 1.0 || self.warmup_credit >= 0.0)
    }

    pub fn is_usable(&self) -> bool {
        self.available
            && if self.ejected { self.half_open && self.in_flight == 0 } else { !self.unresponsive }
    }
}

impl Host {
    pub fn new(settings: &RouterSettings) -> Self {
        let limit = (INITIAL_LIMIT / settings.number_or("routers", 1.0)).clamp(1.0, 16.0);
        let view = HostView { limit, warmth: 1.0, size: 1.0, ..HostView::default() };
        Host { view, ..Host::default() }
    }

    pub fn handle(
        &mut self,
        id: HostId,
        now: Timestamp,
        event: HostEvent,
        settings: &RouterSettings,
        queues: &mut Queues,
    ) {
        match event {
            HostEvent::Listed(entry, debt) => self.apply_entry(now, entry, debt, settings),
            HostEvent::Unlisted => self.view.available &= settings.flag("removal_not_binding"),
            HostEvent::SendStarted(weight) => {
                self.view.in_flight += 1;
                self.in_flight_weight += weight;
                self.view.last_sent_at = now;
                self.view.warmup_credit -= weight;
            }
            HostEvent::SendEnded(result, weight, ratio) => {
                self.view.in_flight -= 1;
                self.in_flight_weight -= weight;
                if matches!(result.outcome, Outcome::Acked | Outcome::TimedOut) {
                    self.view.latency_ratio =
                        Some(if result.outcome == Outcome::Acked { ratio } else { 1.0 });
                }
                if result.outcome.is_answer() {
                    self.unanswered_weight *= 0.5;
                    self.handle_answer(now, result, weight, ratio, settings);
                } else if result.outcome != Outcome::NotSent {
                    // Stays in the load for a while: otherwise a hanging host would look idle.
                    self.unanswered_weight += weight;
                    if result.outcome != Outcome::Cancelled {
                        self.update_health(now, true, settings);
                        self.reduce_limit(now, 0.8, settings);
                        self.track_unanswered(self.view.last_answer_at <= now - result.elapsed);
                    }
                }
            }
            HostEvent::ProbeRequested(broadcast) => {
                (self.view.probing, self.view.probed_at, self.view.broadcast_probe) = (true, now, broadcast);
                queues.actions.push(Action::Probe { host: id });
            }
            HostEvent::ProbeEnded(status) => {
                self.view.probing = false;
                self.view.failed_probes = if status.is_some() { 0 } else { self.view.failed_probes + 1 };
                if let Some(status) = status {
                    self.track_unanswered(false);
                    let as_of = status.position.unwrap_or_default() - TimeDelta::from_micros(1);
                    self.set_status(now, status, as_of);
                }
            }
            HostEvent::RoleAssigned(role) => {
                if role == Role::Primary {
                    self.track_unanswered(false);
                }
                self.set_status(now, HostStatus { role: Some(role), ..HostStatus::default() }, now);
            }
            HostEvent::Reported(status) => self.set_status(now, status, status.position.unwrap_or_default()),
            HostEvent::Maintain(elapsed, warm_rate, headroom) => {
                self.maintain(now, elapsed, warm_rate, headroom, settings)
            }
        }
        self.view.load = (self.in_flight_weight + self.unanswered_weight).max(0.0);
        queues.host_views.push_back((id, self.view));
    }

    pub fn apply_entry(&mut self, now: Timestamp, entry: HostEntry, debt: f64, settings: &RouterSettings) {
        // The id now names another host, which must not inherit the old one's position, role and health.
        let is_new_host = self.listed && self.view.name_hash != entry.name_hash;
        *self = if is_new_host { Host::new(settings) } else { std::mem::take(self) };
        // Keeps the newest start: an entry without one must not make a cold host look warm.
        let started = entry.started_at.max(self.started_at);
        if self.listed && started != self.started_at {
            // A restarted host is a replica, whatever the list says, and its health record does not apply.
            let HostView { zone, size, name_hash, position, role_at, in_flight, ack_rate, .. } = self.view;
            let fresh = HostView { role: Some(Role::Replica), ..Host::new(settings).view };
            self.view = HostView { zone, size, name_hash, position, role_at, in_flight, ack_rate, ..fresh };
            (self.evidence, self.unanswered_weight, self.unanswered_sends) = (0.0, 0.0, 0);
        }
        (self.listed, self.started_at) = (true, started);
        let view = &mut self.view;
        (view.zone, view.size, view.name_hash, view.listed_primary) =
            (entry.zone, entry.size.max(0.01), entry.name_hash, entry.is_primary);
        let is_gone = entry.availability == Availability::Gone;
        let removal_binds = self.draining || !settings.flag("removal_not_binding");
        self.draining = entry.availability == Availability::Draining || is_gone && removal_binds;
        view.available = !self.draining;
        if started.is_some_and(|at| now - at < settings.time_delta("cold")) && view.warmth >= 1.0 {
            // The random debt keeps many routers with few ops from all sending to the cold host at once.
            (view.warmth, view.warmup_credit) = (settings.number_or("cold_from", 1.0), -debt);
        }
    }

    pub fn maintain(
        &mut self,
        now: Timestamp,
        elapsed: TimeDelta,
        warm_rate: f64,
        headroom: f64,
        settings: &RouterSettings,
    ) {
        let (view, window, cold) = (&mut self.view, settings.time_delta("fall"), settings.time_delta("cold"));
        let secs = elapsed.as_secs_f64();
        view.ack_rate += (self.acked_weight / secs.max(1e-6) - view.ack_rate) * (elapsed / window).min(1.0);
        self.acked_weight = 0.0;
        let age = self.started_at.map_or(cold, |started| now - started);
        let initial = settings.number_or("cold_from", 1.0);
        view.warmth = if age < cold { initial + (1.0 - initial) * (age / cold).max(0.0) } else { 1.0 };
        // Credit of a cold host: its share of a warm host's rate, times a safe part of `fall_multiple`.
        let safe_multiple = (settings.number_or("fall_multiple", 1.0) * SAFE_SHARE_OF_MULTIPLE).max(1.0);
        let headroom = if view.latency_ratio.is_none_or(|ratio| ratio < FAST_RATIO) { headroom } else { 1.0 };
        let allowed = safe_multiple * headroom * view.warmth * warm_rate * view.size;
        view.warmup_credit = (view.warmup_credit + allowed * secs).min(allowed * window.as_secs_f64() * 0.1);
        self.unanswered_weight *=
            1.0 - (elapsed / (settings.time_delta("connect_timeout") * RECOVERY_TIMEOUTS)).min(1.0);
        view.half_open = view.ejected && now >= self.ejected_until;
    }

    /// Sequential probability ratio test: the tolerated failure share against the middle between it and 1.
    pub fn update_health(&mut self, now: Timestamp, failed: bool, settings: &RouterSettings) {
        let (healthy, unhealthy) = (TOLERATED_FAILURES, (1.0 + TOLERATED_FAILURES) / 2.0);
        let likelihood_ratio = if failed { unhealthy / healthy } else { (1.0 - unhealthy) / (1.0 - healthy) };
        let threshold = ((1.0 - ERROR_PROBABILITY) / ERROR_PROBABILITY).ln();
        self.evidence = (self.evidence + likelihood_ratio.ln()).clamp(0.0, threshold);
        if failed && self.evidence >= threshold {
            (self.view.ejected, self.view.half_open) = (true, false);
            self.ejected_until = now + settings.time_delta("connect_timeout") * RECOVERY_TIMEOUTS;
        } else if self.view.ejected && self.evidence <= threshold * 0.5 {
            (self.view.ejected, self.view.half_open) = (false, false);
        }
    }

    pub fn track_unanswered(&mut self, unanswered: bool) {
        self.unanswered_sends = if unanswered { self.unanswered_sends + 1 } else { 0 };
        self.view.unresponsive = self.unanswered_sends >= 2;
    }

    pub fn reduce_limit(&mut self, now: Timestamp, factor: f64, settings: &RouterSettings) {
        if now >= self.next_reduction_at {
            // A router with a limit below 1 sees few outcomes, so that each counts for more.
            let factor = if self.view.limit > 1.0 { factor } else { factor * factor * factor };
            let min_limit = (MIN_LIMIT / settings.number_or("routers", 1.0)).min(1.0);
            self.view.limit = (self.view.limit * factor).max(min_limit);
            self.next_reduction_at = now + settings.time_delta("connect_timeout") * PERIOD_TIMEOUTS;
        }
    }

    pub fn handle_answer(
        &mut self,
        now: Timestamp,
        result: SendResult,
        weight: f64,
        latency_ratio: f64,
        settings: &RouterSettings,
    ) {
        self.view.last_answer_at = now;
        self.track_unanswered(false);
        self.set_status(now, result.status, now);
        if result.status.role == Some(Role::Primary) {
            self.view.position = self.view.position.max(now - result.elapsed);
        }
        match result.outcome {
            Outcome::Acked => {
                self.acked_weight += weight;
                self.update_health(now, latency_ratio > 1.0, settings);
                let limit_used = f64::from(self.view.in_flight + 1) >= self.view.limit * 0.5;
                if latency_ratio > SLOW_RATIO {
                    self.reduce_limit(now, 0.9, settings);
                } else if latency_ratio < FAST_RATIO && limit_used {
                    self.view.limit += self.view.limit.min(1.0 / self.view.limit);
                }
            }
            Outcome::Errored => self.update_health(now, true, settings),
            Outcome::Overloaded => self.reduce_limit(now, 0.7, settings),
            _ => {}
        }
    }

    /// Keeps the role with the newest time; of two with the same time, the one received later.
    pub fn set_status(&mut self, now: Timestamp, status: HostStatus, as_of: Timestamp) {
        if let Some(position) = status.position {
            self.view.position = self.view.position.max(position);
            self.view.lag = now - self.view.position;
        }
        if status.role.is_some() && as_of >= self.view.role_at {
            (self.view.role, self.view.role_at) = (status.role, as_of);
        }
    }
}
