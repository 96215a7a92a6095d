//! The bounded table of members, with the queue of rumors to disseminate and a digest of the active members.

use std::collections::VecDeque;
use std::rc::Rc;

use arrowyard_types::Timestamp;
use fastrand::Rng;
use rustc_hash::FxHashMap;

use crate::member::{Member, MemberIndex, Standing};
use crate::message::{DIGEST_PARTS, hash_name, mix_bits};

/// Table of known members.
#[derive(Default)]
pub struct MemberTable {
    members: Vec<Option<Member>>,
    free: Vec<u32>,
    names: FxHashMap<Rc<str>, MemberIndex>,
    /// Alive and silent members in no order, and the index of each.
    live: Vec<MemberIndex>,
    live_positions: FxHashMap<MemberIndex, usize>,
    /// Lost, dead and left members in no order.
    inactive: Vec<MemberIndex>,
    /// Members whose rumor is still to be sent, the least often sent first.
    pending_rumors: VecDeque<MemberIndex>,
    digest: [u64; DIGEST_PARTS],
    /// Number of members by standing.
    counts: [usize; 5],
    /// Increases whenever the set of active members or an incarnation changes.
    pub version: u64,
}

fn digest_part(name: &str) -> usize {
    (hash_name(name) >> 32) as usize % DIGEST_PARTS
}

fn digest_value(member: &Member) -> u64 {
    if member.standing.is_inactive() { 0 } else { digest_contribution(&member.name, member.incarnation).1 }
}

/// What an active member contributes to the digest: the partition and the value.
pub fn digest_contribution(name: &str, incarnation: u64) -> (usize, u64) {
    (digest_part(name), mix_bits(hash_name(name) ^ incarnation.rotate_left(17)))
}

/// What a member contributes to the digest; inactive members contribute zero.
pub fn member_digest(member: &Member) -> (usize, u64) {
    (digest_part(&member.name), digest_value(member))
}

impl MemberTable {
    pub fn index_of(&self, name: &str) -> Option<MemberIndex> {
        self.names.get(name).copied()
    }

    pub fn get(&self, member_index: MemberIndex) -> Option<&Member> {
        self.members.get(member_index.0 as usize)?.as_ref()
    }

    pub fn by_name(&self, name: &str) -> Option<&Member> {
        self.get(self.index_of(name)?)
    }

    pub fn iter(&self) -> impl Iterator<Item = (MemberIndex, &Member)> {
        self.members
            .iter()
            .enumerate()
            .filter_map(|(index, member)| Some((MemberIndex(index as u32), member.as_ref()?)))
    }

    pub fn len(&self) -> usize {
        self.names.len()
    }

    pub fn live(&self) -> &[MemberIndex] {
        &self.live
    }

    pub fn inactive(&self) -> &[MemberIndex] {
        &self.inactive
    }

    pub fn digest(&self) -> &[u64; DIGEST_PARTS] {
        &self.digest
    }

    /// Members in one digest partition.
    pub fn members_in_part(&self, part: usize) -> impl Iterator<Item = (MemberIndex, &Member)> {
        self.iter().filter(move |(_, member)| digest_part(&member.name) == part)
    }

    /// Makes room for one more member by removing the one that has been inactive longest. Returns whether
    /// there is room.
    fn make_room(&mut self, max_members: usize) -> bool {
        if self.len() < max_members {
            return true;
        }
        let oldest = self
            .inactive
            .iter()
            .copied()
            .min_by_key(|&member_index| self.get(member_index).map(|member| member.standing_since));
        oldest.is_some_and(|member_index| {
            self.remove(member_index);
            true
        })
    }

    pub fn add(&mut self, member: Member, max_members: usize) -> Option<MemberIndex> {
        if !self.make_room(max_members) {
            return None;
        }
        let member_index = self.free.pop().unwrap_or(self.members.len() as u32);
        if member_index as usize == self.members.len() {
            self.members.push(None);
        }
        let member_index = MemberIndex(member_index);
        self.names.insert(member.name.clone(), member_index);
        self.members[member_index.0 as usize] = Some(member);
        self.index_member(member_index);
        Some(member_index)
    }

    pub fn remove(&mut self, member_index: MemberIndex) {
        self.unindex_member(member_index);
        if let Some(member) = self.members.get_mut(member_index.0 as usize).and_then(Option::take) {
            self.names.remove(&member.name);
            self.free.push(member_index.0);
            self.pending_rumors.retain(|other| *other != member_index);
        }
    }

    /// Updates a member together with the lists and the digest.
    pub fn update<T>(
        &mut self,
        member_index: MemberIndex,
        change: impl FnOnce(&mut Member) -> T,
    ) -> Option<T> {
        let before =
            self.get(member_index).map(|member| (member.standing.is_inactive(), member.incarnation))?;
        self.unindex_member(member_index);
        let member = self.members.get_mut(member_index.0 as usize)?.as_mut()?;
        let result = change(member);
        let after = (member.standing.is_inactive(), member.incarnation);
        self.index_member(member_index);
        self.version += u64::from(before != after);
        Some(result)
    }

    /// A member for changes that affect neither lists nor digest: anything but its incarnation and standing.
    pub fn get_mut(&mut self, member_index: MemberIndex) -> Option<&mut Member> {
        self.members.get_mut(member_index.0 as usize)?.as_mut()
    }

    fn index_member(&mut self, member_index: MemberIndex) {
        let Some(member) = self.get(member_index) else { return };
        let (standing, (part, value)) = (member.standing, member_digest(member));
        self.digest[part] ^= value;
        self.counts[standing as usize] += 1;
        if standing.is_inactive() {
            self.inactive.push(member_index);
        } else {
            self.live_positions.insert(member_index, self.live.len());
            self.live.push(member_index);
        }
    }

    fn unindex_member(&mut self, member_index: MemberIndex) {
        let Some(member) = self.get(member_index) else { return };
        let (standing, (part, value)) = (member.standing, member_digest(member));
        self.digest[part] ^= value;
        self.counts[standing as usize] -= 1;
        match self.live_positions.remove(&member_index) {
            Some(index) => {
                self.live.swap_remove(index);
                if let Some(&moved) = self.live.get(index) {
                    self.live_positions.insert(moved, index);
                }
            }
            None => self.inactive.retain(|other| *other != member_index),
        }
    }

    /// Samples up to `count` distinct active members that satisfy `eligible` and are not in `excluded`.
    pub fn sample(
        &self,
        rng: &mut Rng,
        count: usize,
        excluded: &[MemberIndex],
        eligible: impl Fn(&Member) -> bool,
    ) -> Vec<MemberIndex> {
        let mut sampled = Vec::new();
        if self.live.is_empty() {
            return sampled;
        }
        // Bounds the number of draws independently of the size of the table.
        for _ in 0..count * 4 + 8 {
            let member_index = self.live[rng.usize(..self.live.len())];
            let is_eligible = self.get(member_index).is_some_and(&eligible);
            if is_eligible && !excluded.contains(&member_index) && !sampled.contains(&member_index) {
                sampled.push(member_index);
                if sampled.len() == count {
                    break;
                }
            }
        }
        sampled
    }

    /// Queues the rumor about a member to be sent `times` times.
    pub fn queue_rumor(&mut self, member_index: MemberIndex, times: u8) {
        let Some(member) = self.get_mut(member_index) else { return };
        let queued = member.remaining_transmissions > 0;
        member.remaining_transmissions = times;
        if queued {
            self.pending_rumors.retain(|other| *other != member_index);
        }
        self.pending_rumors.push_front(member_index);
    }

    /// The next member whose rumor is to be sent; counts as one transmission.
    pub fn next_rumor(&mut self) -> Option<MemberIndex> {
        let member_index = self.pending_rumors.pop_front()?;
        if let Some(member) = self.get_mut(member_index) {
            member.remaining_transmissions = member.remaining_transmissions.saturating_sub(1);
            if member.remaining_transmissions > 0 {
                self.pending_rumors.push_back(member_index);
            }
        }
        Some(member_index)
    }

    pub fn pending_rumors(&self) -> usize {
        self.pending_rumors.len()
    }

    /// Removes members that became inactive before this time.
    pub fn expire_inactive(&mut self, before: Timestamp) {
        let expired: Vec<MemberIndex> = self
            .inactive
            .iter()
            .copied()
            .filter(|&member_index| {
                self.get(member_index).is_none_or(|member| member.standing_since < before)
            })
            .collect();
        expired.into_iter().for_each(|member_index| self.remove(member_index));
    }

    /// The first active member that satisfies `eligible` at or after this position on a ring.
    pub fn ring_successor(
        &self,
        ring: usize,
        position: u64,
        eligible: impl Fn(&Member) -> bool,
    ) -> Option<MemberIndex> {
        let eligible = |member_index: &&MemberIndex| self.get(**member_index).is_some_and(&eligible);
        let distance = |member_index: &&MemberIndex| {
            self.get(**member_index)
                .map_or(u64::MAX, |member| member.ring_positions[ring].wrapping_sub(position))
        };
        self.live.iter().filter(eligible).min_by_key(distance).copied()
    }

    pub fn count_by_standing(&self, standing: Standing) -> usize {
        self.counts[standing as usize]
    }
}
