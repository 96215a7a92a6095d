//! A database host: takes sessions, runs statements, says that it is there. It checks what routers do to its sessions.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

use arrowyard_protocol::{LineDecoder, Position, Request, Response, TransactionState, split_word};
use arrowyard_runtime::http::{HttpDecoder, format_request};
use arrowyard_runtime::{Commands, Conn, Event, Plane, Timers};
use arrowyard_types::{TimeDelta, Timestamp};
use fastrand::Rng;

use crate::history::Shared;
use crate::shard::Shard;
use crate::system::Callable;

/// A call to control without an answer in so long goes to the next machine.
const CALL: TimeDelta = TimeDelta::from_millis(1000);
/// Statements that run at a time; more wait, and beyond that they are refused.
const SLOTS: usize = 5;
/// A host that leaves serves for so long after that was acknowledged, and a little longer; then nothing may come.
const DRAIN: TimeDelta = TimeDelta::from_millis(7000);
const QUEUE: usize = 40;
/// A host that is started while the others run calls control after so long.
const FIRST_CALL: TimeDelta = TimeDelta::from_millis(10);
/// Things that begin so take so many times the work of others.
pub const COSTLY: char = 'w';
const COSTS: f64 = 5.0;

/// What is wrong with a host on purpose.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostFaults {
    /// The share of answers that are lost though the statement ran.
    pub lost: f64,
    /// The share of statements that fail; what they did is rolled back.
    pub failing: f64,
    /// How many times slower it works.
    pub slow: f64,
    /// It works no time at all, for measurements of what stands before it.
    pub quick: bool,
    pub draining: bool,
}

#[derive(Clone, Debug, Default)]
struct Transaction {
    reads: bool,
    failed: bool,
    term: u64,
    operation: Option<u64>,
    writes: Vec<String>,
}

struct Session {
    lines: LineDecoder,
    open: bool,
    values: BTreeMap<String, String>,
    defined: BTreeMap<String, (bool, String)>,
    transaction: Option<Transaction>,
    busy: bool,
    queue: std::collections::VecDeque<(String, String)>,
}

#[derive(Clone, Debug)]
enum Due {
    /// A statement has been worked on for its time.
    Done {
        conn: Conn,
        id: String,
        text: String,
    },
    /// A commit waits for a replica.
    Safe {
        conn: Conn,
        id: String,
        number: usize,
        tries: u32,
    },
    Beat,
    Late(Conn),
}

/// One database host.
pub struct DatabaseHost {
    id: String,
    address: SocketAddrV4,
    zone: String,
    shard: Rc<RefCell<Shard>>,
    history: Shared,
    faults: Rc<RefCell<HostFaults>>,
    controls: Callable,
    target: Option<SocketAddrV4>,
    turn: usize,
    period: TimeDelta,
    limit: usize,
    sessions: BTreeMap<Conn, Session>,
    calls: BTreeMap<Conn, (HttpDecoder, String)>,
    timers: Timers<Due>,
    rng: Rng,
    seq: Rc<RefCell<u64>>,
    running: usize,
    waiting: std::collections::VecDeque<(Conn, String, String)>,
    role: Option<bool>,
    /// When control acknowledged that it leaves.
    left_at: Option<Timestamp>,
}

/// What one is made of.
pub struct HostPlan {
    pub id: String,
    pub address: SocketAddrV4,
    pub zone: String,
    pub controls: Callable,
    pub period: TimeDelta,
    pub limit: usize,
    pub seed: u64,
}

impl DatabaseHost {
    pub fn new(
        plan: HostPlan,
        shard: Rc<RefCell<Shard>>,
        history: Shared,
        faults: Rc<RefCell<HostFaults>>,
        seq: Rc<RefCell<u64>>,
    ) -> Self {
        let HostPlan { id, address, zone, controls, period, limit, seed } = plan;
        if let Some(copy) = shard.borrow_mut().copies.get_mut(&id) {
            (copy.up, copy.paused) = (true, false);
        }
        DatabaseHost {
            id,
            address,
            zone,
            shard,
            history,
            faults,
            controls,
            target: None,
            turn: seed as usize,
            period,
            limit,
            sessions: BTreeMap::new(),
            calls: BTreeMap::new(),
            timers: Timers::default(),
            rng: Rng::with_seed(seed),
            seq,
            running: 0,
            waiting: std::collections::VecDeque::new(),
            role: None,
            left_at: None,
        }
    }

    fn beat(&mut self, now: Timestamp, commands: &mut Commands) {
        let target = self.target.unwrap_or_else(|| {
            let controls = self.controls.borrow();
            controls[self.turn % controls.len()]
        });
        let leads = self.shard.borrow().leads(&self.id);
        self.role = Some(leads);
        *self.seq.borrow_mut() += 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"revision\":\"v1\",\"capacity\":{SLOTS},\"phase\":\"{}\",\
             \"cold-left-ms\":0,\"db-role\":\"{}\",\"call-seq\":{}}}",
            self.shard.borrow().service,
            self.address,
            self.zone,
            if self.faults.borrow().draining { "draining" } else { "in_service" },
            if leads { "primary" } else { "replica" },
            self.seq.borrow(),
        );
        let text =
            format_request("POST", &format!("/Instances.Beat/{}", self.id), &target.to_string(), &[], &body);
        let conn = commands.dial(target);
        self.calls.insert(conn, (HttpDecoder::default(), text));
        self.timers.set(now + CALL, Due::Late(conn));
    }

    fn call_failed(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        if self.calls.remove(&conn).is_some() {
            commands.reset(conn);
            self.target = None;
            self.turn += 1;
            let wait = TimeDelta::from_millis(100) * (1.0 + self.rng.f64());
            self.timers.set(now + wait, Due::Beat);
        }
    }

    fn line(&mut self, now: Timestamp, conn: Conn, line: &str, commands: &mut Commands) {
        let open = self.sessions.values().filter(|session| session.open).count();
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        match Request::parse(line) {
            Some(Request::Open { database, user }) if !session.open => {
                let wanted = split_word(user).1;
                let wrong =
                    database != self.shard.borrow().service || !wanted.is_empty() && wanted != self.id;
                if wrong || open >= self.limit {
                    self.history.borrow_mut().reset_over_cap += u64::from(!wrong);
                    commands.write_line(
                        conn,
                        &["FAULT ", if wrong { "MISROUTED " } else { "OVERLOAD " }, &self.id],
                    );
                    commands.close(conn);
                    self.sessions.remove(&conn);
                    return;
                }
                session.open = true;
                self.idle(conn, commands);
            }
            Some(Request::Query { id, text }) if session.open => {
                session.queue.push_back((id.to_string(), text.to_string()));
                self.next(now, conn, commands);
            }
            _ => {
                commands.close(conn);
                self.sessions.remove(&conn);
            }
        }
    }

    fn idle(&mut self, conn: Conn, commands: &mut Commands) {
        let Some(session) = self.sessions.get(&conn) else { return };
        let state = match &session.transaction {
            None => TransactionState::Idle,
            Some(transaction) if transaction.failed => TransactionState::Failed,
            Some(_) => TransactionState::InTransaction,
        };
        let (applied, _) = self.shard.borrow().positions(&self.id);
        commands.write_line(conn, &["IDLE ", state.letter(), " ", &applied.to_string()]);
    }

    fn next(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        loop {
            let Some(session) = self.sessions.get_mut(&conn) else { return };
            if session.busy {
                return;
            }
            let Some((id, text)) = session.queue.pop_front() else { return };
            let word = split_word(&text).0;
            let plain = if word == "AFTER" { split_word(split_word(split_word(&text).1).1).0 } else { word };
            if matches!(plain, "READ" | "WRITE" | "COMMIT" | "RUN" | "OBSERVE") {
                if self.running < SLOTS {
                    self.work(now, conn, id, text);
                } else if self.waiting.len() < QUEUE {
                    session.busy = true;
                    self.waiting.push_back((conn, id, text));
                } else {
                    self.fault(conn, "SATURATED", commands);
                }
            } else {
                self.at_once(conn, &id, &text, commands);
            }
        }
    }

    fn work(&mut self, now: Timestamp, conn: Conn, id: String, text: String) {
        self.running += 1;
        if let Some(session) = self.sessions.get_mut(&conn) {
            session.busy = true;
        }
        let slow = self.faults.borrow().slow.max(1.0);
        let costs = if text.contains(&format!(" {COSTLY}")) { COSTS } else { 1.0 };
        let works = TimeDelta::from_micros(1500) * (costs * slow * (0.5 + 3.0 * self.rng.f64()));
        let takes = if self.faults.borrow().quick { TimeDelta::ZERO } else { works };
        self.timers.set(now + takes, Due::Done { conn, id, text });
    }

    fn fault(&mut self, conn: Conn, code: &str, commands: &mut Commands) {
        if let Some(transaction) =
            self.sessions.get_mut(&conn).and_then(|session| session.transaction.as_mut())
        {
            transaction.failed = true;
        }
        commands.write_line(conn, &["FAULT ", code, " ", &self.id]);
        self.idle(conn, commands);
    }

    fn settled(&mut self, conn: Conn, stamp: &str, commands: &mut Commands) {
        commands.write_line(conn, &["SETTLED ", stamp]);
        self.idle(conn, commands);
    }

    /// Whether the host's log lacks a position that a statement must see; and the statement without it.
    fn after<'a>(&self, text: &'a str) -> (bool, &'a str) {
        let (word, rest) = split_word(text);
        if word != "AFTER" {
            return (false, text);
        }
        let (position, text) = split_word(rest);
        let (applied, _) = self.shard.borrow().positions(&self.id);
        (Position::parse(position).is_none_or(|wanted| applied < wanted), text)
    }

    fn at_once(&mut self, conn: Conn, id: &str, text: &str, commands: &mut Commands) {
        let (lacks, text) = self.after(text);
        let leads = self.shard.borrow().leads(&self.id);
        let term = self.shard.borrow().term;
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        let (word, rest) = split_word(text);
        if session.transaction.as_ref().is_some_and(|transaction| transaction.failed) && word != "ABORT" {
            return self.fault(conn, "MALFORMED", commands);
        }
        match word {
            "BEGIN" if lacks => return self.fault(conn, "LAGGING", commands),
            "BEGIN" if rest != "READ" && !leads => return self.fault(conn, "READONLY", commands),
            "BEGIN" => {
                session.transaction =
                    Some(Transaction { reads: rest == "READ", term, ..Transaction::default() });
            }
            "ABORT" => session.transaction = None,
            "CLEAR" => {
                session.values.clear();
                session.defined.clear();
            }
            "ASSIGN" => {
                let (name, value) = split_word(rest);
                session.values.insert(name.to_string(), value.to_string());
            }
            "DEFINE" => {
                let (name, rest) = split_word(rest);
                let (mode, shape) = split_word(rest);
                session.defined.insert(name.to_string(), (mode == "WRITE", shape.to_string()));
            }
            "YIELD" => {
                let term = rest.parse().unwrap_or_default();
                self.shard.borrow_mut().yield_to(&self.id, term);
                return self.observe(conn, commands);
            }
            "PAUSE" | "CONTINUE" => {
                let mut shard = self.shard.borrow_mut();
                if let Some(copy) = shard.copies.get_mut(&self.id).filter(|_| !leads) {
                    copy.paused = word == "PAUSE";
                }
                if word == "CONTINUE" {
                    drop(shard);
                    return self.observe(conn, commands);
                }
                drop(shard);
                return self.observe(conn, commands);
            }
            _ => return self.fault(conn, "MALFORMED", commands),
        }
        let _ = id;
        self.settled(conn, "-", commands);
    }

    fn observe(&mut self, conn: Conn, commands: &mut Commands) {
        let shard = self.shard.borrow();
        let (_, received) = shard.positions(&self.id);
        let role = if shard.leads(&self.id) { "primary" } else { "replica" };
        let term = shard.copies[&self.id].term;
        let row = format!("ROW {role} {term} {received} {term} 0 0 {}", self.sessions.len());
        drop(shard);
        commands.write_line(conn, &[&row]);
        self.settled(conn, "-", commands);
    }

    /// A statement has had its time: it runs.
    fn done(&mut self, now: Timestamp, conn: Conn, id: &str, text: &str, commands: &mut Commands) {
        self.running -= 1;
        if let Some((conn, id, text)) = self.waiting.pop_front() {
            self.work(now, conn, id, text);
        }
        let (lacks, text) = self.after(text);
        let (word, rest) = split_word(text);
        let leads = self.shard.borrow().leads(&self.id);
        let term = self.shard.borrow().term;
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        session.busy = false;
        if word == "OBSERVE" {
            return self.observe(conn, commands);
        }
        let lost_lead =
            session.transaction.as_ref().is_some_and(|tx| !tx.reads && (!leads || tx.term != term));
        let shape = (word == "RUN").then(|| session.defined.get(split_word(rest).0).cloned());
        let writes = match &shape {
            Some(Some((writes, _))) => *writes,
            Some(None) => return self.fault(conn, "UNDEFINED", commands),
            None => word == "WRITE",
        };
        if session.transaction.as_ref().is_some_and(|transaction| transaction.failed) {
            if word == "COMMIT" {
                session.transaction = None;
                return self.fault(conn, "REVERTED", commands);
            }
            return self.fault(conn, "MALFORMED", commands);
        }
        if lacks {
            return self.fault(conn, "LAGGING", commands);
        }
        let wrote = session.transaction.as_ref().is_some_and(|tx| !tx.writes.is_empty());
        if writes && !leads || lost_lead && (word != "COMMIT" || wrote) {
            if word == "COMMIT" {
                session.transaction = None;
            }
            return self.fault(conn, "READONLY", commands);
        }
        if self.rng.f64() < self.faults.borrow().failing {
            if word == "COMMIT" {
                session.transaction = None;
            }
            self.fault(conn, "FAILED", commands);
            return self.next(now, conn, commands);
        }
        // It runs.
        let inside = session.transaction.as_ref().map(|transaction| transaction.operation);
        let tag = session.values.get("tag").cloned();
        let shape = shape.flatten().map(|(_, shape)| shape);
        let mut history = self.history.borrow_mut();
        history.runs(now, id, text, shape.as_deref(), tag.as_deref(), inside);
        if inside.flatten().is_none() {
            history.arrives(now, id, self.left_at, DRAIN, &self.id);
        }
        let operation = history.asked.get(id).map(|asked| asked.operation);
        if let Some(transaction) = &mut session.transaction {
            transaction.operation = operation;
        }
        let stamp = format!("{}.{id}", self.id);
        let row = if writes || word == "COMMIT" { String::new() } else { format!("row-{id}-{}", self.id) };
        if let Some(asked) = history.asked.get_mut(id) {
            (asked.stamp, asked.rows) = (Some(stamp.clone()), Some(row.clone()));
        }
        if !writes && word != "COMMIT" {
            let shard = self.shard.borrow();
            history.reads(now, id, shard.copies[&self.id].applied, shard.log().len(), &self.id);
        }
        drop(history);
        let token = rest.rsplit(' ').next().unwrap_or_default().to_string();
        let commits = match (&mut session.transaction, word) {
            (Some(transaction), "COMMIT") => {
                let writes = std::mem::take(&mut transaction.writes);
                session.transaction = None;
                (!writes.is_empty()).then_some(writes)
            }
            (Some(transaction), _) => {
                if writes {
                    transaction.writes.push(token);
                }
                None
            }
            (None, _) => writes.then(|| vec![token]),
        };
        if let Some(writes) = commits {
            let number = self.shard.borrow_mut().commit(now, &self.id, writes.clone());
            self.history.borrow_mut().placed.extend(writes.into_iter().map(|token| (token, number)));
            let due = Due::Safe { conn, id: id.to_string(), number, tries: 0 };
            session.busy = true;
            self.timers.set(now + TimeDelta::from_micros(600), due);
            return;
        }
        let lost = self.rng.f64() < self.faults.borrow().lost;
        if !lost {
            if !row.is_empty() {
                commands.write_line(conn, &["ROW ", &row]);
            }
            self.settled(conn, &stamp, commands);
        }
        self.next(now, conn, commands);
    }

    /// A commit is answered once a replica has it; without one it waits.
    fn safe(
        &mut self,
        now: Timestamp,
        conn: Conn,
        id: &str,
        number: usize,
        tries: u32,
        commands: &mut Commands,
    ) {
        let leads = self.shard.borrow().leads(&self.id);
        if !leads {
            // Whether it is kept, nobody can say any more.
            self.sessions.remove(&conn);
            return commands.reset(conn);
        }
        if !self.shard.borrow().is_safe(&self.id, number) {
            if tries % 50 == 49 {
                let others: Vec<String> = self.shard.borrow().copies.keys().cloned().collect();
                others.iter().for_each(|other| self.shard.borrow_mut().pass_on(now, other));
            }
            let due = Due::Safe { conn, id: id.to_string(), number, tries: tries + 1 };
            self.timers.set(now + TimeDelta::from_micros(900), due);
            return;
        }
        if let Some(session) = self.sessions.get_mut(&conn) {
            session.busy = false;
            let lost = self.rng.f64() < self.faults.borrow().lost;
            if !lost {
                let stamp = format!("{}.{id}", self.id);
                self.settled(conn, &stamp, commands);
            }
            self.next(now, conn, commands);
        }
    }
}

impl Plane for DatabaseHost {
    fn handle(&mut self, now: Timestamp, event: Event<'_>, commands: &mut Commands) {
        self.shard.borrow_mut().advance(now);
        match event {
            Event::Start => {
                // At a first start calls are spread; a host that comes later calls at once.
                let first = now == Timestamp::from_micros(0);
                let wait = if first { self.period * self.rng.f64() } else { FIRST_CALL };
                self.timers.set(now + wait, Due::Beat);
            }
            Event::Accepted { conn, .. } => {
                let session = Session {
                    lines: LineDecoder::default(),
                    open: false,
                    values: BTreeMap::new(),
                    defined: BTreeMap::new(),
                    transaction: None,
                    busy: false,
                    queue: std::collections::VecDeque::new(),
                };
                self.sessions.insert(conn, session);
            }
            Event::Connected { conn } => {
                if let Some((_, text)) = self.calls.get(&conn) {
                    commands.write(conn, &[text.as_bytes()]);
                }
            }
            Event::Received { conn, bytes } => {
                if let Some((messages, _)) = self.calls.get_mut(&conn) {
                    messages.put(bytes);
                    match messages.next_response() {
                        Ok(None) => {}
                        Ok(Some(response)) if response.status == 200 => {
                            let said = self.calls.remove(&conn).map(|(_, text)| text).unwrap_or_default();
                            if said.contains("\"phase\":\"draining\"") {
                                self.left_at.get_or_insert(now);
                            }
                            commands.close(conn);
                            let body = String::from_utf8_lossy(&response.body).into_owned();
                            if let Some(target) =
                                body.split('"').nth(3).and_then(|target| target.parse().ok())
                            {
                                self.target = Some(target);
                            }
                        }
                        _ => self.call_failed(now, conn, commands),
                    }
                    return;
                }
                if let Some(session) = self.sessions.get_mut(&conn) {
                    session.lines.put(bytes);
                }
                while let Some(Ok(Some(line))) =
                    self.sessions.get_mut(&conn).map(|session| session.lines.take())
                {
                    let line = String::from_utf8_lossy(&line).into_owned();
                    self.line(now, conn, &line, commands);
                }
            }
            Event::Closed { conn, .. } => {
                self.call_failed(now, conn, commands);
                self.sessions.remove(&conn);
                self.waiting.retain(|(waiting, _, _)| *waiting != conn);
            }
            Event::TimerExpired | Event::Signal(_) | Event::Stored { .. } | Event::DiskStatus { .. } => {}
        }
        while let Some(due) = self.timers.take(now) {
            match due {
                Due::Done { conn, id, text } => self.done(now, conn, &id, &text, commands),
                Due::Safe { conn, id, number, tries } => self.safe(now, conn, &id, number, tries, commands),
                Due::Beat => {
                    self.timers.set(now + self.period, Due::Beat);
                    self.beat(now, commands);
                }
                Due::Late(conn) => self.call_failed(now, conn, commands),
            }
        }
        // Any change of its role is told at once.
        let leads = self.shard.borrow().leads(&self.id);
        if self.role.is_some_and(|told| told != leads) {
            self.beat(now, commands);
        }
    }

    fn due(&self) -> Option<Timestamp> {
        // It looks at its role a few times between its calls.
        self.timers.due().into_iter().chain(self.shard.borrow().due()).min()
    }
}

/// Reads an answer's line; for stand-ins that are clients.
pub(crate) fn answer(line: &[u8]) -> Option<Response<'_>> {
    std::str::from_utf8(line).ok().and_then(Response::parse)
}
