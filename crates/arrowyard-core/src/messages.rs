//! What the tasks of a router tell each other: mail to the one that owns the module, wishes to discovery's.

use std::net::SocketAddr;
use std::rc::Rc;

use arrowyard_cells::Layout;
use arrowyard_types::{CellId, HostId, HostStatus, OpId, OpRequest, Outcome, PeerId, SendIndex};
use tokio::sync::oneshot;

use crate::cell_scheduler::OpOrigin;
use crate::list::HostList;
use crate::reply::Reply;
use crate::send::EndedSend;
use crate::transport::HostTransport;

/// What the other tasks tell the one that owns the module.
pub enum RouteMessage<B: HostTransport> {
    /// With what cells want to know of it, where there are any.
    OpAdmitted(OpRequest, Option<Box<OpOrigin>>, Rc<B::Payload>, oneshot::Sender<Reply<B::Answer>>),
    ClientDisconnected(OpId),
    /// The answer goes to the client, and the send goes on.
    AnswerBegun(OpId, B::Answer),
    SendEnded(OpId, SendIndex, HostId, EndedSend<B::Answer>),
    /// In the name of the cell, where there are any.
    ProbeEnded(HostId, Option<CellId>, Outcome, HostStatus),
    /// A host was asked for its position since a tenant moves there.
    PositionProbed(HostId, HostStatus),
    /// The operator's file was read anew.
    LayoutReloaded(Box<Layout>),
    /// Somebody wants to see the cells.
    ShowCells(oneshot::Sender<String>),
    /// Somebody wants to see the other routers.
    ShowPeers(oneshot::Sender<String>),
    /// Shares are reckoned by this number of routers from now on.
    RouterCountChanged(f64),
    /// What another router's module told.
    PeerMessage(PeerId, Vec<u8>),
    /// The list was stored, or that failed.
    ListSaved(bool),
    /// Whether the stage comes round: ops taken and acked since the start.
    CheckLiveness(oneshot::Sender<(u64, u64)>),
    /// Of discovery.
    Discovery(DiscoveryEvent),
}

/// What discovery tells.
#[derive(Debug)]
pub enum DiscoveryEvent {
    List(HostList),
    Failed,
}

/// What discovery is asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryCommand {
    Watch(bool),
    Fetch,
    /// It is reached at another address from now on.
    SetAddress(SocketAddr),
    /// So many routers ask it.
    SetRouterCount(f64),
}
