//! Who votes: decided from what the holder of the duty hears of the others, without I/O or clock.

use arrowyard_config::Tolerance;
use arrowyard_control::voter_set::{MachineStatus, has_substitute, next_voter_set, target_size};
use arrowyard_types::TimeDelta;

const THERE: Result<TimeDelta, TimeDelta> = Ok(TimeDelta::from_millis(5000));
const GONE: Result<TimeDelta, TimeDelta> = Err(TimeDelta::from_millis(4000));

fn bears(machines: u32, zones: u32, regions: u32) -> Tolerance {
    Tolerance { machines, zones, regions }
}

/// Machines 1 to `zones.len()`, each in its zone; zones named alike but for the last letter are one region.
fn fleet(zones: &[&str]) -> Vec<MachineStatus> {
    let machine = |(place, zone): (usize, &&str)| MachineStatus {
        ip: place as u32 + 1,
        zone: zone.to_string(),
        region: zone[..1].to_string(),
        contact: THERE,
        votes: true,
        unable_to_vote: TimeDelta::ZERO,
        disk_works: true,
        stopping: false,
    };
    zones.iter().enumerate().map(machine).collect()
}

#[test]
fn as_many_vote_as_the_loss_that_is_to_be_borne_asks_for() {
    assert_eq!(
        [target_size(bears(0, 0, 0)), target_size(bears(1, 0, 0)), target_size(bears(2, 0, 0))],
        [3, 3, 5]
    );
    assert_eq!(target_size(bears(1, 2, 1)), 5);
    let machines = fleet(&["aa", "ab", "ac", "aa", "ab", "ac"]);
    let four = next_voter_set(&[1, 2, 3], &machines, bears(2, 0, 0)).expect("two seats are free");
    assert_eq!(four, [1, 2, 3, 4]);
    // Where fewest vote.
    assert_eq!(next_voter_set(&four, &machines, bears(2, 0, 0)), Some(vec![1, 2, 3, 4, 5]));
    assert_eq!(next_voter_set(&[1, 2, 3, 4, 5], &machines, bears(2, 0, 0)), None);
    assert_eq!(next_voter_set(&[1, 2, 3], &machines, bears(1, 0, 0)), None);
    assert_eq!(next_voter_set(&[1, 2, 3], &machines[..3], bears(2, 0, 0)), None, "nobody is there for it");
}

#[test]
fn one_that_is_gone_goes_only_once_another_votes_in_its_place() {
    let mut machines = fleet(&["aa", "ab", "ac", "aa"]);
    machines[1].contact = Err(TimeDelta::from_millis(2000));
    assert_eq!(next_voter_set(&[1, 2, 3], &machines, bears(1, 0, 0)), None, "it may be back in a moment");
    machines[1].contact = GONE;
    machines[3].votes = false;
    let four = next_voter_set(&[1, 2, 3], &machines, bears(1, 0, 0)).expect("there is one for it");
    assert_eq!(four, [1, 2, 3, 4]);
    assert_eq!(next_voter_set(&four, &machines, bears(1, 0, 0)), None, "the new one does not vote yet");
    machines[3].votes = true;
    assert_eq!(next_voter_set(&four, &machines, bears(1, 0, 0)), Some(vec![1, 3, 4]));
    // One of which nothing at all is known is gone, too.
    assert_eq!(next_voter_set(&[1, 3, 9], &machines, bears(1, 0, 0)), Some(vec![1, 3, 4, 9]));
    // A machine that was only just heard of has no seat yet.
    machines[3].contact = Ok(TimeDelta::from_millis(100));
    assert_eq!(next_voter_set(&[1, 2, 3], &machines, bears(1, 0, 0)), None);
}

#[test]
fn one_too_many_goes_when_the_lost_one_is_back() {
    let machines = fleet(&["aa", "ab", "ac", "ab"]);
    assert_eq!(next_voter_set(&[1, 2, 3, 4], &machines, bears(1, 0, 0)), Some(vec![1, 2, 3]));
}

#[test]
fn a_place_that_may_be_lost_does_not_hold_the_majority() {
    // Two of three vote in region x; where a region may be lost, one of them gives its seat to one of region z.
    let machines = fleet(&["xa", "xb", "xc", "ya", "za"]);
    assert_eq!(next_voter_set(&[1, 2, 4], &machines, bears(1, 0, 0)), None);
    let four = next_voter_set(&[1, 2, 4], &machines, bears(1, 0, 1)).expect("it is spread");
    assert_eq!(four, [1, 2, 4, 5]);
    assert_eq!(next_voter_set(&four, &machines, bears(1, 0, 1)), Some(vec![1, 4, 5]));
    assert_eq!(next_voter_set(&[1, 4, 5], &machines, bears(1, 0, 1)), None);
    // The same for zones.
    let machines = fleet(&["xa", "xa", "xb", "xc"]);
    let four = next_voter_set(&[1, 2, 3], &machines, bears(1, 1, 0)).expect("it is spread");
    assert_eq!(four, [1, 2, 3, 4]);
    assert_eq!(next_voter_set(&four, &machines, bears(1, 1, 0)), Some(vec![1, 3, 4]));
}

#[test]
fn a_voter_whose_disk_refuses_or_hangs_gives_its_seat_to_a_machine_whose_disk_works() {
    let mut machines = fleet(&["aa", "ab", "ac", "aa"]);
    (machines[1].votes, machines[1].disk_works) = (false, false);
    machines[1].unable_to_vote = TimeDelta::from_millis(3000);
    assert_eq!(next_voter_set(&[1, 2, 3], &machines, bears(1, 0, 0)), None, "it may be well in a moment");
    machines[1].unable_to_vote = TimeDelta::from_millis(4000);
    machines[3].disk_works = false;
    assert_eq!(
        next_voter_set(&[1, 2, 3], &machines, bears(1, 0, 0)),
        None,
        "the other one's disk is no better"
    );
    machines[3].disk_works = true;
    assert_eq!(next_voter_set(&[1, 2, 3], &machines, bears(1, 0, 0)), Some(vec![1, 2, 3, 4]));
    assert_eq!(next_voter_set(&[1, 2, 3, 4], &machines, bears(1, 0, 0)), Some(vec![1, 3, 4]));
}

#[test]
fn a_voter_that_leaves_gives_its_seat_to_a_machine_that_stays() {
    let mut machines = fleet(&["aa", "ab", "ac", "aa", "ab"]);
    let bears = bears(1, 0, 0);
    machines[1].stopping = true;
    machines[3].stopping = true;
    let four = next_voter_set(&[1, 2, 3], &machines, bears).expect("there is one that stays");
    assert_eq!(four, [1, 2, 3, 5]);
    assert!(has_substitute(2, &four, &machines, bears), "it is not out yet");
    assert_eq!(next_voter_set(&four, &machines, bears), Some(vec![1, 3, 5]));
    assert!(!has_substitute(2, &[1, 3, 5], &machines, bears), "it is");
    assert!(!has_substitute(2, &[1, 2, 3], &machines[..3], bears), "there is nobody for its seat");
}
