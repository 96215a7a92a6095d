//! Questions to silent hosts that routers relay.

use arrowyard_control::{PromotionRequest, RelayOutcome, Relays, Reply, RowKind};
use arrowyard_messages::{HostStatus, RelayedRequest, RelayedResponse};
use arrowyard_protocol::{Observed, Position};
use arrowyard_types::Timestamp;

const LIFE: u64 = 1000;
const ME: u32 = 7;

fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

fn pause(attempt: u64) -> PromotionRequest {
    PromotionRequest::Pause { host: "c".into(), term: 4, attempt }
}

fn begin(relays: &mut Relays, ask: &PromotionRequest) -> RelayedRequest {
    relays.begin(at(0), ME, "s", ask, 3).expect("a question to a host")
}

fn answer(question: &RelayedRequest, row: Option<HostStatus>) -> RelayedResponse {
    RelayedResponse { asked_by: ME, number: question.number, row }
}

fn row() -> Option<HostStatus> {
    Some(HostStatus { primary: false, term: 3, received_term: 3, received_number: 21 })
}

#[test]
fn one_router_that_reaches_the_host_is_enough() {
    let mut relays = Relays::new(LIFE);
    let question = begin(&mut relays, &pause(5));
    assert!(relays.direct_failed("c"), "routers are waited for");
    assert_eq!(relays.answered(&answer(&question, None)), RelayOutcome::Waiting);
    let received = Position { term: 3, number: 21 };
    let reply = Reply::Row {
        host: "c".into(),
        kind: RowKind::Pause(5),
        row: Observed { primary: false, term: 3, received },
    };
    let answered = RelayOutcome::Answered { service: "s".into(), reply };
    assert_eq!(relays.answered(&answer(&question, row())), answered);
    assert_eq!(relays.answered(&answer(&question, row())), RelayOutcome::Waiting, "it counts once");
    assert!(relays.due().is_none());
}

#[test]
fn a_host_is_unreachable_once_neither_control_nor_any_router_got_an_answer() {
    let unreachable = RelayOutcome::Unreachable { service: "s".into(), host: "c".into() };
    let mut relays = Relays::new(LIFE);
    let question = begin(&mut relays, &pause(5));
    relays.direct_failed("c");
    for _ in 0..2 {
        assert_eq!(relays.answered(&answer(&question, None)), RelayOutcome::Waiting);
    }
    assert_eq!(relays.answered(&answer(&question, None)), unreachable);
    // A router that says nothing holds nobody up for good.
    begin(&mut relays, &pause(6));
    relays.direct_failed("c");
    assert!(relays.expire(at(299)).is_empty());
    assert_eq!(relays.expire(at(300)), [unreachable]);
    // Where the host's own answer may still come, that is waited for.
    begin(&mut relays, &pause(7));
    assert_eq!(relays.expire(at(300)), [RelayOutcome::Waiting]);
    assert!(!relays.direct_failed("c"), "no router is waited for any more");
}

#[test]
fn an_answer_to_an_earlier_question_counts_for_no_later_one() {
    let mut relays = Relays::new(LIFE);
    let first = begin(&mut relays, &pause(5));
    let second = begin(&mut relays, &pause(6));
    assert!(relays.is_relaying("c", &pause(6)) && !relays.is_relaying("c", &pause(5)));
    assert_eq!(relays.answered(&answer(&first, row())), RelayOutcome::Waiting);
    assert!(matches!(relays.answered(&answer(&second, row())), RelayOutcome::Answered { .. }));
    // Nor does one that was meant for an earlier life of the machine.
    let mut next_life = Relays::new(LIFE * 31);
    begin(&mut next_life, &pause(1));
    assert_eq!(next_life.answered(&answer(&second, row())), RelayOutcome::Waiting);
}
