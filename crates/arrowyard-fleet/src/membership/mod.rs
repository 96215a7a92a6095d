//! Many instances of the membership state machine in simulated time, under a fault plan, and two baselines to
//! compare it with: heartbeats to all members, and SWIM without extensions.
//!
//! Full socket buffers, threads that are busy with ops, and filtered ICMP errors are not modelled. A datagram
//! takes 0.2 to 0.4 ms unless the fault plan adds a delay.

mod arrowyard_node;
mod baselines;
mod simulation;

pub use arrowyard_node::ArrowyardNode;
pub use baselines::{HeartbeatNode, SwimNode};
pub use simulation::{MemberState, MembershipSimulation, SimulationStats};

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use arrowyard_types::Timestamp;

/// The membership protocol of one process, with the same interface for arrowyard's and the baselines.
pub trait Node {
    /// When [`Node::tick`] has to be called next.
    fn next_deadline(&self) -> Timestamp;
    /// Runs the timers that are due.
    fn tick(&mut self, now: Timestamp);
    /// Processes a received datagram.
    fn receive(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]);
    /// Records that the port at this address refused a datagram.
    fn port_refused(&mut self, now: Timestamp, address: SocketAddr);
    /// Announces a planned shutdown.
    fn leave(&mut self, now: Timestamp);
    /// Takes the output since the last call.
    fn take_output(&mut self) -> NodeOutput;
    /// Number of other members that this one sees as alive.
    fn alive_count(&self) -> usize;
    /// Descriptions of the other members that this one does not see as alive, for debugging.
    fn describe_not_alive(&self, _now: Timestamp) -> Vec<String> {
        Vec::new()
    }
}

/// Output of a node.
#[derive(Default)]
pub struct NodeOutput {
    /// Datagrams to send.
    pub sends: Vec<(SocketAddr, Vec<u8>)>,
    /// Addresses at which to check whether the port refuses datagrams.
    pub port_checks: Vec<SocketAddr>,
    /// Changes of other members' states: index, incarnation if the protocol has one, and new state.
    pub state_changes: Vec<(usize, Option<u64>, MemberState)>,
}

/// Address of the process with this index.
#[must_use]
pub fn node_address(index: usize) -> SocketAddr {
    let [.., high, low] = (index as u32).to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 77, high, low)), 7000)
}

/// Index of the process at this address.
#[must_use]
pub fn node_index(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => usize::from(ip.octets()[2]) * 256 + usize::from(ip.octets()[3]),
        IpAddr::V6(_) => usize::MAX,
    }
}
