//! Messages as they stand in the stream: a letter, a length that counts itself, a body. The first message of a
//! client has no letter.

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// The other side broke the protocol; what it did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProtocolError(pub &'static str);

/// The length that the next message says it has, beside its letter.
pub fn declared_length(came: &[u8]) -> Option<u32> {
    came.get(1..5).and_then(|four| four.try_into().ok()).map(u32::from_be_bytes)
}

/// Takes the next whole message off what came; nothing while its end is missing. Danger: a hostile length. It is
/// checked against the most before room is made for anything.
pub fn take(came: &mut BytesMut, most: usize) -> Result<Option<(u8, Bytes)>, ProtocolError> {
    let Some(&letter) = came.first() else { return Ok(None) };
    Ok(take_at(came, 1, most)?.map(|body| (letter, body)))
}

pub fn take_bare(came: &mut BytesMut, most: usize) -> Result<Option<Bytes>, ProtocolError> {
    take_at(came, 0, most)
}

fn take_at(came: &mut BytesMut, head: usize, most: usize) -> Result<Option<Bytes>, ProtocolError> {
    let Some(&[a, b, c, d]) = came.get(head..head + 4) else { return Ok(None) };
    let length = u32::from_be_bytes([a, b, c, d]) as usize;
    if length < 4 || length > most {
        return Err(ProtocolError("a message's length is out of range"));
    }
    if came.len() < head + length {
        return Ok(None);
    }
    let mut message = came.split_to(head + length).freeze();
    message.advance(head + 4);
    Ok(Some(message))
}

/// Writes one message; its length is filled in once the body is written.
pub fn put(out: &mut BytesMut, letter: Option<u8>, body: impl FnOnce(&mut BytesMut)) {
    out.extend(letter);
    let start = out.len();
    out.put_u32(0);
    body(out);
    let length = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

pub fn put_text(out: &mut BytesMut, text: &str) {
    out.put_slice(text.as_bytes());
    out.put_u8(0);
}

/// Takes a text that ends with a zero byte off the body.
pub fn take_text(body: &mut Bytes) -> Result<Bytes, ProtocolError> {
    let end = body.iter().position(|&byte| byte == 0).ok_or(ProtocolError("a text has no end"))?;
    let text = body.split_to(end);
    body.advance(1);
    Ok(text)
}
