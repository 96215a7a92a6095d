//! File access for the journal, which writes to one file per *generation*; see [`Journal`](crate::Journal).
//! Tests implement [`JournalStorage`] to inject storage faults.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use log::warn;
use redb::StorageBackend;

/// File name of a generation, followed by its number.
const PREFIX: &str = "journal-";
/// Lock file that a process holds while it uses the directory.
const LOCK: &str = "lock";

/// A directory that holds the generations of one journal.
pub trait JournalStorage: Send {
    /// The file of one generation.
    type File: StorageBackend;

    /// The numbers of the existing generations, in ascending order.
    ///
    /// # Errors
    /// When the directory cannot be listed.
    fn generations(&self) -> io::Result<Vec<u64>>;

    /// Opens a generation; one that does not exist is created empty.
    ///
    /// # Errors
    /// When the file cannot be opened or created.
    fn open(&self, generation: u64) -> io::Result<Self::File>;

    /// Removes a generation. Whether the removal survives a loss of power is known only after
    /// [`JournalStorage::sync`].
    ///
    /// # Errors
    /// When the file cannot be removed.
    fn remove(&self, generation: u64) -> io::Result<()>;

    /// Makes creations and removals durable.
    ///
    /// # Errors
    /// When the directory cannot be synced. Each creation and removal since the last sync may or may not be
    /// durable.
    fn sync(&self) -> io::Result<()>;
}

/// A locked directory of the file system. The lock is held until this is dropped, because two processes that
/// write to one generation would corrupt it.
#[derive(Debug)]
pub struct Directory {
    path: PathBuf,
    _lock: File,
}

impl Directory {
    /// Creates the directory if it does not exist, makes its name durable, and locks it.
    ///
    /// # Errors
    /// [`io::ErrorKind::ResourceBusy`] while another [`Directory`], of this process or of another one, holds
    /// the lock; otherwise when it cannot be created or its parent cannot be synced.
    pub fn create(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        // If the directory entry is not durable, a power loss removes the directory with all its files.
        if let Some(parent) = path.parent() {
            File::open(parent)?.sync_all()?;
        }
        Ok(Directory { path: path.to_path_buf(), _lock: lock(&path.join(LOCK))? })
    }

    fn file(&self, generation: u64) -> PathBuf {
        self.path.join(format!("{PREFIX}{generation:08}"))
    }
}

/// Locks a file. The kernel releases the lock when the process ends, even if it is killed.
fn lock(path: &Path) -> io::Result<File> {
    let file = OpenOptions::new().write(true).create(true).truncate(false).open(path)?;
    match file.try_lock() {
        Ok(()) => {}
        Err(TryLockError::WouldBlock) => {
            return Err(io::Error::new(
                io::ErrorKind::ResourceBusy,
                "the directory is in use by another process",
            ));
        }
        // Some file systems do not support locks; the journal works without one if only one process uses it.
        Err(TryLockError::Error(error)) => {
            warn!("disk: {}: cannot lock the directory: {error}", path.display())
        }
    }
    Ok(file)
}

impl JournalStorage for Directory {
    type File = RegularFile;

    fn generations(&self) -> io::Result<Vec<u64>> {
        let mut generations = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name();
            let number = name.to_str().and_then(|name| name.strip_prefix(PREFIX)?.parse::<u64>().ok());
            generations.extend(number);
        }
        generations.sort_unstable();
        Ok(generations)
    }

    fn open(&self, generation: u64) -> io::Result<RegularFile> {
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(true).truncate(false);
        options.open(self.file(generation)).map(RegularFile)
    }

    fn remove(&self, generation: u64) -> io::Result<()> {
        fs::remove_file(self.file(generation))
    }

    fn sync(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

/// One file of a [`Directory`].
#[derive(Debug)]
pub struct RegularFile(File);

impl StorageBackend for RegularFile {
    fn len(&self) -> io::Result<u64> {
        self.0.metadata().map(|metadata| metadata.len())
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.0.read_exact_at(out, offset)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.0.set_len(len)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.0.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.0.write_all_at(data, offset)
    }
}
