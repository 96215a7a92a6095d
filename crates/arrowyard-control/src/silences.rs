//! Hosts that have stopped sending heartbeats, and floors of silent replicas.
//!
//! A floor is a position that the primary had after the replica fell silent: a host that has received as much
//! has everything that the replica acknowledged. The duty holder publishes its floors to all control machines,
//! so that the next holder has them if this one fails together with the primary.
//!
//! Safety: a floor is valid for one silence only, since a replica that was back in between has acknowledged
//! more. The number of the host's last call before the silence tells it from a later one.

use std::collections::BTreeMap;

use arrowyard_messages::{ReplicaFloor, ReplicaFloors};
use arrowyard_protocol::Position;
use arrowyard_types::Timestamp;

/// The hosts that send no heartbeats to any control machine.
#[derive(Debug, Default)]
pub struct Silences {
    since: BTreeMap<String, Timestamp>,
    last_calls: BTreeMap<String, u64>,
}

impl Silences {
    /// A control machine reports that a host is silent, and the last call that it has received from it.
    pub fn report(&mut self, host: &str, since: Timestamp, last_call: u64) {
        self.since.entry(host.to_string()).or_insert(since);
        let known = self.last_calls.entry(host.to_string()).or_default();
        *known = (*known).max(last_call);
    }

    /// Ends the silence of a host. Returns whether it was silent.
    pub fn end(&mut self, host: &str) -> bool {
        self.last_calls.remove(host);
        self.since.remove(host).is_some()
    }

    /// Whether a host is silent.
    pub fn contains(&self, host: &str) -> bool {
        self.since.contains_key(host)
    }

    /// Whether a call of this number shows that a silent host has been back.
    pub fn is_ended_by(&self, host: &str, call: u64) -> bool {
        self.last_calls.get(host).is_some_and(|last| call > *last)
    }

    /// The last call of a silent host.
    pub fn last_call(&self, host: &str) -> Option<u64> {
        self.last_calls.get(host).copied()
    }

    /// The silent hosts, and since when they are silent.
    pub fn since(&self) -> &BTreeMap<String, Timestamp> {
        &self.since
    }
}

/// The floors that the duty holder has published.
#[derive(Debug, Default)]
pub struct PublishedFloors {
    fence: u64,
    by_host: BTreeMap<String, ReplicaFloor>,
}

impl PublishedFloors {
    /// Applies a message of a duty holder; one under an older fencing token than the last one is ignored.
    pub fn update(&mut self, message: ReplicaFloors) {
        if message.fence < self.fence {
            return;
        }
        if message.whole || message.fence > self.fence {
            self.by_host.clear();
        }
        self.fence = message.fence;
        self.by_host.extend(message.floors.into_iter().map(|floor| (floor.host.clone(), floor)));
    }

    /// The floors that are not published yet under this fencing token; they count as published from now on.
    pub fn take_unpublished(&mut self, fence: u64, floors: Vec<ReplicaFloor>) -> Vec<ReplicaFloor> {
        if fence != self.fence {
            (self.fence, self.by_host) = (fence, BTreeMap::new());
        }
        let by_host: BTreeMap<String, ReplicaFloor> =
            floors.into_iter().map(|floor| (floor.host.clone(), floor)).collect();
        let is_new = |floor: &&ReplicaFloor| self.by_host.get(&floor.host) != Some(*floor);
        let unpublished = by_host.values().filter(is_new).cloned().collect();
        self.by_host = by_host;
        unpublished
    }

    /// All published floors.
    pub fn all(&self) -> Vec<ReplicaFloor> {
        self.by_host.values().cloned().collect()
    }

    /// The floors of hosts that have been silent since. A machine that has restarted may know an earlier last call of
    /// a host than the duty holder did; a later one shows that the host was back.
    pub fn valid<'a>(&'a self, silences: &'a Silences) -> impl Iterator<Item = (&'a str, Position)> {
        let is_valid = |floor: &&ReplicaFloor| {
            silences.last_call(&floor.host).is_some_and(|last_call| last_call <= floor.last_call)
        };
        self.by_host.values().filter(is_valid).map(|floor| {
            (floor.host.as_str(), Position { term: floor.received_term, number: floor.received_number })
        })
    }
}
