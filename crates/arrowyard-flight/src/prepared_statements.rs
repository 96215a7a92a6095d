//! Prepared statements: a handle identifies a statement that this router stores, and contains the bound
//! parameters. Hosts do not know handles, so that these survive the failure of a host.

use std::collections::{BTreeMap, HashMap};

use arrowyard_types::{TimeDelta, Timestamp};
use bytes::{BufMut, Bytes, BytesMut};

use crate::bind::{self, Literal};
use crate::status::CallError;
use crate::ticket::{MacKey, constant_time_eq};

/// The purpose in the message authentication code of a handle; tickets use another one.
const PURPOSE: u8 = 2;
const MAC_BYTES: usize = 16;

#[derive(Debug)]
struct PreparedStatement {
    text: String,
    last_used: Timestamp,
    /// The key in `use_order`.
    use_number: u64,
}

/// The prepared statements of this router.
#[derive(Debug)]
pub struct PreparedStatements {
    key: MacKey,
    max_statements: usize,
    idle_timeout: TimeDelta,
    max_statement_bytes: usize,
    statements: HashMap<u64, PreparedStatement>,
    /// Statement numbers, the least recently used first.
    use_order: BTreeMap<u64, u64>,
    next_statement_number: u64,
    use_count: u64,
}

impl PreparedStatements {
    /// Stores up to `max_statements` statements of up to `max_statement_bytes` each, until they are unused
    /// for `idle_timeout`.
    pub fn new(
        key: MacKey,
        max_statements: usize,
        idle_timeout: TimeDelta,
        max_statement_bytes: usize,
    ) -> Self {
        let (statements, use_order) = Default::default();
        PreparedStatements {
            key,
            max_statements,
            idle_timeout,
            max_statement_bytes,
            statements,
            use_order,
            next_statement_number: 0,
            use_count: 0,
        }
    }

    /// The number of stored statements.
    pub fn count(&self) -> usize {
        self.statements.len()
    }

    /// Prepares a statement and returns its handle and the number of its parameters.
    ///
    /// # Errors
    /// The statement is too long, a parameter number is out of range, or the limit on statements is reached.
    pub fn prepare(&mut self, now: Timestamp, text: &str) -> Result<(Bytes, usize), CallError> {
        if text.len() > self.max_statement_bytes {
            return Err(CallError::TooLarge("the statement"));
        }
        let parameter_count = bind::parameter_count(text)?;
        self.remove_expired(now);
        // At the limit new statements are rejected: evicting one would break a client that still uses it.
        if self.statements.len() >= self.max_statements {
            return Err(CallError::TooMany("prepared statements"));
        }
        let statement_number = self.next_statement_number;
        self.next_statement_number += 1;
        self.statements.insert(
            statement_number,
            PreparedStatement { text: text.to_string(), last_used: now, use_number: 0 },
        );
        self.mark_used(now, statement_number);
        Ok((self.encode_handle(statement_number, &[]), parameter_count))
    }

    /// Binds parameters and returns a handle that contains them.
    ///
    /// # Errors
    /// The statement does not exist, the number of parameters differs, or the statement becomes too long
    /// with them.
    pub fn bind(&mut self, now: Timestamp, handle: &[u8], values: &[Literal]) -> Result<Bytes, CallError> {
        let (statement_number, _) = self.decode_handle(handle)?;
        self.remove_expired(now);
        let statement = self.statements.get(&statement_number).ok_or(CallError::UnknownHandle)?;
        // Only checks the length; the handle carries the values.
        let text = bind::substitute(&statement.text, values)?;
        if text.len() > self.max_statement_bytes {
            return Err(CallError::TooLarge("the statement with its parameters"));
        }
        self.mark_used(now, statement_number);
        Ok(self.encode_handle(statement_number, values))
    }

    /// Returns the statement of a handle with its parameters substituted.
    ///
    /// # Errors
    /// The statement does not exist, or its parameters are not bound.
    pub fn bound_statement(&mut self, now: Timestamp, handle: &[u8]) -> Result<String, CallError> {
        let (statement_number, values) = self.decode_handle(handle)?;
        self.remove_expired(now);
        let statement = self.statements.get(&statement_number).ok_or(CallError::UnknownHandle)?;
        let text = bind::substitute(&statement.text, &values)?;
        self.mark_used(now, statement_number);
        Ok(text)
    }

    /// Closes the statement, which invalidates all its handles. Closing it again succeeds.
    ///
    /// # Errors
    /// The handle was not issued by this router.
    pub fn close(&mut self, handle: &[u8]) -> Result<(), CallError> {
        let (statement_number, _) = self.decode_handle(handle)?;
        if let Some(statement) = self.statements.remove(&statement_number) {
            self.use_order.remove(&statement.use_number);
        }
        Ok(())
    }

    /// Moves the statement to the end of the order of use.
    fn mark_used(&mut self, now: Timestamp, statement_number: u64) {
        self.use_count += 1;
        let Some(statement) = self.statements.get_mut(&statement_number) else { return };
        self.use_order.remove(&statement.use_number);
        (statement.last_used, statement.use_number) = (now, self.use_count);
        self.use_order.insert(self.use_count, statement_number);
    }

    /// Removes statements past the idle timeout.
    fn remove_expired(&mut self, now: Timestamp) {
        while let Some((&use_number, &statement_number)) = self.use_order.first_key_value() {
            if self
                .statements
                .get(&statement_number)
                .is_some_and(|statement| now - statement.last_used < self.idle_timeout)
            {
                return;
            }
            self.use_order.remove(&use_number);
            self.statements.remove(&statement_number);
        }
    }

    fn encode_handle(&self, statement_number: u64, values: &[Literal]) -> Bytes {
        let mut handle = BytesMut::new();
        handle.put_u64(statement_number);
        values.iter().for_each(|value| value.encode(&mut handle));
        let mac = self.key.mac(PURPOSE, &handle);
        handle.put_slice(&mac);
        handle.freeze()
    }

    /// Returns the statement number and the bound parameters of a handle that this router issued.
    fn decode_handle(&self, handle: &[u8]) -> Result<(u64, Vec<Literal>), CallError> {
        if handle.len() < 8 + MAC_BYTES || handle.len() > self.max_statement_bytes * 2 + 64 {
            return Err(CallError::UnknownHandle);
        }
        let (signed, mac) = handle.split_at(handle.len() - MAC_BYTES);
        // Otherwise a client could guess the numbers of other clients' statements, and run or close these.
        if !constant_time_eq(&self.key.mac(PURPOSE, signed), mac) {
            return Err(CallError::UnknownHandle);
        }
        let (statement_number, values) = signed.split_at(8);
        let statement_number = statement_number.try_into().map(u64::from_be_bytes).unwrap_or_default();
        Ok((statement_number, Literal::decode_all(values).ok_or(CallError::UnknownHandle)?))
    }
}
