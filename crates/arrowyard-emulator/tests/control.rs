//! Fault tests of the control plane: shipped control machines in simulated time, with calls during the
//! faults. The points are those of `docs/notes/control.md`.

use arrowyard_control::MAX_REMEMBERED_CHANGES;
use arrowyard_emulator::catch_up::measure_catch_up;
use arrowyard_emulator::{
    CallReply, Deployment, DeploymentPlan, DiskFault, Fault, FaultKind, Scenario, run_scenario,
};
use arrowyard_runtime::Signal;
use arrowyard_runtime::http::format_request;
use arrowyard_types::TimeDelta;

fn ms(millis: i64) -> TimeDelta {
    TimeDelta::from_millis(millis)
}

/// A deployment without clients. The simulated operator sends the initial configuration, revision 3.
struct Fleet {
    deployment: Deployment,
    revision: u64,
}

fn deployment_plan(controls: usize, tolerance: u32) -> DeploymentPlan {
    DeploymentPlan { seed: 5, controls, tolerance, ..DeploymentPlan::default() }
}

impl Fleet {
    fn new(controls: usize, tolerance: u32) -> Self {
        let mut fleet =
            Fleet { deployment: Deployment::new(deployment_plan(controls, tolerance)), revision: 3 };
        fleet.advance(6000);
        fleet
    }

    fn advance(&mut self, millis: i64) {
        let until = self.deployment.simulation.now + ms(millis);
        self.deployment.simulation.run_until(until);
    }

    fn start_call(&mut self, control: usize, request: &str) -> CallReply {
        self.deployment.start_call(control, request)
    }

    fn call(&mut self, control: usize, request: &str) -> (u16, String) {
        self.deployment.call(control, request)
    }

    /// Sends the next change to the machines in turn until one acknowledges it, and returns the request.
    fn commit_change(&mut self, first_control: usize) -> String {
        let request = change_request(self.revision + 1, self.revision, "");
        for attempt in 0..60 {
            let control = self.deployment.existing_control(first_control + attempt);
            match self.call(control, &request).0 {
                200 => {
                    self.revision += 1;
                    return request;
                }
                status => assert!(status == 0 || status >= 500, "a valid change got status {status}"),
            }
        }
        panic!("no machine acknowledged revision {}", self.revision + 1);
    }

    fn read_revision(&mut self, control: usize) -> (u16, Option<u64>) {
        let (status, body) = self.call(control, &format_request("GET", "/Config.Read", "c", &[], ""));
        (status, parse_number(&body, "\"revision\":"))
    }

    fn status(&mut self, control: usize) -> String {
        self.call(control, &format_request("GET", "/status", "c", &[], "")).1
    }

    /// Indexes of the machines that currently execute the duty.
    fn holders(&mut self) -> Vec<usize> {
        let request = format_request("GET", "/status", "c", &[], "");
        let replies: Vec<CallReply> =
            (0..self.deployment.controls.len()).map(|control| self.start_call(control, &request)).collect();
        let round_trip = self.deployment.simulation.latency * 5.0 + ms(2);
        self.deployment.simulation.run_until(self.deployment.simulation.now + round_trip);
        let executes_duty = |reply: &CallReply| {
            reply.borrow().as_ref().is_some_and(|(_, body)| body.contains("\"divides\":true"))
        };
        replies
            .iter()
            .enumerate()
            .filter(|(_, reply)| executes_duty(reply))
            .map(|(control, _)| control)
            .collect()
    }

    fn isolate(&mut self, control: usize, direction: Partition) {
        let machine = self.deployment.controls[control];
        for other in self.deployment.controls.clone().into_iter().filter(|other| *other != machine) {
            match direction {
                Partition::Both => self.deployment.simulation.partition(machine, other),
                Partition::SendBlocked => self.deployment.simulation.block(machine, other),
                Partition::ReceiveBlocked => self.deployment.simulation.block(other, machine),
            }
        }
    }

    fn heal(&mut self, control: usize) {
        let isolated = self.deployment.controls[control];
        for other in self.deployment.controls.clone().into_iter().filter(|other| *other != isolated) {
            self.deployment.simulation.heal(isolated, other);
            self.deployment.simulation.unblock(isolated, other);
            self.deployment.simulation.unblock(other, isolated);
        }
    }

    /// Cuts the power of all control machines, wipes the disks of some, and starts all again.
    fn restart_after_power_loss(&mut self, wiped: &[usize]) {
        for number in 0..self.deployment.controls.len() {
            let machine = self.deployment.controls[number];
            self.deployment.simulation.power_off(machine);
            if wiped.contains(&number) {
                self.deployment.disks[number].borrow_mut().records.clear();
            }
        }
        self.advance(500);
        (0..self.deployment.controls.len()).for_each(|number| self.deployment.start_control(number, false));
    }
}

#[derive(Clone, Copy, Debug)]
enum Partition {
    /// Both directions are blocked.
    Both,
    /// The other machines receive nothing from the machine; it receives from them.
    SendBlocked,
    /// The machine receives nothing from the others; they receive from it.
    ReceiveBlocked,
}

fn parse_number(text: &str, prefix: &str) -> Option<u64> {
    let after_prefix = text.split(prefix).nth(1)?;
    after_prefix.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

fn change_request(revision: u64, base: u64, suffix: &str) -> String {
    let body = format!(
        "{{\"revision\":{revision},\"upsert\":{{\"channels\":[{{\"name\":\"r-x{suffix}\",\"plant\":\"x{suffix}\",\"path-prefix\":\"/\",\
         \"kind\":\"primary\",\"deadline-ms\":800,\"setpoint-ms\":150,\"priority\":1,\"service\":\"s0\",\"tries\":2}}]}}}}"
    );
    format_request("POST", "/Config.Adjust", "c", &[("Arrowyard-Base-Revision", &base.to_string())], &body)
}

fn drain_request(id: &str, call_seq: u64) -> String {
    let body = format!(
        "{{\"service\":\"s0\",\"address\":\"10.9.0.1:8000\",\"zone\":\"zone1\",\"revision\":\"v1\",\"capacity\":4,\"phase\":\"draining\",\
         \"cold-left-ms\":0,\"db-role\":\"replica\",\"call-seq\":{call_seq}}}"
    );
    format_request("POST", &format!("/Instances.Beat/{id}"), "c", &[], &body)
}

fn leave_request(id: &str) -> String {
    format_request("POST", &format!("/Instances.Leave/{id}"), "c", &[], "{}")
}

fn phase_of<'a>(status: &'a str, id: &str) -> Option<&'a str> {
    let entry = status.split(&format!("\"id\":\"{id}\"")).nth(1)?;
    entry.split("\"phase\":\"").nth(1)?.split('"').next()
}

/// Point 1: an isolated machine neither confirms nor rejects a call nor serves old state, in any direction
/// of the partition.
#[test]
fn partitioned_machine_neither_confirms_nor_rejects_nor_serves_old_state() {
    for direction in [Partition::Both, Partition::SendBlocked, Partition::ReceiveBlocked] {
        let mut fleet = Fleet::new(3, 1);
        assert_eq!(fleet.call(0, &drain_request("i-known", 1)).0, 200, "connected before the partition");
        fleet.isolate(0, direction);
        let mut newest_revision = fleet.revision;
        for round in 0..20 {
            let calls = [
                drain_request(&format!("i-drain{round}"), 1),
                leave_request(&format!("i-leave{round}")),
                format_request("GET", "/Config.Read", "c", &[], ""),
            ];
            let replies = calls.map(|request| fleet.start_call(0, &request));
            let change = fleet.start_call(0, &change_request(900 + round, newest_revision, "cut"));
            fleet.advance(100);
            let status = |reply: &CallReply| reply.borrow().as_ref().map_or(0, |(status, _)| *status);
            assert!([0, 503].contains(&status(&change)), "{direction:?}, round {round}: {change:?}");
            fleet.commit_change(1);
            newest_revision = fleet.revision;
            fleet.advance(1000);
            for reply in &replies {
                assert!([0, 503].contains(&status(reply)), "{direction:?}, round {round}: {reply:?}");
            }
            // Another change was committed meanwhile; a machine that knows it may reject this one.
            assert!([0, 503, 412].contains(&status(&change)), "{direction:?}, round {round}: {change:?}");
        }
        assert!(
            fleet.status(0).contains("\"routers\":[]"),
            "{direction:?}: its routers reconnected elsewhere"
        );
        fleet.heal(0);
        fleet.advance(3000);
        assert_eq!(fleet.read_revision(0), (200, Some(newest_revision)), "{direction:?}: it rejoined");
        assert_eq!(fleet.call(0, &drain_request("i-after", 1)).0, 200, "{direction:?}");
    }
}

/// Point 1: an acknowledged departure survives a power loss of all machines and the loss of the
/// acknowledging disk.
#[test]
fn acknowledged_departure_survives_the_loss_of_the_acknowledging_machine() {
    for request in [drain_request("i-x", 4), leave_request("i-x")] {
        let mut fleet = Fleet::new(3, 1);
        let reply = fleet.start_call(0, &request);
        while reply.borrow().is_none() {
            fleet
                .deployment
                .simulation
                .run_until(fleet.deployment.simulation.now + TimeDelta::from_micros(200));
        }
        assert_eq!(reply.borrow().as_ref().map(|(status, _)| *status), Some(200));
        fleet.restart_after_power_loss(&[0]);
        fleet.advance(4000);
        for control in 0..3 {
            let status = fleet.status(control);
            let phase = phase_of(&status, "i-x").unwrap_or("unknown");
            assert!(["draining", "gone"].contains(&phase), "{control}: {phase}");
        }
    }
}

/// Point 1: a delayed heartbeat from before the drain changes nothing.
#[test]
fn delayed_heartbeat_does_not_cancel_a_drain() {
    let mut fleet = Fleet::new(3, 1);
    assert_eq!(fleet.call(0, &drain_request("i-x", 7)).0, 200);
    fleet.advance(9000);
    let delayed = drain_request("i-x", 6).replace("draining", "in_service");
    let body = delayed.split("\r\n\r\n").nth(1).expect("a body").to_string();
    fleet.call(0, &format_request("POST", "/Instances.Beat/i-x", "c", &[], &body));
    fleet.advance(500);
    for control in 0..3 {
        assert_eq!(phase_of(&fleet.status(control), "i-x"), Some("draining"), "{control}");
    }
}

/// Point 1: a partitioned holder stops executing the duty before another machine starts.
#[test]
fn no_two_machines_execute_the_duty_at_once() {
    for direction in [Partition::Both, Partition::SendBlocked, Partition::ReceiveBlocked] {
        for round in 0..4 {
            let mut fleet = Fleet::new(3, 1);
            fleet.advance(round * 170);
            let holder = fleet.holders().pop().expect("the duty is held");
            fleet.isolate(holder, direction);
            let mut other_holders = Vec::new();
            for step in 0..500 {
                if step == 400 {
                    fleet.heal(holder);
                }
                let holders = fleet.holders();
                assert!(holders.len() <= 1, "{direction:?}, round {round}, step {step}: {holders:?}");
                other_holders.extend(holders.into_iter().filter(|control| *control != holder));
                fleet.advance(10);
            }
            assert!(!other_holders.is_empty(), "{direction:?}, round {round}: no other machine took over");
            assert_eq!(fleet.holders().len(), 1, "{direction:?}, round {round}");
        }
    }
}

/// Point 1: a holder that resumes after a freeze executes nothing before its lease is confirmed.
#[test]
fn resumed_holder_executes_nothing_before_confirmation() {
    for round in 0..4 {
        let mut fleet = Fleet::new(3, 1);
        fleet.advance(round * 170);
        let holder = fleet.holders().pop().expect("the duty is held");
        let machine = fleet.deployment.controls[holder];
        fleet.deployment.simulation.set_frozen(machine, true);
        fleet.advance(5000);
        assert!(fleet.holders().iter().all(|machine| *machine != holder), "another one holds it");
        fleet.deployment.simulation.set_frozen(machine, false);
        for step in 0..200 {
            let holders = fleet.holders();
            assert!(!holders.contains(&holder), "round {round}, step {step}: {holders:?}");
            fleet.advance(5);
        }
        assert_eq!(fleet.holders().len(), 1);
    }
}

/// Point 2: of two conflicting changes with the same revision one is committed, also under concurrent
/// retries.
#[test]
fn one_of_two_conflicting_changes_is_committed_under_retries() {
    let mut fleet = Fleet::new(3, 1);
    for round in 0..20_u64 {
        let (base, revision) = (fleet.revision, fleet.revision + 1);
        let changes = [change_request(revision, base, "a"), change_request(revision, base, "b")];
        // Eight calls at a time; changes without a clear reply are sent again.
        let mut committed = [false, false];
        let mut rejected = [false, false];
        for _ in 0..4 {
            let replies: Vec<(usize, CallReply)> = (0..8)
                .map(|slot| {
                    let change_index = (slot + round as usize) % 2;
                    (change_index, fleet.start_call(slot % 3, &changes[change_index]))
                })
                .collect();
            fleet.advance(300);
            for (change_index, reply) in replies {
                match reply.borrow().as_ref().map_or(0, |(status, _)| *status) {
                    200 => committed[change_index] = true,
                    412 => rejected[change_index] = true,
                    status => assert!(status == 0 || status == 503, "round {round}: {status}"),
                }
            }
        }
        assert!(committed[0] != committed[1], "round {round}: {committed:?}");
        assert!(
            (0..2).all(|change_index| !(committed[change_index] && rejected[change_index])),
            "round {round}"
        );
        fleet.revision = revision;
    }
}

/// Point 2: an acknowledged change is never rejected, however many changes follow.
#[test]
fn acknowledged_change_is_never_rejected_later() {
    let mut fleet = Fleet::new(3, 1);
    let first_request = fleet.commit_change(0);
    for _ in 0..MAX_REMEMBERED_CHANGES + 40 {
        fleet.commit_change(0);
    }
    let conflicting_request = change_request(5, 3, "other");
    for control in 0..3 {
        assert_eq!(fleet.call(control, &first_request).0, 503, "too old to be remembered");
        assert_eq!(fleet.call(control, &conflicting_request).0, 503, "unknown whether it was this change");
    }
    let recent_request = (0..5).map(|_| fleet.commit_change(1)).next().expect("five");
    fleet.restart_after_power_loss(&[2]);
    fleet.advance(4000);
    for control in 0..3 {
        assert_eq!(fleet.call(control, &recent_request).0, 200, "it is remembered on every disk");
        assert_eq!(fleet.call(control, &change_request(fleet.revision, fleet.revision - 1, "other")).0, 412);
    }
}

/// Point 3: machines are replaced one by one; after each replacement, the machine with the oldest disk is
/// lost.
#[test]
fn each_replacement_restores_tolerance_of_one_loss() {
    let mut fleet = Fleet::new(4, 1);
    let mut by_disk_age = vec![0, 1, 2, 3];
    for round in 0..3 {
        let removed = by_disk_age.remove(0);
        fleet.commit_change(1);
        fleet.deployment.remove_control(removed);
        fleet.advance(1000);
        fleet.deployment.add_control();
        // The next loss is tolerated `settle-s` after the start of the new machine.
        fleet.advance(4000);
        fleet.commit_change(1);
        let lost = by_disk_age[0];
        fleet.restart_after_power_loss(&[lost]);
        by_disk_age.rotate_left(1);
        fleet.advance(4000);
        let reader = fleet.deployment.existing_control(round);
        assert_eq!(fleet.read_revision(reader), (200, Some(fleet.revision)), "round {round}");
        fleet.commit_change(0);
        fleet.advance(1000);
    }
}

/// Point 3: a terminating voter transfers its seat first. It never returns, another voter loses its disk
/// right after, and all other machines lose power.
#[test]
fn terminating_voter_leaves_a_majority_with_all_acknowledged_changes() {
    for leaving in 0..3 {
        let mut fleet = Fleet::new(4, 1);
        fleet.commit_change(leaving);
        let machine = fleet.deployment.controls[leaving];
        let terminated_at = fleet.deployment.simulation.now;
        fleet.deployment.simulation.signal(machine, Signal::Terminate);
        fleet.commit_change(leaving + 1);
        while !fleet.deployment.simulation.has_stopped(machine) {
            fleet.advance(10);
            let waited = fleet.deployment.simulation.now - terminated_at;
            assert!(waited <= ms(2500), "{leaving}: it has not stopped after {waited:?}");
        }
        fleet.deployment.remove_control(leaving);
        fleet.restart_after_power_loss(&[(leaving + 1) % 3]);
        fleet.advance(4000);
        assert_eq!(fleet.read_revision(3), (200, Some(fleet.revision)), "{leaving}");
        fleet.commit_change(3);
    }
}

/// Point 3: a lost voter is replaced within the bound, also if it held the duty.
#[test]
fn lost_voter_is_replaced_within_four_seconds() {
    for removed in 0..3 {
        let mut fleet = Fleet::new(4, 1);
        let removed_at = fleet.deployment.simulation.now;
        fleet.deployment.remove_control(removed);
        let address = format!("\"10.0.0.{}\"", removed + 1);
        let other = fleet.deployment.existing_control(0);
        let voters = |status: &str| {
            let voters = status.split("\"voters\":[").nth(1).and_then(|rest| rest.split(']').next());
            voters.unwrap_or_default().to_string()
        };
        while voters(&fleet.status(other)).contains(&address) {
            let waited = fleet.deployment.simulation.now - removed_at;
            assert!(waited <= ms(4000), "{removed}: {waited:?}");
            fleet.advance(50);
        }
        assert_eq!(voters(&fleet.status(other)).split(',').count(), 3, "{removed}");
    }
}

/// Point 4: a machine that missed more entries than any other one keeps catches up; it serves no old state
/// meanwhile.
#[test]
fn machine_that_missed_hundreds_of_changes_catches_up_without_serving_old_state() {
    for missed in [10, 700] {
        let mut fleet = Fleet::new(3, 1);
        let machine = fleet.deployment.controls[2];
        fleet.deployment.simulation.kill(machine);
        for round in 0..missed {
            let request = change_request(fleet.revision + 1, fleet.revision, &format!("{round}"));
            let status = (0..10).map(|_| fleet.call(round % 2, &request).0).find(|status| *status == 200);
            assert_eq!(status, Some(200));
            fleet.revision += 1;
        }
        fleet.deployment.start_control(2, false);
        let mut attempts = 0;
        loop {
            match fleet.read_revision(2) {
                (200, revision) => {
                    assert_eq!(revision, Some(fleet.revision), "it serves old state");
                    break;
                }
                (status, _) => assert!(status == 0 || status == 503, "{status}"),
            }
            attempts += 1;
            assert!(attempts < 40, "it never caught up after {missed} changes");
        }
        // It votes again: it completes a majority while one of the other machines is down.
        fleet.advance(1000);
        let other = fleet.deployment.controls[0];
        fleet.deployment.simulation.kill(other);
        fleet.advance(3000);
        fleet.commit_change(1);
        assert_eq!(fleet.read_revision(2), (200, Some(fleet.revision)));
    }
}

/// Point 3: after a disk fault, a power loss that also wipes another disk loses nothing.
#[test]
fn faulty_disk_does_not_vote_until_it_stores_a_snapshot() {
    for fault in [DiskFault::Refuses, DiskFault::Hangs] {
        let mut fleet = Fleet::new(3, 1);
        let machine = fleet.deployment.controls[1];
        fleet.deployment.simulation.set_disk_fault(machine, fault);
        for _ in 0..10 {
            fleet.commit_change(0);
        }
        fleet.advance(1500);
        assert!(fleet.status(1).contains("\"votes\":false,\"disk-works\":false"), "{fault:?}");
        fleet.deployment.simulation.set_disk_fault(machine, DiskFault::None);
        fleet.advance(1500);
        assert!(fleet.status(1).contains("\"votes\":true,\"disk-works\":true"), "{fault:?}");
        fleet.restart_after_power_loss(&[0]);
        fleet.advance(4000);
        assert_eq!(fleet.read_revision(1), (200, Some(fleet.revision)), "{fault:?}");
        fleet.commit_change(2);
    }
}

/// Point 5: a platform call hangs and is retried, the promoted host is lost, and another one is chosen
/// before the first call is executed. It must not promote the first host: each decision has its own fencing
/// token.
#[test]
fn delayed_promotion_has_no_effect_after_a_later_decision() {
    for seed in 1..6 {
        let fault = |at, duration_s, kind| Fault { at, duration_s, kind, target_index: 0 };
        let scenario = Scenario {
            seed,
            seconds: 22.0,
            changes: Vec::new(),
            faults: vec![
                fault(5.5, 2.0, FaultKind::PlatformAway),
                fault(6.0, 3.0, FaultKind::CrashPrimary),
                fault(9.8, 2.5, FaultKind::CrashPrimary),
            ],
            ..Scenario::default()
        };
        let result = run_scenario(&scenario);
        assert!(result.violations.is_empty(), "{seed}: {:?}", result.violations);
        assert!(result.promotions >= 2, "{seed}: only {} changes of primary", result.promotions);
    }
}

/// Point 5: the platform does not check fencing tokens, and the holder is frozen at various moments of a
/// promotion. After another holder has decided, the first one must send nothing more.
#[test]
fn no_lower_fencing_token_is_sent_to_a_platform_that_does_not_check() {
    let mut promotions = 0;
    for case in 0..40 {
        let plan = DeploymentPlan { fence_checked: false, ..deployment_plan(3, 1) };
        let mut fleet = Fleet { deployment: Deployment::new(plan), revision: 3 };
        // Long latencies, so that the freeze hits messages in flight.
        fleet.deployment.simulation.latency = ms(20);
        fleet.advance(6000);
        let holder = fleet.holders().pop().expect("the duty is held");
        let primary = fleet.deployment.host_index_of(0, true, 0).expect("the service has a primary");
        fleet.deployment.stop_host(primary, false);
        // Without clients, control detects the loss only by missing heartbeats, after slightly
        // more than three seconds.
        fleet.advance(1800 + case * 60);
        let machine = fleet.deployment.controls[holder];
        fleet.deployment.simulation.set_frozen(machine, true);
        fleet.advance(9000);
        fleet.deployment.simulation.set_frozen(machine, false);
        fleet.advance(3000);
        let violations = fleet.deployment.history.borrow().violations.clone();
        assert!(
            violations.iter().all(|violation| violation.invariant != "ONE"),
            "case {case}: {violations:?}"
        );
        promotions += fleet.deployment.groups[0].borrow().promotions;
    }
    assert!(promotions >= 40, "only {promotions} changes of primary");
}

/// Routers receive only the changed route of a new whole configuration; otherwise a few such changes per
/// second saturate the links of small machines.
#[test]
fn routers_receive_the_difference_of_a_whole_configuration() {
    let plan = DeploymentPlan { routers: 20, ..deployment_plan(3, 1) };
    let mut fleet = Fleet { deployment: Deployment::new(plan), revision: 3 };
    fleet.advance(6000);
    let configuration = |revision: u64| {
        let routes: Vec<String> = (0..1500)
            .map(|route| {
                let deadline = if route == revision { 801 } else { 800 };
                format!(
                    "{{\"name\":\"r{route}\",\"plant\":\"p{route}\",\"path-prefix\":\"/\",\"kind\":\"primary\",\"deadline-ms\":{deadline},\
                     \"setpoint-ms\":120,\"priority\":1,\"service\":\"s0\",\"tries\":2}}"
                )
            })
            .collect();
        format!(
            "{{\"revision\":{revision},\"channels\":[{}],\"services\":[{{\"name\":\"s0\"}}]}}",
            routes.join(",")
        )
    };
    let replace = |fleet: &mut Fleet, revision: u64| {
        let base = (revision - 1).to_string();
        let request = format_request(
            "POST",
            "/Config.Replace",
            "c",
            &[("Arrowyard-Base-Revision", &base)],
            &configuration(revision),
        );
        assert_eq!(fleet.call(0, &request).0, 200, "revision {revision}");
        fleet.advance(300);
    };
    replace(&mut fleet, 4);
    let bytes_sent = |fleet: &Fleet| -> u64 {
        fleet
            .deployment
            .controls
            .iter()
            .map(|machine| fleet.deployment.simulation.resource_usage(*machine).0)
            .sum()
    };
    let sent_before = bytes_sent(&fleet);
    (5..15).for_each(|revision| replace(&mut fleet, revision));
    let bytes = bytes_sent(&fleet) - sent_before;
    let body = configuration(5).len() as u64;
    assert!(bytes < 10 * body * 10, "{bytes} bytes for ten changes of {body}");
    for control in 0..3 {
        let status = fleet.status(control);
        assert_eq!(status.matches("\"revision\":14").count(), 1 + status.matches("\"node\":\"edge-").count());
    }
}

/// Point 3: a primary is partitioned from control and from its paused replicas, and a replica joins it that
/// was never asked to pause. The primary must not acknowledge commits that the new primary lacks. In every
/// second run a control machine crashes shortly before, and its routers receive no updates.
#[test]
fn replica_that_joins_a_replaced_primary_does_not_acknowledge_its_commits() {
    let mut promotions = 0;
    for case in 0_u32..40 {
        let fault = |at: f64, duration_s: f64, kind: FaultKind| Fault {
            at,
            duration_s,
            kind,
            target_index: case as usize,
        };
        let join_at = 8.9 + 0.06 * f64::from(case);
        let mut faults =
            vec![fault(6.0, 8.0, FaultKind::CutPrimary), fault(join_at, 0.0, FaultKind::JoinReplica)];
        if case % 2 == 1 {
            faults.push(fault(join_at - 0.7, 3.0, FaultKind::KillControl));
        }
        let scenario =
            Scenario { seed: 90 + u64::from(case), seconds: 19.0, users: 4, faults, ..Scenario::default() };
        let result = run_scenario(&scenario);
        assert!(result.violations.is_empty(), "joined at {join_at}: {:?}", result.violations);
        promotions += result.promotions;
    }
    // A primary with a replica of its own continues to serve and is not always replaced.
    assert!(promotions >= 25, "{promotions} in 40 runs");
}

/// As above for a draining primary: control reaches it, its replicas receive nothing, and a replica joins
/// it before it is replaced.
#[test]
fn replica_that_joins_a_draining_primary_does_not_acknowledge_lost_commits() {
    for case in 0_u32..24 {
        let fault =
            |at: f64, kind: FaultKind, target_index: usize| Fault { at, duration_s: 7.0, kind, target_index };
        let join_at = 8.1 + 0.1 * f64::from(case);
        let faults = vec![
            fault(6.0, FaultKind::DeafReplica, 0),
            fault(6.0, FaultKind::DeafReplica, 1),
            fault(8.0, FaultKind::ReleasePrimary, 0),
            fault(join_at, FaultKind::JoinReplica, 0),
        ];
        let scenario =
            Scenario { seed: 190 + u64::from(case), seconds: 22.0, users: 4, faults, ..Scenario::default() };
        let result = run_scenario(&scenario);
        assert!(result.violations.is_empty(), "joined at {join_at}: {:?}", result.violations);
    }
}

/// A replica and some seconds later its primary are partitioned from control; routers reach both. In every
/// second run the other replica receives nothing, so only the unreachable replica has the acknowledged
/// commits.
#[test]
fn commits_acknowledged_by_an_unreachable_replica_are_kept() {
    let mut promotions = 0;
    for case in 0_u32..16 {
        let target_index = case as usize;
        let fault = |at: f64, kind: FaultKind, target_index: usize| Fault {
            at,
            duration_s: 14.0,
            kind,
            target_index,
        };
        let partition_at = 10.5 + 0.1 * f64::from(case);
        let mut faults = vec![
            fault(6.0, FaultKind::HideReplica, target_index),
            fault(partition_at, FaultKind::HidePrimary, target_index),
        ];
        if case % 2 == 1 {
            faults.push(fault(partition_at - 0.8, FaultKind::DeafReplica, target_index + 1));
        }
        let scenario =
            Scenario { seed: 290 + u64::from(case), seconds: 26.0, users: 8, faults, ..Scenario::default() };
        let result = run_scenario(&scenario);
        let violation = result.violations.first();
        assert!(
            violation.is_none(),
            "partitioned at {partition_at}: {} violations, {violation:?}",
            result.violations.len()
        );
        // The host with all commits becomes primary, and routers find it.
        let served = result.counts_by_second.iter().rev().skip(1).take(3);
        assert!(
            served.clone().all(|(_, requested, served)| served == requested),
            "partitioned at {partition_at}: {served:?}"
        );
        promotions += result.promotions;
    }
    assert_eq!(promotions, 16);
}

/// Point 4: a machine that is catching up starts no rounds of its own; otherwise each round makes every
/// voter send all later entries again.
#[test]
fn catch_up_transfers_each_entry_about_once() {
    let catch_up = measure_catch_up(300, 10).expect("it catches up");
    assert!(catch_up.elapsed < ms(500), "{catch_up:?}");
    assert!(catch_up.bytes_sent < 1_000_000, "{catch_up:?}");
}
