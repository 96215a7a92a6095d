//! A client's request, independent of the protocol.

use std::net::IpAddr;

/// A request before admission; each front end decodes its protocol into this.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientRequest<'a> {
    /// The op's id, unique among open ops.
    pub id: u64,
    /// The name of the op type.
    pub op_type: &'a str,
    /// The name of the tenant, if the client gives one.
    pub tenant: Option<&'a str>,
    /// The group of hosts that hold the data of the op.
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
    /// Bytes that the request occupies while it is in flight.
    pub bytes: usize,
}
