//! Two baseline protocols. Unlike arrowyard's, both know all members from the start.

use std::collections::HashMap;
use std::net::SocketAddr;

use arrowyard_types::{TimeDelta, Timestamp};
use fastrand::Rng;
use prost::Message;

use super::{MemberState, Node, NodeOutput, node_address, node_index};

const PERIOD: TimeDelta = TimeDelta::from_millis(500);

/// Sends a heartbeat to all members every period; a member that is not heard for four periods is dead.
pub struct HeartbeatNode {
    local: usize,
    last_heard: Vec<Timestamp>,
    dead: Vec<bool>,
    /// When the next heartbeats are sent.
    next_period: Timestamp,
    /// Whether it has left and sends no more heartbeats.
    left: bool,
    output: NodeOutput,
}

const HEARTBEAT_TIMEOUT: TimeDelta = TimeDelta::from_millis(2000);
/// A heartbeat of the size of a sender, an incarnation and a sequence number; its contents are not read.
const HEARTBEAT: [u8; 24] = [7; 24];

impl HeartbeatNode {
    /// A node at the process with index `local` of `count`.
    #[must_use]
    pub fn new(now: Timestamp, local: usize, count: usize, seed: u64) -> HeartbeatNode {
        let next_period = now + PERIOD * Rng::with_seed(seed).f64();
        let (last_heard, dead) = (vec![now; count], vec![false; count]);
        HeartbeatNode { local, last_heard, dead, next_period, left: false, output: NodeOutput::default() }
    }
}

impl Node for HeartbeatNode {
    fn next_deadline(&self) -> Timestamp {
        self.next_period
    }

    fn tick(&mut self, now: Timestamp) {
        if now < self.next_period {
            return;
        }
        self.next_period = now + PERIOD;
        for index in (0..self.last_heard.len()).filter(|&index| index != self.local && !self.left) {
            self.output.sends.push((node_address(index), HEARTBEAT.to_vec()));
        }
        for index in (0..self.last_heard.len()).filter(|&index| index != self.local) {
            if now - self.last_heard[index] > HEARTBEAT_TIMEOUT && !self.dead[index] {
                self.dead[index] = true;
                self.output.state_changes.push((index, None, MemberState::Dead));
            }
        }
    }

    fn receive(&mut self, now: Timestamp, from: SocketAddr, _bytes: &[u8]) {
        let sender = node_index(from);
        if sender < self.last_heard.len() {
            self.last_heard[sender] = now;
            if std::mem::take(&mut self.dead[sender]) {
                self.output.state_changes.push((sender, None, MemberState::Alive));
            }
        }
    }

    fn port_refused(&mut self, _now: Timestamp, _address: SocketAddr) {}

    fn leave(&mut self, _now: Timestamp) {
        self.left = true;
    }

    fn take_output(&mut self) -> NodeOutput {
        std::mem::take(&mut self.output)
    }

    fn alive_count(&self) -> usize {
        self.dead.iter().filter(|dead| !**dead).count() - 1
    }
}

/// SWIM as published, with suspicion: probes one random member per period, through three helpers if it does
/// not answer, and piggybacks rumors on all datagrams. A suspect has three periods times the logarithm of the
/// number of members to refute.
pub struct SwimNode {
    local: usize,
    incarnation: u64,
    /// By member: incarnation, state (0 alive, 1 suspect, 2 dead), and when the state was set.
    members: Vec<(u64, u8, Timestamp)>,
    /// Members still to be probed in the current round.
    rotation: Vec<usize>,
    /// Members with pending rumors, and how often each rumor will still be sent.
    rumors: Vec<(usize, u32)>,
    /// Open probes: sequence number, member, deadline of the step, and step (0 direct, 1 indirect).
    probes: Vec<(u64, usize, Timestamp, u8)>,
    /// By sequence number: the requester of an indirect probe, and the requester's sequence number.
    relays: HashMap<u64, (SocketAddr, u64)>,
    next_period: Timestamp,
    last_seq: u64,
    rng: Rng,
    left: bool,
    output: NodeOutput,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Rumor {
    #[prost(uint32, tag = "1")]
    member: u32,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    /// 0 alive, 1 suspect, 2 dead.
    #[prost(uint32, tag = "3")]
    state: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Datagram {
    /// 1 ping, 2 ack, 3 indirect ping.
    #[prost(uint32, tag = "1")]
    kind: u32,
    #[prost(fixed64, tag = "2")]
    seq: u64,
    /// In an indirect ping: the member to probe.
    #[prost(uint32, tag = "3")]
    subject: u32,
    #[prost(message, repeated, tag = "4")]
    rumors: Vec<Rumor>,
}

const ACK_TIMEOUT: TimeDelta = TimeDelta::from_millis(150);

impl SwimNode {
    /// A node at the process with index `local` of `count`.
    #[must_use]
    pub fn new(now: Timestamp, local: usize, count: usize, seed: u64) -> SwimNode {
        let mut rng = Rng::with_seed(seed);
        let incarnation = (now.micros() / 1000) as u64;
        let (rotation, rumors, probes, relays) = Default::default();
        let next_period = now + PERIOD * rng.f64();
        let members = vec![(0, 0, now); count];
        let mut node = SwimNode {
            local,
            incarnation,
            members,
            rotation,
            rumors,
            probes,
            relays,
            next_period,
            last_seq: 1,
            rng,
            left: false,
            output: NodeOutput::default(),
        };
        node.members[local] = (incarnation, 0, now);
        node.rumors.push((local, node.retransmit_limit()));
        node
    }

    /// How often a rumor is sent.
    fn retransmit_limit(&self) -> u32 {
        (3.0 * ((self.members.len() + 1) as f64).log2()).ceil() as u32
    }

    fn send(&mut self, to: SocketAddr, kind: u32, seq: u64, subject: u32) {
        let mut rumors = Vec::new();
        self.rumors.sort_by_key(|(_, remaining)| std::cmp::Reverse(*remaining));
        for (member, remaining) in self.rumors.iter_mut().take(8) {
            let (incarnation, state, _) = self.members[*member];
            rumors.push(Rumor { member: *member as u32, incarnation, state: state.into() });
            *remaining -= 1;
        }
        self.rumors.retain(|(_, remaining)| *remaining > 0);
        self.output.sends.push((to, Datagram { kind, seq, subject, rumors }.encode_to_vec()));
    }

    fn set_state(&mut self, now: Timestamp, member: usize, incarnation: u64, state: u8) {
        let previous = self.members[member].1;
        self.members[member] = (incarnation, state, now);
        self.rumors.retain(|(subject, _)| *subject != member);
        let retransmit_limit = self.retransmit_limit();
        self.rumors.push((member, retransmit_limit));
        if previous != state && member != self.local {
            self.output.state_changes.push((
                member,
                None,
                [MemberState::Alive, MemberState::Silent, MemberState::Dead][usize::from(state)],
            ));
        }
    }

    /// Up to `count` random members that are not dead, without `excluded`.
    fn sample(&mut self, count: usize, excluded: usize) -> Vec<usize> {
        let mut eligible: Vec<usize> = (0..self.members.len())
            .filter(|&member| member != self.local && member != excluded && self.members[member].1 < 2)
            .collect();
        self.rng.shuffle(&mut eligible);
        eligible.truncate(count);
        eligible
    }
}

impl Node for SwimNode {
    fn next_deadline(&self) -> Timestamp {
        self.probes.iter().map(|(_, _, deadline, _)| *deadline).fold(self.next_period, Timestamp::min)
    }

    fn tick(&mut self, now: Timestamp) {
        let due: Vec<_> =
            self.probes.iter().filter(|(_, _, deadline, _)| *deadline <= now).copied().collect();
        self.probes.retain(|(_, _, deadline, _)| *deadline > now);
        for (seq, member, _, step) in due {
            if step == 0 {
                for helper in self.sample(3, member) {
                    self.send(node_address(helper), 3, seq, member as u32);
                }
                self.probes.push((seq, member, now + ACK_TIMEOUT * 2.0, 1));
            } else if self.members[member].1 == 0 {
                self.set_state(now, member, self.members[member].0, 1);
            }
        }
        if now < self.next_period || self.left {
            return;
        }
        self.next_period = now + PERIOD;
        let suspicion_timeout = PERIOD * (3.0 * ((self.members.len() + 1) as f64).log10().max(1.0));
        for member in 0..self.members.len() {
            let (incarnation, state, since) = self.members[member];
            if state == 1 && now - since >= suspicion_timeout {
                self.set_state(now, member, incarnation, 2);
            }
        }
        if self.rotation.is_empty() {
            self.rotation = self.sample(self.members.len(), self.local);
        }
        if let Some(member) = self.rotation.pop().filter(|&member| self.members[member].1 < 2) {
            self.last_seq += 1;
            let seq = (self.local as u64) << 32 | self.last_seq;
            self.probes.push((seq, member, now + ACK_TIMEOUT, 0));
            self.send(node_address(member), 1, seq, 0);
        }
    }

    fn receive(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]) {
        let Ok(datagram) = Datagram::decode(bytes) else { return };
        for rumor in datagram.rumors {
            let (member, incarnation, state) =
                (rumor.member as usize, rumor.incarnation, rumor.state.min(2) as u8);
            if member >= self.members.len() {
                continue;
            }
            if member == self.local {
                if state > 0 && incarnation >= self.incarnation {
                    self.incarnation = incarnation + 1;
                    self.set_state(now, member, self.incarnation, 0);
                }
                continue;
            }
            let (known_incarnation, known_state, _) = self.members[member];
            if (incarnation, state) > (known_incarnation, known_state)
                && !(known_state == 2 && incarnation <= known_incarnation)
            {
                self.set_state(now, member, incarnation, state);
            }
        }
        match datagram.kind {
            1 => {
                self.send(from, 2, datagram.seq, 0);
            }
            2 => {
                self.probes.retain(|(seq, ..)| *seq != datagram.seq);
                if let Some((requester, seq)) = self.relays.remove(&datagram.seq) {
                    self.send(requester, 2, seq, 0);
                }
            }
            _ => {
                self.last_seq += 1;
                let seq = (self.local as u64) << 32 | self.last_seq;
                if self.relays.len() < 256 {
                    self.relays.insert(seq, (from, datagram.seq));
                }
                self.send(node_address(datagram.subject as usize), 1, seq, 0);
            }
        }
    }

    fn port_refused(&mut self, _now: Timestamp, _address: SocketAddr) {}

    fn leave(&mut self, now: Timestamp) {
        self.set_state(now, self.local, self.incarnation, 2);
        for member in self.sample(3, self.local) {
            self.send(node_address(member), 1, 0, 0);
        }
        self.left = true;
    }

    fn take_output(&mut self) -> NodeOutput {
        std::mem::take(&mut self.output)
    }

    fn alive_count(&self) -> usize {
        (0..self.members.len()).filter(|&member| member != self.local && self.members[member].1 == 0).count()
    }
}
