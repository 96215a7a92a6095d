use std::collections::{BTreeMap, VecDeque};

use arrowyard_conduit::{Duty, Entry, Matter, Revised, Snapshot, Taken};
use arrowyard_gauge::{Change, ChangeKind, Configuration};

/// So many changes are remembered by their sum, for calls that are sent again.
const REMEMBERED: usize = 1024;

/// Whether one list of voters follows another by one seat, in or out. Danger: of two lists that differ by more,
/// majorities need not have a machine in common that has all entries on its disk.
fn is_one_step(before: &[u32], next: &[u32]) -> bool {
    let lacks = |from: &[u32], of: &[u32]| from.iter().filter(|ip| !of.contains(ip)).count();
    next.is_sorted_by(|a, b| a < b) && !next.is_empty() && lacks(next, before) + lacks(before, next) == 1
}

/// What all chosen entries lead to.
#[derive(Clone, Debug, Default)]
pub struct Applied {
    /// The last slot that is in it.
    pub slot: u64,
    pub configuration: Configuration,
    /// Whether the first configuration has come.
    pub begun: bool,
    pub duties: BTreeMap<String, Duty>,
    pub voters: Vec<u32>,
    taken: VecDeque<Taken>,
}

/// A sum over a change, by which the same one is known again (FNV-1a).
pub fn sum(revised: &Revised) -> u64 {
    let head = [u8::from(revised.whole)];
    let bytes = head.iter().chain(&revised.body);
    bytes.fold(0xcbf2_9ce4_8422_2325, |sum, &byte| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

pub fn change(revised: &Revised) -> Change {
    let kind = if revised.whole { ChangeKind::Replace } else { ChangeKind::Adjust };
    Change { kind, base: revised.base, body: revised.body.clone() }
}

impl Applied {
    /// The sum of the change that brought a revision, if it is remembered.
    pub fn taken(&self, revision: u64) -> Option<u64> {
        self.taken.iter().find(|taken| taken.revision == revision).map(|taken| taken.sum)
    }

    /// Whether an entry would still do what it was meant for.
    pub fn holds(&self, entry: &Entry) -> bool {
        match &entry.matter {
            Some(Matter::Configuration(revised)) => revised.base == self.configuration.revision,
            Some(Matter::Duty(duty)) => duty.fence == self.fence(&duty.duty),
            Some(Matter::Voters(next)) => {
                next.before == self.voters && is_one_step(&self.voters, &next.voters)
            }
            _ => true,
        }
    }

    /// The fence of a duty; 0 before it had a holder.
    pub fn fence(&self, duty: &str) -> u64 {
        self.duties.get(duty).map_or(0, |duty| duty.fence)
    }

    /// Takes the entry of the next slot. Every machine takes the same entries in the same order, and comes to the same.
    pub fn apply(&mut self, entry: &Entry) {
        self.slot += 1;
        if !self.holds(entry) {
            return;
        }
        match &entry.matter {
            Some(Matter::Configuration(revised)) => {
                if let Ok(configuration) = change(revised).apply(&self.configuration) {
                    self.configuration = configuration;
                    self.begun = true;
                    let taken = Taken { revision: self.configuration.revision, sum: sum(revised) };
                    self.taken.push_back(taken);
                    if self.taken.len() > REMEMBERED {
                        self.taken.pop_front();
                    }
                }
            }
            Some(Matter::Duty(duty)) => {
                // The slot is the fence: it rises with every change of holder and cannot come twice.
                let duty = Duty { fence: self.slot, ..duty.clone() };
                self.duties.insert(duty.duty.clone(), duty);
            }
            Some(Matter::Voters(voters)) => self.voters = voters.voters.clone(),
            Some(Matter::Rejoin(_)) | None => {}
        }
    }

    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            slot: self.slot,
            configuration: if self.begun { self.configuration.body().into_bytes() } else { Vec::new() },
            duties: self.duties.values().cloned().collect(),
            voters: self.voters.clone(),
            taken: self.taken.iter().copied().collect(),
        }
    }

    /// # Errors
    /// When the configuration in it cannot be read.
    pub fn restore(snapshot: &Snapshot) -> Result<Self, String> {
        let mut applied = Applied {
            slot: snapshot.slot,
            duties: snapshot.duties.iter().map(|duty| (duty.duty.clone(), duty.clone())).collect(),
            voters: snapshot.voters.clone(),
            taken: snapshot.taken.iter().copied().collect(),
            ..Applied::default()
        };
        if !snapshot.configuration.is_empty() {
            let read = Configuration::default().replace(&snapshot.configuration);
            applied.configuration = read.map_err(|refusal| refusal.to_string())?;
            applied.begun = true;
        }
        Ok(applied)
    }
}
