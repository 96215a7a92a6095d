//! Tests of requests to silent hosts that are relayed by routers.

use arrowyard_control::{PromotionRequest, RelayOutcome, Relays, Reply, RequestKind};
use arrowyard_messages::{HostStatus, RelayedRequest, RelayedResponse};
use arrowyard_protocol::{Observed, Position};
use arrowyard_types::Timestamp;

const INCARNATION: u64 = 1000;
const LOCAL_IP: u32 = 7;

fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

fn pause(attempt: u64) -> PromotionRequest {
    PromotionRequest::Pause { host: "c".into(), term: 4, attempt }
}

fn begin(relays: &mut Relays, request: &PromotionRequest) -> RelayedRequest {
    relays.begin(at(0), LOCAL_IP, "s", request, 3).expect("a request to a host")
}

fn response(request: &RelayedRequest, row: Option<HostStatus>) -> RelayedResponse {
    RelayedResponse { asked_by: LOCAL_IP, number: request.number, row }
}

fn row() -> Option<HostStatus> {
    Some(HostStatus { primary: false, term: 3, received_term: 3, received_number: 21 })
}

#[test]
fn a_response_through_one_router_is_enough() {
    let mut relays = Relays::new(INCARNATION);
    let request = begin(&mut relays, &pause(5));
    assert!(relays.direct_failed("c"), "relays are outstanding");
    assert_eq!(relays.answered(&response(&request, None)), RelayOutcome::Waiting);
    let received = Position { term: 3, number: 21 };
    let reply = Reply::Row {
        host: "c".into(),
        kind: RequestKind::Pause(5),
        row: Observed { primary: false, term: 3, received },
    };
    let outcome = RelayOutcome::Answered { service: "s".into(), reply };
    assert_eq!(relays.answered(&response(&request, row())), outcome);
    assert_eq!(relays.answered(&response(&request, row())), RelayOutcome::Waiting, "a duplicate is ignored");
    assert!(relays.due().is_none());
}

#[test]
fn a_host_is_unreachable_once_the_direct_request_and_all_relays_failed() {
    let unreachable = RelayOutcome::Unreachable { service: "s".into(), host: "c".into() };
    let mut relays = Relays::new(INCARNATION);
    let request = begin(&mut relays, &pause(5));
    relays.direct_failed("c");
    for _ in 0..2 {
        assert_eq!(relays.answered(&response(&request, None)), RelayOutcome::Waiting);
    }
    assert_eq!(relays.answered(&response(&request, None)), unreachable);
    // A relay without a response expires.
    begin(&mut relays, &pause(6));
    relays.direct_failed("c");
    assert!(relays.expire(at(299)).is_empty());
    assert_eq!(relays.expire(at(300)), [unreachable]);
    // The direct response may still arrive.
    begin(&mut relays, &pause(7));
    assert_eq!(relays.expire(at(300)), [RelayOutcome::Waiting]);
    assert!(!relays.direct_failed("c"), "no relay is outstanding");
}

#[test]
fn a_response_to_an_earlier_request_is_ignored() {
    let mut relays = Relays::new(INCARNATION);
    let first = begin(&mut relays, &pause(5));
    let second = begin(&mut relays, &pause(6));
    assert!(relays.is_relaying("c", &pause(6)) && !relays.is_relaying("c", &pause(5)));
    assert_eq!(relays.answered(&response(&first, row())), RelayOutcome::Waiting);
    assert!(matches!(relays.answered(&response(&second, row())), RelayOutcome::Answered { .. }));
    // Nor does a response to an earlier incarnation of the machine.
    let mut restarted = Relays::new(INCARNATION * 31);
    begin(&mut restarted, &pause(1));
    assert_eq!(restarted.answered(&response(&second, row())), RelayOutcome::Waiting);
}
