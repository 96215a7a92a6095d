//! Message framing: a type byte, a 32-bit length that includes itself, and a body. The first message of a
//! client has no type byte.

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// A violation of the protocol by the other side, with a description.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProtocolError(pub &'static str);

/// The declared length of the next message, without its type byte; `None` until it was received.
pub fn declared_length(received: &[u8]) -> Option<u32> {
    received.get(1..5).and_then(|bytes| bytes.try_into().ok()).map(u32::from_be_bytes)
}

/// Removes the next complete message from `received`; `None` while it is incomplete.
///
/// # Errors
/// The declared length is below 4 or above `max_bytes`, which is checked before the body is received.
pub fn take_message(received: &mut BytesMut, max_bytes: usize) -> Result<Option<(u8, Bytes)>, ProtocolError> {
    let Some(&type_byte) = received.first() else { return Ok(None) };
    Ok(take_body(received, 1, max_bytes)?.map(|body| (type_byte, body)))
}

/// As [`take_message`], for a message without a type byte.
pub fn take_untyped_message(
    received: &mut BytesMut,
    max_bytes: usize,
) -> Result<Option<Bytes>, ProtocolError> {
    take_body(received, 0, max_bytes)
}

fn take_body(
    received: &mut BytesMut,
    length_offset: usize,
    max_bytes: usize,
) -> Result<Option<Bytes>, ProtocolError> {
    let Some(&[a, b, c, d]) = received.get(length_offset..length_offset + 4) else { return Ok(None) };
    let length = u32::from_be_bytes([a, b, c, d]) as usize;
    if length < 4 || length > max_bytes {
        return Err(ProtocolError("a message's length is out of range"));
    }
    if received.len() < length_offset + length {
        return Ok(None);
    }
    let mut message = received.split_to(length_offset + length).freeze();
    message.advance(length_offset + 4);
    Ok(Some(message))
}

/// Appends one message; the length is filled in after the body has been written.
pub fn put_message(out: &mut BytesMut, type_byte: Option<u8>, body: impl FnOnce(&mut BytesMut)) {
    out.extend(type_byte);
    let start = out.len();
    out.put_u32(0);
    body(out);
    let length = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

/// Appends a zero-terminated string.
pub fn put_cstr(out: &mut BytesMut, string: &str) {
    out.put_slice(string.as_bytes());
    out.put_u8(0);
}

/// Removes a zero-terminated string from `body` and returns it without the terminator.
///
/// # Errors
/// The terminator is missing.
pub fn take_cstr(body: &mut Bytes) -> Result<Bytes, ProtocolError> {
    let end =
        body.iter().position(|&byte| byte == 0).ok_or(ProtocolError("a string is not zero-terminated"))?;
    let string = body.split_to(end);
    body.advance(1);
    Ok(string)
}
