//! What clients send, and what is sent to them.

use bytes::{BufMut, BytesMut};

use crate::code;
use crate::frame::{ProtocolError, put, put_text, take, take_bare, take_text};

const VERSION_3: u32 = 196_608;
const CANCEL: u32 = 80_877_102;
const SSL: u32 = 80_877_103;
const GSS: u32 = 80_877_104;

/// The first message on a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupPacket {
    Startup,
    /// It asks for encryption; a single letter answers, and another first message follows.
    EncryptionRequest,
    CancelRequest,
}

impl StartupPacket {
    pub fn decode(came: &mut BytesMut, most: usize) -> Result<Option<StartupPacket>, ProtocolError> {
        let Some(body) = take_bare(came, most)? else { return Ok(None) };
        let Some(&[a, b, c, d]) = body.get(..4) else {
            return Err(ProtocolError("the first message is too short"));
        };
        match u32::from_be_bytes([a, b, c, d]) {
            version if version >> 16 == VERSION_3 >> 16 => Ok(Some(StartupPacket::Startup)),
            SSL | GSS => Ok(Some(StartupPacket::EncryptionRequest)),
            CANCEL => Ok(Some(StartupPacket::CancelRequest)),
            _ => Err(ProtocolError("the protocol's version is not 3")),
        }
    }
}

/// A later message of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrontendMessage {
    Query(String),
    Terminate,
    /// A message of the extended protocol or of a copy, which is not spoken here.
    Other(u8),
}

impl FrontendMessage {
    pub fn decode(came: &mut BytesMut, most: usize) -> Result<Option<FrontendMessage>, ProtocolError> {
        let Some((letter, mut body)) = take(came, most)? else { return Ok(None) };
        Ok(Some(match letter {
            b'Q' => {
                let text = Vec::from(take_text(&mut body)?);
                FrontendMessage::Query(
                    String::from_utf8(text).map_err(|_| ProtocolError("a statement is not UTF-8"))?,
                )
            }
            b'X' => FrontendMessage::Terminate,
            other => FrontendMessage::Other(other),
        }))
    }
}

/// Lets a client in.
pub fn put_startup_response(out: &mut BytesMut) {
    put(out, Some(b'R'), |out| out.put_u32(0));
    for (name, value) in
        [("server_version", "16.0"), ("server_encoding", "UTF8"), ("client_encoding", "UTF8")]
    {
        put(out, Some(b'S'), |out| {
            put_text(out, name);
            put_text(out, value);
        });
    }
    put_ready_for_query(out);
}

pub fn put_ready_for_query(out: &mut BytesMut) {
    put(out, Some(b'Z'), |out| out.put_u8(b'I'));
}

pub fn put_empty_query_response(out: &mut BytesMut) {
    put(out, Some(b'I'), |_| ());
}

/// An answer of the router's own: one row of one column, as text.
pub fn put_single_value(out: &mut BytesMut, column: &str, value: &str) {
    put(out, Some(b'T'), |out| {
        out.put_u16(1);
        put_text(out, column);
        // No table, no column number; text (25), of any length, in text form.
        out.put_slice(&[0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0]);
    });
    put(out, Some(b'D'), |out| {
        out.put_u16(1);
        out.put_u32(value.len() as u32);
        out.put_slice(value.as_bytes());
    });
    put_command_complete(out, "SHOW");
}

/// The end of a command without rows.
pub fn put_command_complete(out: &mut BytesMut, command: &str) {
    put(out, Some(b'C'), |out| put_text(out, command));
}

fn put_failure(out: &mut BytesMut, severity: &str, code: &str, text: &str, detail: Option<u64>) {
    put(out, Some(b'E'), |out| {
        let detail = detail.map(|number| number.to_string());
        let fields = [(b'S', severity), (b'V', severity), (b'C', code), (b'M', text)];
        for (letter, value) in fields.into_iter().chain(detail.as_deref().map(|d| (b'D', d))) {
            out.put_u8(letter);
            put_text(out, value);
        }
        out.put_u8(0);
    });
}

/// A busy reply: trying again is harmless, after so many milliseconds if a number is given.
pub fn put_busy_error(out: &mut BytesMut, retry_after: Option<u64>) {
    put_failure(out, "ERROR", code::TOO_MANY_CONNECTIONS, "busy, nothing was done", retry_after);
}

/// An error reply: nothing is declared_length.
pub fn put_error(out: &mut BytesMut, code: &str, text: &str) {
    put_failure(out, "ERROR", code, text, None);
}

/// An error after which the connection ends.
pub fn put_fatal_error(out: &mut BytesMut, code: &str, text: &str) {
    put_failure(out, "FATAL", code, text, None);
}

impl crate::QueryResult {
    /// Writes the answer as the host gave it.
    pub fn put(&self, out: &mut BytesMut) {
        for (letter, body) in
            [(b'T', &self.row_description), (b'D', &self.data_row), (b'C', &self.command_complete)]
        {
            put(out, Some(letter), |out| out.put_slice(body));
        }
    }
}
