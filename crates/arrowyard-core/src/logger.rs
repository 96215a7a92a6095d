//! Structured logs: one line per event on standard error, as text or JSON, with a rate limit. Common field
//! names are op, host, group, tenant, cell, send and outcome.

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

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The configuration of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogConfig {
    /// The router's name.
    pub name: String,
    pub format: LogFormat,
    pub level: LevelFilter,
    /// The rate limit in lines per second, at levels up to `info`.
    pub max_lines_per_second: u32,
}

impl LogConfig {
    /// For a router without an operator's file: the level is `ARROWYARD_LOG`, or `info`.
    pub fn from_env(name: &str, max_lines_per_second: u32) -> Self {
        let configured_level = std::env::var("ARROWYARD_LOG").ok().and_then(|level| level.parse().ok());
        let level = configured_level.unwrap_or(LevelFilter::INFO);
        LogConfig { name: name.to_string(), format: LogFormat::Text, level, max_lines_per_second }
    }
}

/// Starts logging. A second router in one process uses the first one's log.
pub fn start(config: LogConfig) {
    let (level, layer) = (config.level, LineLayer { config, rate_limit: LineRateLimit::default() });
    let subscriber = tracing_subscriber::registry().with(layer.with_filter(level));
    // Fails only if a logger is set already.
    let _ = tracing::subscriber::set_global_default(subscriber);
}

/// Limits the number of log lines per second.
#[derive(Default)]
struct LineRateLimit {
    /// The Unix time of the current second.
    second: AtomicU64,
    /// Lines in the current second, including dropped ones.
    lines: AtomicU32,
    /// Lines dropped since the last written one.
    dropped: AtomicU32,
}

impl LineRateLimit {
    /// The number of lines dropped since the last written one; `None` if this line is dropped too.
    fn admit(&self, second: u64, max_lines: u32) -> Option<u32> {
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        if self.lines.fetch_add(1, Ordering::Relaxed) >= max_lines {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        Some(self.dropped.swap(0, Ordering::Relaxed))
    }
}

/// The layer that writes log lines.
struct LineLayer {
    config: LogConfig,
    rate_limit: LineRateLimit,
}

/// The message of an event, and its fields in the order in which they were recorded.
#[derive(Default)]
struct EventRecord {
    message: String,
    fields: Vec<(&'static str, Value)>,
}

impl EventRecord {
    fn push_field(&mut self, field: &Field, value: Value) {
        self.fields.push((field.name(), value));
    }
}

impl Visit for EventRecord {
    fn record_debug(&mut self, field: &Field, value: &dyn std::fmt::Debug) {
        match field.name() {
            "message" => drop(write!(self.message, "{value:?}")),
            _ => self.push_field(field, Value::String(format!("{value:?}"))),
        }
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        match field.name() {
            "message" => self.message.push_str(value),
            _ => self.push_field(field, Value::String(value.to_string())),
        }
    }

    fn record_f64(&mut self, field: &Field, value: f64) {
        self.push_field(field, value.into());
    }

    fn record_i64(&mut self, field: &Field, value: i64) {
        self.push_field(field, value.into());
    }

    fn record_u64(&mut self, field: &Field, value: u64) {
        self.push_field(field, value.into());
    }

    fn record_bool(&mut self, field: &Field, value: bool) {
        self.push_field(field, value.into());
    }
}

impl EventRecord {
    /// Formats the event as one line; `dropped` lines were dropped before it.
    fn format_line(
        self,
        config: &LogConfig,
        unix_ms: u128,
        level: &str,
        stage: &str,
        dropped: u32,
    ) -> String {
        let (seconds, millis) = (unix_ms / 1000, unix_ms % 1000);
        if config.format == LogFormat::Json {
            let mut object = Map::new();
            object.insert("unix_ms".to_string(), Value::from(unix_ms as u64));
            let common_fields = [("router", config.name.as_str()), ("level", level), ("stage", stage)];
            let common_fields = common_fields.map(|(name, text)| (name.to_string(), Value::from(text)));
            object.extend(common_fields);
            object.insert("message".to_string(), self.message.into());
            object.extend(self.fields.into_iter().map(|(name, value)| (name.to_string(), value)));
            if dropped > 0 {
                object.insert("not_written".to_string(), dropped.into());
            }
            return Value::Object(object).to_string();
        }
        let mut line = format!("{seconds}.{millis:03} {} {level} {stage}: {}", config.name, self.message);
        for (name, value) in self.fields {
            let _ = match value {
                Value::String(text) => write!(line, " {name}={text}"),
                other => write!(line, " {name}={other}"),
            };
        }
        if dropped > 0 {
            let _ = write!(line, " (and {dropped} lines not written)");
        }
        // Quoted input may contain line ends, which would forge log lines.
        if line.contains(char::is_control) {
            line = line.replace(char::is_control, " ");
        }
        line
    }
}

impl<S: Subscriber> Layer<S> for LineLayer {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        // A slow reader of the log must not block the router. Levels above `info` are not limited.
        let max_lines =
            if self.config.level <= LevelFilter::INFO { self.config.max_lines_per_second } else { u32::MAX };
        let Some(dropped) = self.rate_limit.admit(now.as_secs(), max_lines) else { return };
        let mut record = EventRecord::default();
        event.record(&mut record);
        let (level, target) = (event.metadata().level().as_str(), event.metadata().target());
        let stage = target.rsplit("::").next().unwrap_or_default();
        let line = record.format_line(&self.config, now.as_millis(), level, stage, dropped);
        // A failure to write the log is ignored.
        let _ = writeln!(std::io::stderr(), "{line}");
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_beyond_the_limit_are_counted_and_reported_with_the_next_one() {
        let rate_limit = LineRateLimit::default();
        assert_eq!(
            [rate_limit.admit(1, 2), rate_limit.admit(1, 2), rate_limit.admit(1, 2), rate_limit.admit(1, 2)],
            [Some(0), Some(0), None, None]
        );
        assert_eq!([rate_limit.admit(2, 2), rate_limit.admit(2, 2)], [Some(2), Some(0)]);
    }

    #[test]
    fn control_characters_are_replaced_and_json_is_valid() {
        for (format, expected) in
            [(LogFormat::Text, "1.002 n0 WARN admit: no room cell=a tenant=x y z"), (LogFormat::Json, "")]
        {
            let config = LogConfig {
                name: "n0".to_string(),
                format,
                level: LevelFilter::INFO,
                max_lines_per_second: 9,
            };
            let fields = vec![("cell", Value::from("a")), ("tenant", Value::from("x\ny\u{1b}z"))];
            let line = EventRecord { message: "no room".to_string(), fields }
                .format_line(&config, 1002, "WARN", "admit", 0);
            assert!(!line.contains(char::is_control), "{line}");
            match format {
                LogFormat::Text => assert_eq!(line, expected),
                LogFormat::Json => {
                    let parsed: Value = serde_json::from_str(&line).expect("the line is valid JSON");
                    assert_eq!(
                        (&parsed["tenant"], &parsed["unix_ms"]),
                        (&"x\ny\u{1b}z".into(), &1002.into())
                    );
                }
            }
        }
    }
}
