//! Discovery's list of database hosts.

use std::net::SocketAddr;

use arrowyard_types::Availability;
use serde_json::Value;

/// A full list, or the changes since an earlier version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostList {
    /// Increases with each change of the list.
    pub version: i64,
    /// Whether the list contains all hosts, or only changed ones.
    pub is_full: bool,
    pub entries: Vec<HostListEntry>,
}

/// One host in the list. A field that is `None` keeps its earlier value; an entry for a removed host may omit
/// most fields.
#[derive(Clone, Debug, PartialEq)]
pub struct HostListEntry {
    /// The host's name.
    pub host: String,
    pub availability: Availability,
    pub address: Option<SocketAddr>,
    /// The name of the host's zone.
    pub site: Option<String>,
    pub group: Option<i64>,
    /// The capacity relative to other hosts.
    pub size: Option<f64>,
    /// The start of the host in Unix milliseconds; 0 if it started long ago.
    pub started_at_ms: Option<f64>,
    pub is_primary: Option<bool>,
}

impl HostList {
    /// Parses a list in JSON.
    ///
    /// # Errors
    /// The text is not JSON, or not a list.
    pub fn parse(text: &[u8]) -> Result<HostList, String> {
        HostList::from_json(&serde_json::from_slice(text).map_err(|e| format!("list: {e}"))?)
    }

    /// Converts a list from JSON; invalid entries are logged and skipped.
    ///
    /// # Errors
    /// The list has no version or no entries.
    pub fn from_json(json: &Value) -> Result<HostList, String> {
        let entries = json.get("hosts").and_then(Value::as_array).ok_or("list: hosts is missing")?;
        Ok(HostList {
            version: json.get("seq").and_then(Value::as_i64).ok_or("list: seq is missing")?,
            is_full: json.get("whole").and_then(Value::as_bool).unwrap_or(false),
            // An invalid entry is skipped, so that it does not discard the other entries.
            entries: entries
                .iter()
                .filter_map(|entry| {
                    HostListEntry::from_json(entry).map_err(|error| tracing::warn!("{error}")).ok()
                })
                .collect(),
        })
    }
}

impl HostListEntry {
    fn from_json(json: &Value) -> Result<HostListEntry, String> {
        let text = |field: &str| json.get(field).and_then(Value::as_str);
        let number = |field: &str| json.get(field).and_then(Value::as_f64);
        let address = text("dial")
            .map(|address| address.parse().map_err(|e| format!("list: invalid dial address {address}: {e}")));
        Ok(HostListEntry {
            host: text("host").ok_or("list: an entry has no host")?.to_string(),
            availability: match text("health") {
                Some("SERVING") => Availability::Ready,
                Some("DRAINING") => Availability::Draining,
                Some("DELETED") => Availability::Gone,
                other => return Err(format!("list: unknown health {other:?}")),
            },
            address: address.transpose()?,
            site: text("site").map(str::to_string),
            group: number("block").map(|group| group as i64),
            size: number("share"),
            started_at_ms: number("born_ms"),
            is_primary: text("mode").map(|mode| mode == "read-write"),
        })
    }
}
