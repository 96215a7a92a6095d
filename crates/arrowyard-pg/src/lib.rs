//! The subset of PostgreSQL's wire protocol, version 3, that routers use: messages exchanged with clients
//! and with database hosts, and the routing comment at the head of a client's statement. Performs no I/O:
//! callers pass in the received bytes and get typed messages.

mod client;
mod frame;
mod host;
mod statement;

pub use client::{
    FrontendMessage, StartupPacket, put_busy_error, put_command_complete, put_empty_query_response,
    put_error, put_fatal_error, put_ready_for_query, put_single_value, put_startup_response,
};
pub use frame::{ProtocolError, declared_length};
pub use host::{
    AccessMode, BackendMessage, ParameterStatus, QueryResult, parse_load_report, put_query,
    put_startup_packet, single_value,
};
pub use statement::Statement;

/// SQLSTATE codes from PostgreSQL's list of error codes.
pub mod code {
    /// The client or the op was rejected because of overload.
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
    /// A write was sent to a read-only host.
    pub const READ_ONLY: &str = "25006";
    /// The host's copy is older than the read allows.
    pub const SNAPSHOT_TOO_OLD: &str = "72000";
    /// The op failed and may have run.
    pub const INTERNAL: &str = "XX000";
    /// The client sent a malformed message or statement.
    pub const PROTOCOL_VIOLATION: &str = "08P01";
    /// The message type is not supported.
    pub const NOT_SUPPORTED: &str = "0A000";
}
