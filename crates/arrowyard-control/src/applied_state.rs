//! State machine of the replicated log: configuration, duty holders, voters and recently applied
//! changes.

use std::collections::{BTreeMap, VecDeque};

use arrowyard_config::{Change, ChangeKind, Configuration};
use arrowyard_messages::{AppliedChange, ConfigRevision, Duty, Entry, EntryPayload, Snapshot};
use prost::Message;
use sha2::{Digest as _, Sha256};

/// The duty of replacing primaries.
pub const PROMOTION_DUTY: &str = "promote";

/// Number of applied changes whose digests are kept to recognize retried calls.
pub const MAX_REMEMBERED_CHANGES: usize = 2048;

/// SHA-256 of a complete change.
pub type ChangeDigest = [u8; 32];

/// Status of an operator's change relative to the current configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeStatus {
    /// It has been applied.
    Applied,
    /// It builds on the current configuration.
    Applicable,
    /// It builds on a revision that is not known here yet.
    BaseUnknown,
    /// It was not applied and never will be: another change was applied on top of its base revision.
    Superseded,
    /// Too many changes have been applied since to tell whether this one was.
    HistoryExpired,
}

/// Whether `next` differs from `before` by exactly one voter. Safety: majorities of voter sets that
/// differ by more need not share a machine that has every entry on disk.
fn differs_by_one(before: &[u32], next: &[u32]) -> bool {
    let missing = |from: &[u32], of: &[u32]| from.iter().filter(|ip| !of.contains(ip)).count();
    next.is_sorted_by(|a, b| a < b) && !next.is_empty() && missing(next, before) + missing(before, next) == 1
}

/// State that results from applying all chosen entries.
#[derive(Clone, Debug, Default)]
pub struct AppliedState {
    /// Last applied slot.
    pub slot: u64,
    pub configuration: Configuration,
    /// Whether a configuration has been applied.
    pub has_configuration: bool,
    pub duties: BTreeMap<String, Duty>,
    pub voters: Vec<u32>,
    applied_changes: VecDeque<(u64, ChangeDigest)>,
    /// Newest revision whose digest has been discarded.
    discarded_through: u64,
    /// Digest of the first entry, which identifies the deployment; 0 before there is one.
    deployment: u64,
}

/// Identifies a change by its kind, base revision and body, so that two different changes with the same
/// revision number are told apart.
pub fn change_digest(revised: &ConfigRevision) -> ChangeDigest {
    let mut hash = Sha256::new();
    hash.update([u8::from(revised.whole)]);
    hash.update(revised.base.to_le_bytes());
    hash.update(&revised.body);
    hash.finalize().into()
}

/// Identifies a deployment by its first entry. That entry assigns the duty and contains the random
/// incarnation of its holder: operators' changes are accepted only by a duty holder with a complete
/// voter set.
fn deployment(first: &Entry) -> u64 {
    let digest: ChangeDigest = Sha256::digest(first.encode_to_vec()).into();
    let (head, _) = digest.split_first_chunk::<8>().expect("a SHA-256 digest has 32 bytes");
    u64::from_le_bytes(*head) | 1
}

/// Converts a log entry to the change of the configuration that it describes.
pub fn to_change(revised: &ConfigRevision) -> Change {
    let kind = if revised.whole { ChangeKind::Replace } else { ChangeKind::Adjust };
    Change { kind, base: revised.base, body: revised.body.clone() }
}

impl AppliedState {
    /// Digest of the change that produced `revision`, if it is remembered.
    pub fn applied_change(&self, revision: u64) -> Option<ChangeDigest> {
        self.applied_changes.iter().find(|(applied, _)| *applied == revision).map(|(_, digest)| *digest)
    }

    /// Status of a change that is to produce `revision`. Invariant: revisions only increase and every
    /// change up to the current one is known, so a change with an older base that was not applied never
    /// will be.
    pub fn change_status(&self, revised: &ConfigRevision, revision: Option<u64>) -> ChangeStatus {
        let applied = revision.and_then(|revision| self.applied_change(revision));
        let current = self.configuration.revision;
        if applied.is_some_and(|applied| applied == change_digest(revised)) {
            ChangeStatus::Applied
        } else if revised.base > current {
            ChangeStatus::BaseUnknown
        } else if revised.base == current {
            ChangeStatus::Applicable
        } else if revision.is_some_and(|revision| revision <= self.discarded_through) {
            ChangeStatus::HistoryExpired
        } else {
            ChangeStatus::Superseded
        }
    }

    fn record_change(&mut self, revised: &ConfigRevision) {
        self.applied_changes.push_back((self.configuration.revision, change_digest(revised)));
        while self.applied_changes.len() > MAX_REMEMBERED_CHANGES {
            let oldest = self.applied_changes.pop_front();
            self.discarded_through = oldest.map_or(self.discarded_through, |(revision, _)| revision);
        }
    }

    /// Whether the precondition of an entry holds.
    pub fn is_applicable(&self, entry: &Entry) -> bool {
        match &entry.payload {
            Some(EntryPayload::Configuration(revised)) => revised.base == self.configuration.revision,
            Some(EntryPayload::Duty(duty)) => duty.fence == self.duty_fence(&duty.duty),
            Some(EntryPayload::Voters(next)) => {
                next.before == self.voters && differs_by_one(&self.voters, &next.voters)
            }
            Some(EntryPayload::Decision(decision)) => self.duties.get(PROMOTION_DUTY).is_some_and(|duty| {
                (duty.holder, duty.incarnation, duty.fence)
                    == (decision.holder, decision.incarnation, decision.duty_fence)
            }),
            _ => true,
        }
    }

    /// Fencing token of a duty; 0 before it had a holder.
    pub fn duty_fence(&self, duty: &str) -> u64 {
        self.duties.get(duty).map_or(0, |duty| duty.fence)
    }

    /// Applies the entry of the next slot. Deterministic: every machine reaches the same state from the
    /// same entries.
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
                    self.record_change(revised);
                }
            }
            Some(EntryPayload::Duty(duty)) => {
                // The slot serves as the fencing token: it increases with every change of holder and is
                // never reused.
                let duty = Duty { fence: self.slot, ..duty.clone() };
                self.duties.insert(duty.duty.clone(), duty);
            }
            Some(EntryPayload::Voters(voters)) => self.voters = voters.voters.clone(),
            // A decision changes no state; its slot serves as a fencing token above those of all earlier
            // decisions.
            Some(EntryPayload::Rejoin(_) | EntryPayload::Decision(_)) | None => {}
        }
    }

    /// Encodes the state as a snapshot.
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
                .applied_changes
                .iter()
                .map(|(revision, digest)| AppliedChange { revision: *revision, digest: digest.to_vec() })
                .collect(),
            forgotten: self.discarded_through,
            deployment: self.deployment,
        }
    }

    /// Whether a snapshot belongs to another deployment than the entries known here.
    pub fn is_foreign(&self, snapshot: &Snapshot) -> bool {
        self.deployment != 0 && snapshot.deployment != self.deployment
    }

    /// Restores the state from a snapshot.
    ///
    /// # Errors
    /// When the snapshot cannot be decoded.
    pub fn restore(snapshot: &Snapshot) -> Result<Self, String> {
        let decode = |change: &AppliedChange| {
            let digest = ChangeDigest::try_from(change.digest.as_slice());
            digest
                .map(|digest| (change.revision, digest))
                .map_err(|_| "a change digest has the wrong length".to_string())
        };
        let mut applied = AppliedState {
            slot: snapshot.slot,
            duties: snapshot.duties.iter().map(|duty| (duty.duty.clone(), duty.clone())).collect(),
            voters: snapshot.voters.clone(),
            applied_changes: snapshot.applied_changes.iter().map(decode).collect::<Result<_, _>>()?,
            discarded_through: snapshot.forgotten,
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
