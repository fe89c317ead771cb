//! What a configuration file puts in force, as a table for whoever writes it.

use std::fmt::Display;

use comfy_table::{Table, TableStyle};
use serde_json::Value;
use shorewharf_decisions::Settings;
use shorewharf_decisions::interface::Idempotency;

use crate::config::{Config, ConfigError};

/// Reads a configuration as the start does, the environment for what it leaves out, and says what is in force by
/// it: each key with its value, and where that comes from.
///
/// # Errors
/// What the start would refuse.
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
            "operator" if config.operator_at.is_some() => "ROUTER_OPERATOR",
            _ => "default",
        };
        table.add_row([key.as_str(), value.as_str(), from]);
    }
    Ok(table)
}

/// The keys that the program goes by, each with its value and unit.
fn rows(c: &Config) -> Vec<(String, String)> {
    let mut rows = Vec::new();
    let mut row = |key: &str, value: &dyn Display| rows.push((key.to_owned(), value.to_string()));
    row("name", &c.name);
    row("listen", &c.listen);
    row("discovery", &c.discovery);
    match c.operator_at {
        Some(at) => row("operator", &at),
        None => row("operator", &"nobody is listened to"),
    }
    row("seed", &format_args!("{:x}", c.seed));
    row("limits.sockets", &c.limits.sockets);
    row("limits.memory_mb", &c.limits.memory_mb);
    row("limits.cores", &c.limits.cores);
    row("known", &format_args!("{} servers, version {}", c.known.endpoints.len(), c.known.index));
    for (i, class) in c.settings.classes.iter().enumerate() {
        let name = c.names.classes.iter().find(|(_, at)| **at == i).map_or("?", |(name, _)| name);
        row(&format!("settings.classes.{i}.name"), &name);
        let (aim, message) = (class.latency_objective, class.message_latency_objective);
        row(&format!("settings.classes.{i}.promise_s"), &format_args!("{aim} s"));
        row(&format!("settings.classes.{i}.give_up_s"), &format_args!("{} s", c.give_up[i] as f64 / 1e6));
        row(&format!("settings.classes.{i}.semantics"), &repetition(class.idempotency));
        row(&format!("settings.specifics.message_aim_s.{i}"), &format_args!("{message} s"));
    }
    row("settings.tenants", &in_order(&c.names.tenants));
    row("settings.zones", &in_order(&c.names.zones));
    let s = &c.settings;
    row("settings.me", &format_args!("{} of {} balancers", s.instance_index, s.instance_count));
    row("settings.zone", &s.zone);
    row("settings.tick_s", &format_args!("{} s", s.tick));
    row("settings.specifics.tells_delay", &c.tells_delay);
    row("settings.specifics.groups", &s.has_groups);
    row("settings.registry_mode", &if s.polls_discovery { "ask" } else { "push" });
    row("settings.limits.connect_timeout_s", &format_args!("{} s", s.connect_timeout));
    row("settings.limits.max_attempts", &s.max_attempts);
    row("settings.limits.may_probe", &s.may_probe);
    row("settings.limits.cancel", &s.may_cancel);
    row("settings.limits.retry_after", &waits(s));
    row("settings.rules.ask_within_s", &format_args!("{} s", s.poll_interval));
    row("settings.rules.start_capacity", &s.cold_capacity_ratio);
    row("settings.rules.warm_within_s", &format_args!("{} s", s.warm_up_time));
    row("settings.rules.fall_multiple", &s.overload_ratio);
    row("settings.rules.overload_for_s", &format_args!("{} s", s.overload_window));
    rows
}

fn waits(s: &Settings) -> String {
    if s.sends_retry_after { format!("up to {} s", s.max_retry_after) } else { "false".into() }
}

/// Names in the order of their places.
fn in_order<P: Copy + Ord>(names: &std::collections::HashMap<String, P>) -> String {
    let mut names: Vec<_> = names.iter().map(|(name, at)| (*at, name.as_str())).collect();
    names.sort_unstable();
    let names: Vec<_> = names.into_iter().map(|(_, name)| name).collect();
    if names.is_empty() { "none".into() } else { names.join(", ") }
}

/// How the table names what repeating a request of a class may do.
fn repetition(idempotency: Idempotency) -> String {
    match idempotency {
        Idempotency::Idempotent => "Safe".to_owned(),
        Idempotency::Keyed(scope, window) => format!("Keyed({scope:?}, {window:?})"),
        Idempotency::NonIdempotent => "Unsafe".to_owned(),
    }
}

#[cfg(test)]
mod tests;
