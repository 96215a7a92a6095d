//! The operator: sends configurations, and looks whether routers serve by the newest that was acknowledged.

use std::net::SocketAddrV4;

use arrowyard_runtime::http::{HttpDecoder, format_request};
use arrowyard_runtime::{Commands, Conn, Event, Plane, Timers};
use arrowyard_types::{TimeDelta, Timestamp};
use fastrand::Rng;

use crate::history::Shared;
use crate::system::Callable;

#[derive(Clone, Debug)]
enum Due {
    Send,
    Late(Conn),
    Change,
    Look(String),
    Read,
    Unread(Conn),
}

/// The operator.
pub struct Operator {
    controls: Callable,
    fronts: Vec<SocketAddrV4>,
    history: Shared,
    rng: Rng,
    timers: Timers<Due>,
    /// What is to be acknowledged next: path, base, body, and since when.
    sending: Option<(String, u64, String, Timestamp)>,
    call: Option<(Conn, HttpDecoder)>,
    pub revision: u64,
    acknowledged_at: Timestamp,
    /// Databases of the last change, and routers that are looked at for it.
    extra: Option<String>,
    looking: Vec<(Conn, SocketAddrV4, String)>,
    changes: Vec<Timestamp>,
    services: Vec<String>,
    apply: TimeDelta,
    turn: usize,
    /// When it reads the configuration back, and the call that does.
    read_at: Timestamp,
    reading: Option<(Conn, HttpDecoder)>,
    /// Whether all that it sent was acknowledged.
    pub done: bool,
}

impl Operator {
    /// It changes the configuration at these times, and reads it back at the last one.
    pub fn new(
        controls: Callable,
        fronts: Vec<SocketAddrV4>,
        first: String,
        services: Vec<String>,
        (changes, read_at): (Vec<Timestamp>, Timestamp),
        history: Shared,
        seed: u64,
    ) -> Self {
        Operator {
            controls,
            fronts,
            history,
            rng: Rng::with_seed(seed),
            timers: Timers::default(),
            sending: Some(("/Config.Replace".to_string(), 0, first, Timestamp::from_micros(0))),
            call: None,
            revision: 0,
            acknowledged_at: Timestamp::DISTANT_PAST,
            extra: None,
            looking: Vec::new(),
            changes,
            services,
            apply: TimeDelta::from_millis(3000),
            turn: seed as usize,
            read_at,
            reading: None,
            done: false,
        }
    }

    fn control(&self) -> SocketAddrV4 {
        let controls = self.controls.borrow();
        controls[self.turn % controls.len()]
    }

    /// Asks for the newest configuration, till it is answered.
    fn read(&mut self, now: Timestamp, commands: &mut Commands) {
        self.turn += 1;
        let conn = commands.dial(self.control());
        self.reading = Some((conn, HttpDecoder::default()));
        self.timers.set(now + TimeDelta::from_millis(1000), Due::Unread(conn));
    }

    fn unread(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        if self.reading.take_if(|(reading, _)| *reading == conn).is_some() {
            commands.reset(conn);
            self.timers.set(now + TimeDelta::from_millis(100), Due::Read);
        }
    }

    fn send(&mut self, now: Timestamp, commands: &mut Commands) {
        if self.sending.is_some() && self.call.is_none() {
            self.turn += 1;
            let conn = commands.dial(self.control());
            self.call = Some((conn, HttpDecoder::default()));
            self.timers.set(now + TimeDelta::from_millis(1000), Due::Late(conn));
        }
    }

    fn failed(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        if self.call.as_ref().is_some_and(|(call, _)| *call == conn) {
            self.call = None;
            commands.reset(conn);
            let wait = TimeDelta::from_millis(100) * (1.0 + self.rng.f64());
            self.timers.set(now + wait, Due::Send);
        }
    }

    fn answered(&mut self, now: Timestamp, status: u16) {
        let Some((path, _, body, _)) = self.sending.take() else { return };
        self.history.borrow_mut().unacknowledged = None;
        match status {
            200 => {
                self.revision = revision(&body).unwrap_or(self.revision);
                self.history.borrow_mut().in_place = self.revision;
                self.history.borrow_mut().acks.push(now);
                self.acknowledged_at = now;
                if path == "/Config.Adjust" {
                    let database = self.extra.take().unwrap_or_default();
                    self.timers.set(now + self.apply, Due::Look(database));
                }
                if let Some(at) = self.changes.first().copied() {
                    self.changes.remove(0);
                    self.timers.set(at.max(now), Due::Change);
                } else {
                    self.done = true;
                }
            }
            status => {
                self.history.borrow_mut().breach("CONFIG", now, format!("a sound change got {status}"));
            }
        }
    }
}

/// The revision that a configuration says it has.
fn revision(body: &str) -> Option<u64> {
    let rest = body.split("\"revision\":").nth(1)?;
    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

impl Plane for Operator {
    fn handle(&mut self, now: Timestamp, event: Event<'_>, commands: &mut Commands) {
        match event {
            Event::Start => {
                self.timers.set(now + TimeDelta::from_millis(500), Due::Send);
                self.timers.set(self.read_at, Due::Read);
            }
            Event::Connected { conn }
                if self.reading.as_ref().is_some_and(|(reading, _)| *reading == conn) =>
            {
                commands.write(conn, &[format_request("GET", "/Config.Read", "control", &[], "").as_bytes()]);
            }
            Event::Received { conn, bytes }
                if self.reading.as_ref().is_some_and(|(reading, _)| *reading == conn) =>
            {
                let Some((_, messages)) = &mut self.reading else { return };
                messages.put(bytes);
                match messages.next_response() {
                    Ok(None) => {}
                    Ok(Some(response)) if response.status == 200 => {
                        self.reading = None;
                        commands.close(conn);
                        let body = String::from_utf8_lossy(&response.body).into_owned();
                        self.history.borrow_mut().read_back = revision(&body);
                    }
                    _ => self.unread(now, conn, commands),
                }
            }
            Event::Connected { conn } => {
                if let (Some((call_conn, _)), Some((path, base, body, _))) = (&self.call, &self.sending)
                    && *call_conn == conn
                {
                    let base = base.to_string();
                    let text =
                        format_request("POST", path, "control", &[("Arrowyard-Base-Revision", &base)], body);
                    commands.write(conn, &[text.as_bytes()]);
                } else if let Some((_, _, database)) = self.looking.iter().find(|(look, _, _)| *look == conn)
                {
                    commands.write_line(conn, &["OPEN ", database, " operator"]);
                }
            }
            Event::Received { conn, bytes } => {
                if let Some((_, messages)) = self.call.as_mut().filter(|(call, _)| *call == conn) {
                    messages.put(bytes);
                    match messages.next_response() {
                        Ok(None) => {}
                        Ok(Some(response)) if response.status < 500 => {
                            self.call = None;
                            commands.close(conn);
                            self.answered(now, response.status);
                        }
                        _ => self.failed(now, conn, commands),
                    }
                } else if let Some(place) = self.looking.iter().position(|(look, _, _)| *look == conn) {
                    let (_, front, database) = self.looking.remove(place);
                    let text = String::from_utf8_lossy(bytes).into_owned();
                    commands.close(conn);
                    if text.starts_with("FAULT NODB") {
                        let what = format!("{front} does not know {database} of revision {}", self.revision);
                        self.history.borrow_mut().breach("CONFIG", now, what);
                    }
                }
            }
            Event::Closed { conn, .. } => {
                self.failed(now, conn, commands);
                self.unread(now, conn, commands);
                self.looking.retain(|(look, _, _)| *look != conn);
            }
            _ => {}
        }
        while let Some(due) = self.timers.take(now) {
            match due {
                Due::Send => self.send(now, commands),
                Due::Late(conn) => self.failed(now, conn, commands),
                Due::Read => self.read(now, commands),
                Due::Unread(conn) => self.unread(now, conn, commands),
                Due::Change => {
                    let revision = self.revision + 1 + self.rng.u64(0..4);
                    let database = format!("extra{revision}");
                    let service = self.services[self.rng.usize(0..self.services.len())].clone();
                    let body = format!(
                        "{{\"revision\":{revision},\"upsert\":{{\"channels\":[{{\"name\":\"r-{database}\",\"plant\":\"{database}\",\
                         \"path-prefix\":\"/\",\"kind\":\"primary\",\"deadline-ms\":800,\"setpoint-ms\":150,\"priority\":1,\
                         \"service\":\"{service}\",\"tries\":2}}]}}}}"
                    );
                    self.extra = Some(database);
                    self.sending = Some(("/Config.Adjust".to_string(), self.revision, body, now));
                    self.history.borrow_mut().unacknowledged = Some(now);
                    self.send(now, commands);
                }
                Due::Look(database) => {
                    for front in self.fronts.clone() {
                        let conn = commands.dial(front);
                        self.looking.push((conn, front, database.clone()));
                    }
                }
            }
        }
    }

    fn due(&self) -> Option<Timestamp> {
        self.timers.due()
    }
}
