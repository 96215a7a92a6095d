//! Whole views are compared by digests, and only the parts that differ are sent, some rows at a time: on joining, from
//! time to time, and when a cut may have healed.

use std::net::SocketAddr;

use arrowyard_types::Timestamp;
use prost::Message;

use crate::fleet::Fleet;
use crate::member::{Member, Slot};
use crate::message::{CHECK, Datagram, Kind, PARTS};
use crate::table::{weight, weight_of};

/// Pages that one comparison brings at most.
const PAGES: usize = 3;

impl Fleet {
    pub(crate) fn send_digest(&mut self, now: Timestamp, slot: Slot, echo: bool) {
        if !self.exchanges.take(now) {
            return;
        }
        let digest = self.table.digest().to_vec();
        let mut datagram = Datagram { digest, echo, ..self.head(now, Kind::Digest) };
        self.fill(&mut datagram, None);
        self.post(slot, datagram);
    }

    /// A digest came: what differs is sent, and asked for.
    pub(crate) fn compare(&mut self, now: Timestamp, from: SocketAddr, told: &Datagram) {
        if told.digest.len() != PARTS {
            return;
        }
        // Neither digest covers its own router, so that theirs lacks them and mine lacks me.
        let theirs = self.table.of(&told.from).map(weight).unwrap_or_default();
        let mine = weight_of(&self.me.name, self.me.life);
        let differ: Vec<usize> = (0..PARTS)
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
        self.next_exchange = self.next_exchange.min(now + self.terms.period);
        self.send_pages(now, from, &differ);
        if told.echo && self.exchanges.take(now) {
            let digest = self.table.digest().to_vec();
            let datagram = Datagram { digest, echo: false, ..self.head(now, Kind::Digest) };
            self.emit(from, &datagram);
        }
    }

    /// Rows of these parts, from a drawn one on.
    fn send_pages(&mut self, now: Timestamp, to: SocketAddr, parts: &[usize]) {
        let mut rows: Vec<Slot> =
            parts.iter().flat_map(|&part| self.table.in_part(part).map(|(slot, _)| slot)).collect();
        let count = rows.len();
        if count > 0 {
            rows.rotate_left(self.rng.usize(..count));
        }
        let mut rows = rows.into_iter().peekable();
        for _ in 0..PAGES {
            if rows.peek().is_none() || !self.exchanges.take(now) {
                return;
            }
            let mut page = self.head(now, Kind::Page);
            let mut room = self.terms.datagram - page.encoded_len() - CHECK;
            while let Some(rumor) = rows.peek().and_then(|&slot| self.table.get(slot)).map(Member::rumor) {
                let length = rumor.encoded_len() + 3;
                if length > room {
                    break;
                }
                room -= length;
                page.rumors.push(rumor);
                rows.next();
            }
            self.emit(to, &page);
        }
    }

    /// Rows came, and were taken as rumors are. One that is new here brings the next comparison at once, as far as the
    /// bucket goes, so that who joins need not wait for many rounds.
    pub(crate) fn paged(&mut self, now: Timestamp, _from: SocketAddr, told: &Datagram) {
        let new = told.rumors.iter().any(|rumor| self.table.slot(&rumor.name).is_none());
        if new && let Some(slot) = self.table.slot(&told.from) {
            self.next_exchange = self.next_exchange.min(now + self.terms.period);
            if self.candidates.len() < self.terms.candidates / 2 {
                self.send_digest(now, slot, false);
            }
        }
    }
}
