//! Changes of primary in services that have lost a host: shipped control machines in simulated time, without
//! clients.

use arrowyard_emulator::{Deployment, DeploymentPlan};
use arrowyard_runtime::http::format_request;
use arrowyard_types::{TimeDelta, Timestamp};

/// How long a draining host serves after its heartbeat, plus a margin.
const DRAIN_TIME: TimeDelta = TimeDelta::from_millis(8000);
/// Time in which a released primary must be replaced: a heartbeat period, the survey, and the platform.
const RELEASE_BOUND: TimeDelta = TimeDelta::from_millis(5000);
/// Time in which a failed primary must be replaced: the silence of 3 s, the survey, and the platform.
const FAILOVER_BOUND: TimeDelta = TimeDelta::from_millis(8000);

/// Time in which another control machine takes over the duty of one that has failed.
const DUTY_BOUND: TimeDelta = TimeDelta::from_millis(4000);

fn ms(millis: i64) -> TimeDelta {
    TimeDelta::from_millis(millis)
}

/// Three control machines and one service of three hosts, which are in service.
fn start_deployment() -> Deployment {
    let mut deployment = Deployment::new(DeploymentPlan { seed: 5, ..DeploymentPlan::default() });
    advance(&mut deployment, ms(8000));
    deployment
}

fn advance(deployment: &mut Deployment, duration: TimeDelta) {
    let until = deployment.simulation.now + duration;
    deployment.simulation.run_until(until);
}

fn primary_id(deployment: &Deployment) -> Option<String> {
    deployment.groups[0].borrow().primary.clone()
}

/// Waits until a host other than `old` is primary; returns whether one is within the bound.
fn is_replaced_within(deployment: &mut Deployment, old: &str, bound: TimeDelta) -> bool {
    let until = deployment.simulation.now + bound;
    while deployment.simulation.now < until {
        if primary_id(deployment).is_some_and(|primary| primary != old) {
            return true;
        }
        advance(deployment, ms(50));
    }
    false
}

/// Guards against a service that never gets a primary again (RECOVER): a replica is lost for good up to 3 s,
/// in which it does not count as silent, before or after its primary is released.
#[test]
fn a_primary_is_released_beside_a_replica_that_is_lost_for_good() {
    for distance_ms in [-1200, -600, 0, 300, 600, 900, 1200, 1800, 2400, 3000, 6000] {
        for power_loss in [false, true] {
            let mut deployment = start_deployment();
            let released = deployment.host_index_of(0, true, 0).expect("a primary");
            let lost = deployment.host_index_of(0, false, 0).expect("a replica");
            let old = deployment.hosts[released].id.clone();
            let lose = |deployment: &mut Deployment| deployment.stop_host(lost, power_loss);
            let release = |deployment: &mut Deployment| {
                deployment.hosts[released].faults.borrow_mut().draining = true;
            };
            let replaced = if distance_ms >= 0 {
                lose(&mut deployment);
                advance(&mut deployment, ms(distance_ms));
                release(&mut deployment);
                is_replaced_within(&mut deployment, &old, RELEASE_BOUND)
            } else {
                release(&mut deployment);
                let early = is_replaced_within(&mut deployment, &old, ms(-distance_ms));
                lose(&mut deployment);
                early || is_replaced_within(&mut deployment, &old, RELEASE_BOUND)
            };
            assert!(replaced, "lost {distance_ms} ms before the release, power loss: {power_loss}");
            assert!(deployment.simulation.now < Timestamp::from_micros(0) + ms(20_000) + DRAIN_TIME);
        }
    }
}

/// Guards against a service that never gets a primary again (RECOVER): the id of a replica that crashed and
/// is back under a new id stays a member, and the primary crashes before the old id counts as silent.
#[test]
fn a_crashed_replica_that_is_back_under_a_new_id_is_not_waited_for() {
    let mut deployment = start_deployment();
    let primary = deployment.host_index_of(0, true, 0).expect("a primary");
    let replica = deployment.host_index_of(0, false, 0).expect("a replica");
    let old_primary = deployment.hosts[primary].id.clone();
    deployment.stop_host(replica, false);
    let old_id = deployment.hosts[replica].id.clone();
    let new_id = format!("{old_id}n");
    {
        let mut group = deployment.groups[0].borrow_mut();
        let host_log = group.host_logs.remove(&old_id).expect("the log of the replica");
        group.host_logs.insert(new_id.clone(), host_log);
    }
    deployment.hosts[replica].id = new_id;
    deployment.hosts[replica].call_seq = Default::default();
    deployment.start_host(replica);
    advance(&mut deployment, ms(200));
    deployment.stop_host(primary, true);
    assert!(is_replaced_within(&mut deployment, &old_primary, FAILOVER_BOUND));
}

/// Guards against a service that never gets a primary again (RECOVER): control machines that replace all
/// others have never had a heartbeat of a replica that was lost for good, so that none holds it to be silent.
#[test]
fn machines_that_replace_all_others_notice_a_lost_replica() {
    let mut deployment = start_deployment();
    let primary = deployment.host_index_of(0, true, 0).expect("a primary");
    let replica = deployment.host_index_of(0, false, 0).expect("a replica");
    let old_primary = deployment.hosts[primary].id.clone();
    deployment.stop_host(replica, true);
    advance(&mut deployment, ms(6000));
    for number in 0..3 {
        // The machine that has noticed the silence is gone before the new one starts.
        deployment.remove_control(number);
        advance(&mut deployment, ms(1000));
        deployment.add_control();
        advance(&mut deployment, ms(8000));
    }
    deployment.stop_host(primary, true);
    assert!(is_replaced_within(&mut deployment, &old_primary, FAILOVER_BOUND));
}

/// Guards against a service that never gets a primary again (RECOVER): the duty holder, which alone knew what a replica
/// that was lost for good may have acknowledged, fails together with the primary.
#[test]
fn a_primary_is_replaced_beside_a_lost_replica_whichever_control_machine_fails_with_it() {
    for number in 0..3 {
        let mut deployment = start_deployment();
        let primary = deployment.host_index_of(0, true, 0).expect("a primary");
        let replica = deployment.host_index_of(0, false, 0).expect("a replica");
        let old_primary = deployment.hosts[primary].id.clone();
        deployment.stop_host(replica, true);
        advance(&mut deployment, ms(6000));
        deployment.remove_control(number);
        deployment.stop_host(primary, true);
        let bound = FAILOVER_BOUND + DUTY_BOUND;
        assert!(is_replaced_within(&mut deployment, &old_primary, bound), "control machine {number}");
    }
}

/// Guards against lost commits (LOST): a control machine that is cut off from the one that receives the heartbeats of
/// live replicas takes them for silent, and what they acknowledge from then on is not waited for.
#[test]
fn hosts_are_not_silent_while_any_control_machine_receives_their_heartbeats() {
    let status = format_request("GET", "/status", "c", &[], "");
    for (one, other) in [(0, 1), (0, 2), (1, 2)] {
        let mut deployment = start_deployment();
        let machines = (deployment.controls[one], deployment.controls[other]);
        deployment.simulation.partition(machines.0, machines.1);
        for _ in 0..10 {
            advance(&mut deployment, ms(1000));
            for number in 0..3 {
                let (code, body) = deployment.call(number, &status);
                assert!(
                    code == 200 && !body.contains("\"silent\":true"),
                    "{one} and {other}, at {number}: {body}"
                );
            }
        }
    }
}

/// Guards against lost commits (LOST): a control machine that has restarted expects heartbeats that another one receives,
/// from which it is cut off, and its report of silence is taken by a third one.
#[test]
fn a_report_of_silence_does_not_count_while_the_receiver_of_the_heartbeats_is_reachable() {
    let status = format_request("GET", "/status", "c", &[], "");
    for (restarted, receiver, third) in [(0, 1, 2), (0, 2, 1), (1, 0, 2), (1, 2, 0), (2, 0, 1), (2, 1, 0)] {
        let mut deployment = start_deployment();
        let machine = deployment.controls[restarted];
        deployment.simulation.kill(machine);
        advance(&mut deployment, ms(6000));
        deployment.simulation.partition(machine, deployment.controls[receiver]);
        deployment.start_control(restarted, false);
        for _ in 0..10 {
            advance(&mut deployment, ms(1000));
            let (_, body) = deployment.call(third, &status);
            assert!(!body.contains("\"silent\":true"), "{restarted} restarted, at {third}: {body}");
        }
    }
}

/// Guards against floors of replicas that are well (LOST): hosts whose control machine has failed turn to another one,
/// which says so at their first heartbeat, before the others take them for silent.
#[test]
fn hosts_that_turn_to_another_control_machine_are_not_silent() {
    let status = format_request("GET", "/status", "c", &[], "");
    for failed in 0..3 {
        let mut deployment = start_deployment();
        let machine = deployment.controls[failed];
        deployment.simulation.power_off(machine);
        for _ in 0..40 {
            advance(&mut deployment, ms(250));
            for number in (0..3).filter(|number| *number != failed) {
                let (_, body) = deployment.call(number, &status);
                assert!(!body.contains("\"silent\":true"), "{failed} failed, at {number}: {body}");
            }
        }
    }
}

/// Guards against a service that never gets a primary again (RECOVER): a control machine that restarted after the floor
/// of a lost replica was published takes over the duty.
#[test]
fn a_control_machine_that_restarted_knows_the_floors_of_lost_replicas() {
    for (restarted, failed) in [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)] {
        let mut deployment = start_deployment();
        let primary = deployment.host_index_of(0, true, 0).expect("a primary");
        let replica = deployment.host_index_of(0, false, 0).expect("a replica");
        let old_primary = deployment.hosts[primary].id.clone();
        deployment.stop_host(replica, true);
        advance(&mut deployment, ms(8000));
        let machine = deployment.controls[restarted];
        deployment.simulation.kill(machine);
        deployment.start_control(restarted, false);
        advance(&mut deployment, ms(4000));
        deployment.remove_control(failed);
        deployment.stop_host(primary, true);
        let bound = FAILOVER_BOUND + DUTY_BOUND;
        assert!(
            is_replaced_within(&mut deployment, &old_primary, bound),
            "{restarted} restarted, {failed} failed"
        );
    }
}

/// Guards against lost commits (LOST): a host is back while a control machine is cut off from the one that receives its
/// heartbeats, and passes for silent there after the cut as well.
#[test]
fn a_silence_ends_once_a_machine_that_heard_the_host_is_reached_again() {
    let status = format_request("GET", "/status", "c", &[], "");
    for (one, other) in [(0, 1), (0, 2), (1, 2)] {
        let mut deployment = start_deployment();
        let replica = deployment.host_index_of(0, false, 0).expect("a replica");
        deployment.stop_host(replica, false);
        advance(&mut deployment, ms(6000));
        let machines = (deployment.controls[one], deployment.controls[other]);
        deployment.simulation.partition(machines.0, machines.1);
        deployment.start_host(replica);
        advance(&mut deployment, ms(6000));
        deployment.simulation.heal(machines.0, machines.1);
        advance(&mut deployment, ms(6000));
        for number in 0..3 {
            let (_, body) = deployment.call(number, &status);
            assert!(!body.contains("\"silent\":true"), "{one} and {other}, at {number}: {body}");
        }
    }
}
