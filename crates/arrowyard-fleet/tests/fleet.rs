//! What is harmless in one router and harmful in all, each cause as a small run that is the same each time.

use arrowyard_fleet::{Event, Sums, Town, World};
use arrowyard_types::TimeDelta;

fn ms(millis: i64) -> TimeDelta {
    TimeDelta::from_millis(millis)
}

fn share(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

#[test]
fn a_start_of_many_routers_asks_no_host_who_it_is_where_the_list_says() {
    let probes = |routers: usize, named: bool| {
        let mut world = World::new(Town { routers, named, ..Town::default() });
        let sums = *world.play(ms(4000));
        share(sums.probes, sums.asked)
    };
    // Each of 300 routers meets each of the groups in these seconds: a round of questions for each would be one an op.
    assert!(probes(300, false) > 1.0, "{}", probes(300, false));
    assert!(probes(300, true) < 0.45, "{}", probes(300, true));
    assert!(probes(1, true) < 0.2, "a router that sees all traffic knows all positions: {}", probes(1, true));
}

#[test]
fn a_lost_primary_is_looked_for_by_many_at_its_heir() {
    // Thirty routers that always have a write which waits.
    let town = Town { routers: 30, groups: 2, cores: 24, rate: 600.0, ..Town::default() };
    let mut world = World::new(town);
    world.play(ms(4000));
    world.reset();
    let before: Vec<u64> = world.hosts.iter().map(|host| host.probes).collect();
    world.happens(ms(0), Event::LosePrimary(0));
    world.play(ms(4000));
    let asked: Vec<u64> = (0..3).map(|at| world.hosts[at].probes - before[at]).collect();
    // 853 where all are asked as often as the heir.
    assert!(asked.iter().sum::<u64>() < 700, "{asked:?}");
    world.play(ms(1000));
    world.reset();
    let sums = *world.play(ms(2000));
    assert!(share(sums.writes_acked, sums.writes) > 0.95, "it was found: {sums:?}");
}

#[test]
fn what_nothing_was_sent_for_is_never_answered_late() {
    for routers in [1, 30, 300] {
        let mut world = World::new(Town { routers, ..Town::default() });
        world.play(ms(2000));
        world.reset();
        world.happens(ms(0), Event::Close(1));
        world.happens(ms(0), Event::LosePrimary(3));
        let sums = *world.play(ms(4000));
        assert!(sums.busy > 100, "a group of eight is closed: {sums:?}");
        assert_eq!(sums.kept_back, 0, "{routers}: {sums:?}");
    }
}

/// Four of eight groups are replaced by cold hosts: the most that one was pushed, and the share of ops served, over seeds.
fn replaced(routers: usize) -> (f64, f64) {
    let runs = (1..6).map(|seed| {
        let mut world = World::new(Town { routers, seed, ..Town::default() });
        world.play(ms(6000));
        (0..4).for_each(|group| world.happens(ms(500 * group as i64), Event::Replace(group)));
        world.reset();
        let sums = *world.play(ms(8000));
        (world.pushed(ms(1500)), share(sums.acked + sums.late, sums.asked))
    });
    let runs: Vec<_> = runs.collect();
    let pushed = runs.iter().map(|(pushed, _)| *pushed).fold(0.0, f64::max);
    (pushed, runs.iter().map(|(_, served)| served).sum::<f64>() / runs.len() as f64)
}

#[test]
fn cold_hosts_are_pushed_over_by_no_number_of_routers() {
    // Hosts that are as cold as any may be, for as long as any may be; the rule ends at twice what they can do.
    for routers in [1, 8, 30, 300] {
        let (pushed, served) = replaced(routers);
        assert!(pushed < 2.0 && served > 0.6, "{routers} routers: {pushed}, {served}");
    }
}

#[test]
fn routers_with_few_ops_do_not_lose_most_of_their_budgets_for_cold_hosts() {
    let (pushed, served) = replaced(100);
    assert!(pushed < 2.0 && served > 0.73, "{pushed}, {served}: 0.711 without more room for such routers");
}

#[test]
fn a_jam_that_is_over_is_over_for_routers_with_few_ops_too() {
    for routers in [30, 100] {
        let mut world = World::new(Town { routers, ..Town::default() });
        world.play(ms(3000));
        world.reset();
        world.happens(ms(0), Event::Slower(12.0));
        world.happens(ms(4000), Event::Slower(1.0));
        world.play(ms(4000));
        let jam: Sums = world.reset();
        assert!(share(jam.busy, jam.asked) > 0.25, "{routers}: {jam:?}");
        // Till the hosts have worked off what waits.
        world.play(ms(8000));
        world.reset();
        let after = *world.play(ms(4000));
        assert!(
            share(after.busy, after.asked) < 0.03,
            "{routers}: {after:?}; a seventh and more without fading"
        );
    }
}

#[test]
fn the_same_seed_is_the_same_run() {
    let play = |seed: u64| *World::new(Town { seed, routers: 20, ..Town::default() }).play(ms(3000));
    assert_eq!(play(3), play(3));
    assert_ne!(play(3), play(4));
}

/// Clients that come again five times, soon, whatever they are told.
fn rude(routers: usize) -> Town {
    Town { routers, again: 5, comes: ms(100), ..Town::default() }
}

/// The share of ops answered in time while all is calm, and after so long since the trigger was gone.
fn borne(mut world: World, trigger: &[(i64, Event)], gone: i64, rest: i64) -> (f64, f64) {
    world.play(ms(6000));
    world.reset();
    let calm = *world.play(ms(4000));
    trigger.iter().for_each(|(after, event)| world.happens(ms(*after), *event));
    world.play(ms(gone + rest));
    world.reset();
    let after = *world.play(ms(4000));
    (share(calm.acked, calm.asked), share(after.acked, after.asked))
}

#[test]
fn the_load_that_was_borne_is_borne_again_though_clients_come_again_five_times_as_often() {
    for routers in [1, 30, 300] {
        // Hosts that crawl for four seconds; and seven in ten routers killed at once, with hosts that crawl beside it.
        let slow = [(0, Event::Slower(8.0)), (4000, Event::Slower(1.0))];
        let herd =
            [(0, Event::Restart(routers * 7 / 10 + 1)), (0, Event::Slower(4.0)), (3000, Event::Slower(1.0))];
        // Three hundred hear of slow hosts so seldom that most of what comes again is sent for half a minute.
        let rest = if routers > 30 { 35_000 } else { 8_000 };
        for (name, trigger, gone) in [("slow", &slow[..], 4000), ("herd", &herd[..], 3000)] {
            let (calm, after) = borne(World::new(rude(routers)), trigger, gone, rest);
            assert!(after > calm * 0.95, "{name}, {routers} routers: {after} after, {calm} when calm");
        }
    }
}

#[test]
fn routers_that_start_anew_together_serve_as_before_within_two_seconds() {
    for routers in [30, 300] {
        let mut world = World::new(Town { routers, ..Town::default() });
        world.play(ms(6000));
        world.reset();
        let calm = *world.play(ms(4000));
        world.happens(ms(0), Event::Restart(routers * 7 / 10));
        world.play(ms(2000));
        world.reset();
        let after = *world.play(ms(4000));
        let (calm, after) = (share(calm.acked, calm.asked), share(after.acked, after.asked));
        assert!(after > calm * 0.95, "{routers}: {after} after, {calm} when calm");
    }
}
