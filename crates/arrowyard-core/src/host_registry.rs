//! The hosts in this router's lists: their ids, addresses and latest entries.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use arrowyard_cells::index::CellIndex;
use arrowyard_platform_settings::{name_hash, timestamp_from_millis};
use arrowyard_store::Host;
use arrowyard_types::{
    Availability, CellId, GroupId, GroupMembership, GroupMemberships, HostEntry, HostId, ListKind,
    RouterEvent, TimeDelta, Timestamp, ZoneId,
};
use serde_json::{Map, Value};
use tokio::time::Instant;

use crate::host_list::{HostList, HostListEntry};
use crate::limits::Limits;

/// The memberships of a host of the group if no cells are configured.
fn group_membership(group: GroupId) -> GroupMemberships {
    [GroupMembership { group, primary_only: false }].into()
}

/// The registry of database hosts.
pub struct HostRegistry {
    ids: HashMap<String, HostId>,
    addresses: Vec<Option<SocketAddr>>,
    entries: Vec<HostEntry>,
    zones: HashMap<String, ZoneId>,
    /// By host, from the lists: its name, its group, and its size before it is scaled by trust.
    listed_values: Vec<(String, GroupId, f64)>,
    /// The group ids that represent a list's group within a cell. They are assigned upwards from `i64::MIN`,
    /// a range that lists do not use.
    cell_groups: HashMap<(GroupId, CellId), GroupId>,
    /// Name hashes of hosts that are no longer ready, since the last `take_not_ready`.
    not_ready: Vec<u32>,
    /// Removed hosts with the time of removal, oldest first.
    removed: VecDeque<(Instant, String)>,
    /// By host: the number of the last full list that contains it. Only full lists that are applied in slices
    /// have a number.
    last_list_number: Vec<u64>,
    /// The number of the list that is being applied.
    list_number: u64,
    limits: Rc<Limits>,
}

impl HostRegistry {
    /// Creates an empty registry; the zones are taken from the settings.
    pub fn new(settings: &Map<String, Value>, limits: Rc<Limits>) -> Self {
        let sites = settings.get("dcs").and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
        let sites = sites.iter().filter_map(Value::as_str).enumerate();
        let zones = sites.map(|(index, site)| (site.to_string(), ZoneId(index as u32))).collect();
        let (ids, addresses, entries, listed_values, cell_groups, not_ready, removed) = Default::default();
        let (last_list_number, list_number) = (Vec::new(), 0);
        HostRegistry {
            ids,
            addresses,
            entries,
            zones,
            listed_values,
            cell_groups,
            not_ready,
            removed,
            last_list_number,
            list_number,
            limits,
        }
    }

    /// The host's address, if it is known.
    pub fn address(&self, host: HostId) -> Option<SocketAddr> {
        self.addresses.get(host.0 as usize).copied().flatten()
    }

    /// Applies a list and returns the event for the decision module. `is_saved` marks the list that was saved
    /// before this start.
    pub fn apply_list(&mut self, list: &HostList, is_saved: bool) -> RouterEvent {
        let kind = match (is_saved, list.is_full) {
            (true, _) => ListKind::Saved,
            (false, true) => ListKind::Full,
            (false, false) => ListKind::Incremental,
        };
        RouterEvent::HostList {
            kind,
            entries: list.entries.iter().map(|list_entry| self.update_entry(list_entry)).collect(),
        }
    }

    /// Entries that are applied from now on belong to the full list with this number.
    pub fn set_list_number(&mut self, list_number: u64) {
        self.list_number = list_number;
    }

    /// Removal entries for the hosts that the full list with this number does not contain.
    pub fn missing_hosts(&self, list_number: u64) -> Vec<HostListEntry> {
        let present = self.entries.iter().zip(&self.last_list_number);
        let present = present.filter(|(entry, last_list_number)| {
            entry.availability != Availability::Gone && **last_list_number < list_number
        });
        let removal_entry = |entry: &HostEntry| HostListEntry {
            host: self.listed_values[entry.host.0 as usize].0.clone(),
            availability: Availability::Gone,
            address: None,
            site: None,
            group: None,
            size: None,
            started_at_ms: None,
            is_primary: None,
        };
        present.map(|(entry, _)| removal_entry(entry)).collect()
    }

    /// The id of the host that was removed longest ago, for reuse, once none of its sends can be in flight.
    /// Reuse bounds the memory of a router whose hosts are replaced repeatedly.
    fn reusable_id(&mut self) -> Option<HostId> {
        let (removed_at, _) = self.removed.front()?;
        if removed_at.elapsed() < self.limits.removed_host_retention {
            return None;
        }
        let (_, name) = self.removed.pop_front()?;
        self.ids.remove(&name)
    }

    /// The group id that represents the group within the cell.
    pub fn cell_group(&mut self, group: GroupId, cell: CellId) -> GroupId {
        let next_id = GroupId(i64::MIN + self.cell_groups.len() as i64);
        *self.cell_groups.entry((group, cell)).or_insert(next_id)
    }

    /// Sets the memberships of the entries: full members in the host's own cells, primary only in the
    /// others. `trust` gives the fraction of its size that a host of the cell with this start time is
    /// trusted with.
    pub fn assign_cells(
        &mut self,
        entries: &mut [HostEntry],
        index: &CellIndex,
        mut trust: impl FnMut(CellId, Timestamp) -> f64,
    ) {
        for entry in entries {
            let (name, group, size) = self.listed_values[entry.host.0 as usize].clone();
            let mut trusted_fraction = 1.0_f64;
            entry.memberships = index
                .cells_for_host(group, &name)
                .map(|(cell, is_guest)| {
                    if let Some(started_at) = entry.started_at.filter(|_| !is_guest) {
                        trusted_fraction = trusted_fraction.min(trust(cell, started_at));
                    }
                    GroupMembership { group: self.cell_group(group, cell), primary_only: is_guest }
                })
                .collect();
            entry.size = size * trusted_fraction;
        }
    }

    /// The latest entries of all hosts that are not removed.
    pub fn current_entries(&self) -> Vec<HostEntry> {
        self.entries.iter().filter(|entry| entry.availability != Availability::Gone).cloned().collect()
    }

    /// The hosts that are not removed, in the form of the store.
    pub fn stored_hosts(&self) -> Vec<Host> {
        let present = self.entries.iter().filter(|entry| entry.availability != Availability::Gone);
        let zone_name =
            |id: ZoneId| self.zones.iter().find(|(_, zone)| **zone == id).map(|(name, _)| name.clone());
        let to_stored = |entry: &HostEntry| {
            let (name, group, size) = &self.listed_values[entry.host.0 as usize];
            Host {
                name: name.clone(),
                dial: self.address(entry.host).map(|address| address.to_string()).unwrap_or_default(),
                site: zone_name(entry.zone).unwrap_or_default(),
                group: group.0,
                size: *size,
                born_ms: entry.started_at.map_or(0.0, |at| at.micros() as f64 / 1000.0),
                draining: entry.availability == Availability::Draining,
                was_primary: entry.is_primary,
            }
        };
        present.map(to_stored).collect()
    }

    /// Name hashes of hosts that are no longer ready, since the last call.
    pub fn take_not_ready(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.not_ready)
    }

    /// Whether the host with this name hash is ready.
    pub fn is_ready(&self, name_hash: u32) -> bool {
        self.entries
            .iter()
            .any(|entry| entry.name_hash == name_hash && entry.availability == Availability::Ready)
    }

    /// The number of ready hosts.
    pub fn ready_count(&self) -> usize {
        self.entries.iter().filter(|entry| entry.availability == Availability::Ready).count()
    }

    /// Marks a ready host as draining because of hints; returns its entry.
    pub fn mark_draining(&mut self, name_hash: u32) -> Option<HostEntry> {
        let is_match = |entry: &&mut HostEntry| {
            entry.name_hash == name_hash && entry.availability == Availability::Ready
        };
        let entry = self.entries.iter_mut().find(is_match)?;
        entry.availability = Availability::Draining;
        Some(entry.clone())
    }

    /// The hosts of a group of the lists, with their names.
    pub fn group_hosts(&self, group: GroupId) -> Vec<(HostId, &str)> {
        let is_in_group = |entry: &&HostEntry| self.listed_values[entry.host.0 as usize].1 == group;
        let present = self.entries.iter().filter(|entry| entry.availability != Availability::Gone);
        present
            .filter(is_in_group)
            .map(|entry| (entry.host, &*self.listed_values[entry.host.0 as usize].0))
            .collect()
    }

    /// The cell to whose limits probes of the host count: the first one of which the host is a full member,
    /// or else its first one.
    pub fn probe_cell(&self, host: HostId, index: &CellIndex) -> Option<CellId> {
        let (name, group, _) = self.listed_values.get(host.0 as usize)?;
        let mut cells = index.cells_for_host(*group, name);
        let first = cells.next()?;
        let own_cell = std::iter::once(first).chain(cells).find(|(_, is_guest)| !is_guest);
        Some(own_cell.unwrap_or(first).0)
    }

    /// Whether the host started within this time.
    pub fn started_within(&self, host: HostId, now: Timestamp, period: TimeDelta) -> bool {
        let started_at = self.entries.get(host.0 as usize).and_then(|entry| entry.started_at);
        started_at.is_some_and(|started_at| now - started_at < period)
    }

    /// Updates the entry of a host from a list; a host that is not known gets an id.
    fn update_entry(&mut self, list_entry: &HostListEntry) -> HostEntry {
        let known_id = self.ids.get(&list_entry.host).copied();
        let host = known_id.or_else(|| self.reusable_id()).unwrap_or(HostId(self.addresses.len() as u32));
        let index = host.0 as usize;
        if known_id.is_none() {
            self.ids.insert(list_entry.host.clone(), host);
            let (memberships, zone, availability) =
                (group_membership(GroupId(0)), ZoneId(0), list_entry.availability);
            let name_hash = name_hash(&list_entry.host);
            let new_entry = HostEntry {
                host,
                name_hash,
                availability,
                memberships,
                zone,
                size: 1.0,
                is_primary: false,
                started_at: None,
            };
            if index == self.addresses.len() {
                self.addresses.push(None);
                self.last_list_number.push(0);
                self.entries.push(new_entry);
                self.listed_values.push((list_entry.host.clone(), GroupId(0), 1.0));
            } else {
                (self.addresses[index], self.entries[index]) = (None, new_entry);
                self.listed_values[index] = (list_entry.host.clone(), GroupId(0), 1.0);
            }
        }
        self.last_list_number[index] = self.list_number;
        let is_newly_removed = list_entry.availability == Availability::Gone
            && (known_id.is_none() || self.entries[index].availability != Availability::Gone);
        if is_newly_removed {
            self.removed.push_back((Instant::now(), list_entry.host.clone()));
        } else if list_entry.availability != Availability::Gone {
            self.removed.retain(|(_, name)| *name != list_entry.host);
        }
        self.addresses[index] = list_entry.address.or(self.addresses[index]);
        let entry = &mut self.entries[index];
        if entry.availability == Availability::Ready
            && list_entry.availability != Availability::Ready
            && known_id.is_some()
        {
            self.not_ready.push(entry.name_hash);
        }
        if entry.availability != list_entry.availability || known_id.is_none() {
            let address = self.addresses[index];
            tracing::info!(host = list_entry.host, dial = ?address, "host is {:?}", list_entry.availability);
        }
        entry.availability = list_entry.availability;
        let (_, group, size) = &mut self.listed_values[index];
        *group = list_entry.group.map_or(*group, GroupId);
        *size = list_entry.size.unwrap_or(*size);
        (entry.memberships, entry.size) = (group_membership(*group), *size);
        entry.zone =
            list_entry.site.as_ref().and_then(|site| self.zones.get(site).copied()).unwrap_or(entry.zone);
        entry.is_primary = list_entry
            .is_primary
            .unwrap_or(entry.is_primary && list_entry.availability != Availability::Gone);
        if let Some(started_at_ms) = list_entry.started_at_ms {
            entry.started_at = (started_at_ms > 0.0).then(|| timestamp_from_millis(started_at_ms));
        }
        entry.clone()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(start_paused = true)]
    async fn the_id_of_a_removed_host_is_reused_once_its_sends_ended() {
        let limits = Limits::for_test(serde_json::json!({})).2;
        let mut registry = HostRegistry::new(&Map::new(), Rc::new(limits));
        let mut update_host = |host: &str, health: &str| {
            let list_entry = serde_json::json!({"host": host, "health": health, "dial": "127.0.0.1:9"});
            let list = HostList::from_json(&serde_json::json!({"seq": 1, "hosts": [list_entry]}))
                .expect("the list is valid");
            match registry.apply_list(&list, false) {
                RouterEvent::HostList { entries, .. } => (entries[0].host.0, entries[0].name_hash),
                other => panic!("{other:?}"),
            }
        };
        assert_eq!((update_host("a", "SERVING").0, update_host("b", "SERVING").0), (0, 1));
        assert_eq!((update_host("a", "DELETED").0, update_host("b", "DELETED").0), (0, 1));
        assert_eq!(update_host("b", "SERVING").0, 1);
        assert_eq!(update_host("c", "SERVING").0, 2, "sends to a may be in flight");
        tokio::time::advance(limits.removed_host_retention).await;
        assert_eq!(update_host("d", "SERVING"), (0, name_hash("d")));
        assert_eq!(update_host("e", "SERVING").0, 3, "b is back");
        assert_eq!(update_host("a", "SERVING").0, 4, "a removed host gets a new id");
    }
}
