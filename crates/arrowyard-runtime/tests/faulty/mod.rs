//! A directory in memory that fails as disks do: writes that are refused or cut short, syncs that fail and drop what
//! they did not write, and a loss of power after which each unsynced write is there, missing or torn and each name
//! that was not synced is kept or lost by itself.

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
    fn carry_out(&self, bytes: &mut Vec<u8>) {
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
    /// What was done since the last sync.
    unsynced: Vec<Change>,
}

/// What goes wrong next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Every operation that changes anything fails from then on, until the disk is mended.
    Refuse,
    /// One write is cut short and fails.
    CutShort,
    /// One sync fails, and drops what it did not write.
    FailSync,
}

#[derive(Debug)]
pub struct Disk {
    files: BTreeMap<u64, Image>,
    /// Names as a loss of power would leave them, and what became of them since the folder was synced.
    names: BTreeSet<u64>,
    rng: Rng,
    /// Operations until the fault strikes.
    countdown: Option<(u32, Fault)>,
    refuses: bool,
}

/// A handle on the disk, as the journal gets it.
#[derive(Clone, Debug)]
pub struct FaultyFolder(pub Arc<Mutex<Disk>>);

impl FaultyFolder {
    pub fn new(seed: u64) -> Self {
        FaultyFolder(Arc::new(Mutex::new(Disk {
            files: BTreeMap::new(),
            names: BTreeSet::new(),
            rng: Rng::with_seed(seed),
            countdown: None,
            refuses: false,
        })))
    }

    fn disk(&self) -> std::sync::MutexGuard<'_, Disk> {
        self.0.lock().expect("no panic while it was held")
    }

    /// The fault strikes after so many operations.
    pub fn fail_after(&self, operations: u32, fault: Fault) {
        self.disk().countdown = Some((operations, fault));
    }

    pub fn mend(&self) {
        let mut disk = self.disk();
        (disk.countdown, disk.refuses) = (None, false);
    }

    /// The machine loses power, and starts again with a disk that works.
    pub fn lose_power(&self) {
        let mut disk = self.disk();
        let Disk { files, names, rng, .. } = &mut *disk;
        let all_gone = rng.u32(0..4) == 0;
        // A name that was not synced: a new file is there or not, a removed one is gone or back.
        let there: BTreeSet<u64> = files.keys().chain(names.iter()).copied().collect();
        let kept = |generation: &u64| {
            let (durable, now) = (names.contains(generation), files.contains_key(generation));
            if durable == now { durable } else { rng.bool() }
        };
        let kept: BTreeSet<u64> = there.into_iter().filter(kept).collect();
        files.retain(|generation, _| kept.contains(generation));
        for image in files.values_mut() {
            let mut bytes = std::mem::take(&mut image.durable);
            for change in std::mem::take(&mut image.unsynced) {
                match (rng.u32(0..3), change) {
                    _ if all_gone => {}
                    (0, _) => {}
                    (1, Change::Write { offset, data }) => {
                        let torn = data[..rng.usize(0..=data.len())].to_vec();
                        Change::Write { offset, data: torn }.carry_out(&mut bytes);
                    }
                    (_, change) => change.carry_out(&mut bytes),
                }
            }
            *image = Image { durable: bytes.clone(), current: bytes, unsynced: Vec::new() };
        }
        *names = kept;
        (disk.countdown, disk.refuses) = (None, false);
    }

    /// Spoils the beginning of every file.
    pub fn spoil(&self) {
        let mut disk = self.disk();
        for image in disk.files.values_mut() {
            image.current.iter_mut().take(256).for_each(|byte| *byte ^= 0x5a);
            image.durable = image.current.clone();
        }
    }

    /// Flips bits of the files, or gives one another length, as a failing medium does.
    pub fn spoil_by_lot(&self, rng: &mut Rng) {
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
                        // Half of them in the head, which says where all else is.
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

fn refused() -> io::Error {
    io::Error::new(io::ErrorKind::StorageFull, "no space left")
}

impl Disk {
    /// Counts an operation; the fault that strikes it, if any.
    fn strikes(&mut self, is_sync: bool) -> Option<Fault> {
        if self.refuses {
            return Some(Fault::Refuse);
        }
        let (left, fault) = self.countdown?;
        self.countdown = Some((left.saturating_sub(1), fault));
        if left > 0 || (fault == Fault::FailSync) != is_sync && fault != Fault::Refuse {
            return None;
        }
        self.refuses = fault == Fault::Refuse;
        if fault != Fault::Refuse {
            self.countdown = None;
        }
        Some(fault)
    }
}

impl JournalStorage for FaultyFolder {
    type File = FaultyFile;

    fn generations(&self) -> io::Result<Vec<u64>> {
        Ok(self.disk().files.keys().copied().collect())
    }

    fn open(&self, generation: u64) -> io::Result<FaultyFile> {
        let mut disk = self.disk();
        if !disk.files.contains_key(&generation) && disk.strikes(false).is_some() {
            return Err(refused());
        }
        disk.files.entry(generation).or_default();
        Ok(FaultyFile { folder: self.clone(), generation })
    }

    fn remove(&self, generation: u64) -> io::Result<()> {
        let mut disk = self.disk();
        if disk.strikes(false).is_some() {
            return Err(refused());
        }
        disk.files.remove(&generation).map(drop).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn sync(&self) -> io::Result<()> {
        let mut disk = self.disk();
        if disk.strikes(true).is_some() {
            return Err(refused());
        }
        // A new file's name lasts with the folder; what was removed is gone.
        disk.names = disk.files.keys().copied().collect();
        Ok(())
    }
}

#[derive(Debug)]
pub struct FaultyFile {
    folder: FaultyFolder,
    generation: u64,
}

impl FaultyFile {
    fn change(&self, change: Change) -> io::Result<()> {
        let mut disk = self.folder.disk();
        let fault = disk.strikes(false);
        let cut = match (&change, fault) {
            (_, None) => change,
            (Change::Write { offset, data }, Some(Fault::CutShort)) => {
                Change::Write { offset: *offset, data: data[..data.len() / 2].to_vec() }
            }
            _ => return Err(refused()),
        };
        let image = disk.files.get_mut(&self.generation).ok_or(io::ErrorKind::NotFound)?;
        cut.carry_out(&mut image.current);
        image.unsynced.push(cut);
        if fault.is_some() { Err(refused()) } else { Ok(()) }
    }
}

impl StorageBackend for FaultyFile {
    fn len(&self) -> io::Result<u64> {
        let disk = self.folder.disk();
        Ok(disk.files.get(&self.generation).map_or(0, |image| image.current.len() as u64))
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let disk = self.folder.disk();
        let image = disk.files.get(&self.generation).ok_or(io::ErrorKind::NotFound)?;
        let from = usize::try_from(offset).expect("a small file");
        let bytes = image.current.get(from..from + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(bytes);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.change(Change::Length(usize::try_from(len).expect("a small file")))
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut disk = self.folder.disk();
        let fault = disk.strikes(true);
        let image = disk.files.get_mut(&self.generation).ok_or(io::ErrorKind::NotFound)?;
        let unsynced = std::mem::take(&mut image.unsynced);
        if fault.is_some() {
            // The pages count as clean from now on, and were never written.
            return Err(refused());
        }
        unsynced.iter().for_each(|change| change.carry_out(&mut image.durable));
        let generation = self.generation;
        disk.names.insert(generation);
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.change(Change::Write {
            offset: usize::try_from(offset).expect("a small file"),
            data: data.to_vec(),
        })
    }
}
