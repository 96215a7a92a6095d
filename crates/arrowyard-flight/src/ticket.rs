//! Tickets: all that a plan has to say, sealed, so that the router keeps nothing for plans that nobody comes back to.
//! What is kept is which tickets were redeemed, till they would have expired anyway.

use std::collections::BTreeSet;
use std::hash::Hasher;

use arrowyard_types::{TimeDelta, Timestamp};
use bytes::{BufMut, Bytes, BytesMut};
use siphasher::sip128::{Hasher128, SipHasher24};

use crate::status::Fault;

/// The form of a ticket, its first byte.
const FORM: u8 = 1;
/// Form, expiry, number.
const HEAD: usize = 1 + 8 + 8;
const SEAL: usize = 16;

/// What checks a seal: known to this router alone, and new with each start.
#[derive(Clone, Copy, Debug)]
pub struct Key(pub u64, pub u64);

impl Key {
    /// A check value of the bytes for one purpose.
    pub(crate) fn seal(self, purpose: u8, bytes: &[u8]) -> [u8; SEAL] {
        let mut hasher = SipHasher24::new_with_keys(self.0, self.1);
        hasher.write_u8(purpose);
        hasher.write(bytes);
        hasher.finish128().as_bytes()
    }
}

/// Whether two seals are one, in a time that tells nothing of where they differ.
pub(crate) fn same(one: &[u8], other: &[u8]) -> bool {
    one.len() == other.len() && one.iter().zip(other).fold(0, |sum, (a, b)| sum | (a ^ b)) == 0
}

/// A ticket that was redeemed, so that it may be given back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stub {
    expires: Timestamp,
    number: u64,
}

/// What is sealed and what was redeemed.
#[derive(Debug)]
pub struct Tickets {
    key: Key,
    next: u64,
    /// How long a ticket holds.
    span: TimeDelta,
    /// Redeemed ones that are remembered at most, and bytes of a statement at most.
    most: usize,
    longest: usize,
    redeemed: BTreeSet<Stub>,
}

impl Tickets {
    pub fn new(key: Key, span: TimeDelta, most: usize, longest: usize) -> Self {
        Tickets { key, next: 0, span, most, longest, redeemed: BTreeSet::new() }
    }

    /// A ticket for the statement.
    ///
    /// # Errors
    /// The statement is longer than any that is taken.
    pub fn plan(&mut self, now: Timestamp, text: &str) -> Result<(Bytes, Timestamp), Fault> {
        if text.len() > self.longest {
            return Err(Fault::TooLarge("the statement"));
        }
        let (number, expires) = (self.next, now + self.span);
        self.next += 1;
        let mut ticket = BytesMut::with_capacity(HEAD + text.len() + SEAL);
        ticket.put_u8(FORM);
        ticket.put_i64(expires.micros());
        ticket.put_u64(number);
        ticket.put_slice(text.as_bytes());
        let seal = self.key.seal(FORM, &ticket);
        ticket.put_slice(&seal);
        Ok((ticket.freeze(), expires))
    }

    /// The statement of a ticket, which is redeemed by that.
    ///
    /// # Errors
    /// It is none of this router's, is too old, or was redeemed; or more are remembered than there is room for.
    pub fn redeem<'a>(&mut self, now: Timestamp, ticket: &'a [u8]) -> Result<(&'a str, Stub), Fault> {
        let foreign = Fault::Ticket("not a ticket of this router, or spoilt on its way");
        if ticket.len() < HEAD + SEAL || ticket.len() > HEAD + self.longest + SEAL {
            return Err(foreign);
        }
        let (sealed, seal) = ticket.split_at(ticket.len() - SEAL);
        // Danger: whoever makes up a ticket has a statement run past what planning checks. The seal is made for the
        // form and over it, so that a ticket of another form, or another thing that was sealed, is none.
        if !same(&self.key.seal(FORM, sealed), seal) {
            return Err(foreign);
        }
        let word = |at: usize| sealed[at..at + 8].try_into().map(u64::from_be_bytes).unwrap_or_default();
        let expires = Timestamp::from_micros(word(1) as i64);
        let Ok(text) = std::str::from_utf8(&sealed[HEAD..]) else { return Err(foreign) };
        if now >= expires {
            return Err(Fault::Spent("the ticket has expired; plan again"));
        }
        // What has expired is told by its time.
        self.redeemed = self.redeemed.split_off(&Stub { expires: now, number: 0 });
        let stub = Stub { expires, number: word(9) };
        if self.redeemed.contains(&stub) {
            return Err(Fault::Spent("the ticket was redeemed before; plan again"));
        }
        // Danger: without the memory of it, a ticket runs as often as it comes. None is forgotten early; while there
        // is no room, none is redeemed.
        if self.redeemed.len() >= self.most {
            return Err(Fault::TooMany("tickets"));
        }
        self.redeemed.insert(stub);
        Ok((text, stub))
    }

    /// Nothing ran of what the ticket was redeemed for: it may come again.
    pub fn give_back(&mut self, stub: Stub) {
        self.redeemed.remove(&stub);
    }

    pub fn remembered(&self) -> usize {
        self.redeemed.len()
    }
}
