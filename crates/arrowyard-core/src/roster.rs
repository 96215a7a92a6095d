//! The hosts in this router's lists: their ids, addresses and latest entries.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use arrowyard_cells::index::CellIndex;
use arrowyard_platform_settings::{address_hash, timestamp_from_millis};
use arrowyard_store::Host;
use arrowyard_types::{
    Availability, CellId, GroupId, GroupMembership, GroupMemberships, HostEntry, HostId, ListKind,
    RouterEvent, TimeDelta, Timestamp, ZoneId,
};
use serde_json::{Map, Value};
use tokio::time::Instant;

use crate::limits::Limits;
use crate::list::{HostList, HostListEntry};

/// The membership of a host in a group without cells.
fn group_membership(group: GroupId) -> GroupMemberships {
    [GroupMembership { group, primary_only: false }].into()
}

/// The registry of database hosts.
pub struct HostRegistry {
    ids: HashMap<String, HostId>,
    addresses: Vec<Option<SocketAddr>>,
    entries: Vec<HostEntry>,
    zones: HashMap<String, ZoneId>,
    /// By host: its name, its group in the lists, and its size before it is scaled by trust.
    list_values: Vec<(String, GroupId, f64)>,
    /// The group ids that stand for a list's group within a cell. They count up from `i64::MIN`, which lists
    /// don't use.
    cell_groups: HashMap<(GroupId, CellId), GroupId>,
    /// Address hashes of hosts that are no longer ready, since the last `take_not_ready`.
    not_ready: Vec<u32>,
    /// Removed hosts with the time of removal, oldest first.
    removed: VecDeque<(Instant, String)>,
    /// By host: the number of the last full list in slices that named it; and the number of the current one.
    named_in: Vec<u64>,
    list_number: u64,
    limits: Rc<Limits>,
}

impl HostRegistry {
    pub fn new(settings: &Map<String, Value>, limits: Rc<Limits>) -> Self {
        let sites = settings.get("dcs").and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
        let sites = sites.iter().filter_map(Value::as_str).enumerate();
        let zones = sites.map(|(n, site)| (site.to_string(), ZoneId(n as u32))).collect();
        let (ids, addresses, entries, list_values, cell_groups, not_ready, removed) = Default::default();
        let (named_in, list_number) = (Vec::new(), 0);
        HostRegistry {
            ids,
            addresses,
            entries,
            zones,
            list_values,
            cell_groups,
            not_ready,
            removed,
            named_in,
            list_number,
            limits,
        }
    }

    pub fn address(&self, host: HostId) -> Option<SocketAddr> {
        self.addresses.get(host.0 as usize).copied().flatten()
    }

    /// Applies a list and returns the event for the decision module; a saved list is the last one before
    /// this start.
    pub fn apply_list(&mut self, list: &HostList, saved: bool) -> RouterEvent {
        let form = match (saved, list.is_full) {
            (true, _) => ListKind::Saved,
            (false, true) => ListKind::Full,
            (false, false) => ListKind::Incremental,
        };
        RouterEvent::HostList {
            kind: form,
            entries: list.entries.iter().map(|line| self.entry(line)).collect(),
        }
    }

    /// Entries applied from now on belong to the full list with this number.
    pub fn set_list_number(&mut self, list_number: u64) {
        self.list_number = list_number;
    }

    /// Removal entries for the hosts that the full list with this number did not name.
    pub fn missing_hosts(&self, list_number: u64) -> Vec<HostListEntry> {
        let present = self.entries.iter().zip(&self.named_in);
        let present = present
            .filter(|(entry, named_in)| entry.availability != Availability::Gone && **named_in < list_number);
        let line = |entry: &HostEntry| HostListEntry {
            host: self.list_values[entry.host.0 as usize].0.clone(),
            availability: Availability::Gone,
            address: None,
            site: None,
            group: None,
            size: None,
            started_at_ms: None,
            is_primary: None,
        };
        present.map(|(entry, _)| line(entry)).collect()
    }

    /// The id of the host that was removed first, for reuse, once none of its sends can be in flight. Reuse
    /// bounds the memory of a router whose hosts are replaced again and again.
    fn reusable_id(&mut self) -> Option<HostId> {
        let (since, _) = self.removed.front()?;
        if since.elapsed() < self.limits.removed_host_retention {
            return None;
        }
        let (_, name) = self.removed.pop_front()?;
        self.ids.remove(&name)
    }

    /// The id that stands for the group within the cell.
    pub fn cell_group(&mut self, group: GroupId, cell: CellId) -> GroupId {
        let next = GroupId(i64::MIN + self.cell_groups.len() as i64);
        *self.cell_groups.entry((group, cell)).or_insert(next)
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
            let (name, group, size) = self.list_values[entry.host.0 as usize].clone();
            let mut part = 1.0_f64;
            entry.memberships = index
                .cells_for_host(group, &name)
                .map(|(cell, guest)| {
                    if let Some(started) = entry.started_at.filter(|_| !guest) {
                        part = part.min(trust(cell, started));
                    }
                    GroupMembership { group: self.cell_group(group, cell), primary_only: guest }
                })
                .collect();
            entry.size = size * part;
        }
    }

    /// The latest entries of all hosts that are not removed.
    pub fn current_entries(&self) -> Vec<HostEntry> {
        self.entries.iter().filter(|entry| entry.availability != Availability::Gone).cloned().collect()
    }

    /// The hosts that are not removed, in the form of the store.
    pub fn stored_hosts(&self) -> Vec<Host> {
        let present = self.entries.iter().filter(|entry| entry.availability != Availability::Gone);
        let zone =
            |id: ZoneId| self.zones.iter().find(|(_, zone)| **zone == id).map(|(name, _)| name.clone());
        let host = |entry: &HostEntry| {
            let (name, group, size) = &self.list_values[entry.host.0 as usize];
            Host {
                name: name.clone(),
                dial: self.address(entry.host).map(|dial| dial.to_string()).unwrap_or_default(),
                site: zone(entry.zone).unwrap_or_default(),
                group: group.0,
                size: *size,
                born_ms: entry.started_at.map_or(0.0, |at| at.micros() as f64 / 1000.0),
                draining: entry.availability == Availability::Draining,
                was_primary: entry.is_primary,
            }
        };
        present.map(host).collect()
    }

    /// Address hashes of hosts that are no longer ready, since the last call.
    pub fn take_not_ready(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.not_ready)
    }

    /// Whether the host with this address hash is ready.
    pub fn is_ready(&self, tag: u32) -> bool {
        self.entries
            .iter()
            .any(|entry| entry.address_hash == tag && entry.availability == Availability::Ready)
    }

    /// The number of ready hosts.
    pub fn ready_count(&self) -> usize {
        self.entries.iter().filter(|entry| entry.availability == Availability::Ready).count()
    }

    /// Marks a ready host as draining because of hints; returns its entry.
    pub fn mark_draining(&mut self, tag: u32) -> Option<HostEntry> {
        let ready =
            |entry: &&mut HostEntry| entry.address_hash == tag && entry.availability == Availability::Ready;
        let entry = self.entries.iter_mut().find(ready)?;
        entry.availability = Availability::Draining;
        Some(entry.clone())
    }

    /// The hosts of a group of the lists, with their names.
    pub fn group_hosts(&self, group: GroupId) -> Vec<(HostId, &str)> {
        let of = |entry: &&HostEntry| self.list_values[entry.host.0 as usize].1 == group;
        let present = self.entries.iter().filter(|entry| entry.availability != Availability::Gone);
        present.filter(of).map(|entry| (entry.host, &*self.list_values[entry.host.0 as usize].0)).collect()
    }

    /// The cell that probes of the host count for: the first that it is a full member of, else the first.
    pub fn probe_cell(&self, host: HostId, index: &CellIndex) -> Option<CellId> {
        let (name, group, _) = self.list_values.get(host.0 as usize)?;
        let mut parts = index.cells_for_host(*group, name);
        let first = parts.next()?;
        let own = std::iter::once(first).chain(parts).find(|(_, guest)| !guest);
        Some(own.unwrap_or(first).0)
    }

    /// Whether the host started within this time.
    pub fn started_within(&self, host: HostId, now: Timestamp, within: TimeDelta) -> bool {
        let started = self.entries.get(host.0 as usize).and_then(|entry| entry.started_at);
        started.is_some_and(|started| now - started < within)
    }

    fn entry(&mut self, line: &HostListEntry) -> HostEntry {
        let known = self.ids.get(&line.host).copied();
        let host = known.or_else(|| self.reusable_id()).unwrap_or(HostId(self.addresses.len() as u32));
        let place = host.0 as usize;
        if known.is_none() {
            self.ids.insert(line.host.clone(), host);
            let (parts, zone, availability) = (group_membership(GroupId(0)), ZoneId(0), line.availability);
            let tag = address_hash(&line.host);
            let blank = HostEntry {
                host,
                address_hash: tag,
                availability,
                memberships: parts,
                zone,
                size: 1.0,
                is_primary: false,
                started_at: None,
            };
            if place == self.addresses.len() {
                self.addresses.push(None);
                self.named_in.push(0);
                self.entries.push(blank);
                self.list_values.push((line.host.clone(), GroupId(0), 1.0));
            } else {
                (self.addresses[place], self.entries[place]) = (None, blank);
                self.list_values[place] = (line.host.clone(), GroupId(0), 1.0);
            }
        }
        self.named_in[place] = self.list_number;
        let left = line.availability == Availability::Gone
            && (known.is_none() || self.entries[place].availability != Availability::Gone);
        if left {
            self.removed.push_back((Instant::now(), line.host.clone()));
        } else if line.availability != Availability::Gone {
            self.removed.retain(|(_, name)| *name != line.host);
        }
        self.addresses[place] = line.address.or(self.addresses[place]);
        let entry = &mut self.entries[place];
        if entry.availability == Availability::Ready
            && line.availability != Availability::Ready
            && known.is_some()
        {
            self.not_ready.push(entry.address_hash);
        }
        if entry.availability != line.availability || known.is_none() {
            let dial = self.addresses[place];
            tracing::info!(host = line.host, dial = ?dial, "host is {:?}", line.availability);
        }
        entry.availability = line.availability;
        let list_values = &mut self.list_values[place];
        list_values.1 = line.group.map_or(list_values.1, GroupId);
        list_values.2 = line.size.unwrap_or(list_values.2);
        (entry.memberships, entry.size) = (group_membership(list_values.1), list_values.2);
        entry.zone = line.site.as_ref().and_then(|site| self.zones.get(site).copied()).unwrap_or(entry.zone);
        entry.is_primary =
            line.is_primary.unwrap_or(entry.is_primary && line.availability != Availability::Gone);
        if let Some(born) = line.started_at_ms {
            entry.started_at = (born > 0.0).then(|| timestamp_from_millis(born));
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
        let mut roster = HostRegistry::new(&Map::new(), Rc::new(limits));
        let mut told = |host: &str, health: &str| {
            let line = serde_json::json!({"host": host, "health": health, "dial": "127.0.0.1:9"});
            let list =
                HostList::from_json(&serde_json::json!({"seq": 1, "hosts": [line]})).expect("it is whole");
            match roster.apply_list(&list, false) {
                RouterEvent::HostList { entries, .. } => (entries[0].host.0, entries[0].address_hash),
                other => panic!("{other:?}"),
            }
        };
        assert_eq!((told("a", "SERVING").0, told("b", "SERVING").0), (0, 1));
        assert_eq!((told("a", "DELETED").0, told("b", "DELETED").0), (0, 1));
        assert_eq!(told("b", "SERVING").0, 1);
        assert_eq!(told("c", "SERVING").0, 2, "sends to a may be in flight");
        tokio::time::advance(limits.removed_host_retention).await;
        assert_eq!(told("d", "SERVING"), (0, address_hash("d")));
        assert_eq!(told("e", "SERVING").0, 3, "b is back");
        assert_eq!(told("a", "SERVING").0, 4, "a removed host gets a new id");
    }
}
