//! Two generations of a snapshot: the older one is replaced, the newer one stays till that is done.

use std::io;
use std::path::PathBuf;

use crate::disk::Disk;
use crate::form::{Found, LARGEST, Snapshot, judge, write};

/// Whose snapshots, where.
pub struct Store<D: Disk> {
    pub disk: D,
    pub folder: PathBuf,
    /// Of any if none is said, as for a look from outside.
    pub deployment: Option<u64>,
    /// How far clocks may differ, in milliseconds.
    pub skew_ms: u64,
}

/// Which of the two.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kept {
    A,
    B,
}

impl Kept {
    const BOTH: [Kept; 2] = [Kept::A, Kept::B];

    fn name(self) -> &'static str {
        match self {
            Kept::A => "hosts.a",
            Kept::B => "hosts.b",
        }
    }
}

/// What was found of both.
#[derive(Debug)]
pub struct Loaded {
    pub found: [(Kept, Found); 2],
}

impl Loaded {
    /// The newest whole one.
    #[must_use]
    pub fn newest(&self) -> Option<(Kept, &Snapshot)> {
        let whole = self.found.iter().filter_map(|(kept, found)| match found {
            Found::Whole(snapshot) => Some((*kept, snapshot)),
            _ => None,
        });
        whole.max_by_key(|(_, snapshot)| snapshot.number)
    }

    /// Which one the next snapshot replaces, and its number. Danger: the only whole one is replaced, and the router is killed
    /// meanwhile. So it is never that.
    #[must_use]
    pub fn next(&self) -> (Kept, u64) {
        match self.newest() {
            Some((Kept::A, newest)) => (Kept::B, newest.number + 1),
            Some((Kept::B, newest)) => (Kept::A, newest.number + 1),
            None => (Kept::A, 1),
        }
    }
}

impl<D: Disk> Store<D> {
    fn path(&self, kept: Kept) -> PathBuf {
        self.folder.join(kept.name())
    }

    fn found(&self, kept: Kept, now_ms: u64) -> Found {
        match self.disk.read(&self.path(kept), LARGEST) {
            Ok((_, length)) if length > LARGEST as u64 => Found::Huge(length),
            Ok((bytes, _)) => judge(&bytes, self.deployment, now_ms, self.skew_ms),
            Err(error) => match error.kind() {
                io::ErrorKind::NotFound => Found::Missing,
                io::ErrorKind::PermissionDenied => Found::NoRights,
                io::ErrorKind::IsADirectory => Found::NoFile,
                _ => Found::Unreadable(error.to_string()),
            },
        }
    }

    /// What there is; never an error.
    #[must_use]
    pub fn load(&self, now_ms: u64) -> Loaded {
        Loaded { found: Kept::BOTH.map(|kept| (kept, self.found(kept, now_ms))) }
    }

    /// Writes the next snapshot in the place of the older generation, and reads it back.
    ///
    /// # Errors
    /// What went wrong; the newer generation is as it was.
    pub fn save(&self, mut snapshot: Snapshot, now_ms: u64) -> io::Result<Kept> {
        let (kept, number) = self.load(now_ms).next();
        snapshot.deployment = self.deployment.unwrap_or(snapshot.deployment);
        snapshot.number = number;
        let bytes = write(&snapshot);
        if bytes.len() > LARGEST {
            return Err(io::Error::new(io::ErrorKind::FileTooLarge, "more hosts than a snapshot may hold"));
        }
        let beside = self.folder.join("hosts.next");
        self.disk.write(&beside, &bytes)?;
        self.disk.replace(&beside, &self.path(kept))?;
        Ok(kept)
    }
}
