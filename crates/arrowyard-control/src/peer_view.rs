use std::collections::BTreeMap;

use arrowyard_messages::KnownControl;
use fastrand::Rng;

/// Control machines that one process knows of: a part of them, exchanged between neighbours (Voulgaris, Gavidia and van
/// Steen, "CYCLON"). A machine that is gone ages in every view and falls out.
#[derive(Clone, Debug, Default)]
pub struct PeerView {
    known: BTreeMap<u32, KnownControl>,
}

/// Machines in one view, those told in one exchange, and the age at which one falls out.
const MOST: usize = 24;
const TOLD: usize = 8;
const OLD: u32 = 60;

impl PeerView {
    /// It was heard of itself just now.
    pub fn record_contact(&mut self, ip: u32, zone: &str) {
        self.known.insert(ip, KnownControl { ip, zone: zone.to_string(), age: 0 });
        self.bound();
    }

    /// A machine that it was told of in the settings, not known to be up. Its zone is not told.
    pub fn add_seed(&mut self, ip: u32) {
        self.known.entry(ip).or_insert(KnownControl { ip, zone: String::new(), age: OLD / 2 });
        self.bound();
    }

    /// What another view holds; the younger word of a machine counts.
    pub fn merge(&mut self, others: &[KnownControl], me: u32) {
        for other in others.iter().filter(|other| other.ip != me && other.age < OLD) {
            match self.known.get_mut(&other.ip) {
                Some(known) if known.age <= other.age => {}
                _ => drop(self.known.insert(other.ip, other.clone())),
            }
        }
        self.bound();
    }

    /// A round has passed.
    pub fn increment_ages(&mut self) {
        self.known.values_mut().for_each(|known| known.age += 1);
        self.known.retain(|_, known| known.age < OLD);
    }

    fn bound(&mut self) {
        while self.known.len() > MOST {
            let oldest = self.known.values().max_by_key(|known| known.age).map(|known| known.ip);
            oldest.map(|ip| self.known.remove(&ip));
        }
    }

    /// Some of it, for a neighbour.
    pub fn sample(&self, rng: &mut Rng) -> Vec<KnownControl> {
        let mut all: Vec<KnownControl> = self.known.values().cloned().collect();
        rng.shuffle(&mut all);
        all.truncate(TOLD);
        all
    }

    pub fn machines(&self) -> impl Iterator<Item = &KnownControl> {
        self.known.values()
    }

    pub fn zone(&self, ip: u32) -> Option<&str> {
        self.known.get(&ip).map(|known| known.zone.as_str())
    }
}
