//! Tests of the decisions on the voter set.

use arrowyard_config::Tolerance;
use arrowyard_control::voter_set::{MachineStatus, has_substitute, next_voter_set, target_size};
use arrowyard_types::TimeDelta;

const REACHABLE: Result<TimeDelta, TimeDelta> = Ok(TimeDelta::from_millis(5000));
const UNREACHABLE: Result<TimeDelta, TimeDelta> = Err(TimeDelta::from_millis(4000));

fn tolerance(machines: u32, zones: u32, regions: u32) -> Tolerance {
    Tolerance { machines, zones, regions }
}

/// Machines 1 to `zones.len()`, one per given zone; the first letter of a zone names its region.
fn machines_in(zones: &[&str]) -> Vec<MachineStatus> {
    let machine = |(index, zone): (usize, &&str)| MachineStatus {
        ip: index as u32 + 1,
        zone: zone.to_string(),
        region: zone[..1].to_string(),
        contact: REACHABLE,
        votes: true,
        unable_to_vote: TimeDelta::ZERO,
        disk_works: true,
        stopping: false,
    };
    zones.iter().enumerate().map(machine).collect()
}

#[test]
fn the_voter_set_is_sized_for_the_tolerated_failures() {
    assert_eq!(
        [target_size(tolerance(0, 0, 0)), target_size(tolerance(1, 0, 0)), target_size(tolerance(2, 0, 0))],
        [3, 3, 5]
    );
    assert_eq!(target_size(tolerance(1, 2, 1)), 5);
    let machines = machines_in(&["aa", "ab", "ac", "aa", "ab", "ac"]);
    let four = next_voter_set(&[1, 2, 3], &machines, tolerance(2, 0, 0)).expect("a free machine");
    assert_eq!(four, [1, 2, 3, 4]);
    // In the zone with the fewest voters.
    assert_eq!(next_voter_set(&four, &machines, tolerance(2, 0, 0)), Some(vec![1, 2, 3, 4, 5]));
    assert_eq!(next_voter_set(&[1, 2, 3, 4, 5], &machines, tolerance(2, 0, 0)), None);
    assert_eq!(next_voter_set(&[1, 2, 3], &machines, tolerance(1, 0, 0)), None);
    assert_eq!(next_voter_set(&[1, 2, 3], &machines[..3], tolerance(2, 0, 0)), None, "no free machine");
}

#[test]
fn a_failed_voter_is_removed_once_its_replacement_votes() {
    let mut machines = machines_in(&["aa", "ab", "ac", "aa"]);
    machines[1].contact = Err(TimeDelta::from_millis(2000));
    assert_eq!(next_voter_set(&[1, 2, 3], &machines, tolerance(1, 0, 0)), None, "below the timeout");
    machines[1].contact = UNREACHABLE;
    machines[3].votes = false;
    let four = next_voter_set(&[1, 2, 3], &machines, tolerance(1, 0, 0)).expect("a free machine");
    assert_eq!(four, [1, 2, 3, 4]);
    assert_eq!(
        next_voter_set(&four, &machines, tolerance(1, 0, 0)),
        None,
        "the replacement does not vote yet"
    );
    machines[3].votes = true;
    assert_eq!(next_voter_set(&four, &machines, tolerance(1, 0, 0)), Some(vec![1, 3, 4]));
    // A voter of which nothing is known has failed, too.
    assert_eq!(next_voter_set(&[1, 3, 9], &machines, tolerance(1, 0, 0)), Some(vec![1, 3, 4, 9]));
    // A machine that was reached only just now may not become a voter yet.
    machines[3].contact = Ok(TimeDelta::from_millis(100));
    assert_eq!(next_voter_set(&[1, 2, 3], &machines, tolerance(1, 0, 0)), None);
}

#[test]
fn a_surplus_voter_is_removed_when_the_failed_one_recovers() {
    let machines = machines_in(&["aa", "ab", "ac", "ab"]);
    assert_eq!(next_voter_set(&[1, 2, 3, 4], &machines, tolerance(1, 0, 0)), Some(vec![1, 2, 3]));
}

#[test]
fn a_zone_or_region_that_may_fail_does_not_hold_the_majority() {
    // Two of three voters are in region x; if a region may fail, one of them is replaced by a machine in
    // region z.
    let machines = machines_in(&["xa", "xb", "xc", "ya", "za"]);
    assert_eq!(next_voter_set(&[1, 2, 4], &machines, tolerance(1, 0, 0)), None);
    let four = next_voter_set(&[1, 2, 4], &machines, tolerance(1, 0, 1)).expect("a machine elsewhere");
    assert_eq!(four, [1, 2, 4, 5]);
    assert_eq!(next_voter_set(&four, &machines, tolerance(1, 0, 1)), Some(vec![1, 4, 5]));
    assert_eq!(next_voter_set(&[1, 4, 5], &machines, tolerance(1, 0, 1)), None);
    // The same for zones.
    let machines = machines_in(&["xa", "xa", "xb", "xc"]);
    let four = next_voter_set(&[1, 2, 3], &machines, tolerance(1, 1, 0)).expect("a machine elsewhere");
    assert_eq!(four, [1, 2, 3, 4]);
    assert_eq!(next_voter_set(&four, &machines, tolerance(1, 1, 0)), Some(vec![1, 3, 4]));
}

#[test]
fn a_voter_with_a_failing_disk_is_replaced_by_a_machine_with_a_working_disk() {
    let mut machines = machines_in(&["aa", "ab", "ac", "aa"]);
    (machines[1].votes, machines[1].disk_works) = (false, false);
    machines[1].unable_to_vote = TimeDelta::from_millis(3000);
    assert_eq!(next_voter_set(&[1, 2, 3], &machines, tolerance(1, 0, 0)), None, "below the timeout");
    machines[1].unable_to_vote = TimeDelta::from_millis(4000);
    machines[3].disk_works = false;
    assert_eq!(
        next_voter_set(&[1, 2, 3], &machines, tolerance(1, 0, 0)),
        None,
        "the only candidate has a failing disk"
    );
    machines[3].disk_works = true;
    assert_eq!(next_voter_set(&[1, 2, 3], &machines, tolerance(1, 0, 0)), Some(vec![1, 2, 3, 4]));
    assert_eq!(next_voter_set(&[1, 2, 3, 4], &machines, tolerance(1, 0, 0)), Some(vec![1, 3, 4]));
}

#[test]
fn a_voter_that_shuts_down_is_replaced_by_a_machine_that_stays() {
    let mut machines = machines_in(&["aa", "ab", "ac", "aa", "ab"]);
    let one_machine = tolerance(1, 0, 0);
    machines[1].stopping = true;
    machines[3].stopping = true;
    let four = next_voter_set(&[1, 2, 3], &machines, one_machine).expect("a machine that stays");
    assert_eq!(four, [1, 2, 3, 5]);
    assert!(has_substitute(2, &four, &machines, one_machine), "still a voter");
    assert_eq!(next_voter_set(&four, &machines, one_machine), Some(vec![1, 3, 5]));
    assert!(!has_substitute(2, &[1, 3, 5], &machines, one_machine), "no longer a voter");
    assert!(!has_substitute(2, &[1, 2, 3], &machines[..3], one_machine), "no substitute");
}
