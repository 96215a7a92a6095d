//! Measures how long a control machine takes to catch up, by missing entries and configured routes.
//! Simulated time does not include processing, so the real time of the plane is measured as well.

use std::time::Duration;

use arrowyard_runtime::http::format_request;
use arrowyard_types::TimeDelta;

use crate::deployment::{Deployment, DeploymentPlan};

/// Index of the control machine that is stopped while entries are committed.
const STOPPED_CONTROL: usize = 2;
/// Revision of the initial configuration.
const FIRST_REVISION: u64 = 3;
/// Timeout of a catch-up.
const TIMEOUT: TimeDelta = TimeDelta::from_millis(60_000);
const POLL_INTERVAL: TimeDelta = TimeDelta::from_millis(5);

/// Duration and cost of a catch-up.
#[derive(Clone, Copy, Debug)]
pub struct CatchUp {
    /// Simulated time from the start of the process until all entries are present. It consists of timeouts,
    /// message latencies and disk syncs.
    pub elapsed: TimeDelta,
    /// Real time spent in the plane meanwhile.
    pub plane_time: Duration,
    /// Bytes sent by the other control machines meanwhile.
    pub bytes_sent: u64,
}

impl CatchUp {
    /// Upper bound of the duration, in seconds, on a machine with the share `share` of a core.
    pub fn at_cpu_share(&self, share: f64) -> f64 {
        self.elapsed.as_secs_f64() + self.plane_time.as_secs_f64() / share
    }
}

fn route_json(number: usize, deadline: u64) -> String {
    format!(
        "{{\"name\":\"r-{number}\",\"plant\":\"p{number}\",\"path-prefix\":\"/\",\"kind\":\"primary\",\"deadline-ms\":{deadline},\
         \"setpoint-ms\":150,\"priority\":1,\"service\":\"s0\",\"tries\":2}}"
    )
}

fn change_request(path: &str, base: u64, body: &str) -> String {
    format_request("POST", path, "c", &[("Arrowyard-Base-Revision", &base.to_string())], body)
}

/// Sends a change to the running control machines in turn until one accepts it.
fn apply_change(deployment: &mut Deployment, request: &str) -> Result<(), String> {
    for control in 0..STOPPED_CONTROL {
        if deployment.call(control, request).0 == 200 {
            return Ok(());
        }
    }
    Err("no control machine accepted a valid change".into())
}

/// Measures the catch-up of `entries` missing entries of a configuration with `routes` routes.
///
/// # Errors
/// If a change is not accepted, or if the machine does not catch up.
pub fn measure_catch_up(entries: u64, routes: usize) -> Result<CatchUp, String> {
    let mut deployment = Deployment::new(DeploymentPlan { seed: 11, ..DeploymentPlan::default() });
    advance(&mut deployment, TimeDelta::from_millis(6000));
    let mut revision = FIRST_REVISION + 1;
    let route_objects: Vec<String> = (0..routes).map(|number| route_json(number, 800)).collect();
    let configuration = format!(
        "{{\"revision\":{revision},\"channels\":[{}],\"services\":[{{\"name\":\"s0\",\"conn-limit\":40,\"sync-replicas\":1}}]}}",
        route_objects.join(",")
    );
    apply_change(&mut deployment, &change_request("/Config.Replace", FIRST_REVISION, &configuration))?;
    advance(&mut deployment, TimeDelta::from_millis(1000));
    let machine = deployment.controls[STOPPED_CONTROL];
    deployment.simulation.kill(machine);
    for entry in 0..entries {
        let base = revision;
        revision += 1;
        let route = route_json(entry as usize % routes, 500 + entry);
        let body = format!("{{\"revision\":{revision},\"upsert\":{{\"channels\":[{route}]}}}}");
        apply_change(&mut deployment, &change_request("/Config.Adjust", base, &body))?;
    }
    let (started_at, plane_time_before) =
        (deployment.simulation.now, deployment.simulation.resource_usage(machine).3);
    let sent_before = sent_by_others(&deployment);
    let open_started = std::time::Instant::now();
    deployment.start_control(STOPPED_CONTROL, false);
    let open_time = open_started.elapsed();
    while deployment.simulation.now - started_at < TIMEOUT {
        advance(&mut deployment, POLL_INTERVAL);
        if is_caught_up(&mut deployment, revision) {
            let plane_time = open_time + deployment.simulation.resource_usage(machine).3 - plane_time_before;
            let bytes_sent = sent_by_others(&deployment) - sent_before;
            return Ok(CatchUp { elapsed: deployment.simulation.now - started_at, plane_time, bytes_sent });
        }
    }
    Err(format!("the control machine has not caught up after {TIMEOUT:?}"))
}

fn advance(deployment: &mut Deployment, time: TimeDelta) {
    let until = deployment.simulation.now + time;
    deployment.simulation.run_until(until);
}

fn sent_by_others(deployment: &Deployment) -> u64 {
    deployment.controls[..STOPPED_CONTROL]
        .iter()
        .map(|machine| deployment.simulation.resource_usage(*machine).0)
        .sum()
}

/// Whether the machine serves a read, which requires all acknowledged entries.
fn is_caught_up(deployment: &mut Deployment, revision: u64) -> bool {
    let (status, body) =
        deployment.call(STOPPED_CONTROL, &format_request("GET", "/Config.Read", "c", &[], ""));
    status == 200 && body.contains(&format!("\"revision\":{revision}"))
}
