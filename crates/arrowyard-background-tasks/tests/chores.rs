//! What is done next and at whose expense, beside a plain model; lists in slices beside lists at once.

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
    Upkeep,
    Idle,
}

fn scheduler(budget: Budget) -> Scheduler<Task> {
    let mut chores = Scheduler::new(at(0), budget, 1);
    chores.add(at(0), Task::Idle, TaskConfig::on_demand("idle", Priority::Idle, ms(500)));
    chores.add(at(0), Task::Upkeep, TaskConfig::on_demand("upkeep", Priority::Normal, ms(300)));
    chores.add(at(0), Task::List, TaskConfig::on_demand("list", Priority::Urgent, ms(50)));
    chores
}

#[test]
fn ranks_go_first_and_idle_work_gives_way_to_ops_till_it_is_late() {
    let mut chores = scheduler(Budget::default());
    [Task::Idle, Task::Upkeep, Task::List].into_iter().for_each(|chore| chores.request(at(0), chore));
    for wanted in [Task::List, Task::Upkeep] {
        assert_eq!(chores.begin_next(at(1), true), Some(wanted));
        chores.finish(at(1), wanted, ms(0), TurnOutcome::Done);
    }
    assert_eq!(chores.begin_next(at(2), true), None, "ops wait");
    assert!(chores.next_at() > Some(at(2)), "and it is not asked for all the time");
    assert_eq!(chores.begin_next(at(499), true), None);
    assert_eq!(chores.begin_next(at(510), true), Some(Task::Idle), "it is late");
    chores.finish(at(510), Task::Idle, ms(1), TurnOutcome::Done);
    chores.request(at(511), Task::Idle);
    assert_eq!(chores.begin_next(at(511), false), Some(Task::Idle), "nobody waits");
}

#[test]
fn what_was_spent_comes_back_with_time_and_lists_wait_for_no_budget() {
    let mut chores = scheduler(Budget { thread_share: 0.1, thread_burst: ms(10), ..Budget::default() });
    chores.request(at(0), Task::Upkeep);
    assert_eq!(chores.begin_next(at(0), false), Some(Task::Upkeep));
    // Ten times what may be saved up: the debt is bounded.
    chores.finish(at(0), Task::Upkeep, ms(100), TurnOutcome::More);
    assert_eq!(chores.begin_next(at(20), false), None);
    chores.request(at(20), Task::List);
    assert_eq!(chores.begin_next(at(20), true), Some(Task::List));
    chores.finish(at(20), Task::List, ms(0), TurnOutcome::Done);
    assert_eq!(chores.begin_next(at(95), false), None);
    assert_eq!(chores.begin_next(at(105), false), Some(Task::Upkeep), "a tenth of 100 ms is the debt");
}

#[test]
fn what_fails_rests_longer_each_time_and_being_asked_for_does_not_shorten_it() {
    let mut chores = scheduler(Budget::default());
    let (mut now, mut rests) = (0, Vec::new());
    chores.request(at(0), Task::Upkeep);
    for _ in 0..12 {
        let began = now;
        let chore = loop {
            chores.request(at(now), Task::Upkeep);
            if let Some(chore) = chores.begin_next(at(now), false) {
                break chore;
            }
            now += 1;
        };
        rests.push(now - began);
        chores.finish(at(now), chore, ms(0), TurnOutcome::Failed);
    }
    assert!(rests[1..].iter().all(|&rest| rest >= 50), "{rests:?}");
    assert!(rests[8..].iter().sum::<i64>() > rests[1..5].iter().sum::<i64>() * 3, "{rests:?}");
    assert!(rests.iter().all(|&rest| rest <= 30_100), "{rests:?}");
    assert_eq!(chores.stats().map(|(_, stats)| stats.failed).sum::<u64>(), 12);
}

#[test]
fn what_is_asked_for_while_it_runs_is_done_again() {
    let mut chores = scheduler(Budget::default());
    chores.request(at(0), Task::Upkeep);
    assert_eq!(chores.begin_next(at(0), false), Some(Task::Upkeep));
    assert_eq!(chores.begin_next(at(1), false), None, "never twice at once");
    chores.request(at(1), Task::Upkeep);
    chores.finish(at(2), Task::Upkeep, ms(0), TurnOutcome::Done);
    assert_eq!(chores.begin_next(at(2), false), Some(Task::Upkeep));
    chores.finish(at(3), Task::Upkeep, ms(0), TurnOutcome::Done);
    assert_eq!(chores.begin_next(at(4), false), None);
}

#[test]
fn upkeep_does_not_fall_in_step() {
    let dues: Vec<Timestamp> = (0..50)
        .filter_map(|seed| {
            let mut chores = Scheduler::new(at(0), Budget::default(), seed);
            chores.add(at(0), 0, TaskConfig::periodic("tick", Priority::Normal, ms(1000)));
            chores.next_at()
        })
        .collect();
    let near =
        dues.iter().map(|&one| dues.iter().filter(|&&two| (two - one).micros().abs() < 50_000).count());
    assert!(near.max() < Some(15), "{dues:?}");
}

proptest! {
    /// However ops wait and whatever turns cost: nothing due is later than its time and the turns that stand before it.
    #[test]
    fn nothing_starves(
        steps in proptest::collection::vec((0_usize..3, any::<bool>(), 0_i64..40, 0_u8..3), 30..200),
    ) {
        let mut chores = scheduler(Budget { thread_share: 0.01, thread_burst: ms(5), ..Budget::default() });
        let (mut now, mut due) = (0_i64, BTreeMap::new());
        let within = BTreeMap::from([(Task::List, 50), (Task::Upkeep, 300), (Task::Idle, 500)]);
        for (which, ops, cost, end) in steps {
            let asked = [Task::List, Task::Upkeep, Task::Idle][which];
            due.entry(asked).or_insert(now);
            chores.request(at(now), asked);
            if let Some(chore) = chores.begin_next(at(now), ops) {
                let since = due.remove(&chore);
                prop_assert!(since.is_some(), "{chore:?} was not due");
                let end = [TurnOutcome::Done, TurnOutcome::More, TurnOutcome::Done][usize::from(end)];
                now += cost;
                chores.finish(at(now), chore, ms(cost), end);
                if end == TurnOutcome::More {
                    due.insert(chore, now);
                }
            } else {
                now += 1;
            }
            // Three chores, turns of 40 ms at most: the latest waits for one turn of each other one.
            for (chore, since) in &due {
                prop_assert!(now - since <= within[chore] + 3 * 41, "{chore:?} since {since}, now {now}");
            }
        }
    }

    /// ListSlicer leave the same as lists at once, and between two of them each host is as one list or another has it.
    #[test]
    fn slices_come_to_what_whole_lists_come_to(
        all in proptest::collection::vec(
            (any::<bool>(), proptest::collection::btree_map(0_u8..30, 0_u8..3, 0..30)), 1..6),
        size in 1_usize..9,
        turns in proptest::collection::vec(0_usize..12, 6),
    ) {
        let mut slices = ListSlicer::new(size);
        let (mut plain, mut sliced) = (BTreeMap::new(), BTreeMap::<u8, (u8, u64)>::new());
        let mut seen: BTreeMap<u8, Vec<Option<u8>>> = BTreeMap::new();
        let work = |slices: &mut ListSlicer<(u8, u8)>, sliced: &mut BTreeMap<u8, (u8, u64)>| {
            match slices.next_slice() {
                Some(ListSlice::Entries(lines)) => {
                    assert!(lines.len() <= size || lines.iter().any(|(_, what)| *what == 0));
                    let turn = slices.generation();
                    sliced.extend(lines.into_iter().map(|(host, what)| (host, (what, turn))));
                }
                Some(ListSlice::RemoveUnlisted(turn)) => sliced.retain(|_, (_, named)| *named >= turn),
                Some(ListSlice::Complete(_)) => {}
                None => return false,
            }
            true
        };
        for (number, ((whole, lines), turns)) in all.into_iter().zip(turns).enumerate() {
            if whole {
                plain.clear();
            }
            plain.extend(lines.clone());
            for host in 0..30 {
                seen.entry(host).or_insert_with(|| vec![None]).push(plain.get(&host).copied());
            }
            slices.push(number as i64, whole, lines.into_iter().collect(), |&(_, what)| what, |&(host, _)| host);
            for _ in 0..turns {
                work(&mut slices, &mut sliced);
                for host in 0..30 {
                    let has = sliced.get(&host).map(|(what, _)| *what);
                    prop_assert!(seen[&host].contains(&has), "{host} is {has:?}");
                }
            }
        }
        while work(&mut slices, &mut sliced) {}
        let sliced: BTreeMap<u8, u8> = sliced.into_iter().map(|(host, (what, _))| (host, what)).collect();
        prop_assert_eq!(sliced, plain);
    }
}

#[test]
fn what_closes_hosts_goes_first_and_before_lists_that_came_earlier() {
    let mut slices = ListSlicer::new(2);
    let push = |slices: &mut ListSlicer<(char, u8)>, number, whole, lines: &[(char, u8)]| {
        slices.push(number, whole, lines.to_vec(), |&(_, rank)| rank, |&(host, _)| host);
    };
    push(&mut slices, 7, true, &[('a', 3), ('b', 1), ('c', 0), ('d', 3), ('e', 3)]);
    assert_eq!(slices.next_slice(), Some(ListSlice::Entries(vec![('c', 0)])));
    assert_eq!(slices.next_slice(), Some(ListSlice::Entries(vec![('b', 1), ('a', 3)])));
    // d drains while the older list, which calls it ready, is worked off.
    push(&mut slices, 8, false, &[('e', 3), ('d', 0)]);
    assert_eq!(
        slices.next_slice(),
        Some(ListSlice::Entries(vec![('d', 3), ('d', 0)])),
        "what was said of it before, too"
    );
    assert_eq!(slices.next_slice(), Some(ListSlice::Entries(vec![('e', 3)])));
    assert_eq!(slices.next_slice(), Some(ListSlice::RemoveUnlisted(1)));
    assert_eq!(slices.next_slice(), Some(ListSlice::Complete(7)));
    assert!(!slices.is_empty() && slices.needs_slicing(1));
    assert_eq!(slices.next_slice(), Some(ListSlice::Entries(vec![('e', 3)])));
    assert_eq!(slices.next_slice(), Some(ListSlice::Complete(8)));
    assert!(slices.is_empty() && !slices.needs_slicing(2) && slices.needs_slicing(3));
}
