//! Discovery's list of database hosts, as it tells it.

use std::net::SocketAddr;

use arrowyard_types::Availability;
use serde_json::Value;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostList {
    pub version: i64,
    pub is_full: bool,
    pub entries: Vec<HostListEntry>,
}

/// A line of the list; a line about a host that is gone may leave out most.
#[derive(Clone, Debug, PartialEq)]
pub struct HostListEntry {
    pub host: String,
    pub availability: Availability,
    pub address: Option<SocketAddr>,
    pub site: Option<String>,
    pub group: Option<i64>,
    pub size: Option<f64>,
    /// Unix time in milliseconds; 0 for long ago.
    pub started_at_ms: Option<f64>,
    pub is_primary: Option<bool>,
}

impl HostList {
    pub fn parse(text: &[u8]) -> Result<HostList, String> {
        HostList::from_json(&serde_json::from_slice(text).map_err(|e| format!("list: {e}"))?)
    }

    pub fn from_json(told: &Value) -> Result<HostList, String> {
        let lines = told.get("hosts").and_then(Value::as_array).ok_or("list: no hosts")?;
        Ok(HostList {
            version: told.get("seq").and_then(Value::as_i64).ok_or("list: no seq")?,
            is_full: told.get("whole").and_then(Value::as_bool).unwrap_or(false),
            // Danger: one line that makes no sense, and the news of all other hosts is lost with it.
            entries: lines
                .iter()
                .filter_map(|line| HostListEntry::from_json(line).map_err(|why| tracing::warn!("{why}")).ok())
                .collect(),
        })
    }
}

impl HostListEntry {
    fn from_json(told: &Value) -> Result<HostListEntry, String> {
        let text = |field: &str| told.get(field).and_then(Value::as_str);
        let number = |field: &str| told.get(field).and_then(Value::as_f64);
        let dial = text("dial").map(|dial| dial.parse().map_err(|e| format!("list: dial {dial}: {e}")));
        Ok(HostListEntry {
            host: text("host").ok_or("list: a line without host")?.to_string(),
            availability: match text("health") {
                Some("SERVING") => Availability::Ready,
                Some("DRAINING") => Availability::Draining,
                Some("DELETED") => Availability::Gone,
                other => return Err(format!("list: health {other:?}")),
            },
            address: dial.transpose()?,
            site: text("site").map(str::to_string),
            group: number("block").map(|block| block as i64),
            size: number("share"),
            started_at_ms: number("born_ms"),
            is_primary: text("mode").map(|mode| mode == "read-write"),
        })
    }
}
