//! What the tasks of a router tell each other: mail to the one that owns the module, wishes to discovery's.

use std::net::SocketAddr;
use std::rc::Rc;

use arrowyard_types::{Ask, HostId, OpId, Outcome, SendNo, Word};
use tokio::sync::oneshot;

use crate::back::Back;
use crate::list::List;
use crate::reply::Reply;
use crate::send::End;

/// What the other tasks tell the one that owns the module.
pub enum Mail<B: Back> {
    Asked(Ask, Rc<B::Payload>, oneshot::Sender<Reply<B::Answer>>),
    HungUp(OpId),
    SendEnded(OpId, SendNo, HostId, End<B::Answer>),
    Probed(HostId, Outcome, Word),
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
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wish {
    Watch(bool),
    Fetch,
    /// It is reached at another address from now on.
    Move(SocketAddr),
}
