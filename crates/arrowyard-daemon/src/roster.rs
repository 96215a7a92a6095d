//! The hosts that this router's lists have named: their ids, where to dial them, what was last said of them.

use std::collections::HashMap;
use std::net::SocketAddr;

use arrowyard_charter::{point, tag};
use arrowyard_types::{Availability, Entry, GroupId, HostId, ListForm, Note, ZoneId};
use serde_json::{Map, Value};

use crate::list::{Line, List};

#[derive(Default)]
pub struct Roster {
    ids: HashMap<String, HostId>,
    dials: Vec<Option<SocketAddr>>,
    last: Vec<Entry>,
    zones: HashMap<String, ZoneId>,
}

impl Roster {
    pub fn new(settings: &Map<String, Value>) -> Self {
        let sites = settings.get("dcs").and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
        let sites = sites.iter().filter_map(Value::as_str).enumerate();
        let zones = sites.map(|(n, site)| (site.to_string(), ZoneId(n as u32))).collect();
        Roster { zones, ..Roster::default() }
    }

    pub fn dial(&self, host: HostId) -> Option<SocketAddr> {
        self.dials.get(host.0 as usize).copied().flatten()
    }

    /// The list as a note; a saved one is the router's last list before it started.
    pub fn note(&mut self, list: &List, saved: bool) -> Note {
        let form = match (saved, list.whole) {
            (true, _) => ListForm::Saved,
            (false, true) => ListForm::Whole,
            (false, false) => ListForm::Changes,
        };
        Note::Listed { form, entries: list.lines.iter().map(|line| self.entry(line)).collect() }
    }

    fn entry(&mut self, line: &Line) -> Entry {
        let next = HostId(self.dials.len() as u32);
        let host = *self.ids.entry(line.host.clone()).or_insert(next);
        if host == next {
            self.dials.push(None);
            self.last.push(Entry {
                host,
                tag: tag(&line.host),
                availability: line.availability,
                group: GroupId(0),
                zone: ZoneId(0),
                size: 1.0,
                primary: false,
                started: None,
            });
        }
        let place = host.0 as usize;
        self.dials[place] = line.dial.or(self.dials[place]);
        let last = &mut self.last[place];
        if last.availability != line.availability || host == next {
            log::info!("host {} is {:?}, dial {:?}", line.host, line.availability, self.dials[place]);
        }
        last.availability = line.availability;
        last.group = line.group.map_or(last.group, GroupId);
        last.zone = line.site.as_ref().and_then(|site| self.zones.get(site).copied()).unwrap_or(last.zone);
        last.size = line.size.unwrap_or(last.size);
        last.primary = line.primary.unwrap_or(last.primary && line.availability != Availability::Gone);
        if let Some(born) = line.born_ms {
            last.started = (born > 0.0).then(|| point(born));
        }
        last.clone()
    }
}
