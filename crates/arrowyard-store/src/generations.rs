//! Two generations of a snapshot: the older one is replaced, and the newer one stays until the write has
//! completed.

use std::io;
use std::path::PathBuf;

use crate::disk::Disk;
use crate::format::{GenerationState, MAX_FILE_BYTES, Snapshot, decode, encode};

/// The snapshots of one deployment in a directory.
pub struct Store<D: Disk> {
    pub disk: D,
    /// The directory of the files.
    pub folder: PathBuf,
    /// The expected deployment; `None` accepts any, for inspection.
    pub deployment: Option<u64>,
    /// A snapshot written further in the future than this is rejected.
    pub max_clock_skew_ms: u64,
}

/// One of the two generations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Generation {
    A,
    B,
}

impl Generation {
    const ALL: [Generation; 2] = [Generation::A, Generation::B];

    fn file_name(self) -> &'static str {
        match self {
            Generation::A => "hosts.a",
            Generation::B => "hosts.b",
        }
    }
}

/// The state of both generations.
#[derive(Debug)]
pub struct Loaded {
    pub generations: [(Generation, GenerationState); 2],
}

impl Loaded {
    /// The newest valid generation.
    #[must_use]
    pub fn newest(&self) -> Option<(Generation, &Snapshot)> {
        let valid = self.generations.iter().filter_map(|(generation, state)| match state {
            GenerationState::Valid(snapshot) => Some((*generation, snapshot)),
            _ => None,
        });
        valid.max_by_key(|(_, snapshot)| snapshot.number)
    }

    /// The generation that the next snapshot replaces, and its number. It is never the newest valid one,
    /// which must survive a crash during the write.
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
    fn path(&self, generation: Generation) -> PathBuf {
        self.folder.join(generation.file_name())
    }

    fn read_generation(&self, generation: Generation, now_ms: u64) -> GenerationState {
        match self.disk.read(&self.path(generation), MAX_FILE_BYTES) {
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

    /// Reads both generations; errors are part of their states.
    #[must_use]
    pub fn load(&self, now_ms: u64) -> Loaded {
        Loaded {
            generations: Generation::ALL
                .map(|generation| (generation, self.read_generation(generation, now_ms))),
        }
    }

    /// Replaces the older generation by this snapshot, whose number and deployment are set here.
    ///
    /// # Errors
    /// The error of a failed write; the newer generation is unchanged.
    pub fn save(&self, mut snapshot: Snapshot, now_ms: u64) -> io::Result<Generation> {
        let (generation, number) = self.load(now_ms).next_generation();
        snapshot.deployment = self.deployment.unwrap_or(snapshot.deployment);
        snapshot.number = number;
        let bytes = encode(&snapshot);
        if bytes.len() > MAX_FILE_BYTES {
            return Err(io::Error::new(
                io::ErrorKind::FileTooLarge,
                "the encoded snapshot exceeds the maximum file size",
            ));
        }
        let temporary_path = self.folder.join("hosts.next");
        self.disk.write(&temporary_path, &bytes)?;
        self.disk.replace(&temporary_path, &self.path(generation))?;
        Ok(generation)
    }
}
