//! HTTP decoding, timers, and the store with its event loop.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use arrowyard_runtime::http::{HttpDecoder, format_request, format_response};
use arrowyard_runtime::{
    Commands, Event, JournalError, LoopConfig, Plane, Recovered, Timers, open_store, run,
};
use arrowyard_types::Timestamp;
use proptest::prelude::*;

proptest! {
    #[test]
    fn requests_are_decoded_from_arbitrary_chunks(body in "[a-z]{0,60}", cut in 1usize..40) {
        let text = format_request("POST", "/Config.Replace", "h", &[("Arrowyard-Base-Revision", "5")], &body).repeat(2);
        let (mut decoder, mut decoded) = (HttpDecoder::default(), 0);
        for piece in text.as_bytes().chunks(cut) {
            decoder.put(piece);
            while let Some(request) = decoder.next_request().expect("valid request") {
                prop_assert_eq!(request.header("arrowyard-base-revision"), Some("5"));
                prop_assert_eq!(request.body, body.as_bytes());
                decoded += 1;
            }
        }
        prop_assert_eq!(decoded, 2);
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut decoder = HttpDecoder::default();
        decoder.put(&bytes);
        let _ = decoder.next_request();
        let mut decoder = HttpDecoder::default();
        decoder.put(&bytes);
        let _ = decoder.next_response();
    }
}

#[test]
fn oversized_and_unsized_requests_are_rejected() {
    let rejection_status = |text: &str| {
        let mut decoder = HttpDecoder::default();
        decoder.put(text.as_bytes());
        decoder.next_request().expect_err("request is rejected").0
    };
    assert_eq!(rejection_status("POST / HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n"), 413);
    assert_eq!(rejection_status("POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n"), 400);
    assert_eq!(rejection_status("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"), 501);
    assert_eq!(rejection_status(&format!("GET /{} HTTP/1.1\r\nx: ", "a".repeat(20_000))), 431);
    let mut decoder = HttpDecoder::default();
    decoder.put(format_response(412, "{\"error\":\"x\"}").as_bytes());
    assert_eq!(decoder.next_response().expect("valid response").expect("complete response").status, 412);
}

#[test]
fn timers_expire_in_order() {
    let (mut timers, at) = (Timers::default(), |ms| Timestamp::from_micros(ms));
    timers.set(at(30), 'c');
    let key = timers.set(at(20), 'x');
    timers.set(at(10), 'a');
    timers.set(at(10), 'b');
    timers.cancel(key);
    assert_eq!((timers.due(), timers.take(at(9))), (Some(at(10)), None));
    let all: Vec<char> = std::iter::from_fn(|| timers.take(at(40))).collect();
    assert_eq!(all, ['a', 'b', 'c']);
}

fn directory() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let name = format!("arrowyard-runtime-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
    std::env::temp_dir().join(name)
}

/// Stores records one after the other and stops when all are durable.
struct StoreRecords {
    records: Vec<Vec<u8>>,
    next: usize,
    snapshots: std::cell::Cell<u32>,
}

impl Plane for StoreRecords {
    fn handle(&mut self, _: Timestamp, event: Event<'_>, commands: &mut Commands) {
        match event {
            Event::Start => {}
            Event::Stored { ticket, durable } => {
                assert!(durable);
                assert_eq!(ticket as usize, self.next, "records become durable in order");
                self.next += 1;
            }
            _ => return,
        }
        match self.records.get(self.next) {
            Some(record) => commands.store(self.next as u64, record.clone()),
            None => commands.stop(),
        }
    }

    fn due(&self) -> Option<Timestamp> {
        None
    }

    fn snapshot(&self) -> Vec<u8> {
        self.snapshots.set(self.snapshots.get() + 1);
        format!("snapshot of {}", self.next).into_bytes()
    }
}

fn store_all(directory: &Path, records: Vec<Vec<u8>>) -> u32 {
    let (store, _) = open_store(directory).expect("opens the store");
    let mut plane = StoreRecords { records, next: 0, snapshots: std::cell::Cell::new(0) };
    run(LoopConfig { store: Some(store), max_connections: 4, ..LoopConfig::default() }, &mut plane)
        .expect("event loop runs");
    plane.snapshots.get()
}

/// Opens the journal again. The disk thread may release the directory lock only after the previous store was
/// dropped.
fn recover(directory: &Path) -> Recovered {
    loop {
        match open_store(directory) {
            Ok((_, recovered)) => return recovered,
            Err(JournalError::InUse) => std::thread::yield_now(),
            Err(error) => panic!("{error}"),
        }
    }
}

#[test]
fn journal_is_locked_while_open() {
    let directory = directory();
    let (store, _) = open_store(&directory).expect("opens the store");
    assert!(matches!(open_store(&directory), Err(JournalError::InUse)));
    drop(store);
    assert!(!recover(&directory).corrupt);
    fs::remove_dir_all(&directory).expect("removes the directory");
}

#[test]
fn stored_records_are_recovered_at_each_start() {
    let directory = directory();
    let records: Vec<Vec<u8>> = (0..20).map(|n| format!("record {n}").into_bytes()).collect();
    store_all(&directory, records.clone());
    for _ in 0..3 {
        let recovered = recover(&directory);
        assert_eq!((recovered.records, recovered.corrupt), (records.clone(), false));
    }
    fs::remove_dir_all(&directory).expect("removes the directory");
}

#[test]
fn snapshot_replaces_a_long_journal() {
    let directory = directory();
    let records: Vec<Vec<u8>> = (0..60).map(|n: u32| vec![n as u8; 100_000]).collect();
    let snapshots = store_all(&directory, records);
    let read = recover(&directory).records;
    assert!(snapshots >= 1, "six megabytes exceed the checkpoint size");
    assert!(
        read.iter().any(|record| record.starts_with(b"snapshot of")),
        "the snapshot replaces earlier records"
    );
    assert_eq!(read.iter().rev().find(|record| record.len() == 100_000).map(|record| record[0]), Some(59));
    fs::remove_dir_all(&directory).expect("removes the directory");
}
