//! PostgreSQL's protocol on both sides of the core: the server that clients connect to, and the backend that
//! sends ops to database hosts.

pub mod back;
pub mod link;
mod probe;
pub mod relay;
pub mod take_in;

pub use back::PgBackend;
pub use take_in::Frontend;
