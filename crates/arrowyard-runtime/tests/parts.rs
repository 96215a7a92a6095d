//! HTTP in whatever pieces; a store that gives back what it was told was kept, whatever was torn behind it; timers.

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
    fn calls_come_whole_in_whatever_pieces(body in "[a-z]{0,60}", cut in 1usize..40) {
        let text = format_request("POST", "/Config.Replace", "h", &[("Arrowyard-Base-Revision", "5")], &body).repeat(2);
        let (mut messages, mut seen) = (HttpDecoder::default(), 0);
        for piece in text.as_bytes().chunks(cut) {
            messages.put(piece);
            while let Some(request) = messages.next_request().expect("a sound call") {
                prop_assert_eq!(request.header("arrowyard-base-revision"), Some("5"));
                prop_assert_eq!(request.body, body.as_bytes());
                seen += 1;
            }
        }
        prop_assert_eq!(seen, 2);
    }

    #[test]
    fn whatever_comes_is_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut messages = HttpDecoder::default();
        messages.put(&bytes);
        let _ = messages.next_request();
        let mut messages = HttpDecoder::default();
        messages.put(&bytes);
        let _ = messages.next_response();
    }
}

#[test]
fn a_call_that_is_too_long_or_of_no_length_is_refused() {
    let refused = |text: &str| {
        let mut messages = HttpDecoder::default();
        messages.put(text.as_bytes());
        messages.next_request().expect_err("it is refused").0
    };
    assert_eq!(refused("POST / HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n"), 413);
    assert_eq!(refused("POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n"), 400);
    assert_eq!(refused("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"), 501);
    assert_eq!(refused(&format!("GET /{} HTTP/1.1\r\nx: ", "a".repeat(20_000))), 431);
    let mut messages = HttpDecoder::default();
    messages.put(format_response(412, "{\"error\":\"x\"}").as_bytes());
    assert_eq!(messages.next_response().expect("sound").expect("whole").status, 412);
}

#[test]
fn timers_go_off_in_order_and_not_before() {
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

fn folder() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let name = format!("arrowyard-runtime-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
    std::env::temp_dir().join(name)
}

/// Orders records kept, one after the other, and ends when all are.
struct Keeper {
    records: Vec<Vec<u8>>,
    next: usize,
    snapshots: std::cell::Cell<u32>,
}

impl Plane for Keeper {
    fn handle(&mut self, _: Timestamp, event: Event<'_>, commands: &mut Commands) {
        match event {
            Event::Start => {}
            Event::Stored { ticket, durable } => {
                assert!(durable);
                assert_eq!(ticket as usize, self.next, "in the order in which they were asked for");
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

fn keep(folder: &Path, records: Vec<Vec<u8>>) -> u32 {
    let (store, _) = open_store(folder).expect("the folder can be used");
    let mut plane = Keeper { records, next: 0, snapshots: std::cell::Cell::new(0) };
    run(LoopConfig { store: Some(store), max_connections: 4, ..LoopConfig::default() }, &mut plane)
        .expect("it runs");
    plane.snapshots.get()
}

/// What a start finds. A disk that is busy may close the journal of the life before only after its store was dropped.
fn recovered(folder: &Path) -> Recovered {
    loop {
        match open_store(folder) {
            Ok((_, recovered)) => return recovered,
            Err(JournalError::InUse) => std::thread::yield_now(),
            Err(error) => panic!("{error}"),
        }
    }
}

#[test]
fn a_journal_has_one_process_at_a_time() {
    let folder = folder();
    let (store, _) = open_store(&folder).expect("the folder can be used");
    assert!(matches!(open_store(&folder), Err(JournalError::InUse)));
    drop(store);
    assert!(!recovered(&folder).corrupt);
    fs::remove_dir_all(&folder).expect("it was ours");
}

#[test]
fn what_was_kept_is_there_at_each_later_start() {
    let folder = folder();
    let records: Vec<Vec<u8>> = (0..20).map(|n| format!("record {n}").into_bytes()).collect();
    keep(&folder, records.clone());
    for _ in 0..3 {
        let recovered = recovered(&folder);
        assert_eq!((recovered.records, recovered.corrupt), (records.clone(), false));
    }
    fs::remove_dir_all(&folder).expect("it was ours");
}

#[test]
fn a_long_log_is_cut_behind_a_snapshot() {
    let folder = folder();
    let records: Vec<Vec<u8>> = (0..60).map(|n: u32| vec![n as u8; 100_000]).collect();
    let snapshots = keep(&folder, records);
    let read = recovered(&folder).records;
    assert!(snapshots >= 1, "six megabytes are more than one segment");
    assert!(
        read.iter().any(|record| record.starts_with(b"snapshot of")),
        "a snapshot stands for what was cut"
    );
    assert_eq!(read.iter().rev().find(|record| record.len() == 100_000).map(|record| record[0]), Some(59));
    fs::remove_dir_all(&folder).expect("it was ours");
}
