//! The desk that puts the parts of cells together: what one cell uses up is its own, and what a new layout keeps.

use arrowyard_cells::admission::{
    AdmissionPermit, Capacity, CellEvent, LayoutError, OpContext, RejectReason,
};
use arrowyard_cells::layout::{
    Cell, ConcurrencyLimitConfig, Layout, Lease, RetryBudgetConfig, RolloutConfig,
};
use arrowyard_cells::retry_budget::RetryBudget;
use arrowyard_cells::rollout::ReleaseVerdict;
use arrowyard_cells::tenant_move::{MoveConfig, MoveSettings, Stage, Step, WriteOutcome};
use arrowyard_cells::{AdmissionDecision, Cells, SendOutcome};
use arrowyard_types::{CellId, Consistency, GroupId, TimeDelta, Timestamp};

const A: CellId = CellId(0);
const B: CellId = CellId(1);

fn ms(millis: i64) -> Timestamp {
    Timestamp::from_micros(millis * 1000)
}

fn layout(epoch: u64) -> Layout {
    let cell = |name: &str| Cell {
        name: name.into(),
        weight: 1.0,
        groups: Vec::new(),
        hosts: Vec::new(),
        guaranteed_fraction: 0.5,
        accepts_hashed_tenants: true,
        concurrency_limit: None,
        removed: false,
    };
    let (nets, moves) = Default::default();
    Layout {
        epoch,
        cells: vec![cell("a"), cell("b")],
        tenants: [("ann".into(), A), ("bob".into(), B)].into_iter().collect(),
        networks: nets,
        cells_per_hashed_tenant: None,
        reclaim_period: TimeDelta::from_millis(100),
        retry_budget: None,
        rollout: None,
        lease: None,
        moves,
    }
}

fn desk(layout: Layout) -> Cells {
    let terms = MoveSettings {
        clients_mark_retries: true,
        max_op_timeout: TimeDelta::from_millis(500),
        max_clock_skew: TimeDelta::ZERO,
    };
    Cells::new(ms(0), layout, Capacity { ops: 40, bytes: 1000, probes: 8 }, terms)
}

fn ask(
    cells: &mut Cells,
    now: i64,
    tenant: &str,
    again: bool,
    bytes: u64,
) -> Result<AdmissionPermit, (RejectReason, Option<TimeDelta>)> {
    let (address, session, token, group) = (None, None, None, GroupId(1));
    let (need, due) = (Consistency::Any, ms(now + 500));
    let facts = OpContext {
        tenant: Some(tenant),
        address,
        group,
        bytes,
        consistency: need,
        session,
        token,
        is_retry: again,
        deadline: due,
    };
    match cells.admit(ms(now), &facts) {
        AdmissionDecision::Admit { permit: pass, .. } => Ok(pass),
        AdmissionDecision::Busy { reason: why, retry_after: after, .. } => Err((why, after)),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_cell_has_its_ops_and_bytes_and_gets_them_back() {
    let mut cells = desk(layout(1));
    let passes: Vec<AdmissionPermit> =
        (0..30).map_while(|_| ask(&mut cells, 0, "ann", false, 1).ok()).collect();
    assert_eq!(passes.len(), 30, "its 20, and the 10 of the other's that are not guaranteed");
    assert!(
        matches!(ask(&mut cells, 0, "ann", false, 1), Err((RejectReason::OpCapacity, Some(after))) if after > TimeDelta::ZERO)
    );
    assert_eq!(
        ask(&mut cells, 0, "bob", false, 900).map_err(|(why, _)| why),
        Err(RejectReason::ByteCapacity)
    );
    assert!(ask(&mut cells, 0, "bob", false, 1).is_ok());
    passes.into_iter().for_each(|pass| cells.release(ms(1), pass, WriteOutcome::Acked, None));
    let report = cells.report();
    assert_eq!(
        (report[0].ops, report[0].bytes, report[1].ops),
        (0, 0, 1),
        "nothing of what was refused is held"
    );
    assert_eq!((report[0].counters.admitted, report[0].counters.busy, report[1].counters.busy), (30, 1, 1));
}

#[test]
fn repeats_are_counted_by_cell_from_clients_and_from_further_sends() {
    let window = TimeDelta::from_millis(1600);
    let mut cells = desk(Layout {
        retry_budget: Some(RetryBudgetConfig { retry_ratio: 0.5, min_retries: 2, window }),
        ..layout(1)
    });
    assert_eq!((cells.remaining_retries(ms(10), A), cells.remaining_retries(ms(10), B)), (Some(2), Some(2)));
    let pass = ask(&mut cells, 10, "ann", true, 1).expect("one of two");
    assert_eq!(cells.remaining_retries(ms(10), A), Some(1));
    cells.record_send(ms(10), &pass, false);
    assert_eq!((cells.remaining_retries(ms(10), A), cells.remaining_retries(ms(10), B)), (Some(0), Some(2)));
    assert_eq!(
        ask(&mut cells, 10, "ann", true, 1),
        Err((RejectReason::RetryBudget, Some(TimeDelta::from_millis(100))))
    );
    assert!(ask(&mut cells, 10, "ann", false, 1).is_ok() && ask(&mut cells, 10, "bob", true, 1).is_ok());
    // First sends earn repeats, from the next slice on at half a repeat each.
    (0..10).for_each(|_| cells.record_send(ms(10), &pass, true));
    assert_eq!(cells.remaining_retries(ms(10), A), Some(3));
    assert_eq!(cells.report()[0].counters.first_sends, 10);
    // Behind the window all is as at the start.
    assert_eq!(cells.remaining_retries(ms(5000), A), Some(2));
    assert_eq!(desk(layout(1)).remaining_retries(ms(10), A), None, "no budget is told where there is none");
    let mut budget = RetryBudget::new(RetryBudgetConfig { retry_ratio: 0.0, min_retries: 1, window });
    assert!(budget.try_spend(ms(10)) && !budget.try_spend(ms(10)));
    budget.set_config(RetryBudgetConfig { retry_ratio: 0.0, min_retries: 2, window });
    assert!(budget.try_spend(ms(10)) && !budget.try_spend(ms(10)), "what was spent stays spent");
    budget.set_config(RetryBudgetConfig { retry_ratio: 0.0, min_retries: 2, window: window * 2.0 });
    assert!(budget.try_spend(ms(10)), "another window begins anew");
}

#[test]
fn a_cells_limit_follows_its_own_answers() {
    let mut paced = layout(1);
    paced.cells[0].concurrency_limit = Some(ConcurrencyLimitConfig { initial: 4.0, min: 2.0, max: 50.0 });
    let mut cells = desk(paced);
    let passes: Vec<AdmissionPermit> =
        (0..4).map(|_| ask(&mut cells, 0, "ann", false, 1).expect("the limit is 4")).collect();
    assert_eq!(
        ask(&mut cells, 0, "ann", false, 1).map_err(|(why, _)| why),
        Err(RejectReason::ConcurrencyLimit)
    );
    assert!(ask(&mut cells, 0, "bob", false, 1).is_ok());
    (0..400).for_each(|_| cells.record_send_end(&passes[0], SendOutcome::Acked, 0.3, false));
    let grown = cells.report()[0].concurrency_limit;
    assert_eq!(grown, Some(8), "up to twice what is in hand: more was never tried");
    (0..400).for_each(|_| cells.record_send_end(&passes[0], SendOutcome::NotExecuted, 0.3, false));
    assert_eq!(cells.report()[0].concurrency_limit, grown, "what never ran says nothing");
    (0..400).for_each(|_| cells.record_send_end(&passes[0], SendOutcome::Failed, 1.0, false));
    assert_eq!(cells.report()[0].concurrency_limit, Some(2));
    // A layout that changes nothing of the cell keeps its limit.
    let mut next = cells.layout().clone();
    (next.epoch, next.cells[0].weight) = (2, 3.0);
    assert_eq!(cells.replace_layout(ms(1), next), Ok(()));
    assert_eq!(cells.report()[0].concurrency_limit, Some(2));
}

#[test]
fn the_trust_of_new_hosts_waits_for_the_cells_before() {
    let release = RolloutConfig { order: vec![A, B], error_rate_ratio: 3.0, error_probability: 0.001 };
    let mut cells = desk(Layout { rollout: Some(release), ..layout(1) });
    let (canary, other) = (ask(&mut cells, 0, "ann", false, 1), ask(&mut cells, 0, "bob", false, 1));
    let (canary, other) = (canary.expect("there is room"), other.expect("there is room"));
    let within = TimeDelta::from_millis(1000);
    cells.host_restarted(A, ms(0), within);
    assert_eq!((cells.restarted_host_trust(A), cells.restarted_host_trust(B)), (1.0, 0.1));
    assert!(
        matches!(cells.take_events()[..], [CellEvent::RolloutBlocked(B, held)] if held.blocked_by == A && !held.failed)
    );
    for n in 0..3000 {
        cells.record_send_end(
            &other,
            if n % 50 == 0 { SendOutcome::Failed } else { SendOutcome::Acked },
            0.2,
            false,
        );
        cells.record_send_end(&canary, SendOutcome::NotExecuted, 0.2, true);
    }
    assert_eq!(
        cells.report()[0].release_verdict,
        Some(ReleaseVerdict::Open),
        "what never ran says nothing of the release"
    );
    (0..4000).for_each(|_| cells.record_send_end(&canary, SendOutcome::Acked, 0.2, true));
    assert_eq!(
        (cells.report()[0].release_verdict, cells.restarted_host_trust(B)),
        (Some(ReleaseVerdict::Good), 1.0)
    );
    (0..400).for_each(|_| cells.record_send_end(&canary, SendOutcome::Failed, 0.2, true));
    assert_eq!(
        (cells.report()[0].release_verdict, cells.restarted_host_trust(B)),
        (Some(ReleaseVerdict::Bad), 0.1)
    );
    let judged: Vec<ReleaseVerdict> = cells
        .take_events()
        .iter()
        .filter_map(
            |news| if let CellEvent::ReleaseVerdict(verdict) = news { Some(verdict.verdict) } else { None },
        )
        .collect();
    assert_eq!(judged, [ReleaseVerdict::Good, ReleaseVerdict::Bad]);
    // The next release begins anew; the same terms in a new layout keep the verdict.
    let next = Layout { epoch: 2, ..cells.layout().clone() };
    assert_eq!((cells.replace_layout(ms(1), next), cells.restarted_host_trust(B)), (Ok(()), 0.1));
    cells.host_restarted(A, ms(60_000), within);
    assert_eq!(cells.report()[0].release_verdict, Some(ReleaseVerdict::Open));
}

fn moving(epoch: u64, tenant: &str, step: Step, fence: Option<i64>, groups: bool) -> Layout {
    let row = MoveConfig {
        tenant: tenant.into(),
        from: A,
        to: B,
        groups: groups.then_some((GroupId(1), GroupId(2))),
        client_group: groups.then_some(GroupId(1)),
        step,
        fence_at: fence.map(ms),
        switch_at: fence.map(|at| ms(at + 600)),
        copied_through: None,
        target_floor: None,
        target_host: None,
        token_retention: TimeDelta::from_millis(1000),
    };
    let lease = Some(Lease { expires_at: ms(2000), max_clock_skew: TimeDelta::from_millis(10) });
    Layout { moves: vec![row], lease, ..layout(epoch) }
}

#[test]
fn a_move_may_be_left_out_before_it_fences_and_not_after() {
    let leased = |epoch| Layout { moves: Vec::new(), ..moving(epoch, "ann", Step::Planned, None, true) };
    let mut planned = desk(moving(1, "ann", Step::Planned, None, true));
    assert_eq!(planned.replace_layout(ms(1), leased(2)), Ok(()));
    assert_eq!(planned.moves().count(), 0);
    let mut fenced = desk(moving(1, "ann", Step::Fenced, Some(100), true));
    fenced.tick(ms(150));
    assert_eq!(fenced.replace_layout(ms(151), leased(2)), Err(LayoutError::MoveMissing("ann".into())));
    assert_eq!(fenced.replace_layout(ms(152), moving(3, "ann", Step::Cancelled, Some(100), true)), Ok(()));
    assert_eq!(fenced.replace_layout(ms(153), leased(4)), Ok(()));
    // Where the group stays, the move is over with the tenant's row in its new place.
    let mut same = desk(moving(1, "ann", Step::Done, Some(100), false));
    same.tick(ms(5000));
    assert_eq!(same.moves().map(|(_, stage, ..)| stage).collect::<Vec<_>>(), [Stage::Done]);
    assert_eq!(same.replace_layout(ms(5001), leased(2)), Ok(()));
    let mut groups = desk(moving(1, "ann", Step::Fenced, Some(100), true));
    groups.tick(ms(150));
    assert_eq!(groups.groups_awaiting_positions().to_vec(), [GroupId(2)]);
    assert_eq!(groups.replace_layout(ms(151), leased(2)), Err(LayoutError::MoveMissing("ann".into())));
}

#[test]
fn a_fence_comes_after_the_last_lease_that_was_given_without_it() {
    let planned = || desk(moving(1, "ann", Step::Planned, None, true));
    let fenced = |at| planned().replace_layout(ms(1), moving(2, "ann", Step::Fenced, Some(at), true));
    assert_eq!((fenced(2009), fenced(2010)), (Err(LayoutError::FenceTooEarly("ann".into())), Ok(())));
    // Of another tenant, too, though one move is known.
    let mut known = desk(moving(1, "ann", Step::Planned, Some(2500), true));
    assert_eq!(known.groups_awaiting_positions().to_vec(), [], "nothing is waited for before the fence");
    let two = |epoch, at| {
        let mut two = moving(epoch, "ann", Step::Planned, Some(2500), true);
        two.moves.push(moving(epoch, "bob", Step::Planned, Some(at), true).moves.remove(0));
        two
    };
    assert_eq!(known.replace_layout(ms(1), two(2, 1500)), Err(LayoutError::FenceTooEarly("bob".into())));
    assert_eq!(known.replace_layout(ms(1), two(3, 2500)), Ok(()));
    assert_eq!(known.moves().count(), 2);
    // The two go on by themselves.
    known.tick(ms(2500));
    assert!(known.moves().all(|(_, stage, ..)| stage == Stage::Drained));
    let mut one = two(4, 2500);
    one.moves[0].step = Step::Cancelled;
    assert_eq!(known.replace_layout(ms(2501), one), Ok(()));
    let stages: Vec<(String, Stage)> =
        known.moves().map(|(name, stage, ..)| (name.to_string(), stage)).collect();
    assert_eq!(stages, [("ann".to_string(), Stage::Open), ("bob".to_string(), Stage::Drained)]);
}

#[test]
fn a_cells_probes_leave_the_others_theirs() {
    let mut cells = desk(layout(1));
    let begun = (0..8).filter(|_| cells.try_start_probe(ms(0), A)).count();
    assert_eq!(begun, 6, "its 4, and the 2 of the other's that are not guaranteed");
    assert!(
        cells.try_start_probe(ms(0), B) && cells.try_start_probe(ms(0), B),
        "what is guaranteed was never lent"
    );
    assert!(!cells.try_start_probe(ms(0), B), "the rest is lent, and called back");
    cells.end_probe(A);
    assert!(!cells.try_start_probe(ms(1), A), "it comes back to its owner");
    assert!(cells.try_start_probe(ms(1), B));
    assert_eq!(cells.report().iter().map(|state| state.probes).collect::<Vec<_>>(), [5, 3]);
}
