//! Messages of database hosts, and the router's messages to them.

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::frame::{ProtocolError, declared_length, put_cstr, put_message, take_cstr, take_message};

/// A complete result of one row; each field is the body of one message as the host sent it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueryResult {
    pub row_description: Bytes,
    pub data_row: Bytes,
    pub command_complete: Bytes,
}

/// Whether a host accepts writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessMode {
    ReadWrite,
    ReadOnly,
}

/// A ParameterStatus message by which a host reports its state.
#[derive(Clone, Debug, PartialEq)]
pub enum ParameterStatus {
    AccessMode(AccessMode),
    /// Replication position or last commit, as Unix time in milliseconds.
    Position(i64),
    /// Names and values of a load report.
    LoadReport(Vec<(String, f64)>),
    Other,
}

/// A message from a host.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendMessage {
    AuthenticationOk,
    ParameterStatus(ParameterStatus),
    RowDescription(Bytes),
    /// A row of one column.
    DataRow(Bytes),
    CommandComplete(Bytes),
    EmptyQueryResponse,
    /// The SQLSTATE code of an error.
    ErrorResponse(String),
    ReadyForQuery,
    /// A message that routers ignore, such as a notice or BackendKeyData.
    Other,
}

impl BackendMessage {
    /// Removes the next complete message from `received`; `None` while it is incomplete. `max_row_bytes`
    /// limits a DataRow, `max_other_bytes` any other message.
    ///
    /// # Errors
    /// The message is malformed, too long, or of a type or shape that routers do not accept.
    pub fn decode(
        received: &mut BytesMut,
        max_row_bytes: usize,
        max_other_bytes: usize,
    ) -> Result<Option<BackendMessage>, ProtocolError> {
        let max_bytes = if received.first() == Some(&b'D') { max_row_bytes } else { max_other_bytes };
        check_prefix(received)?;
        let Some((type_byte, mut body)) = take_message(received, max_bytes)? else { return Ok(None) };
        Ok(Some(match type_byte {
            b'R' if body[..] == [0, 0, 0, 0] => BackendMessage::AuthenticationOk,
            b'R' => return Err(ProtocolError("the host requires authentication")),
            b'S' => BackendMessage::ParameterStatus(parse_parameter_status(&mut body)?),
            b'T' => {
                check_single_column(&body)
                    .ok_or(ProtocolError("the result does not have exactly one column"))?;
                BackendMessage::RowDescription(body)
            }
            b'D' => {
                single_value(&body).ok_or(ProtocolError("the row does not have exactly one column"))?;
                BackendMessage::DataRow(body)
            }
            b'C' if body.iter().position(|&byte| byte == 0).map(|end| end + 1) != Some(body.len()) => {
                return Err(ProtocolError("the command tag is not a zero-terminated string"));
            }
            b'C' => BackendMessage::CommandComplete(body),
            b'I' => BackendMessage::EmptyQueryResponse,
            b'E' => BackendMessage::ErrorResponse(error_code(body)?),
            b'Z' => BackendMessage::ReadyForQuery,
            b'N' | b'K' | b'A' => BackendMessage::Other,
            _ => return Err(ProtocolError("the host sent a message of an unexpected type")),
        }))
    }
}

/// Rejects an invalid message by its first bytes, so that the router does not wait until the timeout for the
/// rest of a malformed message. The length of a valid row is determined by its single value.
fn check_prefix(received: &[u8]) -> Result<(), ProtocolError> {
    let Some(&type_byte) = received.first() else { return Ok(()) };
    if !b"RSTDCIEZNKA".contains(&type_byte) {
        return Err(ProtocolError("the host sent a message of an unexpected type"));
    }
    let Some(length) = declared_length(received).filter(|_| type_byte == b'D') else { return Ok(()) };
    let Some(&[a, b, c, d, e, f]) = received.get(5..11) else { return Ok(()) };
    if [a, b] != [0, 1] || u32::from_be_bytes([c, d, e, f]).checked_add(10) != Some(length) {
        return Err(ProtocolError("the row does not have exactly one column"));
    }
    Ok(())
}

/// `None` unless the RowDescription body describes exactly one column.
fn check_single_column(row_description: &Bytes) -> Option<()> {
    let name = row_description.strip_prefix(&[0, 1])?;
    let end = name.iter().position(|&byte| byte == 0)?;
    // After the name: table OID, column number, type OID, type size, type modifier, format code.
    (name.len() - end - 1 == 18).then_some(())
}

/// Parses the body of a ParameterStatus message.
fn parse_parameter_status(body: &mut Bytes) -> Result<ParameterStatus, ProtocolError> {
    let (name, value) = (take_cstr(body)?, take_cstr(body)?);
    let Ok(value) = std::str::from_utf8(&value) else { return Ok(ParameterStatus::Other) };
    Ok(match (&name[..], value) {
        (b"mode", "read-write") => ParameterStatus::AccessMode(AccessMode::ReadWrite),
        (b"mode", "read-only") => ParameterStatus::AccessMode(AccessMode::ReadOnly),
        (b"wal_time", value) => value.parse().map_or(ParameterStatus::Other, ParameterStatus::Position),
        (b"stats", value) => {
            parse_load_report(value).map_or(ParameterStatus::Other, ParameterStatus::LoadReport)
        }
        _ => ParameterStatus::Other,
    })
}

/// Parses a load report such as `inflight=7,util=0.61`. `None` if any field is malformed, since the others
/// may be corrupted as well.
pub fn parse_load_report(text: &str) -> Option<Vec<(String, f64)>> {
    let parse_field = |field: &str| {
        let (name, number) = field.trim().split_once('=')?;
        let number = number.parse().ok().filter(|number: &f64| number.is_finite())?;
        Some((name.to_string(), number))
    };
    text.split(',').map(parse_field).collect()
}

/// The value of a DataRow body with one column; `None` if it has another shape or the value is null.
pub fn single_value(row: &Bytes) -> Option<Bytes> {
    let mut row = row.clone();
    if row.len() < 6 || row.get_u16() != 1 {
        return None;
    }
    let length = usize::try_from(row.get_i32()).ok()?;
    (row.len() == length).then_some(row)
}

/// The SQLSTATE code of an ErrorResponse body.
fn error_code(mut body: Bytes) -> Result<String, ProtocolError> {
    while body.first().is_some_and(|&field| field != 0) {
        let field = body.get_u8();
        let value = take_cstr(&mut body)?;
        if field == b'C' {
            return Ok(String::from_utf8_lossy(&value).into_owned());
        }
    }
    Err(ProtocolError("an error response has no SQLSTATE code"))
}

/// Writes the startup packet of protocol version 3.0.
pub fn put_startup_packet(out: &mut BytesMut, user: &str, database: &str) {
    put_message(out, None, |out| {
        out.put_u32(196_608);
        for text in ["user", user, "database", database] {
            put_cstr(out, text);
        }
        out.put_u8(0);
    });
}

/// Writes a simple query.
pub fn put_query(out: &mut BytesMut, text: &str) {
    put_message(out, Some(b'Q'), |out| put_cstr(out, text));
}
