//! Anti-entropy: members compare digests of their whole views and send the partitions that differ, a few
//! rows at a time. It runs on joining, periodically, and when a partition may have healed.

use std::net::SocketAddr;

use arrowyard_types::Timestamp;
use prost::Message;

use crate::member::{Member, MemberIndex};
use crate::membership::Membership;
use crate::message::{CHECKSUM_BYTES, DIGEST_PARTS, Datagram, Kind};
use crate::table::{digest_contribution, member_digest};

/// Maximum number of pages sent per comparison.
const MAX_PAGES: usize = 3;

impl Membership {
    pub(crate) fn send_digest(&mut self, now: Timestamp, member_index: MemberIndex, wants_reply: bool) {
        if !self.anti_entropy_bucket.take(now) {
            return;
        }
        let digest = self.table.digest().to_vec();
        let mut datagram = Datagram { digest, wants_reply, ..self.new_datagram(now, Kind::Digest) };
        self.piggyback_rumors(&mut datagram, None);
        self.send_to_member(member_index, datagram);
    }

    /// Compares a received digest; sends the rows that differ and, if requested, the own digest.
    pub(crate) fn compare_digest(&mut self, now: Timestamp, from: SocketAddr, datagram: &Datagram) {
        if datagram.digest.len() != DIGEST_PARTS {
            return;
        }
        // A view does not contain its own router, so that each digest lacks its sender.
        let sender = self.table.by_name(&datagram.from).map(member_digest).unwrap_or_default();
        let local = digest_contribution(&self.local.name, self.local.incarnation);
        let differing: Vec<usize> = (0..DIGEST_PARTS)
            .filter(|&part| {
                let own_digest = self.table.digest()[part] ^ if local.0 == part { local.1 } else { 0 };
                let sender_digest = datagram.digest[part] ^ if sender.0 == part { sender.1 } else { 0 };
                own_digest != sender_digest
            })
            .collect();
        if differing.is_empty() {
            return;
        }
        // While views differ, they are compared every period.
        self.next_anti_entropy = self.next_anti_entropy.min(now + self.config.probe_interval);
        self.send_pages(now, from, &differing);
        if datagram.wants_reply && self.anti_entropy_bucket.take(now) {
            let digest = self.table.digest().to_vec();
            let datagram = Datagram { digest, wants_reply: false, ..self.new_datagram(now, Kind::Digest) };
            self.send(from, &datagram);
        }
    }

    /// Sends rows of these partitions, starting at a random one.
    fn send_pages(&mut self, now: Timestamp, to: SocketAddr, differing_parts: &[usize]) {
        let mut rows: Vec<MemberIndex> = differing_parts
            .iter()
            .flat_map(|&part| self.table.members_in_part(part).map(|(member_index, _)| member_index))
            .collect();
        let count = rows.len();
        if count > 0 {
            rows.rotate_left(self.rng.usize(..count));
        }
        let mut rows = rows.into_iter().peekable();
        for _ in 0..MAX_PAGES {
            if rows.peek().is_none() || !self.anti_entropy_bucket.take(now) {
                return;
            }
            let mut page = self.new_datagram(now, Kind::Page);
            let mut remaining_bytes = self.config.max_datagram_bytes - page.encoded_len() - CHECKSUM_BYTES;
            while let Some(rumor) =
                rows.peek().and_then(|&member_index| self.table.get(member_index)).map(Member::rumor)
            {
                let length = rumor.encoded_len() + 3;
                if length > remaining_bytes {
                    break;
                }
                remaining_bytes -= length;
                page.rumors.push(rumor);
                rows.next();
            }
            self.send(to, &page);
        }
    }

    /// Handles a page whose rows were processed as rumors. If it named an unknown member, the next
    /// comparison follows at once within the rate limit, so that joining takes few rounds.
    pub(crate) fn handle_page(&mut self, now: Timestamp, _from: SocketAddr, datagram: &Datagram) {
        let names_unknown = datagram.rumors.iter().any(|rumor| self.table.index_of(&rumor.name).is_none());
        if names_unknown && let Some(member_index) = self.table.index_of(&datagram.from) {
            self.next_anti_entropy = self.next_anti_entropy.min(now + self.config.probe_interval);
            if self.candidates.len() < self.config.max_candidates / 2 {
                self.send_digest(now, member_index, false);
            }
        }
    }
}
