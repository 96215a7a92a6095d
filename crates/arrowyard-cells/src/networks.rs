//! Clients' addresses to cells: of all networks that hold an address, the longest counts.

use std::net::IpAddr;

use arrowyard_types::CellId;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use iprange::IpRange;
use rustc_hash::FxHashMap;

use crate::layout::NetworkRule;

/// One prefix stands in a table by its length; a set is asked for the network of its own that holds the address.
#[derive(Clone, Debug, Default)]
pub struct NetworkTable {
    prefixes: FxHashMap<IpNet, CellId>,
    /// Lengths that occur, the longest first.
    v4: Vec<u8>,
    v6: Vec<u8>,
    sets: Vec<(IpRange<Ipv4Net>, IpRange<Ipv6Net>, CellId)>,
}

fn split(nets: &[IpNet]) -> (IpRange<Ipv4Net>, IpRange<Ipv6Net>) {
    let (mut v4, mut v6) = (IpRange::new(), IpRange::new());
    for net in nets {
        match net {
            IpNet::V4(net) => drop(v4.add(*net)),
            IpNet::V6(net) => drop(v6.add(*net)),
        }
    }
    (v4, v6)
}

impl NetworkTable {
    pub fn new(rows: &[NetworkRule]) -> Self {
        let mut nets = NetworkTable::default();
        for NetworkRule { included, excluded, cell } in rows {
            if let ([prefix], []) = (&included[..], &excluded[..]) {
                nets.prefixes.insert(prefix.trunc(), *cell);
                continue;
            }
            let ((v4, v6), (holes4, holes6)) = (split(included), split(excluded));
            let (mut v4, mut v6) = (v4.exclude(&holes4), v6.exclude(&holes6));
            v4.simplify();
            v6.simplify();
            nets.sets.push((v4, v6, *cell));
        }
        let lengths = |v4: bool| {
            let of_family = nets.prefixes.keys().filter(|net| matches!(net, IpNet::V4(_)) == v4);
            let mut lengths: Vec<u8> = of_family.map(IpNet::prefix_len).collect();
            lengths.sort_unstable_by(|a, b| b.cmp(a));
            lengths.dedup();
            lengths
        };
        (nets.v4, nets.v6) = (lengths(true), lengths(false));
        nets
    }

    pub fn lookup(&self, address: IpAddr) -> Option<CellId> {
        // Danger: a client of the one family that comes over a socket of the other, and is taken for somebody else.
        let address = address.to_canonical();
        let lengths = if address.is_ipv4() { &self.v4 } else { &self.v6 };
        let prefix = lengths.iter().find_map(|&length| {
            let net = IpNet::new(address, length).ok()?.trunc();
            self.prefixes.get(&net).map(|&cell| (length, cell))
        });
        let set = self.sets.iter().filter_map(|(v4, v6, cell)| {
            let length = match address {
                IpAddr::V4(address) => v4.supernet(&Ipv4Net::from(address))?.prefix_len(),
                IpAddr::V6(address) => v6.supernet(&Ipv6Net::from(address))?.prefix_len(),
            };
            Some((length, *cell))
        });
        // Of equal lengths the prefix, since it was written as one.
        let set = set.max_by_key(|(length, _)| *length);
        set.into_iter().chain(prefix).max_by_key(|(length, _)| *length).map(|(_, cell)| cell)
    }
}
