//! Commits of a primary that is being replaced as planned: each is acknowledged once the candidate has
//! received it.
//!
//! Safety: a host that joins the service during the change is not paused, so the old primary may report a
//! commit that only this host has received. The candidate would be promoted without it. A reply that the
//! candidate does not confirm is treated as one that has not arrived: the statement ends at its deadline with
//! an unknown outcome, or at once when the candidate turns out to be primary already.

use arrowyard_protocol::{FaultCode, Position};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{HostId, TimeDelta, Timestamp};
use rustc_hash::FxHashMap;

use super::{RouterPlane, Timer};
use crate::host_connection::{ConnectionStage, ControlRequest, ExpectedReply, HostReply};

/// Interval at which the position of a candidate is requested while commits wait for it.
const OBSERVE_INTERVAL: TimeDelta = TimeDelta::from_millis(10);
/// A request that is not answered in this time is repeated on another connection.
const OBSERVE_TIMEOUT: TimeDelta = TimeDelta::from_millis(200);

/// A commit that waits for a candidate.
#[derive(Clone, Copy, Debug)]
struct WaitingCommit {
    /// The connection that keeps the reply.
    host_conn: Conn,
    /// Position that the old primary reported with the commit, or a later one.
    position: Position,
}

/// Commits that wait for one candidate.
#[derive(Debug, Default)]
struct CandidateChecks {
    waiting: Vec<WaitingCommit>,
    /// Newest known position of the candidate.
    received: Option<Position>,
    /// When the position was requested, until the answer arrives.
    requested_at: Option<Timestamp>,
}

/// What the position of a candidate says about a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Confirmation {
    /// The candidate has received the commit.
    Received,
    /// The candidate has not received it yet.
    Outstanding,
    /// The candidate leads a later term, and whether it had received the commit is unknown.
    Unknown,
}

/// Positions of different terms do not compare here: a promoted host has a higher one without everything that
/// the term before it contained.
fn confirm(commit: Position, received: Position) -> Confirmation {
    if received.term > commit.term {
        Confirmation::Unknown
    } else if received >= commit {
        Confirmation::Received
    } else {
        Confirmation::Outstanding
    }
}

/// Commits that wait for candidates.
#[derive(Debug, Default)]
pub struct CommitChecks {
    by_candidate: FxHashMap<HostId, CandidateChecks>,
}

impl CommitChecks {
    /// Updates the position of a candidate and takes the commits that it decides.
    fn take_decided(&mut self, candidate: HostId, received: Position) -> Vec<(WaitingCommit, Confirmation)> {
        let Some(checks) = self.by_candidate.get_mut(&candidate) else { return Vec::new() };
        checks.received = checks.received.max(Some(received));
        let is_decided =
            |commit: &WaitingCommit| confirm(commit.position, received) != Confirmation::Outstanding;
        let (decided, waiting) = std::mem::take(&mut checks.waiting).into_iter().partition(is_decided);
        checks.waiting = waiting;
        let decided: Vec<WaitingCommit> = decided;
        decided.into_iter().map(|commit| (commit, confirm(commit.position, received))).collect()
    }
}

impl RouterPlane {
    /// Keeps a reply that acknowledges a commit until the candidate of a planned replacement has received it.
    /// Returns every other reply.
    pub(super) fn hold_unconfirmed_commit(
        &mut self,
        now: Timestamp,
        host_conn: Conn,
        mut reply: HostReply,
        commands: &mut Commands,
    ) -> Option<HostReply> {
        if reply.fault.is_some() {
            return Some(reply);
        }
        let Some(name) = self.required_receiver(now, host_conn) else { return Some(reply) };
        // A candidate that this router has not heard of cannot be asked.
        let Some(candidate) = self.decision.host_id(&name) else {
            reply.fault = Some(unconfirmed_fault());
            return Some(reply);
        };
        let received = self.commit_checks.by_candidate.get(&candidate).and_then(|checks| checks.received);
        let confirmation = match (reply.position, received) {
            (None, _) => Confirmation::Unknown,
            (Some(_), None) => Confirmation::Outstanding,
            (Some(position), Some(received)) => confirm(position, received),
        };
        match (confirmation, reply.position) {
            (Confirmation::Outstanding, Some(position)) => {
                self.keep_reply(host_conn, reply);
                let checks = self.commit_checks.by_candidate.entry(candidate).or_default();
                checks.waiting.push(WaitingCommit { host_conn, position });
                self.observe_candidate(now, candidate, commands);
                None
            }
            (Confirmation::Received, _) => Some(reply),
            _ => {
                reply.fault = Some(unconfirmed_fault());
                Some(reply)
            }
        }
    }

    /// The candidate that has to confirm the commit that a connection has just answered.
    fn required_receiver(&mut self, now: Timestamp, host_conn: Conn) -> Option<String> {
        let connection = self.host_connection(host_conn)?;
        let (ConnectionStage::Assigned(session), host) = (connection.stage, connection.host) else {
            return None;
        };
        if !self.session(session)?.commits_writes() {
            return None;
        }
        let host = &self.decision.host(host).host;
        self.replacements.required_receiver(now, &host.service, &host.id).map(str::to_string)
    }

    /// The reply counts as expected again, so that time-outs, disconnects and resets find the connection in
    /// the state in which the host has not replied.
    fn keep_reply(&mut self, host_conn: Conn, reply: HostReply) {
        if let Some(connection) = self.host_connection(host_conn) {
            connection.expected.push_front(ExpectedReply::Client);
            connection.unconfirmed_reply = Some(reply);
        }
    }

    /// Requests the position of a candidate if commits wait for it, and sets the timer of the next request.
    pub(super) fn observe_candidate(&mut self, now: Timestamp, candidate: HostId, commands: &mut Commands) {
        let Some(checks) = self.commit_checks.by_candidate.get_mut(&candidate) else { return };
        if checks.waiting.is_empty() {
            return;
        }
        if checks.requested_at.is_some_and(|at| now - at < OBSERVE_TIMEOUT) {
            return;
        }
        checks.requested_at = Some(now);
        self.timers.set(now + OBSERVE_TIMEOUT, Timer::CommitCheck(candidate));
        self.start_control_request(now, candidate, ControlRequest::ObserveCandidate, commands);
    }

    /// A request for the position of a candidate was answered, or failed; the next one follows after a while.
    pub(super) fn candidate_observed(&mut self, now: Timestamp, candidate: HostId) {
        if let Some(checks) = self.commit_checks.by_candidate.get_mut(&candidate) {
            checks.requested_at = None;
            self.timers.set(now + OBSERVE_INTERVAL, Timer::CommitCheck(candidate));
        }
    }

    /// Ends the wait of the commits that a host's position decides.
    pub(super) fn host_position_known(
        &mut self,
        now: Timestamp,
        host: HostId,
        position: Option<Position>,
        commands: &mut Commands,
    ) {
        let Some(position) = position else { return };
        for (commit, confirmation) in self.commit_checks.take_decided(host, position) {
            self.release_reply(now, commit.host_conn, confirmation, commands);
        }
    }

    fn release_reply(
        &mut self,
        now: Timestamp,
        host_conn: Conn,
        confirmation: Confirmation,
        commands: &mut Commands,
    ) {
        let Some(connection) = self.host_connection(host_conn) else { return };
        let Some(mut reply) = connection.unconfirmed_reply.take() else { return };
        connection.expected.pop_front();
        if confirmation == Confirmation::Unknown {
            reply.fault = Some(unconfirmed_fault());
        }
        self.statement_replied(now, host_conn, reply, commands);
    }
}

fn unconfirmed_fault() -> (FaultCode, String) {
    (FaultCode::Unknown, "its host was replaced".to_string())
}
