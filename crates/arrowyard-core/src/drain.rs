//! Graceful shutdown: the router accepts connections for a grace period, then closes idle ones and finishes
//! its ops.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::limits::Limits;

/// The stage of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No shutdown was requested.
    Serving,
    /// A termination signal was received; connections are still accepted, since clients may not know of it
    /// yet. Leases are released.
    Draining,
    /// No new connections are accepted, and open ones are closed between ops.
    Closing,
}

/// The graceful shutdown of a router.
pub struct Drain {
    /// Announces the stage to the other tasks.
    pub stage: watch::Sender<Stage>,
    /// The number of open client connections.
    pub clients: Rc<Cell<usize>>,
    pub limits: Rc<Limits>,
}

/// Listens for SIGTERM and SIGINT.
///
/// # Errors
/// A signal handler cannot be installed.
pub fn termination_signals() -> io::Result<(Signal, Signal)> {
    Ok((signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?))
}

impl Drain {
    /// Waits for a termination signal and drains. Returns once no client is connected or `drain_timeout` has
    /// passed.
    pub async fn run(&self, (mut terminate, mut interrupt): (Signal, Signal)) {
        tokio::select! {
            _ = terminate.recv() => tracing::info!(clients = self.clients.get(), "SIGTERM: draining"),
            _ = interrupt.recv() => tracing::info!(clients = self.clients.get(), "SIGINT: draining"),
        }
        self.stage.send_replace(Stage::Draining);
        sleep(self.limits.drain_accept_period).await;
        self.stage.send_replace(Stage::Closing);
        let deadline = Instant::now() + self.limits.drain_timeout;
        while self.clients.get() > 0 && Instant::now() < deadline {
            sleep(self.limits.retry_pause).await;
        }
        tracing::info!(clients = self.clients.get(), "drain completed");
    }
}
