//! A pooled connection to a database host, used by one session at a time.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use arrowyard_fair_shares::ClassId;
use arrowyard_messages::{HostRequest, RelayedRequest};
use arrowyard_protocol::{AccessMode, FaultCode, LineDecoder, Observed, Position};
use arrowyard_runtime::Conn;
use arrowyard_types::{HostId, OpId, SendIndex, Timestamp};
use rustc_hash::FxHashSet;

/// A session's variables by name, shared between sessions and connections that have the same ones.
pub type SessionVariables = Rc<BTreeMap<String, String>>;

/// What the next reply of the host answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedReply {
    Open,
    /// A session variable or prepared statement that is set up before a statement.
    Setup,
    Begin,
    Client,
    Abort,
    Observe,
    /// A request that control has for the host.
    ControlRequest,
}

/// A request to a host on behalf of control.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlRequest {
    /// The host is being replaced as primary and is to yield to this term.
    Yield(u64),
    /// The host is the candidate of a planned replacement; its position confirms commits of the old primary.
    ObserveCandidate,
    /// Control cannot reach the host. After this time control no longer waits for the response.
    Relayed(RelayedRequest, Timestamp),
}

impl ControlRequest {
    /// The statement to send; `None` for a request of an unknown type.
    pub fn statement(&self) -> Option<String> {
        let (request, _) = match self {
            ControlRequest::Yield(term) => return Some(format!("YIELD {term}")),
            ControlRequest::ObserveCandidate => return Some("OBSERVE".to_string()),
            ControlRequest::Relayed(request, until) => (request, until),
        };
        match HostRequest::try_from(request.request).ok()? {
            HostRequest::Observe => Some("OBSERVE".to_string()),
            HostRequest::Pause => Some(format!("PAUSE {}", request.term)),
            HostRequest::Continue => Some("CONTINUE".to_string()),
        }
    }
}

/// The stage of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionStage {
    Opening,
    Idle,
    /// In use by a session, for one statement or for its transaction.
    Assigned(Conn),
    /// No longer in use, but the host has not replied to everything yet. It becomes idle after the last
    /// reply.
    Orphaned,
}

/// A statement that the decision module sent to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentStatement {
    pub op: OpId,
    pub send: SendIndex,
    /// When the decision module sent it, and when it was written to the connection.
    pub sent_at: Timestamp,
    pub written_at: Option<Timestamp>,
    /// The class that it counts as in the fair shares.
    pub class: ClassId,
}

/// A connection to a host.
pub struct HostConnection {
    pub conn: Conn,
    pub host: HostId,
    pub stage: ConnectionStage,
    pub decoder: LineDecoder,
    pub expected: VecDeque<ExpectedReply>,
    /// The session variables and the prepared statements that are set up on it.
    pub variables: SessionVariables,
    pub prepared: FxHashSet<u32>,
    pub in_transaction: bool,
    pub sent: Option<SentStatement>,
    /// The class of the session that last used it.
    pub class: Option<ClassId>,
    /// Statements written later to the same host that are already answered.
    pub overtaken: u32,
    /// The reply being received: its rows as encoded, its stamp, its fault.
    pub rows: Vec<u8>,
    pub stamp: Option<String>,
    pub fault: Option<(FaultCode, String)>,
    pub opened_at: Timestamp,
    pub stage_since: Timestamp,
    /// The request of control that it is used for next or now.
    pub control_request: Option<ControlRequest>,
    /// The complete reply to a commit that the candidate of a planned replacement has not confirmed yet. The
    /// reply still counts as expected.
    pub unconfirmed_reply: Option<HostReply>,
}

impl HostConnection {
    /// A connection that was just dialed.
    pub fn new(conn: Conn, host: HostId, now: Timestamp) -> Self {
        HostConnection {
            conn,
            host,
            stage: ConnectionStage::Opening,
            decoder: LineDecoder::default(),
            expected: VecDeque::from([ExpectedReply::Open]),
            variables: SessionVariables::default(),
            prepared: FxHashSet::default(),
            in_transaction: false,
            sent: None,
            class: None,
            overtaken: 0,
            rows: Vec::new(),
            stamp: None,
            fault: None,
            opened_at: now,
            stage_since: now,
            control_request: None,
            unconfirmed_reply: None,
        }
    }

    /// Changes the stage and the time of the change.
    pub fn set_stage(&mut self, now: Timestamp, stage: ConnectionStage) {
        (self.stage, self.stage_since) = (stage, now);
    }

    /// The statements that set up exactly these variables and the prepared statement. Variables left over
    /// from another session can only be cleared all together, which also drops the prepared statements.
    pub fn setup_statements(
        &mut self,
        variables: &SessionVariables,
        prepare: Option<(u32, AccessMode, &str)>,
    ) -> Vec<String> {
        let mut statements = Vec::new();
        if !Rc::ptr_eq(&self.variables, variables) && self.variables != *variables {
            let left_over = self.variables.keys().any(|name| !variables.contains_key(name));
            if left_over {
                statements.push("CLEAR".to_string());
                self.prepared.clear();
            }
            for (name, value) in variables.iter() {
                if left_over || self.variables.get(name) != Some(value) {
                    statements.push(format!("ASSIGN {name} {value}"));
                }
            }
        }
        self.variables = variables.clone();
        if let Some((number, mode, shape)) = prepare
            && self.prepared.insert(number)
        {
            statements.push(format!("DEFINE g{number} {} {shape}", mode.as_str()));
        }
        statements
    }
}

/// A host's complete reply to one statement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostReply {
    pub rows: Vec<u8>,
    pub stamp: Option<String>,
    pub fault: Option<(FaultCode, String)>,
    pub position: Option<Position>,
    pub in_transaction: bool,
}

impl HostReply {
    /// The newest position of its log that the host reports, if this is the reply to OBSERVE or a request with
    /// the same rows: the received one, or else the applied one.
    pub fn newest_position(&self) -> Option<Position> {
        let received = self.observed().filter(|_| self.fault.is_none()).map(|row| row.received);
        received.max(self.position)
    }

    /// The state that the host reports, if this is the reply to OBSERVE or a request with the same rows.
    pub fn observed(&self) -> Option<Observed> {
        let text = String::from_utf8_lossy(&self.rows);
        let line = text.split("\r\n").next()?;
        Observed::parse(arrowyard_protocol::split_word(line).1)
    }
}
