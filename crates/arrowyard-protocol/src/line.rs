use bytes::{Buf, Bytes, BytesMut};

use crate::MAX_LINE_BYTES;

/// A message is longer than the wire allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub struct LineTooLong;

/// The first word of a line and the rest after the blanks.
pub fn split_word(line: &str) -> (&str, &str) {
    match line.split_once(' ') {
        Some((word, rest)) => (word, rest.trim_start_matches(' ')),
        None => (line, ""),
    }
}

/// The bytes of one connection that came and are not yet read.
#[derive(Default)]
pub struct LineDecoder {
    came: BytesMut,
    /// How far the search for a line's end got: bytes are looked at once.
    seen: usize,
}

impl LineDecoder {
    pub fn put(&mut self, bytes: &[u8]) {
        self.came.extend_from_slice(bytes);
    }

    /// Bytes that came and are not yet taken.
    pub fn waiting(&self) -> usize {
        self.came.len()
    }

    /// Takes the next line, without its end, once it is whole.
    ///
    /// # Errors
    /// When more bytes came than a message may have.
    pub fn take(&mut self) -> Result<Option<Bytes>, LineTooLong> {
        let Some(end) = self.came[self.seen..].iter().position(|&byte| byte == b'\n') else {
            self.seen = self.came.len();
            return if self.seen > MAX_LINE_BYTES { Err(LineTooLong) } else { Ok(None) };
        };
        let end = self.seen + end;
        self.seen = 0;
        let mut line = self.came.split_to(end).freeze();
        self.came.advance(1);
        if line.len() > MAX_LINE_BYTES {
            return Err(LineTooLong);
        }
        if line.last() == Some(&b'\r') {
            line.truncate(line.len() - 1);
        }
        // A connection at rest holds no memory of its largest message.
        if self.came.is_empty() {
            self.came = BytesMut::new();
        }
        Ok(Some(line))
    }
}
