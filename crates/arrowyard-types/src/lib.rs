//! Types that the decision module shares with its callers: ids, time, and its interface (events in, actions
//! out).

mod interface;
mod op_type;
mod time;

pub use interface::*;
pub use op_type::*;
pub use time::{TimeDelta, Timestamp};

/// Declares newtypes of ids.
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
    /// An op; ids are not reused.
    OpId(u64);
    /// The index of a send within its op, from 0.
    SendIndex(u32);
    /// An index into the op types.
    OpTypeId(u32);
    /// An index into the tenants.
    TenantId(u32);
    /// A group of database hosts that hold the same data.
    GroupId(i64);
    /// A cell of this router, numbered as in the operator's file.
    CellId(u32);
    /// A session of a client.
    SessionId(u64);
    /// A zone of hosts and routers.
    ZoneId(u32);
    /// Another router of the deployment.
    PeerId(u32);
    /// A timer, chosen by the module and returned when the timer fires.
    TimerId(u64);
}
