//! Clients: sessions at routers, operations of one statement or of a transaction, tries again after promises. They
//! write down what they asked and what they were told.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

use arrowyard_protocol::{ExecutionStatus, FaultCode, LineDecoder, Response};
use arrowyard_runtime::{Commands, Conn, Event, Plane, Timers};
use arrowyard_types::{TimeDelta, Timestamp};
use fastrand::Rng;

use crate::history::{Asked, Fate, Fresh, Shared};
use crate::host::{COSTLY, answer};

const AIM: TimeDelta = TimeDelta::from_millis(150);
const DEADLINE: TimeDelta = TimeDelta::from_millis(1000);

/// What a user does at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Assign(String),
    Define(String, bool),
    Begin(bool),
    Read { run: bool },
    Write { run: bool },
    Commit,
    Abort,
}

#[derive(Debug)]
struct Operation {
    number: u64,
    steps: Vec<Step>,
    next: usize,
    started: Timestamp,
    since: Timestamp,
    tokens: Vec<String>,
    inside: bool,
    commit_sent: bool,
    tries: u32,
    writes: bool,
}

struct User {
    database: String,
    service: String,
    fresh: Fresh,
    conn: Option<Conn>,
    open: bool,
    session: u64,
    lines: LineDecoder,
    tag: Option<String>,
    prepared: BTreeMap<bool, String>,
    operation: Option<Operation>,
    /// The statement under way: its id, its rows, its stamp or fault.
    id: Option<String>,
    rows: String,
    stamp: Option<String>,
    fault: Option<FaultCode>,
    again: Option<(Vec<Step>, u32, Timestamp)>,
}

#[derive(Clone, Debug)]
enum Due {
    Dial(usize),
    Think(usize),
    Late(usize, String),
}

/// Some users on one machine.
pub struct Clients {
    fronts: Rc<RefCell<Vec<SocketAddrV4>>>,
    users: Vec<User>,
    by_conn: BTreeMap<Conn, usize>,
    timers: Timers<Due>,
    history: Shared,
    rng: Rng,
    think: TimeDelta,
    until: Timestamp,
    from: Timestamp,
    /// What it asks for is found by more work than usual.
    costly: bool,
}

impl Clients {
    /// They ask for what takes hosts more work.
    #[must_use]
    pub fn costly(mut self, costly: bool) -> Self {
        self.costly = costly;
        self
    }

    /// `users` of each of the databases; each rests about `think` between two operations.
    pub fn new(
        fronts: Rc<RefCell<Vec<SocketAddrV4>>>,
        databases: &[(String, String, Fresh)],
        users: usize,
        think: TimeDelta,
        times: (Timestamp, Timestamp),
        history: Shared,
        seed: u64,
    ) -> Self {
        let user = |(database, service, fresh): &(String, String, Fresh)| User {
            database: database.clone(),
            service: service.clone(),
            fresh: *fresh,
            conn: None,
            open: false,
            session: 0,
            lines: LineDecoder::default(),
            tag: None,
            prepared: BTreeMap::new(),
            operation: None,
            id: None,
            rows: String::new(),
            stamp: None,
            fault: None,
            again: None,
        };
        let users = (0..users).flat_map(|_| databases.iter().map(user)).collect();
        let (from, until) = times;
        Clients {
            fronts,
            users,
            by_conn: BTreeMap::new(),
            timers: Timers::default(),
            history,
            rng: Rng::with_seed(seed),
            think,
            until,
            from,
            costly: false,
        }
    }

    fn dial(&mut self, now: Timestamp, place: usize, commands: &mut Commands) {
        let fronts = self.fronts.borrow().clone();
        if fronts.is_empty() {
            self.timers.set(now + TimeDelta::from_millis(200), Due::Dial(place));
            return;
        }
        let conn = commands.dial(fronts[self.rng.usize(0..fronts.len())]);
        self.by_conn.insert(conn, place);
        let session = self.history.borrow_mut().number();
        let user = &mut self.users[place];
        (user.conn, user.open, user.session) = (Some(conn), false, session);
        (user.lines, user.tag, user.prepared) = (LineDecoder::default(), None, BTreeMap::new());
        (user.id, user.rows, user.stamp, user.fault) = (None, String::new(), None, None);
        self.timers.set(now + TimeDelta::from_millis(2000), Due::Late(place, format!("open{}", session)));
    }

    /// The session is no more: what was under way has failed.
    fn lose(&mut self, now: Timestamp, place: usize, commands: &mut Commands) {
        let user = &mut self.users[place];
        if let Some(conn) = user.conn.take() {
            self.by_conn.remove(&conn);
            commands.reset(conn);
        }
        if let Some(operation) = user.operation.take() {
            self.settle(place, &operation, None);
            let tries = !(operation.commit_sent || operation.writes && !operation.inside);
            self.over(now, place, operation, false, tries);
        }
        let wait = TimeDelta::from_millis(30) * (1.0 + self.rng.f64());
        self.timers.set(now + wait, Due::Dial(place));
    }

    /// What is known of an operation's writes: acknowledged, or kept by nobody, or unclear.
    fn settle(&mut self, place: usize, operation: &Operation, fate: Option<Fate>) {
        let mut history = self.history.borrow_mut();
        let (service, session) = (self.users[place].service.clone(), self.users[place].session);
        for token in &operation.tokens {
            if let Some(Fate::Acknowledged { at, .. }) = &fate {
                history.acknowledges(*at, &service, session, token);
            }
            history.fates.insert(token.clone(), fate.clone().unwrap_or(Fate::Unknown));
        }
    }

    fn over(&mut self, now: Timestamp, place: usize, operation: Operation, served: bool, again: bool) {
        let took = now - operation.started;
        let room = took < DEADLINE - TimeDelta::from_millis(50);
        let user = &mut self.users[place];
        if !served && again && operation.tries < 2 && room {
            let steps = operation.steps;
            user.again = Some((steps, operation.tries + 1, operation.started));
            self.timers.set(now + TimeDelta::from_millis(2), Due::Think(place));
            return;
        }
        let mut history = self.history.borrow_mut();
        history.tally.asked += 1;
        history.latencies.push(took);
        match (served, took <= AIM) {
            (true, true) => history.tally.served += 1,
            (true, false) => history.tally.late += 1,
            (false, _) if again => history.tally.refused += 1,
            (false, _) => history.tally.failed += 1,
        }
        history.ends(operation.started, served);
        let kind = user.fresh.name();
        history.ends_of(kind, operation.started, took, served && took <= AIM, served);
        drop(history);
        let rest = self.think * (0.5 + self.rng.f64());
        self.timers.set(now + rest, Due::Think(place));
    }

    fn draw(&mut self, place: usize) -> Vec<Step> {
        let fresh = self.users[place].fresh;
        let mut steps = Vec::new();
        if self.rng.f64() < 0.06 {
            steps.push(Step::Assign(format!("v{}", self.rng.u32(0..1000))));
        }
        if self.rng.f64() < 0.06 {
            steps.push(Step::Define(
                format!("q{}", self.rng.u32(0..9)),
                fresh == Fresh::Primary && self.rng.bool(),
            ));
        }
        let (writes, transactions) = match fresh {
            Fresh::Primary => (0.35, 0.4),
            Fresh::Bounded(_) => (0.0, 0.1),
            Fresh::Own(_) => (0.2, 0.15),
        };
        let run = self.rng.f64() < 0.3;
        if self.rng.f64() < transactions {
            let reads = !matches!(fresh, Fresh::Primary) && self.rng.f64() < 0.7 || writes == 0.0;
            steps.push(Step::Begin(reads));
            for _ in 0..self.rng.usize(1..5) {
                let write = !reads && self.rng.f64() < writes;
                steps.push(if write { Step::Write { run } } else { Step::Read { run } });
            }
            steps.push(if self.rng.f64() < 0.1 { Step::Abort } else { Step::Commit });
        } else if self.rng.f64() < writes {
            steps.push(Step::Write { run });
        } else {
            steps.push(Step::Read { run });
        }
        steps
    }

    fn begin(&mut self, now: Timestamp, place: usize, commands: &mut Commands) {
        if now > self.until || self.users[place].operation.is_some() {
            return;
        }
        if self.users[place].conn.is_none() || !self.users[place].open {
            self.timers.set(now + TimeDelta::from_millis(20), Due::Think(place));
            return;
        }
        let (steps, tries, started) = match self.users[place].again.take() {
            Some(again) => again,
            None => (self.draw(place), 0, now),
        };
        let number = self.history.borrow_mut().number();
        let inside = steps.iter().any(|step| matches!(step, Step::Begin(_)));
        let writes = steps.iter().any(|step| matches!(step, Step::Write { .. }));
        self.users[place].operation = Some(Operation {
            number,
            steps,
            next: 0,
            started,
            since: now,
            tokens: Vec::new(),
            inside,
            commit_sent: false,
            tries,
            writes,
        });
        self.step(now, place, commands);
    }

    fn step(&mut self, now: Timestamp, place: usize, commands: &mut Commands) {
        let id = format!("{:016x}", self.history.borrow_mut().number());
        let letter = if self.costly { COSTLY } else { 't' };
        let thing = format!("{letter}{}", self.rng.u32(0..200));
        let user = &mut self.users[place];
        let (Some(conn), Some(operation)) = (user.conn, user.operation.as_mut()) else { return };
        let step = operation.steps[operation.next].clone();
        operation.next += 1;
        let (mut shape, mut own) = (None, false);
        let mut prepared = |write: bool, run: bool| {
            let shape_of = user.prepared.get(&write).filter(|_| run).cloned();
            shape.clone_from(&shape_of);
            shape_of.map(|_| if write { "RUN w" } else { "RUN r" }).unwrap_or(if write {
                "WRITE"
            } else {
                "READ"
            })
        };
        let text = match &step {
            Step::Assign(value) => {
                own = true;
                format!("ASSIGN tag {value}")
            }
            Step::Define(name, write) => {
                own = true;
                format!(
                    "DEFINE {} {} {name}",
                    if *write { "w" } else { "r" },
                    if *write { "WRITE" } else { "READ" }
                )
            }
            Step::Begin(reads) => {
                (own, operation.since) = (true, now);
                if *reads { "BEGIN READ".to_string() } else { "BEGIN".to_string() }
            }
            Step::Read { run } => format!("{} {thing}", prepared(false, *run)),
            Step::Write { run } => {
                let token = format!("k{id}");
                operation.tokens.push(token.clone());
                format!("{} {thing} {token}", prepared(true, *run))
            }
            Step::Commit => {
                operation.commit_sent = true;
                "COMMIT".to_string()
            }
            Step::Abort => {
                own = true;
                "ABORT".to_string()
            }
        };
        if !own {
            if !operation.inside {
                operation.since = now;
            }
            let asked = Asked {
                at: now,
                since: operation.since,
                service: user.service.clone(),
                session: user.session,
                operation: operation.number,
                text: text.clone(),
                shape,
                tag: user.tag.clone(),
                fresh: user.fresh,
                inside: operation.inside,
                stamp: None,
                rows: None,
            };
            self.history.borrow_mut().asked.insert(id.clone(), asked);
        }
        (user.id, user.rows, user.stamp, user.fault) = (Some(id.clone()), String::new(), None, None);
        commands.write_line(conn, &["QUERY ", &id, " ", &text]);
        self.timers.set(now + DEADLINE + TimeDelta::from_millis(100), Due::Late(place, id));
    }

    /// A statement is answered.
    fn answered(&mut self, now: Timestamp, place: usize, letter: &str, commands: &mut Commands) {
        let user = &mut self.users[place];
        let (Some(id), Some(operation)) = (user.id.take(), user.operation.as_mut()) else {
            self.history.borrow_mut().breach("MIXED", now, "an answer to nothing".to_string());
            return self.lose(now, place, commands);
        };
        let step = operation.steps[operation.next - 1].clone();
        if let Some(code) = user.fault.take() {
            // In a transaction that failed the client ends it before it goes on.
            let promised = matches!(
                code,
                FaultCode::Saturated
                    | FaultCode::Reverted
                    | FaultCode::Lagging
                    | FaultCode::ReadOnly
                    | FaultCode::Misrouted
                    | FaultCode::Overload
            );
            let reads = !operation.writes;
            let again = promised || code == FaultCode::Failed && reads;
            let operation = user.operation.take().expect("it was there");
            let service = user.service.clone();
            let sure = promised || code.execution_status() == ExecutionStatus::NotRun;
            self.settle(place, &operation, sure.then_some(Fate::Promised { at: now, service }));
            self.over(now, place, operation, false, again);
            if letter != "I" {
                self.close(now, place, commands);
            }
            return;
        }
        let stamp = user.stamp.take().unwrap_or_default();
        let rows = std::mem::take(&mut user.rows);
        match &step {
            Step::Assign(value) => user.tag = Some(value.clone()),
            Step::Define(name, write) => drop(user.prepared.insert(*write, name.clone())),
            Step::Begin(_) | Step::Abort => {}
            Step::Read { .. } | Step::Write { .. } | Step::Commit => {
                self.history.borrow_mut().succeeds(now, &id, &stamp, &rows);
            }
        }
        let user = &mut self.users[place];
        let Some(operation) = user.operation.as_mut() else { return };
        if operation.next < operation.steps.len() {
            return self.step(now, place, commands);
        }
        let operation = user.operation.take().expect("it was there");
        let (service, session) = (user.service.clone(), user.session);
        let fate = match step {
            Step::Abort => Fate::Promised { at: now, service },
            _ => Fate::Acknowledged { at: now, service, session },
        };
        self.settle(place, &operation, Some(fate));
        self.over(now, place, operation, true, false);
        if letter != "I" {
            self.history.borrow_mut().breach("MIXED", now, format!("state {letter} after an operation"));
        }
    }

    fn close(&mut self, now: Timestamp, place: usize, commands: &mut Commands) {
        if let Some(conn) = self.users[place].conn.take() {
            self.by_conn.remove(&conn);
            commands.close(conn);
        }
        self.users[place].open = false;
        self.timers.set(now + TimeDelta::from_millis(10), Due::Dial(place));
    }

    fn line(&mut self, now: Timestamp, place: usize, line: &[u8], commands: &mut Commands) {
        let user = &mut self.users[place];
        match answer(line) {
            Some(Response::Idle { state, .. }) if !user.open => {
                user.open = state.letter() == "I";
                let wait = self.think * self.rng.f64();
                if self.users[place].operation.is_none() && self.users[place].again.is_none() {
                    self.timers.set(now + wait, Due::Think(place));
                }
            }
            Some(Response::Idle { state, .. }) => self.answered(now, place, state.letter(), commands),
            Some(Response::Row(row)) => user.rows.push_str(row),
            Some(Response::Settled(stamp)) => user.stamp = Some(stamp.to_string()),
            Some(Response::Fault { code, .. }) if user.open => user.fault = Some(code),
            _ => self.lose(now, place, commands),
        }
    }
}

impl Plane for Clients {
    fn handle(&mut self, now: Timestamp, event: Event<'_>, commands: &mut Commands) {
        match event {
            Event::Start => {
                for place in 0..self.users.len() {
                    let at = self.from + self.think * self.rng.f64();
                    self.timers.set(at, Due::Dial(place));
                }
            }
            Event::Connected { conn } => {
                if let Some(place) = self.by_conn.get(&conn) {
                    let user = &self.users[*place];
                    let who = format!("u{}", user.session);
                    commands.write_line(conn, &["OPEN ", &user.database, " ", &who]);
                }
            }
            Event::Received { conn, bytes } => {
                let Some(&place) = self.by_conn.get(&conn) else { return };
                self.users[place].lines.put(bytes);
                while self.by_conn.get(&conn) == Some(&place) {
                    let Ok(Some(line)) = self.users[place].lines.take() else { break };
                    self.line(now, place, &line, commands);
                }
            }
            Event::Closed { conn, .. } => {
                if let Some(&place) = self.by_conn.get(&conn) {
                    self.lose(now, place, commands);
                }
            }
            Event::TimerExpired
            | Event::Signal(_)
            | Event::Stored { .. }
            | Event::DiskStatus { .. }
            | Event::Accepted { .. } => {}
        }
        while let Some(due) = self.timers.take(now) {
            match due {
                Due::Dial(place) if self.users[place].conn.is_none() && now <= self.until => {
                    self.dial(now, place, commands);
                }
                Due::Dial(_) => {}
                Due::Think(place) => self.begin(now, place, commands),
                Due::Late(place, id) => {
                    let user = &self.users[place];
                    let opening = !user.open && user.conn.is_some() && id == format!("open{}", user.session);
                    if opening || user.id.as_ref() == Some(&id) {
                        self.lose(now, place, commands);
                    }
                }
            }
        }
    }

    fn due(&self) -> Option<Timestamp> {
        self.timers.due()
    }
}
