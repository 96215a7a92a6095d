//! Fair shares in the emulator: the planes as they ship under a surge of one kind of requests, while machines and hosts
//! come and go. No bound here is a clock's: time is simulated, and the same day plays the same.

use arrowyard_emulator::shares::{FROM, Pace, UNTIL, back_at_once, morning, paces};
use arrowyard_emulator::{Day, Fault, Played, Surge, Trouble, play};

fn of(played: &Played, kind: &str) -> Pace {
    let sound = &played.breaches;
    assert!(sound.is_empty(), "{:?}", sound.first());
    paces(played).into_iter().find(|pace| pace.kind == kind).expect("it was asked")
}

fn day(routers: usize) -> Day {
    morning(3, routers, 1, true, false)
}

/// Postings and dispatches keep their pace: so many in aim, and so many in each second.
fn keeps(played: &Played, in_aim: f64, worst: f64) {
    for kind in ["primary", "own"] {
        let pace = of(played, kind);
        assert!(pace.in_aim >= in_aim && pace.worst >= worst, "{pace:?}");
    }
}

#[test]
fn a_surge_of_one_kind_takes_nothing_from_the_others_and_did_before() {
    for routers in [2, 6] {
        let divided = play(&day(routers));
        keeps(&divided, 0.97, 0.7);
        let whole = play(&Day { divides: false, ..day(routers) });
        for kind in ["primary", "own"] {
            assert!(of(&whole, kind).in_aim < 0.8, "the surge is one: {:?}", of(&whole, kind));
        }
        // What the hosts do altogether is no less.
        assert!(divided.runs as f64 >= 0.97 * whole.runs as f64, "{} of {}", divided.runs, whole.runs);
    }
}

#[test]
fn a_surge_at_one_router_and_one_at_thirty_are_held_alike() {
    let mut at_one = day(6);
    at_one.surges[0].routers = vec![0];
    keeps(&play(&at_one), 0.95, 0.75);
    keeps(&play(&day(30)), 0.97, 0.8);
}

#[test]
fn a_router_that_holds_parts_is_killed_and_what_it_had_passes_on() {
    let kill = Fault { at: 9.0, for_s: 2.0, what: Trouble::KillRouter, which: 1 };
    let played = play(&Day { faults: vec![kill], ..day(3) });
    // Its own clients lose what was under way.
    keeps(&played, 0.93, 0.4);
}

#[test]
fn the_control_machine_that_divides_is_killed_and_all_are_away() {
    let one = |at, which| Fault { at, for_s: 3.0, what: Trouble::KillControl, which };
    for which in 0..3 {
        let played = play(&Day { faults: vec![one(8.0, which)], ..day(6) });
        keeps(&played, 0.9, 0.3);
    }
    // All of control dark from before the surge's middle to its end: routers go on by their fixed parts.
    let dark = |which| Fault { at: 8.0, for_s: 6.0, what: Trouble::DarkControl, which };
    let played = play(&Day { faults: vec![dark(0), dark(1), dark(2)], ..day(6) });
    keeps(&played, 0.8, 0.3);
    assert!(of(&played, "bounded").in_aim > 0.05, "what is held is served by its fixed parts");
}

#[test]
fn a_primary_that_is_replaced_or_lost_in_the_surge_costs_no_more_than_without_one() {
    for (what, for_s) in [(Trouble::ReleasePrimary, 4.0), (Trouble::CrashPrimary, 3.0)] {
        let fault = Fault { at: 8.0, for_s, what, which: 0 };
        let surged = play(&Day { faults: vec![fault.clone()], ..day(3) });
        let calm = play(&Day { faults: vec![fault], surges: Vec::new(), ..day(3) });
        let (surged, calm) = (of(&surged, "primary").in_aim, of(&calm, "primary").in_aim);
        assert!(surged >= calm - 0.08, "{what:?}: {surged}, {calm} without a surge");
    }
}

#[test]
fn a_service_that_comes_back_has_its_share_at_once() {
    let day = back_at_once(3, 6);
    let played = play(&day);
    let kept = &played.kinds["primary"];
    let at = |seconds: f64| arrowyard_types::Timestamp::from_micros((seconds * 1e6) as i64);
    // Sessions open and connections are dialled in the first moment.
    let (asked, in_aim) = kept.between(at(9.7), at(10.7));
    assert!(
        asked > 100 && in_aim as f64 >= 0.95 * asked as f64,
        "{in_aim} of {asked} within the second after 200 ms"
    );
}

#[test]
fn two_greedy_kinds_share_by_weight_and_a_least_is_kept() {
    let surge = |kind: &str| Surge {
        at: FROM,
        for_s: UNTIL - FROM,
        kind: kind.to_string(),
        users: 200,
        think_ms: 50,
        costly: true,
        routers: Vec::new(),
    };
    // The operator promises reads of one's own half of everything.
    let promised = r#"[{"name":"own_region/1","weight":6}]"#;
    let plain = play(&Day { surges: vec![surge("bounded"), surge("own")], ..day(4) });
    let weighed =
        play(&Day { surges: vec![surge("bounded"), surge("own")], shares: promised.to_string(), ..day(4) });
    let served = |played: &Played, kind: &str| played.kinds[kind].served as f64;
    let ratio = |played: &Played| served(played, "own") / served(played, "bounded");
    assert!((0.6..=1.7).contains(&ratio(&plain)), "alike: {}", ratio(&plain));
    assert!(ratio(&weighed) > 1.5 * ratio(&plain), "{} beside {}", ratio(&weighed), ratio(&plain));
    keeps_postings(&plain);
    keeps_postings(&weighed);
}

fn keeps_postings(played: &Played) {
    let pace = of(played, "primary");
    assert!(pace.in_aim >= 0.9, "{pace:?}");
}

#[test]
fn with_everything_at_once_nothing_is_doubled_or_lost() {
    for seed in 1..4 {
        let played = play(&morning(seed, 6, 2, true, true));
        assert!(played.breaches.is_empty(), "{:?}", played.breaches.first());
    }
}
