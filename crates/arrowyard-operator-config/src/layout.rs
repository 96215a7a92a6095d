//! What a checked book says of cells, in the types of the package that decides on it.

use arrowyard_cells::layout::{
    Cell, ConcurrencyLimitConfig, Layout, Lease, NetworkRule, RetryBudgetConfig, RolloutConfig,
};
use arrowyard_cells::tenant_move::{MoveConfig, Step};
use arrowyard_leases::{Duty, LeaseSettings};
use arrowyard_peers::{MembershipConfig, PeerSettings};
use arrowyard_startup::{PacingConfig as Calls, StartupSettings, Trust};
use arrowyard_types::{CellId, GroupId, TimeDelta, Timestamp};
use ipnet::IpNet;

use crate::schema;

fn millis(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis as i64 * 1000)
}

fn span(millis: Option<u32>, otherwise: u32) -> TimeDelta {
    TimeDelta::from_millis(millis.unwrap_or(otherwise).into())
}

fn cell(told: &schema::Cell) -> Cell {
    let pace = told.pace.map(|pace| ConcurrencyLimitConfig {
        initial: pace.first.unwrap_or(32).into(),
        min: pace.least.unwrap_or(4).into(),
        max: pace.most.unwrap_or(512).into(),
    });
    Cell {
        name: told.name().into(),
        weight: told.weight.unwrap_or(1.0),
        groups: told.group.iter().copied().map(GroupId).collect(),
        hosts: told.host.iter().map(|host| host.as_str().into()).collect(),
        guaranteed_fraction: told.guaranteed.unwrap_or(0.5),
        accepts_hashed_tenants: told.placed.unwrap_or(true),
        concurrency_limit: pace,
        removed: false,
    }
}

/// The layout of a book that was checked; nothing if it has no cells. What does not refer to a cell of the book is
/// left out, which the check does not let through.
pub fn cell_layout(book: &schema::Yardbook) -> Option<Layout> {
    let told = book.cells.as_ref()?;
    let ids: std::collections::HashMap<&str, CellId> =
        told.cell.iter().map(schema::Cell::name).zip((0..).map(CellId)).collect();
    let id = |name: &str| ids.get(name).copied();
    let net = |row: &schema::Net| {
        let all =
            |texts: &[String]| texts.iter().filter_map(|text| text.parse().ok()).collect::<Vec<IpNet>>();
        let prefix = row.prefix.as_ref().and_then(|prefix| prefix.parse().ok());
        let within = prefix.map_or_else(|| all(&row.within), |prefix| vec![prefix]);
        Some(NetworkRule { included: within, excluded: all(&row.without), cell: id(row.cell())? })
    };
    let moving = |row: &schema::Move| {
        let step = match row.step() {
            schema::Step::Unknown => return None,
            schema::Step::Planned => Step::Planned,
            schema::Step::Copying => Step::Copying,
            schema::Step::Fenced => Step::Fenced,
            schema::Step::Switched => Step::Switched,
            schema::Step::Done => Step::Done,
            schema::Step::Cancelled => Step::Cancelled,
        };
        Some(MoveConfig {
            tenant: row.tenant().into(),
            from: id(row.from())?,
            to: id(row.to())?,
            groups: row.from_group.zip(row.to_group).map(|(from, to)| (GroupId(from), GroupId(to))),
            client_group: row.named_group.or(row.from_group).map(GroupId),
            step,
            fence_at: row.fence_at_ms.map(millis),
            switch_at: row.switch_at_ms.map(millis),
            copied_through: row.copied_through_ms.map(millis),
            target_floor: row.target_floor_ms.map(millis),
            target_host: row.target_host.as_deref().map(Box::from),
            token_retention: span(row.memory_ms, 0),
        })
    };
    let tenants = told.tenant.iter().filter_map(|row| Some((row.name().into(), id(row.cell())?)));
    let release = told.release.as_ref().map(|release| RolloutConfig {
        order: release.order.iter().filter_map(|name| id(name)).collect(),
        error_rate_ratio: release.worse.unwrap_or(3.0),
        error_probability: release.wrong.unwrap_or(0.001),
    });
    Some(Layout {
        epoch: book.epoch(),
        cells: told.cell.iter().map(cell).collect(),
        tenants: tenants.collect(),
        networks: told.net.iter().filter_map(net).collect(),
        cells_per_hashed_tenant: told.rest.map(|rest| rest.each.unwrap_or(1) as usize),
        reclaim_period: span(told.call_back_ms, 100),
        retry_budget: told.repeats.map(|repeats| RetryBudgetConfig {
            retry_ratio: repeats.share.unwrap_or(0.2),
            min_retries: repeats.least.unwrap_or(8),
            window: span(repeats.window_ms, 10_000),
        }),
        rollout: release,
        lease: told.lease.and_then(|lease| {
            Some(Lease { expires_at: millis(lease.until_ms?), max_clock_skew: span(lease.skew_ms, 50) })
        }),
        moves: told.r#move.iter().filter_map(moving).collect(),
    })
}

/// What a book that was checked says of the fleet; nothing if it names none.
pub fn peer_settings(book: &schema::Yardbook) -> Option<PeerSettings> {
    let told = book.peers.as_ref()?;
    let usual = MembershipConfig::with_probe_interval(span(told.period_ms, 500));
    let via = told.via.iter().filter_map(|via| Some((via.name().to_string(), via.at().parse().ok()?)));
    let terms = MembershipConfig {
        fleet: told.fleet().to_string(),
        seeds: told.seed.iter().filter_map(|at| at.parse().ok()).collect(),
        allowed_networks: told.allow.iter().filter_map(|net| net.parse().ok()).collect(),
        address_overrides: via.collect(),
        lost_after: span(told.lost_after_ms, (usual.lost_after.micros() / 1000) as u32),
        max_members: told.members.map_or(usual.max_members, |most| most as usize),
        ..usual
    };
    Some(PeerSettings {
        listen: told.listen().parse().ok()?,
        advertise: told.advertise.as_ref().and_then(|at| at.parse().ok()),
        config: terms,
        count_members: told.shares.unwrap_or(false),
        relay_app_messages: told.news.unwrap_or(false),
    })
}

/// What a book that was checked says of coming back; nothing if it does not.
pub fn startup_settings(book: &schema::Yardbook) -> Option<StartupSettings> {
    let told = book.returns.as_ref()?;
    let usual = Trust::default();
    let life = told.host_life_ms.map_or(usual.host_lifetime, |life| TimeDelta::from_millis(life as i64));
    Some(StartupSettings {
        store: told.store.as_ref().map(std::path::PathBuf::from),
        trust: Trust { host_lifetime: life, ..usual },
        save_interval: span(told.save_ms, 5000),
        pacing: Calls {
            max_calls_per_s: told.discovery_calls.unwrap_or(Calls::default().max_calls_per_s),
            ..Calls::default()
        },
        rollback_delay: span(told.doubt_ms, 2000),
    })
}

/// What a book that was checked says of leases; nothing if it does not.
pub fn lease_settings(book: &schema::Yardbook) -> Option<LeaseSettings> {
    let told = book.leases.as_ref()?;
    let usual = arrowyard_leases::LeaseConfig::default();
    let mut voters: Vec<_> =
        told.voter.iter().filter_map(|one| Some((one.name().to_string(), one.at().parse().ok()?))).collect();
    // All routers number them alike, in whatever order their files name them.
    voters.sort();
    let duty = |duty: &schema::Duty| {
        Some(Duty {
            name: duty.name().to_string(),
            address: duty.at().parse().ok()?,
            path: duty.path.clone().unwrap_or_else(|| "/".to_string()),
            interval: span(duty.every_ms, 1000),
            max_duration: span(duty.takes_ms, 200),
            rank: duty.rank(),
        })
    };
    Some(LeaseSettings {
        fleet: told.fleet().to_string(),
        listen: told.listen().parse().ok()?,
        store: told.store.as_ref().map(std::path::PathBuf::from),
        config: arrowyard_leases::LeaseConfig {
            voter_count: voters.len() as u8,
            term: span(told.term_ms, 3000),
            drift_ppm: told.drift_ppm.unwrap_or(usual.drift_ppm),
            ..usual
        },
        voters,
        duties: told.duty.iter().filter_map(duty).collect(),
    })
}
