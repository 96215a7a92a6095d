//! How long a control machine that was away takes to catch up: by the entries that it lacks and the routes of the
//! configuration. Simulated time has no processor; the real time of the machine's plane is measured beside it and
//! charged at the share of a core that it would have.

use std::time::Duration;

use arrowyard_runtime::http::format_request;
use arrowyard_types::{TimeDelta, Timestamp};

use crate::system::{Plan, System};

/// Who is away.
const AWAY: usize = 2;
/// The first configuration has this revision.
const FIRST_REVISION: u64 = 3;
/// Whoever has not caught up in so long never does.
const GIVEN_UP: TimeDelta = TimeDelta::from_millis(60_000);
const LOOK: TimeDelta = TimeDelta::from_millis(5);

/// What catching up took.
#[derive(Clone, Copy, Debug)]
pub struct CatchUp {
    /// From the start of the process until it has all entries: waits, messages and the disk's syncs.
    pub waited: TimeDelta,
    /// The plane's own time meanwhile, on the real clock.
    pub busy: Duration,
    /// Bytes that the others sent meanwhile, to whomever.
    pub bytes: u64,
}

impl CatchUp {
    /// How long it takes at most where the machine has this share of a core.
    pub fn at_share(&self, share: f64) -> f64 {
        self.waited.as_secs_f64() + self.busy.as_secs_f64() / share
    }
}

fn plan() -> Plan {
    Plan {
        seed: 11,
        controls: 3,
        routers: 2,
        services: 1,
        users: 0,
        think: TimeDelta::from_millis(100),
        from: Timestamp::from_micros(0),
        until: Timestamp::from_micros(3_600_000_000),
        changes: Vec::new(),
        limit: 40,
        zones: 3,
        tolerance: 1,
        fence_checked: true,
        surges: Vec::new(),
        divides: false,
        shares: String::new(),
    }
}

fn route(number: usize, deadline: u64) -> String {
    format!(
        "{{\"name\":\"r-{number}\",\"plant\":\"p{number}\",\"path-prefix\":\"/\",\"kind\":\"primary\",\"deadline-ms\":{deadline},\
         \"setpoint-ms\":150,\"priority\":1,\"service\":\"s0\",\"tries\":2}}"
    )
}

fn order(path: &str, base: u64, body: &str) -> String {
    format_request("POST", path, "c", &[("Arrowyard-Base-Revision", &base.to_string())], body)
}

fn taken(system: &mut System, text: &str) -> Result<(), String> {
    for control in 0..AWAY {
        if system.call(control, text).0 == 200 {
            return Ok(());
        }
    }
    Err("a sound change was not taken".into())
}

/// Measures it for so many entries, of a configuration of so many routes.
///
/// # Errors
/// When a change is not taken, or the machine never catches up.
pub fn catch_up(entries: u64, routes: usize) -> Result<CatchUp, String> {
    let mut system = System::new(plan());
    pass(&mut system, TimeDelta::from_millis(6000));
    let mut revision = FIRST_REVISION + 1;
    let all: Vec<String> = (0..routes).map(|number| route(number, 800)).collect();
    let whole = format!(
        "{{\"revision\":{revision},\"channels\":[{}],\"services\":[{{\"name\":\"s0\",\"conn-limit\":40,\"sync-replicas\":1}}]}}",
        all.join(",")
    );
    taken(&mut system, &order("/Config.Replace", FIRST_REVISION, &whole))?;
    pass(&mut system, TimeDelta::from_millis(1000));
    let machine = system.controls[AWAY];
    system.world.kill(machine);
    for entry in 0..entries {
        let base = revision;
        revision += 1;
        let changed = route(entry as usize % routes, 500 + entry);
        let body = format!("{{\"revision\":{revision},\"upsert\":{{\"channels\":[{changed}]}}}}");
        taken(&mut system, &order("/Config.Adjust", base, &body))?;
    }
    let (began, cost) = (system.world.now, system.world.cost(machine).3);
    let sent = sent_by_others(&system);
    let opening = std::time::Instant::now();
    system.start_control(AWAY, false);
    let opened = opening.elapsed();
    while system.world.now - began < GIVEN_UP {
        pass(&mut system, LOOK);
        if has_read(&mut system, revision) {
            let busy = opened + system.world.cost(machine).3 - cost;
            let bytes = sent_by_others(&system) - sent;
            return Ok(CatchUp { waited: system.world.now - began, busy, bytes });
        }
    }
    Err(format!("it has not caught up after {GIVEN_UP:?}"))
}

fn pass(system: &mut System, time: TimeDelta) {
    let until = system.world.now + time;
    system.world.run(until);
}

fn sent_by_others(system: &System) -> u64 {
    system.controls[..AWAY].iter().map(|machine| system.world.cost(*machine).0).sum()
}

/// Whether it answers a read, which it does only with all that was acknowledged.
fn has_read(system: &mut System, revision: u64) -> bool {
    let (status, body) = system.call(AWAY, &format_request("GET", "/Config.Read", "c", &[], ""));
    status == 200 && body.contains(&format!("\"revision\":{revision}"))
}
