//! The settings that an instance is told once, read from their JSON text and given defaults.

pub mod operator;

use serde::Deserialize;
use shorewharf_decisions::interface::*;
use thiserror::Error;

/// Settings that could not be read; the text names the key at fault.
#[derive(Debug, Error)]
#[error("settings: {0}")]
pub struct SettingsError(#[from] pub serde_path_to_error::Error<serde_json::Error>);

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawClass {
    promise_s: Option<f64>,
    semantics: String,
    group: String,
    window_s: f64,
    worth: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawSpecifics {
    groups: bool,
    message_aim_s: Vec<Option<f64>>,
    mode: String,
    park_s: f64,
    tenant_quota_connections: Vec<Option<f64>>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawLimits {
    cancel: bool,
    connect_timeout_s: Option<f64>,
    max_attempts: Option<u32>,
    max_retry_after_s: f64,
    may_probe: bool,
    retry_after: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawRules {
    ask_within_s: Option<f64>,
    start_capacity: Option<f64>,
    warm_within_s: Option<f64>,
    fall_multiple: Option<f64>,
    overload_for_s: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawTariffs {
    cross_zone: f64,
    moves: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawReport {
    columns: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawTenant {
    quota_per_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawSettings {
    classes: Vec<RawClass>,
    group_size: f64,
    me: u64,
    registry_mode: String,
    specifics: RawSpecifics,
    limits: RawLimits,
    rules: RawRules,
    tariffs: RawTariffs,
    tenants: Vec<RawTenant>,
    load_info: RawReport,
    tick_s: f64,
    weights: String,
    zone: u32,
    zones: Vec<serde_json::Value>,
}

/// A key that is null counts as missing.
fn drop_nulls(value: &mut serde_json::Value) {
    match value {
        serde_json::Value::Object(map) => {
            map.retain(|_, v| !v.is_null());
            map.values_mut().for_each(drop_nulls);
        }
        serde_json::Value::Array(items) => items.iter_mut().for_each(drop_nulls),
        _ => {}
    }
}

/// Reads the settings text; also tells which value of a load report is the load over capacity.
/// Keys that are missing get defaults that keep the rules; unknown ones are ignored.
pub fn settings(text: &[u8]) -> Result<(Settings, Option<usize>), SettingsError> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let mut value: serde_json::Value = serde_path_to_error::deserialize(&mut json)?;
    drop_nulls(&mut value);
    let raw: RawSettings = serde_path_to_error::deserialize(value)?;
    let column = raw.load_info.columns.iter().position(|c| c == "x0");
    let quotas = &raw.specifics.tenant_quota_connections;
    let aim = |i: usize| raw.specifics.message_aim_s.get(i).copied().flatten().filter(|a| *a > 0.0);
    let classes = raw.classes.iter().enumerate().map(|(i, c)| RequestClass {
        latency_objective: c.promise_s.unwrap_or(0.5),
        priority_weight: c.worth.unwrap_or(1.0),
        message_latency_objective: aim(i).unwrap_or(0.1),
        idempotency: match (c.semantics.as_str(), c.group.as_str()) {
            ("read_like", _) => Idempotency::Idempotent,
            ("idempotency_key", "all") => Idempotency::Keyed(DeduplicationScope::All, c.window_s),
            ("idempotency_key", "zone") => Idempotency::Keyed(DeduplicationScope::Zone, c.window_s),
            ("idempotency_key", "cell") => Idempotency::Keyed(DeduplicationScope::Cell, c.window_s),
            _ => Idempotency::NonIdempotent,
        },
    });
    Ok((
        Settings {
            instance_index: raw.me,
            instance_count: raw.group_size.max(1.0),
            zone: raw.zone,
            zone_count: (raw.zones.len() as f64).max(1.0),
            classes: classes.collect(),
            tenant_rate_quotas: raw.tenants.iter().map(|t| t.quota_per_s).collect(),
            tenant_connection_quotas: quotas.iter().map(|q| q.unwrap_or(0.0)).collect(),
            polls_discovery: raw.registry_mode == "ask",
            poll_interval: raw.rules.ask_within_s.unwrap_or(5.0),
            cold_capacity_ratio: raw.rules.start_capacity.unwrap_or(0.1),
            warm_up_time: raw.rules.warm_within_s.unwrap_or(30.0),
            overload_ratio: raw.rules.fall_multiple.unwrap_or(1.0),
            overload_window: raw.rules.overload_for_s.unwrap_or(1.0),
            max_attempts: raw.limits.max_attempts.unwrap_or(1).max(1),
            connect_timeout: raw.limits.connect_timeout_s.unwrap_or(0.25),
            max_retry_after: raw.limits.max_retry_after_s,
            sends_retry_after: raw.limits.retry_after,
            may_probe: raw.limits.may_probe,
            may_cancel: raw.limits.cancel,
            is_pass_through: raw.specifics.mode == "pass",
            parked_connection_timeout: raw.specifics.park_s,
            has_groups: raw.specifics.groups,
            weight_kind: match raw.weights.as_str() {
                "nominal" | "rough" => WeightKind::Capacity,
                "live" => WeightKind::LoadAdjusted,
                _ => WeightKind::Uniform,
            },
            zone_crossing_cost: raw.tariffs.cross_zone,
            migration_cost: raw.tariffs.moves,
            tick: raw.tick_s,
        },
        column,
    ))
}
