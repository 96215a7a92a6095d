//! The control plane as a program: hosts, routers, the configuration, duties.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use arrowyard_headworks::Control;
use arrowyard_penstock::{Plumbing, open_store, run};
use arrowyard_works as works;
use arrowyard_works::show::{self, Part};
use bpaf::Bpaf;

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
    let settings = works::settings(&path)?;
    let control = settings.bind_addrs.get("control").copied();
    let control = control.ok_or("bind-addrs.control: is not told, and a control machine needs it")?;
    let doors = vec![control, settings.internal(settings.ip)];
    let most = settings.limits.fd_limit.saturating_sub(300).max(64);
    let (store, records) = match &settings.data_dir {
        Some(folder) => {
            let folder = Path::new(folder).join("ledger");
            let (store, records) =
                open_store(&folder).map_err(|fault| format!("{}: {fault}", folder.display()))?;
            (Some(store), records)
        }
        None => (None, Vec::new()),
    };
    let mut plane = Control::open(settings, works::life(), &records, store.is_some(), works::reread(path))?;
    run(Plumbing { doors, store, most }, &mut plane).map_err(|fault| fault.to_string())
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
