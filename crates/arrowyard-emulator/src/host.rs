//! A simulated database host. It accepts sessions, executes statements, sends heartbeats to control, and
//! records how routers use its sessions.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

use arrowyard_protocol::{LineDecoder, Position, Request, Response, TransactionState, split_word};
use arrowyard_runtime::http::{HttpDecoder, format_request};
use arrowyard_runtime::{Commands, Conn, Event, Plane, Timers};
use arrowyard_types::{TimeDelta, Timestamp};
use fastrand::Rng;

use crate::deployment::ControlAddresses;
use crate::history::SharedHistory;
use crate::replication::ReplicationGroup;

/// Timeout of a call to control, after which the next machine is tried.
const CALL_TIMEOUT: TimeDelta = TimeDelta::from_millis(1000);
/// Number of statements that a host executes concurrently, which is also the capacity that it reports.
const STATEMENT_SLOTS: usize = 5;
/// Latest arrival of a request after the acknowledgement of a drain, including a margin.
const DRAIN_BOUND: TimeDelta = TimeDelta::from_millis(7000);
/// Number of statements that may wait for a slot. Further statements are rejected.
const MAX_QUEUED: usize = 40;
/// Delay of the first heartbeat of a host that starts during the run.
const FIRST_HEARTBEAT_DELAY: TimeDelta = TimeDelta::from_millis(10);
/// Items with this prefix take `EXPENSIVE_FACTOR` times the usual work.
pub const EXPENSIVE_PREFIX: char = 'w';
const EXPENSIVE_FACTOR: f64 = 5.0;

/// Injected faults of a host.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostFaults {
    /// Share of executed statements whose reply is lost.
    pub lost_reply_share: f64,
    /// Share of statements that fail and are rolled back.
    pub failure_share: f64,
    /// Factor by which statements take longer.
    pub slowdown: f64,
    /// Statements complete without delay, for measurements of other components.
    pub instant: bool,
    /// Whether the host reports that it is draining.
    pub draining: bool,
}

/// An open transaction and its uncommitted writes.
#[derive(Clone, Debug, Default)]
struct Transaction {
    read_only: bool,
    failed: bool,
    /// Term of the replication group when the transaction began.
    term: u64,
    /// Number of the client's operation, known after the first statement.
    operation: Option<u64>,
    /// Tokens of the writes.
    writes: Vec<String>,
}

/// A client session.
struct Session {
    decoder: LineDecoder,
    open: bool,
    variables: BTreeMap<String, String>,
    /// Prepared statements by name: whether they write, and their definitions.
    prepared: BTreeMap<String, (bool, String)>,
    transaction: Option<Transaction>,
    /// Whether a statement is executing or waiting for a slot.
    busy: bool,
    /// Ids and texts of the statements that have not started.
    queue: std::collections::VecDeque<(String, String)>,
}

#[derive(Clone, Debug)]
enum Timer {
    /// A statement has completed its work.
    StatementDone {
        conn: Conn,
        id: String,
        text: String,
    },
    /// Checks whether a replica has received a commit; `checks` counts the earlier checks.
    CheckReplicated {
        conn: Conn,
        id: String,
        log_index: usize,
        checks: u32,
    },
    Heartbeat,
    CallTimeout(Conn),
}

/// A simulated database host.
pub struct DatabaseHost {
    id: String,
    address: SocketAddrV4,
    zone: String,
    group: Rc<RefCell<ReplicationGroup>>,
    history: SharedHistory,
    faults: Rc<RefCell<HostFaults>>,
    controls: ControlAddresses,
    assigned_control: Option<SocketAddrV4>,
    /// Index of the control machine to call next without an assigned one.
    next_control: usize,
    heartbeat_period: TimeDelta,
    connection_limit: usize,
    sessions: BTreeMap<Conn, Session>,
    /// Heartbeats without a response, with the text of the request.
    heartbeat_calls: BTreeMap<Conn, (HttpDecoder, String)>,
    timers: Timers<Timer>,
    rng: Rng,
    /// Number of the last heartbeat, which survives restarts of the host.
    call_seq: Rc<RefCell<u64>>,
    running_statements: usize,
    /// Connections, ids and texts of the statements that wait for a slot.
    waiting_statements: std::collections::VecDeque<(Conn, String, String)>,
    /// Whether the last heartbeat reported the role of a primary.
    reported_role: Option<bool>,
    /// When control acknowledged the drain.
    drain_acknowledged_at: Option<Timestamp>,
}

/// Identity and limits of a host.
pub struct HostPlan {
    pub id: String,
    pub address: SocketAddrV4,
    pub zone: String,
    pub controls: ControlAddresses,
    pub heartbeat_period: TimeDelta,
    pub connection_limit: usize,
    pub seed: u64,
}

impl DatabaseHost {
    /// Creates a host that joins its replication group as a running member.
    pub fn new(
        plan: HostPlan,
        group: Rc<RefCell<ReplicationGroup>>,
        history: SharedHistory,
        faults: Rc<RefCell<HostFaults>>,
        call_seq: Rc<RefCell<u64>>,
    ) -> Self {
        let HostPlan { id, address, zone, controls, heartbeat_period, connection_limit, seed } = plan;
        if let Some(host_log) = group.borrow_mut().host_logs.get_mut(&id) {
            (host_log.up, host_log.paused) = (true, false);
        }
        DatabaseHost {
            id,
            address,
            zone,
            group,
            history,
            faults,
            controls,
            assigned_control: None,
            next_control: seed as usize,
            heartbeat_period,
            connection_limit,
            sessions: BTreeMap::new(),
            heartbeat_calls: BTreeMap::new(),
            timers: Timers::default(),
            rng: Rng::with_seed(seed),
            call_seq,
            running_statements: 0,
            waiting_statements: std::collections::VecDeque::new(),
            reported_role: None,
            drain_acknowledged_at: None,
        }
    }

    /// Sends a heartbeat to the assigned control machine, or to the next one.
    fn send_heartbeat(&mut self, now: Timestamp, commands: &mut Commands) {
        let control = self.assigned_control.unwrap_or_else(|| {
            let controls = self.controls.borrow();
            controls[self.next_control % controls.len()]
        });
        let is_primary = self.group.borrow().is_primary(&self.id);
        self.reported_role = Some(is_primary);
        *self.call_seq.borrow_mut() += 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"revision\":\"v1\",\"capacity\":{STATEMENT_SLOTS},\"phase\":\"{}\",\
             \"cold-left-ms\":0,\"db-role\":\"{}\",\"call-seq\":{}}}",
            self.group.borrow().service,
            self.address,
            self.zone,
            if self.faults.borrow().draining { "draining" } else { "in_service" },
            if is_primary { "primary" } else { "replica" },
            self.call_seq.borrow(),
        );
        let request =
            format_request("POST", &format!("/Instances.Beat/{}", self.id), &control.to_string(), &[], &body);
        let conn = commands.dial(control);
        self.heartbeat_calls.insert(conn, (HttpDecoder::default(), request));
        self.timers.set(now + CALL_TIMEOUT, Timer::CallTimeout(conn));
    }

    /// Schedules the heartbeat of a failed call again, for the next control machine.
    fn retry_heartbeat(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        if self.heartbeat_calls.remove(&conn).is_some() {
            commands.reset(conn);
            self.assigned_control = None;
            self.next_control += 1;
            let delay = TimeDelta::from_millis(100) * (1.0 + self.rng.f64());
            self.timers.set(now + delay, Timer::Heartbeat);
        }
    }

    fn handle_line(&mut self, now: Timestamp, conn: Conn, line: &str, commands: &mut Commands) {
        let open_sessions = self.sessions.values().filter(|session| session.open).count();
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        match Request::parse(line) {
            Some(Request::Open { database, user }) if !session.open => {
                // A router that requires a certain host names it after the user.
                let requested_host = split_word(user).1;
                let misrouted = database != self.group.borrow().service
                    || !requested_host.is_empty() && requested_host != self.id;
                if misrouted || open_sessions >= self.connection_limit {
                    self.history.borrow_mut().connections_over_limit += u64::from(!misrouted);
                    commands.write_line(
                        conn,
                        &["FAULT ", if misrouted { "MISROUTED " } else { "OVERLOAD " }, &self.id],
                    );
                    commands.close(conn);
                    self.sessions.remove(&conn);
                    return;
                }
                session.open = true;
                self.send_idle(conn, commands);
            }
            Some(Request::Query { id, text }) if session.open => {
                session.queue.push_back((id.to_string(), text.to_string()));
                self.start_queued_statements(now, conn, commands);
            }
            _ => {
                commands.close(conn);
                self.sessions.remove(&conn);
            }
        }
    }

    fn send_idle(&mut self, conn: Conn, commands: &mut Commands) {
        let Some(session) = self.sessions.get(&conn) else { return };
        let state = match &session.transaction {
            None => TransactionState::Idle,
            Some(transaction) if transaction.failed => TransactionState::Failed,
            Some(_) => TransactionState::InTransaction,
        };
        let (applied, _) = self.group.borrow().positions(&self.id);
        commands.write_line(conn, &["IDLE ", state.letter(), " ", &applied.to_string()]);
    }

    /// Starts the queued statements of a session until one has to wait.
    fn start_queued_statements(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        loop {
            let Some(session) = self.sessions.get_mut(&conn) else { return };
            if session.busy {
                return;
            }
            let Some((id, text)) = session.queue.pop_front() else { return };
            let keyword = split_word(&text).0;
            // `AFTER` and a position may precede the statement.
            let effective_keyword =
                if keyword == "AFTER" { split_word(split_word(split_word(&text).1).1).0 } else { keyword };
            if matches!(effective_keyword, "READ" | "WRITE" | "COMMIT" | "RUN" | "OBSERVE") {
                if self.running_statements < STATEMENT_SLOTS {
                    self.start_statement(now, conn, id, text);
                } else if self.waiting_statements.len() < MAX_QUEUED {
                    session.busy = true;
                    self.waiting_statements.push_back((conn, id, text));
                } else {
                    self.send_fault(conn, "SATURATED", commands);
                }
            } else {
                self.execute_immediately(conn, &id, &text, commands);
            }
        }
    }

    fn start_statement(&mut self, now: Timestamp, conn: Conn, id: String, text: String) {
        self.running_statements += 1;
        if let Some(session) = self.sessions.get_mut(&conn) {
            session.busy = true;
        }
        let slowdown = self.faults.borrow().slowdown.max(1.0);
        let factor = if text.contains(&format!(" {EXPENSIVE_PREFIX}")) { EXPENSIVE_FACTOR } else { 1.0 };
        let processing_time =
            TimeDelta::from_micros(1500) * (factor * slowdown * (0.5 + 3.0 * self.rng.f64()));
        let delay = if self.faults.borrow().instant { TimeDelta::ZERO } else { processing_time };
        self.timers.set(now + delay, Timer::StatementDone { conn, id, text });
    }

    /// Replies with a fault, which makes an open transaction fail.
    fn send_fault(&mut self, conn: Conn, code: &str, commands: &mut Commands) {
        if let Some(transaction) =
            self.sessions.get_mut(&conn).and_then(|session| session.transaction.as_mut())
        {
            transaction.failed = true;
        }
        commands.write_line(conn, &["FAULT ", code, " ", &self.id]);
        self.send_idle(conn, commands);
    }

    fn send_settled(&mut self, conn: Conn, stamp: &str, commands: &mut Commands) {
        commands.write_line(conn, &["SETTLED ", stamp]);
        self.send_idle(conn, commands);
    }

    /// Returns whether this host has not yet applied the position that a statement requires, and the statement
    /// without the position.
    fn check_position<'a>(&self, text: &'a str) -> (bool, &'a str) {
        let (keyword, rest) = split_word(text);
        if keyword != "AFTER" {
            return (false, text);
        }
        let (position, text) = split_word(rest);
        let (applied, _) = self.group.borrow().positions(&self.id);
        (Position::parse(position).is_none_or(|required| applied < required), text)
    }

    /// Executes a statement that takes no processing time.
    fn execute_immediately(&mut self, conn: Conn, id: &str, text: &str, commands: &mut Commands) {
        let (is_behind, text) = self.check_position(text);
        let is_primary = self.group.borrow().is_primary(&self.id);
        let term = self.group.borrow().term;
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        let (keyword, arguments) = split_word(text);
        if session.transaction.as_ref().is_some_and(|transaction| transaction.failed) && keyword != "ABORT" {
            return self.send_fault(conn, "MALFORMED", commands);
        }
        match keyword {
            "BEGIN" if is_behind => return self.send_fault(conn, "LAGGING", commands),
            "BEGIN" if arguments != "READ" && !is_primary => {
                return self.send_fault(conn, "READONLY", commands);
            }
            "BEGIN" => {
                session.transaction =
                    Some(Transaction { read_only: arguments == "READ", term, ..Transaction::default() });
            }
            "ABORT" => session.transaction = None,
            "CLEAR" => {
                session.variables.clear();
                session.prepared.clear();
            }
            "ASSIGN" => {
                let (name, value) = split_word(arguments);
                session.variables.insert(name.to_string(), value.to_string());
            }
            "DEFINE" => {
                let (name, arguments) = split_word(arguments);
                let (mode, shape) = split_word(arguments);
                session.prepared.insert(name.to_string(), (mode == "WRITE", shape.to_string()));
            }
            "YIELD" => {
                let term = arguments.parse().unwrap_or_default();
                self.group.borrow_mut().step_down(&self.id, term);
                return self.send_observation(conn, commands);
            }
            "PAUSE" | "CONTINUE" => {
                let mut group = self.group.borrow_mut();
                if let Some(host_log) = group.host_logs.get_mut(&self.id).filter(|_| !is_primary) {
                    host_log.paused = keyword == "PAUSE";
                }
                if keyword == "CONTINUE" {
                    drop(group);
                    return self.send_observation(conn, commands);
                }
                drop(group);
                return self.send_observation(conn, commands);
            }
            _ => return self.send_fault(conn, "MALFORMED", commands),
        }
        let _ = id;
        self.send_settled(conn, "-", commands);
    }

    /// Replies with the role, the term and the received position.
    fn send_observation(&mut self, conn: Conn, commands: &mut Commands) {
        let group = self.group.borrow();
        let (_, received) = group.positions(&self.id);
        let role = if group.is_primary(&self.id) { "primary" } else { "replica" };
        let term = group.host_logs[&self.id].term;
        let row = format!("ROW {role} {term} {received} {term} 0 0 {}", self.sessions.len());
        drop(group);
        commands.write_line(conn, &[&row]);
        self.send_settled(conn, "-", commands);
    }

    /// Executes a statement after its processing time.
    fn complete_statement(
        &mut self,
        now: Timestamp,
        conn: Conn,
        id: &str,
        text: &str,
        commands: &mut Commands,
    ) {
        self.running_statements -= 1;
        if let Some((conn, id, text)) = self.waiting_statements.pop_front() {
            self.start_statement(now, conn, id, text);
        }
        let (is_behind, text) = self.check_position(text);
        let (keyword, arguments) = split_word(text);
        let is_primary = self.group.borrow().is_primary(&self.id);
        let term = self.group.borrow().term;
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        session.busy = false;
        if keyword == "OBSERVE" {
            return self.send_observation(conn, commands);
        }
        let lost_primary_role =
            session.transaction.as_ref().is_some_and(|tx| !tx.read_only && (!is_primary || tx.term != term));
        let shape = (keyword == "RUN").then(|| session.prepared.get(split_word(arguments).0).cloned());
        let is_write = match &shape {
            Some(Some((is_write, _))) => *is_write,
            Some(None) => return self.send_fault(conn, "UNDEFINED", commands),
            None => keyword == "WRITE",
        };
        if session.transaction.as_ref().is_some_and(|transaction| transaction.failed) {
            if keyword == "COMMIT" {
                session.transaction = None;
                return self.send_fault(conn, "REVERTED", commands);
            }
            return self.send_fault(conn, "MALFORMED", commands);
        }
        if is_behind {
            return self.send_fault(conn, "LAGGING", commands);
        }
        let has_writes = session.transaction.as_ref().is_some_and(|tx| !tx.writes.is_empty());
        if is_write && !is_primary || lost_primary_role && (keyword != "COMMIT" || has_writes) {
            if keyword == "COMMIT" {
                session.transaction = None;
            }
            return self.send_fault(conn, "READONLY", commands);
        }
        if self.rng.f64() < self.faults.borrow().failure_share {
            if keyword == "COMMIT" {
                session.transaction = None;
            }
            self.send_fault(conn, "FAILED", commands);
            return self.start_queued_statements(now, conn, commands);
        }
        let transaction_operation = session.transaction.as_ref().map(|transaction| transaction.operation);
        let tag = session.variables.get("tag").cloned();
        let shape = shape.flatten().map(|(_, shape)| shape);
        let mut history = self.history.borrow_mut();
        history.record_execution(now, id, text, shape.as_deref(), tag.as_deref(), transaction_operation);
        if transaction_operation.flatten().is_none() {
            history.record_arrival(now, id, self.drain_acknowledged_at, DRAIN_BOUND, &self.id);
        }
        let operation = history.statements.get(id).map(|statement| statement.operation);
        if let Some(transaction) = &mut session.transaction {
            transaction.operation = operation;
        }
        let stamp = format!("{}.{id}", self.id);
        let row =
            if is_write || keyword == "COMMIT" { String::new() } else { format!("row-{id}-{}", self.id) };
        if let Some(statement) = history.statements.get_mut(id) {
            (statement.stamp, statement.rows) = (Some(stamp.clone()), Some(row.clone()));
        }
        if !is_write && keyword != "COMMIT" {
            let group = self.group.borrow();
            history.record_read(now, id, group.host_logs[&self.id].applied, group.log().len(), &self.id);
        }
        drop(history);
        let token = arguments.rsplit(' ').next().unwrap_or_default().to_string();
        let committed_writes = match (&mut session.transaction, keyword) {
            (Some(transaction), "COMMIT") => {
                let writes = std::mem::take(&mut transaction.writes);
                session.transaction = None;
                (!writes.is_empty()).then_some(writes)
            }
            (Some(transaction), _) => {
                if is_write {
                    transaction.writes.push(token);
                }
                None
            }
            (None, _) => is_write.then(|| vec![token]),
        };
        if let Some(writes) = committed_writes {
            let log_index = self.group.borrow_mut().commit(now, &self.id, writes.clone());
            self.history.borrow_mut().log_indexes.extend(writes.into_iter().map(|token| (token, log_index)));
            let timer = Timer::CheckReplicated { conn, id: id.to_string(), log_index, checks: 0 };
            session.busy = true;
            self.timers.set(now + TimeDelta::from_micros(600), timer);
            return;
        }
        let reply_lost = self.rng.f64() < self.faults.borrow().lost_reply_share;
        if !reply_lost {
            if !row.is_empty() {
                commands.write_line(conn, &["ROW ", &row]);
            }
            self.send_settled(conn, &stamp, commands);
        }
        self.start_queued_statements(now, conn, commands);
    }

    /// Replies to a commit once a replica has received it, and checks again later otherwise.
    fn complete_commit(
        &mut self,
        now: Timestamp,
        conn: Conn,
        id: &str,
        log_index: usize,
        checks: u32,
        commands: &mut Commands,
    ) {
        let is_primary = self.group.borrow().is_primary(&self.id);
        if !is_primary {
            // Whether the commit survives is unknown, so the session ends without a reply.
            self.sessions.remove(&conn);
            return commands.reset(conn);
        }
        if !self.group.borrow().is_replicated(&self.id, log_index) {
            if checks % 50 == 49 {
                // Replicas that were down or paused may have missed the first transfer.
                let host_ids: Vec<String> = self.group.borrow().host_logs.keys().cloned().collect();
                host_ids.iter().for_each(|host_id| self.group.borrow_mut().send_log(now, host_id));
            }
            let timer = Timer::CheckReplicated { conn, id: id.to_string(), log_index, checks: checks + 1 };
            self.timers.set(now + TimeDelta::from_micros(900), timer);
            return;
        }
        if let Some(session) = self.sessions.get_mut(&conn) {
            session.busy = false;
            let reply_lost = self.rng.f64() < self.faults.borrow().lost_reply_share;
            if !reply_lost {
                let stamp = format!("{}.{id}", self.id);
                self.send_settled(conn, &stamp, commands);
            }
            self.start_queued_statements(now, conn, commands);
        }
    }
}

impl Plane for DatabaseHost {
    fn handle(&mut self, now: Timestamp, event: Event<'_>, commands: &mut Commands) {
        self.group.borrow_mut().advance(now);
        match event {
            Event::Start => {
                // The first heartbeats of the initial hosts are spread over one period.
                let is_initial = now == Timestamp::from_micros(0);
                let delay =
                    if is_initial { self.heartbeat_period * self.rng.f64() } else { FIRST_HEARTBEAT_DELAY };
                self.timers.set(now + delay, Timer::Heartbeat);
            }
            Event::Accepted { conn, .. } => {
                let session = Session {
                    decoder: LineDecoder::default(),
                    open: false,
                    variables: BTreeMap::new(),
                    prepared: BTreeMap::new(),
                    transaction: None,
                    busy: false,
                    queue: std::collections::VecDeque::new(),
                };
                self.sessions.insert(conn, session);
            }
            Event::Connected { conn } => {
                if let Some((_, text)) = self.heartbeat_calls.get(&conn) {
                    commands.write(conn, &[text.as_bytes()]);
                }
            }
            Event::Received { conn, bytes } => {
                if let Some((decoder, _)) = self.heartbeat_calls.get_mut(&conn) {
                    decoder.put(bytes);
                    match decoder.next_response() {
                        Ok(None) => {}
                        Ok(Some(response)) if response.status == 200 => {
                            let request =
                                self.heartbeat_calls.remove(&conn).map(|(_, text)| text).unwrap_or_default();
                            if request.contains("\"phase\":\"draining\"") {
                                self.drain_acknowledged_at.get_or_insert(now);
                            }
                            commands.close(conn);
                            // The first value of the response is the address of the assigned control machine.
                            let body = String::from_utf8_lossy(&response.body).into_owned();
                            if let Some(control) =
                                body.split('"').nth(3).and_then(|control| control.parse().ok())
                            {
                                self.assigned_control = Some(control);
                            }
                        }
                        _ => self.retry_heartbeat(now, conn, commands),
                    }
                    return;
                }
                if let Some(session) = self.sessions.get_mut(&conn) {
                    session.decoder.put(bytes);
                }
                while let Some(Ok(Some(line))) =
                    self.sessions.get_mut(&conn).map(|session| session.decoder.take())
                {
                    let line = String::from_utf8_lossy(&line).into_owned();
                    self.handle_line(now, conn, &line, commands);
                }
            }
            Event::Closed { conn, .. } => {
                self.retry_heartbeat(now, conn, commands);
                self.sessions.remove(&conn);
                self.waiting_statements.retain(|(queued_conn, _, _)| *queued_conn != conn);
            }
            Event::TimerExpired | Event::Signal(_) | Event::Stored { .. } | Event::DiskStatus { .. } => {}
        }
        while let Some(timer) = self.timers.take(now) {
            match timer {
                Timer::StatementDone { conn, id, text } => {
                    self.complete_statement(now, conn, &id, &text, commands)
                }
                Timer::CheckReplicated { conn, id, log_index, checks } => {
                    self.complete_commit(now, conn, &id, log_index, checks, commands)
                }
                Timer::Heartbeat => {
                    self.timers.set(now + self.heartbeat_period, Timer::Heartbeat);
                    self.send_heartbeat(now, commands);
                }
                Timer::CallTimeout(conn) => self.retry_heartbeat(now, conn, commands),
            }
        }
        // A change of role is reported at once.
        let is_primary = self.group.borrow().is_primary(&self.id);
        if self.reported_role.is_some_and(|reported| reported != is_primary) {
            self.send_heartbeat(now, commands);
        }
    }

    fn due(&self) -> Option<Timestamp> {
        // Wakes up at replication events as well, to detect a change of role.
        self.timers.due().into_iter().chain(self.group.borrow().due()).min()
    }
}

/// Parses a response line; used by simulated clients.
pub(crate) fn parse_response(line: &[u8]) -> Option<Response<'_>> {
    std::str::from_utf8(line).ok().and_then(Response::parse)
}
