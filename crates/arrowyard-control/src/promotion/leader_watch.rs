//! Whether a service has a host that leads it. Every control machine watches, so that whoever takes up the duty knows since
//! when there is none.

use arrowyard_messages::Phase;
use arrowyard_types::{TimeDelta, Timestamp};

use crate::HostRegistry;

/// A service of which no host has said for so long that it leads gets a primary. Hosts call every 1.2 s, and those of a
/// start in any order.
const LEADERLESS: TimeDelta = TimeDelta::from_millis(3000);
/// The same where the host that led says itself that it does so no more: only a change that an earlier owner of the duty
/// began may still be under way, and it takes a second and a half at most.
const DEPOSED: TimeDelta = TimeDelta::from_millis(2000);

/// What is known of one service's leader.
#[derive(Clone, Debug, Default)]
pub struct LeaderWatch {
    /// The host that was known to lead last.
    last: Option<String>,
    /// Since when no host says that it leads.
    leaderless_since: Option<Timestamp>,
}

impl LeaderWatch {
    /// Takes in what hosts say by now.
    pub fn update(&mut self, now: Timestamp, service: &str, cell: &HostRegistry) {
        let primary = cell.primary(service);
        if primary.is_some() || cell.members(service).next().is_none() {
            self.last = primary.map(|host| host.id.clone()).or(self.last.take());
            self.leaderless_since = None;
        } else {
            self.leaderless_since.get_or_insert(now);
        }
    }

    /// Whether no host says that it leads, for whatever time.
    pub fn is_open(&self) -> bool {
        self.leaderless_since.is_some()
    }

    /// Whether the service needs a primary: one that was told to yield did so, and whoever was to replace it was lost with
    /// the owner of the duty.
    pub fn is_leaderless(&self, now: Timestamp, cell: &HostRegistry) -> bool {
        let last = self.last.as_ref().and_then(|id| cell.get(id));
        let is_deposed = last.is_some_and(|host| host.phase() != Phase::Gone);
        let wait = if is_deposed { DEPOSED } else { LEADERLESS };
        self.leaderless_since.is_some_and(|since| now - since >= wait)
    }
}
