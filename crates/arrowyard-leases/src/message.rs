//! Encoding of messages as datagrams: a CRC-32C followed by protobuf, marked with a hash of the fleet, the
//! voter set and the lease term. Datagrams of another group are dropped: the voter set is fixed while
//! routers run, and participants with different terms would not honour each other's grants.

use arrowyard_types::{TimeDelta, Timestamp};
use prost::Message as _;

use crate::config::{CandidateId, Epoch, LeaseId, VoterId};
use crate::{LeaseEpoch, Message, Verdict};

/// Format version written to datagrams.
const FORMAT_VERSION: u32 = 1;
/// Maximum size of a datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
const CHECKSUM_BYTES: usize = 4;

/// A lease in a message, with the voter's decision in a response.
#[derive(Clone, PartialEq, prost::Message)]
struct LeaseRow {
    #[prost(fixed64, tag = "1")]
    lease: u64,
    #[prost(uint64, tag = "2")]
    epoch: u64,
    /// In a response: 1 granted, 2 held, 3 stale epoch, 4 abstained, 5 at capacity.
    #[prost(uint32, tag = "3")]
    verdict: u32,
    /// In a response about a held lease: the remaining time.
    #[prost(uint64, tag = "4")]
    left_us: u64,
}

/// The encoded form of all kinds of messages; fields that a kind does not use have their defaults.
#[derive(Clone, PartialEq, prost::Message)]
struct Datagram {
    #[prost(uint32, tag = "1")]
    format_version: u32,
    /// See [`group_id`].
    #[prost(fixed64, tag = "2")]
    group: u64,
    /// 1 request, 2 release, 3 response, 4 available, 5 recovery request, 6 recovery response.
    #[prost(uint32, tag = "3")]
    kind: u32,
    /// In a recovery request: the nonce.
    #[prost(fixed64, tag = "4")]
    candidate: u64,
    #[prost(uint32, tag = "5")]
    voter: u32,
    /// In a recovery response: `requested_by`.
    #[prost(uint64, tag = "6")]
    round: u64,
    #[prost(int64, tag = "7")]
    clock_us: i64,
    /// In a recovery response: `last_known`.
    #[prost(uint64, tag = "8")]
    incarnation: u64,
    #[prost(uint64, tag = "9")]
    highest_epoch: u64,
    /// In a recovery response: `is_complete`; in a release: `held`.
    #[prost(bool, tag = "10")]
    is_complete_or_held: bool,
    #[prost(message, repeated, tag = "11")]
    rows: Vec<LeaseRow>,
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    TooLarge,
    /// Its checksum does not match, or its contents are invalid.
    Garbled,
    /// Of a later format version.
    Newer,
    /// Of another fleet, voter set or lease term.
    Foreign,
}

/// Identifies the participants that may exchange messages: a hash of the fleet's name, the voters' names in
/// order, the lease term and the drift bound.
#[must_use]
pub fn group_id(fleet: &str, voters: &[String], term: TimeDelta, drift_ppm: u32) -> u64 {
    let text = format!("{fleet}\n{}\n{}\n{drift_ppm}", voters.join("\n"), term.micros());
    crate::lease_id(&text).0
}

fn decode_leases(rows: &[LeaseRow]) -> Vec<LeaseEpoch> {
    rows.iter().map(|row| LeaseEpoch { lease: LeaseId(row.lease), epoch: Epoch(row.epoch) }).collect()
}

fn lease_rows(leases: &[LeaseEpoch]) -> Vec<LeaseRow> {
    let row = |requested: &LeaseEpoch| LeaseRow {
        lease: requested.lease.0,
        epoch: requested.epoch.0,
        ..LeaseRow::default()
    };
    leases.iter().map(row).collect()
}

/// Encodes a message for this group.
#[must_use]
pub fn encode(message: &Message, group: u64) -> Vec<u8> {
    let mut datagram = Datagram { format_version: FORMAT_VERSION, group, ..Datagram::default() };
    match message {
        Message::Request { from, round, leases } | Message::Release { from, round, leases, .. } => {
            datagram.kind = if matches!(message, Message::Request { .. }) { 1 } else { 2 };
            datagram.is_complete_or_held = matches!(message, Message::Release { held: true, .. });
            (datagram.candidate, datagram.round, datagram.rows) = (from.0, *round, lease_rows(leases));
        }
        Message::Response { from, round, clock, verdicts } => {
            (datagram.kind, datagram.voter, datagram.round, datagram.clock_us) =
                (3, from.0.into(), *round, clock.micros());
            datagram.rows = verdicts
                .iter()
                .map(|(lease, verdict)| {
                    let (kind, epoch, remaining) = match *verdict {
                        Verdict::Granted(epoch) => (1, epoch, TimeDelta::ZERO),
                        Verdict::Held { epoch, remaining } => (2, epoch, remaining),
                        Verdict::StaleEpoch(epoch) => (3, epoch, TimeDelta::ZERO),
                        Verdict::Abstained => (4, Epoch(0), TimeDelta::ZERO),
                        Verdict::AtCapacity => (5, Epoch(0), TimeDelta::ZERO),
                    };
                    let left_us = remaining.micros().max(0) as u64;
                    LeaseRow { lease: lease.0, epoch: epoch.0, verdict: kind, left_us }
                })
                .collect();
        }
        Message::Available { from, lease, epoch } => {
            (datagram.kind, datagram.voter) = (4, from.0.into());
            datagram.rows = lease_rows(&[LeaseEpoch { lease: *lease, epoch: *epoch }]);
        }
        Message::RecoveryRequest { from, incarnation, nonce } => {
            (datagram.kind, datagram.voter, datagram.incarnation, datagram.candidate) =
                (5, from.0.into(), *incarnation, *nonce);
        }
        Message::RecoveryResponse { from, requested_by, highest, last_known, is_complete } => {
            (datagram.kind, datagram.voter, datagram.incarnation, datagram.round) =
                (6, from.0.into(), *last_known, *requested_by);
            (datagram.highest_epoch, datagram.is_complete_or_held) = (highest.0, *is_complete);
        }
    }
    let body = datagram.encode_to_vec();
    let mut bytes = crc32c::crc32c(&body).to_le_bytes().to_vec();
    bytes.extend(body);
    bytes
}

/// Decodes and checks a datagram of this group.
///
/// # Errors
/// The datagram is too large, damaged, of a later format version, or of another group.
pub fn decode(bytes: &[u8], group: u64) -> Result<Message, DecodeError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DecodeError::TooLarge);
    }
    let (stored_checksum, body) = bytes.split_first_chunk::<CHECKSUM_BYTES>().ok_or(DecodeError::Garbled)?;
    if crc32c::crc32c(body) != u32::from_le_bytes(*stored_checksum) {
        return Err(DecodeError::Garbled);
    }
    let datagram = Datagram::decode(body).map_err(|_| DecodeError::Garbled)?;
    if datagram.format_version > FORMAT_VERSION {
        return Err(DecodeError::Newer);
    }
    if datagram.group != group {
        return Err(DecodeError::Foreign);
    }
    let from = CandidateId(datagram.candidate);
    let voter = u8::try_from(datagram.voter).map(VoterId).map_err(|_| DecodeError::Garbled)?;
    let round = datagram.round;
    Ok(match datagram.kind {
        1 => Message::Request { from, round, leases: decode_leases(&datagram.rows) },
        2 => Message::Release {
            from,
            round,
            held: datagram.is_complete_or_held,
            leases: decode_leases(&datagram.rows),
        },
        3 => {
            let verdict = |row: &LeaseRow| {
                let epoch = Epoch(row.epoch);
                let remaining = TimeDelta::from_micros(i64::try_from(row.left_us).unwrap_or(i64::MAX));
                let verdict = match row.verdict {
                    1 => Verdict::Granted(epoch),
                    2 => Verdict::Held { epoch, remaining },
                    3 => Verdict::StaleEpoch(epoch),
                    4 => Verdict::Abstained,
                    5 => Verdict::AtCapacity,
                    _ => return None,
                };
                Some((LeaseId(row.lease), verdict))
            };
            let verdicts = datagram.rows.iter().filter_map(verdict).collect();
            Message::Response {
                from: voter,
                round,
                clock: Timestamp::from_micros(datagram.clock_us),
                verdicts,
            }
        }
        4 => {
            let row = datagram.rows.first().ok_or(DecodeError::Garbled)?;
            Message::Available { from: voter, lease: LeaseId(row.lease), epoch: Epoch(row.epoch) }
        }
        5 => Message::RecoveryRequest {
            from: voter,
            incarnation: datagram.incarnation,
            nonce: datagram.candidate,
        },
        6 => {
            let highest = Epoch(datagram.highest_epoch);
            Message::RecoveryResponse {
                from: voter,
                requested_by: round,
                highest,
                last_known: datagram.incarnation,
                is_complete: datagram.is_complete_or_held,
            }
        }
        _ => return Err(DecodeError::Garbled),
    })
}
