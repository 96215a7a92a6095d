//! The router's own logger: a line an event on standard error, and only so many a second.

use std::io::Write;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Log, Metadata, Record};

struct Logger {
    name: String,
    most: u32,
    second: AtomicU64,
    lines: AtomicU32,
    dropped: AtomicU32,
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let second = now.as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        // Danger: whoever reads the log is slow, and a storm of lines stops the router. Who asks for a trace
        // wants all of it.
        let bound = log::max_level() <= LevelFilter::Info;
        if bound && self.lines.fetch_add(1, Ordering::Relaxed) >= self.most {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let stage = record.target().rsplit("::").next().unwrap_or_default();
        let head = format!("{}.{:03} {}", second, now.subsec_millis(), self.name);
        let more = if dropped > 0 { format!(" (and {dropped} lines not written)") } else { String::new() };
        // A log that cannot be written is no reason to stop.
        let _ = writeln!(std::io::stderr(), "{head} {} {stage}: {}{more}", record.level(), record.args());
    }

    fn flush(&self) {}
}

/// `ARROWYARD_LOG` names the level; `info` otherwise.
pub fn start(name: &str, most: u32) {
    let told = std::env::var("ARROWYARD_LOG").ok().and_then(|level| level.parse().ok());
    log::set_max_level(told.unwrap_or(LevelFilter::Info));
    let logger = Logger {
        name: name.to_string(),
        most,
        second: AtomicU64::new(0),
        lines: AtomicU32::new(0),
        dropped: AtomicU32::new(0),
    };
    // Fails only where a logger was set before, as by a second router in one test.
    let _ = log::set_boxed_logger(Box::new(logger));
}
