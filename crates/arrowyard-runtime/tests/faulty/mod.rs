//! In-memory journal storage with injected faults: rejected and truncated writes, failed syncs that drop
//! unwritten data, and power loss, after which each unsynced write is present, missing or torn and each
//! unsynced name is kept or lost independently.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::{Arc, Mutex};

use arrowyard_runtime::JournalStorage;
use fastrand::Rng;
use redb::StorageBackend;

#[derive(Clone, Debug)]
enum Change {
    Write { offset: usize, data: Vec<u8> },
    Length(usize),
}

impl Change {
    fn apply(&self, bytes: &mut Vec<u8>) {
        match self {
            Change::Length(length) => bytes.resize(*length, 0),
            Change::Write { offset, data } => {
                let end = offset + data.len();
                if bytes.len() < end {
                    bytes.resize(end, 0);
                }
                bytes[*offset..end].copy_from_slice(data);
            }
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Image {
    durable: Vec<u8>,
    current: Vec<u8>,
    /// Changes since the last sync.
    unsynced: Vec<Change>,
}

/// The next fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// All modifying operations fail until the disk is repaired.
    RejectAll,
    /// One write is truncated and fails.
    TruncateWrite,
    /// One sync fails and drops the data that it did not write.
    FailSync,
}

#[derive(Debug)]
pub struct Disk {
    files: BTreeMap<u64, Image>,
    /// Generations whose names survive a power loss.
    names: BTreeSet<u64>,
    rng: Rng,
    /// Remaining operations before the fault.
    countdown: Option<(u32, Fault)>,
    rejects_all: bool,
}

/// The storage handle passed to the journal.
#[derive(Clone, Debug)]
pub struct FaultyStorage(pub Arc<Mutex<Disk>>);

impl FaultyStorage {
    pub fn new(seed: u64) -> Self {
        FaultyStorage(Arc::new(Mutex::new(Disk {
            files: BTreeMap::new(),
            names: BTreeSet::new(),
            rng: Rng::with_seed(seed),
            countdown: None,
            rejects_all: false,
        })))
    }

    fn disk(&self) -> std::sync::MutexGuard<'_, Disk> {
        self.0.lock().expect("mutex not poisoned")
    }

    /// Injects a fault after this number of operations.
    pub fn fail_after(&self, operations: u32, fault: Fault) {
        self.disk().countdown = Some((operations, fault));
    }

    pub fn repair(&self) {
        let mut disk = self.disk();
        (disk.countdown, disk.rejects_all) = (None, false);
    }

    /// Simulates a power loss and a restart with a working disk.
    pub fn lose_power(&self) {
        let mut disk = self.disk();
        let Disk { files, names, rng, .. } = &mut *disk;
        let all_lost = rng.u32(0..4) == 0;
        // Each unsynced creation or removal of a name is randomly kept or undone.
        let candidates: BTreeSet<u64> = files.keys().chain(names.iter()).copied().collect();
        let kept = |generation: &u64| {
            let (durable, now) = (names.contains(generation), files.contains_key(generation));
            if durable == now { durable } else { rng.bool() }
        };
        let kept: BTreeSet<u64> = candidates.into_iter().filter(kept).collect();
        files.retain(|generation, _| kept.contains(generation));
        for image in files.values_mut() {
            let mut bytes = std::mem::take(&mut image.durable);
            for change in std::mem::take(&mut image.unsynced) {
                match (rng.u32(0..3), change) {
                    _ if all_lost => {}
                    (0, _) => {}
                    (1, Change::Write { offset, data }) => {
                        let torn = data[..rng.usize(0..=data.len())].to_vec();
                        Change::Write { offset, data: torn }.apply(&mut bytes);
                    }
                    (_, change) => change.apply(&mut bytes),
                }
            }
            *image = Image { durable: bytes.clone(), current: bytes, unsynced: Vec::new() };
        }
        *names = kept;
        (disk.countdown, disk.rejects_all) = (None, false);
    }

    /// Overwrites the first bytes of every file.
    pub fn corrupt_headers(&self) {
        let mut disk = self.disk();
        for image in disk.files.values_mut() {
            image.current.iter_mut().take(256).for_each(|byte| *byte ^= 0x5a);
            image.durable = image.current.clone();
        }
    }

    /// Flips random bits or changes the length of every file.
    pub fn corrupt_randomly(&self, rng: &mut Rng) {
        let mut disk = self.disk();
        for image in disk.files.values_mut() {
            let length = image.current.len();
            if length == 0 {
                continue;
            }
            match rng.u32(0..4) {
                0 => image.current.truncate(rng.usize(0..length)),
                1 => image.current.resize(length + rng.usize(1..9000), 0),
                _ => {
                    for _ in 0..rng.u32(1..8) {
                        // Half of the flips are in the header, which locates all other data.
                        let place =
                            if rng.bool() { rng.usize(0..length.min(512)) } else { rng.usize(0..length) };
                        image.current[place] ^= 1 << rng.u32(0..8);
                    }
                }
            }
            image.durable = image.current.clone();
        }
    }

    pub fn bytes(&self) -> usize {
        self.disk().files.values().map(|image| image.current.len()).sum()
    }
}

fn no_space_error() -> io::Error {
    io::Error::new(io::ErrorKind::StorageFull, "no space left")
}

impl Disk {
    /// Counts an operation and returns the fault that applies to it, if any.
    fn next_fault(&mut self, is_sync: bool) -> Option<Fault> {
        if self.rejects_all {
            return Some(Fault::RejectAll);
        }
        let (left, fault) = self.countdown?;
        self.countdown = Some((left.saturating_sub(1), fault));
        if left > 0 || (fault == Fault::FailSync) != is_sync && fault != Fault::RejectAll {
            return None;
        }
        self.rejects_all = fault == Fault::RejectAll;
        if fault != Fault::RejectAll {
            self.countdown = None;
        }
        Some(fault)
    }
}

impl JournalStorage for FaultyStorage {
    type File = FaultyFile;

    fn generations(&self) -> io::Result<Vec<u64>> {
        Ok(self.disk().files.keys().copied().collect())
    }

    fn open(&self, generation: u64) -> io::Result<FaultyFile> {
        let mut disk = self.disk();
        if !disk.files.contains_key(&generation) && disk.next_fault(false).is_some() {
            return Err(no_space_error());
        }
        disk.files.entry(generation).or_default();
        Ok(FaultyFile { storage: self.clone(), generation })
    }

    fn remove(&self, generation: u64) -> io::Result<()> {
        let mut disk = self.disk();
        if disk.next_fault(false).is_some() {
            return Err(no_space_error());
        }
        disk.files.remove(&generation).map(drop).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn sync(&self) -> io::Result<()> {
        let mut disk = self.disk();
        if disk.next_fault(true).is_some() {
            return Err(no_space_error());
        }
        // A directory sync makes creations and removals durable.
        disk.names = disk.files.keys().copied().collect();
        Ok(())
    }
}

#[derive(Debug)]
pub struct FaultyFile {
    storage: FaultyStorage,
    generation: u64,
}

impl FaultyFile {
    fn change(&self, change: Change) -> io::Result<()> {
        let mut disk = self.storage.disk();
        let fault = disk.next_fault(false);
        let effective = match (&change, fault) {
            (_, None) => change,
            (Change::Write { offset, data }, Some(Fault::TruncateWrite)) => {
                Change::Write { offset: *offset, data: data[..data.len() / 2].to_vec() }
            }
            _ => return Err(no_space_error()),
        };
        let image = disk.files.get_mut(&self.generation).ok_or(io::ErrorKind::NotFound)?;
        effective.apply(&mut image.current);
        image.unsynced.push(effective);
        if fault.is_some() { Err(no_space_error()) } else { Ok(()) }
    }
}

impl StorageBackend for FaultyFile {
    fn len(&self) -> io::Result<u64> {
        let disk = self.storage.disk();
        Ok(disk.files.get(&self.generation).map_or(0, |image| image.current.len() as u64))
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let disk = self.storage.disk();
        let image = disk.files.get(&self.generation).ok_or(io::ErrorKind::NotFound)?;
        let from = usize::try_from(offset).expect("offset fits usize");
        let bytes = image.current.get(from..from + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(bytes);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.change(Change::Length(usize::try_from(len).expect("offset fits usize")))
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut disk = self.storage.disk();
        let fault = disk.next_fault(true);
        let image = disk.files.get_mut(&self.generation).ok_or(io::ErrorKind::NotFound)?;
        let unsynced = std::mem::take(&mut image.unsynced);
        if fault.is_some() {
            // After a failed sync the pages count as clean although they were never written.
            return Err(no_space_error());
        }
        unsynced.iter().for_each(|change| change.apply(&mut image.durable));
        let generation = self.generation;
        disk.names.insert(generation);
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.change(Change::Write {
            offset: usize::try_from(offset).expect("offset fits usize"),
            data: data.to_vec(),
        })
    }
}
