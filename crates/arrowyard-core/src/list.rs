//! Discovery's list of database hosts, as it tells it.

use std::net::SocketAddr;

use arrowyard_types::Availability;
use serde_json::Value;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct List {
    pub version: i64,
    pub whole: bool,
    pub lines: Vec<Line>,
}

/// A line of the list; a line about a host that is gone may leave out most.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    pub host: String,
    pub availability: Availability,
    pub dial: Option<SocketAddr>,
    pub site: Option<String>,
    pub group: Option<i64>,
    pub size: Option<f64>,
    /// Unix time in milliseconds; 0 for long ago.
    pub born_ms: Option<f64>,
    pub primary: Option<bool>,
}

impl List {
    pub fn parse(text: &[u8]) -> Result<List, String> {
        List::of(&serde_json::from_slice(text).map_err(|e| format!("list: {e}"))?)
    }

    pub fn of(told: &Value) -> Result<List, String> {
        let lines = told.get("hosts").and_then(Value::as_array).ok_or("list: no hosts")?;
        Ok(List {
            version: told.get("seq").and_then(Value::as_i64).ok_or("list: no seq")?,
            whole: told.get("whole").and_then(Value::as_bool).unwrap_or(false),
            // Danger: one line that makes no sense, and the news of all other hosts is lost with it.
            lines: lines
                .iter()
                .filter_map(|line| Line::of(line).map_err(|why| tracing::warn!("{why}")).ok())
                .collect(),
        })
    }
}

impl Line {
    fn of(told: &Value) -> Result<Line, String> {
        let text = |field: &str| told.get(field).and_then(Value::as_str);
        let number = |field: &str| told.get(field).and_then(Value::as_f64);
        let dial = text("dial").map(|dial| dial.parse().map_err(|e| format!("list: dial {dial}: {e}")));
        Ok(Line {
            host: text("host").ok_or("list: a line without host")?.to_string(),
            availability: match text("health") {
                Some("SERVING") => Availability::Ready,
                Some("DRAINING") => Availability::Draining,
                Some("DELETED") => Availability::Gone,
                other => return Err(format!("list: health {other:?}")),
            },
            dial: dial.transpose()?,
            site: text("site").map(str::to_string),
            group: number("block").map(|block| block as i64),
            size: number("share"),
            born_ms: number("born_ms"),
            primary: text("mode").map(|mode| mode == "read-write"),
        })
    }
}
