//! What the entries of the ledger lead to: the configuration, who holds the duty, who votes, which changes were taken.

use std::collections::{BTreeMap, VecDeque};

use arrowyard_config::{Change, ChangeKind, Configuration};
use arrowyard_messages::{AppliedChange, ConfigRevision, Duty, Entry, EntryPayload, Snapshot};
use prost::Message;
use sha2::{Digest as _, Sha256};

/// The duty of whoever replaces primaries.
pub const PROMOTION_DUTY: &str = "promote";

/// So many changes are remembered by their digest, for calls that are sent again.
pub const MAX_REMEMBERED_CHANGES: usize = 2048;

/// The SHA-256 of a whole change.
pub type ChangeDigest = [u8; 32];

/// How a change that an operator sends stands to the configuration in place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeStatus {
    /// It was taken.
    Applied,
    /// It builds on the configuration in place.
    Applicable,
    /// It builds on one that is not known here yet.
    BaseUnknown,
    /// It was not taken and never will be: another change has built on the same version.
    Superseded,
    /// So many changes have been taken since that it is not known any more whether this one was.
    HistoryExpired,
}

/// Whether one list of voters follows another by one seat, in or out. Danger: of two lists that differ by more,
/// majorities need not have a machine in common that has all entries on its disk.
fn is_one_step(before: &[u32], next: &[u32]) -> bool {
    let lacks = |from: &[u32], of: &[u32]| from.iter().filter(|ip| !of.contains(ip)).count();
    next.is_sorted_by(|a, b| a < b) && !next.is_empty() && lacks(next, before) + lacks(before, next) == 1
}

/// What all chosen entries lead to.
#[derive(Clone, Debug, Default)]
pub struct AppliedState {
    /// The last slot that is in it.
    pub slot: u64,
    pub configuration: Configuration,
    /// Whether the first configuration has come.
    pub has_configuration: bool,
    pub duties: BTreeMap<String, Duty>,
    pub voters: Vec<u32>,
    taken: VecDeque<(u64, ChangeDigest)>,
    /// The newest revision that is not among them any more.
    forgotten: u64,
    /// A digest of the first entry, by which two deployments are told apart; 0 before there is one.
    deployment: u64,
}

/// The digest by which a change is known again: over its kind, the version that it builds on and its body, so that two
/// operators who choose the same number for different changes are told apart.
pub fn change_digest(revised: &ConfigRevision) -> ChangeDigest {
    let mut hash = Sha256::new();
    hash.update([u8::from(revised.whole)]);
    hash.update(revised.base.to_le_bytes());
    hash.update(&revised.body);
    hash.finalize().into()
}

/// Names a deployment by its first entry. That is a ballot for the duty, with the life of its holder, a number drawn at
/// random: operators' changes are taken only once all seats are filled, by the holder of the duty.
fn deployment(first: &Entry) -> u64 {
    let digest: ChangeDigest = Sha256::digest(first.encode_to_vec()).into();
    let (head, _) = digest.split_first_chunk::<8>().expect("a digest is longer");
    u64::from_le_bytes(*head) | 1
}

pub fn to_change(revised: &ConfigRevision) -> Change {
    let kind = if revised.whole { ChangeKind::Replace } else { ChangeKind::Adjust };
    Change { kind, base: revised.base, body: revised.body.clone() }
}

impl AppliedState {
    /// The digest of the change that brought a revision, if it is remembered.
    pub fn applied_change(&self, revision: u64) -> Option<ChangeDigest> {
        self.taken.iter().find(|(taken, _)| *taken == revision).map(|(_, digest)| *digest)
    }

    /// How a change that is to bring a revision stands. Invariant: versions only rise, and every change up to this one is
    /// known here; so a change that builds on an older version and is not among those taken never will be taken.
    pub fn change_status(&self, revised: &ConfigRevision, revision: Option<u64>) -> ChangeStatus {
        let taken = revision.and_then(|revision| self.applied_change(revision));
        let current = self.configuration.revision;
        if taken.is_some_and(|taken| taken == change_digest(revised)) {
            ChangeStatus::Applied
        } else if revised.base > current {
            ChangeStatus::BaseUnknown
        } else if revised.base == current {
            ChangeStatus::Applicable
        } else if revision.is_some_and(|revision| revision <= self.forgotten) {
            ChangeStatus::HistoryExpired
        } else {
            ChangeStatus::Superseded
        }
    }

    fn remember(&mut self, revised: &ConfigRevision) {
        self.taken.push_back((self.configuration.revision, change_digest(revised)));
        while self.taken.len() > MAX_REMEMBERED_CHANGES {
            let oldest = self.taken.pop_front();
            self.forgotten = oldest.map_or(self.forgotten, |(revision, _)| revision);
        }
    }

    /// Whether an entry would still do what it was meant for.
    pub fn is_applicable(&self, entry: &Entry) -> bool {
        match &entry.payload {
            Some(EntryPayload::Configuration(revised)) => revised.base == self.configuration.revision,
            Some(EntryPayload::Duty(duty)) => duty.fence == self.duty_fence(&duty.duty),
            Some(EntryPayload::Voters(next)) => {
                next.before == self.voters && is_one_step(&self.voters, &next.voters)
            }
            Some(EntryPayload::Decision(decision)) => self.duties.get(PROMOTION_DUTY).is_some_and(|duty| {
                (duty.holder, duty.incarnation, duty.fence)
                    == (decision.holder, decision.incarnation, decision.duty_fence)
            }),
            _ => true,
        }
    }

    /// The fence of a duty; 0 before it had a holder.
    pub fn duty_fence(&self, duty: &str) -> u64 {
        self.duties.get(duty).map_or(0, |duty| duty.fence)
    }

    /// Takes the entry of the next slot. Every machine takes the same entries in the same order, and comes to the same.
    pub fn apply(&mut self, entry: &Entry) {
        self.slot += 1;
        if self.slot == 1 {
            self.deployment = deployment(entry);
        }
        if !self.is_applicable(entry) {
            return;
        }
        match &entry.payload {
            Some(EntryPayload::Configuration(revised)) => {
                if let Ok(configuration) = to_change(revised).apply(&self.configuration) {
                    self.configuration = configuration;
                    self.has_configuration = true;
                    self.remember(revised);
                }
            }
            Some(EntryPayload::Duty(duty)) => {
                // The slot is the fence: it rises with every change of holder and cannot come twice.
                let duty = Duty { fence: self.slot, ..duty.clone() };
                self.duties.insert(duty.duty.clone(), duty);
            }
            Some(EntryPayload::Voters(voters)) => self.voters = voters.voters.clone(),
            // A decision changes nothing here: what counts is that its slot is above that of every one before.
            Some(EntryPayload::Rejoin(_) | EntryPayload::Decision(_)) | None => {}
        }
    }

    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            slot: self.slot,
            configuration: if self.has_configuration {
                self.configuration.body().into_bytes()
            } else {
                Vec::new()
            },
            duties: self.duties.values().cloned().collect(),
            voters: self.voters.clone(),
            applied_changes: self
                .taken
                .iter()
                .map(|(revision, digest)| AppliedChange { revision: *revision, digest: digest.to_vec() })
                .collect(),
            forgotten: self.forgotten,
            deployment: self.deployment,
        }
    }

    /// Whether a snapshot is of another deployment than the entries that are known here.
    pub fn is_foreign(&self, snapshot: &Snapshot) -> bool {
        self.deployment != 0 && snapshot.deployment != self.deployment
    }

    /// # Errors
    /// When it cannot be read.
    pub fn restore(snapshot: &Snapshot) -> Result<Self, String> {
        let taken = |taken: &AppliedChange| {
            let digest = ChangeDigest::try_from(taken.digest.as_slice());
            digest
                .map(|digest| (taken.revision, digest))
                .map_err(|_| "a digest of another length".to_string())
        };
        let mut applied = AppliedState {
            slot: snapshot.slot,
            duties: snapshot.duties.iter().map(|duty| (duty.duty.clone(), duty.clone())).collect(),
            voters: snapshot.voters.clone(),
            taken: snapshot.applied_changes.iter().map(taken).collect::<Result<_, _>>()?,
            forgotten: snapshot.forgotten,
            deployment: snapshot.deployment,
            ..AppliedState::default()
        };
        if !snapshot.configuration.is_empty() {
            let read = Configuration::default().replace(&snapshot.configuration);
            applied.configuration = read.map_err(|refusal| refusal.to_string())?;
            applied.has_configuration = true;
        }
        Ok(applied)
    }
}
