//! Dissemination: processes what a datagram's sender states about itself and its rumors about other members,
//! and decides which rumors take effect.

use std::net::SocketAddr;
use std::rc::Rc;

use arrowyard_types::{TimeDelta, Timestamp};

use crate::member::{Member, MemberIndex, Standing, supersedes};
use crate::membership::{Event, Membership};
use crate::message::{Claim, Datagram, Kind, Rumor};
use crate::probe::Candidate;

/// Conflicts over a name within the window after which one process withdraws.
const MAX_NAME_CONFLICTS: u32 = 3;
const NAME_CONFLICT_WINDOW_PERIODS: f64 = 20.0;
/// How often the rumor that a member joined or restarted is sent.
const JOIN_TRANSMISSIONS: u8 = 10;
/// How long a process that withdrew its name stays silent.
const NAME_WITHDRAWAL_PERIODS: f64 = 60.0;

impl Membership {
    /// Processes the sender of a datagram, which came from the address `from` and states `address` as its
    /// own. `acks_open_probe` says that the datagram acks an open probe of this router, which proves that the
    /// sender receives datagrams at its address.
    pub(crate) fn handle_sender(
        &mut self,
        now: Timestamp,
        datagram: &Datagram,
        address: SocketAddr,
        from: SocketAddr,
        acks_open_probe: bool,
    ) {
        let Some(member_index) = self.table.index_of(&datagram.from) else {
            if acks_open_probe {
                self.add_member(now, datagram, address);
            } else if datagram.kind() != Kind::Gossip || datagram.leaving {
                // An unknown sender is pinged back, since its address may be forged.
                if !datagram.leaving {
                    self.add_candidate(now, &datagram.from, address, datagram.incarnation);
                    self.probe_address(now, from);
                }
            }
            return;
        };
        self.last_heard_any = now;
        let Some(member) = self.table.get(member_index) else { return };
        if datagram.incarnation < member.incarnation {
            // A delayed datagram of an earlier incarnation says nothing about the current one.
            self.counts.stale += 1;
            return;
        }
        if datagram.incarnation > member.incarnation {
            self.accept_incarnation(
                now,
                member_index,
                datagram.incarnation,
                datagram.nonce,
                address,
                &datagram.from,
            );
        } else if datagram.nonce != member.nonce {
            self.counts.stale += 1;
            return;
        }
        let since = now
            - self.table.get(member_index).map_or(now, |member| member.last_heard.max(member.standing_since));
        let Some(member) = self.table.get_mut(member_index) else { return };
        let Some(delay) = member.accept_datagram(datagram.sent_us, now, since) else {
            self.counts.stale += u64::from(!acks_open_probe);
            return;
        };
        member.address = address;
        member.last_heard = member.last_heard.max(now - delay);
        member.idle = datagram.idle;
        if datagram.leaving {
            let reporter = member.name.clone();
            if member.standing != Standing::Left {
                self.set_standing(now, member_index, Standing::Left, &reporter);
            }
        } else if delay < self.config.freshness_window {
            let standing = member.standing;
            if standing == Standing::Silent || !member.suspected_by.is_empty() && standing == Standing::Alive
            {
                self.confirm_alive(now, member_index);
            }
        }
    }

    /// Sets a new incarnation of a member, which restarted or refuted a rumor.
    fn accept_incarnation(
        &mut self,
        now: Timestamp,
        member_index: MemberIndex,
        incarnation: u64,
        nonce: u64,
        address: SocketAddr,
        reporter: &str,
    ) {
        let reporter: Rc<str> =
            self.table.by_name(reporter).map_or_else(|| reporter.into(), |member| member.name.clone());
        self.probes.retain(|probe| probe.member_index != Some(member_index));
        let changed = self.table.update(member_index, |member| {
            let restarted = member.nonce != nonce;
            let previous = member.standing;
            (member.incarnation, member.nonce, member.address) = (incarnation, nonce, address);
            (member.last_sent_us, member.min_clock_offset) =
                if restarted { (0, None) } else { (member.last_sent_us, member.min_clock_offset) };
            member.suspected_by.clear();
            member.refused_by.clear();
            (member.standing, member.reported_by) = (Standing::Alive, reporter.clone());
            if previous != Standing::Alive || restarted {
                member.standing_since = now;
            }
            (previous != Standing::Alive || restarted).then(|| (member.name.clone(), restarted))
        });
        let restarted = matches!(changed, Some(Some((_, true))));
        let times = if restarted { JOIN_TRANSMISSIONS } else { self.retransmit_limit() };
        self.table.queue_rumor(member_index, times);
        // A refutation is urgent; a restart is not.
        let urgent = !restarted;
        if let Some(Some((name, _))) = changed {
            self.events.push(Event::StandingChanged {
                name,
                incarnation,
                standing: Standing::Alive,
                reported_by: reporter,
            });
        }
        if urgent {
            self.push_rumor(now, Some(member_index));
        }
    }

    fn add_member(&mut self, now: Timestamp, datagram: &Datagram, address: SocketAddr) {
        self.last_heard_any = now;
        let name: Rc<str> = (&*datagram.from).into();
        let mut member = Member::new(name.clone(), address, datagram.incarnation, datagram.nonce, now);
        (member.last_heard, member.last_ack, member.idle) = (now, now, datagram.idle);
        let _ = member.accept_datagram(datagram.sent_us, now, TimeDelta::ZERO);
        if datagram.leaving {
            return;
        }
        let Some(member_index) = self.table.add(member, self.config.max_members) else { return };
        self.table.version += 1;
        self.candidates.retain(|candidate| candidate.name != name);
        let first = self.table.live().len() == 1;
        self.events.push(Event::StandingChanged {
            name: name.clone(),
            incarnation: datagram.incarnation,
            standing: Standing::Alive,
            reported_by: name,
        });
        // A join is not urgent. Pushing each would displace urgent rumors when many members join;
        // anti-entropy distributes the rest.
        self.table.queue_rumor(member_index, JOIN_TRANSMISSIONS);
        if first {
            self.send_digest(now, member_index, true);
        }
    }

    /// Adds a process that is known by name only.
    pub(crate) fn add_candidate(
        &mut self,
        now: Timestamp,
        name: &str,
        address: SocketAddr,
        incarnation: u64,
    ) {
        let known = self.candidates.iter_mut().find(|candidate| *candidate.name == *name);
        if let Some(candidate) = known {
            if incarnation > candidate.incarnation {
                (candidate.incarnation, candidate.address) = (incarnation, address);
            }
            return;
        }
        // Bounds the memory for invented names by evicting a random candidate.
        if self.candidates.len() >= self.config.max_candidates {
            let index = self.rng.usize(..self.candidates.len());
            self.candidates.swap_remove(index);
        }
        self.candidates.push(Candidate {
            name: name.into(),
            address,
            incarnation,
            attempts: 0,
            next_probe_at: now,
        });
    }

    /// Processes a rumor.
    pub(crate) fn handle_rumor(&mut self, now: Timestamp, rumor: &Rumor, reporter: &Rc<str>) {
        if *rumor.name == *self.local.name {
            return self.handle_rumor_about_self(now, rumor);
        }
        let Some(address) = rumor.address.parse().ok().filter(|&address| self.config.allows_address(address))
        else {
            self.counts.disallowed_address += 1;
            return;
        };
        let claim = rumor.claim();
        let Some(member_index) = self.table.index_of(&rumor.name) else {
            // Only processes that may be running become candidates.
            if matches!(claim, Claim::Alive | Claim::Suspect) {
                self.add_candidate(now, &rumor.name, address, rumor.incarnation);
            }
            return;
        };
        let Some(member) = self.table.get(member_index) else { return };
        if claim == Claim::Alive && rumor.incarnation == member.incarnation {
            return self.accept_vouching(now, member_index, rumor, reporter);
        }
        let repeated = claim == Claim::Suspect && rumor.incarnation == member.incarnation;
        if !repeated && !supersedes(rumor.incarnation, claim, member.incarnation, member.standing) {
            return;
        }
        if rumor.incarnation > member.incarnation {
            if matches!(claim, Claim::Alive | Claim::Suspect) {
                self.accept_incarnation(now, member_index, rumor.incarnation, rumor.nonce, address, reporter);
                if let Some(member) = self.table.get_mut(member_index) {
                    member.idle = rumor.idle;
                }
            }
            if claim == Claim::Alive {
                return;
            }
        }
        let Some(member) = self.table.get(member_index) else { return };
        if now - member.last_direct_evidence() <= self.config.freshness_window && claim != Claim::Left {
            // This router heard from the member just now, so that a wrong rumor must not take effect. The
            // member is told, so that it can refute; since it may not receive that, this router vouches for
            // it, too.
            if self.push_bucket.take(now) {
                self.send_message(now, member_index, Kind::Gossip, 0, "", Some(rumor.clone()));
            }
            self.vouch_for(now, member_index, reporter);
            return;
        }
        match claim {
            Claim::Suspect => self.handle_suspicion(now, member_index, rumor, reporter),
            Claim::Lost | Claim::Dead | Claim::Left => {
                if rumor.refused {
                    self.record_refusals(member_index, rumor);
                }
                self.verify(now, member_index, claim, reporter, Some(rumor));
            }
            _ => {}
        }
    }

    /// Tells those that received the suspicion that this router heard from the member.
    fn vouch_for(&mut self, now: Timestamp, member_index: MemberIndex, to: &Rc<str>) {
        let Some(member) = self.table.get(member_index) else { return };
        let age_ms = ((now - member.last_direct_evidence()).micros() / 1000) as u32;
        let reporters = vec![self.local.name.to_string()];
        let rumor = Rumor { claim: Claim::Alive as i32, reporters, age_ms, ..member.rumor() };
        if let Some(to) = self.table.index_of(to)
            && self.push_bucket.take(now)
        {
            self.send_message(now, to, Kind::Gossip, 0, "", Some(rumor.clone()));
        }
        self.forward_rumor(now, member_index, &rumor);
    }

    /// Pushes a rumor about a member to some other members.
    pub(crate) fn forward_rumor(&mut self, now: Timestamp, subject: MemberIndex, rumor: &Rumor) {
        let eligible = |member: &Member| member.standing == Standing::Alive;
        for to in self.table.sample(&mut self.rng, self.config.urgent_fanout, &[subject], eligible) {
            if self.push_bucket.take(now) {
                self.send_message(now, to, Kind::Gossip, 0, "", Some(rumor.clone()));
            }
        }
    }

    /// Processes the claim of others that they hear a member. It clears silence only, neither a refusal nor
    /// a loss, and counts as much as an ack through a helper, so that a faulty member cannot keep a dead one
    /// alive.
    fn accept_vouching(
        &mut self,
        now: Timestamp,
        member_index: MemberIndex,
        rumor: &Rumor,
        reporter: &Rc<str>,
    ) {
        let is_alive =
            |name: &String| self.table.by_name(name).is_some_and(|member| member.standing == Standing::Alive);
        let voucher = rumor.reporters.iter().find(|name| **name != rumor.name && is_alive(name)).cloned();
        // Each hop adds its delay to the age, so that the claim expires instead of circulating.
        let heard_at =
            now - TimeDelta::from_millis(i64::from(rumor.age_ms)) - self.config.retry_interval * 0.1;
        let Some(member) = self.table.get_mut(member_index) else { return };
        let outdated = now - heard_at > self.config.freshness_window
            || heard_at <= member.last_indirect_ack + self.config.freshness_window;
        if voucher.is_none() || outdated || !member.refused_by.is_empty() || member.standing.is_inactive() {
            return;
        }
        member.last_indirect_ack = heard_at;
        let was_suspected = member.standing == Standing::Silent || !member.suspected_by.is_empty();
        member.suspected_by.clear();
        if member.standing == Standing::Silent {
            self.set_standing(now, member_index, Standing::Alive, reporter);
        }
        if was_suspected {
            // Forwarded on first receipt, like the suspicion.
            let age_ms = ((now - heard_at).micros() / 1000) as u32;
            let rumor = Rumor { age_ms, ..rumor.clone() };
            self.forward_rumor(now, member_index, &rumor);
        }
    }

    fn record_refusals(&mut self, member_index: MemberIndex, rumor: &Rumor) {
        let names: Vec<Rc<str>> = rumor
            .reporters
            .iter()
            .filter_map(|reporter| self.table.by_name(reporter).map(|member| member.name.clone()))
            .collect();
        if let Some(member) = self.table.get_mut(member_index) {
            for name in names {
                if member.refused_by.len() < 3 && !member.refused_by.contains(&name) {
                    member.refused_by.push(name);
                }
            }
        }
    }

    /// Processes a suspicion: a single suspecting member is recorded, two start a verification.
    fn handle_suspicion(
        &mut self,
        now: Timestamp,
        member_index: MemberIndex,
        rumor: &Rumor,
        reporter: &Rc<str>,
    ) {
        // Only active members count.
        let suspecting_members: Vec<Rc<str>> = rumor
            .reporters
            .iter()
            .filter_map(|name| {
                self.table
                    .by_name(name)
                    .filter(|member| !member.standing.is_inactive())
                    .map(|member| member.name.clone())
            })
            .collect();
        let Some(member) = self.table.get_mut(member_index).filter(|member| !member.standing.is_inactive())
        else {
            return;
        };
        let mut any_new = false;
        for name in &suspecting_members {
            any_new |= *name != member.name && member.add_suspecting_member(name);
        }
        if !any_new {
            return;
        }
        let (agreed, refused) = (member.suspected_by.len() >= 2, rumor.refused);
        let standing = member.standing;
        if refused {
            self.record_refusals(member_index, rumor);
        }
        let times = self.retransmit_limit();
        self.table.queue_rumor(member_index, times);
        if standing == Standing::Alive && (agreed || refused || self.table.live().len() <= 3) {
            self.verify(now, member_index, Claim::Suspect, reporter, Some(rumor));
        }
    }

    /// Processes a rumor about this router.
    fn handle_rumor_about_self(&mut self, now: Timestamp, rumor: &Rumor) {
        if rumor.nonce != self.local.nonce {
            // An earlier process with this name, or a concurrent one.
            if rumor.claim() == Claim::Alive {
                self.handle_duplicate_name(now, rumor.incarnation, rumor.nonce);
            } else if rumor.incarnation >= self.local.incarnation {
                self.local.incarnation = rumor.incarnation;
                self.raise_incarnation();
                self.push_rumor(now, None);
            }
            return;
        }
        if rumor.claim() != Claim::Alive && rumor.incarnation >= self.local.incarnation && !self.leaving {
            self.local.incarnation = rumor.incarnation;
            self.raise_incarnation();
            self.push_rumor(now, None);
        }
    }

    /// Handles another process with this name whose incarnation is not lower. A higher incarnation
    /// supersedes the record of an earlier process. A process that is still running raises its own in turn,
    /// and after `MAX_NAME_CONFLICTS` conflicts the one with the higher nonce withdraws.
    pub(crate) fn handle_duplicate_name(&mut self, now: Timestamp, incarnation: u64, nonce: u64) {
        if incarnation < self.local.incarnation {
            return;
        }
        let recent = now - self.name_conflicts.1 <= self.config.probe_interval * NAME_CONFLICT_WINDOW_PERIODS;
        self.name_conflicts = (if recent { self.name_conflicts.0 + 1 } else { 1 }, now);
        if self.name_conflicts.0 >= MAX_NAME_CONFLICTS {
            self.duplicate_name = true;
            let yields = nonce < self.local.nonce;
            if self.withdrawn_until < now {
                self.events.push(Event::DuplicateName { yields });
            }
            if yields {
                // Two active processes of one name would take each other's acks and count as one router.
                self.withdrawn_until = now + self.config.probe_interval * NAME_WITHDRAWAL_PERIODS;
                return;
            }
        }
        self.local.incarnation = incarnation;
        self.raise_incarnation();
        self.push_rumor(now, None);
    }
}
