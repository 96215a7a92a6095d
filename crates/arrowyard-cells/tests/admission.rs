//! Admission across cells: isolation of one cell's resources from the others, and state that survives a new
//! layout.

use arrowyard_cells::admission::{
    AdmissionPermit, Capacity, CellEvent, LayoutError, OpContext, RejectReason,
};
use arrowyard_cells::layout::{
    Cell, ConcurrencyLimitConfig, Layout, Lease, RetryBudgetConfig, RolloutConfig,
};
use arrowyard_cells::retry_budget::RetryBudget;
use arrowyard_cells::rollout::RolloutVerdict;
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

fn new_cells(layout: Layout) -> Cells {
    let terms = MoveSettings {
        clients_mark_retries: true,
        max_op_timeout: TimeDelta::from_millis(500),
        max_clock_skew: TimeDelta::ZERO,
    };
    Cells::new(ms(0), layout, Capacity { ops: 40, bytes: 1000, probes: 8 }, terms)
}

fn admit(
    cells: &mut Cells,
    now: i64,
    tenant: &str,
    again: bool,
    bytes: u64,
) -> Result<AdmissionPermit, (RejectReason, Option<TimeDelta>)> {
    let (address, session, token, group) = (None, None, None, GroupId(1));
    let (need, due) = (Consistency::Any, ms(now + 500));
    let op = OpContext {
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
    match cells.admit(ms(now), &op) {
        AdmissionDecision::Admit { permit, .. } => Ok(permit),
        AdmissionDecision::Busy { reason: why, retry_after: after, .. } => Err((why, after)),
        other => panic!("{other:?}"),
    }
}

#[test]
fn ops_and_bytes_of_a_cell_are_limited_and_returned() {
    let mut cells = new_cells(layout(1));
    let permits: Vec<AdmissionPermit> =
        (0..30).map_while(|_| admit(&mut cells, 0, "ann", false, 1).ok()).collect();
    assert_eq!(permits.len(), 30, "its own 20, and 10 of the other cell that are not guaranteed");
    assert!(
        matches!(admit(&mut cells, 0, "ann", false, 1), Err((RejectReason::OpCapacity, Some(after))) if after > TimeDelta::ZERO)
    );
    assert_eq!(
        admit(&mut cells, 0, "bob", false, 900).map_err(|(why, _)| why),
        Err(RejectReason::ByteCapacity)
    );
    assert!(admit(&mut cells, 0, "bob", false, 1).is_ok());
    permits.into_iter().for_each(|permit| cells.release(ms(1), permit, WriteOutcome::Acked, None));
    let report = cells.report();
    assert_eq!((report[0].ops, report[0].bytes, report[1].ops), (0, 0, 1), "a refused op holds no capacity");
    assert_eq!((report[0].counters.admitted, report[0].counters.busy, report[1].counters.busy), (30, 1, 1));
}

#[test]
fn marked_retries_of_clients_and_retries_of_the_router_count_against_the_budget_of_the_cell() {
    let window = TimeDelta::from_millis(1600);
    let mut cells = new_cells(Layout {
        retry_budget: Some(RetryBudgetConfig { retry_ratio: 0.5, min_retries: 2, window }),
        ..layout(1)
    });
    assert_eq!((cells.remaining_retries(ms(10), A), cells.remaining_retries(ms(10), B)), (Some(2), Some(2)));
    let permit = admit(&mut cells, 10, "ann", true, 1).expect("the budget allows two retries");
    assert_eq!(cells.remaining_retries(ms(10), A), Some(1));
    cells.record_send(ms(10), &permit, false);
    assert_eq!((cells.remaining_retries(ms(10), A), cells.remaining_retries(ms(10), B)), (Some(0), Some(2)));
    assert_eq!(
        admit(&mut cells, 10, "ann", true, 1),
        Err((RejectReason::RetryBudget, Some(TimeDelta::from_millis(100))))
    );
    assert!(admit(&mut cells, 10, "ann", false, 1).is_ok() && admit(&mut cells, 10, "bob", true, 1).is_ok());
    // Each first send earns half a retry, from the next slice on.
    (0..10).for_each(|_| cells.record_send(ms(10), &permit, true));
    assert_eq!(cells.remaining_retries(ms(10), A), Some(3));
    assert_eq!(cells.report()[0].counters.first_sends, 10);
    // After the window the budget is back at its minimum.
    assert_eq!(cells.remaining_retries(ms(5000), A), Some(2));
    assert_eq!(
        new_cells(layout(1)).remaining_retries(ms(10), A),
        None,
        "a cell without a budget reports none"
    );
    let mut budget = RetryBudget::new(RetryBudgetConfig { retry_ratio: 0.0, min_retries: 1, window });
    assert!(budget.try_spend(ms(10)) && !budget.try_spend(ms(10)));
    budget.set_config(RetryBudgetConfig { retry_ratio: 0.0, min_retries: 2, window });
    assert!(budget.try_spend(ms(10)) && !budget.try_spend(ms(10)), "spent retries stay spent");
    budget.set_config(RetryBudgetConfig { retry_ratio: 0.0, min_retries: 2, window: window * 2.0 });
    assert!(budget.try_spend(ms(10)), "another window length resets the budget");
}

#[test]
fn the_concurrency_limit_of_a_cell_follows_its_own_responses() {
    let mut limited = layout(1);
    limited.cells[0].concurrency_limit = Some(ConcurrencyLimitConfig { initial: 4.0, min: 2.0, max: 50.0 });
    let mut cells = new_cells(limited);
    let permits: Vec<AdmissionPermit> =
        (0..4).map(|_| admit(&mut cells, 0, "ann", false, 1).expect("the limit is 4")).collect();
    assert_eq!(
        admit(&mut cells, 0, "ann", false, 1).map_err(|(why, _)| why),
        Err(RejectReason::ConcurrencyLimit)
    );
    assert!(admit(&mut cells, 0, "bob", false, 1).is_ok());
    (0..400).for_each(|_| cells.record_send_end(&permits[0], SendOutcome::Acked, 0.3, false));
    let grown_limit = cells.report()[0].concurrency_limit;
    assert_eq!(grown_limit, Some(8), "grows to twice the ops in flight, since more was never tested");
    (0..400).for_each(|_| cells.record_send_end(&permits[0], SendOutcome::NotExecuted, 0.3, false));
    assert_eq!(
        cells.report()[0].concurrency_limit,
        grown_limit,
        "sends that did not run have no effect on the limit"
    );
    (0..400).for_each(|_| cells.record_send_end(&permits[0], SendOutcome::Failed, 1.0, false));
    assert_eq!(cells.report()[0].concurrency_limit, Some(2));
    // A layout that does not change the cell keeps its limit.
    let mut next = cells.layout().clone();
    (next.epoch, next.cells[0].weight) = (2, 3.0);
    assert_eq!(cells.replace_layout(ms(1), next), Ok(()));
    assert_eq!(cells.report()[0].concurrency_limit, Some(2));
}

#[test]
fn restarted_hosts_get_full_trust_only_after_earlier_cells_are_verified() {
    let rollout = RolloutConfig { order: vec![A, B], error_rate_ratio: 3.0, error_probability: 0.001 };
    let mut cells = new_cells(Layout { rollout: Some(rollout), ..layout(1) });
    let (canary, other) = (admit(&mut cells, 0, "ann", false, 1), admit(&mut cells, 0, "bob", false, 1));
    let (canary, other) = (canary.expect("the cell has capacity"), other.expect("the cell has capacity"));
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
        cells.report()[0].rollout_verdict,
        Some(RolloutVerdict::Open),
        "sends that did not run are no evidence on the rollout"
    );
    (0..4000).for_each(|_| cells.record_send_end(&canary, SendOutcome::Acked, 0.2, true));
    assert_eq!(
        (cells.report()[0].rollout_verdict, cells.restarted_host_trust(B)),
        (Some(RolloutVerdict::Good), 1.0)
    );
    (0..400).for_each(|_| cells.record_send_end(&canary, SendOutcome::Failed, 0.2, true));
    assert_eq!(
        (cells.report()[0].rollout_verdict, cells.restarted_host_trust(B)),
        (Some(RolloutVerdict::Bad), 0.1)
    );
    let verdict: Vec<RolloutVerdict> = cells
        .take_events()
        .iter()
        .filter_map(
            |event| if let CellEvent::RolloutVerdict(verdict) = event { Some(verdict.verdict) } else { None },
        )
        .collect();
    assert_eq!(verdict, [RolloutVerdict::Good, RolloutVerdict::Bad]);
    // A later rollout starts a new trial; a new layout with the same rollout keeps the verdict.
    let next = Layout { epoch: 2, ..cells.layout().clone() };
    assert_eq!((cells.replace_layout(ms(1), next), cells.restarted_host_trust(B)), (Ok(()), 0.1));
    cells.host_restarted(A, ms(60_000), within);
    assert_eq!(cells.report()[0].rollout_verdict, Some(RolloutVerdict::Open));
}

fn layout_with_move(epoch: u64, tenant: &str, step: Step, fence: Option<i64>, groups: bool) -> Layout {
    let move_config = MoveConfig {
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
    Layout { moves: vec![move_config], lease, ..layout(epoch) }
}

#[test]
fn a_layout_may_drop_a_move_before_its_fence_but_not_after() {
    let leased =
        |epoch| Layout { moves: Vec::new(), ..layout_with_move(epoch, "ann", Step::Planned, None, true) };
    let mut planned = new_cells(layout_with_move(1, "ann", Step::Planned, None, true));
    assert_eq!(planned.replace_layout(ms(1), leased(2)), Ok(()));
    assert_eq!(planned.moves().count(), 0);
    let mut fenced = new_cells(layout_with_move(1, "ann", Step::Fenced, Some(100), true));
    fenced.tick(ms(150));
    assert_eq!(fenced.replace_layout(ms(151), leased(2)), Err(LayoutError::MoveMissing("ann".into())));
    assert_eq!(
        fenced.replace_layout(ms(152), layout_with_move(3, "ann", Step::Cancelled, Some(100), true)),
        Ok(())
    );
    assert_eq!(fenced.replace_layout(ms(153), leased(4)), Ok(()));
    // If the data stays in its group, a finished move may be dropped once the tenant's assignment points to
    // the target.
    let mut same_group = new_cells(layout_with_move(1, "ann", Step::Done, Some(100), false));
    same_group.tick(ms(5000));
    assert_eq!(same_group.moves().map(|(_, stage, ..)| stage).collect::<Vec<_>>(), [Stage::Done]);
    assert_eq!(same_group.replace_layout(ms(5001), leased(2)), Ok(()));
    let mut groups = new_cells(layout_with_move(1, "ann", Step::Fenced, Some(100), true));
    groups.tick(ms(150));
    assert_eq!(groups.groups_awaiting_positions().to_vec(), [GroupId(2)]);
    assert_eq!(groups.replace_layout(ms(151), leased(2)), Err(LayoutError::MoveMissing("ann".into())));
}

#[test]
fn a_fence_before_the_end_of_the_previous_lease_is_rejected() {
    let planned = || new_cells(layout_with_move(1, "ann", Step::Planned, None, true));
    let fenced =
        |at| planned().replace_layout(ms(1), layout_with_move(2, "ann", Step::Fenced, Some(at), true));
    assert_eq!((fenced(2009), fenced(2010)), (Err(LayoutError::FenceTooEarly("ann".into())), Ok(())));
    // The lease also covers the move of another tenant while one move is known.
    let mut cells = new_cells(layout_with_move(1, "ann", Step::Planned, Some(2500), true));
    assert_eq!(cells.groups_awaiting_positions().to_vec(), [], "no positions are needed before the fence");
    let two = |epoch, at| {
        let mut two = layout_with_move(epoch, "ann", Step::Planned, Some(2500), true);
        two.moves.push(layout_with_move(epoch, "bob", Step::Planned, Some(at), true).moves.remove(0));
        two
    };
    assert_eq!(cells.replace_layout(ms(1), two(2, 1500)), Err(LayoutError::FenceTooEarly("bob".into())));
    assert_eq!(cells.replace_layout(ms(1), two(3, 2500)), Ok(()));
    assert_eq!(cells.moves().count(), 2);
    // The two moves progress independently.
    cells.tick(ms(2500));
    assert!(cells.moves().all(|(_, stage, ..)| stage == Stage::Drained));
    let mut one = two(4, 2500);
    one.moves[0].step = Step::Cancelled;
    assert_eq!(cells.replace_layout(ms(2501), one), Ok(()));
    let stages: Vec<(String, Stage)> =
        cells.moves().map(|(name, stage, ..)| (name.to_string(), stage)).collect();
    assert_eq!(stages, [("ann".to_string(), Stage::Open), ("bob".to_string(), Stage::Drained)]);
}

#[test]
fn probes_of_one_cell_leave_the_guaranteed_share_of_others() {
    let mut cells = new_cells(layout(1));
    let started = (0..8).filter(|_| cells.try_start_probe(ms(0), A)).count();
    assert_eq!(started, 6, "its own 4, and 2 of the other cell that are not guaranteed");
    assert!(
        cells.try_start_probe(ms(0), B) && cells.try_start_probe(ms(0), B),
        "the guaranteed share was not lent"
    );
    assert!(!cells.try_start_probe(ms(0), B), "the rest is lent and being reclaimed");
    cells.end_probe(A);
    assert!(!cells.try_start_probe(ms(1), A), "released capacity is reserved for its owner");
    assert!(cells.try_start_probe(ms(1), B));
    assert_eq!(cells.report().iter().map(|state| state.probes).collect::<Vec<_>>(), [5, 3]);
}
