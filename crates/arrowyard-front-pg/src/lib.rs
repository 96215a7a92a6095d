//! PostgreSQL's protocol on both sides of the core: the server that clients connect to, and the backend that
//! sends ops to database hosts.

pub mod backend;
pub mod frontend;
pub mod host_connection;
mod probe;
pub mod reply;

pub use backend::PgBackend;
pub use frontend::Frontend;
