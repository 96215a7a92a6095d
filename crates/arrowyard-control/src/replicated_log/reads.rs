//! Linearizable reads: a majority of voters reports the highest slot in which it knows a chosen or
//! accepted entry.

use super::*;

impl ReplicatedLog {
    pub(super) fn handle_probed(&mut self, now: Timestamp, from: u32, probed: Probed, out: &mut Vec<Output>) {
        if probed.chosen > self.applied.slot {
            self.fetch_from(now, from, out);
        }
        let ahead = probed.chosen.max(probed.accepted);
        for pending in &mut self.pending {
            if let Proposal::Read { responded, slot } = &mut pending.proposal
                && pending.id.0 == probed.ticket
                && probed.votes
            {
                responded.insert(from);
                *slot = ahead.max(*slot);
            }
        }
        self.resolve_reads(None, out);
        self.begin_round(now, out);
    }

    /// Resolves reads that have a majority of responses and whose reported slots are all known. A slot that
    /// a round found free holds no entry acknowledged before the read.
    pub(super) fn resolve_reads(&mut self, free: Option<u64>, out: &mut Vec<Output>) {
        let known = self.applied.slot;
        let pending = std::mem::take(&mut self.pending);
        for pending in pending {
            match &pending.proposal {
                Proposal::Read { responded, slot }
                    if self.is_majority(responded) && (*slot <= known || Some(*slot) == free) =>
                {
                    out.push(Output::Resolved { proposal: pending.id, outcome: ProposalOutcome::Current });
                }
                _ => self.pending.push_back(pending),
            }
        }
    }
}
