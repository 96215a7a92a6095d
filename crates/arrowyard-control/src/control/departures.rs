//! Drains and departures of hosts. They are acknowledged once a majority of the voters has them on
//! disk.
//!
//! Safety: after the acknowledgement no request may reach the host later than `drain-bound-ms`,
//! whichever machine took the call. The failure of that machine, or a power loss of all, must not
//! return the host to service. Every router is subscribed to a machine that reaches a majority, and
//! machines with different host registries exchange them, so whatever a majority has stored reaches
//! every router.

use std::collections::{BTreeMap, BTreeSet};

use arrowyard_messages::{DepartureNotice, DepartureStored, Host, Payload, Phase};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{TimeDelta, Timestamp};

use super::Control;
use crate::record::RecordKind;

/// A departure that no majority has stored in this time is not acknowledged; hosts wait 1 s at most.
const ACKNOWLEDGE_TIMEOUT: TimeDelta = TimeDelta::from_millis(800);

/// A departure that awaits its acknowledgement.
#[derive(Clone, Debug, PartialEq)]
pub struct Departure {
    pub conn: Conn,
    pub host: Host,
    /// Body of the response on success.
    pub reply: String,
    /// Ticket of the stored record on this machine.
    record: u64,
    stored_by: BTreeSet<u32>,
    deadline: Timestamp,
}

/// Departures to acknowledge here, and records stored on behalf of peers.
#[derive(Debug, Default)]
pub struct Departures {
    last_number: u64,
    pending: BTreeMap<u64, Departure>,
    /// By record ticket: the peer that sent the notice, and its number for the notice.
    stored_for_peers: BTreeMap<u64, (u32, u64)>,
    acknowledged: BTreeMap<String, Phase>,
}

impl Departures {
    /// Creates the state of one incarnation. Safety: numbers start at a value derived from the incarnation,
    /// so that a confirmation for an earlier incarnation does not match a departure of this one.
    pub fn new(incarnation: u64) -> Self {
        Departures { last_number: incarnation >> 1, ..Departures::default() }
    }

    /// Adds a departure stored here under `record`; returns the number to send to peers.
    pub fn begin(&mut self, now: Timestamp, conn: Conn, host: Host, reply: String, record: u64) -> u64 {
        self.last_number += 1;
        let departure = Departure {
            conn,
            host,
            reply,
            record,
            stored_by: BTreeSet::new(),
            deadline: now + ACKNOWLEDGE_TIMEOUT,
        };
        self.pending.insert(self.last_number, departure);
        self.last_number
    }

    /// Registers that a peer waits for this record to be stored.
    pub fn store_for_peer(&mut self, record: u64, ip: u32, number: u64) {
        self.stored_for_peers.insert(record, (ip, number));
    }

    /// Handles the result of storing a record; returns the peer to notify if there is one, with its number.
    pub fn handle_record_result(&mut self, local_ip: u32, record: u64, stored: bool) -> Option<(u32, u64)> {
        if let Some(departure) = self.pending.values_mut().find(|departure| departure.record == record)
            && stored
        {
            departure.stored_by.insert(local_ip);
        }
        self.stored_for_peers.remove(&record).filter(|_| stored)
    }

    /// Adds a machine that has stored this departure.
    pub fn add_stored_by(&mut self, by: u32, number: u64) {
        if let Some(departure) = self.pending.get_mut(&number) {
            departure.stored_by.insert(by);
        }
    }

    /// Removes and returns the departures that a majority of these voters has stored.
    pub fn take_stored_by_majority(&mut self, voters: &[u32]) -> Vec<Departure> {
        let is_stored_by_majority = |departure: &Departure| {
            voters.iter().filter(|voter| departure.stored_by.contains(voter)).count() * 2 > voters.len()
        };
        let acknowledged: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, departure)| is_stored_by_majority(departure))
            .map(|(number, _)| *number)
            .collect();
        let acknowledged: Vec<Departure> =
            acknowledged.into_iter().filter_map(|number| self.pending.remove(&number)).collect();
        for departure in &acknowledged {
            self.acknowledged.insert(departure.host.id.clone(), departure.host.phase());
        }
        acknowledged
    }

    /// Removes and returns the departures whose deadline has passed.
    pub fn take_expired(&mut self, now: Timestamp) -> Vec<Departure> {
        self.pending
            .extract_if(.., |_, departure| departure.deadline <= now)
            .map(|(_, expired)| expired)
            .collect()
    }

    /// Whether a majority is known to have stored that a host is draining or has departed.
    pub fn is_acknowledged(&self, host: &str, phase: Phase) -> bool {
        self.acknowledged.get(host).is_some_and(|known| *known == phase || *known == Phase::Gone)
    }

    /// Forgets the acknowledgements of unknown hosts.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.acknowledged.retain(|host, _| is_known(host));
    }

    /// When the next departure expires.
    pub fn due(&self) -> Option<Timestamp> {
        self.pending.values().map(|departure| departure.deadline).min()
    }
}

impl Control {
    /// Stores a drain or departure reported here, and asks peers to store it; the call is answered once a
    /// majority has.
    pub(super) fn begin_departure(
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
        self.await_outcome(conn);
        let record = self.store_departure(now, &host, commands);
        let number = self.departures.begin(now, conn, host.clone(), reply, record);
        self.broadcast_to_peers(&Payload::DepartureNotice(DepartureNotice { number, host }), commands);
        if !self.has_disk {
            self.handle_departure_record_result(now, record, true, commands);
        }
    }

    fn store_departure(&mut self, now: Timestamp, host: &Host, commands: &mut Commands) -> u64 {
        let record = RecordKind::Departing(host.clone());
        self.with_log(now, commands, |log, out| log.store_record(record, out))
    }

    /// Stores a drain or departure reported to another control machine.
    pub(super) fn handle_departure_notice(
        &mut self,
        now: Timestamp,
        ip: u32,
        notice: DepartureNotice,
        commands: &mut Commands,
    ) {
        let DepartureNotice { number, host } = notice;
        if self.registry.merge_report(now, host.clone()) {
            self.publish_hosts_to_routers(vec![host.clone()], commands);
            self.poll_promotions(now, commands);
        }
        let record = self.store_departure(now, &host, commands);
        self.departures.store_for_peer(record, ip, number);
        if !self.has_disk {
            self.handle_departure_record_result(now, record, true, commands);
        }
    }

    /// Handles the result of storing a record that may belong to a departure.
    pub(super) fn handle_departure_record_result(
        &mut self,
        now: Timestamp,
        record: u64,
        stored: bool,
        commands: &mut Commands,
    ) {
        if let Some((ip, number)) = self.departures.handle_record_result(self.local_ip, record, stored) {
            self.send_to_peer(ip, &Payload::DepartureStored(DepartureStored { number }), commands);
        }
        self.acknowledge_departures(now, commands);
    }

    /// Handles the confirmation of a peer that it has stored a departure reported here.
    pub(super) fn handle_departure_stored(
        &mut self,
        now: Timestamp,
        ip: u32,
        number: u64,
        commands: &mut Commands,
    ) {
        self.departures.add_stored_by(ip, number);
        self.acknowledge_departures(now, commands);
    }

    fn acknowledge_departures(&mut self, now: Timestamp, commands: &mut Commands) {
        for departure in self.departures.take_stored_by_majority(self.replicated_log.voters()) {
            self.reply(departure.conn, 200, &departure.reply, commands);
            self.process_calls(now, departure.conn, commands);
        }
    }

    /// Answers hosts whose departure was not stored by a majority in time.
    pub(super) fn reject_expired_departures(&mut self, now: Timestamp, commands: &mut Commands) {
        for departure in self.departures.take_expired(now) {
            log::warn!("hosts: departure of {} was not stored by a majority in time", departure.host.id);
            let body = "{\"error\":\"No majority of the control machines keeps this yet; ask elsewhere.\"}";
            self.reply(departure.conn, 503, body, commands);
            self.process_calls(now, departure.conn, commands);
        }
    }
}
