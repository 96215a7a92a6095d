//! Damaged files of every kind, and crashes at every step of a write.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::path::{Path, PathBuf};

use arrowyard_store::{
    Disk, GenerationState, Host, MAX_FILE_BYTES, Snapshot, Store, SystemDisk, decode, encode,
};
use proptest::prelude::*;

const NOW: u64 = 1_800_000_000_000;

fn snapshot(number: u64, hosts: usize) -> Snapshot {
    let host = |n: usize| Host {
        name: format!("h{n}"),
        dial: "127.0.0.1:1".to_string(),
        size: 1.0,
        ..Host::default()
    };
    let hosts = (0..hosts).map(host).collect();
    Snapshot { deployment: 7, router: "n0".to_string(), written_ms: NOW - 1000, number, version: 3, hosts }
}

#[test]
fn each_kind_of_damage_is_reported_separately() {
    let valid_file = encode(&snapshot(4, 3));
    assert_eq!(decode(&valid_file, Some(7), NOW, 500), GenerationState::Valid(snapshot(4, 3)));
    assert_eq!(decode(&[], Some(7), NOW, 500), GenerationState::Empty);
    for cut in 1..valid_file.len() {
        assert_eq!(decode(&valid_file[..cut], Some(7), NOW, 500), GenerationState::Truncated, "{cut}");
    }
    for byte in 0..valid_file.len() {
        for bit in 0..8 {
            let mut damaged = valid_file.clone();
            damaged[byte] ^= 1 << bit;
            let state = decode(&damaged, Some(7), NOW, 500);
            assert!(
                matches!(state, GenerationState::Garbled | GenerationState::Truncated),
                "byte {byte}, bit {bit}: {state:?}"
            );
        }
    }
    assert_eq!(decode(&[&valid_file[..], b"x"].concat(), Some(7), NOW, 500), GenerationState::Garbled);
    assert_eq!(
        decode(&vec![0; MAX_FILE_BYTES + 1], Some(7), NOW, 500),
        GenerationState::Huge(MAX_FILE_BYTES as u64 + 1)
    );
    assert_eq!(decode(&valid_file, Some(8), NOW, 500), GenerationState::Foreign);
    assert_eq!(
        decode(&valid_file, Some(7), NOW - 1500, 500),
        GenerationState::Valid(snapshot(4, 3)),
        "within the accepted clock skew"
    );
    assert_eq!(decode(&valid_file, Some(7), NOW - 1501, 500), GenerationState::Future(501));
    let decode_versions = |format_version: u16, min_reader_version: u16| {
        let mut bytes = valid_file.clone();
        bytes[4..6].copy_from_slice(&format_version.to_le_bytes());
        bytes[6..8].copy_from_slice(&min_reader_version.to_le_bytes());
        let checksum = crc32c::crc32c_append(crc32c::crc32c(&bytes[..12]), &bytes[16..]);
        bytes[12..16].copy_from_slice(&checksum.to_le_bytes());
        decode(&bytes, Some(7), NOW, 500)
    };
    assert_eq!(decode_versions(9, 9), GenerationState::Newer(9));
    assert_eq!(
        decode_versions(9, 1),
        GenerationState::Valid(snapshot(4, 3)),
        "a later version that this reader supports"
    );
    assert_eq!(decode_versions(0, 0), GenerationState::Older(0));
}

/// An in-memory disk that fails at a given step: that step is done partially, and the following ones not at
/// all.
#[derive(Default)]
struct FailingDisk {
    files: RefCell<HashMap<PathBuf, Vec<u8>>>,
    steps_left: Cell<usize>,
    partial_bytes: Cell<usize>,
}

impl FailingDisk {
    /// Counts a step; false if it fails.
    fn step(&self) -> bool {
        let steps_left = self.steps_left.get();
        self.steps_left.set(steps_left.saturating_sub(1));
        steps_left > 0
    }
}

impl Disk for FailingDisk {
    fn read(&self, path: &Path, max_bytes: usize) -> io::Result<(Vec<u8>, u64)> {
        let files = self.files.borrow();
        let bytes = files.get(path).ok_or(io::ErrorKind::NotFound)?;
        Ok((bytes[..bytes.len().min(max_bytes)].to_vec(), bytes.len() as u64))
    }

    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let completed = self.step();
        let end = if completed { bytes.len() } else { self.partial_bytes.get() % (bytes.len() + 1) };
        self.files.borrow_mut().insert(path.to_path_buf(), bytes[..end].to_vec());
        if completed { Ok(()) } else { Err(io::ErrorKind::BrokenPipe.into()) }
    }

    fn replace(&self, from: &Path, to: &Path) -> io::Result<()> {
        if !self.step() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        let bytes = self.files.borrow_mut().remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.files.borrow_mut().insert(to.to_path_buf(), bytes);
        Ok(())
    }
}

#[test]
fn a_valid_generation_survives_five_hundred_crashes_during_writes() {
    let disk = FailingDisk::default();
    disk.steps_left.set(usize::MAX);
    let store = Store { disk, folder: "s".into(), deployment: Some(7), max_clock_skew_ms: 500 };
    let mut rng = fastrand::Rng::with_seed(9);
    let mut last_number = 0;
    for attempt in 0..500 {
        let hosts = rng.usize(..40);
        // Fails at any step, or not at all.
        store.disk.steps_left.set(rng.usize(..4));
        store.disk.partial_bytes.set(rng.usize(..10_000));
        let saved = store.save(snapshot(0, hosts), NOW).is_ok();
        store.disk.steps_left.set(usize::MAX);
        let loaded = store.load(NOW);
        let Some((_, newest)) = loaded.newest() else {
            assert_eq!(last_number, 0, "attempt {attempt}: no valid generation is left: {loaded:?}");
            continue;
        };
        // The new snapshot after success; the old or the new one after an error.
        let expected = if saved { last_number + 1..=last_number + 1 } else { last_number..=last_number + 1 };
        assert!(
            expected.contains(&newest.number),
            "attempt {attempt}: {} after {last_number}, saved {saved}",
            newest.number
        );
        last_number = newest.number;
    }
    assert!(last_number > 100);
}

/// A temporary directory that is removed on drop.
struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new(name: &str) -> TempDirectory {
        let path = std::env::temp_dir().join(format!("arrowyard-store-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the directory is created");
        TempDirectory(path)
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn generations_alternate_on_a_real_disk_and_a_directory_is_reported() {
    let folder = TempDirectory::new("generations");
    let store =
        Store { disk: SystemDisk, folder: folder.0.clone(), deployment: Some(7), max_clock_skew_ms: 500 };
    assert!(store.load(NOW).newest().is_none());
    for number in 1..5 {
        store.save(snapshot(0, number), NOW).expect("the snapshot is written");
        let loaded = store.load(NOW);
        let (_, newest) = loaded.newest().expect("one generation is valid");
        assert_eq!((newest.number, newest.hosts.len()), (number as u64, number));
    }
    use std::os::unix::fs::PermissionsExt;
    let mode = std::fs::metadata(folder.0.join("hosts.a")).expect("the file exists").permissions().mode();
    assert_eq!(mode & 0o777, 0o600, "readable by its owner only");
    // The newer generation is damaged: the older one is used, and the damaged one is replaced next.
    let (newest, _) = store
        .load(NOW)
        .newest()
        .map(|(generation, snapshot)| (generation, snapshot.number))
        .expect("one generation is valid");
    let damaged_path =
        folder.0.join(if newest == arrowyard_store::Generation::A { "hosts.a" } else { "hosts.b" });
    std::fs::write(&damaged_path, b"AYST").expect("the file is written");
    assert_eq!(store.load(NOW).newest().map(|(_, snapshot)| snapshot.number), Some(3));
    assert_eq!(store.load(NOW).next_generation().0, newest);
    std::fs::remove_file(&damaged_path).expect("the file exists");
    std::fs::create_dir(&damaged_path).expect("the directory is created");
    assert!(store.load(NOW).generations.iter().any(|(_, state)| *state == GenerationState::NoFile));
    assert!(store.save(snapshot(0, 1), NOW).is_err(), "a directory is not replaced");
    assert_eq!(
        store.load(NOW).newest().map(|(_, snapshot)| snapshot.number),
        Some(3),
        "the other generation is unchanged"
    );
    let store_without_directory = Store {
        disk: SystemDisk,
        folder: folder.0.join("none"),
        deployment: Some(7),
        max_clock_skew_ms: 500,
    };
    assert!(store_without_directory.save(snapshot(0, 1), NOW).is_err());
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode(&bytes, Some(7), NOW, 500);
        let mut with_magic = b"AYST".to_vec();
        with_magic.extend(bytes);
        let _ = decode(&with_magic, Some(7), NOW, 500);
    }
}
