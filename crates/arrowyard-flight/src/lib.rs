//! Arrow Flight SQL without I/O: the call metadata that describes an op, tickets, prepared statements,
//! validation and buffering of results, what the HTTP/2 frames prove about a send, limits per client
//! connection, and gRPC statuses. Routing, retries and rejections are decided by the decision module, as
//! for every front end.

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
