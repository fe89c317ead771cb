//! The settings that a balancer receives: the parameters of the day that the platform tells balancers. They
//! don't contain the true speeds, limits and delays.

use serde_json::{Value, json};
use shorewharf_units::seconds_from_micros;

use crate::day::Day;
use crate::edge::BalancerId;
use crate::population::{Capacity, capacity};

/// Returns the settings of one balancer as JSON, with the names and units of the simulator's protocol.
pub fn json(day: &Day, me: BalancerId) -> String {
    let Capacity { connections, per_s: rate, .. } = capacity(day);
    let class = |c: &crate::day::Class| {
        json!({
            "name": c.name, "promise_s": seconds_from_micros(c.aim), "give_up_s": seconds_from_micros(c.give_up), "late_worth": 0.0,
            "semantics": "read_like", "group": "all", "window_s": 5.0, "streamed": true, "worth": c.worth,
        })
    };
    let tenant = |t: &crate::day::Tenant| json!({"name": t.name, "fraction": t.share, "quota_per_s": (t.quota * rate).round().max(1.0)});
    let quotas: Vec<f64> = day.tenants.iter().map(|t| (t.quota * connections).round().max(1.0)).collect();
    let aims: Vec<f64> = day.classes.iter().map(|c| seconds_from_micros(c.message_aim)).collect();
    let kinds: Vec<&str> = day.kinds.iter().map(|k| k.name.as_str()).collect();
    let zone = day.balancers.get(me.0 as usize).map_or(0, |b| b.zone);
    let text: Value = json!({
        "me": me.0,
        "group_size": day.balancers.len(),
        "family": "conn",
        "tier": 0,
        "tiers": ["live-updates"],
        "zone": zone,
        "zones": day.zones,
        "flavors": kinds,
        "tick_s": seconds_from_micros(day.tick),
        "registry_mode": "ask",
        "weights": "nominal",
        "worth_by": "request",
        "over_share_worth": day.traffic.over_share_worth,
        "classes": day.classes.iter().map(class).collect::<Vec<_>>(),
        "clients": {"marks_retry": day.clients.marks_retry},
        "tenants": day.tenants.iter().map(tenant).collect::<Vec<_>>(),
        "load_info": {"columns": [], "source": "off"},
        "goal": {
            "whole": day.goal.whole, "worst_window": day.goal.worst_window,
            "worst_class": day.goal.worst_class, "worst_tenant": day.goal.worst_tenant,
        },
        "tariffs": {
            "cross_zone": day.prices.cross_zone, "waste": day.prices.waste, "connection": day.prices.connection,
            "handshake": day.prices.handshake, "probe": day.prices.probe, "late_fail": day.prices.late_fail,
            "moves": day.prices.moves, "origin": 0.0, "peer": 0.0, "registry_mode": 0.0,
        },
        "limits": {
            "cancel": day.limits.cancel, "retry_after": day.limits.retry_after, "may_probe": day.limits.probes,
            "may_tell": false, "second_copies": false, "max_attempts": day.limits.max_attempts,
            "max_open": 1_000_000, "max_streams": 1_048_576, "connect_timeout_s": seconds_from_micros(day.limits.connect_timeout),
            "idle_close_s": seconds_from_micros(day.limits.idle_close), "max_retry_after_s": seconds_from_micros(day.clients.max_retry_after),
            "cpu_us_per_s": day.limits.cpu_us_per_s, "cpu_us_per_request": 0.0,
        },
        "rules": {
            "answer_slack_s": seconds_from_micros(day.rules.answer_slack), "drain_grace_s": seconds_from_micros(day.rules.drain_grace),
            "fall_multiple": day.rules.fall_multiple, "overload_for_s": seconds_from_micros(day.rules.fall_for),
            "start_capacity": day.rules.stated_cold_from, "warm_within_s": seconds_from_micros(day.rules.stated_cold),
            "ask_within_s": seconds_from_micros(day.rules.ask_within),
        },
        "specifics": {
            "mode": "proxy", "park_s": 0.0, "groups": day.streams.group_cost > 0.0, "message_aim_s": aims,
            "hint": "usual load of the connection: work a second, in seconds",
            "tells_load": day.streams.tells_load, "tells_delay": day.streams.tells_delay,
            "tenant_quota_connections": quotas,
        },
    });
    text.to_string()
}
