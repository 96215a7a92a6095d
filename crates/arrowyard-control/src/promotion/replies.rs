//! Replies of hosts, routers and the platform to the requests of a promotion.

use arrowyard_types::Timestamp;

use super::departed::is_departed;
use super::{
    CATCH_UP_INTERVAL, CONFIRM_TIMEOUT, COOLDOWN, FAILURE_THRESHOLD, HostsSnapshot, MAX_PAUSE_DELAY,
    NEW_REPLICA_WAIT, Promotion, PromotionRequest, RECHECK_DELAY, RETRY_INTERVAL, Reply, RequestKind, Stage,
};

impl Promotion {
    /// Handles a reply of a host, a router or the platform to a request.
    pub fn handle_reply(
        &mut self,
        now: Timestamp,
        reply: Reply,
        hosts: &HostsSnapshot<'_>,
        requests: &mut Vec<PromotionRequest>,
    ) {
        if let Reply::Row { host, .. } = &reply {
            self.departed_host_responded(now, host, hosts);
        }
        match &reply {
            // Safety: an earlier request proves nothing about a later pause, and a delayed pause request may
            // still arrive.
            Reply::Row { host, kind: RequestKind::Continue(attempt), .. }
                if self.pause_attempt(host) == Some(*attempt)
                    && self.stage == Stage::Idle
                    && now - self.paused_at >= MAX_PAUSE_DELAY =>
            {
                self.paused_hosts.remove(host);
            }
            Reply::Row { kind: RequestKind::Observe, row, .. } if row.primary => {
                let floors = std::mem::take(&mut self.floor_pending).into_iter();
                self.floors.extend(floors.map(|host| (host, row.received)));
            }
            _ => {}
        }
        match (self.stage.clone(), reply) {
            (Stage::Checking { host, timeouts }, Reply::NoResponse { host: observed })
                if host == observed =>
            {
                if timeouts + 1 < FAILURE_THRESHOLD {
                    return self.set_stage(
                        Stage::Checking { host, timeouts: timeouts + 1 },
                        Some(now + RECHECK_DELAY),
                    );
                }
                self.survey(now, Some(host), false, hosts, requests);
            }
            (
                Stage::Checking { host, .. },
                Reply::Row { host: observed, .. } | Reply::Busy { host: observed },
            ) if host == observed => {
                self.cooldown_until = now + COOLDOWN;
                self.set_stage(Stage::Idle, None);
            }
            // Another host is primary than the one assumed to be, or the one assumed to have failed.
            // Safety: a host that reports this itself may be stale, as after a change made by another duty
            // holder; the candidate need not have what it acknowledges.
            (stage, Reply::Row { host, row, .. }) if row.primary && stage.ends_if_primary(&host) => {
                self.abort(now, requests);
            }
            (Stage::Surveying { old, planned, mut rows, mut unanswered }, Reply::Row { host, row, .. }) => {
                unanswered.remove(&host);
                rows.insert(host, row);
                let wake_at = self.wake_at;
                self.set_stage(Stage::Surveying { old, planned, rows, unanswered }, wake_at);
                self.finish_survey(now, hosts, requests);
            }
            (Stage::Surveying { old, planned, rows, mut unanswered }, Reply::NoResponse { host }) => {
                unanswered.insert(host);
                let wake_at = self.wake_at;
                self.set_stage(Stage::Surveying { old, planned, rows, unanswered }, wake_at);
                self.finish_survey(now, hosts, requests);
            }
            (
                Stage::Fencing { old, candidate, pending_hosts, term, mut rows },
                Reply::Row { host, kind: RequestKind::Pause(attempt), row },
            ) if attempt == self.attempt && pending_hosts.contains(&host) => {
                rows.insert(host, row);
                let wake_at = self.wake_at;
                self.set_stage(Stage::Fencing { old, candidate, pending_hosts, term, rows }, wake_at);
                self.finish_fencing(now, hosts, requests);
            }
            // A replica that fails after it answered would never confirm the pause; a planned change does
            // without it, as in the survey.
            (
                Stage::Fencing { old, candidate: Some(candidate), mut pending_hosts, term, rows },
                Reply::NoResponse { host },
            ) if pending_hosts.contains(&host) && !rows.contains_key(&host) => {
                pending_hosts.remove(&host);
                let (candidate, wake_at) = (Some(candidate), self.wake_at);
                self.set_stage(Stage::Fencing { old, candidate, pending_hosts, term, rows }, wake_at);
                self.finish_fencing(now, hosts, requests);
            }
            // A departed replica has ended: a new host at its address may take over its log.
            (
                Stage::Fencing { old, candidate: None, pending_hosts, rows, .. },
                Reply::NoResponse { host },
            ) if pending_hosts.contains(&host) && !rows.contains_key(&host) && is_departed(&host, hosts) => {
                self.survey(now, old, false, hosts, requests);
            }
            (
                Stage::CatchingUp { old, candidate, required, includes_old, until },
                Reply::Row { host, row, .. },
            ) if host == candidate => {
                if includes_old && row.received >= required {
                    return self.promote(old, candidate, true, requests);
                }
                let stage = Stage::CatchingUp { old, candidate, required, includes_old, until };
                self.set_stage(stage, Some(now + CATCH_UP_INTERVAL));
            }
            // Safety: a candidate that receives nothing has as much as the other replicas, but lacks what
            // the old primary holds back. So a planned change needs the position of the old primary. A host
            // that leads no more lacks what its successor, which may not have responded, acknowledged.
            (Stage::CatchingUp { old, .. }, Reply::Row { host, row, .. })
                if old.as_ref() == Some(&host) && !row.primary =>
            {
                self.abort(now, requests);
            }
            (Stage::CatchingUp { old, .. }, Reply::Row { host, .. })
                if old.as_ref() == Some(&host) && !self.is_position_requested =>
            {
                // The next row is a response to a request that is sent now.
                self.is_position_requested = self.routers_informed;
                if self.routers_informed {
                    requests.push(PromotionRequest::Observe { host });
                } else {
                    self.wake_at = Some(now + CATCH_UP_INTERVAL);
                }
            }
            (Stage::CatchingUp { old, candidate, required, until, .. }, Reply::Row { host, row, .. })
                if old.as_ref() == Some(&host) =>
            {
                let required = required.max(row.received);
                requests.push(PromotionRequest::Observe { host: candidate.clone() });
                let stage = Stage::CatchingUp { old, candidate, required, includes_old: true, until };
                self.set_stage(stage, Some(now + RETRY_INTERVAL));
            }
            (Stage::CatchingUp { old, candidate, .. }, Reply::NoResponse { host })
                if host == candidate || old.as_ref() == Some(&host) =>
            {
                self.abort(now, requests);
            }
            (Stage::Yielding { old, candidate }, Reply::Yielded) if !self.has_yielded => {
                self.has_yielded = true;
                self.set_stage(Stage::Yielding { old, candidate }, Some(now + NEW_REPLICA_WAIT));
            }
            (Stage::Promoting { old, candidate, planned, retries }, Reply::Platform { status }) => {
                match status {
                    200..=299 => {
                        let until = now + CONFIRM_TIMEOUT;
                        self.set_stage(
                            Stage::Confirming { candidate, planned, until },
                            Some(now + RETRY_INTERVAL),
                        );
                    }
                    409 => self.survey(now, None, false, hosts, requests),
                    // Safety: an unanswered call may have been carried out. The same host is named again:
                    // another one would become primary a term later, without the commits that this one took
                    // meanwhile.
                    _ if retries < 6 => {
                        let delay = RETRY_INTERVAL * f64::from(1 << retries.min(3));
                        let retries = retries + 1;
                        self.set_stage(
                            Stage::Promoting { old, candidate, planned, retries },
                            Some(now + delay),
                        );
                    }
                    _ => self.survey(now, None, false, hosts, requests),
                }
            }
            _ => {}
        }
    }
}
