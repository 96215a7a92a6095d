//! A fleet of router processes under injected faults: each router's view of the others, the invariants of
//! ops meanwhile, and that ops are served as without membership. A failing test prints its fault plan.

use std::net::UdpSocket;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use arrowyard_peers::message::{Claim, Datagram, FORMAT_VERSION, Kind, Rumor, encode, hash_name};
use arrowyard_testbed::load::{Outcome, Stream, play};
use arrowyard_testbed::plan::{Fault, Plan};
use arrowyard_testbed::rig::{Rig, Setting};
use arrowyard_testbed::router::OP_TYPES;
use arrowyard_testbed::wire::Cut;
use arrowyard_testbed::{Act, Process};
use serde_json::Value;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn rig(setting: Setting) -> Rig {
    let rig = Rig::start(Path::new(env!("CARGO_BIN_EXE_arrowyard")), setting).expect("the routers start");
    if !rig.is_off() {
        assert!(rig.agree(ms(20_000)).is_some(), "the routers agree on the fleet");
    }
    rig
}

/// Sends ops to the process for `span` from another thread.
fn spawn_ops(process: &Process, span: Duration, seed: u64) -> std::thread::JoinHandle<Outcome> {
    let address = process.address;
    std::thread::spawn(move || {
        let mix = vec![(0, 3), (1, 3), (2, 2), (3, 2)];
        let stream =
            Stream { tenant: "t", group: 7, rate: 40.0, mix, from: Duration::ZERO, till: span, sessions: 20 };
        play(address, &OP_TYPES, &[stream], seed, |_| {})
    })
}

/// Asserts that every op was answered, no write was applied twice and every acknowledged write is stored.
fn audit(rig: &Rig, outcomes: &[Outcome], plan: &Plan) {
    let ledger = rig.town.ledger();
    let twice = ledger.applied.iter().find(|(_, times)| times.len() > 1);
    assert_eq!(twice, None, "applied twice: {}", plan.text());
    for outcome in outcomes {
        let stats = outcome.of_tenant("t");
        assert!(stats.sent > 20, "ops were sent: {}", stats.sent);
        assert_eq!(stats.unanswered, 0, "{}", plan.text());
        let lost = outcome.acked.iter().find(|token| !ledger.applied.contains_key(&format!("{token:016x}")));
        assert_eq!(lost, None, "acknowledged but not stored: {}", plan.text());
        assert!(stats.share() > 0.9, "{} of ops were good: {}", stats.share(), plan.text());
    }
}

/// Runs a fault plan while ops are sent to the routers that it does not affect.
fn play_with_load(rig: &mut Rig, plan: &Plan, unaffected: &[usize], after: Duration) -> (i64, Vec<Outcome>) {
    let first = plan.acts.iter().map(|act| act.at_ms).min().unwrap_or_default();
    let last = plan.acts.iter().map(|act| act.at_ms + act.for_ms).max().unwrap_or_default();
    let span = ms(last - first) + after;
    let loads: Vec<_> = unaffected
        .iter()
        .map(|&who| spawn_ops(rig.process(who).expect("the router runs"), span, who as u64 + 100 * plan.seed))
        .collect();
    let zero = rig.play(plan, after);
    let outcomes: Vec<Outcome> =
        loads.into_iter().map(|load| load.join().expect("the load has been sent")).collect();
    audit(rig, &outcomes, plan);
    (zero, outcomes)
}

/// Asserts that no running router was considered lost or dead.
fn assert_no_false_deaths(rig: &Rig, zero: i64, plan: &Plan) {
    let false_deaths = rig.wrong(zero, |_, _| true);
    assert!(false_deaths.is_empty(), "{:?} of {}: {}", false_deaths.first(), false_deaths.len(), plan.text());
}

/// Asserts that all routers agree on the fleet within `within_ms`.
fn assert_agreement(rig: &Rig, within_ms: u64, plan: &Plan) {
    let took = rig.agree(ms(within_ms));
    assert!(took.is_some(), "no agreement within {within_ms} ms: {}", plan.text());
}

/// The row of router `of` in the view of router `by`.
fn row(rig: &Rig, by: usize, of: usize) -> Value {
    let view = rig.view(by).expect("the router shows its view");
    let name = format!("n{of}");
    let rows = view["peers"].as_array().cloned().unwrap_or_default();
    rows.into_iter().find(|row| row["name"] == name.as_str()).unwrap_or_default()
}

/// Waits until the condition holds.
fn until(within_ms: u64, condition: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < ms(within_ms), "not within {within_ms} ms: {condition}");
        std::thread::sleep(ms(20));
    }
}

#[test]
fn a_crash_is_detected_by_all_and_distinguished_from_a_shutdown() {
    let mut rig = rig(Setting::of(5));
    let plan = Plan::new("crash", 5, 0).act(0, 4_000, Fault::Kill(vec![4]));
    let (zero, _) = play_with_load(&mut rig, &plan, &[0, 1], ms(0));
    for by in 0..4 {
        let history = rig.history();
        let known = history
            .iter()
            .find(|held| held.by == by && held.of == 4 && held.mono_us > zero && held.is_over());
        let took = known.map(|held| (held.mono_us - zero) / 1000).expect("the crash was detected");
        assert!(took < 3_500, "n{by} took {took} ms: {}", plan.text());
        assert_eq!(known.map(|held| &*held.standing), Some("Dead"), "refused datagrams confirm the crash");
    }
    assert_agreement(&rig, 10_000, &plan);
    // A shutdown, after which the router restarts with the same name.
    assert_eq!(rig.end(3), Some(0));
    until(5_000, "a shutdown", || (0..3).all(|by| row(&rig, by, 3)["standing"] == "left"));
    rig.begin(3).expect("the router restarts");
    assert_agreement(&rig, 10_000, &plan);
    let dead = rig.history().into_iter().find(|held| held.of == 3 && held.is_over());
    assert_eq!(dead, None, "a shutdown is not a death");
}

#[test]
fn pauses_cause_no_false_deaths_and_resumed_routers_doubt_themselves_first() {
    let mut rig = rig(Setting::of(6));
    let plan = Plan::new("halts", 6, 0)
        .act(0, 3_000, Fault::Halt(vec![1, 4]))
        .act(4_500, 500, Fault::Halt(vec![2]))
        .act(6_000, 1_500, Fault::Halt((0..6).collect()));
    let zero = rig.play(&plan, ms(500));
    assert_no_false_deaths(&rig, zero, &plan);
    assert_agreement(&rig, 10_000, &plan);
    assert!(
        rig.process(1).is_some_and(|process| process.said("the process was stalled", ms(100))),
        "the router notices its own pause"
    );
    // A resumed router reports no other router within the next second.
    let resumed = zero + 3_000_000;
    let reports = |held: &&arrowyard_testbed::rig::Held| {
        (held.by == 1 || held.by == 4)
            && held.mono_us > resumed
            && held.mono_us < resumed + 1_000_000
            && held.standing != "Alive"
    };
    let reported = rig.history().iter().find(reports).cloned();
    assert_eq!(reported, None);
}

#[test]
fn a_cpu_starved_router_is_not_declared_dead() {
    let mut rig = rig(Setting::of(5));
    let plan = (0..16)
        .fold(Plan::new("starved", 5, 0), |plan, turn| plan.act(turn * 500, 350, Fault::Halt(vec![2])));
    let zero = rig.play(&plan, ms(500));
    assert_no_false_deaths(&rig, zero, &plan);
    assert_agreement(&rig, 10_000, &plan);
}

#[test]
fn lost_duplicated_delayed_and_corrupted_datagrams_cause_no_false_deaths() {
    let mut rig = rig(Setting::of(6));
    let plan = Plan::new("rough", 6, 0)
        .act(0, 8_000, Fault::Lose(0.3))
        .act(0, 8_000, Fault::Double(0.2))
        .act(0, 8_000, Fault::Garble(0.05))
        .act(0, 8_000, Fault::Delay { ms: 20 });
    let (zero, _) = play_with_load(&mut rig, &plan, &[0], ms(500));
    assert_no_false_deaths(&rig, zero, &plan);
    assert_agreement(&rig, 10_000, &plan);
    let garbled = rig.view(0).expect("the router shows its view")["datagrams"]["garbled"].as_u64();
    assert!(garbled > Some(0), "corrupted datagrams were counted: {garbled:?}");
}

#[test]
fn one_way_partitions_with_an_indirect_path_cause_no_false_deaths_and_are_shown() {
    let mut rig = rig(Setting::of(6));
    let ring = (0..6).fold(Plan::new("ring", 6, 0), |plan, one| {
        plan.act(0, 9_000, Fault::Cut(vec![one], vec![(one + 1) % 6]))
    });
    let (zero, _) = play_with_load(&mut rig, &ring, &[0], ms(0));
    assert_no_false_deaths(&rig, zero, &ring);
    // A router that receives nothing, while all others receive its datagrams.
    let deaf = Plan::new("all-to-one", 6, 0).act(0, 9_000, Fault::Cut(vec![0, 2, 3, 4, 5], vec![1]));
    let zero = rig.play(&deaf, ms(0));
    assert_no_false_deaths(&rig, zero, &deaf);
    assert_agreement(&rig, 10_000, &deaf);
    // While the partition lasts, the view shows which router does not receive this one's datagrams.
    let one = Plan::new("one-side", 6, 0).act(0, 30_000, Fault::Cut(vec![0], vec![1]));
    rig.play(&Plan { acts: vec![], ..one.clone() }, ms(0));
    rig.relays.cut(99, [(0, 1)].into());
    until(12_000, "the one-way partition is shown", || {
        let reach = row(&rig, 0, 1)["reach"].clone();
        reach == "heard, does not hear this router" || reach == "by others only"
    });
    rig.relays.heal(99);
    assert_agreement(&rig, 10_000, &one);
}

#[test]
fn a_cut_in_halves_is_known_on_both_sides_and_heals_to_one_view() {
    let mut rig = rig(Setting { more: "shares: true".to_string(), ..Setting::of(6) });
    let plan = Plan::new("halves", 6, 0).act(0, 9_000, Fault::Part(vec![0, 1], vec![2, 3, 4, 5]));
    let loads: Vec<_> = [0, 2]
        .iter()
        .map(|&who| spawn_ops(rig.process(who).expect("the router runs"), ms(9_000), 3))
        .collect();
    // The cut stands until the views have been read: once it heals, the halves find each other again.
    let cut = [0, 1].into_iter().flat_map(|one| (2..6).flat_map(move |two| [(one, two), (two, one)]));
    rig.relays.cut(99, cut.collect());
    rig.play(&Plan { acts: vec![], ..plan.clone() }, ms(9_000));
    for (who, reach) in [(0, 2), (1, 2), (2, 4), (5, 4)] {
        let view = rig.view(who).expect("the router shows its view");
        assert_eq!((&view["reach"], &view["whole"]), (&reach.into(), &6.into()), "n{who}: {}", plan.text());
        // The minority does not use the others' shares, nor does the majority this soon.
        assert!(view["routers"].as_f64() >= Some(6.0), "{}", view["routers"]);
    }
    rig.relays.heal(99);
    assert_agreement(&rig, 8_000, &plan);
    let outcomes: Vec<Outcome> =
        loads.into_iter().map(|load| load.join().expect("the load has been sent")).collect();
    audit(&rig, &outcomes, &plan);
}

#[test]
fn a_flapping_partition_causes_no_false_deaths() {
    let mut rig = rig(Setting::of(5));
    let plan = (0..4).fold(Plan::new("flapping", 5, 0), |plan, turn| {
        plan.act(turn * 4_000, 2_000, Fault::Part(vec![0, 1], vec![2, 3, 4]))
    });
    let zero = rig.play(&plan, ms(0));
    assert_no_false_deaths(&rig, zero, &plan);
    assert_agreement(&rig, 8_000, &plan);
}

#[test]
fn routers_agree_after_a_rolling_restart_and_after_most_are_killed() {
    let mut rig = rig(Setting::of(6));
    let plan = (0..4).fold(Plan::new("roll", 6, 0), |plan, turn| {
        plan.act(turn * 1_500, 300, Fault::End(vec![turn as usize + 2]))
    });
    let (_, _) = play_with_load(&mut rig, &plan, &[0, 1], ms(0));
    assert_agreement(&rig, 10_000, &plan);
    let herd = Plan::new("herd", 6, 0).act(0, 1_500, Fault::Kill(vec![2, 3, 4, 5]));
    // Another seed, so that the tokens differ from those the hosts remember.
    let herd = Plan { seed: 2, ..herd };
    let (_, _) = play_with_load(&mut rig, &herd, &[0, 1], ms(0));
    assert_agreement(&rig, 10_000, &herd);
}

#[test]
fn a_fault_plan_round_trips_through_its_text() {
    for name in Plan::NAMES {
        let plan = Plan::named(name, 9).expect("the plan has a name");
        assert_eq!(Plan::read(&plan.text()).as_ref(), Ok(&plan));
    }
    assert!(Plan::read("{\"name\": 3}").is_err());
}

#[test]
fn foreign_flooding_and_replayed_datagrams_do_not_affect_membership_or_ops() {
    let rig = rig(Setting::of(3));
    let view = rig.view(0).expect("the router shows its view");
    let incarnation = view["life"].as_u64().expect("the view has an incarnation");
    let log = rig.process(0).expect("the router runs").log.lock().expect("the log is not poisoned").clone();
    let at =
        log.iter().find_map(|line| line.split_once("datagrams at ")?.1.split('"').next().map(str::to_string));
    let at = at.expect("the router logs its address");
    let load = spawn_ops(rig.process(0).expect("the router runs"), ms(3_000), 9);
    let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback has free ports");
    let own = socket.local_addr().expect("the socket is bound").to_string();
    let valid = |number: u64| Datagram {
        version: FORMAT_VERSION,
        min_version: 1,
        fleet_hash: hash_name("rig"),
        from: format!("x{number}"),
        incarnation: 1,
        nonce: number,
        address: own.clone(),
        kind: Kind::Ping as i32,
        sent_us: number,
        ..Datagram::default()
    };
    let false_rumor = |number: u64| Rumor {
        name: "n1".to_string(),
        incarnation: incarnation + number * 1_000_000,
        claim: Claim::Dead as i32,
        address: own.clone(),
        nonce: 5,
        reporters: vec!["n2".to_string(), "n0".to_string()],
        refused: true,
        ..Rumor::default()
    };
    let began = Instant::now();
    let kept = rig.relays.kept();
    let mut sent = 0_u64;
    // Thousands of datagrams per second, bounded in number and time.
    while began.elapsed() < ms(2_500) && sent < 20_000 {
        let bytes = match sent % 5 {
            0 => encode(&valid(sent)),
            1 => encode(&Datagram { fleet_hash: hash_name("other"), ..valid(sent) }),
            2 => encode(&Datagram { rumors: vec![false_rumor(sent)], from: "n2".to_string(), ..valid(sent) }),
            3 => kept[sent as usize % kept.len()].2.clone(),
            _ => vec![sent as u8; 300],
        };
        let _ = socket.send_to(&bytes, &at);
        sent += 1;
        if sent.is_multiple_of(16) {
            std::thread::sleep(ms(2));
        }
    }
    let outcome = load.join().expect("the load has been sent");
    audit(&rig, &[outcome], &Plan::new("flood", 3, 0));
    let view = rig.view(0).expect("the router shows its view");
    assert!(view["datagrams"]["flood"].as_u64() > Some(0), "{}", view["datagrams"]);
    assert!(
        view["datagrams"]["foreign"].as_u64() > Some(0) && view["datagrams"]["garbled"].as_u64() > Some(0)
    );
    assert!(view["held"].as_u64() < Some(700), "{}", view["held"]);
    let plan = Plan::new("flood", 3, 0);
    assert_agreement(&rig, 15_000, &plan);
    assert_no_false_deaths(&rig, 0, &plan);
}

#[test]
fn a_live_router_that_serves_no_ops_is_shown_as_such() {
    let rig = rig(Setting::of(3));
    for name in ["p-0", "r-0", "r-1"] {
        rig.town.act(name, Act::Hang);
    }
    let load = spawn_ops(rig.process(0).expect("the router runs"), ms(7_000), 9);
    until(10_000, "the router serves no ops", || (1..3).all(|by| row(&rig, by, 0)["serves"] == false));
    assert_eq!(row(&rig, 1, 0)["standing"], "alive");
    assert_eq!(row(&rig, 0, 1)["serves"], true, "the other routers get no ops");
    for name in ["p-0", "r-0", "r-1"] {
        rig.town.act(name, Act::Serve);
    }
    let _ = load.join();
    let load = spawn_ops(rig.process(0).expect("the router runs"), ms(2_000), 10);
    until(10_000, "the router serves ops again", || (1..3).all(|by| row(&rig, by, 0)["serves"] == true));
    let _ = load.join();
}

#[test]
fn the_number_of_reachable_routers_replaces_the_configured_one_once_stable() {
    let rig = rig(Setting { told_routers: 30, more: "shares: true".to_string(), ..Setting::of(3) });
    let before = rig.view(0).expect("the router shows its view")["routers"].as_f64();
    assert_eq!(before, Some(30.0), "the configured number counts until the view is stable");
    until(40_000, "three routers", || {
        (0..3).all(|who| rig.view(who).is_some_and(|view| view["routers"].as_f64() == Some(3.0)))
    });
}

#[test]
fn the_peers_command_shows_the_view_of_a_running_router() {
    let rig = rig(Setting::of(3));
    let address = rig.process(1).expect("the router runs").address.to_string();
    let shown = Command::new(env!("CARGO_BIN_EXE_arrowyard"))
        .args(["peers", &address])
        .output()
        .expect("the router runs");
    let text = String::from_utf8_lossy(&shown.stdout);
    assert!(shown.status.success(), "{text}");
    assert!(text.contains("n1 reaches 3 of 3") && text.contains("n0") && text.contains("alive"), "{text}");
    let off = self::rig(Setting { off: true, ..Setting::of(1) });
    let address = off.process(0).expect("the router runs").address.to_string();
    let shown = Command::new(env!("CARGO_BIN_EXE_arrowyard"))
        .args(["peers", &address])
        .output()
        .expect("the router runs");
    assert_eq!(shown.status.code(), Some(2));
}

#[test]
fn a_drain_missed_by_the_own_watch_is_learned_from_other_routers() {
    // With news from other routers, and without: then the third router keeps sending to the host.
    for (news, expected) in [("news: true", true), ("", false)] {
        let mut rig = rig(Setting { more: news.to_string(), ..Setting::of(3) });
        rig.kill(2);
        // Watches opened from now on stay silent; those of the other two routers continue.
        rig.town.mute();
        rig.begin(2).expect("the routers start");
        assert_agreement(&rig, 15_000, &Plan::new("mute", 3, 0));
        rig.town.drain("r-1");
        let heard = rig.process(2).is_some_and(|process| process.said("host is Draining", ms(4_000)));
        assert_eq!(heard, expected, "{news}");
        assert!(rig.process(0).is_some_and(|process| process.said("host is Draining", ms(1_000))));
        if expected {
            // After the grace period the host gets no more sends.
            std::thread::sleep(ms(700));
            let before = rig.town.ledger().commands.get("r-1").copied().unwrap_or_default();
            let outcome = spawn_ops(rig.process(2).expect("the router runs"), ms(1_500), 4)
                .join()
                .expect("the load has been sent");
            audit(&rig, &[outcome], &Plan::new("mute", 3, 0));
            assert_eq!(rig.town.ledger().commands.get("r-1").copied().unwrap_or_default(), before);
        }
    }
}

#[test]
fn a_router_without_reachable_hosts_reports_it_and_still_replies() {
    for cut in [Cut { to: true, from: true }, Cut { to: false, from: true }] {
        let rig = rig(Setting { wires: true, ..Setting::of(3) });
        until(5_000, "the router serves ops", || {
            let outcome = spawn_ops(rig.process(2).expect("the router runs"), ms(300), 1)
                .join()
                .expect("the load has been sent");
            outcome.of_tenant("t").good > 3
        });
        let loads: Vec<_> = (0..3)
            .map(|who| spawn_ops(rig.process(who).expect("the router runs"), ms(6_000), 700 + who as u64))
            .collect();
        std::thread::sleep(ms(500));
        rig.wires.cut(2, cut);
        until(6_000, "the router is shown as serving no ops", || row(&rig, 0, 2)["serves"] == false);
        assert_eq!(row(&rig, 0, 2)["standing"], "alive", "the router is alive");
        rig.wires.cut(2, Cut::default());
        let outcomes: Vec<Outcome> =
            loads.into_iter().map(|load| load.join().expect("the load has been sent")).collect();
        let ledger = rig.town.ledger();
        assert!(ledger.applied.values().all(|times| times.len() == 1), "{cut:?}");
        for (who, outcome) in outcomes.iter().enumerate() {
            let stats = outcome.of_tenant("t");
            assert_eq!(stats.unanswered, 0, "n{who} {cut:?}");
            assert!(who == 2 || stats.share() > 0.9, "n{who} {cut:?}: {stats:?}");
            let there = |token: &u64| ledger.applied.contains_key(&format!("{token:016x}"));
            assert!(outcome.acked.iter().all(there), "n{who} {cut:?}");
        }
        until(8_000, "the router serves ops again and is shown so", || {
            let _ = spawn_ops(rig.process(2).expect("the router runs"), ms(300), 3).join();
            row(&rig, 0, 2)["serves"] == true
        });
    }
}

#[test]
fn a_router_cut_off_from_discovery_stops_using_a_host_that_others_report_as_draining() {
    for news in [true, false] {
        let more = if news { "news: true" } else { "" };
        let rig = rig(Setting { wires: true, more: more.to_string(), ..Setting::of(6) });
        let listed = |who: usize| rig.process(who).expect("the router runs").said("host is Ready", ms(5_000));
        assert!((0..6).all(listed));
        rig.town.cut_discovery(rig.asks[5], true);
        std::thread::sleep(ms(100));
        let load = spawn_ops(rig.process(5).expect("the router runs"), ms(6_000), 800);
        std::thread::sleep(ms(300));
        rig.town.drain("r-1");
        std::thread::sleep(ms(4_000));
        let before = rig.town.ledger().commands.get("r-1").copied().unwrap_or_default();
        let outcome = load.join().expect("the load has been sent");
        let after = rig.town.ledger().commands.get("r-1").copied().unwrap_or_default();
        assert_eq!(outcome.of_tenant("t").unanswered, 0);
        let closed =
            rig.process(5).expect("the router runs").said("reported as draining by other routers", ms(100));
        assert_eq!(closed, news);
        if news {
            assert_eq!(after, before, "no more sends to the host");
            assert!(outcome.of_tenant("t").share() > 0.9, "{:?}", outcome.of_tenant("t"));
        } else {
            assert!(after > before, "without news the router keeps sending");
        }
    }
}
