use bytes::{Buf, BytesMut};
use prost::Message;

use crate::Frame;

/// The longest frame, in bytes. Danger: a length that was made up would have it all held in memory.
const MAX_FRAME_BYTES: usize = 32 << 20;

/// What came is no frame of ours; the connection cannot be used any more.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum FrameError {
    /// a frame of {0} bytes is too long
    TooLong(usize),
    /// a frame cannot be read: {0}
    Unreadable(String),
}

/// A frame, ready to be written.
pub fn encode_frame(frame: &Frame) -> Vec<u8> {
    let length = frame.encoded_len();
    let mut bytes = Vec::with_capacity(length + 4);
    bytes.extend_from_slice(&(length as u32).to_be_bytes());
    frame.encode(&mut bytes).expect("a vector grows");
    bytes
}

/// The bytes of one connection that came and are not yet read.
#[derive(Default)]
pub struct FrameDecoder {
    came: BytesMut,
}

impl FrameDecoder {
    pub fn put(&mut self, bytes: &[u8]) {
        self.came.extend_from_slice(bytes);
    }

    /// Takes the next frame, once it is whole.
    ///
    /// # Errors
    /// When it is none.
    pub fn take(&mut self) -> Result<Option<Frame>, FrameError> {
        let Some(length) = self.came.first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(length));
        }
        if self.came.len() < length + 4 {
            return Ok(None);
        }
        self.came.advance(4);
        let body = self.came.split_to(length);
        if self.came.is_empty() {
            self.came = BytesMut::new();
        }
        Frame::decode(body.freeze()).map(Some).map_err(|fault| FrameError::Unreadable(fault.to_string()))
    }
}
