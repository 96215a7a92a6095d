//! Several processes of the program that know each other, with faults between them: what each holds of the others, that
//! the rules are kept meanwhile, and that ops are answered as without membership. The plan is printed where a test fails.

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
    let rig = Rig::start(Path::new(env!("CARGO_BIN_EXE_arrowyard")), setting).expect("it starts");
    if !rig.is_off() {
        assert!(rig.agree(ms(20_000)).is_some(), "they find each other");
    }
    rig
}

/// Ops at this process for so long, in a thread of its own.
fn ops(process: &Process, span: Duration, seed: u64) -> std::thread::JoinHandle<Outcome> {
    let address = process.address;
    std::thread::spawn(move || {
        let mix = vec![(0, 3), (1, 3), (2, 2), (3, 2)];
        let stream =
            Stream { tenant: "t", group: 7, rate: 40.0, mix, from: Duration::ZERO, till: span, sessions: 20 };
        play(address, &OP_TYPES, &[stream], seed, |_| {})
    })
}

/// The five rules, as far as the ledger and the clients see them: each op one answer, each write once, what was acked is
/// there.
fn audit(rig: &Rig, outcomes: &[Outcome], plan: &Plan) {
    let ledger = rig.town.ledger();
    let twice = ledger.applied.iter().find(|(_, times)| times.len() > 1);
    assert_eq!(twice, None, "applied twice: {}", plan.text());
    for outcome in outcomes {
        let stats = outcome.of_tenant("t");
        assert!(stats.sent > 20, "ops were asked: {}", stats.sent);
        assert_eq!(stats.unanswered, 0, "{}", plan.text());
        let lost = outcome.acked.iter().find(|turn| !ledger.applied.contains_key(&format!("{turn:016x}")));
        assert_eq!(lost, None, "acked and not there: {}", plan.text());
        assert!(stats.share() > 0.9, "{} of ops were good: {}", stats.share(), plan.text());
    }
}

/// Plays a plan with ops at the processes that it leaves alone; what those were answered.
fn played(rig: &mut Rig, plan: &Plan, spared: &[usize], after: Duration) -> (i64, Vec<Outcome>) {
    let first = plan.acts.iter().map(|act| act.at_ms).min().unwrap_or_default();
    let last = plan.acts.iter().map(|act| act.at_ms + act.for_ms).max().unwrap_or_default();
    let span = ms(last - first) + after;
    let asking: Vec<_> = spared
        .iter()
        .map(|&who| ops(rig.process(who).expect("it runs"), span, who as u64 + 100 * plan.seed))
        .collect();
    let zero = rig.play(plan, after);
    let outcomes: Vec<Outcome> =
        asking.into_iter().map(|asking| asking.join().expect("it was played")).collect();
    audit(rig, &outcomes, plan);
    (zero, outcomes)
}

/// Nobody who ran was held lost or dead.
fn none_wrong(rig: &Rig, zero: i64, plan: &Plan) {
    let wrong = rig.wrong(zero, |_, _| true);
    assert!(wrong.is_empty(), "{:?} of {}: {}", wrong.first(), wrong.len(), plan.text());
}

fn agreed(rig: &Rig, within: u64, plan: &Plan) {
    let took = rig.agree(ms(within));
    assert!(took.is_some(), "no one view within {within} ms: {}", plan.text());
}

/// A row of a process's view.
fn row(rig: &Rig, by: usize, of: usize) -> Value {
    let view = rig.view(by).expect("it shows its view");
    let name = format!("n{of}");
    let rows = view["peers"].as_array().cloned().unwrap_or_default();
    rows.into_iter().find(|row| row["name"] == name.as_str()).unwrap_or_default()
}

/// Waits till it holds.
fn until(within: u64, what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < ms(within), "not within {within} ms: {what}");
        std::thread::sleep(ms(20));
    }
}

#[test]
fn a_crash_is_known_to_all_and_a_planned_end_is_told_apart() {
    let mut rig = rig(Setting::of(5));
    let plan = Plan::new("crash", 5, 0).act(0, 4_000, Fault::Kill(vec![4]));
    let (zero, _) = played(&mut rig, &plan, &[0, 1], ms(0));
    for by in 0..4 {
        let history = rig.history();
        let known = history
            .iter()
            .find(|held| held.by == by && held.of == 4 && held.mono_us > zero && held.is_over());
        let took = known.map(|held| (held.mono_us - zero) / 1000).expect("it was held dead");
        assert!(took < 3_500, "n{by} took {took} ms: {}", plan.text());
        assert_eq!(known.map(|held| &*held.standing), Some("Dead"), "refusals prove it");
    }
    agreed(&rig, 10_000, &plan);
    // The end of one as planned; its process is started anew with the same name.
    assert_eq!(rig.end(3), Some(0));
    until(5_000, "a planned end", || (0..3).all(|by| row(&rig, by, 3)["standing"] == "left"));
    rig.begin(3).expect("it starts again");
    agreed(&rig, 10_000, &plan);
    let dead = rig.history().into_iter().find(|held| held.of == 3 && held.is_over());
    assert_eq!(dead, None, "a planned end is no death");
}

#[test]
fn halts_of_a_third_and_of_all_bring_no_death_and_the_woken_doubt_themselves_first() {
    let mut rig = rig(Setting::of(6));
    let plan = Plan::new("halts", 6, 0)
        .act(0, 3_000, Fault::Halt(vec![1, 4]))
        .act(4_500, 500, Fault::Halt(vec![2]))
        .act(6_000, 1_500, Fault::Halt((0..6).collect()));
    let zero = rig.play(&plan, ms(500));
    none_wrong(&rig, zero, &plan);
    agreed(&rig, 10_000, &plan);
    assert!(
        rig.process(1).is_some_and(|process| process.said("was away", ms(100))),
        "it finds out by itself"
    );
    // Whoever woke up called nobody silent within the next second.
    let woke = zero + 3_000_000;
    let blames = |held: &&arrowyard_testbed::rig::Held| {
        (held.by == 1 || held.by == 4)
            && held.mono_us > woke
            && held.mono_us < woke + 1_000_000
            && held.standing != "Alive"
    };
    let blamed = rig.history().iter().find(blames).cloned();
    assert_eq!(blamed, None);
}

#[test]
fn a_starved_core_is_no_death() {
    let mut rig = rig(Setting::of(5));
    let plan = (0..16)
        .fold(Plan::new("starved", 5, 0), |plan, turn| plan.act(turn * 500, 350, Fault::Halt(vec![2])));
    let zero = rig.play(&plan, ms(500));
    none_wrong(&rig, zero, &plan);
    agreed(&rig, 10_000, &plan);
}

#[test]
fn a_third_of_all_datagrams_lost_and_others_doubled_late_and_garbled_bring_no_death() {
    let mut rig = rig(Setting::of(6));
    let plan = Plan::new("rough", 6, 0)
        .act(0, 8_000, Fault::Lose(0.3))
        .act(0, 8_000, Fault::Double(0.2))
        .act(0, 8_000, Fault::Garble(0.05))
        .act(0, 8_000, Fault::Delay { ms: 20 });
    let (zero, _) = played(&mut rig, &plan, &[0], ms(500));
    none_wrong(&rig, zero, &plan);
    agreed(&rig, 10_000, &plan);
    let garbled = rig.view(0).expect("it shows its view")["datagrams"]["garbled"].as_u64();
    assert!(garbled > Some(0), "spoilt ones were counted: {garbled:?}");
}

#[test]
fn one_sided_cuts_with_a_way_round_bring_no_death_and_are_shown() {
    let mut rig = rig(Setting::of(6));
    let ring = (0..6).fold(Plan::new("ring", 6, 0), |plan, one| {
        plan.act(0, 9_000, Fault::Cut(vec![one], vec![(one + 1) % 6]))
    });
    let (zero, _) = played(&mut rig, &ring, &[0], ms(0));
    none_wrong(&rig, zero, &ring);
    // One that hears nobody, and is heard by all.
    let deaf = Plan::new("all-to-one", 6, 0).act(0, 9_000, Fault::Cut(vec![0, 2, 3, 4, 5], vec![1]));
    let zero = rig.play(&deaf, ms(0));
    none_wrong(&rig, zero, &deaf);
    agreed(&rig, 10_000, &deaf);
    // And while it lasts, who does not hear this router is shown.
    let one = Plan::new("one-side", 6, 0).act(0, 30_000, Fault::Cut(vec![0], vec![1]));
    rig.play(&Plan { acts: vec![], ..one.clone() }, ms(0));
    rig.relays.cut(99, [(0, 1)].into());
    until(12_000, "a cut of one side is seen", || {
        let reach = row(&rig, 0, 1)["reach"].clone();
        reach == "heard, does not hear this router" || reach == "by others only"
    });
    rig.relays.heal(99);
    agreed(&rig, 10_000, &one);
}

#[test]
fn a_cut_in_halves_is_known_on_both_sides_and_heals_to_one_view() {
    let mut rig = rig(Setting { more: "shares: true".to_string(), ..Setting::of(6) });
    let plan = Plan::new("halves", 6, 0).act(0, 9_000, Fault::Part(vec![0, 1], vec![2, 3, 4, 5]));
    let asked: Vec<_> =
        [0, 2].iter().map(|&who| ops(rig.process(who).expect("it runs"), ms(9_000), 3)).collect();
    // The cut stands until the views have been read: once it heals, the halves find each other again.
    let cut = [0, 1].into_iter().flat_map(|one| (2..6).flat_map(move |two| [(one, two), (two, one)]));
    rig.relays.cut(99, cut.collect());
    rig.play(&Plan { acts: vec![], ..plan.clone() }, ms(9_000));
    for (who, reach) in [(0, 2), (1, 2), (2, 4), (5, 4)] {
        let view = rig.view(who).expect("it shows its view");
        assert_eq!((&view["reach"], &view["whole"]), (&reach.into(), &6.into()), "n{who}: {}", plan.text());
        // The smaller part does not spend the others' shares, and the larger one not so soon.
        assert!(view["routers"].as_f64() >= Some(6.0), "{}", view["routers"]);
    }
    rig.relays.heal(99);
    agreed(&rig, 8_000, &plan);
    let outcomes: Vec<Outcome> =
        asked.into_iter().map(|asked| asked.join().expect("it was played")).collect();
    audit(&rig, &outcomes, &plan);
}

#[test]
fn a_cut_that_comes_and_goes_loses_nobody() {
    let mut rig = rig(Setting::of(5));
    let plan = (0..4).fold(Plan::new("flapping", 5, 0), |plan, turn| {
        plan.act(turn * 4_000, 2_000, Fault::Part(vec![0, 1], vec![2, 3, 4]))
    });
    let zero = rig.play(&plan, ms(0));
    none_wrong(&rig, zero, &plan);
    agreed(&rig, 8_000, &plan);
}

#[test]
fn a_release_in_steps_and_most_killed_at_once_end_in_one_view() {
    let mut rig = rig(Setting::of(6));
    let plan = (0..4).fold(Plan::new("roll", 6, 0), |plan, turn| {
        plan.act(turn * 1_500, 300, Fault::End(vec![turn as usize + 2]))
    });
    let (_, _) = played(&mut rig, &plan, &[0, 1], ms(0));
    agreed(&rig, 10_000, &plan);
    let herd = Plan::new("herd", 6, 0).act(0, 1_500, Fault::Kill(vec![2, 3, 4, 5]));
    // Other tokens than before, which hosts remember for a while only.
    let herd = Plan { seed: 2, ..herd };
    let (_, _) = played(&mut rig, &herd, &[0, 1], ms(0));
    agreed(&rig, 10_000, &herd);
}

#[test]
fn a_plan_read_from_its_text_is_the_same_plan() {
    for name in Plan::NAMES {
        let plan = Plan::named(name, 9).expect("it has a name");
        assert_eq!(Plan::read(&plan.text()).as_ref(), Ok(&plan));
    }
    assert!(Plan::read("{\"name\": 3}").is_err());
}

#[test]
fn strangers_floods_and_replays_change_nothing_and_ops_go_on() {
    let rig = rig(Setting::of(3));
    let view = rig.view(0).expect("it shows its view");
    let life = view["life"].as_u64().expect("it has a life");
    let log = rig.process(0).expect("it runs").log.lock().expect("nobody panics with the log").clone();
    let at =
        log.iter().find_map(|line| line.split_once("datagrams at ")?.1.split('"').next().map(str::to_string));
    let at = at.expect("it says where");
    let asking = ops(rig.process(0).expect("it runs"), ms(3_000), 9);
    let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback has free ports");
    let own = socket.local_addr().expect("it is bound").to_string();
    let good = |number: u64| Datagram {
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
    let slander = |number: u64| Rumor {
        name: "n1".to_string(),
        incarnation: life + number * 1_000_000,
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
    // Some thousands of datagrams a second, bounded in count and time.
    while began.elapsed() < ms(2_500) && sent < 20_000 {
        let bytes = match sent % 5 {
            0 => encode(&good(sent)),
            1 => encode(&Datagram { fleet_hash: hash_name("other"), ..good(sent) }),
            2 => encode(&Datagram { rumors: vec![slander(sent)], from: "n2".to_string(), ..good(sent) }),
            3 => kept[sent as usize % kept.len()].2.clone(),
            _ => vec![sent as u8; 300],
        };
        let _ = socket.send_to(&bytes, &at);
        sent += 1;
        if sent.is_multiple_of(16) {
            std::thread::sleep(ms(2));
        }
    }
    let outcome = asking.join().expect("it was played");
    audit(&rig, &[outcome], &Plan::new("flood", 3, 0));
    let view = rig.view(0).expect("it shows its view");
    assert!(view["datagrams"]["flood"].as_u64() > Some(0), "{}", view["datagrams"]);
    assert!(
        view["datagrams"]["foreign"].as_u64() > Some(0) && view["datagrams"]["garbled"].as_u64() > Some(0)
    );
    assert!(view["held"].as_u64() < Some(700), "{}", view["held"]);
    let plan = Plan::new("flood", 3, 0);
    agreed(&rig, 15_000, &plan);
    none_wrong(&rig, 0, &plan);
}

#[test]
fn a_router_that_answers_the_detector_and_serves_nobody_is_shown_so() {
    let rig = rig(Setting::of(3));
    for name in ["p-0", "r-0", "r-1"] {
        rig.town.act(name, Act::Hang);
    }
    let asking = ops(rig.process(0).expect("it runs"), ms(7_000), 9);
    until(10_000, "it serves nobody", || (1..3).all(|by| row(&rig, by, 0)["serves"] == false));
    assert_eq!(row(&rig, 1, 0)["standing"], "alive");
    assert_eq!(row(&rig, 0, 1)["serves"], true, "nobody asks the others for anything");
    for name in ["p-0", "r-0", "r-1"] {
        rig.town.act(name, Act::Serve);
    }
    let _ = asking.join();
    let again = ops(rig.process(0).expect("it runs"), ms(2_000), 10);
    until(10_000, "it serves again", || (1..3).all(|by| row(&rig, by, 0)["serves"] == true));
    let _ = again.join();
}

#[test]
fn the_number_of_routers_in_reach_replaces_the_settings_once_it_is_settled() {
    let rig = rig(Setting { told_routers: 30, more: "shares: true".to_string(), ..Setting::of(3) });
    let before = rig.view(0).expect("it shows its view")["routers"].as_f64();
    assert_eq!(before, Some(30.0), "unsure, the larger number counts");
    until(40_000, "three routers", || {
        (0..3).all(|who| rig.view(who).is_some_and(|view| view["routers"].as_f64() == Some(3.0)))
    });
}

#[test]
fn the_command_shows_the_view_of_a_running_router() {
    let rig = rig(Setting::of(3));
    let address = rig.process(1).expect("it runs").address.to_string();
    let shown =
        Command::new(env!("CARGO_BIN_EXE_arrowyard")).args(["peers", &address]).output().expect("it runs");
    let text = String::from_utf8_lossy(&shown.stdout);
    assert!(shown.status.success(), "{text}");
    assert!(text.contains("n1 reaches 3 of 3") && text.contains("n0") && text.contains("alive"), "{text}");
    let off = self::rig(Setting { off: true, ..Setting::of(1) });
    let address = off.process(0).expect("it runs").address.to_string();
    let shown =
        Command::new(env!("CARGO_BIN_EXE_arrowyard")).args(["peers", &address]).output().expect("it runs");
    assert_eq!(shown.status.code(), Some(2));
}

#[test]
fn a_drain_that_the_own_watch_does_not_tell_is_heard_of_from_others_and_looked_up() {
    // The same without news: nobody says so, and the third one goes on sending there.
    for (news, wanted) in [("news: true", true), ("", false)] {
        let mut rig = rig(Setting { more: news.to_string(), ..Setting::of(3) });
        rig.kill(2);
        // Watches that are opened from now on say nothing; those of the other two go on.
        rig.town.mute();
        rig.begin(2).expect("it starts");
        agreed(&rig, 15_000, &Plan::new("mute", 3, 0));
        rig.town.drain("r-1");
        let heard = rig.process(2).is_some_and(|process| process.said("host is Draining", ms(4_000)));
        assert_eq!(heard, wanted, "{news}");
        assert!(rig.process(0).is_some_and(|process| process.said("host is Draining", ms(1_000))));
        if wanted {
            // From then on nothing goes there beyond the grace.
            std::thread::sleep(ms(700));
            let before = rig.town.ledger().commands.get("r-1").copied().unwrap_or_default();
            let outcome = ops(rig.process(2).expect("it runs"), ms(1_500), 4).join().expect("it was played");
            audit(&rig, &[outcome], &Plan::new("mute", 3, 0));
            assert_eq!(rig.town.ledger().commands.get("r-1").copied().unwrap_or_default(), before);
        }
    }
}

#[test]
fn one_that_is_cut_off_from_all_hosts_says_that_it_serves_nobody_and_answers_all_the_same() {
    for cut in [Cut { to: true, from: true }, Cut { to: false, from: true }] {
        let rig = rig(Setting { wires: true, ..Setting::of(3) });
        until(5_000, "it serves", || {
            let outcome = ops(rig.process(2).expect("it runs"), ms(300), 1).join().expect("it was played");
            outcome.of_tenant("t").good > 3
        });
        let asked: Vec<_> =
            (0..3).map(|who| ops(rig.process(who).expect("it runs"), ms(6_000), 700 + who as u64)).collect();
        std::thread::sleep(ms(500));
        rig.wires.cut(2, cut);
        until(6_000, "it is said to serve nobody", || row(&rig, 0, 2)["serves"] == false);
        assert_eq!(row(&rig, 0, 2)["standing"], "alive", "it lives all the same");
        rig.wires.cut(2, Cut::default());
        let outcomes: Vec<Outcome> =
            asked.into_iter().map(|asked| asked.join().expect("it was played")).collect();
        let ledger = rig.town.ledger();
        assert!(ledger.applied.values().all(|times| times.len() == 1), "{cut:?}");
        for (who, outcome) in outcomes.iter().enumerate() {
            let stats = outcome.of_tenant("t");
            assert_eq!(stats.unanswered, 0, "n{who} {cut:?}");
            assert!(who == 2 || stats.share() > 0.9, "n{who} {cut:?}: {stats:?}");
            let there = |turn: &u64| ledger.applied.contains_key(&format!("{turn:016x}"));
            assert!(outcome.acked.iter().all(there), "n{who} {cut:?}");
        }
        until(8_000, "it serves again, and is said to", || {
            let _ = ops(rig.process(2).expect("it runs"), ms(300), 3).join();
            row(&rig, 0, 2)["serves"] == true
        });
    }
}

#[test]
fn one_that_is_cut_off_from_discovery_closes_a_host_that_others_say_is_leaving() {
    for news in [true, false] {
        let more = if news { "news: true" } else { "" };
        let rig = rig(Setting { wires: true, more: more.to_string(), ..Setting::of(6) });
        let listed = |who: usize| rig.process(who).expect("it runs").said("host is Ready", ms(5_000));
        assert!((0..6).all(listed));
        rig.town.cut_discovery(rig.asks[5], true);
        std::thread::sleep(ms(100));
        let asked = ops(rig.process(5).expect("it runs"), ms(6_000), 800);
        std::thread::sleep(ms(300));
        rig.town.drain("r-1");
        std::thread::sleep(ms(4_000));
        let before = rig.town.ledger().commands.get("r-1").copied().unwrap_or_default();
        let outcome = asked.join().expect("it was played");
        let after = rig.town.ledger().commands.get("r-1").copied().unwrap_or_default();
        assert_eq!(outcome.of_tenant("t").unanswered, 0);
        let closed = rig.process(5).expect("it runs").said("closed by other routers", ms(100));
        assert_eq!(closed, news);
        if news {
            assert_eq!(after, before, "it sends there no more");
            assert!(outcome.of_tenant("t").share() > 0.9, "{:?}", outcome.of_tenant("t"));
        } else {
            assert!(after > before, "without others' word it goes on");
        }
    }
}
