//! Structured logs: a line an event on standard error, as text or as JSON, and only so many a second. Fields are
//! named alike wherever they stand: op, host, group, tenant, cell, send, outcome.

use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::{Map, Value};
use tracing::field::{Field, Visit};
use tracing::level_filters::LevelFilter;
use tracing::{Event, Subscriber};
use tracing_subscriber::Layer;
use tracing_subscriber::layer::{Context, SubscriberExt};

/// How lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// For programs, one object a line.
    Json,
}

/// What is logged, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogConfig {
    /// Which router speaks.
    pub name: String,
    pub format: LogFormat,
    pub level: LevelFilter,
    /// LineLayer of a second at most, up to the level `info`.
    pub max_lines_per_second: u32,
}

impl LogConfig {
    /// Of a router without an operator's file: `ARROWYARD_LOG` names the level, `info` otherwise.
    pub fn from_env(name: &str, lines: u32) -> Self {
        let told = std::env::var("ARROWYARD_LOG").ok().and_then(|level| level.parse().ok());
        let level = told.unwrap_or(LevelFilter::INFO);
        LogConfig { name: name.to_string(), format: LogFormat::Text, level, max_lines_per_second: lines }
    }
}

/// Starts logging; a second router in one process logs as the first.
pub fn start(book: LogConfig) {
    let (level, lines) = (book.level, LineLayer { book, bound: LineRateLimit::default() });
    let subscriber = tracing_subscriber::registry().with(lines.with_filter(level));
    // Fails only where one was set before, as by a second router in one test.
    let _ = tracing::subscriber::set_global_default(subscriber);
}

/// Counts the lines of a second.
#[derive(Default)]
struct LineRateLimit {
    second: AtomicU64,
    lines: AtomicU32,
    dropped: AtomicU32,
}

impl LineRateLimit {
    /// How many lines were not written since the last one that was; nothing if this one is not to be either.
    fn admit(&self, second: u64, most: u32) -> Option<u32> {
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        if self.lines.fetch_add(1, Ordering::Relaxed) >= most {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        Some(self.dropped.swap(0, Ordering::Relaxed))
    }
}

struct LineLayer {
    book: LogConfig,
    bound: LineRateLimit,
}

/// What an event says: its message, and its fields in order.
#[derive(Default)]
struct EventRecord {
    message: String,
    fields: Vec<(&'static str, Value)>,
}

impl EventRecord {
    fn put(&mut self, field: &Field, value: Value) {
        self.fields.push((field.name(), value));
    }
}

impl Visit for EventRecord {
    fn record_debug(&mut self, field: &Field, value: &dyn std::fmt::Debug) {
        match field.name() {
            "message" => drop(write!(self.message, "{value:?}")),
            _ => self.put(field, Value::String(format!("{value:?}"))),
        }
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        match field.name() {
            "message" => self.message.push_str(value),
            _ => self.put(field, Value::String(value.to_string())),
        }
    }

    fn record_f64(&mut self, field: &Field, value: f64) {
        self.put(field, value.into());
    }

    fn record_i64(&mut self, field: &Field, value: i64) {
        self.put(field, value.into());
    }

    fn record_u64(&mut self, field: &Field, value: u64) {
        self.put(field, value.into());
    }

    fn record_bool(&mut self, field: &Field, value: bool) {
        self.put(field, value.into());
    }
}

impl EventRecord {
    fn line(self, book: &LogConfig, unix_ms: u128, level: &str, stage: &str, dropped: u32) -> String {
        let (seconds, millis) = (unix_ms / 1000, unix_ms % 1000);
        if book.format == LogFormat::Json {
            let mut object = Map::new();
            object.insert("unix_ms".to_string(), Value::from(unix_ms as u64));
            let head = [("router", book.name.as_str()), ("level", level), ("stage", stage)];
            let head = head.map(|(name, text)| (name.to_string(), Value::from(text)));
            object.extend(head);
            object.insert("message".to_string(), self.message.into());
            object.extend(self.fields.into_iter().map(|(name, value)| (name.to_string(), value)));
            if dropped > 0 {
                object.insert("not_written".to_string(), dropped.into());
            }
            return Value::Object(object).to_string();
        }
        let mut line = format!("{seconds}.{millis:03} {} {level} {stage}: {}", book.name, self.message);
        for (name, value) in self.fields {
            let _ = match value {
                Value::String(text) => write!(line, " {name}={text}"),
                other => write!(line, " {name}={other}"),
            };
        }
        if dropped > 0 {
            let _ = write!(line, " (and {dropped} lines not written)");
        }
        // Danger: what others sent is quoted, and a line end in it would begin a line of its own.
        if line.contains(char::is_control) {
            line = line.replace(char::is_control, " ");
        }
        line
    }
}

impl<S: Subscriber> Layer<S> for LineLayer {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        // Danger: whoever reads the log is slow, and a storm of lines stops the router. Who asks for a trace
        // wants all of it.
        let most =
            if self.book.level <= LevelFilter::INFO { self.book.max_lines_per_second } else { u32::MAX };
        let Some(dropped) = self.bound.admit(now.as_secs(), most) else { return };
        let mut said = EventRecord::default();
        event.record(&mut said);
        let (level, target) = (event.metadata().level().as_str(), event.metadata().target());
        let stage = target.rsplit("::").next().unwrap_or_default();
        let line = said.line(&self.book, now.as_millis(), level, stage, dropped);
        // A log that cannot be written is no reason to stop.
        let _ = writeln!(std::io::stderr(), "{line}");
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_beyond_the_bound_are_counted_and_told_with_the_next_one() {
        let bound = LineRateLimit::default();
        assert_eq!(
            [bound.admit(1, 2), bound.admit(1, 2), bound.admit(1, 2), bound.admit(1, 2)],
            [Some(0), Some(0), None, None]
        );
        assert_eq!([bound.admit(2, 2), bound.admit(2, 2)], [Some(2), Some(0)]);
    }

    #[test]
    fn a_line_is_one_line_whatever_is_quoted_and_json_can_be_read() {
        for (form, wanted) in
            [(LogFormat::Text, "1.002 n0 WARN admit: no room cell=a tenant=x y z"), (LogFormat::Json, "")]
        {
            let book = LogConfig {
                name: "n0".to_string(),
                format: form,
                level: LevelFilter::INFO,
                max_lines_per_second: 9,
            };
            let fields = vec![("cell", Value::from("a")), ("tenant", Value::from("x\ny\u{1b}z"))];
            let line =
                EventRecord { message: "no room".to_string(), fields }.line(&book, 1002, "WARN", "admit", 0);
            assert!(!line.contains(char::is_control), "{line}");
            match form {
                LogFormat::Text => assert_eq!(line, wanted),
                LogFormat::Json => {
                    let told: Value = serde_json::from_str(&line).expect("it is JSON");
                    assert_eq!((&told["tenant"], &told["unix_ms"]), (&"x\ny\u{1b}z".into(), &1002.into()));
                }
            }
        }
    }
}
