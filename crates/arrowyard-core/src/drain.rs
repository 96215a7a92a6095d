//! The planned end: the router goes on accepting for a while, then closes what is idle and finishes its ops.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::limits::Limits;

/// How far the end has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Serving,
    /// It was told to end, and goes on accepting: others may not have heard of it yet. What it does for all is over.
    Draining,
    /// No new connections; connections end between ops.
    Closing,
}

pub struct Drain {
    pub stage: watch::Sender<Stage>,
    pub clients: Rc<Cell<usize>>,
    pub limits: Rc<Limits>,
}

pub fn termination_signals() -> io::Result<(Signal, Signal)> {
    Ok((signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?))
}

impl Drain {
    /// OptionalStartup once a signal has come and no client is left, or the last ops have had their time.
    pub async fn run(&self, (mut terminate, mut interrupt): (Signal, Signal)) {
        tokio::select! {
            _ = terminate.recv() => tracing::info!(clients = self.clients.get(), "SIGTERM: ending"),
            _ = interrupt.recv() => tracing::info!(clients = self.clients.get(), "SIGINT: ending"),
        }
        self.stage.send_replace(Stage::Draining);
        sleep(self.limits.drain_accept_period).await;
        self.stage.send_replace(Stage::Closing);
        let last = Instant::now() + self.limits.drain_timeout;
        while self.clients.get() > 0 && Instant::now() < last {
            sleep(self.limits.retry_pause).await;
        }
        tracing::info!(clients = self.clients.get(), "ended");
    }
}
