//! Membership of the control plane, spread by gossip.

use std::collections::BTreeMap;

use arrowyard_messages::KnownControl;
use fastrand::Rng;

/// Partial view of the control machines, exchanged between neighbours (Voulgaris, Gavidia and van
/// Steen, "CYCLON"). Entries of failed machines age in every view and are removed.
#[derive(Clone, Debug, Default)]
pub struct PeerView {
    machines: BTreeMap<u32, KnownControl>,
}

/// Machines in one view, machines sent in one exchange, and the age at which an entry is removed.
const MAX_MACHINES: usize = 24;
const SAMPLE_SIZE: usize = 8;
const MAX_AGE: u32 = 60;

impl PeerView {
    /// Records direct contact with a machine.
    pub fn record_contact(&mut self, ip: u32, zone: &str) {
        self.machines.insert(ip, KnownControl { ip, zone: zone.to_string(), age: 0 });
        self.evict_oldest();
    }

    /// Adds a machine from the settings; it is not known to be up, and its zone is unknown.
    pub fn add_seed(&mut self, ip: u32) {
        self.machines.entry(ip).or_insert(KnownControl { ip, zone: String::new(), age: MAX_AGE / 2 });
        self.evict_oldest();
    }

    /// Merges the sample of another view; the younger entry of a machine is kept.
    pub fn merge(&mut self, others: &[KnownControl], local_ip: u32) {
        for other in others.iter().filter(|other| other.ip != local_ip && other.age < MAX_AGE) {
            match self.machines.get_mut(&other.ip) {
                Some(known) if known.age <= other.age => {}
                _ => drop(self.machines.insert(other.ip, other.clone())),
            }
        }
        self.evict_oldest();
    }

    /// Ages all entries by one round and removes expired ones.
    pub fn increment_ages(&mut self) {
        self.machines.values_mut().for_each(|known| known.age += 1);
        self.machines.retain(|_, known| known.age < MAX_AGE);
    }

    fn evict_oldest(&mut self) {
        while self.machines.len() > MAX_MACHINES {
            let oldest = self.machines.values().max_by_key(|known| known.age).map(|known| known.ip);
            oldest.map(|ip| self.machines.remove(&ip));
        }
    }

    /// A random sample to send to a neighbour.
    pub fn sample(&self, rng: &mut Rng) -> Vec<KnownControl> {
        let mut all: Vec<KnownControl> = self.machines.values().cloned().collect();
        rng.shuffle(&mut all);
        all.truncate(SAMPLE_SIZE);
        all
    }

    /// All machines of the view.
    pub fn machines(&self) -> impl Iterator<Item = &KnownControl> {
        self.machines.values()
    }

    /// Zone of a machine; empty if it is known only from the settings.
    pub fn zone(&self, ip: u32) -> Option<&str> {
        self.machines.get(&ip).map(|known| known.zone.as_str())
    }
}
