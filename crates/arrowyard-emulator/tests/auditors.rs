//! Each auditor reports a history that violates its invariant and accepts a similar one that does not.

use std::cell::RefCell;
use std::rc::Rc;

use arrowyard_emulator::{Freshness, History, ReplicationGroup, StatementRecord, WriteOutcome};
use arrowyard_types::{TimeDelta, Timestamp};

fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

fn ms(millis: i64) -> TimeDelta {
    TimeDelta::from_millis(millis)
}

fn statement(text: &str, freshness: Freshness, transaction_started_at: i64) -> StatementRecord {
    StatementRecord {
        at: at(transaction_started_at),
        transaction_started_at: at(transaction_started_at),
        service: "s".into(),
        session: 1,
        operation: 7,
        text: text.into(),
        shape: None,
        tag: None,
        freshness,
        in_transaction: false,
        stamp: Some("h.a".into()),
        rows: Some("row".into()),
    }
}

/// Returns the violated invariants of a history with the statement `a` after `change` has modified it.
fn violated_invariants(statement: StatementRecord, change: impl FnOnce(&mut History)) -> Vec<&'static str> {
    let mut history = History::default();
    history.statements.insert("a".into(), statement);
    change(&mut history);
    history.violations.iter().map(|violation| violation.invariant).collect()
}

fn read_statement() -> StatementRecord {
    statement("READ t", Freshness::Primary, 100)
}

#[test]
fn unasked() {
    let execution = |id: &'static str, text: &'static str| {
        violated_invariants(read_statement(), move |history| {
            history.record_execution(at(101), id, text, None, None, None)
        })
    };
    assert_eq!(execution("a", "READ t"), Vec::<&str>::new());
    assert_eq!(execution("b", "READ t"), ["UNASKED"]);
    assert_eq!(execution("a", "READ u"), ["UNASKED"]);
}

#[test]
fn pinned() {
    let in_transaction = |transaction: Option<Option<u64>>| {
        let statement = StatementRecord { in_transaction: true, ..read_statement() };
        violated_invariants(statement, move |history| {
            history.record_execution(at(101), "a", "READ t", None, None, transaction)
        })
    };
    assert_eq!(in_transaction(Some(None)), Vec::<&str>::new());
    assert_eq!(in_transaction(Some(Some(7))), Vec::<&str>::new());
    assert_eq!(in_transaction(Some(Some(8))), ["PINNED"], "another operation's transaction");
    assert_eq!(in_transaction(None), ["PINNED"], "outside its own transaction");
    let tagged = StatementRecord { tag: Some("v1".into()), ..read_statement() };
    assert_eq!(
        violated_invariants(tagged, |history| history.record_execution(
            at(101),
            "a",
            "READ t",
            None,
            Some("v2"),
            None
        )),
        ["PINNED"]
    );
    let prepared = StatementRecord { shape: Some("q1".into()), text: "RUN r t".into(), ..read_statement() };
    assert_eq!(
        violated_invariants(prepared, |history| history.record_execution(
            at(101),
            "a",
            "RUN g0 t",
            Some("q2"),
            None,
            None
        )),
        ["PINNED"]
    );
}

#[test]
fn mixed() {
    let success = |stamp: &'static str, rows: &'static str| {
        violated_invariants(read_statement(), move |history| {
            history.record_success(at(102), "a", stamp, rows)
        })
    };
    assert_eq!(success("h.a", "row"), Vec::<&str>::new());
    assert_eq!(success("-", "row"), ["MIXED"]);
    assert_eq!(success("h.a", "other"), ["MIXED"]);
}

#[test]
fn stale() {
    // Commit 3 was acknowledged at 50 ms to session 2, commit 4 at 90 ms to session 1.
    let read_by = |freshness: Freshness, transaction_started_at: i64, applied: usize| {
        violated_invariants(statement("READ t", freshness, transaction_started_at), move |history| {
            history.log_indexes.extend([("x".to_string(), 3), ("y".to_string(), 4)]);
            history.record_acknowledgement(at(50), "s", 2, "x");
            history.record_acknowledgement(at(90), "s", 1, "y");
            history.record_read(at(transaction_started_at + 1), "a", applied, 9, "h");
        })
    };
    let none = Vec::<&str>::new();
    assert_eq!(read_by(Freshness::Primary, 100, 4), none);
    assert_eq!(read_by(Freshness::Primary, 100, 3), ["STALE"]);
    assert_eq!(read_by(Freshness::Primary, 90, 3), none, "acknowledged only after the read was sent");
    assert_eq!(read_by(Freshness::Bounded(ms(30)), 100, 3), none);
    assert_eq!(read_by(Freshness::Bounded(ms(30)), 100, 2), ["STALE"]);
    assert_eq!(read_by(Freshness::Own(ms(1000)), 100, 3), ["STALE"], "its own commit");
    assert_eq!(read_by(Freshness::Own(ms(1000)), 80, 0), none);
}

#[test]
fn drain() {
    let arrival = |now: i64, drained_at: Option<i64>| {
        violated_invariants(read_statement(), move |history| {
            history.record_arrival(at(now), "a", drained_at.map(at), ms(7000), "h")
        })
    };
    assert_eq!(arrival(7999, Some(1000)), Vec::<&str>::new());
    assert_eq!(arrival(90_000, None), Vec::<&str>::new());
    assert_eq!(arrival(8001, Some(1000)), ["DRAIN"]);
}

#[test]
fn twice_refused_and_lost() {
    let final_log = |writes: &'static [&'static str], outcome: WriteOutcome| {
        let group = ReplicationGroup::new("s", &["h".to_string(), "i".to_string()], ms(5));
        let group = Rc::new(RefCell::new(group));
        for token in writes {
            group.borrow_mut().commit(at(10), "h", vec![token.to_string()]);
        }
        violated_invariants(read_statement(), move |history| {
            history.write_outcomes.insert("x".into(), outcome);
            history.audit_logs(at(1000), &[group]);
        })
    };
    let acknowledged = || WriteOutcome::Acknowledged { at: at(20), service: "s".into(), session: 1 };
    let not_kept = || WriteOutcome::NotKept { at: at(20), service: "s".into() };
    assert_eq!(final_log(&["x", "y"], acknowledged()), Vec::<&str>::new());
    assert_eq!(final_log(&["x", "x"], acknowledged()), ["TWICE"]);
    assert_eq!(final_log(&["y"], acknowledged()), ["LOST"]);
    assert_eq!(final_log(&["x"], not_kept()), ["REFUSED"]);
    assert_eq!(final_log(&["y"], not_kept()), Vec::<&str>::new());
    assert_eq!(final_log(&["x"], WriteOutcome::Unknown), Vec::<&str>::new());
}

#[test]
fn config_read_back() {
    let read_back_as = |revision: Option<u64>| {
        violated_invariants(self::read_statement(), move |history| {
            (history.acknowledged_revision, history.read_revision) = (9, revision);
            history.audit_configuration(at(1000));
        })
    };
    assert_eq!(read_back_as(Some(9)), Vec::<&str>::new());
    assert_eq!(read_back_as(Some(12)), Vec::<&str>::new(), "a change without a clear reply may be in force");
    assert_eq!(read_back_as(Some(8)), ["CONFIG"]);
    assert_eq!(read_back_as(None), ["CONFIG"]);
}

#[test]
fn recover() {
    let recovery = |before: (u64, u64), after_loss: (u64, u64)| {
        violated_invariants(read_statement(), move |history| {
            history.counts_by_second.extend((0..10).map(|second| (second, before)));
            history.counts_by_second.extend((12..30).map(|second| (second, after_loss)));
            history.power_restored_at = Some(at(12_000));
            history.audit_recovery(at(30_000), ms(3000));
        })
    };
    assert_eq!(recovery((100, 100), (100, 30)), Vec::<&str>::new());
    assert_eq!(recovery((100, 100), (100, 20)), ["RECOVER"]);
    assert_eq!(recovery((100, 20), (100, 20)), Vec::<&str>::new(), "equally few were served before the loss");
}
