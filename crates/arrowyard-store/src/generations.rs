//! Two generations of a snapshot: the older one is replaced, the newer one stays till that is done.

use std::io;
use std::path::PathBuf;

use crate::disk::Disk;
use crate::format::{GenerationState, MAX_FILE_BYTES, Snapshot, decode, encode};

/// Whose snapshots, where.
pub struct Store<D: Disk> {
    pub disk: D,
    pub folder: PathBuf,
    /// Of any if none is said, as for a look from outside.
    pub deployment: Option<u64>,
    /// How far clocks may differ, in milliseconds.
    pub max_clock_skew_ms: u64,
}

/// Which of the two.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Generation {
    A,
    B,
}

impl Generation {
    const BOTH: [Generation; 2] = [Generation::A, Generation::B];

    fn name(self) -> &'static str {
        match self {
            Generation::A => "hosts.a",
            Generation::B => "hosts.b",
        }
    }
}

/// What was found of both.
#[derive(Debug)]
pub struct Loaded {
    pub generations: [(Generation, GenerationState); 2],
}

impl Loaded {
    /// The newest whole one.
    #[must_use]
    pub fn newest(&self) -> Option<(Generation, &Snapshot)> {
        let whole = self.generations.iter().filter_map(|(kept, found)| match found {
            GenerationState::Valid(snapshot) => Some((*kept, snapshot)),
            _ => None,
        });
        whole.max_by_key(|(_, snapshot)| snapshot.number)
    }

    /// Which one the next snapshot replaces, and its number. Danger: the only whole one is replaced, and the router is killed
    /// meanwhile. So it is never that.
    #[must_use]
    pub fn next_generation(&self) -> (Generation, u64) {
        match self.newest() {
            Some((Generation::A, newest)) => (Generation::B, newest.number + 1),
            Some((Generation::B, newest)) => (Generation::A, newest.number + 1),
            None => (Generation::A, 1),
        }
    }
}

impl<D: Disk> Store<D> {
    fn path(&self, kept: Generation) -> PathBuf {
        self.folder.join(kept.name())
    }

    fn read_generation(&self, kept: Generation, now_ms: u64) -> GenerationState {
        match self.disk.read(&self.path(kept), MAX_FILE_BYTES) {
            Ok((_, length)) if length > MAX_FILE_BYTES as u64 => GenerationState::Huge(length),
            Ok((bytes, _)) => decode(&bytes, self.deployment, now_ms, self.max_clock_skew_ms),
            Err(error) => match error.kind() {
                io::ErrorKind::NotFound => GenerationState::Missing,
                io::ErrorKind::PermissionDenied => GenerationState::NoRights,
                io::ErrorKind::IsADirectory => GenerationState::NoFile,
                _ => GenerationState::Unreadable(error.to_string()),
            },
        }
    }

    /// What there is; never an error.
    #[must_use]
    pub fn load(&self, now_ms: u64) -> Loaded {
        Loaded { generations: Generation::BOTH.map(|kept| (kept, self.read_generation(kept, now_ms))) }
    }

    /// Writes the next snapshot in the place of the older generation, and reads it back.
    ///
    /// # Errors
    /// What went wrong; the newer generation is as it was.
    pub fn save(&self, mut snapshot: Snapshot, now_ms: u64) -> io::Result<Generation> {
        let (kept, number) = self.load(now_ms).next_generation();
        snapshot.deployment = self.deployment.unwrap_or(snapshot.deployment);
        snapshot.number = number;
        let bytes = encode(&snapshot);
        if bytes.len() > MAX_FILE_BYTES {
            return Err(io::Error::new(io::ErrorKind::FileTooLarge, "more hosts than a snapshot may hold"));
        }
        let beside = self.folder.join("hosts.next");
        self.disk.write(&beside, &bytes)?;
        self.disk.replace(&beside, &self.path(kept))?;
        Ok(kept)
    }
}
