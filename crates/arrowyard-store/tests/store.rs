//! Files that are broken in every way, and a router that is killed at every moment of a write.

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
fn what_is_wrong_with_a_file_is_told_apart() {
    let good = encode(&snapshot(4, 3));
    assert_eq!(decode(&good, Some(7), NOW, 500), GenerationState::Valid(snapshot(4, 3)));
    assert_eq!(decode(&[], Some(7), NOW, 500), GenerationState::Empty);
    for cut in 1..good.len() {
        assert_eq!(decode(&good[..cut], Some(7), NOW, 500), GenerationState::Truncated, "{cut}");
    }
    for byte in 0..good.len() {
        for bit in 0..8 {
            let mut bad = good.clone();
            bad[byte] ^= 1 << bit;
            let found = decode(&bad, Some(7), NOW, 500);
            assert!(
                matches!(found, GenerationState::Garbled | GenerationState::Truncated),
                "byte {byte}, bit {bit}: {found:?}"
            );
        }
    }
    assert_eq!(decode(&[&good[..], b"x"].concat(), Some(7), NOW, 500), GenerationState::Garbled);
    assert_eq!(
        decode(&vec![0; MAX_FILE_BYTES + 1], Some(7), NOW, 500),
        GenerationState::Huge(MAX_FILE_BYTES as u64 + 1)
    );
    assert_eq!(decode(&good, Some(8), NOW, 500), GenerationState::Foreign);
    assert_eq!(
        decode(&good, Some(7), NOW - 1500, 500),
        GenerationState::Valid(snapshot(4, 3)),
        "clocks may differ so far"
    );
    assert_eq!(decode(&good, Some(7), NOW - 1501, 500), GenerationState::Future(501));
    let formed = |form: u16, least: u16| {
        let mut bytes = good.clone();
        bytes[4..6].copy_from_slice(&form.to_le_bytes());
        bytes[6..8].copy_from_slice(&least.to_le_bytes());
        let check = crc32c::crc32c_append(crc32c::crc32c(&bytes[..12]), &bytes[16..]);
        bytes[12..16].copy_from_slice(&check.to_le_bytes());
        decode(&bytes, Some(7), NOW, 500)
    };
    assert_eq!(formed(9, 9), GenerationState::Newer(9));
    assert_eq!(formed(9, 1), GenerationState::Valid(snapshot(4, 3)), "a later form that can be read");
    assert_eq!(formed(0, 0), GenerationState::Older(0));
}

/// A disk in memory that breaks at a step: what it was doing is done in part, and nothing after it.
#[derive(Default)]
struct Torn {
    files: RefCell<HashMap<PathBuf, Vec<u8>>>,
    left: Cell<usize>,
    part: Cell<usize>,
}

impl Torn {
    fn step(&self) -> bool {
        let left = self.left.get();
        self.left.set(left.saturating_sub(1));
        left > 0
    }
}

impl Disk for Torn {
    fn read(&self, path: &Path, most: usize) -> io::Result<(Vec<u8>, u64)> {
        let files = self.files.borrow();
        let bytes = files.get(path).ok_or(io::ErrorKind::NotFound)?;
        Ok((bytes[..bytes.len().min(most)].to_vec(), bytes.len() as u64))
    }

    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let whole = self.step();
        let end = if whole { bytes.len() } else { self.part.get() % (bytes.len() + 1) };
        self.files.borrow_mut().insert(path.to_path_buf(), bytes[..end].to_vec());
        if whole { Ok(()) } else { Err(io::ErrorKind::BrokenPipe.into()) }
    }

    fn replace(&self, from: &Path, to: &Path) -> io::Result<()> {
        if !self.step() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        let moved = self.files.borrow_mut().remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.files.borrow_mut().insert(to.to_path_buf(), moved);
        Ok(())
    }
}

#[test]
fn killed_five_hundred_times_in_its_writes_each_start_finds_one_whole_generation() {
    let disk = Torn::default();
    disk.left.set(usize::MAX);
    let store = Store { disk, folder: "s".into(), deployment: Some(7), max_clock_skew_ms: 500 };
    let mut rng = fastrand::Rng::with_seed(9);
    let mut last = 0;
    for turn in 0..500 {
        let hosts = rng.usize(..40);
        // It breaks at any of the steps, or after all of them.
        store.disk.left.set(rng.usize(..4));
        store.disk.part.set(rng.usize(..10_000));
        let saved = store.save(snapshot(0, hosts), NOW).is_ok();
        store.disk.left.set(usize::MAX);
        let loaded = store.load(NOW);
        let Some((_, newest)) = loaded.newest() else {
            assert_eq!(last, 0, "turn {turn}: nothing whole is left: {loaded:?}");
            continue;
        };
        // Without an error it is the new one; with one it is the old or the new one.
        let wanted = if saved { last + 1..=last + 1 } else { last..=last + 1 };
        assert!(
            wanted.contains(&newest.number),
            "turn {turn}: {} after {last}, saved {saved}",
            newest.number
        );
        last = newest.number;
    }
    assert!(last > 100);
}

/// A folder of the test's own, gone when it is dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("arrowyard-store-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder can be made");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn on_a_real_disk_two_generations_take_turns_and_what_is_no_file_is_told() {
    let folder = Folder::new("turns");
    let store =
        Store { disk: SystemDisk, folder: folder.0.clone(), deployment: Some(7), max_clock_skew_ms: 500 };
    assert!(store.load(NOW).newest().is_none());
    for number in 1..5 {
        store.save(snapshot(0, number), NOW).expect("it can be written");
        let loaded = store.load(NOW);
        let (_, newest) = loaded.newest().expect("one is whole");
        assert_eq!((newest.number, newest.hosts.len()), (number as u64, number));
    }
    use std::os::unix::fs::PermissionsExt;
    let mode = std::fs::metadata(folder.0.join("hosts.a")).expect("it is there").permissions().mode();
    assert_eq!(mode & 0o777, 0o600, "its owner's alone");
    // The newer one breaks: the older one is taken, and the broken one is replaced next.
    let (newest, _) = store.load(NOW).newest().map(|(kept, one)| (kept, one.number)).expect("one is whole");
    let broken = folder.0.join(if newest == arrowyard_store::Generation::A { "hosts.a" } else { "hosts.b" });
    std::fs::write(&broken, b"AYST").expect("it can be written");
    assert_eq!(store.load(NOW).newest().map(|(_, one)| one.number), Some(3));
    assert_eq!(store.load(NOW).next_generation().0, newest);
    std::fs::remove_file(&broken).expect("it is there");
    std::fs::create_dir(&broken).expect("a folder can be made");
    assert!(store.load(NOW).generations.iter().any(|(_, found)| *found == GenerationState::NoFile));
    assert!(store.save(snapshot(0, 1), NOW).is_err(), "a folder is not replaced");
    assert_eq!(store.load(NOW).newest().map(|(_, one)| one.number), Some(3), "and the other is as it was");
    let nowhere = Store {
        disk: SystemDisk,
        folder: folder.0.join("none"),
        deployment: Some(7),
        max_clock_skew_ms: 500,
    };
    assert!(nowhere.save(snapshot(0, 1), NOW).is_err());
}

proptest! {
    #[test]
    fn no_bytes_make_it_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode(&bytes, Some(7), NOW, 500);
        let mut marked = b"AYST".to_vec();
        marked.extend(bytes);
        let _ = decode(&marked, Some(7), NOW, 500);
    }
}
