//! Framing of messages.

use bytes::{Buf, BytesMut};
use prost::Message;

use crate::Frame;

/// Maximum length of a frame in bytes. A larger length prefix is rejected before the frame is buffered.
const MAX_FRAME_BYTES: usize = 32 << 20;

/// An invalid frame. The connection cannot be used afterwards.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum FrameError {
    /// frame of {0} bytes exceeds the maximum length
    TooLong(usize),
    /// cannot decode frame: {0}
    Unreadable(String),
}

/// Encodes a frame with its length prefix.
pub fn encode_frame(frame: &Frame) -> Vec<u8> {
    let length = frame.encoded_len();
    let mut bytes = Vec::with_capacity(length + 4);
    bytes.extend_from_slice(&(length as u32).to_be_bytes());
    frame.encode(&mut bytes).expect("encoding into a vector cannot fail");
    bytes
}

/// Decodes the frames received on one connection.
#[derive(Default)]
pub struct FrameDecoder {
    buffer: BytesMut,
}

impl FrameDecoder {
    /// Appends received bytes.
    pub fn put(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next frame; `None` until it is complete.
    ///
    /// # Errors
    /// When the frame is too long or cannot be decoded.
    pub fn take(&mut self) -> Result<Option<Frame>, FrameError> {
        let Some(length) = self.buffer.first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(length));
        }
        if self.buffer.len() < length + 4 {
            return Ok(None);
        }
        self.buffer.advance(4);
        let body = self.buffer.split_to(length);
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        Frame::decode(body.freeze()).map(Some).map_err(|error| FrameError::Unreadable(error.to_string()))
    }
}
