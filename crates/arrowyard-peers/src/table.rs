//! The table of members: bounded, with the news that is still to be passed on and a digest of those that live.

use std::collections::VecDeque;
use std::rc::Rc;

use arrowyard_types::Timestamp;
use fastrand::Rng;
use rustc_hash::FxHashMap;

use crate::member::{Member, Slot, Standing};
use crate::message::{PARTS, mark, scatter};

#[derive(Default)]
pub struct Table {
    members: Vec<Option<Member>>,
    free: Vec<u32>,
    names: FxHashMap<Rc<str>, Slot>,
    /// Those that are alive or silent, in no order, and each one's place there.
    live: Vec<Slot>,
    places: FxHashMap<Slot, usize>,
    /// Those that are lost or dead, in no order.
    over: Vec<Slot>,
    /// Whose news is passed on, the least told first.
    news: VecDeque<Slot>,
    digest: [u64; PARTS],
    /// How many stand how.
    counts: [usize; 5],
    /// Grows with each change of who lives.
    pub changes: u64,
}

fn part(name: &str) -> usize {
    (mark(name) >> 32) as usize % PARTS
}

fn stamp(member: &Member) -> u64 {
    if member.standing.is_over() { 0 } else { weight_of(&member.name, member.life).1 }
}

/// What a member that lives adds to the digest: in which part, and what.
pub fn weight_of(name: &str, life: u64) -> (usize, u64) {
    (part(name), scatter(mark(name) ^ life.rotate_left(17)))
}

pub fn weight(member: &Member) -> (usize, u64) {
    (part(&member.name), stamp(member))
}

impl Table {
    pub fn slot(&self, name: &str) -> Option<Slot> {
        self.names.get(name).copied()
    }

    pub fn get(&self, slot: Slot) -> Option<&Member> {
        self.members.get(slot.0 as usize)?.as_ref()
    }

    pub fn of(&self, name: &str) -> Option<&Member> {
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

    pub fn over(&self) -> &[Slot] {
        &self.over
    }

    pub fn digest(&self) -> &[u64; PARTS] {
        &self.digest
    }

    /// Names of one part, for a page.
    pub fn in_part(&self, of: usize) -> impl Iterator<Item = (Slot, &Member)> {
        self.iter().filter(move |(_, member)| part(&member.name) == of)
    }

    /// Makes room for one more; whether there is some. The longest remembered that is over gives way.
    fn make_room(&mut self, most: usize) -> bool {
        if self.len() < most {
            return true;
        }
        let oldest = self.over.iter().copied().min_by_key(|&slot| self.get(slot).map(|one| one.since));
        oldest.is_some_and(|slot| {
            self.forget(slot);
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
        self.enter(slot);
        Some(slot)
    }

    pub fn forget(&mut self, slot: Slot) {
        self.exit(slot);
        if let Some(member) = self.members.get_mut(slot.0 as usize).and_then(Option::take) {
            self.names.remove(&member.name);
            self.free.push(slot.0);
            self.news.retain(|one| *one != slot);
        }
    }

    /// Changes a member; the lists and the digest follow.
    pub fn change<T>(&mut self, slot: Slot, change: impl FnOnce(&mut Member) -> T) -> Option<T> {
        let before = self.get(slot).map(|one| (one.standing.is_over(), one.life))?;
        self.exit(slot);
        let one = self.members.get_mut(slot.0 as usize)?.as_mut()?;
        let done = change(one);
        let after = (one.standing.is_over(), one.life);
        self.enter(slot);
        self.changes += u64::from(before != after);
        Some(done)
    }

    /// Changes what neither lists, counts nor digest depend on: all but its life and how it stands.
    pub fn touch(&mut self, slot: Slot) -> Option<&mut Member> {
        self.members.get_mut(slot.0 as usize)?.as_mut()
    }

    fn enter(&mut self, slot: Slot) {
        let Some(member) = self.get(slot) else { return };
        let (standing, (of, stamp)) = (member.standing, weight(member));
        self.digest[of] ^= stamp;
        self.counts[standing as usize] += 1;
        if standing.is_over() {
            self.over.push(slot);
        } else {
            self.places.insert(slot, self.live.len());
            self.live.push(slot);
        }
    }

    fn exit(&mut self, slot: Slot) {
        let Some(member) = self.get(slot) else { return };
        let (standing, (of, stamp)) = (member.standing, weight(member));
        self.digest[of] ^= stamp;
        self.counts[standing as usize] -= 1;
        match self.places.remove(&slot) {
            Some(at) => {
                self.live.swap_remove(at);
                if let Some(&moved) = self.live.get(at) {
                    self.places.insert(moved, at);
                }
            }
            None => self.over.retain(|one| *one != slot),
        }
    }

    /// Some that live, other than these, each at most once.
    pub fn draw(
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
    pub fn spread(&mut self, slot: Slot, times: u8) {
        let Some(member) = self.touch(slot) else { return };
        let queued = member.left > 0;
        member.left = times;
        if queued {
            self.news.retain(|one| *one != slot);
        }
        self.news.push_front(slot);
    }

    /// The next of whom news is told; it is told once less then.
    pub fn next_news(&mut self) -> Option<Slot> {
        let slot = self.news.pop_front()?;
        if let Some(member) = self.touch(slot) {
            member.left = member.left.saturating_sub(1);
            if member.left > 0 {
                self.news.push_back(slot);
            }
        }
        Some(slot)
    }

    pub fn news(&self) -> usize {
        self.news.len()
    }

    /// Forgets those that are over for longer than they are remembered.
    pub fn expire(&mut self, before: Timestamp) {
        let old: Vec<Slot> = self
            .over
            .iter()
            .copied()
            .filter(|&slot| self.get(slot).is_none_or(|member| member.since < before))
            .collect();
        old.into_iter().for_each(|slot| self.forget(slot));
    }

    /// The next on this ring after the place, among those that live and are fit.
    pub fn successor(&self, ring: usize, place: u64, fit: impl Fn(&Member) -> bool) -> Option<Slot> {
        let fit = |slot: &&Slot| self.get(**slot).is_some_and(&fit);
        let far = |slot: &&Slot| self.get(**slot).map_or(u64::MAX, |one| one.rings[ring].wrapping_sub(place));
        self.live.iter().filter(fit).min_by_key(far).copied()
    }

    pub fn count(&self, standing: Standing) -> usize {
        self.counts[standing as usize]
    }
}
