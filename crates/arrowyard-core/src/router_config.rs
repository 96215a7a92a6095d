//! The router's startup configuration: a JSON file, with environment variables for missing fields.

use std::env;
use std::net::SocketAddr;

use serde_json::{Map, Value};

use crate::host_list::HostList;

/// The startup configuration.
pub struct RouterConfig {
    /// The router's name.
    pub name: String,
    /// The address on which clients connect.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of the router's random generators.
    pub seed: u64,
    /// The memory in MiB from which the limits on messages and answers are derived.
    pub memory_mb: usize,
    /// The limit of open file descriptors.
    pub sockets: usize,
    /// The router's last list of hosts before this start.
    pub host_list: Option<HostList>,
    /// The platform's settings.
    pub settings: Map<String, Value>,
}

impl RouterConfig {
    /// Loads the file that `RELAY_CONFIG` names.
    ///
    /// # Errors
    /// The variable is not set, or the file cannot be read or is invalid.
    pub fn load() -> Result<RouterConfig, String> {
        let path = env::var("RELAY_CONFIG").map_err(|e| format!("RELAY_CONFIG: {e}"))?;
        let bytes = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
        let json: Value = serde_json::from_slice(&bytes).map_err(|e| format!("{path}: {e}"))?;
        RouterConfig::from_json(&json, |name| env::var(name).ok())
    }

    /// Converts the file's JSON; `read_variable` reads an environment variable.
    ///
    /// # Errors
    /// A required field is missing or invalid.
    pub fn from_json(
        json: &Value,
        read_variable: impl Fn(&str) -> Option<String>,
    ) -> Result<RouterConfig, String> {
        let text = |field: &str, variable: &str| {
            let value = json.get(field).and_then(Value::as_str).map(str::to_string);
            value
                .or_else(|| read_variable(variable))
                .ok_or_else(|| format!("neither {field} nor {variable} is set"))
        };
        let address = |field: &str, variable: &str| {
            text(field, variable)?.parse().map_err(|e| format!("{field} is not a socket address: {e}"))
        };
        let limit = |name: &str, default: u64| {
            let value = json.get("limits").and_then(|limits| limits.get(name)).and_then(Value::as_f64);
            value.map_or(default, |number| number as u64) as usize
        };
        let seed = json.get("seed").and_then(Value::as_str).unwrap_or_default();
        let settings =
            json.get("settings").and_then(Value::as_object).ok_or("settings is missing or not an object")?;
        Ok(RouterConfig {
            name: text("name", "RELAY_NAME")?,
            listen: address("listen", "RELAY_LISTEN")?,
            discovery: address("discovery", "RELAY_DISCOVERY")?,
            seed: u64::from_str_radix(seed, 16).map_err(|e| format!("seed: {e}"))?,
            memory_mb: limit("memory_mb", 128),
            sockets: limit("sockets", 512),
            // An invalid saved list is ignored, since discovery has a current one.
            host_list: json.get("known").and_then(|list| HostList::from_json(list).ok()),
            settings: settings.clone(),
        })
    }
}
