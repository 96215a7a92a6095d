//! Tests of the promotion of a new primary.

mod departed;
mod fixture;

use std::collections::BTreeMap;

use arrowyard_control::{PromotionRequest, Reply, RequestKind, Stage};
use arrowyard_messages::{DbRole, Phase};
use arrowyard_protocol::{Observed, Position};
use arrowyard_types::TimeDelta;
use fixture::{Fixture, at, host, promoted_host};

#[test]
fn a_responsive_primary_is_kept() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.suspect(), [PromotionRequest::Observe { host: "a".into() }]);
    fixture.silent("a");
    assert_eq!(fixture.advance(100), [PromotionRequest::Observe { host: "a".into() }]);
    fixture.row("a", true, 9);
    assert_eq!(fixture.promotion.stage, Stage::Idle);
    assert!(fixture.suspect().is_empty(), "within the cooldown");
}

#[test]
fn the_most_advanced_replica_is_promoted_once_all_are_paused() {
    let mut fixture = Fixture::new();
    fixture.fail_primary();
    assert!(promoted_host(&fixture.row("b", false, 20)).is_none(), "the other replica may be ahead");
    let requests = fixture.row("c", false, 10);
    let paused: Vec<PromotionRequest> = ["b", "c"]
        .iter()
        .map(|host| PromotionRequest::Pause { host: host.to_string(), term: 4, attempt: 1 })
        .collect();
    assert_eq!(requests, paused);
    // The other replica has received more in the meantime.
    assert!(promoted_host(&fixture.row("b", false, 20)).is_none());
    assert_eq!(promoted_host(&fixture.row("c", false, 25)), Some("c"));
}

/// A primary that yields was alive, so replicas that joined it may hold acknowledged commits.
#[test]
fn replicas_that_joined_a_yielding_primary_are_surveyed() {
    for joined in [false, true] {
        let mut fixture = Fixture::new();
        fixture.fail_primary();
        ["b", "c", "b"].iter().for_each(|host| _ = fixture.row(host, false, 20));
        let row = Observed { primary: false, term: 3, received: Position { term: 3, number: 20 } };
        let last = Reply::Row { host: "c".into(), kind: RequestKind::Pause(1), row };
        fixture
            .with_hosts(|promotion, now, hosts, requests| promotion.handle_reply(now, last, hosts, requests));
        assert_eq!(
            fixture.promotion.replacement().map(|change| change.term),
            Some(4),
            "announced to routers"
        );
        fixture.with_hosts(|promotion, now, hosts, requests| {
            promotion.handle_reply(now, Reply::Yielded, hosts, requests)
        });
        assert!(fixture.advance(40).is_empty(), "a replica that joined has not sent a heartbeat yet");
        if joined {
            fixture.registry.merge_report(at(fixture.now), host("d", DbRole::Replica, Phase::InService, 1));
        }
        let requests = fixture.advance(500);
        assert_eq!(promoted_host(&requests).is_some(), !joined);
        assert_eq!(matches!(fixture.promotion.stage, Stage::Surveying { planned: false, .. }), joined);
    }
}

/// The old primary yielded, and the duty holder failed before it promoted another host.
#[test]
fn a_service_without_a_primary_gets_one() {
    let mut fixture = Fixture::new();
    fixture.registry.merge_report(at(0), host("a", DbRole::Replica, Phase::InService, 2));
    assert!(
        fixture.advance(100).is_empty() && fixture.advance(2900).is_empty(),
        "a primary may still send a heartbeat"
    );
    assert_eq!(fixture.advance(200).len(), 3, "all hosts are asked");
    ["a", "b", "c", "a", "b"].iter().for_each(|host| _ = fixture.row(host, false, 20));
    assert!(promoted_host(&fixture.row("c", false, 21)).is_some());
}

/// The previous primary itself reports that it no longer is one, so no heartbeat of a primary has to be
/// waited for.
#[test]
fn a_service_whose_primary_was_deposed_gets_one_sooner() {
    let mut fixture = Fixture::new();
    assert!(fixture.advance(100).is_empty());
    fixture.registry.merge_report(at(0), host("a", DbRole::Replica, Phase::InService, 2));
    assert!(fixture.advance(100).is_empty() && fixture.advance(1900).is_empty());
    assert_eq!(fixture.advance(200).len(), 3, "all hosts are asked");
}

#[test]
fn no_promotion_without_the_response_of_a_silent_replica() {
    let mut fixture = Fixture::new();
    fixture.fail_primary();
    fixture.row("b", false, 20);
    for _ in 0..50 {
        fixture.silent("c");
        fixture.advance(200);
    }
    assert!(promoted_host(&fixture.requests).is_none(), "its response is required");
    // Also if it fell silent long before the primary: it may have been the only replica that received.
    fixture.silent = BTreeMap::from([("c".to_string(), at(100)), ("a".to_string(), at(100 + 600_000))]);
    for _ in 0..50 {
        fixture.silent("c");
        fixture.row("b", false, 21);
        fixture.advance(200);
    }
    assert!(promoted_host(&fixture.requests).is_none());
    fixture.row("c", false, 19);
    [("b", 21), ("c", 19)].iter().for_each(|(host, number)| _ = fixture.row(host, false, *number));
    assert_eq!(promoted_host(&fixture.requests), Some("b"));
}

#[test]
fn a_silent_replica_is_skipped_once_another_has_reached_its_floor() {
    for (received, candidate) in [(49, None), (50, Some("b"))] {
        let mut fixture = Fixture::new();
        fixture.silent = BTreeMap::from([("c".to_string(), at(900))]);
        assert_eq!(
            fixture.advance(100),
            [PromotionRequest::Observe { host: "a".into() }],
            "asks for the position of the primary"
        );
        assert!(fixture.advance(10).is_empty(), "one request at a time");
        fixture.row("a", true, 50);
        assert!(fixture.advance(5000).is_empty(), "once per silence");
        fixture.fail_primary();
        fixture.row("b", false, received);
        assert!(
            promoted_host(&fixture.row("b", false, received)).is_none(),
            "it may be back before its next heartbeat"
        );
        fixture.silent("c");
        assert_eq!(promoted_host(&fixture.row("b", false, received)), candidate, "{received} of 50");
    }
}

/// Guards against reuse of a floor after the replica was back during another change.
#[test]
fn a_floor_is_valid_for_one_silence() {
    let mut fixture = Fixture::new();
    let silent = BTreeMap::from([("c".to_string(), at(900))]);
    fixture.silent = silent.clone();
    fixture.advance(100);
    fixture.row("a", true, 50);
    fixture.fail_primary();
    fixture.silent.clear();
    fixture.advance(250);
    fixture.silent = silent;
    fixture.silent("c");
    fixture.row("b", false, 60);
    fixture.silent("c");
    assert!(
        matches!(fixture.promotion.stage, Stage::Surveying { .. }),
        "it may have acknowledged more in between"
    );
}

#[test]
fn a_late_observation_does_not_confirm_a_pause() {
    let mut fixture = Fixture::new();
    fixture.fail_primary();
    fixture.row("b", false, 20);
    fixture.row("c", false, 20);
    assert!(matches!(fixture.promotion.stage, Stage::Fencing { .. }));
    let late = Observed { primary: false, term: 3, received: Position { term: 3, number: 20 } };
    for host in ["b", "c"] {
        let reply = Reply::Row { host: host.into(), kind: RequestKind::Observe, row: late };
        fixture.with_hosts(|promotion, now, hosts, requests| {
            promotion.handle_reply(now, reply, hosts, requests)
        });
    }
    assert!(promoted_host(&fixture.requests).is_none());
}

#[test]
fn paused_replicas_are_told_to_continue_until_they_confirm() {
    let mut fixture = Fixture::after_aborted_change();
    assert_eq!(fixture.promotion.stage, Stage::Idle, "its candidate does not respond");
    let continue_b = PromotionRequest::Continue { host: "b".into(), attempt: 1 };
    assert_eq!(fixture.requests.last(), Some(&continue_b));
    fixture.registry.merge_report(at(900), host("a", DbRole::Primary, Phase::InService, 3));
    fixture.advance(0);
    assert_eq!(fixture.advance(1000), [continue_b], "the request was lost");
    let row = Observed { primary: false, term: 3, received: Position { term: 3, number: 24 } };
    let reply = Reply::Row { host: "b".into(), kind: RequestKind::Continue(1), row };
    fixture.with_hosts(|promotion, now, hosts, requests| promotion.handle_reply(now, reply, hosts, requests));
    assert!(fixture.advance(1000).is_empty() && fixture.advance(9000).is_empty());
}

/// A relayed pause request may arrive after the host has confirmed that it continues.
#[test]
fn a_continue_is_repeated_while_a_pause_may_be_in_transit() {
    let mut fixture = Fixture::after_aborted_change();
    fixture.registry.merge_report(at(900), host("a", DbRole::Primary, Phase::InService, 3));
    let continue_b = PromotionRequest::Continue { host: "b".into(), attempt: 1 };
    let row = Observed { primary: false, term: 3, received: Position { term: 3, number: 24 } };
    let reply = Reply::Row { host: "b".into(), kind: RequestKind::Continue(1), row };
    fixture.advance(500);
    fixture.with_hosts(|promotion, now, hosts, requests| {
        promotion.handle_reply(now, reply.clone(), hosts, requests)
    });
    assert_eq!(
        fixture.advance(1000),
        [continue_b],
        "its confirmation came within a second of the pause request"
    );
    fixture.with_hosts(|promotion, now, hosts, requests| promotion.handle_reply(now, reply, hosts, requests));
    assert!(fixture.advance(1000).is_empty() && fixture.advance(9000).is_empty());
}

#[test]
fn a_draining_primary_serves_until_the_candidate_has_caught_up() {
    let mut fixture = Fixture::new();
    fixture.registry.merge_report(at(900), host("a", DbRole::Primary, Phase::Draining, 2));
    fixture.advance(0);
    assert!(matches!(fixture.promotion.stage, Stage::Surveying { planned: true, .. }));
    fixture.row("b", false, 20);
    let requests = fixture.row("c", false, 22);
    assert_eq!(
        requests,
        [PromotionRequest::Pause { host: "b".into(), term: 4, attempt: 1 }],
        "the candidate keeps receiving"
    );
    let requests = fixture.row("b", false, 24);
    assert_eq!(requests, [PromotionRequest::Observe { host: "a".into() }]);
    assert_eq!(fixture.row("a", true, 26), [PromotionRequest::Observe { host: "c".into() }]);
    assert!(promoted_host(&fixture.row("c", false, 23)).is_none(), "it lacks an acknowledged commit");
    fixture.advance(50);
    assert!(promoted_host(&fixture.row("c", false, 24)).is_none(), "it lacks what only the old primary has");
    fixture.advance(50);
    assert_eq!(promoted_host(&fixture.row("c", false, 26)), Some("c"));
}

/// Guards against lost commits in a planned change: routers have to check commits at the candidate from
/// before its position is compared until the change has taken effect, also where the platform did not answer.
#[test]
fn a_planned_change_is_announced_until_it_has_taken_effect() {
    let mut fixture = Fixture::new();
    fixture.registry.merge_report(at(900), host("a", DbRole::Primary, Phase::Draining, 2));
    fixture.advance(0);
    let announced =
        |fixture: &Fixture| fixture.promotion.planned_replacement().map(|change| change.candidate);
    fixture.row("b", false, 20);
    fixture.row("c", false, 22);
    assert_eq!(announced(&fixture), None, "the other replica is not paused yet");
    fixture.row("b", false, 20);
    assert_eq!(announced(&fixture).as_deref(), Some("c"), "before the old primary is asked");
    fixture.row("a", true, 26);
    assert_eq!(promoted_host(&fixture.row("c", false, 26)), Some("c"));
    for _ in 0..7 {
        fixture.status(0);
        fixture.advance(2000);
    }
    assert!(matches!(fixture.promotion.stage, Stage::Surveying { planned: false, .. }));
    assert_eq!(announced(&fixture).as_deref(), Some("c"), "the platform may still promote it");
    fixture.row("c", true, 30);
    assert_eq!((fixture.promotion.stage.clone(), announced(&fixture)), (Stage::Idle, None));
}

/// Guards against lost commits in a planned change: a router that has not heard of it acknowledges commits that the
/// candidate lacks, until after the position of the old primary was read (LOST).
#[test]
fn a_planned_change_compares_positions_only_once_all_routers_are_informed() {
    let mut fixture = Fixture::new();
    fixture.registry.merge_report(at(900), host("a", DbRole::Primary, Phase::Draining, 2));
    fixture.advance(0);
    fixture.row("b", false, 20);
    fixture.promotion.set_routers_informed(false);
    fixture.row("c", false, 20);
    fixture.row("b", false, 20);
    for _ in 0..3 {
        fixture.row("a", true, 20);
        assert!(promoted_host(&fixture.row("c", false, 20)).is_none(), "not all routers check commits");
        fixture.advance(20);
    }
    fixture.promotion.set_routers_informed(true);
    let requests = fixture.row("a", true, 20);
    assert_eq!(requests, [PromotionRequest::Observe { host: "a".into() }], "that row may be older");
    fixture.row("a", true, 24);
    assert!(promoted_host(&fixture.row("c", false, 23)).is_none());
    assert_eq!(promoted_host(&fixture.row("c", false, 24)), Some("c"));
}

/// A candidate that receives nothing has as much as the other replicas, but lacks what only the old
/// primary has.
#[test]
fn a_draining_primary_is_not_replaced_by_a_replica_that_receives_nothing() {
    for silent in [false, true] {
        let mut fixture = Fixture::new();
        fixture.registry.merge_report(at(900), host("a", DbRole::Primary, Phase::Draining, 2));
        fixture.advance(0);
        ["b", "c", "b"].iter().for_each(|host| _ = fixture.row(host, false, 20));
        assert!(promoted_host(&fixture.row("c", false, 20)).is_none(), "the old primary has not responded");
        if silent {
            fixture.silent("a");
        } else {
            fixture.row("a", true, 21);
            for _ in 0..20 {
                fixture.row("c", false, 20);
                fixture.advance(80);
            }
        }
        assert!(promoted_host(&fixture.requests).is_none());
        assert!(
            fixture.requests.contains(&PromotionRequest::Continue { host: "b".into(), attempt: 1 }),
            "it does not stay paused"
        );
    }
}

/// Guards against a service that never gets a primary again (RECOVER): a replica that fails less than 3 s before
/// its primary is released is not silent yet, and has no floor.
#[test]
fn a_planned_change_does_not_wait_for_a_replica_that_does_not_respond() {
    let mut fixture = Fixture::new();
    fixture.registry.merge_report(at(900), host("a", DbRole::Primary, Phase::Draining, 2));
    fixture.advance(0);
    fixture.row("c", false, 22);
    assert!(matches!(fixture.promotion.stage, Stage::Surveying { planned: true, .. }), "`b` may respond");
    assert_eq!(fixture.silent("b"), [PromotionRequest::Observe { host: "a".into() }]);
    fixture.row("a", true, 26);
    assert!(promoted_host(&fixture.row("c", false, 25)).is_none(), "it lacks what only the old primary has");
    assert_eq!(promoted_host(&fixture.row("c", false, 26)), Some("c"));
}

/// Guards against a service that never gets a primary again (RECOVER): a replica fails after it responded to
/// the survey, so that it never confirms its pause.
#[test]
fn a_planned_change_does_not_wait_for_the_pause_of_a_replica_that_fails() {
    let mut fixture = Fixture::new();
    fixture.registry.merge_report(at(900), host("a", DbRole::Primary, Phase::Draining, 2));
    fixture.advance(0);
    fixture.row("b", false, 20);
    fixture.row("c", false, 22);
    assert!(matches!(fixture.promotion.stage, Stage::Fencing { .. }));
    assert_eq!(fixture.silent("b"), [PromotionRequest::Observe { host: "a".into() }]);
    assert!(fixture.promotion.is_paused("b"), "it may have received the request");
}

/// Guards against lost commits (LOST): a host that does not respond may be primary already, by the decision of
/// an earlier duty holder, and the leaving host then lacks what it acknowledges.
#[test]
fn a_planned_change_ends_if_the_leaving_host_leads_no_more() {
    let mut fixture = Fixture::new();
    fixture.registry.merge_report(at(900), host("a", DbRole::Primary, Phase::Draining, 2));
    fixture.advance(0);
    fixture.row("c", false, 22);
    fixture.silent("b");
    fixture.row("a", false, 22);
    assert_eq!(fixture.promotion.stage, Stage::Idle);
}

/// Guards against a replica that stays paused: the reply to an earlier request to continue does not prove that
/// the replica continues after a later pause.
#[test]
fn a_reply_to_an_earlier_continue_request_does_not_end_a_later_pause() {
    let mut fixture = Fixture::after_aborted_change();
    fixture.advance(500);
    fixture.row("b", false, 20);
    fixture.row("c", false, 22);
    let reply_of_b = |fixture: &mut Fixture, kind: RequestKind| {
        let row = Observed { primary: false, term: 3, received: Position { term: 3, number: 20 } };
        let reply = Reply::Row { host: "b".into(), kind, row };
        fixture.with_hosts(|promotion, now, hosts, requests| {
            promotion.handle_reply(now, reply, hosts, requests)
        });
    };
    reply_of_b(&mut fixture, RequestKind::Pause(2));
    fixture.silent("c");
    assert_eq!((fixture.promotion.stage.clone(), fixture.promotion.attempt()), (Stage::Idle, 2));
    fixture.now += 2000;
    reply_of_b(&mut fixture, RequestKind::Continue(1));
    assert!(fixture.promotion.is_paused("b"), "it was paused again after that request");
    reply_of_b(&mut fixture, RequestKind::Continue(2));
    assert!(!fixture.promotion.is_paused("b"));
}

#[test]
fn another_primary_ends_a_planned_change_but_the_draining_one_does_not() {
    let mut fixture = Fixture::new();
    fixture.registry.merge_report(at(900), host("a", DbRole::Primary, Phase::Draining, 2));
    fixture.advance(0);
    fixture.row("a", true, 30);
    assert!(
        matches!(fixture.promotion.stage, Stage::Surveying { planned: true, .. }),
        "a response to an earlier request"
    );
    fixture.row("b", true, 20);
    assert_eq!(fixture.promotion.stage, Stage::Idle, "it is primary already, and its heartbeat is late");
}

#[test]
fn an_unanswered_platform_call_is_repeated_for_the_same_host() {
    let mut fixture = Fixture::new();
    fixture.fail_primary();
    for host in ["b", "c", "b", "c"] {
        fixture.row(host, false, 20);
    }
    assert!(promoted_host(&fixture.requests).is_some());
    let candidate = promoted_host(&fixture.requests).map(str::to_string);
    fixture.status(0);
    let again = fixture.advance(2000);
    assert_eq!(promoted_host(&again).map(str::to_string), candidate);
    fixture.status(503);
    assert_eq!(promoted_host(&fixture.advance(2000)).map(str::to_string), candidate);
    // A refusal means that the assumed state is wrong: all hosts are surveyed again.
    fixture.status(409);
    assert!(matches!(fixture.promotion.stage, Stage::Surveying { .. }));
}

#[test]
fn a_change_ends_once_the_candidate_reports_to_be_primary() {
    let mut fixture = Fixture::new();
    fixture.fail_primary();
    for host in ["b", "c", "b", "c"] {
        fixture.row(host, false, 20);
    }
    let candidate = promoted_host(&fixture.requests).expect("a candidate").to_string();
    fixture.status(200);
    fixture.advance(300);
    assert!(matches!(fixture.promotion.stage, Stage::Confirming { .. }));
    fixture.registry.merge_report(at(fixture.now), host(&candidate, DbRole::Primary, Phase::InService, 7));
    fixture.advance(300);
    assert_eq!(fixture.promotion.stage, Stage::Idle);
    assert!(fixture.advance(TimeDelta::from_millis(60_000).micros() / 1000).is_empty());
}
