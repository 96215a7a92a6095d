//! The fields of a call's op, from the routing comment of its statement and from gRPC metadata. Both are
//! merged into one routing comment, which hosts of either protocol understand.

use arrowyard_pg::Statement;

use crate::status::CallError;

/// Metadata keys, each with the name of the same field in a routing comment.
pub const METADATA_KEYS: [(&str, &str); 8] = [
    ("arrowyard-id", "id"),
    ("arrowyard-op-type", "c"),
    ("arrowyard-tenant", "t"),
    ("arrowyard-timeout-ms", "d"),
    ("arrowyard-token", "k"),
    ("arrowyard-group", "cluster"),
    ("arrowyard-after", "after"),
    ("arrowyard-again", "r"),
];

/// The maximum length of a metadata value.
const MAX_VALUE_BYTES: usize = 128;

/// The fields of an op that a call's metadata sets, under their names in a routing comment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallMetadata {
    fields: Vec<(&'static str, String)>,
    /// The client's own timeout, from `grpc-timeout`.
    client_timeout_ms: Option<u64>,
}

impl CallMetadata {
    /// Adds one metadata entry; keys that do not describe the op are ignored.
    ///
    /// # Errors
    /// The value is not allowed in a comment, or the key occurs twice.
    pub fn insert(&mut self, key: &str, value: &str) -> Result<(), CallError> {
        if key == "grpc-timeout" {
            let timeout_ms = parse_grpc_timeout(value)
                .ok_or_else(|| CallError::InvalidOp("grpc-timeout is not a valid timeout".to_string()))?;
            self.client_timeout_ms = Some(timeout_ms);
            return Ok(());
        }
        let Some(&(_, field)) = METADATA_KEYS.iter().find(|(known, _)| *known == key) else { return Ok(()) };
        // A value that ends the comment or starts another field would set fields that were not checked.
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"_-.:+@".contains(&byte);
        if value.is_empty() || value.len() > MAX_VALUE_BYTES || !value.bytes().all(is_allowed) {
            return Err(CallError::InvalidOp(format!(
                "the value of {key} is empty, too long or has characters that are not allowed"
            )));
        }
        if self.fields.iter().any(|(known, _)| *known == field) {
            return Err(CallError::InvalidOp(format!("{key} occurs twice")));
        }
        self.fields.push((field, value.to_string()));
        Ok(())
    }
}

/// Parses a `grpc-timeout` value into whole milliseconds.
fn parse_grpc_timeout(value: &str) -> Option<u64> {
    let (number, unit) = value.split_at_checked(value.len().checked_sub(1)?)?;
    if number.is_empty() || number.len() > 8 || !number.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    let number: u64 = number.parse().ok()?;
    Some(match unit {
        "H" => number * 3_600_000,
        "M" => number * 60_000,
        "S" => number * 1000,
        "m" => number,
        "u" => number / 1000,
        "n" => number / 1_000_000,
        _ => return None,
    })
}

/// The names and values of a comment in their order, and the text after the comment.
type ParsedComment<'a> = (Vec<(&'a str, &'a str)>, &'a str);

/// Parses a leading routing comment; a comment of another kind counts as a part of the text.
fn parse_comment(text: &str) -> Result<ParsedComment<'_>, CallError> {
    let Some(comment) = text.trim_start().strip_prefix("/*") else { return Ok((Vec::new(), text)) };
    let (comment, rest) = comment
        .split_once("*/")
        .ok_or_else(|| CallError::InvalidOp("the comment is not terminated".to_string()))?;
    let mut fields = Vec::new();
    for field in comment.split(',') {
        // Not a routing comment.
        let Some((name, value)) = field.split_once('=') else { return Ok((Vec::new(), text)) };
        fields.push((name.trim(), value.trim()));
    }
    Ok((fields, rest))
}

/// Returns the statement with one comment that has the fields of its own comment and of the metadata. Of
/// `after`, a lower bound, the larger value applies; `r` is set if it is set in either source.
///
/// # Errors
/// Comment and metadata set another field to different values.
pub fn merge_comment(text: &str, metadata: &CallMetadata) -> Result<String, CallError> {
    let (comment_fields, rest) = parse_comment(text)?;
    let mut fields: Vec<(&str, String)> =
        comment_fields.iter().map(|&(name, value)| (name, value.to_string())).collect();
    let mut changed = false;
    for (name, value) in &metadata.fields {
        let Some((_, current)) = fields.iter_mut().find(|(known, _)| known == name) else {
            fields.push((name, value.clone()));
            changed = true;
            continue;
        };
        if current == value {
            continue;
        }
        let maximum = || Some(value.parse::<i64>().ok()?.max(current.parse::<i64>().ok()?).to_string());
        let merged = match *name {
            "after" => maximum(),
            "r" => Some("1".to_string()),
            _ => None,
        };
        let Some(merged) = merged else {
            return Err(CallError::InvalidOp(format!(
                "the comment sets {name} to {current}, but the metadata sets it to {value}"
            )));
        };
        changed |= *current != merged;
        *current = merged;
    }
    if !changed {
        return Ok(text.to_string());
    }
    let comment: Vec<String> = fields.iter().map(|(name, value)| format!("{name}={value}")).collect();
    Ok(format!("/* {} */{}{rest}", comment.join(","), if rest.starts_with(' ') { "" } else { " " }))
}

/// Parses the statement of an op. A missing id is taken from `random_id`, a missing timeout from
/// `grpc-timeout`.
///
/// # Errors
/// A required field is missing or contradictory.
pub fn parse_op(
    text: &str,
    metadata: &CallMetadata,
    random_id: impl FnOnce() -> u64,
) -> Result<Statement, CallError> {
    let mut text = merge_comment(text, metadata)?;
    let (fields, _) = parse_comment(&text)?;
    let field = |name: &str| fields.iter().find(|(known, _)| *known == name).map(|(_, value)| *value);
    let mut defaults = CallMetadata::default();
    if field("id").is_none_or(str::is_empty) {
        defaults.fields.push(("id", format!("{:016x}", random_id())));
    }
    match (field("d").map(str::parse::<u64>), metadata.client_timeout_ms) {
        // The client would give up before the op's timeout, and a later result would be lost.
        (Some(Ok(timeout_ms)), Some(client_ms)) if timeout_ms > client_ms => {
            return Err(CallError::InvalidOp(format!(
                "the timeout of {timeout_ms} ms is longer than the grpc-timeout of {client_ms} ms"
            )));
        }
        (Some(_), _) => {}
        (None, Some(client_ms)) => {
            defaults.fields.push(("d", client_ms.min(u64::from(u32::MAX)).to_string()))
        }
        (None, None) => {
            return Err(CallError::InvalidOp(
                "neither d, arrowyard-timeout-ms nor grpc-timeout is set".to_string(),
            ));
        }
    }
    if !defaults.fields.is_empty() {
        text = merge_comment(&text, &defaults)?;
    }
    Statement::parse(text).map_err(|malformed| CallError::InvalidOp(malformed.0.to_string()))
}
