//! Summarizes a configuration as a table of the keys with their values and the sources of the values.

use std::collections::HashMap;
use std::fmt::Display;

use comfy_table::{Table, TableStyle};
use serde_json::Value;
use shorewharf_decisions::Settings;
use shorewharf_decisions::interface::Idempotency;
use shorewharf_units::seconds_from_micros;

use crate::config::{Config, ConfigError};

/// Parses a configuration as at the start of the program, and returns the table of its values.
///
/// # Errors
/// Returns the errors of [`Config::parse`].
pub fn table(text: &[u8], env: impl Fn(&str) -> Option<String>) -> Result<Table, ConfigError> {
    let config = Config::parse(text, env)?;
    let file: Value = serde_json::from_slice(text).unwrap_or_default();
    let mut table = Table::new();
    table.load_style(TableStyle::new()).set_header(["key", "in force", "from"]);
    for (key, value) in rows(&config) {
        let given = file.pointer(&format!("/{}", key.replace('.', "/"))).is_some_and(|v| !v.is_null());
        let from = match key.as_str() {
            _ if given => "the file",
            "name" => "ROUTER_NAME",
            "listen" => "ROUTER_LISTEN",
            "discovery" => "ROUTER_DISCOVERY",
            "operator" if config.admin_address.is_some() => "ROUTER_OPERATOR",
            _ => "default",
        };
        table.add_row([key.as_str(), value.as_str(), from]);
    }
    Ok(table)
}

/// A row of the table: a key, and its value with its unit.
type Row = (String, String);

fn row(key: impl Into<String>, value: impl Display) -> Row {
    (key.into(), value.to_string())
}

fn rows(config: &Config) -> Vec<Row> {
    let mut rows = program_rows(config);
    for index in 0..config.settings.classes.len() {
        rows.extend(class_rows(config, index));
    }
    rows.extend(decision_rows(config));
    rows
}

/// The keys outside `settings`.
fn program_rows(config: &Config) -> Vec<Row> {
    let admin = config.admin_address.map_or_else(|| "no admin listener".to_owned(), |at| at.to_string());
    let initial = &config.initial_endpoints;
    vec![
        row("name", &config.name),
        row("listen", config.listen),
        row("discovery", config.discovery),
        row("operator", admin),
        row("seed", format_args!("{:x}", config.seed)),
        row("limits.sockets", config.limits.sockets),
        row("limits.memory_mb", config.limits.memory_mb),
        row("limits.cores", config.limits.cores),
        row("known", format_args!("{} servers, version {}", initial.endpoints.len(), initial.index)),
    ]
}

/// The keys of the class with this index.
fn class_rows(config: &Config, index: usize) -> [Row; 5] {
    let class = &config.settings.classes[index];
    let name = config.names.classes.iter().find(|(_, at)| **at == index).map_or("?", |(name, _)| name);
    let timeout = seconds_from_micros(config.client_timeouts[index]);
    let message_objective = class.message_latency_objective;
    [
        row(format!("settings.classes.{index}.name"), name),
        row(format!("settings.classes.{index}.promise_s"), format_args!("{} s", class.latency_objective)),
        row(format!("settings.classes.{index}.give_up_s"), format_args!("{timeout} s")),
        row(format!("settings.classes.{index}.semantics"), idempotency_text(class.idempotency)),
        row(format!("settings.specifics.message_aim_s.{index}"), format_args!("{message_objective} s")),
    ]
}

/// The keys of `settings` other than those of the classes.
fn decision_rows(config: &Config) -> Vec<Row> {
    let settings = &config.settings;
    let instance = format!("{} of {} balancers", settings.instance_index, settings.instance_count);
    vec![
        row("settings.tenants", by_index(&config.names.tenants)),
        row("settings.zones", by_index(&config.names.zones)),
        row("settings.me", instance),
        row("settings.zone", settings.zone),
        row("settings.tick_s", format_args!("{} s", settings.tick)),
        row("settings.specifics.tells_delay", config.servers_report_delay),
        row("settings.specifics.groups", settings.has_groups),
        row("settings.registry_mode", if settings.polls_discovery { "ask" } else { "push" }),
        row("settings.limits.connect_timeout_s", format_args!("{} s", settings.connect_timeout)),
        row("settings.limits.max_attempts", settings.max_attempts),
        row("settings.limits.may_probe", settings.may_probe),
        row("settings.limits.cancel", settings.may_cancel),
        row("settings.limits.retry_after", retry_after(settings)),
        row("settings.rules.ask_within_s", format_args!("{} s", settings.poll_interval)),
        row("settings.rules.start_capacity", settings.cold_capacity_ratio),
        row("settings.rules.warm_within_s", format_args!("{} s", settings.warm_up_time)),
        row("settings.rules.fall_multiple", settings.overload_ratio),
        row("settings.rules.overload_for_s", format_args!("{} s", settings.overload_window)),
    ]
}

fn retry_after(settings: &Settings) -> String {
    if !settings.sends_retry_after {
        return "false".to_owned();
    }
    format!("up to {} s", settings.max_retry_after)
}

/// Lists names in the order of their indices.
fn by_index<I: Copy + Ord>(names: &HashMap<String, I>) -> String {
    let mut names: Vec<_> = names.iter().map(|(name, index)| (*index, name.as_str())).collect();
    names.sort_unstable();
    let names: Vec<_> = names.into_iter().map(|(_, name)| name).collect();
    if names.is_empty() { "none".into() } else { names.join(", ") }
}

/// The text of an idempotency in the table.
fn idempotency_text(idempotency: Idempotency) -> String {
    match idempotency {
        Idempotency::Idempotent => "Safe".to_owned(),
        Idempotency::Keyed(scope, window) => format!("Keyed({scope:?}, {window:?})"),
        Idempotency::NonIdempotent => "Unsafe".to_owned(),
    }
}

#[cfg(test)]
mod tests;
