//! What the programs of the whole system share: the settings file, the log, the loop.

pub mod show;

use std::fs;
use std::io::Write;
use std::path::PathBuf;
use std::sync::{Mutex, OnceLock};

use arrowyard_config::Settings;

/// The variable that names the settings file, and where it lies otherwise.
pub const VARIABLE: &str = "ARROWYARD_SETTINGS";
const USUAL: &str = "/etc/arrowyard/local.yaml";

/// The path of the settings file.
pub fn path(named: Option<PathBuf>) -> PathBuf {
    named.or_else(|| std::env::var_os(VARIABLE).map(PathBuf::from)).unwrap_or_else(|| PathBuf::from(USUAL))
}

/// Reads and checks the settings file.
///
/// # Errors
/// Every fault, with its place.
pub fn settings(path: &PathBuf) -> Result<Settings, String> {
    let text = fs::read_to_string(path).map_err(|fault| format!("{}: {fault}", path.display()))?;
    Settings::parse(&text).map_err(|fault| format!("{}: {fault}", path.display()))
}

/// Reads the settings file again; only what is new and sound is told.
pub fn reread(path: PathBuf) -> Box<dyn FnMut() -> Option<Settings>> {
    let mut last = fs::read(&path).unwrap_or_default();
    Box::new(move || {
        let now = fs::read(&path).ok()?;
        if now == last {
            return None;
        }
        last.clone_from(&now);
        match Settings::parse(&String::from_utf8_lossy(&now)) {
            Ok(settings) => {
                log::info!("settings: They were read again.");
                Some(settings)
            }
            Err(fault) => {
                log::warn!("settings: They are left as they were: {fault}.");
                None
            }
        }
    })
}

/// Sets up the log: short sentences to standard error, each behind the name of its part.
pub fn log(level: log::LevelFilter) {
    static ONCE: OnceLock<Mutex<()>> = OnceLock::new();
    ONCE.get_or_init(|| {
        let set = fern::Dispatch::new()
            .level(level)
            .format(|out, message, record| out.finish(format_args!("{:5} {message}", record.level())))
            .chain(std::io::stderr())
            .apply();
        if set.is_err() {
            drop(writeln!(std::io::stderr(), "log: There is one already."));
        }
        Mutex::new(())
    });
}

/// A number that no other life of a process has: of the machine's own randomness.
pub fn incarnation() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish() | 1
}
