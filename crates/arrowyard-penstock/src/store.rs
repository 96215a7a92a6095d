use std::fmt;
use std::io;
use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;

use log::error;
use mio::Waker;
use okaywal::{Configuration, Entry, EntryId, LogManager, ReadChunkResult, SegmentReader, WriteAheadLog};

use crate::Plane;

/// A segment is thrown away after so many bytes, once a snapshot that stands for it is on disk.
const SEGMENT: u32 = 2 << 20;
const CHECKPOINT: u64 = 1 << 20;

/// What the disk's thread says.
pub enum Stored {
    Kept {
        ticket: u64,
        kept: bool,
    },
    /// It wants one record that stands for all before it.
    Snapshot(Sender<Vec<u8>>),
}

type Wake = Arc<OnceLock<Arc<Waker>>>;

/// The records of one process, in order, on a disk that a thread of its own waits for.
pub struct Store {
    records: Sender<(u64, Vec<u8>)>,
    said: Receiver<Stored>,
    wake: Wake,
}

/// Keeps the records as they are read at the start; later it asks for snapshots.
struct Manager {
    read: Arc<Mutex<Vec<Vec<u8>>>>,
    say: Sender<Stored>,
    wake: Wake,
}

impl fmt::Debug for Manager {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Manager")
    }
}

fn wake(wake: &Wake) {
    wake.get().into_iter().for_each(|waker| drop(waker.wake()));
}

impl LogManager for Manager {
    fn recover(&mut self, entry: &mut Entry<'_>) -> io::Result<()> {
        let mut records = Vec::new();
        loop {
            match entry.read_chunk()? {
                ReadChunkResult::Chunk(mut chunk) => {
                    let record = chunk.read_all()?;
                    // A torn record is one that nobody was told of; so is what follows it in its entry.
                    if !chunk.check_crc()? {
                        return Ok(());
                    }
                    records.push(record);
                }
                ReadChunkResult::EndOfEntry => break,
                ReadChunkResult::AbortedEntry => return Ok(()),
            }
        }
        self.read.lock().expect("no panic while it was held").append(&mut records);
        Ok(())
    }

    fn checkpoint_to(&mut self, _: EntryId, _: &mut SegmentReader, wal: &WriteAheadLog) -> io::Result<()> {
        let (send, snapshot) = channel();
        self.say.send(Stored::Snapshot(send)).map_err(io::Error::other)?;
        wake(&self.wake);
        let snapshot = snapshot.recv().map_err(io::Error::other)?;
        let mut entry = wal.begin_entry()?;
        entry.write_chunk(&snapshot)?;
        entry.commit().map(drop)
    }
}

/// Opens the records of a folder and reads what they hold, oldest first.
///
/// # Errors
/// When the folder cannot be used.
pub fn open(folder: &Path) -> io::Result<(Store, Vec<Vec<u8>>)> {
    std::fs::create_dir_all(folder)?;
    // Danger: a folder whose name is not on disk takes its files with it at a loss of power.
    folder
        .parent()
        .map_or(Ok(()), |parent| std::fs::File::open(parent).and_then(|parent| parent.sync_all()))?;
    let (say, said) = channel();
    let (records, wanted) = channel::<(u64, Vec<u8>)>();
    let shared: Wake = Arc::default();
    let read = Arc::new(Mutex::new(Vec::new()));
    let manager = Manager { read: read.clone(), say: say.clone(), wake: shared.clone() };
    let settings =
        Configuration::default_for(folder).preallocate_bytes(SEGMENT).checkpoint_after_bytes(CHECKPOINT);
    let wal = settings.open(manager)?;
    let waking = shared.clone();
    thread::Builder::new().name("disk".to_string()).spawn(move || {
        while let Ok(first) = wanted.recv() {
            // Whatever waits by now shares one sync.
            let batch: Vec<_> = std::iter::once(first).chain(wanted.try_iter()).collect();
            let kept = keep(&wal, &batch);
            if let Err(fault) = &kept {
                error!("disk: Records were not kept: {fault}.");
            }
            for (ticket, _) in &batch {
                if say.send(Stored::Kept { ticket: *ticket, kept: kept.is_ok() }).is_err() {
                    return;
                }
            }
            wake(&waking);
        }
    })?;
    let read = std::mem::take(&mut *read.lock().expect("no panic while it was held"));
    Ok((Store { records, said, wake: shared }, read))
}

fn keep(wal: &WriteAheadLog, batch: &[(u64, Vec<u8>)]) -> io::Result<()> {
    let mut entry = wal.begin_entry()?;
    for (_, record) in batch {
        entry.write_chunk(record)?;
    }
    entry.commit().map(drop)
}

impl Store {
    pub(crate) fn wake_by(&self, waker: Arc<Waker>) {
        drop(self.wake.set(waker));
    }

    pub(crate) fn put(&mut self, ticket: u64, record: Vec<u8>) {
        if self.records.send((ticket, record)).is_err() {
            error!("disk: Its thread is gone.");
        }
    }

    /// The next record whose fate is known. Hands out snapshots on the way.
    pub(crate) fn stored(&mut self, plane: &dyn Plane) -> Option<(u64, bool)> {
        loop {
            match self.said.try_recv().ok()? {
                Stored::Kept { ticket, kept } => return Some((ticket, kept)),
                Stored::Snapshot(to) => drop(to.send(plane.snapshot())),
            }
        }
    }
}
