//! The journal that ships, on a disk that fails: whatever it acknowledged is read back, in order and without a gap.

mod faulty;

use arrowyard_runtime::{Directory, Journal, JournalError};
use fastrand::Rng;
use faulty::{Fault, FaultyFolder};

/// What the process holds in memory, and what its disk acknowledged.
#[derive(Default)]
struct Process {
    /// Records are numbered; a snapshot stands for all up to a number.
    last: u64,
    acknowledged: u64,
}

fn record(number: u64) -> Vec<u8> {
    format!("record {number}").into_bytes()
}

fn snapshot(number: u64) -> Vec<u8> {
    format!("snapshot {number}").into_bytes()
}

/// The last number that records lead to. Panics at a gap.
fn covered(records: &[Vec<u8>], context: &str) -> u64 {
    let mut covered = 0;
    for record in records {
        let text = String::from_utf8(record.clone()).expect("it is what was written");
        let (kind, number) = text.split_once(' ').expect("a kind and a number");
        let number: u64 = number.parse().expect("a number");
        match kind {
            "snapshot" => covered = number,
            _ => {
                assert_eq!(number, covered + 1, "{context}: a gap in {records:?}");
                covered = number;
            }
        }
    }
    covered
}

impl Process {
    fn append(&mut self, journal: &mut Journal<FaultyFolder>, count: u64) {
        let first = self.last + 1;
        self.last += count;
        let records: Vec<Vec<u8>> = (first..=self.last).map(record).collect();
        if journal.append(records.iter().map(Vec::as_slice)).is_ok() {
            self.acknowledged = self.last;
        }
    }

    fn replace(&mut self, journal: &mut Journal<FaultyFolder>) {
        if journal.replace(&snapshot(self.last)).is_ok() {
            self.acknowledged = self.last;
        }
    }
}

fn start(folder: &FaultyFolder, context: &str) -> (Journal<FaultyFolder>, u64) {
    let (journal, records) =
        Journal::open(folder.clone()).unwrap_or_else(|error| panic!("{context}: {error}"));
    let covered = covered(&records, context);
    (journal, covered)
}

/// One life after the other on one disk, each ended by a loss of power or a kill at a drawn operation.
fn play(seed: u64) {
    let (folder, mut rng) = (FaultyFolder::new(seed), Rng::with_seed(seed ^ 0x5eed));
    let mut process = Process::default();
    for life in 0..6 {
        let context = format!("seed {seed}, life {life}");
        let (mut journal, covered) = start(&folder, &context);
        assert!(covered >= process.acknowledged, "{context}: {covered} of {}", process.acknowledged);
        process = Process { last: covered, acknowledged: covered };
        for _ in 0..rng.u32(1..25) {
            match rng.u32(0..12) {
                0 => folder.fail_after(rng.u32(0..12), Fault::Refuse),
                1 => folder.fail_after(rng.u32(0..12), Fault::CutShort),
                2 => folder.fail_after(rng.u32(0..4), Fault::FailSync),
                3 | 4 => folder.mend(),
                5 | 6 => process.replace(&mut journal),
                _ => process.append(&mut journal, rng.u64(1..4)),
            }
            if !journal.is_writable() && rng.bool() {
                folder.mend();
                process.replace(&mut journal);
            }
        }
        // The machine may stop in the middle of an operation.
        folder.fail_after(rng.u32(0..15), Fault::Refuse);
        process.append(&mut journal, 1);
        process.replace(&mut journal);
        match rng.u32(0..6) {
            // The process is killed: what it wrote stays, durable or not.
            0 => std::mem::forget(journal),
            1 => drop(journal),
            _ => {
                std::mem::forget(journal);
                folder.lose_power();
            }
        }
        folder.mend();
    }
}

#[test]
fn whatever_was_acknowledged_is_read_back_after_any_fault_and_loss_of_power() {
    (0..900).for_each(play);
}

#[test]
fn a_sync_that_failed_is_not_taken_for_a_later_one() {
    let folder = FaultyFolder::new(1);
    let (mut journal, mut process) = (start(&folder, "first").0, Process::default());
    process.append(&mut journal, 3);
    folder.fail_after(0, Fault::FailSync);
    process.append(&mut journal, 1);
    assert_eq!(process.acknowledged, 3);
    // The disk is well again; still nothing counts before a snapshot stands in a new file.
    process.append(&mut journal, 1);
    assert_eq!((process.acknowledged, journal.is_writable()), (3, false));
    process.replace(&mut journal);
    process.append(&mut journal, 1);
    assert_eq!(process.acknowledged, 6);
    folder.lose_power();
    std::mem::forget(journal);
    assert_eq!(start(&folder, "second").1, 6);
}

#[test]
fn a_disk_that_is_full_for_long_is_tried_again_and_again_and_leaves_nothing_behind() {
    let folder = FaultyFolder::new(2);
    let (mut journal, mut process) = (start(&folder, "first").0, Process::default());
    process.append(&mut journal, 3);
    let before = folder.bytes();
    for _ in 0..50 {
        folder.fail_after(6, Fault::Refuse);
        process.append(&mut journal, 1);
        process.replace(&mut journal);
        assert_eq!(process.acknowledged, 3);
        folder.mend();
    }
    process.replace(&mut journal);
    assert_eq!(process.acknowledged, process.last);
    assert!(folder.bytes() <= before * 2, "{} bytes after {before}", folder.bytes());
}

#[test]
fn a_journal_that_is_spoilt_is_told_apart_and_begun_anew_only_when_asked() {
    let folder = FaultyFolder::new(3);
    let (mut journal, mut process) = (start(&folder, "first").0, Process::default());
    process.append(&mut journal, 3);
    drop(journal);
    folder.spoil();
    assert!(matches!(Journal::open(folder.clone()), Err(JournalError::Corrupt(_))));
    drop(Journal::create_empty(folder.clone()).expect("the disk works"));
    assert_eq!(start(&folder, "anew").1, 0);
}

#[test]
fn its_size_is_bounded_however_long_it_runs() {
    let path = std::env::temp_dir().join(format!("arrowyard-journal-{}", std::process::id()));
    let open = || Journal::open(Directory::create(&path).expect("it can be made")).expect("it can be read");
    let (mut journal, _) = open();
    let large = vec![7_u8; 20_000];
    let mut checkpoints = 0;
    for _ in 0..600 {
        journal.append([large.as_slice()].into_iter()).expect("the disk works");
        if journal.checkpoint_due() {
            journal.replace(&large).expect("the disk works");
            checkpoints += 1;
        }
    }
    assert!(checkpoints >= 10);
    let entries = std::fs::read_dir(&path).expect("it is there").flatten();
    let bytes: u64 = entries.map(|entry| entry.metadata().expect("a file").len()).sum();
    assert!(bytes <= 16 << 20, "{bytes} bytes");
    drop(journal);
    assert!(open().1.len() <= 60);
    std::fs::remove_dir_all(&path).expect("it was ours");
}

/// A medium that gives back other bytes than were written: a start tells that its file is spoilt, or reads what was
/// written, in order and without a gap. What was appended last may be taken for a write that was cut short.
#[test]
fn spoilt_bytes_are_told_apart_and_never_end_the_process() {
    for seed in 0..1500 {
        let context = format!("seed {seed}");
        let (folder, mut rng) = (FaultyFolder::new(seed), Rng::with_seed(seed));
        let (mut journal, mut process) = (start(&folder, &context).0, Process::default());
        let mut before_last = 0;
        for _ in 0..rng.u32(1..6) {
            before_last = process.acknowledged;
            process.append(&mut journal, rng.u64(1..30));
        }
        if rng.bool() {
            std::mem::forget(journal);
        } else {
            drop(journal);
        }
        folder.spoil_by_lot(&mut rng);
        match Journal::open(folder.clone()) {
            Ok((_, records)) => {
                let covered = covered(&records, &context);
                assert!(covered == process.acknowledged || covered == before_last, "{context}: {covered}");
            }
            Err(JournalError::Corrupt(_)) => {
                drop(Journal::create_empty(folder.clone()).expect("the disk works"));
                assert_eq!(start(&folder, &context).1, 0);
            }
            Err(error) => panic!("{context}: {error}"),
        }
    }
}
