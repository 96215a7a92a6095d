//! The stages of an op's life that no protocol knows of, on one thread, and the tasks beside them. A front decodes
//! what clients say into a [`ClientRequest`], has it admitted by the [`AdmissionController`](admission::AdmissionController), and hands the op in as
//! [`RouteMessage`](messages::RouteMessage) with a payload that it alone understands and a place for the one final [`Reply`]. The route
//! stage asks the decision module where the op goes, and a [`HostTransport`] carries each send out. Whatever front and back
//! are put together, decisions and rules are the same.

pub mod admission;
pub mod cell_scheduler;
pub mod client_request;
pub mod clock;
pub mod count;
pub mod discovery;
pub mod drain;
pub mod hints;
mod http;
pub mod leases;
pub mod limits;
pub mod list;
pub mod logger;
pub mod messages;
pub mod op_table;
pub mod peers;
pub mod pool;
pub mod reload;
pub mod reply;
pub mod returns;
pub mod roster;
pub mod route;
pub mod router_config;
pub mod send;
pub mod submission;
pub mod transport;

pub use client_request::ClientRequest;
pub use limits::Limits;
pub use reply::Reply;
pub use transport::HostTransport;
