//! A journal of records that survive a loss of power, kept with `redb`.
//!
//! Invariants:
//! - [`Journal::append`] returns `Ok` only once the records would survive a loss of power, together with all records
//!   before them. What is read back is always a prefix of what was appended, with no record missing in between.
//! - After the first failure of a file nothing more is appended to it. A sync that failed may have dropped the pages
//!   that it did not write, so that a later sync that succeeds proves nothing ("fsyncgate"; Rebello et al., "Can
//!   Applications Recover from fsync Failures?", 2020). [`Journal::replace`] writes one record that stands for all
//!   others to a new file. A start does the same with all that it reads, since it cannot know whether the process
//!   before it met such a failure: what it reads may stand in the system's cache alone.
//! - A generation is in service only once it is durable and every older one is durably removed. So where two are
//!   found at a start, nothing was ever acknowledged for the newer one beyond its first record.

use std::fmt;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicBool, Ordering};

use log::warn;
use redb::{Builder, Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};

use crate::storage::JournalStorage;

/// Records by their place in the journal. Place 0 marks a generation that was begun in full.
const RECORDS: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("records");
/// The place of the mark that a generation was begun in full.
const MARK: u64 = 0;
/// The checksum before each record.
const CHECKSUM_BYTES: usize = 4;
/// Memory for pages; a journal is read once and then only written.
const CACHE_BYTES: usize = 1 << 20;
/// So many bytes of records may stand behind the last snapshot before the next one is due.
pub const CHECKPOINT_BYTES: usize = 1 << 20;

/// Why records are not durable.
#[derive(Debug)]
pub enum JournalError {
    /// The file system refused an operation; it may succeed later.
    Unavailable(String),
    /// There is a file that cannot be read as a journal.
    Corrupt(String),
    /// Another process, or another journal of this one, has the folder.
    InUse,
}

impl fmt::Display for JournalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JournalError::Unavailable(why) => write!(f, "the disk refuses: {why}"),
            JournalError::Corrupt(why) => write!(f, "its records cannot be read: {why}"),
            JournalError::InUse => write!(f, "another process uses the directory"),
        }
    }
}

impl std::error::Error for JournalError {}

impl From<io::Error> for JournalError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ResourceBusy => JournalError::InUse,
            _ => JournalError::Unavailable(error.to_string()),
        }
    }
}

impl From<redb::Error> for JournalError {
    fn from(error: redb::Error) -> Self {
        match error {
            // A file that is shorter than it says is not read by trying again.
            redb::Error::Io(ref io)
                if !matches!(io.kind(), io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof) =>
            {
                JournalError::Unavailable(error.to_string())
            }
            redb::Error::Corrupted(_) | redb::Error::Io(_) | redb::Error::UpgradeRequired(_) => {
                JournalError::Corrupt(error.to_string())
            }
            _ => JournalError::Unavailable(error.to_string()),
        }
    }
}

/// A journal and its present generation.
pub struct Journal<F: JournalStorage> {
    /// None after a failure, until [`Journal::replace`] has begun a new generation. Safety: it writes to its file as it
    /// closes, so it stands before the folder, whose lock is given back last.
    database: Option<Database>,
    folder: F,
    /// The generation that was created last.
    generation: u64,
    /// The generation that a start is to read, as long as no newer one is in service.
    serving: Option<u64>,
    /// Generations that may still be in the folder and have no meaning any more.
    stale: Vec<u64>,
    last: u64,
    bytes: usize,
}

impl<F: JournalStorage> Journal<F> {
    /// Reads the newest generation that was begun in full, oldest record first, and begins a new one with its records.
    ///
    /// # Errors
    /// [`JournalError::Corrupt`] where there are files and none can be read; the caller may go on with
    /// [`Journal::begin_anew`].
    pub fn open(folder: F) -> Result<(Self, Vec<Vec<u8>>), JournalError> {
        let generations = folder.generations()?;
        let newest = generations.last().copied().unwrap_or_default();
        let mut this = Journal {
            folder,
            database: None,
            generation: newest,
            serving: None,
            stale: Vec::new(),
            last: MARK,
            bytes: 0,
        };
        let mut corrupt = None;
        for (place, &generation) in generations.iter().enumerate().rev() {
            match read(&this.folder, generation) {
                Ok(Some(records)) => {
                    this.serving = Some(generation);
                    this.stale = generations.iter().copied().filter(|&other| other != generation).collect();
                    let slices: Vec<&[u8]> = records.iter().map(Vec::as_slice).collect();
                    this.begin(&slices)?;
                    return Ok((this, records));
                }
                // Its beginning was cut short: nothing was acknowledged for it.
                Ok(None) => {}
                // A beginning that was cut short may also be unreadable, but only beside the older one that it was
                // to replace.
                Err(JournalError::Corrupt(why)) if place > 0 => {
                    warn!("disk: Generation {generation} was not begun in full: {why}.");
                }
                Err(JournalError::Corrupt(why)) => corrupt = Some(why),
                Err(unavailable) => return Err(unavailable),
            }
        }
        if let Some(why) = corrupt {
            return Err(JournalError::Corrupt(why));
        }
        this.stale = generations;
        this.begin(&[])?;
        Ok((this, Vec::new()))
    }

    /// Begins anew beside files that cannot be read; nothing that they held is known any more.
    ///
    /// # Errors
    /// When the disk refuses.
    pub fn begin_anew(folder: F) -> Result<Self, JournalError> {
        let stale = folder.generations()?;
        let generation = stale.last().copied().unwrap_or_default();
        let mut this =
            Journal { folder, database: None, generation, serving: None, stale, last: MARK, bytes: 0 };
        this.begin(&[])?;
        Ok(this)
    }

    /// Whether records can be appended.
    pub fn is_well(&self) -> bool {
        self.database.is_some()
    }

    /// Whether so much was appended that a snapshot should replace it.
    pub fn wants_checkpoint(&self) -> bool {
        self.bytes >= CHECKPOINT_BYTES
    }

    /// Appends records; they are durable, all of them, when it returns.
    ///
    /// # Errors
    /// When they may not be durable, in whole or in part. From then on every call fails until [`Journal::replace`]
    /// has succeeded.
    pub fn append<'a>(&mut self, records: impl Iterator<Item = &'a [u8]>) -> Result<(), JournalError> {
        let Some(database) = &self.database else {
            return Err(JournalError::Unavailable("it failed before".to_string()));
        };
        let (mut last, mut bytes) = (self.last, 0);
        let written = commit(database, |table| {
            for record in records {
                last += 1;
                bytes += record.len();
                table.insert(last, sealed(last, record).as_slice())?;
            }
            Ok(())
        });
        match written {
            Ok(()) => {
                (self.last, self.bytes) = (last, self.bytes + bytes);
                Ok(())
            }
            Err(error) => {
                self.database = None;
                Err(error)
            }
        }
    }

    /// Puts one record in the place of all others. After a failure it is written to a new generation.
    ///
    /// # Errors
    /// When the disk refuses; the records before it are still there, or the snapshot is.
    pub fn replace(&mut self, snapshot: &[u8]) -> Result<(), JournalError> {
        let Some(database) = &self.database else { return self.begin(&[snapshot]) };
        let place = self.last + 1;
        let written = commit(database, |table| {
            table.retain(|at, _| at == MARK)?;
            table.insert(place, sealed(place, snapshot).as_slice())?;
            Ok(())
        });
        match written {
            Ok(()) => {
                (self.last, self.bytes) = (place, 0);
                Ok(())
            }
            Err(error) => {
                self.database = None;
                Err(error)
            }
        }
    }

    /// Begins a new generation with these records, and puts it in service once it is durable and all others are gone.
    fn begin(&mut self, records: &[&[u8]]) -> Result<(), JournalError> {
        self.database = None;
        self.remove_failed();
        self.generation += 1;
        self.stale.push(self.generation);
        let database = open(&self.folder, self.generation)?;
        commit(&database, |table| {
            table.insert(MARK, &[] as &[u8])?;
            for (place, record) in (MARK + 1..).zip(records) {
                table.insert(place, sealed(place, record).as_slice())?;
            }
            Ok(())
        })?;
        self.folder.sync()?;
        self.stale.extend(self.serving);
        self.stale.retain(|&generation| generation != self.generation);
        self.remove_stale()?;
        self.serving = Some(self.generation);
        self.last = MARK + records.len() as u64;
        self.bytes = if records.len() > 1 { records.iter().map(|record| record.len()).sum() } else { 0 };
        self.database = Some(database);
        Ok(())
    }

    /// Makes room: what earlier attempts left behind is removed, as far as that goes.
    fn remove_failed(&mut self) {
        for generation in self.stale.iter().filter(|&&generation| Some(generation) != self.serving) {
            drop(self.folder.remove(*generation));
        }
    }

    /// Removes what has no meaning any more, and makes that durable.
    fn remove_stale(&mut self) -> Result<(), JournalError> {
        for generation in self.folder.generations()?.iter().filter(|there| self.stale.contains(there)) {
            self.folder.remove(*generation)?;
        }
        self.folder.sync()?;
        self.stale.clear();
        Ok(())
    }
}

/// A file that takes nothing more after its first failure: whatever `redb` does as it closes, a file that may be read
/// at the next start stays as the failure left it.
#[derive(Debug)]
struct Fused<B> {
    file: B,
    blown: AtomicBool,
}

impl<B: StorageBackend> Fused<B> {
    fn guarded(&self, operation: impl FnOnce(&B) -> io::Result<()>) -> io::Result<()> {
        if self.blown.load(Ordering::SeqCst) {
            return Err(io::Error::other("it failed before"));
        }
        let done = operation(&self.file);
        if done.is_err() {
            self.blown.store(true, Ordering::SeqCst);
        }
        done
    }
}

impl<B: StorageBackend> StorageBackend for Fused<B> {
    fn len(&self) -> io::Result<u64> {
        self.file.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.file.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.guarded(|file| file.set_len(len))
    }

    fn sync_data(&self) -> io::Result<()> {
        self.guarded(StorageBackend::sync_data)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.guarded(|file| file.write(offset, data))
    }
}

fn open<F: JournalStorage>(folder: &F, generation: u64) -> Result<Database, JournalError> {
    let file = Fused { file: folder.open(generation)?, blown: AtomicBool::new(false) };
    let opened = Builder::new().set_cache_size(CACHE_BYTES).create_with_backend(file);
    opened.map_err(|error| redb::Error::from(error).into())
}

/// The records of a generation; none if it was not begun in full.
///
/// Safety: `redb` panics at some spoilt bytes. A process that ended there would end at each of its starts.
fn read<F: JournalStorage>(folder: &F, generation: u64) -> Result<Option<Vec<Vec<u8>>>, JournalError> {
    let read = catch_unwind(AssertUnwindSafe(|| read_unguarded(folder, generation)));
    read.unwrap_or_else(|_| Err(JournalError::Corrupt("its pages contradict each other".to_string())))
}

fn read_unguarded<F: JournalStorage>(
    folder: &F,
    generation: u64,
) -> Result<Option<Vec<Vec<u8>>>, JournalError> {
    let database = open(folder, generation)?;
    let transaction = database.begin_read().map_err(redb::Error::from)?;
    let table = match transaction.open_table(RECORDS) {
        Ok(table) => table,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(error) => return Err(redb::Error::from(error).into()),
    };
    let mut records = Vec::new();
    for entry in table.iter().map_err(redb::Error::from)? {
        let (place, record) = entry.map_err(redb::Error::from)?;
        if place.value() != MARK {
            records.push(unsealed(place.value(), record.value())?);
        }
    }
    Ok(Some(records))
}

/// A record as it is written: behind the checksum of its place and itself. `redb` checks its pages only after a loss of
/// power, so it would hand out a record whose bytes changed on the medium.
fn sealed(place: u64, record: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(CHECKSUM_BYTES + record.len());
    bytes.extend_from_slice(&checksum(place, record));
    bytes.extend_from_slice(record);
    bytes
}

fn unsealed(place: u64, bytes: &[u8]) -> Result<Vec<u8>, JournalError> {
    match bytes.split_first_chunk::<CHECKSUM_BYTES>() {
        Some((sum, record)) if *sum == checksum(place, record) => Ok(record.to_vec()),
        _ => Err(JournalError::Corrupt(format!("record {place} does not match its checksum"))),
    }
}

fn checksum(place: u64, record: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&place.to_le_bytes());
    hasher.update(record);
    hasher.finalize().to_le_bytes()
}

/// Carries out one transaction; its effects are durable when it returns.
fn commit(
    database: &Database,
    write: impl FnOnce(&mut redb::Table<'_, u64, &'static [u8]>) -> Result<(), redb::StorageError>,
) -> Result<(), JournalError> {
    let transaction = database.begin_write().map_err(redb::Error::from)?;
    {
        let mut table = transaction.open_table(RECORDS).map_err(redb::Error::from)?;
        write(&mut table).map_err(redb::Error::from)?;
    }
    transaction.commit().map_err(redb::Error::from)?;
    Ok(())
}
