//! The disk's thread: it appends the records of a plane to its [`Journal`] and tells which are durable.
//!
//! Once the disk has refused anything, every record is answered as not kept, the plane is told, and from then on its
//! snapshot is written to a new generation again and again until that succeeds. The plane's memory is authoritative
//! meanwhile: it holds all that was ever acknowledged, so a snapshot of it stands for every record before.

use std::path::Path;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::Duration;

use log::{error, info, warn};
use mio::Waker;

use crate::journal::{Journal, JournalError};
use crate::storage::{Directory, JournalStorage};

/// A disk that refused is tried again after so long.
const RETRY: Duration = Duration::from_millis(200);
/// A store that is dropped waits so long for its journal to be closed; one whose disk hangs is left behind.
const CLOSE: Duration = Duration::from_millis(1000);

/// What the disk's thread tells.
#[derive(Debug)]
pub enum DiskEvent {
    /// A record is durable, or may not be.
    Stored { ticket: u64, durable: bool },
    /// One record is wanted that stands for all before it.
    Snapshot(Sender<Vec<u8>>),
    /// The disk refuses writes, or takes them again.
    DiskStatus { writable: bool },
}

/// A record with the number under which its fate is told.
type Numbered = (u64, Vec<u8>);
type Wake = Arc<OnceLock<Arc<Waker>>>;

/// The records of one process, in order, on a disk that a thread of its own waits for.
#[derive(Debug)]
pub struct Store {
    /// None once the store is being closed.
    thread: Option<Thread>,
    wake: Wake,
    /// Disconnected once the journal is closed and its folder's lock is given back.
    closed: Receiver<()>,
}

/// What is said to the disk's thread and heard from it. The thread ends when this is dropped.
#[derive(Debug)]
struct Thread {
    records: Sender<Numbered>,
    said: Receiver<DiskEvent>,
}

impl Drop for Store {
    fn drop(&mut self) {
        self.thread = None;
        if self.closed.recv_timeout(CLOSE) == Err(RecvTimeoutError::Timeout) {
            warn!("disk: It did not close the journal in time.");
        }
    }
}

/// What was on disk at a start.
#[derive(Debug, Default)]
pub struct Recovered {
    /// The records, oldest first.
    pub records: Vec<Vec<u8>>,
    /// Whether there were records that cannot be read: then nothing is known of what was promised before.
    pub corrupt: bool,
}

/// Opens the journal in a directory and reads what it holds.
///
/// # Errors
/// When the disk refuses; it may be well later.
pub fn open(path: &Path) -> Result<(Store, Recovered), JournalError> {
    let opened = Journal::open(Directory::create(path)?);
    let (journal, recovered) = match opened {
        Ok((journal, records)) => (journal, Recovered { records, corrupt: false }),
        Err(JournalError::Corrupt(why)) => {
            error!("disk: {why}; it begins anew, and this machine's word counts for nothing at first.");
            let journal = Journal::begin_anew(Directory::create(path)?)?;
            (journal, Recovered { records: Vec::new(), corrupt: true })
        }
        Err(unavailable) => return Err(unavailable),
    };
    let store = spawn(journal)?;
    Ok((store, recovered))
}

fn spawn<F: JournalStorage + 'static>(journal: Journal<F>) -> Result<Store, JournalError> {
    let (say, said) = channel();
    let (records, wanted) = channel();
    let wake: Wake = Arc::default();
    let (open, closed) = channel();
    let mut disk = Disk { journal, wanted, say, wake: wake.clone() };
    thread::Builder::new().name("disk".to_string()).spawn(move || {
        while disk.turn().is_some() {}
        drop(disk);
        drop::<Sender<()>>(open);
    })?;
    Ok(Store { thread: Some(Thread { records, said }), wake, closed })
}

/// The state of the disk's thread.
struct Disk<F: JournalStorage> {
    journal: Journal<F>,
    wanted: Receiver<Numbered>,
    say: Sender<DiskEvent>,
    wake: Wake,
}

impl<F: JournalStorage> Disk<F> {
    /// One step of its work; none once the process has no more use for it.
    fn turn(&mut self) -> Option<()> {
        if !self.journal.is_well() {
            return self.recover();
        }
        let first = self.wanted.recv().ok()?;
        // Whatever waits by now shares one sync.
        let batch: Vec<Numbered> = std::iter::once(first).chain(self.wanted.try_iter()).collect();
        let written = self.journal.append(batch.iter().map(|(_, record)| record.as_slice()));
        if let Err(error) = &written {
            error!("disk: {} records were not kept: {error}.", batch.len());
            self.tell(DiskEvent::DiskStatus { writable: false })?;
        }
        for (ticket, _) in batch {
            self.tell(DiskEvent::Stored { ticket, durable: written.is_ok() })?;
        }
        self.wake();
        if self.journal.wants_checkpoint() {
            let snapshot = self.snapshot()?;
            if let Err(error) = self.journal.replace(&snapshot) {
                error!("disk: A snapshot was not kept: {error}.");
                self.tell(DiskEvent::DiskStatus { writable: false })?;
                self.wake();
            }
        }
        Some(())
    }

    /// Refuses records for a while, and then tries to begin a new generation.
    fn recover(&mut self) -> Option<()> {
        match self.wanted.recv_timeout(RETRY) {
            Ok((ticket, _)) => {
                self.tell(DiskEvent::Stored { ticket, durable: false })?;
                self.wake();
                // The wait is over by time alone, or records that keep coming would put it off for ever.
                thread::sleep(RETRY);
                let late: Vec<Numbered> = self.wanted.try_iter().collect();
                for (ticket, _) in late {
                    self.tell(DiskEvent::Stored { ticket, durable: false })?;
                }
                self.wake();
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return None,
        }
        let snapshot = self.snapshot()?;
        match self.journal.replace(&snapshot) {
            Ok(()) => {
                info!("disk: It takes records again.");
                self.tell(DiskEvent::DiskStatus { writable: true })?;
                self.wake();
            }
            Err(error) => warn!("disk: Still no record can be kept: {error}."),
        }
        Some(())
    }

    fn snapshot(&self) -> Option<Vec<u8>> {
        let (send, snapshot) = channel();
        self.tell(DiskEvent::Snapshot(send))?;
        self.wake();
        snapshot.recv().ok()
    }

    fn tell(&self, said: DiskEvent) -> Option<()> {
        self.say.send(said).ok()
    }

    fn wake(&self) {
        self.wake.get().into_iter().for_each(|waker| drop(waker.wake()));
    }
}

/// What became of the disk or of one record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Stored { ticket: u64, durable: bool },
    DiskStatus { writable: bool },
}

impl Store {
    pub(crate) fn wake_by(&self, waker: Arc<Waker>) {
        drop(self.wake.set(waker));
    }

    pub(crate) fn put(&mut self, ticket: u64, record: Vec<u8>) {
        let sent = self.thread.as_ref().is_some_and(|thread| thread.records.send((ticket, record)).is_ok());
        if !sent {
            error!("disk: Its thread is gone.");
        }
    }

    /// The next outcome that is known. Hands out snapshots on the way.
    pub(crate) fn outcome(&mut self, snapshot: impl Fn() -> Vec<u8>) -> Option<Outcome> {
        loop {
            match self.thread.as_ref()?.said.try_recv().ok()? {
                DiskEvent::Stored { ticket, durable } => return Some(Outcome::Stored { ticket, durable }),
                DiskEvent::DiskStatus { writable } => return Some(Outcome::DiskStatus { writable }),
                DiskEvent::Snapshot(to) => drop(to.send(snapshot())),
            }
        }
    }
}
