//! What control costs by size: hollow routers (the plane as it ships, without clients) and hosts that only call, many in
//! one process; the planes' own time on the real clock, their bytes and their memory.

use std::time::{Duration, Instant};

use arrowyard_config::Configuration;
use arrowyard_pooler::Routes;
use arrowyard_types::{TimeDelta, Timestamp};

use crate::system::{Plan, System};
use crate::world::MachineId;

/// What one size costs.
#[derive(Clone, Debug)]
pub struct Cost {
    pub controls: usize,
    pub routers: usize,
    pub hosts: usize,
    pub users: usize,
    /// Resident memory of this process beyond what it had before, in bytes.
    pub memory: i64,
    /// Each a second: of all control machines, and of all routers.
    pub control: Rate,
    pub router: Rate,
    /// Of each change of the configuration, over what a calm second costs.
    pub changes: usize,
    pub statements: u64,
}

/// Bytes, writes, events and processor time a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    pub bytes: f64,
    pub writes: f64,
    pub events: f64,
    pub busy: f64,
}

fn resident() -> i64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: i64 = text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * 4096
}

fn total(system: &System, machines: &[MachineId]) -> (u64, u64, u64, Duration) {
    machines.iter().fold((0, 0, 0, Duration::ZERO), |sum, machine| {
        let cost = system.world.cost(*machine);
        (sum.0 + cost.0, sum.1 + cost.1, sum.2 + cost.2, sum.3 + cost.3)
    })
}

fn rate(before: (u64, u64, u64, Duration), after: (u64, u64, u64, Duration), seconds: f64) -> Rate {
    Rate {
        bytes: (after.0 - before.0) as f64 / seconds,
        writes: (after.1 - before.1) as f64 / seconds,
        events: (after.2 - before.2) as f64 / seconds,
        busy: (after.3 - before.3).as_secs_f64() / seconds,
    }
}

/// Plays a calm stretch of a deployment, and says what it cost; with `changes`, changes of the configuration in it.
pub fn measure(controls: usize, routers: usize, services: usize, users: usize, changes: usize) -> Cost {
    let at = |seconds: f64| Timestamp::from_micros((seconds * 1e6) as i64);
    let (from, seconds) = (10.0, 20.0);
    let before = resident();
    let plan = Plan {
        seed: 1,
        controls,
        routers,
        services,
        users,
        think: TimeDelta::from_millis(if users > 50 { 60_000 } else { 100 }),
        from: at(4.0),
        until: at(60.0),
        changes: (0..changes)
            .map(|change| at(from + 0.5 + change as f64 * seconds / changes as f64))
            .collect(),
        limit: 57,
        zones: 3,
        tolerance: 1,
        fence_checked: true,
        surges: Vec::new(),
        divides: true,
        shares: String::new(),
    };
    let mut system = System::new(plan);
    system.world.run(at(from));
    let (controls_id, routers_id) = (system.controls.clone(), system.routers.clone());
    let (control, router) = (total(&system, &controls_id), total(&system, &routers_id));
    let ran = system.history.borrow().runs;
    system.world.run(at(from + seconds));
    let memory = resident() - before;
    let statements = system.history.borrow().runs - ran;
    Cost {
        controls,
        routers,
        hosts: services * 3,
        users: users * services * 3,
        memory,
        control: rate(control, total(&system, &controls_id), seconds),
        router: rate(router, total(&system, &routers_id), seconds),
        changes,
        statements,
    }
}

/// What one change of a configuration of so many routes takes.
pub struct ChangeCost {
    /// To check and apply it.
    pub apply: Duration,
    /// To lay it out for sessions.
    pub layout: Duration,
    /// To find what differs, for routers.
    pub difference: Duration,
    /// The whole configuration, in bytes.
    pub whole: usize,
}

/// Measures one change of a configuration of so many routes.
pub fn configuration(routes: usize) -> ChangeCost {
    let channels: Vec<String> = (0..routes)
        .map(|route| {
            format!(
                "{{\"name\":\"r-{route}\",\"plant\":\"db{route}\",\"path-prefix\":\"/\",\"kind\":\"primary\",\"deadline-ms\":800,\
                 \"setpoint-ms\":120,\"priority\":1,\"service\":\"s{}\",\"tries\":2}}",
                route / 3
            )
        })
        .collect();
    let services: Vec<String> = (0..=routes / 3)
        .map(|service| format!("{{\"name\":\"s{service}\",\"conn-limit\":57,\"sync-replicas\":1}}"))
        .collect();
    let body = format!(
        "{{\"revision\":3,\"channels\":[{}],\"services\":[{}]}}",
        channels.join(","),
        services.join(",")
    );
    let mut whole = Configuration::default().replace(body.as_bytes()).expect("it is valid");
    let rounds = 5;
    let began = Instant::now();
    for round in 0..rounds {
        let change = format!(
            "{{\"revision\":{},\"upsert\":{{\"channels\":[{{\"name\":\"r-0\",\"plant\":\"db0\",\"service\":\"s0\",\"deadline-ms\":900}}]}}}}",
            10 + round
        );
        whole = whole.adjust(change.as_bytes()).expect("it is valid");
    }
    let adjust = began.elapsed() / rounds as u32;
    let began = Instant::now();
    let laid: Vec<Routes> = (0..rounds).map(|_| Routes::new(&whole)).collect();
    let layout = began.elapsed() / rounds as u32;
    drop(laid);
    let last = whole.adjust(b"{\"revision\":99,\"remove\":{\"channels\":[\"r-1\"]}}").expect("it is valid");
    let began = Instant::now();
    let differences = (0..rounds).filter(|_| whole.difference(&last).is_some()).count();
    assert_eq!(differences, rounds, "one route differs");
    let difference = began.elapsed() / rounds as u32;
    ChangeCost { apply: adjust, layout, difference, whole: body.len() }
}
