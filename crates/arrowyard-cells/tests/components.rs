//! Components of the cells package, checked against simple models that share no code with it.

use std::collections::VecDeque;
use std::net::IpAddr;

use arrowyard_cells::assignment::{
    CellAssignment, NoCellReason, reassigned_tenants, sampled_sharing_odds, sharing_odds, stable_hash,
};
use arrowyard_cells::bulkhead::{AcquireError, Bulkhead};
use arrowyard_cells::concurrency_limit::ConcurrencyLimit;
use arrowyard_cells::fair_queue::FairQueue;
use arrowyard_cells::index::CellIndex;
use arrowyard_cells::layout::{
    Cell, ConcurrencyLimitConfig, Layout, NetworkRule, RetryBudgetConfig, RolloutConfig,
};
use arrowyard_cells::retry_budget::RetryBudget;
use arrowyard_cells::rollout::{Rollout, RolloutVerdict};
use arrowyard_types::{CellId, GroupId, TimeDelta, Timestamp};
use proptest::prelude::*;

fn ms(millis: i64) -> Timestamp {
    Timestamp::from_micros(millis * 1000)
}

fn cell(name: &str, weight: f64) -> Cell {
    let (groups, hosts) = (Vec::new(), Vec::new());
    Cell {
        name: name.into(),
        weight,
        groups,
        hosts,
        guaranteed_fraction: 0.5,
        accepts_hashed_tenants: true,
        concurrency_limit: None,
        removed: false,
    }
}

fn layout(cells: Vec<Cell>, rest: Option<usize>) -> Layout {
    let (tenants, nets, moves) = Default::default();
    let call_back = TimeDelta::from_millis(100);
    Layout {
        epoch: 1,
        cells,
        tenants,
        networks: nets,
        cells_per_hashed_tenant: rest,
        reclaim_period: call_back,
        retry_budget: None,
        rollout: None,
        lease: None,
        moves,
    }
}

fn equal_cells(count: usize) -> Vec<Cell> {
    (0..count).map(|n| cell(&format!("c{n}"), 1.0)).collect()
}

#[test]
fn adding_a_cell_or_weight_moves_tenants_only_to_that_cell() {
    let names: Vec<String> = (0..4000).map(|n| format!("tenant-{n}")).collect();
    let old = layout(equal_cells(4), Some(1));
    let mut heavier = old.clone();
    heavier.cells[2].weight = 2.0;
    for (new, to, share) in [(layout(equal_cells(5), Some(1)), "c4", 0.2), (heavier, "c2", 0.15)] {
        let reassigned = reassigned_tenants(&old, &new, names.iter().map(String::as_str));
        assert!(reassigned.iter().all(|tenant| *tenant.to[0] == *to), "tenants move only to that cell");
        let part = reassigned.len() as f64 / names.len() as f64;
        assert!((part - share).abs() < 0.03, "{part}");
    }
    assert_eq!(reassigned_tenants(&old, &old, names.iter().map(String::as_str)), []);
}

#[test]
fn assignment_follows_weights_and_sharing_odds_match_sampling() {
    let mut uneven = layout(equal_cells(4), Some(1));
    uneven.cells[0].weight = 3.0;
    let assignment = CellAssignment::new(&uneven);
    let hits = (0..6000).filter(|&n| assignment.cells_by_hash(n * 7919, 1)[0] == CellId(0)).count();
    assert!((hits as f64 / 6000.0 - 0.5).abs() < 0.03, "{hits}");
    let eight = layout(equal_cells(8), Some(2));
    let (expected, sampled) = (sharing_odds(8, 2), sampled_sharing_odds(&eight, 40_000, 1));
    assert!(
        (expected.share_all - 1.0 / 28.0).abs() < 1e-12 && (expected.share_any - 13.0 / 28.0).abs() < 1e-12
    );
    assert!(
        (expected.share_all - sampled.share_all).abs() < 0.005
            && (expected.share_any - sampled.share_any).abs() < 0.01,
        "{sampled:?}"
    );
}

#[test]
fn explicit_assignment_precedes_hashing_and_address_precedes_group() {
    let mut configured = layout(equal_cells(3), None);
    configured.tenants.insert("acme".into(), CellId(1));
    configured.cells[2].groups = vec![GroupId(7)];
    let net = |within: &[&str], without: &[&str], cell| {
        let all = |texts: &[&str]| texts.iter().map(|text| text.parse().expect("a valid prefix")).collect();
        NetworkRule { included: all(within), excluded: all(without), cell: CellId(cell) }
    };
    configured.networks = vec![
        net(&["10.0.0.0/8"], &[], 0),
        net(&["10.1.0.0/16"], &[], 1),
        net(&["10.1.2.0/24", "fd00::/8", "192.168.0.0/16"], &["192.168.4.0/24"], 2),
    ];
    let mut assignment = CellAssignment::new(&configured);
    let mut of = |tenant: Option<&str>, address: &str, group| {
        let address = address.parse::<IpAddr>().ok();
        assignment.cells_for(tenant, address, GroupId(group)).map(|cells| cells[0].0)
    };
    assert_eq!(of(Some("acme"), "10.2.3.4", 7), Ok(1));
    assert_eq!(of(Some("other"), "10.2.3.4", 7), Err(NoCellReason::TenantNotAssigned));
    assert_eq!(
        [of(None, "10.2.3.4", 0), of(None, "10.1.3.4", 0), of(None, "10.1.2.4", 0)],
        [Ok(0), Ok(1), Ok(2)]
    );
    assert_eq!([of(None, "::ffff:10.1.3.4", 0), of(None, "fd00::1", 0)], [Ok(1), Ok(2)]);
    assert_eq!(of(None, "192.168.4.1", 0), Err(NoCellReason::NoTenantOrMatch));
    assert_eq!([of(None, "192.168.4.1", 7), of(None, "", 7)], [Ok(2), Ok(2)]);
}

#[test]
fn cells_keep_their_ids_in_a_new_layout() {
    let old = layout(equal_cells(3), Some(1));
    let mut new = layout(vec![cell("x", 1.0), cell("c2", 1.0), cell("c0", 1.0)], Some(1));
    new.tenants.insert("t".into(), CellId(0));
    let aligned = new.clone().aligned(&old, |_| true);
    assert_eq!((aligned.cell_named("c0"), aligned.cell_named("c2")), (Some(CellId(0)), Some(CellId(2))));
    assert_eq!((aligned.cell_named("x"), aligned.cell_named("c1")), (Some(CellId(3)), None));
    assert!(aligned.cells[1].removed && aligned.tenants["t"] == CellId(3));
    // An id is reused once nothing is held by it.
    let again = layout(vec![cell("c0", 1.0), cell("c2", 1.0), cell("x", 1.0), cell("y", 1.0)], None);
    assert_eq!(again.clone().aligned(&aligned, |_| true).cell_named("y"), Some(CellId(1)));
    assert_eq!(again.aligned(&aligned, |id| id != CellId(1)).cell_named("y"), Some(CellId(4)));
}

#[test]
fn lent_capacity_returns_to_its_owner_and_the_guaranteed_share_is_never_lent() {
    let mut bulkhead = Bulkhead::new(100, [(1.0, 0.5), (1.0, 0.5)].into_iter(), TimeDelta::from_millis(100));
    let (first_cell, second_cell, mut now) = (CellId(0), CellId(1), ms(0));
    let acquired = (0..200).filter(|_| bulkhead.try_acquire(now, first_cell, 1).is_ok()).count();
    assert_eq!(acquired, 75, "its own 50, and the part of the other cell's 50 that is not guaranteed");
    for _ in 0..25 {
        assert_eq!(bulkhead.try_acquire(now, second_cell, 1), Ok(()));
    }
    assert_eq!(bulkhead.try_acquire(now, second_cell, 1), Err(AcquireError::Lent));
    // Released units go to the owner, not to the borrower.
    bulkhead.release(first_cell, 1);
    now = now + TimeDelta::from_millis(50);
    assert_eq!(
        (bulkhead.try_acquire(now, first_cell, 1), bulkhead.try_acquire(now, second_cell, 1)),
        (Err(AcquireError::Exhausted), Ok(()))
    );
    // After the reclaim period idle capacity is lent again.
    bulkhead.release(second_cell, 20);
    now = now + TimeDelta::from_millis(200);
    assert_eq!(bulkhead.try_acquire(now, first_cell, 1), Ok(()));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_201),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Model: the amounts held by each cell, as a list.
    #[test]
    fn a_bulkhead_never_exceeds_its_total_and_guaranteed_shares_stay_available(
        weights in prop::collection::vec((1_u8..10, 0_u8..=10), 1..5),
        steps in prop::collection::vec((0_usize..5, 0_u64..40, any::<bool>()), 0..120),
    ) {
        const TOTAL: u64 = 97;
        let parts = || weights.iter().map(|&(weight, kept)| (f64::from(weight), f64::from(kept) / 10.0));
        let mut bulkhead = Bulkhead::new(TOTAL, parts(), TimeDelta::from_millis(10));
        let mut held: Vec<Vec<u64>> = vec![Vec::new(); weights.len()];
        let shares: Vec<(u64, u64)> = (0..weights.len()).map(|id| bulkhead.share(CellId(id as u32))).collect();
        for (step, (id, more, takes)) in (0..).zip(steps) {
            let id = id % weights.len();
            let cell = CellId(id as u32);
            let sum: u64 = held[id].iter().sum();
            if !takes {
                if let Some(less) = held[id].pop() {
                    bulkhead.release(cell, less);
                }
            } else if bulkhead.try_acquire(ms(step), cell, more).is_ok() {
                held[id].push(more);
            } else {
                prop_assert!(sum + more > shares[id].1, "a guaranteed unit was refused");
            }
            let sums: Vec<u64> = held.iter().map(|held| held.iter().sum()).collect();
            prop_assert!(sums.iter().sum::<u64>() <= TOTAL);
            let reserved: u64 = sums.iter().zip(&shares).map(|(sum, (_, kept))| *sum.max(kept)).sum();
            prop_assert!(reserved <= TOTAL);
            for (id, sum) in sums.iter().enumerate() {
                prop_assert_eq!(bulkhead.used(CellId(id as u32)), *sum);
            }
        }
    }

    /// Model: the time of every attempt. Retries stay within the bounds over any window.
    #[test]
    fn retries_stay_within_the_ratio_over_any_window(
        steps in prop::collection::vec((0_i64..90, prop::bool::weighted(0.5)), 1..400),
    ) {
        let config = RetryBudgetConfig { retry_ratio: 0.25, min_retries: 3, window: TimeDelta::from_millis(1600) };
        let (mut budget, mut now) = (RetryBudget::new(config), 1_000_000);
        let (mut first, mut repeated): (Vec<i64>, Vec<i64>) = Default::default();
        for (wait, repeats) in steps {
            now += wait;
            if !repeats {
                budget.record_first_send(ms(now));
                first.push(now);
            } else if budget.try_spend(ms(now)) {
                repeated.push(now);
                let within = |all: &[i64]| all.iter().filter(|&&at| at > now - 1600).count() as f64;
                let bound = (within(&first) * 0.25).max(3.0);
                prop_assert!(within(&repeated) <= bound, "{} of {}", within(&repeated), within(&first));
            }
        }
    }

    /// The next item of a cell waits for at most its weighted part of the others' items.
    #[test]
    fn dequeuing_is_fair_by_weight_and_keeps_the_order_within_a_cell(
        weights in prop::collection::vec(1_u32..5, 2..5),
        flood in 1_usize..200,
        late in 1_usize..20,
    ) {
        let mut queue = FairQueue::new(weights.iter().map(|&weight| f64::from(weight)));
        let mut reference: Vec<VecDeque<usize>> = vec![VecDeque::new(); weights.len()];
        let mut put = |queue: &mut FairQueue<(usize, usize)>, cell: usize, n: usize| {
            queue.push(CellId(cell as u32), (cell, n));
            reference[cell].push_back(n);
        };
        (0..flood).for_each(|n| put(&mut queue, 0, n));
        for _ in 0..flood / 2 {
            queue.pop();
        }
        (0..late).for_each(|n| put(&mut queue, 1, n));
        reference[0].drain(..flood / 2);
        let (mut others, mut served) = (0.0, 0.0);
        while let Some((cell, n)) = queue.pop() {
            prop_assert_eq!(reference[cell].pop_front(), Some(n));
            if cell == 1 {
                served += 1.0;
            } else if served < late as f64 {
                others += 1.0;
                let due = served * f64::from(weights[0]) / f64::from(weights[1]);
                prop_assert!(others <= due + f64::from(weights[0]) / f64::from(weights[1]) + 2.0);
            }
        }
        prop_assert!(queue.is_empty() && reference.iter().all(VecDeque::is_empty));
    }
}

#[test]
fn the_limit_shrinks_as_latency_rises_and_grows_when_it_is_normal() {
    let mut limit = ConcurrencyLimit::new(ConcurrencyLimitConfig { initial: 20.0, min: 4.0, max: 200.0 });
    let mut drive = |used: f64, rounds: usize| {
        (0..rounds).for_each(|_| limit.record_response(used, limit.limit()));
        limit.limit()
    };
    let calm = drive(0.2, 2000);
    assert!(calm > 60, "{calm}");
    let congested = drive(1.5, 300);
    assert!(congested < calm / 2, "{congested} after {calm}");
    let after = drive(0.2, 2000);
    assert!(after > congested * 2, "{after} after {congested}");
    let mut idle = ConcurrencyLimit::new(ConcurrencyLimitConfig { initial: 20.0, min: 4.0, max: 200.0 });
    (0..2000).for_each(|_| idle.record_response(0.2, 1));
    assert_eq!(idle.limit(), 20, "an unused limit does not grow");
    (0..20_000).for_each(|_| idle.record_failure());
    assert_eq!(idle.limit(), 4);
}

#[test]
fn a_bad_canary_blocks_the_next_cell_and_a_good_one_unblocks_it() {
    let [canary, next] = [CellId(3), CellId(1)];
    let config = RolloutConfig { order: vec![canary, next], error_rate_ratio: 3.0, error_probability: 0.001 };
    for (every, wanted) in [(8, RolloutVerdict::Bad), (10_000, RolloutVerdict::Good)] {
        let mut rollout = Rollout::new(config.clone());
        // The baseline is one error in 50 from hosts that did not restart; then outcomes of the canary
        // follow.
        assert!((0..4000).all(|n| rollout.record_outcome(None, n % 50 == 0).is_none()));
        assert!(rollout.check_rollout(canary).is_ok() && rollout.check_rollout(next).is_err());
        rollout.host_restarted(canary, ms(0), TimeDelta::from_millis(1000));
        let verdict = (1..4000).find_map(|n| rollout.record_outcome(Some(canary), n % every == 0));
        assert_eq!(verdict.map(|verdict| verdict.verdict), Some(wanted));
        assert_eq!(rollout.check_rollout(next).is_ok(), wanted == RolloutVerdict::Good);
        // A rollout that degrades after a good verdict still fails.
        let late = (1..4000).find_map(|n| rollout.record_outcome(Some(canary), n % 4 == 0));
        assert_eq!(late.is_some(), wanted == RolloutVerdict::Good);
        assert_eq!(rollout.check_rollout(next).map_err(|held| held.failed), Err(true));
        // The next rollout gets its own trial.
        rollout.host_restarted(canary, ms(60_000), TimeDelta::from_millis(1000));
        assert_eq!(rollout.verdict(canary), RolloutVerdict::Open);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The index agrees with a scan of all cells.
    #[test]
    fn the_index_finds_the_cells_of_groups_and_hosts(
        rows in prop::collection::vec(
            (prop::collection::vec(0_i64..4, 0..3), prop::collection::vec("[ab]{0,2}\\*?", 0..3), any::<bool>()),
            1..6,
        ),
        group in 0_i64..5,
        host in "[ab]{1,3}",
    ) {
        let cells = rows.iter().enumerate().map(|(n, (groups, hosts, gone))| Cell {
            groups: groups.iter().copied().map(GroupId).collect(),
            hosts: hosts.iter().map(|host| host.as_str().into()).collect(),
            removed: *gone,
            ..cell(&format!("c{n}"), 1.0)
        });
        let index = CellIndex::new(&layout(cells.collect(), None));
        let there = || rows.iter().enumerate().filter(|(_, (.., gone))| !gone);
        let listed = there().any(|(_, (groups, ..))| groups.contains(&group));
        let names = |hosts: &[String]| hosts.iter().any(|pattern| match pattern.split_once('*') {
            Some((start, _)) => host.starts_with(start),
            None => *pattern == host,
        });
        let named = there().any(|(_, (_, hosts, _))| names(hosts));
        let wanted: Vec<(u32, bool)> = there()
            .filter(|(_, (groups, ..))| if listed { groups.contains(&group) } else { groups.is_empty() })
            .map(|(n, (_, hosts, _))| (n as u32, if named { !names(hosts) } else { !hosts.is_empty() }))
            .collect();
        let mut found: Vec<(u32, bool)> = index.cells_for_host(GroupId(group), &host).map(|(id, guest)| (id.0, guest)).collect();
        found.dedup();
        prop_assert_eq!(&found, &wanted);
        for id in 0..rows.len() as u32 {
            prop_assert_eq!(index.serves(CellId(id), GroupId(group)), wanted.iter().any(|(n, _)| *n == id));
        }
    }
}

#[test]
fn assignment_is_stable_across_versions() {
    // A change of the hash would move every tenant without an explicit assignment. The expected values are
    // fixed.
    assert_eq!(stable_hash("acme"), 1372038925648144367);
    let mut uneven = layout(equal_cells(7), Some(3));
    uneven.cells[2].weight = 2.5;
    let mut assignment = CellAssignment::new(&uneven);
    let cells: Vec<Vec<u32>> = ["acme", "ikeja", "", "tenant-17"]
        .iter()
        .map(|name| {
            let cells =
                assignment.cells_for(Some(name), None, GroupId(0)).expect("tenants are hashed to cells");
            cells.iter().map(|id| id.0).collect()
        })
        .collect();
    assert_eq!(cells, [[1, 5, 2], [2, 1, 5], [5, 1, 6], [0, 5, 2]]);
}
