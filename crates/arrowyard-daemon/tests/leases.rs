//! Several router processes that vote on leases and compete for them, under injected faults. A recorder
//! receives the effects of the lease holders, and its history is audited. A failing test prints its fault
//! plan.

use std::path::Path;
use std::time::{Duration, Instant};

use arrowyard_testbed::plan::{Fault, Plan};
use arrowyard_testbed::rig::{Rig, Setting, mono_us};
use arrowyard_testbed::taker::{Effect, Taker, audit};
use arrowyard_testbed::trial;
use arrowyard_testbed::wire::Cut;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const TERM_MS: u64 = 800;

/// Starts `processes` routers, the first three of them voters, with a duty that runs every 20 ms.
fn rig(processes: usize, taker: &Taker, more: Setting) -> Rig {
    let duty = format!("duty {{ name: \"task\" at: \"{}\" every_ms: 20 takes_ms: 150 }}", taker.address);
    let leases = format!("term_ms: {TERM_MS} {duty} {}", more.leases);
    let setting = Setting { processes, told_routers: processes, off: true, voters: 3, leases, ..more };
    Rig::start(Path::new(env!("CARGO_BIN_EXE_arrowyard")), setting).expect("the routers start")
}

fn default_setting() -> Setting {
    Setting::of(0)
}

/// Waits until the condition holds.
fn until(within_ms: u64, condition: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < ms(within_ms), "not within {within_ms} ms: {condition}");
        std::thread::sleep(ms(10));
    }
}

/// The router that shows itself as the lease holder.
fn holder(rig: &Rig) -> Option<usize> {
    let holds = |who: &usize| {
        let shown = rig.show(*who, "leases").unwrap_or_default();
        shown["leases"][0]["held"] == true
    };
    rig.running().into_iter().find(holds)
}

fn wait_for_holder(rig: &Rig) -> usize {
    let began = Instant::now();
    loop {
        if let Some(found) = holder(rig) {
            return found;
        }
        if began.elapsed() >= ms(TERM_MS * 6) {
            // Prints every router's view, to show why there is no holder.
            let shown = |who: usize| format!("{who}: {}", rig.show(who, "leases").unwrap_or_default());
            let all: Vec<String> = rig.running().into_iter().map(shown).collect();
            panic!("not within {} ms: a holder\n{}", TERM_MS * 6, all.join("\n"));
        }
        std::thread::sleep(ms(10));
    }
}

/// Audits the history of effects and asserts that there are effects after `since_us`.
fn audited(taker: &Taker, halts: bool, since_us: i64, plan: &str) -> Vec<Effect> {
    let effects = taker.effects();
    let violations = audit(&effects, halts);
    assert!(violations.is_empty(), "{:?} of {}: {plan}", violations.first(), violations.len());
    assert!(effects.iter().any(|effect| effect.taken && effect.came_us > since_us), "no effect: {plan}");
    effects
}

/// Milliseconds from `since_us` to the first later effect of an epoch above `epoch`.
fn wait_for_newer_epoch(taker: &Taker, since_us: i64, epoch: u64) -> i64 {
    let mut found = None;
    until(TERM_MS * 8, "an effect of a newer epoch", || {
        found =
            taker.effects().into_iter().find(|one| one.taken && one.epoch > epoch && one.came_us > since_us);
        found.is_some()
    });
    (found.expect("an effect was found").came_us - since_us) / 1000
}

fn newest_epoch(taker: &Taker) -> u64 {
    taker.effects().iter().map(|effect| effect.epoch).max().unwrap_or_default()
}

#[test]
fn another_router_takes_over_after_a_kill_and_at_once_after_a_shutdown() {
    let taker = Taker::start(ms(10));
    let mut rig = rig(5, &taker, default_setting());
    let first = wait_for_holder(&rig);
    until(3_000, "the holder acts", || taker.effects().len() > 10);
    let before = newest_epoch(&taker);
    let killed = mono_us();
    rig.kill(first);
    let took = wait_for_newer_epoch(&taker, killed, before);
    assert!(took < TERM_MS as i64 + 1_500, "after a kill {took} ms");
    audited(&taker, false, killed, "kill");
    rig.begin(first).expect("the router restarts");
    let second = wait_for_holder(&rig);
    std::thread::sleep(ms(TERM_MS + 300));
    let before = newest_epoch(&taker);
    let requested = mono_us();
    assert_eq!(rig.end(second), Some(0));
    let gave = rig.lines("lease is released").into_iter().rfind(|(who, _)| *who == second);
    let gave = gave.and_then(|(_, line)| line["mono_us"].as_i64()).expect("the release is logged");
    let took = wait_for_newer_epoch(&taker, gave, before);
    assert!(
        took < TERM_MS as i64 && gave - requested < 200_000,
        "after a planned end {took} ms, given back after {} us",
        gave - requested
    );
    audited(&taker, false, gave, "end");
    let shown = rig
        .show((0..5).find(|who| *who != second).expect("one"), "leases")
        .expect("the router shows its leases");
    assert!(shown["leases"][0]["epoch"].as_u64() >= Some(before), "{shown}");
}

#[test]
fn a_paused_holder_does_not_overwrite_effects_of_its_successor() {
    let taker = Taker::start(ms(10));
    let rig = rig(4, &taker, default_setting());
    for turn in 0..4 {
        let first = wait_for_holder(&rig);
        let before = newest_epoch(&taker);
        std::thread::sleep(ms(50 + turn * 7));
        let halted = mono_us();
        rig.process(first).expect("the router runs").signal("STOP");
        wait_for_newer_epoch(&taker, halted, before);
        rig.process(first).expect("the router runs").signal("CONT");
        std::thread::sleep(ms(300));
        audited(&taker, true, halted, "halt");
    }
}

#[test]
fn the_audit_finds_stale_effects_if_the_recorder_does_not_check_epochs() {
    // Guards against an audit that never fails: an effect of an older epoch arrives after one of a newer
    // epoch.
    let effect = |holder: &str, epoch, came_us| Effect {
        lease: "task".to_string(),
        epoch,
        holder: holder.to_string(),
        came_us,
        done_us: came_us + 1,
        taken: true,
    };
    let taker = Taker::start(ms(1));
    taker.blind();
    let call = |holder: &str, epoch: u64| {
        let text = format!("POST / HTTP/1.1\r\nLease: task\r\nEpoch: {epoch}\r\nHolder: {holder}\r\n\r\n");
        let mut stream = std::net::TcpStream::connect(taker.address).expect("the recorder listens");
        std::io::Write::write_all(&mut stream, text.as_bytes()).expect("the recorder reads");
        std::io::Read::read_to_string(&mut stream, &mut String::new()).expect("the recorder replies");
    };
    call("y", 2);
    call("x", 1);
    let found = audit(&taker.effects(), true);
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!(audit(&[effect("y", 2, 0), effect("x", 1, 10)], true).len(), 1);
}

#[test]
fn lost_duplicated_and_delayed_messages_and_one_way_partitions_leave_one_holder() {
    let plans = [
        Plan::new("rough", 5, 0).act(0, 4_000, Fault::Lose(0.2)).act(0, 4_000, Fault::Double(0.2)).act(
            0,
            4_000,
            Fault::Delay { ms: 30 },
        ),
        // Router 0 first cannot send to the other voters, then cannot receive from them.
        Plan::new("one-sided", 5, 0)
            .act(0, 2_000, Fault::Cut(vec![0], vec![1, 2]))
            .act(2_500, 2_000, Fault::Cut(vec![1, 2], vec![0]))
            .act(2_500, 2_000, Fault::Cut(vec![3], vec![0, 1])),
        Plan::new("parts", 5, 0).act(0, 3_000, Fault::Part(vec![0, 3], vec![1, 2, 4])),
    ];
    let taker = Taker::start(ms(10));
    let mut rig = rig(5, &taker, default_setting());
    wait_for_holder(&rig);
    for plan in &plans {
        let zero = rig.play(plan, ms(TERM_MS * 2));
        audited(&taker, false, zero, &plan.text());
        wait_for_holder(&rig);
    }
}

#[test]
fn voters_with_lost_old_or_damaged_votes_wait_before_voting_again() {
    let taker = Taker::start(ms(10));
    let mut rig = rig(5, &taker, default_setting());
    let first = wait_for_holder(&rig);
    let older = std::fs::read(rig.votes(2).join("votes")).expect("votes are stored");
    // The holder changes, so that the epoch increases.
    rig.kill(first);
    std::thread::sleep(ms(100));
    rig.begin(first).expect("the router restarts");
    wait_for_holder(&rig);
    for (who, what) in [(1, "lost"), (2, "older"), (0, "damaged")] {
        let zero = mono_us();
        let before = newest_epoch(&taker);
        rig.kill(who);
        let path = rig.votes(who).join("votes");
        match what {
            "lost" => std::fs::remove_file(&path).expect("the file exists"),
            "older" => std::fs::write(&path, &older).expect("the file can be written"),
            _ => std::fs::write(&path, b"AYLV something else").expect("the file can be written"),
        }
        rig.begin(who).expect("the router starts with any vote file");
        let said = |what: &str| rig.process(who).is_some_and(|one| one.said(what, ms(TERM_MS * 6)));
        assert!(said("waits out the longest lease") && said("voter votes"), "{what}");
        if what != "older" {
            assert!(said("asks the other voters"), "{what}");
        }
        wait_for_holder(&rig);
        std::thread::sleep(ms(200));
        audited(&taker, false, zero, what);
        assert!(newest_epoch(&taker) >= before, "{what}");
    }
}

#[test]
fn voters_restarted_together_grant_nothing_until_the_longest_lease_has_expired() {
    let taker = Taker::start(ms(10));
    let mut rig = rig(5, &taker, default_setting());
    wait_for_holder(&rig);
    let zero = mono_us();
    (0..3).for_each(|who| rig.kill(who));
    (0..3).for_each(|who| rig.begin(who).expect("the routers start"));
    let up = mono_us();
    let held = |rig: &Rig| {
        let lines = rig.lines("lease is held");
        lines.iter().filter_map(|(_, line)| line["mono_us"].as_i64()).filter(|at| *at > zero).min()
    };
    until(TERM_MS * 6, "a new holder", || held(&rig).is_some());
    let first = held(&rig).expect("one");
    // Measured from the kill, since the first voter started before `up`.
    assert!(
        first - zero > (TERM_MS as i64) * 1000,
        "{} us after the kill, up after {}",
        first - zero,
        up - zero
    );
    std::thread::sleep(ms(300));
    audited(&taker, false, zero, "all voters");
}

#[test]
fn without_a_majority_there_is_no_holder_and_ops_are_served() {
    let taker = Taker::start(ms(10));
    let mut rig = rig(4, &taker, default_setting());
    wait_for_holder(&rig);
    (1..3).for_each(|who| rig.kill(who));
    std::thread::sleep(ms(TERM_MS + 400));
    let count = taker.effects().len();
    let asked = arrowyard_testbed::load::play(
        rig.process(3).expect("the router runs").address,
        &arrowyard_testbed::router::OP_TYPES,
        &[arrowyard_testbed::load::Stream {
            tenant: "t",
            group: 7,
            rate: 60.0,
            mix: vec![(0, 3), (1, 3), (2, 2), (3, 2)],
            from: Duration::ZERO,
            till: ms(1_500),
            sessions: 20,
        }],
        5,
        |_| {},
    );
    assert!(asked.of_tenant("t").share() > 0.95 && asked.of_tenant("t").unanswered == 0);
    assert_eq!(taker.effects().len(), count, "there is no holder");
    assert_eq!(holder(&rig), None);
    (1..3).for_each(|who| rig.begin(who).expect("the routers start"));
    wait_for_holder(&rig);
    let zero = mono_us();
    std::thread::sleep(ms(200));
    audited(&taker, false, zero, "majority back");
}

#[test]
fn clock_drift_beyond_the_bound_is_reported_and_drift_within_it_is_tolerated() {
    let taker = Taker::start(ms(10));
    // 900 ppm fast and slow, within the drift bound.
    let mut good = rig(4, &taker, Setting { clocks: vec![900, -900, 900, -900], ..default_setting() });
    let zero = mono_us();
    for _ in 0..2 {
        let first = wait_for_holder(&good);
        good.kill(first);
        std::thread::sleep(ms(50));
        good.begin(first).expect("the router restarts");
    }
    wait_for_holder(&good);
    std::thread::sleep(ms(300));
    audited(&taker, false, zero, "clocks within the bound");
    drop(good);
    // 30 % too fast: reported after enough time.
    let taker = Taker::start(ms(10));
    let bad = rig(3, &taker, Setting { clocks: vec![0, 0, 300_000], ..default_setting() });
    wait_for_holder(&bad);
    until(15_000, "drift is reported", || !bad.lines("drifts beyond the bound").is_empty());
}

#[test]
fn random_fault_plans_pass_the_audit_and_end_with_a_holder() {
    let program = Path::new(env!("CARGO_BIN_EXE_arrowyard"));
    std::thread::scope(|scope| {
        let plays: Vec<_> = (0..4)
            .map(|job: u64| {
                scope.spawn(move || {
                    for seed in (job * 5)..(job * 5 + 5) {
                        let plan = trial::draw(1000 + seed, 5);
                        let outcome = trial::play(program, &plan).expect("the plan runs");
                        assert!(outcome.wrong.is_empty(), "{:?}: {}", outcome.wrong, plan.text());
                        assert!(outcome.after_ms.is_some(), "no holder at the end: {}", plan.text());
                    }
                })
            })
            .collect();
        plays.into_iter().for_each(|play| play.join().expect("all plans pass"));
    });
}

#[test]
fn a_holder_without_reachable_hosts_gives_up_its_lease() {
    let taker = Taker::start(ms(10));
    let duty = format!("duty {{ name: \"task\" at: \"{}\" every_ms: 20 takes_ms: 150 }}", taker.address);
    let setting =
        Setting { voters: 3, leases: format!("term_ms: {TERM_MS} {duty}"), wires: true, ..Setting::of(4) };
    let rig = Rig::start(Path::new(env!("CARGO_BIN_EXE_arrowyard")), setting).expect("the routers start");
    assert!(rig.agree(ms(15_000)).is_some());
    let first = wait_for_holder(&rig);
    let before = newest_epoch(&taker);
    let address = rig.process(first).expect("the router runs").address;
    let asked = std::thread::spawn(move || {
        let stream = arrowyard_testbed::load::Stream {
            tenant: "t",
            group: 7,
            rate: 30.0,
            mix: vec![(0, 3), (3, 2)],
            from: Duration::ZERO,
            till: ms(7_000),
            sessions: 20,
        };
        arrowyard_testbed::load::play(address, &arrowyard_testbed::router::OP_TYPES, &[stream], 9, |_| {})
    });
    std::thread::sleep(ms(300));
    let cut = mono_us();
    rig.wires.cut(first, Cut { to: true, from: true });
    wait_for_newer_epoch(&taker, cut, before);
    assert_ne!(holder(&rig), Some(first));
    audited(&taker, false, cut, "no reachable hosts");
    let outcome = asked.join().expect("the load has been sent");
    assert_eq!(outcome.of_tenant("t").unanswered, 0);
}
