//! Each auditor catches a history that breaks its rule, and passes the nearest one that does not.

use std::cell::RefCell;
use std::rc::Rc;

use arrowyard_emulator::{Asked, Fate, Fresh, History, Shard};
use arrowyard_types::{TimeDelta, Timestamp};

fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

fn ms(millis: i64) -> TimeDelta {
    TimeDelta::from_millis(millis)
}

fn asked(text: &str, fresh: Fresh, since: i64) -> Asked {
    Asked {
        at: at(since),
        since: at(since),
        service: "s".into(),
        session: 1,
        operation: 7,
        text: text.into(),
        shape: None,
        tag: None,
        fresh,
        inside: false,
        stamp: Some("h.a".into()),
        rows: Some("row".into()),
    }
}

/// A history in which `a` was asked, and what was found after something happened to it.
fn found(asked: Asked, happens: impl FnOnce(&mut History)) -> Vec<&'static str> {
    let mut history = History::default();
    history.asked.insert("a".into(), asked);
    happens(&mut history);
    history.breaches.iter().map(|breach| breach.rule).collect()
}

fn read() -> Asked {
    asked("READ t", Fresh::Primary, 100)
}

#[test]
fn unasked() {
    let runs = |id: &'static str, text: &'static str| {
        found(read(), move |history| history.runs(at(101), id, text, None, None, None))
    };
    assert_eq!(runs("a", "READ t"), Vec::<&str>::new());
    assert_eq!(runs("b", "READ t"), ["UNASKED"]);
    assert_eq!(runs("a", "READ u"), ["UNASKED"]);
}

#[test]
fn pinned() {
    let inside = |held: Option<Option<u64>>| {
        let asked = Asked { inside: true, ..read() };
        found(asked, move |history| history.runs(at(101), "a", "READ t", None, None, held))
    };
    assert_eq!(inside(Some(None)), Vec::<&str>::new());
    assert_eq!(inside(Some(Some(7))), Vec::<&str>::new());
    assert_eq!(inside(Some(Some(8))), ["PINNED"], "another operation's transaction");
    assert_eq!(inside(None), ["PINNED"], "outside its own");
    let tagged = Asked { tag: Some("v1".into()), ..read() };
    assert_eq!(found(tagged, |h| h.runs(at(101), "a", "READ t", None, Some("v2"), None)), ["PINNED"]);
    let named = Asked { shape: Some("q1".into()), text: "RUN r t".into(), ..read() };
    assert_eq!(found(named, |h| h.runs(at(101), "a", "RUN g0 t", Some("q2"), None, None)), ["PINNED"]);
}

#[test]
fn mixed() {
    let gets = |stamp: &'static str, rows: &'static str| {
        found(read(), move |history| history.succeeds(at(102), "a", stamp, rows))
    };
    assert_eq!(gets("h.a", "row"), Vec::<&str>::new());
    assert_eq!(gets("-", "row"), ["MIXED"]);
    assert_eq!(gets("h.a", "other"), ["MIXED"]);
}

#[test]
fn stale() {
    // Commit 3 was acknowledged at 50 ms to session 2, commit 4 at 90 ms to session 1.
    let reads = |fresh: Fresh, since: i64, applied: usize| {
        found(asked("READ t", fresh, since), move |history| {
            history.placed.extend([("x".to_string(), 3), ("y".to_string(), 4)]);
            history.acknowledges(at(50), "s", 2, "x");
            history.acknowledges(at(90), "s", 1, "y");
            history.reads(at(since + 1), "a", applied, 9, "h");
        })
    };
    let none = Vec::<&str>::new();
    assert_eq!(reads(Fresh::Primary, 100, 4), none);
    assert_eq!(reads(Fresh::Primary, 100, 3), ["STALE"]);
    assert_eq!(reads(Fresh::Primary, 90, 3), none, "not acknowledged before it was asked");
    assert_eq!(reads(Fresh::Bounded(ms(30)), 100, 3), none);
    assert_eq!(reads(Fresh::Bounded(ms(30)), 100, 2), ["STALE"]);
    assert_eq!(reads(Fresh::Own(ms(1000)), 100, 3), ["STALE"], "its own commit");
    assert_eq!(reads(Fresh::Own(ms(1000)), 80, 0), none);
}

#[test]
fn drain() {
    let arrives = |now: i64, left: Option<i64>| {
        found(read(), move |history| history.arrives(at(now), "a", left.map(at), ms(7000), "h"))
    };
    assert_eq!(arrives(7999, Some(1000)), Vec::<&str>::new());
    assert_eq!(arrives(90_000, None), Vec::<&str>::new());
    assert_eq!(arrives(8001, Some(1000)), ["DRAIN"]);
}

#[test]
fn twice_refused_and_lost() {
    let ends = |writes: &'static [&'static str], fate: Fate| {
        let shard = Shard::new("s", &["h".to_string(), "i".to_string()], ms(5));
        let shard = Rc::new(RefCell::new(shard));
        for token in writes {
            shard.borrow_mut().commit(at(10), "h", vec![token.to_string()]);
        }
        found(read(), move |history| {
            history.fates.insert("x".into(), fate);
            history.audit_logs(at(1000), &[shard]);
        })
    };
    let told = || Fate::Acknowledged { at: at(20), service: "s".into(), session: 1 };
    let promised = || Fate::Promised { at: at(20), service: "s".into() };
    assert_eq!(ends(&["x", "y"], told()), Vec::<&str>::new());
    assert_eq!(ends(&["x", "x"], told()), ["TWICE"]);
    assert_eq!(ends(&["y"], told()), ["LOST"]);
    assert_eq!(ends(&["x"], promised()), ["REFUSED"]);
    assert_eq!(ends(&["y"], promised()), Vec::<&str>::new());
    assert_eq!(ends(&["x"], Fate::Unknown), Vec::<&str>::new());
}

#[test]
fn config_read_back() {
    let back = |read: Option<u64>| {
        found(self::read(), move |history| {
            (history.in_place, history.read_back) = (9, read);
            history.audit_configuration(at(1000));
        })
    };
    assert_eq!(back(Some(9)), Vec::<&str>::new());
    assert_eq!(back(Some(12)), Vec::<&str>::new(), "a change without a clear answer may be in force");
    assert_eq!(back(Some(8)), ["CONFIG"]);
    assert_eq!(back(None), ["CONFIG"]);
}

#[test]
fn recover() {
    let after = |before: (u64, u64), later: (u64, u64)| {
        found(read(), move |history| {
            history.seconds.extend((0..10).map(|second| (second, before)));
            history.seconds.extend((12..30).map(|second| (second, later)));
            history.back = Some(at(12_000));
            history.audit_recovery(at(30_000), ms(3000));
        })
    };
    assert_eq!(after((100, 100), (100, 30)), Vec::<&str>::new());
    assert_eq!(after((100, 100), (100, 20)), ["RECOVER"]);
    assert_eq!(after((100, 20), (100, 20)), Vec::<&str>::new(), "it served no more before");
}
