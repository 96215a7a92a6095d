//! Hosts that say that they leave, or have left, are acknowledged once that is on the disks of a majority of the voters.
//!
//! Safety: from the acknowledgement on, no request may reach the host after `drain-bound-ms`, whoever took the call. A
//! machine that is cut off, frozen or lost right after it, or all that lose power, must not leave the others with a host
//! that is in service. Every router is fed by a machine in touch with a majority, and machines that differ in what they
//! know of hosts exchange all of it, so what a majority has reaches every router.

use std::collections::{BTreeMap, BTreeSet};

use arrowyard_messages::{DepartureNotice, DepartureStored, Host, Payload, Phase};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{TimeDelta, Timestamp};

use super::Control;
use crate::record::RecordKind;

/// A departure that no majority has kept in so long is not acknowledged; a host waits for a second at most.
const KEPT: TimeDelta = TimeDelta::from_millis(800);

/// A departure that its host waits for.
#[derive(Clone, Debug, PartialEq)]
pub struct Departure {
    pub conn: Conn,
    pub host: Host,
    /// What it is answered.
    pub reply: String,
    /// The record by which this machine keeps it.
    record: u64,
    kept_by: BTreeSet<u32>,
    until: Timestamp,
}

/// What this machine is asked to acknowledge, and to keep for others.
#[derive(Debug, Default)]
pub struct Departures {
    last: u64,
    waiting: BTreeMap<u64, Departure>,
    /// By record: who asked for it, and that machine's number.
    for_others: BTreeMap<u64, (u32, u64)>,
    acknowledged: BTreeMap<String, Phase>,
}

impl Departures {
    /// Those of one life. Safety: numbers of two lives differ, so that a word on a departure of an earlier life does not
    /// pass for one on a departure of this life.
    pub fn new(incarnation: u64) -> Self {
        Departures { last: incarnation >> 1, ..Departures::default() }
    }

    /// A host waits; this machine keeps it by this record. Its number is told to the others.
    pub fn begin(&mut self, now: Timestamp, conn: Conn, host: Host, reply: String, record: u64) -> u64 {
        self.last += 1;
        let departure = Departure { conn, host, reply, record, kept_by: BTreeSet::new(), until: now + KEPT };
        self.waiting.insert(self.last, departure);
        self.last
    }

    /// Another machine wants to know when this record is kept.
    pub fn keep_for(&mut self, record: u64, ip: u32, number: u64) {
        self.for_others.insert(record, (ip, number));
    }

    /// The fate of a record is known: whom to tell of which number.
    pub fn stored(&mut self, me: u32, record: u64, kept: bool) -> Option<(u32, u64)> {
        if let Some(departure) = self.waiting.values_mut().find(|departure| departure.record == record)
            && kept
        {
            departure.kept_by.insert(me);
        }
        self.for_others.remove(&record).filter(|_| kept)
    }

    /// A machine has this departure on its disk.
    pub fn kept(&mut self, by: u32, number: u64) {
        if let Some(departure) = self.waiting.get_mut(&number) {
            departure.kept_by.insert(by);
        }
    }

    /// Departures that a majority of these voters keeps: they can be acknowledged.
    pub fn settle(&mut self, voters: &[u32]) -> Vec<Departure> {
        let is_kept = |departure: &Departure| {
            voters.iter().filter(|voter| departure.kept_by.contains(voter)).count() * 2 > voters.len()
        };
        let settled: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(_, departure)| is_kept(departure))
            .map(|(number, _)| *number)
            .collect();
        let settled: Vec<Departure> =
            settled.into_iter().filter_map(|number| self.waiting.remove(&number)).collect();
        for departure in &settled {
            self.acknowledged.insert(departure.host.id.clone(), departure.host.phase());
        }
        settled
    }

    /// Departures that were not kept by a majority in time.
    pub fn late(&mut self, now: Timestamp) -> Vec<Departure> {
        self.waiting.extract_if(.., |_, departure| departure.until <= now).map(|(_, late)| late).collect()
    }

    /// Whether a majority is known to keep that a host leaves, or has left.
    pub fn is_acknowledged(&self, host: &str, phase: Phase) -> bool {
        self.acknowledged.get(host).is_some_and(|known| *known == phase || *known == Phase::Gone)
    }

    /// Forgets hosts that are not known any more.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.acknowledged.retain(|host, _| is_known(host));
    }

    pub fn due(&self) -> Option<Timestamp> {
        self.waiting.values().map(|departure| departure.until).min()
    }
}

impl Control {
    /// A host says here that it leaves or has left: it is answered once a majority keeps that.
    pub(super) fn departs(
        &mut self,
        now: Timestamp,
        conn: Conn,
        host: Host,
        reply: String,
        commands: &mut Commands,
    ) {
        if self.departures.is_acknowledged(&host.id, host.phase()) {
            return self.reply(conn, 200, &reply, commands);
        }
        self.wait_for(conn);
        let record = self.keep_departure(now, &host, commands);
        let number = self.departures.begin(now, conn, host.clone(), reply, record);
        self.say_to_peers(&Payload::DepartureNotice(DepartureNotice { number, host }), commands);
        if !self.has_disk {
            self.departure_stored(now, record, true, commands);
        }
    }

    fn keep_departure(&mut self, now: Timestamp, host: &Host, commands: &mut Commands) -> u64 {
        let kept = RecordKind::Departing(host.clone());
        self.with_ledger(now, commands, |ledger, out| ledger.store_record(kept, out))
    }

    /// Another control machine was told that a host leaves or has left.
    pub(super) fn departure_told(
        &mut self,
        now: Timestamp,
        ip: u32,
        departing: DepartureNotice,
        commands: &mut Commands,
    ) {
        let DepartureNotice { number, host } = departing;
        if self.cell.merge_report(now, host.clone()) {
            if host.phase() == Phase::Gone {
                self.left.push((now, host.clone()));
            }
            self.pass_on(vec![host.clone()], commands);
            self.look(now, commands);
        }
        let record = self.keep_departure(now, &host, commands);
        self.departures.keep_for(record, ip, number);
        if !self.has_disk {
            self.departure_stored(now, record, true, commands);
        }
    }

    /// The fate of a record is known; it may be a departure's.
    pub(super) fn departure_stored(
        &mut self,
        now: Timestamp,
        record: u64,
        kept: bool,
        commands: &mut Commands,
    ) {
        if let Some((ip, number)) = self.departures.stored(self.me, record, kept) {
            self.say_to_peer(ip, &Payload::DepartureStored(DepartureStored { number }), commands);
        }
        self.acknowledge_departures(now, commands);
    }

    pub(super) fn departure_kept(&mut self, now: Timestamp, ip: u32, number: u64, commands: &mut Commands) {
        self.departures.kept(ip, number);
        self.acknowledge_departures(now, commands);
    }

    fn acknowledge_departures(&mut self, now: Timestamp, commands: &mut Commands) {
        for departure in self.departures.settle(self.ledger.voters()) {
            self.reply(departure.conn, 200, &departure.reply, commands);
            self.calls(now, departure.conn, commands);
        }
    }

    /// Hosts whose departure no majority keeps are told to ask elsewhere.
    pub(super) fn refuse_late_departures(&mut self, now: Timestamp, commands: &mut Commands) {
        for departure in self.departures.late(now) {
            log::warn!("hosts: {} leaves, and no majority keeps that.", departure.host.id);
            let body = "{\"error\":\"No majority of the control machines keeps this yet; ask elsewhere.\"}";
            self.reply(departure.conn, 503, body, commands);
            self.calls(now, departure.conn, commands);
        }
    }
}
