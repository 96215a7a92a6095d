//! Measures the cost of control by deployment size: routers run the shipped plane without clients, and
//! hosts only send heartbeats, all in one process. Measured are the real time of the planes, their bytes
//! and the memory.

use std::time::{Duration, Instant};

use arrowyard_config::Configuration;
use arrowyard_pooler::Routes;
use arrowyard_types::{TimeDelta, Timestamp};

use crate::deployment::{Deployment, DeploymentPlan};
use crate::simulation::MachineId;

/// Cost of one deployment size.
#[derive(Clone, Debug)]
pub struct DeploymentCost {
    pub controls: usize,
    pub routers: usize,
    pub hosts: usize,
    pub users: usize,
    /// Growth of the resident memory of this process in bytes.
    pub memory: i64,
    /// Sum of the rates of all control machines.
    pub control: ResourceRate,
    /// Sum of the rates of all routers.
    pub router: ResourceRate,
    /// Number of configuration changes during the measurement.
    pub changes: usize,
    /// Number of statements executed during the measurement.
    pub statements: u64,
}

/// Bytes, writes, events and processor seconds per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceRate {
    pub bytes: f64,
    pub writes: f64,
    pub events: f64,
    pub cpu_seconds: f64,
}

/// Resident memory of this process.
fn resident_bytes() -> i64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: i64 = text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * 4096
}

/// Sum of the bytes, writes, events and plane time of the machines.
fn total_usage(deployment: &Deployment, machines: &[MachineId]) -> (u64, u64, u64, Duration) {
    machines.iter().fold((0, 0, 0, Duration::ZERO), |totals, machine| {
        let usage = deployment.simulation.resource_usage(*machine);
        (totals.0 + usage.0, totals.1 + usage.1, totals.2 + usage.2, totals.3 + usage.3)
    })
}

fn rate_between(
    before: (u64, u64, u64, Duration),
    after: (u64, u64, u64, Duration),
    seconds: f64,
) -> ResourceRate {
    ResourceRate {
        bytes: (after.0 - before.0) as f64 / seconds,
        writes: (after.1 - before.1) as f64 / seconds,
        events: (after.2 - before.2) as f64 / seconds,
        cpu_seconds: (after.3 - before.3).as_secs_f64() / seconds,
    }
}

/// Runs a deployment without faults and measures its cost, optionally with configuration changes.
pub fn measure_deployment(
    controls: usize,
    routers: usize,
    services: usize,
    users: usize,
    changes: usize,
) -> DeploymentCost {
    let at = |seconds: f64| Timestamp::from_micros((seconds * 1e6) as i64);
    let (start, seconds) = (10.0, 20.0);
    let memory_before = resident_bytes();
    let plan = DeploymentPlan {
        seed: 1,
        controls,
        routers,
        services,
        users,
        think_time: TimeDelta::from_millis(if users > 50 { 60_000 } else { 100 }),
        load_start: at(4.0),
        load_end: at(60.0),
        changes: (0..changes)
            .map(|change| at(start + 0.5 + change as f64 * seconds / changes as f64))
            .collect(),
        connection_limit: 57,
        divide_hosts: true,
        ..DeploymentPlan::default()
    };
    let mut deployment = Deployment::new(plan);
    deployment.simulation.run_until(at(start));
    let (control_ids, router_ids) = (deployment.controls.clone(), deployment.routers.clone());
    let (control_before, router_before) =
        (total_usage(&deployment, &control_ids), total_usage(&deployment, &router_ids));
    let statements_before = deployment.history.borrow().statements_run;
    deployment.simulation.run_until(at(start + seconds));
    let memory = resident_bytes() - memory_before;
    let statements = deployment.history.borrow().statements_run - statements_before;
    DeploymentCost {
        controls,
        routers,
        hosts: services * 3,
        users: users * services * 3,
        memory,
        control: rate_between(control_before, total_usage(&deployment, &control_ids), seconds),
        router: rate_between(router_before, total_usage(&deployment, &router_ids), seconds),
        changes,
        statements,
    }
}

/// Cost of one change of a configuration.
pub struct ChangeCost {
    /// Time to validate and apply the change.
    pub apply_time: Duration,
    /// Time to build the routing tables.
    pub routes_time: Duration,
    /// Time to compute the difference sent to routers.
    pub difference_time: Duration,
    /// Size of the whole configuration in bytes.
    pub configuration_bytes: usize,
}

/// Measures one change of a configuration with `routes` routes.
pub fn measure_configuration_change(routes: usize) -> ChangeCost {
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
    let mut configuration = Configuration::default().replace(body.as_bytes()).expect("it is valid");
    let rounds = 5;
    let started = Instant::now();
    for round in 0..rounds {
        let change = format!(
            "{{\"revision\":{},\"upsert\":{{\"channels\":[{{\"name\":\"r-0\",\"plant\":\"db0\",\"service\":\"s0\",\"deadline-ms\":900}}]}}}}",
            10 + round
        );
        configuration = configuration.adjust(change.as_bytes()).expect("it is valid");
    }
    let adjust_time = started.elapsed() / rounds as u32;
    let started = Instant::now();
    let routing_tables: Vec<Routes> = (0..rounds).map(|_| Routes::new(&configuration)).collect();
    let routes_time = started.elapsed() / rounds as u32;
    drop(routing_tables);
    let changed =
        configuration.adjust(b"{\"revision\":99,\"remove\":{\"channels\":[\"r-1\"]}}").expect("it is valid");
    let started = Instant::now();
    let differences = (0..rounds).filter(|_| configuration.difference(&changed).is_some()).count();
    assert_eq!(differences, rounds, "every comparison finds a difference");
    let difference_time = started.elapsed() / rounds as u32;
    ChangeCost { apply_time: adjust_time, routes_time, difference_time, configuration_bytes: body.len() }
}
