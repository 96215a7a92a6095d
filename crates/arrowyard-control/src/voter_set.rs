//! Who votes in the ledger: as many as what may be lost asks for, spread over places; a voter that is gone for good gives
//! its seat to a machine that is there. Decided here without I/O; entered in the ledger like all else.

use arrowyard_config::Tolerance;
use arrowyard_types::TimeDelta;

/// A machine that has been heard of for so long may have a seat.
const FRESH: TimeDelta = TimeDelta::from_millis(400);
/// A voter that was not heard of for so long loses its seat, if there is a machine for it. Danger: a new machine in the
/// place of one that is gone must vote within `settle-s`, or the next loss is one too many.
const GONE: TimeDelta = TimeDelta::from_millis(2500);
/// A voter that is there, and has said for so long that its vote does not count, loses its seat likewise: its disk
/// refuses or hangs. One that only lost its disk is let in again much sooner.
const UNABLE: TimeDelta = TimeDelta::from_millis(4000);

/// A control machine, as the holder of the duty sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineStatus {
    pub ip: u32,
    pub zone: String,
    pub region: String,
    /// For how long it has been heard of, or not.
    pub contact: Result<TimeDelta, TimeDelta>,
    /// Whether its vote counts, as it said last.
    pub votes: bool,
    /// For how long it has said that its vote does not count.
    pub unable_to_vote: TimeDelta,
    /// Whether its disk takes what it is told to keep.
    pub disk_works: bool,
    /// Whether it was told to end. It may come back, or be gone for good; its seat does not wait for that.
    pub stopping: bool,
}

impl MachineStatus {
    fn is_lost(&self) -> bool {
        self.stopping || self.unable_to_vote >= UNABLE || self.contact.is_err_and(|silent| silent >= GONE)
    }

    /// Whether it may have a seat.
    fn is_fit(&self) -> bool {
        !self.stopping && self.disk_works && self.contact.is_ok_and(|heard| heard >= FRESH)
    }
}

/// Whether a voter that leaves can give its seat to another machine.
pub fn has_substitute(voter: u32, voters: &[u32], machines: &[MachineStatus], tolerance: Tolerance) -> bool {
    let is_free = |machine: &MachineStatus| machine.is_fit() && !voters.contains(&machine.ip);
    voters.contains(&voter) && (voters.len() > target_size(tolerance) || machines.iter().any(is_free))
}

/// So many voters bear the loss of what may be lost at once.
pub fn target_size(tolerance: Tolerance) -> usize {
    2 * tolerance.machines.max(tolerance.zones).max(tolerance.regions).max(1) as usize + 1
}

/// The next list of voters, one seat further; nothing where all is as it should be, or nobody is there to change it.
/// Danger: a machine gets its vote some time after its seat. Were it put straight into another's place, one more loss
/// meanwhile would leave too few that vote; so first comes one more, and only once that one votes, one goes.
pub fn next_voter_set(voters: &[u32], machines: &[MachineStatus], tolerance: Tolerance) -> Option<Vec<u32>> {
    let of = |ip: u32| machines.iter().find(|machine| machine.ip == ip);
    let seated = || voters.iter().filter_map(|&voter| of(voter));
    let in_region = |region: &str| seated().filter(|machine| machine.region == region).count();
    let in_zone = |zone: &str| seated().filter(|machine| machine.zone == zone).count();
    let crowd = |machine: &MachineStatus| (in_region(&machine.region), in_zone(&machine.zone), machine.ip);
    let gone = |voter: u32| of(voter).is_none_or(MachineStatus::is_lost);
    let lost = voters.iter().copied().find(|&voter| gone(voter));
    if voters.len() > target_size(tolerance) {
        let out = lost.or_else(|| seated().max_by_key(|machine| crowd(machine)).map(|machine| machine.ip))?;
        let mut left = voters.iter().copied().filter(|&voter| voter != out);
        let settled = left.clone().all(|voter| gone(voter) || of(voter).is_some_and(|machine| machine.votes));
        return settled.then(|| left.by_ref().collect());
    }
    // Of those that are there, one where fewest vote.
    let free = machines.iter().filter(|machine| machine.is_fit() && !voters.contains(&machine.ip));
    let best = free.min_by_key(|machine| crowd(machine))?;
    // Danger: where a whole place may be lost, it must not take the majority with it.
    let most_in_region = seated().map(|machine| in_region(&machine.region)).max();
    let regions = tolerance.regions > 0 && most_in_region >= Some(in_region(&best.region) + 2);
    let most_in_zone = seated().map(|machine| in_zone(&machine.zone)).max();
    let zones = tolerance.zones > 0 && most_in_zone >= Some(in_zone(&best.zone) + 2);
    (voters.len() < target_size(tolerance) || lost.is_some() || regions || zones).then(|| {
        let mut list: Vec<u32> = voters.iter().copied().chain([best.ip]).collect();
        list.sort_unstable();
        list
    })
}
