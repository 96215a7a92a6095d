//! Arrow Flight SQL without I/O: call metadata, tickets, prepared statements, validation and buffering of
//! results, tracking of HTTP/2 frames, limits per client connection, and gRPC statuses. The decision module
//! decides on routing, retries and rejections, as for every front end.

pub mod bind;
pub mod call_metadata;
pub mod client_connections;
pub mod frames;
pub mod ipc_validation;
pub mod prepared_statements;
pub mod result_buffer;
pub mod status;
pub mod ticket;

pub use status::{CallError, Code};
