//! A fleet of router processes under injected faults: each router's view of the others, the invariants of
//! ops meanwhile, and that ops are served as without membership. A failing test prints its fault plan.

use std::net::UdpSocket;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use arrowyard_peers::message::{Claim, Datagram, FORMAT_VERSION, Kind, Rumor, encode, hash_name};
use arrowyard_testbed::load::{LoadResult, TenantLoad, run_load};
use arrowyard_testbed::plan::{Fault, Plan};
use arrowyard_testbed::rig::{Rig, RigConfig};
use arrowyard_testbed::router::OP_TYPES;
use arrowyard_testbed::tcp_relay::Cut;
use arrowyard_testbed::{HostBehavior, Process};
use serde_json::Value;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Starts the routers and waits until they agree on the fleet.
fn start_rig(config: RigConfig) -> Rig {
    let rig = Rig::start(Path::new(env!("CARGO_BIN_EXE_arrowyard")), config).expect("the routers start");
    if !rig.is_without_membership() {
        assert!(rig.wait_for_agreement(ms(20_000)).is_some(), "the routers agree on the fleet");
    }
    rig
}

/// Sends ops to the process for `duration` from another thread.
fn spawn_ops(process: &Process, duration: Duration, seed: u64) -> std::thread::JoinHandle<LoadResult> {
    let address = process.address;
    std::thread::spawn(move || {
        let mix = vec![(0, 3), (1, 3), (2, 2), (3, 2)];
        let load = TenantLoad {
            tenant: "t",
            group: 7,
            rate: 40.0,
            mix,
            start: Duration::ZERO,
            end: duration,
            sessions: 20,
        };
        run_load(address, &OP_TYPES, &[load], seed, |_| {})
    })
}

/// Asserts that every op was answered, no write was applied twice and every acknowledged write is stored.
fn assert_invariants(rig: &Rig, results: &[LoadResult], plan: &Plan) {
    let ledger = rig.cluster.ledger();
    let applied_twice = ledger.applied.iter().find(|(_, applications)| applications.len() > 1);
    assert_eq!(applied_twice, None, "applied twice: {}", plan.to_json());
    for result in results {
        let stats = result.tenant_stats("t");
        assert!(stats.sent > 20, "ops were sent: {}", stats.sent);
        assert_eq!(stats.unanswered, 0, "{}", plan.to_json());
        let lost_write =
            result.acked_writes.iter().find(|id| !ledger.applied.contains_key(&format!("{id:016x}")));
        assert_eq!(lost_write, None, "acknowledged but not stored: {}", plan.to_json());
        assert!(
            stats.in_target_share() > 0.9,
            "{} of ops were in target: {}",
            stats.in_target_share(),
            plan.to_json()
        );
    }
}

/// Runs a fault plan while ops are sent to the `unaffected` routers, and asserts the invariants of the ops.
/// Returns the time at which the plan began.
fn run_plan_with_load(
    rig: &mut Rig,
    plan: &Plan,
    unaffected: &[usize],
    settle_time: Duration,
) -> (i64, Vec<LoadResult>) {
    let first_ms = plan.faults.iter().map(|planned| planned.at_ms).min().unwrap_or_default();
    let last_ms =
        plan.faults.iter().map(|planned| planned.at_ms + planned.duration_ms).max().unwrap_or_default();
    let duration = ms(last_ms - first_ms) + settle_time;
    let load_threads: Vec<_> = unaffected
        .iter()
        .map(|&index| {
            spawn_ops(rig.process(index).expect("the router runs"), duration, index as u64 + 100 * plan.seed)
        })
        .collect();
    let start_us = rig.run_plan(plan, settle_time);
    let results: Vec<LoadResult> = load_threads
        .into_iter()
        .map(|load_thread| load_thread.join().expect("the load has been sent"))
        .collect();
    assert_invariants(rig, &results, plan);
    (start_us, results)
}

/// Asserts that no running router was considered lost or dead.
fn assert_no_false_deaths(rig: &Rig, start_us: i64, plan: &Plan) {
    let false_deaths = rig.false_deaths(start_us, |_, _| true);
    assert!(
        false_deaths.is_empty(),
        "{:?} of {}: {}",
        false_deaths.first(),
        false_deaths.len(),
        plan.to_json()
    );
}

/// Asserts that all routers agree on the fleet within `timeout_ms`.
fn assert_agreement(rig: &Rig, timeout_ms: u64, plan: &Plan) {
    let agreement_time = rig.wait_for_agreement(ms(timeout_ms));
    assert!(agreement_time.is_some(), "no agreement within {timeout_ms} ms: {}", plan.to_json());
}

/// The row of router `member` in the view of router `observer`.
fn member_row(rig: &Rig, observer: usize, member: usize) -> Value {
    let view = rig.view(observer).expect("the router shows its view");
    let name = format!("n{member}");
    let rows = view["peers"].as_array().cloned().unwrap_or_default();
    rows.into_iter().find(|candidate| candidate["name"] == name.as_str()).unwrap_or_default()
}

/// Waits until the condition holds.
fn wait_until(timeout_ms: u64, condition: &str, mut holds: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !holds() {
        assert!(started_at.elapsed() < ms(timeout_ms), "not within {timeout_ms} ms: {condition}");
        std::thread::sleep(ms(20));
    }
}

#[test]
fn a_crash_is_detected_by_all_and_distinguished_from_a_shutdown() {
    let mut rig = start_rig(RigConfig::new(5));
    let plan = Plan::new("crash", 5, 0).with_fault(0, 4_000, Fault::Kill(vec![4]));
    let (start_us, _) = run_plan_with_load(&mut rig, &plan, &[0, 1], ms(0));
    for observer in 0..4 {
        let changes = rig.standing_changes();
        let detection = changes.iter().find(|change| {
            change.observer == observer
                && change.member == 4
                && change.mono_us > start_us
                && change.is_lost_or_dead()
        });
        let detection_ms =
            detection.map(|change| (change.mono_us - start_us) / 1000).expect("the crash was detected");
        assert!(detection_ms < 3_500, "n{observer} took {detection_ms} ms: {}", plan.to_json());
        assert_eq!(
            detection.map(|change| &*change.standing),
            Some("Dead"),
            "refused datagrams confirm the crash"
        );
    }
    assert_agreement(&rig, 10_000, &plan);
    // A shutdown, after which the router restarts with the same name.
    assert_eq!(rig.shut_down(3), Some(0));
    wait_until(5_000, "a shutdown", || {
        (0..3).all(|observer| member_row(&rig, observer, 3)["standing"] == "left")
    });
    rig.start_process(3).expect("the router restarts");
    assert_agreement(&rig, 10_000, &plan);
    let death =
        rig.standing_changes().into_iter().find(|change| change.member == 3 && change.is_lost_or_dead());
    assert_eq!(death, None, "a shutdown is not a death");
}

#[test]
fn pauses_cause_no_false_deaths_and_resumed_routers_doubt_themselves_first() {
    let mut rig = start_rig(RigConfig::new(6));
    let plan = Plan::new("halts", 6, 0)
        .with_fault(0, 3_000, Fault::Pause(vec![1, 4]))
        .with_fault(4_500, 500, Fault::Pause(vec![2]))
        .with_fault(6_000, 1_500, Fault::Pause((0..6).collect()));
    let start_us = rig.run_plan(&plan, ms(500));
    assert_no_false_deaths(&rig, start_us, &plan);
    assert_agreement(&rig, 10_000, &plan);
    assert!(
        rig.process(1).is_some_and(|process| process.wait_for_log("the process was stalled", ms(100))),
        "the router notices its own pause"
    );
    // A resumed router reports no other router within the next second.
    let resumed_us = start_us + 3_000_000;
    let is_report = |change: &&arrowyard_testbed::rig::StandingChange| {
        (change.observer == 1 || change.observer == 4)
            && change.mono_us > resumed_us
            && change.mono_us < resumed_us + 1_000_000
            && change.standing != "Alive"
    };
    let report = rig.standing_changes().iter().find(is_report).cloned();
    assert_eq!(report, None);
}

#[test]
fn a_cpu_starved_router_is_not_declared_dead() {
    let mut rig = start_rig(RigConfig::new(5));
    let plan = (0..16).fold(Plan::new("starved", 5, 0), |plan, round| {
        plan.with_fault(round * 500, 350, Fault::Pause(vec![2]))
    });
    let start_us = rig.run_plan(&plan, ms(500));
    assert_no_false_deaths(&rig, start_us, &plan);
    assert_agreement(&rig, 10_000, &plan);
}

#[test]
fn lost_duplicated_delayed_and_corrupted_datagrams_cause_no_false_deaths() {
    let mut rig = start_rig(RigConfig::new(6));
    let plan = Plan::new("rough", 6, 0)
        .with_fault(0, 8_000, Fault::PacketLoss(0.3))
        .with_fault(0, 8_000, Fault::Duplication(0.2))
        .with_fault(0, 8_000, Fault::Corruption(0.05))
        .with_fault(0, 8_000, Fault::Delay { ms: 20 });
    let (start_us, _) = run_plan_with_load(&mut rig, &plan, &[0], ms(500));
    assert_no_false_deaths(&rig, start_us, &plan);
    assert_agreement(&rig, 10_000, &plan);
    let corrupted = rig.view(0).expect("the router shows its view")["datagrams"]["garbled"].as_u64();
    assert!(corrupted > Some(0), "corrupted datagrams were counted: {corrupted:?}");
}

#[test]
fn one_way_partitions_with_an_indirect_path_cause_no_false_deaths_and_are_shown() {
    let mut rig = start_rig(RigConfig::new(6));
    let ring_plan = (0..6).fold(Plan::new("ring", 6, 0), |plan, sender| {
        plan.with_fault(0, 9_000, Fault::OneWayPartition(vec![sender], vec![(sender + 1) % 6]))
    });
    let (start_us, _) = run_plan_with_load(&mut rig, &ring_plan, &[0], ms(0));
    assert_no_false_deaths(&rig, start_us, &ring_plan);
    // A router that receives nothing, while all others receive its datagrams.
    let deaf_router_plan = Plan::new("all-to-one", 6, 0).with_fault(
        0,
        9_000,
        Fault::OneWayPartition(vec![0, 2, 3, 4, 5], vec![1]),
    );
    let start_us = rig.run_plan(&deaf_router_plan, ms(0));
    assert_no_false_deaths(&rig, start_us, &deaf_router_plan);
    assert_agreement(&rig, 10_000, &deaf_router_plan);
    // While the partition lasts, the view shows which router does not receive this one's datagrams.
    let one_way_plan =
        Plan::new("one-side", 6, 0).with_fault(0, 30_000, Fault::OneWayPartition(vec![0], vec![1]));
    rig.run_plan(&Plan { faults: vec![], ..one_way_plan.clone() }, ms(0));
    rig.peer_relays.cut(99, [(0, 1)].into());
    wait_until(12_000, "the one-way partition is shown", || {
        let reach = member_row(&rig, 0, 1)["reach"].clone();
        reach == "heard, does not hear this router" || reach == "by others only"
    });
    rig.peer_relays.heal(99);
    assert_agreement(&rig, 10_000, &one_way_plan);
}

#[test]
fn a_cut_in_halves_is_known_on_both_sides_and_heals_to_one_view() {
    let mut rig = start_rig(RigConfig { peers_fields: "shares: true".to_string(), ..RigConfig::new(6) });
    let plan = Plan::new("halves", 6, 0).with_fault(0, 9_000, Fault::Partition(vec![0, 1], vec![2, 3, 4, 5]));
    let load_threads: Vec<_> = [0, 2]
        .iter()
        .map(|&index| spawn_ops(rig.process(index).expect("the router runs"), ms(9_000), 3))
        .collect();
    // The cut stands until the views have been read: once it heals, the halves find each other again.
    let cut_pairs = [0, 1]
        .into_iter()
        .flat_map(|first| (2..6).flat_map(move |second| [(first, second), (second, first)]));
    rig.peer_relays.cut(99, cut_pairs.collect());
    rig.run_plan(&Plan { faults: vec![], ..plan.clone() }, ms(9_000));
    for (index, reach) in [(0, 2), (1, 2), (2, 4), (5, 4)] {
        let view = rig.view(index).expect("the router shows its view");
        assert_eq!(
            (&view["reach"], &view["whole"]),
            (&reach.into(), &6.into()),
            "n{index}: {}",
            plan.to_json()
        );
        // The minority does not use the others' shares, nor does the majority this soon.
        assert!(view["routers"].as_f64() >= Some(6.0), "{}", view["routers"]);
    }
    rig.peer_relays.heal(99);
    assert_agreement(&rig, 8_000, &plan);
    let results: Vec<LoadResult> = load_threads
        .into_iter()
        .map(|load_thread| load_thread.join().expect("the load has been sent"))
        .collect();
    assert_invariants(&rig, &results, &plan);
}

#[test]
fn a_flapping_partition_causes_no_false_deaths() {
    let mut rig = start_rig(RigConfig::new(5));
    let plan = (0..4).fold(Plan::new("flapping", 5, 0), |plan, round| {
        plan.with_fault(round * 4_000, 2_000, Fault::Partition(vec![0, 1], vec![2, 3, 4]))
    });
    let start_us = rig.run_plan(&plan, ms(0));
    assert_no_false_deaths(&rig, start_us, &plan);
    assert_agreement(&rig, 8_000, &plan);
}

#[test]
fn routers_agree_after_a_rolling_restart_and_after_most_are_killed() {
    let mut rig = start_rig(RigConfig::new(6));
    let plan = (0..4).fold(Plan::new("roll", 6, 0), |plan, round| {
        plan.with_fault(round * 1_500, 300, Fault::Shutdown(vec![round as usize + 2]))
    });
    let (_, _) = run_plan_with_load(&mut rig, &plan, &[0, 1], ms(0));
    assert_agreement(&rig, 10_000, &plan);
    let mass_kill_plan = Plan::new("herd", 6, 0).with_fault(0, 1_500, Fault::Kill(vec![2, 3, 4, 5]));
    // Another seed, so that the tokens differ from those the hosts remember.
    let mass_kill_plan = Plan { seed: 2, ..mass_kill_plan };
    let (_, _) = run_plan_with_load(&mut rig, &mass_kill_plan, &[0, 1], ms(0));
    assert_agreement(&rig, 10_000, &mass_kill_plan);
}

#[test]
fn a_fault_plan_round_trips_through_json() {
    for name in Plan::NAMES {
        let plan = Plan::named(name, 9).expect("the plan has a name");
        assert_eq!(Plan::from_json(&plan.to_json()).as_ref(), Ok(&plan));
    }
    assert!(Plan::from_json("{\"name\": 3}").is_err());
}

#[test]
fn foreign_flooding_and_replayed_datagrams_do_not_affect_membership_or_ops() {
    let rig = start_rig(RigConfig::new(3));
    let view = rig.view(0).expect("the router shows its view");
    let incarnation = view["life"].as_u64().expect("the view has an incarnation");
    let log = rig.process(0).expect("the router runs").log.lock().expect("the log is not poisoned").clone();
    let address =
        log.iter().find_map(|line| line.split_once("datagrams at ")?.1.split('"').next().map(str::to_string));
    let address = address.expect("the router logs its address");
    let load_thread = spawn_ops(rig.process(0).expect("the router runs"), ms(3_000), 9);
    let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback has free ports");
    let own_address = socket.local_addr().expect("the socket is bound").to_string();
    let valid_datagram = |number: u64| Datagram {
        version: FORMAT_VERSION,
        min_version: 1,
        fleet_hash: hash_name("rig"),
        from: format!("x{number}"),
        incarnation: 1,
        nonce: number,
        address: own_address.clone(),
        kind: Kind::Ping as i32,
        sent_us: number,
        ..Datagram::default()
    };
    let false_rumor = |number: u64| Rumor {
        name: "n1".to_string(),
        incarnation: incarnation + number * 1_000_000,
        claim: Claim::Dead as i32,
        address: own_address.clone(),
        nonce: 5,
        reporters: vec!["n2".to_string(), "n0".to_string()],
        refused: true,
        ..Rumor::default()
    };
    let started_at = Instant::now();
    let recorded = rig.peer_relays.recorded();
    let mut sent = 0_u64;
    // Thousands of datagrams per second, bounded in number and time.
    while started_at.elapsed() < ms(2_500) && sent < 20_000 {
        let bytes = match sent % 5 {
            0 => encode(&valid_datagram(sent)),
            1 => encode(&Datagram { fleet_hash: hash_name("other"), ..valid_datagram(sent) }),
            2 => encode(&Datagram {
                rumors: vec![false_rumor(sent)],
                from: "n2".to_string(),
                ..valid_datagram(sent)
            }),
            3 => recorded[sent as usize % recorded.len()].2.clone(),
            _ => vec![sent as u8; 300],
        };
        let _ = socket.send_to(&bytes, &address);
        sent += 1;
        if sent.is_multiple_of(16) {
            std::thread::sleep(ms(2));
        }
    }
    let result = load_thread.join().expect("the load has been sent");
    assert_invariants(&rig, &[result], &Plan::new("flood", 3, 0));
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
    let rig = start_rig(RigConfig::new(3));
    for name in ["p-0", "r-0", "r-1"] {
        rig.cluster.set_behavior(name, HostBehavior::Hang);
    }
    let load_thread = spawn_ops(rig.process(0).expect("the router runs"), ms(7_000), 9);
    wait_until(10_000, "the router serves no ops", || {
        (1..3).all(|observer| member_row(&rig, observer, 0)["serves"] == false)
    });
    assert_eq!(member_row(&rig, 1, 0)["standing"], "alive");
    assert_eq!(member_row(&rig, 0, 1)["serves"], true, "the other routers get no ops");
    for name in ["p-0", "r-0", "r-1"] {
        rig.cluster.set_behavior(name, HostBehavior::Serve);
    }
    let _ = load_thread.join();
    let load_thread = spawn_ops(rig.process(0).expect("the router runs"), ms(2_000), 10);
    wait_until(10_000, "the router serves ops again", || {
        (1..3).all(|observer| member_row(&rig, observer, 0)["serves"] == true)
    });
    let _ = load_thread.join();
}

#[test]
fn the_number_of_reachable_routers_replaces_the_configured_one_once_stable() {
    let rig = start_rig(RigConfig {
        configured_routers: 30,
        peers_fields: "shares: true".to_string(),
        ..RigConfig::new(3)
    });
    let initial_count = rig.view(0).expect("the router shows its view")["routers"].as_f64();
    assert_eq!(initial_count, Some(30.0), "the configured number counts until the view is stable");
    wait_until(40_000, "three routers", || {
        (0..3).all(|index| rig.view(index).is_some_and(|view| view["routers"].as_f64() == Some(3.0)))
    });
}

#[test]
fn the_peers_command_shows_the_view_of_a_running_router() {
    let rig = start_rig(RigConfig::new(3));
    let address = rig.process(1).expect("the router runs").address.to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_arrowyard"))
        .args(["peers", &address])
        .output()
        .expect("the router runs");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
    assert!(text.contains("n1 reaches 3 of 3") && text.contains("n0") && text.contains("alive"), "{text}");
    let without_membership = start_rig(RigConfig { without_membership: true, ..RigConfig::new(1) });
    let address = without_membership.process(0).expect("the router runs").address.to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_arrowyard"))
        .args(["peers", &address])
        .output()
        .expect("the router runs");
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn a_drain_missed_by_the_own_watch_is_learned_from_other_routers() {
    // With news from other routers, and without: then the third router keeps sending to the host.
    for (peers_fields, expected) in [("news: true", true), ("", false)] {
        let mut rig = start_rig(RigConfig { peers_fields: peers_fields.to_string(), ..RigConfig::new(3) });
        rig.kill(2);
        // Watches opened from now on stay silent; those of the other two routers continue.
        rig.cluster.silence_new_watches();
        rig.start_process(2).expect("the routers start");
        assert_agreement(&rig, 15_000, &Plan::new("mute", 3, 0));
        rig.cluster.drain("r-1");
        let learned =
            rig.process(2).is_some_and(|process| process.wait_for_log("host is Draining", ms(4_000)));
        assert_eq!(learned, expected, "{peers_fields}");
        assert!(rig.process(0).is_some_and(|process| process.wait_for_log("host is Draining", ms(1_000))));
        if expected {
            // After the grace period the host gets no more sends.
            std::thread::sleep(ms(700));
            let commands_before = rig.cluster.ledger().commands.get("r-1").copied().unwrap_or_default();
            let result = spawn_ops(rig.process(2).expect("the router runs"), ms(1_500), 4)
                .join()
                .expect("the load has been sent");
            assert_invariants(&rig, &[result], &Plan::new("mute", 3, 0));
            assert_eq!(
                rig.cluster.ledger().commands.get("r-1").copied().unwrap_or_default(),
                commands_before
            );
        }
    }
}

#[test]
fn a_router_without_reachable_hosts_reports_it_and_still_replies() {
    for cut in [Cut { to_hosts: true, from_hosts: true }, Cut { to_hosts: false, from_hosts: true }] {
        let rig = start_rig(RigConfig { use_tcp_relays: true, ..RigConfig::new(3) });
        wait_until(5_000, "the router serves ops", || {
            let result = spawn_ops(rig.process(2).expect("the router runs"), ms(300), 1)
                .join()
                .expect("the load has been sent");
            result.tenant_stats("t").in_target > 3
        });
        let load_threads: Vec<_> = (0..3)
            .map(|index| {
                spawn_ops(rig.process(index).expect("the router runs"), ms(6_000), 700 + index as u64)
            })
            .collect();
        std::thread::sleep(ms(500));
        rig.tcp_relays.set_cut(2, cut);
        wait_until(6_000, "the router is shown as serving no ops", || {
            member_row(&rig, 0, 2)["serves"] == false
        });
        assert_eq!(member_row(&rig, 0, 2)["standing"], "alive", "the router is alive");
        rig.tcp_relays.set_cut(2, Cut::default());
        let results: Vec<LoadResult> = load_threads
            .into_iter()
            .map(|load_thread| load_thread.join().expect("the load has been sent"))
            .collect();
        let ledger = rig.cluster.ledger();
        assert!(ledger.applied.values().all(|applications| applications.len() == 1), "{cut:?}");
        for (index, result) in results.iter().enumerate() {
            let stats = result.tenant_stats("t");
            assert_eq!(stats.unanswered, 0, "n{index} {cut:?}");
            assert!(index == 2 || stats.in_target_share() > 0.9, "n{index} {cut:?}: {stats:?}");
            let is_stored = |id: &u64| ledger.applied.contains_key(&format!("{id:016x}"));
            assert!(result.acked_writes.iter().all(is_stored), "n{index} {cut:?}");
        }
        wait_until(8_000, "the router serves ops again and is shown so", || {
            let _ = spawn_ops(rig.process(2).expect("the router runs"), ms(300), 3).join();
            member_row(&rig, 0, 2)["serves"] == true
        });
    }
}

#[test]
fn a_router_cut_off_from_discovery_stops_using_a_host_that_others_report_as_draining() {
    for news in [true, false] {
        let peers_fields = if news { "news: true" } else { "" };
        let rig = start_rig(RigConfig {
            use_tcp_relays: true,
            peers_fields: peers_fields.to_string(),
            ..RigConfig::new(6)
        });
        let received_list = |index: usize| {
            rig.process(index).expect("the router runs").wait_for_log("host is Ready", ms(5_000))
        };
        assert!((0..6).all(received_list));
        rig.cluster.set_discovery_cut(rig.discovery_addresses[5], true);
        std::thread::sleep(ms(100));
        let load_thread = spawn_ops(rig.process(5).expect("the router runs"), ms(6_000), 800);
        std::thread::sleep(ms(300));
        rig.cluster.drain("r-1");
        std::thread::sleep(ms(4_000));
        let commands_before = rig.cluster.ledger().commands.get("r-1").copied().unwrap_or_default();
        let result = load_thread.join().expect("the load has been sent");
        let commands_after = rig.cluster.ledger().commands.get("r-1").copied().unwrap_or_default();
        assert_eq!(result.tenant_stats("t").unanswered, 0);
        let closed_by_others = rig
            .process(5)
            .expect("the router runs")
            .wait_for_log("reported as draining by other routers", ms(100));
        assert_eq!(closed_by_others, news);
        if news {
            assert_eq!(commands_after, commands_before, "no more sends to the host");
            assert!(result.tenant_stats("t").in_target_share() > 0.9, "{:?}", result.tenant_stats("t"));
        } else {
            assert!(commands_after > commands_before, "without news the router keeps sending");
        }
    }
}
