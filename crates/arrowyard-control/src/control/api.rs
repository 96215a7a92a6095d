//! Calls of hosts and operators, described in `openapi/control.yaml`.

use arrowyard_config::{ConfigError, Configuration};
use arrowyard_messages::{ConfigRevision, Entry, EntryPayload, Host, Phase};
use arrowyard_runtime::http::{HttpDecoder, Request, format_response};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{TimeDelta, Timestamp};
use sonic_rs::JsonValueTrait;

use super::heartbeat::parse_heartbeat;
use super::{Connection, Control};
use crate::applied_state::to_change;
use crate::{ChangeStatus, Output, ProposalId, ProposalOutcome, ReplicatedLog};

/// Header with the revision that an operator's change builds on.
const BASE_REVISION_HEADER: &str = "Arrowyard-Base-Revision";
/// Time after which an operator's call is answered as undecided.
const CALL_TIMEOUT: TimeDelta = TimeDelta::from_millis(2500);

/// Connection of a host or an operator.
#[derive(Default)]
pub struct ApiConnection {
    pub messages: HttpDecoder,
    /// Whether the current call awaits its outcome; later calls on the connection wait behind it.
    awaits_outcome: bool,
    close_after_reply: bool,
}

/// A call that waits for the outcome of a proposal.
#[derive(Clone, Debug)]
pub enum PendingCall {
    Change {
        conn: Conn,
        revised: ConfigRevision,
        revision: u64,
    },
    /// The base revision is unknown here: a read brings this machine up to date first.
    CatchUp {
        conn: Conn,
        revised: ConfigRevision,
    },
    Read {
        conn: Conn,
    },
}

fn error_body(text: &str) -> String {
    format!("{{\"error\":{}}}", sonic_rs::to_string(text).unwrap_or_default())
}

impl Control {
    /// Handles the complete requests of a connection in order.
    pub(super) fn process_calls(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        loop {
            let Some(Connection::Api(connection)) = self.connections.get_mut(&conn) else { return };
            if connection.awaits_outcome {
                return;
            }
            match connection.messages.next_request() {
                Ok(None) => return,
                Err(unreadable) => {
                    commands
                        .write(conn, &[format_response(unreadable.0, &error_body(unreadable.1)).as_bytes()]);
                    commands.close(conn);
                    drop(self.connections.remove(&conn));
                    return;
                }
                Ok(Some(request)) => {
                    connection.close_after_reply = request.close_connection;
                    self.handle_call(now, conn, &request, commands);
                }
            }
        }
    }

    pub(super) fn reply(&mut self, conn: Conn, status: u16, body: &str, commands: &mut Commands) {
        let Some(Connection::Api(connection)) = self.connections.get_mut(&conn) else { return };
        connection.awaits_outcome = false;
        commands.write(conn, &[format_response(status, body).as_bytes()]);
        if connection.close_after_reply {
            commands.close(conn);
            drop(self.connections.remove(&conn));
        }
    }

    fn handle_call(&mut self, now: Timestamp, conn: Conn, request: &Request, commands: &mut Commands) {
        let path = request.path.split('?').next().unwrap_or_default();
        if path != "/status" && !self.can_reach_quorum(now) {
            return self.reply(conn, 503, &error_body("Cut off from the others; ask elsewhere."), commands);
        }
        let named = |prefix: &str| path.strip_prefix(prefix).filter(|id| !id.is_empty());
        match (request.method.as_str(), path) {
            ("POST", _) if named("/Instances.Beat/").is_some() => {
                let id = named("/Instances.Beat/").unwrap_or_default();
                match parse_heartbeat(id, &request.body) {
                    Ok(host) => self.handle_heartbeat(now, conn, host, commands),
                    Err(why) => self.reply(conn, 400, &error_body(why), commands),
                }
            }
            ("POST", _) if named("/Instances.Leave/").is_some() => {
                let id = named("/Instances.Leave/").unwrap_or_default();
                self.handle_leave(now, conn, id, commands);
            }
            ("POST", "/Config.Replace" | "/Config.Adjust") => {
                let Some(base) = request.header(BASE_REVISION_HEADER).and_then(|base| base.parse().ok())
                else {
                    return self.reply(
                        conn,
                        400,
                        &error_body("Arrowyard-Base-Revision: is no number."),
                        commands,
                    );
                };
                if self.is_bootstrapping(now) {
                    return self.reply(
                        conn,
                        503,
                        &error_body("Not all seats are filled yet; ask again."),
                        commands,
                    );
                }
                let revised =
                    ConfigRevision { whole: path == "/Config.Replace", base, body: request.body.clone() };
                self.handle_change(now, conn, revised, true, commands);
            }
            ("GET", "/Config.Read") => {
                let until = now + CALL_TIMEOUT;
                let pending = PendingCall::Read { conn };
                self.propose(now, conn, pending, commands, |log, out| log.propose_read(now, until, out));
            }
            ("GET", "/status") => {
                let body = self.status(now);
                self.reply(conn, 200, &body, commands);
            }
            _ => self.reply(conn, 404, &error_body("There is no such call."), commands),
        }
    }

    /// Makes a proposal on behalf of a call.
    fn propose(
        &mut self,
        now: Timestamp,
        conn: Conn,
        pending: PendingCall,
        commands: &mut Commands,
        proposal: impl FnOnce(&mut ReplicatedLog, &mut Vec<Output>) -> ProposalId,
    ) {
        // Register the call first: the outcome may be reported before `proposal` returns.
        let ticket = self.replicated_log.next_proposal();
        self.pending.insert(ticket, pending);
        self.await_outcome(conn);
        self.with_log(now, commands, proposal);
    }

    /// Defers further calls on the connection until the current one is answered.
    pub(super) fn await_outcome(&mut self, conn: Conn) {
        if let Some(Connection::Api(connection)) = self.connections.get_mut(&conn) {
            connection.awaits_outcome = true;
        }
    }

    /// Records a host's heartbeat. Refers the host to a control machine of its own zone if there is one.
    fn handle_heartbeat(&mut self, now: Timestamp, conn: Conn, host: Host, commands: &mut Commands) {
        let is_new_here = self.registry.last_heartbeat_at(&host.id).is_none();
        let was_silent = self.end_silence(&host.id);
        let zone = host.zone.clone();
        if self.registry.record_heartbeat(now, host.clone()) {
            self.publish_host_change(now, host.clone(), commands);
        } else if was_silent || is_new_here {
            self.publish_heard(&host.id, commands);
        }
        let zone_control = if zone == self.settings.zone { None } else { self.peer_in_zone(now, &zone) };
        let body = match zone_control.and_then(|ip| self.api_address(ip)) {
            Some(target) => format!("{{\"beat-target\":\"{target}\"}}"),
            None => "{}".to_string(),
        };
        if host.phase() == Phase::InService {
            self.reply(conn, 200, &body, commands);
        } else {
            self.begin_departure(now, conn, host, body, commands);
        }
    }

    /// Records the departure of a host. A host unknown here may be known elsewhere, so its departure is
    /// stored and published as well.
    fn handle_leave(&mut self, now: Timestamp, conn: Conn, id: &str, commands: &mut Commands) {
        self.end_silence(id);
        let known = self.registry.get(id).cloned();
        let departed = self.record_departure(
            now,
            known.unwrap_or_else(|| Host { id: id.to_string(), ..Host::default() }),
            commands,
        );
        self.begin_departure(now, conn, departed, "{}".to_string(), commands);
    }

    /// Records and publishes that a host has departed; returns its record.
    pub(super) fn record_departure(&mut self, now: Timestamp, host: Host, commands: &mut Commands) -> Host {
        if host.phase() == Phase::Gone {
            return host;
        }
        let departed = Host { phase: Phase::Gone.into(), call_seq: host.call_seq + 1, ..host };
        if self.registry.record_heartbeat(now, departed.clone()) {
            self.publish_host_change(now, departed.clone(), commands);
        }
        departed
    }

    /// Handles an operator's change: answers at once if the result is certain, otherwise proposes it.
    fn handle_change(
        &mut self,
        now: Timestamp,
        conn: Conn,
        revised: ConfigRevision,
        may_catch_up: bool,
        commands: &mut Commands,
    ) {
        let applied = self.replicated_log.applied();
        let invalid =
            if revised.whole { Configuration::default().replace(&revised.body).err() } else { None };
        if let Some(refusal) = invalid.filter(|refusal| !matches!(refusal, ConfigError::StaleRevision(..))) {
            return self.reject_change(conn, &refusal, commands);
        }
        let revision = parse_revision(&revised.body);
        match applied.change_status(&revised, revision) {
            ChangeStatus::Applicable => {}
            ChangeStatus::BaseUnknown if may_catch_up => {
                let until = now + CALL_TIMEOUT;
                let pending = PendingCall::CatchUp { conn, revised };
                return self
                    .propose(now, conn, pending, commands, |log, out| log.propose_read(now, until, out));
            }
            status => return self.reply_with_status(conn, status, revision, commands),
        }
        match to_change(&revised).apply(&applied.configuration) {
            Err(refusal) => self.reject_change(conn, &refusal, commands),
            Ok(next) => {
                let (until, revision) = (now + CALL_TIMEOUT, next.revision);
                let entry = Entry { payload: Some(EntryPayload::Configuration(revised.clone())) };
                let pending = PendingCall::Change { conn, revised, revision };
                self.propose(now, conn, pending, commands, |log, out| {
                    log.propose_entry(now, entry, until, out)
                });
            }
        }
    }

    /// Answers a change that is not proposed.
    fn reply_with_status(
        &mut self,
        conn: Conn,
        status: ChangeStatus,
        revision: Option<u64>,
        commands: &mut Commands,
    ) {
        match status {
            ChangeStatus::Applied => {
                log::info!("configuration: revision {} is applied", revision.unwrap_or_default());
                self.reply(conn, 200, "{}", commands);
            }
            // Safety: a change that was applied is never refused, however long ago that was.
            ChangeStatus::HistoryExpired => {
                let body =
                    error_body("So many changes were taken since that it is not known whether this one was.");
                self.reply(conn, 503, &body, commands);
            }
            ChangeStatus::Applicable => {
                self.reply(conn, 503, &error_body("It is not clear yet; ask again."), commands)
            }
            ChangeStatus::BaseUnknown | ChangeStatus::Superseded => {
                let current = self.replicated_log.applied().configuration.revision;
                self.reply(conn, 412, &error_body(&format!("Revision {current} is in place.")), commands);
            }
        }
    }

    fn reject_change(&mut self, conn: Conn, refusal: &ConfigError, commands: &mut Commands) {
        log::info!("configuration: rejected a change: {refusal}");
        self.reply(conn, 400, &error_body(&refusal.to_string()), commands);
    }

    /// Handles the outcome of a proposal.
    pub(super) fn proposal_resolved(
        &mut self,
        now: Timestamp,
        proposal: ProposalId,
        outcome: ProposalOutcome,
        commands: &mut Commands,
    ) {
        if self.decision_resolved(now, proposal, outcome, commands)
            || self.confirmation_resolved(now, proposal, outcome, commands)
        {
            return;
        }
        // Proposals for a duty have no caller: the applied state shows the holder.
        let Some(pending) = self.pending.remove(&proposal) else { return };
        let conn = match &pending {
            PendingCall::Change { conn, .. }
            | PendingCall::CatchUp { conn, .. }
            | PendingCall::Read { conn } => *conn,
        };
        match (pending, outcome) {
            (_, ProposalOutcome::Unknown) => {
                self.reply(conn, 503, &error_body("It is not clear yet; ask again."), commands)
            }
            (_, ProposalOutcome::QueueFull) => {
                self.reply(conn, 503, &error_body("Too much waits here; nothing was done."), commands)
            }
            (PendingCall::Change { revised, revision, .. }, _) => {
                let status = self.replicated_log.applied().change_status(&revised, Some(revision));
                self.reply_with_status(conn, status, Some(revision), commands);
            }
            (PendingCall::CatchUp { revised, .. }, _) => {
                self.handle_change(now, conn, revised, false, commands)
            }
            (PendingCall::Read { .. }, _) => {
                if self.replicated_log.applied().has_configuration {
                    let body = self.replicated_log.applied().configuration.body();
                    self.reply(conn, 200, &body, commands);
                } else {
                    self.reply(conn, 404, &error_body("There is no configuration yet."), commands);
                }
            }
        }
        // Process the calls that were deferred behind this one.
        self.process_calls(now, conn, commands);
    }
}

fn parse_revision(body: &[u8]) -> Option<u64> {
    sonic_rs::get(body, ["revision"]).ok()?.as_u64()
}
