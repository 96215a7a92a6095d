//! The control plane as a program: hosts, routers, the configuration, duties.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use arrowyard_control::Control;
use arrowyard_runtime::{LoopConfig, Recovered, Store, open_store, run};
use arrowyard_system as works;
use arrowyard_system::show::{self, Part};
use bpaf::Bpaf;

/// The directory of the journal, in the data directory.
const JOURNAL: &str = "journal";
/// A disk that refuses at a start is tried again after so long.
const DISK_RETRY: Duration = Duration::from_millis(200);

/// A control machine: knows hosts and routers, agrees on the configuration, replaces primaries.
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
    /// Shows what a control machine knows.
    #[bpaf(command)]
    Show {
        /// Its control address.
        #[bpaf(positional("ADDRESS"))]
        address: SocketAddr,
        /// members, routers, hosts, duties or shares.
        #[bpaf(positional("PART"))]
        part: Part,
    },
    /// Checks a settings file.
    #[bpaf(command)]
    Check {
        #[bpaf(positional("FILE"))]
        settings: Option<PathBuf>,
    },
}

fn serve(path: PathBuf) -> Result<(), String> {
    let mut settings = works::settings(&path)?;
    let control = settings.bind_addrs.get("control").copied();
    let control = control.ok_or("bind-addrs.control: is not told, and a control machine needs it")?;
    let doors = vec![control, settings.internal(settings.ip)];
    let most = settings.limits.fd_limit.saturating_sub(300).max(64);
    let (store, recovered) = match &settings.data_dir {
        Some(folder) => {
            let (store, recovered) = wait_for_disk(&Path::new(folder).join(JOURNAL));
            (Some(store), recovered)
        }
        None => (None, Recovered::default()),
    };
    // Safety: a machine that forgot what it promised must not found the system once more.
    settings.bootstrap &= !recovered.corrupt;
    let records = recovered.records;
    let mut plane =
        Control::open(settings, works::incarnation(), &records, store.is_some(), works::reread(path))?;
    run(LoopConfig { listen_addresses: doors, store, max_connections: most }, &mut plane)
        .map_err(|fault| fault.to_string())
}

/// Opens the journal. While the disk refuses, nothing is known of what this machine promised, so it waits.
fn wait_for_disk(folder: &Path) -> (Store, Recovered) {
    loop {
        match open_store(folder) {
            Ok(opened) => return opened,
            Err(error) => log::error!("disk: {}: {error}; it is tried again.", folder.display()),
        }
        std::thread::sleep(DISK_RETRY);
    }
}

fn main() -> ExitCode {
    let done = match command().run() {
        Command::Run { settings, log } => {
            works::log(log);
            serve(works::path(settings))
        }
        Command::Show { address, part } => {
            let text = show::fetch(address).and_then(|status| show::shown(&status, part));
            text.map(|text| print!("{text}"))
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
