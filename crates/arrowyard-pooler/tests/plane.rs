//! Transactions, session variables, lost replies, replacements and relayed requests on a router plane.

mod helpers;

use arrowyard_messages::{
    DbRole, Host, HostRequest, HostStatus, Payload, Phase, RelayedRequest, RelayedResponse, Replacement,
    Replacements,
};
use arrowyard_runtime::{CloseReason, Event};
use helpers::{CONFIGURATION, TestRouter, WITHOUT_ROUTES, host};

/// Begins a transaction and runs one statement in it. Returns the client and the host connection.
fn begin_transaction(router: &mut TestRouter) -> (arrowyard_runtime::Conn, arrowyard_runtime::Conn) {
    let client = router.client();
    router.send(client, "QUERY a1 BEGIN");
    assert_eq!(router.received(client), ["SETTLED -", "IDLE T -"]);
    router.send(client, "QUERY a2 WRITE t1 x");
    let host = router.accept_host_connection();
    assert_eq!(router.received(host), ["QUERY - BEGIN"]);
    router.send(host, "SETTLED -\nIDLE T 1.1");
    assert_eq!(router.received(host), ["QUERY a2 WRITE t1 x"]);
    router.send(host, "SETTLED 1.aa\nIDLE T 1.1");
    assert_eq!(router.received(client), ["SETTLED 1.aa", "IDLE T 1.1"]);
    (client, host)
}

#[test]
fn a_transaction_stays_on_its_connection() {
    let mut router = TestRouter::shared_by(1);
    let (client, host) = begin_transaction(&mut router);
    router.send(client, "QUERY a3 READ t1");
    assert_eq!(router.received(host), ["QUERY a3 READ t1"]);
    router.send(host, "ROW x\nSETTLED 2.aa\nIDLE T 1.1");
    router.send(client, "QUERY a4 COMMIT");
    assert_eq!(router.received(host), ["QUERY a4 COMMIT"]);
    router.send(host, "SETTLED 3.aa\nIDLE I 1.2");
    assert_eq!(
        router.received(client),
        ["ROW x", "SETTLED 2.aa", "IDLE T 1.1", "SETTLED 3.aa", "IDLE I 1.2"]
    );
}

/// The setup of the connection is not answered before the statement's deadline, so the statement was not
/// written. On another connection it would run without the earlier statements of its transaction.
#[test]
fn an_unsent_statement_is_not_moved_out_of_its_transaction() {
    let mut router = TestRouter::shared_by(1);
    let (client, host) = begin_transaction(&mut router);
    router.send(client, "QUERY a3 ASSIGN tag v1");
    router.received(client);
    router.send(client, "QUERY a4 WRITE t2 y");
    assert_eq!(router.received(host), ["QUERY - ASSIGN tag v1"]);
    router.advance(2000);
    let answer = router.received(client);
    assert!(answer[0].starts_with("FAULT REVERTED") && answer[1] == "IDLE E -", "{answer:?}");
    // It is not sent later either, after the host has answered the setup.
    router.send(host, "SETTLED -\nIDLE T 1.1");
    assert_eq!(router.received(host), ["QUERY - ABORT"]);
    router.send(client, "QUERY a5 ABORT");
    assert_eq!(router.received(client), ["SETTLED -", "IDLE I -"]);
}

#[test]
fn a_closed_connection_reverts_its_idle_transaction() {
    let mut router = TestRouter::shared_by(1);
    let (client, host) = begin_transaction(&mut router);
    let dials = router.dialed.len();
    router.handle(Event::Closed { conn: host, reason: CloseReason::ConnectionLost });
    router.send(client, "QUERY a3 WRITE t2 y");
    let answer = router.received(client);
    assert!(answer[0].starts_with("FAULT REVERTED") && answer[1] == "IDLE E -", "{answer:?}");
    assert_eq!(router.dialed.len(), dials, "the statement is not sent to another connection");
}

/// Guards against a line feed in a client's data, or in a row, that ends its message: what follows would run as
/// a statement that no client sent (UNASKED), or pass for the rest of the reply.
#[test]
fn a_line_feed_in_data_does_not_end_a_message() {
    let mut router = TestRouter::shared_by(1);
    let client = router.client();
    let write = "QUERY a1 WRITE t1 paid\nQUERY a2 WRITE t2 not sent\r";
    router.send_message(client, write);
    let host = router.accept_host_connection();
    assert_eq!(router.received(host), [write]);
    router.send_message(host, "SETTLED 1.aa");
    router.send_message(host, "IDLE I 1.2");
    assert_eq!(router.received(client), ["SETTLED 1.aa", "IDLE I 1.2"]);
    // Rows, within a transaction that verifies the primary.
    router.send_message(client, "QUERY a3 READ t1");
    assert_eq!(router.received(host), ["QUERY - BEGIN"]);
    router.send(host, "SETTLED -\nIDLE T 1.2");
    assert_eq!(router.received(host), ["QUERY a3 READ t1", "QUERY - ABORT"]);
    let row = "ROW paid\nSETTLED 9.zz\nIDLE I 9.9";
    router.send_message(host, row);
    router.send(host, "SETTLED 2.aa\nIDLE T 1.2\nSETTLED -\nIDLE I 1.2");
    assert_eq!(router.received(client), [row, "SETTLED 2.aa", "IDLE I 1.2"]);
}

/// The host's reply to the read is lost, and the next reply is the one to the router's own ABORT.
#[test]
fn a_reply_to_an_internal_statement_is_not_taken_as_a_success() {
    let mut router = TestRouter::shared_by(1);
    let client = router.client();
    router.send(client, "QUERY b1 READ t1");
    let host = router.accept_host_connection();
    assert_eq!(router.received(host), ["QUERY - BEGIN"]);
    router.send(host, "SETTLED -\nIDLE T 1.1");
    assert_eq!(router.received(host), ["QUERY b1 READ t1", "QUERY - ABORT"]);
    router.send(host, "SETTLED -\nIDLE I 1.1");
    assert!(router.closed.contains(&host), "all later replies would be off by one");
    assert_eq!(router.received(client), Vec::<String>::new(), "no success without a stamp");
}

/// Variables of the previous session are cleared before a connection serves the next one.
#[test]
fn a_connection_has_the_variables_of_its_session_only() {
    let mut router = TestRouter::shared_by(1);
    let first = router.client();
    router.send(first, "QUERY c1 ASSIGN tag v1");
    router.send(first, "QUERY c2 WRITE t1 x");
    let host = router.accept_host_connection();
    assert_eq!(router.received(host), ["QUERY - ASSIGN tag v1"]);
    router.send(host, "SETTLED -\nIDLE I 1.1");
    assert_eq!(router.received(host), ["QUERY c2 WRITE t1 x"]);
    router.send(host, "SETTLED 1.cc\nIDLE I 1.2");
    let second = router.client();
    router.send(second, "QUERY d1 WRITE t1 y");
    assert_eq!(router.received(host), ["QUERY - CLEAR"]);
    router.send(host, "SETTLED -\nIDLE I 1.2");
    assert_eq!(router.received(host), ["QUERY d1 WRITE t1 y"]);
}

/// With more routers than connections, a connection kept forever would keep another router out. With enough
/// connections, a kept one saves the next statement the opening.
#[test]
fn idle_connections_are_closed_if_routers_outnumber_connections() {
    for (routers, kept) in [(1, true), (100, false)] {
        let mut router = TestRouter::shared_by(routers);
        let client = router.client();
        router.send(client, "QUERY e1 WRITE t1 x");
        let host = router.accept_host_connection();
        assert_eq!(router.received(host), ["QUERY e1 WRITE t1 x"]);
        router.send(host, "SETTLED 1.ee\nIDLE I 1.2");
        router.advance(20);
        assert!(!router.closed.contains(&host), "it stays open for a following statement");
        router.advance(20_000);
        assert_eq!(!router.closed.contains(&host), kept, "{routers} routers");
    }
}

/// A second release of the connection would assign it to two sessions, which would get each other's replies.
#[test]
fn a_refused_commit_releases_its_connection_once() {
    let mut router = TestRouter::shared_by(1);
    let (client, host) = begin_transaction(&mut router);
    router.send(client, "QUERY a3 COMMIT");
    assert_eq!(router.received(host), ["QUERY a3 COMMIT"]);
    router.send(host, "FAULT FAILED i-1\nIDLE I 1.1");
    assert_eq!(router.received(client), ["FAULT FAILED i-1", "IDLE I -"]);
    let (second, third) = (router.client(), router.client());
    router.send(second, "QUERY b1 WRITE t1 y");
    router.send(third, "QUERY c1 WRITE t1 z");
    assert_eq!(router.received(host), ["QUERY b1 WRITE t1 y"]);
    let other = router.accept_host_connection();
    assert_ne!(other, host);
    assert_eq!(router.received(other), ["QUERY c1 WRITE t1 z"]);
    router.send(host, "SETTLED 1.bb\nIDLE I 1.2");
    router.send(other, "SETTLED 1.cc\nIDLE I 1.3");
    assert_eq!(router.received(second), ["SETTLED 1.bb", "IDLE I 1.2"]);
    assert_eq!(router.received(third), ["SETTLED 1.cc", "IDLE I 1.3"]);
}

/// The commit of a transaction without writes also succeeds on a former primary. If its position counted as
/// the primary's, a bounded read could accept stale data of that host.
#[test]
fn the_commit_of_a_transaction_without_writes_does_not_prove_a_primary() {
    for (statement, proves_primary) in [("READ t1", false), ("WRITE t1 x", true)] {
        let mut router = TestRouter::shared_by(1);
        let client = router.client();
        router.send(client, "QUERY a1 BEGIN");
        router.send(client, &format!("QUERY a2 {statement}"));
        let host = router.accept_host_connection();
        router.send(host, "SETTLED -\nIDLE T 1.1");
        router.send(host, "SETTLED 1.aa\nIDLE T 1.1");
        router.advance(1900);
        router.send(client, "QUERY a3 COMMIT");
        router.send(host, "SETTLED 2.aa\nIDLE I 1.5");
        router.received(host);
        let reader = router.client_of("b0");
        router.send(reader, "QUERY b1 READ t1");
        let asked = router.received(host);
        let expected = if proves_primary { "QUERY b1 AFTER 1.5 READ t1" } else { "QUERY - BEGIN" };
        assert_eq!(asked, [expected], "{statement}");
    }
}

/// A read waits for a connection while its route is removed. Without its requirement it could run on a
/// former primary.
#[test]
fn a_waiting_read_keeps_its_requirement_when_its_route_is_removed() {
    let mut router = TestRouter::shared_by(1);
    let client = router.client();
    router.send(client, "QUERY a1 READ t1");
    router.send_snapshot(2, WITHOUT_ROUTES, Vec::new(), 1);
    let host = router.accept_host_connection();
    assert_eq!(router.received(host), ["QUERY - BEGIN"], "the read verifies that its host is primary");

    let mut router = TestRouter::shared_by(1);
    let (writer, reader) = (router.client(), router.client_of("b0"));
    router.send(writer, "QUERY a1 WRITE t1 x");
    let host = router.accept_host_connection();
    assert_eq!(router.received(host), ["QUERY a1 WRITE t1 x"]);
    router.send(reader, "QUERY b1 READ t1");
    router.send_snapshot(2, WITHOUT_ROUTES, Vec::new(), 1);
    router.send(host, "SETTLED 1.aa\nIDLE I 1.7");
    assert_eq!(
        router.received(host),
        ["QUERY b1 AFTER 1.7 READ t1"],
        "the read names the position that its host must have"
    );
}

/// A replaced primary may have commits that the candidate lacks. It is told to yield, and its commits are
/// not acknowledged.
#[test]
fn a_commit_of_a_replaced_primary_is_not_acknowledged() {
    let replaced = |fence: u64, services: Vec<Replacement>| {
        Payload::Replacements(Replacements { fence, services, ..Replacements::default() })
    };
    let change = Replacement { service: "s0".into(), candidate: "i-2".into(), term: 4 };
    let mut router = TestRouter::shared_by(1);
    let client = router.client();
    router.send(client, "QUERY a1 WRITE t1 x");
    let host = router.accept_host_connection();
    router.control_sends(replaced(9, vec![change.clone()]));
    let second = router.accept_host_connection();
    assert_eq!(router.received(second), ["QUERY - YIELD 4"]);
    router.control_sends(replaced(9, vec![change.clone()]));
    assert_eq!(router.received(second), Vec::<String>::new(), "one request for each replacement");
    // A report under an older fencing token is ignored.
    router.control_sends(replaced(8, Vec::new()));
    router.send(host, "SETTLED 1.aa\nIDLE I 1.2");
    assert_eq!(router.received(client), ["FAULT UNKNOWN its host is being replaced", "IDLE I -"]);
    // A replacement that control no longer reports expires.
    router.received(host);
    router.send(client, "QUERY a2 WRITE t1 x");
    assert_eq!(router.received(host), ["QUERY a2 WRITE t1 x"]);
    router.advance(1000);
    router.send(client, "QUERY a3 WRITE t1 y");
    router.send(host, "SETTLED 2.aa\nIDLE I 1.3");
    let answers = router.received(client);
    assert!(!answers.iter().any(|line| line.contains("replaced")), "{answers:?}");
}

/// A router whose primary `i-1` is replaced by `i-2` as planned, with a client that has sent a write and the
/// connections to both hosts. The candidate is asked for its position.
fn planned_replacement() -> (TestRouter, arrowyard_runtime::Conn, [arrowyard_runtime::Conn; 2]) {
    let mut router = TestRouter::shared_by(1);
    let candidate = Host { id: "i-2".into(), ..host(Phase::InService, DbRole::Replica, 1) };
    router.send_snapshot(1, CONFIGURATION, vec![host(Phase::InService, DbRole::Primary, 1), candidate], 1);
    let client = router.client();
    router.send(client, "QUERY a1 WRITE t1 x");
    let primary = router.accept_host_connection();
    let change = Replacement { service: "s0".into(), candidate: "i-2".into(), term: 4 };
    router.control_sends(Payload::Replacements(Replacements {
        fence: 9,
        planned: vec![change],
        ..Replacements::default()
    }));
    router.received(primary);
    router.send(primary, "SETTLED 1.aa\nIDLE I 3.20");
    assert_eq!(router.received(client), Vec::<String>::new(), "the candidate has not confirmed it");
    let candidate = router.accept_connection_to("i-2");
    assert_eq!(router.received(candidate), ["QUERY - OBSERVE"]);
    (router, client, [primary, candidate])
}

/// Guards against lost commits in a planned change: a host that joins during the change lets the old primary
/// report commits that the candidate, which is promoted, has not received (LOST).
#[test]
fn a_commit_is_acknowledged_once_the_candidate_of_a_planned_change_has_received_it() {
    let (mut router, client, [_, candidate]) = planned_replacement();
    router.send(candidate, "ROW replica 3 3.19 0 8 1 2\nSETTLED -\nIDLE I 3.18");
    assert_eq!(router.received(client), Vec::<String>::new(), "the candidate lacks it");
    router.advance(10);
    assert_eq!(router.received(candidate), ["QUERY - OBSERVE"], "the candidate is asked again");
    router.send(candidate, "ROW replica 3 3.20 0 8 1 2\nSETTLED -\nIDLE I 3.18");
    assert_eq!(router.received(client), ["SETTLED 1.aa", "IDLE I 3.20"]);
}

/// Guards against lost commits in a planned change: a `COMMIT` with a blank behind it is a commit for hosts, and must
/// be checked at the candidate like any other (LOST).
#[test]
fn a_commit_with_a_blank_behind_it_is_checked_at_the_candidate() {
    let mut router = TestRouter::shared_by(1);
    let candidate = Host { id: "i-2".into(), ..host(Phase::InService, DbRole::Replica, 1) };
    router.send_snapshot(1, CONFIGURATION, vec![host(Phase::InService, DbRole::Primary, 1), candidate], 1);
    let (client, primary) = begin_transaction(&mut router);
    let change = Replacement { service: "s0".into(), candidate: "i-2".into(), term: 4 };
    let planned = Replacements { fence: 9, planned: vec![change], ..Replacements::default() };
    router.control_sends(Payload::Replacements(planned));
    router.send(client, "QUERY a3 COMMIT ");
    assert_eq!(router.received(primary), ["QUERY a3 COMMIT "], "the text is unchanged");
    router.send(primary, "SETTLED 2.aa\nIDLE I 1.2");
    assert_eq!(router.received(client), Vec::<String>::new(), "the candidate has not confirmed it");
    let candidate = router.accept_connection_to("i-2");
    router.received(candidate);
    router.send(candidate, "ROW replica 1 1.2 0 8 1 2\nSETTLED -\nIDLE I 1.2");
    assert_eq!(router.received(client), ["SETTLED 2.aa", "IDLE I 1.2"]);
}

/// Guards against lost commits in a planned change: a candidate that the router has not heard of cannot
/// confirm a commit (LOST).
#[test]
fn a_commit_has_an_unknown_outcome_if_the_candidate_is_not_known_here() {
    let mut router = TestRouter::shared_by(1);
    let client = router.client();
    router.send(client, "QUERY a1 WRITE t1 x");
    let primary = router.accept_host_connection();
    let change = Replacement { service: "s0".into(), candidate: "i-9".into(), term: 4 };
    let planned = Replacements { fence: 9, planned: vec![change], ..Replacements::default() };
    router.control_sends(Payload::Replacements(planned));
    router.send(primary, "SETTLED 1.aa\nIDLE I 3.20");
    assert_eq!(router.received(client), ["FAULT UNKNOWN its host was replaced", "IDLE I -"]);
}

/// Guards against lost commits in a planned change: a promoted candidate has a higher position without
/// everything that the old primary reported (LOST).
#[test]
fn a_commit_that_a_promoted_candidate_may_lack_has_an_unknown_outcome() {
    let (mut router, client, [_, candidate]) = planned_replacement();
    router.send(candidate, "ROW primary 4 4.20 0 8 1 2\nSETTLED -\nIDLE I 4.20");
    assert_eq!(router.received(client), ["FAULT UNKNOWN its host was replaced", "IDLE I -"]);
}

/// Guards against lost commits in a planned change: neither the deadline of a statement, nor the end of
/// control's report, nor a new duty holder acknowledges a commit that the candidate has not confirmed (LOST).
#[test]
fn a_commit_that_no_candidate_confirms_is_never_acknowledged() {
    let (mut router, client, [primary, candidate]) = planned_replacement();
    router.control_sends(Payload::Replacements(Replacements { fence: 9, ..Replacements::default() }));
    router.send(candidate, "ROW replica 3 3.19 0 8 1 2\nSETTLED -\nIDLE I 3.18");
    assert_eq!(router.received(client), Vec::<String>::new());
    router.advance(900);
    assert_eq!(router.received(client), ["FAULT UNKNOWN the host did not answer in time", "IDLE I -"]);
    // The reply of the host arrives late, and its connection serves the next statement.
    router.received(candidate);
    router.send(candidate, "ROW replica 3 3.20 0 8 1 2\nSETTLED -\nIDLE I 3.20");
    router.send(client, "QUERY a2 WRITE t1 y");
    assert_eq!(router.received(primary), ["QUERY a2 WRITE t1 y"]);
    router.send(primary, "SETTLED 2.aa\nIDLE I 3.21");
    assert_eq!(router.received(client), ["SETTLED 2.aa", "IDLE I 3.21"], "the change is over");
}

/// Guards against lost commits in a planned change: the next duty holder does not know of a promotion that
/// the previous one has requested (LOST).
#[test]
fn a_new_duty_holder_does_not_end_the_planned_changes_of_the_previous_one() {
    let (mut router, client, [primary, candidate]) = planned_replacement();
    router.send(candidate, "ROW replica 3 3.20 0 8 1 2\nSETTLED -\nIDLE I 3.20");
    assert_eq!(router.received(client), ["SETTLED 1.aa", "IDLE I 3.20"]);
    router.control_sends(Payload::Replacements(Replacements { fence: 10, ..Replacements::default() }));
    router.send(client, "QUERY a2 WRITE t1 y");
    router.received(primary);
    router.send(primary, "SETTLED 2.aa\nIDLE I 3.21");
    assert_eq!(router.received(client), Vec::<String>::new());
    router.send(candidate, "ROW replica 3 3.21 0 8 1 2\nSETTLED -\nIDLE I 3.20");
    assert_eq!(router.received(client), ["SETTLED 2.aa", "IDLE I 3.21"]);
}

/// A draining primary is replaced and promoted again, since no other host has its commits. The drain bound
/// runs from the first report that it drains and does not start again with the promotion.
#[test]
fn a_draining_host_gets_no_statement_after_its_bound_even_if_promoted_again() {
    let mut router = TestRouter::shared_by(1);
    router.report_host(&host(Phase::Draining, DbRole::Primary, 2), 1000);
    let client = router.client();
    router.send(client, "QUERY a1 WRITE t1 x");
    let host_conn = router.accept_host_connection();
    assert_eq!(router.received(host_conn), ["QUERY a1 WRITE t1 x"], "it accepts statements until the bound");
    router.send(host_conn, "SETTLED 1.aa\nIDLE I 1.2");
    assert_eq!(router.received(client), ["SETTLED 1.aa", "IDLE I 1.2"]);
    router.report_host(&host(Phase::Draining, DbRole::Replica, 3), 5000);
    router.report_host(&host(Phase::Draining, DbRole::Primary, 4), 1000);
    router.received(host_conn);
    router.send(client, "QUERY a2 WRITE t1 y");
    router.report_host(&host(Phase::Draining, DbRole::Primary, 4), 1000);
    assert_eq!(router.received(host_conn), Vec::<String>::new());
    let answer = router.received(client);
    assert!(answer[0].starts_with("FAULT") && !answer[0].contains("UNKNOWN"), "{answer:?}");
}

/// A router that starts while a primary drains does not know when the drain began.
#[test]
fn a_draining_host_never_seen_in_service_gets_no_statement() {
    let mut router = TestRouter::shared_by(1);
    let mut draining = host(Phase::Draining, DbRole::Primary, 1);
    draining.id = "i-2".into();
    router.report_host(&host(Phase::Gone, DbRole::Primary, 2), 250);
    let dials = router.dialed.len();
    router.report_host(&draining, 500);
    let client = router.client();
    router.send(client, "QUERY a1 WRITE t1 x");
    router.report_host(&draining, 1000);
    assert_eq!(router.dialed.len(), dials);
}

fn relayed(number: u64, host: &str, request: HostRequest) -> Payload {
    let request = request.into();
    Payload::RelayedRequest(RelayedRequest { asked_by: 7, number, host: host.into(), request, term: 4 })
}

/// Control learns at once of a request that cannot be relayed.
#[test]
fn a_request_of_control_is_relayed_and_its_response_returned() {
    let mut router = TestRouter::shared_by(1);
    router.control_sends(relayed(1, "i-1", HostRequest::Pause));
    let host_conn = router.accept_host_connection();
    assert_eq!(router.received(host_conn), ["QUERY - PAUSE 4"]);
    router.send(host_conn, "ROW replica 3 3.21 0 12 2 17\nSETTLED -\nIDLE I 3.9");
    let row = HostStatus { primary: false, term: 3, received_term: 3, received_number: 21 };
    let response = |number, row| Payload::RelayedResponse(RelayedResponse { asked_by: 7, number, row });
    assert_eq!(router.control_received(), [response(1, Some(row))]);
    // The next request uses the connection that is idle now; its close counts as a response.
    router.control_sends(relayed(2, "i-1", HostRequest::Observe));
    assert_eq!(router.received(host_conn), ["QUERY - OBSERVE"]);
    router.handle(Event::Closed { conn: host_conn, reason: CloseReason::ConnectionLost });
    assert_eq!(router.control_received(), [response(2, None)]);
    router.control_sends(relayed(3, "i-9", HostRequest::Observe));
    assert_eq!(router.control_received(), [response(3, None)], "the host is unknown");
}

/// A PAUSE that arrives after control has sent CONTINUE would pause the host for good.
#[test]
fn an_expired_relayed_request_is_not_sent() {
    let mut router = TestRouter::shared_by(1);
    router.control_sends(relayed(1, "i-1", HostRequest::Pause));
    router.advance(310);
    let host_conn = router.accept_host_connection();
    assert_eq!(router.received(host_conn), Vec::<String>::new());
}
