//! Messages between the tasks of a router: to the route task, from discovery and to discovery.

use std::net::SocketAddr;
use std::rc::Rc;

use arrowyard_cells::Layout;
use arrowyard_types::{CellId, HostId, HostStatus, OpId, OpRequest, Outcome, PeerId, SendIndex};
use tokio::sync::oneshot;

use crate::cell_scheduler::OpOrigin;
use crate::host_list::HostList;
use crate::reply::Reply;
use crate::send::EndedSend;
use crate::transport::HostTransport;

/// Messages to the route task, which owns the decision module.
pub enum RouteMessage<T: HostTransport> {
    /// An admitted op, with its origin if cells are configured, its payload and the channel for the reply.
    OpAdmitted(OpRequest, Option<Box<OpOrigin>>, Rc<T::Payload>, oneshot::Sender<Reply<T::Answer>>),
    /// The client of an op disconnected before the final reply.
    ClientDisconnected(OpId),
    /// An answer began; it is passed to the client while the send continues.
    AnswerBegun(OpId, T::Answer),
    /// A send of an op to a host ended.
    SendEnded(OpId, SendIndex, HostId, EndedSend<T::Answer>),
    /// A probe ended; with the cell that it counts for, if cells are configured.
    ProbeEnded(HostId, Option<CellId>, Outcome, HostStatus),
    /// The status of a host that was probed because a tenant moves to it.
    PositionProbed(HostId, HostStatus),
    /// The operator's file was reloaded.
    LayoutReloaded(Box<Layout>),
    /// Requests the report on cells.
    ShowCells(oneshot::Sender<String>),
    /// Requests the report on peers.
    ShowPeers(oneshot::Sender<String>),
    /// The number of routers that share the load changed.
    RouterCountChanged(f64),
    /// A message from another router.
    PeerMessage(PeerId, Vec<u8>),
    /// Writing the host list to the store ended; true if it failed.
    ListSaved(bool),
    /// Checks that the route task responds; requests the numbers of ops received and acknowledged since the
    /// start.
    CheckLiveness(oneshot::Sender<(u64, u64)>),
    /// An event from discovery.
    Discovery(DiscoveryEvent),
}

/// Events from discovery.
#[derive(Debug)]
pub enum DiscoveryEvent {
    /// A new list, or changes of the list.
    List(HostList),
    /// A watch or a fetch failed.
    Failed,
}

/// Commands to discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryCommand {
    /// Starts or stops the watch of the host list.
    Watch(bool),
    /// Fetches a full list.
    Fetch,
    /// Sets the address of discovery.
    SetAddress(SocketAddr),
    /// Sets the number of routers that call discovery.
    SetRouterCount(f64),
}
