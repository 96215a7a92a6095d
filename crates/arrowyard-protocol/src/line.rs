//! Splits received bytes into lines.

use bytes::{Buf, Bytes, BytesMut};

use crate::MAX_LINE_BYTES;

/// the message exceeds the maximum line length
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub struct LineTooLong;

/// Splits a line into its first word and the text after the following spaces.
pub fn split_word(line: &str) -> (&str, &str) {
    match line.split_once(' ') {
        Some((word, rest)) => (word, rest.trim_start_matches(' ')),
        None => (line, ""),
    }
}

/// Decodes the lines received on one connection.
#[derive(Default)]
pub struct LineDecoder {
    buffer: BytesMut,
    /// Offset up to which no line end was found, so that each byte is scanned once.
    scanned: usize,
}

impl LineDecoder {
    /// Appends received bytes.
    pub fn put(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Number of buffered bytes.
    pub fn waiting(&self) -> usize {
        self.buffer.len()
    }

    /// Removes the next line without its terminator; `None` until it is complete.
    ///
    /// # Errors
    /// When the line exceeds [`MAX_LINE_BYTES`].
    pub fn take(&mut self) -> Result<Option<Bytes>, LineTooLong> {
        let Some(end) = self.buffer[self.scanned..].iter().position(|&byte| byte == b'\n') else {
            self.scanned = self.buffer.len();
            return if self.scanned > MAX_LINE_BYTES { Err(LineTooLong) } else { Ok(None) };
        };
        let end = self.scanned + end;
        self.scanned = 0;
        let mut line = self.buffer.split_to(end).freeze();
        self.buffer.advance(1);
        if line.len() > MAX_LINE_BYTES {
            return Err(LineTooLong);
        }
        if line.last() == Some(&b'\r') {
            line.truncate(line.len() - 1);
        }
        // Free the buffer so that an idle connection does not keep the size of its largest message.
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        Ok(Some(line))
    }
}
