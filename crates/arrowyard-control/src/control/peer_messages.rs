//! Messages of other control machines.

use std::net::Ipv4Addr;

use arrowyard_messages::{Heartbeat, Hello, HostUpdate, Payload};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{TimeDelta, Timestamp};

use super::peers::SILENCE_REPORT_TIMEOUT;
use super::{Connection, Control};

impl Control {
    /// Handles the first message of an unidentified connection.
    pub(super) fn identify(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        let Some(Connection::Unidentified(frames)) = self.connections.get_mut(&conn) else { return };
        match frames.take() {
            Ok(None) => {}
            Ok(Some(frame)) if matches!(&frame.payload, Some(Payload::Hello(_))) => {
                let frames = std::mem::take(frames);
                let Some(Payload::Hello(hello)) = frame.payload else { return };
                if !hello.control {
                    if !self.can_reach_quorum(now) {
                        // After a start the other machines are reached shortly.
                        self.connections.insert(conn, Connection::PendingRouter(hello, frames, now));
                        return;
                    }
                    self.admit_router(now, conn, &hello, frames, commands);
                    return self.on_router_data(now, conn, commands);
                }
                let ip = hello.ip;
                self.connections.insert(conn, Connection::Peer(ip, frames));
                let local_digest = self.hello();
                self.send(conn, local_digest, commands);
                let peer = self.peers.entry(ip).or_default();
                peer.record_message(now);
                peer.conns.push(conn);
                self.handle_hello(now, &hello, commands);
                self.on_peer_data(now, conn, ip, &[], commands);
            }
            _ => {
                commands.reset(conn);
                drop(self.connections.remove(&conn));
            }
        }
    }

    fn handle_hello(&mut self, now: Timestamp, hello: &Hello, commands: &mut Commands) {
        self.view.record_contact(hello.ip, &hello.zone);
        self.view.merge(&hello.view, self.local_ip);
        if let Some(peer) = self.peers.get_mut(&hello.ip) {
            // A new connection proves that messages pass in both directions.
            (peer.incarnation, peer.hears_this_machine) = (hello.incarnation, true);
        }
        let report = HostUpdate { hosts: self.registry.hosts_by_change(), whole: true };
        self.send_to_peer(hello.ip, &Payload::HostUpdate(report), commands);
        self.send_floors(hello.ip, commands);
        self.with_log(now, commands, |log, out| log.observe_peer_progress(now, hello.ip, 0, out));
        if !self.quorum_reachable && self.can_reach_quorum(now) {
            self.update_quorum_status(now, commands);
        }
    }

    pub(super) fn on_peer_data(
        &mut self,
        now: Timestamp,
        conn: Conn,
        ip: u32,
        bytes: &[u8],
        commands: &mut Commands,
    ) {
        if let Some(Connection::Peer(_, frames)) = self.connections.get_mut(&conn) {
            frames.put(bytes);
        }
        while let Some(Connection::Peer(_, frames)) = self.connections.get_mut(&conn) {
            match frames.take() {
                Ok(None) => return,
                Err(broken) => {
                    log::warn!("peers: invalid frame from {}: {broken}", Ipv4Addr::from(ip));
                    self.on_peer_closed(conn, ip);
                    commands.reset(conn);
                    drop(self.connections.remove(&conn));
                    return;
                }
                Ok(Some(frame)) => {
                    let peer = self.peers.entry(ip).or_default();
                    peer.record_message(now);
                    let incarnation = peer.incarnation;
                    self.duty.record_contact(now, ip, incarnation, self.replicated_log.applied());
                    if let Some(message) = frame.payload {
                        self.handle_peer_message(now, ip, message, commands);
                    }
                }
            }
        }
    }

    fn handle_peer_message(&mut self, now: Timestamp, ip: u32, message: Payload, commands: &mut Commands) {
        match message {
            Payload::Hello(hello) => self.handle_hello(now, &hello, commands),
            Payload::Heartbeat(heartbeat) => self.handle_peer_heartbeat(now, ip, &heartbeat, commands),
            Payload::HostUpdate(update) => self.handle_host_update(now, ip, update, commands),
            Payload::DepartureNotice(notice) => self.handle_departure_notice(now, ip, notice, commands),
            Payload::DepartureStored(stored) => {
                self.handle_departure_stored(now, ip, stored.number, commands)
            }
            Payload::ReplicaFloors(floors) => self.handle_floors(floors),
            Payload::Suspect(suspect) => self.handle_suspicion(now, suspect, commands),
            Payload::Demotion(yielded) => self.handle_yielded(now, false, yielded, commands),
            message @ Payload::Replacements(_) => self.forward_replacements(now, message, commands),
            Payload::RelayedRequest(request) => self.relay_to_router(now, request, commands),
            Payload::ReplacementsSeen(seen) => self.handle_replacements_seen(false, &seen, commands),
            Payload::RelayedResponse(answer) => self.handle_relay_response(now, answer, commands),
            Payload::DemandReport(needs) => self.handle_demand(now, Some(ip), needs, commands),
            Payload::HostAllocations(allocations) => self.forward_allocations(allocations, commands),
            message @ Payload::OverloadedHosts(_) => self.forward_overload(&message, commands),
            message => self.with_log(now, commands, |log, out| log.on_message(now, ip, &message, out)),
        }
    }

    fn handle_host_update(&mut self, now: Timestamp, ip: u32, update: HostUpdate, commands: &mut Commands) {
        let HostUpdate { hosts, whole } = update;
        let mut changed_hosts = Vec::new();
        for host in hosts {
            let is_unknown = self.registry.get(&host.id).is_none();
            let has_changed = self.registry.merge_report(now, host.clone());
            if !whole {
                self.registry.record_receiver(&host.id, ip);
            }
            // A whole registry names silent hosts as well; only a change or a later call shows that one was heard.
            if !whole || has_changed || self.silences.is_ended_by(&host.id, host.call_seq) {
                self.end_silence(&host.id);
            }
            if !has_changed {
                continue;
            }
            // A host of this zone that has failed sends no heartbeat to a machine that is new here, and the
            // machine that noticed its silence may be gone.
            if whole && is_unknown && host.zone == self.settings.zone {
                self.registry.expect_heartbeats(now, &host.id);
            }
            changed_hosts.push(host);
        }
        if !changed_hosts.is_empty() {
            self.publish_hosts_to_routers(changed_hosts, commands);
            self.poll_promotions(now, commands);
        }
    }

    /// Tells all control machines that a host sends heartbeats here.
    pub(super) fn publish_heard(&mut self, id: &str, commands: &mut Commands) {
        let hosts = self.registry.get(id).cloned().into_iter().collect();
        self.broadcast_to_peers(&Payload::HostUpdate(HostUpdate { hosts, whole: false }), commands);
    }

    fn handle_peer_heartbeat(
        &mut self,
        now: Timestamp,
        ip: u32,
        heartbeat: &Heartbeat,
        commands: &mut Commands,
    ) {
        let zone = self.view.zone(ip).unwrap_or_default().to_string();
        self.view.record_contact(ip, &zone);
        self.view.merge(&heartbeat.view, self.local_ip);
        let local_digest = self.registry.digest();
        let incarnation = |ip: u32| {
            if ip == self.local_ip {
                Some(self.incarnation)
            } else {
                self.peers.get(&ip)?.known_incarnation()
            }
        };
        self.duty.record_indirect_contact(
            now - SILENCE_REPORT_TIMEOUT,
            &heartbeat.reachable,
            incarnation,
            self.replicated_log.applied(),
        );
        let Some(peer) = self.peers.get_mut(&ip) else { return };
        peer.routers = heartbeat.routers;
        peer.set_votes(now, heartbeat.votes);
        peer.disk_fails = heartbeat.disk_failing;
        peer.stopping = heartbeat.shutting_down;
        peer.hears_this_machine = heartbeat.reachable.contains(&self.local_ip);
        peer.hears.clone_from(&heartbeat.reachable);
        // Updates in transit make the digests differ briefly; a lasting difference triggers a full
        // exchange.
        peer.digest_mismatches =
            if heartbeat.digest == local_digest { 0 } else { peer.digest_mismatches + 1 };
        if peer.digest_mismatches >= 2 {
            peer.digest_mismatches = 0;
            let report = HostUpdate { hosts: self.registry.hosts_by_change(), whole: true };
            self.send_to_peer(ip, &Payload::HostUpdate(report), commands);
        }
        if self.quorum_reachable && !self.can_reach_quorum(now) {
            self.update_quorum_status(now, commands);
        }
        for silent in &heartbeat.silent {
            // The host may send heartbeats here by now; then correct the peer's report.
            let here = self
                .registry
                .last_heartbeat_at(&silent.id)
                .is_some_and(|at| (now - at).micros() / 1000 < silent.silent_ms as i64);
            // Safety: a machine that is cut off from the one that receives the heartbeats takes the host for
            // silent, and a floor observed meanwhile would not cover what the host acknowledges.
            let receiver = self.registry.receiver(&silent.id).filter(|machine| *machine != ip);
            let is_received = receiver
                .is_some_and(|machine| self.reachable_peers(now).any(|(reachable, _)| *reachable == machine));
            if here {
                self.publish_heard(&silent.id, commands);
            } else if !is_received {
                let since = now - TimeDelta::from_millis(silent.silent_ms as i64);
                self.silences.report(&silent.id, since, silent.last_call);
            }
        }
        let (chosen, from) = (heartbeat.chosen, ip);
        self.with_log(now, commands, |log, out| log.observe_peer_progress(now, from, chosen, out));
    }
}
