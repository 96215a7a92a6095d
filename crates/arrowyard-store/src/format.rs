//! The file format of a snapshot: a header of magic bytes, format version, minimum reader version, length
//! and checksum, followed by protobuf. No I/O.

use prost::Message;

/// The magic bytes at the start of a file.
const MAGIC: [u8; 4] = *b"AYST";
/// The format version that is written.
const FORMAT_VERSION: u16 = 2;
/// The oldest format version that is read, and the oldest reader that understands the written format.
const MIN_FORMAT_VERSION: u16 = 1;
/// Magic, format version, minimum reader version, length, checksum.
const HEADER_BYTES: usize = 4 + 2 + 2 + 4 + 4;
/// Maximum size of a file; sufficient for 100,000 hosts.
pub const MAX_FILE_BYTES: usize = 16 * 1024 * 1024;

/// The last known state of a host.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Host {
    #[prost(string, tag = "1")]
    pub name: String,
    /// The address and port; empty if unknown.
    #[prost(string, tag = "2")]
    pub dial: String,
    /// The name of the host's zone.
    #[prost(string, tag = "3")]
    pub site: String,
    #[prost(int64, tag = "4")]
    pub group: i64,
    /// The relative capacity, as in discovery's list.
    #[prost(double, tag = "5")]
    pub size: f64,
    /// The start of the host in Unix milliseconds; 0 if it started long ago.
    #[prost(double, tag = "6")]
    pub born_ms: f64,
    /// The host was draining.
    #[prost(bool, tag = "7")]
    pub draining: bool,
    /// The host was a primary when the snapshot was written.
    #[prost(bool, tag = "8")]
    pub was_primary: bool,
}

/// A host list, and which router wrote it when.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Snapshot {
    /// A hash that identifies the deployment.
    #[prost(fixed64, tag = "1")]
    pub deployment: u64,
    /// The name of the router that wrote the snapshot.
    #[prost(string, tag = "2")]
    pub router: String,
    /// When the snapshot was written, in Unix milliseconds.
    #[prost(uint64, tag = "3")]
    pub written_ms: u64,
    /// Increases with each written snapshot.
    #[prost(uint64, tag = "4")]
    pub number: u64,
    /// The version of discovery's list.
    #[prost(int64, tag = "5")]
    pub version: i64,
    #[prost(message, repeated, tag = "6")]
    pub hosts: Vec<Host>,
}

/// The state of the file of a generation.
#[derive(Clone, Debug, PartialEq)]
pub enum GenerationState {
    Valid(Snapshot),
    Missing,
    /// A directory, or anything else that is not a regular file.
    NoFile,
    /// The router lacks the permission to read it.
    NoRights,
    /// Any other read error, with its message.
    Unreadable(String),
    Empty,
    /// Larger than `MAX_FILE_BYTES`, with its size.
    Huge(u64),
    /// Shorter than the header, or than the length in the header.
    Truncated,
    /// The magic bytes, the checksum or the content is invalid.
    Garbled,
    /// Of a later format version that requires a newer reader.
    Newer(u16),
    /// Of a format version that is no longer supported.
    Older(u16),
    /// Of another deployment.
    Foreign,
    /// Written this many milliseconds in the future, beyond the accepted clock skew.
    Future(u64),
}

/// Encodes a snapshot as the bytes of a file.
#[must_use]
pub fn encode(snapshot: &Snapshot) -> Vec<u8> {
    let body = snapshot.encode_to_vec();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend(MAGIC);
    bytes.extend(FORMAT_VERSION.to_le_bytes());
    bytes.extend(MIN_FORMAT_VERSION.to_le_bytes());
    bytes.extend((body.len() as u32).to_le_bytes());
    bytes.extend(checksum(&bytes, &body).to_le_bytes());
    bytes.extend(body);
    bytes
}

/// The checksum of header and body. It covers the header, so that a flipped bit in the version or the length
/// is detected.
fn checksum(header: &[u8], body: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(header), body)
}

/// Decodes and validates a file. `deployment` is the expected deployment, or `None` for any; `now_ms` is the
/// current Unix time, and `max_skew_ms` the accepted clock skew.
#[must_use]
pub fn decode(bytes: &[u8], deployment: Option<u64>, now_ms: u64, max_skew_ms: u64) -> GenerationState {
    if bytes.is_empty() {
        return GenerationState::Empty;
    }
    if bytes.len() > MAX_FILE_BYTES {
        return GenerationState::Huge(bytes.len() as u64);
    }
    let Some((header, body)) = bytes.split_first_chunk::<HEADER_BYTES>() else {
        return GenerationState::Truncated;
    };
    if header[..4] != MAGIC {
        return GenerationState::Garbled;
    }
    let read_u16 = |at: usize| u16::from_le_bytes([header[at], header[at + 1]]);
    let read_u32 =
        |at: usize| u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
    let (format_version, min_reader_version, length, stored_checksum) =
        (read_u16(4), read_u16(6), read_u32(8) as usize, read_u32(12));
    if body.len() < length {
        return GenerationState::Truncated;
    }
    if body.len() > length || checksum(&header[..12], body) != stored_checksum {
        return GenerationState::Garbled;
    }
    if min_reader_version > FORMAT_VERSION {
        return GenerationState::Newer(format_version);
    }
    if format_version < MIN_FORMAT_VERSION {
        return GenerationState::Older(format_version);
    }
    let Ok(snapshot) = Snapshot::decode(body) else { return GenerationState::Garbled };
    if deployment.is_some_and(|deployment| snapshot.deployment != deployment) {
        return GenerationState::Foreign;
    }
    if snapshot.written_ms > now_ms + max_skew_ms {
        return GenerationState::Future(snapshot.written_ms - now_ms);
    }
    GenerationState::Valid(snapshot)
}
