//! File format of a voter's snapshot: magic bytes, format version, checksum and protobuf. A file that cannot
//! be decoded means that the voter has lost its votes; the error says why.

use prost::Message;

use crate::config::{CandidateId, Epoch, LeaseId, VoterId};
use crate::voter::VoterSnapshot;

const MAGIC: [u8; 4] = *b"AYLV";
const FORMAT_VERSION: u16 = 1;
/// Magic, format version, checksum.
const HEADER_BYTES: usize = 4 + 2 + 4;
/// Maximum size of a file.
pub const MAX_FILE_BYTES: usize = 4 * 1024 * 1024;

#[derive(Clone, PartialEq, prost::Message)]
struct VoteRow {
    #[prost(fixed64, tag = "1")]
    lease: u64,
    #[prost(uint64, tag = "2")]
    epoch: u64,
    #[prost(fixed64, tag = "3")]
    holder: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct IncarnationRow {
    #[prost(uint32, tag = "1")]
    voter: u32,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(fixed64, tag = "3")]
    nonce: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct VoterFile {
    /// The group that the votes belong to.
    #[prost(fixed64, tag = "1")]
    group: u64,
    #[prost(string, tag = "2")]
    voter: String,
    #[prost(uint64, tag = "3")]
    incarnation: u64,
    #[prost(uint64, tag = "4")]
    epoch_floor: u64,
    #[prost(bool, tag = "5")]
    is_complete: bool,
    #[prost(message, repeated, tag = "6")]
    votes: Vec<VoteRow>,
    #[prost(message, repeated, tag = "7")]
    incarnations: Vec<IncarnationRow>,
}

/// Why a file cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadError {
    Truncated,
    /// Its magic bytes or checksum do not match, or its contents are invalid.
    Garbled,
    /// Of a later format version.
    Newer,
    /// Of another fleet, voter set or voter.
    Foreign,
}

/// The checksum of everything but the checksum field.
fn checksum(bytes: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&bytes[..6]), &bytes[HEADER_BYTES..])
}

/// Encodes a voter's snapshot as the bytes of its file.
#[must_use]
pub fn encode(snapshot: &VoterSnapshot, group: u64, voter: &str) -> Vec<u8> {
    let vote = |&(lease, epoch, holder): &(LeaseId, Epoch, CandidateId)| VoteRow {
        lease: lease.0,
        epoch: epoch.0,
        holder: holder.0,
    };
    let incarnation_row = |&(voter, incarnation, nonce): &(VoterId, u64, u64)| IncarnationRow {
        voter: voter.0.into(),
        incarnation,
        nonce,
    };
    let file = VoterFile {
        group,
        voter: voter.to_string(),
        incarnation: snapshot.incarnation,
        epoch_floor: snapshot.epoch_floor.0,
        is_complete: snapshot.is_complete,
        votes: snapshot.votes.iter().map(vote).collect(),
        incarnations: snapshot.incarnations.iter().map(incarnation_row).collect(),
    };
    let mut bytes = MAGIC.to_vec();
    bytes.extend(FORMAT_VERSION.to_le_bytes());
    bytes.extend([0; 4]);
    bytes.extend(file.encode_to_vec());
    let checksum = checksum(&bytes);
    bytes[6..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Decodes the file of this voter of this group.
///
/// # Errors
/// The file is damaged, of a later format version, or of another voter or group.
pub fn decode(bytes: &[u8], group: u64, voter: &str) -> Result<VoterSnapshot, LoadError> {
    let Some((header, body)) = bytes.split_first_chunk::<HEADER_BYTES>() else {
        return Err(LoadError::Truncated);
    };
    let stored_checksum = u32::from_le_bytes([header[6], header[7], header[8], header[9]]);
    if header[..4] != MAGIC || checksum(bytes) != stored_checksum {
        return Err(LoadError::Garbled);
    }
    if u16::from_le_bytes([header[4], header[5]]) > FORMAT_VERSION {
        return Err(LoadError::Newer);
    }
    let file = VoterFile::decode(body).map_err(|_| LoadError::Garbled)?;
    if file.group != group || file.voter != voter {
        return Err(LoadError::Foreign);
    }
    let votes = file.votes.iter().map(|row| (LeaseId(row.lease), Epoch(row.epoch), CandidateId(row.holder)));
    let incarnations = file
        .incarnations
        .iter()
        .filter_map(|row| Some((VoterId(u8::try_from(row.voter).ok()?), row.incarnation, row.nonce)));
    Ok(VoterSnapshot {
        incarnation: file.incarnation,
        epoch_floor: Epoch(file.epoch_floor),
        is_complete: file.is_complete,
        votes: votes.collect(),
        incarnations: incarnations.collect(),
    })
}
