//! Maps client addresses to cells by longest matching network.

use std::net::IpAddr;

use arrowyard_types::CellId;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use iprange::IpRange;
use rustc_hash::FxHashMap;

use crate::layout::NetworkRule;

/// Rules that consist of a single prefix are kept in a hash table and looked up by prefix length; rules with
/// several networks or with exclusions are kept as IP ranges.
#[derive(Clone, Debug, Default)]
pub struct NetworkTable {
    prefixes: FxHashMap<IpNet, CellId>,
    /// Prefix lengths that occur in `prefixes`, longest first.
    v4_prefix_lengths: Vec<u8>,
    v6_prefix_lengths: Vec<u8>,
    range_rules: Vec<(IpRange<Ipv4Net>, IpRange<Ipv6Net>, CellId)>,
}

fn to_ranges(networks: &[IpNet]) -> (IpRange<Ipv4Net>, IpRange<Ipv6Net>) {
    let (mut v4, mut v6) = (IpRange::new(), IpRange::new());
    for net in networks {
        match net {
            IpNet::V4(net) => drop(v4.add(*net)),
            IpNet::V6(net) => drop(v6.add(*net)),
        }
    }
    (v4, v6)
}

impl NetworkTable {
    /// Builds the table of these rules.
    pub fn new(rules: &[NetworkRule]) -> Self {
        let mut table = NetworkTable::default();
        for NetworkRule { included, excluded, cell } in rules {
            if let ([prefix], []) = (&included[..], &excluded[..]) {
                table.prefixes.insert(prefix.trunc(), *cell);
                continue;
            }
            let ((v4, v6), (excluded_v4, excluded_v6)) = (to_ranges(included), to_ranges(excluded));
            let (mut v4, mut v6) = (v4.exclude(&excluded_v4), v6.exclude(&excluded_v6));
            v4.simplify();
            v6.simplify();
            table.range_rules.push((v4, v6, *cell));
        }
        let lengths = |v4: bool| {
            let same_family = table.prefixes.keys().filter(|net| matches!(net, IpNet::V4(_)) == v4);
            let mut lengths: Vec<u8> = same_family.map(IpNet::prefix_len).collect();
            lengths.sort_unstable_by(|a, b| b.cmp(a));
            lengths.dedup();
            lengths
        };
        (table.v4_prefix_lengths, table.v6_prefix_lengths) = (lengths(true), lengths(false));
        table
    }

    /// Cell of the longest network that contains the address.
    pub fn lookup(&self, address: IpAddr) -> Option<CellId> {
        // IPv4 clients of a dual-stack socket arrive as IPv4-mapped IPv6 addresses.
        let address = address.to_canonical();
        let lengths = if address.is_ipv4() { &self.v4_prefix_lengths } else { &self.v6_prefix_lengths };
        let prefix = lengths.iter().find_map(|&length| {
            let net = IpNet::new(address, length).ok()?.trunc();
            self.prefixes.get(&net).map(|&cell| (length, cell))
        });
        let set = self.range_rules.iter().filter_map(|(v4, v6, cell)| {
            let length = match address {
                IpAddr::V4(address) => v4.supernet(&Ipv4Net::from(address))?.prefix_len(),
                IpAddr::V6(address) => v6.supernet(&Ipv6Net::from(address))?.prefix_len(),
            };
            Some((length, *cell))
        });
        // On a tie in length the single-prefix rule wins.
        let set = set.max_by_key(|(length, _)| *length);
        set.into_iter().chain(prefix).max_by_key(|(length, _)| *length).map(|(_, cell)| cell)
    }
}
