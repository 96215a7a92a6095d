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
    places: &'a FieldPositions,
    faults: Vec<ConfigError>,
}

/// All errors in the configuration.
pub fn validate(config: &Yardbook, places: &FieldPositions) -> Vec<ConfigError> {
    let mut validator = Validator { places, faults: Vec::new() };
    if config.epoch == Some(0) {
        validator.fault("epoch", "it is 1 at least, and grows with each edit".to_string());
    }
    if let Some(log) = &config.log {
        validator.log(log);
    }
    if let Some(cells) = &config.cells {
        if config.epoch.is_none() {
            validator
                .fault("cells", "a file with cells has an epoch, by which an older one is told".to_string());
        }
        validator.cells(cells);
    }
    if let Some(flight) = &config.flight {
        validator.flight(flight);
    }
    if let Some(peers) = &config.peers {
        validator.peers(peers);
    }
    if let Some(returns) = &config.returns {
        validator.returns(returns);
    }
    if let Some(leases) = &config.leases {
        validator.leases(leases);
    }
    validator.faults
}

impl Validator<'_> {
    fn fault(&mut self, field: &str, what: String) {
        self.faults.push(ConfigError {
            position: self.places.nearest(field),
            field: field.to_string(),
            message: what,
        });
    }

    fn number<T: PartialOrd + std::fmt::Display>(&mut self, field: &str, told: Option<T>, least: T, most: T) {
        // NaN is in no range.
        if let Some(number) = told.filter(|number| !(*number >= least && *number <= most)) {
            self.fault(field, format!("{number} is out of range, {least} to {most}"));
        }
    }

    fn name(&mut self, field: &str, told: Option<&str>) {
        match told {
            None => self.fault(field, "it has to be given".to_string()),
            Some("") => self.fault(field, "it is empty".to_string()),
            Some(text) if text.len() > MAX_TEXT_BYTES => {
                self.fault(field, format!("{} bytes, {MAX_TEXT_BYTES} at most", text.len()));
            }
            Some(text) if text.chars().any(char::is_control) => {
                self.fault(field, "it holds a control character".to_string());
            }
            Some(_) => {}
        }
    }

    fn log(&mut self, log: &Log) {
        if let Some(level) = &log.level
            && !["error", "warn", "info", "debug", "trace"].contains(&level.as_str())
        {
            self.fault("log.level", format!("{level:?} is none of error, warn, info, debug, trace"));
        }
        self.number("log.lines_a_second", log.lines_a_second, 1, 1_000_000);
    }

    fn flight(&mut self, flight: &Flight) {
        match flight.listen.as_deref().map(str::parse::<SocketAddr>) {
            None => self.fault("flight.listen", "it has to be given".to_string()),
            Some(Err(_)) => {
                let what = "it is no address with a port, as in \"127.0.0.1:32010\"";
                self.fault("flight.listen", what.to_string());
            }
            Some(Ok(_)) => {}
        }
        self.number("flight.connections", flight.connections, 1, 100_000);
        self.number("flight.calls", flight.calls, 1, 100_000);
        self.number("flight.held_bytes", flight.held_bytes, 0, 1 << 30);
        self.number("flight.message_bytes", flight.message_bytes, 64 * 1024, 1 << 30);
        self.number("flight.ticket_ms", flight.ticket_ms, 1, 3_600_000);
        self.number("flight.handles", flight.handles, 1, 1_000_000);
    }

    fn address(&mut self, field: &str, told: Option<&str>, needed: bool) {
        match told.map(str::parse::<SocketAddr>) {
            None if needed => self.fault(field, "it has to be given".to_string()),
            Some(Err(_)) => {
                self.fault(field, "it is no address with a port, as in \"10.0.0.5:7400\"".to_string());
            }
            _ => {}
        }
    }

    fn returns(&mut self, returns: &Returns) {
        if returns.store.is_some() {
            self.name("returns.store", returns.store.as_deref());
        }
        self.number("returns.host_life_ms", returns.host_life_ms, 1000, 10_000_000_000);
        self.number("returns.save_ms", returns.save_ms, 100, 3_600_000);
        self.number("returns.discovery_calls", returns.discovery_calls, 0.1, 1e6);
        self.number("returns.doubt_ms", returns.doubt_ms, 100, 600_000);
    }

    fn leases(&mut self, leases: &Leases) {
        self.name("leases.fleet", leases.fleet.as_deref());
        self.address("leases.listen", leases.listen.as_deref(), true);
        if ![3, 5, 7].contains(&leases.voter.len()) {
            let what = format!("{} voters; 3, 5 or 7 have to be named", leases.voter.len());
            self.fault("leases.voter", what);
        }
        let mut names = HashMap::new();
        for (row, voter) in leases.voter.iter().enumerate() {
            let path = format!("leases.voter[{row}]");
            self.name(&format!("{path}.name"), voter.name.as_deref());
            self.address(&format!("{path}.at"), voter.at.as_deref(), true);
            if let Some(first) = names.insert(voter.name(), row) {
                let line = self.places.nearest(&format!("leases.voter[{first}]")).line;
                self.fault(
                    &path,
                    format!("{:?} stands in line {line}, too: it would vote twice", voter.name()),
                );
            }
        }
        if leases.store.is_some() {
            self.name("leases.store", leases.store.as_deref());
        }
        self.number("leases.term_ms", leases.term_ms, 300, 3_600_000);
        self.number("leases.drift_ppm", leases.drift_ppm, 1, 100_000);
        let term = leases.term_ms.unwrap_or(3000);
        let mut names = HashMap::new();
        for (row, duty) in leases.duty.iter().enumerate() {
            let path = format!("leases.duty[{row}]");
            self.name(&format!("{path}.name"), duty.name.as_deref());
            self.address(&format!("{path}.at"), duty.at.as_deref(), true);
            self.number(&format!("{path}.every_ms"), duty.every_ms, 10, 86_400_000);
            let takes = duty.takes_ms.unwrap_or(200);
            if takes == 0 || takes > term / 2 {
                let what =
                    format!("{takes} ms; more than 0 and no more than half of the term, {} ms", term / 2);
                self.fault(&format!("{path}.takes_ms"), what);
            }
            let told = duty.path.as_deref().unwrap_or("/");
            if !told.starts_with('/') || told.bytes().any(|byte| !byte.is_ascii_graphic()) {
                let what = "it has to begin with / and hold no spaces".to_string();
                self.fault(&format!("{path}.path"), what);
            }
            if let Some(first) = names.insert(duty.name(), row) {
                let line = self.places.nearest(&format!("leases.duty[{first}]")).line;
                self.fault(&path, format!("{:?} stands in line {line}, too", duty.name()));
            }
        }
    }

    fn peers(&mut self, peers: &Peers) {
        self.name("peers.fleet", peers.fleet.as_deref());
        self.address("peers.listen", peers.listen.as_deref(), true);
        self.address("peers.advertise", peers.advertise.as_deref(), false);
        let listen = peers.listen.as_deref().and_then(|at| at.parse::<SocketAddr>().ok());
        if peers.advertise.is_none() && listen.is_some_and(|at| at.ip().is_unspecified()) {
            let what = "listen names no address that others could reach; advertise has to";
            self.fault("peers.advertise", what.to_string());
        }
        for (row, seed) in peers.seed.iter().enumerate() {
            self.address(&format!("peers.seed[{row}]"), Some(seed), true);
        }
        let prefixes = peers.allow.iter().enumerate().map(|(n, net)| (format!("peers.allow[{n}]"), net));
        self.are_prefixes(prefixes.collect());
        let allowed: Vec<IpNet> = peers.allow.iter().filter_map(|net| net.parse().ok()).collect();
        let own = peers.advertise.as_deref().and_then(|at| at.parse::<SocketAddr>().ok()).or(listen);
        if let Some(own) =
            own.filter(|own| !allowed.is_empty() && !allowed.iter().any(|net| net.contains(&own.ip())))
        {
            let what = format!("{own}, where the others reach this router, is in none of them");
            self.fault("peers.allow", what);
        }
        let mut names = HashMap::new();
        for (row, via) in peers.via.iter().enumerate() {
            let path = format!("peers.via[{row}]");
            self.name(&format!("{path}.name"), via.name.as_deref());
            self.address(&format!("{path}.at"), via.at.as_deref(), true);
            if let Some(first) = names.insert(via.name(), row) {
                let line = self.places.nearest(&format!("peers.via[{first}]")).line;
                self.fault(&path, format!("{:?} stands in line {line}, too", via.name()));
            }
        }
        self.number("peers.period_ms", peers.period_ms, 50, 60_000);
        self.number("peers.members", peers.members, 2, 100_000);
        self.number("peers.lost_after_ms", peers.lost_after_ms, 500, 3_600_000);
        let (period, lost) = (peers.period_ms.unwrap_or(500), peers.lost_after_ms.unwrap_or(4500));
        if lost < period.saturating_mul(3) {
            let what = format!(
                "{lost} ms is less than three periods of {period} ms: a lost datagram or two would do"
            );
            self.fault("peers.lost_after_ms", what);
        }
    }

    fn cells(&mut self, cells: &Cells) {
        if cells.cell.is_empty() {
            self.fault("cells", "there is no cell; leave cells out to have none".to_string());
        }
        if cells.cell.len() > MAX_CELLS {
            self.fault("cells", format!("{} cells, {MAX_CELLS} at most", cells.cell.len()));
        }
        self.number("cells.call_back_ms", cells.call_back_ms, 1, 60_000);
        let mut names: HashMap<&str, usize> = HashMap::new();
        for (row, cell) in cells.cell.iter().enumerate() {
            let path = format!("cells.cell[{row}]");
            self.cell(&path, cell);
            if let Some(first) = names.insert(cell.name(), row) {
                let line = self.places.nearest(&format!("cells.cell[{first}]")).line;
                self.fault(
                    &format!("{path}.name"),
                    format!("{:?} is the cell in line {line}, too", cell.name()),
                );
            }
        }
        self.hosts(&cells.cell);
        self.tenants(cells, &names);
        for (row, net) in cells.net.iter().enumerate() {
            self.net(&format!("cells.net[{row}]"), net, &names);
        }
        self.prefixes(&cells.net);
        if let Some(Rest { each }) = cells.rest {
            let placed = cells.cell.iter().filter(|cell| cell.placed.unwrap_or(true)).count();
            if placed == 0 {
                self.fault("cells.rest", "no cell takes tenants that are placed".to_string());
            } else {
                self.number("cells.rest.each", each, 1, placed as u32);
            }
        }
        if let Some(Repeats { share, window_ms, .. }) = cells.repeats {
            self.number("cells.repeats.share", share, 0.0, 10.0);
            self.number("cells.repeats.window_ms", window_ms, 100, 3_600_000);
        }
        if let Some(release) = &cells.release {
            self.release(release, &names);
        }
        if let Some(Lease { until_ms, skew_ms }) = cells.lease {
            self.point("cells.lease.until_ms", until_ms);
            if until_ms.is_none() {
                self.fault("cells.lease.until_ms", "it has to be given".to_string());
            }
            self.number("cells.lease.skew_ms", skew_ms, 0, 60_000);
        }
        self.moves(cells, &names);
    }

    fn cell(&mut self, path: &str, cell: &Cell) {
        self.name(&format!("{path}.name"), cell.name.as_deref());
        self.number(&format!("{path}.weight"), cell.weight, 1e-6, 1e6);
        self.number(&format!("{path}.guaranteed"), cell.guaranteed, 0.0, 1.0);
        if let Some(Pace { first, least, most }) = cell.pace {
            for (name, told) in [("first", first), ("least", least), ("most", most)] {
                self.number(&format!("{path}.pace.{name}"), told, 1, 1_000_000);
            }
            let (first, least, most) = (first.unwrap_or(32), least.unwrap_or(4), most.unwrap_or(512));
            if !(least <= first && first <= most) {
                let what = format!("least {least}, first {first} and most {most} are not in this order");
                self.fault(&format!("{path}.pace"), what);
            }
        }
        for (row, host) in cell.host.iter().enumerate() {
            let field = format!("{path}.host[{row}]");
            self.name(&field, Some(host));
            if host.find('*').is_some_and(|star| star + 1 != host.len()) {
                self.fault(&field, "a * stands at the end only".to_string());
            }
        }
        let mut groups = HashMap::new();
        for (row, group) in cell.group.iter().enumerate() {
            if let Some(first) = groups.insert(group, row) {
                self.fault(
                    &format!("{path}.group[{row}]"),
                    format!("{group} is row {first} of the cell, too"),
                );
            }
        }
    }

    /// Two cells may share a host, but a cell must not name one twice.
    fn hosts(&mut self, cells: &[Cell]) {
        for (row, cell) in cells.iter().enumerate() {
            let mut seen = HashMap::new();
            for (place, host) in cell.host.iter().enumerate() {
                if let Some(first) = seen.insert(host, place) {
                    let what = format!("{host:?} is row {first} of the cell, too");
                    self.fault(&format!("cells.cell[{row}].host[{place}]"), what);
                }
            }
        }
    }

    fn known(&mut self, field: &str, told: Option<&str>, names: &HashMap<&str, usize>) {
        self.name(field, told);
        if let Some(name) = told.filter(|name| !name.is_empty() && !names.contains_key(name)) {
            self.fault(field, format!("no cell is named {name:?}"));
        }
    }

    fn tenants(&mut self, cells: &Cells, names: &HashMap<&str, usize>) {
        let mut seen: HashMap<&str, usize> = HashMap::new();
        for (row, Tenant { name, cell }) in cells.tenant.iter().enumerate() {
            let path = format!("cells.tenant[{row}]");
            self.name(&format!("{path}.name"), name.as_deref());
            self.known(&format!("{path}.cell"), cell.as_deref(), names);
            let name = name.as_deref().unwrap_or_default();
            if let Some(first) = seen.insert(name, row) {
                let (line, other) =
                    (self.places.nearest(&format!("cells.tenant[{first}]")).line, cells.tenant[first].cell());
                let what = format!("line {line} puts tenant {name:?} in {other:?} already; leave one row");
                self.fault(&path, what);
            }
        }
    }

    fn net(&mut self, path: &str, net: &Net, names: &HashMap<&str, usize>) {
        self.known(&format!("{path}.cell"), net.cell.as_deref(), names);
        if net.prefix.is_some() != net.within.is_empty() {
            self.fault(path, "a row has either prefix or within".to_string());
        }
        if net.within.is_empty() && !net.without.is_empty() {
            self.fault(
                &format!("{path}.without[0]"),
                "it is taken from within, of which there is none".to_string(),
            );
        }
        let mut prefixes = Vec::new();
        prefixes.extend(net.prefix.as_ref().map(|prefix| (format!("{path}.prefix"), prefix)));
        prefixes.extend(net.within.iter().enumerate().map(|(n, p)| (format!("{path}.within[{n}]"), p)));
        prefixes.extend(net.without.iter().enumerate().map(|(n, p)| (format!("{path}.without[{n}]"), p)));
        self.are_prefixes(prefixes);
    }

    fn are_prefixes(&mut self, prefixes: Vec<(String, &String)>) {
        for (field, prefix) in prefixes {
            match prefix.parse::<IpNet>() {
                Ok(net) if net.addr() != net.network() => {
                    self.fault(
                        &field,
                        format!("{prefix} has bits beyond its length; {} is meant?", net.trunc()),
                    );
                }
                Ok(_) => {}
                Err(_) if prefix.parse::<IpAddr>().is_ok() => {
                    self.fault(&field, format!("{prefix} has no length; {prefix}/32 is meant (or /128)?"));
                }
                Err(_) => self.fault(&field, format!("{prefix:?} is no prefix, as in \"10.1.0.0/16\"")),
            }
        }
    }

    /// One prefix in two rows. One within another is no fault, the longest counts; of two sets that overlap,
    /// or a set and an equal prefix, none is the longer.
    fn prefixes(&mut self, nets: &[Net]) {
        let mut seen: HashMap<IpNet, usize> = HashMap::new();
        for (row, net) in nets.iter().enumerate() {
            let Some(prefix) = net.prefix.as_ref().and_then(|prefix| prefix.parse::<IpNet>().ok()) else {
                continue;
            };
            if let Some(first) = seen.insert(prefix, row) {
                let line = self.places.nearest(&format!("cells.net[{first}]")).line;
                self.fault(
                    &format!("cells.net[{row}].prefix"),
                    format!("{prefix} stands in line {line}, too"),
                );
            }
        }
        let sets: Vec<(usize, Vec<IpNet>, Vec<IpNet>)> = nets.iter().enumerate().filter_map(set).collect();
        for (place, (row, within, without)) in sets.iter().enumerate() {
            for (other, theirs, their_holes) in &sets[..place] {
                let shared =
                    within.iter().flat_map(|one| theirs.iter().filter_map(move |two| meet(*one, *two)));
                let mut holes = without.iter().chain(their_holes);
                let mut shared = shared.filter(|net| !holes.any(|hole| hole.contains(net)));
                if let Some(net) = shared.next() {
                    let line = self.places.nearest(&format!("cells.net[{other}]")).line;
                    let what = format!("{net} is in the set of line {line}, too; leave it out of one");
                    self.fault(&format!("cells.net[{row}]"), what);
                }
            }
        }
    }

    fn release(&mut self, release: &Release, names: &HashMap<&str, usize>) {
        let mut seen = HashMap::new();
        for (row, name) in release.order.iter().enumerate() {
            let field = format!("cells.release.order[{row}]");
            self.known(&field, Some(name), names);
            if let Some(first) = seen.insert(name, row) {
                self.fault(&field, format!("{name:?} is row {first}, too"));
            }
        }
        if release.order.len() < 2 {
            self.fault("cells.release.order", "an order has two cells at least".to_string());
        }
        self.number("cells.release.worse", release.worse, 1.1, 1000.0);
        self.number("cells.release.wrong", release.wrong, 1e-9, 0.2);
    }

    fn point(&mut self, field: &str, told: Option<u64>) {
        // Seconds for milliseconds would lie before 1971.
        self.number(field, told, 31_536_000_000, MAX_TIMESTAMP_MS);
    }

    fn moves(&mut self, cells: &Cells, names: &HashMap<&str, usize>) {
        let mut seen: HashMap<&str, usize> = HashMap::new();
        for (row, one) in cells.r#move.iter().enumerate() {
            let path = format!("cells.move[{row}]");
            self.name(&format!("{path}.tenant"), one.tenant.as_deref());
            self.known(&format!("{path}.from"), one.from.as_deref(), names);
            self.known(&format!("{path}.to"), one.to.as_deref(), names);
            if one.from == one.to {
                self.fault(&path, "it goes from a cell to the same".to_string());
            }
            if let Some(first) = seen.insert(one.tenant(), row) {
                let line = self.places.nearest(&format!("cells.move[{first}]")).line;
                let what = format!("tenant {:?} moves in line {line} already; end that first", one.tenant());
                self.fault(&path, what);
            }
            let home = cells.tenant.iter().find(|tenant| tenant.name == one.tenant);
            let wanted = match one.step() {
                Step::Done => one.to(),
                _ => one.from(),
            };
            if home.is_none_or(|home| home.cell() != wanted) {
                let what = format!("the tenant's row has to put it in {wanted:?} at step {:?}", one.step());
                self.fault(&path, what);
            }
            if cells.rest.is_some_and(|rest| rest.each.unwrap_or(1) > 1) && home.is_none() {
                self.fault(&path, "a tenant that is placed in several cells cannot be moved".to_string());
            }
            self.step(&path, one, cells);
        }
    }

    fn step(&mut self, path: &str, one: &Move, cells: &Cells) {
        let field = |name: &str| format!("{path}.{name}");
        let mut needed = Vec::new();
        match one.step() {
            Step::Unknown => {
                let what = "one of PLANNED, COPYING, FENCED, SWITCHED, DONE, CANCELLED has to be given";
                self.fault(&field("step"), what.to_string());
            }
            Step::Planned | Step::Copying | Step::Cancelled => {}
            Step::Fenced => needed.extend([("fence_at_ms", one.fence_at_ms)]),
            Step::Switched | Step::Done => needed.extend([
                ("fence_at_ms", one.fence_at_ms),
                ("copied_through_ms", one.copied_through_ms),
                ("target_floor_ms", one.target_floor_ms),
            ]),
        }
        if one.from_group.is_some() != one.to_group.is_some() {
            self.fault(path, "from_group and to_group stand together".to_string());
        }
        let Some((from, to)) = one.from_group.zip(one.to_group) else { return };
        if from == to {
            self.fault(
                &field("to_group"),
                "it is from_group; leave both out where the group stays".to_string(),
            );
        }
        if one.step() == Step::Switched && one.target_host.is_none() {
            let what = "the target's primary that holds the copy has to be named at step Switched";
            self.fault(&field("target_host"), what.to_string());
        }
        for (name, told) in needed {
            if told.is_none() {
                self.fault(&field(name), format!("it has to be given at step {:?}", one.step()));
            }
        }
        for (name, told) in [
            ("fence_at_ms", one.fence_at_ms),
            ("switch_at_ms", one.switch_at_ms),
            ("copied_through_ms", one.copied_through_ms),
            ("target_floor_ms", one.target_floor_ms),
        ] {
            self.point(&field(name), told);
        }
        if one.memory_ms.is_none() {
            self.fault(&field("memory_ms"), "it has to be given where the group changes".to_string());
        }
        if let Some((fence, switch)) = one.fence_at_ms.zip(one.switch_at_ms)
            && switch < fence
        {
            self.fault(&field("switch_at_ms"), "it lies before fence_at_ms".to_string());
        }
        if let Some((copied, floor)) = one.copied_through_ms.zip(one.target_floor_ms)
            && floor < copied
        {
            // A copy that the target held before the source had written it is a slip of two fields.
            self.fault(&field("target_floor_ms"), "it lies before copied_through_ms".to_string());
        }
        let early = one.step() == Step::Fenced || one.step() == Step::Copying || one.step() == Step::Planned;
        if early && cells.lease.is_none() && one.fence_at_ms.is_some() {
            let what = "routers that share nothing need a lease: without one, a router that never hears of the \
                        move goes on writing to the source";
            self.fault(path, what.to_string());
        }
    }
}

fn set((row, net): (usize, &Net)) -> Option<(usize, Vec<IpNet>, Vec<IpNet>)> {
    let all = |texts: &[String]| texts.iter().filter_map(|text| text.parse().ok()).collect::<Vec<IpNet>>();
    (!net.within.is_empty()).then(|| (row, all(&net.within), all(&net.without)))
}

/// The smaller one of two prefixes, if one holds the other.
fn meet(one: IpNet, two: IpNet) -> Option<IpNet> {
    if one.contains(&two) { Some(two) } else { two.contains(&one).then_some(one) }
}
