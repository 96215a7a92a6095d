//! Reads of all that was acknowledged: a majority is asked how far it knows of entries, chosen or accepted.

use super::*;

impl ReplicatedLog {
    pub(super) fn probed(&mut self, now: Timestamp, from: u32, probed: Probed, out: &mut Vec<Output>) {
        if probed.chosen > self.applied.slot {
            self.ask_for_more(now, from, out);
        }
        let ahead = probed.chosen.max(probed.accepted);
        for waiting in &mut self.waiting {
            if let Proposal::Read { heard, slot } = &mut waiting.proposal
                && waiting.ticket.0 == probed.ticket
                && probed.votes
            {
                heard.insert(from);
                *slot = ahead.max(*slot);
            }
        }
        self.settle_reads(None, out);
        self.begin(now, out);
    }

    /// Answers the reads that a majority spoke to, once every slot is known that one of it knew of. A slot that a
    /// round of ballots found free holds nothing that was acknowledged before.
    pub(super) fn settle_reads(&mut self, free: Option<u64>, out: &mut Vec<Output>) {
        let known = self.applied.slot;
        let waiting = std::mem::take(&mut self.waiting);
        for waiting in waiting {
            match &waiting.proposal {
                Proposal::Read { heard, slot }
                    if self.is_majority(heard) && (*slot <= known || Some(*slot) == free) =>
                {
                    out.push(Output::Resolved {
                        proposal: waiting.ticket,
                        outcome: ProposalOutcome::Current,
                    });
                }
                _ => self.waiting.push_back(waiting),
            }
        }
    }
}
