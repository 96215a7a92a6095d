//! What database hosts send, and what is sent to them.

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::frame::{ProtocolError, declared_length, put, put_text, take, take_text};

/// A whole answer, each part as the host wrote it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueryResult {
    pub row_description: Bytes,
    pub data_row: Bytes,
    pub command_complete: Bytes,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessMode {
    ReadWrite,
    ReadOnly,
}

/// What a host says of itself beside its answers.
#[derive(Clone, Debug, PartialEq)]
pub enum ParameterStatus {
    AccessMode(AccessMode),
    /// A position or a commit, as Unix time in milliseconds.
    Position(i64),
    /// A load report.
    LoadReport(Vec<(String, f64)>),
    Other,
}

/// One message of a host.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendMessage {
    /// It lets the router in.
    AuthenticationOk,
    ParameterStatus(ParameterStatus),
    RowDescription(Bytes),
    /// The only row of an answer, of one column.
    DataRow(Bytes),
    CommandComplete(Bytes),
    EmptyQueryResponse,
    /// The code of an error.
    ErrorResponse(String),
    ReadyForQuery,
    /// A notice, a key for cancelling, and the like.
    Other,
}

impl BackendMessage {
    /// `row` is the most bytes of a row, `other` those of any other message.
    pub fn decode(
        came: &mut BytesMut,
        row: usize,
        other: usize,
    ) -> Result<Option<BackendMessage>, ProtocolError> {
        let most = if came.first() == Some(&b'D') { row } else { other };
        check_head(came)?;
        let Some((letter, mut body)) = take(came, most)? else { return Ok(None) };
        Ok(Some(match letter {
            b'R' if body[..] == [0, 0, 0, 0] => BackendMessage::AuthenticationOk,
            b'R' => return Err(ProtocolError("the host asks for a password")),
            b'S' => BackendMessage::ParameterStatus(status(&mut body)?),
            b'T' => {
                one_column(&body).ok_or(ProtocolError("an answer is not of one column"))?;
                BackendMessage::RowDescription(body)
            }
            b'D' => {
                single_value(&body).ok_or(ProtocolError("a row is not of one column"))?;
                BackendMessage::DataRow(body)
            }
            b'C' if body.iter().position(|&byte| byte == 0).map(|end| end + 1) != Some(body.len()) => {
                return Err(ProtocolError("the end of an answer is no text"));
            }
            b'C' => BackendMessage::CommandComplete(body),
            b'I' => BackendMessage::EmptyQueryResponse,
            b'E' => BackendMessage::ErrorResponse(error_code(body)?),
            b'Z' => BackendMessage::ReadyForQuery,
            b'N' | b'K' | b'A' => BackendMessage::Other,
            _ => return Err(ProtocolError("the host sent a message of another kind")),
        }))
    }
}

/// What the first bytes of a message already show. Danger: noise that promises more than ever comes would be
/// waited for till the time is up. A row's one value fills it.
fn check_head(came: &[u8]) -> Result<(), ProtocolError> {
    let Some(&letter) = came.first() else { return Ok(()) };
    if !b"RSTDCIEZNKA".contains(&letter) {
        return Err(ProtocolError("the host sent a message of another kind"));
    }
    let Some(length) = declared_length(came).filter(|_| letter == b'D') else { return Ok(()) };
    let Some(&[a, b, c, d, e, f]) = came.get(5..11) else { return Ok(()) };
    if [a, b] != [0, 1] || u32::from_be_bytes([c, d, e, f]).checked_add(10) != Some(length) {
        return Err(ProtocolError("a row is not of one column"));
    }
    Ok(())
}

/// Nothing unless it describes one column, to its last byte.
fn one_column(columns: &Bytes) -> Option<()> {
    let name = columns.strip_prefix(&[0, 1])?;
    let end = name.iter().position(|&byte| byte == 0)?;
    // After the name: table, number, type, size, modifier, format.
    (name.len() - end - 1 == 18).then_some(())
}

fn status(body: &mut Bytes) -> Result<ParameterStatus, ProtocolError> {
    let (name, told) = (take_text(body)?, take_text(body)?);
    let Ok(told) = std::str::from_utf8(&told) else { return Ok(ParameterStatus::Other) };
    Ok(match (&name[..], told) {
        (b"mode", "read-write") => ParameterStatus::AccessMode(AccessMode::ReadWrite),
        (b"mode", "read-only") => ParameterStatus::AccessMode(AccessMode::ReadOnly),
        (b"wal_time", told) => told.parse().map_or(ParameterStatus::Other, ParameterStatus::Position),
        (b"stats", told) => {
            parse_load_report(told).map_or(ParameterStatus::Other, ParameterStatus::LoadReport)
        }
        _ => ParameterStatus::Other,
    })
}

/// A load report, as in `inflight=7,util=0.61`; nothing if any of it cannot be read, since the rest is then
/// spoilt as likely.
pub fn parse_load_report(told: &str) -> Option<Vec<(String, f64)>> {
    let field = |field: &str| {
        let (name, number) = field.trim().split_once('=')?;
        let number = number.parse().ok().filter(|number: &f64| number.is_finite())?;
        Some((name.to_string(), number))
    };
    told.split(',').map(field).collect()
}

/// The value of a row of one column; nothing if it is none, or null.
pub fn single_value(row: &Bytes) -> Option<Bytes> {
    let mut row = row.clone();
    if row.len() < 6 || row.get_u16() != 1 {
        return None;
    }
    let length = usize::try_from(row.get_i32()).ok()?;
    (row.len() == length).then_some(row)
}

fn error_code(mut body: Bytes) -> Result<String, ProtocolError> {
    while body.first().is_some_and(|&letter| letter != 0) {
        let letter = body.get_u8();
        let told = take_text(&mut body)?;
        if letter == b'C' {
            return Ok(String::from_utf8_lossy(&told).into_owned());
        }
    }
    Err(ProtocolError("an error has no code"))
}

pub fn put_startup_packet(out: &mut BytesMut, user: &str, database: &str) {
    put(out, None, |out| {
        out.put_u32(196_608);
        for text in ["user", user, "database", database] {
            put_text(out, text);
        }
        out.put_u8(0);
    });
}

/// A command that is not a client's.
pub fn put_query(out: &mut BytesMut, command: &str) {
    put(out, Some(b'Q'), |out| put_text(out, command));
}
