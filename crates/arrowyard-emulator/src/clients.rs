//! Simulated clients: sessions at routers, operations of one statement or one transaction, and retries of
//! rejected operations. They record what they sent and what they received.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

use arrowyard_protocol::{ExecutionStatus, FaultCode, LineDecoder, Response};
use arrowyard_runtime::{Commands, Conn, Event, Plane, Timers};
use arrowyard_types::{TimeDelta, Timestamp};
use fastrand::Rng;

use crate::history::{Freshness, SharedHistory, StatementRecord, WriteOutcome};
use crate::host::{EXPENSIVE_PREFIX, parse_response};

/// Latency target of an operation.
const LATENCY_TARGET: TimeDelta = TimeDelta::from_millis(150);
/// Deadline for retries of an operation and, with a margin, for the reply to each statement.
const DEADLINE: TimeDelta = TimeDelta::from_millis(1000);

/// A statement of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    /// Assigns a value to the session variable `tag`.
    Assign(String),
    /// Prepares a statement: its definition, and whether it writes.
    Define(String, bool),
    /// Begins a transaction; the flag says whether it is read-only.
    Begin(bool),
    Read {
        use_prepared: bool,
    },
    Write {
        use_prepared: bool,
    },
    Commit,
    Abort,
}

/// The current operation of a user.
#[derive(Debug)]
struct Operation {
    id: u64,
    steps: Vec<Step>,
    next_step: usize,
    started_at: Timestamp,
    transaction_started_at: Timestamp,
    /// Tokens of the writes sent so far.
    tokens: Vec<String>,
    in_transaction: bool,
    commit_sent: bool,
    /// Number of earlier attempts.
    attempts: u32,
    has_writes: bool,
}

/// A user with its session.
struct User {
    database: String,
    service: String,
    freshness: Freshness,
    conn: Option<Conn>,
    open: bool,
    /// Number of the session, unique within the run.
    session: u64,
    decoder: LineDecoder,
    tag: Option<String>,
    /// Definitions of the prepared statements, by whether they write.
    prepared_statements: BTreeMap<bool, String>,
    operation: Option<Operation>,
    /// The statement without a complete reply: its id, and the rows, stamp and fault received so far.
    statement_id: Option<String>,
    rows: String,
    stamp: Option<String>,
    fault: Option<FaultCode>,
    /// The operation to be retried: its steps, the number of attempts, and its start.
    retry: Option<(Vec<Step>, u32, Timestamp)>,
}

#[derive(Clone, Debug)]
enum Timer {
    /// A user opens a session.
    Dial(usize),
    /// The think time of a user ends.
    Think(usize),
    /// A user has no reply to the statement with this id, or to the opening of its session.
    ResponseTimeout(usize, String),
}

/// Simulated users on one machine.
pub struct Clients {
    router_addresses: Rc<RefCell<Vec<SocketAddrV4>>>,
    users: Vec<User>,
    users_by_conn: BTreeMap<Conn, usize>,
    timers: Timers<Timer>,
    history: SharedHistory,
    rng: Rng,
    think_time: TimeDelta,
    load_end: Timestamp,
    load_start: Timestamp,
    /// Whether the statements take hosts more work.
    expensive: bool,
}

impl Clients {
    /// Sets whether the statements take hosts more work.
    #[must_use]
    pub fn expensive(mut self, expensive: bool) -> Self {
        self.expensive = expensive;
        self
    }

    /// Creates `users_per_database` users for each database, which is given with its service and freshness. A
    /// user waits for `think_time` on average between two operations, from the start to the end of
    /// `load_interval`.
    pub fn new(
        router_addresses: Rc<RefCell<Vec<SocketAddrV4>>>,
        databases: &[(String, String, Freshness)],
        users_per_database: usize,
        think_time: TimeDelta,
        load_interval: (Timestamp, Timestamp),
        history: SharedHistory,
        seed: u64,
    ) -> Self {
        let user = |(database, service, freshness): &(String, String, Freshness)| User {
            database: database.clone(),
            service: service.clone(),
            freshness: *freshness,
            conn: None,
            open: false,
            session: 0,
            decoder: LineDecoder::default(),
            tag: None,
            prepared_statements: BTreeMap::new(),
            operation: None,
            statement_id: None,
            rows: String::new(),
            stamp: None,
            fault: None,
            retry: None,
        };
        let users = (0..users_per_database).flat_map(|_| databases.iter().map(user)).collect();
        let (load_start, load_end) = load_interval;
        Clients {
            router_addresses,
            users,
            users_by_conn: BTreeMap::new(),
            timers: Timers::default(),
            history,
            rng: Rng::with_seed(seed),
            think_time,
            load_end,
            load_start,
            expensive: false,
        }
    }

    /// Opens a connection to a random router.
    fn connect(&mut self, now: Timestamp, user_index: usize, commands: &mut Commands) {
        let router_addresses = self.router_addresses.borrow().clone();
        if router_addresses.is_empty() {
            self.timers.set(now + TimeDelta::from_millis(200), Timer::Dial(user_index));
            return;
        }
        let conn = commands.dial(router_addresses[self.rng.usize(0..router_addresses.len())]);
        self.users_by_conn.insert(conn, user_index);
        let session = self.history.borrow_mut().next_id();
        let user = &mut self.users[user_index];
        (user.conn, user.open, user.session) = (Some(conn), false, session);
        (user.decoder, user.tag, user.prepared_statements) = (LineDecoder::default(), None, BTreeMap::new());
        (user.statement_id, user.rows, user.stamp, user.fault) = (None, String::new(), None, None);
        self.timers.set(
            now + TimeDelta::from_millis(2000),
            Timer::ResponseTimeout(user_index, format!("open{}", session)),
        );
    }

    /// Handles the loss of the session: the current operation fails.
    fn handle_session_loss(&mut self, now: Timestamp, user_index: usize, commands: &mut Commands) {
        let user = &mut self.users[user_index];
        if let Some(conn) = user.conn.take() {
            self.users_by_conn.remove(&conn);
            commands.reset(conn);
        }
        if let Some(operation) = user.operation.take() {
            self.record_outcomes(user_index, &operation, None);
            let retryable = !(operation.commit_sent || operation.has_writes && !operation.in_transaction);
            self.finish_operation(now, user_index, operation, false, retryable);
        }
        let delay = TimeDelta::from_millis(30) * (1.0 + self.rng.f64());
        self.timers.set(now + delay, Timer::Dial(user_index));
    }

    /// Records the outcome of the writes of an operation; `None` stands for unknown.
    fn record_outcomes(&mut self, user_index: usize, operation: &Operation, outcome: Option<WriteOutcome>) {
        let mut history = self.history.borrow_mut();
        let (service, session) = (self.users[user_index].service.clone(), self.users[user_index].session);
        for token in &operation.tokens {
            if let Some(WriteOutcome::Acknowledged { at, .. }) = &outcome {
                history.record_acknowledgement(*at, &service, session, token);
            }
            history.write_outcomes.insert(token.clone(), outcome.clone().unwrap_or(WriteOutcome::Unknown));
        }
    }

    /// Schedules a retry of the operation, or records its result.
    fn finish_operation(
        &mut self,
        now: Timestamp,
        user_index: usize,
        operation: Operation,
        served: bool,
        retryable: bool,
    ) {
        let latency = now - operation.started_at;
        let within_deadline = latency < DEADLINE - TimeDelta::from_millis(50);
        let user = &mut self.users[user_index];
        if !served && retryable && operation.attempts < 2 && within_deadline {
            let steps = operation.steps;
            user.retry = Some((steps, operation.attempts + 1, operation.started_at));
            self.timers.set(now + TimeDelta::from_millis(2), Timer::Think(user_index));
            return;
        }
        let mut history = self.history.borrow_mut();
        history.counts.total += 1;
        history.latencies.push(latency);
        match (served, latency <= LATENCY_TARGET) {
            (true, true) => history.counts.served += 1,
            (true, false) => history.counts.late += 1,
            (false, _) if retryable => history.counts.rejected += 1,
            (false, _) => history.counts.failed += 1,
        }
        history.record_operation(operation.started_at, served);
        let kind = user.freshness.name();
        history.record_operation_of_kind(
            kind,
            operation.started_at,
            latency,
            served && latency <= LATENCY_TARGET,
            served,
        );
        drop(history);
        let pause = self.think_time * (0.5 + self.rng.f64());
        self.timers.set(now + pause, Timer::Think(user_index));
    }

    /// Generates the statements of an operation.
    fn generate_steps(&mut self, user_index: usize) -> Vec<Step> {
        let freshness = self.users[user_index].freshness;
        let mut steps = Vec::new();
        if self.rng.f64() < 0.06 {
            steps.push(Step::Assign(format!("v{}", self.rng.u32(0..1000))));
        }
        if self.rng.f64() < 0.06 {
            steps.push(Step::Define(
                format!("q{}", self.rng.u32(0..9)),
                freshness == Freshness::Primary && self.rng.bool(),
            ));
        }
        let (write_ratio, transaction_ratio) = match freshness {
            Freshness::Primary => (0.35, 0.4),
            Freshness::Bounded(_) => (0.0, 0.1),
            Freshness::Own(_) => (0.2, 0.15),
        };
        let use_prepared = self.rng.f64() < 0.3;
        if self.rng.f64() < transaction_ratio {
            let read_only =
                !matches!(freshness, Freshness::Primary) && self.rng.f64() < 0.7 || write_ratio == 0.0;
            steps.push(Step::Begin(read_only));
            for _ in 0..self.rng.usize(1..5) {
                let is_write = !read_only && self.rng.f64() < write_ratio;
                steps.push(if is_write { Step::Write { use_prepared } } else { Step::Read { use_prepared } });
            }
            steps.push(if self.rng.f64() < 0.1 { Step::Abort } else { Step::Commit });
        } else if self.rng.f64() < write_ratio {
            steps.push(Step::Write { use_prepared });
        } else {
            steps.push(Step::Read { use_prepared });
        }
        steps
    }

    /// Starts the next operation, or retries the last one.
    fn begin_operation(&mut self, now: Timestamp, user_index: usize, commands: &mut Commands) {
        if now > self.load_end || self.users[user_index].operation.is_some() {
            return;
        }
        if self.users[user_index].conn.is_none() || !self.users[user_index].open {
            self.timers.set(now + TimeDelta::from_millis(20), Timer::Think(user_index));
            return;
        }
        let (steps, attempts, started_at) = match self.users[user_index].retry.take() {
            Some(retry) => retry,
            None => (self.generate_steps(user_index), 0, now),
        };
        let id = self.history.borrow_mut().next_id();
        let in_transaction = steps.iter().any(|step| matches!(step, Step::Begin(_)));
        let has_writes = steps.iter().any(|step| matches!(step, Step::Write { .. }));
        self.users[user_index].operation = Some(Operation {
            id,
            steps,
            next_step: 0,
            started_at,
            transaction_started_at: now,
            tokens: Vec::new(),
            in_transaction,
            commit_sent: false,
            attempts,
            has_writes,
        });
        self.send_step(now, user_index, commands);
    }

    /// Sends the next statement of the current operation.
    fn send_step(&mut self, now: Timestamp, user_index: usize, commands: &mut Commands) {
        let id = format!("{:016x}", self.history.borrow_mut().next_id());
        let prefix = if self.expensive { EXPENSIVE_PREFIX } else { 't' };
        let item = format!("{prefix}{}", self.rng.u32(0..200));
        let user = &mut self.users[user_index];
        let (Some(conn), Some(operation)) = (user.conn, user.operation.as_mut()) else { return };
        let step = operation.steps[operation.next_step].clone();
        operation.next_step += 1;
        let (mut shape, mut session_only) = (None, false);
        let mut statement_keyword = |is_write: bool, use_prepared: bool| {
            let statement_name = user.prepared_statements.get(&is_write).filter(|_| use_prepared).cloned();
            shape.clone_from(&statement_name);
            statement_name.map(|_| if is_write { "RUN w" } else { "RUN r" }).unwrap_or(if is_write {
                "WRITE"
            } else {
                "READ"
            })
        };
        let text = match &step {
            Step::Assign(value) => {
                session_only = true;
                format!("ASSIGN tag {value}")
            }
            Step::Define(name, is_write) => {
                session_only = true;
                format!(
                    "DEFINE {} {} {name}",
                    if *is_write { "w" } else { "r" },
                    if *is_write { "WRITE" } else { "READ" }
                )
            }
            Step::Begin(read_only) => {
                (session_only, operation.transaction_started_at) = (true, now);
                if *read_only { "BEGIN READ".to_string() } else { "BEGIN".to_string() }
            }
            Step::Read { use_prepared } => format!("{} {item}", statement_keyword(false, *use_prepared)),
            Step::Write { use_prepared } => {
                let token = format!("k{id}");
                operation.tokens.push(token.clone());
                format!("{} {item} {token}", statement_keyword(true, *use_prepared))
            }
            Step::Commit => {
                operation.commit_sent = true;
                "COMMIT".to_string()
            }
            Step::Abort => {
                session_only = true;
                "ABORT".to_string()
            }
        };
        if !session_only {
            if !operation.in_transaction {
                operation.transaction_started_at = now;
            }
            let statement = StatementRecord {
                at: now,
                transaction_started_at: operation.transaction_started_at,
                service: user.service.clone(),
                session: user.session,
                operation: operation.id,
                text: text.clone(),
                shape,
                tag: user.tag.clone(),
                freshness: user.freshness,
                in_transaction: operation.in_transaction,
                stamp: None,
                rows: None,
            };
            self.history.borrow_mut().statements.insert(id.clone(), statement);
        }
        (user.statement_id, user.rows, user.stamp, user.fault) =
            (Some(id.clone()), String::new(), None, None);
        commands.write_line(conn, &["QUERY ", &id, " ", &text]);
        self.timers.set(now + DEADLINE + TimeDelta::from_millis(100), Timer::ResponseTimeout(user_index, id));
    }

    /// Handles the end of the reply to a statement. The transaction state `I` means that no transaction is open.
    fn handle_reply(
        &mut self,
        now: Timestamp,
        user_index: usize,
        transaction_state: &str,
        commands: &mut Commands,
    ) {
        let user = &mut self.users[user_index];
        let (Some(id), Some(operation)) = (user.statement_id.take(), user.operation.as_mut()) else {
            self.history.borrow_mut().record_violation("MIXED", now, "an answer to nothing".to_string());
            return self.handle_session_loss(now, user_index, commands);
        };
        let step = operation.steps[operation.next_step - 1].clone();
        if let Some(code) = user.fault.take() {
            let rejected = matches!(
                code,
                FaultCode::Saturated
                    | FaultCode::Reverted
                    | FaultCode::Lagging
                    | FaultCode::ReadOnly
                    | FaultCode::Misrouted
                    | FaultCode::Overload
            );
            let read_only = !operation.has_writes;
            let retryable = rejected || code == FaultCode::Failed && read_only;
            let operation = user.operation.take().expect("the operation is present");
            let service = user.service.clone();
            let not_executed = rejected || code.execution_status() == ExecutionStatus::NotRun;
            self.record_outcomes(
                user_index,
                &operation,
                not_executed.then_some(WriteOutcome::NotKept { at: now, service }),
            );
            self.finish_operation(now, user_index, operation, false, retryable);
            // A session with a failed transaction is not used again.
            if transaction_state != "I" {
                self.close_session(now, user_index, commands);
            }
            return;
        }
        let stamp = user.stamp.take().unwrap_or_default();
        let rows = std::mem::take(&mut user.rows);
        match &step {
            Step::Assign(value) => user.tag = Some(value.clone()),
            Step::Define(name, is_write) => drop(user.prepared_statements.insert(*is_write, name.clone())),
            Step::Begin(_) | Step::Abort => {}
            Step::Read { .. } | Step::Write { .. } | Step::Commit => {
                self.history.borrow_mut().record_success(now, &id, &stamp, &rows);
            }
        }
        let user = &mut self.users[user_index];
        let Some(operation) = user.operation.as_mut() else { return };
        if operation.next_step < operation.steps.len() {
            return self.send_step(now, user_index, commands);
        }
        let operation = user.operation.take().expect("the operation is present");
        let (service, session) = (user.service.clone(), user.session);
        let outcome = match step {
            Step::Abort => WriteOutcome::NotKept { at: now, service },
            _ => WriteOutcome::Acknowledged { at: now, service, session },
        };
        self.record_outcomes(user_index, &operation, Some(outcome));
        self.finish_operation(now, user_index, operation, true, false);
        if transaction_state != "I" {
            self.history.borrow_mut().record_violation(
                "MIXED",
                now,
                format!("state {transaction_state} after an operation"),
            );
        }
    }

    /// Closes the session and schedules a new one.
    fn close_session(&mut self, now: Timestamp, user_index: usize, commands: &mut Commands) {
        if let Some(conn) = self.users[user_index].conn.take() {
            self.users_by_conn.remove(&conn);
            commands.close(conn);
        }
        self.users[user_index].open = false;
        self.timers.set(now + TimeDelta::from_millis(10), Timer::Dial(user_index));
    }

    fn handle_line(&mut self, now: Timestamp, user_index: usize, line: &[u8], commands: &mut Commands) {
        let user = &mut self.users[user_index];
        match parse_response(line) {
            Some(Response::Idle { state, .. }) if !user.open => {
                user.open = state.letter() == "I";
                let delay = self.think_time * self.rng.f64();
                if self.users[user_index].operation.is_none() && self.users[user_index].retry.is_none() {
                    self.timers.set(now + delay, Timer::Think(user_index));
                }
            }
            Some(Response::Idle { state, .. }) => {
                self.handle_reply(now, user_index, state.letter(), commands)
            }
            Some(Response::Row(row)) => user.rows.push_str(row),
            Some(Response::Settled(stamp)) => user.stamp = Some(stamp.to_string()),
            Some(Response::Fault { code, .. }) if user.open => user.fault = Some(code),
            _ => self.handle_session_loss(now, user_index, commands),
        }
    }
}

impl Plane for Clients {
    fn handle(&mut self, now: Timestamp, event: Event<'_>, commands: &mut Commands) {
        match event {
            Event::Start => {
                for user_index in 0..self.users.len() {
                    let at = self.load_start + self.think_time * self.rng.f64();
                    self.timers.set(at, Timer::Dial(user_index));
                }
            }
            Event::Connected { conn } => {
                if let Some(user_index) = self.users_by_conn.get(&conn) {
                    let user = &self.users[*user_index];
                    let user_name = format!("u{}", user.session);
                    commands.write_line(conn, &["OPEN ", &user.database, " ", &user_name]);
                }
            }
            Event::Received { conn, bytes } => {
                let Some(&user_index) = self.users_by_conn.get(&conn) else { return };
                self.users[user_index].decoder.put(bytes);
                while self.users_by_conn.get(&conn) == Some(&user_index) {
                    let Ok(Some(line)) = self.users[user_index].decoder.take() else { break };
                    self.handle_line(now, user_index, &line, commands);
                }
            }
            Event::Closed { conn, .. } => {
                if let Some(&user_index) = self.users_by_conn.get(&conn) {
                    self.handle_session_loss(now, user_index, commands);
                }
            }
            Event::TimerExpired
            | Event::Signal(_)
            | Event::Stored { .. }
            | Event::DiskStatus { .. }
            | Event::Accepted { .. } => {}
        }
        while let Some(timer) = self.timers.take(now) {
            match timer {
                Timer::Dial(user_index) if self.users[user_index].conn.is_none() && now <= self.load_end => {
                    self.connect(now, user_index, commands);
                }
                Timer::Dial(_) => {}
                Timer::Think(user_index) => self.begin_operation(now, user_index, commands),
                Timer::ResponseTimeout(user_index, id) => {
                    let user = &self.users[user_index];
                    let still_opening =
                        !user.open && user.conn.is_some() && id == format!("open{}", user.session);
                    if still_opening || user.statement_id.as_ref() == Some(&id) {
                        self.handle_session_loss(now, user_index, commands);
                    }
                }
            }
        }
    }

    fn due(&self) -> Option<Timestamp> {
        self.timers.due()
    }
}
