//! What the tasks of a router tell each other: mail to the one that owns the module, wishes to discovery's.

use std::net::SocketAddr;
use std::rc::Rc;

use arrowyard_cells::Layout;
use arrowyard_types::{CellId, HostId, HostStatus, OpId, OpRequest, Outcome, PeerId, SendIndex};
use tokio::sync::oneshot;

use crate::back::Back;
use crate::list::List;
use crate::reply::Reply;
use crate::send::End;
use crate::ward::Claim;

/// What the other tasks tell the one that owns the module.
pub enum Mail<B: Back> {
    /// With what cells want to know of it, where there are any.
    Asked(OpRequest, Option<Box<Claim>>, Rc<B::Payload>, oneshot::Sender<Reply<B::Answer>>),
    HungUp(OpId),
    /// The answer goes to the client, and the send goes on.
    Begun(OpId, B::Answer),
    SendEnded(OpId, SendIndex, HostId, End<B::Answer>),
    /// In the name of the cell, where there are any.
    Probed(HostId, Option<CellId>, Outcome, HostStatus),
    /// A host was asked for its position since a tenant moves there.
    Watched(HostId, HostStatus),
    /// The operator's file was read anew.
    Relayout(Box<Layout>),
    /// Somebody wants to see the cells.
    Show(oneshot::Sender<String>),
    /// Somebody wants to see the other routers.
    ShowPeers(oneshot::Sender<String>),
    /// Shares are reckoned by this number of routers from now on.
    Fleet(f64),
    /// What another router's module told.
    Told(PeerId, Vec<u8>),
    /// The list was stored, or that failed.
    Saved(bool),
    /// Whether the stage comes round: ops taken and acked since the start.
    Echo(oneshot::Sender<(u64, u64)>),
    /// Of discovery.
    News(News),
}

/// What discovery tells.
#[derive(Debug)]
pub enum News {
    Listed(List),
    ListFailed,
}

/// What discovery is asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Wish {
    Watch(bool),
    Fetch,
    /// It is reached at another address from now on.
    Move(SocketAddr),
    /// So many routers ask it.
    Routers(f64),
}
