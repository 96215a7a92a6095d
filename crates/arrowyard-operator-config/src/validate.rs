//! Validates a parsed file: ranges of values, references to names, and rows that contradict each other.
//! Finds all errors.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

use ipnet::IpNet;

use crate::positions::FieldPositions;
use crate::schema::{
    Cell, Cells, Flight, Lease, Leases, Log, Move, Net, Pace, Peers, Release, Repeats, Rest, Returns, Step,
    Tenant,
};
use crate::{ConfigError, Yardbook};

/// The maximum number of cells.
const MAX_CELLS: usize = 4096;
/// The maximum length of a text, in bytes.
const MAX_TEXT_BYTES: usize = 256;
/// 2200-01-01 in Unix milliseconds; a later time indicates a wrong unit.
const MAX_TIMESTAMP_MS: u64 = 7_258_118_400_000;

struct Validator<'a> {
    positions: &'a FieldPositions,
    errors: Vec<ConfigError>,
}

/// Validates a configuration and returns all errors found.
pub fn validate(config: &Yardbook, positions: &FieldPositions) -> Vec<ConfigError> {
    let mut validator = Validator { positions, errors: Vec::new() };
    if config.epoch == Some(0) {
        validator.push_error("epoch", "must be at least 1 and increase with each edit".to_string());
    }
    if let Some(log) = &config.log {
        validator.check_log(log);
    }
    if let Some(cells) = &config.cells {
        if config.epoch.is_none() {
            validator.push_error(
                "cells",
                "epoch is required in a file with cells, to detect an older file".to_string(),
            );
        }
        validator.check_cells(cells);
    }
    if let Some(flight) = &config.flight {
        validator.check_flight(flight);
    }
    if let Some(peers) = &config.peers {
        validator.check_peers(peers);
    }
    if let Some(returns) = &config.returns {
        validator.check_returns(returns);
    }
    if let Some(leases) = &config.leases {
        validator.check_leases(leases);
    }
    validator.errors
}

impl Validator<'_> {
    fn push_error(&mut self, field: &str, message: String) {
        self.errors.push(ConfigError {
            position: self.positions.nearest(field),
            field: field.to_string(),
            message,
        });
    }

    fn check_range<T: PartialOrd + std::fmt::Display>(
        &mut self,
        field: &str,
        value: Option<T>,
        min: T,
        max: T,
    ) {
        // Written so that NaN is rejected.
        if let Some(number) = value.filter(|number| !(*number >= min && *number <= max)) {
            self.push_error(field, format!("{number} is out of range, {min} to {max}"));
        }
    }

    fn check_name(&mut self, field: &str, value: Option<&str>) {
        match value {
            None => self.push_error(field, "is required".to_string()),
            Some("") => self.push_error(field, "must not be empty".to_string()),
            Some(text) if text.len() > MAX_TEXT_BYTES => {
                self.push_error(field, format!("{} bytes; at most {MAX_TEXT_BYTES} are allowed", text.len()));
            }
            Some(text) if text.chars().any(char::is_control) => {
                self.push_error(field, "must not contain control characters".to_string());
            }
            Some(_) => {}
        }
    }

    fn check_log(&mut self, log: &Log) {
        if let Some(level) = &log.level
            && !["error", "warn", "info", "debug", "trace"].contains(&level.as_str())
        {
            self.push_error("log.level", format!("{level:?} is not one of error, warn, info, debug, trace"));
        }
        self.check_range("log.lines_a_second", log.lines_a_second, 1, 1_000_000);
    }

    fn check_flight(&mut self, flight: &Flight) {
        match flight.listen.as_deref().map(str::parse::<SocketAddr>) {
            None => self.push_error("flight.listen", "is required".to_string()),
            Some(Err(_)) => {
                let message = "must be an address with a port, such as \"127.0.0.1:32010\"";
                self.push_error("flight.listen", message.to_string());
            }
            Some(Ok(_)) => {}
        }
        self.check_range("flight.connections", flight.connections, 1, 100_000);
        self.check_range("flight.calls", flight.calls, 1, 100_000);
        self.check_range("flight.held_bytes", flight.held_bytes, 0, 1 << 30);
        self.check_range("flight.message_bytes", flight.message_bytes, 64 * 1024, 1 << 30);
        self.check_range("flight.ticket_ms", flight.ticket_ms, 1, 3_600_000);
        self.check_range("flight.handles", flight.handles, 1, 1_000_000);
    }

    fn check_address(&mut self, field: &str, value: Option<&str>, is_required: bool) {
        match value.map(str::parse::<SocketAddr>) {
            None if is_required => self.push_error(field, "is required".to_string()),
            Some(Err(_)) => {
                self.push_error(
                    field,
                    "must be an address with a port, such as \"10.0.0.5:7400\"".to_string(),
                );
            }
            _ => {}
        }
    }

    fn check_returns(&mut self, returns: &Returns) {
        if returns.store.is_some() {
            self.check_name("returns.store", returns.store.as_deref());
        }
        self.check_range("returns.host_life_ms", returns.host_life_ms, 1000, 10_000_000_000);
        self.check_range("returns.save_ms", returns.save_ms, 100, 3_600_000);
        self.check_range("returns.discovery_calls", returns.discovery_calls, 0.1, 1e6);
        self.check_range("returns.doubt_ms", returns.doubt_ms, 100, 600_000);
    }

    fn check_leases(&mut self, leases: &Leases) {
        self.check_name("leases.fleet", leases.fleet.as_deref());
        self.check_address("leases.listen", leases.listen.as_deref(), true);
        if ![3, 5, 7].contains(&leases.voter.len()) {
            let message = format!("{} voters; there must be 3, 5 or 7", leases.voter.len());
            self.push_error("leases.voter", message);
        }
        let mut voter_indexes = HashMap::new();
        for (index, voter) in leases.voter.iter().enumerate() {
            let path = format!("leases.voter[{index}]");
            self.check_name(&format!("{path}.name"), voter.name.as_deref());
            self.check_address(&format!("{path}.at"), voter.at.as_deref(), true);
            if let Some(first_index) = voter_indexes.insert(voter.name(), index) {
                let line = self.positions.nearest(&format!("leases.voter[{first_index}]")).line;
                self.push_error(
                    &path,
                    format!("{:?} is also in line {line}: it would vote twice", voter.name()),
                );
            }
        }
        if leases.store.is_some() {
            self.check_name("leases.store", leases.store.as_deref());
        }
        self.check_range("leases.term_ms", leases.term_ms, 300, 3_600_000);
        self.check_range("leases.drift_ppm", leases.drift_ppm, 1, 100_000);
        let term = leases.term_ms.unwrap_or(3000);
        let mut duty_indexes = HashMap::new();
        for (index, duty) in leases.duty.iter().enumerate() {
            let path = format!("leases.duty[{index}]");
            self.check_name(&format!("{path}.name"), duty.name.as_deref());
            self.check_address(&format!("{path}.at"), duty.at.as_deref(), true);
            self.check_range(&format!("{path}.every_ms"), duty.every_ms, 10, 86_400_000);
            let max_duration = duty.takes_ms.unwrap_or(200);
            if max_duration == 0 || max_duration > term / 2 {
                let message = format!(
                    "{max_duration} ms; must be more than 0 and at most half of the term, {} ms",
                    term / 2
                );
                self.push_error(&format!("{path}.takes_ms"), message);
            }
            let path_value = duty.path.as_deref().unwrap_or("/");
            if !path_value.starts_with('/') || path_value.bytes().any(|byte| !byte.is_ascii_graphic()) {
                let message = "must begin with / and contain no spaces".to_string();
                self.push_error(&format!("{path}.path"), message);
            }
            if let Some(first_index) = duty_indexes.insert(duty.name(), index) {
                let line = self.positions.nearest(&format!("leases.duty[{first_index}]")).line;
                self.push_error(&path, format!("{:?} is also in line {line}", duty.name()));
            }
        }
    }

    fn check_peers(&mut self, peers: &Peers) {
        self.check_name("peers.fleet", peers.fleet.as_deref());
        self.check_address("peers.listen", peers.listen.as_deref(), true);
        self.check_address("peers.advertise", peers.advertise.as_deref(), false);
        let listen = peers.listen.as_deref().and_then(|address| address.parse::<SocketAddr>().ok());
        if peers.advertise.is_none() && listen.is_some_and(|address| address.ip().is_unspecified()) {
            let message = "listen is not an address that other routers can reach, so advertise is required";
            self.push_error("peers.advertise", message.to_string());
        }
        for (index, seed) in peers.seed.iter().enumerate() {
            self.check_address(&format!("peers.seed[{index}]"), Some(seed), true);
        }
        let prefixes =
            peers.allow.iter().enumerate().map(|(index, net)| (format!("peers.allow[{index}]"), net));
        self.check_prefixes(prefixes.collect());
        let allowed: Vec<IpNet> = peers.allow.iter().filter_map(|net| net.parse().ok()).collect();
        let own_address =
            peers.advertise.as_deref().and_then(|address| address.parse::<SocketAddr>().ok()).or(listen);
        if let Some(own_address) = own_address.filter(|own_address| {
            !allowed.is_empty() && !allowed.iter().any(|net| net.contains(&own_address.ip()))
        }) {
            let message = format!("{own_address}, the address of this router, is in none of these networks");
            self.push_error("peers.allow", message);
        }
        let mut via_indexes = HashMap::new();
        for (index, via) in peers.via.iter().enumerate() {
            let path = format!("peers.via[{index}]");
            self.check_name(&format!("{path}.name"), via.name.as_deref());
            self.check_address(&format!("{path}.at"), via.at.as_deref(), true);
            if let Some(first_index) = via_indexes.insert(via.name(), index) {
                let line = self.positions.nearest(&format!("peers.via[{first_index}]")).line;
                self.push_error(&path, format!("{:?} is also in line {line}", via.name()));
            }
        }
        self.check_range("peers.period_ms", peers.period_ms, 50, 60_000);
        self.check_range("peers.members", peers.members, 2, 100_000);
        self.check_range("peers.lost_after_ms", peers.lost_after_ms, 500, 3_600_000);
        let (period, lost_after) = (peers.period_ms.unwrap_or(500), peers.lost_after_ms.unwrap_or(4500));
        if lost_after < period.saturating_mul(3) {
            let message = format!(
                "{lost_after} ms is less than three periods of {period} ms: one or two lost datagrams would suffice"
            );
            self.push_error("peers.lost_after_ms", message);
        }
    }

    fn check_cells(&mut self, cells: &Cells) {
        if cells.cell.is_empty() {
            self.push_error("cells", "there is no cell; omit cells to configure none".to_string());
        }
        if cells.cell.len() > MAX_CELLS {
            self.push_error("cells", format!("{} cells; at most {MAX_CELLS} are allowed", cells.cell.len()));
        }
        self.check_range("cells.call_back_ms", cells.call_back_ms, 1, 60_000);
        let mut cell_indexes: HashMap<&str, usize> = HashMap::new();
        for (index, cell) in cells.cell.iter().enumerate() {
            let path = format!("cells.cell[{index}]");
            self.check_cell(&path, cell);
            if let Some(first_index) = cell_indexes.insert(cell.name(), index) {
                let line = self.positions.nearest(&format!("cells.cell[{first_index}]")).line;
                self.push_error(
                    &format!("{path}.name"),
                    format!("{:?} is also the name of the cell in line {line}", cell.name()),
                );
            }
        }
        self.check_hosts(&cells.cell);
        self.check_tenants(cells, &cell_indexes);
        for (index, net) in cells.net.iter().enumerate() {
            self.check_net(&format!("cells.net[{index}]"), net, &cell_indexes);
        }
        self.check_overlaps(&cells.net);
        if let Some(Rest { each }) = cells.rest {
            let placed_cells = cells.cell.iter().filter(|cell| cell.placed.unwrap_or(true)).count();
            if placed_cells == 0 {
                self.push_error("cells.rest", "no cell accepts placed tenants".to_string());
            } else {
                self.check_range("cells.rest.each", each, 1, placed_cells as u32);
            }
        }
        if let Some(Repeats { share, window_ms, .. }) = cells.repeats {
            self.check_range("cells.repeats.share", share, 0.0, 10.0);
            self.check_range("cells.repeats.window_ms", window_ms, 100, 3_600_000);
        }
        if let Some(release) = &cells.release {
            self.check_release(release, &cell_indexes);
        }
        if let Some(Lease { until_ms, skew_ms }) = cells.lease {
            self.check_timestamp("cells.lease.until_ms", until_ms);
            if until_ms.is_none() {
                self.push_error("cells.lease.until_ms", "is required".to_string());
            }
            self.check_range("cells.lease.skew_ms", skew_ms, 0, 60_000);
        }
        self.check_moves(cells, &cell_indexes);
    }

    fn check_cell(&mut self, path: &str, cell: &Cell) {
        self.check_name(&format!("{path}.name"), cell.name.as_deref());
        self.check_range(&format!("{path}.weight"), cell.weight, 1e-6, 1e6);
        self.check_range(&format!("{path}.guaranteed"), cell.guaranteed, 0.0, 1.0);
        if let Some(Pace { first, least, most }) = cell.pace {
            for (name, value) in [("first", first), ("least", least), ("most", most)] {
                self.check_range(&format!("{path}.pace.{name}"), value, 1, 1_000_000);
            }
            let (first, least, most) = (first.unwrap_or(32), least.unwrap_or(4), most.unwrap_or(512));
            if !(least <= first && first <= most) {
                let message =
                    format!("least {least}, first {first} and most {most} must be in ascending order");
                self.push_error(&format!("{path}.pace"), message);
            }
        }
        for (index, host) in cell.host.iter().enumerate() {
            let field = format!("{path}.host[{index}]");
            self.check_name(&field, Some(host));
            if host.find('*').is_some_and(|index| index + 1 != host.len()) {
                self.push_error(&field, "* is allowed only at the end".to_string());
            }
        }
        let mut group_indexes = HashMap::new();
        for (index, group) in cell.group.iter().enumerate() {
            if let Some(first_index) = group_indexes.insert(group, index) {
                self.push_error(
                    &format!("{path}.group[{index}]"),
                    format!("{group} is also row {first_index} of the cell"),
                );
            }
        }
    }

    /// Rejects a host that is named twice in one cell; several cells may name the same host.
    fn check_hosts(&mut self, cells: &[Cell]) {
        for (index, cell) in cells.iter().enumerate() {
            let mut host_indexes = HashMap::new();
            for (host_index, host) in cell.host.iter().enumerate() {
                if let Some(first_index) = host_indexes.insert(host, host_index) {
                    let message = format!("{host:?} is also row {first_index} of the cell");
                    self.push_error(&format!("cells.cell[{index}].host[{host_index}]"), message);
                }
            }
        }
    }

    fn check_cell_reference(
        &mut self,
        field: &str,
        value: Option<&str>,
        cell_indexes: &HashMap<&str, usize>,
    ) {
        self.check_name(field, value);
        if let Some(name) = value.filter(|name| !name.is_empty() && !cell_indexes.contains_key(name)) {
            self.push_error(field, format!("no cell is named {name:?}"));
        }
    }

    fn check_tenants(&mut self, cells: &Cells, cell_indexes: &HashMap<&str, usize>) {
        let mut tenant_indexes: HashMap<&str, usize> = HashMap::new();
        for (index, Tenant { name, cell }) in cells.tenant.iter().enumerate() {
            let path = format!("cells.tenant[{index}]");
            self.check_name(&format!("{path}.name"), name.as_deref());
            self.check_cell_reference(&format!("{path}.cell"), cell.as_deref(), cell_indexes);
            let name = name.as_deref().unwrap_or_default();
            if let Some(first_index) = tenant_indexes.insert(name, index) {
                let (line, other_cell) = (
                    self.positions.nearest(&format!("cells.tenant[{first_index}]")).line,
                    cells.tenant[first_index].cell(),
                );
                let message =
                    format!("line {line} already assigns tenant {name:?} to {other_cell:?}; remove one row");
                self.push_error(&path, message);
            }
        }
    }

    fn check_net(&mut self, path: &str, net: &Net, cell_indexes: &HashMap<&str, usize>) {
        self.check_cell_reference(&format!("{path}.cell"), net.cell.as_deref(), cell_indexes);
        if net.prefix.is_some() != net.within.is_empty() {
            self.push_error(path, "must have either prefix or within".to_string());
        }
        if net.within.is_empty() && !net.without.is_empty() {
            self.push_error(&format!("{path}.without[0]"), "requires within".to_string());
        }
        let mut prefixes = Vec::new();
        prefixes.extend(net.prefix.as_ref().map(|prefix| (format!("{path}.prefix"), prefix)));
        prefixes.extend(
            net.within.iter().enumerate().map(|(index, prefix)| (format!("{path}.within[{index}]"), prefix)),
        );
        prefixes.extend(
            net.without
                .iter()
                .enumerate()
                .map(|(index, prefix)| (format!("{path}.without[{index}]"), prefix)),
        );
        self.check_prefixes(prefixes);
    }

    fn check_prefixes(&mut self, prefixes: Vec<(String, &String)>) {
        for (field, prefix) in prefixes {
            match prefix.parse::<IpNet>() {
                Ok(net) if net.addr() != net.network() => {
                    self.push_error(
                        &field,
                        format!("{prefix} has bits beyond its length; did you mean {}?", net.trunc()),
                    );
                }
                Ok(_) => {}
                Err(_) if prefix.parse::<IpAddr>().is_ok() => {
                    self.push_error(
                        &field,
                        format!("{prefix} has no prefix length; did you mean {prefix}/32 (or /128)?"),
                    );
                }
                Err(_) => self.push_error(
                    &field,
                    format!("{prefix:?} is not a network prefix such as \"10.1.0.0/16\""),
                ),
            }
        }
    }

    /// Rejects equal prefixes in two rows, and overlapping sets. A prefix within another one is valid, since
    /// the longest match applies; sets have no such order.
    fn check_overlaps(&mut self, nets: &[Net]) {
        let mut prefix_indexes: HashMap<IpNet, usize> = HashMap::new();
        for (index, net) in nets.iter().enumerate() {
            let Some(prefix) = net.prefix.as_ref().and_then(|prefix| prefix.parse::<IpNet>().ok()) else {
                continue;
            };
            if let Some(first_index) = prefix_indexes.insert(prefix, index) {
                let line = self.positions.nearest(&format!("cells.net[{first_index}]")).line;
                self.push_error(
                    &format!("cells.net[{index}].prefix"),
                    format!("{prefix} is also in line {line}"),
                );
            }
        }
        let sets: Vec<(usize, Vec<IpNet>, Vec<IpNet>)> =
            nets.iter().enumerate().filter_map(network_set).collect();
        for (set_index, (index, within, without)) in sets.iter().enumerate() {
            for (other_index, other_within, other_without) in &sets[..set_index] {
                let shared = within.iter().flat_map(|net| {
                    other_within.iter().filter_map(move |other_net| intersection(*net, *other_net))
                });
                let mut excluded = without.iter().chain(other_without);
                let mut shared =
                    shared.filter(|net| !excluded.any(|excluded_net| excluded_net.contains(net)));
                if let Some(net) = shared.next() {
                    let line = self.positions.nearest(&format!("cells.net[{other_index}]")).line;
                    let message = format!("{net} is also in the set of line {line}; exclude it from one");
                    self.push_error(&format!("cells.net[{index}]"), message);
                }
            }
        }
    }

    fn check_release(&mut self, release: &Release, cell_indexes: &HashMap<&str, usize>) {
        let mut order_indexes = HashMap::new();
        for (index, name) in release.order.iter().enumerate() {
            let field = format!("cells.release.order[{index}]");
            self.check_cell_reference(&field, Some(name), cell_indexes);
            if let Some(first_index) = order_indexes.insert(name, index) {
                self.push_error(&field, format!("{name:?} is also row {first_index}"));
            }
        }
        if release.order.len() < 2 {
            self.push_error("cells.release.order", "must contain at least two cells".to_string());
        }
        self.check_range("cells.release.worse", release.worse, 1.1, 1000.0);
        self.check_range("cells.release.wrong", release.wrong, 1e-9, 0.2);
    }

    fn check_timestamp(&mut self, field: &str, value: Option<u64>) {
        // Rejects a time given in seconds, which would be before 1971.
        self.check_range(field, value, 31_536_000_000, MAX_TIMESTAMP_MS);
    }

    fn check_moves(&mut self, cells: &Cells, cell_indexes: &HashMap<&str, usize>) {
        let mut moved_tenants: HashMap<&str, usize> = HashMap::new();
        for (index, tenant_move) in cells.r#move.iter().enumerate() {
            let path = format!("cells.move[{index}]");
            self.check_name(&format!("{path}.tenant"), tenant_move.tenant.as_deref());
            self.check_cell_reference(&format!("{path}.from"), tenant_move.from.as_deref(), cell_indexes);
            self.check_cell_reference(&format!("{path}.to"), tenant_move.to.as_deref(), cell_indexes);
            if tenant_move.from == tenant_move.to {
                self.push_error(&path, "from and to are the same cell".to_string());
            }
            if let Some(first_index) = moved_tenants.insert(tenant_move.tenant(), index) {
                let line = self.positions.nearest(&format!("cells.move[{first_index}]")).line;
                let message = format!(
                    "tenant {:?} already has a move in line {line}; complete that one first",
                    tenant_move.tenant()
                );
                self.push_error(&path, message);
            }
            let tenant_row = cells.tenant.iter().find(|tenant| tenant.name == tenant_move.tenant);
            let expected_cell = match tenant_move.step() {
                Step::Done => tenant_move.to(),
                _ => tenant_move.from(),
            };
            if tenant_row.is_none_or(|tenant_row| tenant_row.cell() != expected_cell) {
                let message = format!(
                    "the tenant must be assigned to {expected_cell:?} at step {:?}",
                    tenant_move.step()
                );
                self.push_error(&path, message);
            }
            if cells.rest.is_some_and(|rest| rest.each.unwrap_or(1) > 1) && tenant_row.is_none() {
                self.push_error(
                    &path,
                    "a tenant that is placed in several cells cannot be moved".to_string(),
                );
            }
            self.check_move_step(&path, tenant_move, cells);
        }
    }

    fn check_move_step(&mut self, path: &str, tenant_move: &Move, cells: &Cells) {
        let field = |name: &str| format!("{path}.{name}");
        let mut required_fields = Vec::new();
        match tenant_move.step() {
            Step::Unknown => {
                let message = "must be one of PLANNED, COPYING, FENCED, SWITCHED, DONE, CANCELLED";
                self.push_error(&field("step"), message.to_string());
            }
            Step::Planned | Step::Copying | Step::Cancelled => {}
            Step::Fenced => required_fields.extend([("fence_at_ms", tenant_move.fence_at_ms)]),
            Step::Switched | Step::Done => required_fields.extend([
                ("fence_at_ms", tenant_move.fence_at_ms),
                ("copied_through_ms", tenant_move.copied_through_ms),
                ("target_floor_ms", tenant_move.target_floor_ms),
            ]),
        }
        if tenant_move.from_group.is_some() != tenant_move.to_group.is_some() {
            self.push_error(path, "from_group and to_group must be set together".to_string());
        }
        let Some((from_group, to_group)) = tenant_move.from_group.zip(tenant_move.to_group) else { return };
        if from_group == to_group {
            self.push_error(
                &field("to_group"),
                "is the same as from_group; omit both if the group does not change".to_string(),
            );
        }
        if tenant_move.step() == Step::Switched && tenant_move.target_host.is_none() {
            let message = "the target's primary that holds the copy is required at step Switched";
            self.push_error(&field("target_host"), message.to_string());
        }
        for (name, value) in required_fields {
            if value.is_none() {
                self.push_error(&field(name), format!("is required at step {:?}", tenant_move.step()));
            }
        }
        for (name, value) in [
            ("fence_at_ms", tenant_move.fence_at_ms),
            ("switch_at_ms", tenant_move.switch_at_ms),
            ("copied_through_ms", tenant_move.copied_through_ms),
            ("target_floor_ms", tenant_move.target_floor_ms),
        ] {
            self.check_timestamp(&field(name), value);
        }
        if tenant_move.memory_ms.is_none() {
            self.push_error(&field("memory_ms"), "is required where the group changes".to_string());
        }
        if let Some((fence_at, switch_at)) = tenant_move.fence_at_ms.zip(tenant_move.switch_at_ms)
            && switch_at < fence_at
        {
            self.push_error(&field("switch_at_ms"), "is before fence_at_ms".to_string());
        }
        if let Some((copied_through, target_floor)) =
            tenant_move.copied_through_ms.zip(tenant_move.target_floor_ms)
            && target_floor < copied_through
        {
            // The target cannot have the copy before the source wrote it; the fields are probably swapped.
            self.push_error(&field("target_floor_ms"), "is before copied_through_ms".to_string());
        }
        let is_before_switch = tenant_move.step() == Step::Fenced
            || tenant_move.step() == Step::Copying
            || tenant_move.step() == Step::Planned;
        if is_before_switch && cells.lease.is_none() && tenant_move.fence_at_ms.is_some() {
            let message = "a move requires cells.lease: without one, a router that does not learn of the move \
                        continues to write to the source";
            self.push_error(path, message.to_string());
        }
    }
}

/// The index, the included and the excluded networks of a row that defines a set; `None` for a row with one
/// prefix.
fn network_set((index, net): (usize, &Net)) -> Option<(usize, Vec<IpNet>, Vec<IpNet>)> {
    let parse_all =
        |texts: &[String]| texts.iter().filter_map(|text| text.parse().ok()).collect::<Vec<IpNet>>();
    (!net.within.is_empty()).then(|| (index, parse_all(&net.within), parse_all(&net.without)))
}

/// The intersection of two prefixes: the longer one, if the other contains it.
fn intersection(first: IpNet, second: IpNet) -> Option<IpNet> {
    if first.contains(&second) { Some(second) } else { second.contains(&first).then_some(first) }
}
