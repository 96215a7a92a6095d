//! A client's request, independent of the protocol.

use std::net::IpAddr;

/// A request before admission; each front end decodes its protocol into this.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientRequest<'a> {
    /// The op's id, unique among open ops.
    pub id: u64,
    pub op_type: &'a str,
    pub tenant: Option<&'a str>,
    pub group: i64,
    /// How long the client waits for the reply, in milliseconds.
    pub timeout_ms: u32,
    /// The session's last commit, as Unix time in milliseconds; 0 if it has not committed.
    pub last_commit_ms: Option<i64>,
    /// Whether the client marks this request as a retry.
    pub is_retry: bool,
    /// The idempotency token by which hosts recognise a repeated op.
    pub token: Option<u64>,
    /// The session key, in op types that use one.
    pub session: Option<u64>,
    /// The client's address, if it is known.
    pub address: Option<IpAddr>,
    /// Memory that the request takes while it is in flight.
    pub bytes: usize,
}
