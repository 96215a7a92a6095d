//! Configuration of membership: sizes, counts and intervals.

use std::net::SocketAddr;

use arrowyard_types::TimeDelta;
use ipnet::IpNet;
use rustc_hash::FxHashMap;

/// Configuration of membership.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Name of the fleet; datagrams of other fleets are dropped.
    pub fleet: String,
    /// Addresses that are contacted while no member is known, and periodically.
    pub seeds: Vec<SocketAddr>,
    /// Networks that datagrams are accepted from and that members may be in. Empty: all.
    pub allowed_networks: Vec<IpNet>,
    /// Members that are reached at a different address than they advertise, by name.
    pub address_overrides: FxHashMap<String, SocketAddr>,
    /// Length of a period. In each, a router probes its observed members and one more.
    pub probe_interval: TimeDelta,
    /// Delay before an unanswered ping is repeated; the second ping goes through helpers, too.
    pub retry_interval: TimeDelta,
    /// Time after the first ping at which a probe has failed.
    pub probe_timeout: TimeDelta,
    /// Silence after which a member that at least two members suspect is lost; doubled if only one does.
    pub lost_after: TimeDelta,
    /// A member that this router heard from within this time is not suspected because of rumors.
    pub freshness_window: TimeDelta,
    /// How long lost and dead members are remembered and probed.
    pub forget_after: TimeDelta,
    /// A `tick` that is late by at least this much counts as a stall of this router.
    pub stall_threshold: TimeDelta,
    /// Interval at which the whole view is compared with that of another member.
    pub anti_entropy_interval: TimeDelta,
    /// Members observed by ring order, in addition to one in rotation.
    pub observed_members: usize,
    /// Helpers of an indirect probe, and members that an urgent rumor is pushed to.
    pub indirect_probe_helpers: usize,
    pub urgent_fanout: usize,
    /// Limits on members (including inactive ones) and on candidates, which are known by name only.
    pub max_members: usize,
    pub max_candidates: usize,
    /// Candidates probed per period.
    pub max_candidate_probes: usize,
    /// Maximum size of a datagram.
    pub max_datagram_bytes: usize,
    /// Datagrams accepted per second, and their burst; others are dropped unread.
    pub receive_rate: f64,
    pub receive_burst: f64,
    /// Datagrams sent per second besides probes and acks: urgent rumors, and digests with their pages.
    pub push_rate: f64,
    pub anti_entropy_rate: f64,
    /// For the router count: how long it has to be stable before it may fall, and how long a missing member
    /// counts.
    pub count_settle_time: TimeDelta,
    pub missing_grace_period: TimeDelta,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        let ms = TimeDelta::from_millis;
        MembershipConfig {
            fleet: String::new(),
            seeds: Vec::new(),
            allowed_networks: Vec::new(),
            address_overrides: FxHashMap::default(),
            probe_interval: ms(500),
            retry_interval: ms(100),
            probe_timeout: ms(350),
            lost_after: ms(4500),
            freshness_window: ms(700),
            forget_after: ms(2 * 3_600_000),
            stall_threshold: ms(750),
            anti_entropy_interval: ms(2000),
            observed_members: 2,
            indirect_probe_helpers: 3,
            urgent_fanout: 3,
            max_members: 2048,
            max_candidates: 256,
            max_candidate_probes: 48,
            max_datagram_bytes: 1200,
            receive_rate: 400.0,
            receive_burst: 1200.0,
            push_rate: 60.0,
            anti_entropy_rate: 30.0,
            count_settle_time: ms(10_000),
            missing_grace_period: ms(60_000),
        }
    }
}

impl MembershipConfig {
    /// The default configuration with its intervals scaled to another probe interval.
    #[must_use]
    pub fn with_probe_interval(probe_interval: TimeDelta) -> MembershipConfig {
        let default = MembershipConfig::default();
        let factor = probe_interval / default.probe_interval;
        MembershipConfig {
            probe_interval,
            retry_interval: default.retry_interval * factor,
            probe_timeout: default.probe_timeout * factor,
            freshness_window: default.freshness_window * factor,
            stall_threshold: default.stall_threshold * factor.max(1.0),
            anti_entropy_interval: default.anti_entropy_interval * factor,
            // The length of stalls does not depend on the probe interval.
            lost_after: default.lost_after * factor.max(1.0),
            ..default
        }
    }

    /// Whether the address is in the allowed networks.
    #[must_use]
    pub fn allows_address(&self, address: SocketAddr) -> bool {
        self.allowed_networks.is_empty()
            || self.allowed_networks.iter().any(|net| net.contains(&address.ip()))
    }

    /// Address at which this router reaches a member that advertises `address`.
    #[must_use]
    pub fn reachable_address(&self, name: &str, address: SocketAddr) -> SocketAddr {
        self.address_overrides.get(name).copied().unwrap_or(address)
    }
}

/// Membership settings from the operator's file.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Address of the datagram socket.
    pub listen: SocketAddr,
    /// Address at which the other members reach this router; `listen` if absent.
    pub advertise: Option<SocketAddr>,
    /// Configuration of membership.
    pub config: MembershipConfig,
    /// Whether the number of reachable routers replaces the configured one.
    pub count_members: bool,
    /// Whether messages of the decision module are exchanged with other members.
    pub relay_app_messages: bool,
}
