//! PostgreSQL's protocol before the core: the front that clients connect to, and the back that sends to hosts.

pub mod back;
pub mod link;
mod probe;
pub mod relay;
pub mod take_in;

pub use back::PgBackend;
pub use take_in::Frontend;
