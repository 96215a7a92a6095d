//! What the frames of an HTTP/2 connection to a host (RFC 9113) tell of a send, beside what a library makes of them:
//! whether the last byte of a request has left, and whether the host says that it never began on it. The bytes that
//! passed are shown here as the socket took or gave them; only heads of frames and a few bytes of two kinds are kept.

use std::collections::BTreeMap;

/// The opening words of a client's connection.
const PREFACE: usize = 24;
const HEAD: usize = 9;

mod kind {
    pub const DATA: u8 = 0;
    pub const HEADERS: u8 = 1;
    pub const RST_STREAM: u8 = 3;
    pub const SETTINGS: u8 = 4;
    pub const GOAWAY: u8 = 7;
}

const END_STREAM: u8 = 1;
const REFUSED_STREAM: u32 = 7;

/// The frame that passes just now.
#[derive(Clone, Copy, Debug, Default)]
struct Head {
    kind: u8,
    flags: u8,
    stream: u32,
    /// The bytes of it that are still to come.
    left: usize,
}

/// One direction of a connection, cut into frames.
#[derive(Clone, Debug, Default)]
struct Cutter {
    /// Bytes that are skipped before the next frame.
    skip: usize,
    head: [u8; HEAD],
    have: usize,
    frame: Option<Head>,
    /// The first bytes of its payload.
    start: [u8; 8],
    started: usize,
}

impl Cutter {
    /// Takes bytes as they pass; `end` is called with each frame that is whole.
    fn pass(&mut self, mut bytes: &[u8], mut end: impl FnMut(Head, &[u8])) {
        let skipped = self.skip.min(bytes.len());
        self.skip -= skipped;
        bytes = &bytes[skipped..];
        loop {
            if let Some(frame) = &mut self.frame {
                let now = frame.left.min(bytes.len());
                let kept = now.min(self.start.len() - self.started);
                self.start[self.started..self.started + kept].copy_from_slice(&bytes[..kept]);
                self.started += kept;
                frame.left -= now;
                bytes = &bytes[now..];
                if frame.left > 0 {
                    return;
                }
                end(*frame, &self.start[..self.started]);
                (self.frame, self.have, self.started) = (None, 0, 0);
            }
            if bytes.is_empty() {
                return;
            }
            let now = (HEAD - self.have).min(bytes.len());
            self.head[self.have..self.have + now].copy_from_slice(&bytes[..now]);
            self.have += now;
            bytes = &bytes[now..];
            if self.have < HEAD {
                return;
            }
            let [a, b, c, kind, flags, s0, s1, s2, s3] = self.head;
            let left = u32::from_be_bytes([0, a, b, c]) as usize;
            let stream = u32::from_be_bytes([s0, s1, s2, s3]) & 0x7fff_ffff;
            self.frame = Some(Head { kind, flags, stream, left });
        }
    }
}

/// How far a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// Its last byte has not left: on a connection that has ended it never will, and it never ran.
    InPart,
    /// It may have run.
    Wholly,
    /// The host says that it never began on it, and never will.
    Refused,
}

/// What is known of the streams of one connection that this router opened and watches.
#[derive(Clone, Debug)]
pub struct Frames {
    out: Cutter,
    back: Cutter,
    streams: BTreeMap<u32, Sent>,
    /// The host has told its settings: it is there, and speaks HTTP/2.
    settled: bool,
    /// The last stream that the host has begun on or will, once it is going away.
    last: Option<u32>,
}

impl Default for Frames {
    fn default() -> Self {
        let out = Cutter { skip: PREFACE, ..Cutter::default() };
        Frames { out, back: Cutter::default(), streams: BTreeMap::new(), settled: false, last: None }
    }
}

impl Frames {
    /// A stream that was opened just now, none of whose bytes has passed.
    pub fn watch(&mut self, stream: u32) {
        // Danger: a stream opened as the host went away was not begun on, and there is no frame to come that says so.
        let late = self.last.is_some_and(|last| stream > last);
        self.streams.insert(stream, if late { Sent::Refused } else { Sent::InPart });
    }

    /// How far it is, as the last word.
    pub fn forget(&mut self, stream: u32) -> Sent {
        self.streams.remove(&stream).unwrap_or(Sent::Wholly)
    }

    pub fn sent(&self, stream: u32) -> Sent {
        self.streams.get(&stream).copied().unwrap_or(Sent::Wholly)
    }

    pub fn settled(&self) -> bool {
        self.settled
    }

    /// Whether the host is going away: it begins on no new stream.
    pub fn going(&self) -> bool {
        self.last.is_some()
    }

    pub fn watched(&self) -> usize {
        self.streams.len()
    }

    /// Bytes that the socket took.
    pub fn out(&mut self, bytes: &[u8]) {
        let Frames { out, streams, .. } = self;
        out.pass(bytes, |frame, _| {
            let ends = matches!(frame.kind, kind::DATA | kind::HEADERS) && frame.flags & END_STREAM != 0;
            if ends && let Some(sent @ Sent::InPart) = streams.get_mut(&frame.stream) {
                *sent = Sent::Wholly;
            }
        });
    }

    /// Bytes that came.
    pub fn back(&mut self, bytes: &[u8]) {
        let Frames { back, streams, settled, last, .. } = self;
        back.pass(bytes, |frame, start| {
            let word = |at: usize| {
                let bytes = start.get(at..at + 4).and_then(|bytes| bytes.try_into().ok());
                bytes.map(u32::from_be_bytes)
            };
            match frame.kind {
                kind::SETTINGS => *settled = true,
                kind::RST_STREAM if word(0) == Some(REFUSED_STREAM) => {
                    if let Some(sent) = streams.get_mut(&frame.stream) {
                        *sent = Sent::Refused;
                    }
                }
                kind::GOAWAY => {
                    let Some(named) = word(0).map(|named| named & 0x7fff_ffff) else { return };
                    // Danger: a second word may only name fewer. One that names more would take back that streams in
                    // between never ran, and they were sent elsewhere since.
                    let named = last.map_or(named, |last| named.min(last));
                    *last = Some(named);
                    streams.range_mut(named.saturating_add(1)..).for_each(|(_, sent)| *sent = Sent::Refused);
                }
                _ => {}
            }
        });
    }
}
