//! Words as datagrams: protobuf's encoding behind a CRC-32C, marked with the fleet, the voters and the term. A datagram of
//! other voters or another term is dropped: voters are not changed while routers run (see the note), and two that count with
//! different terms would not keep each other's promises.

use arrowyard_types::{TimeDelta, Timestamp};
use prost::Message as _;

use crate::config::{CandidateId, Epoch, LeaseId, VoterId};
use crate::{LeaseEpoch, Message, Verdict};

/// The form that is written, and bytes of a datagram at most.
const FORM: u32 = 1;
pub const MAX_DATAGRAM_BYTES: usize = 1200;
const CHECK: usize = 4;

#[derive(Clone, PartialEq, prost::Message)]
struct Row {
    #[prost(fixed64, tag = "1")]
    lease: u64,
    #[prost(uint64, tag = "2")]
    epoch: u64,
    /// Of an answer: 1 granted, 2 held, 3 old, 4 abstains, 5 full.
    #[prost(uint32, tag = "3")]
    verdict: u32,
    #[prost(uint64, tag = "4")]
    left_us: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Form {
    #[prost(uint32, tag = "1")]
    form: u32,
    /// Of the fleet's name, the voters' names and the term, together.
    #[prost(fixed64, tag = "2")]
    group: u64,
    /// 1 ask, 2 free, 3 answer, 4 vacant, 5 learn, 6 learnt.
    #[prost(uint32, tag = "3")]
    kind: u32,
    #[prost(fixed64, tag = "4")]
    candidate: u64,
    #[prost(uint32, tag = "5")]
    voter: u32,
    #[prost(uint64, tag = "6")]
    round: u64,
    #[prost(int64, tag = "7")]
    clock_us: i64,
    #[prost(uint64, tag = "8")]
    life: u64,
    #[prost(uint64, tag = "9")]
    highest: u64,
    /// Of a voter that has its store; of what is given back, that it was held.
    #[prost(bool, tag = "10")]
    whole: bool,
    #[prost(message, repeated, tag = "11")]
    rows: Vec<Row>,
}

/// Why a datagram is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    TooLarge,
    Garbled,
    /// Of a later form.
    Newer,
    /// Of another fleet, other voters or another term.
    Foreign,
}

/// What a fleet's datagrams are marked with: its name, its voters and the term that they count with.
#[must_use]
pub fn group_id(fleet: &str, voters: &[String], term: TimeDelta, drift_ppm: u32) -> u64 {
    let text = format!("{fleet}\n{}\n{}\n{drift_ppm}", voters.join("\n"), term.micros());
    crate::lease_id(&text).0
}

fn wants(rows: &[Row]) -> Vec<LeaseEpoch> {
    rows.iter().map(|row| LeaseEpoch { lease: LeaseId(row.lease), epoch: Epoch(row.epoch) }).collect()
}

fn rows(wants: &[LeaseEpoch]) -> Vec<Row> {
    let row = |want: &LeaseEpoch| Row { lease: want.lease.0, epoch: want.epoch.0, ..Row::default() };
    wants.iter().map(row).collect()
}

#[must_use]
pub fn encode(word: &Message, group: u64) -> Vec<u8> {
    let mut form = Form { form: FORM, group, ..Form::default() };
    match word {
        Message::Request { from, round, leases } | Message::Release { from, round, leases, .. } => {
            form.kind = if matches!(word, Message::Request { .. }) { 1 } else { 2 };
            form.whole = matches!(word, Message::Release { held: true, .. });
            (form.candidate, form.round, form.rows) = (from.0, *round, rows(leases));
        }
        Message::Response { from, round, clock, verdicts } => {
            (form.kind, form.voter, form.round, form.clock_us) = (3, from.0.into(), *round, clock.micros());
            form.rows = verdicts
                .iter()
                .map(|(lease, verdict)| {
                    let (kind, epoch, left) = match *verdict {
                        Verdict::Granted(epoch) => (1, epoch, TimeDelta::ZERO),
                        Verdict::Held { epoch, remaining: left } => (2, epoch, left),
                        Verdict::StaleEpoch(epoch) => (3, epoch, TimeDelta::ZERO),
                        Verdict::Abstained => (4, Epoch(0), TimeDelta::ZERO),
                        Verdict::AtCapacity => (5, Epoch(0), TimeDelta::ZERO),
                    };
                    let left_us = left.micros().max(0) as u64;
                    Row { lease: lease.0, epoch: epoch.0, verdict: kind, left_us }
                })
                .collect();
        }
        Message::Available { from, lease, epoch } => {
            (form.kind, form.voter) = (4, from.0.into());
            form.rows = rows(&[LeaseEpoch { lease: *lease, epoch: *epoch }]);
        }
        Message::RecoveryRequest { from, incarnation: life, nonce: start } => {
            (form.kind, form.voter, form.life, form.candidate) = (5, from.0.into(), *life, *start);
        }
        Message::RecoveryResponse {
            from,
            requested_by: asked,
            highest,
            last_known: life,
            is_complete: whole,
        } => {
            (form.kind, form.voter, form.life, form.round) = (6, from.0.into(), *life, *asked);
            (form.highest, form.whole) = (highest.0, *whole);
        }
    }
    let body = form.encode_to_vec();
    let mut bytes = crc32c::crc32c(&body).to_le_bytes().to_vec();
    bytes.extend(body);
    bytes
}

/// # Errors
/// Why it is dropped.
pub fn decode(bytes: &[u8], group: u64) -> Result<Message, DecodeError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DecodeError::TooLarge);
    }
    let (check, body) = bytes.split_first_chunk::<CHECK>().ok_or(DecodeError::Garbled)?;
    if crc32c::crc32c(body) != u32::from_le_bytes(*check) {
        return Err(DecodeError::Garbled);
    }
    let form = Form::decode(body).map_err(|_| DecodeError::Garbled)?;
    if form.form > FORM {
        return Err(DecodeError::Newer);
    }
    if form.group != group {
        return Err(DecodeError::Foreign);
    }
    let from = CandidateId(form.candidate);
    let voter = u8::try_from(form.voter).map(VoterId).map_err(|_| DecodeError::Garbled)?;
    let round = form.round;
    Ok(match form.kind {
        1 => Message::Request { from, round, leases: wants(&form.rows) },
        2 => Message::Release { from, round, held: form.whole, leases: wants(&form.rows) },
        3 => {
            let verdict = |row: &Row| {
                let epoch = Epoch(row.epoch);
                let left = TimeDelta::from_micros(i64::try_from(row.left_us).unwrap_or(i64::MAX));
                let verdict = match row.verdict {
                    1 => Verdict::Granted(epoch),
                    2 => Verdict::Held { epoch, remaining: left },
                    3 => Verdict::StaleEpoch(epoch),
                    4 => Verdict::Abstained,
                    5 => Verdict::AtCapacity,
                    _ => return None,
                };
                Some((LeaseId(row.lease), verdict))
            };
            let verdicts = form.rows.iter().filter_map(verdict).collect();
            Message::Response { from: voter, round, clock: Timestamp::from_micros(form.clock_us), verdicts }
        }
        4 => {
            let row = form.rows.first().ok_or(DecodeError::Garbled)?;
            Message::Available { from: voter, lease: LeaseId(row.lease), epoch: Epoch(row.epoch) }
        }
        5 => Message::RecoveryRequest { from: voter, incarnation: form.life, nonce: form.candidate },
        6 => {
            let highest = Epoch(form.highest);
            Message::RecoveryResponse {
                from: voter,
                requested_by: round,
                highest,
                last_known: form.life,
                is_complete: form.whole,
            }
        }
        _ => return Err(DecodeError::Garbled),
    })
}
