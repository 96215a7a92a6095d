//! Observes the HTTP/2 frames (RFC 9113) of a connection to a host, to determine what the HTTP/2 library does
//! not report: whether a request was written completely, and whether the host declared that it did not
//! process it. Stores only frame headers and a few bytes of payload.

use std::collections::BTreeMap;

/// Length of the client's connection preface.
const PREFACE_BYTES: usize = 24;
/// Length of a frame header.
const HEADER_BYTES: usize = 9;

mod frame_type {
    pub const DATA: u8 = 0;
    pub const HEADERS: u8 = 1;
    pub const RST_STREAM: u8 = 3;
    pub const SETTINGS: u8 = 4;
    pub const GOAWAY: u8 = 7;
}

/// The flag of the last frame of a stream.
const END_STREAM: u8 = 1;
/// The error code of a stream that the host did not process.
const REFUSED_STREAM: u32 = 7;

/// The frame being read.
#[derive(Clone, Copy, Debug, Default)]
struct FrameHeader {
    frame_type: u8,
    flags: u8,
    stream: u32,
    /// Bytes of the payload that are still to come.
    remaining: usize,
}

/// Splits one direction of a connection into frames.
#[derive(Clone, Debug, Default)]
struct FrameDecoder {
    /// Bytes to skip before the next frame.
    skip: usize,
    header: [u8; HEADER_BYTES],
    header_len: usize,
    frame: Option<FrameHeader>,
    /// The first bytes of the payload.
    prefix: [u8; 8],
    prefix_len: usize,
}

impl FrameDecoder {
    /// Reads bytes and calls `on_frame` for each frame that is complete.
    fn decode(&mut self, mut bytes: &[u8], mut on_frame: impl FnMut(FrameHeader, &[u8])) {
        let skipped = self.skip.min(bytes.len());
        self.skip -= skipped;
        bytes = &bytes[skipped..];
        loop {
            if let Some(frame) = &mut self.frame {
                let consumed = frame.remaining.min(bytes.len());
                let stored = consumed.min(self.prefix.len() - self.prefix_len);
                self.prefix[self.prefix_len..self.prefix_len + stored].copy_from_slice(&bytes[..stored]);
                self.prefix_len += stored;
                frame.remaining -= consumed;
                bytes = &bytes[consumed..];
                if frame.remaining > 0 {
                    return;
                }
                on_frame(*frame, &self.prefix[..self.prefix_len]);
                (self.frame, self.header_len, self.prefix_len) = (None, 0, 0);
            }
            if bytes.is_empty() {
                return;
            }
            let consumed = (HEADER_BYTES - self.header_len).min(bytes.len());
            self.header[self.header_len..self.header_len + consumed].copy_from_slice(&bytes[..consumed]);
            self.header_len += consumed;
            bytes = &bytes[consumed..];
            if self.header_len < HEADER_BYTES {
                return;
            }
            let [len0, len1, len2, frame_type, flags, id0, id1, id2, id3] = self.header;
            let remaining = u32::from_be_bytes([0, len0, len1, len2]) as usize;
            let stream = u32::from_be_bytes([id0, id1, id2, id3]) & 0x7fff_ffff;
            self.frame = Some(FrameHeader { frame_type, flags, stream, remaining });
        }
    }
}

/// The progress of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestProgress {
    /// The last byte is not written yet. If the connection has ended it never will be, and the request did
    /// not run.
    Incomplete,
    /// The request is written completely and may have run.
    Written,
    /// The host declared that it did not process the request and never will.
    Refused,
}

/// Tracks the streams that this router opened on one connection.
#[derive(Clone, Debug)]
pub struct FrameTracker {
    sent: FrameDecoder,
    received: FrameDecoder,
    streams: BTreeMap<u32, RequestProgress>,
    /// Whether the host's SETTINGS frame was received, which shows that it speaks HTTP/2.
    settings_received: bool,
    /// The highest stream id that the host processes, from its GOAWAY frame.
    last_stream: Option<u32>,
}

impl Default for FrameTracker {
    fn default() -> Self {
        let sent = FrameDecoder { skip: PREFACE_BYTES, ..FrameDecoder::default() };
        FrameTracker {
            sent,
            received: FrameDecoder::default(),
            streams: BTreeMap::new(),
            settings_received: false,
            last_stream: None,
        }
    }
}

impl FrameTracker {
    /// Starts tracking a stream of which no byte is written yet.
    pub fn track(&mut self, stream: u32) {
        // The host does not process a stream opened after its GOAWAY frame, and sends no frame about it.
        let is_refused = self.last_stream.is_some_and(|last| stream > last);
        self.streams
            .insert(stream, if is_refused { RequestProgress::Refused } else { RequestProgress::Incomplete });
    }

    /// Stops tracking the stream and returns its final progress.
    pub fn untrack(&mut self, stream: u32) -> RequestProgress {
        self.streams.remove(&stream).unwrap_or(RequestProgress::Written)
    }

    /// The progress of a tracked stream; `Written` for any other, which may have run.
    pub fn progress(&self, stream: u32) -> RequestProgress {
        self.streams.get(&stream).copied().unwrap_or(RequestProgress::Written)
    }

    /// Whether the host's SETTINGS frame was received.
    pub fn settings_received(&self) -> bool {
        self.settings_received
    }

    /// Whether the host sent a GOAWAY frame, so that it accepts no new stream.
    pub fn is_going_away(&self) -> bool {
        self.last_stream.is_some()
    }

    /// The number of tracked streams.
    pub fn tracked_streams(&self) -> usize {
        self.streams.len()
    }

    /// Observes bytes that were written to the socket.
    pub fn on_sent(&mut self, bytes: &[u8]) {
        let FrameTracker { sent, streams, .. } = self;
        sent.decode(bytes, |frame, _| {
            let ends_stream = matches!(frame.frame_type, frame_type::DATA | frame_type::HEADERS)
                && frame.flags & END_STREAM != 0;
            if ends_stream
                && let Some(progress @ RequestProgress::Incomplete) = streams.get_mut(&frame.stream)
            {
                *progress = RequestProgress::Written;
            }
        });
    }

    /// Observes bytes that were read from the socket.
    pub fn on_received(&mut self, bytes: &[u8]) {
        let FrameTracker { received, streams, settings_received, last_stream, .. } = self;
        received.decode(bytes, |frame, prefix| {
            let read_u32 = |offset: usize| {
                let bytes = prefix.get(offset..offset + 4).and_then(|bytes| bytes.try_into().ok());
                bytes.map(u32::from_be_bytes)
            };
            match frame.frame_type {
                frame_type::SETTINGS => *settings_received = true,
                frame_type::RST_STREAM if read_u32(0) == Some(REFUSED_STREAM) => {
                    if let Some(progress) = streams.get_mut(&frame.stream) {
                        *progress = RequestProgress::Refused;
                    }
                }
                frame_type::GOAWAY => {
                    let Some(stream) = read_u32(0).map(|stream| stream & 0x7fff_ffff) else { return };
                    // A later GOAWAY frame may only lower the last stream, since requests on higher streams
                    // may already have been retried on another host.
                    let lowest = last_stream.map_or(stream, |previous| stream.min(previous));
                    *last_stream = Some(lowest);
                    streams
                        .range_mut(lowest.saturating_add(1)..)
                        .for_each(|(_, progress)| *progress = RequestProgress::Refused);
                }
                _ => {}
            }
        });
    }
}
