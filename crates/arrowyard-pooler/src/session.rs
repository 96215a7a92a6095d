//! A client's session: its state as the client sees it, and its pending statement.

use std::collections::VecDeque;
use std::rc::Rc;

use arrowyard_config::Route;
use arrowyard_fair_shares::ClassId;
use arrowyard_protocol::{AccessMode, FaultCode, LineDecoder, Position, TransactionState};
use arrowyard_runtime::Conn;
use arrowyard_types::{HostId, OpId, OpTypeId, TimeDelta, Timestamp};
use bytes::Bytes;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::host_connection::SessionVariables;
use crate::routes::StatementKind;

/// The stage of a session.
#[derive(Debug)]
pub enum SessionStage {
    /// The client has not opened a database yet.
    New,
    /// The client opened this database before the router has received a configuration.
    AwaitingConfiguration(String),
    Idle,
    /// A statement is pending.
    Running(Box<PendingStatement>),
}

/// A statement that was handed to the decision module and is not answered yet.
#[derive(Debug)]
pub struct PendingStatement {
    pub id: String,
    /// As sent to the host.
    pub text: String,
    pub op: OpId,
    pub op_type: OpTypeId,
    /// The route that it was accepted under. Invariant: its consistency requirement is derived from this
    /// one until it ends; the configuration may drop or change the route while the statement waits for a
    /// connection.
    pub route: Rc<Route>,
    /// The class that it counts as in the fair shares, and the hosts that it is queued for.
    pub class: ClassId,
    pub queued_for: SmallVec<[HostId; 4]>,
    pub kind: StatementKind,
    pub is_commit: bool,
    pub is_write: bool,
    /// The prepared statement that it needs on its connection.
    pub prepare: Option<(u32, AccessMode, Rc<str>)>,
    pub arrived_at: Timestamp,
    /// The number of sends so far, the host of the last one, and its connection.
    pub sends: u32,
    pub host: Option<HostId>,
    pub host_conn: Option<Conn>,
    /// Whether it is a single read that runs in a transaction of the router's own, which fails unless the
    /// host is primary.
    pub verifies_primary: bool,
    pub timer: Option<(Timestamp, u64)>,
    /// How long it may wait for a connection.
    pub connection_wait: TimeDelta,
    /// The last fault that a host replied to it.
    pub last_fault: Option<(FaultCode, String)>,
}

/// A client's transaction.
#[derive(Clone, Debug)]
pub struct Transaction {
    pub route: Rc<Route>,
    pub read_only: bool,
    pub began_at: Timestamp,
    /// Whether a write in it was answered.
    pub wrote: bool,
    /// The connection that holds it, once its first statement has run.
    pub host_conn: Option<Conn>,
}

/// A client's session.
pub struct Session {
    pub stage: SessionStage,
    pub transaction_state: TransactionState,
    pub database: String,
    pub decoder: LineDecoder,
    pub variables: SessionVariables,
    pub prepared: FxHashMap<String, (AccessMode, Rc<str>)>,
    pub transaction: Option<Transaction>,
    /// Whether its transaction was aborted while idle and the client has not been told yet.
    pub abort_unreported: bool,
    /// The position of its last acknowledged commit, and when that was sent: what its own reads must see.
    pub last_commit: Option<(Position, Timestamp)>,
    /// Lines received while a statement is pending.
    pub queue: VecDeque<Bytes>,
    pub timer: Option<(Timestamp, u64)>,
}

impl Session {
    /// A session whose client has not opened a database yet.
    pub fn new() -> Self {
        Session {
            stage: SessionStage::New,
            transaction_state: TransactionState::Idle,
            database: String::new(),
            decoder: LineDecoder::default(),
            variables: SessionVariables::default(),
            prepared: FxHashMap::default(),
            transaction: None,
            abort_unreported: false,
            last_commit: None,
            queue: VecDeque::new(),
            timer: None,
        }
    }

    /// Changes the stage and returns the old one.
    pub fn set_stage(&mut self, stage: SessionStage) -> SessionStage {
        std::mem::replace(&mut self.stage, stage)
    }

    /// The pending statement.
    pub fn pending(&mut self) -> Option<&mut PendingStatement> {
        match &mut self.stage {
            SessionStage::Running(statement) => Some(statement),
            _ => None,
        }
    }

    /// Whether a success of its pending statement acknowledges writes: a single write, or the commit of a
    /// transaction that wrote.
    pub fn commits_writes(&mut self) -> bool {
        let in_transaction = self.transaction_state == TransactionState::InTransaction;
        let wrote = self.transaction.as_ref().is_some_and(|transaction| transaction.wrote);
        let Some(statement) = self.pending() else { return false };
        if in_transaction { statement.is_commit && wrote } else { statement.is_write }
    }

    /// Whether it has neither a pending statement nor an open transaction, so that closing it loses nothing.
    pub fn is_idle(&self) -> bool {
        matches!(self.stage, SessionStage::New | SessionStage::Idle)
            && self.transaction_state == TransactionState::Idle
    }
}

impl Default for Session {
    fn default() -> Self {
        Session::new()
    }
}
