//! The calls of hosts and operators. The page of calls is `openapi/control.yaml`.

use std::net::SocketAddrV4;

use arrowyard_config::{ConfigError, Configuration};
use arrowyard_messages::{ConfigRevision, DbRole, Entry, EntryPayload, Host, Phase, ip_to_u32};
use arrowyard_runtime::http::{HttpDecoder, Request, format_response};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{TimeDelta, Timestamp};
use sonic_rs::{JsonValueTrait, Value};

use super::{Control, Line};
use crate::applied_state::to_change;
use crate::{ChangeStatus, Output, ProposalId, ProposalOutcome, ReplicatedLog};

/// Hosts and routers that this many calls wait for at most on one connection.
const BASE: &str = "Arrowyard-Base-Revision";
/// An operator's call is answered by then, as unclear if need be.
const CLEAR: TimeDelta = TimeDelta::from_millis(2500);

/// A caller's connection.
#[derive(Default)]
pub struct Caller {
    pub messages: HttpDecoder,
    /// Whether the answer to a call waits for others; the next call waits behind it.
    waits: bool,
    last: bool,
}

/// What waits for the ledger.
#[derive(Clone, Debug)]
pub enum Pending {
    Change {
        conn: Conn,
        revised: ConfigRevision,
        revision: u64,
    },
    /// It builds on a version that is not known here: first it is learnt what there is.
    Learn {
        conn: Conn,
        revised: ConfigRevision,
    },
    Read {
        conn: Conn,
    },
}

fn fault(text: &str) -> String {
    format!("{{\"error\":{}}}", sonic_rs::to_string(text).unwrap_or_default())
}

impl Control {
    /// Answers the calls of a connection that are whole, in their order.
    pub(super) fn calls(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        loop {
            let Some(Line::Caller(caller)) = self.lines.get_mut(&conn) else { return };
            if caller.waits {
                return;
            }
            match caller.messages.next_request() {
                Ok(None) => return,
                Err(unreadable) => {
                    commands.write(conn, &[format_response(unreadable.0, &fault(unreadable.1)).as_bytes()]);
                    commands.close(conn);
                    drop(self.lines.remove(&conn));
                    return;
                }
                Ok(Some(request)) => {
                    caller.last = request.close_connection;
                    self.call(now, conn, &request, commands);
                }
            }
        }
    }

    pub(super) fn reply(&mut self, conn: Conn, status: u16, body: &str, commands: &mut Commands) {
        let Some(Line::Caller(caller)) = self.lines.get_mut(&conn) else { return };
        caller.waits = false;
        commands.write(conn, &[format_response(status, body).as_bytes()]);
        if caller.last {
            commands.close(conn);
            drop(self.lines.remove(&conn));
        }
    }

    fn call(&mut self, now: Timestamp, conn: Conn, request: &Request, commands: &mut Commands) {
        let path = request.path.split('?').next().unwrap_or_default();
        if path != "/status" && !self.is_in_touch(now) {
            return self.reply(conn, 503, &fault("Cut off from the others; ask elsewhere."), commands);
        }
        let named = |prefix: &str| path.strip_prefix(prefix).filter(|id| !id.is_empty());
        match (request.method.as_str(), path) {
            ("POST", _) if named("/Instances.Beat/").is_some() => {
                let id = named("/Instances.Beat/").unwrap_or_default();
                match beat(id, &request.body) {
                    Ok(host) => self.beat(now, conn, host, commands),
                    Err(why) => self.reply(conn, 400, &fault(why), commands),
                }
            }
            ("POST", _) if named("/Instances.Leave/").is_some() => {
                let id = named("/Instances.Leave/").unwrap_or_default();
                self.leave(now, conn, id, commands);
            }
            ("POST", "/Config.Replace" | "/Config.Adjust") => {
                let Some(base) = request.header(BASE).and_then(|base| base.parse().ok()) else {
                    return self.reply(conn, 400, &fault("Arrowyard-Base-Revision: is no number."), commands);
                };
                if self.is_founding(now) {
                    return self.reply(
                        conn,
                        503,
                        &fault("Not all seats are filled yet; ask again."),
                        commands,
                    );
                }
                let revised =
                    ConfigRevision { whole: path == "/Config.Replace", base, body: request.body.clone() };
                self.change(now, conn, revised, true, commands);
            }
            ("GET", "/Config.Read") => {
                let until = now + CLEAR;
                let pending = Pending::Read { conn };
                self.propose(now, conn, pending, commands, |ledger, out| {
                    ledger.propose_read(now, until, out)
                });
            }
            ("GET", "/status") => {
                let body = self.status(now);
                self.reply(conn, 200, &body, commands);
            }
            _ => self.reply(conn, 404, &fault("There is no such call."), commands),
        }
    }

    /// Proposes something to the ledger, for a caller who waits for it.
    fn propose(
        &mut self,
        now: Timestamp,
        conn: Conn,
        pending: Pending,
        commands: &mut Commands,
        proposal: impl FnOnce(&mut ReplicatedLog, &mut Vec<Output>) -> ProposalId,
    ) {
        // Danger: the answer may come before the proposal is made; what it is for is laid down first.
        let ticket = self.ledger.next_proposal();
        self.pending.insert(ticket, pending);
        self.wait_for(conn);
        self.with_ledger(now, commands, proposal);
    }

    /// The answer to a caller is not known yet.
    pub(super) fn wait_for(&mut self, conn: Conn) {
        if let Some(Line::Caller(caller)) = self.lines.get_mut(&conn) {
            caller.waits = true;
        }
    }

    /// A host calls: it is known from now on, and where its own zone has a control machine, it is sent there.
    fn beat(&mut self, now: Timestamp, conn: Conn, host: Host, commands: &mut Commands) {
        self.silent.remove(&host.id);
        let zone = host.zone.clone();
        if self.cell.record_heartbeat(now, host.clone()) {
            self.news_of(now, host.clone(), commands);
        }
        let near = if zone == self.settings.zone { None } else { self.peer_in(now, &zone) };
        let body = match near.and_then(|ip| self.control_of(ip)) {
            Some(target) => format!("{{\"beat-target\":\"{target}\"}}"),
            None => "{}".to_string(),
        };
        if host.phase() == Phase::InService {
            self.reply(conn, 200, &body, commands);
        } else {
            self.departs(now, conn, host, body, commands);
        }
    }

    /// A host has left. One that was never heard of here may be known elsewhere, so that is told and kept all the same.
    fn leave(&mut self, now: Timestamp, conn: Conn, id: &str, commands: &mut Commands) {
        self.silent.remove(id);
        let known = self.cell.get(id).cloned();
        let gone = match known {
            Some(host) if host.phase() == Phase::Gone => host,
            Some(host) => Host { phase: Phase::Gone.into(), call_seq: host.call_seq + 1, ..host },
            None => Host { id: id.to_string(), phase: Phase::Gone.into(), ..Host::default() },
        };
        if self.cell.record_heartbeat(now, gone.clone()) {
            self.news_of(now, gone.clone(), commands);
        }
        self.departs(now, conn, gone, "{}".to_string(), commands);
    }

    /// An operator's change: answered at once where that is certain, else entered in the ledger.
    fn change(
        &mut self,
        now: Timestamp,
        conn: Conn,
        revised: ConfigRevision,
        first: bool,
        commands: &mut Commands,
    ) {
        let applied = self.ledger.applied();
        let alone = if revised.whole { Configuration::default().replace(&revised.body).err() } else { None };
        if let Some(refusal) = alone.filter(|refusal| !matches!(refusal, ConfigError::Old(..))) {
            return self.refuse(conn, &refusal, commands);
        }
        let revision = revision(&revised.body);
        match applied.change_status(&revised, revision) {
            ChangeStatus::Applicable => {}
            ChangeStatus::BaseUnknown if first => {
                let until = now + CLEAR;
                let pending = Pending::Learn { conn, revised };
                return self.propose(now, conn, pending, commands, |ledger, out| {
                    ledger.propose_read(now, until, out)
                });
            }
            standing => return self.answer_standing(conn, standing, revision, commands),
        }
        match to_change(&revised).apply(&applied.configuration) {
            Err(refusal) => self.refuse(conn, &refusal, commands),
            Ok(next) => {
                let (until, revision) = (now + CLEAR, next.revision);
                let entry = Entry { payload: Some(EntryPayload::Configuration(revised.clone())) };
                let pending = Pending::Change { conn, revised, revision };
                self.propose(now, conn, pending, commands, |ledger, out| {
                    ledger.propose_entry(now, entry, until, out)
                });
            }
        }
    }

    /// Answers a change that is not to be entered.
    fn answer_standing(
        &mut self,
        conn: Conn,
        standing: ChangeStatus,
        revision: Option<u64>,
        commands: &mut Commands,
    ) {
        match standing {
            ChangeStatus::Applied => {
                log::info!("configuration: Revision {} is in place.", revision.unwrap_or_default());
                self.reply(conn, 200, "{}", commands);
            }
            // Safety: a change that was taken is never refused, however long ago that was.
            ChangeStatus::HistoryExpired => {
                let body =
                    fault("So many changes were taken since that it is not known whether this one was.");
                self.reply(conn, 503, &body, commands);
            }
            ChangeStatus::Applicable => {
                self.reply(conn, 503, &fault("It is not clear yet; ask again."), commands)
            }
            ChangeStatus::BaseUnknown | ChangeStatus::Superseded => {
                let current = self.ledger.applied().configuration.revision;
                self.reply(conn, 412, &fault(&format!("Revision {current} is in place.")), commands);
            }
        }
    }

    fn refuse(&mut self, conn: Conn, refusal: &ConfigError, commands: &mut Commands) {
        log::info!("configuration: A change is refused: {refusal}.");
        self.reply(conn, 400, &fault(&refusal.to_string()), commands);
    }

    /// The ledger answers a proposal.
    pub(super) fn answered(
        &mut self,
        now: Timestamp,
        proposal: ProposalId,
        answer: ProposalOutcome,
        commands: &mut Commands,
    ) {
        if self.proposal_answered(now, proposal, answer, commands)
            || self.confirmation_answered(now, proposal, answer, commands)
        {
            return;
        }
        // Nobody waits for a ballot of a duty: the ledger itself tells who holds it.
        let Some(pending) = self.pending.remove(&proposal) else { return };
        let conn = match &pending {
            Pending::Change { conn, .. } | Pending::Learn { conn, .. } | Pending::Read { conn } => *conn,
        };
        match (pending, answer) {
            (_, ProposalOutcome::Unknown) => {
                self.reply(conn, 503, &fault("It is not clear yet; ask again."), commands)
            }
            (_, ProposalOutcome::QueueFull) => {
                self.reply(conn, 503, &fault("Too much waits here; nothing was done."), commands)
            }
            (Pending::Change { revised, revision, .. }, _) => {
                let standing = self.ledger.applied().change_status(&revised, Some(revision));
                self.answer_standing(conn, standing, Some(revision), commands);
            }
            (Pending::Learn { revised, .. }, _) => self.change(now, conn, revised, false, commands),
            (Pending::Read { .. }, _) => {
                if self.ledger.applied().has_configuration {
                    let body = self.ledger.applied().configuration.body();
                    self.reply(conn, 200, &body, commands);
                } else {
                    self.reply(conn, 404, &fault("There is no configuration yet."), commands);
                }
            }
        }
        // Calls that came behind it.
        self.calls(now, conn, commands);
    }
}

fn revision(body: &[u8]) -> Option<u64> {
    sonic_rs::get(body, ["revision"]).ok()?.as_u64()
}

/// Reads what a host tells of itself.
fn beat(id: &str, body: &[u8]) -> Result<Host, &'static str> {
    let document: Value = sonic_rs::from_slice(body).map_err(|_| "The body is no JSON.")?;
    let text = |field: &str| document.pointer([field]).and_then(|value| value.as_str()).map(str::to_string);
    let count = |field: &str| document.pointer([field]).and_then(|value| value.as_f64());
    let address: SocketAddrV4 =
        text("address").and_then(|address| address.parse().ok()).ok_or("address: is no address.")?;
    let phase = match text("phase").as_deref() {
        Some("draining") => Phase::Draining,
        Some("in_service") | None => Phase::InService,
        Some(_) => return Err("phase: is no phase."),
    };
    let role = if text("db-role").as_deref() == Some("primary") { DbRole::Primary } else { DbRole::Replica };
    Ok(Host {
        id: id.to_string(),
        service: text("service").filter(|service| !service.is_empty()).ok_or("service: is no text.")?,
        ip: ip_to_u32(*address.ip()),
        port: address.port().into(),
        zone: text("zone").unwrap_or_default(),
        capacity: count("capacity").unwrap_or(1.0).clamp(1.0, 1e6) as u32,
        phase: phase.into(),
        role: role.into(),
        call_seq: count("call-seq").unwrap_or(0.0).max(0.0) as u64,
    })
}
