//! A client's statement: the comment at its head, and what follows it.

use std::ops::Range;

use bytes::{BufMut, BytesMut};

use crate::frame::{ProtocolError, put};

/// A statement with what its comment tells. Its text passes on unchanged, but for the time in `d`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    text: String,
    /// Where the number of `d` stands in the text.
    timeout_range: Range<usize>,
    /// The number of its id.
    pub id: u64,
    /// For so many milliseconds, from when it sent the statement, the client waits.
    pub timeout_ms: u32,
    pub op_type: String,
    pub tenant: Option<String>,
    pub group: i64,
    /// The session's last commit, as Unix time in milliseconds; 0 for none.
    pub last_commit_ms: Option<i64>,
    pub is_retry: bool,
    /// The token by which a repeat is known, if it carries one.
    pub token: Option<u64>,
    /// The quoted key after the comment.
    pub session_key: Option<u64>,
}

impl Statement {
    pub fn parse(text: String) -> Result<Statement, ProtocolError> {
        let start = text.find("/*").filter(|&start| text[..start].trim().is_empty());
        let start = start.ok_or(ProtocolError("a statement has no comment"))? + 2;
        let end = start + text[start..].find("*/").ok_or(ProtocolError("a comment has no end"))?;
        let (mut timeout, mut op_type, mut tenant, mut group) = (None, None, None, 0);
        let (mut last_commit_ms, mut is_retry, mut token, mut id) = (None, false, None, None);
        let mut at = start;
        for part in text[start..end].split(',') {
            let number = ProtocolError("a number of a comment is not one");
            let (name, value) =
                part.split_once('=').ok_or(ProtocolError("a name of a comment has no value"))?;
            let value_at = at + name.len() + 1;
            let (name, trimmed) = (name.trim(), value.trim());
            match name {
                "id" => id = Some(trimmed).filter(|id| !id.is_empty()).map(parse_key),
                "c" => op_type = Some(trimmed.to_string()),
                "t" => tenant = Some(trimmed.to_string()),
                "d" => {
                    let from = value_at + (value.len() - value.trim_start().len());
                    timeout = Some((from..from + trimmed.len(), trimmed.parse().map_err(|_| number)?));
                }
                "cluster" => group = trimmed.parse().map_err(|_| number)?,
                "after" => last_commit_ms = Some(trimmed.parse().map_err(|_| number)?),
                "k" => token = Some(trimmed).filter(|mark| !mark.is_empty()).map(parse_key),
                "r" => is_retry = trimmed == "1",
                _ => {}
            }
            at += part.len() + 1;
        }
        let id = id.ok_or(ProtocolError("a comment has no id"))?;
        let (timeout_range, timeout_ms) = timeout.ok_or(ProtocolError("a comment has no d"))?;
        let op_type = op_type.ok_or(ProtocolError("a comment has no c"))?;
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

    /// The number of an id as a comment writes it.
    pub fn parse_id(text: &str) -> u64 {
        parse_key(text)
    }

    /// The bytes of its text.
    pub fn text_bytes(&self) -> usize {
        self.text.len()
    }

    /// Its text, with the time that the sender will wait.
    pub fn text_with_timeout(&self, timeout_ms: u64) -> String {
        let (before, after) = (&self.text[..self.timeout_range.start], &self.text[self.timeout_range.end..]);
        format!("{before}{timeout_ms}{after}")
    }

    /// Writes it as a query, with the time that the sender will wait.
    pub fn put_query(&self, out: &mut BytesMut, timeout_ms: u64) {
        put(out, Some(b'Q'), |out| {
            out.put_slice(&self.text.as_bytes()[..self.timeout_range.start]);
            out.put_slice(timeout_ms.to_string().as_bytes());
            out.put_slice(&self.text.as_bytes()[self.timeout_range.end..]);
            out.put_u8(0);
        });
    }
}

/// A key of 16 hex digits as its number, any other by its hash (FNV-1a).
fn parse_key(text: &str) -> u64 {
    let digits = Some(text).filter(|text| text.len() == 16);
    digits.and_then(|text| u64::from_str_radix(text, 16).ok()).unwrap_or_else(|| {
        text.bytes()
            .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
    })
}
