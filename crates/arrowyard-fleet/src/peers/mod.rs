//! Many instances of the membership's decisions in simulated time, with a fault plan played between them; beside them two
//! plain ways of knowing who lives, written here to be compared with: heartbeats to all, and SWIM without additions.
//!
//! What it cannot show: the system's queues of datagrams that run full, threads that are busy with ops, refusals that a
//! network keeps back. Each datagram takes 0.2 to 0.4 ms when nothing is said of delays.

mod ours;
mod plain;
mod world;

pub use ours::Ours;
pub use plain::{Heartbeats, Swim};
pub use world::{Books, Said, World};

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use arrowyard_types::Timestamp;

/// What a process does: the same for the shipped decisions and for those that are compared.
pub trait Node {
    fn next_at(&self) -> Timestamp;
    fn tick(&mut self, now: Timestamp);
    fn heard(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]);
    /// The machine there refused a datagram.
    fn refused(&mut self, now: Timestamp, at: SocketAddr);
    fn leave(&mut self, now: Timestamp);
    fn take(&mut self) -> Taken;
    /// Others that it holds alive.
    fn alive(&self) -> usize;
    /// Others that it does not hold alive, and how they stand, for looking into a run.
    fn others(&self, _now: Timestamp) -> Vec<String> {
        Vec::new()
    }
}

/// What a node has done since it was last asked.
#[derive(Default)]
pub struct Taken {
    pub sends: Vec<(SocketAddr, Vec<u8>)>,
    pub looks: Vec<SocketAddr>,
    /// Others by their numbers, which life of them (where it knows lives), and what it holds of them from now on.
    pub said: Vec<(usize, Option<u64>, Said)>,
}

/// Where the process of this number is.
#[must_use]
pub fn address(number: usize) -> SocketAddr {
    let [.., high, low] = (number as u32).to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 77, high, low)), 7000)
}

/// The number of the process there.
#[must_use]
pub fn number(at: SocketAddr) -> usize {
    match at.ip() {
        IpAddr::V4(ip) => usize::from(ip.octets()[2]) * 256 + usize::from(ip.octets()[3]),
        IpAddr::V6(_) => usize::MAX,
    }
}
