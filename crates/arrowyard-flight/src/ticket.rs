//! Tickets: each contains the planned statement with a message authentication code, so that the router stores
//! only redeemed tickets, until they expire.

use std::collections::BTreeSet;
use std::hash::Hasher;

use arrowyard_types::{TimeDelta, Timestamp};
use bytes::{BufMut, Bytes, BytesMut};
use siphasher::sip128::{Hasher128, SipHasher24};

use crate::status::CallError;

/// The format version of a ticket, its first byte.
const FORMAT: u8 = 1;
/// Format version, expiry and number.
const HEADER_BYTES: usize = 1 + 8 + 8;
const MAC_BYTES: usize = 16;

/// The key of message authentication codes, drawn at startup and known to this router only.
#[derive(Clone, Copy, Debug)]
pub struct MacKey(pub u64, pub u64);

impl MacKey {
    /// The message authentication code of the bytes for one purpose.
    pub(crate) fn mac(self, purpose: u8, bytes: &[u8]) -> [u8; MAC_BYTES] {
        let mut hasher = SipHasher24::new_with_keys(self.0, self.1);
        hasher.write_u8(purpose);
        hasher.write(bytes);
        hasher.finish128().as_bytes()
    }
}

/// Compares two codes in a time that does not depend on where they differ.
pub(crate) fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    left.len() == right.len() && left.iter().zip(right).fold(0, |diff, (a, b)| diff | (a ^ b)) == 0
}

/// A redeemed ticket, which can be restored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RedeemedTicket {
    expires: Timestamp,
    number: u64,
}

/// Issues and redeems tickets.
#[derive(Debug)]
pub struct Tickets {
    key: MacKey,
    next_number: u64,
    lifetime: TimeDelta,
    max_redeemed: usize,
    max_statement_bytes: usize,
    redeemed: BTreeSet<RedeemedTicket>,
}

impl Tickets {
    /// Issues tickets that expire after `lifetime`, and stores up to `max_redeemed` redeemed ones.
    pub fn new(key: MacKey, lifetime: TimeDelta, max_redeemed: usize, max_statement_bytes: usize) -> Self {
        Tickets {
            key,
            next_number: 0,
            lifetime,
            max_redeemed,
            max_statement_bytes,
            redeemed: BTreeSet::new(),
        }
    }

    /// Issues a ticket for the statement and returns it with its expiry.
    ///
    /// # Errors
    /// The statement is too long.
    pub fn issue(&mut self, now: Timestamp, text: &str) -> Result<(Bytes, Timestamp), CallError> {
        if text.len() > self.max_statement_bytes {
            return Err(CallError::TooLarge("the statement"));
        }
        let (number, expires) = (self.next_number, now + self.lifetime);
        self.next_number += 1;
        let mut ticket = BytesMut::with_capacity(HEADER_BYTES + text.len() + MAC_BYTES);
        ticket.put_u8(FORMAT);
        ticket.put_i64(expires.micros());
        ticket.put_u64(number);
        ticket.put_slice(text.as_bytes());
        let mac = self.key.mac(FORMAT, &ticket);
        ticket.put_slice(&mac);
        Ok((ticket.freeze(), expires))
    }

    /// Redeems a ticket and returns its statement.
    ///
    /// # Errors
    /// The ticket was not issued by this router, is expired or was redeemed, or the limit on redeemed
    /// tickets is reached.
    pub fn redeem<'a>(
        &mut self,
        now: Timestamp,
        ticket: &'a [u8],
    ) -> Result<(&'a str, RedeemedTicket), CallError> {
        let invalid = CallError::InvalidTicket("the ticket was not issued by this router or was changed");
        if ticket.len() < HEADER_BYTES + MAC_BYTES
            || ticket.len() > HEADER_BYTES + self.max_statement_bytes + MAC_BYTES
        {
            return Err(invalid);
        }
        let (signed, mac) = ticket.split_at(ticket.len() - MAC_BYTES);
        // A forged ticket would run a statement that was not checked at planning. The format version is the
        // purpose of the code, so that a signed handle is not accepted as a ticket.
        if !constant_time_eq(&self.key.mac(FORMAT, signed), mac) {
            return Err(invalid);
        }
        let read_u64 =
            |offset: usize| signed[offset..offset + 8].try_into().map(u64::from_be_bytes).unwrap_or_default();
        let expires = Timestamp::from_micros(read_u64(1) as i64);
        let Ok(text) = std::str::from_utf8(&signed[HEADER_BYTES..]) else { return Err(invalid) };
        if now >= expires {
            return Err(CallError::SpentTicket("the ticket has expired; call GetFlightInfo again"));
        }
        // Expired tickets need no entry, since the check above rejects them.
        self.redeemed = self.redeemed.split_off(&RedeemedTicket { expires: now, number: 0 });
        let redeemed = RedeemedTicket { expires, number: read_u64(9) };
        if self.redeemed.contains(&redeemed) {
            return Err(CallError::SpentTicket("the ticket was already redeemed; call GetFlightInfo again"));
        }
        // At the limit no further ticket is redeemed: without its entry, a ticket could be redeemed twice.
        if self.redeemed.len() >= self.max_redeemed {
            return Err(CallError::TooMany("tickets"));
        }
        self.redeemed.insert(redeemed);
        Ok((text, redeemed))
    }

    /// Makes a redeemed ticket valid again, for an op that did not run.
    pub fn restore(&mut self, ticket: RedeemedTicket) {
        self.redeemed.remove(&ticket);
    }

    /// The number of stored redeemed tickets.
    pub fn redeemed_count(&self) -> usize {
        self.redeemed.len()
    }
}
