//! A journal of records that survive a loss of power, kept with `redb`.
//!
//! Invariants:
//! - [`Journal::append`] returns `Ok` only once the records would survive a loss of power, together with all
//!   records before them. What is read back is always a prefix of what was appended, with no record missing
//!   in between.
//! - After the first failure of a file nothing more is appended to it. A sync that failed may have dropped
//!   the pages that it did not write, so that a later sync that succeeds proves nothing ("fsyncgate";
//!   Rebello et al., "Can Applications Recover from fsync Failures?", 2020). [`Journal::replace`] writes one
//!   record that replaces all others to a new file. A start rewrites all that it reads in the same way,
//!   since the previous process may have met such a failure and the data may exist only in the page cache.
//! - A generation is in service only once it is durable and every older one is durably removed. If a start
//!   finds two, nothing was acknowledged for the newer one beyond its initial records.

use std::fmt;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicBool, Ordering};

use log::warn;
use redb::{Builder, Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};

use crate::storage::JournalStorage;

/// Records by their index. Index 0 marks a generation whose initial records are complete.
const RECORDS: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("records");
/// Index of the marker that the initial records of a generation are complete.
const COMPLETE_MARKER_INDEX: u64 = 0;
/// Size of the checksum before each record.
const CHECKSUM_BYTES: usize = 4;
/// Page cache size. It is small because a journal is read only at startup.
const CACHE_BYTES: usize = 1 << 20;
/// Bytes of records after the last snapshot at which the next snapshot is due.
pub const CHECKPOINT_BYTES: usize = 1 << 20;

/// Why records are not durable.
#[derive(Debug)]
pub enum JournalError {
    /// The file system refused an operation; it may succeed later.
    Unavailable(String),
    /// A journal file exists and cannot be read.
    Corrupt(String),
    /// Another process, or another journal in this process, holds the directory lock.
    InUse,
}

impl fmt::Display for JournalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JournalError::Unavailable(reason) => write!(f, "disk unavailable: {reason}"),
            JournalError::Corrupt(reason) => write!(f, "the journal is corrupt: {reason}"),
            JournalError::InUse => write!(f, "the directory is in use by another process"),
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
            // A truncated file stays unreadable however often it is read.
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

/// A journal with its current generation.
pub struct Journal<S: JournalStorage> {
    /// `None` after a failure, until [`Journal::replace`] has started a new generation. The database writes
    /// to its file when it closes, so this field is declared, and dropped, before the storage that holds the
    /// directory lock.
    database: Option<Database>,
    storage: S,
    /// The most recently created generation.
    generation: u64,
    /// The generation in service, which a restart reads.
    serving: Option<u64>,
    /// Obsolete generations that may still exist.
    stale: Vec<u64>,
    last_index: u64,
    bytes_since_snapshot: usize,
}

impl<S: JournalStorage> Journal<S> {
    /// Reads the newest complete generation, oldest record first, and starts a new generation with its
    /// records.
    ///
    /// # Errors
    /// [`JournalError::Corrupt`] if files exist and none can be read; the caller may continue with
    /// [`Journal::create_empty`].
    pub fn open(storage: S) -> Result<(Self, Vec<Vec<u8>>), JournalError> {
        let generations = storage.generations()?;
        let newest = generations.last().copied().unwrap_or_default();
        let mut this = Journal {
            storage,
            database: None,
            generation: newest,
            serving: None,
            stale: Vec::new(),
            last_index: COMPLETE_MARKER_INDEX,
            bytes_since_snapshot: 0,
        };
        let mut corrupt = None;
        for (index, &generation) in generations.iter().enumerate().rev() {
            match read_catching_panics(&this.storage, generation) {
                Ok(Some(records)) => {
                    this.serving = Some(generation);
                    this.stale = generations.iter().copied().filter(|&other| other != generation).collect();
                    let slices: Vec<&[u8]> = records.iter().map(Vec::as_slice).collect();
                    this.start_generation(&slices)?;
                    return Ok((this, records));
                }
                // It was never completed: nothing was acknowledged for it.
                Ok(None) => {}
                // An incomplete generation may also be unreadable, but only next to the older one that it
                // was to replace.
                Err(JournalError::Corrupt(reason)) if index > 0 => {
                    warn!("disk: ignoring incomplete generation {generation}: {reason}");
                }
                Err(JournalError::Corrupt(reason)) => corrupt = Some(reason),
                Err(unavailable) => return Err(unavailable),
            }
        }
        if let Some(reason) = corrupt {
            return Err(JournalError::Corrupt(reason));
        }
        this.stale = generations;
        this.start_generation(&[])?;
        Ok((this, Vec::new()))
    }

    /// Starts an empty generation that replaces unreadable files.
    ///
    /// # Errors
    /// When the disk returns an error.
    pub fn create_empty(storage: S) -> Result<Self, JournalError> {
        let stale = storage.generations()?;
        let generation = stale.last().copied().unwrap_or_default();
        let mut this = Journal {
            storage,
            database: None,
            generation,
            serving: None,
            stale,
            last_index: COMPLETE_MARKER_INDEX,
            bytes_since_snapshot: 0,
        };
        this.start_generation(&[])?;
        Ok(this)
    }

    /// Whether records can be appended.
    pub fn is_writable(&self) -> bool {
        self.database.is_some()
    }

    /// Whether enough was appended since the last snapshot for a new one.
    pub fn checkpoint_due(&self) -> bool {
        self.bytes_since_snapshot >= CHECKPOINT_BYTES
    }

    /// Appends records. All of them are durable when this returns `Ok`.
    ///
    /// # Errors
    /// When some of the records may not be durable. From then on every call fails until [`Journal::replace`]
    /// succeeds.
    pub fn append<'a>(&mut self, records: impl Iterator<Item = &'a [u8]>) -> Result<(), JournalError> {
        let Some(database) = &self.database else {
            return Err(JournalError::Unavailable("an earlier write failed".to_string()));
        };
        let (mut last, mut bytes) = (self.last_index, 0);
        let written = commit(database, |table| {
            for record in records {
                last += 1;
                bytes += record.len();
                table.insert(last, with_checksum(last, record).as_slice())?;
            }
            Ok(())
        });
        match written {
            Ok(()) => {
                (self.last_index, self.bytes_since_snapshot) = (last, self.bytes_since_snapshot + bytes);
                Ok(())
            }
            Err(error) => {
                self.database = None;
                Err(error)
            }
        }
    }

    /// Replaces all records by one. After a failure it is written to a new generation.
    ///
    /// # Errors
    /// When the disk returns an error. Either the previous records or the snapshot are then on disk.
    pub fn replace(&mut self, snapshot: &[u8]) -> Result<(), JournalError> {
        let Some(database) = &self.database else { return self.start_generation(&[snapshot]) };
        let index = self.last_index + 1;
        let written = commit(database, |table| {
            table.retain(|at, _| at == COMPLETE_MARKER_INDEX)?;
            table.insert(index, with_checksum(index, snapshot).as_slice())?;
            Ok(())
        });
        match written {
            Ok(()) => {
                (self.last_index, self.bytes_since_snapshot) = (index, 0);
                Ok(())
            }
            Err(error) => {
                self.database = None;
                Err(error)
            }
        }
    }

    /// Starts a generation with these records. It is in service once it is durable and all others are
    /// removed.
    fn start_generation(&mut self, records: &[&[u8]]) -> Result<(), JournalError> {
        self.database = None;
        self.remove_failed_attempts();
        self.generation += 1;
        self.stale.push(self.generation);
        let database = open(&self.storage, self.generation)?;
        commit(&database, |table| {
            table.insert(COMPLETE_MARKER_INDEX, &[] as &[u8])?;
            for (index, record) in (COMPLETE_MARKER_INDEX + 1..).zip(records) {
                table.insert(index, with_checksum(index, record).as_slice())?;
            }
            Ok(())
        })?;
        self.storage.sync()?;
        self.stale.extend(self.serving);
        self.stale.retain(|&generation| generation != self.generation);
        self.remove_stale()?;
        self.serving = Some(self.generation);
        self.last_index = COMPLETE_MARKER_INDEX + records.len() as u64;
        self.bytes_since_snapshot =
            if records.len() > 1 { records.iter().map(|record| record.len()).sum() } else { 0 };
        self.database = Some(database);
        Ok(())
    }

    /// Frees disk space by removing generations left by failed attempts. Errors are ignored.
    fn remove_failed_attempts(&mut self) {
        for generation in self.stale.iter().filter(|&&generation| Some(generation) != self.serving) {
            drop(self.storage.remove(*generation));
        }
    }

    /// Durably removes obsolete generations.
    fn remove_stale(&mut self) -> Result<(), JournalError> {
        for generation in
            self.storage.generations()?.iter().filter(|generation| self.stale.contains(generation))
        {
            self.storage.remove(*generation)?;
        }
        self.storage.sync()?;
        self.stale.clear();
        Ok(())
    }
}

/// A file that rejects all modifications after the first failure, including those that `redb` makes when it
/// closes.
#[derive(Debug)]
struct FailStopFile<B> {
    file: B,
    failed: AtomicBool,
}

impl<B: StorageBackend> FailStopFile<B> {
    fn modify(&self, operation: impl FnOnce(&B) -> io::Result<()>) -> io::Result<()> {
        if self.failed.load(Ordering::SeqCst) {
            return Err(io::Error::other("an earlier write failed"));
        }
        let done = operation(&self.file);
        if done.is_err() {
            self.failed.store(true, Ordering::SeqCst);
        }
        done
    }
}

impl<B: StorageBackend> StorageBackend for FailStopFile<B> {
    fn len(&self) -> io::Result<u64> {
        self.file.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.file.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.modify(|file| file.set_len(len))
    }

    fn sync_data(&self) -> io::Result<()> {
        self.modify(StorageBackend::sync_data)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.modify(|file| file.write(offset, data))
    }
}

fn open<S: JournalStorage>(storage: &S, generation: u64) -> Result<Database, JournalError> {
    let file = FailStopFile { file: storage.open(generation)?, failed: AtomicBool::new(false) };
    let opened = Builder::new().set_cache_size(CACHE_BYTES).create_with_backend(file);
    opened.map_err(|error| redb::Error::from(error).into())
}

/// The records of a generation; `None` if it is incomplete.
///
/// `redb` panics on some corrupt files. The panic is caught, since the process would otherwise crash at
/// every start.
fn read_catching_panics<S: JournalStorage>(
    storage: &S,
    generation: u64,
) -> Result<Option<Vec<Vec<u8>>>, JournalError> {
    let read = catch_unwind(AssertUnwindSafe(|| read_records(storage, generation)));
    read.unwrap_or_else(|_| Err(JournalError::Corrupt("the pages are inconsistent".to_string())))
}

fn read_records<S: JournalStorage>(
    storage: &S,
    generation: u64,
) -> Result<Option<Vec<Vec<u8>>>, JournalError> {
    let database = open(storage, generation)?;
    let transaction = database.begin_read().map_err(redb::Error::from)?;
    let table = match transaction.open_table(RECORDS) {
        Ok(table) => table,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(error) => return Err(redb::Error::from(error).into()),
    };
    let mut records = Vec::new();
    for entry in table.iter().map_err(redb::Error::from)? {
        let (index, record) = entry.map_err(redb::Error::from)?;
        if index.value() != COMPLETE_MARKER_INDEX {
            records.push(verify_checksum(index.value(), record.value())?);
        }
    }
    Ok(Some(records))
}

/// A record as it is stored: preceded by a checksum of its index and content. `redb` verifies its pages only
/// after a crash, so it would return a record whose bytes changed on the medium.
fn with_checksum(index: u64, record: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(CHECKSUM_BYTES + record.len());
    bytes.extend_from_slice(&checksum(index, record));
    bytes.extend_from_slice(record);
    bytes
}

fn verify_checksum(index: u64, bytes: &[u8]) -> Result<Vec<u8>, JournalError> {
    match bytes.split_first_chunk::<CHECKSUM_BYTES>() {
        Some((sum, record)) if *sum == checksum(index, record) => Ok(record.to_vec()),
        _ => Err(JournalError::Corrupt(format!("record {index} does not match its checksum"))),
    }
}

fn checksum(index: u64, record: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&index.to_le_bytes());
    hasher.update(record);
    hasher.finalize().to_le_bytes()
}

/// Executes one transaction, which is durable when this returns `Ok`.
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
