//! Membership of the voter set: its size follows from the tolerated failures, its members are spread
//! over zones and regions, and a failed voter is replaced by an available machine. Decided without I/O;
//! each change is an entry of the replicated log.

use arrowyard_config::Tolerance;
use arrowyard_types::TimeDelta;

/// A machine must be reachable for this long before it may become a voter.
const MIN_REACHABLE_TIME: TimeDelta = TimeDelta::from_millis(400);
/// A voter that is unreachable for this long is replaced if another machine is available. A replacement
/// must have its vote within `settle-s`, before the next tolerated failure.
const UNREACHABLE_TIMEOUT: TimeDelta = TimeDelta::from_millis(2500);
/// A reachable voter that reports for this long that it cannot vote is replaced: its disk refuses
/// writes or hangs. A voter that only lost the contents of its disk is readmitted much sooner.
const UNABLE_TO_VOTE_TIMEOUT: TimeDelta = TimeDelta::from_millis(4000);

/// Status of a control machine as seen by the duty holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineStatus {
    pub ip: u32,
    pub zone: String,
    pub region: String,
    /// How long it has been reachable (`Ok`) or unreachable (`Err`).
    pub contact: Result<TimeDelta, TimeDelta>,
    /// Whether it last reported that its vote counts.
    pub votes: bool,
    /// How long it has reported that its vote does not count.
    pub unable_to_vote: TimeDelta,
    /// Whether its disk accepts writes.
    pub disk_works: bool,
    /// Whether it is shutting down. It is replaced without waiting for a restart.
    pub stopping: bool,
}

impl MachineStatus {
    fn is_failed(&self) -> bool {
        self.stopping
            || self.unable_to_vote >= UNABLE_TO_VOTE_TIMEOUT
            || self.contact.is_err_and(|silent| silent >= UNREACHABLE_TIMEOUT)
    }

    /// Whether it may become a voter.
    fn is_eligible(&self) -> bool {
        !self.stopping
            && self.disk_works
            && self.contact.is_ok_and(|reachable| reachable >= MIN_REACHABLE_TIME)
    }
}

/// Whether a voter that shuts down can be replaced by another machine, or is not needed.
pub fn has_substitute(voter: u32, voters: &[u32], machines: &[MachineStatus], tolerance: Tolerance) -> bool {
    let is_free = |machine: &MachineStatus| machine.is_eligible() && !voters.contains(&machine.ip);
    voters.contains(&voter) && (voters.len() > target_size(tolerance) || machines.iter().any(is_free))
}

/// Number of voters needed to survive the tolerated failures.
pub fn target_size(tolerance: Tolerance) -> usize {
    2 * tolerance.machines.max(tolerance.zones).max(tolerance.regions).max(1) as usize + 1
}

/// The next voter set, which differs from the current one by one voter; `None` if no change is needed
/// or possible. Safety: a machine gets its vote some time after it joins the set. So a replacement is
/// added first, and the failed voter is removed only once every remaining voter votes; otherwise one
/// more failure could leave too few votes.
pub fn next_voter_set(voters: &[u32], machines: &[MachineStatus], tolerance: Tolerance) -> Option<Vec<u32>> {
    let find = |ip: u32| machines.iter().find(|machine| machine.ip == ip);
    let members = || voters.iter().filter_map(|&voter| find(voter));
    let in_region = |region: &str| members().filter(|machine| machine.region == region).count();
    let in_zone = |zone: &str| members().filter(|machine| machine.zone == zone).count();
    let occupancy =
        |machine: &MachineStatus| (in_region(&machine.region), in_zone(&machine.zone), machine.ip);
    let has_failed = |voter: u32| find(voter).is_none_or(MachineStatus::is_failed);
    let failed = voters.iter().copied().find(|&voter| has_failed(voter));
    if voters.len() > target_size(tolerance) {
        let removed = failed
            .or_else(|| members().max_by_key(|machine| occupancy(machine)).map(|machine| machine.ip))?;
        let mut remaining = voters.iter().copied().filter(|&voter| voter != removed);
        let all_vote = remaining
            .clone()
            .all(|voter| has_failed(voter) || find(voter).is_some_and(|machine| machine.votes));
        return all_vote.then(|| remaining.by_ref().collect());
    }
    // Of the available machines, one whose region and zone have the fewest voters.
    let free = machines.iter().filter(|machine| machine.is_eligible() && !voters.contains(&machine.ip));
    let candidate = free.min_by_key(|machine| occupancy(machine))?;
    // Where a whole region or zone may fail, it must not contain a majority.
    let most_in_region = members().map(|machine| in_region(&machine.region)).max();
    let regions = tolerance.regions > 0 && most_in_region >= Some(in_region(&candidate.region) + 2);
    let most_in_zone = members().map(|machine| in_zone(&machine.zone)).max();
    let zones = tolerance.zones > 0 && most_in_zone >= Some(in_zone(&candidate.zone) + 2);
    (voters.len() < target_size(tolerance) || failed.is_some() || regions || zones).then(|| {
        let mut list: Vec<u32> = voters.iter().copied().chain([candidate.ip]).collect();
        list.sort_unstable();
        list
    })
}
