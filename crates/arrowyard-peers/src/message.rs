//! What members send each other: one form of datagram, in protobuf's encoding. A datagram says which form it has and
//! which form its reader has to know at least; fields of later forms are passed over. Tag 100 is kept for a seal.

use std::net::SocketAddr;

use prost::Message;

/// The form that is written, and the latest that is understood.
pub const FORMAT_VERSION: u32 = 1;
/// Bytes of a name.
pub const MAX_NAME_BYTES: usize = 64;
/// Bytes of what the module tells others.
pub const MAX_APP_MESSAGE_BYTES: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Kind {
    None = 0,
    Ping = 1,
    Ack = 2,
    /// Asks a helper to ask a member.
    IndirectPing = 3,
    /// A helper could not reach it either.
    Nack = 4,
    /// News only.
    Gossip = 5,
    /// A digest of the view, to be compared.
    Digest = 6,
    /// Rows of the view.
    Page = 7,
    /// What the decision module tells the others.
    AppMessage = 8,
}

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

/// A word about a member. It counts for this life of it only.
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
    /// Which process has the name: drawn at its start.
    #[prost(fixed64, tag = "5")]
    pub nonce: u64,
    /// Who says so of their own knowledge, three at most.
    #[prost(string, repeated, tag = "6")]
    pub reporters: Vec<String>,
    /// Its machine refused a datagram there: nobody listens.
    #[prost(bool, tag = "7")]
    pub refused: bool,
    /// It lives, and serves nobody.
    #[prost(bool, tag = "8")]
    pub idle: bool,
    /// Of a word that it lives by another's ears: how many milliseconds ago it was heard.
    #[prost(uint32, tag = "9")]
    pub age_ms: u32,
}

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
    /// Of a question, repeated in its answer: an answer from before proves nothing.
    #[prost(fixed64, tag = "9")]
    pub seq: u64,
    /// Whom a helper is to ask, or has asked.
    #[prost(string, tag = "10")]
    pub subject: String,
    #[prost(message, repeated, tag = "11")]
    pub rumors: Vec<Rumor>,
    /// Of the view, by parts of the names.
    #[prost(fixed64, repeated, tag = "12")]
    pub digest: Vec<u64>,
    /// The sender wants pages back, too.
    #[prost(bool, tag = "13")]
    pub wants_reply: bool,
    #[prost(bytes = "vec", tag = "14")]
    pub app_message: Vec<u8>,
    /// The sender lives, and serves nobody.
    #[prost(bool, tag = "15")]
    pub idle: bool,
    /// The sender is ending as planned.
    #[prost(bool, tag = "16")]
    pub leaving: bool,
    /// When it was sent, in microseconds of the sender's own clock, never twice the same: what is replayed, doubled or
    /// held up on the way is told by it.
    #[prost(uint64, tag = "17")]
    pub sent_us: u64,
}

/// Parts that a view's digest has.
pub const DIGEST_PARTS: usize = 16;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    TooLarge,
    Malformed,
    /// It needs a later form.
    UnsupportedVersion,
    OtherFleet,
    /// From outside the allowed ranges, or it names an address there.
    DisallowedAddress,
}

fn name_ok(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && !name.chars().any(char::is_control)
}

/// Bytes of the checksum that a datagram begins with (CRC-32C of the rest, the lowest byte first). Danger: one bit that
/// changed on the way makes a word about a later life of another name; the network's own check of 16 bits lets some through.
pub const CHECKSUM_BYTES: usize = 4;

/// The bytes of a datagram.
#[must_use]
pub fn encode(datagram: &Datagram) -> Vec<u8> {
    let mut bytes = vec![0; CHECKSUM_BYTES];
    bytes.reserve(datagram.encoded_len());
    datagram.encode(&mut bytes).expect("a vector has room");
    let check = crc32c::crc32c(&bytes[CHECKSUM_BYTES..]);
    bytes[..CHECKSUM_BYTES].copy_from_slice(&check.to_le_bytes());
    bytes
}

/// Reads what came; lengths are checked before anything of it is kept.
///
/// # Errors
/// Why it is dropped.
pub fn decode(bytes: &[u8], most: usize, fleet: u64) -> Result<Datagram, DropReason> {
    if bytes.len() > most {
        return Err(DropReason::TooLarge);
    }
    let (check, rest) = bytes.split_first_chunk::<CHECKSUM_BYTES>().ok_or(DropReason::Malformed)?;
    if u32::from_le_bytes(*check) != crc32c::crc32c(rest) {
        return Err(DropReason::Malformed);
    }
    let datagram = Datagram::decode(rest).map_err(|_| DropReason::Malformed)?;
    if datagram.min_version > FORMAT_VERSION {
        return Err(DropReason::UnsupportedVersion);
    }
    if datagram.fleet_hash != fleet {
        return Err(DropReason::OtherFleet);
    }
    let rumor_ok = |rumor: &Rumor| {
        name_ok(&rumor.name)
            && rumor.incarnation > 0
            && rumor.claim() != Claim::None
            && rumor.reporters.len() <= 3
            && rumor.reporters.iter().all(|by| name_ok(by))
            && rumor.address.parse::<SocketAddr>().is_ok()
    };
    let whole = datagram.version > 0
        && name_ok(&datagram.from)
        && datagram.incarnation > 0
        && datagram.kind() != Kind::None
        && (datagram.subject.is_empty() || name_ok(&datagram.subject))
        && matches!(datagram.digest.len(), 0 | DIGEST_PARTS)
        && datagram.app_message.len() <= MAX_APP_MESSAGE_BYTES
        && datagram.address.parse::<SocketAddr>().is_ok()
        && datagram.rumors.iter().all(rumor_ok);
    if whole { Ok(datagram) } else { Err(DropReason::Malformed) }
}

/// The mark of a fleet's name (FNV-1a, 64 bits), and of other texts.
#[must_use]
pub fn hash_name(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Scatters a number (the finaliser of SplitMix64).
#[must_use]
pub fn mix_bits(mut number: u64) -> u64 {
    number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
