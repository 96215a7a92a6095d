//! The data plane program: a router between clients and database hosts.

use std::path::PathBuf;
use std::process::ExitCode;

use arrowyard_pooler::RouterPlane;
use arrowyard_runtime::{LoopConfig, run};
use arrowyard_system::{init_logging, load_settings, random_incarnation, settings_path, settings_reloader};
use bpaf::Bpaf;

/// File descriptors that are not available for accepted connections.
const RESERVED_DESCRIPTORS: usize = 300;
const MIN_CONNECTIONS: usize = 64;

/// A router: shares the connections of database hosts among sessions, and sends each statement where it
/// belongs.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum Command {
    /// Runs until it receives SIGTERM.
    #[bpaf(command)]
    Run {
        /// Settings file; defaults to the value of ARROWYARD_SETTINGS.
        #[bpaf(argument("FILE"))]
        settings: Option<PathBuf>,
        /// Log level: error, warn, info, debug.
        #[bpaf(argument("LEVEL"), fallback(log::LevelFilter::Info))]
        log: log::LevelFilter,
    },
    /// Validates a settings file.
    #[bpaf(command)]
    Check {
        #[bpaf(positional("FILE"))]
        settings: Option<PathBuf>,
    },
}

fn serve(path: PathBuf) -> Result<(), String> {
    let settings = load_settings(&path)?;
    let bind_address = |name: &str| {
        let address = settings.bind_addrs.get(name).copied();
        address.ok_or_else(|| format!("bind-addrs.{name}: is missing, and a router requires it"))
    };
    let listen_addresses = vec![bind_address("front")?, bind_address("readiness")?];
    let max_connections = settings.limits.fd_limit.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_CONNECTIONS);
    let mut plane = RouterPlane::new(settings, random_incarnation(), settings_reloader(path));
    run(LoopConfig { listen_addresses, store: None, max_connections }, &mut plane)
        .map_err(|error| error.to_string())
}

fn main() -> ExitCode {
    let result = match command().run() {
        Command::Run { settings, log } => {
            init_logging(log);
            serve(settings_path(settings))
        }
        Command::Check { settings } => load_settings(&settings_path(settings)).map(|settings| {
            println!("{}: the settings are valid", settings.node);
        }),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
