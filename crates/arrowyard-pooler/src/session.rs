//! A client's session: what it was told holds, and what it waits for.

use std::collections::VecDeque;
use std::rc::Rc;

use arrowyard_config::Channel;
use arrowyard_fair_shares::ServiceId;
use arrowyard_protocol::{AccessMode, LineDecoder, Position, TransactionState};
use arrowyard_runtime::Conn;
use arrowyard_types::{HostId, OpId, OpTypeId, TimeDelta, Timestamp};
use bytes::Bytes;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::link::SessionVariables;
use crate::routes::Statement as Kind;

/// Where a session is in its life.
#[derive(Debug)]
pub enum Stage {
    /// It has not said which database it wants.
    New,
    /// It has, and there is no configuration yet.
    Waits(String),
    Rests,
    /// A statement is under way.
    Asks(Box<Statement>),
}

/// A statement under way.
#[derive(Debug)]
pub struct Statement {
    pub id: String,
    /// As the host gets it.
    pub text: String,
    pub op: OpId,
    pub op_type: OpTypeId,
    /// The route that it was taken under. Invariant: what it must see is reckoned from this one until it ends; the
    /// configuration may drop or change the route while the statement waits for a connection.
    pub channel: Rc<Channel>,
    /// What it counts as, and the hosts that it waits for one of.
    pub service: ServiceId,
    pub waits: SmallVec<[HostId; 4]>,
    pub kind: Kind,
    pub ends: bool,
    pub writes: bool,
    /// What has to be prepared before it.
    pub define: Option<(u32, AccessMode, Rc<str>)>,
    pub arrived: Timestamp,
    /// Where the module sent it, how often so far, and on which connection it is.
    pub sends: u32,
    pub host: Option<HostId>,
    pub link: Option<Conn>,
    /// It stands alone and is read from a host that must prove that it leads: in a transaction of our own.
    pub fenced: bool,
    pub timer: Option<(Timestamp, u64)>,
    /// How long it may wait for a connection before it is given up.
    pub patience: TimeDelta,
    /// The last fault that a host gave for it.
    pub fault: Option<(arrowyard_protocol::FaultCode, String)>,
}

/// A transaction of the client's.
#[derive(Clone, Debug)]
pub struct Transaction {
    pub channel: Rc<Channel>,
    pub reads: bool,
    pub began: Timestamp,
    /// Whether a write of it was answered.
    pub wrote: bool,
    /// The connection that holds it, once its first statement ran.
    pub link: Option<Conn>,
}

/// A client's session.
pub struct Session {
    pub stage: Stage,
    pub state: TransactionState,
    pub database: String,
    pub lines: LineDecoder,
    pub values: SessionVariables,
    pub prepared: FxHashMap<String, (AccessMode, Rc<str>)>,
    pub transaction: Option<Transaction>,
    /// Its transaction was ended while it rested, and its client has not been told.
    pub untold: bool,
    /// The last commit that it was told of, and when that was sent: what its own reads must see.
    pub token: Option<(Position, Timestamp)>,
    /// Statements that came before the one under way was answered.
    pub queue: VecDeque<Bytes>,
    pub timer: Option<(Timestamp, u64)>,
}

impl Session {
    pub fn new() -> Self {
        Session {
            stage: Stage::New,
            state: TransactionState::Idle,
            database: String::new(),
            lines: LineDecoder::default(),
            values: SessionVariables::default(),
            prepared: FxHashMap::default(),
            transaction: None,
            untold: false,
            token: None,
            queue: VecDeque::new(),
            timer: None,
        }
    }

    /// Every change of stage.
    pub fn shift(&mut self, stage: Stage) -> Stage {
        std::mem::replace(&mut self.stage, stage)
    }

    pub fn asks(&mut self) -> Option<&mut Statement> {
        match &mut self.stage {
            Stage::Asks(statement) => Some(statement),
            _ => None,
        }
    }

    /// Whether nothing would be lost if it closed now.
    pub fn is_at_rest(&self) -> bool {
        matches!(self.stage, Stage::New | Stage::Rests) && self.state == TransactionState::Idle
    }
}

impl Default for Session {
    fn default() -> Self {
        Session::new()
    }
}
