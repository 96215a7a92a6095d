//! Probes: which members to ping, through which helpers, and what a failed probe means.

use std::net::SocketAddr;
use std::rc::Rc;

use arrowyard_types::Timestamp;

use crate::member::{Member, MemberIndex, Standing};
use crate::membership::{Action, Membership};
use crate::message::{Claim, Datagram, Kind, Rumor, encode};

/// Why a probe is sent.
#[derive(Clone, Debug, PartialEq)]
pub enum ProbeReason {
    /// The member is observed by this router, or is next in rotation.
    Scheduled,
    /// A rumor says that it is silent or inactive. The rumor takes effect only if this probe fails, too.
    Verify(Claim, Rc<str>),
    /// It is inactive but may have recovered, for example after a partition.
    CheckRecovery,
    /// An address where a member may be that is not known yet.
    Introduce,
}

/// A probe in progress.
pub struct Probe {
    /// The member; `None` if only its address is known.
    pub member_index: Option<MemberIndex>,
    pub incarnation: u64,
    pub to: SocketAddr,
    pub seq: u64,
    pub started_at: Timestamp,
    pub attempts: u8,
    pub next_step_at: Timestamp,
    pub reason: ProbeReason,
    /// A helper sent a nack, since it received no ack either.
    pub nacked: bool,
    pub refused: bool,
}

/// A probe on behalf of another member.
pub struct RelayedProbe {
    pub seq: u64,
    pub requester: SocketAddr,
    pub requester_seq: u64,
    pub subject: String,
    pub deadline: Timestamp,
}

/// A process that is known by name only and has not answered yet.
pub struct Candidate {
    pub name: Rc<str>,
    pub address: SocketAddr,
    pub incarnation: u64,
    pub attempts: u8,
    pub next_probe_at: Timestamp,
}

/// Limits on concurrent probes, probes on behalf of others, and verifications of rumors.
const MAX_PROBES: usize = 256;
const MAX_RELAYED_PROBES: usize = 128;
const MAX_VERIFICATIONS: usize = 64;
const SILENT_PROBES_PER_PERIOD: usize = 4;
const MAX_CANDIDATE_ATTEMPTS: u8 = 3;

impl Membership {
    /// Starts a probe after `delay_factor` retry intervals, unless the same one is in progress.
    fn start_probe(
        &mut self,
        now: Timestamp,
        member_index: MemberIndex,
        reason: ProbeReason,
        delay_factor: f64,
    ) {
        let is_same = |probe: &Probe| probe.member_index == Some(member_index) && probe.reason == reason;
        if self.probes.len() >= MAX_PROBES || self.probes.iter().any(is_same) {
            return;
        }
        let Some((to, incarnation)) = self
            .member_address(member_index)
            .zip(self.table.get(member_index).map(|member| member.incarnation))
        else {
            return;
        };
        let (seq, next) = (self.rng.u64(1..), now + self.config.retry_interval * delay_factor);
        let probe = Probe {
            member_index: Some(member_index),
            incarnation,
            to,
            seq,
            started_at: next,
            attempts: 0,
            next_step_at: next,
            reason,
            nacked: false,
            refused: false,
        };
        self.probes.push(probe);
        if delay_factor == 0.0 {
            let index = self.probes.len() - 1;
            self.advance_probe(now, index);
        }
    }

    pub(crate) fn probe_address(&mut self, now: Timestamp, to: SocketAddr) {
        if self.probes.len() >= MAX_PROBES
            || self.probes.iter().any(|probe| probe.member_index.is_none() && probe.to == to)
        {
            return;
        }
        let (seq, next, reason) = (self.rng.u64(1..), now, ProbeReason::Introduce);
        let probe = Probe {
            member_index: None,
            incarnation: 0,
            to,
            seq,
            started_at: now,
            attempts: 0,
            next_step_at: next,
            reason,
            nacked: false,
            refused: false,
        };
        self.probes.push(probe);
        let index = self.probes.len() - 1;
        self.advance_probe(now, index);
    }

    /// Verifies a rumor about a member. The probe is delayed by a random part of the retry interval, since
    /// otherwise all routers would probe a slow member at the same moment.
    pub(crate) fn verify(
        &mut self,
        now: Timestamp,
        member_index: MemberIndex,
        claim: Claim,
        reporter: &Rc<str>,
        rumor: Option<&Rumor>,
    ) {
        let verifications =
            self.probes.iter().filter(|probe| matches!(probe.reason, ProbeReason::Verify(..)));
        if verifications.clone().any(|probe| probe.member_index == Some(member_index))
            || verifications.count() >= MAX_VERIFICATIONS
        {
            return;
        }
        // The rumor is forwarded before it is verified; otherwise each hop would take as long as a
        // verification.
        if let Some(rumor) = rumor {
            self.forward_rumor(now, member_index, rumor);
        }
        let delay_factor = self.rng.f64();
        self.start_probe(now, member_index, ProbeReason::Verify(claim, reporter.clone()), delay_factor);
    }

    /// Advances the probes that are due.
    pub(crate) fn advance_probes(&mut self, now: Timestamp) {
        let mut index = 0;
        while index < self.probes.len() {
            if self.probes[index].next_step_at > now || self.advance_probe(now, index) {
                index += 1;
            }
        }
    }

    /// Advances one probe, and returns whether it is still in progress.
    fn advance_probe(&mut self, now: Timestamp, index: usize) -> bool {
        let (retry_interval, probe_timeout) = (
            self.health.scale_timeout(self.config.retry_interval),
            self.health.scale_timeout(self.config.probe_timeout),
        );
        let probe = &mut self.probes[index];
        let (step, seq, member_index, to, verifying) = (
            probe.attempts,
            probe.seq,
            probe.member_index,
            probe.to,
            matches!(probe.reason, ProbeReason::Verify(..)),
        );
        // A verification follows a rumor of another member, so that it pings twice; the last two kinds ping
        // once.
        let steps = match probe.reason {
            ProbeReason::Scheduled => 3,
            ProbeReason::Verify(..) => 2,
            ProbeReason::CheckRecovery | ProbeReason::Introduce => 1,
        };
        if step >= steps {
            let probe = self.probes.swap_remove(index);
            self.probe_timed_out(now, &probe);
            return false;
        }
        probe.attempts += 1;
        probe.next_step_at = if step + 1 < steps {
            now + retry_interval
        } else if verifying {
            (probe.started_at + retry_interval * 2.0).max(now + retry_interval)
        } else {
            (probe.started_at + probe_timeout).max(now + retry_interval)
        };
        match member_index {
            Some(member_index) => {
                self.send_message(now, member_index, Kind::Ping, seq, "", None);
                let name =
                    self.table.get(member_index).map(|member| (member.name.clone(), member.incarnation));
                let Some((name, incarnation)) = name else { return true };
                if step >= 1 && !verifying {
                    self.send_indirect_pings(now, member_index, &name, seq);
                }
                if verifying && step == 0 || step == 2 {
                    let bytes = encode(&self.new_datagram(now, Kind::Gossip));
                    self.actions.push(Action::CheckPort { to, name, incarnation, bytes });
                }
            }
            None => {
                let mut datagram = Datagram { seq, ..self.new_datagram(now, Kind::Ping) };
                self.piggyback_rumors(&mut datagram, None);
                self.send(to, &datagram);
            }
        }
        true
    }

    /// Pings through helpers, since only the path between these two members may be cut.
    fn send_indirect_pings(&mut self, now: Timestamp, member_index: MemberIndex, name: &str, seq: u64) {
        let eligible = |member: &Member| {
            member.standing == Standing::Alive
                && member.last_evidence() > now - self.config.probe_interval * 20.0
        };
        for helper in
            self.table.sample(&mut self.rng, self.config.indirect_probe_helpers, &[member_index], eligible)
        {
            self.send_message(now, helper, Kind::IndirectPing, seq, name, None);
        }
    }

    /// Handles a probe that got no ack.
    fn probe_timed_out(&mut self, now: Timestamp, probe: &Probe) {
        let Some(member_index) = probe.member_index else { return };
        let Some(member) =
            self.table.get(member_index).filter(|member| member.incarnation == probe.incarnation)
        else {
            return;
        };
        // The member was heard in the meantime, so that only one direction is cut.
        if member.last_evidence() >= probe.started_at {
            return;
        }
        let live = self.table.live().len();
        match &probe.reason {
            ProbeReason::CheckRecovery | ProbeReason::Introduce => {}
            ProbeReason::Scheduled => {
                // The fault may be local. If there are other members, at least one helper has to have
                // failed, too.
                let alone = live <= 1;
                if !probe.nacked && !probe.refused && !alone {
                    self.health.record_failure();
                    return;
                }
                if self.health.is_suspect(now) && !probe.refused {
                    return;
                }
                self.suspect_member(now, member_index, probe.refused);
            }
            ProbeReason::Verify(claim, reporter) => {
                if self.health.is_suspect(now) && !probe.refused {
                    return;
                }
                let standing = match claim {
                    Claim::Suspect => Standing::Silent,
                    Claim::Lost => Standing::Lost,
                    Claim::Dead if probe.refused => Standing::Dead,
                    // No refusal was seen here: the member may be partitioned.
                    Claim::Dead => Standing::Silent,
                    Claim::Left => Standing::Left,
                    _ => return,
                };
                let reporter = reporter.clone();
                if let Some(member) = self.table.get_mut(member_index) {
                    member.last_probe_failure = now;
                }
                let current = self.table.get(member_index).map(|member| member.standing);
                if current.is_some_and(|current| standing > current) {
                    self.set_standing(now, member_index, standing, &reporter);
                }
                if probe.refused {
                    self.suspect_member(now, member_index, true);
                }
            }
        }
    }

    /// Suspects a member on the basis of this router's own probes.
    fn suspect_member(&mut self, now: Timestamp, member_index: MemberIndex, refused: bool) {
        let local_name = self.local.name.clone();
        let (live, suspects_itself) = (self.table.live().len(), self.health.is_suspect(now));
        let lost_after = self.health.scale_timeout(self.config.lost_after);
        // A firewall may refuse only this router, so that a second member has to confirm a refusal, unless
        // no other member is heard.
        let unconfirmable = refused && !self.hears_other_members(now, member_index);
        let Some(member) = self.table.get_mut(member_index) else { return };
        member.last_probe_failure = now;
        if refused && !member.refused_by.contains(&local_name) {
            member.refused_by.push(local_name.clone());
        }
        // If all others restarted since, no one can confirm. Then a long silence towards this router
        // suffices.
        let long_silent = member.silent_for(now) >= lost_after;
        let dead = member.refused_by.len() >= 2 || refused && (unconfirmable || long_silent);
        if suspects_itself && !dead {
            return;
        }
        member.add_suspecting_member(&local_name);
        let (standing, confirmed) =
            (member.standing, member.suspected_by.len() >= 2 || live <= 2 || long_silent);
        if dead && standing < Standing::Dead {
            self.set_standing(now, member_index, Standing::Dead, &local_name);
        } else if standing == Standing::Alive && confirmed {
            self.set_standing(now, member_index, Standing::Silent, &local_name);
        } else if standing == Standing::Alive {
            // Repeated with every failed probe: members that had just heard from the suspect ignored the
            // earlier rumor.
            let times = self.retransmit_limit();
            self.table.queue_rumor(member_index, times);
            let mut rumor = self.table.get(member_index).map(Member::rumor).unwrap_or_default();
            rumor.claim = Claim::Suspect as i32;
            rumor.reporters = vec![local_name.to_string()];
            self.forward_rumor(now, member_index, &rumor);
        }
    }

    /// Whether any other member was heard directly in the last periods.
    fn hears_other_members(&self, now: Timestamp, member_index: MemberIndex) -> bool {
        let since = now - self.config.probe_interval * 6.0;
        let heard = |member: &Member| member.last_direct_evidence() >= since;
        self.table
            .live()
            .iter()
            .any(|&other| other != member_index && self.table.get(other).is_some_and(heard))
    }

    /// Records that the port of a member refused a datagram of `Action::CheckPort`.
    pub fn port_refused(&mut self, name: &str, incarnation: u64) {
        let Some(member_index) = self.table.index_of(name) else { return };
        let matches =
            |probe: &&mut Probe| probe.member_index == Some(member_index) && probe.incarnation == incarnation;
        self.probes.iter_mut().filter(matches).for_each(|probe| probe.refused = true);
    }

    /// Handles the ack of the probe at `index`.
    pub(crate) fn handle_ack(&mut self, now: Timestamp, index: usize, datagram: &Datagram) {
        let probe = &self.probes[index];
        let (member_index, reason, seq) = (probe.member_index, probe.reason.clone(), probe.seq);
        if !datagram.subject.is_empty() {
            // The ack came through a helper and names the member it is about.
            let Some(member_index) = member_index.filter(|&member_index| {
                self.table.get(member_index).is_some_and(|member| *member.name == *datagram.subject)
            }) else {
                return;
            };
            if let Some(member) = self.table.get_mut(member_index) {
                member.last_indirect_ack = now;
            }
            self.probes.retain(|probe| probe.seq != seq);
            self.confirm_alive(now, member_index);
            return;
        }
        self.probes.swap_remove(index);
        self.health.record_success();
        let Some(member_index) = self.table.index_of(&datagram.from) else { return };
        if let Some(member) =
            self.table.get_mut(member_index).filter(|member| member.incarnation == datagram.incarnation)
        {
            member.last_ack = now;
            if matches!(reason, ProbeReason::Verify(Claim::Left, _)) && datagram.leaving {
                let reporter = member.name.clone();
                self.set_standing(now, member_index, Standing::Left, &reporter);
                return;
            }
            self.confirm_alive(now, member_index);
        }
    }

    /// Records first-hand evidence that a member is alive. The member is sent the rumor against it, so that
    /// it refutes with a higher incarnation.
    pub(crate) fn confirm_alive(&mut self, now: Timestamp, member_index: MemberIndex) {
        let Some(member) = self.table.get(member_index) else { return };
        if member.standing == Standing::Left
            || member.standing == Standing::Alive && member.suspected_by.is_empty()
        {
            return;
        }
        let (previous, local_name) = (member.standing, self.local.name.clone());
        if self.push_bucket.take(now) {
            self.send_message(now, member_index, Kind::Gossip, 0, "", None);
        }
        if previous == Standing::Alive {
            if let Some(member) = self.table.get_mut(member_index) {
                member.suspected_by.clear();
                member.refused_by.clear();
            }
            return;
        }
        self.set_standing(now, member_index, Standing::Alive, &local_name);
        if previous.is_inactive() {
            // A partition may have healed, so that the whole view is compared at once.
            self.send_digest(now, member_index, true);
        }
    }

    pub(crate) fn send_ack(&mut self, now: Timestamp, from: SocketAddr, ping: &Datagram) {
        let mut ack = Datagram { seq: ping.seq, ..self.new_datagram(now, Kind::Ack) };
        // Sends the rumor against the sender, so that it can refute it.
        let rumor_about_sender = self
            .table
            .by_name(&ping.from)
            .filter(|member| member.standing != Standing::Alive || member.incarnation > ping.incarnation);
        let rumor_about_sender = rumor_about_sender.map(Member::rumor);
        self.piggyback_rumors(&mut ack, rumor_about_sender);
        self.send(from, &ack);
    }

    pub(crate) fn relay_ping(&mut self, now: Timestamp, requester: SocketAddr, request: &Datagram) {
        let Some(member_index) = self.table.index_of(&request.subject) else { return };
        if self.relays.len() >= MAX_RELAYED_PROBES {
            return;
        }
        if self
            .table
            .get(member_index)
            .is_some_and(|member| now - member.last_heard <= self.config.retry_interval)
        {
            // The member was heard here just now, even if it does not receive datagrams.
            let ack = Datagram {
                seq: request.seq,
                subject: request.subject.clone(),
                ..self.new_datagram(now, Kind::Ack)
            };
            return self.send(requester, &ack);
        }
        let seq = self.rng.u64(1..);
        let deadline = now + self.config.retry_interval * 1.5;
        self.relays.push(RelayedProbe {
            seq,
            requester,
            requester_seq: request.seq,
            subject: request.subject.clone(),
            deadline,
        });
        self.send_message(now, member_index, Kind::Ping, seq, "", None);
    }

    pub(crate) fn forward_ack(&mut self, now: Timestamp, datagram: &Datagram) {
        let Some(index) = self.relays.iter().position(|relay| relay.seq == datagram.seq) else {
            self.counts.stale += 1;
            return;
        };
        let relay = self.relays.swap_remove(index);
        let ack = Datagram {
            seq: relay.requester_seq,
            subject: relay.subject,
            ..self.new_datagram(now, Kind::Ack)
        };
        self.send(relay.requester, &ack);
    }

    /// Sends nacks for relayed probes that timed out.
    pub(crate) fn expire_relays(&mut self, now: Timestamp) {
        while let Some(index) = self.relays.iter().position(|relay| relay.deadline <= now) {
            let relay = self.relays.swap_remove(index);
            let nack = Datagram {
                seq: relay.requester_seq,
                subject: relay.subject,
                ..self.new_datagram(now, Kind::Nack)
            };
            self.send(relay.requester, &nack);
        }
    }

    /// Starts a period: expiry, probes, and anti-entropy.
    pub(crate) fn run_period(&mut self, now: Timestamp) {
        self.table.expire_inactive(now - self.config.forget_after);
        if !self.table.live().is_empty() && now - self.last_heard_any > self.config.probe_interval * 2.5 {
            // A router that hears no one is probably cut off itself, and would declare all others dead.
            self.health.suspend_suspicion(now, self.config.probe_interval * 1.5);
        }
        self.update_router_count(now);
        if self.leaving {
            return;
        }
        for member_index in self.observed_members() {
            self.start_probe(now, member_index, ProbeReason::Scheduled, 0.0);
        }
        if let Some(member_index) = self.next_in_rotation() {
            self.start_probe(now, member_index, ProbeReason::Scheduled, 0.0);
        }
        self.probe_silent_members(now);
        let inactive = self.table.inactive();
        if !inactive.is_empty() {
            let member_index = inactive[self.rng.usize(..inactive.len())];
            if self.table.get(member_index).is_some_and(|member| member.standing != Standing::Left) {
                self.start_probe(now, member_index, ProbeReason::CheckRecovery, 0.0);
            }
        }
        self.probe_candidates(now);
        if now >= self.next_anti_entropy {
            self.next_anti_entropy = now + self.config.anti_entropy_interval;
            let eligible = |member: &Member| member.standing == Standing::Alive;
            for member_index in self.table.sample(&mut self.rng, 1, &[], eligible) {
                self.send_digest(now, member_index, true);
            }
        }
    }

    /// Members that follow this router on the rings. Each member has as many observers as there are rings.
    fn observed_members(&mut self) -> Vec<MemberIndex> {
        if self.observed.0 != self.table.version {
            let own_positions =
                Member::new(self.local.name.clone(), self.local.address, 1, 0, Timestamp::DISTANT_PAST)
                    .ring_positions;
            let mut member_indices: Vec<MemberIndex> = Vec::new();
            for (ring, position) in own_positions.iter().enumerate().take(self.config.observed_members) {
                let unobserved = |member: &Member| {
                    !member_indices.iter().any(|&member_index| {
                        self.table.get(member_index).is_some_and(|other| other.name == member.name)
                    })
                };
                member_indices.extend(self.table.ring_successor(ring, *position, unobserved));
            }
            self.observed = (self.table.version, member_indices);
        }
        self.observed.1.clone()
    }

    fn next_in_rotation(&mut self) -> Option<MemberIndex> {
        if self.rotation.is_empty() {
            self.rotation = self.table.live().to_vec();
            self.rng.shuffle(&mut self.rotation);
        }
        self.rotation.pop().filter(|&member_index| {
            self.table.get(member_index).is_some_and(|member| !member.standing.is_inactive())
        })
    }

    /// Probes silent members again, and declares those lost that this router itself has suspected for long
    /// enough.
    fn probe_silent_members(&mut self, now: Timestamp) {
        let local_name = self.local.name.clone();
        if self.table.count_by_standing(Standing::Silent) == 0 {
            return;
        }
        let is_silent = |member_index: &MemberIndex| {
            self.table.get(*member_index).is_some_and(|member| member.standing == Standing::Silent)
        };
        let mut silent: Vec<MemberIndex> = self.table.live().iter().copied().filter(is_silent).collect();
        self.rng.shuffle(&mut silent);
        // Without this, a member that only others suspect and that has recovered since would not be probed
        // until its turn in the rotation.
        for member_index in silent.iter().copied().take(SILENT_PROBES_PER_PERIOD) {
            let suspected_here =
                self.table.get(member_index).is_some_and(|member| member.suspected_by.contains(&local_name));
            self.start_probe(
                now,
                member_index,
                if suspected_here { ProbeReason::Scheduled } else { ProbeReason::CheckRecovery },
                0.0,
            );
        }
        if self.health.is_suspect(now) {
            return;
        }
        let live = self.table.live().len();
        for member_index in silent {
            let suspected_here = |member: &&Member| member.suspected_by.contains(&local_name);
            let Some(member) = self.table.get(member_index).filter(suspected_here) else { continue };
            let confirmed = member.suspected_by.len() >= 2 || live <= 2;
            let lost_after =
                self.health.scale_timeout(self.config.lost_after) * if confirmed { 1.0 } else { 2.0 };
            let recently_failed = now - member.last_probe_failure <= self.config.probe_interval * 4.0;
            if member.silent_for(now) >= lost_after && recently_failed {
                self.set_standing(now, member_index, Standing::Lost, &local_name);
            }
        }
    }

    /// Probes candidates. Seeds are probed while no member is known, and one of them periodically, since
    /// both sides of a partition may have forgotten each other.
    fn probe_candidates(&mut self, now: Timestamp) {
        let mut probed = 0;
        let mut index = 0;
        while index < self.candidates.len() && probed < self.config.max_candidate_probes {
            let candidate = &mut self.candidates[index];
            if candidate.next_probe_at > now {
                index += 1;
                continue;
            }
            if candidate.attempts >= MAX_CANDIDATE_ATTEMPTS || self.table.index_of(&candidate.name).is_some()
            {
                self.counts.unanswered_candidates += u64::from(candidate.attempts >= MAX_CANDIDATE_ATTEMPTS);
                self.candidates.swap_remove(index);
                continue;
            }
            candidate.attempts += 1;
            candidate.next_probe_at = now + self.config.probe_interval * 1.5;
            let to = self.config.reachable_address(&candidate.name, candidate.address);
            probed += 1;
            index += 1;
            self.probe_address(now, to);
        }
        let seeds = self.config.seeds.clone();
        if seeds.is_empty() {
            return;
        }
        let count = match self.table.live().len() {
            0 => 3,
            _ => usize::from(self.periods.is_multiple_of(8)),
        };
        for _ in 0..count.min(seeds.len()) {
            let to = seeds[self.rng.usize(..seeds.len())];
            self.probe_address(now, to);
        }
    }
}
