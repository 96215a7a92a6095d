//! Scheduling order, budgets and delays of tasks; lists applied in slices against lists applied at once.

use std::collections::BTreeMap;

use arrowyard_background_tasks::{
    Budget, ListSlice, ListSlicer, Priority, Scheduler, TaskConfig, TurnOutcome,
};
use arrowyard_types::{TimeDelta, Timestamp};
use proptest::prelude::*;

fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

fn ms(millis: i64) -> TimeDelta {
    TimeDelta::from_millis(millis)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Task {
    List,
    Maintenance,
    Idle,
}

fn test_scheduler(budget: Budget) -> Scheduler<Task> {
    let mut scheduler = Scheduler::new(at(0), budget, 1);
    scheduler.add(at(0), Task::Idle, TaskConfig::on_demand("idle", Priority::Idle, ms(500)));
    scheduler.add(at(0), Task::Maintenance, TaskConfig::on_demand("maintenance", Priority::Normal, ms(300)));
    scheduler.add(at(0), Task::List, TaskConfig::on_demand("list", Priority::Urgent, ms(50)));
    scheduler
}

#[test]
fn priorities_order_tasks_and_idle_ones_yield_until_their_maximum_delay() {
    let mut scheduler = test_scheduler(Budget::default());
    [Task::Idle, Task::Maintenance, Task::List].into_iter().for_each(|task| scheduler.request(at(0), task));
    for expected in [Task::List, Task::Maintenance] {
        assert_eq!(scheduler.begin_next(at(1), true), Some(expected));
        scheduler.finish(at(1), expected, ms(0), TurnOutcome::Done);
    }
    assert_eq!(scheduler.begin_next(at(2), true), None, "operations wait");
    assert!(scheduler.next_at() > Some(at(2)), "the next attempt is delayed");
    assert_eq!(scheduler.begin_next(at(499), true), None);
    assert_eq!(scheduler.begin_next(at(510), true), Some(Task::Idle), "beyond its maximum delay");
    scheduler.finish(at(510), Task::Idle, ms(1), TurnOutcome::Done);
    scheduler.request(at(511), Task::Idle);
    assert_eq!(scheduler.begin_next(at(511), false), Some(Task::Idle), "no operation waits");
}

#[test]
fn the_thread_budget_refills_and_does_not_limit_urgent_tasks() {
    let mut scheduler =
        test_scheduler(Budget { thread_share: 0.1, thread_burst: ms(10), ..Budget::default() });
    scheduler.request(at(0), Task::Maintenance);
    assert_eq!(scheduler.begin_next(at(0), false), Some(Task::Maintenance));
    // Ten times the capacity: the debt is limited.
    scheduler.finish(at(0), Task::Maintenance, ms(100), TurnOutcome::More);
    assert_eq!(scheduler.begin_next(at(20), false), None);
    scheduler.request(at(20), Task::List);
    assert_eq!(scheduler.begin_next(at(20), true), Some(Task::List));
    scheduler.finish(at(20), Task::List, ms(0), TurnOutcome::Done);
    assert_eq!(scheduler.begin_next(at(95), false), None);
    assert_eq!(
        scheduler.begin_next(at(105), false),
        Some(Task::Maintenance),
        "a debt of 10 ms is refilled in 100 ms"
    );
}

#[test]
fn failures_back_off_exponentially_regardless_of_requests() {
    let mut scheduler = test_scheduler(Budget::default());
    let (mut now, mut backoffs) = (0, Vec::new());
    scheduler.request(at(0), Task::Maintenance);
    for _ in 0..12 {
        let failed_at = now;
        let task = loop {
            scheduler.request(at(now), Task::Maintenance);
            if let Some(task) = scheduler.begin_next(at(now), false) {
                break task;
            }
            now += 1;
        };
        backoffs.push(now - failed_at);
        scheduler.finish(at(now), task, ms(0), TurnOutcome::Failed);
    }
    assert!(backoffs[1..].iter().all(|&backoff| backoff >= 50), "{backoffs:?}");
    assert!(backoffs[8..].iter().sum::<i64>() > backoffs[1..5].iter().sum::<i64>() * 3, "{backoffs:?}");
    assert!(backoffs.iter().all(|&backoff| backoff <= 30_100), "{backoffs:?}");
    assert_eq!(scheduler.stats().map(|(_, stats)| stats.failed_turns).sum::<u64>(), 12);
}

#[test]
fn a_request_while_running_causes_another_turn() {
    let mut scheduler = test_scheduler(Budget::default());
    scheduler.request(at(0), Task::Maintenance);
    assert_eq!(scheduler.begin_next(at(0), false), Some(Task::Maintenance));
    assert_eq!(scheduler.begin_next(at(1), false), None, "a running task is not started again");
    scheduler.request(at(1), Task::Maintenance);
    scheduler.finish(at(2), Task::Maintenance, ms(0), TurnOutcome::Done);
    assert_eq!(scheduler.begin_next(at(2), false), Some(Task::Maintenance));
    scheduler.finish(at(3), Task::Maintenance, ms(0), TurnOutcome::Done);
    assert_eq!(scheduler.begin_next(at(4), false), None);
}

#[test]
fn periodic_tasks_of_different_processes_are_not_synchronized() {
    let due_times: Vec<Timestamp> = (0..50)
        .filter_map(|seed| {
            let mut scheduler = Scheduler::new(at(0), Budget::default(), seed);
            scheduler.add(at(0), 0, TaskConfig::periodic("tick", Priority::Normal, ms(1000)));
            scheduler.next_at()
        })
        .collect();
    let neighbor_counts = due_times
        .iter()
        .map(|&due_at| due_times.iter().filter(|&&other| (other - due_at).micros().abs() < 50_000).count());
    assert!(neighbor_counts.max() < Some(15), "{due_times:?}");
}

proptest! {
    /// Whatever the load and the cost of turns, a task is delayed by at most its maximum delay plus one turn
    /// of each other task.
    #[test]
    fn no_task_starves(
        steps in proptest::collection::vec((0_usize..3, any::<bool>(), 0_i64..40, 0_u8..3), 30..200),
    ) {
        let mut scheduler = test_scheduler(Budget { thread_share: 0.01, thread_burst: ms(5), ..Budget::default() });
        let (mut now, mut due_since) = (0_i64, BTreeMap::new());
        let max_delays = BTreeMap::from([(Task::List, 50), (Task::Maintenance, 300), (Task::Idle, 500)]);
        for (task_index, has_waiting_ops, cost, outcome_index) in steps {
            let requested = [Task::List, Task::Maintenance, Task::Idle][task_index];
            due_since.entry(requested).or_insert(now);
            scheduler.request(at(now), requested);
            if let Some(task) = scheduler.begin_next(at(now), has_waiting_ops) {
                let since = due_since.remove(&task);
                prop_assert!(since.is_some(), "{task:?} was not due");
                let outcome =
                    [TurnOutcome::Done, TurnOutcome::More, TurnOutcome::Done][usize::from(outcome_index)];
                now += cost;
                scheduler.finish(at(now), task, ms(cost), outcome);
                if outcome == TurnOutcome::More {
                    due_since.insert(task, now);
                }
            } else {
                now += 1;
            }
            // Three tasks with turns of at most 40 ms: the most overdue one waits for one turn of each
            // other.
            for (task, since) in &due_since {
                prop_assert!(now - since <= max_delays[task] + 3 * 41, "{task:?} since {since}, now {now}");
            }
        }
    }

    /// Lists applied in slices leave the same hosts as lists applied at once, and between slices each host is
    /// in the state of one of the lists.
    #[test]
    fn slices_produce_the_same_hosts_as_unsliced_lists(
        lists in proptest::collection::vec(
            (any::<bool>(), proptest::collection::btree_map(0_u8..30, 0_u8..3, 0..30)), 1..6),
        slice_size in 1_usize..9,
        slice_counts in proptest::collection::vec(0_usize..12, 6),
    ) {
        let mut slicer = ListSlicer::new(slice_size);
        let (mut expected, mut sliced) = (BTreeMap::new(), BTreeMap::<u8, (u8, u64)>::new());
        let mut possible_states: BTreeMap<u8, Vec<Option<u8>>> = BTreeMap::new();
        let apply_slice = |slicer: &mut ListSlicer<(u8, u8)>, sliced: &mut BTreeMap<u8, (u8, u64)>| {
            match slicer.next_slice() {
                Some(ListSlice::Entries(entries)) => {
                    assert!(entries.len() <= slice_size || entries.iter().any(|(_, rank)| *rank == 0));
                    let generation = slicer.generation();
                    sliced.extend(entries.into_iter().map(|(host, rank)| (host, (rank, generation))));
                }
                Some(ListSlice::RemoveUnlisted(generation)) => {
                    sliced.retain(|_, (_, host_generation)| *host_generation >= generation)
                },
                Some(ListSlice::Complete(_)) => {}
                None => return false,
            }
            true
        };
        for (version, ((is_full, entries), slice_count)) in lists.into_iter().zip(slice_counts).enumerate() {
            if is_full {
                expected.clear();
            }
            expected.extend(entries.clone());
            for host in 0..30 {
                possible_states.entry(host).or_insert_with(|| vec![None]).push(expected.get(&host).copied());
            }
            slicer.push(version as i64, is_full, entries.into_iter().collect(), |&(_, rank)| rank, |&(host, _)| host);
            for _ in 0..slice_count {
                apply_slice(&mut slicer, &mut sliced);
                for host in 0..30 {
                    let state = sliced.get(&host).map(|(rank, _)| *rank);
                    prop_assert!(possible_states[&host].contains(&state), "{host} is {state:?}");
                }
            }
        }
        while apply_slice(&mut slicer, &mut sliced) {}
        let sliced: BTreeMap<u8, u8> = sliced.into_iter().map(|(host, (rank, _))| (host, rank)).collect();
        prop_assert_eq!(sliced, expected);
    }
}

#[test]
fn entries_that_close_hosts_precede_earlier_lists() {
    let mut slicer = ListSlicer::new(2);
    let push = |slicer: &mut ListSlicer<(char, u8)>, version, is_full, entries: &[(char, u8)]| {
        slicer.push(version, is_full, entries.to_vec(), |&(_, rank)| rank, |&(host, _)| host);
    };
    push(&mut slicer, 7, true, &[('a', 3), ('b', 1), ('c', 0), ('d', 3), ('e', 3)]);
    assert_eq!(slicer.next_slice(), Some(ListSlice::Entries(vec![('c', 0)])));
    assert_eq!(slicer.next_slice(), Some(ListSlice::Entries(vec![('b', 1), ('a', 3)])));
    // d starts to drain while an older list that reports it as ready is pending.
    push(&mut slicer, 8, false, &[('e', 3), ('d', 0)]);
    assert_eq!(
        slicer.next_slice(),
        Some(ListSlice::Entries(vec![('d', 3), ('d', 0)])),
        "preceded by its pending entry"
    );
    assert_eq!(slicer.next_slice(), Some(ListSlice::Entries(vec![('e', 3)])));
    assert_eq!(slicer.next_slice(), Some(ListSlice::RemoveUnlisted(1)));
    assert_eq!(slicer.next_slice(), Some(ListSlice::Complete(7)));
    assert!(!slicer.is_empty() && slicer.needs_slicing(1));
    assert_eq!(slicer.next_slice(), Some(ListSlice::Entries(vec![('e', 3)])));
    assert_eq!(slicer.next_slice(), Some(ListSlice::Complete(8)));
    assert!(slicer.is_empty() && !slicer.needs_slicing(2) && slicer.needs_slicing(3));
}
