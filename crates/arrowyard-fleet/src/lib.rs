//! A plain model of a fleet: many instances of the decision module, none knowing of the others, before hosts that have
//! a queue, a cold start, roles and positions. No sockets, no clock, one seed: the same run each time. It counts what
//! one router never sees: what all of them together ask, dial and send.
//!
//! What it cannot show: the network's and the protocol's costs, connections that run out, hosts whose cores share their
//! work (here each core takes one op at a time, in turn), replicas that fall behind under load (here they are a fixed
//! time behind), clients that come again, discovery that is slow. Figures of service are therefore no forecast of the
//! bench's; counts and their growth with the number of routers are what it is for.

mod host;
pub mod peers;
mod world;

pub use host::Host;
pub use world::{Event, Sums, Town, World};
