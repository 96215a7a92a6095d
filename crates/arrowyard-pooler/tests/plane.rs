//! Transactions, values and answers that are lost, before a router that is driven by hand.

mod helpers;

use arrowyard_messages::{
    DbRole, HostRequest, HostStatus, Payload, Phase, RelayedRequest, RelayedResponse, Replacement,
    Replacements,
};
use arrowyard_runtime::{CloseReason, Event};
use helpers::{Hand, WITHOUT_ROUTES, host};

/// A client inside a transaction that ran one statement, and the connection that holds it.
fn inside(hand: &mut Hand) -> (arrowyard_runtime::Conn, arrowyard_runtime::Conn) {
    let client = hand.client();
    hand.says(client, "QUERY a1 BEGIN");
    assert_eq!(hand.hears(client), ["SETTLED -", "IDLE T -"]);
    hand.says(client, "QUERY a2 WRITE t1 x");
    let host = hand.host_opens();
    assert_eq!(hand.hears(host), ["QUERY - BEGIN"]);
    hand.says(host, "SETTLED -\nIDLE T 1.1");
    assert_eq!(hand.hears(host), ["QUERY a2 WRITE t1 x"]);
    hand.says(host, "SETTLED 1.aa\nIDLE T 1.1");
    assert_eq!(hand.hears(client), ["SETTLED 1.aa", "IDLE T 1.1"]);
    (client, host)
}

#[test]
fn a_transaction_stays_on_its_connection_to_the_end() {
    let mut hand = Hand::among(1);
    let (client, host) = inside(&mut hand);
    hand.says(client, "QUERY a3 READ t1");
    assert_eq!(hand.hears(host), ["QUERY a3 READ t1"]);
    hand.says(host, "ROW x\nSETTLED 2.aa\nIDLE T 1.1");
    hand.says(client, "QUERY a4 COMMIT");
    assert_eq!(hand.hears(host), ["QUERY a4 COMMIT"]);
    hand.says(host, "SETTLED 3.aa\nIDLE I 1.2");
    assert_eq!(hand.hears(client), ["ROW x", "SETTLED 2.aa", "IDLE T 1.1", "SETTLED 3.aa", "IDLE I 1.2"]);
}

/// What must be set on the connection first is not answered until the statement's time is up: it has not gone out. On
/// another connection it would run without what came before it.
#[test]
fn a_statement_that_never_went_out_is_not_moved_out_of_its_transaction() {
    let mut hand = Hand::among(1);
    let (client, host) = inside(&mut hand);
    hand.says(client, "QUERY a3 ASSIGN tag v1");
    hand.hears(client);
    hand.says(client, "QUERY a4 WRITE t2 y");
    assert_eq!(hand.hears(host), ["QUERY - ASSIGN tag v1"]);
    hand.pass(2000);
    let answer = hand.hears(client);
    assert!(answer[0].starts_with("FAULT REVERTED") && answer[1] == "IDLE E -", "{answer:?}");
    // Nothing of it goes to any connection, now or once the host has answered after all.
    hand.says(host, "SETTLED -\nIDLE T 1.1");
    assert_eq!(hand.hears(host), ["QUERY - ABORT"]);
    hand.says(client, "QUERY a5 ABORT");
    assert_eq!(hand.hears(client), ["SETTLED -", "IDLE I -"]);
}

#[test]
fn a_connection_that_ends_while_its_transaction_rests_reverts_it() {
    let mut hand = Hand::among(1);
    let (client, host) = inside(&mut hand);
    let dials = hand.dialled.len();
    hand.event(Event::Closed { conn: host, reason: CloseReason::ConnectionLost });
    hand.says(client, "QUERY a3 WRITE t2 y");
    let answer = hand.hears(client);
    assert!(answer[0].starts_with("FAULT REVERTED") && answer[1] == "IDLE E -", "{answer:?}");
    assert_eq!(hand.dialled.len(), dials, "nothing is sent anywhere");
}

/// The host's word on the read is lost, and what comes next is its word on our own ABORT.
#[test]
fn the_answer_to_our_own_statement_is_nobodys_success() {
    let mut hand = Hand::among(1);
    let client = hand.client();
    hand.says(client, "QUERY b1 READ t1");
    let host = hand.host_opens();
    assert_eq!(hand.hears(host), ["QUERY - BEGIN"]);
    hand.says(host, "SETTLED -\nIDLE T 1.1");
    assert_eq!(hand.hears(host), ["QUERY b1 READ t1", "QUERY - ABORT"]);
    hand.says(host, "SETTLED -\nIDLE I 1.1");
    assert!(hand.dropped.contains(&host), "the connection is a place off");
    assert_eq!(hand.hears(client), Vec::<String>::new(), "no success without a stamp");
}

/// SessionVariables that another session left are taken back before a connection serves the next one.
#[test]
fn a_connection_holds_the_values_of_whoever_has_it() {
    let mut hand = Hand::among(1);
    let first = hand.client();
    hand.says(first, "QUERY c1 ASSIGN tag v1");
    hand.says(first, "QUERY c2 WRITE t1 x");
    let host = hand.host_opens();
    assert_eq!(hand.hears(host), ["QUERY - ASSIGN tag v1"]);
    hand.says(host, "SETTLED -\nIDLE I 1.1");
    assert_eq!(hand.hears(host), ["QUERY c2 WRITE t1 x"]);
    hand.says(host, "SETTLED 1.cc\nIDLE I 1.2");
    let second = hand.client();
    hand.says(second, "QUERY d1 WRITE t1 y");
    assert_eq!(hand.hears(host), ["QUERY - CLEAR"]);
    hand.says(host, "SETTLED -\nIDLE I 1.2");
    assert_eq!(hand.hears(host), ["QUERY d1 WRITE t1 y"]);
}

/// Where routers are more than a host's connections, whoever keeps one for good keeps somebody else out; where each has
/// some of its own, one that is kept saves the next statement the opening.
#[test]
fn connections_that_are_fewer_than_routers_go_round() {
    for (routers, kept) in [(1, true), (100, false)] {
        let mut hand = Hand::among(routers);
        let client = hand.client();
        hand.says(client, "QUERY e1 WRITE t1 x");
        let host = hand.host_opens();
        assert_eq!(hand.hears(host), ["QUERY e1 WRITE t1 x"]);
        hand.says(host, "SETTLED 1.ee\nIDLE I 1.2");
        hand.pass(20);
        assert!(!hand.dropped.contains(&host), "the next statement of an operation finds it open");
        hand.pass(20_000);
        assert_eq!(!hand.dropped.contains(&host), kept, "{routers} routers");
    }
}

/// A commit that its host refuses leaves the session's connection free. It was once given back twice over, and two other
/// sessions got the same one: each was answered with what the other had asked for.
#[test]
fn a_refused_commit_gives_its_connection_back_once() {
    let mut hand = Hand::among(1);
    let (client, host) = inside(&mut hand);
    hand.says(client, "QUERY a3 COMMIT");
    assert_eq!(hand.hears(host), ["QUERY a3 COMMIT"]);
    hand.says(host, "FAULT FAILED i-1\nIDLE I 1.1");
    assert_eq!(hand.hears(client), ["FAULT FAILED i-1", "IDLE I -"]);
    let (second, third) = (hand.client(), hand.client());
    hand.says(second, "QUERY b1 WRITE t1 y");
    hand.says(third, "QUERY c1 WRITE t1 z");
    assert_eq!(hand.hears(host), ["QUERY b1 WRITE t1 y"]);
    let other = hand.host_opens();
    assert_ne!(other, host);
    assert_eq!(hand.hears(other), ["QUERY c1 WRITE t1 z"]);
    hand.says(host, "SETTLED 1.bb\nIDLE I 1.2");
    hand.says(other, "SETTLED 1.cc\nIDLE I 1.3");
    assert_eq!(hand.hears(second), ["SETTLED 1.bb", "IDLE I 1.2"]);
    assert_eq!(hand.hears(third), ["SETTLED 1.cc", "IDLE I 1.3"]);
}

/// The commit of a transaction that wrote nothing succeeds also at a host that has lost the lead: its position says nothing
/// of how far the data is. It was once taken for a primary's, and a bounded read asked a host that had been replaced for no
/// more than it had.
#[test]
fn the_commit_of_a_transaction_that_wrote_nothing_is_no_word_of_a_primary() {
    for (statement, proves) in [("READ t1", false), ("WRITE t1 x", true)] {
        let mut hand = Hand::among(1);
        let client = hand.client();
        hand.says(client, "QUERY a1 BEGIN");
        hand.says(client, &format!("QUERY a2 {statement}"));
        let host = hand.host_opens();
        hand.says(host, "SETTLED -\nIDLE T 1.1");
        hand.says(host, "SETTLED 1.aa\nIDLE T 1.1");
        hand.pass(1900);
        hand.says(client, "QUERY a3 COMMIT");
        hand.says(host, "SETTLED 2.aa\nIDLE I 1.5");
        hand.hears(host);
        let reader = hand.client_of("b0");
        hand.says(reader, "QUERY b1 READ t1");
        let asked = hand.hears(host);
        let expected = if proves { "QUERY b1 AFTER 1.5 READ t1" } else { "QUERY - BEGIN" };
        assert_eq!(asked, [expected], "{statement}");
    }
}

/// A read waits for a connection while its route is dropped. It once lost its floor with the route, and ran at a host
/// that had lost the lead.
#[test]
fn a_read_keeps_what_it_must_see_when_its_route_is_dropped_while_it_waits() {
    let mut hand = Hand::among(1);
    let client = hand.client();
    hand.says(client, "QUERY a1 READ t1");
    hand.configures(2, WITHOUT_ROUTES, Vec::new(), 1);
    let host = hand.host_opens();
    assert_eq!(hand.hears(host), ["QUERY - BEGIN"], "it proves that its host leads");

    let mut hand = Hand::among(1);
    let (writer, reader) = (hand.client(), hand.client_of("b0"));
    hand.says(writer, "QUERY a1 WRITE t1 x");
    let host = hand.host_opens();
    assert_eq!(hand.hears(host), ["QUERY a1 WRITE t1 x"]);
    hand.says(reader, "QUERY b1 READ t1");
    hand.configures(2, WITHOUT_ROUTES, Vec::new(), 1);
    hand.says(host, "SETTLED 1.aa\nIDLE I 1.7");
    assert_eq!(hand.hears(host), ["QUERY b1 AFTER 1.7 READ t1"], "it names what its host must have");
}

/// Its primary may hold what the candidate lacks. It is told to yield, and what it reports meanwhile is no promise.
#[test]
fn a_commit_of_a_host_that_is_replaced_is_not_acknowledged() {
    let replaced =
        |fence: u64, services: Vec<Replacement>| Payload::Replacements(Replacements { fence, services });
    let change = Replacement { service: "s0".into(), candidate: "i-2".into(), term: 4 };
    let mut hand = Hand::among(1);
    let client = hand.client();
    hand.says(client, "QUERY a1 WRITE t1 x");
    let host = hand.host_opens();
    hand.control_says(replaced(9, vec![change.clone()]));
    let second = hand.host_opens();
    assert_eq!(hand.hears(second), ["QUERY - YIELD 4"]);
    hand.control_says(replaced(9, vec![change.clone()]));
    assert_eq!(hand.hears(second), Vec::<String>::new(), "once for each change");
    // The word of a holder of the duty that was replaced itself.
    hand.control_says(replaced(8, Vec::new()));
    hand.says(host, "SETTLED 1.aa\nIDLE I 1.2");
    assert_eq!(hand.hears(client), ["FAULT UNKNOWN its host is being replaced", "IDLE I -"]);
    // What control does not say again is over.
    hand.hears(host);
    hand.says(client, "QUERY a2 WRITE t1 x");
    assert_eq!(hand.hears(host), ["QUERY a2 WRITE t1 x"]);
    hand.pass(1000);
    hand.says(client, "QUERY a3 WRITE t1 y");
    hand.says(host, "SETTLED 2.aa\nIDLE I 1.3");
    let answers = hand.hears(client);
    assert!(!answers.iter().any(|line| line.contains("replaced")), "{answers:?}");
}

/// A primary that is to end is replaced, and leads again since nobody else has what it has. The bound runs from its first
/// word that it leaves; it once began again with the lead.
#[test]
fn a_host_that_leaves_is_asked_nothing_after_its_bound_though_it_leads_again() {
    let mut hand = Hand::among(1);
    hand.hosts_say(&host(Phase::Draining, DbRole::Primary, 2), 1000);
    let client = hand.client();
    hand.says(client, "QUERY a1 WRITE t1 x");
    let link = hand.host_opens();
    assert_eq!(hand.hears(link), ["QUERY a1 WRITE t1 x"], "it serves on till another one leads");
    hand.says(link, "SETTLED 1.aa\nIDLE I 1.2");
    assert_eq!(hand.hears(client), ["SETTLED 1.aa", "IDLE I 1.2"]);
    hand.hosts_say(&host(Phase::Draining, DbRole::Replica, 3), 5000);
    hand.hosts_say(&host(Phase::Draining, DbRole::Primary, 4), 1000);
    hand.hears(link);
    hand.says(client, "QUERY a2 WRITE t1 y");
    hand.hosts_say(&host(Phase::Draining, DbRole::Primary, 4), 1000);
    assert_eq!(hand.hears(link), Vec::<String>::new());
    let answer = hand.hears(client);
    assert!(answer[0].starts_with("FAULT") && !answer[0].contains("UNKNOWN"), "{answer:?}");
}

/// A router that starts while a primary leaves does not know since when it does.
#[test]
fn a_host_that_was_never_seen_in_service_is_asked_nothing_while_it_leaves() {
    let mut hand = Hand::among(1);
    let mut leaving = host(Phase::Draining, DbRole::Primary, 1);
    leaving.id = "i-2".into();
    hand.hosts_say(&host(Phase::Gone, DbRole::Primary, 2), 250);
    let dials = hand.dialled.len();
    hand.hosts_say(&leaving, 500);
    let client = hand.client();
    hand.says(client, "QUERY a1 WRITE t1 x");
    hand.hosts_say(&leaving, 1000);
    assert_eq!(hand.dialled.len(), dials);
}

fn relayed(number: u64, host: &str, request: HostRequest) -> Payload {
    let request = request.into();
    Payload::RelayedRequest(RelayedRequest { asked_by: 7, number, host: host.into(), request, term: 4 })
}

/// What control does not reach, routers ask in its place; it hears at once of what cannot be asked.
#[test]
fn a_question_of_control_is_relayed_and_its_answer_brought_back() {
    let mut hand = Hand::among(1);
    hand.control_says(relayed(1, "i-1", HostRequest::Pause));
    let link = hand.host_opens();
    assert_eq!(hand.hears(link), ["QUERY - PAUSE 4"]);
    hand.says(link, "ROW replica 3 3.21 0 12 2 17\nSETTLED -\nIDLE I 3.9");
    let row = HostStatus { primary: false, term: 3, received_term: 3, received_number: 21 };
    let answer = |number, row| Payload::RelayedResponse(RelayedResponse { asked_by: 7, number, row });
    assert_eq!(hand.control_hears(), [answer(1, Some(row))]);
    // On the connection that rests now; its end is an answer as well.
    hand.control_says(relayed(2, "i-1", HostRequest::Observe));
    assert_eq!(hand.hears(link), ["QUERY - OBSERVE"]);
    hand.event(Event::Closed { conn: link, reason: CloseReason::ConnectionLost });
    assert_eq!(hand.control_hears(), [answer(2, None)]);
    hand.control_says(relayed(3, "i-9", HostRequest::Observe));
    assert_eq!(hand.control_hears(), [answer(3, None)], "nobody knows it");
}

/// A host that is to stop receiving and hears so only after control has asked it to go on would never go on.
#[test]
fn a_relayed_question_that_control_waits_for_no_more_is_not_asked() {
    let mut hand = Hand::among(1);
    hand.control_says(relayed(1, "i-1", HostRequest::Pause));
    hand.pass(310);
    let link = hand.host_opens();
    assert_eq!(hand.hears(link), Vec::<String>::new());
}
