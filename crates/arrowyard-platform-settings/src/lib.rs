//! Translates the platform's settings object to `RouterSettings`. The simulator's first message and the
//! router's configuration file contain the same object.

use arrowyard_types::{RouterSettings, SettingValue, TimeDelta as Time, Timestamp};
use serde_json::{Map, Value};

enum SettingKind {
    Flag,
    Number,
    Span,
    Text,
}
use SettingKind::*;

/// The path of a setting in the platform's object (`*`: each row of a list), its name in `RouterSettings`
/// and its kind.
const SETTINGS: &[(&str, &str, SettingKind)] = &[
    ("balancers", "routers", Number),
    ("caps.cancel", "cancel", Flag),
    ("caps.dial_timeout", "connect_timeout", Span),
    ("caps.idle_close", "idle_close", Span),
    ("caps.max_retry_after", "max_retry_after", Span),
    ("caps.may_tell", "peers", Flag),
    ("caps.open_cap", "max_open", Number),
    ("caps.parallel_tries", "parallel_sends", Flag),
    ("caps.probing", "probes", Flag),
    ("caps.retry_after", "retry_after", Flag),
    ("caps.send_cap", "max_sends", Number),
    ("clients.marks_retry", "marks_retry", Flag),
    ("discovery", "list", Text),
    ("domain.catch_up_wait", "catch_up_wait", Span),
    ("domain.list_role", "list_role", Text),
    ("domain.oldest_data.*", "op_type.*.bound", Span),
    ("domain.progress_told", "positions_in_answers", Flag),
    ("domain.read_level.*", "op_type.*.read", Text),
    ("domain.server_checks", "host_checks", Text),
    ("domain.token_mode", "tokens", Text),
    ("grades.*.credit", "op_type.*.value", Number),
    ("grades.*.deadline", "op_type.*.op_timeout", Span),
    ("grades.*.effect", "op_type.*.effect", Text),
    ("grades.*.group", "op_type.*.scope", Text),
    ("grades.*.late_worth", "op_type.*.late_value", Number),
    ("grades.*.memory_span", "op_type.*.memory", Span),
    ("grades.*.objective", "op_type.*.latency_target", Span),
    ("granularity", "tick", Span),
    ("index", "index", Number),
    ("invariants.answer_slack", "answer_slack", Span),
    ("invariants.ask_within", "ask_within", Span),
    ("invariants.cold", "cold", Span),
    ("invariants.cold_from", "cold_from", Number),
    ("invariants.drain_grace", "drain_grace", Span),
    ("invariants.fall", "fall", Span),
    ("invariants.fall_multiple", "fall_multiple", Number),
    ("invariants.removal_not_binding", "removal_not_binding", Flag),
    ("my_zone", "zone", Number),
    ("over_share_worth", "over_share_value", Number),
    ("parties.*.quota_per_s", "tenant.*.quota", Number),
    ("parties.*.share", "tenant.*.share", Number),
    ("prices.cross_zone", "price.crossing", Number),
    ("prices.late_fail", "price.late_error", Number),
    ("prices.peer", "price.message", Number),
    ("prices.probe", "price.probe", Number),
    ("prices.waste", "price.waste", Number),
    ("reporting.source", "reports", Text),
    ("weights", "sizes", Text),
];

/// The platform's values of text settings, and those of `RouterSettings`.
const TEXT_VALUES: &[(&str, &str)] = &[
    ("read_like", "retryable"),
    ("idempotency_key", "tokened"),
    ("non_idempotent", "non-retryable"),
    ("loose", "any"),
    ("recent", "bounded"),
    ("own_writes", "session"),
    ("latest", "fresh"),
    ("update", "write"),
    ("silent", "none"),
    ("reject", "refuse"),
    ("hold", "wait"),
    ("client", "carried"),
    ("router", "remembered"),
    ("delayed", "late"),
    ("initial", "start"),
    ("pushed", "push"),
    ("on_request", "ask"),
    ("piggyback", "answers"),
    ("pull", "probe"),
];

/// Converts fractional milliseconds, as in the settings, to microseconds.
pub fn micros_from_millis(millis: f64) -> i64 {
    (millis * 1000.0).round() as i64
}

/// Converts fractional Unix milliseconds to a timestamp.
pub fn timestamp_from_millis(millis: f64) -> Timestamp {
    Timestamp::from_micros(micros_from_millis(millis))
}

/// Converts fractional milliseconds to a time difference.
pub fn time_delta_from_millis(millis: f64) -> Time {
    Time::from_micros(micros_from_millis(millis))
}

/// The hash of a host's name that all routers use for the host (FNV-1a).
pub fn name_hash(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}

/// Translates the settings; missing or null ones are left out.
///
/// # Errors
/// A setting has the wrong type.
pub fn router_settings(platform_settings: &Map<String, Value>) -> Result<RouterSettings, String> {
    let mut settings = RouterSettings::new();
    for (path, name, kind) in SETTINGS {
        let (mut found, mut rest) = (None, platform_settings);
        let mut steps = path.split('.').peekable();
        while let Some(step) = steps.next() {
            let Some(value) = rest.get(step) else { break };
            if steps.peek() == Some(&"*") {
                let field = path.split_once("*.").map(|(_, field)| field);
                let rows = value.as_array().ok_or_else(|| format!("settings: {step} is not an array"))?;
                for (row, value) in rows.iter().enumerate() {
                    let value = match field {
                        Some(field) => value.get(field),
                        None => Some(value),
                    };
                    insert_setting(&mut settings, path, name.replace('*', &row.to_string()), kind, value)?;
                }
                break;
            }
            match value.as_object() {
                Some(inner) => rest = inner,
                None => found = Some(value),
            }
        }
        insert_setting(&mut settings, path, name.to_string(), kind, found)?;
    }
    Ok(settings)
}

fn insert_setting(
    settings: &mut RouterSettings,
    path: &str,
    name: String,
    kind: &SettingKind,
    value: Option<&Value>,
) -> Result<(), String> {
    let Some(value) = value.filter(|value| !value.is_null()) else { return Ok(()) };
    let converted = match kind {
        Flag => value.as_bool().map(SettingValue::Flag),
        Number => value.as_f64().map(SettingValue::Number),
        Span => value.as_f64().map(|millis| SettingValue::TimeDelta(time_delta_from_millis(millis))),
        Text => value.as_str().map(|word| {
            let internal =
                TEXT_VALUES.iter().find(|(wire, _)| *wire == word).map_or(word, |(_, internal)| internal);
            SettingValue::Text(internal.to_string())
        }),
    };
    settings.insert(name, converted.ok_or_else(|| format!("settings: {path} has the wrong type"))?);
    Ok(())
}
