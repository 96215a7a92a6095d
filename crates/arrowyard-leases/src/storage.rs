//! A voter's image as the bytes of a file: a mark, a form, a checksum over all, protobuf. Anything that is wrong with it means
//! that what was granted is lost, and which thing it is, is said.

use prost::Message;

use crate::config::{CandidateId, Epoch, LeaseId, VoterId};
use crate::voter::VoterSnapshot;

const MARK: [u8; 4] = *b"AYLV";
const FORM: u16 = 1;
const HEAD: usize = 4 + 2 + 4;
/// Bytes of a file at most.
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
struct LifeRow {
    #[prost(uint32, tag = "1")]
    voter: u32,
    #[prost(uint64, tag = "2")]
    life: u64,
    #[prost(fixed64, tag = "3")]
    start: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Kept {
    /// Whose votes these are.
    #[prost(fixed64, tag = "1")]
    group: u64,
    #[prost(string, tag = "2")]
    voter: String,
    #[prost(uint64, tag = "3")]
    life: u64,
    #[prost(uint64, tag = "4")]
    floor: u64,
    #[prost(bool, tag = "5")]
    whole: bool,
    #[prost(message, repeated, tag = "6")]
    votes: Vec<VoteRow>,
    #[prost(message, repeated, tag = "7")]
    lives: Vec<LifeRow>,
}

/// Why a file is of no use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadError {
    Truncated,
    Garbled,
    Newer,
    /// Of another fleet, of other voters, or of another one of them.
    Foreign,
}

fn check(bytes: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&bytes[..6]), &bytes[HEAD..])
}

#[must_use]
pub fn encode(image: &VoterSnapshot, group: u64, voter: &str) -> Vec<u8> {
    let vote = |&(lease, epoch, holder): &(LeaseId, Epoch, CandidateId)| VoteRow {
        lease: lease.0,
        epoch: epoch.0,
        holder: holder.0,
    };
    let life = |&(voter, life, start): &(VoterId, u64, u64)| LifeRow { voter: voter.0.into(), life, start };
    let kept = Kept {
        group,
        voter: voter.to_string(),
        life: image.incarnation,
        floor: image.epoch_floor.0,
        whole: image.is_complete,
        votes: image.votes.iter().map(vote).collect(),
        lives: image.incarnations.iter().map(life).collect(),
    };
    let mut bytes = MARK.to_vec();
    bytes.extend(FORM.to_le_bytes());
    bytes.extend([0; 4]);
    bytes.extend(kept.encode_to_vec());
    let check = check(&bytes);
    bytes[6..HEAD].copy_from_slice(&check.to_le_bytes());
    bytes
}

/// # Errors
/// Why it is of no use.
pub fn decode(bytes: &[u8], group: u64, voter: &str) -> Result<VoterSnapshot, LoadError> {
    let Some((head, body)) = bytes.split_first_chunk::<HEAD>() else { return Err(LoadError::Truncated) };
    let told = u32::from_le_bytes([head[6], head[7], head[8], head[9]]);
    if head[..4] != MARK || check(bytes) != told {
        return Err(LoadError::Garbled);
    }
    if u16::from_le_bytes([head[4], head[5]]) > FORM {
        return Err(LoadError::Newer);
    }
    let kept = Kept::decode(body).map_err(|_| LoadError::Garbled)?;
    if kept.group != group || kept.voter != voter {
        return Err(LoadError::Foreign);
    }
    let votes = kept.votes.iter().map(|row| (LeaseId(row.lease), Epoch(row.epoch), CandidateId(row.holder)));
    let lives = kept
        .lives
        .iter()
        .filter_map(|row| Some((VoterId(u8::try_from(row.voter).ok()?), row.life, row.start)));
    Ok(VoterSnapshot {
        incarnation: kept.life,
        epoch_floor: Epoch(kept.floor),
        is_complete: kept.whole,
        votes: votes.collect(),
        incarnations: lives.collect(),
    })
}
