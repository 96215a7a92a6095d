//! Tickets, prepared statements, result buffers and client connections, tested by example and against models.

use std::collections::HashSet;

use arrowyard_flight::bind::{self, Literal};
use arrowyard_flight::client_connections::{CallAdmission, ClientConnections};
use arrowyard_flight::prepared_statements::PreparedStatements;
use arrowyard_flight::result_buffer::{BatchAction, Interruption, ResultBuffer, ResultBuffers};
use arrowyard_flight::ticket::{MacKey, Tickets};
use arrowyard_flight::{CallError, Code};
use arrowyard_types::{TimeDelta, Timestamp};
use proptest::prelude::*;

fn ms(millis: i64) -> Timestamp {
    Timestamp::from_micros(millis * 1000)
}

const KEY: MacKey = MacKey(7, 11);

fn tickets(max_redeemed: usize) -> Tickets {
    Tickets::new(KEY, TimeDelta::from_millis(1000), max_redeemed, 200)
}

#[test]
fn a_ticket_is_valid_once_until_it_expires_and_only_at_its_router() {
    let mut issuer = tickets(8);
    let (ticket, expires) = issuer.issue(ms(0), "SELECT 1").expect("within the length limit");
    assert_eq!(expires, ms(1000));
    let mut other_issuer = Tickets::new(MacKey(7, 12), TimeDelta::from_millis(1000), 8, 200);
    assert!(matches!(other_issuer.redeem(ms(1), &ticket), Err(CallError::InvalidTicket(_))));
    let (text, redeemed) = issuer.redeem(ms(400), &ticket).expect("a valid ticket");
    assert_eq!(text, "SELECT 1");
    assert!(matches!(issuer.redeem(ms(401), &ticket), Err(CallError::SpentTicket(_))));
    // Its op did not run.
    issuer.restore(redeemed);
    assert!(issuer.redeem(ms(402), &ticket).is_ok());
    let (expired_ticket, _) = issuer.issue(ms(0), "SELECT 2").expect("within the length limit");
    let expired_error = CallError::SpentTicket("the ticket has expired; call GetFlightInfo again");
    assert_eq!(
        issuer.redeem(ms(1000), &expired_ticket).map(drop),
        Err(expired_error),
        "expired and never redeemed"
    );
    let (last, _) = issuer.issue(ms(0), "SELECT 3").expect("within the length limit");
    assert!(issuer.redeem(ms(999), &last).is_ok(), "not expired yet");
    let (next, _) = issuer.issue(ms(2000), "SELECT 1").expect("within the length limit");
    assert!(issuer.redeem(ms(2001), &next).is_ok());
    assert_eq!(issuer.redeemed_count(), 1, "expired tickets are not stored");
    assert_eq!(issuer.issue(ms(0), &"x".repeat(201)).map(drop), Err(CallError::TooLarge("the statement")));
}

#[test]
fn at_the_limit_of_redeemed_tickets_no_other_is_redeemed_and_all_stay_redeemed() {
    let mut issuer = tickets(2);
    let issued: Vec<_> =
        (0..3).map(|millis| issuer.issue(ms(millis), "q").expect("within the length limit").0).collect();
    assert!(issuer.redeem(ms(5), &issued[0]).is_ok() && issuer.redeem(ms(5), &issued[1]).is_ok());
    assert_eq!(issuer.redeem(ms(5), &issued[2]).map(drop), Err(CallError::TooMany("tickets")));
    assert!(matches!(issuer.redeem(ms(6), &issued[0]), Err(CallError::SpentTicket(_))));
    assert!(issuer.redeem(ms(1001), &issued[2]).is_ok(), "the first two have expired");
}

/// A fixed seed, so that every run tests the same cases.
fn config() -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(20_261_204);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// A changed bit or a truncation invalidates a ticket or a handle.
    #[test]
    fn changed_tickets_and_handles_are_rejected(position in 0_usize..80, bit in 0_u8..8, missing in 0_usize..40, text in "[a-z ]{1,40}") {
        let mut issuer = tickets(8);
        let (ticket, _) = issuer.issue(ms(0), &text).expect("within the length limit");
        let mut changed = ticket.to_vec();
        let offset = position % changed.len();
        changed[offset] ^= 1 << bit;
        prop_assert!(matches!(issuer.redeem(ms(1), &changed), Err(CallError::InvalidTicket(_))));
        let length = ticket.len().saturating_sub(missing + 1);
        prop_assert!(matches!(issuer.redeem(ms(1), &ticket[..length]), Err(CallError::InvalidTicket(_))));
        let mut statements = PreparedStatements::new(KEY, 4, TimeDelta::from_millis(100), 200);
        let (handle, _) = statements.prepare(ms(0), &text).expect("within the length limit");
        let mut changed = handle.to_vec();
        let offset = position % changed.len();
        changed[offset] ^= 1 << bit;
        prop_assert_eq!(statements.bound_statement(ms(1), &changed), Err(CallError::UnknownHandle));
        prop_assert!(statements.bound_statement(ms(1), &handle).is_ok());
    }

    #[test]
    fn arbitrary_bytes_are_rejected_as_ticket_and_as_handle(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(tickets(8).redeem(ms(1), &bytes).is_err());
        let mut statements = PreparedStatements::new(KEY, 4, TimeDelta::from_millis(100), 200);
        prop_assert!(statements.bound_statement(ms(1), &bytes).is_err() && statements.close(&bytes).is_err());
    }

    /// The model is a list of handles, each with the time of its last use (`None` once it is invalid) and its
    /// text.
    #[test]
    fn prepared_statements_are_stored_up_to_the_limit_and_until_the_idle_timeout(
        steps in prop::collection::vec((0_u8..4, 0_usize..6, 1_i64..40), 1..60),
    ) {
        let mut statements = PreparedStatements::new(KEY, 3, TimeDelta::from_millis(100), 200);
        let mut model: Vec<(bytes::Bytes, Option<i64>, String)> = Vec::new();
        let mut now = 0;
        for (action, index, elapsed) in steps {
            now += elapsed;
            let is_live = |last_used: &Option<i64>| last_used.is_some_and(|last_used| now - last_used < 100);
            match (action, model.get(index).cloned()) {
                (0, _) => {
                    let text = format!("SELECT {}", model.len());
                    let prepared = statements.prepare(ms(now), &text);
                    if model.iter().filter(|(_, last_used, _)| is_live(last_used)).count() >= 3 {
                        prop_assert_eq!(prepared.map(drop), Err(CallError::TooMany("prepared statements")));
                    } else {
                        model.push((prepared.expect("below the limit").0, Some(now), text));
                    }
                }
                (1 | 2, Some((handle, last_used, text))) => {
                    let bound_text = statements.bound_statement(ms(now), &handle);
                    prop_assert_eq!(&bound_text, &if is_live(&last_used) { Ok(text) } else { Err(CallError::UnknownHandle) });
                    model[index].1 = if is_live(&last_used) { Some(now) } else { None };
                }
                (3, Some((handle, ..))) => {
                    prop_assert_eq!(statements.close(&handle), Ok(()));
                    model[index].1 = None;
                }
                _ => {}
            }
        }
    }

    /// A bound string becomes exactly one literal.
    #[test]
    fn bound_text_stays_within_its_quotes(text in "[-a-z'\"$1/*\\\\;]{0,20}") {
        let sql = bind::substitute("SELECT $1 || 'x$1' -- $1\n", &[Literal::Text(text.clone())]).expect("as many values as parameters");
        let literal = sql.strip_prefix("SELECT '").and_then(|literal| literal.strip_suffix("' || 'x$1' -- $1\n"));
        prop_assert_eq!(literal.map(|literal| literal.replace("''", "'")), Some(text));
        prop_assert!(literal.is_some_and(|literal| literal.replace("''", "").find('\'').is_none()));
    }

    /// The model is a list of the results, each with its buffered bytes and whether it is streamed.
    #[test]
    fn buffered_bytes_are_bounded_and_released(
        steps in prop::collection::vec((0_usize..4, 0_usize..60, any::<bool>()), 0..60),
    ) {
        let mut buffers = ResultBuffers::new(100, 220);
        let mut results: Vec<(ResultBuffer, usize, bool)> = (0..4).map(|_| (ResultBuffer::default(), 0, false)).collect();
        for (index, bytes, ends) in steps {
            let used_before: usize = results.iter().map(|(_, buffered, _)| buffered).sum();
            let (buffer, buffered, streaming) = &mut results[index];
            if ends {
                prop_assert_eq!(buffer.on_interruption(), if *streaming { Interruption::Report } else { Interruption::Retry });
                buffers.release(buffer);
                results[index] = (ResultBuffer::default(), 0, false);
            } else {
                let expected = if *streaming {
                    BatchAction::Stream
                } else if *buffered + bytes > 100 || used_before + bytes > 220 {
                    BatchAction::Flush
                } else {
                    BatchAction::Buffer
                };
                prop_assert_eq!(buffers.add_batch(buffer, bytes), expected);
                (*buffered, *streaming) = if expected == BatchAction::Buffer { (*buffered + bytes, false) } else { (0, true) };
            }
            let total: usize = results.iter().map(|(_, buffered, _)| buffered).sum();
            prop_assert_eq!(buffers.used_bytes(), total);
            prop_assert!(total <= 220);
        }
    }
}

#[test]
fn parameters_are_found_only_outside_of_names_strings_and_comments() {
    let text = "SELECT a$1, \"$1\", 'it''s $2', E'\\'$3', $$ $4 $$, $t$ $5 $t$ /* $6 /* */ $7 */ FROM t WHERE x = $2 AND y = $1";
    assert_eq!(bind::parameter_count(text), Ok(2));
    let sql = bind::substitute(text, &[Literal::Int(-2), Literal::Binary(vec![0x9f, 3])])
        .expect("as many values as parameters");
    assert!(sql.ends_with("WHERE x = '\\x9f03' AND y = (-2)"), "{sql}");
    assert!(
        sql.starts_with("SELECT a$1, \"$1\", 'it''s $2', E'\\'$3', $$ $4 $$, $t$ $5 $t$ /* $6 /* */ $7 */")
    );
    assert!(matches!(bind::substitute(text, &[Literal::Null]), Err(CallError::InvalidOp(_))));
    assert!(matches!(bind::parameter_count("SELECT $0"), Err(CallError::InvalidOp(_))));
    assert!(matches!(bind::substitute("$1", &[Literal::Text("a\0b".into())]), Err(CallError::InvalidOp(_))));
    for (value, expected) in [
        (Literal::Null, "NULL"),
        (Literal::Bool(true), "TRUE"),
        (Literal::Float(1.5), "(1.5)"),
        (Literal::Float(f64::NAN), "'NaN'::float8"),
        (Literal::Int(7), "7"),
    ] {
        assert_eq!(bind::substitute("$1", &[value]).as_deref(), Ok(expected));
    }
}

#[test]
fn bound_parameters_belong_to_their_handle() {
    let mut statements = PreparedStatements::new(KEY, 4, TimeDelta::from_millis(100), 200);
    let (handle, parameter_count) = statements.prepare(ms(0), "SELECT $1").expect("within the length limit");
    assert_eq!(parameter_count, 1);
    let with_int = statements.bind(ms(1), &handle, &[Literal::Int(1)]).expect("as many values as parameters");
    let with_text = statements
        .bind(ms(1), &handle, &[Literal::Text("two".into())])
        .expect("as many values as parameters");
    // Clients that share a statement do not see each other's parameters.
    assert_eq!(statements.bound_statement(ms(2), &with_int).as_deref(), Ok("SELECT 1"));
    assert_eq!(statements.bound_statement(ms(2), &with_text).as_deref(), Ok("SELECT 'two'"));
    assert!(matches!(statements.bound_statement(ms(2), &handle), Err(CallError::InvalidOp(_))), "not bound");
    let large = Literal::Text("x".repeat(300));
    assert!(matches!(statements.bind(ms(2), &handle, &[large]), Err(CallError::TooLarge(_))));
    assert_eq!(statements.close(&with_text), Ok(()));
    assert_eq!(statements.bound_statement(ms(3), &with_int), Err(CallError::UnknownHandle));
}

#[test]
fn only_ops_that_did_not_run_get_a_status_that_client_libraries_retry() {
    let errors = [
        CallError::Errored,
        CallError::DeadlineExceeded,
        CallError::InvalidOp(String::new()),
        CallError::TooLarge(""),
        CallError::TooMany(""),
        CallError::InvalidTicket(""),
        CallError::SpentTicket(""),
        CallError::UnknownHandle,
        CallError::Interrupted,
        CallError::InvalidResult,
        CallError::Unimplemented(""),
    ];
    assert!(errors.iter().all(|error| error.code() != Code::Unavailable && error.retry_after().is_none()));
    let busy = CallError::Busy(Some(TimeDelta::from_millis(70)));
    assert_eq!((busy.code(), busy.retry_after()), (Code::Unavailable, Some(TimeDelta::from_millis(70))));
    let may_have_run = [CallError::Errored, CallError::DeadlineExceeded, CallError::InvalidResult]
        .map(|error| error.message());
    assert!(may_have_run.iter().all(|text| text.contains("may have run")));
    let numbers: HashSet<i32> = errors.iter().map(|error| error.code().number()).collect();
    assert!(numbers.iter().all(|number| (1..=16).contains(number)));
}

#[test]
fn a_connection_that_cancels_too_many_calls_is_closed_and_others_are_not() {
    let mut connections =
        ClientConnections::new(2, 3, 4, TimeDelta::from_millis(1000), TimeDelta::from_millis(5000));
    let (well_behaved, abusive) = (
        connections.register(ms(0)).expect("below the limit"),
        connections.register(ms(0)).expect("below the limit"),
    );
    assert_eq!(connections.register(ms(0)), None);
    for _ in 0..3 {
        assert_eq!(connections.begin_call(ms(1), well_behaved), CallAdmission::Admitted);
    }
    assert_eq!(connections.begin_call(ms(1), well_behaved), CallAdmission::TooManyOpen);
    let closes: Vec<bool> = (0..5)
        .map(|index| {
            assert_eq!(connections.begin_call(ms(2 + index), abusive), CallAdmission::Admitted);
            connections.end_call(ms(2 + index), abusive, true)
        })
        .collect();
    assert_eq!(closes, [false, false, false, false, true]);
    assert_eq!(connections.begin_call(ms(8), abusive), CallAdmission::CloseConnection);
    assert!(!connections.end_call(ms(9), well_behaved, false));
    assert_eq!(connections.begin_call(ms(9), well_behaved), CallAdmission::Admitted);
    // The cancelled calls are outside of the window by then.
    assert_eq!(connections.begin_call(ms(2500), abusive), CallAdmission::Admitted);
    // At the limit the longest idle connection is closed, but never one with an open call.
    connections.end_call(ms(2501), abusive, false);
    assert_eq!(connections.idle_to_close(ms(2502)), [abusive]);
    connections.remove(abusive);
    assert_eq!(connections.idle_to_close(ms(20_000)), []);
    assert!(connections.register(ms(20_000)).is_some());
}
