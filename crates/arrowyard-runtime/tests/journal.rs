//! Journal on a disk with injected faults: acknowledged records are read back in order and without gaps.

mod faulty;

use arrowyard_runtime::{Directory, Journal, JournalError};
use fastrand::Rng;
use faulty::{Fault, FaultyStorage};

/// Records that the process holds in memory and that its disk acknowledged.
#[derive(Default)]
struct Process {
    /// Number of the last record. A snapshot replaces all records up to its number.
    last: u64,
    acknowledged: u64,
}

fn record(number: u64) -> Vec<u8> {
    format!("record {number}").into_bytes()
}

fn snapshot(number: u64) -> Vec<u8> {
    format!("snapshot {number}").into_bytes()
}

/// The number of the last record. Panics at a gap.
fn last_record(records: &[Vec<u8>], context: &str) -> u64 {
    let mut last_record = 0;
    for record in records {
        let text = String::from_utf8(record.clone()).expect("UTF-8 record");
        let (kind, number) = text.split_once(' ').expect("kind and number");
        let number: u64 = number.parse().expect("number");
        match kind {
            "snapshot" => last_record = number,
            _ => {
                assert_eq!(number, last_record + 1, "{context}: a gap in {records:?}");
                last_record = number;
            }
        }
    }
    last_record
}

impl Process {
    fn append(&mut self, journal: &mut Journal<FaultyStorage>, count: u64) {
        let first = self.last + 1;
        self.last += count;
        let records: Vec<Vec<u8>> = (first..=self.last).map(record).collect();
        if journal.append(records.iter().map(Vec::as_slice)).is_ok() {
            self.acknowledged = self.last;
        }
    }

    fn replace(&mut self, journal: &mut Journal<FaultyStorage>) {
        if journal.replace(&snapshot(self.last)).is_ok() {
            self.acknowledged = self.last;
        }
    }
}

fn open_journal(storage: &FaultyStorage, context: &str) -> (Journal<FaultyStorage>, u64) {
    let (journal, records) =
        Journal::open(storage.clone()).unwrap_or_else(|error| panic!("{context}: {error}"));
    let last_record = last_record(&records, context);
    (journal, last_record)
}

/// Restarts the process several times on one disk. Each run ends by a power loss or a kill at a random
/// operation.
fn run_with_faults(seed: u64) {
    let (storage, mut rng) = (FaultyStorage::new(seed), Rng::with_seed(seed ^ 0x5eed));
    let mut process = Process::default();
    for run in 0..6 {
        let context = format!("seed {seed}, run {run}");
        let (mut journal, last_record) = open_journal(&storage, &context);
        assert!(last_record >= process.acknowledged, "{context}: {last_record} of {}", process.acknowledged);
        process = Process { last: last_record, acknowledged: last_record };
        for _ in 0..rng.u32(1..25) {
            match rng.u32(0..12) {
                0 => storage.fail_after(rng.u32(0..12), Fault::RejectAll),
                1 => storage.fail_after(rng.u32(0..12), Fault::TruncateWrite),
                2 => storage.fail_after(rng.u32(0..4), Fault::FailSync),
                3 | 4 => storage.repair(),
                5 | 6 => process.replace(&mut journal),
                _ => process.append(&mut journal, rng.u64(1..4)),
            }
            if !journal.is_writable() && rng.bool() {
                storage.repair();
                process.replace(&mut journal);
            }
        }
        // The machine may stop during an operation.
        storage.fail_after(rng.u32(0..15), Fault::RejectAll);
        process.append(&mut journal, 1);
        process.replace(&mut journal);
        match rng.u32(0..6) {
            // The process is killed: its writes stay in the page cache.
            0 => std::mem::forget(journal),
            1 => drop(journal),
            _ => {
                std::mem::forget(journal);
                storage.lose_power();
            }
        }
        storage.repair();
    }
}

#[test]
fn acknowledged_records_survive_faults_and_power_loss() {
    (0..900).for_each(run_with_faults);
}

#[test]
fn failed_sync_invalidates_later_appends_until_a_snapshot() {
    let storage = FaultyStorage::new(1);
    let (mut journal, mut process) = (open_journal(&storage, "first").0, Process::default());
    process.append(&mut journal, 3);
    storage.fail_after(0, Fault::FailSync);
    process.append(&mut journal, 1);
    assert_eq!(process.acknowledged, 3);
    // The disk works again, but nothing is acknowledged before a snapshot is in a new file.
    process.append(&mut journal, 1);
    assert_eq!((process.acknowledged, journal.is_writable()), (3, false));
    process.replace(&mut journal);
    process.append(&mut journal, 1);
    assert_eq!(process.acknowledged, 6);
    storage.lose_power();
    std::mem::forget(journal);
    assert_eq!(open_journal(&storage, "second").1, 6);
}

#[test]
fn retries_on_a_full_disk_leave_no_files_behind() {
    let storage = FaultyStorage::new(2);
    let (mut journal, mut process) = (open_journal(&storage, "first").0, Process::default());
    process.append(&mut journal, 3);
    let before = storage.bytes();
    for _ in 0..50 {
        storage.fail_after(6, Fault::RejectAll);
        process.append(&mut journal, 1);
        process.replace(&mut journal);
        assert_eq!(process.acknowledged, 3);
        storage.repair();
    }
    process.replace(&mut journal);
    assert_eq!(process.acknowledged, process.last);
    assert!(storage.bytes() <= before * 2, "{} bytes after {before}", storage.bytes());
}

#[test]
fn corrupt_journal_is_reported_and_replaced_only_on_request() {
    let storage = FaultyStorage::new(3);
    let (mut journal, mut process) = (open_journal(&storage, "first").0, Process::default());
    process.append(&mut journal, 3);
    drop(journal);
    storage.corrupt_headers();
    assert!(matches!(Journal::open(storage.clone()), Err(JournalError::Corrupt(_))));
    drop(Journal::create_empty(storage.clone()).expect("disk works"));
    assert_eq!(open_journal(&storage, "new").1, 0);
}

#[test]
fn checkpoints_bound_the_file_size() {
    let path = std::env::temp_dir().join(format!("arrowyard-journal-{}", std::process::id()));
    let open = || {
        Journal::open(Directory::create(&path).expect("creates the directory")).expect("opens the journal")
    };
    let (mut journal, _) = open();
    let large = vec![7_u8; 20_000];
    let mut checkpoints = 0;
    for _ in 0..600 {
        journal.append([large.as_slice()].into_iter()).expect("disk works");
        if journal.checkpoint_due() {
            journal.replace(&large).expect("disk works");
            checkpoints += 1;
        }
    }
    assert!(checkpoints >= 10);
    let entries = std::fs::read_dir(&path).expect("directory exists").flatten();
    let bytes: u64 = entries.map(|entry| entry.metadata().expect("a file").len()).sum();
    assert!(bytes <= 16 << 20, "{bytes} bytes");
    drop(journal);
    assert!(open().1.len() <= 60);
    std::fs::remove_dir_all(&path).expect("removes the directory");
}

/// On a medium that returns wrong bytes a start reports a corrupt file, or reads the records in order and
/// without gaps. The last append may be missing, since it looks like a truncated write.
#[test]
fn corrupt_bytes_are_detected_without_a_panic() {
    for seed in 0..1500 {
        let context = format!("seed {seed}");
        let (storage, mut rng) = (FaultyStorage::new(seed), Rng::with_seed(seed));
        let (mut journal, mut process) = (open_journal(&storage, &context).0, Process::default());
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
        storage.corrupt_randomly(&mut rng);
        match Journal::open(storage.clone()) {
            Ok((_, records)) => {
                let last_record = last_record(&records, &context);
                assert!(
                    last_record == process.acknowledged || last_record == before_last,
                    "{context}: {last_record}"
                );
            }
            Err(JournalError::Corrupt(_)) => {
                drop(Journal::create_empty(storage.clone()).expect("disk works"));
                assert_eq!(open_journal(&storage, &context).1, 0);
            }
            Err(error) => panic!("{context}: {error}"),
        }
    }
}
