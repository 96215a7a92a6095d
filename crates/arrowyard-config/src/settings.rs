//! The settings file of a process.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use serde::Deserialize;

/// Settings of a process, written by the platform. Unknown fields are ignored; missing optional fields have
/// defaults.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Settings {
    /// Name of the machine.
    pub node: String,
    #[serde(default)]
    pub role: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    #[serde(default)]
    pub region: String,
    /// Region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Listening addresses by name: `control`, `front`, `readiness`.
    #[serde(default)]
    pub bind_addrs: BTreeMap<String, SocketAddrV4>,
    /// First and last port of the range for connections between the processes of the system.
    pub internal_ports: (u16, u16),
    /// `control` addresses of up to three control machines.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the deployment starts for the first time.
    #[serde(default)]
    pub bootstrap: bool,
    #[serde(default)]
    pub counts_loss: bool,
    #[serde(default)]
    pub limits: MachineLimits,
    /// Directory for durable state; none on machines without a disk.
    #[serde(default)]
    pub data_dir: Option<String>,
    /// Heartbeat interval of hosts.
    #[serde(rename = "beat-period-ms", default = "default_heartbeat_interval_ms")]
    pub heartbeat_interval_ms: u64,
    #[serde(default)]
    pub tolerance: Tolerance,
    #[serde(default)]
    pub envelope: Envelope,
    #[serde(default)]
    pub platform_api: Option<PlatformApi>,
}

fn default_heartbeat_interval_ms() -> u64 {
    1200
}

/// Resource limits of the process.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct MachineLimits {
    pub memory_mb: u64,
    pub fd_limit: usize,
}

impl Default for MachineLimits {
    fn default() -> Self {
        MachineLimits { memory_mb: 256, fd_limit: 1024 }
    }
}

/// Failures at the same time that the deployment must tolerate.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Tolerance {
    pub machines: u32,
    pub zones: u32,
    pub regions: u32,
}

/// Time bounds and guarantees of the environment.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Envelope {
    pub seed_delay_s: f64,
    pub reuse_delay_s: f64,
    pub contact_ms: f64,
    pub ack_bound_ms: f64,
    pub settle_s: f64,
    pub drain_bound_ms: f64,
    pub grace_s: f64,
    pub apply_ms: f64,
    pub revert_slack_ms: f64,
    pub recovery_s: f64,
    /// Whether the platform rejects a call with a fencing token below one that it has seen.
    pub fence_checked: bool,
}

impl Default for Envelope {
    fn default() -> Self {
        Envelope {
            seed_delay_s: 3.0,
            reuse_delay_s: 2.0,
            contact_ms: 4000.0,
            ack_bound_ms: 5000.0,
            settle_s: 4.0,
            drain_bound_ms: 7000.0,
            grace_s: 6.0,
            apply_ms: 3000.0,
            revert_slack_ms: 250.0,
            recovery_s: 12.0,
            fence_checked: true,
        }
    }
}

/// API of the platform, through which duties are executed.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PlatformApi {
    pub address: SocketAddrV4,
    #[serde(default)]
    pub duties: Vec<String>,
    #[serde(default = "default_duty_rate_s")]
    pub duty_rate_s: f64,
}

fn default_duty_rate_s() -> f64 {
    50.0
}

/// All faults of a settings file, each with its field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub Vec<String>);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0.join("; "))
    }
}

impl Settings {
    /// Parses and validates a settings file.
    ///
    /// # Errors
    /// All faults found, each with its field.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Settings =
            serde_saphyr::from_str(text).map_err(|error| SettingsError(vec![error.to_string()]))?;
        let mut faults = Vec::new();
        let mut check = |valid: bool, fault: &str| {
            if !valid {
                faults.push(fault.to_string())
            }
        };
        check(!settings.node.is_empty(), "node: is empty");
        check(!settings.zone.is_empty(), "zone: is empty");
        check(
            settings.internal_ports.0 <= settings.internal_ports.1,
            "internal-ports: the first is after the last",
        );
        check(settings.internal_ports.0 > 0, "internal-ports: 0 is no port");
        check(settings.heartbeat_interval_ms > 0, "beat-period-ms: is 0");
        check(settings.limits.fd_limit >= 64, "limits.fd-limit: under 64");
        check(settings.limits.memory_mb >= 16, "limits.memory-mb: under 16");
        check(settings.envelope.grace_s > 0.0, "envelope.grace-s: is not above 0");
        if faults.is_empty() { Ok(settings) } else { Err(SettingsError(faults)) }
    }

    /// Address on a control machine to which control machines and routers connect.
    pub fn internal(&self, machine: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(machine, self.internal_ports.0)
    }
}
