//! Replicas that depart before or during a change of primary.

use arrowyard_control::{PromotionRequest, Stage};
use arrowyard_messages::{DbRole, Phase};
use arrowyard_types::TimeDelta;

use crate::fixture::{Fixture, at, host, promoted_host};

/// Guards against a planned change that waits until the old primary has left: a replica departed shortly before,
/// and nobody takes over its log. Without the old primary, the log may hold the only copy of a commit.
#[test]
fn only_an_unplanned_change_waits_for_the_log_of_a_departed_replica() {
    for planned in [true, false] {
        let mut fixture = Fixture::new();
        fixture.registry.merge_report(at(800), host("d", DbRole::Replica, Phase::Draining, 1));
        fixture.leave("d");
        if planned {
            fixture.registry.merge_report(at(900), host("a", DbRole::Primary, Phase::Draining, 2));
            fixture.advance(0);
        } else {
            fixture.fail_primary();
        }
        fixture.row("b", false, 20);
        fixture.row("c", false, 20);
        assert_eq!(matches!(fixture.promotion.stage, Stage::Fencing { .. }), planned);
        let asks = PromotionRequest::Observe { host: "d".into() };
        assert_eq!(fixture.requests.contains(&asks), !planned);
        if !planned {
            fixture.silent("d");
            fixture.advance(7800);
            assert!(matches!(fixture.promotion.stage, Stage::Surveying { .. }), "the log may be taken over");
            fixture.advance(200);
            assert!(
                matches!(fixture.promotion.stage, Stage::Fencing { .. }),
                "nobody has taken it over in 8 s"
            );
        }
    }
}

/// Guards against lost commits (LOST): a replica that leaves without a drain is no member any more, serves on and
/// counts for `sync-replicas`; the other replicas receive nothing for a while, and the primary fails.
#[test]
fn a_replica_that_serves_on_after_its_departure_is_paused_and_its_log_is_awaited() {
    let mut fixture = Fixture::new();
    fixture.registry.merge_report(at(0), host("d", DbRole::Replica, Phase::InService, 1));
    fixture.leave("d");
    fixture.now += 4000;
    fixture.fail_primary();
    fixture.row("b", false, 20);
    fixture.row("c", false, 20);
    assert!(matches!(fixture.promotion.stage, Stage::Surveying { .. }), "the departed one has not responded");
    fixture.row("d", false, 30);
    assert!(fixture.promotion.is_paused("d"));
    for (id, number) in [("b", 20), ("c", 20), ("d", 30)] {
        fixture.paused(id, number);
    }
    assert!(matches!(fixture.promotion.stage, Stage::Surveying { .. }), "the others lack ten commits");
    // It ends; two seconds later a new host has its log.
    fixture.advance(6000);
    fixture.row("b", false, 20);
    fixture.row("c", false, 20);
    fixture.silent("d");
    fixture.join_at_address_of("e", "d");
    fixture.advance(2000);
    fixture.row("e", false, 30);
    for (id, number) in [("b", 20), ("c", 20), ("e", 30)] {
        fixture.paused(id, number);
    }
    assert_eq!(promoted_host(&fixture.advance(40)), Some("e"));
}

/// Guards against lost commits (LOST): a replica leaves between its answer and its pause, and ends before it
/// confirms that it has stopped receiving.
#[test]
fn a_replica_that_leaves_before_its_pause_is_waited_for() {
    let mut fixture = Fixture::new();
    fixture.fail_primary();
    fixture.row("b", false, 20);
    fixture.row("c", false, 20);
    fixture.leave("c");
    fixture.paused("b", 20);
    let repeated = fixture.advance(150);
    assert!(
        repeated.iter().any(|request| matches!(request, PromotionRequest::Pause { host, .. } if host == "c"))
    );
    assert!(matches!(fixture.promotion.stage, Stage::Fencing { .. }));
    fixture.silent("c");
    fixture.row("b", false, 20);
    assert!(matches!(fixture.promotion.stage, Stage::Surveying { .. }), "its log may be taken over");
}

/// Guards against lost commits (LOST): the id of a host that failed long ago is a member at the address of a departed
/// replica, and passes for the host that has taken over its log.
#[test]
fn a_log_is_taken_over_only_by_a_host_that_responds() {
    let mut fixture = Fixture::new();
    fixture.fail_primary();
    fixture.join_at_address_of("dead", "c");
    fixture.silent.insert("dead".into(), at(0));
    fixture.promotion.assume_no_floor("dead");
    fixture.leave("c");
    fixture.silent("dead");
    fixture.row("b", false, 20);
    assert!(matches!(fixture.promotion.stage, Stage::Surveying { .. }));
    fixture.row("dead", false, 20);
    assert!(matches!(fixture.promotion.stage, Stage::Fencing { .. }), "a response proves that it runs");
}

/// Guards against lost commits (LOST): the time in which a log is taken over counts from the end of the host, which
/// follows its departure at once after a drain, and ten seconds later without one.
#[test]
fn a_log_is_awaited_from_the_end_of_a_departed_replica() {
    for (drains, awaited_ms) in [(true, 8_000), (false, 18_000)] {
        let mut fixture = Fixture::new();
        if drains {
            fixture.registry.merge_report(at(0), host("c", DbRole::Replica, Phase::Draining, 2));
        }
        fixture.leave("c");
        let departed_at = fixture.now;
        fixture.now += awaited_ms - 1000;
        fixture.fail_primary();
        fixture.row("b", false, 20);
        fixture.silent("c");
        assert!(matches!(fixture.promotion.stage, Stage::Surveying { .. }), "drains: {drains}");
        fixture.advance(departed_at + awaited_ms - fixture.now);
        assert!(matches!(fixture.promotion.stage, Stage::Fencing { .. }), "drains: {drains}");
    }
}

/// Guards against lost commits (LOST): a replica that drained runs on after its departure, so that its log is taken
/// over later.
#[test]
fn a_response_of_a_departed_replica_shows_that_it_has_not_ended() {
    let mut fixture = Fixture::new();
    fixture.registry.merge_report(at(0), host("c", DbRole::Replica, Phase::Draining, 2));
    fixture.leave("c");
    fixture.now += 7000;
    fixture.fail_primary();
    fixture.row("b", false, 20);
    fixture.row("c", false, 30);
    fixture.paused("b", 20);
    fixture.paused("c", 30);
    fixture.advance(7000);
    fixture.row("b", false, 20);
    fixture.silent("c");
    assert!(matches!(fixture.promotion.stage, Stage::Surveying { .. }));
    fixture.advance(1000);
    assert!(matches!(fixture.promotion.stage, Stage::Fencing { .. }));
}

/// Guards against a service that never gets a primary again (RECOVER): a replica reports its departure and runs on.
#[test]
fn a_departed_replica_that_never_ends_is_not_waited_for_without_end() {
    let mut fixture = Fixture::new();
    fixture.leave("c");
    fixture.fail_primary();
    for _ in 0..60 {
        fixture.row("b", false, 20);
        if fixture
            .registry
            .departed_replicas("s")
            .any(|(_, departure)| at(fixture.now) < departure.at + TimeDelta::from_millis(30_000))
        {
            fixture.row("c", false, 30);
            fixture.paused("c", 30);
        }
        fixture.paused("b", 20);
        fixture.advance(600);
    }
    assert_eq!(promoted_host(&fixture.requests), Some("b"));
}

/// Guards against a replica that stays paused until its end: it departs while the change is in progress, and the
/// primary turns out to be well.
#[test]
fn a_departed_replica_is_told_to_continue_as_well() {
    let mut fixture = Fixture::new();
    fixture.fail_primary();
    fixture.row("b", false, 20);
    fixture.row("c", false, 20);
    fixture.leave("c");
    fixture.row("a", true, 20);
    assert_eq!(fixture.promotion.stage, Stage::Idle);
    let repeated = fixture.advance(1000);
    assert!(
        repeated
            .iter()
            .any(|request| matches!(request, PromotionRequest::Continue { host, .. } if host == "c"))
    );
}
