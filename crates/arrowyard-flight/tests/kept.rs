//! Tickets, prepared statements, what is held and how connections behave: each beside a plain model, or with the case
//! that it is there for.

use std::collections::HashSet;

use arrowyard_flight::bind::{self, Literal};
use arrowyard_flight::conduct::{Conduct, Verdict};
use arrowyard_flight::handles::Handles;
use arrowyard_flight::hold::{Cut, Hold, Holds, Next};
use arrowyard_flight::ticket::{Key, Tickets};
use arrowyard_flight::{Code, Fault};
use arrowyard_types::{TimeDelta, Timestamp};
use proptest::prelude::*;

fn ms(millis: i64) -> Timestamp {
    Timestamp::from_micros(millis * 1000)
}

const KEY: Key = Key(7, 11);

fn tickets(most: usize) -> Tickets {
    Tickets::new(KEY, TimeDelta::from_millis(1000), most, 200)
}

#[test]
fn a_ticket_is_good_once_in_its_time_and_at_its_router() {
    let mut router = tickets(8);
    let (ticket, expires) = router.plan(ms(0), "SELECT 1").expect("it is short");
    assert_eq!(expires, ms(1000));
    let mut other = Tickets::new(Key(7, 12), TimeDelta::from_millis(1000), 8, 200);
    assert!(matches!(other.redeem(ms(1), &ticket), Err(Fault::Ticket(_))));
    let (text, stub) = router.redeem(ms(400), &ticket).expect("it is good");
    assert_eq!(text, "SELECT 1");
    assert!(matches!(router.redeem(ms(401), &ticket), Err(Fault::Spent(_))));
    // Nothing ran of what it was redeemed for.
    router.give_back(stub);
    assert!(router.redeem(ms(402), &ticket).is_ok());
    let (late, _) = router.plan(ms(0), "SELECT 2").expect("it is short");
    let expired = Fault::Spent("the ticket has expired; plan again");
    assert_eq!(router.redeem(ms(1000), &late).map(drop), Err(expired), "it was never redeemed");
    let (last, _) = router.plan(ms(0), "SELECT 3").expect("it is short");
    assert!(router.redeem(ms(999), &last).is_ok(), "its time is not over yet");
    let (next, _) = router.plan(ms(2000), "SELECT 1").expect("it is short");
    assert!(router.redeem(ms(2001), &next).is_ok());
    assert_eq!(router.remembered(), 1, "what has expired is not remembered");
    assert_eq!(router.plan(ms(0), &"x".repeat(201)).map(drop), Err(Fault::TooLarge("the statement")));
}

#[test]
fn with_no_room_to_remember_nothing_is_redeemed_and_nothing_forgotten() {
    let mut router = tickets(2);
    let all: Vec<_> = (0..3).map(|n| router.plan(ms(n), "q").expect("it is short").0).collect();
    assert!(router.redeem(ms(5), &all[0]).is_ok() && router.redeem(ms(5), &all[1]).is_ok());
    assert_eq!(router.redeem(ms(5), &all[2]).map(drop), Err(Fault::TooMany("tickets")));
    assert!(matches!(router.redeem(ms(6), &all[0]), Err(Fault::Spent(_))));
    assert!(router.redeem(ms(1001), &all[2]).is_ok(), "the first two have expired");
}

/// The same cases each time.
fn config() -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(20_261_204);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// Whatever is changed of a ticket or a handle, it is none any more.
    #[test]
    fn a_spoilt_ticket_or_handle_is_refused(at in 0_usize..80, bit in 0_u8..8, cut in 0_usize..40, text in "[a-z ]{1,40}") {
        let mut router = tickets(8);
        let (ticket, _) = router.plan(ms(0), &text).expect("it is short");
        let mut spoilt = ticket.to_vec();
        let place = at % spoilt.len();
        spoilt[place] ^= 1 << bit;
        prop_assert!(matches!(router.redeem(ms(1), &spoilt), Err(Fault::Ticket(_))));
        let short = ticket.len().saturating_sub(cut + 1);
        prop_assert!(matches!(router.redeem(ms(1), &ticket[..short]), Err(Fault::Ticket(_))));
        let mut handles = Handles::new(KEY, 4, TimeDelta::from_millis(100), 200);
        let (handle, _) = handles.prepare(ms(0), &text).expect("it is short");
        let mut spoilt = handle.to_vec();
        let place = at % spoilt.len();
        spoilt[place] ^= 1 << bit;
        prop_assert_eq!(handles.statement(ms(1), &spoilt), Err(Fault::Handle));
        prop_assert!(handles.statement(ms(1), &handle).is_ok());
    }

    #[test]
    fn arbitrary_bytes_are_no_ticket_and_no_handle(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(tickets(8).redeem(ms(1), &bytes).is_err());
        let mut handles = Handles::new(KEY, 4, TimeDelta::from_millis(100), 200);
        prop_assert!(handles.statement(ms(1), &bytes).is_err() && handles.close(&bytes).is_err());
    }

    /// A model with a list: which are kept, and when each was used last.
    #[test]
    fn prepared_statements_are_kept_while_they_are_used_and_as_many_as_there_may_be(
        steps in prop::collection::vec((0_u8..4, 0_usize..6, 1_i64..40), 1..60),
    ) {
        let mut handles = Handles::new(KEY, 3, TimeDelta::from_millis(100), 200);
        let mut all: Vec<(bytes::Bytes, Option<i64>, String)> = Vec::new();
        let mut now = 0;
        for (what, which, pause) in steps {
            now += pause;
            let live = |used: &Option<i64>| used.is_some_and(|used| now - used < 100);
            match (what, all.get(which).cloned()) {
                (0, _) => {
                    let text = format!("SELECT {}", all.len());
                    let prepared = handles.prepare(ms(now), &text);
                    if all.iter().filter(|(_, used, _)| live(used)).count() >= 3 {
                        prop_assert_eq!(prepared.map(drop), Err(Fault::TooMany("prepared statements")));
                    } else {
                        all.push((prepared.expect("there is room").0, Some(now), text));
                    }
                }
                (1 | 2, Some((handle, used, text))) => {
                    let told = handles.statement(ms(now), &handle);
                    prop_assert_eq!(&told, &if live(&used) { Ok(text) } else { Err(Fault::Handle) });
                    all[which].1 = if live(&used) { Some(now) } else { None };
                }
                (3, Some((handle, ..))) => {
                    prop_assert_eq!(handles.close(&handle), Ok(()));
                    all[which].1 = None;
                }
                _ => {}
            }
        }
    }

    /// A value that was bound reads as itself: within the text nothing of it is anything but that one literal.
    #[test]
    fn bound_text_never_leaves_its_quotes(text in "[-a-z'\"$1/*\\\\;]{0,20}") {
        let whole = bind::put("SELECT $1 || 'x$1' -- $1\n", &[Literal::Text(text.clone())]).expect("one for one");
        let rest = whole.strip_prefix("SELECT '").and_then(|rest| rest.strip_suffix("' || 'x$1' -- $1\n"));
        prop_assert_eq!(rest.map(|rest| rest.replace("''", "'")), Some(text));
        prop_assert!(rest.is_some_and(|rest| rest.replace("''", "").find('\'').is_none()));
    }

    /// A list of what is held, summed anew each time.
    #[test]
    fn what_is_held_is_bounded_and_given_back(
        steps in prop::collection::vec((0_usize..4, 0_usize..60, any::<bool>()), 0..60),
    ) {
        let mut holds = Holds::new(100, 220);
        let mut all: Vec<(Hold, usize, bool)> = (0..4).map(|_| (Hold::default(), 0, false)).collect();
        for (which, bytes, end) in steps {
            let others: usize = all.iter().map(|(_, held, _)| held).sum();
            let (hold, held, passing) = &mut all[which];
            if end {
                prop_assert_eq!(hold.cut(), if *passing { Cut::Tell } else { Cut::Repair });
                holds.release(hold);
                all[which] = (Hold::default(), 0, false);
            } else {
                let wanted = if *passing {
                    Next::Pass
                } else if *held + bytes > 100 || others + bytes > 220 {
                    Next::PassAll
                } else {
                    Next::Hold
                };
                prop_assert_eq!(holds.batch(hold, bytes), wanted);
                (*held, *passing) = if wanted == Next::Hold { (*held + bytes, false) } else { (0, true) };
            }
            let sum: usize = all.iter().map(|(_, held, _)| held).sum();
            prop_assert_eq!(holds.used(), sum);
            prop_assert!(sum <= 220);
        }
    }
}

#[test]
fn parameters_are_found_where_they_are_and_nowhere_else() {
    let text = "SELECT a$1, \"$1\", 'it''s $2', E'\\'$3', $$ $4 $$, $t$ $5 $t$ /* $6 /* */ $7 */ FROM t WHERE x = $2 AND y = $1";
    assert_eq!(bind::count(text), Ok(2));
    let whole = bind::put(text, &[Literal::Int(-2), Literal::Binary(vec![0x9f, 3])]).expect("two for two");
    assert!(whole.ends_with("WHERE x = '\\x9f03' AND y = (-2)"), "{whole}");
    assert!(
        whole.starts_with("SELECT a$1, \"$1\", 'it''s $2', E'\\'$3', $$ $4 $$, $t$ $5 $t$ /* $6 /* */ $7 */")
    );
    assert!(matches!(bind::put(text, &[Literal::Null]), Err(Fault::NoOp(_))));
    assert!(matches!(bind::count("SELECT $0"), Err(Fault::NoOp(_))));
    assert!(matches!(bind::put("$1", &[Literal::Text("a\0b".into())]), Err(Fault::NoOp(_))));
    for (value, wanted) in [
        (Literal::Null, "NULL"),
        (Literal::Bool(true), "TRUE"),
        (Literal::Float(1.5), "(1.5)"),
        (Literal::Float(f64::NAN), "'NaN'::float8"),
        (Literal::Int(7), "7"),
    ] {
        assert_eq!(bind::put("$1", &[value]).as_deref(), Ok(wanted));
    }
}

#[test]
fn bound_parameters_stay_with_the_handle_that_holds_them() {
    let mut handles = Handles::new(KEY, 4, TimeDelta::from_millis(100), 200);
    let (handle, parameters) = handles.prepare(ms(0), "SELECT $1").expect("it is short");
    assert_eq!(parameters, 1);
    let one = handles.bind(ms(1), &handle, &[Literal::Int(1)]).expect("one for one");
    let two = handles.bind(ms(1), &handle, &[Literal::Text("two".into())]).expect("one for one");
    // Two clients that share a statement do not see each other's.
    assert_eq!(handles.statement(ms(2), &one).as_deref(), Ok("SELECT 1"));
    assert_eq!(handles.statement(ms(2), &two).as_deref(), Ok("SELECT 'two'"));
    assert!(matches!(handles.statement(ms(2), &handle), Err(Fault::NoOp(_))), "not bound");
    let large = Literal::Text("x".repeat(300));
    assert!(matches!(handles.bind(ms(2), &handle, &[large]), Err(Fault::TooLarge(_))));
    assert_eq!(handles.close(&two), Ok(()));
    assert_eq!(handles.statement(ms(3), &one), Err(Fault::Handle));
}

#[test]
fn only_what_never_ran_is_said_in_a_way_that_libraries_repeat_by_themselves() {
    let faults = [
        Fault::Errored,
        Fault::OutOfTime,
        Fault::NoOp(String::new()),
        Fault::TooLarge(""),
        Fault::TooMany(""),
        Fault::Ticket(""),
        Fault::Spent(""),
        Fault::Handle,
        Fault::Cut,
        Fault::Spoilt,
        Fault::NotHere(""),
    ];
    assert!(faults.iter().all(|fault| fault.code() != Code::Unavailable && fault.after().is_none()));
    let busy = Fault::Busy(Some(TimeDelta::from_millis(70)));
    assert_eq!((busy.code(), busy.after()), (Code::Unavailable, Some(TimeDelta::from_millis(70))));
    let may_have_run = [Fault::Errored, Fault::OutOfTime, Fault::Spoilt].map(|fault| fault.text());
    assert!(may_have_run.iter().all(|text| text.contains("may have run")));
    let numbers: HashSet<i32> = faults.iter().map(|fault| fault.code().number()).collect();
    assert!(numbers.iter().all(|number| (1..=16).contains(number)));
}

#[test]
fn a_connection_that_takes_back_what_it_asked_ends_and_others_go_on() {
    let mut conduct = Conduct::new(2, 3, 4, TimeDelta::from_millis(1000), TimeDelta::from_millis(5000));
    let (good, bad) = (conduct.came(ms(0)).expect("a place"), conduct.came(ms(0)).expect("a place"));
    assert_eq!(conduct.came(ms(0)), None);
    for _ in 0..3 {
        assert_eq!(conduct.call(ms(1), good), Verdict::Serve);
    }
    assert_eq!(conduct.call(ms(1), good), Verdict::Full);
    let ends: Vec<bool> = (0..5)
        .map(|n| {
            assert_eq!(conduct.call(ms(2 + n), bad), Verdict::Serve);
            conduct.ended(ms(2 + n), bad, true)
        })
        .collect();
    assert_eq!(ends, [false, false, false, false, true]);
    assert_eq!(conduct.call(ms(8), bad), Verdict::Abuse);
    assert!(!conduct.ended(ms(9), good, false));
    assert_eq!(conduct.call(ms(9), good), Verdict::Serve);
    // Some time later it may have mended.
    assert_eq!(conduct.call(ms(2500), bad), Verdict::Serve);
    // With no place left the one that was idle longest gives its own; one with an open call never.
    conduct.ended(ms(2501), bad, false);
    assert_eq!(conduct.idlers(ms(2502)), [bad]);
    conduct.left(bad);
    assert_eq!(conduct.idlers(ms(20_000)), []);
    assert!(conduct.came(ms(20_000)).is_some());
}
