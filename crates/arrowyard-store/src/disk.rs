//! The file operations of the store, behind a trait so that tests can inject failures.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::Path;

/// File operations that the store depends on.
pub trait Disk {
    /// Reads up to about `max_bytes` bytes of a file. Returns them and the length of the file.
    ///
    /// # Errors
    /// The error of the operating system.
    fn read(&self, path: &Path, max_bytes: usize) -> io::Result<(Vec<u8>, u64)>;
    /// Writes and syncs a file that only its owner may read.
    ///
    /// # Errors
    /// The error of the operating system; the file may be incomplete.
    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()>;
    /// Renames a file over another atomically and syncs the directory.
    ///
    /// # Errors
    /// The error of the operating system.
    fn replace(&self, from: &Path, to: &Path) -> io::Result<()>;
}

/// The file system of the operating system.
pub struct SystemDisk;

impl Disk for SystemDisk {
    fn read(&self, path: &Path, max_bytes: usize) -> io::Result<(Vec<u8>, u64)> {
        let metadata = fs::metadata(path)?;
        if !metadata.is_file() {
            return Err(io::Error::from(io::ErrorKind::IsADirectory));
        }
        let mut bytes = Vec::new();
        // The file may grow while it is read, so the read is limited. One extra byte shows that the file is
        // too long.
        File::open(path)?.take(max_bytes as u64 + 1).read_to_end(&mut bytes)?;
        Ok((bytes, metadata.len()))
    }

    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let mut options = OpenOptions::new();
        options.write(true).create(true).truncate(true);
        #[cfg(unix)]
        std::os::unix::fs::OpenOptionsExt::mode(&mut options, 0o600);
        let mut file = options.open(path)?;
        file.write_all(bytes)?;
        // Without a sync before the rename, a power failure could replace a valid file by an empty one.
        file.sync_all()
    }

    fn replace(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)?;
        let Some(directory) = to.parent() else { return Ok(()) };
        File::open(directory)?.sync_all()
    }
}
