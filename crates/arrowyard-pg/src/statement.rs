//! A client's statement, which starts with a routing comment.

use std::ops::Range;

use bytes::{BufMut, BytesMut};

use crate::frame::{ProtocolError, put_message};

/// A statement and the fields of its routing comment, such as `/* id=1,c=look,d=400 */`. The text is
/// forwarded unchanged except for the timeout in `d`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    text: String,
    /// Byte range of the value of `d` in `text`.
    timeout_range: Range<usize>,
    /// The id of the op, see [`Statement::parse_id`].
    pub id: u64,
    /// The timeout of the client in milliseconds since it sent the statement, from `d`.
    pub timeout_ms: u32,
    /// The name of the op type, from `c`.
    pub op_type: String,
    /// The name of the tenant, from `t`.
    pub tenant: Option<String>,
    /// The group whose hosts serve the op, from `cluster`; 0 if it is missing.
    pub group: i64,
    /// The session's last commit as Unix time in milliseconds, from `after`; 0 if it has none.
    pub last_commit_ms: Option<i64>,
    /// Whether the client retries the op, from `r`.
    pub is_retry: bool,
    /// The idempotency token by which hosts recognize a repeated op, from `k`.
    pub token: Option<u64>,
    /// The key of the first quoted literal after the comment, which identifies the session.
    pub session_key: Option<u64>,
}

impl Statement {
    /// Parses the comment at the head of `text`.
    ///
    /// # Errors
    /// The comment is missing or malformed, or has no `id`, `d` or `c`.
    pub fn parse(text: String) -> Result<Statement, ProtocolError> {
        let comment_start = text.find("/*").filter(|&start| text[..start].trim().is_empty());
        let comment_start = comment_start.ok_or(ProtocolError("the statement has no routing comment"))? + 2;
        let comment_end = comment_start
            + text[comment_start..]
                .find("*/")
                .ok_or(ProtocolError("the routing comment is not terminated"))?;
        let (mut timeout, mut op_type, mut tenant, mut group) = (None, None, None, 0);
        let (mut last_commit_ms, mut is_retry, mut token, mut id) = (None, false, None, None);
        let mut field_start = comment_start;
        for field in text[comment_start..comment_end].split(',') {
            let malformed_number = ProtocolError("a field of the routing comment is not a valid number");
            let (name, value) =
                field.split_once('=').ok_or(ProtocolError("a field of the routing comment has no value"))?;
            let value_start = field_start + name.len() + 1;
            let (name, trimmed_value) = (name.trim(), value.trim());
            match name {
                "id" => id = Some(trimmed_value).filter(|id| !id.is_empty()).map(parse_key),
                "c" => op_type = Some(trimmed_value.to_string()),
                "t" => tenant = Some(trimmed_value.to_string()),
                "d" => {
                    let trimmed_start = value_start + (value.len() - value.trim_start().len());
                    timeout = Some((
                        trimmed_start..trimmed_start + trimmed_value.len(),
                        trimmed_value.parse().map_err(|_| malformed_number)?,
                    ));
                }
                "cluster" => group = trimmed_value.parse().map_err(|_| malformed_number)?,
                "after" => last_commit_ms = Some(trimmed_value.parse().map_err(|_| malformed_number)?),
                "k" => token = Some(trimmed_value).filter(|token| !token.is_empty()).map(parse_key),
                "r" => is_retry = trimmed_value == "1",
                _ => {}
            }
            field_start += field.len() + 1;
        }
        let id = id.ok_or(ProtocolError("the routing comment has no id"))?;
        let (timeout_range, timeout_ms) =
            timeout.ok_or(ProtocolError("the routing comment has no timeout d"))?;
        let op_type = op_type.ok_or(ProtocolError("the routing comment has no op type c"))?;
        let session_key = text[comment_end..].split('\'').nth(1).map(parse_key);
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

    /// The numeric form of an op id in a routing comment.
    pub fn parse_id(text: &str) -> u64 {
        parse_key(text)
    }

    /// The length of the text in bytes.
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
    let hex_digits = Some(text).filter(|text| text.len() == 16);
    hex_digits.and_then(|digits| u64::from_str_radix(digits, 16).ok()).unwrap_or_else(|| {
        text.bytes()
            .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
    })
}
