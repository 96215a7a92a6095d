//! What a client says of its op, whatever protocol it says it in.

use std::net::IpAddr;

/// An op before its admission: each front decodes its own form into this, once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientRequest<'a> {
    /// The number of its id; it names one open op.
    pub id: u64,
    pub op_type: &'a str,
    pub tenant: Option<&'a str>,
    pub group: i64,
    /// For so many milliseconds, from when it asked, the client waits.
    pub timeout_ms: u32,
    /// The session's last commit, as Unix time in milliseconds; 0 for none.
    pub last_commit_ms: Option<i64>,
    /// Whether the client says that it asks again.
    pub is_retry: bool,
    /// The token by which hosts know a repeat.
    pub token: Option<u64>,
    /// What names the session, in op types that have one.
    pub session: Option<u64>,
    /// Where the client is, if that is known.
    pub address: Option<IpAddr>,
    /// The bytes that it takes while it is in hand.
    pub bytes: usize,
}
