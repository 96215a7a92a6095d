//! The table of members: bounded, with the news that is still to be passed on and a digest of those that live.

use std::collections::VecDeque;
use std::rc::Rc;

use arrowyard_types::Timestamp;
use fastrand::Rng;
use rustc_hash::FxHashMap;

use crate::member::{Member, Slot, Standing};
use crate::message::{DIGEST_PARTS, hash_name, mix_bits};

#[derive(Default)]
pub struct MemberTable {
    members: Vec<Option<Member>>,
    free: Vec<u32>,
    names: FxHashMap<Rc<str>, Slot>,
    /// Those that are alive or silent, in no order, and each one's place there.
    live: Vec<Slot>,
    live_positions: FxHashMap<Slot, usize>,
    /// Those that are lost or dead, in no order.
    inactive: Vec<Slot>,
    /// Whose news is passed on, the least told first.
    pending_rumors: VecDeque<Slot>,
    digest: [u64; DIGEST_PARTS],
    /// How many stand how.
    counts: [usize; 5],
    /// Grows with each change of who lives.
    pub version: u64,
}

fn digest_part(name: &str) -> usize {
    (hash_name(name) >> 32) as usize % DIGEST_PARTS
}

fn digest_value(member: &Member) -> u64 {
    if member.standing.is_inactive() { 0 } else { digest_contribution(&member.name, member.incarnation).1 }
}

/// What a member that lives adds to the digest: in which part, and what.
pub fn digest_contribution(name: &str, life: u64) -> (usize, u64) {
    (digest_part(name), mix_bits(hash_name(name) ^ life.rotate_left(17)))
}

pub fn member_digest(member: &Member) -> (usize, u64) {
    (digest_part(&member.name), digest_value(member))
}

impl MemberTable {
    pub fn slot(&self, name: &str) -> Option<Slot> {
        self.names.get(name).copied()
    }

    pub fn get(&self, slot: Slot) -> Option<&Member> {
        self.members.get(slot.0 as usize)?.as_ref()
    }

    pub fn by_name(&self, name: &str) -> Option<&Member> {
        self.get(self.slot(name)?)
    }

    pub fn iter(&self) -> impl Iterator<Item = (Slot, &Member)> {
        self.members.iter().enumerate().filter_map(|(at, one)| Some((Slot(at as u32), one.as_ref()?)))
    }

    pub fn len(&self) -> usize {
        self.names.len()
    }

    pub fn live(&self) -> &[Slot] {
        &self.live
    }

    pub fn inactive(&self) -> &[Slot] {
        &self.inactive
    }

    pub fn digest(&self) -> &[u64; DIGEST_PARTS] {
        &self.digest
    }

    /// Names of one part, for a page.
    pub fn members_in_part(&self, of: usize) -> impl Iterator<Item = (Slot, &Member)> {
        self.iter().filter(move |(_, member)| digest_part(&member.name) == of)
    }

    /// Makes room for one more; whether there is some. The longest remembered that is over gives way.
    fn make_room(&mut self, most: usize) -> bool {
        if self.len() < most {
            return true;
        }
        let oldest =
            self.inactive.iter().copied().min_by_key(|&slot| self.get(slot).map(|one| one.standing_since));
        oldest.is_some_and(|slot| {
            self.remove(slot);
            true
        })
    }

    pub fn add(&mut self, member: Member, most: usize) -> Option<Slot> {
        if !self.make_room(most) {
            return None;
        }
        let slot = self.free.pop().unwrap_or(self.members.len() as u32);
        if slot as usize == self.members.len() {
            self.members.push(None);
        }
        let slot = Slot(slot);
        self.names.insert(member.name.clone(), slot);
        self.members[slot.0 as usize] = Some(member);
        self.index_member(slot);
        Some(slot)
    }

    pub fn remove(&mut self, slot: Slot) {
        self.unindex_member(slot);
        if let Some(member) = self.members.get_mut(slot.0 as usize).and_then(Option::take) {
            self.names.remove(&member.name);
            self.free.push(slot.0);
            self.pending_rumors.retain(|one| *one != slot);
        }
    }

    /// Changes a member; the lists and the digest follow.
    pub fn update<T>(&mut self, slot: Slot, change: impl FnOnce(&mut Member) -> T) -> Option<T> {
        let before = self.get(slot).map(|one| (one.standing.is_inactive(), one.incarnation))?;
        self.unindex_member(slot);
        let one = self.members.get_mut(slot.0 as usize)?.as_mut()?;
        let done = change(one);
        let after = (one.standing.is_inactive(), one.incarnation);
        self.index_member(slot);
        self.version += u64::from(before != after);
        Some(done)
    }

    /// Changes what neither lists, counts nor digest depend on: all but its life and how it stands.
    pub fn get_mut(&mut self, slot: Slot) -> Option<&mut Member> {
        self.members.get_mut(slot.0 as usize)?.as_mut()
    }

    fn index_member(&mut self, slot: Slot) {
        let Some(member) = self.get(slot) else { return };
        let (standing, (of, stamp)) = (member.standing, member_digest(member));
        self.digest[of] ^= stamp;
        self.counts[standing as usize] += 1;
        if standing.is_inactive() {
            self.inactive.push(slot);
        } else {
            self.live_positions.insert(slot, self.live.len());
            self.live.push(slot);
        }
    }

    fn unindex_member(&mut self, slot: Slot) {
        let Some(member) = self.get(slot) else { return };
        let (standing, (of, stamp)) = (member.standing, member_digest(member));
        self.digest[of] ^= stamp;
        self.counts[standing as usize] -= 1;
        match self.live_positions.remove(&slot) {
            Some(at) => {
                self.live.swap_remove(at);
                if let Some(&moved) = self.live.get(at) {
                    self.live_positions.insert(moved, at);
                }
            }
            None => self.inactive.retain(|one| *one != slot),
        }
    }

    /// Some that live, other than these, each at most once.
    pub fn sample(
        &self,
        rng: &mut Rng,
        count: usize,
        but: &[Slot],
        fit: impl Fn(&Member) -> bool,
    ) -> Vec<Slot> {
        let mut drawn = Vec::new();
        if self.live.is_empty() {
            return drawn;
        }
        // From a random place on in steps: a constant number of looks, however many there are.
        for _ in 0..count * 4 + 8 {
            let slot = self.live[rng.usize(..self.live.len())];
            let fits = self.get(slot).is_some_and(&fit);
            if fits && !but.contains(&slot) && !drawn.contains(&slot) {
                drawn.push(slot);
                if drawn.len() == count {
                    break;
                }
            }
        }
        drawn
    }

    /// News of it is passed on so often.
    pub fn queue_rumor(&mut self, slot: Slot, times: u8) {
        let Some(member) = self.get_mut(slot) else { return };
        let queued = member.remaining_transmissions > 0;
        member.remaining_transmissions = times;
        if queued {
            self.pending_rumors.retain(|one| *one != slot);
        }
        self.pending_rumors.push_front(slot);
    }

    /// The next of whom news is told; it is told once less then.
    pub fn next_rumor(&mut self) -> Option<Slot> {
        let slot = self.pending_rumors.pop_front()?;
        if let Some(member) = self.get_mut(slot) {
            member.remaining_transmissions = member.remaining_transmissions.saturating_sub(1);
            if member.remaining_transmissions > 0 {
                self.pending_rumors.push_back(slot);
            }
        }
        Some(slot)
    }

    pub fn pending_rumors(&self) -> usize {
        self.pending_rumors.len()
    }

    /// Forgets those that are over for longer than they are remembered.
    pub fn expire_inactive(&mut self, before: Timestamp) {
        let old: Vec<Slot> = self
            .inactive
            .iter()
            .copied()
            .filter(|&slot| self.get(slot).is_none_or(|member| member.standing_since < before))
            .collect();
        old.into_iter().for_each(|slot| self.remove(slot));
    }

    /// The next on this ring after the place, among those that live and are fit.
    pub fn ring_successor(&self, ring: usize, place: u64, fit: impl Fn(&Member) -> bool) -> Option<Slot> {
        let fit = |slot: &&Slot| self.get(**slot).is_some_and(&fit);
        let far = |slot: &&Slot| {
            self.get(**slot).map_or(u64::MAX, |one| one.ring_positions[ring].wrapping_sub(place))
        };
        self.live.iter().filter(fit).min_by_key(far).copied()
    }

    pub fn count_by_standing(&self, standing: Standing) -> usize {
        self.counts[standing as usize]
    }
}
