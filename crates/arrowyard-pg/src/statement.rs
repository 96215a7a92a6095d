//! A client's statement with the routing comment at its head.

use std::ops::Range;

use bytes::{BufMut, BytesMut};

use crate::frame::{ProtocolError, put_message};

/// A statement and the fields of its routing comment. The text is forwarded unchanged except for the timeout
/// in `d`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    text: String,
    /// Byte range of the value of `d` in `text`.
    timeout_range: Range<usize>,
    /// Id of the op, as [`Statement::parse_id`] reads it.
    pub id: u64,
    /// How long the client waits for the reply, in milliseconds from sending the statement.
    pub timeout_ms: u32,
    pub op_type: String,
    pub tenant: Option<String>,
    pub group: i64,
    /// The session's last commit, as Unix time in milliseconds; 0 if it has none.
    pub last_commit_ms: Option<i64>,
    /// Whether the client sends the op again.
    pub is_retry: bool,
    /// Idempotency token by which hosts recognize a repeated op.
    pub token: Option<u64>,
    /// First quoted literal after the comment, which identifies the session.
    pub session_key: Option<u64>,
}

impl Statement {
    /// Parses the comment at the head of `text`.
    ///
    /// # Errors
    /// The comment is missing or malformed, or has no `id`, `d` or `c`.
    pub fn parse(text: String) -> Result<Statement, ProtocolError> {
        let start = text.find("/*").filter(|&start| text[..start].trim().is_empty());
        let start = start.ok_or(ProtocolError("the statement has no routing comment"))? + 2;
        let end =
            start + text[start..].find("*/").ok_or(ProtocolError("the routing comment is not terminated"))?;
        let (mut timeout, mut op_type, mut tenant, mut group) = (None, None, None, 0);
        let (mut last_commit_ms, mut is_retry, mut token, mut id) = (None, false, None, None);
        let mut part_start = start;
        for part in text[start..end].split(',') {
            let malformed_number = ProtocolError("a number in the routing comment is malformed");
            let (name, value) =
                part.split_once('=').ok_or(ProtocolError("a field of the routing comment has no value"))?;
            let value_start = part_start + name.len() + 1;
            let (name, trimmed) = (name.trim(), value.trim());
            match name {
                "id" => id = Some(trimmed).filter(|id| !id.is_empty()).map(parse_key),
                "c" => op_type = Some(trimmed.to_string()),
                "t" => tenant = Some(trimmed.to_string()),
                "d" => {
                    let trimmed_start = value_start + (value.len() - value.trim_start().len());
                    timeout = Some((
                        trimmed_start..trimmed_start + trimmed.len(),
                        trimmed.parse().map_err(|_| malformed_number)?,
                    ));
                }
                "cluster" => group = trimmed.parse().map_err(|_| malformed_number)?,
                "after" => last_commit_ms = Some(trimmed.parse().map_err(|_| malformed_number)?),
                "k" => token = Some(trimmed).filter(|token| !token.is_empty()).map(parse_key),
                "r" => is_retry = trimmed == "1",
                _ => {}
            }
            part_start += part.len() + 1;
        }
        let id = id.ok_or(ProtocolError("the routing comment has no `id`"))?;
        let (timeout_range, timeout_ms) = timeout.ok_or(ProtocolError("the routing comment has no `d`"))?;
        let op_type = op_type.ok_or(ProtocolError("the routing comment has no `c`"))?;
        let session_key = text[end..].split('\'').nth(1).map(parse_key);
        Ok(Statement {
            text,
            timeout_range,
            id,
            timeout_ms,
            op_type,
            tenant,
            group,
            last_commit_ms,
            is_retry,
            token,
            session_key,
        })
    }

    /// Numeric form of an op id as written in a comment.
    pub fn parse_id(text: &str) -> u64 {
        parse_key(text)
    }

    /// Length of the text in bytes.
    pub fn text_bytes(&self) -> usize {
        self.text.len()
    }

    /// The text with the timeout replaced by `timeout_ms`.
    pub fn text_with_timeout(&self, timeout_ms: u64) -> String {
        let (prefix, suffix) = (&self.text[..self.timeout_range.start], &self.text[self.timeout_range.end..]);
        format!("{prefix}{timeout_ms}{suffix}")
    }

    /// Writes the statement as a simple query with the timeout replaced by `timeout_ms`.
    pub fn put_query(&self, out: &mut BytesMut, timeout_ms: u64) {
        put_message(out, Some(b'Q'), |out| {
            out.put_slice(&self.text.as_bytes()[..self.timeout_range.start]);
            out.put_slice(timeout_ms.to_string().as_bytes());
            out.put_slice(&self.text.as_bytes()[self.timeout_range.end..]);
            out.put_u8(0);
        });
    }
}

/// Reads a key of 16 hexadecimal digits as a number; hashes any other key with FNV-1a.
fn parse_key(text: &str) -> u64 {
    let digits = Some(text).filter(|text| text.len() == 16);
    digits.and_then(|text| u64::from_str_radix(text, 16).ok()).unwrap_or_else(|| {
        text.bytes()
            .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
    })
}
