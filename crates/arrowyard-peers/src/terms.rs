//! Every size, count and time of membership; filled once at start.

use std::net::SocketAddr;

use arrowyard_types::TimeDelta;
use ipnet::IpNet;
use rustc_hash::FxHashMap;

#[derive(Clone, Debug)]
pub struct Terms {
    /// The fleet's name; what names another is dropped.
    pub fleet: String,
    /// Where members are asked for when nobody is known, and from time to time.
    pub seeds: Vec<SocketAddr>,
    /// From where datagrams are taken, and where members may be; all if empty.
    pub allowed: Vec<IpNet>,
    /// Members that are reached at another address than the one they tell.
    pub via: FxHashMap<String, SocketAddr>,
    /// Each period a router asks its observed members and one more.
    pub period: TimeDelta,
    /// A question is repeated so soon, the second time by way of helpers, too.
    pub retry: TimeDelta,
    /// So long after the first question it counts as unanswered.
    pub verdict: TimeDelta,
    /// How long a silent member is silent till it counts as lost, where two at least say so; twice that where one does.
    pub lost_after: TimeDelta,
    /// A member that this router heard from within this time is not silent, whoever says so.
    pub fresh: TimeDelta,
    /// How long lost and dead members are remembered and looked for.
    pub remember: TimeDelta,
    /// A thread that comes round later than this was away.
    pub away: TimeDelta,
    /// How often the whole view is compared with another member's.
    pub exchange: TimeDelta,
    /// Members that each one observes by the rings, beside one in turn.
    pub observed: usize,
    /// Helpers of an indirect question, and members that hear of urgent news at once.
    pub helpers: usize,
    pub urgent: usize,
    /// Members and remembered ones at most; those heard of and not yet met at most.
    pub members: usize,
    pub candidates: usize,
    /// Candidates that are asked in a period.
    pub meetings: usize,
    /// Bytes of a datagram.
    pub datagram: usize,
    /// Datagrams a second that are read, those beyond are dropped unread; and a burst of them.
    pub reads: f64,
    pub burst: f64,
    /// Datagrams a second that are sent beside questions and answers: urgent news, and digests and pages.
    pub pushes: f64,
    pub exchanges: f64,
    /// Shares: the fleet's size may fall only after it was settled for so long; what is lost for longer counts no more.
    pub settle: TimeDelta,
    pub forgive: TimeDelta,
}

impl Default for Terms {
    fn default() -> Self {
        let ms = TimeDelta::from_millis;
        Terms {
            fleet: String::new(),
            seeds: Vec::new(),
            allowed: Vec::new(),
            via: FxHashMap::default(),
            period: ms(500),
            retry: ms(100),
            verdict: ms(350),
            lost_after: ms(4500),
            fresh: ms(700),
            remember: ms(2 * 3_600_000),
            away: ms(750),
            exchange: ms(2000),
            observed: 2,
            helpers: 3,
            urgent: 3,
            members: 2048,
            candidates: 256,
            meetings: 48,
            datagram: 1200,
            reads: 400.0,
            burst: 1200.0,
            pushes: 60.0,
            exchanges: 30.0,
            settle: ms(10_000),
            forgive: ms(60_000),
        }
    }
}

impl Terms {
    /// The times of a period other than the usual one, in its proportions.
    #[must_use]
    pub fn paced(period: TimeDelta) -> Terms {
        let usual = Terms::default();
        let times = period / usual.period;
        Terms {
            period,
            retry: usual.retry * times,
            verdict: usual.verdict * times,
            fresh: usual.fresh * times,
            away: usual.away * times.max(1.0),
            exchange: usual.exchange * times,
            // Halts do not shorten with the period.
            lost_after: usual.lost_after * times.max(1.0),
            ..usual
        }
    }

    #[must_use]
    pub fn allows(&self, at: SocketAddr) -> bool {
        self.allowed.is_empty() || self.allowed.iter().any(|net| net.contains(&at.ip()))
    }

    /// Where a member of this name that tells this address is reached from here.
    #[must_use]
    pub fn reached(&self, name: &str, at: SocketAddr) -> SocketAddr {
        self.via.get(name).copied().unwrap_or(at)
    }
}

/// How this router belongs to its fleet, from the operator's file.
#[derive(Clone, Debug)]
pub struct Belongs {
    pub listen: SocketAddr,
    /// Where the others reach it; where it listens if absent.
    pub advertise: Option<SocketAddr>,
    pub terms: Terms,
    /// The number of routers in reach replaces the one of the settings.
    pub shares: bool,
    /// What the module wants to tell the others goes out, and what they tell comes in.
    pub news: bool,
}
