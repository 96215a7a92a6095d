//! Shared by the programs `arrowyard-control` and `arrowyard-sluice`: settings file and logging.

pub mod show;

use std::fs;
use std::io::Write;
use std::path::PathBuf;
use std::sync::{Mutex, OnceLock};

use arrowyard_config::Settings;

/// Environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "ARROWYARD_SETTINGS";
/// Path of the settings file without an argument or environment variable.
const DEFAULT_SETTINGS_PATH: &str = "/etc/arrowyard/local.yaml";

/// The path of the settings file: the argument, the environment variable or the default.
pub fn settings_path(argument: Option<PathBuf>) -> PathBuf {
    argument
        .or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from))
        .unwrap_or_else(|| PathBuf::from(DEFAULT_SETTINGS_PATH))
}

/// Reads and validates the settings file.
///
/// # Errors
/// When the file cannot be read; otherwise all faults, each with its field.
pub fn load_settings(path: &PathBuf) -> Result<Settings, String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    Settings::parse(&text).map_err(|error| format!("{}: {error}", path.display()))
}

/// Returns a function that reads the settings file again. It returns the settings if they changed and are
/// valid.
pub fn settings_reloader(path: PathBuf) -> Box<dyn FnMut() -> Option<Settings>> {
    let mut last = fs::read(&path).unwrap_or_default();
    Box::new(move || {
        let current = fs::read(&path).ok()?;
        if current == last {
            return None;
        }
        last.clone_from(&current);
        match Settings::parse(&String::from_utf8_lossy(&current)) {
            Ok(settings) => {
                log::info!("settings: reloaded");
                Some(settings)
            }
            Err(error) => {
                log::warn!("settings: invalid file ignored, keeping the current settings: {error}");
                None
            }
        }
    })
}

/// Sets up logging to standard error. Messages start with the name of their component.
pub fn init_logging(level: log::LevelFilter) {
    static ONCE: OnceLock<Mutex<()>> = OnceLock::new();
    ONCE.get_or_init(|| {
        let set = fern::Dispatch::new()
            .level(level)
            .format(|out, message, record| out.finish(format_args!("{:5} {message}", record.level())))
            .chain(std::io::stderr())
            .apply();
        if set.is_err() {
            drop(writeln!(std::io::stderr(), "log: a logger is already installed"));
        }
        Mutex::new(())
    });
}

/// A random non-zero number that identifies this run of the process.
pub fn random_incarnation() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish() | 1
}
