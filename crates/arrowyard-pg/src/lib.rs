//! Version 3 of PostgreSQL's wire protocol, as far as routers speak it: messages to and from clients, messages
//! to and from database hosts, and the comment that heads a client's statement. No I/O: callers hand over the
//! bytes that came and get small typed values; each message is decoded once, and encoded once.

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

/// Codes of errors, as PostgreSQL's public list names them.
pub mod code {
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
    pub const READ_ONLY: &str = "25006";
    pub const SNAPSHOT_TOO_OLD: &str = "72000";
    pub const INTERNAL: &str = "XX000";
    pub const PROTOCOL_VIOLATION: &str = "08P01";
    pub const NOT_SUPPORTED: &str = "0A000";
}
