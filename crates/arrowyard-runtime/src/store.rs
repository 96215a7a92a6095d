//! The disk thread: appends the records of a plane to its [`Journal`] and reports which of them are durable.
//!
//! After the first disk error every record is reported as not durable and the plane is notified. The thread
//! then retries to write a snapshot of the plane to a new generation until that succeeds. The plane's memory
//! holds everything that was acknowledged, so the snapshot replaces all earlier records.

use std::path::Path;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::Duration;

use log::{error, info, warn};
use mio::Waker;

use crate::journal::{Journal, JournalError};
use crate::storage::{Directory, JournalStorage};

/// Interval between attempts to recover from a disk error.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// How long dropping a store waits for its journal to close. If the disk hangs, the thread is abandoned.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1000);

/// An event that the disk thread reports.
#[derive(Debug)]
pub enum DiskEvent {
    /// Whether a record is durable.
    Stored { ticket: u64, durable: bool },
    /// Requests a snapshot of the plane, which replaces all earlier records.
    Snapshot(Sender<Vec<u8>>),
    /// The disk stopped accepting records, or accepts them again.
    DiskStatus { writable: bool },
}

/// A record with the ticket under which its result is reported.
type TicketedRecord = (u64, Vec<u8>);
type SharedWaker = Arc<OnceLock<Arc<Waker>>>;

/// The journal of one process, written by a thread of its own.
#[derive(Debug)]
pub struct Store {
    /// `None` once the store is being closed.
    thread: Option<Thread>,
    waker: SharedWaker,
    /// Disconnected once the journal is closed and the directory lock is released.
    closed: Receiver<()>,
}

/// Channels to and from the disk thread, which ends when they are dropped.
#[derive(Debug)]
struct Thread {
    records: Sender<TicketedRecord>,
    events: Receiver<DiskEvent>,
}

impl Drop for Store {
    fn drop(&mut self) {
        self.thread = None;
        if self.closed.recv_timeout(CLOSE_TIMEOUT) == Err(RecvTimeoutError::Timeout) {
            warn!("disk: the journal was not closed in time");
        }
    }
}

/// Contents of the journal at startup.
#[derive(Debug, Default)]
pub struct Recovered {
    /// The records, oldest first.
    pub records: Vec<Vec<u8>>,
    /// Whether the journal was unreadable. Promises made before the restart are then unknown.
    pub corrupt: bool,
}

/// Opens the journal in a directory and reads its records. An unreadable journal is replaced by an empty
/// one.
///
/// # Errors
/// When the disk returns an error or the directory is in use; a later attempt may succeed.
pub fn open(path: &Path) -> Result<(Store, Recovered), JournalError> {
    let opened = Journal::open(Directory::create(path)?);
    let (journal, recovered) = match opened {
        Ok((journal, records)) => (journal, Recovered { records, corrupt: false }),
        Err(JournalError::Corrupt(reason)) => {
            error!(
                "disk: {reason}; starting with an empty journal, without a vote until the voters readmit this node"
            );
            let journal = Journal::create_empty(Directory::create(path)?)?;
            (journal, Recovered { records: Vec::new(), corrupt: true })
        }
        Err(unavailable) => return Err(unavailable),
    };
    let store = spawn(journal)?;
    Ok((store, recovered))
}

fn spawn<F: JournalStorage + 'static>(journal: Journal<F>) -> Result<Store, JournalError> {
    let (event_sender, events) = channel();
    let (records, requests) = channel();
    let waker: SharedWaker = Arc::default();
    let (closed_guard, closed) = channel();
    let mut disk = Disk { journal, requests, events: event_sender, waker: waker.clone() };
    thread::Builder::new().name("disk".to_string()).spawn(move || {
        while disk.step().is_some() {}
        drop(disk);
        drop::<Sender<()>>(closed_guard);
    })?;
    Ok(Store { thread: Some(Thread { records, events }), waker, closed })
}

/// State of the disk thread.
struct Disk<F: JournalStorage> {
    journal: Journal<F>,
    requests: Receiver<TicketedRecord>,
    events: Sender<DiskEvent>,
    waker: SharedWaker,
}

impl<F: JournalStorage> Disk<F> {
    /// Handles one batch of records; `None` once the store is dropped.
    fn step(&mut self) -> Option<()> {
        if !self.journal.is_writable() {
            return self.recover();
        }
        let first = self.requests.recv().ok()?;
        // All records queued by now share one sync.
        let batch: Vec<TicketedRecord> = std::iter::once(first).chain(self.requests.try_iter()).collect();
        let written = self.journal.append(batch.iter().map(|(_, record)| record.as_slice()));
        if let Err(error) = &written {
            error!("disk: failed to store {} records: {error}", batch.len());
            self.send(DiskEvent::DiskStatus { writable: false })?;
        }
        for (ticket, _) in batch {
            self.send(DiskEvent::Stored { ticket, durable: written.is_ok() })?;
        }
        self.wake_loop();
        if self.journal.checkpoint_due() {
            let snapshot = self.snapshot()?;
            if let Err(error) = self.journal.replace(&snapshot) {
                error!("disk: failed to store a snapshot: {error}");
                self.send(DiskEvent::DiskStatus { writable: false })?;
                self.wake_loop();
            }
        }
        Some(())
    }

    /// Rejects records for the retry interval, then tries to start a new generation.
    fn recover(&mut self) -> Option<()> {
        match self.requests.recv_timeout(RETRY_INTERVAL) {
            Ok((ticket, _)) => {
                self.send(DiskEvent::Stored { ticket, durable: false })?;
                self.wake_loop();
                // Wait a fixed time: a steady stream of records must not postpone the attempt.
                thread::sleep(RETRY_INTERVAL);
                let queued: Vec<TicketedRecord> = self.requests.try_iter().collect();
                for (ticket, _) in queued {
                    self.send(DiskEvent::Stored { ticket, durable: false })?;
                }
                self.wake_loop();
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return None,
        }
        let snapshot = self.snapshot()?;
        match self.journal.replace(&snapshot) {
            Ok(()) => {
                info!("disk: recovered, accepting records again");
                self.send(DiskEvent::DiskStatus { writable: true })?;
                self.wake_loop();
            }
            Err(error) => warn!("disk: still unavailable: {error}"),
        }
        Some(())
    }

    fn snapshot(&self) -> Option<Vec<u8>> {
        let (reply, snapshot) = channel();
        self.send(DiskEvent::Snapshot(reply))?;
        self.wake_loop();
        snapshot.recv().ok()
    }

    fn send(&self, event: DiskEvent) -> Option<()> {
        self.events.send(event).ok()
    }

    fn wake_loop(&self) {
        self.waker.get().into_iter().for_each(|waker| drop(waker.wake()));
    }
}

/// The result of storing one record, or a change of the disk status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Stored { ticket: u64, durable: bool },
    DiskStatus { writable: bool },
}

impl Store {
    /// Sets the waker that notifies the event loop of new outcomes.
    pub(crate) fn set_waker(&self, waker: Arc<Waker>) {
        drop(self.waker.set(waker));
    }

    /// Queues a record for the disk thread.
    pub(crate) fn put(&mut self, ticket: u64, record: Vec<u8>) {
        let sent = self.thread.as_ref().is_some_and(|thread| thread.records.send((ticket, record)).is_ok());
        if !sent {
            error!("disk: the disk thread has ended");
        }
    }

    /// The next outcome. Answers snapshot requests that precede it.
    pub(crate) fn outcome(&mut self, snapshot: impl Fn() -> Vec<u8>) -> Option<Outcome> {
        loop {
            match self.thread.as_ref()?.events.try_recv().ok()? {
                DiskEvent::Stored { ticket, durable } => return Some(Outcome::Stored { ticket, durable }),
                DiskEvent::DiskStatus { writable } => return Some(Outcome::DiskStatus { writable }),
                DiskEvent::Snapshot(reply) => drop(reply.send(snapshot())),
            }
        }
    }
}
