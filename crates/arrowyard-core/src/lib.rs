//! The protocol-independent pipeline of an op, on one thread, and the tasks beside it. A front end decodes
//! client input into a [`ClientRequest`], has it admitted by the
//! [`AdmissionController`](admission::AdmissionController) and sends it as a
//! [`RouteMessage`](messages::RouteMessage) with an opaque payload and a channel for its one final
//! [`Reply`]. The route task asks the decision module where the op goes, and a [`HostTransport`] carries out
//! each send.

pub mod admission;
pub mod cell_scheduler;
pub mod client_request;
pub mod clock;
pub mod count;
pub mod discovery;
pub mod drain;
pub mod hints;
pub mod host_list;
pub mod host_registry;
mod http;
pub mod leases;
pub mod limits;
pub mod logger;
pub mod messages;
pub mod op_table;
pub mod peers;
pub mod pool;
pub mod reload;
pub mod reply;
pub mod route;
pub mod router_config;
pub mod send;
pub mod startup;
pub mod submission;
pub mod transport;

pub use client_request::ClientRequest;
pub use limits::Limits;
pub use reply::Reply;
pub use transport::HostTransport;
