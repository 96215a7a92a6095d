//! Which routers have confirmed the planned replacements that this duty holder announces. A planned change
//! compares the candidate with the old primary only after all routers check its commits.

use std::collections::BTreeMap;

use arrowyard_messages::{Payload, Replacement};
use arrowyard_types::{TimeDelta, Timestamp};

/// Validity of a forwarded list. The duty holder repeats its list four times a second while it is not empty.
const FORWARDED_LIST_VALIDITY: TimeDelta = TimeDelta::from_millis(1000);

/// The list of replacements last forwarded to routers, for those that subscribe later.
#[derive(Debug, Default)]
pub struct ForwardedList {
    last: Option<(Timestamp, Payload)>,
}

impl ForwardedList {
    /// Records a list that is forwarded now.
    pub fn record(&mut self, now: Timestamp, list: Payload) {
        self.last = Some((now, list));
    }

    /// The list to send to a router that subscribes now. A list that the duty holder no longer repeats may be
    /// of a replacement that has ended.
    pub fn for_subscriber(&self, now: Timestamp) -> Option<&Payload> {
        let (at, list) = self.last.as_ref()?;
        (now - *at < FORWARDED_LIST_VALIDITY).then_some(list)
    }
}

/// Numbered lists of planned replacements under one fence, and the routers that act by them.
#[derive(Debug, Default)]
pub struct Announcements {
    /// Number of the last published list.
    number: u64,
    /// By service: the planned replacement, and the first list that contains it.
    planned: BTreeMap<String, (Replacement, u64)>,
    /// By the incarnation of a router: the newest list that it has confirmed.
    confirmed: BTreeMap<u64, u64>,
}

impl Announcements {
    /// Number of the last published list.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Numbers the next list, which has these planned replacements.
    pub fn lists_changed(&mut self, planned: &[Replacement]) {
        self.number += 1;
        let number = self.number;
        let mut last = std::mem::take(&mut self.planned);
        for change in planned {
            let known = last.remove(&change.service).filter(|(known, _)| known.candidate == change.candidate);
            let since = known.map_or(number, |(_, since)| since);
            self.planned.insert(change.service.clone(), (change.clone(), since));
        }
        if planned.is_empty() {
            self.confirmed.clear();
        }
    }

    /// A router acts by the list of this number.
    pub fn router_confirmed(&mut self, router: u64, number: u64) {
        let newest = self.confirmed.entry(router).or_default();
        *newest = (*newest).max(number);
    }

    /// The number of routers that act by the planned replacement of a service; `None` if none is announced.
    pub fn confirmations(&self, service: &str) -> Option<usize> {
        let (_, since) = self.planned.get(service)?;
        Some(self.confirmed.values().filter(|number| *number >= since).count())
    }
}
