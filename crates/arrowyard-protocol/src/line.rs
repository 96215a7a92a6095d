//! Splits received bytes into lines. A line ends with a carriage return and a line feed; either byte alone is
//! part of the line's last field.

use bytes::{Buf, Bytes, BytesMut};

use crate::MAX_LINE_BYTES;

const LINE_END: &[u8] = b"\r\n";

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
        let Some(length) = self.find_line_end() else {
            self.scanned = self.buffer.len();
            // The last byte may be the first one of the terminator.
            let unterminated = self.buffer.strip_suffix(b"\r").unwrap_or(&self.buffer);
            return if unterminated.len() > MAX_LINE_BYTES { Err(LineTooLong) } else { Ok(None) };
        };
        self.scanned = 0;
        let line = self.buffer.split_to(length).freeze();
        self.buffer.advance(LINE_END.len());
        if line.len() > MAX_LINE_BYTES {
            return Err(LineTooLong);
        }
        // Free the buffer so that an idle connection does not keep the size of its largest message.
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        Ok(Some(line))
    }

    /// The length of the first line, if its terminator has arrived. Looks for the second byte of the
    /// terminator, since the first one may have been scanned already.
    fn find_line_end(&self) -> Option<usize> {
        let mut from = self.scanned;
        loop {
            let line_feed = from + self.buffer[from..].iter().position(|&byte| byte == b'\n')?;
            if self.buffer[..=line_feed].ends_with(LINE_END) {
                return Some(line_feed + 1 - LINE_END.len());
            }
            from = line_feed + 1;
        }
    }
}
