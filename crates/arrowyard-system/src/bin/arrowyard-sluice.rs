//! The data plane as a program: clients before, hosts behind.

use std::path::PathBuf;
use std::process::ExitCode;

use arrowyard_pooler::RouterPlane;
use arrowyard_runtime::{LoopConfig, run};
use arrowyard_system as works;
use bpaf::Bpaf;

/// A router: shares the connections of database hosts among sessions, and sends each statement where it belongs.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum Command {
    /// Serves until it is told to end.
    #[bpaf(command)]
    Run {
        /// The settings file; without it ARROWYARD_SETTINGS names it.
        #[bpaf(argument("FILE"))]
        settings: Option<PathBuf>,
        /// How much is logged: error, warn, info, debug.
        #[bpaf(argument("LEVEL"), fallback(log::LevelFilter::Info))]
        log: log::LevelFilter,
    },
    /// Checks a settings file.
    #[bpaf(command)]
    Check {
        #[bpaf(positional("FILE"))]
        settings: Option<PathBuf>,
    },
}

fn serve(path: PathBuf) -> Result<(), String> {
    let settings = works::settings(&path)?;
    let door = |name: &str| {
        let address = settings.bind_addrs.get(name).copied();
        address.ok_or_else(|| format!("bind-addrs.{name}: is not told, and a router needs it"))
    };
    let doors = vec![door("front")?, door("readiness")?];
    let most = settings.limits.fd_limit.saturating_sub(300).max(64);
    let mut plane = RouterPlane::new(settings, works::incarnation(), works::reread(path));
    run(LoopConfig { listen_addresses: doors, store: None, max_connections: most }, &mut plane)
        .map_err(|fault| fault.to_string())
}

fn main() -> ExitCode {
    let done = match command().run() {
        Command::Run { settings, log } => {
            works::log(log);
            serve(works::path(settings))
        }
        Command::Check { settings } => works::settings(&works::path(settings)).map(|settings| {
            println!("{}: the settings are sound.", settings.node);
        }),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("{fault}");
            ExitCode::from(2)
        }
    }
}
