//! What is done next and at whose expense, beside a plain model; lists in slices beside lists at once.

use std::collections::BTreeMap;

use arrowyard_background_tasks::{Budget, End, Rank, Scheduler, Slice, Slices, Terms};
use arrowyard_types::{TimeDelta, Timestamp};
use proptest::prelude::*;

fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

fn ms(millis: i64) -> TimeDelta {
    TimeDelta::from_millis(millis)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Chore {
    List,
    Upkeep,
    Idle,
}

fn scheduler(budget: Budget) -> Scheduler<Chore> {
    let mut chores = Scheduler::new(at(0), budget, 1);
    chores.add(at(0), Chore::Idle, Terms::asked("idle", Rank::Idle, ms(500)));
    chores.add(at(0), Chore::Upkeep, Terms::asked("upkeep", Rank::Usual, ms(300)));
    chores.add(at(0), Chore::List, Terms::asked("list", Rank::First, ms(50)));
    chores
}

#[test]
fn ranks_go_first_and_idle_work_gives_way_to_ops_till_it_is_late() {
    let mut chores = scheduler(Budget::default());
    [Chore::Idle, Chore::Upkeep, Chore::List].into_iter().for_each(|chore| chores.ask(at(0), chore));
    for wanted in [Chore::List, Chore::Upkeep] {
        assert_eq!(chores.take(at(1), true), Some(wanted));
        chores.done(at(1), wanted, ms(0), End::Done);
    }
    assert_eq!(chores.take(at(2), true), None, "ops wait");
    assert!(chores.next_at() > Some(at(2)), "and it is not asked for all the time");
    assert_eq!(chores.take(at(499), true), None);
    assert_eq!(chores.take(at(510), true), Some(Chore::Idle), "it is late");
    chores.done(at(510), Chore::Idle, ms(1), End::Done);
    chores.ask(at(511), Chore::Idle);
    assert_eq!(chores.take(at(511), false), Some(Chore::Idle), "nobody waits");
}

#[test]
fn what_was_spent_comes_back_with_time_and_lists_wait_for_no_budget() {
    let mut chores = scheduler(Budget { thread: 0.1, burst: ms(10), ..Budget::default() });
    chores.ask(at(0), Chore::Upkeep);
    assert_eq!(chores.take(at(0), false), Some(Chore::Upkeep));
    // Ten times what may be saved up: the debt is bounded.
    chores.done(at(0), Chore::Upkeep, ms(100), End::More);
    assert_eq!(chores.take(at(20), false), None);
    chores.ask(at(20), Chore::List);
    assert_eq!(chores.take(at(20), true), Some(Chore::List));
    chores.done(at(20), Chore::List, ms(0), End::Done);
    assert_eq!(chores.take(at(95), false), None);
    assert_eq!(chores.take(at(105), false), Some(Chore::Upkeep), "a tenth of 100 ms is the debt");
}

#[test]
fn what_fails_rests_longer_each_time_and_being_asked_for_does_not_shorten_it() {
    let mut chores = scheduler(Budget::default());
    let (mut now, mut rests) = (0, Vec::new());
    chores.ask(at(0), Chore::Upkeep);
    for _ in 0..12 {
        let began = now;
        let chore = loop {
            chores.ask(at(now), Chore::Upkeep);
            if let Some(chore) = chores.take(at(now), false) {
                break chore;
            }
            now += 1;
        };
        rests.push(now - began);
        chores.done(at(now), chore, ms(0), End::Failed);
    }
    assert!(rests[1..].iter().all(|&rest| rest >= 50), "{rests:?}");
    assert!(rests[8..].iter().sum::<i64>() > rests[1..5].iter().sum::<i64>() * 3, "{rests:?}");
    assert!(rests.iter().all(|&rest| rest <= 30_100), "{rests:?}");
    assert_eq!(chores.stats().map(|(_, stats)| stats.failed).sum::<u64>(), 12);
}

#[test]
fn what_is_asked_for_while_it_runs_is_done_again() {
    let mut chores = scheduler(Budget::default());
    chores.ask(at(0), Chore::Upkeep);
    assert_eq!(chores.take(at(0), false), Some(Chore::Upkeep));
    assert_eq!(chores.take(at(1), false), None, "never twice at once");
    chores.ask(at(1), Chore::Upkeep);
    chores.done(at(2), Chore::Upkeep, ms(0), End::Done);
    assert_eq!(chores.take(at(2), false), Some(Chore::Upkeep));
    chores.done(at(3), Chore::Upkeep, ms(0), End::Done);
    assert_eq!(chores.take(at(4), false), None);
}

#[test]
fn upkeep_does_not_fall_in_step() {
    let dues: Vec<Timestamp> = (0..50)
        .filter_map(|seed| {
            let mut chores = Scheduler::new(at(0), Budget::default(), seed);
            chores.add(at(0), 0, Terms::every("tick", Rank::Usual, ms(1000)));
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
        let mut chores = scheduler(Budget { thread: 0.01, burst: ms(5), ..Budget::default() });
        let (mut now, mut due) = (0_i64, BTreeMap::new());
        let within = BTreeMap::from([(Chore::List, 50), (Chore::Upkeep, 300), (Chore::Idle, 500)]);
        for (which, ops, cost, end) in steps {
            let asked = [Chore::List, Chore::Upkeep, Chore::Idle][which];
            due.entry(asked).or_insert(now);
            chores.ask(at(now), asked);
            if let Some(chore) = chores.take(at(now), ops) {
                let since = due.remove(&chore);
                prop_assert!(since.is_some(), "{chore:?} was not due");
                let end = [End::Done, End::More, End::Done][usize::from(end)];
                now += cost;
                chores.done(at(now), chore, ms(cost), end);
                if end == End::More {
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

    /// Slices leave the same as lists at once, and between two of them each host is as one list or another has it.
    #[test]
    fn slices_come_to_what_whole_lists_come_to(
        all in proptest::collection::vec(
            (any::<bool>(), proptest::collection::btree_map(0_u8..30, 0_u8..3, 0..30)), 1..6),
        size in 1_usize..9,
        turns in proptest::collection::vec(0_usize..12, 6),
    ) {
        let mut slices = Slices::new(size);
        let (mut plain, mut sliced) = (BTreeMap::new(), BTreeMap::<u8, (u8, u64)>::new());
        let mut seen: BTreeMap<u8, Vec<Option<u8>>> = BTreeMap::new();
        let work = |slices: &mut Slices<(u8, u8)>, sliced: &mut BTreeMap<u8, (u8, u64)>| {
            match slices.slice() {
                Some(Slice::Lines(lines)) => {
                    assert!(lines.len() <= size || lines.iter().any(|(_, what)| *what == 0));
                    let turn = slices.turn();
                    sliced.extend(lines.into_iter().map(|(host, what)| (host, (what, turn))));
                }
                Some(Slice::Missing(turn)) => sliced.retain(|_, (_, named)| *named >= turn),
                Some(Slice::Through(_)) => {}
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
    let mut slices = Slices::new(2);
    let push = |slices: &mut Slices<(char, u8)>, number, whole, lines: &[(char, u8)]| {
        slices.push(number, whole, lines.to_vec(), |&(_, rank)| rank, |&(host, _)| host);
    };
    push(&mut slices, 7, true, &[('a', 3), ('b', 1), ('c', 0), ('d', 3), ('e', 3)]);
    assert_eq!(slices.slice(), Some(Slice::Lines(vec![('c', 0)])));
    assert_eq!(slices.slice(), Some(Slice::Lines(vec![('b', 1), ('a', 3)])));
    // d drains while the older list, which calls it ready, is worked off.
    push(&mut slices, 8, false, &[('e', 3), ('d', 0)]);
    assert_eq!(
        slices.slice(),
        Some(Slice::Lines(vec![('d', 3), ('d', 0)])),
        "what was said of it before, too"
    );
    assert_eq!(slices.slice(), Some(Slice::Lines(vec![('e', 3)])));
    assert_eq!(slices.slice(), Some(Slice::Missing(1)));
    assert_eq!(slices.slice(), Some(Slice::Through(7)));
    assert!(!slices.is_empty() && slices.has_to(1));
    assert_eq!(slices.slice(), Some(Slice::Lines(vec![('e', 3)])));
    assert_eq!(slices.slice(), Some(Slice::Through(8)));
    assert!(slices.is_empty() && !slices.has_to(2) && slices.has_to(3));
}
