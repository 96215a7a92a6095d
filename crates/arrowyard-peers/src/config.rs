//! Every size, count and time of membership; filled once at start.

use std::net::SocketAddr;

use arrowyard_types::TimeDelta;
use ipnet::IpNet;
use rustc_hash::FxHashMap;

#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// The fleet's name; what names another is dropped.
    pub fleet: String,
    /// Where members are asked for when nobody is known, and from time to time.
    pub seeds: Vec<SocketAddr>,
    /// From where datagrams are taken, and where members may be; all if empty.
    pub allowed_networks: Vec<IpNet>,
    /// Members that are reached at another address than the one they tell.
    pub address_overrides: FxHashMap<String, SocketAddr>,
    /// Each period a router asks its observed members and one more.
    pub probe_interval: TimeDelta,
    /// A question is repeated so soon, the second time by way of helpers, too.
    pub retry_interval: TimeDelta,
    /// So long after the first question it counts as unanswered.
    pub probe_timeout: TimeDelta,
    /// How long a silent member is silent till it counts as lost, where two at least say so; twice that where one does.
    pub lost_after: TimeDelta,
    /// A member that this router heard from within this time is not silent, whoever says so.
    pub freshness_window: TimeDelta,
    /// How long lost and dead members are remembered and looked for.
    pub forget_after: TimeDelta,
    /// A thread that comes round later than this was away.
    pub stall_threshold: TimeDelta,
    /// How often the whole view is compared with another member's.
    pub anti_entropy_interval: TimeDelta,
    /// Members that each one observes by the rings, beside one in turn.
    pub observed_members: usize,
    /// Helpers of an indirect question, and members that hear of urgent news at once.
    pub indirect_probe_helpers: usize,
    pub urgent_fanout: usize,
    /// Members and remembered ones at most; those heard of and not yet met at most.
    pub max_members: usize,
    pub max_candidates: usize,
    /// Candidates that are asked in a period.
    pub max_candidate_probes: usize,
    /// Bytes of a datagram.
    pub max_datagram_bytes: usize,
    /// Datagrams a second that are read, those beyond are dropped unread; and a burst of them.
    pub receive_rate: f64,
    pub receive_burst: f64,
    /// Datagrams a second that are sent beside questions and answers: urgent news, and digests and pages.
    pub push_rate: f64,
    pub exchange_rate: f64,
    /// Shares: the fleet's size may fall only after it was settled for so long; what is lost for longer counts no more.
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
            exchange_rate: 30.0,
            count_settle_time: ms(10_000),
            missing_grace_period: ms(60_000),
        }
    }
}

impl MembershipConfig {
    /// The times of a period other than the usual one, in its proportions.
    #[must_use]
    pub fn with_probe_interval(period: TimeDelta) -> MembershipConfig {
        let usual = MembershipConfig::default();
        let times = period / usual.probe_interval;
        MembershipConfig {
            probe_interval: period,
            retry_interval: usual.retry_interval * times,
            probe_timeout: usual.probe_timeout * times,
            freshness_window: usual.freshness_window * times,
            stall_threshold: usual.stall_threshold * times.max(1.0),
            anti_entropy_interval: usual.anti_entropy_interval * times,
            // Halts do not shorten with the period.
            lost_after: usual.lost_after * times.max(1.0),
            ..usual
        }
    }

    #[must_use]
    pub fn allows_address(&self, at: SocketAddr) -> bool {
        self.allowed_networks.is_empty() || self.allowed_networks.iter().any(|net| net.contains(&at.ip()))
    }

    /// Where a member of this name that tells this address is reached from here.
    #[must_use]
    pub fn reachable_address(&self, name: &str, at: SocketAddr) -> SocketAddr {
        self.address_overrides.get(name).copied().unwrap_or(at)
    }
}

/// How this router belongs to its fleet, from the operator's file.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    pub listen: SocketAddr,
    /// Where the others reach it; where it listens if absent.
    pub advertise: Option<SocketAddr>,
    pub config: MembershipConfig,
    /// The number of routers in reach replaces the one of the settings.
    pub count_members: bool,
    /// What the module wants to tell the others goes out, and what they tell comes in.
    pub relay_app_messages: bool,
}
