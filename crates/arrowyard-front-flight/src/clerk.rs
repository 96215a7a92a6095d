//! The task that owns tickets, prepared statements and what is known of clients' connections. Calls reach it by a
//! bounded channel, whatever thread they run on.

use std::collections::HashMap;

use arrowyard_core::clock::Clock;
use arrowyard_core::count::UsageGuard;
use arrowyard_flight::Fault;
use arrowyard_flight::bind::Literal;
use arrowyard_flight::conduct::{Conduct, LineId, Verdict};
use arrowyard_flight::handles::Handles;
use arrowyard_flight::ticket::{Key, Stub, Tickets};
use arrowyard_types::{TimeDelta, Timestamp};
use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval};

use crate::limits::FlightLimits;

type Asker<T> = oneshot::Sender<T>;

/// What calls want of it.
pub enum Chore {
    Left(LineId),
    Call(LineId, Counter, Asker<Result<Open, Verdict>>),
    Ended { line: LineId, taken_back: bool },
    Plan(String, Asker<Result<(Bytes, Timestamp), Fault>>),
    Redeem(Bytes, Asker<Result<(String, Stub), Fault>>),
    GiveBack(Stub),
    Prepare(String, Asker<Result<(Bytes, usize), Fault>>),
    Bind(Bytes, Vec<Literal>, Asker<Result<Bytes, Fault>>),
    Statement(Bytes, Asker<Result<String, Fault>>),
    Close(Bytes, Asker<Result<(), Fault>>),
}

/// A connection came; its end is told when the sender of `gone` is dropped.
pub struct Arrival {
    pub kept: UsageGuard,
    pub gone: oneshot::Receiver<()>,
    /// Sent to when the connection is to end.
    pub kick: oneshot::Sender<()>,
    pub id: oneshot::Sender<Option<LineId>>,
}

struct Line {
    /// Sent to when the connection is to end.
    kick: oneshot::Sender<()>,
    _kept: UsageGuard,
}

pub struct Clerk {
    clock: Clock,
    tickets: Tickets,
    handles: Handles,
    conduct: Conduct,
    lines: HashMap<LineId, Line>,
    limits: FlightLimits,
}

fn span(duration: std::time::Duration) -> TimeDelta {
    TimeDelta::from_micros(i64::try_from(duration.as_micros()).unwrap_or(i64::MAX))
}

impl Clerk {
    pub fn new(clock: Clock, key: Key, limits: FlightLimits) -> Self {
        let tickets = Tickets::new(key, span(limits.ticket), limits.tickets, limits.statement);
        let handles = Handles::new(key, limits.handles, span(limits.handle_idle), limits.statement);
        let (lines, calls) = (limits.connections, limits.calls);
        let conduct =
            Conduct::new(lines, calls, limits.taken_back, span(limits.taken_span), span(limits.idle));
        Clerk { clock, tickets, handles, conduct, lines: HashMap::new(), limits }
    }

    /// Does what it is asked till nobody is left to ask. Must run on a `LocalSet`.
    pub async fn run(
        mut self,
        own: mpsc::WeakSender<Chore>,
        mut chores: mpsc::Receiver<Chore>,
        mut arrivals: mpsc::Receiver<Arrival>,
    ) {
        let mut sweep = interval(self.limits.idle / 8);
        sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                chore = chores.recv() => match chore {
                    Some(chore) => self.chore(chore),
                    None => return,
                },
                Some(arrival) = arrivals.recv() => self.came(arrival, &own),
                _ = sweep.tick() => self.sweep(),
            }
        }
    }

    fn sweep(&mut self) {
        for id in self.conduct.idlers(self.clock.now()) {
            self.kick(id);
        }
    }

    /// The connection is told to end; its place is free at once.
    fn kick(&mut self, id: LineId) {
        self.conduct.left(id);
        if let Some(Line { kick, .. }) = self.lines.remove(&id) {
            // It may have ended by itself just now.
            let _ = kick.send(());
        }
    }

    fn came(&mut self, Arrival { kept, gone, kick, id }: Arrival, own: &mpsc::WeakSender<Chore>) {
        let mut came = self.conduct.came(self.clock.now());
        if came.is_none() {
            // Danger: connections that ask nothing hold all places.
            self.sweep();
            came = self.conduct.came(self.clock.now());
        }
        if let Some(came) = came {
            self.lines.insert(came, Line { kick, _kept: kept });
            let own = own.clone();
            drop(tokio::task::spawn_local(async move {
                let _ = gone.await;
                if let Some(own) = own.upgrade() {
                    let _ = own.send(Chore::Left(came)).await;
                }
            }));
        }
        // The listener ends with the router.
        let _ = id.send(came);
    }

    fn chore(&mut self, chore: Chore) {
        let now = self.clock.now();
        // Whoever asked may be gone, and does not hear the answer then.
        match chore {
            Chore::Left(line) => {
                self.conduct.left(line);
                self.lines.remove(&line);
            }
            Chore::Call(line, counter, asker) => {
                let verdict = self.conduct.call(now, line);
                if verdict == Verdict::Abuse {
                    self.kick(line);
                }
                let serve = verdict == Verdict::Serve;
                // Where nobody waits any more, what is dropped here tells that the call has ended.
                drop(asker.send(if serve {
                    Ok(Open { counter, line, answered: false })
                } else {
                    Err(verdict)
                }));
            }
            Chore::Ended { line, taken_back } => self.ended(now, line, taken_back),
            Chore::Plan(text, asker) => drop(asker.send(self.tickets.plan(now, &text))),
            Chore::Redeem(ticket, asker) => {
                let redeemed = self.tickets.redeem(now, &ticket);
                drop(asker.send(redeemed.map(|(text, stub)| (text.to_string(), stub))));
            }
            Chore::GiveBack(stub) => self.tickets.give_back(stub),
            Chore::Prepare(text, asker) => drop(asker.send(self.handles.prepare(now, &text))),
            Chore::Bind(handle, values, asker) => drop(asker.send(self.handles.bind(now, &handle, &values))),
            Chore::Statement(handle, asker) => drop(asker.send(self.handles.statement(now, &handle))),
            Chore::Close(handle, asker) => drop(asker.send(self.handles.close(&handle))),
        }
    }

    fn ended(&mut self, now: Timestamp, line: LineId, taken_back: bool) {
        if self.conduct.ended(now, line, taken_back) {
            tracing::warn!(line = line.0, "a client takes back more calls than it may; its connection ends");
            self.kick(line);
        }
    }
}

/// The side of the calls.
#[derive(Clone)]
pub struct Counter(mpsc::Sender<Chore>);

/// A clerk's counter, with room for so many chores.
pub fn open(room: usize) -> (Counter, mpsc::WeakSender<Chore>, mpsc::Receiver<Chore>) {
    let (chores, taken) = mpsc::channel(room);
    let own = chores.downgrade();
    (Counter(chores), own, taken)
}

impl Counter {
    /// Asks, and waits for what is answered.
    ///
    /// # Errors
    /// More wait than there is room for, or the router ends; nothing was done.
    pub async fn ask<T>(&self, chore: impl FnOnce(Asker<T>) -> Chore) -> Result<T, Fault> {
        let (asker, answer) = oneshot::channel();
        self.0.try_send(chore(asker)).map_err(|_| Fault::Busy(None))?;
        answer.await.map_err(|_| Fault::Busy(None))
    }

    /// Counts a call of the connection as open, till what is returned is dropped.
    ///
    /// # Errors
    /// The connection has too many open, or took too many back; nothing of this one was done.
    pub async fn call(&self, line: LineId) -> Result<Open, Fault> {
        let verdict = self.ask(|asker| Chore::Call(line, self.clone(), asker)).await?;
        verdict.map_err(|_| Fault::TooMany("calls of one connection"))
    }

    /// Tells something that has to arrive.
    pub fn tell(&self, chore: Chore) {
        if let Err(mpsc::error::TrySendError::Full(chore)) = self.0.try_send(chore) {
            // Danger: the end of a call that is dropped counts as open for ever.
            let chores = self.0.clone();
            drop(tokio::spawn(async move { chores.send(chore).await }));
        }
    }
}

/// What keeps a call counted till it ends.
pub struct Open {
    counter: Counter,
    line: LineId,
    /// Whether it was answered to its end.
    pub answered: bool,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.counter.tell(Chore::Ended { line: self.line, taken_back: !self.answered });
    }
}
