//! The form of a file: a head with a mark, the form's number, a length and a checksum, then protobuf. No I/O.

use prost::Message;

/// What a file begins with, the form that is written, and the least form that is understood.
const MARK: [u8; 4] = *b"AYST";
const FORM: u16 = 2;
const LEAST: u16 = 1;
/// Mark, form, least form for a reader, length, checksum.
const HEAD: usize = 4 + 2 + 2 + 4 + 4;
/// Bytes of a file at most: 100,000 hosts fit.
pub const MAX_FILE_BYTES: usize = 16 * 1024 * 1024;

/// A host as it was last known.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Host {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub dial: String,
    #[prost(string, tag = "3")]
    pub site: String,
    #[prost(int64, tag = "4")]
    pub group: i64,
    #[prost(double, tag = "5")]
    pub size: f64,
    /// Unix milliseconds; 0 for long ago.
    #[prost(double, tag = "6")]
    pub born_ms: f64,
    /// It had begun to drain.
    #[prost(bool, tag = "7")]
    pub draining: bool,
    /// It was primary then, which says nothing of now.
    #[prost(bool, tag = "8")]
    pub was_primary: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Snapshot {
    /// Whose hosts these are: the deployment, as its settings mark it.
    #[prost(fixed64, tag = "1")]
    pub deployment: u64,
    /// Which router wrote it.
    #[prost(string, tag = "2")]
    pub router: String,
    #[prost(uint64, tag = "3")]
    pub written_ms: u64,
    /// Grows with each that is written.
    #[prost(uint64, tag = "4")]
    pub number: u64,
    /// Of discovery's list.
    #[prost(int64, tag = "5")]
    pub version: i64,
    #[prost(message, repeated, tag = "6")]
    pub hosts: Vec<Host>,
}

/// What was found where a generation should be.
#[derive(Clone, Debug, PartialEq)]
pub enum GenerationState {
    Valid(Snapshot),
    Missing,
    /// A folder, or something else that is no file.
    NoFile,
    NoRights,
    /// The system could not read it, and says why.
    Unreadable(String),
    Empty,
    Huge(u64),
    /// It ends before it should.
    Truncated,
    /// Its checksum, or what it holds, is wrong.
    Garbled,
    /// Of a later form that cannot be read here, or an earlier one that cannot any more.
    Newer(u16),
    Older(u16),
    /// Of another deployment.
    Foreign,
    /// Written later than now, beyond what clocks may differ: by so many milliseconds.
    Future(u64),
}

/// The bytes of a file.
#[must_use]
pub fn encode(snapshot: &Snapshot) -> Vec<u8> {
    let body = snapshot.encode_to_vec();
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.extend(MARK);
    bytes.extend(FORM.to_le_bytes());
    bytes.extend(LEAST.to_le_bytes());
    bytes.extend((body.len() as u32).to_le_bytes());
    bytes.extend(check(&bytes, &body).to_le_bytes());
    bytes.extend(body);
    bytes
}

/// Over the head, too: else one bit of the length or the form is read as another file.
fn check(head: &[u8], body: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(head), body)
}

/// What the bytes are, for this deployment (any, if none is said) at this time (Unix milliseconds); clocks may differ by `skew_ms`.
#[must_use]
pub fn decode(bytes: &[u8], deployment: Option<u64>, now_ms: u64, skew_ms: u64) -> GenerationState {
    if bytes.is_empty() {
        return GenerationState::Empty;
    }
    if bytes.len() > MAX_FILE_BYTES {
        return GenerationState::Huge(bytes.len() as u64);
    }
    let Some((head, body)) = bytes.split_first_chunk::<HEAD>() else { return GenerationState::Truncated };
    if head[..4] != MARK {
        return GenerationState::Garbled;
    }
    let two = |at: usize| u16::from_le_bytes([head[at], head[at + 1]]);
    let four = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    let (form, least, length, told) = (two(4), two(6), four(8) as usize, four(12));
    if body.len() < length {
        return GenerationState::Truncated;
    }
    if body.len() > length || check(&head[..12], body) != told {
        return GenerationState::Garbled;
    }
    if least > FORM {
        return GenerationState::Newer(form);
    }
    if form < LEAST {
        return GenerationState::Older(form);
    }
    let Ok(snapshot) = Snapshot::decode(body) else { return GenerationState::Garbled };
    if deployment.is_some_and(|deployment| snapshot.deployment != deployment) {
        return GenerationState::Foreign;
    }
    if snapshot.written_ms > now_ms + skew_ms {
        return GenerationState::Future(snapshot.written_ms - now_ms);
    }
    GenerationState::Valid(snapshot)
}
