//! Prepared statements: a handle names a statement that this router keeps, and with parameters bound it carries them
//! itself. No host hears of either, so that nothing is lost or carried over when a host fails.

use std::collections::{BTreeMap, HashMap};

use arrowyard_types::{TimeDelta, Timestamp};
use bytes::{BufMut, Bytes, BytesMut};

use crate::bind::{self, Literal};
use crate::status::Fault;
use crate::ticket::{Key, same};

/// The purpose for which a handle is sealed.
const PURPOSE: u8 = 2;
const SEAL: usize = 16;

#[derive(Debug)]
struct Row {
    text: String,
    used: Timestamp,
    /// Its place in the order of use.
    turn: u64,
}

#[derive(Debug)]
pub struct Handles {
    key: Key,
    most: usize,
    idle: TimeDelta,
    longest: usize,
    rows: HashMap<u64, Row>,
    /// The longest unused first.
    order: BTreeMap<u64, u64>,
    next: u64,
    turn: u64,
}

impl Handles {
    /// `most` are kept, each till it was not used for `idle`; a statement has `longest` bytes at most.
    pub fn new(key: Key, most: usize, idle: TimeDelta, longest: usize) -> Self {
        let (rows, order) = Default::default();
        Handles { key, most, idle, longest, rows, order, next: 0, turn: 0 }
    }

    pub fn kept(&self) -> usize {
        self.rows.len()
    }

    /// A handle for the statement, and how many parameters it has.
    ///
    /// # Errors
    /// It is too long, its parameters make no sense, or all handles are in use.
    pub fn prepare(&mut self, now: Timestamp, text: &str) -> Result<(Bytes, usize), Fault> {
        if text.len() > self.longest {
            return Err(Fault::TooLarge("the statement"));
        }
        let parameters = bind::count(text)?;
        self.sweep(now);
        // Danger: clients that prepare and never close take the handles of others. One that was used lately is not
        // torn from its client for them.
        if self.rows.len() >= self.most {
            return Err(Fault::TooMany("prepared statements"));
        }
        let number = self.next;
        self.next += 1;
        self.rows.insert(number, Row { text: text.to_string(), used: now, turn: 0 });
        self.touch(now, number);
        Ok((self.handle(number, &[]), parameters))
    }

    /// The handle with these parameters.
    ///
    /// # Errors
    /// There is no such statement, they are not as many as it has, or take more bytes than a statement may.
    pub fn bind(&mut self, now: Timestamp, handle: &[u8], values: &[Literal]) -> Result<Bytes, Fault> {
        let (number, _) = self.read(handle)?;
        self.sweep(now);
        let row = self.rows.get(&number).ok_or(Fault::Handle)?;
        // Put in once to see whether it fits, and kept as values: the statement stays one.
        let whole = bind::put(&row.text, values)?;
        if whole.len() > self.longest {
            return Err(Fault::TooLarge("the statement with its parameters"));
        }
        self.touch(now, number);
        Ok(self.handle(number, values))
    }

    /// The statement of a handle, with its parameters in their places.
    ///
    /// # Errors
    /// There is no such statement, or its parameters were not bound.
    pub fn statement(&mut self, now: Timestamp, handle: &[u8]) -> Result<String, Fault> {
        let (number, values) = self.read(handle)?;
        self.sweep(now);
        let row = self.rows.get(&number).ok_or(Fault::Handle)?;
        let whole = bind::put(&row.text, &values)?;
        self.touch(now, number);
        Ok(whole)
    }

    /// Closes the statement with all that was bound to it.
    ///
    /// # Errors
    /// The handle is none of this router's. One that was closed before is closed.
    pub fn close(&mut self, handle: &[u8]) -> Result<(), Fault> {
        let (number, _) = self.read(handle)?;
        if let Some(row) = self.rows.remove(&number) {
            self.order.remove(&row.turn);
        }
        Ok(())
    }

    fn touch(&mut self, now: Timestamp, number: u64) {
        self.turn += 1;
        let Some(row) = self.rows.get_mut(&number) else { return };
        self.order.remove(&row.turn);
        (row.used, row.turn) = (now, self.turn);
        self.order.insert(self.turn, number);
    }

    /// Forgets what was not used for too long.
    fn sweep(&mut self, now: Timestamp) {
        while let Some((&turn, &number)) = self.order.first_key_value() {
            if self.rows.get(&number).is_some_and(|row| now - row.used < self.idle) {
                return;
            }
            self.order.remove(&turn);
            self.rows.remove(&number);
        }
    }

    fn handle(&self, number: u64, values: &[Literal]) -> Bytes {
        let mut handle = BytesMut::new();
        handle.put_u64(number);
        values.iter().for_each(|value| value.pack(&mut handle));
        let seal = self.key.seal(PURPOSE, &handle);
        handle.put_slice(&seal);
        handle.freeze()
    }

    fn read(&self, handle: &[u8]) -> Result<(u64, Vec<Literal>), Fault> {
        if handle.len() < 8 + SEAL || handle.len() > self.longest * 2 + 64 {
            return Err(Fault::Handle);
        }
        let (sealed, seal) = handle.split_at(handle.len() - SEAL);
        // Danger: a client that guesses numbers runs, or closes, the statements of others.
        if !same(&self.key.seal(PURPOSE, sealed), seal) {
            return Err(Fault::Handle);
        }
        let (number, packed) = sealed.split_at(8);
        let number = number.try_into().map(u64::from_be_bytes).unwrap_or_default();
        Ok((number, Literal::unpack_all(packed).ok_or(Fault::Handle)?))
    }
}
