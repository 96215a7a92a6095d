//! Messages of clients, and the router's replies to them.

use bytes::{BufMut, BytesMut};

use crate::code;
use crate::frame::{ProtocolError, put_cstr, put_message, take_cstr, take_message, take_untyped_message};

const PROTOCOL_VERSION_3: u32 = 196_608;
const CANCEL_REQUEST: u32 = 80_877_102;
const SSL_REQUEST: u32 = 80_877_103;
const GSSENC_REQUEST: u32 = 80_877_104;

/// The first message on a client's connection. It has no type byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupPacket {
    Startup,
    /// SSLRequest or GSSENCRequest. The reply is a single byte, after which the client sends another startup
    /// packet.
    EncryptionRequest,
    CancelRequest,
}

impl StartupPacket {
    /// Removes the packet from `received`; `None` while it is incomplete.
    ///
    /// # Errors
    /// Its length is out of range, or it requests another protocol version.
    pub fn decode(received: &mut BytesMut, max_bytes: usize) -> Result<Option<StartupPacket>, ProtocolError> {
        let Some(body) = take_untyped_message(received, max_bytes)? else { return Ok(None) };
        let Some(&[a, b, c, d]) = body.get(..4) else {
            return Err(ProtocolError("the startup packet is too short"));
        };
        match u32::from_be_bytes([a, b, c, d]) {
            version if version >> 16 == PROTOCOL_VERSION_3 >> 16 => Ok(Some(StartupPacket::Startup)),
            SSL_REQUEST | GSSENC_REQUEST => Ok(Some(StartupPacket::EncryptionRequest)),
            CANCEL_REQUEST => Ok(Some(StartupPacket::CancelRequest)),
            _ => Err(ProtocolError("the protocol version is not 3")),
        }
    }
}

/// A message of a client after the startup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrontendMessage {
    Query(String),
    Terminate,
    /// A message of another type, such as one of the extended query or copy protocols, which are not
    /// supported.
    Other(u8),
}

impl FrontendMessage {
    /// Removes the next complete message from `received`; `None` while it is incomplete.
    ///
    /// # Errors
    /// Its length is out of range, or a query is not a zero-terminated UTF-8 string.
    pub fn decode(
        received: &mut BytesMut,
        max_bytes: usize,
    ) -> Result<Option<FrontendMessage>, ProtocolError> {
        let Some((type_byte, mut body)) = take_message(received, max_bytes)? else { return Ok(None) };
        Ok(Some(match type_byte {
            b'Q' => {
                let text = Vec::from(take_cstr(&mut body)?);
                FrontendMessage::Query(
                    String::from_utf8(text).map_err(|_| ProtocolError("a statement is not UTF-8"))?,
                )
            }
            b'X' => FrontendMessage::Terminate,
            other => FrontendMessage::Other(other),
        }))
    }
}

/// Writes AuthenticationOk, the server's parameters and ReadyForQuery.
pub fn put_startup_response(out: &mut BytesMut) {
    put_message(out, Some(b'R'), |out| out.put_u32(0));
    for (name, value) in
        [("server_version", "16.0"), ("server_encoding", "UTF8"), ("client_encoding", "UTF8")]
    {
        put_message(out, Some(b'S'), |out| {
            put_cstr(out, name);
            put_cstr(out, value);
        });
    }
    put_ready_for_query(out);
}

/// Writes ReadyForQuery outside of a transaction.
pub fn put_ready_for_query(out: &mut BytesMut) {
    put_message(out, Some(b'Z'), |out| out.put_u8(b'I'));
}

/// Writes EmptyQueryResponse, the reply to a statement without a command.
pub fn put_empty_query_response(out: &mut BytesMut) {
    put_message(out, Some(b'I'), |_| ());
}

/// Writes the result of a `SHOW` command: one row with one text column.
pub fn put_single_value(out: &mut BytesMut, column: &str, value: &str) {
    put_message(out, Some(b'T'), |out| {
        out.put_u16(1);
        put_cstr(out, column);
        // Table OID 0, column number 0, type OID 25 (text), size -1, modifier -1, text format.
        out.put_slice(&[0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0]);
    });
    put_message(out, Some(b'D'), |out| {
        out.put_u16(1);
        out.put_u32(value.len() as u32);
        out.put_slice(value.as_bytes());
    });
    put_command_complete(out, "SHOW");
}

/// Writes CommandComplete with the given command tag.
pub fn put_command_complete(out: &mut BytesMut, command: &str) {
    put_message(out, Some(b'C'), |out| put_cstr(out, command));
}

fn put_error_response(out: &mut BytesMut, severity: &str, code: &str, text: &str, detail: Option<u64>) {
    put_message(out, Some(b'E'), |out| {
        let detail = detail.map(|detail| detail.to_string());
        let fields = [(b'S', severity), (b'V', severity), (b'C', code), (b'M', text)];
        for (field, value) in fields.into_iter().chain(detail.as_deref().map(|detail| (b'D', detail))) {
            out.put_u8(field);
            put_cstr(out, value);
        }
        out.put_u8(0);
    });
}

/// Reports that the op was rejected without any effect and may be retried, after `retry_after_ms` if it is
/// given.
pub fn put_busy_error(out: &mut BytesMut, retry_after_ms: Option<u64>) {
    put_error_response(out, "ERROR", code::TOO_MANY_CONNECTIONS, "busy, nothing was done", retry_after_ms);
}

/// Reports an error; the op may or may not have run.
pub fn put_error(out: &mut BytesMut, code: &str, text: &str) {
    put_error_response(out, "ERROR", code, text, None);
}

/// Reports an error after which the router closes the connection.
pub fn put_fatal_error(out: &mut BytesMut, code: &str, text: &str) {
    put_error_response(out, "FATAL", code, text, None);
}

impl crate::QueryResult {
    /// Writes the result's messages unchanged, without ReadyForQuery.
    pub fn put(&self, out: &mut BytesMut) {
        for (type_byte, body) in
            [(b'T', &self.row_description), (b'D', &self.data_row), (b'C', &self.command_complete)]
        {
            put_message(out, Some(type_byte), |out| out.put_slice(body));
        }
    }
}
