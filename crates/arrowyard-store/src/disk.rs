//! The few things that are asked of a disk, so that tests can break each of them.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::Path;

pub trait Disk {
    /// Reads a file, no more than so many bytes of it, and says how many it has.
    ///
    /// # Errors
    /// As the system says.
    fn read(&self, path: &Path, most: usize) -> io::Result<(Vec<u8>, u64)>;
    /// Writes a new file whole, for its owner only, and waits till it is on the disk.
    ///
    /// # Errors
    /// As the system says; what is there then may be a part of it.
    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()>;
    /// Puts a file in the place of another in one step, and waits till that is on the disk.
    ///
    /// # Errors
    /// As the system says.
    fn replace(&self, from: &Path, to: &Path) -> io::Result<()>;
}

/// The system's.
pub struct SystemDisk;

impl Disk for SystemDisk {
    fn read(&self, path: &Path, most: usize) -> io::Result<(Vec<u8>, u64)> {
        let told = fs::metadata(path)?;
        if !told.is_file() {
            return Err(io::Error::from(io::ErrorKind::IsADirectory));
        }
        let mut bytes = Vec::new();
        // Danger: it grows while it is read, or says a wrong length; no more is taken than may be.
        File::open(path)?.take(most as u64 + 1).read_to_end(&mut bytes)?;
        Ok((bytes, told.len()))
    }

    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let mut options = OpenOptions::new();
        options.write(true).create(true).truncate(true);
        #[cfg(unix)]
        std::os::unix::fs::OpenOptionsExt::mode(&mut options, 0o600);
        let mut file = options.open(path)?;
        file.write_all(bytes)?;
        // Danger: renamed before its bytes are on the disk, a power cut leaves an empty file in the place of a good one.
        file.sync_all()
    }

    fn replace(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)?;
        let Some(folder) = to.parent() else { return Ok(()) };
        File::open(folder)?.sync_all()
    }
}
