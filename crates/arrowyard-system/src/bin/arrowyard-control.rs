//! The control plane program.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use arrowyard_control::Control;
use arrowyard_runtime::{LoopConfig, Recovered, Store, open_store, run};
use arrowyard_system::show::{self, View};
use arrowyard_system::{init_logging, load_settings, random_incarnation, settings_path, settings_reloader};
use bpaf::Bpaf;

/// Directory of the journal within the data directory.
const JOURNAL_DIRECTORY: &str = "journal";
/// Interval between attempts to open the journal at startup.
const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// File descriptors that are not available for accepted connections.
const RESERVED_DESCRIPTORS: usize = 300;
const MIN_CONNECTIONS: usize = 64;

/// A control machine: tracks hosts and routers, replicates the configuration, replaces failed primaries.
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
    /// Shows the status of a control machine.
    #[bpaf(command)]
    Show {
        /// Control address of the machine.
        #[bpaf(positional("ADDRESS"))]
        address: SocketAddr,
        /// members, routers, hosts, duties or shares.
        #[bpaf(positional("PART"))]
        view: View,
    },
    /// Validates a settings file.
    #[bpaf(command)]
    Check {
        #[bpaf(positional("FILE"))]
        settings: Option<PathBuf>,
    },
}

fn serve(path: PathBuf) -> Result<(), String> {
    let mut settings = load_settings(&path)?;
    let control = settings.bind_addrs.get("control").copied();
    let control = control.ok_or("bind-addrs.control: is missing, and a control machine requires it")?;
    let listen_addresses = vec![control, settings.internal(settings.ip)];
    let max_connections = settings.limits.fd_limit.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_CONNECTIONS);
    let (store, recovered) = match &settings.data_dir {
        Some(data_dir) => {
            let (store, recovered) = wait_for_disk(&Path::new(data_dir).join(JOURNAL_DIRECTORY));
            (Some(store), recovered)
        }
        None => (None, Recovered::default()),
    };
    // A machine that lost its promises must not bootstrap the deployment again.
    settings.bootstrap &= !recovered.corrupt;
    let records = recovered.records;
    let mut plane =
        Control::open(settings, random_incarnation(), &records, store.is_some(), settings_reloader(path))?;
    run(LoopConfig { listen_addresses, store, max_connections }, &mut plane)
        .map_err(|error| error.to_string())
}

/// Opens the journal, retrying on disk errors: without it the promises that this machine made are unknown.
fn wait_for_disk(path: &Path) -> (Store, Recovered) {
    loop {
        match open_store(path) {
            Ok(opened) => return opened,
            Err(error) => log::error!("disk: cannot open {}, retrying: {error}", path.display()),
        }
        std::thread::sleep(DISK_RETRY_INTERVAL);
    }
}

fn main() -> ExitCode {
    let result = match command().run() {
        Command::Run { settings, log } => {
            init_logging(log);
            serve(settings_path(settings))
        }
        Command::Show { address, view } => {
            let text = show::fetch(address).and_then(|status| show::render(&status, view));
            text.map(|text| print!("{text}"))
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
