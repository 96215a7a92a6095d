//! Several router processes that vote on leases and compete for them, under injected faults. A recorder
//! receives the effects of the lease holders, and its history is audited. A failing test prints its fault
//! plan.

use std::path::Path;
use std::time::{Duration, Instant};

use arrowyard_testbed::effect_recorder::{Effect, EffectRecorder, audit};
use arrowyard_testbed::lease_scenario;
use arrowyard_testbed::plan::{Fault, Plan};
use arrowyard_testbed::rig::{Rig, RigConfig, monotonic_us};
use arrowyard_testbed::tcp_relay::Cut;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const TERM_MS: u64 = 800;

/// Starts `processes` routers, the first three of them voters, with a duty that runs every 20 ms.
fn start_rig(processes: usize, recorder: &EffectRecorder, overrides: RigConfig) -> Rig {
    let duty = format!("duty {{ name: \"task\" at: \"{}\" every_ms: 20 takes_ms: 150 }}", recorder.address);
    let leases_fields = format!("term_ms: {TERM_MS} {duty} {}", overrides.leases_fields);
    let config = RigConfig {
        processes,
        configured_routers: processes,
        without_membership: true,
        voters: 3,
        leases_fields,
        ..overrides
    };
    Rig::start(Path::new(env!("CARGO_BIN_EXE_arrowyard")), config).expect("the routers start")
}

/// A configuration for `start_rig`, which sets the number of processes.
fn default_config() -> RigConfig {
    RigConfig::new(0)
}

/// Waits until the condition holds.
fn wait_until(timeout_ms: u64, condition: &str, mut holds: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !holds() {
        assert!(started_at.elapsed() < ms(timeout_ms), "not within {timeout_ms} ms: {condition}");
        std::thread::sleep(ms(10));
    }
}

/// The router that shows itself as the lease holder.
fn find_holder(rig: &Rig) -> Option<usize> {
    let holds = |index: &usize| {
        let leases = rig.show(*index, "leases").unwrap_or_default();
        leases["leases"][0]["held"] == true
    };
    rig.running().into_iter().find(holds)
}

/// Waits until a router shows itself as the lease holder.
fn wait_for_holder(rig: &Rig) -> usize {
    let started_at = Instant::now();
    loop {
        if let Some(holder_index) = find_holder(rig) {
            return holder_index;
        }
        if started_at.elapsed() >= ms(TERM_MS * 6) {
            // Prints every router's view, to show why there is no holder.
            let view = |index: usize| format!("{index}: {}", rig.show(index, "leases").unwrap_or_default());
            let views: Vec<String> = rig.running().into_iter().map(view).collect();
            panic!("not within {} ms: a holder\n{}", TERM_MS * 6, views.join("\n"));
        }
        std::thread::sleep(ms(10));
    }
}

/// Audits the history of effects and asserts that effects were accepted after `since_us`.
fn assert_audit_passes(
    recorder: &EffectRecorder,
    allow_overlap: bool,
    since_us: i64,
    context: &str,
) -> Vec<Effect> {
    let effects = recorder.effects();
    let violations = audit(&effects, allow_overlap);
    assert!(violations.is_empty(), "{:?} of {}: {context}", violations.first(), violations.len());
    assert!(
        effects.iter().any(|effect| effect.accepted && effect.received_us > since_us),
        "no effect: {context}"
    );
    effects
}

/// Milliseconds from `since_us` to the first later effect of an epoch above `epoch`.
fn wait_for_newer_epoch(recorder: &EffectRecorder, since_us: i64, epoch: u64) -> i64 {
    let mut effect = None;
    wait_until(TERM_MS * 8, "an effect of a newer epoch", || {
        effect = recorder.effects().into_iter().find(|candidate| {
            candidate.accepted && candidate.epoch > epoch && candidate.received_us > since_us
        });
        effect.is_some()
    });
    (effect.expect("an effect was found").received_us - since_us) / 1000
}

/// The highest epoch of an effect, also of rejected ones.
fn newest_epoch(recorder: &EffectRecorder) -> u64 {
    recorder.effects().iter().map(|effect| effect.epoch).max().unwrap_or_default()
}

#[test]
fn another_router_takes_over_after_a_kill_and_at_once_after_a_shutdown() {
    let recorder = EffectRecorder::start(ms(10));
    let mut rig = start_rig(5, &recorder, default_config());
    let first_holder = wait_for_holder(&rig);
    wait_until(3_000, "the holder acts", || recorder.effects().len() > 10);
    let epoch_before = newest_epoch(&recorder);
    let killed_us = monotonic_us();
    rig.kill(first_holder);
    let takeover_ms = wait_for_newer_epoch(&recorder, killed_us, epoch_before);
    assert!(takeover_ms < TERM_MS as i64 + 1_500, "after a kill {takeover_ms} ms");
    assert_audit_passes(&recorder, false, killed_us, "kill");
    rig.start_process(first_holder).expect("the router restarts");
    let second_holder = wait_for_holder(&rig);
    std::thread::sleep(ms(TERM_MS + 300));
    let epoch_before = newest_epoch(&recorder);
    let requested_us = monotonic_us();
    assert_eq!(rig.shut_down(second_holder), Some(0));
    let released_us =
        rig.log_entries("lease is released").into_iter().rfind(|(index, _)| *index == second_holder);
    let released_us =
        released_us.and_then(|(_, line)| line["mono_us"].as_i64()).expect("the release is logged");
    let takeover_ms = wait_for_newer_epoch(&recorder, released_us, epoch_before);
    assert!(
        takeover_ms < TERM_MS as i64 && released_us - requested_us < 200_000,
        "after a shutdown {takeover_ms} ms, released after {} us",
        released_us - requested_us
    );
    assert_audit_passes(&recorder, false, released_us, "shutdown");
    let leases = rig
        .show((0..5).find(|index| *index != second_holder).expect("another router runs"), "leases")
        .expect("the router shows its leases");
    assert!(leases["leases"][0]["epoch"].as_u64() >= Some(epoch_before), "{leases}");
}

#[test]
fn a_paused_holder_does_not_overwrite_effects_of_its_successor() {
    let recorder = EffectRecorder::start(ms(10));
    let rig = start_rig(4, &recorder, default_config());
    for round in 0..4 {
        let first_holder = wait_for_holder(&rig);
        let epoch_before = newest_epoch(&recorder);
        std::thread::sleep(ms(50 + round * 7));
        let paused_us = monotonic_us();
        rig.process(first_holder).expect("the router runs").signal("STOP");
        wait_for_newer_epoch(&recorder, paused_us, epoch_before);
        rig.process(first_holder).expect("the router runs").signal("CONT");
        std::thread::sleep(ms(300));
        assert_audit_passes(&recorder, true, paused_us, "pause");
    }
}

#[test]
fn the_audit_finds_stale_effects_if_the_recorder_does_not_check_epochs() {
    // Guards against an audit that never fails: an effect of an older epoch arrives after one of a newer
    // epoch.
    let new_effect = |holder: &str, epoch, received_us| Effect {
        lease: "task".to_string(),
        epoch,
        holder: holder.to_string(),
        received_us,
        completed_us: received_us + 1,
        accepted: true,
    };
    let recorder = EffectRecorder::start(ms(1));
    recorder.ignore_epochs();
    let send_effect = |holder: &str, epoch: u64| {
        let request = format!("POST / HTTP/1.1\r\nLease: task\r\nEpoch: {epoch}\r\nHolder: {holder}\r\n\r\n");
        let mut stream = std::net::TcpStream::connect(recorder.address).expect("the recorder listens");
        std::io::Write::write_all(&mut stream, request.as_bytes()).expect("the recorder reads");
        std::io::Read::read_to_string(&mut stream, &mut String::new()).expect("the recorder replies");
    };
    send_effect("y", 2);
    send_effect("x", 1);
    let violations = audit(&recorder.effects(), true);
    assert_eq!(violations.len(), 1, "{violations:?}");
    assert_eq!(audit(&[new_effect("y", 2, 0), new_effect("x", 1, 10)], true).len(), 1);
}

#[test]
fn lost_duplicated_and_delayed_messages_and_one_way_partitions_leave_one_holder() {
    let plans = [
        Plan::new("rough", 5, 0)
            .with_fault(0, 4_000, Fault::PacketLoss(0.2))
            .with_fault(0, 4_000, Fault::Duplication(0.2))
            .with_fault(0, 4_000, Fault::Delay { ms: 30 }),
        // Router 0 first cannot send to the other voters, then cannot receive from them.
        Plan::new("one-sided", 5, 0)
            .with_fault(0, 2_000, Fault::OneWayPartition(vec![0], vec![1, 2]))
            .with_fault(2_500, 2_000, Fault::OneWayPartition(vec![1, 2], vec![0]))
            .with_fault(2_500, 2_000, Fault::OneWayPartition(vec![3], vec![0, 1])),
        Plan::new("parts", 5, 0).with_fault(0, 3_000, Fault::Partition(vec![0, 3], vec![1, 2, 4])),
    ];
    let recorder = EffectRecorder::start(ms(10));
    let mut rig = start_rig(5, &recorder, default_config());
    wait_for_holder(&rig);
    for plan in &plans {
        let start_us = rig.run_plan(plan, ms(TERM_MS * 2));
        assert_audit_passes(&recorder, false, start_us, &plan.to_json());
        wait_for_holder(&rig);
    }
}

#[test]
fn voters_with_lost_old_or_damaged_votes_wait_before_voting_again() {
    let recorder = EffectRecorder::start(ms(10));
    let mut rig = start_rig(5, &recorder, default_config());
    let first_holder = wait_for_holder(&rig);
    let old_votes = std::fs::read(rig.vote_store_path(2).join("votes")).expect("votes are stored");
    // The holder changes, so that the epoch increases.
    rig.kill(first_holder);
    std::thread::sleep(ms(100));
    rig.start_process(first_holder).expect("the router restarts");
    wait_for_holder(&rig);
    for (index, state) in [(1, "lost"), (2, "older"), (0, "damaged")] {
        let start_us = monotonic_us();
        let epoch_before = newest_epoch(&recorder);
        rig.kill(index);
        let path = rig.vote_store_path(index).join("votes");
        match state {
            "lost" => std::fs::remove_file(&path).expect("the file exists"),
            "older" => std::fs::write(&path, &old_votes).expect("the file can be written"),
            _ => std::fs::write(&path, b"AYLV something else").expect("the file can be written"),
        }
        rig.start_process(index).expect("the router starts with any vote file");
        let has_logged = |text: &str| {
            rig.process(index).is_some_and(|process| process.wait_for_log(text, ms(TERM_MS * 6)))
        };
        assert!(has_logged("waits out the longest lease") && has_logged("voter votes"), "{state}");
        if state != "older" {
            assert!(has_logged("asks the other voters"), "{state}");
        }
        wait_for_holder(&rig);
        std::thread::sleep(ms(200));
        assert_audit_passes(&recorder, false, start_us, state);
        assert!(newest_epoch(&recorder) >= epoch_before, "{state}");
    }
}

#[test]
fn voters_restarted_together_grant_nothing_until_the_longest_lease_has_expired() {
    let recorder = EffectRecorder::start(ms(10));
    let mut rig = start_rig(5, &recorder, default_config());
    wait_for_holder(&rig);
    let start_us = monotonic_us();
    (0..3).for_each(|index| rig.kill(index));
    (0..3).for_each(|index| rig.start_process(index).expect("the routers start"));
    let restarted_us = monotonic_us();
    let first_held_us = |rig: &Rig| {
        let lines = rig.log_entries("lease is held");
        lines
            .iter()
            .filter_map(|(_, line)| line["mono_us"].as_i64())
            .filter(|mono_us| *mono_us > start_us)
            .min()
    };
    wait_until(TERM_MS * 6, "a new holder", || first_held_us(&rig).is_some());
    let held_us = first_held_us(&rig).expect("the lease is held");
    // Measured from the kill, since the first voter started before `restarted_us`.
    assert!(
        held_us - start_us > (TERM_MS as i64) * 1000,
        "{} us after the kill, restarted after {}",
        held_us - start_us,
        restarted_us - start_us
    );
    std::thread::sleep(ms(300));
    assert_audit_passes(&recorder, false, start_us, "restart of all voters");
}

#[test]
fn without_a_majority_there_is_no_holder_and_ops_are_served() {
    let recorder = EffectRecorder::start(ms(10));
    let mut rig = start_rig(4, &recorder, default_config());
    wait_for_holder(&rig);
    (1..3).for_each(|index| rig.kill(index));
    std::thread::sleep(ms(TERM_MS + 400));
    let effects_before = recorder.effects().len();
    let result = arrowyard_testbed::load::run_load(
        rig.process(3).expect("the router runs").address,
        &arrowyard_testbed::router::OP_TYPES,
        &[arrowyard_testbed::load::TenantLoad {
            tenant: "t",
            group: 7,
            rate: 60.0,
            mix: vec![(0, 3), (1, 3), (2, 2), (3, 2)],
            start: Duration::ZERO,
            end: ms(1_500),
            sessions: 20,
        }],
        5,
        |_| {},
    );
    assert!(result.tenant_stats("t").in_target_share() > 0.95 && result.tenant_stats("t").unanswered == 0);
    assert_eq!(recorder.effects().len(), effects_before, "there is no holder");
    assert_eq!(find_holder(&rig), None);
    (1..3).for_each(|index| rig.start_process(index).expect("the routers start"));
    wait_for_holder(&rig);
    let start_us = monotonic_us();
    std::thread::sleep(ms(200));
    assert_audit_passes(&recorder, false, start_us, "majority restored");
}

#[test]
fn clock_drift_beyond_the_bound_is_reported_and_drift_within_it_is_tolerated() {
    let recorder = EffectRecorder::start(ms(10));
    // 900 ppm fast and slow, within the drift bound.
    let mut within_bound = start_rig(
        4,
        &recorder,
        RigConfig { clock_drifts_ppm: vec![900, -900, 900, -900], ..default_config() },
    );
    let start_us = monotonic_us();
    for _ in 0..2 {
        let first_holder = wait_for_holder(&within_bound);
        within_bound.kill(first_holder);
        std::thread::sleep(ms(50));
        within_bound.start_process(first_holder).expect("the router restarts");
    }
    wait_for_holder(&within_bound);
    std::thread::sleep(ms(300));
    assert_audit_passes(&recorder, false, start_us, "clocks within the bound");
    drop(within_bound);
    // 30 % too fast: reported after enough time.
    let recorder = EffectRecorder::start(ms(10));
    let beyond_bound =
        start_rig(3, &recorder, RigConfig { clock_drifts_ppm: vec![0, 0, 300_000], ..default_config() });
    wait_for_holder(&beyond_bound);
    wait_until(15_000, "drift is reported", || {
        !beyond_bound.log_entries("drifts beyond the bound").is_empty()
    });
}

#[test]
fn random_fault_plans_pass_the_audit_and_end_with_a_holder() {
    let program = Path::new(env!("CARGO_BIN_EXE_arrowyard"));
    std::thread::scope(|scope| {
        // Two threads only: each plan holds many file descriptors, in addition to those of the other tests.
        let threads: Vec<_> = (0..2)
            .map(|thread_index: u64| {
                scope.spawn(move || {
                    for seed in (thread_index * 10)..(thread_index * 10 + 10) {
                        let plan = lease_scenario::random_plan(1000 + seed, 5);
                        let result = lease_scenario::run(program, &plan).expect("the plan runs");
                        assert!(result.violations.is_empty(), "{:?}: {}", result.violations, plan.to_json());
                        assert!(result.recovery_ms.is_some(), "no holder at the end: {}", plan.to_json());
                    }
                })
            })
            .collect();
        threads.into_iter().for_each(|thread| thread.join().expect("all plans pass"));
    });
}

#[test]
fn a_holder_without_reachable_hosts_gives_up_its_lease() {
    let recorder = EffectRecorder::start(ms(10));
    let duty = format!("duty {{ name: \"task\" at: \"{}\" every_ms: 20 takes_ms: 150 }}", recorder.address);
    let config = RigConfig {
        voters: 3,
        leases_fields: format!("term_ms: {TERM_MS} {duty}"),
        use_tcp_relays: true,
        ..RigConfig::new(4)
    };
    let rig = Rig::start(Path::new(env!("CARGO_BIN_EXE_arrowyard")), config).expect("the routers start");
    assert!(rig.wait_for_agreement(ms(15_000)).is_some());
    let first_holder = wait_for_holder(&rig);
    let epoch_before = newest_epoch(&recorder);
    let address = rig.process(first_holder).expect("the router runs").address;
    let load_thread = std::thread::spawn(move || {
        let load = arrowyard_testbed::load::TenantLoad {
            tenant: "t",
            group: 7,
            rate: 30.0,
            mix: vec![(0, 3), (3, 2)],
            start: Duration::ZERO,
            end: ms(7_000),
            sessions: 20,
        };
        arrowyard_testbed::load::run_load(address, &arrowyard_testbed::router::OP_TYPES, &[load], 9, |_| {})
    });
    std::thread::sleep(ms(300));
    let cut_us = monotonic_us();
    rig.tcp_relays.set_cut(first_holder, Cut { to_hosts: true, from_hosts: true });
    wait_for_newer_epoch(&recorder, cut_us, epoch_before);
    assert_ne!(find_holder(&rig), Some(first_holder));
    assert_audit_passes(&recorder, false, cut_us, "no reachable hosts");
    let result = load_thread.join().expect("the load has been sent");
    assert_eq!(result.tenant_stats("t").unanswered, 0);
}
