//! The line protocol between clients, routers and hosts. A message is one line of fields separated by
//! spaces and ends with CR LF; the last field extends to the end of the line and may contain either byte alone. This package parses and formats lines, without I/O
//! or session state.

mod fault_code;
mod line;
mod position;
mod request;
mod response;
mod statement;

pub use fault_code::{ExecutionStatus, FaultCode};
pub use line::{LineDecoder, LineTooLong, split_word};
pub use position::Position;
pub use request::Request;
pub use response::{Observed, Response, TransactionState};
pub use statement::{AccessMode, Statement};

/// Maximum length of a message in bytes, without its line terminator.
pub const MAX_LINE_BYTES: usize = 1 << 20;

/// The id of statements that a router issues itself, such as health checks.
pub const INTERNAL_STATEMENT_ID: &str = "-";
