//! The settings in the form of their JSON text, with the platform's keys and keywords, and their conversion
//! to the types of the decisions.

use serde::Deserialize;
use serde_json::Value;
use shorewharf_decisions::interface::{
    DeduplicationScope, Idempotency, RequestClass, Settings, SlotSharing, WeightKind,
};

const DEFAULT_LATENCY_OBJECTIVE_SECONDS: f64 = 0.5;
const DEFAULT_PRIORITY_WEIGHT: f64 = 1.0;
const DEFAULT_MESSAGE_LATENCY_OBJECTIVE_SECONDS: f64 = 0.1;
const DEFAULT_POLL_INTERVAL_SECONDS: f64 = 5.0;
const DEFAULT_COLD_CAPACITY_RATIO: f64 = 0.1;
const DEFAULT_WARM_UP_SECONDS: f64 = 30.0;
const DEFAULT_OVERLOAD_RATIO: f64 = 1.0;
const DEFAULT_OVERLOAD_WINDOW_SECONDS: f64 = 1.0;
const DEFAULT_MAX_ATTEMPTS: u32 = 1;
const DEFAULT_CONNECT_TIMEOUT_SECONDS: f64 = 0.25;
/// Name of the column of a load report that holds the load divided by the capacity.
const LOAD_RATIO_COLUMN: &str = "x0";

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawClass {
    #[serde(rename = "promise_s")]
    latency_objective: Option<f64>,
    #[serde(rename = "semantics")]
    idempotency: String,
    #[serde(rename = "group")]
    deduplication_scope: String,
    #[serde(rename = "window_s")]
    deduplication_window: f64,
    #[serde(rename = "worth")]
    priority_weight: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawSpecifics {
    #[serde(rename = "groups")]
    has_groups: bool,
    #[serde(rename = "message_aim_s")]
    message_latency_objectives: Vec<Option<f64>>,
    mode: String,
    #[serde(rename = "park_s")]
    parked_connection_timeout: f64,
    #[serde(rename = "tenant_quota_connections")]
    tenant_connection_quotas: Vec<Option<f64>>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawLimits {
    #[serde(rename = "cancel")]
    may_cancel: bool,
    #[serde(rename = "connect_timeout_s")]
    connect_timeout: Option<f64>,
    max_attempts: Option<u32>,
    #[serde(rename = "max_retry_after_s")]
    max_retry_after: f64,
    may_probe: bool,
    #[serde(rename = "retry_after")]
    sends_retry_after: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawRules {
    #[serde(rename = "ask_within_s")]
    poll_interval: Option<f64>,
    #[serde(rename = "start_capacity")]
    cold_capacity_ratio: Option<f64>,
    #[serde(rename = "warm_within_s")]
    warm_up_time: Option<f64>,
    #[serde(rename = "fall_multiple")]
    overload_ratio: Option<f64>,
    #[serde(rename = "overload_for_s")]
    overload_window: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawTariffs {
    #[serde(rename = "cross_zone")]
    zone_crossing_cost: f64,
    #[serde(rename = "moves")]
    migration_cost: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawReport {
    columns: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawTenant {
    #[serde(rename = "quota_per_s")]
    rate_quota: f64,
}

/// The whole JSON text. The defaults of missing keys comply with the platform's rules.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct RawSettings {
    classes: Vec<RawClass>,
    #[serde(rename = "group_size")]
    instance_count: f64,
    #[serde(rename = "me")]
    instance_index: u64,
    #[serde(rename = "registry_mode")]
    discovery_mode: String,
    specifics: RawSpecifics,
    limits: RawLimits,
    rules: RawRules,
    tariffs: RawTariffs,
    tenants: Vec<RawTenant>,
    #[serde(rename = "load_info")]
    load_report: RawReport,
    #[serde(rename = "tick_s")]
    tick: f64,
    weights: String,
    zone: u32,
    zones: Vec<Value>,
}

/// Removes all keys whose values are null, because null means the same as a missing key.
pub(crate) fn remove_nulls(value: &mut Value) {
    match value {
        Value::Object(members) => {
            members.retain(|_, member| !member.is_null());
            members.values_mut().for_each(remove_nulls);
        }
        Value::Array(items) => items.iter_mut().for_each(remove_nulls),
        _ => {}
    }
}

impl RawClass {
    fn idempotency(&self) -> Idempotency {
        let window = self.deduplication_window;
        match (self.idempotency.as_str(), self.deduplication_scope.as_str()) {
            ("read_like", _) => Idempotency::Idempotent,
            ("idempotency_key", "all") => Idempotency::Keyed(DeduplicationScope::All, window),
            ("idempotency_key", "zone") => Idempotency::Keyed(DeduplicationScope::Zone, window),
            ("idempotency_key", "cell") => Idempotency::Keyed(DeduplicationScope::Cell, window),
            _ => Idempotency::NonIdempotent,
        }
    }
}

impl RawSettings {
    /// Returns the index of the value in a load report that is the load divided by the capacity.
    pub fn load_column(&self) -> Option<usize> {
        self.load_report.columns.iter().position(|column| column == LOAD_RATIO_COLUMN)
    }

    fn classes(&self) -> Vec<RequestClass> {
        let objectives = &self.specifics.message_latency_objectives;
        let message_objective =
            |index: usize| objectives.get(index).copied().flatten().filter(|objective| *objective > 0.0);
        let class = |(index, class): (usize, &RawClass)| RequestClass {
            latency_objective: class.latency_objective.unwrap_or(DEFAULT_LATENCY_OBJECTIVE_SECONDS),
            priority_weight: class.priority_weight.unwrap_or(DEFAULT_PRIORITY_WEIGHT),
            message_latency_objective: message_objective(index)
                .unwrap_or(DEFAULT_MESSAGE_LATENCY_OBJECTIVE_SECONDS),
            idempotency: class.idempotency(),
        };
        self.classes.iter().enumerate().map(class).collect()
    }

    fn weight_kind(&self) -> WeightKind {
        match self.weights.as_str() {
            "nominal" | "rough" => WeightKind::Capacity,
            "live" => WeightKind::LoadAdjusted,
            _ => WeightKind::Uniform,
        }
    }
}

impl From<RawSettings> for Settings {
    fn from(raw: RawSettings) -> Self {
        let (classes, weight_kind) = (raw.classes(), raw.weight_kind());
        let RawSettings { specifics, limits, rules, tariffs, .. } = raw;
        let connection_quotas = specifics.tenant_connection_quotas.into_iter();
        Settings {
            instance_index: raw.instance_index,
            instance_count: raw.instance_count.max(1.0),
            zone: raw.zone,
            zone_count: (raw.zones.len() as f64).max(1.0),
            classes,
            tenant_rate_quotas: raw.tenants.iter().map(|tenant| tenant.rate_quota).collect(),
            tenant_connection_quotas: connection_quotas.map(|quota| quota.unwrap_or(0.0)).collect(),
            polls_discovery: raw.discovery_mode == "ask",
            poll_interval: rules.poll_interval.unwrap_or(DEFAULT_POLL_INTERVAL_SECONDS),
            cold_capacity_ratio: rules.cold_capacity_ratio.unwrap_or(DEFAULT_COLD_CAPACITY_RATIO),
            warm_up_time: rules.warm_up_time.unwrap_or(DEFAULT_WARM_UP_SECONDS),
            overload_ratio: rules.overload_ratio.unwrap_or(DEFAULT_OVERLOAD_RATIO),
            overload_window: rules.overload_window.unwrap_or(DEFAULT_OVERLOAD_WINDOW_SECONDS),
            slot_sharing: SlotSharing::Alone,
            max_attempts: limits.max_attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS).max(1),
            connect_timeout: limits.connect_timeout.unwrap_or(DEFAULT_CONNECT_TIMEOUT_SECONDS),
            max_retry_after: limits.max_retry_after,
            sends_retry_after: limits.sends_retry_after,
            may_probe: limits.may_probe,
            may_cancel: limits.may_cancel,
            is_pass_through: specifics.mode == "pass",
            parked_connection_timeout: specifics.parked_connection_timeout,
            has_groups: specifics.has_groups,
            weight_kind,
            zone_crossing_cost: tariffs.zone_crossing_cost,
            migration_cost: tariffs.migration_cost,
            tick: raw.tick,
        }
    }
}
