//! The wire that clients and hosts speak: a message is a line of words parted by blanks, the last field runs to the
//! line's end. This package reads and writes lines; it knows no sockets and no sessions.

mod answer;
mod ask;
mod code;
mod line;
mod position;
mod text;

pub use answer::{Answer, Observed, State};
pub use ask::Ask;
pub use code::{Code, Verdict};
pub use line::{Lines, TooLong, split};
pub use position::Position;
pub use text::{Mode, Text};

/// The longest message, in bytes. Source: the page on the protocol.
pub const LONGEST: usize = 1 << 20;

/// The id of a statement that is the system's own.
pub const OWN: &str = "-";
