//! The hosts that this router's lists have named: their ids, where to dial them, what was last said of them.

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

/// A group that is nobody's cell.
fn whole(group: GroupId) -> GroupMemberships {
    [GroupMembership { group, primary_only: false }].into()
}

pub struct HostRegistry {
    ids: HashMap<String, HostId>,
    dials: Vec<Option<SocketAddr>>,
    last: Vec<HostEntry>,
    zones: HashMap<String, ZoneId>,
    /// By host: its name, its group as lists name it, and its size without what trust makes of it.
    raw: Vec<(String, GroupId, f64)>,
    /// A group as a cell sees it, by the lists' group and the cell. Numbers that no list has: they begin where the
    /// least one ends.
    views: HashMap<(GroupId, CellId), GroupId>,
    /// What all routers call the hosts that ceased to be ready since somebody asked.
    ceased: Vec<u32>,
    /// Hosts that are gone, and since when; the longest first.
    gone: VecDeque<(Instant, String)>,
    /// By host: which whole list named it last, of those that are worked off in slices; and which one is in hand.
    named: Vec<u64>,
    turn: u64,
    limits: Rc<Limits>,
}

impl HostRegistry {
    pub fn new(settings: &Map<String, Value>, limits: Rc<Limits>) -> Self {
        let sites = settings.get("dcs").and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
        let sites = sites.iter().filter_map(Value::as_str).enumerate();
        let zones = sites.map(|(n, site)| (site.to_string(), ZoneId(n as u32))).collect();
        let (ids, dials, last, raw, views, ceased, gone) = Default::default();
        let (named, turn) = (Vec::new(), 0);
        HostRegistry { ids, dials, last, zones, raw, views, ceased, gone, named, turn, limits }
    }

    pub fn address(&self, host: HostId) -> Option<SocketAddr> {
        self.dials.get(host.0 as usize).copied().flatten()
    }

    /// The list as a note; a saved one is the router's last list before it started.
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

    /// From now on lines are of this whole list.
    pub fn set_list_number(&mut self, turn: u64) {
        self.turn = turn;
    }

    /// The hosts that this whole list did not name: they are gone by it.
    pub fn missing_hosts(&self, turn: u64) -> Vec<HostListEntry> {
        let there = self.last.iter().zip(&self.named);
        let there = there.filter(|(entry, named)| entry.availability != Availability::Gone && **named < turn);
        let line = |entry: &HostEntry| HostListEntry {
            host: self.raw[entry.host.0 as usize].0.clone(),
            availability: Availability::Gone,
            address: None,
            site: None,
            group: None,
            size: None,
            started_at_ms: None,
            is_primary: None,
        };
        there.map(|(entry, _)| line(entry)).collect()
    }

    /// The id of the host that is gone for longest, if none of its sends can be under way any more; it names another
    /// from now on. Danger: hosts come and go for as long as the router runs, and what is kept of each adds up.
    fn forget(&mut self) -> Option<HostId> {
        let (since, _) = self.gone.front()?;
        if since.elapsed() < self.limits.removed_host_retention {
            return None;
        }
        let (_, name) = self.gone.pop_front()?;
        self.ids.remove(&name)
    }

    /// The group as the cell sees it.
    pub fn cell_group(&mut self, group: GroupId, cell: CellId) -> GroupId {
        let next = GroupId(i64::MIN + self.views.len() as i64);
        *self.views.entry((group, cell)).or_insert(next)
    }

    /// The entries as cells divide them: each host in the views of its cells, and in those of the others as their
    /// primary only. `trust` tells for a cell how much of its size a host that started so lately is trusted with.
    pub fn assign_cells(
        &mut self,
        entries: &mut [HostEntry],
        index: &CellIndex,
        mut trust: impl FnMut(CellId, Timestamp) -> f64,
    ) {
        for entry in entries {
            let (name, group, size) = self.raw[entry.host.0 as usize].clone();
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

    /// All hosts that are there, as they were listed last.
    pub fn current_entries(&self) -> Vec<HostEntry> {
        self.last.iter().filter(|entry| entry.availability != Availability::Gone).cloned().collect()
    }

    /// The hosts that are there, for the store.
    pub fn stored_hosts(&self) -> Vec<Host> {
        let there = self.last.iter().filter(|entry| entry.availability != Availability::Gone);
        let zone =
            |id: ZoneId| self.zones.iter().find(|(_, zone)| **zone == id).map(|(name, _)| name.clone());
        let host = |entry: &HostEntry| {
            let (name, group, size) = &self.raw[entry.host.0 as usize];
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
        there.map(host).collect()
    }

    /// What all routers call the hosts that ceased to be ready since this was asked last.
    pub fn take_not_ready(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.ceased)
    }

    /// Whether the list holds the host that all routers call so as ready.
    pub fn is_ready(&self, tag: u32) -> bool {
        self.last.iter().any(|entry| entry.address_hash == tag && entry.availability == Availability::Ready)
    }

    /// How many hosts the list holds as ready.
    pub fn ready_count(&self) -> usize {
        self.last.iter().filter(|entry| entry.availability == Availability::Ready).count()
    }

    /// The host that all routers call so is held as leaving, by others' word; its entry.
    pub fn mark_draining(&mut self, tag: u32) -> Option<HostEntry> {
        let ready =
            |entry: &&mut HostEntry| entry.address_hash == tag && entry.availability == Availability::Ready;
        let entry = self.last.iter_mut().find(ready)?;
        entry.availability = Availability::Draining;
        Some(entry.clone())
    }

    /// The hosts of a group, as lists name it, and their names.
    pub fn group_hosts(&self, group: GroupId) -> Vec<(HostId, &str)> {
        let of = |entry: &&HostEntry| self.raw[entry.host.0 as usize].1 == group;
        let there = self.last.iter().filter(|entry| entry.availability != Availability::Gone);
        there.filter(of).map(|entry| (entry.host, &*self.raw[entry.host.0 as usize].0)).collect()
    }

    /// The cell in whose name the host is probed: the first whose own it is, else the first that it serves.
    pub fn probe_cell(&self, host: HostId, index: &CellIndex) -> Option<CellId> {
        let (name, group, _) = self.raw.get(host.0 as usize)?;
        let mut parts = index.cells_for_host(*group, name);
        let first = parts.next()?;
        let own = std::iter::once(first).chain(parts).find(|(_, guest)| !guest);
        Some(own.unwrap_or(first).0)
    }

    /// Whether the host started within this span.
    pub fn started_within(&self, host: HostId, now: Timestamp, within: TimeDelta) -> bool {
        let started = self.last.get(host.0 as usize).and_then(|entry| entry.started_at);
        started.is_some_and(|started| now - started < within)
    }

    fn entry(&mut self, line: &HostListEntry) -> HostEntry {
        let known = self.ids.get(&line.host).copied();
        let host = known.or_else(|| self.forget()).unwrap_or(HostId(self.dials.len() as u32));
        let place = host.0 as usize;
        if known.is_none() {
            self.ids.insert(line.host.clone(), host);
            let (parts, zone, availability) = (whole(GroupId(0)), ZoneId(0), line.availability);
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
            if place == self.dials.len() {
                self.dials.push(None);
                self.named.push(0);
                self.last.push(blank);
                self.raw.push((line.host.clone(), GroupId(0), 1.0));
            } else {
                (self.dials[place], self.last[place]) = (None, blank);
                self.raw[place] = (line.host.clone(), GroupId(0), 1.0);
            }
        }
        self.named[place] = self.turn;
        let left = line.availability == Availability::Gone
            && (known.is_none() || self.last[place].availability != Availability::Gone);
        if left {
            self.gone.push_back((Instant::now(), line.host.clone()));
        } else if line.availability != Availability::Gone {
            self.gone.retain(|(_, name)| *name != line.host);
        }
        self.dials[place] = line.address.or(self.dials[place]);
        let last = &mut self.last[place];
        if last.availability == Availability::Ready
            && line.availability != Availability::Ready
            && known.is_some()
        {
            self.ceased.push(last.address_hash);
        }
        if last.availability != line.availability || known.is_none() {
            let dial = self.dials[place];
            tracing::info!(host = line.host, dial = ?dial, "host is {:?}", line.availability);
        }
        last.availability = line.availability;
        let raw = &mut self.raw[place];
        raw.1 = line.group.map_or(raw.1, GroupId);
        raw.2 = line.size.unwrap_or(raw.2);
        (last.memberships, last.size) = (whole(raw.1), raw.2);
        last.zone = line.site.as_ref().and_then(|site| self.zones.get(site).copied()).unwrap_or(last.zone);
        last.is_primary =
            line.is_primary.unwrap_or(last.is_primary && line.availability != Availability::Gone);
        if let Some(born) = line.started_at_ms {
            last.started_at = (born > 0.0).then(|| timestamp_from_millis(born));
        }
        last.clone()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(start_paused = true)]
    async fn the_id_of_a_host_that_is_gone_is_given_away_once_its_sends_have_ended() {
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
        assert_eq!(told("c", "SERVING").0, 2, "sends to a may be under way");
        tokio::time::advance(limits.removed_host_retention).await;
        assert_eq!(told("d", "SERVING"), (0, address_hash("d")));
        assert_eq!(told("e", "SERVING").0, 3, "b is back");
        assert_eq!(told("a", "SERVING").0, 4, "the old host is a new one now");
    }
}
