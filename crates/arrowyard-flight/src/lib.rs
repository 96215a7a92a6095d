//! What is decided and read of Arrow Flight SQL, without I/O: what a call says of its op, tickets, prepared
//! statements, what a result may be made of, how much of it is held, what a connection's frames prove of a send, how a
//! client's connection behaves, and what clients are told. Which host, whether again and what is turned away is the
//! decision module's, as for every front.

pub mod batches;
pub mod bind;
pub mod brief;
pub mod conduct;
pub mod frames;
pub mod handles;
pub mod hold;
pub mod status;
pub mod ticket;

pub use status::{Code, Fault};
