//! Whole views are compared by digests, and only the parts that differ are sent, some rows at a time: on joining, from
//! time to time, and when a cut may have healed.

use std::net::SocketAddr;

use arrowyard_types::Timestamp;
use prost::Message;

use crate::member::{Member, Slot};
use crate::membership::Membership;
use crate::message::{CHECKSUM_BYTES, DIGEST_PARTS, Datagram, Kind};
use crate::table::{digest_contribution, member_digest};

/// Pages that one comparison brings at most.
const MAX_PAGES: usize = 3;

impl Membership {
    pub(crate) fn send_digest(&mut self, now: Timestamp, slot: Slot, echo: bool) {
        if !self.exchange_bucket.take(now) {
            return;
        }
        let digest = self.table.digest().to_vec();
        let mut datagram = Datagram { digest, wants_reply: echo, ..self.new_datagram(now, Kind::Digest) };
        self.piggyback_rumors(&mut datagram, None);
        self.send_to_member(slot, datagram);
    }

    /// A digest came: what differs is sent, and asked for.
    pub(crate) fn compare_digest(&mut self, now: Timestamp, from: SocketAddr, told: &Datagram) {
        if told.digest.len() != DIGEST_PARTS {
            return;
        }
        // Neither digest covers its own router, so that theirs lacks them and mine lacks me.
        let theirs = self.table.by_name(&told.from).map(member_digest).unwrap_or_default();
        let mine = digest_contribution(&self.local.name, self.local.incarnation);
        let differ: Vec<usize> = (0..DIGEST_PARTS)
            .filter(|&part| {
                let own = self.table.digest()[part] ^ if mine.0 == part { mine.1 } else { 0 };
                let their = told.digest[part] ^ if theirs.0 == part { theirs.1 } else { 0 };
                own != their
            })
            .collect();
        if differ.is_empty() {
            return;
        }
        // While views differ they are compared each period: after a start of many the last few rows are learnt so.
        self.next_exchange = self.next_exchange.min(now + self.config.probe_interval);
        self.send_pages(now, from, &differ);
        if told.wants_reply && self.exchange_bucket.take(now) {
            let digest = self.table.digest().to_vec();
            let datagram = Datagram { digest, wants_reply: false, ..self.new_datagram(now, Kind::Digest) };
            self.send(from, &datagram);
        }
    }

    /// Rows of these parts, from a drawn one on.
    fn send_pages(&mut self, now: Timestamp, to: SocketAddr, parts: &[usize]) {
        let mut rows: Vec<Slot> =
            parts.iter().flat_map(|&part| self.table.members_in_part(part).map(|(slot, _)| slot)).collect();
        let count = rows.len();
        if count > 0 {
            rows.rotate_left(self.rng.usize(..count));
        }
        let mut rows = rows.into_iter().peekable();
        for _ in 0..MAX_PAGES {
            if rows.peek().is_none() || !self.exchange_bucket.take(now) {
                return;
            }
            let mut page = self.new_datagram(now, Kind::Page);
            let mut room = self.config.max_datagram_bytes - page.encoded_len() - CHECKSUM_BYTES;
            while let Some(rumor) = rows.peek().and_then(|&slot| self.table.get(slot)).map(Member::rumor) {
                let length = rumor.encoded_len() + 3;
                if length > room {
                    break;
                }
                room -= length;
                page.rumors.push(rumor);
                rows.next();
            }
            self.send(to, &page);
        }
    }

    /// Rows came, and were taken as rumors are. One that is new here brings the next comparison at once, as far as the
    /// bucket goes, so that who joins need not wait for many rounds.
    pub(crate) fn handle_page(&mut self, now: Timestamp, _from: SocketAddr, told: &Datagram) {
        let new = told.rumors.iter().any(|rumor| self.table.slot(&rumor.name).is_none());
        if new && let Some(slot) = self.table.slot(&told.from) {
            self.next_exchange = self.next_exchange.min(now + self.config.probe_interval);
            if self.candidates.len() < self.config.max_candidates / 2 {
                self.send_digest(now, slot, false);
            }
        }
    }
}
