//! Requests to hosts on behalf of control: replaced primaries are told to yield, and requests to hosts that
//! control cannot reach are relayed.

use arrowyard_messages::{
    Demotion, Host, HostStatus, Payload, RelayedRequest, RelayedResponse, encode_payload,
};
use arrowyard_protocol::{INTERNAL_STATEMENT_ID, Observed};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{HostId, TimeDelta, Timestamp};

use super::hosts::ORPHAN_TIMEOUT;
use super::{RouterPlane, Timer};
use crate::host_connection::{ConnectionStage, ControlRequest, ExpectedReply, HostReply};

/// How long control waits for the response to a relayed request. Invariant: a request is not sent later
/// than that, since it could reach the host after control has requested the opposite.
const RELAY_TIMEOUT: TimeDelta = TimeDelta::from_millis(300);

impl RouterPlane {
    /// Tells a replaced primary to yield to the term of its successor.
    pub(super) fn request_yield(&mut self, now: Timestamp, host: HostId, term: u64, commands: &mut Commands) {
        log::info!(
            "hosts: {} is being replaced as primary; telling it to yield to term {term}.",
            self.decision.host(host).host.id
        );
        self.start_control_request(now, host, ControlRequest::Yield(term), commands);
    }

    /// Relays a request to a host that control cannot reach.
    pub(super) fn relay_request(&mut self, now: Timestamp, request: RelayedRequest, commands: &mut Commands) {
        match self.decision.host_id(&request.host) {
            Some(host) => {
                let request = ControlRequest::Relayed(request, now + RELAY_TIMEOUT);
                self.start_control_request(now, host, request, commands);
            }
            None => self.send_relayed_response(&request, None, commands),
        }
    }

    /// Uses an idle connection, or opens one beyond the pool's limit: all others may wait for a host that
    /// answers nothing else.
    pub(super) fn start_control_request(
        &mut self,
        now: Timestamp,
        host: HostId,
        request: ControlRequest,
        commands: &mut Commands,
    ) {
        let idle = self.take_idle(host);
        let conn = idle.unwrap_or_else(|| self.dial_host(now, host, commands));
        if let Some(connection) = self.host_connection(conn) {
            connection.control_request = Some(request);
        }
        if idle.is_some() {
            self.send_control_request(now, conn, commands);
        }
    }

    /// Sends the request that a connection was taken for, unless it has expired.
    pub(super) fn send_control_request(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        let Some(connection) = self.host_connection(conn) else { return };
        let is_expired = matches!(
            &connection.control_request,
            Some(ControlRequest::Relayed(_, deadline)) if now > *deadline
        );
        let statement =
            connection.control_request.as_ref().filter(|_| !is_expired).and_then(ControlRequest::statement);
        let Some(statement) = statement else {
            self.cancel_control_request(conn, commands);
            return self.make_idle(now, conn, commands);
        };
        connection.set_stage(now, ConnectionStage::Orphaned);
        connection.expected.push_back(ExpectedReply::ControlRequest);
        commands.write_line(conn, &["QUERY ", INTERNAL_STATEMENT_ID, " ", &statement]);
        self.timers.set(now + ORPHAN_TIMEOUT, Timer::HostConnection(conn));
    }

    /// Reports a host's reply to control.
    pub(super) fn control_request_answered(
        &mut self,
        now: Timestamp,
        conn: Conn,
        host: HostId,
        reply: &HostReply,
        commands: &mut Commands,
    ) {
        let request = self.host_connection(conn).and_then(|connection| connection.control_request.take());
        match request {
            Some(ControlRequest::Yield(_)) if reply.fault.is_none() => self.report_demotion(host, commands),
            Some(ControlRequest::Relayed(request, _)) => {
                self.send_relayed_response(&request, host_status(reply), commands);
            }
            Some(ControlRequest::ObserveCandidate) => self.candidate_observed(now, host),
            _ => {}
        }
    }

    /// Takes an unsent request off its connection and reports its failure.
    pub(super) fn cancel_control_request(&mut self, conn: Conn, commands: &mut Commands) {
        let request = self.host_connection(conn).and_then(|connection| connection.control_request.take());
        self.control_request_failed(request, commands);
    }

    /// Reports to control at once that a relayed request will not be answered.
    pub(super) fn control_request_failed(
        &mut self,
        request: Option<ControlRequest>,
        commands: &mut Commands,
    ) {
        if let Some(ControlRequest::Relayed(request, _)) = request {
            self.send_relayed_response(&request, None, commands);
        }
    }

    fn send_relayed_response(
        &self,
        request: &RelayedRequest,
        status: Option<HostStatus>,
        commands: &mut Commands,
    ) {
        let response = RelayedResponse { asked_by: request.asked_by, number: request.number, row: status };
        self.send_to_control(Payload::RelayedResponse(response), commands);
    }

    /// Reports to control that an old primary has yielded.
    fn report_demotion(&self, host: HostId, commands: &mut Commands) {
        let Host { service, id, .. } = self.decision.host(host).host.clone();
        self.send_to_control(Payload::Demotion(Demotion { service, host: id }), commands);
    }

    pub(super) fn send_to_control(&self, payload: Payload, commands: &mut Commands) {
        if let Some(conn) = self.feed.open_conn() {
            commands.write(conn, &[&encode_payload(payload)]);
        }
    }
}

/// The host status in the reply to a relayed request.
fn host_status(reply: &HostReply) -> Option<HostStatus> {
    let observed = reply.observed().filter(|_| reply.fault.is_none())?;
    let Observed { primary, term, received } = observed;
    Some(HostStatus { primary, term, received_term: received.term, received_number: received.number })
}
