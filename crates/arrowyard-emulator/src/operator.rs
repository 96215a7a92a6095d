//! Simulated operator: sends configurations, and checks that routers apply the last acknowledged one.

use std::net::SocketAddrV4;

use arrowyard_runtime::http::{HttpDecoder, format_request};
use arrowyard_runtime::{Commands, Conn, Event, Plane, Timers};
use arrowyard_types::{TimeDelta, Timestamp};
use fastrand::Rng;

use crate::deployment::ControlAddresses;
use crate::history::SharedHistory;

#[derive(Clone, Debug)]
enum Timer {
    /// Sends the pending change.
    Send,
    CallTimeout(Conn),
    /// Starts the next change.
    Change,
    /// Checks whether routers know this database.
    CheckRouters(String),
    /// Reads the configuration back.
    Read,
    ReadTimeout(Conn),
}

/// A simulated operator.
pub struct Operator {
    controls: ControlAddresses,
    router_addresses: Vec<SocketAddrV4>,
    history: SharedHistory,
    rng: Rng,
    timers: Timers<Timer>,
    /// The pending change: path, base revision, body, and when it was first sent.
    pending_change: Option<(String, u64, String, Timestamp)>,
    change_call: Option<(Conn, HttpDecoder)>,
    /// Last acknowledged revision.
    pub revision: u64,
    acknowledged_at: Timestamp,
    /// Database that the pending change adds.
    added_database: Option<String>,
    /// Connections that check whether a router knows a database.
    router_checks: Vec<(Conn, SocketAddrV4, String)>,
    /// Times of the remaining changes.
    changes: Vec<Timestamp>,
    services: Vec<String>,
    /// Time within which routers must apply an acknowledged change.
    apply_time: TimeDelta,
    next_control: usize,
    /// When to read the configuration back.
    read_at: Timestamp,
    read_call: Option<(Conn, HttpDecoder)>,
    /// Whether every change was acknowledged.
    pub all_acknowledged: bool,
}

impl Operator {
    /// Creates an operator that changes the configuration at `changes` and reads it back at `read_at`.
    pub fn new(
        controls: ControlAddresses,
        router_addresses: Vec<SocketAddrV4>,
        initial_configuration: String,
        services: Vec<String>,
        (changes, read_at): (Vec<Timestamp>, Timestamp),
        history: SharedHistory,
        seed: u64,
    ) -> Self {
        Operator {
            controls,
            router_addresses,
            history,
            rng: Rng::with_seed(seed),
            timers: Timers::default(),
            pending_change: Some((
                "/Config.Replace".to_string(),
                0,
                initial_configuration,
                Timestamp::from_micros(0),
            )),
            change_call: None,
            revision: 0,
            acknowledged_at: Timestamp::DISTANT_PAST,
            added_database: None,
            router_checks: Vec::new(),
            changes,
            services,
            apply_time: TimeDelta::from_millis(3000),
            next_control: seed as usize,
            read_at,
            read_call: None,
            all_acknowledged: false,
        }
    }

    fn current_control(&self) -> SocketAddrV4 {
        let controls = self.controls.borrow();
        controls[self.next_control % controls.len()]
    }

    /// Reads the current configuration; retried until there is a response.
    fn start_read(&mut self, now: Timestamp, commands: &mut Commands) {
        self.next_control += 1;
        let conn = commands.dial(self.current_control());
        self.read_call = Some((conn, HttpDecoder::default()));
        self.timers.set(now + TimeDelta::from_millis(1000), Timer::ReadTimeout(conn));
    }

    /// Schedules a retry of the read if `conn` is its call.
    fn retry_read(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        if self.read_call.take_if(|(call_conn, _)| *call_conn == conn).is_some() {
            commands.reset(conn);
            self.timers.set(now + TimeDelta::from_millis(100), Timer::Read);
        }
    }

    /// Sends the pending change to the next control machine.
    fn send_change(&mut self, now: Timestamp, commands: &mut Commands) {
        if self.pending_change.is_some() && self.change_call.is_none() {
            self.next_control += 1;
            let conn = commands.dial(self.current_control());
            self.change_call = Some((conn, HttpDecoder::default()));
            self.timers.set(now + TimeDelta::from_millis(1000), Timer::CallTimeout(conn));
        }
    }

    /// Schedules a retry of the pending change if `conn` is its call.
    fn retry_change(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        if self.change_call.as_ref().is_some_and(|(call_conn, _)| *call_conn == conn) {
            self.change_call = None;
            commands.reset(conn);
            let delay = TimeDelta::from_millis(100) * (1.0 + self.rng.f64());
            self.timers.set(now + delay, Timer::Send);
        }
    }

    /// Handles the response to the pending change. Any status but 200 violates `CONFIG`, because all changes are
    /// valid.
    fn handle_response(&mut self, now: Timestamp, status: u16) {
        let Some((path, _, body, _)) = self.pending_change.take() else { return };
        self.history.borrow_mut().change_pending_since = None;
        match status {
            200 => {
                self.revision = parse_revision(&body).unwrap_or(self.revision);
                self.history.borrow_mut().acknowledged_revision = self.revision;
                self.history.borrow_mut().change_times.push(now);
                self.acknowledged_at = now;
                if path == "/Config.Adjust" {
                    let database = self.added_database.take().unwrap_or_default();
                    self.timers.set(now + self.apply_time, Timer::CheckRouters(database));
                }
                if let Some(at) = self.changes.first().copied() {
                    self.changes.remove(0);
                    self.timers.set(at.max(now), Timer::Change);
                } else {
                    self.all_acknowledged = true;
                }
            }
            status => {
                self.history.borrow_mut().record_violation(
                    "CONFIG",
                    now,
                    format!("a sound change got {status}"),
                );
            }
        }
    }
}

/// Parses the revision of a configuration.
fn parse_revision(body: &str) -> Option<u64> {
    let after_key = body.split("\"revision\":").nth(1)?;
    after_key.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

impl Plane for Operator {
    fn handle(&mut self, now: Timestamp, event: Event<'_>, commands: &mut Commands) {
        match event {
            Event::Start => {
                self.timers.set(now + TimeDelta::from_millis(500), Timer::Send);
                self.timers.set(self.read_at, Timer::Read);
            }
            Event::Connected { conn }
                if self.read_call.as_ref().is_some_and(|(call_conn, _)| *call_conn == conn) =>
            {
                commands.write(conn, &[format_request("GET", "/Config.Read", "control", &[], "").as_bytes()]);
            }
            Event::Received { conn, bytes }
                if self.read_call.as_ref().is_some_and(|(call_conn, _)| *call_conn == conn) =>
            {
                let Some((_, decoder)) = &mut self.read_call else { return };
                decoder.put(bytes);
                match decoder.next_response() {
                    Ok(None) => {}
                    Ok(Some(response)) if response.status == 200 => {
                        self.read_call = None;
                        commands.close(conn);
                        let body = String::from_utf8_lossy(&response.body).into_owned();
                        self.history.borrow_mut().read_revision = parse_revision(&body);
                    }
                    _ => self.retry_read(now, conn, commands),
                }
            }
            Event::Connected { conn } => {
                if let (Some((call_conn, _)), Some((path, base, body, _))) =
                    (&self.change_call, &self.pending_change)
                    && *call_conn == conn
                {
                    let base = base.to_string();
                    let request =
                        format_request("POST", path, "control", &[("Arrowyard-Base-Revision", &base)], body);
                    commands.write(conn, &[request.as_bytes()]);
                } else if let Some((_, _, database)) =
                    self.router_checks.iter().find(|(check_conn, _, _)| *check_conn == conn)
                {
                    commands.write_line(conn, &["OPEN ", database, " operator"]);
                }
            }
            Event::Received { conn, bytes } => {
                if let Some((_, decoder)) =
                    self.change_call.as_mut().filter(|(call_conn, _)| *call_conn == conn)
                {
                    decoder.put(bytes);
                    match decoder.next_response() {
                        Ok(None) => {}
                        Ok(Some(response)) if response.status < 500 => {
                            self.change_call = None;
                            commands.close(conn);
                            self.handle_response(now, response.status);
                        }
                        _ => self.retry_change(now, conn, commands),
                    }
                } else if let Some(index) =
                    self.router_checks.iter().position(|(check_conn, _, _)| *check_conn == conn)
                {
                    let (_, router, database) = self.router_checks.remove(index);
                    let response = String::from_utf8_lossy(bytes).into_owned();
                    commands.close(conn);
                    if response.starts_with("FAULT NODB") {
                        let description =
                            format!("{router} does not know {database} of revision {}", self.revision);
                        self.history.borrow_mut().record_violation("CONFIG", now, description);
                    }
                }
            }
            Event::Closed { conn, .. } => {
                self.retry_change(now, conn, commands);
                self.retry_read(now, conn, commands);
                self.router_checks.retain(|(check_conn, _, _)| *check_conn != conn);
            }
            _ => {}
        }
        while let Some(timer) = self.timers.take(now) {
            match timer {
                Timer::Send => self.send_change(now, commands),
                Timer::CallTimeout(conn) => self.retry_change(now, conn, commands),
                Timer::Read => self.start_read(now, commands),
                Timer::ReadTimeout(conn) => self.retry_read(now, conn, commands),
                Timer::Change => {
                    let revision = self.revision + 1 + self.rng.u64(0..4);
                    let database = format!("extra{revision}");
                    let service = self.services[self.rng.usize(0..self.services.len())].clone();
                    let body = format!(
                        "{{\"revision\":{revision},\"upsert\":{{\"channels\":[{{\"name\":\"r-{database}\",\"plant\":\"{database}\",\
                         \"path-prefix\":\"/\",\"kind\":\"primary\",\"deadline-ms\":800,\"setpoint-ms\":150,\"priority\":1,\
                         \"service\":\"{service}\",\"tries\":2}}]}}}}"
                    );
                    self.added_database = Some(database);
                    self.pending_change = Some(("/Config.Adjust".to_string(), self.revision, body, now));
                    self.history.borrow_mut().change_pending_since = Some(now);
                    self.send_change(now, commands);
                }
                Timer::CheckRouters(database) => {
                    for router in self.router_addresses.clone() {
                        let conn = commands.dial(router);
                        self.router_checks.push((conn, router, database.clone()));
                    }
                }
            }
        }
    }

    fn due(&self) -> Option<Timestamp> {
        self.timers.due()
    }
}
