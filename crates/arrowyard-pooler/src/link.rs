//! One connection to a host, shared by sessions in turn.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use arrowyard_fair_shares::ServiceId;
use arrowyard_messages::{HostRequest, RelayedRequest};
use arrowyard_protocol::{AccessMode, FaultCode, LineDecoder, Observed, Position};
use arrowyard_runtime::Conn;
use arrowyard_types::{HostId, OpId, SendIndex, Timestamp};
use rustc_hash::FxHashSet;

/// A session's values, by name. Sessions and connections that have the same ones share them.
pub type SessionVariables = Rc<BTreeMap<String, String>>;

/// What the next answers of the host are to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedReply {
    Open,
    /// SessionVariables and prepared names, before a statement.
    Dress,
    Begin,
    Client,
    Abort,
    Observe,
    /// A question that control has for the host.
    Aside,
}

/// What control has this router ask of a host, beside all statements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostQuestion {
    /// It is replaced as primary, and yields to this term.
    Yield(u64),
    /// Control does not reach it. After the time, control does not wait for the answer any more.
    Relayed(RelayedRequest, Timestamp),
}

impl HostQuestion {
    /// The words of the question; none if it is not one of those that are known here.
    pub fn words(&self) -> Option<String> {
        let (question, _) = match self {
            HostQuestion::Yield(term) => return Some(format!("YIELD {term}")),
            HostQuestion::Relayed(question, until) => (question, until),
        };
        match HostRequest::try_from(question.request).ok()? {
            HostRequest::Observe => Some("OBSERVE".to_string()),
            HostRequest::Pause => Some(format!("PAUSE {}", question.term)),
            HostRequest::Continue => Some("CONTINUE".to_string()),
        }
    }
}

/// Where a connection is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Opening,
    Idle,
    /// A session has it: for a statement, or for its transaction.
    Held(Conn),
    /// Whoever had it is gone; it is of use again once the host has answered all.
    Orphan,
}

/// The statement that is under way, as the module knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent {
    pub op: OpId,
    pub number: SendIndex,
    /// When the module sent it, and when its bytes went out.
    pub at: Timestamp,
    pub wired: Option<Timestamp>,
    /// What it counts as.
    pub service: ServiceId,
}

/// One connection to a host.
pub struct HostConnection {
    pub conn: Conn,
    pub host: HostId,
    pub stage: Stage,
    pub lines: LineDecoder,
    pub expect: VecDeque<ExpectedReply>,
    /// The values that hold on it, and what is prepared on it.
    pub values: SessionVariables,
    pub defined: FxHashSet<u32>,
    pub in_transaction: bool,
    pub sent: Option<Sent>,
    /// What whoever has it counts as.
    pub service: Option<ServiceId>,
    /// Statements that went out to the same host later and are answered already.
    pub overtaken: u32,
    /// Of the answer under way: its rows as they came, its stamp, its fault.
    pub rows: Vec<u8>,
    pub stamp: Option<String>,
    pub fault: Option<(FaultCode, String)>,
    pub opened_at: Timestamp,
    pub since: Timestamp,
    /// The question that is to be asked on it, or is being asked.
    pub aside: Option<HostQuestion>,
}

impl HostConnection {
    pub fn new(conn: Conn, host: HostId, now: Timestamp) -> Self {
        HostConnection {
            conn,
            host,
            stage: Stage::Opening,
            lines: LineDecoder::default(),
            expect: VecDeque::from([ExpectedReply::Open]),
            values: SessionVariables::default(),
            defined: FxHashSet::default(),
            in_transaction: false,
            sent: None,
            service: None,
            overtaken: 0,
            rows: Vec::new(),
            stamp: None,
            fault: None,
            opened_at: now,
            since: now,
            aside: None,
        }
    }

    /// Every change of stage.
    pub fn shift(&mut self, now: Timestamp, stage: Stage) {
        (self.stage, self.since) = (stage, now);
    }

    /// What has to be said so that these values, and no others, hold on it. Danger: a value that is left over from
    /// another session; values are only taken back all together, and what is prepared goes with them.
    pub fn dress(
        &mut self,
        values: &SessionVariables,
        define: Option<(u32, AccessMode, &str)>,
    ) -> Vec<String> {
        let mut said = Vec::new();
        if !Rc::ptr_eq(&self.values, values) && self.values != *values {
            let left_over = self.values.keys().any(|name| !values.contains_key(name));
            if left_over {
                said.push("CLEAR".to_string());
                self.defined.clear();
            }
            for (name, value) in values.iter() {
                if left_over || self.values.get(name) != Some(value) {
                    said.push(format!("ASSIGN {name} {value}"));
                }
            }
        }
        self.values = values.clone();
        if let Some((number, mode, shape)) = define
            && self.defined.insert(number)
        {
            said.push(format!("DEFINE g{number} {} {shape}", mode.as_str()));
        }
        said
    }
}

/// What a host answered to one statement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answered {
    pub rows: Vec<u8>,
    pub stamp: Option<String>,
    pub fault: Option<(FaultCode, String)>,
    pub position: Option<Position>,
    pub in_transaction: bool,
}

impl Answered {
    /// What the host says of itself, if this answers such a question.
    pub fn observed(&self) -> Option<Observed> {
        let text = String::from_utf8_lossy(&self.rows);
        let line = text.lines().next()?;
        Observed::parse(arrowyard_protocol::split_word(line).1)
    }
}
