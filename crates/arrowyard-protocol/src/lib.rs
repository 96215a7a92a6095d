//! The wire that clients and hosts speak: a message is a line of words parted by blanks, the last field runs to the
//! line's end. This package reads and writes lines; it knows no sockets and no sessions.

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

/// The longest message, in bytes. Source: the page on the protocol.
pub const MAX_LINE_BYTES: usize = 1 << 20;

/// The id of a statement that is the system's own.
pub const INTERNAL_STATEMENT_ID: &str = "-";
