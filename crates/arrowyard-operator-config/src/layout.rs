//! Converts a validated configuration to the settings types of the crates that use it.

use arrowyard_cells::layout::{
    Cell, ConcurrencyLimitConfig, Layout, Lease, NetworkRule, RetryBudgetConfig, RolloutConfig,
};
use arrowyard_cells::tenant_move::{MoveConfig, Step};
use arrowyard_leases::{Duty, LeaseSettings};
use arrowyard_peers::{MembershipConfig, PeerSettings};
use arrowyard_startup::{PacingConfig, StartupSettings, Trust};
use arrowyard_types::{CellId, GroupId, TimeDelta, Timestamp};
use ipnet::IpNet;

use crate::schema;

fn timestamp(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis as i64 * 1000)
}

fn time_delta_or(millis: Option<u32>, default_millis: u32) -> TimeDelta {
    TimeDelta::from_millis(millis.unwrap_or(default_millis).into())
}

fn convert_cell(section: &schema::Cell) -> Cell {
    let concurrency_limit = section.pace.map(|pace| ConcurrencyLimitConfig {
        initial: pace.first.unwrap_or(32).into(),
        min: pace.least.unwrap_or(4).into(),
        max: pace.most.unwrap_or(512).into(),
    });
    Cell {
        name: section.name().into(),
        weight: section.weight.unwrap_or(1.0),
        groups: section.group.iter().copied().map(GroupId).collect(),
        hosts: section.host.iter().map(|host| host.as_str().into()).collect(),
        guaranteed_fraction: section.guaranteed.unwrap_or(0.5),
        accepts_hashed_tenants: section.placed.unwrap_or(true),
        concurrency_limit,
        removed: false,
    }
}

/// The layout of cells in a validated configuration; `None` if it has no cells. References to unknown cells,
/// which validation rejects, are left out.
pub fn cell_layout(config: &schema::Yardbook) -> Option<Layout> {
    let section = config.cells.as_ref()?;
    let cell_ids: std::collections::HashMap<&str, CellId> =
        section.cell.iter().map(schema::Cell::name).zip((0..).map(CellId)).collect();
    let cell_id = |name: &str| cell_ids.get(name).copied();
    let network_rule = |row: &schema::Net| {
        let parse_all =
            |texts: &[String]| texts.iter().filter_map(|text| text.parse().ok()).collect::<Vec<IpNet>>();
        let prefix = row.prefix.as_ref().and_then(|prefix| prefix.parse().ok());
        let included = prefix.map_or_else(|| parse_all(&row.within), |prefix| vec![prefix]);
        Some(NetworkRule { included, excluded: parse_all(&row.without), cell: cell_id(row.cell())? })
    };
    let move_config = |row: &schema::Move| {
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
            from: cell_id(row.from())?,
            to: cell_id(row.to())?,
            groups: row.from_group.zip(row.to_group).map(|(from, to)| (GroupId(from), GroupId(to))),
            client_group: row.named_group.or(row.from_group).map(GroupId),
            step,
            fence_at: row.fence_at_ms.map(timestamp),
            switch_at: row.switch_at_ms.map(timestamp),
            copied_through: row.copied_through_ms.map(timestamp),
            target_floor: row.target_floor_ms.map(timestamp),
            target_host: row.target_host.as_deref().map(Box::from),
            token_retention: time_delta_or(row.memory_ms, 0),
        })
    };
    let tenants = section.tenant.iter().filter_map(|row| Some((row.name().into(), cell_id(row.cell())?)));
    let rollout = section.release.as_ref().map(|release| RolloutConfig {
        order: release.order.iter().filter_map(|name| cell_id(name)).collect(),
        error_rate_ratio: release.worse.unwrap_or(3.0),
        error_probability: release.wrong.unwrap_or(0.001),
    });
    Some(Layout {
        epoch: config.epoch(),
        cells: section.cell.iter().map(convert_cell).collect(),
        tenants: tenants.collect(),
        networks: section.net.iter().filter_map(network_rule).collect(),
        cells_per_hashed_tenant: section.rest.map(|rest| rest.each.unwrap_or(1) as usize),
        reclaim_period: time_delta_or(section.call_back_ms, 100),
        retry_budget: section.repeats.map(|repeats| RetryBudgetConfig {
            retry_ratio: repeats.share.unwrap_or(0.2),
            min_retries: repeats.least.unwrap_or(8),
            window: time_delta_or(repeats.window_ms, 10_000),
        }),
        rollout,
        lease: section.lease.and_then(|lease| {
            Some(Lease {
                expires_at: timestamp(lease.until_ms?),
                max_clock_skew: time_delta_or(lease.skew_ms, 50),
            })
        }),
        moves: section.r#move.iter().filter_map(move_config).collect(),
    })
}

/// The fleet settings of a validated configuration; `None` if it configures no fleet.
pub fn peer_settings(config: &schema::Yardbook) -> Option<PeerSettings> {
    let section = config.peers.as_ref()?;
    let defaults = MembershipConfig::with_probe_interval(time_delta_or(section.period_ms, 500));
    let address_overrides =
        section.via.iter().filter_map(|via| Some((via.name().to_string(), via.at().parse().ok()?)));
    let membership_config = MembershipConfig {
        fleet: section.fleet().to_string(),
        seeds: section.seed.iter().filter_map(|address| address.parse().ok()).collect(),
        allowed_networks: section.allow.iter().filter_map(|net| net.parse().ok()).collect(),
        address_overrides: address_overrides.collect(),
        lost_after: time_delta_or(section.lost_after_ms, (defaults.lost_after.micros() / 1000) as u32),
        max_members: section.members.map_or(defaults.max_members, |members| members as usize),
        ..defaults
    };
    Some(PeerSettings {
        listen: section.listen().parse().ok()?,
        advertise: section.advertise.as_ref().and_then(|address| address.parse().ok()),
        config: membership_config,
        count_members: section.shares.unwrap_or(false),
        relay_app_messages: section.news.unwrap_or(false),
    })
}

/// The startup settings of a validated configuration, if any.
pub fn startup_settings(config: &schema::Yardbook) -> Option<StartupSettings> {
    let section = config.returns.as_ref()?;
    let defaults = Trust::default();
    let host_lifetime =
        section.host_life_ms.map_or(defaults.host_lifetime, |millis| TimeDelta::from_millis(millis as i64));
    Some(StartupSettings {
        store: section.store.as_ref().map(std::path::PathBuf::from),
        trust: Trust { host_lifetime, ..defaults },
        save_interval: time_delta_or(section.save_ms, 5000),
        pacing: PacingConfig {
            max_calls_per_s: section.discovery_calls.unwrap_or(PacingConfig::default().max_calls_per_s),
            ..PacingConfig::default()
        },
        rollback_delay: time_delta_or(section.doubt_ms, 2000),
    })
}

/// The lease settings of a validated configuration, if any.
pub fn lease_settings(config: &schema::Yardbook) -> Option<LeaseSettings> {
    let section = config.leases.as_ref()?;
    let defaults = arrowyard_leases::LeaseConfig::default();
    let mut voters: Vec<_> = section
        .voter
        .iter()
        .filter_map(|voter| Some((voter.name().to_string(), voter.at().parse().ok()?)))
        .collect();
    // Sorted, so that all routers assign the same ids to voters whatever the order in their files.
    voters.sort();
    let convert_duty = |row: &schema::Duty| {
        Some(Duty {
            name: row.name().to_string(),
            address: row.at().parse().ok()?,
            path: row.path.clone().unwrap_or_else(|| "/".to_string()),
            interval: time_delta_or(row.every_ms, 1000),
            max_duration: time_delta_or(row.takes_ms, 200),
            rank: row.rank(),
        })
    };
    Some(LeaseSettings {
        fleet: section.fleet().to_string(),
        listen: section.listen().parse().ok()?,
        store: section.store.as_ref().map(std::path::PathBuf::from),
        config: arrowyard_leases::LeaseConfig {
            voter_count: voters.len() as u8,
            term: time_delta_or(section.term_ms, 3000),
            drift_ppm: section.drift_ppm.unwrap_or(defaults.drift_ppm),
            ..defaults
        },
        voters,
        duties: section.duty.iter().filter_map(convert_duty).collect(),
    })
}
