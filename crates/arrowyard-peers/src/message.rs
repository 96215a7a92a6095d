//! Datagrams between members, encoded as protobuf. Each states its format version and the lowest version
//! that its reader has to understand; unknown fields are skipped. Tag 100 is reserved for an authenticator.

use std::net::SocketAddr;

use prost::Message;

/// The version that is written, and the latest one that is understood.
pub const FORMAT_VERSION: u32 = 1;
/// Maximum length of a member's name.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum size of a message of the decision module.
pub const MAX_APP_MESSAGE_BYTES: usize = 256;

/// Kind of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Kind {
    None = 0,
    Ping = 1,
    Ack = 2,
    /// Asks a helper to ping a member.
    IndirectPing = 3,
    /// The helper received no ack from the member.
    Nack = 4,
    /// Carries rumors only.
    Gossip = 5,
    /// A digest of the view, for comparison.
    Digest = 6,
    /// Rows of the view.
    Page = 7,
    /// A message of the decision module.
    AppMessage = 8,
}

/// What a rumor claims about a member, from weakest to strongest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Claim {
    None = 0,
    Alive = 1,
    Suspect = 2,
    Lost = 3,
    Dead = 4,
    Left = 5,
}

/// A claim about a member that is passed on. It applies to the stated incarnation only.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Rumor {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    #[prost(enumeration = "Claim", tag = "3")]
    pub claim: i32,
    #[prost(string, tag = "4")]
    pub address: String,
    /// Identifies the process that holds the name.
    #[prost(fixed64, tag = "5")]
    pub nonce: u64,
    /// Members that know it first-hand, at most three.
    #[prost(string, repeated, tag = "6")]
    pub reporters: Vec<String>,
    /// The member's port refused a datagram: no process listens there.
    #[prost(bool, tag = "7")]
    pub refused: bool,
    /// The member is alive but serves no ops.
    #[prost(bool, tag = "8")]
    pub idle: bool,
    /// With the claim that the member is alive: milliseconds since the reporter heard from it.
    #[prost(uint32, tag = "9")]
    pub age_ms: u32,
}

/// A datagram: the sender's own state, piggybacked rumors, and the fields of its kind.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Datagram {
    #[prost(uint32, tag = "1")]
    pub version: u32,
    #[prost(uint32, tag = "2")]
    pub min_version: u32,
    #[prost(fixed64, tag = "3")]
    pub fleet_hash: u64,
    #[prost(string, tag = "4")]
    pub from: String,
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    #[prost(fixed64, tag = "6")]
    pub nonce: u64,
    #[prost(string, tag = "7")]
    pub address: String,
    #[prost(enumeration = "Kind", tag = "8")]
    pub kind: i32,
    /// Sequence number of a probe, repeated in its ack.
    #[prost(fixed64, tag = "9")]
    pub seq: u64,
    /// The member that a helper has to ping, or has pinged.
    #[prost(string, tag = "10")]
    pub subject: String,
    #[prost(message, repeated, tag = "11")]
    pub rumors: Vec<Rumor>,
    /// Digest of the view, by partition of the names.
    #[prost(fixed64, repeated, tag = "12")]
    pub digest: Vec<u64>,
    /// The sender requests a digest in return.
    #[prost(bool, tag = "13")]
    pub wants_reply: bool,
    #[prost(bytes = "vec", tag = "14")]
    pub app_message: Vec<u8>,
    /// The sender is alive but serves no ops.
    #[prost(bool, tag = "15")]
    pub idle: bool,
    /// The sender is shutting down as planned.
    #[prost(bool, tag = "16")]
    pub leaving: bool,
    /// Send time in microseconds of the sender's clock, strictly increasing. It identifies replayed,
    /// duplicated and delayed datagrams.
    #[prost(uint64, tag = "17")]
    pub sent_us: u64,
}

/// Number of partitions of a view's digest.
pub const DIGEST_PARTS: usize = 16;

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    TooLarge,
    Malformed,
    /// It requires a later format version.
    UnsupportedVersion,
    OtherFleet,
    /// Its source, or the address it advertises, is outside the allowed networks.
    DisallowedAddress,
}

fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && !name.chars().any(char::is_control)
}

/// Size of the checksum at the start of a datagram: CRC-32C of the rest, little-endian. UDP's 16-bit
/// checksum misses some bit errors, and one of them can forge a rumor with a higher incarnation.
pub const CHECKSUM_BYTES: usize = 4;

/// Encodes a datagram.
#[must_use]
pub fn encode(datagram: &Datagram) -> Vec<u8> {
    let mut bytes = vec![0; CHECKSUM_BYTES];
    bytes.reserve(datagram.encoded_len());
    datagram.encode(&mut bytes).expect("encoding into a Vec cannot fail");
    let checksum = crc32c::crc32c(&bytes[CHECKSUM_BYTES..]);
    bytes[..CHECKSUM_BYTES].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Decodes and validates a datagram of at most `max_bytes`.
///
/// # Errors
/// Why the datagram is dropped.
pub fn decode(bytes: &[u8], max_bytes: usize, fleet_hash: u64) -> Result<Datagram, DropReason> {
    if bytes.len() > max_bytes {
        return Err(DropReason::TooLarge);
    }
    let (checksum, rest) = bytes.split_first_chunk::<CHECKSUM_BYTES>().ok_or(DropReason::Malformed)?;
    if u32::from_le_bytes(*checksum) != crc32c::crc32c(rest) {
        return Err(DropReason::Malformed);
    }
    let datagram = Datagram::decode(rest).map_err(|_| DropReason::Malformed)?;
    if datagram.min_version > FORMAT_VERSION {
        return Err(DropReason::UnsupportedVersion);
    }
    if datagram.fleet_hash != fleet_hash {
        return Err(DropReason::OtherFleet);
    }
    let is_valid_rumor = |rumor: &Rumor| {
        is_valid_name(&rumor.name)
            && rumor.incarnation > 0
            && rumor.claim() != Claim::None
            && rumor.reporters.len() <= 3
            && rumor.reporters.iter().all(|reporter| is_valid_name(reporter))
            && rumor.address.parse::<SocketAddr>().is_ok()
    };
    let valid = datagram.version > 0
        && is_valid_name(&datagram.from)
        && datagram.incarnation > 0
        && datagram.kind() != Kind::None
        && (datagram.subject.is_empty() || is_valid_name(&datagram.subject))
        && matches!(datagram.digest.len(), 0 | DIGEST_PARTS)
        && datagram.app_message.len() <= MAX_APP_MESSAGE_BYTES
        && datagram.address.parse::<SocketAddr>().is_ok()
        && datagram.rumors.iter().all(is_valid_rumor);
    if valid { Ok(datagram) } else { Err(DropReason::Malformed) }
}

/// 64-bit FNV-1a hash of a name.
#[must_use]
pub fn hash_name(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Finalizer of SplitMix64.
#[must_use]
pub fn mix_bits(mut number: u64) -> u64 {
    number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
