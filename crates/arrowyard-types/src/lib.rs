//! What callers and the decision module share: ids, time, and the interface (notes in, actions out).

mod interface;
mod op_type;
mod time;

pub use interface::*;
pub use op_type::*;
pub use time::{TimeDelta, Timestamp};

/// Declares a type of id of its own.
macro_rules! id {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

id! {
    /// A database host, numbered by the caller in the order in which its lists named them.
    HostId(u32);
    /// An op; never used twice.
    OpId(u64);
    /// The number of a send within its op, from 0.
    SendIndex(u32);
    /// A row of the op types.
    OpTypeId(u32);
    /// A row of the tenants.
    TenantId(u32);
    /// A group of database hosts that hold the same data.
    GroupId(i64);
    /// A cell of this router: a row of the operator's file.
    CellId(u32);
    /// A session of a client.
    SessionId(u64);
    /// A row of the sites that hosts and routers stand in.
    ZoneId(u32);
    /// Another router of the deployment.
    PeerId(u32);
    /// What an alarm hands back when it rings.
    TimerId(u64);
}
